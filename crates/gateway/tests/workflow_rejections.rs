//! Rejections of workflows whose record has a step that may have run. A rejection promises that a retry is
//! harmless at any gateway, so none may be given for them, whatever the reason.
mod common;
use applepond_gateway::Deployment;
use applepond_gateway::deployment::WorkflowConfig;
use applepond_reactor::ConnectionId;
use applepond_workflow::{Branch, Plan, Step, StepId, Target};
use common::{MS, S, SharedStore, SimulatedGateway, deployment, event, result, step};
use std::sync::Arc;

/// Gets a price and then confirms, at most once.
fn price_then_confirm() -> Plan {
    let next = Branch { test: None, target: Target::One(StepId(1)) };
    let steps = vec![Step { next: vec![next], ..step("price", 0) }, step("confirm", 2)];
    Plan { name: "book".into(), limit: 4 * S, steps }
}

/// Gets a price, and then a view, which takes long and is looked at first, beside a confirmation.
fn view_beside_confirm() -> Plan {
    let fork = Branch { test: None, target: Target::All(vec![StepId(1), StepId(2)], None) };
    let steps = vec![
        Step { next: vec![fork], ..step("price", 0) },
        Step { at_least: 2 * S, ..step("view", 0) },
        Step { undo: Some(StepId(3)), ..step("confirm", 2) },
        step("release", 1),
    ];
    Plan { name: "book".into(), limit: 8 * S, steps }
}

/// Successive instances of a gateway with one store.
struct Restarts {
    store: SharedStore,
    plan: Arc<Plan>,
    sim: SimulatedGateway,
}

impl Restarts {
    fn new(plan: Plan) -> Self {
        assert_eq!(plan.check(), Vec::new());
        let (store, plan) = (SharedStore::default(), Arc::new(plan));
        let sim = Self::start(&plan, &store, 1_000 * S);
        Restarts { store, plan, sim }
    }

    fn start(plan: &Arc<Plan>, store: &SharedStore, now: u64) -> SimulatedGateway {
        let workflow = WorkflowConfig {
            types: vec!["book".into()],
            function_attribute: "subject".into(),
            plan: plan.clone(),
        };
        let deployment = Deployment { workflows: vec![workflow], max_clients: 100_000, ..deployment(4) };
        SimulatedGateway::with_store(deployment, now, Box::new(store.clone()))
    }

    fn restart(&mut self) {
        self.sim = Self::start(&self.plan, &self.store, self.sim.now + MS);
    }

    /// Sends a retry of an event, with this many milliseconds left.
    fn retry(&mut self, id: &str, time_left_ms: u64) -> ConnectionId {
        let client = self.sim.connect_client();
        let attributes = format!("ce-retry: true\r\nce-timelimit: {time_left_ms}\r\nce-id");
        self.sim.receive(client, event("book", id).replacen("ce-id", &attributes, 1).as_bytes());
        client
    }

    /// Connections with a request of this step that has not been answered.
    fn connections_with(&mut self, step: &str) -> Vec<ConnectionId> {
        let mut connections = self.sim.worker_connections();
        connections.retain(|conn| {
            let output = self.sim.output(*conn);
            let last = output.split("POST /run").last().unwrap_or_default().to_owned();
            let write = self.sim.requests_at(*conn).1;
            last.contains(step)
                && !self.sim.transport.cut.contains(conn)
                && !self.sim.transport.answered_writes.contains(&write)
        });
        connections
    }

    /// Answers all open requests of a step. Returns their number.
    fn answer(&mut self, step: &str) -> usize {
        let connections = self.connections_with(step);
        for conn in &connections {
            let write = self.sim.requests_at(*conn).1;
            self.sim.transport.answered_writes.insert(write);
            self.sim.receive(*conn, result("{}").as_bytes());
        }
        self.sim.advance(20 * MS);
        connections.len()
    }
}

// Regression: after a kill, a storm of retries was answered 503, "a retry does no harm", although the
// confirmation of the very event had been sent.
#[test]
fn a_storm_rejects_no_workflow_whose_step_may_have_run() {
    let mut restarts = Restarts::new(price_then_confirm());
    for n in 0..12 {
        restarts.sim.send_event("book", &n.to_string());
        while restarts.answer("/price") == 0 {
            restarts.sim.advance(10 * MS);
        }
    }
    let mut confirming: Vec<usize> = (0..12).collect();
    confirming.retain(|n| !restarts.connections_with(&format!("ce-id: {n}/confirm")).is_empty());
    assert!(confirming.len() >= 2, "{confirming:?} are being confirmed");
    restarts.restart();
    let strangers: Vec<_> = (100..160).map(|n| restarts.retry(&n.to_string(), 3_000)).collect();
    let clients: Vec<_> = confirming.iter().map(|n| restarts.retry(&n.to_string(), 3_000)).collect();
    restarts.sim.advance(4 * S);
    let is_storm = |client: &ConnectionId| restarts.sim.output(*client).contains("many ask again at once");
    assert!(strangers.iter().any(is_storm), "the others are rejected");
    assert!(clients.iter().all(|client| restarts.sim.statuses(*client) == [502]));
}

// The gateway has as many open requests as it may.
#[test]
fn the_limit_of_open_requests_rejects_no_workflow_whose_step_may_have_run() {
    let mut restarts = Restarts::new(price_then_confirm());
    restarts.sim.send_event("book", "7");
    restarts.answer("/price");
    assert_eq!(restarts.connections_with("/confirm").len(), 1);
    restarts.restart();
    for n in 0..20_000 {
        restarts.sim.send_event("quote", &format!("other-{n}"));
    }
    let stranger = restarts.retry("8", 3_000);
    assert_eq!(restarts.sim.statuses(stranger), [503], "the limit is reached");
    let client = restarts.retry("7", 3_000);
    restarts.sim.advance(MS);
    assert_eq!(restarts.sim.statuses(client), [502]);
}

// Regression: a confirmation on record that was not reached again was forgotten when the run failed for lack
// of time, and ran twice at the third try.
#[test]
fn a_step_on_record_that_is_not_reached_again_is_not_forgotten() {
    let mut restarts = Restarts::new(view_beside_confirm());
    restarts.sim.send_event("book", "7");
    restarts.answer("/price");
    assert_eq!(restarts.answer("/confirm"), 1);
    restarts.sim.advance(S);
    restarts.restart();
    let client = restarts.retry("7", 500);
    restarts.sim.advance(MS);
    assert_eq!(restarts.sim.statuses(client), [504], "{}", restarts.sim.output(client));
    assert_eq!(restarts.answer("/release"), 1, "the confirmation is undone");
    let third = restarts.retry("7", 8_000);
    restarts.sim.advance(MS);
    assert!(matches!(restarts.sim.statuses(third)[..], [502 | 504]), "{}", restarts.sim.output(third));
    assert_eq!(restarts.connections_with("/confirm").len(), 0, "it is not confirmed again");
}

// The store cannot be read, so a step may have run.
#[test]
fn an_unreadable_record_is_no_rejection() {
    let mut restarts = Restarts::new(price_then_confirm());
    restarts.sim.send_event("book", "7");
    restarts.answer("/price");
    restarts.restart();
    restarts.store.unreadable.set(true);
    let client = restarts.retry("7", 3_000);
    restarts.sim.advance(MS);
    assert_eq!(restarts.sim.statuses(client), [502]);
}
