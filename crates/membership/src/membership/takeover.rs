//! Takeover of a name: when a second process asks for a name, its holder is pinged for some time before the
//! second process may take the name over.
use super::Membership;
use crate::config::{HEARTBEAT_TIMEOUT, MAX_PENDING_TAKEOVERS, TAKEOVER_TIMEOUT};
use crate::message::Message;
use crate::observation::Actions;
use crate::record::{InstanceId, Record, RouterId};
use applepond::interface::Micros;
use std::net::SocketAddr;

/// A newcomer that asks for the name of an active router.
pub(super) struct PendingTakeover {
    newcomer: SocketAddr,
    instance_id: InstanceId,
    /// From this time on, the newcomer takes the name over if it asks again.
    deadline: Micros,
}

impl Membership {
    /// Pings the holder of a name that a newcomer asks for. If the holder answers, the newcomer is refused;
    /// if it is silent until the deadline, the newcomer takes the name over when it asks again.
    pub(super) fn challenge_holder(&mut self, actions: &mut dyn Actions, id: RouterId, record: &Record) {
        let Record { address: newcomer, instance_id, .. } = *record;
        match self.takeovers.get(&id) {
            Some(pending) if pending.instance_id == instance_id && self.now >= pending.deadline => {
                self.takeovers.remove(&id);
                self.accept_record(actions, id, record.clone());
            }
            Some(_) => {}
            None if self.takeovers.len() < MAX_PENDING_TAKEOVERS => {
                let deadline = self.now + TAKEOVER_TIMEOUT;
                self.takeovers.insert(id, PendingTakeover { newcomer, instance_id, deadline });
                self.ping_holder(actions, id);
            }
            None => {}
        }
    }

    fn ping_holder(&self, actions: &mut dyn Actions, id: RouterId) {
        if let Some(holder) = self.peers.get(&id) {
            let message = Message::ping(&self.header(), self.local_id);
            actions.send(holder.record.address, message.bytes());
        }
    }

    /// Pings the holders of all contested names again, and drops takeovers whose newcomer has given up.
    pub(super) fn ping_contested_holders(&mut self, actions: &mut dyn Actions) {
        let now = self.now;
        // A newcomer that has not asked again by then has given up.
        self.takeovers.retain(|_, pending| now < pending.deadline + HEARTBEAT_TIMEOUT);
        for id in self.takeovers.keys() {
            self.ping_holder(actions, *id);
        }
    }

    /// Refuses a pending takeover because the holder of the name was heard, and informs both processes.
    pub(super) fn refuse_takeover(&mut self, actions: &mut dyn Actions, id: RouterId) {
        let Some(pending) = self.takeovers.remove(&id) else { return };
        let Some(holder) = self.peers.get(&id).map(|peer| peer.record.address) else { return };
        let header = self.header();
        let refusal = Message::name_conflict(&header, pending.instance_id, holder);
        actions.send(pending.newcomer, refusal.bytes());
        let notice = Message::name_contested(&header, pending.newcomer);
        actions.send(holder, notice.bytes());
    }
}
