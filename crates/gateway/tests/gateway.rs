//! A gateway on a simulated network: failures and edge cases, checked by what its peers observe.
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
    let request = sim.output(connection);
    for wanted in ["POST /run", "ce-id: 1\r\n", "applepond-function: hut\r\n", "applepond-time-left-ms: 3990"]
    {
        assert!(request.contains(wanted), "{wanted} in {request}");
    }
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    assert_eq!(sim.statuses(client), [200]);
    assert!(sim.output(client).ends_with("{\"ok\": 1}") && sim.output(client).contains("ce-type: result"));
}

// A client's retry joins the request in progress: one attempt, and one answer to each client. After the end,
// the cached answer is replayed.
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
    assert_eq!(sim.requests(), 2, "the cached answer has expired");
}

#[test]
fn a_retry_after_a_rejection_is_a_new_request() {
    let mut sim = SimulatedGateway::new(deployment(0));
    let first = sim.send_event("confirm", "1");
    sim.advance(4 * S);
    assert_eq!(sim.statuses(first), [503]);
    let output = sim.output(first);
    assert!(
        output.contains("Retry-After: ")
            && output.contains("retry-after-ms")
            && output.contains("pushed-back")
    );
    let again = sim.send_event("confirm", "1");
    sim.advance(4 * S);
    assert_eq!((sim.statuses(first), sim.statuses(again)), (vec![503], vec![503]));
}

// An at-most-once request must not be sent to another worker once a byte of it has been sent.
#[test_case(false, Closed::NotEstablished, 2, None; "never connected: sent elsewhere")]
#[test_case(true, Closed::Reset, 1, Some(502); "connected and sent: may have run")]
#[test_case(true, Closed::Ended, 1, Some(502); "closed by the worker after it was sent")]
fn an_at_most_once_request_is_resent_only_if_nothing_was_sent(
    connected: bool,
    reason: Closed,
    connections: usize,
    status: Option<u16>,
) {
    let mut sim = SimulatedGateway::new(deployment(3));
    let client = sim.send_event("confirm", "1");
    let (connection, _) = sim.transport.connections[0];
    if connected {
        sim.connected(connection);
    }
    sim.disconnect(connection, reason);
    sim.advance(S);
    sim.worker_connections();
    assert_eq!(sim.requests(), 1, "sent once, to another worker if the first connection failed");
    assert_eq!(sim.transport.connections.len(), if connected { 1 } else { connections });
    assert_eq!(sim.statuses(client).first().copied(), status);
    let again = sim.send_event("confirm", "1");
    if status.is_some() {
        assert_eq!(
            sim.statuses(again).first().copied(),
            status,
            "a retry gets the cached answer and runs nothing"
        );
    }
}

// A worker may close an idle connection while a request is being sent on it. The request is sent again if no
// byte had been sent; otherwise it may have run.
#[test_case(0, 2, None; "nothing sent: a new connection to the same worker")]
#[test_case(1, 1, Some(502); "one byte sent")]
fn a_request_on_a_closed_idle_connection_is_resent_if_nothing_was_sent(
    bytes: u64,
    connections: usize,
    status: Option<u16>,
) {
    let mut sim = SimulatedGateway::new(deployment(1));
    sim.send_event("confirm", "1");
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    sim.transport.blocked.insert(connection);
    let client = sim.send_event("confirm", "2");
    assert_eq!(sim.transport.connections.len(), 1, "the idle connection is reused");
    *sim.transport.sent.get_mut(&connection).expect("used before") += bytes;
    sim.disconnect(connection, Closed::Reset);
    sim.worker_connections();
    assert_eq!(
        (sim.transport.connections.len(), sim.statuses(client).first().copied()),
        (connections, status)
    );
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
    assert_eq!(sim.transport.connections.len(), 2, "an idempotent request still reuses it");
    sim.advance(6 * S);
    assert!(sim.transport.cut.contains(&sim.transport.connections[1].0), "aborted after the idle timeout");
}

// When a hedged attempt has finished, the other attempt is cancelled by closing its connection, and data that
// still arrives on it is ignored.
#[test]
fn a_cancel_aborts_the_connection_and_late_answers_are_dropped() {
    let mut sim = SimulatedGateway::new(deployment(3));
    let client = sim.send_event("quote", "1");
    let first = sim.worker_connections()[0];
    sim.advance(800 * MS);
    let worker_connections = sim.worker_connections();
    assert_eq!(worker_connections.len(), 2, "one hedged attempt after the hedge delay");
    sim.receive(worker_connections[1], FINISHED_RESPONSE.as_bytes());
    assert!(sim.transport.cut.contains(&first));
    sim.receive(first, FINISHED_RESPONSE.as_bytes());
    assert_eq!(sim.statuses(client), [200]);
}

