//! The membership state machine: its state, events and queries.
//!
//! The submodules implement the protocol: [`table`] stores the records of other routers, [`local_record`]
//! the local one, [`failure_detector`] measures silence, [`voting`] declares routers dead by votes,
//! [`takeover`] decides between two processes under one name, [`dissemination`] sends updates and records,
//! and [`incoming`] handles received messages.
mod dissemination;
mod failure_detector;
mod health;
mod incoming;
mod local_record;
mod peer;
mod table;
mod takeover;
mod voting;

use crate::config::{FLUSH_INTERVAL, HEARTBEAT_INTERVAL, MAX_REPLIES_PER_HEARTBEAT, STALL_THRESHOLD};
use crate::message::{self, DIGEST_BUCKETS, Header, Message, MessageError};
use crate::observation::{Actions, Change, MemberView, ObservedStatus};
use crate::record::{InstanceId, LocalIdentity, MemberStatus, Record, RouterId};
use crate::rings::Rings;
use crate::safeguards::Safeguards;
use applepond::interface::Micros;
use dissemination::Update;
use health::HealthPenalties;
use incoming::IncomingMessage;
use local_record::PendingRefutation;
use oorandom::Rand64;
use peer::Peer;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use takeover::PendingTakeover;

/// One router's view of the fleet, and the protocol that maintains it.
///
/// The caller passes in the monotonic time in µs with each event, and calls
/// [`handle_timeout`](Membership::handle_timeout) when [`next_deadline`](Membership::next_deadline) has
/// passed.
pub struct Membership {
    /// Time of the current event.
    now: Micros,
    local_id: RouterId,
    /// The record that this router publishes about itself.
    local: Record,
    /// Since when the local record has had its status.
    local_status_since: Micros,
    /// Addresses that are contacted as long as no active router is known at them.
    seeds: Vec<SocketAddr>,
    /// All other known routers, including departed ones.
    peers: BTreeMap<RouterId, Peer>,
    /// All active routers, including the local one.
    rings: Rings,
    /// The local router's neighbours according to the rings; all of them are active peers.
    neighbours: Vec<RouterId>,
    /// Peers against which votes are stored.
    suspects: BTreeSet<RouterId>,
    /// Digests of the records of all active routers, by bucket.
    digests: [u32; DIGEST_BUCKETS],
    /// Updates to disseminate, and how many more times each is sent to all neighbours.
    updates: BTreeMap<Update, u8>,
    /// Names of peers for which a takeover by another process is pending.
    takeovers: BTreeMap<RouterId, PendingTakeover>,
    rng: Rand64,
    next_heartbeat: Micros,
    /// When queued updates are sent without waiting for the next heartbeat.
    next_flush: Option<Micros>,
    /// When the first suspect is declared dead if the votes do not change.
    next_verdict: Option<Micros>,
    /// When this process last resumed after a stall.
    resumed_at: Micros,
    /// Penalties for signs that this process is slow.
    local_health: HealthPenalties,
    /// Whether all neighbours are silent at once.
    isolated: bool,
    /// When seeds and dead routers may be contacted again.
    next_contact: Micros,
    /// When this router last requested a comparison of views.
    last_sync: Micros,
    /// Replies that may still be sent before the next heartbeat.
    reply_budget: usize,
    /// Routers that reported this one dead, and when they last did.
    removal_reports: BTreeMap<RouterId, Micros>,
    /// The scheduled refutation of these reports.
    pending_refutation: Option<PendingRefutation>,
    /// Incarnation under which this router last joined; votes on earlier ones are obsolete.
    joined_incarnation: u64,
    last_refutation: Micros,
    /// Backoff in µs that the next rejoin imposes on the one after it.
    rejoin_backoff: Micros,
    /// Earliest time of the next rejoin.
    rejoin_not_before: Micros,
    /// Whether this router has ever been alive. Before that it raises its incarnation above that of another
    /// process under its name; afterwards it gives up the name to a process that ranks higher.
    admitted: bool,
    /// Whether another process holds the name.
    name_lost: bool,
    safeguards: Safeguards,
}

