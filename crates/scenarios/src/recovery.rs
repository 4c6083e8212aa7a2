//! Most routers are killed and restarted with requests in flight: how soon the service recovers, and what
//! load the recovery puts on others. Judged from the sockets of workers, model store and clients and from the
//! network between the routers.
use crate::audit::{Outage, Terms, Verdict, judge};
use crate::bad_day::{effects, restart_all};
use crate::errors::ScenarioError;
use crate::faulty_network::{FaultyNetwork, MessageCounts};
use crate::fleet_settings::fleet_block;
use crate::plan::{self, Plan, RouterSettings};
use crate::process::Setup;
use crate::testbed::Testbed;
use applepond_fakes::client::{RequestOutcome, Results};
use applepond_fakes::endpoint_list::Endpoint;
use applepond_fakes::ledger::{Ledger, Observation};
use applepond_fakes::worker::{Behaviour, ScriptEvent};
use applepond_reactor::Micros;
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Time in µs from the first process to the first request, in which routers connect to the endpoint list and
/// to each other.
const SETTLING_TIME: Micros = 4 * S;
/// Duration in µs of normal load before the first kill.
const NORMAL_TIME: Micros = 9 * S;
/// Time in µs at the end of that over which the baseline of the service is measured.
const BASELINE_TIME: Micros = 4 * S;
/// Time in µs between the first kill and the restarts.
const OUTAGE_TIME: Micros = 3 * S;
/// Duration of arrivals in µs after the restarts.
const TIME_AFTER_RESTART: Micros = 13 * S;
/// Time in µs after the last arrival in which every request must get its response.
const RESPONSE_GRACE: Micros = 4 * S;
/// Time in µs by which the drain notice precedes the kills.
const DRAIN_LEAD: Micros = 3 * S;
/// Time in µs after the restarts for which the endpoint list does not report the drain.
const STALE_LIST_TIME: Micros = 4 * S;
/// Window in µs over which the service is measured.
const WINDOW: Micros = S;
/// Distance in µs between the starts of two such windows.
const WINDOW_STEP: Micros = 250 * MS;
/// Resolution in µs of the measured recovery time.
const RECOVERY_STEP: Micros = 50 * MS;
/// Time in µs for which the service must stay recovered.
const STABLE_TIME: Micros = 5 * S;
/// Share of the baseline at which the service counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Share of the baseline that the last seconds must reach.
const MIN_SHARE_AT_END: f64 = 0.85;
/// Requests per second and worker: 0.7 of the capacity of two cores at an average of 60 ms per request.
const RATE: f64 = 23.0;
/// Limit of recovery requests to one router in a tenth of a second: three routers at a time that request all
/// pages, plus the same number of requests that find nothing.
const MAX_RECOVERY_REQUESTS: u64 = 60;
/// Limit of one router's share of the recovery requests of the first second, as a multiple of an even share.
const MAX_SHARE_FACTOR: f64 = 3.5;
/// Minimum number of other routers for the check of that limit. With fewer, the limit does not tell a faulty
/// choice of peers from chance.
const MIN_OTHER_ROUTERS: usize = 15;
/// First bytes of a recovery request.
const RECOVERY_REQUEST: [u8; 2] = [0xb3, 1];
/// Number of routers that are replicas of the agreed state.
const REPLICAS: usize = 3;

/// Faults: how many routers are killed and how fast, whether their files are lost (`lost`), and whether the
/// network is faulty after the restarts (`cut`).
pub const FAULTS: [&str; 6] = ["kill", "wave", "nineteen", "all", "lost", "cut"];
/// Sources from which a router may restore its state: snapshot and peers, or only one, or neither.
pub const START_STATES: [&str; 4] = ["both", "nothing", "snapshot", "peers"];
/// Bugs that can be seeded, each with the rule that it breaks and the fault and start state that reveal it.
pub const SEEDED_BUGS: [(&str, &str, &str, &str); 3] = [
    ("forgets-drains", DRAIN_KEPT, "kill", "both"),
    ("empty-is-zero", DRAIN_KEPT, "nineteen", "peers"),
    ("all-ask-one", REQUESTS_SPREAD, "kill", "peers"),
];
const DRAIN_KEPT: &str = "a drain that was told is kept over a return";
const REQUESTS_SPREAD: &str = "no router is asked by all at once";
const FIVE_RULES: &str = "the five rules";
const RECOVERED: &str = "service is whole again";

