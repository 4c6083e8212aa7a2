//! A name service that takes some hundred milliseconds for an answer, model servers of which one is drained
//! and replaced at its address by one of another cell, and clients that send keyed requests to a router.
use review_standins::{
    BROKEN, HELD, Message, Process, Record, cannot_run, folder, free_address, limit_time, with_trouble,
};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long the name service takes for an answer.
const SLOW: Duration = Duration::from_millis(300);
/// Work of a request.
const WORK: Duration = Duration::from_millis(200);
/// For how long a cell drops repeats.
const WINDOW: Duration = Duration::from_secs(3);
/// Every time limit is this much longer.
const SLACK: Duration = Duration::from_millis(50);
/// From the start of `n1` on, one answer of this many breaks off: the request has run, and its connection
/// ends without an answer.
const ONE_IN: u64 = 10;
/// When the server `a2` begins to drain, when it ends, and when `n1` starts at its address.
const DRAINS_AT: Duration = Duration::from_secs(2);
const ENDS_AT: Duration = Duration::from_secs(7);
const REPLACED_AT: Duration = Duration::from_secs(10);
/// The end of the day.
const DAY: Duration = Duration::from_secs(28);
/// An event counts as told this long after it happened at the latest; then nothing new goes to a draining
/// server after the grace. Every time limit is 50 ms longer.
const TOLD_WITHIN: Duration = Duration::from_millis(1500);
const GRACE: Duration = Duration::from_millis(2050);
/// Allowed for a request between its first byte's leaving and its reading here.
const ON_THE_WAY: Duration = Duration::from_millis(100);
const CLIENTS: usize = 12;
const FUNCTIONS: u64 = 24;
const BETWEEN: Duration = Duration::from_millis(60);

/// What the model servers saw.
#[derive(Default)]
struct Seen {
    /// When each cell first got each key.
    first: BTreeMap<(u32, String), Instant>,
    /// The servers that ran each key.
    runs: BTreeMap<String, Vec<String>>,
    /// Requests that came to the draining server after the grace.
    after_grace: u32,
}

/// A model server process: its name and cell, and its open connections.
struct Server {
    name: &'static str,
    cell: u32,
    address: SocketAddr,
    connections: Mutex<Vec<TcpStream>>,
}

struct World {
    record: Record,
    start: Instant,
    seen: Mutex<Seen>,
    answers: AtomicU64,
}

/// The text of a field of a line, which the router writes without spaces.
fn field(line: &str, name: &str) -> String {
    let mark = format!("\"{name}\":\"");
    let rest = line.split_once(&mark).map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or("").to_owned()
}

impl World {
    /// Whether a request under this key is run by the server, and not known as a repeat in its cell.
    fn begin(&self, server: &Server, key: &str, id: &str) -> bool {
        let mut seen = self.seen.lock().expect("no holder panics");
        let told = DRAINS_AT + TOLD_WITHIN + GRACE + ON_THE_WAY;
        if server.name == "a2" && self.start.elapsed() > told {
            seen.after_grace += 1;
            self.record.line(&format!("a2, draining, gets {id} after the grace"));
        }
        let now = Instant::now();
        let entry = seen.first.entry((server.cell, key.to_owned())).or_insert(now);
        let is_repeat = *entry != now && now - *entry < WINDOW + SLACK;
        if is_repeat {
            self.record.line(&format!("{} drops {id}, a repeat of key {key}", server.name));
            return false;
        }
        *entry = now;
        let runs = seen.runs.entry(key.to_owned()).or_default();
        runs.push(format!("{} of cell {}", server.name, server.cell));
        let again = if runs.len() > 1 { "  <-- runs again" } else { "" };
        self.record.line(&format!("{} of cell {} runs {id}, key {key}{again}", server.name, server.cell));
        true
    }
}

