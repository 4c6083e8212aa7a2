//! Hedged requests: one further attempt at the next worker if the latest one does not finish within the
//! hedge delay.
//!
//! Guards against a worker that is slow for one request without being slow for all.

use super::Control;
use super::shedding::GIVE_UP_MARGIN;
use super::timers::Timer;
use crate::averages::TICK_INTERVAL;
use crate::interface::{Actions, Micros, RetrySafety};
use crate::state::request::{AttemptId, AttemptState, Request};

/// Load times in the hedge delay, which is two load times plus the latency objective.
const HEDGE_DELAY_LOAD_TIMES: u64 = 2;
/// Time until a hedge that found no worker is tried again.
const RETRY_INTERVAL: Micros = 2 * TICK_INTERVAL;

/// Whether an attempt is the latest of its request and still in flight.
fn is_latest_in_flight(request: &Request, id: AttemptId) -> bool {
    request.attempts.len() == id.number + 1 && request.attempts[id.number].state == AttemptState::InFlight
}

impl Control {
    /// Sets the hedge timer of an attempt, if the request may run twice concurrently.
    pub(super) fn schedule_hedge(&mut self, actions: &mut dyn Actions, id: AttemptId) {
        let request = &self.requests[&id.request];
        let policy = &self.config.attempt_policy;
        if !policy.hedging_allowed || request.retry_safety == RetrySafety::AtMostOnce {
            return;
        }
        let objective = self.workloads[request.workload].latency_objective;
        let delay = HEDGE_DELAY_LOAD_TIMES * self.load_time(request.function) + objective;
        self.timers.set(actions, delay, Timer::Hedge(id));
    }

    /// Sends a hedged attempt if the given attempt is its request's latest and has not finished within the
    /// hedge delay, or if its worker has been ejected. If hedging is forbidden but cancelling is allowed,
    /// cancels the attempt instead, so that its request is retried.
    pub(super) fn hedge(&mut self, actions: &mut dyn Actions, id: AttemptId) {
        let Some(request) = self.requests.get(&id.request) else { return };
        let in_time = request.deadline > self.now + GIVE_UP_MARGIN;
        let wanted = is_latest_in_flight(request, id) && !request.response_started;
        if !wanted || !self.may_retry(request) || !in_time {
            return;
        }
        if self.attempt_budget.has_token()
            && let Some(worker) = self.select_worker(id.request)
        {
            if self.config.attempt_policy.hedging_allowed {
                self.attempt_budget.spend();
                self.send(actions, id.request, worker);
            } else if self.config.attempt_policy.cancel_allowed {
                // Concurrent attempts are forbidden: the request is retried once this attempt has been
                // cancelled.
                self.attempt_budget.spend();
                actions.cancel(id.request, id.number);
            }
            return;
        }
        self.timers.set(actions, RETRY_INTERVAL, Timer::Hedge(id));
    }
}
