//! Which events are the same: an event whose content differs from that of another with its `source` and `id`
//! is refused and gets no answer of the other; a retry of a client still joins, or its answer is replayed.
mod common;
use applepond::interface::{CustomerConfig, IdempotencyScope};
use applepond_gateway::Deployment;
use applepond_reactor::{Closed, ConnectionId};
use applepond_workflow::{Function, Step};
use common::events::*;
use common::*;
use test_case::test_case;

/// A deployment with a second customer, in which events of type `book` start a workflow of one at-most-once
/// step.
fn deployment_with_workflow(workers: u16) -> Deployment {
    let step = Step { function: Function::OfEvent, ..step("confirm", 2) };
    let workflow = booking_workflow(&["book", "rebook"], vec![step]);
    let mut deployment = Deployment { workflows: vec![workflow], ..deployment(workers) };
    deployment.customers.push("inns".into());
    deployment.startup.customers.push(CustomerConfig { requests_per_second: 1000.0 });
    deployment
}

// Regression: an event with the source and id of an open or an ended request was given that request's answer,
// however much it differed.
#[test_case("quote", "quote", OTHER_DATA; "other data")]
#[test_case("confirm", "confirm", OTHER_DATA; "other data of an at-most-once request")]
#[test_case("hold", "hold", NO_DATA; "no data")]
#[test_case("quote", "quote", OTHER_CUSTOMER; "another customer")]
#[test_case("quote", "quote", NO_CUSTOMER; "no customer")]
#[test_case("quote", "quote", OTHER_FUNCTION; "another function")]
#[test_case("quote", "quote", OTHER_EXTENSION; "another value of an extension")]
#[test_case("quote", "quote", FURTHER_EXTENSION; "a further extension")]
#[test_case("quote", "quote", OTHER_MEDIA_TYPE; "another media type")]
#[test_case("quote", "confirm", ("", ""); "another workload")]
#[test_case("confirm", "quote", ("", ""); "another workload, idempotent")]
#[test_case("quote", "book", ("", ""); "a workflow's event for a request's")]
#[test_case("book", "confirm", ("", ""); "a request's event for a workflow's")]
#[test_case("book", "book", OTHER_DATA; "other data of a workflow")]
#[test_case("book", "book", OTHER_CUSTOMER; "another customer of a workflow")]
#[test_case("book", "rebook", ("", ""); "another type of the same workflow")]
fn another_event_of_the_same_id_is_refused(first: &str, other: &str, change: Change) {
    let mut sim = SimulatedGateway::new(deployment_with_workflow(1));
    let client = send(&mut sim, &first_event(first));
    let conn = sim.worker_connections()[0];
    let while_open = send(&mut sim, &changed(other, change));
    assert_refused(&sim, while_open);
    sim.receive(conn, result("{\"for\":1}").as_bytes());
    assert_eq!(sim.statuses(client), [200]);
    let after_end = send(&mut sim, &changed(other, change));
    assert_refused(&sim, after_end);
    assert_eq!(sim.statuses(while_open).len(), 1, "one answer each");
    let retry = send(&mut sim, &first_event(first));
    assert!(sim.output(retry).ends_with("{\"for\":1}"), "{}", sim.output(retry));
    assert_eq!((sim.statuses(retry), sim.requests()), (vec![200], 1));
}