/// Serves one connection of the router to a model server.
fn serve(world: &Arc<World>, server: &Arc<Server>, stream: TcpStream) {
    let (Ok(reader), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
    server.connections.lock().expect("no holder panics").push(kept);
    let writer = Arc::new(Mutex::new(stream));
    for line in BufReader::new(reader).lines().map_while(Result::ok) {
        let (verb, id) = (field(&line, "verb"), field(&line, "rid"));
        if verb == "ECHO" {
            let answer = format!("{{\"verb\":\"UP\",\"rid\":\"{id}\"}}\n");
            let _ = writer.lock().expect("no holder panics").write_all(answer.as_bytes());
        }
        if verb != "DO" {
            continue;
        }
        let key = field(&line, "uniq");
        let runs = world.begin(server, &key, &id);
        let (world, server, writer) = (world.clone(), server.clone(), writer.clone());
        std::thread::spawn(move || {
            if runs {
                sleep(WORK);
            }
            let number = world.answers.fetch_add(1, Ordering::Relaxed);
            let mut writer = writer.lock().expect("no holder panics");
            let may_break = runs && world.start.elapsed() >= REPLACED_AT;
            if may_break && number % ONE_IN == ONE_IN - 1 {
                world.record.line(&format!("{} breaks off before its answer to {id}", server.name));
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
            let answer = format!(
                "{{\"verb\":\"OK\",\"rid\":\"{id}\",\"attrs\":{{\"detail\":\"hit\"}},\"content\":\"b2s=\"}}\n"
            );
            let _ = writer.write_all(answer.as_bytes());
        });
    }
}

/// Starts a model server, which takes connections until `until`, counted from the start.
fn start_server(
    world: &Arc<World>,
    name: &'static str,
    cell: u32,
    address: SocketAddr,
    until: Duration,
) -> Arc<Server> {
    let server = Arc::new(Server { name, cell, address, connections: Mutex::default() });
    let listener = TcpListener::bind(address).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let (world, accepting) = (world.clone(), server.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if world.start.elapsed() >= until {
                return;
            }
            let _ = stream.set_nodelay(true);
            let (world, server) = (world.clone(), accepting.clone());
            std::thread::spawn(move || serve(&world, &server, stream));
        }
    });
    server
}

/// An entry of the list of model servers.
#[derive(Clone)]
struct Entry {
    name: &'static str,
    cell: u32,
    address: SocketAddr,
    ready: bool,
    started_ms: u64,
}

/// The name service: its list and the number of the last event.
struct Names {
    entries: Vec<Entry>,
    index: u32,
}

/// Appends a DNS name without compression.
fn put_name(out: &mut Vec<u8>, name: &str) {
    for label in name.split('.') {
        out.push(label.len() as u8);
        out.extend_from_slice(label.as_bytes());
    }
    out.push(0);
}

/// Appends a resource record.
fn put_record(out: &mut Vec<u8>, name: &str, kind: u16, data: &[u8]) {
    put_name(out, name);
    out.extend_from_slice(&kind.to_be_bytes());
    out.extend_from_slice(&[0, 1, 0, 0, 0, 1]);
    out.extend_from_slice(&(data.len() as u16).to_be_bytes());
    out.extend_from_slice(data);
}

const SERVICE: &str = "_rpc._tcp.mesh.local";

/// The answer to a query, as the protocol page describes it.
fn dns_answer(query: &[u8], names: &Names) -> Vec<u8> {
    let count = names.entries.len() as u16;
    let mut out = query[..2].to_vec();
    out.extend_from_slice(&[0x84, 0x00, 0, 1]);
    out.extend_from_slice(&count.to_be_bytes());
    out.extend_from_slice(&[0, 1]);
    out.extend_from_slice(&(2 * count).to_be_bytes());
    put_name(&mut out, SERVICE);
    out.extend_from_slice(&[0, 33, 0, 1]);
    let host = |entry: &Entry| format!("{}.room-1.hosts", entry.name);
    for entry in &names.entries {
        let mut data = vec![0, u8::from(!entry.ready), 0, 40];
        data.extend_from_slice(&entry.address.port().to_be_bytes());
        put_name(&mut data, &host(entry));
        put_record(&mut out, SERVICE, 33, &data);
    }
    let mut soa = Vec::new();
    put_name(&mut soa, "ns.mesh.local");
    put_name(&mut soa, "admin.mesh.local");
    for number in [names.index, 60, 60, 60, 1] {
        soa.extend_from_slice(&number.to_be_bytes());
    }
    put_record(&mut out, "mesh.local", 6, &soa);
    for entry in &names.entries {
        let IpAddr::V4(ip) = entry.address.ip() else { cannot_run("an address of IPv4 is wanted") };
        put_record(&mut out, &host(entry), 1, &ip.octets());
        let mut text = Vec::new();
        for part in [
            "kind=std-4core".to_owned(),
            format!("cell={}", entry.cell),
            format!("started={}", entry.started_ms),
        ] {
            text.push(part.len() as u8);
            text.extend_from_slice(part.as_bytes());
        }
        put_record(&mut out, &host(entry), 16, &text);
    }
    out
}

