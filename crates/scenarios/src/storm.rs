//! The retry storm: one hall of three is cut, router, workers and all; its clients keep asking; it comes
//! back, and everything that waited asks at once.
use crate::audit::{Effect, Terms, Verdict, judge};
use crate::day::{self, Day, HALLS, Part};
use crate::fault::Unplayed;
use crate::process::{Plan, start};
use applepond_fakes::client::{Client, Got, Planned};
use applepond_fakes::hosts::Hosts;
use applepond_fakes::ledger::{Event, Ledger, Saw};
use applepond_fakes::store::Store;
use applepond_fakes::worker::{self, Mood};
use applepond_reactor::{Micros, Reactor};
use oorandom::Rand64;
use rustix::process::{Pid, Signal, kill_process};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// µs of ordinary work before the cut: the routers learn what is usual.
const BEFORE: Micros = 12 * S;
/// µs after the hall is back when one more router, in another hall, is killed in the middle of the storm, and
/// until it stands again and knows nothing.
const RESTART: Micros = 3 * S;
const RESTARTED: Micros = S;
/// µs that clients stay with one request: through the cut, or they would give up and not storm.
const LIMIT: Micros = 90 * S;
/// Jobs a second a worker before the cut: a third of what it can do.
const RATE: f64 = 11.0;
const FUNCTIONS: u64 = 30;
/// µs after which a client that was told nothing asks again, and after which one does that ignores all
/// advice.
const ASKS: Micros = S;
const IGNORES: Micros = 100 * MS;
/// Part of the service before the cut at which, held for `HELD` seconds, the fleet has recovered.
const BACK: f64 = 0.95;
const HELD: usize = 3;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Connections hang: processes stand still.
    Hang,
    /// Connections are refused: processes are gone, and come back cold.
    Refuse,
}

/// What the script does to routers.
#[derive(Clone, Copy)]
enum Turn {
    Cut,
    Heal,
    Kill,
    Rise,
}

pub struct Order<'a> {
    pub plan: &'a Plan,
    pub cut: Cut,
    pub seconds: u64,
    pub clients: u64,
    /// Share of the clients that follow no advice.
    pub ignore: f64,
    pub damping: bool,
    /// s watched after the cut.
    pub after: u64,
    /// Restarts one more router in the middle of the storm.
    pub restart: bool,
}

#[derive(Default)]
pub struct Report {
    pub verdict: Verdict,
    /// By second: requests that came, answered in time, and exchanges asked.
    pub seconds: Vec<(usize, usize, usize)>,
    /// Seconds of the cut and of its end.
    pub cut: (usize, usize),
    pub before: f64,
    /// Seconds from the end of the cut until service was back, if it came back.
    pub recovery: Option<usize>,
    pub peak: usize,
    pub pushed_back: usize,
    /// Fetches from the store after the cut, and functions asked for in that time.
    pub fetches: usize,
    pub functions: usize,
    /// Attempts begun for each request answered in time: before the cut, and in the ten seconds after it.
    pub attempts: (f64, f64),
    pub got: BTreeMap<Got, usize>,
}

fn requests(order: &Order<'_>, begin: Micros, end: Micros) -> Vec<Planned> {
    let mut rng = Rand64::new(u128::from(order.plan.seed));
    let harmonic: f64 = (1..=FUNCTIONS).map(|r| 1.0 / r as f64).sum();
    let (mut at, mut requests) = (begin, Vec::new());
    while at < end {
        at += (-(1.0 - rng.rand_float()).ln() / (RATE * order.plan.workers as f64) * S as f64) as Micros + 1;
        let mut draw = rng.rand_float() * harmonic;
        let rank = (1..FUNCTIONS).find(|r| {
            draw -= 1.0 / *r as f64;
            draw <= 0.0
        });
        let kind = ["quote", "quote", "hold", "confirm"][rng.rand_range(0..4) as usize];
        let client = rng.rand_range(0..order.clients);
        requests.push(Planned {
            at,
            source: format!("/client/{client}"),
            id: format!("job-{}", requests.len()),
            kind,
            function: format!("{kind}-hut-{}", rank.unwrap_or(FUNCTIONS)),
            customer: if rng.rand_float() < 0.6 { "snezka" } else { "labska" },
            work_ms: rng.rand_range(30..90),
            limit: LIMIT,
            target: if kind == "confirm" { 750 * MS } else { S },
            idempotent: kind == "quote",
            keyed: kind == "hold",
            structured: false,
            router: client as usize % order.plan.routers,
            tries: u32::MAX,
            stays: Some(if (client as f64) < order.ignore * order.clients as f64 { IGNORES } else { ASKS }),
            ignores: (client as f64) < order.ignore * order.clients as f64,
            twin_after: None,
            leaves_after: None,
            opening: None,
            follow: None,
        });
    }
    requests
}

