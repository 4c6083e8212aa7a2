//! Clients that ask again for a request in progress, with less time than their first try had.
mod common;
use applepond_gateway::Deployment;
use applepond_gateway::deployment::WorkflowConfig;
use applepond_reactor::{Closed, ConnectionId};
use applepond_workflow::{Function, Plan, Step};
use common::*;
use std::sync::Arc;
use test_case::test_case;

/// A deployment in which events of type `book` start a workflow of one at-most-once step.
fn deployment_with_workflow(workers: u16) -> Deployment {
    let step = Step { function: Function::OfEvent, ..step("confirm", 2) };
    let workflow = WorkflowConfig {
        types: vec!["book".into()],
        function_attribute: "subject".into(),
        plan: Arc::new(Plan { name: "book".into(), limit: 4 * S, steps: vec![step] }),
    };
    Deployment { workflows: vec![workflow], ..deployment(workers) }
}

/// Sends an event with this much time left.
fn send_with_limit(sim: &mut SimulatedGateway, kind: &str, id: &str, ms: u64) -> ConnectionId {
    let client = sim.connect_client();
    let limited = event(kind, id).replacen("ce-id", &format!("ce-timelimit: {ms}\r\nce-id"), 1);
    sim.receive(client, limited.as_bytes());
    client
}

// Regression: a later try was answered by the deadline of the first, after its own time.
#[test_case("quote")]
#[test_case("confirm")]
#[test_case("book")]
fn a_later_try_is_answered_by_its_own_deadline(kind: &str) {
    let mut sim = SimulatedGateway::new(deployment_with_workflow(1));
    let first = sim.send_event(kind, "1");
    let conn = sim.worker_connections()[0];
    sim.advance(600 * MS);
    let second = send_with_limit(&mut sim, kind, "1", 2_000);
    sim.advance(1_980 * MS);
    assert!(sim.statuses(second).is_empty());
    sim.advance(20 * MS);
    assert_eq!(sim.statuses(second), [504]);
    sim.receive(conn, result("\"late\"").as_bytes());
    assert_eq!(sim.statuses(first), [200], "the first try has time left");
    assert_eq!(sim.statuses(second), [504], "one answer each");
    let third = send_with_limit(&mut sim, kind, "1", 2_000);
    assert_eq!((sim.statuses(third), sim.requests()), (vec![200], 1), "the answer is replayed");
}

// The first try's client has left, and the worker is not reached: the request ends with its last client.
#[test]
fn a_request_that_was_not_sent_ends_with_its_last_client() {
    let mut sim = SimulatedGateway::new(deployment_with_workflow(0));
    let first = sim.send_event("quote", "1");
    let second = send_with_limit(&mut sim, "quote", "1", 300);
    sim.disconnect(first, Closed::Reset);
    sim.advance(310 * MS);
    assert_eq!(sim.statuses(second).len(), 1);
    let page = sim.connect_client();
    sim.receive(page, b"GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(sim.output(page).contains("\"open\":0,\"pushed-back\""), "{}", sim.output(page));
}

// A try whose time is up on arrival joins nothing.
#[test]
fn an_expired_try_does_not_join() {
    let mut sim = SimulatedGateway::new(deployment_with_workflow(1));
    sim.send_event("quote", "1");
    let expired = send_with_limit(&mut sim, "quote", "1", 5);
    assert_eq!(sim.statuses(expired), [504]);
}

// A try with more time than the first is answered with it.
#[test]
fn a_try_with_more_time_is_answered_with_its_request() {
    let mut sim = SimulatedGateway::new(deployment_with_workflow(1));
    let first = send_with_limit(&mut sim, "confirm", "1", 500);
    sim.worker_connections();
    let second = sim.send_event("confirm", "1");
    sim.advance(600 * MS);
    assert_eq!((sim.statuses(first), sim.statuses(second)), (vec![504], vec![504]));
}
