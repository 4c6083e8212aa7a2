//! Plan of a scenario: the workers, the requests and the times of the faults, all generated from one seed.
use crate::audit::Outage;
use crate::process::Setup;
use applepond_fakes::client::PlannedRequest;
use applepond_fakes::endpoint_list::Endpoint;
use applepond_fakes::ledger::Ledger;
use applepond_fakes::worker::{Behaviour, Rack, ScriptEvent, Worker, WorkerConfig};
use applepond_reactor::Micros;
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Number of zones. Zone `n` uses the loopback addresses 127.(10 + n).0.0/16.
pub const ZONES: usize = 3;
/// Duration of arrivals in µs.
pub const ARRIVAL_TIME: Micros = 26 * S;
/// Requests per second and worker outside the load jump.
const RATE: f64 = 11.0;
/// Factor of that rate during the load jump.
const JUMP_FACTOR: f64 = 2.0;
/// Number of functions that are called; popularity falls as 1 / rank.
const FUNCTIONS: u64 = 40;
/// Time in µs for which a rack drops duplicates.
pub const DEDUP_WINDOW: Micros = 3 * S;
/// Time in µs after a drain notice during which routers may still send new requests to the worker.
pub const DRAIN_GRACE: Micros = 2 * S;
/// Importance of the workloads quote, hold and confirm.
pub const IMPORTANCE: [u64; 3] = [1, 3, 5];
/// Time in µs from a drain notice to the end of the process. It is longer than the grace, so that requests
/// that arrive too late are observed.
const DRAIN_TIME: Micros = 4 * S;
/// Usual delay of the endpoint list in µs.
const LIST_DELAY: Micros = 300 * MS;
/// Delay of the endpoint list in µs while it is late.
const LATE_LIST_DELAY: Micros = 1_500 * MS;
/// Time in µs for which a client waits for a response.
const CLIENT_TIMEOUT: Micros = 4 * S;

/// The part of the plan that concerns one worker.
pub struct WorkerScript {
    /// Its configuration.
    pub config: WorkerConfig,
    /// Its zone.
    pub zone: usize,
    /// Its script.
    pub script: Vec<(Micros, ScriptEvent)>,
    /// Changes of its status. The endpoint list learns of them with a delay.
    pub statuses: Vec<(Micros, &'static str)>,
    /// Whether it runs from the beginning.
    pub from_start: bool,
}

/// Plan of a scenario.
pub struct Plan {
    /// The workers.
    pub workers: Vec<WorkerScript>,
    /// The requests in order of arrival.
    pub requests: Vec<PlannedRequest>,
    /// Start and end of an outage of the model store.
    pub store_outage: Option<(Micros, Micros)>,
    /// Outage of a router.
    pub router_outage: Outage,
    /// Start and end of the time in which the endpoint list is late.
    pub late_list: (Micros, Micros),
    /// Start and end of an outage of the endpoint list.
    pub list_outage: (Micros, Micros),
    /// Descriptions of the planned events.
    pub timeline: Vec<(Micros, String)>,
}

/// Returns an address in a zone with a port that is free now.
///
/// # Panics
/// If no port is free.
pub fn address(zone: usize, host: usize) -> SocketAddr {
    let host = Ipv4Addr::new(127, 10 + zone as u8, (std::process::id() % 250) as u8, (host + 1) as u8);
    let probe = TcpListener::bind((host, 0)).and_then(|listener| listener.local_addr());
    probe.expect("a loopback address has a free port")
}

/// Configuration of the worker of this index in a zone.
pub fn worker_config(index: usize, zone: usize, store: SocketAddr, seed: u64, name: String) -> WorkerConfig {
    WorkerConfig {
        name: Rc::from(name),
        listen: address(zone, index),
        rack: (zone * 2 + index / ZONES % 2) as i64,
        cores: 2,
        memory_mb: 8_000,
        max_waiting: 40,
        store: Some(store),
        load_time: 120 * MS,
        idle_unload_time: 8 * S,
        cold_share: 0.25,
        warmup_time: 6 * S,
        overload_factor: 2.5,
        overload_window: S,
        dedup_window: DEDUP_WINDOW,
        seed: seed ^ index as u64,
        prefix_units: 400,
        prepare_time_per_unit: 1_000,
    }
}

/// Times of the faults. Pairs are start and end.
struct Timetable {
    jump: (Micros, Micros),
    late_list: (Micros, Micros),
    drain_wave: Micros,
    zone_outage: (Micros, Micros),
    store_outage: (Micros, Micros),
    failing: (Micros, Micros),
    hanging: (Micros, Micros),
    malformed: (Micros, Micros),
    list_outage: (Micros, Micros),
    router_outage: (Micros, Micros),
}

impl Timetable {
    fn generate(rng: &mut Rand64, begin: Micros) -> Self {
        let mut about = |ms: u64| begin + ms * MS + rng.rand_range(0..800) * MS;
        // Each field draws from `rng`, so their order determines the plan of a seed.
        Timetable {
            jump: (about(3_000), about(6_000)),
            late_list: (about(5_000), about(11_000)),
            drain_wave: about(7_500),
            zone_outage: (about(12_500), about(16_000)),
            store_outage: (about(15_500), about(17_500)),
            failing: (about(18_500), about(21_000)),
            hanging: (about(19_500), about(22_000)),
            malformed: (about(1_500), about(3_000)),
            list_outage: (about(24_000), about(24_900)),
            router_outage: (about(21_500), about(23_000)),
        }
    }

