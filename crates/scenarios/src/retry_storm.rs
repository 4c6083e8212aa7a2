//! The retry storm: one of three zones is cut off with its routers and workers while its clients keep
//! retrying. When it returns, all waiting clients send at once.
use crate::audit::{Outage, Terms, Verdict, judge};
use crate::bad_day::effects;
use crate::errors::ScenarioError;
use crate::plan::{self, Plan, RouterSettings, WorkerScript, ZONES, steady_workers};
use crate::process::{Router, Setup};
use crate::testbed::Testbed;
use applepond_fakes::client::{PlannedRequest, RequestOutcome, Results};
use applepond_fakes::ledger::{Ledger, Observation};
use applepond_fakes::worker::{self, Behaviour};
use applepond_reactor::Micros;
use oorandom::Rand64;
use rustix::process::{Pid, Signal, kill_process};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Time in µs from the first process to the first request.
const SETTLING_TIME: Micros = 1_500 * MS;
/// Duration in µs of normal load before the cut, from which the routers learn the usual rates.
const NORMAL_TIME: Micros = 12 * S;
/// Time in µs after the end of the cut at which one more router, in another zone, is killed during the storm.
const KILL_DELAY: Micros = 3 * S;
/// Time in µs until that router restarts, with empty state.
const OUTAGE_TIME: Micros = S;
/// Time in µs for which clients retry a request. It exceeds the cut; otherwise clients would give up and
/// there would be no storm.
const CLIENT_TIMEOUT: Micros = 90 * S;
/// Requests per second and worker before the cut: a third of a worker's capacity.
const RATE: f64 = 11.0;
/// Number of functions that are called; popularity falls as 1 / rank.
const FUNCTIONS: u64 = 30;
/// Retry delay in µs of a client that received no retry time.
const RETRY_DELAY: Micros = S;
/// Retry delay in µs of a client that ignores the retry time it received.
const IMPATIENT_RETRY_DELAY: Micros = 100 * MS;
/// Share of the service before the cut at which the fleet counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Number of seconds for which this must hold.
const RECOVERED_SECONDS: usize = 3;
/// Number of seconds at the beginning in which all functions load.
const LOADING_SECONDS: usize = 4;
/// Interval in µs between progress reports.
const PROGRESS_INTERVAL: Micros = 5 * S;

/// How the zone is cut off.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Connections hang: the processes are paused.
    Hang,
    /// Connections are refused: the processes end and restart cold.
    Refuse,
}

/// Options of the scenario.
pub struct Options<'a> {
    /// The routers, distributed over the zones in turn.
    pub setup: &'a Setup,
    /// How the zone is cut off.
    pub cut: Cut,
    /// Duration of the cut in s.
    pub cut_seconds: u64,
    /// Number of clients.
    pub clients: u64,
    /// Share of the clients that ignore the retry time they receive.
    pub ignoring_share: f64,
    /// Whether the routers shed load in a storm.
    pub damping: bool,
    /// Time to observe after the cut, in s.
    pub observed_seconds: u64,
    /// Whether one more router is restarted during the storm.
    pub restarts_router: bool,
}

/// Result of the scenario.
#[derive(Default)]
pub struct Report {
    /// Result of the audit.
    pub verdict: Verdict,
    /// By second: number of requests, how many of them finished in time, and number of exchanges.
    pub seconds: Vec<(usize, usize, usize)>,
    /// Seconds in which the cut starts and ends.
    pub cut: (usize, usize),
    /// Share of requests that finished in time before the cut.
    pub baseline: f64,
    /// Seconds from the end of the cut until the service recovered, if it did.
    pub recovery_seconds: Option<usize>,
    /// Highest number of exchanges per second after the cut.
    pub peak_exchanges: usize,
    /// Number of rejections.
    pub rejected: usize,
    /// Number of fetches from the model store after the cut.
    pub fetches: usize,
    /// Number of functions called after the start of the cut.
    pub functions: usize,
    /// Attempts per request that finished in time: before the cut, and in the ten seconds after it.
    pub attempts: (f64, f64),
    /// Number of requests by outcome, as seen by the clients.
    pub outcomes: BTreeMap<RequestOutcome, usize>,
}

