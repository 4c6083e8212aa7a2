//! One router instance as a machine without I/O. It reads the exchanges of clients, asks `Control` of the
//! root package for every routing decision, carries its actions out on connections to workers, and gives
//! each request exactly one final answer.
//!
//! The shell around it (`applepond serve`) provides connections, time and configuration; tests provide
//! simulated ones. Decisions that are made here and not in `Control`:
//!
//! - `attempt_outcome`: whether an attempt may have run, from what happened on its connection;
//! - `idempotency`: which exchanges share a request, and whose answer is replayed after its end;
//! - `deadline`: how long a request has;
//! - `endpoint_list`: what a message of the endpoint list does to the record of a worker;
//! - `reload`: what a new configuration may change in a running instance.
//!
//! Everything else is in [`Gateway`]; its module says which file handles which event. `request_table`,
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
mod gateway;
mod idempotency;
pub mod reload;
pub mod request_table;
mod worker_connection;

pub use deployment::Deployment;
pub use gateway::{
    ConfigSource, Gateway, HistoryStore, PrefixTracker, PromisedRetry, RestoredTraffic, RestoredWorker,
    StatusSection, TrafficBaseline,
};
