//! What the operators' page of the standing test asks of the one process of `applepond node`, from outside.
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use test_case::test_case;

struct Node(Child);

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn config(listen: SocketAddr) -> String {
    settings(listen).to_string()
}

fn settings(listen: SocketAddr) -> Value {
    let row = json!({"name": "quote", "idempotency": "idempotent", "group": "cell", "window": 3000.0,
        "on-time": 600.0, "deadline": 2000.0, "worth": 1.0, "late-worth": 0.1});
    json!({"name": "n0", "listen": listen.to_string(), "names": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"revision": 0, "complete": true,
            "members": []}}]},
        "settings": {
            "allowed": {"attempts-cap": 5, "cancel": true, "connect-timeout": 250.0, "idle-close": 15000.0,
                "max-retry-after": 1000.0, "multiplex": 32, "retry-after": true, "second-copies": true},
            "group-size": 1, "self-index": 0, "over-share-worth": 0.1, "weights": "nominal", "lanes": [row],
            "projects": [{"name": "huts", "quota-per-s": 400.0}],
            "rules": {"cold-from": 0.2, "fall": 1000.0, "fall-multiple": 2.5, "warm-within": 14000.0},
            "specifics": {"keep": 4000.0, "says-company": true}, "zones": ["room-1"]}})
}

/// The same with one model server in service.
fn with_server(listen: SocketAddr, server: SocketAddr) -> Value {
    let mut file = settings(listen);
    let member = json!({"id": "s-1", "host_port": server.to_string(), "locality": "room-1", "flavor": "std",
        "cell": 0, "phase": "in_service", "size": 4.0, "up_since_ms": 0});
    file["known"]["updates"][0]["endpoints"]["members"] = json!([member]);
    file
}

