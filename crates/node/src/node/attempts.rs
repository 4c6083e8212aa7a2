//! The life of an attempt: it is queued on a connection with capacity, written, possibly cancelled or timed
//! out, and reported to `Control` as closed exactly once.
//!
//! Entry points: `Control`'s actions to send and to cancel, the timer for attempt timeouts, and connections
//! that become writable.
use super::Node;
use crate::worker_connection::{QueuedWrite, WorkerConnection};
use applepond::interface::{AttemptResult, Micros, Outcome, WorkerId};
use applepond_gateway::attempt_outcome;
use applepond_gateway::request_table::{AttemptId, AttemptStart, Dispatch, attempt_result};
use applepond_platform::call::id_text;
use applepond_platform::line;
use applepond_reactor::{ConnectionId, Transport};

/// Maximum number of attempts on one connection while descriptors for another are available. It is low
/// because all attempts on a connection are lost together.
const MAX_SHARED_ATTEMPTS: usize = 4;
/// Idle timeout as a fraction of the model servers' own, so that no call is sent on a connection that the
/// server is closing.
const IDLE_TIMEOUT_FRACTION: f64 = 0.75;

impl Node {
    /// Starts an attempt requested by `Control`.
    pub(super) fn start_attempt(&mut self, now: Micros, transport: &mut dyn Transport, dispatch: &Dispatch) {
        let max_attempts = self.config.startup.attempt_policy.max_attempts;
        match self.requests.start_attempt(now, dispatch, max_attempts) {
            Some(AttemptStart::InFlight(attempt)) => {
                self.set_timeout_timer(now, transport);
                self.place_attempt(now, transport, attempt);
            }
            Some(AttemptStart::Refused(attempt)) => self.close_with(now, attempt, Outcome::Superseded),
            None => {}
        }
    }

    /// Sets the timer for the next attempt timeout, unless an earlier timer is already set.
    fn set_timeout_timer(&mut self, now: Micros, transport: &mut dyn Transport) {
        if let Some(at) = self.requests.next_timer() {
            let end_timed_out = |node: &mut Node, now, transport: &mut dyn Transport| {
                node.end_timed_out_attempts(now, transport);
            };
            self.schedule(now, transport, at.saturating_sub(now), Box::new(end_timed_out));
        }
    }

    fn end_timed_out_attempts(&mut self, now: Micros, transport: &mut dyn Transport) {
        while let Some(attempt) = self.requests.pop_timed_out(now) {
            self.end_attempt(now, attempt, Outcome::TimedOut);
        }
        self.set_timeout_timer(now, transport);
    }

