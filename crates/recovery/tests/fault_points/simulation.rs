//! A deterministic simulation of recovering routers with faulty disks. A run is determined by its seed.
#![allow(dead_code)] // each table of cases uses its own part
use applepond_membership::RouterId;
use applepond_recovery::message::MessageVisitor;
use applepond_recovery::{
    Actions, BootId, Fact, FactKey, FactKind, Facts, Guards, MAX_SNAPSHOT_BYTES, PeerRecovery,
    SNAPSHOT_INTERVAL, SnapshotError, decode_snapshot, encode_snapshot, message,
};
use oorandom::Rand64;
use std::collections::BTreeMap;

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
/// The number of workers. The first is draining, the second is ejected.
pub const WORKERS: u64 = 60;

/// The latency of a message in µs, or `None` if it is lost.
pub type Link = Box<dyn FnMut(u64, usize, usize, &mut Rand64) -> Option<u64>>;

/// A network that loses this fraction of the messages and has a latency of 0.2 to 1 ms.
pub fn lossy(part: f64) -> Link {
    Box::new(move |_, _, _, rng| (rng.rand_float() >= part).then(|| 200 + rng.rand_range(0..800)))
}

pub fn key_of(kind: FactKind, key: u64) -> FactKey {
    FactKey { kind, subject: key, incarnation: 1 }
}

/// The actual facts about a worker, as every running router observes them.
pub fn expected_facts(key: u64) -> Vec<Fact> {
    let mut facts = vec![
        Fact { key: key_of(FactKind::ConcurrencyLimit, key), value: 4.0 + key as f32, age: 0 },
        Fact { key: key_of(FactKind::QueueingDelay, key), value: 0.1, age: 0 },
    ];
    match key {
        0 => facts.push(Fact { key: key_of(FactKind::Draining, 0), value: 1.0, age: 0 }),
        1 => facts.push(Fact { key: key_of(FactKind::Ejected, 1), value: 1.0, age: 0 }),
        _ => {}
    }
    facts
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    KilledBefore,
    KilledAfter,
    Error,
    Half,
    SaidDone,
    Late,
    Twice,
}

pub const FAULTS: [Fault; 7] = [
    Fault::KilledBefore,
    Fault::KilledAfter,
    Fault::Error,
    Fault::Half,
    Fault::SaidDone,
    Fault::Late,
    Fault::Twice,
];

/// Counts the I/O operations of a run and injects a fault at one of them.
#[derive(Default)]
pub struct FaultPoints {
    pub count: u64,
    pub at: Option<(u64, Fault)>,
    pub hit: Option<String>,
}

impl FaultPoints {
    fn next_fault(&mut self, kind: impl FnOnce() -> String) -> Option<Fault> {
        self.count += 1;
        let (at, fault) = self.at?;
        if at != self.count {
            return None;
        }
        self.hit = Some(kind());
        Some(fault)
    }
}

pub struct Process {
    pub peers: PeerRecovery,
    pub facts: Facts,
    /// Why its snapshot was rejected.
    pub unusable: Option<SnapshotError>,
    pub merged: Vec<Fact>,
    instance: u64,
    started_at: u64,
    /// Whether it has observed the workers itself.
    pub has_observed: bool,
}

enum Event {
    Wake(usize, u64),
    Snap(usize, u64),
    See(usize, u64),
    Message(usize, usize, Vec<u8>),
    Start(usize),
}

pub struct SimulatedNetwork {
    pub now: u64,
    pub all: Vec<Option<Process>>,
    pub disks: Vec<Option<Vec<u8>>>,
    pub boots: Vec<Option<BootId>>,
    pub link: Link,
    pub rng: Rand64,
    pub points: FaultPoints,
    pub guards: Guards,
    /// A router that reports wrong concurrency limits.
    pub faulty_peer: Option<usize>,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    instances_started: u64,
    /// The requests that each router received and the bytes of facts that it sent, per tenth of a second.
    pub requests_received: BTreeMap<(usize, u64), u64>,
    pub bytes_sent: BTreeMap<(usize, u64), u64>,
}

