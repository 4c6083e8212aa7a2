//! A running router switches to new settings on SIGHUP, and back, with a request in flight.
mod common;
use common::*;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};

/// Maximum number of polls of the state page; there is no pause between them.
const MAX_POLLS: usize = 200_000;

fn event(kind: &str, id: &str) -> String {
    format!(
        "POST /events HTTP/1.1\r\nHost: a\r\nConnection: close\r\nce-specversion: 1.0\r\nce-id: {id}\r\n\
         ce-source: /desk\r\nce-type: {kind}\r\nce-subject: hut\r\nContent-Length: 2\r\n\r\n{{}}"
    )
}

/// Replaces the settings file, sends SIGHUP, and polls the state page until `counter` has the expected value.
fn switch(router: &RouterProcess, file: &Path, text: &str, (counter, value): (&str, u64)) {
    let new = file.with_extension("new");
    std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, file)).expect("a file");
    let pid = Pid::from_child(&router.child);
    kill_process(pid, Signal::HUP).expect("router runs");
    let seen = (0..MAX_POLLS).any(|_| state_page(router.at)["settings"][counter] == value);
    assert!(seen, "{counter} {value} on the state page");
}

fn settings(worker: SocketAddr, workload: &str, rest: &str) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\nzones = [\"a\"]\n{rest}\n\
         rules {{\n cold_share = 0.2\n warm_within = \"10s\"\n fall_multiple = 2\n fall_span = \"1s\"\n}}\n\
         workload \"{workload}\" {{\n types = [\"{workload}\"]\n effect = \"run-once\"\n\
         start_target = \"5s\"\n time_limit = \"15s\"\n}}\nworker \"w1\" {{\n address = \"{worker}\"\n}}\n"
    )
}

/// Accepts a connection at the worker and reads one request. The caller writes the response.
fn accept_request(worker: &TcpListener) -> TcpStream {
    let (mut conn, _) = worker.accept().expect("a connection");
    conn.set_read_timeout(Some(READ_TIMEOUT)).expect("a time");
    let mut got = Vec::new();
    let mut byte = [0];
    while !got.ends_with(b"\r\n\r\n{}") {
        assert_eq!(conn.read(&mut byte).expect("a request"), 1, "{}", String::from_utf8_lossy(&got));
        got.push(byte[0]);
    }
    conn
}

const WORKER_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nce-specversion: 1.0\r\nce-id: r\r\nce-source: /w\r\n\
    ce-type: result\r\nContent-Length: 2\r\n\r\n{}";

#[test]
fn settings_switch_and_switch_back() {
    let worker = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = worker.local_addr().expect("bound");
    let file: PathBuf = std::env::temp_dir().join(format!("applepond-switch-{}.hcl", std::process::id()));
    let old = settings(at, "book", "");
    let new = settings(at, "pay", "limits_shared = true\npermits {\n second_copies = false\n}");
    std::fs::write(&file, &old).expect("a file");
    let router = start_router(&file, &[]);
    let before_switch = send_request(router.at, &event("book", "1"));
    let mut conn = accept_request(&worker);
    switch(&router, &file, &new, ("switched", 1));
    assert!(
        read_response(send_request(router.at, &event("book", "2"))).contains(" 422 "),
        "type unknown to the new settings"
    );
    conn.write_all(WORKER_RESPONSE).expect("router waits for the response");
    assert!(
        read_response(before_switch).contains(" 200 OK"),
        "accepted before the switch, answered after it"
    );
    // An invalid file, and one that changes a setting which needs a restart: both are rejected.
    switch(&router, &file, "listen = 5", ("kept", 1));
    switch(&router, &file, &new.replace("zones", "seed = 9\nzones"), ("kept", 2));
    let before_return = send_request(router.at, &event("pay", "3"));
    let mut conn = accept_request(&worker);
    switch(&router, &file, &old, ("switched", 2));
    conn.write_all(WORKER_RESPONSE).expect("router waits for the response");
    assert!(
        read_response(before_return).contains(" 200 OK"),
        "accepted before the switch back, answered after it"
    );
    let after_return = send_request(router.at, &event("book", "2"));
    accept_request(&worker).write_all(WORKER_RESPONSE).expect("router waits for the response");
    assert!(read_response(after_return).contains(" 200 OK"));
    worker.set_nonblocking(true).expect("a listener");
    assert!(worker.accept().is_err(), "three requests, three attempts");
    std::fs::remove_file(&file).expect("written above");
}
