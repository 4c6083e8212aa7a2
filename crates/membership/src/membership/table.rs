//! The table of records: the only module that changes records of other routers, with the rules that decide
//! whether a received record replaces a known one.
use super::Membership;
use super::dissemination::Update;
use super::peer::Peer;
use crate::config::{DEPARTED_RETENTION, MAX_ROUTERS};
use crate::message::DIGEST_BUCKETS;
use crate::observation::{Actions, Change, LinkFault, ObservedStatus};
use crate::record::{MemberStatus, Record, RouterId};

/// Digest of one record. The digest of a bucket is the exclusive or of its records' digests.
fn record_digest(id: RouterId, record: &Record) -> u32 {
    let status = record.status as u64 + 1;
    let mut hash = id.0 ^ record.instance_id.0.rotate_left(17) ^ record.incarnation.rotate_left(40) ^ status;
    hash = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    (hash ^ (hash >> 32)) as u32
}

/// The bucket of a router in the comparison of views.
pub(super) fn digest_bucket(id: RouterId) -> usize {
    (id.0 >> 59) as usize % DIGEST_BUCKETS
}

/// Adds a record to the digests, or removes it if it was added before.
fn toggle_digest(digests: &mut [u32; DIGEST_BUCKETS], id: RouterId, record: &Record) {
    if record.status.is_active() {
        digests[digest_bucket(id)] ^= record_digest(id, record);
    }
}

impl Membership {
    /// Adds the local record to the digests, or removes it if it was added before.
    pub(super) fn toggle_local_digest(&mut self) {
        toggle_digest(&mut self.digests, self.local_id, &self.local);
    }

    pub(super) fn set_status(&mut self, id: RouterId, status: MemberStatus) {
        let Some(peer) = self.peers.get(&id) else { return };
        let record = Record { status, ..peer.record.clone() };
        self.store_record(id, record);
    }

    /// Stores a record and updates digests, rings and neighbours.
    fn store_record(&mut self, id: RouterId, record: Record) {
        let previous = self.peers.get(&id).map(|peer| &peer.record);
        if let Some(previous) = previous {
            toggle_digest(&mut self.digests, id, previous);
        }
        toggle_digest(&mut self.digests, id, &record);
        let was_active = previous.is_some_and(|previous| previous.status.is_active());
        let is_active = record.status.is_active();
        let now = self.now;
        let peer = self.peers.entry(id).or_insert_with(|| Peer::new(now, record.clone()));
        peer.update_record(now, record, was_active);
        if was_active == is_active {
            return;
        }
        if is_active {
            self.rings.insert(id);
        } else {
            self.rings.remove(id);
        }
        self.update_neighbours();
    }

    fn update_neighbours(&mut self) {
        let now = self.now;
        let neighbours = self.rings.neighbours_of(self.local_id);
        for added in neighbours.iter().filter(|id| !self.neighbours.contains(id)) {
            self.peers.entry(*added).and_modify(|peer| peer.monitored_since = now);
        }
        for removed in self.neighbours.iter().filter(|id| !neighbours.contains(id)) {
            self.peers.entry(*removed).and_modify(|peer| peer.link_fault = None);
        }
        self.neighbours = neighbours;
    }

    /// Determines the observed status of a peer again and reports a change.
    pub(super) fn refresh_observed_status(&mut self, actions: &mut dyn Actions, id: RouterId) {
        let Some(peer) = self.peers.get(&id) else { return };
        let current = self.observe_status(id, peer);
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let previous = peer.observed;
        if previous != Some(current) {
            peer.observed = Some(current);
            peer.since = now;
            let (name, accusers) = (peer.record.name.clone(), peer.accusers.clone());
            actions.changed(Change::StatusChanged { name, previous, current, accusers });
        }
    }

