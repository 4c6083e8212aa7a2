//! The bad day: everything that goes wrong in a day of a fleet, within half a minute.
use crate::audit::{Effect, Outage, Terms, Verdict, judge};
use crate::day::{self, Day, RouterSettings};
use crate::errors::ScenarioError;
use crate::fleet_settings::fleet_block;
use crate::process::Setup;
use crate::testbed::Testbed;
use applepond_fakes::client::{PlannedRequest, RequestOutcome, Results};
use applepond_fakes::ledger::Event;
use applepond_reactor::Micros;
use std::collections::BTreeMap;
use std::path::Path;

/// µs from the first process to the first request: routers connect to the endpoint list meanwhile.
const SETTLING_TIME: Micros = 1_500_000;
/// µs after the last arrival until every request must have been answered.
const TAIL: Micros = 6_000_000;
/// µs of a window in the table of service over time.
const WINDOW: Micros = 2_000_000;
/// µs between two reports of progress.
const PROGRESS_INTERVAL: Micros = 2_000_000;
/// µs into the day at which several routers die, where they do.
const SEVERAL_DIE: Micros = 4_000_000;
/// µs into the day at which they start again: the drained wave and the lost hall fall in between, and it is
/// long enough to be known.
const SEVERAL_RESTART: Micros = 19_000_000;

/// The result of the day.
pub struct Report {
    /// The audit's judgement.
    pub verdict: Verdict,
    /// How many requests ended in which way, as clients saw it.
    pub outcomes: BTreeMap<RequestOutcome, usize>,
    /// By window: requests, and those answered within their latency objective.
    pub windows: Vec<(usize, usize)>,
    /// What happened, with µs since the first request.
    pub timeline: Vec<(Micros, String)>,
    /// µs to the answer of finished requests: median, 99th percentile.
    pub latency: (Micros, Micros),
}

impl Report {
    /// Whether all rules held and no request went unanswered.
    pub fn passed(&self) -> bool {
        self.verdict.broken.is_empty()
            && self.outcomes.get(&RequestOutcome::Nothing).is_none_or(|count| *count == 0)
    }
}

/// Plays the day in this folder; `progress` is given a line about every two seconds.
///
/// # Errors
/// Why the day could not be played.
pub fn run(setup: &Setup, folder: &Path, progress: &mut dyn FnMut(&str)) -> Result<Report, ScenarioError> {
    let mut testbed = Testbed::new(setup.clone(), folder, SETTLING_TIME)?;
    let begin = testbed.begin;
    let mut day = day::draw(setup.seed, begin, setup.workers, setup.routers, testbed.store);
    if setup.dying_routers > 1 {
        (day.kill.from, day.kill.until) = (begin + SEVERAL_DIE, begin + SEVERAL_RESTART);
    }
    testbed.add_doubles(&day, |list| list.outage = day.silence);
    start_routers(&mut testbed, setup)?;
    let results = testbed.add_clients(&day.requests);
    let mut outages: Vec<Outage> = Vec::new();
    let mut reporter = Reporter { last: 0, story: day.story.iter().peekable() };
    let end = begin + day::LENGTH + TAIL;
    while testbed.now() < end
        && (results.borrow().done < day.requests.len() || testbed.now() < day.kill.until)
    {
        testbed.turn(20)?;
        let now = testbed.now();
        if now >= day.kill.from && outages.is_empty() {
            let first = day.kill.router as usize;
            for index in (0..setup.dying_routers).map(|next| (first + next) % setup.routers) {
                let outage = testbed.kill(index)?;
                outages.extend(outage.map(|outage| Outage { until: day.kill.until, ..outage }));
            }
        }
        if now >= day.kill.until {
            restart_all(&mut testbed, &mut outages)?;
        }
        reporter.report(now, begin, results.borrow().done, day.requests.len(), progress);
    }
    testbed.see_stragglers()?;
    testbed.routers.clear();
    let terms = Terms {
        grace: day::GRACE,
        dedup_window: day::WINDOW,
        effects: effects(&day),
        outages,
        end: Micros::MAX,
    };
    let verdict = testbed.ledger.read(|ledger| judge(ledger, &terms));
    Ok(report(&day, begin, &results.borrow(), verdict))
}

fn start_routers(testbed: &mut Testbed<'_>, setup: &Setup) -> Result<(), ScenarioError> {
    let key = testbed.write_fleet_key()?;
    let ports = testbed.fleet_ports()?;
    for index in 0..setup.routers {
        let more = if setup.fleet { fleet_block(index, &ports, &key) } else { String::new() };
        let settings = RouterSettings::new(setup, index, testbed.endpoint_list).with_blocks(more);
        testbed.start_router(&settings.to_hcl())?;
    }
    Ok(())
}

/// Starts all routers again that are dead.
pub(crate) fn restart_all(testbed: &mut Testbed<'_>, outages: &mut [Outage]) -> Result<(), ScenarioError> {
    for outage in outages {
        if testbed.routers[outage.router as usize].is_none() {
            outage.until = testbed.restart(outage.router as usize)?;
        }
    }
    Ok(())
}

/// Reports what happens, and from time to time how far the day is.
struct Reporter<'a, I: Iterator<Item = &'a (Micros, String)>> {
    /// When progress was last reported.
    last: Micros,
    story: std::iter::Peekable<I>,
}

impl<'a, I: Iterator<Item = &'a (Micros, String)>> Reporter<'a, I> {
    fn report(
        &mut self,
        now: Micros,
        begin: Micros,
        done: usize,
        all: usize,
        progress: &mut dyn FnMut(&str),
    ) {
        let seconds = now.saturating_sub(begin) as f64 / 1e6;
        if let Some((_, what)) = self.story.next_if(|(at, _)| *at <= now) {
            progress(&format!("{seconds:5.1} s  {what}"));
        } else if now >= self.last + PROGRESS_INTERVAL {
            self.last = now;
            progress(&format!("{seconds:5.1} s  {done} of {all} jobs"));
        }
    }
}

/// What a second attempt of each request of the day would do.
pub(crate) fn effects(day: &Day) -> BTreeMap<Event, Effect> {
    let effect = |request: &PlannedRequest| match (request.idempotent, request.keyed) {
        (true, _) => Effect::Idempotent,
        (_, true) => Effect::Keyed,
        _ => Effect::AtMostOnce,
    };
    let event = |request: &PlannedRequest| Event::from(format!("{} {}", request.source, request.id));
    day.requests.iter().map(|request| (event(request), effect(request))).collect()
}

fn report(day: &Day, begin: Micros, results: &Results, verdict: Verdict) -> Report {
    let mut outcomes = BTreeMap::new();
    let mut windows = vec![(0, 0); (day::LENGTH / WINDOW) as usize + 1];
    let mut latencies: Vec<Micros> = Vec::new();
    for (request, (end, after)) in day.requests.iter().zip(&results.outcomes) {
        *outcomes.entry(*end).or_default() += 1;
        let window = &mut windows[((request.at - begin) / WINDOW) as usize];
        window.0 += 1;
        if *end == RequestOutcome::Finished {
            window.1 += 1;
        }
        if matches!(end, RequestOutcome::Finished | RequestOutcome::Late) {
            latencies.push(*after);
        }
    }
    latencies.sort_unstable();
    let percentile = |percent: usize| latencies.get(latencies.len() * percent / 100).copied().unwrap_or(0);
    let timeline = day.story.iter().map(|(at, what)| (at - begin, what.clone())).collect();
    Report { verdict, outcomes, windows, timeline, latency: (percentile(50), percentile(99)) }
}
