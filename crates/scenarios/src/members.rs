//! Routers that know of each other, as processes, with faults between them. What each takes the others for
//! is asked of its state page, and judged against what the drill itself has done.
use crate::fault::Unplayed;
use crate::fleet::{ports, settings};
use crate::links::Links;
use crate::process::{Plan, Router, start};
use applepond_fleet::query;
use applepond_membership::{Rings, RouterId};
use oorandom::Rand64;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// The longest that one view may take to come about, from the start and after a fault has ended; by the
/// aims 5 s, and what asking all pages takes.
const JOINS: Duration = Duration::from_secs(20);
const HEALS: Duration = Duration::from_millis(5_500);
/// A kill is known to all after it, by the aims.
const KNOWN: Duration = Duration::from_secs(6);
const KNOWN_MEDIAN: Duration = Duration::from_secs(3);
/// Between two looks at all pages.
const LOOK: Duration = Duration::from_millis(50);
/// A router that ran has to be back by itself within this.
const BACK: Duration = Duration::from_secs(10);
/// What is sent late so that one voice is heard before its refutation.
const LATE: Duration = Duration::from_millis(1_500);

/// Scenes, in the order in which they are played.
pub const SCENES: [&str; 8] = ["kill", "loss", "pauses", "one-way", "slow", "one-voice", "stop", "halves"];
/// Faults that can be planted, and the rule that each breaks.
pub const PLANTS: [(&str, &str); 4] = [
    ("no-refute", "who was removed and runs comes back"),
    ("lone-accuser", "nobody who runs is removed"),
    ("timer-after-pause", "who stood still accuses nobody on waking"),
    ("old-incarnation", "who comes back has a higher incarnation"),
];

/// What came of it.
#[derive(Default)]
pub struct Report {
    /// Rule, and each breach of it in words.
    pub broken: BTreeMap<&'static str, Vec<String>>,
    /// ms until a kill was known, of each other router.
    pub known: Vec<u64>,
    /// ms until one view after each fault, by scene.
    pub healed: Vec<(&'static str, u64)>,
    /// Scenes that a fleet of this size has no place for.
    pub unplayed: Vec<&'static str>,
}

struct Fleet<'a> {
    plan: &'a Plan,
    folder: &'a Path,
    links: Links,
    ports: Vec<SocketAddr>,
    routers: Vec<Option<Router>>,
    /// Those that have to be in every view.
    runs: Vec<bool>,
    /// The incarnation under which a router was last seen to take another for gone, by both.
    gone: BTreeMap<(usize, usize), u64>,
    rng: Rand64,
    report: Report,
}

fn row(view: &Value, n: usize) -> Option<&Value> {
    view["members"].as_array()?.iter().find(|m| m["name"] == format!("r{n}"))
}

