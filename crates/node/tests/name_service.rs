//! The endpoint list of the name service: late, lost, older, or from another address.
//!
//! Each case runs the node on real sockets: the bad order lies in the kernel before the router looks. The
//! rows of docs/ends.md name these cases.
mod common;
use applepond_node::ProcessEvent;
use common::sockets::{SocketNode, told};
use common::*;
use std::io::Write;
use std::net::{TcpStream, UdpSocket};
use std::time::{Duration, Instant};
use test_case::test_case;

// The name service is gone (its port refuses), idle clients take every place, and then it is back with a
// model server that has just come.
#[test]
fn the_list_is_fetched_when_the_name_service_returns_amid_idle_clients() {
    let mut rig = SocketNode::new(1, |file| {
        file["limits"]["sockets"] = 64.into();
        file["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    });
    let names = rig.names.local_addr().expect("bound");
    rig.names = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let _crowd: Vec<_> = (0..200).map(|_| TcpStream::connect(rig.at).expect("it listens")).collect();
    let begun = Instant::now();
    rig.until("refused a few times", |_| begun.elapsed() > Duration::from_millis(600));
    rig.names = UdpSocket::bind(names).expect("free again");
    rig.names.set_nonblocking(true).expect("set");
    let mut file = rig.file.clone();
    file["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "in_service".into();
    rig.update_list(&start(&file));
    rig.served(1);
}

/// What the router looks at when it goes on.
#[derive(Clone, Copy, PartialEq)]
enum Waits {
    /// A request that nobody has read.
    Request,
    /// A connection that stands by now, with a request for it.
    Connection,
    /// The word of another server that it has failed.
    Word,
}

// The router stands still, and a server begins to drain. What waits when it goes on is not sent there: the
// list is asked for first.
#[test_case(Waits::Request; "a request has come")]
#[test_case(Waits::Connection; "a connection stands")]
#[test_case(Waits::Word; "the other server has failed")]
fn nothing_new_is_sent_by_a_list_from_before_a_standstill(what: Waits) {
    let mut rig = SocketNode::new(2, |file| {
        file["settings"]["lanes"][0]["on-time"] = 4000.0.into();
        file["settings"]["lanes"][0]["deadline"] = 5000.0.into();
    });
    let ask = |id| call("quote", id).replace("Budget-Ms: 2000", "Budget-Ms: 5000");
    let mut client = rig.client();
    client.write_all(ask(1).as_bytes()).expect("written");
    rig.until("connecting", |rig| rig.node.borrow().open_counts().worker_connections == 1);
    let draining = match what {
        Waits::Connection => rig.home(),
        Waits::Request => {
            let connection = rig.carries(1);
            rig.peers[connection].send(&word("OK", 1));
            rig.quiet();
            rig.home()
        }
        Waits::Word => {
            let connection = rig.carries(1);
            rig.peers[connection].send(&word("ERR", 1));
            1 - rig.home()
        }
    };
    if what == Waits::Request {
        client.write_all(ask(2).as_bytes()).expect("written");
    }
    rig.stands_still(1_100 * MS);
    let mut file = rig.file.clone();
    file["known"]["updates"][0]["endpoints"]["members"][draining]["phase"] = "terminating".into();
    rig.update_list(&start(&file));
    let id = if what == Waits::Request { 2 } else { 1 };
    let most = if what == Waits::Word { 2 } else { 1 };
    rig.until("sent on", |rig| told(&rig.peers, "DO", id) == most);
    rig.quiet();
    let server = rig.servers[draining].local_addr().expect("bound");
    let there = rig.peers.iter().filter(|p| p.stream.local_addr().is_ok_and(|at| at == server));
    assert_eq!(there.map(|p| p.told("DO", id)).sum::<usize>(), 0, "not to the one that drains");
}

// It stands still, and the name service says nothing when it goes on: what is known has to do, and no attempt
// is spent on waiting for it.
#[test_case(false; "a request has come")]
#[test_case(true; "a request is held")]
fn requests_go_on_after_a_standstill_when_the_name_service_is_silent(held: bool) {
    let mut rig = SocketNode::new(1, |file| {
        file["settings"]["lanes"][0]["on-time"] = 4000.0.into();
        file["settings"]["lanes"][0]["deadline"] = 5000.0.into();
        file["settings"]["allowed"]["attempts-cap"] = (1 + usize::from(held)).into();
    });
    rig.served(1);
    let mut client = rig.client();
    let ask = call("quote", 2).replace("Budget-Ms: 2000", "Budget-Ms: 5000");
    client.write_all(ask.as_bytes()).expect("written");
    if held {
        let connection = rig.carries(2);
        rig.peers[connection].send(&word("BUSY", 2));
        rig.quiet();
    }
    rig.stands_still(1_100 * MS);
    rig.until("sent on", |rig| told(&rig.peers, "DO", 2) == 1 + usize::from(held));
    let connection = rig.carries(2);
    rig.peers[connection].send(&word("OK", 2));
    rig.leaves();
    let answer = rig.rest(client);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

// The name service tells an older list, in which the model server is gone: it is none.
#[test]
fn an_older_list_is_ignored() {
    let mut rig = SocketNode::new(1, |_| ());
    let mut gone = rig.file.clone();
    rig.update_list(&start(&gone));
    gone["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminated".into();
    rig.until("taken in", |rig| rig.names.peek(&mut [0; 512]).is_ok());
    let mut question = [0; 512];
    let (_, from) = rig.names.recv_from(&mut question).expect("just seen");
    let older = answer(u16::from_be_bytes([question[0], question[1]]), 1, &start(&gone));
    rig.names.send_to(&older, from).expect("sent");
    rig.until("asked again", |rig| rig.names.peek(&mut [0; 512]).is_ok());
    rig.served(1);
}

// A new configuration moves the service amid a question: the old one's answer is nobody's.
#[test]
fn an_answer_of_the_old_name_service_is_ignored_after_a_move() {
    let mut rig = SocketNode::new(1, |_| ());
    let mut question = [0; 512];
    let mut asked = None;
    rig.until("a question", |rig| {
        asked = rig.names.recv_from(&mut question).ok();
        asked.is_some()
    });
    let old = std::mem::replace(&mut rig.names, UdpSocket::bind("127.0.0.1:0").expect("a port"));
    rig.names.set_nonblocking(true).expect("set");
    let mut new = rig.file.clone();
    new["names"] = rig.names.local_addr().expect("bound").to_string().into();
    rig.process_events.borrow_mut().push(ProcessEvent::ConfigReplaced(Ok(Box::new(start(&new)))));
    rig.until("asked anew", |rig| rig.names.peek(&mut [0; 512]).is_ok());
    let mut gone = rig.file.clone();
    gone["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminated".into();
    let late = answer(u16::from_be_bytes([question[0], question[1]]), 9, &start(&gone));
    old.send_to(&late, asked.expect("just seen").1).expect("sent");
    rig.served(1);
}
