//! FactKind a gateway remembers over its end, on a simulated network: drains that are kept, doubt that is
//! taken up, and hearsay that is not passed on as its own sight.
mod common;
use applepond::interface::{FunctionId, Micros, WorkerHistory, WorkerId, WorkerStatus};
use applepond_fakes::simulated_transport::SimulatedTransport;
use applepond_gateway::{
    Gateway, HistoryStore, PromisedRetry, RestoredTraffic, RestoredWorker, TrafficBaseline,
};
use applepond_reactor::Machine;
use applepond_recovery::{Fact, FactKey, FactKind, ObservationStore};
use common::*;
use std::cell::RefCell;
use std::rc::Rc;

struct SharedHistory(Rc<RefCell<ObservationStore>>);

impl HistoryStore for SharedHistory {
    fn record_worker(&mut self, now: Micros, worker: WorkerId, up_since: Micros, history: &WorkerHistory) {
        self.0.borrow_mut().record_worker(now, worker, up_since, history);
    }
    fn record_load_time(&mut self, now: Micros, function: FunctionId, load_time: Micros) {
        self.0.borrow_mut().record_load_time(now, function, load_time);
    }
    fn record_baseline(&mut self, now: Micros, baseline: TrafficBaseline) {
        let TrafficBaseline { first_attempts_per_second, connections_per_second, pace } = baseline;
        self.0.borrow_mut().record_baseline(now, [first_attempts_per_second, connections_per_second, pace]);
    }
    fn record_promised_retry(&mut self, now: Micros, retry: PromisedRetry) {
        self.0.borrow_mut().record_scheduled_retry(now, retry.request, retry.wait);
    }
    fn take_restored_traffic(&mut self, now: Micros) -> Option<RestoredTraffic> {
        let (usual, promises) = self.0.borrow_mut().take_router_history(now)?;
        let baseline = usual.map(|[first_attempts_per_second, connections_per_second, pace]| {
            TrafficBaseline { first_attempts_per_second, connections_per_second, pace }
        });
        let promised = promises.into_iter().map(|(request, wait)| PromisedRetry { request, wait });
        Some(RestoredTraffic { baseline, promised_retries: promised.collect() })
    }
    fn pending_workers(&mut self, now: Micros) -> Vec<RestoredWorker> {
        let recalled = self.0.borrow_mut().pending_worker_history(now).into_iter();
        recalled.map(|(worker, up_since, history)| RestoredWorker { worker, up_since, history }).collect()
    }
    fn worker_restored(&mut self, worker: WorkerId, up_since: Micros) {
        self.0.borrow_mut().mark_restored(worker, up_since);
    }
    fn effective_status(
        &mut self,
        now: Micros,
        worker: WorkerId,
        up_since: Micros,
        listed: WorkerStatus,
    ) -> WorkerStatus {
        self.0.borrow_mut().apply_listed_status(now, worker, up_since, listed)
    }
    fn full_list_received(&mut self, named: &[(WorkerId, Micros)]) {
        self.0.borrow_mut().apply_complete_list(named);
    }
    fn load_time(&self, now: Micros, function: FunctionId) -> Option<Micros> {
        self.0.borrow().load_time(now, function)
    }
}

fn fact(what: FactKind, worker: &str, value: f32) -> Fact {
    Fact { key: FactKey { kind: what, subject: WorkerId::named(worker).0, incarnation: 0 }, value, age: 0 }
}

/// A gateway with two workers that has these facts from before.
fn told(facts: &[Fact]) -> (SimulatedGateway, Rc<RefCell<ObservationStore>>) {
    let now = 1_000 * S;
    let memory = Rc::new(RefCell::new(ObservationStore::default()));
    memory.borrow_mut().import(now, facts);
    let gateway = Gateway::new(now, deployment(2), Box::new(|_| ()));
    let new_config = Rc::new(RefCell::new(None));
    let found = new_config.clone();
    let gateway = gateway.with_history(Box::new(SharedHistory(memory.clone())));
    let gateway = gateway.with_config_source(Box::new(move || found.borrow_mut().take().map(Ok)));
    let mut bench = SimulatedGateway { gateway, transport: SimulatedTransport::default(), now, new_config };
    bench.gateway.start(now, &mut bench.transport);
    (bench, memory)
}

/// A request each for so many functions, so that each worker is the home of some.
fn many(sim: &mut SimulatedGateway, from: usize) {
    some(sim, from..from + 12);
}

