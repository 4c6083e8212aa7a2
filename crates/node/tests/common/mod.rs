//! A router on a paper wire and one on real sockets, with model servers and clients played by hand.
#![allow(dead_code)] // each table of cases uses its own part
use applepond::interface::WorkerStatus;
use applepond_fakes::simulated_transport::SimulatedTransport;
use applepond_node::{ExitReason, Node, ProcessEvent};
use applepond_platform::config::{self, Start};
use applepond_reactor::{Closed, Conn, Listener, Machine, Micros, Reactor, Transport, Wake};
use serde_json::{Value, json};
use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, PacketFlag, ResourceRecord};
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const FUNCTION: &str = "7f3a9c21e0b4d655";

/// A configuration with this many model servers, `s-1` and on.
pub fn file(servers: u16) -> Value {
    let lane = |name: &str, effect: &str| {
        json!({"name": name, "idempotency": effect, "group": "cell", "window": 3000.0, "on-time": 600.0,
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
            "lanes": [lane("quote", "idempotent"), lane("hold", "deduplicated"),
                lane("confirm", "at_most_once")],
            "projects": [{"name": "huts", "quota-per-s": 400.0}],
            "rules": {"cold-from": 0.2, "fall": 1000.0, "fall-multiple": 2.5, "warm-within": 14000.0},
            "specifics": {"keep": 4000.0, "says-company": true}, "zones": ["room-1", "room-2"]
        }
    })
}

pub fn start(file: &Value) -> Start {
    config::start(file.to_string().as_bytes()).expect("a good configuration")
}

pub struct Bench {
    pub node: Node,
    pub paper: SimulatedTransport,
    pub now: Micros,
    pub news: Rc<RefCell<Vec<ProcessEvent>>>,
    pub over: Rc<Cell<bool>>,
}

impl Bench {
    pub fn new(servers: u16) -> Self {
        Self::with(&file(servers))
    }

    pub fn with(file: &Value) -> Self {
        let now = 1_000 * S;
        let (news, over) = (Rc::new(RefCell::new(Vec::new())), Rc::new(Cell::new(false)));
        let (told, ends) = (news.clone(), over.clone());
        let node = Node::new(
            now,
            start(file),
            Box::new(move || told.borrow_mut().pop()),
            Box::new(move |end| ends.set(end == ExitReason::ShutDown)),
        );
        let mut bench = Bench { node, paper: SimulatedTransport::default(), now, news, over };
        bench.node.start(now, &mut bench.paper);
        bench
    }

    pub fn pass(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some((at, wake)) = self.paper.due(until) {
            self.now = self.now.max(at);
            self.node.woken(self.now, &mut self.paper, wake);
        }
        self.now = until;
    }

    pub fn caller(&mut self) -> Conn {
        let conn = self.paper.number();
        self.node.accepted(self.now, &mut self.paper, conn, Listener(0));
        conn
    }

    pub fn says(&mut self, conn: Conn, bytes: &[u8]) {
        self.node.bytes(self.now, &mut self.paper, conn, bytes);
    }

    /// A new client with a call of this workload and id.
    pub fn asks(&mut self, workload: &str, id: u64) -> Conn {
        let conn = self.caller();
        self.says(conn, call(workload, id).as_bytes());
        conn
    }

    /// Connections to model servers that were opened so far; those in the making are let stand.
    pub fn links(&mut self) -> Vec<Conn> {
        let all: Vec<Conn> = self.paper.connects.iter().map(|(c, _)| *c).collect();
        for conn in &all {
            if !self.paper.written.contains_key(conn) && !self.paper.cut.contains(conn) {
                self.node.connected(self.now, &mut self.paper, *conn);
            }
        }
        all
    }

    pub fn address(&self, link: Conn) -> SocketAddr {
        self.paper.connects.iter().find(|(c, _)| *c == link).expect("it was opened").1
    }

    /// Has the name service tell this list, as an event after all others.
    pub fn lists(&mut self, start: &Start) {
        self.pass(300 * MS);
        let (conn, _, question) = self.paper.datagrams.last().expect("it asks").clone();
        let answer = answer(u16::from_be_bytes([question[0], question[1]]), 2, start);
        self.node.datagram_received(self.now, &mut self.paper, conn, &answer);
    }

    pub fn breaks(&mut self, conn: Conn, why: Closed) {
        self.node.closed(self.now, &mut self.paper, conn, why, 0);
    }

    pub fn statuses(&self, conn: Conn) -> Vec<u16> {
        self.paper.statuses(conn)
    }

