//! Election of the allocator, by consensus on the term.
use super::{QuotaActions, QuotaService, ReplicaRequests, Term};
use crate::{ALLOCATOR_TIMEOUT, Allocator, LEASE_DURATION, TERM_CONFIRMATION_INTERVAL};
use applepond::interface::Micros;
use applepond_consensus::{AcceptorStorage, Ballot, Promise, ProposalOutcome, Rejection, ReplicaIndex};
use applepond_membership::RouterId;

impl QuotaService {
    /// Starts a round to confirm this process's term, or to take over from a silent allocator.
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
                // `wake` may start a new round: the authority that it confirms is measured from this time.
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

    /// Handles a phase 1 request, if this router is a replica.
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

    /// Handles a phase 2 request, if this router is a replica.
    pub fn on_accept(
        &mut self,
        now: Micros,
        from: RouterId,
        (ballot, term): (Ballot, Term),
        storage: &mut dyn AcceptorStorage<Term>,
        actions: &mut dyn QuotaActions,
    ) {
        // A replica does not vote for a term with other settings, so that budgets are only divided by
        // settings that a majority of the replicas has.
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
        let index = self.config.replicas.iter().position(|replica| *replica == router)?;
        Some(ReplicaIndex(index as u8))
    }

    /// Handles a promise of a replica. Once a majority has promised, this router proposes its own term,
    /// unless another allocator seems to be alive.
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
        // A term of an earlier process on this router is over, since that process has been replaced.
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
            // The records of an earlier term are outdated, as others have granted leases since. The new
            // allocator waits for those to expire.
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

    /// Handles an acceptance of this router's term. Once a majority has accepted, this router allocates.
    pub(crate) fn on_accepted(&mut self, now: Micros, from: RouterId, ballot: Ballot) {
        let Some(replica) = self.replica_of(from) else { return };
        let Some(proposer) = &mut self.proposer else { return };
        let Some(ProposalOutcome::Committed(term)) = proposer.on_accepted(replica, ballot) else { return };
        // The settings have changed since the proposal, and a majority has not voted for the new ones.
        if term.settings_digest != self.config.digest() {
            return;
        }
        self.next_round_at = now + TERM_CONFIRMATION_INTERVAL;
        self.known_allocator = Some(self.config.router);
        self.allocator_seen_at = now;
        // The allocator is created once per term, when the term is first known to be committed.
        let config = &self.config;
        let new = || Allocator::new(now, &config.budgets, config.routers).with_guards(self.guards);
        self.allocator.get_or_insert_with(new).on_confirmed(self.round_started_at);
    }

    /// Handles a rejection by a replica that has promised a higher ballot.
    pub(crate) fn on_rejected(&mut self, now: Micros, ballot: Ballot, promised: Ballot) {
        if let Some(proposer) = &mut self.proposer {
            proposer.on_rejected(now, ballot, promised);
        }
    }
}
