//! Client hang-ups: nothing of the request is sent to a model server afterwards.
//!
//! Each test runs the node on real sockets and brings events into an unfavourable order in the kernel before
//! the router polls. docs/ends.md lists these tests by name.
mod common;
use common::sockets::{
    ServerBehavior, SocketNode, fill_connection, hang_up, line_count, server_with_small_buffers,
};
use common::*;
use std::io::Write;
use std::time::Duration;
use test_case::test_case;

// A request and its client's hang-up arrive in one batch, or the hang-up follows bytes that have not been
// read. The request must not be sent.
#[test_case(0; "behind its request")]
#[test_case(20_000; "behind its request and more")]
fn a_request_read_after_its_hang_up_is_not_sent(more: usize) {
    let mut rig = SocketNode::new(1, |_| ());
    rig.complete_request(1);
    let mut client = rig.client();
    client.write_all(call("quote", 2).as_bytes()).expect("written");
    client.set_nonblocking(true).expect("socket option set");
    let _ = client.write(&vec![b'x'; more]);
    rig.hang_up(client);
    rig.wait_until("hang-up handled", |rig| rig.requests_and_clients() == (0, 0));
    assert_eq!(line_count(&rig.stop(), "DO", 2), 0, "the client has hung up");
}

// The router is paused within a batch, between another client's bytes and the request. The client of the
// request hangs up meanwhile.
#[test]
fn a_hang_up_while_a_batch_is_handled_stops_its_request() {
    let mut rig = SocketNode::new(1, |_| ());
    rig.complete_request(1);
    let (mut other, mut client) = (rig.client(), rig.client());
    rig.settle();
    other.write_all(b"GET /check HTTP/1.1\r\nHost: a\r\n\r\n").expect("written");
    client.write_all(call("quote", 2).as_bytes()).expect("written");
    let at = rig.address;
    *rig.after_bytes.borrow_mut() = Some(Box::new(move || {
        hang_up(at, client);
        std::thread::sleep(Duration::from_millis(60));
    }));
    rig.wait_until("hang-up handled", |rig| rig.node.borrow().open_counts().clients == 1);
    assert_eq!(line_count(&rig.stop(), "DO", 2), 0, "the client has hung up");
}

// While its request is pending, a client sends more bytes than are buffered and hangs up. The hang-up must be
// detected behind these bytes.
#[test]
fn a_hang_up_behind_dropped_bytes_cancels_the_request() {
    let mut rig = SocketNode::new(1, |_| ());
    let (mut client, connection) = rig.send_call("quote", 1);
    client.set_nonblocking(true).expect("socket option set");
    let piece = [b'x'; 64 * 1024];
    while client.write(&piece).is_ok() {}
    drop(client);
    rig.wait_until("cancelled", |rig| rig.peers[connection].line_count("UNDO", 1) == 1);
    assert_eq!(rig.requests_and_clients(), (0, 0));
}

// A client that sends endlessly while its request is pending is disconnected, and the request is cancelled.
#[test]
fn endless_bytes_behind_a_request_cancel_it() {
    let mut rig = SocketNode::new(1, |_| ());
    let (mut client, connection) = rig.send_call("quote", 1);
    client.set_nonblocking(true).expect("socket option set");
    let piece = [b'x'; 64 * 1024];
    rig.wait_until("cancelled", |rig| {
        let _ = client.write(&piece);
        rig.peers[connection].line_count("UNDO", 1) == 1
    });
    assert_eq!(rig.requests_and_clients(), (0, 0));
}

// Pipelined bytes beyond the buffer are dropped, and the connection is closed after the pending response.
#[test]
fn bytes_beyond_the_pipeline_close_the_connection_after_its_answer() {
    let mut rig = SocketNode::new(1, |_| ());
    let (mut client, connection) = rig.send_call("quote", 1);
    for id in 2..500 {
        client.write_all(call("quote", id).as_bytes()).expect("read and dropped");
        rig.turn();
    }
    rig.peers[connection].send(&answer_line("OK", 1));
    let answer = rig.read_to_end(client);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("Connection: close"), "{answer}");
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
}

