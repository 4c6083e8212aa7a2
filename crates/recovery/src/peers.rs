//! Asking a few peers after a start, and giving to those that ask.
//!
//! Who has just started itself says that it is empty, and is not counted as an answer. What is taken is
//! the median over those that gave; where one alone gave by the end of the span, its word counts as half
//! gone already.
use crate::{
    AGAIN, AGAIN_MOST, ASKS_MOST, About, EMPTY, Fact, Facts, GIVE, GIVE_AT_ONCE, Micros, PAGE, PATIENCE,
    PEERS, SPAN, message,
};
use applepond_membership::RouterId;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// Messages to peers; each may be lost, late or repeated.
pub trait Actions {
    fn send(&mut self, to: RouterId, message: Vec<u8>);
}

/// How far a router has come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It asks; it serves meanwhile.
    Asking,
    /// Facts were taken: how many peers gave them.
    Told(usize),
    /// Nobody had anything to say in time.
    Untold,
}

/// One peer that was asked.
struct Asked {
    number: u64,
    page: u16,
    /// When to ask again, or another one.
    until: Micros,
    facts: Vec<Fact>,
    whole: bool,
}

pub struct Peers {
    me: RouterId,
    born: Micros,
    stage: Stage,
    asked: BTreeMap<RouterId, Asked>,
    /// Those that said they are empty, and from when on they may be asked again.
    empty: BTreeMap<RouterId, Micros>,
    asks: u32,
    next: Micros,
    /// Bytes that may be given, and when that was.
    tokens: f64,
    filled: Micros,
    /// How many were sent away lately: who comes later is told a later time.
    away: u32,
    /// Its own sight is as good as what it could be told.
    ripe: Micros,
    rng: Rand64,
    guards: Guards,
}

/// Guards that tests and drills take out one by one; in service all are in place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// One that is itself coming back says so, instead of giving the nothing it knows.
    pub empty_is_said: bool,
    /// Askers beyond the bound are told a time of their own.
    pub spreads: bool,
    /// Whom to ask is drawn, and not the same for all.
    pub by_chance: bool,
    /// The median, not one's word.
    pub median: bool,
}

impl Guards {
    pub const ALL: Guards = Guards { empty_is_said: true, spreads: true, by_chance: true, median: true };
}

