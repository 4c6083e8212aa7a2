//! Outputs that must not change: header lines on both HTTP sides, which clients, workers and operators' tools
//! read by name, and the digest that identifies the plan of a stored workflow.
mod common;
use applepond::interface::{IdempotencyScope, RetrySafety};
use applepond_gateway::Deployment;
use applepond_gateway::deployment::WorkflowConfig;
use applepond_storage::WorkflowStore;
use applepond_workflow::{Branch, Function, Plan, Step, StepId, Target, Test};
use common::*;
use std::sync::Arc;

/// The request sent to the worker and the response to the client.
#[test]
fn header_lines_of_a_finished_request() {
    let mut sim = SimulatedGateway::new(deployment(1));
    let client = sim.connect_client();
    let event = event("hold", "1").replace(
        "Content-Length",
        "ce-customer: huts\r\nce-opening: o1\r\n\
         ce-openingsize: 300\r\nce-timelimit: 3000\r\nContent-Type: application/json\r\nContent-Length",
    );
    sim.receive(client, event.as_bytes());
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    insta::assert_snapshot!(
        "finished",
        format!("{}\n\n----\n{}", sim.output(connection), sim.output(client)).replace("\r\n", "\n")
    );
}

#[test]
fn header_lines_of_refusals() {
    let mut sim = SimulatedGateway::new(deployment(0));
    let unknown = sim.send_event("nothing-known", "1");
    let rejected = sim.send_event("confirm", "2");
    sim.advance(4 * S);
    let malformed = sim.connect_client();
    sim.receive(malformed, b"POST /events HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}");
    let all = [unknown, rejected, malformed].map(|conn| sim.output(conn));
    insta::assert_snapshot!("refusals", all.join("\n----\n").replace("\r\n", "\n"));
}

fn step(name: &str, effect: RetrySafety, function: Function, next: Vec<Branch>) -> Step {
    let (undo, or_else) = (None, Vec::new());
    let (workload, at_least, optional) = (1, 20 * MS, false);
    Step { name: name.into(), workload, effect, function, at_least, optional, undo, next, or_else }
}

/// A plan with each kind of step, function, test and branch.
fn plan() -> Plan {
    let keyed = |scope| RetrySafety::Keyed { scope, window: 3 * S };
    let to = |target| Branch { test: None, target };
    let named = || Function::Named("a \"quoted\" fn\n".into());
    let test = Test { field: "free".into(), is: "yes".into() };
    let both = || vec![StepId(2), StepId(3)];
    let first =
        vec![Branch { test: Some(test), target: Target::One(StepId(1)) }, to(Target::First(both(), None))];
    let second = vec![to(Target::All(both(), Some(StepId(4))))];
    let of_first = Function::From(StepId(0), "hut".into());
    let steps = vec![
        step("first", keyed(IdempotencyScope::Rack), Function::OfEvent, first),
        Step {
            optional: true,
            undo: Some(StepId(5)),
            or_else: vec![to(Target::End)],
            ..step("second", keyed(IdempotencyScope::Everywhere), of_first, second)
        },
        step("third", keyed(IdempotencyScope::Zone), named(), Vec::new()),
        step("fourth", RetrySafety::Idempotent, named(), Vec::new()),
        Step { workload: 2, ..step("fifth", RetrySafety::AtMostOnce, named(), Vec::new()) },
        step("undo", keyed(IdempotencyScope::Rack), named(), Vec::new()),
    ];
    Plan { name: "book".into(), limit: 4 * S, steps }
}

// A workflow stored by an earlier version must still be resumed, so the digest keeps the value that it had
// before the types of plans were renamed.
#[test]
fn a_stored_workflow_keeps_the_digest_of_its_plan() {
    let workflow = WorkflowConfig {
        types: vec!["book".into()],
        function_attribute: "subject".into(),
        plan: Arc::new(plan()),
    };
    let mut store = SharedStore::default();
    let deployment = Deployment { workflows: vec![workflow], ..deployment(2) };
    let mut sim = SimulatedGateway::with_store(deployment, 1_000 * S, Box::new(store.clone()));
    sim.send_event("book", "1");
    let stored = store.load(("/desk", "1")).expect("readable").expect("stored before its first step");
    assert_eq!(format!("{:016x}", stored.plan_digest), "61c8deb1cf86e7c0");
}
