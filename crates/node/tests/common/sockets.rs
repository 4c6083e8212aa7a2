//! A node on real sockets, in the test's own thread, with model servers and clients played by hand.
use super::{answer, call, file, name, start, word};
use applepond_node::{Node, ProcessEvent};
use applepond_platform::config::NodeConfig;
use applepond_reactor::{Closed, Conn, Listener, Machine, Micros, Reactor, Transport, Wake};
use serde_json::Value;
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

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
        let row =
            |from: &str, to: &str| all.iter().find(|rig| rig[1] == from && rig[2] == to).expect("it stands");
        self.text.len() + waits(row(&own, &router), 1) + waits(row(&router, &own), 0)
    }

    /// Reads, and tells how often it has been asked whether the connection works.
    fn reads_echoes(&mut self) -> usize {
        self.read();
        self.text.matches("\"ECHO\"").count().max(self.echoes)
    }

    pub fn send(&mut self, line: &str) {
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
pub struct SocketNode {
    pub reactor: Reactor,
    pub node: Rc<RefCell<Node>>,
    /// Clients that were accepted so far.
    pub clients: Rc<Cell<usize>>,
    pub at: SocketAddr,
    pub servers: Vec<TcpListener>,
    pub peers: Vec<Peer>,
    pub names: UdpSocket,
    pub file: Value,
    pub process_events: Rc<RefCell<Vec<ProcessEvent>>>,
    pub over: Rc<Cell<bool>>,
    /// Done once when the machine next asks for news: after sockets were read, amid its tick.
    pub amid: Amid,
    /// Done once after the next bytes that the machine is told, amid a batch.
    pub between: Amid,
    /// What model servers do.
    pub doing: Doing,
}

impl SocketNode {
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
        let (process_events, over) =
            (Rc::new(RefCell::new(Vec::<ProcessEvent>::new())), Rc::new(Cell::new(false)));
        let amid: Amid = Rc::default();
        let (told, ends, first) = (process_events.clone(), over.clone(), amid.clone());
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
        SocketNode {
            reactor,
            node,
            clients,
            at,
            servers,
            peers: Vec::new(),
            names,
            file,
            process_events,
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
        self.until("accepted", |rig| rig.clients.get() > before);
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
        self.process_events.borrow_mut().push(ProcessEvent::ShutDown);
    }

    /// Reads so many answers with a body of 30,000 bytes on a connection that stays open.
    pub fn reads_big(&mut self, client: &mut TcpStream, answers: usize) {
        client.set_nonblocking(true).expect("set");
        let mut all = Vec::new();
        self.until("all answers", |_| {
            if let Err(e) = client.read_to_end(&mut all) {
                assert_eq!(e.kind(), ErrorKind::WouldBlock, "cut off after {} bytes", all.len());
            }
            all.iter().filter(|sim| **sim == b'x').count() == 30_000 * answers
        });
    }

    /// The connection on which a model server has been told to run this.
    pub fn carries(&mut self, id: u64) -> usize {
        let on = |rig: &SocketNode| rig.peers.iter().rposition(|peer| peer.told("DO", id) > 0);
        self.until("sent on", |rig| on(rig).is_some());
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
        let (mut client, connection) = self.carried("quote", id);
        self.peers[connection].send(&word("OK", id));
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
        let SocketNode { reactor, node, servers, mut peers, .. } = self;
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
    pub fn update_list(&mut self, start: &NodeConfig) {
        let mut question = [0; 512];
        let mut asked = None;
        // What was asked before is not waited for any more.
        while self.names.recv_from(&mut question).is_ok() {}
        self.until("a question", |rig| {
            asked = rig.names.recv_from(&mut question).ok();
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

/// Fills a connection to a model server that reads nothing: clients whose lines wait here, behind one that
/// has left in part, and the next id.
pub fn fills(rig: &mut SocketNode) -> (Vec<TcpStream>, u64) {
    rig.doing = Doing::Full;
    let long = |id| {
        let head = call("quote", id).replace("Content-Length: 2", "Content-Length: 16000");
        head.replace("\r\n\r\nhi", &format!("\r\n\r\n{}", "y".repeat(16_000)))
    };
    let (mut clients, open) = (Vec::new(), rig.node.borrow().open_counts().requests);
    let mut next = 1;
    while clients.len() < 3 {
        let mut client = rig.client();
        client.write_all(long(next).as_bytes()).expect("written");
        rig.until("connected", |rig| rig.peers.len() == 1);
        for _ in 0..20 {
            rig.peers[0].send(&word("OK", next));
            rig.turn();
        }
        // That answer is nobody's as long as its line has not begun to leave.
        if rig.node.borrow().open_counts().requests > open + clients.len() {
            clients.push(client);
        }
        next += 1;
        assert!(next < 100, "the connection takes all");
    }
    (clients, next)
}

/// A client that reads nothing, of forty requests that have been answered: most of it waits in the router.
pub fn owed(rig: &mut SocketNode) -> TcpStream {
    let mut client = rig.small_client();
    let calls: String = (1..=40).map(|id| call("quote", id)).collect();
    client.write_all(calls.as_bytes()).expect("written");
    for id in 1..=40 {
        let connection = rig.carries(id);
        rig.peers[connection].send(&big(id));
    }
    rig.until("all answered", |rig| rig.node.borrow().open_counts().requests == 0);
    client
}
