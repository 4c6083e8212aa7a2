//! A router's observations of workers and functions as facts. Facts imported from a snapshot or from peers
//! are handed to the router once.
use crate::{Fact, FactKey, FactKind, Facts, Micros};
use applepond::interface::{FunctionId, WorkerHistory, WorkerId, WorkerStatus};
use std::collections::{BTreeSet, VecDeque};

/// A worker counts as ejected while the weight of its ejection is at least this. It is then probed with a
/// single request first.
const EJECTION_WEIGHT_THRESHOLD: f64 = 0.5;

/// The maximum number of scheduled retries that are kept. Beyond it the oldest are removed, as they are over.
const MAX_SCHEDULED_RETRIES: usize = 1_024;

/// The kinds of facts that make up a worker's history.
const WORKER_HISTORY_KINDS: [FactKind; 4] =
    [FactKind::ConcurrencyLimit, FactKind::QueueingDelay, FactKind::ErrorRate, FactKind::Ejected];

/// The normal traffic of a router: first attempts per second, connections opened per second, and the best
/// recent completion rate of the fleet as observed by this router, in requests per second.
pub type TrafficBaseline = [f64; 3];

/// This router's state from before its restart: its traffic baseline, and the requests with pending retries
/// with the remaining time in µs.
pub type RouterHistory = (Option<TrafficBaseline>, Vec<(u64, Micros)>);

/// A worker and the start time of its process.
pub type WorkerIncarnation = (WorkerId, Micros);

/// The observations of a router. Facts reported by others never count as its own observations.
#[derive(Default)]
pub struct ObservationStore {
    facts: Facts,
    /// Workers whose history is still to be handed to the router.
    pending_workers: BTreeSet<WorkerIncarnation>,
    /// Whether this router's own history is still to be handed to it.
    has_pending_router_history: bool,
    /// The retries scheduled since this process started, the oldest first.
    scheduled_retries: VecDeque<u64>,
    /// Drains that the endpoint list has reported since this process started, and may therefore end.
    listed_drains: BTreeSet<WorkerIncarnation>,
}

fn worker_key(kind: FactKind, (worker, started): WorkerIncarnation) -> FactKey {
    FactKey { kind, subject: worker.0, incarnation: started }
}

fn key_of(kind: FactKind, subject: u64) -> FactKey {
    FactKey { kind, subject, incarnation: 0 }
}

impl ObservationStore {
    /// The known facts.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Adds facts from a snapshot or from peers.
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

    /// Records this router's own observations of a worker that has responded to it. Facts reported by others
    /// must not be recorded here, or they would be renewed forever.
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

    /// Records the load time of a function, in µs.
    pub fn record_load_time(&mut self, now: Micros, function: FunctionId, took: Micros) {
        let key = key_of(FactKind::LoadTime, function.0);
        self.facts.insert(now, Fact { key, value: took as f32, age: 0 });
    }

    /// Records the traffic baseline that this router has observed.
    pub fn record_baseline(&mut self, now: Micros, baseline: TrafficBaseline) {
        for (index, value) in baseline.into_iter().enumerate() {
            let key = key_of(FactKind::TrafficBaseline, index as u64);
            self.facts.insert(now, Fact { key, value: value as f32, age: 0 });
        }
    }

    /// Records that a request was told to retry after `wait` µs.
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

    /// Takes this router's own history from before its restart. Returns it once only.
    pub fn take_router_history(&mut self, now: Micros) -> Option<RouterHistory> {
        if !std::mem::take(&mut self.has_pending_router_history) {
            return None;
        }
        let retries = self.facts.iter(now).filter(|fact| fact.key.kind == FactKind::ScheduledRetry);
        Some((self.baseline(now), retries.filter_map(remaining_wait).collect()))
    }

