//! Chains through the gateway on a paper wire: what workers are sent, what clients are told.
mod common;

use applepond_gateway::Deployment;
use applepond_gateway::deployment::WorkflowConfig;
use applepond_reactor::Conn;
use applepond_workflow::{Branch, Function, Go, Plan, Step, StepId, Test};
use common::{Bench, MS, S, Shared, deployment, event, result};
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

fn bench() -> Bench {
    let plan = booking();
    assert_eq!(plan.check(), Vec::new());
    let row = WorkflowConfig {
        types: vec!["book".into()],
        function_attribute: "subject".into(),
        plan: Arc::new(plan),
    };
    Bench::new(Deployment { workflows: vec![row], ..deployment(2) })
}

/// The latest request that a worker was sent, with its connection.
fn latest(b: &mut Bench) -> (Conn, String) {
    b.links();
    let sent = |c: &Conn| b.told(*c).split("POST /run").last().unwrap_or_default().to_owned();
    let open: Vec<Conn> =
        b.paper.connects.iter().map(|(c, _)| *c).filter(|c| !b.paper.cut.contains(c)).collect();
    let newest =
        open.into_iter().max_by_key(|c| (b.requests_at(*c).1, *c)).expect("a worker was sent something");
    (newest, sent(&newest))
}

/// A worker answers the latest request; what the next one is about.
fn answers(b: &mut Bench, body: &str) -> String {
    let (conn, _) = latest(b);
    b.pass(20 * MS);
    b.says(conn, result(body).as_bytes());
    latest(b).1
}

#[test]
fn a_booking_from_beginning_to_end() {
    let mut b = bench();
    let client = b.asks("book", "7");
    let (_, price) = latest(&mut b);
    assert!(price.contains("applepond-function: hut\r\n") && price.contains("ce-id: 7/price"), "{price}");
    assert!(price.contains("ce-type: quote\r\n") && !price.contains("ce-type: book"), "{price}");
    let beds = answers(&mut b, "{\"hut\":\"lucni\"}");
    assert!(beds.contains("applepond-function: lucni\r\n") && beds.contains("ce-id: 7/beds"), "{beds}");
    let confirm = answers(&mut b, "{\"free\":true}");
    assert!(confirm.contains("applepond-function: confirm-fn\r\n"), "{confirm}");
    assert_eq!(b.told(client), "", "one answer, at the end");
    answers(&mut b, "{\"booked\":4711}");
    let told = b.told(client);
    assert!(told.starts_with("HTTP/1.1 200") && told.contains("4711"), "{told}");
    assert!(told.contains("applepond-steps: 3"), "{told}");
    assert_eq!(b.requests(), 3);
}

// A retry joins the chain that runs, and is told its answer afterwards: one run, counted at the workers.
#[test]
fn a_retried_chain_is_one() {
    let mut b = bench();
    let client = b.asks("book", "7");
    answers(&mut b, "{\"hut\":\"lucni\"}");
    b.breaks(client, applepond_reactor::Closed::Reset);
    let again = b.asks("book", "7");
    answers(&mut b, "{\"free\":true}");
    answers(&mut b, "{\"booked\":4711}");
    let later = b.asks("book", "7");
    for client in [again, later] {
        assert!(b.told(client).contains("4711"), "{}", b.told(client));
    }
    assert_eq!(b.requests(), 3);
}

#[test_case("{\"free\":false}"; "no beds")]
#[test_case("no JSON at all"; "garbage")]
#[test_case("{\"free\":{}}"; "a field that is no word")]
fn the_second_hut(beds: &str) {
    let mut b = bench();
    b.asks("book", "7");
    answers(&mut b, "{\"hut\":\"lucni\"}");
    assert!(answers(&mut b, beds).contains("applepond-function: second-fn"));
}

// The confirmation may have run: the client is told so and no more, and the beds are released, until that has
// finished.
#[test]
fn a_failed_chain_is_taken_back() {
    let mut b = bench();
    let client = b.asks("book", "7");
    answers(&mut b, "{\"hut\":\"lucni\"}");
    answers(&mut b, "{\"free\":true}");
    let (conn, _) = latest(&mut b);
    b.breaks(conn, applepond_reactor::Closed::Reset);
    b.pass(MS);
    let told = b.told(client);
    assert!(told.starts_with("HTTP/1.1 502") && told.contains("step-failed"), "{told}");
    let (conn, release) = latest(&mut b);
    assert!(
        release.contains("ce-id: 7/release") && release.contains("applepond-function: lucni"),
        "{release}"
    );
    b.says(conn, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    b.pass(8 * S);
    let (conn, again) = latest(&mut b);
    assert!(again.contains("ce-id: 7/release"), "{again}");
    b.says(conn, result("{}").as_bytes());
    b.pass(20 * S);
    let page = b.caller();
    b.says(page, b"GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(b.told(page).contains("\"failed\":1") && b.told(page).contains("\"open\":0"), "{}", b.told(page));
    let again = b.asks("book", "7");
    assert!(b.told(again).starts_with("HTTP/1.1 502"), "it is told again, not run again");
}

