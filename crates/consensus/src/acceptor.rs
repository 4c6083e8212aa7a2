//! The acceptor: what it has promised and accepted, durable before anybody is told.
use crate::Ballot;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// All that an acceptor must never forget. The order of the fields is part of its file.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorState<V> {
    /// The fleet that it belongs to. The disk of another fleet is refused.
    pub fleet: u64,
    /// The highest promised ballot: nothing below it is accepted any more.
    pub promised: Ballot,
    /// The latest accepted value, under its ballot.
    pub accepted: Option<(Ballot, V)>,
}

impl<V> AcceptorState<V> {
    /// The state of an acceptor that has never promised anything.
    pub fn empty(fleet: u64) -> Self {
        AcceptorState { fleet, promised: Ballot::default(), accepted: None }
    }
}

/// Why an acceptor takes no part any more, until its process is started again on a sound disk.
///
/// What an operator does is said by [`Unavailable::AcceptorFailed`](crate::Unavailable::AcceptorFailed). The
/// order of the variants is part of the messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Error)]
pub enum AcceptorError {
    /// The disk took no more, or failed.
    #[error("the acceptor's state could not be written")]
    WriteFailed,
    /// What is on the disk cannot be read.
    #[error("the acceptor's file cannot be read")]
    Corrupt,
    /// The disk is of another fleet.
    #[error("the acceptor's file is of another fleet")]
    WrongFleet,
    /// The disk holds less than it was known to have promised: it was put back from a copy.
    #[error("the acceptor's file is older than a promise of it")]
    RolledBack,
}

impl AcceptorError {
    /// The word for it in messages to operators, which never changes.
    pub fn label(self) -> &'static str {
        match self {
            AcceptorError::WriteFailed => "not-written",
            AcceptorError::Corrupt => "torn",
            AcceptorError::WrongFleet => "foreign",
            AcceptorError::RolledBack => "older",
        }
    }
}

/// Durable storage of an acceptor's state.
pub trait AcceptorStorage<V> {
    /// Replaces the state, and returns once it would outlast a power cut.
    ///
    /// # Errors
    /// The disk's failure. Nothing is known then of what is on the disk.
    fn persist(&mut self, state: &AcceptorState<V>) -> Result<(), AcceptorError>;
}

/// The answer of an acceptor that has promised a ballot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Promise<V> {
    /// The ballot that is promised.
    pub ballot: Ballot,
    /// What the acceptor had promised before.
    pub previous: Ballot,
    /// The latest value that it has accepted, under its ballot.
    pub accepted: Option<(Ballot, V)>,
}

/// Why an acceptor does not do what it was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// It has promised a higher ballot.
    #[error("a higher ballot is promised: {promised:?}")]
    Superseded {
        /// The ballot that it has promised.
        promised: Ballot,
    },
    /// It takes no part.
    #[error("the acceptor takes no part: {0}")]
    Abstained(#[from] AcceptorError),
}

/// One acceptor. It answers requests one by one and remembers nothing but its state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor<V> {
    /// As it is on the disk.
    state: AcceptorState<V>,
    /// Why it takes no part. It is never cleared.
    error: Option<AcceptorError>,
}

impl<V: Clone> Acceptor<V> {
    /// An acceptor on what was found on its disk: no state where the disk is new, or why it cannot be read.
    /// One with an error answers nothing.
    pub fn new(fleet: u64, found: Result<Option<AcceptorState<V>>, AcceptorError>) -> Self {
        let (state, error) = match found {
            Ok(Some(state)) if state.fleet != fleet => {
                (AcceptorState::empty(fleet), Some(AcceptorError::WrongFleet))
            }
            Ok(found) => (found.unwrap_or(AcceptorState::empty(fleet)), None),
            Err(error) => (AcceptorState::empty(fleet), Some(error)),
        };
        Acceptor { state, error }
    }

    /// Why it takes no part, if so. Only a new start on a sound disk ends that.
    pub fn error(&self) -> Option<AcceptorError> {
        self.error
    }

    /// What it has promised and accepted.
    pub fn state(&self) -> &AcceptorState<V> {
        &self.state
    }

    /// Notes a promise that somebody has heard from this disk. A disk that holds less was rolled back, and
    /// the acceptor takes no part from then on.
    pub fn observe_promise(&mut self, known: Option<Ballot>) {
        if known.is_some_and(|ballot| ballot > self.state.promised) {
            self.error = self.error.or(Some(AcceptorError::RolledBack));
        }
    }

    /// Writes the state before anybody is told. A failed write leaves the disk unknown, so that it was the
    /// last one.
    fn persist(
        &mut self,
        state: AcceptorState<V>,
        storage: &mut dyn AcceptorStorage<V>,
    ) -> Result<(), AcceptorError> {
        match storage.persist(&state) {
            Ok(()) => {
                self.state = state;
                Ok(())
            }
            Err(error) => {
                self.error = Some(error);
                Err(error)
            }
        }
    }

    /// Fails where the acceptor takes no part.
    fn check(&self) -> Result<(), AcceptorError> {
        self.error.map_or(Ok(()), Err)
    }

    /// Promises to accept nothing below this ballot (phase 1).
    ///
    /// # Errors
    /// [`Rejection::Superseded`] where a higher ballot is promised, [`Rejection::Abstained`] where the
    /// acceptor takes no part or its disk fails now.
    pub fn prepare(
        &mut self,
        ballot: Ballot,
        storage: &mut dyn AcceptorStorage<V>,
    ) -> Result<Promise<V>, Rejection> {
        self.check()?;
        let previous = self.state.promised;
        if ballot < previous {
            return Err(Rejection::Superseded { promised: previous });
        }
        // A repeated request is the network's: its answer is the same, and nothing has to be written.
        if ballot > previous {
            self.persist(AcceptorState { promised: ballot, ..self.state.clone() }, storage)?;
        }
        Ok(Promise { ballot, previous, accepted: self.state.accepted.clone() })
    }

    /// Accepts a value under this ballot (phase 2).
    ///
    /// # Errors
    /// [`Rejection::Superseded`] where a higher ballot is promised, [`Rejection::Abstained`] where the
    /// acceptor takes no part or its disk fails now.
    pub fn accept(
        &mut self,
        ballot: Ballot,
        value: V,
        storage: &mut dyn AcceptorStorage<V>,
    ) -> Result<(), Rejection> {
        self.check()?;
        let promised = self.state.promised;
        if ballot < promised {
            return Err(Rejection::Superseded { promised });
        }
        let is_repeated = self.state.accepted.as_ref().is_some_and(|(at, _)| *at == ballot);
        if !is_repeated {
            let accepted = Some((ballot, value));
            self.persist(AcceptorState { promised: ballot, accepted, ..self.state }, storage)?;
        }
        Ok(())
    }
}
