//! A keeper: what it has promised and accepted, written before it is told.
use crate::Ballot;
use serde::{Deserialize, Serialize};

/// All that a keeper must never forget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorState<V> {
    /// The fleet that it keeps for; a disk of another one is refused.
    pub fleet: u64,
    /// Nothing below it is taken any more.
    pub promised: Ballot,
    pub accepted: Option<(Ballot, V)>,
}

impl<V> AcceptorState<V> {
    /// Of a keeper that has never voted.
    pub fn empty(fleet: u64) -> Self {
        AcceptorState { fleet, promised: Ballot::default(), accepted: None }
    }
}

/// Why a keeper does not vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AcceptorError {
    /// The disk took no more, or failed.
    WriteFailed,
    /// What is on it cannot be read.
    Corrupt,
    /// It is of another fleet.
    WrongFleet,
    /// It holds less than was promised by it: put back from a copy.
    RolledBack,
}

impl AcceptorError {
    pub fn label(self) -> &'static str {
        match self {
            AcceptorError::WriteFailed => "not-written",
            AcceptorError::Corrupt => "torn",
            AcceptorError::WrongFleet => "foreign",
            AcceptorError::RolledBack => "older",
        }
    }
}

/// Where votes are kept.
pub trait AcceptorStorage<V> {
    /// Returns once the vote would outlast a power cut. An error is the disk's; nothing is known then of what
    /// is on it.
    fn persist(&mut self, vote: &AcceptorState<V>) -> Result<(), AcceptorError>;
}

/// One keeper. It answers questions one by one and remembers nothing but its vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor<V> {
    vote: AcceptorState<V>,
    trouble: Option<AcceptorError>,
}

impl<V: Clone> Acceptor<V> {
    /// `found`: what its disk holds, none where the disk is new. A keeper with trouble answers nothing.
    pub fn new(fleet: u64, found: Result<Option<AcceptorState<V>>, AcceptorError>) -> Self {
        let (vote, trouble) = match found {
            Ok(Some(vote)) if vote.fleet != fleet => {
                (AcceptorState::empty(fleet), Some(AcceptorError::WrongFleet))
            }
            Ok(found) => (found.unwrap_or(AcceptorState::empty(fleet)), None),
            Err(trouble) => (AcceptorState::empty(fleet), Some(trouble)),
        };
        Acceptor { vote, trouble }
    }

    /// Why it does not vote, if it does not. Only a new start on a sound disk ends it.
    pub fn error(&self) -> Option<AcceptorError> {
        self.trouble
    }

    /// Another has heard this disk promise as much; the disk may hold more, and never less.
    pub fn observe_promise(&mut self, word: Option<Ballot>) {
        if word.is_some_and(|word| word > self.vote.promised) {
            self.trouble = self.trouble.or(Some(AcceptorError::RolledBack));
        }
    }

    pub fn state(&self) -> &AcceptorState<V> {
        &self.vote
    }

    /// Writes before anybody is told. A write that fails leaves the disk unknown, so it was the last vote.
    fn keep(&mut self, vote: AcceptorState<V>, votes: &mut dyn AcceptorStorage<V>) -> bool {
        match votes.persist(&vote) {
            Ok(()) => self.vote = vote,
            Err(trouble) => self.trouble = Some(trouble),
        }
        self.trouble.is_none()
    }

    /// Promises to take nothing below this ballot. None: it does not vote. Ok: what it had promised before,
    /// and what it has accepted. Err: the ballot that it has promised, not below this one.
    #[allow(clippy::type_complexity)] // an answer of three, read in one place
    pub fn prepare(
        &mut self,
        ballot: Ballot,
        votes: &mut dyn AcceptorStorage<V>,
    ) -> Option<Result<(Ballot, Option<(Ballot, V)>), Ballot>> {
        if self.trouble.is_some() {
            return None;
        }
        let before = self.vote.promised;
        // The same question again is the network's: its answer does not change, as nothing was told between.
        if ballot < before {
            return Some(Err(before));
        }
        let vote = AcceptorState { promised: ballot, ..self.vote.clone() };
        if ballot > before && !self.keep(vote, votes) {
            return None;
        }
        Some(Ok((before, self.vote.accepted.clone())))
    }

    /// Accepts a value under this ballot. None: it does not vote. Err: the higher ballot that it has
    /// promised.
    pub fn accept(
        &mut self,
        ballot: Ballot,
        value: V,
        votes: &mut dyn AcceptorStorage<V>,
    ) -> Option<Result<(), Ballot>> {
        if self.trouble.is_some() {
            return None;
        }
        if ballot < self.vote.promised {
            return Some(Err(self.vote.promised));
        }
        let known = self.vote.accepted.as_ref().is_some_and(|(at, _)| *at == ballot);
        let vote = AcceptorState { promised: ballot, accepted: Some((ballot, value)), ..self.vote };
        (known || self.keep(vote, votes)).then_some(Ok(()))
    }
}
