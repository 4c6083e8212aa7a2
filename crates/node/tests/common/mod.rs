//! Test fixtures: a node on a simulated network, with the test acting as clients and model servers. The
//! module `sockets` has the equivalent on real sockets.
#![allow(dead_code)] // no test file uses all of it
use applepond::interface::WorkerStatus;
use applepond_fakes::simulated_transport::SimulatedTransport;
use applepond_node::{ExitReason, Node, ProcessEvent};
use applepond_platform::config::{self, NodeConfig};
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, Micros};
use serde_json::{Value, json};
use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, PacketFlag, ResourceRecord};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

pub mod name_service;
pub mod sockets;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const FUNCTION: &str = "7f3a9c21e0b4d655";

/// The JSON of a configuration with this many model servers, named `s-1`, `s-2` and so on.
pub fn config_json(servers: u16) -> Value {
    let workload = |name: &str, idempotency: &str| {
        json!({"name": name, "idempotency": idempotency, "group": "cell", "window": 3000.0, "on-time": 600.0,
            "deadline": 2000.0, "worth": 1.0, "late-worth": 0.1})
    };
    let member = |n: u16| {
        json!({"id": format!("s-{n}"), "host_port": format!("127.0.1.{n}:8443"), "locality": "room-1",
            "flavor": "std", "cell": 0, "phase": "in_service", "size": 130.5, "up_since_ms": 0})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:8443", "names": "127.0.2.1:5300", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"revision": 0, "complete": true,
            "members": (1..=servers).map(member).collect::<Vec<_>>()}}]},
        "settings": {
            "allowed": {"attempts-cap": 5, "cancel": true, "connect-timeout": 250.0, "idle-close": 15000.0,
                "max-retry-after": 1000.0, "multiplex": 32, "retry-after": true, "second-copies": true},
            "group-size": 1, "self-index": 0, "over-share-worth": 0.1, "weights": "nominal",
            "lanes": [workload("quote", "idempotent"), workload("hold", "deduplicated"),
                workload("confirm", "at_most_once")],
            "projects": [{"name": "huts", "quota-per-s": 400.0}],
            "rules": {"cold-from": 0.2, "fall": 1000.0, "fall-multiple": 2.5, "warm-within": 14000.0},
            "specifics": {"keep": 4000.0, "says-company": true}, "zones": ["room-1", "room-2"]
        }
    })
}

pub fn parse_config(config_json: &Value) -> NodeConfig {
    config::start(config_json.to_string().as_bytes()).expect("valid configuration")
}

pub struct SimulatedNode {
    pub node: Node,
    pub transport: SimulatedTransport,
    pub now: Micros,
    pub process_events: Rc<RefCell<Vec<ProcessEvent>>>,
    pub exited: Rc<Cell<bool>>,
}

impl SimulatedNode {
    pub fn new(servers: u16) -> Self {
        Self::with(&config_json(servers))
    }

    pub fn with(config_json: &Value) -> Self {
        let now = 1_000 * S;
        let (process_events, exited) = (Rc::new(RefCell::new(Vec::new())), Rc::new(Cell::new(false)));
        let (pending_events, exit_flag) = (process_events.clone(), exited.clone());
        let node = Node::new(
            now,
            parse_config(config_json),
            Box::new(move || pending_events.borrow_mut().pop()),
            Box::new(move |reason| exit_flag.set(reason == ExitReason::ShutDown)),
        );
        let mut simulated =
            SimulatedNode { node, transport: SimulatedTransport::default(), now, process_events, exited };
        simulated.node.start(now, &mut simulated.transport);
        simulated
    }

    pub fn advance(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some((at, timer)) = self.transport.pop_due(until) {
            self.now = self.now.max(at);
            self.node.timer_fired(self.now, &mut self.transport, timer);
        }
        self.now = until;
    }

    pub fn connect_client(&mut self) -> ConnectionId {
        let conn = self.transport.new_conn();
        self.node.accepted(self.now, &mut self.transport, conn, Listener(0));
        conn
    }

    pub fn send(&mut self, conn: ConnectionId, bytes: &[u8]) {
        self.node.bytes(self.now, &mut self.transport, conn, bytes);
    }

    /// Connects a new client that sends a call with this workload and id.
    pub fn send_call(&mut self, workload: &str, id: u64) -> ConnectionId {
        let conn = self.connect_client();
        self.send(conn, call(workload, id).as_bytes());
        conn
    }

    /// All connections opened to model servers so far. Establishes those that are still connecting.
    pub fn worker_connections(&mut self) -> Vec<ConnectionId> {
        let all: Vec<ConnectionId> = self.transport.connections.iter().map(|(c, _)| *c).collect();
        for conn in &all {
            if !self.transport.written.contains_key(conn) && !self.transport.cut.contains(conn) {
                self.node.connected(self.now, &mut self.transport, *conn);
            }
        }
        all
    }

