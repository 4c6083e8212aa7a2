//! A proposer whose keepers are part of what is agreed on: it learns from the answers who has to answer.
//!
//! Each value names its keepers by router and disk; while they change it names those before as well, and most
//! of both have to promise and accept. So who keeps is changed like anything else, a disk that was lost is
//! another keeper, and nobody votes because the settings name it. See docs/consensus.md.
use crate::*;
use applepond_membership::RouterId;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// A keeper: the router, and the disk that holds its vote. A disk that is new is another keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    pub router: RouterId,
    pub disk: InstanceId,
}

/// What is agreed on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterState<V> {
    /// Drawn when it was founded: numbers of another line say nothing here.
    pub register_id: InstanceId,
    /// Rises with each value that is written.
    pub version: u64,
    pub replicas: Vec<ReplicaId>,
    /// Those before, while they change; else none.
    pub previous_replicas: Vec<ReplicaId>,
    pub value: V,
}

impl<V> RegisterState<V> {
    /// The sets of which most have to answer where this is the latest.
    fn sets(&self) -> impl Iterator<Item = &Vec<ReplicaId>> {
        [&self.replicas, &self.previous_replicas].into_iter().filter(|s| !s.is_empty())
    }
}

/// Questions to keepers; `word` is the highest ballot that this process has heard of a disk of theirs.
pub trait ReplicaRequests<V> {
    fn prepare(&mut self, to: RouterId, ballot: Ballot, word: Option<(InstanceId, Ballot)>);
    fn accept(
        &mut self,
        to: RouterId,
        ballot: Ballot,
        agreed: &RegisterState<V>,
        word: Option<(InstanceId, Ballot)>,
    );
}

/// What has come of a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundOutcome<V> {
    /// Most of those who keep it have promised: this is the value, and who has answered.
    Read(RegisterState<V>, Vec<ReplicaId>),
    /// All that the settings name have answered, and none has ever accepted anything: it may be founded.
    Uninitialized(Vec<ReplicaId>),
    /// Most keepers have accepted it: it is in every later value's past.
    Committed(RegisterState<V>),
    /// Its disk holds less than it has said before, as from a copy of old. It does not count any more here.
    StaleReplica(ReplicaId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase<V> {
    Idle,
    Backoff,
    /// Who has promised, with which disk, and the latest that any of them has accepted.
    Preparing {
        heard: BTreeMap<RouterId, InstanceId>,
        latest: Option<(Ballot, RegisterState<V>)>,
        asked: BTreeSet<RouterId>,
    },
    /// Read; the sets of which most have to accept what is next, or all: what was founded may have been taken
    /// by some only.
    Prepared(Vec<Vec<ReplicaId>>, bool),
    Accepting {
        agreed: RegisterState<V>,
        sets: Vec<Vec<ReplicaId>>,
        /// All of them, not most: it is founded, and whoever is left later has to know of it.
        all: bool,
        heard: BTreeSet<ReplicaId>,
    },
}

#[derive(Clone, Debug)]
pub struct ReconfigurableProposer<V> {
    named: Vec<RouterId>,
    ballot: Ballot,
    doing: Phase<V>,
    until: Micros,
    tries: u32,
    /// The highest ballot that each disk has said it promised.
    words: BTreeMap<ReplicaId, Ballot>,
    older: BTreeSet<ReplicaId>,
    rng: Rand64,
    guards: Guards,
}

/// Guards that tests and drills take out one by one; in service all are in place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A value is founded only where all have answered and are empty.
    pub bootstrap_reads_all: bool,
    /// What is founded is taken by all of them.
    pub bootstrap_writes_all: bool,
    /// While keepers change, most of both sets have to answer.
    pub joint_quorums: bool,
    /// A disk that is new is another keeper.
    pub disk_identity: bool,
}

impl Guards {
    pub const ALL: Guards = Guards {
        bootstrap_reads_all: true,
        bootstrap_writes_all: true,
        joint_quorums: true,
        disk_identity: true,
    };
}

impl<V: Clone> ReconfigurableProposer<V> {
    /// `birth` is this process' own, drawn at its start; `named` are the keepers by the settings, which is
    /// whom it asks first, and nothing more.
    pub fn new(instance_id: InstanceId, named: &[RouterId], seed: u64) -> Self {
        ReconfigurableProposer {
            named: named.to_vec(),
            ballot: Ballot::first(instance_id),
            doing: Phase::Idle,
            until: Micros::MAX,
            tries: 0,
            words: BTreeMap::new(),
            older: BTreeSet::new(),
            rng: Rand64::new(u128::from(seed)),
            guards: Guards::ALL,
        }
    }

    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    pub fn set_configured_replicas(&mut self, named: &[RouterId]) {
        self.named = named.to_vec();
    }

