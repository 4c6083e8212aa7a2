//! The machine: one record a router, what beats and votes do to it, and who is asked what when.
use crate::message::{
    self, DIGEST_BUCKETS, Header, Message, MessageError, MessageHandler, Opinion, Suspicion,
};
use crate::*;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// What this router is when it starts.
#[derive(Clone, Debug)]
pub struct LocalIdentity {
    pub name: String,
    pub zone: String,
    /// Where others reach it.
    pub address: SocketAddr,
    pub instance_id: InstanceId,
    /// The first incarnation: higher than that of any earlier process under the name, as far as can be told.
    pub incarnation: u64,
}

/// One row of the view, as it is shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    pub record: Record,
    pub observed: ObservedStatus,
    pub since: Micros,
    pub accusers: Vec<String>,
    pub link_fault: Option<LinkFault>,
}

struct Vote {
    voter: RouterId,
    sequence: u64,
    says: Opinion,
    at: Micros,
}

/// The one record of another router.
struct Router {
    record: Record,
    /// As last told; none yet where it has just become known.
    shown: Option<ObservedStatus>,
    since: Micros,
    /// Whose votes made it gone.
    by: Vec<String>,
    /// Watched from then on: silence counts from here at the earliest.
    watched: Micros,
    /// When it was last heard itself, and when another last said that it hears it.
    heard: Option<Micros>,
    vouched: Option<Micros>,
    /// When it last heard this router, as far as it has said.
    hears_me: Option<Micros>,
    votes: Vec<Vote>,
    /// Since when enough votes stand.
    enough: Option<Micros>,
    /// Times that it was accused and yet there, and the last time.
    wronged: u32,
    wronged_at: Micros,
    link_fault: Option<LinkFault>,
    /// It has beaten here lately though it is no neighbour: views differ.
    guest: Option<Micros>,
}

impl Router {
    fn new(now: Micros, record: Record) -> Self {
        Router {
            record,
            shown: None,
            since: now,
            by: Vec::new(),
            watched: now,
            heard: None,
            vouched: None,
            hears_me: None,
            votes: Vec::new(),
            enough: None,
            wronged: 0,
            wronged_at: 0,
            link_fault: None,
            guest: None,
        }
    }

    fn is_active(&self) -> bool {
        self.record.status.is_active()
    }

    fn standing_votes(&self) -> impl Iterator<Item = &Vote> {
        self.votes.iter().filter(|v| v.says != Opinion::Withdrawn)
    }

    /// Signs of the last while, as a factor on patience with it.
    fn slow(&self, now: Micros) -> f64 {
        let signs = if now < self.wronged_at + HEALTH_PENALTY_DURATION {
            self.wronged.min(MAX_HEALTH_PENALTIES)
        } else {
            0
        };
        1.0 + HEALTH_PENALTY_FACTOR * f64::from(signs)
    }

    fn wrong(&mut self, now: Micros) {
        self.wronged = if now < self.wronged_at + HEALTH_PENALTY_DURATION { self.wronged + 1 } else { 1 };
        self.wronged_at = now;
    }
}

/// What is on its way around the fleet.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum News {
    Mine,
    Record(RouterId),
    Suspicion(RouterId, RouterId),
}

/// A newcomer under the name of a router that is there, until that one has answered or has not.
struct Door {
    newcomer: SocketAddr,
    instance_id: InstanceId,
    until: Micros,
}

pub struct Membership {
    now: Micros,
    me: RouterId,
    mine: Record,
    seeds: Vec<SocketAddr>,
    routers: BTreeMap<RouterId, Router>,
    rings: Rings,
    /// Of this router, by the rings as they are.
    neighbours: Vec<RouterId>,
    /// Those with votes against them.
    accused: BTreeSet<RouterId>,
    digests: [u32; DIGEST_BUCKETS],
    /// How often each still goes to all neighbours.
    news: BTreeMap<News, u8>,
    door: BTreeMap<RouterId, Door>,
    rng: Rand64,
    due: Micros,
    /// When news goes out by itself, where there is any.
    flush: Option<Micros>,
    /// When the first of the accused is gone, as votes stand.
    verdict: Option<Micros>,
    /// When this process last woke from standing still.
    awake: Micros,
    unwell: u32,
    unwell_at: Micros,
    deaf: bool,
    call: Micros,
    compared: Micros,
    answers: usize,
    /// Who says that this router is gone, and when.
    removed_by: BTreeMap<RouterId, Micros>,
    /// When to answer them, and the highest incarnation that they named.
    removed: Option<(Micros, u64)>,
    /// The incarnation under which this router last joined: words on earlier ones are of a time before.
    entered: u64,
    refuted: Micros,
    /// µs until the next return, and from when on it may be.
    back: Micros,
    back_at: Micros,
    /// Since when this router has the standing it has.
    since: Micros,
    /// It has been alive once: an older process under the name does not make it give way.
    admitted: bool,
    refused: bool,
    guards: Safeguards,
}

fn digest(id: RouterId, record: &Record) -> u32 {
    let status = record.status as u64 + 1;
    let mut x = id.0 ^ record.instance_id.0.rotate_left(17) ^ record.incarnation.rotate_left(40) ^ status;
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    (x ^ (x >> 32)) as u32
}

fn bucket(id: RouterId) -> usize {
    (id.0 >> 59) as usize % DIGEST_BUCKETS
}