/// Generates the requests of all clients.
fn requests(options: &Options<'_>, begin: Micros, end: Micros) -> Vec<PlannedRequest> {
    let mut rng = Rand64::new(u128::from(options.setup.seed));
    let harmonic: f64 = (1..=FUNCTIONS).map(|rank| 1.0 / rank as f64).sum();
    let (mut at, mut requests) = (begin, Vec::new());
    while at < end {
        at +=
            (-(1.0 - rng.rand_float()).ln() / (RATE * options.setup.workers as f64) * S as f64) as Micros + 1;
        let mut draw = rng.rand_float() * harmonic;
        let rank = (1..FUNCTIONS).find(|rank| {
            draw -= 1.0 / *rank as f64;
            draw <= 0.0
        });
        let kind = ["quote", "quote", "hold", "confirm"][rng.rand_range(0..4) as usize];
        let client = rng.rand_range(0..options.clients);
        let ignores = (client as f64) < options.ignoring_share * options.clients as f64;
        requests.push(PlannedRequest {
            at,
            source: format!("/client/{client}"),
            id: format!("job-{}", requests.len()),
            event_type: kind,
            function: format!("{kind}-hut-{}", rank.unwrap_or(FUNCTIONS)),
            customer: if rng.rand_float() < 0.6 { "snezka" } else { "labska" },
            work_ms: rng.rand_range(30..90),
            timeout: CLIENT_TIMEOUT,
            latency_target: if kind == "confirm" { 750 * MS } else { S },
            idempotent: kind == "quote",
            keyed: kind == "hold",
            structured: false,
            router: client as usize % options.setup.routers,
            max_attempts: u32::MAX,
            sticky_retry_delay: Some(if ignores { IMPATIENT_RETRY_DELAY } else { RETRY_DELAY }),
            ignores_retry_after: ignores,
            duplicate_after: None,
            disconnect_after: None,
            prefix: None,
            follow_up: None,
        });
    }
    requests
}

/// Times of a storm.
#[derive(Clone, Copy)]
struct Times {
    begin: Micros,
    cut: Micros,
    heal: Micros,
    end: Micros,
}

impl Times {
    /// Returns the second of the scenario, counted from 0.
    fn second(&self, at: Micros) -> usize {
        (at.saturating_sub(self.begin) / S) as usize
    }
}

/// Events that affect routers.
#[derive(Clone, Copy)]
enum RouterEvent {
    Cut,
    Heal,
    Kill,
    Restart,
}

/// Whether the worker or router of this index is in the zone that is cut off.
fn is_cut_off(index: usize) -> bool {
    index.is_multiple_of(ZONES)
}