#[test_case("quote", 503; "idempotent is rejected")]
#[test_case("confirm", 504; "at-most-once is failed")]
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
    assert!(sim.transport.cut.contains(&connection), "the connection is not reused");
    let next = sim.send_event("quote", "2");
    assert!(sim.statuses(next).is_empty(), "the second answer is not that of the next request");
}

// A malformed response counts as a failure after which the request may have run, and is not passed on.
#[test_case("\x16\x03\x01 no HTTP\r\n\r\n", 502; "not HTTP")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 502; "not an event")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 502; "two lengths")]
#[test_case("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", 502; "503 without a reported outcome")]
fn an_at_most_once_request_fails_on_a_malformed_response(response: &str, status: u16) {
    let mut sim = SimulatedGateway::new(deployment(1));
    let client = sim.send_event("confirm", "1");
    let connection = sim.worker_connections()[0];
    sim.receive(connection, response.as_bytes());
    assert_eq!(sim.statuses(client), [status]);
}

#[test]
fn a_reported_overload_lets_an_at_most_once_request_move_on() {
    let mut sim = SimulatedGateway::new(deployment(2));
    let client = sim.send_event("confirm", "1");
    let connection = sim.worker_connections()[0];
    sim.receive(connection, b"HTTP/1.1 503 Full\r\napplepond-outcome: full\r\nContent-Length: 0\r\n\r\n");
    let second = sim.worker_connections()[1];
    sim.receive(second, FINISHED_RESPONSE.as_bytes());
    assert_eq!(sim.statuses(client), [200]);
}

// A connection lost after any byte of the worker's response: the client never gets a partial answer.
#[test]
fn a_truncated_response_is_never_returned() {
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

// Regression: a response without a length that was cut off by a reset was passed on as complete.
#[test_case(Closed::Ended, 200; "ended in order")]
#[test_case(Closed::Reset, 502; "reset")]
#[test_case(Closed::Overflow, 502; "overflow")]
fn a_response_without_a_length_ends_with_its_connection_only_in_order(reason: Closed, status: u16) {
    let mut sim = SimulatedGateway::new(deployment(1));
    let client = sim.send_event("confirm", "1");
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.replace("Content-Length: 9\r\n", "").as_bytes());
    sim.disconnect(connection, reason);
    assert_eq!(sim.statuses(client), [status]);
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
    assert_eq!(sim.requests(), 0, "no new request after the drain notice");
    sim.advance(4 * S);
    assert_eq!((sim.requests(), sim.statuses(client)), (0, vec![503]));
}

// The list is parsed in the same way wherever it is split into two reads.
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

// After an invalid or truncated list, the last valid one stays in force, and the list is requested again.
#[test_case("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"; "refused")]
#[test_case("\x00\x01\r\n\r\n"; "not HTTP")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{...\n"; "invalid JSON, then the end")]
fn the_last_endpoint_list_stays_in_force_when_the_next_is_invalid(response: &str) {
    let mut deployment = deployment(1);
    deployment.endpoint_list = Some("127.0.0.1:8999".parse().expect("an address"));
    let mut sim = SimulatedGateway::new(deployment);
    let list = sim.worker_connections()[0];
    sim.receive(list, response.as_bytes());
    sim.advance(S);
    assert!(sim.transport.cut.contains(&list) && sim.transport.connections.len() >= 2, "reconnected");
    let client = sim.send_event("quote", "1");
    let connection = *sim.worker_connections().last().expect("a connection");
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
    assert_eq!((sim.statuses(back), sim.requests()), (vec![200], 1), "it joins the request in progress");
    let mut sim = SimulatedGateway::new(deployment(0));
    let gone = sim.send_event("confirm", "1");
    sim.disconnect(gone, Closed::Reset);
    sim.send_event("confirm", "1");
    let page = sim.connect_client();
    sim.receive(page, b"GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
    let state = sim.output(page);
    assert!(
        state.contains("\"taken\":2") && state.contains("\"open\":1"),
        "the unsent request has ended: {state}"
    );
}

// Pipelined requests are answered one at a time, in order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let mut sim = SimulatedGateway::new(deployment(2));
    let client = sim.connect_client();
    let both = format!("{}{}", event("quote", "1"), event("quote", "2"));
    sim.receive(client, both.as_bytes());
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    assert_eq!(sim.statuses(client), [200]);
    sim.receive(connection, result("{\"ok\": 2}").as_bytes());
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
    assert_eq!(sim.output(client), "HTTP/1.1 100 Continue\r\n\r\n");
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
    let not_reading = sim.connect_client();
    sim.transport.blocked.insert(not_reading);
    sim.receive(not_reading, event("quote", "2").as_bytes());
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    sim.advance(16 * S);
    assert!(sim.transport.cut.contains(&not_reading), "its buffer is released");
}

