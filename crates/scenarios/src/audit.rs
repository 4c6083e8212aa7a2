//! The audit: checks rules 1 to 4 against what the test doubles observed on their sockets. It uses no
//! information from the routers.
use applepond_fakes::ledger::{Event, Observation};
use applepond_reactor::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Tolerance in µs for a response after its client's deadline: two processes' clocks and one wake-up.
const RESPONSE_SLACK: Micros = 100_000;
/// Time in µs around a kill in which lost connections are attributed to it.
const KILL_SLACK: Micros = 300_000;
/// Tolerance in µs for pauses of the host in the checks of drain notices and duplicates.
const PAUSE_SLACK: Micros = 150_000;
/// Limit of breaches described per rule; all are counted.
const MAX_DESCRIBED: usize = 5;

/// The effect of running the request of an event a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Harmless.
    Idempotent,
    /// Harmless in the same rack within the deduplication window.
    Keyed,
    /// Harmful.
    AtMostOnce,
}

/// Time from the kill of a router by the scenario until its restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Index of the router.
    pub router: u64,
    /// When it was killed.
    pub from: Micros,
    /// When it listened again.
    pub until: Micros,
}

impl Outage {
    /// Whether the kill may have broken off an exchange with `router` that lasted from `sent` to `at`.
    fn explains(&self, router: u64, sent: Micros, at: Micros) -> bool {
        self.router == router && sent <= self.until + KILL_SLACK && at + KILL_SLACK >= self.from
    }
}

/// Parameters of the audit.
pub struct Terms {
    /// Time in µs after a drain notice during which routers may still send new requests to the worker.
    pub grace: Micros,
    /// Time in µs for which a rack drops duplicates.
    pub dedup_window: Micros,
    /// Effect of each event.
    pub effects: BTreeMap<Event, Effect>,
    /// Outages of routers.
    pub outages: Vec<Outage>,
    /// End of the scenario. An open exchange is a breach only if its deadline is before it.
    pub end: Micros,
}

/// Result of the audit.
#[derive(Debug, Default)]
pub struct Verdict {
    /// By rule, the number of breaches and a description of the first ones.
    pub broken: BTreeMap<u8, (usize, Vec<String>)>,
    /// Number of exchanges between clients and routers.
    pub exchanges: usize,
    /// Number of attempts started at workers.
    pub attempts: usize,
    /// Number of duplicates dropped by racks.
    pub dropped_duplicates: usize,
    /// Number of fetches accepted by the store.
    pub fetches: usize,
}

impl Verdict {
    /// Records a breach of a rule.
    pub(crate) fn record_breach(&mut self, rule: u8, breach: String) {
        let (count, described) = self.broken.entry(rule).or_default();
        *count += 1;
        if described.len() < MAX_DESCRIBED {
            described.push(breach);
        }
    }
}

/// Audits a ledger.
pub fn judge(ledger: &[(Micros, Observation)], terms: &Terms) -> Verdict {
    let mut verdict = Verdict::default();
    check_responses(ledger, terms, &mut verdict);
    check_effects(ledger, terms, &mut verdict);
    check_drains(ledger, terms, &mut verdict);
    check_cold_workers(ledger, &mut verdict);
    verdict
}

/// An exchange between a client and a router.
struct Exchange {
    sent: Micros,
    router: u64,
    deadline: Micros,
    /// Whether it has got a response or broken off.
    ended: bool,
}

/// Rule 1: each exchange gets exactly one response, in time, and no bytes after it.
fn check_responses(ledger: &[(Micros, Observation)], terms: &Terms, verdict: &mut Verdict) {
    let mut open: BTreeMap<u64, Exchange> = BTreeMap::new();
    for (at, observation) in ledger {
        match observation {
            Observation::RequestSent { exchange, router, deadline, .. } => {
                verdict.exchanges += 1;
                let sent = Exchange { sent: *at, router: *router, deadline: *deadline, ended: false };
                open.insert(*exchange, sent);
            }
            Observation::ResponseReceived { exchange, status } => {
                let Some(state) = open.get_mut(exchange) else { continue };
                check_response(*exchange, state, *at, *status, verdict);
            }
            Observation::UnexpectedBytes { exchange } => {
                verdict
                    .record_breach(1, format!("unexpected bytes after the response to exchange {exchange}"));
            }
            Observation::ClientLeft { exchange } => {
                open.remove(exchange);
            }
            Observation::ConnectionLost { exchange } | Observation::ClientTimedOut { exchange } => {
                let Some(Exchange { sent, router, ended, .. }) = open.get_mut(exchange) else { continue };
                let is_explained = terms.outages.iter().any(|outage| outage.explains(*router, *sent, *at));
                if !std::mem::replace(ended, true) && !is_explained {
                    verdict.record_breach(
                        1,
                        format!("exchange {exchange} with router {router} got no response"),
                    );
                }
            }
            _ => {}
        }
    }
    for (exchange, Exchange { router, deadline, ended, .. }) in &open {
        if !ended && deadline + RESPONSE_SLACK < terms.end {
            verdict.record_breach(
                1,
                format!("exchange {exchange} with router {router} was still open at the end"),
            );
        }
    }
}

