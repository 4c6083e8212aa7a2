//! A name service whose answers are late, out of order or lost. It promises no response time, so an answer
//! counts whenever it arrives, and a query without an answer says nothing about the list.
//!
//! The bounds are those of the protocol: an event counts as notified 1.5 s after it happened, and nothing new
//! may be sent to a draining server once the grace of 2 s has passed, with a slack of 50 ms.
mod common;
use applepond_node::ProcessEvent;
use applepond_reactor::{Closed, ConnectionId, Machine, Micros};
use common::name_service::{LateNameService, Reaction, open_sockets, uneven};
use common::*;
use serde_json::Value;
use std::cmp::max;
use std::net::SocketAddr;
use test_case::test_case;

/// Time after a drain from which on nothing new may be sent to the server.
const NOTHING_NEW_AFTER: Micros = 3_550 * MS;
/// The longest time between two queries, with a margin for the tick.
const MAX_QUERY_INTERVAL: Micros = 550 * MS;

/// A node with two model servers and its name service.
struct Rig {
    sim: SimulatedNode,
    name_service: LateNameService,
    config_json: Value,
    last_id: u64,
}

impl Rig {
    fn new(change: fn(&mut Value)) -> Self {
        let mut config_json = config_json(2);
        change(&mut config_json);
        let sim = SimulatedNode::with(&config_json);
        Rig { sim, name_service: LateNameService::new(&config_json), config_json, last_id: 0 }
    }

