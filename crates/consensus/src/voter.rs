//! A keeper by its disk: answers questions as messages and does nothing else, so that it can stand still
//! with its disk while the router goes on.
use crate::*;
use applepond_membership::RouterId;

pub struct Voter<V> {
    disk: InstanceId,
    keeper: Keeper<Agreed<V>>,
}

impl<V: Clone> Voter<V> {
    /// `disk`: the number drawn when its file was made; `found`: what it holds, or why that is not known.
    pub fn new(fleet: u64, disk: InstanceId, found: Result<Option<Vote<Agreed<V>>>, Trouble>) -> Self {
        Voter { disk, keeper: Keeper::new(fleet, found) }
    }

    pub fn disk(&self) -> InstanceId {
        self.disk
    }

    pub fn trouble(&self) -> Option<Trouble> {
        self.keeper.trouble()
    }

    /// What it holds.
    pub fn vote(&self) -> &Vote<Agreed<V>> {
        self.keeper.vote()
    }

    /// Another's word on this disk, if it is this one.
    fn recall(&mut self, word: Option<(InstanceId, Ballot)>) {
        let disk = self.disk;
        self.keeper.recall(word.filter(|(d, _)| *d == disk).map(|(_, ballot)| ballot));
    }

    fn doubts(&self, from: RouterId, ballot: Ballot, orders: &mut dyn Actions<V>) {
        if let Some(trouble) = self.keeper.trouble() {
            orders.doubts(from, ballot, trouble);
        }
    }

    pub fn promise(
        &mut self,
        from: RouterId,
        ballot: Ballot,
        word: Option<(InstanceId, Ballot)>,
        votes: &mut dyn Votes<Agreed<V>>,
        orders: &mut dyn Actions<V>,
    ) {
        self.recall(word);
        match self.keeper.promise(ballot, votes) {
            Some(Ok((before, accepted))) => {
                orders.promised(from, (ballot, before), self.disk, accepted.as_ref());
            }
            Some(Err(promised)) => orders.refused(from, ballot, promised),
            None => self.doubts(from, ballot, orders),
        }
    }

    pub fn accept(
        &mut self,
        from: RouterId,
        (ballot, agreed): (Ballot, Agreed<V>),
        word: Option<(InstanceId, Ballot)>,
        votes: &mut dyn Votes<Agreed<V>>,
        orders: &mut dyn Actions<V>,
    ) {
        self.recall(word);
        match self.keeper.accept(ballot, agreed, votes) {
            Some(Ok(())) => orders.accepted(from, ballot, self.disk),
            Some(Err(promised)) => orders.refused(from, ballot, promised),
            None => self.doubts(from, ballot, orders),
        }
    }
}
