//! Recovery of a router after a restart: facts that took time to learn, a snapshot of them, and peers that
//! are asked for theirs.
//!
//! **No fact is a permission.** A fact only ever makes a router more careful: a lower concurrency limit, a
//! worker that is tried by one request first, a drain that is kept. What may be spent is agreed on anew.
//! Facts whose age nobody can know count as the oldest.
//!
//! All types are state machines without I/O: the caller passes in the time, messages and bytes of files.
//! `docs/recovery.md` explains the choices.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]
mod error;
mod fact;
mod fact_table;
pub mod message;
mod observation_store;
mod peer_recovery;
mod snapshot;

pub use error::{MalformedMessage, SnapshotError};
pub use fact::{Fact, FactKey, FactKind, Lifetime};
pub use fact_table::Facts;
pub use observation_store::{ObservationStore, RouterHistory, TrafficBaseline, WorkerIncarnation};
pub use peer_recovery::{Actions, Guards, PeerRecovery, Stage};
pub use snapshot::{BootId, decode_snapshot, encode_snapshot};

use applepond::interface::Micros;

/// The most facts that are known: four each of five hundred workers, and the load times of two thousand
/// functions.
pub const MAX_FACTS: usize = 4_096;
/// The most bytes of a snapshot: as many facts with all around them.
pub const MAX_SNAPSHOT_BYTES: usize = 256 * 1024;
/// The least time between two snapshots, in µs. A slow disk has seconds for each.
pub const SNAPSHOT_INTERVAL: Micros = 2_000_000;
/// Peers that are asked at a time. The median of three tolerates one that is wrong.
pub const PARALLEL_PEERS: usize = 3;
/// How long an answer is awaited before another peer is asked, in µs.
pub const RESPONSE_TIMEOUT: Micros = 400_000;
/// The time before a peer that said it is empty is asked again, in µs. It may have recovered by then.
pub const EMPTY_PEER_BACKOFF: Micros = 1_000_000;
/// The time from the start after which nobody is asked any more, in µs: what the router has observed itself
/// says more then.
pub const RECOVERY_WINDOW: Micros = 4_000_000;
/// The most requests that a router sends, whoever answers: where nearly all restart at once most of them are
/// empty.
pub const MAX_REQUESTS: u32 = 200;
/// The most bytes that a router gives to its peers in a second: routing goes first.
pub const SEND_BYTES_PER_SECOND: u64 = 128 * 1024;
/// The most bytes that a router gives to its peers at once.
pub const SEND_BURST_BYTES: u64 = 32 * 1024;
/// The least time after which a peer is told to ask again, in µs.
pub const MIN_RETRY_DELAY: Micros = 100_000;
/// The longest time after which a peer is told to ask again, in µs.
pub const MAX_RETRY_DELAY: Micros = 1_000_000;
/// The most facts in one message: 32 bytes each at most, and the message's own parts.
pub const FACTS_PER_PAGE: usize = 32;
