//! Keepers and proposers whose network, disks and deaths are steps to choose from.
#![allow(dead_code)] // each table of cases uses its own part
use applepond_accord::*;
use applepond_members::{Birth, RouterId};
use rustc_hash::{FxHashSet, FxHasher};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Instant;

/// Two hashes of a state: among some millions of states two that are alike by both are not to be expected.
fn key(world: &impl Explorable) -> (u64, u64) {
    (world.hash_with::<FxHasher>(), world.hash_with::<std::hash::DefaultHasher>())
}

/// A world whose steps can be taken in any order.
pub trait Explorable: Clone {
    type Step: Clone + std::fmt::Debug;
    fn steps(&self) -> Vec<Self::Step>;
    /// An error says which promise is broken.
    fn step(&mut self, step: &Self::Step) -> Result<(), String>;
    fn hash_with<H: Hasher + Default>(&self) -> u64;
}

pub struct Explored<S> {
    pub states: usize,
    pub depth: usize,
    /// The shortest history that breaks a promise, and which.
    pub broken: Option<(Vec<S>, String)>,
}

/// Every order of steps up to this depth, each state once.
pub fn explore<W: Explorable>(begin: W, depth: usize) -> Explored<W::Step> {
    let mut seen = FxHashSet::default();
    seen.insert(key(&begin));
    // Each state by the step that led to it and the place of the one before.
    let mut came: Vec<(usize, Option<W::Step>)> = vec![(0, None)];
    let mut level = vec![(0, begin)];
    for at in 0..depth {
        let mut next = Vec::new();
        for (place, world) in &level {
            for step in world.steps() {
                let mut new = world.clone();
                let broken = new.step(&step).err();
                if broken.is_none() && !seen.insert(key(&new)) {
                    continue;
                }
                came.push((*place, Some(step)));
                if let Some(why) = broken {
                    let (mut history, mut place) = (Vec::new(), came.len() - 1);
                    while let (before, Some(step)) = &came[place] {
                        history.insert(0, step.clone());
                        place = *before;
                    }
                    return Explored { states: seen.len(), depth: at + 1, broken: Some((history, why)) };
                }
                next.push((came.len() - 1, new));
            }
        }
        if next.is_empty() {
            return Explored { states: seen.len(), depth: at, broken: None };
        }
        level = next;
    }
    Explored { states: seen.len(), depth, broken: None }
}

pub fn told<S: std::fmt::Debug>(name: &str, found: &Explored<S>, begun: Instant) {
    println!("{name}: {} states, depth {}, {:?}", found.states, found.depth, begun.elapsed());
    if let Some((history, why)) = &found.broken {
        println!("  {why}");
        history.iter().for_each(|step| println!("  {step:?}"));
    }
}

/// The value: marks of those who added to it, in order.
pub type Marks = Vec<u8>;

/// What is built in wrongly, to prove the explorer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    Sound,
    /// A keeper that restarts knows nothing.
    ForgetsVote,
    /// A keeper tells before its disk has the vote.
    TellsFirst,
    /// An acknowledgement that comes twice counts as two.
    CountsTwice,
    /// A proposer that restarts goes by the ballots of its life before.
    BallotAgain,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Letter {
    AskPromise(usize, usize, Ballot),
    AskAccept(usize, usize, Ballot, Marks),
    Promised(usize, usize, Ballot, Ballot, Option<(Ballot, Marks)>),
    Accepted(usize, usize, Ballot),
    Refused(usize, usize, Ballot, Ballot),
}

impl Letter {
    fn keeper(&self) -> usize {
        match self {
            Letter::AskPromise(_, k, _) | Letter::AskAccept(_, k, ..) => *k,
            Letter::Promised(k, ..) | Letter::Accepted(k, ..) | Letter::Refused(k, ..) => *k,
        }
    }

    /// The same of any keeper.
    fn without(&self) -> Letter {
        let mut letter = self.clone();
        match &mut letter {
            Letter::AskPromise(_, k, _) | Letter::AskAccept(_, k, ..) => *k = 0,
            Letter::Promised(k, ..) | Letter::Accepted(k, ..) | Letter::Refused(k, ..) => *k = 0,
        }
        letter
    }
}

