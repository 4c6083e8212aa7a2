//! The queue of requests that wait to be sent.
//!
//! All requests have one total order. Indexes by what requests wait for make the cost of an event depend on
//! what it can affect, not on the length of the queue. This crate only holds state; decisions are left to
//! its owner.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Position in the queue: highest priority first, then earliest arrival (µs), then id.
pub type Key<R> = (Reverse<u64>, u64, R);

/// Attributes of a waiting request. To change them, remove the request and insert it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest<F, W> {
    /// The function to call.
    pub function: F,
    /// Its workload.
    pub workload: W,
    /// Deadline of the client, in µs.
    pub deadline: u64,
    /// Whether no attempt of it has been sent.
    pub unsent: bool,
    /// Whether it has missed its latency objective.
    pub late: bool,
}

/// The waiting requests, with ids `R`, functions `F` and workloads `W`.
///
/// Each request is in `requests`, in `never_sent` or `sent_before`, in `deadlines`, and in `on_time` or
/// `late`.
pub struct WaitQueue<R, F, W> {
    requests: BTreeMap<Key<R>, QueuedRequest<F, W>>,
    /// Requests without an attempt so far, by function.
    never_sent: BTreeMap<F, BTreeSet<Key<R>>>,
    /// Requests with an earlier attempt.
    sent_before: BTreeSet<Key<R>>,
    /// All requests, by workload and then deadline.
    deadlines: BTreeMap<W, BTreeSet<(u64, Key<R>)>>,
    /// Requests that can still meet their latency objective, by workload and then arrival.
    on_time: BTreeMap<W, BTreeSet<(u64, Key<R>)>>,
    /// Requests that have missed their latency objective, by function and then arrival.
    late: BTreeMap<F, BTreeSet<(u64, Key<R>)>>,
}

impl<R, F, W> Default for WaitQueue<R, F, W> {
    fn default() -> Self {
        WaitQueue {
            requests: BTreeMap::new(),
            never_sent: BTreeMap::new(),
            sent_before: BTreeSet::new(),
            deadlines: BTreeMap::new(),
            on_time: BTreeMap::new(),
            late: BTreeMap::new(),
        }
    }
}

/// Removes a value from one of an index's sets, and the set once it is empty.
fn remove_from<K: Ord, V: Ord>(index: &mut BTreeMap<K, BTreeSet<V>>, set_key: K, value: &V) {
    if let Some(set) = index.get_mut(&set_key) {
        set.remove(value);
        if set.is_empty() {
            index.remove(&set_key);
        }
    }
}

impl<R: Ord + Copy, F: Ord + Copy, W: Ord + Copy> WaitQueue<R, F, W> {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Inserts a request, replacing any with the same key.
    pub fn insert(&mut self, key: Key<R>, queued: QueuedRequest<F, W>) {
        self.remove(&key);
        self.requests.insert(key, queued);
        if queued.unsent {
            self.never_sent.entry(queued.function).or_default().insert(key);
        } else {
            self.sent_before.insert(key);
        }
        self.deadlines.entry(queued.workload).or_default().insert((queued.deadline, key));
        if queued.late {
            self.late.entry(queued.function).or_default().insert((key.1, key));
        } else {
            self.on_time.entry(queued.workload).or_default().insert((key.1, key));
        }
    }

    /// Removes a request; `None` if it was not waiting.
    pub fn remove(&mut self, key: &Key<R>) -> Option<QueuedRequest<F, W>> {
        let queued = self.requests.remove(key)?;
        if queued.unsent {
            remove_from(&mut self.never_sent, queued.function, key);
        } else {
            self.sent_before.remove(key);
        }
        remove_from(&mut self.deadlines, queued.workload, &(queued.deadline, *key));
        if queued.late {
            remove_from(&mut self.late, queued.function, &(key.1, *key));
        } else {
            remove_from(&mut self.on_time, queued.workload, &(key.1, *key));
        }
        Some(queued)
    }

    /// The highest priority among the function's requests without an attempt.
    pub fn highest_unsent_priority(&self, function: F) -> Option<u64> {
        self.never_sent.get(&function).and_then(|set| set.first()).map(|key| key.0.0)
    }

    /// The first request without an attempt of each function, and every request with an earlier attempt, in
    /// queue order.
    pub fn dispatch_candidates(&self) -> BTreeSet<Key<R>> {
        let first = self.never_sent.values().filter_map(|set| set.first());
        first.chain(&self.sent_before).copied().collect()
    }

    /// The function's next request without an attempt after `key`.
    pub fn next_unsent(&self, function: F, key: &Key<R>) -> Option<Key<R>> {
        let set = self.never_sent.get(&function)?;
        set.range((std::ops::Bound::Excluded(*key), std::ops::Bound::Unbounded)).next().copied()
    }

    /// The workload's requests with a deadline of at most `until`.
    pub fn with_deadline_until(&self, workload: W, until: u64) -> impl Iterator<Item = Key<R>> {
        let set = self.deadlines.get(&workload).into_iter().flatten();
        set.take_while(move |(deadline, _)| *deadline <= until).map(|(_, key)| *key)
    }

    /// The workload's requests that have not missed their latency objective and arrived before `before`.
    pub fn on_time_before(&self, workload: W, before: u64) -> impl Iterator<Item = Key<R>> {
        let set = self.on_time.get(&workload).into_iter().flatten();
        set.take_while(move |(arrival, _)| *arrival < before).map(|(_, key)| *key)
    }

    /// The requests that have missed their latency objective and arrived at or before `until`, of the
    /// functions that satisfy `in_scope`.
    pub fn late_until(&self, until: u64, in_scope: impl Fn(F) -> bool) -> impl Iterator<Item = Key<R>> {
        let sets = self.late.iter().filter(move |(function, _)| in_scope(**function)).map(|(_, set)| set);
        sets.flat_map(move |set| {
            set.iter().take_while(move |(arrival, _)| *arrival <= until).map(|(_, key)| *key)
        })
    }
}
