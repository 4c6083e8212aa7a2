//! Workflows on a simulated network: the requests sent to workers and the responses to clients.
mod common;

use applepond_gateway::Deployment;
use applepond_gateway::deployment::WorkflowConfig;
use applepond_reactor::ConnectionId;
use applepond_workflow::{Branch, Function, Plan, Step, StepId, Target, Test};
use common::{MS, S, SharedStore, SimulatedGateway, deployment, event, result, step};
use std::sync::Arc;
use test_case::test_case;

fn to(n: usize) -> Branch {
    Branch { test: None, target: Target::One(StepId(n)) }
}

/// Gets a price, then reserves beds at the hut named by its result, which `release` undoes if a later step
/// fails. If no beds are free, reserves them at a second hut. Confirms at the end, at most once.
fn booking() -> Plan {
    let free = Test { field: "free".into(), is: "true".into() };
    let steps = vec![
        Step { next: vec![to(1)], function: Function::OfEvent, ..step("price", 0) },
        Step {
            next: vec![Branch { test: Some(free), target: Target::One(StepId(3)) }, to(2)],
            function: Function::From(StepId(0), "hut".into()),
            undo: Some(StepId(4)),
            ..step("beds", 1)
        },
        Step { next: vec![to(3)], ..step("second", 1) },
        step("confirm", 2),
        Step { function: Function::From(StepId(0), "hut".into()), ..step("release", 1) },
    ];
    Plan { name: "book".into(), limit: 4 * S, steps }
}

fn gateway_with_booking() -> SimulatedGateway {
    let plan = booking();
    assert_eq!(plan.check(), Vec::new());
    let workflow = WorkflowConfig {
        types: vec!["book".into()],
        function_attribute: "subject".into(),
        plan: Arc::new(plan),
    };
    SimulatedGateway::new(Deployment { workflows: vec![workflow], ..deployment(2) })
}

/// Returns the latest request sent to a worker, with its connection.
fn latest_request(sim: &mut SimulatedGateway) -> (ConnectionId, String) {
    sim.worker_connections();
    let last_request =
        |c: &ConnectionId| sim.output(*c).split("POST /run").last().unwrap_or_default().to_owned();
    let open: Vec<ConnectionId> = sim
        .transport
        .connections
        .iter()
        .map(|(c, _)| *c)
        .filter(|c| !sim.transport.cut.contains(c))
        .collect();
    let newest =
        open.into_iter().max_by_key(|c| (sim.requests_at(*c).1, *c)).expect("a worker was sent something");
    (newest, last_request(&newest))
}

/// Has a worker respond to the latest request, and returns the request that follows.
fn respond(sim: &mut SimulatedGateway, body: &str) -> String {
    let (conn, _) = latest_request(sim);
    sim.advance(20 * MS);
    sim.receive(conn, result(body).as_bytes());
    latest_request(sim).1
}

#[test]
fn a_workflow_runs_its_steps_to_the_end() {
    let mut sim = gateway_with_booking();
    let client = sim.send_event("book", "7");
    let (_, price) = latest_request(&mut sim);
    assert!(price.contains("applepond-function: hut\r\n") && price.contains("ce-id: 7/price"), "{price}");
    assert!(price.contains("ce-type: quote\r\n") && !price.contains("ce-type: book"), "{price}");
    let beds = respond(&mut sim, "{\"hut\":\"lucni\"}");
    assert!(beds.contains("applepond-function: lucni\r\n") && beds.contains("ce-id: 7/beds"), "{beds}");
    let confirm = respond(&mut sim, "{\"free\":true}");
    assert!(confirm.contains("applepond-function: confirm-fn\r\n"), "{confirm}");
    assert_eq!(sim.output(client), "", "one answer, at the end");
    respond(&mut sim, "{\"booked\":4711}");
    let output = sim.output(client);
    assert!(output.starts_with("HTTP/1.1 200") && output.contains("4711"), "{output}");
    assert!(output.contains("applepond-steps: 3"), "{output}");
    assert_eq!(sim.requests(), 3);
}

