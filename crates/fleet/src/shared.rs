//! What the routers share beside who is there: what they tell each other, what is agreed on, and how one
//! comes back. Messages go behind marks on the fleet's port, each for one process; nothing is decided
//! here.
use crate::desk::{Charter, Desk, Said};
use applepond::interface::FunctionId;
use applepond_consensus::message::MessageWriter;
use applepond_consensus::{self as accord, Register};
use applepond_gossip::{self as gossip, Gossip, Key, Kind};
use applepond_membership::{InstanceId, Membership, RouterId};
use applepond_prefix_cache::{List, OpeningId, PANES, Panes, Pins, Terms};
use applepond_reactor::Micros;
use applepond_recovery::{
    self as comeback, Fact, ObservationStore, PeerRecovery, SNAPSHOT_INTERVAL, Stage, message::MessageVisitor,
};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// µs between two looks at the disks while they have something to answer.
const LOOK: Micros = 2_000;
/// Tallies: which line and number of a founding a router has last seen agreed on.
const SEEN: Kind = Kind(1);
/// Tallies: panes of openings, by their number's place among those that count.
const PANE: Kind = Kind(2);
/// µs between two looks at the counts of all routers, where this one convenes.
const PROPOSE: Micros = 1_000_000;
/// Openings whose size is kept; a further one is never pinned.
const SIZES_MOST: usize = 8_192;
/// µs for which that counts: it only ever forbids, and who said it says it again.
const SEEN_LIFE: Micros = 600_000_000;
/// µs after which it is said again.
const SEEN_AGAIN: Micros = 200_000_000;

pub struct Shared {
    me: RouterId,
    pub gossip: Gossip,
    pub register: Option<Register<Charter>>,
    pub peers: PeerRecovery,
    memory: Rc<RefCell<ObservationStore>>,
    desk: Box<dyn Desk>,
    founding: u64,
    next_snapshot: Micros,
    /// The view that was last taken over from `members`.
    view: Option<u64>,
    seen: (Option<(InstanceId, u64)>, Micros),
    /// What was last logged.
    stage: Stage,
    standstill: Option<accord::Unavailable>,
    openings: Option<Openings>,
    unread: u64,
    unusable: Option<String>,
    written: u64,
}

/// This router's counts of openings, and the list as it is held.
struct Openings {
    panes: Panes,
    pins: Pins,
    sizes: BTreeMap<OpeningId, u32>,
    list: List,
    /// Of which number that is.
    number: u64,
    /// When the counts of all were last looked at.
    looked: Micros,
    guards: OpeningGuards,
}

/// Guards that a drill takes out.
#[derive(Clone, Copy, Debug)]
pub struct OpeningGuards {
    /// No router speaks for more than its part.
    pub several: bool,
}

impl OpeningGuards {
    pub const ALL: OpeningGuards = OpeningGuards { several: true };
}

/// What a router is told of itself and its place.
pub struct Place {
    pub me: RouterId,
    pub instance_id: InstanceId,
    pub incarnation: u64,
    pub keepers: Vec<RouterId>,
    pub founding: u64,
    /// It has a file for its vote.
    pub keeps: bool,
    /// It has one for its snapshot.
    pub snapshots: bool,
    /// What openings cost, where they are pinned.
    pub openings: Option<Terms>,
}

#[derive(Default)]
struct Messages(Vec<(RouterId, Vec<u8>)>);

impl gossip::Actions for Messages {
    fn send(&mut self, to: RouterId, message: Vec<u8>) {
        self.0.push((to, message));
    }
}

impl comeback::Actions for Messages {
    fn send(&mut self, to: RouterId, message: Vec<u8>) {
        self.0.push((to, message));
    }
}

/// A message of one that comes back, or of its peer.
struct Return<'a>(Micros, &'a mut PeerRecovery, &'a ObservationStore, &'a mut Messages);

impl MessageVisitor for Return<'_> {
    fn on_request(&mut self, from: RouterId, number: u64, page: u16) {
        self.1.on_request(self.0, from, (number, page), self.2.facts(), self.3);
    }
    fn on_page(&mut self, from: RouterId, number: u64, page: u16, last: bool, facts: Vec<Fact>) {
        self.1.on_page(self.0, from, number, page, last, facts, self.3);
    }
    fn on_retry_later(&mut self, from: RouterId, number: u64, wait: Micros) {
        self.1.on_retry_later(self.0, from, number, wait);
    }
    fn on_empty(&mut self, from: RouterId, number: u64) {
        self.1.on_empty(self.0, from, number);
    }
}

