//! Most routers die and come back, with requests under way: how soon service is whole again, and what the
//! return costs others. Judged from the sockets of workers, store, clients and the rig between the routers.
use crate::audit::{Terms, Verdict, judge};
use crate::day::{self, Day};
use crate::fault::Unplayed;
use crate::fleet::ports;
use crate::links::Links;
use crate::process::{Plan, Router, start};
use crate::run::effects;
use applepond_fakes::client::{Client, Got};
use applepond_fakes::hosts::{Hosts, Row};
use applepond_fakes::ledger::{Ledger, Saw};
use applepond_fakes::store::Store;
use applepond_fakes::worker::{Mood, Turn};
use applepond_reactor::{Micros, Reactor};
use oorandom::Rand64;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// µs from the first process to the first request: routers find the list and each other.
const SETTLES: Micros = 4 * S;
/// µs of requests before the first router dies, and of those the last that count as service before.
const BEFORE: Micros = 9 * S;
const STEADY: Micros = 4 * S;
/// µs between the first death and the first start, and of requests after it.
const DEAD: Micros = 3 * S;
const AFTER: Micros = 13 * S;
/// µs by which a drain comes before the deaths, and for which the list is behind after the starts.
const DRAIN: Micros = 3 * S;
const BEHIND: Micros = 4 * S;
/// µs of a window in which service is looked at, and how long it has to stay.
const WINDOW: Micros = S;
const STAYS: Micros = 5 * S;
/// Part of the service before that is whole service.
const WHOLE: f64 = 0.95;
/// Part of the service before that the last seconds have to have.
const BACK_PART: f64 = 0.85;
/// µs of a fetch from the store, and fetches at a time.
const FETCH: Micros = 150 * MS;
const FETCHES: usize = 24;
/// Jobs a second a worker: 0.7 of what two cores do with requests of 60 ms on average.
const RATE: f64 = 23.0;
/// Asks that may come to one router in a tenth of a second: of three askers at a time all pages, and as many
/// that look in vain.
const ASKS: u64 = 60;
/// Times an even part of the asks of the first second that may go to one router where several are left, and
/// routers from which on that tells chance from design.
const ASKS_TIMES: f64 = 3.5;
const ASKS_ROUTERS: usize = 15;
/// First bytes of a message by which one that comes back asks.
const ASK: [u8; 2] = [0xb3, 1];

/// Who dies and what is left of their disks.
pub const FAULTS: [&str; 6] = ["kill", "wave", "nineteen", "all", "lost", "cut"];
/// What a router may start from.
pub const WAYS: [&str; 4] = ["both", "nothing", "snapshot", "peers"];
/// Faults that can be planted, the rule that each breaks, and the fault and way in which it shows.
pub const PLANTS: [(&str, &str, &str, &str); 3] = [
    ("forgets-drains", DRAINED, "kill", "both"),
    ("empty-is-zero", DRAINED, "nineteen", "peers"),
    ("all-ask-one", ASKED, "kill", "peers"),
];
const DRAINED: &str = "a drain that was told is kept over a return";
const ASKED: &str = "no router is asked by all at once";
const RULES: &str = "the five rules";
const BACK: &str = "service is whole again";

pub struct Order<'a> {
    pub plan: &'a Plan,
    pub fault: &'a str,
    pub way: &'a str,
}

#[derive(Default)]
pub struct Report {
    pub broken: BTreeMap<&'static str, Vec<String>>,
    pub verdict: Verdict,
    /// Share of requests in time before the first death, while routers are dead, and in the 2 s after the
    /// last start.
    pub service: [f64; 3],
    /// The same in the last seconds of the drill.
    pub end: f64,
    /// ms from the last start until service is whole and stays so; none within the drill.
    pub whole: Option<u64>,
    /// Fetches in the tenth of a second that had most, before and after the return.
    pub loads: (usize, usize),
    /// Cold workers that fell.
    pub fell: usize,
    /// Jobs that came to the draining worker from those that had come back, and later than the grace after
    /// their start.
    pub strays: (usize, usize),
    /// Asks that came to one router in a tenth of a second at most, and in all.
    pub asks: (u64, u64),
    /// Part of the asks of the first second after the starts that went to the most asked router.
    pub asks_part: f64,
    pub requests: usize,
}

impl Report {
    fn breaks(&mut self, rule: &'static str, what: String) {
        self.broken.entry(rule).or_default().push(what);
    }
}

