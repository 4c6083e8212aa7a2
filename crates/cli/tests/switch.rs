//! A running process takes new settings by SIGHUP, there and back, with a request under way.
mod common;
use common::*;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};

/// Looks at the state page at most: each waits for nothing but its answer.
const LOOKS: usize = 200_000;
fn event(kind: &str, id: &str) -> String {
    format!(
        "POST /events HTTP/1.1\r\nHost: a\r\nConnection: close\r\nce-specversion: 1.0\r\nce-id: {id}\r\n\
         ce-source: /desk\r\nce-type: {kind}\r\nce-subject: hut\r\nContent-Length: 2\r\n\r\n{{}}"
    )
}

/// Has it read its file again, and looks until the state page says what came of it.
fn switch(serve: &Serve, file: &Path, text: &str, (wanted, times): (&str, u64)) {
    let new = file.with_extension("new");
    std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, file)).expect("a file");
    let pid = Pid::from_child(&serve.child);
    kill_process(pid, Signal::HUP).expect("it runs");
    let seen = (0..LOOKS).any(|_| state(serve.at)["settings"][wanted] == times);
    assert!(seen, "{wanted} {times} on the state page");
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
    let serve = serve(&file, &[]);
    let early = ask(serve.at, &event("book", "1"));
    let mut conn = request(&worker);
    switch(&serve, &file, &new, ("switched", 1));
    assert!(told(ask(serve.at, &event("book", "2"))).contains(" 422 "), "left out by the new settings");
    conn.write_all(DONE).expect("it waits");
    assert!(told(early).contains(" 200 OK"), "taken before the switch, answered after it");
    // A file with a fault, and one with a key that only a restart can change: nothing is switched.
    switch(&serve, &file, "listen = 5", ("kept", 1));
    switch(&serve, &file, &new.replace("zones", "seed = 9\nzones"), ("kept", 2));
    let middle = ask(serve.at, &event("pay", "3"));
    let mut conn = request(&worker);
    switch(&serve, &file, &old, ("switched", 2));
    conn.write_all(DONE).expect("it waits");
    assert!(told(middle).contains(" 200 OK"), "and on the way back");
    let late = ask(serve.at, &event("book", "2"));
    request(&worker).write_all(DONE).expect("it waits");
    assert!(told(late).contains(" 200 OK"));
    worker.set_nonblocking(true).expect("a listener");
    assert!(worker.accept().is_err(), "three jobs, three attempts");
    std::fs::remove_file(&file).expect("written above");
}