impl Shared {
    pub fn new(
        now: Micros,
        place: Place,
        memory: Rc<RefCell<ObservationStore>>,
        desk: Box<dyn Desk>,
        seed: u64,
    ) -> Self {
        let rows = [
            gossip::KindLifetime { kind: SEEN, lifetime: SEEN_LIFE },
            gossip::KindLifetime { kind: PANE, lifetime: Panes::LIFE },
        ];
        let who = (place.me, place.instance_id);
        let register = || Register::new(now, who, &place.keepers, place.keeps, seed.rotate_left(7));
        Shared {
            me: place.me,
            gossip: Gossip::new(now, place.me, place.incarnation, &rows, seed),
            register: (!place.keepers.is_empty()).then(register),
            peers: PeerRecovery::new(now, place.me, seed.rotate_left(13)),
            memory,
            desk,
            founding: place.founding,
            next_snapshot: if place.snapshots { now + SNAPSHOT_INTERVAL } else { Micros::MAX },
            view: None,
            seen: (None, 0),
            stage: Stage::Requesting,
            standstill: None,
            openings: place.openings.map(|terms| Openings {
                panes: Panes::new(now),
                pins: Pins::new(now, terms),
                sizes: BTreeMap::new(),
                list: List::default(),
                number: 0,
                looked: now,
                guards: OpeningGuards::ALL,
            }),
            unread: 0,
            unusable: None,
            written: 0,
        }
    }

    /// The same with these guards alone, and nobody asked, for drills.
    pub fn with_guards(mut self, guards: comeback::Guards, alone: bool) -> Self {
        self.peers = self.peers.with_guards(guards);
        if alone {
            self.peers = self.peers.without_peers();
        }
        self
    }

    /// Other keepers by the settings: changed one by one, by agreement.
    pub fn rename(&mut self, keepers: &[RouterId]) {
        if let Some(register) = self.register.as_mut().filter(|_| !keepers.is_empty()) {
            register.set_configured_replicas(keepers);
        }
    }

    pub fn next(&self) -> Micros {
        let register = self.register.as_ref().map_or(Micros::MAX, Register::next_wakeup);
        let panes = self.openings.as_ref().map_or(Micros::MAX, |o| o.panes.next());
        self.gossip
            .next_deadline()
            .min(panes)
            .min(register)
            .min(self.peers.next_wakeup())
            .min(self.next_snapshot)
    }

    /// When to look at the disks, while they owe an answer.
    pub fn look(&self, now: Micros) -> Option<Micros> {
        self.desk.waits().then_some(now + LOOK)
    }

    /// All that is due; messages for others.
    pub fn wake(&mut self, now: Micros, members: &Membership) -> Vec<(RouterId, Vec<u8>)> {
        let mut out = Messages::default();
        self.disks(now, &mut out);
        if self.view != Some(members.view_digest()) {
            self.view = Some(members.view_digest());
            self.gossip.set_live_members(now, members.active_members().chain([self.me]).collect());
        }
        self.gossip.handle_timeout(now, members.neighbours(), &mut out);
        let live: Vec<RouterId> = members.active_members().collect();
        if now >= self.peers.next_wakeup() {
            let facts = self.peers.wake(now, &live, &mut out);
            self.memory.borrow_mut().import(now, &facts);
        }
        if let Some(register) = self.register.as_mut().filter(|r| now >= r.next_wakeup()) {
            let mut written = MessageWriter::new(self.me);
            register.wake(now, &|router| live.contains(&router), &mut written);
            out.0.extend(written.messages);
        }
        if now >= self.next_snapshot {
            self.next_snapshot = now + SNAPSHOT_INTERVAL;
            self.memory.borrow_mut().refresh(now);
            let (boot, at) = self.desk.boot();
            let bytes = comeback::encode_snapshot(self.me.0, boot, at, now, self.memory.borrow().facts());
            // While the one before is being written this one is left out: the next is younger.
            self.desk.snapshot(bytes);
        }
        self.count(now);
        self.tell(now);
        self.own(now, out.0)
    }

    // ---- Openings ----------------------------------------------------------------------------

    /// A request that was taken begins with this.
    pub fn uses(&mut self, name: &str, size: u32) {
        let Some(openings) = &mut self.openings else { return };
        let id = OpeningId(FunctionId::named(name).0);
        openings.panes.uses(id);
        if size > 0 && (openings.sizes.len() < SIZES_MOST || openings.sizes.contains_key(&id)) {
            openings.sizes.insert(id, size);
        }
    }