/// Answers each query, after a while with the list as it is then.
fn start_names(record: &Record, names: &Arc<Mutex<Names>>) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
    let address = socket.local_addr().unwrap_or_else(|error| cannot_run(&error.to_string()));
    let (record, names) = (record.clone(), names.clone());
    let socket = Arc::new(socket);
    std::thread::spawn(move || {
        let mut buffer = [0; 2048];
        while let Ok((count, from)) = socket.recv_from(&mut buffer) {
            let query = buffer[..count].to_vec();
            let (record, names, socket) = (record.clone(), names.clone(), socket.clone());
            std::thread::spawn(move || {
                if with_trouble() {
                    sleep(SLOW);
                }
                let names = names.lock().expect("no holder panics");
                if count >= 12 && socket.send_to(&dns_answer(&query, &names), from).is_ok() {
                    record.line(&format!("the name service answers with event {}", names.index));
                }
            });
        }
    });
    address
}

/// What a client counted.
#[derive(Default)]
struct Counts {
    sent: u32,
    served: u32,
    refused: u32,
    failed: u32,
}

/// One client: one keyed request after the other on its connection, each with a key of its own.
fn client(number: usize, router: SocketAddr, world: &World) -> Counts {
    let mut counts = Counts::default();
    let mut connection: Option<BufReader<TcpStream>> = None;
    while world.start.elapsed() < DAY {
        counts.sent += 1;
        let id = format!("{number:08x}{:08x}", counts.sent);
        let model = u64::from(counts.sent) * 7 % FUNCTIONS + 1;
        let function = format!("{:016x}", model.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let request = format!(
            "POST /do/{function}/fire HTTP/1.1\r\nHost: app.svc\r\nX-Class: hold\r\nRequest-Id: {id}\r\n\
             Budget-Ms: 5000\r\nAccount: snezka-hut\r\nOnce-Key: {id}{id}\r\n\
             X-Extras: memory_mb:2400;lanes:4\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        let open = connection.take().or_else(|| {
            let stream = TcpStream::connect(router).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
            Some(BufReader::new(stream))
        });
        let mut open = open.unwrap_or_else(|| cannot_run("the router takes no connection"));
        let sent = open.get_mut().write_all(request.as_bytes()).is_ok();
        let answer = sent.then(|| Message::read(&mut open).ok().flatten()).flatten();
        let status = answer.as_ref().map_or(0, Message::status);
        world.record.line(&format!("client {number} gets {status} for {id}"));
        match status {
            200 => counts.served += 1,
            429 | 503 => counts.refused += 1,
            _ => counts.failed += 1,
        }
        connection = answer.filter(|answer| answer.field("connection") != "close").map(|_| open);
        sleep(BETWEEN);
    }
    counts
}

/// Whether the router answers its check.
fn is_ready(router: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(router) else { return false };
    let sent = stream.write_all(b"GET /check HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n").is_ok();
    let answer = sent.then(|| Message::read(&mut BufReader::new(stream)).ok().flatten()).flatten();
    answer.is_some_and(|answer| answer.status() == 200)
}

