//! Reloads of a running instance, to new settings and back: no accepted request is lost or sent twice.
mod common;
use applepond::interface::{CustomerConfig, RetrySafety, WorkloadConfig};
use applepond_gateway::Deployment;
use applepond_gateway::deployment::StaticWorker;
use applepond_gateway::reload::merge;
use applepond_reactor::{Closed, ConnectionId};
use applepond_workflow::{Branch, Step, StepId, Target};
use common::*;
use test_case::test_case;

/// Different settings: no hedging, shared timeouts, another customer, and only the third workload, as an
/// idempotent one.
fn other_deployment() -> Deployment {
    let mut deployment = deployment(3);
    deployment.startup.attempt_policy.hedging_allowed = false;
    deployment.startup.timeouts_shared = true;
    deployment.startup.workloads = vec![WorkloadConfig {
        retry_safety: RetrySafety::Idempotent,
        ..deployment.startup.workloads[2].clone()
    }];
    deployment.workloads = vec![deployment.workloads[2].clone()];
    (deployment.customers, deployment.startup.customers) =
        (vec!["towers".into()], vec![CustomerConfig { requests_per_second: 500.0 }]);
    deployment
}

/// Returns the connection on which a request was sent last.
fn latest_connection(sim: &mut SimulatedGateway) -> ConnectionId {
    let worker_connections = sim.worker_connections();
    worker_connections.into_iter().max_by_key(|connection| sim.requests_at(*connection).1).expect("sent")
}

#[test_case(|d| d.listen.set_port(1), "listen")]
#[test_case(|d| d.endpoint_list = Some(d.listen), "hosts")]
#[test_case(|d| d.workflow_store = Some("r".into()), "record")]
#[test_case(|d| d.startup.router_index = 1, "router")]
#[test_case(|d| d.startup.seed = 8, "seed")]
#[test_case(|d| d.max_clients = 1, "bounds.clients")]
#[test_case(|d| d.max_event_bytes = 1, "bounds.event_bytes")]
#[test_case(|d| d.answer_retention.time = 1, "bounds.remember_for")]
#[test_case(|d| d.answer_retention.max_answers = 1, "bounds.remember")]
#[test_case(|d| d.answer_retention.max_bytes = 1, "bounds.remember_bytes")]
#[test_case(|d| d.zones = (0..10_000).map(|n| format!("z{n}")).collect(), "zones")]
fn settings_of_the_process_need_a_restart(change: fn(&mut Deployment), key: &str) {
    let mut new = other_deployment();
    change(&mut new);
    assert_eq!(merge(&deployment(3), new).err(), Some(vec![key]));
}

#[test]
fn indices_are_stable_over_reloads_back_and_forth() {
    let (first, second) = (deployment(3), other_deployment());
    let changed = merge(&first, second.clone()).expect("mergeable");
    let retry_safety: Vec<RetrySafety> = changed.startup.workloads.iter().map(|w| w.retry_safety).collect();
    assert_eq!(retry_safety[2], RetrySafety::Idempotent);
    assert_eq!(
        retry_safety[..2],
        [first.startup.workloads[0].retry_safety, first.startup.workloads[1].retry_safety]
    );
    let types: Vec<usize> = changed.workloads.iter().map(|w| w.types.len()).collect();
    assert_eq!((types, changed.customers.len()), (vec![0, 0, 1], 2));
    assert_eq!(
        changed.startup.customers.iter().map(|c| c.requests_per_second).collect::<Vec<_>>(),
        [0.0, 500.0]
    );
    let restored = merge(&changed, first.clone()).expect("mergeable");
    assert_eq!(
        restored.startup.customers.iter().map(|c| c.requests_per_second).collect::<Vec<_>>(),
        [1000.0, 0.0]
    );
    assert_eq!(format!("{:?}", restored.startup.workloads), format!("{:?}", first.startup.workloads));
    let again = merge(&restored, second).expect("mergeable");
    assert_eq!((again.workloads.len(), again.customers.len()), (3, 2), "repeated reloads add no entries");
}

// A request in flight during a reload stays at-most-once although its workload has become idempotent; only
// the next request may be retried.
#[test]
fn a_request_keeps_the_retry_safety_it_was_accepted_under() {
    let mut sim = SimulatedGateway::new(deployment(3));
    let client = sim.send_event("confirm", "1");
    let connection = sim.worker_connections()[0];
    sim.reload(other_deployment());
    sim.disconnect(connection, Closed::Reset);
    sim.advance(S);
    assert_eq!((sim.statuses(client), sim.requests()), (vec![502], 1));
    let again = sim.send_event("confirm", "1");
    assert_eq!((sim.statuses(again), sim.requests()), (vec![502], 1), "its answer is replayed");
    let client = sim.send_event("confirm", "2");
    let connection = latest_connection(&mut sim);
    sim.disconnect(connection, Closed::Reset);
    sim.advance(S);
    sim.worker_connections();
    assert_eq!((sim.statuses(client), sim.requests()), (vec![], 3), "retried under the new settings");
    sim.reload(deployment(3));
    let connection = latest_connection(&mut sim);
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    assert_eq!((sim.statuses(client), sim.requests()), (vec![200], 3));
}

