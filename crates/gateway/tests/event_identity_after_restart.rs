//! Which events are the same after a restart, when only the workflow records are left of the events before.
mod common;
use applepond::interface::{CustomerConfig, IdempotencyScope, RetrySafety};
use applepond_gateway::Deployment;
use applepond_reactor::{Closed, ConnectionId};
use applepond_storage::{WorkflowRecord, WorkflowStore};
use applepond_workflow::{Branch, Function, Plan, Step, StepId, Target};
use common::events::*;
use common::*;
use std::sync::Arc;
use test_case::test_case;

/// A deployment with a second customer, in which events of two types start a workflow that holds beds, which
/// `release` undoes, and then confirms.
fn deployment_with_booking(workers: u16) -> Deployment {
    let next = Branch { test: None, target: Target::One(StepId(1)) };
    let beds =
        Step { next: vec![next], undo: Some(StepId(2)), function: Function::OfEvent, ..step("beds", 1) };
    let steps = vec![beds, step("confirm", 2), step("release", 1)];
    let workflow = booking_workflow(&["book", "rebook"], steps);
    let mut deployment = Deployment { workflows: vec![workflow], ..deployment(workers) };
    deployment.customers.push("inns".into());
    deployment.startup.customers.push(CustomerConfig { requests_per_second: 1000.0 });
    deployment
}

/// What a workflow had come to when its router was killed.
#[derive(Clone, Copy, PartialEq)]
enum Killed {
    /// Its second step had not been sent.
    BetweenSteps,
    AfterItFinished,
    AfterItFailed,
}

/// Has the worker answer the open request.
fn respond(sim: &mut SimulatedGateway) {
    let conn = sim.newest_connection();
    sim.receive(conn, result("{\"for\":1}").as_bytes());
    sim.advance(30 * MS);
    sim.worker_connections();
}

/// The gateway after a restart with this store.
fn restart(sim: &SimulatedGateway, store: &SharedStore) -> SimulatedGateway {
    SimulatedGateway::with_store(deployment_with_booking(1), sim.now + MS, Box::new(store.clone()))
}

/// Starts the workflow of the first event, and kills its router. Returns the store and the next instance.
fn killed(when: Killed) -> (SimulatedGateway, SharedStore) {
    let store = SharedStore::default();
    let first = deployment_with_booking(1);
    let mut sim = SimulatedGateway::with_store(first, 1_000 * S, Box::new(store.clone()));
    let client = send(&mut sim, &first_event("book"));
    sim.worker_connections();
    match when {
        Killed::BetweenSteps => sim.advance(MS),
        Killed::AfterItFinished => {
            respond(&mut sim);
            respond(&mut sim);
            assert_eq!(sim.statuses(client), [200]);
        }
        Killed::AfterItFailed => {
            respond(&mut sim);
            let conn = sim.newest_connection();
            sim.disconnect(conn, Closed::Reset);
            sim.advance(100 * MS);
            assert_eq!(sim.statuses(client), [502], "the confirmation may have run");
        }
    }
    let next = restart(&sim, &store);
    (next, store)
}

// Regression: after a kill, an event with the source and id of a recorded workflow was taken for its retry,
// or its request was run, however much it differed.
#[test_case("book", OTHER_DATA; "other data")]
#[test_case("book", NO_DATA; "no data")]
#[test_case("book", OTHER_CUSTOMER; "another customer")]
#[test_case("book", NO_CUSTOMER; "no customer")]
#[test_case("book", OTHER_FUNCTION; "another function")]
#[test_case("book", OTHER_EXTENSION; "another value of an extension")]
#[test_case("book", OTHER_MEDIA_TYPE; "another media type")]
#[test_case("rebook", SAME; "another type of the same workflow")]
#[test_case("quote", SAME; "an idempotent request")]
#[test_case("hold", SAME; "a keyed request")]
#[test_case("confirm", OTHER_CUSTOMER; "an at-most-once request of another customer")]
fn another_event_of_a_recorded_workflow_is_refused(kind: &str, change: Change) {
    for (when, status) in
        [(Killed::BetweenSteps, 502), (Killed::AfterItFinished, 200), (Killed::AfterItFailed, 502)]
    {
        let (mut sim, _) = killed(when);
        let other = send(&mut sim, &changed(kind, change));
        sim.advance(100 * MS);
        assert_refused(&sim, other);
        assert_eq!(sim.requests(), 0, "nothing was sent for it");
        let retry = send(&mut sim, &first_event("book"));
        sim.advance(100 * MS);
        let answer = sim.output(retry);
        assert_eq!(sim.statuses(retry), [status], "{answer}");
        assert!(!answer.contains("id-conflict"), "{answer}");
        assert!(status != 200 || answer.ends_with("{\"for\":1}"), "{answer}");
    }
}

