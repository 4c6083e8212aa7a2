//! Routers that recover, on a simulated network with disks that lie. One seed gives one run.
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
/// Workers of the simulated world; the first drains, the second is ejected.
pub const WORKERS: u64 = 60;

/// What becomes of a message: lost, or there after so many µs.
pub type Link = Box<dyn FnMut(u64, usize, usize, &mut Rand64) -> Option<u64>>;

/// A network that loses this part and takes 0.2 to 1 ms.
pub fn lossy(part: f64) -> Link {
    Box::new(move |_, _, _, rng| (rng.rand_float() >= part).then(|| 200 + rng.rand_range(0..800)))
}

pub fn key_of(kind: FactKind, key: u64) -> FactKey {
    FactKey { kind, subject: key, incarnation: 1 }
}

/// What holds in the simulated world, which every router that lives has seen.
pub fn truth(key: u64) -> Vec<Fact> {
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

/// All that an instance does with the outside, counted through a run.
#[derive(Default)]
pub struct FaultPoints {
    pub count: u64,
    pub at: Option<(u64, Fault)>,
    pub hit: Option<String>,
}

impl FaultPoints {
    fn pass(&mut self, kind: impl FnOnce() -> String) -> Option<Fault> {
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
    /// What its snapshot could not be used for.
    pub unusable: Option<SnapshotError>,
    pub merged: Vec<Fact>,
    life: u64,
    born: u64,
    /// It has seen the workers itself.
    pub seen: bool,
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
    /// One that says other concurrency limits than it observes.
    pub liar: Option<usize>,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    lives: u64,
    /// Requests that came to each, and bytes that each gave, by tenth of a second.
    pub asked: BTreeMap<(usize, u64), u64>,
    pub gave: BTreeMap<(usize, u64), u64>,
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

/// Takes a message at one process.
struct At<'a>(u64, &'a mut Process, &'a mut Out);

impl MessageVisitor for At<'_> {
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
            liar: None,
            events: BTreeMap::new(),
            next: 0,
            lives: 0,
            asked: BTreeMap::new(),
            gave: BTreeMap::new(),
        };
        (0..routers).for_each(|n| network.start(n));
        network
    }

    /// A fleet that has been there for a while: each has seen all workers itself.
    pub fn settled(seed: u64, routers: usize) -> Self {
        let mut network = SimulatedNetwork::new(seed, routers);
        network.pass(12 * S);
        assert!(network.all.iter().flatten().all(|p| p.seen && p.facts.len() > WORKERS as usize));
        network.asked.clear();
        network.gave.clear();
        network
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert((at.max(self.now), self.next), event);
    }

    fn die(&mut self, n: usize) {
        self.kill(n);
        self.push(self.now + S, Event::Start(n));
    }

    pub fn kill(&mut self, n: usize) {
        self.all[n] = None;
    }

    pub fn start(&mut self, n: usize) {
        self.lives += 1;
        let (life, now) = (self.lives, self.now);
        let mut peers = PeerRecovery::new(now, router(n), self.rng.rand_u64()).with_guards(self.guards);
        let (mut facts, mut unusable) = (Facts::default(), None);
        let mut late = 0;
        let fault = self.points.pass(|| format!("r{n} reads its snapshot"));
        match fault {
            Some(Fault::KilledBefore) => return self.die(n),
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
        let process = Process { peers, facts, unusable, merged: Vec::new(), life, born: now, seen: false };
        self.all[n] = Some(process);
        if fault == Some(Fault::KilledAfter) {
            return self.die(n);
        }
        self.push(now + late, Event::Wake(n, life));
        // What it sees itself takes time.
        self.push(now + 8 * S, Event::See(n, life));
        self.push(now + SNAPSHOT_INTERVAL, Event::Snap(n, life));
    }

    fn snap(&mut self, n: usize) {
        let Some(p) = self.all[n].as_ref() else { return };
        let bytes = encode_snapshot(n as u64, self.boots[n], self.now, self.now, &p.facts);
        assert!(bytes.len() <= MAX_SNAPSHOT_BYTES);
        let fault = self.points.pass(|| format!("r{n} writes its snapshot"));
        match fault {
            Some(Fault::KilledBefore) => return self.die(n),
            Some(Fault::Error | Fault::SaidDone) => {}
            Some(Fault::Half) => self.disks[n] = Some(bytes[..bytes.len() / 2].to_vec()),
            _ => self.disks[n] = Some(bytes),
        }
        if fault == Some(Fault::KilledAfter) {
            self.die(n);
        }
    }

    fn post(&mut self, from: usize, to: RouterId, message: Vec<u8>, late: u64) {
        let to = (to.0 - 1_000) as usize;
        if message[1] == 1 {
            *self.asked.entry((to, self.now / (100 * MS))).or_default() += 1;
        }
        if message[1] == 2 {
            *self.gave.entry((from, self.now / (100 * MS))).or_default() += message.len() as u64;
        }
        if let Some(took) = (self.link)(self.now, from, to, &mut self.rng) {
            self.push(self.now + late + took, Event::Message(from, to, message));
        }
    }

    fn send(&mut self, n: usize, messages: Vec<(RouterId, Vec<u8>)>) {
        for (to, mut message) in messages {
            let (mut times, mut late) = (1, 0);
            let fault = self.points.pass(|| format!("r{n} sends kind {}", message[1]));
            match fault {
                Some(Fault::KilledBefore) => return self.die(n),
                Some(Fault::Error | Fault::SaidDone) => times = 0,
                Some(Fault::Half) => message.truncate(message.len() / 2),
                Some(Fault::Late) => late = 2 * S,
                Some(Fault::Twice) => times = 2,
                _ => {}
            }
            (0..times).for_each(|_| self.post(n, to, message.clone(), late));
            if fault == Some(Fault::KilledAfter) {
                return self.die(n);
            }
        }
    }

    fn live(&self) -> Vec<RouterId> {
        (0..self.all.len()).filter(|n| self.all[*n].is_some()).map(router).collect()
    }

    fn play(&mut self, event: Event) {
        let (now, live) = (self.now, self.live());
        let mut out = Out(Vec::new());
        let is =
            |p: &SimulatedNetwork, n: usize, life: u64| p.all[n].as_ref().is_some_and(|p| p.life == life);
        let n = match event {
            Event::Start(n) if self.all[n].is_none() => return self.start(n),
            Event::Start(_) => return,
            Event::Wake(n, life) if is(self, n, life) => {
                let p = self.all[n].as_mut().expect("there");
                let merged = p.peers.wake(now, &live, &mut out);
                merged.iter().for_each(|f| p.facts.insert(now, *f));
                p.merged.extend(merged);
                let next = p.peers.next_wakeup();
                if next != u64::MAX {
                    self.push(next.max(now + 1), Event::Wake(n, life));
                }
                n
            }
            Event::See(n, life) if is(self, n, life) => {
                self.see(n);
                self.push(now + 2 * S, Event::See(n, life));
                n
            }
            Event::Snap(n, life) if is(self, n, life) => {
                self.snap(n);
                self.push(now + SNAPSHOT_INTERVAL, Event::Snap(n, life));
                return;
            }
            Event::Message(from, n, message) => return self.receive(from, n, message),
            _ => return,
        };
        self.send(n, out.0);
    }

    /// A router observes all workers itself.
    fn see(&mut self, n: usize) {
        let lies = self.liar == Some(n);
        let process = self.all[n].as_mut().expect("there");
        process.seen = true;
        for mut fact in (0..WORKERS).flat_map(truth) {
            if lies && fact.key.kind == FactKind::ConcurrencyLimit {
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
        let fault = self.points.pass(|| format!("r{n} receives kind {}", message[1]));
        match fault {
            Some(Fault::KilledBefore) => return self.die(n),
            Some(Fault::Error | Fault::SaidDone) => return,
            Some(Fault::Half) => message.truncate(message.len() / 2),
            Some(Fault::Late) => return self.push(now + 2 * S, Event::Message(from, n, message)),
            Some(Fault::Twice) => times = 2,
            _ => {}
        }
        let mut out = Out(Vec::new());
        for _ in 0..times {
            let process = self.all[n].as_mut().expect("there");
            let _ = message::decode(&message, &mut At(now, process, &mut out));
        }
        if fault == Some(Fault::KilledAfter) {
            return self.die(n);
        }
        let process = self.all[n].as_ref().expect("there");
        let (next, life) = (process.peers.next_wakeup(), process.life);
        if next != u64::MAX {
            self.push(next.max(now + 1), Event::Wake(n, life));
        }
        self.send(n, out.0);
    }

    pub fn until(&mut self, by: u64, value_of: impl Fn(&SimulatedNetwork) -> bool) -> bool {
        let by = self.now + by;
        while let Some((&(at, k), _)) = self.events.iter().next() {
            if at > by {
                break;
            }
            let event = self.events.remove(&(at, k)).expect("just seen");
            self.now = at;
            self.play(event);
            if value_of(self) {
                return true;
            }
        }
        self.now = by;
        value_of(self)
    }

    pub fn pass(&mut self, time: u64) {
        self.until(time, |_| false);
    }

    pub fn at(&self, n: usize) -> &Process {
        self.all[n].as_ref().expect("there")
    }

    pub fn value_of(&self, n: usize, kind: FactKind, key: u64) -> Option<f32> {
        self.at(n).facts.get(self.now, &key_of(kind, key)).map(|f| f.value)
    }

    /// Whatever a router holds for true is, or was by what it could know.
    pub fn check(&self) -> Result<(), String> {
        for (n, p) in self.all.iter().enumerate() {
            for fact in p.iter().flat_map(|p| p.facts.iter(self.now)) {
                let want = truth(fact.key.subject).into_iter().find(|t| t.key == fact.key);
                if want.is_none_or(|w| w.value != fact.value) && self.liar.is_none() {
                    return Err(format!("r{n} holds {fact:?}"));
                }
            }
        }
        Ok(())
    }

    /// How long ago this process started.
    pub fn age(&self, n: usize) -> u64 {
        self.now - self.at(n).born
    }
}
