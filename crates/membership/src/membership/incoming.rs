//! Effects of received messages.
use super::Membership;
use super::dissemination::Update;
use super::peer::{Peer, Vote};
use crate::config::{MAX_VOTES_PER_MEMBER, SYNC_INTERVAL};
use crate::message::{DIGEST_BUCKETS, Header, Message, MessageHandler, Opinion, Suspicion};
use crate::observation::{Actions, Change};
use crate::record::{InstanceId, Record, RouterId};
use applepond::interface::Micros;
use std::net::SocketAddr;

/// One message that is being handled.
pub(super) struct IncomingMessage<'a> {
    membership: &'a mut Membership,
    actions: &'a mut dyn Actions,
    /// Whether the sender is the current process of an active router, as far as is known here. Determined
    /// once for each message, as it has effects.
    sender_is_current: Option<bool>,
}

impl<'a> IncomingMessage<'a> {
    pub(super) fn new(membership: &'a mut Membership, actions: &'a mut dyn Actions) -> Self {
        IncomingMessage { membership, actions, sender_is_current: None }
    }

    /// Takes notice of the sender. Returns false if the message's body does not count, because its sender
    /// is unknown, has been replaced or has departed.
    fn accept_sender(&mut self, header: &Header) -> bool {
        if let Some(is_current) = self.sender_is_current {
            return is_current;
        }
        let is_current = self.membership.notice_sender(self.actions, header);
        self.sender_is_current = Some(is_current);
        is_current
    }
}

impl Membership {
    fn notice_sender(&mut self, actions: &mut dyn Actions, header: &Header) -> bool {
        let (now, id) = (self.now, header.from);
        if id == self.local_id {
            self.answer_own_name(actions, header);
            return false;
        }
        let Some(peer) = self.peers.get_mut(&id) else {
            if self.take_reply() {
                self.request_sync(actions, header.address);
            }
            return false;
        };
        let record = &peer.record;
        if record.instance_id != header.instance_id || header.incarnation < record.incarnation {
            // A process that was replaced or is about to replace another, or an earlier message, late or
            // repeated, which proves nothing about the present: the sender learns what is known.
            self.answer_outdated_sender(actions, header);
            return false;
        }
        peer.last_receipt = Some(now);
        if !peer.is_active() {
            self.answer_departed_sender(actions, header);
            return false;
        }
        self.refuse_takeover(actions, id);
        true
    }

    /// A message under this router's own name: another process has started under it, or an own message came
    /// back.
    fn answer_own_name(&self, actions: &mut dyn Actions, header: &Header) {
        if header.instance_id != self.local.instance_id {
            let refusal = Message::name_conflict(&self.header(), header.instance_id, self.local.address);
            actions.send(header.address, refusal.bytes());
        }
    }

    /// Tells the sender which record is known under its name.
    fn answer_outdated_sender(&mut self, actions: &mut dyn Actions, header: &Header) {
        if !self.take_reply() {
            return;
        }
        let mut message = Message::updates(&self.header());
        message.record(&self.local);
        if let Some(peer) = self.peers.get(&header.from) {
            message.record(&peer.record);
        }
        actions.send(header.address, message.bytes());
    }

    /// Tells the sender that it was declared dead here.
    fn answer_departed_sender(&mut self, actions: &mut dyn Actions, header: &Header) {
        if !self.take_reply() {
            return;
        }
        let mut message = Message::updates(&self.header());
        message.record(&self.local);
        if let Some(suspicion) = self.suspicion(header.from, self.local_id) {
            message.suspicion(&suspicion);
        }
        actions.send(header.address, message.bytes());
    }

    /// A vote in this router's own name. Only this router speaks of its votes: one that it has not cast, or
    /// has withdrawn since, it takes back.
    fn handle_echoed_vote(&mut self, vote: &Suspicion) {
        let own = self.suspicion(vote.subject, self.local_id);
        if vote.opinion == Opinion::Withdrawn || own.is_some_and(|own| own.sequence >= vote.sequence) {
            return;
        }
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&vote.subject) else { return };
        if !peer.is_active() || !is_about(vote, &peer.record) {
            return;
        }
        let sequence = vote.sequence.saturating_add(1);
        peer.replace_vote(Vote { voter: vote.voter, sequence, opinion: Opinion::Withdrawn, cast_at: now });
        self.queue_update(Update::Vote { subject: vote.subject, voter: vote.voter });
    }

    /// A vote of another router on a third one.
    fn handle_vote_on_peer(&mut self, vote: &Suspicion) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&vote.subject).filter(|peer| peer.is_active()) else { return };
        if !is_about(vote, &peer.record) {
            // The subject has refuted it since: whoever still passes the vote on learns so.
            let record = &peer.record;
            if record.instance_id == vote.instance_id && record.incarnation > vote.incarnation {
                self.queue_record_once(vote.subject);
            }
            return;
        }
        if store_vote(peer, vote, now) {
            self.suspects.insert(vote.subject);
            self.queue_update(Update::Vote { subject: vote.subject, voter: vote.voter });
        }
    }
}

