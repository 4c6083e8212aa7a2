//! One router's quota service: it holds leases, stores the term if this router is a replica, and allocates
//! if this process was elected.
//!
//! Liveness information only decides when a replica takes over. Consensus on the term, together with the
//! expiry of leases, ensures that two allocators never grant at the same time.
//!
//! - `election`: election of the allocator, by consensus on the term
//! - `leases`: requesting and granting shares
mod election;
mod leases;

use crate::{
    ALLOCATOR_TIMEOUT, Allocator, Budget, Guards, LEASE_DURATION, LEASE_RENEWAL_INTERVAL, LeaseGrant,
    LeaseRequest, Lessee,
};
use applepond::interface::Micros;
use applepond_consensus::{
    Acceptor, AcceptorState, Ballot, Promise, Proposer, ProposerActions, ReplicaIndex,
};
use applepond_membership::{InstanceId, RouterId};
use oorandom::Rand64;
use serde::{Deserialize, Serialize};

/// The term of an allocator, decided by consensus. The order of the fields is part of the message and
/// acceptor file formats.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Term {
    /// Incremented with each takeover.
    pub number: u64,
    /// The router that allocates.
    pub router: RouterId,
    /// The process that allocates. A restarted process does not inherit the term.
    pub instance_id: InstanceId,
    /// The digest of the allocator's settings, see [`ServiceConfig::digest`]. Routers with other settings
    /// neither vote for the term nor get leases from it.
    pub settings_digest: u64,
}

/// The identity of a router and the settings that all routers share.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// This router.
    pub router: RouterId,
    /// This process.
    pub instance_id: InstanceId,
    /// The routers that store the term, in the same order in the settings of all routers.
    pub replicas: Vec<RouterId>,
    /// The maximum number of routers.
    pub routers: u64,
    /// The shared budgets.
    pub budgets: Vec<Budget>,
}

impl ServiceConfig {
    /// A digest of the settings that must be equal on all routers: the replicas in order, the number of
    /// routers, the number of budgets, and their totals and floors.
    pub fn digest(&self) -> u64 {
        let replicas = self.replicas.iter().map(|replica| replica.0);
        let amounts = self.budgets.iter().flat_map(|budget| [budget.total, budget.floor]);
        let all = replicas.chain([self.routers, self.budgets.len() as u64]).chain(amounts);
        all.fold(0xb0d6_e75e_7711_9651, |digest: u64, number| {
            let mixed = (digest.rotate_left(23) ^ number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            mixed ^ (mixed >> 29)
        })
    }
}

/// Messages to other routers. Each may be lost, delayed or duplicated.
pub trait QuotaActions {
    /// Asks a replica to promise a ballot (phase 1).
    fn prepare(&mut self, to: RouterId, ballot: Ballot);
    /// Asks a replica to accept a term (phase 2).
    fn accept(&mut self, to: RouterId, ballot: Ballot, term: &Term);
    /// Responds to a phase 1 request with a promise.
    fn promised(&mut self, to: RouterId, promise: &Promise<Term>);
    /// Responds to a phase 2 request: the term is accepted.
    fn accepted(&mut self, to: RouterId, ballot: Ballot);
    /// Rejects a request: a higher ballot is promised.
    fn rejected(&mut self, to: RouterId, ballot: Ballot, promised: Ballot);
    /// Requests leases.
    fn request_leases(&mut self, to: RouterId, request: &LeaseRequest);
    /// Grants leases.
    fn grant_leases(&mut self, to: RouterId, grant: &LeaseGrant);
    /// Responds to a lease request with the router that seems to be the allocator.
    fn redirect(&mut self, to: RouterId, allocator: RouterId);
}

/// Sends the proposer's requests to the routers of the replicas.
struct ReplicaRequests<'a> {
    replicas: &'a [RouterId],
    actions: &'a mut dyn QuotaActions,
}

impl ProposerActions<Term> for ReplicaRequests<'_> {
    fn prepare(&mut self, to: ReplicaIndex, ballot: Ballot) {
        self.actions.prepare(self.replicas[to.0 as usize], ballot);
    }
    fn accept(&mut self, to: ReplicaIndex, ballot: Ballot, term: &Term) {
        self.actions.accept(self.replicas[to.0 as usize], ballot, term);
    }
}

