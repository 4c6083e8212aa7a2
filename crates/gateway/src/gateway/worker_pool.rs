//! The workers and the connections to them. An idle connection is in two places, in the record of its worker
//! and among all connections; the methods here keep the two in step.
//!
//! Owned here: the endpoint list's records and all worker connections, idle or with an attempt.
use crate::endpoint_list::{EndpointList, IdleConnection, WorkerRecord};
use crate::request_table::AttemptId;
use crate::worker_connection::WorkerConnection;
use applepond::interface::{Micros, RetrySafety, WorkerId, WorkerStatus};
use applepond_reactor::{Conn, Transport};
use rustc_hash::FxHashMap;

/// Idle connections kept for one worker: a router seldom has more requests there at the same time.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Idle time after which a connection is not used any more: shorter than a worker keeps it, so that the
/// worker's closing does not meet a request on its way.
const IDLE_TIMEOUT: Micros = 4_000_000;
/// Idle time after which a connection carries no at-most-once request: should the worker have closed it after
/// all, the request would count as one that may have run.
const AT_MOST_ONCE_IDLE_TIMEOUT: Micros = 500_000;

/// All workers and connections to them.
#[derive(Default)]
pub(super) struct WorkerPool {
    pub(super) endpoints: EndpointList,
    /// By connection; those that are idle are in their worker's record too.
    pub(super) connections: FxHashMap<Conn, WorkerConnection>,
}

impl WorkerPool {
    /// The record of a worker that takes new requests.
    pub(super) fn ready(&mut self, worker: WorkerId) -> Option<&mut WorkerRecord> {
        self.endpoints.get_mut(worker).filter(|record| record.status == WorkerStatus::Ready)
    }

    /// Gives an attempt the worker's idle connection that was used last, if it may be used for it. Where that
    /// one has been idle too long, all have.
    pub(super) fn assign_idle(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        worker: WorkerId,
        attempt: AttemptId,
        retry_safety: RetrySafety,
    ) -> Option<Conn> {
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

    /// Opens a connection to a worker for an attempt; none where the worker is not known.
    pub(super) fn connect(
        &mut self,
        transport: &mut dyn Transport,
        worker: WorkerId,
        attempt: AttemptId,
        timeout: Micros,
    ) -> Option<Conn> {
        let conn = transport.connect(self.endpoints.get(worker)?.address, timeout);
        self.connections.insert(conn, WorkerConnection::new(worker, attempt));
        Some(conn)
    }

    /// A connection carries nothing any more: it is kept idle if it is `reusable`, its worker takes requests,
    /// and there are not too many already; else it is cut.
    pub(super) fn release(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: Conn,
        worker: WorkerId,
        reusable: bool,
    ) {
        let record = self.ready(worker);
        match record.filter(|record| reusable && record.idle.len() < MAX_IDLE_CONNECTIONS) {
            Some(record) => record.idle.push(IdleConnection { conn, since: now }),
            None => self.cut(transport, conn),
        }
    }

    /// Cuts a connection that is not idle.
    pub(super) fn cut(&mut self, transport: &mut dyn Transport, conn: Conn) {
        transport.abort(conn);
        self.connections.remove(&conn);
    }

    /// Cuts a connection that may be idle.
    pub(super) fn cut_idle(&mut self, transport: &mut dyn Transport, conn: Conn) {
        transport.abort(conn);
        if let Some(connection) = self.connections.remove(&conn) {
            self.forget_idle(connection.worker, conn);
        }
    }

    /// An idle connection is not to be used any more.
    pub(super) fn forget_idle(&mut self, worker: WorkerId, conn: Conn) {
        if let Some(record) = self.endpoints.get_mut(worker) {
            record.idle.retain(|idle| idle.conn != conn);
        }
    }

    /// Cuts connections that have been idle too long.
    pub(super) fn cut_expired_idle(&mut self, now: Micros, transport: &mut dyn Transport) {
        for (_, record) in self.endpoints.iter_mut() {
            let expired = record.idle.iter().take_while(|idle| now >= idle.since + IDLE_TIMEOUT).count();
            for IdleConnection { conn, .. } in record.idle.drain(..expired) {
                transport.abort(conn);
                self.connections.remove(&conn);
            }
        }
    }
}
