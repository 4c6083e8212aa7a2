//! One instance on one core, beside a plain forwarder on the same reactor: `cargo bench --bench gateway`.
//!
//! Three threads: clients, the instance or the forwarder, workers that answer at once. Peak rate with 64
//! connections always asking; then latency from the time a request should have been sent, at half of the
//! gateway's peak; then bytes of a connection that lies idle. CPU is that of the middle thread alone.
#[path = "../tests/common/mod.rs"]
mod common;

use applepond_gateway::Gateway;
use applepond_http::Fault;
use applepond_http::decode::{Decoder, Fields, Side, Step, Visitor};
use applepond_reactor::{Closed, Conn, Listener, Machine, Micros, Reactor, Transport, Wake};
use hdrhistogram::Histogram;
use oorandom::Rand64;
use std::collections::{BTreeMap, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::time::Duration;

const WORKERS: u16 = 12;
/// Connections that always ask, for the peak.
const ASKING: usize = 64;
/// µs of each run; the first fifth is not counted.
const RUN: Micros = 5_000_000;
const IDLE: usize = 5_000;
const FUNCTIONS: u64 = 40;

#[derive(Default)]
struct Ends(usize);

impl Visitor for Ends {
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

fn whole(decoder: &mut Decoder, bytes: &[u8]) -> Result<usize, Fault> {
    let mut ends = Ends::default();
    decoder.feed(bytes);
    while decoder.step(&mut ends)? == Step::Done {}
    Ok(ends.0)
}

fn decoder(side: Side) -> Decoder {
    Decoder::new(side, 16 * 1024, 1 << 20)
}

/// A worker that answers at once.
struct Echo {
    at: mpsc::Sender<SocketAddr>,
    talks: BTreeMap<Conn, Decoder>,
}

/// Passes each request on as it came, in turn over the workers, and the answer back: no decision, no request.
struct Forwarder {
    at: mpsc::Sender<SocketAddr>,
    workers: Vec<SocketAddr>,
    turn: usize,
    callers: BTreeMap<Conn, (Decoder, Vec<u8>, Option<Conn>)>,
    worker_connections: BTreeMap<Conn, (Decoder, Option<Conn>, Vec<u8>, usize)>,
    idle: Vec<Vec<Conn>>,
}

struct Hammer {
    to: SocketAddr,
    /// Jobs a second, open loop; 0: each connection asks as soon as it was answered.
    rate: f64,
    rng: Rand64,
    asked: u64,
    talks: BTreeMap<Conn, (Decoder, Micros)>,
    idle: Vec<Conn>,
    waiting: VecDeque<Micros>,
    begun: Micros,
    next: Micros,
    out: Arc<std::sync::Mutex<(Histogram<u64>, u64)>>,
}

fn unused() -> ! {
    unreachable!("never told")
}

macro_rules! quiet {
    () => {
        fn flushed(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {}
        fn half_closed(&mut self, _: Micros, transport: &mut dyn Transport, conn: Conn) {
            transport.abort(conn);
        }
        fn closed(&mut self, _: Micros, _: &mut dyn Transport, _: Conn, _: Closed, _: u64) {}
    };
}

impl Machine for Echo {
    quiet!();
    fn start(&mut self, _: Micros, transport: &mut dyn Transport) {
        let (_, at) = transport.listen("127.0.0.1:0".parse().expect("address"), 100_000).expect("a port");
        self.at.send(at).expect("the main thread waits");
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, conn: Conn, _: Listener) {
        self.talks.insert(conn, decoder(Side::Server));
    }
    fn connected(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {
        unused()
    }
    fn bytes(&mut self, _: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        let talk = self.talks.get_mut(&conn).expect("accepted");
        (0..whole(talk, bytes).expect("sound requests"))
            .for_each(|_| transport.write(conn, common::FINISHED_RESPONSE.as_bytes()));
    }
    fn woken(&mut self, _: Micros, _: &mut dyn Transport, _: Wake) {}
}

impl Machine for Forwarder {
    quiet!();
    fn start(&mut self, _: Micros, transport: &mut dyn Transport) {
        let (_, at) = transport.listen("127.0.0.1:0".parse().expect("address"), 100_000).expect("a port");
        self.at.send(at).expect("the main thread waits");
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, conn: Conn, _: Listener) {
        self.callers.insert(conn, (decoder(Side::Server), Vec::new(), None));
    }
    fn connected(&mut self, _: Micros, transport: &mut dyn Transport, conn: Conn) {
        let request =
            self.worker_connections.get(&conn).and_then(|(_, c, _, _)| c.map(|c| self.callers[&c].1.clone()));
        transport.write(conn, &request.unwrap_or_default());
    }
    fn bytes(&mut self, _: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        if let Some((decoder, request, connection)) = self.callers.get_mut(&conn) {
            request.extend_from_slice(bytes);
            if whole(decoder, bytes).expect("sound requests") == 0 {
                return;
            }
            self.turn = (self.turn + 1) % self.workers.len();
            match self.idle[self.turn].pop() {
                Some(idle) => {
                    *connection = Some(idle);
                    self.worker_connections.get_mut(&idle).expect("kept").1 = Some(conn);
                    transport.write(idle, request);
                }
                None => {
                    let new = transport.connect(self.workers[self.turn], 1_000_000);
                    *connection = Some(new);
                    self.worker_connections
                        .insert(new, (self::decoder(Side::Client), Some(conn), Vec::new(), self.turn));
                }
            }
        } else if let Some((decoder, connect_client, answer, turn)) = self.worker_connections.get_mut(&conn) {
            answer.extend_from_slice(bytes);
            if whole(decoder, bytes).expect("sound answers") > 0 {
                let answer = std::mem::take(answer);
                self.idle[*turn].push(conn);
                let connect_client = connect_client.take().expect("asked for");
                transport.write(connect_client, &answer);
                self.callers.get_mut(&connect_client).expect("waits").1.clear();
            }
        }
    }
    fn woken(&mut self, _: Micros, _: &mut dyn Transport, _: Wake) {}
}

impl Hammer {
    fn ask(&mut self, transport: &mut dyn Transport, conn: Conn, since: Micros) {
        self.asked += 1;
        let hut = format!("hut-{}", self.rng.rand_range(0..FUNCTIONS));
        let event = common::event("quote", &self.asked.to_string()).replace("hut", &hut);
        self.talks.get_mut(&conn).expect("open").1 = since;
        transport.write(conn, event.as_bytes());
    }
}

impl Machine for Hammer {
    quiet!();
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.begun = now;
        self.next = now;
        (0..ASKING).for_each(|_| {
            transport.connect(self.to, 1_000_000);
        });
        if self.rate > 0.0 {
            transport.wake_at(now, Wake(0));
        }
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, _: Conn, _: Listener) {
        unused()
    }
    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        self.talks.insert(conn, (decoder(Side::Client), now));
        match self.waiting.pop_front() {
            Some(since) => self.ask(transport, conn, since),
            None if self.rate > 0.0 => self.idle.push(conn),
            None => self.ask(transport, conn, now),
        }
    }
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        let (talk, since) = self.talks.get_mut(&conn).expect("open");
        let answers = whole(talk, bytes);
        if answers == Ok(0) {
            return;
        }
        let since = *since;
        if now > self.begun + RUN / 5 {
            let mut out = self.out.lock().expect("one other thread");
            match answers {
                Ok(_) => out.0.record(now - since).expect("within bounds"),
                Err(_) => out.1 += 1,
            }
        }
        match self.waiting.pop_front() {
            Some(since) => self.ask(transport, conn, since),
            None if self.rate > 0.0 => self.idle.push(conn),
            None => self.ask(transport, conn, now),
        }
    }
    fn woken(&mut self, now: Micros, transport: &mut dyn Transport, _: Wake) {
        while self.next <= now {
            let since = self.next;
            self.next += (-(1.0 - self.rng.rand_float()).ln() / self.rate * 1e6) as Micros + 1;
            match self.idle.pop() {
                Some(conn) => self.ask(transport, conn, since),
                None => self.waiting.push_back(since),
            }
        }
        transport.wake_at(self.next, Wake(0));
    }
}

/// CPU of this thread, µs.
fn cpu() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}

