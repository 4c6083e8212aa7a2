//! The retry storm: one hall of three is cut, router, workers and all; its clients keep asking; it comes
//! back, and everything that waited asks at once.
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
/// µs from the first process to the first request.
const SETTLING_TIME: Micros = 1_500 * MS;
/// µs of ordinary work before the cut: the routers learn what is usual.
const BEFORE: Micros = 12 * S;
/// µs after the hall is back at which one more router, in another hall, is killed in the middle of the storm.
const RESTART: Micros = 3 * S;
/// µs until that router is there again and knows nothing.
const RESTART_TIME: Micros = S;
/// µs that clients stay with one request: through the cut, or they would give up and not storm.
const CLIENT_TIMEOUT: Micros = 90 * S;
/// Requests a second and worker before the cut: a third of what it can do.
const RATE: f64 = 11.0;
/// Functions that requests are drawn from, popularity falling as 1 / rank.
const FUNCTIONS: u64 = 30;
/// µs after which a client that was given no time to retry does.
const RETRY_DELAY: Micros = S;
/// µs after which a client retries that ignores the time it was given.
const IMPATIENT_RETRY_DELAY: Micros = 100 * MS;
/// Part of the service before the cut at which the fleet has recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Seconds for which that has to hold.
const RECOVERED_SECONDS: usize = 3;
/// Seconds at the beginning in which everything loads.
const LOADING_SECONDS: usize = 4;
/// µs between two reports of progress.
const PROGRESS_INTERVAL: Micros = 5 * S;

/// How the hall is cut.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Connections hang: processes stand still.
    Hang,
    /// Connections are refused: processes are gone, and come back cold.
    Refuse,
}

/// What is played.
pub struct Options<'a> {
    /// The routers, which stand one in each hall, in turn.
    pub setup: &'a Setup,
    /// How the hall is cut.
    pub cut: Cut,
    /// s of the cut.
    pub cut_seconds: u64,
    /// Clients in all.
    pub clients: u64,
    /// Share of the clients that ignore the time they are given to retry.
    pub ignoring_share: f64,
    /// Whether the routers shed load in a storm.
    pub damping: bool,
    /// s watched after the cut.
    pub observed_seconds: u64,
    /// Restarts one more router in the middle of the storm.
    pub restarts_router: bool,
}

/// The result.
#[derive(Default)]
pub struct Report {
    /// The audit's judgement.
    pub verdict: Verdict,
    /// By second: requests that came, those answered in time, and exchanges asked.
    pub seconds: Vec<(usize, usize, usize)>,
    /// Seconds of the cut and of its end.
    pub cut: (usize, usize),
    /// Share of requests answered in time before the cut.
    pub baseline: f64,
    /// Seconds from the end of the cut until service was back, if it came back.
    pub recovery_seconds: Option<usize>,
    /// Exchanges in the second after the cut that had most.
    pub peak_exchanges: usize,
    /// Rejections.
    pub rejected: usize,
    /// Fetches from the store after the cut.
    pub fetches: usize,
    /// Functions that were asked for after the cut.
    pub functions: usize,
    /// Attempts begun for each request answered in time: before the cut, and in the ten seconds after it.
    pub attempts: (f64, f64),
    /// How many requests ended in which way, as clients saw it.
    pub outcomes: BTreeMap<RequestOutcome, usize>,
}

/// The requests of all clients.
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

/// The moments of a storm.
#[derive(Clone, Copy)]
struct Times {
    begin: Micros,
    cut: Micros,
    heal: Micros,
    end: Micros,
}

impl Times {
    /// Second of the scenario.
    fn second(&self, at: Micros) -> usize {
        (at.saturating_sub(self.begin) / S) as usize
    }
}

/// What happens to routers.
#[derive(Clone, Copy)]
enum RouterEvent {
    Cut,
    Heal,
    Kill,
    Restart,
}

/// Whether a worker or router of this index is in the hall that is cut.
fn is_struck(index: usize) -> bool {
    index.is_multiple_of(ZONES)
}

