//! Retries: whether a request may have another attempt, at which worker, and within which budget (rules 1
//! and 2).
//!
//! Guards against a second execution of requests that may run only once, and against retries that double
//! the load when workers fail. Every attempt is checked by [`Control::may_send`].

use super::Control;
use super::shedding::GIVE_UP_MARGIN;
use crate::averages::TICK_INTERVAL;
use crate::interface::{
    Actions, AttemptResult, IdempotencyScope, Micros, Outcome, RequestId, RetrySafety, WorkerId,
};
use crate::state::request::{Attempt, AttemptId, AttemptState, Request};
use crate::state::worker::Worker;

/// Budget tokens earned per first try, so that hedged attempts and retries cannot double the load.
const TOKENS_PER_REQUEST: f64 = 0.05;
/// Maximum saved tokens: enough for a short fault.
const MAX_TOKENS: f64 = 20.0;
/// Time for which a request avoids a worker after an attempt of it there has ended, and for which a
/// function avoids a worker that has rejected it: about the duration of a few requests.
pub(super) const REJECTION_BACKOFF: Micros = 300_000;

/// Token budget shared by hedged attempts and retries; each costs one token.
pub struct AttemptBudget {
    tokens: f64,
}

impl Default for AttemptBudget {
    /// A half-full budget.
    fn default() -> Self {
        AttemptBudget { tokens: MAX_TOKENS / 2.0 }
    }
}

impl AttemptBudget {
    /// Earns tokens for an arriving request. A client's retry earns none; otherwise the router's own
    /// hedged attempts and retries would increase with a retry storm.
    pub fn earn(&mut self, is_client_retry: bool) {
        let earned = if is_client_retry { 0.0 } else { TOKENS_PER_REQUEST };
        self.tokens = (self.tokens + earned).min(MAX_TOKENS);
    }

    /// Whether a token is available.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends one token.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}

/// The time from which on no further attempt of the request may be started.
pub(super) fn no_attempt_after(request: &Request) -> Micros {
    let first_sent_at = request.possibly_executed().map(|attempt| attempt.sent_at).min();
    match (first_sent_at, request.retry_safety) {
        (None, _) | (_, RetrySafety::Idempotent) => Micros::MAX,
        (Some(first), RetrySafety::Keyed { window, .. }) => (first + window).saturating_sub(TICK_INTERVAL),
        (Some(_), RetrySafety::AtMostOnce) => 0,
    }
}

/// Whether a worker recognizes a duplicate of an attempt by its idempotency key.
fn recognizes(scope: IdempotencyScope, worker: &Worker, attempt: &Attempt) -> bool {
    match scope {
        IdempotencyScope::Everywhere => true,
        IdempotencyScope::Zone => attempt.zone.is_some() && attempt.zone == worker.zone,
        IdempotencyScope::Rack => attempt.rack == worker.rack,
    }
}

/// Whether a request may have been executed, judging by the outcome of its attempt.
fn state_after_outcome(outcome: Outcome) -> AttemptState {
    if outcome.may_have_run() { AttemptState::MayHaveRun } else { AttemptState::NeverRan }
}

impl Control {
    /// Whether the request may have another attempt at all; [`Control::may_send`] decides for a given
    /// worker.
    pub(super) fn may_retry(&self, request: &Request) -> bool {
        self.now < no_attempt_after(request)
            && request.attempts.len() < self.config.attempt_policy.max_attempts
    }

    /// Whether an attempt may be sent to a worker: the worker is ready, the request was not there recently,
    /// and a duplicate would be harmless there.
    pub(super) fn may_send(&self, request: &Request, id: WorkerId) -> bool {
        let Some(worker) = self.workers.get(&id).filter(|worker| worker.ready) else { return false };
        let backoff_over = |attempt: &Attempt| {
            attempt.worker != id
                || (attempt.state != AttemptState::InFlight
                    && attempt.ended_at + REJECTION_BACKOFF <= self.now)
        };
        if !request.attempts.iter().all(backoff_over) || !self.may_retry(request) {
            return false;
        }
        match request.retry_safety {
            RetrySafety::Keyed { scope, .. } => {
                request.possibly_executed().all(|attempt| recognizes(scope, worker, attempt))
            }
            RetrySafety::Idempotent | RetrySafety::AtMostOnce => true,
        }
    }

    /// Whether the client may be told that retrying the request is safe.
    pub(super) fn is_safe_to_reject(&self, request: &Request) -> bool {
        match request.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::Keyed { scope: IdempotencyScope::Everywhere, .. } if self.may_retry(request) => true,
            RetrySafety::Keyed { .. } | RetrySafety::AtMostOnce => {
                request.possibly_executed().next().is_none()
            }
        }
    }

    /// Records the end of an attempt and decides how its request continues: it is complete, another attempt
    /// is still in flight, it is queued for a retry, or it is given up.
    pub(super) fn end_attempt(&mut self, actions: &mut dyn Actions, id: AttemptId, result: &AttemptResult) {
        let Some(request) = self.requests.get_mut(&id.request) else { return };
        let attempt = &mut request.attempts[id.number];
        attempt.ended_at = self.now;
        attempt.state = state_after_outcome(result.outcome);
        if result.request_ended {
            self.cancel_attempts(actions, id.request);
            self.forget_request(id.request);
            return;
        }
        // The token for a cancelled attempt was spent when it was cancelled. Charging it again here would
        // fail requests for lack of tokens when many attempts are cancelled at once.
        let costs_token = attempt.state == AttemptState::MayHaveRun && result.outcome != Outcome::Cancelled;
        if request.response_started || request.in_flight() > 0 {
            return;
        }
        self.retry_or_give_up(actions, id.request, costs_token);
    }

    fn retry_or_give_up(&mut self, actions: &mut dyn Actions, id: RequestId, costs_token: bool) {
        let request = &self.requests[&id];
        let in_time = request.deadline > self.now + GIVE_UP_MARGIN;
        let affordable = !costs_token || self.attempt_budget.has_token();
        if !in_time || !self.may_retry(request) || !affordable {
            self.give_up(actions, id);
            return;
        }
        if costs_token {
            self.attempt_budget.spend();
        }
        self.enqueue(id);
    }
}
