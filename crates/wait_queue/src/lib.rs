//! Jobs that wait: one order over all of them, and indexes by what each waits for, so that an event costs
//! what it can change and not what waits. State only: what to do with a request is its owner's decision.
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Place in the order: most valuable first, then oldest (µs), then by id.
pub type Key<J> = (Reverse<u64>, u64, J);

/// What is known of a request while it waits; for another row it is taken out and put in again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row<F, W> {
    pub function: F,
    pub workload: W,
    /// µs, a point in time at which its client leaves.
    pub deadline: u64,
    /// It has never been sent.
    pub bare: bool,
    /// It has lost its start target.
    pub late: bool,
}

pub struct Waiting<J, F, W> {
    rows: BTreeMap<Key<J>, Row<F, W>>,
    bare: BTreeMap<F, BTreeSet<Key<J>>>,
    sent_before: BTreeSet<Key<J>>,
    deadlines: BTreeMap<W, BTreeSet<(u64, Key<J>)>>,
    /// Those that have not lost their start target, by when they came.
    fresh: BTreeMap<W, BTreeSet<(u64, Key<J>)>>,
    late: BTreeMap<F, BTreeSet<(u64, Key<J>)>>,
}

impl<J, F, W> Default for Waiting<J, F, W> {
    fn default() -> Self {
        Waiting {
            rows: BTreeMap::new(),
            bare: BTreeMap::new(),
            sent_before: BTreeSet::new(),
            deadlines: BTreeMap::new(),
            fresh: BTreeMap::new(),
            late: BTreeMap::new(),
        }
    }
}

/// Takes one out of a set of an index, and the set with its last one.
fn take<K: Ord, V: Ord>(index: &mut BTreeMap<K, BTreeSet<V>>, at: K, value: &V) {
    if let Some(set) = index.get_mut(&at) {
        set.remove(value);
        if set.is_empty() {
            index.remove(&at);
        }
    }
}

impl<J: Ord + Copy, F: Ord + Copy, W: Ord + Copy> Waiting<J, F, W> {
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    pub fn insert(&mut self, key: Key<J>, row: Row<F, W>) {
        self.remove(&key);
        self.rows.insert(key, row);
        if row.bare {
            self.bare.entry(row.function).or_default().insert(key);
        } else {
            self.sent_before.insert(key);
        }
        self.deadlines.entry(row.workload).or_default().insert((row.deadline, key));
        if row.late {
            self.late.entry(row.function).or_default().insert((key.1, key));
        } else {
            self.fresh.entry(row.workload).or_default().insert((key.1, key));
        }
    }

    /// Takes one out; none where it does not wait.
    pub fn remove(&mut self, key: &Key<J>) -> Option<Row<F, W>> {
        let row = self.rows.remove(key)?;
        if row.bare {
            take(&mut self.bare, row.function, key);
        } else {
            self.sent_before.remove(key);
        }
        take(&mut self.deadlines, row.workload, &(row.deadline, *key));
        if row.late {
            take(&mut self.late, row.function, &(key.1, *key));
        } else {
            take(&mut self.fresh, row.workload, &(key.1, *key));
        }
        Some(row)
    }

    /// The highest value among the function's requests that were never sent.
    pub fn highest(&self, function: F) -> Option<u64> {
        self.bare.get(&function).and_then(|set| set.first()).map(|key| key.0.0)
    }

    /// In order: for each function the first of its requests that were never sent, and every request that
    /// was.
    pub fn heads(&self) -> BTreeSet<Key<J>> {
        let first = self.bare.values().filter_map(|set| set.first());
        first.chain(&self.sent_before).copied().collect()
    }

    /// The function's next never-sent request in the order.
    pub fn after(&self, function: F, key: &Key<J>) -> Option<Key<J>> {
        let set = self.bare.get(&function)?;
        set.range((std::ops::Bound::Excluded(*key), std::ops::Bound::Unbounded)).next().copied()
    }

    /// The workload's requests whose client leaves until then, that moment included.
    pub fn leaving(&self, workload: W, until: u64) -> impl Iterator<Item = Key<J>> {
        let set = self.deadlines.get(&workload).into_iter().flatten();
        set.take_while(move |(deadline, _)| *deadline <= until).map(|(_, key)| *key)
    }

    /// The workload's requests with a start target to lose that came before then.
    pub fn fresh_before(&self, workload: W, came: u64) -> impl Iterator<Item = Key<J>> {
        let set = self.fresh.get(&workload).into_iter().flatten();
        set.take_while(move |(at, _)| *at < came).map(|(_, key)| *key)
    }

    /// Jobs that have lost it and came until then, of the functions that `of` picks.
    pub fn late_until(&self, came: u64, of: impl Fn(F) -> bool) -> impl Iterator<Item = Key<J>> {
        let sets = self.late.iter().filter(move |(function, _)| of(**function)).map(|(_, set)| set);
        sets.flat_map(move |set| set.iter().take_while(move |(at, _)| *at <= came).map(|(_, key)| *key))
    }
}