impl Peers {
    /// A router that starts at `now`.
    pub fn new(now: Micros, me: RouterId, seed: u64) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        Peers {
            me,
            born: now,
            stage: Stage::Asking,
            asked: BTreeMap::new(),
            empty: BTreeMap::new(),
            asks: 0,
            // Those that start at once need not ask at once.
            next: now + rng.rand_range(0..AGAIN),
            tokens: GIVE_AT_ONCE as f64,
            filled: now,
            away: 0,
            ripe: now + SPAN,
            rng,
            guards: Guards::ALL,
        }
    }

    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    pub fn asks(&self) -> u32 {
        self.asks
    }

    pub fn next(&self) -> Micros {
        if self.stage == Stage::Asking { self.next } else { Micros::MAX }
    }

    /// Nobody is asked.
    pub fn alone(mut self) -> Self {
        self.stage = Stage::Untold;
        self
    }

    /// A snapshot said something: it is as good as a peer's word to those that ask, and this one asks on.
    pub fn had_snapshot(&mut self, now: Micros) {
        self.ripe = now;
    }

    /// Asks whoever is there, as far as `members` sees; what was learned, once it is all there is to be.
    pub fn wake(&mut self, now: Micros, live: &[RouterId], orders: &mut dyn Actions) -> Vec<Fact> {
        if self.stage != Stage::Asking || now < self.next {
            return Vec::new();
        }
        let whole = self.asked.values().filter(|a| a.whole).count();
        if whole >= PEERS || now >= self.born + SPAN || self.asks >= ASKS_MOST {
            return self.end(now);
        }
        self.empty.retain(|_, until| now < *until);
        // Again to those that did not answer in time; then others, until as many as wanted are under way.
        let slow: Vec<(RouterId, u16)> = self
            .asked
            .iter()
            .filter(|(_, a)| !a.whole && now >= a.until)
            .map(|(id, a)| (*id, a.page))
            .collect();
        for (id, page) in slow {
            // Who gave a page gives the next one: it is the message that was lost.
            if page > 0 && live.contains(&id) {
                self.ask(now, id, page, orders);
                continue;
            }
            self.asked.remove(&id);
            self.empty.insert(id, now + PATIENCE);
        }
        let mut others: Vec<RouterId> = live
            .iter()
            .copied()
            .filter(|id| *id != self.me && !self.asked.contains_key(id) && !self.empty.contains_key(id))
            .collect();
        while self.asked.len() < PEERS && !others.is_empty() && self.asks < ASKS_MOST {
            let any = self.rng.rand_range(0..others.len() as u64) as usize;
            let first = (0..others.len()).min_by_key(|n| others[*n]).unwrap_or(0);
            let to = others.swap_remove(if self.guards.by_chance { any } else { first });
            self.ask(now, to, 0, orders);
        }
        self.rest(now);
        Vec::new()
    }

    /// When to look again.
    fn rest(&mut self, now: Micros) {
        let waits = self.asked.values().filter(|a| !a.whole).map(|a| a.until);
        let empties = self.empty.values().copied();
        let soon = waits.chain(empties).min().unwrap_or(now + AGAIN);
        self.next = soon.clamp(now + AGAIN / 10, now + PATIENCE).min(self.born + SPAN);
    }

    fn ask(&mut self, now: Micros, to: RouterId, page: u16, orders: &mut dyn Actions) {
        self.asks += 1;
        let number = self.rng.rand_u64();
        let row = self.asked.entry(to).or_insert(Asked {
            number,
            page,
            until: now,
            facts: Vec::new(),
            whole: false,
        });
        (row.number, row.page, row.until) = (number, page, now + PATIENCE);
        orders.send(to, message::ask(self.me, number, page));
    }

    fn end(&mut self, now: Micros) -> Vec<Fact> {
        let gave: Vec<Vec<Fact>> =
            std::mem::take(&mut self.asked).into_values().filter(|a| a.whole).map(|a| a.facts).collect();
        self.stage = if gave.is_empty() { Stage::Untold } else { Stage::Told(gave.len()) };
        if !gave.is_empty() {
            self.ripe = now;
        }
        middle(&gave, self.guards.median)
    }

    /// A peer's page.
    #[allow(clippy::too_many_arguments)] // what a message says, in its order
    pub fn given(
        &mut self,
        now: Micros,
        from: RouterId,
        number: u64,
        page: u16,
        last: bool,
        facts: Vec<Fact>,
        orders: &mut dyn Actions,
    ) {
        // Guards against an answer to another ask, or of a peer that nobody asked.
        let Some(row) = self.asked.get_mut(&from) else { return };
        if row.number != number || row.page != page || row.whole || self.stage != Stage::Asking {
            return;
        }
        row.facts.extend(facts);
        row.whole = last || row.facts.len() >= crate::FACTS_MOST;
        if !row.whole {
            let next = page + 1;
            // A page that follows is no further ask of somebody.
            self.ask(now, from, next, orders);
            self.asks -= 1;
        }
        self.next = self.next.min(now);
    }

    pub fn told_later(&mut self, now: Micros, from: RouterId, number: u64, wait: Micros) {
        let Some(row) = self.asked.get(&from) else { return };
        if row.number == number && !row.whole {
            self.asked.remove(&from);
            self.empty.insert(from, now + wait.min(AGAIN_MOST));
            self.rest(now);
        }
    }

    pub fn told_empty(&mut self, now: Micros, from: RouterId, number: u64) {
        let Some(row) = self.asked.get(&from) else { return };
        if row.number == number && !row.whole {
            // It may have been told by then.
            self.asked.remove(&from);
            self.empty.insert(from, now + EMPTY);
            self.next = self.next.min(now);
        }
    }

    // ---- Giving ------------------------------------------------------------------------------

    /// Whether this router's own sight is worth giving.
    pub fn is_ripe(&self, now: Micros) -> bool {
        now >= self.ripe
    }

    /// Gives a page, or a time to come again, or says that it is empty.
    pub fn asked(
        &mut self,
        now: Micros,
        from: RouterId,
        (number, page): (u64, u16),
        facts: &Facts,
        orders: &mut dyn Actions,
    ) {
        // Guards against emptiness that is taken for a word: nothing known is not zero.
        if self.guards.empty_is_said && !self.is_ripe(now) {
            orders.send(from, message::empty(self.me, number));
            return;
        }
        self.tokens += (now - self.filled.min(now)) as f64 * GIVE as f64 / 1e6;
        self.tokens = self.tokens.min(GIVE_AT_ONCE as f64);
        self.filled = now;
        let shared = facts.all(now).filter(|f| f.about.what.shared());
        let mut these: Vec<Fact> = shared.skip(page as usize * PAGE).take(PAGE + 1).collect();
        let last = these.len() <= PAGE;
        these.truncate(PAGE);
        let bytes = message::give(self.me, number, page, last, &these);
        if self.tokens < bytes.len() as f64 && self.guards.spreads {
            // Each that is sent away is told a time behind those before it, and a little chance.
            self.away = (self.away + 1).min(1_000);
            let line = u64::from(self.away) * bytes.len() as u64 * 1_000_000 / GIVE;
            let wait = (AGAIN + line + self.rng.rand_range(0..AGAIN)).min(AGAIN_MOST);
            orders.send(from, message::later(self.me, number, wait));
            return;
        }
        self.away = self.away.saturating_sub(1);
        self.tokens -= bytes.len() as f64;
        orders.send(from, bytes);
    }
}

/// The middle one of what was said of each, as old as the oldest of those that said it.
fn middle(gave: &[Vec<Fact>], median: bool) -> Vec<Fact> {
    let mut said: BTreeMap<About, Vec<Fact>> = BTreeMap::new();
    for facts in gave {
        let mut seen = BTreeSet::new();
        for fact in facts.iter().filter(|f| seen.insert(f.about)) {
            said.entry(fact.about).or_default().push(*fact);
        }
    }
    let most = gave.len() / 2 + 1;
    let one = |(about, mut facts): (About, Vec<Fact>)| {
        facts.sort_by(|a, b| a.value.total_cmp(&b.value));
        let age = facts.iter().map(|f| f.age).max()?;
        let mut fact = Fact { about, value: facts[(facts.len() - 1) / 2].value, age };
        if !median {
            return Some(facts[0]);
        }
        // Guards against one's word: what most have not seen is left out; a lone survivor's is half gone.
        if facts.len() < most {
            return None;
        }
        if gave.len() == 1 {
            let (_, nothing) = about.what.ages();
            fact.age = fact.age.max(nothing / 2);
        }
        Some(fact).filter(|f| f.weight() > 0.0)
    };
    said.into_iter().filter_map(one).collect()
}
