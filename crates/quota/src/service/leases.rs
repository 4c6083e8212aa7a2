//! Leases: requesting and granting shares.
use super::{QuotaActions, QuotaService};
use crate::{LEASE_DURATION, LeaseGrant, LeaseRequest};
use applepond::interface::Micros;
use applepond_membership::RouterId;

impl QuotaService {
    /// Sends a request to the known allocator, else to the replicas in rotation.
    pub(super) fn request_leases(
        &mut self,
        now: Micros,
        is_alive: &dyn Fn(RouterId) -> bool,
        actions: &mut dyn QuotaActions,
    ) {
        let renewal = self.lessee.renew(now);
        let is_known = now < self.allocator_seen_at + LEASE_DURATION;
        let known = self.known_allocator.filter(|allocator| is_alive(*allocator) && is_known);
        let replicas = &self.config.replicas;
        let to = known.unwrap_or(replicas[renewal.number as usize % replicas.len()]);
        let request = LeaseRequest {
            lessee: self.config.instance_id,
            settings_digest: self.config.digest(),
            number: renewal.number,
            in_force: renewal.in_force,
            need: renewal.need,
        };
        actions.request_leases(to, &request);
    }

    /// Handles a lease request of another router: grants it, or redirects to the known allocator.
    pub(crate) fn on_lease_request(
        &mut self,
        now: Micros,
        from: RouterId,
        request: &LeaseRequest,
        actions: &mut dyn QuotaActions,
    ) {
        // A router with other settings computes shares of another total, so it is limited to its floor.
        if request.settings_digest != self.config.digest() {
            self.mismatch = Some((from, now));
            return;
        }
        let LeaseRequest { lessee, number, in_force, .. } = *request;
        let allocator = self.allocator.as_mut().filter(|allocator| allocator.is_active(now));
        match allocator.and_then(|active| active.allocate(now, lessee, (number, in_force), &request.need)) {
            Some(extra) => actions.grant_leases(from, &LeaseGrant { lessee, number, extra }),
            None => self.redirect(now, from, actions),
        }
    }

    fn redirect(&self, now: Micros, from: RouterId, actions: &mut dyn QuotaActions) {
        let is_known = now < self.allocator_seen_at + LEASE_DURATION;
        if let Some(allocator) = self.known_allocator.filter(|known| *known != from && is_known) {
            actions.redirect(from, allocator);
        }
    }

    /// Handles a grant. One addressed to an earlier process on this router is ignored.
    pub(crate) fn on_grant(&mut self, now: Micros, from: RouterId, grant: &LeaseGrant) {
        if grant.lessee == self.config.instance_id {
            self.lessee.on_grant(now, grant.number, &grant.extra);
            self.known_allocator = Some(from);
            self.allocator_seen_at = now;
        }
    }

    /// Handles a redirect: the named allocator is asked next. A redirect is no evidence that the allocator is
    /// alive, or two routers could keep redirecting each other to a dead one.
    pub(crate) fn on_redirect(
        &mut self,
        now: Micros,
        allocator: RouterId,
        is_alive: &dyn Fn(RouterId) -> bool,
    ) {
        let is_unknown = self.known_allocator.is_none() || now >= self.allocator_seen_at + LEASE_DURATION;
        if is_alive(allocator) && is_unknown {
            self.known_allocator = Some(allocator);
            self.allocator_seen_at = self.allocator_seen_at.max(now.saturating_sub(LEASE_DURATION / 2));
        }
    }
}
