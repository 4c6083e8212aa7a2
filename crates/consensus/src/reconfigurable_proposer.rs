//! A proposer whose replicas are part of what is agreed on: it learns from the answers who has to answer.
//!
//! Each state names its replicas by router and disk. While they change it names the previous ones as well,
//! and a majority of both sets has to promise and accept (joint consensus). So replicas change by agreement
//! like anything else, a lost disk is another replica, and nobody votes because the settings name it.
use crate::{
    Ballot, KnownPromise, MAX_KNOWN_PROMISES, Promise, RESPONSE_TIMEOUT, RETRY_BACKOFF,
    RETRY_BACKOFF_MAX_DOUBLINGS, RegisterState, ReplicaId,
};
use applepond::interface::Micros;
use applepond_membership::{InstanceId, RouterId};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// Requests to replicas. Each may be lost, delayed or repeated, and so may its answer. `known` is the highest
/// promise that this process has heard of from a disk of theirs, so that they notice a rollback.
pub trait ReplicaRequests<V> {
    /// Asks for a promise (phase 1).
    fn prepare(&mut self, to: RouterId, ballot: Ballot, known: Option<KnownPromise>);
    /// Asks to accept a state (phase 2).
    fn accept(&mut self, to: RouterId, ballot: Ballot, state: &RegisterState<V>, known: Option<KnownPromise>);
}

/// What has come of a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundOutcome<V> {
    /// Enough replicas have promised: this is the latest state, and who has answered.
    Read(RegisterState<V>, Vec<ReplicaId>),
    /// All configured routers have answered, and none has ever accepted anything: these may bootstrap the
    /// register.
    Uninitialized(Vec<ReplicaId>),
    /// Enough replicas have accepted the state: it is in the history of every later one.
    Committed(RegisterState<V>),
    /// The disk of this replica holds less than it has promised before, as a copy that was put back. It does
    /// not count any more here.
    StaleReplica(ReplicaId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase<V> {
    Idle,
    /// Overtaken or not answered: the next round begins at `deadline`.
    Backoff,
    /// Phase 1.
    Preparing {
        /// Who has promised, with which disk.
        promised: BTreeMap<RouterId, InstanceId>,
        /// The latest state that any of them has accepted.
        latest: Option<(Ballot, RegisterState<V>)>,
        /// Who was asked.
        asked: BTreeSet<RouterId>,
    },
    /// Read; the caller has not said what is next.
    Prepared {
        /// The sets of which a majority each has to accept what is next.
        quorum_sets: Vec<Vec<ReplicaId>>,
        /// All of them have to: a first state may have been accepted by some only.
        is_bootstrap: bool,
    },
    /// Phase 2.
    Accepting {
        state: RegisterState<V>,
        quorum_sets: Vec<Vec<ReplicaId>>,
        /// All of them, not a majority: it is the first state, and whoever is left later has to know of it.
        needs_all: bool,
        accepted: BTreeSet<ReplicaId>,
    },
}

/// Guards that tests and fault-injection scenarios take out one by one. In service all are in place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A register is bootstrapped only where all configured routers have answered and are empty.
    pub bootstrap_reads_all: bool,
    /// The first state is accepted by all replicas.
    pub bootstrap_writes_all: bool,
    /// While replicas change, a majority of both sets has to answer.
    pub joint_quorums: bool,
    /// A new disk is another replica.
    pub disk_identity: bool,
}

impl Guards {
    /// All guards are in place.
    pub const ALL: Guards = Guards {
        bootstrap_reads_all: true,
        bootstrap_writes_all: true,
        joint_quorums: true,
        disk_identity: true,
    };
}

/// A proposer of states that name their own replicas. It never acts by itself: [`wake`](Self::wake) has to be
/// called in time.
#[derive(Clone, Debug)]
pub struct ReconfigurableProposer<V> {
    /// The routers that the settings name: whom it asks first, and nothing more.
    configured: Vec<RouterId>,
    ballot: Ballot,
    phase: Phase<V>,
    /// When the phase ends: it was not answered, or the backoff is over.
    deadline: Micros,
    /// Rounds since the last success, for the backoff.
    failed_rounds: u32,
    /// The highest ballot that each disk is known to have promised.
    known_promises: BTreeMap<ReplicaId, Ballot>,
    /// Replicas whose disks were found to hold less than they had promised.
    stale: BTreeSet<ReplicaId>,
    rng: Rand64,
    guards: Guards,
}

