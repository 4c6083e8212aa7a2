//! What the routers of a fleet have in common: membership, gossip, agreed state and recovery, on one UDP
//! port.
//!
//! [`FleetMachine`] connects these state machines with the socket, the disks, the log and the state page;
//! datagrams are authenticated by a keyed hash ([`envelope`]). `serve` runs it where the settings have a
//! `fleet` block, and nothing else does. Nothing is decided here.
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
