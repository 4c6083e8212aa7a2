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

pub use facts::{About, Fact, Facts, What};
pub use fault::{Unread, Unusable};
pub use memory::{Memory, Own, Usual};
pub use peers::{Actions, Guards, Peers, Stage};
pub use snapshot::{Boot, read, write};

use applepond::interface::Micros;

// ---- Constants: unit, and why this size ------------------------------------------------

/// Facts kept at most: some four each of five hundred workers, and load times of two thousand functions.
pub const FACTS_MOST: usize = 4_096;
/// Bytes of a snapshot at most: as many facts with all around them.
pub const SNAPSHOT_MOST: usize = 256 * 1024;
/// µs between two snapshots at least: a disk that is slow has seconds for each.
pub const EVERY: Micros = 2_000_000;
/// Peers asked at a time: a median of three bears one that is wrong.
pub const PEERS: usize = 3;
/// µs for which an answer is waited for before another peer is asked.
pub const PATIENCE: Micros = 400_000;
/// µs after which one that said it is empty is asked again: it is told itself meanwhile.
pub const EMPTY: Micros = 1_000_000;
/// µs from the start after which nobody is asked any more: what the router has seen itself says more then.
pub const SPAN: Micros = 4_000_000;
/// Asks a router sends at most, whoever answers: where nearly all come back at once most of them are empty.
pub const ASKS_MOST: u32 = 200;
/// Bytes a second that a router gives to askers at most, and what it may give at once: routing goes first.
pub const GIVE: u64 = 128 * 1024;
pub const GIVE_AT_ONCE: u64 = 32 * 1024;
/// µs after which an asker is told to come again, at least, and the most it is told.
pub const AGAIN: Micros = 100_000;
pub const AGAIN_MOST: Micros = 1_000_000;
/// Facts in one message at most: 32 bytes each at the most, and the message's own words.
pub const PAGE: usize = 32;
