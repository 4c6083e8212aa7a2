//! A gateway on a simulated network that records writes, new connections and aborts, with a simulated clock.
#![allow(dead_code)] // each test file uses a part of it
use applepond::interface::{
    AttemptPolicy, CustomerConfig, IdempotencyScope, Micros, RackId, RetrySafety, SlowStartRules,
    StartupConfig, WorkloadConfig,
};
use applepond_fakes::simulated_transport::SimulatedTransport;
use applepond_gateway::deployment::{
    AnswerRetention, FunctionConfig, FunctionSource, PrefixAttributes, StaticWorker, WorkflowConfig,
    WorkloadEvents,
};
use applepond_gateway::{Deployment, Gateway};
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, Transport};
use applepond_storage::{MemoryStore, WorkflowKey, WorkflowRecord, WorkflowStore};
use applepond_workflow::{Function, Plan, Step};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

pub mod events;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

/// A gateway with its simulated network.
pub struct SimulatedGateway {
    pub gateway: Gateway,
    pub transport: SimulatedTransport,
    pub now: Micros,
    /// New settings, returned by the gateway's next poll of its configuration source.
    pub new_config: Rc<RefCell<Option<Deployment>>>,
}

/// A deployment with `workers` static workers and the workloads `quote` (idempotent), `hold` (keyed) and
/// `confirm` (at-most-once), each with a latency objective of 500 ms, a deadline of 4 s and a load time of
/// 100 ms.
pub fn deployment(workers: u16) -> Deployment {
    let retry_safety = [
        ("quote", RetrySafety::Idempotent),
        ("hold", RetrySafety::Keyed { scope: IdempotencyScope::Rack, window: 3 * S }),
        ("confirm", RetrySafety::AtMostOnce),
    ];
    let address = |n: u16| SocketAddr::from(([127, 0, 0, 1], 9000 + n));
    Deployment {
        startup: StartupConfig {
            seed: 7,
            router_index: 0,
            router_count: 1,
            workloads: retry_safety
                .iter()
                .map(|(_, retry_safety)| WorkloadConfig {
                    retry_safety: *retry_safety,
                    latency_objective: 500 * MS,
                    priority_weight: 1.0,
                    late_priority_factor: 0.2,
                })
                .collect(),
            customers: vec![CustomerConfig { requests_per_second: 1000.0 }],
            attempt_policy: AttemptPolicy {
                max_attempts: 4,
                cancel_allowed: true,
                hedging_allowed: true,
                retry_after_allowed: true,
                max_retry_after: S,
            },
            slow_start: SlowStartRules {
                initial_capacity: 0.2,
                warmup_time: 10 * S,
                overload_factor: 2.0,
                overload_window: S,
            },
            over_quota_factor: 0.1,
            cache_lifetime: 10 * S,
            reports_same_function: true,
            weights_shared: true,
            timeouts_shared: false,
            watches_endpoints: false,
        },
        listen: address(0),
        workloads: retry_safety
            .iter()
            .map(|(name, _)| WorkloadEvents {
                name: name.to_string(),
                types: vec![name.to_string()],
                step_type: name.to_string(),
                function_source: FunctionSource::Attribute("subject".into()),
                prefix_attributes: Some(PrefixAttributes {
                    name: "opening".into(),
                    size: "openingsize".into(),
                }),
                deadline: 4 * S,
                default_function: FunctionConfig { concurrency: 2, memory_mb: 1, load_time: Some(100 * MS) },
            })
            .collect(),
        workflows: Vec::new(),
        workflow_store: None,
        customers: vec!["huts".into()],
        customer_attribute: "customer".into(),
        zones: vec!["hall-a".into()],
        functions: BTreeMap::new(),
        workers: (1..=workers)
            .map(|n| StaticWorker {
                name: format!("w{n}"),
                address: address(n),
                zone: Some(0),
                rack: RackId(0),
                weight: 1.0,
            })
            .collect(),
        endpoint_list: None,
        connect_timeout: 250 * MS,
        fleet: None,
        storm_shedding: true,
        max_clients: 100,
        max_event_bytes: 64 * 1024,
        answer_retention: AnswerRetention { time: 60 * S, max_answers: 100, max_bytes: 1 << 20 },
    }
}

