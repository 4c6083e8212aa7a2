//! Updates the estimates for workers, functions and workloads from the results of attempts.

use super::retry::REJECTION_BACKOFF;
use super::{Control, InFlightAttempt};
use crate::averages::{AVERAGING_WINDOW_MICROS, MICROS_PER_SECOND, sample_weight};
use crate::interface::{Actions, AttemptResult, LoadState, Micros, Outcome};
use crate::state::worker::{FunctionAtWorker, Worker};

/// Weight of a new in-flight report: reports are nearly complete but noisy.
const REPORT_WEIGHT: f64 = 0.5;
/// Share of the latency objective within which a worker without capacity rejects, as a rejection takes no
/// work.
const FAST_REJECTION_SHARE: f64 = 0.06;
/// Time for which a customer's requests avoid a worker that rejects only that customer.
const CUSTOMER_REJECTION_BACKOFF: Micros = 8 * MICROS_PER_SECOND;
/// After a rejection, the concurrency limit may not decrease again for the latency objective divided by
/// this.
const REJECTION_INTERVAL_DIVISOR: Micros = 4;

/// A result and the attempt it belongs to.
#[derive(Clone, Copy)]
struct Feedback<'a> {
    attempt: &'a InFlightAttempt,
    result: &'a AttemptResult,
    /// Weight of this result in moving averages.
    sample_weight: f64,
}

impl Feedback<'_> {
    /// Whether the worker responded at all, even with an error.
    fn is_response(&self) -> bool {
        matches!(
            self.result.outcome,
            Outcome::Finished | Outcome::NotLoaded | Outcome::Overloaded | Outcome::Error
        )
    }

    /// Whether the function was loaded when the attempt arrived, so that the response time excludes
    /// loading.
    fn ran_loaded(&self) -> bool {
        match self.result.load_state {
            LoadState::Loaded => true,
            LoadState::Unreported => self.attempt.was_loaded,
            LoadState::LoadStarted | LoadState::LoadPending | LoadState::LoadFailed => false,
        }
    }
}

impl Control {
    /// Records a result and updates the sums over all workers.
    pub(super) fn record_result(
        &mut self,
        actions: &mut dyn Actions,
        attempt: &InFlightAttempt,
        result: &AttemptResult,
    ) {
        let before = self.workers.in_flight_at(attempt.worker);
        if let Some(worker) = self.workers.get(&attempt.worker) {
            let sample_weight = sample_weight(self.now - worker.last_response_at);
            let feedback = Feedback { attempt, result, sample_weight };
            self.end_in_flight(feedback);
            self.record_reports(feedback);
            self.record_outcome(actions, feedback);
        }
        self.workers.update_totals(attempt.worker, before);
    }

    /// The worker of the attempt. Must only be called while the worker is known.
    fn worker_of(&mut self, feedback: Feedback<'_>) -> &mut Worker {
        self.workers.get_mut(&feedback.attempt.worker).expect("looked up before")
    }

    fn function_at_worker(&mut self, feedback: Feedback<'_>) -> &mut FunctionAtWorker {
        let function = feedback.attempt.function;
        self.worker_of(feedback).functions.entry(function).or_default()
    }

    /// Removes the attempt from the in-flight counts.
    fn end_in_flight(&mut self, feedback: Feedback<'_>) {
        let now = self.now;
        let attempt = feedback.attempt;
        if let Some(function) = self.functions.get_mut(attempt.function) {
            function.workers.insert(attempt.worker);
        }
        let worker = self.worker_of(feedback);
        worker.in_flight = worker.in_flight.saturating_sub(1);
        if !attempt.was_loaded {
            worker.awaiting_load = worker.awaiting_load.saturating_sub(1);
        }
        if feedback.is_response() {
            worker.last_response_at = now;
            worker.last_answered_sent_at = worker.last_answered_sent_at.max(attempt.sent_at);
        }
        let known = self.function_at_worker(feedback);
        known.in_flight = known.in_flight.saturating_sub(1);
        if !attempt.was_loaded {
            known.loading_since = None;
            self.loads.end(attempt.function, attempt.worker);
        }
    }

