//! What stands before the module while a storm lasts: who goes in, who is told to come back, and when.
use crate::Micros;
use crate::advice::Advice;
use crate::doors::Doors;
use crate::promise::{Kept, Promises};
use crate::room::Room;
use crate::sketch::{Counts, Marks};
use crate::watch::{Called, Watch};
use oorandom::Rand64;

/// µs in which a client's tries lose half their weight.
const HALF_LIFE: Micros = 10_000_000;
/// µs for which a request's name is known: longer than any deadline.
const KNOWN: Micros = 60_000_000;
/// Retries that a client has in any case, and a first try earns on top: the usual fifth of retry budgets.
const RETRIES_FREE: f32 = 3.0;
const RETRIES_EARNED: f32 = 0.2;
/// µs of the pace that may be saved up for a burst.
const BURST: f64 = 500_000.0;
/// Part of that which retries leave to first tries, and little importance to the rest.
const FOR_FIRSTS: f64 = 0.5;
/// The same for a retry that comes when it was told to: it was promised its turn.
const FOR_FIRSTS_TOLD: f64 = 0.25;
const FOR_IMPORTANT: f64 = 0.2;
/// Part that a client over its budget, or before its time, leaves to all others. It is let in behind them
/// rather than never: a request that could be done and is not keeps coming back, and the storm lasts
/// (measured: 29 s instead of 11).
const FOR_FOLLOWERS: f64 = 0.3;
/// Part of the pace that a storm's advice hands out: the rest is for those who come of themselves.
const ADVISED: f64 = 0.7;
/// Times the pace that goes in at first: what was finished before was what was asked for, and there may be
/// room for more.
const PROBES: f64 = 1.5;
/// Part of what may go in that is open to those behind all others: what they would probe with is taken from
/// those that follow.
const FOR_ALL: f64 = 0.7;
/// µs of that which may be saved up: they come at once whenever they can, and all of it would be a burst.
const BURST_FOR_ALL: f64 = 50_000.0;
/// Part a second by which the best pace seen is forgotten: what the fleet did before the storm is what it can
/// do.
const FORGETS: f64 = 0.005;
/// Jobs a second taken for the pace before any has finished.
const PACE_UNKNOWN: f64 = 50.0;

