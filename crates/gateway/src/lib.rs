//! One router instance as a state machine without I/O. It reads client requests, delegates every routing
//! decision to `Control` (root package), executes the resulting actions on connections to workers, and sends
//! exactly one final response per request.
//!
//! The host process (`applepond serve`) provides connections, time and configuration; tests provide
//! simulated ones. Decisions made here rather than in `Control`:
//!
//! - `attempt_outcome`: whether an attempt may have run, judged by the events on its connection;
//! - `event_identity`: which events are the same;
//! - `idempotency`: which events are duplicates of one request, and which responses are replayed to them;
//! - `resend_window`: until when a keyed request that may have run may be sent again;
//! - `deadline`: the time limit of a request;
//! - `endpoint_list`: how a message of the endpoint list changes a worker's record;
//! - `reload`: what a new configuration may change in a running instance.
//!
//! Everything else is in [`Gateway`]; its module lists which file handles which event. `request_table`,
//! `attempt_outcome` and `deferred` also serve the platform's router, `applepond-node`.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

pub mod attempt_outcome;
mod client;
pub mod deadline;
pub mod deferred;
pub mod deployment;
pub mod endpoint_list;
pub mod errors;
mod event_identity;
mod gateway;
mod idempotency;
pub mod reload;
pub mod request_table;
mod resend_window;
mod worker_connection;

pub use deployment::Deployment;
pub use gateway::{
    ConfigSource, Gateway, HistoryStore, PrefixTracker, RestoredTraffic, RestoredWorker, ScheduledRetry,
    StatusSection, TrafficBaseline,
};
