//! A model of acceptors and proposers in which message delivery, loss and crashes are explicit steps.
#![allow(dead_code)] // each table of cases uses its own part
use applepond_consensus::{
    Acceptor, AcceptorError, AcceptorState, AcceptorStorage, Ballot, Promise, ProposalOutcome, Proposer,
    ProposerActions, Rejection, ReplicaIndex,
};
use applepond_membership::InstanceId;
use rustc_hash::{FxHashSet, FxHasher};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Instant;

/// Two independent hashes of a state, which make a collision among a few million states negligible.
fn key(world: &impl Explorable) -> (u64, u64) {
    (world.hash_with::<FxHasher>(), world.hash_with::<std::hash::DefaultHasher>())
}

/// A model whose steps can be taken in any order.
pub trait Explorable: Clone {
    type Step: Clone + std::fmt::Debug;
    fn steps(&self) -> Vec<Self::Step>;
    /// Takes a step. An error describes the violated safety property.
    fn step(&mut self, step: &Self::Step) -> Result<(), String>;
    fn hash_with<H: Hasher + Default>(&self) -> u64;
}

pub struct Explored<S> {
    pub states: usize,
    pub depth: usize,
    /// The shortest history that violates safety, and the violation.
    pub broken: Option<(Vec<S>, String)>,
}

/// Explores all orders of steps up to this depth, visiting each state once.
pub fn explore<W: Explorable>(begin: W, depth: usize) -> Explored<W::Step> {
    let mut seen = FxHashSet::default();
    seen.insert(key(&begin));
    // For each state, the index of its predecessor and the step that led to it.
    let mut predecessors: Vec<(usize, Option<W::Step>)> = vec![(0, None)];
    let mut level = vec![(0, begin)];
    for at in 0..depth {
        let mut next = Vec::new();
        for (index, world) in &level {
            for step in world.steps() {
                let mut new = world.clone();
                let broken = new.step(&step).err();
                if broken.is_none() && !seen.insert(key(&new)) {
                    continue;
                }
                predecessors.push((*index, Some(step)));
                if let Some(why) = broken {
                    let (mut history, mut index) = (Vec::new(), predecessors.len() - 1);
                    while let (before, Some(step)) = &predecessors[index] {
                        history.insert(0, step.clone());
                        index = *before;
                    }
                    return Explored { states: seen.len(), depth: at + 1, broken: Some((history, why)) };
                }
                next.push((predecessors.len() - 1, new));
            }
        }
        if next.is_empty() {
            return Explored { states: seen.len(), depth: at, broken: None };
        }
        level = next;
    }
    Explored { states: seen.len(), depth, broken: None }
}

pub fn report<S: std::fmt::Debug>(name: &str, found: &Explored<S>, started: Instant) {
    println!("{name}: {} states, depth {}, {:?}", found.states, found.depth, started.elapsed());
    if let Some((history, why)) = &found.broken {
        println!("  {why}");
        history.iter().for_each(|step| println!("  {step:?}"));
    }
}

/// The value of the register: the marks of the proposers that appended to it, in order.
pub type Marks = Vec<u8>;

/// Bugs that are built into the model, to show that the exploration finds them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    Sound,
    /// A restarted acceptor has lost its state.
    ForgetsState,
    /// An acceptor responds without having persisted its state.
    AnswersBeforeWrite,
    /// A duplicated acceptance counts as two.
    CountsTwice,
    /// A restarted proposer reuses the ballots of its previous process.
    ReusesBallot,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    Prepare(usize, usize, Ballot),
    Accept(usize, usize, Ballot, Marks),
    Promised(usize, usize, Promise<Marks>),
    Accepted(usize, usize, Ballot),
    Rejected(usize, usize, Ballot, Ballot),
}

impl Message {
    fn acceptor(&self) -> usize {
        match self {
            Message::Prepare(_, k, _) | Message::Accept(_, k, ..) => *k,
            Message::Promised(k, ..) | Message::Accepted(k, ..) | Message::Rejected(k, ..) => *k,
        }
    }

