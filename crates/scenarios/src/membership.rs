//! Membership of routers that run as separate processes, with faults between them. Each router's view of the
//! others is read from its state page and compared with what the scenario did.
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

/// Time limit from the start until all routers have the same view.
const MAX_JOIN_TIME: Duration = Duration::from_secs(20);
/// Time limit from the end of a fault until all routers have the same view: the objective of 5 s, plus the
/// time to read all state pages.
const MAX_HEAL_TIME: Duration = Duration::from_millis(5_500);
/// Objective for the time until all routers have detected a kill.
const DETECTION_LIMIT: Duration = Duration::from_secs(6);
/// Objective for the time until half of the routers have detected a kill.
const MEDIAN_DETECTION_LIMIT: Duration = Duration::from_secs(3);
/// Interval between two reads of all state pages.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for a running router that was removed to rejoin by itself.
const MAX_RETURN_TIME: Duration = Duration::from_secs(10);
/// Delay of a refutation, so that the accusation by a single router arrives before it.
const REFUTATION_DELAY: Duration = Duration::from_millis(1_500);

/// Faults, in the order in which they are injected.
pub const FAULTS: [&str; 8] = ["kill", "loss", "pauses", "one-way", "slow", "one-voice", "stop", "halves"];
/// Bugs that can be seeded, each with the rule that it breaks.
pub const SEEDED_BUGS: [(&str, &str); 4] = [
    ("no-refute", "who was removed and runs comes back"),
    ("lone-accuser", "nobody who runs is removed"),
    ("timer-after-pause", "who stood still accuses nobody on waking"),
    ("old-incarnation", "who comes back has a higher incarnation"),
];

/// Result of the scenario.
#[derive(Default)]
pub struct Report {
    /// By rule, a description of each breach.
    pub broken: BTreeMap<&'static str, Vec<String>>,
    /// Time in ms until another router detected a kill, one value per router and kill; `u64::MAX` if it did
    /// not within twice `DETECTION_LIMIT`.
    pub detection_ms: Vec<u64>,
    /// Time in ms from the end of each fault until all views agreed, by phase.
    pub convergence_ms: Vec<(&'static str, u64)>,
    /// Faults skipped because the fleet is too small for them.
    pub skipped: Vec<&'static str>,
}

/// The routers of this scenario.
struct Fleet<'a> {
    setup: Setup,
    folder: &'a Path,
    network: FaultyNetwork,
    ports: Vec<SocketAddr>,
    routers: Vec<Option<Router>>,
    /// Whether each router is running and so has to be in every view.
    is_running: Vec<bool>,
    /// By observer and observed router, the incarnation that the observer last listed as gone.
    gone: BTreeMap<(usize, usize), u64>,
    rng: Rand64,
    report: Report,
}

/// Returns a router's entry in a view.
fn member(view: &Value, index: usize) -> Option<&Value> {
    view["members"].as_array()?.iter().find(|member| member["name"] == format!("r{index}"))
}

