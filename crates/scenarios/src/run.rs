//! Plays a bad day: stand-ins in this process, each router in one of its own.
use crate::audit::{Effect, Terms, Verdict, judge};
use crate::day::{self, Day};
use crate::fault::Unplayed;
use crate::fleet::{fleet_block, ports};
use crate::process::{Plan, start};
use applepond_fakes::client::{Client, Got, Results};
use applepond_fakes::hosts::Hosts;
use applepond_fakes::ledger::{Event, Ledger};
use applepond_fakes::store::Store;
use applepond_reactor::{Micros, Reactor};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// µs from the first process to the first request: routers connect to the list meanwhile.
const SETTLES: Micros = 1_500_000;
/// µs after the last arrival until everything must have been told.
const TAIL: Micros = 6_000_000;
/// µs of a window in the table of service over time.
const WINDOW: Micros = 2_000_000;
/// µs of a fetch from the store, and fetches at a time.
const FETCH: Micros = 150_000;
const FETCHES: usize = 24;

/// µs of the day between which several routers are dead: the wave and the lost hall fall in between, and it
/// is long enough to be known.
const DEAD: (Micros, Micros) = (4_000_000, 19_000_000);

pub struct Report {
    pub verdict: Verdict,
    pub got: BTreeMap<Got, usize>,
    /// By window: requests, and those answered within their start target.
    pub windows: Vec<(usize, usize)>,
    pub story: Vec<(Micros, String)>,
    /// µs to the answer of finished requests: median, 99th percentile.
    pub took: (Micros, Micros),
}

impl Report {
    pub fn holds(&self) -> bool {
        self.verdict.broken.is_empty() && self.got.get(&Got::Nothing).is_none_or(|n| *n == 0)
    }
}