impl<V: Clone> ReconfigurableProposer<V> {
    /// A proposer of the process with this instance id, which is drawn at its start. `configured` are the
    /// replicas by the settings, whom it asks first.
    pub fn new(instance_id: InstanceId, configured: &[RouterId], seed: u64) -> Self {
        ReconfigurableProposer {
            configured: configured.to_vec(),
            ballot: Ballot::first(instance_id),
            phase: Phase::Idle,
            deadline: Micros::MAX,
            failed_rounds: 0,
            known_promises: BTreeMap::new(),
            stale: BTreeSet::new(),
            rng: Rand64::new(u128::from(seed)),
            guards: Guards::ALL,
        }
    }

    /// The same with these guards alone, for tests.
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// Other replicas by the settings, from the next round on.
    pub(crate) fn set_configured_replicas(&mut self, configured: &[RouterId]) {
        self.configured = configured.to_vec();
    }

    /// No round is under way.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle)
    }

    /// The ballot of the latest round.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// When `wake` has to be called at the latest.
    pub(crate) fn next_wakeup(&self) -> Micros {
        self.deadline
    }

    /// Whether an answer under this ballot can still change anything.
    pub fn awaits(&self, ballot: Ballot) -> bool {
        ballot == self.ballot && matches!(self.phase, Phase::Preparing { .. } | Phase::Accepting { .. })
    }

    /// Who has answered in the phase under way.
    pub(crate) fn responders(&self) -> Vec<RouterId> {
        match &self.phase {
            Phase::Preparing { promised, .. } => promised.keys().copied().collect(),
            Phase::Accepting { accepted, .. } => accepted.iter().map(|replica| replica.router).collect(),
            Phase::Idle | Phase::Backoff | Phase::Prepared { .. } => Vec::new(),
        }
    }

    /// Of the set of replicas that has lost most disks: how many have answered with another one, and the size
    /// of the set.
    pub(crate) fn lost_replicas(&self) -> Option<(usize, usize)> {
        let Phase::Preparing { promised, latest: Some((_, state)), .. } = &self.phase else { return None };
        let is_lost =
            |replica: &&ReplicaId| promised.get(&replica.router).is_some_and(|disk| *disk != replica.disk);
        state.quorum_sets().map(|set| (set.iter().filter(is_lost).count(), set.len())).max()
    }

    /// All but time and chance, for comparing states in tests.
    pub fn state(&self) -> impl std::hash::Hash + '_
    where
        V: std::hash::Hash,
    {
        (self.ballot, &self.phase, &self.known_promises, &self.stale)
    }

    /// The highest promise that is known from a disk of this router.
    fn known_promise(&self, router: RouterId) -> Option<KnownPromise> {
        let of_router = self.known_promises.iter().filter(|(replica, _)| replica.router == router);
        of_router
            .max_by_key(|(_, ballot)| **ballot)
            .map(|(replica, ballot)| KnownPromise { disk: replica.disk, ballot: *ballot })
    }

    /// Starts a round under a new ballot, which reads the state. A round under way is given up, and may yet
    /// be committed.
    pub fn prepare(&mut self, now: Micros, requests: &mut dyn ReplicaRequests<V>) {
        self.ballot.round += 1;
        self.deadline = now + RESPONSE_TIMEOUT;
        let asked: BTreeSet<RouterId> = self.configured.iter().copied().collect();
        for router in &asked {
            requests.prepare(*router, self.ballot, self.known_promise(*router));
        }
        self.phase = Phase::Preparing { promised: BTreeMap::new(), latest: None, asked };
    }

    /// Has this state written in place of what was just read, or as the first one. Without a read before it
    /// nothing happens.
    pub fn propose(&mut self, now: Micros, state: RegisterState<V>, requests: &mut dyn ReplicaRequests<V>) {
        let Phase::Prepared { quorum_sets: read_sets, is_bootstrap } = &mut self.phase else { return };
        let mut quorum_sets = std::mem::take(read_sets);
        let needs_all = *is_bootstrap && self.guards.bootstrap_writes_all;
        let new_sets: Vec<_> =
            state.quorum_sets().filter(|set| !quorum_sets.contains(set)).cloned().collect();
        quorum_sets.extend(new_sets);
        // Guards against a change that is accepted by most of the one set and unknown to the other.
        if !self.guards.joint_quorums {
            quorum_sets = vec![state.replicas.clone()];
        }
        let routers: BTreeSet<RouterId> =
            quorum_sets.iter().flatten().map(|replica| replica.router).collect();
        self.deadline = now + RESPONSE_TIMEOUT;
        for router in routers {
            requests.accept(router, self.ballot, &state, self.known_promise(router));
        }
        self.phase = Phase::Accepting { state, quorum_sets, needs_all, accepted: BTreeSet::new() };
    }

    /// Ends the round and leaves what was read as it is.
    pub(crate) fn abandon(&mut self) {
        self.phase = Phase::Idle;
        self.deadline = Micros::MAX;
        self.failed_rounds = 0;
    }

    /// Starts the next round where the backoff is over, and a backoff where nobody has answered in time.
    /// Returns whether a round was started.
    pub(crate) fn wake(&mut self, now: Micros, requests: &mut dyn ReplicaRequests<V>) -> bool {
        if now < self.deadline || self.is_idle() {
            return false;
        }
        if matches!(self.phase, Phase::Backoff) {
            self.prepare(now, requests);
            return true;
        }
        self.back_off(now);
        false
    }

    fn back_off(&mut self, now: Micros) {
        let range = RETRY_BACKOFF << self.failed_rounds.min(RETRY_BACKOFF_MAX_DOUBLINGS);
        self.failed_rounds += 1;
        self.phase = Phase::Backoff;
        self.deadline = now + RETRY_BACKOFF + self.rng.rand_range(0..range);
    }

    /// Takes a promise. Returns what has come of the round, if it decides that.
    pub fn on_promised(
        &mut self,
        replica: ReplicaId,
        promise: Promise<RegisterState<V>>,
        requests: &mut dyn ReplicaRequests<V>,
    ) -> Option<RoundOutcome<V>> {
        let is_preparing = matches!(self.phase, Phase::Preparing { .. });
        if promise.ballot != self.ballot || !is_preparing || self.stale.contains(&replica) {
            return None;
        }
        // Guards against a disk that was put back: it would count for a majority that it has left.
        match self.known_promises.get(&replica) {
            Some(known) if *known == promise.ballot => return None,
            Some(known) if promise.previous < *known => {
                self.stale.insert(replica);
                return Some(RoundOutcome::StaleReplica(replica));
            }
            _ => {}
        }
        self.remember_promise(replica, promise.ballot);
        let Phase::Preparing { promised, latest, .. } = &mut self.phase else { return None };
        promised.insert(replica.router, replica.disk);
        if promise.accepted.as_ref().map(|(at, _)| at) > latest.as_ref().map(|(at, _)| at) {
            *latest = promise.accepted;
        }
        let promised = promised.clone();
        match latest.as_ref().map(|(_, state)| state.clone()) {
            Some(state) => self.check_read(state, &promised, requests),
            None => self.check_uninitialized(&promised),
        }
    }

    fn remember_promise(&mut self, replica: ReplicaId, ballot: Ballot) {
        self.known_promises.insert(replica, ballot);
        // Guards against a liar that makes disks up: a promise that is forgotten is known to others.
        if self.known_promises.len() > MAX_KNOWN_PROMISES {
            self.known_promises.pop_first();
        }
    }

    /// Nobody that has promised knows of a state: whether the register may be bootstrapped.
    fn check_uninitialized(&mut self, promised: &BTreeMap<RouterId, InstanceId>) -> Option<RoundOutcome<V>> {
        // Guards against an empty past that is none: one of them may know better.
        let needed = match self.guards.bootstrap_reads_all {
            true => self.configured.len(),
            false => self.configured.len() / 2 + 1,
        };
        if self.configured.iter().filter(|router| promised.contains_key(router)).count() < needed {
            return None;
        }
        self.phase = Phase::Prepared { quorum_sets: Vec::new(), is_bootstrap: true };
        Some(RoundOutcome::Uninitialized(replicas_of(promised)))
    }

    /// The latest state is known of those that have promised: whether these are a majority of its replicas.
    fn check_read(
        &mut self,
        state: RegisterState<V>,
        promised: &BTreeMap<RouterId, InstanceId>,
        requests: &mut dyn ReplicaRequests<V>,
    ) -> Option<RoundOutcome<V>> {
        self.ask_replicas_of(&state, requests);
        let checks_disk = self.guards.disk_identity;
        let has_promised = |replica: &ReplicaId| {
            promised.get(&replica.router).is_some_and(|disk| *disk == replica.disk || !checks_disk)
        };
        let quorum_sets: Vec<Vec<ReplicaId>> = state.quorum_sets().cloned().collect();
        let needed = if self.guards.joint_quorums { &quorum_sets[..] } else { &quorum_sets[..1] };
        if !needed.iter().all(|set| is_majority(set, has_promised)) {
            return None;
        }
        self.phase = Phase::Prepared { quorum_sets, is_bootstrap: state.version <= 1 };
        Some(RoundOutcome::Read(state, replicas_of(promised)))
    }

    /// The latest state names its replicas: those that were not asked yet may be needed too.
    fn ask_replicas_of(&mut self, state: &RegisterState<V>, requests: &mut dyn ReplicaRequests<V>) {
        let Phase::Preparing { asked, .. } = &mut self.phase else { return };
        let routers = state.quorum_sets().flatten().map(|replica| replica.router);
        let not_asked: Vec<RouterId> = routers.filter(|router| asked.insert(*router)).collect();
        for router in not_asked {
            requests.prepare(router, self.ballot, self.known_promise(router));
        }
    }

    /// Takes the word of a replica that it has accepted the proposed state. Returns what has come of the
    /// round, if that decides it.
    pub fn on_accepted(&mut self, replica: ReplicaId, ballot: Ballot) -> Option<RoundOutcome<V>> {
        if ballot != self.ballot || self.stale.contains(&replica) {
            return None;
        }
        let checks_disk = self.guards.disk_identity;
        let Phase::Accepting { state, quorum_sets, needs_all, accepted } = &mut self.phase else {
            return None;
        };
        accepted.insert(replica);
        self.known_promises.insert(replica, ballot);
        let has_accepted = |replica: &ReplicaId| {
            accepted.contains(replica)
                || !checks_disk && accepted.iter().any(|other| other.router == replica.router)
        };
        let is_committed = match *needs_all {
            true => quorum_sets.iter().flatten().all(has_accepted),
            false => quorum_sets.iter().all(|set| is_majority(set, has_accepted)),
        };
        if !is_committed {
            return None;
        }
        let state = state.clone();
        self.abandon();
        Some(RoundOutcome::Committed(state))
    }

    /// A replica has promised a higher ballot: the round is over, and the next one goes above it.
    pub fn on_rejected(&mut self, now: Micros, ballot: Ballot, promised: Ballot) {
        if ballot == self.ballot && promised > ballot && !self.is_idle() {
            self.ballot.round = self.ballot.round.max(promised.round);
            self.back_off(now);
        }
    }
}

fn is_majority(set: &[ReplicaId], has_answered: impl Fn(&ReplicaId) -> bool) -> bool {
    2 * set.iter().filter(|replica| has_answered(replica)).count() > set.len()
}

fn replicas_of(promised: &BTreeMap<RouterId, InstanceId>) -> Vec<ReplicaId> {
    promised.iter().map(|(router, disk)| ReplicaId { router: *router, disk: *disk }).collect()
}
