//! Requests with shared prompt prefixes: how much preparation pinned prefixes save at the workers, and which
//! requests can get a prefix pinned. Judged from the observations of the workers: which requests carried a
//! lease, and which prefixes were prepared.
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
/// Time in µs from the first process to the first request.
const SETTLING_TIME: Micros = 4 * S;
/// Duration of arrivals in µs.
const ARRIVAL_TIME: Micros = 52 * S;
/// Time in µs at the end of the arrivals that is measured.
const COUNTED_TIME: Micros = 20 * S;
/// Time in µs after the last arrival in which every request must get its response.
const RESPONSE_GRACE: Micros = 6 * S;
/// Requests per second in the fleet.
const RATE: f64 = 150.0;
/// Number of prefixes that requests can have.
const PREFIXES: u64 = 2_000;
/// Zipf exponent of their popularity by rank.
const ZIPF_EXPONENT: f64 = 1.1;
/// Size of each prefix in units.
const PREFIX_UNITS: u32 = 100;
/// Capacity of a worker's prefix cache in units.
const WORKER_UNITS: u64 = 6_000;
/// Time in µs to prepare one unit of a prefix.
const PREPARE_TIME: Micros = 600;
/// Units of the cache that pins may occupy.
const PINNED_UNITS: u64 = 4_000;
/// Number of pins that one change of the pin list may add.
const MAX_CHANGES: usize = 8;
/// Number of routers that are replicas of the agreed state.
const REPLICAS: usize = 3;
/// A prefix that one client requests repeatedly at one router.
const LOOP_PREFIX: &str = "loop";
/// Rate of those requests per second.
const LOOP_RATE: f64 = 1.0;
/// Time in µs from the first request at which routers are killed, or the partition starts.
const FAULT_START: Micros = 30 * S;
/// Time in µs from the first request at which they restart, or the partition ends.
const FAULT_END: Micros = 33 * S;
/// Duration of a lease in µs.
const LEASE_TIME: Micros = 60 * S;
/// Time in µs after the end of a lease in which a request written before may still arrive with it.
const LEASE_SLACK: Micros = 500 * MS;

/// Faults that can be injected during the run.
pub const FAULTS: [&str; 4] = ["none", "kill", "keepers", "halves"];
/// How prefixes are pinned: not at all (`lru`), or by the merged counts of all routers.
pub const PINNING_MODES: [&str; 2] = ["lru", "merged"];
/// Bugs that can be seeded, each with the rule that it breaks.
pub const SEEDED_BUGS: [(&str, &str); 1] = [("lone-voter-pins", ONE_ROUTER)];
const ONE_ROUTER: &str = "one router's word pins nothing";
const FIVE_RULES: &str = "the five rules";
const MEMORY: &str = "what is pinned stays within its memory";
const PINNED: &str = "what many ask for is pinned";

/// Options of the scenario.
pub struct Options<'a> {
    /// The routers.
    pub setup: &'a Setup,
    /// One of `FAULTS`.
    pub fault: &'a str,
    /// One of `PINNING_MODES`.
    pub pinning: &'a str,
}

/// Result of the scenario.
#[derive(Default)]
pub struct Report {
    /// By rule, a description of each breach.
    pub broken: BTreeMap<&'static str, Vec<String>>,
    /// Result of the audit.
    pub verdict: Verdict,
    /// Number of requests.
    pub requests: usize,
    /// Share of requests that finished in time, in the measured time.
    pub in_time: f64,
    /// Core seconds spent on preparing prefixes in that time.
    pub preparing_seconds: f64,
    /// Number of prefixes prepared in that time.
    pub prepared: usize,
    /// Number of distinct prefixes that carried a lease in that time.
    pub pinned: usize,
    /// Highest number of prefixes under lease at one worker at any time.
    pub most_at_one_worker: usize,
}

/// Replaces the requests of the plan by requests with prefixes.
fn add_prefixes(plan: &mut Plan, setup: &Setup, begin: Micros) {
    let mut rng = Rand64::new(u128::from(setup.seed) ^ 0x0be9);
    let sums: Vec<f64> = (1..=PREFIXES)
        .scan(0.0, |sum, rank| {
            *sum += (rank as f64).powf(-ZIPF_EXPONENT);
            Some(*sum)
        })
        .collect();
    let drawn = std::mem::take(&mut plan.requests);
    let (mut at, mut number) = (begin, 0);
    while at < begin + ARRIVAL_TIME {
        at += (-(1.0 - rng.rand_float()).ln() / (RATE + LOOP_RATE) * S as f64) as Micros + 1;
        let mut request = drawn[number % drawn.len()].clone();
        (request.at, request.id) = (at, format!("job-{number}"));
        (request.duplicate_after, request.disconnect_after) = (None, None);
        if number < REPLICAS {
            // One request at each replica, so that a proposer knows the size of the prefix and that other
            // routers have seen it too.
            (request.router, request.prefix) = (number, Some((LOOP_PREFIX.to_owned(), PREFIX_UNITS)));
        } else if rng.rand_float() < LOOP_RATE / (RATE + LOOP_RATE) {
            (request.router, request.prefix) =
                (setup.routers - 1, Some((LOOP_PREFIX.to_owned(), PREFIX_UNITS)));
        } else {
            let drawn = rng.rand_float() * sums[PREFIXES as usize - 1];
            let rank = sums.partition_point(|sum| *sum < drawn);
            request.prefix = Some((format!("opening-{rank}"), PREFIX_UNITS));
        }
        plan.requests.push(request);
        number += 1;
    }
}

