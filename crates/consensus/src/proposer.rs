//! A proposer over a fixed set of acceptors: it reads the latest value and proposes the next one, one round
//! at a time.
use crate::{
    Ballot, MAX_REPLICAS, Promise, RESPONSE_TIMEOUT, RETRY_BACKOFF, RETRY_BACKOFF_MAX_DOUBLINGS, ReplicaIndex,
};
use applepond::interface::Micros;
use applepond_membership::InstanceId;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// Requests to acceptors. Requests and responses may be lost, delayed or duplicated.
pub trait ProposerActions<V> {
    /// Asks an acceptor to promise a ballot (phase 1).
    fn prepare(&mut self, to: ReplicaIndex, ballot: Ballot);
    /// Asks an acceptor to accept a value (phase 2).
    fn accept(&mut self, to: ReplicaIndex, ballot: Ballot, value: &V);
}

/// The outcome of a round, or of one of its phases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome<V> {
    /// A majority has promised. This is the latest value; `propose` may now replace it.
    Read(Option<V>),
    /// A majority has accepted the value: it is in the history of every later one.
    Committed(V),
    /// The acceptor has a lower promise than it has given before, as after restoring an old copy of its
    /// file. This proposer ignores it from now on.
    StaleReplica(ReplicaIndex),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase<V> {
    Idle,
    /// Superseded or timed out: the next round starts at `deadline`.
    Backoff,
    /// Phase 1: the acceptors that have promised, and the latest value that any of them has accepted.
    Preparing {
        promised: BTreeSet<ReplicaIndex>,
        latest: Option<(Ballot, V)>,
    },
    /// The value is read; waiting for the caller to propose the next one.
    Prepared,
    /// Phase 2: the proposed value and the acceptors that have accepted it.
    Accepting {
        value: V,
        accepted: BTreeSet<ReplicaIndex>,
    },
}

/// A proposer. It has no timer of its own: the caller calls [`wake`](Proposer::wake) when it is due.
#[derive(Clone, Debug)]
pub struct Proposer<V> {
    replicas: BTreeSet<ReplicaIndex>,
    ballot: Ballot,
    phase: Phase<V>,
    /// When the phase times out or the backoff ends.
    deadline: Micros,
    /// The number of failed rounds since the last success, for the backoff.
    failed_rounds: u32,
    /// The highest ballot that each acceptor is known to have promised.
    known_promises: BTreeMap<ReplicaIndex, Ballot>,
    /// Acceptors whose state was found to be rolled back.
    stale: BTreeSet<ReplicaIndex>,
    rng: Rand64,
}