impl Membership {
    /// Starts as a joining router.
    ///
    /// `random_seed` seeds the random number generator. If `seeds` contains no address other than its own,
    /// the router forms a fleet of its own.
    pub fn new(now: Micros, identity: LocalIdentity, seeds: Vec<SocketAddr>, random_seed: u64) -> Self {
        let local_id = RouterId::named(&identity.name);
        let LocalIdentity { name, zone, address, instance_id, incarnation } = identity;
        let local = Record { name, zone, address, instance_id, incarnation, status: MemberStatus::Joining };
        let mut rng = Rand64::new(u128::from(random_seed));
        // Random phase, so that routers that start together do not send their heartbeats together.
        let next_heartbeat = now + rng.rand_range(0..HEARTBEAT_INTERVAL / 4);
        let mut membership = Membership {
            now,
            local_id,
            local,
            local_status_since: now,
            seeds: seeds.into_iter().filter(|seed| *seed != address).collect(),
            peers: BTreeMap::new(),
            rings: Rings::default(),
            neighbours: Vec::new(),
            suspects: BTreeSet::new(),
            digests: [0; DIGEST_BUCKETS],
            updates: BTreeMap::new(),
            takeovers: BTreeMap::new(),
            rng,
            next_heartbeat,
            next_flush: None,
            next_verdict: None,
            resumed_at: now,
            local_health: HealthPenalties::default(),
            isolated: false,
            next_contact: now,
            last_sync: now,
            reply_budget: MAX_REPLIES_PER_HEARTBEAT,
            removal_reports: BTreeMap::new(),
            pending_refutation: None,
            joined_incarnation: incarnation,
            last_refutation: 0,
            rejoin_backoff: HEARTBEAT_INTERVAL,
            rejoin_not_before: now,
            admitted: false,
            name_lost: false,
            safeguards: Safeguards::ALL,
        };
        membership.rings.insert(local_id);
        membership.toggle_local_digest();
        membership
    }

    /// Replaces the safeguards, for measurements and fault injection.
    pub fn with_safeguards(mut self, safeguards: Safeguards) -> Self {
        self.safeguards = safeguards;
        self
    }

