//! A deterministic simulation of registers with simulated time, drifting clocks, and faults that are injected
//! by a link function or at numbered disk and network operations. A run is determined by its seed.
#![allow(dead_code)] // each table of cases uses its own part
use applepond_consensus::{
    AcceptorError, AcceptorState, AcceptorStorage, LEASE_DURATION, Register, RegisterState, Replica,
    Unavailable, message,
};
use applepond_membership::{InstanceId, RouterId};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// The initial fleet id of all routers.
pub const FLEET: u64 = 7;

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
/// The type of the register's value in these tests.
pub type Text = String;

/// What a disk does on a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskBehavior {
    Works,
    Fails,
    /// Reports success without storing anything.
    Lies,
}

/// A disk, which outlives the processes that use it.
#[derive(Clone, Debug)]
pub struct SimulatedDisk {
    pub id: InstanceId,
    pub state: Option<AcceptorState<RegisterState<Text>>>,
    pub torn: bool,
    pub behavior: DiskBehavior,
}

impl AcceptorStorage<RegisterState<Text>> for SimulatedDisk {
    fn persist(&mut self, state: &AcceptorState<RegisterState<Text>>) -> Result<(), AcceptorError> {
        match self.behavior {
            DiskBehavior::Works => self.state = Some(state.clone()),
            DiskBehavior::Fails => return Err(AcceptorError::WriteFailed),
            DiskBehavior::Lies => {}
        }
        Ok(())
    }
}

/// The fault at a point, which affects the process or its operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    KilledBefore,
    KilledAfter,
    Error,
    /// A partial write or a truncated message.
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
    fn next_fault(&mut self, what: impl FnOnce() -> String) -> Option<Fault> {
        self.count += 1;
        let (at, fault) = self.at?;
        if at != self.count {
            return None;
        }
        self.hit = Some(what());
        Some(fault)
    }
}

pub struct Machine {
    pub register: Register<Text>,
    replica: Option<Replica<Text>>,
    /// The process is paused until this time.
    pub paused_until: u64,
}

enum Event {
    Wake(usize, InstanceId),
    Message(usize, Vec<u8>),
    Start(usize),
}

/// An injected fault has killed the process.
struct Killed;

pub type Link = Box<dyn FnMut(u64, usize, usize, &mut Rand64) -> Option<u64>>;

/// A network that loses this fraction of the messages and has a latency of 0.2 to 1 ms.
pub fn lossy(part: f64) -> Link {
    Box::new(move |_, _, _, rng| (rng.rand_float() >= part).then(|| 200 + rng.rand_range(0..800)))
}

/// A simulated fleet of routers. The first ones are the replicas, unless configured otherwise.
pub struct SimulatedNetwork {
    pub now: u64,
    pub all: Vec<Option<Machine>>,
    pub disks: Vec<SimulatedDisk>,
    pub configured: Vec<RouterId>,
    pub link: Link,
    pub points: FaultPoints,
    pub fleet: u64,
    pub rng: Rand64,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    instance_ids: u64,
    /// For each process the offset of its clock and its drift in millionths.
    clocks: Vec<(u64, i64)>,
    /// When each version was first seen. No earlier version may be in use a lease duration later.
    written: BTreeMap<(u64, u64), u64>,
    pub register_ids: BTreeSet<InstanceId>,
    pub violation: Option<String>,
}

pub fn router(n: usize) -> RouterId {
    RouterId(1_000 + n as u64)
}

/// A router's disk with fault injection. The last field is the fault that killed the process during a write.
struct FaultyDisk<'a>(&'a mut SimulatedDisk, &'a mut FaultPoints, usize, Option<Fault>);
impl AcceptorStorage<RegisterState<Text>> for FaultyDisk<'_> {
    fn persist(&mut self, state: &AcceptorState<RegisterState<Text>>) -> Result<(), AcceptorError> {
        let n = self.2;
        match self.1.next_fault(|| format!("r{n} writes its state")) {
            Some(f @ (Fault::KilledBefore | Fault::Half)) => {
                self.0.torn |= f == Fault::Half;
                self.3 = Some(f);
                return Err(AcceptorError::WriteFailed);
            }
            Some(Fault::KilledAfter) => self.3 = Some(Fault::KilledAfter),
            Some(Fault::Error) => return Err(AcceptorError::WriteFailed),
            Some(Fault::SaidDone) => return Ok(()),
            _ => {}
        }
        self.0.persist(state)
    }
}