// The pipelined requests behind one in progress are bounded: reading pauses, and resumes after the answer.
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

/// An event in which `text` is replaced.
fn bad(text: &str, replacement: &str) -> String {
    event("quote", "1").replacen(text, replacement, 1)
}

// Each invalid request is answered with its status and reason, and other clients are not affected.
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
fn invalid_requests_are_refused_with_their_reason(request: &str, status: u16, reason: &str) {
    let mut sim = SimulatedGateway::new(deployment(1));
    let other_client = sim.send_event("quote", "n");
    let client = sim.connect_client();
    sim.receive(client, request.as_bytes());
    assert_eq!(sim.statuses(client), [status]);
    let output = sim.output(client);
    assert!(
        output.contains(&format!("\"reason\":\"{reason}\"")) && output.contains("application/problem+json"),
        "{output}"
    );
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    assert_eq!((sim.statuses(other_client), sim.requests()), (vec![200], 1));
}

// Two thousand retries of different clients within four seconds reach an instance without a traffic baseline.
// With shedding, most are rejected ahead of `Control`, at different times to retry; without it, all are
// admitted. The state page shows the retry storm in both cases.
#[test_case(true; "shedding")]
#[test_case(false; "no shedding")]
fn retries_are_shed_in_a_storm(storm_shedding: bool) {
    let mut sim = SimulatedGateway::new(Deployment { storm_shedding, ..deployment(0) });
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
    let state = sim.output(page);
    assert!(
        state.contains("\"called\":\"storm\"") && state.contains(&format!("\"damped\":{storm_shedding}")),
        "{state}"
    );
    let reasons = |sim: &SimulatedGateway, reason: &str| {
        clients.iter().filter(|c| sim.output(**c).contains(reason)).count()
    };
    assert_eq!(reasons(&sim, "\"reason\":\"storm\"") > 1_000, storm_shedding);
    sim.advance(5 * S);
    assert!(clients.iter().all(|c| sim.statuses(*c).len() == 1), "one answer each");
    let waits: std::collections::BTreeSet<String> = clients
        .iter()
        .filter_map(|c| sim.output(*c).split("retry-after-ms\":").nth(1).map(|w| w[..4].to_owned()))
        .collect();
    assert!(waits.len() > 200, "{} different times", waits.len());
}

// When many clients connect at once, all are accepted, but at a limited rate and with short pauses.
#[test_case(true; "shedding")]
#[test_case(false; "no shedding")]
fn accepting_pauses_when_too_many_connect(storm_shedding: bool) {
    let mut sim = SimulatedGateway::new(Deployment { storm_shedding, ..deployment(1) });
    let (begin, mut pauses) = (sim.now, 0);
    for _ in 0..4_000 {
        sim.connect_client();
        while !sim.transport.not_accepting.is_empty() {
            pauses += 1;
            sim.advance(5 * MS);
            assert!(sim.now < begin + 3 * S, "accepting is not resumed");
        }
    }
    assert_eq!(pauses > 0, storm_shedding);
    assert_eq!(sim.now > begin + S, storm_shedding, "4,000 are not accepted at once");
}

