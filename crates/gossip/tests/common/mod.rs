//! A fleet on a simulated network, in simulated time and with injected faults. Runs with equal seeds are
//! equal.
#![allow(dead_code)] // each test or benchmark uses only a part
use applepond_gossip::{Actions, Gossip, Key, Kind, KindLifetime, MAX_MESSAGE_BYTES};
use applepond_membership::{Rings, RouterId};
use oorandom::Rand64;
use std::collections::BTreeMap;

pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
pub const KIND: Kind = Kind(1);
/// Size in bytes of the envelope around each message, without the headers of the datagram.
const ENVELOPE_BYTES: usize = 48;

/// Latency of a message in µs, or `None` if it is lost, by time, sender and receiver.
pub type Link = Box<dyn FnMut(u64, usize, usize, &mut Rand64) -> Option<u64>>;

/// A link that loses this fraction of messages and delivers the others after 0.2 to 1 ms.
pub fn lossy_link(loss: f64) -> Link {
    Box::new(move |_, _, _, rng| (rng.rand_float() >= loss).then(|| 200 + rng.rand_range(0..800)))
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
    Timer(usize, u64),
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

    /// Starts a process under this incarnation, replacing any earlier process of the router.
    pub fn start(&mut self, n: usize, incarnation: u64) {
        let seed = self.rng.rand_u64();
        let rows = [KindLifetime { kind: KIND, lifetime: 60 * SECOND }];
        let gossip = Gossip::new(self.now, id(n), incarnation, &rows, seed);
        let neighbours = self.rings.neighbours_of(id(n));
        self.generations[n] += 1;
        let at = gossip.next_deadline();
        self.processes[n] = Some(Process { gossip, neighbours, bytes: 0 });
        self.push(at, Event::Timer(n, self.generations[n]));
    }

    pub fn kill(&mut self, n: usize) {
        self.processes[n] = None;
        self.generations[n] += 1;
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn transmit(&mut self, from: usize, messages: Vec<(RouterId, Vec<u8>)>) {
        for (to, message) in messages {
            self.processes[from].as_mut().expect("the sender runs").bytes +=
                (message.len() + ENVELOPE_BYTES) as u64;
            let to = self.ids[&to];
            if let Some(latency) = (self.link)(self.now, from, to, &mut self.rng) {
                self.push(self.now + latency, Event::Message(from, to, message));
            }
        }
    }

    /// Runs until the condition holds or the deadline passes, and returns whether it holds. The condition is
    /// checked after each event.
    pub fn run_until(&mut self, deadline: u64, condition: impl Fn(&SimulatedNetwork) -> bool) -> bool {
        while let Some((&(at, n), _)) = self.events.iter().next() {
            if at > deadline {
                break;
            }
            let event = self.events.remove(&(at, n)).expect("the first event");
            self.now = at;
            let mut out = RecordedActions::default();
            let sender = match event {
                Event::Timer(n, generation) => {
                    let Some(p) = self.processes[n].as_mut().filter(|_| self.generations[n] == generation)
                    else {
                        continue;
                    };
                    p.gossip.handle_timeout(at, &p.neighbours, &mut out);
                    let next = p.gossip.next_deadline();
                    self.push(next, Event::Timer(n, generation));
                    n
                }
                Event::Message(from, to, message) => {
                    let Some(p) = self.processes[to].as_mut() else { continue };
                    let _ = p.gossip.handle_message(at, id(from), &message, &mut out);
                    to
                }
            };
            self.transmit(sender, out.0);
            if condition(self) {
                return true;
            }
        }
        self.now = deadline;
        condition(self)
    }

    pub fn run_for(&mut self, duration: u64) {
        let deadline = self.now + duration;
        self.run_until(deadline, |_| false);
    }

    pub fn publish(&mut self, n: usize, key: u64, value: &[u8]) {
        let now = self.now;
        let p = self.processes[n].as_mut().expect("the router runs");
        p.gossip.publish(now, KIND, Key(key), value).expect("room");
    }

    pub fn gossip_of(&self, n: usize) -> &Gossip {
        &self.processes[n].as_ref().expect("the router runs").gossip
    }

    /// The values under a key by origin, as one router knows them.
    pub fn entries_at(&self, n: usize, key: u64) -> BTreeMap<usize, Vec<u8>> {
        let entries = self.gossip_of(n).entries_for_key(self.now, KIND, Key(key));
        entries.map(|entry| (self.ids[&entry.origin], entry.value.to_vec())).collect()
    }

    /// Whether all running routers have the same entries.
    pub fn has_converged(&self) -> bool {
        let mut views = self.processes.iter().flatten().map(|p| p.gossip.view_digest());
        let first = views.next();
        views.all(|v| Some(v) == first)
    }
}
