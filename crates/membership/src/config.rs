//! Intervals, timeouts and bounds of the membership protocol, each with its unit and the reason for its
//! size.
use applepond::interface::Micros;

/// Interval between two heartbeats to each neighbour, in µs.
///
/// Eight or more heartbeats fit into [`HEARTBEAT_TIMEOUT`], so that with a third of all messages lost only
/// one silence in a thousand is due to chance.
pub const HEARTBEAT_INTERVAL: Micros = 250_000;

/// Silence after which a neighbour is suspected, in µs.
///
/// Together with the suspicion timeout it exceeds the two seconds for which a process may stand still
/// without being declared dead.
pub const HEARTBEAT_TIMEOUT: Micros = 2_000_000;

/// Time from the quorum of votes to the declaration of death, in µs: a process that has just resumed is
/// heard within it, and its refutation reaches everybody.
pub(crate) const SUSPICION_TIMEOUT: Micros = 600_000;

/// Age in µs at which a vote no longer counts, unless it is cast anew.
pub(crate) const VOTE_LIFETIME: Micros = 4_000_000;

/// Age in µs at which this router casts its own standing vote anew.
pub(crate) const VOTE_RENEWAL_INTERVAL: Micros = 1_000_000;

/// Lateness of a timer, in µs, from which this process counts as having stood still: far above a busy turn
/// of the event loop.
pub(crate) const STALL_THRESHOLD: Micros = 150_000;

/// Time in µs for which a sign of bad health (a stall, a false suspicion) lengthens timeouts.
pub(crate) const HEALTH_PENALTY_DURATION: Micros = 10_000_000;

/// Fraction by which each health penalty lengthens a timeout.
pub(crate) const HEALTH_PENALTY_FACTOR: f64 = 0.25;

/// Health penalties that count at most: with [`HEALTH_PENALTY_FACTOR`], a timeout at most doubles.
pub(crate) const MAX_HEALTH_PENALTIES: u32 = 4;

/// Neighbours that a router has at least when it takes itself for isolated because all of them are silent
/// at once. An isolated router suspects nobody.
pub(crate) const MIN_NEIGHBOURS_TO_DETECT_ISOLATION: usize = 3;

/// Time in µs for which a router waits for a second report that it was declared dead before it refutes the
/// first.
pub(crate) const REMOVAL_CONFIRMATION_WAIT: Micros = 100_000;

/// Number of rings. Each ring contributes two neighbours; ten different observers give a majority of six.
pub(crate) const RING_COUNT: usize = 5;

/// Routers that are asked at once to probe a silent neighbour.
pub(crate) const INDIRECT_PROBES: usize = 3;

/// Interval between two messages that carry nothing but updates, in µs: an update crosses the fleet within
/// some tenths of a second.
pub(crate) const FLUSH_INTERVAL: Micros = 50_000;

/// How often an update goes to all neighbours: with ten of them, a loss of a third of the messages stops
/// none.
pub(crate) const RETRANSMIT_ROUNDS: u8 = 4;

/// Updates that wait for dissemination at most. Beyond it the most transmitted one is dropped; comparing
/// views repairs what that costs.
pub(crate) const MAX_QUEUED_UPDATES: usize = 2_048;

/// Interval between two comparisons of views with neighbours whose view differs, in µs.
pub(crate) const SYNC_INTERVAL: Micros = 500_000;

/// Messages of records that answer one comparison of views at most.
pub(crate) const MAX_MESSAGES_PER_SYNC: usize = 16;

/// Replies that a router sends within one heartbeat interval at most.
pub(crate) const MAX_REPLIES_PER_HEARTBEAT: usize = 64;

/// Interval between two contacts to seeds and to routers that are dead, in µs: they may be back.
pub(crate) const CONTACT_INTERVAL: Micros = 500_000;

/// Time in µs for which routers that left or died are remembered: meanwhile older gossip cannot bring them
/// back.
pub const DEPARTED_RETENTION: Micros = 600_000_000;

/// Routers that are known at most, departed ones included; a further one is not taken in.
pub const MAX_ROUTERS: usize = 8_192;

/// Votes that are stored about one member at most: more than it has observers.
pub(crate) const MAX_VOTES_PER_MEMBER: usize = 32;

/// Contested names that are examined at a time at most.
pub(crate) const MAX_PENDING_TAKEOVERS: usize = 64;

/// Time in µs within which the holder of a name may answer before a newcomer takes the name over: sixteen
/// pings.
pub(crate) const TAKEOVER_TIMEOUT: Micros = 4_000_000;

/// Longest backoff in µs between two rejoins of a router that is declared dead again and again.
pub(crate) const MAX_REJOIN_BACKOFF: Micros = 30_000_000;

/// Length of a router's name and of a zone's name at most, in bytes.
pub const MAX_NAME_BYTES: usize = 48;
