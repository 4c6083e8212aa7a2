//! Durations and bounds of the prefix cache, each with its unit and the reason for its size.
use applepond::interface::Micros;

/// Counters of a sketch: with ids of ten bytes and counts of three they fit into one value that is
/// published.
pub const SKETCH_COUNTERS: usize = 60;

/// Duration of a pane, in µs.
pub const PANE_DURATION: Micros = 5_000_000;

/// Panes that count: half a minute of uses, and new uses are published within one pane.
pub const PANES: u64 = 6;

/// Fraction of the fleet's uses of a prefix that one router may contribute at most: a client that loops at
/// one router, or a router that lies, does not lift a prefix over a threshold alone.
pub(crate) const MAX_ROUTER_FRACTION: f64 = 0.25;

/// Uses, without those of the router that has most of them, from which on a prefix counts: fewer are
/// chance, and over one pane they look like many.
pub(crate) const MIN_OTHER_USES: u64 = 6;

/// Pins of a list at most: it fits into a message of the consensus protocol, with all that surrounds it.
pub const MAX_PINS: usize = 48;

/// Interval between two changes of the list at least, in µs: workers prepare prefixes anew for each.
pub const CHANGE_INTERVAL: Micros = 5_000_000;

/// Pins that are added or removed in one change at most.
pub const MAX_CHANGES: usize = 8;

/// Fraction of the rate needed to become pinned below which a pin is removed: rates vary by chance.
pub(crate) const STAY_FRACTION: f64 = 0.5;

/// Time in µs for which a prefix stays pinned at least.
pub const MIN_TIME_PINNED: Micros = 20_000_000;

/// Time in µs for which a prefix stays unpinned at least, once its pin has been removed.
pub const MIN_TIME_UNPINNED: Micros = 10_000_000;

/// Duration in µs of the lease that travels with a request: with a dozen workers, a prefix that is worth a
/// pin comes to each of them once in half a minute.
pub const LEASE_DURATION: Micros = 60_000_000;

/// Time in µs after the removal of a pin for which its memory still counts as used: leases may still run,
/// and copies of the list before may grant further ones until they end.
pub const RELEASE_DELAY: Micros = LEASE_DURATION + 5_000_000;
