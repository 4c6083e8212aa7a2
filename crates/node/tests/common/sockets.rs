//! Test fixture: a node on real sockets in the test's own thread, with the test acting as model servers and
//! clients.
use super::{answer_line, call, config_json, dns_answer, parse_config, request_id};
use applepond_node::{Node, ProcessEvent};
use applepond_platform::config::NodeConfig;
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, Micros, Reactor, TimerId, Transport};
use serde_json::Value;
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A node that the test can inspect while the reactor runs it. Holds the node, the number of accepted
/// clients, and a hook that is run once, after the next received bytes.
struct ObservedNode(Rc<RefCell<Node>>, Rc<Cell<usize>>, Hook);

impl Machine for ObservedNode {
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.0.borrow_mut().start(now, transport);
    }
    fn accepted(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        listener: Listener,
    ) {
        self.1.set(self.1.get() + 1);
        self.0.borrow_mut().accepted(now, transport, conn, listener);
    }
    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        self.0.borrow_mut().connected(now, transport, conn);
    }
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, bytes: &[u8]) {
        self.0.borrow_mut().bytes(now, transport, conn, bytes);
        if let Some(hook) = self.2.borrow_mut().take() {
            hook();
        }
    }
    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        self.0.borrow_mut().half_closed(now, transport, conn);
    }
    fn closed(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        why: Closed,
        sent: u64,
    ) {
        self.0.borrow_mut().closed(now, transport, conn, why, sent);
    }
    fn datagram_received(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        bytes: &[u8],
    ) {
        self.0.borrow_mut().datagram_received(now, transport, conn, bytes);
    }
    fn flushed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        self.0.borrow_mut().flushed(now, transport, conn);
    }
    fn timer_fired(&mut self, now: Micros, transport: &mut dyn Transport, timer: TimerId) {
        self.0.borrow_mut().timer_fired(now, transport, timer);
    }
}

/// Time after which a wait fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A model server's end of a connection.
pub struct Peer {
    pub stream: TcpStream,
    pub text: String,
    /// Number of health checks that were answered.
    echoes: usize,
}

impl Peer {
    /// Reads all available bytes. Returns false once the router has closed the connection.
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

    /// Reads a small part of the available bytes.
    pub fn read_some(&mut self) {
        let mut buffer = [0; 1024];
        if let Ok(n) = self.stream.read(&mut buffer) {
            self.text.push_str(std::str::from_utf8(&buffer[..n]).expect("lines are text"));
        }
    }

    /// Bytes that the router's kernel has accepted: those read here, and those queued at either end.
    pub fn bytes_sent_to(&self) -> usize {
        let (own, router) = (self.stream.local_addr(), self.stream.peer_addr());
        let (own, router) =
            (proc_net_address(own.expect("connected")), proc_net_address(router.expect("connected")));
        let queued = |row: &[String], index: usize| {
            let bytes = row[4].split(':').nth(index).expect("two queue lengths");
            usize::from_str_radix(bytes, 16).expect("hex")
        };
        let all = tcp_table();
        let row = |from: &str, to: &str| {
            all.iter().find(|row| row[1] == from && row[2] == to).expect("open connection")
        };
        self.text.len() + queued(row(&own, &router), 1) + queued(row(&router, &own), 0)
    }

    /// Reads all available bytes and returns the number of health checks received so far.
    fn count_echoes(&mut self) -> usize {
        self.read();
        self.text.matches("\"ECHO\"").count().max(self.echoes)
    }

    pub fn send(&mut self, line: &str) {
        self.stream.write_all(line.as_bytes()).expect("the router reads");
    }

    /// How often a line with this verb was received for a request.
    pub fn line_count(&self, verb: &str, id: u64) -> usize {
        let matches =
            |l: &&str| l.starts_with(&format!("{{\"verb\":\"{verb}\",\"rid\":\"{}\"", request_id(id)));
        self.text.lines().filter(matches).count()
    }
}

/// Closes a client connection and waits until the kernel of the router at this address has processed it.
pub fn hang_up(address: SocketAddr, client: TcpStream) {
    let own = client.local_addr().expect("connected");
    drop(client);
    let end = Instant::now() + WAIT_TIMEOUT;
    // The router's end of the connection, in the state CLOSE_WAIT.
    while tcp_table()
        .iter()
        .all(|row| row[1..4] != [&*proc_net_address(address), &*proc_net_address(own), "08"])
    {
        assert!(Instant::now() < end, "the router's kernel did not see the close in time");
    }
}

/// The rows of the kernel's table of TCP connections. Columns 1 to 4 are the local address, the peer's
/// address, the state and the queue lengths.
fn tcp_table() -> Vec<Vec<String>> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
    let row = |line: &str| line.split_whitespace().map(str::to_owned).collect();
    table.lines().skip(1).map(row).collect()
}

