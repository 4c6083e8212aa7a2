//! Intervals, lifetimes and limits of the gossip protocol, with their units and reasons.
use applepond::interface::Micros;

/// Interval in µs between two exchanges that a router starts. Each exchange is with one random neighbour, so
/// an entry reaches all of 1,000 routers after about ten intervals.
pub const SYNC_INTERVAL: Micros = 250_000;

/// Number of buckets into which origins are divided for comparison. The digests of all buckets fit into one
/// message.
pub(crate) const DIGEST_BUCKETS: usize = 32;

/// Maximum size of a message in bytes, as in the membership protocol: with its envelope it passes every
/// network path unfragmented.
pub const MAX_MESSAGE_BYTES: usize = applepond_membership::MAX_MESSAGE_BYTES;

/// Maximum size of a value in bytes, so that an entry always fits into one message.
pub const MAX_VALUE_BYTES: usize = 900;

/// Maximum number of bytes stored for one origin: enough for a sketch of about a hundred counters and an
/// entry for each of about a hundred workers.
pub const MAX_ORIGIN_BYTES: usize = 32 * 1024;

/// Maximum number of bytes stored for all origins: enough for 2,000 origins that publish 16 kB each.
pub(crate) const MAX_TOTAL_BYTES: usize = 32 * 1024 * 1024;

/// Bytes counted for each entry in addition to its value, and for each origin in addition to its entries.
pub const ENTRY_OVERHEAD_BYTES: usize = 64;

/// Maximum number of origins: as many as the membership stores routers.
pub const MAX_ORIGINS: usize = applepond_membership::MAX_ROUTERS;

/// Maximum number of message bytes sent in one [`SYNC_INTERVAL`]: 1 MB/s for one process.
pub const MAX_BYTES_PER_INTERVAL: usize = 256 * 1024;

/// Lifetime in µs of entries whose kind has no configured lifetime. The origin publishes an entry again
/// before it expires.
pub(crate) const DEFAULT_LIFETIME: Micros = 60_000_000;

/// Time in µs for which the entries of a departed router remain valid: a restarted router is back within it.
pub const DEAD_ORIGIN_GRACE: Micros = 30_000_000;

/// Time in µs after departure until an origin's version is forgotten; its entries are dropped earlier. The
/// membership remembers departed routers for the same time.
pub const DEAD_ORIGIN_RETENTION: Micros = applepond_membership::DEPARTED_RETENTION;

/// Minimum interval in µs between two raises of the local incarnation to void entries that this router has
/// not published. It limits the cost of a router that forges such entries continuously.
pub(crate) const INCARNATION_RAISE_INTERVAL: Micros = 1_000_000;

/// Exclusive upper bound of incarnations and sequence numbers. Messages with higher numbers are rejected, so
/// that increments cannot overflow.
pub const MAX_NUMBER: u64 = 1 << 62;
