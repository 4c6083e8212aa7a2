//! Counting of prefix uses in panes of fixed duration, their encoding for publication, and the estimate of
//! the fleet's usage from the panes of all routers.
use crate::PrefixId;
use crate::config::{MAX_ROUTER_FRACTION, MIN_OTHER_USES, PANE_DURATION, PANES};
use crate::error::DecodeError;
use crate::sketch::Sketch;
use applepond::interface::Micros;
use applepond_membership::RouterId;
use std::collections::BTreeMap;

/// The counts of one finished pane, as published.
#[derive(Clone, Debug, PartialEq)]
pub struct PaneCounts {
    /// Number of the pane at the router that counted it.
    pub pane: u64,
    /// Uses counted during the pane.
    pub sketch: Sketch,
}

/// Estimated usage of one prefix over the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixUsage {
    /// The prefix.
    pub id: PrefixId,
    /// Lower bound of the uses per second, with the contribution of the most active router limited.
    pub per_s: f64,
    /// Maximum by which the true rate exceeds [`per_s`](PrefixUsage::per_s) because of the sketches' error.
    pub max_error: f64,
    /// Number of routers that published uses of the prefix.
    pub routers: usize,
}

/// Contribution of one router to the usage of one prefix.
#[derive(Clone, Copy)]
struct Contribution {
    per_s: f64,
    uses: u64,
}

/// The counts of one router, summed over its panes.
#[derive(Default)]
struct RouterCounts {
    sketch: Sketch,
    panes: u64,
}

impl RouterCounts {
    /// Total duration of the panes in seconds.
    fn seconds(&self) -> f64 {
        self.panes.max(1) as f64 * PANE_DURATION as f64 / 1e6
    }
}

/// Counts this router's uses of prefixes in the current pane.
pub struct PaneCounter {
    started_at: Micros,
    number: u64,
    current: Sketch,
}

impl PaneCounter {
    /// Time in µs for which a published pane contributes to the usage.
    pub const LIFETIME: Micros = PANE_DURATION * PANES;

    /// Begins the first pane.
    pub fn new(now: Micros) -> Self {
        PaneCounter { started_at: now, number: 0, current: Sketch::default() }
    }

    /// Counts a request with this prefix.
    pub fn record_use(&mut self, id: PrefixId) {
        self.current.add(id, 1);
    }

    /// Time at which the current pane ends.
    pub fn next_deadline(&self) -> Micros {
        self.started_at + PANE_DURATION
    }

    /// Finishes the current pane if its time is over, starts the next one, and returns the finished counts
    /// for publication. Published counts never change.
    pub fn take_finished(&mut self, now: Micros) -> Option<PaneCounts> {
        if now < self.next_deadline() {
            return None;
        }
        // After a stall the next pane starts now: the time of the stall belongs to the finished pane, and no
        // empty panes are published for it.
        self.started_at = now;
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
    /// If the bytes cannot be decoded, or the counts contradict the bounds of a sketch.
    pub fn read(pane: u64, bytes: &[u8]) -> Result<PaneCounts, DecodeError> {
        let sketch = match postcard::take_from_bytes::<Sketch>(bytes) {
            Ok((sketch, [])) => sketch,
            _ => return Err(DecodeError::MalformedCounts),
        };
        if !sketch.is_consistent() {
            return Err(DecodeError::InvalidCounts);
        }
        Ok(PaneCounts { pane, sketch })
    }

    /// Estimates the fleet's usage of each prefix from all unexpired panes.
    ///
    /// A pane that appears several times counts once. A router that has published nothing is left out: it is
    /// not treated as one without any uses.
    pub fn fleet_usage(panes: impl IntoIterator<Item = (RouterId, PaneCounts)>) -> Vec<PrefixUsage> {
        usage(panes, Some(MAX_ROUTER_FRACTION))
    }

    /// Same as [`fleet_usage`](Self::fleet_usage), but without the limit on the contribution of one router;
    /// for fault injection.
    pub fn unbounded_fleet_usage(
        panes: impl IntoIterator<Item = (RouterId, PaneCounts)>,
    ) -> Vec<PrefixUsage> {
        usage(panes, None)
    }
}

/// Merges panes into the usage of each prefix. `max_router_fraction` limits the fraction of the total that
/// one router may contribute.
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
    let usage_of = |(id, contributions): (PrefixId, Vec<Contribution>)| {
        let routers = contributions.len();
        PrefixUsage { id, per_s: total_rate(contributions, max_router_fraction), max_error, routers }
    };
    contributions.into_iter().map(usage_of).collect()
}

/// Sums the counts of each router, including each of its panes once.
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

/// Uses per second of one prefix over all routers.
///
/// Guards against a single router with wrong counts: the contribution of the router with the highest rate is
/// limited to a fraction of the total, and the rate is zero unless the others together have enough uses.
fn total_rate(mut contributions: Vec<Contribution>, max_router_fraction: Option<f64>) -> f64 {
    contributions.sort_by(|one, other| other.per_s.total_cmp(&one.per_s));
    let Some((largest, others)) = contributions.split_first() else { return 0.0 };
    let others_rate: f64 = others.iter().map(|other| other.per_s).sum();
    let Some(fraction) = max_router_fraction else { return others_rate + largest.per_s };
    let others_uses = others.iter().fold(0u64, |sum, other| sum.saturating_add(other.uses));
    if others_uses < MIN_OTHER_USES {
        return 0.0;
    }
    let max_rate = others_rate * fraction / (1.0 - fraction);
    others_rate + largest.per_s.min(max_rate)
}