impl Membership {
    /// `seed` is for chance; where `seeds` names nobody else, this router begins a fleet of its own.
    pub fn new(now: Micros, me: LocalIdentity, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let id = RouterId::named(&me.name);
        let LocalIdentity { name, zone, address, instance_id, incarnation } = me;
        let mine = Record { name, zone, address, instance_id, incarnation, status: MemberStatus::Joining };
        let mut rng = Rand64::new(u128::from(seed));
        let mut members = Membership {
            now,
            me: id,
            mine,
            seeds: seeds.into_iter().filter(|seed| *seed != address).collect(),
            routers: BTreeMap::new(),
            rings: Rings::default(),
            neighbours: Vec::new(),
            accused: BTreeSet::new(),
            digests: [0; DIGEST_BUCKETS],
            news: BTreeMap::new(),
            door: BTreeMap::new(),
            // Those that start together need not beat together.
            due: now + rng.rand_range(0..HEARTBEAT_INTERVAL / 4),
            rng,
            flush: None,
            verdict: None,
            awake: now,
            unwell: 0,
            unwell_at: 0,
            deaf: false,
            call: now,
            compared: now,
            answers: MAX_REPLIES_PER_HEARTBEAT,
            removed_by: BTreeMap::new(),
            removed: None,
            entered: incarnation,
            refuted: 0,
            back: HEARTBEAT_INTERVAL,
            back_at: now,
            since: now,
            admitted: false,
            refused: false,
            guards: Safeguards::ALL,
        };
        members.rings.insert(id);
        members.sum_mine();
        members
    }

    /// The same machine with these guards alone, for measurements and drills.
    pub fn with_guards(mut self, guards: Safeguards) -> Self {
        self.guards = guards;
        self
    }

