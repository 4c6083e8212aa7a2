//! Cost of a rejection in a retry storm: `cargo bench -p applepond-gateway --bench pushback`.
//!
//! First the state machine alone, without sockets; then an instance on loopback whose only worker hangs, with
//! clients that only send retries, over persistent connections and over a new one for each retry. CPU time is
//! that of the gateway's thread, including time in the kernel.
#[path = "../tests/common/mod.rs"]
mod common;

use applepond_gateway::Gateway;
use applepond_reactor::Reactor;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Events measured without sockets.
const MEASURED_EVENTS: u64 = 200_000;
/// Distinct clients: far more than have individual retry budgets.
const CLIENTS: u64 = 5_000;
/// Client threads, each with one connection at a time.
const CLIENT_THREADS: u64 = 3;
const READ_TIMEOUT: Duration = Duration::from_millis(20);
const RUN_TIME: Duration = Duration::from_secs(4);

fn event(n: u64) -> String {
    let client = n * 7919 % CLIENTS;
    format!(
        "POST /events HTTP/1.1\r\nHost: a\r\nce-specversion: 1.0\r\nce-id: job-{n}\r\n\
         ce-source: /client/{client}\r\nce-type: quote\r\nce-subject: hut\r\nce-retry: true\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    )
}

/// Returns the µs per event, and the rejected fraction.
fn measure_without_sockets() -> (f64, f64) {
    let mut sim = common::SimulatedGateway::new(common::deployment(1));
    let mut conn = sim.connect_client();
    let mut rejected = 0u64;
    let mut send = |sim: &mut common::SimulatedGateway, n: u64| {
        sim.now += 100;
        sim.receive(conn, event(n).as_bytes());
        match sim.transport.written.get(&conn) {
            Some(answer) => {
                rejected +=
                    u64::from(answer.starts_with(b"HTTP/1.1 429") || answer.starts_with(b"HTTP/1.1 503"))
            }
            // The event was admitted and waits for a worker that never responds.
            None => conn = sim.connect_client(),
        }
        sim.transport.written.clear();
    };
    (0..20_000).for_each(|n| send(&mut sim, n));
    let begin = Instant::now();
    (0..MEASURED_EVENTS).for_each(|n| send(&mut sim, n));
    let time_per_event = begin.elapsed().as_micros() as f64 / MEASURED_EVENTS as f64;
    (time_per_event, rejected as f64 / (MEASURED_EVENTS + 20_000) as f64)
}

/// Returns the CPU time of this thread in µs.
fn cpu_time() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}

/// Sends an event; returns the status of its answer, or 0 if there is none within the timeout.
fn send(stream: &mut TcpStream, n: u64) -> u16 {
    stream.write_all(event(n).as_bytes()).expect("writes");
    let mut buffer = [0; 4096];
    let length = stream.read(&mut buffer).unwrap_or(0);
    std::str::from_utf8(&buffer[..length]).ok().and_then(|t| t.get(9..12)?.parse().ok()).unwrap_or(0)
}

/// Returns the answers per second, the CPU time of each in µs, and the rejected fraction.
fn measure_over_sockets(reconnect: bool) -> (f64, f64, f64) {
    let hanging_worker = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut deployment = common::deployment(1);
    deployment.listen = "127.0.0.1:0".parse().expect("an address");
    deployment.workers[0].address = hanging_worker.local_addr().expect("bound");
    deployment.max_clients = 100_000;
    deployment.customers.clear();
    deployment.startup.customers.clear();
    let stop = Arc::new(AtomicBool::new(false));
    let (address_sender, address_receiver) = mpsc::channel::<SocketAddr>();
    let run = {
        let stop = stop.clone();
        move || {
            let mut reactor = Reactor::new().expect("epoll");
            let on_listening = Box::new(move |at| address_sender.send(at).expect("the main thread waits"));
            reactor.add(Box::new(Gateway::new(reactor.now(), deployment, on_listening)));
            while !stop.load(Ordering::Relaxed) {
                reactor.turn(Duration::from_millis(50)).expect("a turn");
            }
            cpu_time()
        }
    };
    let gateway = std::thread::spawn(run);
    let address = address_receiver.recv().expect("it listens");
    let begin = Instant::now();
    let client = |thread: u64| {
        std::thread::spawn(move || {
            let (mut sent, mut rejected) = (0u64, 0u64);
            let mut n = thread * 1_000_000;
            let connect = || {
                let stream = TcpStream::connect(address).expect("connects");
                stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a valid timeout");
                stream
            };
            let mut stream = connect();
            while begin.elapsed() < RUN_TIME {
                n += 1;
                let status = send(&mut stream, n);
                // An admitted event waits for the hanging worker; the client continues on a new connection.
                if reconnect || status == 0 {
                    stream = connect();
                }
                sent += 1;
                rejected += u64::from(status == 429 || status == 503);
            }
            (sent, rejected)
        })
    };
    let clients: Vec<_> = (0..CLIENT_THREADS).map(client).collect();
    let (mut sent, mut rejected) = (0, 0);
    for client in clients {
        let (client_sent, client_rejected) = client.join().expect("a client ends");
        sent += client_sent;
        rejected += client_rejected;
    }
    let duration = begin.elapsed().as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    let cpu_time = gateway.join().expect("the gateway ends");
    (sent as f64 / duration, cpu_time as f64 / sent.max(1) as f64, rejected as f64 / sent.max(1) as f64)
}

fn main() {
    let (time, rejected) = measure_without_sockets();
    println!("gateway without sockets: {time:.1} µs per answer, {:.1} % rejected", 100.0 * rejected);
    for (name, reconnect) in [("persistent connections", false), ("new connection per event", true)] {
        let (rate, time, rejected) = measure_over_sockets(reconnect);
        println!(
            "{name}: {rate:.0} per second, {time:.1} µs of CPU each, {:.1} % rejected",
            100.0 * rejected
        );
    }
}
