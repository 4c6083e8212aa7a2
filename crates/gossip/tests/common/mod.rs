//! A fleet on a simulated network: simulated time, faults injected by a function, and equal seeds give equal
//! runs.
#![allow(dead_code)] // each table of cases uses its own part
use applepond_gossip::{Actions, Gossip, Key, Kind, KindLifetime, MAX_MESSAGE_BYTES};
use applepond_membership::{Rings, RouterId};
use oorandom::Rand64;
use std::collections::BTreeMap;

pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
pub const PACE: Kind = Kind(1);
/// Bytes of the envelope around each message, on top of a datagram's own head.
const ENVELOPE: usize = 48;

/// What becomes of a message: lost, or there after so many µs.
pub type Link = Box<dyn FnMut(u64, usize, usize, &mut Rand64) -> Option<u64>>;

/// A network that loses this part and takes 0.2 to 1 ms.
pub fn lossy(part: f64) -> Link {
    Box::new(move |_, _, _, rng| (rng.rand_float() >= part).then(|| 200 + rng.rand_range(0..800)))
}

#[derive(Default)]
pub struct RecordedActions(pub Vec<(RouterId, Vec<u8>)>);

impl Actions for RecordedActions {
    fn send(&mut self, to: RouterId, message: Vec<u8>) {
        assert!(message.len() <= MAX_MESSAGE_BYTES, "{} bytes", message.len());
        self.0.push((to, message));
    }
}

pub struct Process {
    pub gossip: Gossip,
    pub neighbours: Vec<RouterId>,
    pub bytes: u64,
}

enum Event {
    Wake(usize, u64),
    Message(usize, usize, Vec<u8>),
}

pub struct SimulatedNetwork {
    pub now: u64,
    pub processes: Vec<Option<Process>>,
    pub link: Link,
    pub rng: Rand64,
    generations: Vec<u64>,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    ids: BTreeMap<RouterId, usize>,
    rings: Rings,
}

pub fn id(n: usize) -> RouterId {
    RouterId::named(&format!("r{n}"))
}

impl SimulatedNetwork {
    pub fn fleet(seed: u64, routers: usize, link: Link) -> Self {
        let mut rings = Rings::default();
        (0..routers).for_each(|n| rings.insert(id(n)));
        let mut network = SimulatedNetwork {
            now: 1_000 * SECOND,
            processes: (0..routers).map(|_| None).collect(),
            link,
            rng: Rand64::new(u128::from(seed)),
            generations: vec![0; routers],
            events: BTreeMap::new(),
            next: 0,
            ids: (0..routers).map(|n| (id(n), n)).collect(),
            rings,
        };
        (0..routers).for_each(|n| network.start(n, 1));
        network
    }

    /// A new process, under this incarnation.
    pub fn start(&mut self, n: usize, incarnation: u64) {
        let seed = self.rng.rand_u64();
        let rows = [KindLifetime { kind: PACE, lifetime: 60 * SECOND }];
        let gossip = Gossip::new(self.now, id(n), incarnation, &rows, seed);
        let neighbours = self.rings.neighbours_of(id(n));
        self.generations[n] += 1;
        let at = gossip.next_deadline();
        self.processes[n] = Some(Process { gossip, neighbours, bytes: 0 });
        self.push(at, Event::Wake(n, self.generations[n]));
    }

    pub fn kill(&mut self, n: usize) {
        self.processes[n] = None;
        self.generations[n] += 1;
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn post(&mut self, from: usize, messages: Vec<(RouterId, Vec<u8>)>) {
        for (to, message) in messages {
            self.processes[from].as_mut().expect("it sends").bytes += (message.len() + ENVELOPE) as u64;
            let to = self.ids[&to];
            if let Some(late) = (self.link)(self.now, from, to, &mut self.rng) {
                self.push(self.now + late, Event::Message(from, to, message));
            }
        }
    }

    /// Plays until the condition holds, looked at after each event; whether it did by then.
    pub fn run_until(&mut self, by: u64, holds: impl Fn(&SimulatedNetwork) -> bool) -> bool {
        while let Some((&(at, n), _)) = self.events.iter().next() {
            if at > by {
                break;
            }
            let event = self.events.remove(&(at, n)).expect("just seen");
            self.now = at;
            let mut out = RecordedActions::default();
            let who = match event {
                Event::Wake(n, life) => {
                    let Some(p) = self.processes[n].as_mut().filter(|_| self.generations[n] == life) else {
                        continue;
                    };
                    p.gossip.handle_timeout(at, &p.neighbours, &mut out);
                    let next = p.gossip.next_deadline();
                    self.push(next, Event::Wake(n, life));
                    n
                }
                Event::Message(from, to, message) => {
                    let Some(p) = self.processes[to].as_mut() else { continue };
                    let _ = p.gossip.handle_message(at, id(from), &message, &mut out);
                    to
                }
            };
            self.post(who, out.0);
            if holds(self) {
                return true;
            }
        }
        self.now = by;
        holds(self)
    }

    pub fn run_for(&mut self, time: u64) {
        let by = self.now + time;
        self.run_until(by, |_| false);
    }

    pub fn publish(&mut self, n: usize, key: u64, value: &[u8]) {
        let now = self.now;
        let p = self.processes[n].as_mut().expect("there");
        p.gossip.publish(now, PACE, Key(key), value).expect("room");
    }

    pub fn gossip_of(&self, n: usize) -> &Gossip {
        &self.processes[n].as_ref().expect("there").gossip
    }

    /// Who tells what under a key, as one router holds it.
    pub fn entries_at(&self, n: usize, key: u64) -> BTreeMap<usize, Vec<u8>> {
        let told = self.gossip_of(n).entries_for_key(self.now, PACE, Key(key));
        told.map(|t| (self.ids[&t.origin], t.value.to_vec())).collect()
    }

    /// All that are there hold the same.
    pub fn has_converged(&self) -> bool {
        let mut views = self.processes.iter().flatten().map(|p| p.gossip.view_digest());
        let first = views.next();
        views.all(|v| Some(v) == first)
    }
}
