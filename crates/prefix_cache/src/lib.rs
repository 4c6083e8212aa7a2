//! Openings worth keeping prepared. Many requests to one model begin alike; a worker that has prepared an
//! opening keeps it for a while. No router sees much of any, so each counts in sketches of bounded size,
//! all are merged, and one list is agreed on. Machines without I/O: counts and the time in, a list and
//! leases out. See docs/prefix-cache.md.
//!
//! Counts are told and only a hint; the list is what is agreed on, and counts as long as its copy does. A pin
//! rides on the requests that use it, as a lease with an end: there is no unpin that could be lost.
mod decide;
mod fault;
mod panes;
mod sketch;

pub use decide::{List, Pin, Pins, Terms};
pub use fault::Unfit;
pub use panes::{Counted, Panes, Told};
pub use sketch::Sketch;

use applepond::interface::Micros;
use serde::{Deserialize, Serialize};

/// An opening by the digest of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OpeningId(pub u64);

// ---- Constants: unit, and why this size ------------------------------------------------

/// Counters of a sketch: with ids of ten bytes and counts of three they fit into one value that is told.
pub const COUNTERS: usize = 60;
/// µs of a pane, and panes that count: half a minute of uses, and what is new is told within one pane.
pub const PANE: Micros = 5_000_000;
pub const PANES: u64 = 6;
/// Part of the fleet's uses of an opening that one router may speak for at most: a client that loops at one
/// router, or a router that lies, carries nothing above a line alone.
pub const ONE_PART: f64 = 0.25;
/// Uses by others than the router that has most of them from which on an opening counts: fewer are
/// chance, and over one pane they look like many.
pub const FEW: u64 = 6;
/// Pins of a list at most: it fits into a message of what is agreed on, with all around it.
pub const PINS_MOST: usize = 48;
/// µs between two changes of the list at least, and changes of pins in one: workers prepare anew for each.
pub const CHANGE: Micros = 5_000_000;
pub const CHANGES_MOST: usize = 8;
/// Below this part of the line that lets it in a pin goes: uses wander by chance.
pub const STAYS: f64 = 0.5;
/// µs for which a pin stays at least once it is in, and stays out once it is out.
pub const LEAST_IN: Micros = 20_000_000;
pub const LEAST_OUT: Micros = 10_000_000;
/// µs of a lease that rides on a request: at a dozen workers an opening that is worth a pin comes to each of
/// them once in half a minute.
pub const RIDES: Micros = 60_000_000;
/// µs after a list has shrunk for which its memory still counts as taken: leases, and copies of the list
/// before that rode on until they ended.
pub const SHRUNK: Micros = RIDES + 5_000_000;
