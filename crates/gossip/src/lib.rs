//! Gossip between routers: eventually consistent entries about the router that publishes them, as a state
//! machine without I/O.
//!
//! Each router publishes entries by kind and key, and is the only writer of its own. Neighbours reconcile
//! what they hold by anti-entropy in the manner of Scuttlebutt: they compare digests, then versions by
//! origin, and send the entries that the other one lacks. The caller feeds in the time, received messages
//! and the neighbours and live routers of the membership; the machine answers through [`Actions`] with
//! messages.
//!
//! What is published arrives late, expires, and is only ever a hint: no sum that has to hold, no lease and
//! no ballot may rest on it. A router that has published nothing appears in no answer: unknown is not zero.
//! See `docs/gossip.md`.
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