    /// Records the worker's reports of other routers' requests and of its loads.
    fn record_reports(&mut self, feedback: Feedback<'_>) {
        let tick = self.workers.tick();
        let others = self.other_routers();
        let share_of_others = |in_flight: f64| in_flight * others / (others + 1.0);
        let result = feedback.result;
        let reports_function = matches!(result.outcome, Outcome::Finished | Outcome::Overloaded);
        if self.config.reports_same_function && reports_function {
            let reported = share_of_others(f64::from(result.same_function_in_flight));
            let estimate = self.function_at_worker(feedback).others_in_flight.at_mut(tick);
            *estimate += REPORT_WEIGHT * (reported - *estimate);
        }
        if let Some(in_flight) = result.reported_in_flight {
            let estimate = self.worker_of(feedback).others_in_flight.at_mut(tick);
            *estimate += REPORT_WEIGHT * (share_of_others(in_flight) - *estimate);
        }
        self.loads.record_report(result.reported_loads);
    }

    fn record_outcome(&mut self, actions: &mut dyn Actions, feedback: Feedback<'_>) {
        let now = self.now;
        let load_failed = feedback.result.load_state == LoadState::LoadFailed;
        match feedback.result.outcome {
            Outcome::Finished => self.record_finished(feedback),
            Outcome::NotLoaded | Outcome::Error if load_failed => {
                self.function_at_worker(feedback).loaded_until = 0;
                self.loads.record_slow(now);
            }
            Outcome::NotLoaded => self.function_at_worker(feedback).loaded_until = 0,
            Outcome::Overloaded => self.record_rejection(feedback),
            Outcome::ConnectFailed => {
                self.function_at_worker(feedback).loaded_until = 0;
                self.eject(actions, feedback.attempt.worker);
            }
            Outcome::Error => {
                if self.worker_of(feedback).outlier.record_error(feedback.sample_weight) {
                    self.eject(actions, feedback.attempt.worker);
                }
            }
            Outcome::ConnectionLost => {
                let outlier = &mut self.worker_of(feedback).outlier;
                if outlier.record_connection_loss(now, feedback.sample_weight) {
                    self.eject(actions, feedback.attempt.worker);
                }
            }
            Outcome::TimedOut | Outcome::Cancelled => self.record_missing_response(feedback),
            Outcome::Superseded => {}
        }
    }

    fn record_finished(&mut self, feedback: Feedback<'_>) {
        let now = self.now;
        let attempt = feedback.attempt;
        let loaded_until = now + self.config.cache_lifetime;
        let usual_load_time = self.load_time(attempt.function);
        let known = self.function_at_worker(feedback);
        known.loading_since = None;
        known.loaded_until = loaded_until;
        self.loads.end(attempt.function, attempt.worker);
        self.traffic.record_completion(now);
        if feedback.ran_loaded() {
            self.record_response_time(feedback);
        }
        self.worker_of(feedback).outlier.record_success(now, feedback.sample_weight);
        if feedback.result.load_state == LoadState::LoadStarted {
            self.record_load(feedback, usual_load_time);
        }
    }

    /// Records the response time of a function that was loaded.
    fn record_response_time(&mut self, feedback: Feedback<'_>) {
        let now = self.now;
        let tick = self.workers.tick();
        let elapsed = feedback.result.elapsed;
        let worker = self.workers.get(&feedback.attempt.worker).expect("looked up before");
        self.workloads.record_response(feedback.attempt.workload, elapsed, &worker.concurrency);
        self.estimate_other_routers(feedback);
        let objective = self.workloads[feedback.attempt.workload].latency_objective;
        let throughput = self.fleet.throughput;
        let worker = self.worker_of(feedback);
        let delay = elapsed as f64 / objective as f64;
        worker.concurrency.record_delay(feedback.sample_weight, delay);
        let in_flight = worker.total_in_flight(tick);
        worker.concurrency.adapt(now, objective, in_flight, throughput.min_limit(worker.weight));
    }