/// Plays the day; `progress` is told about once a second how far it is, in words.
pub fn bad_day(
    plan: &Plan,
    folder: &std::path::Path,
    progress: &mut dyn FnMut(&str),
) -> Result<Report, Unplayed> {
    let told = |e: std::io::Error| Unplayed::machine(folder.display(), e);
    std::fs::create_dir_all(folder).map_err(told)?;
    let mut reactor = Reactor::new().map_err(|e| Unplayed::machine("epoll", e))?;
    let begin = reactor.now() + SETTLES;
    let (store_at, hosts_at) = (day::address(0, 250), day::address(0, 251));
    let day = day::draw(plan.seed, begin, plan.workers, plan.routers, store_at);
    let ledger = Ledger::default();
    let mut store = Store::new(store_at, FETCH, FETCHES, ledger.clone());
    store.stops = vec![day.store_stop];
    reactor.add(Box::new(store));
    for worker in day.workers(&ledger) {
        reactor.add(Box::new(worker));
    }
    let (rows, changes) = day.list();
    let mut hosts = Hosts::new(hosts_at, rows, changes, ledger.clone());
    hosts.silence = day.silence;
    reactor.add(Box::new(hosts));
    let mut routers = Vec::new();
    let key = folder.join("key");
    std::fs::write(&key, format!("the secret of a drill's fleet, {}\n", plan.seed)).map_err(told)?;
    let ports = ports(plan.routers).map_err(told)?;
    for me in 0..plan.routers {
        let more = if plan.fleet { fleet_block(me, &ports, &key) } else { String::new() };
        let text = Day::settings(
            me,
            plan.routers,
            plan.workers,
            plan.seed,
            hosts_at,
            4_000_000,
            day::IMPORTANCE,
            &more,
        );
        let file = folder.join(format!("router-{me}.hcl"));
        std::fs::write(&file, text).map_err(told)?;
        routers.push(Some(start(plan, file)?));
    }
    let addresses = routers.iter().flatten().map(|r| r.at).collect();
    let addresses: Rc<RefCell<Vec<SocketAddr>>> = Rc::new(RefCell::new(addresses));
    let (client, results) = Client::new(day.requests.clone(), addresses.clone(), ledger.clone());
    reactor.add(Box::new(client));
    let (killed, mut from, mut until) = day.kill;
    if plan.die > 1 {
        (from, until) = (begin + DEAD.0, begin + DEAD.1);
    }
    let mut kills = Vec::new();
    let (mut told_at, mut story) = (0, day.story.iter().peekable());
    let end = begin + day::LENGTH + TAIL;
    while reactor.now() < end && (results.borrow().done < day.requests.len() || reactor.now() < until) {
        reactor.turn(Duration::from_millis(20)).map_err(|e| Unplayed::machine("epoll", e))?;
        let now = reactor.now();
        if now >= from && kills.is_empty() {
            // Outright, with whatever they hold.
            for n in (0..plan.die).map(|k| (killed + k) % plan.routers) {
                let Some(router) = routers[n].take() else { continue };
                let (settings, at) = (&router.settings, router.at);
                kills.push((n as u64, now, until));
                let text = std::fs::read_to_string(settings).map_err(told)?;
                let text = text
                    .lines()
                    .map(|l| if l.starts_with("listen") { format!("listen = \"{at}\"") } else { l.into() });
                std::fs::write(settings, text.collect::<Vec<_>>().join("\n")).map_err(told)?;
            }
        }
        if now >= until {
            for (n, _, back) in &mut kills {
                let router = &mut routers[*n as usize];
                if router.is_none() {
                    *router = Some(start(plan, folder.join(format!("router-{n}.hcl")))?);
                    *back = reactor.now();
                }
            }
        }
        if let Some((_, what)) = story.next_if(|(at, _)| *at <= now) {
            progress(&format!("{:5.1} s  {what}", now.saturating_sub(begin) as f64 / 1e6));
        } else if now >= told_at + 2_000_000 {
            told_at = now;
            let done = results.borrow().done;
            progress(&format!(
                "{:5.1} s  {done} of {} jobs",
                now.saturating_sub(begin) as f64 / 1e6,
                day.requests.len()
            ));
        }
    }
    // Answers that come too late, or a second time, are still seen.
    for _ in 0..25 {
        reactor.turn(Duration::from_millis(20)).map_err(|e| Unplayed::machine("epoll", e))?;
    }
    drop(routers);
    let terms =
        Terms { grace: day::GRACE, window: day::WINDOW, effects: effects(&day), kills, end: Micros::MAX };
    let verdict = ledger.read(|ledger| judge(ledger, &terms));
    Ok(report(&day, begin, &results.borrow(), verdict))
}

/// What a second attempt of each request would do.
pub fn effects(day: &Day) -> BTreeMap<Event, Effect> {
    let effect = |j: &applepond_fakes::client::Planned| match (j.idempotent, j.keyed) {
        (true, _) => Effect::Idempotent,
        (_, true) => Effect::Keyed,
        _ => Effect::AtMostOnce,
    };
    day.requests.iter().map(|j| (Event::from(format!("{} {}", j.source, j.id)), effect(j))).collect()
}

fn report(day: &Day, begin: Micros, results: &Results, verdict: Verdict) -> Report {
    let mut got = BTreeMap::new();
    let mut windows = vec![(0, 0); (day::LENGTH / WINDOW) as usize + 1];
    let mut took: Vec<Micros> = Vec::new();
    for (request, (end, after)) in day.requests.iter().zip(&results.got) {
        *got.entry(*end).or_default() += 1;
        let window = &mut windows[((request.at - begin) / WINDOW) as usize];
        window.0 += 1;
        if *end == Got::Finished {
            window.1 += 1;
        }
        if matches!(end, Got::Finished | Got::Late) {
            took.push(*after);
        }
    }
    took.sort_unstable();
    let at = |part: usize| took.get(took.len() * part / 100).copied().unwrap_or(0);
    let story = day.story.iter().map(|(t, what)| (t - begin, what.clone())).collect();
    Report { verdict, got, windows, story, took: (at(50), at(99)) }
}