/// A model server that answers each request with its class, until the router ends.
fn serves(server: TcpListener) {
    std::thread::spawn(move || {
        for stream in server.incoming() {
            let mut stream = stream.expect("a connection");
            let lines = BufReader::new(stream.try_clone().expect("a descriptor")).lines();
            std::thread::spawn(move || {
                for line in lines.map_while(Result::ok) {
                    let line: Value = serde_json::from_str(&line).expect("a line is JSON");
                    let answer = json!({"verb": "OK", "rid": line["rid"], "attrs": {"detail": "hit"},
                        "content": "b2s="});
                    if line["verb"] == "DO" && writeln!(stream, "{answer}").is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// The status of one call on a connection of its own.
fn status(at: SocketAddr, call: &str) -> Option<String> {
    let mut conn = TcpStream::connect(at).ok()?;
    conn.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    conn.write_all(call.as_bytes()).ok()?;
    let mut head = [0; 12];
    conn.read_exact(&mut head).ok()?;
    Some(String::from_utf8_lossy(&head[9..]).into_owned())
}

/// The process with this configuration, which is written to a file of its own.
fn started(name: &str, config: &str, log: Stdio) -> (Node, PathBuf) {
    let file = std::env::temp_dir().join(format!("applepond-node-{}-{name}.json", std::process::id()));
    std::fs::write(&file, config).expect("a file");
    let mut line = Command::new(env!("CARGO_BIN_EXE_applepond"));
    line.arg("node").env("PROXY_CONFIG", &file).stdout(Stdio::null()).stderr(log);
    (Node(line.spawn().expect("it starts")), file)
}

fn ready(at: SocketAddr) {
    let end = Instant::now() + Duration::from_secs(20);
    while !check(at).is_some_and(|answer| answer.starts_with("HTTP/1.1 200")) {
        assert!(Instant::now() < end, "it answers the check");
    }
}

fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

fn check(at: SocketAddr) -> Option<String> {
    let mut conn = TcpStream::connect(at).ok()?;
    conn.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    conn.write_all(b"GET /check HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").ok()?;
    let mut all = String::new();
    conn.read_to_string(&mut all).ok()?;
    Some(all)
}

fn entries(folder: &str) -> Vec<String> {
    let read = std::fs::read_dir(folder).expect("the process runs");
    read.flatten().map(|entry| entry.path().display().to_string()).collect()
}

// The bench leads a process' calls of the C library to itself, which a static one does not make.
#[test]
fn linked_against_the_c_library() {
    let program = std::fs::read(env!("CARGO_BIN_EXE_applepond")).expect("built");
    let holds = |text: &[u8]| program.windows(text.len()).any(|w| w == text);
    assert!(holds(b"/ld-linux") && holds(b"libc.so.6\0"), "an interpreter and the library by name");
}

// One process that starts no other; sockets over IPv4, and what epoll needs.
#[test]
fn one_process_and_plain_sockets() {
    let free = free();
    let (node, file) = started("plain", &config(free), Stdio::null());
    ready(free);
    let own = format!("/proc/{}", node.0.id());
    for task in entries(&format!("{own}/task")) {
        let children = std::fs::read_to_string(Path::new(&task).join("children")).unwrap_or_default();
        assert_eq!(children.trim(), "", "no other process");
    }
    let local = std::fs::read_to_string("/proc/net/unix").expect("a table");
    for fd in entries(&format!("{own}/fd")) {
        let Ok(to) = std::fs::read_link(&fd) else { continue };
        let to = to.display().to_string();
        assert!(!to.contains("io_uring"), "{to}");
        if let Some(inode) = to.strip_prefix("socket:[").and_then(|t| t.strip_suffix(']')) {
            let same = |line: &str| line.split_whitespace().nth(6) == Some(inode);
            assert!(!local.lines().any(same), "a Unix socket: nobody comes to one");
        }
    }
    std::fs::remove_file(&file).expect("written above");
}

/// One call; nobody serves it, so it is answered once its start target has passed.
fn call(id: u64) -> String {
    format!(
        "POST /do/7f3a9c2e7f3a9c2e/fire HTTP/1.1\r\nHost: app.svc\r\nX-Class: quote\r\n\
         Request-Id: {id:016x}\r\nBudget-Ms: 2000\r\nAccount: huts\r\n\
         X-Extras: memory_mb:512;lanes:64;load_ms:100\r\n\
         Content-Length: 2\r\n\r\nhi"
    )
}

/// What a client still reads, and whether its connection ended properly.
fn rest(mut conn: TcpStream) -> (String, bool) {
    conn.set_read_timeout(Some(Duration::from_secs(10))).expect("a time");
    let mut all = Vec::new();
    let ended = conn.read_to_end(&mut all).is_ok();
    (String::from_utf8_lossy(&all).into_owned(), ended)
}

// Connections that are open through a restart: one that is idle, one with half a request, one whose answer is
// owed. After SIGTERM each request that was begun gets its one final answer and the process ends by itself; a
// kill answers nobody, and nobody waits for it.
#[test]
fn restarts_with_open_connections() {
    for signal in [rustix::process::Signal::TERM, rustix::process::Signal::KILL] {
        let free = free();
        let (mut node, file) = started(&format!("{signal:?}"), &config(free), Stdio::null());
        ready(free);
        let open = || TcpStream::connect(free).expect("it listens");
        let (idle, mut half, mut owed) = (open(), open(), open());
        let (first, second) = (call(1), call(2));
        half.write_all(&first.as_bytes()[..60]).expect("it reads");
        owed.write_all(second.as_bytes()).expect("it reads");
        // The router has the whole of the second: its answer to a later check says so.
        assert!(check(free).is_some());
        let begun = Instant::now();
        rustix::process::kill_process(rustix::process::Pid::from_child(&node.0), signal).expect("it runs");
        let later = half.write_all(&first.as_bytes()[60..]).is_ok();
        let (idle, half, owed) = (rest(idle), rest(half), rest(owed));
        let status = node.0.wait().expect("it ends");
        if signal == rustix::process::Signal::TERM {
            assert_eq!(idle, (String::new(), true), "nothing was asked on it");
            for (answer, _) in [&half, &owed] {
                assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
                assert!(
                    answer.starts_with("HTTP/1.1 503") && answer.contains("Connection: close"),
                    "{answer}"
                );
            }
            assert!(later && status.success() && begun.elapsed() < Duration::from_secs(6), "{status}");
        } else {
            assert!([&idle, &half, &owed].iter().all(|(answer, _)| answer.is_empty()), "killed outright");
            assert!(begun.elapsed() < Duration::from_secs(2), "and nobody waits");
        }
        std::fs::remove_file(&file).expect("written above");
    }
}

// The process before this one still holds the address: a restart waits for it, and is ready once it is free.
#[test]
fn an_address_that_is_still_in_use() {
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = held.local_addr().expect("bound");
    let (mut node, file) = started("held", &config(at), Stdio::piped());
    let log = BufReader::new(node.0.stderr.take().expect("piped"));
    let mut lines = log.lines().map(|line| line.expect("a log of text"));
    assert!(lines.any(|line| line.contains("the address is still in use")), "it says so and goes on");
    drop(held);
    assert!(lines.any(|line| line.contains("listening")), "it does once it can");
    ready(at);
    std::fs::remove_file(&file).expect("written above");
}

// Signals that come together and more than once: each is taken, and the process ends once, by itself. It has
// no list and its name service is silent.
#[test]
fn signals_together() {
    use rustix::process::{Pid, Signal, kill_process};
    let at = free();
    let (mut node, file) = started("signals", &config(at), Stdio::null());
    ready(at);
    let mut owed = TcpStream::connect(at).expect("it listens");
    owed.write_all(call(1).as_bytes()).expect("it reads");
    assert!(check(at).is_some());
    for signal in [Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM, Signal::INT] {
        kill_process(Pid::from_child(&node.0), signal).expect("it runs");
    }
    let (answer, ended) = rest(owed);
    assert!(ended && answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(node.0.wait().expect("it ends").success());
    std::fs::remove_file(&file).expect("written above");
}

/// What another customer's settings hold and lack.
fn harbour(file: &mut Value) {
    let own = &mut file["settings"];
    own["lanes"] = json!([
        {"name": "berth", "idempotency": "idempotent", "on-time": 350.0, "deadline": 800.0, "worth": 2.0},
        {"name": "crane", "idempotency": "at_most_once", "on-time": 300.0, "deadline": 900.5, "worth": 7.0}]);
    own["projects"] = json!([]);
    own["zones"] = json!([]);
    own["allowed"] = json!({"attempts-cap": 2, "connect-timeout": 120.0, "idle-close": 3000.0});
    own.as_object_mut().expect("an object").remove("specifics");
}

fn archive(file: &mut Value) {
    let own = &mut file["settings"];
    own["lanes"] = json!([
        {"name": "file", "idempotency": "deduplicated", "group": "zone", "window": 400.0, "on-time": 900.0,
            "deadline": 30000.0, "worth": 1.0, "late-worth": 0.5, "aim-stretch": 2.0},
        {"name": "stamp", "idempotency": "deduplicated", "group": "all", "window": 60000.0, "on-time": 900.0,
            "deadline": 1000.0, "worth": 0.0},
        {"name": "seal", "idempotency": "at_most_once", "on-time": 50.0, "deadline": 60.0, "worth": 9.0}]);
    own["projects"] = json!([{"name": "town", "quota-per-s": 60.5}, {"name": "parish"}]);
    own["weights"] = "live".into();
    own["group-size"] = 3.into();
}

fn as_is(_: &mut Value) {}

// The settings of three customers: each one's classes and tenants are served by the terms that they name,
// those of another are refused.
#[test_case("as-is", as_is, &[("quote", "huts", 2000)], ("berth", "huts"); "one class")]
#[test_case(
    "harbour", harbour, &[("berth", "whoever", 800), ("crane", "", 900)], ("quote", "huts");
    "no tenants, zones that are not named, little that is allowed"
)]
#[test_case(
    "archive", archive, &[("file", "town", 30_000), ("stamp", "parish", 1000), ("seal", "town", 60)],
    ("seal", "huts"); "keyed classes and a tenant without a share"
)]
fn another_customer(name: &str, change: fn(&mut Value), own: &[(&str, &str, u64)], other: (&str, &str)) {
    let server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = free();
    let mut file = with_server(at, server.local_addr().expect("bound"));
    serves(server);
    change(&mut file);
    let (_node, file) = started(name, &file.to_string(), Stdio::null());
    ready(at);
    let ask = |n: usize, class: &str, account: &str, budget: u64| {
        let call = call(n as u64).replace("X-Class: quote", &format!("X-Class: {class}"));
        let call = call.replace("Account: huts", &format!("Account: {account}"));
        let key = "Once-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nContent-Length";
        let call = call.replace("Content-Length", key).replace("2000", &budget.to_string());
        status(at, &call).expect("an answer")
    };
    for (n, (class, account, budget)) in own.iter().enumerate() {
        assert_eq!(ask(n, class, account, *budget), "200", "{class} of {account}");
        assert_eq!(ask(n, class, account, budget + 2), "400", "more time than {class} has");
    }
    assert_eq!(ask(99, other.0, other.1, 50), "400", "another customer's");
    std::fs::remove_file(&file).expect("written above");
}

// The name service says nothing and idle clients come by the hundreds, with as many descriptors as the
// settings name and no more: the list is still asked for, a model server still connected to, and whoever asks
// is served.
#[test]
fn a_crowd_that_fills_the_descriptors() {
    let server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let names = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let at = free();
    let mut file = with_server(at, server.local_addr().expect("bound"));
    serves(server);
    file["limits"]["sockets"] = 64.into();
    file["names"] = names.local_addr().expect("bound").to_string().into();
    let (node, file) = started("crowd", &file.to_string(), Stdio::null());
    let limit = rustix::process::Rlimit { current: Some(64), maximum: Some(64) };
    let pid = rustix::process::Pid::from_child(&node.0);
    rustix::process::prlimit(Some(pid), rustix::process::Resource::Nofile, limit).expect("it runs");
    ready(at);
    let crowd: Vec<_> = (0..300).map(|_| TcpStream::connect(at).expect("it listens")).collect();
    names.set_nonblocking(true).expect("set");
    let mut question = [0; 512];
    while names.recv(&mut question).is_ok() {}
    names.set_nonblocking(false).expect("set");
    names.set_read_timeout(Some(Duration::from_secs(5))).expect("a time");
    for n in 0..5 {
        names.recv(&mut question).expect("it asks on");
        let end = Instant::now() + Duration::from_secs(10);
        while status(at, &call(n)).is_none_or(|status| status != "200") {
            assert!(Instant::now() < end, "who asks is served");
        }
    }
    let held = entries(&format!("/proc/{}/fd", node.0.id())).len();
    assert!(held <= 64 && crowd.len() == 300, "{held} descriptors");
    std::fs::remove_file(&file).expect("written above");
}

/// Clock ticks of the processor that a process has used.
fn ticks(node: &Node) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.0.id())).expect("it runs");
    let fields = stat.rsplit(')').next().expect("a name ends").split_whitespace();
    fields.skip(11).take(2).map(|field| field.parse::<u64>().expect("a number")).sum()
}

// Fewer descriptors than the settings name: accepting and asking fail for a while, without eating the
// processor, and once the crowd has gone whoever asks is served and the list is asked for.
#[test]
fn no_descriptor_is_left() {
    let server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let names = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let at = free();
    let mut file = with_server(at, server.local_addr().expect("bound"));
    serves(server);
    file["names"] = names.local_addr().expect("bound").to_string().into();
    let (node, file) = started("emfile", &file.to_string(), Stdio::null());
    ready(at);
    let limit = rustix::process::Rlimit { current: Some(16), maximum: Some(16) };
    let pid = rustix::process::Pid::from_child(&node.0);
    rustix::process::prlimit(Some(pid), rustix::process::Resource::Nofile, limit).expect("it runs");
    let crowd: Vec<_> = (0..100).map(|_| TcpStream::connect(at).expect("its kernel takes them")).collect();
    let own = format!("/proc/{}/fd", node.0.id());
    let end = Instant::now() + Duration::from_secs(10);
    while entries(&own).len() < 16 {
        assert!(Instant::now() < end, "the crowd fills them");
    }
    let (before, begun) = (ticks(&node), Instant::now());
    std::thread::sleep(Duration::from_millis(500));
    // A tick is 10 ms: a thread that spins would use nearly all of them.
    let (used, passed) = (ticks(&node) - before, begun.elapsed().as_millis() as u64 / 10);
    assert!(used * 2 < passed, "{used} of {passed} ticks");
    drop(crowd);
    let end = Instant::now() + Duration::from_secs(10);
    while status(at, &call(1)).is_none_or(|status| status != "200") {
        assert!(Instant::now() < end, "who asks is served");
    }
    let mut question = [0; 512];
    names.set_nonblocking(true).expect("set");
    while names.recv(&mut question).is_ok() {}
    names.set_nonblocking(false).expect("set");
    names.set_read_timeout(Some(Duration::from_secs(5))).expect("a time");
    names.recv(&mut question).expect("it asks on");
    std::fs::remove_file(&file).expect("written above");
}