    /// For how long the worker of a request that is written now may keep it.
    pub fn rides(&self, now: Micros, name: &str) -> Option<Micros> {
        let openings = self.openings.as_ref()?;
        let held = self.register.as_ref()?.lease(now)?;
        // Guards against a list that is not the one agreed on now.
        let same = held.state.version == openings.number;
        let list = if same { &openings.list } else { &List::read(&held.state.value).ok()? };
        list.rides(now, held.expires_at, OpeningId(FunctionId::named(name).0))
    }

    pub fn workers(&mut self, ready: usize) {
        self.openings.iter_mut().for_each(|o| o.pins.terms().workers = ready.max(1) as f64);
    }

    pub fn with_opening_guards(mut self, guards: OpeningGuards) -> Self {
        self.openings.iter_mut().for_each(|o| o.guards = guards);
        self
    }

    /// Tells the pane that is over, and proposes the next list where this router convenes.
    fn count(&mut self, now: Micros) {
        let Some(openings) = &mut self.openings else { return };
        if let Some(over) = openings.panes.wake(now) {
            let key = Key(over.pane % PANES);
            // It has room for as many counters as it ever has.
            let _ = self.gossip.publish(now, PANE, key, &Panes::write(&over));
        }
        let Some(register) = &mut self.register else { return };
        let Some(held) = register.lease(now) else { return };
        if held.state.version != openings.number {
            openings.number = held.state.version;
            openings.list = List::read(&held.state.value).unwrap_or_default();
        }
        // All panes of all routers are read for it, and the disks are looked at every other millisecond.
        if !register.is_leader(now) || now < openings.looked + PROPOSE {
            return;
        }
        openings.looked = now;
        let guards = openings.guards;
        let panes = self
            .gossip
            .entries(now, PANE)
            .filter_map(|t| Panes::read(t.key.0, t.value).ok().map(|told| (t.origin, told)));
        let counted = if guards.several { Panes::fleet(panes) } else { Panes::unbounded(panes) };
        let sizes = &openings.sizes;
        let next = openings.pins.next(now, &openings.list, &counted, |id| sizes.get(&id).copied());
        if let Some(next) = next {
            tracing::info!(
                reason = "openings",
                pins = next.pins.len(),
                "openings: another list is wished for"
            );
            register.propose(now, openings.number, next.write());
        }
    }

    /// What this router has to say to itself needs no network.
    fn own(&mut self, now: Micros, messages: Vec<(RouterId, Vec<u8>)>) -> Vec<(RouterId, Vec<u8>)> {
        let (mut others, mut own) = (Vec::new(), messages);
        while let Some((to, message)) = own.pop() {
            if to != self.me {
                others.push((to, message));
                continue;
            }
            own.extend(self.take(now, self.me, &message));
        }
        others
    }

    /// A message that was sealed for this process.
    pub fn heard(&mut self, now: Micros, from: RouterId, message: &[u8]) -> Vec<(RouterId, Vec<u8>)> {
        let messages = self.take(now, from, message);
        self.tell(now);
        self.own(now, messages)
    }

    fn take(&mut self, now: Micros, from: RouterId, message: &[u8]) -> Vec<(RouterId, Vec<u8>)> {
        let mut out = Messages::default();
        let read = match message.first() {
            Some(&gossip::PROTOCOL_MARKER) => {
                self.gossip.handle_message(now, from, message, &mut out).is_ok()
            }
            Some(&comeback::message::PROTOCOL_TAG) => {
                let memory = self.memory.borrow();
                let mut words = Return(now, &mut self.peers, &memory, &mut out);
                comeback::message::decode(message, &mut words).is_ok()
            }
            Some(&accord::message::PROTOCOL_TAG) if accord::message::is_acceptor_request(message) => {
                self.desk.question(message);
                true
            }
            Some(&accord::message::PROTOCOL_TAG) => {
                let remembered = self.remembered(now);
                let mut written = MessageWriter::new(self.me);
                let read = self.register.as_mut().is_some_and(|register| {
                    accord::message::handle_register_message(
                        message,
                        register,
                        now,
                        &remembered,
                        &mut written,
                    )
                    .is_ok()
                });
                out.0.extend(written.messages);
                read
            }
            _ => false,
        };
        self.unread += u64::from(!read);
        out.0
    }