/// The quota service of one router. It has no timer of its own: the caller calls
/// [`wake`](QuotaService::wake) when it is due.
pub struct QuotaService {
    config: ServiceConfig,
    /// The shares that this router may spend.
    pub lessee: Lessee,
    /// Present while this process holds the term, as far as it knows.
    allocator: Option<Allocator>,
    /// Present if this router is a replica and has an acceptor file.
    acceptor: Option<Acceptor<Term>>,
    /// Present if this router is a replica.
    proposer: Option<Proposer<Term>>,
    /// When the current round was started.
    round_started_at: Micros,
    next_round_at: Micros,
    next_request_at: Micros,
    /// The last known allocator.
    known_allocator: Option<RouterId>,
    /// When there was last news of the allocator.
    allocator_seen_at: Micros,
    rng: Rand64,
    guards: Guards,
    /// The last router that was found to have other settings, and when.
    mismatch: Option<(RouterId, Micros)>,
}

impl QuotaService {
    /// Creates a service without leases. If this router is a replica, `acceptor` holds the state loaded from
    /// its file.
    ///
    /// # Panics
    /// If this router is a replica and the number of replicas is even or above five.
    pub fn new(now: Micros, config: ServiceConfig, acceptor: Option<Acceptor<Term>>, seed: u64) -> Self {
        let replicas: Vec<ReplicaIndex> = (0..config.replicas.len() as u8).map(ReplicaIndex).collect();
        let is_replica = config.replicas.contains(&config.router);
        let mut rng = Rand64::new(u128::from(seed));
        // Replicas of a fleet often start together; the random delay keeps their first rounds from colliding.
        let next_round_at = now + rng.rand_range(0..ALLOCATOR_TIMEOUT);
        let next_request_at = now + rng.rand_range(0..LEASE_RENEWAL_INTERVAL);
        QuotaService {
            lessee: Lessee::new(now, &config.budgets),
            allocator: None,
            acceptor,
            proposer: is_replica.then(|| Proposer::new(config.instance_id, &replicas, seed)),
            round_started_at: now,
            next_round_at,
            next_request_at,
            known_allocator: None,
            allocator_seen_at: now,
            mismatch: None,
            config,
            rng,
            guards: Guards::ALL,
        }
    }

    /// Replaces the set of enabled checks, for tests.
    #[must_use]
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.lessee = self.lessee.with_guards(guards);
        self.guards = guards;
        self
    }

    /// Whether this router allocates now.
    pub fn is_allocator(&self, now: Micros) -> bool {
        self.allocator.as_ref().is_some_and(|allocator| allocator.is_active(now))
    }

    /// The last known allocator.
    pub fn known_allocator(&self) -> Option<RouterId> {
        self.known_allocator
    }

    /// The allocator, while this process holds the term.
    pub fn allocator(&self) -> Option<&Allocator> {
        self.allocator.as_ref()
    }

    /// A router that was found to have other settings within the last lease duration.
    pub fn mismatched_router(&self, now: Micros) -> Option<RouterId> {
        self.mismatch.filter(|(_, at)| now < at + LEASE_DURATION).map(|(router, _)| router)
    }

    /// The state of this router's acceptor, for the state page.
    pub fn acceptor_state(&self) -> Option<&AcceptorState<Term>> {
        self.acceptor.as_ref().map(Acceptor::state)
    }

    /// Applies new settings with the same number of budgets. A smaller total or floor takes effect at once
    /// for this router's shares, and with the next grants if it allocates.
    pub fn reconfigure(&mut self, now: Micros, budgets: &[Budget], routers: u64) {
        self.config.budgets = budgets.to_vec();
        self.config.routers = routers;
        self.lessee.reconfigure(now, budgets);
        if let Some(allocator) = &mut self.allocator {
            allocator.reconfigure(budgets, routers);
        }
    }

    /// The latest time at which `wake` must be called next.
    pub fn next_wakeup(&self) -> Micros {
        let next_round = match &self.proposer {
            None => Micros::MAX,
            Some(proposer) if proposer.is_idle() => self.next_round_at,
            Some(proposer) => proposer.next_wakeup(),
        };
        next_round.min(self.next_request_at)
    }

    /// Performs the actions that are due. `is_alive` tells whether a router seems to be alive.
    pub fn wake(&mut self, now: Micros, is_alive: &dyn Fn(RouterId) -> bool, actions: &mut dyn QuotaActions) {
        if now >= self.next_request_at {
            self.next_request_at = now + LEASE_RENEWAL_INTERVAL;
            self.request_leases(now, is_alive, actions);
        }
        self.wake_proposer(now, is_alive, actions);
    }
}