#[derive(Clone, Debug)]
pub enum Step {
    Begin(usize),
    Take(Letter),
    /// It stays on its way, to come again.
    TakeAndKeep(Letter),
    Lose(Letter),
    CrashKeeper(usize),
    CrashProposer(usize),
}

#[derive(Clone)]
pub struct World {
    plant: Plant,
    pub keepers: Vec<Keeper<Marks>>,
    disks: Vec<Option<Vote<Marks>>>,
    pub proposers: Vec<Proposer<Marks>>,
    births: Vec<u64>,
    /// What each adds to the value: another one in each of its lives.
    marks: Vec<u8>,
    next_birth: u64,
    pub net: BTreeMap<Letter, u8>,
    /// How often each of these may still happen: tries, repeats, crashes.
    pub left: [u8; 3],
    /// Who accepted which value under each ballot: what nobody in the fleet sees whole.
    accepted: BTreeMap<Ballot, (Marks, BTreeSet<usize>)>,
    pub written: usize,
}

/// A disk in memory; `sound` keeps, else it does so in name only.
struct Disk<'a>(&'a mut Option<Vote<Marks>>, bool);

impl Votes<Marks> for Disk<'_> {
    fn keep(&mut self, vote: &Vote<Marks>) -> Result<(), Trouble> {
        if self.1 {
            *self.0 = Some(vote.clone());
        }
        Ok(())
    }
}

struct Out(usize, Vec<Letter>);

impl Ballots<Marks> for Out {
    fn promise(&mut self, of: KeeperId, ballot: Ballot) {
        self.1.push(Letter::AskPromise(self.0, of.0 as usize, ballot));
    }
    fn accept(&mut self, by: KeeperId, ballot: Ballot, value: &Marks) {
        self.1.push(Letter::AskAccept(self.0, by.0 as usize, ballot, value.clone()));
    }
}

pub const FLEET: u64 = 7;

fn ids(keepers: usize) -> Vec<KeeperId> {
    (0..keepers as u8).map(KeeperId).collect()
}

impl World {
    pub fn new(plant: Plant, keepers: usize, proposers: usize, left: [u8; 3]) -> Self {
        let births: Vec<u64> = (1..=proposers as u64).collect();
        World {
            plant,
            keepers: (0..keepers).map(|_| Keeper::new(FLEET, Ok(None))).collect(),
            disks: vec![None; keepers],
            proposers: births.iter().map(|b| Proposer::new(Birth(*b), &ids(keepers), *b)).collect(),
            next_birth: births.len() as u64 + 1,
            marks: births.iter().map(|b| *b as u8).collect(),
            births,
            net: BTreeMap::new(),
            left,
            accepted: BTreeMap::new(),
            written: 0,
        }
    }

    /// The state, the same for two that differ in the keepers' places alone: each keeper by all that has to
    /// do with it, in order, and the rest.
    fn hash_all<H: Hasher + Default>(&self) -> u64 {
        let mut each: Vec<u64> = (0..self.keepers.len())
            .map(|k| {
                let mut hasher = H::default();
                (&self.keepers[k], &self.disks[k]).hash(&mut hasher);
                for (letter, count) in self.net.iter().filter(|(letter, _)| letter.keeper() == k) {
                    (letter.without(), count).hash(&mut hasher);
                }
                self.proposers.iter().for_each(|p| p.state_of(KeeperId(k as u8)).hash(&mut hasher));
                self.accepted.values().for_each(|(_, by)| by.contains(&k).hash(&mut hasher));
                hasher.finish()
            })
            .collect();
        each.sort_unstable();
        let mut hasher = H::default();
        (each, &self.births, &self.marks, self.left).hash(&mut hasher);
        self.accepted.iter().for_each(|(ballot, (value, _))| (ballot, value).hash(&mut hasher));
        self.proposers.iter().for_each(|p| p.state().hash(&mut hasher));
        hasher.finish()
    }