    fn baseline(&self, now: Micros) -> Option<TrafficBaseline> {
        let value = |index| {
            let fact = self.facts.get(now, &key_of(FactKind::TrafficBaseline, index));
            fact.map(|fact| f64::from(fact.value))
        };
        Some([value(0)?, value(1)?, value(2)?])
    }

    /// The load time of a function in µs, if it is known. Meant for functions without a load time in the
    /// settings.
    pub fn load_time(&self, now: Micros, function: FunctionId) -> Option<Micros> {
        let fact = self.facts.get(now, &key_of(FactKind::LoadTime, function.0));
        fact.map(|fact| fact.value.max(0.0) as Micros)
    }

    /// The workers whose history is still to be restored, with the history weighted by its current age. A
    /// worker stays pending until `mark_restored`.
    pub fn pending_worker_history(&mut self, now: Micros) -> Vec<(WorkerId, Micros, WorkerHistory)> {
        let facts = &self.facts;
        self.pending_workers.retain(|worker| {
            WORKER_HISTORY_KINDS.iter().any(|kind| facts.get(now, &worker_key(*kind, *worker)).is_some())
        });
        let workers = self.pending_workers.iter();
        workers.map(|worker| (worker.0, worker.1, self.worker_history(now, *worker))).collect()
    }

    /// The history of a worker. The lower the weight of a fact, the closer its value is to that of a healthy
    /// worker.
    fn worker_history(&self, now: Micros, worker: WorkerIncarnation) -> WorkerHistory {
        let get = |kind| self.facts.get(now, &worker_key(kind, worker));
        let weighted = |kind| get(kind).map_or(0.0, |fact| f64::from(fact.value) * fact.weight());
        // Inversely proportional to the weight: half the weight gives twice the limit.
        let limit = |fact: Fact| f64::from(fact.value) / fact.weight();
        let is_ejected = |fact: Fact| fact.weight() >= EJECTION_WEIGHT_THRESHOLD;
        WorkerHistory {
            concurrency_limit: get(FactKind::ConcurrencyLimit).map_or(f64::MAX, limit),
            queueing_delay: weighted(FactKind::QueueingDelay),
            error_rate: weighted(FactKind::ErrorRate),
            ejected: get(FactKind::Ejected).is_some_and(is_ejected),
        }
    }

    /// Records that the router has restored the history of this worker.
    pub fn mark_restored(&mut self, worker: WorkerId, started: Micros) {
        self.pending_workers.remove(&(worker, started));
    }

    /// Applies a worker's status from the endpoint list, and returns the effective status. A drain from
    /// before the restart stays in effect until the list has reported it and then ended it, the worker has
    /// left or restarted, or the drain has expired.
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

    /// Applies a complete endpoint list. Drains of workers that it does not name have ended; without this
    /// they would be renewed forever.
    pub fn apply_complete_list(&mut self, listed: &[WorkerIncarnation]) {
        let drains = self.listed_drains.iter().copied();
        let gone: Vec<WorkerIncarnation> = drains.filter(|worker| !listed.contains(worker)).collect();
        for worker in gone {
            self.listed_drains.remove(&worker);
            self.facts.remove(&worker_key(FactKind::Draining, worker));
        }
    }

    /// Renews the drains that the endpoint list currently reports, and removes expired facts. Called at the
    /// rate at which snapshots are written.
    pub fn refresh(&mut self, now: Micros) {
        for worker in &self.listed_drains {
            let key = worker_key(FactKind::Draining, *worker);
            self.facts.insert(now, Fact { key, value: 1.0, age: 0 });
        }
        self.facts.remove_expired(now);
    }
}

/// The request of a scheduled retry and the remaining time in µs, unless that has passed.
fn remaining_wait(fact: Fact) -> Option<(u64, Micros)> {
    let wait = (fact.value.max(0.0) * 1e3) as Micros;
    let left = wait.checked_sub(fact.age).filter(|left| *left > 0)?;
    Some((fact.key.subject, left))
}

#[cfg(test)]
mod tests;