impl Fleet<'_> {
    fn start(&self, n: usize) -> Result<Router, Unplayed> {
        let file = self.folder.join(format!("r{n}.hcl"));
        let text = settings(n, &self.ports, &self.folder.join("key"));
        std::fs::write(&file, text).map_err(|e| Unplayed::machine(file.display(), e))?;
        start(self.plan, file)
    }

    fn signal(&mut self, n: usize, signal: Signal) {
        self.runs[n] = signal != Signal::STOP;
        if let Some(router) = &self.routers[n] {
            let _ = kill_process(Pid::from_child(&router.child), signal);
        }
    }

    fn view(&self, n: usize) -> Option<Value> {
        self.routers[n].as_ref().filter(|_| self.runs[n]).and_then(|r| query(r.at).ok())
    }

    fn breaks(&mut self, rule: &'static str, what: String) {
        self.report.broken.entry(rule).or_default().push(what);
    }

    /// Looks at all pages. A router that runs and that another takes for gone was removed wrongly, unless it
    /// is one of `may`; one that is back where it was gone is back under a higher incarnation.
    fn look(&mut self, scene: &str, may: &[usize]) -> Vec<Option<Value>> {
        let all: Vec<Option<Value>> = (0..self.ports.len()).map(|n| self.view(n)).collect();
        for (n, view) in all.iter().enumerate() {
            let Some(view) = view else { continue };
            for of in 0..self.ports.len() {
                if let Some(row) = row(view, of)
                    && let Some(incarnation) = row["incarnation"].as_u64()
                {
                    if row["standing"] == "gone" {
                        self.gone.insert((n, of), incarnation);
                    } else if let Some(gone) = self.gone.remove(&(n, of)).filter(|gone| incarnation <= *gone)
                    {
                        let what = format!("{scene}: r{of} at r{n} under {incarnation}, gone under {gone}");
                        self.breaks("who comes back has a higher incarnation", what);
                    }
                }
                if !self.runs[of] || may.contains(&of) {
                    continue;
                }
                if let Some(gone) = row(view, of).filter(|m| m["standing"] == "gone") {
                    let by = gone["by"].to_string();
                    self.breaks("nobody who runs is removed", format!("{scene}: r{of} by r{n}, votes {by}"));
                }
            }
        }
        all
    }

    fn watch(&mut self, scene: &str, time: Duration, may: &[usize]) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.look(scene, may);
            std::thread::sleep(LOOK);
        }
    }

    /// Waits for one view of all that run; says how long it took.
    fn one_view(&mut self, scene: &'static str, most: Duration) -> Result<(), Unplayed> {
        let begun = Instant::now();
        let live = self.runs.iter().filter(|r| **r).count();
        loop {
            let all = self.look(scene, &(0..self.ports.len()).collect::<Vec<_>>());
            let views: Vec<&Value> = all.iter().flatten().collect();
            let same = |v: &&Value| v["live"] == live && v["view"] == views[0]["view"];
            if views.len() == live && views.iter().all(same) {
                self.report.healed.push((scene, begun.elapsed().as_millis() as u64));
                return Ok(());
            }
            if begun.elapsed() > most {
                let counts: Vec<String> = views.iter().map(|v| v["live"].to_string()).collect();
                let what = format!("{scene}: not within {} ms: {}", most.as_millis(), counts.join(" "));
                self.breaks("one view after a fault", what);
                return Err(Unplayed::NotWhole("the fleet is not whole after a fault".to_owned()));
            }
            std::thread::sleep(LOOK);
        }
    }

    fn incarnations(&self, from: usize) -> BTreeMap<String, u64> {
        let view = self.view(from).unwrap_or_default();
        let rows = view["members"].as_array().into_iter().flatten();
        rows.filter_map(|m| Some((m["name"].as_str()?.to_owned(), m["incarnation"].as_u64()?))).collect()
    }

    fn any(&mut self) -> usize {
        self.rng.rand_range(0..self.ports.len() as u64) as usize
    }

    /// Killed outright, one after the other, and started again.
    fn kill(&mut self) -> Result<(), Unplayed> {
        for _ in 0..3 {
            let dead = self.any();
            std::thread::sleep(Duration::from_millis(self.rng.rand_range(0..250)));
            self.runs[dead] = false;
            self.routers[dead] = None;
            let begun = Instant::now();
            let mut unknown: Vec<usize> = (0..self.ports.len()).filter(|n| *n != dead).collect();
            while !unknown.is_empty() && begun.elapsed() < KNOWN * 2 {
                let all = self.look("kill", &[dead]);
                let known = |n: &usize| {
                    all[*n].as_ref().and_then(|v| row(v, dead)).is_some_and(|m| m["standing"] == "gone")
                };
                let now = begun.elapsed().as_millis() as u64;
                self.report.known.extend(unknown.iter().filter(|n| known(n)).map(|_| now));
                unknown.retain(|n| !known(n));
            }
            self.report.known.extend(unknown.iter().map(|_| u64::MAX));
            self.routers[dead] = Some(self.start(dead)?);
            self.runs[dead] = true;
            self.one_view("kill", JOINS)?;
        }
        Ok(())
    }

    fn pauses(&mut self) {
        self.links.faults().lost = 0.2;
        let (end, mut until) = (Instant::now() + Duration::from_secs(12), BTreeMap::new());
        while Instant::now() < end || !until.is_empty() {
            let n = self.any();
            if Instant::now() < end && !until.contains_key(&n) && self.rng.rand_float() < 0.1 {
                self.signal(n, Signal::STOP);
                let time = Duration::from_millis(self.rng.rand_range(200..1_800));
                until.insert(n, Instant::now() + time);
            }
            let due: Vec<usize> =
                until.iter().filter(|(_, t)| **t <= Instant::now()).map(|(n, _)| *n).collect();
            for n in due {
                until.remove(&n);
                self.signal(n, Signal::CONT);
            }
            self.look("pauses", &[]);
        }
        self.links.faults().lost = 0.0;
    }

    /// One way of one pair in eight.
    fn one_way(&mut self) -> Result<(), Unplayed> {
        let ports = self.ports.clone();
        let rings = self.rings();
        let id = |n: usize| RouterId::named(&format!("r{n}"));
        let mut lame = Vec::new();
        for (a, b) in (0..ports.len()).flat_map(|a| (0..ports.len()).map(move |b| (a, b))) {
            if a != b && self.rng.rand_float() < 0.125 && !lame.contains(&(b, a)) {
                self.links.faults().cut.insert((ports[a], ports[b]));
                lame.push((a, b));
            }
        }
        self.watch("one-way", Duration::from_secs(8), &[]);
        // Between neighbours the link is named at both its ends.
        let all = self.look("one-way", &[]);
        for (a, b) in lame.into_iter().filter(|(a, b)| rings.neighbours_of(id(*b)).contains(&id(*a))) {
            let says = |at: usize, of: usize| {
                all[at].as_ref().and_then(|v| row(v, of)).map(|m| m["lame"].clone()).unwrap_or_default()
            };
            let (out, into) = (says(a, b), says(b, a));
            if out != "out" || into != "in" {
                let what = format!("one-way: from r{a} to r{b}: \"{out}\" and \"{into}\"");
                self.breaks("lame links are named at both ends", what);
            }
        }
        self.links.faults().cut.clear();
        self.one_view("one-way", HEALS)
    }

    fn rings(&self) -> Rings {
        let mut rings = Rings::default();
        (0..self.ports.len()).for_each(|n| rings.insert(RouterId::named(&format!("r{n}"))));
        rings
    }

    /// One router hears a single other one, accuses most of its neighbours, and is heard by all; what one of
    /// them has to say comes late.
    fn one_voice(&mut self) -> Result<(), Unplayed> {
        let (rings, many) = (self.rings(), self.ports.len());
        let id = |n: usize| RouterId::named(&format!("r{n}"));
        let beside = |n: usize, of: usize| rings.neighbours_of(id(of)).contains(&id(n));
        let found = (0..many * many * many).map(|x| (x % many, x / many % many, x / many / many)).find(
            |(deluded, late, heard)| {
                let apart = deluded != late && late != heard && heard != deluded;
                apart && beside(*late, *deluded) && beside(*heard, *deluded) && !beside(*heard, *late)
            },
        );
        // In a small fleet everybody is beside everybody.
        let Some((deluded, late, heard)) = found else {
            self.report.unplayed.push("one-voice");
            return Ok(());
        };
        let ports = self.ports.clone();
        self.links.faults().slow.insert(ports[late], LATE);
        self.watch("one-voice", Duration::from_secs(4), &[]);
        let others = (0..many).filter(|n| *n != heard).map(|n| (ports[n], ports[deluded]));
        self.links.faults().cut.extend(others);
        self.watch("one-voice", Duration::from_secs(8), &[]);
        self.links.faults().cut.clear();
        self.links.faults().slow.clear();
        self.one_view("one-voice", HEALS)
    }

    /// Stopped for 1 s, for just longer than patience, and for 5 s; what is sent to it meanwhile is lost, but
    /// for the last words of a few: it has not heard most for long when it wakes.
    fn stop(&mut self) -> Result<(), Unplayed> {
        for (time, removed) in [(1_000, false), (2_200, false), (5_000, true)] {
            let stopped = self.any();
            let judge = (stopped + 1) % self.ports.len();
            let before = self.incarnations(judge);
            let ports = self.ports.clone();
            self.signal(stopped, Signal::STOP);
            self.links.faults().cut.extend(ports.iter().map(|p| (*p, ports[stopped])));
            self.watch("stop", Duration::from_millis(time - 300), &[]);
            // Three neighbours are heard again before it wakes, the others just after it.
            let beside = self.rings().neighbours_of(RouterId::named(&format!("r{stopped}")));
            let heard = (0..ports.len()).filter(|n| beside.contains(&RouterId::named(&format!("r{n}"))));
            for n in heard.take(3) {
                self.links.faults().cut.remove(&(ports[n], ports[stopped]));
            }
            std::thread::sleep(Duration::from_millis(300));
            // What others were accused of before has been refuted by now.
            let calm = self.incarnations(judge);
            self.signal(stopped, Signal::CONT);
            std::thread::sleep(LOOK);
            self.links.faults().cut.clear();
            self.watch("stop", Duration::from_secs(2), &[stopped]);
            let (after, name) = (self.incarnations(judge), format!("r{stopped}"));
            for (of, old) in calm.iter().filter(|(of, old)| **of != name && after.get(*of) > Some(*old)) {
                let what = format!("stop: {name} woke, and {of} had to say it is there ({old})");
                self.breaks("who stood still accuses nobody on waking", what);
            }
            let begun = Instant::now();
            let shown = |f: &Self| f.view(judge).and_then(|v| row(&v, stopped).cloned()).unwrap_or_default();
            let back = |row: &Value| ["alive", "suspected"].iter().any(|s| row["standing"] == *s);
            while !back(&shown(self)) && begun.elapsed() < BACK {
                std::thread::sleep(LOOK);
            }
            let row = shown(self);
            if !back(&row) {
                let what = format!("stop: {name} runs and is {} to r{judge}", row["standing"]);
                self.breaks("who was removed and runs comes back", what);
            } else if removed && row["incarnation"].as_u64() <= before.get(&name).copied() {
                let what = format!("stop: {name} under {}", row["incarnation"]);
                self.breaks("who comes back has a higher incarnation", what);
            }
            self.one_view("stop", HEALS)?;
        }
        Ok(())
    }

    fn halves(&mut self) -> Result<(), Unplayed> {
        let ports = self.ports.clone();
        let (one, other) = ports.split_at(ports.len() / 2);
        self.links.faults().part(one, other);
        std::thread::sleep(Duration::from_secs(12));
        self.links.faults().cut.clear();
        self.one_view("halves", HEALS)
    }

    fn play(&mut self, scene: &'static str) -> Result<(), Unplayed> {
        match scene {
            "kill" => return self.kill(),
            "one-way" => return self.one_way(),
            "one-voice" => return self.one_voice(),
            "stop" => return self.stop(),
            "halves" => return self.halves(),
            "loss" => {
                (self.links.faults().lost, self.links.faults().twice) = (0.3, 0.1);
                self.watch(scene, Duration::from_secs(10), &[]);
                (self.links.faults().lost, self.links.faults().twice) = (0.0, 0.0);
            }
            "slow" => {
                let times = (Duration::from_millis(300), Duration::from_millis(200));
                (self.links.faults().delay, self.links.faults().jitter) = times;
                self.watch(scene, Duration::from_secs(10), &[]);
                (self.links.faults().delay, self.links.faults().jitter) = Default::default();
            }
            _ => self.pauses(),
        }
        self.one_view(scene, HEALS)
    }
}

