//! The end of a request: the only place where its answer is sent to the waiting clients, stored in the
//! idempotency table, and logged.
//!
//! Entry points: `Control`'s reject and fail actions, and the first attempt of a request that finishes.
use super::Gateway;
use super::extensions::ScheduledRetry;
use super::request::{RequestData, resend_until_after};
use super::workflow::{EndedStep, StepEnd};
use crate::client::Answer;
use crate::idempotency::{Completion, FinalOutcome, IdempotencyKey};
use crate::request_table::RequestState;
use applepond::interface::{Micros, RequestId, RetrySafety};
use applepond_http::Fault;
use applepond_reactor::{ConnectionId, Transport};
use std::rc::Rc;

/// A request or a workflow that has ended, as far as the idempotency table needs to know it.
pub(super) struct EndedRequest {
    pub(super) request: RequestId,
    pub(super) key: IdempotencyKey,
    pub(super) retry_safety: RetrySafety,
    /// If an attempt may have been executed and it is keyed: until when its event may be sent again.
    pub(super) resend_until: Option<Micros>,
}

impl Gateway {
    /// Handles the rejection of a request by `Control`; `retry_after` is the delay suggested by `Control`.
    /// The request has never run, or its retry is recognised by all workers. Its client is not told to come
    /// back when they no longer do.
    pub(super) fn reject_request(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        retry_after: Option<Micros>,
    ) {
        let retry_after = retry_after.and_then(|wait| self.spread_retry(now, request, wait));
        if self.is_retry_too_late(now, request, retry_after) {
            return self.fail_request(now, transport, request);
        }
        let content = self.requests.get(request).map(|state| &state.data.content);
        if let (Some(history), Some(content), Some(wait)) = (&mut self.history, content, retry_after) {
            history.record_scheduled_retry(now, ScheduledRetry { request: content.digest, wait });
        }
        let fault = Fault::new(503, "pushed-back", "there is no room in time; a retry does no harm");
        let id = content.map(|content| content.key.id.clone());
        let answer = Answer::problem(FinalOutcome::Rejected, &fault, id.as_deref(), retry_after);
        self.finish_request(now, transport, request, answer);
    }

    /// Whether the request of a client may have run, and a retry after this delay would come when workers no
    /// longer recognise it.
    fn is_retry_too_late(&self, now: Micros, request: RequestId, retry_after: Option<Micros>) -> bool {
        let state = self.requests.get(request).filter(|state| state.data.on_end.is_none());
        let Some(until) = state.and_then(resend_until_after) else { return false };
        Answer::return_time(now, retry_after) >= until
    }

    /// Returns the `Retry-After` of a rejected request. While load is shed, retries are spread over the time
    /// that the client has left, as the delays suggested by `Control` would cause a second wave of retries.
    fn spread_retry(&mut self, now: Micros, request: RequestId, wait: Micros) -> Option<Micros> {
        let is_shedding = self.is_shedding();
        let Some(state) = self.requests.get(request) else { return Some(wait) };
        let content = &state.data.content;
        if is_shedding {
            let time_left = state.deadline.saturating_sub(now);
            return self.admission.schedule_retry(now, content.client_digest, content.digest, time_left);
        }
        self.admission.note_scheduled_retry(content.digest, now + wait);
        Some(wait)
    }

    /// Handles the failure of a request that `Control` gives up although it may have run.
    pub(super) fn fail_request(&mut self, now: Micros, transport: &mut dyn Transport, request: RequestId) {
        let Some(state) = self.requests.get(request) else { return };
        let is_late = state.timed_out || now >= state.deadline;
        let fault = if is_late {
            Fault::new(504, "killed-late", "no answer came in time; the job may have run")
        } else {
            Fault::new(502, "killed", "the worker failed; the job may have run")
        };
        let id = state.data.content.key.id.clone();
        let answer = Answer::problem(FinalOutcome::Failed, &fault, Some(&id), None);
        self.finish_request(now, transport, request, answer);
    }

    /// Ends a request with its answer; has no effect if it has ended already. The end of a workflow step is
    /// queued for its workflow, which handles it after the current event.
    pub(super) fn finish_request(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        answer: Rc<Answer>,
    ) {
        let Some(state) = self.requests.end(request) else { return };
        if let Some(on_end) = state.data.on_end.take() {
            let duration = now - state.arrived_at;
            let (was_loaded, resend_until) = (state.data.was_loaded, resend_until_after(state));
            let end = StepEnd { answer, duration, was_loaded, resend_until };
            self.requests.remove_if_done(request);
            self.workflows.ended_steps.push_back(EndedStep { on_end, end });
            return;
        }
        let workload = &self.deployment.workloads[state.data.content.workload].name;
        log_end(now, state, workload, &answer);
        let ended = EndedRequest {
            request,
            key: state.data.content.key.clone(),
            retry_safety: state.data.retry_safety,
            resend_until: resend_until_after(state),
        };
        let clients = std::mem::take(&mut state.data.clients);
        self.requests.remove_if_done(request);
        self.record_end(now, &ended, &answer);
        self.answer_clients(now, transport, clients, &answer);
    }

    /// Records the end of a request or a workflow in the counters, in admission control and in the
    /// idempotency table.
    pub(super) fn record_end(&mut self, now: Micros, ended: &EndedRequest, answer: &Rc<Answer>) {
        self.counters.count_end(answer.outcome);
        let is_finished = answer.outcome == FinalOutcome::Finished;
        let is_rejected = answer.outcome == FinalOutcome::Rejected;
        self.admission.request_ended(now, is_finished, is_rejected);
        let completion = Completion {
            outcome: answer.outcome,
            retry_safety: ended.retry_safety,
            answer: answer.clone(),
            bytes: answer.bytes(),
            resend_until: ended.resend_until,
        };
        self.idempotency.complete(now, &ended.key, ended.request, completion);
    }

    /// Answers the clients that wait for a request or a workflow. Their next requests are read after the
    /// current event.
    pub(super) fn answer_clients(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        clients: Vec<ConnectionId>,
        answer: &Answer,
    ) {
        for conn in clients {
            if let Some(client) = self.clients.get_mut(&conn) {
                client.answer(now, transport, conn, answer);
                self.answered_clients.push_back(conn);
            }
        }
    }
}

/// Logs the end of a request.
fn log_end(now: Micros, state: &RequestState<RequestData>, workload: &str, answer: &Answer) {
    let content = &state.data.content;
    tracing::info!(
        id = %content.key.id,
        source = %content.key.source,
        function = %content.function,
        %workload,
        reason = answer.reason,
        status = answer.status,
        attempts = state.attempts.len(),
        exchanges = state.data.clients.len(),
        duration_us = now - state.arrived_at,
        time_left_us = state.deadline.saturating_sub(now),
        "request ended"
    );
}
