//! Responses of workers and losses of worker connections, and their effect on the attempt in flight.
//!
//! Entry points: data, half-close and close events of worker connections.
use super::Gateway;
use crate::attempt_outcome;
use crate::client::Answer;
use crate::request_table::{AttemptId, attempt_result};
use crate::worker_connection::WorkerResponse;
use applepond::interface::{AttemptResult, Micros, Outcome};
use applepond_reactor::{Closed, ConnectionId, Transport};
use std::rc::Rc;

impl Gateway {
    /// Processes bytes received from a worker.
    pub(super) fn worker_bytes(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        bytes: &[u8],
    ) {
        let Some(connection) = self.workers.connections.get_mut(&conn) else { return };
        let Some(attempt) = connection.attempt else {
            // Data on an idle connection: a second response or garbage, which belongs to no request.
            let worker = connection.worker;
            self.workers.abort_idle(transport, conn);
            self.workers.stop_reuse(transport, worker);
            return;
        };
        let worker = connection.worker;
        let received = connection.receive(bytes);
        if std::mem::take(&mut connection.received_copy) {
            self.workers.stop_reuse(transport, worker);
        }
        match received {
            Ok(false) => {}
            Ok(true) => self.response_complete(now, transport, conn),
            Err(fault) => {
                tracing::warn!(reason = fault.reason, "invalid response from a worker");
                self.end_attempt(now, transport, attempt, Outcome::ConnectionLost);
            }
        }
    }

    /// Handles a complete response: releases its connection for other attempts, and closes its attempt.
    fn response_complete(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        let Some(connection) = self.workers.connections.get_mut(&conn) else { return };
        let Some(attempt) = connection.attempt.take() else { return };
        let (mut response, reusable) = connection.take_response();
        let worker = connection.worker;
        if connection.decoder.buffered_bytes() > 0 {
            self.workers.stop_reuse(transport, worker);
        }
        if let Some(record) = self.workers.endpoints.get_mut(worker) {
            record.has_answered = true;
        }
        self.workers.release(now, transport, conn, worker, reusable);
        let reported_outcome = response.reported_outcome.as_deref();
        let outcome = attempt_outcome::from_response(response.status, reported_outcome, response.is_event);
        self.finish_with_response(now, transport, attempt, outcome, &mut response);
        let result = AttemptResult {
            load_state: response.load_state,
            same_function_in_flight: response.same_function_in_flight,
            reported_in_flight: response.reported_in_flight,
            reported_loads: response.reported_loads,
            ..attempt_result(outcome)
        };
        self.close_attempt(now, attempt, result);
    }

    /// Ends the request with the response of a finished attempt, unless the request has ended already.
    fn finish_with_response(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        attempt: AttemptId,
        outcome: Outcome,
        response: &mut WorkerResponse,
    ) {
        let Some(request) = self.requests.get_mut(attempt.request) else { return };
        request.attempts[attempt.index].connection = None;
        if outcome != Outcome::Finished || request.ended {
            return;
        }
        request.data.was_loaded = response.was_loaded();
        let mut fields = std::mem::take(&mut response.fields);
        fields.field("applepond-executions", &request.attempts.len().to_string());
        let body = std::mem::take(&mut response.body);
        let answer = Rc::new(Answer::finished(fields, body));
        self.finish_request(now, transport, attempt.request, answer);
    }

    /// Handles the loss of a connection to a worker, or its half-close by the worker. `sent` is the number of
    /// bytes that the kernel accepted for sending on it.
    pub(super) fn worker_disconnected(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        reason: Closed,
        sent: u64,
    ) {
        let Some(mut connection) = self.workers.connections.remove(&conn) else { return };
        let Some(attempt) = connection.attempt else {
            self.workers.forget_idle(connection.worker, conn);
            return;
        };
        // A response without a length is delimited by the orderly end of its connection.
        let is_complete = reason == Closed::Ended
            && connection.decoder.in_body()
            && connection.decoder.finish(&mut connection.response).is_ok();
        if is_complete && !connection.is_copy() {
            self.workers.connections.insert(conn, connection);
            self.response_complete(now, transport, conn);
            return;
        }
        let progress = attempt_outcome::send_progress(connection.connected, connection.sent_before, sent);
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.attempts[attempt.index].connection = None;
            if attempt_outcome::may_resend(progress, connection.is_reused(), reason) && !request.ended {
                self.connect_attempt(now, transport, attempt);
                return;
            }
        }
        self.close_attempt(now, attempt, attempt_result(attempt_outcome::on_disconnect(progress)));
    }
}