#[test_case(SAME; "unchanged")]
#[test_case(MARKED; "marked as a retry")]
#[test_case(OTHER_TIME; "with another time")]
#[test_case(OTHER_TRACE; "with another trace")]
#[test_case(LESS_TIME; "with less time")]
#[test_case(EXPIRY; "with an expiry")]
#[test_case(OTHER_ORDER; "with its fields in another order and case")]
fn a_retry_of_a_recorded_workflow_is_recognised(change: Change) {
    let (mut sim, _) = killed(Killed::AfterItFinished);
    let replayed = send(&mut sim, &changed("book", change));
    sim.advance(100 * MS);
    assert!(sim.output(replayed).ends_with("{\"for\":1}"), "{}", sim.output(replayed));
    assert_eq!(sim.requests(), 0, "no step is sent again");
    let (mut sim, _) = killed(Killed::BetweenSteps);
    let resumed = send(&mut sim, &changed("book", change));
    sim.advance(100 * MS);
    assert_eq!(sim.statuses(resumed), [502], "a step may have run: {}", sim.output(resumed));
}

// Regression: when a reload had removed all workflows, a request's event was run under the key of one on
// record.
#[test]
fn another_event_of_a_recorded_workflow_is_refused_after_a_reload_without_workflows() {
    let store = SharedStore::default();
    let stored = |deployment| Deployment { workflow_store: Some("record".into()), ..deployment };
    let first = stored(deployment_with_booking(1));
    let mut sim = SimulatedGateway::with_store(first, 1_000 * S, Box::new(store.clone()));
    let client = send(&mut sim, &first_event("book"));
    sim.worker_connections();
    respond(&mut sim);
    respond(&mut sim);
    assert_eq!(sim.statuses(client), [200]);
    let mut sim =
        SimulatedGateway::with_store(stored(deployment_with_booking(1)), sim.now + MS, Box::new(store));
    sim.reload(stored(Deployment { workflows: Vec::new(), ..deployment_with_booking(1) }));
    let other = send(&mut sim, &changed("quote", OTHER_DATA));
    assert_refused(&sim, other);
    sim.worker_connections();
    assert_eq!(sim.requests(), 0, "nothing was sent for it");
}

// A workflow that was rejected keeps a record without steps. Another event starts its own workflow.
#[test]
fn the_id_of_a_rejected_workflow_is_free() {
    let store = SharedStore::default();
    let without_workers = deployment_with_booking(0);
    let mut sim = SimulatedGateway::with_store(without_workers, 1_000 * S, Box::new(store.clone()));
    let client = send(&mut sim, &first_event("book"));
    sim.advance(5 * S);
    assert_eq!(sim.statuses(client), [503], "{}", sim.output(client));
    let key = ("/desk", "1");
    assert!(store.inner.borrow_mut().load(key).expect("readable").is_some_and(|record| record.closed));
    let mut sim = restart(&sim, &store);
    let other = send(&mut sim, &changed("book", OTHER_DATA));
    sim.advance(MS);
    let conn = sim.newest_connection();
    assert!(sim.output(conn).ends_with("{\"guest\":2}"), "{}", sim.output(conn));
    respond(&mut sim);
    respond(&mut sim);
    assert_eq!(sim.statuses(other), [200]);
    let retry = send(&mut sim, &first_event("book"));
    assert_refused(&sim, retry);
}

