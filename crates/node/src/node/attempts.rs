//! Attempts: they are put on a connection with capacity, written, ended by a cancel or a timeout, and closed
//! exactly once towards `Control`.
//!
//! Enters here: `Control`'s orders to send and to cancel, the timer of attempts' timeouts, and each
//! connection that can be written to.
use super::Node;
use crate::worker_connection::{QueuedWrite, WorkerConnection};
use applepond::interface::{AttemptResult, Micros, Outcome, WorkerId};
use applepond_gateway::attempt_outcome;
use applepond_gateway::request_table::{AttemptId, Dispatch, Started, attempt_result};
use applepond_platform::call::id_text;
use applepond_platform::line;
use applepond_reactor::{Conn, Transport};

/// Attempts on one connection as long as there are descriptors for another: they are lost together.
const MAX_SHARED_ATTEMPTS: usize = 4;
/// Part of the time after which model servers close idle connections at which this side does: a call must not
/// cross their closing.
const IDLE_TIMEOUT_PART: f64 = 0.75;

impl Node {
    /// Starts an attempt that `Control` ordered.
    pub(super) fn start_attempt(&mut self, now: Micros, transport: &mut dyn Transport, dispatch: &Dispatch) {
        let max_attempts = self.config.startup.attempt_policy.max_attempts;
        match self.requests.start_attempt(now, dispatch, max_attempts) {
            Some(Started::InFlight(attempt)) => {
                self.set_timeout_timer(now, transport);
                self.place_attempt(now, transport, attempt);
            }
            Some(Started::Refused(attempt)) => self.close_with(now, attempt, Outcome::Superseded),
            None => {}
        }
    }

    /// Sets the timer for the attempt that times out first, unless one fires early enough anyway.
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

    /// Puts an attempt on a connection that has capacity for it, a new one if need be.
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
            None if self.cut_longest_idle(now, transport) => {
                return self.place_attempt(now, transport, attempt);
            }
            None => {
                // That there is no descriptor is not this server's fault.
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

    /// The open connection to a ready worker that an attempt is put on: the fullest that is not full, so that
    /// connections seldom become idle. All attempts on one are lost with it, so one is full with a few of
    /// them, as long as there are descriptors for more connections; then the emptiest is taken.
    fn select_connection(&self, now: Micros, attempt: AttemptId, worker: WorkerId) -> Option<Conn> {
        let earlier = &self.requests.get(attempt.request)?.attempts[..attempt.index];
        let record = self.workers.ready(worker)?;
        let idle_timeout = self.idle_timeout();
        let usable = record.connections.iter().copied().filter(|conn| {
            let connection = &self.connections[conn];
            let is_fresh = connection.load() > 0 || now < connection.last_used + idle_timeout;
            // Another answer to an earlier attempt of the request may still arrive here under the same id,
            // also where it has had one.
            let is_used = earlier.iter().any(|attempt| attempt.connection == Some(*conn));
            is_fresh && !is_used && connection.load() < self.config.connection_config.max_concurrent_attempts
        });
        let has_descriptors = self.connections.len() < self.max_connections;
        let max_spread = if has_descriptors { self.max_connections / self.ready_workers } else { 0 };
        let may_spread = record.connections.len() < max_spread;
        let load = |conn: &Conn| self.connections[conn].load();
        let candidates = usable.filter(|conn| !may_spread || load(conn) < MAX_SHARED_ATTEMPTS);
        candidates.max_by_key(|conn| if may_spread { load(conn) } else { usize::MAX - load(conn) })
    }

    fn open_connection(&mut self, now: Micros, transport: &mut dyn Transport, worker: WorkerId) -> Conn {
        let record = self.workers.get_mut(worker).expect("place_attempt has found it ready");
        let conn = transport.connect(record.address, self.config.connection_config.connect_timeout);
        record.connections.push(conn);
        self.connections.insert(conn, WorkerConnection::new(now, worker));
        conn
    }

    /// Cuts the connection that has been idle longest, for one that is needed; false where none is idle.
    fn cut_longest_idle(&mut self, now: Micros, transport: &mut dyn Transport) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
        let oldest = idle.map(|(conn, connection)| (connection.last_used, *conn)).min();
        if let Some((_, conn)) = oldest {
            self.cut_connection(now, transport, conn);
        }
        oldest.is_some()
    }