    fn drain_first_server(&mut self) {
        self.config_json["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
        self.name_service.update(&self.config_json);
    }

    /// Sends a call for a function of its own.
    fn call(&mut self) -> (u64, ConnectionId) {
        self.last_id += 1;
        let client = self.sim.connect_client();
        let function = request_id(self.last_id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        self.sim.send(client, call("quote", self.last_id).replace(FUNCTION, &function).as_bytes());
        self.sim.worker_connections();
        (self.last_id, client)
    }

    /// The connections on which a request has been sent.
    fn connections_with(&mut self, id: u64) -> Vec<ConnectionId> {
        let line = ("DO".to_owned(), request_id(id));
        let mut connections = self.sim.worker_connections();
        connections.retain(|conn| self.sim.lines(*conn).contains(&line));
        connections
    }

    /// Sends calls for this time, which the model servers answer at once. Returns when the first server last
    /// received one.
    fn serve_calls(&mut self, time: Micros, mut react: impl FnMut(usize) -> Reaction) -> Micros {
        let end = self.sim.now + time;
        let mut last_received = 0;
        while self.sim.now < end {
            self.name_service.run(&mut self.sim, 50 * MS, &mut react);
            let (id, client) = self.call();
            let conn = self.sim.connection_of(id);
            if self.sim.address(conn) == first_server() {
                last_received = self.sim.now;
            }
            self.sim.send(conn, answer_line("OK", id).as_bytes());
            assert_eq!(self.sim.statuses(client), [200]);
        }
        last_received
    }
}

fn first_server() -> SocketAddr {
    "127.0.1.1:8443".parse().expect("an address")
}

// Regression: queries were given up after 0.2 s, so a slower name service was never heard, and draining
// servers received requests after the grace.
#[test_case(250 * MS)]
#[test_case(300 * MS)]
#[test_case(S)]
#[test_case(2_900 * MS)]
#[test_case(6 * S)]
fn an_answer_is_used_however_late_it_is(delay: Micros) {
    let mut rig = Rig::new(|_| ());
    assert!(rig.serve_calls(2 * S, |_| Reaction::AnswerAfter(delay)) > 0, "the first server is used");
    rig.drain_first_server();
    let drained_at = rig.sim.now;
    let last_received = rig.serve_calls(10 * S, |_| Reaction::AnswerAfter(delay));
    let allowed = max(NOTHING_NEW_AFTER, delay + MAX_QUERY_INTERVAL);
    assert!(last_received < drained_at + allowed, "{} us after the drain", last_received - drained_at);
}

// Regression: as above, with answers that overtake each other, beside lost ones: two in a row.
#[test]
fn a_drain_is_known_in_time_with_uneven_delays_and_lost_answers() {
    for seed in 0..40 {
        let mut delays = uneven(seed, 1_500 * MS, 0);
        let mut react = |query: usize| match delays(query) {
            Reaction::AnswerAfter(delay) if query % 3 == 2 => Reaction::AnswerAfter(delay),
            _ => Reaction::Ignore,
        };
        let mut rig = Rig::new(|_| ());
        rig.serve_calls(3 * S, &mut react);
        rig.drain_first_server();
        let drained_at = rig.sim.now;
        let last_received = rig.serve_calls(6 * S, &mut react);
        assert!(last_received < drained_at + NOTHING_NEW_AFTER, "seed {seed}");
    }
}

// A list that arrives after a newer one is ignored: the server it names as ready has drained.
#[test]
fn a_list_overtaken_by_a_newer_one_is_ignored() {
    let mut rig = Rig::new(|_| ());
    rig.name_service.run(&mut rig.sim, 2 * S, |_| Reaction::AnswerAfter(2_600 * MS));
    rig.drain_first_server();
    let react = |_| Reaction::AnswerAfter(50 * MS);
    rig.name_service.run(&mut rig.sim, S, react);
    assert_eq!(rig.serve_calls(4 * S, react), 0);
}

// Neither a silent nor a slow name service is queried more often than one that answers at once, and the
// sockets of pending queries are bounded.
#[test_case(|_| Reaction::Ignore, 256, 16; "silent")]
#[test_case(|_| Reaction::Ignore, 64, 4; "silent, few descriptors")]
#[test_case(|_| Reaction::AnswerAfter(300 * MS), 256, 2; "300 ms")]
#[test_case(|_| Reaction::AnswerAfter(3 * S), 256, 16; "3 s")]
#[test_case(|_| Reaction::AnswerAfter(30 * S), 256, 16; "30 s")]
fn queries_of_a_slow_service_are_bounded(react: fn(usize) -> Reaction, descriptors: u64, max_sockets: usize) {
    let mut rig = Rig::new(|_| ());
    rig.config_json["limits"]["sockets"] = descriptors.into();
    rig.sim = SimulatedNode::with(&rig.config_json);
    rig.name_service.run(&mut rig.sim, 60 * S, react);
    let (queries, sockets) = (rig.name_service.queries.len(), rig.name_service.max_sockets);
    assert!((60 * 2..=60 * 4 + 1).contains(&queries), "{queries} queries");
    assert!(sockets <= max_sockets, "{sockets} sockets");
    rig.name_service.run(&mut rig.sim, 2 * S, |_| Reaction::AnswerAfter(0));
    assert!(open_sockets(&rig.sim) <= 1, "an answer ends all earlier queries");
}

/// Pauses the process, during which the first server drains.
fn pause_with_drain(rig: &mut Rig) {
    rig.drain_first_server();
    rig.sim.now += 5 * S;
}

/// Advances the node. The servers answer these requests at once.
fn run_answering(rig: &mut Rig, time: Micros, ids: &[u64], react: fn(usize) -> Reaction) {
    let end = rig.sim.now + time;
    while rig.sim.now < end {
        rig.name_service.run(&mut rig.sim, 10 * MS, react);
        for id in ids {
            for conn in rig.connections_with(*id) {
                rig.sim.send(conn, answer_line("OK", *id).as_bytes());
            }
        }
    }
}

// Regression: after a pause of the process, a query that was given up after 0.2 s counted like an answer, and
// requests were sent by the list from before the pause.
#[test_case(|_| Reaction::AnswerAfter(50 * MS); "50 ms")]
#[test_case(|_| Reaction::AnswerAfter(300 * MS); "300 ms")]
#[test_case(|_| Reaction::AnswerAfter(S); "1 s")]
#[test_case(|_| Reaction::AnswerAfter(1_300 * MS); "1.3 s")]
fn after_a_pause_requests_wait_for_a_late_list(react: fn(usize) -> Reaction) {
    let mut rig = Rig::new(|_| ());
    rig.serve_calls(2 * S, react);
    pause_with_drain(&mut rig);
    let (ids, clients): (Vec<u64>, Vec<ConnectionId>) = (0..8).map(|_| rig.call()).unzip();
    run_answering(&mut rig, 1_900 * MS, &ids, react);
    for id in &ids {
        let connections = rig.connections_with(*id);
        assert!(connections.iter().all(|conn| rig.sim.address(*conn) != first_server()), "request {id}");
    }
    let statuses: Vec<_> = clients.iter().map(|client| rig.sim.statuses(*client)).collect();
    assert_eq!(statuses, vec![[200]; 8]);
}

// Regression: a query that ended because a new configuration moved the name service counted like an answer.
#[test]
fn a_move_of_the_name_service_answers_no_query() {
    let mut rig = Rig::new(|_| ());
    rig.serve_calls(2 * S, |_| Reaction::AnswerAfter(0));
    pause_with_drain(&mut rig);
    rig.name_service.run(&mut rig.sim, 100 * MS, |_| Reaction::Ignore);
    let mut moved = rig.config_json.clone();
    moved["names"] = "127.0.2.9:5301".into();
    let event = ProcessEvent::ConfigReplaced(Ok(Box::new(parse_config(&moved))));
    rig.sim.process_events.borrow_mut().push(event);
    rig.name_service.run(&mut rig.sim, 60 * MS, |_| Reaction::AnswerAfter(300 * MS));
    let ids: Vec<u64> = (0..8).map(|_| rig.call().0).collect();
    run_answering(&mut rig, S, &ids, |_| Reaction::AnswerAfter(300 * MS));
    for id in ids {
        let connections = rig.connections_with(id);
        assert!(!connections.is_empty(), "request {id}");
        assert!(connections.iter().all(|conn| rig.sim.address(*conn) != first_server()), "request {id}");
    }
}

// The name service is silent after a pause. Requests are answered by their deadlines all the same, and those
// with time left are sent by the known list.
#[test]
fn requests_end_in_time_while_they_wait_for_a_silent_service() {
    let mut rig = Rig::new(|_| ());
    rig.serve_calls(2 * S, |_| Reaction::AnswerAfter(0));
    rig.sim.now += 5 * S;
    let short = rig.sim.connect_client();
    rig.sim.send(short, call("quote", 1_001).replace("Budget-Ms: 2000", "Budget-Ms: 400").as_bytes());
    let (id, client) = rig.call();
    rig.name_service.run(&mut rig.sim, 450 * MS, |_| Reaction::Ignore);
    assert!(matches!(rig.sim.statuses(short)[..], [502..=504]), "{:?}", rig.sim.statuses(short));
    assert_eq!(rig.connections_with(id).len(), 0, "held");
    run_answering(&mut rig, 1_100 * MS, &[id], |_| Reaction::Ignore);
    assert_eq!(rig.sim.statuses(client), [200]);
}

// A client hangs up while its request waits for the list. The request is never sent.
#[test]
fn a_waiting_request_of_a_client_that_hangs_up_is_not_sent() {
    let mut rig = Rig::new(|_| ());
    rig.serve_calls(2 * S, |_| Reaction::AnswerAfter(0));
    rig.sim.now += 5 * S;
    let (id, client) = rig.call();
    rig.sim.disconnect(client, Closed::Reset);
    rig.name_service.run(&mut rig.sim, 2 * S, |_| Reaction::AnswerAfter(0));
    assert_eq!(rig.connections_with(id).len(), 0);
}

// The connection of a keyed request is lost. Its retry waits for the list until the servers may have
// forgotten the key, and is not sent.
#[test]
fn a_keyed_retry_does_not_wait_for_the_list_beyond_its_window() {
    let mut rig = Rig::new(|json| json["settings"]["lanes"][1]["deadline"] = 9_000.0.into());
    rig.serve_calls(2 * S, |_| Reaction::AnswerAfter(0));
    let client = rig.sim.connect_client();
    let keyed = call("hold", 1_001).replace("Budget-Ms: 2000", "Budget-Ms: 9000");
    rig.sim.send(client, keyed.as_bytes());
    let conn = rig.sim.connection_of(1_001);
    rig.sim.now += 2 * S;
    rig.sim.disconnect(conn, Closed::Reset);
    rig.name_service.run(&mut rig.sim, 5 * S, |_| Reaction::Ignore);
    assert_eq!(rig.sim.send_count(1_001), 1);
}

/// Bytes that arrive on the socket of a query ahead of its answer.
#[derive(Clone, Copy)]
enum Stray {
    /// An answer under another id.
    OtherId,
    /// No DNS message.
    Noise,
    /// A query instead of an answer.
    Echo,
}

// Regression: a datagram that was not the answer to a query ended the query. The answer behind it was lost.
#[test_case(Stray::OtherId; "another id")]
#[test_case(Stray::Noise; "noise")]
#[test_case(Stray::Echo; "the query itself")]
fn a_stray_datagram_does_not_end_a_query(stray: Stray) {
    let mut rig = Rig::new(|_| ());
    rig.drain_first_server();
    rig.sim.advance(300 * MS);
    let (conn, _, query) = rig.sim.transport.datagrams.last().expect("a query").clone();
    let mut answer = dns_answer(0, 2, &parse_config(&rig.config_json));
    answer[..2].copy_from_slice(&query[..2]);
    let mut other_id = answer.clone();
    other_id[0] ^= 1;
    let stray_bytes = match stray {
        Stray::OtherId => other_id,
        Stray::Noise => b"noise".to_vec(),
        Stray::Echo => query,
    };
    for bytes in [stray_bytes, answer] {
        if !rig.sim.transport.cut.contains(&conn) {
            rig.sim.node.datagram_received(rig.sim.now, &mut rig.sim.transport, conn, &bytes);
        }
    }
    assert_eq!(rig.serve_calls(2 * S, |_| Reaction::Ignore), 0, "the drain is known");
}

// Regression: a service that rejects each query at once was queried twenty times a second.
#[test]
fn a_service_that_rejects_queries_is_not_flooded() {
    let mut rig = Rig::new(|_| ());
    let begin = rig.sim.transport.datagrams.len();
    for _ in 0..60 * 100 {
        rig.sim.advance(10 * MS);
        let (conn, _, mut rejection) = rig.sim.transport.datagrams.last().expect("a query").clone();
        if !rig.sim.transport.cut.contains(&conn) {
            // A response with the code for a server failure.
            rejection[2..4].copy_from_slice(&[0x80, 0x02]);
            rig.sim.node.datagram_received(rig.sim.now, &mut rig.sim.transport, conn, &rejection);
        }
    }
    let queries = rig.sim.transport.datagrams.len() - begin;
    assert!(queries <= 60 * 4 + 4, "{queries} queries in 60 s");
}
