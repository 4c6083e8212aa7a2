//! Workflows with one deadline. Compares clients that let the routers run whole workflows with clients that
//! call the same steps one by one with fixed time limits, at the same load.
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
/// Time in µs from the first process to the first request.
const SETTLING_TIME: Micros = 1_500 * MS;
/// Duration of arrivals in µs.
const ARRIVAL_TIME: Micros = 14 * S;
/// Time in µs at the beginning that is not measured, as all functions load then.
const LOADING_TIME: Micros = 3 * S;
/// Time limit of a workflow in µs.
const TIME_LIMIT: Micros = 2 * S;
/// Tolerance in µs for a step that runs past its workflow's deadline: the worker learns of the cancellation
/// with a delay, and the host may pause.
const DEADLINE_SLACK: Micros = 150 * MS;
/// Average number of steps of a workflow, from which the arrival rate at load 1 follows.
const STEPS: f64 = 3.3;
/// Average run time of a step in ms.
const STEP_MS: u64 = 60;
/// Retry delay in µs of a client that received no retry time.
const RETRY_DELAY: Micros = 500 * MS;
/// Average interval in µs between two kills.
const KILL_INTERVAL: Micros = 800 * MS;
/// Time in µs from a kill until the router restarts.
const OUTAGE_TIME: Micros = 200 * MS;
/// Interval in µs between progress reports.
const PROGRESS_INTERVAL: Micros = 5 * S;
/// The `chain` blocks that are used by default.
pub const DEFAULT_WORKFLOWS: &str = include_str!("../plans/booking.hcl");

/// Options of the scenario.
pub struct Options<'a> {
    /// The routers.
    pub setup: &'a Setup,
    /// Load as a fraction of the fleet's capacity.
    pub load: f64,
    /// `chain` blocks; the clients send events of type `book`.
    pub workflows: &'a str,
    /// Whether the clients call the steps one by one themselves.
    pub step_by_step: bool,
    /// Number of times that a router is killed, at random times, and restarted.
    pub kills: usize,
    /// Importance of the workloads quote, hold and confirm.
    pub importance: [u64; 3],
}

/// Result of the scenario.
#[derive(Default)]
pub struct Report {
    /// Result of the audit.
    pub verdict: Verdict,
    /// Number of workflows requested in the measured time.
    pub workflows: usize,
    /// Number of those that finished in time.
    pub finished: usize,
    /// Number of steps started at workers.
    pub steps: usize,
    /// Number of requests by outcome, as seen by the clients.
    pub outcomes: BTreeMap<RequestOutcome, usize>,
    /// Number of workflows that got no response although one of their steps with an effect started.
    pub unanswered: usize,
    /// Number of those that are in a router's workflow store.
    pub unanswered_on_record: usize,
}

/// Returns the next step of a client that calls the steps one by one. Each step has a third of the time
/// limit; unused time is not carried over. `result` is the previous step's result, `price` the first step's.
fn next_step(
    request: &PlannedRequest,
    spent: Micros,
    result: &Value,
    price: &Value,
) -> Option<PlannedRequest> {
    let (id, step) = request.id.rsplit_once('/')?;
    let build_step = |step: &str, kind: &'static str, function: &str| PlannedRequest {
        id: format!("{id}/{step}"),
        event_type: kind,
        function: price[function].as_str().unwrap_or("hold-hut-1").to_owned(),
        timeout: (spent + TIME_LIMIT / 3).min(TIME_LIMIT),
        idempotent: false,
        keyed: kind == "hold",
        ..request.clone()
    };
    match step {
        "price" => Some(build_step("beds", "hold", "hut")),
        "beds" if result["free"] == false => Some(build_step("second", "hold", "other")),
        "beds" | "second" => Some(build_step("confirm", "confirm", "desk")),
        _ => None,
    }
}

/// Returns the duration of arrivals in µs, extended to fit all kills.
fn arrival_time(options: &Options<'_>) -> Micros {
    ARRIVAL_TIME.max(options.kills as Micros * KILL_INTERVAL)
}

