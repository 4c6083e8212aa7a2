//! The instance on a simulated network: hard cases, each by the outcome that its peers see.
mod common;
use applepond::interface::Micros;
use applepond_gateway::Deployment;
use applepond_reactor::{Closed, Machine};
use common::*;
use proptest::prelude::*;
use test_case::test_case;

#[test]
fn a_request_is_sent_and_its_answer_returned() {
    let mut sim = SimulatedGateway::new(deployment(2));
    let client = sim.send_event("quote", "1");
    let connection = sim.worker_connections()[0];
    let request = sim.told(connection);
    for wanted in ["POST /run", "ce-id: 1\r\n", "applepond-function: hut\r\n", "applepond-time-left-ms: 3990"]
    {
        assert!(request.contains(wanted), "{wanted} in {request}");
    }
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    assert_eq!(sim.statuses(client), [200]);
    assert!(sim.told(client).ends_with("{\"ok\": 1}") && sim.told(client).contains("ce-type: result"));
}

// A client's retry joins the running request: one attempt, one answer to each exchange; after the end it is
// told again.
#[test_case("quote"; "idempotent")]
#[test_case("confirm"; "at-most-once")]
fn retries_join_the_request_in_progress(kind: &str) {
    let mut sim = SimulatedGateway::new(deployment(2));
    let clients = [sim.send_event(kind, "1"), sim.send_event(kind, "1"), sim.send_event(kind, "1")];
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    let late = sim.send_event(kind, "1");
    for client in clients.into_iter().chain([late]) {
        assert_eq!(sim.statuses(client), [200]);
    }
    assert_eq!(sim.requests(), 1);
    sim.advance(61 * S);
    sim.send_event(kind, "1");
    sim.worker_connections();
    assert_eq!(sim.requests(), 2, "after its time the answer is forgotten");
}

#[test]
fn a_retry_after_a_rejection_is_a_new_request() {
    let mut sim = SimulatedGateway::new(deployment(0));
    let first = sim.send_event("confirm", "1");
    sim.advance(4 * S);
    assert_eq!(sim.statuses(first), [503]);
    let told = sim.told(first);
    assert!(
        told.contains("Retry-After: ") && told.contains("retry-after-ms") && told.contains("pushed-back")
    );
    let again = sim.send_event("confirm", "1");
    sim.advance(4 * S);
    assert_eq!((sim.statuses(first), sim.statuses(again)), (vec![503], vec![503]));
}

// At-most-once, by what had left when the connection ended.
#[test_case(false, Closed::Never, 2, None; "never open: sent elsewhere")]
#[test_case(true, Closed::Reset, 1, Some(502); "open and written: may have run")]
#[test_case(true, Closed::Ended, 1, Some(502); "closed by the worker after it was written")]
fn an_at_most_once_request_is_resent_only_if_nothing_was_sent(
    open: bool,
    why: Closed,
    requests: usize,
    status: Option<u16>,
) {
    let mut sim = SimulatedGateway::new(deployment(3));
    let client = sim.send_event("confirm", "1");
    let (connection, _) = sim.transport.connections[0];
    if open {
        sim.connected(connection);
    }
    sim.disconnect(connection, why);
    sim.advance(S);
    sim.worker_connections();
    assert_eq!(sim.requests(), 1, "written once: here, or elsewhere where the first never stood");
    assert_eq!(sim.transport.connections.len(), if open { 1 } else { requests });
    assert_eq!(sim.statuses(client).first().copied(), status);
    let again = sim.send_event("confirm", "1");
    if status.is_some() {
        assert_eq!(sim.statuses(again).first().copied(), status, "a retry is told the same and runs nothing");
    }
}

// A kept connection that the worker closed at that moment: once more if no byte left, else it may have run.
#[test_case(0, 2, None; "nothing written: a new connection, the same worker")]
#[test_case(1, 1, Some(502); "one byte written")]
fn a_request_on_a_closed_idle_connection_is_resent_if_nothing_was_sent(
    bytes: u64,
    requests: usize,
    status: Option<u16>,
) {
    let mut sim = SimulatedGateway::new(deployment(1));
    sim.send_event("confirm", "1");
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    sim.transport.blocked.insert(connection);
    let client = sim.send_event("confirm", "2");
    assert_eq!(sim.transport.connections.len(), 1, "the kept connection is used");
    *sim.transport.sent.get_mut(&connection).expect("used before") += bytes;
    sim.disconnect(connection, Closed::Reset);
    sim.worker_connections();
    assert_eq!((sim.transport.connections.len(), sim.statuses(client).first().copied()), (requests, status));
}

