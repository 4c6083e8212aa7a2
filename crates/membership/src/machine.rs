//! The machine: one record a router, what beats and votes do to it, and who is asked what when.
use crate::message::{self, BUCKETS, Head, Message, Says, Trouble, Word, Words};
use crate::*;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// What this router is when it starts.
#[derive(Clone, Debug)]
pub struct Me {
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
pub struct Seen {
    pub record: Record,
    pub shown: Shown,
    pub since: Micros,
    pub by: Vec<String>,
    pub lame: Option<Lame>,
}

struct Vote {
    voter: RouterId,
    stamp: u64,
    says: Says,
    at: Micros,
}

/// The one record of another router.
struct Router {
    record: Record,
    /// As last told; none yet where it has just become known.
    shown: Option<Shown>,
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
    lame: Option<Lame>,
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
            lame: None,
            guest: None,
        }
    }

    fn takes_part(&self) -> bool {
        self.record.standing.takes_part()
    }

    fn standing_votes(&self) -> impl Iterator<Item = &Vote> {
        self.votes.iter().filter(|v| v.says != Says::Withdrawn)
    }

    /// Signs of the last while, as a factor on patience with it.
    fn slow(&self, now: Micros) -> f64 {
        let signs = if now < self.wronged_at + UNWELL { self.wronged.min(UNWELL_MOST) } else { 0 };
        1.0 + UNWELL_PART * f64::from(signs)
    }

    fn wrong(&mut self, now: Micros) {
        self.wronged = if now < self.wronged_at + UNWELL { self.wronged + 1 } else { 1 };
        self.wronged_at = now;
    }
}

/// What is on its way around the fleet.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum News {
    Mine,
    Record(RouterId),
    Word(RouterId, RouterId),
}

/// A newcomer under the name of a router that is there, until that one has answered or has not.
struct Door {
    newcomer: SocketAddr,
    instance_id: InstanceId,
    until: Micros,
}

pub struct Members {
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
    digests: [u32; BUCKETS],
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
    guards: Guards,
}

fn digest(id: RouterId, record: &Record) -> u32 {
    let standing = record.standing as u64 + 1;
    let mut x = id.0 ^ record.instance_id.0.rotate_left(17) ^ record.incarnation.rotate_left(40) ^ standing;
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    (x ^ (x >> 32)) as u32
}

fn bucket(id: RouterId) -> usize {
    (id.0 >> 59) as usize % BUCKETS
}

impl Members {
    /// `seed` is for chance; where `seeds` names nobody else, this router begins a fleet of its own.
    pub fn new(now: Micros, me: Me, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let id = RouterId::named(&me.name);
        let Me { name, zone, address, instance_id, incarnation } = me;
        let mine = Record { name, zone, address, instance_id, incarnation, standing: MemberStatus::Joining };
        let mut rng = Rand64::new(u128::from(seed));
        let mut members = Members {
            now,
            me: id,
            mine,
            seeds: seeds.into_iter().filter(|seed| *seed != address).collect(),
            routers: BTreeMap::new(),
            rings: Rings::default(),
            neighbours: Vec::new(),
            accused: BTreeSet::new(),
            digests: [0; BUCKETS],
            news: BTreeMap::new(),
            door: BTreeMap::new(),
            // Those that start together need not beat together.
            due: now + rng.rand_range(0..BEAT / 4),
            rng,
            flush: None,
            verdict: None,
            awake: now,
            unwell: 0,
            unwell_at: 0,
            deaf: false,
            call: now,
            compared: now,
            answers: ANSWERS_MOST,
            removed_by: BTreeMap::new(),
            removed: None,
            entered: incarnation,
            refuted: 0,
            back: BEAT,
            back_at: now,
            since: now,
            admitted: false,
            refused: false,
            guards: Guards::ALL,
        };
        members.rings.insert(id);
        members.sum_mine();
        members
    }

    /// The same machine with these guards alone, for measurements and drills.
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// Other routers to ask first from now on.
    pub fn reseed(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds.into_iter().filter(|seed| *seed != self.mine.address).collect();
    }

    // ---- What is asked of it -----------------------------------------------------------------

    pub fn me(&self) -> &Record {
        &self.mine
    }

    /// Another process holds the name.
    pub fn is_refused(&self) -> bool {
        self.refused
    }

    /// All neighbours are silent at once.
    pub fn is_deaf(&self) -> bool {
        self.deaf
    }

    /// Routers that count, this one included: it serves, whatever others think of it.
    pub fn live(&self) -> usize {
        1 + self.routers.values().filter(|r| r.record.standing == MemberStatus::Alive).count()
    }

