//! A simulated network of quota services, three of them replicas, that checks the sum of the shares in force
//! after each step.
#![allow(dead_code)] // each table of cases uses its own part
use applepond_consensus::{Acceptor, AcceptorError, AcceptorState, AcceptorStorage};
use applepond_membership::{InstanceId, RouterId};
use applepond_quota::message::{MessageWriter, handle_message};
use applepond_quota::{
    Amount, BURST_DURATION, Budget, CLOCK_DRIFT, Guards, MIN_BURST, QuotaService, ServiceConfig, Term, UNIT,
};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
pub const STEP: u64 = 10 * MS;
pub const REPLICAS: usize = 3;
pub const FLEET: u64 = 9;
/// 1,000 units per second, of which a fifth is reserved for floors.
pub const TOTAL: Amount = 1_000 * UNIT;

#[derive(Default)]
pub struct Disk(pub Option<AcceptorState<Term>>);

impl AcceptorStorage<Term> for Disk {
    fn persist(&mut self, state: &AcceptorState<Term>) -> Result<(), AcceptorError> {
        self.0 = Some(state.clone());
        Ok(())
    }
}

pub struct Process {
    pub service: QuotaService,
    pub clock_offset: u64,
    pub clock_rate: f64,
    pub paused_until: u64,
    pub is_running: bool,
    pub inbox: VecDeque<Vec<u8>>,
    pub disk: Disk,
    unspent_demand: f64,
    /// Since when the process has been killed or paused. After 3 s the others consider it dead.
    pub silent_since: Option<u64>,
}

pub struct World {
    pub now: u64,
    pub rng: Rand64,
    pub all: Vec<Process>,
    pub net: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    pub cut_links: BTreeSet<(usize, usize)>,
    pub loss: f64,
    /// Every router considers all others dead.
    pub all_suspected: bool,
    /// Whether the demand alternates between all routers and a single one.
    pub demand_moves: bool,
    pub guards: Guards,
    /// The first violation, if a check is disabled. With all checks a violation panics.
    pub violation: Option<String>,
    /// The units spent in each step of the last second.
    window: VecDeque<u64>,
    /// The demand of each router in units per second, which overrides the default demand.
    pub demand: Vec<f64>,
    /// The total of units spent.
    pub spent: u64,
    /// The number of messages sent.
    pub messages: u64,
    pub next: u64,
    pub instance_ids: u64,
}

pub fn budget(routers: usize) -> Budget {
    Budget { total: TOTAL, floor: TOTAL / 5 / routers as u64 }
}

pub fn router(n: usize) -> RouterId {
    RouterId(n as u64)
}

pub fn service(
    now: u64,
    (n, routers): (usize, usize),
    instance_id: u64,
    found: Option<AcceptorState<Term>>,
) -> QuotaService {
    let budget = budget(routers);
    let config = ServiceConfig {
        router: router(n),
        instance_id: InstanceId(instance_id),
        replicas: (0..REPLICAS).map(router).collect(),
        routers: routers as u64,
        budgets: vec![budget],
    };
    QuotaService::new(now, config, (n < REPLICAS).then(|| Acceptor::new(FLEET, Ok(found))), instance_id)
}