/// Options of the scenario.
pub struct Options<'a> {
    /// The routers.
    pub setup: &'a Setup,
    /// One of `FAULTS`.
    pub fault: &'a str,
    /// One of `START_STATES`.
    pub start_state: &'a str,
}

/// Result of the scenario.
#[derive(Default)]
pub struct Report {
    /// By rule, a description of each breach.
    pub broken: BTreeMap<&'static str, Vec<String>>,
    /// Result of the audit.
    pub verdict: Verdict,
    /// Share of requests that finished in time: before the first kill, while routers are dead, and in the 2 s
    /// after the last restart.
    pub service: [f64; 3],
    /// The same share in the last seconds of the scenario.
    pub service_at_end: f64,
    /// Time in ms from the last restart until the service recovers and stays so, if it does.
    pub recovery_ms: Option<u64>,
    /// Highest number of fetches from the model store in a tenth of a second, before the kills.
    pub fetches_before: usize,
    /// The same number after the last restart.
    pub fetches_after: usize,
    /// Number of overloads of cold workers.
    pub overloaded_cold: usize,
    /// Number of requests that the draining worker received from restarted routers.
    pub strays: usize,
    /// Number of those that arrived later than the drain grace after the restart.
    pub strays_after_grace: usize,
    /// Highest number of recovery requests to one router in a tenth of a second.
    pub peak_recovery_requests: u64,
    /// Number of recovery requests.
    pub recovery_requests: u64,
    /// Highest share of one router in the recovery requests of the first second after the restarts.
    pub max_request_share: f64,
    /// Number of requests.
    pub requests: usize,
}

impl Report {
    fn record_breach(&mut self, rule: &'static str, breach: String) {
        self.broken.entry(rule).or_default().push(breach);
    }
}

/// Generates the plan: steady load, one worker that fails most of its requests and one that drains.
fn generate_plan(setup: &Setup, begin: Micros, store: SocketAddr) -> Plan {
    let mut plan = plan::generate(setup.seed, begin, setup.workers, setup.routers, store).without_faults();
    plan.workers[1].script = vec![(begin, ScriptEvent::SetBehaviour(Behaviour::FailFast(0.8)))];
    plan.workers[0].statuses = vec![(begin + NORMAL_TIME - DRAIN_LEAD, "draining")];
    let length = NORMAL_TIME + OUTAGE_TIME + TIME_AFTER_RESTART;
    let mut rng = Rand64::new(u128::from(setup.seed) ^ 0x5eed);
    let (mut at, mut number, drawn) = (begin, 0, std::mem::take(&mut plan.requests));
    while at < begin + length {
        at += (-(1.0 - rng.rand_float()).ln() / (RATE * setup.workers as f64) * S as f64) as Micros + 1;
        let mut request = drawn[number % drawn.len()].clone();
        (request.at, request.id) = (at, format!("job-{number}"));
        (request.duplicate_after, request.disconnect_after) = (None, None);
        plan.requests.push(request);
        number += 1;
    }
    plan
}

/// Renders the fleet block of a router for the start state.
fn render_fleet_block(
    options: &Options<'_>,
    testbed: &Testbed<'_>,
    index: usize,
    ports: &[SocketAddr],
) -> String {
    let block = fleet_block(index, ports, &testbed.file("key"));
    let file = |what: &str| testbed.file(&format!("r{index}.{what}")).display().to_string();
    let mut more = "fleet {\n keepers = [\"r0\", \"r1\", \"r2\"]\n".to_owned();
    if index < REPLICAS {
        more += &format!(" votes = \"{}\"\n", file("votes"));
    }
    if matches!(options.start_state, "both" | "snapshot") {
        more += &format!(" snapshot = \"{}\"\n", file("snapshot"));
    }
    block.replacen("fleet {\n", &more, 1)
}