    /// Words and ids that a model server was told on a connection.
    pub fn lines(&self, link: Conn) -> Vec<(String, String)> {
        let text = self.paper.told(link);
        let whole = text.split_inclusive('\n').filter(|l| l.ends_with('\n'));
        let read = |l: &str| serde_json::from_str::<Value>(l).expect("a line is JSON");
        whole
            .map(read)
            .map(|l| (l["verb"].as_str().unwrap().into(), l["rid"].as_str().unwrap().into()))
            .collect()
    }

    /// How often this request was sent, over all connections.
    pub fn runs(&self, id: u64) -> usize {
        let links = self.paper.connects.iter();
        links.flat_map(|(c, _)| self.lines(*c)).filter(|(verb, rid)| verb == "DO" && *rid == name(id)).count()
    }

    /// The connection that carries a request, with the last of its attempts.
    pub fn carries(&mut self, id: u64) -> Conn {
        let links = self.links();
        let on = links.iter().rev().find(|c| self.lines(**c).contains(&("DO".into(), name(id))));
        *on.expect("the job has been sent")
    }
}

/// An answer of the name service; model servers that are gone have no records.
pub fn answer(id: u16, serial: u32, start: &Start) -> Vec<u8> {
    let mut packet = Packet::new_reply(id);
    packet.set_flags(PacketFlag::RESPONSE);
    let record = |name: &str, data| {
        ResourceRecord::new(Name::new(name).expect("a name").into_owned(), CLASS::IN, 0, data)
    };
    let members = start.known.iter().flat_map(|(_, list)| list);
    for member in members.filter(|m| m.listed.status != WorkerStatus::Gone) {
        let target = format!("{}.room-1.hosts", member.name);
        let SocketAddr::V4(at) = member.address else { continue };
        let name = Name::new(&target).expect("a name").into_owned();
        let priority = u16::from(member.listed.status != WorkerStatus::Ready);
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

pub fn name(id: u64) -> String {
    format!("{id:016x}")
}

pub fn call(workload: &str, id: u64) -> String {
    let mark = if workload == "hold" { "Once-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n" } else { "" };
    format!(
        "POST /do/{FUNCTION}/fire HTTP/1.1\r\nHost: app.svc\r\nX-Class: {workload}\r\nRequest-Id: {}\r\n\
         Budget-Ms: 2000\r\nAccount: huts\r\nX-Extras: memory_mb:512;lanes:64;load_ms:100\r\n{mark}\
         Content-Length: 2\r\n\r\nhi",
        name(id)
    )
}

/// A model server's answer; a good one has the body "ok".
pub fn word(verb: &str, id: u64) -> String {
    format!(
        "{{\"verb\":\"{verb}\",\"rid\":\"{}\",\"attrs\":{{\"detail\":\"hit\",\"same\":3}},\
         \"content\":\"b2s=\"}}\n",
        name(id)
    )
}

/// A machine that the test looks into while a reactor hosts it, how many clients it was told of, and what is
/// done once after bytes that it was told.
struct Shared(Rc<RefCell<Node>>, Rc<Cell<usize>>, Amid);

impl Machine for Shared {
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.0.borrow_mut().start(now, transport);
    }
    fn accepted(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, listener: Listener) {
        self.1.set(self.1.get() + 1);
        self.0.borrow_mut().accepted(now, transport, conn, listener);
    }
    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        self.0.borrow_mut().connected(now, transport, conn);
    }
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        self.0.borrow_mut().bytes(now, transport, conn, bytes);
        if let Some(act) = self.2.borrow_mut().take() {
            act();
        }
    }
    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        self.0.borrow_mut().half_closed(now, transport, conn);
    }
    fn closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, why: Closed, sent: u64) {
        self.0.borrow_mut().closed(now, transport, conn, why, sent);
    }
    fn datagram_received(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        self.0.borrow_mut().datagram_received(now, transport, conn, bytes);
    }
    fn flushed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        self.0.borrow_mut().flushed(now, transport, conn);
    }
    fn woken(&mut self, now: Micros, transport: &mut dyn Transport, wake: Wake) {
        self.0.borrow_mut().woken(now, transport, wake);
    }
}

/// Longest wait for what a test waits for: beyond it the test has failed.
const PATIENCE: Duration = Duration::from_secs(20);

/// A model server's end of one connection.
pub struct Peer {
    pub stream: TcpStream,
    pub text: String,
    /// Questions whether the connection works that were answered.
    echoes: usize,
}

impl Peer {
    /// Reads what is there; false once the router has ended.
    pub fn read(&mut self) -> bool {
        let mut buffer = [0; 64 * 1024];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return false,
                Ok(n) => self.text.push_str(std::str::from_utf8(&buffer[..n]).expect("lines are text")),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
    }