impl SimulatedNetwork {
    pub fn new(seed: u64, routers: usize, acceptors: usize) -> Self {
        let mut network = SimulatedNetwork {
            now: 1_000 * S,
            all: (0..routers).map(|_| None).collect(),
            disks: Vec::new(),
            configured: (0..acceptors).map(router).collect(),
            link: lossy(0.0),
            points: FaultPoints::default(),
            fleet: FLEET,
            rng: Rand64::new(u128::from(seed)),
            events: BTreeMap::new(),
            next: 0,
            instance_ids: 0,
            clocks: vec![(0, 0); routers],
            written: BTreeMap::new(),
            register_ids: BTreeSet::new(),
            violation: None,
        };
        for n in 0..routers {
            let id = InstanceId(500_000 + n as u64);
            network.disks.push(SimulatedDisk { id, state: None, torn: false, behavior: DiskBehavior::Works });
            network.start(n);
        }
        network
    }

    /// The local clock of a process, which drifts by at most 0.45 thousandths.
    fn clock(&self, n: usize, at: u64) -> u64 {
        let (offset, drift_ppm) = self.clocks[n];
        let elapsed = at as i64;
        offset + (elapsed + elapsed * drift_ppm / 1_000_000) as u64
    }

    /// The true time at which the local clock of a process shows `local`.
    fn true_time(&self, n: usize, local: u64) -> u64 {
        let (offset, drift_ppm) = self.clocks[n];
        let elapsed = local.saturating_sub(offset) as i128;
        ((elapsed * 1_000_000 + 999_999) / (1_000_000 + i128::from(drift_ppm))) as u64 + 1
    }

    pub fn start(&mut self, n: usize) {
        self.instance_ids += 1;
        let instance_id = InstanceId(self.instance_ids * 7919 + self.rng.rand_u64() % 1000);
        self.clocks[n] = (self.rng.rand_range(0..1 << 40), self.rng.rand_range(0..900) as i64 - 450);
        let disk = &self.disks[n];
        let has_replica = self.configured.contains(&router(n)) || disk.state.is_some();
        let found = if disk.torn { Err(AcceptorError::Corrupt) } else { Ok(disk.state.clone()) };
        let replica = has_replica.then(|| Replica::new(self.fleet, disk.id, found));
        let now = self.clock(n, self.now);
        let mut register =
            Register::new(now, (router(n), instance_id), &self.configured, has_replica, self.rng.rand_u64());
        register.set_acceptor_error(replica.as_ref().and_then(Replica::error));
        let next = self.true_time(n, register.next_wakeup());
        self.all[n] = Some(Machine { register, replica, paused_until: 0 });
        self.push(next, Event::Wake(n, instance_id));
    }

    pub fn kill(&mut self, n: usize) {
        self.all[n] = None;
    }

