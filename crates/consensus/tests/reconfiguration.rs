//! Model checking of reconfiguration and lost disks: exhaustive breadth-first exploration of a small fleet,
//! and long random runs.
mod common;
use applepond_consensus::{
    Acceptor, AcceptorError, AcceptorState, AcceptorStorage, Ballot, Guards, KnownPromise, Promise,
    ReconfigurableProposer, RegisterState, Rejection, ReplicaId, ReplicaRequests, RoundOutcome,
};
use applepond_membership::{InstanceId, RouterId};
use common::{Explorable, Marks, explore, report};
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Instant;
use test_case::test_case;

type Value = RegisterState<Marks>;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Promise(usize, usize, Ballot, Option<KnownPromise>),
    Accept(usize, usize, Ballot, Ordered, Option<KnownPromise>),
    Promised(usize, ReplicaId, Promise<Ordered>),
    Accepted(usize, ReplicaId, Ballot),
    Rejected(usize, Ballot, Ballot),
}

/// A register state with an ordering, so that messages can be map keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Ordered(InstanceId, u64, Vec<ReplicaId>, Vec<ReplicaId>, Marks);

fn ordered(v: &Value) -> Ordered {
    Ordered(v.register_id, v.version, v.replicas.clone(), v.previous_replicas.clone(), v.value.clone())
}

fn value(o: Ordered) -> Value {
    RegisterState { register_id: o.0, version: o.1, replicas: o.2, previous_replicas: o.3, value: o.4 }
}

#[derive(Clone, Debug)]
enum Step {
    Begin(usize),
    Take(Message),
    Keep(Message),
    Lose(Message),
    Crash(usize),
    /// Replaces a replica's disk with a new, empty one.
    Wipe(usize),
}

#[derive(Clone)]
struct World {
    acceptors: Vec<(InstanceId, Acceptor<Value>)>,
    disks: Vec<Option<AcceptorState<Value>>>,
    proposers: Vec<ReconfigurableProposer<Marks>>,
    guards: Guards,
    marks: Vec<u8>,
    instance_ids: u64,
    net: BTreeMap<Message, u8>,
    /// How many more rounds, duplicated messages, crashes and lost disks may happen.
    remaining: [u8; 4],
    written: BTreeMap<Ballot, Value>,
    changes: usize,
    /// Disables reconfiguration, even if disks are lost.
    fixed: bool,
}

struct Out(usize, Vec<Message>);

impl ReplicaRequests<Marks> for Out {
    fn prepare(&mut self, to: RouterId, ballot: Ballot, known: Option<KnownPromise>) {
        self.1.push(Message::Promise(self.0, to.0 as usize, ballot, known));
    }
    fn accept(&mut self, to: RouterId, ballot: Ballot, v: &Value, known: Option<KnownPromise>) {
        self.1.push(Message::Accept(self.0, to.0 as usize, ballot, ordered(v), known));
    }
}

struct Disk<'a>(&'a mut Option<AcceptorState<Value>>);

impl AcceptorStorage<Value> for Disk<'_> {
    fn persist(&mut self, state: &AcceptorState<Value>) -> Result<(), AcceptorError> {
        *self.0 = Some(state.clone());
        Ok(())
    }
}

fn configured(acceptors: usize) -> Vec<RouterId> {
    (0..acceptors as u64).map(RouterId).collect()
}

impl World {
    fn new(guards: Guards, acceptors: usize, proposers: usize, remaining: [u8; 4]) -> Self {
        let names = configured(acceptors.min(3));
        let of = |b: u64| ReconfigurableProposer::new(InstanceId(b), &names, b).with_guards(guards);
        let new_acceptor = |k: usize| (InstanceId(900 + k as u64), Acceptor::new(7, Ok(None)));
        World {
            acceptors: (0..acceptors).map(new_acceptor).collect(),
            disks: vec![None; acceptors],
            proposers: (1..=proposers as u64).map(of).collect(),
            guards,
            marks: (1..=proposers as u8).collect(),
            instance_ids: proposers as u64 + 1,
            net: BTreeMap::new(),
            remaining,
            written: BTreeMap::new(),
            changes: 0,
            fixed: false,
        }
    }

    /// A model in which the first proposer has bootstrapped the register.
    fn bootstrapped(guards: Guards, acceptors: usize, proposers: usize, remaining: [u8; 4]) -> Self {
        let mut world = World::new(guards, acceptors, proposers, [9; 4]);
        world.step(&Step::Begin(0)).expect("sound");
        while let Some(message) = world.net.keys().next().cloned() {
            world.step(&Step::Take(message)).expect("sound");
        }
        assert_eq!(world.written.len(), 1);
        world.remaining = remaining;
        world
    }

