//! The bad day: all kinds of faults that a fleet can meet in a day, compressed into half a minute.
use crate::audit::{Effect, Outage, Terms, Verdict, judge};
use crate::errors::ScenarioError;
use crate::fleet_settings::fleet_block;
use crate::plan::{self, Plan, RouterSettings};
use crate::process::Setup;
use crate::testbed::Testbed;
use applepond_fakes::client::{PlannedRequest, RequestOutcome, Results};
use applepond_fakes::ledger::Event;
use applepond_reactor::Micros;
use std::collections::BTreeMap;
use std::path::Path;

/// Time in µs from the first process to the first request, in which routers connect to the endpoint list.
const SETTLING_TIME: Micros = 1_500_000;
/// Time in µs after the last arrival in which every request must get its response.
const RESPONSE_GRACE: Micros = 6_000_000;
/// Window in µs of the table of service over time.
const WINDOW: Micros = 2_000_000;
/// Interval in µs between progress reports.
const PROGRESS_INTERVAL: Micros = 2_000_000;
/// Time in µs from the first request at which routers are killed, if several are.
const KILL_SEVERAL_AT: Micros = 4_000_000;
/// Time in µs from the first request at which they restart. The drain wave and the zone outage fall in
/// between, and the outage is long enough for the other routers to notice it.
const RESTART_SEVERAL_AT: Micros = 19_000_000;

/// Result of the scenario.
pub struct Report {
    /// Result of the audit.
    pub verdict: Verdict,
    /// Number of requests by outcome, as seen by the clients.
    pub outcomes: BTreeMap<RequestOutcome, usize>,
    /// By window: number of requests, and how many of them finished within their latency target.
    pub windows: Vec<(usize, usize)>,
    /// Events, with their time in µs since the first request.
    pub timeline: Vec<(Micros, String)>,
    /// Latency of successful requests in µs: median and 99th percentile.
    pub latency: (Micros, Micros),
}

impl Report {
    /// Whether all rules held and no request remained without a response.
    pub fn passed(&self) -> bool {
        self.verdict.broken.is_empty()
            && self.outcomes.get(&RequestOutcome::Nothing).is_none_or(|count| *count == 0)
    }
}

/// Runs the scenario with its files in `folder`. Calls `progress` with a line about every two seconds.
///
/// # Errors
/// Returns an error if the scenario could not run.
pub fn run(setup: &Setup, folder: &Path, progress: &mut dyn FnMut(&str)) -> Result<Report, ScenarioError> {
    let mut testbed = Testbed::new(setup.clone(), folder, SETTLING_TIME)?;
    let begin = testbed.begin;
    let mut plan = plan::generate(setup.seed, begin, setup.workers, setup.routers, testbed.store);
    if setup.dying_routers > 1 {
        (plan.router_outage.from, plan.router_outage.until) =
            (begin + KILL_SEVERAL_AT, begin + RESTART_SEVERAL_AT);
    }
    testbed.add_fakes(&plan, |list| list.outage = plan.list_outage);
    start_routers(&mut testbed, setup)?;
    let results = testbed.add_clients(&plan.requests);
    let mut outages: Vec<Outage> = Vec::new();
    let mut reporter = Reporter { last: 0, timeline: plan.timeline.iter().peekable() };
    let end = begin + plan::ARRIVAL_TIME + RESPONSE_GRACE;
    while testbed.now() < end
        && (results.borrow().done < plan.requests.len() || testbed.now() < plan.router_outage.until)
    {
        testbed.poll(20)?;
        let now = testbed.now();
        if now >= plan.router_outage.from && outages.is_empty() {
            let first = plan.router_outage.router as usize;
            for index in (0..setup.dying_routers).map(|next| (first + next) % setup.routers) {
                let outage = testbed.kill(index)?;
                outages.extend(outage.map(|outage| Outage { until: plan.router_outage.until, ..outage }));
            }
        }
        if now >= plan.router_outage.until {
            restart_all(&mut testbed, &mut outages)?;
        }
        reporter.report(now, begin, results.borrow().done, plan.requests.len(), progress);
    }
    testbed.observe_late_responses()?;
    testbed.routers.clear();
    let terms = Terms {
        grace: plan::DRAIN_GRACE,
        dedup_window: plan::DEDUP_WINDOW,
        effects: effects(&plan),
        outages,
        end: Micros::MAX,
    };
    let verdict = testbed.ledger.read(|ledger| judge(ledger, &terms));
    Ok(report(&plan, begin, &results.borrow(), verdict))
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

/// Restarts all dead routers.
pub(crate) fn restart_all(testbed: &mut Testbed<'_>, outages: &mut [Outage]) -> Result<(), ScenarioError> {
    for outage in outages {
        if testbed.routers[outage.router as usize].is_none() {
            outage.until = testbed.restart(outage.router as usize)?;
        }
    }
    Ok(())
}

/// Reports events as they happen, and the number of finished requests in between.
struct Reporter<'a, I: Iterator<Item = &'a (Micros, String)>> {
    /// Time of the last progress report.
    last: Micros,
    timeline: std::iter::Peekable<I>,
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
        if let Some((_, description)) = self.timeline.next_if(|(at, _)| *at <= now) {
            progress(&format!("{seconds:5.1} s  {description}"));
        } else if now >= self.last + PROGRESS_INTERVAL {
            self.last = now;
            progress(&format!("{seconds:5.1} s  {done} of {all} requests"));
        }
    }
}

/// The effect of running each request of the plan a second time.
pub(crate) fn effects(plan: &Plan) -> BTreeMap<Event, Effect> {
    let effect = |request: &PlannedRequest| match (request.idempotent, request.keyed) {
        (true, _) => Effect::Idempotent,
        (_, true) => Effect::Keyed,
        _ => Effect::AtMostOnce,
    };
    let event = |request: &PlannedRequest| Event::from(format!("{} {}", request.source, request.id));
    plan.requests.iter().map(|request| (event(request), effect(request))).collect()
}

fn report(plan: &Plan, begin: Micros, results: &Results, verdict: Verdict) -> Report {
    let mut outcomes = BTreeMap::new();
    let mut windows = vec![(0, 0); (plan::ARRIVAL_TIME / WINDOW) as usize + 1];
    let mut latencies: Vec<Micros> = Vec::new();
    for (request, (outcome, latency)) in plan.requests.iter().zip(&results.outcomes) {
        *outcomes.entry(*outcome).or_default() += 1;
        let window = &mut windows[((request.at - begin) / WINDOW) as usize];
        window.0 += 1;
        if *outcome == RequestOutcome::Finished {
            window.1 += 1;
        }
        if matches!(outcome, RequestOutcome::Finished | RequestOutcome::Late) {
            latencies.push(*latency);
        }
    }
    latencies.sort_unstable();
    let percentile = |percent: usize| latencies.get(latencies.len() * percent / 100).copied().unwrap_or(0);
    let timeline = plan.timeline.iter().map(|(at, description)| (at - begin, description.clone())).collect();
    Report { verdict, outcomes, windows, timeline, latency: (percentile(50), percentile(99)) }
}
