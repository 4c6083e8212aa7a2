//! Test doubles of a router's peers, for scenarios and tests. Each is a machine without I/O that plays its
//! own script of faults, and writes what it sees on its sockets into a shared ledger, which is all that an
//! audit goes by.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

pub mod client;
pub mod endpoint_list;
pub mod http_peer;
pub mod ledger;
pub mod simulated_transport;
pub mod store;
pub mod worker;
