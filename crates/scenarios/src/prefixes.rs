//! Requests that begin alike: what pinned prompt prefixes save at the workers, and who can have one pinned.
//! Judged from what the workers saw: which requests came with a lease, and what was prepared.
use crate::audit::{Outage, Terms, Verdict, judge};
use crate::bad_day::{effects, restart_all};
use crate::errors::ScenarioError;
use crate::faulty_network::FaultyNetwork;
use crate::fleet_settings::fleet_block;
use crate::plan::{self, Plan, RouterSettings};
use crate::process::Setup;
use crate::testbed::Testbed;
use applepond_fakes::client::{PlannedRequest, RequestOutcome, Results};
use applepond_fakes::ledger::{Ledger, Observation};
use applepond_reactor::Micros;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// µs from the first process to the first request.
const SETTLING_TIME: Micros = 4 * S;
/// µs of requests.
const LENGTH: Micros = 52 * S;
/// µs at the end of that which are counted.
const COUNTED_TIME: Micros = 20 * S;
/// µs after the last request until every one must have been answered.
const TAIL: Micros = 6 * S;
/// Requests a second over the fleet.
const RATE: f64 = 150.0;
/// Prefixes that requests are drawn from.
const PREFIXES: u64 = 2_000;
/// Exponent of their popularity by rank.
const ZIPF_EXPONENT: f64 = 1.1;
/// Units of each prefix.
const PREFIX_UNITS: u32 = 100;
/// Units that a worker keeps.
const WORKER_UNITS: u64 = 6_000;
/// µs that a worker takes to prepare one unit.
const PREPARE_TIME: Micros = 600;
/// Units that pins may take.
const PINNED_UNITS: u64 = 4_000;
/// Pins that one change of the list may add.
const MAX_CHANGES: usize = 8;
/// Routers that are replicas of the agreed state.
const REPLICAS: usize = 3;
/// A prefix that one client asks for again and again at one router.
const LOOP: &str = "loop";
/// How often it does, a second.
const LOOP_RATE: f64 = 1.0;
/// µs into the scenario at which routers die.
const DEATH: Micros = 30 * S;
/// µs into the scenario at which they start again.
const RESTART: Micros = 33 * S;
/// µs of a lease.
const LEASE_TIME: Micros = 60 * S;
/// µs after its end for which a lease may still be seen: with a request that was written before.
const LEASE_SLACK: Micros = 500 * MS;

/// What may happen in the middle of it.
pub const FAULTS: [&str; 4] = ["none", "kill", "keepers", "halves"];
/// How prefixes are pinned: not at all, or by the merged counts of all routers.
pub const PINNING_MODES: [&str; 2] = ["lru", "merged"];
/// Bugs that can be seeded, with the rule that each breaks.
pub const SEEDED_BUGS: [(&str, &str); 1] = [("lone-voter-pins", ONE_ROUTER)];
const ONE_ROUTER: &str = "one router's word pins nothing";
const FIVE_RULES: &str = "the five rules";
const MEMORY: &str = "what is pinned stays within its memory";
const PINNED: &str = "what many ask for is pinned";

/// What is played.
pub struct Options<'a> {
    /// The routers.
    pub setup: &'a Setup,
    /// One of `FAULTS`.
    pub fault: &'a str,
    /// One of `PINNING_MODES`.
    pub pinning: &'a str,
}

/// The result.
#[derive(Default)]
pub struct Report {
    /// By rule, its breaches in words.
    pub broken: BTreeMap<&'static str, Vec<String>>,
    /// The audit's judgement.
    pub verdict: Verdict,
    /// Requests in all.
    pub requests: usize,
    /// Share of requests answered in time, in the time that is counted.
    pub in_time: f64,
    /// Seconds of preparing prefixes in that time.
    pub preparing_seconds: f64,
    /// Prefixes prepared in that time.
    pub prepared: usize,
    /// Prefixes that came with a lease in that time.
    pub pinned: usize,
    /// The most prefixes under leases at one worker at a time.
    pub most_at_one_worker: usize,
}

