//! Client timeouts and limits, and the choice of the connection to close when there are too many.
//!
//! Each test runs the node on real sockets and brings events into an unfavourable order in the kernel before
//! the router polls. docs/ends.md lists these tests by name.
mod common;
use common::sockets::{SocketNode, client_with_unread_answers};
use common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Connects this many clients that are answered and then stay idle, oldest first.
fn idle(rig: &mut SocketNode, count: usize) -> Vec<TcpStream> {
    (0..count)
        .map(|_| {
            let mut client = rig.client();
            client.write_all(b"GET /check HTTP/1.1\r\nHost: a\r\n\r\n").expect("written");
            let mut buffer = [0; 1024];
            rig.settle();
            assert!(client.read(&mut buffer).expect("an answer") > 0);
            client
        })
        .collect()
}

// A new connection is accepted in the same batch as a request on the connection that would be closed for it.
// The request must be served.
#[test]
fn a_client_with_an_unread_request_is_not_disconnected_for_a_new_one() {
    let mut rig = SocketNode::new(1, |config_json| config_json["limits"]["sockets"] = 16.into());
    let mut clients = idle(&mut rig, 8);
    rig.settle();
    let _new_client = TcpStream::connect(rig.address).expect("the node listens");
    let mut oldest = clients.remove(0);
    oldest.write_all(call("quote", 1).as_bytes()).expect("written");
    let connection = rig.connection_of(1);
    rig.peers[connection].send(&answer_line("OK", 1));
    let mut answer = [0; 1024];
    rig.settle();
    let n = oldest.read(&mut answer).expect("an answer");
    assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
}

// There are fewer descriptors than model servers. The connection that has been idle longest is closed, never
// one with a pending answer, and the lack of a descriptor does not count against the server that needs one.
#[test]
fn the_longest_idle_connection_makes_room_for_another_server() {
    let mut rig = SocketNode::new(8, |config_json| config_json["limits"]["sockets"] = 16.into());
    let (mut pending, first) = rig.send_call("quote", 1);
    let mut id = 2;
    let mut reached = std::collections::BTreeSet::new();
    while reached.len() < 8 {
        assert!(id < 200, "{} model servers of eight are used", reached.len());
        let mut client = rig.client();
        let function = format!("{id:016x}");
        client.write_all(call("quote", id).replace(FUNCTION, &function).as_bytes()).expect("written");
        let connection = rig.connection_of(id);
        reached.insert(rig.peers[connection].stream.local_addr().expect("connected"));
        rig.peers[connection].send(&answer_line("OK", id));
        let (mut answer, conns) = ([0; 1024], rig.node.borrow().open_counts().worker_connections);
        assert!(conns <= 6, "{conns} connections");
        rig.settle();
        let n = client.read(&mut answer).expect("an answer");
        assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
        id += 1;
    }
    rig.peers[first].send(&answer_line("OK", 1));
    rig.settle();
    let mut answer = [0; 1024];
    let n = pending.read(&mut answer).expect("an answer");
    assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
}

// The connection that has been idle longest still has undelivered responses. It must not be closed.
#[test]
fn a_client_with_an_undelivered_response_is_not_disconnected_for_a_new_one() {
    let mut rig = SocketNode::new(1, |config_json| config_json["limits"]["sockets"] = 16.into());
    let mut client = client_with_unread_answers(&mut rig);
    let _others = idle(&mut rig, 12);
    rig.read_large_answers(&mut client, 40);
}

// The request times out while the router is paused, but its answer is already pending in the kernel. The
// answer must be used, every time.
#[test]
fn an_answer_in_the_kernel_counts_before_a_late_timeout() {
    let mut rig = SocketNode::new(1, |_| ());
    let mut client = rig.client();
    let short = call("confirm", 1).replace("Budget-Ms: 2000", "Budget-Ms: 400");
    client.write_all(short.as_bytes()).expect("written");
    let connection = rig.connection_of(1);
    rig.peers[connection].send(&answer_line("OK", 1));
    rig.pause(500 * MS);
    rig.settle();
    let mut answer = [0; 1024];
    let n = client.read(&mut answer).expect("an answer");
    assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
}

// A silent client and one with an incomplete request are disconnected within 3 s.
#[test]
fn silent_clients_and_incomplete_requests_are_disconnected_within_three_seconds() {
    let mut rig = SocketNode::new(1, |_| ());
    let begun = Instant::now();
    let (_silent, mut half) = (rig.client(), rig.client());
    half.write_all(&call("quote", 1).as_bytes()[..60]).expect("written");
    rig.wait_until("clients disconnected", |rig| rig.node.borrow().open_counts().clients == 0);
    assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
}

// A rejection (503) invites a retry. It is given only if no attempt can have run, or running twice is
// harmless.
#[test_case("confirm", "ERR", "502"; "at-most-once, and it may have run")]
#[test_case("confirm", "MISS", "503"; "at-most-once, and it has not")]
#[test_case("hold", "ERR", "502"; "keyed, within a cell only")]
#[test_case("quote", "ERR", "503"; "idempotent")]
fn a_rejection_is_given_only_where_a_retry_is_harmless(workload: &str, verb: &str, status: &str) {
    let mut rig =
        SocketNode::new(1, |config_json| config_json["settings"]["allowed"]["attempts-cap"] = 1.into());
    let (client, connection) = rig.send_call(workload, 1);
    rig.peers[connection].send(&answer_line(verb, 1));
    rig.shut_down();
    let answer = rig.read_to_end(client);
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
}

// A client retries at another router. Both routers pass on its idempotency key, so that the model servers
// recognise the retry.
#[test]
fn a_retry_at_another_router_keeps_its_key() {
    let key = r#""uniq":"5c0f6e1a2b3d4c59a8b7c6d5e4f30211""#;
    for id in [1, 2] {
        let mut rig = SocketNode::new(1, |_| ());
        let (_client, connection) = rig.send_call("hold", id);
        assert!(rig.peers[connection].text.contains(key), "{}", rig.peers[connection].text);
    }
}