fn check_response(number: u64, exchange: &mut Exchange, at: Micros, status: u16, verdict: &mut Verdict) {
    let late = at.saturating_sub(exchange.deadline);
    // A request sent just before its deadline gets an immediate response, which may still come after it.
    if std::mem::replace(&mut exchange.ended, true) {
        verdict.record_breach(1, format!("exchange {number} got a second response, with status {status}"));
    } else if late > RESPONSE_SLACK && at > exchange.sent + RESPONSE_SLACK {
        verdict.record_breach(1, format!("exchange {number} got its response {late} µs after its deadline"));
    }
}

/// The arrival of a request at a worker.
#[derive(Clone, Copy)]
struct Arrival {
    at: Micros,
    rack: i64,
}

/// Rule 2: no effect happens twice, and no request is rejected after it has started.
fn check_effects(ledger: &[(Micros, Observation)], terms: &Terms, verdict: &mut Verdict) {
    // By event, the arrival of each attempt that started.
    let mut started: BTreeMap<&Event, Vec<Arrival>> = BTreeMap::new();
    let mut arrivals: BTreeMap<(&Rc<str>, &Event), Arrival> = BTreeMap::new();
    let mut sent: BTreeMap<u64, &Event> = BTreeMap::new();
    for (at, observation) in ledger {
        match observation {
            Observation::RequestReceived { worker, rack, event, .. } => {
                arrivals.insert((worker, event), Arrival { at: *at, rack: *rack });
            }
            Observation::DuplicateDropped { .. } => verdict.dropped_duplicates += 1,
            Observation::ModelFetch { accepted: true } => verdict.fetches += 1,
            Observation::RequestStarted { worker, event } => {
                verdict.attempts += 1;
                let Some(arrival) = arrivals.get(&(worker, event)) else { continue };
                let attempts = started.entry(event).or_default();
                attempts.push(*arrival);
                check_attempts(event, attempts, terms, verdict);
            }
            Observation::RequestSent { exchange, event, .. } => {
                sent.insert(*exchange, event);
            }
            Observation::ResponseReceived { exchange, status: 503 } => {
                let Some(event) = sent.get(exchange) else { continue };
                let effect = terms.effects.get(*event);
                if effect != Some(&Effect::Idempotent) && started.contains_key(event) {
                    verdict.record_breach(2, format!("request {event} was rejected after it had started"));
                }
            }
            _ => {}
        }
    }
}

/// Checks the latest attempt of an event against the first.
fn check_attempts(event: &Event, attempts: &[Arrival], terms: &Terms, verdict: &mut Verdict) {
    let [first, .., last] = attempts else { return };
    match terms.effects.get(event) {
        Some(Effect::AtMostOnce) => {
            verdict
                .record_breach(2, format!("at-most-once request {event} started {} times", attempts.len()));
        }
        Some(Effect::Keyed) if last.rack != first.rack => {
            let racks = format!("racks {} and {}", first.rack, last.rack);
            verdict.record_breach(2, format!("keyed request {event} started in {racks}"));
        }
        Some(Effect::Keyed) if last.at > first.at + terms.dedup_window + PAUSE_SLACK => {
            verdict.record_breach(
                2,
                format!("keyed request {event} was sent again after its deduplication window"),
            );
        }
        _ => {}
    }
}

/// Rule 3: after the grace, a draining or gone worker receives no new request.
fn check_drains(ledger: &[(Micros, Observation)], terms: &Terms, verdict: &mut Verdict) {
    let mut notified: BTreeMap<(u64, &Rc<str>), Micros> = BTreeMap::new();
    for (at, observation) in ledger {
        match observation {
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
                    let breach = format!("router {router} sent {event} to {worker} {ms} ms after the notice");
                    verdict.record_breach(3, breach);
                }
            }
            _ => {}
        }
    }
}

/// Rule 4: no cold worker is overloaded. An overload counts only if at least two thirds of the requests came
/// from routers that had been notified of the worker's start.
fn check_cold_workers(ledger: &[(Micros, Observation)], verdict: &mut Verdict) {
    let mut started: BTreeMap<&Rc<str>, Micros> = BTreeMap::new();
    let mut notified: BTreeMap<(u64, &Rc<str>), Micros> = BTreeMap::new();
    for (at, observation) in ledger {
        match observation {
            Observation::WorkerStarted { worker } => {
                started.insert(worker, *at);
            }
            Observation::EndpointSent { router, worker, ready: true, .. } => {
                notified.insert((*router, worker), *at);
            }
            Observation::WorkerOverloaded { worker, routers } => {
                let since = started.get(worker).copied().unwrap_or(0);
                let is_notified = |router: &&u64| {
                    notified.get(&(**router, worker)).is_some_and(|notified| *notified >= since)
                };
                let notified_count = routers.iter().filter(is_notified).count();
                if notified_count * 3 >= routers.len() * 2 {
                    verdict.record_breach(
                        4,
                        format!("cold worker {worker} was overloaded by {} requests", routers.len()),
                    );
                }
            }
            _ => {}
        }
    }
}