/// Replaces the requests of the plan by ones that have prefixes.
fn draw_requests(plan: &mut Plan, setup: &Setup, begin: Micros) {
    let mut rng = Rand64::new(u128::from(setup.seed) ^ 0x0be9);
    let sums: Vec<f64> = (1..=PREFIXES)
        .scan(0.0, |sum, rank| {
            *sum += (rank as f64).powf(-ZIPF_EXPONENT);
            Some(*sum)
        })
        .collect();
    let drawn = std::mem::take(&mut plan.requests);
    let (mut at, mut number) = (begin, 0);
    while at < begin + LENGTH {
        at += (-(1.0 - rng.rand_float()).ln() / (RATE + LOOP_RATE) * S as f64) as Micros + 1;
        let mut request = drawn[number % drawn.len()].clone();
        (request.at, request.id) = (at, format!("job-{number}"));
        (request.duplicate_after, request.disconnect_after) = (None, None);
        if number < REPLICAS {
            // Once at each replica: whoever proposes knows its size, and that it was asked for elsewhere.
            (request.router, request.prefix) = (number, Some((LOOP.to_owned(), PREFIX_UNITS)));
        } else if rng.rand_float() < LOOP_RATE / (RATE + LOOP_RATE) {
            (request.router, request.prefix) = (setup.routers - 1, Some((LOOP.to_owned(), PREFIX_UNITS)));
        } else {
            let drawn = rng.rand_float() * sums[PREFIXES as usize - 1];
            let rank = sums.partition_point(|sum| *sum < drawn);
            request.prefix = Some((format!("opening-{rank}"), PREFIX_UNITS));
        }
        plan.requests.push(request);
        number += 1;
    }
}

/// Plays it in this folder, step by step, which is why the function is long; `progress` is given a line when
/// routers die.
///
/// # Errors
/// Why it could not be played.
pub fn run(
    options: &Options<'_>,
    folder: &Path,
    progress: &mut dyn FnMut(&str),
) -> Result<Report, ScenarioError> {
    let network = FaultyNetwork::new(options.setup.seed)
        .map_err(|error| ScenarioError::machine(folder.display(), error))?;
    let setup = Setup { proxy: Some(network.proxy), ..options.setup.clone() };
    let mut testbed = Testbed::new(setup.clone(), folder, SETTLING_TIME)?;
    let begin = testbed.begin;
    let plan = draw(&setup, begin, testbed.store);
    testbed.add_fakes(&plan, |_| ());
    let ports = start_routers(&mut testbed, options, &setup)?;
    let results = testbed.add_clients(&plan.requests);
    let dying = dying_routers(options);
    let mut outages: Vec<Outage> = Vec::new();
    let mut has_restarted = dying.is_empty();
    let end = begin + LENGTH + TAIL;
    while testbed.now() < end && (results.borrow().done < plan.requests.len() || !has_restarted) {
        testbed.poll(10)?;
        let now = testbed.now();
        if now >= begin + DEATH && outages.is_empty() && !dying.is_empty() {
            progress(&format!("{} routers die", dying.len()));
            for index in &dying {
                outages.extend(testbed.kill(*index)?);
            }
        }
        if now >= begin + RESTART && !has_restarted {
            restart_all(&mut testbed, &mut outages)?;
            has_restarted = true;
        }
        if options.fault == "halves" && now >= begin + DEATH {
            partition(&network, &ports, now < begin + RESTART);
        }
    }
    testbed.routers.clear();
    let terms = Terms {
        grace: plan::DRAIN_GRACE,
        dedup_window: plan::DEDUP_WINDOW,
        effects: effects(&plan),
        outages,
        end: Micros::MAX,
    };
    let mut report = Report { requests: plan.requests.len(), ..Report::default() };
    report.verdict = testbed.ledger.read(|ledger| judge(ledger, &terms));
    let from = begin + LENGTH - COUNTED_TIME;
    report.in_time = share_in_time(&plan.requests, &results.borrow(), from);
    let loops = count_seen(&mut report, &testbed.ledger, from);
    judge_pins(&mut report, options, loops);
    Ok(report)
}

/// A plan without faults whose requests have prefixes.
fn draw(setup: &Setup, begin: Micros, store: SocketAddr) -> Plan {
    let plan = plan::generate(setup.seed, begin, setup.workers, setup.routers, store);
    let mut plan = plan.without_faults();
    for worker in &mut plan.workers {
        (worker.config.prefix_units, worker.config.prepare_time_per_unit) = (WORKER_UNITS, PREPARE_TIME);
    }
    draw_requests(&mut plan, setup, begin);
    plan
}

