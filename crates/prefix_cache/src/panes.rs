//! Panes of time: a router's own uses of prefixes, those that others have published, and the fleet's uses a
//! second of each prefix.
use crate::PrefixId;
use crate::config::{MAX_ROUTER_FRACTION, MIN_OTHER_USES, PANE_DURATION, PANES};
use crate::error::DecodeError;
use crate::sketch::Sketch;
use applepond::interface::Micros;
use applepond_membership::RouterId;
use std::collections::BTreeMap;

/// The counts of one pane, as they are published.
#[derive(Clone, Debug, PartialEq)]
pub struct PaneCounts {
    /// Number of the pane at its origin.
    pub pane: u64,
    /// What was counted in it.
    pub sketch: Sketch,
}

/// Uses of one prefix over the fleet, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixUsage {
    /// The prefix.
    pub id: PrefixId,
    /// Uses a second that are certain, with the part of each router bounded.
    pub per_s: f64,
    /// The true rate is higher than [`per_s`](PrefixUsage::per_s) by this at most.
    pub max_error: f64,
    /// Number of routers that have published uses of it.
    pub routers: usize,
}

/// What one router contributes to the uses of one prefix.
#[derive(Clone, Copy)]
struct Contribution {
    per_s: f64,
    uses: u64,
}

/// The counts of one router over its panes.
#[derive(Default)]
struct RouterCounts {
    sketch: Sketch,
    panes: u64,
}

impl RouterCounts {
    /// Duration of the panes in seconds.
    fn seconds(&self) -> f64 {
        self.panes.max(1) as f64 * PANE_DURATION as f64 / 1e6
    }
}

/// The pane of a router that is under way.
pub struct PaneCounter {
    began_at: Micros,
    number: u64,
    current: Sketch,
}

impl PaneCounter {
    /// Time in µs for which published panes count.
    pub const LIFETIME: Micros = PANE_DURATION * PANES;

    /// Begins the first pane.
    pub fn new(now: Micros) -> Self {
        PaneCounter { began_at: now, number: 0, current: Sketch::default() }
    }

    /// A request that has this prefix arrived.
    pub fn record_use(&mut self, id: PrefixId) {
        self.current.add(id, 1);
    }

    /// When the pane ends.
    pub fn next_deadline(&self) -> Micros {
        self.began_at + PANE_DURATION
    }

    /// The pane that is over, if it is. It is published as it stands and never changed.
    pub fn take_finished(&mut self, now: Micros) -> Option<PaneCounts> {
        if now < self.next_deadline() {
            return None;
        }
        // A process that stood still has one long pane, and says nothing about the time in which it saw
        // nothing.
        self.began_at = now;
        self.number += 1;
        Some(PaneCounts { pane: self.number, sketch: std::mem::take(&mut self.current) })
    }

    /// Encodes the counts of a pane for publication.
    pub fn write(counts: &PaneCounts) -> Vec<u8> {
        // Encoding numbers does not fail.
        postcard::to_stdvec(&counts.sketch).unwrap_or_default()
    }

    /// Decodes the published counts of a pane.
    ///
    /// # Errors
    ///
    /// If the bytes cannot be decoded, or no sketch can have these counts.
    pub fn read(pane: u64, bytes: &[u8]) -> Result<PaneCounts, DecodeError> {
        let sketch = match postcard::take_from_bytes::<Sketch>(bytes) {
            Ok((sketch, [])) => sketch,
            _ => return Err(DecodeError::MalformedCounts),
        };
        if !sketch.is_sound() {
            return Err(DecodeError::InvalidCounts);
        }
        Ok(PaneCounts { pane, sketch })
    }

    /// The fleet's uses of each prefix. `panes` are all that still count; each pane of an origin counts
    /// once, however often it appears. A router that has published nothing is left out, and not taken for
    /// one that sees nothing.
    pub fn fleet_usage(panes: impl IntoIterator<Item = (RouterId, PaneCounts)>) -> Vec<PrefixUsage> {
        usage(panes, Some(MAX_ROUTER_FRACTION))
    }

    /// The same without the bound on the part of one router, for fault injection.
    pub fn unbounded_fleet_usage(
        panes: impl IntoIterator<Item = (RouterId, PaneCounts)>,
    ) -> Vec<PrefixUsage> {
        usage(panes, None)
    }
}

/// Merges panes into the uses of each prefix. `max_router_fraction`: what one router may contribute at
/// most.
fn usage(
    panes: impl IntoIterator<Item = (RouterId, PaneCounts)>,
    max_router_fraction: Option<f64>,
) -> Vec<PrefixUsage> {
    let mut contributions: BTreeMap<PrefixId, Vec<Contribution>> = BTreeMap::new();
    let mut max_error = 0.0;
    for counts in merge_by_router(panes).values() {
        let seconds = counts.seconds();
        max_error += counts.sketch.error() as f64 / seconds;
        for (id, uses) in counts.sketch.counts() {
            let contribution = Contribution { per_s: uses as f64 / seconds, uses };
            contributions.entry(id).or_default().push(contribution);
        }
    }
    let of_prefix = |(id, contributions): (PrefixId, Vec<Contribution>)| {
        let routers = contributions.len();
        PrefixUsage { id, per_s: total_rate(contributions, max_router_fraction), max_error, routers }
    };
    contributions.into_iter().map(of_prefix).collect()
}

/// The counts of each router, each of its panes once.
fn merge_by_router(
    panes: impl IntoIterator<Item = (RouterId, PaneCounts)>,
) -> BTreeMap<RouterId, RouterCounts> {
    let mut distinct: BTreeMap<(RouterId, u64), Sketch> = BTreeMap::new();
    for (origin, counts) in panes {
        distinct.insert((origin, counts.pane), counts.sketch);
    }
    let mut merged: BTreeMap<RouterId, RouterCounts> = BTreeMap::new();
    for ((origin, _), sketch) in &distinct {
        let counts = merged.entry(*origin).or_default();
        counts.sketch.merge(sketch);
        counts.panes += 1;
    }
    merged
}

/// Uses a second of one prefix over all routers.
///
/// This guards against a single router that lies: its part of the total is bounded, and counts only if the
/// others see the prefix too.
fn total_rate(mut contributions: Vec<Contribution>, max_router_fraction: Option<f64>) -> f64 {
    contributions.sort_by(|one, other| other.per_s.total_cmp(&one.per_s));
    let Some((largest, others)) = contributions.split_first() else { return 0.0 };
    let others_rate: f64 = others.iter().map(|other| other.per_s).sum();
    let Some(fraction) = max_router_fraction else { return others_rate + largest.per_s };
    let others_uses = others.iter().fold(0u64, |sum, other| sum.saturating_add(other.uses));
    if others_uses < MIN_OTHER_USES {
        return 0.0;
    }
    let most = others_rate * fraction / (1.0 - fraction);
    others_rate + largest.per_s.min(most)
}
