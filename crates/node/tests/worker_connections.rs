//! The ends of connections to model servers, and what each means for the attempts on it.
//!
//! Each case runs the node on real sockets: the bad order lies in the kernel before the router looks. The
//! rows of docs/ends.md name these cases.
mod common;
use common::sockets::{Doing, SocketNode, fills, full_server, small_server, told};
use common::*;
use std::io::{Read, Write};
use std::time::Duration;
use test_case::test_case;

// An answer and a reset in one batch: the answer counts.
#[test]
fn an_answer_before_a_reset_is_read() {
    let mut rig = SocketNode::new(1, |_| ());
    let (client, connection) = rig.carried("confirm", 1);
    rig.peers[connection].send(&word("OK", 1));
    let peer = rig.peers.remove(connection);
    socket2::SockRef::from(&peer.stream).set_linger(Some(Duration::ZERO)).expect("set");
    drop(peer);
    rig.leaves();
    let answer = rig.rest(client);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("ok"), "{answer}");
}

// A connection stands in the kernel when its time runs out while the router stands still.
#[test]
fn an_established_connection_counts_before_a_late_timeout() {
    let mut rig = SocketNode::new(1, |_| ());
    let mut client = rig.client();
    client.write_all(call("confirm", 1).as_bytes()).expect("written");
    rig.until("connecting", |rig| rig.node.borrow().open_counts().worker_connections == 1);
    rig.stands_still(300 * MS);
    rig.carries(1);
    assert_eq!(told(&rig.ends(), "DO", 1), 1);
}