// Retry times suggested by `Control` under normal traffic are recorded too: an earlier retry counts as early.
#[test]
fn retry_after_is_followed_or_not() {
    let mut sim = SimulatedGateway::new(deployment(0));
    let send = |sim: &mut SimulatedGateway, n: u32| {
        let client = sim.send_event("quote", &n.to_string());
        sim.advance(MS);
        client
    };
    let first: Vec<_> = (0..40).map(|n| send(&mut sim, n)).collect();
    sim.advance(S);
    assert!(first.iter().all(|c| sim.output(*c).contains("retry-after-ms")), "{}", sim.output(first[0]));
    (0..40).for_each(|n| _ = send(&mut sim, n));
    let page = sim.connect_client();
    sim.receive(page, b"GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
    let output = sim.output(page);
    let page: serde_json::Value =
        serde_json::from_str(output.split("\r\n\r\n").nth(1).expect("a body")).expect("JSON");
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
    let output = sim.output(client);
    let page: serde_json::Value =
        serde_json::from_str(output.split("\r\n\r\n").nth(1).expect("a body")).expect("JSON");
    assert_eq!((&page["jobs"]["open"], &page["workers"]["ready"]), (&1.into(), &2.into()));
}

proptest! {
    // Random bytes from a client, a worker and the endpoint list, split at random: no panic, and another
    // client still gets its answer.
    #[test]
    fn random_bytes_from_any_peer_leave_the_client_one_answer(
        noise in prop::collection::vec(any::<u8>(), 0..300),
        split in 0usize..300,
    ) {
        let mut deployment = deployment(1);
        deployment.endpoint_list = Some("127.0.0.1:8999".parse().expect("an address"));
        let mut sim = SimulatedGateway::new(deployment);
        let split = split.min(noise.len());
        let list = sim.worker_connections()[0];
        let client = sim.send_event("quote", "1");
        sim.worker_connections();
        let (connection, faulty_client) = (sim.transport.connections[1].0, sim.connect_client());
        for conn in [faulty_client, list, connection] {
            sim.receive(conn, &noise[..split]);
            sim.receive(conn, &noise[split..]);
        }
        sim.advance(5 * S);
        prop_assert_eq!(sim.statuses(client).len(), 1);
    }
}

/// A tracker with one pinned prefix, the end of its lease, and the recorded uses.
struct FakeTracker(&'static str, Micros, std::rc::Rc<std::cell::RefCell<Vec<(String, u32)>>>);

impl applepond_gateway::PrefixTracker for FakeTracker {
    fn record_use(&mut self, name: &str, size: u32) {
        self.2.borrow_mut().push((name.to_owned(), size));
    }
    fn pin_lease(&self, now: Micros, name: &str) -> Option<Micros> {
        (name == self.0 && now < self.1).then(|| self.1 - now)
    }
    fn set_ready_workers(&mut self, _: usize) {}
}

// A request's prefix is sent to its worker, with a lease if it is pinned, and its use is recorded when the
// request is accepted.
#[test_case("opening: long", "size: 7", Some("applepond-opening-lease-ms: 2000"), &[("long", 7)]; "pinned")]
#[test_case("opening: other", "size: 7", None, &[("other", 7)]; "not pinned")]
#[test_case("opening: long", "size: seven", Some("lease-ms: 2000"), &[("long", 0)]; "unknown size")]
#[test_case("other: long", "size: 7", None, &[]; "no prefix")]
fn a_requests_prefix_is_sent_with_its_lease(
    name: &str,
    size: &str,
    lease: Option<&str>,
    recorded: &[(&str, u32)],
) {
    let mut sim = SimulatedGateway::new(deployment(1));
    let uses = std::rc::Rc::default();
    let gateway = applepond_gateway::Gateway::new(sim.now, deployment(1), Box::new(|_| ()));
    let tracker = FakeTracker("long", sim.now + 2 * S, std::rc::Rc::clone(&uses));
    sim.gateway = gateway.with_prefix_tracker(Box::new(tracker));
    sim.transport = Default::default();
    sim.gateway.start(sim.now, &mut sim.transport);
    let client = sim.connect_client();
    let attributes = format!("ce-type: quote\r\nce-{name}\r\nce-opening{size}\r\n");
    sim.receive(client, event("quote", "1").replace("ce-type: quote\r\n", &attributes).as_bytes());
    let connection = sim.worker_connections()[0];
    let output = sim.output(connection);
    assert_eq!(output.contains("applepond-opening: "), !recorded.is_empty(), "{output}");
    assert_eq!(output.contains("applepond-opening-lease-ms"), lease.is_some(), "{output}");
    assert!(lease.is_none_or(|l| output.contains(l)), "{output}");
    let recorded: Vec<(String, u32)> = recorded.iter().map(|(n, s)| ((*n).to_owned(), *s)).collect();
    assert_eq!(*uses.borrow(), recorded);
    assert!(output.contains("ce-type: quote"));
}