    pub fn is_idle(&self) -> bool {
        matches!(self.doing, Phase::Idle)
    }

    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    pub fn next_wakeup(&self) -> Micros {
        self.until
    }

    /// Whether an answer under this ballot can still change anything.
    pub fn awaits(&self, ballot: Ballot) -> bool {
        ballot == self.ballot && matches!(self.doing, Phase::Preparing { .. } | Phase::Accepting { .. })
    }

    /// Who has answered the try under way.
    pub fn responders(&self) -> Vec<RouterId> {
        match &self.doing {
            Phase::Preparing { heard, .. } => heard.keys().copied().collect(),
            Phase::Accepting { heard, .. } => heard.iter().map(|s| s.router).collect(),
            _ => Vec::new(),
        }
    }

    /// Of the set of keepers that has lost most: how many have answered with another disk, and of how many.
    pub fn lost_replicas(&self) -> Option<(usize, usize)> {
        let Phase::Preparing { heard, latest: Some((_, agreed)), .. } = &self.doing else { return None };
        let gone = |s: &&ReplicaId| heard.get(&s.router).is_some_and(|disk| *disk != s.disk);
        agreed.sets().map(|set| (set.iter().filter(gone).count(), set.len())).max()
    }

    /// All but time and chance, for comparing states.
    pub fn state(&self) -> impl std::hash::Hash + '_
    where
        V: std::hash::Hash,
    {
        (self.ballot, &self.doing, &self.words, &self.older)
    }

    fn word(&self, name: RouterId) -> Option<(InstanceId, Ballot)> {
        let of = self.words.iter().filter(|(seat, _)| seat.router == name);
        of.max_by_key(|(_, ballot)| **ballot).map(|(seat, ballot)| (seat.disk, *ballot))
    }

    /// Reads the value under a new ballot; what was under way is given up, and may yet be written.
    pub fn prepare(&mut self, now: Micros, orders: &mut dyn ReplicaRequests<V>) {
        self.ballot.round += 1;
        self.until = now + RESPONSE_TIMEOUT;
        let asked: BTreeSet<RouterId> = self.named.iter().copied().collect();
        for name in &asked {
            orders.prepare(*name, self.ballot, self.word(*name));
        }
        self.doing = Phase::Preparing { heard: BTreeMap::new(), latest: None, asked };
    }

    /// Has this written in place of what was just read or founded. Without that nothing happens.
    pub fn propose(&mut self, now: Micros, agreed: RegisterState<V>, orders: &mut dyn ReplicaRequests<V>) {
        let Phase::Prepared(read, first) = &mut self.doing else { return };
        let mut sets = std::mem::take(read);
        let all = *first && self.guards.bootstrap_writes_all;
        sets.extend(agreed.sets().filter(|s| !sets.contains(s)).cloned().collect::<Vec<_>>());
        // Guards against a change that is accepted by most of the one set and unknown to the other.
        if !self.guards.joint_quorums {
            sets = vec![agreed.replicas.clone()];
        }
        let names: BTreeSet<RouterId> = sets.iter().flatten().map(|s| s.router).collect();
        self.until = now + RESPONSE_TIMEOUT;
        for name in names {
            orders.accept(name, self.ballot, &agreed, self.word(name));
        }
        self.doing = Phase::Accepting { agreed, sets, all, heard: BTreeSet::new() };
    }

    /// What was read stays as it is.
    pub fn abandon(&mut self) {
        (self.doing, self.until, self.tries) = (Phase::Idle, Micros::MAX, 0);
    }

    /// Time for the next try, if it is; whether one began.
    pub fn wake(&mut self, now: Micros, orders: &mut dyn ReplicaRequests<V>) -> bool {
        if now < self.until || self.is_idle() {
            return false;
        }
        if matches!(self.doing, Phase::Backoff) {
            self.prepare(now, orders);
            return true;
        }
        self.again(now);
        false
    }

    fn again(&mut self, now: Micros) {
        let range = RETRY_BACKOFF << self.tries.min(RETRY_BACKOFF_MAX_DOUBLINGS);
        self.tries += 1;
        self.doing = Phase::Backoff;
        self.until = now + RETRY_BACKOFF + self.rng.rand_range(0..range);
    }