/// The day of this drill: steady requests, one worker that fails most of what it gets, one that drains.
fn draw(order: &Order<'_>, begin: Micros, store: SocketAddr) -> Day {
    let plan = order.plan;
    let mut day = day::draw(plan.seed, begin, plan.workers, plan.routers, store);
    for part in &mut day.parts {
        part.script.clear();
        part.standing.clear();
    }
    day.parts.retain(|p| p.from_start);
    day.parts[1].script = vec![(begin, Turn::Mood(Mood::FailFast(0.8)))];
    day.parts[0].standing = vec![(begin + BEFORE - DRAIN, "draining")];
    let length = BEFORE + DEAD + AFTER;
    let mut rng = Rand64::new(u128::from(plan.seed) ^ 0x5eed);
    let (mut at, mut n, drawn) = (begin, 0, std::mem::take(&mut day.requests));
    while at < begin + length {
        at += (-(1.0 - rng.rand_float()).ln() / (RATE * plan.workers as f64) * S as f64) as Micros + 1;
        let mut request = drawn[n % drawn.len()].clone();
        (request.at, request.id) = (at, format!("job-{n}"));
        (request.twin_after, request.leaves_after) = (None, None);
        day.requests.push(request);
        n += 1;
    }
    day
}

/// The fleet block of one router, by what it may start from.
fn block(order: &Order<'_>, n: usize, ports: &[SocketAddr], folder: &Path) -> String {
    let block = crate::fleet::fleet_block(n, ports, &folder.join("key"));
    let file = |what: &str| folder.join(format!("r{n}.{what}")).display().to_string();
    let mut more = "fleet {\n keepers = [\"r0\", \"r1\", \"r2\"]\n".to_owned();
    if n < 3 {
        more += &format!(" votes = \"{}\"\n", file("votes"));
    }
    if matches!(order.way, "both" | "snapshot") {
        more += &format!(" snapshot = \"{}\"\n", file("snapshot"));
    }
    block.replacen("fleet {\n", &more, 1)
}

/// Who dies and when, from the first death on.
fn deaths(order: &Order<'_>, rng: &mut Rand64) -> Vec<(Micros, usize)> {
    let routers = order.plan.routers;
    let (many, span) = match order.fault {
        "wave" => (routers * 7 / 10, DEAD - 200 * MS),
        "nineteen" => (routers - 1, 200 * MS),
        "all" | "lost" => (routers, 200 * MS),
        _ => (routers * 7 / 10, S),
    };
    let mut who: Vec<usize> = (0..routers).collect();
    for n in (1..routers).rev() {
        who.swap(n, rng.rand_range(0..n as u64 + 1) as usize);
    }
    who.truncate(many);
    let mut deaths: Vec<(Micros, usize)> = who.into_iter().map(|n| (rng.rand_range(0..span), n)).collect();
    deaths.sort_unstable();
    deaths
}

