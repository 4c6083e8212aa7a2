//! Failure detection on the simulated network, compared with two simpler methods: the same protocol with a
//! quorum of one vote and without health penalties, and all-to-all heartbeats with a fixed timeout.
//!
//! Arguments are fleet sizes and, for a chart, a file name that ends in `.svg`. Prints tables. Example:
//! `cargo bench -p applepond-membership --bench paper -- 20 300 docs/x.svg`.
#[path = "../tests/common/mod.rs"]
mod common;
use applepond_membership::{Change, HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, ObservedStatus, Safeguards};
use common::{Link, MILLISECOND, Process, SECOND, SimulatedNetwork, lossy_link};
use oorandom::Rand64;
use plotters::prelude::*;
use std::time::Instant;

/// A quorum of one vote, no health penalties, no detection of pauses.
const SINGLE_VOTE: Safeguards = Safeguards {
    refutation: true,
    vote_quorum: false,
    local_health: false,
    pause_detection: false,
    incarnation_bump: true,
};
/// A fault that is present during the whole run.
struct Fault {
    name: &'static str,
    /// Fraction of messages that are lost.
    loss: f64,
    /// Whether about one in eight links is cut in one direction.
    one_way_cuts: bool,
    /// If positive, messages take between 200 ms and 200 ms plus this many ms.
    delay: u64,
    /// Whether 5 % of the processes are paused for 0.2 to 2 s in each second.
    pauses: bool,
}
const FAULTS: [Fault; 4] = [
    Fault { name: "30 % loss", loss: 0.3, one_way_cuts: false, delay: 0, pauses: false },
    Fault { name: "20 % loss, pauses", loss: 0.2, one_way_cuts: false, delay: 0, pauses: true },
    Fault { name: "1/8 of links cut one way", loss: 0.0, one_way_cuts: true, delay: 0, pauses: false },
    Fault {
        name: "45 % loss, 0.2 to 0.6 s delay",
        loss: 0.45,
        one_way_cuts: false,
        delay: 400,
        pauses: false,
    },
];
const METHODS: [&str; 3] = ["membership", "single vote", "all-to-all"];
const COLOURS: [RGBColor; 3] = [RGBColor(20, 90, 160), RGBColor(220, 120, 30), RGBColor(110, 110, 110)];

impl Fault {
    /// Latency in µs of a message from `a` to `b`, or `None` if it is lost.
    fn latency(&self, a: usize, b: usize, rng: &mut Rand64) -> Option<u64> {
        let delay =
            if self.delay > 0 { 200 * MILLISECOND + rng.rand_range(0..self.delay) * MILLISECOND } else { 0 };
        let is_cut = self.one_way_cuts && (a + 2 * b).is_multiple_of(8) && !(b + 2 * a).is_multiple_of(8);
        (!is_cut && rng.rand_float() >= self.loss).then(|| delay + 200 + rng.rand_range(0..800))
    }

    fn link(&'static self) -> Link {
        Box::new(move |_, a, b, rng| self.latency(a, b, rng))
    }
}

fn median_and_99th_percentile(times: &mut [u64]) -> [u64; 2] {
    times.sort_unstable();
    [50, 99].map(|percentile| times[(times.len() - 1) * percentile / 100])
}

/// Times in ms until each of the other routers declared a killed router dead, over all seeds.
fn detection_times(routers: usize, seeds: u64, safeguards: Safeguards) -> Vec<u64> {
    let mut times = Vec::new();
    for seed in 0..seeds {
        let mut network = SimulatedNetwork::fleet_with(seed, routers, lossy_link(0.02), safeguards);
        network.run_for(seed * 70 * MILLISECOND);
        let (dead, killed_at) = (routers / 2, network.now);
        network.kill(dead);
        network.run_for(8 * SECOND);
        let dead_name = format!("r{dead}");
        let is_removal = |change: &Change| match change {
            Change::StatusChanged { name, current, .. } => {
                *current == ObservedStatus::Dead && *name == dead_name
            }
            _ => false,
        };
        let is_detection = |c: &&(u64, Change)| c.0 > killed_at && is_removal(&c.1);
        let detection_time = |n: usize| {
            network.changes(n).find(is_detection).map_or(8_000, |c| (c.0 - killed_at) / MILLISECOND)
        };
        times.extend((0..routers).filter(|n| *n != dead).map(detection_time));
    }
    times
}

