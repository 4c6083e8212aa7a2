//! A proposer for a reconfigurable replica set: the replicated state itself names the replicas whose
//! responses form a quorum.
//!
//! Each state identifies its replicas by router and disk. During a reconfiguration it also names the previous
//! replicas, and a majority of both sets has to promise and accept (joint consensus). Reconfigurations are
//! therefore committed like any other change, a router with a new disk is a new replica, and being named in
//! the settings alone gives no vote.
use crate::{
    Ballot, KnownPromise, MAX_KNOWN_PROMISES, Promise, RESPONSE_TIMEOUT, RETRY_BACKOFF,
    RETRY_BACKOFF_MAX_DOUBLINGS, RegisterState, ReplicaId,
};
use applepond::interface::Micros;
use applepond_membership::{InstanceId, RouterId};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// Requests to replicas. Requests and responses may be lost, delayed or duplicated. `known` is the highest
/// promise that this process has received from a disk of the replica, which lets it detect a rollback.
pub trait ReplicaRequests<V> {
    /// Asks a replica to promise a ballot (phase 1).
    fn prepare(&mut self, to: RouterId, ballot: Ballot, known: Option<KnownPromise>);
    /// Asks a replica to accept a state (phase 2).
    fn accept(&mut self, to: RouterId, ballot: Ballot, state: &RegisterState<V>, known: Option<KnownPromise>);
}

/// The outcome of a round, or of one of its phases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundOutcome<V> {
    /// A quorum has promised: the latest state, and the replicas that have responded.
    Read(RegisterState<V>, Vec<ReplicaId>),
    /// All configured routers have responded and none has ever accepted a state: the replicas with which the
    /// register may be bootstrapped.
    Uninitialized(Vec<ReplicaId>),
    /// A quorum has accepted the state: it is in the history of every later one.
    Committed(RegisterState<V>),
    /// The replica has a lower promise than it has given before, as after restoring an old copy of its file.
    /// This proposer ignores it from now on.
    StaleReplica(ReplicaId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase<V> {
    Idle,
    /// Superseded or timed out: the next round starts at `deadline`.
    Backoff,
    /// Phase 1.
    Preparing {
        /// The routers that have promised, with their disks.
        promised: BTreeMap<RouterId, InstanceId>,
        /// The latest state that any of them has accepted.
        latest: Option<(Ballot, RegisterState<V>)>,
        /// The routers that were sent a request.
        asked: BTreeSet<RouterId>,
    },
    /// The state is read; waiting for the caller to propose the next one.
    Prepared {
        /// The replica sets that must accept the next state, each by a majority.
        quorum_sets: Vec<Vec<ReplicaId>>,
        /// Whether all replicas must accept it, because the first state may have reached only some of them.
        is_bootstrap: bool,
    },
    /// Phase 2.
    Accepting {
        state: RegisterState<V>,
        quorum_sets: Vec<Vec<ReplicaId>>,
        /// Whether all replicas must accept, not just a majority: it is the first state, and every replica
        /// that remains later has to know of it.
        needs_all: bool,
        accepted: BTreeSet<ReplicaId>,
    },
}

/// Safety checks that tests and fault-injection scenarios disable one at a time. Production code enables all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A register is bootstrapped only after all configured routers have responded without a state.
    pub bootstrap_reads_all: bool,
    /// The first state must be accepted by all replicas.
    pub bootstrap_writes_all: bool,
    /// During a reconfiguration a majority of both replica sets is required.
    pub joint_quorums: bool,
    /// A router with a new disk counts as a new replica.
    pub disk_identity: bool,
}

impl Guards {
    /// All checks enabled.
    pub const ALL: Guards = Guards {
        bootstrap_reads_all: true,
        bootstrap_writes_all: true,
        joint_quorums: true,
        disk_identity: true,
    };
}

/// A proposer of states that name their own replicas. It has no timer of its own: the caller calls
/// [`wake`](Self::wake) when it is due.
#[derive(Clone, Debug)]
pub struct ReconfigurableProposer<V> {
    /// The replicas according to the settings. They are asked first, but gain no vote by it.
    configured: Vec<RouterId>,
    ballot: Ballot,
    phase: Phase<V>,
    /// When the phase times out or the backoff ends.
    deadline: Micros,
    /// The number of failed rounds since the last success, for the backoff.
    failed_rounds: u32,
    /// The highest ballot that each disk is known to have promised.
    known_promises: BTreeMap<ReplicaId, Ballot>,
    /// Replicas whose state was found to be rolled back.
    stale: BTreeSet<ReplicaId>,
    rng: Rand64,
    guards: Guards,
}

impl<V: Clone> ReconfigurableProposer<V> {
    /// Creates a proposer for the process with this instance id. `configured` are the replicas according to
    /// the settings, which are asked first.
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

    /// Replaces the set of enabled checks, for tests.
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// Replaces the configured replicas from the next round on.
    pub(crate) fn set_configured_replicas(&mut self, configured: &[RouterId]) {
        self.configured = configured.to_vec();
    }

