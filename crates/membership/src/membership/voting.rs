//! Suspicion: this router's own votes, the quorum, and the declaration of death.
use super::Membership;
use super::dissemination::Update;
use super::failure_detector::Silence;
use super::peer::{Peer, Vote};
use crate::config::{SUSPICION_TIMEOUT, VOTE_LIFETIME, VOTE_RENEWAL_INTERVAL};
use crate::message::Opinion;
use crate::observation::Actions;
use crate::record::{MemberStatus, RouterId};
use applepond::interface::Micros;

/// Minimum number of votes in a quorum, so that a single voter cannot declare a router dead.
const MIN_QUORUM: usize = 2;

impl Membership {
    /// Votes against a neighbour that no router hears, renews the vote, and withdraws it once the neighbour
    /// is heard again.
    pub(super) fn update_own_vote(&mut self, id: RouterId, silence: Silence, timeout: Micros) {
        let Some(peer) = self.peers.get(&id) else { return };
        let own_vote = peer.vote_of(self.local_id).filter(|vote| vote.opinion != Opinion::Withdrawn);
        let cast_at = own_vote.map(|vote| vote.cast_at);
        let is_silent = silence.overall > timeout;
        if is_silent && !self.isolated {
            if cast_at.is_none_or(|at| self.now >= at + VOTE_RENEWAL_INTERVAL) {
                self.cast_vote(id, Opinion::Suspected);
            }
        } else if cast_at.is_some() && !is_silent {
            self.cast_vote(id, Opinion::Withdrawn);
            self.local_health.record(self.now);
            if let Some(peer) = self.peers.get_mut(&id) {
                peer.false_suspicions.record(self.now);
            }
        }
    }

    /// Casts this router's vote on a peer and queues it for dissemination.
    fn cast_vote(&mut self, id: RouterId, opinion: Opinion) {
        let (voter, now) = (self.local_id, self.now);
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let previous = peer.vote_of(voter).map_or(0, |vote| vote.sequence);
        // Derived from the clock, so that votes after a restart of this process outrank those before it.
        let sequence = (now / 1_000).max(previous.saturating_add(1));
        peer.replace_vote(Vote { voter, sequence, opinion, cast_at: now });
        self.suspects.insert(id);
        self.queue_update(Update::Vote { subject: id, voter });
    }

    /// Declares dead each suspect against which a quorum of votes has stood for the suspicion timeout.
    pub(super) fn evaluate_votes(&mut self, actions: &mut dyn Actions) {
        self.next_verdict = None;
        for id in self.suspects.clone() {
            self.evaluate_suspect(actions, id);
        }
    }

    fn evaluate_suspect(&mut self, actions: &mut dyn Actions, id: RouterId) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&id).filter(|peer| peer.is_active()) else {
            self.suspects.remove(&id);
            return;
        };
        peer.votes.retain(|vote| now < vote.cast_at + VOTE_LIFETIME);
        if peer.votes.is_empty() {
            self.suspects.remove(&id);
        }
        let peer = &self.peers[&id];
        let has_quorum = self.counted_votes(peer).count() >= self.quorum(id) && !self.hears_directly(peer);
        let quorum_since = has_quorum.then(|| peer.quorum_since.unwrap_or(now).max(self.resumed_at));
        let timeout = (SUSPICION_TIMEOUT as f64 * peer.false_suspicions.timeout_factor(now)) as Micros;
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.quorum_since = quorum_since;
        }
        match quorum_since.map(|since| since + timeout) {
            Some(at) if now >= at => self.declare_dead(id),
            Some(at) => self.next_verdict = Some(self.next_verdict.map_or(at, |first| first.min(at))),
            None => {}
        }
        self.refresh_observed_status(actions, id);
    }

    /// The votes that count towards the quorum: those of active routers, including this one.
    pub(super) fn counted_votes<'a>(&'a self, peer: &'a Peer) -> impl Iterator<Item = &'a Vote> {
        let is_active =
            |id: RouterId| id == self.local_id || self.peers.get(&id).is_some_and(Peer::is_active);
        peer.standing_votes().filter(move |vote| is_active(vote.voter))
    }

    /// Number of votes needed to declare a router dead: a majority of its observers, not counting observers
    /// that are suspected themselves, and at least [`MIN_QUORUM`].
    ///
    /// Each voter has one vote, so that a faulty or lying router cannot reach the quorum by repeating it.
    fn quorum(&self, id: RouterId) -> usize {
        if !self.safeguards.vote_quorum {
            return 1;
        }
        let is_trusted = |observer: &RouterId| {
            let peer = self.peers.get(observer);
            let trusts = |peer: &Peer| peer.is_active() && self.counted_votes(peer).count() < MIN_QUORUM;
            *observer == self.local_id || peer.is_some_and(trusts)
        };
        let observers = self.rings.neighbours_of(id).into_iter().filter(is_trusted).count();
        (observers / 2 + 1).max(MIN_QUORUM)
    }

    fn declare_dead(&mut self, id: RouterId) {
        let name_of = |vote: &Vote| match self.peers.get(&vote.voter) {
            Some(voter) => voter.record.name.clone(),
            None => self.local.name.clone(),
        };
        let accusers = self.counted_votes(&self.peers[&id]).map(name_of).collect();
        self.cast_vote(id, Opinion::Dead);
        self.set_status(id, MemberStatus::Dead);
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.accusers = accusers;
        }
        self.suspects.remove(&id);
    }
}
