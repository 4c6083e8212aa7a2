//! Prompt prefixes that a worker keeps prepared.
use super::Worker;
use crate::http_peer::Message;
use crate::ledger::Observation;
use applepond_reactor::Micros;
use std::rc::Rc;

/// The prompt prefix of a request.
#[derive(Clone)]
pub(super) struct RequestPrefix {
    pub(super) name: Rc<str>,
    /// Its size in units.
    size: u64,
    /// µs for which its lease pins it; 0 without one.
    pub(super) lease: Micros,
}

/// A prefix that is prepared.
#[derive(Default)]
pub(super) struct Prepared {
    /// Its size in units.
    size: u64,
    /// When it was last used.
    last_used: Micros,
    /// Until when it is pinned.
    pinned_until: Micros,
}

impl RequestPrefix {
    /// The prefix that a request names.
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
    /// µs that a request has to wait for its prefix: none where it is prepared. Where there is no room the
    /// least recently used one is evicted, pinned ones last.
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