    /// Other routers to ask first from now on.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds.into_iter().filter(|seed| *seed != self.mine.address).collect();
    }

    // ---- What is asked of it -----------------------------------------------------------------

    pub fn local_record(&self) -> &Record {
        &self.mine
    }

    /// Another process holds the name.
    pub fn has_lost_name(&self) -> bool {
        self.refused
    }

    /// All neighbours are silent at once.
    pub fn is_isolated(&self) -> bool {
        self.deaf
    }

    /// Routers that count, this one included: it serves, whatever others think of it.
    pub fn live_count(&self) -> usize {
        1 + self.routers.values().filter(|r| r.record.status == MemberStatus::Alive).count()
    }

    /// The same by zone.
    pub fn live_count_by_zone(&self) -> BTreeMap<&str, usize> {
        let mut zones = BTreeMap::from([(self.mine.zone.as_str(), 1)]);
        for router in self.routers.values().filter(|r| r.record.status == MemberStatus::Alive) {
            *zones.entry(router.record.zone.as_str()).or_default() += 1;
        }
        zones
    }

    /// The view, this router first.
    pub fn members(&self) -> impl Iterator<Item = MemberView> {
        let shown = match self.mine.status {
            MemberStatus::Joining => ObservedStatus::Joining,
            MemberStatus::Alive => ObservedStatus::Alive,
            MemberStatus::Left | MemberStatus::Dead => ObservedStatus::Left,
        };
        let me = MemberView {
            record: self.mine.clone(),
            observed: shown,
            since: self.since,
            accusers: Vec::new(),
            link_fault: None,
        };
        let other = |r: &Router| MemberView {
            record: r.record.clone(),
            observed: r.shown.unwrap_or(ObservedStatus::Joining),
            since: r.since,
            accusers: r.by.clone(),
            link_fault: r.link_fault,
        };
        std::iter::once(me).chain(self.routers.values().map(other))
    }

    /// One number that is the same for the same routers under the same incarnations and standings.
    pub fn view_digest(&self) -> u64 {
        self.digests
            .iter()
            .fold(0, |all: u64, d| all.rotate_left(7) ^ u64::from(*d).wrapping_mul(0x9e37_79b9))
    }

    /// What is known of another router, whatever it is taken for.
    pub fn record(&self, router: RouterId) -> Option<&Record> {
        self.routers.get(&router).map(|r| &r.record)
    }

    /// The other routers that are taken to be there.
    pub fn active_members(&self) -> impl Iterator<Item = RouterId> + '_ {
        self.routers.iter().filter(|(_, r)| r.is_active()).map(|(id, _)| *id)
    }

    /// Whose process this is.
    pub fn router_of_instance(&self, instance_id: InstanceId) -> Option<RouterId> {
        self.routers.iter().find(|(_, r)| r.record.instance_id == instance_id).map(|(id, _)| *id)
    }

    pub fn neighbours(&self) -> &[RouterId] {
        &self.neighbours
    }

    /// When `wake` is to be called at the latest.
    pub fn next_deadline(&self) -> Micros {
        let removed = self.removed.map_or(Micros::MAX, |(at, _)| at);
        let verdict = self.verdict.unwrap_or(Micros::MAX);
        self.flush.unwrap_or(Micros::MAX).min(self.due).min(removed).min(verdict)
    }

    // ---- Events ------------------------------------------------------------------------------

    /// The time of the last call has passed.
    pub fn handle_timeout(&mut self, now: Micros, actions: &mut dyn Actions) {
        self.clock(now, actions);
        if self.refused || self.mine.status == MemberStatus::Left {
            self.due = now + HEARTBEAT_INTERVAL;
            (self.flush, self.removed, self.verdict) = (None, None, None);
            return;
        }
        if let Some((_, said)) = self.removed.take_if(|(at, _)| now >= *at) {
            self.refute(actions, said);
        }
        if now >= self.due {
            self.due = now + HEARTBEAT_INTERVAL;
            self.answers = MAX_REPLIES_PER_HEARTBEAT;
            self.join();
            self.look(actions);
            self.judge(actions);
            self.look_at_door(actions);
            self.beat(actions);
            self.call(actions);
            self.forget();
        } else if self.verdict.is_some_and(|at| now >= at) {
            self.judge(actions);
        } else if self.flush.is_some_and(|at| now >= at) {
            // Votes are news: what they come to is found out as they go around, not at the next beat.
            self.judge(actions);
            let tail = self.tail();
            for id in self.neighbours.clone() {
                let Some(to) = self.routers.get(&id).map(|r| r.record.address) else { continue };
                let mut message = Message::updates(&self.head());
                message.append(&tail);
                actions.send(to, message.bytes());
            }
        }
        let waits = !self.news.is_empty();
        self.flush = self.flush.filter(|at| *at > now).or(waits.then_some(now + FLUSH_INTERVAL));
    }

    /// A message, found to be a member's by its envelope.
    pub fn handle_message(
        &mut self,
        now: Micros,
        bytes: &[u8],
        actions: &mut dyn Actions,
    ) -> Result<(), MessageError> {
        self.clock(now, actions);
        if self.refused || self.mine.status == MemberStatus::Left {
            return Ok(());
        }
        message::read(bytes, &mut Reading { members: self, actions, greeted: None })
    }

    /// Takes leave: said at once, and again by all who hear it.
    pub fn leave(&mut self, now: Micros, actions: &mut dyn Actions) {
        self.clock(now, actions);
        self.say(self.mine.incarnation, MemberStatus::Left);
        for id in self.neighbours.clone() {
            let Some(to) = self.routers.get(&id).map(|r| r.record.address) else { continue };
            let mut message = Message::updates(&self.head());
            message.record(&self.mine);
            // Nobody waits for what is lost of it: the next words would be of a process that has ended.
            for _ in 0..2 {
                actions.send(to, message.bytes());
            }
        }
    }

    /// Guards against a process that stood still and takes its own sleep for the silence of others: what it
    /// was told before counts from now, and it is patient for a while.
    fn clock(&mut self, now: Micros, actions: &mut dyn Actions) {
        let due = self.next_deadline();
        self.now = now;
        if now <= due + STALL_THRESHOLD || !self.guards.pause_detection {
            return;
        }
        self.awake = now;
        self.due = now;
        self.ail();
        for router in self.routers.values_mut().filter(|r| r.is_active()) {
            router.enough = None;
            router.votes.clear();
        }
        self.accused.clear();
        self.verdict = None;
        actions.changed(Change::ProcessStalled(now - due));
    }

    fn ail(&mut self) {
        self.unwell = if self.now < self.unwell_at + HEALTH_PENALTY_DURATION {
            (self.unwell + 1).min(MAX_HEALTH_PENALTIES)
        } else {
            1
        };
        self.unwell_at = self.now;
    }

    // ---- Probes and votes --------------------------------------------------------------------

    fn patience(&self, router: &Router) -> Micros {
        if !self.guards.local_health {
            return HEARTBEAT_TIMEOUT;
        }
        let own = if self.now < self.unwell_at + HEALTH_PENALTY_DURATION { self.unwell } else { 0 };
        let factor = router.slow(self.now) * (1.0 + HEALTH_PENALTY_FACTOR * f64::from(own));
        (HEARTBEAT_TIMEOUT as f64 * factor) as Micros
    }

    /// µs of silence of a router that count, its own and that of all who were asked.
    fn silence(&self, router: &Router) -> (Micros, Micros) {
        let base = router.heard.unwrap_or(0).max(router.watched).max(self.awake);
        let vouched = router.vouched.unwrap_or(0).max(base);
        (self.now.saturating_sub(base), self.now.saturating_sub(vouched))
    }

    /// Looks at each neighbour: asks others about one that is silent, accuses one that nobody hears.
    fn look(&mut self, actions: &mut dyn Actions) {
        let neighbours_of: Vec<RouterId> =
            self.neighbours.iter().copied().filter(|id| self.routers[id].is_active()).collect();
        let half = |id: &&RouterId| {
            let router = &self.routers[*id];
            self.silence(router).0 > self.patience(router) / 2
        };
        let silent = neighbours_of.iter().filter(half).count();
        let deaf = neighbours_of.len() >= MIN_NEIGHBOURS_TO_DETECT_ISOLATION && silent == neighbours_of.len();
        if std::mem::replace(&mut self.deaf, deaf) != deaf {
            actions.changed(Change::Isolated(deaf));
        }
        for id in neighbours_of {
            let (own, all) = self.silence(&self.routers[&id]);
            let patience = self.patience(&self.routers[&id]);
            if own > patience / 2 {
                self.ask_about(actions, id);
            }
            let router = &self.routers[&id];
            let hears = |r: &Router| r.hears_me.is_some_and(|at| self.now < at + patience);
            let link_fault = match (own > patience, all > patience) {
                (true, false) => Some(LinkFault::In),
                (true, true) => router.link_fault,
                (false, _) => (router.hears_me.is_some() && !hears(router)).then_some(LinkFault::Out),
            };
            self.set_lame(actions, id, link_fault);
            let vote = self.routers[&id].votes.iter().find(|v| v.voter == self.me);
            let accused = vote.filter(|v| v.says != Opinion::Withdrawn).map(|v| v.at);
            if all > patience && !deaf {
                if accused.is_none_or(|at| self.now >= at + VOTE_RENEWAL_INTERVAL) {
                    self.cast(id, Opinion::Suspected);
                }
            } else if accused.is_some() && all <= patience {
                self.cast(id, Opinion::Withdrawn);
                self.ail();
                self.routers.get_mut(&id).expect("just seen").wrong(self.now);
            }
            self.show(actions, id);
        }
    }

    /// Its other neighbours are asked first: if anybody hears it, they do.
    fn ask_about(&mut self, actions: &mut dyn Actions, id: RouterId) {
        let mut others = self.rings.neighbours_of(id);
        others.retain(|other| *other != self.me);
        for _ in 0..INDIRECT_PROBES.min(others.len()) {
            let at = self.rng.rand_range(0..others.len() as u64) as usize;
            let relay = others.swap_remove(at);
            if let Some(to) = self.routers.get(&relay).map(|r| r.record.address) {
                actions.send(to, Message::ping_request(&self.head(), id).bytes());
            }
        }
    }

    fn set_lame(&mut self, actions: &mut dyn Actions, id: RouterId, link_fault: Option<LinkFault>) {
        let Some(router) = self.routers.get_mut(&id) else { return };
        let was = std::mem::replace(&mut router.link_fault, link_fault);
        if was != link_fault {
            actions.changed(Change::LinkFaultChanged {
                name: router.record.name.clone(),
                previous: was,
                current: link_fault,
            });
        }
    }

    /// This router's own vote.
    fn cast(&mut self, id: RouterId, says: Opinion) {
        let (me, now) = (self.me, self.now);
        let Some(router) = self.routers.get_mut(&id) else { return };
        let before = router.votes.iter().find(|v| v.voter == me).map_or(0, |v| v.sequence);
        router.votes.retain(|v| v.voter != me);
        router.votes.push(Vote {
            voter: me,
            sequence: (now / 1_000).max(before.saturating_add(1)),
            says,
            at: now,
        });
        self.accused.insert(id);
        self.tell(News::Suspicion(id, me));
    }

    /// Makes those gone against whom enough votes have stood for long enough.
    fn judge(&mut self, actions: &mut dyn Actions) {
        self.verdict = None;
        for id in self.accused.clone() {
            let now = self.now;
            let Some(router) = self.routers.get_mut(&id).filter(|r| r.is_active()) else {
                self.accused.remove(&id);
                continue;
            };
            router.votes.retain(|v| now < v.at + VOTE_LIFETIME);
            if router.votes.is_empty() {
                self.accused.remove(&id);
            }
            let router = &self.routers[&id];
            let enough = self.voters(router).count() >= self.needed(id) && !self.hears(router);
            let hold = (SUSPICION_TIMEOUT as f64 * router.slow(now)) as Micros;
            let awake = self.awake;
            let router = self.routers.get_mut(&id).expect("just seen");
            router.enough = enough.then(|| router.enough.unwrap_or(now).max(awake));
            match router.enough.map(|since| since + hold) {
                Some(at) if now >= at => self.conclude(actions, id),
                Some(at) => self.verdict = Some(self.verdict.map_or(at, |first| first.min(at))),
                None => {}
            }
            self.show(actions, id);
        }
    }

    /// Whose vote counts: those of routers that take part, this one's included.
    fn voters<'a>(&'a self, router: &'a Router) -> impl Iterator<Item = &'a Vote> {
        let counts = |id: RouterId| id == self.me || self.routers.get(&id).is_some_and(Router::is_active);
        router.standing_votes().filter(move |v| counts(v.voter))
    }

    /// This router hears it itself: whatever others say, it is there.
    fn hears(&self, router: &Router) -> bool {
        router.heard.is_some_and(|at| self.now < at.max(self.awake) + self.patience(router))
    }

    /// Most of those that watch it and are not themselves suspected, and never one alone: a peer that errs or
    /// lies has one vote, however often it casts it.
    fn needed(&self, id: RouterId) -> usize {
        let speaks = |other: &RouterId| {
            *other == self.me
                || self.routers.get(other).is_some_and(|r| r.is_active() && self.voters(r).count() < 2)
        };
        let speaking = self.rings.neighbours_of(id).into_iter().filter(speaks).count();
        if self.guards.vote_quorum { (speaking / 2 + 1).max(2) } else { 1 }
    }

    fn conclude(&mut self, actions: &mut dyn Actions, id: RouterId) {
        let router = &self.routers[&id];
        let name = |v: &Vote| match self.routers.get(&v.voter) {
            Some(voter) => voter.record.name.clone(),
            None => self.mine.name.clone(),
        };
        let by = self.voters(router).map(name).collect();
        self.cast(id, Opinion::Dead);
        self.set_standing(id, MemberStatus::Dead);
        let router = self.routers.get_mut(&id).expect("just seen");
        router.by = by;
        self.accused.remove(&id);
        self.show(actions, id);
    }

    // ---- Records -----------------------------------------------------------------------------

    fn head(&self) -> Header {
        let Record { address, instance_id, incarnation, .. } = self.mine;
        Header { from: self.me, instance_id, incarnation, address }
    }

    fn sum(&mut self, id: RouterId, record: &Record) {
        if record.status.is_active() {
            self.digests[bucket(id)] ^= digest(id, record);
        }
    }

    fn sum_mine(&mut self) {
        if self.mine.status.is_active() {
            self.digests[bucket(self.me)] ^= digest(self.me, &self.mine);
        }
    }

    /// Changes what this router says of itself.
    fn say(&mut self, incarnation: u64, status: MemberStatus) {
        self.sum_mine();
        if self.mine.status != status {
            self.since = self.now;
        }
        (self.mine.incarnation, self.mine.status) = (incarnation, status);
        self.sum_mine();
        self.tell(News::Mine);
    }

    fn set_standing(&mut self, id: RouterId, status: MemberStatus) {
        let Some(router) = self.routers.get(&id) else { return };
        let record = Record { status, ..router.record.clone() };
        self.put(id, record);
    }

    /// The one place where a record changes: sums, rings and neighbours follow.
    fn put(&mut self, id: RouterId, record: Record) {
        let now = self.now;
        let was = self.routers.get(&id).map(|r| r.record.clone());
        if let Some(was) = &was {
            self.sum(id, was);
        }
        self.sum(id, &record);
        let (before, after) = (was.as_ref().is_some_and(|w| w.status.is_active()), record.status.is_active());
        let same = was.as_ref().is_some_and(|w| w.instance_id == record.instance_id);
        let router = self.routers.entry(id).or_insert_with(|| Router::new(now, record.clone()));
        if !same {
            *router = Router { shown: router.shown, since: router.since, ..Router::new(now, record.clone()) };
        }
        if router.record.incarnation != record.incarnation {
            router.votes.clear();
            router.enough = None;
        }
        if after && !before {
            router.watched = now;
            router.by.clear();
        }
        router.record = record;
        if before != after {
            if after {
                self.rings.insert(id);
            } else {
                self.rings.remove(id);
            }
            let neighbours = self.rings.neighbours_of(self.me);
            for new in neighbours.iter().filter(|n| !self.neighbours.contains(n)) {
                self.routers.entry(*new).and_modify(|r| r.watched = now);
            }
            for old in self.neighbours.iter().filter(|n| !neighbours.contains(n)) {
                self.routers.entry(*old).and_modify(|r| r.link_fault = None);
            }
            self.neighbours = neighbours;
        }
    }

    /// What a router is taken for here, told where it changes.
    fn show(&mut self, actions: &mut dyn Actions, id: RouterId) {
        let Some(router) = self.routers.get(&id) else { return };
        let is = match router.record.status {
            MemberStatus::Left => ObservedStatus::Left,
            MemberStatus::Dead => ObservedStatus::Dead,
            MemberStatus::Joining => ObservedStatus::Joining,
            MemberStatus::Alive if self.voters(router).count() > 1 => ObservedStatus::Suspected,
            MemberStatus::Alive if router.link_fault == Some(LinkFault::In) => ObservedStatus::Unreachable,
            // Nobody else has said so for a while: it may be this router's own link.
            MemberStatus::Alive if self.silence(router).0 > 2 * self.patience(router) => {
                if self.neighbours.contains(&id) {
                    ObservedStatus::Unreachable
                } else {
                    ObservedStatus::Alive
                }
            }
            MemberStatus::Alive if router.standing_votes().any(|v| v.voter == self.me) => {
                ObservedStatus::Suspected
            }
            MemberStatus::Alive => ObservedStatus::Alive,
        };
        let now = self.now;
        let router = self.routers.get_mut(&id).expect("just seen");
        let was = router.shown;
        if was != Some(is) {
            (router.shown, router.since) = (Some(is), now);
            let (name, by) = (router.record.name.clone(), router.by.clone());
            actions.changed(Change::StatusChanged { name, previous: was, current: is, accusers: by });
        }
    }

    /// Takes a record that was told. `direct`: by the router itself, from this address.
    fn merge(&mut self, actions: &mut dyn Actions, record: Record, direct: bool) {
        let id = RouterId::named(&record.name);
        if id == self.me {
            return self.about_me(actions, record);
        }
        let Some(known) = self.routers.get(&id) else {
            // Of those that are not there any more only who knew them need know.
            if !record.status.is_active() {
                return;
            }
            if self.routers.len() >= MAX_ROUTERS {
                return actions.changed(Change::TableFull { name: record.name });
            }
            return self.adopt(actions, id, record);
        };
        let old = &known.record;
        if old.instance_id == record.instance_id {
            let later = record.incarnation > old.incarnation;
            let same = record.incarnation == old.incarnation;
            let ends = record.status == MemberStatus::Left && old.status.is_active();
            let begins = record.status == MemberStatus::Alive && old.status == MemberStatus::Joining;
            let again = !self.guards.incarnation_bump && same && !old.status.is_active();
            // Nobody's word but its own votes make a router gone here.
            if record.status != MemberStatus::Dead && (later || again || same && (ends || begins)) {
                if later && known.standing_votes().count() > 0 {
                    self.routers.get_mut(&id).expect("just seen").wrong(self.now);
                }
                self.adopt(actions, id, record);
            }
            return;
        }
        if (record.incarnation, record.instance_id) <= (old.incarnation, old.instance_id)
            || !record.status.is_active()
        {
            return;
        }
        // Another process under the name. Where its own process says so, this router sees for itself that the
        // one before is not there any more, or two would take turns under one name.
        if direct && known.is_active() && old.address != record.address {
            return self.knock(actions, id, &record);
        }
        self.door.remove(&id);
        self.adopt(actions, id, record);
    }

    fn adopt(&mut self, actions: &mut dyn Actions, id: RouterId, record: Record) {
        self.put(id, record);
        self.tell(News::Record(id));
        self.show(actions, id);
    }

    /// What others say of this router. An older process of its name gives way or holds it; a word that it
    /// left or is another is refuted.
    fn about_me(&mut self, actions: &mut dyn Actions, record: Record) {
        let Record { instance_id, incarnation, status, .. } = record;
        if instance_id == self.mine.instance_id {
            if incarnation > self.mine.incarnation || status != self.mine.status && !status.is_active() {
                self.refute(actions, incarnation);
            }
        } else if (incarnation, instance_id) > (self.mine.incarnation, self.mine.instance_id) {
            if self.admitted {
                self.give_way(actions, record.address);
            } else {
                self.say(incarnation.saturating_add(1), self.mine.status);
            }
        }
    }

    fn give_way(&mut self, actions: &mut dyn Actions, holder: SocketAddr) {
        self.refused = true;
        self.news.clear();
        actions.changed(Change::NameLost { holder });
    }

    /// This router is there: under a new incarnation, which overrules all that was said of those before.
    /// Where it was removed by more than one, it joins again and counts only once its neighbours hear it.
    fn refute(&mut self, actions: &mut dyn Actions, said: u64) {
        let now = self.now;
        self.removed_by.retain(|_, at| now < *at + HEALTH_PENALTY_DURATION);
        let removed = self.removed_by.len() >= 2;
        let wait = if removed { self.back_at } else { self.refuted + HEARTBEAT_INTERVAL };
        if now < wait || !self.guards.refutation {
            return;
        }
        self.refuted = now;
        let raise = u64::from(self.guards.incarnation_bump);
        let incarnation = said.max(self.mine.incarnation).saturating_add(raise);
        if removed {
            self.removed_by.clear();
            self.entered = incarnation;
            self.back_at = now + self.back;
            self.back = (self.back * 2).min(MAX_REJOIN_BACKOFF);
            self.say(incarnation, MemberStatus::Joining);
            actions.changed(Change::Rejoined(incarnation));
        } else {
            self.say(incarnation, self.mine.status);
        }
        self.flush = Some(now);
    }

    /// Counts once most of its neighbours hear it, or it is alone by its settings.
    fn join(&mut self) {
        if self.mine.status != MemberStatus::Joining {
            if self.now > self.back_at + MAX_REJOIN_BACKOFF {
                self.back = HEARTBEAT_INTERVAL;
            }
            return;
        }
        let hears = |id: &&RouterId| {
            let router = &self.routers[*id];
            router.is_active() && router.hears_me.is_some_and(|at| self.now < at + HEARTBEAT_TIMEOUT)
        };
        let (all, hear) = (self.neighbours.len(), self.neighbours.iter().filter(hears).count());
        let alone = self.seeds.is_empty() && self.routers.is_empty();
        if alone || all > 0 && hear > all / 2 {
            self.admitted = true;
            self.say(self.mine.incarnation, MemberStatus::Alive);
        }
    }

    /// Those that are gone are forgotten after a while.
    fn forget(&mut self) {
        let now = self.now;
        let over = |r: &Router| !r.is_active() && now >= r.since + DEPARTED_RETENTION;
        self.routers.retain(|_, r| !over(r));
    }

    // ---- Two under one name ------------------------------------------------------------------

    /// Asks the one that holds the name; its answer shuts the door, its silence opens it.
    fn knock(&mut self, actions: &mut dyn Actions, id: RouterId, record: &Record) {
        let until = self.now + TAKEOVER_TIMEOUT;
        let (newcomer, instance_id) = (record.address, record.instance_id);
        match self.door.get(&id) {
            Some(door) if door.instance_id == instance_id && self.now >= door.until => {
                self.door.remove(&id);
                self.adopt(actions, id, record.clone());
            }
            Some(_) => {}
            None if self.door.len() < MAX_PENDING_TAKEOVERS => {
                self.door.insert(id, Door { newcomer, instance_id, until });
                let to = self.routers[&id].record.address;
                actions.send(to, Message::ping(&self.head(), self.me).bytes());
            }
            None => {}
        }
    }

    fn look_at_door(&mut self, actions: &mut dyn Actions) {
        let now = self.now;
        // One whose newcomer has not come again is of no more use.
        self.door.retain(|_, door| now < door.until + HEARTBEAT_TIMEOUT);
        for id in self.door.keys() {
            if let Some(router) = self.routers.get(id) {
                actions.send(router.record.address, Message::ping(&self.head(), self.me).bytes());
            }
        }
    }

    /// The one that holds the name has been heard while somebody else waits to take it.
    fn shut(&mut self, actions: &mut dyn Actions, id: RouterId) {
        let Some(door) = self.door.remove(&id) else { return };
        let holder = self.routers[&id].record.address;
        let head = self.head();
        actions.send(door.newcomer, Message::name_conflict(&head, door.instance_id, holder).bytes());
        actions.send(holder, Message::name_contested(&head, door.newcomer).bytes());
    }

    // ---- What goes out -----------------------------------------------------------------------

    /// Puts news on its way to all.
    fn tell(&mut self, news: News) {
        if self.news.len() >= MAX_QUEUED_UPDATES && !self.news.contains_key(&news) {
            // The most told of the others makes room; comparing views repairs what that costs.
            let most = self.news.iter().min_by_key(|(_, left)| **left).map(|(news, _)| *news);
            most.map(|most| self.news.remove(&most));
        }
        self.news.insert(news, RETRANSMIT_ROUNDS);
        self.flush.get_or_insert(self.now + FLUSH_INTERVAL);
    }

    fn write(&self, message: &mut Message, news: News) -> bool {
        match news {
            News::Mine => message.record(&self.mine),
            News::Record(id) => self.routers.get(&id).is_none_or(|r| message.record(&r.record)),
            News::Suspicion(id, voter) => self.word(id, voter).is_none_or(|word| message.suspicion(&word)),
        }
    }

    fn word(&self, id: RouterId, voter: RouterId) -> Option<Suspicion> {
        let router = self.routers.get(&id)?;
        let vote = router.votes.iter().find(|v| v.voter == voter)?;
        let Record { instance_id, incarnation, .. } = router.record;
        Some(Suspicion {
            subject: id,
            instance_id,
            incarnation,
            voter,
            sequence: vote.sequence,
            says: vote.says,
        })
    }

    /// As much news as a beat has room for, the least told first; each has gone once more with it.
    fn tail(&mut self) -> Vec<u8> {
        let mut order: Vec<(u8, News)> = self.news.iter().map(|(news, left)| (*left, *news)).collect();
        order.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        // What a beat holds before the news is left free.
        let mut message = Message::heartbeat(&self.head(), Some(Micros::MAX), u64::MAX);
        let begin = message.bytes().len();
        for (left, news) in order {
            if !self.write(&mut message, news) {
                break;
            }
            if left > 1 {
                self.news.insert(news, left - 1);
            } else {
                self.news.remove(&news);
            }
        }
        message.bytes()[begin..].to_vec()
    }

    fn beat(&mut self, actions: &mut dyn Actions) {
        let tail = self.tail();
        let (head, view, now) = (self.head(), self.view_digest(), self.now);
        let mut to = self.neighbours.clone();
        // Who takes this router for a neighbour has to hear it too.
        let guest = |r: &Router| r.guest.is_some_and(|at| now < at + 4 * HEARTBEAT_INTERVAL);
        let guests = self.routers.iter().filter(|(id, r)| guest(r) && !self.neighbours.contains(id));
        to.extend(guests.map(|(id, _)| *id).take(4 * RING_COUNT));
        for id in to {
            let Some(router) = self.routers.get(&id) else { continue };
            let heard = router.heard.map(|at| now - at);
            let mut message = Message::heartbeat(&head, heard, view);
            message.append(&tail);
            // Who is accused hears of it first.
            if let Some(word) = router.standing_votes().next().and_then(|v| self.word(id, v.voter)) {
                message.suspicion(&word);
            }
            actions.send(router.record.address, message.bytes());
        }
    }

    /// Writes to one seed, and to one router that is gone: either may be there again.
    fn call(&mut self, actions: &mut dyn Actions) {
        if self.now < self.call {
            return;
        }
        self.call = self.now + CONTACT_INTERVAL;
        let known = |at: &SocketAddr| self.routers.values().any(|r| r.is_active() && r.record.address == *at);
        let seeds = self.seeds.iter().filter(|at| !known(at)).copied().collect();
        let gone = self.routers.values().filter(|r| r.record.status == MemberStatus::Dead);
        let gone: Vec<SocketAddr> = gone.map(|r| r.record.address).collect();
        // Who has not been taken in yet goes on asking: the first who knew better may know worse by now.
        let joining = self.mine.status == MemberStatus::Joining;
        let there = self.routers.values().filter(|r| joining && r.is_active()).map(|r| r.record.address);
        for list in [seeds, gone, there.collect()] as [Vec<SocketAddr>; 3] {
            if !list.is_empty() {
                let to = list[self.rng.rand_range(0..list.len() as u64) as usize];
                self.ask_for_view(actions, to);
            }
        }
    }

    fn ask_for_view(&mut self, actions: &mut dyn Actions, to: SocketAddr) {
        let mut message = Message::sync_request(&self.head(), &self.digests);
        message.record(&self.mine);
        actions.send(to, message.bytes());
    }

    /// Messages of records, this router's own first, as far as bounds allow.
    fn answer(&mut self, actions: &mut dyn Actions, to: SocketAddr, differs: impl Fn(usize) -> bool) {
        let mut message = Message::updates(&self.head());
        message.record(&self.mine);
        let mut sent = 0;
        let mut rest = self.routers.iter().filter(|(id, _)| differs(bucket(**id))).peekable();
        while self.answers > 0 && sent < MAX_MESSAGES_PER_SYNC {
            while let Some((id, router)) = rest.peek() {
                let fits = match router.record.status {
                    // One router's word: who reads it needs those of others as well.
                    MemberStatus::Dead => {
                        self.word(**id, self.me).is_none_or(|word| message.suspicion(&word))
                    }
                    _ => message.record(&router.record),
                };
                if !fits {
                    break;
                }
                rest.next();
            }
            self.answers -= 1;
            sent += 1;
            actions.send(to, message.bytes());
            if rest.peek().is_none() {
                break;
            }
            message = Message::updates(&self.head());
        }
    }
}

