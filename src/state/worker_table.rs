//! Table of all known workers, with derived data: totals, the members of the hash orders, and expiry times.
//!
//! Changes made through [`Workers::update`], or between [`Workers::in_flight_at`] and
//! [`Workers::update_totals`], keep the totals consistent, so that no event or tick has to visit all
//! workers.

use super::worker::Worker;
use crate::averages::DECAY_PER_TICK;
use crate::hashing::HashOrder;
use crate::interface::{Micros, WorkerId};
use applepond_rendezvous::Members;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// Requests in flight, at one worker or in total.
#[derive(Clone, Copy, Default)]
pub(crate) struct InFlight {
    /// This router's running requests.
    running: f64,
    /// Other routers' requests.
    others: f64,
}

#[derive(Default)]
pub(crate) struct Workers {
    known: BTreeMap<WorkerId, Worker>,
    /// Ready workers and their weights.
    ready: Members<HashOrder>,
    /// Requests at all ready workers; other routers' requests are as of the last tick.
    in_flight: InFlight,
    /// Expiry times of workers that have expiring entries.
    expiries: BTreeSet<(Micros, WorkerId)>,
    /// Workers that may be ejected or in their recovery ramp; a superset of those that are.
    suspects: BTreeSet<WorkerId>,
    /// Workers that are not ready; each is removed once nothing is in flight there.
    closing: BTreeSet<WorkerId>,
    /// Workers without a concurrency limit, because no throughput was known when they were added.
    unlimited: BTreeSet<WorkerId>,
    /// Number of ticks so far.
    tick: u64,
}

impl Index<&WorkerId> for Workers {
    type Output = Worker;

    fn index(&self, id: &WorkerId) -> &Worker {
        &self.known[id]
    }
}

impl Workers {
    pub(crate) fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.known.get(id)
    }

    /// For changes that affect neither totals nor expiries, or that are made between
    /// [`Workers::in_flight_at`] and [`Workers::update_totals`]. All others go through [`Workers::update`].
    pub(crate) fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        self.known.get_mut(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.known.iter()
    }

    /// The workers that the endpoint list marks as ready.
    pub(crate) fn ready(&self) -> &Members<HashOrder> {
        &self.ready
    }

    /// Number of ticks so far, by which counts of other routers' requests decay.
    pub(crate) fn tick(&self) -> u64 {
        self.tick
    }

    pub(crate) fn advance_tick(&mut self) {
        self.tick += 1;
        self.in_flight.others *= DECAY_PER_TICK;
    }

    /// Requests of all routers at all ready workers.
    pub(crate) fn total_in_flight(&self) -> f64 {
        self.in_flight.running + self.in_flight.others.max(0.0)
    }

    /// Adds an unknown worker with nothing in flight.
    pub(crate) fn insert(&mut self, id: WorkerId, worker: Worker) {
        self.known.insert(id, worker);
        self.update(id, |_| {});
    }

    /// Modifies a worker: its incarnation, its list entry, or what is in flight there.
    ///
    /// # Panics
    ///
    /// Panics if the worker is unknown.
    pub(crate) fn update<T>(&mut self, id: WorkerId, change: impl FnOnce(&mut Worker) -> T) -> T {
        let before = self.in_flight_at(id);
        let worker = self.known.get_mut(&id).expect("only known workers are updated");
        let result = change(worker);
        self.ready.set(id, worker.ready.then_some(worker.weight));
        if worker.ready {
            self.closing.remove(&id);
        } else {
            self.closing.insert(id);
        }
        if worker.concurrency.limit == 0.0 {
            self.unlimited.insert(id);
        }
        self.update_totals(id, before);
        result
    }

    /// A worker's contribution to the totals.
    pub(crate) fn in_flight_at(&self, id: WorkerId) -> InFlight {
        let Some(worker) = self.known.get(&id).filter(|worker| worker.ready) else {
            return InFlight::default();
        };
        InFlight { running: worker.running(), others: worker.others_in_flight.at(self.tick) }
    }

    /// Applies to the totals what has changed at a worker since `before`.
    pub(crate) fn update_totals(&mut self, id: WorkerId, before: InFlight) {
        let after = self.in_flight_at(id);
        self.in_flight.running += after.running - before.running;
        self.in_flight.others += after.others - before.others;
        self.schedule_expiry(id);
    }

    /// Updates the time at which the worker's next entry expires.
    pub(crate) fn schedule_expiry(&mut self, id: WorkerId) {
        let Some(worker) = self.known.get_mut(&id) else { return };
        let next = worker.earliest_expiry();
        if next == worker.next_expiry {
            return;
        }
        self.expiries.remove(&(worker.next_expiry, id));
        if next != Micros::MAX {
            self.expiries.insert((next, id));
        }
        worker.next_expiry = next;
    }

    /// Removes and returns a worker with an entry that expired by `now`; [`Workers::schedule_expiry`]
    /// re-adds it.
    pub(crate) fn take_expired(&mut self, now: Micros) -> Option<WorkerId> {
        let (_, id) = self.expiries.first().copied().filter(|(at, _)| *at <= now)?;
        self.expiries.pop_first();
        Some(id)
    }

    /// Removes the workers that are not ready and have nothing in flight.
    pub(crate) fn remove_closed(&mut self) -> Vec<(WorkerId, Worker)> {
        let is_closed = |id: &&WorkerId| self.known[id].in_flight == 0;
        let closed: Vec<WorkerId> = self.closing.iter().filter(is_closed).copied().collect();
        closed.into_iter().filter_map(|id| Some((id, self.remove(id)?))).collect()
    }

    fn remove(&mut self, id: WorkerId) -> Option<Worker> {
        let worker = self.known.remove(&id)?;
        self.closing.remove(&id);
        self.suspects.remove(&id);
        self.unlimited.remove(&id);
        self.expiries.remove(&(worker.next_expiry, id));
        Some(worker)
    }

    /// Initializes the concurrency limits that are still missing.
    pub(crate) fn initialize_limits(&mut self, initial_limit: impl Fn(&Worker) -> f64) {
        for id in std::mem::take(&mut self.unlimited) {
            if let Some(worker) = self.known.get_mut(&id) {
                worker.concurrency.limit = initial_limit(worker);
            }
        }
    }

    /// Marks a worker as possibly ejected or recovering.
    pub(crate) fn mark_suspect(&mut self, id: WorkerId) {
        self.suspects.insert(id);
    }

    /// Whether a worker may be ejected or in its recovery ramp.
    pub(crate) fn is_suspect(&self, id: &WorkerId) -> bool {
        self.suspects.contains(id)
    }

    /// Clears the mark of workers that are trusted again.
    pub(crate) fn clear_suspects(&mut self, is_trusted: impl Fn(&Worker) -> bool) {
        let known = &self.known;
        self.suspects.retain(|id| known.get(id).is_some_and(|worker| !is_trusted(worker)));
    }
}