// Records of the version before do not say of which type their event was.
#[test_case("book", SAME, 200; "its retry")]
#[test_case("book", MARKED, 200; "its retry, marked")]
#[test_case("book", OTHER_DATA, 409; "other data")]
#[test_case("book", OTHER_CUSTOMER, 409; "another customer")]
#[test_case("confirm", OTHER_DATA, 409; "a request with other data")]
#[test_case("confirm", SAME, 502; "a request that may have been the workflow's event")]
fn a_record_without_the_type_of_its_event_is_recognised(kind: &str, change: Change, status: u16) {
    let (sim, store) = killed(Killed::AfterItFinished);
    let key = ("/desk", "1");
    let record = store.inner.borrow_mut().load(key).expect("readable").expect("recorded");
    let record = WorkflowRecord { event_type: None, ..record };
    store.inner.borrow_mut().save(&[(key, &record)]).expect("writable");
    let mut sim = restart(&sim, &store);
    let client = send(&mut sim, &changed(kind, change));
    sim.advance(100 * MS);
    assert_eq!((sim.statuses(client), sim.requests()), (vec![status], 0), "{}", sim.output(client));
}

// While the store cannot be read, another event may take the id of an interrupted workflow. The workflow is
// undone nevertheless, and each gets its own end.
#[test]
fn an_interrupted_workflow_is_undone_while_another_event_has_its_id() {
    let (mut sim, store) = killed(Killed::BetweenSteps);
    store.unreadable.set(true);
    sim.advance(3 * S);
    let other = send(&mut sim, &changed("confirm", OTHER_DATA));
    store.unreadable.set(false);
    let conn = sim.newest_connection();
    assert_eq!(sim.requests(), 1);
    sim.advance(1_500 * MS);
    sim.worker_connections();
    let connections = sim.transport.connections.clone();
    let undos = connections.iter().filter(|(conn, _)| sim.output(*conn).contains("ce-id: 1/release")).count();
    assert_eq!(undos, 1, "the beds are released");
    sim.receive(conn, result("{\"for\":2}").as_bytes());
    assert!(sim.output(other).ends_with("{\"for\":2}"), "{}", sim.output(other));
    let retry = send(&mut sim, &changed("confirm", OTHER_DATA));
    assert!(sim.output(retry).ends_with("{\"for\":2}"), "{}", sim.output(retry));
}

// Regression: the record of a workflow expired while workers still knew the keys of its steps. They would
// answer the step of another event's workflow with the first one's result.
#[test_case(false; "at the same instance")]
#[test_case(true; "after a restart")]
fn a_workflows_key_is_not_free_while_workers_know_those_of_its_steps(restarts: bool) {
    let mut deployment = deployment_with_booking(1);
    let keyed = RetrySafety::Keyed { scope: IdempotencyScope::Rack, window: 90 * S };
    deployment.startup.workloads[1].retry_safety = keyed;
    let mut plan = Plan::clone(&deployment.workflows[0].plan);
    plan.steps[0].effect = keyed;
    deployment.workflows[0].plan = Arc::new(plan);
    let store = SharedStore::default();
    let start = |now| SimulatedGateway::with_store(deployment.clone(), now, Box::new(store.clone()));
    let mut sim = start(1_000 * S);
    let client = send(&mut sim, &first_event("book"));
    sim.worker_connections();
    respond(&mut sim);
    respond(&mut sim);
    assert_eq!(sim.statuses(client), [200]);
    sim.advance(80 * S);
    if restarts {
        sim = start(sim.now);
    }
    let before = sim.requests();
    for other in [changed("book", OTHER_DATA), changed("hold", SAME)] {
        let client = send(&mut sim, &other);
        assert_refused(&sim, client);
    }
    let like_step = send(&mut sim, &event_like_step("hold", "1/beds"));
    assert_id_conflict(&sim, like_step);
    sim.advance(20 * S);
    assert_eq!(sim.requests(), before, "nothing was sent for them");
    let other = send(&mut sim, &changed("hold", SAME));
    assert!(sim.statuses(other).is_empty(), "{}", sim.output(other));
}

/// An event of a client with the key of a step of the first event's workflow, and other data.
fn event_like_step(kind: &str, id: &str) -> String {
    changed(kind, OTHER_DATA).replacen("ce-id: 1", &format!("ce-id: {id}"), 1)
}

