//! Agreement on the term: which process allocates.
use super::{QuotaActions, QuotaService, ReplicaRequests, Term};
use crate::{ALLOCATOR_TIMEOUT, Allocator, LEASE_DURATION, TERM_CONFIRMATION_INTERVAL};
use applepond::interface::Micros;
use applepond_consensus::{AcceptorStorage, Ballot, Promise, ProposalOutcome, Rejection, ReplicaIndex};
use applepond_membership::RouterId;

impl QuotaService {
    /// Starts a round to confirm the own term, or to take over from an allocator that is not heard.
    pub(super) fn wake_proposer(
        &mut self,
        now: Micros,
        is_alive: &dyn Fn(RouterId) -> bool,
        actions: &mut dyn QuotaActions,
    ) {
        let Some(proposer) = &mut self.proposer else { return };
        let mut requests = ReplicaRequests { replicas: &self.config.replicas, actions };
        if !proposer.is_idle() {
            if now >= proposer.next_wakeup() {
                // A round that begins anew: what it confirms counts from here.
                self.round_started_at = now;
                proposer.wake(now, &mut requests);
            }
            return;
        }
        if now < self.next_round_at {
            return;
        }
        let has_term = self.allocator.is_some();
        let wait = ALLOCATOR_TIMEOUT + self.rng.rand_range(0..ALLOCATOR_TIMEOUT);
        self.next_round_at = now + if has_term { TERM_CONFIRMATION_INTERVAL } else { wait };
        let own = self.config.router;
        let is_gone = self.known_allocator.is_none_or(|known| known == own || !is_alive(known));
        let is_overdue = is_gone && now >= self.allocator_seen_at + ALLOCATOR_TIMEOUT;
        if has_term || is_overdue || now >= self.allocator_seen_at + 2 * LEASE_DURATION {
            self.round_started_at = now;
            proposer.prepare(now, &mut requests);
        }
    }

    /// Answers a request of phase 1, if this router is a replica.
    pub(crate) fn on_prepare(
        &mut self,
        from: RouterId,
        ballot: Ballot,
        storage: &mut dyn AcceptorStorage<Term>,
        actions: &mut dyn QuotaActions,
    ) {
        match self.acceptor.as_mut().map(|acceptor| acceptor.prepare(ballot, storage)) {
            Some(Ok(promise)) => actions.promised(from, &promise),
            Some(Err(Rejection::Superseded { promised })) => actions.rejected(from, ballot, promised),
            Some(Err(Rejection::Abstained(_))) | None => {}
        }
    }

    /// Answers a request of phase 2, if this router is a replica.
    pub fn on_accept(
        &mut self,
        now: Micros,
        from: RouterId,
        (ballot, term): (Ballot, Term),
        storage: &mut dyn AcceptorStorage<Term>,
        actions: &mut dyn QuotaActions,
    ) {
        // Guards against a division by other settings: a replica that has others does not vote for it.
        if term.settings_digest != self.config.digest() {
            self.mismatch = Some((from, now));
            return;
        }
        match self.acceptor.as_mut().map(|acceptor| acceptor.accept(ballot, term, storage)) {
            Some(Ok(())) => actions.accepted(from, ballot),
            Some(Err(Rejection::Superseded { promised })) => actions.rejected(from, ballot, promised),
            Some(Err(Rejection::Abstained(_))) | None => {}
        }
    }

    fn replica_of(&self, router: RouterId) -> Option<ReplicaIndex> {
        let place = self.config.replicas.iter().position(|replica| *replica == router)?;
        Some(ReplicaIndex(place as u8))
    }

    /// A replica has promised. Once a majority has, this router writes its own term, unless another
    /// allocates.
    pub(crate) fn on_promised(
        &mut self,
        now: Micros,
        from: RouterId,
        promise: Promise<Term>,
        is_alive: &dyn Fn(RouterId) -> bool,
        actions: &mut dyn QuotaActions,
    ) {
        let Some(replica) = self.replica_of(from) else { return };
        let Some(proposer) = &mut self.proposer else { return };
        let Some(ProposalOutcome::Read(term)) = proposer.on_promised(replica, promise) else { return };
        let own = self.config.instance_id;
        let is_own = term.as_ref().is_some_and(|term| term.instance_id == own);
        // Of a process before this one on this router nobody else is left to speak.
        let router = self.config.router;
        let is_gone = term.as_ref().is_none_or(|term| term.router == router || !is_alive(term.router));
        if !is_own && !is_gone {
            proposer.abandon();
            self.known_allocator = term.map(|term| term.router);
            self.allocator_seen_at = now;
            self.allocator = None;
            return;
        }
        if !is_own {
            // Guards against what it noted in an earlier term: others have granted since, and it waits again.
            self.allocator = None;
        }
        let next = Term {
            number: term.as_ref().map_or(1, |term| term.number + u64::from(!is_own)),
            router,
            instance_id: own,
            settings_digest: self.config.digest(),
        };
        proposer.propose(now, next, &mut ReplicaRequests { replicas: &self.config.replicas, actions });
    }

    /// A replica has accepted this router's term. Once a majority has, it allocates.
    pub(crate) fn on_accepted(&mut self, now: Micros, from: RouterId, ballot: Ballot) {
        let Some(replica) = self.replica_of(from) else { return };
        let Some(proposer) = &mut self.proposer else { return };
        let Some(ProposalOutcome::Committed(term)) = proposer.on_accepted(replica, ballot) else { return };
        // Guards against settings that came since: most replicas have not voted for them.
        if term.settings_digest != self.config.digest() {
            return;
        }
        self.next_round_at = now + TERM_CONFIRMATION_INTERVAL;
        self.known_allocator = Some(self.config.router);
        self.allocator_seen_at = now;
        // The term is its own since the first time that it was known to be written.
        let config = &self.config;
        let new = || Allocator::new(now, &config.budgets, config.routers).with_guards(self.guards);
        self.allocator.get_or_insert_with(new).on_confirmed(self.round_started_at);
    }

    /// A replica has promised a higher ballot.
    pub(crate) fn on_rejected(&mut self, now: Micros, ballot: Ballot, promised: Ballot) {
        if let Some(proposer) = &mut self.proposer {
            proposer.on_rejected(now, ballot, promised);
        }
    }
}
