//! The auditor: judges the five rules from what stand-ins and clients saw on their sockets, and from nothing
//! else.
use applepond_fakes::ledger::{Event, Saw};
use applepond_reactor::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// µs by which an answer may come after its client's time was up: the clocks of two processes and one wake.
const SLACK: Micros = 100_000;
/// µs around a kill in which what breaks off is put down to it.
const KILL_SLACK: Micros = 300_000;
/// µs by which a notice or a repeat may be late through the machine's own pauses.
const PAUSES: Micros = 150_000;
/// Faults told of one rule at most; the count goes on.
const TOLD: usize = 5;

/// What a second attempt of an event's request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Keyed,
    AtMostOnce,
}

/// What the auditor is told beside the ledger: the terms, not the routers' word.
pub struct Terms {
    pub grace: Micros,
    pub window: Micros,
    pub effects: BTreeMap<Event, Effect>,
    /// Router, from, until: when a router was dead by the drill's own hand.
    pub kills: Vec<(u64, Micros, Micros)>,
    /// When the drill ended: what may still be answered after it is no fault.
    pub end: Micros,
}

#[derive(Debug, Default)]
pub struct Verdict {
    /// By rule, how often broken and the first faults in words.
    pub broken: BTreeMap<u8, (usize, Vec<String>)>,
    pub exchanges: usize,
    pub attempts: usize,
    pub dropped_repeats: usize,
    pub fetches: usize,
}

impl Verdict {
    pub(crate) fn fault(&mut self, rule: u8, what: String) {
        let (count, told) = self.broken.entry(rule).or_default();
        *count += 1;
        if told.len() < TOLD {
            told.push(what);
        }
    }
}

pub fn judge(ledger: &[(Micros, Saw)], terms: &Terms) -> Verdict {
    let mut verdict = Verdict::default();
    answers(ledger, terms, &mut verdict);
    effects(ledger, terms, &mut verdict);
    drains(ledger, terms, &mut verdict);
    cold(ledger, &mut verdict);
    verdict
}

/// Rule 1: one answer to each exchange, in time, nothing after.
fn answers(ledger: &[(Micros, Saw)], terms: &Terms, verdict: &mut Verdict) {
    // Exchange: when asked, whom, until when, and whether it has come to its end.
    let mut open: BTreeMap<u64, (Micros, u64, Micros, bool)> = BTreeMap::new();
    let dead = |router: u64, asked: Micros, at: Micros| {
        let around = |(r, from, until): &(u64, Micros, Micros)| {
            *r == router && asked <= until + KILL_SLACK && at + KILL_SLACK >= *from
        };
        terms.kills.iter().any(around)
    };
    for (at, saw) in ledger {
        match saw {
            Saw::Asked { exchange, router, limit, .. } => {
                verdict.exchanges += 1;
                open.insert(*exchange, (*at, *router, *limit, false));
            }
            Saw::Answered { exchange, status } => {
                let Some((asked, _, limit, ended)) = open.get_mut(exchange) else { continue };
                let late = at.saturating_sub(*limit);
                // One that was asked when its time was as good as up is answered at once, which may be after
                // it.
                if std::mem::replace(ended, true) {
                    verdict.fault(1, format!("exchange {exchange} was answered twice, then {status}"));
                } else if late > SLACK && *at > *asked + SLACK {
                    verdict.fault(1, format!("exchange {exchange} was answered {late} µs after its limit"));
                }
            }
            Saw::Stray { exchange } => {
                verdict.fault(1, format!("more came after the answer to exchange {exchange}"));
            }
            Saw::Left { exchange } => {
                open.remove(exchange);
            }
            Saw::Cut { exchange } | Saw::GaveUp { exchange } => {
                let Some((asked, router, _, ended)) = open.get_mut(exchange) else { continue };
                if !std::mem::replace(ended, true) && !dead(*router, *asked, *at) {
                    verdict.fault(1, format!("exchange {exchange} with router {router} was never answered"));
                }
            }
            _ => {}
        }
    }
    for (exchange, (_, router, limit, ended)) in &open {
        if !ended && limit + SLACK < terms.end {
            verdict.fault(1, format!("exchange {exchange} with router {router} stayed open"));
        }
    }
}