/// Chooses the routers to kill, in order, each with the time in µs from the start of the kills.
fn choose_kills(options: &Options<'_>, rng: &mut Rand64) -> Vec<(Micros, usize)> {
    let routers = options.setup.routers;
    let (count, span) = match options.fault {
        "wave" => (routers * 7 / 10, OUTAGE_TIME - 200 * MS),
        "nineteen" => (routers - 1, 200 * MS),
        "all" | "lost" => (routers, 200 * MS),
        _ => (routers * 7 / 10, S),
    };
    let mut dying: Vec<usize> = (0..routers).collect();
    for index in (1..routers).rev() {
        dying.swap(index, rng.rand_range(0..index as u64 + 1) as usize);
    }
    dying.truncate(count);
    let mut kills: Vec<(Micros, usize)> =
        dying.into_iter().map(|index| (rng.rand_range(0..span), index)).collect();
    kills.sort_unstable();
    kills
}

/// Runs the scenario with its files in `folder`. Calls `progress` with a line when the routers restart.
///
/// # Errors
/// Returns an error if the scenario could not run.
pub fn run(
    options: &Options<'_>,
    folder: &Path,
    progress: &mut dyn FnMut(&str),
) -> Result<Report, ScenarioError> {
    let network = counting_network(options, folder)?;
    let setup = setup(options, network.proxy);
    let mut testbed = Testbed::new(setup.clone(), folder, SETTLING_TIME)?;
    let begin = testbed.begin;
    let restarts = begin + NORMAL_TIME + OUTAGE_TIME;
    let plan = generate_plan(&setup, begin, testbed.store);
    let draining: Endpoint = plan.list().0[0].clone();
    // Restarted routers first receive a stale copy of the list.
    let stale = (restarts, restarts + STALE_LIST_TIME, draining.clone());
    testbed.add_fakes(&plan, |list| list.stale = Some(stale));
    let ports = start_routers(&mut testbed, options, &setup)?;
    let results = testbed.add_clients(&plan.requests);
    let mut rng = Rand64::new(u128::from(setup.seed));
    let mut kills = choose_kills(options, &mut rng).into_iter().peekable();
    let mut outages = Vec::new();
    let mut last_restart = None;
    let end = begin + NORMAL_TIME + OUTAGE_TIME + TIME_AFTER_RESTART + RESPONSE_GRACE;
    while testbed.now() < end && (results.borrow().done < plan.requests.len() || last_restart.is_none()) {
        testbed.poll(10)?;
        let now = testbed.now();
        while let Some((_, index)) = kills.next_if(|(at, _)| now >= begin + NORMAL_TIME + at) {
            outages.extend(testbed.kill(index)?);
            if options.fault == "lost" {
                remove_files(&testbed, index);
            }
        }
        if now >= restarts && last_restart.is_none() {
            progress(&format!("{} of {} routers restart", outages.len(), setup.routers));
            if options.fault == "cut" {
                add_network_faults(&network, &ports, &mut rng);
            }
            restart_all(&mut testbed, &mut outages)?;
            last_restart = Some((testbed.now(), network.tenth()));
        }
    }
    testbed.observe_late_responses()?;
    testbed.routers.clear();
    let (last, tenth) = last_restart.unwrap_or((restarts, 0));
    let mut report = Report { requests: plan.requests.len(), ..Report::default() };
    measure_service(&mut report, &arrivals(&plan, &results.borrow()), begin, last);
    count_observations(&mut report, &testbed.ledger, &draining, &outages, (begin, last));
    count_recovery_requests(&mut report, &network, tenth);
    let terms = Terms {
        grace: plan::DRAIN_GRACE,
        dedup_window: plan::DEDUP_WINDOW,
        effects: effects(&plan),
        outages,
        end: Micros::MAX,
    };
    report.verdict = testbed.ledger.read(|ledger| judge(ledger, &terms));
    check_recovery(&mut report, options);
    Ok(report)
}

