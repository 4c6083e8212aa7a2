//! A day: the workers, the requests, and what goes wrong when, all drawn from one seed.
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
/// Halls of the day; each is a range of loopback addresses, 127.(10 + n).0.0/16.
pub const HALLS: usize = 3;
/// µs of arrivals.
pub const LENGTH: Micros = 26 * S;
/// Requests a second and worker on the quiet parts of the day.
const RATE: f64 = 11.0;
/// Factor of that rate in the jump.
const JUMP_FACTOR: f64 = 2.0;
/// Functions that requests are drawn from, popularity falling as 1 / rank.
const FUNCTIONS: u64 = 40;
/// µs for which a rack drops repeats.
pub const WINDOW: Micros = 3 * S;
/// µs after a notice of drain from which nothing new may come.
pub const GRACE: Micros = 2 * S;
/// Importance of the workloads quote, hold and confirm.
pub const IMPORTANCE: [u64; 3] = [1, 3, 5];
/// µs from a notice of drain to the end of that process: longer than the grace, so that strays are seen.
const DRAIN_TIME: Micros = 4 * S;
/// µs by which the endpoint list is behind as a rule.
const LIST_DELAY: Micros = 300 * MS;
/// µs by which it is behind while it runs late.
const LATE_LIST_DELAY: Micros = 1_500 * MS;
/// µs that a client waits for an answer.
const CLIENT_TIMEOUT: Micros = 4 * S;

/// One worker's day.
pub struct WorkerScript {
    /// What it is.
    pub config: WorkerConfig,
    /// Its hall.
    pub hall: usize,
    /// What it does when.
    pub script: Vec<(Micros, ScriptEvent)>,
    /// Its status from when on; the list has it later.
    pub statuses: Vec<(Micros, &'static str)>,
    /// It runs from the start.
    pub from_start: bool,
}

/// A day of a fleet.
pub struct Day {
    /// The workers.
    pub workers: Vec<WorkerScript>,
    /// The requests, in their order.
    pub requests: Vec<PlannedRequest>,
    /// From when to when the store does no fetch, if at all.
    pub store_stop: Option<(Micros, Micros)>,
    /// Which router is killed when.
    pub kill: Outage,
    /// From when to when the endpoint list is late.
    pub late_list: (Micros, Micros),
    /// From when to when the endpoint list says nothing at all.
    pub silence: (Micros, Micros),
    /// What happens when, in words.
    pub story: Vec<(Micros, String)>,
}

/// An address of a hall with a port that is free now.
///
/// # Panics
/// If there is none.
pub fn address(hall: usize, host: usize) -> SocketAddr {
    let host = Ipv4Addr::new(127, 10 + hall as u8, (std::process::id() % 250) as u8, (host + 1) as u8);
    let probe = TcpListener::bind((host, 0)).and_then(|listener| listener.local_addr());
    probe.expect("a loopback address has a free port")
}

/// The worker of this index in a hall.
pub fn worker_config(index: usize, hall: usize, store: SocketAddr, seed: u64, name: String) -> WorkerConfig {
    WorkerConfig {
        name: Rc::from(name),
        listen: address(hall, index),
        rack: (hall * 2 + index / HALLS % 2) as i64,
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
        dedup_window: WINDOW,
        seed: seed ^ index as u64,
        prefix_units: 400,
        prepare_time_per_unit: 1_000,
    }
}

/// When what goes wrong: pairs are its begin and its end.
struct Timetable {
    jump: (Micros, Micros),
    late_list: (Micros, Micros),
    wave: Micros,
    lost: (Micros, Micros),
    store_stop: (Micros, Micros),
    failing: (Micros, Micros),
    hanging: (Micros, Micros),
    odd: (Micros, Micros),
    silence: (Micros, Micros),
    kill: (Micros, Micros),
}

impl Timetable {
    fn draw(rng: &mut Rand64, begin: Micros) -> Self {
        let mut about = |ms: u64| begin + ms * MS + rng.rand_range(0..800) * MS;
        // The fields are drawn in this order.
        Timetable {
            jump: (about(3_000), about(6_000)),
            late_list: (about(5_000), about(11_000)),
            wave: about(7_500),
            lost: (about(12_500), about(16_000)),
            store_stop: (about(15_500), about(17_500)),
            failing: (about(18_500), about(21_000)),
            hanging: (about(19_500), about(22_000)),
            odd: (about(1_500), about(3_000)),
            silence: (about(24_000), about(24_900)),
            kill: (about(21_500), about(23_000)),
        }
    }

