//! One router of the platform, as a machine without I/O: connections, bytes and timers come in through
//! [`Machine`], and what is to be written or connected goes out through [`Transport`].
//!
//! Every event runs the same way: its method updates this machine's state and calls `Control`, which queues
//! actions; [`Node::settle`] then carries out actions, and what follows from them, until nothing is left to
//! do.
//!
//! Where to look, by event:
//! - a client connects, sends, or hangs up: `clients`;
//! - `Control` orders an attempt, or its timeout is over: `attempts`;
//! - a model server answers, its connection ends, or is silent: `worker_connections`;
//! - the endpoint list changes: `endpoints`;
//! - a tick, a signal to the process, the shutdown: `lifecycle`.
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
use applepond_reactor::{Closed, Conn, Listener, Machine, Transport, Wake};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

mod attempts;
mod clients;
mod endpoints;
mod lifecycle;
mod worker_connections;

pub use lifecycle::{ExitReason, ProcessEvent};

/// Time between two looks at connections, the name service and signals.
const TICK_INTERVAL: Micros = 50_000;
/// Eighths of the descriptors for clients (the platform's own take a third of all at most) and for model
/// servers; the rest is for the process itself and for connections that are being closed.
const CLIENT_EIGHTHS: usize = 4;
const WORKER_EIGHTHS: usize = 3;

/// What the request table keeps of a request for the node.
struct RequestData {
    client: Option<Conn>,
    /// The line that runs it, up to the time that it has.
    head: Vec<u8>,
    body: Vec<u8>,
}

/// What a node has open, for tests and for the end of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenCounts {
    /// Requests that have not ended or have attempts in flight.
    pub requests: usize,
    /// Client connections.
    pub clients: usize,
    /// Connections to model servers.
    pub worker_connections: usize,
    /// Model servers that the list names.
    pub workers: usize,
}

/// One router of the platform.
pub struct Node {
    config: NodeConfig,
    /// Every routing decision.
    control: Control,
    /// What `Control` has ordered and is not carried out yet.
    actions: ActionQueue,
    requests: RequestTable<RequestData>,
    clients: FxHashMap<Conn, ClientConnection>,
    max_clients: usize,
    client_timeouts: ClientTimeouts,
    /// Clients whose answer has gone out and whose next request may have arrived already.
    readable_clients: VecDeque<Conn>,
    /// Clients with a request that waits for the endpoint list, as this process has stood still.
    stalled_clients: BTreeSet<Conn>,
    connections: FxHashMap<Conn, WorkerConnection>,
    max_connections: usize,
    /// Connections to model servers that may have something to write.
    unflushed: Vec<Conn>,
    workers: Workers,
    /// Model servers that take attempts; at least one.
    ready_workers: usize,
    name_service: NameServiceWatch,
    deferred: DeferredCalls<Node>,
    /// Polled at each tick.
    process_events: Box<dyn FnMut() -> Option<ProcessEvent>>,
    /// When this process was told to shut down.
    shutdown_since: Option<Micros>,
    listener: Option<(Listener, SocketAddr)>,
    on_exit: Box<dyn FnMut(ExitReason)>,
}

impl Node {
    /// A node that has not started; the reactor starts it. `now` is the reactor's clock. `process_events` is
    /// polled at each tick; `on_exit` is called when nothing is left to do after a shutdown.
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
            workers: Workers::default(),
            ready_workers: 1,
            name_service: NameServiceWatch::new(
                now,
                config.name_service,
                config.list_index,
                config.startup.seed,
            ),
            deferred: DeferredCalls::default(),
            process_events,
            shutdown_since: None,
            listener: None,
            on_exit,
            config,
        }
    }

    /// Where it listens, as long as it does.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.listener.map(|(_, address)| address)
    }

    /// What it has open.
    pub fn open_counts(&self) -> OpenCounts {
        OpenCounts {
            requests: self.requests.len(),
            clients: self.clients.len(),
            worker_connections: self.connections.len(),
            workers: self.workers.len(),
        }
    }

    /// Has `call` made after `delay`.
    fn schedule(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        delay: Micros,
        call: DeferredCall<Node>,
    ) {
        self.deferred.schedule(now, transport, delay, call);
    }

    /// Carries out what `Control` ordered and what follows from it, until nothing is left.
    fn settle(&mut self, now: Micros, transport: &mut dyn Transport) {
        if !self.stalled_clients.is_empty() && !self.name_service.is_stale(now) {
            self.readable_clients.extend(std::mem::take(&mut self.stalled_clients));
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
            // The list is polled for at each tick anyway.
            Action::WatchEndpoints => {}
        }
    }

    /// Ends a request, the first time only, and answers its client.
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

    fn accepted(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, _: Listener) {
        self.client_accepted(now, transport, conn);
        self.settle(now, transport);
    }

    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.connected = true;
            connection.last_received = now;
            self.unflushed.push(conn);
        }
        self.settle(now, transport);
    }

    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        if self.clients.contains_key(&conn) {
            self.client_bytes(now, transport, conn, bytes);
        } else {
            self.worker_bytes(now, transport, conn, bytes);
        }
        self.settle(now, transport);
    }

    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        // Clients and model servers alike close both sides when they close one: no answer is due, none comes.
        if self.clients.contains_key(&conn) {
            transport.cut(conn);
            self.client_closed(now, conn);
        } else {
            self.cut_connection(now, transport, conn);
        }
        self.settle(now, transport);
    }

    fn closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, _: Closed, _: u64) {
        if self.clients.contains_key(&conn) {
            self.client_closed(now, conn);
        } else {
            self.worker_disconnected(now, transport, conn);
        }
        self.settle(now, transport);
    }

    fn datagram_received(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        let names = &self.config.names;
        if let Some(list) = self.name_service.datagram_received(now, transport, conn, bytes, names) {
            if list.left_out > 0 {
                tracing::warn!(left_out = list.left_out, "servers of the list lack records");
            }
            self.endpoints_updated(now, transport, EndpointListKind::Full, &list.workers);
        }
        self.settle(now, transport);
    }

    fn flushed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        if self.connections.contains_key(&conn) {
            self.unflushed.push(conn);
        }
        self.settle(now, transport);
    }

    fn woken(&mut self, now: Micros, transport: &mut dyn Transport, wake: Wake) {
        if DeferredCalls::<Node>::is_control(wake) && self.name_service.is_stale(now) {
            // What `Control` would send now would not be sent: the timer waits for the endpoint list.
            transport.wake_at(now + TICK_INTERVAL, wake);
        } else {
            match self.deferred.fired(wake) {
                Some(FiredTimer::Control(token)) => {
                    self.control.advance_to(now);
                    self.control.timer_fired(&mut self.actions, token);
                }
                Some(FiredTimer::Call(call)) => call(self, now, transport),
                None => {}
            }
        }
        self.settle(now, transport);
    }
}
