//! Undos of steps: repeated until they finish where a repeat does no harm, and otherwise given up.
mod common;
use applepond::interface::{IdempotencyScope, Micros, RetrySafety};
use applepond_gateway::Deployment;
use applepond_reactor::{Closed, ConnectionId};
use applepond_storage::WorkflowStore;
use applepond_workflow::{Branch, Function, Step, StepId, Target};
use common::*;
use test_case::test_case;

/// Index of the undo in the plan.
const RELEASE: u32 = 2;
/// How long an undo is tried.
const UNDO_PERIOD: Micros = 300 * S;

const RACK: RetrySafety = RetrySafety::Keyed { scope: IdempotencyScope::Rack, window: 3 * S };
const EVERYWHERE: RetrySafety = RetrySafety::Keyed { scope: IdempotencyScope::Everywhere, window: 20 * S };

/// A deployment in which `book` holds beds, which a step of this retry safety releases, and confirms.
fn deployment_with_release(workers: u16, release: RetrySafety) -> Deployment {
    let mut deployment = deployment(workers);
    let next = Branch { test: None, target: Target::One(StepId(1)) };
    let beds = Step { next: vec![next], undo: Some(StepId(RELEASE as usize)), ..step("beds", 1) };
    let workload = if release == RetrySafety::Idempotent { 0 } else { 1 };
    let release_step = Step { effect: release, function: Function::OfEvent, ..step("release", workload) };
    deployment.startup.workloads[workload].retry_safety = release;
    let beds = Step { effect: deployment.startup.workloads[1].retry_safety, ..beds };
    let steps = vec![beds, step("confirm", 2), release_step];
    deployment.workflows = vec![booking_workflow(&["book"], steps)];
    deployment
}

/// A router whose workflow has failed, so that its beds are to be released.
struct FailedBooking {
    sim: SimulatedGateway,
    store: SharedStore,
    deployment: Deployment,
}

impl FailedBooking {
    fn new(release: RetrySafety) -> Self {
        Self::with_store(release, SharedStore::default())
    }

    fn with_store(release: RetrySafety, store: SharedStore) -> Self {
        let deployment = deployment_with_release(1, release);
        let mut sim = SimulatedGateway::with_store(deployment.clone(), 1_000 * S, Box::new(store.clone()));
        let client = sim.send_event("book", "1");
        let conn = sim.newest_connection();
        sim.receive(conn, result("{}").as_bytes());
        sim.advance(30 * MS);
        let conn = sim.newest_connection();
        sim.disconnect(conn, Closed::Reset);
        assert_eq!(sim.statuses(client), [502], "the confirmation may have run");
        FailedBooking { sim, store, deployment }
    }

    /// The connections on which the undo was sent, in their order.
    fn undo_connections(&self) -> Vec<ConnectionId> {
        let all = self.sim.transport.connections.iter().map(|(conn, _)| *conn);
        all.filter(|conn| self.sim.output(*conn).contains("ce-id: 1/release")).collect()
    }

    /// Lets the router connect for as long as `time`, and returns the times at which it sent the undo.
    fn undo_times(&mut self, time: Micros) -> Vec<Micros> {
        let end = self.sim.now + time;
        let mut times = Vec::new();
        while self.sim.now < end {
            let before = self.undo_connections().len();
            self.sim.worker_connections();
            times.extend((before..self.undo_connections().len()).map(|_| self.sim.now));
            self.sim.advance(50 * MS);
        }
        times
    }

    /// Has the worker answer the undo that is in flight, or the next one that is sent.
    fn answer_undo(&mut self) {
        for _ in 0..400 {
            self.sim.worker_connections();
            let sent = self.undo_connections();
            let open = sent.iter().rev().find(|conn| !self.sim.transport.cut.contains(conn));
            if let Some(conn) = open {
                self.sim.receive(*conn, result("{}").as_bytes());
                self.sim.advance(S);
                return;
            }
            self.sim.advance(50 * MS);
        }
        panic!("no undo is sent");
    }

    /// Kills the router, and starts another on its record.
    fn kill(&mut self) {
        let now = self.sim.now + MS;
        let store = Box::new(self.store.clone());
        self.sim = SimulatedGateway::with_store(self.deployment.clone(), now, store);
    }

