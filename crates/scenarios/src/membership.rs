//! Membership of routers that run as processes, with faults between them. What each takes the others for is
//! read from its state page, and judged against what the scenario itself has done.
use crate::errors::ScenarioError;
use crate::faulty_network::FaultyNetwork;
use crate::fleet_settings::{ports, settings};
use crate::process::{Router, Setup, start};
use applepond_fleet::query;
use applepond_membership::{Rings, RouterId};
use oorandom::Rand64;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Limit of the time from the start to one view.
const MAX_JOIN_TIME: Duration = Duration::from_secs(20);
/// Limit of the time from the end of a fault to one view: the objective of 5 s, and what reading all pages
/// takes.
const MAX_HEAL_TIME: Duration = Duration::from_millis(5_500);
/// Objective for the time until a kill is known to all.
const KNOWN: Duration = Duration::from_secs(6);
/// Objective for the time until a kill is known to half of the routers.
const KNOWN_MEDIAN: Duration = Duration::from_secs(3);
/// Time between two looks at all pages.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Limit of the time in which a router that runs has to be back by itself.
const MAX_RETURN_TIME: Duration = Duration::from_secs(10);
/// Delay of a refutation, so that the accusation of a single router is heard before it.
const REFUTATION_DELAY: Duration = Duration::from_millis(1_500);

/// Scenes, in the order in which they are played.
pub const SCENES: [&str; 8] = ["kill", "loss", "pauses", "one-way", "slow", "one-voice", "stop", "halves"];
/// Bugs that can be seeded, and the rule that each breaks.
pub const SEEDED_BUGS: [(&str, &str); 4] = [
    ("no-refute", "who was removed and runs comes back"),
    ("lone-accuser", "nobody who runs is removed"),
    ("timer-after-pause", "who stood still accuses nobody on waking"),
    ("old-incarnation", "who comes back has a higher incarnation"),
];

/// The result.
#[derive(Default)]
pub struct Report {
    /// Rule, and each breach of it in words.
    pub broken: BTreeMap<&'static str, Vec<String>>,
    /// ms until a kill was known, of each other router.
    pub detection_ms: Vec<u64>,
    /// ms until one view after each fault, by scene.
    pub convergence_ms: Vec<(&'static str, u64)>,
    /// Scenes that a fleet of this size is too small for.
    pub skipped: Vec<&'static str>,
}

/// The routers of this scenario.
struct Fleet<'a> {
    setup: Setup,
    folder: &'a Path,
    network: FaultyNetwork,
    ports: Vec<SocketAddr>,
    routers: Vec<Option<Router>>,
    /// Whether each has to be in every view.
    runs: Vec<bool>,
    /// By observer and observed router, the incarnation under which the one last took the other for gone.
    gone: BTreeMap<(usize, usize), u64>,
    rng: Rand64,
    report: Report,
}

/// What a view says of a router.
fn row(view: &Value, index: usize) -> Option<&Value> {
    view["members"].as_array()?.iter().find(|member| member["name"] == format!("r{index}"))
}

