//! The model servers in the endpoint list. A model server is identified by its id, not by its address.
use applepond::interface::{EndpointListKind, Micros, WorkerId, WorkerStatus};
use applepond_platform::config::ListedWorker;
use applepond_reactor::ConnectionId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The state of one model server.
pub(crate) struct WorkerRecord {
    pub(crate) address: SocketAddr,
    pub(crate) status: WorkerStatus,
    /// Start time of its process. A different start time means a different process.
    pub(crate) up_since: Micros,
    /// Connections on which new attempts may be sent.
    pub(crate) connections: Vec<ConnectionId>,
}

/// All model servers in the endpoint list, by id.
#[derive(Default)]
pub(crate) struct Workers(BTreeMap<WorkerId, WorkerRecord>);

impl Workers {
    pub(crate) fn get_mut(&mut self, worker: WorkerId) -> Option<&mut WorkerRecord> {
        self.0.get_mut(&worker)
    }

    /// The record of a model server, if it accepts new attempts.
    pub(crate) fn ready(&self, worker: WorkerId) -> Option<&WorkerRecord> {
        self.0.get(&worker).filter(|record| record.status == WorkerStatus::Ready)
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Number of model servers that accept new attempts.
    pub(crate) fn count_ready(&self) -> usize {
        self.0.values().filter(|record| record.status == WorkerStatus::Ready).count()
    }

    /// Applies an endpoint list. Returns the connections to drain: those to a process that has been replaced,
    /// and those to a model server that accepts no new attempts.
    pub(crate) fn apply(&mut self, kind: EndpointListKind, list: &[ListedWorker]) -> Vec<ConnectionId> {
        let mut to_drain = Vec::new();
        if kind != EndpointListKind::Changes {
            let listed: BTreeSet<WorkerId> = list.iter().map(|worker| worker.endpoint.worker).collect();
            for (_, record) in self.0.iter_mut().filter(|(worker, _)| !listed.contains(worker)) {
                record.status = WorkerStatus::Gone;
                to_drain.append(&mut record.connections);
            }
        }
        for ListedWorker { address, endpoint, .. } in list {
            let record = self.0.entry(endpoint.worker).or_insert_with(|| WorkerRecord {
                address: *address,
                status: endpoint.status,
                up_since: endpoint.up_since,
                connections: Vec::new(),
            });
            let is_same_process = record.address == *address && record.up_since == endpoint.up_since;
            if !is_same_process || endpoint.status != WorkerStatus::Ready {
                to_drain.append(&mut record.connections);
            }
            (record.address, record.status) = (*address, endpoint.status);
            if endpoint.status == WorkerStatus::Ready {
                record.up_since = endpoint.up_since;
            }
        }
        self.0.retain(|_, record| record.status != WorkerStatus::Gone);
        to_drain
    }
}
