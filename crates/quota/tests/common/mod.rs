//! Quota services on a simulated network, three of them replicas; the sum of what is in force is judged at
//! each step.
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
/// 1,000 units a second; a fifth of it is floors.
pub const TOTAL: Amount = 1_000 * UNIT;

#[derive(Default)]
pub struct Disk(pub Option<AcceptorState<Term>>);

impl AcceptorStorage<Term> for Disk {
    fn persist(&mut self, vote: &AcceptorState<Term>) -> Result<(), AcceptorError> {
        self.0 = Some(vote.clone());
        Ok(())
    }
}

pub struct Process {
    pub service: QuotaService,
    pub begins: u64,
    pub rate: f64,
    pub stopped: u64,
    pub runs: bool,
    pub mail: VecDeque<Vec<u8>>,
    pub disk: Disk,
    owed: f64,
    /// Since when it has not been heard by the others, who take it for gone after a while.
    pub silent: Option<u64>,
}

pub struct World {
    pub now: u64,
    pub rng: Rand64,
    pub all: Vec<Process>,
    pub net: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    pub cut: BTreeSet<(usize, usize)>,
    pub lost: f64,
    /// Everybody takes everybody else for gone.
    pub deluded: bool,
    /// Demand moves from all to one and back.
    pub moves: bool,
    pub guards: Guards,
    /// What was broken first, where a guard is out; else it panics.
    pub broken: Option<String>,
    /// Units spent in the steps of the last second.
    window: VecDeque<u64>,
    /// Units a second that each would spend, instead.
    pub wants: Vec<f64>,
    /// Units spent so far, and messages sent.
    pub spent: u64,
    pub messages: u64,
    pub next: u64,
    pub instance_ids: u64,
}

pub fn budget(routers: usize) -> Budget {
    Budget { total: TOTAL, floor: TOTAL / 5 / routers as u64 }
}

pub fn name(n: usize) -> RouterId {
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
        router: name(n),
        instance_id: InstanceId(instance_id),
        replicas: (0..REPLICAS).map(name).collect(),
        routers: routers as u64,
        budgets: vec![budget],
    };
    QuotaService::new(now, config, (n < REPLICAS).then(|| Acceptor::new(FLEET, Ok(found))), instance_id)
}