    /// Queues an attempt on a connection with capacity, opening a new one if necessary.
    pub(super) fn place_attempt(&mut self, now: Micros, transport: &mut dyn Transport, attempt: AttemptId) {
        let Some(request) = self.requests.get(attempt.request) else { return };
        let worker = request.attempts[attempt.index].worker;
        if !request.may_start(now, attempt.index) || self.workers.ready(worker).is_none() {
            return self.close_with(now, attempt, Outcome::Superseded);
        }
        let conn = match self.select_connection(now, attempt, worker) {
            Some(conn) => conn,
            None if self.connections.len() < self.max_connections => {
                self.open_connection(now, transport, worker)
            }
            None if self.abort_longest_idle(now, transport) => {
                return self.place_attempt(now, transport, attempt);
            }
            None => {
                // Running out of descriptors must not count as a failure of this server.
                let connections = self.connections.len();
                tracing::warn!(connections, "no descriptor is left for a connection to a server");
                return self.close_with(now, attempt, Outcome::Superseded);
            }
        };
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.attempts[attempt.index].connection = Some(conn);
        }
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.queue.push_back(QueuedWrite::Attempt(attempt));
        }
        self.unflushed.push(conn);
    }

    /// Selects an open connection to a ready worker for an attempt. While descriptors for more connections
    /// are available, a connection takes only [`MAX_SHARED_ATTEMPTS`], as all are lost with it, and the most
    /// loaded one below that limit is chosen so that connections rarely become idle. Otherwise the least
    /// loaded one is chosen.
    fn select_connection(&self, now: Micros, attempt: AttemptId, worker: WorkerId) -> Option<ConnectionId> {
        let earlier = &self.requests.get(attempt.request)?.attempts[..attempt.index];
        let record = self.workers.ready(worker)?;
        let idle_timeout = self.idle_timeout();
        let usable = record.connections.iter().copied().filter(|conn| {
            let connection = &self.connections[conn];
            let is_fresh = connection.load() > 0 || now < connection.last_used + idle_timeout;
            // A connection that carried an earlier attempt of the request, or an earlier request with its id,
            // may still deliver an answer to it, even a second one, which has the same id.
            let is_used = || {
                let is_of_request = earlier.iter().any(|attempt| attempt.connection == Some(*conn));
                is_of_request || connection.has_carried(attempt.request)
            };
            let max_attempts = self.config.connection_config.max_concurrent_attempts;
            is_fresh && connection.load() < max_attempts && !is_used()
        });
        let has_descriptors = self.connections.len() < self.max_connections;
        let max_spread = if has_descriptors { self.max_connections / self.ready_workers } else { 0 };
        let may_spread = record.connections.len() < max_spread;
        let load = |conn: &ConnectionId| self.connections[conn].load();
        let candidates = usable.filter(|conn| !may_spread || load(conn) < MAX_SHARED_ATTEMPTS);
        candidates.max_by_key(|conn| if may_spread { load(conn) } else { usize::MAX - load(conn) })
    }

    fn open_connection(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        worker: WorkerId,
    ) -> ConnectionId {
        let record = self.workers.get_mut(worker).expect("place_attempt checks that the worker is ready");
        let conn = transport.connect(record.address, self.config.connection_config.connect_timeout);
        record.connections.push(conn);
        self.connections.insert(conn, WorkerConnection::new(now, worker));
        conn
    }

    /// Aborts the connection that has been idle longest, to free its descriptor. Returns false if none is
    /// idle.
    fn abort_longest_idle(&mut self, now: Micros, transport: &mut dyn Transport) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
        let oldest = idle.map(|(conn, connection)| (connection.last_used, *conn)).min();
        if let Some((_, conn)) = oldest {
            self.abort_connection(now, transport, conn);
        }
        oldest.is_some()
    }

    /// Idle time after which this side closes a connection to a model server.
    pub(super) fn idle_timeout(&self) -> Micros {
        (self.config.connection_config.server_idle_timeout as f64 * IDLE_TIMEOUT_FRACTION) as Micros
    }

    /// Writes the queue of a connection, as far as the kernel accepts it. An attempt of which the kernel has
    /// accepted no byte can still be withdrawn. No attempt is started while the endpoint list is stale: the
    /// server may have drained or gone during a pause of this process.
    pub(super) fn flush(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        let is_stale = self.name_service.is_stale(now);
        while let Some(connection) = self.connections.get_mut(&conn).filter(|connection| connection.connected)
            && let Some(write) = connection.next_write(!is_stale)
        {
            connection.last_used = now;
            let is_writable = match write {
                QueuedWrite::Bytes(bytes) => {
                    let taken = transport.try_write(conn, &bytes);
                    self.requeue_rest(conn, &bytes, taken)
                }
                QueuedWrite::Attempt(attempt) => self.write_attempt(now, transport, conn, attempt),
            };
            if !is_writable {
                return;
            }
        }
        let connection = self.connections.get_mut(&conn).filter(|connection| connection.connected);
        let Some(connection) = connection else { return };
        if !connection.queue.is_empty() {
            self.delayed_connections.insert(conn);
        }
        for attempt in std::mem::take(&mut connection.cancelling) {
            self.close_with(now, attempt, Outcome::Cancelled);
        }
    }

    /// Writes the line of an attempt. Returns false if the kernel accepts no more bytes.
    fn write_attempt(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        attempt: AttemptId,
    ) -> bool {
        let Some(request) = self.requests.get(attempt.request) else { return true };
        // Does not start an attempt whose request has ended, even if started attempts may not be cancelled;
        // nor a repeat that the model server would no longer recognise as one because the connection was
        // established late or was blocked, or the attempt was held.
        if !request.may_start(now, attempt.index) {
            self.close_with(now, attempt, Outcome::Superseded);
            return true;
        }
        let mut bytes = request.data.head.clone();
        let time_left = request.deadline.saturating_sub(now);
        line::run_tail(&mut bytes, time_left.div_ceil(1000), &request.data.body);
        let taken = transport.try_write(conn, &bytes);
        let Some(connection) = self.connections.get_mut(&conn) else { return false };
        if taken == 0 {
            connection.queue.push_front(QueuedWrite::Attempt(attempt));
            return false;
        }
        if connection.in_flight.is_empty() {
            connection.last_received = now;
        }
        connection.attempt_sent(attempt);
        self.requeue_rest(conn, &bytes, taken)
    }

    /// Queues the bytes that the kernel has not accepted. Returns true if it has accepted all.
    fn requeue_rest(&mut self, conn: ConnectionId, bytes: &[u8], taken: usize) -> bool {
        if taken >= bytes.len() {
            return true;
        }
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.queue.push_front(QueuedWrite::Bytes(bytes[taken..].to_vec()));
        }
        false
    }

    /// Ends an attempt that is cancelled or has timed out. An unsent attempt is withdrawn and has never run;
    /// one that was sent, at least in part, is cancelled by a line to the server.
    pub(super) fn end_attempt(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(attempt.request) else { return };
        let Some(state) = request.attempts.get(attempt.index).filter(|state| !state.closed) else { return };
        let conn = state.connection;
        request.timed_out |= outcome == Outcome::TimedOut;
        // The request may have another attempt after this one, but not concurrently.
        let hedging_allowed = self.config.startup.attempt_policy.hedging_allowed;
        let must_be_alone = outcome == Outcome::Cancelled && !request.ended && !hedging_allowed;
        let mut outcome = outcome;
        if let Some(conn) = conn
            && let Some(connection) = self.connections.get_mut(&conn)
        {
            if connection.remove_queued(attempt) {
                outcome = attempt_outcome::on_local_end_unsent(outcome);
            } else if connection.in_flight.remove(&attempt.request).is_some() {
                let mut bytes = Vec::new();
                line::cancel(&mut bytes, id_text(&attempt.request));
                connection.queue.push_back(QueuedWrite::Bytes(bytes));
                self.unflushed.push(conn);
                if must_be_alone {
                    // Prevents two concurrent attempts where hedging is not allowed: this attempt is reported
                    // as closed only when the line that cancels it has been sent.
                    connection.cancelling.push(attempt);
                    return;
                }
            } else {
                connection.cancelling.retain(|cancelling| *cancelling != attempt);
            }
        }
        self.close_with(now, attempt, outcome);
    }

    /// Closes an attempt of which only the outcome is known.
    pub(super) fn close_with(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        self.close_attempt(now, attempt, attempt_result(outcome));
    }

    /// Reports the end of an attempt to `Control`. Has no effect on an attempt that is already closed.
    pub(super) fn close_attempt(&mut self, now: Micros, attempt: AttemptId, result: AttemptResult) {
        let request = self.requests.get(attempt.request);
        let worker = request.map(|request| request.attempts[attempt.index].worker.0);
        let Some(result) = self.requests.close_attempt(now, attempt, result) else { return };
        let (request, index) = (attempt.request, attempt.index);
        tracing::debug!(request = id_text(&request), attempt = index, worker, ?result, "attempt closed");
        self.control.advance_to(now);
        self.control.attempt_finished(&mut self.actions, request, index, &result);
    }
}
