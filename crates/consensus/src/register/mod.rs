//! One router's view of the register: it holds a lease on the latest state, and may become the leader.
//!
//! The router that proposes first becomes the leader. Leases keep routers from acting on an outdated state:
//! each router measures its lease by its own clock, from before it sent the request. The acceptor is a
//! separate [`Replica`](crate::Replica), so slow disk writes do not block the register.
//!
//! - `leader`: the rounds that this router starts, from bootstrap to reconfiguration
//! - `lease`: requesting the state from other routers, and serving their requests
mod leader;
mod lease;

use crate::{
    AcceptorError, Ballot, KnownPromise, LEADER_TIMEOUT, LEASE_DURATION, LEASE_RENEWAL_INTERVAL, Promise,
    ReconfigurableProposer, RegisterState, ReplicaRequests, Unavailable,
};
use applepond::interface::Micros;
use applepond_membership::{InstanceId, RouterId};
use leader::RoundProgress;
use lease::LeaseRequests;
use oorandom::Rand64;

/// Messages to other routers. Each may be lost, delayed or duplicated.
pub trait RegisterActions<V>: ReplicaRequests<V> {
    /// Responds to a phase 1 request with a promise that is durable on this disk.
    fn promised(&mut self, to: RouterId, disk: InstanceId, promise: &Promise<RegisterState<V>>);
    /// Responds to a phase 2 request: the state is accepted.
    fn accepted(&mut self, to: RouterId, ballot: Ballot, disk: InstanceId);
    /// Rejects a request: a higher ballot is promised.
    fn rejected(&mut self, to: RouterId, ballot: Ballot, promised: Ballot);
    /// Responds to a request: this acceptor abstains because of `error`.
    fn abstained(&mut self, to: RouterId, ballot: Ballot, error: AcceptorError);
    /// Requests the state. The response repeats `number`.
    fn request_state(&mut self, to: RouterId, number: u64);
    /// Responds with the state, which may be used for `remaining` µs from when the request was sent.
    fn send_state(&mut self, to: RouterId, number: u64, state: &RegisterState<V>, remaining: Micros);
}

/// A committed state that this router may use until the lease expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisterLease<V> {
    /// The state.
    pub state: RegisterState<V>,
    /// When the lease expires, by this process's clock.
    pub expires_at: Micros,
}

/// One router's register, as the leader or a follower.
///
/// It has no timer of its own: the caller calls [`wake`](Register::wake) when it is due.
pub struct Register<V> {
    router: RouterId,
    instance_id: InstanceId,
    /// The replicas according to the settings.
    configured: Vec<RouterId>,
    /// Whether this router runs a replica.
    has_replica: bool,
    /// Why that replica abstains, if it does.
    acceptor_error: Option<AcceptorError>,
    started_at: Micros,
    proposer: ReconfigurableProposer<V>,
    /// The current round, or the latest one.
    round: RoundProgress,
    /// Whether other routers, by their latest reports, have seen a committed state.
    is_remembered: bool,
    /// Whether the latest committed round known here was started by this router.
    is_latest_leader: bool,
    /// When the next round may start.
    next_round_at: Micros,
    requests: LeaseRequests,
    lease: Option<RegisterLease<V>>,
    /// The register and highest version that this process has seen. It is only used to reject older states,
    /// never to accept one.
    highest_seen: Option<(InstanceId, u64)>,
    /// The proposed value, and the version that it replaces.
    proposal: Option<(u64, V)>,
    /// A register that was just bootstrapped, and when this process first read it.
    bootstrapped: Option<(InstanceId, Micros)>,
    /// Why the latest round failed.
    unavailable: Option<Unavailable>,
    rng: Rand64,
}

