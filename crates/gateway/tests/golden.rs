//! Header lines of both HTTP sides, which clients, workers and operators' tools read by name, and the digest
//! of a plan, by which a stored workflow is known to belong to it.
mod common;
use applepond::interface::{IdempotencyScope, RetrySafety};
use applepond_gateway::Deployment;
use applepond_gateway::deployment::WorkflowConfig;
use applepond_storage::WorkflowStore;
use applepond_workflow::{Branch, Function, Plan, Step, StepId, Target, Test};
use common::*;
use std::sync::Arc;

/// What went to the worker and back to the client, with what differs from run to run left out.
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
        format!("{}\n\n----\n{}", sim.told(connection), sim.told(client)).replace("\r\n", "\n")
    );
}

#[test]
fn header_lines_of_refusals() {
    let mut sim = SimulatedGateway::new(deployment(0));
    let unknown = sim.send_event("nothing-known", "1");
    let rejected = sim.send_event("confirm", "2");
    sim.advance(4 * S);
    let cut = sim.connect_client();
    sim.receive(cut, b"POST /events HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}");
    let all = [unknown, rejected, cut].map(|conn| sim.told(conn));
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

// The value is that of the version before the types were renamed; a workflow that it stored goes on.
#[test]
fn a_stored_workflow_keeps_the_digest_of_its_plan() {
    let row = WorkflowConfig {
        types: vec!["book".into()],
        function_attribute: "subject".into(),
        plan: Arc::new(plan()),
    };
    let mut store = SharedStore::default();
    let deployment = Deployment { workflows: vec![row], ..deployment(2) };
    let mut sim = SimulatedGateway::with(deployment, 1_000 * S, Box::new(store.clone()));
    sim.send_event("book", "1");
    let stored = store.load(("/desk", "1")).expect("read").expect("stored before its first step");
    assert_eq!(format!("{:016x}", stored.plan_digest), "61c8deb1cf86e7c0");
}