    /// What others say they have seen agreed on, of this founding.
    fn remembered(&self, now: Micros) -> Vec<(InstanceId, u64)> {
        let told = self.gossip.entries_for_key(now, SEEN, Key(self.founding));
        told.filter_map(|t| postcard::from_bytes(t.value).ok()).collect()
    }

    /// What the disks have to say.
    fn disks(&mut self, now: Micros, out: &mut Messages) {
        while let Some(said) = self.desk.said() {
            match said {
                Said::Messages(messages) => out.0.extend(messages),
                Said::Keeper(trouble) => {
                    if let Some(register) = &mut self.register {
                        register.set_acceptor_error(trouble);
                    }
                }
                Said::Found(bytes, fault) => {
                    let (boot, at) = self.desk.boot();
                    let read = bytes.map(|b| comeback::decode_snapshot(self.me.0, boot, at, &b)).transpose();
                    let why = match (&read, &fault) {
                        (Err(why), _) => Some(why.to_string()),
                        (_, Some(fault)) => Some(fault.to_string()),
                        _ => None,
                    };
                    if let Some(why) = &why {
                        tracing::warn!(reason = "snapshot-unusable", why, "comeback: from peers, or nothing");
                    }
                    self.unusable = why;
                    if let Ok(Some(facts)) = read
                        && !facts.is_empty()
                    {
                        tracing::info!(reason = "snapshot", facts = facts.len(), "comeback: a snapshot");
                        self.memory.borrow_mut().import(now, &facts);
                        self.peers.snapshot_loaded(now);
                    }
                }
                Said::Written(None) => self.written += 1,
                Said::Written(Some(fault)) => {
                    let why = fault.to_string();
                    if self.unusable.as_ref() != Some(&why) {
                        tracing::warn!(reason = "snapshot-not-written", why, "comeback: routing goes on");
                    }
                    self.unusable = Some(why);
                }
            }
        }
    }

    /// Says on, and logs, what has changed.
    fn tell(&mut self, now: Micros) {
        if let Some(register) = &self.register {
            let seen = register.highest_seen();
            if seen != self.seen.0 || seen.is_some() && now >= self.seen.1 + SEEN_AGAIN {
                self.seen = (seen, now);
                let value = postcard::to_stdvec(&seen.unwrap_or((InstanceId(0), 0))).unwrap_or_default();
                // It is small, and in place of the one before.
                let _ = self.gossip.publish(now, SEEN, Key(self.founding), &value);
            }
            let standstill = register.unavailable_reason(now);
            if standstill != self.standstill {
                if let Some(why) = &standstill {
                    use miette::Diagnostic;
                    let (code, help) = (why.code().map(|c| c.to_string()), why.help().map(|h| h.to_string()));
                    tracing::warn!(reason = "standstill", ?code, %why, ?help, "accord: nothing is agreed on");
                }
                self.standstill = standstill;
            }
        }
        if self.peers.stage() != self.stage {
            self.stage = self.peers.stage();
            let asks = self.peers.requests_sent();
            tracing::info!(reason = "comeback", stage = ?self.stage, asks, "comeback: over");
        }
    }

    /// Its part of the state page.
    pub fn page(&self, now: Micros) -> Value {
        use miette::Diagnostic;
        let agreed = self.register.as_ref().map(|register| {
            let held = register.lease(now);
            let standstill = register.unavailable_reason(now).map(|why| {
                json!({"code": why.code().map(|c| c.to_string()), "why": why.to_string(),
                    "help": why.help().map(|h| h.to_string())})
            });
            json!({"number": held.map(|h| h.state.version), "for-us": held.map(|h| h.expires_at - now),
                "line": held.map(|h| h.state.register_id.0), "convenes": register.is_leader(now),
                "keepers": held.map(|h| h.state.replicas.iter().map(|s| s.router.0).collect::<Vec<_>>()),
                "standstill": standstill})
        });
        let pins = self.openings.as_ref().map(|o| o.list.pins.len());
        let (origins, bytes) = self.gossip.size();
        let stage = match self.peers.stage() {
            Stage::Requesting => "asking".to_owned(),
            Stage::Recovered(n) => format!("told by {n}"),
            Stage::Exhausted => "untold".to_owned(),
        };
        let facts = self.memory.borrow().facts().len();
        let tallies = json!({"origins": origins, "bytes": bytes, "view": self.gossip.view_digest(),
            "unread": self.unread});
        json!({"agreed": agreed, "tallies": tallies, "pins": pins,
            "comeback": {"stage": stage, "asks": self.peers.requests_sent(), "facts": facts,
                "snapshots": self.written, "unusable": self.unusable}})
    }
}
