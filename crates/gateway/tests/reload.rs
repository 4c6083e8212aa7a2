//! New settings in a running instance, there and back: nothing taken in is lost or sent twice.
mod common;
use applepond::interface::{CustomerConfig, RetrySafety, WorkloadConfig};
use applepond_gateway::Deployment;
use applepond_gateway::deployment::StaticWorker;
use applepond_gateway::reload::merge;
use applepond_reactor::{Closed, Conn};
use common::*;
use test_case::test_case;

/// Another shape of deployment: no second copies, clients' limits shared, one workload instead of three,
/// other terms for it.
fn other() -> Deployment {
    let mut d = deployment(3);
    d.startup.attempt_policy.hedging_allowed = false;
    d.startup.timeouts_shared = true;
    d.startup.workloads =
        vec![WorkloadConfig { retry_safety: RetrySafety::Idempotent, ..d.startup.workloads[2].clone() }];
    d.workloads = vec![d.workloads[2].clone()];
    (d.customers, d.startup.customers) =
        (vec!["towers".into()], vec![CustomerConfig { requests_per_second: 500.0 }]);
    d
}

/// The connection that was sent a request last.
fn latest(sim: &mut SimulatedGateway) -> Conn {
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
    let mut new = other();
    change(&mut new);
    assert_eq!(merge(&deployment(3), new).err(), Some(vec![key]));
}

#[test]
fn indices_stay_over_reloads_to_and_fro() {
    let (first, second) = (deployment(3), other());
    let there = merge(&first, second.clone()).expect("it fits");
    let effects: Vec<RetrySafety> = there.startup.workloads.iter().map(|w| w.retry_safety).collect();
    assert_eq!(effects[2], RetrySafety::Idempotent);
    assert_eq!(
        effects[..2],
        [first.startup.workloads[0].retry_safety, first.startup.workloads[1].retry_safety]
    );
    let types: Vec<usize> = there.workloads.iter().map(|w| w.types.len()).collect();
    assert_eq!((types, there.customers.len()), (vec![0, 0, 1], 2));
    assert_eq!(
        there.startup.customers.iter().map(|c| c.requests_per_second).collect::<Vec<_>>(),
        [0.0, 500.0]
    );
    let back = merge(&there, first.clone()).expect("it fits");
    assert_eq!(
        back.startup.customers.iter().map(|c| c.requests_per_second).collect::<Vec<_>>(),
        [1000.0, 0.0]
    );
    assert_eq!(format!("{:?}", back.startup.workloads), format!("{:?}", first.startup.workloads));
    let again = merge(&back, second).expect("it fits");
    assert_eq!((again.workloads.len(), again.customers.len()), (3, 2), "a switch to and fro adds nothing");
}

// An at-most-once request that was out at the switch stays one, though its workload may be repeated now; the
// next may.
#[test]
fn a_request_keeps_the_retry_safety_it_was_accepted_under() {
    let mut sim = SimulatedGateway::new(deployment(3));
    let client = sim.send_event("confirm", "1");
    let connection = sim.worker_connections()[0];
    sim.reload(other());
    sim.disconnect(connection, Closed::Reset);
    sim.advance(S);
    assert_eq!((sim.statuses(client), sim.requests()), (vec![502], 1));
    let again = sim.send_event("confirm", "1");
    assert_eq!((sim.statuses(again), sim.requests()), (vec![502], 1), "and its answer is told again");
    let client = sim.send_event("confirm", "2");
    let connection = latest(&mut sim);
    sim.disconnect(connection, Closed::Reset);
    sim.advance(S);
    sim.worker_connections();
    assert_eq!((sim.statuses(client), sim.requests()), (vec![], 3), "repeated by the new terms");
    sim.reload(deployment(3));
    let connection = latest(&mut sim);
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    assert_eq!((sim.statuses(client), sim.requests()), (vec![200], 3));
}

// Two attempts are out when second copies are forbidden: one is taken back, and no request gets another.
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
    assert_eq!(sent.count(), 2, "one out a job");
    for connection in sim.worker_connections() {
        if !sim.transport.cut.contains(&connection) {
            sim.receive(connection, FINISHED_RESPONSE.as_bytes());
        }
    }
    assert_eq!((sim.statuses(client), sim.statuses(second)), (vec![200], vec![200]));
}

// A workload or customer that the new settings leave out: what runs is answered, new ones are refused, until
// the way back.
#[test]
fn a_workload_that_is_left_out_finishes_and_returns() {
    let mut sim = SimulatedGateway::new(deployment(3));
    let client = sim.send_event("quote", "1");
    let connection = sim.worker_connections()[0];
    sim.reload(other());
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
    let connection = latest(&mut sim);
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    assert_eq!((sim.statuses(again), sim.requests()), (vec![200], 2));
}

// Held requests are not lost: the workers that the new settings name get them; those left out get nothing
// new.
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
    let mut moved = deployment(1);
    let address = ([127, 0, 0, 1], 9100).into();
    moved.workers = vec![StaticWorker { name: "v1".into(), address, ..moved.workers[0].clone() }];
    sim.reload(moved);
    sim.send_event("confirm", "2");
    assert_eq!(sim.transport.connections.last().map(|(_, to)| *to), Some(address));
    assert!(sim.transport.cut.contains(&connection), "an idle connection to a worker that was left out");
}
