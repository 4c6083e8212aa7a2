//! Handling of received messages.
use super::Membership;
use super::dissemination::Update;
use super::peer::{Peer, Vote};
use crate::config::{MAX_VOTES_PER_MEMBER, SYNC_INTERVAL};
use crate::message::{DIGEST_BUCKETS, Header, Message, MessageHandler, Opinion, Suspicion};
use crate::observation::{Actions, Change};
use crate::record::{InstanceId, Record, RouterId};
use applepond::interface::Micros;
use std::net::SocketAddr;

/// Handles the contents of one received message.
pub(super) struct IncomingMessage<'a> {
    membership: &'a mut Membership,
    actions: &'a mut dyn Actions,
    /// Whether the sender is the current process of an active router according to the known records.
    /// Determined only once per message, because determining it has side effects.
    sender_is_current: Option<bool>,
}

impl<'a> IncomingMessage<'a> {
    pub(super) fn new(membership: &'a mut Membership, actions: &'a mut dyn Actions) -> Self {
        IncomingMessage { membership, actions, sender_is_current: None }
    }

    /// Records the sender, and returns whether the body of the message takes effect. It does not if the
    /// sender is unknown, has been replaced or has departed.
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
            // The sender is a process that was replaced or is about to replace another, or the message is an
            // old one, delayed or replayed, which does not prove that the sender is live now. The sender is
            // told which record is known.
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

    /// Handles a message under this router's own name: another process has started under the name, or one of
    /// this process's messages was reflected.
    fn answer_own_name(&self, actions: &mut dyn Actions, header: &Header) {
        if header.instance_id != self.local.instance_id {
            let refusal = Message::name_conflict(&self.header(), header.instance_id, self.local.address);
            actions.send(header.address, refusal.bytes());
        }
    }

    /// Sends the known record under the sender's name to the sender.
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

    /// Tells the sender that this router has declared it dead.
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

    /// Handles a vote in this router's own name. If this router has not cast it, or has withdrawn it since,
    /// it withdraws the vote under a higher sequence number.
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

    /// Handles a vote of another router on a third one.
    fn handle_vote_on_peer(&mut self, vote: &Suspicion) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&vote.subject).filter(|peer| peer.is_active()) else { return };
        if !is_about(vote, &peer.record) {
            // The subject has refuted the vote since. Passing on its record informs the routers that still
            // disseminate the vote.
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

/// Stores a received vote. Returns false if the same or a later vote of the voter is known, or if the limit
/// on votes is reached.
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
        // An unknown sender is answered as well.
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
        // An unknown sender is answered as well: it may be joining.
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
