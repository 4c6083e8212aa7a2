//! Chains through the gateway on a simulated network: what workers are sent, what clients are told.
mod common;

use applepond_gateway::Deployment;
use applepond_gateway::deployment::WorkflowConfig;
use applepond_reactor::Conn;
use applepond_workflow::{Branch, Function, Go, Plan, Step, StepId, Test};
use common::{MS, S, SharedStore, SimulatedGateway, deployment, event, result};
use std::sync::Arc;
use test_case::test_case;

fn step(name: &str, workload: usize) -> Step {
    Step {
        name: name.into(),
        workload,
        effect: deployment(0).startup.workloads[workload].retry_safety,
        function: Function::Named(format!("{name}-fn")),
        at_least: 20 * MS,
        optional: false,
        undo: None,
        next: Vec::new(),
        or_else: Vec::new(),
    }
}

fn to(n: usize) -> Branch {
    Branch { test: None, go: Go::One(StepId(n)) }
}

/// Price; beds at the hut that the price names, released when it fails later; if they are not free, the
/// second hut; then confirm, once.
fn booking() -> Plan {
    let free = Test { field: "free".into(), is: "true".into() };
    let steps = vec![
        Step { next: vec![to(1)], function: Function::OfEvent, ..step("price", 0) },
        Step {
            next: vec![Branch { test: Some(free), go: Go::One(StepId(3)) }, to(2)],
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

fn bench() -> SimulatedGateway {
    let plan = booking();
    assert_eq!(plan.check(), Vec::new());
    let row = WorkflowConfig {
        types: vec!["book".into()],
        function_attribute: "subject".into(),
        plan: Arc::new(plan),
    };
    SimulatedGateway::new(Deployment { workflows: vec![row], ..deployment(2) })
}

/// The latest request that a worker was sent, with its connection.
fn latest(sim: &mut SimulatedGateway) -> (Conn, String) {
    sim.worker_connections();
    let sent = |c: &Conn| sim.told(*c).split("POST /run").last().unwrap_or_default().to_owned();
    let open: Vec<Conn> = sim
        .transport
        .connections
        .iter()
        .map(|(c, _)| *c)
        .filter(|c| !sim.transport.cut.contains(c))
        .collect();
    let newest =
        open.into_iter().max_by_key(|c| (sim.requests_at(*c).1, *c)).expect("a worker was sent something");
    (newest, sent(&newest))
}

/// A worker answers the latest request; what the next one is about.
fn answers(sim: &mut SimulatedGateway, body: &str) -> String {
    let (conn, _) = latest(sim);
    sim.advance(20 * MS);
    sim.receive(conn, result(body).as_bytes());
    latest(sim).1
}

#[test]
fn a_workflow_runs_its_steps_to_the_end() {
    let mut sim = bench();
    let client = sim.send_event("book", "7");
    let (_, price) = latest(&mut sim);
    assert!(price.contains("applepond-function: hut\r\n") && price.contains("ce-id: 7/price"), "{price}");
    assert!(price.contains("ce-type: quote\r\n") && !price.contains("ce-type: book"), "{price}");
    let beds = answers(&mut sim, "{\"hut\":\"lucni\"}");
    assert!(beds.contains("applepond-function: lucni\r\n") && beds.contains("ce-id: 7/beds"), "{beds}");
    let confirm = answers(&mut sim, "{\"free\":true}");
    assert!(confirm.contains("applepond-function: confirm-fn\r\n"), "{confirm}");
    assert_eq!(sim.told(client), "", "one answer, at the end");
    answers(&mut sim, "{\"booked\":4711}");
    let told = sim.told(client);
    assert!(told.starts_with("HTTP/1.1 200") && told.contains("4711"), "{told}");
    assert!(told.contains("applepond-steps: 3"), "{told}");
    assert_eq!(sim.requests(), 3);
}

// A retry joins the chain that runs, and is told its answer afterwards: one run, counted at the workers.
#[test]
fn a_retried_workflow_joins_the_one_in_progress() {
    let mut sim = bench();
    let client = sim.send_event("book", "7");
    answers(&mut sim, "{\"hut\":\"lucni\"}");
    sim.disconnect(client, applepond_reactor::Closed::Reset);
    let again = sim.send_event("book", "7");
    answers(&mut sim, "{\"free\":true}");
    answers(&mut sim, "{\"booked\":4711}");
    let later = sim.send_event("book", "7");
    for client in [again, later] {
        assert!(sim.told(client).contains("4711"), "{}", sim.told(client));
    }
    assert_eq!(sim.requests(), 3);
}

#[test_case("{\"free\":false}"; "no beds")]
#[test_case("no JSON at all"; "garbage")]
#[test_case("{\"free\":{}}"; "a field that is no word")]
fn an_alternative_step_runs_where_the_first_has_no_result(beds: &str) {
    let mut sim = bench();
    sim.send_event("book", "7");
    answers(&mut sim, "{\"hut\":\"lucni\"}");
    assert!(answers(&mut sim, beds).contains("applepond-function: second-fn"));
}

// The confirmation may have run: the client is told so and no more, and the beds are released, until that has
// finished.
#[test]
fn the_steps_of_a_failed_workflow_are_undone() {
    let mut sim = bench();
    let client = sim.send_event("book", "7");
    answers(&mut sim, "{\"hut\":\"lucni\"}");
    answers(&mut sim, "{\"free\":true}");
    let (conn, _) = latest(&mut sim);
    sim.disconnect(conn, applepond_reactor::Closed::Reset);
    sim.advance(MS);
    let told = sim.told(client);
    assert!(told.starts_with("HTTP/1.1 502") && told.contains("step-failed"), "{told}");
    let (conn, release) = latest(&mut sim);
    assert!(
        release.contains("ce-id: 7/release") && release.contains("applepond-function: lucni"),
        "{release}"
    );
    sim.receive(conn, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    sim.advance(8 * S);
    let (conn, again) = latest(&mut sim);
    assert!(again.contains("ce-id: 7/release"), "{again}");
    sim.receive(conn, result("{}").as_bytes());
    sim.advance(20 * S);
    let page = sim.connect_client();
    sim.receive(page, b"GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(
        sim.told(page).contains("\"failed\":1") && sim.told(page).contains("\"open\":0"),
        "{}",
        sim.told(page)
    );
    let again = sim.send_event("book", "7");
    assert!(sim.told(again).starts_with("HTTP/1.1 502"), "it is told again, not run again");
}

// Nothing has had an effect: the client is told when to come back, and may.
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
    let told = sim.told(client);
    assert!(told.starts_with("HTTP/1.1 503") && told.contains("retry-after-ms"), "{told}");
    assert_eq!(sim.statuses(client).len(), 1);
}

#[test]
fn a_workflow_that_cannot_finish_in_time_is_refused_at_once() {
    let mut sim = bench();
    let event = event("book", "7").replace("ce-id", "ce-timelimit: 60\r\nce-id");
    let client = sim.connect_client();
    sim.receive(client, event.as_bytes());
    let told = sim.told(client);
    assert!(told.starts_with("HTTP/1.1 503") && told.contains("no-time"), "{told}");
    assert_eq!(sim.requests(), 0);
}

// ---- Over a kill ---------------------------------------------------------------------------------------

/// One instance after the other on the same record, and how often each step was sent by all of them.
struct Restarts {
    shared: SharedStore,
    bench: SimulatedGateway,
    sent: std::collections::BTreeMap<String, usize>,
}

impl Restarts {
    fn new(fails: Option<usize>) -> Self {
        let shared = SharedStore { fails, ..SharedStore::default() };
        let bench = SimulatedGateway::with(with_chain(), 1_000 * S, Box::new(shared.clone()));
        Restarts { shared, bench, sent: Default::default() }
    }

    /// Counts what this instance sent, and starts another one.
    fn kill(&mut self) {
        let worker_connections: Vec<Conn> =
            self.bench.transport.connections.iter().map(|(c, _)| *c).collect();
        for told in worker_connections.iter().map(|c| self.bench.told(*c)) {
            for id in told.split("ce-id: ").skip(1) {
                *self.sent.entry(id.split("\r\n").next().unwrap_or_default().to_owned()).or_default() += 1;
            }
        }
        let now = self.bench.now + MS;
        self.bench = SimulatedGateway::with(with_chain(), now, Box::new(self.shared.clone()));
    }

    /// Asks, and has workers answer what the steps want to hear, for so many steps; the status that was told.
    fn ask(&mut self, steps: usize) -> Option<u16> {
        let client = self.bench.send_event("book", "7");
        self.go_on(steps);
        self.bench.statuses(client).first().copied()
    }

    fn go_on(&mut self, steps: usize) {
        let sim = &mut self.bench;
        for _ in 0..steps {
            sim.worker_connections();
            if sim.requests() == 0 {
                return;
            }
            let (conn, sent) = latest(sim);
            if sim.transport.answered_writes.contains(&sim.requests_at(conn).1) {
                return;
            }
            sim.transport.answered_writes.insert(sim.requests_at(conn).1);
            sim.advance(25 * MS);
            let body = match sent {
                _ if sent.contains("/price") => "{\"hut\":\"lucni\"}",
                _ if sent.contains("/beds") => "{\"free\":true}",
                _ => "{\"booked\":4711}",
            };
            sim.receive(conn, result(body).as_bytes());
            sim.advance(25 * MS);
        }
    }
}

fn with_chain() -> Deployment {
    let row = WorkflowConfig {
        types: vec!["book".into()],
        function_attribute: "subject".into(),
        plan: Arc::new(booking()),
    };
    Deployment { workflows: vec![row], ..deployment(2) }
}

// Killed after so many steps were answered, with the next one out; the client asks again at the next
// instance.
#[test_case(0, 200, &[("7/price", 2), ("7/beds", 1), ("7/confirm", 1)]; "the price is out: asked again")]
#[test_case(1, 502, &[("7/price", 1), ("7/beds", 1), ("7/release", 1)]; "beds are out: they may be taken")]
#[test_case(2, 502, &[("7/price", 1), ("7/beds", 1), ("7/confirm", 1), ("7/release", 1)];
    "the confirmation is out")]
#[test_case(3, 200, &[("7/price", 1), ("7/beds", 1), ("7/confirm", 1)]; "the answer was lost")]
fn a_restart_after_any_step_repeats_no_effect(steps: usize, status: u16, sent: &[(&str, usize)]) {
    let mut restarts = Restarts::new(None);
    restarts.ask(steps);
    restarts.bench.worker_connections();
    restarts.kill();
    let told = restarts.ask(9);
    restarts.go_on(9);
    restarts.kill();
    assert_eq!(told, Some(status));
    let want: std::collections::BTreeMap<String, usize> =
        sent.iter().map(|(id, n)| ((*id).to_owned(), *n)).collect();
    assert_eq!(restarts.sent, want);
}

// Nobody asks again: once the chain's time is up, what was done is taken back.
#[test]
fn a_workflow_that_no_client_repeats_after_a_restart_is_undone() {
    let mut restarts = Restarts::new(None);
    restarts.ask(2);
    restarts.bench.worker_connections();
    restarts.kill();
    restarts.bench.advance(3 * S);
    assert_eq!(restarts.bench.requests(), 0, "its client may still come");
    restarts.bench.advance(S);
    restarts.go_on(1);
    restarts.kill();
    assert_eq!(restarts.sent.get("7/release"), Some(&1));
    restarts.bench.advance(9 * S);
    assert_eq!(restarts.bench.requests(), 0, "once is enough");
}

// Taken after a switch of the settings that moved the rows of its workloads; a restart has them in their
// file's order, and knows the chain on record all the same.
#[test]
fn a_workflow_survives_a_reload_and_a_restart() {
    let mut restarts = Restarts::new(None);
    let mut old = deployment(2);
    old.workloads.reverse();
    old.startup.workloads.reverse();
    restarts.bench = SimulatedGateway::with(old, 1_000 * S, Box::new(restarts.shared.clone()));
    restarts.bench.reload(with_chain());
    restarts.ask(2);
    restarts.bench.worker_connections();
    restarts.kill();
    restarts.bench.advance(4 * S);
    restarts.go_on(1);
    restarts.kill();
    assert_eq!((restarts.sent.get("7/confirm"), restarts.sent.get("7/release")), (Some(&1), Some(&1)));
}

// Told as finished, it is never taken back: that is on record before the answer goes out.
#[test]
fn a_workflow_answered_as_finished_is_never_undone() {
    let mut restarts = Restarts::new(None);
    let client = restarts.bench.send_event("book", "7");
    restarts.go_on(2);
    let (conn, _) = latest(&mut restarts.bench);
    restarts.bench.receive(conn, result("{\"booked\":4711}").as_bytes());
    assert_eq!(restarts.bench.statuses(client), [200], "in the same turn");
    restarts.kill();
    restarts.bench.advance(9 * S);
    assert_eq!(restarts.bench.requests(), 0, "nothing is taken back");
    restarts.kill();
    assert_eq!(restarts.sent.get("7/release"), None);
}

// One of two arms waits to be written down when the other fails at once: it is not sent.
#[test]
fn a_branch_cancelled_before_it_was_stored_is_not_sent() {
    let fork = Branch { test: None, go: Go::All(vec![StepId(1), StepId(2)], None) };
    let steps = vec![
        Step { next: vec![fork], ..step("price", 0) },
        step("beds", 1),
        Step { function: Function::From(StepId(0), "nowhere".into()), ..step("meals", 1) },
    ];
    let plan = Plan { name: "book".into(), limit: 4 * S, steps };
    assert_eq!(plan.check(), Vec::new());
    let row = WorkflowConfig {
        types: vec!["book".into()],
        function_attribute: "subject".into(),
        plan: Arc::new(plan),
    };
    let mut sim = SimulatedGateway::new(Deployment { workflows: vec![row], ..deployment(2) });
    let client = sim.send_event("book", "7");
    let (conn, _) = latest(&mut sim);
    sim.receive(conn, result("{}").as_bytes());
    sim.advance(S);
    assert_eq!((sim.requests(), sim.statuses(client)), (1, vec![502]));
}

// Whichever write fails, and wherever the instance is killed after that: no step with an effect is sent
// twice, and each exchange gets one answer.
#[test]
fn no_failed_write_and_no_restart_repeats_an_effect() {
    let mut outcomes = std::collections::BTreeSet::new();
    for fails in 1..=8 {
        for steps in 0..=4 {
            let mut restarts = Restarts::new(Some(fails));
            restarts.ask(steps);
            restarts.bench.worker_connections();
            restarts.kill();
            let mut told = restarts.ask(9);
            restarts.go_on(9);
            if told == Some(503) {
                restarts.bench.advance(2 * S);
                told = restarts.ask(9);
            }
            restarts.kill();
            outcomes.insert(told);
            assert!(matches!(told, Some(200 | 502)), "write {fails}, {steps} steps: {told:?}");
            for (id, n) in &restarts.sent {
                let once = ["7/beds", "7/confirm"].contains(&id.as_str());
                assert!(!once || *n == 1, "write {fails}, {steps} steps: {id} was sent {n} times");
            }
        }
    }
    assert_eq!(outcomes.len(), 2, "some went on, some could not");
}

// The disk is full: the step is not sent, and the client is told that another try does no harm.
#[test]
fn a_step_that_cannot_be_stored_is_not_sent() {
    let mut restarts = Restarts::new(Some(1));
    assert_eq!(restarts.ask(9), Some(503));
    restarts.kill();
    assert_eq!(restarts.sent.keys().collect::<Vec<_>>(), ["7/price"]);
}

// Chains count among what a router holds.
#[test]
fn workflows_and_requests_share_one_bound() {
    let row = WorkflowConfig {
        types: vec!["book".into()],
        function_attribute: "subject".into(),
        plan: Arc::new(booking()),
    };
    let mut sim =
        SimulatedGateway::new(Deployment { workflows: vec![row], max_clients: 100_000, ..deployment(0) });
    let told: Vec<Conn> = (0..20_001).map(|n| sim.send_event("book", &n.to_string())).collect();
    assert!(sim.told(told[20_000]).contains("too-many-jobs"), "{}", sim.told(told[20_000]));
}