/// An address in the format of that table.
fn proc_net_address(address: SocketAddr) -> String {
    match address {
        SocketAddr::V4(address) => {
            format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port())
        }
        SocketAddr::V6(_) => unreachable!("the tests use IPv4 only"),
    }
}

/// A function that is run once, while the node handles an event.
pub type Hook = Rc<RefCell<Option<Box<dyn FnOnce()>>>>;

/// How the model servers behave between two turns of the reactor.
#[derive(Clone, Copy, PartialEq)]
pub enum ServerBehavior {
    /// They read, and answer health checks.
    Serving,
    /// They read nothing, but send answers to health checks.
    NotReading,
    /// They send nothing.
    Silent,
    /// They accept no connections.
    NotAccepting,
}

/// A router on real sockets that runs only during [`SocketNode::turn`]. Whatever clients and model servers do
/// between two turns is pending in the kernel when the router polls again, as after a pause of the process.
pub struct SocketNode {
    pub reactor: Reactor,
    pub node: Rc<RefCell<Node>>,
    /// Number of clients accepted so far.
    pub clients: Rc<Cell<usize>>,
    pub address: SocketAddr,
    pub servers: Vec<TcpListener>,
    pub peers: Vec<Peer>,
    pub name_service: UdpSocket,
    pub config_json: Value,
    pub process_events: Rc<RefCell<Vec<ProcessEvent>>>,
    pub exited: Rc<Cell<bool>>,
    /// Run once during the node's next tick, after sockets have been read.
    pub on_tick: Hook,
    /// Run once after the next bytes that the node receives, within a batch of events.
    pub after_bytes: Hook,
    /// How the model servers behave.
    pub server_behavior: ServerBehavior,
}

impl SocketNode {
    /// Open requests and client connections of the node.
    pub fn requests_and_clients(&self) -> (usize, usize) {
        let open = self.node.borrow().open_counts();
        (open.requests, open.clients)
    }

    pub fn new(servers: u16, change: impl FnOnce(&mut Value)) -> Self {
        let listeners: Vec<_> =
            (0..servers).map(|_| TcpListener::bind("127.0.0.1:0").expect("free port")).collect();
        Self::with_servers(listeners, change)
    }

    pub fn with_servers(servers: Vec<TcpListener>, change: impl FnOnce(&mut Value)) -> Self {
        let name_service = UdpSocket::bind("127.0.0.1:0").expect("free port");
        name_service.set_nonblocking(true).expect("socket option set");
        let mut config_json = config_json(servers.len() as u16);
        config_json["listen"] = "127.0.0.1:0".into();
        config_json["names"] = name_service.local_addr().expect("bound").to_string().into();
        for (n, server) in servers.iter().enumerate() {
            server.set_nonblocking(true).expect("socket option set");
            let address = server.local_addr().expect("bound").to_string();
            config_json["known"]["updates"][0]["endpoints"]["members"][n]["host_port"] = address.into();
        }
        change(&mut config_json);
        let mut reactor = Reactor::new().expect("epoll");
        let (process_events, exited) =
            (Rc::new(RefCell::new(Vec::<ProcessEvent>::new())), Rc::new(Cell::new(false)));
        let on_tick: Hook = Rc::default();
        let (pending_events, exit_flag, hook) = (process_events.clone(), exited.clone(), on_tick.clone());
        let node = Node::new(
            reactor.now(),
            parse_config(&config_json),
            Box::new(move || {
                if let Some(run) = hook.borrow_mut().take() {
                    run();
                }
                pending_events.borrow_mut().pop()
            }),
            Box::new(move |_| exit_flag.set(true)),
        );
        let node = Rc::new(RefCell::new(node));
        let clients: Rc<Cell<usize>> = Rc::default();
        let after_bytes: Hook = Rc::default();
        reactor.add(Box::new(ObservedNode(node.clone(), clients.clone(), after_bytes.clone())));
        let address = node.borrow().local_address().expect("the node listens");
        SocketNode {
            reactor,
            node,
            clients,
            address,
            servers,
            peers: Vec::new(),
            name_service,
            config_json,
            process_events,
            exited,
            on_tick,
            after_bytes,
            server_behavior: ServerBehavior::Serving,
        }
    }

    pub fn turn(&mut self) {
        if self.exited.get() {
            // The node has exited.
            self.reactor.remove(0);
        }
        self.reactor.turn(Duration::from_millis(5)).expect("a turn");
        self.accept_connections();
        for peer in &mut self.peers {
            let received = match self.server_behavior {
                ServerBehavior::Serving => peer.count_echoes(),
                ServerBehavior::NotReading => peer.echoes + 1,
                ServerBehavior::Silent | ServerBehavior::NotAccepting => peer.echoes,
            };
            for _ in std::mem::replace(&mut peer.echoes, received)..received {
                let _ = peer.stream.write_all(b"{\"verb\":\"UP\",\"rid\":\"works\"}\n");
            }
        }
    }

