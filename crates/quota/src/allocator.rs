//! The allocator: tracks the unexpired leases of each lessee and grants new shares.
use crate::{
    Amount, Budget, Guards, LEASE_DURATION, MAX_LEASES_PER_LESSEE, MAX_LESSEES, TERM_AUTHORITY,
    with_clock_drift,
};
use applepond::interface::Micros;
use applepond_membership::InstanceId;
use std::collections::BTreeMap;

/// A lease that its lessee may still be using.
#[derive(Clone, Debug)]
struct GrantedLease {
    /// The number of the request.
    number: u64,
    expires_at: Micros,
    /// The share above the floor, by budget.
    extra: Vec<Amount>,
}

/// A known lessee.
#[derive(Clone, Debug)]
struct LesseeRecord {
    /// The number of its latest request.
    latest_request: u64,
    last_request_at: Micros,
    /// The stated need, by budget.
    need: Vec<Amount>,
    leases: Vec<GrantedLease>,
}

impl LesseeRecord {
    fn new(now: Micros) -> Self {
        LesseeRecord { latest_request: 0, last_request_at: now, need: Vec::new(), leases: Vec::new() }
    }

    /// The largest share of a budget in any of its recorded leases.
    fn outstanding(&self, budget: usize) -> Amount {
        self.leases.iter().map(|lease| lease.extra[budget]).max().unwrap_or(0)
    }

    /// The largest share of a budget in any of its leases that are unexpired at `now`.
    fn outstanding_at(&self, now: Micros, budget: usize) -> Amount {
        let in_force = self.leases.iter().filter(|lease| now < lease.expires_at);
        in_force.map(|lease| lease.extra[budget]).max().unwrap_or(0)
    }
}

/// Divides the budgets while its term is confirmed. The term itself is decided by consensus elsewhere; the
/// allocator only learns when it was committed and when it was last confirmed.
#[derive(Clone, Debug)]
pub struct Allocator {
    budgets: Vec<Budget>,
    /// The maximum number of routers. Each has its floor without a lease.
    routers: u64,
    /// Keyed by process rather than by router: a restarted process must not inherit the leases of its
    /// predecessor.
    lessees: BTreeMap<InstanceId, LesseeRecord>,
    /// Nothing is granted before this time.
    active_from: Micros,
    /// Nothing is granted from this time on.
    active_until: Micros,
    guards: Guards,
}

/// The max-min fair shares of a total: no share exceeds its need, and a share below its need is at least as
/// large as every other share, up to rounding.
pub fn max_min_fair_shares(total: Amount, needs: &[Amount]) -> Vec<Amount> {
    let mut by_need: Vec<usize> = (0..needs.len()).collect();
    by_need.sort_by_key(|index| (needs[*index], *index));
    let mut remaining = total;
    let mut shares = vec![0; needs.len()];
    for (served, index) in by_need.into_iter().enumerate() {
        shares[index] = needs[index].min(remaining / (needs.len() - served) as u64);
        remaining -= shares[index];
    }
    shares
}

impl Allocator {
    /// Creates the allocator of a term that was known to be committed at `written_at`. It starts granting
    /// once the previous allocator's authority and the leases it granted must have expired.
    pub fn new(written_at: Micros, budgets: &[Budget], routers: u64) -> Self {
        let active_from = written_at + with_clock_drift(TERM_AUTHORITY) + with_clock_drift(LEASE_DURATION);
        Allocator {
            budgets: budgets.to_vec(),
            routers,
            lessees: BTreeMap::new(),
            active_from,
            active_until: 0,
            guards: Guards::ALL,
        }
    }

