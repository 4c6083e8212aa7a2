//! Registers on a simulated network whose disks and sockets are numbered fault points: simulated time, clocks
//! that drift, faults by a function or at a point. One seed gives one run.
#![allow(dead_code)] // each table of cases uses its own part
use applepond_consensus::{
    AcceptorError, AcceptorState, AcceptorStorage, LEASE_DURATION, Register, RegisterState, Replica,
    Unavailable, message,
};
use applepond_membership::{InstanceId, RouterId};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// The fleet that all of them are of, at first.
pub const FLEET: u64 = 7;

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
/// What they agree on in these tests.
pub type Text = String;

/// What a disk does with a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskBehavior {
    Works,
    Fails,
    /// Says that it is kept, and nothing is.
    Lies,
}

/// A disk outlasts its process.
#[derive(Clone, Debug)]
pub struct SimulatedDisk {
    pub id: InstanceId,
    pub vote: Option<AcceptorState<RegisterState<Text>>>,
    pub torn: bool,
    pub does: DiskBehavior,
}

impl AcceptorStorage<RegisterState<Text>> for SimulatedDisk {
    fn persist(&mut self, vote: &AcceptorState<RegisterState<Text>>) -> Result<(), AcceptorError> {
        match self.does {
            DiskBehavior::Works => self.vote = Some(vote.clone()),
            DiskBehavior::Fails => return Err(AcceptorError::WriteFailed),
            DiskBehavior::Lies => {}
        }
        Ok(())
    }
}

/// What becomes of the process, or of what it did, at a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    KilledBefore,
    KilledAfter,
    Error,
    /// A write that is there in part; a message that is cut.
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
    fn pass(&mut self, what: impl FnOnce() -> String) -> Option<Fault> {
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
    /// It stands still until then.
    pub stopped: u64,
}

enum Event {
    Wake(usize, InstanceId),
    Message(usize, Vec<u8>),
    Start(usize),
}

/// A fault has killed the process in its turn.
struct Killed;

pub type Link = Box<dyn FnMut(u64, usize, usize, &mut Rand64) -> Option<u64>>;

/// A network that loses this part and takes 0.2 to 1 ms.
pub fn lossy(part: f64) -> Link {
    Box::new(move |_, _, _, rng| (rng.rand_float() >= part).then(|| 200 + rng.rand_range(0..800)))
}

/// Routers whose first three (or as configured) are its replicas; one seed, one run.
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
    /// Of each process, where its clock began and how much too fast it runs, in a millionth.
    clocks: Vec<(u64, i64)>,
    /// When each value was first known to be written: nothing before it may count a lease later.
    written: BTreeMap<(u64, u64), u64>,
    pub register_ids: BTreeSet<InstanceId>,
    pub broken: Option<String>,
}

pub fn router(n: usize) -> RouterId {
    RouterId(1_000 + n as u64)
}

