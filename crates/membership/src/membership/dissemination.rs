//! Dissemination: updates piggybacked on heartbeats, comparison of views, and attempts to contact routers
//! that may have restarted.
use super::Membership;
use super::peer::Peer;
use super::table::digest_bucket;
use crate::config::{
    CONTACT_INTERVAL, FLUSH_INTERVAL, HEARTBEAT_INTERVAL, MAX_MESSAGES_PER_SYNC, MAX_QUEUED_UPDATES,
    RETRANSMIT_ROUNDS, RING_COUNT,
};
use crate::message::{Message, Suspicion};
use crate::observation::Actions;
use crate::record::{MemberStatus, RouterId};
use applepond::interface::Micros;
use std::net::SocketAddr;

/// Time in µs after its last heartbeat for which a router that is not a neighbour receives heartbeats.
const TRANSIENT_NEIGHBOUR_DURATION: Micros = 4 * HEARTBEAT_INTERVAL;

/// Maximum number of routers that receive heartbeats without being neighbours.
const MAX_TRANSIENT_NEIGHBOURS: usize = 4 * RING_COUNT;

/// An update that is being disseminated to the fleet. Updates that were sent equally often go out in the
/// order of the variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Update {
    /// The record of the local router.
    Local,
    /// The record of a peer.
    Record(RouterId),
    /// The vote of one router on another.
    Vote { subject: RouterId, voter: RouterId },
}

impl Membership {
    /// Queues an update for dissemination to the whole fleet.
    pub(super) fn queue_update(&mut self, update: Update) {
        if self.updates.len() >= MAX_QUEUED_UPDATES && !self.updates.contains_key(&update) {
            // Drops the update that was sent most often; the comparison of views delivers it to routers that
            // missed it.
            let least_left = self.updates.iter().min_by_key(|(_, left)| **left).map(|(other, _)| *other);
            least_left.map(|other| self.updates.remove(&other));
        }
        self.updates.insert(update, RETRANSMIT_ROUNDS);
        self.next_flush.get_or_insert(self.now + FLUSH_INTERVAL);
    }

    /// Queues the record of a peer for one transmission, unless it is queued already or the queue is full.
    pub(super) fn queue_record_once(&mut self, id: RouterId) {
        if self.updates.len() < MAX_QUEUED_UPDATES {
            self.updates.entry(Update::Record(id)).or_insert(1);
            self.next_flush.get_or_insert(self.now + FLUSH_INTERVAL);
        }
    }

    /// Appends an update to a message. Returns false if it does not fit.
    fn write_update(&self, message: &mut Message, update: Update) -> bool {
        match update {
            Update::Local => message.record(&self.local),
            Update::Record(id) => self.peers.get(&id).is_none_or(|peer| message.record(&peer.record)),
            Update::Vote { subject, voter } => {
                self.suspicion(subject, voter).is_none_or(|suspicion| message.suspicion(&suspicion))
            }
        }
    }

    /// The stored vote of `voter` on `subject`, in the form in which it is sent.
    pub(super) fn suspicion(&self, subject: RouterId, voter: RouterId) -> Option<Suspicion> {
        let peer = self.peers.get(&subject)?;
        let vote = peer.vote_of(voter)?;
        Some(Suspicion {
            subject,
            instance_id: peer.record.instance_id,
            incarnation: peer.record.incarnation,
            voter,
            sequence: vote.sequence,
            opinion: vote.opinion,
        })
    }

    /// Encodes as many updates as fit into a message with a heartbeat, the least often sent first, and counts
    /// them as sent once more.
    fn take_updates(&mut self) -> Vec<u8> {
        let mut queue: Vec<(u8, Update)> =
            self.updates.iter().map(|(update, left)| (*left, *update)).collect();
        queue.sort_unstable_by(|one, other| other.0.cmp(&one.0).then(one.1.cmp(&other.1)));
        // Reserves room for a heartbeat of maximum size, so that the updates fit beside any heartbeat.
        let mut message = Message::heartbeat(&self.header(), Some(Micros::MAX), u64::MAX);
        let begin = message.bytes().len();
        for (left, update) in queue {
            if !self.write_update(&mut message, update) {
                break;
            }
            if left > 1 {
                self.updates.insert(update, left - 1);
            } else {
                self.updates.remove(&update);
            }
        }
        message.bytes()[begin..].to_vec()
    }

    /// Sends updates to all neighbours without waiting for the next heartbeat.
    pub(super) fn flush_updates(&mut self, actions: &mut dyn Actions) {
        let updates = self.take_updates();
        for to in self.neighbour_addresses() {
            let mut message = Message::updates(&self.header());
            message.append(&updates);
            actions.send(to, message.bytes());
        }
    }