    /// The message with the acceptor's index cleared, so that acceptors can be compared.
    fn without_acceptor(&self) -> Message {
        let mut message = self.clone();
        match &mut message {
            Message::Prepare(_, k, _) | Message::Accept(_, k, ..) => *k = 0,
            Message::Promised(k, ..) | Message::Accepted(k, ..) | Message::Rejected(k, ..) => *k = 0,
        }
        message
    }
}

#[derive(Clone, Debug)]
pub enum Step {
    Begin(usize),
    Take(Message),
    /// Delivers a message and keeps it in the network, so that it is delivered again.
    TakeAndKeep(Message),
    Lose(Message),
    CrashAcceptor(usize),
    CrashProposer(usize),
}

#[derive(Clone)]
pub struct World {
    bug: SeededBug,
    pub acceptors: Vec<Acceptor<Marks>>,
    disks: Vec<Option<AcceptorState<Marks>>>,
    pub proposers: Vec<Proposer<Marks>>,
    instance_ids: Vec<u64>,
    /// The mark that each proposer appends. A restarted proposer gets a new mark.
    marks: Vec<u8>,
    next_instance_id: u64,
    pub net: BTreeMap<Message, u8>,
    /// How many more rounds, duplicated messages and crashes may happen.
    pub remaining: [u8; 3],
    /// The value accepted under each ballot and its acceptors, as seen by an omniscient observer.
    accepted: BTreeMap<Ballot, (Marks, BTreeSet<usize>)>,
    pub written: usize,
}

/// An in-memory disk. Unless the flag is set, it reports success without storing anything.
struct Disk<'a>(&'a mut Option<AcceptorState<Marks>>, bool);

impl AcceptorStorage<Marks> for Disk<'_> {
    fn persist(&mut self, state: &AcceptorState<Marks>) -> Result<(), AcceptorError> {
        if self.1 {
            *self.0 = Some(state.clone());
        }
        Ok(())
    }
}

struct Out(usize, Vec<Message>);

impl ProposerActions<Marks> for Out {
    fn prepare(&mut self, of: ReplicaIndex, ballot: Ballot) {
        self.1.push(Message::Prepare(self.0, of.0 as usize, ballot));
    }
    fn accept(&mut self, by: ReplicaIndex, ballot: Ballot, value: &Marks) {
        self.1.push(Message::Accept(self.0, by.0 as usize, ballot, value.clone()));
    }
}

pub const FLEET: u64 = 7;

fn ids(acceptors: usize) -> Vec<ReplicaIndex> {
    (0..acceptors as u8).map(ReplicaIndex).collect()
}

impl World {
    pub fn new(bug: SeededBug, acceptors: usize, proposers: usize, remaining: [u8; 3]) -> Self {
        let instance_ids: Vec<u64> = (1..=proposers as u64).collect();
        World {
            bug,
            acceptors: (0..acceptors).map(|_| Acceptor::new(FLEET, Ok(None))).collect(),
            disks: vec![None; acceptors],
            proposers: instance_ids
                .iter()
                .map(|b| Proposer::new(InstanceId(*b), &ids(acceptors), *b))
                .collect(),
            next_instance_id: instance_ids.len() as u64 + 1,
            marks: instance_ids.iter().map(|b| *b as u8).collect(),
            instance_ids,
            net: BTreeMap::new(),
            remaining,
            accepted: BTreeMap::new(),
            written: 0,
        }
    }

    /// Hashes the state such that states that only differ by a permutation of the acceptors are equal: the
    /// hashes of the acceptors with their messages are sorted, then combined with the rest.
    fn hash_all<H: Hasher + Default>(&self) -> u64 {
        let mut each: Vec<u64> = (0..self.acceptors.len())
            .map(|k| {
                let mut hasher = H::default();
                (&self.acceptors[k], &self.disks[k]).hash(&mut hasher);
                for (message, count) in self.net.iter().filter(|(message, _)| message.acceptor() == k) {
                    (message.without_acceptor(), count).hash(&mut hasher);
                }
                self.proposers.iter().for_each(|p| p.state_of(ReplicaIndex(k as u8)).hash(&mut hasher));
                self.accepted.values().for_each(|(_, by)| by.contains(&k).hash(&mut hasher));
                hasher.finish()
            })
            .collect();
        each.sort_unstable();
        let mut hasher = H::default();
        (each, &self.instance_ids, &self.marks, self.remaining).hash(&mut hasher);
        self.accepted.iter().for_each(|(ballot, (value, _))| (ballot, value).hash(&mut hasher));
        self.proposers.iter().for_each(|p| p.state().hash(&mut hasher));
        hasher.finish()
    }

