//! The state that is kept about one other router.
use super::health::HealthPenalties;
use crate::message::Opinion;
use crate::observation::{LinkFault, MemberView, ObservedStatus};
use crate::record::{Record, RouterId};
use applepond::interface::Micros;

/// A vote on a peer. A peer has at most one vote of each voter.
pub(super) struct Vote {
    pub(super) voter: RouterId,
    /// Later votes of a voter carry higher numbers.
    pub(super) sequence: u64,
    pub(super) opinion: Opinion,
    /// When it arrived here.
    pub(super) cast_at: Micros,
}

/// One other router.
pub(super) struct Peer {
    pub(super) record: Record,
    /// The status that was last reported; none yet if the peer has just become known.
    pub(super) observed: Option<ObservedStatus>,
    /// Since when it has that status.
    pub(super) since: Micros,
    /// Names of the routers whose votes declared it dead.
    pub(super) accusers: Vec<String>,
    /// Silence counts from here at the earliest.
    pub(super) monitored_since: Micros,
    /// When a message of the peer itself last arrived.
    pub(super) last_receipt: Option<Micros>,
    /// When another router last confirmed that it hears the peer.
    pub(super) last_confirmed: Option<Micros>,
    /// When the peer last heard this router, as far as its heartbeats tell.
    pub(super) last_receipt_by_peer: Option<Micros>,
    pub(super) votes: Vec<Vote>,
    /// Since when enough votes stand to declare it dead.
    pub(super) quorum_since: Option<Micros>,
    /// Times that it was suspected though it was there.
    pub(super) false_suspicions: HealthPenalties,
    pub(super) link_fault: Option<LinkFault>,
    /// When its last heartbeat arrived. If the peer is no neighbour here, views differ and it is answered
    /// for a while as a transient neighbour.
    pub(super) last_heartbeat: Option<Micros>,
}

impl Peer {
    pub(super) fn new(now: Micros, record: Record) -> Self {
        Peer {
            record,
            observed: None,
            since: now,
            accusers: Vec::new(),
            monitored_since: now,
            last_receipt: None,
            last_confirmed: None,
            last_receipt_by_peer: None,
            votes: Vec::new(),
            quorum_since: None,
            false_suspicions: HealthPenalties::default(),
            link_fault: None,
            last_heartbeat: None,
        }
    }

    pub(super) fn is_active(&self) -> bool {
        self.record.status.is_active()
    }

    /// The vote of one voter, withdrawn ones included.
    pub(super) fn vote_of(&self, voter: RouterId) -> Option<&Vote> {
        self.votes.iter().find(|vote| vote.voter == voter)
    }

    /// Votes that have not been withdrawn.
    pub(super) fn standing_votes(&self) -> impl Iterator<Item = &Vote> {
        self.votes.iter().filter(|vote| vote.opinion != Opinion::Withdrawn)
    }

    /// Puts a vote in the place of the voter's earlier one.
    pub(super) fn replace_vote(&mut self, vote: Vote) {
        self.votes.retain(|other| other.voter != vote.voter);
        self.votes.push(vote);
    }

    pub(super) fn clear_votes(&mut self) {
        self.votes.clear();
        self.quorum_since = None;
    }

    /// Takes a new record. `was_active`: whether the peer took part under the record before.
    ///
    /// A new process starts without any history, a new incarnation without votes.
    pub(super) fn update_record(&mut self, now: Micros, record: Record, was_active: bool) {
        if self.record.instance_id != record.instance_id {
            let (observed, since) = (self.observed, self.since);
            *self = Peer { observed, since, ..Peer::new(now, record.clone()) };
        }
        if self.record.incarnation != record.incarnation {
            self.clear_votes();
        }
        if record.status.is_active() && !was_active {
            self.monitored_since = now;
            self.accusers.clear();
        }
        self.record = record;
    }

    /// The peer as the view shows it.
    pub(super) fn view(&self) -> MemberView {
        MemberView {
            record: self.record.clone(),
            observed: self.observed.unwrap_or(ObservedStatus::Joining),
            since: self.since,
            accusers: self.accusers.clone(),
            link_fault: self.link_fault,
        }
    }
}