/// Starts the routers; returns where each listens for datagrams.
fn start_routers(
    testbed: &mut Testbed<'_>,
    options: &Options<'_>,
    setup: &Setup,
) -> Result<Vec<SocketAddr>, ScenarioError> {
    let key = testbed.write_fleet_key()?;
    let ports = testbed.fleet_ports()?;
    for index in 0..setup.routers {
        let mut more = "fleet {\n keepers = [\"r0\", \"r1\", \"r2\"]\n".to_owned();
        if index < REPLICAS {
            more += &format!(" votes = \"{}\"\n", testbed.file(&format!("r{index}.votes")).display());
        }
        if options.pinning == "merged" {
            more += &format!(
                " openings {{\n  prepare = \"{PREPARE_TIME}us\"\n  memory = {PINNED_UNITS}\n  \
                 keeps = \"8s\"\n }}\n"
            );
        }
        let block = fleet_block(index, &ports, &key).replacen("fleet {\n", &more, 1);
        let settings = RouterSettings::new(setup, index, testbed.endpoint_list).with_blocks(block);
        let prefix = "late_part = 0.2\n  opening_by = \"opening\"\n  opening_size_by = \"openingsize\"";
        testbed.start_router(&settings.to_hcl().replace("late_part = 0.2", prefix))?;
    }
    Ok(ports)
}

fn dying_routers(options: &Options<'_>) -> Vec<usize> {
    match options.fault {
        // Most, the one with the loop among those that stay.
        "kill" => (0..options.setup.routers * 7 / 10).collect(),
        "keepers" => vec![0, 1],
        _ => Vec::new(),
    }
}

/// Cuts the fleet in halves, or joins it.
fn partition(network: &FaultyNetwork, ports: &[SocketAddr], is_cut: bool) {
    let (one, other) = ports.split_at(ports.len() / 2);
    let mut faults = network.faults();
    if !is_cut {
        faults.cut.clear();
    } else if faults.cut.is_empty() {
        faults.partition(one, other);
    }
}

/// Share of the requests from this moment on that were answered in time.
fn share_in_time(requests: &[PlannedRequest], results: &Results, from: Micros) -> f64 {
    let counted = requests.iter().zip(&results.outcomes).filter(|(request, _)| request.at >= from);
    let (all, in_time) = counted.fold((0usize, 0usize), |(all, in_time), (_, (got, _))| {
        (all + 1, in_time + usize::from(*got == RequestOutcome::Finished))
    });
    in_time as f64 / all.max(1) as f64
}

/// Counts what workers saw of prefixes from this moment on; returns how many requests of the loop came with a
/// lease.
fn count_seen(report: &mut Report, ledger: &Ledger, from: Micros) -> usize {
    let (mut pinned, mut loops) = (BTreeSet::new(), 0);
    // By worker: prefixes, and when the latest lease came with each.
    let mut leases: BTreeMap<Rc<str>, BTreeMap<Rc<str>, Micros>> = BTreeMap::new();
    ledger.read(|ledger| {
        for (at, saw) in ledger {
            match saw {
                Observation::PrefixPrepared { duration, .. } if *at >= from => {
                    report.prepared += 1;
                    report.preparing_seconds += *duration as f64 / 1e6;
                }
                Observation::PrefixPinned { worker, prefix, .. } => {
                    loops += usize::from(**prefix == *LOOP);
                    let held = leases.entry(worker.clone()).or_default();
                    held.retain(|_, last| *at < *last + LEASE_TIME + LEASE_SLACK);
                    held.insert(prefix.clone(), *at);
                    report.most_at_one_worker = report.most_at_one_worker.max(held.len());
                    if *at >= from {
                        pinned.insert(prefix.clone());
                    }
                }
                _ => {}
            }
        }
    });
    report.pinned = pinned.len();
    loops
}

fn judge_pins(report: &mut Report, options: &Options<'_>, loops: usize) {
    let mut breaks = |rule: &'static str, what: String| report.broken.entry(rule).or_default().push(what);
    if !report.verdict.broken.is_empty() {
        breaks(FIVE_RULES, format!("{:?}", report.verdict.broken));
    }
    if loops > 0 {
        breaks(ONE_ROUTER, format!("{loops} jobs of one client's loop came with a lease"));
    }
    // Memory that pins may take, and as many as one change of the list may bring before it is seen.
    let limit = (PINNED_UNITS / u64::from(PREFIX_UNITS)) as usize + MAX_CHANGES;
    if report.most_at_one_worker > limit {
        let most = report.most_at_one_worker;
        breaks(MEMORY, format!("{most} openings at one worker under leases, {limit} at most"));
    }
    if options.pinning == "merged" && report.pinned == 0 {
        breaks(PINNED, "no job came with a lease".to_owned());
    }
}