pub fn router(n: usize) -> RouterId {
    RouterId(1_000 + n as u64)
}

struct Out(Vec<(RouterId, Vec<u8>)>);

impl Actions for Out {
    fn send(&mut self, to: RouterId, message: Vec<u8>) {
        assert!(message.len() <= applepond_membership::MAX_MESSAGE_BYTES, "{} bytes", message.len());
        self.0.push((to, message));
    }
}

/// Passes a decoded message to a process. The fields are the time, the process and its outgoing messages.
struct MessageHandler<'a>(u64, &'a mut Process, &'a mut Out);

impl MessageVisitor for MessageHandler<'_> {
    fn on_request(&mut self, from: RouterId, number: u64, page: u16) {
        self.1.peers.on_request(self.0, from, (number, page), &self.1.facts, self.2);
    }
    fn on_page(&mut self, from: RouterId, number: u64, page: u16, last: bool, facts: Vec<Fact>) {
        self.1.peers.on_page(self.0, from, number, page, last, facts, self.2);
    }
    fn on_retry_later(&mut self, from: RouterId, number: u64, wait: u64) {
        self.1.peers.on_retry_later(self.0, from, number, wait);
    }
    fn on_empty(&mut self, from: RouterId, number: u64) {
        self.1.peers.on_empty(self.0, from, number);
    }
}

impl SimulatedNetwork {
    pub fn new(seed: u64, routers: usize) -> Self {
        let mut network = SimulatedNetwork {
            now: 1_000 * S,
            all: (0..routers).map(|_| None).collect(),
            disks: vec![None; routers],
            boots: vec![Some(BootId(7)); routers],
            link: lossy(0.0),
            rng: Rand64::new(u128::from(seed)),
            points: FaultPoints::default(),
            guards: Guards::ALL,
            faulty_peer: None,
            events: BTreeMap::new(),
            next: 0,
            instances_started: 0,
            requests_received: BTreeMap::new(),
            bytes_sent: BTreeMap::new(),
        };
        (0..routers).for_each(|n| network.start(n));
        network
    }

    /// A fleet in a steady state: each router has observed all workers itself.
    pub fn settled(seed: u64, routers: usize) -> Self {
        let mut network = SimulatedNetwork::new(seed, routers);
        network.advance(12 * S);
        assert!(network.all.iter().flatten().all(|p| p.has_observed && p.facts.len() > WORKERS as usize));
        network.requests_received.clear();
        network.bytes_sent.clear();
        network
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert((at.max(self.now), self.next), event);
    }

    fn crash_and_restart(&mut self, n: usize) {
        self.kill(n);
        self.push(self.now + S, Event::Start(n));
    }

    pub fn kill(&mut self, n: usize) {
        self.all[n] = None;
    }

    pub fn start(&mut self, n: usize) {
        self.instances_started += 1;
        let (instance, now) = (self.instances_started, self.now);
        let mut peers = PeerRecovery::new(now, router(n), self.rng.rand_u64()).with_guards(self.guards);
        let (mut facts, mut unusable) = (Facts::default(), None);
        let mut late = 0;
        let fault = self.points.next_fault(|| format!("r{n} reads its snapshot"));
        match fault {
            Some(Fault::KilledBefore) => return self.crash_and_restart(n),
            Some(Fault::Late) => late = 5 * S,
            _ => {}
        }
        let mut bytes = self.disks[n].clone();
        match (fault, &mut bytes) {
            (Some(Fault::Error), bytes) => *bytes = None,
            (Some(Fault::Half), Some(bytes)) => bytes.truncate(bytes.len() / 2),
            _ => {}
        }
        match bytes.map(|b| decode_snapshot(n as u64, self.boots[n], now, &b)) {
            Some(Ok(all)) => {
                all.into_iter().for_each(|f| facts.insert(now, f));
                if !facts.is_empty() {
                    peers.snapshot_loaded(now);
                }
            }
            Some(Err(why)) => unusable = Some(why),
            None => {}
        }
        let process = Process {
            peers,
            facts,
            unusable,
            merged: Vec::new(),
            instance,
            started_at: now,
            has_observed: false,
        };
        self.all[n] = Some(process);
        if fault == Some(Fault::KilledAfter) {
            return self.crash_and_restart(n);
        }
        self.push(now + late, Event::Wake(n, instance));
        // Own observations take time.
        self.push(now + 8 * S, Event::See(n, instance));
        self.push(now + SNAPSHOT_INTERVAL, Event::Snap(n, instance));
    }

