//! Durations and limits of the prefix cache, with their units and reasons.
use applepond::interface::Micros;

/// Maximum number of counters in a sketch: at 10 bytes per id and 3 bytes per count, they fit into one
/// published gossip value.
pub const SKETCH_COUNTERS: usize = 60;

/// Duration of a pane in µs.
pub const PANE_DURATION: Micros = 5_000_000;

/// Number of panes from which usage is computed: together they cover 30 s, and a use is published at the
/// end of its pane.
pub const PANES: u64 = 6;

/// Maximum fraction of the fleet's uses of a prefix that one router may contribute, so that neither a client
/// that loops at one router nor a router that publishes false counts can get a prefix pinned alone.
pub(crate) const MAX_ROUTER_FRACTION: f64 = 0.25;

/// Minimum number of uses of a prefix outside the router with the highest rate. Fewer uses may be due to
/// chance, and counted over a single pane they would amount to a high rate.
pub(crate) const MIN_OTHER_USES: u64 = 6;

/// Maximum number of pins in a list, so that the encoded list fits into one message of the consensus
/// protocol.
pub const MAX_PINS: usize = 48;

/// Minimum interval in µs between two changes of the list: each change makes workers prepare prefixes.
pub const CHANGE_INTERVAL: Micros = 5_000_000;

/// Maximum number of pins that one change adds or removes.
pub const MAX_CHANGES: usize = 8;

/// Hysteresis: a pin is removed only when its rate falls below this fraction of the rate at which it would
/// be added, because measured rates vary by chance.
pub(crate) const STAY_FRACTION: f64 = 0.5;

/// Minimum time in µs for which a prefix stays pinned.
pub const MIN_TIME_PINNED: Micros = 20_000_000;

/// Minimum time in µs for which a prefix stays unpinned after its pin was removed.
pub const MIN_TIME_UNPINNED: Micros = 10_000_000;

/// Duration in µs of the lease that a request carries: with a dozen workers, a prefix that is worth a pin
/// reaches each of them about every 30 s, which renews the lease before it expires.
pub const LEASE_DURATION: Micros = 60_000_000;

/// Time in µs for which the memory of a removed pin still counts as used: leases on it may still be valid,
/// and routers with a valid copy of the previous list may grant further ones until that copy expires.
pub const RELEASE_DELAY: Micros = LEASE_DURATION + 5_000_000;
