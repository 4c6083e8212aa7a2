//! Workflows under one deadline: clients that have the routers run whole workflows, beside clients that call
//! the same steps one by one with fixed time limits, at the same load.
use crate::audit::{Effect, Outage, Terms, Verdict, judge};
use crate::errors::ScenarioError;
use crate::plan::{self, Plan, RouterSettings, steady_workers};
use crate::process::Setup;
use crate::testbed::Testbed;
use applepond_fakes::client::{FollowUp, PlannedRequest, RequestOutcome, Results};
use applepond_fakes::ledger::{Event, Ledger, Observation};
use applepond_reactor::Micros;
use applepond_storage::{DiskStore, WorkflowStore};
use oorandom::Rand64;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// µs from the first process to the first request.
const SETTLING_TIME: Micros = 1_500 * MS;
/// µs of arrivals.
const LENGTH: Micros = 14 * S;
/// µs of arrivals that are not counted, as all functions load then.
const LOADING_TIME: Micros = 3 * S;
/// µs that a workflow has in all.
const TIME_LIMIT: Micros = 2 * S;
/// µs past a workflow's deadline up to which a step may still be seen running: the end of its connection
/// travels, and the machine pauses.
const DEADLINE_SLACK: Micros = 150 * MS;
/// Steps that a workflow takes on average: what the fleet can do at load 1.
const STEPS: f64 = 3.3;
/// ms of a step on average.
const STEP_MS: u64 = 60;
/// µs after which a client that was given no time to retry does.
const RETRY_DELAY: Micros = 500 * MS;
/// µs between two kills on average.
const KILL_INTERVAL: Micros = 800 * MS;
/// µs from a kill until the router is started again.
const OUTAGE_TIME: Micros = 200 * MS;
/// µs between two reports of progress.
const PROGRESS_INTERVAL: Micros = 5 * S;
/// The `chain` blocks that are played where no others are given.
pub const DEFAULT_WORKFLOWS: &str = include_str!("../plans/booking.hcl");

/// What is played.
pub struct Options<'a> {
    /// The routers.
    pub setup: &'a Setup,
    /// Load, in parts of what the fleet can do.
    pub load: f64,
    /// `chain` blocks; the clients ask for type `book`.
    pub workflows: &'a str,
    /// Whether the clients call the steps one by one instead.
    pub step_by_step: bool,
    /// How often a router is killed, one after the other, at random moments, and started again.
    pub kills: usize,
    /// Importance of the workloads of the three kinds of steps.
    pub importance: [u64; 3],
}

/// The result.
#[derive(Default)]
pub struct Report {
    /// The audit's judgement.
    pub verdict: Verdict,
    /// Workflows requested after the first seconds.
    pub workflows: usize,
    /// Those of them that finished in time.
    pub finished: usize,
    /// Steps begun at workers.
    pub steps: usize,
    /// How many requests ended in which way, as clients saw it.
    pub outcomes: BTreeMap<RequestOutcome, usize>,
    /// Workflows without an answer of which a step with an effect began.
    pub unanswered: usize,
    /// Those of them that are on record.
    pub unanswered_on_record: usize,
}

/// The next step of a client that calls them one by one: a third of the time each, unused time is lost.
/// `result` is that of the step before, `price` that of the first.
fn next_step(
    request: &PlannedRequest,
    spent: Micros,
    result: &Value,
    price: &Value,
) -> Option<PlannedRequest> {
    let (id, step) = request.id.rsplit_once('/')?;
    let then = |step: &str, kind: &'static str, function: &str| PlannedRequest {
        id: format!("{id}/{step}"),
        event_type: kind,
        function: price[function].as_str().unwrap_or("hold-hut-1").to_owned(),
        timeout: (spent + TIME_LIMIT / 3).min(TIME_LIMIT),
        idempotent: false,
        keyed: kind == "hold",
        ..request.clone()
    };
    match step {
        "price" => Some(then("beds", "hold", "hut")),
        "beds" if result["free"] == false => Some(then("second", "hold", "other")),
        "beds" | "second" => Some(then("confirm", "confirm", "desk")),
        _ => None,
    }
}

/// µs of arrivals.
fn length(options: &Options<'_>) -> Micros {
    LENGTH.max(options.kills as Micros * KILL_INTERVAL)
}