#[test]
fn a_long_idle_connection_carries_no_at_most_once_request() {
    let mut sim = SimulatedGateway::new(deployment(1));
    sim.send_event("quote", "1");
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    sim.advance(600 * MS);
    sim.send_event("confirm", "2");
    assert_eq!(sim.transport.connections.len(), 2);
    sim.send_event("quote", "3");
    assert_eq!(sim.transport.connections.len(), 2, "an idempotent one goes there still");
    sim.advance(6 * S);
    assert!(sim.transport.cut.contains(&sim.transport.connections[1].0), "what hangs past the limit is cut");
}

// The hedge: the loser is told by the end of its connection, and what it still sends is not read.
#[test]
fn a_cancel_cuts_the_connection_and_late_answers_are_dropped() {
    let mut sim = SimulatedGateway::new(deployment(3));
    let client = sim.send_event("quote", "1");
    let first = sim.worker_connections()[0];
    sim.advance(800 * MS);
    let worker_connections = sim.worker_connections();
    assert_eq!(worker_connections.len(), 2, "one copy after the hedge delay");
    sim.receive(worker_connections[1], FINISHED_RESPONSE.as_bytes());
    assert!(sim.transport.cut.contains(&first));
    sim.receive(first, FINISHED_RESPONSE.as_bytes());
    assert_eq!(sim.statuses(client), [200]);
}

#[test_case("quote", 503; "idempotent is pushed back")]
#[test_case("confirm", 504; "at-most-once is killed")]
fn an_answer_after_the_deadline_is_not_returned(kind: &str, status: u16) {
    let mut sim = SimulatedGateway::new(deployment(1));
    let client = sim.send_event(kind, "1");
    let connection = sim.worker_connections()[0];
    sim.advance(3990 * MS);
    assert_eq!(sim.statuses(client), [status]);
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    sim.advance(10 * S);
    assert_eq!(sim.statuses(client), [status]);
}

#[test]
fn a_second_answer_on_a_connection_is_dropped() {
    let mut sim = SimulatedGateway::new(deployment(1));
    let client = sim.send_event("quote", "1");
    let connection = sim.worker_connections()[0];
    sim.receive(connection, format!("{FINISHED_RESPONSE}{FINISHED_RESPONSE}").as_bytes());
    assert_eq!(sim.statuses(client), [200]);
    assert!(sim.transport.cut.contains(&connection), "that connection is not trusted further");
    let next = sim.send_event("quote", "2");
    assert!(sim.statuses(next).is_empty(), "the second answer is not the next job's");
}

// What a worker sends that is no answer: the request is not answered by it.
#[test_case("\x16\x03\x01 no HTTP\r\n\r\n", 502; "no HTTP")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 502; "no event")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 502; "two lengths")]
#[test_case("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", 502; "503 without the worker's mark")]
fn an_unreadable_answer_counts_as_one_that_may_have_run(receive: &str, status: u16) {
    let mut sim = SimulatedGateway::new(deployment(1));
    let client = sim.send_event("confirm", "1");
    let connection = sim.worker_connections()[0];
    sim.receive(connection, receive.as_bytes());
    assert_eq!(sim.statuses(client), [status]);
}

#[test]
fn an_overloaded_verdict_lets_an_at_most_once_request_move_on() {
    let mut sim = SimulatedGateway::new(deployment(2));
    let client = sim.send_event("confirm", "1");
    let connection = sim.worker_connections()[0];
    sim.receive(connection, b"HTTP/1.1 503 Full\r\napplepond-outcome: full\r\nContent-Length: 0\r\n\r\n");
    let second = sim.worker_connections()[1];
    sim.receive(second, FINISHED_RESPONSE.as_bytes());
    assert_eq!(sim.statuses(client), [200]);
}