/// Plays these scenes; `progress` is told of each. An error is what kept the drill from being played.
pub fn members(
    plan: &Plan,
    scenes: &[&'static str],
    folder: &Path,
    progress: &mut dyn FnMut(&str),
) -> Result<Report, Unplayed> {
    let told = |e: std::io::Error| Unplayed::machine(folder.display(), e);
    std::fs::create_dir_all(folder).map_err(told)?;
    std::fs::write(folder.join("key"), format!("the secret of a drill's fleet, {}\n", plan.seed))
        .map_err(told)?;
    let links = Links::new(plan.seed).map_err(told)?;
    let plan =
        &Plan { through: Some(links.at), plant: plan.plant.clone(), program: plan.program.clone(), ..*plan };
    let many = plan.routers;
    let rng = Rand64::new(u128::from(plan.seed));
    let (ports, report) = (ports(many).map_err(told)?, Report::default());
    let (routers, runs) = ((0..many).map(|_| None).collect(), vec![true; many]);
    let gone = BTreeMap::new();
    let mut fleet = Fleet { plan, folder, links, ports, routers, runs, gone, rng, report };
    for n in 0..many {
        fleet.routers[n] = Some(fleet.start(n)?);
    }
    let mut whole = fleet.one_view("join", JOINS);
    for scene in scenes {
        if whole.is_err() {
            break;
        }
        progress(scene);
        whole = fleet.play(scene);
    }
    let mut report = std::mem::take(&mut fleet.report);
    report.known.sort_unstable();
    let at = |part: usize| report.known.get(report.known.len().saturating_sub(1) * part / 100).copied();
    let late = |at: Option<u64>, most: Duration| at.is_some_and(|ms| u128::from(ms) > most.as_millis());
    if late(at(50), KNOWN_MEDIAN + LOOK) || late(at(99), KNOWN) {
        let what = format!("kill: {:?} ms median, {:?} ms at 99 %", at(50), at(99));
        report.broken.entry("a kill is known in time").or_default().push(what);
    }
    Ok(report)
}