#[test_case("quote", SAME; "unchanged")]
#[test_case("quote", MARKED; "marked as a retry")]
#[test_case("quote", OTHER_TIME; "with another time")]
#[test_case("quote", OTHER_TRACE; "with another trace")]
#[test_case("quote", LESS_TIME; "with less time")]
#[test_case("quote", EXPIRY; "with an expiry")]
#[test_case("quote", OTHER_ORDER; "with its fields in another order and case")]
#[test_case("quote", ENCODED; "with an attribute encoded otherwise")]
#[test_case("confirm", MARKED; "at-most-once, marked as a retry")]
#[test_case("book", SAME; "workflow, unchanged")]
#[test_case("book", MARKED; "workflow, marked as a retry")]
#[test_case("book", OTHER_TIME; "workflow, with another time")]
#[test_case("book", OTHER_TRACE; "workflow, with another trace")]
#[test_case("book", LESS_TIME; "workflow, with less time")]
fn a_retry_joins_and_is_replayed(kind: &str, change: Change) {
    let mut sim = SimulatedGateway::new(deployment_with_workflow(1));
    let client = send(&mut sim, &first_event(kind));
    let conn = sim.worker_connections()[0];
    let joined = send(&mut sim, &changed(kind, change));
    sim.receive(conn, result("{\"for\":1}").as_bytes());
    let replayed = send(&mut sim, &changed(kind, change));
    for client in [client, joined, replayed] {
        assert!(sim.output(client).ends_with("{\"for\":1}"), "{}", sim.output(client));
    }
    assert_eq!(sim.requests(), 1);
}

// The same event in the structured mode has the same attributes and data.
#[test]
fn a_retry_in_the_structured_mode_joins() {
    let mut sim = SimulatedGateway::new(deployment_with_workflow(1));
    let client = send(&mut sim, &first_event("confirm"));
    let conn = sim.worker_connections()[0];
    let body = "{\"specversion\":\"1.0\",\"id\":\"1\",\"source\":\"/desk\",\"type\":\"confirm\",\
                \"subject\":\"hut\",\"beds\":2,\"customer\":\"huts\",\
                \"datacontenttype\":\"application/json\",\"data\":{\"guest\": 1}}";
    let head = "POST /events HTTP/1.1\r\nHost: a\r\nContent-Type: application/cloudevents+json\r\n";
    let joined = send(&mut sim, &format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()));
    sim.receive(conn, result("{\"for\":1}").as_bytes());
    assert_eq!((sim.statuses(client), sim.statuses(joined), sim.requests()), (vec![200], vec![200], 1));
}

// An event whose answer must be replayed because it may have run: another event must not get that answer, nor
// start under its id, and the refusal must not say that nothing has run.
#[test]
fn another_event_of_a_failed_request_is_refused() {
    let mut sim = SimulatedGateway::new(deployment_with_workflow(1));
    let client = send(&mut sim, &first_event("confirm"));
    let conn = sim.worker_connections()[0];
    sim.disconnect(conn, Closed::Reset);
    assert_eq!(sim.statuses(client), [502]);
    let other = send(&mut sim, &changed("confirm", OTHER_DATA));
    assert_refused(&sim, other);
    let retry = send(&mut sim, &first_event("confirm"));
    assert_eq!((sim.statuses(retry), sim.requests()), (vec![502], 1));
}

// A refused event takes no time from the open request, whatever its own deadline is.
#[test]
fn an_expired_event_of_the_same_id_is_refused_as_another_event() {
    let mut sim = SimulatedGateway::new(deployment_with_workflow(1));
    send(&mut sim, &first_event("quote"));
    let expired = "{\"guest\":1}";
    let other = first_event("quote").replacen("ce-id", "ce-timelimit: 5\r\nce-id", 1);
    let other = send(&mut sim, &other.replacen(expired, "{\"guest\":2}", 1));
    assert_refused(&sim, other);
}

// Once a request was rejected, or its answer is no longer kept, its id is free for another event.
#[test]
fn an_id_is_free_after_a_rejection_and_after_its_answer_has_expired() {
    let mut sim = SimulatedGateway::new(deployment_with_workflow(1));
    let first = send(&mut sim, &first_event("quote"));
    let conn = sim.worker_connections()[0];
    sim.receive(conn, result("{\"for\":1}").as_bytes());
    assert_eq!(sim.statuses(first), [200]);
    sim.advance(61 * S);
    send(&mut sim, &changed("quote", OTHER_DATA));
    sim.worker_connections();
    assert_eq!(sim.requests(), 2, "the cached answer has expired");

    let mut sim = SimulatedGateway::new(deployment_with_workflow(0));
    let first = send(&mut sim, &first_event("confirm"));
    sim.advance(4 * S);
    assert_eq!(sim.statuses(first), [503]);
    let other = send(&mut sim, &changed("confirm", OTHER_DATA));
    assert!(sim.statuses(other).is_empty(), "{}", sim.output(other));
    let retry = send(&mut sim, &first_event("confirm"));
    assert_refused(&sim, retry);
}

