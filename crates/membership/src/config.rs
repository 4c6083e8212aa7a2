//! Intervals, timeouts and limits of the membership protocol, with their units and reasons.
use applepond::interface::Micros;

/// Interval in µs between two heartbeats to each neighbour.
///
/// At least eight heartbeats fit into [`HEARTBEAT_TIMEOUT`], so that with a third of all messages lost, only
/// one timeout in a thousand is due to chance.
pub const HEARTBEAT_INTERVAL: Micros = 250_000;

/// Silence in µs after which a neighbour is suspected.
///
/// Together with the suspicion timeout it exceeds the 2 s for which a process may be paused without being
/// declared dead.
pub const HEARTBEAT_TIMEOUT: Micros = 2_000_000;

/// Time in µs from a quorum of votes to the declaration of death. A process that has just resumed is heard
/// within it, and its refutation reaches all routers.
pub(crate) const SUSPICION_TIMEOUT: Micros = 600_000;

/// Age in µs at which a vote expires unless it is renewed.
pub(crate) const VOTE_LIFETIME: Micros = 4_000_000;

/// Age in µs at which this router renews its own vote.
pub(crate) const VOTE_RENEWAL_INTERVAL: Micros = 1_000_000;

/// Lateness of a timer in µs beyond which this process counts as stalled: far longer than a busy iteration
/// of the event loop.
pub(crate) const STALL_THRESHOLD: Micros = 150_000;

/// Time in µs for which a health penalty (for a stall or a false suspicion) lengthens timeouts.
pub(crate) const HEALTH_PENALTY_DURATION: Micros = 10_000_000;

/// Fraction by which each health penalty lengthens a timeout.
pub(crate) const HEALTH_PENALTY_FACTOR: f64 = 0.25;

/// Maximum number of health penalties that count: with [`HEALTH_PENALTY_FACTOR`], they at most double a
/// timeout.
pub(crate) const MAX_HEALTH_PENALTIES: u32 = 4;

/// Minimum number of neighbours that must all be silent at once for a router to consider itself isolated.
/// An isolated router suspects nobody.
pub(crate) const MIN_NEIGHBOURS_TO_DETECT_ISOLATION: usize = 3;

/// Time in µs for which a router that is reported dead waits for a second report before it refutes the
/// first.
pub(crate) const REMOVAL_CONFIRMATION_WAIT: Micros = 100_000;

/// Number of rings. Each ring contributes two neighbours, so that a router has up to ten observers, of which
/// six are a majority.
pub(crate) const RING_COUNT: usize = 5;

/// Number of routers that are asked at the same time to probe a silent neighbour.
pub(crate) const INDIRECT_PROBES: usize = 3;

/// Interval in µs between two messages that carry only updates. It lets an update reach the whole fleet
/// within some tenths of a second.
pub(crate) const FLUSH_INTERVAL: Micros = 50_000;

/// Number of times that an update is sent to all neighbours. With ten neighbours, it reaches the fleet even
/// if a third of all messages are lost.
pub(crate) const RETRANSMIT_ROUNDS: u8 = 4;

/// Maximum number of queued updates. Beyond it the update that was sent most often is dropped; the comparison
/// of views delivers it to routers that missed it.
pub(crate) const MAX_QUEUED_UPDATES: usize = 2_048;

/// Minimum interval in µs between two comparisons of views with neighbours whose view differs.
pub(crate) const SYNC_INTERVAL: Micros = 500_000;

/// Maximum number of messages with records that answer one comparison of views.
pub(crate) const MAX_MESSAGES_PER_SYNC: usize = 16;

/// Maximum number of replies that a router sends in one heartbeat interval.
pub(crate) const MAX_REPLIES_PER_HEARTBEAT: usize = 64;

/// Interval in µs between two attempts to contact seeds and dead routers, which may have restarted.
pub(crate) const CONTACT_INTERVAL: Micros = 500_000;

/// Time in µs for which departed routers are remembered, so that outdated records cannot bring them back.
pub const DEPARTED_RETENTION: Micros = 600_000_000;

/// Maximum number of known routers, including departed ones. Further routers are not added.
pub const MAX_ROUTERS: usize = 8_192;

/// Maximum number of votes stored about one member: more than it has observers.
pub(crate) const MAX_VOTES_PER_MEMBER: usize = 32;

/// Maximum number of contested names for which a takeover is pending at the same time.
pub(crate) const MAX_PENDING_TAKEOVERS: usize = 64;

/// Time in µs that the holder of a name has to answer before another process takes the name over: the
/// holder is pinged sixteen times within it.
pub(crate) const TAKEOVER_TIMEOUT: Micros = 4_000_000;

/// Maximum backoff in µs between two rejoins of a router that is repeatedly declared dead.
pub(crate) const MAX_REJOIN_BACKOFF: Micros = 30_000_000;

/// Maximum length in bytes of the name of a router or a zone.
pub const MAX_NAME_BYTES: usize = 48;
