//! One router instance, as a state machine without I/O: connections, bytes and timers arrive through
//! [`Machine`]; writes and new connections leave through [`Transport`].
//!
//! Every event is processed in the same way: its handler updates the state and calls `Control`, which queues
//! actions; [`Gateway::settle`] then executes actions and their consequences until no work is left. No method
//! called by `settle` may call `settle` again.
//!
//! Modules by event:
//! - a client connects, sends data or disconnects: `clients`, then `intake` to process the event received;
//! - `Control` starts an attempt, or an attempt times out: `attempts`;
//! - a worker responds or its connection ends: `responses`, with the connections in `worker_pool`;
//! - a request ends: `completion`;
//! - the endpoint list sends a line or its connection is lost: `endpoint_watch`;
//! - one of the gateway's own timers fires: `maintenance` (idle connections, reloads) and `history`;
//! - a workflow's event arrives or one of its steps ends: `workflow`.
use crate::client::{Answer, ClientConnection};
use crate::deferred::{DeferredCall, DeferredCalls, FiredTimer};
use crate::deployment::{Deployment, FunctionSource, WorkloadEvents};
use crate::endpoint_list::EndpointEntry;
use crate::idempotency::IdempotencyTable;
use crate::request_table::{Action, ActionQueue, RequestTable};
use applepond::control::Control;
use applepond::interface::{Micros, Outcome, RequestId, WorkerId};
use applepond_admission::AdmissionController;
use applepond_admission::traffic_monitor::TrafficClass;
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, TimerId, Transport};
use applepond_storage::WorkflowStore;
use endpoint_watch::EndpointWatch;
use joined_clients::JoinedClient;
use request::RequestData;
use rustc_hash::FxHashMap;
use state_page::Counters;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use worker_pool::WorkerPool;
use workflow::Workflows;

mod attempts;
mod clients;
mod completion;
mod endpoint_watch;
mod extensions;
mod history;
mod intake;
mod joined_clients;
mod maintenance;
mod nothing_ran;
mod overload;
mod request;
mod responses;
mod state_page;
mod watch_refresh;
mod watch_stream;
mod worker_pool;
mod workflow;

pub use extensions::{
    ConfigSource, HistoryStore, PrefixTracker, RestoredTraffic, RestoredWorker, ScheduledRetry,
    StatusSection, TrafficBaseline,
};

/// One router instance.
pub struct Gateway {
    /// The configuration in force.
    deployment: Deployment,
    /// Names of the event attributes that carry functions, prefixes and customers.
    attribute_names: Rc<[String]>,
    /// Makes every routing decision.
    control: Control,
    /// Actions of `Control` that have not been executed yet.
    actions: ActionQueue,
    clients: FxHashMap<ConnectionId, ClientConnection>,
    /// Clients that have been answered and whose next pipelined request may already be buffered.
    answered_clients: VecDeque<ConnectionId>,
    /// Clients that have joined a request since the timers of such clients were last set.
    joined_clients: VecDeque<JoinedClient>,
    workers: WorkerPool,
    endpoint_watch: EndpointWatch,
    /// Entries that the endpoint list reports as ready; `history` may override their status.
    listed_ready: BTreeMap<WorkerId, EndpointEntry>,
    requests: RequestTable<RequestData>,
    /// Requests and workflows started so far; part of the next id.
    started_requests: u64,
    idempotency: IdempotencyTable<Answer>,
    /// Detects retry storms, and sheds load ahead of `Control` during one.
    admission: AdmissionController,
    /// The traffic state that was last logged.
    logged_traffic: TrafficClass,
    workflows: Workflows,
    /// Calls scheduled for a later time.
    deferred: DeferredCalls<Gateway>,
    counters: Counters,
    started_at: Micros,
    /// Called with the bound address once the instance listens.
    on_listening: Box<dyn FnMut(SocketAddr)>,
    config_source: ConfigSource,
    history: Option<Box<dyn HistoryStore>>,
    prefix_tracker: Option<Box<dyn PrefixTracker>>,
    status_sections: Vec<(&'static str, StatusSection)>,
}

impl Gateway {
    /// Creates an instance; the reactor starts it. `now` is the reactor's clock. `on_listening` is called
    /// with the bound address, which differs from the configured one for port 0.
    pub fn new(now: Micros, deployment: Deployment, on_listening: Box<dyn FnMut(SocketAddr)>) -> Self {
        let mut actions = ActionQueue::default();
        let control = Control::new(now, deployment.startup.clone(), &mut actions);
        Gateway {
            attribute_names: attribute_names(&deployment),
            control,
            actions,
            clients: FxHashMap::default(),
            answered_clients: VecDeque::new(),
            joined_clients: VecDeque::new(),
            workers: WorkerPool::default(),
            endpoint_watch: EndpointWatch::new(now, &deployment),
            listed_ready: BTreeMap::new(),
            requests: RequestTable::default(),
            started_requests: 0,
            idempotency: IdempotencyTable::new(deployment.answer_retention),
            admission: AdmissionController::new(now, deployment.startup.seed),
            logged_traffic: TrafficClass::Calm,
            workflows: Workflows::new(deployment.startup.cache_lifetime),
            deferred: DeferredCalls::default(),
            counters: Counters::default(),
            started_at: now,
            on_listening,
            config_source: Box::new(|| None),
            history: None,
            prefix_tracker: None,
            status_sections: Vec::new(),
            deployment,
        }
    }

