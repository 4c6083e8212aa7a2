//! Watches the endpoint list by polling the name service. Answers with a lower index than the current list
//! are ignored.
//!
//! The name service promises no response time. A query therefore stays pending while further queries are
//! sent, and its answer is accepted whenever it arrives. It ends when it or a later query has been answered,
//! or as the oldest one when too many are pending. The rate of queries does not depend on whether they are
//! answered, and falls while several are pending.
//!
//! Holds the pending queries, the index of the current list, and whether that list is stale.
use applepond::interface::Micros;
use applepond_platform::errors::NameServiceError;
use applepond_platform::name_service::{self, EndpointList};
use applepond_platform::startup::ConfigNames;
use applepond_reactor::{ConnectionId, Transport};
use oorandom::Rand32;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Time from an answer, or from a query without one, to the next query. Routers must know an event 1.5 s
/// after it happened, even if two answers in a row are lost.
const QUERY_INTERVAL: Micros = 250_000;
/// Interval while [`BACKOFF_PENDING`] or more queries are pending, as the service is then slow or silent.
const BACKOFF_INTERVAL: Micros = 500_000;
/// Number of pending queries from which on [`BACKOFF_INTERVAL`] applies.
const BACKOFF_PENDING: usize = 4;
/// Delay of the next query after a rejected answer. It doubles with each further one, up to
/// [`QUERY_INTERVAL`], to avoid flooding a service in trouble.
const MIN_RETRY_DELAY: Micros = 50_000;
/// Time without a list after which the log reports that the service is silent.
const REPORT_SILENCE_AFTER: Micros = 1_500_000;
/// Maximum number of pending queries. Each has a socket.
const MAX_PENDING: usize = 16;
/// Descriptors of the process per pending query. The queries use at most half of those that are left for the
/// process itself.
const DESCRIPTORS_PER_QUERY: usize = 16;
/// Time without a query after which the list is stale. This only happens if this process was paused: it is
/// twice the longest time between two queries, and less than the 1.5 s after which events must be known.
const STALE_AFTER: Micros = 1_000_000;
/// Maximum time that a stale list waits for an answer. After that the service is considered silent, and the
/// list is used again. A working service answers earlier: events are known 1.5 s after they happened.
const REFRESH_TIMEOUT: Micros = 1_500_000;
/// Maximum time that new requests are left unread while the list is stale: an answer to a client may be half
/// a second late.
const MAX_READ_DELAY: Micros = 400_000;

/// A query without an answer.
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
    /// Oldest first.
    pending: VecDeque<Query>,
    max_pending: usize,
    next_query_at: Micros,
    /// Delay of the next query after the next rejected answer.
    retry_delay: Micros,
    /// When the last query was sent.
    last_query_at: Micros,
    /// When the service last answered with a list.
    last_answer_at: Micros,
    /// Whether the log has reported that the service is silent.
    silence_reported: bool,
    /// End of the last pause of this process, until a query sent after it has been answered.
    resumed_at: Option<Micros>,
}

impl NameServiceWatch {
    /// Creates a watch that starts from the list with this index, in a process with this many descriptors.
    pub(crate) fn new(
        now: Micros,
        service: SocketAddr,
        index: u64,
        seed: u64,
        max_descriptors: usize,
    ) -> Self {
        NameServiceWatch {
            service,
            rng: Rand32::new(seed),
            index,
            pending: VecDeque::new(),
            max_pending: (max_descriptors / DESCRIPTORS_PER_QUERY).clamp(1, MAX_PENDING),
            next_query_at: 0,
            retry_delay: MIN_RETRY_DELAY,
            last_query_at: now,
            last_answer_at: now,
            silence_reported: false,
            resumed_at: None,
        }
    }

    /// Whether this process was paused for so long that a server may have drained and gone unnoticed. The
    /// list stays stale until a query sent after the pause has been answered, for at most
    /// [`REFRESH_TIMEOUT`]. It does not become stale because the service is silent.
    pub(crate) fn is_stale(&self, now: Micros) -> bool {
        self.was_paused(now) || self.awaits_answer(now, REFRESH_TIMEOUT)
    }

    /// Whether new requests should be read later: the list is stale, and an answer is expected soon.
    pub(crate) fn defers_requests(&self, now: Micros) -> bool {
        self.was_paused(now) || self.awaits_answer(now, MAX_READ_DELAY)
    }

    /// Whether the last pause ended less than `timeout` ago, and no query sent after it has been answered.
    fn awaits_answer(&self, now: Micros, timeout: Micros) -> bool {
        self.resumed_at.is_some_and(|resumed_at| now < resumed_at + timeout)
    }

    fn was_paused(&self, now: Micros) -> bool {
        now > self.last_query_at + STALE_AFTER
    }

