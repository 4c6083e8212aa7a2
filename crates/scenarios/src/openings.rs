//! Jobs that begin alike: what pinned openings save at the workers, and who can have one pinned. Judged from
//! what the workers saw: which requests came with a lease, and what was prepared.
use crate::audit::{Terms, Verdict, judge};
use crate::day::{self, Day};
use crate::fault::Unplayed;
use crate::fleet::ports;
use crate::links::Links;
use crate::process::{Plan, Router, start};
use crate::run::effects;
use applepond_fakes::client::{Client, Got};
use applepond_fakes::hosts::Hosts;
use applepond_fakes::ledger::{Ledger, Saw};
use applepond_fakes::store::Store;
use applepond_reactor::{Micros, Reactor};
use oorandom::Rand64;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// µs from the first process to the first request, of requests in all, and of the last of them that count.
const SETTLES: Micros = 4 * S;
const LENGTH: Micros = 52 * S;
const COUNTS: Micros = 20 * S;
/// Jobs a second over the fleet, openings, their popularity, and units of each; a worker keeps so many units
/// and takes so many µs for one.
const RATE: f64 = 150.0;
const OPENINGS: u64 = 2_000;
const ZIPF: f64 = 1.1;
const SIZE: u32 = 100;
const KEPT: u64 = 6_000;
const PREPARE: Micros = 600;
/// Units that pins may take.
const PINNED: u64 = 4_000;
/// An opening that one client asks for again and again at one router, and how often a second.
const LOOP: &str = "loop";
const LOOPS: f64 = 1.0;
/// When routers die, and when they start again.
const DIES: Micros = 30 * S;
const STARTS: Micros = 33 * S;
/// µs of a lease, by the routers' pages.
const LEASE: Micros = 60 * S;
/// µs after its end for which a lease may still be seen: a request that was written before.
const SLACK: Micros = 500 * MS;

pub const FAULTS: [&str; 4] = ["none", "kill", "keepers", "halves"];
pub const WAYS: [&str; 2] = ["lru", "merged"];
pub const PLANTS: [(&str, &str); 1] = [("lone-voter-pins", LONE)];
const LONE: &str = "one router's word pins nothing";
const RULES: &str = "the five rules";
const SHORT: &str = "what is pinned stays within its memory";
const PINS: &str = "what many ask for is pinned";

pub struct Order<'a> {
    pub plan: &'a Plan,
    pub fault: &'a str,
    pub way: &'a str,
}

#[derive(Default)]
pub struct Report {
    pub broken: BTreeMap<&'static str, Vec<String>>,
    pub verdict: Verdict,
    pub requests: usize,
    /// Share answered in time, s of preparing and openings prepared, in the time that counts.
    pub in_time: f64,
    pub preparing: f64,
    pub prepared: usize,
    /// Openings that came with a lease in that time, and the most at one worker at a time.
    pub pinned: usize,
    pub most: usize,
}

fn requests(day: &mut Day, plan: &Plan, begin: Micros) {
    let mut rng = Rand64::new(u128::from(plan.seed) ^ 0x0be9);
    let sums: Vec<f64> = (1..=OPENINGS)
        .scan(0.0, |sum, r| {
            *sum += (r as f64).powf(-ZIPF);
            Some(*sum)
        })
        .collect();
    let drawn = std::mem::take(&mut day.requests);
    let (mut at, mut n) = (begin, 0);
    while at < begin + LENGTH {
        at += (-(1.0 - rng.rand_float()).ln() / (RATE + LOOPS) * S as f64) as Micros + 1;
        let mut request = drawn[n % drawn.len()].clone();
        (request.at, request.id, request.twin_after, request.leaves_after) =
            (at, format!("job-{n}"), None, None);
        if n < 3 {
            // Once at each keeper's router: whoever proposes knows its size, and that it was asked for
            // elsewhere.
            (request.router, request.opening) = (n, Some((LOOP.to_owned(), SIZE)));
        } else if rng.rand_float() < LOOPS / (RATE + LOOPS) {
            (request.router, request.opening) = (plan.routers - 1, Some((LOOP.to_owned(), SIZE)));
        } else {
            let drawn = rng.rand_float() * sums[OPENINGS as usize - 1];
            let rank = sums.partition_point(|sum| *sum < drawn);
            request.opening = Some((format!("opening-{rank}"), SIZE));
        }
        day.requests.push(request);
        n += 1;
    }
}

