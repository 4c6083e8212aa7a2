//! Failure detection: how long neighbours have been silent, and in which direction a link has failed.
use super::Membership;
use super::peer::Peer;
use crate::config::{HEARTBEAT_TIMEOUT, INDIRECT_PROBES, MIN_NEIGHBOURS_TO_DETECT_ISOLATION};
use crate::message::Message;
use crate::observation::{Actions, Change, LinkFault};
use crate::record::RouterId;
use applepond::interface::Micros;

/// Time in µs for which a peer has been silent.
#[derive(Clone, Copy)]
pub(super) struct Silence {
    /// Silence towards this router.
    pub(super) direct: Micros,
    /// Silence towards this router and all routers that were asked to probe the peer.
    pub(super) overall: Micros,
}

impl Membership {
    /// Silence in µs after which a peer is suspected, lengthened by the health penalties of this process and
    /// of the peer.
    pub(super) fn heartbeat_timeout(&self, peer: &Peer) -> Micros {
        if !self.safeguards.local_health {
            return HEARTBEAT_TIMEOUT;
        }
        let peer_factor = peer.false_suspicions.timeout_factor(self.now);
        let factor = peer_factor * self.local_health.timeout_factor(self.now);
        (HEARTBEAT_TIMEOUT as f64 * factor) as Micros
    }

    pub(super) fn silence(&self, peer: &Peer) -> Silence {
        let direct_since = peer.last_receipt.unwrap_or(0).max(peer.monitored_since).max(self.resumed_at);
        let overall_since = peer.last_confirmed.unwrap_or(0).max(direct_since);
        Silence {
            direct: self.now.saturating_sub(direct_since),
            overall: self.now.saturating_sub(overall_since),
        }
    }

    /// Whether this router has recently heard the peer itself, which outweighs any votes of others.
    pub(super) fn hears_directly(&self, peer: &Peer) -> bool {
        let timeout = self.heartbeat_timeout(peer);
        peer.last_receipt.is_some_and(|at| self.now < at.max(self.resumed_at) + timeout)
    }

    /// Checks all active neighbours: requests indirect probes of silent ones and suspects those that no
    /// router hears.
    pub(super) fn check_neighbours(&mut self, actions: &mut dyn Actions) {
        let is_active = |id: &RouterId| self.peers[id].is_active();
        let active: Vec<RouterId> = self.neighbours.iter().copied().filter(is_active).collect();
        let silent = active.iter().filter(|id| {
            let peer = &self.peers[id];
            self.silence(peer).direct > self.heartbeat_timeout(peer) / 2
        });
        let all_silent = silent.count() == active.len();
        let isolated = active.len() >= MIN_NEIGHBOURS_TO_DETECT_ISOLATION && all_silent;
        if std::mem::replace(&mut self.isolated, isolated) != isolated {
            actions.changed(Change::Isolated(isolated));
        }
        for id in active {
            self.check_neighbour(actions, id);
        }
    }

    fn check_neighbour(&mut self, actions: &mut dyn Actions, id: RouterId) {
        let peer = &self.peers[&id];
        let silence = self.silence(peer);
        let timeout = self.heartbeat_timeout(peer);
        let link_fault = self.diagnose_link(peer, silence, timeout);
        if silence.direct > timeout / 2 {
            self.request_indirect_probes(actions, id);
        }
        self.set_link_fault(actions, id, link_fault);
        self.update_own_vote(id, silence, timeout);
        self.refresh_observed_status(actions, id);
    }

    fn diagnose_link(&self, peer: &Peer, silence: Silence, timeout: Micros) -> Option<LinkFault> {
        match (silence.direct > timeout, silence.overall > timeout) {
            (true, false) => Some(LinkFault::In),
            // No router hears the peer, which says nothing new about the link: the last diagnosis stays.
            (true, true) => peer.link_fault,
            (false, _) => {
                let silent_to_peer = peer.last_receipt_by_peer.is_some_and(|at| self.now >= at + timeout);
                silent_to_peer.then_some(LinkFault::Out)
            }
        }
    }

    /// Asks some of the peer's other neighbours to probe it: they are the routers most likely to hear it.
    fn request_indirect_probes(&mut self, actions: &mut dyn Actions, id: RouterId) {
        let mut candidates = self.rings.neighbours_of(id);
        candidates.retain(|other| *other != self.local_id);
        for _ in 0..INDIRECT_PROBES.min(candidates.len()) {
            let index = self.rng.rand_range(0..candidates.len() as u64) as usize;
            let relay = candidates.swap_remove(index);
            if let Some(relay) = self.peers.get(&relay) {
                let message = Message::ping_request(&self.header(), id);
                actions.send(relay.record.address, message.bytes());
            }
        }
    }

    fn set_link_fault(&mut self, actions: &mut dyn Actions, id: RouterId, current: Option<LinkFault>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let previous = std::mem::replace(&mut peer.link_fault, current);
        if previous != current {
            let name = peer.record.name.clone();
            actions.changed(Change::LinkFaultChanged { name, previous, current });
        }
    }
}