    /// Reads a little of what is there.
    pub fn sips(&mut self) {
        let mut buffer = [0; 1024];
        if let Ok(n) = self.stream.read(&mut buffer) {
            self.text.push_str(std::str::from_utf8(&buffer[..n]).expect("lines are text"));
        }
    }

    /// Bytes that the router has handed to its kernel: those read here, and those that wait at either end.
    pub fn handed(&self) -> usize {
        let (own, router) = (self.stream.local_addr(), self.stream.peer_addr());
        let (own, router) = (hex(own.expect("connected")), hex(router.expect("connected")));
        let waits = |row: &[String], at: usize| {
            let bytes = row[4].split(':').nth(at).expect("two figures");
            usize::from_str_radix(bytes, 16).expect("hex")
        };
        let all = sockets();
        let row = |from: &str, to: &str| all.iter().find(|r| r[1] == from && r[2] == to).expect("it stands");
        self.text.len() + waits(row(&own, &router), 1) + waits(row(&router, &own), 0)
    }

    /// Reads, and tells how often it has been asked whether the connection works.
    fn reads_echoes(&mut self) -> usize {
        self.read();
        self.text.matches("\"ECHO\"").count().max(self.echoes)
    }

    pub fn says(&mut self, line: &str) {
        self.stream.write_all(line.as_bytes()).expect("the router reads");
    }

    /// How often it was told this of a request.
    pub fn told(&self, verb: &str, id: u64) -> usize {
        let is = |l: &&str| l.starts_with(&format!("{{\"verb\":\"{verb}\",\"rid\":\"{}\"", name(id)));
        self.text.lines().filter(is).count()
    }
}

/// Closes a client of a router that listens here and waits until its kernel knows of it.
pub fn hang_up(at: SocketAddr, client: TcpStream) {
    let own = client.local_addr().expect("connected");
    drop(client);
    let end = Instant::now() + PATIENCE;
    // Its own end, in the state that the peer has closed.
    while sockets().iter().all(|row| row[1..4] != [&*hex(at), &*hex(own), "08"]) {
        assert!(Instant::now() < end, "the end has not come");
    }
}

/// The kernel's table of connections, by columns: its own end, the peer's, state, bytes that wait.
fn sockets() -> Vec<Vec<String>> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
    let row = |line: &str| line.split_whitespace().map(str::to_owned).collect();
    table.lines().skip(1).map(row).collect()
}

/// An address as that table has it.
fn hex(at: SocketAddr) -> String {
    match at {
        SocketAddr::V4(at) => format!("{:08X}:{:04X}", u32::from_ne_bytes(at.ip().octets()), at.port()),
        SocketAddr::V6(_) => unreachable!("IPv4 alone"),
    }
}

/// Done once, amid a tick.
pub type Amid = Rc<RefCell<Option<Box<dyn FnOnce()>>>>;

/// What model servers do between two turns.
#[derive(Clone, Copy, PartialEq)]
pub enum Doing {
    /// They read, and say that their connections work.
    Serves,
    /// They read nothing and say all the same that they work.
    Full,
    /// They say nothing.
    Mute,
    /// They accept no connection.
    Shut,
}

/// A router on real sockets that lives only while the test turns it: whatever clients and model servers do
/// between two turns lies in the kernel when it looks, as after a standstill.
pub struct Real {
    pub reactor: Reactor,
    pub node: Rc<RefCell<Node>>,
    /// Clients that were accepted so far.
    pub clients: Rc<Cell<usize>>,
    pub at: SocketAddr,
    pub servers: Vec<TcpListener>,
    pub peers: Vec<Peer>,
    pub names: UdpSocket,
    pub file: Value,
    pub news: Rc<RefCell<Vec<ProcessEvent>>>,
    pub over: Rc<Cell<bool>>,
    /// Done once when the machine next asks for news: after sockets were read, amid its tick.
    pub amid: Amid,
    /// Done once after the next bytes that the machine is told, amid a batch.
    pub between: Amid,
    /// What model servers do.
    pub doing: Doing,
}

impl Real {
    /// Open requests and client connections of the node.
    pub fn requests_and_clients(&self) -> (usize, usize) {
        let open = self.node.borrow().open_counts();
        (open.requests, open.clients)
    }

    pub fn new(servers: u16, change: impl FnOnce(&mut Value)) -> Self {
        let listeners: Vec<_> =
            (0..servers).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
        Self::at(listeners, change)
    }