    /// Whether no round is in progress.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle)
    }

    /// The ballot of the latest round.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// The latest time at which `wake` must be called next.
    pub(crate) fn next_wakeup(&self) -> Micros {
        self.deadline
    }

    /// Whether a response under this ballot can still have an effect.
    pub fn awaits(&self, ballot: Ballot) -> bool {
        ballot == self.ballot && matches!(self.phase, Phase::Preparing { .. } | Phase::Accepting { .. })
    }

    /// The routers that have responded in the current phase.
    pub(crate) fn responders(&self) -> Vec<RouterId> {
        match &self.phase {
            Phase::Preparing { promised, .. } => promised.keys().copied().collect(),
            Phase::Accepting { accepted, .. } => accepted.iter().map(|replica| replica.router).collect(),
            Phase::Idle | Phase::Backoff | Phase::Prepared { .. } => Vec::new(),
        }
    }

    /// The replica set that has lost the most disks: how many of its routers responded with another disk, and
    /// the size of the set.
    pub(crate) fn lost_replicas(&self) -> Option<(usize, usize)> {
        let Phase::Preparing { promised, latest: Some((_, state)), .. } = &self.phase else { return None };
        let is_lost =
            |replica: &&ReplicaId| promised.get(&replica.router).is_some_and(|disk| *disk != replica.disk);
        state.quorum_sets().map(|set| (set.iter().filter(is_lost).count(), set.len())).max()
    }

    /// The state without time and randomness, for comparing states in tests.
    pub fn state(&self) -> impl std::hash::Hash + '_
    where
        V: std::hash::Hash,
    {
        (self.ballot, &self.phase, &self.known_promises, &self.stale)
    }

    /// The highest known promise from any disk of this router.
    fn known_promise(&self, router: RouterId) -> Option<KnownPromise> {
        let of_router = self.known_promises.iter().filter(|(replica, _)| replica.router == router);
        of_router
            .max_by_key(|(_, ballot)| **ballot)
            .map(|(replica, ballot)| KnownPromise { disk: replica.disk, ballot: *ballot })
    }

    /// Starts a round under a new ballot, which reads the state. A round in progress is abandoned, though its
    /// state may still be committed.
    pub fn prepare(&mut self, now: Micros, requests: &mut dyn ReplicaRequests<V>) {
        self.ballot.round += 1;
        self.deadline = now + RESPONSE_TIMEOUT;
        let asked: BTreeSet<RouterId> = self.configured.iter().copied().collect();
        for router in &asked {
            requests.prepare(*router, self.ballot, self.known_promise(*router));
        }
        self.phase = Phase::Preparing { promised: BTreeMap::new(), latest: None, asked };
    }

    /// Proposes this state in place of the one just read, or as the first one. Does nothing unless a read has
    /// completed.
    pub fn propose(&mut self, now: Micros, state: RegisterState<V>, requests: &mut dyn ReplicaRequests<V>) {
        let Phase::Prepared { quorum_sets: read_sets, is_bootstrap } = &mut self.phase else { return };
        let mut quorum_sets = std::mem::take(read_sets);
        let needs_all = *is_bootstrap && self.guards.bootstrap_writes_all;
        let new_sets: Vec<_> =
            state.quorum_sets().filter(|set| !quorum_sets.contains(set)).cloned().collect();
        quorum_sets.extend(new_sets);
        // With joint quorums a change cannot be accepted by a majority of one set and unknown to the other.
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

    /// Ends the round without proposing a state.
    pub(crate) fn abandon(&mut self) {
        self.phase = Phase::Idle;
        self.deadline = Micros::MAX;
        self.failed_rounds = 0;
    }

    /// Starts the next round after a backoff, or a backoff after a timeout. Returns whether a round was
    /// started.
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

    /// Handles a promise. Returns an outcome if this response completes the phase.
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
        // A rolled-back replica must not count: it may have forgotten states that a quorum including it
        // accepted.
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
        // Bounds the memory if a faulty router reports ever new disks. Other processes still know the
        // promises that are forgotten here.
        if self.known_promises.len() > MAX_KNOWN_PROMISES {
            self.known_promises.pop_first();
        }
    }

    /// No promise so far carries a state: checks whether the register may be bootstrapped.
    fn check_uninitialized(&mut self, promised: &BTreeMap<RouterId, InstanceId>) -> Option<RoundOutcome<V>> {
        // A router that has not responded yet may hold a state, so all of them have to respond.
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

    /// Checks whether the routers that have promised form a quorum of the latest state among their promises.
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

    /// Sends requests to replicas of the latest state that were not asked yet.
    fn ask_replicas_of(&mut self, state: &RegisterState<V>, requests: &mut dyn ReplicaRequests<V>) {
        let Phase::Preparing { asked, .. } = &mut self.phase else { return };
        let routers = state.quorum_sets().flatten().map(|replica| replica.router);
        let not_asked: Vec<RouterId> = routers.filter(|router| asked.insert(*router)).collect();
        for router in not_asked {
            requests.prepare(router, self.ballot, self.known_promise(router));
        }
    }

    /// Handles an acceptance of the proposed state. Returns an outcome if this response completes the phase.
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

    /// Handles a rejection by a replica that has promised a higher ballot: the round ends, and the next one
    /// uses a still higher ballot.
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