    /// Replaces the set of enabled checks, for tests.
    #[must_use]
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        if !guards.single_allocator {
            self.active_from = 0;
            self.active_until = Micros::MAX;
        }
        self
    }

    /// Records that a majority confirmed the term in a round that started at `round_started_at`.
    pub fn on_confirmed(&mut self, round_started_at: Micros) {
        self.active_until = self.active_until.max(round_started_at + TERM_AUTHORITY);
    }

    /// Whether the allocator may grant leases now.
    pub fn is_active(&self, now: Micros) -> bool {
        (self.active_from..self.active_until).contains(&now)
    }

    /// Grants the lessee a share of each budget above its floor. `number` is the number of the request,
    /// `in_force` that of the request whose grant the lessee is using. Returns `None` if the allocator may
    /// not grant now, or if the request is outdated or not admitted.
    pub fn allocate(
        &mut self,
        now: Micros,
        lessee: InstanceId,
        (number, in_force): (u64, u64),
        need: &[Amount],
    ) -> Option<Vec<Amount>> {
        let is_admitted = self.lessees.contains_key(&lessee) || self.lessees.len() < MAX_LESSEES;
        if !self.is_active(now) || need.len() != self.budgets.len() || !is_admitted {
            return None;
        }
        self.remove_expired(now, lessee);
        let record = self.lessees.entry(lessee).or_insert_with(|| LesseeRecord::new(now));
        if number <= record.latest_request || record.leases.len() >= MAX_LEASES_PER_LESSEE {
            return None;
        }
        record.latest_request = number;
        record.last_request_at = now;
        record.need = need.to_vec();
        // The lessee uses the grant of `in_force` and never returns to an earlier one.
        record.leases.retain(|lease| lease.number >= in_force);
        let extra: Vec<Amount> = (0..self.budgets.len()).map(|budget| self.share(lessee, budget)).collect();
        let expires_at = now + with_clock_drift(LEASE_DURATION);
        let lease = GrantedLease { number, expires_at, extra: extra.clone() };
        self.lessees.entry(lessee).and_modify(|record| record.leases.push(lease));
        Some(extra)
    }

    /// Removes expired leases, and lessees without leases whose last request is older than a lease duration.
    fn remove_expired(&mut self, now: Micros, requesting: InstanceId) {
        for record in self.lessees.values_mut() {
            record.leases.retain(|lease| now < lease.expires_at);
        }
        self.lessees.retain(|lessee, record| {
            *lessee == requesting
                || !record.leases.is_empty()
                || now < record.last_request_at + LEASE_DURATION
        });
    }

    /// The share of a known lessee above its floor.
    fn share(&self, lessee: InstanceId, budget: usize) -> Amount {
        let Budget { floor, .. } = self.budgets[budget];
        let divisible = self.budgets[budget].above_floors(self.routers);
        let above_floor = |record: &LesseeRecord| record.need[budget].saturating_sub(floor);
        let needs: Vec<Amount> = self.lessees.values().map(above_floor).collect();
        let index = self.lessees.range(..lessee).count();
        let fair = max_min_fair_shares(divisible, &needs)[index];
        if !self.guards.shrinks_before_raise {
            return fair;
        }
        // A share must not grow before others have shrunk: amounts that others may still be using are
        // unavailable.
        let others = self.lessees.iter().filter(|(other, _)| **other != lessee);
        let outstanding: Amount = others.map(|(_, record)| record.outstanding(budget)).sum();
        fair.min(divisible.saturating_sub(outstanding))
    }

    /// Applies new settings. Both smaller and larger totals take effect with the next grants.
    pub fn reconfigure(&mut self, budgets: &[Budget], routers: u64) {
        if budgets.len() == self.budgets.len() {
            self.budgets = budgets.to_vec();
            self.routers = routers;
            // A majority has not confirmed these settings yet; granting resumes once it has.
            self.active_until = 0;
        }
    }

    /// The number of lessees with a request in the last lease duration, and the amount of a budget above the
    /// floors that all lessees may be using.
    pub fn outstanding(&self, now: Micros, budget: usize) -> (usize, Amount) {
        let is_recent = |record: &&LesseeRecord| now < record.last_request_at + LEASE_DURATION;
        let lessees = self.lessees.values().filter(is_recent).count();
        (lessees, self.lessees.values().map(|record| record.outstanding_at(now, budget)).sum())
    }
}