    fn send(&mut self, messages: Vec<Message>) {
        messages.into_iter().for_each(|l| *self.net.entry(l).or_default() += 1);
    }

    fn remove(&mut self, message: &Message) {
        if let Some(count) = self.net.get_mut(message) {
            *count -= 1;
            if *count == 0 {
                self.net.remove(message);
            }
        }
    }

    /// The next state after the one that was read: appends the proposer's mark, and continues a
    /// reconfiguration or starts one of a single replica.
    fn next(&mut self, c: usize, read: Value) -> Value {
        let mut next = RegisterState { version: read.version + 1, ..read.clone() };
        if !next.value.contains(&self.marks[c]) {
            next.value.push(self.marks[c]);
        }
        if self.fixed {
            return next;
        }
        if !read.previous_replicas.is_empty() {
            next.previous_replicas = Vec::new();
            return next;
        }
        let lost = read.replicas.iter().position(|s| self.acceptors[s.router.0 as usize].0 != s.disk);
        if let Some(n) = lost {
            next.previous_replicas = read.replicas.clone();
            next.replicas[n].disk = self.acceptors[read.replicas[n].router.0 as usize].0;
            self.changes += 1;
        } else if self.acceptors.len() > 3 && read.version.is_multiple_of(3) {
            // Replaces one replica by the router that is not a replica.
            let spare = (0..4).find(|k| read.replicas.iter().all(|s| s.router.0 != *k)).expect("one of four");
            next.previous_replicas = read.replicas.clone();
            let place = &mut next.replicas[(read.version / 3) as usize % 3];
            *place = ReplicaId { router: RouterId(spare), disk: self.acceptors[spare as usize].0 };
            self.changes += 1;
        }
        next
    }

    fn take(&mut self, message: &Message) -> Result<(), String> {
        match message.clone() {
            Message::Promise(proposer, router, ballot, known) => {
                let answer = self.prepare(proposer, router, ballot, known);
                self.send(answer.into_iter().collect());
            }
            Message::Accept(proposer, router, ballot, state, known) => {
                let answer = self.accept(proposer, router, (ballot, value(state)), known);
                self.send(answer.into_iter().collect());
            }
            Message::Promised(proposer, replica, Promise { ballot, previous, accepted }) => {
                let accepted = accepted.map(|(at, state)| (at, value(state)));
                let promise = Promise { ballot, previous, accepted };
                let mut out = Out(proposer, Vec::new());
                let outcome = self.proposers[proposer].on_promised(replica, promise, &mut out);
                self.send(out.1);
                return outcome.map_or(Ok(()), |outcome| self.conclude(proposer, outcome));
            }
            Message::Accepted(proposer, replica, ballot) => {
                let outcome = self.proposers[proposer].on_accepted(replica, ballot);
                return outcome.map_or(Ok(()), |outcome| self.conclude(proposer, outcome));
            }
            Message::Rejected(proposer, ballot, promised) => {
                self.proposers[proposer].on_rejected(0, ballot, promised);
            }
        }
        Ok(())
    }

    /// The replica of a router, after checking it for a rollback.
    fn replica(&mut self, router: usize, known: Option<KnownPromise>) -> ReplicaId {
        let (disk, acceptor) = &mut self.acceptors[router];
        let of_this_disk = known.filter(|known| known.disk == *disk);
        acceptor.observe_promise(of_this_disk.map(|known| known.ballot));
        ReplicaId { router: RouterId(router as u64), disk: *disk }
    }

    /// A replica's response in phase 1.
    fn prepare(
        &mut self,
        proposer: usize,
        router: usize,
        ballot: Ballot,
        known: Option<KnownPromise>,
    ) -> Option<Message> {
        let replica = self.replica(router, known);
        match self.acceptors[router].1.prepare(ballot, &mut Disk(&mut self.disks[router])) {
            Ok(Promise { ballot, previous, accepted }) => {
                let accepted = accepted.map(|(at, state)| (at, ordered(&state)));
                let promise = Promise { ballot, previous, accepted };
                Some(Message::Promised(proposer, replica, promise))
            }
            Err(Rejection::Superseded { promised }) => Some(Message::Rejected(proposer, ballot, promised)),
            Err(Rejection::Abstained(_)) => None,
        }
    }

    /// A replica's response in phase 2.
    fn accept(
        &mut self,
        proposer: usize,
        router: usize,
        (ballot, state): (Ballot, Value),
        known: Option<KnownPromise>,
    ) -> Option<Message> {
        let replica = self.replica(router, known);
        match self.acceptors[router].1.accept(ballot, state, &mut Disk(&mut self.disks[router])) {
            Ok(()) => Some(Message::Accepted(proposer, replica, ballot)),
            Err(Rejection::Superseded { promised }) => Some(Message::Rejected(proposer, ballot, promised)),
            Err(Rejection::Abstained(_)) => None,
        }
    }