fn some(sim: &mut SimulatedGateway, which: std::ops::Range<usize>) {
    for n in which {
        let client = sim.connect_client();
        let event = event("quote", &n.to_string()).replace("subject: hut", &format!("subject: hut-{n}"));
        sim.receive(client, event.as_bytes());
    }
}

/// Where the requests went, by the workers' ports.
fn ports(sim: &mut SimulatedGateway) -> Vec<u16> {
    sim.worker_connections();
    sim.transport.connections.iter().map(|(_, to)| to.port()).collect()
}

// The list says ready, and before the restart it had said that the worker drains: nothing goes there
// until that is over.
#[test]
fn a_drain_is_known_after_a_restart() {
    for (worker, other) in [("w1", 9002), ("w2", 9001)] {
        let (mut sim, _) = told(&[fact(FactKind::Draining, worker, 1.0)]);
        many(&mut sim, 0);
        assert!(ports(&mut sim).iter().all(|p| *p == other), "{worker}");
        sim.advance(61 * S);
        many(&mut sim, 12);
        assert!(ports(&mut sim).iter().any(|p| *p != other), "{worker}: it is over");
    }
}

#[test]
fn an_ejected_worker_is_probed_by_one_request_after_a_restart() {
    let send_event = |facts: &[Fact]| {
        let (mut sim, _) = told(facts);
        sim.advance(2 * S);
        many(&mut sim, 0);
        let all = ports(&mut sim);
        all.iter().filter(|p| **p == 9001).count()
    };
    assert_eq!(send_event(&[fact(FactKind::Ejected, "w1", 1.0)]), 1);
    assert!(send_event(&[]) > 1);
}

// FactKind it was told and has not seen itself does not become its own word.
#[test]
fn what_was_learned_elsewhere_is_not_stored_as_measured_here() {
    let (mut sim, memory) =
        told(&[fact(FactKind::ConcurrencyLimit, "w1", 3.0), fact(FactKind::ConcurrencyLimit, "w2", 3.0)]);
    sim.advance(10 * S);
    let ages = |sim: &SimulatedGateway| {
        let facts: Vec<_> = memory.borrow().facts().iter(sim.now).collect();
        facts.iter().filter(|f| f.key.kind == FactKind::ConcurrencyLimit).map(|f| f.age).collect::<Vec<_>>()
    };
    assert!(ages(&sim).iter().all(|age| *age >= 10 * S), "{:?}", ages(&sim));
    sim.send_event("quote", "1");
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    sim.advance(2 * S);
    assert_eq!(ages(&sim).iter().filter(|age| **age <= S).count(), 1, "the one that has answered");
}

// A request that was told to come back before the restart is known to have been, and the next promise is kept
// too.
#[test]
fn promised_retries_are_known_after_a_restart() {
    let (mut sim, memory) = told(&[]);
    sim.gateway = Gateway::new(sim.now, deployment(0), Box::new(|_| ()))
        .with_history(Box::new(SharedHistory(memory.clone())));
    sim.gateway.start(sim.now, &mut sim.transport);
    let client = sim.send_event("quote", "1");
    sim.advance(4 * S);
    assert_eq!(sim.statuses(client), [503], "nobody is there to serve it");
    let promised = |memory: &Rc<RefCell<ObservationStore>>, now| {
        memory.borrow().facts().iter(now).filter(|f| f.key.kind == FactKind::ScheduledRetry).count()
    };
    assert_eq!(promised(&memory, sim.now), 1);
    let facts: Vec<Fact> = memory.borrow().facts().iter(sim.now).collect();
    let (mut after, later) = told(&facts);
    after.advance(S);
    assert_eq!(later.borrow_mut().take_router_history(after.now), None, "taken up by the gateway");
}

// A worker that a whole list leaves out is gone, with requests still out there or not: what was said of it
// before does not bring it back.
#[test]
fn a_full_list_ends_what_is_known_of_a_gone_worker() {
    let (mut sim, _) = told(&[]);
    some(&mut sim, 0..3);
    assert!(ports(&mut sim).contains(&9002), "jobs are out there");
    sim.reload(deployment(1));
    let before = ports(&mut sim).len();
    sim.advance(S / 2);
    many(&mut sim, 12);
    assert!(ports(&mut sim)[before..].iter().all(|p| *p == 9001));
}
