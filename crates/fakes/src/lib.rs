//! Peers of a router for drills and tests. Each is a machine without I/O, plays its own script of troubles,
//! and writes what it sees on its sockets into a shared ledger, which is all that an auditor goes by.
pub mod client;
pub mod hosts;
pub mod ledger;
pub mod simulated_transport;
pub mod store;
pub mod wording;
pub mod worker;
