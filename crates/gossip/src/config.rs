//! Intervals, lifetimes and bounds of the gossip protocol, each with its unit and the reason for its size.
use applepond::interface::Micros;

/// Interval between two comparisons that a router begins, in µs. Each goes to one neighbour at random, so
/// an entry reaches all of a thousand routers after some ten of them.
pub const SYNC_INTERVAL: Micros = 250_000;

/// Number of buckets into which origins are divided for comparison; one message has room for the digests of
/// all buckets.
pub(crate) const DIGEST_BUCKETS: usize = 32;

/// Size of a message at most, in bytes, as in the membership protocol: with its envelope every network path
/// carries it unfragmented.
pub const MAX_MESSAGE_BYTES: usize = applepond_membership::MAX_MESSAGE_BYTES;

/// Size of one value at most, in bytes: a message carries the largest value with all that surrounds it.
pub const MAX_VALUE_BYTES: usize = 900;

/// Bytes that are stored of one origin at most: a sketch of some hundred counters, and an entry for each of
/// some hundred workers.
pub const MAX_ORIGIN_BYTES: usize = 32 * 1024;

/// Bytes that are stored of all origins at most: two thousand that publish 16 kB each.
pub(crate) const MAX_TOTAL_BYTES: usize = 32 * 1024 * 1024;

/// Bytes that are counted for an entry in addition to its value, and for an origin in addition to its
/// entries.
pub const ENTRY_OVERHEAD_BYTES: usize = 64;

/// Origins at most: as many as the membership knows routers.
pub const MAX_ORIGINS: usize = applepond_membership::MAX_ROUTERS;

/// Bytes of messages that are sent in one [`SYNC_INTERVAL`] at most: 1 MB a second for one process.
pub const MAX_BYTES_PER_INTERVAL: usize = 256 * 1024;

/// Lifetime in µs of entries of a kind without a lifetime of its own. Its origin publishes an entry again
/// before it expires.
pub(crate) const DEFAULT_LIFETIME: Micros = 60_000_000;

/// Time in µs for which entries of a router that has departed still count: a restarted router is back by
/// then.
pub const DEAD_ORIGIN_GRACE: Micros = 30_000_000;

/// Time in µs for which it is remembered that an origin existed, without its entries: as long as in the
/// membership.
pub const DEAD_ORIGIN_RETENTION: Micros = applepond_membership::DEPARTED_RETENTION;

/// Interval in µs between two raises of the own incarnation over entries that others hold in this router's
/// name: a router that forges them continuously costs no more than that.
pub(crate) const INCARNATION_RAISE_INTERVAL: Micros = 1_000_000;

/// Exclusive upper bound of incarnations and sequence numbers. Messages that exceed it are rejected, so
/// that no number overflows.
pub const MAX_NUMBER: u64 = 1 << 62;