pub fn openings(
    order: &Order<'_>,
    folder: &Path,
    progress: &mut dyn FnMut(&str),
) -> Result<Report, Unplayed> {
    let told = |e: std::io::Error| Unplayed::machine(folder.display(), e);
    let epoll = |e: std::io::Error| Unplayed::machine("epoll", e);
    std::fs::create_dir_all(folder).map_err(told)?;
    let mut reactor = Reactor::new().map_err(epoll)?;
    let links = Links::new(order.plan.seed).map_err(told)?;
    let plan = Plan { through: Some(links.at), ..order.plan.clone() };
    let begin = reactor.now() + SETTLES;
    let (store_at, hosts_at) = (day::address(0, 250), day::address(0, 251));
    let mut day = day::draw(plan.seed, begin, plan.workers, plan.routers, store_at);
    for part in &mut day.parts {
        part.script.clear();
        part.standing.clear();
        (part.build.openings, part.build.prepare) = (KEPT, PREPARE);
    }
    day.parts.retain(|p| p.from_start);
    requests(&mut day, &plan, begin);
    let ledger = Ledger::default();
    reactor.add(Box::new(Store::new(store_at, 150 * MS, 24, ledger.clone())));
    for worker in day.workers(&ledger) {
        reactor.add(Box::new(worker));
    }
    let (rows, changes) = day.list();
    reactor.add(Box::new(Hosts::new(hosts_at, rows, changes, ledger.clone())));
    let key = folder.join("key");
    std::fs::write(&key, format!("the secret of a drill's fleet, {}\n", plan.seed)).map_err(told)?;
    let ports = ports(plan.routers)?;
    let mut routers: Vec<Option<Router>> = Vec::new();
    for me in 0..plan.routers {
        let mut more = "fleet {\n keepers = [\"r0\", \"r1\", \"r2\"]\n".to_owned();
        if me < 3 {
            more += &format!(" votes = \"{}\"\n", folder.join(format!("r{me}.votes")).display());
        }
        if order.way == "merged" {
            let (us, memory) = (PREPARE, PINNED);
            more += &format!(
                " openings {{\n  prepare = \"{us}us\"\n  memory = {memory}\n  keeps = \"8s\"\n }}\n"
            );
        }
        let block = crate::fleet::fleet_block(me, &ports, &key).replacen("fleet {\n", &more, 1);
        let (many, workers) = (plan.routers, plan.workers);
        let text = Day::settings(me, many, workers, plan.seed, hosts_at, 4 * S, day::IMPORTANCE, &block);
        let by = "late_part = 0.2\n  opening_by = \"opening\"\n  opening_size_by = \"openingsize\"";
        let file = folder.join(format!("router-{me}.hcl"));
        std::fs::write(&file, text.replace("late_part = 0.2", by)).map_err(told)?;
        routers.push(Some(start(&plan, file)?));
    }
    let addresses = Rc::new(RefCell::new(routers.iter().flatten().map(|r| r.at).collect::<Vec<_>>()));
    let (client, results) = Client::new(day.requests.clone(), addresses, ledger.clone());
    reactor.add(Box::new(client));
    let dies: Vec<usize> = match order.fault {
        // Most, the one with the loop among those that stay.
        "kill" => (0..plan.routers * 7 / 10).collect(),
        "keepers" => vec![0, 1],
        _ => Vec::new(),
    };
    let mut kills: Vec<(u64, Micros, Micros)> = Vec::new();
    let mut back = dies.is_empty();
    let end = begin + LENGTH + 6 * S;
    while reactor.now() < end && (results.borrow().done < day.requests.len() || !back) {
        reactor.turn(Duration::from_millis(10)).map_err(epoll)?;
        let now = reactor.now();
        if now >= begin + DIES && kills.is_empty() && !dies.is_empty() {
            progress(&format!("{} routers die", dies.len()));
            for n in &dies {
                let Some(router) = routers[*n].take() else { continue };
                let text = std::fs::read_to_string(&router.settings).map_err(told)?;
                let own = text.lines().map(|l| match l.starts_with("listen") {
                    true => format!("listen = \"{}\"", router.at),
                    false => l.to_owned(),
                });
                std::fs::write(&router.settings, own.collect::<Vec<_>>().join("\n")).map_err(told)?;
                kills.push((*n as u64, now, now));
            }
        }
        if now >= begin + STARTS && !back {
            for (n, _, until) in &mut kills {
                routers[*n as usize] = Some(start(&plan, folder.join(format!("router-{n}.hcl")))?);
                *until = reactor.now();
            }
            back = true;
        }
        if order.fault == "halves" && now >= begin + DIES {
            let (one, other) = ports.split_at(plan.routers / 2);
            let mut faults = links.faults();
            if now < begin + STARTS && faults.cut.is_empty() {
                faults.part(one, other);
            } else if now >= begin + STARTS {
                faults.cut.clear();
            }
        }
    }
    drop(routers);
    let terms =
        Terms { grace: day::GRACE, window: day::WINDOW, effects: effects(&day), kills, end: Micros::MAX };
    let mut report = Report { requests: day.requests.len(), ..Report::default() };
    report.verdict = ledger.read(|ledger| judge(ledger, &terms));
    let from = begin + LENGTH - COUNTS;
    let counts = day
        .requests
        .iter()
        .zip(&results.borrow().got)
        .filter(|(j, _)| j.at >= from)
        .fold((0usize, 0usize), |(all, ok), (_, (got, _))| {
            (all + 1, ok + usize::from(*got == Got::Finished))
        });
    report.in_time = counts.1 as f64 / counts.0.max(1) as f64;
    judged(&mut report, order, &ledger, from);
    Ok(report)
}

