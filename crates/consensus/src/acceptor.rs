//! The acceptor: its promise and accepted value are made durable before it answers a request.
use crate::Ballot;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The durable state of an acceptor. The order of the fields is part of the file format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorState<V> {
    /// The fleet that the acceptor belongs to. A file of another fleet is rejected.
    pub fleet: u64,
    /// The highest promised ballot. Lower ballots are rejected.
    pub promised: Ballot,
    /// The latest accepted value and the ballot under which it was accepted.
    pub accepted: Option<(Ballot, V)>,
}

impl<V> AcceptorState<V> {
    /// The initial state: no promise and no accepted value.
    pub fn empty(fleet: u64) -> Self {
        AcceptorState { fleet, promised: Ballot::default(), accepted: None }
    }
}

/// Why an acceptor abstains. The error is permanent until the process is restarted with an intact file.
///
/// [`Unavailable::AcceptorFailed`](crate::Unavailable::AcceptorFailed) tells operators how to recover. The
/// order of the variants is part of the message format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Error)]
pub enum AcceptorError {
    /// Writing the state failed, for example because the disk is full.
    #[error("failed to write the acceptor state")]
    WriteFailed,
    /// The file cannot be read or decoded.
    #[error("the acceptor file is unreadable or corrupt")]
    Corrupt,
    /// The file belongs to another fleet.
    #[error("the acceptor file belongs to another fleet")]
    WrongFleet,
    /// The file holds a lower promise than this acceptor has given: it was restored from an old copy.
    #[error("the acceptor file was rolled back: it holds a lower promise than the acceptor has given")]
    RolledBack,
}

impl AcceptorError {
    /// A stable label for messages to operators.
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
    /// Replaces the state and returns once the new one would survive a power failure.
    ///
    /// # Errors
    /// The write failed. The content of the file is unknown afterwards.
    fn persist(&mut self, state: &AcceptorState<V>) -> Result<(), AcceptorError>;
}

/// An acceptor's promise, the positive response to phase 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Promise<V> {
    /// The promised ballot.
    pub ballot: Ballot,
    /// The highest ballot promised before this one.
    pub previous: Ballot,
    /// The latest accepted value and the ballot under which it was accepted.
    pub accepted: Option<(Ballot, V)>,
}

/// Why an acceptor rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// The acceptor has promised a higher ballot.
    #[error("superseded by the higher promised ballot {promised:?}")]
    Superseded {
        /// The promised ballot.
        promised: Ballot,
    },
    /// The acceptor has failed and abstains.
    #[error("the acceptor abstains: {0}")]
    Abstained(#[from] AcceptorError),
}

/// An acceptor. It handles one request at a time and keeps no state besides the durable one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor<V> {
    /// The state as last persisted.
    state: AcceptorState<V>,
    /// Why the acceptor abstains. Never cleared once set.
    error: Option<AcceptorError>,
}

impl<V: Clone> Acceptor<V> {
    /// Creates an acceptor from the loaded state: `None` for a new file, an error for an unreadable one.
    /// An acceptor with an error abstains from every request.
    pub fn new(fleet: u64, loaded: Result<Option<AcceptorState<V>>, AcceptorError>) -> Self {
        let (state, error) = match loaded {
            Ok(Some(state)) if state.fleet != fleet => {
                (AcceptorState::empty(fleet), Some(AcceptorError::WrongFleet))
            }
            Ok(state) => (state.unwrap_or(AcceptorState::empty(fleet)), None),
            Err(error) => (AcceptorState::empty(fleet), Some(error)),
        };
        Acceptor { state, error }
    }

    /// Why the acceptor abstains, if it does. Only a restart with an intact file clears the error.
    pub fn error(&self) -> Option<AcceptorError> {
        self.error
    }

    /// The promised ballot and accepted value.
    pub fn state(&self) -> &AcceptorState<V> {
        &self.state
    }

    /// Compares the state with a promise that another process has received from this disk. If the stored
    /// promise is lower, the file was rolled back and the acceptor abstains from then on.
    pub fn observe_promise(&mut self, known: Option<Ballot>) {
        if known.is_some_and(|ballot| ballot > self.state.promised) {
            self.error = self.error.or(Some(AcceptorError::RolledBack));
        }
    }

    /// Persists the state, which has to happen before the request is answered. After a failed write the
    /// content of the file is unknown, so the acceptor abstains from then on.
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

    /// Fails if the acceptor abstains.
    fn check(&self) -> Result<(), AcceptorError> {
        self.error.map_or(Ok(()), Err)
    }

    /// Promises to accept nothing below this ballot (phase 1).
    ///
    /// # Errors
    /// [`Rejection::Superseded`] if a higher ballot is promised, [`Rejection::Abstained`] if the acceptor
    /// abstains or the write fails.
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
        // A duplicate of the request is answered again; there is nothing to write.
        if ballot > previous {
            self.persist(AcceptorState { promised: ballot, ..self.state.clone() }, storage)?;
        }
        Ok(Promise { ballot, previous, accepted: self.state.accepted.clone() })
    }

    /// Accepts a value under this ballot (phase 2).
    ///
    /// # Errors
    /// [`Rejection::Superseded`] if a higher ballot is promised, [`Rejection::Abstained`] if the acceptor
    /// abstains or the write fails.
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
