//! A fleet on a simulated network, in simulated time and with injected faults. Runs with equal seeds are
//! equal.
#![allow(dead_code)] // each test or benchmark uses only a part
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
/// Size in bytes of the envelope around each message.
const ENVELOPE_BYTES: usize = 48;
/// Number of datagrams that the socket buffer of a paused process holds.
const SOCKET_CAPACITY: usize = 2_000;

/// Latency of a message in µs, or `None` if it is lost, by time, sender and receiver.
pub type Link = Box<dyn FnMut(u64, usize, usize, &mut Rand64) -> Option<u64>>;

/// Replaces a message of a process by any number of messages, to drop, duplicate or forge messages.
pub type MessageFilter = Box<dyn FnMut(usize, &[u8]) -> Vec<Vec<u8>>>;

pub struct Process {
    pub members: Membership,
    /// Time until which the process is paused.
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
    /// Safeguards of all processes that are started from now on.
    pub safeguards: Safeguards,
    /// Subtracted from the initial incarnation of processes that are started, as if the system clock had gone
    /// back.
    pub clock_setback: u64,
    routers_by_address: BTreeMap<SocketAddr, usize>,
}

enum Event {
    Timer(usize, InstanceId),
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

/// A link that loses this fraction of messages and delivers the others after 0.2 to 1 ms.
pub fn lossy_link(loss: f64) -> Link {
    Box::new(move |_, _, _, rng| (rng.rand_float() >= loss).then(|| 200 + rng.rand_range(0..800)))
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
            safeguards: Safeguards::ALL,
            clock_setback: 0,
            routers_by_address: BTreeMap::new(),
        }
    }

    /// A converged fleet of this many routers, with the first three as seeds.
    pub fn fleet(seed: u64, routers: usize, link: Link) -> Self {
        SimulatedNetwork::fleet_with(seed, routers, link, Safeguards::ALL)
    }

    pub fn fleet_with(seed: u64, routers: usize, link: Link, safeguards: Safeguards) -> Self {
        let mut network = SimulatedNetwork::new(seed, lossy_link(0.0));
        network.safeguards = safeguards;
        (0..routers).for_each(|n| network.start(n, &name(n), address(n), &[0, 1, 2]));
        let settled = |p: &SimulatedNetwork| p.has_converged(routers);
        assert!(network.run_until(30 * SECOND, settled), "{routers} routers converge");
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
        let identity = LocalIdentity {
            name: name.to_owned(),
            zone,
            address: at,
            instance_id,
            incarnation: self.instance_ids - self.clock_setback,
        };
        let members =
            Membership::new(self.now, identity, seeds, self.rng.rand_u64()).with_safeguards(self.safeguards);
        self.processes.resize_with(self.processes.len().max(n + 1), || None);
        self.routers_by_address.insert(at, n);
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
        self.schedule(due, Event::Timer(n, instance_id));
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    pub fn kill(&mut self, n: usize) {
        self.processes[n] = None;
    }

    pub fn pause(&mut self, n: usize, duration: u64) {
        let until = self.now + duration;
        let process = self.processes[n].as_mut().expect("the process runs");
        process.paused_until = Some(until);
        let instance_id = process.members.local_record().instance_id;
        self.schedule(until, Event::Timer(n, instance_id));
    }

    pub fn members(&self, n: usize) -> &Membership {
        &self.processes[n].as_ref().expect("the process runs").members
    }

    pub fn changes(&self, n: usize) -> impl Iterator<Item = &(u64, Change)> {
        self.processes[n].iter().flat_map(|p| &p.changes)
    }

    /// Names of the members that a router observes with this status.
    pub fn members_observed_as(&self, n: usize, status: ObservedStatus) -> Vec<String> {
        self.members(n).members().filter(|s| s.observed == status).map(|s| s.record.name).collect()
    }

    pub fn live_count(&self, n: usize) -> usize {
        self.members(n).live_count()
    }

    /// Whether all running routers are alive, count this many live routers and have the same view.
    pub fn has_converged(&self, live: usize) -> bool {
        let mut running =
            self.processes.iter().flatten().filter(|p| p.paused_until.is_none()).map(|p| &p.members);
        let Some(first) = running.next() else { return false };
        let alive = |m: &Membership| m.local_record().status == MemberStatus::Alive && m.live_count() == live;
        alive(first) && running.all(|m| alive(m) && m.view_digest() == first.view_digest())
    }

    /// Number of times that any router began to observe another as dead.
    pub fn removals(&self) -> usize {
        let is_removal =
            |c: &&(u64, Change)| matches!(c.1, Change::StatusChanged { current: ObservedStatus::Dead, .. });
        (0..self.processes.len()).map(|n| self.changes(n).filter(is_removal).count()).sum()
    }

    fn call(&mut self, n: usize, call: impl FnOnce(&mut Membership, u64, &mut RecordedActions)) {
        let Some(process) = self.processes[n].as_mut() else { return };
        let mut out = RecordedActions::default();
        call(&mut process.members, self.now, &mut out);
        let (due, instance_id) =
            (process.members.next_deadline(), process.members.local_record().instance_id);
        process.changes.extend(out.changes.into_iter().map(|c| (self.now, c)));
        for (to, message) in out.messages {
            let Some(to) = self.routers_by_address.get(&to).copied() else { continue };
            let messages = match &mut self.filter {
                Some(filter) => filter(n, &message),
                None => vec![message],
            };
            for message in messages {
                let process = self.processes[n].as_mut().expect("the process runs");
                process.bytes += (message.len() + ENVELOPE_BYTES) as u64;
                process.messages += 1;
                if let Some(latency) = (self.link)(self.now, n, to, &mut self.rng) {
                    self.schedule(self.now + latency, Event::Message(to, message));
                }
            }
        }
        self.schedule(due, Event::Timer(n, instance_id));
    }

    pub fn leave(&mut self, n: usize) {
        self.call(n, |m, now, out| m.leave(now, out));
    }

    /// Delivers a message to a router immediately, bypassing link and filter.
    pub fn deliver(&mut self, n: usize, message: &[u8]) {
        self.call(n, |m, now, out| _ = m.handle_message(now, message, out));
    }

    fn step(&mut self) {
        let Some(((at, _), event)) = self.events.pop_first() else { return };
        self.now = self.now.max(at);
        let (Event::Timer(n, _) | Event::Message(n, _)) = &event;
        let n = *n;
        let Some(process) = self.processes[n].as_mut() else { return };
        if let Some(until) = process.paused_until {
            if self.now < until {
                if let Event::Message(_, message) = event
                    && process.socket.len() < SOCKET_CAPACITY
                {
                    process.socket.push_back(message);
                }
                return;
            }
            // Buffered datagrams are read before any timer fires.
            process.paused_until = None;
            for message in std::mem::take(&mut process.socket) {
                self.call(n, |m, now, out| _ = m.handle_message(now, &message, out));
            }
        }
        match event {
            Event::Message(_, message) => {
                self.call(n, |m, now, out| _ = m.handle_message(now, &message, out))
            }
            Event::Timer(_, instance_id) => {
                let members = &self.processes[n].as_ref().expect("the process runs").members;
                // Ignores timers of earlier processes, and timers that an earlier call has made obsolete.
                if members.local_record().instance_id == instance_id && members.next_deadline() <= self.now {
                    self.call(n, |m, now, out| m.handle_timeout(now, out));
                }
            }
        }
    }

    pub fn run_for(&mut self, duration: u64) {
        let end = self.now + duration;
        while self.events.first_key_value().is_some_and(|((at, _), _)| *at <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Runs until the condition holds or the timeout passes, and returns whether it held. The condition is
    /// checked every 50 ms.
    pub fn run_until(&mut self, timeout: u64, condition: impl Fn(&SimulatedNetwork) -> bool) -> bool {
        let end = self.now + timeout;
        while self.now < end {
            self.run_for(50 * MILLISECOND);
            if condition(self) {
                return true;
            }
        }
        false
    }
}

fn header(sender: &Record) -> Header {
    let Record { instance_id, incarnation, address, .. } = *sender;
    Header { from: RouterId::named(&sender.name), instance_id, incarnation, address }
}

/// A message by which one router reports another dead.
pub fn report_of_death(from: &Record, dead: &Record, sequence: u64) -> Vec<u8> {
    let Record { instance_id, incarnation, .. } = *dead;
    let (subject, voter) = (RouterId::named(&dead.name), RouterId::named(&from.name));
    let mut message = Message::updates(&header(from));
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
pub fn record_message(from: &Record, record: &Record) -> Vec<u8> {
    let mut message = Message::updates(&header(from));
    message.record(record);
    message.bytes().to_vec()
}