    /// Answers that can change nothing any more are as good as lost.
    fn prune(&mut self) {
        if self.plant == Plant::BallotAgain {
            return;
        }
        let proposers = &self.proposers;
        self.net.retain(|letter, _| match letter {
            Letter::Promised(_, p, ballot, ..) => proposers[*p].awaits(*ballot, false),
            Letter::Accepted(_, p, ballot) => proposers[*p].awaits(*ballot, true),
            Letter::Refused(_, p, ballot, _) => {
                proposers[*p].awaits(*ballot, false) || proposers[*p].awaits(*ballot, true)
            }
            _ => true,
        });
    }

    /// All steps that can be next. Whatever is not taken is lost or late, so that loss needs no step here.
    fn all_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let [tries, repeats, crashes] = self.left;
        steps.extend((0..self.proposers.len()).filter(|_| tries > 0).map(Step::Begin));
        steps.extend(self.net.keys().cloned().map(Step::Take));
        steps.extend(self.net.keys().filter(|_| repeats > 0).cloned().map(Step::TakeAndKeep));
        if crashes > 0 {
            // A sound keeper that restarts is the same again.
            let lossy = matches!(self.plant, Plant::ForgetsVote | Plant::TellsFirst);
            steps.extend((0..self.keepers.len()).filter(|_| lossy).map(Step::CrashKeeper));
            steps.extend((0..self.proposers.len()).map(Step::CrashProposer));
        }
        steps
    }

    fn send(&mut self, letters: Vec<Letter>) {
        for letter in letters {
            *self.net.entry(letter).or_default() += 1;
        }
    }

    fn steps_on(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Begin(p) => {
                self.left[0] -= 1;
                let mut out = Out(*p, Vec::new());
                self.proposers[*p].read(0, &mut out);
                self.send(out.1);
            }
            Step::Lose(letter) => self.remove(letter),
            Step::Take(letter) => {
                self.remove(letter);
                self.take(letter, false)?;
            }
            Step::TakeAndKeep(letter) => {
                self.left[1] -= 1;
                self.take(letter, true)?;
            }
            Step::CrashKeeper(k) => {
                self.left[2] -= 1;
                let found = if self.plant == Plant::ForgetsVote { None } else { self.disks[*k].clone() };
                self.keepers[*k] = Keeper::new(FLEET, Ok(found));
            }
            Step::CrashProposer(p) => {
                self.left[2] -= 1;
                if self.plant != Plant::BallotAgain {
                    self.births[*p] = self.next_birth;
                }
                self.marks[*p] = self.next_birth as u8;
                self.next_birth += 1;
                let birth = self.births[*p];
                self.proposers[*p] = Proposer::new(Birth(birth), &ids(self.keepers.len()), birth);
            }
        }
        Ok(())
    }

    fn remove(&mut self, letter: &Letter) {
        if let Some(count) = self.net.get_mut(letter) {
            *count -= 1;
            if *count == 0 {
                self.net.remove(letter);
            }
        }
    }

    fn take(&mut self, letter: &Letter, again: bool) -> Result<(), String> {
        let sound = self.plant != Plant::TellsFirst;
        let mut out = Out(0, Vec::new());
        let told = match letter.clone() {
            Letter::AskPromise(p, k, ballot) => {
                let mut disk = Disk(&mut self.disks[k], sound);
                out.1.extend(self.keepers[k].promise(ballot, &mut disk).map(|answer| match answer {
                    Ok((before, accepted)) => Letter::Promised(k, p, ballot, before, accepted),
                    Err(promised) => Letter::Refused(k, p, ballot, promised),
                }));
                None
            }
            Letter::AskAccept(p, k, ballot, value) => {
                let mut disk = Disk(&mut self.disks[k], sound);
                match self.keepers[k].accept(ballot, value.clone(), &mut disk) {
                    Some(Ok(())) => {
                        self.note(k, ballot, value)?;
                        out.1.push(Letter::Accepted(k, p, ballot));
                    }
                    Some(Err(promised)) => out.1.push(Letter::Refused(k, p, ballot, promised)),
                    None => {}
                }
                None
            }
            Letter::Promised(k, p, ballot, before, accepted) => {
                let told = self.proposers[p].promised(KeeperId(k as u8), ballot, before, accepted);
                told.map(|told| (p, told))
            }
            Letter::Accepted(k, p, ballot) => {
                let mut told = self.proposers[p].accepted(KeeperId(k as u8), ballot);
                if again && self.plant == Plant::CountsTwice {
                    let other = KeeperId(((k + 1) % self.keepers.len()) as u8);
                    told = told.or(self.proposers[p].accepted(other, ballot));
                }
                told.map(|told| (p, told))
            }
            Letter::Refused(_, p, ballot, promised) => {
                self.proposers[p].refused(0, ballot, promised);
                None
            }
        };
        self.send(out.1);
        match told {
            Some((p, Told::Read(value))) => {
                let (mut value, mark) = (value.unwrap_or_default(), self.marks[p]);
                // A try before may have been written without this one knowing.
                if !value.contains(&mark) {
                    value.push(mark);
                }
                let mut out = Out(p, Vec::new());
                self.proposers[p].write(0, value, &mut out);
                self.send(out.1);
            }
            Some((p, Told::Written(value))) => {
                self.written += 1;
                let ballot = self.proposers[p].ballot();
                let most = self.keepers.len() / 2 + 1;
                if self.accepted.get(&ballot).is_none_or(|(v, by)| *v != value || by.len() < most) {
                    return Err(format!("{value:?} told as written under {ballot:?}, and too few have it"));
                }
            }
            Some((_, Told::Older(k))) if matches!(self.plant, Plant::Sound) => {
                return Err(format!("{k:?} is sound and taken for older than its word"));
            }
            _ => {}
        }
        Ok(())
    }

    /// Each value that most have accepted is in the past of every one accepted by most under a higher ballot.
    fn note(&mut self, k: usize, ballot: Ballot, value: Marks) -> Result<(), String> {
        let row = self.accepted.entry(ballot).or_insert_with(|| (value.clone(), BTreeSet::new()));
        if row.0 != value {
            return Err(format!("{:?} and {value:?} under one ballot {ballot:?}", row.0));
        }
        row.1.insert(k);
        let most = self.keepers.len() / 2 + 1;
        let chosen: Vec<_> = self.accepted.iter().filter(|(_, (_, by))| by.len() >= most).collect();
        for pair in chosen.windows(2) {
            let ((a, (earlier, _)), (b, (later, _))) = (pair[0], pair[1]);
            if !later.starts_with(earlier) {
                return Err(format!("{earlier:?} under {a:?}, then {later:?} under {b:?}"));
            }
        }
        Ok(())
    }
}

