//! Periodic work, once a second: aborts expired idle connections, requests a silent endpoint list again, and
//! applies a new configuration.
use super::{Gateway, attribute_names};
use crate::deployment::Deployment;
use crate::errors::ReloadError;
use crate::reload;
use applepond::interface::{Micros, WorkerStatus};
use applepond_reactor::Transport;

/// Interval of maintenance, and of the synchronisation of history.
pub(super) const MAINTENANCE_INTERVAL: Micros = 1_000_000;

impl Gateway {
    /// Does the periodic work and schedules the next run after [`MAINTENANCE_INTERVAL`].
    pub(super) fn maintain(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.workers.abort_expired_idle(now, transport);
        self.refresh_silent_list(now, transport);
        if let Some(new) = (self.config_source)() {
            self.reload(now, transport, new);
        }
        if let Some(prefix_tracker) = &mut self.prefix_tracker {
            prefix_tracker.set_ready_workers(self.workers.endpoints.count(WorkerStatus::Ready));
        }
        let maintain = |gateway: &mut Gateway, now, transport: &mut dyn Transport| {
            gateway.maintain(now, transport);
        };
        self.schedule(now, transport, MAINTENANCE_INTERVAL, Box::new(maintain));
    }

    /// Applies a new configuration, or rejects it as a whole and keeps the current one. Requests in progress
    /// continue under the configuration under which they were accepted.
    fn reload(&mut self, now: Micros, transport: &mut dyn Transport, new: Result<Deployment, ReloadError>) {
        let refused = |keys: reload::RestartOnlyKeys| ReloadError::RestartRequired(keys.join(", "));
        let merged = match new.and_then(|new| reload::merge(&self.deployment, new).map_err(refused)) {
            Ok(merged) => merged,
            Err(error) => {
                self.counters.refused_reloads += 1;
                tracing::warn!(reason = "settings-kept", %error, "settings not reloaded");
                return;
            }
        };
        self.counters.reloads += 1;
        tracing::info!(reason = "settings-switched", reloads = self.counters.reloads, "settings reloaded");
        self.deployment = merged;
        self.attribute_names = attribute_names(&self.deployment);
        for client in self.clients.values_mut() {
            client.set_attribute_names(&self.attribute_names);
        }
        self.control.advance_to(now);
        self.control.reconfigure(&mut self.actions, self.deployment.startup.clone());
        if self.deployment.endpoint_list.is_none() {
            self.apply_static_workers(now, transport);
        }
    }
}
