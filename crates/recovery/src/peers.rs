//! Asking a few peers after a start, and giving to those that ask.
//!
//! Who has just started itself says that it is empty, and is not counted as an answer. What is taken is
//! the median over those that gave; where one alone gave by the end of the span, its word counts as half
//! gone already.
use crate::{
    EMPTY_PEER_BACKOFF, FACTS_PER_PAGE, Fact, FactKey, Facts, MAX_REQUESTS, MAX_RETRY_DELAY, MIN_RETRY_DELAY,
    Micros, PARALLEL_PEERS, RECOVERY_WINDOW, RESPONSE_TIMEOUT, SEND_BURST_BYTES, SEND_BYTES_PER_SECOND,
    message,
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
    Requesting,
    /// Facts were taken: how many peers gave them.
    Recovered(usize),
    /// Nobody had anything to say in time.
    Exhausted,
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

pub struct PeerRecovery {
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
    pub reports_empty: bool,
    /// Askers beyond the bound are told a time of their own.
    pub spreads_retries: bool,
    /// Whom to ask is drawn, and not the same for all.
    pub random_peers: bool,
    /// The median, not one's word.
    pub median: bool,
}

impl Guards {
    pub const ALL: Guards =
        Guards { reports_empty: true, spreads_retries: true, random_peers: true, median: true };
}

impl PeerRecovery {
    /// A router that starts at `now`.
    pub fn new(now: Micros, me: RouterId, seed: u64) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        PeerRecovery {
            me,
            born: now,
            stage: Stage::Requesting,
            asked: BTreeMap::new(),
            empty: BTreeMap::new(),
            asks: 0,
            // Those that start at once need not ask at once.
            next: now + rng.rand_range(0..MIN_RETRY_DELAY),
            tokens: SEND_BURST_BYTES as f64,
            filled: now,
            away: 0,
            ripe: now + RECOVERY_WINDOW,
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

    pub fn requests_sent(&self) -> u32 {
        self.asks
    }

    pub fn next_wakeup(&self) -> Micros {
        if self.stage == Stage::Requesting { self.next } else { Micros::MAX }
    }

    /// Nobody is asked.
    pub fn without_peers(mut self) -> Self {
        self.stage = Stage::Exhausted;
        self
    }

    /// A snapshot said something: it is as good as a peer's word to those that ask, and this one asks on.
    pub fn snapshot_loaded(&mut self, now: Micros) {
        self.ripe = now;
    }

    /// Asks whoever is there, as far as `members` sees; what was learned, once it is all there is to be.
    pub fn wake(&mut self, now: Micros, live: &[RouterId], orders: &mut dyn Actions) -> Vec<Fact> {
        if self.stage != Stage::Requesting || now < self.next {
            return Vec::new();
        }
        let whole = self.asked.values().filter(|a| a.whole).count();
        if whole >= PARALLEL_PEERS || now >= self.born + RECOVERY_WINDOW || self.asks >= MAX_REQUESTS {
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
            self.empty.insert(id, now + RESPONSE_TIMEOUT);
        }
        let mut others: Vec<RouterId> = live
            .iter()
            .copied()
            .filter(|id| *id != self.me && !self.asked.contains_key(id) && !self.empty.contains_key(id))
            .collect();
        while self.asked.len() < PARALLEL_PEERS && !others.is_empty() && self.asks < MAX_REQUESTS {
            let any = self.rng.rand_range(0..others.len() as u64) as usize;
            let first = (0..others.len()).min_by_key(|n| others[*n]).unwrap_or(0);
            let to = others.swap_remove(if self.guards.random_peers { any } else { first });
            self.ask(now, to, 0, orders);
        }
        self.rest(now);
        Vec::new()
    }

    /// When to look again.
    fn rest(&mut self, now: Micros) {
        let waits = self.asked.values().filter(|a| !a.whole).map(|a| a.until);
        let empties = self.empty.values().copied();
        let soon = waits.chain(empties).min().unwrap_or(now + MIN_RETRY_DELAY);
        self.next =
            soon.clamp(now + MIN_RETRY_DELAY / 10, now + RESPONSE_TIMEOUT).min(self.born + RECOVERY_WINDOW);
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
        (row.number, row.page, row.until) = (number, page, now + RESPONSE_TIMEOUT);
        orders.send(to, message::encode_request(self.me, number, page));
    }

    fn end(&mut self, now: Micros) -> Vec<Fact> {
        let gave: Vec<Vec<Fact>> =
            std::mem::take(&mut self.asked).into_values().filter(|a| a.whole).map(|a| a.facts).collect();
        self.stage = if gave.is_empty() { Stage::Exhausted } else { Stage::Recovered(gave.len()) };
        if !gave.is_empty() {
            self.ripe = now;
        }
        middle(&gave, self.guards.median)
    }

    /// A peer's page.
    #[allow(clippy::too_many_arguments)] // what a message says, in its order
    pub fn on_page(
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
        if row.number != number || row.page != page || row.whole || self.stage != Stage::Requesting {
            return;
        }
        row.facts.extend(facts);
        row.whole = last || row.facts.len() >= crate::MAX_FACTS;
        if !row.whole {
            let next = page + 1;
            // A page that follows is no further ask of somebody.
            self.ask(now, from, next, orders);
            self.asks -= 1;
        }
        self.next = self.next.min(now);
    }

    pub fn on_retry_later(&mut self, now: Micros, from: RouterId, number: u64, wait: Micros) {
        let Some(row) = self.asked.get(&from) else { return };
        if row.number == number && !row.whole {
            self.asked.remove(&from);
            self.empty.insert(from, now + wait.min(MAX_RETRY_DELAY));
            self.rest(now);
        }
    }

    pub fn on_empty(&mut self, now: Micros, from: RouterId, number: u64) {
        let Some(row) = self.asked.get(&from) else { return };
        if row.number == number && !row.whole {
            // It may have been told by then.
            self.asked.remove(&from);
            self.empty.insert(from, now + EMPTY_PEER_BACKOFF);
            self.next = self.next.min(now);
        }
    }

    // ---- Giving ------------------------------------------------------------------------------

    /// Whether this router's own sight is worth giving.
    pub fn can_serve(&self, now: Micros) -> bool {
        now >= self.ripe
    }

    /// Gives a page, or a time to come again, or says that it is empty.
    pub fn on_request(
        &mut self,
        now: Micros,
        from: RouterId,
        (number, page): (u64, u16),
        facts: &Facts,
        orders: &mut dyn Actions,
    ) {
        // Guards against emptiness that is taken for a word: nothing known is not zero.
        if self.guards.reports_empty && !self.can_serve(now) {
            orders.send(from, message::encode_empty(self.me, number));
            return;
        }
        self.tokens += (now - self.filled.min(now)) as f64 * SEND_BYTES_PER_SECOND as f64 / 1e6;
        self.tokens = self.tokens.min(SEND_BURST_BYTES as f64);
        self.filled = now;
        let shared = facts.iter(now).filter(|f| f.key.kind.is_shared());
        let mut these: Vec<Fact> =
            shared.skip(page as usize * FACTS_PER_PAGE).take(FACTS_PER_PAGE + 1).collect();
        let last = these.len() <= FACTS_PER_PAGE;
        these.truncate(FACTS_PER_PAGE);
        let bytes = message::encode_page(self.me, number, page, last, &these);
        if self.tokens < bytes.len() as f64 && self.guards.spreads_retries {
            // Each that is sent away is told a time behind those before it, and a little chance.
            self.away = (self.away + 1).min(1_000);
            let line = u64::from(self.away) * bytes.len() as u64 * 1_000_000 / SEND_BYTES_PER_SECOND;
            let wait =
                (MIN_RETRY_DELAY + line + self.rng.rand_range(0..MIN_RETRY_DELAY)).min(MAX_RETRY_DELAY);
            orders.send(from, message::encode_retry_later(self.me, number, wait));
            return;
        }
        self.away = self.away.saturating_sub(1);
        self.tokens -= bytes.len() as f64;
        orders.send(from, bytes);
    }
}

/// The middle one of what was said of each, as old as the oldest of those that said it.
fn middle(gave: &[Vec<Fact>], median: bool) -> Vec<Fact> {
    let mut said: BTreeMap<FactKey, Vec<Fact>> = BTreeMap::new();
    for facts in gave {
        let mut seen = BTreeSet::new();
        for fact in facts.iter().filter(|f| seen.insert(f.key)) {
            said.entry(fact.key).or_default().push(*fact);
        }
    }
    let most = gave.len() / 2 + 1;
    let one = |(about, mut facts): (FactKey, Vec<Fact>)| {
        facts.sort_by(|a, b| a.value.total_cmp(&b.value));
        let age = facts.iter().map(|f| f.age).max()?;
        let mut fact = Fact { key: about, value: facts[(facts.len() - 1) / 2].value, age };
        if !median {
            return Some(facts[0]);
        }
        // Guards against one's word: what most have not seen is left out; a lone survivor's is half gone.
        if facts.len() < most {
            return None;
        }
        if gave.len() == 1 {
            let (_, nothing) = about.kind.lifetimes();
            fact.age = fact.age.max(nothing / 2);
        }
        Some(fact).filter(|f| f.weight() > 0.0)
    };
    said.into_iter().filter_map(one).collect()
}
