//! What a router keeps in mind of workers and functions: its own observations as facts, and facts from before
//! its start or of its peers, which are handed to the router once.
use crate::{Fact, FactKey, FactKind, Facts, Micros};
use applepond::interface::{FunctionId, WorkerHistory, WorkerId, WorkerStatus};
use std::collections::{BTreeSet, VecDeque};

/// A worker whose ejection weighs as much is tried by one request first.
const EJECTION_WEIGHT_THRESHOLD: f64 = 0.5;

/// The most scheduled retries that are remembered: those of the last moments, as older ones are over.
const MAX_SCHEDULED_RETRIES: usize = 1_024;

/// The facts of a worker that are handed to the router together.
const WORKER_HISTORY_KINDS: [FactKind; 4] =
    [FactKind::ConcurrencyLimit, FactKind::QueueingDelay, FactKind::ErrorRate, FactKind::Ejected];

/// What is usual at a router: first attempts a second, connections opened a second, and the pace of the fleet
/// as it sees it.
pub type TrafficBaseline = [f64; 3];

/// What was usual at this router before its start, and the requests whose scheduled retries are still to
/// come, with the µs that are left.
pub type RouterHistory = (Option<TrafficBaseline>, Vec<(u64, Micros)>);

/// A worker, and when this life of it began.
pub type WorkerIncarnation = (WorkerId, Micros);

/// The observations of a router. What it has only heard never counts as its own.
#[derive(Default)]
pub struct ObservationStore {
    facts: Facts,
    /// Workers whose history is still to be handed to the router.
    pending_workers: BTreeSet<WorkerIncarnation>,
    /// This router's own history is still to be handed to it.
    has_pending_router_history: bool,
    /// The scheduled retries of this life of the router, the oldest first.
    scheduled_retries: VecDeque<u64>,
    /// Drains that the endpoint list has told in this life of the router: it may take them back.
    listed_drains: BTreeSet<WorkerIncarnation>,
}

fn worker_key(kind: FactKind, (worker, started): WorkerIncarnation) -> FactKey {
    FactKey { kind, subject: worker.0, incarnation: started }
}

fn key_of(kind: FactKind, subject: u64) -> FactKey {
    FactKey { kind, subject, incarnation: 0 }
}

impl ObservationStore {
    /// The facts that are known.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Takes facts of a snapshot or of peers.
    pub fn import(&mut self, now: Micros, facts: &[Fact]) {
        for fact in facts {
            self.facts.insert(now, *fact);
            let key = fact.key;
            self.has_pending_router_history |= !key.kind.is_shared();
            if WORKER_HISTORY_KINDS.contains(&key.kind) {
                self.pending_workers.insert((WorkerId(key.subject), key.incarnation));
            }
        }
    }

    /// Records what this router has observed of a worker that has answered it. Nothing that it was only told
    /// may come here, or hearsay would be young for ever.
    pub fn record_worker(
        &mut self,
        now: Micros,
        worker: WorkerId,
        started: Micros,
        observed: &WorkerHistory,
    ) {
        let mut record = |kind, value: f64| {
            let key = worker_key(kind, (worker, started));
            self.facts.insert(now, Fact { key, value: value as f32, age: 0 });
        };
        record(FactKind::ConcurrencyLimit, observed.concurrency_limit);
        record(FactKind::QueueingDelay, observed.queueing_delay);
        record(FactKind::ErrorRate, observed.error_rate);
        if observed.ejected {
            record(FactKind::Ejected, 1.0);
        } else {
            self.facts.remove(&worker_key(FactKind::Ejected, (worker, started)));
        }
    }

    /// Records the time that a function took to load, in µs.
    pub fn record_load_time(&mut self, now: Micros, function: FunctionId, took: Micros) {
        let key = key_of(FactKind::LoadTime, function.0);
        self.facts.insert(now, Fact { key, value: took as f32, age: 0 });
    }

    /// Records what is usual at this router, as it has observed itself.
    pub fn record_baseline(&mut self, now: Micros, baseline: TrafficBaseline) {
        for (place, value) in baseline.into_iter().enumerate() {
            let key = key_of(FactKind::TrafficBaseline, place as u64);
            self.facts.insert(now, Fact { key, value: value as f32, age: 0 });
        }
    }

    /// Records that a request was told to come back in so many µs.
    pub fn record_scheduled_retry(&mut self, now: Micros, request: u64, wait: Micros) {
        let key = key_of(FactKind::ScheduledRetry, request);
        self.facts.remove(&key);
        self.facts.insert(now, Fact { key, value: wait as f32 / 1e3, age: 0 });
        self.scheduled_retries.push_back(request);
        if self.scheduled_retries.len() <= MAX_SCHEDULED_RETRIES {
            return;
        }
        if let Some(oldest) = self.scheduled_retries.pop_front() {
            self.facts.remove(&key_of(FactKind::ScheduledRetry, oldest));
        }
    }

