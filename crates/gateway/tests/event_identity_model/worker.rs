//! A worker that executes each request on arrival and recognises duplicates of keyed requests by `id`, as all
//! events have one `source`. It notes what it executes, and when it takes one event for another.
use crate::common::{S, SimulatedGateway, result};
use applepond::interface::Micros;
use applepond_reactor::{Closed, ConnectionId};
use std::collections::{BTreeMap, VecDeque};

/// Time for which the worker recognises a key, from the first execution on.
pub const WINDOW: Micros = 3 * S;

/// What becomes of a request at the worker.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Answer,
    /// It is executed, and its connection breaks off.
    BreakOff,
    /// It is not executed.
    RejectAsFull,
    /// It is executed, and answered with an error.
    Fail,
}

/// A request as the worker has received it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Received {
    pub id: String,
    pub event_type: String,
    pub data: String,
}

impl Received {
    /// Reads one request.
    fn parse(text: &str) -> Self {
        let (head, data) = text.split_once("\r\n\r\n").expect("a head and data");
        let field = |name: &str| {
            let lines = head.lines().filter_map(|line| line.split_once(": "));
            lines.filter(|(found, _)| *found == name).map(|(_, value)| value.to_owned()).next()
        };
        Received {
            id: field("ce-id").expect("an id"),
            event_type: field("ce-type").expect("a type"),
            data: data.to_owned(),
        }
    }

    /// The result of its execution.
    fn result(&self) -> String {
        format!("{{\"for\":\"{}/{}/{}\"}}", self.event_type, self.id, self.data)
    }

    fn is_keyed(&self) -> bool {
        self.event_type == "hold"
    }
}

/// One execution.
#[derive(Clone, Debug)]
pub struct Execution {
    pub request: Received,
    pub at: Micros,
    /// Number of the router that sent it.
    pub router: usize,
}

/// A request that has arrived and has no response yet.
struct Pending {
    conn: ConnectionId,
    fate: Fate,
    result: String,
}

/// The worker.
pub struct Worker {
    fates: Vec<Fate>,
    arrivals: usize,
    pub is_reachable: bool,
    pub executions: Vec<Execution>,
    /// The first execution of each key that the worker still recognises, and its result.
    known: BTreeMap<String, (Execution, String)>,
    pending: VecDeque<Pending>,
    /// Number of bytes read, by connection.
    read: BTreeMap<ConnectionId, usize>,
}

impl Worker {
    pub fn new(fates: Vec<Fate>) -> Self {
        Worker {
            fates,
            arrivals: 0,
            is_reachable: true,
            executions: Vec::new(),
            known: BTreeMap::new(),
            pending: VecDeque::new(),
            read: BTreeMap::new(),
        }
    }

    /// Accepts or refuses the router's new connections, and reads what has arrived.
    pub fn serve(&mut self, sim: &mut SimulatedGateway, router: usize) {
        loop {
            let mut all = sim.transport.connections.iter().map(|(conn, _)| *conn);
            let is_new =
                |conn: &ConnectionId| !self.read.contains_key(conn) && !sim.transport.cut.contains(conn);
            let Some(conn) = all.find(is_new) else { break };
            self.read.insert(conn, 0);
            if self.is_reachable {
                sim.connected(conn);
            } else {
                sim.disconnect(conn, Closed::NotEstablished);
            }
        }
        for conn in self.read.keys().copied().collect::<Vec<_>>() {
            self.read_requests(sim, router, conn);
        }
    }

    fn read_requests(&mut self, sim: &SimulatedGateway, router: usize, conn: ConnectionId) {
        let output = sim.output(conn);
        let read = self.read.insert(conn, output.len()).unwrap_or(0);
        for request in output[read..].split("POST /run").skip(1) {
            self.arrive(sim.now, router, conn, Received::parse(request));
        }
    }

    fn arrive(&mut self, now: Micros, router: usize, conn: ConnectionId, request: Received) {
        let fate = self.fates[self.arrivals % self.fates.len()];
        self.arrivals += 1;
        let mut result = request.result();
        if !matches!(fate, Fate::RejectAsFull) {
            let execution = Execution { request, at: now, router };
            match self.known_result(&execution) {
                Some(known) => result = known,
                None => self.execute(execution, result.clone()),
            }
        }
        self.pending.push_back(Pending { conn, fate, result });
    }

    /// The result of an earlier execution of the same key, if the worker still recognises it.
    fn known_result(&self, execution: &Execution) -> Option<String> {
        let Execution { request, at, .. } = execution;
        let (first, result) = self.known.get(&request.id).filter(|_| request.is_keyed())?;
        if *at >= first.at + WINDOW {
            return None;
        }
        assert!(first.request == *request, "{request:?} is taken for {first:?}");
        Some(result.clone())
    }

    fn execute(&mut self, execution: Execution, result: String) {
        if execution.request.is_keyed() {
            self.known.insert(execution.request.id.clone(), (execution.clone(), result));
        }
        self.executions.push(execution);
    }

    /// Completes the oldest request, as its fate says.
    pub fn respond(&mut self, sim: &mut SimulatedGateway) {
        let Some(Pending { conn, fate, result: body }) = self.pending.pop_front() else { return };
        if sim.transport.cut.contains(&conn) {
            return;
        }
        match fate {
            Fate::Answer => sim.receive(conn, result(&body).as_bytes()),
            Fate::BreakOff => sim.disconnect(conn, Closed::Reset),
            Fate::RejectAsFull => {
                let full = "HTTP/1.1 503 Full\r\napplepond-outcome: full\r\nContent-Length: 0\r\n\r\n";
                sim.receive(conn, full.as_bytes());
            }
            Fate::Fail => sim.receive(conn, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
        }
    }

    /// Drops the connections of a router that was killed, and the keys of single requests: those are on no
    /// record, so the next router cannot tell them from others (docs/gateway.md, "The idempotency key").
    pub fn router_killed(&mut self) {
        self.known.retain(|_, (first, _)| is_step(&first.request));
        self.pending.clear();
        self.read.clear();
    }
}

/// Whether a request is a step of a workflow: its data is that of the workflow's event, and its id names it.
pub fn is_step(request: &Received) -> bool {
    request.data.starts_with("chain")
}
