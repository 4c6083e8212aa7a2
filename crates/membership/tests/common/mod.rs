//! A fleet on a simulated network: simulated time, faults injected by a function, and equal seeds give equal
//! runs.
#![allow(dead_code)] // each table of cases uses its own part
use applepond_membership::message::{Header, Message, Opinion, Suspicion};
use applepond_membership::{
    Actions, Change, InstanceId, LocalIdentity, MAX_MESSAGE_BYTES, MemberStatus, Membership, ObservedStatus,
    Record, RouterId, Safeguards,
};
use oorandom::Rand64;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
/// Bytes of the envelope around each message.
const ENVELOPE: usize = 48;
/// Datagrams that a socket holds for a process that stands still.
const SOCKET_MOST: usize = 2_000;

/// What becomes of a message: lost, or there after so many µs.
pub type Link = Box<dyn FnMut(u64, usize, usize, &mut Rand64) -> Option<u64>>;

/// What a message of a process is made into on its way.
pub type MessageFilter = Box<dyn FnMut(usize, &[u8]) -> Vec<Vec<u8>>>;

pub struct Process {
    pub members: Membership,
    /// It stands still until then.
    pub paused_until: Option<u64>,
    socket: VecDeque<Vec<u8>>,
    pub changes: Vec<(u64, Change)>,
    pub bytes: u64,
    pub messages: u64,
}

pub struct SimulatedNetwork {
    pub now: u64,
    pub processes: Vec<Option<Process>>,
    pub link: Link,
    pub filter: Option<MessageFilter>,
    rng: Rand64,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    instance_ids: u64,
    /// Of all that start from now on.
    pub guards: Safeguards,
    /// Taken off the first incarnation of those that start: the system's clock went back.
    pub clock_back: u64,
    at: BTreeMap<SocketAddr, usize>,
}

enum Event {
    Wake(usize, InstanceId),
    Message(usize, Vec<u8>),
}

#[derive(Default)]
struct RecordedActions {
    messages: Vec<(SocketAddr, Vec<u8>)>,
    changes: Vec<Change>,
}

impl Actions for RecordedActions {
    fn send(&mut self, to: SocketAddr, message: &[u8]) {
        assert!(message.len() <= MAX_MESSAGE_BYTES, "{} bytes", message.len());
        self.messages.push((to, message.to_vec()));
    }
    fn changed(&mut self, change: Change) {
        self.changes.push(change);
    }
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 7946))
}

pub fn name(n: usize) -> String {
    format!("r{n}")
}

/// A network that loses this part and takes 0.2 to 1 ms.
pub fn lossy(part: f64) -> Link {
    Box::new(move |_, _, _, rng| (rng.rand_float() >= part).then(|| 200 + rng.rand_range(0..800)))
}

impl SimulatedNetwork {
    pub fn new(seed: u64, link: Link) -> Self {
        SimulatedNetwork {
            now: 1_000 * SECOND,
            processes: Vec::new(),
            link,
            filter: None,
            rng: Rand64::new(u128::from(seed)),
            events: BTreeMap::new(),
            next: 0,
            instance_ids: 100,
            guards: Safeguards::ALL,
            clock_back: 0,
            at: BTreeMap::new(),
        }
    }

    /// So many routers, the first three their seeds, after time to find each other.
    pub fn fleet(seed: u64, routers: usize, link: Link) -> Self {
        SimulatedNetwork::fleet_with(seed, routers, link, Safeguards::ALL)
    }

    pub fn fleet_with(seed: u64, routers: usize, link: Link, guards: Safeguards) -> Self {
        let mut network = SimulatedNetwork::new(seed, lossy(0.0));
        network.guards = guards;
        (0..routers).for_each(|n| network.start(n, &name(n), address(n), &[0, 1, 2]));
        let settled = |p: &SimulatedNetwork| p.has_converged(routers);
        assert!(network.run_until(30 * SECOND, settled), "{routers} routers find each other");
        network.link = link;
        network
    }

    pub fn start(&mut self, n: usize, name: &str, at: SocketAddr, seeds: &[usize]) {
        let seeds = seeds.iter().map(|n| address(*n)).collect();
        self.start_with(n, name, at, seeds);
    }

    pub fn start_with(&mut self, n: usize, name: &str, at: SocketAddr, seeds: Vec<SocketAddr>) {
        self.instance_ids += 1;
        let instance_id = InstanceId(self.instance_ids * 7919 + self.rng.rand_u64() % 1000);
        let zone = format!("z{}", n % 3);
        let me = LocalIdentity {
            name: name.to_owned(),
            zone,
            address: at,
            instance_id,
            incarnation: self.instance_ids - self.clock_back,
        };
        let members = Membership::new(self.now, me, seeds, self.rng.rand_u64()).with_safeguards(self.guards);
        self.processes.resize_with(self.processes.len().max(n + 1), || None);
        self.at.insert(at, n);
        let due = members.next_deadline();
        let process = Process {
            members,
            paused_until: None,
            socket: VecDeque::new(),
            changes: Vec::new(),
            bytes: 0,
            messages: 0,
        };
        self.processes[n] = Some(process);
        self.event(due, Event::Wake(n, instance_id));
    }

