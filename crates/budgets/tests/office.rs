//! Twenty offices with three keepers among them on a paper network: who divides is agreed on while links are
//! cut, processes stand still, die and come back. One seed, one run.
use applepond_accord::{Ballot, Keeper, Trouble, Vote, Votes};
use applepond_budgets::*;
use applepond_members::{Birth, RouterId};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use test_case::test_case;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const STEP: u64 = 10 * MS;
const UNIT: u64 = 1_000_000;
const ROUTERS: usize = 20;
const KEEPERS: usize = 3;
const FLEET: u64 = 9;
const ROW: Row = Row { whole: 1_000 * UNIT, floor: 10 * UNIT };

#[derive(Clone)]
enum Letter {
    Promise(Ballot),
    Accept(Ballot, Term),
    Promised(Ballot, Ballot, Option<(Ballot, Term)>),
    Accepted(Ballot),
    Refused(Ballot, Ballot),
    Ask(Birth, (u64, u64), Vec<Amount>),
    Given(Birth, u64, Vec<Amount>),
    Elsewhere(RouterId),
}

#[derive(Default)]
struct Out(Vec<(RouterId, Letter)>);

impl Orders for Out {
    fn promise(&mut self, to: RouterId, ballot: Ballot) {
        self.0.push((to, Letter::Promise(ballot)));
    }
    fn accept(&mut self, to: RouterId, ballot: Ballot, term: &Term) {
        self.0.push((to, Letter::Accept(ballot, term.clone())));
    }
    fn promised(&mut self, to: RouterId, ballot: Ballot, before: Ballot, accepted: Option<(Ballot, Term)>) {
        self.0.push((to, Letter::Promised(ballot, before, accepted)));
    }
    fn accepted(&mut self, to: RouterId, ballot: Ballot) {
        self.0.push((to, Letter::Accepted(ballot)));
    }
    fn refused(&mut self, to: RouterId, ballot: Ballot, promised: Ballot) {
        self.0.push((to, Letter::Refused(ballot, promised)));
    }
    fn ask(&mut self, to: RouterId, birth: Birth, numbers: (u64, u64), need: &[Amount]) {
        self.0.push((to, Letter::Ask(birth, numbers, need.to_vec())));
    }
    fn given(&mut self, to: RouterId, birth: Birth, number: u64, extra: &[Amount]) {
        self.0.push((to, Letter::Given(birth, number, extra.to_vec())));
    }
    fn elsewhere(&mut self, to: RouterId, divides: RouterId) {
        self.0.push((to, Letter::Elsewhere(divides)));
    }
}

#[derive(Default)]
struct Disk(Option<Vote<Term>>);

impl Votes<Term> for Disk {
    fn keep(&mut self, vote: &Vote<Term>) -> Result<(), Trouble> {
        self.0 = Some(vote.clone());
        Ok(())
    }
}

struct Process {
    office: Office,
    begins: u64,
    rate: f64,
    stopped: u64,
    runs: bool,
    mail: VecDeque<(usize, Letter)>,
    disk: Disk,
    /// Since when it has not been heard by the others, who take it for gone after a while.
    silent: Option<u64>,
}

struct World {
    now: u64,
    rng: Rand64,
    all: Vec<Process>,
    net: BTreeMap<(u64, u64), (usize, usize, Letter)>,
    cut: BTreeSet<(usize, usize)>,
    lost: f64,
    /// Everybody takes everybody else for gone.
    deluded: bool,
    /// Demand moves from all to one and back.
    moves: bool,
    next: u64,
    births: u64,
}

fn name(n: usize) -> RouterId {
    RouterId(n as u64)
}