    /// The same by zone.
    pub fn live_by_zone(&self) -> BTreeMap<&str, usize> {
        let mut zones = BTreeMap::from([(self.mine.zone.as_str(), 1)]);
        for router in self.routers.values().filter(|r| r.record.standing == MemberStatus::Alive) {
            *zones.entry(router.record.zone.as_str()).or_default() += 1;
        }
        zones
    }

    /// The view, this router first.
    pub fn seen(&self) -> impl Iterator<Item = Seen> {
        let shown = match self.mine.standing {
            MemberStatus::Joining => Shown::Joining,
            MemberStatus::Alive => Shown::Alive,
            MemberStatus::Left | MemberStatus::Gone => Shown::Left,
        };
        let me = Seen { record: self.mine.clone(), shown, since: self.since, by: Vec::new(), lame: None };
        let other = |r: &Router| Seen {
            record: r.record.clone(),
            shown: r.shown.unwrap_or(Shown::Joining),
            since: r.since,
            by: r.by.clone(),
            lame: r.lame,
        };
        std::iter::once(me).chain(self.routers.values().map(other))
    }

    /// One number that is the same for the same routers under the same incarnations and standings.
    pub fn view(&self) -> u64 {
        self.digests
            .iter()
            .fold(0, |all: u64, d| all.rotate_left(7) ^ u64::from(*d).wrapping_mul(0x9e37_79b9))
    }

    /// What is known of another router, whatever it is taken for.
    pub fn record(&self, router: RouterId) -> Option<&Record> {
        self.routers.get(&router).map(|r| &r.record)
    }

