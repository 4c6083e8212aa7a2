//! The machine: one record an origin, what messages do to it, and what is compared with whom when.
use crate::message::{Held, Holds, Line, Message, Tells};
use crate::*;
use applepond_membership::RouterId;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet, btree_map};

/// How long entries of a kind count, in µs since their origin wrote them.
#[derive(Clone, Copy, Debug)]
pub struct KindLifetime {
    pub kind: Kind,
    pub lifetime: Micros,
}

/// Messages to neighbours; each may be lost, late or repeated.
pub trait Actions {
    fn send(&mut self, to: RouterId, message: Vec<u8>);
}

/// One word of one origin, as it is held here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishedEntry<'a> {
    pub origin: RouterId,
    pub key: Key,
    /// µs since it was written, at least: what time it lost on its way is not known.
    pub age: Micros,
    pub value: &'a [u8],
}

struct Entry {
    version: u64,
    /// How old it was when it came, and when it did.
    age: Micros,
    came: Micros,
    value: Vec<u8>,
}

impl Entry {
    fn age(&self, now: Micros) -> Micros {
        self.age.saturating_add(now.saturating_sub(self.came))
    }
}

/// The one record of an origin: all that it has said in this incarnation up to a version, without gaps.
struct Origin {
    incarnation: u64,
    upto: u64,
    entries: BTreeMap<(Kind, Key), Entry>,
    bytes: usize,
    /// Since when `members` takes it for gone.
    gone: Option<Micros>,
}

impl Origin {
    fn new(incarnation: u64) -> Self {
        Origin { incarnation, upto: 0, entries: BTreeMap::new(), bytes: ENTRY_OVERHEAD_BYTES, gone: None }
    }

    fn held(&self, origin: RouterId) -> Held {
        Held { origin, incarnation: self.incarnation, upto: self.upto }
    }

    fn drop_entries(&mut self) {
        self.entries.clear();
        self.bytes = ENTRY_OVERHEAD_BYTES;
    }
}

pub struct Gossip {
    me: RouterId,
    rows: BTreeMap<Kind, Micros>,
    origins: BTreeMap<RouterId, Origin>,
    bytes: usize,
    /// Of each part, over what is held of its origins.
    parts: [u64; DIGEST_BUCKETS],
    next: Micros,
    /// Bytes that may still go out until the next comparison.
    out: usize,
    raised: Option<Micros>,
    /// None: nothing is known yet of who is there, which does not say that nobody is.
    present: Option<BTreeSet<RouterId>>,
    unread: BTreeMap<MessageError, u64>,
    rng: Rand64,
}

fn part(origin: RouterId) -> usize {
    (origin.0 >> 32) as usize % DIGEST_BUCKETS
}