impl Explorable for World {
    type Step = Step;
    fn steps(&self) -> Vec<Step> {
        self.all_steps()
    }
    fn step(&mut self, step: &Step) -> Result<(), String> {
        let done = self.steps_on(step);
        self.prune();
        done
    }
    fn hash_with<H: Hasher + Default>(&self) -> u64 {
        self.hash_all::<H>()
    }
}

// ---- Registers on a paper network ------------------------------------------------------------

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
/// What they agree on in these tests.
pub type Text = String;

/// What a disk does with a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Does {
    Keeps,
    Fails,
    /// Says that it is kept, and nothing is.
    Lies,
}

/// A disk outlasts its process.
#[derive(Clone, Debug)]
pub struct PaperDisk {
    pub id: Birth,
    pub vote: Option<Vote<Agreed<Text>>>,
    pub torn: bool,
    pub does: Does,
}

impl Votes<Agreed<Text>> for PaperDisk {
    fn keep(&mut self, vote: &Vote<Agreed<Text>>) -> Result<(), Trouble> {
        match self.does {
            Does::Keeps => self.vote = Some(vote.clone()),
            Does::Fails => return Err(Trouble::NotWritten),
            Does::Lies => {}
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
    /// A write that is there in part; a letter that is cut.
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
pub struct Points {
    pub count: u64,
    pub at: Option<(u64, Fault)>,
    pub hit: Option<String>,
}

impl Points {
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
    voter: Option<Voter<Text>>,
    /// It stands still until then.
    pub stopped: u64,
}

enum Event {
    Wake(usize, Birth),
    Letter(usize, Vec<u8>),
    Start(usize),
}

pub type Link = Box<dyn FnMut(u64, usize, usize, &mut oorandom::Rand64) -> Option<u64>>;

/// A network that loses this part and takes 0.2 to 1 ms.
pub fn lossy(part: f64) -> Link {
    Box::new(move |_, _, _, rng| (rng.rand_float() >= part).then(|| 200 + rng.rand_range(0..800)))
}

/// Routers whose first three (or as named) keep the register; one seed, one run.
pub struct Paper {
    pub now: u64,
    pub all: Vec<Option<Machine>>,
    pub disks: Vec<PaperDisk>,
    pub named: Vec<RouterId>,
    pub link: Link,
    pub points: Points,
    pub fleet: u64,
    pub rng: oorandom::Rand64,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    births: u64,
    /// Of each process, where its clock began and how much too fast it runs, in a millionth.
    clocks: Vec<(u64, i64)>,
    /// When each value was first known to be written: nothing before it may count a lease later.
    written: BTreeMap<(u64, u64), u64>,
    pub lines: BTreeSet<Birth>,
    pub broken: Option<String>,
}

pub fn router(n: usize) -> RouterId {
    RouterId(1_000 + n as u64)
}

impl Paper {
    pub fn new(seed: u64, routers: usize, keepers: usize) -> Self {
        let mut paper = Paper {
            now: 1_000 * S,
            all: (0..routers).map(|_| None).collect(),
            disks: Vec::new(),
            named: (0..keepers).map(router).collect(),
            link: lossy(0.0),
            points: Points::default(),
            fleet: FLEET,
            rng: oorandom::Rand64::new(u128::from(seed)),
            events: BTreeMap::new(),
            next: 0,
            births: 0,
            clocks: vec![(0, 0); routers],
            written: BTreeMap::new(),
            lines: BTreeSet::new(),
            broken: None,
        };
        for n in 0..routers {
            let id = Birth(500_000 + n as u64);
            paper.disks.push(PaperDisk { id, vote: None, torn: false, does: Does::Keeps });
            paper.start(n);
        }
        paper
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
        self.births += 1;
        let birth = Birth(self.births * 7919 + self.rng.rand_u64() % 1000);
        self.clocks[n] = (self.rng.rand_range(0..1 << 40), self.rng.rand_range(0..900) as i64 - 450);
        let disk = &self.disks[n];
        let keeps = self.named.contains(&router(n)) || disk.vote.is_some();
        let found = if disk.torn { Err(Trouble::Torn) } else { Ok(disk.vote.clone()) };
        let voter = keeps.then(|| Voter::new(self.fleet, disk.id, found));
        let now = self.clock(n, self.now);
        let mut register = Register::new(now, (router(n), birth), &self.named, keeps, self.rng.rand_u64());
        register.keeper_doubts(voter.as_ref().and_then(Voter::trouble));
        let next = self.truly(n, register.next());
        self.all[n] = Some(Machine { register, voter, stopped: 0 });
        self.push(next, Event::Wake(n, birth));
    }

    pub fn kill(&mut self, n: usize) {
        self.all[n] = None;
    }

    /// The disk is lost: there is another one, empty, when the process starts again.
    pub fn lose(&mut self, n: usize) {
        self.births += 1;
        let id = Birth(600_000 + self.births);
        self.disks[n] = PaperDisk { id, vote: None, torn: false, does: Does::Keeps };
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert((at.max(self.now), self.next), event);
    }

    pub fn convener(&self) -> Option<usize> {
        (0..self.all.len())
            .find(|n| self.all[*n].as_ref().is_some_and(|m| m.register.convenes(self.clock(*n, self.now))))
    }

    pub fn held(&self, n: usize) -> Option<Agreed<Text>> {
        let now = self.clock(n, self.now);
        self.all[n].as_ref()?.register.held(now).map(|h| h.agreed.clone())
    }

    pub fn standstill(&self, n: usize) -> Option<Standstill> {
        let now = self.clock(n, self.now);
        self.all[n].as_ref()?.register.standstill(now)
    }

    /// Whoever convenes wishes for this in place of what there is.
    pub fn wish(&mut self, text: &str) -> bool {
        let Some(n) = self.convener() else { return false };
        let now = self.clock(n, self.now);
        let Some(m) = self.all[n].as_mut() else { return false };
        let Some(number) = m.register.held(now).map(|h| h.agreed.number) else { return false };
        m.register.wish(now, number, text.to_owned());
        let (next, birth) = (m.register.next(), m.register.birth());
        let at = self.truly(n, next);
        self.push(at, Event::Wake(n, birth));
        true
    }

    /// All that are there hold this.
    pub fn all_hold(&self, text: &str) -> bool {
        let there = (0..self.all.len()).filter(|n| self.all[*n].is_some());
        there.into_iter().all(|n| self.held(n).is_some_and(|a| a.value == text))
    }

    fn die(&mut self, n: usize) {
        self.kill(n);
        // Its supervisor starts it again.
        self.push(self.now + S, Event::Start(n));
    }

    /// One event at a process; what it does with its disk and its socket are points.
    fn play(&mut self, n: usize, letter: Option<Vec<u8>>) {
        let local = self.clock(n, self.now);
        let there: Vec<bool> = self.all.iter().map(|m| m.is_some()).collect();
        let Some(machine) = self.all[n].as_mut() else { return };
        let mut letter = letter;
        let mut again = false;
        if let Some(bytes) = &mut letter {
            match self.points.pass(|| format!("r{n} receives kind {}", bytes[1])) {
                Some(Fault::KilledBefore) => return self.die(n),
                Some(Fault::KilledAfter) => {
                    // It is done with the letter and its disk, and nothing of it is heard.
                    self.turn(n, local, letter.as_deref(), &there);
                    return self.die(n);
                }
                Some(Fault::Error | Fault::SaidDone) => return,
                Some(Fault::Half) => bytes.truncate(bytes.len() / 2),
                Some(Fault::Late) => {
                    machine.stopped = self.now + 4 * S;
                    let at = machine.stopped;
                    return self.push(at, Event::Letter(n, bytes.clone()));
                }
                Some(Fault::Twice) => again = true,
                None => {}
            }
        }
        for _ in 0..1 + usize::from(again) {
            let Some(letters) = self.turn(n, local, letter.as_deref(), &there) else { return };
            for (to, bytes) in letters {
                let mut times = 1;
                let mut late = 0;
                let mut bytes = bytes;
                match self.points.pass(|| format!("r{n} sends kind {}", bytes[1])) {
                    Some(Fault::KilledBefore) => return self.die(n),
                    Some(Fault::KilledAfter) => {
                        self.post(n, to, bytes, 0);
                        return self.die(n);
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
        }
        self.judge();
    }

    fn post(&mut self, from: usize, to: RouterId, letter: Vec<u8>, late: u64) {
        let to = (to.0 - 1_000) as usize;
        if let Some(took) = (self.link)(self.now, from, to, &mut self.rng) {
            self.push(self.now + late + took, Event::Letter(to, letter));
        }
    }

    /// The machine's own turn; its letters, or none where it died at its disk.
    #[allow(clippy::type_complexity)] // letters by whom they are for, as the machine gives them
    fn turn(
        &mut self,
        n: usize,
        now: u64,
        letter: Option<&[u8]>,
        there: &[bool],
    ) -> Option<Vec<(RouterId, Vec<u8>)>> {
        struct At<'a>(&'a mut PaperDisk, &'a mut Points, usize, Option<Fault>);
        impl Votes<Agreed<Text>> for At<'_> {
            fn keep(&mut self, vote: &Vote<Agreed<Text>>) -> Result<(), Trouble> {
                let n = self.2;
                match self.1.pass(|| format!("r{n} writes its vote")) {
                    Some(f @ (Fault::KilledBefore | Fault::Half)) => {
                        self.0.torn |= f == Fault::Half;
                        self.3 = Some(f);
                        return Err(Trouble::NotWritten);
                    }
                    Some(Fault::KilledAfter) => self.3 = Some(Fault::KilledAfter),
                    Some(Fault::Error) => return Err(Trouble::NotWritten),
                    Some(Fault::SaidDone) => return Ok(()),
                    _ => {}
                }
                self.0.keep(vote)
            }
        }
        let remembered: Vec<_> = self.all.iter().flatten().filter_map(|m| m.register.seen()).collect();
        let machine = self.all[n].as_mut()?;
        let mut out = letter::Written::by(router(n));
        let mut disk = At(&mut self.disks[n], &mut self.points, n, None);
        match letter {
            Some(letter) if letter::is_question(letter) => {
                if let Some(voter) = &mut machine.voter {
                    let _ = letter::vote(letter, voter, &mut disk, &mut out);
                    machine.register.keeper_doubts(voter.trouble());
                }
            }
            Some(letter) => {
                let _ = letter::read(letter, &mut machine.register, now, &remembered, &mut out);
            }
            None => {
                let live = |r: RouterId| there[(r.0 - 1_000) as usize];
                machine.register.wake(now, &live, &mut out);
            }
        }
        let died = disk.3;
        if died.is_some() {
            self.die(n);
            return None;
        }
        let (next, birth) = (machine.register.next(), machine.register.birth());
        let at = self.truly(n, next);
        self.push(at, Event::Wake(n, birth));
        Some(out.letters)
    }

    /// Nothing counts anywhere a lease after something else was written, and all is of one line.
    fn judge(&mut self) {
        for n in 0..self.all.len() {
            let Some(agreed) = self.held(n) else { continue };
            self.lines.insert(agreed.line);
            if self.lines.len() > 1 && self.fleet == FLEET && self.broken.is_none() {
                self.broken = Some(format!("two lines at {} ms", self.now / MS));
            }
            let key = (agreed.line.0, agreed.number);
            self.written.entry(key).or_insert(self.now);
            let later = self.written.range((key.0, key.1 + 1)..(key.0, u64::MAX)).next();
            if let Some(((_, number), at)) = later
                && self.now > at + LEASE
                && self.broken.is_none()
            {
                let (now, at) = (self.now / MS, at / MS);
                self.broken = Some(format!("r{n} goes by {} at {now} ms, {number} since {at}", key.1));
            }
        }
    }

    /// Plays until the condition holds; whether it did by then.
    pub fn until(&mut self, by: u64, holds: impl Fn(&Paper) -> bool) -> bool {
        let by = self.now + by;
        while let Some((&(at, k), _)) = self.events.iter().next() {
            if at > by {
                break;
            }
            let event = self.events.remove(&(at, k)).expect("just seen");
            self.now = at;
            let (n, letter) = match event {
                Event::Start(n) => {
                    if self.all[n].is_none() {
                        self.start(n);
                    }
                    continue;
                }
                Event::Wake(n, birth) => {
                    let Some(m) = self.all[n].as_ref() else { continue };
                    if m.register.birth() != birth || self.clock(n, at) < m.register.next() {
                        continue;
                    }
                    if at < m.stopped {
                        let stopped = m.stopped;
                        self.push(stopped, Event::Wake(n, birth));
                        continue;
                    }
                    (n, None)
                }
                Event::Letter(n, letter) => {
                    let Some(m) = self.all[n].as_ref() else { continue };
                    if at < m.stopped {
                        let stopped = m.stopped;
                        self.push(stopped, Event::Letter(n, letter));
                        continue;
                    }
                    (n, Some(letter))
                }
            };
            self.play(n, letter);
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