    fn most(&self, set: &[ReplicaId], has: impl Fn(&ReplicaId) -> bool) -> bool {
        2 * set.iter().filter(|seat| has(seat)).count() > set.len()
    }

    /// A keeper has promised `ballot`; `before`: what it had promised until then.
    pub fn on_promised(
        &mut self,
        seat: ReplicaId,
        (ballot, before): (Ballot, Ballot),
        accepted: Option<(Ballot, RegisterState<V>)>,
        orders: &mut dyn ReplicaRequests<V>,
    ) -> Option<RoundOutcome<V>> {
        let reading = matches!(self.doing, Phase::Preparing { .. });
        if ballot != self.ballot || !reading || self.older.contains(&seat) {
            return None;
        }
        // Guards against a disk that was put back: it would count for a majority that it has left.
        match self.words.get(&seat) {
            Some(word) if *word == ballot => return None,
            Some(word) if before < *word => {
                self.older.insert(seat);
                return Some(RoundOutcome::StaleReplica(seat));
            }
            _ => {}
        }
        self.words.insert(seat, ballot);
        // Guards against a liar that makes disks up: a word that is dropped is found out by another's.
        if self.words.len() > MAX_KNOWN_PROMISES {
            self.words.pop_first();
        }
        let Phase::Preparing { heard, latest, asked } = &mut self.doing else { return None };
        heard.insert(seat.router, seat.disk);
        if accepted.as_ref().map(|(at, _)| at) > latest.as_ref().map(|(at, _)| at) {
            *latest = accepted;
        }
        let (heard, latest) = (heard.clone(), latest.as_ref().map(|(_, v)| v.clone()));
        let Some(agreed) = latest else {
            // Guards against an empty past that is none: one of them may know better.
            let enough =
                if self.guards.bootstrap_reads_all { self.named.len() } else { self.named.len() / 2 + 1 };
            if self.named.iter().filter(|n| heard.contains_key(n)).count() < enough {
                return None;
            }
            let seats = heard.iter().map(|(name, disk)| ReplicaId { router: *name, disk: *disk }).collect();
            self.doing = Phase::Prepared(Vec::new(), true);
            return Some(RoundOutcome::Uninitialized(seats));
        };
        // The latest names who keeps it; of those who were not asked yet an answer may be wanted too.
        let further: Vec<RouterId> =
            agreed.sets().flatten().map(|s| s.router).filter(|n| asked.insert(*n)).collect();
        for name in further {
            orders.prepare(name, self.ballot, self.word(name));
        }
        let disks = self.guards.disk_identity;
        let has = |s: &ReplicaId| heard.get(&s.router).is_some_and(|disk| *disk == s.disk || !disks);
        let sets: Vec<Vec<ReplicaId>> = agreed.sets().cloned().collect();
        let wanted = if self.guards.joint_quorums { &sets[..] } else { &sets[..1] };
        if !wanted.iter().all(|set| self.most(set, has)) {
            return None;
        }
        self.doing = Phase::Prepared(sets, agreed.version <= 1);
        let seats = heard.into_iter().map(|(name, disk)| ReplicaId { router: name, disk }).collect();
        Some(RoundOutcome::Read(agreed, seats))
    }

    /// A keeper has accepted what was asked under this ballot.
    pub fn on_accepted(&mut self, seat: ReplicaId, ballot: Ballot) -> Option<RoundOutcome<V>> {
        if ballot != self.ballot || self.older.contains(&seat) {
            return None;
        }
        let disks = self.guards.disk_identity;
        let Phase::Accepting { agreed, sets, all, heard } = &mut self.doing else { return None };
        heard.insert(seat);
        let (heard, all) = (heard.clone(), *all);
        let (agreed, sets) = (agreed.clone(), sets.clone());
        self.words.insert(seat, ballot);
        let has = |s: &ReplicaId| heard.contains(s) || !disks && heard.iter().any(|h| h.router == s.router);
        let most = sets.iter().all(|set| self.most(set, has));
        let written = if all { sets.iter().flatten().all(has) } else { most };
        written.then(|| {
            self.abandon();
            RoundOutcome::Committed(agreed)
        })
    }

    /// A keeper has promised a higher ballot: this try is over, the next goes above it.
    pub fn on_rejected(&mut self, now: Micros, ballot: Ballot, promised: Ballot) {
        if ballot == self.ballot && promised > ballot && !self.is_idle() {
            self.ballot.round = self.ballot.round.max(promised.round);
            self.again(now);
        }
    }
}