/// The requests of all clients.
fn requests(options: &Options<'_>, begin: Micros) -> Vec<PlannedRequest> {
    let mut rng = Rand64::new(u128::from(options.setup.seed));
    // Two cores a worker, see `plan::worker_config`.
    let rate = options.load * options.setup.workers as f64 * 2.0 * 1000.0 / STEP_MS as f64 / STEPS;
    let prices: RefCell<BTreeMap<String, Value>> = RefCell::default();
    let follow: FollowUp = Rc::new(move |request, spent, answer| {
        let result: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let workflow = request.id.rsplit_once('/')?.0.to_owned();
        let mut prices = prices.borrow_mut();
        let price = prices.entry(workflow).or_insert_with(|| result.clone());
        next_step(request, spent, &result, price)
    });
    let (mut at, mut requests) = (begin, Vec::new());
    while at < begin + length(options) {
        at += (-(1.0 - rng.rand_float()).ln() / rate * S as f64) as Micros + 1;
        let number = requests.len();
        requests.push(PlannedRequest {
            at,
            source: format!("/desks/{}", rng.rand_range(0..40)),
            id: if options.step_by_step {
                format!("chain-{number}/price")
            } else {
                format!("chain-{number}")
            },
            event_type: if options.step_by_step { "quote" } else { "book" },
            function: format!("quote-hut-{}", rng.rand_range(1..13)),
            customer: if rng.rand_float() < 0.6 { "snezka" } else { "labska" },
            work_ms: rng.rand_range(STEP_MS - 20..STEP_MS + 20),
            timeout: if options.step_by_step { TIME_LIMIT / 3 } else { TIME_LIMIT },
            latency_target: TIME_LIMIT,
            // A workflow may be requested again where it may have begun: there the request joins it, or it
            // goes on by its record.
            idempotent: true,
            keyed: false,
            structured: false,
            router: rng.rand_range(0..options.setup.routers as u64) as usize,
            max_attempts: u32::MAX,
            sticky_retry_delay: Some(RETRY_DELAY),
            ignores_retry_after: false,
            duplicate_after: (rng.rand_float() < 0.05).then(|| rng.rand_range(1..200) * MS),
            disconnect_after: None,
            prefix: None,
            follow_up: options.step_by_step.then(|| follow.clone()),
        });
    }
    requests
}

/// Plays it in this folder, step by step, which is why the function is long; `progress` is given a line about
/// every five seconds.
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
    let tail = if setup.seeded_bug.is_some() { 6 * S } else { 0 };
    let end = begin + length(options) + TIME_LIMIT + S + tail;
    let workers = steady_workers(setup.workers, testbed.store, setup.seed);
    let plan = Plan::steady(workers, requests(options, begin));
    testbed.add_fakes(&plan, |_| ());
    for index in 0..setup.routers {
        testbed.start_router(&router_settings(options, &testbed, index))?;
    }
    let results = testbed.add_clients(&plan.requests);
    let mut killer = Killer::new(options, begin);
    let mut last_progress = 0;
    while testbed.now() < end {
        testbed.poll(20)?;
        killer.act(&mut testbed)?;
        let now = testbed.now();
        if now >= last_progress + PROGRESS_INTERVAL {
            last_progress = now;
            let at = now.saturating_sub(begin) / S;
            let (done, all, kills) = (results.borrow().done, plan.requests.len(), killer.outages.len());
            progress(&format!("{at:>4} s  {done} of {all} chains, {kills} kills"));
        }
    }
    testbed.routers.clear();
    let mut report = judge_all(&plan.requests, &testbed.ledger, killer.outages, end);
    count_ends(&mut report, &plan.requests, &results.borrow(), begin);
    if !options.step_by_step {
        check_records(&mut report, options, &testbed, &plan.requests, &results.borrow())?;
    }
    Ok(report)
}

fn record_file(testbed: &Testbed<'_>, router: usize) -> std::path::PathBuf {
    testbed.file(&format!("record-{router}"))
}

/// Settings with a record, which outlives the scenario: it looks at them.
fn router_settings(options: &Options<'_>, testbed: &Testbed<'_>, index: usize) -> String {
    let record = record_file(testbed, index);
    let more = format!("record = \"{}\"\nbounds {{\n  remember_for = \"600s\"\n}}\n", record.display());
    let mut settings = RouterSettings::new(options.setup, index, testbed.endpoint_list).with_blocks(more);
    settings.importance = options.importance;
    // The workloads come first, as the chains name them.
    settings.to_hcl() + options.workflows
}

/// Kills routers at random moments and starts them again.
struct Killer {
    rng: Rand64,
    kills: usize,
    next: Micros,
    outages: Vec<Outage>,
}

impl Killer {
    fn new(options: &Options<'_>, begin: Micros) -> Self {
        let rng = Rand64::new(u128::from(options.setup.seed) << 32);
        Killer { rng, kills: options.kills, next: begin + S, outages: Vec::new() }
    }

