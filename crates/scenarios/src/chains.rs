//! Chains on one clock: booking desks that have the routers run whole chains, beside desks that call the same
//! steps one by one with fixed limits, at the same load.
use crate::audit::{Effect, Terms, Verdict, judge};
use crate::day::{self, Day, HALLS, Part};
use crate::fault::Unplayed;
use crate::process::{Plan, start};
use applepond_fakes::client::{Client, Follow, Got, Planned};
use applepond_fakes::hosts::Hosts;
use applepond_fakes::ledger::{Event, Ledger, Saw};
use applepond_fakes::store::Store;
use applepond_reactor::{Micros, Reactor};
use applepond_storage::{DiskStore, WorkflowStore};
use oorandom::Rand64;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// µs of arrivals; the first `LOADS` are not counted, as all functions load then.
const LENGTH: Micros = 14 * S;
const LOADS: Micros = 3 * S;
/// µs that a chain has in all.
const LIMIT: Micros = 2 * S;
/// µs past a chain's time up to which a step may still be seen running: the end of its connection travels,
/// and the machine pauses.
const GRACE: Micros = 150 * MS;
/// Steps that a chain takes on average, and µs of one: what the fleet can do at load 1.
const STEPS: f64 = 3.3;
const WORK: u64 = 60;
/// µs after which a desk that was told nothing better asks again.
const AGAIN: Micros = 500 * MS;
/// µs between two kills on average, and from a kill until the router is started again.
const KILL_EVERY: Micros = 800 * MS;
const DEAD: Micros = 200 * MS;
/// The plan that is played where no other is given.
pub const PLAN: &str = include_str!("../plans/booking.hcl");

pub struct Order<'a> {
    pub plan: &'a Plan,
    /// Times what the fleet can do.
    pub load: f64,
    /// `chain` blocks; the desks ask for type `book`.
    pub chains: &'a str,
    /// Whether the desks call the steps one by one instead.
    pub plain: bool,
    /// How often a router is killed, one after the other, at moments of chance, and started again.
    pub kills: usize,
    /// Of the workloads of the three kinds of steps.
    pub importance: [u64; 3],
}

#[derive(Default)]
pub struct Report {
    pub verdict: Verdict,
    /// Chains that came after the first seconds, and those of them that finished in time.
    pub chains: usize,
    pub finished: usize,
    /// Steps begun at workers.
    pub steps: usize,
    pub got: BTreeMap<Got, usize>,
    /// Chains without an answer of which a step with an effect began, and those of them that are on record.
    pub unanswered: (usize, usize),
}

/// The next step of a desk that calls them one by one: a third of the time each, unused time is lost.
/// `price` is what the first step said.
fn next(p: &Planned, spent: Micros, said: &serde_json::Value, price: &serde_json::Value) -> Option<Planned> {
    let (id, step) = p.id.rsplit_once('/')?;
    let then = |step: &str, kind: &'static str, function: &str| Planned {
        id: format!("{id}/{step}"),
        kind,
        function: price[function].as_str().unwrap_or("hold-hut-1").to_owned(),
        limit: (spent + LIMIT / 3).min(LIMIT),
        idempotent: false,
        keyed: kind == "hold",
        ..p.clone()
    };
    match step {
        "price" => Some(then("beds", "hold", "hut")),
        "beds" if said["free"] == false => Some(then("second", "hold", "other")),
        "beds" | "second" => Some(then("confirm", "confirm", "desk")),
        _ => None,
    }
}

/// µs of arrivals.
fn length(order: &Order<'_>) -> Micros {
    LENGTH.max(order.kills as Micros * KILL_EVERY)
}

