//! A sketch of heavy hitters in bounded memory (Misra and Gries, 1982), merged as by Agarwal and others
//! (2012): merged sketches have the same bound on their error as one sketch of everything.
use crate::PrefixId;
use crate::config::SKETCH_COUNTERS;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Counts of uses that are never too high, and too low by at most [`error`](Sketch::error). The order of
/// the fields is part of the published format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sketch {
    counters: BTreeMap<PrefixId, u64>,
    /// All uses that were counted.
    total: u64,
    /// What any counter may lack at most.
    error: u64,
}

impl Sketch {
    /// Counts uses of a prefix.
    pub fn add(&mut self, id: PrefixId, uses: u64) {
        self.total = self.total.saturating_add(uses);
        let count = self.counters.entry(id).or_default();
        *count = count.saturating_add(uses);
        self.evict();
    }

    /// Adds the counts of another sketch. Each sketch has to be merged only once.
    pub fn merge(&mut self, other: &Sketch) {
        for (id, uses) in &other.counters {
            let count = self.counters.entry(*id).or_default();
            *count = count.saturating_add(*uses);
        }
        self.total = self.total.saturating_add(other.total);
        self.error = self.error.saturating_add(other.error);
        self.evict();
    }

    /// If there are too many counters, subtracts the largest surplus one from all. Each unit is lost by
    /// more counters than there may be, so the error stays below the total divided by that number.
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

    /// Uses of a prefix that are certain.
    pub fn count(&self, id: PrefixId) -> u64 {
        self.counters.get(&id).copied().unwrap_or(0)
    }

    /// All prefixes with a counter, and their uses that are certain.
    pub fn counts(&self) -> impl Iterator<Item = (PrefixId, u64)> + '_ {
        self.counters.iter().map(|(id, count)| (*id, *count))
    }

    /// All uses that were counted.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// What any count may lack: at most the total divided by one more than the number of counters.
    pub fn error(&self) -> u64 {
        self.error
    }

    /// Whether a sketch of this size can have these counts; published ones are checked.
    pub fn is_sound(&self) -> bool {
        let sum = self.counters.values().fold(0u64, |sum, n| sum.saturating_add(*n));
        let is_bounded = self.counters.len() <= SKETCH_COUNTERS && self.counters.values().all(|n| *n > 0);
        is_bounded && sum <= self.total && self.error <= self.total / (SKETCH_COUNTERS as u64 + 1)
    }
}
