//! The time that a client has left, which counts from the first byte of its request.
//!
//! Each case runs the node on real sockets: the bad order lies in the kernel before the router looks. The
//! rows of docs/ends.md name these cases.
mod common;
use common::sockets::{Doing, SocketNode, full_server, told};
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Beyond what the client has left, a server may be told so much.
const SLACK: Duration = Duration::from_millis(150);

/// The deadline that a server was told for a request.
fn told_budget(rig: &SocketNode, id: u64) -> Duration {
    let lines = rig.peers.iter().flat_map(|peer| peer.text.lines());
    let line = lines.filter(|line| line.contains("\"DO\"")).find(|line| line.contains(&name(id)));
    let line: serde_json::Value = serde_json::from_str(line.expect("it was sent")).expect("a line is JSON");
    let budget = &line["attrs"]["budget"];
    let budget = budget.as_u64().or_else(|| budget.as_str()?.parse().ok());
    Duration::from_millis(budget.expect("a number of milliseconds"))
}

/// The server may be told what the client had left when it read the line, and the slack.
fn assert_within(rig: &SocketNode, id: u64, begun: Instant, by: Duration) {
    let left = Duration::from_millis(2_000).saturating_sub(by);
    let told = told_budget(rig, id);
    assert!(told <= left + SLACK, "told {told:?}, and of {:?} the client has {left:?}", begun.elapsed());
}

// A request comes in pieces: its client counts from the first byte.
#[test_case(20; "amid its head")]
#[test_case(usize::MAX; "amid its body")]
fn a_deadline_counts_from_the_first_byte(cut: usize) {
    let mut rig = SocketNode::new(1, |_| ());
    rig.served(1);
    let text = call("quote", 2);
    let cut = cut.min(text.len() - 1);
    let mut client = rig.client();
    let begun = Instant::now();
    client.write_all(&text.as_bytes()[..cut]).expect("written");
    rig.quiet();
    rig.runs_for(600 * MS);
    let by = begun.elapsed();
    client.write_all(&text.as_bytes()[cut..]).expect("written");
    rig.carries(2);
    assert_within(&rig, 2, begun, by);
}

// The router stands still while a request lies in the kernel, on a connection that stands or on a new one.
#[test_case(true; "on a connection that stands")]
#[test_case(false; "on a new one")]
fn a_deadline_counts_through_a_standstill(stands: bool) {
    let mut rig = SocketNode::new(1, |_| ());
    rig.served(1);
    let mut client = if stands { rig.client() } else { TcpStream::connect(rig.at).expect("it listens") };
    let begun = Instant::now();
    client.write_all(call("quote", 2).as_bytes()).expect("written");
    rig.stands_still(400 * MS);
    let by = begun.elapsed();
    rig.carries(2);
    assert_within(&rig, 2, begun, by);
}

// A connection to the server comes up late: it is told what is left when its line is written.
#[test]
fn a_deadline_counts_through_a_late_connection() {
    let (server, queue) = full_server();
    let mut rig = SocketNode::at(vec![server], |file| {
        file["settings"]["allowed"]["connect-timeout"] = 5000.0.into();
    });
    rig.doing = Doing::Shut;
    let mut client = rig.client();
    let begun = Instant::now();
    client.write_all(call("quote", 2).as_bytes()).expect("written");
    rig.until("connecting", |rig| rig.node.borrow().open_counts().worker_connections == 1);
    rig.runs_for(500 * MS);
    let by = begun.elapsed();
    // The kernel tries again about a second after its first try.
    drop(queue);
    rig.doing = Doing::Serves;
    rig.carries(2);
    assert_within(&rig, 2, begun, by);
}

// Behind a request that waits lies the next one of the same client: its time runs as well.
#[test]
fn a_pipelined_requests_deadline_counts_from_its_first_byte() {
    let mut rig = SocketNode::new(1, |_| ());
    let (mut client, connection) = rig.carried("quote", 1);
    let begun = Instant::now();
    client.write_all(call("quote", 2).as_bytes()).expect("written");
    rig.runs_for(600 * MS);
    let by = begun.elapsed();
    rig.peers[connection].send(&word("OK", 1));
    rig.carries(2);
    assert_within(&rig, 2, begun, by);
}

// The list names no server: a request on a new connection is answered all the same, also amid an exit.
#[test_case(false; "while it runs on")]
#[test_case(true; "while it leaves")]
fn requests_are_rejected_when_no_server_is_listed(leaves: bool) {
    let mut rig = SocketNode::new(0, |_| ());
    let mut client = TcpStream::connect(rig.at).expect("it listens");
    client.write_all(call("quote", 1).as_bytes()).expect("written");
    rig.until("read", |rig| rig.node.borrow().open_counts().requests == 1);
    if leaves {
        rig.leaves();
    }
    rig.until("ended", |rig| rig.node.borrow().open_counts().requests == 0);
    rig.leaves();
    let answer = rig.rest(client);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

// A request has more time than the platform leaves a process that is told to leave: it is answered before
// that process is killed, 3.7 s after SIGTERM, whether it is held or out at a server.
#[test_case(0, "quote", "503"; "held")]
#[test_case(1, "quote", "503"; "out, and may be repeated")]
#[test_case(1, "confirm", "502"; "out, and may not be")]
fn a_shutdown_answers_requests_whose_deadline_is_beyond_it(servers: u16, workload: &str, status: &str) {
    let mut rig = SocketNode::new(servers, |file| {
        for lane in 0..3 {
            file["settings"]["lanes"][lane]["on-time"] = 7000.0.into();
            file["settings"]["lanes"][lane]["deadline"] = 9000.0.into();
        }
    });
    let mut client = rig.client();
    let ask = call(workload, 1).replace("Budget-Ms: 2000", "Budget-Ms: 9000");
    client.write_all(ask.as_bytes()).expect("written");
    if servers > 0 {
        rig.carries(1);
    } else {
        rig.quiet();
    }
    let told = Instant::now();
    rig.leaves();
    let answer = rig.rest(client);
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    assert!(told.elapsed() < Duration::from_millis(3_700), "answered after {:?}", told.elapsed());
}

// A client goes with the last piece of its body: nobody waits for it.
#[test]
fn a_hang_up_behind_a_body_in_pieces_stops_its_request() {
    let mut rig = SocketNode::new(1, |_| ());
    rig.served(1);
    let text = call("quote", 2);
    let (head, last) = text.as_bytes().split_at(text.len() - 1);
    let mut client = rig.client();
    client.write_all(head).expect("written");
    rig.quiet();
    client.write_all(last).expect("written");
    rig.hangs_up(client);
    rig.until("seen", |rig| rig.requests_and_clients() == (0, 0));
    assert_eq!(told(&rig.ends(), "DO", 2), 0, "nobody waits for it");
}
