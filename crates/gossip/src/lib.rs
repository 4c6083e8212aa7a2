//! What each router tells the others of itself: entries by origin, incarnation, kind and key. Only the origin
//! writes; neighbours compare what they hold by parts and send what differs. A machine without I/O: the time,
//! messages and the neighbours of `members` come in, messages go out.
//!
//! What is told is late, fades, and is only ever a hint: no sum that must hold, no permit and no term may
//! rest on it. Who has said nothing is not in any answer here: nothing known is not zero. See
//! docs/gossip.md.
mod fault;
mod machine;
mod message;

pub use fault::{MessageError, PublishError};
pub use machine::{Actions, Gossip, KindLifetime, PublishedEntry};
pub use message::PROTOCOL_MARKER;

use applepond::interface::Micros;
use serde::{Deserialize, Serialize};

// ---- Constants: unit, and why this size ------------------------------------------------

/// µs between two comparisons that a router begins: each goes to one neighbour by chance, so news has gone
/// around a thousand routers after some ten of them.
pub const SYNC_INTERVAL: Micros = 250_000;
/// Parts that are compared by themselves: one message has room for the digests of all.
pub const DIGEST_BUCKETS: usize = 32;
/// Bytes of a message at most, as in `members`: with its envelope every path carries it whole.
pub const MAX_MESSAGE_BYTES: usize = applepond_membership::MAX_MESSAGE_BYTES;
/// Bytes of one value at most: a message carries the largest with all that stands around it.
pub const MAX_VALUE_BYTES: usize = 900;
/// Bytes kept of one origin at most: a sketch of some hundred counters and a row for each of some hundred
/// workers.
pub const MAX_ORIGIN_BYTES: usize = 32 * 1024;
/// Bytes kept of all origins at most: two thousand that tell 16 kB each.
pub const MAX_TOTAL_BYTES: usize = 32 * 1024 * 1024;
/// Bytes counted for an entry beside its value, and for an origin beside its entries.
pub const ENTRY_OVERHEAD_BYTES: usize = 64;
/// Origins at most, as many as `members` knows routers.
pub const MAX_ORIGINS: usize = applepond_membership::MAX_ROUTERS;
/// Bytes of messages that go out between two comparisons at most: 1 MB a second an instance at the most.
pub const MAX_BYTES_PER_INTERVAL: usize = 256 * 1024;
/// µs for which an entry counts where no row says otherwise; its origin writes again what is to stay.
pub const DEFAULT_LIFETIME: Micros = 60_000_000;
/// µs for which what the gone have said still counts: a restart is back by then.
pub const DEAD_ORIGIN_GRACE: Micros = 30_000_000;
/// µs for which it is remembered that an origin was there, without its words: as long as `members` does.
pub const DEAD_ORIGIN_RETENTION: Micros = applepond_membership::DEPARTED_RETENTION;
/// µs between two times at which an origin raises its incarnation over words in its name: a liar that goes
/// on costs so much and no more.
pub const INCARNATION_RAISE_INTERVAL: Micros = 1_000_000;
/// Incarnations and versions are below it; what names a higher one is unreadable, so that none overflows.
pub const MAX_NUMBER: u64 = 1 << 62;

/// What sort of thing an entry tells; the table of them is the caller's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Kind(pub u8);

/// Which of its sort: a worker's id, a pane's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);