// A client's retry joins the workflow in progress; one after its end gets the cached answer. The steps run
// once.
#[test]
fn a_retried_workflow_joins_the_one_in_progress() {
    let mut sim = gateway_with_booking();
    let client = sim.send_event("book", "7");
    respond(&mut sim, "{\"hut\":\"lucni\"}");
    sim.disconnect(client, applepond_reactor::Closed::Reset);
    let again = sim.send_event("book", "7");
    respond(&mut sim, "{\"free\":true}");
    respond(&mut sim, "{\"booked\":4711}");
    let later = sim.send_event("book", "7");
    for client in [again, later] {
        assert!(sim.output(client).contains("4711"), "{}", sim.output(client));
    }
    assert_eq!(sim.requests(), 3);
}

#[test_case("{\"free\":false}"; "no beds")]
#[test_case("no JSON at all"; "garbage")]
#[test_case("{\"free\":{}}"; "a field that is an object")]
fn an_alternative_step_runs_where_the_first_has_no_result(beds: &str) {
    let mut sim = gateway_with_booking();
    sim.send_event("book", "7");
    respond(&mut sim, "{\"hut\":\"lucni\"}");
    assert!(respond(&mut sim, beds).contains("applepond-function: second-fn"));
}

// The confirmation may have run: the client gets a failure, and the release of the beds is retried in its
// rack and inside its window.
#[test]
fn the_steps_of_a_failed_workflow_are_undone() {
    let mut sim = gateway_with_booking();
    let client = sim.send_event("book", "7");
    respond(&mut sim, "{\"hut\":\"lucni\"}");
    respond(&mut sim, "{\"free\":true}");
    let (conn, _) = latest_request(&mut sim);
    sim.disconnect(conn, applepond_reactor::Closed::Reset);
    sim.advance(MS);
    let output = sim.output(client);
    assert!(output.starts_with("HTTP/1.1 502") && output.contains("step-failed"), "{output}");
    let (conn, release) = latest_request(&mut sim);
    assert!(
        release.contains("ce-id: 7/release") && release.contains("applepond-function: lucni"),
        "{release}"
    );
    sim.receive(conn, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    sim.advance(500 * MS);
    let (conn, again) = latest_request(&mut sim);
    assert!(again.contains("ce-id: 7/release"), "{again}");
    sim.receive(conn, result("{}").as_bytes());
    sim.advance(20 * S);
    let page = sim.connect_client();
    sim.receive(page, b"GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(
        sim.output(page).contains("\"failed\":1") && sim.output(page).contains("\"open\":0"),
        "{}",
        sim.output(page)
    );
    let again = sim.send_event("book", "7");
    assert!(sim.output(again).starts_with("HTTP/1.1 502"), "replayed, not run again");
}

// No step has had an effect, so the client gets a rejection with a time to retry.
#[test]
fn a_workflow_without_capacity_is_rejected() {
    let mut sim = SimulatedGateway::new(Deployment {
        workflows: vec![WorkflowConfig {
            types: vec!["book".into()],
            function_attribute: "subject".into(),
            plan: Arc::new(booking()),
        }],
        ..deployment(0)
    });
    let client = sim.send_event("book", "7");
    sim.advance(5 * S);
    let output = sim.output(client);
    assert!(output.starts_with("HTTP/1.1 503") && output.contains("retry-after-ms"), "{output}");
    assert_eq!(sim.statuses(client).len(), 1);
}

#[test]
fn a_workflow_that_cannot_finish_in_time_is_refused_at_once() {
    let mut sim = gateway_with_booking();
    let event = event("book", "7").replace("ce-id", "ce-timelimit: 60\r\nce-id");
    let client = sim.connect_client();
    sim.receive(client, event.as_bytes());
    let output = sim.output(client);
    assert!(output.starts_with("HTTP/1.1 503") && output.contains("no-time"), "{output}");
    assert_eq!(sim.requests(), 0);
}

// ---- Restarts ------------------------------------------------------------------------------------------

/// Successive gateway instances with the same store, and how often they sent each step in total.
struct Restarts {
    store: SharedStore,
    sim: SimulatedGateway,
    sent: std::collections::BTreeMap<String, usize>,
}

impl Restarts {
    fn new(fails: Option<usize>) -> Self {
        let store = SharedStore { fails, ..SharedStore::default() };
        let sim = SimulatedGateway::with_store(deployment_with_booking(), 1_000 * S, Box::new(store.clone()));
        Restarts { store, sim, sent: Default::default() }
    }

    /// Counts the steps sent by this instance, and replaces it by a new one.
    fn restart(&mut self) {
        let worker_connections: Vec<ConnectionId> =
            self.sim.transport.connections.iter().map(|(c, _)| *c).collect();
        for output in worker_connections.iter().map(|c| self.sim.output(*c)) {
            for id in output.split("ce-id: ").skip(1) {
                *self.sent.entry(id.split("\r\n").next().unwrap_or_default().to_owned()).or_default() += 1;
            }
        }
        let now = self.sim.now + MS;
        self.sim = SimulatedGateway::with_store(deployment_with_booking(), now, Box::new(self.store.clone()));
    }

    /// Sends the event, has workers complete up to `steps` steps, and returns the status of the answer, if
    /// any.
    fn send_event(&mut self, steps: usize) -> Option<u16> {
        let client = self.sim.send_event("book", "7");
        self.complete_steps(steps);
        self.sim.statuses(client).first().copied()
    }

    /// Has workers respond to up to `steps` requests, with results that let the workflow continue.
    fn complete_steps(&mut self, steps: usize) {
        let sim = &mut self.sim;
        for _ in 0..steps {
            sim.worker_connections();
            if sim.requests() == 0 {
                return;
            }
            let (conn, request) = latest_request(sim);
            if sim.transport.answered_writes.contains(&sim.requests_at(conn).1) {
                return;
            }
            sim.transport.answered_writes.insert(sim.requests_at(conn).1);
            sim.advance(25 * MS);
            let body = match request {
                _ if request.contains("/price") => "{\"hut\":\"lucni\"}",
                _ if request.contains("/beds") => "{\"free\":true}",
                _ => "{\"booked\":4711}",
            };
            sim.receive(conn, result(body).as_bytes());
            sim.advance(25 * MS);
        }
    }
}

fn deployment_with_booking() -> Deployment {
    let workflow = WorkflowConfig {
        types: vec!["book".into()],
        function_attribute: "subject".into(),
        plan: Arc::new(booking()),
    };
    Deployment { workflows: vec![workflow], ..deployment(2) }
}

// The instance is restarted after `steps` steps have finished, with the next one in flight; the client
// retries at the next instance.
#[test_case(0, 200, &[("7/price", 2), ("7/beds", 1), ("7/confirm", 1)]; "price in flight: sent again")]
#[test_case(1, 502, &[("7/price", 1), ("7/beds", 1), ("7/release", 1)]; "beds in flight: may have run")]
#[test_case(2, 502, &[("7/price", 1), ("7/beds", 1), ("7/confirm", 1), ("7/release", 1)];
    "confirmation in flight")]