    /// Sets the source that is polled for new configurations, which are applied without a restart.
    pub fn with_config_source(mut self, config_source: ConfigSource) -> Self {
        self.config_source = config_source;
        self
    }

    /// Sets the store for measurements of this router, from which earlier ones and those of other routers are
    /// restored.
    pub fn with_history(mut self, history: Box<dyn HistoryStore>) -> Self {
        self.history = Some(history);
        self
    }

    /// Sets the tracker that counts uses of prompt prefixes fleet-wide and grants leases for pinned ones.
    pub fn with_prefix_tracker(mut self, prefix_tracker: Box<dyn PrefixTracker>) -> Self {
        self.prefix_tracker = Some(prefix_tracker);
        self
    }

    /// Adds a section to the state page.
    pub fn with_status_section(mut self, name: &'static str, section: StatusSection) -> Self {
        self.status_sections.push((name, section));
        self
    }

    /// Sets the store of workflows; without one, workflows are lost when this instance ends.
    pub fn with_workflow_store(mut self, store: Box<dyn WorkflowStore>) -> Self {
        self.workflows.store = store;
        self
    }

    /// Schedules `call` to run after `delay`.
    fn schedule(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        delay: Micros,
        call: DeferredCall<Gateway>,
    ) {
        self.deferred.schedule(now, transport, delay, call);
    }

    /// Returns a new id for a request or workflow.
    fn next_request_id(&mut self) -> RequestId {
        self.started_requests += 1;
        let text = format!("{:016x}-{:019}", self.deployment.startup.seed, self.started_requests);
        let mut id = [b'0'; 36];
        id.copy_from_slice(&text.as_bytes()[..36]);
        RequestId(id)
    }

    /// Executes queued actions and their consequences until no work is left. The next pipelined request of an
    /// answered client is read here, in a loop and not recursively, as a long pipeline would overflow the
    /// stack otherwise. The same applies to workflows.
    fn settle(&mut self, now: Micros, transport: &mut dyn Transport) {
        loop {
            self.execute_actions(now, transport);
            if let Some(started) = self.workflows.started.pop_front() {
                self.run_commands(now, transport, started.request, started.commands);
                continue;
            }
            if let Some(ended) = self.workflows.ended_steps.pop_front() {
                (ended.on_end)(self, now, transport, ended.end);
                continue;
            }
            match self.answered_clients.pop_front() {
                Some(conn) => self.read_requests(now, transport, conn),
                None if self.write_pending(now, transport) => {}
                None if !self.joined_clients.is_empty() => self.schedule_joined_clients(now, transport),
                None if self.actions.is_empty() && self.workflows.ended_steps.is_empty() => return,
                None => {}
            }
        }
    }