    /// Describes the events, except those of single workers.
    fn timeline(&self, lost_hall: usize, killed: usize) -> Vec<(Micros, String)> {
        let ms = |(from, until): (Micros, Micros)| (until - from) / MS;
        let late =
            format!("the endpoint list is {} ms late instead of {}", LATE_LIST_DELAY / MS, LIST_DELAY / MS);
        vec![
            (self.list_outage.0, format!("the endpoint list is down for {} ms", ms(self.list_outage))),
            (self.jump.0, format!("{JUMP_FACTOR} times the requests for {} ms", ms(self.jump))),
            (self.late_list.0, late),
            (self.drain_wave, "a quarter of the workers drains, cold replacements start".to_owned()),
            (self.zone_outage.0, format!("zone {lost_hall} is lost")),
            (self.zone_outage.1, format!("zone {lost_hall} is back with cold workers")),
            (self.store_outage.0, format!("the model store is down for {} ms", ms(self.store_outage))),
            (self.router_outage.0, format!("router {killed} is killed")),
            (self.router_outage.1, format!("router {killed} is restarted")),
        ]
    }
}

/// Generates the plan of the bad day; `begin` is the time of the first request.
pub fn generate(seed: u64, begin: Micros, workers: usize, routers: usize, store: SocketAddr) -> Plan {
    let mut rng = Rand64::new(u128::from(seed));
    let times = Timetable::generate(&mut rng, begin);
    let lost_hall = rng.rand_range(0..ZONES as u64) as usize;
    let killed = rng.rand_range(0..routers as u64) as usize;
    let mut scripts = steady_workers(workers, store, seed);
    add_drain_wave(&mut scripts, times.drain_wave, store, seed);
    add_zone_outage(&mut scripts, lost_hall, times.zone_outage);
    let mut timeline = times.timeline(lost_hall, killed);
    timeline.extend(schedule_misbehaviour(&mut scripts[..workers], lost_hall, &times));
    timeline.sort();
    scripts.iter_mut().for_each(|script| script.script.sort_by_key(|(at, _)| *at));
    let requests = requests(&mut rng, begin, workers, routers, times.jump);
    Plan {
        workers: scripts,
        requests,
        store_outage: Some(times.store_outage),
        router_outage: Outage {
            router: killed as u64,
            from: times.router_outage.0,
            until: times.router_outage.1,
        },
        late_list: times.late_list,
        list_outage: times.list_outage,
        timeline,
    }
}

/// Creates workers without scripted events, spread evenly over the zones.
pub(crate) fn steady_workers(workers: usize, store: SocketAddr, seed: u64) -> Vec<WorkerScript> {
    let script = |index| WorkerScript {
        config: worker_config(index, index % ZONES, store, seed, format!("w{index}")),
        zone: index % ZONES,
        script: Vec::new(),
        statuses: Vec::new(),
        from_start: true,
    };
    (0..workers).map(script).collect()
}

/// Drains a quarter of the workers and starts as many cold ones under new names.
fn add_drain_wave(scripts: &mut Vec<WorkerScript>, wave: Micros, store: SocketAddr, seed: u64) {
    let workers = scripts.len();
    for index in (0..workers).filter(|index| index % 4 == 1) {
        scripts[index].statuses = vec![(wave, "draining"), (wave + DRAIN_TIME, "gone")];
        scripts[index].script = vec![(wave + DRAIN_TIME, ScriptEvent::Stop)];
        let zone = scripts[index].zone;
        scripts.push(WorkerScript {
            config: worker_config(workers + index, zone, store, seed, format!("w{index}b")),
            zone,
            script: vec![(wave + S, ScriptEvent::Start)],
            statuses: vec![(wave + S, "ready")],
            from_start: false,
        });
    }
}

/// Stops all workers of a zone, except those that drain, and restarts them cold.
fn add_zone_outage(scripts: &mut [WorkerScript], zone: usize, (from, until): (Micros, Micros)) {
    let stays = |script: &WorkerScript| script.statuses.iter().all(|(_, status)| *status != "gone");
    for script in scripts.iter_mut().filter(|script| script.zone == zone && stays(script)) {
        script.script.extend([(from, ScriptEvent::Stop), (until, ScriptEvent::Start)]);
        script.statuses.extend([(from, "gone"), (until, "ready")]);
    }
}

/// Makes one worker after the other misbehave for a time, leaving out those that are lost or drained. Returns
/// descriptions.
fn schedule_misbehaviour(
    scripts: &mut [WorkerScript],
    lost_hall: usize,
    times: &Timetable,
) -> Vec<(Micros, String)> {
    let unaffected = |index: &usize| index % ZONES != lost_hall && index % 4 != 1;
    let mut others = (0..scripts.len()).filter(unaffected);
    let mut misbehave = |(from, until): (Micros, Micros), behaviour: Behaviour| {
        let index = others.next().unwrap_or(0);
        scripts[index].script.extend([
            (from, ScriptEvent::SetBehaviour(behaviour)),
            (until, ScriptEvent::SetBehaviour(Behaviour::Well)),
        ]);
        (from, format!("worker w{index}: {behaviour:?} for {} ms", (until - from) / MS))
    };
    vec![
        misbehave(times.failing, Behaviour::FailFast(0.8)),
        misbehave(times.hanging, Behaviour::Hang),
        misbehave(times.malformed, Behaviour::CutAnswers),
        misbehave(times.malformed, Behaviour::Garbage),
        misbehave((times.malformed.1, times.malformed.1 + S), Behaviour::TwoAnswers),
        misbehave((times.drain_wave, times.drain_wave + S), Behaviour::Stall),
    ]
}

/// Generates the requests.
fn requests(
    rng: &mut Rand64,
    begin: Micros,
    workers: usize,
    routers: usize,
    jump: (Micros, Micros),
) -> Vec<PlannedRequest> {
    let harmonic: f64 = (1..=FUNCTIONS).map(|rank| 1.0 / rank as f64).sum();
    let mut requests = Vec::new();
    let mut at = begin;
    while at < begin + ARRIVAL_TIME {
        let factor = if (jump.0..jump.1).contains(&at) { JUMP_FACTOR } else { 1.0 };
        let gap = -(1.0 - rng.rand_float()).ln() / (RATE * workers as f64 * factor) * S as f64;
        at += gap as Micros + 1;
        let mut draw = rng.rand_float() * harmonic;
        let rank = (1..FUNCTIONS).find(|rank| {
            draw -= 1.0 / *rank as f64;
            draw <= 0.0
        });
        let kind = match rng.rand_range(0..10) {
            0..5 => "quote",
            5..8 => "hold",
            _ => "confirm",
        };
        let chance = |rng: &mut Rand64, probability: f64| rng.rand_float() < probability;
        requests.push(PlannedRequest {
            at,
            source: format!("/desks/{}", rng.rand_range(0..9)),
            id: format!("job-{}", requests.len()),
            event_type: kind,
            function: format!("{kind}-hut-{}", rank.unwrap_or(FUNCTIONS)),
            customer: if chance(rng, 0.6) { "snezka" } else { "labska" },
            work_ms: rng.rand_range(30..90),
            timeout: CLIENT_TIMEOUT,
            latency_target: if kind == "confirm" { 750 * MS } else { S },
            idempotent: kind == "quote",
            keyed: kind == "hold",
            structured: chance(rng, 0.3),
            router: rng.rand_range(0..routers as u64) as usize,
            max_attempts: 3,
            sticky_retry_delay: None,
            ignores_retry_after: false,
            duplicate_after: chance(rng, 0.05).then(|| rng.rand_range(1..60) * MS),
            disconnect_after: chance(rng, 0.01).then(|| rng.rand_range(5..300) * MS),
            prefix: None,
            follow_up: None,
        });
    }
    requests
}

impl Plan {
    /// Creates a plan without faults.
    pub(crate) fn steady(workers: Vec<WorkerScript>, requests: Vec<PlannedRequest>) -> Plan {
        Plan {
            workers,
            requests,
            store_outage: None,
            router_outage: Outage { router: 0, from: 0, until: 0 },
            late_list: (0, 0),
            list_outage: (0, 0),
            timeline: Vec::new(),
        }
    }

