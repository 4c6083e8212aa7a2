//! The list of model servers: one record each, found by its id, and what a list does to it.
use applepond::interface::{EndpointListKind, Micros, WorkerId, WorkerStatus};
use applepond_platform::config::Member;
use applepond_reactor::Conn;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The one record of a model server.
pub struct Worker {
    pub address: SocketAddr,
    pub standing: WorkerStatus,
    pub up_since: Micros,
    /// Connections that may carry new attempts.
    pub links: Vec<Conn>,
}

#[derive(Default)]
pub struct Workers(BTreeMap<WorkerId, Worker>);

impl Workers {
    pub fn get_mut(&mut self, server: WorkerId) -> Option<&mut Worker> {
        self.0.get_mut(&server)
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// How many take new attempts.
    pub fn ready(&self) -> usize {
        self.0.values().filter(|w| w.standing == WorkerStatus::Ready).count()
    }

    /// Takes a list; what is left to do is to part with the connections that lead to another process than the
    /// one listed now, or to one that takes nothing new. An id, not an address, is who a model server is.
    pub fn take(&mut self, kind: EndpointListKind, list: &[Member]) -> Vec<Conn> {
        let mut parted = Vec::new();
        if kind != EndpointListKind::Changes {
            let named: BTreeSet<WorkerId> = list.iter().map(|m| m.listed.worker).collect();
            for (_, worker) in self.0.iter_mut().filter(|(id, _)| !named.contains(id)) {
                worker.standing = WorkerStatus::Gone;
                parted.append(&mut worker.links);
            }
        }
        for Member { address, listed, .. } in list {
            let worker = self.0.entry(listed.worker).or_insert_with(|| Worker {
                address: *address,
                standing: listed.status,
                up_since: listed.up_since,
                links: Vec::new(),
            });
            let same = worker.address == *address && worker.up_since == listed.up_since;
            if !same || listed.status != WorkerStatus::Ready {
                parted.append(&mut worker.links);
            }
            (worker.address, worker.standing) = (*address, listed.status);
            if listed.status == WorkerStatus::Ready {
                worker.up_since = listed.up_since;
            }
        }
        self.0.retain(|_, w| w.standing != WorkerStatus::Gone);
        parted
    }
}
