//! Estimated capacity of the whole fleet.

use super::Control;
use super::concurrency_limit::Throughput;
use crate::interface::FunctionId;

/// Lower bound of the total weight, which prevents a division by zero if no worker is ready.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

/// Totals over the ready workers as of the last refresh, and the highest total weight seen.
pub(super) struct FleetCapacity {
    /// Sum of the weights of ready workers.
    pub total_weight: f64,
    /// Smallest weight of a ready worker.
    pub min_weight: f64,
    /// Highest sum of weights seen. The initial value is taken from the first list and includes draining
    /// workers.
    pub highest_total_weight: f64,
    /// Requests of all routers per unit of weight.
    pub in_flight_per_weight: f64,
    pub throughput: Throughput,
}

impl Default for FleetCapacity {
    fn default() -> Self {
        FleetCapacity {
            total_weight: MIN_TOTAL_WEIGHT,
            min_weight: 0.0,
            highest_total_weight: 0.0,
            in_flight_per_weight: 0.0,
            throughput: Throughput::default(),
        }
    }
}

impl Control {
    /// Recomputes the totals, and initializes the concurrency limits of workers that have none.
    pub(super) fn refresh_capacity(&mut self) {
        let ready = self.workers.ready();
        self.fleet.total_weight = ready.total_weight().max(MIN_TOTAL_WEIGHT);
        self.fleet.min_weight = ready.min_weight().unwrap_or(f64::MAX);
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

    /// Conservative estimate of the requests per microsecond that one unit of weight of warm workers
    /// completes: derived from the customers' quotas, or else from observed traffic.
    pub(super) fn throughput_per_weight(&self) -> f64 {
        let quotas = self.quotas.total_rate();
        let all = if quotas > 0.0 { quotas } else { self.observed_throughput() };
        all / self.fleet.highest_total_weight.max(MIN_TOTAL_WEIGHT)
    }

    /// Estimated completions per microsecond, over all routers.
    fn observed_throughput(&self) -> f64 {
        // Demand in excess of completions is not throughput.
        let completed = self.traffic.completions() + (self.in_flight.len() + self.queue.len()) as f64;
        let count = self.traffic.arrivals().min(completed);
        self.traffic.rate(self.now, count) * self.config.router_count as f64
    }

    /// Estimated requests per microsecond of the other routers for a function. Each is assumed to have the
    /// rate this router had before its latest request.
    pub(super) fn other_routers_rate(&self, function: FunctionId) -> f64 {
        let before_latest = (self.functions[&function].calls.count() - 1.0).max(0.0);
        self.traffic.rate(self.now, before_latest) * (self.config.router_count - 1) as f64
    }
}
