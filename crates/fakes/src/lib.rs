//! Test doubles of a router's peers, for scenarios and tests. Each is a state machine without I/O of its own
//! that follows a script of faults and records what it observes on its sockets in a shared ledger. Audits
//! judge the routers by that ledger alone.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

pub mod client;
pub mod endpoint_list;
pub mod http_peer;
pub mod ledger;
pub mod simulated_transport;
pub mod store;
pub mod worker;
