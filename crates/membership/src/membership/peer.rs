//! State of one other router.
use super::health::HealthPenalties;
use crate::message::Opinion;
use crate::observation::{LinkFault, MemberView, ObservedStatus};
use crate::record::{Record, RouterId};
use applepond::interface::Micros;

/// A vote on a peer. At most one vote per voter is stored for a peer.
pub(super) struct Vote {
    pub(super) voter: RouterId,
    /// Later votes of the same voter have higher numbers.
    pub(super) sequence: u64,
    pub(super) opinion: Opinion,
    /// When this router received the vote or, for its own vote, cast it.
    pub(super) cast_at: Micros,
}

/// One other router.
pub(super) struct Peer {
    pub(super) record: Record,
    /// The last reported status; `None` for a new peer.
    pub(super) observed: Option<ObservedStatus>,
    /// Since when the peer has had that status.
    pub(super) since: Micros,
    /// Names of the routers whose votes declared the peer dead.
    pub(super) accusers: Vec<String>,
    /// Silence is measured from no earlier than this time.
    pub(super) monitored_since: Micros,
    /// When a message from the peer itself last arrived.
    pub(super) last_receipt: Option<Micros>,
    /// When another router last confirmed that it hears the peer.
    pub(super) last_confirmed: Option<Micros>,
    /// When the peer last heard this router, according to its heartbeats.
    pub(super) last_receipt_by_peer: Option<Micros>,
    pub(super) votes: Vec<Vote>,
    /// Since when there has been a quorum of votes to declare the peer dead.
    pub(super) quorum_since: Option<Micros>,
    /// Penalties for suspicions of the peer that proved false.
    pub(super) false_suspicions: HealthPenalties,
    pub(super) link_fault: Option<LinkFault>,
    /// When the last heartbeat of the peer arrived. If the peer is not a neighbour in this router's view, the
    /// views differ, and it is treated as a transient neighbour for a while.
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

    /// The vote of one voter, including a withdrawn one.
    pub(super) fn vote_of(&self, voter: RouterId) -> Option<&Vote> {
        self.votes.iter().find(|vote| vote.voter == voter)
    }

    /// Votes that have not been withdrawn.
    pub(super) fn standing_votes(&self) -> impl Iterator<Item = &Vote> {
        self.votes.iter().filter(|vote| vote.opinion != Opinion::Withdrawn)
    }

    /// Stores a vote in place of the voter's earlier one.
    pub(super) fn replace_vote(&mut self, vote: Vote) {
        self.votes.retain(|other| other.voter != vote.voter);
        self.votes.push(vote);
    }

    pub(super) fn clear_votes(&mut self) {
        self.votes.clear();
        self.quorum_since = None;
    }

    /// Replaces the record. `was_active` says whether the peer was active under the previous record.
    ///
    /// A new process starts without history, a new incarnation without votes.
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

    /// The peer as shown in the view.
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