impl<V: Clone + Default> Register<V> {
    /// Creates a register without a lease. `has_replica` tells whether this router runs a
    /// [`Replica`](crate::Replica); `configured` are the replicas according to the settings.
    pub fn new(
        now: Micros,
        (router, instance_id): (RouterId, InstanceId),
        configured: &[RouterId],
        has_replica: bool,
        seed: u64,
    ) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        // Replicas of a fleet often start together; the random delay keeps their first rounds from colliding.
        let next_round_at = now + crate::BOOTSTRAP_DELAY + rng.rand_range(0..LEADER_TIMEOUT);
        Register {
            router,
            instance_id,
            configured: configured.to_vec(),
            has_replica,
            acceptor_error: None,
            started_at: now,
            proposer: ReconfigurableProposer::new(instance_id, configured, seed),
            round: RoundProgress::new(now),
            is_remembered: false,
            is_latest_leader: false,
            next_round_at,
            requests: LeaseRequests::new(now, &mut rng),
            lease: None,
            highest_seen: None,
            proposal: None,
            bootstrapped: None,
            unavailable: None,
            rng,
        }
    }

    /// The instance id of this process.
    pub fn instance_id(&self) -> InstanceId {
        self.instance_id
    }

    /// The lease, unless it has expired. Callers check it each time before they act on the state.
    pub fn lease(&self, now: Micros) -> Option<&RegisterLease<V>> {
        self.lease.as_ref().filter(|lease| now < lease.expires_at)
    }

    /// The register and version last seen, even if the lease on them has expired.
    pub fn highest_seen(&self) -> Option<(InstanceId, u64)> {
        self.highest_seen
    }

    /// Why there is no lease, or why this router's acceptor abstains.
    pub fn unavailable_reason(&self, now: Micros) -> Option<Unavailable> {
        if let Some(error) = self.acceptor_error {
            return Some(Unavailable::AcceptorFailed(error.label()));
        }
        self.unavailable.clone().filter(|_| self.lease(now).is_none())
    }

    /// Whether this router is the leader, which proposes changes.
    pub fn is_leader(&self, now: Micros) -> bool {
        self.is_latest_leader && self.lease(now).is_some()
    }

    /// Proposes a value to replace the one of this version. Ignored unless this router is the leader. A later
    /// lease shows whether the value was committed.
    pub fn propose(&mut self, now: Micros, version: u64, value: V) {
        if self.is_leader(now) {
            self.proposal = Some((version, value));
            self.next_round_at = now;
        }
    }

    /// Sets why this router's acceptor abstains, if it does.
    pub fn set_acceptor_error(&mut self, error: Option<AcceptorError>) {
        self.acceptor_error = error;
    }

    /// Replaces the configured replicas. The register is reconfigured towards them one replica at a time.
    pub fn set_configured_replicas(&mut self, configured: &[RouterId]) {
        self.configured = configured.to_vec();
        self.proposer.set_configured_replicas(configured);
    }

    /// The latest time at which `wake` must be called next.
    pub fn next_wakeup(&self) -> Micros {
        let next_round = match (self.may_lead(), self.proposer.is_idle()) {
            (false, _) => Micros::MAX,
            (true, true) => self.next_round_at,
            (true, false) => self.proposer.next_wakeup(),
        };
        next_round.min(self.requests.next_at)
    }

    fn may_lead(&self) -> bool {
        self.has_replica || self.configured.contains(&self.router)
    }

    /// Performs the actions that are due. `is_alive` tells whether a router seems to be alive, which only
    /// affects whom this router asks for the state.
    pub fn wake(
        &mut self,
        now: Micros,
        is_alive: &dyn Fn(RouterId) -> bool,
        actions: &mut dyn RegisterActions<V>,
    ) {
        if now >= self.requests.next_at {
            self.request_state(now, is_alive, actions);
        }
        if !self.may_lead() {
            return;
        }
        if !self.proposer.is_idle() {
            self.continue_round(now, actions);
        } else if now >= self.next_round_at {
            self.start_round(now, actions);
        }
    }

    /// Continues the current round after a timeout or backoff.
    fn continue_round(&mut self, now: Micros, actions: &mut dyn RegisterActions<V>) {
        if now < self.proposer.next_wakeup() {
            return;
        }
        if self.proposer.awaits(self.proposer.ballot()) {
            self.unavailable = Some(self.timeout_reason());
        }
        if self.proposer.wake(now, &mut Requests(actions)) {
            self.round = RoundProgress::new(now);
        }
    }

    /// Starts a round if this router is the leader or there is no recent news of one.
    fn start_round(&mut self, now: Micros, actions: &mut dyn RegisterActions<V>) {
        let is_recent = |lease: &RegisterLease<V>| lease.expires_at > now + LEASE_DURATION - LEADER_TIMEOUT;
        let has_recent_lease = self.lease(now).is_some_and(is_recent);
        let wait = match self.is_latest_leader {
            true => LEASE_RENEWAL_INTERVAL,
            false => LEADER_TIMEOUT + self.rng.rand_range(0..LEADER_TIMEOUT),
        };
        self.next_round_at = now + wait;
        if self.is_latest_leader || !has_recent_lease {
            self.round = RoundProgress::new(now);
            self.proposer.prepare(now, &mut Requests(actions));
        }
    }
}

/// Adapts register actions to the requests of a proposer.
struct Requests<'a, V>(&'a mut dyn RegisterActions<V>);

impl<V> ReplicaRequests<V> for Requests<'_, V> {
    fn prepare(&mut self, to: RouterId, ballot: Ballot, known: Option<KnownPromise>) {
        self.0.prepare(to, ballot, known);
    }
    fn accept(
        &mut self,
        to: RouterId,
        ballot: Ballot,
        state: &RegisterState<V>,
        known: Option<KnownPromise>,
    ) {
        self.0.accept(to, ballot, state, known);
    }
}