    fn event(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    pub fn kill(&mut self, n: usize) {
        self.processes[n] = None;
    }

    pub fn pause(&mut self, n: usize, time: u64) {
        let until = self.now + time;
        let process = self.processes[n].as_mut().expect("it runs");
        process.paused_until = Some(until);
        let instance_id = process.members.local_record().instance_id;
        self.event(until, Event::Wake(n, instance_id));
    }

    pub fn members(&self, n: usize) -> &Membership {
        &self.processes[n].as_ref().expect("it runs").members
    }

    pub fn changes(&self, n: usize) -> impl Iterator<Item = &(u64, Change)> {
        self.processes[n].iter().flat_map(|p| &p.changes)
    }

    /// Those whom a router takes for `shown`.
    pub fn members_observed_as(&self, n: usize, shown: ObservedStatus) -> Vec<String> {
        self.members(n).members().filter(|s| s.observed == shown).map(|s| s.record.name).collect()
    }

    pub fn live_count(&self, n: usize) -> usize {
        self.members(n).live_count()
    }

    /// All that run count this many, themselves alive, and see the same.
    pub fn has_converged(&self, live: usize) -> bool {
        let mut running =
            self.processes.iter().flatten().filter(|p| p.paused_until.is_none()).map(|p| &p.members);
        let Some(first) = running.next() else { return false };
        let alive = |m: &Membership| m.local_record().status == MemberStatus::Alive && m.live_count() == live;
        alive(first) && running.all(|m| alive(m) && m.view_digest() == first.view_digest())
    }

    /// How often any router took another for gone.
    pub fn removals(&self) -> usize {
        let gone =
            |c: &&(u64, Change)| matches!(c.1, Change::StatusChanged { current: ObservedStatus::Dead, .. });
        (0..self.processes.len()).map(|n| self.changes(n).filter(gone).count()).sum()
    }

    fn call(&mut self, n: usize, call: impl FnOnce(&mut Membership, u64, &mut RecordedActions)) {
        let Some(process) = self.processes[n].as_mut() else { return };
        let mut out = RecordedActions::default();
        call(&mut process.members, self.now, &mut out);
        let (due, instance_id) =
            (process.members.next_deadline(), process.members.local_record().instance_id);
        process.changes.extend(out.changes.into_iter().map(|c| (self.now, c)));
        for (to, message) in out.messages {
            let Some(to) = self.at.get(&to).copied() else { continue };
            let messages = match &mut self.filter {
                Some(filter) => filter(n, &message),
                None => vec![message],
            };
            for message in messages {
                let process = self.processes[n].as_mut().expect("it has just been called");
                process.bytes += (message.len() + ENVELOPE) as u64;
                process.messages += 1;
                if let Some(takes) = (self.link)(self.now, n, to, &mut self.rng) {
                    self.event(self.now + takes, Event::Message(to, message));
                }
            }
        }
        self.event(due, Event::Wake(n, instance_id));
    }

    pub fn leave(&mut self, n: usize) {
        self.call(n, |m, now, out| m.leave(now, out));
    }

    /// Hands a router a message as it stands.
    pub fn deliver(&mut self, n: usize, message: &[u8]) {
        self.call(n, |m, now, out| _ = m.handle_message(now, message, out));
    }

    fn step(&mut self) {
        let Some(((at, _), event)) = self.events.pop_first() else { return };
        self.now = self.now.max(at);
        let (Event::Wake(n, _) | Event::Message(n, _)) = &event;
        let n = *n;
        let Some(process) = self.processes[n].as_mut() else { return };
        if let Some(until) = process.paused_until {
            if self.now < until {
                if let Event::Message(_, message) = event
                    && process.socket.len() < SOCKET_MOST
                {
                    process.socket.push_back(message);
                }
                return;
            }
            // What waits in its socket is read before any timer.
            process.paused_until = None;
            for message in std::mem::take(&mut process.socket) {
                self.call(n, |m, now, out| _ = m.handle_message(now, &message, out));
            }
        }
        match event {
            Event::Message(_, message) => {
                self.call(n, |m, now, out| _ = m.handle_message(now, &message, out))
            }
            Event::Wake(_, instance_id) => {
                let members = &self.processes[n].as_ref().expect("just seen").members;
                // A timer of a process before, or one that an earlier call has made needless.
                if members.local_record().instance_id == instance_id && members.next_deadline() <= self.now {
                    self.call(n, |m, now, out| m.handle_timeout(now, out));
                }
            }
        }
    }

    pub fn run_for(&mut self, time: u64) {
        let end = self.now + time;
        while self.events.first_key_value().is_some_and(|((at, _), _)| *at <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Lets time pass until something holds, or for as long as this.
    pub fn run_until(&mut self, most: u64, holds: impl Fn(&SimulatedNetwork) -> bool) -> bool {
        let end = self.now + most;
        while self.now < end {
            self.run_for(50 * MILLISECOND);
            if holds(self) {
                return true;
            }
        }
        false
    }
}

fn head(of: &Record) -> Header {
    let Record { instance_id, incarnation, address, .. } = *of;
    Header { from: RouterId::named(&of.name), instance_id, incarnation, address }
}

/// A message that says of a router that it is gone.
pub fn report_of_death(from: &Record, of: &Record, sequence: u64) -> Vec<u8> {
    let Record { instance_id, incarnation, .. } = *of;
    let (subject, voter) = (RouterId::named(&of.name), RouterId::named(&from.name));
    let mut message = Message::updates(&head(from));
    message.suspicion(&Suspicion {
        subject,
        instance_id,
        incarnation,
        voter,
        sequence,
        opinion: Opinion::Dead,
    });
    message.bytes().to_vec()
}

/// A message with one record.
pub fn news(from: &Record, record: &Record) -> Vec<u8> {
    let mut message = Message::updates(&head(from));
    message.record(record);
    message.bytes().to_vec()
}