/// Plays it; `progress` is told what happens.
pub fn comeback(
    order: &Order<'_>,
    folder: &Path,
    progress: &mut dyn FnMut(&str),
) -> Result<Report, Unplayed> {
    let told = |e: std::io::Error| Unplayed::machine(folder.display(), e);
    std::fs::create_dir_all(folder).map_err(told)?;
    let plan = order.plan;
    let mut rng = Rand64::new(u128::from(plan.seed));
    let mut reactor = Reactor::new().map_err(|e| Unplayed::machine("epoll", e))?;
    let links = Links::new(plan.seed).map_err(told)?;
    links.faults().counts = Some((ASK.to_vec(), BTreeMap::new()));
    let mut plan = Plan { through: Some(links.at), ..plan.clone() };
    if matches!(order.way, "nothing" | "snapshot") {
        plan.plant = Some("no-peers".to_owned());
    }
    let begin = reactor.now() + SETTLES;
    let (store_at, hosts_at) = (day::address(0, 250), day::address(0, 251));
    let day = draw(&Order { plan: &plan, ..*order }, begin, store_at);
    let ledger = Ledger::default();
    reactor.add(Box::new(Store::new(store_at, FETCH, FETCHES, ledger.clone())));
    for worker in day.workers(&ledger) {
        reactor.add(Box::new(worker));
    }
    let (rows, changes) = day.list();
    let drained: Row = rows[0].clone();
    let mut hosts = Hosts::new(hosts_at, rows, changes, ledger.clone());
    // A copy of the list that is behind is what those that come back are told first.
    let starts = begin + BEFORE + DEAD;
    hosts.stale = Some((starts, starts + BEHIND, drained.clone()));
    reactor.add(Box::new(hosts));
    std::fs::write(folder.join("key"), format!("the secret of a drill's fleet, {}\n", plan.seed))
        .map_err(told)?;
    let ports = ports(plan.routers).map_err(told)?;
    let mut routers: Vec<Option<Router>> = Vec::new();
    for me in 0..plan.routers {
        let more = block(order, me, &ports, folder);
        let limit = 4 * S;
        let text =
            Day::settings(me, plan.routers, plan.workers, plan.seed, hosts_at, limit, day::IMPORTANCE, &more);
        let file = folder.join(format!("router-{me}.hcl"));
        std::fs::write(&file, text).map_err(told)?;
        routers.push(Some(start(&plan, file)?));
    }
    let addresses = Rc::new(RefCell::new(routers.iter().flatten().map(|r| r.at).collect::<Vec<_>>()));
    let (client, results) = Client::new(day.requests.clone(), addresses, ledger.clone());
    reactor.add(Box::new(client));
    let mut deaths = deaths(order, &mut rng);
    let (mut dead, mut kills, mut last, mut tenth) = (Vec::new(), Vec::new(), None, 0);
    let end = begin + BEFORE + DEAD + AFTER + 4 * S;
    while reactor.now() < end && (results.borrow().done < day.requests.len() || last.is_none()) {
        reactor.turn(Duration::from_millis(10)).map_err(|e| Unplayed::machine("epoll", e))?;
        let now = reactor.now();
        while let Some((_, n)) = deaths.first().copied().filter(|(at, _)| now >= begin + BEFORE + at) {
            deaths.remove(0);
            let Some(router) = routers[n].take() else { continue };
            let text = std::fs::read_to_string(&router.settings).map_err(told)?;
            let listens = |l: &str| match l.starts_with("listen") {
                true => format!("listen = \"{}\"", router.at),
                false => l.to_owned(),
            };
            let text: Vec<String> = text.lines().map(listens).collect();
            std::fs::write(&router.settings, text.join("\n")).map_err(told)?;
            drop(router);
            if order.fault == "lost" {
                for what in ["votes", "snapshot"] {
                    let _ = std::fs::remove_file(folder.join(format!("r{n}.{what}")));
                }
            }
            dead.push((n, now));
        }
        if now >= starts && last.is_none() {
            progress(&format!("{} of {} routers start again", dead.len(), plan.routers));
            if order.fault == "cut" {
                let mut faults = links.faults();
                faults.lost = 0.2;
                for (a, b) in (0..plan.routers).flat_map(|a| (0..plan.routers).map(move |b| (a, b))) {
                    if a != b && rng.rand_float() < 0.125 {
                        faults.cut.insert((ports[a], ports[b]));
                    }
                }
            }
            for (n, _) in &dead {
                routers[*n] = Some(start(&plan, folder.join(format!("router-{n}.hcl")))?);
                kills.push((
                    *n as u64,
                    dead.iter().find(|(d, _)| d == n).map_or(now, |d| d.1),
                    reactor.now(),
                ));
            }
            last = Some(reactor.now());
            tenth = links.tenth();
        }
    }
    for _ in 0..25 {
        reactor.turn(Duration::from_millis(20)).map_err(|e| Unplayed::machine("epoll", e))?;
    }
    drop(routers);
    let last = last.unwrap_or(starts);
    let back: Vec<(u64, Micros)> = kills.iter().map(|(n, _, since)| (*n, *since)).collect();
    let terms =
        Terms { grace: day::GRACE, window: day::WINDOW, effects: effects(&day), kills, end: Micros::MAX };
    let mut report = Report { requests: day.requests.len(), ..Report::default() };
    report.verdict = ledger.read(|ledger| judge(ledger, &terms));
    let in_time: Vec<(Micros, bool)> = day
        .requests
        .iter()
        .zip(&results.borrow().got)
        .map(|(j, (got, _))| (j.at, *got == Got::Finished))
        .collect();
    serviced(&mut report, &in_time, begin, last);
    seen(&mut report, &ledger, &drained, &back, (begin, last));
    let counts = links.faults().counts.take().map(|(_, counts)| counts).unwrap_or_default();
    report.asks = (counts.values().copied().max().unwrap_or(0), counts.values().sum());
    // From the first of them on: starting all takes a moment.
    let mut early: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    for ((to, at), n) in &counts {
        if (tenth.saturating_sub(5)..tenth + 10).contains(at) {
            *early.entry(*to).or_default() += n;
        }
    }
    let all: u64 = early.values().sum();
    report.asks_part = early.values().copied().max().unwrap_or(0) as f64 / all.max(1) as f64;
    judged(&mut report, order);
    Ok(report)
}