// A worker's answer cut at every byte, then broken off: never half an answer to the client.
#[test]
fn an_answer_is_read_however_it_is_split() {
    for n in 0..FINISHED_RESPONSE.len() {
        let mut sim = SimulatedGateway::new(deployment(1));
        let client = sim.send_event("confirm", "1");
        let connection = sim.worker_connections()[0];
        sim.receive(connection, &FINISHED_RESPONSE.as_bytes()[..n]);
        assert!(sim.statuses(client).is_empty(), "cut at {n}");
        sim.disconnect(connection, Closed::Reset);
        assert_eq!(sim.statuses(client), [502], "cut at {n}");
    }
}

#[test]
fn nothing_is_sent_to_a_worker_that_drains_while_it_is_connected() {
    let mut deployment = deployment(0);
    deployment.endpoint_list = Some("127.0.0.1:8999".parse().expect("an address"));
    let mut sim = SimulatedGateway::new(deployment);
    let list = sim.worker_connections()[0];
    let line = |standing: &str| {
        let line = format!(
            "{{\"kind\":\"full\",\"workers\":[{{\"name\":\"w\",\"address\":\"127.0.0.1:9\",\
             \"standing\":\"{standing}\"}}]}}\n"
        );
        format!("{:x}\r\n{line}\r\n", line.len())
    };
    sim.receive(
        list,
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", line("ready")).as_bytes(),
    );
    let client = sim.send_event("quote", "1");
    let connection = sim.transport.connections[1].0;
    sim.receive(list, line("draining").as_bytes());
    sim.connected(connection);
    assert_eq!(sim.requests(), 0, "nothing new after the notice");
    sim.advance(4 * S);
    assert_eq!((sim.requests(), sim.statuses(client)), (0, vec![503]));
}

// The list cut in two pieces at every byte reads the same.
#[test]
fn an_endpoint_list_is_read_however_it_is_split() {
    let worker = "{\"name\":\"w\",\"address\":\"127.0.0.1:9\",\"standing\":\"ready\"}";
    let line = format!("{{\"kind\":\"full\",\"workers\":[{worker}]}}\n");
    let all = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len());
    for n in 0..all.len() {
        let mut deployment = deployment(0);
        deployment.endpoint_list = Some("127.0.0.1:8999".parse().expect("an address"));
        let mut sim = SimulatedGateway::new(deployment);
        let list = sim.worker_connections()[0];
        sim.receive(list, &all.as_bytes()[..n]);
        sim.receive(list, &all.as_bytes()[n..]);
        sim.send_event("quote", "1");
        sim.worker_connections();
        assert_eq!(sim.requests(), 1, "cut at {n}");
    }
}

// The list breaks off or talks nonsense: what was known holds, and it is asked for again.
#[test_case("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"; "refused")]
#[test_case("\x00\x01\r\n\r\n"; "no HTTP")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{...\n"; "no JSON, then its end")]
fn the_last_endpoint_list_holds_when_the_next_is_broken(receive: &str) {
    let mut deployment = deployment(1);
    deployment.endpoint_list = Some("127.0.0.1:8999".parse().expect("an address"));
    let mut sim = SimulatedGateway::new(deployment);
    let list = sim.worker_connections()[0];
    sim.receive(list, receive.as_bytes());
    sim.advance(S);
    assert!(sim.transport.cut.contains(&list) && sim.transport.connections.len() >= 2, "asked again");
    let client = sim.send_event("quote", "1");
    let connection = *sim.worker_connections().last().expect("a link");
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    assert_eq!(sim.statuses(client), [200]);
}

#[test]
fn a_request_outlasts_its_client_only_if_it_was_sent() {
    let mut sim = SimulatedGateway::new(deployment(1));
    let gone = sim.send_event("confirm", "1");
    let connection = sim.worker_connections()[0];
    sim.disconnect(gone, Closed::Reset);
    let back = sim.send_event("confirm", "1");
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    assert_eq!((sim.statuses(back), sim.requests()), (vec![200], 1), "it joins what it left");
    let mut sim = SimulatedGateway::new(deployment(0));
    let gone = sim.send_event("confirm", "1");
    sim.disconnect(gone, Closed::Reset);
    sim.send_event("confirm", "1");
    let page = sim.connect_client();
    sim.receive(page, b"GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
    let state = sim.told(page);
    assert!(state.contains("\"taken\":2") && state.contains("\"open\":1"), "never sent, it ended: {state}");
}

// Answers go out one by one and in the order of the requests, though the second request ends first.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let mut sim = SimulatedGateway::new(deployment(2));
    let client = sim.connect_client();
    let both = format!("{}{}", event("quote", "1"), event("quote", "2"));
    sim.receive(client, both.as_bytes());
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    assert_eq!(sim.statuses(client), [200]);
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    assert_eq!(sim.statuses(client), [200, 200]);
}

