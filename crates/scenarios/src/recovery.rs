//! Most routers die and are restarted, with requests in flight: how soon service is whole again, and what the
//! recovery costs others. Judged from the sockets of workers, store, clients and the network between the
//! routers.
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
/// µs from the first process to the first request: routers find the endpoint list and each other.
const SETTLING_TIME: Micros = 4 * S;
/// µs of requests before the first router dies.
const BEFORE: Micros = 9 * S;
/// µs at the end of that whose service is compared with.
const STEADY_TIME: Micros = 4 * S;
/// µs between the first death and the first restart.
const OUTAGE_TIME: Micros = 3 * S;
/// µs of requests after the first restart.
const AFTER: Micros = 13 * S;
/// µs after the last request until every one must have been answered.
const TAIL: Micros = 4 * S;
/// µs by which a drain comes before the deaths.
const DRAIN_LEAD: Micros = 3 * S;
/// µs after the restarts for which the endpoint list does not know of the drain.
const STALE_LIST_TIME: Micros = 4 * S;
/// µs of a window in which service is measured.
const WINDOW: Micros = S;
/// µs between two such windows.
const WINDOW_STEP: Micros = 250 * MS;
/// µs between two moments from which service may be whole.
const RECOVERY_STEP: Micros = 50 * MS;
/// µs for which service has to stay whole.
const STABLE_TIME: Micros = 5 * S;
/// Part of the service before that is whole service.
const RECOVERED_SHARE: f64 = 0.95;
/// Part of the service before that the last seconds must have.
const MIN_SHARE_AT_END: f64 = 0.85;
/// Requests a second and worker: 0.7 of what two cores do with requests of 60 ms on average.
const RATE: f64 = 23.0;
/// Limit of recovery requests to one router in a tenth of a second: of three routers at a time all pages, and
/// as many that find nothing.
const MAX_ASKS: u64 = 60;
/// Limit of the recovery requests of the first second to one router, in times an even part of them.
const MAX_ASKS_FACTOR: f64 = 3.5;
/// Routers from which on that tells chance from design.
const MIN_ROUTERS_ASKED: usize = 15;
/// First bytes of a recovery request.
const RECOVERY_REQUEST: [u8; 2] = [0xb3, 1];
/// Routers that are replicas of the agreed state.
const REPLICAS: usize = 3;

/// Who dies and what is left of their disks.
pub const FAULTS: [&str; 6] = ["kill", "wave", "nineteen", "all", "lost", "cut"];
/// What a router may start from.
pub const START_STATES: [&str; 4] = ["both", "nothing", "snapshot", "peers"];
/// Bugs that can be seeded, the rule that each breaks, and the fault and the way in which it shows.
pub const SEEDED_BUGS: [(&str, &str, &str, &str); 3] = [
    ("forgets-drains", DRAIN_KEPT, "kill", "both"),
    ("empty-is-zero", DRAIN_KEPT, "nineteen", "peers"),
    ("all-ask-one", ASKS_SPREAD, "kill", "peers"),
];
const DRAIN_KEPT: &str = "a drain that was told is kept over a return";
const ASKS_SPREAD: &str = "no router is asked by all at once";
const FIVE_RULES: &str = "the five rules";
const RECOVERED: &str = "service is whole again";

/// What is played.
pub struct Options<'a> {
    /// The routers.
    pub setup: &'a Setup,
    /// One of `FAULTS`.
    pub fault: &'a str,
    /// One of `START_STATES`.
    pub start_state: &'a str,
}

