//! Attempts: sent on worker connections, ended early by a cancel or a timeout, and reported to `Control`
//! exactly once.
//!
//! Entry points: `Control`'s send and cancel actions, the timer of attempt timeouts, and each worker
//! connection that becomes established.
use super::Gateway;
use crate::request_table::{AttemptId, AttemptStart, Dispatch, attempt_result};
use applepond::interface::{AttemptResult, Micros, Outcome, WorkerStatus};
use applepond_http::encode;
use applepond_reactor::{ConnectionId, Transport};
use std::net::SocketAddr;

impl Gateway {
    /// Starts an attempt requested by `Control`.
    pub(super) fn start_attempt(&mut self, now: Micros, transport: &mut dyn Transport, dispatch: &Dispatch) {
        let max_attempts = self.deployment.startup.attempt_policy.max_attempts;
        match self.requests.start_attempt(now, dispatch, max_attempts) {
            Some(AttemptStart::InFlight(attempt)) => {
                self.counters.attempts += 1;
                if let Some(worker) = self.workers.endpoints.get_mut(dispatch.worker) {
                    worker.in_flight += 1;
                }
                self.set_timeout_timer(now, transport);
                self.connect_attempt(now, transport, attempt);
            }
            Some(AttemptStart::Refused(attempt)) => {
                self.close_attempt(now, attempt, attempt_result(Outcome::Superseded));
            }
            None => {}
        }
    }

    /// Sets a timer for the attempt that times out first, unless an earlier timer is already set.
    fn set_timeout_timer(&mut self, now: Micros, transport: &mut dyn Transport) {
        if let Some(at) = self.requests.next_timer() {
            let delay = at.saturating_sub(now);
            let call = |gateway: &mut Gateway, now, transport: &mut dyn Transport| {
                gateway.end_timed_out_attempts(now, transport);
            };
            self.schedule(now, transport, delay, Box::new(call));
        }
    }

    fn end_timed_out_attempts(&mut self, now: Micros, transport: &mut dyn Transport) {
        while let Some(attempt) = self.requests.pop_timed_out(now) {
            self.end_attempt(now, transport, attempt, Outcome::TimedOut);
        }
        self.set_timeout_timer(now, transport);
    }

    /// Assigns an attempt to a connection: to an idle one, on which it is sent at once, or else to a new one,
    /// on which it is sent once the connection is established.
    pub(super) fn connect_attempt(&mut self, now: Micros, transport: &mut dyn Transport, attempt: AttemptId) {
        let Some(request) = self.requests.get_mut(attempt.request) else { return };
        let retry_safety = request.data.retry_safety;
        let state = &mut request.attempts[attempt.index];
        let worker = state.worker;
        if self.workers.ready(worker).is_none() {
            self.close_attempt(now, attempt, attempt_result(Outcome::ConnectFailed));
            return;
        }
        let idle = self.workers.assign_idle(now, transport, worker, attempt, retry_safety);
        if let Some(conn) = idle {
            state.connection = Some(conn);
            self.send_request(now, transport, conn);
        } else {
            let timeout = self.deployment.connect_timeout;
            state.connection = self.workers.connect(transport, worker, attempt, timeout);
        }
    }

    /// Writes the request of the attempt assigned to a connection.
    pub(super) fn send_request(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        let Some(connection) = self.workers.connections.get(&conn) else { return };
        let Some(attempt) = connection.attempt else { return };
        let Some(worker) = self.workers.endpoints.get(connection.worker) else { return };
        // While the connection was being established, the request has ended, its deadline has passed, or the
        // window has passed within which the worker would recognise this attempt as a duplicate.
        let request = self.requests.get(attempt.request);
        if !request.is_some_and(|request| now < request.deadline && request.may_start(now, attempt.index)) {
            self.end_attempt(now, transport, attempt, Outcome::Superseded);
            return;
        }
        // The worker has started to drain in the meantime, so it gets no new requests.
        if worker.status != WorkerStatus::Ready {
            self.end_attempt(now, transport, attempt, Outcome::ConnectFailed);
            return;
        }
        if let Some(bytes) = self.encode_request(now, attempt, worker.address) {
            transport.write(conn, &bytes);
        }
    }

    /// Encodes the HTTP request of an attempt.
    fn encode_request(&self, now: Micros, attempt: AttemptId, address: SocketAddr) -> Option<Vec<u8>> {
        let request = self.requests.get(attempt.request)?;
        let content = &request.data.content;
        let function = &request.data.function_config;
        let workload = &self.deployment.workloads[content.workload].name;
        let time_left = request.deadline.saturating_sub(now);
        let mut head = encode::request("POST", "/run", &address.to_string());
        head = head.lines(&content.fields);
        if let Some(media_type) = &content.media_type {
            head = head.field("Content-Type", media_type);
        }
        head = head
            .field("applepond-function", &content.function)
            .field("applepond-workload", workload)
            .number("applepond-lanes", u64::from(function.concurrency))
            .number("applepond-memory-mb", u64::from(function.memory_mb))
            .number("applepond-router", self.deployment.startup.router_index)
            .number("applepond-execution", attempt.index as u64)
            .number("applepond-time-left-ms", time_left / 1000);
        if let Some(prefix) = &content.prefix {
            head = head
                .field("applepond-opening", &prefix.name)
                .number("applepond-opening-size", u64::from(prefix.size));
            // Looked up when the request is written, so that no lease is sent from an expired list of pins.
            let lease = self.prefix_tracker.as_ref().and_then(|tracker| tracker.pin_lease(now, &prefix.name));
            if let Some(lease) = lease {
                head = head.number("applepond-opening-lease-ms", lease / 1000);
            }
        }
        Some(head.body(&content.data))
    }

    /// Ends an attempt from this side, by a cancel or a timeout. Closing the connection is the only signal to
    /// the worker; a later response is never read.
    pub(super) fn end_attempt(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        attempt: AttemptId,
        outcome: Outcome,
    ) {
        let Some(request) = self.requests.get_mut(attempt.request) else { return };
        let Some(state) = request.attempts.get_mut(attempt.index).filter(|state| !state.closed) else {
            return;
        };
        if let Some(conn) = state.connection.take() {
            self.workers.abort(transport, conn);
        }
        request.timed_out |= outcome == Outcome::TimedOut;
        self.close_attempt(now, attempt, attempt_result(outcome));
    }

    /// Closes an attempt and reports its result to `Control`; has no effect if it is closed already.
    pub(super) fn close_attempt(&mut self, now: Micros, attempt: AttemptId, result: AttemptResult) {
        let request = self.requests.get(attempt.request);
        let worker = request.map(|request| request.attempts[attempt.index].worker);
        let Some(result) = self.requests.close_attempt(now, attempt, result) else { return };
        if let Some(record) = worker.and_then(|worker| self.workers.endpoints.get_mut(worker)) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
        tracing::debug!(
            attempt = attempt.index,
            outcome = ?result.outcome,
            duration_us = result.elapsed,
            "attempt closed"
        );
        self.control.advance_to(now);
        self.control.attempt_finished(&mut self.actions, attempt.request, attempt.index, &result);
    }
}