    pub fn address(&self, connection: ConnectionId) -> SocketAddr {
        self.transport.connections.iter().find(|(c, _)| *c == connection).expect("unknown connection").1
    }

    /// Lets the name service answer the next query with this list, as a new event.
    pub fn update_list(&mut self, config: &NodeConfig) {
        self.advance(300 * MS);
        let (conn, _, question) = self.transport.datagrams.last().expect("the node sends queries").clone();
        let answer = dns_answer(u16::from_be_bytes([question[0], question[1]]), 2, config);
        self.node.datagram_received(self.now, &mut self.transport, conn, &answer);
    }

    pub fn disconnect(&mut self, conn: ConnectionId, why: Closed) {
        self.node.closed(self.now, &mut self.transport, conn, why, 0);
    }

    pub fn statuses(&self, conn: ConnectionId) -> Vec<u16> {
        self.transport.statuses(conn)
    }

    /// The verb and request id of each complete line sent to a model server on a connection.
    pub fn lines(&self, connection: ConnectionId) -> Vec<(String, String)> {
        let text = self.transport.written_text(connection);
        let whole = text.split_inclusive('\n').filter(|l| l.ends_with('\n'));
        let read = |l: &str| serde_json::from_str::<Value>(l).expect("a line is JSON");
        whole
            .map(read)
            .map(|l| (l["verb"].as_str().unwrap().into(), l["rid"].as_str().unwrap().into()))
            .collect()
    }

    /// How often this request was sent, on all connections together.
    pub fn send_count(&self, id: u64) -> usize {
        let worker_connections = self.transport.connections.iter();
        worker_connections
            .flat_map(|(c, _)| self.lines(*c))
            .filter(|(verb, rid)| verb == "DO" && *rid == request_id(id))
            .count()
    }

    /// The connection that carries the last attempt of a request.
    pub fn connection_of(&mut self, id: u64) -> ConnectionId {
        let worker_connections = self.worker_connections();
        let on = worker_connections
            .iter()
            .rev()
            .find(|c| self.lines(**c).contains(&("DO".into(), request_id(id))));
        *on.expect("the request has been sent")
    }
}

/// An answer of the name service. Model servers that are gone have no records.
pub fn dns_answer(id: u16, serial: u32, config: &NodeConfig) -> Vec<u8> {
    let mut packet = Packet::new_reply(id);
    packet.set_flags(PacketFlag::RESPONSE);
    let record = |name: &str, data| {
        ResourceRecord::new(Name::new(name).expect("a name").into_owned(), CLASS::IN, 0, data)
    };
    let members = config.list_events.iter().flat_map(|(_, list)| list);
    for member in members.filter(|m| m.endpoint.status != WorkerStatus::Gone) {
        let target = format!("{}.room-1.hosts", member.name);
        let SocketAddr::V4(at) = member.address else { continue };
        let name = Name::new(&target).expect("a name").into_owned();
        let priority = u16::from(member.endpoint.status != WorkerStatus::Ready);
        let srv = SRV { priority, weight: 1305, port: at.port(), target: name };
        packet.answers.push(record("_rpc._tcp.mesh.local", RData::SRV(srv)));
        packet.additional_records.push(record(&target, RData::A(A { address: (*at.ip()).into() })));
        let txt = TXT::new().with_string("cell=0").and_then(|t| t.with_string("started=0"));
        packet.additional_records.push(record(&target, RData::TXT(txt.expect("short texts"))));
    }
    let name = || Name::new_unchecked("mesh.local");
    let soa = SOA { mname: name(), rname: name(), serial, refresh: 0, retry: 0, expire: 0, minimum: 0 };
    packet.name_servers.push(record("mesh.local", RData::SOA(soa)));
    packet.build_bytes_vec_compressed().expect("a packet")
}

pub fn request_id(id: u64) -> String {
    format!("{id:016x}")
}

pub fn call(workload: &str, id: u64) -> String {
    let key_header = if workload == "hold" { "Once-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n" } else { "" };
    format!(
        "POST /do/{FUNCTION}/fire HTTP/1.1\r\nHost: app.svc\r\nX-Class: {workload}\r\nRequest-Id: {}\r\n\
         Budget-Ms: 2000\r\nAccount: huts\r\nX-Extras: memory_mb:512;lanes:64;load_ms:100\r\n{key_header}\
         Content-Length: 2\r\n\r\nhi",
        request_id(id)
    )
}

/// A model server's answer line with the body `ok`.
pub fn answer_line(verb: &str, id: u64) -> String {
    format!(
        "{{\"verb\":\"{verb}\",\"rid\":\"{}\",\"attrs\":{{\"detail\":\"hit\",\"same\":3}},\
         \"content\":\"b2s=\"}}\n",
        request_id(id)
    )
}
