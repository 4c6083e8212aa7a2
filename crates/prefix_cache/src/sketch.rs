//! Heavy hitters in bounded room (Misra and Gries 1982), merged as Agarwal and others (2012) have it: what is
//! merged has the same bound on its error as one sketch of all.
use crate::{COUNTERS, OpeningId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Counts that are never too high, and too low by at most `error`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sketch {
    counters: BTreeMap<OpeningId, u64>,
    /// All that was counted, and what any counter may lack at the most.
    total: u64,
    error: u64,
}

impl Sketch {
    /// Counts so many uses.
    pub fn add(&mut self, id: OpeningId, uses: u64) {
        self.total = self.total.saturating_add(uses);
        let count = self.counters.entry(id).or_default();
        *count = count.saturating_add(uses);
        self.cut();
    }

    /// Takes another one's counts in; each has to be merged once.
    pub fn merge(&mut self, other: &Sketch) {
        for (id, uses) in &other.counters {
            let count = self.counters.entry(*id).or_default();
            *count = count.saturating_add(*uses);
        }
        self.total = self.total.saturating_add(other.total);
        self.error = self.error.saturating_add(other.error);
        self.cut();
    }

    /// Where there are too many counters all lose what the first too many has: each unit of it is lost by
    /// more counters than there may be, so it happens for one part in so many of the total at most.
    fn cut(&mut self) {
        if self.counters.len() <= COUNTERS {
            return;
        }
        let mut counts: Vec<u64> = self.counters.values().copied().collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        let less = counts[COUNTERS];
        self.error = self.error.saturating_add(less);
        self.counters.retain(|_, count| {
            *count -= less.min(*count);
            *count > 0
        });
    }

    /// Uses of one that are certain.
    pub fn count(&self, id: OpeningId) -> u64 {
        self.counters.get(&id).copied().unwrap_or(0)
    }

    pub fn counts(&self) -> impl Iterator<Item = (OpeningId, u64)> + '_ {
        self.counters.iter().map(|(id, count)| (*id, *count))
    }

    pub fn total(&self) -> u64 {
        self.total
    }

    /// What any count may lack: at most the total by one more than the counters.
    pub fn error(&self) -> u64 {
        self.error
    }

    /// Nothing that a sketch of this size cannot be: what others tell is looked at.
    pub fn is_sound(&self) -> bool {
        let sum = self.counters.values().fold(0u64, |sum, n| sum.saturating_add(*n));
        let few = self.counters.len() <= COUNTERS && self.counters.values().all(|n| *n > 0);
        few && sum <= self.total && self.error <= self.total / (COUNTERS as u64 + 1)
    }
}
