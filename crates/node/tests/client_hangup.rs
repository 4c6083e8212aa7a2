//! What a client that hangs up leaves: nothing of its request is sent any more.
//!
//! Each case runs the node on real sockets: the bad order lies in the kernel before the router looks. The
//! rows of docs/ends.md name these cases.
mod common;
use common::sockets::{Doing, SocketNode, fills, hang_up, small_server, told};
use common::*;
use std::io::Write;
use std::time::Duration;
use test_case::test_case;

// A request and its client's end come in one batch, or the end waits behind bytes that are not read yet.
#[test_case(0; "behind its request")]
#[test_case(20_000; "behind its request and more")]
fn a_request_read_after_its_hang_up_is_not_sent(more: usize) {
    let mut rig = SocketNode::new(1, |_| ());
    rig.served(1);
    let mut client = rig.client();
    client.write_all(call("quote", 2).as_bytes()).expect("written");
    client.set_nonblocking(true).expect("set");
    let _ = client.write(&vec![b'x'; more]);
    rig.hangs_up(client);
    rig.until("seen", |rig| rig.requests_and_clients() == (0, 0));
    assert_eq!(told(&rig.ends(), "DO", 2), 0, "nobody waits for it");
}

// The router stands still amid a batch, between another client's bytes and the request, and its client goes.
#[test]
fn a_hang_up_while_a_batch_is_handled_stops_its_request() {
    let mut rig = SocketNode::new(1, |_| ());
    rig.served(1);
    let (mut other, mut client) = (rig.client(), rig.client());
    rig.quiet();
    other.write_all(b"GET /check HTTP/1.1\r\nHost: a\r\n\r\n").expect("written");
    client.write_all(call("quote", 2).as_bytes()).expect("written");
    let at = rig.at;
    *rig.between.borrow_mut() = Some(Box::new(move || {
        hang_up(at, client);
        std::thread::sleep(Duration::from_millis(60));
    }));
    rig.until("seen", |rig| rig.node.borrow().open_counts().clients == 1);
    assert_eq!(told(&rig.ends(), "DO", 2), 0, "nobody waits for it");
}

// Behind a request that waits, a client sends more than is kept, and goes: its end lies behind all of that.
#[test]
fn a_hang_up_behind_dropped_bytes_cancels_the_request() {
    let mut rig = SocketNode::new(1, |_| ());
    let (mut client, connection) = rig.carried("quote", 1);
    client.set_nonblocking(true).expect("set");
    let piece = [b'x'; 64 * 1024];
    while client.write(&piece).is_ok() {}
    drop(client);
    rig.until("given up", |rig| rig.peers[connection].told("UNDO", 1) == 1);
    assert_eq!(rig.requests_and_clients(), (0, 0));
}

// A client that goes on sending without an end is cut, and its request given up, though it has not gone.
#[test]
fn endless_bytes_behind_a_request_cancel_it() {
    let mut rig = SocketNode::new(1, |_| ());
    let (mut client, connection) = rig.carried("quote", 1);
    client.set_nonblocking(true).expect("set");
    let piece = [b'x'; 64 * 1024];
    rig.until("given up", |rig| {
        let _ = client.write(&piece);
        rig.peers[connection].told("UNDO", 1) == 1
    });
    assert_eq!(rig.requests_and_clients(), (0, 0));
}

// What is sent behind a request and does not fit ends the connection, after the answer that is owed.
#[test]
fn bytes_beyond_the_pipeline_close_the_connection_after_its_answer() {
    let mut rig = SocketNode::new(1, |_| ());
    let (mut client, connection) = rig.carried("quote", 1);
    for id in 2..500 {
        client.write_all(call("quote", id).as_bytes()).expect("read and dropped");
        rig.turn();
    }
    rig.peers[connection].send(&word("OK", 1));
    let answer = rig.rest(client);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("Connection: close"), "{answer}");
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
}

// A model server's word that leads to a further attempt, and then the client's end, both before the router
// looks: which of them came first may not count. Connections to both model servers stand, so that the
// attempt would leave at once.
#[test_case("ERR"; "an error")]
#[test_case("BUSY"; "full")]
#[test_case("MISS"; "not loaded")]
fn a_hang_up_beside_an_answer_stops_further_attempts(verb: &str) {
    let mut rig = SocketNode::new(2, |_| ());
    let (_first, connection) = rig.carried("quote", 1);
    rig.peers[connection].send(&word("ERR", 1));
    rig.until("sent on", |rig| rig.peers.len() == 2 && told(&rig.peers, "DO", 1) == 2);
    let other = 1 - connection;
    rig.peers[other].send(&word("OK", 1));
    let (client, connection) = rig.carried("quote", 2);
    rig.quiet();
    rig.peers[connection].send(&word(verb, 2));
    rig.hangs_up(client);
    rig.until("seen", |rig| rig.requests_and_clients() == (0, 1));
    assert_eq!(told(&rig.ends(), "DO", 2), 1, "no further attempt");
}

// The client goes while its attempt waits for a connection that comes up.
#[test_case(true; "attempts may be cancelled")]
#[test_case(false; "they may not: what has not begun is taken back all the same")]
fn a_hang_up_while_connecting_takes_the_attempt_back(cancel: bool) {
    let mut rig = SocketNode::new(1, |file| file["settings"]["allowed"]["cancel"] = cancel.into());
    let mut client = rig.client();
    client.write_all(call("quote", 1).as_bytes()).expect("written");
    rig.until("connecting", |rig| rig.node.borrow().open_counts().worker_connections == 1);
    rig.hangs_up(client);
    rig.until("seen", |rig| rig.requests_and_clients() == (0, 0));
    assert_eq!(told(&rig.ends(), "DO", 1), 0);
}