fn desks(order: &Order<'_>, begin: Micros) -> Vec<Planned> {
    let mut rng = Rand64::new(u128::from(order.plan.seed));
    // Two cores a worker, see `day::build`.
    let rate = order.load * order.plan.workers as f64 * 2.0 * 1000.0 / WORK as f64 / STEPS;
    let prices: RefCell<BTreeMap<String, serde_json::Value>> = RefCell::default();
    let follow: Follow = Rc::new(move |p, spent, answer| {
        let said: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let chain = p.id.rsplit_once('/')?.0.to_owned();
        let mut prices = prices.borrow_mut();
        let price = prices.entry(chain).or_insert_with(|| said.clone());
        next(p, spent, &said, price)
    });
    let (mut at, mut desks) = (begin, Vec::new());
    while at < begin + length(order) {
        at += (-(1.0 - rng.rand_float()).ln() / rate * S as f64) as Micros + 1;
        let n = desks.len();
        desks.push(Planned {
            at,
            source: format!("/desks/{}", rng.rand_range(0..40)),
            id: if order.plain { format!("chain-{n}/price") } else { format!("chain-{n}") },
            kind: if order.plain { "quote" } else { "book" },
            function: format!("quote-hut-{}", rng.rand_range(1..13)),
            customer: if rng.rand_float() < 0.6 { "snezka" } else { "labska" },
            work_ms: rng.rand_range(WORK - 20..WORK + 20),
            limit: if order.plain { LIMIT / 3 } else { LIMIT },
            target: LIMIT,
            // A chain may be asked for again where it may have begun: there it joins, or goes on by its
            // record.
            idempotent: true,
            keyed: false,
            structured: false,
            router: rng.rand_range(0..order.plan.routers as u64) as usize,
            tries: u32::MAX,
            stays: Some(AGAIN),
            ignores: false,
            twin_after: (rng.rand_float() < 0.05).then(|| rng.rand_range(1..200) * MS),
            leaves_after: None,
            opening: None,
            follow: order.plain.then(|| follow.clone()),
        });
    }
    desks
}

