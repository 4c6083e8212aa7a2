//! One router's part in the register: it leads where it may, and holds a lease on the latest state.
//!
//! Which router leads is decided by who proposes first. That nobody acts on an outdated state is ensured by
//! the lease, which each router counts by its own clock from before it asked. The acceptor itself is a
//! [`Replica`](crate::Replica) beside the register, so that its disk may take its time.
//!
//! - `leader`: the rounds that this router starts, from bootstrap to a change of replicas
//! - `lease`: asking others for the state, and answering them
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

/// Messages to other routers. Each may be lost, delayed or repeated.
pub trait RegisterActions<V>: ReplicaRequests<V> {
    /// Answers a request of phase 1 with a promise, from this disk.
    fn promised(&mut self, to: RouterId, disk: InstanceId, promise: &Promise<RegisterState<V>>);
    /// Answers a request of phase 2: the state is accepted.
    fn accepted(&mut self, to: RouterId, ballot: Ballot, disk: InstanceId);
    /// Answers a request: a higher ballot is promised.
    fn rejected(&mut self, to: RouterId, ballot: Ballot, promised: Ballot);
    /// Answers a request: this acceptor takes no part, and why.
    fn abstained(&mut self, to: RouterId, ballot: Ballot, error: AcceptorError);
    /// Asks for the state. `number` comes back with the answer.
    fn request_state(&mut self, to: RouterId, number: u64);
    /// Answers with the state, which may be used for `remaining` µs from when the request was sent.
    fn send_state(&mut self, to: RouterId, number: u64, state: &RegisterState<V>, remaining: Micros);
}

/// The state that was agreed on, as it may be used here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisterLease<V> {
    /// The state.
    pub state: RegisterState<V>,
    /// When it must not be used any more, by this process' clock.
    pub expires_at: Micros,
}

/// What a register does while another router leads or nobody does, and what it does as the leader.
///
/// It never acts by itself: [`wake`](Register::wake) has to be called in time.
pub struct Register<V> {
    router: RouterId,
    instance_id: InstanceId,
    /// The replicas by the settings.
    configured: Vec<RouterId>,
    /// A replica stands beside it on this router.
    has_replica: bool,
    /// Why that replica takes no part, if so.
    acceptor_error: Option<AcceptorError>,
    started_at: Micros,
    proposer: ReconfigurableProposer<V>,
    /// The round under way, or the latest one.
    round: RoundProgress,
    /// Others say that something was agreed on, as last heard.
    is_remembered: bool,
    /// The latest committed round was this router's, as far as it knows.
    is_latest_leader: bool,
    /// When the next round may begin.
    next_round_at: Micros,
    requests: LeaseRequests,
    lease: Option<RegisterLease<V>>,
    /// The highest register and version that this process has heard of. It never permits anything; it only
    /// says what is older.
    highest_seen: Option<(InstanceId, u64)>,
    /// The next value, in place of the one of this version.
    proposal: Option<(u64, V)>,
    /// A register that was just bootstrapped, and when this process first read it.
    bootstrapped: Option<(InstanceId, Micros)>,
    /// Why the latest round failed.
    unavailable: Option<Unavailable>,
    rng: Rand64,
}

impl<V: Clone + Default> Register<V> {
    /// A register without a lease. `has_replica`: a [`Replica`](crate::Replica) stands beside it on this
    /// router. `configured` are the replicas by the settings.
    pub fn new(
        now: Micros,
        (router, instance_id): (RouterId, InstanceId),
        configured: &[RouterId],
        has_replica: bool,
        seed: u64,
    ) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        // All replicas start at once with their fleet; the first to try is mostly alone.
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

    /// The process that this register belongs to.
    pub fn instance_id(&self) -> InstanceId {
        self.instance_id
    }

    /// The state, if it may still be used. Look again wherever it is acted on.
    pub fn lease(&self, now: Micros) -> Option<&RegisterLease<V>> {
        self.lease.as_ref().filter(|lease| now < lease.expires_at)
    }

    /// The register and version last heard of, also where they may not be used any more.
    pub fn highest_seen(&self) -> Option<(InstanceId, u64)> {
        self.highest_seen
    }

    /// Why nothing is agreed on, where there is no lease, or that this router's acceptor takes no part.
    pub fn unavailable_reason(&self, now: Micros) -> Option<Unavailable> {
        if let Some(error) = self.acceptor_error {
            return Some(Unavailable::AcceptorFailed(error.label()));
        }
        self.unavailable.clone().filter(|_| self.lease(now).is_none())
    }

    /// Whether this router leads: it is the one to propose changes.
    pub fn is_leader(&self, now: Micros) -> bool {
        self.is_latest_leader && self.lease(now).is_some()
    }

    /// Proposes a value in place of the one of this version. Only the leader can have it written. Whether it
    /// was is seen in the lease.
    pub fn propose(&mut self, now: Micros, version: u64, value: V) {
        if self.is_leader(now) {
            self.proposal = Some((version, value));
            self.next_round_at = now;
        }
    }

    /// The state of the acceptor beside it: why it takes no part, if so.
    pub fn set_acceptor_error(&mut self, error: Option<AcceptorError>) {
        self.acceptor_error = error;
    }

    /// Other replicas by the settings. They are changed one by one, by agreement.
    pub fn set_configured_replicas(&mut self, configured: &[RouterId]) {
        self.configured = configured.to_vec();
        self.proposer.set_configured_replicas(configured);
    }

    /// When `wake` has to be called at the latest.
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

    /// Does what is due. `is_alive` tells whether a router seems to be there; only whom to ask depends on it.
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

    /// The round under way was not answered in time, or its backoff is over.
    fn continue_round(&mut self, now: Micros, actions: &mut dyn RegisterActions<V>) {
        if now < self.proposer.next_wakeup() {
            return;
        }
        if self.proposer.awaits(self.proposer.ballot()) {
            self.unavailable = Some(self.reason_of_timeout());
        }
        if self.proposer.wake(now, &mut Requests(actions)) {
            self.round = RoundProgress::new(now);
        }
    }

    /// Starts a round as the leader, or where the leader was not heard of lately.
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

/// The part of the actions that a round needs.
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