// A drain is told while an attempt waits for a connection: it is taken back, and has not run.
#[test]
fn a_drain_while_connecting_takes_the_attempt_back() {
    let (server, queue) = full_server();
    let mut rig = SocketNode::at(vec![server], |file| {
        file["settings"]["allowed"]["connect-timeout"] = 5000.0.into();
    });
    rig.doing = Doing::Shut;
    let mut client = rig.client();
    client.write_all(call("confirm", 1).as_bytes()).expect("written");
    rig.until("connecting", |rig| rig.node.borrow().open_counts().worker_connections == 1);
    let mut file = rig.file.clone();
    file["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    rig.update_list(&start(&file));
    rig.until("taken in", |rig| rig.names.peek(&mut [0; 512]).is_ok());
    drop(queue);
    rig.doing = Doing::Serves;
    rig.leaves();
    let answer = rig.rest(client);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(told(&rig.ends(), "DO", 1), 0);
}

// A drain is told while a line has left in part, whose answer has come, and others wait behind it: nothing is
// owed on the connection any more, and the others are taken back and have not run.
#[test]
fn a_drain_lets_a_line_sent_in_part_complete() {
    let mut rig = SocketNode::at(vec![small_server()], |_| ());
    let (clients, next) = fills(&mut rig);
    let mut file = rig.file.clone();
    file["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    rig.update_list(&start(&file));
    rig.until("taken in", |rig| rig.names.peek(&mut [0; 512]).is_ok());
    rig.doing = Doing::Serves;
    rig.leaves();
    let answers: Vec<String> = clients.into_iter().map(|client| rig.rest(client)).collect();
    assert!(answers.iter().all(|answer| answer.starts_with("HTTP/1.1 503")), "{answers:?}");
    let peers = rig.ends();
    let begun: Vec<usize> = (1..next).map(|id| told(&peers, "DO", id)).collect();
    assert!(begun.iter().all(|n| *n <= 1) && begun.contains(&0), "{begun:?}");
}

// A drain is told while a line has left in part that is still owed its answer: it is made whole, and the
// answer counts.
#[test]
fn a_drain_lets_a_line_sent_in_part_get_its_answer() {
    let mut rig = SocketNode::at(vec![small_server()], |_| ());
    let (clients, next) = fills(&mut rig);
    // The part that has left is of a line whose answer has come. This much more is part of another one.
    let more = rig.peers[0].handed() + 22_000;
    rig.until("more has left", |rig| {
        rig.peers[0].sips();
        rig.peers[0].handed() >= more
    });
    let handed = rig.peers[0].handed();
    let mut file = rig.file.clone();
    file["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    rig.update_list(&start(&file));
    rig.until("taken in", |rig| rig.names.peek(&mut [0; 512]).is_ok());
    rig.doing = Doing::Serves;
    let mut owed: Vec<u64> = (next - 3..next).collect();
    rig.until("all over", |rig| {
        let text = &rig.peers[0].text;
        let whole = text.rfind('\n').map_or("", |end| &text[..end]);
        let is = |id: &u64| whole.contains(&format!("DO\",\"rid\":\"{}", name(*id)));
        let (came, waits): (Vec<u64>, _) = std::mem::take(&mut owed).into_iter().partition(is);
        owed = waits;
        came.into_iter().for_each(|id| rig.peers[0].send(&word("OK", id)));
        rig.node.borrow().open_counts().requests == 0
    });
    rig.leaves();
    let answers: Vec<String> = clients.into_iter().map(|client| rig.rest(client)).collect();
    let text = &rig.peers[0].text;
    let line = text[..handed].rfind('\n').map_or(0, |end| end + 1);
    let ids = (next - 3..next).zip(&answers);
    for (id, answer) in ids.clone() {
        let status = if owed.contains(&id) { "503" } else { "200" };
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{id}: {answer}");
    }
    let begins = |id: u64| {
        let head = format!("{{\"verb\":\"DO\",\"rid\":\"{}", name(id));
        text[line..].starts_with(&head)
    };
    assert_eq!(ids.filter(|(id, _)| begins(*id)).count(), 1, "the drain came amid one of these lines");
    assert!(line < handed && !text[line..handed].contains('\n'));
    assert!(text.lines().all(|l| serde_json::from_str::<serde_json::Value>(l).is_ok()), "whole lines");
}

// Another server has taken the address: its requests go by a connection of their own, and what is out at the
// old one comes to its end.
#[test]
fn nothing_of_an_old_server_goes_to_a_new_one_at_its_address() {
    let mut rig = SocketNode::new(1, |_| ());
    let (mut client, old) = rig.carried("confirm", 1);
    let mut file = rig.file.clone();
    file["known"]["updates"][0]["endpoints"]["members"][0]["id"] = "s-new".into();
    rig.update_list(&start(&file));
    rig.until("taken in", |rig| {
        rig.node.borrow().open_counts().workers == 1 && rig.names.peek(&mut [0; 512]).is_ok()
    });
    let (_client, new) = rig.carried("confirm", 2);
    assert_ne!(new, old);
    rig.peers[old].send(&word("OK", 1));
    rig.quiet();
    let mut answer = [0; 1024];
    let n = client.read(&mut answer).expect("an answer");
    assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
    rig.until("parted", |rig| rig.node.borrow().open_counts().worker_connections == 1);
}

// A connection that owes an answer and does not even say that it works: it may have run.
#[test]
fn a_silent_server_loses_its_connection_and_no_request_runs_twice() {
    let mut rig = SocketNode::new(1, |_| ());
    let (client, _) = rig.carried("confirm", 1);
    rig.doing = Doing::Mute;
    rig.leaves();
    let answer = rig.rest(client);
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(told(&rig.ends(), "DO", 1), 1);
}

// A model server that turned a request away and is asked again, says so a second time: that is no answer to
// the second attempt, which goes by another connection.
#[test_case("BUSY"; "full")]
#[test_case("MISS"; "not loaded")]
fn a_second_answer_to_an_earlier_attempt_answers_nothing(verb: &str) {
    let mut rig = SocketNode::new(1, |_| ());
    let (client, first) = rig.carried("confirm", 1);
    rig.peers[first].send(&word(verb, 1));
    rig.until("again", |rig| told(&rig.peers, "DO", 1) == 2);
    rig.peers[first].send(&word(verb, 1));
    rig.quiet();
    let second = rig.carries(1);
    assert_ne!(second, first, "by another connection");
    rig.peers[second].send(&word("OK", 1));
    rig.leaves();
    let answer = rig.rest(client);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(told(&rig.ends(), "DO", 1), 2);
}

// An answer after the word that gave it up, and one cut in the middle: nobody gets them.
#[test]
fn an_answer_after_a_cancel_answers_nothing() {
    let mut rig = SocketNode::new(1, |_| ());
    let (client, connection) = rig.carried("quote", 1);
    rig.hangs_up(client);
    rig.until("given up", |rig| rig.peers[connection].told("UNDO", 1) == 1);
    rig.peers[connection].send(&word("OK", 1));
    let (client, a_new_configuration_moves_the_name_service) = rig.carried("confirm", 2);
    assert_eq!(a_new_configuration_moves_the_name_service, connection, "the connection is good");
    rig.peers[connection].send(&word("OK", 2)[..40]);
    drop(rig.peers.remove(connection));
    rig.leaves();
    let answer = rig.rest(client);
    assert!(answer.starts_with("HTTP/1.1 502"), "it may have run: {answer}");
    assert_eq!(told(&rig.ends(), "DO", 2), 0, "and is not sent again");
}

// A repeat waits for its connection until the model server would not know it as one any more: it never
// begins, and as the first may have run, nothing says that trying again is harmless.
#[test]
fn a_repeat_is_not_sent_after_its_window() {
    let mut rig = SocketNode::new(2, |file| file["settings"]["lanes"][1]["window"] = 300.0.into());
    let (client, connection) = rig.carried("hold", 1);
    rig.quiet();
    rig.peers[connection].send(&word("ERR", 1));
    rig.until("a further attempt", |rig| rig.node.borrow().open_counts().worker_connections == 2);
    rig.stands_still(400 * MS);
    rig.leaves();
    let answer = rig.rest(client);
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(told(&rig.ends(), "DO", 1), 1);
}