    /// The other routers that are taken to be there.
    pub fn there(&self) -> impl Iterator<Item = RouterId> + '_ {
        self.routers.iter().filter(|(_, r)| r.takes_part()).map(|(id, _)| *id)
    }

    /// Whose process this is.
    pub fn by_birth(&self, instance_id: InstanceId) -> Option<RouterId> {
        self.routers.iter().find(|(_, r)| r.record.instance_id == instance_id).map(|(id, _)| *id)
    }

    pub fn neighbours(&self) -> &[RouterId] {
        &self.neighbours
    }

    /// When `wake` is to be called at the latest.
    pub fn next(&self) -> Micros {
        let removed = self.removed.map_or(Micros::MAX, |(at, _)| at);
        let verdict = self.verdict.unwrap_or(Micros::MAX);
        self.flush.unwrap_or(Micros::MAX).min(self.due).min(removed).min(verdict)
    }

    // ---- Events ------------------------------------------------------------------------------

    /// The time of the last call has passed.
    pub fn wake(&mut self, now: Micros, orders: &mut dyn Actions) {
        self.clock(now, orders);
        if self.refused || self.mine.standing == MemberStatus::Left {
            self.due = now + BEAT;
            (self.flush, self.removed, self.verdict) = (None, None, None);
            return;
        }
        if let Some((_, said)) = self.removed.take_if(|(at, _)| now >= *at) {
            self.refute(orders, said);
        }
        if now >= self.due {
            self.due = now + BEAT;
            self.answers = ANSWERS_MOST;
            self.join();
            self.look(orders);
            self.judge(orders);
            self.look_at_door(orders);
            self.beat(orders);
            self.call(orders);
            self.forget();
        } else if self.verdict.is_some_and(|at| now >= at) {
            self.judge(orders);
        } else if self.flush.is_some_and(|at| now >= at) {
            // Votes are news: what they come to is found out as they go around, not at the next beat.
            self.judge(orders);
            let tail = self.tail();
            for id in self.neighbours.clone() {
                let Some(to) = self.routers.get(&id).map(|r| r.record.address) else { continue };
                let mut message = Message::news(&self.head());
                message.append(&tail);
                orders.send(to, message.bytes());
            }
        }
        let waits = !self.news.is_empty();
        self.flush = self.flush.filter(|at| *at > now).or(waits.then_some(now + FLUSH));
    }

    /// A message, found to be a member's by its envelope.
    pub fn heard(&mut self, now: Micros, bytes: &[u8], orders: &mut dyn Actions) -> Result<(), Trouble> {
        self.clock(now, orders);
        if self.refused || self.mine.standing == MemberStatus::Left {
            return Ok(());
        }
        message::read(bytes, &mut Reading { members: self, orders, greeted: None })
    }

    /// Takes leave: said at once, and again by all who hear it.
    pub fn leave(&mut self, now: Micros, orders: &mut dyn Actions) {
        self.clock(now, orders);
        self.say(self.mine.incarnation, MemberStatus::Left);
        for id in self.neighbours.clone() {
            let Some(to) = self.routers.get(&id).map(|r| r.record.address) else { continue };
            let mut message = Message::news(&self.head());
            message.record(&self.mine);
            // Nobody waits for what is lost of it: the next words would be of a process that has ended.
            for _ in 0..2 {
                orders.send(to, message.bytes());
            }
        }
    }

    /// Guards against a process that stood still and takes its own sleep for the silence of others: what it
    /// was told before counts from now, and it is patient for a while.
    fn clock(&mut self, now: Micros, orders: &mut dyn Actions) {
        let due = self.next();
        self.now = now;
        if now <= due + STALL || !self.guards.wakes {
            return;
        }
        self.awake = now;
        self.due = now;
        self.ail();
        for router in self.routers.values_mut().filter(|r| r.takes_part()) {
            router.enough = None;
            router.votes.clear();
        }
        self.accused.clear();
        self.verdict = None;
        orders.changed(Change::StoodStill(now - due));
    }

    fn ail(&mut self) {
        self.unwell = if self.now < self.unwell_at + UNWELL { (self.unwell + 1).min(UNWELL_MOST) } else { 1 };
        self.unwell_at = self.now;
    }

    // ---- Probes and votes --------------------------------------------------------------------

    fn patience(&self, router: &Router) -> Micros {
        if !self.guards.health {
            return PATIENCE;
        }
        let own = if self.now < self.unwell_at + UNWELL { self.unwell } else { 0 };
        let factor = router.slow(self.now) * (1.0 + UNWELL_PART * f64::from(own));
        (PATIENCE as f64 * factor) as Micros
    }

    /// µs of silence of a router that count, its own and that of all who were asked.
    fn silence(&self, router: &Router) -> (Micros, Micros) {
        let base = router.heard.unwrap_or(0).max(router.watched).max(self.awake);
        let vouched = router.vouched.unwrap_or(0).max(base);
        (self.now.saturating_sub(base), self.now.saturating_sub(vouched))
    }

    /// Looks at each neighbour: asks others about one that is silent, accuses one that nobody hears.
    fn look(&mut self, orders: &mut dyn Actions) {
        let beside: Vec<RouterId> =
            self.neighbours.iter().copied().filter(|id| self.routers[id].takes_part()).collect();
        let half = |id: &&RouterId| {
            let router = &self.routers[*id];
            self.silence(router).0 > self.patience(router) / 2
        };
        let silent = beside.iter().filter(half).count();
        let deaf = beside.len() >= DEAF_LEAST && silent == beside.len();
        if std::mem::replace(&mut self.deaf, deaf) != deaf {
            orders.changed(Change::Deaf(deaf));
        }
        for id in beside {
            let (own, all) = self.silence(&self.routers[&id]);
            let patience = self.patience(&self.routers[&id]);
            if own > patience / 2 {
                self.ask_about(orders, id);
            }
            let router = &self.routers[&id];
            let hears = |r: &Router| r.hears_me.is_some_and(|at| self.now < at + patience);
            let lame = match (own > patience, all > patience) {
                (true, false) => Some(Lame::In),
                (true, true) => router.lame,
                (false, _) => (router.hears_me.is_some() && !hears(router)).then_some(Lame::Out),
            };
            self.set_lame(orders, id, lame);
            let vote = self.routers[&id].votes.iter().find(|v| v.voter == self.me);
            let accused = vote.filter(|v| v.says != Says::Withdrawn).map(|v| v.at);
            if all > patience && !deaf {
                if accused.is_none_or(|at| self.now >= at + VOTE_AGAIN) {
                    self.cast(id, Says::Silent);
                }
            } else if accused.is_some() && all <= patience {
                self.cast(id, Says::Withdrawn);
                self.ail();
                self.routers.get_mut(&id).expect("just seen").wrong(self.now);
            }
            self.show(orders, id);
        }
    }

    /// Its other neighbours are asked first: if anybody hears it, they do.
    fn ask_about(&mut self, orders: &mut dyn Actions, id: RouterId) {
        let mut others = self.rings.beside(id);
        others.retain(|other| *other != self.me);
        for _ in 0..RELAYS.min(others.len()) {
            let at = self.rng.rand_range(0..others.len() as u64) as usize;
            let relay = others.swap_remove(at);
            if let Some(to) = self.routers.get(&relay).map(|r| r.record.address) {
                orders.send(to, Message::ask(&self.head(), id).bytes());
            }
        }
    }

    fn set_lame(&mut self, orders: &mut dyn Actions, id: RouterId, lame: Option<Lame>) {
        let Some(router) = self.routers.get_mut(&id) else { return };
        let was = std::mem::replace(&mut router.lame, lame);
        if was != lame {
            orders.changed(Change::Lame { name: router.record.name.clone(), was, is: lame });
        }
    }

    /// This router's own vote.
    fn cast(&mut self, id: RouterId, says: Says) {
        let (me, now) = (self.me, self.now);
        let Some(router) = self.routers.get_mut(&id) else { return };
        let before = router.votes.iter().find(|v| v.voter == me).map_or(0, |v| v.stamp);
        router.votes.retain(|v| v.voter != me);
        router.votes.push(Vote {
            voter: me,
            stamp: (now / 1_000).max(before.saturating_add(1)),
            says,
            at: now,
        });
        self.accused.insert(id);
        self.tell(News::Word(id, me));
    }

    /// Makes those gone against whom enough votes have stood for long enough.
    fn judge(&mut self, orders: &mut dyn Actions) {
        self.verdict = None;
        for id in self.accused.clone() {
            let now = self.now;
            let Some(router) = self.routers.get_mut(&id).filter(|r| r.takes_part()) else {
                self.accused.remove(&id);
                continue;
            };
            router.votes.retain(|v| now < v.at + VOTE_LIFE);
            if router.votes.is_empty() {
                self.accused.remove(&id);
            }
            let router = &self.routers[&id];
            let enough = self.voters(router).count() >= self.needed(id) && !self.hears(router);
            let hold = (HOLD as f64 * router.slow(now)) as Micros;
            let awake = self.awake;
            let router = self.routers.get_mut(&id).expect("just seen");
            router.enough = enough.then(|| router.enough.unwrap_or(now).max(awake));
            match router.enough.map(|since| since + hold) {
                Some(at) if now >= at => self.conclude(orders, id),
                Some(at) => self.verdict = Some(self.verdict.map_or(at, |first| first.min(at))),
                None => {}
            }
            self.show(orders, id);
        }
    }

    /// Whose vote counts: those of routers that take part, this one's included.
    fn voters<'a>(&'a self, router: &'a Router) -> impl Iterator<Item = &'a Vote> {
        let counts = |id: RouterId| id == self.me || self.routers.get(&id).is_some_and(Router::takes_part);
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
                || self.routers.get(other).is_some_and(|r| r.takes_part() && self.voters(r).count() < 2)
        };
        let speaking = self.rings.beside(id).into_iter().filter(speaks).count();
        if self.guards.several { (speaking / 2 + 1).max(2) } else { 1 }
    }

    fn conclude(&mut self, orders: &mut dyn Actions, id: RouterId) {
        let router = &self.routers[&id];
        let name = |v: &Vote| match self.routers.get(&v.voter) {
            Some(voter) => voter.record.name.clone(),
            None => self.mine.name.clone(),
        };
        let by = self.voters(router).map(name).collect();
        self.cast(id, Says::Gone);
        self.set_standing(id, MemberStatus::Gone);
        let router = self.routers.get_mut(&id).expect("just seen");
        router.by = by;
        self.accused.remove(&id);
        self.show(orders, id);
    }

    // ---- Records -----------------------------------------------------------------------------

    fn head(&self) -> Head {
        let Record { address, instance_id, incarnation, .. } = self.mine;
        Head { from: self.me, instance_id, incarnation, address }
    }

    fn sum(&mut self, id: RouterId, record: &Record) {
        if record.standing.takes_part() {
            self.digests[bucket(id)] ^= digest(id, record);
        }
    }

    fn sum_mine(&mut self) {
        if self.mine.standing.takes_part() {
            self.digests[bucket(self.me)] ^= digest(self.me, &self.mine);
        }
    }

    /// Changes what this router says of itself.
    fn say(&mut self, incarnation: u64, standing: MemberStatus) {
        self.sum_mine();
        if self.mine.standing != standing {
            self.since = self.now;
        }
        (self.mine.incarnation, self.mine.standing) = (incarnation, standing);
        self.sum_mine();
        self.tell(News::Mine);
    }

    fn set_standing(&mut self, id: RouterId, standing: MemberStatus) {
        let Some(router) = self.routers.get(&id) else { return };
        let record = Record { standing, ..router.record.clone() };
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
        let (before, after) =
            (was.as_ref().is_some_and(|w| w.standing.takes_part()), record.standing.takes_part());
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
            let neighbours = self.rings.beside(self.me);
            for new in neighbours.iter().filter(|n| !self.neighbours.contains(n)) {
                self.routers.entry(*new).and_modify(|r| r.watched = now);
            }
            for old in self.neighbours.iter().filter(|n| !neighbours.contains(n)) {
                self.routers.entry(*old).and_modify(|r| r.lame = None);
            }
            self.neighbours = neighbours;
        }
    }

    /// What a router is taken for here, told where it changes.
    fn show(&mut self, orders: &mut dyn Actions, id: RouterId) {
        let Some(router) = self.routers.get(&id) else { return };
        let is = match router.record.standing {
            MemberStatus::Left => Shown::Left,
            MemberStatus::Gone => Shown::Gone,
            MemberStatus::Joining => Shown::Joining,
            MemberStatus::Alive if self.voters(router).count() > 1 => Shown::Suspected,
            MemberStatus::Alive if router.lame == Some(Lame::In) => Shown::Unreachable,
            // Nobody else has said so for a while: it may be this router's own link.
            MemberStatus::Alive if self.silence(router).0 > 2 * self.patience(router) => {
                if self.neighbours.contains(&id) { Shown::Unreachable } else { Shown::Alive }
            }
            MemberStatus::Alive if router.standing_votes().any(|v| v.voter == self.me) => Shown::Suspected,
            MemberStatus::Alive => Shown::Alive,
        };
        let now = self.now;
        let router = self.routers.get_mut(&id).expect("just seen");
        let was = router.shown;
        if was != Some(is) {
            (router.shown, router.since) = (Some(is), now);
            let (name, by) = (router.record.name.clone(), router.by.clone());
            orders.changed(Change::Shown { name, was, is, by });
        }
    }

    /// Takes a record that was told. `direct`: by the router itself, from this address.
    fn merge(&mut self, orders: &mut dyn Actions, record: Record, direct: bool) {
        let id = RouterId::named(&record.name);
        if id == self.me {
            return self.about_me(orders, record);
        }
        let Some(known) = self.routers.get(&id) else {
            // Of those that are not there any more only who knew them need know.
            if !record.standing.takes_part() {
                return;
            }
            if self.routers.len() >= ROUTERS_MOST {
                return orders.changed(Change::Full { name: record.name });
            }
            return self.adopt(orders, id, record);
        };
        let old = &known.record;
        if old.instance_id == record.instance_id {
            let later = record.incarnation > old.incarnation;
            let same = record.incarnation == old.incarnation;
            let ends = record.standing == MemberStatus::Left && old.standing.takes_part();
            let begins = record.standing == MemberStatus::Alive && old.standing == MemberStatus::Joining;
            let again = !self.guards.incarnations && same && !old.standing.takes_part();
            // Nobody's word but its own votes make a router gone here.
            if record.standing != MemberStatus::Gone && (later || again || same && (ends || begins)) {
                if later && known.standing_votes().count() > 0 {
                    self.routers.get_mut(&id).expect("just seen").wrong(self.now);
                }
                self.adopt(orders, id, record);
            }
            return;
        }
        if (record.incarnation, record.instance_id) <= (old.incarnation, old.instance_id)
            || !record.standing.takes_part()
        {
            return;
        }
        // Another process under the name. Where its own process says so, this router sees for itself that the
        // one before is not there any more, or two would take turns under one name.
        if direct && known.takes_part() && old.address != record.address {
            return self.knock(orders, id, &record);
        }
        self.door.remove(&id);
        self.adopt(orders, id, record);
    }

    fn adopt(&mut self, orders: &mut dyn Actions, id: RouterId, record: Record) {
        self.put(id, record);
        self.tell(News::Record(id));
        self.show(orders, id);
    }

    /// What others say of this router. An older process of its name gives way or holds it; a word that it
    /// left or is another is refuted.
    fn about_me(&mut self, orders: &mut dyn Actions, record: Record) {
        let Record { instance_id, incarnation, standing, .. } = record;
        if instance_id == self.mine.instance_id {
            if incarnation > self.mine.incarnation || standing != self.mine.standing && !standing.takes_part()
            {
                self.refute(orders, incarnation);
            }
        } else if (incarnation, instance_id) > (self.mine.incarnation, self.mine.instance_id) {
            if self.admitted {
                self.give_way(orders, record.address);
            } else {
                self.say(incarnation.saturating_add(1), self.mine.standing);
            }
        }
    }

    fn give_way(&mut self, orders: &mut dyn Actions, holder: SocketAddr) {
        self.refused = true;
        self.news.clear();
        orders.changed(Change::Refused { holder });
    }

    /// This router is there: under a new incarnation, which overrules all that was said of those before.
    /// Where it was removed by more than one, it joins again and counts only once its neighbours hear it.
    fn refute(&mut self, orders: &mut dyn Actions, said: u64) {
        let now = self.now;
        self.removed_by.retain(|_, at| now < *at + UNWELL);
        let removed = self.removed_by.len() >= 2;
        let wait = if removed { self.back_at } else { self.refuted + BEAT };
        if now < wait || !self.guards.refutes {
            return;
        }
        self.refuted = now;
        let raise = u64::from(self.guards.incarnations);
        let incarnation = said.max(self.mine.incarnation).saturating_add(raise);
        if removed {
            self.removed_by.clear();
            self.entered = incarnation;
            self.back_at = now + self.back;
            self.back = (self.back * 2).min(RETURN_MOST);
            self.say(incarnation, MemberStatus::Joining);
            orders.changed(Change::Returned(incarnation));
        } else {
            self.say(incarnation, self.mine.standing);
        }
        self.flush = Some(now);
    }

    /// Counts once most of its neighbours hear it, or it is alone by its settings.
    fn join(&mut self) {
        if self.mine.standing != MemberStatus::Joining {
            if self.now > self.back_at + RETURN_MOST {
                self.back = BEAT;
            }
            return;
        }
        let hears = |id: &&RouterId| {
            let router = &self.routers[*id];
            router.takes_part() && router.hears_me.is_some_and(|at| self.now < at + PATIENCE)
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
        let over = |r: &Router| !r.takes_part() && now >= r.since + REMEMBER;
        self.routers.retain(|_, r| !over(r));
    }

    // ---- Two under one name ------------------------------------------------------------------

    /// Asks the one that holds the name; its answer shuts the door, its silence opens it.
    fn knock(&mut self, orders: &mut dyn Actions, id: RouterId, record: &Record) {
        let until = self.now + DOOR;
        let (newcomer, instance_id) = (record.address, record.instance_id);
        match self.door.get(&id) {
            Some(door) if door.instance_id == instance_id && self.now >= door.until => {
                self.door.remove(&id);
                self.adopt(orders, id, record.clone());
            }
            Some(_) => {}
            None if self.door.len() < DOOR_MOST => {
                self.door.insert(id, Door { newcomer, instance_id, until });
                let to = self.routers[&id].record.address;
                orders.send(to, Message::probe(&self.head(), self.me).bytes());
            }
            None => {}
        }
    }

    fn look_at_door(&mut self, orders: &mut dyn Actions) {
        let now = self.now;
        // One whose newcomer has not come again is of no more use.
        self.door.retain(|_, door| now < door.until + PATIENCE);
        for id in self.door.keys() {
            if let Some(router) = self.routers.get(id) {
                orders.send(router.record.address, Message::probe(&self.head(), self.me).bytes());
            }
        }
    }

    /// The one that holds the name has been heard while somebody else waits to take it.
    fn shut(&mut self, orders: &mut dyn Actions, id: RouterId) {
        let Some(door) = self.door.remove(&id) else { return };
        let holder = self.routers[&id].record.address;
        let head = self.head();
        orders.send(door.newcomer, Message::refused(&head, door.instance_id, holder).bytes());
        orders.send(holder, Message::taken(&head, door.newcomer).bytes());
    }

    // ---- What goes out -----------------------------------------------------------------------

    /// Puts news on its way to all.
    fn tell(&mut self, news: News) {
        if self.news.len() >= NEWS_MOST && !self.news.contains_key(&news) {
            // The most told of the others makes room; comparing views repairs what that costs.
            let most = self.news.iter().min_by_key(|(_, left)| **left).map(|(news, _)| *news);
            most.map(|most| self.news.remove(&most));
        }
        self.news.insert(news, ROUNDS);
        self.flush.get_or_insert(self.now + FLUSH);
    }

    fn write(&self, message: &mut Message, news: News) -> bool {
        match news {
            News::Mine => message.record(&self.mine),
            News::Record(id) => self.routers.get(&id).is_none_or(|r| message.record(&r.record)),
            News::Word(id, voter) => self.word(id, voter).is_none_or(|word| message.word(&word)),
        }
    }

    fn word(&self, id: RouterId, voter: RouterId) -> Option<Word> {
        let router = self.routers.get(&id)?;
        let vote = router.votes.iter().find(|v| v.voter == voter)?;
        let Record { instance_id, incarnation, .. } = router.record;
        Some(Word { subject: id, instance_id, incarnation, voter, stamp: vote.stamp, says: vote.says })
    }

    /// As much news as a beat has room for, the least told first; each has gone once more with it.
    fn tail(&mut self) -> Vec<u8> {
        let mut order: Vec<(u8, News)> = self.news.iter().map(|(news, left)| (*left, *news)).collect();
        order.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        // What a beat holds before the news is left free.
        let mut message = Message::beat(&self.head(), Some(Micros::MAX), u64::MAX);
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

    fn beat(&mut self, orders: &mut dyn Actions) {
        let tail = self.tail();
        let (head, view, now) = (self.head(), self.view(), self.now);
        let mut to = self.neighbours.clone();
        // Who takes this router for a neighbour has to hear it too.
        let guest = |r: &Router| r.guest.is_some_and(|at| now < at + 4 * BEAT);
        let guests = self.routers.iter().filter(|(id, r)| guest(r) && !self.neighbours.contains(id));
        to.extend(guests.map(|(id, _)| *id).take(4 * RINGS));
        for id in to {
            let Some(router) = self.routers.get(&id) else { continue };
            let heard = router.heard.map(|at| now - at);
            let mut message = Message::beat(&head, heard, view);
            message.append(&tail);
            // Who is accused hears of it first.
            if let Some(word) = router.standing_votes().next().and_then(|v| self.word(id, v.voter)) {
                message.word(&word);
            }
            orders.send(router.record.address, message.bytes());
        }
    }

    /// Writes to one seed, and to one router that is gone: either may be there again.
    fn call(&mut self, orders: &mut dyn Actions) {
        if self.now < self.call {
            return;
        }
        self.call = self.now + CALL;
        let known =
            |at: &SocketAddr| self.routers.values().any(|r| r.takes_part() && r.record.address == *at);
        let seeds = self.seeds.iter().filter(|at| !known(at)).copied().collect();
        let gone = self.routers.values().filter(|r| r.record.standing == MemberStatus::Gone);
        let gone: Vec<SocketAddr> = gone.map(|r| r.record.address).collect();
        // Who has not been taken in yet goes on asking: the first who knew better may know worse by now.
        let joining = self.mine.standing == MemberStatus::Joining;
        let there = self.routers.values().filter(|r| joining && r.takes_part()).map(|r| r.record.address);
        for list in [seeds, gone, there.collect()] as [Vec<SocketAddr>; 3] {
            if !list.is_empty() {
                let to = list[self.rng.rand_range(0..list.len() as u64) as usize];
                self.ask_for_view(orders, to);
            }
        }
    }

    fn ask_for_view(&mut self, orders: &mut dyn Actions, to: SocketAddr) {
        let mut message = Message::compare(&self.head(), &self.digests);
        message.record(&self.mine);
        orders.send(to, message.bytes());
    }

    /// Messages of records, this router's own first, as far as bounds allow.
    fn answer(&mut self, orders: &mut dyn Actions, to: SocketAddr, differs: impl Fn(usize) -> bool) {
        let mut message = Message::news(&self.head());
        message.record(&self.mine);
        let mut sent = 0;
        let mut rest = self.routers.iter().filter(|(id, _)| differs(bucket(**id))).peekable();
        while self.answers > 0 && sent < ANSWER_MOST {
            while let Some((id, router)) = rest.peek() {
                let fits = match router.record.standing {
                    // One router's word: who reads it needs those of others as well.
                    MemberStatus::Gone => self.word(**id, self.me).is_none_or(|word| message.word(&word)),
                    _ => message.record(&router.record),
                };
                if !fits {
                    break;
                }
                rest.next();
            }
            self.answers -= 1;
            sent += 1;
            orders.send(to, message.bytes());
            if rest.peek().is_none() {
                break;
            }
            message = Message::news(&self.head());
        }
    }
}

/// Reading one message: what each of its words does.
struct Reading<'a> {
    members: &'a mut Members,
    orders: &'a mut dyn Actions,
    /// Whether the writer is who it says, as far as is known here; asked once a message.
    greeted: Option<bool>,
}

