//! Cache of prepared prompt prefixes at a fake worker.
use super::Worker;
use crate::http_peer::Message;
use crate::ledger::Observation;
use applepond_reactor::Micros;
use std::rc::Rc;

/// The prompt prefix named by a request.
#[derive(Clone)]
pub(super) struct RequestPrefix {
    pub(super) name: Rc<str>,
    /// Size in units.
    size: u64,
    /// Time for which the lease pins the prefix, in µs; 0 without a lease.
    pub(super) lease: Micros,
}

/// A prepared prefix.
#[derive(Default)]
pub(super) struct Prepared {
    /// Size in units.
    size: u64,
    last_used: Micros,
    pinned_until: Micros,
}

impl RequestPrefix {
    /// Reads the prefix from the headers of a request.
    pub(super) fn read(request: &Message) -> Option<RequestPrefix> {
        let name = request.field("applepond-opening");
        (!name.is_empty()).then(|| RequestPrefix {
            name: Rc::from(name),
            size: request.number("applepond-opening-size").unwrap_or(1),
            lease: request.number("applepond-opening-lease-ms").unwrap_or(0) * 1000,
        })
    }
}

impl Worker {
    /// Prepares the prefix of a request and returns the time it takes in µs: 0 if it is already prepared. If
    /// there is no room, evicts the least recently used prefixes, pinned ones last.
    pub(super) fn prepare(&mut self, now: Micros, prefix: &RequestPrefix) -> Micros {
        let pinned_until = now + prefix.lease;
        if let Some(prepared) = self.prepared.get_mut(&prefix.name) {
            prepared.last_used = now;
            prepared.pinned_until = prepared.pinned_until.max(pinned_until);
            return 0;
        }
        while self.prepared.values().map(|prepared| prepared.size).sum::<u64>() + prefix.size
            > self.config.prefix_units
        {
            let oldest = self
                .prepared
                .iter()
                .min_by_key(|(_, prepared)| (prepared.pinned_until > now, prepared.last_used));
            let Some(oldest) = oldest.map(|(name, _)| name.clone()) else { break };
            self.prepared.remove(&oldest);
        }
        self.prepared
            .insert(prefix.name.clone(), Prepared { size: prefix.size, last_used: now, pinned_until });
        let duration = prefix.size * self.config.prepare_time_per_unit;
        let (worker, prefix) = (self.config.name.clone(), prefix.name.clone());
        self.ledger.record(now, Observation::PrefixPrepared { worker, prefix, duration });
        duration
    }
}