impl<V: Clone> Proposer<V> {
    /// Creates a proposer for the process with this instance id. `seed` seeds the random backoff.
    ///
    /// # Panics
    /// If the number of replicas is zero, even or above [`MAX_REPLICAS`].
    pub fn new(instance_id: InstanceId, replicas: &[ReplicaIndex], seed: u64) -> Self {
        let replicas: BTreeSet<ReplicaIndex> = replicas.iter().copied().collect();
        assert!(replicas.len() % 2 == 1 && replicas.len() <= MAX_REPLICAS, "one, three or five replicas");
        Proposer {
            replicas,
            ballot: Ballot::first(instance_id),
            phase: Phase::Idle,
            deadline: Micros::MAX,
            failed_rounds: 0,
            known_promises: BTreeMap::new(),
            stale: BTreeSet::new(),
            rng: Rand64::new(u128::from(seed)),
        }
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
    pub fn next_wakeup(&self) -> Micros {
        self.deadline
    }

    /// The state without time, randomness and per-acceptor data, for comparing states in tests.
    pub fn state(&self) -> impl std::hash::Hash + '_
    where
        V: std::hash::Hash,
    {
        let (latest, value) = match &self.phase {
            Phase::Preparing { latest, .. } => (latest.as_ref(), None),
            Phase::Accepting { value, .. } => (None, Some(value)),
            Phase::Idle | Phase::Backoff | Phase::Prepared => (None, None),
        };
        (self.ballot, std::mem::discriminant(&self.phase), latest, value)
    }

    /// The per-acceptor data: whether it has responded, its highest promise, and whether it is stale. For
    /// comparing states in tests.
    pub fn state_of(&self, replica: ReplicaIndex) -> impl std::hash::Hash + use<V> {
        let has_answered = match &self.phase {
            Phase::Preparing { promised, .. } => promised.contains(&replica),
            Phase::Accepting { accepted, .. } => accepted.contains(&replica),
            Phase::Idle | Phase::Backoff | Phase::Prepared => false,
        };
        (has_answered, self.known_promises.get(&replica).copied(), self.stale.contains(&replica))
    }

    /// Whether a response under this ballot to a phase 1 request, or with `is_accept` to a phase 2 request,
    /// can still have an effect.
    pub fn awaits(&self, ballot: Ballot, is_accept: bool) -> bool {
        let is_current_phase = match self.phase {
            Phase::Preparing { .. } => !is_accept,
            Phase::Accepting { .. } => is_accept,
            Phase::Idle | Phase::Backoff | Phase::Prepared => false,
        };
        ballot == self.ballot && is_current_phase
    }

    fn majority(&self) -> usize {
        self.replicas.len() / 2 + 1
    }

    /// Whether responses of this acceptor count towards a majority.
    fn counts(&self, replica: ReplicaIndex) -> bool {
        self.replicas.contains(&replica) && !self.stale.contains(&replica)
    }

    /// Starts a round under a new ballot, which reads the value. A round in progress is abandoned, though its
    /// value may still be committed.
    pub fn prepare(&mut self, now: Micros, actions: &mut dyn ProposerActions<V>) {
        self.ballot.round += 1;
        self.phase = Phase::Preparing { promised: BTreeSet::new(), latest: None };
        self.deadline = now + RESPONSE_TIMEOUT;
        for replica in &self.replicas {
            actions.prepare(*replica, self.ballot);
        }
    }

    /// Proposes this value in place of the one just read. Does nothing unless a read has completed.
    pub fn propose(&mut self, now: Micros, value: V, actions: &mut dyn ProposerActions<V>) {
        if !matches!(self.phase, Phase::Prepared) {
            return;
        }
        self.deadline = now + RESPONSE_TIMEOUT;
        for replica in &self.replicas {
            actions.accept(*replica, self.ballot, &value);
        }
        self.phase = Phase::Accepting { value, accepted: BTreeSet::new() };
    }

    /// Ends the round without proposing a value.
    pub fn abandon(&mut self) {
        self.phase = Phase::Idle;
        self.deadline = Micros::MAX;
        self.failed_rounds = 0;
    }

    /// Starts the next round after a backoff, or a backoff after a timeout.
    pub fn wake(&mut self, now: Micros, actions: &mut dyn ProposerActions<V>) {
        if now < self.deadline || self.is_idle() {
            return;
        }
        match self.phase {
            Phase::Backoff => self.prepare(now, actions),
            _ => self.back_off(now),
        }
    }

    fn back_off(&mut self, now: Micros) {
        let range = RETRY_BACKOFF << self.failed_rounds.min(RETRY_BACKOFF_MAX_DOUBLINGS);
        self.failed_rounds += 1;
        self.phase = Phase::Backoff;
        self.deadline = now + RETRY_BACKOFF + self.rng.rand_range(0..range);
    }

    /// Handles a promise. Returns an outcome if this response completes the phase.
    pub fn on_promised(&mut self, replica: ReplicaIndex, promise: Promise<V>) -> Option<ProposalOutcome<V>> {
        if !self.awaits(promise.ballot, false) || !self.counts(replica) {
            return None;
        }
        // A rolled-back acceptor must not count: it may have forgotten values that a majority including it
        // accepted.
        match self.known_promises.get(&replica) {
            Some(known) if *known == promise.ballot => return None,
            Some(known) if promise.previous < *known => {
                self.stale.insert(replica);
                return Some(ProposalOutcome::StaleReplica(replica));
            }
            _ => {}
        }
        self.known_promises.insert(replica, promise.ballot);
        let majority = self.majority();
        let Phase::Preparing { promised, latest } = &mut self.phase else { return None };
        if promise.accepted.as_ref().map(|(at, _)| at) > latest.as_ref().map(|(at, _)| at) {
            *latest = promise.accepted;
        }
        promised.insert(replica);
        if promised.len() < majority {
            return None;
        }
        let value = latest.take().map(|(_, value)| value);
        self.phase = Phase::Prepared;
        Some(ProposalOutcome::Read(value))
    }

    /// Handles an acceptance of the proposed value. Returns an outcome if this response completes the phase.
    pub fn on_accepted(&mut self, replica: ReplicaIndex, ballot: Ballot) -> Option<ProposalOutcome<V>> {
        let majority = self.majority();
        if !self.awaits(ballot, true) || !self.counts(replica) {
            return None;
        }
        let Phase::Accepting { value, accepted } = &mut self.phase else { return None };
        self.known_promises.insert(replica, ballot);
        accepted.insert(replica);
        if accepted.len() < majority {
            return None;
        }
        let value = value.clone();
        self.abandon();
        Some(ProposalOutcome::Committed(value))
    }

    /// Handles a rejection by an acceptor that has promised a higher ballot: the round ends, and the next one
    /// uses a still higher ballot.
    pub fn on_rejected(&mut self, now: Micros, ballot: Ballot, promised: Ballot) {
        if ballot == self.ballot && promised > ballot && !self.is_idle() {
            self.ballot.round = self.ballot.round.max(promised.round);
            self.back_off(now);
        }
    }
}
