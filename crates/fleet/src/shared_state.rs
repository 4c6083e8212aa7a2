//! State that routers share besides membership: gossip, the consensus register and recovery after a restart.
//!
//! Each message is addressed to one process and begins with the tag of its protocol, by which it is
//! dispatched to the state machine that handles it.
mod disk_events;
mod page;
mod prefixes;

pub use prefixes::PrefixGuards;

use crate::disk::{AgreedState, Disks};
use applepond_consensus::message::MessageWriter;
use applepond_consensus::{self as consensus, Register, Unavailable};
use applepond_gossip::{self as gossip, Gossip, Key, Kind, KindLifetime};
use applepond_membership::{InstanceId, Membership, RouterId};
use applepond_prefix_cache::{CostModel, PaneCounter};
use applepond_reactor::Micros;
use applepond_recovery::message::MessageVisitor;
use applepond_recovery::{self as recovery, Fact, ObservationStore, PeerRecovery, SNAPSHOT_INTERVAL, Stage};
use prefixes::Prefixes;
use std::cell::RefCell;
use std::rc::Rc;

/// Interval in µs at which disk events are polled while one is outstanding.
const DISK_POLL_INTERVAL: Micros = 2_000;
/// Gossip kind for the newest version of the agreed state that a router has seen, keyed by the bootstrap
/// number.
const SEEN_VERSION: Kind = Kind(1);
/// Lifetime of such an entry in µs. It may be long, because a seen version only forbids older ones, and its
/// publisher refreshes it.
const SEEN_VERSION_LIFETIME: Micros = 600_000_000;
/// Interval in µs after which the entry is published again.
const SEEN_VERSION_REFRESH: Micros = 200_000_000;

/// Configuration of a [`SharedState`].
pub struct SharedStateConfig {
    /// This router.
    pub router: RouterId,
    /// Instance id of this process.
    pub instance_id: InstanceId,
    /// Incarnation of this router in the membership protocol.
    pub incarnation: u64,
    /// Replicas named in the settings; empty if consensus is not used.
    pub replicas: Vec<RouterId>,
    /// Number of the bootstrap; state of another bootstrap is rejected.
    pub bootstrap: u64,
    /// This router is a replica: it has a vote file.
    pub is_replica: bool,
    /// This router has a snapshot file.
    pub has_snapshot: bool,
    /// Cost model of prompt prefixes; `None` if prefixes are not pinned.
    pub prefix_cost_model: Option<CostModel>,
}

/// Name of a recovery stage in the log. The operations documentation lists these names.
fn logged_stage_name(stage: &Stage) -> String {
    match stage {
        Stage::Requesting => "Asking".to_owned(),
        Stage::Recovered(peers) => format!("Told({peers})"),
        Stage::Exhausted => "Untold".to_owned(),
    }
}

/// A message and its receiver.
type Message = (RouterId, Vec<u8>);

/// Shared state of one router.
pub struct SharedState {
    router: RouterId,
    gossip: Gossip,
    /// The consensus register; `None` if the settings name no replicas.
    register: Option<Register<AgreedState>>,
    recovery: PeerRecovery,
    /// Observations of workers and functions that survive a restart.
    observations: Rc<RefCell<ObservationStore>>,
    disks: Box<dyn Disks>,
    /// Number of the bootstrap.
    bootstrap: u64,
    /// When the next snapshot is due.
    next_snapshot: Micros,
    /// Digest of the membership view last passed to gossip.
    view_digest: Option<u64>,
    /// The seen version last published, and when it was published.
    published_version: Option<(InstanceId, u64)>,
    published_at: Micros,
    /// Recovery stage last logged.
    logged_stage: Stage,
    /// Reason for the lack of agreement last logged.
    logged_unavailable: Option<Unavailable>,
    prefixes: Option<Prefixes>,
    /// Messages that could not be decoded, or are for a register that this router does not have.
    unreadable: u64,
    /// Last error of the snapshot file.
    snapshot_error: Option<String>,
    /// Number of snapshots written.
    snapshots_written: u64,
}

/// Collects the messages that the state machines send.
#[derive(Default)]
struct Messages(Vec<Message>);

impl gossip::Actions for Messages {
    fn send(&mut self, to: RouterId, message: Vec<u8>) {
        self.0.push((to, message));
    }
}

impl recovery::Actions for Messages {
    fn send(&mut self, to: RouterId, message: Vec<u8>) {
        self.0.push((to, message));
    }
}

/// Passes a decoded recovery message on to the state machine.
struct RecoveryHandler<'a> {
    now: Micros,
    recovery: &'a mut PeerRecovery,
    observations: &'a ObservationStore,
    messages: &'a mut Messages,
}