    /// Drops responses that can no longer have an effect.
    fn prune(&mut self) {
        let proposers = &self.proposers;
        self.net.retain(|message, _| match message {
            Message::Promised(c, _, promise) => proposers[*c].awaits(promise.ballot),
            Message::Accepted(c, _, ballot) | Message::Rejected(c, ballot, _) => {
                proposers[*c].awaits(*ballot)
            }
            _ => true,
        });
    }

    /// Continues a proposer after an outcome, and checks that the outcome is correct.
    fn conclude(&mut self, proposer: usize, outcome: RoundOutcome<Marks>) -> Result<(), String> {
        let next = match outcome {
            RoundOutcome::Read(state, _) => self.next(proposer, state),
            RoundOutcome::Uninitialized(replicas) => RegisterState {
                register_id: InstanceId(u64::from(self.marks[proposer])),
                version: 1,
                replicas,
                previous_replicas: Vec::new(),
                value: vec![self.marks[proposer]],
            },
            RoundOutcome::Committed(state) => {
                return self.check_committed(self.proposers[proposer].ballot(), state);
            }
            RoundOutcome::StaleReplica(replica) => {
                return Err(format!("{replica:?} is intact but reported as stale"));
            }
        };
        let mut out = Out(proposer, Vec::new());
        self.proposers[proposer].propose(0, next, &mut out);
        self.send(out.1);
        Ok(())
    }

    /// Records a committed state, and checks that its value is a prefix of all values committed under higher
    /// ballots, in the same register.
    fn check_committed(&mut self, ballot: Ballot, v: Value) -> Result<(), String> {
        self.written.insert(ballot, v);
        let all: Vec<_> = self.written.iter().collect();
        for pair in all.windows(2) {
            let ((a, earlier), (b, later)) = (pair[0], pair[1]);
            if later.register_id != earlier.register_id || !later.value.starts_with(&earlier.value) {
                return Err(format!("{earlier:?} under {a:?}, then {later:?} under {b:?}"));
            }
        }
        Ok(())
    }
}

impl Explorable for World {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let [rounds, repeats, crashes, wipes] = self.remaining;
        let mut steps: Vec<Step> = Vec::new();
        steps.extend((0..self.proposers.len()).filter(|_| rounds > 0).map(Step::Begin));
        steps.extend(self.net.keys().cloned().map(Step::Take));
        steps.extend(self.net.keys().filter(|_| repeats > 0).cloned().map(Step::Keep));
        steps.extend((0..self.proposers.len()).filter(|_| crashes > 0).map(Step::Crash));
        steps.extend((0..self.acceptors.len()).filter(|_| wipes > 0).map(Step::Wipe));
        steps
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Begin(c) => {
                self.remaining[0] -= 1;
                let mut out = Out(*c, Vec::new());
                self.proposers[*c].prepare(0, &mut out);
                self.send(out.1);
            }
            Step::Take(message) => {
                self.remove(message);
                self.take(message)?;
            }
            Step::Keep(message) => {
                self.remaining[1] -= 1;
                self.take(message)?;
            }
            Step::Lose(message) => self.remove(message),
            Step::Crash(c) => {
                self.remaining[2] -= 1;
                let instance_id = self.instance_ids;
                self.instance_ids += 1;
                self.marks[*c] = instance_id as u8;
                self.proposers[*c] =
                    ReconfigurableProposer::new(InstanceId(instance_id), &configured(3), instance_id)
                        .with_guards(self.guards);
            }
            Step::Wipe(k) => {
                self.remaining[3] -= 1;
                self.instance_ids += 1;
                self.disks[*k] = None;
                self.acceptors[*k] = (InstanceId(900 + self.instance_ids), Acceptor::new(7, Ok(None)));
            }
        }
        self.prune();
        Ok(())
    }

    fn hash_with<H: Hasher + Default>(&self) -> u64 {
        let mut hasher = H::default();
        (&self.acceptors, &self.net, self.remaining, &self.marks, &self.written).hash(&mut hasher);
        self.proposers.iter().for_each(|c| c.state().hash(&mut hasher));
        hasher.finish()
    }
}

// Three replicas and two proposers. The array bounds the rounds, duplicated messages, crashes and lost disks.
#[test_case(false, [2, 0, 0, 0], 11; "bootstrapped by two at once")]
#[test_case(false, [2, 0, 0, 1], 9; "bootstrapped while a disk is lost")]
#[test_case(true, [2, 0, 0, 1], 10; "a lost disk is replaced by a new replica")]
#[test_case(true, [2, 0, 1, 1], 8; "the same, and a proposer crashes")]
fn no_order_of_steps_breaks_safety(bootstrapped: bool, remaining: [u8; 4], depth: usize) {
    let started = Instant::now();
    let begin = if bootstrapped { World::bootstrapped } else { World::new };
    let found = explore(begin(Guards::ALL, 3, 2, remaining), depth);
    report("sound", &found, started);
    assert!(found.broken.is_none() && found.depth == depth);
}

