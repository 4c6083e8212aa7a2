//! The local router's record: admission, refutation under a higher incarnation, rejoining, and loss of the
//! name.
use super::Membership;
use super::dissemination::Update;
use crate::config::{
    HEALTH_PENALTY_DURATION, HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, MAX_REJOIN_BACKOFF, MAX_VOTES_PER_MEMBER,
    REMOVAL_CONFIRMATION_WAIT,
};
use crate::message::{Opinion, Suspicion};
use crate::observation::{Actions, Change};
use crate::record::{MemberStatus, Record, RouterId};
use applepond::interface::Micros;
use std::net::SocketAddr;

/// Number of reports of its death at which this router rejoins instead of only refuting them.
const REPORTS_FOR_REJOIN: usize = 2;

/// A scheduled refutation of reports that this router is dead.
pub(super) struct PendingRefutation {
    pub(super) due: Micros,
    /// The highest incarnation to which the reports refer.
    pub(super) incarnation: u64,
}

impl Membership {
    /// Changes the local record and queues it for dissemination.
    pub(super) fn update_local(&mut self, incarnation: u64, status: MemberStatus) {
        self.toggle_local_digest();
        if self.local.status != status {
            self.local_status_since = self.now;
        }
        self.local.incarnation = incarnation;
        self.local.status = status;
        self.toggle_local_digest();
        self.queue_update(Update::Local);
    }

    /// Merges a record about this router that was received from another one.
    ///
    /// If the record is of this process and says that it departed or has a higher incarnation, it is refuted.
    /// If it is of another process that ranks higher, this process gives up the name if it was admitted
    /// before, and otherwise raises its incarnation above that of the other process.
    pub(super) fn merge_local_record(&mut self, actions: &mut dyn Actions, record: &Record) {
        let Record { instance_id, incarnation, status, .. } = *record;
        if instance_id == self.local.instance_id {
            let departed = status != self.local.status && !status.is_active();
            if incarnation > self.local.incarnation || departed {
                self.refute(actions, incarnation);
            }
        } else if (incarnation, instance_id) > (self.local.incarnation, self.local.instance_id) {
            if self.admitted {
                self.yield_name(actions, record.address);
            } else {
                self.update_local(incarnation.saturating_add(1), self.local.status);
            }
        }
    }

    /// Handles a vote on this router.
    pub(super) fn handle_vote_on_local(&mut self, actions: &mut dyn Actions, vote: &Suspicion) {
        let is_obsolete = vote.incarnation < self.joined_incarnation;
        if vote.instance_id != self.local.instance_id || is_obsolete {
            return;
        }
        match vote.opinion {
            Opinion::Dead if self.removal_reports.len() < MAX_VOTES_PER_MEMBER => {
                self.record_removal_report(vote.voter, vote.incarnation);
            }
            Opinion::Suspected if vote.incarnation >= self.local.incarnation => {
                self.refute(actions, vote.incarnation);
            }
            _ => {}
        }
    }

    fn record_removal_report(&mut self, voter: RouterId, incarnation: u64) {
        self.removal_reports.insert(voter, self.now);
        let due = self.now + REMOVAL_CONFIRMATION_WAIT;
        let pending = self.pending_refutation.get_or_insert(PendingRefutation { due, incarnation: 0 });
        pending.incarnation = pending.incarnation.max(incarnation);
    }

    /// Refutes statements about this router up to `refuted_incarnation` by raising the local incarnation.
    ///
    /// A router that was declared dead by several others rejoins, and is live again only once its neighbours
    /// hear it.
    pub(super) fn refute(&mut self, actions: &mut dyn Actions, refuted_incarnation: u64) {
        let now = self.now;
        self.removal_reports.retain(|_, at| now < *at + HEALTH_PENALTY_DURATION);
        let was_removed = self.removal_reports.len() >= REPORTS_FOR_REJOIN;
        let not_before =
            if was_removed { self.rejoin_not_before } else { self.last_refutation + HEARTBEAT_INTERVAL };
        if now < not_before || !self.safeguards.refutation {
            return;
        }
        self.last_refutation = now;
        let bump = u64::from(self.safeguards.incarnation_bump);
        let incarnation = refuted_incarnation.max(self.local.incarnation).saturating_add(bump);
        if was_removed {
            self.rejoin(actions, incarnation);
        } else {
            self.update_local(incarnation, self.local.status);
        }
        self.next_flush = Some(now);
    }

    fn rejoin(&mut self, actions: &mut dyn Actions, incarnation: u64) {
        self.removal_reports.clear();
        self.joined_incarnation = incarnation;
        self.rejoin_not_before = self.now + self.rejoin_backoff;
        self.rejoin_backoff = (self.rejoin_backoff * 2).min(MAX_REJOIN_BACKOFF);
        self.update_local(incarnation, MemberStatus::Joining);
        actions.changed(Change::Rejoined(incarnation));
    }

    /// Makes a joining router alive once a majority of its neighbours hears it, or if it has no seeds and
    /// knows no peers. Once it is alive, resets the backoff of rejoins after a long time without one.
    pub(super) fn update_admission(&mut self) {
        if self.local.status != MemberStatus::Joining {
            if self.now > self.rejoin_not_before + MAX_REJOIN_BACKOFF {
                self.rejoin_backoff = HEARTBEAT_INTERVAL;
            }
            return;
        }
        let hears_us = |id: &&RouterId| {
            let peer = &self.peers[*id];
            peer.is_active() && peer.last_receipt_by_peer.is_some_and(|at| self.now < at + HEARTBEAT_TIMEOUT)
        };
        let neighbours = self.neighbours.len();
        let confirmations = self.neighbours.iter().filter(hears_us).count();
        let is_alone = self.seeds.is_empty() && self.peers.is_empty();
        if is_alone || neighbours > 0 && confirmations > neighbours / 2 {
            self.admitted = true;
            self.update_local(self.local.incarnation, MemberStatus::Alive);
        }
    }

    /// Gives up the name to another process. This process no longer takes part in the protocol.
    pub(super) fn yield_name(&mut self, actions: &mut dyn Actions, holder: SocketAddr) {
        self.name_lost = true;
        self.updates.clear();
        actions.changed(Change::NameLost { holder });
    }
}