/// Runs what `make` adds on a thread of its own until `stop`; tells its CPU at the end.
fn thread(
    name: &str,
    stop: &Arc<AtomicBool>,
    make: impl FnOnce(&mut Reactor) + Send + 'static,
) -> std::thread::JoinHandle<u64> {
    let stop = stop.clone();
    let builder = std::thread::Builder::new().name(name.to_owned());
    let run = move || {
        let mut reactor = Reactor::new().expect("epoll");
        make(&mut reactor);
        while !stop.load(Ordering::Relaxed) {
            reactor.turn(Duration::from_millis(50)).expect("a turn");
        }
        cpu()
    };
    builder.spawn(run).expect("a thread")
}

enum Middle {
    Gateway,
    Forwarder,
    Nothing,
}

struct Measured {
    rate: f64,
    cpu_per_job: f64,
    p50: u64,
    p99: u64,
    refused: u64,
}

fn workers(stop: &Arc<AtomicBool>) -> (Vec<SocketAddr>, std::thread::JoinHandle<u64>) {
    let (tell, told) = mpsc::channel();
    let thread = thread("workers", stop, move |reactor| {
        for _ in 0..WORKERS {
            reactor.add(Box::new(Echo { at: tell.clone(), talks: BTreeMap::new() }));
        }
    });
    (told.iter().take(WORKERS as usize).collect(), thread)
}

fn gateway(workers: &[SocketAddr], tell: mpsc::Sender<SocketAddr>, reactor: &mut Reactor) {
    let mut deployment = common::deployment(WORKERS);
    deployment.listen = "127.0.0.1:0".parse().expect("an address");
    deployment.workers.iter_mut().zip(workers).for_each(|(w, at)| w.address = *at);
    deployment.customers.clear();
    deployment.startup.customers.clear();
    deployment.max_clients = 100_000;
    deployment.workloads.iter_mut().for_each(|w| w.default_function.concurrency = 64);
    let told = Box::new(move |at| tell.send(at).expect("the main thread waits"));
    reactor.add(Box::new(Gateway::new(reactor.now(), deployment, told)));
}

