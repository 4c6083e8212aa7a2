//! Gossip between routers: an eventually consistent store of entries that each router publishes about
//! itself, as a state machine without I/O.
//!
//! Entries are identified by origin, kind and key; the origin, the router that publishes an entry, is its
//! only writer. Neighbours reconcile their stores by anti-entropy as in Scuttlebutt: they compare digests,
//! then versions by origin, and send the entries that the other one lacks. The caller passes in the time,
//! received messages, and the neighbours and live routers of the membership; the state machine emits
//! messages through [`Actions`].
//!
//! Entries arrive late, expire, and are only hints: no limit that must hold, no lease and no ballot may
//! depend on them. A router that has published nothing appears in no answer: unknown is not zero. See
//! `docs/gossip.md`.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod config;
mod error;
mod gossip;
mod message;

pub use config::{
    DEAD_ORIGIN_GRACE, DEAD_ORIGIN_RETENTION, ENTRY_OVERHEAD_BYTES, MAX_BYTES_PER_INTERVAL,
    MAX_MESSAGE_BYTES, MAX_NUMBER, MAX_ORIGIN_BYTES, MAX_ORIGINS, MAX_VALUE_BYTES, SYNC_INTERVAL,
};
pub use error::{MessageError, PublishError};
pub use gossip::{Actions, Gossip, KindLifetime, PublishedEntry};
pub use message::{Key, Kind, PROTOCOL_MARKER};
