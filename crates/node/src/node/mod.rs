//! One router of the platform, as a state machine without I/O. Events of connections, bytes and timers arrive
//! through [`Machine`]; writes and new connections go out through [`Transport`].
//!
//! All events are handled in the same way: the event's method updates the node's state and calls `Control`,
//! which queues actions. [`Node::settle`] then carries out these actions, and all that follow from them,
//! until none is left.
//!
//! Modules by event:
//! - a client connects, sends bytes or hangs up: `clients`;
//! - `Control` sends or cancels an attempt, or an attempt times out: `attempts`;
//! - a model server answers, falls silent, or its connection closes: `worker_connections`;
//! - the endpoint list changes: `endpoints`;
//! - ticks, signals to the process, and shutdown: `lifecycle`.
use crate::client::{ClientConnection, Reply};
use crate::client_timeouts::ClientTimeouts;
use crate::name_service::NameServiceWatch;
use crate::worker_connection::WorkerConnection;
use crate::workers::Workers;
use applepond::control::Control;
use applepond::interface::{EndpointListKind, Micros, Outcome, RequestId};
use applepond_gateway::deferred::{DeferredCall, DeferredCalls, FiredTimer};
use applepond_gateway::request_table::{Action, ActionQueue, RequestTable};
use applepond_platform::call::id_text;
use applepond_platform::config::NodeConfig;
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, TimerId, Transport};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

mod attempts;
mod clients;
mod endpoints;
mod lifecycle;
mod worker_connections;

pub use lifecycle::{ExitReason, ProcessEvent};

/// Interval of the checks of connections, the name service and signals.
const TICK_INTERVAL: Micros = 50_000;
/// Eighths of the file descriptors for clients, of which the platform's own use at most a third of all
/// descriptors, and for model servers. The rest is for the process itself and for closing connections.
const CLIENT_EIGHTHS: usize = 4;
const WORKER_EIGHTHS: usize = 3;

/// The node's data about a request in the request table.
struct RequestData {
    client: Option<ConnectionId>,
    /// The first part of the line that runs the request, up to the time left.
    head: Vec<u8>,
    body: Vec<u8>,
}

/// Numbers of open requests and connections, for tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenCounts {
    /// Requests that have not ended, or that still have attempts in flight.
    pub requests: usize,
    /// Client connections.
    pub clients: usize,
    /// Connections to model servers.
    pub worker_connections: usize,
    /// Model servers in the endpoint list.
    pub workers: usize,
}

/// One router of the platform.
pub struct Node {
    config: NodeConfig,
    /// Makes all routing decisions.
    control: Control,
    /// Actions of `Control` that have not been carried out yet.
    actions: ActionQueue,
    requests: RequestTable<RequestData>,
    clients: FxHashMap<ConnectionId, ClientConnection>,
    max_clients: usize,
    client_timeouts: ClientTimeouts,
    /// Clients that have been answered and whose next request may have been received already.
    readable_clients: VecDeque<ConnectionId>,
    /// Clients with requests that are read once the endpoint list is fresh after a pause of this process.
    stalled_clients: BTreeSet<ConnectionId>,
    connections: FxHashMap<ConnectionId, WorkerConnection>,
    max_connections: usize,
    /// Connections to model servers that may have queued writes.
    unflushed: Vec<ConnectionId>,
    /// Connections with queued attempts that wait for a fresh endpoint list after a pause of this process.
    delayed_connections: BTreeSet<ConnectionId>,
    workers: Workers,
    /// Number of model servers that accept attempts; at least 1, as it is used as a divisor.
    ready_workers: usize,
    name_service: NameServiceWatch,
    deferred: DeferredCalls<Node>,
    /// Polled for signals to the process at each tick.
    process_events: Box<dyn FnMut() -> Option<ProcessEvent>>,
    /// When this process was asked to shut down.
    shutdown_since: Option<Micros>,
    listener: Option<(Listener, SocketAddr)>,
    on_exit: Box<dyn FnMut(ExitReason)>,
}

impl Node {
    /// Creates a node, which the reactor starts. `now` is the time of the reactor's clock. `process_events`
    /// is polled at each tick. `on_exit` is called when a shutdown is complete or the address is unavailable.
    pub fn new(
        now: Micros,
        config: NodeConfig,
        process_events: Box<dyn FnMut() -> Option<ProcessEvent>>,
        on_exit: Box<dyn FnMut(ExitReason)>,
    ) -> Self {
        let mut actions = ActionQueue::default();
        let control = Control::new(now, config.startup.clone(), &mut actions);
        Node {
            control,
            actions,
            requests: RequestTable::default(),
            clients: FxHashMap::default(),
            max_clients: config.max_descriptors * CLIENT_EIGHTHS / 8,
            client_timeouts: ClientTimeouts::default(),
            readable_clients: VecDeque::new(),
            stalled_clients: BTreeSet::new(),
            connections: FxHashMap::default(),
            max_connections: config.max_descriptors * WORKER_EIGHTHS / 8,
            unflushed: Vec::new(),
            delayed_connections: BTreeSet::new(),
            workers: Workers::default(),
            ready_workers: 1,
            name_service: NameServiceWatch::new(
                now,
                config.name_service,
                config.list_index,
                config.startup.seed,
                config.max_descriptors,
            ),
            deferred: DeferredCalls::default(),
            process_events,
            shutdown_since: None,
            listener: None,
            on_exit,
            config,
        }
    }

