//! The endpoint list: which workers exist, and in which incarnation.

use super::Control;
use super::concurrency_limit::ConcurrencyLimit;
use super::outlier_ejection::OutlierState;
use crate::interface::{Actions, Endpoint, EndpointListKind, StartupConfig, WorkerId, WorkerStatus};
use crate::state::worker::Worker;
use std::collections::BTreeSet;

/// The weight used for an endpoint: the listed one if it is the same for all routers, otherwise 1.
fn effective_weight(endpoint: &Endpoint, config: &StartupConfig) -> f64 {
    let weight = endpoint.weight;
    if config.weights_shared && weight > 0.0 && weight.is_finite() { weight } else { 1.0 }
}

impl Control {
    /// Applies an endpoint list or a set of changes. Draining and removed workers get no new requests (rule
    /// 3).
    pub fn endpoints_updated(
        &mut self,
        actions: &mut dyn Actions,
        kind: EndpointListKind,
        endpoints: &[Endpoint],
    ) {
        if kind == EndpointListKind::Failed {
            actions.watch_endpoints();
            return;
        }
        if !std::mem::replace(&mut self.endpoints_known, true) {
            self.fleet.highest_total_weight = self.initial_total_weight(endpoints);
        }
        if kind != EndpointListKind::Changes {
            self.close_unlisted(endpoints);
        }
        for endpoint in endpoints {
            self.apply_endpoint(endpoint);
        }
        for (id, closed) in self.workers.remove_closed() {
            self.loads.end_all_at(id);
            self.functions.remove_worker(id, &closed.functions);
        }
        self.refresh_capacity();
        self.dispatch(actions);
    }

    /// Sum of the weights the customers' quotas are sized for, including workers that are draining when
    /// this router starts.
    fn initial_total_weight(&self, endpoints: &[Endpoint]) -> f64 {
        let present = endpoints.iter().filter(|endpoint| endpoint.status != WorkerStatus::Gone);
        present.map(|endpoint| effective_weight(endpoint, &self.config)).sum()
    }

    /// Marks workers missing from a complete list as not ready.
    fn close_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<WorkerId> = endpoints.iter().map(|endpoint| endpoint.worker).collect();
        let unlisted = self.workers.iter().filter(|(id, worker)| worker.ready && !listed.contains(id));
        let unlisted: Vec<WorkerId> = unlisted.map(|(id, _)| *id).collect();
        for id in unlisted {
            self.workers.update(id, |worker| worker.ready = false);
        }
    }

    fn apply_endpoint(&mut self, endpoint: &Endpoint) {
        let id = endpoint.worker;
        let is_ready = endpoint.status == WorkerStatus::Ready;
        match self.workers.get(&id) {
            Some(worker) if worker.up_since == endpoint.up_since || !is_ready => {
                let weight = effective_weight(endpoint, &self.config);
                self.workers.update(id, |worker| {
                    worker.ready = is_ready;
                    worker.zone = endpoint.zone;
                    worker.rack = endpoint.rack;
                    worker.weight = weight;
                });
            }
            Some(_) => {
                self.loads.end_all_at(id);
                let new = self.new_worker(endpoint);
                let lost = self.workers.update(id, |worker| worker.replace_incarnation(new));
                self.functions.remove_worker(id, &lost);
            }
            None if is_ready => self.workers.insert(id, self.new_worker(endpoint)),
            None => {}
        }
    }

    /// A new worker, with no information beyond its list entry.
    fn new_worker(&self, endpoint: &Endpoint) -> Worker {
        Worker {
            ready: endpoint.status == WorkerStatus::Ready,
            up_since: endpoint.up_since,
            zone: endpoint.zone,
            rack: endpoint.rack,
            weight: effective_weight(endpoint, &self.config),
            concurrency: ConcurrencyLimit::new(self.now),
            outlier: OutlierState::healthy(),
            last_response_at: self.now,
            ..Worker::default()
        }
    }
}