fn office(now: u64, n: usize, birth: u64, found: Option<Vote<Term>>) -> Office {
    let place = Place {
        name: name(n),
        birth: Birth(birth),
        keepers: (0..KEEPERS).map(name).collect(),
        routers: ROUTERS as u64,
        rows: vec![ROW],
    };
    Office::new(now, place, (n < KEEPERS).then(|| Keeper::new(FLEET, Ok(found))), birth)
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        let all = (0..ROUTERS).map(|n| {
            let (begins, rate) = (rng.rand_range(0..1 << 40), 1.0 + rng.rand_float() * DRIFT * 0.9);
            let office = office(begins, n, n as u64 + 1, None);
            let (mail, disk) = (VecDeque::new(), Disk::default());
            Process { office, begins, rate, stopped: 0, runs: true, mail, disk, silent: None }
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
            next: 0,
            births: ROUTERS as u64,
        }
    }

    fn clock(&self, n: usize) -> u64 {
        self.all[n].begins + (self.now as f64 * self.all[n].rate) as u64
    }

    fn kill(&mut self, n: usize) {
        self.all[n].runs = false;
        self.all[n].mail.clear();
    }

    /// Starts again under its name, with what its disk holds.
    fn start(&mut self, n: usize) {
        self.births += 1;
        let (now, found) = (self.clock(n), self.all[n].disk.0.clone());
        self.all[n].office = office(now, n, self.births, found);
        (self.all[n].runs, self.all[n].stopped) = (true, 0);
    }

    fn stop(&mut self, n: usize, time: u64) {
        self.all[n].stopped = self.now + time;
    }

    /// What each takes for there: right about 3 s late, and wrong now and then.
    fn live(&mut self) -> Vec<bool> {
        let now = self.now;
        for process in &mut self.all {
            let there = process.runs && process.stopped <= now;
            process.silent = if there { None } else { process.silent.or(Some(now)) };
        }
        let gone = |p: &Process| p.silent.is_some_and(|since| now > since + 3 * S);
        let wrong: Vec<bool> =
            (0..ROUTERS).map(|_| self.lost > 0.0 && self.rng.rand_float() < 0.01).collect();
        self.all.iter().zip(wrong).map(|(p, wrong)| gone(p) == wrong).collect()
    }

    fn step(&mut self) {
        self.now += STEP;
        let live = self.live();
        let live = |of: RouterId| live[of.0 as usize] && !self.deluded;
        while let Some(entry) = self.net.first_entry().filter(|e| e.key().0 <= self.now) {
            let (from, to, letter) = entry.remove();
            if self.all[to].runs && self.all[to].mail.len() < 200 {
                self.all[to].mail.push_back((from, letter));
            }
        }
        for n in 0..ROUTERS {
            let now = self.clock(n);
            let process = &mut self.all[n];
            if !process.runs || process.stopped > self.now {
                continue;
            }
            // All want more than their part, or one alone wants all there is, in turn.
            let turn = (self.now / (2 * S)) as usize;
            let wants = match self.moves && turn % 2 == 1 {
                true if turn * 7 % ROUTERS == n => 12,
                true => 0,
                false => 4,
            };
            for _ in 0..wants {
                process.office.holder.spend(now, 0, UNIT);
            }
            let mut out = Out::default();
            let Process { office, mail, disk, .. } = process;
            for (from, letter) in std::mem::take(mail) {
                let from = name(from);
                match letter {
                    Letter::Promise(ballot) => office.promise(from, ballot, disk, &mut out),
                    Letter::Accept(ballot, term) => office.accept(from, ballot, term, disk, &mut out),
                    Letter::Promised(ballot, before, accepted) => {
                        office.promised(now, from, (ballot, before), accepted, &live, &mut out);
                    }
                    Letter::Accepted(ballot) => office.accepted(now, from, ballot),
                    Letter::Refused(ballot, promised) => office.refused(now, ballot, promised),
                    Letter::Ask(birth, numbers, need) => {
                        office.asked(now, from, birth, numbers, &need, &mut out);
                    }
                    Letter::Given(birth, number, extra) => office.given(now, from, birth, number, &extra),
                    Letter::Elsewhere(divides) => office.elsewhere(now, divides, &live),
                }
            }
            if now >= office.next() {
                office.wake(now, &live, &mut out);
            }
            for (to, letter) in out.0 {
                let to = to.0 as usize;
                if self.cut.contains(&(n, to)) || self.rng.rand_float() < self.lost {
                    continue;
                }
                let late = self.lost > 0.0 && self.rng.rand_float() < 0.02;
                let takes =
                    if late { self.rng.rand_range(0..60 * S) } else { MS + self.rng.rand_range(0..20 * MS) };
                for _ in 0..1 + usize::from(self.lost > 0.0 && self.rng.rand_float() < 0.05) {
                    self.next += 1;
                    self.net.insert((self.now + takes, self.next), (n, to, letter.clone()));
                }
            }
        }
        let sum = self.sum();
        assert!(sum <= ROW.whole, "{:.2} s: parts of {} units", self.now as f64 / S as f64, sum / UNIT);
    }

    fn sum(&self) -> Amount {
        let part =
            |n: usize| if self.all[n].runs { self.all[n].office.holder.part(self.clock(n), 0) } else { 0 };
        (0..ROUTERS).map(part).sum()
    }

    fn dividers(&self) -> Vec<usize> {
        (0..ROUTERS).filter(|n| self.all[*n].runs && self.all[*n].office.is_divider(self.clock(*n))).collect()
    }

    fn pass(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// µs until this part of the whole is in force.
    fn until(&mut self, part: u64, most: u64) -> Option<u64> {
        let begun = self.now;
        while self.now < begun + most {
            self.step();
            if self.sum() >= ROW.whole * part / 100 {
                return Some(self.now - begun);
            }
        }
        None
    }
}

// From the start one divides, and after its death another, within the time of leases and of taking notice.
#[test]
fn one_divides_after_another() {
    let mut world = World::new(1);
    let first = world.until(95, 15 * S).expect("the whole is divided");
    let dividers = world.dividers();
    assert_eq!(dividers.len(), 1, "{dividers:?}");
    world.kill(dividers[0]);
    world.pass(3 * S);
    assert!(world.sum() <= 20 * ROW.floor, "all have fallen to their floors");
    let again = world.until(90, 15 * S).expect("another one divides");
    println!("divided after {first} us, anew after {} us", 3 * S + again);
    world.start(dividers[0]);
    world.pass(10 * S);
    assert_eq!(world.dividers().len(), 1);
}

// A minority of the keepers, or none: floors only, and all of it again once one is back with its disk.
#[test]
fn most_keepers_killed() {
    let mut world = World::new(2);
    world.until(95, 15 * S).expect("the whole is divided");
    world.kill(0);
    world.kill(1);
    world.pass(6 * S);
    assert!(world.sum() <= 20 * ROW.floor, "{}", world.sum() / UNIT);
    world.start(1);
    assert!(world.until(90, 20 * S).is_some());
}

// Keepers cut from each other one way, each way round: one divides, where two still hear each other.
#[test_case(&[(0, 1), (0, 2)], 1; "one is heard by no keeper")]
#[test_case(&[(1, 0), (2, 0)], 1; "one hears no keeper")]
#[test_case(&[(0, 1), (1, 2), (2, 0)], 0; "in a ring")]
#[test_case(&[(0, 1), (1, 0), (0, 2), (2, 0)], 1; "one is cut off")]
fn keepers_cut(cuts: &[(usize, usize)], divide: usize) {
    for seed in 0..5 {
        let mut world = World::new(seed);
        world.cut.extend(cuts);
        assert_eq!(world.until(90, 60 * S).is_some(), divide == 1, "seed {seed}");
        assert_eq!(world.dividers().len(), divide);
        world.cut.clear();
        world.pass(20 * S);
        assert!(world.sum() >= ROW.whole * 95 / 100, "seed {seed}");
    }
}

// The divider stands still again and again while others take over, and wakes with its letters waiting; it may
// get the term back, and then waits as anybody else.
#[test_case(false; "views are right")]
#[test_case(true; "all take all others for gone")]
fn the_divider_stands_still(deluded: bool) {
    for seed in 0..10 {
        let mut world = World::new(seed);
        (world.moves, world.deluded) = (true, deluded);
        for _ in 0..12 {
            world.pass(S + world.now % (5 * S));
            for n in world.dividers() {
                world.stop(n, 4 * S + world.now % (8 * S));
            }
            world.pass(6 * S);
        }
        (world.moves, world.deluded) = (false, false);
        world.pass(15 * S);
        assert!(world.sum() >= ROW.whole * 95 / 100, "seed {seed}: {}", world.sum() / UNIT);
    }
}

// A keeper does not hear the one that divides, takes it for gone and takes over while the other's leases are
// in force.
#[test]
fn taken_over_too_early() {
    for seed in 0..10 {
        let mut world = World::new(seed);
        (world.moves, world.deluded) = (true, true);
        for _ in 0..12 {
            world.pass(6 * S + world.now % S);
            for n in world.dividers() {
                world
                    .cut
                    .extend((0..KEEPERS).map(|other| (n, other)).filter(|(n, other)| n != other).take(1));
            }
            world.pass(3 * S);
            world.cut.clear();
        }
    }
}

// All at once: letters lost, late by up to a minute and repeated, views that are wrong, processes that stop,
// die and come back. The sum is judged at each step.
#[test]
fn never_more_than_the_whole() {
    let mut divided = 0;
    for seed in 0..20 {
        let mut world = World::new(seed);
        (world.lost, world.moves) = (0.15, true);
        for _ in 0..120 {
            world.pass(S);
            let n = world.rng.rand_range(0..2 * KEEPERS as u64) as usize;
            match world.rng.rand_range(0..10) {
                0 => world.kill(n),
                1..=2 => world.stop(n, world.now % (20 * S)),
                3..=5 if !world.all[n].runs => world.start(n),
                6 => {
                    let other = world.rng.rand_range(0..ROUTERS as u64) as usize;
                    world.cut.insert((n, other));
                }
                7 => world.cut.clear(),
                _ => {}
            }
            divided += usize::from(world.sum() > 20 * ROW.floor);
        }
    }
    assert!(divided > 20 * 120 / 4, "and it is divided for a good part of the time: {divided}");
}
