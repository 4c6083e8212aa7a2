//! State that a gateway restores after a restart, on a simulated network: drains and ejections of workers,
//! scheduled retries, and measurements of other routers, which it must not store as its own.
mod common;
use applepond::interface::{FunctionId, Micros, WorkerHistory, WorkerId, WorkerStatus};
use applepond_fakes::simulated_transport::SimulatedTransport;
use applepond_gateway::{
    Gateway, HistoryStore, RestoredTraffic, RestoredWorker, ScheduledRetry, TrafficBaseline,
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
        let TrafficBaseline { first_attempts_per_second, connections_per_second, best_completion_rate } =
            baseline;
        self.0
            .borrow_mut()
            .record_baseline(now, [first_attempts_per_second, connections_per_second, best_completion_rate]);
    }
    fn record_scheduled_retry(&mut self, now: Micros, retry: ScheduledRetry) {
        self.0.borrow_mut().record_scheduled_retry(now, retry.request, retry.wait);
    }
    fn take_restored_traffic(&mut self, now: Micros) -> Option<RestoredTraffic> {
        let (baseline, retries) = self.0.borrow_mut().take_router_history(now)?;
        let baseline =
            baseline.map(|[first_attempts_per_second, connections_per_second, best_completion_rate]| {
                TrafficBaseline { first_attempts_per_second, connections_per_second, best_completion_rate }
            });
        let retries = retries.into_iter().map(|(request, wait)| ScheduledRetry { request, wait });
        Some(RestoredTraffic { baseline, scheduled_retries: retries.collect() })
    }
    fn pending_workers(&mut self, now: Micros) -> Vec<RestoredWorker> {
        let pending = self.0.borrow_mut().pending_worker_history(now).into_iter();
        pending.map(|(worker, up_since, history)| RestoredWorker { worker, up_since, history }).collect()
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

fn fact(kind: FactKind, worker: &str, value: f32) -> Fact {
    Fact { key: FactKey { kind, subject: WorkerId::named(worker).0, incarnation: 0 }, value, age: 0 }
}

/// A gateway with two workers that restores these facts, and its history store.
fn gateway_with_facts(facts: &[Fact]) -> (SimulatedGateway, Rc<RefCell<ObservationStore>>) {
    let now = 1_000 * S;
    let store = Rc::new(RefCell::new(ObservationStore::default()));
    store.borrow_mut().import(now, facts);
    let gateway = Gateway::new(now, deployment(2), Box::new(|_| ()));
    let new_config = Rc::new(RefCell::new(None));
    let polled_config = new_config.clone();
    let gateway = gateway.with_history(Box::new(SharedHistory(store.clone())));
    let gateway = gateway.with_config_source(Box::new(move || polled_config.borrow_mut().take().map(Ok)));
    let mut sim = SimulatedGateway { gateway, transport: SimulatedTransport::default(), now, new_config };
    sim.gateway.start(now, &mut sim.transport);
    (sim, store)
}

/// Sends requests for twelve functions, enough for each worker to be the home worker of some.
fn request_twelve_functions(sim: &mut SimulatedGateway, first: usize) {
    request_functions(sim, first..first + 12);
}

fn request_functions(sim: &mut SimulatedGateway, numbers: std::ops::Range<usize>) {
    for n in numbers {
        let client = sim.connect_client();
        let event = event("quote", &n.to_string()).replace("subject: hut", &format!("subject: hut-{n}"));
        sim.receive(client, event.as_bytes());
    }
}

/// Ports of the workers to which connections were opened, in order.
fn worker_ports(sim: &mut SimulatedGateway) -> Vec<u16> {
    sim.worker_connections();
    sim.transport.connections.iter().map(|(_, to)| to.port()).collect()
}

// A worker that was draining before the restart gets no requests until the drain expires, although the list
// reports it as ready.
#[test]
fn a_drain_is_known_after_a_restart() {
    for (worker, other) in [("w1", 9002), ("w2", 9001)] {
        let (mut sim, _) = gateway_with_facts(&[fact(FactKind::Draining, worker, 1.0)]);
        request_twelve_functions(&mut sim, 0);
        assert!(worker_ports(&mut sim).iter().all(|p| *p == other), "{worker}");
        sim.advance(61 * S);
        request_twelve_functions(&mut sim, 12);
        assert!(worker_ports(&mut sim).iter().any(|p| *p != other), "{worker}: the drain has expired");
    }
}

#[test]
fn an_ejected_worker_is_probed_by_one_request_after_a_restart() {
    let requests_to_first_worker = |facts: &[Fact]| {
        let (mut sim, _) = gateway_with_facts(facts);
        sim.advance(2 * S);
        request_twelve_functions(&mut sim, 0);
        let ports = worker_ports(&mut sim);
        ports.iter().filter(|p| **p == 9001).count()
    };
    assert_eq!(requests_to_first_worker(&[fact(FactKind::Ejected, "w1", 1.0)]), 1);
    assert!(requests_to_first_worker(&[]) > 1);
}

// Restored facts must not be stored as new measurements, which would renew their age; only a worker that has
// responded is measured anew.
#[test]
fn restored_facts_are_not_stored_as_new_measurements() {
    let (mut sim, store) = gateway_with_facts(&[
        fact(FactKind::ConcurrencyLimit, "w1", 3.0),
        fact(FactKind::ConcurrencyLimit, "w2", 3.0),
    ]);
    sim.advance(10 * S);
    let ages = |sim: &SimulatedGateway| {
        let facts: Vec<_> = store.borrow().facts().iter(sim.now).collect();
        facts.iter().filter(|f| f.key.kind == FactKind::ConcurrencyLimit).map(|f| f.age).collect::<Vec<_>>()
    };
    assert!(ages(&sim).iter().all(|age| *age >= 10 * S), "{:?}", ages(&sim));
    sim.send_event("quote", "1");
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    sim.advance(2 * S);
    assert_eq!(ages(&sim).iter().filter(|age| **age <= S).count(), 1, "only the worker that has responded");
}

// Retries scheduled before a restart are stored, and restored by the next instance.
#[test]
fn scheduled_retries_are_known_after_a_restart() {
    let (mut sim, store) = gateway_with_facts(&[]);
    sim.gateway = Gateway::new(sim.now, deployment(0), Box::new(|_| ()))
        .with_history(Box::new(SharedHistory(store.clone())));
    sim.gateway.start(sim.now, &mut sim.transport);
    let client = sim.send_event("quote", "1");
    sim.advance(4 * S);
    assert_eq!(sim.statuses(client), [503], "there is no worker");
    let scheduled = |store: &Rc<RefCell<ObservationStore>>, now| {
        store.borrow().facts().iter(now).filter(|f| f.key.kind == FactKind::ScheduledRetry).count()
    };
    assert_eq!(scheduled(&store, sim.now), 1);
    let facts: Vec<Fact> = store.borrow().facts().iter(sim.now).collect();
    let (mut restarted, restored_store) = gateway_with_facts(&facts);
    restarted.advance(S);
    assert_eq!(
        restored_store.borrow_mut().take_router_history(restarted.now),
        None,
        "restored by the gateway"
    );
}

// A worker missing from a full list is gone, even with requests in flight; its earlier status in the history
// must not bring it back.
#[test]
fn a_full_list_ends_what_is_known_of_a_gone_worker() {
    let (mut sim, _) = gateway_with_facts(&[]);
    request_functions(&mut sim, 0..3);
    assert!(worker_ports(&mut sim).contains(&9002), "requests are in flight");
    sim.reload(deployment(1));
    let before = worker_ports(&mut sim).len();
    sim.advance(S / 2);
    request_twelve_functions(&mut sim, 12);
    assert!(worker_ports(&mut sim)[before..].iter().all(|p| *p == 9001));
}