    fn write_snapshot(&mut self, n: usize) {
        let Some(p) = self.all[n].as_ref() else { return };
        let bytes = encode_snapshot(n as u64, self.boots[n], self.now, self.now, &p.facts);
        assert!(bytes.len() <= MAX_SNAPSHOT_BYTES);
        let fault = self.points.next_fault(|| format!("r{n} writes its snapshot"));
        match fault {
            Some(Fault::KilledBefore) => return self.crash_and_restart(n),
            Some(Fault::Error | Fault::SaidDone) => {}
            Some(Fault::Half) => self.disks[n] = Some(bytes[..bytes.len() / 2].to_vec()),
            _ => self.disks[n] = Some(bytes),
        }
        if fault == Some(Fault::KilledAfter) {
            self.crash_and_restart(n);
        }
    }

    fn post(&mut self, from: usize, to: RouterId, message: Vec<u8>, late: u64) {
        let to = (to.0 - 1_000) as usize;
        if message[1] == 1 {
            *self.requests_received.entry((to, self.now / (100 * MS))).or_default() += 1;
        }
        if message[1] == 2 {
            *self.bytes_sent.entry((from, self.now / (100 * MS))).or_default() += message.len() as u64;
        }
        if let Some(took) = (self.link)(self.now, from, to, &mut self.rng) {
            self.push(self.now + late + took, Event::Message(from, to, message));
        }
    }

    fn send(&mut self, n: usize, messages: Vec<(RouterId, Vec<u8>)>) {
        for (to, mut message) in messages {
            let (mut times, mut late) = (1, 0);
            let fault = self.points.next_fault(|| format!("r{n} sends kind {}", message[1]));
            match fault {
                Some(Fault::KilledBefore) => return self.crash_and_restart(n),
                Some(Fault::Error | Fault::SaidDone) => times = 0,
                Some(Fault::Half) => message.truncate(message.len() / 2),
                Some(Fault::Late) => late = 2 * S,
                Some(Fault::Twice) => times = 2,
                _ => {}
            }
            (0..times).for_each(|_| self.post(n, to, message.clone(), late));
            if fault == Some(Fault::KilledAfter) {
                return self.crash_and_restart(n);
            }
        }
    }

    fn live(&self) -> Vec<RouterId> {
        (0..self.all.len()).filter(|n| self.all[*n].is_some()).map(router).collect()
    }

    fn process(&mut self, event: Event) {
        let (now, live) = (self.now, self.live());
        let mut out = Out(Vec::new());
        let is = |p: &SimulatedNetwork, n: usize, instance: u64| {
            p.all[n].as_ref().is_some_and(|p| p.instance == instance)
        };
        let n = match event {
            Event::Start(n) if self.all[n].is_none() => return self.start(n),
            Event::Start(_) => return,
            Event::Wake(n, instance) if is(self, n, instance) => {
                let p = self.all[n].as_mut().expect("there");
                let merged = p.peers.wake(now, &live, &mut out);
                merged.iter().for_each(|f| p.facts.insert(now, *f));
                p.merged.extend(merged);
                let next = p.peers.next_wakeup();
                if next != u64::MAX {
                    self.push(next.max(now + 1), Event::Wake(n, instance));
                }
                n
            }
            Event::See(n, instance) if is(self, n, instance) => {
                self.observe_workers(n);
                self.push(now + 2 * S, Event::See(n, instance));
                n
            }
            Event::Snap(n, instance) if is(self, n, instance) => {
                self.write_snapshot(n);
                self.push(now + SNAPSHOT_INTERVAL, Event::Snap(n, instance));
                return;
            }
            Event::Message(from, n, message) => return self.receive(from, n, message),
            _ => return,
        };
        self.send(n, out.0);
    }