/// The result.
#[derive(Default)]
pub struct Report {
    /// By rule, its breaches in words.
    pub broken: BTreeMap<&'static str, Vec<String>>,
    /// The audit's judgement.
    pub verdict: Verdict,
    /// Share of requests in time before the first death, while routers are dead, and in the 2 s after the
    /// last restart.
    pub service: [f64; 3],
    /// The same in the last seconds of the scenario.
    pub service_at_end: f64,
    /// ms from the last restart until service is whole and stays so; none within the scenario.
    pub recovery_ms: Option<u64>,
    /// Fetches in the tenth of a second that had most, before the deaths.
    pub fetches_before: usize,
    /// The same after the last restart.
    pub fetches_after: usize,
    /// Cold workers that were overloaded.
    pub overloaded_cold: usize,
    /// Requests that came to the draining worker from restarted routers.
    pub strays: usize,
    /// Those of them that came later than the grace after the restart.
    pub strays_after_grace: usize,
    /// Recovery requests to one router in the tenth of a second that had most.
    pub peak_recovery_requests: u64,
    /// Recovery requests in all.
    pub recovery_requests: u64,
    /// Part of those of the first second after the restarts that went to the most asked router.
    pub max_request_share: f64,
    /// Requests in all.
    pub requests: usize,
}

impl Report {
    fn breaks(&mut self, rule: &'static str, what: String) {
        self.broken.entry(rule).or_default().push(what);
    }
}

