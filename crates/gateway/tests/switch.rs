//! New settings in a running instance, there and back: nothing taken in is lost or sent twice.
mod common;
use applepond::interface::*;
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
fn latest(b: &mut Bench) -> Conn {
    let links = b.links();
    links.into_iter().max_by_key(|link| b.requests_at(*link).1).expect("sent")
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
fn only_a_restart_changes(change: fn(&mut Deployment), key: &str) {
    let mut new = other();
    change(&mut new);
    assert_eq!(merge(&deployment(3), new).err(), Some(vec![key]));
}

#[test]
fn rows_keep_their_places_there_and_back_and_there() {
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
fn a_job_keeps_the_terms_it_was_taken_under() {
    let mut b = Bench::new(deployment(3));
    let client = b.asks("confirm", "1");
    let link = b.links()[0];
    b.switches(other());
    b.breaks(link, Closed::Reset);
    b.pass(S);
    assert_eq!((b.statuses(client), b.requests()), (vec![502], 1));
    let again = b.asks("confirm", "1");
    assert_eq!((b.statuses(again), b.requests()), (vec![502], 1), "and its answer is told again");
    let client = b.asks("confirm", "2");
    let link = latest(&mut b);
    b.breaks(link, Closed::Reset);
    b.pass(S);
    b.links();
    assert_eq!((b.statuses(client), b.requests()), (vec![], 3), "repeated by the new terms");
    b.switches(deployment(3));
    let link = latest(&mut b);
    b.says(link, DONE.as_bytes());
    assert_eq!((b.statuses(client), b.requests()), (vec![200], 3));
}

// Two attempts are out when second copies are forbidden: one is taken back, and no request gets another.
#[test]
fn copies_end_with_their_permit() {
    let mut b = Bench::new(deployment(3));
    let client = b.asks("quote", "1");
    b.links();
    b.pass(S);
    let links = b.links();
    assert_eq!(b.requests(), 2, "the hedge delay has passed");
    let mut new = deployment(3);
    new.startup.attempt_policy.hedging_allowed = false;
    b.switches(new);
    assert_eq!(links.iter().filter(|l| b.paper.cut.contains(l)).count(), 1);
    let second = b.asks("quote", "2");
    b.links();
    b.pass(S);
    let sent = b.links().into_iter().filter(|l| !b.paper.cut.contains(l) && b.requests_at(*l).0 > 0);
    assert_eq!(sent.count(), 2, "one out a job");
    for link in b.links() {
        if !b.paper.cut.contains(&link) {
            b.says(link, DONE.as_bytes());
        }
    }
    assert_eq!((b.statuses(client), b.statuses(second)), (vec![200], vec![200]));
}

// A workload or customer that the new settings leave out: what runs is answered, new ones are refused, until
// the way back.
#[test]
fn what_is_left_out_ends_and_comes_back() {
    let mut b = Bench::new(deployment(3));
    let client = b.asks("quote", "1");
    let link = b.links()[0];
    b.switches(other());
    let refused = b.asks("quote", "2");
    let unknown = b.caller();
    b.says(
        unknown,
        event("confirm", "3").replace("ce-subject", "ce-customer: huts\r\nce-subject").as_bytes(),
    );
    assert_eq!((b.statuses(refused), b.statuses(unknown)), (vec![422], vec![422]));
    b.says(link, DONE.as_bytes());
    assert_eq!(b.statuses(client), [200]);
    b.switches(deployment(3));
    let again = b.asks("quote", "2");
    let link = latest(&mut b);
    b.says(link, DONE.as_bytes());
    assert_eq!((b.statuses(again), b.requests()), (vec![200], 2));
}

// Held requests are not lost: the workers that the new settings name get them; those left out get nothing
// new.
#[test]
fn held_jobs_go_to_the_workers_of_the_new_settings() {
    let mut b = Bench::new(deployment(0));
    b.pass(900 * MS);
    let client = b.asks("confirm", "1");
    assert_eq!(b.requests(), 0);
    b.switches(deployment(1));
    let link = b.links()[0];
    b.says(link, DONE.as_bytes());
    assert_eq!((b.statuses(client), b.requests()), (vec![200], 1));
    let mut moved = deployment(1);
    let address = ([127, 0, 0, 1], 9100).into();
    moved.workers = vec![StaticWorker { name: "v1".into(), address, ..moved.workers[0].clone() }];
    b.switches(moved);
    b.asks("confirm", "2");
    assert_eq!(b.paper.connects.last().map(|(_, to)| *to), Some(address));
    assert!(b.paper.cut.contains(&link), "an idle connection to a worker that was left out");
}
