//! Events of connections to model servers: answers, disconnects, draining, and health checks of silent
//! connections.
//!
//! Entry points: bytes, half-closes and closes of worker connections, and the tick.
use super::Node;
use crate::client::Reply;
use crate::worker_connection::{QueuedWrite, Received};
use applepond::interface::{Micros, Outcome};
use applepond_gateway::attempt_outcome::{SendProgress, on_disconnect};
use applepond_gateway::request_table::AttemptId;
use applepond_platform::line;
use applepond_reactor::{ConnectionId, Transport};

/// Time without received bytes after which a connection with pending answers is sent a health check. Most
/// answers take less.
const PROBE_AFTER_SILENCE: Micros = 250_000;
/// Time within which a health check must be answered: far above the round-trip time, and above the pauses of
/// a model server that is only busy.
const PROBE_TIMEOUT: Micros = 500_000;
/// Tag of the health check. A connection has at most one pending.
const PROBE_TAG: &str = "works";

impl Node {
    /// Handles bytes received from a model server.
    pub(super) fn worker_bytes(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        bytes: &[u8],
    ) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        let mut received = Received::default();
        let read = connection.feed(bytes, &mut received);
        connection.last_received = now;
        if received.probe_answered || !received.answers.is_empty() {
            connection.probed_at = None;
        }
        for answer in received.answers {
            let request = answer.request;
            let connection = self.connections.get_mut(&conn);
            // Ignores answers to attempts that were cancelled, already answered, or never sent.
            let Some(index) = connection.and_then(|connection| connection.in_flight.remove(&request)) else {
                continue;
            };
            if answer.result.outcome == Outcome::Finished {
                let reply = Reply { body: answer.body, ..Reply::status_only(200) };
                self.finish_request(now, transport, request, &reply);
            }
            self.close_attempt(now, AttemptId { request, index }, answer.result);
        }
        if let Err(fault) = read {
            tracing::debug!(reason = fault.reason, detail = fault.detail, "invalid line from a model server");
            self.abort_connection(now, transport, conn);
        }
    }

    /// Aborts a connection that is unusable or no longer needed. Attempts that were sent on it may have run.
    pub(super) fn abort_connection(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
    ) {
        transport.abort(conn);
        self.worker_disconnected(now, transport, conn);
    }

    /// Handles the loss of a connection. Attempts in flight may have run and are closed. Queued attempts have
    /// not been sent: they move to another connection, or fail if this one was never established.
    pub(super) fn worker_disconnected(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
    ) {
        let Some(connection) = self.connections.remove(&conn) else { return };
        if !connection.in_flight.is_empty() {
            tracing::info!(
                worker = connection.worker.0,
                lost = connection.in_flight.len(),
                silent_us = now - connection.last_received,
                age_us = now - connection.opened_at,
                "connection to a model server lost with answers pending"
            );
        }
        if let Some(record) = self.workers.get_mut(connection.worker) {
            record.connections.retain(|open| *open != conn);
        }
        for (request, index) in connection.in_flight {
            self.close_with(now, AttemptId { request, index }, on_disconnect(SendProgress::Sent));
        }
        for attempt in connection.cancelling {
            self.close_with(now, attempt, Outcome::Cancelled);
        }
        for write in connection.queue {
            let QueuedWrite::Attempt(attempt) = write else { continue };
            if connection.connected {
                self.place_attempt(now, transport, attempt);
            } else {
                self.close_with(now, attempt, on_disconnect(SendProgress::NotConnected));
            }
        }
    }

    /// Drains a connection: withdraws queued attempts and lets those in flight complete.
    pub(super) fn drain_connection(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
    ) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        connection.draining = true;
        let mut withdrawn = Vec::new();
        for write in std::mem::take(&mut connection.queue) {
            match write {
                QueuedWrite::Attempt(attempt) => withdrawn.push(attempt),
                QueuedWrite::Bytes(_) => connection.queue.push_back(write),
            }
        }
        for attempt in withdrawn {
            self.close_with(now, attempt, Outcome::Superseded);
        }
        self.check_connection(now, transport, conn);
    }

    /// Aborts a connection that is drained, has been idle for too long or has not answered a health check.
    /// Sends a health check if answers are pending and the connection is silent, to detect peers that vanish
    /// without closing it.
    pub(super) fn check_connection(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
    ) {
        let idle_timeout = self.idle_timeout();
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        let is_useless = match connection.probed_at {
            // Also if no answer is pending any more: otherwise lines that cancel attempts would accumulate on
            // a dead connection.
            Some(probed_at) if now >= probed_at + PROBE_TIMEOUT => true,
            _ => {
                let has_expired = now >= connection.last_used + idle_timeout;
                connection.load() == 0 && (connection.draining || has_expired)
            }
        };
        if is_useless {
            return self.abort_connection(now, transport, conn);
        }
        let is_silent = now >= connection.last_received + PROBE_AFTER_SILENCE;
        let is_probed = connection.probed_at.is_some();
        if connection.connected && !is_probed && connection.has_open_attempts() && is_silent {
            let mut bytes = Vec::new();
            line::echo(&mut bytes, PROBE_TAG);
            connection.queue.push_back(QueuedWrite::Bytes(bytes));
            connection.probed_at = Some(now);
            self.unflushed.push(conn);
        }
    }
}
