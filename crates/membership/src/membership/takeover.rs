//! Two processes under one name: the holder is pinged for a while before a newcomer takes its name over.
use super::Membership;
use crate::config::{HEARTBEAT_TIMEOUT, MAX_PENDING_TAKEOVERS, TAKEOVER_TIMEOUT};
use crate::message::Message;
use crate::observation::Actions;
use crate::record::{InstanceId, Record, RouterId};
use applepond::interface::Micros;
use std::net::SocketAddr;

/// A newcomer that asks for the name of a router that is there.
pub(super) struct PendingTakeover {
    newcomer: SocketAddr,
    instance_id: InstanceId,
    /// Until then the holder may answer.
    deadline: Micros,
}

impl Membership {
    /// Pings the holder of a name that a newcomer asks for: an answer refuses the newcomer, silence admits
    /// it.
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

    /// Pings the holders of all contested names again.
    pub(super) fn ping_contested_holders(&mut self, actions: &mut dyn Actions) {
        let now = self.now;
        // The newcomer has not asked again since: it has given up.
        self.takeovers.retain(|_, pending| now < pending.deadline + HEARTBEAT_TIMEOUT);
        for id in self.takeovers.keys() {
            self.ping_holder(actions, *id);
        }
    }

    /// The holder of a name was heard: a newcomer that asks for the name is refused, and both are told.
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