impl Reading<'_> {
    /// Takes notice of who writes. False: the message's words do not count, as its writer is not known, has
    /// been replaced or is taken for gone.
    fn greet(&mut self, head: &Head) -> bool {
        if let Some(known) = self.greeted {
            return known;
        }
        let known = self.notice(head);
        self.greeted = Some(known);
        known
    }

    fn notice(&mut self, head: &Head) -> bool {
        let Reading { members, orders, .. } = self;
        let (now, id) = (members.now, head.from);
        if id == members.me {
            if head.instance_id != members.mine.instance_id {
                let message = Message::refused(&members.head(), head.instance_id, members.mine.address);
                orders.send(head.address, message.bytes());
            }
            return false;
        }
        let Some(router) = members.routers.get_mut(&id) else {
            if members.answers > 0 {
                members.answers -= 1;
                members.ask_for_view(*orders, head.address);
            }
            return false;
        };
        if router.record.instance_id != head.instance_id || head.incarnation < router.record.incarnation {
            // A process that was replaced, one that is about to replace, or its own older word, late or
            // repeated, which proves nothing of now: the writer learns what is known.
            if members.answers > 0 {
                members.answers -= 1;
                let mut message = Message::news(&members.head());
                message.record(&members.mine);
                message.record(&members.routers[&id].record);
                orders.send(head.address, message.bytes());
            }
            return false;
        }
        router.heard = Some(now);
        if !router.takes_part() {
            if members.answers > 0 {
                members.answers -= 1;
                let mut message = Message::news(&members.head());
                message.record(&members.mine);
                if let Some(word) = members.word(id, members.me) {
                    message.word(&word);
                }
                orders.send(head.address, message.bytes());
            }
            return false;
        }
        members.shut(*orders, id);
        true
    }
}