    /// Removes all worker scripts, the workers that join later and the store outage.
    pub(crate) fn without_faults(mut self) -> Plan {
        for worker in &mut self.workers {
            worker.script.clear();
            worker.statuses.clear();
        }
        self.workers.retain(|worker| worker.from_start);
        self.store_outage = None;
        self
    }

    /// Creates the test doubles of the workers.
    pub fn workers(&self, ledger: &Ledger) -> Vec<Worker> {
        let mut racks: BTreeMap<i64, Rack> = BTreeMap::new();
        let workers = self.workers.iter().map(|worker| {
            let rack = racks.entry(worker.config.rack).or_default().clone();
            Worker::new(worker.config.clone(), worker.script.clone(), ledger.clone(), rack)
        });
        workers.collect()
    }

    fn endpoint(worker: &WorkerScript, status: &'static str, started: Micros) -> Endpoint {
        Endpoint {
            name: worker.config.name.clone(),
            address: worker.config.listen,
            status,
            started_ms: started / MS,
            zone: format!("hall-{}", worker.zone),
            rack: worker.config.rack,
            weight: worker.config.cores as f64,
        }
    }

    /// Returns the initial entries of the endpoint list and its changes, each with the time at which the list
    /// learns of it.
    pub fn list(&self) -> (Vec<Endpoint>, Vec<(Micros, Endpoint)>) {
        let from_start = self.workers.iter().filter(|worker| worker.from_start);
        let endpoints = from_start.map(|worker| Self::endpoint(worker, "ready", 0)).collect();
        let mut changes = Vec::new();
        for worker in &self.workers {
            let mut started = 0;
            for (at, status) in &worker.statuses {
                started = if *status == "ready" { *at } else { started };
                let is_late = (self.late_list.0..self.late_list.1).contains(at);
                let listed = at + if is_late { LATE_LIST_DELAY } else { LIST_DELAY };
                changes.push((listed, Self::endpoint(worker, status, started)));
            }
        }
        changes.sort_by_key(|(at, _)| *at);
        (endpoints, changes)
    }
}

/// Builder of a router's settings file.
pub(crate) struct RouterSettings<'a> {
    setup: &'a Setup,
    /// Index of the router.
    index: usize,
    endpoint_list: SocketAddr,
    /// Time limit of the workloads in µs.
    pub(crate) time_limit: Micros,
    /// Importance of the workloads quote, hold and confirm.
    pub(crate) importance: [u64; 3],
    /// Additional lines and blocks.
    blocks: String,
}

