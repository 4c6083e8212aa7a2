//! Updates of the endpoint list: from the configuration at start-up, then from the name service.
use super::Node;
use applepond::interface::{Endpoint, EndpointListKind, Micros};
use applepond_platform::config::ListedWorker;
use applepond_reactor::Transport;

impl Node {
    /// Applies an endpoint list: drains connections to servers that accept no new attempts, and notifies
    /// `Control`.
    pub(super) fn endpoints_updated(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        kind: EndpointListKind,
        list: &[ListedWorker],
    ) {
        for conn in self.workers.apply(kind, list) {
            self.drain_connection(now, transport, conn);
        }
        self.ready_workers = self.workers.count_ready().max(1);
        let entries: Vec<Endpoint> = list.iter().map(|worker| worker.endpoint.clone()).collect();
        self.control.advance_to(now);
        self.control.endpoints_updated(&mut self.actions, kind, &entries);
    }
}
