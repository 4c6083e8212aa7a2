//! A desk that books by a chain, model servers that know a repeat for a while, a list of model servers that
//! is down for some seconds, and a gateway that is killed then and started again.
use review_standins::{
    BROKEN, Event, HELD, Message, Process, Record, cannot_run, folder, free_address, limit_time,
    result_event, with_trouble,
};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Work of each step.
const WORK: Duration = Duration::from_millis(250);
/// For how long the model servers drop repeats of a keyed request.
const WINDOW: Duration = Duration::from_secs(3);
/// From the arrival of the keyed step at a model server to the kill of the gateway.
const KILL_AFTER: Duration = Duration::from_millis(100);
/// Until the gateway is started again.
const DOWN: Duration = Duration::from_millis(500);
/// How long the list of model servers is down, from the kill.
const LIST_DOWN: Duration = Duration::from_secs(5);
/// The client's time for a try.
const TIME_LIMIT: Duration = Duration::from_secs(10);
/// Wait of a client before it tries again.
const BACKOFF: Duration = Duration::from_millis(200);

/// What all model servers know together: one group.
#[derive(Default)]
struct Group {
    /// When the first attempt under each key came.
    first: BTreeMap<String, Instant>,
    /// How often each key was run.
    runs: BTreeMap<String, u32>,
    /// The latest time from the first attempt under a key to a later one.
    longest: Duration,
}

struct Servers {
    record: Record,
    group: Mutex<Group>,
    /// Told of each first arrival of a keyed step.
    arrived: mpsc::Sender<()>,
}

/// Serves one connection of the gateway to a model server. A close does not stop running work.
fn serve_worker(name: &str, servers: &Servers, stream: TcpStream) {
    let Ok(reader) = stream.try_clone() else { return };
    let (mut reader, mut writer) = (BufReader::new(reader), stream);
    while let Ok(Some(request)) = Message::read(&mut reader) {
        let id = request.field("ce-id").to_owned();
        let keyed = request.field("applepond-workload") == "hold";
        if keyed && !begin_keyed(name, servers, &id) {
            let body = format!("{{\"for\":\"{id}\",\"repeat\":true}}");
            let _ = writer.write_all(&result_event("repeat", name, &body));
            continue;
        }
        servers.record.line(&format!("{name} runs {id}"));
        *servers.group.lock().expect("no holder panics").runs.entry(id.clone()).or_default() += 1;
        sleep(WORK);
        let body = format!("{{\"for\":\"{id}\",\"worker\":\"{name}\"}}");
        let sent = writer.write_all(&result_event("result", name, &body)).is_ok();
        servers.record.line(&format!("{name} has run {id}, answer sent: {sent}"));
    }
}

/// Takes note of an attempt under a key. Returns whether it is run, and not known as a repeat.
fn begin_keyed(name: &str, servers: &Servers, id: &str) -> bool {
    let mut group = servers.group.lock().expect("no holder panics");
    let now = Instant::now();
    let Some(first) = group.first.get(id).copied() else {
        group.first.insert(id.to_owned(), now);
        let _ = servers.arrived.send(());
        return true;
    };
    let since = now - first;
    group.longest = group.longest.max(since);
    let known = since < WINDOW;
    let ms = since.as_millis();
    servers.record.line(&format!("{name} gets {id} again, {ms} ms after the first time, known: {known}"));
    if !known {
        group.first.insert(id.to_owned(), now);
    }
    !known
}

/// The list of model servers. While it is down, its port refuses connections.
struct List {
    address: SocketAddr,
    line: String,
    up: Arc<AtomicBool>,
    watchers: Arc<Mutex<Vec<TcpStream>>>,
}

impl List {
    fn start(&self, record: &Record) {
        let listener = TcpListener::bind(self.address);
        let listener = listener.unwrap_or_else(|error| cannot_run(&format!("the list: {error}")));
        self.up.store(true, Ordering::SeqCst);
        let (up, watchers) = (self.up.clone(), self.watchers.clone());
        let (line, record) = (self.line.clone(), record.clone());
        record.line("the list is up");
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !up.load(Ordering::SeqCst) {
                    return;
                }
                let (line, watchers, record) = (line.clone(), watchers.clone(), record.clone());
                std::thread::spawn(move || {
                    let Ok(reader) = stream.try_clone() else { return };
                    let mut reader = BufReader::new(reader);
                    let Ok(Some(_)) = Message::read(&mut reader) else { return };
                    let mut writer = stream;
                    let chunk = format!(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n",
                        line.len()
                    );
                    record.line("the list is sent to the gateway");
                    if writer.write_all(chunk.as_bytes()).is_ok() {
                        watchers.lock().expect("no holder panics").push(writer);
                    }
                });
            }
        });
    }

    fn stop(&self, record: &Record) {
        self.up.store(false, Ordering::SeqCst);
        // Wakes the listening thread, which then drops its socket.
        drop(TcpStream::connect(self.address));
        for stream in self.watchers.lock().expect("no holder panics").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        record.line("the list is down");
    }
}