/// Writes the configuration and starts the router.
fn start_router(router: SocketAddr, names: SocketAddr, entries: &[Entry]) -> Process {
    let members: Vec<String> = entries
        .iter()
        .map(|entry| {
            format!(
                "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"room-1\",\"flavor\":\"std-4core\",\
                 \"cell\":{},\"phase\":\"in_service\",\"size\":4,\"up_since_ms\":0}}",
                entry.name, entry.address, entry.cell
            )
        })
        .collect();
    let config = folder().join("config.json");
    let text = include_str!("../../settings/slow-list.json")
        .replace("ROUTER", &router.to_string())
        .replace("NAMES", &names.to_string())
        .replace("MEMBERS", &members.join(","));
    std::fs::write(&config, text).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let process = Process::node(&config, "gateway.log");
    let until = Instant::now() + Duration::from_secs(10);
    while !is_ready(router) {
        if Instant::now() > until {
            cannot_run("the router is not ready");
        }
        sleep(Duration::from_millis(50));
    }
    process
}

fn main() {
    limit_time(Duration::from_secs(90));
    let record = Record::create();
    let world = Arc::new(World {
        record: record.clone(),
        start: Instant::now(),
        seen: Mutex::default(),
        answers: AtomicU64::new(0),
    });
    let router = free_address();
    let entry = |name, cell| Entry { name, cell, address: free_address(), ready: true, started_ms: 0 };
    let entries = vec![entry("a1", 1), entry("a2", 1), entry("b1", 2), entry("b2", 2)];
    let replaced = entries[1].address;
    let servers: Vec<Arc<Server>> = entries
        .iter()
        .map(|entry| {
            let until = if entry.name == "a2" { ENDS_AT } else { DAY * 2 };
            start_server(&world, entry.name, entry.cell, entry.address, until)
        })
        .collect();
    let names = Arc::new(Mutex::new(Names { entries: entries.clone(), index: 1 }));
    let names_address = start_names(&record, &names);
    let mut process = start_router(router, names_address, &entries);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let world = world.clone();
            std::thread::spawn(move || client(number, router, &world))
        })
        .collect();
    let wait_until = |at: Duration| sleep(at.saturating_sub(world.start.elapsed()));
    let change = |index: u32, text: &str, change: &dyn Fn(&mut Vec<Entry>)| {
        let mut names = names.lock().expect("no holder panics");
        change(&mut names.entries);
        names.index = index;
        record.line(text);
    };
    wait_until(DRAINS_AT);
    change(2, "a2 drains: event 2", &|entries| entries[1].ready = false);
    wait_until(ENDS_AT);
    change(3, "a2 has ended: event 3", &|entries| {
        entries.remove(1);
    });
    drop(TcpStream::connect(servers[1].address));
    for connection in servers[1].connections.lock().expect("no holder panics").drain(..) {
        let _ = connection.shutdown(Shutdown::Both);
    }
    wait_until(REPLACED_AT);
    let _new = start_server(&world, "n1", 2, replaced, DAY * 2);
    let started_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
    change(4, "n1 of cell 2 starts at the address of a2: event 4", &|entries| {
        entries.push(Entry { name: "n1", cell: 2, address: replaced, ready: true, started_ms });
    });
    let mut total = Counts::default();
    for client in clients {
        let counts = client.join().unwrap_or_else(|_| cannot_run("a client failed"));
        total.sent += counts.sent;
        total.served += counts.served;
        total.refused += counts.refused;
        total.failed += counts.failed;
    }
    if process.has_ended() {
        cannot_run("the router has ended by itself");
    }
    drop(process);
    let seen = world.seen.lock().expect("no holder panics");
    let twice: Vec<_> = seen.runs.iter().filter(|(_, servers)| servers.len() > 1).collect();
    for (key, servers) in &twice {
        record.line(&format!("key {key} was run by {}", servers.join(", ")));
    }
    let Counts { sent, served, refused, failed } = total;
    let summary = format!(
        "sent {sent}, served {served}, refused {refused}, failed {failed}; keys run more than once {}; \
         requests to the draining server after the grace {}",
        twice.len(),
        seen.after_grace
    );
    record.line(&summary);
    println!("{summary}");
    if served == 0 {
        cannot_run("nothing was served");
    }
    std::process::exit(if twice.is_empty() { HELD } else { BROKEN });
}