impl World {
    pub fn new(seed: u64, routers: usize) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        let all = (0..routers).map(|n| {
            let (begins, rate) = (rng.rand_range(0..1 << 40), 1.0 + rng.rand_float() * CLOCK_DRIFT * 0.9);
            let service = service(begins, (n, routers), n as u64 + 1, None);
            let (mail, disk) = (VecDeque::new(), Disk::default());
            Process { service, begins, rate, stopped: 0, runs: true, mail, disk, owed: 0.0, silent: None }
        });
        let all = all.collect();
        let (net, cut) = (BTreeMap::new(), BTreeSet::new());
        World {
            now: 0,
            rng,
            all,
            net,
            cut,
            lost: 0.0,
            deluded: false,
            moves: false,
            guards: Guards::ALL,
            broken: None,
            window: VecDeque::new(),
            wants: Vec::new(),
            spent: 0,
            messages: 0,
            next: 0,
            instance_ids: routers as u64,
        }
    }

    pub fn clock(&self, n: usize) -> u64 {
        self.all[n].begins + (self.now as f64 * self.all[n].rate) as u64
    }

    /// Takes guards out everywhere.
    pub fn without(mut self, guards: Guards) -> Self {
        self.guards = guards;
        for n in 0..self.all.len() {
            let now = self.clock(n);
            let fresh = service(now, (n, self.all.len()), n as u64 + 1, None);
            self.all[n].service = fresh.with_guards(guards);
        }
        self
    }

    pub fn kill(&mut self, n: usize) {
        self.all[n].runs = false;
        self.all[n].mail.clear();
    }

    /// Starts again under its name, with what its disk holds.
    pub fn start(&mut self, n: usize) {
        self.instance_ids += 1;
        let (now, found) = (self.clock(n), self.all[n].disk.0.clone());
        self.all[n].service = service(now, (n, self.all.len()), self.instance_ids, found);
        (self.all[n].runs, self.all[n].stopped) = (true, 0);
    }

    pub fn stop(&mut self, n: usize, time: u64) {
        self.all[n].stopped = self.now + time;
    }

    /// What each takes for there: right about 3 s late, and wrong now and then.
    pub fn live(&mut self) -> Vec<bool> {
        let now = self.now;
        for process in &mut self.all {
            let there = process.runs && process.stopped <= now;
            process.silent = if there { None } else { process.silent.or(Some(now)) };
        }
        let gone = |p: &Process| p.silent.is_some_and(|since| now > since + 3 * S);
        let wrong: Vec<bool> =
            (0..self.all.len()).map(|_| self.lost > 0.0 && self.rng.rand_float() < 0.01).collect();
        self.all.iter().zip(wrong).map(|(p, wrong)| gone(p) == wrong).collect()
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let before = self.spent;
        let live = self.live();
        let live = |of: RouterId| live[of.0 as usize];
        self.deliver();
        for n in 0..self.all.len() {
            if self.all[n].runs && self.all[n].stopped <= self.now {
                self.spend(n);
                let messages = self.turn(n, &live);
                self.post(n, messages);
            }
        }
        self.window.push_back(self.spent - before);
        if self.window.len() > (S / STEP) as usize {
            self.window.pop_front();
        }
        self.judge();
    }

    /// Messages whose time has come, as far as their receivers run and have room for them.
    fn deliver(&mut self) {
        while let Some(entry) = self.net.first_entry().filter(|e| e.key().0 <= self.now) {
            let (to, message) = entry.remove();
            if self.all[to].runs && self.all[to].mail.len() < 200 {
                self.all[to].mail.push_back(message);
            }
        }
    }

    /// All want more than their share, or one alone wants all there is, in turn.
    fn spend(&mut self, n: usize) {
        let (now, routers) = (self.clock(n), self.all.len());
        let turn = (self.now / (2 * S)) as usize;
        let wants = match (self.wants.get(n), self.moves && turn % 2 == 1) {
            (Some(wants), _) => *wants,
            (None, true) if turn * 7 % routers == n => 1_200.0,
            (None, true) => 0.0,
            (None, false) => 8_000.0 / routers as f64,
        };
        let process = &mut self.all[n];
        process.owed += wants * STEP as f64 / S as f64;
        while process.owed >= 1.0 {
            process.owed -= 1.0;
            self.spent += u64::from(process.service.lessee.spend(now, 0, UNIT));
        }
    }

    /// What a process does with its messages and when it is time, and the messages that it sends.
    fn turn(&mut self, n: usize, live: &dyn Fn(RouterId) -> bool) -> Vec<(RouterId, Vec<u8>)> {
        let now = self.clock(n);
        let deluded = self.deluded;
        let live = |of: RouterId| live(of) && !deluded;
        let mut out = MessageWriter::new(name(n));
        let Process { service, mail, disk, .. } = &mut self.all[n];
        for message in std::mem::take(mail) {
            handle_message(&message, now, service, disk, &live, &mut out).expect("whole");
        }
        if now >= service.next_wakeup() {
            service.wake(now, &live, &mut out);
        }
        out.messages
    }

    /// Messages on their way: lost, late or twice as the world has it.
    fn post(&mut self, n: usize, messages: Vec<(RouterId, Vec<u8>)>) {
        for (to, message) in messages {
            let to = to.0 as usize;
            self.messages += 1;
            if self.cut.contains(&(n, to)) || self.rng.rand_float() < self.lost {
                continue;
            }
            let late = self.lost > 0.0 && self.rng.rand_float() < 0.02;
            let takes =
                if late { self.rng.rand_range(0..60 * S) } else { MS + self.rng.rand_range(0..20 * MS) };
            for _ in 0..1 + usize::from(self.lost > 0.0 && self.rng.rand_float() < 0.05) {
                self.next += 1;
                self.net.insert((self.now + takes, self.next), (to, message.clone()));
            }
        }
    }

    /// Never shares above the total in force, nor more spent in a second than it and the burst.
    fn judge(&mut self) {
        let (sum, spent) = (self.sum(), self.window.iter().sum::<u64>() * UNIT);
        let burst = (TOTAL as f64 * (CLOCK_DRIFT + BURST_DURATION as f64 / S as f64)) as u64
            + MIN_BURST * self.all.len() as u64;
        if sum > TOTAL || spent > TOTAL + burst {
            let at = self.now as f64 / S as f64;
            let what =
                format!("{at:.2} s: {} units in force, {} spent in a second", sum / UNIT, spent / UNIT);
            assert_ne!(self.guards, Guards::ALL, "{what}");
            self.broken.get_or_insert(what);
        }
    }

    pub fn sum(&self) -> Amount {
        let share =
            |n: usize| if self.all[n].runs { self.all[n].service.lessee.share(self.clock(n), 0) } else { 0 };
        (0..self.all.len()).map(share).sum()
    }

    pub fn allocators(&self) -> Vec<usize> {
        (0..self.all.len())
            .filter(|n| self.all[*n].runs && self.all[*n].service.is_allocator(self.clock(*n)))
            .collect()
    }

    pub fn pass(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// µs until this part of the total is in force.
    pub fn until(&mut self, share: u64, most: u64) -> Option<u64> {
        let begun = self.now;
        while self.now < begun + most {
            self.step();
            if self.sum() >= TOTAL * share / 100 {
                return Some(self.now - begun);
            }
        }
        None
    }
}
