//! A proposer: reads what is agreed on and has the next value written, one try at a time.
use crate::*;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// What a proposer asks of keepers; each question may be lost, late or repeated, and so may its answer.
pub trait ProposerActions<V> {
    fn prepare(&mut self, of: ReplicaIndex, ballot: Ballot);
    fn accept(&mut self, by: ReplicaIndex, ballot: Ballot, value: &V);
}

/// What has come of a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome<V> {
    /// Most keepers have promised; this is the value, and `write` may follow it with the next.
    Read(Option<V>),
    /// Most keepers have accepted it: it is in every later value's past.
    Committed(V),
    /// Its disk holds less than it has said before, as from a copy of old. It does not count any more here.
    StaleReplica(ReplicaIndex),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase<V> {
    Idle,
    /// Overtaken, or nobody answered: again at `until`.
    Backoff,
    Preparing {
        heard: BTreeSet<ReplicaIndex>,
        latest: Option<(Ballot, V)>,
    },
    /// Read; the caller has not said what is next.
    Prepared,
    Accepting {
        value: V,
        heard: BTreeSet<ReplicaIndex>,
    },
}

#[derive(Clone, Debug)]
pub struct Proposer<V> {
    keepers: BTreeSet<ReplicaIndex>,
    ballot: Ballot,
    doing: Phase<V>,
    until: Micros,
    tries: u32,
    /// The highest ballot that each keeper has said it promised.
    words: BTreeMap<ReplicaIndex, Ballot>,
    older: BTreeSet<ReplicaIndex>,
    rng: Rand64,
}

impl<V: Clone> Proposer<V> {
    /// `birth` is this process' own, drawn at its start.
    ///
    /// # Panics
    /// Where keepers are none, more than `KEEPERS_MOST` or an even number.
    pub fn new(instance_id: InstanceId, keepers: &[ReplicaIndex], seed: u64) -> Self {
        let keepers: BTreeSet<ReplicaIndex> = keepers.iter().copied().collect();
        assert!(keepers.len() % 2 == 1 && keepers.len() <= MAX_REPLICAS, "one, three or five keepers");
        Proposer {
            keepers,
            ballot: Ballot::first(instance_id),
            doing: Phase::Idle,
            until: Micros::MAX,
            tries: 0,
            words: BTreeMap::new(),
            older: BTreeSet::new(),
            rng: Rand64::new(u128::from(seed)),
        }
    }

    /// Nothing is under way.
    pub fn is_idle(&self) -> bool {
        matches!(self.doing, Phase::Idle)
    }

    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// When `wake` is to be called at the latest.
    pub fn next_wakeup(&self) -> Micros {
        self.until
    }

    /// All but time, chance and what is kept of each keeper, for comparing states.
    pub fn state(&self) -> impl std::hash::Hash + '_
    where
        V: std::hash::Hash,
    {
        let (latest, value) = match &self.doing {
            Phase::Preparing { latest, .. } => (latest.as_ref(), None),
            Phase::Accepting { value, .. } => (None, Some(value)),
            _ => (None, None),
        };
        (self.ballot, std::mem::discriminant(&self.doing), latest, value)
    }

    /// What is kept of one keeper: whether it has answered, its highest word, whether it is older than that.
    pub fn state_of(&self, keeper: ReplicaIndex) -> impl std::hash::Hash + use<V> {
        let heard = match &self.doing {
            Phase::Preparing { heard, .. } | Phase::Accepting { heard, .. } => heard.contains(&keeper),
            _ => false,
        };
        (heard, self.words.get(&keeper).copied(), self.older.contains(&keeper))
    }

    /// Whether an answer under this ballot, to a question of this kind, can still change anything.
    pub fn awaits(&self, ballot: Ballot, accept: bool) -> bool {
        let kind = match self.doing {
            Phase::Preparing { .. } => !accept,
            Phase::Accepting { .. } => accept,
            _ => false,
        };
        ballot == self.ballot && kind
    }

    fn most(&self) -> usize {
        self.keepers.len() / 2 + 1
    }

