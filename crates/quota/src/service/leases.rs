//! Leases: asking for shares, and granting them.
use super::{QuotaActions, QuotaService};
use crate::{LEASE_DURATION, LeaseGrant, LeaseRequest};
use applepond::interface::Micros;
use applepond_membership::RouterId;

impl QuotaService {
    /// Asks the allocator, or the replicas in turn where none is known.
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

    /// Another router asks for leases: grants them, or names the allocator.
    pub(crate) fn on_lease_request(
        &mut self,
        now: Micros,
        from: RouterId,
        request: &LeaseRequest,
        actions: &mut dyn QuotaActions,
    ) {
        // Guards against a share of another total: who has other settings keeps to its floor.
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

    /// Takes leases that were granted to this process.
    pub(crate) fn on_grant(&mut self, now: Micros, from: RouterId, grant: &LeaseGrant) {
        if grant.lessee == self.config.instance_id {
            self.lessee.on_grant(now, grant.number, &grant.extra);
            self.known_allocator = Some(from);
            self.allocator_seen_at = now;
        }
    }

    /// Another router says who allocates: it is asked next. That is no sign of life of it, or two routers
    /// could keep a dead one alive.
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
