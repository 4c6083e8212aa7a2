//! Tests of an `applepond node` process over its sockets, for the requirements of the operators' standing
//! test.
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Maximum time to wait for something that is to come.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

struct NodeProcess(Child);

impl Drop for NodeProcess {
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

/// Settings with one model server in service.
fn settings_with_server(listen: SocketAddr, server: SocketAddr) -> Value {
    let mut file = settings(listen);
    let member = json!({"id": "s-1", "host_port": server.to_string(), "locality": "room-1", "flavor": "std",
        "cell": 0, "phase": "in_service", "size": 4.0, "up_since_ms": 0});
    file["known"]["updates"][0]["endpoints"]["members"] = json!([member]);
    file
}

/// Runs a model server that responds with OK to each request, until the router exits.
fn spawn_model_server(server: TcpListener) {
    std::thread::spawn(move || {
        for stream in server.incoming() {
            let mut stream = stream.expect("a connection");
            let lines = BufReader::new(stream.try_clone().expect("a descriptor")).lines();
            std::thread::spawn(move || {
                for line in lines.map_while(Result::ok) {
                    let line: Value = serde_json::from_str(&line).expect("a line of JSON");
                    let response = json!({"verb": "OK", "rid": line["rid"], "attrs": {"detail": "hit"},
                        "content": "b2s="});
                    if line["verb"] == "DO" && writeln!(stream, "{response}").is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends a request on a new connection and returns the status code of the response.
fn response_status(at: SocketAddr, request: &str) -> Option<String> {
    let mut conn = TcpStream::connect(at).ok()?;
    conn.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    conn.write_all(request.as_bytes()).ok()?;
    let mut head = [0; 12];
    conn.read_exact(&mut head).ok()?;
    Some(String::from_utf8_lossy(&head[9..]).into_owned())
}

/// Starts a node with this configuration, which is written to a temporary file.
fn start_node(name: &str, config: &str, log: Stdio) -> (NodeProcess, PathBuf) {
    let file = std::env::temp_dir().join(format!("applepond-node-{}-{name}.json", std::process::id()));
    std::fs::write(&file, config).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_applepond"));
    command.arg("node").env("PROXY_CONFIG", &file).stdout(Stdio::null()).stderr(log);
    (NodeProcess(command.spawn().expect("node starts")), file)
}

fn wait_until_ready(at: SocketAddr) {
    let end = Instant::now() + Duration::from_secs(20);
    while !health_check(at).is_some_and(|response| response.starts_with("HTTP/1.1 200")) {
        assert!(Instant::now() < end, "health check succeeds");
    }
}

/// A free address on a loopback address of its own. Outgoing connections have the source 127.0.0.1, so none
/// of them takes the port before the node listens there.
fn free_address() -> SocketAddr {
    static ADDRESSES: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(127, high | 1, low, ADDRESSES.fetch_add(1, Ordering::Relaxed));
    TcpListener::bind((own, 0)).and_then(|listener| listener.local_addr()).expect("a port")
}

fn health_check(at: SocketAddr) -> Option<String> {
    let mut conn = TcpStream::connect(at).ok()?;
    conn.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    conn.write_all(b"GET /check HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").ok()?;
    let mut all = String::new();
    conn.read_to_string(&mut all).ok()?;
    Some(all)
}

fn directory_entries(directory: &str) -> Vec<String> {
    let read = std::fs::read_dir(directory).expect("the process runs");
    read.flatten().map(|entry| entry.path().display().to_string()).collect()
}

// The operators' test bench intercepts calls of the C library, which works only with dynamic linking.
#[test]
fn dynamically_linked_to_the_c_library() {
    let program = std::fs::read(env!("CARGO_BIN_EXE_applepond")).expect("built");
    let contains = |text: &[u8]| program.windows(text.len()).any(|window| window == text);
    assert!(contains(b"/ld-linux") && contains(b"libc.so.6\0"), "the interpreter and libc are named");
}

// The node starts no other process, and uses neither io_uring nor Unix sockets.
#[test]
fn single_process_with_inet_sockets() {
    let at = free_address();
    let (node, file) = start_node("plain", &config(at), Stdio::null());
    wait_until_ready(at);
    let proc_directory = format!("/proc/{}", node.0.id());
    for task in directory_entries(&format!("{proc_directory}/task")) {
        let children = std::fs::read_to_string(Path::new(&task).join("children")).unwrap_or_default();
        assert_eq!(children.trim(), "", "no child process");
    }
    let unix_sockets = std::fs::read_to_string("/proc/net/unix").expect("a table");
    for fd in directory_entries(&format!("{proc_directory}/fd")) {
        let Ok(target) = std::fs::read_link(&fd) else { continue };
        let target = target.display().to_string();
        assert!(!target.contains("io_uring"), "{target}");
        if let Some(inode) = target.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']')) {
            let has_inode = |line: &str| line.split_whitespace().nth(6) == Some(inode);
            assert!(!unix_sockets.lines().any(has_inode), "a Unix socket");
        }
    }
    std::fs::remove_file(&file).expect("written above");
}

/// A request. Without a model server it is answered once its start target has passed.
fn request(id: u64) -> String {
    format!(
        "POST /do/7f3a9c2e7f3a9c2e/fire HTTP/1.1\r\nHost: app.svc\r\nX-Class: quote\r\n\
         Request-Id: {id:016x}\r\nBudget-Ms: 2000\r\nAccount: huts\r\n\
         X-Extras: memory_mb:512;lanes:64;load_ms:100\r\n\
         Content-Length: 2\r\n\r\nhi"
    )
}

/// Reads a connection to its end. Returns the text and whether the connection was closed without an error.
fn read_to_close(mut conn: TcpStream) -> (String, bool) {
    conn.set_read_timeout(Some(Duration::from_secs(10))).expect("a time");
    let mut bytes = Vec::new();
    let closed = conn.read_to_end(&mut bytes).is_ok();
    (String::from_utf8_lossy(&bytes).into_owned(), closed)
}

// Stops a node with an idle connection, a half-sent request and a pending request. After SIGTERM, each
// started request gets exactly one final response and the process exits. After SIGKILL there are no
// responses, and all connections end at once.
#[test]
fn restarts_with_open_connections() {
    for signal in [rustix::process::Signal::TERM, rustix::process::Signal::KILL] {
        let at = free_address();
        let (mut node, file) = start_node(&format!("{signal:?}"), &config(at), Stdio::null());
        wait_until_ready(at);
        let open = || TcpStream::connect(at).expect("node listens");
        let (idle, mut half_sent, mut pending) = (open(), open(), open());
        let (first, second) = (request(1), request(2));
        half_sent.write_all(&first.as_bytes()[..60]).expect("request sent");
        pending.write_all(second.as_bytes()).expect("request sent");
        // The response to a later health check shows that the router has received all of the second request.
        assert!(health_check(at).is_some());
        let start = Instant::now();
        rustix::process::kill_process(rustix::process::Pid::from_child(&node.0), signal).expect("node runs");
        let sent_rest = half_sent.write_all(&first.as_bytes()[60..]).is_ok();
        let (idle, half_sent, pending) =
            (read_to_close(idle), read_to_close(half_sent), read_to_close(pending));
        let status = node.0.wait().expect("node exits");
        if signal == rustix::process::Signal::TERM {
            assert_eq!(idle, (String::new(), true), "the idle connection gets no response");
            for (response, _) in [&half_sent, &pending] {
                assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{response}");
                assert!(
                    response.starts_with("HTTP/1.1 503") && response.contains("Connection: close"),
                    "{response}"
                );
            }
            assert!(sent_rest && status.success() && start.elapsed() < Duration::from_secs(6), "{status}");
        } else {
            assert!(
                [&idle, &half_sent, &pending].iter().all(|(response, _)| response.is_empty()),
                "no response after SIGKILL"
            );
            assert!(start.elapsed() < Duration::from_secs(2), "connections end at once");
        }
        std::fs::remove_file(&file).expect("written above");
    }
}

// While the previous process still holds the address, a restarted node waits for it and is ready once it is
// free.
#[test]
fn waits_for_an_address_in_use() {
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = held.local_addr().expect("bound");
    let (mut node, file) = start_node("held", &config(at), Stdio::piped());
    let log = BufReader::new(node.0.stderr.take().expect("piped"));
    let mut lines = log.lines().map(|line| line.expect("a log line"));
    assert!(lines.any(|line| line.contains("the address is still in use")), "the wait is logged");
    drop(held);
    assert!(lines.any(|line| line.contains("listening")), "the node listens once the address is free");
    wait_until_ready(at);
    std::fs::remove_file(&file).expect("written above");
}

/// Runs a model server that responds with OK to each request, and passes on the budget that it was told.
fn spawn_budget_server(server: TcpListener) -> Receiver<u64> {
    let (budgets, received) = channel();
    std::thread::spawn(move || {
        let mut stream = server.accept().expect("a connection").0;
        let lines = BufReader::new(stream.try_clone().expect("a descriptor")).lines();
        for line in lines.map_while(Result::ok) {
            let line: Value = serde_json::from_str(&line).expect("a line of JSON");
            let response = json!({"verb": "OK", "rid": line["rid"], "attrs": {"detail": "hit"},
                "content": "b2s="});
            if line["verb"] == "DO" {
                let budget = line["attrs"]["budget"].as_u64().expect("a budget");
                let is_received = budgets.send(budget).is_ok();
                if !is_received || writeln!(stream, "{response}").is_err() {
                    return;
                }
            }
        }
    });
    received
}

// Regression: the kernel interrupts the wait of a process that is stopped and continued. A request that had
// come meanwhile was taken for one that came afterwards, and had all of its time anew.
#[test]
fn the_time_of_a_request_counts_while_the_process_is_stopped() {
    use rustix::process::{Pid, Signal, kill_process};
    const BUDGET_MS: u64 = 2000;
    const STOPPED_MS: u64 = 700;
    let server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = free_address();
    let file = settings_with_server(at, server.local_addr().expect("bound"));
    let budgets = spawn_budget_server(server);
    let (node, file) = start_node("stopped", &file.to_string(), Stdio::null());
    wait_until_ready(at);
    assert_eq!(response_status(at, &request(0)).as_deref(), Some("200"));
    let budget = budgets.recv_timeout(READ_TIMEOUT).expect("a request");
    assert!(budget > BUDGET_MS - STOPPED_MS, "{budget} ms without a stop");
    let pid = Pid::from_child(&node.0);
    for n in 1..=3 {
        let mut client = TcpStream::connect(at).expect("node listens");
        client.set_read_timeout(Some(READ_TIMEOUT)).expect("a time");
        assert!(health_check(at).is_some(), "it has accepted the client");
        kill_process(pid, Signal::STOP).expect("node runs");
        client.write_all(request(n).as_bytes()).expect("the kernel takes it");
        let early = budgets.recv_timeout(Duration::from_millis(STOPPED_MS));
        assert!(early.is_err(), "nothing is sent while it is stopped");
        kill_process(pid, Signal::CONT).expect("node runs");
        let budget = budgets.recv_timeout(READ_TIMEOUT).expect("a request");
        assert!(budget <= BUDGET_MS - STOPPED_MS, "{budget} ms left after {STOPPED_MS} of {BUDGET_MS}");
    }
    std::fs::remove_file(&file).expect("written above");
}

// Repeated signals of several kinds are all handled, and the process shuts down cleanly once. It has no
// endpoint list, and its name service does not respond.
#[test]
fn repeated_signals() {
    use rustix::process::{Pid, Signal, kill_process};
    let at = free_address();
    let (mut node, file) = start_node("signals", &config(at), Stdio::null());
    wait_until_ready(at);
    let mut pending = TcpStream::connect(at).expect("node listens");
    pending.write_all(request(1).as_bytes()).expect("request sent");
    assert!(health_check(at).is_some());
    for signal in [Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM, Signal::INT] {
        kill_process(Pid::from_child(&node.0), signal).expect("node runs");
    }
    let (response, closed) = read_to_close(pending);
    assert!(closed && response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(node.0.wait().expect("node exits").success());
    std::fs::remove_file(&file).expect("written above");
}

/// Settings of a customer without tenants and zones, with a few options only.
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

/// Settings of a customer with classes that are deduplicated by key, and with a tenant that has no quota.
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

/// Leaves the settings unchanged.
fn as_is(_: &mut Value) {}

// With the settings of each of three customers, the customer's own classes and tenants are served within
// their deadlines, and those of another customer are rejected.
#[test_case("as-is", as_is, &[("quote", "huts", 2000)], ("berth", "huts"); "one class")]
#[test_case(
    "harbour", harbour, &[("berth", "whoever", 800), ("crane", "", 900)], ("quote", "huts");
    "no tenants or zones, few options"
)]
#[test_case(
    "archive", archive, &[("file", "town", 30_000), ("stamp", "parish", 1000), ("seal", "town", 60)],
    ("seal", "huts"); "keyed classes and a tenant without a quota"
)]
fn customer_settings(name: &str, change: fn(&mut Value), own: &[(&str, &str, u64)], other: (&str, &str)) {
    let server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = free_address();
    let mut file = settings_with_server(at, server.local_addr().expect("bound"));
    spawn_model_server(server);
    change(&mut file);
    let (_node, file) = start_node(name, &file.to_string(), Stdio::null());
    wait_until_ready(at);
    let send = |n: usize, class: &str, account: &str, budget: u64| {
        let request = request(n as u64).replace("X-Class: quote", &format!("X-Class: {class}"));
        let request = request.replace("Account: huts", &format!("Account: {account}"));
        let key = "Once-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nContent-Length";
        let request = request.replace("Content-Length", key).replace("2000", &budget.to_string());
        response_status(at, &request).expect("a response")
    };
    for (n, (class, account, budget)) in own.iter().enumerate() {
        assert_eq!(send(n, class, account, *budget), "200", "{class} of {account}");
        assert_eq!(send(n, class, account, budget + 2), "400", "budget above the deadline of {class}");
    }
    assert_eq!(send(99, other.0, other.1, 50), "400", "class or tenant of another customer");
    std::fs::remove_file(&file).expect("written above");
}

// Hundreds of idle clients connect while the name service does not respond and the descriptor limit is that
// of the settings. The node still queries the name service, connects to the model server and serves requests.
#[test]
fn idle_clients_at_the_descriptor_limit() {
    let server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let names = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let at = free_address();
    let mut file = settings_with_server(at, server.local_addr().expect("bound"));
    spawn_model_server(server);
    file["limits"]["sockets"] = 64.into();
    file["names"] = names.local_addr().expect("bound").to_string().into();
    let (node, file) = start_node("crowd", &file.to_string(), Stdio::null());
    let limit = rustix::process::Rlimit { current: Some(64), maximum: Some(64) };
    let pid = rustix::process::Pid::from_child(&node.0);
    rustix::process::prlimit(Some(pid), rustix::process::Resource::Nofile, limit).expect("node runs");
    wait_until_ready(at);
    let idle_clients: Vec<_> = (0..300).map(|_| TcpStream::connect(at).expect("node listens")).collect();
    names.set_nonblocking(true).expect("set");
    let mut question = [0; 512];
    while names.recv(&mut question).is_ok() {}
    names.set_nonblocking(false).expect("set");
    names.set_read_timeout(Some(Duration::from_secs(5))).expect("a time");
    for n in 0..5 {
        names.recv(&mut question).expect("the name service is queried again");
        let end = Instant::now() + Duration::from_secs(10);
        while response_status(at, &request(n)).is_none_or(|status| status != "200") {
            assert!(Instant::now() < end, "requests are served");
        }
    }
    let open = directory_entries(&format!("/proc/{}/fd", node.0.id())).len();
    assert!(open <= 64 && idle_clients.len() == 300, "{open} descriptors");
    std::fs::remove_file(&file).expect("written above");
}

/// CPU time that a process has used, in clock ticks.
fn cpu_ticks(node: &NodeProcess) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.0.id())).expect("node runs");
    let fields = stat.rsplit(')').next().expect("a name ends").split_whitespace();
    fields.skip(11).take(2).map(|field| field.parse::<u64>().expect("a number")).sum()
}