// A model server's answer that would cause a further attempt and the client's hang-up are both pending when
// the router polls. No attempt may be started, whichever came first. Connections to both model servers are
// established, so that an attempt would be sent at once.
#[test_case("ERR"; "an error")]
#[test_case("BUSY"; "full")]
#[test_case("MISS"; "not loaded")]
fn a_hang_up_beside_an_answer_stops_further_attempts(verb: &str) {
    let mut rig = SocketNode::new(2, |_| ());
    let (_first, connection) = rig.send_call("quote", 1);
    rig.peers[connection].send(&answer_line("ERR", 1));
    rig.wait_until("request sent", |rig| rig.peers.len() == 2 && line_count(&rig.peers, "DO", 1) == 2);
    let other = 1 - connection;
    rig.peers[other].send(&answer_line("OK", 1));
    let (client, connection) = rig.send_call("quote", 2);
    rig.settle();
    rig.peers[connection].send(&answer_line(verb, 2));
    rig.hang_up(client);
    rig.wait_until("hang-up handled", |rig| rig.requests_and_clients() == (0, 1));
    assert_eq!(line_count(&rig.stop(), "DO", 2), 1, "no further attempt");
}

// The client hangs up while its attempt waits for a connection to be established.
#[test_case(true; "attempts may be cancelled")]
#[test_case(false; "they may not, but an attempt that has not started is withdrawn")]
fn a_hang_up_while_connecting_takes_the_attempt_back(cancel: bool) {
    let mut rig =
        SocketNode::new(1, |config_json| config_json["settings"]["allowed"]["cancel"] = cancel.into());
    let mut client = rig.client();
    client.write_all(call("quote", 1).as_bytes()).expect("written");
    rig.wait_until("connecting", |rig| rig.node.borrow().open_counts().worker_connections == 1);
    rig.hang_up(client);
    rig.wait_until("hang-up handled", |rig| rig.requests_and_clients() == (0, 0));
    assert_eq!(line_count(&rig.stop(), "DO", 1), 0);
}

