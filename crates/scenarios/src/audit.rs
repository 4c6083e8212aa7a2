//! The audit: judges the rules from what test doubles and clients saw on their sockets, and from nothing
//! else.
use applepond_fakes::ledger::{Event, Observation};
use applepond_reactor::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// µs by which an answer may come after its client's deadline: the clocks of two processes and one wake-up.
const ANSWER_SLACK: Micros = 100_000;
/// µs around a kill in which what breaks off is put down to it.
const KILL_SLACK: Micros = 300_000;
/// µs by which a notice or a repeat may be late through the machine's own pauses.
const PAUSE_SLACK: Micros = 150_000;
/// Limit of breaches of one rule that are described; the count goes on.
const MAX_DESCRIBED: usize = 5;

/// What a second attempt of an event's request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// No harm.
    Idempotent,
    /// No harm in the same rack within the window.
    Keyed,
    /// Harm.
    AtMostOnce,
}

/// When a router was dead by the scenario's own hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Index of the router.
    pub router: u64,
    /// When it was killed.
    pub from: Micros,
    /// When it was there again.
    pub until: Micros,
}

impl Outage {
    /// Whether an exchange with this router, from `asked` to `at`, may have been broken off by the kill.
    fn explains(&self, router: u64, asked: Micros, at: Micros) -> bool {
        self.router == router && asked <= self.until + KILL_SLACK && at + KILL_SLACK >= self.from
    }
}

/// What the audit knows beside the ledger: the terms, not what the routers say.
pub struct Terms {
    /// µs after a notice of drain from which nothing new may come.
    pub grace: Micros,
    /// µs for which a rack drops repeats.
    pub window: Micros,
    /// The effect of each event.
    pub effects: BTreeMap<Event, Effect>,
    /// When routers were dead.
    pub outages: Vec<Outage>,
    /// When the scenario ended: what may still be answered after it is no breach.
    pub end: Micros,
}

/// The audit's judgement.
#[derive(Debug, Default)]
pub struct Verdict {
    /// By rule, how often it was broken, and the first breaches in words.
    pub broken: BTreeMap<u8, (usize, Vec<String>)>,
    /// Exchanges of clients with routers.
    pub exchanges: usize,
    /// Attempts begun at workers.
    pub attempts: usize,
    /// Repeats that racks dropped.
    pub dropped_repeats: usize,
    /// Fetches from the store.
    pub fetches: usize,
}

impl Verdict {
    /// Takes a breach of a rule down.
    pub(crate) fn fault(&mut self, rule: u8, what: String) {
        let (count, described) = self.broken.entry(rule).or_default();
        *count += 1;
        if described.len() < MAX_DESCRIBED {
            described.push(what);
        }
    }
}

/// Judges a ledger by these terms.
pub fn judge(ledger: &[(Micros, Observation)], terms: &Terms) -> Verdict {
    let mut verdict = Verdict::default();
    answers(ledger, terms, &mut verdict);
    effects(ledger, terms, &mut verdict);
    drains(ledger, terms, &mut verdict);
    cold(ledger, &mut verdict);
    verdict
}

/// A client's exchange with a router.
struct Exchange {
    asked: Micros,
    router: u64,
    deadline: Micros,
    /// It has been answered, or broken off.
    ended: bool,
}

/// Rule 1: one answer to each exchange, in time, nothing after.
fn answers(ledger: &[(Micros, Observation)], terms: &Terms, verdict: &mut Verdict) {
    let mut open: BTreeMap<u64, Exchange> = BTreeMap::new();
    for (at, saw) in ledger {
        match saw {
            Observation::RequestSent { exchange, router, deadline, .. } => {
                verdict.exchanges += 1;
                let asked = Exchange { asked: *at, router: *router, deadline: *deadline, ended: false };
                open.insert(*exchange, asked);
            }
            Observation::ResponseReceived { exchange, status } => {
                let Some(answered) = open.get_mut(exchange) else { continue };
                check_answer(*exchange, answered, *at, *status, verdict);
            }
            Observation::UnexpectedBytes { exchange } => {
                verdict.fault(1, format!("more came after the answer to exchange {exchange}"));
            }
            Observation::ClientLeft { exchange } => {
                open.remove(exchange);
            }
            Observation::ConnectionLost { exchange } | Observation::ClientTimedOut { exchange } => {
                let Some(Exchange { asked, router, ended, .. }) = open.get_mut(exchange) else { continue };
                let is_explained = terms.outages.iter().any(|outage| outage.explains(*router, *asked, *at));
                if !std::mem::replace(ended, true) && !is_explained {
                    verdict.fault(1, format!("exchange {exchange} with router {router} was never answered"));
                }
            }
            _ => {}
        }
    }
    for (exchange, Exchange { router, deadline, ended, .. }) in &open {
        if !ended && deadline + ANSWER_SLACK < terms.end {
            verdict.fault(1, format!("exchange {exchange} with router {router} stayed open"));
        }
    }
}

