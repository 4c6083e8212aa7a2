//! One router's parts: what it may spend now, and what it asks for.
use crate::*;
use std::collections::VecDeque;

/// The one record of a budget here.
#[derive(Clone, Debug)]
struct Held {
    row: Row,
    /// Above the floor, until then.
    extra: Amount,
    until: Micros,
    /// Millionths of a unit that may be spent at once, as of `at`.
    tokens: u64,
    at: Micros,
    /// Millionths of a unit asked for since the last ask, and a second as told last.
    wanted: u64,
    need: Amount,
}

impl Held {
    fn part(&self, now: Micros, guards: Guards) -> Amount {
        let holds = now < self.until || !guards.looks_when_spent;
        self.row.floor + if holds { self.extra } else { 0 }
    }

    /// Counts what has come since the last look: at the part while the lease held, at the floor after it.
    fn settle(&mut self, now: Micros, guards: Guards) {
        let held = now.min(self.until.max(self.at)).saturating_sub(self.at);
        let held = if guards.looks_when_spent { held } else { now - self.at };
        let of = |part: Amount, time: Micros| (u128::from(part) * u128::from(time) / 1_000_000) as u64;
        let came = of(self.row.floor, now - self.at) + of(self.extra, held);
        self.tokens = (self.tokens + came).min(of(self.part(now, guards), BURST).max(LEAST));
        self.at = now;
    }
}

/// All parts of one process. Budgets go by their place in the settings.
#[derive(Clone, Debug)]
pub struct Holder {
    held: Vec<Held>,
    guards: Guards,
    /// Number of the last ask; numbers only rise.
    asked: u64,
    /// When the last asks went out, the latest last.
    asks: VecDeque<(u64, Micros)>,
    asked_at: Micros,
    /// The ask whose answer is in force.
    turn: u64,
}

impl Holder {
    /// Begins with the floors and empty buckets: a restart mints nothing.
    pub fn new(now: Micros, rows: &[Row]) -> Self {
        let held = |row: &Row| Held {
            row: *row,
            extra: 0,
            until: now,
            tokens: 0,
            at: now,
            wanted: 0,
            need: row.floor,
        };
        let held = rows.iter().map(held).collect();
        let (asks, guards) = (VecDeque::new(), Guards::ALL);
        Holder { held, guards, asked: 0, asks, asked_at: now, turn: 0 }
    }

    /// The same with these guards alone, for tests and drills.
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// What may be spent a second now.
    pub fn part(&self, now: Micros, budget: usize) -> Amount {
        self.held[budget].part(now, self.guards)
    }

    /// µs that the part above the floor holds yet.
    pub fn left(&self, now: Micros, budget: usize) -> Micros {
        self.held[budget].until.saturating_sub(now)
    }

    /// Takes `cost` millionths of a unit if they are there. The one place where a part is spent: a process
    /// that stood still past its lease finds its floor here, whatever waits in its sockets.
    pub fn spend(&mut self, now: Micros, budget: usize, cost: u64) -> bool {
        let held = &mut self.held[budget];
        held.settle(now.max(held.at), self.guards);
        held.wanted = held.wanted.saturating_add(cost);
        let there = held.tokens >= cost;
        held.tokens -= if there { cost } else { 0 };
        there
    }

    /// Asks for the next leases: the number of this ask, the one whose answer is in force, and the need of
    /// each budget, units a second in millionths, smoothed over some asks and told a little above.
    pub fn ask(&mut self, now: Micros) -> (u64, u64, Vec<Amount>) {
        let time = now.saturating_sub(self.asked_at).max(1);
        for held in &mut self.held {
            let now_wanted = (u128::from(held.wanted) * 1_000_000 / u128::from(time)) as u64;
            let told = now_wanted.saturating_add(now_wanted / SPARE).max(held.row.floor);
            // Up at once, down by half of the way: a short pause between two bursts keeps most of its part.
            held.need = if told > held.need { told } else { held.need - (held.need - told) / 2 };
            held.wanted = 0;
        }
        self.asked += 1;
        self.asked_at = now;
        self.asks.push_back((self.asked, now));
        if self.asks.len() > ASKS_MOST {
            self.asks.pop_front();
        }
        (self.asked, self.turn, self.held.iter().map(|h| h.need).collect())
    }

    /// The answer to an ask: what each budget has above its floor. One to an earlier ask than that in force,
    /// or to one that is forgotten, is late and changes nothing.
    pub fn given(&mut self, now: Micros, number: u64, extra: &[Amount]) {
        let Some((_, asked)) = self.asks.iter().find(|(n, _)| *n == number).copied() else { return };
        if number <= self.turn || extra.len() != self.held.len() {
            return;
        }
        self.turn = number;
        for (held, extra) in self.held.iter_mut().zip(extra) {
            held.settle(now.max(held.at), self.guards);
            held.extra = *extra;
            // Guards against a lease that the giver counts as over while this one goes on.
            held.until = if self.guards.from_the_ask { asked } else { now } + LEASE;
            if !self.guards.mints_nothing {
                held.tokens = held.part(now, self.guards) * BURST / 1_000_000;
            }
        }
    }

    /// New settings: a whole or floor that shrinks does so here at once.
    pub fn switch(&mut self, now: Micros, rows: &[Row]) {
        for (held, row) in self.held.iter_mut().zip(rows) {
            held.settle(now.max(held.at), self.guards);
            held.row = *row;
            held.extra = held.extra.min(row.whole.saturating_sub(row.floor));
        }
    }
}