fn digest(held: Held) -> u64 {
    let mut x = held.origin.0 ^ held.incarnation.rotate_left(21) ^ held.upto.rotate_left(42);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl PartialOrd for MessageError {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for MessageError {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (*self as u8).cmp(&(*other as u8))
    }
}

impl Gossip {
    /// `incarnation`: higher than that of any earlier process under the name, as far as can be told; where
    /// the others have heard of a higher one it is raised.
    pub fn new(now: Micros, me: RouterId, incarnation: u64, rows: &[KindLifetime], seed: u64) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        let mut gossip = Gossip {
            me,
            rows: rows.iter().map(|r| (r.kind, r.lifetime)).collect(),
            origins: BTreeMap::new(),
            bytes: 0,
            parts: [0; DIGEST_BUCKETS],
            // Those that start together need not compare together.
            next: now + rng.rand_range(0..SYNC_INTERVAL),
            out: MAX_BYTES_PER_INTERVAL,
            raised: None,
            present: None,
            unread: BTreeMap::new(),
            rng,
        };
        gossip.insert(me, Origin::new(incarnation.min(MAX_NUMBER - 1)));
        gossip
    }

    // ---- What is told and read ---------------------------------------------------------------

    fn mine(&mut self) -> &mut Origin {
        self.origins.get_mut(&self.me).expect("there from the start")
    }

    /// Tells this of this router from now on, in place of what it told under the key before. What is to
    /// stay told is written again before the life of its kind is over.
    pub fn publish(&mut self, now: Micros, kind: Kind, key: Key, value: &[u8]) -> Result<(), PublishError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(PublishError::ValueTooLong(value.len()));
        }
        let me = self.me;
        let mine = self.mine();
        let before = mine.entries.get(&(kind, key)).map_or(0, |e| ENTRY_OVERHEAD_BYTES + e.value.len());
        let bytes = mine.bytes - before + ENTRY_OVERHEAD_BYTES + value.len();
        if bytes > MAX_ORIGIN_BYTES {
            return Err(PublishError::OriginFull(mine.bytes));
        }
        let version = mine.upto + 1;
        self.change(me, |origin| {
            let entry = Entry { version, age: 0, came: now, value: value.to_vec() };
            origin.entries.insert((kind, key), entry);
            (origin.upto, origin.bytes) = (version, bytes);
        });
        Ok(())
    }

    /// Takes back what this router told under the key.
    pub fn withdraw(&mut self, now: Micros, kind: Kind, key: Key) {
        if self.mine().entries.get(&(kind, key)).is_some_and(|e| !e.value.is_empty()) {
            // An empty value is smaller than what it stands in for.
            let _ = self.publish(now, kind, key, &[]);
        }
    }

    fn life(&self, kind: Kind) -> Micros {
        self.rows.get(&kind).copied().unwrap_or(DEFAULT_LIFETIME)
    }

    /// What is known of a kind, of each origin that told something which still counts; this router's own
    /// words among it. Who is not in it has said nothing.
    pub fn entries(&self, now: Micros, kind: Kind) -> impl Iterator<Item = PublishedEntry<'_>> {
        let life = self.life(kind);
        self.origins.iter().flat_map(move |(id, origin)| {
            let faded = origin.gone.is_some_and(|since| now >= since + DEAD_ORIGIN_GRACE);
            let entries = origin.entries.range((kind, Key(0))..=(kind, Key(u64::MAX)));
            let counts = move |e: &Entry| !faded && !e.value.is_empty() && e.age(now) < life;
            entries.filter(move |(_, e)| counts(e)).map(move |((_, key), e)| PublishedEntry {
                origin: *id,
                key: *key,
                age: e.age(now),
                value: &e.value,
            })
        })
    }

    /// What is known under one key.
    pub fn entries_for_key(
        &self,
        now: Micros,
        kind: Kind,
        key: Key,
    ) -> impl Iterator<Item = PublishedEntry<'_>> {
        self.entries(now, kind).filter(move |told| told.key == key)
    }

    /// One number for all that is held; two routers with the same hold the same words.
    pub fn view_digest(&self) -> u64 {
        self.parts.iter().fold(0, |sum, part| sum.rotate_left(1) ^ part)
    }

    pub fn incarnation(&self) -> u64 {
        self.origins[&self.me].incarnation
    }

    /// Origins that are held, and bytes of all.
    pub fn size(&self) -> (usize, usize) {
        (self.origins.len(), self.bytes)
    }

    /// Messages that were not taken, by why.
    pub fn rejected_messages(&self) -> &BTreeMap<MessageError, u64> {
        &self.unread
    }

    // ---- Who is there ------------------------------------------------------------------------

    /// Who is there, as `members` sees it; a hint. What the others have said fades, and nothing more is
    /// taken of those of them that are forgotten here. Until this was called once all count as there.
    pub fn set_live_members(&mut self, now: Micros, live: BTreeSet<RouterId>) {
        for (id, origin) in self.origins.iter_mut().filter(|(id, _)| **id != self.me) {
            origin.gone = if live.contains(id) { None } else { origin.gone.or(Some(now)) };
        }
        self.present = Some(live);
    }

    // ---- Comparing ---------------------------------------------------------------------------

    pub fn next_deadline(&self) -> Micros {
        self.next
    }

    /// Begins a comparison with one of the neighbours, where it is time.
    pub fn handle_timeout(&mut self, now: Micros, neighbours: &[RouterId], actions: &mut dyn Actions) {
        if now < self.next {
            return;
        }
        self.next = now + SYNC_INTERVAL;
        self.out = MAX_BYTES_PER_INTERVAL;
        self.clear(now);
        if !neighbours.is_empty() {
            let to = neighbours[self.rng.rand_range(0..neighbours.len() as u64) as usize];
            self.send(to, &Message::Compares(self.parts.to_vec()), actions);
        }
    }

    /// Whether there was room for the message; what goes out between two comparisons is bounded.
    fn send(&mut self, to: RouterId, message: &Message, actions: &mut dyn Actions) -> bool {
        let bytes = message.write();
        if bytes.len() > self.out {
            return false;
        }
        self.out -= bytes.len();
        actions.send(to, bytes);
        true
    }

    /// Entries past their life, words of those long gone and, later, the memory of them.
    fn clear(&mut self, now: Micros) {
        let rows = &self.rows;
        for (id, origin) in self.origins.iter_mut().filter(|(id, _)| **id != self.me) {
            if origin.gone.is_some_and(|since| now >= since + DEAD_ORIGIN_GRACE) {
                self.bytes -= origin.bytes - ENTRY_OVERHEAD_BYTES;
                origin.drop_entries();
                if origin.gone.is_some_and(|since| now >= since + DEAD_ORIGIN_RETENTION) {
                    self.parts[part(*id)] ^= digest(origin.held(*id));
                    self.bytes -= ENTRY_OVERHEAD_BYTES;
                }
                continue;
            }
            let before = origin.bytes;
            let bytes = &mut origin.bytes;
            origin.entries.retain(|(kind, _), e| {
                let keep = e.age(now) < rows.get(kind).copied().unwrap_or(DEFAULT_LIFETIME);
                *bytes -= if keep { 0 } else { ENTRY_OVERHEAD_BYTES + e.value.len() };
                keep
            });
            self.bytes -= before - *bytes;
        }
        self.origins.retain(|_, o| o.gone.is_none_or(|since| now < since + DEAD_ORIGIN_RETENTION));
    }

    fn insert(&mut self, id: RouterId, origin: Origin) {
        self.bytes += origin.bytes;
        self.parts[part(id)] ^= digest(origin.held(id));
        self.origins.insert(id, origin);
    }

    /// Changes a record and what is counted over all of them.
    fn change(&mut self, id: RouterId, change: impl FnOnce(&mut Origin)) {
        let Some(origin) = self.origins.get_mut(&id) else { return };
        self.parts[part(id)] ^= digest(origin.held(id));
        self.bytes -= origin.bytes;
        change(origin);
        self.bytes += origin.bytes;
        self.parts[part(id)] ^= digest(origin.held(id));
    }

    // ---- Messages -----------------------------------------------------------------------------

    /// Takes a message of a neighbour, whole or not at all.
    pub fn handle_message(
        &mut self,
        now: Micros,
        from: RouterId,
        bytes: &[u8],
        actions: &mut dyn Actions,
    ) -> Result<(), MessageError> {
        let taken = Message::read(bytes).and_then(|message| match message {
            Message::Compares(parts) => {
                self.compared(from, &parts, actions);
                Ok(())
            }
            Message::Holds(holds) => {
                self.told_holds(now, from, &holds, actions);
                Ok(())
            }
            Message::Wants(held) => {
                for h in held {
                    self.tell(now, from, h, actions);
                }
                Ok(())
            }
            Message::Tells(tells) => self.take(now, tells),
        });
        if let Err(why) = taken {
            *self.unread.entry(why).or_default() += 1;
        }
        taken
    }

    /// A neighbour's digests: of each part that differs it is told what is held here.
    fn compared(&mut self, from: RouterId, parts: &[u64], actions: &mut dyn Actions) {
        // 33 bytes of an origin at the most, 40 around all of them.
        const ALL: usize = (MAX_MESSAGE_BYTES - 40) / 33;
        let first = self.rng.rand_range(0..DIGEST_BUCKETS as u64) as usize;
        // Another part comes first each time: where room ends, none is always left out.
        for p in (0..DIGEST_BUCKETS).map(|n| (first + n) % DIGEST_BUCKETS) {
            if self.parts[p] == parts[p] {
                continue;
            }
            let of_part = self.origins.iter().filter(|(id, _)| part(**id) == p);
            let all: Vec<Held> = of_part.map(|(id, o)| o.held(*id)).collect();
            let mut begin = RouterId(0);
            for (n, held) in all.chunks(ALL).enumerate() {
                let ends = (n + 1) * ALL >= all.len();
                let last = if ends { RouterId(u64::MAX) } else { held[held.len() - 1].origin };
                let holds = Holds { part: p as u8, first: begin, last, held: held.to_vec() };
                begin = RouterId(last.0.saturating_add(1));
                if !self.send(from, &Message::Holds(holds), actions) {
                    return;
                }
            }
            if all.is_empty() {
                let (first, last) = (RouterId(0), RouterId(u64::MAX));
                let holds = Holds { part: p as u8, first, last, held: Vec::new() };
                if !self.send(from, &Message::Holds(holds), actions) {
                    return;
                }
            }
        }
    }

    /// What a neighbour holds: it is told what it lacks, and asked for what is lacking here.
    fn told_holds(&mut self, now: Micros, from: RouterId, holds: &Holds, actions: &mut dyn Actions) {
        let mut wants = Vec::new();
        for theirs in &holds.held {
            let ours = self.origins.get(&theirs.origin).map(|o| (o.incarnation, o.upto));
            let told = (theirs.incarnation, theirs.upto);
            match ours {
                _ if theirs.origin == self.me => self.spoken_for(now, told),
                Some(ours) if ours == told => continue,
                Some(ours) if ours < told => {
                    wants.push(Held { origin: theirs.origin, incarnation: ours.0, upto: ours.1 });
                }
                None => wants.push(Held { origin: theirs.origin, incarnation: 0, upto: 0 }),
                Some(_) => {}
            }
            if self.origins.get(&theirs.origin).is_some_and(|o| (o.incarnation, o.upto) > told) {
                self.tell(now, from, *theirs, actions);
            }
        }
        let theirs = |id: &RouterId| holds.held.iter().any(|h| h.origin == *id);
        let within = self.origins.range(holds.first..=holds.last);
        let lacking = within.map(|(id, _)| *id).filter(|id| part(*id) == holds.part as usize && !theirs(id));
        for id in lacking.collect::<Vec<_>>() {
            self.tell(now, from, Held { origin: id, incarnation: 0, upto: 0 }, actions);
        }
        // As many as the message had room for, and a little smaller: it is a message again.
        if !wants.is_empty() {
            self.send(from, &Message::Wants(wants), actions);
        }
    }

    /// Somebody holds words in this router's name: those of a life before, or made up. All are void under a
    /// higher incarnation.
    fn spoken_for(&mut self, now: Micros, told: (u64, u64)) {
        let mine = self.mine();
        if told <= (mine.incarnation, mine.upto)
            || self.raised.is_some_and(|at| now < at + INCARNATION_RAISE_INTERVAL)
        {
            return;
        }
        self.raised = Some(now);
        let me = self.me;
        self.change(me, |mine| {
            mine.incarnation = (told.0 + 1).min(MAX_NUMBER - 1);
            // The words are the same, in the same order.
            let mut order: Vec<&mut Entry> = mine.entries.values_mut().collect();
            order.sort_by_key(|e| e.version);
            let many = order.len() as u64;
            order.into_iter().zip(1..).for_each(|(e, version)| e.version = version);
            mine.upto = many;
        });
    }

    /// Tells what is held of an origin beyond what the other one has said it holds.
    fn tell(&mut self, now: Micros, to: RouterId, theirs: Held, actions: &mut dyn Actions) {
        let Some(origin) = self.origins.get(&theirs.origin) else { return };
        if (origin.incarnation, origin.upto) <= (theirs.incarnation, theirs.upto) {
            return;
        }
        let from = if origin.incarnation == theirs.incarnation { theirs.upto } else { 0 };
        let (incarnation, upto) = (origin.incarnation, origin.upto);
        let counts = |kind: Kind, e: &Entry| e.version > from && e.age(now) < self.life(kind);
        let mut lines: Vec<Line> = origin
            .entries
            .iter()
            .filter(|((kind, _), e)| counts(*kind, e))
            .map(|((kind, key), e)| Line {
                kind: *kind,
                key: *key,
                version: e.version,
                age: e.age(now),
                value: e.value.clone(),
            })
            .collect();
        lines.sort_by_key(|l| l.version);
        let mut lines = lines.into_iter().peekable();
        let mut begin = from;
        loop {
            // A message is filled, then the next goes on where it ends.
            let (mut these, mut bytes) = (Vec::new(), 60);
            while let Some(line) = lines.next_if(|l| bytes + 35 + l.value.len() <= MAX_MESSAGE_BYTES) {
                bytes += 35 + line.value.len();
                these.push(line);
            }
            let ends = if lines.peek().is_none() { upto } else { these.last().map_or(upto, |l| l.version) };
            let tells = Tells { origin: theirs.origin, incarnation, from: begin, upto: ends, lines: these };
            begin = ends;
            if !self.send(to, &Message::Tells(tells), actions) || ends == upto {
                return;
            }
        }
    }

    /// What an origin says, by way of whoever holds it.
    fn take(&mut self, now: Micros, tells: Tells) -> Result<(), MessageError> {
        let id = tells.origin;
        if id == self.me {
            self.spoken_for(now, (tells.incarnation, tells.upto));
            return Ok(());
        }
        let ours = match self.origins.entry(id) {
            btree_map::Entry::Occupied(o) => {
                let o = o.into_mut();
                // Guards against words of an earlier life, and against a gap: what lies between is unknown.
                let newer = tells.incarnation > o.incarnation && tells.from == 0;
                let goes_on =
                    tells.incarnation == o.incarnation && (tells.from..tells.upto).contains(&o.upto);
                if !newer && !goes_on {
                    return Ok(());
                }
                if newer { None } else { Some(o) }
            }
            btree_map::Entry::Vacant(_) if tells.from != 0 => return Ok(()),
            // Guards against the gone that go round for ever, forgotten here and told again by another.
            btree_map::Entry::Vacant(_) if self.present.as_ref().is_some_and(|p| !p.contains(&id)) => {
                return Ok(());
            }
            btree_map::Entry::Vacant(_) => None,
        };
        let kept = |line: &Line| {
            let before = ours.as_ref().and_then(|o| o.entries.get(&(line.kind, line.key)));
            before.map_or(0, |e| ENTRY_OVERHEAD_BYTES + e.value.len())
        };
        let more: usize = tells.lines.iter().map(|l| ENTRY_OVERHEAD_BYTES + l.value.len()).sum();
        let less: usize = tells.lines.iter().map(kept).sum();
        let had = ours.as_ref().map_or(ENTRY_OVERHEAD_BYTES, |o| o.bytes);
        let whole = self.bytes + more;
        let origins = self.origins.len() + usize::from(!self.origins.contains_key(&id));
        // Guards against an origin that tells without end: it stays as it was, the others are not harmed.
        if (had + more).saturating_sub(less) > MAX_ORIGIN_BYTES
            || whole > MAX_TOTAL_BYTES
            || origins > MAX_ORIGINS
        {
            return Err(MessageError::LimitExceeded);
        }
        if self.origins.get(&id).is_none_or(|o| o.incarnation < tells.incarnation) {
            // A new incarnation voids all that the one before it said; a process that is back is not gone.
            if self.origins.contains_key(&id) {
                self.change(id, |o| *o = Origin::new(tells.incarnation));
            } else {
                self.insert(id, Origin::new(tells.incarnation));
            }
        }
        self.change(id, |o| {
            o.upto = tells.upto;
            for line in tells.lines {
                let value = ENTRY_OVERHEAD_BYTES + line.value.len();
                let entry = Entry { version: line.version, age: line.age, came: now, value: line.value };
                let before = o.entries.insert((line.kind, line.key), entry);
                o.bytes = o.bytes + value - before.map_or(0, |e| ENTRY_OVERHEAD_BYTES + e.value.len());
            }
        });
        Ok(())
    }
}