#[test_case(3, 200, &[("7/price", 1), ("7/beds", 1), ("7/confirm", 1)]; "answer lost")]
fn a_restart_after_any_step_repeats_no_effect(steps: usize, status: u16, sent: &[(&str, usize)]) {
    let mut restarts = Restarts::new(None);
    restarts.send_event(steps);
    restarts.sim.worker_connections();
    restarts.restart();
    let retry_status = restarts.send_event(9);
    restarts.complete_steps(9);
    restarts.restart();
    assert_eq!(retry_status, Some(status));
    let expected: std::collections::BTreeMap<String, usize> =
        sent.iter().map(|(id, n)| ((*id).to_owned(), *n)).collect();
    assert_eq!(restarts.sent, expected);
}

// Without a retry by its client, an interrupted workflow is undone after its deadline.
#[test]
fn a_workflow_that_no_client_repeats_after_a_restart_is_undone() {
    let mut restarts = Restarts::new(None);
    restarts.send_event(2);
    restarts.sim.worker_connections();
    restarts.restart();
    restarts.sim.advance(3 * S);
    assert_eq!(restarts.sim.requests(), 0, "its client may still retry");
    restarts.sim.advance(S);
    restarts.complete_steps(1);
    restarts.restart();
    assert_eq!(restarts.sent.get("7/release"), Some(&1));
    restarts.sim.advance(9 * S);
    assert_eq!(restarts.sim.requests(), 0, "undone once only");
}

// A reload keeps the indices of workloads, while a restart takes their order from the settings file. A
// workflow stored after a reload that changed the order must still be recognised after the restart.
#[test]
fn a_workflow_survives_a_reload_and_a_restart() {
    let mut restarts = Restarts::new(None);
    let mut old = deployment(2);
    old.workloads.reverse();
    old.startup.workloads.reverse();
    restarts.sim = SimulatedGateway::with_store(old, 1_000 * S, Box::new(restarts.store.clone()));
    restarts.sim.reload(deployment_with_booking());
    restarts.send_event(2);
    restarts.sim.worker_connections();
    restarts.restart();
    restarts.sim.advance(4 * S);
    restarts.complete_steps(1);
    restarts.restart();
    assert_eq!((restarts.sent.get("7/confirm"), restarts.sent.get("7/release")), (Some(&1), Some(&1)));
}

