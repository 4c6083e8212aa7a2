//! The lessee: the shares that a router may spend now, and the needs that it states in its requests.
use crate::{
    Amount, BURST_DURATION, Budget, Guards, LEASE_DURATION, MAX_REMEMBERED_REQUESTS, MIN_BURST,
    NEED_MARGIN_DIVISOR,
};
use applepond::interface::Micros;
use std::collections::VecDeque;

/// A router's share of one budget, and its token bucket.
#[derive(Clone, Debug)]
struct Share {
    budget: Budget,
    /// The share above the floor, until the lease expires.
    extra: Amount,
    expires_at: Micros,
    /// The tokens in the bucket at `refilled_at`, in millionths of a unit.
    tokens: u64,
    refilled_at: Micros,
    /// The demand since the last request, in millionths of a unit.
    demand: u64,
    /// The need stated in the last request.
    need: Amount,
}

/// The amount that a rate yields in a time, in millionths of a unit.
fn accrued(rate: Amount, time: Micros) -> u64 {
    (u128::from(rate) * u128::from(time) / 1_000_000) as u64
}

impl Share {
    fn new(now: Micros, budget: Budget) -> Self {
        Share {
            budget,
            extra: 0,
            expires_at: now,
            tokens: 0,
            refilled_at: now,
            demand: 0,
            need: budget.floor,
        }
    }

    fn rate(&self, now: Micros, guards: Guards) -> Amount {
        let is_in_force = now < self.expires_at || !guards.checks_at_spend;
        self.budget.floor + if is_in_force { self.extra } else { 0 }
    }

    /// Adds the tokens since the last refill: at the full share until the lease expired, at the floor after.
    fn refill(&mut self, now: Micros, guards: Guards) {
        let now = now.max(self.refilled_at);
        let elapsed = now - self.refilled_at;
        let leased = now.min(self.expires_at.max(self.refilled_at)).saturating_sub(self.refilled_at);
        let leased = if guards.checks_at_spend { leased } else { elapsed };
        let accrued_tokens = accrued(self.budget.floor, elapsed) + accrued(self.extra, leased);
        let capacity = accrued(self.rate(now, guards), BURST_DURATION).max(MIN_BURST);
        self.tokens = (self.tokens + accrued_tokens).min(capacity);
        self.refilled_at = now;
    }

    /// Takes tokens if there are enough. Returns whether it did.
    fn spend(&mut self, cost: u64) -> bool {
        self.demand = self.demand.saturating_add(cost);
        let is_covered = self.tokens >= cost;
        if is_covered {
            self.tokens -= cost;
        }
        is_covered
    }

    /// Computes the need from the demand of the last `time` µs, with a small margin, and smooths decreases.
    fn update_need(&mut self, time: Micros) {
        let rate = (u128::from(self.demand) * 1_000_000 / u128::from(time)) as u64;
        let stated = rate.saturating_add(rate / NEED_MARGIN_DIVISOR).max(self.budget.floor);
        // Increases apply at once, decreases by half, so that a short pause between bursts keeps most of the
        // share.
        self.need = if stated > self.need { stated } else { self.need - (self.need - stated) / 2 };
        self.demand = 0;
    }
}

/// The contents of a lessee's next request.
pub(crate) struct Renewal {
    /// The number of the request.
    pub(crate) number: u64,
    /// The number of the request whose grant is in force.
    pub(crate) in_force: u64,
    /// The need of each budget.
    pub(crate) need: Vec<Amount>,
}

/// The shares of one process. Budgets are identified by their index in the settings.
#[derive(Clone, Debug)]
pub struct Lessee {
    shares: Vec<Share>,
    guards: Guards,
    /// The number of the last request. Numbers only increase.
    latest_request: u64,
    /// The numbers and send times of recent requests, the latest last.
    sent_requests: VecDeque<(u64, Micros)>,
    latest_request_at: Micros,
    /// The number of the request whose grant is in force.
    in_force: u64,
}

impl Lessee {
    /// Creates a lessee with the floors only. The buckets start empty, so a restart does not yield tokens.
    pub fn new(now: Micros, budgets: &[Budget]) -> Self {
        Lessee {
            shares: budgets.iter().map(|budget| Share::new(now, *budget)).collect(),
            guards: Guards::ALL,
            latest_request: 0,
            sent_requests: VecDeque::new(),
            latest_request_at: now,
            in_force: 0,
        }
    }

    /// Replaces the set of enabled checks, for tests.
    #[must_use]
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// The current rate at which a budget may be spent, including the floor.
    pub fn share(&self, now: Micros, budget: usize) -> Amount {
        self.shares[budget].rate(now, self.guards)
    }

    /// The time until the lease of the share above the floor expires, in µs.
    pub fn remaining(&self, now: Micros, budget: usize) -> Micros {
        self.shares[budget].expires_at.saturating_sub(now)
    }

    /// Spends `cost` millionths of a unit if the bucket covers it. Shares are spent here only, and the lease
    /// is checked on every call: a process that resumes after its lease expired is limited to its floor,
    /// however many requests are queued in its sockets.
    pub fn spend(&mut self, now: Micros, budget: usize, cost: u64) -> bool {
        let share = &mut self.shares[budget];
        share.refill(now, self.guards);
        share.spend(cost)
    }

    /// Prepares the next request.
    pub(crate) fn renew(&mut self, now: Micros) -> Renewal {
        let time = now.saturating_sub(self.latest_request_at).max(1);
        for share in &mut self.shares {
            share.update_need(time);
        }
        self.latest_request += 1;
        self.latest_request_at = now;
        self.sent_requests.push_back((self.latest_request, now));
        if self.sent_requests.len() > MAX_REMEMBERED_REQUESTS {
            self.sent_requests.pop_front();
        }
        Renewal {
            number: self.latest_request,
            in_force: self.in_force,
            need: self.shares.iter().map(|share| share.need).collect(),
        }
    }

    /// Applies a grant: the share of each budget above its floor. A late grant, for a request that is not
    /// newer than the one in force or no longer remembered, has no effect.
    pub(crate) fn on_grant(&mut self, now: Micros, number: u64, extra: &[Amount]) {
        let sent = self.sent_requests.iter().find(|(sent, _)| *sent == number);
        let Some((_, sent_at)) = sent.copied() else { return };
        if number <= self.in_force || extra.len() != self.shares.len() {
            return;
        }
        self.in_force = number;
        // Measured from the request, the lease cannot outlast the allocator's record of it.
        let starts_at = if self.guards.lease_from_request { sent_at } else { now };
        for (share, extra) in self.shares.iter_mut().zip(extra) {
            share.refill(now, self.guards);
            share.extra = *extra;
            share.expires_at = starts_at + LEASE_DURATION;
            if !self.guards.moves_no_tokens {
                share.tokens = share.rate(now, self.guards) * BURST_DURATION / 1_000_000;
            }
        }
    }

    /// Applies new settings. A smaller total or floor takes effect at once.
    pub(crate) fn reconfigure(&mut self, now: Micros, budgets: &[Budget]) {
        for (share, budget) in self.shares.iter_mut().zip(budgets) {
            share.refill(now, self.guards);
            share.budget = *budget;
            share.extra = share.extra.min(budget.total.saturating_sub(budget.floor));
        }
    }
}
