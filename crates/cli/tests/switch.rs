//! A running process takes new settings by SIGHUP, there and back, with a job under way.
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Looks at the state page at most: each waits for nothing but its answer.
const LOOKS: usize = 200_000;
/// No read of this test waits longer.
const PATIENCE: Duration = Duration::from_secs(20);

struct Serve {
    child: Child,
    at: SocketAddr,
}

impl Drop for Serve {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn serve(file: &Path) -> Serve {
    let mut line = Command::new(env!("CARGO_BIN_EXE_applepond"));
    line.arg("serve").arg("--with-parent").arg("--settings").arg(file);
    let mut child = line.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().expect("it starts");
    let mut told = String::new();
    BufReader::new(child.stdout.take().expect("piped")).read_line(&mut told).expect("a line");
    let at = told.trim().strip_prefix("listening ").and_then(|at| at.parse().ok()).expect("an address");
    Serve { child, at }
}

fn ask(at: SocketAddr, request: &str) -> TcpStream {
    let mut conn = TcpStream::connect(at).expect("it listens");
    conn.set_read_timeout(Some(PATIENCE)).expect("a time");
    conn.write_all(request.as_bytes()).expect("it reads");
    conn
}

/// The whole answer on a connection that ends after it.
fn told(mut conn: TcpStream) -> String {
    let mut all = String::new();
    conn.read_to_string(&mut all).expect("an answer");
    all
}

fn event(kind: &str, id: &str) -> String {
    format!(
        "POST /events HTTP/1.1\r\nHost: a\r\nConnection: close\r\nce-specversion: 1.0\r\nce-id: {id}\r\n\
         ce-source: /desk\r\nce-type: {kind}\r\nce-subject: hut\r\nContent-Length: 2\r\n\r\n{{}}"
    )
}

impl Serve {
    /// Has it read its file again, and looks until the state page says what came of it.
    fn switch(&self, file: &Path, text: &str, wanted: &str) {
        let new = file.with_extension("new");
        std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, file)).expect("a file");
        let pid = Pid::from_child(&self.child);
        kill_process(pid, Signal::HUP).expect("it runs");
        let page = "GET /-/state HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let seen = (0..LOOKS).any(|_| told(ask(self.at, page)).contains(wanted));
        assert!(seen, "{wanted} on the state page");
    }
}

fn settings(worker: SocketAddr, workload: &str, rest: &str) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\nzones = [\"a\"]\n{rest}\n\
         rules {{\n cold_share = 0.2\n warm_within = \"10s\"\n fall_multiple = 2\n fall_span = \"1s\"\n}}\n\
         workload \"{workload}\" {{\n types = [\"{workload}\"]\n effect = \"run-once\"\n\
         start_target = \"5s\"\n time_limit = \"15s\"\n}}\nworker \"w1\" {{\n address = \"{worker}\"\n}}\n"
    )
}

/// Takes one request that came to a worker; its answer is the caller's to give.
fn request(worker: &TcpListener) -> TcpStream {
    let (mut conn, _) = worker.accept().expect("a connection");
    conn.set_read_timeout(Some(PATIENCE)).expect("a time");
    let mut got = Vec::new();
    let mut byte = [0];
    while !got.ends_with(b"\r\n\r\n{}") {
        assert_eq!(conn.read(&mut byte).expect("a request"), 1, "{}", String::from_utf8_lossy(&got));
        got.push(byte[0]);
    }
    conn
}

const DONE: &[u8] =
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nce-specversion: 1.0\r\nce-id: r\r\nce-source: /w\r\n\
    ce-type: result\r\nContent-Length: 2\r\n\r\n{}";

#[test]
fn a_process_takes_new_settings_there_and_back() {
    let worker = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = worker.local_addr().expect("bound");
    let file: PathBuf = std::env::temp_dir().join(format!("applepond-switch-{}.hcl", std::process::id()));
    let old = settings(at, "book", "");
    let new = settings(at, "pay", "limits_shared = true\npermits {\n second_copies = false\n}");
    std::fs::write(&file, &old).expect("a file");
    let serve = serve(&file);
    let early = ask(serve.at, &event("book", "1"));
    let mut conn = request(&worker);
    serve.switch(&file, &new, "\"switched\":1");
    assert!(told(ask(serve.at, &event("book", "2"))).contains(" 422 "), "left out by the new settings");
    conn.write_all(DONE).expect("it waits");
    assert!(told(early).contains(" 200 OK"), "taken before the switch, answered after it");
    // A file with a fault, and one with a key that only a restart can change: nothing is switched.
    serve.switch(&file, "listen = 5", "\"kept\":1");
    serve.switch(&file, &new.replace("zones", "seed = 9\nzones"), "\"kept\":2");
    let middle = ask(serve.at, &event("pay", "3"));
    let mut conn = request(&worker);
    serve.switch(&file, &old, "\"switched\":2");
    conn.write_all(DONE).expect("it waits");
    assert!(told(middle).contains(" 200 OK"), "and on the way back");
    let late = ask(serve.at, &event("book", "2"));
    request(&worker).write_all(DONE).expect("it waits");
    assert!(told(late).contains(" 200 OK"));
    worker.set_nonblocking(true).expect("a listener");
    assert!(worker.accept().is_err(), "three jobs, three executions");
    std::fs::remove_file(&file).expect("written above");
}