    /// Reads the value under a new ballot; what was under way is given up, and may yet be written.
    pub fn prepare(&mut self, now: Micros, orders: &mut dyn ProposerActions<V>) {
        self.ballot.round += 1;
        self.doing = Phase::Preparing { heard: BTreeSet::new(), latest: None };
        self.until = now + RESPONSE_TIMEOUT;
        for keeper in &self.keepers {
            orders.prepare(*keeper, self.ballot);
        }
    }

    /// Has this value written in place of the one just read. Without a read before it nothing happens.
    pub fn propose(&mut self, now: Micros, value: V, orders: &mut dyn ProposerActions<V>) {
        if !matches!(self.doing, Phase::Prepared) {
            return;
        }
        self.until = now + RESPONSE_TIMEOUT;
        for keeper in &self.keepers {
            orders.accept(*keeper, self.ballot, &value);
        }
        self.doing = Phase::Accepting { value, heard: BTreeSet::new() };
    }

    /// What was read stays as it is.
    pub fn abandon(&mut self) {
        (self.doing, self.until, self.tries) = (Phase::Idle, Micros::MAX, 0);
    }

    /// Time for the next try, if it is.
    pub fn wake(&mut self, now: Micros, orders: &mut dyn ProposerActions<V>) {
        if now < self.until || self.is_idle() {
            return;
        }
        match self.doing {
            Phase::Backoff => self.prepare(now, orders),
            _ => self.again(now),
        }
    }

    fn again(&mut self, now: Micros) {
        let range = RETRY_BACKOFF << self.tries.min(RETRY_BACKOFF_MAX_DOUBLINGS);
        self.tries += 1;
        self.doing = Phase::Backoff;
        self.until = now + RETRY_BACKOFF + self.rng.rand_range(0..range);
    }

    /// A keeper has promised `ballot`; `before`: what it had promised until then.
    pub fn on_promised(
        &mut self,
        keeper: ReplicaIndex,
        ballot: Ballot,
        before: Ballot,
        accepted: Option<(Ballot, V)>,
    ) -> Option<ProposalOutcome<V>> {
        if !self.awaits(ballot, false) || self.older.contains(&keeper) || !self.keepers.contains(&keeper) {
            return None;
        }
        // Guards against a disk that was put back: it would count for a majority that it has left.
        match self.words.get(&keeper) {
            Some(word) if *word == ballot => return None,
            Some(word) if before < *word => {
                self.older.insert(keeper);
                return Some(ProposalOutcome::StaleReplica(keeper));
            }
            _ => {}
        }
        self.words.insert(keeper, ballot);
        let most = self.most();
        let Phase::Preparing { heard, latest } = &mut self.doing else { return None };
        if accepted.as_ref().map(|(at, _)| at) > latest.as_ref().map(|(at, _)| at) {
            *latest = accepted;
        }
        heard.insert(keeper);
        if heard.len() < most {
            return None;
        }
        let value = latest.take().map(|(_, value)| value);
        self.doing = Phase::Prepared;
        Some(ProposalOutcome::Read(value))
    }

    /// A keeper has accepted what was asked under this ballot.
    pub fn on_accepted(&mut self, keeper: ReplicaIndex, ballot: Ballot) -> Option<ProposalOutcome<V>> {
        let most = self.most();
        if !self.awaits(ballot, true) || self.older.contains(&keeper) || !self.keepers.contains(&keeper) {
            return None;
        }
        let Phase::Accepting { value, heard } = &mut self.doing else { return None };
        self.words.insert(keeper, ballot);
        heard.insert(keeper);
        if heard.len() < most {
            return None;
        }
        let value = value.clone();
        self.abandon();
        Some(ProposalOutcome::Committed(value))
    }

    /// A keeper has promised a higher ballot: this try is over, the next goes above it.
    pub fn on_rejected(&mut self, now: Micros, ballot: Ballot, promised: Ballot) {
        if ballot == self.ballot && promised > ballot && !self.is_idle() {
            self.ballot.round = self.ballot.round.max(promised.round);
            self.again(now);
        }
    }
}