fn check_answer(number: u64, exchange: &mut Exchange, at: Micros, status: u16, verdict: &mut Verdict) {
    let late = at.saturating_sub(exchange.deadline);
    // One that was asked when its time was as good as up is answered at once, which may be after it.
    if std::mem::replace(&mut exchange.ended, true) {
        verdict.fault(1, format!("exchange {number} was answered twice, then {status}"));
    } else if late > ANSWER_SLACK && at > exchange.asked + ANSWER_SLACK {
        verdict.fault(1, format!("exchange {number} was answered {late} µs after its limit"));
    }
}

/// The arrival of a request at a worker.
#[derive(Clone, Copy)]
struct Arrival {
    at: Micros,
    rack: i64,
}

/// Rule 2: no effect twice, and no rejection of what has run.
fn effects(ledger: &[(Micros, Observation)], terms: &Terms, verdict: &mut Verdict) {
    // By event, the arrival of each attempt that began.
    let mut begun: BTreeMap<&Event, Vec<Arrival>> = BTreeMap::new();
    let mut arrivals: BTreeMap<(&Rc<str>, &Event), Arrival> = BTreeMap::new();
    let mut asked: BTreeMap<u64, &Event> = BTreeMap::new();
    for (at, saw) in ledger {
        match saw {
            Observation::RequestReceived { worker, rack, event, .. } => {
                arrivals.insert((worker, event), Arrival { at: *at, rack: *rack });
            }
            Observation::DuplicateDropped { .. } => verdict.dropped_repeats += 1,
            Observation::ModelFetch { accepted: true } => verdict.fetches += 1,
            Observation::RequestStarted { worker, event } => {
                verdict.attempts += 1;
                let Some(arrival) = arrivals.get(&(worker, event)) else { continue };
                let attempts = begun.entry(event).or_default();
                attempts.push(*arrival);
                check_attempts(event, attempts, terms, verdict);
            }
            Observation::RequestSent { exchange, event, .. } => {
                asked.insert(*exchange, event);
            }
            Observation::ResponseReceived { exchange, status: 503 } => {
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

/// Checks the last of the attempts of an event against the first.
fn check_attempts(event: &Event, attempts: &[Arrival], terms: &Terms, verdict: &mut Verdict) {
    let [first, .., last] = attempts else { return };
    match terms.effects.get(event) {
        Some(Effect::AtMostOnce) => {
            verdict.fault(2, format!("at-most-once job {event} began {} times", attempts.len()));
        }
        Some(Effect::Keyed) if last.rack != first.rack => {
            let racks = format!("racks {} and {}", first.rack, last.rack);
            verdict.fault(2, format!("keyed job {event} began in {racks}"));
        }
        Some(Effect::Keyed) if last.at > first.at + terms.window + PAUSE_SLACK => {
            verdict.fault(2, format!("keyed job {event} was sent again after its window"));
        }
        _ => {}
    }
}

/// Rule 3: nothing new to a draining or gone worker past the grace.
fn drains(ledger: &[(Micros, Observation)], terms: &Terms, verdict: &mut Verdict) {
    let mut notified: BTreeMap<(u64, &Rc<str>), Micros> = BTreeMap::new();
    for (at, saw) in ledger {
        match saw {
            Observation::EndpointSent { router, worker, ready: true, .. } => {
                notified.remove(&(*router, worker));
            }
            Observation::EndpointSent { router, worker, ready: false, .. } => {
                notified.entry((*router, worker)).or_insert(*at);
            }
            Observation::RequestReceived { worker, router, event, .. } => {
                let since = notified.get(&(*router, worker)).map(|since| at - since);
                if let Some(since) = since.filter(|since| *since > terms.grace + PAUSE_SLACK) {
                    let ms = since / 1000;
                    let what = format!("router {router} sent {event} to {worker} {ms} ms after the notice");
                    verdict.fault(3, what);
                }
            }
            _ => {}
        }
    }
}

/// Rule 4: no cold worker overloaded, unless the routers had not been notified that it started.
fn cold(ledger: &[(Micros, Observation)], verdict: &mut Verdict) {
    let mut started: BTreeMap<&Rc<str>, Micros> = BTreeMap::new();
    let mut notified: BTreeMap<(u64, &Rc<str>), Micros> = BTreeMap::new();
    for (at, saw) in ledger {
        match saw {
            Observation::WorkerStarted { worker } => {
                started.insert(worker, *at);
            }
            Observation::EndpointSent { router, worker, ready: true, .. } => {
                notified.insert((*router, worker), *at);
            }
            Observation::WorkerOverloaded { worker, routers } => {
                let since = started.get(worker).copied().unwrap_or(0);
                let knows = |router: &&u64| {
                    notified.get(&(**router, worker)).is_some_and(|notified| *notified >= since)
                };
                let knowing = routers.iter().filter(knows).count();
                if knowing * 3 >= routers.len() * 2 {
                    verdict
                        .fault(4, format!("cold worker {worker} was pushed over by {} jobs", routers.len()));
                }
            }
            _ => {}
        }
    }
}