// With fewer descriptors than the settings allow for, accepting clients and querying the name service fail
// for a while, without busy looping. Both work again once the idle clients have left.
#[test]
fn descriptors_exhausted() {
    let server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let names = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let at = free_address();
    let mut file = settings_with_server(at, server.local_addr().expect("bound"));
    spawn_model_server(server);
    file["names"] = names.local_addr().expect("bound").to_string().into();
    let (node, file) = start_node("emfile", &file.to_string(), Stdio::null());
    wait_until_ready(at);
    let limit = rustix::process::Rlimit { current: Some(16), maximum: Some(16) };
    let pid = rustix::process::Pid::from_child(&node.0);
    rustix::process::prlimit(Some(pid), rustix::process::Resource::Nofile, limit).expect("node runs");
    let idle_clients: Vec<_> =
        (0..100).map(|_| TcpStream::connect(at).expect("the kernel accepts connections")).collect();
    let descriptors = format!("/proc/{}/fd", node.0.id());
    let end = Instant::now() + Duration::from_secs(10);
    while directory_entries(&descriptors).len() < 16 {
        assert!(Instant::now() < end, "the idle clients use all descriptors");
    }
    let (before, start) = (cpu_ticks(&node), Instant::now());
    std::thread::sleep(Duration::from_millis(500));
    // A tick is 10 ms. A busy loop would use nearly all of the elapsed ticks.
    let (used, elapsed) = (cpu_ticks(&node) - before, start.elapsed().as_millis() as u64 / 10);
    assert!(used * 2 < elapsed, "{used} of {elapsed} ticks");
    drop(idle_clients);
    let end = Instant::now() + Duration::from_secs(10);
    while response_status(at, &request(1)).is_none_or(|status| status != "200") {
        assert!(Instant::now() < end, "requests are served");
    }
    let mut question = [0; 512];
    names.set_nonblocking(true).expect("set");
    while names.recv(&mut question).is_ok() {}
    names.set_nonblocking(false).expect("set");
    names.set_read_timeout(Some(Duration::from_secs(5))).expect("a time");
    names.recv(&mut question).expect("the name service is queried again");
    std::fs::remove_file(&file).expect("written above");
}
