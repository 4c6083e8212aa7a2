//! What stands before the module while a storm lasts: who goes in, who is told to come back, and when.
use crate::Micros;
use crate::advice::Advice;
use crate::sketch::{Counts, Marks};
use crate::watch::{Called, Watch};
use oorandom::Rand64;

/// µs in which a client's tries lose half their weight.
const HALF_LIFE: Micros = 10_000_000;
/// µs for which a job's name is known: longer than any time limit.
const KNOWN: Micros = 60_000_000;
/// Retries that a client has in any case, and a first try earns on top: the usual fifth of retry budgets.
const RETRIES_FREE: f32 = 3.0;
const RETRIES_EARNED: f32 = 0.2;
/// µs of the pace that may be saved up for a burst.
const BURST: f64 = 500_000.0;
/// Part of that which retries leave to first tries, and little importance to the rest.
const FOR_FIRSTS: f64 = 0.5;
const FOR_IMPORTANT: f64 = 0.2;
/// Part that a client over its budget leaves to all others. It is let in behind them rather than never: a job
/// that could be done and is not keeps coming back, and the storm lasts (measured: 29 s instead of 11).
const FOR_FOLLOWERS: f64 = 0.3;
/// Part of the pace that a storm's advice hands out: the rest is for those who come of themselves.
const ADVISED: f64 = 0.7;
/// Times the pace that goes in: the module pushes back what has no room, and would find out that there is
/// more.
const PROBES: f64 = 1.5;
/// Part a second by which the best pace seen is forgotten: what the fleet did before the storm is what it can
/// do.
const FORGETS: f64 = 0.005;
/// Jobs a second taken for the pace before any has finished.
const PACE_UNKNOWN: f64 = 50.0;

/// One job on its way in.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Digest of who asks.
    pub client: u64,
    /// Digest of the job's name.
    pub name: u64,
    /// The client says that it has asked before.
    pub retry: bool,
    pub importance: f64,
    /// µs that the client has left.
    pub left: Micros,
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Passage {
    /// It goes to the module, as a first try or as a retry.
    In { retry: bool },
    /// It is pushed back at once.
    Back { wait: Option<Micros>, why: &'static str },
}

pub struct Gate {
    rng: Rand64,
    watch: Watch,
    known: Marks,
    firsts: Counts,
    retries: Counts,
    /// Clients that came before their time.
    early: Counts,
    /// Until when a client was told to stay away, as marks of its promised seconds would be too coarse: a
    /// count of pushbacks that have not been followed yet.
    told: Counts,
    advice: Advice,
    tokens: f64,
    filled: Micros,
    pace: f64,
    paced: Micros,
    importance: f64,
    let_in: u64,
    sent_back: u64,
}

impl Gate {
    pub fn new(now: Micros, seed: u64) -> Self {
        let counts = || Counts::new(now, HALF_LIFE);
        Gate {
            rng: Rand64::new(u128::from(seed)),
            watch: Watch::new(now),
            known: Marks::new(now, KNOWN),
            firsts: counts(),
            retries: counts(),
            early: counts(),
            told: counts(),
            advice: Advice::default(),
            tokens: 0.0,
            filled: now,
            pace: 0.0,
            paced: now,
            importance: 0.0,
            let_in: 0,
            sent_back: 0,
        }
    }

    /// Jobs a second that the fleet has lately finished at its best, as far as this router sees.
    pub fn pace(&self, now: Micros) -> f64 {
        let aged = self.pace * (1.0 - FORGETS).powf((now - self.paced) as f64 / 1e6);
        let pace = aged.max(self.watch.finished.per_s(now));
        if pace > 0.0 { pace } else { PACE_UNKNOWN }
    }

    pub fn arrive(&mut self, now: Micros, arrival: &Arrival) -> Passage {
        let known = self.known.mark(now, arrival.name);
        let retry = arrival.retry || known;
        let client = arrival.client;
        let tries = if retry { self.retries.add(now, client) } else { self.firsts.add(now, client) };
        self.watch.arrival(now, retry, if retry { f64::from(tries) } else { 0.0 });
        self.importance += 0.01 * (arrival.importance - self.importance);
        let over = retry && tries > RETRIES_FREE + RETRIES_EARNED * self.firsts.of(now, client);
        let passage = match self.watch.called() {
            Called::Calm | Called::Jump | Called::Slow => Passage::In { retry },
            Called::Loop if over => self.back(now, arrival, "retry-budget"),
            Called::Loop => Passage::In { retry },
            Called::Storm => self.admit(now, arrival, retry, over),
        };
        match passage {
            Passage::In { .. } => self.let_in += 1,
            Passage::Back { .. } => self.sent_back += 1,
        }
        passage
    }

    /// In a storm as many go in as the fleet finishes; first tries before retries, importance before the
    /// rest.
    fn admit(&mut self, now: Micros, arrival: &Arrival, retry: bool, over: bool) -> Passage {
        let pace = self.pace(now) * PROBES;
        let most = (pace * BURST / 1e6).max(1.0);
        self.tokens = (self.tokens + pace * (now - self.filled) as f64 / 1e6).min(most);
        self.filled = now;
        let less = arrival.importance < self.importance;
        let part = |when: bool, part: f64| if when { part } else { 0.0 };
        let kept = part(retry, FOR_FIRSTS) + part(less, FOR_IMPORTANT) + part(over, FOR_FOLLOWERS);
        if self.tokens >= (1.0 + most * kept).min(most) {
            self.tokens -= 1.0;
            return Passage::In { retry };
        }
        self.back(now, arrival, if over { "retry-budget" } else { "storm" })
    }

    fn back(&mut self, now: Micros, arrival: &Arrival, why: &'static str) -> Passage {
        Passage::Back { wait: self.come_back(now, arrival.client, arrival.left), why }
    }

    /// When a client that is pushed back, here or by the module, should come back.
    pub fn come_back(&mut self, now: Micros, client: u64, left: Micros) -> Option<Micros> {
        // One that has been told and is here again within a moment did not follow.
        if self.told.add(now, client) > 2.0 {
            self.early.add(now, client);
        }
        let ignored = self.early.of(now, client).floor() as u32;
        let pace = self.pace(now) * ADVISED;
        let chance = self.rng.rand_float();
        self.advice.wait(now, pace, left, ignored, chance)
    }

    /// A job's end: `finished`, or pushed back by the module; a kill is neither.
    pub fn ended(&mut self, now: Micros, finished: bool, pushed_back: bool) {
        if finished {
            self.watch.finished.add(now);
            let aged = self.pace * (1.0 - FORGETS).powf((now - self.paced) as f64 / 1e6);
            self.pace = aged.max(self.watch.finished.per_s(now));
            self.paced = now;
        }
        if pushed_back {
            self.watch.pushed_back.add(now);
        }
    }

    pub fn watch(&self) -> &Watch {
        &self.watch
    }

    /// Let in and sent back since the start, and µs to the end of the line of those told to come back.
    pub fn sums(&self, now: Micros) -> (u64, u64, Micros) {
        (self.let_in, self.sent_back, self.advice.line(now))
    }
}
