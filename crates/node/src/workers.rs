//! The list of model servers: one record each, found by its id, and what a list does to it.
use applepond::interface::*;
use applepond_platform::config::Member;
use applepond_reactor::Conn;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The one record of a model server.
pub struct Worker {
    pub address: SocketAddr,
    pub standing: Standing,
    pub up_since: Micros,
    /// Connections that may carry new attempts.
    pub links: Vec<Conn>,
}

#[derive(Default)]
pub struct Workers(BTreeMap<ServerId, Worker>);

impl Workers {
    pub fn get_mut(&mut self, server: ServerId) -> Option<&mut Worker> {
        self.0.get_mut(&server)
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// How many take new attempts.
    pub fn ready(&self) -> usize {
        self.0.values().filter(|w| w.standing == Standing::Ready).count()
    }

    /// Takes a list; what is left to do is to part with the connections that lead to another process than the
    /// one listed now, or to one that takes nothing new. An id, not an address, is who a model server is.
    pub fn take(&mut self, kind: ListKind, list: &[Member]) -> Vec<Conn> {
        let mut parted = Vec::new();
        if kind != ListKind::Changes {
            let named: BTreeSet<ServerId> = list.iter().map(|m| m.listed.server).collect();
            for (_, worker) in self.0.iter_mut().filter(|(id, _)| !named.contains(id)) {
                worker.standing = Standing::Gone;
                parted.append(&mut worker.links);
            }
        }
        for Member { address, listed, .. } in list {
            let worker = self.0.entry(listed.server).or_insert_with(|| Worker {
                address: *address,
                standing: listed.standing,
                up_since: listed.up_since,
                links: Vec::new(),
            });
            let same = worker.address == *address && worker.up_since == listed.up_since;
            if !same || listed.standing != Standing::Ready {
                parted.append(&mut worker.links);
            }
            (worker.address, worker.standing) = (*address, listed.standing);
            if listed.standing == Standing::Ready {
                worker.up_since = listed.up_since;
            }
        }
        self.0.retain(|_, w| w.standing != Standing::Gone);
        parted
    }
}