    /// Replaces the addresses of the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds.into_iter().filter(|seed| *seed != self.local.address).collect();
    }

    // ---- Queries -----------------------------------------------------------------------------

    /// The record that this router publishes about itself.
    pub fn local_record(&self) -> &Record {
        &self.local
    }

    /// Whether another process holds this router's name, so that this process no longer takes part.
    pub fn has_lost_name(&self) -> bool {
        self.name_lost
    }

    /// Whether all neighbours are silent at once, so that this router considers itself isolated.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Number of live routers. It always includes this one, which serves whatever its status is.
    pub fn live_count(&self) -> usize {
        1 + self.alive_peers().count()
    }

    /// Number of live routers in each zone, including this router.
    pub fn live_count_by_zone(&self) -> BTreeMap<&str, usize> {
        let mut zones = BTreeMap::from([(self.local.zone.as_str(), 1)]);
        for peer in self.alive_peers() {
            *zones.entry(peer.record.zone.as_str()).or_default() += 1;
        }
        zones
    }

    fn alive_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.record.status == MemberStatus::Alive)
    }

    /// All members of the view, this router first.
    pub fn members(&self) -> impl Iterator<Item = MemberView> {
        let observed = match self.local.status {
            MemberStatus::Joining => ObservedStatus::Joining,
            MemberStatus::Alive => ObservedStatus::Alive,
            MemberStatus::Left | MemberStatus::Dead => ObservedStatus::Left,
        };
        let local = MemberView {
            record: self.local.clone(),
            observed,
            since: self.local_status_since,
            accusers: Vec::new(),
            link_fault: None,
        };
        std::iter::once(local).chain(self.peers.values().map(Peer::view))
    }

    /// Digest of the view: equal for equal sets of active routers with equal instances, incarnations and
    /// statuses.
    pub fn view_digest(&self) -> u64 {
        self.digests
            .iter()
            .fold(0, |view: u64, digest| view.rotate_left(7) ^ u64::from(*digest).wrapping_mul(0x9e37_79b9))
    }

    /// The record of another router, including a departed one.
    pub fn record(&self, router: RouterId) -> Option<&Record> {
        self.peers.get(&router).map(|peer| &peer.record)
    }

    /// The other routers that are joining or alive.
    pub fn active_members(&self) -> impl Iterator<Item = RouterId> + '_ {
        self.peers.iter().filter(|(_, peer)| peer.is_active()).map(|(id, _)| *id)
    }

    /// The other router whose process has this instance id.
    pub fn router_of_instance(&self, instance_id: InstanceId) -> Option<RouterId> {
        self.peers.iter().find(|(_, peer)| peer.record.instance_id == instance_id).map(|(id, _)| *id)
    }

    /// The routers with which this one exchanges heartbeats.
    pub fn neighbours(&self) -> &[RouterId] {
        &self.neighbours
    }

    /// Time by which [`handle_timeout`](Membership::handle_timeout) has to be called.
    pub fn next_deadline(&self) -> Micros {
        let refutation = self.pending_refutation.as_ref().map(|pending| pending.due);
        [refutation, self.next_verdict, self.next_flush]
            .into_iter()
            .flatten()
            .fold(self.next_heartbeat, Ord::min)
    }

    // ---- Events ------------------------------------------------------------------------------

    /// Runs all actions that are due.
    pub fn handle_timeout(&mut self, now: Micros, actions: &mut dyn Actions) {
        self.advance_clock(now, actions);
        if self.has_ended() {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.next_flush = None;
            self.pending_refutation = None;
            self.next_verdict = None;
            return;
        }
        if let Some(pending) = self.pending_refutation.take_if(|pending| now >= pending.due) {
            self.refute(actions, pending.incarnation);
        }
        if now >= self.next_heartbeat {
            self.run_heartbeat_interval(actions);
        } else if self.next_verdict.is_some_and(|at| now >= at) {
            self.evaluate_votes(actions);
        } else if self.next_flush.is_some_and(|at| now >= at) {
            // Votes arrive as updates, so they are evaluated with each flush instead of only with the next
            // heartbeat.
            self.evaluate_votes(actions);
            self.flush_updates(actions);
        }
        let flush_again = (!self.updates.is_empty()).then_some(now + FLUSH_INTERVAL);
        self.next_flush = self.next_flush.filter(|at| *at > now).or(flush_again);
    }

    fn run_heartbeat_interval(&mut self, actions: &mut dyn Actions) {
        self.next_heartbeat = self.now + HEARTBEAT_INTERVAL;
        self.reply_budget = MAX_REPLIES_PER_HEARTBEAT;
        self.update_admission();
        self.check_neighbours(actions);
        self.evaluate_votes(actions);
        self.ping_contested_holders(actions);
        self.send_heartbeats(actions);
        self.contact_missing(actions);
        self.forget_departed();
    }

    /// Handles a message from a member. The caller has authenticated its envelope.
    ///
    /// # Errors
    ///
    /// If the message cannot be decoded. It has no effect then.
    pub fn handle_message(
        &mut self,
        now: Micros,
        bytes: &[u8],
        actions: &mut dyn Actions,
    ) -> Result<(), MessageError> {
        self.advance_clock(now, actions);
        if self.has_ended() {
            return Ok(());
        }
        message::read(bytes, &mut IncomingMessage::new(self, actions))
    }

    /// Announces immediately to all neighbours, which pass it on, that this router leaves.
    pub fn leave(&mut self, now: Micros, actions: &mut dyn Actions) {
        self.advance_clock(now, actions);
        self.update_local(self.local.incarnation, MemberStatus::Left);
        for to in self.neighbour_addresses() {
            let mut message = Message::updates(&self.header());
            message.record(&self.local);
            // Sent twice against message loss: the process ends before it could retransmit.
            for _ in 0..2 {
                actions.send(to, message.bytes());
            }
        }
    }

    /// Whether this process no longer takes part in the protocol.
    fn has_ended(&self) -> bool {
        self.name_lost || self.local.status == MemberStatus::Left
    }

    /// Sets the time, and detects whether this process was stalled.
    ///
    /// Guards against a process that mistakes its own stall for the silence of others: after a stall, stored
    /// votes are discarded, silence is measured from now, and a health penalty lengthens timeouts.
    fn advance_clock(&mut self, now: Micros, actions: &mut dyn Actions) {
        let deadline = self.next_deadline();
        self.now = now;
        if now <= deadline + STALL_THRESHOLD || !self.safeguards.pause_detection {
            return;
        }
        self.resumed_at = now;
        self.next_heartbeat = now;
        self.local_health.record(now);
        for peer in self.peers.values_mut().filter(|peer| peer.is_active()) {
            peer.clear_votes();
        }
        self.suspects.clear();
        self.next_verdict = None;
        actions.changed(Change::ProcessStalled(now - deadline));
    }

    /// Header for messages of this router.
    fn header(&self) -> Header {
        let Record { address, instance_id, incarnation, .. } = self.local;
        Header { from: self.local_id, instance_id, incarnation, address }
    }

    fn neighbour_addresses(&self) -> Vec<SocketAddr> {
        let peers = self.neighbours.iter().filter_map(|id| self.peers.get(id));
        peers.map(|peer| peer.record.address).collect()
    }
}