/// Runs the scenario with its files in `folder`. Calls `progress` with a line for each event and about every
/// five seconds.
///
/// # Errors
/// Returns an error if the scenario could not run.
pub fn run(
    options: &Options<'_>,
    folder: &Path,
    progress: &mut dyn FnMut(&str),
) -> Result<Report, ScenarioError> {
    let setup = options.setup;
    let mut testbed = Testbed::new(setup.clone(), folder, SETTLING_TIME)?;
    let begin = testbed.begin;
    let (cut, heal) = (begin + NORMAL_TIME, begin + NORMAL_TIME + options.cut_seconds * S);
    let times = Times { begin, cut, heal, end: heal + options.observed_seconds * S };
    let workers = workers(options, times, testbed.store);
    let plan = Plan::steady(workers, requests(options, begin, times.end));
    testbed.add_fakes(&plan, |_| ());
    for index in 0..setup.routers {
        let damping = format!("damping = {}", options.damping);
        let mut settings = RouterSettings::new(setup, index, testbed.endpoint_list).with_blocks(damping);
        settings.time_limit = CLIENT_TIMEOUT;
        testbed.start_router(&settings.to_hcl())?;
    }
    let results = testbed.add_clients(&plan.requests);
    let other = options.restarts_router.then_some(1).filter(|index| *index < setup.routers);
    let mut script = script(times, other.is_some()).into_iter().peekable();
    let mut last_progress = 0;
    while testbed.now() < times.end {
        testbed.poll(20)?;
        let now = testbed.now();
        if let Some((_, event, description)) = script.next_if(|(at, ..)| *at <= now) {
            progress(description);
            apply_event(&mut testbed, event, options.cut, other)?;
        }
        if now >= last_progress + PROGRESS_INTERVAL {
            last_progress = now;
            let at = now.saturating_sub(begin) / S;
            progress(&format!("{at:>4} s  {} of {} requests", results.borrow().done, plan.requests.len()));
        }
    }
    testbed.routers.clear();
    let terms = Terms {
        grace: plan::DRAIN_GRACE,
        dedup_window: plan::DEDUP_WINDOW,
        effects: effects(&plan),
        outages: outages(setup, times, other),
        end: times.end,
    };
    let verdict = testbed.ledger.read(|observations| judge(observations, &terms));
    Ok(report(verdict, &plan.requests, &results.borrow(), &testbed.ledger, times))
}

/// Creates the workers, of which those in one zone are cut off.
fn workers(options: &Options<'_>, times: Times, store: SocketAddr) -> Vec<WorkerScript> {
    let mut workers = steady_workers(options.setup.workers, store, options.setup.seed);
    for worker in workers.iter_mut().filter(|worker| worker.zone == 0) {
        let Times { cut, heal, .. } = times;
        match options.cut {
            // The endpoint list only knows whether a process exists, so paused workers stay listed.
            Cut::Hang => {
                worker.script = vec![
                    (cut, worker::ScriptEvent::SetBehaviour(Behaviour::Stall)),
                    (heal, worker::ScriptEvent::SetBehaviour(Behaviour::Well)),
                ];
            }
            Cut::Refuse => {
                worker.script = vec![(cut, worker::ScriptEvent::Stop), (heal, worker::ScriptEvent::Start)];
                worker.statuses = vec![(cut, "gone"), (heal, "ready")];
            }
        }
    }
    workers
}

/// Returns the events that affect routers, with time and description.
fn script(times: Times, restarts_another: bool) -> Vec<(Micros, RouterEvent, &'static str)> {
    let kill = times.heal + KILL_DELAY;
    let mut script = vec![
        (times.cut, RouterEvent::Cut, "the zone is cut off"),
        (times.heal, RouterEvent::Heal, "the zone is back"),
    ];
    if restarts_another {
        script.push((kill, RouterEvent::Kill, "a router in another zone is killed"));
        script.push((kill + OUTAGE_TIME, RouterEvent::Restart, "that router is back with empty state"));
    }
    script
}

fn apply_event(
    testbed: &mut Testbed<'_>,
    event: RouterEvent,
    cut: Cut,
    other: Option<usize>,
) -> Result<(), ScenarioError> {
    for index in 0..testbed.routers.len() {
        let is_other = other == Some(index);
        match event {
            RouterEvent::Cut if is_cut_off(index) && cut == Cut::Hang => {
                signal(testbed.routers[index].as_ref(), Signal::STOP);
            }
            RouterEvent::Cut if is_cut_off(index) => _ = testbed.kill(index)?,
            RouterEvent::Heal if is_cut_off(index) && testbed.routers[index].is_some() => {
                signal(testbed.routers[index].as_ref(), Signal::CONT);
            }
            RouterEvent::Heal if is_cut_off(index) => _ = testbed.restart(index)?,
            RouterEvent::Kill if is_other => _ = testbed.kill(index)?,
            RouterEvent::Restart if is_other => _ = testbed.restart(index)?,
            _ => {}
        }
    }
    Ok(())
}