    /// A router observes all workers itself.
    fn observe_workers(&mut self, n: usize) {
        let is_faulty = self.faulty_peer == Some(n);
        let process = self.all[n].as_mut().expect("there");
        process.has_observed = true;
        for mut fact in (0..WORKERS).flat_map(expected_facts) {
            if is_faulty && fact.key.kind == FactKind::ConcurrencyLimit {
                fact.value = 0.01;
            }
            process.facts.insert(self.now, fact);
        }
    }

    fn receive(&mut self, from: usize, n: usize, mut message: Vec<u8>) {
        if self.all[n].is_none() {
            return;
        }
        let (now, mut times) = (self.now, 1);
        let fault = self.points.next_fault(|| format!("r{n} receives kind {}", message[1]));
        match fault {
            Some(Fault::KilledBefore) => return self.crash_and_restart(n),
            Some(Fault::Error | Fault::SaidDone) => return,
            Some(Fault::Half) => message.truncate(message.len() / 2),
            Some(Fault::Late) => return self.push(now + 2 * S, Event::Message(from, n, message)),
            Some(Fault::Twice) => times = 2,
            _ => {}
        }
        let mut out = Out(Vec::new());
        for _ in 0..times {
            let process = self.all[n].as_mut().expect("there");
            let _ = message::decode(&message, &mut MessageHandler(now, process, &mut out));
        }
        if fault == Some(Fault::KilledAfter) {
            return self.crash_and_restart(n);
        }
        let process = self.all[n].as_ref().expect("there");
        let (next, instance) = (process.peers.next_wakeup(), process.instance);
        if next != u64::MAX {
            self.push(next.max(now + 1), Event::Wake(n, instance));
        }
        self.send(n, out.0);
    }

    pub fn run_until(&mut self, by: u64, holds: impl Fn(&SimulatedNetwork) -> bool) -> bool {
        let by = self.now + by;
        while let Some((&(at, k), _)) = self.events.iter().next() {
            if at > by {
                break;
            }
            let event = self.events.remove(&(at, k)).expect("just seen");
            self.now = at;
            self.process(event);
            if holds(self) {
                return true;
            }
        }
        self.now = by;
        holds(self)
    }

    pub fn advance(&mut self, time: u64) {
        self.run_until(time, |_| false);
    }

    pub fn at(&self, n: usize) -> &Process {
        self.all[n].as_ref().expect("there")
    }

    pub fn value_of(&self, n: usize, kind: FactKind, key: u64) -> Option<f32> {
        self.at(n).facts.get(self.now, &key_of(kind, key)).map(|f| f.value)
    }

    /// Checks that the facts of all routers have their actual values.
    pub fn check(&self) -> Result<(), String> {
        for (n, p) in self.all.iter().enumerate() {
            for fact in p.iter().flat_map(|p| p.facts.iter(self.now)) {
                let want = expected_facts(fact.key.subject).into_iter().find(|t| t.key == fact.key);
                if want.is_none_or(|w| w.value != fact.value) && self.faulty_peer.is_none() {
                    return Err(format!("r{n} holds {fact:?}"));
                }
            }
        }
        Ok(())
    }

    /// The time since this process started.
    pub fn age(&self, n: usize) -> u64 {
        self.now - self.at(n).started_at
    }
}
