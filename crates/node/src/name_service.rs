//! Watches the endpoint list by polling the name service. Answers with a lower index than the current list
//! are ignored.
//!
//! Holds the pending query and the index of the current list.
use applepond::interface::Micros;
use applepond_platform::name_service::{self, EndpointList};
use applepond_platform::startup::ConfigNames;
use applepond_reactor::{ConnectionId, Transport};
use oorandom::Rand32;
use std::net::SocketAddr;

/// Interval between two queries. Routers must know an event 1.5 s after it happened, even if two answers in a
/// row are lost.
const QUERY_INTERVAL: Micros = 250_000;
/// Time after which a query has failed: many times the round-trip time.
const QUERY_TIMEOUT: Micros = 200_000;
/// Delay of the next query after a rejected answer, to avoid flooding a service in trouble.
const QUERY_RETRY_DELAY: Micros = 50_000;
/// Age of the last completed query at which the list is stale, which only happens if this process was paused:
/// twice the longest time between two queries, and less than the 1.5 s after which events must be known.
const STALE_AFTER: Micros = 1_000_000;

/// A pending query.
#[derive(Clone, Copy)]
struct Query {
    conn: ConnectionId,
    id: u16,
    sent_at: Micros,
}

/// Polls the name service for the endpoint list.
pub(crate) struct NameServiceWatch {
    service: SocketAddr,
    rng: Rand32,
    /// Index of the current list.
    index: u64,
    query: Option<Query>,
    next_query_at: Micros,
    /// When the last completed query, answered or timed out, was sent.
    last_query_at: Micros,
}

impl NameServiceWatch {
    /// Creates a watch that starts from the list with this index.
    pub(crate) fn new(now: Micros, service: SocketAddr, index: u64, seed: u64) -> Self {
        let rng = Rand32::new(seed);
        NameServiceWatch { service, rng, index, query: None, next_query_at: 0, last_query_at: now }
    }

    /// Whether this process has not queried for so long that a server may have drained and gone unnoticed.
    /// The list does not become stale because the service is silent, only because it has not been queried.
    pub(crate) fn is_stale(&self, now: Micros) -> bool {
        now > self.last_query_at + STALE_AFTER
    }

    /// Changes the address of the name service. The list index is kept.
    pub(crate) fn set_service(&mut self, transport: &mut dyn Transport, service: SocketAddr) {
        if self.service != service {
            self.service = service;
            self.end_query(transport, 0);
        }
    }

    /// Ends the pending query, if any, and schedules the next one.
    fn end_query(&mut self, transport: &mut dyn Transport, next_query_at: Micros) {
        if let Some(query) = self.query.take() {
            transport.abort(query.conn);
            self.last_query_at = query.sent_at;
        }
        self.next_query_at = next_query_at;
    }

    /// Sends a query if one is due. Each query has a new id and source port, so that late or forged answers
    /// do not match.
    pub(crate) fn poll(&mut self, now: Micros, transport: &mut dyn Transport) {
        if let Some(query) = self.query.filter(|query| now >= query.sent_at + QUERY_TIMEOUT) {
            tracing::debug!(
                id = query.id,
                age_us = now - query.sent_at,
                "no answer of the name service: query given up"
            );
            self.end_query(transport, now);
        }
        if self.query.is_some() || now < self.next_query_at && !self.is_stale(now) {
            return;
        }
        match transport.connect_datagrams(self.service) {
            Some(conn) => {
                let id = self.rng.rand_u32() as u16;
                transport.send_datagram(conn, &name_service::query(id));
                tracing::debug!(id, service = %self.service, "name service queried");
                self.query = Some(Query { conn, id, sent_at: now });
            }
            // No descriptor is available for a query: continues with the current list.
            None => self.last_query_at = now,
        }
    }

    /// Handles a received datagram. Returns the list if it is newer than the current one.
    pub(crate) fn datagram_received(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        bytes: &[u8],
        names: &ConfigNames,
    ) -> Option<EndpointList> {
        let query = self.query.filter(|query| query.conn == conn)?;
        match name_service::read_answer(bytes, query.id, names) {
            Ok(list) if list.index >= self.index => {
                let age_us = now - query.sent_at;
                tracing::debug!(id = query.id, age_us, index = list.index, "name service answered");
                self.end_query(transport, now + QUERY_INTERVAL);
                let is_newer = list.index > self.index;
                self.index = list.index;
                is_newer.then_some(list)
            }
            Ok(list) => {
                tracing::debug!(
                    index = list.index,
                    known_index = self.index,
                    "endpoint list ignored: older than the current one"
                );
                self.end_query(transport, now + QUERY_RETRY_DELAY);
                None
            }
            Err(error) => {
                tracing::debug!(%error, "answer of the name service rejected");
                self.end_query(transport, now + QUERY_RETRY_DELAY);
                None
            }
        }
    }
}