fn signal(router: Option<&Router>, signal: Signal) {
    if let Some(router) = router
        && let Some(pid) = i32::try_from(router.child.id()).ok().and_then(Pid::from_raw)
    {
        let _ = kill_process(pid, signal);
    }
}

fn outages(setup: &Setup, times: Times, other: Option<usize>) -> Vec<Outage> {
    let cut_off = (0..setup.routers).filter(|index| is_cut_off(*index));
    let cut_off = cut_off.map(|index| Outage { router: index as u64, from: times.cut, until: times.heal });
    let killed = times.heal + KILL_DELAY;
    let other = other.map(|index| Outage { router: index as u64, from: killed, until: killed + OUTAGE_TIME });
    cut_off.chain(other).collect()
}

fn report(
    verdict: Verdict,
    requests: &[PlannedRequest],
    results: &Results,
    ledger: &Ledger,
    times: Times,
) -> Report {
    let mut report = Report { verdict, ..Report::default() };
    let last = times.second(times.end);
    report.cut = (times.second(times.cut), times.second(times.heal));
    report.seconds = vec![(0, 0, 0); last + 1];
    for (request, (outcome, _)) in requests.iter().zip(&results.outcomes) {
        let row = &mut report.seconds[times.second(request.at).min(last)];
        row.0 += 1;
        row.1 += usize::from(*outcome == RequestOutcome::Finished);
        *report.outcomes.entry(*outcome).or_default() += 1;
    }
    let in_use = requests.iter().filter(|request| request.at >= times.cut);
    report.functions = in_use.map(|request| request.function.as_str()).collect::<BTreeSet<_>>().len();
    let started = count_observations(&mut report, ledger, times);
    let from_heal = &report.seconds[report.cut.1..];
    report.peak_exchanges = from_heal.iter().map(|(_, _, exchanges)| *exchanges).max().unwrap_or(0);
    let attempts_each = |span: Range<usize>| {
        let done: usize = report.seconds[span.clone()].iter().map(|(_, in_time, _)| *in_time).sum();
        started[span].iter().sum::<usize>() as f64 / done.max(1) as f64
    };
    let after = report.cut.1..(report.cut.1 + 10).min(report.seconds.len());
    report.attempts = (attempts_each(LOADING_SECONDS..report.cut.0), attempts_each(after));
    // Leaves out the first seconds, in which all functions load. Of the seconds after the cut, the last ones
    // are left out, as their requests have no time to finish.
    let steady = &report.seconds[LOADING_SECONDS..report.cut.0];
    report.baseline = steady.iter().map(share).sum::<f64>() / steady.len().max(1) as f64;
    let after = &report.seconds[report.cut.1..last - 2];
    let has_recovered = |seconds: &[(usize, usize, usize)]| {
        seconds.iter().all(|second| share(second) >= RECOVERED_SHARE * report.baseline)
    };
    report.recovery_seconds = after.windows(RECOVERED_SECONDS).position(has_recovered);
    report
}

/// Returns the share of a second's requests that finished in time.
fn share((requests, in_time, _): &(usize, usize, usize)) -> f64 {
    *in_time as f64 / (*requests).max(1) as f64
}

/// Adds the counts from the ledger to the report. Returns the attempts started by second.
fn count_observations(report: &mut Report, ledger: &Ledger, times: Times) -> Vec<usize> {
    let mut started = vec![0usize; report.seconds.len()];
    ledger.read(|observations| {
        for (at, observation) in observations.iter().filter(|(at, _)| *at >= times.begin && *at < times.end) {
            match observation {
                Observation::RequestSent { .. } => report.seconds[times.second(*at)].2 += 1,
                Observation::RequestStarted { .. } => started[times.second(*at)] += 1,
                Observation::ResponseReceived { status: 503 | 429, .. } => report.rejected += 1,
                Observation::ModelFetch { accepted: true } if *at >= times.heal => report.fetches += 1,
                _ => {}
            }
        }
    });
    started
}