/// Plays it. An error is a fault of the files or processes, in words.
pub fn chains(order: &Order<'_>, folder: &Path, progress: &mut dyn FnMut(&str)) -> Result<Report, Unplayed> {
    let told = |e: std::io::Error| Unplayed::machine(folder.display(), e);
    let epoll = |e: std::io::Error| Unplayed::machine("epoll", e);
    std::fs::create_dir_all(folder).map_err(told)?;
    let plan = order.plan;
    let mut reactor = Reactor::new().map_err(epoll)?;
    let begin = reactor.now() + 1_500 * MS;
    let end = begin + length(order) + LIMIT + S + if plan.plant.is_some() { 6 * S } else { 0 };
    let (store_at, hosts_at) = (day::address(0, 250), day::address(0, 251));
    let ledger = Ledger::default();
    reactor.add(Box::new(Store::new(store_at, 150 * MS, 24, ledger.clone())));
    let part = |n| Part {
        build: day::build(n, n % HALLS, store_at, plan.seed, format!("w{n}")),
        hall: n % HALLS,
        script: Vec::new(),
        standing: Vec::new(),
        from_start: true,
    };
    let day = Day {
        parts: (0..plan.workers).map(part).collect(),
        requests: desks(order, begin),
        store_stop: (0, 0),
        kill: (0, 0, 0),
        late_list: (0, 0),
        silence: (0, 0),
        story: Vec::new(),
    };
    for worker in day.workers(&ledger) {
        reactor.add(Box::new(worker));
    }
    let (rows, changes) = day.list();
    reactor.add(Box::new(Hosts::new(hosts_at, rows, changes, ledger.clone())));
    let mut routers = Vec::new();
    for me in 0..plan.routers {
        let record = folder.join(format!("record-{me}"));
        // The rows of the drill's workloads follow; chains name them. Records outlive the drill: it looks at
        // them.
        let more = format!("record = \"{}\"\nbounds {{\n  remember_for = \"600s\"\n}}\n", record.display());
        let text = Day::settings(
            me,
            plan.routers,
            plan.workers,
            plan.seed,
            hosts_at,
            4 * S,
            order.importance,
            &more,
        );
        let file = folder.join(format!("router-{me}.hcl"));
        std::fs::write(&file, text + order.chains).map_err(told)?;
        routers.push(Some(start(plan, file)?));
    }
    let addresses = Rc::new(RefCell::new(routers.iter().flatten().map(|r| r.at).collect()));
    let (client, results) = Client::new(day.requests.clone(), addresses, ledger.clone());
    reactor.add(Box::new(client));
    let mut rng = Rand64::new(u128::from(plan.seed) << 32);
    let mut kills: Vec<(u64, Micros, Micros)> = Vec::new();
    let mut next_kill = begin + S;
    let mut told_at = 0;
    while reactor.now() < end {
        reactor.turn(Duration::from_millis(20)).map_err(epoll)?;
        let now = reactor.now();
        for (n, router) in routers.iter_mut().enumerate().filter(|(_, r)| r.is_none()) {
            let kill = kills.iter_mut().rev().find(|(r, _, _)| *r == n as u64);
            if let Some(kill) = kill.filter(|(_, at, _)| now >= at + DEAD) {
                *router = Some(start(plan, folder.join(format!("router-{n}.hcl")))?);
                kill.2 = reactor.now();
            }
        }
        if kills.len() < order.kills && now >= next_kill {
            let n = rng.rand_range(0..routers.len() as u64) as usize;
            if routers[n].take().is_some() {
                kills.push((n as u64, now, Micros::MAX));
            }
            next_kill = now + KILL_EVERY / 2 + rng.rand_range(0..KILL_EVERY);
        }
        if now >= told_at + 5 * S {
            told_at = now;
            let at = now.saturating_sub(begin) / S;
            let done = results.borrow().done;
            progress(&format!("{at:>4} s  {done} of {} chains, {} kills", day.requests.len(), kills.len()));
        }
    }
    drop(routers);
    let mut effects = BTreeMap::new();
    let mut until: BTreeMap<String, Micros> = BTreeMap::new();
    for request in &day.requests {
        let id = request.id.strip_suffix("/price").unwrap_or(&request.id);
        let chain = format!("{} {id}", request.source);
        for (step, effect) in [
            ("price", Effect::Idempotent),
            ("beds", Effect::Keyed),
            ("second", Effect::Keyed),
            ("confirm", Effect::AtMostOnce),
        ] {
            effects.insert(Event::from(format!("{chain}/{step}")), effect);
        }
        until.insert(chain, request.at + LIMIT);
    }
    let terms = Terms { grace: day::GRACE, window: day::WINDOW, effects, kills, end };
    let mut report = Report::default();
    report.verdict = ledger.read(|seen| {
        let mut verdict = judge(seen, &terms);
        on_time(seen, &until, &mut verdict);
        verdict
    });
    report.steps = report.verdict.attempts;
    for (request, (got, _)) in day.requests.iter().zip(&results.borrow().got) {
        if request.at >= begin + LOADS {
            report.chains += 1;
            report.finished += usize::from(*got == Got::Finished);
        }
        *report.got.entry(*got).or_default() += 1;
    }
    let mut records = Vec::new();
    for me in (0..plan.routers).filter(|_| order.kills > 0) {
        records.push(DiskStore::open(&folder.join(format!("record-{me}")))?);
    }
    let mut lasting = BTreeSet::new();
    ledger.read(|seen| {
        for (_, saw) in seen {
            if let Saw::Began { event, .. } = saw
                && let Some((chain, step)) = event.rsplit_once('/')
                && step != "price"
            {
                lasting.insert(chain.to_owned());
            }
        }
    });
    for (request, (got, _)) in day.requests.iter().zip(&results.borrow().got) {
        let answered = !matches!(got, Got::Nothing | Got::Broken);
        if order.plain || answered || !lasting.contains(&format!("{} {}", request.source, request.id)) {
            continue;
        }
        report.unanswered.0 += 1;
        let on_record =
            records.iter_mut().any(|r| matches!(r.load((&request.source, &request.id)), Ok(Some(_))));
        report.unanswered.1 += usize::from(on_record);
    }
    Ok(report)
}

/// Rule 6: no step begun or running past its chain's time; what takes steps back has its own.
pub fn on_time(seen: &[(Micros, Saw)], until: &BTreeMap<String, Micros>, verdict: &mut Verdict) {
    for (at, saw) in seen {
        let (event, what) = match saw {
            Saw::Began { event, .. } => (event, "begun"),
            Saw::Done { event, .. } => (event, "still running"),
            _ => continue,
        };
        let Some((chain, step)) = event.rsplit_once('/') else { continue };
        let late = until.get(chain).map(|until| at.saturating_sub(*until));
        if let Some(late) = late.filter(|late| *late > GRACE && !step.starts_with("release")) {
            verdict.fault(6, format!("step {event} was {what} {} ms past its chain's time", late / MS));
        }
    }
}
