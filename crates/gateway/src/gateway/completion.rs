//! The end of a request: the one place where its answer is given to the clients that wait, to the idempotency
//! table, and to the log.
//!
//! Enters here: `Control`'s orders to reject and to fail a request, and the first finished attempt of each.
use super::Gateway;
use super::extensions::PromisedRetry;
use super::request::RequestData;
use super::workflow::{EndedStep, StepEnd};
use crate::client::Answer;
use crate::idempotency::{Completion, FinalOutcome, IdempotencyKey};
use crate::request_table::RequestState;
use applepond::interface::{Micros, RequestId, RetrySafety};
use applepond_http::Fault;
use applepond_reactor::{Conn, Transport};
use std::rc::Rc;

impl Gateway {
    /// `Control` rejects a request, which has never run; `retry_after` is the wait that it advises.
    pub(super) fn reject_request(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        retry_after: Option<Micros>,
    ) {
        let retry_after = retry_after.and_then(|wait| self.spread_retry(now, request, wait));
        let content = self.requests.get(request).map(|state| &state.data.content);
        if let (Some(history), Some(content), Some(wait)) = (&mut self.history, content, retry_after) {
            history.record_promised_retry(now, PromisedRetry { request: content.digest, wait });
        }
        let fault = Fault::new(503, "pushed-back", "there is no room in time; a retry does no harm");
        let id = content.map(|content| content.key.id.clone());
        let answer = Answer::problem(FinalOutcome::Rejected, &fault, id.as_deref(), retry_after);
        self.finish_request(now, transport, request, answer);
    }

    /// The wait that a rejected client is told. While load is shed it is spread over the time that the client
    /// has left, as all of `Control`'s waits together would make a second wave of retries.
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

    /// `Control` gives a request up that may have run.
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

    /// Ends a request, the first time only. The end of a workflow's step goes to its workflow instead of to
    /// clients; it is handled when the current event has been.
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
            let end = StepEnd { answer, duration, was_loaded: state.data.was_loaded };
            self.requests.remove_if_done(request);
            self.workflows.ended_steps.push_back(EndedStep { on_end, end });
            return;
        }
        let workload = &self.deployment.workloads[state.data.content.workload].name;
        log_end(now, state, workload, &answer);
        let key = state.data.content.key.clone();
        let retry_safety = state.data.retry_safety;
        let clients = std::mem::take(&mut state.data.clients);
        self.requests.remove_if_done(request);
        self.record_end(now, &key, retry_safety, &answer);
        self.answer_clients(now, transport, clients, &answer);
    }

    /// Records the end of a request or a workflow in the counters, with admission and in the idempotency
    /// table.
    pub(super) fn record_end(
        &mut self,
        now: Micros,
        key: &IdempotencyKey,
        retry_safety: RetrySafety,
        answer: &Rc<Answer>,
    ) {
        self.counters.count_end(answer.outcome);
        let is_finished = answer.outcome == FinalOutcome::Finished;
        let is_rejected = answer.outcome == FinalOutcome::Rejected;
        self.admission.request_ended(now, is_finished, is_rejected);
        let completion = Completion {
            outcome: answer.outcome,
            retry_safety,
            answer: answer.clone(),
            bytes: answer.bytes(),
        };
        self.idempotency.complete(now, key, completion);
    }

    /// Answers the clients that waited for a request or a workflow; their next requests are read when the
    /// current event has been handled.
    pub(super) fn answer_clients(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        clients: Vec<Conn>,
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

/// The request's line in the log.
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