/// Generates the requests of all clients.
fn requests(options: &Options<'_>, begin: Micros) -> Vec<PlannedRequest> {
    let mut rng = Rand64::new(u128::from(options.setup.seed));
    // Workers have two cores, see `plan::worker_config`.
    let rate = options.load * options.setup.workers as f64 * 2.0 * 1000.0 / STEP_MS as f64 / STEPS;
    let prices: RefCell<BTreeMap<String, Value>> = RefCell::default();
    let follow: FollowUp = Rc::new(move |request, spent, response| {
        let result: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let workflow = request.id.rsplit_once('/')?.0.to_owned();
        let mut prices = prices.borrow_mut();
        let price = prices.entry(workflow).or_insert_with(|| result.clone());
        next_step(request, spent, &result, price)
    });
    let (mut at, mut requests) = (begin, Vec::new());
    while at < begin + arrival_time(options) {
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
            // A workflow that may have started can be requested again: the router joins the request to the
            // running workflow or resumes it from its record.
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

/// Runs the scenario with its files in `folder`. Calls `progress` with a line about every five seconds.
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
    let tail = if setup.seeded_bug.is_some() { 6 * S } else { 0 };
    let end = begin + arrival_time(options) + TIME_LIMIT + S + tail;
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
            progress(&format!("{at:>4} s  {done} of {all} workflows, {kills} kills"));
        }
    }
    testbed.routers.clear();
    let mut report = audit_workflows(&plan.requests, &testbed.ledger, killer.outages, end);
    count_outcomes(&mut report, &plan.requests, &results.borrow(), begin);
    if !options.step_by_step {
        check_records(&mut report, options, &testbed, &plan.requests, &results.borrow())?;
    }
    Ok(report)
}

fn record_file(testbed: &Testbed<'_>, router: usize) -> std::path::PathBuf {
    testbed.file(&format!("record-{router}"))
}

/// Renders settings with a workflow store. Its entries are kept for longer than the scenario runs, as it
/// checks them at the end.
fn router_settings(options: &Options<'_>, testbed: &Testbed<'_>, index: usize) -> String {
    let record = record_file(testbed, index);
    let more = format!("record = \"{}\"\nbounds {{\n  remember_for = \"600s\"\n}}\n", record.display());
    let mut settings = RouterSettings::new(options.setup, index, testbed.endpoint_list).with_blocks(more);
    settings.importance = options.importance;
    // The workloads come first, as the workflows refer to them.
    settings.to_hcl() + options.workflows
}

/// Kills routers at random times and restarts them.
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

fn audit_workflows(
    requests: &[PlannedRequest],
    ledger: &Ledger,
    outages: Vec<Outage>,
    end: Micros,
) -> Report {
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
    let verdict = ledger.read(|observations| {
        let mut verdict = judge(observations, &terms);
        check_deadlines(observations, &deadlines, &mut verdict);
        verdict
    });
    Report { steps: verdict.attempts, verdict, ..Report::default() }
}

fn count_outcomes(report: &mut Report, requests: &[PlannedRequest], results: &Results, begin: Micros) {
    for (request, (outcome, _)) in requests.iter().zip(&results.outcomes) {
        if request.at >= begin + LOADING_TIME {
            report.workflows += 1;
            report.finished += usize::from(*outcome == RequestOutcome::Finished);
        }
        *report.outcomes.entry(*outcome).or_default() += 1;
    }
}

/// Counts the workflows without a response of which a step with an effect started, and how many of them are
/// in a workflow store.
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
    for (request, (outcome, _)) in requests.iter().zip(&results.outcomes) {
        let got_response = !matches!(outcome, RequestOutcome::Nothing | RequestOutcome::Broken);
        if got_response || !with_effect.contains(&format!("{} {}", request.source, request.id)) {
            continue;
        }
        report.unanswered += 1;
        let key = (request.source.as_str(), request.id.as_str());
        let is_on_record = records.iter_mut().any(|record| matches!(record.load(key), Ok(Some(_))));
        report.unanswered_on_record += usize::from(is_on_record);
    }
    Ok(())
}

/// Returns the workflows of which a step with an effect started.
fn workflows_with_effect(observations: &[(Micros, Observation)]) -> BTreeSet<String> {
    let workflow = |observation: &Observation| {
        let Observation::RequestStarted { event, .. } = observation else { return None };
        let (workflow, step) = event.rsplit_once('/')?;
        (step != "price").then(|| workflow.to_owned())
    };
    observations.iter().filter_map(|(_, observation)| workflow(observation)).collect()
}

/// Rule 6: no step starts or runs past its workflow's deadline. Undo steps are exempt, as they have their own
/// deadline.
fn check_deadlines(
    observations: &[(Micros, Observation)],
    deadlines: &BTreeMap<String, Micros>,
    verdict: &mut Verdict,
) {
    for (at, observation) in observations {
        let (event, state) = match observation {
            Observation::RequestStarted { event, .. } => (event, "started"),
            Observation::RequestFinished { event, .. } => (event, "still running"),
            _ => continue,
        };
        let Some((workflow, step)) = event.rsplit_once('/') else { continue };
        let late = deadlines.get(workflow).map(|deadline| at.saturating_sub(*deadline));
        if let Some(late) = late.filter(|late| *late > DEADLINE_SLACK && !step.starts_with("release")) {
            verdict.record_breach(
                6,
                format!("step {event} was {state} {} ms past its workflow's deadline", late / MS),
            );
        }
    }
}