// A workflow is stored as finished before it is answered, so that it is not undone after a restart.
#[test]
fn a_workflow_answered_as_finished_is_never_undone() {
    let mut restarts = Restarts::new(None);
    let client = restarts.sim.send_event("book", "7");
    restarts.complete_steps(2);
    let (conn, _) = latest_request(&mut restarts.sim);
    restarts.sim.receive(conn, result("{\"booked\":4711}").as_bytes());
    assert_eq!(restarts.sim.statuses(client), [200], "answered in the same turn");
    restarts.restart();
    restarts.sim.advance(9 * S);
    assert_eq!(restarts.sim.requests(), 0, "nothing is undone");
    restarts.restart();
    assert_eq!(restarts.sent.get("7/release"), None);
}

// Of two parallel steps, one is waiting to be stored when the other one fails immediately: it must not be
// sent.
#[test]
fn a_branch_cancelled_before_it_was_stored_is_not_sent() {
    let fork = Branch { test: None, target: Target::All(vec![StepId(1), StepId(2)], None) };
    let steps = vec![
        Step { next: vec![fork], ..step("price", 0) },
        step("beds", 1),
        Step { function: Function::From(StepId(0), "nowhere".into()), ..step("meals", 1) },
    ];
    let plan = Plan { name: "book".into(), limit: 4 * S, steps };
    assert_eq!(plan.check(), Vec::new());
    let workflow = WorkflowConfig {
        types: vec!["book".into()],
        function_attribute: "subject".into(),
        plan: Arc::new(plan),
    };
    let mut sim = SimulatedGateway::new(Deployment { workflows: vec![workflow], ..deployment(2) });
    let client = sim.send_event("book", "7");
    let (conn, _) = latest_request(&mut sim);
    sim.receive(conn, result("{}").as_bytes());
    sim.advance(S);
    assert_eq!((sim.requests(), sim.statuses(client)), (1, vec![502]));
}

// Whichever write fails, and after whichever step the instance is restarted: no step that is not idempotent
// is sent twice, and the client gets a final answer.
#[test]
fn no_failed_write_and_no_restart_repeats_an_effect() {
    let mut statuses = std::collections::BTreeSet::new();
    for fails in 1..=8 {
        for steps in 0..=4 {
            let mut restarts = Restarts::new(Some(fails));
            restarts.send_event(steps);
            restarts.sim.worker_connections();
            restarts.restart();
            let mut status = restarts.send_event(9);
            restarts.complete_steps(9);
            if status == Some(503) {
                restarts.sim.advance(2 * S);
                status = restarts.send_event(9);
            }
            restarts.restart();
            statuses.insert(status);
            assert!(matches!(status, Some(200 | 502)), "write {fails}, {steps} steps: {status:?}");
            for (id, n) in &restarts.sent {
                let has_effect = ["7/beds", "7/confirm"].contains(&id.as_str());
                assert!(!has_effect || *n == 1, "write {fails}, {steps} steps: {id} was sent {n} times");
            }
        }
    }
    assert_eq!(statuses.len(), 2, "both outcomes occur");
}

// If the disk is full, the step is not sent, and the client gets a rejection, which is safe to retry.
#[test]
fn a_step_that_cannot_be_stored_is_not_sent() {
    let mut restarts = Restarts::new(Some(1));
    assert_eq!(restarts.send_event(9), Some(503));
    restarts.restart();
    assert_eq!(restarts.sent.keys().collect::<Vec<_>>(), ["7/price"]);
}

// Open workflows count towards the limit of open requests.
#[test]
fn workflows_and_requests_share_one_bound() {
    let workflow = WorkflowConfig {
        types: vec!["book".into()],
        function_attribute: "subject".into(),
        plan: Arc::new(booking()),
    };
    let mut sim = SimulatedGateway::new(Deployment {
        workflows: vec![workflow],
        max_clients: 100_000,
        ..deployment(0)
    });
    let clients: Vec<ConnectionId> = (0..20_001).map(|n| sim.send_event("book", &n.to_string())).collect();
    assert!(sim.output(clients[20_000]).contains("too-many-jobs"), "{}", sim.output(clients[20_000]));
}