fn assert_id_conflict(sim: &SimulatedGateway, client: ConnectionId) {
    let answer = sim.output(client);
    assert!(answer.starts_with("HTTP/1.1 409 ") && answer.contains("id-conflict"), "{answer}");
}

// Regression: a keyed step has a key of its own, made of its workflow's id and its name. A worker that knows
// it would answer an event of a client with that key with the result of the step.
#[test]
fn an_event_with_the_key_of_a_workflows_step_is_refused() {
    for when in [Killed::BetweenSteps, Killed::AfterItFinished, Killed::AfterItFailed] {
        let (mut sim, _) = killed(when);
        let other = send(&mut sim, &event_like_step("hold", "1/beds"));
        sim.advance(100 * MS);
        assert_id_conflict(&sim, other);
        assert_eq!(sim.requests(), 0, "nothing was sent for it");
    }
    let mut sim = SimulatedGateway::new(deployment_with_booking(1));
    let client = send(&mut sim, &first_event("book"));
    sim.worker_connections();
    let other = send(&mut sim, &event_like_step("hold", "1/beds"));
    assert_id_conflict(&sim, other);
    respond(&mut sim);
    respond(&mut sim);
    assert_eq!(sim.statuses(client), [200]);
}

// The other way round: a worker would answer a step with the result of the client's event.
#[test]
fn a_workflow_is_refused_while_an_event_has_the_key_of_its_step() {
    let mut sim = SimulatedGateway::new(deployment_with_booking(1));
    let client = send(&mut sim, &event_like_step("hold", "1/beds"));
    sim.worker_connections();
    let while_open = send(&mut sim, &first_event("book"));
    assert_refused(&sim, while_open);
    respond(&mut sim);
    assert_eq!(sim.statuses(client), [200]);
    let after_end = send(&mut sim, &first_event("book"));
    assert_refused(&sim, after_end);
    assert_eq!(sim.requests(), 1);
    sim.advance(60 * S);
    send(&mut sim, &first_event("book"));
    sim.worker_connections();
    assert_eq!(sim.requests(), 2, "the key is free again");
}

// Regression: an event with the id of another workflow's step was refused although workers could not take one
// for the other: a workflow, whose own key workers do not see, and requests whose keys they do not look at.
#[test_case("rebook", "book"; "a workflow, then one whose step has its id")]
#[test_case("quote", "book"; "an idempotent request, then such a workflow")]
#[test_case("confirm", "book"; "an at-most-once request, then such a workflow")]
#[test_case("book", "rebook"; "a workflow, then one with the id of its step")]
#[test_case("book", "quote"; "a workflow, then an idempotent request")]
#[test_case("book", "confirm"; "a workflow, then an at-most-once request")]
fn ids_like_those_of_steps_are_free_where_workers_do_not_see_them(first: &str, second: &str) {
    let of_kind = |kind: &str| {
        if kind == "book" { first_event(kind) } else { event_like_step(kind, "1/beds") }
    };
    let mut sim = SimulatedGateway::new(deployment_with_booking(1));
    send(&mut sim, &of_kind(first));
    sim.worker_connections();
    let other = send(&mut sim, &of_kind(second));
    assert!(sim.statuses(other).is_empty(), "{}", sim.output(other));
    sim.worker_connections();
    assert_eq!(sim.requests(), 2);
}

// Ids that only look like those of steps, and steps whose keys workers do not look at.
#[test_case("hold", "2/beds"; "of no workflow")]
#[test_case("hold", "1/bedside"; "of no step")]
#[test_case("hold", "beds"; "the name of a step alone")]
#[test_case("hold", "/beds"; "without an id before it")]
#[test_case("confirm", "1/confirm"; "of a step that is not keyed")]
fn other_ids_are_free_while_a_workflow_is_open(kind: &str, id: &str) {
    let mut sim = SimulatedGateway::new(deployment_with_booking(1));
    send(&mut sim, &first_event("book"));
    sim.worker_connections();
    let other = send(&mut sim, &event_like_step(kind, id));
    sim.worker_connections();
    assert_eq!((sim.statuses(other), sim.requests()), (vec![], 2), "{}", sim.output(other));
}
