//! The lessee: what a router may spend now, and what it asks for.
use crate::{
    Amount, BURST_DURATION, Budget, Guards, LEASE_DURATION, MAX_REMEMBERED_REQUESTS, MIN_BURST,
    NEED_MARGIN_DIVISOR,
};
use applepond::interface::Micros;
use std::collections::VecDeque;

/// A router's share of one budget, and the token bucket that it fills.
#[derive(Clone, Debug)]
struct Share {
    budget: Budget,
    /// Above the floor, while the lease lasts.
    extra: Amount,
    expires_at: Micros,
    /// Millionths of a unit that may be spent at once, as of `settled_at`.
    tokens: u64,
    settled_at: Micros,
    /// Millionths of a unit asked for since the last request.
    demand: u64,
    /// What was stated last, in millionths of a unit a second.
    need: Amount,
}

/// What comes of a rate in a time, in millionths of a unit.
fn accrued(rate: Amount, time: Micros) -> u64 {
    (u128::from(rate) * u128::from(time) / 1_000_000) as u64
}

impl Share {
    fn new(now: Micros, budget: Budget) -> Self {
        Share { budget, extra: 0, expires_at: now, tokens: 0, settled_at: now, demand: 0, need: budget.floor }
    }

    fn rate(&self, now: Micros, guards: Guards) -> Amount {
        let is_in_force = now < self.expires_at || !guards.checks_at_spend;
        self.budget.floor + if is_in_force { self.extra } else { 0 }
    }

    /// Adds the tokens since the last time: at the share while the lease lasted, at the floor after it.
    fn settle(&mut self, now: Micros, guards: Guards) {
        let now = now.max(self.settled_at);
        let elapsed = now - self.settled_at;
        let leased = now.min(self.expires_at.max(self.settled_at)).saturating_sub(self.settled_at);
        let leased = if guards.checks_at_spend { leased } else { elapsed };
        let accrued_tokens = accrued(self.budget.floor, elapsed) + accrued(self.extra, leased);
        let capacity = accrued(self.rate(now, guards), BURST_DURATION).max(MIN_BURST);
        self.tokens = (self.tokens + accrued_tokens).min(capacity);
        self.settled_at = now;
    }

    /// Takes the tokens of a request if they are there.
    fn spend(&mut self, cost: u64) -> bool {
        self.demand = self.demand.saturating_add(cost);
        let is_covered = self.tokens >= cost;
        if is_covered {
            self.tokens -= cost;
        }
        is_covered
    }

    /// The need from the demand of the last `time` µs: stated a little above, smoothed over some requests.
    fn update_need(&mut self, time: Micros) {
        let rate = (u128::from(self.demand) * 1_000_000 / u128::from(time)) as u64;
        let stated = rate.saturating_add(rate / NEED_MARGIN_DIVISOR).max(self.budget.floor);
        // Up at once, down by half of the way: a short pause between two bursts keeps most of its share.
        self.need = if stated > self.need { stated } else { self.need - (self.need - stated) / 2 };
        self.demand = 0;
    }
}

/// What a lessee states when it asks for the next leases.
pub(crate) struct Renewal {
    /// The number of the request.
    pub(crate) number: u64,
    /// The number of the request whose answer is in force.
    pub(crate) in_force: u64,
    /// The need of each budget.
    pub(crate) need: Vec<Amount>,
}

/// The shares of one process. Budgets go by their place in the settings.
#[derive(Clone, Debug)]
pub struct Lessee {
    shares: Vec<Share>,
    guards: Guards,
    /// The number of the last request. Numbers only rise.
    latest_request: u64,
    /// When the last requests were sent, by number, the latest last.
    sent_requests: VecDeque<(u64, Micros)>,
    latest_request_at: Micros,
    /// The number of the request whose answer is in force.
    in_force: u64,
}

impl Lessee {
    /// A lessee with the floors and empty buckets: a restart makes no tokens.
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

    /// The same with these guards alone, for tests.
    #[must_use]
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// What may be spent of a budget in a second now.
    pub fn share(&self, now: Micros, budget: usize) -> Amount {
        self.shares[budget].rate(now, self.guards)
    }

    /// How long the share above the floor lasts, in µs.
    pub fn remaining(&self, now: Micros, budget: usize) -> Micros {
        self.shares[budget].expires_at.saturating_sub(now)
    }

    /// Takes `cost` millionths of a unit if they are there. This is the one place where a share is spent: a
    /// process that was paused past its lease finds its floor here, whatever waits in its sockets.
    pub fn spend(&mut self, now: Micros, budget: usize, cost: u64) -> bool {
        let share = &mut self.shares[budget];
        share.settle(now, self.guards);
        share.spend(cost)
    }

    /// Asks for the next leases.
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

    /// Takes the answer to a request: the share of each budget above its floor. One to an earlier request
    /// than that in force, or to one that is forgotten, is late and changes nothing.
    pub(crate) fn on_grant(&mut self, now: Micros, number: u64, extra: &[Amount]) {
        let sent = self.sent_requests.iter().find(|(sent, _)| *sent == number);
        let Some((_, sent_at)) = sent.copied() else { return };
        if number <= self.in_force || extra.len() != self.shares.len() {
            return;
        }
        self.in_force = number;
        // Guards against a lease that the allocator counts as expired while this one goes on.
        let counts_from = if self.guards.lease_from_request { sent_at } else { now };
        for (share, extra) in self.shares.iter_mut().zip(extra) {
            share.settle(now, self.guards);
            share.extra = *extra;
            share.expires_at = counts_from + LEASE_DURATION;
            if !self.guards.moves_no_tokens {
                share.tokens = share.rate(now, self.guards) * BURST_DURATION / 1_000_000;
            }
        }
    }

    /// Takes new settings: a total or floor that shrinks does so here at once.
    pub(crate) fn reconfigure(&mut self, now: Micros, budgets: &[Budget]) {
        for (share, budget) in self.shares.iter_mut().zip(budgets) {
            share.settle(now, self.guards);
            share.budget = *budget;
            share.extra = share.extra.min(budget.total.saturating_sub(budget.floor));
        }
    }
}
