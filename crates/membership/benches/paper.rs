//! Fleets on the simulated network beside two plain ways: the same machine with one accuser and no local
//! health, and heartbeats from all to all with a fixed timeout. Prints tables; an argument that ends in
//! `.svg` is a file for the chart. `cargo bench -p applepond-membership --bench paper -- 20 300
//! docs/x.svg`.
#[path = "../tests/common/mod.rs"]
mod common;
use applepond_membership::{Change, HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, ObservedStatus, Safeguards};
use common::{Link, MILLISECOND, Process, SECOND, SimulatedNetwork, lossy};
use oorandom::Rand64;
use plotters::prelude::*;
use std::time::Instant;

/// One accuser, no local health, no notice of having stood still.
const PLAIN: Safeguards = Safeguards {
    refutation: true,
    vote_quorum: false,
    local_health: false,
    pause_detection: false,
    incarnation_bump: true,
};
/// Faults, each for so long: what is lost, which of eight pairs is cut one way, delay, and whether
/// processes stand still for 0.2 to 2 s, one in twenty a second.
struct Fault {
    name: &'static str,
    lost: f64,
    cut: bool,
    delay: u64,
    pauses: bool,
}
const FAULTS: [Fault; 4] = [
    Fault { name: "30 % lost", lost: 0.3, cut: false, delay: 0, pauses: false },
    Fault { name: "20 % lost, pauses", lost: 0.2, cut: false, delay: 0, pauses: true },
    Fault { name: "one way of 1/8", lost: 0.0, cut: true, delay: 0, pauses: false },
    Fault { name: "45 % lost, 0.2 to 0.6 s late", lost: 0.45, cut: false, delay: 400, pauses: false },
];
const WAYS: [&str; 3] = ["members", "one accuser", "all to all"];
const COLOURS: [RGBColor; 3] = [RGBColor(20, 90, 160), RGBColor(220, 120, 30), RGBColor(110, 110, 110)];

impl Fault {
    fn takes(&self, a: usize, b: usize, rng: &mut Rand64) -> Option<u64> {
        let late =
            if self.delay > 0 { 200 * MILLISECOND + rng.rand_range(0..self.delay) * MILLISECOND } else { 0 };
        let cut = self.cut && (a + 2 * b).is_multiple_of(8) && !(b + 2 * a).is_multiple_of(8);
        (!cut && rng.rand_float() >= self.lost).then(|| late + 200 + rng.rand_range(0..800))
    }

    fn link(&'static self) -> Link {
        Box::new(move |_, a, b, rng| self.takes(a, b, rng))
    }
}

fn median_and(took: &mut [u64]) -> [u64; 2] {
    took.sort_unstable();
    [50, 99].map(|part| took[(took.len() - 1) * part / 100])
}

/// ms until each of the others took a killed one for gone, over so many seeds.
fn kill(routers: usize, seeds: u64, guards: Safeguards) -> Vec<u64> {
    let mut took = Vec::new();
    for seed in 0..seeds {
        let mut network = SimulatedNetwork::fleet_with(seed, routers, lossy(0.02), guards);
        network.run_for(seed * 70 * MILLISECOND);
        let (dead, at) = (routers / 2, network.now);
        network.kill(dead);
        network.run_for(8 * SECOND);
        let dead_name = format!("r{dead}");
        let is_removal = |change: &Change| match change {
            Change::StatusChanged { name, current, .. } => {
                *current == ObservedStatus::Dead && *name == dead_name
            }
            _ => false,
        };
        let gone = |c: &&(u64, Change)| c.0 > at && is_removal(&c.1);
        let known = |n: usize| network.changes(n).find(gone).map_or(8_000, |c| (c.0 - at) / MILLISECOND);
        took.extend((0..routers).filter(|n| *n != dead).map(known));
    }
    took
}

/// Live routers removed in so many s.
fn removed(routers: usize, seconds: u64, guards: Safeguards, fault: &'static Fault) -> usize {
    let mut network = SimulatedNetwork::fleet_with(1, routers, fault.link(), guards);
    let (mut rng, before) = (Rand64::new(5), network.removals());
    for _ in 0..seconds {
        for _ in 0..if fault.pauses { routers / 20 } else { 0 } {
            let n = rng.rand_range(0..routers as u64) as usize;
            if network.processes[n].as_ref().is_some_and(|p| p.paused_until.is_none()) {
                network.pause(n, 200 * MILLISECOND + rng.rand_range(0..1_800) * MILLISECOND);
            }
        }
        network.run_for(SECOND);
    }
    network.removals() - before
}

