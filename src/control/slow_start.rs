//! Slow start: limits what a worker that is warming up may be sent (rule 4).
//!
//! Guards against a newly started worker that receives its full load from all routers at once and
//! collapses. Each router keeps to its even share of the work that the rules allow within a time window.

use super::Control;
use crate::hashing::{hash_pair, unit_interval};
use crate::interface::{Micros, SlowStartRules, WorkerId};
use crate::state::request::Request;
use crate::state::worker::{WarmupWork, Worker};

/// Share of the allowed work that is actually sent, as the capacity figures are estimates.
const SAFETY_FACTOR: f64 = 0.5;
/// Expected demand for a new worker, as a multiple of its even share of requests: popular functions, and
/// overflow from workers that are full.
const EXPECTED_DEMAND_FACTOR: f64 = 2.0;

/// Guaranteed share of a worker's full capacity, rising linearly from the initial share during warm-up.
pub fn capacity_share(rules: &SlowStartRules, up_since: Micros, now: Micros) -> f64 {
    if up_since == 0 || now >= up_since + rules.warmup_time {
        return 1.0;
    }
    let progress = now.saturating_sub(up_since) as f64 / rules.warmup_time as f64;
    rules.initial_capacity + (1.0 - rules.initial_capacity) * progress
}

impl Control {
    /// The worker's current share of its full capacity.
    pub(super) fn capacity_share(&self, worker: &Worker) -> f64 {
        capacity_share(&self.config.slow_start, worker.up_since, self.now)
    }

    /// Whether the warm-up budget of a worker allows this request now.
    ///
    /// If this router's share of the budget is less than one request, admission is random, with a
    /// probability based on how many requests the router expects for the worker within the window.
    /// Requests that already wait count as well; otherwise a backlog would reach the worker all at once. Each
    /// request makes a single draw per worker, however often it is evaluated.
    pub(super) fn warmup_budget_allows(&self, id: WorkerId, worker: &Worker, request: &Request) -> bool {
        let capacity_share = self.capacity_share(worker);
        if capacity_share >= 1.0 {
            return true;
        }
        let budget = self.warmup_budget(worker, capacity_share);
        let spent: f64 = worker.warmup_work.iter().map(|work| work.amount).sum();
        let work = self.workloads.relative_work(request.workload);
        if spent + work <= budget {
            return true;
        }
        let expected_work = self.expected_demand(worker, request) * work;
        let draw = unit_interval(hash_pair(request.random_bits, id.0));
        spent == 0.0 && draw < budget / expected_work.max(budget)
    }

    /// This router's share of the work a worker may be sent within the window, in requests of mean service
    /// time.
    fn warmup_budget(&self, worker: &Worker, capacity_share: f64) -> f64 {
        let rules = &self.config.slow_start;
        // Listed weights are rough and may overstate workers with many slow cores, so none counts above the
        // mean.
        let ready = self.workers.ready().len().max(1) as f64;
        let weight = worker.weight.min(self.fleet.total_weight / ready);
        let rate = self.throughput_per_weight() * weight;
        let window = rules.overload_window as f64;
        rules.overload_factor * capacity_share * rate * window * SAFETY_FACTOR
            / self.config.router_count as f64
    }

    /// Number of requests that this router expects to have for a worker within the window.
    fn expected_demand(&self, worker: &Worker, request: &Request) -> f64 {
        let even_share =
            EXPECTED_DEMAND_FACTOR * self.traffic.arrivals() * worker.weight / self.fleet.total_weight;
        let calls = self.functions[&request.function].calls.count();
        let window = self.config.slow_start.overload_window as f64;
        let arriving = self.traffic.rate(self.now, even_share.max(calls)) * window;
        arriving + self.queue.len().saturating_sub(1) as f64
    }

    /// Records the work of an attempt sent to a worker that is warming up.
    pub(super) fn record_warmup_work(&mut self, id: WorkerId, amount: f64) {
        let rules = &self.config.slow_start;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.up_since > 0 && self.now < worker.up_since + rules.warmup_time {
            let expires_at = self.now + rules.overload_window;
            worker.warmup_work.push(WarmupWork { expires_at, amount });
        }
    }
}