/// Whether a vote is about the process and the incarnation of this record.
fn is_about(vote: &Suspicion, record: &Record) -> bool {
    (vote.instance_id, vote.incarnation) == (record.instance_id, record.incarnation)
}

/// Stores a received vote; false if a later one of the same voter is known or too many votes are stored.
fn store_vote(peer: &mut Peer, received: &Suspicion, now: Micros) -> bool {
    let is_full = peer.votes.len() >= MAX_VOTES_PER_MEMBER;
    let Suspicion { voter, sequence, opinion, .. } = *received;
    match peer.votes.iter_mut().find(|vote| vote.voter == voter) {
        Some(vote) if vote.sequence >= sequence => return false,
        Some(vote) => *vote = Vote { voter, sequence, opinion, cast_at: now },
        None if is_full => return false,
        None => peer.votes.push(Vote { voter, sequence, opinion, cast_at: now }),
    }
    true
}

impl MessageHandler for IncomingMessage<'_> {
    fn heartbeat(&mut self, header: &Header, since_last_receipt: Option<Micros>, view: u64) {
        if !self.accept_sender(header) {
            return;
        }
        let membership = &mut *self.membership;
        let now = membership.now;
        if let Some(peer) = membership.peers.get_mut(&header.from) {
            peer.last_receipt_by_peer =
                since_last_receipt.map(|age| now.saturating_sub(age)).or(peer.last_receipt_by_peer);
            peer.last_heartbeat = Some(now);
        }
        let differs = view != membership.view_digest();
        if differs && now >= membership.last_sync + SYNC_INTERVAL {
            membership.last_sync = now;
            membership.request_sync(self.actions, header.address);
        }
    }

    fn ping_request(&mut self, header: &Header, target: RouterId) {
        if self.accept_sender(header)
            && let Some(peer) = self.membership.peers.get(&target)
        {
            let message = Message::ping(&self.membership.header(), header.from);
            self.actions.send(peer.record.address, message.bytes());
        }
    }

    fn ping(&mut self, header: &Header, requester: RouterId) {
        // Also a sender that is not known here gets its answer.
        self.accept_sender(header);
        let message = Message::ack(&self.membership.header(), requester);
        self.actions.send(header.address, message.bytes());
    }

    fn ack(&mut self, header: &Header, requester: RouterId) {
        if self.accept_sender(header)
            && requester != self.membership.local_id
            && let Some(peer) = self.membership.peers.get(&requester)
        {
            let message = Message::indirect_ack(&self.membership.header(), header.from, header.instance_id);
            self.actions.send(peer.record.address, message.bytes());
        }
    }

    fn indirect_ack(&mut self, header: &Header, target: RouterId, instance_id: InstanceId) {
        let now = self.membership.now;
        if self.accept_sender(header)
            && let Some(peer) = self.membership.peers.get_mut(&target)
            && peer.record.instance_id == instance_id
        {
            peer.last_confirmed = Some(now);
        }
    }

    fn sync_request(&mut self, header: &Header, view: &[u32; DIGEST_BUCKETS]) {
        // Also a sender that is not known here gets its answer: it may be joining.
        self.accept_sender(header);
        let own = self.membership.digests;
        self.membership.send_records(self.actions, header.address, |bucket| own[bucket] != view[bucket]);
    }

    fn name_conflict(&mut self, _: &Header, instance_id: InstanceId, holder: SocketAddr) {
        let local = &self.membership.local;
        let concerns_us = instance_id == local.instance_id && holder != local.address;
        if concerns_us && !self.membership.admitted {
            self.membership.yield_name(self.actions, holder);
        }
    }

    fn name_contested(&mut self, header: &Header, claimant: SocketAddr) {
        if self.accept_sender(header) {
            let name = self.membership.local.name.clone();
            self.actions.changed(Change::NameContested { name, claimant });
        }
    }

    fn record(&mut self, header: &Header, record: Record) {
        let id = RouterId::named(&record.name);
        let direct = id == header.from && record.instance_id == header.instance_id;
        self.membership.merge_record(self.actions, record, direct);
    }

    fn suspicion(&mut self, _: &Header, suspicion: Suspicion) {
        if suspicion.subject == self.membership.local_id {
            self.membership.handle_vote_on_local(self.actions, &suspicion);
        } else if suspicion.voter == self.membership.local_id {
            self.membership.handle_echoed_vote(&suspicion);
        } else {
            self.membership.handle_vote_on_peer(&suspicion);
        }
    }
}
