//! Coming back after a stop: facts that took time to learn, with their ages; a snapshot of them that
//! disks may lose, bend or put back; and a few peers that are asked for theirs. Machines without I/O.
//!
//! **No fact is a permission.** A fact only ever makes a router more careful: less room, a worker tried
//! by one request first, a drain that is kept. What may be spent is agreed on anew. Facts of an age that
//! nobody can know count as the oldest. See docs/recovery.md.
mod facts;
mod fault;
mod memory;
pub mod message;
mod peers;
mod snapshot;

pub use facts::{Fact, FactKey, FactKind, Facts};
pub use fault::{MalformedMessage, SnapshotError};
pub use memory::{ObservationStore, RouterHistory, TrafficBaseline};
pub use peers::{Actions, Guards, PeerRecovery, Stage};
pub use snapshot::{BootId, decode_snapshot, encode_snapshot};

use applepond::interface::Micros;

// ---- Constants: unit, and why this size ------------------------------------------------

/// Facts kept at most: some four each of five hundred workers, and load times of two thousand functions.
pub const MAX_FACTS: usize = 4_096;
/// Bytes of a snapshot at most: as many facts with all around them.
pub const MAX_SNAPSHOT_BYTES: usize = 256 * 1024;
/// µs between two snapshots at least: a disk that is slow has seconds for each.
pub const SNAPSHOT_INTERVAL: Micros = 2_000_000;
/// Peers asked at a time: a median of three bears one that is wrong.
pub const PARALLEL_PEERS: usize = 3;
/// µs for which an answer is waited for before another peer is asked.
pub const RESPONSE_TIMEOUT: Micros = 400_000;
/// µs after which one that said it is empty is asked again: it is told itself meanwhile.
pub const EMPTY_PEER_BACKOFF: Micros = 1_000_000;
/// µs from the start after which nobody is asked any more: what the router has seen itself says more then.
pub const RECOVERY_WINDOW: Micros = 4_000_000;
/// Asks a router sends at most, whoever answers: where nearly all come back at once most of them are empty.
pub const MAX_REQUESTS: u32 = 200;
/// Bytes a second that a router gives to askers at most, and what it may give at once: routing goes first.
pub const SEND_BYTES_PER_SECOND: u64 = 128 * 1024;
pub const SEND_BURST_BYTES: u64 = 32 * 1024;
/// µs after which an asker is told to come again, at least, and the most it is told.
pub const MIN_RETRY_DELAY: Micros = 100_000;
pub const MAX_RETRY_DELAY: Micros = 1_000_000;
/// Facts in one message at most: 32 bytes each at the most, and the message's own words.
pub const FACTS_PER_PAGE: usize = 32;