/// Rule 2: no effect twice, and no pushback of what has run.
fn effects(ledger: &[(Micros, Saw)], terms: &Terms, verdict: &mut Verdict) {
    // Event: for each beginning, when its request came, and the rack.
    let mut begun: BTreeMap<&Event, Vec<(Micros, i64)>> = BTreeMap::new();
    let mut came: BTreeMap<(&Rc<str>, &Event), (Micros, i64)> = BTreeMap::new();
    let mut asked: BTreeMap<u64, &Event> = BTreeMap::new();
    for (at, saw) in ledger {
        match saw {
            Saw::Came { worker, rack, event, .. } => {
                came.insert((worker, event), (*at, *rack));
            }
            Saw::Dropped { .. } => verdict.dropped_repeats += 1,
            Saw::Fetch { taken: true } => verdict.fetches += 1,
            Saw::Began { worker, event } => {
                verdict.attempts += 1;
                let Some(now) = came.get(&(worker, event)) else { continue };
                let before = begun.entry(event).or_default();
                before.push(*now);
                let (first, rack) = before[0];
                let times = before.len();
                match terms.effects.get(event) {
                    Some(Effect::AtMostOnce) if times > 1 => {
                        verdict.fault(2, format!("at-most-once job {event} began {times} times"));
                    }
                    Some(Effect::Keyed) if now.1 != rack => {
                        verdict.fault(2, format!("keyed job {event} began in racks {rack} and {}", now.1));
                    }
                    Some(Effect::Keyed) if now.0 > first + terms.window + PAUSES => {
                        verdict.fault(2, format!("keyed job {event} was sent again after its window"));
                    }
                    _ => {}
                }
            }
            Saw::Asked { exchange, event, .. } => {
                asked.insert(*exchange, event);
            }
            Saw::Answered { exchange, status: 503 } => {
                let Some(event) = asked.get(exchange) else { continue };
                let effect = terms.effects.get(*event);
                if effect != Some(&Effect::Idempotent) && begun.contains_key(event) {
                    verdict.fault(2, format!("job {event} was pushed back after it had begun"));
                }
            }
            _ => {}
        }
    }
}

/// Rule 3: nothing new to a draining or gone worker past the grace.
fn drains(ledger: &[(Micros, Saw)], terms: &Terms, verdict: &mut Verdict) {
    let mut told: BTreeMap<(u64, &Rc<str>), Micros> = BTreeMap::new();
    for (at, saw) in ledger {
        match saw {
            Saw::Told { router, worker, ready: true, .. } => {
                told.remove(&(*router, worker));
            }
            Saw::Told { router, worker, ready: false, .. } => {
                told.entry((*router, worker)).or_insert(*at);
            }
            Saw::Came { worker, router, event, .. } => {
                let since = told.get(&(*router, worker)).map(|since| at - since);
                if let Some(since) = since.filter(|since| *since > terms.grace + PAUSES) {
                    let ms = since / 1000;
                    let what = format!("router {router} sent {event} to {worker} {ms} ms after the notice");
                    verdict.fault(3, what);
                }
            }
            _ => {}
        }
    }
}

/// Rule 4: no cold worker pushed over, but for those that the routers had not been told of.
fn cold(ledger: &[(Micros, Saw)], verdict: &mut Verdict) {
    let mut rose: BTreeMap<&Rc<str>, Micros> = BTreeMap::new();
    let mut told: BTreeMap<(u64, &Rc<str>), Micros> = BTreeMap::new();
    for (at, saw) in ledger {
        match saw {
            Saw::Rose { worker } => {
                rose.insert(worker, *at);
            }
            Saw::Told { router, worker, ready: true, .. } => {
                told.insert((*router, worker), *at);
            }
            Saw::Fell { worker, by } => {
                let since = rose.get(worker).copied().unwrap_or(0);
                let knew =
                    by.iter().filter(|r| told.get(&(**r, worker)).is_some_and(|at| *at >= since)).count();
                if knew * 3 >= by.len() * 2 {
                    verdict.fault(4, format!("cold worker {worker} was pushed over by {} jobs", by.len()));
                }
            }
            _ => {}
        }
    }
}