/// All to all: a heartbeat of each to each other, dead after `HEARTBEAT_TIMEOUT` of silence by each one's
/// own look. Live routers removed in so many s, and ms until each knows of one that is killed at half of
/// them.
fn all_to_all(routers: usize, seconds: u64, fault: Option<&Fault>) -> (usize, Vec<u64>) {
    const STEP: u64 = 50 * MILLISECOND;
    let (mut rng, end) = (Rand64::new(1), seconds * SECOND);
    let phase: Vec<u64> = (0..routers).map(|n| n as u64 * 7 % (HEARTBEAT_INTERVAL / STEP)).collect();
    let mut heard = vec![0; routers * routers];
    let mut gone = vec![false; routers * routers];
    let mut until = vec![0; routers];
    let (mut removed, mut known) = (0, Vec::new());
    let (dead, dies) = (routers / 2, if fault.is_none() { end / 2 } else { u64::MAX });
    for step in 0..end / STEP {
        let now = step * STEP;
        if fault.is_some_and(|f| f.pauses) && step % (SECOND / STEP) == 0 {
            for _ in 0..routers / 20 {
                let n = rng.rand_range(0..routers as u64) as usize;
                until[n] = now.max(until[n]) + 200 * MILLISECOND + rng.rand_range(0..1_800) * MILLISECOND;
            }
        }
        let acts = |n: &usize| {
            step % (HEARTBEAT_INTERVAL / STEP) == phase[*n] && now >= until[*n] && (*n != dead || now < dies)
        };
        for n in (0..routers).filter(acts) {
            for other in (0..routers).filter(|other| *other != n) {
                let takes = match fault {
                    Some(fault) => fault.takes(n, other, &mut rng),
                    None => (rng.rand_float() >= 0.02).then_some(500),
                };
                if let Some(takes) = takes {
                    heard[other * routers + n] = now + takes;
                }
            }
            for of in (0..routers).filter(|of| *of != n) {
                let is = now.saturating_sub(heard[n * routers + of]) > HEARTBEAT_TIMEOUT;
                if is && !std::mem::replace(&mut gone[n * routers + of], is) {
                    if of == dead && now >= dies {
                        known.push((now - dies) / MILLISECOND);
                    } else {
                        removed += 1;
                    }
                }
                gone[n * routers + of] = is;
            }
        }
    }
    (removed, known)
}

/// Bytes and messages a second of an instance, and ms of CPU a second of it, without a fault.
fn costs(routers: usize, seconds: u64) -> (u64, u64, f64) {
    let mut network = SimulatedNetwork::fleet(1, routers, lossy(0.02));
    // What is left to say of the start does not count.
    network.run_for(10 * SECOND);
    let sum =
        |p: &SimulatedNetwork, of: fn(&Process) -> u64| p.processes.iter().flatten().map(of).sum::<u64>();
    let (bytes, messages) = (sum(&network, |p| p.bytes), sum(&network, |p| p.messages));
    let begun = Instant::now();
    network.run_for(seconds * SECOND);
    let each = routers as u64 * seconds;
    let cpu = begun.elapsed().as_secs_f64() * 1e3 / each as f64;
    ((sum(&network, |p| p.bytes) - bytes) / each, (sum(&network, |p| p.messages) - messages) / each, cpu)
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let mut fleets: Vec<usize> = words.iter().filter_map(|a| a.parse().ok()).collect();
    if fleets.is_empty() {
        fleets = vec![20];
    }
    let mut rows = Vec::new();
    for routers in fleets {
        // About as many router seconds in each fleet.
        let seconds = (60_000 / routers as u64).clamp(20, 600);
        let seeds = (100 / routers as u64).clamp(1, 5);
        let (bytes, messages, cpu) = costs(routers, seconds.min(20));
        println!("| {routers} | bytes/s, messages/s, CPU ms/s | {bytes}, {messages}, {cpu:.2} |");
        let mut known = [
            kill(routers, seeds, Safeguards::ALL),
            kill(routers, seeds, PLAIN),
            all_to_all(routers, 20, None).1,
        ];
        let known = [0, 1, 2].map(|way| median_and(&mut known[way]));
        println!("| {routers} | ms to know (median, 99 %) | {known:?} |");
        // Each takes a quarter of an hour there.
        for fault in FAULTS.iter().filter(|_| routers <= 1_000) {
            let ours = removed(routers, seconds, Safeguards::ALL, fault);
            let ways =
                [ours, removed(routers, seconds, PLAIN, fault), all_to_all(routers, seconds, Some(fault)).0];
            println!("| {routers} | {} for {seconds} s: live ones removed | {ways:?} |", fault.name);
            rows.push((format!("{routers}: {}", fault.name), ways.map(|n| n as f64)));
        }
    }
    if let Some(file) = words.iter().find(|w| w.ends_with(".svg")) {
        chart(&rows, file).expect("a chart");
    }
}

/// Removals by fault and way; a bar of none has no height.
fn chart(rows: &[(String, [f64; 3])], file: &str) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, (960, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let most = rows.iter().flat_map(|(_, ways)| *ways).fold(10.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption("Live routers taken for gone, simulated network (0 has no bar)", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..rows.len() as f64, (0.5..most * 2.0).log_scale())?;
    let label = |x: &f64| rows.get(*x as usize).map_or(String::new(), |(name, _)| name.clone());
    chart.configure_mesh().disable_x_mesh().x_labels(rows.len()).x_label_formatter(&label).draw()?;
    for (way, (name, colour)) in WAYS.into_iter().zip(COLOURS).enumerate() {
        let bar = |(n, (_, ways)): (usize, &(String, [f64; 3]))| {
            let x = n as f64 + 0.1 + 0.25 * way as f64;
            Rectangle::new([(x, 0.5), (x + 0.25, ways[way].max(0.5))], colour.filled())
        };
        chart
            .draw_series(rows.iter().enumerate().map(bar))?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    Ok(area.present()?)
}