impl MessageVisitor for RecoveryHandler<'_> {
    fn on_request(&mut self, from: RouterId, number: u64, page: u16) {
        let facts = self.observations.facts();
        self.recovery.on_request(self.now, from, (number, page), facts, self.messages);
    }
    fn on_page(&mut self, from: RouterId, number: u64, page: u16, last: bool, facts: Vec<Fact>) {
        self.recovery.on_page(self.now, from, number, page, last, facts, self.messages);
    }
    fn on_retry_later(&mut self, from: RouterId, number: u64, wait: Micros) {
        self.recovery.on_retry_later(self.now, from, number, wait);
    }
    fn on_empty(&mut self, from: RouterId, number: u64) {
        self.recovery.on_empty(self.now, from, number);
    }
}

impl SharedState {
    /// Creates the state of a router that starts at `now`. `seed` seeds the random numbers.
    pub fn new(
        now: Micros,
        config: SharedStateConfig,
        observations: Rc<RefCell<ObservationStore>>,
        disks: Box<dyn Disks>,
        seed: u64,
    ) -> Self {
        let kinds = [
            KindLifetime { kind: SEEN_VERSION, lifetime: SEEN_VERSION_LIFETIME },
            KindLifetime { kind: prefixes::COUNTS, lifetime: PaneCounter::LIFETIME },
        ];
        let process = (config.router, config.instance_id);
        let replicas = &config.replicas;
        let register = || Register::new(now, process, replicas, config.is_replica, seed.rotate_left(7));
        SharedState {
            router: config.router,
            gossip: Gossip::new(now, config.router, config.incarnation, &kinds, seed),
            register: (!replicas.is_empty()).then(register),
            recovery: PeerRecovery::new(now, config.router, seed.rotate_left(13)),
            observations,
            disks,
            bootstrap: config.bootstrap,
            next_snapshot: if config.has_snapshot { now + SNAPSHOT_INTERVAL } else { Micros::MAX },
            view_digest: None,
            published_version: None,
            published_at: 0,
            logged_stage: Stage::Requesting,
            logged_unavailable: None,
            prefixes: config.prefix_cost_model.map(|cost_model| Prefixes::new(now, cost_model)),
            unreadable: 0,
            snapshot_error: None,
            snapshots_written: 0,
        }
    }

    /// Replaces the guards of the recovery, and disables recovery from peers if `without_peers` is set. For
    /// fault-injection scenarios.
    pub fn with_recovery_guards(mut self, guards: recovery::Guards, without_peers: bool) -> Self {
        self.recovery = self.recovery.with_guards(guards);
        if without_peers {
            self.recovery = self.recovery.without_peers();
        }
        self
    }

    /// Sets the replicas named in the settings. The register replaces its replicas one at a time, by
    /// consensus.
    pub fn set_replicas(&mut self, replicas: &[RouterId]) {
        if let Some(register) = self.register.as_mut().filter(|_| !replicas.is_empty()) {
            register.set_configured_replicas(replicas);
        }
    }

    /// Returns when to call `wake` next, apart from disk events.
    pub fn next_wakeup(&self) -> Micros {
        let register = self.register.as_ref().map_or(Micros::MAX, Register::next_wakeup);
        let prefixes = self.prefixes.as_ref().map_or(Micros::MAX, Prefixes::next_wakeup);
        let recovery = self.recovery.next_wakeup();
        self.gossip.next_deadline().min(prefixes).min(register).min(recovery).min(self.next_snapshot)
    }

    /// Returns when to poll for disk events, if one is outstanding.
    pub fn next_disk_poll(&self, now: Micros) -> Option<Micros> {
        self.disks.has_pending().then_some(now + DISK_POLL_INTERVAL)
    }

    /// Runs all work that is due. Returns messages for other routers.
    pub fn wake(&mut self, now: Micros, members: &Membership) -> Vec<Message> {
        let mut messages = Messages::default();
        self.handle_disk_events(now, &mut messages);
        if self.view_digest != Some(members.view_digest()) {
            self.view_digest = Some(members.view_digest());
            self.gossip.set_live_members(now, members.active_members().chain([self.router]).collect());
        }
        self.gossip.handle_timeout(now, members.neighbours(), &mut messages);
        let live: Vec<RouterId> = members.active_members().collect();
        if now >= self.recovery.next_wakeup() {
            let facts = self.recovery.wake(now, &live, &mut messages);
            self.observations.borrow_mut().import(now, &facts);
        }
        if let Some(register) = self.register.as_mut().filter(|register| now >= register.next_wakeup()) {
            let mut written = MessageWriter::new(self.router);
            register.wake(now, &|router| live.contains(&router), &mut written);
            messages.0.extend(written.messages);
        }
        if now >= self.next_snapshot {
            self.write_snapshot(now);
        }
        self.update_prefixes(now);
        self.report_changes(now);
        self.handle_own_messages(now, messages.0)
    }