/// Runs the scenario with its files in `folder`. Calls `progress` with a line when routers are killed.
///
/// # Errors
/// Returns an error if the scenario could not run.
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
    let plan = generate_plan(&setup, begin, testbed.store);
    testbed.add_fakes(&plan, |_| ());
    let ports = start_routers(&mut testbed, options, &setup)?;
    let results = testbed.add_clients(&plan.requests);
    let dying = dying_routers(options);
    let mut outages: Vec<Outage> = Vec::new();
    let mut has_restarted = dying.is_empty();
    let end = begin + ARRIVAL_TIME + RESPONSE_GRACE;
    while testbed.now() < end && (results.borrow().done < plan.requests.len() || !has_restarted) {
        testbed.poll(10)?;
        let now = testbed.now();
        if now >= begin + FAULT_START && outages.is_empty() && !dying.is_empty() {
            progress(&format!("{} routers are killed", dying.len()));
            for index in &dying {
                outages.extend(testbed.kill(*index)?);
            }
        }
        if now >= begin + FAULT_END && !has_restarted {
            restart_all(&mut testbed, &mut outages)?;
            has_restarted = true;
        }
        if options.fault == "halves" && now >= begin + FAULT_START {
            partition(&network, &ports, now < begin + FAULT_END);
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
    let from = begin + ARRIVAL_TIME - COUNTED_TIME;
    report.in_time = share_in_time(&plan.requests, &results.borrow(), from);
    let leased_loop_requests = count_observations(&mut report, &testbed.ledger, from);
    check_pins(&mut report, options, leased_loop_requests);
    Ok(report)
}

/// Generates a plan without faults whose requests have prefixes.
fn generate_plan(setup: &Setup, begin: Micros, store: SocketAddr) -> Plan {
    let plan = plan::generate(setup.seed, begin, setup.workers, setup.routers, store);
    let mut plan = plan.without_faults();
    for worker in &mut plan.workers {
        (worker.config.prefix_units, worker.config.prepare_time_per_unit) = (WORKER_UNITS, PREPARE_TIME);
    }
    add_prefixes(&mut plan, setup, begin);
    plan
}

/// Starts the routers. Returns the address on which each listens for datagrams.
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
        // Most routers; the last one, which receives the loop, survives.
        "kill" => (0..options.setup.routers * 7 / 10).collect(),
        "keepers" => vec![0, 1],
        _ => Vec::new(),
    }
}

/// Partitions the fleet into halves, or ends the partition.
fn partition(network: &FaultyNetwork, ports: &[SocketAddr], is_cut: bool) {
    let (one, other) = ports.split_at(ports.len() / 2);
    let mut faults = network.faults();
    if !is_cut {
        faults.cut.clear();
    } else if faults.cut.is_empty() {
        faults.partition(one, other);
    }
}

/// Returns the share of the requests since `from` that finished in time.
fn share_in_time(requests: &[PlannedRequest], results: &Results, from: Micros) -> f64 {
    let counted = requests.iter().zip(&results.outcomes).filter(|(request, _)| request.at >= from);
    let (all, in_time) = counted.fold((0usize, 0usize), |(all, in_time), (_, (outcome, _))| {
        (all + 1, in_time + usize::from(*outcome == RequestOutcome::Finished))
    });
    in_time as f64 / all.max(1) as f64
}

/// Adds the workers' observations of prefixes since `from` to the report. Returns the number of requests of
/// the loop that carried a lease.
fn count_observations(report: &mut Report, ledger: &Ledger, from: Micros) -> usize {
    let (mut pinned, mut leased_loop_requests) = (BTreeSet::new(), 0);
    // By worker and prefix, the time at which the latest lease arrived.
    let mut leases: BTreeMap<Rc<str>, BTreeMap<Rc<str>, Micros>> = BTreeMap::new();
    ledger.read(|ledger| {
        for (at, observation) in ledger {
            match observation {
                Observation::PrefixPrepared { duration, .. } if *at >= from => {
                    report.prepared += 1;
                    report.preparing_seconds += *duration as f64 / 1e6;
                }
                Observation::PrefixPinned { worker, prefix, .. } => {
                    leased_loop_requests += usize::from(**prefix == *LOOP_PREFIX);
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
    leased_loop_requests
}

fn check_pins(report: &mut Report, options: &Options<'_>, leased_loop_requests: usize) {
    let mut record_breach =
        |rule: &'static str, breach: String| report.broken.entry(rule).or_default().push(breach);
    if !report.verdict.broken.is_empty() {
        record_breach(FIVE_RULES, format!("{:?}", report.verdict.broken));
    }
    if leased_loop_requests > 0 {
        let breach = format!("{leased_loop_requests} requests of one client's loop carried a lease");
        record_breach(ONE_ROUTER, breach);
    }
    // The memory for pins, plus the pins that one change of the list can add before workers observe it.
    let limit = (PINNED_UNITS / u64::from(PREFIX_UNITS)) as usize + MAX_CHANGES;
    if report.most_at_one_worker > limit {
        let most = report.most_at_one_worker;
        record_breach(MEMORY, format!("{most} prefixes under lease at one worker, limit {limit}"));
    }
    if options.pinning == "merged" && report.pinned == 0 {
        record_breach(PINNED, "no request carried a lease".to_owned());
    }
}