#[test]
fn a_client_that_half_closes_still_gets_its_answer() {
    let mut sim = SimulatedGateway::new(deployment(1));
    let client = sim.send_event("quote", "1");
    let now = sim.now;
    sim.gateway.half_closed(now, &mut sim.transport, client);
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    assert_eq!(sim.statuses(client), [200]);
    assert!(sim.transport.finished.contains(&client));
}

#[test]
fn a_client_that_expects_100_continue_gets_it() {
    let mut sim = SimulatedGateway::new(deployment(1));
    let client = sim.connect_client();
    let event = event("quote", "1").replace("Host: a", "Host: a\r\nExpect: 100-continue");
    let (head, body) = event.split_at(event.len() - 2);
    sim.receive(client, head.as_bytes());
    assert_eq!(sim.told(client), "HTTP/1.1 100 Continue\r\n\r\n");
    sim.receive(client, body.as_bytes());
    sim.worker_connections();
    assert_eq!(sim.requests(), 1);
}

#[test]
fn slow_clients_time_out() {
    let mut sim = SimulatedGateway::new(deployment(1));
    let slow = sim.connect_client();
    for byte in event("quote", "1").bytes().take(20) {
        sim.receive(slow, &[byte]);
        sim.advance(S);
    }
    assert_eq!(sim.statuses(slow), [408]);
    let deaf = sim.connect_client();
    sim.transport.blocked.insert(deaf);
    sim.receive(deaf, event("quote", "2").as_bytes());
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    sim.advance(16 * S);
    assert!(sim.transport.cut.contains(&deaf), "its buffer is given up");
}

// While one waits, the pipeline behind it stays bounded: reading pauses, and goes on with the answer.
#[test]
fn a_long_pipeline_pauses_reading() {
    let mut sim = SimulatedGateway::new(deployment(1));
    let client = sim.connect_client();
    sim.receive(client, event("quote", "0").as_bytes());
    let more: String = (1..1000).map(|n| event("quote", &n.to_string())).collect();
    sim.receive(client, more.as_bytes());
    assert!(sim.transport.paused.contains(&client));
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    assert!(!sim.transport.paused.contains(&client));
}

fn bad(field: &str, with: &str) -> String {
    event("quote", "1").replacen(field, with, 1)
}

// Each is told what is wrong, its connection ends or goes on as it should, and the neighbour notices nothing.
#[test_case(&bad("ce-type: quote", "ce-type: tea"), 422, "unknown-workload"; "unknown workload")]
#[test_case(&bad("ce-subject: hut", "ce-customer: nobody\r\nce-subject: hut"), 422, "unknown-customer";
    "unknown customer")]
#[test_case(&bad("ce-subject: hut\r\n", ""), 422, "no-function"; "no function")]
#[test_case(&bad("ce-subject: hut", "ce-expirytime: soon\r\nce-subject: hut"), 400, "bad-time"; "bad expiry")]
#[test_case(&bad("ce-subject: hut", "ce-expirytime: 1970-01-01T00:00:00Z\r\nce-subject: hut"), 504, "expired";
    "expired")]
#[test_case(&bad("ce-id: 1\r\n", ""), 400, "missing-attribute"; "no id")]
#[test_case(&bad("1.0\r\n", "0.3\r\n"), 422, "bad-specversion"; "specversion")]
#[test_case(&bad("ce-id: 1", "ce-id: a%00b"), 400, "control-character"; "control character")]
#[test_case(&bad("Content-Length: 2", "Content-Length: 10485760"), 413, "body-too-large"; "10 MiB")]
#[test_case(&bad("Content-Length: 2", "Content-Length: 2\r\nTransfer-Encoding: chunked"), 400, "two-lengths";
    "two lengths")]
#[test_case(&bad("Host: a", "Host: a\r\nX: a\r\n b"), 400, "bad-head"; "folded field")]
#[test_case(&bad("POST /events", "GET /events"), 405, "bad-method"; "method")]
#[test_case(&bad("POST /events", "POST /elsewhere"), 404, "no-such-path"; "path")]
#[test_case(&bad("Host: a", "Host: a\r\nContent-Type: application/cloudevents-batch+json"), 415, "batch-mode";
    "batch")]