/// Creates a network that counts recovery requests.
fn counting_network(options: &Options<'_>, folder: &Path) -> Result<FaultyNetwork, ScenarioError> {
    let network = FaultyNetwork::new(options.setup.seed)
        .map_err(|error| ScenarioError::machine(folder.display(), error))?;
    let counts = MessageCounts { prefix: RECOVERY_REQUEST.to_vec(), counts: BTreeMap::new() };
    network.faults().counts = Some(counts);
    Ok(network)
}

/// Starts the routers. Returns the address on which each listens for datagrams.
fn start_routers(
    testbed: &mut Testbed<'_>,
    options: &Options<'_>,
    setup: &Setup,
) -> Result<Vec<SocketAddr>, ScenarioError> {
    testbed.write_fleet_key()?;
    let ports = testbed.fleet_ports()?;
    for index in 0..setup.routers {
        let block = render_fleet_block(options, testbed, index, &ports);
        let settings = RouterSettings::new(setup, index, testbed.endpoint_list).with_blocks(block);
        testbed.start_router(&settings.to_hcl())?;
    }
    Ok(ports)
}

/// Returns the router setup for the start state.
fn setup(options: &Options<'_>, proxy: SocketAddr) -> Setup {
    let mut setup = Setup { proxy: Some(proxy), ..options.setup.clone() };
    if matches!(options.start_state, "nothing" | "snapshot") {
        setup.seeded_bug = Some("no-peers".to_owned());
    }
    setup
}

/// Removes the files of a dead router.
fn remove_files(testbed: &Testbed<'_>, index: usize) {
    for what in ["votes", "snapshot"] {
        let _ = std::fs::remove_file(testbed.file(&format!("r{index}.{what}")));
    }
}

/// Makes the network lose a fifth of all datagrams and cuts one direction in eight.
fn add_network_faults(network: &FaultyNetwork, ports: &[SocketAddr], rng: &mut Rand64) {
    let mut faults = network.faults();
    faults.loss_rate = 0.2;
    for (from, sender) in ports.iter().enumerate() {
        for (to, receiver) in ports.iter().enumerate() {
            if from != to && rng.rand_float() < 0.125 {
                faults.cut.insert((*sender, *receiver));
            }
        }
    }
}

/// Returns the arrival time of each request and whether it finished in time.
fn arrivals(plan: &Plan, results: &Results) -> Vec<(Micros, bool)> {
    let requests = plan.requests.iter().zip(&results.outcomes);
    requests.map(|(request, (outcome, _))| (request.at, *outcome == RequestOutcome::Finished)).collect()
}

/// Adds the counts of recovery requests to the report. `tenth` is the tenth of a second of the restarts.
fn count_recovery_requests(report: &mut Report, network: &FaultyNetwork, tenth: u64) {
    let counts = network.faults().counts.take().map(|counted| counted.counts).unwrap_or_default();
    report.peak_recovery_requests = counts.values().copied().max().unwrap_or(0);
    report.recovery_requests = counts.values().sum();
    // Starts half a second early, as the first routers send requests while the others are still starting.
    let mut early: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    for ((to, at), count) in &counts {
        if (tenth.saturating_sub(5)..tenth + 10).contains(at) {
            *early.entry(*to).or_default() += count;
        }
    }
    let all: u64 = early.values().sum();
    report.max_request_share = early.values().copied().max().unwrap_or(0) as f64 / all.max(1) as f64;
}

/// Returns the share of the requests in a time range that finished in time, or `None` if there were none.
fn share(requests: &[(Micros, bool)], from: Micros, until: Micros) -> Option<f64> {
    let in_time: Vec<bool> =
        requests.iter().filter(|(at, _)| (from..until).contains(at)).map(|(_, ok)| *ok).collect();
    (!in_time.is_empty()).then(|| in_time.iter().filter(|ok| **ok).count() as f64 / in_time.len() as f64)
}

