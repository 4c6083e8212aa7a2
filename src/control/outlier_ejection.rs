//! Outlier ejection: a worker that returns errors, loses connections or falls silent gets nothing new for a
//! while, then a recovery ramp that doubles with each success.
//!
//! Guards against workers that fail fast and so attract requests, and against those that accept requests and
//! never answer. Names as in Envoy's outlier detection.

use super::Control;
use crate::averages::MICROS_PER_SECOND;
use crate::interface::{Actions, Micros, RetrySafety, WorkerId};
use crate::state::request::{AttemptId, Request};
use crate::state::worker::Worker;
use std::collections::BTreeMap;

pub use crate::state::worker::OutlierState;

/// Length of the first ejection; it doubles with each relapse.
const INITIAL_BACKOFF: Micros = MICROS_PER_SECOND / 2;
/// Length of an ejection at most: a worker that recovers is found within this time.
const MAX_BACKOFF: Micros = 8 * MICROS_PER_SECOND;
/// Error rate above which a worker is ejected: two errors close together, or a single one of a worker that
/// has not responded for 4.3 s.
const MAX_ERROR_RATE: f64 = 0.25;
/// Overdue responses that make a worker silent: one can be a single slow request.
const SILENT_RESPONSES: u32 = 2;
/// Requests at once during the recovery ramp to begin with.
const RECOVERY_START: u32 = 1;
/// Requests at once at which the recovery ramp ends: more than a worker usually has from one router.
const RECOVERY_END: u32 = 16;
/// Load times for which a response is waited for beyond the latency objective, where the function was loaded.
const OVERDUE_LOADS_IF_LOADED: u64 = 2;
/// The same where it was not.
const OVERDUE_LOADS: u64 = 4;

impl OutlierState {
    /// The state of a worker of which nothing bad is known.
    pub fn healthy() -> Self {
        OutlierState { backoff: INITIAL_BACKOFF, ..OutlierState::default() }
    }

    /// Takes over a successful response: an ejection ends, and the recovery ramp doubles.
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

    /// Takes over an error. Returns whether the worker is to be ejected.
    pub fn record_error(&mut self, sample_weight: f64) -> bool {
        self.error_rate += sample_weight * (1.0 - self.error_rate);
        self.error_rate > MAX_ERROR_RATE || self.recovery_limit.is_some()
    }

    /// Takes over that a connection was lost under a request. Returns whether the worker is to be ejected.
    /// All that is lost at one moment is one sign: connections break by themselves too, and a worker that is
    /// gone refuses the next connection.
    pub fn record_connection_loss(&mut self, now: Micros, sample_weight: f64) -> bool {
        if self.last_connection_loss >= now {
            return false;
        }
        self.last_connection_loss = now;
        self.record_error(sample_weight)
    }

    /// Ejects the worker; when it is taken back, its recovery ramp begins.
    pub fn eject(&mut self, now: Micros) {
        self.ejected_until = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.recovery_limit = Some(RECOVERY_START);
        self.error_rate = 0.0;
    }

    /// Whether the worker is in its recovery ramp, or will be once its ejection ends.
    pub fn is_recovering(&self) -> bool {
        self.recovery_limit.is_some()
    }

    /// Takes over what was known before a restart: a worker that was ejected is tried by one request first.
    pub fn restore(&mut self, error_rate: f64, ejected: bool) {
        self.error_rate = self.error_rate.max(error_rate);
        if ejected && self.recovery_limit.is_none() {
            self.recovery_limit = Some(RECOVERY_START);
        }
    }

    /// Whether `in_flight` requests of this router leave room for one more within the recovery ramp.
    pub fn allows_another(&self, in_flight: u32) -> bool {
        self.recovery_limit.is_none_or(|limit| in_flight < limit)
    }
}

impl Control {
    /// Ejects a worker: nothing new is sent to it, and what waits for its responses gets its hedged attempt.
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

    /// Whether a selection passes a worker over: it is ejected, or it has just come back and the request may
    /// run only once. Such a request waits until another one has found out how the worker is.
    pub(super) fn passes_over(&self, worker: &Worker, request: &Request) -> bool {
        worker.outlier.is_ejected(self.now)
            || worker.outlier.recovery_limit == Some(RECOVERY_START) && self.must_not_probe(request)
    }

    /// Whether others can find out in a request's place how a worker is: it may run only once, and not all
    /// may.
    fn must_not_probe(&self, request: &Request) -> bool {
        request.retry_safety == RetrySafety::AtMostOnce
            && self.workloads.any_other_than(RetrySafety::AtMostOnce)
    }

    /// Ejects the workers that owe several responses for longer than the hedge delay and have returned
    /// nothing since.
    pub(super) fn eject_silent_workers(&mut self, actions: &mut dyn Actions) {
        let mut overdue: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for attempt in self.in_flight.values() {
            let objective = self.workloads[attempt.workload].latency_objective;
            if self.now <= attempt.sent_at + objective {
                continue;
            }
            let loads = if attempt.was_loaded { OVERDUE_LOADS_IF_LOADED } else { OVERDUE_LOADS };
            let due_at = attempt.sent_at + objective + loads * self.load_time(attempt.function);
            let worker = self.workers.get(&attempt.worker);
            if self.now > due_at && worker.is_some_and(|worker| worker.last_response_at <= attempt.sent_at) {
                *overdue.entry(attempt.worker).or_default() += 1;
            }
        }
        for (worker, responses) in overdue {
            if responses >= SILENT_RESPONSES {
                self.eject(actions, worker);
            }
        }
    }

    /// Stops treating workers as suspects that are neither ejected nor in their recovery ramp.
    pub(super) fn clear_recovered_workers(&mut self) {
        let now = self.now;
        self.workers
            .clear_suspects(|worker| !worker.outlier.is_ejected(now) && !worker.outlier.is_recovering());
    }
}