// It goes while its request is held here, and then a model server comes.
#[test]
fn a_waiting_request_is_not_sent_after_its_hang_up() {
    let mut rig = SocketNode::new(1, |file| {
        file["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    });
    let mut client = rig.client();
    client.write_all(call("quote", 1).as_bytes()).expect("written");
    rig.until("held", |rig| rig.node.borrow().open_counts().requests == 1);
    let mut file = rig.file.clone();
    file["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "in_service".into();
    rig.update_list(&start(&file));
    rig.hangs_up(client);
    rig.until("seen", |rig| rig.requests_and_clients() == (0, 0));
    rig.served(2);
    assert_eq!(told(&rig.ends(), "DO", 1), 0);
}

// It goes, and the router stands still past the time of the copy and of its next looks at what it holds.
#[test]
fn no_hedged_request_is_sent_after_a_hang_up() {
    let mut rig = SocketNode::new(2, |_| ());
    let (client, _) = rig.carried("quote", 1);
    rig.hangs_up(client);
    rig.stands_still(900 * MS);
    rig.until("seen", |rig| rig.requests_and_clients() == (0, 0));
    assert_eq!(told(&rig.ends(), "DO", 1), 1, "no copy");
}

// A model server that reads nothing answers until the connection is full: one line has left in part, others
// wait behind it. Their clients go: the part is made whole and given up, what waits is taken back.
#[test_case(true, false; "it reads on")]
#[test_case(false, false; "it reads on, and attempts may not be cancelled")]
#[test_case(false, true; "it resets the connection, and they may not be cancelled")]
fn a_line_sent_in_part_is_completed_and_cancelled(cancel: bool, resets: bool) {
    let allow = |file: &mut serde_json::Value| file["settings"]["allowed"]["cancel"] = cancel.into();
    let mut rig = SocketNode::at(vec![small_server()], allow);
    let (clients, next) = fills(&mut rig);
    for client in clients {
        rig.hangs_up(client);
    }
    rig.until("seen", |rig| rig.node.borrow().open_counts().clients == 0);
    let mut first = resets.then(|| rig.peers.remove(0));
    if let Some(peer) = &mut first {
        peer.read();
        socket2::SockRef::from(&peer.stream).set_linger(Some(Duration::ZERO)).expect("set");
    }
    let first = first.map(|peer| peer.text);
    rig.doing = Doing::Serves;
    // Where nothing may be cancelled, a line that had left in part is still owed an answer of its own.
    rig.until("all over", |rig| rig.node.borrow().open_counts().requests <= usize::from(!cancel));
    rig.served(next);
    let peers = rig.ends();
    if let Some(text) = first {
        let begun = |id: u64| text.contains(&format!("DO\",\"rid\":\"{}", name(id)));
        let anew = (1..next).filter(|id| !begun(*id)).map(|id| told(&peers, "DO", id)).sum::<usize>();
        assert_eq!(anew, 0, "not on another connection either");
        return;
    }
    let lines = || peers.iter().flat_map(|peer| peer.text.lines());
    assert!(lines().all(|l| serde_json::from_str::<serde_json::Value>(l).is_ok()), "whole lines");
    let begun: Vec<usize> = (1..next).map(|id| told(&peers, "DO", id)).collect();
    assert!(begun.iter().all(|n| *n <= 1) && begun.contains(&0), "{begun:?}");
}

// Where no two attempts may be out together, the word that gives the first up leaves ahead of the next: the
// first one's connection takes nothing more, until the model server reads on, or the connection is cut.
#[test_case(Doing::Serves, 2; "it reads on")]
#[test_case(Doing::Mute, 2; "it does not even say that the connection works")]
#[test_case(Doing::Full, 1; "it never reads")]
fn the_next_attempt_waits_for_the_cancel_of_the_first(then: Doing, sent: usize) {
    let mut rig = SocketNode::at(vec![small_server(), small_server()], |file| {
        file["settings"]["allowed"]["second-copies"] = false.into();
        file["settings"]["lanes"][0]["on-time"] = 300.0.into();
    });
    rig.served(1001);
    let (client, connection) = rig.carried("quote", 1000);
    let (_others, next) = fills(&mut rig);
    // The other model server serves: what waits behind the full connection is sent on there after the delay.
    let reads = |rig: &mut SocketNode| {
        for peer in rig.peers.iter_mut().enumerate().filter(|(n, _)| *n != connection).map(|(_, peer)| peer) {
            peer.read();
            peer.send("{\"verb\":\"UP\",\"rid\":\"works\"}\n");
            let asked: Vec<u64> = (1..next).filter(|id| peer.told("DO", *id) > 0).collect();
            asked.into_iter().for_each(|id| peer.send(&word("OK", id)));
        }
        (1..next).map(|id| told(&rig.peers, "DO", id)).sum::<usize>() > 0
    };
    rig.until("sent on", reads);
    rig.quiet();
    reads(&mut rig);
    assert_eq!(told(&rig.peers, "DO", 1000), 1, "the first has not been given up yet");
    rig.doing = then;
    rig.until("sent on, or answered", |rig| {
        reads(rig);
        told(&rig.peers, "DO", 1000) == 2 || rig.node.borrow().open_counts().requests == 0
    });
    assert_eq!(told(&rig.peers, "DO", 1000), sent);
    if sent == 1 {
        rig.leaves();
        let answer = rig.rest(client);
        assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    }
}