impl Fleet<'_> {
    fn start(&self, index: usize) -> Result<Router, ScenarioError> {
        let file = self.folder.join(format!("r{index}.hcl"));
        let text = settings(index, &self.ports, &self.folder.join("key"));
        std::fs::write(&file, text).map_err(|error| ScenarioError::machine(file.display(), error))?;
        start(&self.setup, file)
    }

    /// Pauses or resumes a router by a signal.
    fn signal(&mut self, index: usize, signal: Signal) {
        self.is_running[index] = signal != Signal::STOP;
        if let Some(router) = &self.routers[index] {
            let _ = kill_process(Pid::from_child(&router.child), signal);
        }
    }

    /// Returns the view of a running router.
    fn view(&self, index: usize) -> Option<Value> {
        let router = self.routers[index].as_ref().filter(|_| self.is_running[index]);
        router.and_then(|router| query(router.address).ok())
    }

    fn record_breach(&mut self, rule: &'static str, breach: String) {
        self.report.broken.entry(rule).or_default().push(breach);
    }

    /// Reads all state pages. A running router that another lists as gone was removed wrongly, unless it is
    /// in `may_be_gone`.
    fn observe(&mut self, phase: &str, may_be_gone: &[usize]) -> Vec<Option<Value>> {
        let views: Vec<Option<Value>> = (0..self.ports.len()).map(|index| self.view(index)).collect();
        for (observer, view) in views.iter().enumerate() {
            let Some(view) = view else { continue };
            for observed in 0..self.ports.len() {
                let Some(entry) = member(view, observed) else { continue };
                self.check_incarnation(phase, observer, observed, entry);
                let is_wrong = self.is_running[observed] && !may_be_gone.contains(&observed);
                if is_wrong && entry["standing"] == "gone" {
                    let breach = format!(
                        "{phase}: r{observed} is listed as gone by r{observer}, votes {}",
                        entry["by"]
                    );
                    self.record_breach("nobody who runs is removed", breach);
                }
            }
        }
        views
    }

    /// Checks that a router that was gone returns with a higher incarnation.
    fn check_incarnation(&mut self, phase: &str, observer: usize, observed: usize, entry: &Value) {
        let Some(incarnation) = entry["incarnation"].as_u64() else { return };
        if entry["standing"] == "gone" {
            self.gone.insert((observer, observed), incarnation);
            return;
        }
        let gone = self.gone.remove(&(observer, observed));
        if let Some(gone) = gone.filter(|gone| incarnation <= *gone) {
            let breach = format!(
                "{phase}: r{observed} at r{observer} has incarnation {incarnation}, was gone with {gone}"
            );
            self.record_breach("who comes back has a higher incarnation", breach);
        }
    }

    /// Reads all state pages repeatedly for this time.
    fn watch(&mut self, phase: &str, time: Duration, may_be_gone: &[usize]) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.observe(phase, may_be_gone);
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until all running routers have the same view, and records how long it took.
    fn await_agreement(&mut self, phase: &'static str, limit: Duration) -> Result<(), ScenarioError> {
        let started = Instant::now();
        let live = self.is_running.iter().filter(|is_running| **is_running).count();
        loop {
            let all = self.observe(phase, &(0..self.ports.len()).collect::<Vec<_>>());
            let views: Vec<&Value> = all.iter().flatten().collect();
            let same = |view: &&Value| view["live"] == live && view["view"] == views[0]["view"];
            if views.len() == live && views.iter().all(same) {
                self.report.convergence_ms.push((phase, started.elapsed().as_millis() as u64));
                return Ok(());
            }
            if started.elapsed() > limit {
                let counts: Vec<String> = views.iter().map(|view| view["live"].to_string()).collect();
                let breach = format!(
                    "{phase}: no agreement within {} ms, live routers by view: {}",
                    limit.as_millis(),
                    counts.join(" ")
                );
                self.record_breach("one view after a fault", breach);
                return Err(ScenarioError::NotRecovered(
                    "the routers did not agree on one view after a fault".to_owned(),
                ));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the incarnations in a router's view, by name.
    fn incarnations(&self, observer: usize) -> BTreeMap<String, u64> {
        let view = self.view(observer).unwrap_or_default();
        let entries = view["members"].as_array().into_iter().flatten();
        let incarnation =
            |entry: &Value| Some((entry["name"].as_str()?.to_owned(), entry["incarnation"].as_u64()?));
        entries.filter_map(incarnation).collect()
    }

    /// Chooses a router at random.
    fn random_router(&mut self) -> usize {
        self.rng.rand_range(0..self.ports.len() as u64) as usize
    }

    /// Kills and restarts routers one after the other.
    fn kill(&mut self) -> Result<(), ScenarioError> {
        for _ in 0..3 {
            let dead = self.random_router();
            std::thread::sleep(Duration::from_millis(self.rng.rand_range(0..250)));
            self.is_running[dead] = false;
            self.routers[dead] = None;
            self.await_detection(dead);
            self.routers[dead] = Some(self.start(dead)?);
            self.is_running[dead] = true;
            self.await_agreement("kill", MAX_JOIN_TIME)?;
        }
        Ok(())
    }

    /// Records when each other router detects a kill.
    fn await_detection(&mut self, dead: usize) {
        let started = Instant::now();
        let mut unaware: Vec<usize> = (0..self.ports.len()).filter(|index| *index != dead).collect();
        while !unaware.is_empty() && started.elapsed() < DETECTION_LIMIT * 2 {
            let views = self.observe("kill", &[dead]);
            let is_aware = |index: &usize| {
                let entry = views[*index].as_ref().and_then(|view| member(view, dead));
                entry.is_some_and(|entry| entry["standing"] == "gone")
            };
            let now = started.elapsed().as_millis() as u64;
            self.report.detection_ms.extend(unaware.iter().filter(|index| is_aware(index)).map(|_| now));
            unaware.retain(|index| !is_aware(index));
        }
        self.report.detection_ms.extend(unaware.iter().map(|_| u64::MAX));
    }

    /// Pauses routers for up to two seconds while a fifth of all datagrams is lost.
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

    /// Cuts one direction between one pair in eight.
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
        self.await_agreement("one-way", MAX_HEAL_TIME)
    }

    /// Checks that neighbours report a cut link at both ends.
    fn check_link_faults(&mut self, cut: &[(usize, usize)]) {
        let rings = self.rings();
        let views = self.observe("one-way", &[]);
        let link_fault = |observer: usize, observed: usize| {
            let entry = views[observer].as_ref().and_then(|view| member(view, observed));
            entry.map(|entry| entry["lame"].clone()).unwrap_or_default()
        };
        for (from, to) in cut.iter().copied().filter(|(from, to)| are_neighbours(&rings, *from, *to)) {
            let (out, into) = (link_fault(from, to), link_fault(to, from));
            if out != "out" || into != "in" {
                let breach =
                    format!("one-way: link from r{from} to r{to} is reported as \"{out}\" and \"{into}\"");
                self.record_breach("lame links are named at both ends", breach);
            }
        }
    }

    /// Computes the neighbours of all routers.
    fn rings(&self) -> Rings {
        let mut rings = Rings::default();
        (0..self.ports.len()).for_each(|index| rings.insert(router_id(index)));
        rings
    }

    /// One router receives from a single other one only, so it accuses most of its neighbours, and all
    /// routers receive its accusations. The refutation of one neighbour arrives late.
    fn single_accuser(&mut self) -> Result<(), ScenarioError> {
        // In a small fleet all routers are neighbours.
        let Some(roles) = self.single_accuser_roles() else {
            self.report.skipped.push("one-voice");
            return Ok(());
        };
        let ports = self.ports.clone();
        self.network.faults().sender_delay.insert(ports[roles.late], REFUTATION_DELAY);
        self.watch("one-voice", Duration::from_secs(4), &[]);
        let others = (0..ports.len()).filter(|index| *index != roles.audible);
        let cut = others.map(|index| (ports[index], ports[roles.isolated]));
        self.network.faults().cut.extend(cut);
        self.watch("one-voice", Duration::from_secs(8), &[]);
        self.network.faults().cut.clear();
        self.network.faults().sender_delay.clear();
        self.await_agreement("one-voice", MAX_HEAL_TIME)
    }

    fn single_accuser_roles(&self) -> Option<SingleAccuserRoles> {
        let (rings, count) = (self.rings(), self.ports.len());
        let all = (0..count * count * count).map(|number| SingleAccuserRoles {
            isolated: number % count,
            late: number / count % count,
            audible: number / count / count,
        });
        let fits = |SingleAccuserRoles { isolated, late, audible }: &SingleAccuserRoles| {
            let are_different = isolated != late && late != audible && audible != isolated;
            are_different
                && are_neighbours(&rings, *late, *isolated)
                && are_neighbours(&rings, *audible, *isolated)
                && !are_neighbours(&rings, *audible, *late)
        };
        all.into_iter().find(fits)
    }

    /// Pauses a router for 1 s, for just longer than the suspicion timeout, and for 5 s.
    fn pause_and_resume(&mut self) -> Result<(), ScenarioError> {
        for (time, is_removed) in [(1_000, false), (2_200, false), (5_000, true)] {
            let stopped = self.random_router();
            let observer = (stopped + 1) % self.ports.len();
            let before = self.incarnations(observer);
            self.pause_for(stopped, Duration::from_millis(time));
            // Earlier accusations of other routers have been refuted by now.
            let baseline = self.incarnations(observer);
            self.signal(stopped, Signal::CONT);
            std::thread::sleep(POLL_INTERVAL);
            self.network.faults().cut.clear();
            self.watch("stop", Duration::from_secs(2), &[stopped]);
            self.check_accusations(stopped, observer, &baseline);
            let old_incarnation = before.get(&format!("r{stopped}")).copied().filter(|_| is_removed);
            self.check_return(stopped, observer, is_removed, old_incarnation);
            self.await_agreement("stop", MAX_HEAL_TIME)?;
        }
        Ok(())
    }

    /// Pauses a router for this time. Messages to it are lost, except the last ones of three neighbours, so
    /// that it has not heard from most others for long when it resumes.
    fn pause_for(&mut self, stopped: usize, time: Duration) {
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

    /// Checks that a paused router accuses nobody when it resumes. An accusation shows as a raised
    /// incarnation, which the refutation carries.
    fn check_accusations(&mut self, stopped: usize, observer: usize, baseline: &BTreeMap<String, u64>) {
        let (after, name) = (self.incarnations(observer), format!("r{stopped}"));
        let is_raised = |of: &String, old: &u64| *of != name && after.get(of) > Some(old);
        for (of, old) in baseline.iter().filter(|(of, old)| is_raised(of, old)) {
            let breach =
                format!("stop: {name} resumed, and {of} had to refute an accusation (incarnation {old})");
            self.record_breach("who stood still accuses nobody on waking", breach);
        }
    }

    /// Checks that a resumed router rejoins by itself, with a higher incarnation if it was removed.
    fn check_return(
        &mut self,
        stopped: usize,
        observer: usize,
        is_removed: bool,
        old_incarnation: Option<u64>,
    ) {
        let started = Instant::now();
        let observed = |fleet: &Self| {
            fleet.view(observer).and_then(|view| member(&view, stopped).cloned()).unwrap_or_default()
        };
        let is_back =
            |entry: &Value| ["alive", "suspected"].iter().any(|status| entry["standing"] == *status);
        while !is_back(&observed(self)) && started.elapsed() < MAX_RETURN_TIME {
            std::thread::sleep(POLL_INTERVAL);
        }
        let entry = observed(self);
        if !is_back(&entry) {
            let breach =
                format!("stop: r{stopped} is running, but r{observer} lists it as {}", entry["standing"]);
            self.record_breach("who was removed and runs comes back", breach);
        } else if is_removed && entry["incarnation"].as_u64() <= old_incarnation {
            let breach = format!("stop: r{stopped} returned with incarnation {}", entry["incarnation"]);
            self.record_breach("who comes back has a higher incarnation", breach);
        }
    }

    /// Partitions the fleet into halves.
    fn halves(&mut self) -> Result<(), ScenarioError> {
        let ports = self.ports.clone();
        let (one, other) = ports.split_at(ports.len() / 2);
        self.network.faults().partition(one, other);
        std::thread::sleep(Duration::from_secs(12));
        self.network.faults().cut.clear();
        self.await_agreement("halves", MAX_HEAL_TIME)
    }

    fn inject_fault(&mut self, fault: &'static str) -> Result<(), ScenarioError> {
        match fault {
            "kill" => return self.kill(),
            "one-way" => return self.one_way(),
            "one-voice" => return self.single_accuser(),
            "stop" => return self.pause_and_resume(),
            "halves" => return self.halves(),
            "loss" => {
                (self.network.faults().loss_rate, self.network.faults().duplicate_rate) = (0.3, 0.1);
                self.watch(fault, Duration::from_secs(10), &[]);
                (self.network.faults().loss_rate, self.network.faults().duplicate_rate) = (0.0, 0.0);
            }
            "slow" => {
                let times = (Duration::from_millis(300), Duration::from_millis(200));
                (self.network.faults().delay, self.network.faults().jitter) = times;
                self.watch(fault, Duration::from_secs(10), &[]);
                (self.network.faults().delay, self.network.faults().jitter) = Default::default();
            }
            _ => self.pauses(),
        }
        self.await_agreement(fault, MAX_HEAL_TIME)
    }
}

/// Roles of routers under the fault `one-voice`.
struct SingleAccuserRoles {
    /// The router that receives from only one other.
    isolated: usize,
    /// Its neighbour whose refutation arrives late.
    late: usize,
    /// The neighbour from which it receives.
    audible: usize,
}

fn router_id(index: usize) -> RouterId {
    RouterId::named(&format!("r{index}"))
}

/// Whether `one` is among the neighbours of `other`.
fn are_neighbours(rings: &Rings, one: usize, other: usize) -> bool {
    rings.neighbours_of(router_id(other)).contains(&router_id(one))
}

/// Injects the faults in a fleet that keeps its files in `folder`. Calls `progress` with the name of each.
///
/// # Errors
/// Returns an error if the scenario could not run.
pub fn run(
    setup: &Setup,
    faults: &[&'static str],
    folder: &Path,
    progress: &mut dyn FnMut(&str),
) -> Result<Report, ScenarioError> {
    let mut fleet = start_fleet(setup, folder)?;
    let mut agreement = fleet.await_agreement("join", MAX_JOIN_TIME);
    for fault in faults {
        if agreement.is_err() {
            break;
        }
        progress(fault);
        agreement = fleet.inject_fault(fault);
    }
    let mut report = std::mem::take(&mut fleet.report);
    report.detection_ms.sort_unstable();
    check_detection(&mut report);
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
        is_running: vec![true; count],
        gone: BTreeMap::new(),
        rng: Rand64::new(u128::from(setup.seed)),
        report: Report::default(),
    };
    for index in 0..count {
        fleet.routers[index] = Some(fleet.start(index)?);
    }
    Ok(fleet)
}

/// Checks that kills were detected in time.
fn check_detection(report: &mut Report) {
    let percentile = |percent: usize| {
        report.detection_ms.get(report.detection_ms.len().saturating_sub(1) * percent / 100).copied()
    };
    let is_late = |at: Option<u64>, limit: Duration| at.is_some_and(|ms| u128::from(ms) > limit.as_millis());
    let (median, percentile_99) = (percentile(50), percentile(99));
    if is_late(median, MEDIAN_DETECTION_LIMIT + POLL_INTERVAL) || is_late(percentile_99, DETECTION_LIMIT) {
        let breach =
            format!("kill: detected after {median:?} ms (median), {percentile_99:?} ms (99th percentile)");
        report.broken.entry("a kill is known in time").or_default().push(breach);
    }
}
