//! The bad day: who plays, what they are asked, and what goes wrong when, all drawn from one seed.
use applepond_fakes::client::Planned;
use applepond_fakes::hosts::Row;
use applepond_fakes::ledger::Ledger;
use applepond_fakes::worker::{Build, Mood, Rack, Turn, Worker};
use applepond_reactor::Micros;
use oorandom::Rand64;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Halls of the day; each is a range of loopback addresses, 127.(10 + n).0.0/16.
pub const HALLS: usize = 3;
/// µs of arrivals.
pub const LENGTH: Micros = 26 * S;
/// Jobs a second on the quiet parts of the day, a worker.
const RATE: f64 = 11.0;
/// Times that in the jump.
const JUMP: f64 = 2.0;
/// Functions that requests are drawn from, popularity falling as 1 / rank.
const FUNCTIONS: u64 = 40;
/// µs for which a rack drops repeats.
pub const WINDOW: Micros = 3 * S;
/// µs after a notice of drain from which nothing new may come.
pub const GRACE: Micros = 2 * S;
/// Importance of the workloads quote, hold and confirm.
pub const IMPORTANCE: [u64; 3] = [1, 3, 5];
/// µs from a notice of drain to the end of that process: longer than the grace, so that strays are seen.
const DRAINS: Micros = 4 * S;
/// µs by which the host list trails, as a rule and while it runs late.
const LAG: Micros = 300 * MS;
const LAG_LATE: Micros = 1_500 * MS;

