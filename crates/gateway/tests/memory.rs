//! What a gateway remembers over its end, on a paper wire: drains that are kept, doubt that is taken up, and
//! hearsay that is not passed on as its own sight.
mod common;
use applepond::interface::*;
use applepond_fakes::simulated_transport::SimulatedTransport;
use applepond_gateway::{
    Gateway, HistoryStore, PromisedRetry, RestoredTraffic, RestoredWorker, TrafficBaseline,
};
use applepond_reactor::Machine;
use applepond_recovery::{Fact, FactKey, FactKind, ObservationStore};
use common::*;
use std::cell::RefCell;
use std::rc::Rc;

struct Shelf(Rc<RefCell<ObservationStore>>);

impl HistoryStore for Shelf {
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
fn told(facts: &[Fact]) -> (Bench, Rc<RefCell<ObservationStore>>) {
    let now = 1_000 * S;
    let memory = Rc::new(RefCell::new(ObservationStore::default()));
    memory.borrow_mut().import(now, facts);
    let gateway = Gateway::new(now, deployment(2), Box::new(|_| ()));
    let news = Rc::new(RefCell::new(None));
    let found = news.clone();
    let gateway = gateway.with_history(Box::new(Shelf(memory.clone())));
    let gateway = gateway.with_config_source(Box::new(move || found.borrow_mut().take().map(Ok)));
    let mut bench = Bench { gateway, paper: SimulatedTransport::default(), now, news };
    bench.gateway.start(now, &mut bench.paper);
    (bench, memory)
}

/// A request each for so many functions, so that each worker is the home of some.
fn many(b: &mut Bench, from: usize) {
    some(b, from..from + 12);
}

fn some(b: &mut Bench, which: std::ops::Range<usize>) {
    for n in which {
        let client = b.caller();
        let event = event("quote", &n.to_string()).replace("subject: hut", &format!("subject: hut-{n}"));
        b.says(client, event.as_bytes());
    }
}

/// Where the requests went, by the workers' ports.
fn ports(b: &mut Bench) -> Vec<u16> {
    b.links();
    b.paper.connects.iter().map(|(_, to)| to.port()).collect()
}

// The list says ready, and before the restart it had said that the worker drains: nothing goes there
// until that is over.
#[test]
fn a_drain_is_kept_over_a_restart() {
    for (worker, other) in [("w1", 9002), ("w2", 9001)] {
        let (mut b, _) = told(&[fact(FactKind::Draining, worker, 1.0)]);
        many(&mut b, 0);
        assert!(ports(&mut b).iter().all(|p| *p == other), "{worker}");
        b.pass(61 * S);
        many(&mut b, 12);
        assert!(ports(&mut b).iter().any(|p| *p != other), "{worker}: it is over");
    }
}

#[test]
fn a_worker_in_doubt_is_tried_by_one_job() {
    let asks = |facts: &[Fact]| {
        let (mut b, _) = told(facts);
        b.pass(2 * S);
        many(&mut b, 0);
        let all = ports(&mut b);
        all.iter().filter(|p| **p == 9001).count()
    };
    assert_eq!(asks(&[fact(FactKind::Ejected, "w1", 1.0)]), 1);
    assert!(asks(&[]) > 1);
}

// What it was told and has not seen itself does not become its own word.
#[test]
fn hearsay_does_not_stay_young() {
    let (mut b, memory) =
        told(&[fact(FactKind::ConcurrencyLimit, "w1", 3.0), fact(FactKind::ConcurrencyLimit, "w2", 3.0)]);
    b.pass(10 * S);
    let ages = |b: &Bench| {
        let facts: Vec<_> = memory.borrow().facts().iter(b.now).collect();
        facts.iter().filter(|f| f.key.kind == FactKind::ConcurrencyLimit).map(|f| f.age).collect::<Vec<_>>()
    };
    assert!(ages(&b).iter().all(|age| *age >= 10 * S), "{:?}", ages(&b));
    b.asks("quote", "1");
    let link = b.links()[0];
    b.says(link, DONE.as_bytes());
    b.pass(2 * S);
    assert_eq!(ages(&b).iter().filter(|age| **age <= S).count(), 1, "the one that has answered");
}

// A request that was told to come back before the restart is known to have been, and the next promise is kept
// too.
#[test]
fn promises_outlast_the_process() {
    let (mut b, memory) = told(&[]);
    b.gateway =
        Gateway::new(b.now, deployment(0), Box::new(|_| ())).with_history(Box::new(Shelf(memory.clone())));
    b.gateway.start(b.now, &mut b.paper);
    let client = b.asks("quote", "1");
    b.pass(4 * S);
    assert_eq!(b.statuses(client), [503], "nobody is there to serve it");
    let promised = |memory: &Rc<RefCell<ObservationStore>>, now| {
        memory.borrow().facts().iter(now).filter(|f| f.key.kind == FactKind::ScheduledRetry).count()
    };
    assert_eq!(promised(&memory, b.now), 1);
    let facts: Vec<Fact> = memory.borrow().facts().iter(b.now).collect();
    let (mut after, later) = told(&facts);
    after.pass(S);
    assert_eq!(later.borrow_mut().take_router_history(after.now), None, "taken up by the gateway");
}

// A worker that a whole list leaves out is gone, with requests still out there or not: what was said of it
// before does not bring it back.
#[test]
fn who_is_gone_stays_so() {
    let (mut b, _) = told(&[]);
    some(&mut b, 0..3);
    assert!(ports(&mut b).contains(&9002), "jobs are out there");
    b.switches(deployment(1));
    let before = ports(&mut b).len();
    b.pass(S / 2);
    many(&mut b, 12);
    assert!(ports(&mut b)[before..].iter().all(|p| *p == 9001));
}
