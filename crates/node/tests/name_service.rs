//! Endpoint lists from the name service that are late, lost, outdated, or from another address.
//!
//! Each test runs the node on real sockets and brings events into an unfavourable order in the kernel before
//! the router polls. docs/ends.md lists these tests by name.
mod common;
use applepond_node::ProcessEvent;
use common::sockets::{SocketNode, line_count};
use common::*;
use std::collections::VecDeque;
use std::io::Write;
use std::net::{TcpStream, UdpSocket};
use std::time::{Duration, Instant};
use test_case::test_case;

// The name service is unavailable (its port is closed) while idle clients use up all connections. Then it
// returns with a new model server, which must become usable.
#[test]
fn the_list_is_fetched_when_the_name_service_returns_amid_idle_clients() {
    let mut rig = SocketNode::new(1, |config_json| {
        config_json["limits"]["sockets"] = 64.into();
        config_json["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    });
    let names = rig.name_service.local_addr().expect("bound");
    rig.name_service = UdpSocket::bind("127.0.0.1:0").expect("free port");
    let _idle_clients: Vec<_> =
        (0..200).map(|_| TcpStream::connect(rig.address).expect("the node listens")).collect();
    let begun = Instant::now();
    rig.wait_until("a few failed queries", |_| begun.elapsed() > Duration::from_millis(600));
    rig.name_service = UdpSocket::bind(names).expect("free again");
    rig.name_service.set_nonblocking(true).expect("socket option set");
    let mut config_json = rig.config_json.clone();
    config_json["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "in_service".into();
    rig.update_list(&parse_config(&config_json));
    rig.complete_request(1);
}

/// The event that is pending when the router continues after a pause.
#[derive(Clone, Copy, PartialEq)]
enum Pending {
    /// An unread request.
    Request,
    /// An established connection, for which a request is queued.
    Connection,
    /// An error from another server.
    ServerError,
}

// A server starts to drain while the router is paused. Requests pending after the pause must not be sent to
// it: the endpoint list is queried first.
#[test_case(Pending::Request; "a request has arrived")]
#[test_case(Pending::Connection; "a connection is established")]
#[test_case(Pending::ServerError; "the other server has failed")]
fn nothing_new_is_sent_by_a_list_from_before_a_standstill(what: Pending) {
    let mut rig = SocketNode::new(2, |config_json| {
        config_json["settings"]["lanes"][0]["on-time"] = 4000.0.into();
        config_json["settings"]["lanes"][0]["deadline"] = 5000.0.into();
    });
    let long_call = |id| call("quote", id).replace("Budget-Ms: 2000", "Budget-Ms: 5000");
    let mut client = rig.client();
    client.write_all(long_call(1).as_bytes()).expect("written");
    rig.wait_until("connecting", |rig| rig.node.borrow().open_counts().worker_connections == 1);
    let draining = match what {
        Pending::Connection => rig.first_connected_server(),
        Pending::Request => {
            let connection = rig.connection_of(1);
            rig.peers[connection].send(&answer_line("OK", 1));
            rig.settle();
            rig.first_connected_server()
        }
        Pending::ServerError => {
            let connection = rig.connection_of(1);
            rig.peers[connection].send(&answer_line("ERR", 1));
            1 - rig.first_connected_server()
        }
    };
    if what == Pending::Request {
        client.write_all(long_call(2).as_bytes()).expect("written");
    }
    rig.pause(1_100 * MS);
    let mut config_json = rig.config_json.clone();
    config_json["known"]["updates"][0]["endpoints"]["members"][draining]["phase"] = "terminating".into();
    rig.update_list(&parse_config(&config_json));
    let id = if what == Pending::Request { 2 } else { 1 };
    let most = if what == Pending::ServerError { 2 } else { 1 };
    rig.wait_until("request sent", |rig| line_count(&rig.peers, "DO", id) == most);
    rig.settle();
    let server = rig.servers[draining].local_addr().expect("bound");
    let there = rig.peers.iter().filter(|p| p.stream.local_addr().is_ok_and(|at| at == server));
    assert_eq!(
        there.map(|p| p.line_count("DO", id)).sum::<usize>(),
        0,
        "nothing may be sent to the draining server"
    );
}

// The name service is silent after a pause of the router. The router continues with the current list, and the
// wait for the name service uses up no attempt.
#[test_case(false; "a request has arrived")]
#[test_case(true; "a request is queued")]
fn requests_go_on_after_a_standstill_when_the_name_service_is_silent(is_queued: bool) {
    let mut rig = SocketNode::new(1, |config_json| {
        config_json["settings"]["lanes"][0]["on-time"] = 4000.0.into();
        config_json["settings"]["lanes"][0]["deadline"] = 5000.0.into();
        config_json["settings"]["allowed"]["attempts-cap"] = (1 + usize::from(is_queued)).into();
    });
    rig.complete_request(1);
    let mut client = rig.client();
    let long_call = call("quote", 2).replace("Budget-Ms: 2000", "Budget-Ms: 5000");
    client.write_all(long_call.as_bytes()).expect("written");
    if is_queued {
        let connection = rig.connection_of(2);
        rig.peers[connection].send(&answer_line("BUSY", 2));
        rig.settle();
    }
    rig.pause(1_100 * MS);
    rig.wait_until("request sent", |rig| line_count(&rig.peers, "DO", 2) == 1 + usize::from(is_queued));
    let connection = rig.connection_of(2);
    rig.peers[connection].send(&answer_line("OK", 2));
    rig.shut_down();
    let answer = rig.read_to_end(client);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

// The name service answers with an older list, in which the model server is gone. The list must be ignored.
#[test]
fn an_older_list_is_ignored() {
    let mut rig = SocketNode::new(1, |_| ());
    let mut gone = rig.config_json.clone();
    rig.update_list(&parse_config(&gone));
    gone["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminated".into();
    rig.wait_until("list applied", |rig| rig.name_service.peek(&mut [0; 512]).is_ok());
    let mut buffer = [0; 512];
    let (_, from) = rig.name_service.recv_from(&mut buffer).expect("checked above");
    let older = dns_answer(u16::from_be_bytes([buffer[0], buffer[1]]), 1, &parse_config(&gone));
    rig.name_service.send_to(&older, from).expect("sent");
    rig.wait_until("next query", |rig| rig.name_service.peek(&mut [0; 512]).is_ok());
    rig.complete_request(1);
}

// A new configuration changes the name service's address while a query is pending. The old service's answer
// must be ignored.
#[test]
fn an_answer_of_the_old_name_service_is_ignored_after_a_move() {
    let mut rig = SocketNode::new(1, |_| ());
    let mut buffer = [0; 512];
    let mut query = None;
    rig.wait_until("query", |rig| {
        query = rig.name_service.recv_from(&mut buffer).ok();
        query.is_some()
    });
    let old = std::mem::replace(&mut rig.name_service, UdpSocket::bind("127.0.0.1:0").expect("free port"));
    rig.name_service.set_nonblocking(true).expect("socket option set");
    let mut new = rig.config_json.clone();
    new["names"] = rig.name_service.local_addr().expect("bound").to_string().into();
    rig.process_events.borrow_mut().push(ProcessEvent::ConfigReplaced(Ok(Box::new(parse_config(&new)))));
    rig.wait_until("query at the new address", |rig| rig.name_service.peek(&mut [0; 512]).is_ok());
    let mut gone = rig.config_json.clone();
    gone["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminated".into();
    let late = dns_answer(u16::from_be_bytes([buffer[0], buffer[1]]), 9, &parse_config(&gone));
    old.send_to(&late, query.expect("checked above").1).expect("sent");
    rig.complete_request(1);
}

// Regression: an answer that took longer than 0.2 s came to a closed port. Here each answer takes 0.3 s on
// real sockets; the server that drains must receive nothing new once its answer has been sent.
#[test]
fn an_answer_after_300_ms_arrives_on_real_sockets() {
    const DELAY: Duration = Duration::from_millis(300);
    let mut rig = SocketNode::new(1, |_| ());
    rig.complete_request(1);
    let mut drained = rig.config_json.clone();
    drained["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    let drained = parse_config(&drained);
    let mut queries = VecDeque::new();
    let mut answers = 0;
    rig.wait_until("four late answers", |rig| {
        let mut buffer = [0; 512];
        while let Ok((_, from)) = rig.name_service.recv_from(&mut buffer) {
            queries.push_back((Instant::now(), u16::from_be_bytes([buffer[0], buffer[1]]), from));
        }
        while let Some((_, id, from)) = queries.pop_front_if(|(at, ..)| at.elapsed() >= DELAY) {
            rig.name_service.send_to(&dns_answer(id, 2, &drained), from).expect("sent");
            answers += 1;
        }
        answers >= 4
    });
    let mut client = rig.client();
    client.write_all(call("quote", 2).as_bytes()).expect("written");
    rig.run_for(300 * MS);
    assert_eq!(line_count(&rig.peers, "DO", 2), 0);
}