/// A deployment with one worker. Duplicates of `hold` are recognised in this scope and for this time.
pub fn deployment_with_keyed_hold(scope: IdempotencyScope, window: Micros) -> Deployment {
    let mut deployment = deployment(1);
    deployment.startup.workloads[1].retry_safety = RetrySafety::Keyed { scope, window };
    deployment
}

impl SimulatedGateway {
    pub fn new(deployment: Deployment) -> Self {
        Self::with_store(deployment, 1_000 * S, Box::new(MemoryStore::default()))
    }

    /// Starts a gateway with this workflow store.
    pub fn with_store(deployment: Deployment, now: Micros, store: Box<dyn WorkflowStore>) -> Self {
        let new_config = Rc::new(RefCell::new(None));
        let polled_config = new_config.clone();
        let gateway = Gateway::new(now, deployment, Box::new(|_| ())).with_workflow_store(store);
        let gateway = gateway.with_config_source(Box::new(move || polled_config.borrow_mut().take().map(Ok)));
        let mut sim = SimulatedGateway { gateway, transport: SimulatedTransport::default(), now, new_config };
        sim.gateway.start(now, &mut sim.transport);
        sim
    }

    /// Advances the clock, firing the timers that are due.
    pub fn advance(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some((at, timer)) = self.transport.pop_due(until) {
            self.now = self.now.max(at);
            self.gateway.timer_fired(self.now, &mut self.transport, timer);
        }
        self.now = until;
    }

    /// Has the gateway reload these settings.
    pub fn reload(&mut self, deployment: Deployment) {
        *self.new_config.borrow_mut() = Some(deployment);
        self.advance(S);
        assert!(self.new_config.borrow().is_none(), "the source is polled once a second");
    }

    pub fn connect_client(&mut self) -> ConnectionId {
        let conn = self.transport.new_conn();
        self.gateway.accepted(self.now, &mut self.transport, conn, Listener(0));
        conn
    }

    pub fn receive(&mut self, conn: ConnectionId, bytes: &[u8]) {
        self.gateway.bytes(self.now, &mut self.transport, conn, bytes);
    }

    /// Connects a client that sends one event.
    pub fn send_event(&mut self, kind: &str, id: &str) -> ConnectionId {
        let conn = self.connect_client();
        self.receive(conn, event(kind, id).as_bytes());
        conn
    }

    pub fn connected(&mut self, conn: ConnectionId) {
        self.gateway.connected(self.now, &mut self.transport, conn);
    }

    /// Establishes all pending connections to workers, and returns all that were opened so far.
    pub fn worker_connections(&mut self) -> Vec<ConnectionId> {
        let all: Vec<ConnectionId> = self.transport.connections.iter().map(|(c, _)| *c).collect();
        let new =
            all.iter().filter(|c| !self.transport.written.contains_key(c) && !self.transport.cut.contains(c));
        for conn in new.copied().collect::<Vec<_>>() {
            self.connected(conn);
        }
        all
    }

    /// Establishes all pending connections to workers, and returns the one that was opened last.
    pub fn newest_connection(&mut self) -> ConnectionId {
        *self.worker_connections().last().expect("a connection to a worker")
    }

    /// Closes a connection from the peer's side.
    pub fn disconnect(&mut self, conn: ConnectionId, reason: Closed) {
        let sent = self.transport.sent(conn);
        self.gateway.closed(self.now, &mut self.transport, conn, reason, sent);
    }

    /// Everything that the gateway wrote on a connection.
    pub fn output(&self, conn: ConnectionId) -> String {
        self.transport.written_text(conn)
    }

    pub fn statuses(&self, conn: ConnectionId) -> Vec<u16> {
        self.transport.statuses(conn)
    }

    /// Returns the number of requests sent on a connection, and the sequence number of its last write.
    pub fn requests_at(&self, conn: ConnectionId) -> (usize, u64) {
        (
            self.output(conn).matches("POST /run").count(),
            self.transport.last_write.get(&conn).copied().unwrap_or(0),
        )
    }