// When a reload forbids hedging while a hedged attempt is in flight, one of the two attempts is cancelled,
// and no request is hedged afterwards.
#[test]
fn hedged_requests_end_when_hedging_is_forbidden() {
    let mut sim = SimulatedGateway::new(deployment(3));
    let client = sim.send_event("quote", "1");
    sim.worker_connections();
    sim.advance(S);
    let worker_connections = sim.worker_connections();
    assert_eq!(sim.requests(), 2, "the hedge delay has passed");
    let mut new = deployment(3);
    new.startup.attempt_policy.hedging_allowed = false;
    sim.reload(new);
    assert_eq!(worker_connections.iter().filter(|l| sim.transport.cut.contains(l)).count(), 1);
    let second = sim.send_event("quote", "2");
    sim.worker_connections();
    sim.advance(S);
    let sent = sim
        .worker_connections()
        .into_iter()
        .filter(|l| !sim.transport.cut.contains(l) && sim.requests_at(*l).0 > 0);
    assert_eq!(sent.count(), 2, "one attempt per request");
    for connection in sim.worker_connections() {
        if !sim.transport.cut.contains(&connection) {
            sim.receive(connection, FINISHED_RESPONSE.as_bytes());
        }
    }
    assert_eq!((sim.statuses(client), sim.statuses(second)), (vec![200], vec![200]));
}

// When new settings omit a workload or a customer, its requests in flight are answered and new ones are
// refused, until a later reload restores it.
#[test]
fn requests_of_an_omitted_workload_finish_and_new_ones_are_refused() {
    let mut sim = SimulatedGateway::new(deployment(3));
    let client = sim.send_event("quote", "1");
    let connection = sim.worker_connections()[0];
    sim.reload(other_deployment());
    let refused = sim.send_event("quote", "2");
    let unknown = sim.connect_client();
    sim.receive(
        unknown,
        event("confirm", "3").replace("ce-subject", "ce-customer: huts\r\nce-subject").as_bytes(),
    );
    assert_eq!((sim.statuses(refused), sim.statuses(unknown)), (vec![422], vec![422]));
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    assert_eq!(sim.statuses(client), [200]);
    sim.reload(deployment(3));
    let again = sim.send_event("quote", "2");
    let connection = latest_connection(&mut sim);
    sim.receive(connection, result("{\"ok\": 2}").as_bytes());
    assert_eq!((sim.statuses(again), sim.requests()), (vec![200], 2));
}

// Requests that wait for a worker are sent to the workers of the new settings; omitted workers get no new
// requests.
#[test]
fn waiting_requests_go_to_the_workers_of_a_reload() {
    let mut sim = SimulatedGateway::new(deployment(0));
    sim.advance(900 * MS);
    let client = sim.send_event("confirm", "1");
    assert_eq!(sim.requests(), 0);
    sim.reload(deployment(1));
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    assert_eq!((sim.statuses(client), sim.requests()), (vec![200], 1));
    let mut replaced = deployment(1);
    let address = ([127, 0, 0, 1], 9100).into();
    replaced.workers = vec![StaticWorker { name: "v1".into(), address, ..replaced.workers[0].clone() }];
    sim.reload(replaced);
    sim.send_event("confirm", "2");
    assert_eq!(sim.transport.connections.last().map(|(_, to)| *to), Some(address));
    assert!(sim.transport.cut.contains(&connection), "the idle connection to the omitted worker");
}

/// A deployment in which `book` gets a price, holds beds, which `release` undoes, and confirms.
fn deployment_with_booking() -> Deployment {
    let to = |n: usize| vec![Branch { test: None, target: Target::One(StepId(n)) }];
    let steps = vec![
        Step { next: to(1), ..step("price", 0) },
        Step { next: to(2), undo: Some(StepId(3)), ..step("beds", 1) },
        step("confirm", 2),
        step("release", 1),
    ];
    Deployment { workflows: vec![booking_workflow(&["book"], steps)], ..deployment(1) }
}

/// Has the worker answer the request that was sent last, and lets the router send the next one. Returns the
/// type of the event that was answered.
fn answer_step(sim: &mut SimulatedGateway) -> String {
    let conn = latest_connection(sim);
    let sent = sim.output(conn);
    let request = sent.split("POST /run").last().unwrap_or_default();
    let event_type = request.lines().find_map(|line| line.strip_prefix("ce-type: ")).unwrap_or_default();
    sim.receive(conn, result("{}").as_bytes());
    sim.advance(30 * MS);
    event_type.to_owned()
}

// Regression: a reload that omitted a workflow's workloads sent its further steps and undos with an empty
// type, which workers refuse.
#[test_case(true; "it finishes")]
#[test_case(false; "it fails and is undone")]
fn a_workflow_goes_on_after_a_reload_that_omits_its_workloads(confirms: bool) {
    let mut sim = SimulatedGateway::new(deployment_with_booking());
    let client = sim.send_event("book", "1");
    assert_eq!(answer_step(&mut sim), "quote");
    let mut without = deployment(1);
    without.workloads.truncate(1);
    without.startup.workloads.truncate(1);
    sim.reload(without);
    assert_eq!(answer_step(&mut sim), "hold");
    if confirms {
        assert_eq!(answer_step(&mut sim), "confirm");
        assert_eq!(sim.statuses(client), [200]);
    } else {
        let conn = latest_connection(&mut sim);
        sim.disconnect(conn, Closed::Reset);
        sim.advance(30 * MS);
        assert_eq!(sim.statuses(client), [502]);
        assert_eq!(answer_step(&mut sim), "hold", "the undo");
    }
    let refused = sim.send_event("book", "2");
    assert_eq!(sim.statuses(refused), [422], "no new one is started");
}