#[test_case(&bad("Host: a", "Host: a\r\nExpect: tea"), 417, "bad-expectation"; "expectation")]
fn unreadable_requests_are_refused_with_their_reason(request: &str, status: u16, reason: &str) {
    let mut sim = SimulatedGateway::new(deployment(1));
    let neighbour = sim.send_event("quote", "n");
    let client = sim.connect_client();
    sim.receive(client, request.as_bytes());
    assert_eq!(sim.statuses(client), [status]);
    let told = sim.told(client);
    assert!(
        told.contains(&format!("\"reason\":\"{reason}\"")) && told.contains("application/problem+json"),
        "{told}"
    );
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    assert_eq!((sim.statuses(neighbour), sim.requests()), (vec![200], 1));
}

// Two thousand retries of different clients within four seconds, to an instance that has seen nothing before:
// told from work, most are rejected before Control, each with a time of its own; the state page says why.
// Undamped all go in.
#[test_case(true; "damped")]
#[test_case(false; "not damped")]
fn retries_are_shed_in_a_storm(damping: bool) {
    let mut sim = SimulatedGateway::new(Deployment { storm_shedding: damping, ..deployment(0) });
    let mut clients = Vec::new();
    for n in 0..2_000 {
        let client = sim.connect_client();
        let retry = event("quote", &n.to_string()).replace("/desk", &format!("/desk/{}", n % 900));
        sim.receive(client, retry.replace("ce-id", "ce-retry: true\r\nce-id").as_bytes());
        clients.push(client);
        sim.advance(2 * MS);
    }
    let page = sim.connect_client();
    sim.receive(page, b"GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
    let state = sim.told(page);
    assert!(
        state.contains("\"called\":\"storm\"") && state.contains(&format!("\"damped\":{damping}")),
        "{state}"
    );
    let reasons = |sim: &SimulatedGateway, reason: &str| {
        clients.iter().filter(|c| sim.told(**c).contains(reason)).count()
    };
    assert_eq!(reasons(&sim, "\"reason\":\"storm\"") > 1_000, damping);
    sim.advance(5 * S);
    assert!(clients.iter().all(|c| sim.statuses(*c).len() == 1), "one answer each in any case");
    let waits: std::collections::BTreeSet<String> = clients
        .iter()
        .filter_map(|c| sim.told(*c).split("retry-after-ms\":").nth(1).map(|w| w[..4].to_owned()))
        .collect();
    assert!(waits.len() > 200, "{} different times", waits.len());
}

// A crowd at the door: all of it is taken, at a pace, and the door is open again soon after.
#[test_case(true; "damped")]
#[test_case(false; "not damped")]
fn accepting_pauses_when_too_many_connect(damping: bool) {
    let mut sim = SimulatedGateway::new(Deployment { storm_shedding: damping, ..deployment(1) });
    let (begun, mut closings) = (sim.now, 0);
    for _ in 0..4_000 {
        sim.connect_client();
        while !sim.transport.not_accepting.is_empty() {
            closings += 1;
            sim.advance(5 * MS);
            assert!(sim.now < begun + 3 * S, "the door stays closed");
        }
    }
    assert_eq!(closings > 0, damping);
    assert_eq!(sim.now > begun + S, damping, "4,000 do not come in at once");
}

// A time that Control named while all was calm is remembered: whoever comes before it did not follow.
#[test]
fn retry_after_is_followed_or_not() {
    let mut sim = SimulatedGateway::new(deployment(0));
    let ask = |sim: &mut SimulatedGateway, n: u32| {
        let client = sim.send_event("quote", &n.to_string());
        sim.advance(MS);
        client
    };
    let first: Vec<_> = (0..40).map(|n| ask(&mut sim, n)).collect();
    sim.advance(S);
    assert!(first.iter().all(|c| sim.told(*c).contains("retry-after-ms")), "{}", sim.told(first[0]));
    (0..40).for_each(|n| _ = ask(&mut sim, n));
    let page = sim.connect_client();
    sim.receive(page, b"GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
    let told = sim.told(page);
    let page: serde_json::Value =
        serde_json::from_str(told.split("\r\n\r\n").nth(1).expect("a body")).expect("JSON");
    let advice = &page["storm"]["advice"];
    let rates = ["followed-per-s", "not-kept-per-s"].map(|n| advice[n].as_f64().expect("a rate"));
    assert!(rates[0] + rates[1] > 10.0, "{advice}");
}

#[test]
fn the_state_page_counts_what_happened() {
    let mut sim = SimulatedGateway::new(deployment(2));
    sim.send_event("quote", "1");
    let client = sim.connect_client();
    sim.receive(client, b"GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
    let told = sim.told(client);
    let page: serde_json::Value =
        serde_json::from_str(told.split("\r\n\r\n").nth(1).expect("a body")).expect("JSON");
    assert_eq!((&page["jobs"]["open"], &page["workers"]["ready"]), (&1.into(), &2.into()));
}

proptest! {
    // Random bytes from client, worker and list, in random pieces: no panic, and the neighbour is answered.
    #[test]
    fn random_bytes_from_any_peer_leave_the_client_one_answer(
        noise in prop::collection::vec(any::<u8>(), 0..300),
        cut in 0usize..300,
    ) {
        let mut deployment = deployment(1);
        deployment.endpoint_list = Some("127.0.0.1:8999".parse().expect("an address"));
        let mut sim = SimulatedGateway::new(deployment);
        let cut = cut.min(noise.len());
        let list = sim.worker_connections()[0];
        let client = sim.send_event("quote", "1");
        sim.worker_connections();
        let (connection, wild) = (sim.transport.connections[1].0, sim.connect_client());
        for conn in [wild, list, connection] {
            sim.receive(conn, &noise[..cut]);
            sim.receive(conn, &noise[cut..]);
        }
        sim.advance(5 * S);
        prop_assert_eq!(sim.statuses(client).len(), 1);
    }
}

/// Leases by name, until a time.
struct Leases(&'static str, Micros, std::rc::Rc<std::cell::RefCell<Vec<(String, u32)>>>);

impl applepond_gateway::PrefixTracker for Leases {
    fn record_use(&mut self, name: &str, size: u32) {
        self.2.borrow_mut().push((name.to_owned(), size));
    }
    fn pin_lease(&self, now: Micros, name: &str) -> Option<Micros> {
        (name == self.0 && now < self.1).then(|| self.1 - now)
    }
    fn set_ready_workers(&mut self, _: usize) {}
}

// A request's opening goes to its worker, with a lease while the list has it; a request is counted when it
// is taken.
#[test_case("opening: long", "size: 7", Some("applepond-opening-lease-ms: 2000"), &[("long", 7)]; "pinned")]
#[test_case("opening: other", "size: 7", None, &[("other", 7)]; "not in the list")]
#[test_case("opening: long", "size: seven", Some("lease-ms: 2000"), &[("long", 0)]; "of unknown size")]
#[test_case("other: long", "size: 7", None, &[]; "without one")]
fn a_requests_prefix_is_sent_with_its_lease(
    by: &str,
    size: &str,
    lease: Option<&str>,
    counted: &[(&str, u32)],
) {
    let mut sim = SimulatedGateway::new(deployment(1));
    let uses = std::rc::Rc::default();
    let gateway = applepond_gateway::Gateway::new(sim.now, deployment(1), Box::new(|_| ()));
    let leases = Leases("long", sim.now + 2 * S, std::rc::Rc::clone(&uses));
    sim.gateway = gateway.with_prefix_tracker(Box::new(leases));
    sim.transport = Default::default();
    sim.gateway.start(sim.now, &mut sim.transport);
    let client = sim.connect_client();
    let more = format!("ce-type: quote\r\nce-{by}\r\nce-opening{size}\r\n");
    sim.receive(client, event("quote", "1").replace("ce-type: quote\r\n", &more).as_bytes());
    let connection = sim.worker_connections()[0];
    let told = sim.told(connection);
    assert_eq!(told.contains("applepond-opening: "), !counted.is_empty(), "{told}");
    assert_eq!(told.contains("applepond-opening-lease-ms"), lease.is_some(), "{told}");
    assert!(lease.is_none_or(|l| told.contains(l)), "{told}");
    let counted: Vec<(String, u32)> = counted.iter().map(|(n, s)| ((*n).to_owned(), *s)).collect();
    assert_eq!(*uses.borrow(), counted);
    assert!(told.contains("ce-type: quote"));
}
