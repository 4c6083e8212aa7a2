//! A keyed step of a workflow that is sent again after a restart: only while the workers recognise a
//! duplicate of its first attempt, which may have run.
mod common;
use applepond::interface::{IdempotencyScope, RetrySafety};
use applepond_gateway::Deployment;
use applepond_gateway::deployment::WorkflowConfig;
use applepond_reactor::{Closed, ConnectionId};
use applepond_workflow::{Branch, Plan, Step, StepId, Target};
use common::{MS, S, SharedStore, SimulatedGateway, deployment, event, result, step};
use std::sync::Arc;

/// The window in which all workers recognise a key.
const WINDOW: u64 = 3 * S;

/// Gets a price and then holds beds under a key that all workers know for a while.
fn deployment_with_hold(workers: u16) -> Deployment {
    let everywhere = RetrySafety::Keyed { scope: IdempotencyScope::Everywhere, window: WINDOW };
    let next = Branch { test: None, target: Target::One(StepId(1)) };
    let hold = Step { effect: everywhere, ..step("hold", 1) };
    let plan = Plan {
        name: "book".into(),
        limit: 10 * S,
        steps: vec![Step { next: vec![next], ..step("price", 0) }, hold],
    };
    let workflow = WorkflowConfig {
        types: vec!["book".into()],
        function_attribute: "subject".into(),
        plan: Arc::new(plan),
    };
    let mut deployment = Deployment { workflows: vec![workflow], ..deployment(workers) };
    deployment.startup.workloads[1].retry_safety = everywhere;
    deployment.endpoint_list = Some("127.0.0.1:8999".parse().expect("an address"));
    deployment
}

/// A gateway that has sent the step `hold`, and its store.
fn gateway_that_has_sent_hold() -> (SimulatedGateway, SharedStore) {
    let store = SharedStore::default();
    let mut sim = SimulatedGateway::with_store(deployment_with_hold(1), 1_000 * S, Box::new(store.clone()));
    sim.send_event("book", "7");
    let conn = sim.newest_connection();
    assert_eq!(sends(&sim, "price"), 1);
    sim.receive(conn, result("{}").as_bytes());
    sim.advance(20 * MS);
    sim.worker_connections();
    assert_eq!(sends(&sim, "hold"), 1);
    (sim, store)
}

/// How often a step was sent.
fn sends(sim: &SimulatedGateway, step: &str) -> usize {
    let connections: Vec<ConnectionId> = sim.transport.connections.iter().map(|(conn, _)| *conn).collect();
    let id = format!("ce-id: 7/{step}\r\n");
    connections.iter().map(|conn| sim.output(*conn).matches(&id).count()).sum()
}

/// Restarts the gateway, whose endpoint list is down for `outage`. Returns it with the client's retry.
fn restart(before: &SimulatedGateway, store: &SharedStore, outage: u64) -> (SimulatedGateway, ConnectionId) {
    let now = before.now + 500 * MS;
    let mut sim = SimulatedGateway::with_store(deployment_with_hold(0), now, Box::new(store.clone()));
    let client = sim.connect_client();
    sim.receive(client, event("book", "7").as_bytes());
    sim.advance(outage);
    let worker = "{\"name\":\"w\",\"address\":\"127.0.0.1:9\",\"standing\":\"ready\"}";
    let list = format!("{{\"kind\":\"full\",\"workers\":[{worker}]}}\n");
    let response =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\r\n", list.len());
    let watch = sim.worker_connections()[0];
    sim.receive(watch, response.as_bytes());
    for _ in 0..10 {
        sim.advance(100 * MS);
        sim.worker_connections();
    }
    (sim, client)
}

// The workers still know the key: the step is sent again.
#[test]
fn a_keyed_step_is_sent_again_inside_its_window() {
    let (before, store) = gateway_that_has_sent_hold();
    let (mut sim, client) = restart(&before, &store, S);
    assert_eq!(sends(&sim, "hold"), 1, "{}", sim.output(client));
    let conn = sim.transport.connections.last().expect("a connection").0;
    sim.receive(conn, result("{\"held\":1}").as_bytes());
    sim.advance(100 * MS);
    assert_eq!(sim.statuses(client), [200]);
}