    /// Replaces the disk by a new, empty one, which the next start of the process uses.
    pub fn replace_disk(&mut self, n: usize) {
        self.instance_ids += 1;
        let id = InstanceId(600_000 + self.instance_ids);
        self.disks[n] = SimulatedDisk { id, state: None, torn: false, behavior: DiskBehavior::Works };
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert((at.max(self.now), self.next), event);
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.all.len())
            .find(|n| self.all[*n].as_ref().is_some_and(|m| m.register.is_leader(self.clock(*n, self.now))))
    }

    pub fn state_of(&self, n: usize) -> Option<RegisterState<Text>> {
        let now = self.clock(n, self.now);
        self.all[n].as_ref()?.register.lease(now).map(|h| h.state.clone())
    }

    pub fn unavailable_reason(&self, n: usize) -> Option<Unavailable> {
        let now = self.clock(n, self.now);
        self.all[n].as_ref()?.register.unavailable_reason(now)
    }

    /// Has the leader propose a new value. Returns whether there is a leader.
    pub fn propose(&mut self, text: &str) -> bool {
        let Some(n) = self.leader() else { return false };
        let now = self.clock(n, self.now);
        let Some(m) = self.all[n].as_mut() else { return false };
        let Some(number) = m.register.lease(now).map(|h| h.state.version) else { return false };
        m.register.propose(now, number, text.to_owned());
        let (next, instance_id) = (m.register.next_wakeup(), m.register.instance_id());
        let at = self.true_time(n, next);
        self.push(at, Event::Wake(n, instance_id));
        true
    }

    /// Whether all running routers hold a lease on this value.
    pub fn all_hold(&self, text: &str) -> bool {
        let alive = (0..self.all.len()).filter(|n| self.all[*n].is_some());
        alive.into_iter().all(|n| self.state_of(n).is_some_and(|a| a.value == text))
    }

    fn crash_and_restart(&mut self, n: usize) {
        self.kill(n);
        // The supervisor restarts the process.
        self.push(self.now + S, Event::Start(n));
    }

    /// Handles one event at a process, with faults injected at its disk and network operations.
    fn process(&mut self, n: usize, message: Option<Vec<u8>>) {
        let local = self.clock(n, self.now);
        let alive: Vec<bool> = self.all.iter().map(|m| m.is_some()).collect();
        let Some(machine) = self.all[n].as_mut() else { return };
        let mut message = message;
        let mut again = false;
        if let Some(bytes) = &mut message {
            match self.points.next_fault(|| format!("r{n} receives kind {}", bytes[1])) {
                Some(Fault::KilledBefore) => return self.crash_and_restart(n),
                Some(Fault::KilledAfter) => {
                    // The message is handled and the disk written, but no response is sent.
                    self.turn(n, local, message.as_deref(), &alive);
                    return self.crash_and_restart(n);
                }
                Some(Fault::Error | Fault::SaidDone) => return,
                Some(Fault::Half) => bytes.truncate(bytes.len() / 2),
                Some(Fault::Late) => {
                    machine.paused_until = self.now + 4 * S;
                    let at = machine.paused_until;
                    return self.push(at, Event::Message(n, bytes.clone()));
                }
                Some(Fault::Twice) => again = true,
                None => {}
            }
        }
        for _ in 0..1 + usize::from(again) {
            let Some(messages) = self.turn(n, local, message.as_deref(), &alive) else { return };
            if self.send(n, messages).is_err() {
                return;
            }
        }
        self.check_safety();
    }

    /// Sends messages one by one. Fails if a fault kills the process.
    fn send(&mut self, n: usize, messages: Vec<(RouterId, Vec<u8>)>) -> Result<(), Killed> {
        for (to, mut bytes) in messages {
            let (mut times, mut late) = (1, 0);
            match self.points.next_fault(|| format!("r{n} sends kind {}", bytes[1])) {
                Some(Fault::KilledBefore) => {
                    self.crash_and_restart(n);
                    return Err(Killed);
                }
                Some(Fault::KilledAfter) => {
                    self.post(n, to, bytes, 0);
                    self.crash_and_restart(n);
                    return Err(Killed);
                }
                Some(Fault::Error | Fault::SaidDone) => times = 0,
                Some(Fault::Half) => bytes.truncate(bytes.len() / 2),
                Some(Fault::Late) => late = 2 * S,
                Some(Fault::Twice) => times = 2,
                None => {}
            }
            for _ in 0..times {
                self.post(n, to, bytes.clone(), late);
            }
        }
        Ok(())
    }

    fn post(&mut self, from: usize, to: RouterId, message: Vec<u8>, late: u64) {
        let to = (to.0 - 1_000) as usize;
        if let Some(took) = (self.link)(self.now, from, to, &mut self.rng) {
            self.push(self.now + late + took, Event::Message(to, message));
        }
    }

    /// Lets a process handle a message or wake up. Returns its messages, or `None` if it crashed during a
    /// write.
    #[allow(clippy::type_complexity)] // messages with their receivers, as the register returns them
    fn turn(
        &mut self,
        n: usize,
        now: u64,
        message: Option<&[u8]>,
        alive: &[bool],
    ) -> Option<Vec<(RouterId, Vec<u8>)>> {
        let remembered: Vec<_> =
            self.all.iter().flatten().filter_map(|m| m.register.highest_seen()).collect();
        let machine = self.all[n].as_mut()?;
        let mut out = message::MessageWriter::new(router(n));
        let mut disk = FaultyDisk(&mut self.disks[n], &mut self.points, n, None);
        match message {
            Some(message) if message::is_acceptor_request(message) => {
                if let Some(replica) = &mut machine.replica {
                    let _ = message::handle_acceptor_request(message, replica, &mut disk, &mut out);
                    machine.register.set_acceptor_error(replica.error());
                }
            }
            Some(message) => {
                let register = &mut machine.register;
                let _ = message::handle_register_message(message, register, now, &remembered, &mut out);
            }
            None => {
                let live = |r: RouterId| alive[(r.0 - 1_000) as usize];
                machine.register.wake(now, &live, &mut out);
            }
        }
        if disk.3.is_some() {
            self.crash_and_restart(n);
            return None;
        }
        self.schedule_wakeup(n);
        Some(out.messages)
    }

    fn schedule_wakeup(&mut self, n: usize) {
        let Some(machine) = self.all[n].as_ref() else { return };
        let (next, instance_id) = (machine.register.next_wakeup(), machine.register.instance_id());
        let at = self.true_time(n, next);
        self.push(at, Event::Wake(n, instance_id));
    }

    /// Checks that no router uses a version longer than a lease duration after a later one was committed, and
    /// that there is only one register.
    fn check_safety(&mut self) {
        for n in 0..self.all.len() {
            let Some(agreed) = self.state_of(n) else { continue };
            self.register_ids.insert(agreed.register_id);
            if self.register_ids.len() > 1 && self.fleet == FLEET && self.violation.is_none() {
                self.violation = Some(format!("two registers at {} ms", self.now / MS));
            }
            let key = (agreed.register_id.0, agreed.version);
            self.written.entry(key).or_insert(self.now);
            let later = self.written.range((key.0, key.1 + 1)..(key.0, u64::MAX)).next();
            if let Some(((_, number), at)) = later
                && self.now > at + LEASE_DURATION
                && self.violation.is_none()
            {
                let (now, at) = (self.now / MS, at / MS);
                self.violation = Some(format!(
                    "r{n} uses version {} at {now} ms, superseded by {number} at {at} ms",
                    key.1
                ));
            }
        }
    }

    /// The process and message of an event, unless it is obsolete or the process is paused.
    fn due(&mut self, event: Event) -> Option<(usize, Option<Vec<u8>>)> {
        match event {
            Event::Start(n) => {
                if self.all[n].is_none() {
                    self.start(n);
                }
                None
            }
            Event::Wake(n, instance_id) => {
                let machine = self.all[n].as_ref()?;
                let is_early = self.clock(n, self.now) < machine.register.next_wakeup();
                if machine.register.instance_id() != instance_id || is_early {
                    return None;
                }
                if self.now < machine.paused_until {
                    self.push(machine.paused_until, Event::Wake(n, instance_id));
                    return None;
                }
                Some((n, None))
            }
            Event::Message(n, message) => {
                let machine = self.all[n].as_ref()?;
                if self.now < machine.paused_until {
                    self.push(machine.paused_until, Event::Message(n, message));
                    return None;
                }
                Some((n, Some(message)))
            }
        }
    }

    /// Runs until the condition holds. Returns whether it held within the time.
    pub fn run_until(&mut self, by: u64, holds: impl Fn(&SimulatedNetwork) -> bool) -> bool {
        let by = self.now + by;
        while let Some((&(at, k), _)) = self.events.iter().next() {
            if at > by {
                break;
            }
            let event = self.events.remove(&(at, k)).expect("just seen");
            self.now = at;
            let Some((n, message)) = self.due(event) else { continue };
            self.process(n, message);
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

    pub fn pause(&mut self, n: usize, time: u64) {
        if let Some(m) = self.all[n].as_mut() {
            m.paused_until = self.now + time;
        }
    }
}