// Nothing has had an effect: the client is told when to come back, and may.
#[test]
fn a_chain_without_room_is_pushed_back() {
    let mut b = Bench::new(Deployment {
        workflows: vec![WorkflowConfig {
            types: vec!["book".into()],
            function_attribute: "subject".into(),
            plan: Arc::new(booking()),
        }],
        ..deployment(0)
    });
    let client = b.asks("book", "7");
    b.pass(5 * S);
    let told = b.told(client);
    assert!(told.starts_with("HTTP/1.1 503") && told.contains("retry-after-ms"), "{told}");
    assert_eq!(b.statuses(client).len(), 1);
}

#[test]
fn a_chain_that_cannot_finish_is_refused_at_once() {
    let mut b = bench();
    let event = event("book", "7").replace("ce-id", "ce-timelimit: 60\r\nce-id");
    let client = b.caller();
    b.says(client, event.as_bytes());
    let told = b.told(client);
    assert!(told.starts_with("HTTP/1.1 503") && told.contains("no-time"), "{told}");
    assert_eq!(b.requests(), 0);
}

// ---- Over a kill ---------------------------------------------------------------------------------------

/// One instance after the other on the same record, and how often each step was sent by all of them.
struct Lives {
    shared: Shared,
    bench: Bench,
    sent: std::collections::BTreeMap<String, usize>,
}

impl Lives {
    fn new(fails: Option<usize>) -> Self {
        let shared = Shared { fails, ..Shared::default() };
        let bench = Bench::with(with_chain(), 1_000 * S, Box::new(shared.clone()));
        Lives { shared, bench, sent: Default::default() }
    }

    /// Counts what this instance sent, and starts another one.
    fn kill(&mut self) {
        let links: Vec<Conn> = self.bench.paper.connects.iter().map(|(c, _)| *c).collect();
        for told in links.iter().map(|c| self.bench.told(*c)) {
            for id in told.split("ce-id: ").skip(1) {
                *self.sent.entry(id.split("\r\n").next().unwrap_or_default().to_owned()).or_default() += 1;
            }
        }
        let now = self.bench.now + MS;
        self.bench = Bench::with(with_chain(), now, Box::new(self.shared.clone()));
    }

    /// Asks, and has workers answer what the steps want to hear, for so many steps; the status that was told.
    fn ask(&mut self, steps: usize) -> Option<u16> {
        let client = self.bench.asks("book", "7");
        self.go_on(steps);
        self.bench.statuses(client).first().copied()
    }