    /// What happens when, moods of workers aside.
    fn story(&self, lost_hall: usize, killed: usize) -> Vec<(Micros, String)> {
        let ms = |(from, until): (Micros, Micros)| (until - from) / MS;
        let late =
            format!("the host list runs {} ms late instead of {}", LATE_LIST_DELAY / MS, LIST_DELAY / MS);
        vec![
            (self.silence.0, format!("the host list falls silent, for {} ms", ms(self.silence))),
            (self.jump.0, format!("{JUMP_FACTOR} times the jobs, for {} ms", ms(self.jump))),
            (self.late_list.0, late),
            (self.wave, "a quarter of the workers drains, successors come cold".to_owned()),
            (self.lost.0, format!("hall {lost_hall} is lost")),
            (self.lost.1, format!("hall {lost_hall} comes back, cold")),
            (self.store_stop.0, format!("the store stops, for {} ms", ms(self.store_stop))),
            (self.kill.0, format!("router {killed} is killed")),
            (self.kill.1, format!("router {killed} is started again")),
        ]
    }
}

/// Draws the day; `begin` is its first µs.
pub fn draw(seed: u64, begin: Micros, workers: usize, routers: usize, store: SocketAddr) -> Day {
    let mut rng = Rand64::new(u128::from(seed));
    let times = Timetable::draw(&mut rng, begin);
    let lost_hall = rng.rand_range(0..HALLS as u64) as usize;
    let killed = rng.rand_range(0..routers as u64) as usize;
    let mut scripts = steady_workers(workers, store, seed);
    drain_wave(&mut scripts, times.wave, store, seed);
    lose_hall(&mut scripts, lost_hall, times.lost);
    let mut story = times.story(lost_hall, killed);
    story.extend(schedule_misbehaviour(&mut scripts[..workers], lost_hall, &times));
    story.sort();
    scripts.iter_mut().for_each(|script| script.script.sort_by_key(|(at, _)| *at));
    let requests = requests(&mut rng, begin, workers, routers, times.jump);
    Day {
        workers: scripts,
        requests,
        store_stop: Some(times.store_stop),
        kill: Outage { router: killed as u64, from: times.kill.0, until: times.kill.1 },
        late_list: times.late_list,
        silence: times.silence,
        story,
    }
}

/// Workers, in all halls in turn, to which nothing happens.
pub(crate) fn steady_workers(workers: usize, store: SocketAddr, seed: u64) -> Vec<WorkerScript> {
    let script = |index| WorkerScript {
        config: worker_config(index, index % HALLS, store, seed, format!("w{index}")),
        hall: index % HALLS,
        script: Vec::new(),
        statuses: Vec::new(),
        from_start: true,
    };
    (0..workers).map(script).collect()
}

/// A quarter drains; as many successors come, under new names, cold.
fn drain_wave(scripts: &mut Vec<WorkerScript>, wave: Micros, store: SocketAddr, seed: u64) {
    let workers = scripts.len();
    for index in (0..workers).filter(|index| index % 4 == 1) {
        scripts[index].statuses = vec![(wave, "draining"), (wave + DRAIN_TIME, "gone")];
        scripts[index].script = vec![(wave + DRAIN_TIME, ScriptEvent::Stop)];
        let hall = scripts[index].hall;
        scripts.push(WorkerScript {
            config: worker_config(workers + index, hall, store, seed, format!("w{index}b")),
            hall,
            script: vec![(wave + S, ScriptEvent::Start)],
            statuses: vec![(wave + S, "ready")],
            from_start: false,
        });
    }
}

/// All workers of a hall die, and come back cold.
fn lose_hall(scripts: &mut [WorkerScript], hall: usize, (from, until): (Micros, Micros)) {
    let stays = |script: &WorkerScript| script.statuses.iter().all(|(_, status)| *status != "gone");
    for script in scripts.iter_mut().filter(|script| script.hall == hall && stays(script)) {
        script.script.extend([(from, ScriptEvent::Stop), (until, ScriptEvent::Start)]);
        script.statuses.extend([(from, "gone"), (until, "ready")]);
    }
}

/// Workers that are neither lost nor drained misbehave for a time, one after the other; returns it in words.
fn schedule_misbehaviour(
    scripts: &mut [WorkerScript],
    lost_hall: usize,
    times: &Timetable,
) -> Vec<(Micros, String)> {
    let unaffected = |index: &usize| index % HALLS != lost_hall && index % 4 != 1;
    let mut others = (0..scripts.len()).filter(unaffected);
    let mut give = |(from, until): (Micros, Micros), behaviour: Behaviour| {
        let index = others.next().unwrap_or(0);
        scripts[index].script.extend([
            (from, ScriptEvent::SetBehaviour(behaviour)),
            (until, ScriptEvent::SetBehaviour(Behaviour::Well)),
        ]);
        (from, format!("worker w{index}: {behaviour:?}, for {} ms", (until - from) / MS))
    };
    vec![
        give(times.failing, Behaviour::FailFast(0.8)),
        give(times.hanging, Behaviour::Hang),
        give(times.odd, Behaviour::CutAnswers),
        give(times.odd, Behaviour::Garbage),
        give((times.odd.1, times.odd.1 + S), Behaviour::TwoAnswers),
        give((times.wave, times.wave + S), Behaviour::Stall),
    ]
}

/// Draws the requests; long as it names each of their properties.
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
    while at < begin + LENGTH {
        let times = if (jump.0..jump.1).contains(&at) { JUMP_FACTOR } else { 1.0 };
        let gap = -(1.0 - rng.rand_float()).ln() / (RATE * workers as f64 * times) * S as f64;
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
        let chance = |rng: &mut Rand64, part: f64| rng.rand_float() < part;
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

impl Day {
    /// A day on which nothing goes wrong.
    pub(crate) fn steady(workers: Vec<WorkerScript>, requests: Vec<PlannedRequest>) -> Day {
        Day {
            workers,
            requests,
            store_stop: None,
            kill: Outage { router: 0, from: 0, until: 0 },
            late_list: (0, 0),
            silence: (0, 0),
            story: Vec::new(),
        }
    }

    /// The same with workers to which nothing happens, and without stops of the store.
    pub(crate) fn without_faults(mut self) -> Day {
        for worker in &mut self.workers {
            worker.script.clear();
            worker.statuses.clear();
        }
        self.workers.retain(|worker| worker.from_start);
        self.store_stop = None;
        self
    }

    /// The workers as test doubles.
    pub fn workers(&self, ledger: &Ledger) -> Vec<Worker> {
        let mut racks: BTreeMap<i64, Rack> = BTreeMap::new();
        let workers = self.workers.iter().map(|worker| {
            let rack = racks.entry(worker.config.rack).or_default().clone();
            Worker::new(worker.config.clone(), worker.script.clone(), ledger.clone(), rack)
        });
        workers.collect()
    }

    fn row(worker: &WorkerScript, status: &'static str, started: Micros) -> Endpoint {
        Endpoint {
            name: worker.config.name.clone(),
            address: worker.config.listen,
            status,
            started_ms: started / MS,
            zone: format!("hall-{}", worker.hall),
            rack: worker.config.rack,
            weight: worker.config.cores as f64,
        }
    }

    /// What the endpoint list says at the start, and its changes with when it has them: late, and later for a
    /// while.
    pub fn list(&self) -> (Vec<Endpoint>, Vec<(Micros, Endpoint)>) {
        let from_start = self.workers.iter().filter(|worker| worker.from_start);
        let rows = from_start.map(|worker| Self::row(worker, "ready", 0)).collect();
        let mut changes = Vec::new();
        for worker in &self.workers {
            let mut started = 0;
            for (at, status) in &worker.statuses {
                started = if *status == "ready" { *at } else { started };
                let is_late = (self.late_list.0..self.late_list.1).contains(at);
                let listed = at + if is_late { LATE_LIST_DELAY } else { LIST_DELAY };
                changes.push((listed, Self::row(worker, status, started)));
            }
        }
        changes.sort_by_key(|(at, _)| *at);
        (rows, changes)
    }
}

/// The settings of one router.
pub(crate) struct RouterSettings<'a> {
    setup: &'a Setup,
    /// Index of the router.
    index: usize,
    endpoint_list: SocketAddr,
    /// µs that the workloads have.
    pub(crate) time_limit: Micros,
    /// Importance of the workloads quote, hold and confirm.
    pub(crate) importance: [u64; 3],
    /// Lines and blocks of the scenario.
    blocks: String,
}

impl<'a> RouterSettings<'a> {
    pub(crate) fn new(setup: &'a Setup, index: usize, endpoint_list: SocketAddr) -> Self {
        let (time_limit, importance) = (CLIENT_TIMEOUT, IMPORTANCE);
        RouterSettings { setup, index, endpoint_list, time_limit, importance, blocks: String::new() }
    }