    fn execute_actions(&mut self, now: Micros, transport: &mut dyn Transport) {
        while let Some(action) = self.actions.pop() {
            match action {
                Action::Send(dispatch) => self.start_attempt(now, transport, &dispatch),
                Action::Cancel(attempt) => self.end_attempt(now, transport, attempt, Outcome::Cancelled),
                Action::Reject(request, retry_after) => {
                    self.reject_request(now, transport, request, retry_after);
                }
                Action::Fail(request) => self.fail_request(now, transport, request),
                Action::SetTimer(delay, token) => {
                    DeferredCalls::<Gateway>::schedule_control(now, transport, delay, token);
                }
                Action::Log(text) => tracing::info!(target: "module", "{text}"),
                // The server pushes the list to every connected router; no request is needed.
                Action::WatchEndpoints => {}
            }
        }
    }
}

/// Names of the event attributes that carry functions, prefixes and customers.
fn attribute_names(deployment: &Deployment) -> Rc<[String]> {
    let function_attribute = |workload: &WorkloadEvents| match &workload.function_source {
        FunctionSource::Attribute(name) => Some(name.clone()),
        FunctionSource::Named(_) => None,
    };
    let prefixes = deployment.workloads.iter().filter_map(|workload| workload.prefix_attributes.clone());
    let prefixes = prefixes.flat_map(|prefix| [prefix.name, prefix.size]);
    let functions = deployment.workloads.iter().filter_map(function_attribute);
    functions.chain(prefixes).chain([deployment.customer_attribute.clone()]).collect()
}

impl Machine for Gateway {
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        match transport.listen(self.deployment.listen, self.deployment.max_clients) {
            Ok((_, address)) => (self.on_listening)(address),
            Err(error) => tracing::error!(listen = %self.deployment.listen, %error, "cannot listen"),
        }
        if !self.deployment.workers.is_empty() {
            self.apply_static_workers(now, transport);
        }
        self.resume_workflows(now, transport);
        self.connect_endpoint_watch(transport);
        self.maintain(now, transport);
        if self.history.is_some() {
            self.sync_history_periodically(now, transport);
        }
        self.settle(now, transport);
    }

    fn accepted(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        listener: Listener,
    ) {
        self.client_accepted(now, transport, conn, listener);
    }

    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        if self.endpoint_watch.uses(conn) {
            self.request_endpoint_list(transport, conn);
        } else if let Some(connection) = self.workers.connections.get_mut(&conn) {
            connection.connected = true;
            self.send_request(now, transport, conn);
        }
        self.settle(now, transport);
    }

    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, bytes: &[u8]) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.feed(now, transport, conn, bytes);
            self.read_requests(now, transport, conn);
        } else if self.endpoint_watch.uses(conn) {
            self.endpoint_watch_bytes(now, transport, conn, bytes);
        } else {
            self.worker_bytes(now, transport, conn, bytes);
        }
        self.settle(now, transport);
    }

    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.half_closed(now, transport, conn);
        } else if self.endpoint_watch.uses(conn) {
            transport.abort(conn);
            self.endpoint_watch_lost(now, transport, conn);
        } else if self.workers.connections.contains_key(&conn) {
            let sent = transport.sent(conn);
            transport.abort(conn);
            self.worker_disconnected(now, transport, conn, Closed::Ended, sent);
        }
        self.settle(now, transport);
    }

    fn closed(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        reason: Closed,
        sent: u64,
    ) {
        if self.clients.contains_key(&conn) {
            self.client_closed(now, conn);
        } else if self.endpoint_watch.uses(conn) {
            self.endpoint_watch_lost(now, transport, conn);
        } else {
            self.worker_disconnected(now, transport, conn, reason, sent);
        }
        self.settle(now, transport);
    }

    fn flushed(&mut self, now: Micros, _: &mut dyn Transport, conn: ConnectionId) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.flushed(now);
        }
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