    fn go_on(&mut self, steps: usize) {
        let b = &mut self.bench;
        for _ in 0..steps {
            b.links();
            if b.requests() == 0 {
                return;
            }
            let (conn, sent) = latest(b);
            if b.paper.answered.contains(&b.requests_at(conn).1) {
                return;
            }
            b.paper.answered.insert(b.requests_at(conn).1);
            b.pass(25 * MS);
            let body = match sent {
                _ if sent.contains("/price") => "{\"hut\":\"lucni\"}",
                _ if sent.contains("/beds") => "{\"free\":true}",
                _ => "{\"booked\":4711}",
            };
            b.says(conn, result(body).as_bytes());
            b.pass(25 * MS);
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
fn killed_after(steps: usize, status: u16, sent: &[(&str, usize)]) {
    let mut lives = Lives::new(None);
    lives.ask(steps);
    lives.bench.links();
    lives.kill();
    let told = lives.ask(9);
    lives.go_on(9);
    lives.kill();
    assert_eq!(told, Some(status));
    let want: std::collections::BTreeMap<String, usize> =
        sent.iter().map(|(id, n)| ((*id).to_owned(), *n)).collect();
    assert_eq!(lives.sent, want);
}

// Nobody asks again: once the chain's time is up, what was done is taken back.
#[test]
fn a_chain_that_nobody_asks_for_again_is_taken_back() {
    let mut lives = Lives::new(None);
    lives.ask(2);
    lives.bench.links();
    lives.kill();
    lives.bench.pass(3 * S);
    assert_eq!(lives.bench.requests(), 0, "its client may still come");
    lives.bench.pass(S);
    lives.go_on(1);
    lives.kill();
    assert_eq!(lives.sent.get("7/release"), Some(&1));
    lives.bench.pass(9 * S);
    assert_eq!(lives.bench.requests(), 0, "once is enough");
}

// Taken after a switch of the settings that moved the rows of its workloads; a restart has them in their
// file's order, and knows the chain on record all the same.
#[test]
fn a_chain_over_a_switch_and_a_kill() {
    let mut lives = Lives::new(None);
    let mut old = deployment(2);
    old.workloads.reverse();
    old.startup.workloads.reverse();
    lives.bench = Bench::with(old, 1_000 * S, Box::new(lives.shared.clone()));
    lives.bench.switches(with_chain());
    lives.ask(2);
    lives.bench.links();
    lives.kill();
    lives.bench.pass(4 * S);
    lives.go_on(1);
    lives.kill();
    assert_eq!((lives.sent.get("7/confirm"), lives.sent.get("7/release")), (Some(&1), Some(&1)));
}

// Told as finished, it is never taken back: that is on record before the answer goes out.
#[test]
fn what_was_told_as_finished_stays() {
    let mut lives = Lives::new(None);
    let client = lives.bench.asks("book", "7");
    lives.go_on(2);
    let (conn, _) = latest(&mut lives.bench);
    lives.bench.says(conn, result("{\"booked\":4711}").as_bytes());
    assert_eq!(lives.bench.statuses(client), [200], "in the same turn");
    lives.kill();
    lives.bench.pass(9 * S);
    assert_eq!(lives.bench.requests(), 0, "nothing is taken back");
    lives.kill();
    assert_eq!(lives.sent.get("7/release"), None);
}

// One of two arms waits to be written down when the other fails at once: it is not sent.
#[test]
fn an_arm_cancelled_before_it_was_written_down_is_not_sent() {
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
    let mut b = Bench::new(Deployment { workflows: vec![row], ..deployment(2) });
    let client = b.asks("book", "7");
    let (conn, _) = latest(&mut b);
    b.says(conn, result("{}").as_bytes());
    b.pass(S);
    assert_eq!((b.requests(), b.statuses(client)), (1, vec![502]));
}

// Whichever write fails, and wherever the instance is killed after that: no step with an effect is sent
// twice, and each exchange gets one answer.
#[test]
fn whichever_write_fails_and_wherever_it_is_killed() {
    let mut outcomes = std::collections::BTreeSet::new();
    for fails in 1..=8 {
        for steps in 0..=4 {
            let mut lives = Lives::new(Some(fails));
            lives.ask(steps);
            lives.bench.links();
            lives.kill();
            let mut told = lives.ask(9);
            lives.go_on(9);
            if told == Some(503) {
                lives.bench.pass(2 * S);
                told = lives.ask(9);
            }
            lives.kill();
            outcomes.insert(told);
            assert!(matches!(told, Some(200 | 502)), "write {fails}, {steps} steps: {told:?}");
            for (id, n) in &lives.sent {
                let once = ["7/beds", "7/confirm"].contains(&id.as_str());
                assert!(!once || *n == 1, "write {fails}, {steps} steps: {id} was sent {n} times");
            }
        }
    }
    assert_eq!(outcomes.len(), 2, "some went on, some could not");
}

// The disk is full: the step is not sent, and the client is told that another try does no harm.
#[test]
fn what_cannot_be_written_down_is_not_sent() {
    let mut lives = Lives::new(Some(1));
    assert_eq!(lives.ask(9), Some(503));
    lives.kill();
    assert_eq!(lives.sent.keys().collect::<Vec<_>>(), ["7/price"]);
}

// Chains count among what a router holds.
#[test]
fn as_many_chains_as_jobs() {
    let row = WorkflowConfig {
        types: vec!["book".into()],
        function_attribute: "subject".into(),
        plan: Arc::new(booking()),
    };
    let mut b = Bench::new(Deployment { workflows: vec![row], max_clients: 100_000, ..deployment(0) });
    let told: Vec<Conn> = (0..20_001).map(|n| b.asks("book", &n.to_string())).collect();
    assert!(b.told(told[20_000]).contains("too-many-jobs"), "{}", b.told(told[20_000]));
}
