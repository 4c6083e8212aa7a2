//! The allocator: which leases each lessee may still count on, and who gets what.
use crate::{
    Amount, Budget, Guards, LEASE_DURATION, MAX_LEASES_PER_LESSEE, MAX_LESSEES, TERM_AUTHORITY,
    with_clock_drift,
};
use applepond::interface::Micros;
use applepond_membership::InstanceId;
use std::collections::BTreeMap;

/// A lease that its lessee may still count on, as far as is known here.
#[derive(Clone, Debug)]
struct GrantedLease {
    /// The number of the request.
    number: u64,
    expires_at: Micros,
    /// The share above the floor, by budget.
    extra: Vec<Amount>,
}

/// What is known of a lessee.
#[derive(Clone, Debug)]
struct LesseeRecord {
    /// The number of its latest request.
    latest_request: u64,
    last_request_at: Micros,
    /// By budget.
    need: Vec<Amount>,
    leases: Vec<GrantedLease>,
}

impl LesseeRecord {
    fn new(now: Micros) -> Self {
        LesseeRecord { latest_request: 0, last_request_at: now, need: Vec::new(), leases: Vec::new() }
    }

    /// The most that it may have in force of a budget.
    fn outstanding(&self, budget: usize) -> Amount {
        self.leases.iter().map(|lease| lease.extra[budget]).max().unwrap_or(0)
    }

    /// The most that it may have in force of a budget now.
    fn outstanding_at(&self, now: Micros, budget: usize) -> Amount {
        let in_force = self.leases.iter().filter(|lease| now < lease.expires_at);
        in_force.map(|lease| lease.extra[budget]).max().unwrap_or(0)
    }
}

/// Divides budgets while its term holds. Who has the term is agreed on elsewhere; the allocator is told when
/// the term was written and when it was last confirmed.
#[derive(Clone, Debug)]
pub struct Allocator {
    budgets: Vec<Budget>,
    /// Routers that could ever be there: each has its floors without being asked.
    routers: u64,
    /// By process and not by router, or a replaced process would share the leases of the one before.
    lessees: BTreeMap<InstanceId, LesseeRecord>,
    /// Nothing is granted before.
    active_from: Micros,
    /// Nothing is granted from then on.
    active_until: Micros,
    guards: Guards,
}

/// The max-min fair shares of a total: nobody gets more than it needs, and nobody less than another that gets
/// more than it needs.
pub fn max_min_fair_shares(total: Amount, needs: &[Amount]) -> Vec<Amount> {
    let mut by_need: Vec<usize> = (0..needs.len()).collect();
    by_need.sort_by_key(|place| (needs[*place], *place));
    let mut remaining = total;
    let mut shares = vec![0; needs.len()];
    for (served, place) in by_need.into_iter().enumerate() {
        shares[place] = needs[place].min(remaining / (needs.len() - served) as u64);
        remaining -= shares[place];
    }
    shares
}

impl Allocator {
    /// The allocator of a term that a majority was known to have written at `written_at`. Leases of the
    /// allocator before may be in force until its authority and they have expired.
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

    /// The same with these guards alone, for tests.
    #[must_use]
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        if !guards.single_allocator {
            self.active_from = 0;
            self.active_until = Micros::MAX;
        }
        self
    }

    /// A majority has confirmed the term in a round that was started at `round_started_at`.
    pub fn on_confirmed(&mut self, round_started_at: Micros) {
        self.active_until = self.active_until.max(round_started_at + TERM_AUTHORITY);
    }

    /// Whether it may grant now.
    pub fn is_active(&self, now: Micros) -> bool {
        (self.active_from..self.active_until).contains(&now)
    }

    /// Answers a request with the lessee's share of each budget above its floor. `number` is of the request,
    /// `in_force` that of the request whose answer the lessee uses. None: this allocator does not grant now,
    /// or the request is an old one.
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
        // It has the answer to `in_force`, and will not go back to one before.
        record.leases.retain(|lease| lease.number >= in_force);
        let extra: Vec<Amount> = (0..self.budgets.len()).map(|budget| self.share(lessee, budget)).collect();
        let expires_at = now + with_clock_drift(LEASE_DURATION);
        let lease = GrantedLease { number, expires_at, extra: extra.clone() };
        self.lessees.entry(lessee).and_modify(|record| record.leases.push(lease));
        Some(extra)
    }

    /// Forgets leases that have expired, and lessees that have none and have not asked for a lease's time.
    fn remove_expired(&mut self, now: Micros, asking: InstanceId) {
        for record in self.lessees.values_mut() {
            record.leases.retain(|lease| now < lease.expires_at);
        }
        self.lessees.retain(|lessee, record| {
            *lessee == asking || !record.leases.is_empty() || now < record.last_request_at + LEASE_DURATION
        });
    }

    /// The share of a known lessee above its floor.
    fn share(&self, lessee: InstanceId, budget: usize) -> Amount {
        let Budget { floor, .. } = self.budgets[budget];
        let divisible = self.budgets[budget].above_floors(self.routers);
        let above_floor = |record: &LesseeRecord| record.need[budget].saturating_sub(floor);
        let needs: Vec<Amount> = self.lessees.values().map(above_floor).collect();
        let place = self.lessees.range(..lessee).count();
        let fair = max_min_fair_shares(divisible, &needs)[place];
        if !self.guards.shrinks_before_raise {
            return fair;
        }
        // Guards against a share that rises before another has shrunk: what others may have in force is
        // theirs.
        let others = self.lessees.iter().filter(|(other, _)| **other != lessee);
        let outstanding: Amount = others.map(|(_, record)| record.outstanding(budget)).sum();
        fair.min(divisible.saturating_sub(outstanding))
    }

    /// Takes new settings. A total that shrinks is granted less from now on; one that rises rises at the next
    /// requests.
    pub fn reconfigure(&mut self, budgets: &[Budget], routers: u64) {
        if budgets.len() == self.budgets.len() {
            self.budgets = budgets.to_vec();
            self.routers = routers;
            // Guards against a division that most replicas know nothing of: it grants once they vote anew.
            self.active_until = 0;
        }
    }

    /// How many lessees have asked within a lease's time, and what all may have in force of a budget, above
    /// the floors.
    pub fn outstanding(&self, now: Micros, budget: usize) -> (usize, Amount) {
        let is_recent = |record: &&LesseeRecord| now < record.last_request_at + LEASE_DURATION;
        let lessees = self.lessees.values().filter(is_recent).count();
        (lessees, self.lessees.values().map(|record| record.outstanding_at(now, budget)).sum())
    }
}