    /// Sends a heartbeat with updates to all neighbours, including transient ones.
    pub(super) fn send_heartbeats(&mut self, actions: &mut dyn Actions) {
        let updates = self.take_updates();
        let (header, view) = (self.header(), self.view_digest());
        let recipients = self.neighbours.iter().copied().chain(self.transient_neighbours());
        for id in recipients {
            let Some(peer) = self.peers.get(&id) else { continue };
            let since_last_receipt = peer.last_receipt.map(|at| self.now - at);
            let mut message = Message::heartbeat(&header, since_last_receipt, view);
            message.append(&updates);
            // Tells a suspected router about the suspicion, so that it can refute it at once.
            let vote = peer.standing_votes().next();
            if let Some(suspicion) = vote.and_then(|vote| self.suspicion(id, vote.voter)) {
                message.suspicion(&suspicion);
            }
            actions.send(peer.record.address, message.bytes());
        }
    }

    /// Routers whose different view makes this router their neighbour. They monitor this router, so they need
    /// its heartbeats too.
    fn transient_neighbours(&self) -> impl Iterator<Item = RouterId> + '_ {
        let is_recent =
            |peer: &Peer| peer.last_heartbeat.is_some_and(|at| self.now < at + TRANSIENT_NEIGHBOUR_DURATION);
        let transient =
            self.peers.iter().filter(move |(id, peer)| is_recent(peer) && !self.neighbours.contains(id));
        transient.map(|(id, _)| *id).take(MAX_TRANSIENT_NEIGHBOURS)
    }

    /// Contacts one random seed that is not an active member and one random dead router, as either may have
    /// restarted. A joining router also contacts one random active router.
    pub(super) fn contact_missing(&mut self, actions: &mut dyn Actions) {
        if self.now < self.next_contact {
            return;
        }
        self.next_contact = self.now + CONTACT_INTERVAL;
        let active = || self.peers.values().filter(|peer| peer.is_active()).map(|peer| peer.record.address);
        let is_known = |seed: &SocketAddr| active().any(|address| address == *seed);
        let seeds: Vec<SocketAddr> = self.seeds.iter().copied().filter(|seed| !is_known(seed)).collect();
        let is_dead = |peer: &&Peer| peer.record.status == MemberStatus::Dead;
        let dead: Vec<SocketAddr> =
            self.peers.values().filter(is_dead).map(|peer| peer.record.address).collect();
        // A joining router keeps asking active routers: those that knew more at first may have lost it since.
        let is_joining = self.local.status == MemberStatus::Joining;
        let helpers: Vec<SocketAddr> = if is_joining { active().collect() } else { Vec::new() };
        for candidates in [seeds, dead, helpers] {
            if !candidates.is_empty() {
                let index = self.rng.rand_range(0..candidates.len() as u64) as usize;
                self.request_sync(actions, candidates[index]);
            }
        }
    }

    /// Asks a router for the records of all buckets in which the views differ.
    pub(super) fn request_sync(&self, actions: &mut dyn Actions, to: SocketAddr) {
        let mut message = Message::sync_request(&self.header(), &self.digests);
        message.record(&self.local);
        actions.send(to, message.bytes());
    }

    /// Sends the local record and the records of all buckets that differ, within the limits on replies.
    pub(super) fn send_records(
        &mut self,
        actions: &mut dyn Actions,
        to: SocketAddr,
        differs: impl Fn(usize) -> bool,
    ) {
        let mut message = Message::updates(&self.header());
        message.record(&self.local);
        let mut sent = 0;
        let mut remaining = self.peers.iter().filter(|(id, _)| differs(digest_bucket(**id))).peekable();
        while self.reply_budget > 0 && sent < MAX_MESSAGES_PER_SYNC {
            while remaining.next_if(|(id, peer)| self.write_for_sync(&mut message, **id, peer)).is_some() {}
            self.reply_budget -= 1;
            sent += 1;
            actions.send(to, message.bytes());
            if remaining.peek().is_none() {
                break;
            }
            message = Message::updates(&self.header());
        }
    }

    /// Appends the record of a peer, or this router's vote if the peer is dead. Returns false if it does not
    /// fit.
    fn write_for_sync(&self, message: &mut Message, id: RouterId, peer: &Peer) -> bool {
        if peer.record.status != MemberStatus::Dead {
            return message.record(&peer.record);
        }
        // The death of a router is sent as this router's single vote: the receiver needs a quorum of its own.
        self.suspicion(id, self.local_id).is_none_or(|suspicion| message.suspicion(&suspicion))
    }

    /// Takes one reply from the budget of this heartbeat interval. Returns false if the budget is used up.
    pub(super) fn take_reply(&mut self) -> bool {
        if self.reply_budget == 0 {
            return false;
        }
        self.reply_budget -= 1;
        true
    }
}