/// Number of times that a live router was declared dead within this many seconds under a fault.
fn false_removals(routers: usize, seconds: u64, safeguards: Safeguards, fault: &'static Fault) -> usize {
    let mut network = SimulatedNetwork::fleet_with(1, routers, fault.link(), safeguards);
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

/// Simulates all-to-all heartbeats: each router sends heartbeats to all others and considers one dead after
/// `HEARTBEAT_TIMEOUT` of silence towards itself.
///
/// Returns the number of times that a live router was considered dead and, without a fault, the times in ms
/// until each router detects the death of one that is killed halfway through the run.
fn all_to_all(routers: usize, seconds: u64, fault: Option<&Fault>) -> (usize, Vec<u64>) {
    const STEP: u64 = 50 * MILLISECOND;
    let (mut rng, end) = (Rand64::new(1), seconds * SECOND);
    let phase: Vec<u64> = (0..routers).map(|n| n as u64 * 7 % (HEARTBEAT_INTERVAL / STEP)).collect();
    let mut last_receipt = vec![0; routers * routers];
    let mut considered_dead = vec![false; routers * routers];
    let mut paused_until = vec![0; routers];
    let (mut false_removals, mut detection_times) = (0, Vec::new());
    let (dead, killed_at) = (routers / 2, if fault.is_none() { end / 2 } else { u64::MAX });
    for step in 0..end / STEP {
        let now = step * STEP;
        if fault.is_some_and(|f| f.pauses) && step % (SECOND / STEP) == 0 {
            for _ in 0..routers / 20 {
                let n = rng.rand_range(0..routers as u64) as usize;
                paused_until[n] =
                    now.max(paused_until[n]) + 200 * MILLISECOND + rng.rand_range(0..1_800) * MILLISECOND;
            }
        }
        let is_due = |n: &usize| {
            step % (HEARTBEAT_INTERVAL / STEP) == phase[*n]
                && now >= paused_until[*n]
                && (*n != dead || now < killed_at)
        };
        for n in (0..routers).filter(is_due) {
            for other in (0..routers).filter(|other| *other != n) {
                let latency = match fault {
                    Some(fault) => fault.latency(n, other, &mut rng),
                    None => (rng.rand_float() >= 0.02).then_some(500),
                };
                if let Some(latency) = latency {
                    last_receipt[other * routers + n] = now + latency;
                }
            }
            for peer in (0..routers).filter(|peer| *peer != n) {
                let is_silent = now.saturating_sub(last_receipt[n * routers + peer]) > HEARTBEAT_TIMEOUT;
                if is_silent && !std::mem::replace(&mut considered_dead[n * routers + peer], is_silent) {
                    if peer == dead && now >= killed_at {
                        detection_times.push((now - killed_at) / MILLISECOND);
                    } else {
                        false_removals += 1;
                    }
                }
                considered_dead[n * routers + peer] = is_silent;
            }
        }
    }
    (false_removals, detection_times)
}

/// Bytes, messages and CPU time in ms per second and router, without faults.
fn costs(routers: usize, seconds: u64) -> (u64, u64, f64) {
    let mut network = SimulatedNetwork::fleet(1, routers, lossy_link(0.02));
    // Excludes updates that are still disseminated after the start.
    network.run_for(10 * SECOND);
    let sum = |p: &SimulatedNetwork, value: fn(&Process) -> u64| {
        p.processes.iter().flatten().map(value).sum::<u64>()
    };
    let (bytes, messages) = (sum(&network, |p| p.bytes), sum(&network, |p| p.messages));
    let started_at = Instant::now();
    network.run_for(seconds * SECOND);
    let router_seconds = routers as u64 * seconds;
    let cpu = started_at.elapsed().as_secs_f64() * 1e3 / router_seconds as f64;
    (
        (sum(&network, |p| p.bytes) - bytes) / router_seconds,
        (sum(&network, |p| p.messages) - messages) / router_seconds,
        cpu,
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let mut fleets: Vec<usize> = arguments.iter().filter_map(|a| a.parse().ok()).collect();
    if fleets.is_empty() {
        fleets = vec![20];
    }
    let mut rows = Vec::new();
    for routers in fleets {
        // Simulates about the same number of router seconds for each fleet size.
        let seconds = (60_000 / routers as u64).clamp(20, 600);
        let seeds = (100 / routers as u64).clamp(1, 5);
        let (bytes, messages, cpu) = costs(routers, seconds.min(20));
        println!("| {routers} | bytes/s, messages/s, CPU ms/s | {bytes}, {messages}, {cpu:.2} |");
        let mut times = [
            detection_times(routers, seeds, Safeguards::ALL),
            detection_times(routers, seeds, SINGLE_VOTE),
            all_to_all(routers, 20, None).1,
        ];
        let times = [0, 1, 2].map(|method| median_and_99th_percentile(&mut times[method]));
        println!("| {routers} | detection time, ms (median, 99 %) | {times:?} |");
        // In larger fleets each fault takes about 15 minutes.
        for fault in FAULTS.iter().filter(|_| routers <= 1_000) {
            let by_membership = false_removals(routers, seconds, Safeguards::ALL, fault);
            let removals = [
                by_membership,
                false_removals(routers, seconds, SINGLE_VOTE, fault),
                all_to_all(routers, seconds, Some(fault)).0,
            ];
            println!("| {routers} | {} for {seconds} s: false removals | {removals:?} |", fault.name);
            rows.push((format!("{routers}: {}", fault.name), removals.map(|n| n as f64)));
        }
    }
    if let Some(file) = arguments.iter().find(|w| w.ends_with(".svg")) {
        chart(&rows, file).expect("a chart");
    }
}

/// Draws the false removals by fault and method. The axis is logarithmic, so zero has no bar.
fn chart(rows: &[(String, [f64; 3])], file: &str) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, (960, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let max = rows.iter().flat_map(|(_, removals)| *removals).fold(10.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption("Live routers declared dead, simulated network (0 has no bar)", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..rows.len() as f64, (0.5..max * 2.0).log_scale())?;
    let label = |x: &f64| rows.get(*x as usize).map_or(String::new(), |(name, _)| name.clone());
    chart.configure_mesh().disable_x_mesh().x_labels(rows.len()).x_label_formatter(&label).draw()?;
    for (method, (name, colour)) in METHODS.into_iter().zip(COLOURS).enumerate() {
        let bar = |(n, (_, removals)): (usize, &(String, [f64; 3]))| {
            let x = n as f64 + 0.1 + 0.25 * method as f64;
            Rectangle::new([(x, 0.5), (x + 0.25, removals[method].max(0.5))], colour.filled())
        };
        chart
            .draw_series(rows.iter().enumerate().map(bar))?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    Ok(area.present()?)
}
