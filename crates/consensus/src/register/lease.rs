//! Leases on the state: requesting one from other routers, and serving their requests.
use super::{Register, RegisterActions, RegisterLease};
use crate::{CLOCK_DRIFT_DIVISOR, LEASE_DURATION, LEASE_REQUEST_INTERVAL, RegisterState};
use applepond::interface::Micros;
use applepond_membership::RouterId;
use oorandom::Rand64;

/// The requests for the state that this router sends.
pub(super) struct LeaseRequests {
    pub(super) next_at: Micros,
    /// The number of the latest request. Requests are numbered from 1.
    latest_number: u64,
    latest_sent_at: Micros,
    /// The router whose response was used last.
    pub(super) source: Option<RouterId>,
}

impl LeaseRequests {
    pub(super) fn new(now: Micros, rng: &mut Rand64) -> Self {
        LeaseRequests {
            next_at: now + rng.rand_range(0..LEASE_REQUEST_INTERVAL),
            latest_number: 0,
            latest_sent_at: now,
            source: None,
        }
    }
}

impl<V: Clone + Default> Register<V> {
    /// Requests the state from the router whose response was used last, else from the configured replicas in
    /// rotation.
    pub(super) fn request_state(
        &mut self,
        now: Micros,
        is_alive: &dyn Fn(RouterId) -> bool,
        actions: &mut dyn RegisterActions<V>,
    ) {
        self.requests.next_at = now + LEASE_REQUEST_INTERVAL;
        self.requests.latest_number += 1;
        self.requests.latest_sent_at = now;
        let others: Vec<RouterId> =
            self.configured.iter().copied().filter(|router| *router != self.router).collect();
        if others.is_empty() || self.is_latest_leader {
            return;
        }
        let has_lease = self.lease(now).is_some();
        let is_useful = |source: &RouterId| is_alive(*source) && *source != self.router && has_lease;
        let number = self.requests.latest_number;
        let in_turn = others[number as usize % others.len()];
        actions.request_state(self.requests.source.filter(is_useful).unwrap_or(in_turn), number);
    }

    /// Handles another router's request for the state.
    pub fn on_state_request(
        &mut self,
        now: Micros,
        from: RouterId,
        number: u64,
        actions: &mut dyn RegisterActions<V>,
    ) {
        if let Some(lease) = self.lease(now) {
            actions.send_state(from, number, &lease.state, lease.expires_at - now);
        }
    }

    /// Handles the response to this router's request. The lease starts when the request was sent, not when
    /// the response arrived.
    pub fn on_state_response(
        &mut self,
        now: Micros,
        from: RouterId,
        number: u64,
        state: RegisterState<V>,
        remaining: Micros,
    ) {
        // Ignores responses to earlier requests, and leases longer than any router can hold.
        if number != self.requests.latest_number || remaining > LEASE_DURATION {
            return;
        }
        let expires_at = self.requests.latest_sent_at + remaining - remaining / CLOCK_DRIFT_DIVISOR;
        if now >= expires_at || self.is_outdated(&state) {
            return;
        }
        let is_better = self
            .lease(now)
            .is_none_or(|lease| lease.expires_at < expires_at || lease.state.version < state.version);
        if is_better {
            self.highest_seen = Some((state.register_id, state.version));
            self.requests.source = Some(from);
            self.is_latest_leader &= from == self.router;
            self.lease = Some(RegisterLease { state, expires_at });
        }
    }

    /// Whether the state belongs to another register than the one seen last, or has an earlier version.
    fn is_outdated(&self, state: &RegisterState<V>) -> bool {
        self.highest_seen
            .is_some_and(|(register_id, version)| register_id != state.register_id || version > state.version)
    }
}