    /// This router's own history from before its start, once.
    pub fn take_router_history(&mut self, now: Micros) -> Option<RouterHistory> {
        if !std::mem::take(&mut self.has_pending_router_history) {
            return None;
        }
        let retries = self.facts.iter(now).filter(|fact| fact.key.kind == FactKind::ScheduledRetry);
        Some((self.baseline(now), retries.filter_map(remaining_wait).collect()))
    }

    fn baseline(&self, now: Micros) -> Option<TrafficBaseline> {
        let value = |place| {
            let fact = self.facts.get(now, &key_of(FactKind::TrafficBaseline, place));
            fact.map(|fact| f64::from(fact.value))
        };
        Some([value(0)?, value(1)?, value(2)?])
    }

    /// The time that a function takes to load, in µs, if it is known. It is meant for functions of which the
    /// settings name none.
    pub fn load_time(&self, now: Micros, function: FunctionId) -> Option<Micros> {
        let fact = self.facts.get(now, &key_of(FactKind::LoadTime, function.0));
        fact.map(|fact| fact.value.max(0.0) as Micros)
    }

    /// The workers whose history is still to be taken up, and the history as far as it counts by now. Each
    /// stays until `mark_restored`.
    pub fn pending_worker_history(&mut self, now: Micros) -> Vec<(WorkerId, Micros, WorkerHistory)> {
        let facts = &self.facts;
        self.pending_workers.retain(|worker| {
            WORKER_HISTORY_KINDS.iter().any(|kind| facts.get(now, &worker_key(*kind, *worker)).is_some())
        });
        let workers = self.pending_workers.iter();
        workers.map(|worker| (worker.0, worker.1, self.worker_history(now, *worker))).collect()
    }

    /// What is known of a worker, closer to its healthy values the less the facts count.
    fn worker_history(&self, now: Micros, worker: WorkerIncarnation) -> WorkerHistory {
        let get = |kind| self.facts.get(now, &worker_key(kind, worker));
        let weighted = |kind| get(kind).map_or(0.0, |fact| f64::from(fact.value) * fact.weight());
        // Half the weight is twice the limit.
        let limit = |fact: Fact| f64::from(fact.value) / fact.weight();
        let is_ejected = |fact: Fact| fact.weight() >= EJECTION_WEIGHT_THRESHOLD;
        WorkerHistory {
            concurrency_limit: get(FactKind::ConcurrencyLimit).map_or(f64::MAX, limit),
            queueing_delay: weighted(FactKind::QueueingDelay),
            error_rate: weighted(FactKind::ErrorRate),
            ejected: get(FactKind::Ejected).is_some_and(is_ejected),
        }
    }

    /// The router has taken up the history of this worker.
    pub fn mark_restored(&mut self, worker: WorkerId, started: Micros) {
        self.pending_workers.remove(&(worker, started));
    }

    /// Takes the status of a worker by the endpoint list, and returns the status to act on. A drain from
    /// before the start is kept until the list has told it and taken it back in this life of the router, or
    /// the worker has restarted, or the drain has expired.
    pub fn apply_listed_status(
        &mut self,
        now: Micros,
        worker: WorkerId,
        started: Micros,
        status: WorkerStatus,
    ) -> WorkerStatus {
        let drain = worker_key(FactKind::Draining, (worker, started));
        match status {
            WorkerStatus::Draining => {
                self.facts.insert(now, Fact { key: drain, value: 1.0, age: 0 });
                self.listed_drains.insert((worker, started));
            }
            WorkerStatus::Gone => {
                self.facts.remove(&drain);
                self.listed_drains.remove(&(worker, started));
            }
            WorkerStatus::Ready => {
                if self.listed_drains.remove(&(worker, started)) {
                    self.facts.remove(&drain);
                }
                if self.facts.get(now, &drain).is_some() {
                    return WorkerStatus::Draining;
                }
            }
        }
        status
    }

    /// A complete endpoint list names these workers and nobody else: drains of others are over, and are not
    /// kept young for ever.
    pub fn apply_complete_list(&mut self, listed: &[WorkerIncarnation]) {
        let drains = self.listed_drains.iter().copied();
        let gone: Vec<WorkerIncarnation> = drains.filter(|worker| !listed.contains(worker)).collect();
        for worker in gone {
            self.listed_drains.remove(&worker);
            self.facts.remove(&worker_key(FactKind::Draining, worker));
        }
    }

    /// Keeps young the drains that the endpoint list tells now, and removes what has expired. It is called as
    /// often as snapshots are written.
    pub fn refresh(&mut self, now: Micros) {
        for worker in &self.listed_drains {
            let key = worker_key(FactKind::Draining, *worker);
            self.facts.insert(now, Fact { key, value: 1.0, age: 0 });
        }
        self.facts.remove_expired(now);
    }
}

/// The request of a scheduled retry, and the µs that are left, if any are.
fn remaining_wait(fact: Fact) -> Option<(u64, Micros)> {
    let wait = (fact.value.max(0.0) * 1e3) as Micros;
    let left = wait.checked_sub(fact.age).filter(|left| *left > 0)?;
    Some((fact.key.subject, left))
}

#[cfg(test)]
mod tests;