    /// The same with these lines and blocks.
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

    /// The text of the file.
    pub(crate) fn to_hcl(&self) -> String {
        let RouterSettings { setup, index, endpoint_list, importance, blocks, .. } = self;
        let halls: Vec<String> = (0..HALLS).map(|hall| format!("\"hall-{hall}\"")).collect();
        // What the fleet can do, erring low, in the shares of its two customers.
        let rate = setup.workers as f64 * 2.0 / 0.06 * 0.9;
        let hold = format!("\"fingerprinted\"\n  within = \"rack\"\n  window = \"{}ms\"", WINDOW / MS);
        format!(
            "{blocks}\nlisten = \"{}\"\nhosts = \"{endpoint_list}\"\nrouter = {index}\nrouters = {}\n\
             seed = {}\n\
             zones = [{}]\ntells_company = true\nkeep = \"8s\"\nconnect_limit = \"250ms\"\n\
             rules {{\n  cold_share = 0.25\n  warm_within = \"6s\"\n  fall_multiple = 2.5\n  \
             fall_span = \"1s\"\n}}\n{}{}{}customer \"snezka\" {{\n  jobs_per_s = {}\n}}\n\
             customer \"labska\" {{\n  jobs_per_s = {}\n}}\n",
            address(index % HALLS, 200 + index),
            setup.routers,
            setup.seed * 1000 + *index as u64,
            halls.join(", "),
            self.workload("quote", "\"restartable\"", S, importance[0]),
            self.workload("hold", &hold, S, importance[1]),
            self.workload("confirm", "\"run-once\"", 750 * MS, importance[2]),
            rate * 0.6,
            rate * 0.4,
        )
    }
}