    fn write_snapshot(&mut self, now: Micros) {
        self.next_snapshot = now + SNAPSHOT_INTERVAL;
        self.observations.borrow_mut().refresh(now);
        let (boot, at) = self.disks.boot();
        let bytes =
            recovery::encode_snapshot(self.router.0, boot, at, now, self.observations.borrow().facts());
        // Dropped if an earlier snapshot is still queued, as the next one will be newer.
        self.disks.write_snapshot(bytes);
    }

    /// Handles a message that was sealed for this process. Returns messages for other routers.
    pub fn handle_message(&mut self, now: Micros, from: RouterId, message: &[u8]) -> Vec<Message> {
        let messages = self.dispatch(now, from, message);
        self.report_changes(now);
        self.handle_own_messages(now, messages)
    }

    /// Delivers messages that this router sent to itself, bypassing the network. Returns the others.
    fn handle_own_messages(&mut self, now: Micros, messages: Vec<Message>) -> Vec<Message> {
        let (mut others, mut pending) = (Vec::new(), messages);
        while let Some((to, message)) = pending.pop() {
            if to != self.router {
                others.push((to, message));
                continue;
            }
            pending.extend(self.dispatch(now, self.router, &message));
        }
        others
    }

    /// Dispatches a message by its protocol tag. Returns the messages sent in response.
    fn dispatch(&mut self, now: Micros, from: RouterId, message: &[u8]) -> Vec<Message> {
        let mut messages = Messages::default();
        let was_decoded = match message.first() {
            Some(&gossip::PROTOCOL_MARKER) => {
                self.gossip.handle_message(now, from, message, &mut messages).is_ok()
            }
            Some(&recovery::message::PROTOCOL_TAG) => {
                let observations = &self.observations.borrow();
                let recovery = &mut self.recovery;
                let mut handler = RecoveryHandler { now, recovery, observations, messages: &mut messages };
                recovery::message::decode(message, &mut handler).is_ok()
            }
            Some(&consensus::message::PROTOCOL_TAG) if consensus::message::is_acceptor_request(message) => {
                self.disks.submit_acceptor_request(message);
                true
            }
            Some(&consensus::message::PROTOCOL_TAG) => {
                self.handle_register_message(now, message, &mut messages)
            }
            _ => false,
        };
        self.unreadable += u64::from(!was_decoded);
        messages.0
    }

    /// Returns whether there is a register and the message could be decoded.
    fn handle_register_message(&mut self, now: Micros, message: &[u8], messages: &mut Messages) -> bool {
        let seen = self.versions_seen(now);
        let mut written = MessageWriter::new(self.router);
        let was_decoded = self.register.as_mut().is_some_and(|register| {
            let written = &mut written;
            consensus::message::handle_register_message(message, register, now, &seen, written).is_ok()
        });
        messages.0.extend(written.messages);
        was_decoded
    }

    /// Versions of the agreed state that routers have published as seen, for this bootstrap.
    fn versions_seen(&self, now: Micros) -> Vec<(InstanceId, u64)> {
        let entries = self.gossip.entries_for_key(now, SEEN_VERSION, Key(self.bootstrap));
        entries.filter_map(|entry| postcard::from_bytes(entry.value).ok()).collect()
    }

    /// Publishes the newest version seen, and logs changes of availability and recovery.
    fn report_changes(&mut self, now: Micros) {
        self.publish_version(now);
        self.log_availability(now);
        if self.recovery.stage() != self.logged_stage {
            self.logged_stage = self.recovery.stage();
            let requests = self.recovery.requests_sent();
            let stage = logged_stage_name(&self.logged_stage);
            tracing::info!(reason = "comeback", %stage, asks = requests, "recovery: stage changed");
        }
    }

    fn publish_version(&mut self, now: Micros) {
        let Some(register) = &self.register else { return };
        let seen = register.highest_seen();
        let refresh = seen.is_some() && now >= self.published_at + SEEN_VERSION_REFRESH;
        if seen == self.published_version && !refresh {
            return;
        }
        self.published_version = seen;
        self.published_at = now;
        let value = postcard::to_stdvec(&seen.unwrap_or((InstanceId(0), 0))).unwrap_or_default();
        // Cannot fail: there is always room, as the value is small and replaces the previous one.
        let _ = self.gossip.publish(now, SEEN_VERSION, Key(self.bootstrap), &value);
    }

    fn log_availability(&mut self, now: Micros) {
        use miette::Diagnostic;
        let Some(register) = &self.register else { return };
        let unavailable = register.unavailable_reason(now);
        if unavailable == self.logged_unavailable {
            return;
        }
        if let Some(why) = &unavailable {
            let code = why.code().map(|code| code.to_string());
            let help = why.help().map(|help| help.to_string());
            tracing::warn!(reason = "standstill", ?code, %why, ?help, "consensus: agreed state unavailable");
        }
        self.logged_unavailable = unavailable;
    }
}