impl Words for Reading<'_> {
    fn beat(&mut self, head: &Head, heard: Option<Micros>, view: u64) {
        if !self.greet(head) {
            return;
        }
        let Reading { members, orders, .. } = self;
        let now = members.now;
        let router = members.routers.get_mut(&head.from).expect("greeted");
        router.hears_me = heard.map(|age| now.saturating_sub(age)).or(router.hears_me);
        router.guest = Some(now);
        let differs = view != members.view();
        if differs && now >= members.compared + COMPARE {
            members.compared = now;
            members.ask_for_view(*orders, head.address);
        }
    }

    fn ask(&mut self, head: &Head, whom: RouterId) {
        if self.greet(head)
            && let Some(router) = self.members.routers.get(&whom)
        {
            let message = Message::probe(&self.members.head(), head.from);
            self.orders.send(router.record.address, message.bytes());
        }
    }

    fn probe(&mut self, head: &Head, asker: RouterId) {
        self.greet(head);
        self.orders.send(head.address, Message::yes(&self.members.head(), asker).bytes());
    }

    fn yes(&mut self, head: &Head, asker: RouterId) {
        if self.greet(head)
            && asker != self.members.me
            && let Some(to) = self.members.routers.get(&asker).map(|r| r.record.address)
        {
            self.orders.send(to, Message::vouch(&self.members.head(), head.from, head.instance_id).bytes());
        }
    }

    fn vouch(&mut self, head: &Head, whom: RouterId, instance_id: InstanceId) {
        let now = self.members.now;
        if self.greet(head)
            && let Some(router) = self.members.routers.get_mut(&whom)
            && router.record.instance_id == instance_id
        {
            router.vouched = Some(now);
        }
    }

    fn compare(&mut self, head: &Head, view: &[u32; BUCKETS]) {
        self.greet(head);
        let own = self.members.digests;
        self.members.answer(self.orders, head.address, |n| own[n] != view[n]);
    }

    fn refused(&mut self, _: &Head, instance_id: InstanceId, holder: SocketAddr) {
        if instance_id == self.members.mine.instance_id
            && holder != self.members.mine.address
            && !self.members.admitted
        {
            self.members.give_way(self.orders, holder);
        }
    }

    fn taken(&mut self, head: &Head, by: SocketAddr) {
        if self.greet(head) {
            let name = self.members.mine.name.clone();
            self.orders.changed(Change::Taken { name, by });
        }
    }

    fn record(&mut self, head: &Head, record: Record) {
        let id = RouterId::named(&record.name);
        let direct = id == head.from && record.instance_id == head.instance_id;
        self.members.merge(self.orders, record, direct);
    }

    fn word(&mut self, _: &Head, word: Word) {
        let members = &mut *self.members;
        let now = members.now;
        if word.subject == members.me {
            let (old, new) =
                (word.incarnation < members.entered, word.incarnation >= members.mine.incarnation);
            match word.says {
                _ if word.instance_id != members.mine.instance_id || old => {}
                Says::Gone if members.removed_by.len() < VOTES_MOST => {
                    members.removed_by.insert(word.voter, now);
                    let (at, said) = members.removed.unwrap_or((now + REMOVED_WAIT, 0));
                    members.removed = Some((at, said.max(word.incarnation)));
                }
                Says::Silent if new => members.refute(self.orders, word.incarnation),
                _ => {}
            }
            return;
        }
        if word.voter == members.me {
            // Of this router's own votes only this router speaks: what it does not hold it takes back.
            let held = members.word(word.subject, members.me);
            if word.says != Says::Withdrawn && held.is_none_or(|own| own.stamp < word.stamp) {
                let known = members.routers.get_mut(&word.subject);
                let same = |r: &&mut Router| {
                    r.takes_part()
                        && r.record.instance_id == word.instance_id
                        && r.record.incarnation == word.incarnation
                };
                if let Some(router) = known.filter(same) {
                    router.votes.retain(|v| v.voter != word.voter);
                    let stamp = word.stamp.saturating_add(1);
                    router.votes.push(Vote { voter: word.voter, stamp, says: Says::Withdrawn, at: now });
                    members.tell(News::Word(word.subject, word.voter));
                }
            }
            return;
        }
        let Some(router) = members.routers.get_mut(&word.subject).filter(|r| r.takes_part()) else { return };
        let Record { instance_id, incarnation, .. } = router.record;
        if (instance_id, incarnation) != (word.instance_id, word.incarnation) {
            // Its own process has spoken since: whoever still says this learns so.
            let room = members.news.len() < NEWS_MOST;
            if instance_id == word.instance_id && incarnation > word.incarnation && room {
                members.news.entry(News::Record(word.subject)).or_insert(1);
                members.flush.get_or_insert(now + FLUSH);
            }
            return;
        }
        let full = router.votes.len() >= VOTES_MOST;
        match router.votes.iter_mut().find(|v| v.voter == word.voter) {
            Some(vote) if vote.stamp >= word.stamp => return,
            Some(vote) => (vote.stamp, vote.says, vote.at) = (word.stamp, word.says, now),
            None if full => return,
            None => {
                router.votes.push(Vote { voter: word.voter, stamp: word.stamp, says: word.says, at: now });
            }
        }
        members.accused.insert(word.subject);
        members.tell(News::Word(word.subject, word.voter));
    }
}