    pub fn at(servers: Vec<TcpListener>, change: impl FnOnce(&mut Value)) -> Self {
        let names = UdpSocket::bind("127.0.0.1:0").expect("a port");
        names.set_nonblocking(true).expect("set");
        let mut file = file(servers.len() as u16);
        file["listen"] = "127.0.0.1:0".into();
        file["names"] = names.local_addr().expect("bound").to_string().into();
        for (n, server) in servers.iter().enumerate() {
            server.set_nonblocking(true).expect("set");
            let at = server.local_addr().expect("bound").to_string();
            file["known"]["updates"][0]["endpoints"]["members"][n]["host_port"] = at.into();
        }
        change(&mut file);
        let mut reactor = Reactor::new().expect("epoll");
        let (news, over) = (Rc::new(RefCell::new(Vec::<ProcessEvent>::new())), Rc::new(Cell::new(false)));
        let amid: Amid = Rc::default();
        let (told, ends, first) = (news.clone(), over.clone(), amid.clone());
        let node = Node::new(
            reactor.now(),
            start(&file),
            Box::new(move || {
                if let Some(act) = first.borrow_mut().take() {
                    act();
                }
                told.borrow_mut().pop()
            }),
            Box::new(move |_| ends.set(true)),
        );
        let node = Rc::new(RefCell::new(node));
        let clients: Rc<Cell<usize>> = Rc::default();
        let between: Amid = Rc::default();
        reactor.add(Box::new(Shared(node.clone(), clients.clone(), between.clone())));
        let at = node.borrow().local_address().expect("it listens");
        Real {
            reactor,
            node,
            clients,
            at,
            servers,
            peers: Vec::new(),
            names,
            file,
            news,
            over,
            amid,
            between,
            doing: Doing::Serves,
        }
    }

    pub fn turn(&mut self) {
        if self.over.get() {
            // The process has ended.
            self.reactor.remove(0);
        }
        self.reactor.turn(Duration::from_millis(5)).expect("a turn");
        self.accepts();
        for peer in &mut self.peers {
            let asked = match self.doing {
                Doing::Serves => peer.reads_echoes(),
                Doing::Full => peer.echoes + 1,
                Doing::Mute | Doing::Shut => peer.echoes,
            };
            for _ in std::mem::replace(&mut peer.echoes, asked)..asked {
                let _ = peer.stream.write_all(b"{\"verb\":\"UP\",\"rid\":\"works\"}\n");
            }
        }
    }

    /// Model servers accept who has connected.
    fn accepts(&mut self) {
        for server in self.servers.iter().filter(|_| self.doing != Doing::Shut) {
            while let Ok((stream, _)) = server.accept() {
                stream.set_nonblocking(true).expect("set");
                self.peers.push(Peer { stream, text: String::new(), echoes: 0 });
            }
        }
    }

    /// Nothing waits in the kernel: events come in the order in which they are made from now on.
    pub fn quiet(&mut self) {
        self.turn();
        self.turn();
    }

    pub fn until(&mut self, what: &str, mut done: impl FnMut(&mut Self) -> bool) {
        let end = Instant::now() + PATIENCE;
        while !done(self) {
            assert!(Instant::now() < end, "did not come: {what}");
            self.turn();
        }
    }

    /// A client that the router has accepted.
    pub fn client(&mut self) -> TcpStream {
        self.accepted(TcpStream::connect(self.at).expect("it listens"))
    }

    /// The same, whose kernel keeps few bytes for it.
    pub fn small_client(&mut self) -> TcpStream {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(2048).and_then(|()| socket.set_tcp_mss(536)).expect("set");
        socket.connect(&self.at.into()).expect("it listens");
        self.accepted(socket.into())
    }

    fn accepted(&mut self, stream: TcpStream) -> TcpStream {
        let before = self.clients.get();
        self.until("accepted", |r| r.clients.get() > before);
        stream
    }

    /// A client whose request a model server has, and on which connection.
    pub fn carried(&mut self, workload: &str, id: u64) -> (TcpStream, usize) {
        let mut client = self.client();
        client.write_all(call(workload, id).as_bytes()).expect("it reads");
        (client, self.carries(id))
    }

    /// Lets the router stand still: all that happens meanwhile lies in the kernel when it looks again.
    pub fn stands_still(&self, time: Micros) {
        std::thread::sleep(Duration::from_micros(time));
    }

    /// The router runs on for so long, with nothing that it is told.
    pub fn runs_for(&mut self, time: Micros) {
        let end = Instant::now() + Duration::from_micros(time);
        self.until("time", |_| Instant::now() >= end);
    }

    pub fn leaves(&mut self) {
        self.news.borrow_mut().push(ProcessEvent::ShutDown);
    }