    fn observe_status(&self, id: RouterId, peer: &Peer) -> ObservedStatus {
        match peer.record.status {
            MemberStatus::Left => return ObservedStatus::Left,
            MemberStatus::Dead => return ObservedStatus::Dead,
            MemberStatus::Joining => return ObservedStatus::Joining,
            MemberStatus::Alive => {}
        }
        if self.counted_votes(peer).count() > 1 {
            return ObservedStatus::Suspected;
        }
        if peer.link_fault == Some(LinkFault::In) {
            return ObservedStatus::Unreachable;
        }
        // If the peer were dead, several routers would have suspected it by now: this router's link may have
        // failed.
        if self.silence(peer).direct > 2 * self.heartbeat_timeout(peer) {
            let is_neighbour = self.neighbours.contains(&id);
            return if is_neighbour { ObservedStatus::Unreachable } else { ObservedStatus::Alive };
        }
        if peer.standing_votes().any(|vote| vote.voter == self.local_id) {
            return ObservedStatus::Suspected;
        }
        ObservedStatus::Alive
    }

    /// Merges a received record into the table. `direct` says whether the process sent its own record.
    pub(super) fn merge_record(&mut self, actions: &mut dyn Actions, record: Record, direct: bool) {
        let id = RouterId::named(&record.name);
        if id == self.local_id {
            return self.merge_local_record(actions, &record);
        }
        let Some(known) = self.peers.get(&id) else {
            return self.merge_unknown(actions, id, record);
        };
        if known.record.instance_id == record.instance_id {
            self.merge_same_instance(actions, id, record);
        } else {
            self.merge_other_instance(actions, id, record, direct);
        }
    }

    fn merge_unknown(&mut self, actions: &mut dyn Actions, id: RouterId, record: Record) {
        // The departure of a router is irrelevant to routers that did not know it.
        if !record.status.is_active() {
            return;
        }
        if self.peers.len() >= MAX_ROUTERS {
            return actions.changed(Change::TableFull { name: record.name });
        }
        self.accept_record(actions, id, record);
    }

    fn merge_same_instance(&mut self, actions: &mut dyn Actions, id: RouterId, record: Record) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let known = &peer.record;
        let newer = record.incarnation > known.incarnation;
        let same = record.incarnation == known.incarnation;
        let leaves = record.status == MemberStatus::Left && known.status.is_active();
        let is_admitted = record.status == MemberStatus::Alive && known.status == MemberStatus::Joining;
        // Without the safeguard, a departed router may return under its old incarnation.
        let returns = !self.safeguards.incarnation_bump && same && !known.status.is_active();
        // Only votes declare a peer dead, never a record passed on by another router.
        let is_death = record.status == MemberStatus::Dead;
        if is_death || !(newer || returns || same && (leaves || is_admitted)) {
            return;
        }
        if newer && peer.standing_votes().count() > 0 {
            peer.false_suspicions.record(self.now);
        }
        self.accept_record(actions, id, record);
    }

    /// Merges the record of a different process under the name of a known router.
    fn merge_other_instance(
        &mut self,
        actions: &mut dyn Actions,
        id: RouterId,
        record: Record,
        direct: bool,
    ) {
        let Some(peer) = self.peers.get(&id) else { return };
        let known = &peer.record;
        let newer = (record.incarnation, record.instance_id) > (known.incarnation, known.instance_id);
        if !newer || !record.status.is_active() {
            return;
        }
        // If the newcomer itself sent the record, the known process is probed first. Otherwise two live
        // processes would alternately take the name from each other.
        if direct && peer.is_active() && known.address != record.address {
            return self.challenge_holder(actions, id, &record);
        }
        self.takeovers.remove(&id);
        self.accept_record(actions, id, record);
    }

    pub(super) fn accept_record(&mut self, actions: &mut dyn Actions, id: RouterId, record: Record) {
        self.store_record(id, record);
        self.queue_update(Update::Record(id));
        self.refresh_observed_status(actions, id);
    }

    /// Forgets routers that departed longer than [`DEPARTED_RETENTION`] ago.
    pub(super) fn forget_departed(&mut self) {
        let now = self.now;
        self.peers.retain(|_, peer| peer.is_active() || now < peer.since + DEPARTED_RETENTION);
    }
}