/// The plan of this scenario: steady requests, one worker that fails most of what it gets, one that drains.
fn draw(setup: &Setup, begin: Micros, store: SocketAddr) -> Plan {
    let mut plan = plan::generate(setup.seed, begin, setup.workers, setup.routers, store).without_faults();
    plan.workers[1].script = vec![(begin, ScriptEvent::SetBehaviour(Behaviour::FailFast(0.8)))];
    plan.workers[0].statuses = vec![(begin + BEFORE - DRAIN_LEAD, "draining")];
    let length = BEFORE + OUTAGE_TIME + AFTER;
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

/// The fleet block of one router, by what it may start from.
fn block(options: &Options<'_>, testbed: &Testbed<'_>, index: usize, ports: &[SocketAddr]) -> String {
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

/// Which routers die, each with µs since the first death, in their order.
fn deaths(options: &Options<'_>, rng: &mut Rand64) -> Vec<(Micros, usize)> {
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
    let mut deaths: Vec<(Micros, usize)> =
        dying.into_iter().map(|index| (rng.rand_range(0..span), index)).collect();
    deaths.sort_unstable();
    deaths
}

/// Plays it in this folder, step by step, which is why the function is long; `progress` is given a line when
/// the routers start again.
///
/// # Errors
/// Why it could not be played.
pub fn run(
    options: &Options<'_>,
    folder: &Path,
    progress: &mut dyn FnMut(&str),
) -> Result<Report, ScenarioError> {
    let network = counting_network(options, folder)?;
    let setup = setup(options, network.proxy);
    let mut testbed = Testbed::new(setup.clone(), folder, SETTLING_TIME)?;
    let begin = testbed.begin;
    let restarts = begin + BEFORE + OUTAGE_TIME;
    let plan = draw(&setup, begin, testbed.store);
    let draining: Endpoint = plan.list().0[0].clone();
    // A copy of the list that is behind is what restarted routers get first.
    let stale = (restarts, restarts + STALE_LIST_TIME, draining.clone());
    testbed.add_fakes(&plan, |list| list.stale = Some(stale));
    let ports = start_routers(&mut testbed, options, &setup)?;
    let results = testbed.add_clients(&plan.requests);
    let mut rng = Rand64::new(u128::from(setup.seed));
    let mut deaths = deaths(options, &mut rng).into_iter().peekable();
    let mut outages = Vec::new();
    let mut last_restart = None;
    let end = begin + BEFORE + OUTAGE_TIME + AFTER + TAIL;
    while testbed.now() < end && (results.borrow().done < plan.requests.len() || last_restart.is_none()) {
        testbed.poll(10)?;
        let now = testbed.now();
        while let Some((_, index)) = deaths.next_if(|(at, _)| now >= begin + BEFORE + at) {
            outages.extend(testbed.kill(index)?);
            if options.fault == "lost" {
                lose_files(&testbed, index);
            }
        }
        if now >= restarts && last_restart.is_none() {
            progress(&format!("{} of {} routers start again", outages.len(), setup.routers));
            if options.fault == "cut" {
                cut_some(&network, &ports, &mut rng);
            }
            restart_all(&mut testbed, &mut outages)?;
            last_restart = Some((testbed.now(), network.tenth()));
        }
    }
    testbed.observe_late_responses()?;
    testbed.routers.clear();
    let (last, tenth) = last_restart.unwrap_or((restarts, 0));
    let mut report = Report { requests: plan.requests.len(), ..Report::default() };
    measure_service(&mut report, &in_time(&plan, &results.borrow()), begin, last);
    count_seen(&mut report, &testbed.ledger, &draining, &outages, (begin, last));
    count_asks(&mut report, &network, tenth);
    let terms = Terms {
        grace: plan::DRAIN_GRACE,
        dedup_window: plan::DEDUP_WINDOW,
        effects: effects(&plan),
        outages,
        end: Micros::MAX,
    };
    report.verdict = testbed.ledger.read(|ledger| judge(ledger, &terms));
    judge_recovery(&mut report, options);
    Ok(report)
}

/// A network that counts recovery requests.
fn counting_network(options: &Options<'_>, folder: &Path) -> Result<FaultyNetwork, ScenarioError> {
    let network = FaultyNetwork::new(options.setup.seed)
        .map_err(|error| ScenarioError::machine(folder.display(), error))?;
    let counts = MessageCounts { prefix: RECOVERY_REQUEST.to_vec(), counts: BTreeMap::new() };
    network.faults().counts = Some(counts);
    Ok(network)
}

/// Starts the routers; returns where each listens for datagrams.
fn start_routers(
    testbed: &mut Testbed<'_>,
    options: &Options<'_>,
    setup: &Setup,
) -> Result<Vec<SocketAddr>, ScenarioError> {
    testbed.write_fleet_key()?;
    let ports = testbed.fleet_ports()?;
    for index in 0..setup.routers {
        let block = block(options, testbed, index, &ports);
        let settings = RouterSettings::new(setup, index, testbed.endpoint_list).with_blocks(block);
        testbed.start_router(&settings.to_hcl())?;
    }
    Ok(ports)
}

/// The routers, by what they may start from.
fn setup(options: &Options<'_>, proxy: SocketAddr) -> Setup {
    let mut setup = Setup { proxy: Some(proxy), ..options.setup.clone() };
    if matches!(options.start_state, "nothing" | "snapshot") {
        setup.seeded_bug = Some("no-peers".to_owned());
    }
    setup
}

/// Removes the files of a dead router.
fn lose_files(testbed: &Testbed<'_>, index: usize) {
    for what in ["votes", "snapshot"] {
        let _ = std::fs::remove_file(testbed.file(&format!("r{index}.{what}")));
    }
}

/// A network that loses a fifth of all datagrams, and on which one way in eight is cut.
fn cut_some(network: &FaultyNetwork, ports: &[SocketAddr], rng: &mut Rand64) {
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

/// When each request came, and whether it was answered in time.
fn in_time(plan: &Plan, results: &Results) -> Vec<(Micros, bool)> {
    let requests = plan.requests.iter().zip(&results.outcomes);
    requests.map(|(request, (got, _))| (request.at, *got == RequestOutcome::Finished)).collect()
}

/// Counts recovery requests, of which the first second is that around this tenth of a second.
fn count_asks(report: &mut Report, network: &FaultyNetwork, tenth: u64) {
    let counts = network.faults().counts.take().map(|counted| counted.counts).unwrap_or_default();
    report.peak_recovery_requests = counts.values().copied().max().unwrap_or(0);
    report.recovery_requests = counts.values().sum();
    // From the first of them on: starting all takes a moment.
    let mut early: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    for ((to, at), count) in &counts {
        if (tenth.saturating_sub(5)..tenth + 10).contains(at) {
            *early.entry(*to).or_default() += count;
        }
    }
    let all: u64 = early.values().sum();
    report.max_request_share = early.values().copied().max().unwrap_or(0) as f64 / all.max(1) as f64;
}

/// Share of the requests from one time to another that were answered in time; none where there were none.
fn share(requests: &[(Micros, bool)], from: Micros, until: Micros) -> Option<f64> {
    let these: Vec<bool> =
        requests.iter().filter(|(at, _)| (from..until).contains(at)).map(|(_, ok)| *ok).collect();
    (!these.is_empty()).then(|| these.iter().filter(|ok| **ok).count() as f64 / these.len() as f64)
}

/// Measures service, given when each request came and whether it was answered in time.
fn measure_service(report: &mut Report, requests: &[(Micros, bool)], begin: Micros, last: Micros) {
    let first = begin + BEFORE;
    let before = share(requests, first - STEADY_TIME, first).unwrap_or(0.0);
    let share_of = |from, until| share(requests, from, until).unwrap_or(0.0);
    report.service = [before, share_of(first, last), share_of(last, last + 2 * S)];
    let whole = |from: Micros| {
        share(requests, from, from + WINDOW).is_none_or(|share| share >= RECOVERED_SHARE * before)
    };
    let stays = |from: Micros| {
        (0..=(STABLE_TIME - WINDOW) / WINDOW_STEP).all(|step| whole(from + step * WINDOW_STEP))
    };
    let ends = requests.last().map_or(last, |(at, _)| *at);
    report.service_at_end = share(requests, ends.saturating_sub(STABLE_TIME), ends).unwrap_or(0.0);
    let mut at = last;
    while at + STABLE_TIME <= ends {
        if stays(at) {
            report.recovery_ms = Some((at - last) / MS);
            return;
        }
        at += RECOVERY_STEP;
    }
}

/// Counts what workers and store saw.
fn count_seen(
    report: &mut Report,
    ledger: &Ledger,
    draining: &Endpoint,
    outages: &[Outage],
    (begin, last): (Micros, Micros),
) {
    let first = begin + BEFORE;
    ledger.read(|ledger| {
        let mut tenths: BTreeMap<Micros, usize> = BTreeMap::new();
        for (at, saw) in ledger {
            match saw {
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
        let most = |from: Micros, until: Micros| {
            tenths.range(from / (100 * MS)..until / (100 * MS)).map(|(_, count)| *count).max().unwrap_or(0)
        };
        report.fetches_before = most(begin, first);
        report.fetches_after = most(last, last + STABLE_TIME);
    });
}

fn judge_recovery(report: &mut Report, options: &Options<'_>) {
    if !report.verdict.broken.is_empty() {
        let what = format!("{:?}", report.verdict.broken);
        report.breaks(FIVE_RULES, what);
    }
    // Where nothing is stored and nobody is asked, or nobody knows, it cannot be kept.
    let can_be_kept = matches!(options.start_state, "both" | "peers") && options.fault != "lost";
    if can_be_kept
        && report.strays_after_grace > 0
        && !(options.start_state == "peers" && options.fault == "all")
    {
        let what = format!("{} jobs came to the draining worker after the grace", report.strays_after_grace);
        report.breaks(DRAIN_KEPT, what);
    }
    if report.peak_recovery_requests > MAX_ASKS {
        let what =
            format!("{} asks came to one router in a tenth of a second", report.peak_recovery_requests);
        report.breaks(ASKS_SPREAD, what);
    }
    let others = options.setup.routers - 1;
    let several = matches!(options.fault, "kill" | "wave" | "cut") && others >= MIN_ROUTERS_ASKED;
    if several && report.max_request_share > MAX_ASKS_FACTOR / others as f64 {
        let what =
            format!("{:.2} of the asks of the first second went to one router", report.max_request_share);
        report.breaks(ASKS_SPREAD, what);
    }
    // A machine that plays other things beside it has bad seconds: when service was whole is a
    // measurement, that it came back at all is the rule.
    if report.service_at_end < MIN_SHARE_AT_END * report.service[0] {
        let what = format!(
            "{:.3} in the last {} s, {:.3} before",
            report.service_at_end,
            STABLE_TIME / S,
            report.service[0]
        );
        report.breaks(RECOVERED, what);
    }
}