    /// Idle time after which this side closes a connection to a model server.
    pub(super) fn idle_timeout(&self) -> Micros {
        (self.config.connection_config.server_idle_timeout as f64 * IDLE_TIMEOUT_PART) as Micros
    }

    /// Writes what is queued on a connection, as far as the kernel takes it: what it has not started to take
    /// can still be taken back.
    pub(super) fn flush(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        while let Some(connection) = self.connections.get_mut(&conn).filter(|connection| connection.connected)
            && let Some(write) = connection.queue.pop_front()
        {
            connection.last_used = now;
            let takes_more = match write {
                QueuedWrite::Bytes(bytes) => {
                    let taken = transport.offer(conn, &bytes);
                    self.requeue_rest(conn, &bytes, taken)
                }
                QueuedWrite::Attempt(attempt) => self.write_attempt(now, transport, conn, attempt),
            };
            if !takes_more {
                return;
            }
        }
        let connection = self.connections.get_mut(&conn).filter(|connection| connection.connected);
        let cancelled = connection.map(|connection| std::mem::take(&mut connection.cancelling));
        for attempt in cancelled.into_iter().flatten() {
            self.close_with(now, attempt, Outcome::Cancelled);
        }
    }

    /// Writes the line of an attempt; false where the kernel takes no more.
    fn write_attempt(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: Conn,
        attempt: AttemptId,
    ) -> bool {
        let Some(request) = self.requests.get(attempt.request) else { return true };
        // Guards against an attempt that starts though nobody waits for its request any more, also where
        // those that have started may not be cancelled; against a repeat that a model server would not
        // recognise any more when its connection is established late or takes nothing; and against a server
        // that drained, or went, while this process stood still and queried no list.
        if !request.may_start(now, attempt.index) || self.name_service.is_stale(now) {
            self.close_with(now, attempt, Outcome::Superseded);
            return true;
        }
        let mut bytes = request.data.head.clone();
        let time_left = request.deadline.saturating_sub(now);
        line::run_tail(&mut bytes, time_left.div_ceil(1000), &request.data.body);
        let taken = transport.offer(conn, &bytes);
        let Some(connection) = self.connections.get_mut(&conn) else { return false };
        if taken == 0 {
            connection.queue.push_front(QueuedWrite::Attempt(attempt));
            return false;
        }
        if connection.in_flight.is_empty() {
            connection.last_received = now;
        }
        connection.in_flight.insert(attempt.request, attempt.index);
        self.requeue_rest(conn, &bytes, taken)
    }

    /// Puts back what the kernel has not taken; true where it has taken all.
    fn requeue_rest(&mut self, conn: Conn, bytes: &[u8], taken: usize) -> bool {
        if taken >= bytes.len() {
            return true;
        }
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.queue.push_front(QueuedWrite::Bytes(bytes[taken..].to_vec()));
        }
        false
    }

    /// Ends an attempt from this side, by a cancel or because it has timed out. What has not been sent is
    /// taken back and has never run; what has been sent is cancelled by a line.
    pub(super) fn end_attempt(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(attempt.request) else { return };
        let Some(state) = request.attempts.get(attempt.index).filter(|state| !state.closed) else { return };
        let conn = state.connection;
        request.timed_out |= outcome == Outcome::TimedOut;
        // Whether the request may have another attempt after this one, but not beside it.
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
                    // Guards against two attempts in flight where that is forbidden: this one closes when the
                    // line that cancels it has been sent.
                    connection.cancelling.push(attempt);
                    return;
                }
            } else {
                connection.cancelling.retain(|cancelling| *cancelling != attempt);
            }
        }
        self.close_with(now, attempt, outcome);
    }

    /// Closes an attempt of which no answer tells more than its outcome.
    pub(super) fn close_with(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        self.close_attempt(now, attempt, attempt_result(outcome));
    }

    /// Reports the end of an attempt to `Control`, the first time only.
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