fn signal(child: &std::process::Child, signal: Signal) {
    if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, signal);
    }
}

/// Plays it; routers stand one in each hall, in turn.
pub fn retry_storm(
    order: &Order<'_>,
    folder: &Path,
    progress: &mut dyn FnMut(&str),
) -> Result<Report, Unplayed> {
    let told = |e: std::io::Error| Unplayed::machine(folder.display(), e);
    let epoll = |e: std::io::Error| Unplayed::machine("epoll", e);
    std::fs::create_dir_all(folder).map_err(told)?;
    let plan = order.plan;
    let mut reactor = Reactor::new().map_err(epoll)?;
    let begin = reactor.now() + 1_500 * MS;
    let (cut, heal) = (begin + BEFORE, begin + BEFORE + order.seconds * S);
    let end = heal + order.after * S;
    let (store_at, hosts_at) = (day::address(0, 250), day::address(0, 251));
    let ledger = Ledger::default();
    reactor.add(Box::new(Store::new(store_at, 150 * MS, 24, ledger.clone())));
    let parts = (0..plan.workers).map(|n| {
        let hall = n % HALLS;
        let struck = hall == 0;
        let script = match order.cut {
            Cut::Hang if struck => {
                vec![(cut, worker::Turn::Mood(Mood::Stall)), (heal, worker::Turn::Mood(Mood::Well))]
            }
            Cut::Refuse if struck => vec![(cut, worker::Turn::Die), (heal, worker::Turn::Rise)],
            _ => Vec::new(),
        };
        // A list knows only whether a process runs: one that hangs stays on it.
        let gone = struck && order.cut == Cut::Refuse;
        let standing = if gone { vec![(cut, "gone"), (heal, "ready")] } else { Vec::new() };
        let build = day::build(n, hall, store_at, plan.seed, format!("w{n}"));
        Part { build, hall, script, standing, from_start: true }
    });
    let day = Day {
        parts: parts.collect(),
        requests: requests(order, begin, end),
        store_stop: (0, 0),
        kill: (0, cut, heal),
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
        let more = format!("damping = {}", order.damping);
        let text =
            Day::settings(me, plan.routers, plan.workers, plan.seed, hosts_at, LIMIT, day::IMPORTANCE, &more);
        let file = folder.join(format!("router-{me}.hcl"));
        std::fs::write(&file, text).map_err(told)?;
        routers.push(Some(start(plan, file)?));
    }
    let addresses: Vec<_> = routers.iter().flatten().map(|r| r.at).collect();
    let addresses = Rc::new(RefCell::new(addresses));
    let (client, results) = Client::new(day.requests.clone(), addresses.clone(), ledger.clone());
    reactor.add(Box::new(client));
    let back = |n: usize, addresses: &[SocketAddr]| {
        // Where it stood before: its clients know no other address.
        let file = folder.join(format!("router-{n}.hcl"));
        let text = std::fs::read_to_string(&file).map_err(told)?;
        let at = format!("listen = \"{}\"", addresses[n]);
        let line = |l: &str| if l.starts_with("listen") { at.clone() } else { l.to_owned() };
        let text: Vec<String> = text.lines().map(line).collect();
        std::fs::write(&file, text.join("\n")).map_err(told)?;
        start(plan, file).map(Some)
    };
    let struck = |n: usize| n.is_multiple_of(HALLS);
    let other = order.restart.then_some(1).filter(|n| *n < plan.routers);
    let script = [
        (cut, Turn::Cut, "the hall is cut"),
        (heal, Turn::Heal, "the hall comes back"),
        (heal + RESTART, Turn::Kill, "a router in another hall is killed"),
        (heal + RESTART + RESTARTED, Turn::Rise, "it is back and knows nothing"),
    ];
    let mut script = script
        .into_iter()
        .filter(|(_, t, _)| other.is_some() || !matches!(t, Turn::Kill | Turn::Rise))
        .peekable();
    let mut told_at = 0;
    while reactor.now() < end {
        reactor.turn(Duration::from_millis(20)).map_err(epoll)?;
        let now = reactor.now();
        if let Some((_, turn, what)) = script.next_if(|(at, ..)| *at <= now) {
            progress(what);
            for (n, router) in routers.iter_mut().enumerate() {
                match (turn, order.cut, router.as_ref()) {
                    (Turn::Cut, Cut::Hang, Some(r)) if struck(n) => signal(&r.child, Signal::STOP),
                    (Turn::Cut, Cut::Refuse, _) if struck(n) => *router = None,
                    (Turn::Heal, _, Some(r)) if struck(n) => signal(&r.child, Signal::CONT),
                    (Turn::Heal, _, None) if struck(n) => *router = back(n, &addresses.borrow())?,
                    (Turn::Kill, ..) if other == Some(n) => *router = None,
                    (Turn::Rise, ..) if other == Some(n) => *router = back(n, &addresses.borrow())?,
                    _ => {}
                }
            }
        }
        if now >= told_at + 5 * S {
            told_at = now;
            let at = now.saturating_sub(begin) / S;
            progress(&format!("{at:>4} s  {} of {} jobs", results.borrow().done, day.requests.len()));
        }
    }
    drop(routers);
    let effect = |j: &Planned| match (j.idempotent, j.keyed) {
        (true, _) => Effect::Idempotent,
        (_, true) => Effect::Keyed,
        _ => Effect::AtMostOnce,
    };
    let named = |j: &Planned| (Event::from(format!("{} {}", j.source, j.id)), effect(j));
    let kills = (0..plan.routers).filter(|n| struck(*n)).map(|n| (n as u64, cut, heal));
    let killed = |n: usize| (n as u64, heal + RESTART, heal + RESTART + RESTARTED);
    let kills = kills.chain(other.map(killed));
    let terms = Terms {
        grace: day::GRACE,
        window: day::WINDOW,
        effects: day.requests.iter().map(named).collect(),
        kills: kills.collect(),
        end,
    };
    let mut report = Report { verdict: ledger.read(|seen| judge(seen, &terms)), ..Report::default() };
    let second = |at: Micros| (at.saturating_sub(begin) / S) as usize;
    report.cut = (second(cut), second(heal));
    report.seconds = vec![(0, 0, 0); second(end) + 1];
    for (request, (got, _)) in day.requests.iter().zip(&results.borrow().got) {
        let row = &mut report.seconds[second(request.at).min(second(end))];
        row.0 += 1;
        row.1 += usize::from(*got == Got::Finished);
        *report.got.entry(*got).or_default() += 1;
    }
    let in_use = day.requests.iter().filter(|j| j.at >= cut).map(|j| j.function.as_str());
    report.functions = in_use.collect::<BTreeSet<_>>().len();
    let mut begun = vec![0usize; report.seconds.len()];
    ledger.read(|seen| {
        for (at, saw) in seen.iter().filter(|(at, _)| *at >= begin && *at < end) {
            let after = *at >= heal;
            match saw {
                Saw::Asked { .. } => report.seconds[second(*at)].2 += 1,
                Saw::Began { .. } => begun[second(*at)] += 1,
                Saw::Answered { status: 503 | 429, .. } => report.pushed_back += 1,
                Saw::Fetch { taken: true } if after => report.fetches += 1,
                _ => {}
            }
        }
    });
    report.peak = report.seconds[report.cut.1..].iter().map(|s| s.2).max().unwrap_or(0);
    let share = |(requests, ok, _): &(usize, usize, usize)| *ok as f64 / (*requests).max(1) as f64;
    let (from, to) = (report.cut.1, (report.cut.1 + 10).min(report.seconds.len()));
    let each = |span: std::ops::Range<usize>| {
        let done: usize = report.seconds[span.clone()].iter().map(|s| s.1).sum();
        begun[span].iter().sum::<usize>() as f64 / done.max(1) as f64
    };
    report.attempts = (each(4..report.cut.0), each(from..to));
    // The first seconds load everything; the last ones have no time left to be answered in.
    let steady = &report.seconds[4..report.cut.0];
    report.before = steady.iter().map(share).sum::<f64>() / steady.len().max(1) as f64;
    let after = &report.seconds[report.cut.1..second(end) - 2];
    let back = |w: &[(usize, usize, usize)]| w.iter().all(|s| share(s) >= BACK * report.before);
    report.recovery = after.windows(HELD).position(back);
    Ok(report)
}