/// The disk of a router during its turn, with the faults at its points, and the one that killed it there.
struct At<'a>(&'a mut SimulatedDisk, &'a mut FaultPoints, usize, Option<Fault>);
impl AcceptorStorage<RegisterState<Text>> for At<'_> {
    fn persist(&mut self, vote: &AcceptorState<RegisterState<Text>>) -> Result<(), AcceptorError> {
        let n = self.2;
        match self.1.pass(|| format!("r{n} writes its state")) {
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
        self.0.persist(vote)
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
            broken: None,
        };
        for n in 0..routers {
            let id = InstanceId(500_000 + n as u64);
            network.disks.push(SimulatedDisk { id, vote: None, torn: false, does: DiskBehavior::Works });
            network.start(n);
        }
        network
    }

    /// A clock of its own, at most 0.45 thousandths off the true one.
    fn clock(&self, n: usize, at: u64) -> u64 {
        let (begun, parts) = self.clocks[n];
        let run = at as i64;
        begun + (run + run * parts / 1_000_000) as u64
    }

    /// When the true clock shows what this one does then.
    fn truly(&self, n: usize, local: u64) -> u64 {
        let (begun, parts) = self.clocks[n];
        let run = local.saturating_sub(begun) as i128;
        ((run * 1_000_000 + 999_999) / (1_000_000 + i128::from(parts))) as u64 + 1
    }

    pub fn start(&mut self, n: usize) {
        self.instance_ids += 1;
        let instance_id = InstanceId(self.instance_ids * 7919 + self.rng.rand_u64() % 1000);
        self.clocks[n] = (self.rng.rand_range(0..1 << 40), self.rng.rand_range(0..900) as i64 - 450);
        let disk = &self.disks[n];
        let has_replica = self.configured.contains(&router(n)) || disk.vote.is_some();
        let found = if disk.torn { Err(AcceptorError::Corrupt) } else { Ok(disk.vote.clone()) };
        let replica = has_replica.then(|| Replica::new(self.fleet, disk.id, found));
        let now = self.clock(n, self.now);
        let mut register =
            Register::new(now, (router(n), instance_id), &self.configured, has_replica, self.rng.rand_u64());
        register.set_acceptor_error(replica.as_ref().and_then(Replica::error));
        let next = self.truly(n, register.next_wakeup());
        self.all[n] = Some(Machine { register, replica, stopped: 0 });
        self.push(next, Event::Wake(n, instance_id));
    }

    pub fn kill(&mut self, n: usize) {
        self.all[n] = None;
    }

    /// The disk is lost: there is another one, empty, when the process starts again.
    pub fn lose(&mut self, n: usize) {
        self.instance_ids += 1;
        let id = InstanceId(600_000 + self.instance_ids);
        self.disks[n] = SimulatedDisk { id, vote: None, torn: false, does: DiskBehavior::Works };
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

    /// The leader proposes this in place of the current value.
    pub fn propose(&mut self, text: &str) -> bool {
        let Some(n) = self.leader() else { return false };
        let now = self.clock(n, self.now);
        let Some(m) = self.all[n].as_mut() else { return false };
        let Some(number) = m.register.lease(now).map(|h| h.state.version) else { return false };
        m.register.propose(now, number, text.to_owned());
        let (next, instance_id) = (m.register.next_wakeup(), m.register.instance_id());
        let at = self.truly(n, next);
        self.push(at, Event::Wake(n, instance_id));
        true
    }

    /// All that are there hold this.
    pub fn all_hold(&self, text: &str) -> bool {
        let there = (0..self.all.len()).filter(|n| self.all[*n].is_some());
        there.into_iter().all(|n| self.state_of(n).is_some_and(|a| a.value == text))
    }

    fn die(&mut self, n: usize) {
        self.kill(n);
        // Its supervisor starts it again.
        self.push(self.now + S, Event::Start(n));
    }

    /// One event at a process; what it does with its disk and its socket are points.
    fn play(&mut self, n: usize, message: Option<Vec<u8>>) {
        let local = self.clock(n, self.now);
        let there: Vec<bool> = self.all.iter().map(|m| m.is_some()).collect();
        let Some(machine) = self.all[n].as_mut() else { return };
        let mut message = message;
        let mut again = false;
        if let Some(bytes) = &mut message {
            match self.points.pass(|| format!("r{n} receives kind {}", bytes[1])) {
                Some(Fault::KilledBefore) => return self.die(n),
                Some(Fault::KilledAfter) => {
                    // It is done with the message and its disk, and nothing of it is heard.
                    self.turn(n, local, message.as_deref(), &there);
                    return self.die(n);
                }
                Some(Fault::Error | Fault::SaidDone) => return,
                Some(Fault::Half) => bytes.truncate(bytes.len() / 2),
                Some(Fault::Late) => {
                    machine.stopped = self.now + 4 * S;
                    let at = machine.stopped;
                    return self.push(at, Event::Message(n, bytes.clone()));
                }
                Some(Fault::Twice) => again = true,
                None => {}
            }
        }
        for _ in 0..1 + usize::from(again) {
            let Some(messages) = self.turn(n, local, message.as_deref(), &there) else { return };
            if self.send(n, messages).is_err() {
                return;
            }
        }
        self.judge();
    }

    /// Sends messages one by one; an error: a fault has killed the process meanwhile.
    fn send(&mut self, n: usize, messages: Vec<(RouterId, Vec<u8>)>) -> Result<(), Killed> {
        for (to, mut bytes) in messages {
            let (mut times, mut late) = (1, 0);
            match self.points.pass(|| format!("r{n} sends kind {}", bytes[1])) {
                Some(Fault::KilledBefore) => {
                    self.die(n);
                    return Err(Killed);
                }
                Some(Fault::KilledAfter) => {
                    self.post(n, to, bytes, 0);
                    self.die(n);
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

    /// The machine's own turn; its messages, or none where it died at its disk.
    #[allow(clippy::type_complexity)] // messages by whom they are for, as the machine gives them
    fn turn(
        &mut self,
        n: usize,
        now: u64,
        message: Option<&[u8]>,
        there: &[bool],
    ) -> Option<Vec<(RouterId, Vec<u8>)>> {
        let remembered: Vec<_> =
            self.all.iter().flatten().filter_map(|m| m.register.highest_seen()).collect();
        let machine = self.all[n].as_mut()?;
        let mut out = message::MessageWriter::new(router(n));
        let mut disk = At(&mut self.disks[n], &mut self.points, n, None);
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
                let live = |r: RouterId| there[(r.0 - 1_000) as usize];
                machine.register.wake(now, &live, &mut out);
            }
        }
        if disk.3.is_some() {
            self.die(n);
            return None;
        }
        self.schedule_wakeup(n);
        Some(out.messages)
    }

    fn schedule_wakeup(&mut self, n: usize) {
        let Some(machine) = self.all[n].as_ref() else { return };
        let (next, instance_id) = (machine.register.next_wakeup(), machine.register.instance_id());
        let at = self.truly(n, next);
        self.push(at, Event::Wake(n, instance_id));
    }

    /// Nothing counts anywhere a lease after something else was written, and all is of one register.
    fn judge(&mut self) {
        for n in 0..self.all.len() {
            let Some(agreed) = self.state_of(n) else { continue };
            self.register_ids.insert(agreed.register_id);
            if self.register_ids.len() > 1 && self.fleet == FLEET && self.broken.is_none() {
                self.broken = Some(format!("two registers at {} ms", self.now / MS));
            }
            let key = (agreed.register_id.0, agreed.version);
            self.written.entry(key).or_insert(self.now);
            let later = self.written.range((key.0, key.1 + 1)..(key.0, u64::MAX)).next();
            if let Some(((_, number), at)) = later
                && self.now > at + LEASE_DURATION
                && self.broken.is_none()
            {
                let (now, at) = (self.now / MS, at / MS);
                self.broken = Some(format!("r{n} goes by {} at {now} ms, {number} since {at}", key.1));
            }
        }
    }

    /// Whose turn an event is, and with which message, unless it is over or has to wait.
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
                if self.now < machine.stopped {
                    self.push(machine.stopped, Event::Wake(n, instance_id));
                    return None;
                }
                Some((n, None))
            }
            Event::Message(n, message) => {
                let machine = self.all[n].as_ref()?;
                if self.now < machine.stopped {
                    self.push(machine.stopped, Event::Message(n, message));
                    return None;
                }
                Some((n, Some(message)))
            }
        }
    }

    /// Plays until the condition holds; whether it did by then.
    pub fn until(&mut self, by: u64, holds: impl Fn(&SimulatedNetwork) -> bool) -> bool {
        let by = self.now + by;
        while let Some((&(at, k), _)) = self.events.iter().next() {
            if at > by {
                break;
            }
            let event = self.events.remove(&(at, k)).expect("just seen");
            self.now = at;
            let Some((n, message)) = self.due(event) else { continue };
            self.play(n, message);
            if holds(self) {
                return true;
            }
        }
        self.now = by;
        holds(self)
    }

    pub fn pass(&mut self, time: u64) {
        self.until(time, |_| false);
    }

    pub fn stop(&mut self, n: usize, time: u64) {
        if let Some(m) = self.all[n].as_mut() {
            m.stopped = self.now + time;
        }
    }
}
