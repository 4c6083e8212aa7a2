//! One instance on one core, compared with a plain proxy on the same reactor: `cargo bench --bench gateway`.
//!
//! Three threads: clients, the instance or the proxy, and workers that respond at once. Measures memory per
//! idle connection; then the peak rate of 64 closed-loop connections; then latency at half of the gateway's
//! peak, counted from the time at which a request was due. CPU time is that of the middle thread alone.
#[path = "../tests/common/mod.rs"]
mod common;

use applepond_gateway::Gateway;
use applepond_http::Fault;
use applepond_http::decode::{Decoder, Fields, Side, Step, Visitor};
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, Micros, Reactor, TimerId, Transport};
use hdrhistogram::Histogram;
use oorandom::Rand64;
use std::collections::{BTreeMap, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::time::Duration;

const WORKERS: u16 = 12;
/// Connections of the load generator.
const CLIENT_CONNECTIONS: usize = 64;
/// Duration of each run; the first fifth is not measured.
const RUN_TIME: Micros = 5_000_000;
const IDLE_CONNECTIONS: usize = 5_000;
const FUNCTIONS: u64 = 40;

/// Counts complete messages.
#[derive(Default)]
struct MessageCounter(usize);

impl Visitor for MessageCounter {
    fn request(&mut self, _: &str, _: &str, _: &Fields<'_>) -> Result<(), Fault> {
        Ok(())
    }
    fn response(&mut self, status: u16, _: &Fields<'_>) -> Result<(), Fault> {
        if status == 200 { Ok(()) } else { Err(Fault::new(status, "refused", "")) }
    }
    fn body(&mut self, _: &[u8]) -> Result<(), Fault> {
        Ok(())
    }
    fn end(&mut self, _: bool) -> Result<(), Fault> {
        self.0 += 1;
        Ok(())
    }
}

/// Feeds bytes to a decoder and returns the number of messages that they complete.
fn complete_messages(decoder: &mut Decoder, bytes: &[u8]) -> Result<usize, Fault> {
    let mut counter = MessageCounter::default();
    decoder.feed(bytes);
    while decoder.step(&mut counter)? == Step::Done {}
    Ok(counter.0)
}

fn decoder(side: Side) -> Decoder {
    Decoder::new(side, 16 * 1024, 1 << 20)
}

/// A worker that responds at once.
struct ImmediateWorker {
    address_sender: mpsc::Sender<SocketAddr>,
    decoders: BTreeMap<ConnectionId, Decoder>,
}

/// Forwards requests unchanged to the workers in rotation, and their responses back, without routing
/// decisions or request state.
struct Proxy {
    address_sender: mpsc::Sender<SocketAddr>,
    workers: Vec<SocketAddr>,
    next_worker: usize,
    clients: BTreeMap<ConnectionId, (Decoder, Vec<u8>, Option<ConnectionId>)>,
    worker_connections: BTreeMap<ConnectionId, (Decoder, Option<ConnectionId>, Vec<u8>, usize)>,
    idle: Vec<Vec<ConnectionId>>,
}

struct LoadGenerator {
    target: SocketAddr,
    /// Requests per second in an open loop; if 0, each connection sends the next one when it has been
    /// answered.
    rate: f64,
    rng: Rand64,
    sent: u64,
    /// By connection: the decoder, and when its current request was due.
    connections: BTreeMap<ConnectionId, (Decoder, Micros)>,
    idle: Vec<ConnectionId>,
    /// When the requests were due that wait for an idle connection.
    waiting: VecDeque<Micros>,
    begin: Micros,
    next: Micros,
    /// Latencies, and the number of requests refused.
    results: Arc<std::sync::Mutex<(Histogram<u64>, u64)>>,
}

fn unexpected() -> ! {
    unreachable!("this event does not occur")
}

/// Handlers of connection events that the benchmark ignores.
macro_rules! ignore_connection_events {
    () => {
        fn flushed(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId) {}
        fn half_closed(&mut self, _: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
            transport.abort(conn);
        }
        fn closed(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId, _: Closed, _: u64) {}
    };
}

impl Machine for ImmediateWorker {
    ignore_connection_events!();
    fn start(&mut self, _: Micros, transport: &mut dyn Transport) {
        let (_, address) =
            transport.listen("127.0.0.1:0".parse().expect("address"), 100_000).expect("a port");
        self.address_sender.send(address).expect("the main thread waits");
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, conn: ConnectionId, _: Listener) {
        self.decoders.insert(conn, decoder(Side::Server));
    }
    fn connected(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId) {
        unexpected()
    }
    fn bytes(&mut self, _: Micros, transport: &mut dyn Transport, conn: ConnectionId, bytes: &[u8]) {
        let decoder = self.decoders.get_mut(&conn).expect("accepted");
        (0..complete_messages(decoder, bytes).expect("valid requests"))
            .for_each(|_| transport.write(conn, common::FINISHED_RESPONSE.as_bytes()));
    }
    fn timer_fired(&mut self, _: Micros, _: &mut dyn Transport, _: TimerId) {}
}

impl Machine for Proxy {
    ignore_connection_events!();
    fn start(&mut self, _: Micros, transport: &mut dyn Transport) {
        let (_, address) =
            transport.listen("127.0.0.1:0".parse().expect("address"), 100_000).expect("a port");
        self.address_sender.send(address).expect("the main thread waits");
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, conn: ConnectionId, _: Listener) {
        self.clients.insert(conn, (decoder(Side::Server), Vec::new(), None));
    }
    fn connected(&mut self, _: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        let request =
            self.worker_connections.get(&conn).and_then(|(_, c, _, _)| c.map(|c| self.clients[&c].1.clone()));
        transport.write(conn, &request.unwrap_or_default());
    }
    fn bytes(&mut self, _: Micros, transport: &mut dyn Transport, conn: ConnectionId, bytes: &[u8]) {
        if let Some((decoder, request, connection)) = self.clients.get_mut(&conn) {
            request.extend_from_slice(bytes);
            if complete_messages(decoder, bytes).expect("valid requests") == 0 {
                return;
            }
            self.next_worker = (self.next_worker + 1) % self.workers.len();
            match self.idle[self.next_worker].pop() {
                Some(idle) => {
                    *connection = Some(idle);
                    self.worker_connections.get_mut(&idle).expect("idle").1 = Some(conn);
                    transport.write(idle, request);
                }
                None => {
                    let new = transport.connect(self.workers[self.next_worker], 1_000_000);
                    *connection = Some(new);
                    self.worker_connections
                        .insert(new, (self::decoder(Side::Client), Some(conn), Vec::new(), self.next_worker));
                }
            }
        } else if let Some((decoder, client, response, worker)) = self.worker_connections.get_mut(&conn) {
            response.extend_from_slice(bytes);
            if complete_messages(decoder, bytes).expect("valid responses") > 0 {
                let response = std::mem::take(response);
                self.idle[*worker].push(conn);
                let client = client.take().expect("a request is in flight");
                transport.write(client, &response);
                self.clients.get_mut(&client).expect("the client waits").1.clear();
            }
        }
    }
    fn timer_fired(&mut self, _: Micros, _: &mut dyn Transport, _: TimerId) {}
}

impl LoadGenerator {
    fn send(&mut self, transport: &mut dyn Transport, conn: ConnectionId, due_at: Micros) {
        self.sent += 1;
        let function = format!("hut-{}", self.rng.rand_range(0..FUNCTIONS));
        let event = common::event("quote", &self.sent.to_string()).replace("hut", &function);
        self.connections.get_mut(&conn).expect("open").1 = due_at;
        transport.write(conn, event.as_bytes());
    }
}

impl Machine for LoadGenerator {
    ignore_connection_events!();
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.begin = now;
        self.next = now;
        (0..CLIENT_CONNECTIONS).for_each(|_| {
            transport.connect(self.target, 1_000_000);
        });
        if self.rate > 0.0 {
            transport.set_timer_at(now, TimerId(0));
        }
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId, _: Listener) {
        unexpected()
    }
    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        self.connections.insert(conn, (decoder(Side::Client), now));
        match self.waiting.pop_front() {
            Some(due_at) => self.send(transport, conn, due_at),
            None if self.rate > 0.0 => self.idle.push(conn),
            None => self.send(transport, conn, now),
        }
    }
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, bytes: &[u8]) {
        let (decoder, due_at) = self.connections.get_mut(&conn).expect("open");
        let answers = complete_messages(decoder, bytes);
        if answers == Ok(0) {
            return;
        }
        let due_at = *due_at;
        if now > self.begin + RUN_TIME / 5 {
            let mut results = self.results.lock().expect("not poisoned");
            match answers {
                Ok(_) => results.0.record(now - due_at).expect("within bounds"),
                Err(_) => results.1 += 1,
            }
        }
        match self.waiting.pop_front() {
            Some(due_at) => self.send(transport, conn, due_at),
            None if self.rate > 0.0 => self.idle.push(conn),
            None => self.send(transport, conn, now),
        }
    }
    fn timer_fired(&mut self, now: Micros, transport: &mut dyn Transport, _: TimerId) {
        while self.next <= now {
            let due_at = self.next;
            self.next += (-(1.0 - self.rng.rand_float()).ln() / self.rate * 1e6) as Micros + 1;
            match self.idle.pop() {
                Some(conn) => self.send(transport, conn, due_at),
                None => self.waiting.push_back(due_at),
            }
        }
        transport.set_timer_at(self.next, TimerId(0));
    }
}

