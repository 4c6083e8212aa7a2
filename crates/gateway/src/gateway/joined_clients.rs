//! Clients that have joined a request or a workflow in progress. Their events may leave them less time than
//! the first event of the request, so each is answered by its own deadline; the request goes on.
use super::Gateway;
use crate::client::Answer;
use crate::idempotency::FinalOutcome;
use applepond::interface::{Micros, RequestId};
use applepond_http::Fault;
use applepond_reactor::{ConnectionId, Transport};

/// A client that has joined a request and must be answered before the request's own deadline.
#[derive(Clone, Copy)]
pub(super) struct JoinedClient {
    pub(super) conn: ConnectionId,
    pub(super) request: RequestId,
    pub(super) deadline: Micros,
}

impl Gateway {
    /// Adds a client to those that wait for a request in progress, for `time_left`.
    pub(super) fn join(&mut self, now: Micros, conn: ConnectionId, request: RequestId, time_left: Micros) {
        let request_deadline = match (self.requests.get_mut(request), self.workflows.active.get_mut(&request))
        {
            (Some(state), _) => {
                state.data.clients.push(conn);
                state.deadline
            }
            (_, Some(workflow)) => {
                workflow.clients.push(conn);
                workflow.deadline()
            }
            _ => unreachable!("a key in progress belongs to a request or a workflow"),
        };
        if let Some(client) = self.clients.get_mut(&conn) {
            client.request = Some(request);
        }
        let deadline = now + time_left;
        if deadline < request_deadline {
            self.joined_clients.push_back(JoinedClient { conn, request, deadline });
        }
    }

    /// Sets the timers of the clients that have joined since the last call.
    pub(super) fn schedule_joined_clients(&mut self, now: Micros, transport: &mut dyn Transport) {
        while let Some(joined) = self.joined_clients.pop_front() {
            let answer = move |gateway: &mut Gateway, now, transport: &mut dyn Transport| {
                gateway.answer_joined_client(now, transport, joined);
            };
            self.schedule(now, transport, joined.deadline.saturating_sub(now), Box::new(answer));
        }
    }

    /// Answers a client whose time is up, if it still waits.
    fn answer_joined_client(&mut self, now: Micros, transport: &mut dyn Transport, joined: JoinedClient) {
        let JoinedClient { conn, request, .. } = joined;
        let (clients, id) = match (self.requests.get_mut(request), self.workflows.active.get_mut(&request)) {
            (Some(state), _) => (&mut state.data.clients, state.data.content.key.id.clone()),
            (_, Some(workflow)) => {
                let id = workflow.event_id();
                (&mut workflow.clients, id)
            }
            _ => return,
        };
        let Some(position) = clients.iter().position(|client| *client == conn) else { return };
        clients.remove(position);
        tracing::info!(%id, reason = "killed-late", "client answered ahead of its request");
        let fault = Fault::new(504, "killed-late", "no answer came in time; the job may have run");
        let answer = Answer::problem(FinalOutcome::Failed, &fault, Some(&id), None);
        self.answer_clients(now, transport, vec![conn], &answer);
        self.abandon_if_unsent(now, request);
    }
}
