//! What the rejection of a request costs in a retry storm: `cargo bench -p applepond-gateway --bench
//! pushback`.
//!
//! First the gateway alone, without sockets; then one instance on loopback whose only worker hangs, and
//! clients that all ask again: over connections that stand, and over a new one each time. CPU is that of the
//! gateway's thread alone, the kernel's part with it.
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

/// Answers of the machine alone.
const ALONE: u64 = 200_000;
/// Clients by name: far more than budgets are kept for one by one.
const CLIENTS: u64 = 5_000;
/// Threads that ask, each on one connection at a time.
const ASKING: u64 = 3;
const MOMENT: Duration = Duration::from_millis(20);
const RUN: Duration = Duration::from_secs(4);

fn event(n: u64) -> String {
    let client = n * 7919 % CLIENTS;
    format!(
        "POST /events HTTP/1.1\r\nHost: a\r\nce-specversion: 1.0\r\nce-id: job-{n}\r\n\
         ce-source: /client/{client}\r\nce-type: quote\r\nce-subject: hut\r\nce-retry: true\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    )
}

fn alone() -> (f64, f64) {
    let mut bench = common::SimulatedGateway::new(common::deployment(1));
    let mut conn = bench.connect_client();
    let mut back = 0u64;
    let mut one = |bench: &mut common::SimulatedGateway, n: u64| {
        bench.now += 100;
        bench.receive(conn, event(n).as_bytes());
        match bench.transport.written.get(&conn) {
            Some(told) => {
                back += u64::from(told.starts_with(b"HTTP/1.1 429") || told.starts_with(b"HTTP/1.1 503"))
            }
            // It went in, and waits for a worker that says nothing.
            None => conn = bench.connect_client(),
        }
        bench.transport.written.clear();
    };
    (0..20_000).for_each(|n| one(&mut bench, n));
    let begun = Instant::now();
    (0..ALONE).for_each(|n| one(&mut bench, n));
    let each = begun.elapsed().as_micros() as f64 / ALONE as f64;
    (each, back as f64 / (ALONE + 20_000) as f64)
}

fn cpu() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}

/// One exchange; its status, or 0 where none came in a moment.
fn ask(stream: &mut TcpStream, n: u64) -> u16 {
    stream.write_all(event(n).as_bytes()).expect("writes");
    let mut buffer = [0; 4096];
    let got = stream.read(&mut buffer).unwrap_or(0);
    std::str::from_utf8(&buffer[..got]).ok().and_then(|t| t.get(9..12)?.parse().ok()).unwrap_or(0)
}

/// (answers a second, µs of CPU each, share rejected)
fn sockets(anew: bool) -> (f64, f64, f64) {
    let hangs = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut deployment = common::deployment(1);
    deployment.listen = "127.0.0.1:0".parse().expect("an address");
    deployment.workers[0].address = hangs.local_addr().expect("bound");
    deployment.max_clients = 100_000;
    deployment.customers.clear();
    deployment.startup.customers.clear();
    let stop = Arc::new(AtomicBool::new(false));
    let (tell, told) = mpsc::channel::<SocketAddr>();
    let run = {
        let stop = stop.clone();
        move || {
            let mut reactor = Reactor::new().expect("epoll");
            let told = Box::new(move |at| tell.send(at).expect("the main thread waits"));
            reactor.add(Box::new(Gateway::new(reactor.now(), deployment, told)));
            while !stop.load(Ordering::Relaxed) {
                reactor.turn(Duration::from_millis(50)).expect("a turn");
            }
            cpu()
        }
    };
    let gateway = std::thread::spawn(run);
    let at = told.recv().expect("it listens");
    let begun = Instant::now();
    let client = |thread: u64| {
        std::thread::spawn(move || {
            let (mut all, mut back) = (0u64, 0u64);
            let mut n = thread * 1_000_000;
            let connect = || {
                let stream = TcpStream::connect(at).expect("connects");
                stream.set_read_timeout(Some(MOMENT)).expect("a time");
                stream
            };
            let mut stream = connect();
            while begun.elapsed() < RUN {
                n += 1;
                let status = ask(&mut stream, n);
                // What goes in waits for a worker that hangs: others go on.
                if anew || status == 0 {
                    stream = connect();
                }
                all += 1;
                back += u64::from(status == 429 || status == 503);
            }
            (all, back)
        })
    };
    let clients: Vec<_> = (0..ASKING).map(client).collect();
    let (mut all, mut back) = (0, 0);
    for client in clients {
        let (a, sim) = client.join().expect("a client ends");
        all += a;
        back += sim;
    }
    let took = begun.elapsed().as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    let cpu = gateway.join().expect("the gateway ends");
    (all as f64 / took, cpu as f64 / all.max(1) as f64, back as f64 / all.max(1) as f64)
}

fn main() {
    let (each, back) = alone();
    println!("gateway alone: {each:.1} µs an answer, {:.1} % pushed back", 100.0 * back);
    for (name, anew) in [("connections that stand", false), ("a new connection each", true)] {
        let (rate, each, back) = sockets(anew);
        println!("{name}: {rate:.0} a second, {each:.1} µs of CPU each, {:.1} % pushed back", 100.0 * back);
    }
}
