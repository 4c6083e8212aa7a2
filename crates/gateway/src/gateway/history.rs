//! Synchronisation with [`HistoryStore`](super::HistoryStore): stores the measurements of this router, and
//! restores those from before a restart or from other routers.
//!
//! Entry point: a timer that fires once a second, and more often just after the start, when restored history
//! matters most.
use super::Gateway;
use super::extensions::TrafficBaseline;
use super::maintenance::MAINTENANCE_INTERVAL;
use crate::endpoint_list::EndpointEntry;
use applepond::interface::{Endpoint, EndpointListKind, Micros, WorkerStatus};
use applepond_reactor::Transport;

/// Time after the start during which history is synchronised more often.
const EARLY_PERIOD: Micros = 6_000_000;
/// Interval of synchronisation during that time.
const EARLY_INTERVAL: Micros = 20_000;

impl Gateway {
    /// Synchronises history now and schedules the next time.
    pub(super) fn sync_history_periodically(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.sync_history(now, transport);
        let is_early = now < self.started_at + EARLY_PERIOD;
        let interval = if is_early { EARLY_INTERVAL } else { MAINTENANCE_INTERVAL };
        let sync = |gateway: &mut Gateway, now, transport: &mut dyn Transport| {
            gateway.sync_history_periodically(now, transport);
        };
        self.schedule(now, transport, interval, Box::new(sync));
    }

    fn sync_history(&mut self, now: Micros, transport: &mut dyn Transport) {
        if self.history.is_none() {
            return;
        }
        self.control.advance_to(now);
        self.sync_traffic(now);
        self.sync_workers(now);
        self.store_load_times(now);
        let changed = self.recheck_ready_workers(now);
        if !changed.is_empty() {
            let changed: Vec<Endpoint> = changed.iter().map(Endpoint::from).collect();
            self.control.endpoints_updated(&mut self.actions, EndpointListKind::Changes, &changed);
            self.settle(now, transport);
        }
    }

    /// Restores the traffic baseline and the scheduled retries from before the restart, and stores the
    /// current baseline.
    fn sync_traffic(&mut self, now: Micros) {
        let Some(history) = &mut self.history else { return };
        if let Some(restored) = history.take_restored_traffic(now) {
            if let Some(baseline) = restored.baseline {
                let rates = (baseline.first_attempts_per_second, baseline.connections_per_second);
                self.admission.restore_baseline(now, rates, baseline.best_completion_rate);
            }
            for retry in restored.scheduled_retries {
                self.admission.note_scheduled_retry(retry.request, now + retry.wait);
            }
        }
        if let Some((first_attempts, connections)) = self.admission.traffic_monitor().usual(now) {
            let baseline = TrafficBaseline {
                first_attempts_per_second: first_attempts,
                connections_per_second: connections,
                best_completion_rate: self.admission.best_completion_rate(now),
            };
            history.record_baseline(now, baseline);
        }
    }

    /// Passes restored history of workers to `Control`, and stores its measurements of workers that have
    /// responded to this router.
    fn sync_workers(&mut self, now: Micros) {
        let Some(history) = &mut self.history else { return };
        for restored in history.pending_workers(now) {
            let (worker, up_since) = (restored.worker, restored.up_since);
            if self.control.restore_worker_history(worker, up_since, &restored.history) {
                history.worker_restored(worker, up_since);
            }
        }
        for (worker, up_since, measured) in self.control.worker_histories() {
            let record = self.workers.endpoints.get(worker);
            if record.is_some_and(|record| record.has_answered && record.up_since == up_since) {
                history.record_worker(now, worker, up_since, &measured);
            }
        }
    }

    /// Stores the load times missing in history. One that is present may have come from another router;
    /// storing it again would renew its age without a measurement.
    fn store_load_times(&mut self, now: Micros) {
        let Some(history) = &mut self.history else { return };
        for (function, load_time) in self.control.load_times() {
            if history.load_time(now, function).is_none() {
                history.record_load_time(now, function, load_time);
            }
        }
    }

    /// Re-evaluates the status of each worker that the list reports as ready: a drain may have become known,
    /// or expired, since the list was received. Returns the changed entries.
    fn recheck_ready_workers(&mut self, now: Micros) -> Vec<EndpointEntry> {
        let mut changed = Vec::new();
        let Some(history) = &mut self.history else { return changed };
        for entry in self.listed_ready.values() {
            let (worker, up_since) = (entry.worker, entry.up_since);
            let status = history.effective_status(now, worker, up_since, WorkerStatus::Ready);
            let record = self.workers.endpoints.get_mut(worker);
            if let Some(record) = record.filter(|record| record.status != status) {
                record.status = status;
                changed.push(EndpointEntry { status, ..entry.clone() });
            }
        }
        changed
    }
}