/// Reading one message: what each of its words does.
struct Reading<'a> {
    members: &'a mut Membership,
    actions: &'a mut dyn Actions,
    /// Whether the writer is who it says, as far as is known here; asked once a message.
    greeted: Option<bool>,
}

impl Reading<'_> {
    /// Takes notice of who writes. False: the message's words do not count, as its writer is not known, has
    /// been replaced or is taken for gone.
    fn greet(&mut self, head: &Header) -> bool {
        if let Some(known) = self.greeted {
            return known;
        }
        let known = self.notice(head);
        self.greeted = Some(known);
        known
    }

    fn notice(&mut self, head: &Header) -> bool {
        let Reading { members, actions, .. } = self;
        let (now, id) = (members.now, head.from);
        if id == members.me {
            if head.instance_id != members.mine.instance_id {
                let message = Message::name_conflict(&members.head(), head.instance_id, members.mine.address);
                actions.send(head.address, message.bytes());
            }
            return false;
        }
        let Some(router) = members.routers.get_mut(&id) else {
            if members.answers > 0 {
                members.answers -= 1;
                members.ask_for_view(*actions, head.address);
            }
            return false;
        };
        if router.record.instance_id != head.instance_id || head.incarnation < router.record.incarnation {
            // A process that was replaced, one that is about to replace, or its own older word, late or
            // repeated, which proves nothing of now: the writer learns what is known.
            if members.answers > 0 {
                members.answers -= 1;
                let mut message = Message::updates(&members.head());
                message.record(&members.mine);
                message.record(&members.routers[&id].record);
                actions.send(head.address, message.bytes());
            }
            return false;
        }
        router.heard = Some(now);
        if !router.is_active() {
            if members.answers > 0 {
                members.answers -= 1;
                let mut message = Message::updates(&members.head());
                message.record(&members.mine);
                if let Some(word) = members.word(id, members.me) {
                    message.suspicion(&word);
                }
                actions.send(head.address, message.bytes());
            }
            return false;
        }
        members.shut(*actions, id);
        true
    }
}

