//! The workers and the connections to them. An idle connection is stored twice, in its worker's record and
//! among all connections; the methods here keep both consistent.
//!
//! State: the endpoint list's records and all worker connections, idle or with an attempt.
use crate::endpoint_list::{EndpointList, IdleConnection, WorkerRecord};
use crate::request_table::AttemptId;
use crate::worker_connection::WorkerConnection;
use applepond::interface::{Micros, RetrySafety, WorkerId, WorkerStatus};
use applepond_reactor::{ConnectionId, Transport};
use rustc_hash::FxHashMap;

/// Maximum number of idle connections per worker; a router seldom has more concurrent requests at one worker.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Idle time after which a connection is not reused. Shorter than the workers' own timeout, so that a worker
/// does not close a connection on which a request is being sent.
const IDLE_TIMEOUT: Micros = 4_000_000;
/// Idle time after which a connection is not reused for at-most-once requests. If the worker closes it
/// anyway, such a request counts as one that may have run and cannot be retried.
const AT_MOST_ONCE_IDLE_TIMEOUT: Micros = 500_000;

/// All workers and connections to them.
#[derive(Default)]
pub(super) struct WorkerPool {
    pub(super) endpoints: EndpointList,
    /// All connections; idle ones are in their worker's record as well.
    pub(super) connections: FxHashMap<ConnectionId, WorkerConnection>,
}

impl WorkerPool {
    /// Returns the record of a worker if it accepts new requests.
    pub(super) fn ready(&mut self, worker: WorkerId) -> Option<&mut WorkerRecord> {
        self.endpoints.get_mut(worker).filter(|record| record.status == WorkerStatus::Ready)
    }

    /// Assigns the worker's most recently used idle connection to an attempt, if it has not been idle too
    /// long; all others have been idle for longer.
    pub(super) fn assign_idle(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        worker: WorkerId,
        attempt: AttemptId,
        retry_safety: RetrySafety,
    ) -> Option<ConnectionId> {
        let timeout = match retry_safety {
            RetrySafety::AtMostOnce => AT_MOST_ONCE_IDLE_TIMEOUT,
            _ => IDLE_TIMEOUT,
        };
        let record = self.endpoints.get_mut(worker)?;
        let IdleConnection { conn, .. } = *record.idle.last().filter(|idle| now < idle.since + timeout)?;
        record.idle.pop();
        let connection = self.connections.get_mut(&conn).expect("an idle connection is in both places");
        connection.attempt = Some(attempt);
        connection.sent_before = transport.sent(conn);
        Some(conn)
    }

    /// Opens a connection to a worker for an attempt; returns `None` for an unknown worker.
    pub(super) fn connect(
        &mut self,
        transport: &mut dyn Transport,
        worker: WorkerId,
        attempt: AttemptId,
        timeout: Micros,
    ) -> Option<ConnectionId> {
        let conn = transport.connect(self.endpoints.get(worker)?.address, timeout);
        self.connections.insert(conn, WorkerConnection::new(worker, attempt));
        Some(conn)
    }

    /// Releases a connection whose attempt has ended. It is kept idle if it is `reusable`, its worker accepts
    /// requests, and the worker has fewer than [`MAX_IDLE_CONNECTIONS`] idle ones; otherwise it is aborted.
    pub(super) fn release(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        worker: WorkerId,
        reusable: bool,
    ) {
        let may_keep = |record: &&mut WorkerRecord| {
            reusable && !record.sends_extra_responses && record.idle.len() < MAX_IDLE_CONNECTIONS
        };
        match self.ready(worker).filter(may_keep) {
            Some(record) => record.idle.push(IdleConnection { conn, since: now }),
            None => self.abort(transport, conn),
        }
    }

    /// Notes that a worker has sent bytes that belong to no request. Its idle connections are aborted, and
    /// none is reused until its process is replaced.
    pub(super) fn stop_reuse(&mut self, transport: &mut dyn Transport, worker: WorkerId) {
        let Some(record) = self.endpoints.get_mut(worker) else { return };
        if !std::mem::replace(&mut record.sends_extra_responses, true) {
            tracing::warn!(worker = record.name, "extra bytes from a worker; its connections are not reused");
        }
        for IdleConnection { conn, .. } in std::mem::take(&mut record.idle) {
            self.abort(transport, conn);
        }
    }

    /// Aborts a connection that is not idle.
    pub(super) fn abort(&mut self, transport: &mut dyn Transport, conn: ConnectionId) {
        transport.abort(conn);
        self.connections.remove(&conn);
    }

    /// Aborts a connection that may be idle.
    pub(super) fn abort_idle(&mut self, transport: &mut dyn Transport, conn: ConnectionId) {
        transport.abort(conn);
        if let Some(connection) = self.connections.remove(&conn) {
            self.forget_idle(connection.worker, conn);
        }
    }

    /// Removes an idle connection from its worker's record.
    pub(super) fn forget_idle(&mut self, worker: WorkerId, conn: ConnectionId) {
        if let Some(record) = self.endpoints.get_mut(worker) {
            record.idle.retain(|idle| idle.conn != conn);
        }
    }

    /// Aborts the connections idle for longer than [`IDLE_TIMEOUT`].
    pub(super) fn abort_expired_idle(&mut self, now: Micros, transport: &mut dyn Transport) {
        for (_, record) in self.endpoints.iter_mut() {
            let expired = record.idle.iter().take_while(|idle| now >= idle.since + IDLE_TIMEOUT).count();
            for IdleConnection { conn, .. } in record.idle.drain(..expired) {
                transport.abort(conn);
                self.connections.remove(&conn);
            }
        }
    }
}