    /// If the worker does not report other routers' requests, assumes that each other router has on average
    /// as many requests there as this one.
    fn estimate_other_routers(&mut self, feedback: Feedback<'_>) {
        let tick = self.workers.tick();
        let expected = self.estimated_requests_of_others(feedback.result.elapsed);
        let at_function = if self.config.reports_same_function { 0.0 } else { expected };
        let at_worker = if feedback.result.reported_in_flight.is_some() { 0.0 } else { expected };
        *self.function_at_worker(feedback).others_in_flight.at_mut(tick) += at_function;
        *self.worker_of(feedback).others_in_flight.at_mut(tick) += at_worker;
    }

    /// What a request of duration `elapsed` adds to the estimate of the other routers' requests at a
    /// worker.
    fn estimated_requests_of_others(&self, elapsed: Micros) -> f64 {
        self.other_routers() * elapsed as f64 / AVERAGING_WINDOW_MICROS
    }

    /// Records the duration of a load that this attempt triggered.
    fn record_load(&mut self, feedback: Feedback<'_>, usual_load_time: Micros) {
        let elapsed = feedback.result.elapsed;
        if !self.loads.record_finished(self.now, elapsed, usual_load_time) {
            return;
        }
        let service_time = self.workloads[feedback.attempt.workload].service_time();
        let measured = elapsed.saturating_sub(service_time as Micros);
        if let Some(function) = self.functions.get_mut(feedback.attempt.function) {
            function.load_time = function.load_time.or(Some(measured));
        }
    }

    /// Records a rejection. A worker without capacity rejects at once; a slow rejection concerns only this
    /// customer.
    fn record_rejection(&mut self, feedback: Feedback<'_>) {
        let now = self.now;
        let tick = self.workers.tick();
        let others = self.other_routers();
        let throughput = self.fleet.throughput;
        let objective = self.workloads[feedback.attempt.workload].latency_objective;
        self.function_at_worker(feedback).overloaded_until = now + REJECTION_BACKOFF;
        let worker = self.worker_of(feedback);
        let was_slow = feedback.result.elapsed as f64 > objective as f64 * FAST_REJECTION_SHARE;
        if let Some(customer) = feedback.attempt.customer.filter(|_| was_slow) {
            worker.rejects_customer_until.insert(customer, now + CUSTOMER_REJECTION_BACKOFF);
            return;
        }
        let at_limit = worker.concurrency.limit * others / (others + 1.0);
        let estimate = worker.others_in_flight.at_mut(tick);
        *estimate = estimate.max(at_limit);
        let in_flight = worker.total_in_flight(tick);
        let min_limit = throughput.min_limit(worker.weight);
        worker.concurrency.decrease(now, objective / REJECTION_INTERVAL_DIVISOR, in_flight, min_limit);
    }

    /// Treats a missing response as a response time of at least `elapsed`. If the worker has meanwhile
    /// answered attempts that were sent later, the response was lost or the request itself was long, and
    /// nothing is recorded.
    fn record_missing_response(&mut self, feedback: Feedback<'_>) {
        let now = self.now;
        let tick = self.workers.tick();
        let throughput = self.fleet.throughput;
        let elapsed = feedback.result.elapsed;
        let objective = self.workloads[feedback.attempt.workload].latency_objective;
        let expected = self.estimated_requests_of_others(elapsed);
        let worker = self.worker_of(feedback);
        if elapsed <= objective || worker.last_answered_sent_at > feedback.attempt.sent_at {
            return;
        }
        worker.concurrency.record_delay(feedback.sample_weight, elapsed as f64 / objective as f64);
        let reported = feedback.result.reported_in_flight.is_some();
        *worker.others_in_flight.at_mut(tick) += if reported { 0.0 } else { expected };
        let in_flight = worker.total_in_flight(tick);
        let min_limit = throughput.min_limit(worker.weight);
        worker.concurrency.decrease(now, objective, in_flight, min_limit);
    }

    fn other_routers(&self) -> f64 {
        (self.config.router_count - 1) as f64
    }
}