    /// Drops responses that can no longer have an effect.
    fn prune(&mut self) {
        if self.bug == SeededBug::ReusesBallot {
            return;
        }
        let proposers = &self.proposers;
        self.net.retain(|message, _| match message {
            Message::Promised(_, p, promise) => proposers[*p].awaits(promise.ballot, false),
            Message::Accepted(_, p, ballot) => proposers[*p].awaits(*ballot, true),
            Message::Rejected(_, p, ballot, _) => {
                proposers[*p].awaits(*ballot, false) || proposers[*p].awaits(*ballot, true)
            }
            _ => true,
        });
    }

    /// All possible next steps. A message that is never delivered is lost, so loss needs no step of its own.
    fn all_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let [rounds, repeats, crashes] = self.remaining;
        steps.extend((0..self.proposers.len()).filter(|_| rounds > 0).map(Step::Begin));
        steps.extend(self.net.keys().cloned().map(Step::Take));
        steps.extend(self.net.keys().filter(|_| repeats > 0).cloned().map(Step::TakeAndKeep));
        if crashes > 0 {
            // A correct acceptor is unchanged by a restart.
            let lossy = matches!(self.bug, SeededBug::ForgetsState | SeededBug::AnswersBeforeWrite);
            steps.extend((0..self.acceptors.len()).filter(|_| lossy).map(Step::CrashAcceptor));
            steps.extend((0..self.proposers.len()).map(Step::CrashProposer));
        }
        steps
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            *self.net.entry(message).or_default() += 1;
        }
    }

    fn apply_step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Begin(p) => {
                self.remaining[0] -= 1;
                let mut out = Out(*p, Vec::new());
                self.proposers[*p].prepare(0, &mut out);
                self.send(out.1);
            }
            Step::Lose(message) => self.remove(message),
            Step::Take(message) => {
                self.remove(message);
                self.take(message, false)?;
            }
            Step::TakeAndKeep(message) => {
                self.remaining[1] -= 1;
                self.take(message, true)?;
            }
            Step::CrashAcceptor(k) => {
                self.remaining[2] -= 1;
                let found = if self.bug == SeededBug::ForgetsState { None } else { self.disks[*k].clone() };
                self.acceptors[*k] = Acceptor::new(FLEET, Ok(found));
            }
            Step::CrashProposer(p) => {
                self.remaining[2] -= 1;
                if self.bug != SeededBug::ReusesBallot {
                    self.instance_ids[*p] = self.next_instance_id;
                }
                self.marks[*p] = self.next_instance_id as u8;
                self.next_instance_id += 1;
                let instance_id = self.instance_ids[*p];
                self.proposers[*p] =
                    Proposer::new(InstanceId(instance_id), &ids(self.acceptors.len()), instance_id);
            }
        }
        Ok(())
    }

    fn remove(&mut self, message: &Message) {
        if let Some(count) = self.net.get_mut(message) {
            *count -= 1;
            if *count == 0 {
                self.net.remove(message);
            }
        }
    }

    fn take(&mut self, message: &Message, again: bool) -> Result<(), String> {
        match message.clone() {
            Message::Prepare(proposer, acceptor, ballot) => {
                let answer = self.prepare(proposer, acceptor, ballot);
                self.send(answer.into_iter().collect());
            }
            Message::Accept(proposer, acceptor, ballot, value) => {
                let answer = self.accept(proposer, acceptor, ballot, value)?;
                self.send(answer.into_iter().collect());
            }
            Message::Promised(acceptor, proposer, promise) => {
                let replica = ReplicaIndex(acceptor as u8);
                let outcome = self.proposers[proposer].on_promised(replica, promise);
                return self.conclude(proposer, outcome);
            }
            Message::Accepted(acceptor, proposer, ballot) => {
                let replica = ReplicaIndex(acceptor as u8);
                let mut outcome = self.proposers[proposer].on_accepted(replica, ballot);
                if again && self.bug == SeededBug::CountsTwice {
                    let other = ReplicaIndex(((acceptor + 1) % self.acceptors.len()) as u8);
                    outcome = outcome.or(self.proposers[proposer].on_accepted(other, ballot));
                }
                return self.conclude(proposer, outcome);
            }
            Message::Rejected(_, proposer, ballot, promised) => {
                self.proposers[proposer].on_rejected(0, ballot, promised);
            }
        }
        Ok(())
    }

    /// An acceptor's response in phase 1.
    fn prepare(&mut self, proposer: usize, acceptor: usize, ballot: Ballot) -> Option<Message> {
        let is_durable = self.bug != SeededBug::AnswersBeforeWrite;
        let mut disk = Disk(&mut self.disks[acceptor], is_durable);
        match self.acceptors[acceptor].prepare(ballot, &mut disk) {
            Ok(promise) => Some(Message::Promised(acceptor, proposer, promise)),
            Err(Rejection::Superseded { promised }) => {
                Some(Message::Rejected(acceptor, proposer, ballot, promised))
            }
            Err(Rejection::Abstained(_)) => None,
        }
    }

    /// An acceptor's response in phase 2.
    fn accept(
        &mut self,
        proposer: usize,
        acceptor: usize,
        ballot: Ballot,
        value: Marks,
    ) -> Result<Option<Message>, String> {
        let is_durable = self.bug != SeededBug::AnswersBeforeWrite;
        let mut disk = Disk(&mut self.disks[acceptor], is_durable);
        match self.acceptors[acceptor].accept(ballot, value.clone(), &mut disk) {
            Ok(()) => {
                self.check_accepted(acceptor, ballot, value)?;
                Ok(Some(Message::Accepted(acceptor, proposer, ballot)))
            }
            Err(Rejection::Superseded { promised }) => {
                Ok(Some(Message::Rejected(acceptor, proposer, ballot, promised)))
            }
            Err(Rejection::Abstained(_)) => Ok(None),
        }
    }

    /// Continues a proposer after an outcome, and checks that the outcome is correct.
    fn conclude(&mut self, proposer: usize, outcome: Option<ProposalOutcome<Marks>>) -> Result<(), String> {
        match outcome {
            Some(ProposalOutcome::Read(value)) => {
                let (mut value, mark) = (value.unwrap_or_default(), self.marks[proposer]);
                // An earlier round of this proposer may have been committed without its knowledge.
                if !value.contains(&mark) {
                    value.push(mark);
                }
                let mut out = Out(proposer, Vec::new());
                self.proposers[proposer].propose(0, value, &mut out);
                self.send(out.1);
            }
            Some(ProposalOutcome::Committed(value)) => {
                self.written += 1;
                let ballot = self.proposers[proposer].ballot();
                let majority = self.acceptors.len() / 2 + 1;
                if self.accepted.get(&ballot).is_none_or(|(v, by)| *v != value || by.len() < majority) {
                    return Err(format!(
                        "{value:?} reported as committed under {ballot:?} without a majority"
                    ));
                }
            }
            Some(ProposalOutcome::StaleReplica(replica)) if self.bug == SeededBug::Sound => {
                return Err(format!("{replica:?} is intact but reported as stale"));
            }
            Some(ProposalOutcome::StaleReplica(_)) | None => {}
        }
        Ok(())
    }

    /// Records an acceptance, and checks that each value accepted by a majority is a prefix of every value
    /// accepted by a majority under a higher ballot.
    fn check_accepted(&mut self, k: usize, ballot: Ballot, value: Marks) -> Result<(), String> {
        let entry = self.accepted.entry(ballot).or_insert_with(|| (value.clone(), BTreeSet::new()));
        if entry.0 != value {
            return Err(format!("two values, {:?} and {value:?}, under ballot {ballot:?}", entry.0));
        }
        entry.1.insert(k);
        let majority = self.acceptors.len() / 2 + 1;
        let chosen: Vec<_> = self.accepted.iter().filter(|(_, (_, by))| by.len() >= majority).collect();
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
        let result = self.apply_step(step);
        self.prune();
        result
    }
    fn hash_with<H: Hasher + Default>(&self) -> u64 {
        self.hash_all::<H>()
    }
}
