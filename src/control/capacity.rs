//! The capacity of all workers, as far as a router can know it.

use super::Control;
use super::concurrency_limit::Throughput;
use crate::interface::FunctionId;

/// Weights below it are taken for it, so that a fleet without ready workers divides by no zero.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

/// Sums over the ready workers as of the last refresh, and the highest of them so far.
pub(super) struct FleetCapacity {
    /// Sum of the weights of ready workers.
    pub total_weight: f64,
    /// The smallest of those weights.
    pub least_weight: f64,
    /// The highest sum of weights so far; it begins with the first list, draining workers included.
    pub highest_total_weight: f64,
    /// Requests of all routers for each unit of weight.
    pub in_flight_per_weight: f64,
    pub throughput: Throughput,
}

impl Default for FleetCapacity {
    fn default() -> Self {
        FleetCapacity {
            total_weight: MIN_TOTAL_WEIGHT,
            least_weight: 0.0,
            highest_total_weight: 0.0,
            in_flight_per_weight: 0.0,
            throughput: Throughput::default(),
        }
    }
}

impl Control {
    /// Computes the sums anew, and gives workers without a concurrency limit their first one.
    pub(super) fn refresh_capacity(&mut self) {
        let ready = self.workers.ready();
        self.fleet.total_weight = ready.total_weight().max(MIN_TOTAL_WEIGHT);
        self.fleet.least_weight = ready.least_weight().unwrap_or(f64::MAX);
        self.fleet.highest_total_weight = self.fleet.highest_total_weight.max(self.fleet.total_weight);
        self.fleet.in_flight_per_weight = self.workers.total_in_flight() / self.fleet.total_weight;
        let throughput = Throughput {
            per_weight: self.throughput_per_weight(),
            mean_service_time: self.workloads.mean_service_time(),
        };
        self.fleet.throughput = throughput;
        if throughput.per_weight > 0.0 {
            let objective = self.workloads.mean_latency_objective();
            self.workers.initialize_limits(|worker| throughput.initial_limit(worker.weight, objective));
        }
    }

    /// Requests a microsecond that a unit of weight of warm workers completes, erring low: by the customers'
    /// quotas, else by what is seen.
    pub(super) fn throughput_per_weight(&self) -> f64 {
        let quotas = self.quotas.total_rate();
        let all = if quotas > 0.0 { quotas } else { self.observed_throughput() };
        all / self.fleet.highest_total_weight.max(MIN_TOTAL_WEIGHT)
    }

    /// Requests a microsecond that all routers are taken to complete.
    fn observed_throughput(&self) -> f64 {
        // What is asked for beyond what is completed is no throughput.
        let completed = self.traffic.completions() + (self.in_flight.len() + self.queue.len()) as f64;
        let count = self.traffic.arrivals().min(completed);
        self.traffic.rate(self.now, count) * self.config.router_count as f64
    }

    /// Requests a microsecond that the other routers are taken to have of a function: each as many as this
    /// one had before its latest.
    pub(super) fn rate_elsewhere(&self, function: FunctionId) -> f64 {
        let before_latest = (self.functions[&function].calls.count() - 1.0).max(0.0);
        self.traffic.rate(self.now, before_latest) * (self.config.router_count - 1) as f64
    }
}
