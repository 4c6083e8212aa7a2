//! A keeper by its disk: answers questions as messages and does nothing else, so that it can stand still
//! with its disk while the router goes on.
use crate::*;
use applepond_membership::RouterId;

pub struct Replica<V> {
    disk: InstanceId,
    keeper: Acceptor<RegisterState<V>>,
}

impl<V: Clone> Replica<V> {
    /// `disk`: the number drawn when its file was made; `found`: what it holds, or why that is not known.
    pub fn new(
        fleet: u64,
        disk: InstanceId,
        found: Result<Option<AcceptorState<RegisterState<V>>>, AcceptorError>,
    ) -> Self {
        Replica { disk, keeper: Acceptor::new(fleet, found) }
    }

    pub fn disk(&self) -> InstanceId {
        self.disk
    }

    pub fn error(&self) -> Option<AcceptorError> {
        self.keeper.error()
    }

    /// What it holds.
    pub fn state(&self) -> &AcceptorState<RegisterState<V>> {
        self.keeper.state()
    }

    /// Another's word on this disk, if it is this one.
    fn recall(&mut self, word: Option<(InstanceId, Ballot)>) {
        let disk = self.disk;
        self.keeper.observe_promise(word.filter(|(d, _)| *d == disk).map(|(_, ballot)| ballot));
    }

    fn doubts(&self, from: RouterId, ballot: Ballot, orders: &mut dyn RegisterActions<V>) {
        if let Some(trouble) = self.keeper.error() {
            orders.abstained(from, ballot, trouble);
        }
    }

    pub fn prepare(
        &mut self,
        from: RouterId,
        ballot: Ballot,
        word: Option<(InstanceId, Ballot)>,
        votes: &mut dyn AcceptorStorage<RegisterState<V>>,
        orders: &mut dyn RegisterActions<V>,
    ) {
        self.recall(word);
        match self.keeper.prepare(ballot, votes) {
            Some(Ok((before, accepted))) => {
                orders.promised(from, (ballot, before), self.disk, accepted.as_ref());
            }
            Some(Err(promised)) => orders.rejected(from, ballot, promised),
            None => self.doubts(from, ballot, orders),
        }
    }

    pub fn accept(
        &mut self,
        from: RouterId,
        (ballot, agreed): (Ballot, RegisterState<V>),
        word: Option<(InstanceId, Ballot)>,
        votes: &mut dyn AcceptorStorage<RegisterState<V>>,
        orders: &mut dyn RegisterActions<V>,
    ) {
        self.recall(word);
        match self.keeper.accept(ballot, agreed, votes) {
            Some(Ok(())) => orders.accepted(from, ballot, self.disk),
            Some(Err(promised)) => orders.rejected(from, ballot, promised),
            None => self.doubts(from, ballot, orders),
        }
    }
}
