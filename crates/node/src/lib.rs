//! One router of the operators' platform, as a state machine without I/O around `Control`. It carries out
//! `Control`'s actions in the platform's protocol and reports their results. All routing decisions are made
//! by `Control`; this crate only manages connections.
//!
//! [`Node`] is the state machine; its module documentation lists which file handles which event. The request
//! table, the mapping of lost connections to attempt outcomes, and the timers are shared with the gateway
//! (`applepond-gateway`).
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod client;
mod client_timeouts;
mod name_service;
mod node;
mod worker_connection;
mod workers;

pub use node::{ExitReason, Node, OpenCounts, ProcessEvent};