/// A worker's part of the day: what it is, what it does when, and what the list says of it when.
pub struct Part {
    pub build: Build,
    pub hall: usize,
    pub script: Vec<(Micros, Turn)>,
    /// Changes in truth; the list tells them later.
    pub standing: Vec<(Micros, &'static str)>,
    pub from_start: bool,
}

pub struct Day {
    pub parts: Vec<Part>,
    pub requests: Vec<Planned>,
    /// When the store stops, and goes on.
    pub store_stop: (Micros, Micros),
    /// Which router is killed, when, and when it is started again.
    pub kill: (usize, Micros, Micros),
    pub late_list: (Micros, Micros),
    /// When the list says nothing at all.
    pub silence: (Micros, Micros),
    /// What happens when, for people.
    pub story: Vec<(Micros, String)>,
}

/// An address of a hall with a port that is free now.
pub fn address(hall: usize, n: usize) -> SocketAddr {
    let host = Ipv4Addr::new(127, 10 + hall as u8, (std::process::id() % 250) as u8, (n + 1) as u8);
    let probe = TcpListener::bind((host, 0)).and_then(|l| l.local_addr());
    probe.expect("a loopback address has a free port")
}

pub fn build(n: usize, hall: usize, store: SocketAddr, seed: u64, name: String) -> Build {
    Build {
        name: Rc::from(name),
        listen: address(hall, n),
        rack: (hall * 2 + n / HALLS % 2) as i64,
        cores: 2,
        memory_mb: 8_000,
        queue: 40,
        store: Some(store),
        load: 120 * MS,
        keep: 8 * S,
        cold_share: 0.25,
        warm_within: 6 * S,
        fall_multiple: 2.5,
        fall_span: S,
        window: WINDOW,
        seed: seed ^ n as u64,
        openings: 400,
        prepare: 1_000,
    }
}

/// Draws the day; `begin` is its first µs.
pub fn draw(seed: u64, begin: Micros, workers: usize, routers: usize, store: SocketAddr) -> Day {
    let mut rng = Rand64::new(u128::from(seed));
    let mut about = |ms: u64| begin + ms * MS + rng.rand_range(0..800) * MS;
    let jump = (about(3_000), about(6_000));
    let late_list = (about(5_000), about(11_000));
    let wave = about(7_500);
    let lost = (about(12_500), about(16_000));
    let store_stop = (about(15_500), about(17_500));
    let failing = (about(18_500), about(21_000));
    let hanging = (about(19_500), about(22_000));
    let odd = (about(1_500), about(3_000));
    let silence = (about(24_000), about(24_900));
    let kill = (about(21_500), about(23_000));
    let lost_hall = rng.rand_range(0..HALLS as u64) as usize;
    let killed = rng.rand_range(0..routers as u64) as usize;
    let mut parts: Vec<Part> = (0..workers)
        .map(|n| Part {
            build: build(n, n % HALLS, store, seed, format!("w{n}")),
            hall: n % HALLS,
            script: Vec::new(),
            standing: Vec::new(),
            from_start: true,
        })
        .collect();
    // A quarter drains; as many successors come, under new names, cold.
    for n in (0..workers).filter(|n| n % 4 == 1) {
        parts[n].standing = vec![(wave, "draining"), (wave + DRAINS, "gone")];
        parts[n].script = vec![(wave + DRAINS, Turn::Die)];
        let hall = parts[n].hall;
        let new = build(workers + n, hall, store, seed, format!("w{n}b"));
        parts.push(Part {
            build: new,
            hall,
            script: vec![(wave + S, Turn::Rise)],
            standing: vec![(wave + S, "ready")],
            from_start: false,
        });
    }
    for part in parts.iter_mut().filter(|p| p.hall == lost_hall && p.standing.iter().all(|s| s.1 != "gone")) {
        part.script.extend([(lost.0, Turn::Die), (lost.1, Turn::Rise)]);
        part.standing.extend([(lost.0, "gone"), (lost.1, "ready")]);
    }
    let mut others = (0..workers).filter(|n| n % HALLS != lost_hall && n % 4 != 1);
    let mut trouble = |(from, until): (Micros, Micros), mood: Mood| {
        let n = others.next().unwrap_or(0);
        parts[n].script.extend([(from, Turn::Mood(mood)), (until, Turn::Mood(Mood::Well))]);
        format!("worker w{n}: {mood:?}, for {} ms", (until - from) / MS)
    };
    let mut story = vec![
        (failing.0, trouble(failing, Mood::FailFast(0.8))),
        (hanging.0, trouble(hanging, Mood::Hang)),
        (odd.0, trouble(odd, Mood::CutAnswers)),
        (odd.0, trouble((odd.0, odd.1), Mood::Garbage)),
        (odd.1, trouble((odd.1, odd.1 + S), Mood::TwoAnswers)),
        (wave, trouble((wave, wave + S), Mood::Stall)),
        (silence.0, format!("the host list falls silent, for {} ms", (silence.1 - silence.0) / MS)),
        (jump.0, format!("{JUMP} times the jobs, for {} ms", (jump.1 - jump.0) / MS)),
        (late_list.0, format!("the host list runs {} ms late instead of {}", LAG_LATE / MS, LAG / MS)),
        (wave, "a quarter of the workers drains, successors come cold".to_owned()),
        (lost.0, format!("hall {lost_hall} is lost")),
        (lost.1, format!("hall {lost_hall} comes back, cold")),
        (store_stop.0, format!("the store stops, for {} ms", (store_stop.1 - store_stop.0) / MS)),
        (kill.0, format!("router {killed} is killed")),
        (kill.1, format!("router {killed} is started again")),
    ];
    story.sort();
    parts.iter_mut().for_each(|p| p.script.sort_by_key(|(at, _)| *at));
    let requests = requests(&mut rng, begin, workers, routers, jump);
    Day { parts, requests, store_stop, kill: (killed, kill.0, kill.1), late_list, silence, story }
}

fn requests(
    rng: &mut Rand64,
    begin: Micros,
    workers: usize,
    routers: usize,
    jump: (Micros, Micros),
) -> Vec<Planned> {
    let harmonic: f64 = (1..=FUNCTIONS).map(|r| 1.0 / r as f64).sum();
    let mut requests = Vec::new();
    let mut at = begin;
    while at < begin + LENGTH {
        let times = if (jump.0..jump.1).contains(&at) { JUMP } else { 1.0 };
        let gap = -(1.0 - rng.rand_float()).ln() / (RATE * workers as f64 * times) * S as f64;
        at += gap as Micros + 1;
        let mut draw = rng.rand_float() * harmonic;
        let rank = (1..FUNCTIONS).find(|r| {
            draw -= 1.0 / *r as f64;
            draw <= 0.0
        });
        let kind = match rng.rand_range(0..10) {
            0..5 => "quote",
            5..8 => "hold",
            _ => "confirm",
        };
        let chance = |rng: &mut Rand64, part: f64| rng.rand_float() < part;
        requests.push(Planned {
            at,
            source: format!("/desks/{}", rng.rand_range(0..9)),
            id: format!("job-{}", requests.len()),
            kind,
            function: format!("{kind}-hut-{}", rank.unwrap_or(FUNCTIONS)),
            customer: if chance(rng, 0.6) { "snezka" } else { "labska" },
            work_ms: rng.rand_range(30..90),
            limit: 4 * S,
            target: if kind == "confirm" { 750 * MS } else { S },
            idempotent: kind == "quote",
            keyed: kind == "hold",
            structured: chance(rng, 0.3),
            router: rng.rand_range(0..routers as u64) as usize,
            tries: 3,
            stays: None,
            ignores: false,
            twin_after: chance(rng, 0.05).then(|| rng.rand_range(1..60) * MS),
            leaves_after: chance(rng, 0.01).then(|| rng.rand_range(5..300) * MS),
            opening: None,
            follow: None,
        });
    }
    requests
}

impl Day {
    pub fn workers(&self, ledger: &Ledger) -> Vec<Worker> {
        let mut racks: std::collections::BTreeMap<i64, Rack> = Default::default();
        let machines = self.parts.iter().map(|p| {
            let rack = racks.entry(p.build.rack).or_default().clone();
            Worker::new(p.build.clone(), p.script.clone(), ledger.clone(), rack)
        });
        machines.collect()
    }