impl MessageHandler for Reading<'_> {
    fn heartbeat(&mut self, head: &Header, heard: Option<Micros>, view: u64) {
        if !self.greet(head) {
            return;
        }
        let Reading { members, actions, .. } = self;
        let now = members.now;
        let router = members.routers.get_mut(&head.from).expect("greeted");
        router.hears_me = heard.map(|age| now.saturating_sub(age)).or(router.hears_me);
        router.guest = Some(now);
        let differs = view != members.view_digest();
        if differs && now >= members.compared + SYNC_INTERVAL {
            members.compared = now;
            members.ask_for_view(*actions, head.address);
        }
    }

    fn ping_request(&mut self, head: &Header, whom: RouterId) {
        if self.greet(head)
            && let Some(router) = self.members.routers.get(&whom)
        {
            let message = Message::ping(&self.members.head(), head.from);
            self.actions.send(router.record.address, message.bytes());
        }
    }

    fn ping(&mut self, head: &Header, asker: RouterId) {
        self.greet(head);
        self.actions.send(head.address, Message::ack(&self.members.head(), asker).bytes());
    }

    fn ack(&mut self, head: &Header, asker: RouterId) {
        if self.greet(head)
            && asker != self.members.me
            && let Some(to) = self.members.routers.get(&asker).map(|r| r.record.address)
        {
            self.actions
                .send(to, Message::indirect_ack(&self.members.head(), head.from, head.instance_id).bytes());
        }
    }

    fn indirect_ack(&mut self, head: &Header, whom: RouterId, instance_id: InstanceId) {
        let now = self.members.now;
        if self.greet(head)
            && let Some(router) = self.members.routers.get_mut(&whom)
            && router.record.instance_id == instance_id
        {
            router.vouched = Some(now);
        }
    }

    fn sync_request(&mut self, head: &Header, view: &[u32; DIGEST_BUCKETS]) {
        self.greet(head);
        let own = self.members.digests;
        self.members.answer(self.actions, head.address, |n| own[n] != view[n]);
    }

    fn name_conflict(&mut self, _: &Header, instance_id: InstanceId, holder: SocketAddr) {
        if instance_id == self.members.mine.instance_id
            && holder != self.members.mine.address
            && !self.members.admitted
        {
            self.members.give_way(self.actions, holder);
        }
    }

    fn name_contested(&mut self, head: &Header, by: SocketAddr) {
        if self.greet(head) {
            let name = self.members.mine.name.clone();
            self.actions.changed(Change::NameContested { name, claimant: by });
        }
    }

    fn record(&mut self, head: &Header, record: Record) {
        let id = RouterId::named(&record.name);
        let direct = id == head.from && record.instance_id == head.instance_id;
        self.members.merge(self.actions, record, direct);
    }

    fn suspicion(&mut self, _: &Header, word: Suspicion) {
        let members = &mut *self.members;
        let now = members.now;
        if word.subject == members.me {
            let (old, new) =
                (word.incarnation < members.entered, word.incarnation >= members.mine.incarnation);
            match word.says {
                _ if word.instance_id != members.mine.instance_id || old => {}
                Opinion::Dead if members.removed_by.len() < MAX_VOTES_PER_MEMBER => {
                    members.removed_by.insert(word.voter, now);
                    let (at, said) = members.removed.unwrap_or((now + REMOVAL_CONFIRMATION_WAIT, 0));
                    members.removed = Some((at, said.max(word.incarnation)));
                }
                Opinion::Suspected if new => members.refute(self.actions, word.incarnation),
                _ => {}
            }
            return;
        }
        if word.voter == members.me {
            // Of this router's own votes only this router speaks: what it does not hold it takes back.
            let held = members.word(word.subject, members.me);
            if word.says != Opinion::Withdrawn && held.is_none_or(|own| own.sequence < word.sequence) {
                let known = members.routers.get_mut(&word.subject);
                let same = |r: &&mut Router| {
                    r.is_active()
                        && r.record.instance_id == word.instance_id
                        && r.record.incarnation == word.incarnation
                };
                if let Some(router) = known.filter(same) {
                    router.votes.retain(|v| v.voter != word.voter);
                    let sequence = word.sequence.saturating_add(1);
                    router.votes.push(Vote {
                        voter: word.voter,
                        sequence,
                        says: Opinion::Withdrawn,
                        at: now,
                    });
                    members.tell(News::Suspicion(word.subject, word.voter));
                }
            }
            return;
        }
        let Some(router) = members.routers.get_mut(&word.subject).filter(|r| r.is_active()) else { return };
        let Record { instance_id, incarnation, .. } = router.record;
        if (instance_id, incarnation) != (word.instance_id, word.incarnation) {
            // Its own process has spoken since: whoever still says this learns so.
            let room = members.news.len() < MAX_QUEUED_UPDATES;
            if instance_id == word.instance_id && incarnation > word.incarnation && room {
                members.news.entry(News::Record(word.subject)).or_insert(1);
                members.flush.get_or_insert(now + FLUSH_INTERVAL);
            }
            return;
        }
        let full = router.votes.len() >= MAX_VOTES_PER_MEMBER;
        match router.votes.iter_mut().find(|v| v.voter == word.voter) {
            Some(vote) if vote.sequence >= word.sequence => return,
            Some(vote) => (vote.sequence, vote.says, vote.at) = (word.sequence, word.says, now),
            None if full => return,
            None => {
                router.votes.push(Vote {
                    voter: word.voter,
                    sequence: word.sequence,
                    says: word.says,
                    at: now,
                });
            }
        }
        members.accused.insert(word.subject);
        members.tell(News::Suspicion(word.subject, word.voter));
    }
}