    /// Accepts pending connections at the model servers.
    fn accept_connections(&mut self) {
        for server in self.servers.iter().filter(|_| self.server_behavior != ServerBehavior::NotAccepting) {
            while let Ok((stream, _)) = server.accept() {
                stream.set_nonblocking(true).expect("socket option set");
                self.peers.push(Peer { stream, text: String::new(), echoes: 0 });
            }
        }
    }

    /// Lets the router handle everything pending in the kernel, so that later events are seen in their order.
    pub fn settle(&mut self) {
        self.turn();
        self.turn();
    }

    /// Turns the reactor until `done` returns true. `what` describes the condition if the wait fails.
    pub fn wait_until(&mut self, what: &str, mut done: impl FnMut(&mut Self) -> bool) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !done(self) {
            assert!(Instant::now() < end, "timed out waiting for: {what}");
            self.turn();
        }
    }

    /// Connects a client and waits until the router has accepted it.
    pub fn client(&mut self) -> TcpStream {
        self.accepted(TcpStream::connect(self.address).expect("the node listens"))
    }

    /// Connects a client with a small receive buffer and waits until the router has accepted it.
    pub fn small_client(&mut self) -> TcpStream {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(2048).and_then(|()| socket.set_tcp_mss(536)).expect("socket option set");
        socket.connect(&self.address.into()).expect("the node listens");
        self.accepted(socket.into())
    }

    fn accepted(&mut self, stream: TcpStream) -> TcpStream {
        let before = self.clients.get();
        self.wait_until("accepted", |rig| rig.clients.get() > before);
        stream
    }

    /// Connects a client that sends a call, and waits until a model server has received it. Returns the
    /// client and the index of the server's connection.
    pub fn send_call(&mut self, workload: &str, id: u64) -> (TcpStream, usize) {
        let mut client = self.client();
        client.write_all(call(workload, id).as_bytes()).expect("written");
        (client, self.connection_of(id))
    }

    /// Pauses the router. Everything that happens meanwhile is pending in the kernel when it polls again.
    pub fn pause(&self, time: Micros) {
        std::thread::sleep(Duration::from_micros(time));
    }

    /// Runs the router for this time without further input.
    pub fn run_for(&mut self, time: Micros) {
        let end = Instant::now() + Duration::from_micros(time);
        self.wait_until("time", |_| Instant::now() >= end);
    }

    pub fn shut_down(&mut self) {
        self.process_events.borrow_mut().push(ProcessEvent::ShutDown);
    }

    /// Reads this many answers with a body of 30,000 bytes each, on a connection that stays open.
    pub fn read_large_answers(&mut self, client: &mut TcpStream, answers: usize) {
        client.set_nonblocking(true).expect("socket option set");
        let mut all = Vec::new();
        self.wait_until("all answers", |_| {
            if let Err(e) = client.read_to_end(&mut all) {
                assert_eq!(e.kind(), ErrorKind::WouldBlock, "cut off after {} bytes", all.len());
            }
            all.iter().filter(|byte| **byte == b'x').count() == 30_000 * answers
        });
    }

    /// Waits until a request has been sent. Returns the index of the last connection that carries it.
    pub fn connection_of(&mut self, id: u64) -> usize {
        let connection = |rig: &SocketNode| rig.peers.iter().rposition(|peer| peer.line_count("DO", id) > 0);
        self.wait_until("request sent", |rig| connection(rig).is_some());
        connection(self).expect("checked above")
    }

    /// Index of the model server of the first connection. Waits for that connection without a turn of the
    /// router.
    pub fn first_connected_server(&mut self) -> usize {
        while self.peers.is_empty() {
            self.accept_connections();
        }
        let at = self.peers[0].stream.local_addr().expect("connected");
        let index = self.servers.iter().position(|server| server.local_addr().is_ok_and(|own| own == at));
        index.expect("a model server of the test")
    }

    /// Runs one request to completion, so that a connection to its model server is established.
    pub fn complete_request(&mut self, id: u64) {
        let (mut client, connection) = self.send_call("quote", id);
        self.peers[connection].send(&answer_line("OK", id));
        client.set_nonblocking(true).expect("socket option set");
        let mut all = Vec::new();
        self.wait_until("answered", |_| {
            let _ = client.read_to_end(&mut all);
            all.ends_with(b"ok")
        });
    }

    /// Reads from a client until the router closes the connection.
    pub fn read_to_end(&mut self, mut client: TcpStream) -> String {
        client.set_nonblocking(true).expect("socket option set");
        let mut all = Vec::new();
        self.wait_until("end of connection", |_| match client.read_to_end(&mut all) {
            Ok(_) => true,
            Err(e) => {
                assert_eq!(e.kind(), ErrorKind::WouldBlock, "cut off after {} bytes", all.len());
                false
            }
        });
        String::from_utf8(all).expect("answers are text")
    }

    /// Closes a client and waits until the router's kernel has processed it, without a turn of the router.
    pub fn hang_up(&self, client: TcpStream) {
        hang_up(self.address, client);
    }

    /// Stops the router. Returns all connections of the model servers with everything received on them.
    pub fn stop(mut self) -> Vec<Peer> {
        self.turn();
        let SocketNode { reactor, node, servers, mut peers, .. } = self;
        drop((reactor, node));
        for server in &servers {
            while let Ok((stream, _)) = server.accept() {
                peers.push(Peer { stream, text: String::new(), echoes: 0 });
            }
        }
        for peer in &mut peers {
            peer.stream.set_nonblocking(false).expect("socket option set");
            while peer.read() {}
        }
        peers
    }

    /// Waits for a query of the name service and answers it with this list, as a new event.
    pub fn update_list(&mut self, config: &NodeConfig) {
        let mut buffer = [0; 512];
        let mut query = None;
        // Discards earlier queries, which have timed out.
        while self.name_service.recv_from(&mut buffer).is_ok() {}
        self.wait_until("query", |rig| {
            query = rig.name_service.recv_from(&mut buffer).ok();
            query.is_some()
        });
        let (_, from) = query.expect("checked above");
        let answer = dns_answer(u16::from_be_bytes([buffer[0], buffer[1]]), 2, config);
        self.name_service.send_to(&answer, from).expect("sent");
    }
}