    fn act(&mut self, testbed: &mut Testbed<'_>) -> Result<(), ScenarioError> {
        let now = testbed.now();
        for index in 0..testbed.routers.len() {
            if testbed.routers[index].is_some() {
                continue;
            }
            let last = self.outages.iter_mut().rev().find(|outage| outage.router == index as u64);
            if let Some(outage) = last.filter(|outage| now >= outage.from + OUTAGE_TIME) {
                outage.until = testbed.restart(index)?;
            }
        }
        if self.outages.len() < self.kills && now >= self.next {
            let index = self.rng.rand_range(0..testbed.routers.len() as u64) as usize;
            self.outages.extend(testbed.kill(index)?);
            self.next = now + KILL_INTERVAL / 2 + self.rng.rand_range(0..KILL_INTERVAL);
        }
        Ok(())
    }
}

fn judge_all(requests: &[PlannedRequest], ledger: &Ledger, outages: Vec<Outage>, end: Micros) -> Report {
    let mut effects = BTreeMap::new();
    let mut deadlines: BTreeMap<String, Micros> = BTreeMap::new();
    for request in requests {
        let id = request.id.strip_suffix("/price").unwrap_or(&request.id);
        let workflow = format!("{} {id}", request.source);
        for (step, effect) in [
            ("price", Effect::Idempotent),
            ("beds", Effect::Keyed),
            ("second", Effect::Keyed),
            ("confirm", Effect::AtMostOnce),
        ] {
            effects.insert(Event::from(format!("{workflow}/{step}")), effect);
        }
        deadlines.insert(workflow, request.at + TIME_LIMIT);
    }
    let terms = Terms { grace: plan::DRAIN_GRACE, dedup_window: plan::DEDUP_WINDOW, effects, outages, end };
    let verdict = ledger.read(|seen| {
        let mut verdict = judge(seen, &terms);
        check_deadlines(seen, &deadlines, &mut verdict);
        verdict
    });
    Report { steps: verdict.attempts, verdict, ..Report::default() }
}

fn count_ends(report: &mut Report, requests: &[PlannedRequest], results: &Results, begin: Micros) {
    for (request, (got, _)) in requests.iter().zip(&results.outcomes) {
        if request.at >= begin + LOADING_TIME {
            report.workflows += 1;
            report.finished += usize::from(*got == RequestOutcome::Finished);
        }
        *report.outcomes.entry(*got).or_default() += 1;
    }
}

/// Looks whether workflows without an answer are on record, where one of their steps had an effect.
fn check_records(
    report: &mut Report,
    options: &Options<'_>,
    testbed: &Testbed<'_>,
    requests: &[PlannedRequest],
    results: &Results,
) -> Result<(), ScenarioError> {
    let mut records = Vec::new();
    for index in (0..options.setup.routers).filter(|_| options.kills > 0) {
        records.push(DiskStore::open(&record_file(testbed, index))?);
    }
    let with_effect = testbed.ledger.read(workflows_with_effect);
    for (request, (got, _)) in requests.iter().zip(&results.outcomes) {
        let was_answered = !matches!(got, RequestOutcome::Nothing | RequestOutcome::Broken);
        if was_answered || !with_effect.contains(&format!("{} {}", request.source, request.id)) {
            continue;
        }
        report.unanswered += 1;
        let key = (request.source.as_str(), request.id.as_str());
        let is_on_record = records.iter_mut().any(|record| matches!(record.load(key), Ok(Some(_))));
        report.unanswered_on_record += usize::from(is_on_record);
    }
    Ok(())
}

/// Workflows of which a step with an effect began.
fn workflows_with_effect(seen: &[(Micros, Observation)]) -> BTreeSet<String> {
    let workflow = |saw: &Observation| {
        let Observation::RequestStarted { event, .. } = saw else { return None };
        let (workflow, step) = event.rsplit_once('/')?;
        (step != "price").then(|| workflow.to_owned())
    };
    seen.iter().filter_map(|(_, saw)| workflow(saw)).collect()
}

/// Rule 6: no step begun or running past its workflow's deadline; undos have their own.
fn check_deadlines(
    seen: &[(Micros, Observation)],
    deadlines: &BTreeMap<String, Micros>,
    verdict: &mut Verdict,
) {
    for (at, saw) in seen {
        let (event, what) = match saw {
            Observation::RequestStarted { event, .. } => (event, "begun"),
            Observation::RequestFinished { event, .. } => (event, "still running"),
            _ => continue,
        };
        let Some((workflow, step)) = event.rsplit_once('/') else { continue };
        let late = deadlines.get(workflow).map(|deadline| at.saturating_sub(*deadline));
        if let Some(late) = late.filter(|late| *late > DEADLINE_SLACK && !step.starts_with("release")) {
            verdict
                .record_breach(6, format!("step {event} was {what} {} ms past its chain's time", late / MS));
        }
    }
}
