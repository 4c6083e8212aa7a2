//! Which connections to workers are reused. HTTP/1.1 does not tie a response to its request: whatever a
//! worker sends beyond one response could be taken for the response to the next request on its connection.
mod common;
use applepond_reactor::ConnectionId;
use common::*;
use test_case::test_case;

/// A response in structured mode, which has its identity in the body.
const STRUCTURED_EVENT: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/cloudevents+json\r\nContent-Length: 2\r\n\r\n{}";

/// Sends a request and returns its client and the connection that carries it.
fn send(sim: &mut SimulatedGateway, kind: &str, id: &str) -> (ConnectionId, ConnectionId) {
    let before = sim.transport.last_write.clone();
    let client = sim.send_event(kind, id);
    let connections = sim.worker_connections();
    let carries = |conn: &&ConnectionId| sim.transport.last_write.get(*conn) != before.get(*conn);
    let conn = *connections.iter().find(carries).expect("the request is sent");
    (client, conn)
}

/// Sends a request that the worker answers. Returns the connection that carried it.
fn complete(sim: &mut SimulatedGateway, id: &str, response: &str) -> ConnectionId {
    let (client, conn) = send(sim, "quote", id);
    sim.receive(conn, response.as_bytes());
    assert_eq!(sim.statuses(client), [200]);
    conn
}

// Regression: a second copy of a response that came when the connection carried the next request was taken
// for the response to that request, and each later request got the response of the one before it.
#[test_case("quote")]
#[test_case("confirm")]
fn a_late_second_copy_is_not_taken_for_the_next_response(kind: &str) {
    let first = result("\"first\"");
    for split in 0..first.len() {
        let mut sim = SimulatedGateway::new(deployment(1));
        let conn = complete(&mut sim, "1", &first);
        let (client, same_conn) = send(&mut sim, kind, "2");
        assert_eq!(conn, same_conn, "the connection is reused");
        sim.receive(conn, &first.as_bytes()[..split]);
        sim.receive(conn, &first.as_bytes()[split..]);
        assert!(sim.statuses(client).is_empty(), "split at {split}");
        sim.receive(conn, result("\"second\"").as_bytes());
        assert!(sim.output(client).ends_with("\"second\""), "{}", sim.output(client));
        let (_, third) = send(&mut sim, kind, "3");
        assert!(third != conn, "the worker has lost its reuse");
    }
}

// The second copy is recognised behind the responses to later requests, and together with the next response.
#[test]
fn a_second_copy_is_recognised_among_later_responses() {
    let mut sim = SimulatedGateway::new(deployment(1));
    let first = result("\"first\"");
    let conn = complete(&mut sim, "1", &first);
    for n in 2..20 {
        assert_eq!(complete(&mut sim, &n.to_string(), &result("0")), conn);
    }
    let (client, _) = send(&mut sim, "confirm", "20");
    sim.receive(conn, format!("{first}{}", result("\"own\"")).as_bytes());
    assert!(sim.output(client).ends_with("\"own\""), "{}", sim.output(client));
}

// Bytes that arrive while no request is on the connection end the reuse of this worker's connections, not of
// the other's.
#[test]
fn extra_bytes_on_an_idle_connection_cost_their_worker_its_reuse() {
    let mut sim = SimulatedGateway::new(deployment(1));
    let response = result("1");
    let conn = complete(&mut sim, "1", &response);
    sim.receive(conn, response.as_bytes());
    assert!(sim.transport.cut.contains(&conn));
    let second = complete(&mut sim, "2", &result("2"));
    assert!(sim.transport.cut.contains(&second), "a connection carries one request now");
    let third = complete(&mut sim, "3", &result("3"));
    assert!(third != second && third != conn);
}

// Responses without an identity: a second copy of them could not be told from the next response. A second
// rejection would be taken for proof that the next at-most-once request has not run.
#[test_case("HTTP/1.1 503 No\r\napplepond-outcome: full\r\nContent-Length: 0\r\n\r\n"; "full")]
#[test_case("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"; "error")]
#[test_case(STRUCTURED_EVENT; "structured")]
fn a_connection_is_not_reused_after_a_response_without_identity(response: &str) {
    let mut sim = SimulatedGateway::new(deployment(1));
    let (_, conn) = send(&mut sim, "confirm", "1");
    sim.receive(conn, response.as_bytes());
    assert!(sim.transport.cut.contains(&conn));
}

// A worker whose second copy ends the connection: the request on it may have run.
#[test_case("quote", 2)]
#[test_case("confirm", 1)]
fn a_second_copy_that_ends_the_connection_loses_the_request_on_it(kind: &str, most: usize) {
    let mut sim = SimulatedGateway::new(deployment(2));
    let first = result("1");
    let (_, conn) = send(&mut sim, "quote", "1");
    sim.receive(conn, first.as_bytes());
    let (client, second) = send(&mut sim, kind, "2");
    assert_eq!(conn, second);
    sim.receive(
        conn,
        first.replace("HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n").as_bytes(),
    );
    sim.advance(200 * MS);
    sim.worker_connections();
    assert!(sim.requests() <= 1 + most, "{} requests", sim.requests());
    assert!(!sim.statuses(client).contains(&200));
}

// A connection that is one response behind without a sign of it is used for a bounded number of requests.
#[test]
fn a_connection_carries_a_bounded_number_of_requests() {
    let mut sim = SimulatedGateway::new(deployment(1));
    let first = complete(&mut sim, "0", &result("0"));
    let mut carried = 1;
    while complete(&mut sim, &format!("n{carried}"), &result("0")) == first {
        carried += 1;
        assert!(carried <= 100, "requests on one connection");
    }
    assert_eq!(carried, 100);
    assert!(sim.transport.cut.contains(&first));
}

// Connections made for requests one after the other: one for a hundred, as long as the worker sends one
// response a request.
#[test]
fn a_worker_that_answers_once_keeps_its_connection() {
    let mut sim = SimulatedGateway::new(deployment(1));
    for n in 0..400 {
        complete(&mut sim, &n.to_string(), &result("0"));
    }
    assert_eq!(sim.transport.connections.len(), 4);
}

// A worker that gives all its results one identity, against the specification. Results that differ are told
// apart by their bodies.
#[test]
fn results_of_one_identity_with_other_bodies_are_no_copies() {
    let mut sim = SimulatedGateway::new(deployment(1));
    let conn = complete(&mut sim, "1", &FINISHED_RESPONSE.replace("{\"ok\": 1}", "{\"ok\": 2}"));
    for n in 3..9 {
        let response = FINISHED_RESPONSE.replace("{\"ok\": 1}", &format!("{{\"ok\": {n}}}"));
        assert_eq!(complete(&mut sim, &n.to_string(), &response), conn);
    }
}

// The same with one body: the second result cannot be told from a copy. Its request is lost with its time,
// and the worker loses its reuse, so that the next request is answered.
#[test]
fn the_same_result_twice_costs_one_request_and_the_reuse() {
    let mut sim = SimulatedGateway::new(deployment(1));
    let conn = complete(&mut sim, "1", FINISHED_RESPONSE);
    let (client, second) = send(&mut sim, "confirm", "2");
    assert_eq!(conn, second);
    sim.receive(conn, FINISHED_RESPONSE.as_bytes());
    sim.advance(5 * S);
    assert!(matches!(sim.statuses(client)[..], [502 | 504]), "{:?}", sim.statuses(client));
    assert!(complete(&mut sim, "3", FINISHED_RESPONSE) != conn);
    assert!(complete(&mut sim, "4", FINISHED_RESPONSE) != conn);
}