/// A model server with a small receive buffer and small segments, so that the router's kernel buffers little
/// for it.
pub fn server_with_small_buffers() -> TcpListener {
    let server = TcpListener::bind("127.0.0.1:0").expect("free port");
    let socket = SockRef::from(&server);
    socket.set_recv_buffer_size(4096).and_then(|()| socket.set_tcp_mss(536)).expect("socket option set");
    server
}

/// A model server with a full accept queue, so that new connections are not established.
pub fn server_with_full_backlog() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).and_then(|()| socket.listen(0)).expect("free port");
    let server = TcpListener::from(socket);
    let at = server.local_addr().expect("bound");
    let connect = || TcpStream::connect_timeout(&at, Duration::from_millis(100)).ok();
    let queue = std::iter::from_fn(connect).collect();
    (server, queue)
}

/// An answer line with a body of 30,000 bytes, more than the receive buffer of a small client holds.
pub fn large_answer(id: u64) -> String {
    answer_line("OK", id).replace("b2s=", &"eHh4".repeat(10_000))
}

/// How often a line with this verb was received for a request, on all connections together.
pub fn line_count(peers: &[Peer], verb: &str, id: u64) -> usize {
    peers.iter().map(|peer| peer.line_count(verb, id)).sum()
}

/// Fills the connection to a model server that reads nothing. Returns the clients whose request lines are
/// queued in the router behind a partially sent one, and the next unused request id.
pub fn fill_connection(rig: &mut SocketNode) -> (Vec<TcpStream>, u64) {
    rig.server_behavior = ServerBehavior::NotReading;
    let long = |id| {
        let head = call("quote", id).replace("Content-Length: 2", "Content-Length: 16000");
        head.replace("\r\n\r\nhi", &format!("\r\n\r\n{}", "y".repeat(16_000)))
    };
    let (mut clients, open) = (Vec::new(), rig.node.borrow().open_counts().requests);
    let mut next = 1;
    while clients.len() < 3 {
        let mut client = rig.client();
        client.write_all(long(next).as_bytes()).expect("written");
        rig.wait_until("connected", |rig| rig.peers.len() == 1);
        for _ in 0..20 {
            rig.peers[0].send(&answer_line("OK", next));
            rig.turn();
        }
        // The answer is ignored if no byte of the request's line has been sent.
        if rig.node.borrow().open_counts().requests > open + clients.len() {
            clients.push(client);
        }
        next += 1;
        assert!(next < 100, "the connection does not fill up");
    }
    (clients, next)
}

/// A client that has sent forty requests, which have been answered, and reads nothing: most of the responses
/// are still buffered in the router.
pub fn client_with_unread_answers(rig: &mut SocketNode) -> TcpStream {
    let mut client = rig.small_client();
    let calls: String = (1..=40).map(|id| call("quote", id)).collect();
    client.write_all(calls.as_bytes()).expect("written");
    for id in 1..=40 {
        let connection = rig.connection_of(id);
        rig.peers[connection].send(&large_answer(id));
    }
    rig.wait_until("all answered", |rig| rig.node.borrow().open_counts().requests == 0);
    client
}
