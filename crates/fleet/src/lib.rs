//! Runtime of the router fleet: membership, gossip, consensus and recovery, multiplexed over one UDP port.
//!
//! [`FleetMachine`] connects these state machines to the socket, the disk threads, the log and the state
//! page; a keyed hash authenticates every datagram ([`envelope`]). Only `serve` runs it, and only if the
//! settings have a `fleet` block. This crate performs I/O and dispatch; the protocol decisions are made in
//! the state machines.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

pub mod disk;
pub mod envelope;
mod machine;
mod page;
mod query;
mod shared_state;

pub use machine::{FleetMachine, FleetMachineConfig, FleetView};
pub use page::page;
pub use query::{QueryError, query};
pub use shared_state::{PrefixGuards, SharedState, SharedStateConfig};