fn run(middle: Middle, rate: f64) -> Measured {
    let stop = Arc::new(AtomicBool::new(false));
    let (addresses, worker_thread) = workers(&stop);
    let (tell, told) = mpsc::channel();
    let (front, middle_thread) = match middle {
        Middle::Nothing => (addresses[0], None),
        Middle::Gateway => {
            let handle = thread("gateway", &stop, move |reactor| gateway(&addresses, tell, reactor));
            (told.recv().expect("it listens"), Some(handle))
        }
        Middle::Forwarder => {
            let handle = thread("forwarder", &stop, move |reactor| {
                let forwarder = Forwarder {
                    at: tell,
                    idle: vec![Vec::new(); addresses.len()],
                    workers: addresses,
                    turn: 0,
                    callers: BTreeMap::new(),
                    worker_connections: BTreeMap::new(),
                };
                reactor.add(Box::new(forwarder));
            });
            (told.recv().expect("it listens"), Some(handle))
        }
    };
    let out = Arc::new(std::sync::Mutex::new((Histogram::new(3).expect("three digits"), 0)));
    let hammered = out.clone();
    let clients = thread("clients", &stop, move |reactor| {
        let hammer = Hammer {
            to: front,
            rate,
            rng: Rand64::new(7),
            asked: 0,
            talks: BTreeMap::new(),
            idle: Vec::new(),
            waiting: VecDeque::new(),
            begun: 0,
            next: 0,
            out: hammered,
        };
        reactor.add(Box::new(hammer));
    });
    std::thread::sleep(Duration::from_micros(RUN));
    stop.store(true, Ordering::Relaxed);
    clients.join().expect("clients end");
    let cpu = middle_thread.map_or(0, |t| t.join().expect("the middle ends"));
    worker_thread.join().expect("workers end");
    let out = out.lock().expect("all have ended");
    let requests = out.0.len();
    Measured {
        rate: requests as f64 / (RUN as f64 * 0.8 / 1e6),
        cpu_per_job: cpu as f64 * 0.8 / requests.max(1) as f64,
        p50: out.0.value_at_quantile(0.5),
        p99: out.0.value_at_quantile(0.99),
        refused: out.1,
    }
}

fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * 4096
}

/// Bytes of this process a client connection that carried one request and lies idle; the clients' ends are
/// bare sockets.
fn idle_bytes() -> usize {
    let stop = Arc::new(AtomicBool::new(false));
    let (addresses, worker_thread) = workers(&stop);
    let (tell, told) = mpsc::channel();
    let middle = thread("gateway", &stop, move |reactor| gateway(&addresses, tell, reactor));
    let front = told.recv().expect("it listens");
    let one = |n: usize| {
        let mut stream = TcpStream::connect(front).expect("connects");
        stream.write_all(common::event("quote", &format!("idle-{n}")).as_bytes()).expect("writes");
        let mut answer = [0; 1024];
        std::io::Read::read(&mut stream, &mut answer).expect("reads");
        stream
    };
    let first: Vec<TcpStream> = (0..200).map(one).collect();
    let before = resident();
    let idle: Vec<TcpStream> = (200..200 + IDLE).map(one).collect();
    let after = resident();
    drop((first, idle));
    stop.store(true, Ordering::Relaxed);
    middle.join().expect("the middle ends");
    worker_thread.join().expect("workers end");
    after.saturating_sub(before) / IDLE
}

fn main() {
    let line = |name: &str, m: &Measured| {
        println!(
            "{name:<26} {:>9.0} {:>10.1} {:>9} {:>9} {:>8}",
            m.rate, m.cpu_per_job, m.p50, m.p99, m.refused
        );
    };
    // First, while this process has freed nothing that would hide what connections take.
    println!("bytes an idle client connection: {}", idle_bytes());
    println!(
        "{:<26} {:>9} {:>10} {:>9} {:>9} {:>8}",
        "", "jobs/s", "CPU µs/job", "p50 µs", "p99 µs", "refused"
    );
    let forwarder = run(Middle::Forwarder, 0.0);
    let gateway = run(Middle::Gateway, 0.0);
    line("forwarder, peak", &forwarder);
    line("gateway, peak", &gateway);
    println!("gateway / forwarder: {:.2} of its rate", gateway.rate / forwarder.rate);
    let half = gateway.rate / 2.0;
    let direct = run(Middle::Nothing, half);
    let forwarder = run(Middle::Forwarder, half);
    let gateway = run(Middle::Gateway, half);
    line("no middle, half load", &direct);
    line("forwarder, half load", &forwarder);
    line("gateway, half load", &gateway);
    println!("added by the gateway at p99: {} µs", gateway.p99.saturating_sub(direct.p99));
}