/// One request on its way in.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Digest of who asks.
    pub client: u64,
    /// Digest of the request's name.
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
    /// Times told, by request.
    promises: Promises,
    doors: Doors,
    advice: Advice,
    tokens: f64,
    /// What the others leave of the pace itself, without what goes in beyond it to probe.
    spare: f64,
    filled: Micros,
    /// What goes in, found by what the module pushes back.
    room: Room,
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
            promises: Promises::default(),
            doors: Doors::new(now),
            advice: Advice::default(),
            tokens: 0.0,
            spare: 0.0,
            filled: now,
            room: Room::default(),
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
        let kept = self.promises.came(now, arrival.name);
        match kept {
            Kept::Untold => {}
            Kept::Followed => self.watch.followed.add(now),
            Kept::Early => {
                self.watch.early.add(now);
                // Its first time only: later ones were given no turn.
                if self.early.add(now, client) < 2.0 {
                    let pace = self.advised(now);
                    self.advice.given_up(now, pace);
                }
            }
        }
        self.watch.arrival(now, retry, if retry { f64::from(tries) } else { 0.0 });
        self.importance += 0.01 * (arrival.importance - self.importance);
        let over = retry && tries > RETRIES_FREE + RETRIES_EARNED * self.firsts.of(now, client);
        let passage = match self.watch.called() {
            Called::Calm | Called::Jump | Called::Slow => Passage::In { retry },
            Called::Loop if over => self.back(now, arrival, "retry-budget"),
            Called::Loop => Passage::In { retry },
            Called::Storm => self.admit(now, arrival, retry, over, kept),
        };
        match passage {
            Passage::In { .. } => self.let_in += 1,
            Passage::Back { .. } => self.sent_back += 1,
        }
        passage
    }

    /// What times are given out for.
    fn advised(&self, now: Micros) -> f64 {
        let found = if self.room.in_use(now) { self.room.last() / PROBES } else { 0.0 };
        found.max(self.pace(now)) * ADVISED
    }

    /// In a storm as many go in as the fleet finishes; first tries before retries, those that keep their time
    /// before those that do not, importance before the rest.
    fn admit(&mut self, now: Micros, arrival: &Arrival, retry: bool, over: bool, kept: Kept) -> Passage {
        let (finishes, since) = (self.pace(now), (now - self.filled) as f64 / 1e6);
        let pace = self.room.allowed(now, finishes, PROBES, 1.0);
        let most = (pace * BURST / 1e6).max(1.0);
        self.tokens = (self.tokens + pace * since).min(most);
        let spare_most = (pace * BURST_FOR_ALL / 1e6).max(1.0);
        self.spare = (self.spare + FOR_ALL * pace * since).clamp(-spare_most, spare_most);
        self.filled = now;
        let less = arrival.importance < self.importance;
        let part = |when: bool, part: f64| if when { part } else { 0.0 };
        // Who comes when told to is within any budget.
        let (for_firsts, behind) = match kept {
            Kept::Followed => (FOR_FIRSTS_TOLD, false),
            Kept::Untold => (FOR_FIRSTS, over),
            Kept::Early => (FOR_FIRSTS, true),
        };
        let left = part(retry, for_firsts) + part(less, FOR_IMPORTANT) + part(behind, FOR_FOLLOWERS);
        if self.tokens >= (1.0 + most * left).min(most) && (!behind || self.spare >= 1.0) {
            self.tokens -= 1.0;
            self.spare -= 1.0;
            return Passage::In { retry };
        }
        self.room.want();
        self.back(now, arrival, if over { "retry-budget" } else { "storm" })
    }

    fn back(&mut self, now: Micros, arrival: &Arrival, why: &'static str) -> Passage {
        Passage::Back { wait: self.come_back(now, arrival.client, arrival.name, arrival.left), why }
    }

    /// When the request `name` of a client, pushed back here or by the module, should come back.
    pub fn come_back(&mut self, now: Micros, client: u64, name: u64, left: Micros) -> Option<Micros> {
        let ignored = self.early.of(now, client).floor() as u32;
        let pace = self.advised(now);
        let chance = self.rng.rand_float();
        let wait = self.advice.wait(now, pace, left, ignored, chance)?;
        self.promises.told(name, now + wait);
        Some(wait)
    }

    /// The module itself named a time to a request that it pushed back.
    pub fn told(&mut self, name: u64, until: Micros) {
        self.promises.told(name, until);
    }

    /// A connection was taken: for how long none is to be taken now, if so.
    pub fn connection(&mut self, now: Micros) -> Option<Micros> {
        self.watch.opened.add(now);
        self.doors.taken(now)
    }

    pub fn doors(&self) -> &Doors {
        &self.doors
    }

    /// A request's end: `finished`, or pushed back by the module; a kill is neither.
    pub fn ended(&mut self, now: Micros, finished: bool, pushed_back: bool) {
        if finished {
            self.watch.finished.add(now);
            let aged = self.pace * (1.0 - FORGETS).powf((now - self.paced) as f64 / 1e6);
            self.pace = aged.max(self.watch.finished.per_s(now));
            self.paced = now;
        }
        self.room.ended(finished, pushed_back);
        if pushed_back {
            self.watch.pushed_back.add(now);
        }
    }

    /// What was usual before a restart, and the pace at which the fleet finished requests then.
    pub fn recall(&mut self, now: Micros, (rate, opened): (f64, f64), pace: f64) {
        self.watch.recall(now, rate, opened);
        if self.pace == 0.0 {
            (self.pace, self.paced) = (pace, now);
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