/// Returns the CPU time of this thread in µs.
fn cpu_time() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}

/// Runs a reactor with the machines that `add_machines` adds on a new thread until `stop`. The thread returns
/// its CPU time.
fn spawn_reactor(
    name: &str,
    stop: &Arc<AtomicBool>,
    add_machines: impl FnOnce(&mut Reactor) + Send + 'static,
) -> std::thread::JoinHandle<u64> {
    let stop = stop.clone();
    let builder = std::thread::Builder::new().name(name.to_owned());
    let run = move || {
        let mut reactor = Reactor::new().expect("epoll");
        add_machines(&mut reactor);
        while !stop.load(Ordering::Relaxed) {
            reactor.turn(Duration::from_millis(50)).expect("a turn");
        }
        cpu_time()
    };
    builder.spawn(run).expect("a thread")
}

/// What clients connect to.
enum Target {
    Gateway,
    Proxy,
    Worker,
}

struct Measurement {
    rate: f64,
    cpu_per_request: f64,
    p50: u64,
    p99: u64,
    refused: u64,
}

fn workers(stop: &Arc<AtomicBool>) -> (Vec<SocketAddr>, std::thread::JoinHandle<u64>) {
    let (address_sender, addresses) = mpsc::channel();
    let thread = spawn_reactor("workers", stop, move |reactor| {
        for _ in 0..WORKERS {
            reactor.add(Box::new(ImmediateWorker {
                address_sender: address_sender.clone(),
                decoders: BTreeMap::new(),
            }));
        }
    });
    (addresses.iter().take(WORKERS as usize).collect(), thread)
}

