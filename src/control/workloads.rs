//! Workloads: their configuration and what is measured of them.

use super::concurrency_limit::ConcurrencyLimit;
use crate::interface::{Micros, RetrySafety, StartupConfig, WorkloadConfig, WorkloadId};
use std::ops::Index;

/// Share of the latency objective that a request is taken to need before any has finished.
const INITIAL_SERVICE_SHARE: f64 = 0.2;
/// Weight of a new response in the service time: low, so that a short queue does not change it.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// One workload.
pub(super) struct Workload {
    pub retry_safety: RetrySafety,
    pub latency_objective: Micros,
    pub priority_weight: f64,
    pub late_priority_factor: f64,
    /// Usual response time of a loaded function in microseconds, as a moving average.
    service_time: f64,
    /// The longest time left that a request came with: what clients give a first try.
    longest_timeout: Micros,
}

impl Workload {
    fn new(config: &WorkloadConfig) -> Self {
        Workload {
            retry_safety: config.retry_safety,
            latency_objective: config.latency_objective.max(1),
            priority_weight: config.priority_weight,
            late_priority_factor: config.late_priority_factor,
            service_time: config.latency_objective as f64 * INITIAL_SERVICE_SHARE,
            longest_timeout: 0,
        }
    }

    /// Usual response time of a loaded function, in microseconds.
    pub(super) fn service_time(&self) -> f64 {
        self.service_time
    }

    /// Takes over the time left of a request that arrives, and returns how much less it is than the longest:
    /// time that the client or another router has spent before, where all first tries get the same.
    pub(super) fn record_time_left(&mut self, time_left: Micros) -> Micros {
        self.longest_timeout = self.longest_timeout.max(time_left);
        self.longest_timeout - time_left
    }
}

/// All workloads, by their ids.
pub(super) struct Workloads {
    workloads: Vec<Workload>,
    /// Mean service time over all requests in microseconds, as a moving average.
    mean_service_time: f64,
    /// Mean of the latency objectives in microseconds.
    mean_latency_objective: f64,
}

impl Index<WorkloadId> for Workloads {
    type Output = Workload;

    fn index(&self, id: WorkloadId) -> &Workload {
        &self.workloads[id.0]
    }
}

impl Workloads {
    pub(super) fn new(config: &StartupConfig) -> Self {
        let mean_latency_objective = config.mean_latency_objective();
        Workloads {
            workloads: config.workloads.iter().map(Workload::new).collect(),
            mean_service_time: mean_latency_objective * INITIAL_SERVICE_SHARE,
            mean_latency_objective,
        }
    }

    /// Takes over a changed configuration of the same workloads in the same places, new ones after them.
    pub(super) fn reconfigure(&mut self, config: &StartupConfig) {
        for (index, config) in config.workloads.iter().enumerate() {
            let mut workload = Workload::new(config);
            if let Some(old) = self.workloads.get_mut(index) {
                workload.service_time = old.service_time;
                *old = workload;
            } else {
                self.workloads.push(workload);
            }
        }
        self.mean_latency_objective = config.mean_latency_objective();
    }

    pub(super) fn get_mut(&mut self, id: WorkloadId) -> &mut Workload {
        &mut self.workloads[id.0]
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (WorkloadId, &Workload)> {
        self.workloads.iter().enumerate().map(|(index, workload)| (WorkloadId(index), workload))
    }

    pub(super) fn mean_service_time(&self) -> f64 {
        self.mean_service_time
    }

    pub(super) fn mean_latency_objective(&self) -> f64 {
        self.mean_latency_objective
    }

    /// The usual work of a request, as a multiple of the mean.
    pub(super) fn relative_work(&self, id: WorkloadId) -> f64 {
        self[id].service_time / self.mean_service_time.max(1.0)
    }

    /// Whether some workload has another retry safety.
    pub(super) fn any_other_than(&self, retry_safety: RetrySafety) -> bool {
        self.workloads.iter().any(|workload| workload.retry_safety != retry_safety)
    }

    /// Takes a response time of a loaded function into the service times. Where responses are delayed they
    /// show the queue, and a longer service time would lengthen it.
    pub(super) fn record_response(&mut self, id: WorkloadId, elapsed: Micros, at: &ConcurrencyLimit) {
        if at.is_delayed() {
            return;
        }
        let workload = &mut self.workloads[id.0];
        workload.service_time += SERVICE_TIME_WEIGHT * (elapsed as f64 - workload.service_time);
        self.mean_service_time += SERVICE_TIME_WEIGHT * (workload.service_time - self.mean_service_time);
    }
}