/// Measures the service from the arrival time of each request and whether it finished in time.
fn measure_service(report: &mut Report, requests: &[(Micros, bool)], begin: Micros, last: Micros) {
    let first = begin + NORMAL_TIME;
    let before = share(requests, first - BASELINE_TIME, first).unwrap_or(0.0);
    let share_of = |from, until| share(requests, from, until).unwrap_or(0.0);
    report.service = [before, share_of(first, last), share_of(last, last + 2 * S)];
    let is_recovered = |from: Micros| {
        share(requests, from, from + WINDOW).is_none_or(|share| share >= RECOVERED_SHARE * before)
    };
    let stays_recovered = |from: Micros| {
        (0..=(STABLE_TIME - WINDOW) / WINDOW_STEP).all(|step| is_recovered(from + step * WINDOW_STEP))
    };
    let ends = requests.last().map_or(last, |(at, _)| *at);
    report.service_at_end = share(requests, ends.saturating_sub(STABLE_TIME), ends).unwrap_or(0.0);
    let mut at = last;
    while at + STABLE_TIME <= ends {
        if stays_recovered(at) {
            report.recovery_ms = Some((at - last) / MS);
            return;
        }
        at += RECOVERY_STEP;
    }
}

/// Adds the counts from the workers' and the store's observations to the report.
fn count_observations(
    report: &mut Report,
    ledger: &Ledger,
    draining: &Endpoint,
    outages: &[Outage],
    (begin, last): (Micros, Micros),
) {
    let first = begin + NORMAL_TIME;
    ledger.read(|ledger| {
        let mut tenths: BTreeMap<Micros, usize> = BTreeMap::new();
        for (at, observation) in ledger {
            match observation {
                Observation::ModelFetch { accepted: true } => {
                    *tenths.entry(at / (100 * MS)).or_default() += 1
                }
                Observation::WorkerOverloaded { .. } => report.overloaded_cold += 1,
                Observation::RequestReceived { worker, router, .. }
                    if *worker == draining.name && *at > last =>
                {
                    let outage = outages.iter().find(|outage| outage.router == *router);
                    let after = outage.map(|outage| at.saturating_sub(outage.until));
                    report.strays += usize::from(after.is_some());
                    report.strays_after_grace +=
                        usize::from(after.is_some_and(|after| after > plan::DRAIN_GRACE));
                }
                _ => {}
            }
        }
        let peak = |from: Micros, until: Micros| {
            tenths.range(from / (100 * MS)..until / (100 * MS)).map(|(_, count)| *count).max().unwrap_or(0)
        };
        report.fetches_before = peak(begin, first);
        report.fetches_after = peak(last, last + STABLE_TIME);
    });
}

fn check_recovery(report: &mut Report, options: &Options<'_>) {
    if !report.verdict.broken.is_empty() {
        let breach = format!("{:?}", report.verdict.broken);
        report.record_breach(FIVE_RULES, breach);
    }
    // The drain can be kept only if routers ask their peers, and a peer or a snapshot still has it.
    let can_be_kept = matches!(options.start_state, "both" | "peers") && options.fault != "lost";
    if can_be_kept
        && report.strays_after_grace > 0
        && !(options.start_state == "peers" && options.fault == "all")
    {
        let breach =
            format!("the draining worker received {} requests after the grace", report.strays_after_grace);
        report.record_breach(DRAIN_KEPT, breach);
    }
    if report.peak_recovery_requests > MAX_RECOVERY_REQUESTS {
        let breach = format!(
            "one router received {} recovery requests in a tenth of a second",
            report.peak_recovery_requests
        );
        report.record_breach(REQUESTS_SPREAD, breach);
    }
    let others = options.setup.routers - 1;
    let several = matches!(options.fault, "kill" | "wave" | "cut") && others >= MIN_OTHER_ROUTERS;
    if several && report.max_request_share > MAX_SHARE_FACTOR / others as f64 {
        let breach = format!(
            "one router received a share of {:.2} of the recovery requests of the first second",
            report.max_request_share
        );
        report.record_breach(REQUESTS_SPREAD, breach);
    }
    // On a busy host the service dips at times, so the recovery time is only reported. The rule requires that
    // the service is back at the end.
    if report.service_at_end < MIN_SHARE_AT_END * report.service[0] {
        let breach = format!(
            "share in time {:.3} in the last {} s, {:.3} before the kills",
            report.service_at_end,
            STABLE_TIME / S,
            report.service[0]
        );
        report.record_breach(RECOVERED, breach);
    }
}
