//! A replica's acceptor together with its disk: it answers requests as messages and does nothing else, so
//! that it can wait for its disk on a thread of its own while the router goes on.
use crate::{
    Acceptor, AcceptorError, AcceptorState, AcceptorStorage, Ballot, KnownPromise, RegisterActions,
    RegisterState, Rejection,
};
use applepond_membership::{InstanceId, RouterId};

/// The acceptor of one replica of the register.
pub struct Replica<V> {
    disk: InstanceId,
    acceptor: Acceptor<RegisterState<V>>,
}

impl<V: Clone> Replica<V> {
    /// `disk` is the number that was drawn when the replica's file was made; `found` is what the file holds,
    /// none where it is new, or why it cannot be read.
    pub fn new(
        fleet: u64,
        disk: InstanceId,
        found: Result<Option<AcceptorState<RegisterState<V>>>, AcceptorError>,
    ) -> Self {
        Replica { disk, acceptor: Acceptor::new(fleet, found) }
    }

    /// Why it takes no part, if so.
    pub fn error(&self) -> Option<AcceptorError> {
        self.acceptor.error()
    }

    /// Notes what somebody has heard from a disk, if it is this one.
    fn observe(&mut self, known: Option<KnownPromise>) {
        let of_this_disk = known.filter(|promise| promise.disk == self.disk);
        self.acceptor.observe_promise(of_this_disk.map(|promise| promise.ballot));
    }

    /// Answers a request of phase 1.
    pub(crate) fn prepare(
        &mut self,
        from: RouterId,
        ballot: Ballot,
        known: Option<KnownPromise>,
        storage: &mut dyn AcceptorStorage<RegisterState<V>>,
        actions: &mut dyn RegisterActions<V>,
    ) {
        self.observe(known);
        match self.acceptor.prepare(ballot, storage) {
            Ok(promise) => actions.promised(from, self.disk, &promise),
            Err(rejection) => reject(from, ballot, rejection, actions),
        }
    }

    /// Answers a request of phase 2.
    pub(crate) fn accept(
        &mut self,
        from: RouterId,
        (ballot, state): (Ballot, RegisterState<V>),
        known: Option<KnownPromise>,
        storage: &mut dyn AcceptorStorage<RegisterState<V>>,
        actions: &mut dyn RegisterActions<V>,
    ) {
        self.observe(known);
        match self.acceptor.accept(ballot, state, storage) {
            Ok(()) => actions.accepted(from, ballot, self.disk),
            Err(rejection) => reject(from, ballot, rejection, actions),
        }
    }
}

fn reject<V>(to: RouterId, ballot: Ballot, rejection: Rejection, actions: &mut dyn RegisterActions<V>) {
    match rejection {
        Rejection::Superseded { promised } => actions.rejected(to, ballot, promised),
        Rejection::Abstained(error) => actions.abstained(to, ballot, error),
    }
}
