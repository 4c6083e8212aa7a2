//! Loss and draining of connections to model servers, and the effect on their attempts.
//!
//! Each test runs the node on real sockets and brings events into an unfavourable order in the kernel before
//! the router polls. docs/ends.md lists these tests by name.
mod common;
use common::sockets::{
    ServerBehavior, SocketNode, fill_connection, line_count, server_with_full_backlog,
    server_with_small_buffers,
};
use common::*;
use std::io::{Read, Write};
use std::time::Duration;
use test_case::test_case;

// An answer and a reset arrive in one batch. The answer must be used.
#[test]
fn an_answer_before_a_reset_is_read() {
    let mut rig = SocketNode::new(1, |_| ());
    let (client, connection) = rig.send_call("confirm", 1);
    rig.peers[connection].send(&answer_line("OK", 1));
    let peer = rig.peers.remove(connection);
    socket2::SockRef::from(&peer.stream).set_linger(Some(Duration::ZERO)).expect("socket option set");
    drop(peer);
    rig.shut_down();
    let answer = rig.read_to_end(client);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("ok"), "{answer}");
}

// The connect timeout expires while the router is paused, but the connection is already established in the
// kernel. It must be used.
#[test]
fn an_established_connection_counts_before_a_late_timeout() {
    let mut rig = SocketNode::new(1, |_| ());
    let mut client = rig.client();
    client.write_all(call("confirm", 1).as_bytes()).expect("written");
    rig.wait_until("connecting", |rig| rig.node.borrow().open_counts().worker_connections == 1);
    rig.pause(300 * MS);
    rig.connection_of(1);
    assert_eq!(line_count(&rig.stop(), "DO", 1), 1);
}

