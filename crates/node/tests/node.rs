//! One router on a simulated network. Each test checks what clients and model servers observe.
mod common;
use applepond_node::ProcessEvent;
use applepond_reactor::Closed;
use common::*;
use serde_json::json;
use test_case::test_case;

#[test]
fn a_call_is_sent_and_its_answer_returned() {
    let mut sim = SimulatedNode::new(2);
    let client = sim.send_call("hold", 1);
    let connection = sim.connection_of(1);
    let line = sim.transport.written_text(connection);
    for wanted in [
        r#""queue":"hold""#,
        r#""path":"7f3a9c21e0b4d655""#,
        r#""uniq":"5c0f6e1a2b3d4c59a8b7c6d5e4f30211""#,
        r#""budget":1990}"#,
        r#""content":"aGk=""#,
    ] {
        assert!(line.contains(wanted), "{wanted} in {line}");
    }
    sim.send(connection, answer_line("OK", 1).as_bytes());
    assert_eq!(sim.statuses(client), [200]);
    assert!(sim.transport.written_text(client).ends_with("\r\n\r\nok"));
}

#[test]
fn the_health_check_is_answered_at_once() {
    let mut sim = SimulatedNode::new(1);
    let client = sim.connect_client();
    sim.send(client, b"GET /check HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(sim.statuses(client), [200]);
}

// An attempt sent on a lost connection may have run, so only an idempotent request is sent again.
#[test_case("quote", &[], 2; "idempotent: once more, elsewhere")]
#[test_case("confirm", &[502], 1; "at-most-once: may have run")]
fn what_was_sent_on_a_lost_connection_may_have_run(workload: &str, statuses: &[u16], runs: usize) {
    let mut sim = SimulatedNode::new(2);
    let client = sim.send_call(workload, 1);
    let connection = sim.connection_of(1);
    sim.disconnect(connection, Closed::Reset);
    sim.worker_connections();
    assert_eq!((sim.statuses(client).as_slice(), sim.send_count(1)), (statuses, runs));
}

#[test]
fn an_attempt_on_a_connection_never_established_did_not_run() {
    let mut sim = SimulatedNode::new(2);
    let client = sim.send_call("confirm", 1);
    let first = sim.transport.connections[0].0;
    sim.disconnect(first, Closed::NotEstablished);
    let connection = sim.connection_of(1);
    sim.send(connection, answer_line("OK", 1).as_bytes());
    assert_eq!((sim.statuses(client), sim.send_count(1)), (vec![200], 1));
}

// A line of which the kernel accepted no byte is withdrawn. If it accepted one byte, the request may have
// run.
#[test_case(0, 503; "no byte was sent")]
#[test_case(1, 502; "one byte was sent, and health checks are not answered")]
fn a_timed_out_line_of_which_nothing_was_sent_did_not_run(room: usize, status: u16) {
    let mut sim = SimulatedNode::new(1);
    let client = sim.send_call("confirm", 1);
    let connection = sim.transport.connections[0].0;
    sim.transport.accept_limit.insert(connection, room);
    sim.worker_connections();
    sim.advance(2 * S);
    assert_eq!(sim.statuses(client), [status]);
}

#[test]
fn a_few_attempts_share_a_connection() {
    let mut sim = SimulatedNode::new(1);
    for id in 1..=12 {
        sim.send_call("quote", id);
        sim.worker_connections();
    }
    let loads: Vec<usize> = sim.worker_connections().iter().map(|c| sim.lines(*c).len()).collect();
    assert!(loads.iter().all(|n| *n <= 4), "too many attempts share a connection: {loads:?}");
    assert!(loads.len() <= 4, "too many connections were opened: {loads:?}");
}

// Duplicate and unsolicited answers are ignored.
#[test_case("", &answer_line("OK", 1); "the same answer twice")]
#[test_case(&answer_line("OK", 99), ""; "an unknown id ahead")]
#[test_case("{\"verb\":\"UP\",\"rid\":\"x\"}\n", ""; "an unsolicited health check answer")]
fn answers_that_nobody_waits_for_change_nothing(ahead: &str, behind: &str) {
    let mut sim = SimulatedNode::new(1);
    let clients = [sim.send_call("confirm", 1), sim.send_call("confirm", 2)];
    let connection = sim.connection_of(1);
    sim.send(
        connection,
        format!("{ahead}{}{behind}{}", answer_line("OK", 1), answer_line("OK", 2)).as_bytes(),
    );
    assert_eq!(clients.map(|c| sim.statuses(c)), [vec![200], vec![200]]);
    assert!(!sim.transport.cut.contains(&connection));
}

// An invalid line closes the connection and is not passed to the client.
#[test_case(b"\x00\xff\x13\x37\n"; "noise")]
#[test_case(b"{\"verb\":\"OK\",\"rid\":\"0000000000000001\",\"content\":\"b2s\"}\n"; "no base64")]
#[test_case(b"{\"verb\":\"FINE\",\"rid\":\"0000000000000001\"}\n"; "an unknown verb")]
#[test_case(&[b'x'; 100_000]; "a line that does not end")]
fn an_unreadable_line_ends_its_connection(bytes: &[u8]) {
    let mut sim = SimulatedNode::new(1);
    let client = sim.send_call("confirm", 1);
    let connection = sim.connection_of(1);
    sim.send(connection, bytes);
    assert!(sim.transport.cut.contains(&connection));
    assert_eq!(sim.statuses(client), [502], "the request may have run");
}

#[test]
fn a_request_is_cancelled_when_its_client_goes() {
    let mut sim = SimulatedNode::new(1);
    let client = sim.send_call("confirm", 1);
    let connection = sim.connection_of(1);
    sim.disconnect(client, Closed::Reset);
    assert_eq!(sim.lines(connection).last(), Some(&("UNDO".into(), request_id(1))));
    sim.send(connection, answer_line("OK", 1).as_bytes());
    assert_eq!(sim.statuses(client), [0u16; 0]);
}

#[test]
fn a_second_request_with_an_open_id_is_refused() {
    let mut sim = SimulatedNode::new(1);
    let (client, other) = (sim.send_call("quote", 1), sim.send_call("quote", 1));
    assert_eq!(sim.statuses(other), [409]);
    let connection = sim.connection_of(1);
    sim.send(connection, answer_line("OK", 1).as_bytes());
    assert_eq!((sim.statuses(client), sim.send_count(1)), (vec![200], 1));
}

// Regression: an answer carries the id of its request alone. One to a request that had ended, late or sent
// twice, was taken for the answer to a new request with the same id on the same connection.
#[test_case(false; "its client has left, and its answer comes late")]
#[test_case(true; "it was answered, and its answer comes again")]
fn a_late_answer_is_not_taken_for_that_of_a_request_with_the_same_id(was_answered: bool) {
    let mut sim = SimulatedNode::new(1);
    let client = sim.send_call("confirm", 1);
    let connection = sim.connection_of(1);
    if was_answered {
        sim.send(connection, answer_line("OK", 1).as_bytes());
        assert_eq!(sim.statuses(client), [200]);
    } else {
        sim.disconnect(client, Closed::Reset);
    }
    let other = sim.send_call("confirm", 1);
    sim.worker_connections();
    sim.send(connection, answer_line("OK", 1).as_bytes());
    assert_eq!(sim.statuses(other), [0u16; 0], "the answer to the first request");
    let own_connection = sim.connection_of(1);
    assert_ne!(own_connection, connection);
    sim.send(own_connection, answer_line("OK", 1).as_bytes());
    assert_eq!((sim.statuses(other), sim.send_count(1)), (vec![200], 2));
    // A request with an id of its own is still sent on the first connection.
    sim.send_call("confirm", 2);
    assert_eq!(sim.worker_connections().len(), 2);
}

// A silent connection with pending answers is sent a health check, and aborted if it does not answer.
#[test_case(true, &[]; "answered: the request takes long")]
#[test_case(false, &[502]; "not answered")]
fn a_silent_connection_is_aborted_unless_it_answers_the_health_check(works: bool, statuses: &[u16]) {
    let mut sim = SimulatedNode::new(1);
    let client = sim.send_call("confirm", 1);
    let connection = sim.connection_of(1);
    sim.advance(300 * MS);
    assert_eq!(sim.lines(connection).last().map(|(verb, _)| verb.as_str()), Some("ECHO"));
    if works {
        sim.send(connection, b"{\"verb\":\"UP\",\"rid\":\"works\"}\n");
    }
    sim.advance(550 * MS);
    assert_eq!(
        (sim.statuses(client).as_slice(), sim.transport.cut.contains(&connection)),
        (statuses, !works)
    );
}

#[test]
fn an_idle_connection_is_closed_before_its_server_does() {
    let mut sim = SimulatedNode::new(1);
    sim.send_call("quote", 1);
    let connection = sim.connection_of(1);
    sim.send(connection, answer_line("OK", 1).as_bytes());
    sim.advance(11 * S);
    assert_eq!((sim.lines(connection).len(), sim.transport.cut.contains(&connection)), (1, false));
    sim.advance(S);
    assert!(sim.transport.cut.contains(&connection));
}

// With too many connections, a new client can still send its request: the connection that has been silent
// longest is closed, else the one idle longest, never one with an open request.
#[test_case(0; "all others sent a request and are idle")]
#[test_case(100; "some never send a request")]
fn the_longest_silent_connection_makes_room(silent: usize) {
    let mut sim = SimulatedNode::new(1);
    let open = sim.send_call("quote", 1_000);
    let silent_clients: Vec<_> = (0..silent).map(|_| sim.connect_client()).collect();
    for _ in 0..127 - silent {
        sim.advance(2 * MS);
        let idle = sim.connect_client();
        sim.send(idle, b"GET /check HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    sim.advance(300 * MS);
    let fresh: Vec<_> = (0..50).map(|_| sim.connect_client()).collect();
    for (conn, id) in fresh.iter().zip(2_000..) {
        assert!(!sim.transport.cut.contains(conn), "a new connection must not be aborted");
        sim.send(*conn, call("quote", id).as_bytes());
    }
    let first = silent_clients.first().copied();
    assert!(first.is_none_or(|c| sim.transport.cut.contains(&c)) && !sim.transport.cut.contains(&open));
}

// After a shutdown request, further calls are served and close their connections. The node exits once all
// clients have disconnected.
#[test]
fn a_shutdown_serves_what_comes_and_awaits_its_clients() {
    let mut sim = SimulatedNode::new(1);
    let early = sim.send_call("quote", 1);
    sim.process_events.borrow_mut().push(ProcessEvent::ShutDown);
    sim.advance(100 * MS);
    sim.process_events.borrow_mut().push(ProcessEvent::ShutDown);
    let late = sim.send_call("quote", 2);
    sim.advance(500 * MS);
    for id in [1, 2] {
        let connection = sim.connection_of(id);
        sim.send(connection, answer_line("OK", id).as_bytes());
    }
    for client in [early, late] {
        assert_eq!(sim.statuses(client), [200]);
        assert!(sim.transport.written_text(client).contains("Connection: close"));
    }
    assert!(!sim.exited.get(), "new calls may still arrive");
    sim.advance(S);
    assert!(!sim.exited.get(), "the clients have not closed their connections yet");
    sim.disconnect(early, Closed::Ended);
    sim.advance(100 * MS);
    assert!(!sim.exited.get(), "one client is still connected");
    sim.disconnect(late, Closed::Ended);
    sim.advance(100 * MS);
    assert!(sim.exited.get());
}

#[test]
fn a_shutdown_waits_for_requests_in_flight() {
    let mut sim = SimulatedNode::new(1);
    let client = sim.send_call("confirm", 1);
    let connection = sim.connection_of(1);
    sim.process_events.borrow_mut().push(ProcessEvent::ShutDown);
    for _ in 0..3 {
        sim.advance(400 * MS);
        sim.send(connection, b"{\"verb\":\"UP\",\"rid\":\"works\"}\n");
    }
    assert!(!sim.exited.get());
    sim.send(connection, answer_line("OK", 1).as_bytes());
    sim.advance(100 * MS);
    assert!(
        !sim.exited.get() && sim.transport.finished.contains(&client),
        "its response may still be in transit"
    );
    sim.advance(2 * S);
    assert!(sim.exited.get(), "the wait for a client that never closes is bounded");
}

// A new configuration changes the address of the name service. An invalid one changes nothing.
#[test_case(true, "127.0.2.9:5301"; "moved")]
#[test_case(false, "127.0.2.1:5300"; "cannot be read")]
fn a_new_configuration_moves_the_name_service(good: bool, queried: &str) {
    let mut sim = SimulatedNode::new(1);
    let mut new = config_json(1);
    new["names"] = "127.0.2.9:5301".into();
    let new = if good {
        Ok(Box::new(parse_config(&new)))
    } else {
        Err(applepond_platform::errors::InputError::InvalidJson(String::new()))
    };
    sim.process_events.borrow_mut().push(ProcessEvent::ConfigReplaced(new));
    sim.advance(S);
    assert_eq!(sim.transport.datagrams.last().map(|(_, to, _)| to.to_string()), Some(queried.to_owned()));
    let client = sim.send_call("quote", 1);
    let connection = sim.connection_of(1);
    sim.send(connection, answer_line("OK", 1).as_bytes());
    assert_eq!(sim.statuses(client), [200]);
}

// A query without an answer is repeated soon, with a new id from a new port.
#[test]
fn a_lost_answer_of_the_name_service_is_queried_again() {
    let mut sim = SimulatedNode::new(1);
    sim.advance(S);
    let queries: Vec<_> =
        sim.transport.datagrams.iter().map(|(conn, _, bytes)| (*conn, bytes[..2].to_vec())).collect();
    assert!((4..=8).contains(&queries.len()), "{}", queries.len());
    assert!(queries.windows(2).all(|w| w[0].0 != w[1].0 && w[0].1 != w[1].1), "from new ports, with new ids");
    assert!(queries.iter().all(|(conn, _)| !sim.transport.cut.contains(conn)), "late answers are accepted");
    sim.update_list(&parse_config(&config_json(1)));
    sim.advance(S);
    assert!(queries.iter().all(|(conn, _)| sim.transport.cut.contains(conn)), "an answer ends all of them");
}

// A server that drains, is gone (rule 3 of the audit) or is replaced by another at the same address receives
// no new requests, while its requests in flight complete.
#[test_case(|list| list[0]["phase"] = "terminating".into(), true; "draining")]
#[test_case(|list| list[0]["phase"] = "terminated".into(), true; "gone")]
#[test_case(|list| list[0]["id"] = "s-new".into(), false; "a new one at the old address")]
fn a_server_that_drains_or_is_replaced_gets_nothing_new(change: fn(&mut serde_json::Value), ends: bool) {
    let mut sim = SimulatedNode::new(1);
    let first = sim.send_call("quote", 1);
    let connection = sim.connection_of(1);
    let mut config_json = config_json(1);
    change(&mut config_json["known"]["updates"][0]["endpoints"]["members"]);
    sim.update_list(&parse_config(&config_json));
    sim.send(connection, answer_line("OK", 1).as_bytes());
    assert_eq!(sim.statuses(first), [200], "requests in flight complete");
    sim.advance(100 * MS);
    assert!(sim.transport.cut.contains(&connection), "and then the connection is closed");
    sim.send_call("quote", 2);
    sim.worker_connections();
    assert_eq!(sim.send_count(2), usize::from(!ends));
    assert!(ends || sim.connection_of(2) != connection);
}

// An attempt that waits for a connection is withdrawn if its server is drained meanwhile.
#[test]
fn nothing_is_sent_to_a_server_that_drains_while_it_is_connected() {
    let mut sim = SimulatedNode::new(1);
    let client = sim.send_call("confirm", 1);
    let mut config_json = config_json(1);
    config_json["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    sim.update_list(&parse_config(&config_json));
    sim.worker_connections();
    sim.advance(2 * S);
    assert_eq!((sim.send_count(1), sim.statuses(client)), (0, vec![503]));
}

#[test]
fn silent_clients_are_aborted_within_three_seconds() {
    let mut sim = SimulatedNode::new(1);
    let clients = [sim.connect_client(), sim.connect_client()];
    sim.send(clients[1], b"POST /do/7f3a9c2");
    sim.advance(2_900 * MS);
    assert!(clients.iter().all(|c| sim.transport.cut.contains(c)));
}

// Runs many requests, each with its own id and function. No state may remain after they have ended.
#[test]
fn nothing_is_kept_of_what_has_ended() {
    let mut sim = SimulatedNode::new(4);
    let mut timers = 0;
    for round in 0..40u64 {
        for n in 0..50 {
            let id = round * 50 + n;
            let client = sim.connect_client();
            sim.send(client, call("quote", id).replace(FUNCTION, &request_id(id)).as_bytes());
            let connection = sim.connection_of(id);
            sim.send(connection, answer_line("OK", id).as_bytes());
            assert_eq!(sim.statuses(client), [200]);
            sim.disconnect(client, Closed::Reset);
            sim.advance(20 * MS);
        }
        sim.transport.written.clear();
        sim.transport.datagrams.clear();
        if round == 10 {
            timers = sim.transport.pending_timers();
        }
    }
    let open = sim.node.open_counts();
    assert_eq!((open.requests, open.clients, open.workers), (0, 0, 4), "requests, clients, servers");
    assert!(
        sim.node.open_counts().worker_connections <= 4 && sim.transport.pending_timers() <= timers * 2,
        "{} timers",
        sim.transport.pending_timers()
    );
}

// A blocked connection is aborted even if its only request has been cancelled.
#[test]
fn a_blocked_connection_is_aborted_after_its_request_is_cancelled() {
    let mut sim = SimulatedNode::new(1);
    let client = sim.send_call("confirm", 1);
    let connection = sim.transport.connections[0].0;
    sim.transport.accept_limit.insert(connection, 1);
    sim.worker_connections();
    sim.advance(300 * MS);
    sim.disconnect(client, Closed::Reset);
    sim.advance(600 * MS);
    assert!(sim.transport.cut.contains(&connection));
}

// In the configuration's list events, a server that is gone may have no address.
#[test]
fn a_gone_server_needs_no_address() {
    let mut config_json = config_json(2);
    let gone = json!({"index": 2, "endpoints": {"members": [{"id": "s-1", "phase": "terminated"}]}});
    config_json["known"]["updates"].as_array_mut().expect("events").push(gone);
    let sim = SimulatedNode::with(&config_json);
    assert_eq!(sim.node.open_counts().workers, 1);
}

// Servers without a cell in the configuration's list must not be treated as sharing one.
#[test]
fn servers_without_a_cell_share_none() {
    let mut config_json = config_json(2);
    for member in config_json["known"]["updates"][0]["endpoints"]["members"].as_array_mut().expect("two") {
        member.as_object_mut().expect("an entry").remove("cell");
    }
    let racks: Vec<_> =
        parse_config(&config_json).list_events[0].1.iter().map(|worker| worker.endpoint.rack).collect();
    assert_ne!(racks[0], racks[1]);
}

// No descriptor is available for a query of the name service. The node continues with the current list.
#[test]
fn the_known_list_holds_without_a_descriptor_for_a_query() {
    let mut sim = SimulatedNode::new(1);
    sim.transport.failing_datagram_opens = usize::MAX;
    sim.advance(5 * S);
    sim.send_call("quote", 1);
    sim.worker_connections();
    assert_eq!(sim.send_count(1), 1);
}