    /// Returns the number of requests sent to workers, on all connections.
    pub fn requests(&self) -> usize {
        let worker_connections: BTreeSet<ConnectionId> =
            self.transport.connections.iter().map(|(c, _)| *c).collect();
        worker_connections.iter().map(|c| self.output(*c).matches("POST /run").count()).sum()
    }
}

pub fn event(kind: &str, id: &str) -> String {
    format!(
        "POST /events HTTP/1.1\r\nHost: a\r\nce-specversion: 1.0\r\nce-id: {id}\r\nce-source: /desk\r\n\
         ce-type: {kind}\r\nce-subject: hut\r\nContent-Length: 2\r\n\r\n{{}}"
    )
}

/// A worker's response to a finished request.
pub const FINISHED_RESPONSE: &str = "HTTP/1.1 200 OK\r\nce-specversion: 1.0\r\nce-id: r1\r\nce-source: /w\r\n\
    ce-type: result\r\napplepond-copy: stood\r\napplepond-company: 0\r\n\
    Content-Type: application/json\r\nContent-Length: 9\r\n\r\n{\"ok\": 1}";

/// A worker's response to a finished request, with this result. Each is an event of its own.
pub fn result(body: &str) -> String {
    static RESULTS: AtomicU64 = AtomicU64::new(1);
    let id = format!("ce-id: result-{}", RESULTS.fetch_add(1, Ordering::Relaxed));
    FINISHED_RESPONSE
        .replace("ce-id: r1", &id)
        .replace("Content-Length: 9", &format!("Content-Length: {}", body.len()))
        .replace("{\"ok\": 1}", body)
}

/// A workflow store that outlives the gateway; the write with the number in `fails`, if any, fails.
#[derive(Clone, Default)]
pub struct SharedStore {
    pub inner: Rc<RefCell<MemoryStore>>,
    pub writes: Rc<RefCell<usize>>,
    pub fails: Option<usize>,
    /// Whether records cannot be read.
    pub unreadable: Rc<Cell<bool>>,
}

impl WorkflowStore for SharedStore {
    fn save(
        &mut self,
        workflows: &[(WorkflowKey<'_>, &WorkflowRecord)],
    ) -> Result<(), applepond_storage::StorageError> {
        *self.writes.borrow_mut() += 1;
        if self.fails == Some(*self.writes.borrow()) {
            let (file, why) = ("record".into(), "no space left".to_owned());
            return Err(applepond_storage::StorageError::WriteFailed { file, why });
        }
        self.inner.borrow_mut().save(workflows)
    }
    fn load(
        &mut self,
        key: WorkflowKey<'_>,
    ) -> Result<Option<WorkflowRecord>, applepond_storage::StorageError> {
        if self.unreadable.get() {
            let (file, why) = ("record".into(), "input/output error".to_owned());
            return Err(applepond_storage::StorageError::WriteFailed { file, why });
        }
        self.inner.borrow_mut().load(key)
    }
    fn unfinished(&mut self) -> Result<Vec<(String, String)>, applepond_storage::StorageError> {
        self.inner.borrow_mut().unfinished()
    }
    fn remove_expired(&mut self, now: Micros) -> Result<usize, applepond_storage::StorageError> {
        self.inner.borrow_mut().remove_expired(now)
    }
    fn count(&mut self) -> Result<u64, applepond_storage::StorageError> {
        self.inner.borrow_mut().count()
    }
}

/// The workflow `book`, which events of these types start, with a time limit of 4 s.
pub fn booking_workflow(types: &[&str], steps: Vec<Step>) -> WorkflowConfig {
    let plan = Plan { name: "book".into(), limit: 4 * S, steps };
    assert_eq!(plan.check(), Vec::new());
    WorkflowConfig {
        types: types.iter().map(|event_type| (*event_type).to_owned()).collect(),
        function_attribute: "subject".into(),
        plan: Arc::new(plan),
    }
}

/// A required step without successors, of a function of its own, by the index of its workload.
pub fn step(name: &str, workload: usize) -> Step {
    Step {
        name: name.into(),
        workload,
        effect: deployment(0).startup.workloads[workload].retry_safety,
        function: Function::Named(format!("{name}-fn")),
        at_least: 20 * MS,
        optional: false,
        undo: None,
        next: Vec::new(),
        or_else: Vec::new(),
    }
}