// Regression: the window was looked at when the workflow was resumed. The step then waited for a worker
// without limit, and ran a second time.
#[test]
fn a_keyed_step_is_not_sent_again_after_its_window() {
    let (before, store) = gateway_that_has_sent_hold();
    let (mut sim, client) = restart(&before, &store, 5 * S);
    sim.advance(6 * S);
    sim.worker_connections();
    assert_eq!(sends(&sim, "hold"), 0);
    assert_eq!(sim.statuses(client), [502], "it may have run");
}

// A second restart does not begin the window anew.
#[test]
fn a_second_restart_does_not_extend_the_window() {
    let (before, store) = gateway_that_has_sent_hold();
    let (second, _) = restart(&before, &store, S);
    assert_eq!(sends(&second, "hold"), 1);
    let (mut third, client) = restart(&second, &store, 1_500 * MS);
    third.advance(6 * S);
    third.worker_connections();
    assert_eq!(sends(&third, "hold"), 0);
    assert_eq!(third.statuses(client), [502]);
}

// The record of the second send cannot be written. The first one stays on record: no rejection.
#[test]
fn a_failed_write_does_not_forget_the_first_attempt() {
    let (before, mut store) = gateway_that_has_sent_hold();
    store.fails = Some(*store.writes.borrow() + 1);
    let (sim, client) = restart(&before, &store, 100 * MS);
    assert_eq!((sends(&sim, "hold"), sim.statuses(client)), (0, vec![502]));
}

/// Uses up the budget for further attempts, so that a request is given up when an attempt of it breaks off.
fn use_up_attempt_budget(sim: &mut SimulatedGateway) {
    for n in 0..40 {
        sim.send_event("quote", &format!("budget-{n}"));
        sim.worker_connections();
        for (conn, _) in sim.transport.connections.clone() {
            if !sim.transport.cut.contains(&conn) {
                sim.disconnect(conn, Closed::Reset);
            }
        }
        sim.advance(10 * MS);
    }
    sim.advance(5 * S);
}

/// A gateway that has sent the step `hold`, whose answer then breaks off after `time`. The step is rejected
/// by `Control`, since all workers recognise its repeats.
fn hold_that_breaks_off(deployment: Deployment, time: u64) -> (SimulatedGateway, ConnectionId) {
    let mut deployment = Deployment { endpoint_list: None, ..deployment };
    deployment.startup.attempt_policy.max_attempts = 100;
    let mut sim = SimulatedGateway::new(deployment);
    use_up_attempt_budget(&mut sim);
    let client = sim.send_event("book", "7");
    let conn = sim.newest_connection();
    sim.receive(conn, result("{}").as_bytes());
    sim.advance(20 * MS);
    let conn = sim.newest_connection();
    assert_eq!(sends(&sim, "hold"), 1);
    sim.advance(time);
    sim.disconnect(conn, Closed::Reset);
    (sim, client)
}

/// Lets the gateway connect for as long as `time`, and returns the times at which it sent the step again.
fn resend_times(sim: &mut SimulatedGateway, step: &str, time: u64) -> Vec<u64> {
    let begin = sim.now;
    let mut times = Vec::new();
    while sim.now < begin + time {
        let before = sends(sim, step);
        sim.advance(10 * MS);
        sim.worker_connections();
        times.extend((before..sends(sim, step)).map(|_| sim.now - begin));
    }
    times
}

// Regression: a step whose answer broke off was taken for one that never ran when its request was rejected,
// and sent again when the workers no longer recognised it.
#[test]
fn a_keyed_step_whose_answer_breaks_off_is_not_sent_again_after_its_window() {
    let (mut sim, client) = hold_that_breaks_off(deployment_with_hold(1), 2_900 * MS);
    assert_eq!(resend_times(&mut sim, "hold", 8 * S), Vec::<u64>::new());
    assert_eq!(sim.statuses(client), [502], "it may have run: {}", sim.output(client));
}

// Inside its window it is sent again, and its repeat is answered.
#[test]
fn a_keyed_step_whose_answer_breaks_off_is_sent_again_inside_its_window() {
    let (mut sim, client) = hold_that_breaks_off(deployment_with_hold(1), 100 * MS);
    let times = resend_times(&mut sim, "hold", 2_500 * MS);
    assert_eq!(times.len(), 1, "{}", sim.output(client));
    let conn = sim.transport.connections.last().expect("a connection").0;
    sim.receive(conn, result("{\"held\":1}").as_bytes());
    sim.advance(100 * MS);
    assert_eq!(sim.statuses(client), [200], "{}", sim.output(client));
}