impl Fleet<'_> {
    fn start(&self, index: usize) -> Result<Router, ScenarioError> {
        let file = self.folder.join(format!("r{index}.hcl"));
        let text = settings(index, &self.ports, &self.folder.join("key"));
        std::fs::write(&file, text).map_err(|error| ScenarioError::machine(file.display(), error))?;
        start(&self.setup, file)
    }

    /// Stops a router, or lets it go on.
    fn signal(&mut self, index: usize, signal: Signal) {
        self.runs[index] = signal != Signal::STOP;
        if let Some(router) = &self.routers[index] {
            let _ = kill_process(Pid::from_child(&router.child), signal);
        }
    }

    /// What a router that runs takes the others for.
    fn view(&self, index: usize) -> Option<Value> {
        let router = self.routers[index].as_ref().filter(|_| self.runs[index]);
        router.and_then(|router| query(router.address).ok())
    }

    fn breaks(&mut self, rule: &'static str, what: String) {
        self.report.broken.entry(rule).or_default().push(what);
    }

    /// Reads all pages. A router that runs and that another takes for gone was removed wrongly, unless it is
    /// one of `may_be_gone`.
    fn observe(&mut self, scene: &str, may_be_gone: &[usize]) -> Vec<Option<Value>> {
        let views: Vec<Option<Value>> = (0..self.ports.len()).map(|index| self.view(index)).collect();
        for (observer, view) in views.iter().enumerate() {
            let Some(view) = view else { continue };
            for observed in 0..self.ports.len() {
                let Some(row) = row(view, observed) else { continue };
                self.check_incarnation(scene, observer, observed, row);
                let is_wrong = self.runs[observed] && !may_be_gone.contains(&observed);
                if is_wrong && row["standing"] == "gone" {
                    let what = format!("{scene}: r{observed} by r{observer}, votes {}", row["by"]);
                    self.breaks("nobody who runs is removed", what);
                }
            }
        }
        views
    }

    /// A router that is back where it was gone must be back under a higher incarnation.
    fn check_incarnation(&mut self, scene: &str, observer: usize, observed: usize, row: &Value) {
        let Some(incarnation) = row["incarnation"].as_u64() else { return };
        if row["standing"] == "gone" {
            self.gone.insert((observer, observed), incarnation);
            return;
        }
        let gone = self.gone.remove(&(observer, observed));
        if let Some(gone) = gone.filter(|gone| incarnation <= *gone) {
            let what = format!("{scene}: r{observed} at r{observer} under {incarnation}, gone under {gone}");
            self.breaks("who comes back has a higher incarnation", what);
        }
    }

    /// Reads all pages again and again for this time.
    fn watch(&mut self, scene: &str, time: Duration, may_be_gone: &[usize]) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.observe(scene, may_be_gone);
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits for one view of all that run, and takes down how long it took.
    fn await_one_view(&mut self, scene: &'static str, limit: Duration) -> Result<(), ScenarioError> {
        let begun = Instant::now();
        let live = self.runs.iter().filter(|runs| **runs).count();
        loop {
            let all = self.observe(scene, &(0..self.ports.len()).collect::<Vec<_>>());
            let views: Vec<&Value> = all.iter().flatten().collect();
            let same = |view: &&Value| view["live"] == live && view["view"] == views[0]["view"];
            if views.len() == live && views.iter().all(same) {
                self.report.convergence_ms.push((scene, begun.elapsed().as_millis() as u64));
                return Ok(());
            }
            if begun.elapsed() > limit {
                let counts: Vec<String> = views.iter().map(|view| view["live"].to_string()).collect();
                let what = format!("{scene}: not within {} ms: {}", limit.as_millis(), counts.join(" "));
                self.breaks("one view after a fault", what);
                return Err(ScenarioError::NotRecovered(
                    "the routers did not agree on one view after a fault".to_owned(),
                ));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// The incarnations that a router knows, by name.
    fn incarnations(&self, observer: usize) -> BTreeMap<String, u64> {
        let view = self.view(observer).unwrap_or_default();
        let rows = view["members"].as_array().into_iter().flatten();
        let incarnation =
            |row: &Value| Some((row["name"].as_str()?.to_owned(), row["incarnation"].as_u64()?));
        rows.filter_map(incarnation).collect()
    }

    /// A router at random.
    fn random_router(&mut self) -> usize {
        self.rng.rand_range(0..self.ports.len() as u64) as usize
    }

    /// Routers are killed, one after the other, and started again.
    fn kill(&mut self) -> Result<(), ScenarioError> {
        for _ in 0..3 {
            let dead = self.random_router();
            std::thread::sleep(Duration::from_millis(self.rng.rand_range(0..250)));
            self.runs[dead] = false;
            self.routers[dead] = None;
            self.await_known_death(dead);
            self.routers[dead] = Some(self.start(dead)?);
            self.runs[dead] = true;
            self.await_one_view("kill", MAX_JOIN_TIME)?;
        }
        Ok(())
    }

    /// Takes down when each other router knows of a death.
    fn await_known_death(&mut self, dead: usize) {
        let begun = Instant::now();
        let mut unaware: Vec<usize> = (0..self.ports.len()).filter(|index| *index != dead).collect();
        while !unaware.is_empty() && begun.elapsed() < KNOWN * 2 {
            let views = self.observe("kill", &[dead]);
            let is_aware = |index: &usize| {
                let row = views[*index].as_ref().and_then(|view| row(view, dead));
                row.is_some_and(|row| row["standing"] == "gone")
            };
            let now = begun.elapsed().as_millis() as u64;
            self.report.detection_ms.extend(unaware.iter().filter(|index| is_aware(index)).map(|_| now));
            unaware.retain(|index| !is_aware(index));
        }
        self.report.detection_ms.extend(unaware.iter().map(|_| u64::MAX));
    }

    /// Routers stand still for up to two seconds, while a fifth of all datagrams is lost.
    fn pauses(&mut self) {
        self.network.faults().loss_rate = 0.2;
        let end = Instant::now() + Duration::from_secs(12);
        let mut until: BTreeMap<usize, Instant> = BTreeMap::new();
        while Instant::now() < end || !until.is_empty() {
            let index = self.random_router();
            if Instant::now() < end && !until.contains_key(&index) && self.rng.rand_float() < 0.1 {
                self.signal(index, Signal::STOP);
                let time = Duration::from_millis(self.rng.rand_range(200..1_800));
                until.insert(index, Instant::now() + time);
            }
            let due = until.iter().filter(|(_, at)| **at <= Instant::now()).map(|(index, _)| *index);
            for index in due.collect::<Vec<usize>>() {
                until.remove(&index);
                self.signal(index, Signal::CONT);
            }
            self.observe("pauses", &[]);
        }
        self.network.faults().loss_rate = 0.0;
    }

    /// One way between one pair in eight is cut.
    fn one_way(&mut self) -> Result<(), ScenarioError> {
        let ports = self.ports.clone();
        let mut cut = Vec::new();
        for (from, to) in (0..ports.len()).flat_map(|from| (0..ports.len()).map(move |to| (from, to))) {
            if from != to && self.rng.rand_float() < 0.125 && !cut.contains(&(to, from)) {
                self.network.faults().cut.insert((ports[from], ports[to]));
                cut.push((from, to));
            }
        }
        self.watch("one-way", Duration::from_secs(8), &[]);
        self.check_link_faults(&cut);
        self.network.faults().cut.clear();
        self.await_one_view("one-way", MAX_HEAL_TIME)
    }

    /// Between neighbours a link that is cut has to be known at both its ends.
    fn check_link_faults(&mut self, cut: &[(usize, usize)]) {
        let rings = self.rings();
        let views = self.observe("one-way", &[]);
        let link_fault = |observer: usize, observed: usize| {
            let row = views[observer].as_ref().and_then(|view| row(view, observed));
            row.map(|row| row["lame"].clone()).unwrap_or_default()
        };
        for (from, to) in cut.iter().copied().filter(|(from, to)| are_neighbours(&rings, *from, *to)) {
            let (out, into) = (link_fault(from, to), link_fault(to, from));
            if out != "out" || into != "in" {
                let what = format!("one-way: from r{from} to r{to}: \"{out}\" and \"{into}\"");
                self.breaks("lame links are named at both ends", what);
            }
        }
    }

    /// Who is whose neighbour.
    fn rings(&self) -> Rings {
        let mut rings = Rings::default();
        (0..self.ports.len()).for_each(|index| rings.insert(router_id(index)));
        rings
    }

    /// One router hears a single other one, accuses most of its neighbours, and is heard by all; the
    /// refutation of one of them comes late.
    fn one_voice(&mut self) -> Result<(), ScenarioError> {
        // In a small fleet everybody is everybody's neighbour.
        let Some(roles) = self.one_voice_roles() else {
            self.report.skipped.push("one-voice");
            return Ok(());
        };
        let ports = self.ports.clone();
        self.network.faults().sender_delay.insert(ports[roles.late], REFUTATION_DELAY);
        self.watch("one-voice", Duration::from_secs(4), &[]);
        let others = (0..ports.len()).filter(|index| *index != roles.heard);
        let cut = others.map(|index| (ports[index], ports[roles.deluded]));
        self.network.faults().cut.extend(cut);
        self.watch("one-voice", Duration::from_secs(8), &[]);
        self.network.faults().cut.clear();
        self.network.faults().sender_delay.clear();
        self.await_one_view("one-voice", MAX_HEAL_TIME)
    }

    fn one_voice_roles(&self) -> Option<OneVoiceRoles> {
        let (rings, count) = (self.rings(), self.ports.len());
        let all = (0..count * count * count).map(|number| OneVoiceRoles {
            deluded: number % count,
            late: number / count % count,
            heard: number / count / count,
        });
        let fits = |OneVoiceRoles { deluded, late, heard }: &OneVoiceRoles| {
            let are_different = deluded != late && late != heard && heard != deluded;
            are_different
                && are_neighbours(&rings, *late, *deluded)
                && are_neighbours(&rings, *heard, *deluded)
                && !are_neighbours(&rings, *heard, *late)
        };
        all.into_iter().find(fits)
    }

    /// A router is stopped for 1 s, for just longer than the suspicion timeout, and for 5 s.
    fn stop(&mut self) -> Result<(), ScenarioError> {
        for (time, is_removed) in [(1_000, false), (2_200, false), (5_000, true)] {
            let stopped = self.random_router();
            let observer = (stopped + 1) % self.ports.len();
            let before = self.incarnations(observer);
            self.stop_for(stopped, Duration::from_millis(time));
            // What others were accused of before has been refuted by now.
            let calm = self.incarnations(observer);
            self.signal(stopped, Signal::CONT);
            std::thread::sleep(POLL_INTERVAL);
            self.network.faults().cut.clear();
            self.watch("stop", Duration::from_secs(2), &[stopped]);
            self.check_accusations(stopped, observer, &calm);
            let least = before.get(&format!("r{stopped}")).copied().filter(|_| is_removed);
            self.check_return(stopped, observer, is_removed, least);
            self.await_one_view("stop", MAX_HEAL_TIME)?;
        }
        Ok(())
    }

    /// Stops a router for this time. What is sent to it meanwhile is lost, but for the last messages of three
    /// neighbours: it has not heard most for long when it wakes.
    fn stop_for(&mut self, stopped: usize, time: Duration) {
        const LAST_MESSAGES: Duration = Duration::from_millis(300);
        let ports = self.ports.clone();
        self.signal(stopped, Signal::STOP);
        self.network.faults().cut.extend(ports.iter().map(|port| (*port, ports[stopped])));
        self.watch("stop", time - LAST_MESSAGES, &[]);
        let rings = self.rings();
        let neighbours = (0..ports.len()).filter(|index| are_neighbours(&rings, *index, stopped));
        for index in neighbours.take(3) {
            self.network.faults().cut.remove(&(ports[index], ports[stopped]));
        }
        std::thread::sleep(LAST_MESSAGES);
    }

    /// A router that stood still must accuse nobody when it wakes: a refutation raises the incarnation.
    fn check_accusations(&mut self, stopped: usize, observer: usize, calm: &BTreeMap<String, u64>) {
        let (after, name) = (self.incarnations(observer), format!("r{stopped}"));
        let is_raised = |of: &String, old: &u64| *of != name && after.get(of) > Some(old);
        for (of, old) in calm.iter().filter(|(of, old)| is_raised(of, old)) {
            let what = format!("stop: {name} woke, and {of} had to say it is there ({old})");
            self.breaks("who stood still accuses nobody on waking", what);
        }
    }

    /// A router that runs must be back by itself, and where it was removed under a higher incarnation.
    fn check_return(&mut self, stopped: usize, observer: usize, is_removed: bool, before: Option<u64>) {
        let begun = Instant::now();
        let observed = |fleet: &Self| {
            fleet.view(observer).and_then(|view| row(&view, stopped).cloned()).unwrap_or_default()
        };
        let is_back = |row: &Value| ["alive", "suspected"].iter().any(|status| row["standing"] == *status);
        while !is_back(&observed(self)) && begun.elapsed() < MAX_RETURN_TIME {
            std::thread::sleep(POLL_INTERVAL);
        }
        let row = observed(self);
        if !is_back(&row) {
            let what = format!("stop: r{stopped} runs and is {} to r{observer}", row["standing"]);
            self.breaks("who was removed and runs comes back", what);
        } else if is_removed && row["incarnation"].as_u64() <= before {
            let what = format!("stop: r{stopped} under {}", row["incarnation"]);
            self.breaks("who comes back has a higher incarnation", what);
        }
    }

    /// The fleet is cut in halves.
    fn halves(&mut self) -> Result<(), ScenarioError> {
        let ports = self.ports.clone();
        let (one, other) = ports.split_at(ports.len() / 2);
        self.network.faults().partition(one, other);
        std::thread::sleep(Duration::from_secs(12));
        self.network.faults().cut.clear();
        self.await_one_view("halves", MAX_HEAL_TIME)
    }

    fn play_scene(&mut self, scene: &'static str) -> Result<(), ScenarioError> {
        match scene {
            "kill" => return self.kill(),
            "one-way" => return self.one_way(),
            "one-voice" => return self.one_voice(),
            "stop" => return self.stop(),
            "halves" => return self.halves(),
            "loss" => {
                (self.network.faults().loss_rate, self.network.faults().duplicate_rate) = (0.3, 0.1);
                self.watch(scene, Duration::from_secs(10), &[]);
                (self.network.faults().loss_rate, self.network.faults().duplicate_rate) = (0.0, 0.0);
            }
            "slow" => {
                let times = (Duration::from_millis(300), Duration::from_millis(200));
                (self.network.faults().delay, self.network.faults().jitter) = times;
                self.watch(scene, Duration::from_secs(10), &[]);
                (self.network.faults().delay, self.network.faults().jitter) = Default::default();
            }
            _ => self.pauses(),
        }
        self.await_one_view(scene, MAX_HEAL_TIME)
    }
}

/// Who is who in the scene of the single accuser.
struct OneVoiceRoles {
    /// The router that hears only one other.
    deluded: usize,
    /// Its neighbour whose refutation comes late.
    late: usize,
    /// The neighbour that it hears.
    heard: usize,
}

fn router_id(index: usize) -> RouterId {
    RouterId::named(&format!("r{index}"))
}

/// Whether the one is among the neighbours of the other.
fn are_neighbours(rings: &Rings, one: usize, other: usize) -> bool {
    rings.neighbours_of(router_id(other)).contains(&router_id(one))
}

/// Plays these scenes in this folder; `progress` is given each.
///
/// # Errors
/// Why they could not be played.
pub fn run(
    setup: &Setup,
    scenes: &[&'static str],
    folder: &Path,
    progress: &mut dyn FnMut(&str),
) -> Result<Report, ScenarioError> {
    let mut fleet = start_fleet(setup, folder)?;
    let mut whole = fleet.await_one_view("join", MAX_JOIN_TIME);
    for scene in scenes {
        if whole.is_err() {
            break;
        }
        progress(scene);
        whole = fleet.play_scene(scene);
    }
    let mut report = std::mem::take(&mut fleet.report);
    report.detection_ms.sort_unstable();
    check_known(&mut report);
    Ok(report)
}

fn start_fleet<'a>(setup: &Setup, folder: &'a Path) -> Result<Fleet<'a>, ScenarioError> {
    let failed = |error: std::io::Error| ScenarioError::machine(folder.display(), error);
    std::fs::create_dir_all(folder).map_err(failed)?;
    let secret = format!("the secret of a drill's fleet, {}\n", setup.seed);
    std::fs::write(folder.join("key"), secret).map_err(failed)?;
    let network = FaultyNetwork::new(setup.seed).map_err(failed)?;
    let count = setup.routers;
    let mut fleet = Fleet {
        setup: Setup { proxy: Some(network.proxy), ..setup.clone() },
        folder,
        network,
        ports: ports(count).map_err(failed)?,
        routers: (0..count).map(|_| None).collect(),
        runs: vec![true; count],
        gone: BTreeMap::new(),
        rng: Rand64::new(u128::from(setup.seed)),
        report: Report::default(),
    };
    for index in 0..count {
        fleet.routers[index] = Some(fleet.start(index)?);
    }
    Ok(fleet)
}

/// Checks that kills were known in time.
fn check_known(report: &mut Report) {
    let within = |percent: usize| {
        report.detection_ms.get(report.detection_ms.len().saturating_sub(1) * percent / 100).copied()
    };
    let is_late = |at: Option<u64>, limit: Duration| at.is_some_and(|ms| u128::from(ms) > limit.as_millis());
    let (median, most) = (within(50), within(99));
    if is_late(median, KNOWN_MEDIAN + POLL_INTERVAL) || is_late(most, KNOWN) {
        let what = format!("kill: {median:?} ms median, {most:?} ms at 99 %");
        report.broken.entry("a kill is known in time").or_default().push(what);
    }
}
