//! Outlier ejection: a worker that returns errors, loses connections or stops responding receives no new
//! requests for a while, and then goes through a recovery ramp that doubles with each success.
//!
//! Guards against workers that fail fast and thereby attract requests, and against workers that accept
//! requests and never respond. Terminology follows Envoy's outlier detection.

use super::Control;
use crate::averages::MICROS_PER_SECOND;
use crate::interface::{Actions, Micros, RetrySafety, WorkerId};
use crate::state::request::{AttemptId, Request};
use crate::state::worker::Worker;
use std::collections::BTreeMap;

pub use crate::state::worker::OutlierState;

/// Duration of the first ejection; it doubles with each relapse.
const INITIAL_BACKOFF: Micros = MICROS_PER_SECOND / 2;
/// Maximum duration of an ejection, which bounds the time until a recovered worker is noticed.
const MAX_BACKOFF: Micros = 8 * MICROS_PER_SECOND;
/// Error rate above which a worker is ejected: two errors in quick succession, or a single one from a
/// worker that has not responded for 4.3 s.
const MAX_ERROR_RATE: f64 = 0.25;
/// Overdue responses at which a worker counts as silent; a single one may be a slow request.
const MIN_OVERDUE_RESPONSES: u32 = 2;
/// Concurrent requests at the start of the recovery ramp.
const RECOVERY_START: u32 = 1;
/// Concurrent requests at which the recovery ramp ends: more than a worker usually has from one router.
const RECOVERY_END: u32 = 16;
/// Load times, beyond the latency objective, after which a response is overdue if the function was loaded.
const OVERDUE_LOAD_TIMES_IF_LOADED: u64 = 2;
/// The same if the function was not loaded.
const OVERDUE_LOAD_TIMES: u64 = 4;

impl OutlierState {
    /// State of a worker without known faults.
    pub fn healthy() -> Self {
        OutlierState { backoff: INITIAL_BACKOFF, ..OutlierState::default() }
    }

    /// Records a successful response: it ends an ejection and doubles the recovery ramp.
    pub fn record_success(&mut self, now: Micros, sample_weight: f64) {
        self.error_rate *= 1.0 - sample_weight;
        self.ejected_until = self.ejected_until.map(|until| until.min(now));
        let Some(limit) = self.recovery_limit else { return };
        let doubled = limit * 2;
        if doubled < RECOVERY_END {
            self.recovery_limit = Some(doubled);
        } else {
            self.recovery_limit = None;
            self.backoff = INITIAL_BACKOFF;
        }
    }

    /// Records an error. Returns whether the worker should be ejected.
    pub fn record_error(&mut self, sample_weight: f64) -> bool {
        self.error_rate += sample_weight * (1.0 - self.error_rate);
        self.error_rate > MAX_ERROR_RATE || self.recovery_limit.is_some()
    }

    /// Records a connection lost under a request. Returns whether the worker should be ejected. Connections
    /// lost at the same moment count as one error: connections also break without a worker failure, and a
    /// worker that is gone refuses the next connection anyway.
    pub fn record_connection_loss(&mut self, now: Micros, sample_weight: f64) -> bool {
        if self.last_connection_loss >= now {
            return false;
        }
        self.last_connection_loss = now;
        self.record_error(sample_weight)
    }

    /// Ejects the worker; a recovery ramp follows the ejection.
    pub fn eject(&mut self, now: Micros) {
        self.ejected_until = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.recovery_limit = Some(RECOVERY_START);
        self.error_rate = 0.0;
    }

    /// Whether the worker is in its recovery ramp, or will be when its ejection ends.
    pub fn is_recovering(&self) -> bool {
        self.recovery_limit.is_some()
    }

    /// Restores state from before a restart: a worker that was ejected is first probed with a single
    /// request.
    pub fn restore(&mut self, error_rate: f64, ejected: bool) {
        self.error_rate = self.error_rate.max(error_rate);
        if ejected && self.recovery_limit.is_none() {
            self.recovery_limit = Some(RECOVERY_START);
        }
    }

    /// Whether the recovery ramp allows another request on top of `in_flight` requests of this router.
    pub fn allows_another(&self, in_flight: u32) -> bool {
        self.recovery_limit.is_none_or(|limit| in_flight < limit)
    }
}

impl Control {
    /// Ejects a worker: it receives nothing new, and requests that wait for its responses are hedged.
    pub(super) fn eject(&mut self, actions: &mut dyn Actions, id: WorkerId) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id).filter(|worker| !worker.outlier.is_ejected(now)) else {
            return;
        };
        worker.outlier.eject(now);
        worker.functions.values_mut().for_each(|known| known.loading_since = None);
        self.loads.end_all_at(id);
        self.workers.mark_suspect(id);
        self.workers.schedule_expiry(id);
        let in_flight = self.in_flight.iter().filter(|(_, attempt)| attempt.worker == id);
        let stuck: Vec<AttemptId> = in_flight.map(|(attempt, _)| *attempt).collect();
        for attempt in stuck {
            self.hedge(actions, attempt);
        }
    }

    /// Whether a selection skips a worker: it is ejected, or it has just returned and the request may run
    /// only once. Such a request waits until another one has probed the worker.
    pub(super) fn skips_worker(&self, worker: &Worker, request: &Request) -> bool {
        worker.outlier.is_ejected(self.now)
            || worker.outlier.recovery_limit == Some(RECOVERY_START) && self.must_not_probe(request)
    }

    /// Whether probing a worker must be left to other requests: this one may run only once, and some
    /// workload allows repetition.
    fn must_not_probe(&self, request: &Request) -> bool {
        request.retry_safety == RetrySafety::AtMostOnce
            && self.workloads.any_other_than(RetrySafety::AtMostOnce)
    }

    /// Ejects workers with several overdue responses that have returned nothing since those attempts were
    /// sent.
    pub(super) fn eject_silent_workers(&mut self, actions: &mut dyn Actions) {
        let mut overdue: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for attempt in self.in_flight.values() {
            let objective = self.workloads[attempt.workload].latency_objective;
            if self.now <= attempt.sent_at + objective {
                continue;
            }
            let loads = if attempt.was_loaded { OVERDUE_LOAD_TIMES_IF_LOADED } else { OVERDUE_LOAD_TIMES };
            let due_at = attempt.sent_at + objective + loads * self.load_time(attempt.function);
            let worker = self.workers.get(&attempt.worker);
            if self.now > due_at && worker.is_some_and(|worker| worker.last_response_at <= attempt.sent_at) {
                *overdue.entry(attempt.worker).or_default() += 1;
            }
        }
        for (worker, responses) in overdue {
            if responses >= MIN_OVERDUE_RESPONSES {
                self.eject(actions, worker);
            }
        }
    }

    /// Clears the suspect mark of workers that are neither ejected nor in their recovery ramp.
    pub(super) fn clear_recovered_workers(&mut self) {
        let now = self.now;
        self.workers
            .clear_suspects(|worker| !worker.outlier.is_ejected(now) && !worker.outlier.is_recovering());
    }
}