fn add_gateway(workers: &[SocketAddr], address_sender: mpsc::Sender<SocketAddr>, reactor: &mut Reactor) {
    let mut deployment = common::deployment(WORKERS);
    deployment.listen = "127.0.0.1:0".parse().expect("an address");
    deployment.workers.iter_mut().zip(workers).for_each(|(w, address)| w.address = *address);
    deployment.customers.clear();
    deployment.startup.customers.clear();
    deployment.max_clients = 100_000;
    deployment.workloads.iter_mut().for_each(|w| w.default_function.concurrency = 64);
    let on_listening = Box::new(move |address| address_sender.send(address).expect("the main thread waits"));
    reactor.add(Box::new(Gateway::new(reactor.now(), deployment, on_listening)));
}

fn run(target: Target, rate: f64) -> Measurement {
    let stop = Arc::new(AtomicBool::new(false));
    let (workers, worker_thread) = workers(&stop);
    let (address_sender, address) = mpsc::channel();
    let (target, target_thread) = match target {
        Target::Worker => (workers[0], None),
        Target::Gateway => {
            let handle = spawn_reactor("gateway", &stop, move |reactor| {
                add_gateway(&workers, address_sender, reactor)
            });
            (address.recv().expect("it listens"), Some(handle))
        }
        Target::Proxy => {
            let handle = spawn_reactor("proxy", &stop, move |reactor| {
                let proxy = Proxy {
                    address_sender,
                    idle: vec![Vec::new(); workers.len()],
                    workers,
                    next_worker: 0,
                    clients: BTreeMap::new(),
                    worker_connections: BTreeMap::new(),
                };
                reactor.add(Box::new(proxy));
            });
            (address.recv().expect("it listens"), Some(handle))
        }
    };
    let results = Arc::new(std::sync::Mutex::new((Histogram::new(3).expect("three digits"), 0)));
    let client_results = results.clone();
    let clients = spawn_reactor("clients", &stop, move |reactor| {
        let generator = LoadGenerator {
            target,
            rate,
            rng: Rand64::new(7),
            sent: 0,
            connections: BTreeMap::new(),
            idle: Vec::new(),
            waiting: VecDeque::new(),
            begin: 0,
            next: 0,
            results: client_results,
        };
        reactor.add(Box::new(generator));
    });
    std::thread::sleep(Duration::from_micros(RUN_TIME));
    stop.store(true, Ordering::Relaxed);
    clients.join().expect("clients end");
    let cpu_time = target_thread.map_or(0, |t| t.join().expect("the target ends"));
    worker_thread.join().expect("workers end");
    let results = results.lock().expect("all have ended");
    let requests = results.0.len();
    Measurement {
        rate: requests as f64 / (RUN_TIME as f64 * 0.8 / 1e6),
        cpu_per_request: cpu_time as f64 * 0.8 / requests.max(1) as f64,
        p50: results.0.value_at_quantile(0.5),
        p99: results.0.value_at_quantile(0.99),
        refused: results.1,
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_memory() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * 4096
}

/// Returns the memory of this process per idle client connection, in bytes. Each has carried one request; the
/// clients are bare sockets.
fn memory_per_idle_connection() -> usize {
    let stop = Arc::new(AtomicBool::new(false));
    let (workers, worker_thread) = workers(&stop);
    let (address_sender, address) = mpsc::channel();
    let gateway_thread =
        spawn_reactor("gateway", &stop, move |reactor| add_gateway(&workers, address_sender, reactor));
    let address = address.recv().expect("it listens");
    let connect = |n: usize| {
        let mut stream = TcpStream::connect(address).expect("connects");
        stream.write_all(common::event("quote", &format!("idle-{n}")).as_bytes()).expect("writes");
        let mut answer = [0; 1024];
        std::io::Read::read(&mut stream, &mut answer).expect("reads");
        stream
    };
    let first: Vec<TcpStream> = (0..200).map(connect).collect();
    let before = resident_memory();
    let idle: Vec<TcpStream> = (200..200 + IDLE_CONNECTIONS).map(connect).collect();
    let after = resident_memory();
    drop((first, idle));
    stop.store(true, Ordering::Relaxed);
    gateway_thread.join().expect("the gateway ends");
    worker_thread.join().expect("workers end");
    after.saturating_sub(before) / IDLE_CONNECTIONS
}

fn main() {
    let print = |name: &str, m: &Measurement| {
        println!(
            "{name:<26} {:>9.0} {:>10.1} {:>9} {:>9} {:>8}",
            m.rate, m.cpu_per_request, m.p50, m.p99, m.refused
        );
    };
    // Measured first: memory freed by earlier runs would be reused and hide the growth.
    println!("bytes per idle client connection: {}", memory_per_idle_connection());
    println!(
        "{:<26} {:>9} {:>10} {:>9} {:>9} {:>8}",
        "", "req/s", "CPU µs/req", "p50 µs", "p99 µs", "refused"
    );
    let proxy = run(Target::Proxy, 0.0);
    let gateway = run(Target::Gateway, 0.0);
    print("proxy, peak", &proxy);
    print("gateway, peak", &gateway);
    println!("peak rate of the gateway / proxy: {:.2}", gateway.rate / proxy.rate);
    let half = gateway.rate / 2.0;
    let direct = run(Target::Worker, half);
    let proxy = run(Target::Proxy, half);
    let gateway = run(Target::Gateway, half);
    print("worker, half load", &direct);
    print("proxy, half load", &proxy);
    print("gateway, half load", &gateway);
    println!("p99 latency added by the gateway: {} µs", gateway.p99.saturating_sub(direct.p99));
}
