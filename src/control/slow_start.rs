//! Slow start: what a worker that is warming up may be sent (rule 4).
//!
//! Guards against a worker that has just started, is sent its full load by all routers at once and
//! collapses. Each router keeps to its even share of the work that the rules allow within a window of time.

use super::Control;
use crate::hashing::{hash_pair, unit_interval};
use crate::interface::{Micros, SlowStartRules, WorkerId};
use crate::state::request::Request;
use crate::state::worker::{WarmupWork, Worker};

/// Part of the allowed work that a worker is sent while it warms up: figures for its capacity are estimates.
const SAFETY_FACTOR: f64 = 0.5;
/// Multiple of its even share of requests for which a new worker is expected to be wanted: hot functions,
/// and other workers that are full.
const EXPECTED_DEMAND_FACTOR: f64 = 2.0;

/// The share of its full capacity that a worker has for certain: it rises linearly from the initial share.
pub fn capacity_share(rules: &SlowStartRules, up_since: Micros, now: Micros) -> f64 {
    if up_since == 0 || now >= up_since + rules.warmup_time {
        return 1.0;
    }
    let progress = now.saturating_sub(up_since) as f64 / rules.warmup_time as f64;
    rules.initial_capacity + (1.0 - rules.initial_capacity) * progress
}

impl Control {
    /// The share of its full capacity that a worker has now.
    pub(super) fn capacity_share(&self, worker: &Worker) -> f64 {
        capacity_share(&self.config.slow_start, worker.up_since, self.now)
    }

    /// Whether a worker may be sent this request now without going over its warm-up budget.
    ///
    /// Where this router's share of the budget is less than a request, chance decides, by how many requests
    /// the router is expected to have for the worker within the window. Those that wait here count too, or
    /// what has piled up would fall on the worker at once. A request draws once for a worker however often
    /// it asks.
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

    /// This router's share of the work that a worker may be sent within the window, in mean requests.
    fn warmup_budget(&self, worker: &Worker, capacity_share: f64) -> f64 {
        let rules = &self.config.slow_start;
        // The list's weights are rough, and may count the cores of a slow kind: none counts above the mean.
        let ready = self.workers.ready().len().max(1) as f64;
        let weight = worker.weight.min(self.fleet.total_weight / ready);
        let rate = self.throughput_per_weight() * weight;
        let window = rules.overload_window as f64;
        rules.overload_factor * capacity_share * rate * window * SAFETY_FACTOR
            / self.config.router_count as f64
    }

    /// Requests that this router is expected to have for a worker within the window.
    fn expected_demand(&self, worker: &Worker, request: &Request) -> f64 {
        let even_share =
            EXPECTED_DEMAND_FACTOR * self.traffic.arrivals() * worker.weight / self.fleet.total_weight;
        let calls = self.functions[&request.function].calls.count();
        let window = self.config.slow_start.overload_window as f64;
        let arriving = self.traffic.rate(self.now, even_share.max(calls)) * window;
        arriving + self.queue.len().saturating_sub(1) as f64
    }

    /// Counts the work of an attempt that is sent to a worker which is warming up.
    pub(super) fn record_warmup_work(&mut self, id: WorkerId, amount: f64) {
        let rules = &self.config.slow_start;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.up_since > 0 && self.now < worker.up_since + rules.warmup_time {
            let expires_at = self.now + rules.overload_window;
            worker.warmup_work.push(WarmupWork { expires_at, amount });
        }
    }
}
