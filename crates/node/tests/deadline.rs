//! Deadlines: the time left to a client counts from the first byte of its request.
//!
//! Each test runs the node on real sockets and brings events into an unfavourable order in the kernel before
//! the router polls. docs/ends.md lists these tests by name.
mod common;
use common::sockets::{ServerBehavior, SocketNode, line_count, server_with_full_backlog};
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Tolerance by which the deadline sent to a server may exceed the client's remaining time.
const SLACK: Duration = Duration::from_millis(150);

/// The deadline that was sent to a server for a request.
fn sent_budget(rig: &SocketNode, id: u64) -> Duration {
    let lines = rig.peers.iter().flat_map(|peer| peer.text.lines());
    let line = lines.filter(|line| line.contains("\"DO\"")).find(|line| line.contains(&request_id(id)));
    let line: serde_json::Value =
        serde_json::from_str(line.expect("the request was sent")).expect("a line is JSON");
    let budget = &line["attrs"]["budget"];
    let budget = budget.as_u64().or_else(|| budget.as_str()?.parse().ok());
    Duration::from_millis(budget.expect("a number of milliseconds"))
}

/// Checks that the deadline sent to the server is at most the client's time left, after `elapsed` of its 2 s,
/// plus the tolerance.
fn assert_within(rig: &SocketNode, id: u64, begun: Instant, elapsed: Duration) {
    let left = Duration::from_millis(2_000).saturating_sub(elapsed);
    let sent = sent_budget(rig, id);
    assert!(sent <= left + SLACK, "sent {sent:?}, but after {:?} the client has {left:?}", begun.elapsed());
}

// A request arrives in two pieces. The deadline counts from the first byte, not from the complete request.
#[test_case(20; "within its head")]
#[test_case(usize::MAX; "within its body")]
fn a_deadline_counts_from_the_first_byte(first_bytes: usize) {
    let mut rig = SocketNode::new(1, |_| ());
    rig.complete_request(1);
    let text = call("quote", 2);
    let first_bytes = first_bytes.min(text.len() - 1);
    let mut client = rig.client();
    let begun = Instant::now();
    client.write_all(&text.as_bytes()[..first_bytes]).expect("written");
    rig.settle();
    rig.run_for(600 * MS);
    let elapsed = begun.elapsed();
    client.write_all(&text.as_bytes()[first_bytes..]).expect("written");
    rig.connection_of(2);
    assert_within(&rig, 2, begun, elapsed);
}

// The router is paused while a request is pending in the kernel, on an established or a new connection. The
// pause counts towards the deadline.
#[test_case(true; "on an established connection")]
#[test_case(false; "on a new one")]
fn a_deadline_counts_through_a_standstill(is_established: bool) {
    let mut rig = SocketNode::new(1, |_| ());
    rig.complete_request(1);
    let mut client = if is_established {
        rig.client()
    } else {
        TcpStream::connect(rig.address).expect("the node listens")
    };
    let begun = Instant::now();
    client.write_all(call("quote", 2).as_bytes()).expect("written");
    rig.pause(400 * MS);
    let elapsed = begun.elapsed();
    rig.connection_of(2);
    assert_within(&rig, 2, begun, elapsed);
}

// A connection to the server is established late. The deadline sent is the time left when the line is
// written.
#[test]
fn a_deadline_counts_through_a_late_connection() {
    let (server, queue) = server_with_full_backlog();
    let mut rig = SocketNode::with_servers(vec![server], |config_json| {
        config_json["settings"]["allowed"]["connect-timeout"] = 5000.0.into();
    });
    rig.server_behavior = ServerBehavior::NotAccepting;
    let mut client = rig.client();
    let begun = Instant::now();
    client.write_all(call("quote", 2).as_bytes()).expect("written");
    rig.wait_until("connecting", |rig| rig.node.borrow().open_counts().worker_connections == 1);
    rig.run_for(500 * MS);
    let elapsed = begun.elapsed();
    // The kernel retries the connection about 1 s after its first attempt.
    drop(queue);
    rig.server_behavior = ServerBehavior::Serving;
    rig.connection_of(2);
    assert_within(&rig, 2, begun, elapsed);
}

// A client pipelines a second request while the first is pending. The time before the second one is read
// counts towards its deadline.
#[test]
fn a_pipelined_requests_deadline_counts_from_its_first_byte() {
    let mut rig = SocketNode::new(1, |_| ());
    let (mut client, connection) = rig.send_call("quote", 1);
    let begun = Instant::now();
    client.write_all(call("quote", 2).as_bytes()).expect("written");
    rig.run_for(600 * MS);
    let elapsed = begun.elapsed();
    rig.peers[connection].send(&answer_line("OK", 1));
    rig.connection_of(2);
    assert_within(&rig, 2, begun, elapsed);
}

// The endpoint list is empty. A request on a new connection is rejected, also during a shutdown.
#[test_case(false; "while the router runs")]
#[test_case(true; "during a shutdown")]
fn requests_are_rejected_when_no_server_is_listed(shutting_down: bool) {
    let mut rig = SocketNode::new(0, |_| ());
    let mut client = TcpStream::connect(rig.address).expect("the node listens");
    client.write_all(call("quote", 1).as_bytes()).expect("written");
    rig.wait_until("request read", |rig| rig.node.borrow().open_counts().requests == 1);
    if shutting_down {
        rig.shut_down();
    }
    rig.wait_until("request ended", |rig| rig.node.borrow().open_counts().requests == 0);
    rig.shut_down();
    let answer = rig.read_to_end(client);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

// A request has a later deadline than the process, which is killed 3.7 s after SIGTERM. It is answered before
// that, whether it is queued or in flight.
#[test_case(0, "quote", "503"; "queued")]
#[test_case(1, "quote", "503"; "in flight, and may be repeated")]
#[test_case(1, "confirm", "502"; "in flight, and may not be repeated")]
fn a_shutdown_answers_requests_whose_deadline_is_beyond_it(servers: u16, workload: &str, status: &str) {
    let mut rig = SocketNode::new(servers, |config_json| {
        for lane in 0..3 {
            config_json["settings"]["lanes"][lane]["on-time"] = 7000.0.into();
            config_json["settings"]["lanes"][lane]["deadline"] = 9000.0.into();
        }
    });
    let mut client = rig.client();
    let long_call = call(workload, 1).replace("Budget-Ms: 2000", "Budget-Ms: 9000");
    client.write_all(long_call.as_bytes()).expect("written");
    if servers > 0 {
        rig.connection_of(1);
    } else {
        rig.settle();
    }
    let shutdown_at = Instant::now();
    rig.shut_down();
    let answer = rig.read_to_end(client);
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    assert!(
        shutdown_at.elapsed() < Duration::from_millis(3_700),
        "answered after {:?}",
        shutdown_at.elapsed()
    );
}

// A client sends the last piece of its body and hangs up. Its request is not sent to a server.
#[test]
fn a_hang_up_behind_a_body_in_pieces_stops_its_request() {
    let mut rig = SocketNode::new(1, |_| ());
    rig.complete_request(1);
    let text = call("quote", 2);
    let (head, last) = text.as_bytes().split_at(text.len() - 1);
    let mut client = rig.client();
    client.write_all(head).expect("written");
    rig.settle();
    client.write_all(last).expect("written");
    rig.hang_up(client);
    rig.wait_until("hang-up handled", |rig| rig.requests_and_clients() == (0, 0));
    assert_eq!(line_count(&rig.stop(), "DO", 2), 0, "the client has hung up");
}
