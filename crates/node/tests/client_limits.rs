//! Timeouts of clients, and which connection makes room for another.
//!
//! Each case runs the node on real sockets: the bad order lies in the kernel before the router looks. The
//! rows of docs/ends.md name these cases.
mod common;
use common::sockets::{SocketNode, owed};
use common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Clients that have asked and lie idle, the oldest first, as many as are kept open.
fn idle(rig: &mut SocketNode, count: usize) -> Vec<TcpStream> {
    (0..count)
        .map(|_| {
            let mut client = rig.client();
            client.write_all(b"GET /check HTTP/1.1\r\nHost: a\r\n\r\n").expect("written");
            let mut buffer = [0; 1024];
            rig.quiet();
            assert!(client.read(&mut buffer).expect("an answer") > 0);
            client
        })
        .collect()
}

// A newcomer is accepted in the batch in which a request comes on the connection that would make room.
#[test]
fn an_unread_request_is_not_cut_for_a_newcomer() {
    let mut rig = SocketNode::new(1, |file| file["limits"]["sockets"] = 16.into());
    let mut clients = idle(&mut rig, 8);
    rig.quiet();
    let _newcomer = TcpStream::connect(rig.at).expect("it listens");
    let mut oldest = clients.remove(0);
    oldest.write_all(call("quote", 1).as_bytes()).expect("written");
    let connection = rig.carries(1);
    rig.peers[connection].send(&word("OK", 1));
    let mut answer = [0; 1024];
    rig.quiet();
    let n = oldest.read(&mut answer).expect("an answer");
    assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
}

// There are fewer descriptors than model servers: the connection that has lain idle longest makes room, not
// one that owes an answer, and that none was left is not the fault of the server that needs one.
#[test]
fn the_longest_idle_connection_makes_room_for_another_server() {
    let mut rig = SocketNode::new(8, |file| file["limits"]["sockets"] = 16.into());
    let (mut owed, first) = rig.carried("quote", 1);
    let mut id = 2;
    let mut reached = std::collections::BTreeSet::new();
    while reached.len() < 8 {
        assert!(id < 200, "{} model servers of eight are used", reached.len());
        let mut client = rig.client();
        let function = format!("{id:016x}");
        client.write_all(call("quote", id).replace(FUNCTION, &function).as_bytes()).expect("written");
        let connection = rig.carries(id);
        reached.insert(rig.peers[connection].stream.local_addr().expect("connected"));
        rig.peers[connection].send(&word("OK", id));
        let (mut answer, conns) = ([0; 1024], rig.node.borrow().open_counts().worker_connections);
        assert!(conns <= 6, "{conns} connections");
        rig.quiet();
        let n = client.read(&mut answer).expect("an answer");
        assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
        id += 1;
    }
    rig.peers[first].send(&word("OK", 1));
    rig.quiet();
    let mut answer = [0; 1024];
    let n = owed.read(&mut answer).expect("an answer");
    assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
}

// The connection that has lain idle longest has not been delivered all of its answers.
#[test]
fn an_untaken_answer_is_not_cut_for_a_newcomer() {
    let mut rig = SocketNode::new(1, |file| file["limits"]["sockets"] = 16.into());
    let mut client = owed(&mut rig);
    let _others = idle(&mut rig, 12);
    rig.reads_big(&mut client, 40);
}

// An answer lies in the kernel when the request's time runs out while the router stands still: it counts,
// each time.
#[test]
fn an_answer_in_the_kernel_counts_before_a_late_timeout() {
    let mut rig = SocketNode::new(1, |_| ());
    let mut client = rig.client();
    let short = call("confirm", 1).replace("Budget-Ms: 2000", "Budget-Ms: 400");
    client.write_all(short.as_bytes()).expect("written");
    let connection = rig.carries(1);
    rig.peers[connection].send(&word("OK", 1));
    rig.stands_still(500 * MS);
    rig.quiet();
    let mut answer = [0; 1024];
    let n = client.read(&mut answer).expect("an answer");
    assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
}

// Silent clients, and one amid its request, are off within three seconds.
#[test]
fn silent_and_idle_clients_are_cut() {
    let mut rig = SocketNode::new(1, |_| ());
    let begun = Instant::now();
    let (_silent, mut half) = (rig.client(), rig.client());
    half.write_all(&call("quote", 1).as_bytes()[..60]).expect("written");
    rig.until("off", |rig| rig.node.borrow().open_counts().clients == 0);
    assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
}

// What a client is told in the end: a refusal only where no attempt can have run, or running twice harms
// nothing.
#[test_case("confirm", "ERR", "502"; "at-most-once, and it may have run")]
#[test_case("confirm", "MISS", "503"; "at-most-once, and it has not")]
#[test_case("hold", "ERR", "502"; "keyed, by its group alone")]
#[test_case("quote", "ERR", "503"; "idempotent")]
fn a_rejection_is_given_only_where_a_retry_is_harmless(workload: &str, verb: &str, status: &str) {
    let mut rig = SocketNode::new(1, |file| file["settings"]["allowed"]["attempts-cap"] = 1.into());
    let (client, connection) = rig.carried(workload, 1);
    rig.peers[connection].send(&word(verb, 1));
    rig.leaves();
    let answer = rig.rest(client);
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
}

// A client's further try comes to another router: the key is the same, so the model servers know it.
#[test]
fn a_retry_at_another_router_keeps_its_key() {
    let key = r#""uniq":"5c0f6e1a2b3d4c59a8b7c6d5e4f30211""#;
    for id in [1, 2] {
        let mut rig = SocketNode::new(1, |_| ());
        let (_client, connection) = rig.carried("hold", id);
        assert!(rig.peers[connection].text.contains(key), "{}", rig.peers[connection].text);
    }
}