fn judged(report: &mut Report, order: &Order<'_>, ledger: &Ledger, from: Micros) {
    let (mut pinned, mut loops) = (BTreeSet::new(), 0);
    // By worker: openings and until when the latest lease that came with one may have it kept.
    let mut leases: BTreeMap<Rc<str>, BTreeMap<Rc<str>, Micros>> = BTreeMap::new();
    ledger.read(|ledger| {
        for (at, saw) in ledger {
            match saw {
                Saw::Prepared { took, .. } if *at >= from => {
                    report.prepared += 1;
                    report.preparing += *took as f64 / 1e6;
                }
                Saw::Pinned { worker, opening, .. } => {
                    loops += usize::from(**opening == *LOOP);
                    let of = leases.entry(worker.clone()).or_default();
                    of.retain(|_, last| *at < *last + LEASE + SLACK);
                    of.insert(opening.clone(), *at);
                    report.most = report.most.max(of.len());
                    if *at >= from {
                        pinned.insert(opening.clone());
                    }
                }
                _ => {}
            }
        }
    });
    report.pinned = pinned.len();
    let mut breaks = |rule: &'static str, what: String| report.broken.entry(rule).or_default().push(what);
    if !report.verdict.broken.is_empty() {
        breaks(RULES, format!("{:?}", report.verdict.broken));
    }
    if loops > 0 {
        breaks(LONE, format!("{loops} jobs of one client's loop came with a lease"));
    }
    // Memory that pins may take, and as many as one change of the list may bring before it is seen.
    let most = (PINNED / u64::from(SIZE)) as usize + 8;
    if report.most > most {
        breaks(SHORT, format!("{} openings at one worker under leases, {most} at most", report.most));
    }
    if order.way == "merged" && report.pinned == 0 {
        breaks(PINS, "no job came with a lease".to_owned());
    }
}