// The client hangs up while its request is queued, and then a model server becomes available.
#[test]
fn a_waiting_request_is_not_sent_after_its_hang_up() {
    let mut rig = SocketNode::new(1, |config_json| {
        config_json["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    });
    let mut client = rig.client();
    client.write_all(call("quote", 1).as_bytes()).expect("written");
    rig.wait_until("request queued", |rig| rig.node.borrow().open_counts().requests == 1);
    let mut config_json = rig.config_json.clone();
    config_json["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "in_service".into();
    rig.update_list(&parse_config(&config_json));
    rig.hang_up(client);
    rig.wait_until("hang-up handled", |rig| rig.requests_and_clients() == (0, 0));
    rig.complete_request(2);
    assert_eq!(line_count(&rig.stop(), "DO", 1), 0);
}

// The client hangs up, and the router is paused beyond the hedging delay and its next checks of open
// requests.
#[test]
fn no_hedged_request_is_sent_after_a_hang_up() {
    let mut rig = SocketNode::new(2, |_| ());
    let (client, _) = rig.send_call("quote", 1);
    rig.hang_up(client);
    rig.pause(900 * MS);
    rig.wait_until("hang-up handled", |rig| rig.requests_and_clients() == (0, 0));
    assert_eq!(line_count(&rig.stop(), "DO", 1), 1, "no hedged attempt");
}

// A model server that reads nothing answers until the connection is full: one line has been sent in part, and
// others are queued behind it. When their clients hang up, the partial line is completed and cancelled, and
// the queued attempts are withdrawn.
#[test_case(true, false; "it reads on")]
#[test_case(false, false; "it reads on, and attempts may not be cancelled")]
#[test_case(false, true; "it resets the connection, and they may not be cancelled")]
fn a_line_sent_in_part_is_completed_and_cancelled(cancel: bool, resets: bool) {
    let allow =
        |config_json: &mut serde_json::Value| config_json["settings"]["allowed"]["cancel"] = cancel.into();
    let mut rig = SocketNode::with_servers(vec![server_with_small_buffers()], allow);
    let (clients, next) = fill_connection(&mut rig);
    for client in clients {
        rig.hang_up(client);
    }
    rig.wait_until("hang-up handled", |rig| rig.node.borrow().open_counts().clients == 0);
    let mut first = resets.then(|| rig.peers.remove(0));
    if let Some(peer) = &mut first {
        peer.read();
        socket2::SockRef::from(&peer.stream).set_linger(Some(Duration::ZERO)).expect("socket option set");
    }
    let first = first.map(|peer| peer.text);
    rig.server_behavior = ServerBehavior::Serving;
    // If attempts may not be cancelled, the answer to the partially sent line is still pending.
    rig.wait_until("all requests ended", |rig| {
        rig.node.borrow().open_counts().requests <= usize::from(!cancel)
    });
    rig.complete_request(next);
    let peers = rig.stop();
    if let Some(text) = first {
        let begun = |id: u64| text.contains(&format!("DO\",\"rid\":\"{}", request_id(id)));
        let resent = (1..next).filter(|id| !begun(*id)).map(|id| line_count(&peers, "DO", id)).sum::<usize>();
        assert_eq!(resent, 0, "not sent on another connection either");
        return;
    }
    let lines = || peers.iter().flat_map(|peer| peer.text.lines());
    assert!(lines().all(|l| serde_json::from_str::<serde_json::Value>(l).is_ok()), "only complete lines");
    let begun: Vec<usize> = (1..next).map(|id| line_count(&peers, "DO", id)).collect();
    assert!(begun.iter().all(|n| *n <= 1) && begun.contains(&0), "{begun:?}");
}

// If concurrent attempts of a request are not allowed, the cancellation of the first must be sent before the
// next attempt. The first one's connection is blocked until the model server reads again or the connection is
// aborted.
#[test_case(ServerBehavior::Serving, 2; "it reads on")]
#[test_case(ServerBehavior::Silent, 2; "it does not answer health checks")]
#[test_case(ServerBehavior::NotReading, 1; "it never reads")]
fn the_next_attempt_waits_for_the_cancel_of_the_first(then: ServerBehavior, sent: usize) {
    let mut rig = SocketNode::with_servers(
        vec![server_with_small_buffers(), server_with_small_buffers()],
        |config_json| {
            config_json["settings"]["allowed"]["second-copies"] = false.into();
            config_json["settings"]["lanes"][0]["on-time"] = 300.0.into();
        },
    );
    rig.complete_request(1001);
    let (client, connection) = rig.send_call("quote", 1000);
    let (_others, next) = fill_connection(&mut rig);
    // The other model server works: requests queued on the full connection are sent to it after a delay.
    let reads = |rig: &mut SocketNode| {
        for peer in rig.peers.iter_mut().enumerate().filter(|(n, _)| *n != connection).map(|(_, peer)| peer) {
            peer.read();
            peer.send("{\"verb\":\"UP\",\"rid\":\"works\"}\n");
            let received: Vec<u64> = (1..next).filter(|id| peer.line_count("DO", *id) > 0).collect();
            received.into_iter().for_each(|id| peer.send(&answer_line("OK", id)));
        }
        (1..next).map(|id| line_count(&rig.peers, "DO", id)).sum::<usize>() > 0
    };
    rig.wait_until("request sent", reads);
    rig.settle();
    reads(&mut rig);
    assert_eq!(line_count(&rig.peers, "DO", 1000), 1, "the first attempt has not been cancelled yet");
    rig.server_behavior = then;
    rig.wait_until("sent or answered", |rig| {
        reads(rig);
        line_count(&rig.peers, "DO", 1000) == 2 || rig.node.borrow().open_counts().requests == 0
    });
    assert_eq!(line_count(&rig.peers, "DO", 1000), sent);
    if sent == 1 {
        rig.shut_down();
        let answer = rig.read_to_end(client);
        assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    }
}