/// Share of the requests from one time to another that were answered in time; none where there were none.
fn share(requests: &[(Micros, bool)], from: Micros, until: Micros) -> Option<f64> {
    let these: Vec<bool> =
        requests.iter().filter(|(at, _)| (from..until).contains(at)).map(|(_, ok)| *ok).collect();
    (!these.is_empty()).then(|| these.iter().filter(|ok| **ok).count() as f64 / these.len() as f64)
}

fn serviced(report: &mut Report, requests: &[(Micros, bool)], begin: Micros, last: Micros) {
    let first = begin + BEFORE;
    let before = share(requests, first - STEADY, first).unwrap_or(0.0);
    let of = |from, until| share(requests, from, until).unwrap_or(0.0);
    report.service = [before, of(first, last), of(last, last + 2 * S)];
    let whole = |from: Micros| share(requests, from, from + WINDOW).is_none_or(|s| s >= WHOLE * before);
    let stays = |from: Micros| (0..=(STAYS - WINDOW) / (250 * MS)).all(|k| whole(from + k * 250 * MS));
    let ends = requests.last().map_or(last, |(at, _)| *at);
    report.end = share(requests, ends.saturating_sub(STAYS), ends).unwrap_or(0.0);
    let mut at = last;
    while at + STAYS <= ends {
        if stays(at) {
            report.whole = Some((at - last) / MS);
            return;
        }
        at += 50 * MS;
    }
}

/// What workers and store saw.
fn seen(
    report: &mut Report,
    ledger: &Ledger,
    drained: &Row,
    back: &[(u64, Micros)],
    (begin, last): (Micros, Micros),
) {
    let first = begin + BEFORE;
    ledger.read(|ledger| {
        let mut tenths: BTreeMap<Micros, usize> = BTreeMap::new();
        for (at, saw) in ledger {
            match saw {
                Saw::Fetch { taken: true } => *tenths.entry(at / (100 * MS)).or_default() += 1,
                Saw::Fell { .. } => report.fell += 1,
                Saw::Came { worker, router, .. } if *worker == drained.name && *at > last => {
                    let came =
                        back.iter().find(|(r, _)| r == router).map(|(_, since)| at.saturating_sub(*since));
                    report.strays.0 += usize::from(came.is_some());
                    report.strays.1 += usize::from(came.is_some_and(|after| after > day::GRACE));
                }
                _ => {}
            }
        }
        let most = |from: Micros, until: Micros| {
            tenths.range(from / (100 * MS)..until / (100 * MS)).map(|(_, n)| *n).max().unwrap_or(0)
        };
        report.loads = (most(begin, first), most(last, last + STAYS));
    });
}

fn judged(report: &mut Report, order: &Order<'_>) {
    if !report.verdict.broken.is_empty() {
        let what = format!("{:?}", report.verdict.broken);
        report.breaks(RULES, what);
    }
    // Where nothing is stored and nobody is asked, or nobody knows, it cannot be kept.
    let can = matches!(order.way, "both" | "peers") && order.fault != "lost";
    if can && report.strays.1 > 0 && !(order.way == "peers" && order.fault == "all") {
        let what = format!("{} jobs came to the draining worker after the grace", report.strays.1);
        report.breaks(DRAINED, what);
    }
    if report.asks.0 > ASKS {
        let what = format!("{} asks came to one router in a tenth of a second", report.asks.0);
        report.breaks(ASKED, what);
    }
    let others = order.plan.routers - 1;
    let several = matches!(order.fault, "kill" | "wave" | "cut") && others >= ASKS_ROUTERS;
    if several && report.asks_part > ASKS_TIMES / others as f64 {
        let what = format!("{:.2} of the asks of the first second went to one router", report.asks_part);
        report.breaks(ASKED, what);
    }
    // A machine that plays other things beside it has bad seconds: when service was whole is a
    // measurement, that it came back at all is the rule.
    if report.end < BACK_PART * report.service[0] {
        let what = format!("{:.3} in the last {} s, {:.3} before", report.end, STAYS / S, report.service[0]);
        report.breaks(BACK, what);
    }
}