    /// The address on which the node listens, or `None` while it does not.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.listener.map(|(_, address)| address)
    }

    /// Counts open requests and connections.
    pub fn open_counts(&self) -> OpenCounts {
        OpenCounts {
            requests: self.requests.len(),
            clients: self.clients.len(),
            worker_connections: self.connections.len(),
            workers: self.workers.len(),
        }
    }

    /// Schedules `call` to run after `delay`.
    fn schedule(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        delay: Micros,
        call: DeferredCall<Node>,
    ) {
        self.deferred.schedule(now, transport, delay, call);
    }

    /// Carries out the queued actions and all that follow from them.
    fn settle(&mut self, now: Micros, transport: &mut dyn Transport) {
        if !self.stalled_clients.is_empty() && !self.name_service.defers_requests(now) {
            self.readable_clients.extend(std::mem::take(&mut self.stalled_clients));
        }
        if !self.delayed_connections.is_empty() && !self.name_service.is_stale(now) {
            self.unflushed.extend(std::mem::take(&mut self.delayed_connections));
        }
        loop {
            while let Some(action) = self.actions.pop() {
                self.carry_out(now, transport, action);
            }
            if let Some(conn) = self.readable_clients.pop_front() {
                self.read_requests(now, transport, conn);
            } else if let Some(conn) = self.unflushed.pop() {
                self.flush(now, transport, conn);
            } else {
                return;
            }
        }
    }

    fn carry_out(&mut self, now: Micros, transport: &mut dyn Transport, action: Action) {
        match action {
            Action::Send(dispatch) => self.start_attempt(now, transport, &dispatch),
            Action::Cancel(attempt) => self.end_attempt(now, attempt, Outcome::Cancelled),
            Action::Reject(request, retry_after) => {
                let reply = Reply { retry_after, ..Reply::status_only(503) };
                self.finish_request(now, transport, request, &reply);
            }
            Action::Fail(request) => {
                let state = self.requests.get(request);
                let is_late = state.is_some_and(|state| state.timed_out || now >= state.deadline);
                let status = if is_late { 504 } else { 502 };
                self.finish_request(now, transport, request, &Reply::status_only(status));
            }
            Action::SetTimer(delay, token) => {
                DeferredCalls::<Node>::schedule_control(now, transport, delay, token);
            }
            Action::Log(text) => tracing::info!(target: "module", "{text}"),
            // The endpoint list is polled at each tick anyway.
            Action::WatchEndpoints => {}
        }
    }

    /// Ends a request and answers its client. Has no effect on a request that has already ended.
    fn finish_request(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        reply: &Reply,
    ) {
        let Some(state) = self.requests.end(request) else { return };
        let duration_us = now - state.arrived_at;
        tracing::debug!(request = id_text(&request), status = reply.status, duration_us, "request ended");
        let client = state.data.client.take();
        self.requests.remove_if_done(request);
        if let Some(conn) = client {
            self.answer_client(now, transport, conn, reply);
        }
    }
}

impl Machine for Node {
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        for (kind, list) in std::mem::take(&mut self.config.list_events) {
            self.endpoints_updated(now, transport, kind, &list);
        }
        self.listen(now, transport, now + lifecycle::LISTEN_TIMEOUT);
        self.tick(now, transport);
        self.settle(now, transport);
    }

    fn accepted(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, _: Listener) {
        self.client_accepted(now, transport, conn);
        self.settle(now, transport);
    }

    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.connected = true;
            connection.last_received = now;
            self.unflushed.push(conn);
        }
        self.settle(now, transport);
    }

    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, bytes: &[u8]) {
        if self.clients.contains_key(&conn) {
            self.client_bytes(now, transport, conn, bytes);
        } else {
            self.worker_bytes(now, transport, conn, bytes);
        }
        self.settle(now, transport);
    }

    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        // Clients and model servers never close one direction only: the client expects no response any more,
        // and the model server sends no more answers.
        if self.clients.contains_key(&conn) {
            transport.abort(conn);
            self.client_closed(now, conn);
        } else {
            self.abort_connection(now, transport, conn);
        }
        self.settle(now, transport);
    }

    fn closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, _: Closed, _: u64) {
        if self.clients.contains_key(&conn) {
            self.client_closed(now, conn);
        } else {
            self.worker_disconnected(now, transport, conn);
        }
        self.settle(now, transport);
    }

    fn datagram_received(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        bytes: &[u8],
    ) {
        let names = &self.config.names;
        if let Some(list) = self.name_service.datagram_received(now, transport, conn, bytes, names) {
            if list.left_out > 0 {
                tracing::warn!(left_out = list.left_out, "servers of the list lack records");
            }
            self.endpoints_updated(now, transport, EndpointListKind::Full, &list.workers);
        }
        self.settle(now, transport);
    }

    fn flushed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        if self.connections.contains_key(&conn) {
            self.unflushed.push(conn);
        }
        self.settle(now, transport);
    }

    fn timer_fired(&mut self, now: Micros, transport: &mut dyn Transport, timer: TimerId) {
        match self.deferred.fired(timer) {
            Some(FiredTimer::Control(token)) => {
                self.control.advance_to(now);
                self.control.timer_fired(&mut self.actions, token);
            }
            Some(FiredTimer::Call(call)) => call(self, now, transport),
            None => {}
        }
        self.settle(now, transport);
    }
}