impl World {
    pub fn new(seed: u64, routers: usize) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        let all = (0..routers).map(|n| {
            let (clock_offset, clock_rate) =
                (rng.rand_range(0..1 << 40), 1.0 + rng.rand_float() * CLOCK_DRIFT * 0.9);
            let service = service(clock_offset, (n, routers), n as u64 + 1, None);
            let (inbox, disk) = (VecDeque::new(), Disk::default());
            Process {
                service,
                clock_offset,
                clock_rate,
                paused_until: 0,
                is_running: true,
                inbox,
                disk,
                unspent_demand: 0.0,
                silent_since: None,
            }
        });
        let all = all.collect();
        let (net, cut_links) = (BTreeMap::new(), BTreeSet::new());
        World {
            now: 0,
            rng,
            all,
            net,
            cut_links,
            loss: 0.0,
            all_suspected: false,
            demand_moves: false,
            guards: Guards::ALL,
            violation: None,
            window: VecDeque::new(),
            demand: Vec::new(),
            spent: 0,
            messages: 0,
            next: 0,
            instance_ids: routers as u64,
        }
    }

    pub fn clock(&self, n: usize) -> u64 {
        self.all[n].clock_offset + (self.now as f64 * self.all[n].clock_rate) as u64
    }

    /// Replaces the set of enabled checks on all routers.
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        for n in 0..self.all.len() {
            let now = self.clock(n);
            let fresh = service(now, (n, self.all.len()), n as u64 + 1, None);
            self.all[n].service = fresh.with_guards(guards);
        }
        self
    }

    pub fn kill(&mut self, n: usize) {
        self.all[n].is_running = false;
        self.all[n].inbox.clear();
    }

    /// Restarts a router with the state on its disk.
    pub fn start(&mut self, n: usize) {
        self.instance_ids += 1;
        let (now, found) = (self.clock(n), self.all[n].disk.0.clone());
        self.all[n].service = service(now, (n, self.all.len()), self.instance_ids, found);
        (self.all[n].is_running, self.all[n].paused_until) = (true, 0);
    }

    pub fn pause(&mut self, n: usize, time: u64) {
        self.all[n].paused_until = self.now + time;
    }

    /// Which routers seem alive: correct after a delay of 3 s, with occasional errors if messages are lost.
    pub fn seemingly_alive(&mut self) -> Vec<bool> {
        let now = self.now;
        for process in &mut self.all {
            let is_alive = process.is_running && process.paused_until <= now;
            process.silent_since = if is_alive { None } else { process.silent_since.or(Some(now)) };
        }
        let seems_dead = |p: &Process| p.silent_since.is_some_and(|since| now > since + 3 * S);
        let wrong: Vec<bool> =
            (0..self.all.len()).map(|_| self.loss > 0.0 && self.rng.rand_float() < 0.01).collect();
        self.all.iter().zip(wrong).map(|(p, wrong)| seems_dead(p) == wrong).collect()
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let before = self.spent;
        let live = self.seemingly_alive();
        let live = |of: RouterId| live[of.0 as usize];
        self.deliver();
        for n in 0..self.all.len() {
            if self.all[n].is_running && self.all[n].paused_until <= self.now {
                self.spend(n);
                let messages = self.turn(n, &live);
                self.post(n, messages);
            }
        }
        self.window.push_back(self.spent - before);
        if self.window.len() > (S / STEP) as usize {
            self.window.pop_front();
        }
        self.check_limit();
    }

    /// Delivers the messages that are due to running receivers with space in their inboxes.
    fn deliver(&mut self) {
        while let Some(entry) = self.net.first_entry().filter(|e| e.key().0 <= self.now) {
            let (to, message) = entry.remove();
            if self.all[to].is_running && self.all[to].inbox.len() < 200 {
                self.all[to].inbox.push_back(message);
            }
        }
    }

    /// Spends by the demand: all routers exceed their shares, or in turn a single one demands more than the
    /// total.
    fn spend(&mut self, n: usize) {
        let (now, routers) = (self.clock(n), self.all.len());
        let turn = (self.now / (2 * S)) as usize;
        let demand = match (self.demand.get(n), self.demand_moves && turn % 2 == 1) {
            (Some(demand), _) => *demand,
            (None, true) if turn * 7 % routers == n => 1_200.0,
            (None, true) => 0.0,
            (None, false) => 8_000.0 / routers as f64,
        };
        let process = &mut self.all[n];
        process.unspent_demand += demand * STEP as f64 / S as f64;
        while process.unspent_demand >= 1.0 {
            process.unspent_demand -= 1.0;
            self.spent += u64::from(process.service.lessee.spend(now, 0, UNIT));
        }
    }

    /// Lets a process handle its messages and wake up. Returns the messages that it sends.
    fn turn(&mut self, n: usize, live: &dyn Fn(RouterId) -> bool) -> Vec<(RouterId, Vec<u8>)> {
        let now = self.clock(n);
        let all_suspected = self.all_suspected;
        let live = |of: RouterId| live(of) && !all_suspected;
        let mut out = MessageWriter::new(router(n));
        let Process { service, inbox, disk, .. } = &mut self.all[n];
        for message in std::mem::take(inbox) {
            handle_message(&message, now, service, disk, &live, &mut out).expect("whole");
        }
        if now >= service.next_wakeup() {
            service.wake(now, &live, &mut out);
        }
        out.messages
    }

    /// Puts messages on the network, where they may be lost, delayed or duplicated.
    fn post(&mut self, n: usize, messages: Vec<(RouterId, Vec<u8>)>) {
        for (to, message) in messages {
            let to = to.0 as usize;
            self.messages += 1;
            if self.cut_links.contains(&(n, to)) || self.rng.rand_float() < self.loss {
                continue;
            }
            let late = self.loss > 0.0 && self.rng.rand_float() < 0.02;
            let takes =
                if late { self.rng.rand_range(0..60 * S) } else { MS + self.rng.rand_range(0..20 * MS) };
            for _ in 0..1 + usize::from(self.loss > 0.0 && self.rng.rand_float() < 0.05) {
                self.next += 1;
                self.net.insert((self.now + takes, self.next), (to, message.clone()));
            }
        }
    }

    /// Checks that the shares in force do not exceed the total, and that the units spent in one second do not
    /// exceed the total plus the permitted burst.
    fn check_limit(&mut self) {
        let (sum, spent) = (self.sum(), self.window.iter().sum::<u64>() * UNIT);
        let burst = (TOTAL as f64 * (CLOCK_DRIFT + BURST_DURATION as f64 / S as f64)) as u64
            + MIN_BURST * self.all.len() as u64;
        if sum > TOTAL || spent > TOTAL + burst {
            let at = self.now as f64 / S as f64;
            let what =
                format!("{at:.2} s: {} units in force, {} spent in a second", sum / UNIT, spent / UNIT);
            assert_ne!(self.guards, Guards::ALL, "{what}");
            self.violation.get_or_insert(what);
        }
    }

    pub fn sum(&self) -> Amount {
        let share = |n: usize| {
            if self.all[n].is_running { self.all[n].service.lessee.share(self.clock(n), 0) } else { 0 }
        };
        (0..self.all.len()).map(share).sum()
    }

    pub fn allocators(&self) -> Vec<usize> {
        (0..self.all.len())
            .filter(|n| self.all[*n].is_running && self.all[*n].service.is_allocator(self.clock(*n)))
            .collect()
    }

    pub fn advance(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until this percentage of the total is in force. Returns the time that it took, in µs.
    pub fn time_until_shared(&mut self, share: u64, most: u64) -> Option<u64> {
        let started = self.now;
        while self.now < started + most {
            self.step();
            if self.sum() >= TOTAL * share / 100 {
                return Some(self.now - started);
            }
        }
        None
    }
}
