//! A proposer over a fixed set of acceptors: it reads what is agreed on and has the next value written, one
//! round at a time.
use crate::{
    Ballot, MAX_REPLICAS, Promise, RESPONSE_TIMEOUT, RETRY_BACKOFF, RETRY_BACKOFF_MAX_DOUBLINGS, ReplicaIndex,
};
use applepond::interface::Micros;
use applepond_membership::InstanceId;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// Requests to acceptors. Each may be lost, delayed or repeated, and so may its answer.
pub trait ProposerActions<V> {
    /// Asks an acceptor to promise a ballot (phase 1).
    fn prepare(&mut self, to: ReplicaIndex, ballot: Ballot);
    /// Asks an acceptor to accept a value (phase 2).
    fn accept(&mut self, to: ReplicaIndex, ballot: Ballot, value: &V);
}

/// What has come of a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome<V> {
    /// A majority has promised. This is the latest value, and `propose` may follow it with the next.
    Read(Option<V>),
    /// A majority has accepted the value: it is in the history of every later one.
    Committed(V),
    /// The disk of this acceptor holds less than it has promised before, as a copy that was put back. It does
    /// not count any more here.
    StaleReplica(ReplicaIndex),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase<V> {
    Idle,
    /// Overtaken or not answered: the next round begins at `deadline`.
    Backoff,
    /// Phase 1: who has promised, and the latest value that any of them has accepted.
    Preparing {
        promised: BTreeSet<ReplicaIndex>,
        latest: Option<(Ballot, V)>,
    },
    /// Read; the caller has not said what is next.
    Prepared,
    /// Phase 2: the value, and who has accepted it.
    Accepting {
        value: V,
        accepted: BTreeSet<ReplicaIndex>,
    },
}

/// A proposer. It never acts by itself: [`wake`](Proposer::wake) has to be called in time.
#[derive(Clone, Debug)]
pub struct Proposer<V> {
    replicas: BTreeSet<ReplicaIndex>,
    ballot: Ballot,
    phase: Phase<V>,
    /// When the phase ends: it was not answered, or the backoff is over.
    deadline: Micros,
    /// Rounds since the last success, for the backoff.
    failed_rounds: u32,
    /// The highest ballot that each acceptor is known to have promised.
    known_promises: BTreeMap<ReplicaIndex, Ballot>,
    /// Acceptors whose disks were found to hold less than they had promised.
    stale: BTreeSet<ReplicaIndex>,
    rng: Rand64,
}

impl<V: Clone> Proposer<V> {
    /// A proposer of the process with this instance id, which is drawn at its start. `seed` is of the random
    /// backoff.
    ///
    /// # Panics
    /// Where there is no replica, an even number, or more than [`MAX_REPLICAS`].
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

    /// No round is under way.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle)
    }

    /// The ballot of the latest round.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// When `wake` has to be called at the latest.
    pub fn next_wakeup(&self) -> Micros {
        self.deadline
    }

    /// All but time, chance and what is known of each acceptor, for comparing states in tests.
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

    /// What is known of one acceptor: whether it has answered, its highest promise, whether it is stale. For
    /// comparing states in tests.
    pub fn state_of(&self, replica: ReplicaIndex) -> impl std::hash::Hash + use<V> {
        let has_answered = match &self.phase {
            Phase::Preparing { promised, .. } => promised.contains(&replica),
            Phase::Accepting { accepted, .. } => accepted.contains(&replica),
            Phase::Idle | Phase::Backoff | Phase::Prepared => false,
        };
        (has_answered, self.known_promises.get(&replica).copied(), self.stale.contains(&replica))
    }

    /// Whether an answer under this ballot, to a request of phase 1 or (`is_accept`) of phase 2, can still
    /// change anything.
    pub fn awaits(&self, ballot: Ballot, is_accept: bool) -> bool {
        let is_of_phase = match self.phase {
            Phase::Preparing { .. } => !is_accept,
            Phase::Accepting { .. } => is_accept,
            Phase::Idle | Phase::Backoff | Phase::Prepared => false,
        };
        ballot == self.ballot && is_of_phase
    }

    fn majority(&self) -> usize {
        self.replicas.len() / 2 + 1
    }

    /// Whether an answer of this acceptor counts.
    fn counts(&self, replica: ReplicaIndex) -> bool {
        self.replicas.contains(&replica) && !self.stale.contains(&replica)
    }

    /// Starts a round under a new ballot, which reads the value. A round under way is given up, and may yet
    /// be committed.
    pub fn prepare(&mut self, now: Micros, actions: &mut dyn ProposerActions<V>) {
        self.ballot.round += 1;
        self.phase = Phase::Preparing { promised: BTreeSet::new(), latest: None };
        self.deadline = now + RESPONSE_TIMEOUT;
        for replica in &self.replicas {
            actions.prepare(*replica, self.ballot);
        }
    }

    /// Has this value written in place of the one just read. Without a read before it nothing happens.
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

    /// Ends the round and leaves what was read as it is.
    pub fn abandon(&mut self) {
        self.phase = Phase::Idle;
        self.deadline = Micros::MAX;
        self.failed_rounds = 0;
    }

    /// Starts the next round where the backoff is over, and a backoff where nobody has answered in time.
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

    /// Takes a promise. Returns what has come of the round, if it decides that.
    pub fn on_promised(&mut self, replica: ReplicaIndex, promise: Promise<V>) -> Option<ProposalOutcome<V>> {
        if !self.awaits(promise.ballot, false) || !self.counts(replica) {
            return None;
        }
        // Guards against a disk that was put back: it would count for a majority that it has left.
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

    /// Takes the word of an acceptor that it has accepted the proposed value. Returns what has come of the
    /// round, if that decides it.
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

    /// An acceptor has promised a higher ballot: the round is over, and the next one goes above it.
    pub fn on_rejected(&mut self, now: Micros, ballot: Ballot, promised: Ballot) {
        if ballot == self.ballot && promised > ballot && !self.is_idle() {
            self.ballot.round = self.ballot.round.max(promised.round);
            self.back_off(now);
        }
    }
}
