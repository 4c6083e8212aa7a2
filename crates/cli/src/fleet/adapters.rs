//! Adapters that implement the gateway's interfaces on the fleet's state.
use applepond::interface::{FunctionId, WorkerHistory, WorkerId, WorkerStatus};
use applepond_fleet::FleetView;
use applepond_gateway::{
    HistoryStore, PrefixTracker, RestoredTraffic, RestoredWorker, ScheduledRetry, TrafficBaseline,
};
use applepond_reactor::Micros;
use applepond_recovery::ObservationStore;
use std::cell::RefCell;
use std::rc::Rc;

/// Usage counts of prompt prefixes, and leases of pinned ones.
pub(super) struct FleetPrefixes(pub(super) Rc<RefCell<FleetView>>);

impl PrefixTracker for FleetPrefixes {
    fn record_use(&mut self, name: &str, size: u32) {
        if let Some(shared) = &mut self.0.borrow_mut().shared {
            shared.record_prefix_use(name, size);
        }
    }
    fn pin_lease(&self, now: Micros, name: &str) -> Option<Micros> {
        self.0.borrow().shared.as_ref().and_then(|shared| shared.prefix_lease(now, name))
    }
    fn set_ready_workers(&mut self, ready: usize) {
        if let Some(shared) = &mut self.0.borrow_mut().shared {
            shared.set_ready_workers(ready);
        }
    }
}

/// History of workers, functions and traffic that survives a restart.
pub(super) struct ObservedHistory {
    pub(super) observations: Rc<RefCell<ObservationStore>>,
    /// Whether a drain announced before the restart still applies.
    pub(super) keeps_drains: bool,
}

impl HistoryStore for ObservedHistory {
    fn record_worker(&mut self, now: Micros, worker: WorkerId, up_since: Micros, history: &WorkerHistory) {
        self.observations.borrow_mut().record_worker(now, worker, up_since, history);
    }
    fn record_load_time(&mut self, now: Micros, function: FunctionId, load_time: Micros) {
        self.observations.borrow_mut().record_load_time(now, function, load_time);
    }
    fn record_baseline(&mut self, now: Micros, baseline: TrafficBaseline) {
        let TrafficBaseline { first_attempts_per_second, connections_per_second, best_completion_rate } =
            baseline;
        let baseline = [first_attempts_per_second, connections_per_second, best_completion_rate];
        self.observations.borrow_mut().record_baseline(now, baseline);
    }
    fn record_scheduled_retry(&mut self, now: Micros, retry: ScheduledRetry) {
        self.observations.borrow_mut().record_scheduled_retry(now, retry.request, retry.wait);
    }
    fn take_restored_traffic(&mut self, now: Micros) -> Option<RestoredTraffic> {
        let (baseline, retries) = self.observations.borrow_mut().take_router_history(now)?;
        let baseline =
            baseline.map(|[first_attempts_per_second, connections_per_second, best_completion_rate]| {
                TrafficBaseline { first_attempts_per_second, connections_per_second, best_completion_rate }
            });
        let scheduled = retries.into_iter().map(|(request, wait)| ScheduledRetry { request, wait });
        Some(RestoredTraffic { baseline, scheduled_retries: scheduled.collect() })
    }
    fn pending_workers(&mut self, now: Micros) -> Vec<RestoredWorker> {
        let pending = self.observations.borrow_mut().pending_worker_history(now).into_iter();
        pending.map(|(worker, up_since, history)| RestoredWorker { worker, up_since, history }).collect()
    }
    fn worker_restored(&mut self, worker: WorkerId, up_since: Micros) {
        self.observations.borrow_mut().mark_restored(worker, up_since);
    }
    fn effective_status(
        &mut self,
        now: Micros,
        worker: WorkerId,
        up_since: Micros,
        listed: WorkerStatus,
    ) -> WorkerStatus {
        let status = self.observations.borrow_mut().apply_listed_status(now, worker, up_since, listed);
        if self.keeps_drains { status } else { listed }
    }
    fn full_list_received(&mut self, named: &[(WorkerId, Micros)]) {
        self.observations.borrow_mut().apply_complete_list(named);
    }
    fn load_time(&self, now: Micros, function: FunctionId) -> Option<Micros> {
        self.observations.borrow().load_time(now, function)
    }
}
