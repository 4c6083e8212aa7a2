//! A replica: an acceptor bound to a disk. It only answers requests, so it can block on disk writes in a
//! separate thread without delaying the router.
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
    /// `disk` is the id that was drawn when the replica's file was created; `loaded` is the content of the
    /// file: `None` for a new file, an error for an unreadable one.
    pub fn new(
        fleet: u64,
        disk: InstanceId,
        loaded: Result<Option<AcceptorState<RegisterState<V>>>, AcceptorError>,
    ) -> Self {
        Replica { disk, acceptor: Acceptor::new(fleet, loaded) }
    }

    /// Why the acceptor abstains, if it does.
    pub fn error(&self) -> Option<AcceptorError> {
        self.acceptor.error()
    }

    /// Checks a promise known to another process against this disk; promises of other disks are ignored.
    fn check_rollback(&mut self, known: Option<KnownPromise>) {
        let of_this_disk = known.filter(|promise| promise.disk == self.disk);
        self.acceptor.observe_promise(of_this_disk.map(|promise| promise.ballot));
    }

    /// Handles a phase 1 request.
    pub(crate) fn prepare(
        &mut self,
        from: RouterId,
        ballot: Ballot,
        known: Option<KnownPromise>,
        storage: &mut dyn AcceptorStorage<RegisterState<V>>,
        actions: &mut dyn RegisterActions<V>,
    ) {
        self.check_rollback(known);
        match self.acceptor.prepare(ballot, storage) {
            Ok(promise) => actions.promised(from, self.disk, &promise),
            Err(rejection) => reject(from, ballot, rejection, actions),
        }
    }

    /// Handles a phase 2 request.
    pub(crate) fn accept(
        &mut self,
        from: RouterId,
        (ballot, state): (Ballot, RegisterState<V>),
        known: Option<KnownPromise>,
        storage: &mut dyn AcceptorStorage<RegisterState<V>>,
        actions: &mut dyn RegisterActions<V>,
    ) {
        self.check_rollback(known);
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