// A keyed request may be rejected although it may have run, where all workers recognise its retry by the key.
// Regression: the key was free then, and workers would answer another event with the first one's result.
#[test_case(true; "its attempt has ended")]
#[test_case(false; "its attempt is in flight")]
fn the_key_of_a_rejected_request_that_may_have_run_is_not_free(attempt_ends: bool) {
    let mut deployment = deployment_with_keyed_hold(IdempotencyScope::Everywhere, 30 * S);
    deployment.startup.attempt_policy.max_attempts = 100;
    let mut sim = SimulatedGateway::new(deployment);
    let client = send(&mut sim, &changed("hold", LESS_TIME));
    let conn = sim.worker_connections()[0];
    if attempt_ends {
        sim.disconnect(conn, Closed::Reset);
    }
    for _ in 0..20 {
        sim.advance(100 * MS);
        let connections = sim.transport.connections.clone();
        let is_open = |conn: &ConnectionId| !sim.transport.cut.contains(conn);
        for (open, _) in connections.iter().skip(1).filter(|(conn, _)| is_open(conn)).collect::<Vec<_>>() {
            sim.disconnect(*open, Closed::NotEstablished);
        }
    }
    assert_eq!(sim.statuses(client), [503], "{}", sim.output(client));
    let other = send(&mut sim, &changed("hold", OTHER_DATA));
    assert_refused(&sim, other);
    let retry = send(&mut sim, &changed("hold", MARKED));
    sim.advance(S);
    let conn = sim.newest_connection();
    sim.receive(conn, result("{\"for\":1}").as_bytes());
    assert!(sim.output(retry).ends_with("{\"for\":1}"), "{}", sim.output(retry));
}

// Regression: another event with the id of a rejected one was counted as its retry, and used up the time that
// was reserved for that.
#[test]
fn another_event_is_not_the_retry_of_a_rejected_one() {
    let mut sim = SimulatedGateway::new(deployment(0));
    let numbered = |change, n: u32| {
        changed("quote", change)
            .replace("ce-customer: huts\r\n", "")
            .replace("ce-id: 1", &format!("ce-id: {n}"))
    };
    for n in 0..40 {
        send(&mut sim, &numbered(SAME, n));
        sim.advance(MS);
    }
    sim.advance(S);
    let followed_or_not = |sim: &mut SimulatedGateway| {
        let page = send(sim, "GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
        let page = sim.output(page);
        let body = page.split("\r\n\r\n").nth(1).expect("a body");
        let page: serde_json::Value = serde_json::from_str(body).expect("JSON");
        let rates = ["followed-per-s", "not-kept-per-s"].map(|name| page["storm"]["advice"][name].as_f64());
        rates.into_iter().map(|rate| rate.expect("a rate")).sum::<f64>()
    };
    for n in 0..40 {
        send(&mut sim, &numbered(OTHER_DATA, n));
        sim.advance(MS);
    }
    assert_eq!(followed_or_not(&mut sim), 0.0, "these are new events");
    sim.advance(4 * S);
    for n in 0..40 {
        send(&mut sim, &numbered(MARKED, n));
        sim.advance(MS);
    }
    assert!(followed_or_not(&mut sim) > 10.0, "these are the retries");
}

// The client of a refused event may disconnect: the open request and its client are not affected.
#[test]
fn a_refused_client_that_leaves_does_not_end_the_request() {
    let mut sim = SimulatedGateway::new(deployment_with_workflow(0));
    let first = send(&mut sim, &first_event("quote"));
    let other = send(&mut sim, &changed("quote", OTHER_DATA));
    assert_refused(&sim, other);
    sim.disconnect(other, Closed::Reset);
    let page = send(&mut sim, "GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
    let page = sim.output(page);
    assert!(page.contains("\"open\":1,") && page.contains("\"id-conflicts\":1,"), "{page}");
    assert!(sim.statuses(first).is_empty());
}
