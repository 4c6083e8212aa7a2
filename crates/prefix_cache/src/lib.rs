//! Which prompt prefixes are pinned in the caches of workers, without I/O.
//!
//! Many requests to one model begin alike, and a worker that has prepared such a prefix keeps it for a
//! while. No router sees many of the uses of a prefix, so each of them counts in a sketch of bounded size
//! ([`Sketch`]) and publishes it in panes of time ([`Panes`]). The merged counts lead to the next list of
//! pins ([`PinPlanner`]), on which the routers agree.
//!
//! Counts are only a hint; the list ([`List`]) is what is agreed on, and is valid for as long as the
//! router's copy of it. A pin travels with the requests that use the prefix, as a lease with an end, so no
//! release can be lost. See `docs/prefix-cache.md`.
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
pub use list::{List, Pin};
pub use panes::{PaneCounts, Panes, PrefixUsage};
pub use pins::{CostModel, PinPlanner};
pub use sketch::Sketch;

use serde::{Deserialize, Serialize};

/// Identifies a prompt prefix by the digest of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PrefixId(
    /// The digest.
    pub u64,
);