impl<'a> RouterSettings<'a> {
    pub(crate) fn new(setup: &'a Setup, index: usize, endpoint_list: SocketAddr) -> Self {
        let (time_limit, importance) = (CLIENT_TIMEOUT, IMPORTANCE);
        RouterSettings { setup, index, endpoint_list, time_limit, importance, blocks: String::new() }
    }

    /// Sets additional lines and blocks.
    pub(crate) fn with_blocks(self, blocks: String) -> Self {
        RouterSettings { blocks, ..self }
    }

    fn workload(&self, name: &str, effect: &str, target: Micros, importance: u64) -> String {
        format!(
            "workload \"{name}\" {{\n  types = [\"{name}\"]\n  effect = {effect}\n  \
             start_target = \"{}ms\"\n  time_limit = \"{}ms\"\n  importance = {importance}\n  \
             late_part = 0.2\n  \
             lanes = 4\n  memory_mb = 400\n  load_time = \"300ms\"\n}}\n",
            target / MS,
            self.time_limit / MS
        )
    }

    /// Renders the settings file.
    pub(crate) fn to_hcl(&self) -> String {
        let RouterSettings { setup, index, endpoint_list, importance, blocks, .. } = self;
        let zones: Vec<String> = (0..ZONES).map(|zone| format!("\"hall-{zone}\"")).collect();
        // 90 % of the fleet's capacity, two cores per worker and 60 ms per request, divided among its two
        // customers.
        let rate = setup.workers as f64 * 2.0 / 0.06 * 0.9;
        let hold = format!("\"fingerprinted\"\n  within = \"rack\"\n  window = \"{}ms\"", DEDUP_WINDOW / MS);
        format!(
            "{blocks}\nlisten = \"{}\"\nhosts = \"{endpoint_list}\"\nrouter = {index}\nrouters = {}\n\
             seed = {}\n\
             zones = [{}]\ntells_company = true\nkeep = \"8s\"\nconnect_limit = \"250ms\"\n\
             rules {{\n  cold_share = 0.25\n  warm_within = \"6s\"\n  fall_multiple = 2.5\n  \
             fall_span = \"1s\"\n}}\n{}{}{}customer \"snezka\" {{\n  jobs_per_s = {}\n}}\n\
             customer \"labska\" {{\n  jobs_per_s = {}\n}}\n",
            address(index % ZONES, 200 + index),
            setup.routers,
            setup.seed * 1000 + *index as u64,
            zones.join(", "),
            self.workload("quote", "\"restartable\"", S, importance[0]),
            self.workload("hold", &hold, S, importance[1]),
            self.workload("confirm", "\"run-once\"", 750 * MS, importance[2]),
            rate * 0.6,
            rate * 0.4,
        )
    }
}