/// The desk: asks until it gets an answer. Another try follows only where the connection could not be made
/// or broke, with the same id.
fn desk(gateway: SocketAddr, record: &Record) -> Option<u16> {
    let mut retry = false;
    let until = Instant::now() + Duration::from_secs(40);
    while Instant::now() < until {
        let event = Event {
            source: "/desk/7",
            id: "booking-1",
            event_type: "book",
            subject: "hut-labska",
            time_limit: TIME_LIMIT,
            retry,
            body: "{\"nights\": 2}",
        };
        let Ok(mut stream) = TcpStream::connect(gateway) else {
            sleep(BACKOFF);
            continue;
        };
        record.line(&format!("the desk sends booking-1, a later try: {retry}"));
        let _ = stream.set_read_timeout(Some(TIME_LIMIT + Duration::from_secs(1)));
        let sent = stream.write_all(&event.encode()).is_ok();
        let answer = sent.then(|| Message::read(&mut BufReader::new(stream)).ok().flatten()).flatten();
        if let Some(answer) = answer {
            record.line(&format!("the desk gets {}: {}", answer.start, answer.text()));
            return Some(answer.status());
        }
        record.line("the desk's connection broke");
        retry = true;
        sleep(BACKOFF);
    }
    None
}

fn main() {
    limit_time(Duration::from_secs(90));
    let record = Record::create();
    let (gateway, list_address) = (free_address(), free_address());
    let (arrived, arrivals) = mpsc::channel();
    let servers = Arc::new(Servers { record: record.clone(), group: Mutex::new(Group::default()), arrived });
    let mut entries = Vec::new();
    for name in ["w1", "w2"] {
        let (address, servers) = (free_address(), servers.clone());
        review_standins::listen(address, move |stream| serve_worker(name, &servers, stream));
        entries.push(format!(
            "{{\"name\":\"{name}\",\"address\":\"{address}\",\"standing\":\"ready\",\"started\":0,\
             \"zone\":\"room-1\",\"rack\":0,\"weight\":1}}"
        ));
    }
    let line = format!("{{\"kind\":\"full\",\"workers\":[{}]}}\n", entries.join(","));
    let list = List { address: list_address, line, up: Arc::default(), watchers: Arc::default() };
    list.start(&record);
    let settings = folder().join("gateway.hcl");
    let text = include_str!("../../settings/chain-after-kill.hcl")
        .replace("GATEWAY", &gateway.to_string())
        .replace("LIST", &list_address.to_string())
        .replace("FOLDER", &folder().display().to_string());
    std::fs::write(&settings, text).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let mut process = Process::serve(&settings, "gateway.log");
    sleep(Duration::from_millis(500));
    let client = {
        let record = record.clone();
        std::thread::spawn(move || desk(gateway, &record))
    };
    if arrivals.recv_timeout(Duration::from_secs(10)).is_err() {
        cannot_run("the keyed step never came to a model server");
    }
    if with_trouble() {
        sleep(KILL_AFTER);
        list.stop(&record);
        process.kill();
        record.line("the gateway is killed");
        sleep(DOWN);
        process = Process::serve(&settings, "gateway.log");
        record.line("the gateway is started again");
        sleep(LIST_DOWN - DOWN);
        list.start(&record);
    }
    let status = client.join().unwrap_or_else(|_| cannot_run("the desk failed"));
    sleep(Duration::from_millis(500));
    if process.has_ended() {
        cannot_run("the gateway has ended by itself");
    }
    drop(process);
    let group = servers.group.lock().expect("no holder panics");
    let runs = group.runs.iter().map(|(id, count)| format!("{id} {count}")).collect::<Vec<_>>().join(", ");
    let summary = format!(
        "answer {status:?}; runs: {runs}; the latest repeat came {} ms after the first attempt, \
         known for {} ms",
        group.longest.as_millis(),
        WINDOW.as_millis()
    );
    record.line(&summary);
    println!("{summary}");
    let hold = group.runs.iter().filter(|(id, _)| id.ends_with("/hold")).map(|(_, count)| *count).max();
    std::process::exit(if hold.unwrap_or(0) > 1 { BROKEN } else { HELD });
}
