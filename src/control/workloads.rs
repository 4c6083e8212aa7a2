//! Workloads: configuration and measurements.

use super::concurrency_limit::ConcurrencyLimit;
use crate::interface::{Micros, RetrySafety, StartupConfig, WorkloadConfig, WorkloadId};
use std::ops::Index;

/// Assumed service time, as a share of the latency objective, until a request has finished.
const INITIAL_SERVICE_SHARE: f64 = 0.2;
/// Weight of a new response in the service time: low, so that a short queue does not distort it.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

pub(super) struct Workload {
    pub retry_safety: RetrySafety,
    pub latency_objective: Micros,
    pub priority_weight: f64,
    pub late_priority_factor: f64,
    /// Moving average of the response time with the function loaded, in microseconds.
    service_time: f64,
    /// Longest remaining time seen on arrival, taken as the clients' timeout for a first try.
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

    /// Usual response time with the function loaded, in microseconds.
    pub(super) fn service_time(&self) -> f64 {
        self.service_time
    }

    /// Records the remaining time of an arriving request. Returns how much less it is than the longest: if
    /// all first tries get the same timeout, the client or another router has already spent the difference.
    pub(super) fn record_time_left(&mut self, time_left: Micros) -> Micros {
        self.longest_timeout = self.longest_timeout.max(time_left);
        self.longest_timeout - time_left
    }
}

/// All workloads, indexed by [`WorkloadId`].
pub(super) struct Workloads {
    workloads: Vec<Workload>,
    /// Moving average of the service time over all requests, in microseconds.
    mean_service_time: f64,
    /// Mean of the latency objectives, in microseconds.
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

    /// Applies a changed configuration; existing workloads keep their indexes and new ones are appended.
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

    /// Expected work of a request, relative to the mean over all workloads.
    pub(super) fn relative_work(&self, id: WorkloadId) -> f64 {
        self[id].service_time / self.mean_service_time.max(1.0)
    }

    /// Whether any workload has a different retry safety.
    pub(super) fn any_other_than(&self, retry_safety: RetrySafety) -> bool {
        self.workloads.iter().any(|workload| workload.retry_safety != retry_safety)
    }

    /// Updates the service times from a response time with the function loaded. Delayed responses are
    /// ignored: they measure the queue, and a longer service time would make the queue grow further.
    pub(super) fn record_response(&mut self, id: WorkloadId, elapsed: Micros, at: &ConcurrencyLimit) {
        if at.is_delayed() {
            return;
        }
        let workload = &mut self.workloads[id.0];
        workload.service_time += SERVICE_TIME_WEIGHT * (elapsed as f64 - workload.service_time);
        self.mean_service_time += SERVICE_TIME_WEIGHT * (workload.service_time - self.mean_service_time);
    }
}
