//! Heavy-hitters sketch in bounded memory (Misra and Gries, 1982) that is mergeable (Agarwal et al., 2012):
//! the error of merged sketches has the same bound as that of one sketch over all uses.
use crate::PrefixId;
use crate::config::SKETCH_COUNTERS;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Approximate counts of uses per prefix. A count is never too high, and too low by at most
/// [`error`](Sketch::error).
///
/// The order of the fields is part of the wire format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sketch {
    counters: BTreeMap<PrefixId, u64>,
    /// Number of uses added, over all prefixes.
    total: u64,
    /// Maximum by which a count may be too low.
    error: u64,
}

impl Sketch {
    /// Adds uses of a prefix.
    pub fn add(&mut self, id: PrefixId, uses: u64) {
        self.total = self.total.saturating_add(uses);
        let count = self.counters.entry(id).or_default();
        *count = count.saturating_add(uses);
        self.evict();
    }

    /// Adds the counts of another sketch. The caller must not merge the same sketch twice.
    pub fn merge(&mut self, other: &Sketch) {
        for (id, uses) in &other.counters {
            let count = self.counters.entry(*id).or_default();
            *count = count.saturating_add(*uses);
        }
        self.total = self.total.saturating_add(other.total);
        self.error = self.error.saturating_add(other.error);
        self.evict();
    }

    /// If there are more than [`SKETCH_COUNTERS`] counters, subtracts the value of the largest surplus one
    /// from all and drops those that reach zero.
    ///
    /// Each unit subtracted is taken from more than [`SKETCH_COUNTERS`] counters at once, so the error stays
    /// within the total divided by one more than that number.
    fn evict(&mut self) {
        if self.counters.len() <= SKETCH_COUNTERS {
            return;
        }
        let mut counts: Vec<u64> = self.counters.values().copied().collect();
        counts.sort_unstable_by(|one, other| other.cmp(one));
        let surplus = counts[SKETCH_COUNTERS];
        self.error = self.error.saturating_add(surplus);
        self.counters.retain(|_, count| {
            *count -= surplus.min(*count);
            *count > 0
        });
    }

    /// Lower bound of the uses of a prefix.
    pub fn count(&self, id: PrefixId) -> u64 {
        self.counters.get(&id).copied().unwrap_or(0)
    }

    /// All prefixes with a counter, with the lower bounds of their uses.
    pub fn counts(&self) -> impl Iterator<Item = (PrefixId, u64)> + '_ {
        self.counters.iter().map(|(id, count)| (*id, *count))
    }

    /// Number of uses added, over all prefixes.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Maximum by which a count may be too low. It is at most the total divided by one more than
    /// [`SKETCH_COUNTERS`].
    pub fn error(&self) -> u64 {
        self.error
    }

    /// Whether the counters satisfy the bounds of a sketch. Sketches received from other routers are checked
    /// before use.
    pub fn is_consistent(&self) -> bool {
        let sum = self.counters.values().fold(0u64, |sum, n| sum.saturating_add(*n));
        let is_bounded = self.counters.len() <= SKETCH_COUNTERS && self.counters.values().all(|n| *n > 0);
        is_bounded && sum <= self.total && self.error <= self.total / (SKETCH_COUNTERS as u64 + 1)
    }
}