    /// Changes the address of the name service. Pending queries end without an answer; the list and its index
    /// are kept.
    pub(crate) fn set_service(&mut self, transport: &mut dyn Transport, service: SocketAddr) {
        if self.service != service {
            self.service = service;
            self.next_query_at = 0;
            for query in self.pending.drain(..) {
                transport.abort(query.conn);
            }
        }
    }

    /// Sends a query if one is due.
    pub(crate) fn poll(&mut self, now: Micros, transport: &mut dyn Transport) {
        let was_paused = self.was_paused(now);
        if now < self.next_query_at && !was_paused {
            return;
        }
        if was_paused {
            self.resumed_at = Some(now);
        }
        self.report_silence(now);
        if self.pending.len() >= self.max_pending {
            self.drop_oldest(now, transport);
        }
        self.last_query_at = now;
        if !self.send_query(now, transport) {
            // No descriptor is available for a query: continues with the current list.
            self.resumed_at = None;
            self.drop_oldest(now, transport);
        }
        let slow = self.pending.len() >= BACKOFF_PENDING;
        self.next_query_at = now + if slow { BACKOFF_INTERVAL } else { QUERY_INTERVAL };
    }

    /// Logs once that the service is silent.
    fn report_silence(&mut self, now: Micros) {
        let silent_us = now.saturating_sub(self.last_answer_at);
        if silent_us >= REPORT_SILENCE_AFTER && !self.silence_reported {
            self.silence_reported = true;
            tracing::warn!(silent_us, service = %self.service, "name service silent; keeping the last list");
        }
    }

    /// Sends a query, with a new id and from a new port, so that forged answers do not match. Returns false
    /// if no descriptor is available.
    fn send_query(&mut self, now: Micros, transport: &mut dyn Transport) -> bool {
        let Some(conn) = transport.connect_datagrams(self.service) else { return false };
        let id = self.rng.rand_u32() as u16;
        transport.send_datagram(conn, &name_service::query(id));
        self.pending.push_back(Query { conn, id, sent_at: now });
        tracing::debug!(id, service = %self.service, pending = self.pending.len(), "name service queried");
        true
    }

    /// Ends the oldest pending query without an answer, to free its descriptor.
    fn drop_oldest(&mut self, now: Micros, transport: &mut dyn Transport) {
        if let Some(query) = self.pending.pop_front() {
            let age_us = now - query.sent_at;
            tracing::debug!(id = query.id, age_us, "no answer of the name service: query given up");
            transport.abort(query.conn);
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
        let position = self.pending.iter().position(|query| query.conn == conn)?;
        match name_service::read_answer(bytes, self.pending[position].id, names) {
            Ok(list) if list.index >= self.index => self.list_received(now, transport, position, list),
            Ok(list) => {
                let (index, known_index) = (list.index, self.index);
                tracing::debug!(index, known_index, "endpoint list ignored: older than the current one");
                self.query_failed(now, transport, position);
                None
            }
            Err(error @ (NameServiceError::UnrelatedAnswer | NameServiceError::InvalidMessage(_))) => {
                // The answer to this query may still arrive.
                tracing::debug!(%error, "datagram on the socket of a query ignored");
                None
            }
            Err(error) => {
                tracing::debug!(%error, "answer of the name service rejected");
                self.query_failed(now, transport, position);
                None
            }
        }
    }

    /// Ends a query that was answered with the current list or a newer one, and all earlier queries. Returns
    /// the list if it is newer.
    fn list_received(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        position: usize,
        list: EndpointList,
    ) -> Option<EndpointList> {
        let Query { id, sent_at, .. } = self.pending[position];
        let age_us = now - sent_at;
        tracing::debug!(id, age_us, index = list.index, "name service answered");
        self.last_answer_at = now;
        if std::mem::take(&mut self.silence_reported) {
            tracing::info!(service = %self.service, "name service answers again");
        }
        if self.resumed_at.is_some_and(|at| sent_at >= at) {
            self.resumed_at = None;
        }
        for query in self.pending.drain(..=position) {
            transport.abort(query.conn);
        }
        if self.pending.is_empty() {
            self.next_query_at = now + QUERY_INTERVAL;
        }
        self.retry_delay = MIN_RETRY_DELAY;
        let is_newer = list.index > self.index;
        self.index = list.index;
        is_newer.then_some(list)
    }

    /// Ends a query whose answer was rejected.
    fn query_failed(&mut self, now: Micros, transport: &mut dyn Transport, position: usize) {
        if let Some(query) = self.pending.remove(position) {
            transport.abort(query.conn);
        }
        if self.pending.is_empty() {
            self.next_query_at = now + self.retry_delay;
        }
        self.retry_delay = (self.retry_delay * 2).min(QUERY_INTERVAL);
    }
}