/// Plays it in this folder, step by step, which is why the function is long; `progress` is given a line for
/// each event, and about every five seconds.
///
/// # Errors
/// Why it could not be played.
pub fn run(
    options: &Options<'_>,
    folder: &Path,
    progress: &mut dyn FnMut(&str),
) -> Result<Report, ScenarioError> {
    let setup = options.setup;
    let mut testbed = Testbed::new(setup.clone(), folder, SETTLING_TIME)?;
    let begin = testbed.begin;
    let (cut, heal) = (begin + BEFORE, begin + BEFORE + options.cut_seconds * S);
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
        if let Some((_, event, what)) = script.next_if(|(at, ..)| *at <= now) {
            progress(what);
            apply_event(&mut testbed, event, options.cut, other)?;
        }
        if now >= last_progress + PROGRESS_INTERVAL {
            last_progress = now;
            let at = now.saturating_sub(begin) / S;
            progress(&format!("{at:>4} s  {} of {} jobs", results.borrow().done, plan.requests.len()));
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
    let verdict = testbed.ledger.read(|seen| judge(seen, &terms));
    Ok(report(verdict, &plan.requests, &results.borrow(), &testbed.ledger, times))
}

/// The workers, a hall of which is cut.
fn workers(options: &Options<'_>, times: Times, store: SocketAddr) -> Vec<WorkerScript> {
    let mut workers = steady_workers(options.setup.workers, store, options.setup.seed);
    for worker in workers.iter_mut().filter(|worker| worker.zone == 0) {
        let Times { cut, heal, .. } = times;
        match options.cut {
            // A list knows only whether a process runs: one that hangs stays on it.
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

/// What happens to routers when, and in words.
fn script(times: Times, restarts_another: bool) -> Vec<(Micros, RouterEvent, &'static str)> {
    let kill = times.heal + RESTART;
    let mut script = vec![
        (times.cut, RouterEvent::Cut, "the hall is cut"),
        (times.heal, RouterEvent::Heal, "the hall comes back"),
    ];
    if restarts_another {
        script.push((kill, RouterEvent::Kill, "a router in another hall is killed"));
        script.push((kill + RESTART_TIME, RouterEvent::Restart, "it is back and knows nothing"));
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
            RouterEvent::Cut if is_struck(index) && cut == Cut::Hang => {
                signal(testbed.routers[index].as_ref(), Signal::STOP);
            }
            RouterEvent::Cut if is_struck(index) => _ = testbed.kill(index)?,
            RouterEvent::Heal if is_struck(index) && testbed.routers[index].is_some() => {
                signal(testbed.routers[index].as_ref(), Signal::CONT);
            }
            RouterEvent::Heal if is_struck(index) => _ = testbed.restart(index)?,
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
    let struck = (0..setup.routers).filter(|index| is_struck(*index));
    let struck = struck.map(|index| Outage { router: index as u64, from: times.cut, until: times.heal });
    let killed = times.heal + RESTART;
    let other =
        other.map(|index| Outage { router: index as u64, from: killed, until: killed + RESTART_TIME });
    struck.chain(other).collect()
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
    for (request, (got, _)) in requests.iter().zip(&results.outcomes) {
        let row = &mut report.seconds[times.second(request.at).min(last)];
        row.0 += 1;
        row.1 += usize::from(*got == RequestOutcome::Finished);
        *report.outcomes.entry(*got).or_default() += 1;
    }
    let in_use = requests.iter().filter(|request| request.at >= times.cut);
    report.functions = in_use.map(|request| request.function.as_str()).collect::<BTreeSet<_>>().len();
    let begun = count_seen(&mut report, ledger, times);
    let from_heal = &report.seconds[report.cut.1..];
    report.peak_exchanges = from_heal.iter().map(|(_, _, asked)| *asked).max().unwrap_or(0);
    let attempts_each = |span: Range<usize>| {
        let done: usize = report.seconds[span.clone()].iter().map(|(_, in_time, _)| *in_time).sum();
        begun[span].iter().sum::<usize>() as f64 / done.max(1) as f64
    };
    let after = report.cut.1..(report.cut.1 + 10).min(report.seconds.len());
    report.attempts = (attempts_each(LOADING_SECONDS..report.cut.0), attempts_each(after));
    // The first seconds load everything; the last ones have no time left to be answered in.
    let steady = &report.seconds[LOADING_SECONDS..report.cut.0];
    report.baseline = steady.iter().map(share).sum::<f64>() / steady.len().max(1) as f64;
    let after = &report.seconds[report.cut.1..last - 2];
    let is_back = |seconds: &[(usize, usize, usize)]| {
        seconds.iter().all(|second| share(second) >= RECOVERED_SHARE * report.baseline)
    };
    report.recovery_seconds = after.windows(RECOVERED_SECONDS).position(is_back);
    report
}

/// Share of the requests of a second that were answered in time.
fn share((requests, in_time, _): &(usize, usize, usize)) -> f64 {
    *in_time as f64 / (*requests).max(1) as f64
}

/// Counts what the ledger holds; returns attempts begun by second.
fn count_seen(report: &mut Report, ledger: &Ledger, times: Times) -> Vec<usize> {
    let mut begun = vec![0usize; report.seconds.len()];
    ledger.read(|seen| {
        for (at, saw) in seen.iter().filter(|(at, _)| *at >= times.begin && *at < times.end) {
            match saw {
                Observation::RequestSent { .. } => report.seconds[times.second(*at)].2 += 1,
                Observation::RequestStarted { .. } => begun[times.second(*at)] += 1,
                Observation::ResponseReceived { status: 503 | 429, .. } => report.rejected += 1,
                Observation::ModelFetch { accepted: true } if *at >= times.heal => report.fetches += 1,
                _ => {}
            }
        }
    });
    begun
}