    fn row(part: &Part, standing: &'static str, started: Micros) -> Row {
        Row {
            name: part.build.name.clone(),
            address: part.build.listen,
            standing,
            started: started / MS,
            zone: format!("hall-{}", part.hall),
            rack: part.build.rack,
            weight: part.build.cores as f64,
        }
    }

    /// What the list says at the start, and the changes with when it tells them: late, and later on some
    /// stretch.
    pub fn list(&self) -> (Vec<Row>, Vec<(Micros, Row)>) {
        let rows = self.parts.iter().filter(|p| p.from_start).map(|p| Self::row(p, "ready", 0)).collect();
        let mut changes = Vec::new();
        for part in &self.parts {
            let mut started = 0;
            for (at, standing) in &part.standing {
                started = if *standing == "ready" { *at } else { started };
                let late = (self.late_list.0..self.late_list.1).contains(at);
                let told = at + if late { LAG_LATE } else { LAG };
                changes.push((told, Self::row(part, standing, started)));
            }
        }
        changes.sort_by_key(|(at, _)| *at);
        (rows, changes)
    }

    /// One router's settings.
    #[allow(clippy::too_many_arguments)] // a file has as many rows
    pub fn settings(
        me: usize,
        routers: usize,
        workers: usize,
        seed: u64,
        hosts: SocketAddr,
        limit: Micros,
        importance: [u64; 3],
        more: &str,
    ) -> String {
        let halls: Vec<String> = (0..HALLS).map(|h| format!("\"hall-{h}\"")).collect();
        let workload = |name: &str, effect: &str, target: Micros, importance: u64| {
            format!(
                "workload \"{name}\" {{\n  types = [\"{name}\"]\n  effect = {effect}\n  \
                 start_target = \"{}ms\"\n  time_limit = \"{}ms\"\n  importance = {importance}\n  \
                 late_part = 0.2\n  \
                 lanes = 4\n  memory_mb = 400\n  load_time = \"300ms\"\n}}\n",
                target / MS,
                limit / MS
            )
        };
        // What the fleet can do, erring low, in the shares of its two customers.
        let rate = workers as f64 * 2.0 / 0.06 * 0.9;
        let hold = format!("\"fingerprinted\"\n  within = \"rack\"\n  window = \"{}ms\"", WINDOW / MS);
        format!(
            "{more}\nlisten = \"{}\"\nhosts = \"{hosts}\"\nrouter = {me}\nrouters = {routers}\nseed = {}\n\
             zones = [{}]\ntells_company = true\nkeep = \"8s\"\nconnect_limit = \"250ms\"\n\
             rules {{\n  cold_share = 0.25\n  warm_within = \"6s\"\n  fall_multiple = 2.5\n  \
             fall_span = \"1s\"\n}}\n{}{}{}customer \"snezka\" {{\n  jobs_per_s = {}\n}}\n\
             customer \"labska\" {{\n  jobs_per_s = {}\n}}\n",
            address(me % HALLS, 200 + me),
            seed * 1000 + me as u64,
            halls.join(", "),
            workload("quote", "\"restartable\"", S, importance[0]),
            workload("hold", &hold, S, importance[1]),
            workload("confirm", "\"run-once\"", 750 * MS, importance[2]),
            rate * 0.6,
            rate * 0.4,
        )
    }
}