    /// A number of the section on workflows of the state page.
    fn state(&mut self, name: &str) -> u64 {
        let page = self.sim.connect_client();
        self.sim.receive(page, b"GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
        let page = self.sim.output(page);
        let body = page.split("\r\n\r\n").nth(1).expect("a body");
        let page: serde_json::Value = serde_json::from_str(body).expect("JSON");
        page["chains"][name].as_u64().expect("a number")
    }
}

// Regression: an undo whose answer never came was sent again for five minutes, and executed again by workers
// that had forgotten its key, or never knew it.
#[test_case(RACK, 3 * S; "recognised in one rack, for 3 s")]
#[test_case(EVERYWHERE, 20 * S; "recognised everywhere, for 20 s")]
fn an_undo_that_may_have_run_is_not_sent_after_its_window(release: RetrySafety, window: Micros) {
    let mut booking = FailedBooking::new(release);
    let times = booking.undo_times(UNDO_PERIOD + 10 * S);
    let late = times.iter().filter(|time| **time >= times[0] + window);
    assert_eq!(late.count(), 0, "{times:?}");
    assert_eq!((booking.state("undos-given-up"), booking.state("open")), (1, 0));
}

// Inside its window an undo that all workers recognise is sent again, as a new request.
#[test]
fn an_undo_is_repeated_inside_its_window() {
    let mut booking = FailedBooking::new(EVERYWHERE);
    let times = booking.undo_times(15 * S);
    assert!(times.last() > Some(&(times[0] + 5 * S)), "{times:?}");
    booking.answer_undo();
    assert_eq!((booking.state("undos-given-up"), booking.state("open")), (0, 0));
}

// An idempotent undo is repeated until it finishes, or its period is over.
#[test_case(100 * S, true, 0; "it finishes")]
#[test_case(UNDO_PERIOD + 10 * S, false, 1; "its period is over")]
fn an_idempotent_undo_is_repeated(time: Micros, finishes: bool, given_up: u64) {
    let mut booking = FailedBooking::new(RetrySafety::Idempotent);
    let times = booking.undo_times(time);
    assert!(times.len() > 10, "{times:?}");
    if finishes {
        booking.answer_undo();
    }
    assert_eq!((booking.state("undos-given-up"), booking.state("open")), (given_up, 0));
}

// An undo that has not run is sent whenever that is possible.
#[test]
fn an_undo_that_never_ran_is_sent_later() {
    let mut booking = FailedBooking::new(RACK);
    for _ in 0..400 {
        booking.sim.advance(50 * MS);
        for (conn, _) in booking.sim.transport.connections.clone() {
            let is_open = !booking.sim.transport.written.contains_key(&conn);
            if is_open && !booking.sim.transport.cut.contains(&conn) {
                booking.sim.disconnect(conn, Closed::NotEstablished);
            }
        }
    }
    assert_eq!(booking.undo_connections().len(), 0);
    booking.answer_undo();
    assert_eq!(booking.undo_connections().len(), 1);
    assert_eq!((booking.state("undos-given-up"), booking.state("open")), (0, 0));
}

// Regression: an undo that was in flight when its router was killed was sent again by the next router.
#[test_case(RACK, 0, 1; "recognised in one rack: which one is not known any more")]
#[test_case(EVERYWHERE, 1, 0; "recognised everywhere: inside its window")]
#[test_case(RetrySafety::Idempotent, 1, 0; "idempotent")]
fn an_undo_in_flight_at_a_kill(release: RetrySafety, sent_again: usize, given_up: u64) {
    let mut booking = FailedBooking::new(release);
    assert_eq!(booking.undo_times(100 * MS).len(), 1);
    booking.kill();
    // The workflow is resumed at its deadline.
    let mut sent = 0;
    for _ in 0..80 {
        sent += booking.undo_times(100 * MS).len();
        if let Some(conn) = booking.undo_connections().last().filter(|_| sent == 1) {
            booking.sim.receive(*conn, result("{}").as_bytes());
        }
    }
    assert_eq!((sent, booking.state("undos-given-up"), booking.state("open")), (sent_again, given_up, 0));
    booking.kill();
    assert_eq!(booking.undo_times(10 * S).len(), 0, "it has ended, and is on record");
}

/// A deployment in which `book` holds beds at two huts, keeps those that are held first, and confirms.
fn deployment_with_two_huts() -> Deployment {
    let mut deployment = deployment(2);
    let fork = Branch { test: None, target: Target::First(vec![StepId(1), StepId(2)], Some(StepId(3))) };
    let steps = vec![
        Step { next: vec![fork], ..step("price", 0) },
        Step { undo: Some(StepId(4)), ..step("beds", 1) },
        Step { undo: Some(StepId(5)), ..step("second", 1) },
        step("confirm", 2),
        step("release", 1),
        step("release-second", 1),
    ];
    deployment.workflows = vec![booking_workflow(&["book"], steps)];
    deployment
}

/// Answers the request of this step, and lets the router connect for its next ones.
fn answer_step(sim: &mut SimulatedGateway, step: &str) {
    let all = sim.worker_connections();
    let field = format!("ce-id: 1/{step}\r\n");
    let conn = all.into_iter().find(|conn| sim.output(*conn).contains(&field)).expect("it was sent");
    sim.receive(conn, result(&format!("{{\"for\":\"{step}\"}}")).as_bytes());
    for _ in 0..4 {
        sim.worker_connections();
        sim.advance(20 * MS);
    }
}

/// The number of requests of this step that were sent.
fn sends(sim: &SimulatedGateway, step: &str) -> usize {
    let field = format!("ce-id: 1/{step}\r\n");
    sim.transport.connections.iter().map(|(conn, _)| sim.output(*conn).matches(&field).count()).sum()
}

// Regression: two arms of a fork were executed, of which the first one was enough; the beds of the second one
// were never released when the workflow finished. A kill after the answer changes nothing of it.
#[test_case(false; "no kill")]
#[test_case(true; "a kill after the answer")]
fn the_arm_that_was_not_needed_is_undone_when_its_workflow_finishes(kill: bool) {
    let store = SharedStore::default();
    let start = |now| SimulatedGateway::with_store(deployment_with_two_huts(), now, Box::new(store.clone()));
    let mut sim = start(1_000 * S);
    let client = sim.send_event("book", "1");
    answer_step(&mut sim, "price");
    assert_eq!((sends(&sim, "beds"), sends(&sim, "second")), (1, 1));
    answer_step(&mut sim, "beds");
    answer_step(&mut sim, "confirm");
    assert!(sim.output(client).ends_with("{\"for\":\"confirm\"}"), "{}", sim.output(client));
    assert_eq!((sends(&sim, "release"), sends(&sim, "release-second")), (0, 1));
    if !kill {
        answer_step(&mut sim, "release-second");
    }
    sim = start(sim.now + S);
    let retry = sim.send_event("book", "1");
    sim.advance(10 * S);
    assert!(sim.output(retry).ends_with("{\"for\":\"confirm\"}"), "{}", sim.output(retry));
    assert_eq!(sim.requests(), 0, "it has finished, and its undo may have run");
}

// What may have run is on record before it is sent.
#[test]
fn a_keyed_undo_is_stored_before_it_is_sent() {
    let mut booking = FailedBooking::new(RACK);
    booking.sim.worker_connections();
    assert_eq!(booking.undo_connections().len(), 1);
    let record = booking.store.load(("/desk", "1")).expect("readable").expect("on record");
    let undo = &record.steps[&RELEASE];
    assert!(undo.outcome.is_none() && undo.sent_at > 0, "{undo:?}");
}

// An undo that cannot be stored is not sent, and is tried again.
#[test]
fn an_undo_that_cannot_be_stored_waits() {
    let mut booking = FailedBooking::new(RACK);
    let writes = *booking.store.writes.borrow();
    let store = SharedStore { fails: Some(writes), ..SharedStore::default() };
    let mut failing = FailedBooking::with_store(RACK, store);
    assert_eq!(failing.undo_times(900 * MS).len(), 0, "write {writes} is that of the undo");
    assert_eq!(failing.undo_times(2 * S).len(), 1);
    assert_eq!(booking.undo_times(100 * MS).len(), 1);
}
