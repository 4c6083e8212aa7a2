//! Client connections: accepting, reading, answering, and closing on a timeout or when there are too many.
//!
//! Entry points: the reactor's events of client connections.
use super::{Node, RequestData};
use crate::client::{ClientConnection, ClientRequest, Phase, Reply};
use applepond::interface::{Micros, RequestArrival};
use applepond_http::Fault;
use applepond_platform::call::{RequestKind, id_text};
use applepond_reactor::{ConnectionId, Transport};

/// Time reserved for network latency: the client's deadline counts from when it sends its call to when it
/// receives the response.
const RESPONSE_MARGIN: Micros = 10_000;

impl Node {
    /// Handles a new client connection.
    pub(super) fn client_accepted(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        // A client that hangs up needs no response. Its hang-up is reported before its unread bytes, so that
        // its requests are not sent to a model server.
        transport.hangup_first(conn);
        let client = ClientConnection::new(now);
        self.client_timeouts.insert(conn, &client);
        self.clients.insert(conn, client);
        self.abort_expired_and_excess_clients(now, transport);
    }

    /// Handles bytes received from a client.
    pub(super) fn client_bytes(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        bytes: &[u8],
    ) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if client.phase == Phase::Reading {
            self.client_timeouts.remove(conn, client);
        }
        let fits = client.feed(now, transport.earliest_arrival(conn, now), bytes);
        if client.phase == Phase::Reading {
            self.client_timeouts.insert(conn, client);
        }
        if fits {
            self.read_requests(now, transport, conn);
        } else {
            transport.abort(conn);
            self.client_closed(now, conn);
        }
    }

    /// Reads the complete requests of a client, up to the first one whose response is pending. Waits for a
    /// short time while the endpoint list is stale.
    pub(super) fn read_requests(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        if self.name_service.defers_requests(now) {
            self.stalled_clients.insert(conn);
            return;
        }
        while let Some(client) = self.clients.get_mut(&conn)
            && let Some(request) = client.next_request(transport, conn, &self.config)
        {
            self.client_timeouts.remove(conn, client);
            match request {
                Ok(ClientRequest { kind: RequestKind::HealthCheck, .. }) => {
                    return self.answer_client(now, transport, conn, &Reply::status_only(200));
                }
                Ok(ClientRequest { kind: RequestKind::Call(mut arrival, head), body, first_byte_at }) => {
                    let spent = now.saturating_sub(first_byte_at) + RESPONSE_MARGIN;
                    arrival.time_left = arrival.time_left.saturating_sub(spent).max(1);
                    let data = RequestData { client: Some(conn), head, body };
                    self.start_request(now, transport, conn, &arrival, data);
                }
                Err(fault) => self.refuse_client(now, transport, conn, &fault),
            }
        }
    }

    /// Registers a request and passes it to `Control`.
    fn start_request(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        arrival: &RequestArrival,
        data: RequestData,
    ) {
        let request = arrival.request;
        if self.requests.get(request).is_some() {
            // The id belongs to an open request: answers to the two could not be told apart.
            return self.answer_client(now, transport, conn, &Reply::status_only(409));
        }
        tracing::debug!(
            request = id_text(&request),
            function = ?arrival.function,
            workload = ?arrival.workload,
            time_left_us = arrival.time_left,
            concurrency = arrival.concurrency,
            retry = arrival.retry,
            load_time = ?arrival.load_time,
            "request arrived"
        );
        self.requests.insert(request, now, now + arrival.time_left, data);
        if let Some(client) = self.clients.get_mut(&conn) {
            client.request = Some(request);
        }
        self.control.advance_to(now);
        self.control.request_arrived(&mut self.actions, arrival);
    }

    /// Answers a client. Its next request is read after the current event has been handled.
    pub(super) fn answer_client(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        reply: &Reply,
    ) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.answer(now, transport, conn, reply, self.shutdown_since.is_some());
        self.client_timeouts.insert(conn, client);
        self.readable_clients.push_back(conn);
    }

    /// Answers an invalid request with an error and closes the connection.
    fn refuse_client(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        fault: &Fault,
    ) {
        tracing::debug!(reason = fault.reason, detail = fault.detail, "request refused");
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.refuse(now, transport, conn, fault);
        self.client_timeouts.insert(conn, client);
    }

    /// Removes a client that has disconnected or was aborted, and ends its request.
    pub(super) fn client_closed(&mut self, now: Micros, conn: ConnectionId) {
        let Some(client) = self.clients.remove(&conn) else { return };
        self.client_timeouts.remove(conn, &client);
        if let Some(request) = client.request
            && self.requests.end(request).is_some()
        {
            self.requests.remove_if_done(request);
            self.control.advance_to(now);
            self.control.client_disconnected(&mut self.actions, request);
        }
    }

    /// Aborts client connections that have timed out and, if there are too many, the least valuable ones.
    /// Never aborts one that waits for a response.
    pub(super) fn abort_expired_and_excess_clients(&mut self, now: Micros, transport: &mut dyn Transport) {
        loop {
            let too_many = self.clients.len() > self.max_clients;
            let has_unsent = |conn| transport.unsent(conn) > 0;
            let excess = if too_many { self.client_timeouts.least_valuable(now, has_unsent) } else { None };
            let Some(conn) = self.client_timeouts.expired(now).or(excess) else { return };
            transport.abort(conn);
            self.client_closed(now, conn);
        }
    }
}
