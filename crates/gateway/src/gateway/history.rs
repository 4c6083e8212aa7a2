//! The exchange with [`HistoryStore`](super::HistoryStore): what this router has learned is stored, and what
//! is known from before a restart or from other routers is taken up.
//!
//! Enters here: a timer, each second and more often just after the start, when history is worth most.
use super::Gateway;
use super::extensions::TrafficBaseline;
use super::maintenance::MAINTENANCE_INTERVAL;
use crate::endpoint_list::EndpointEntry;
use applepond::interface::{Endpoint, EndpointListKind, Micros, WorkerStatus};
use applepond_reactor::Transport;

/// Time after the start in which history is exchanged more often, and how often.
const EARLY_PERIOD: Micros = 6_000_000;
const EARLY_INTERVAL: Micros = 20_000;

impl Gateway {
    /// Exchanges history now and from now on.
    pub(super) fn exchange_history_periodically(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.exchange_history(now, transport);
        let is_early = now < self.started_at + EARLY_PERIOD;
        let interval = if is_early { EARLY_INTERVAL } else { MAINTENANCE_INTERVAL };
        let exchange = |gateway: &mut Gateway, now, transport: &mut dyn Transport| {
            gateway.exchange_history_periodically(now, transport);
        };
        self.schedule(now, transport, interval, Box::new(exchange));
    }

    fn exchange_history(&mut self, now: Micros, transport: &mut dyn Transport) {
        if self.history.is_none() {
            return;
        }
        self.control.advance_to(now);
        self.exchange_traffic(now);
        self.exchange_workers(now);
        self.store_load_times(now);
        let changed = self.recheck_ready_workers(now);
        if !changed.is_empty() {
            let changed: Vec<Endpoint> = changed.iter().map(Endpoint::from).collect();
            self.control.endpoints_updated(&mut self.actions, EndpointListKind::Changes, &changed);
            self.settle(now, transport);
        }
    }

    /// Takes up what traffic was usual before the restart, and stores what is usual now.
    fn exchange_traffic(&mut self, now: Micros) {
        let Some(history) = &mut self.history else { return };
        if let Some(restored) = history.take_restored_traffic(now) {
            if let Some(usual) = restored.baseline {
                let rates = (usual.first_attempts_per_second, usual.connections_per_second);
                self.admission.restore_baseline(now, rates, usual.pace);
            }
            for retry in restored.promised_retries {
                self.admission.note_scheduled_retry(retry.request, now + retry.wait);
            }
        }
        if let Some((first_attempts, connections)) = self.admission.traffic_monitor().usual(now) {
            let baseline = TrafficBaseline {
                first_attempts_per_second: first_attempts,
                connections_per_second: connections,
                pace: self.admission.best_completion_rate(now),
            };
            history.record_baseline(now, baseline);
        }
    }

    /// Hands workers' history to `Control`, and stores what it has measured of workers that answered here.
    fn exchange_workers(&mut self, now: Micros) {
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

    /// Stores load times that the history does not have. Guards against hearsay that stays young: what is
    /// stored already was taken up from there, or stored before.
    fn store_load_times(&mut self, now: Micros) {
        let Some(history) = &mut self.history else { return };
        for (function, load_time) in self.control.load_times() {
            if history.load_time(now, function).is_none() {
                history.record_load_time(now, function, load_time);
            }
        }
    }

    /// Looks up again the status of each worker that the list gives as ready: a drain may have become known
    /// after the list came, and may be over. Gives the entries that changed.
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
