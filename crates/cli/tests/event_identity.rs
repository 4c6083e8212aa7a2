//! Events under the source and id of a workflow whose router was killed: as processes, with the record on
//! disk.
mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use test_case::test_case;

/// Settings with an at-most-once and an idempotent workload, and a workflow that holds a bed and confirms.
fn settings(worker: SocketAddr, record: &Path) -> String {
    let workload = |name: &str, effect: &str| {
        format!(
            "workload \"{name}\" {{\n types = [\"{name}\"]\n effect = \"{effect}\"\n start_target = \"5s\"\n \
             time_limit = \"15s\"\n}}\n"
        )
    };
    format!(
        "listen = \"127.0.0.1:0\"\nzones = [\"a\"]\nrecord = \"{}\"\n\
         rules {{\n cold_share = 0.2\n warm_within = \"10s\"\n fall_multiple = 2\n fall_span = \"1s\"\n}}\n\
         {}{}{}customer \"huts\" {{\n jobs_per_s = 60\n}}\ncustomer \"inns\" {{\n jobs_per_s = 60\n}}\n\
         chain \"book\" {{\n types = [\"book\", \"rebook\"]\n time_limit = \"15s\"\n\
         step \"beds\" {{\n workload = \"hold\"\n next {{\n go = \"confirm\"\n }}\n }}\n\
         step \"confirm\" {{\n workload = \"confirm\"\n }}\n}}\n\
         worker \"w1\" {{\n address = \"{worker}\"\n}}\n",
        record.display(),
        workload("quote", "restartable"),
        workload("hold", "restartable"),
        workload("confirm", "run-once"),
    )
}

/// An event of `/desk` with the id 1.
fn event(kind: &str, customer: &str, data: &str) -> String {
    format!(
        "POST /events HTTP/1.1\r\nHost: a\r\nConnection: close\r\nce-specversion: 1.0\r\nce-id: 1\r\n\
         ce-source: /desk\r\nce-type: {kind}\r\nce-subject: hut\r\nce-customer: {customer}\r\n\
         Content-Length: {}\r\n\r\n{data}",
        data.len()
    )
}

/// Accepts a connection at the worker and reads one request with this data.
fn accept_request(worker: &TcpListener, data: &str) -> (TcpStream, String) {
    let (mut conn, _) = worker.accept().expect("a connection");
    conn.set_read_timeout(Some(READ_TIMEOUT)).expect("a time");
    let end = format!("\r\n\r\n{data}");
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(end.as_bytes()) {
        let read = conn.read(&mut byte).expect("a request");
        assert_eq!(read, 1, "{}", String::from_utf8_lossy(&request));
        request.push(byte[0]);
    }
    (conn, String::from_utf8(request).expect("text"))
}

/// The worker's result, which names what it was made for.
fn respond(mut conn: TcpStream, id: &str) {
    let body = format!("{{\"for\":\"{id}\"}}");
    let response = format!(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nce-specversion: 1.0\r\nce-id: {id}\r\nce-source: /w\r\n\
         ce-type: result\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    conn.write_all(response.as_bytes()).expect("router waits for the response");
}

/// A router with a worker and a record file, which can be killed and started again.
struct Testbed {
    worker: TcpListener,
    folder: PathBuf,
    file: PathBuf,
    router: Option<RouterProcess>,
}

impl Testbed {
    fn new(name: &str) -> Self {
        let worker = TcpListener::bind("127.0.0.1:0").expect("a port");
        let folder = std::env::temp_dir().join(format!("applepond-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let file = folder.join("settings.hcl");
        let at = worker.local_addr().expect("bound");
        std::fs::write(&file, settings(at, &folder.join("record"))).expect("a file");
        let router = Some(start_router(&file, &[]));
        Testbed { worker, folder, file, router }
    }

    fn send(&self, request: &str) -> TcpStream {
        send_request(self.router.as_ref().expect("router runs").at, request)
    }

    /// Kills the router outright, and starts another on its record.
    fn kill(&mut self) {
        drop(self.router.take());
        self.router = Some(start_router(&self.file, &[]));
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

const DATA: &str = "{\"guest\":\"A\"}";
const OTHER_DATA: &str = "{\"guest\":\"B\"}";

// Regression: after a kill, an event under the id of a workflow on record was answered with that workflow's
// answer, or run beside it. The retry of the workflow itself is answered from its record.
#[test_case("book", "huts", OTHER_DATA; "other data")]
#[test_case("book", "inns", DATA; "another customer")]
#[test_case("rebook", "huts", DATA; "another type of the workflow")]
#[test_case("confirm", "inns", OTHER_DATA; "a request")]
fn another_event_is_refused_after_a_kill(kind: &str, customer: &str, data: &str) {
    let name = format!("identity-{kind}-{customer}-{}", data.len() + usize::from(data == OTHER_DATA));
    let mut testbed = Testbed::new(&name);
    let client = testbed.send(&event("book", "huts", DATA));
    let (conn, request) = accept_request(&testbed.worker, DATA);
    assert!(request.contains("ce-id: 1/beds\r\n"), "{request}");
    respond(conn, "beds");
    let (conn, request) = accept_request(&testbed.worker, DATA);
    assert!(request.contains("ce-id: 1/confirm\r\n"), "{request}");
    let while_open = read_response(testbed.send(&event(kind, customer, data)));
    assert!(while_open.contains("HTTP/1.1 409 ") && while_open.contains("id-conflict"), "{while_open}");
    respond(conn, "confirm");
    assert!(read_response(client).contains("{\"for\":\"confirm\"}"));
    testbed.kill();
    let after_kill = read_response(testbed.send(&event(kind, customer, data)));
    assert!(after_kill.contains("HTTP/1.1 409 ") && after_kill.contains("id-conflict"), "{after_kill}");
    assert!(!after_kill.contains("Retry-After") && !after_kill.contains("no harm"), "{after_kill}");
    let retry = event("book", "huts", DATA).replacen("ce-id", "ce-retry: true\r\nce-id", 1);
    assert!(read_response(testbed.send(&retry)).contains("{\"for\":\"confirm\"}"));
    testbed.worker.set_nonblocking(true).expect("a listener");
    assert!(testbed.worker.accept().is_err(), "two steps, two attempts");
}

// The router is killed while the confirmation runs: it may have run. Neither event is told otherwise, and
// nothing is sent again.
#[test]
fn nothing_is_promised_of_an_interrupted_workflow() {
    let mut testbed = Testbed::new("identity-interrupted");
    let _client = testbed.send(&event("book", "huts", DATA));
    let (conn, _) = accept_request(&testbed.worker, DATA);
    respond(conn, "beds");
    let _confirmation = accept_request(&testbed.worker, DATA);
    testbed.kill();
    let other = read_response(testbed.send(&event("book", "huts", OTHER_DATA)));
    assert!(other.contains("HTTP/1.1 409 ") && other.contains("id-conflict"), "{other}");
    let retry = read_response(testbed.send(&event("book", "huts", DATA)));
    assert!(retry.contains("HTTP/1.1 502 ") && !retry.contains("no harm"), "{retry}");
    let again = read_response(testbed.send(&event("confirm", "huts", DATA)));
    assert!(again.contains("HTTP/1.1 409 "), "{again}");
    testbed.worker.set_nonblocking(true).expect("a listener");
    assert!(testbed.worker.accept().is_err(), "no further attempt");
}