/// A random next step. `None` if the step would lose a disk that must not be lost.
fn random_step(world: &World, rng: &mut Rand64, (wipes, lose_majority): (f64, bool)) -> Option<Step> {
    let idle = world.proposers.iter().filter(|c| c.is_idle()).count();
    let messages = world.net.len() as u64;
    let chance = rng.rand_float();
    let any = |rng: &mut Rand64, of: usize| rng.rand_range(0..of as u64) as usize;
    let step = if messages == 0 || chance < 0.03 + 0.05 * idle as f64 {
        Step::Begin(any(rng, 2))
    } else if chance > 1.0 - wipes && !world.written.is_empty() {
        // A majority of the replicas keeps its disks, or with `lose_majority` at least one replica.
        let last = world.written.values().next_back().expect("some");
        let has_disk = |s: &&ReplicaId| world.acceptors[s.router.0 as usize].0 == s.disk;
        let remaining = last.replicas.iter().filter(has_disk).count();
        if lose_majority && remaining < 2
            || !lose_majority && (!last.previous_replicas.is_empty() || remaining < 3)
        {
            return None;
        }
        Step::Wipe(any(rng, world.acceptors.len()))
    } else {
        let message = world.net.keys().nth(any(rng, messages as usize)).expect("one").clone();
        match chance {
            c if c > 0.99 => Step::Crash(any(rng, 2)),
            c if c > 0.92 => Step::Lose(message),
            c if c > 0.88 => Step::Keep(message),
            _ => Step::Take(message),
        }
    };
    Some(step)
}

/// Long random runs. Returns the first violation, and the numbers of committed states and reconfigurations.
fn run_random(
    guards: Guards,
    routers: usize,
    seeds: u64,
    (wipes, lose_majority): (f64, bool),
) -> (Option<String>, usize, usize) {
    let (mut written, mut changes) = (0, 0);
    for seed in 0..seeds {
        let mut rng = Rand64::new(u128::from(seed));
        let mut world = World::new(guards, routers, 2, [u8::MAX; 4]);
        world.fixed = lose_majority;
        for _ in 0..3_000 {
            world.remaining = [u8::MAX; 4];
            let Some(step) = random_step(&world, &mut rng, (wipes, lose_majority)) else { continue };
            if let Err(why) = world.step(&step) {
                return (Some(format!("seed {seed}: {why}")), written, changes);
            }
            if world.instance_ids > 200 {
                break;
            }
        }
        written += world.written.len();
        changes += world.changes;
    }
    (None, written, changes)
}

#[test_case(3, 0.002, 100; "disks are lost")]
#[test_case(4, 0.0, 100; "replicas are moved")]
#[test_case(4, 0.002, 100; "both")]
fn long_random_runs_stay_safe(routers: usize, wipes: f64, least: usize) {
    let (broken, written, changes) = run_random(Guards::ALL, routers, 100, (wipes, false));
    println!("{written} committed, {changes} reconfigurations started");
    assert_eq!(broken, None);
    assert!(written > 1_000 && changes > least, "{written} written, {changes} changes");
}

// With any one of the checks disabled, some seed shows a violation.
#[test_case(Guards { bootstrap_reads_all: false, ..Guards::ALL }, 3; "bootstrapped without all")]
#[test_case(Guards { bootstrap_writes_all: false, ..Guards::ALL }, 3; "bootstrapped, not accepted by all")]
#[test_case(Guards { joint_quorums: false, ..Guards::ALL }, 4; "one set of two")]
#[test_case(Guards { disk_identity: false, ..Guards::ALL }, 3; "a new disk votes for the lost one")]
fn each_missing_guard_is_found(guards: Guards, routers: usize) {
    let lose_majority = !guards.bootstrap_reads_all || !guards.bootstrap_writes_all;
    let (broken, ..) =
        run_random(guards, routers, 3_000, (if lose_majority { 0.2 } else { 0.01 }, lose_majority));
    println!("{broken:?}");
    assert!(broken.is_some());
}

// A majority of the disks is lost, but one replica still has its state: no second bootstrap.
#[test]
fn a_lost_majority_is_not_bootstrapped_again() {
    let (broken, written, _) = run_random(Guards::ALL, 3, 3_000, (0.2, true));
    assert_eq!(broken, None);
    assert!(written > 300, "{written}");
}
