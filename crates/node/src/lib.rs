//! One router of the operators' platform, as a machine without I/O around `Control`: it carries out
//! `Control`'s actions on the platform's protocol and reports what came of them. It makes no routing
//! decision; what is decided here is only what happens on a connection.
//!
//! [`Node`] is the machine; its module says which file handles which event. The request table, the judgement
//! of ended connections and the timers are shared with the gateway (`applepond-gateway`).
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod client;
mod client_timeouts;
mod name_service;
mod node;
mod worker_connection;
mod workers;

pub use node::{ExitReason, Node, OpenCounts, ProcessEvent};
