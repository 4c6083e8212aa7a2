//! One router's part in dividing the budgets: it holds leases, stores the term if it is a replica, and
//! allocates if the term is its own.
//!
//! Which routers seem to be alive only decides when a replica takes over. That two never grant at once is
//! ensured by the agreed term and by the leases.
//!
//! - `election`: agreement on the term, by consensus
//! - `leases`: asking for shares, and granting them
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

/// Who allocates, as agreed on. The order of the fields is part of the messages and of the acceptors' files.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Term {
    /// Rises by one with each router that takes over.
    pub number: u64,
    /// The router that allocates.
    pub router: RouterId,
    /// Its process: one that was restarted has no term of its life before.
    pub instance_id: InstanceId,
    /// What it divides and among how many, as [`ServiceConfig::digest`] has it. Who has other settings has no
    /// part in it.
    pub settings_digest: u64,
}

/// A router's place among the others, and what they share.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// This router.
    pub router: RouterId,
    /// This process.
    pub instance_id: InstanceId,
    /// The routers that store the term, by their places, the same in all routers' settings.
    pub replicas: Vec<RouterId>,
    /// How many routers could ever be there.
    pub routers: u64,
    /// What is shared.
    pub budgets: Vec<Budget>,
}

impl ServiceConfig {
    /// One number for the settings that all routers have to share: replicas by place, totals, floors, how
    /// many.
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

/// Messages to other routers. Each may be lost, delayed or repeated.
pub trait QuotaActions {
    /// Asks a replica to promise a ballot (phase 1).
    fn prepare(&mut self, to: RouterId, ballot: Ballot);
    /// Asks a replica to accept a term (phase 2).
    fn accept(&mut self, to: RouterId, ballot: Ballot, term: &Term);
    /// Answers a request of phase 1 with a promise.
    fn promised(&mut self, to: RouterId, promise: &Promise<Term>);
    /// Answers a request of phase 2: the term is accepted.
    fn accepted(&mut self, to: RouterId, ballot: Ballot);
    /// Answers a request: a higher ballot is promised.
    fn rejected(&mut self, to: RouterId, ballot: Ballot, promised: Ballot);
    /// Asks for the next leases.
    fn request_leases(&mut self, to: RouterId, request: &LeaseRequest);
    /// Grants leases.
    fn grant_leases(&mut self, to: RouterId, grant: &LeaseGrant);
    /// Answers a request for leases: another router allocates, or seems to.
    fn redirect(&mut self, to: RouterId, allocator: RouterId);
}

/// The requests of the proposer, sent to the replicas by their routers.
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

/// The quota service of one router. It never acts by itself: [`wake`](QuotaService::wake) has to be called in
/// time.
pub struct QuotaService {
    config: ServiceConfig,
    /// What this router may spend.
    pub lessee: Lessee,
    /// While the term is this process' own, as far as it knows.
    allocator: Option<Allocator>,
    /// Where this router is a replica and has a file for its acceptor.
    acceptor: Option<Acceptor<Term>>,
    /// Where this router is a replica.
    proposer: Option<Proposer<Term>>,
    /// When the round under way was started.
    round_started_at: Micros,
    next_round_at: Micros,
    next_request_at: Micros,
    /// The router that allocates, as last heard.
    known_allocator: Option<RouterId>,
    /// When that was last known.
    allocator_seen_at: Micros,
    rng: Rand64,
    guards: Guards,
    /// The router that was last found to have other settings, and when.
    mismatch: Option<(RouterId, Micros)>,
}

impl QuotaService {
    /// A service without leases. `acceptor` is on what its disk holds, where this router is a replica.
    ///
    /// # Panics
    /// Where this router is a replica, and there are more than five or an even number of them.
    pub fn new(now: Micros, config: ServiceConfig, acceptor: Option<Acceptor<Term>>, seed: u64) -> Self {
        let replicas: Vec<ReplicaIndex> = (0..config.replicas.len() as u8).map(ReplicaIndex).collect();
        let is_replica = config.replicas.contains(&config.router);
        let mut rng = Rand64::new(u128::from(seed));
        // All replicas start at once with their fleet; the first to try is mostly alone.
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

    /// The same with these guards alone, for tests.
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

    /// The router that allocates, as far as is known here.
    pub fn known_allocator(&self) -> Option<RouterId> {
        self.known_allocator
    }

    /// The allocator, while the term is this process' own.
    pub fn allocator(&self) -> Option<&Allocator> {
        self.allocator.as_ref()
    }

    /// The router that was found to have other settings, for a lease's time.
    pub fn mismatched_router(&self, now: Micros) -> Option<RouterId> {
        self.mismatch.filter(|(_, at)| now < at + LEASE_DURATION).map(|(router, _)| router)
    }

    /// What the acceptor of this router holds; for the state page.
    pub fn acceptor_state(&self) -> Option<&AcceptorState<Term>> {
        self.acceptor.as_ref().map(Acceptor::state)
    }

    /// Takes new settings, of as many budgets as before. A total or floor that shrinks does so here at once,
    /// and is granted less if this router allocates.
    pub fn reconfigure(&mut self, now: Micros, budgets: &[Budget], routers: u64) {
        self.config.budgets = budgets.to_vec();
        self.config.routers = routers;
        self.lessee.reconfigure(now, budgets);
        if let Some(allocator) = &mut self.allocator {
            allocator.reconfigure(budgets, routers);
        }
    }

    /// When `wake` has to be called at the latest.
    pub fn next_wakeup(&self) -> Micros {
        let next_round = match &self.proposer {
            None => Micros::MAX,
            Some(proposer) if proposer.is_idle() => self.next_round_at,
            Some(proposer) => proposer.next_wakeup(),
        };
        next_round.min(self.next_request_at)
    }

    /// Does what is due. `is_alive` tells whether a router seems to be there.
    pub fn wake(&mut self, now: Micros, is_alive: &dyn Fn(RouterId) -> bool, actions: &mut dyn QuotaActions) {
        if now >= self.next_request_at {
            self.next_request_at = now + LEASE_RENEWAL_INTERVAL;
            self.request_leases(now, is_alive, actions);
        }
        self.wake_proposer(now, is_alive, actions);
    }
}
