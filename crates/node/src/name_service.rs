//! The name service, which holds the endpoint list: it is queried again and again, and its answers are
//! believed only in the order of their index.
//!
//! Owned here: the query that waits for an answer, and the index of the last list that was taken.
use applepond::interface::Micros;
use applepond_platform::name_service::{self, EndpointList};
use applepond_platform::startup::ConfigNames;
use applepond_reactor::{Conn, Transport};
use oorandom::Rand32;
use std::net::SocketAddr;

/// Time between two queries: an event counts as known 1.5 s after it happened, and two answers may get lost.
const QUERY_INTERVAL: Micros = 250_000;
/// Time after which an answer is not awaited any more: many times the way there and back.
const QUERY_TIMEOUT: Micros = 200_000;
/// Time before the next query after one that brought nothing: a service in trouble is not flooded.
const QUERY_RETRY_DELAY: Micros = 50_000;
/// Time after a query that was answered or timed out after which this process must have stood still: twice
/// what lies between two queries, and less than the 1.5 s after which an event counts as known.
const STALE_AFTER: Micros = 1_000_000;

/// A query that waits for its answer.
#[derive(Clone, Copy)]
struct Query {
    conn: Conn,
    id: u16,
    sent_at: Micros,
}

/// The watch on the name service.
pub(crate) struct NameServiceWatch {
    service: SocketAddr,
    rng: Rand32,
    /// Index of the last list that was taken.
    index: u64,
    query: Option<Query>,
    /// When the next query is due.
    next_query_at: Micros,
    /// When the last query was sent that has been answered or has timed out.
    last_query_at: Micros,
}

impl NameServiceWatch {
    /// A watch that starts from the list with this index.
    pub(crate) fn new(now: Micros, service: SocketAddr, index: u64, seed: u64) -> Self {
        let rng = Rand32::new(seed);
        NameServiceWatch { service, rng, index, query: None, next_query_at: 0, last_query_at: now }
    }

    /// Whether this process has not queried for so long that a server may have drained, and gone, without its
    /// knowledge. A service that does not answer makes nothing stale: it has been queried.
    pub(crate) fn is_stale(&self, now: Micros) -> bool {
        now > self.last_query_at + STALE_AFTER
    }

    /// Another address from now on; the indices continue.
    pub(crate) fn set_service(&mut self, transport: &mut dyn Transport, service: SocketAddr) {
        if self.service != service {
            self.service = service;
            self.end_query(transport, 0);
        }
    }

    /// Ends the query that waits, if one does; the next is due at `next_query_at`.
    fn end_query(&mut self, transport: &mut dyn Transport, next_query_at: Micros) {
        if let Some(query) = self.query.take() {
            transport.cut(query.conn);
            self.last_query_at = query.sent_at;
        }
        self.next_query_at = next_query_at;
    }

    /// Sends a query if one is due: with a new id and from a new port each time, so that no late or forged
    /// answer fits it.
    pub(crate) fn poll(&mut self, now: Micros, transport: &mut dyn Transport) {
        if self.query.is_some_and(|query| now >= query.sent_at + QUERY_TIMEOUT) {
            self.end_query(transport, now);
        }
        if self.query.is_some() || now < self.next_query_at && !self.is_stale(now) {
            return;
        }
        match transport.datagrams(self.service) {
            Some(conn) => {
                let id = self.rng.rand_u32() as u16;
                transport.datagram(conn, &name_service::query(id));
                self.query = Some(Query { conn, id, sent_at: now });
            }
            // No descriptor is left for a query: what is known has to do.
            None => self.last_query_at = now,
        }
    }

    /// A datagram has arrived: the list, if it is one and newer than what is known.
    pub(crate) fn datagram_received(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: Conn,
        bytes: &[u8],
        names: &ConfigNames,
    ) -> Option<EndpointList> {
        let query = self.query.filter(|query| query.conn == conn)?;
        match name_service::read_answer(bytes, query.id, names) {
            Ok(list) if list.index >= self.index => {
                self.end_query(transport, now + QUERY_INTERVAL);
                let is_newer = list.index > self.index;
                self.index = list.index;
                is_newer.then_some(list)
            }
            Ok(list) => {
                tracing::debug!(index = list.index, known_index = self.index, "an older list");
                self.end_query(transport, now + QUERY_RETRY_DELAY);
                None
            }
            Err(error) => {
                tracing::debug!(%error, "an answer of the name service is not taken");
                self.end_query(transport, now + QUERY_RETRY_DELAY);
                None
            }
        }
    }
}
