//! Client connections: accepting, reading, immediate answers, timeouts and closing.
//!
//! Entry points: the reactor's events of client connections. Complete events are processed in `intake`.
use super::Gateway;
use crate::client::{Answer, ClientConnection, ClientRequest, TimeoutCheck};
use applepond::interface::{Micros, RequestId};
use applepond_reactor::{ConnectionId, Listener, Transport};

/// Maximum interval between two timeout checks of a client, as a new request may have started in between.
const MAX_TIMEOUT_CHECK_INTERVAL: Micros = 5_000_000;

impl Gateway {
    /// Handles a new client connection. Accepting pauses while connections arrive too fast.
    pub(super) fn client_accepted(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        listener: Listener,
    ) {
        let pause = self.admission.connection_accepted(now);
        if let Some(pause) = pause.filter(|_| self.deployment.storm_shedding) {
            transport.stop_accepting(listener, false);
            let resume =
                move |_: &mut Gateway, _, transport: &mut dyn Transport| transport.resume_accepting(listener);
            self.schedule(now, transport, pause, Box::new(resume));
        }
        let max_event_bytes = self.deployment.max_event_bytes;
        let client = ClientConnection::new(now, max_event_bytes, self.attribute_names.clone());
        self.clients.insert(conn, client);
        self.check_client_timeout(now, transport, conn);
    }

    /// Processes the requests received completely. The next request on a connection is processed only after
    /// the one before it has been answered.
    pub(super) fn read_requests(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        while let Some(client) = self.clients.get_mut(&conn)
            && let Some(request) = client.next_request(transport, conn)
        {
            match request {
                Ok(ClientRequest::Event(event)) => {
                    if let Err(answer) = self.accept_event(now, conn, *event) {
                        self.answer_client(now, transport, conn, &answer);
                    }
                }
                Ok(ClientRequest::StatePage) => {
                    let page = self.state_page(now);
                    self.answer_client(now, transport, conn, &page);
                }
                Err(fault) => {
                    self.counters.unreadable += 1;
                    tracing::info!(reason = fault.reason, status = fault.status, "request refused");
                    client.refuse(now, transport, conn, &fault);
                }
            }
        }
    }

    fn answer_client(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        answer: &Answer,
    ) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.answer(now, transport, conn, answer);
        }
    }

    /// Handles the end of a client connection. A request that was never sent to a worker ends with its last
    /// waiting client. One that was sent continues: the client may reconnect for the answer, and its retry
    /// must not run the request again. A workflow always continues.
    pub(super) fn client_closed(&mut self, now: Micros, conn: ConnectionId) {
        let Some(request) = self.clients.remove(&conn).and_then(|client| client.request) else { return };
        if let Some(workflow) = self.workflows.active.get_mut(&request) {
            workflow.clients.retain(|client| *client != conn);
        }
        if let Some(state) = self.requests.get_mut(request) {
            state.data.clients.retain(|client| *client != conn);
        }
        self.abandon_if_unsent(now, request);
    }

    /// Ends a request for which no client waits any more, if it was never sent to a worker.
    pub(super) fn abandon_if_unsent(&mut self, now: Micros, request: RequestId) {
        let Some(state) = self.requests.get(request) else { return };
        if !state.data.clients.is_empty() || !state.attempts.is_empty() || state.ended {
            return;
        }
        let key = &state.data.content.key;
        tracing::info!(id = %key.id, source = %key.source, reason = "client-left", "request ended");
        self.idempotency.abandon(key, request);
        self.requests.remove(request);
        self.control.advance_to(now);
        self.control.client_disconnected(&mut self.actions, request);
    }

    /// Checks a client's timeouts, and schedules the next check.
    fn check_client_timeout(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        match client.check_timeout(now, transport, conn) {
            TimeoutCheck::CheckAt(at) => {
                let delay = at.saturating_sub(now).min(MAX_TIMEOUT_CHECK_INTERVAL);
                let check = move |gateway: &mut Gateway, now, transport: &mut dyn Transport| {
                    gateway.check_client_timeout(now, transport, conn);
                };
                self.schedule(now, transport, delay, Box::new(check));
            }
            TimeoutCheck::Closed => self.client_closed(now, conn),
        }
    }
}
