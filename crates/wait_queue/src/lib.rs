//! The queue of requests that wait to be sent.
//!
//! There is one order over all of them, and there are indexes by what each waits for, so that the cost of an
//! event depends on what it can change and not on how many wait. This is state only: what to do with a
//! request is its owner's decision.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Place in the order: the highest priority first, then the earliest arrival (µs), then by id.
pub type Key<R> = (Reverse<u64>, u64, R);

/// What is known of a request while it waits. To change it, the request is removed and inserted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row<F, W> {
    /// The function that it calls.
    pub function: F,
    /// The workload that it belongs to.
    pub workload: W,
    /// The moment at which its client leaves, in µs.
    pub deadline: u64,
    /// It has never been sent.
    pub bare: bool,
    /// It has missed its latency objective.
    pub late: bool,
}

/// The requests that wait, by ids `R`, functions `F` and workloads `W`.
///
/// Each request is in `rows`, in `never_sent` or `sent_before`, in `deadlines`, and in `on_time` or `late`.
pub struct Waiting<R, F, W> {
    rows: BTreeMap<Key<R>, Row<F, W>>,
    /// Those that have never been sent, by function.
    never_sent: BTreeMap<F, BTreeSet<Key<R>>>,
    /// Those that have been sent before.
    sent_before: BTreeSet<Key<R>>,
    /// By workload, then by deadline.
    deadlines: BTreeMap<W, BTreeSet<(u64, Key<R>)>>,
    /// Those that have not missed their latency objective, by workload, then by arrival.
    on_time: BTreeMap<W, BTreeSet<(u64, Key<R>)>>,
    /// Those that have missed it, by function, then by arrival.
    late: BTreeMap<F, BTreeSet<(u64, Key<R>)>>,
}

impl<R, F, W> Default for Waiting<R, F, W> {
    fn default() -> Self {
        Waiting {
            rows: BTreeMap::new(),
            never_sent: BTreeMap::new(),
            sent_before: BTreeSet::new(),
            deadlines: BTreeMap::new(),
            on_time: BTreeMap::new(),
            late: BTreeMap::new(),
        }
    }
}

/// Removes a value from a set of an index, and the set with its last value.
fn remove_from<K: Ord, V: Ord>(index: &mut BTreeMap<K, BTreeSet<V>>, set_key: K, value: &V) {
    if let Some(set) = index.get_mut(&set_key) {
        set.remove(value);
        if set.is_empty() {
            index.remove(&set_key);
        }
    }
}

impl<R: Ord + Copy, F: Ord + Copy, W: Ord + Copy> Waiting<R, F, W> {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Adds a request, in place of one with this key.
    pub fn insert(&mut self, key: Key<R>, row: Row<F, W>) {
        self.remove(&key);
        self.rows.insert(key, row);
        if row.bare {
            self.never_sent.entry(row.function).or_default().insert(key);
        } else {
            self.sent_before.insert(key);
        }
        self.deadlines.entry(row.workload).or_default().insert((row.deadline, key));
        if row.late {
            self.late.entry(row.function).or_default().insert((key.1, key));
        } else {
            self.on_time.entry(row.workload).or_default().insert((key.1, key));
        }
    }

    /// Removes a request; none where it does not wait.
    pub fn remove(&mut self, key: &Key<R>) -> Option<Row<F, W>> {
        let row = self.rows.remove(key)?;
        if row.bare {
            remove_from(&mut self.never_sent, row.function, key);
        } else {
            self.sent_before.remove(key);
        }
        remove_from(&mut self.deadlines, row.workload, &(row.deadline, *key));
        if row.late {
            remove_from(&mut self.late, row.function, &(key.1, *key));
        } else {
            remove_from(&mut self.on_time, row.workload, &(key.1, *key));
        }
        Some(row)
    }

    /// The highest priority among the function's requests that were never sent.
    pub fn highest(&self, function: F) -> Option<u64> {
        self.never_sent.get(&function).and_then(|set| set.first()).map(|key| key.0.0)
    }

    /// For each function the first of its requests that were never sent, and every request that was sent
    /// before, in order.
    pub fn heads(&self) -> BTreeSet<Key<R>> {
        let first = self.never_sent.values().filter_map(|set| set.first());
        first.chain(&self.sent_before).copied().collect()
    }

    /// The function's next never-sent request in the order.
    pub fn after(&self, function: F, key: &Key<R>) -> Option<Key<R>> {
        let set = self.never_sent.get(&function)?;
        set.range((std::ops::Bound::Excluded(*key), std::ops::Bound::Unbounded)).next().copied()
    }

    /// The workload's requests whose deadline is at or before `until`.
    pub fn leaving(&self, workload: W, until: u64) -> impl Iterator<Item = Key<R>> {
        let set = self.deadlines.get(&workload).into_iter().flatten();
        set.take_while(move |(deadline, _)| *deadline <= until).map(|(_, key)| *key)
    }

    /// The workload's requests that have not missed their latency objective and arrived before `came`.
    pub fn fresh_before(&self, workload: W, came: u64) -> impl Iterator<Item = Key<R>> {
        let set = self.on_time.get(&workload).into_iter().flatten();
        set.take_while(move |(arrival, _)| *arrival < came).map(|(_, key)| *key)
    }

    /// The requests that have missed their latency objective and arrived at or before `came`, of the
    /// functions that `of` selects.
    pub fn late_until(&self, came: u64, of: impl Fn(F) -> bool) -> impl Iterator<Item = Key<R>> {
        let sets = self.late.iter().filter(move |(function, _)| of(**function)).map(|(_, set)| set);
        sets.flat_map(move |set| {
            set.iter().take_while(move |(arrival, _)| *arrival <= came).map(|(_, key)| *key)
        })
    }
}