    /// Reads so many answers with a body of 30,000 bytes on a connection that stays open.
    pub fn reads_big(&mut self, client: &mut TcpStream, answers: usize) {
        client.set_nonblocking(true).expect("set");
        let mut all = Vec::new();
        self.until("all answers", |_| {
            if let Err(e) = client.read_to_end(&mut all) {
                assert_eq!(e.kind(), ErrorKind::WouldBlock, "cut off after {} bytes", all.len());
            }
            all.iter().filter(|b| **b == b'x').count() == 30_000 * answers
        });
    }

    /// The connection on which a model server has been told to run this.
    pub fn carries(&mut self, id: u64) -> usize {
        let on = |r: &Real| r.peers.iter().rposition(|peer| peer.told("DO", id) > 0);
        self.until("sent on", |r| on(r).is_some());
        on(self).expect("just seen")
    }

    /// Which model server the first connection leads to; the router does not look meanwhile.
    pub fn home(&mut self) -> usize {
        while self.peers.is_empty() {
            self.accepts();
        }
        let at = self.peers[0].stream.local_addr().expect("connected");
        let found = self.servers.iter().position(|server| server.local_addr().is_ok_and(|own| own == at));
        found.expect("one of them")
    }

    /// One request from start to end, so that a connection to its model server stands.
    pub fn served(&mut self, id: u64) {
        let (mut client, link) = self.carried("quote", id);
        self.peers[link].says(&word("OK", id));
        client.set_nonblocking(true).expect("set");
        let mut all = Vec::new();
        self.until("answered", |_| {
            let _ = client.read_to_end(&mut all);
            all.ends_with(b"ok")
        });
    }

    /// What a client still reads, up to the end of its connection.
    pub fn rest(&mut self, mut client: TcpStream) -> String {
        client.set_nonblocking(true).expect("set");
        let mut all = Vec::new();
        self.until("the end", |_| match client.read_to_end(&mut all) {
            Ok(_) => true,
            Err(e) => {
                assert_eq!(e.kind(), ErrorKind::WouldBlock, "cut off after {} bytes", all.len());
                false
            }
        });
        String::from_utf8(all).expect("answers are text")
    }

    /// Closes a client and waits until the router's kernel knows of it, without a turn.
    pub fn hangs_up(&self, client: TcpStream) {
        hang_up(self.at, client);
    }

    /// Ends the router, and all that model servers were ever told, connection by connection.
    pub fn ends(mut self) -> Vec<Peer> {
        self.turn();
        let Real { reactor, node, servers, mut peers, .. } = self;
        drop((reactor, node));
        for server in &servers {
            while let Ok((stream, _)) = server.accept() {
                peers.push(Peer { stream, text: String::new(), echoes: 0 });
            }
        }
        for peer in &mut peers {
            peer.stream.set_nonblocking(false).expect("set");
            while peer.read() {}
        }
        peers
    }

    /// Has the name service tell this list, as an event after all others, once it is asked.
    pub fn lists(&mut self, start: &Start) {
        let mut question = [0; 512];
        let mut asked = None;
        // What was asked before is not waited for any more.
        while self.names.recv_from(&mut question).is_ok() {}
        self.until("a question", |r| {
            asked = r.names.recv_from(&mut question).ok();
            asked.is_some()
        });
        let (_, from) = asked.expect("just seen");
        let answer = answer(u16::from_be_bytes([question[0], question[1]]), 2, start);
        self.names.send_to(&answer, from).expect("sent");
    }
}

/// A model server whose kernel keeps few bytes, and the router's few for it: segments are small.
pub fn small_server() -> TcpListener {
    let server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let socket = SockRef::from(&server);
    socket.set_recv_buffer_size(4096).and_then(|()| socket.set_tcp_mss(536)).expect("set");
    server
}

/// A model server whose queue of connections is full: those that come now do not stand.
pub fn full_server() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).and_then(|()| socket.listen(0)).expect("a port");
    let server = TcpListener::from(socket);
    let at = server.local_addr().expect("bound");
    let connect = || TcpStream::connect_timeout(&at, Duration::from_millis(100)).ok();
    let queue = std::iter::from_fn(connect).collect();
    (server, queue)
}

/// A good answer of 30,000 bytes, more than a small client's kernel takes.
pub fn big(id: u64) -> String {
    word("OK", id).replace("b2s=", &"eHh4".repeat(10_000))
}

/// How often model servers were told this of a request, over all connections.
pub fn told(peers: &[Peer], verb: &str, id: u64) -> usize {
    peers.iter().map(|peer| peer.told(verb, id)).sum()
}
