//! What a gateway does once a second: expired idle connections are cut, and a new configuration is applied.
use super::{Gateway, attribute_names};
use crate::deployment::Deployment;
use crate::errors::ReloadError;
use crate::reload;
use applepond::interface::{Micros, WorkerStatus};
use applepond_reactor::Transport;

/// Time between two rounds.
pub(super) const MAINTENANCE_INTERVAL: Micros = 1_000_000;

impl Gateway {
    /// One round, and the next one after [`MAINTENANCE_INTERVAL`].
    pub(super) fn maintain(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.workers.cut_expired_idle(now, transport);
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

    /// Applies a new configuration, or keeps the old one as a whole. Requests that were accepted before go on
    /// under the configuration that they were accepted under.
    fn reload(&mut self, now: Micros, transport: &mut dyn Transport, new: Result<Deployment, ReloadError>) {
        let refused = |keys: reload::RestartOnlyKeys| ReloadError::RestartRequired(keys.join(", "));
        let merged = match new.and_then(|new| reload::merge(&self.deployment, new).map_err(refused)) {
            Ok(merged) => merged,
            Err(error) => {
                self.counters.refused_reloads += 1;
                tracing::warn!(reason = "settings-kept", %error, "the old settings hold");
                return;
            }
        };
        self.counters.reloads += 1;
        tracing::info!(reason = "settings-switched", reloads = self.counters.reloads, "new settings hold");
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