// The server is drained while an attempt waits for a connection. The attempt is withdrawn and has not run.
#[test]
fn a_drain_while_connecting_takes_the_attempt_back() {
    let (server, queue) = server_with_full_backlog();
    let mut rig = SocketNode::with_servers(vec![server], |config_json| {
        config_json["settings"]["allowed"]["connect-timeout"] = 5000.0.into();
    });
    rig.server_behavior = ServerBehavior::NotAccepting;
    let mut client = rig.client();
    client.write_all(call("confirm", 1).as_bytes()).expect("written");
    rig.wait_until("connecting", |rig| rig.node.borrow().open_counts().worker_connections == 1);
    let mut config_json = rig.config_json.clone();
    config_json["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    rig.update_list(&parse_config(&config_json));
    rig.wait_until("list applied", |rig| rig.name_service.peek(&mut [0; 512]).is_ok());
    drop(queue);
    rig.server_behavior = ServerBehavior::Serving;
    rig.shut_down();
    let answer = rig.read_to_end(client);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(line_count(&rig.stop(), "DO", 1), 0);
}

// The server is drained while a line is partially sent, whose answer has already arrived, and others are
// queued behind it. No answer is pending, and the queued attempts are withdrawn and have not run.
#[test]
fn a_drain_lets_a_line_sent_in_part_complete() {
    let mut rig = SocketNode::with_servers(vec![server_with_small_buffers()], |_| ());
    let (clients, next) = fill_connection(&mut rig);
    let mut config_json = rig.config_json.clone();
    config_json["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    rig.update_list(&parse_config(&config_json));
    rig.wait_until("list applied", |rig| rig.name_service.peek(&mut [0; 512]).is_ok());
    rig.server_behavior = ServerBehavior::Serving;
    rig.shut_down();
    let answers: Vec<String> = clients.into_iter().map(|client| rig.read_to_end(client)).collect();
    assert!(answers.iter().all(|answer| answer.starts_with("HTTP/1.1 503")), "{answers:?}");
    let peers = rig.stop();
    let begun: Vec<usize> = (1..next).map(|id| line_count(&peers, "DO", id)).collect();
    assert!(begun.iter().all(|n| *n <= 1) && begun.contains(&0), "{begun:?}");
}

// The server is drained while a line is partially sent and its answer is pending. The line is completed, and
// the answer is used.
#[test]
fn a_drain_lets_a_line_sent_in_part_get_its_answer() {
    let mut rig = SocketNode::with_servers(vec![server_with_small_buffers()], |_| ());
    let (clients, next) = fill_connection(&mut rig);
    // The partially sent line has been answered already. After this many more bytes another one is partial.
    let more = rig.peers[0].bytes_sent_to() + 22_000;
    rig.wait_until("more bytes sent", |rig| {
        rig.peers[0].read_some();
        rig.peers[0].bytes_sent_to() >= more
    });
    let sent_bytes = rig.peers[0].bytes_sent_to();
    let mut config_json = rig.config_json.clone();
    config_json["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    rig.update_list(&parse_config(&config_json));
    rig.wait_until("list applied", |rig| rig.name_service.peek(&mut [0; 512]).is_ok());
    rig.server_behavior = ServerBehavior::Serving;
    let mut unanswered: Vec<u64> = (next - 3..next).collect();
    rig.wait_until("all requests ended", |rig| {
        let text = &rig.peers[0].text;
        let whole = text.rfind('\n').map_or("", |end| &text[..end]);
        let is = |id: &u64| whole.contains(&format!("DO\",\"rid\":\"{}", request_id(*id)));
        let (complete, incomplete): (Vec<u64>, _) = std::mem::take(&mut unanswered).into_iter().partition(is);
        unanswered = incomplete;
        complete.into_iter().for_each(|id| rig.peers[0].send(&answer_line("OK", id)));
        rig.node.borrow().open_counts().requests == 0
    });
    rig.shut_down();
    let answers: Vec<String> = clients.into_iter().map(|client| rig.read_to_end(client)).collect();
    let text = &rig.peers[0].text;
    let line = text[..sent_bytes].rfind('\n').map_or(0, |end| end + 1);
    let ids = (next - 3..next).zip(&answers);
    for (id, answer) in ids.clone() {
        let status = if unanswered.contains(&id) { "503" } else { "200" };
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{id}: {answer}");
    }
    let begins = |id: u64| {
        let head = format!("{{\"verb\":\"DO\",\"rid\":\"{}", request_id(id));
        text[line..].starts_with(&head)
    };
    assert_eq!(ids.filter(|(id, _)| begins(*id)).count(), 1, "the drain occurred within one of these lines");
    assert!(line < sent_bytes && !text[line..sent_bytes].contains('\n'));
    assert!(
        text.lines().all(|l| serde_json::from_str::<serde_json::Value>(l).is_ok()),
        "only complete lines"
    );
}

// A new server takes over the address of an old one. Its requests use a new connection, and requests in
// flight at the old server complete.
#[test]
fn nothing_of_an_old_server_goes_to_a_new_one_at_its_address() {
    let mut rig = SocketNode::new(1, |_| ());
    let (mut client, old) = rig.send_call("confirm", 1);
    let mut config_json = rig.config_json.clone();
    config_json["known"]["updates"][0]["endpoints"]["members"][0]["id"] = "s-new".into();
    rig.update_list(&parse_config(&config_json));
    rig.wait_until("list applied", |rig| {
        rig.node.borrow().open_counts().workers == 1 && rig.name_service.peek(&mut [0; 512]).is_ok()
    });
    let (_client, new) = rig.send_call("confirm", 2);
    assert_ne!(new, old);
    rig.peers[old].send(&answer_line("OK", 1));
    rig.settle();
    let mut answer = [0; 1024];
    let n = client.read(&mut answer).expect("an answer");
    assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
    rig.wait_until("old connection closed", |rig| rig.node.borrow().open_counts().worker_connections == 1);
}

// A server neither answers a request nor a health check. The connection is aborted, and the request may have
// run.
#[test]
fn a_silent_server_loses_its_connection_and_no_request_runs_twice() {
    let mut rig = SocketNode::new(1, |_| ());
    let (client, _) = rig.send_call("confirm", 1);
    rig.server_behavior = ServerBehavior::Silent;
    rig.shut_down();
    let answer = rig.read_to_end(client);
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(line_count(&rig.stop(), "DO", 1), 1);
}

// A model server rejects a request, is sent it again, and repeats the first rejection. This must not count as
// the answer to the second attempt, which uses another connection.
#[test_case("BUSY"; "full")]
#[test_case("MISS"; "not loaded")]
fn a_second_answer_to_an_earlier_attempt_answers_nothing(verb: &str) {
    let mut rig = SocketNode::new(1, |_| ());
    let (client, first) = rig.send_call("confirm", 1);
    rig.peers[first].send(&answer_line(verb, 1));
    rig.wait_until("second attempt", |rig| line_count(&rig.peers, "DO", 1) == 2);
    rig.peers[first].send(&answer_line(verb, 1));
    rig.settle();
    let second = rig.connection_of(1);
    assert_ne!(second, first, "on another connection");
    rig.peers[second].send(&answer_line("OK", 1));
    rig.shut_down();
    let answer = rig.read_to_end(client);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(line_count(&rig.stop(), "DO", 1), 2);
}

// An answer after the cancellation of its attempt, and an incomplete answer line, are not passed to any
// client.
#[test]
fn an_answer_after_a_cancel_answers_nothing() {
    let mut rig = SocketNode::new(1, |_| ());
    let (client, connection) = rig.send_call("quote", 1);
    rig.hang_up(client);
    rig.wait_until("cancelled", |rig| rig.peers[connection].line_count("UNDO", 1) == 1);
    rig.peers[connection].send(&answer_line("OK", 1));
    let (client, second_connection) = rig.send_call("confirm", 2);
    assert_eq!(second_connection, connection, "the connection is still used");
    rig.peers[connection].send(&answer_line("OK", 2)[..40]);
    drop(rig.peers.remove(connection));
    rig.shut_down();
    let answer = rig.read_to_end(client);
    assert!(answer.starts_with("HTTP/1.1 502"), "the request may have run: {answer}");
    assert_eq!(line_count(&rig.stop(), "DO", 2), 0, "and is not sent again");
}

// A repeat waits for a connection until the idempotency window is over, in which the model server recognises
// repeats. It must not be sent, and as the first attempt may have run, the client must not be invited to
// retry.
#[test]
fn a_repeat_is_not_sent_after_its_window() {
    let mut rig =
        SocketNode::new(2, |config_json| config_json["settings"]["lanes"][1]["window"] = 300.0.into());
    let (client, connection) = rig.send_call("hold", 1);
    rig.settle();
    rig.peers[connection].send(&answer_line("ERR", 1));
    rig.wait_until("a further attempt", |rig| rig.node.borrow().open_counts().worker_connections == 2);
    rig.pause(400 * MS);
    rig.shut_down();
    let answer = rig.read_to_end(client);
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(line_count(&rig.stop(), "DO", 1), 1);
}
