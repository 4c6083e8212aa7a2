//! Decides which prompt prefixes are pinned in the caches of workers; without I/O.
//!
//! Many requests to one model begin with the same prefix, and a worker keeps a prepared prefix in its cache
//! for a while. Each router sees only a fraction of the uses of a prefix. It therefore counts them in a
//! sketch of bounded size ([`Sketch`]) and publishes the counts of fixed time intervals, called panes
//! ([`PaneCounter`]). From the merged counts of all routers one of them plans the next list of pins
//! ([`PinPlanner`]), on which the routers then agree.
//!
//! Counts are hints; only the list ([`PinList`]) is agreed on, and a router applies it only while its copy is
//! valid. Each request that uses a pinned prefix carries the pin as a lease that expires, so no message that
//! releases a pin can get lost. See `docs/prefix-cache.md`.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod config;
mod error;
mod list;
mod panes;
mod pins;
mod sketch;

pub use config::{
    CHANGE_INTERVAL, LEASE_DURATION, MAX_CHANGES, MAX_PINS, MIN_TIME_PINNED, MIN_TIME_UNPINNED,
    PANE_DURATION, PANES, RELEASE_DELAY, SKETCH_COUNTERS,
};
pub use error::DecodeError;
pub use list::{Pin, PinList};
pub use panes::{PaneCounter, PaneCounts, PrefixUsage};
pub use pins::{CostModel, PinPlanner};
pub use sketch::Sketch;

use serde::{Deserialize, Serialize};

/// Identifies a prompt prefix by the digest of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PrefixId(
    /// The digest.
    pub u64,
);
