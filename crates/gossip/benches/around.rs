//! Time until all routers know an entry, and the cost of it, on a simulated network, compared with a simple
//! broadcast in which the origin sends each entry to all routers once. Prints a table; given a file name, it
//! also draws a chart there.
#[path = "../tests/common/mod.rs"]
mod common;
use common::{MILLISECOND, SECOND, SimulatedNetwork, lossy_link};
use oorandom::Rand64;
use plotters::prelude::*;

const SIZES: [usize; 3] = [20, 300, 1_000];
const SEEDS: u64 = 3;
/// Interval in µs in which each router publishes one entry, and the size of its value in bytes: as for a pane
/// of the prefix cache's counts.
const PUBLISH_INTERVAL: u64 = 5 * SECOND;
const VALUE_BYTES: usize = 200;

struct Outcome {
    /// Median and maximum time in ms until all routers know an entry.
    convergence_ms: (u64, u64),
    /// Entries that some router never received.
    lost: usize,
    entries: usize,
    /// Bytes per second sent by each router.
    rate: u64,
}

/// Measures anti-entropy: publishes one entry at a time and waits until all routers know it.
fn anti_entropy(routers: usize, loss: f64) -> Outcome {
    let (mut convergence_times, mut rate) = (Vec::new(), 0);
    let mut lost = 0;
    for seed in 0..SEEDS {
        let mut network = SimulatedNetwork::fleet(seed, routers, lossy_link(loss));
        network.run_for(5 * SECOND);
        for n in 0..5 {
            let started_at = network.now;
            network.publish(n, 1, &[n as u8; VALUE_BYTES]);
            if network.run_until(started_at + 20 * SECOND, |p| p.has_converged()) {
                convergence_times.push((network.now - started_at) / MILLISECOND);
            } else {
                lost += 1;
            }
        }
        // Measures the cost when all routers publish.
        let (before, started_at) =
            (network.processes.iter().flatten().map(|p| p.bytes).sum::<u64>(), network.now);
        let mut at: Vec<(u64, usize)> =
            (0..routers).map(|n| (started_at + network.rng.rand_range(0..PUBLISH_INTERVAL), n)).collect();
        at.sort_unstable();
        for (at, n) in at {
            network.run_until(at, |_| false);
            network.publish(n, 1, &[n as u8; VALUE_BYTES]);
        }
        network.run_until(started_at + 2 * PUBLISH_INTERVAL, |_| false);
        let after = network.processes.iter().flatten().map(|p| p.bytes).sum::<u64>();
        rate += (after - before) / routers as u64 / (PUBLISH_INTERVAL / SECOND) / SEEDS;
    }
    convergence_times.sort_unstable();
    let entries = convergence_times.len() + lost;
    let at = |k: usize| convergence_times.get(k).copied().unwrap_or(0);
    Outcome {
        convergence_ms: (at(convergence_times.len() / 2), at(convergence_times.len().max(1) - 1)),
        lost,
        entries,
        rate,
    }
}

/// Models a broadcast: each entry is sent to all routers once, and lost messages are not sent again.
fn broadcast(routers: usize, loss: f64) -> Outcome {
    let mut rng = Rand64::new(1);
    let entries = 5 * SEEDS as usize;
    let lost = (0..entries).filter(|_| (1..routers).any(|_| rng.rand_float() < loss)).count();
    // Fields of an entry take about 30 bytes, the envelope 48.
    let rate = (routers as u64 - 1) * (VALUE_BYTES as u64 + 30 + 48) / (PUBLISH_INTERVAL / SECOND);
    Outcome { convergence_ms: (1, 1), lost, entries, rate }
}

fn main() {
    println!(
        "| routers | messages lost | protocol | convergence, median and maximum | entries lost | kB/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut lines: Vec<(&str, Vec<(usize, f64)>)> =
        vec![("anti-entropy", Vec::new()), ("broadcast", Vec::new())];
    for routers in SIZES {
        for loss in [0.0, 0.01, 0.1] {
            for (n, (protocol, outcome)) in
                [("anti-entropy", anti_entropy(routers, loss)), ("broadcast", broadcast(routers, loss))]
                    .into_iter()
                    .enumerate()
            {
                println!(
                    "| {routers} | {loss} | {protocol} | {} ms, {} ms | {} of {} | {:.1} |",
                    outcome.convergence_ms.0,
                    outcome.convergence_ms.1,
                    outcome.lost,
                    outcome.entries,
                    outcome.rate as f64 / 1e3
                );
                if loss == 0.01 {
                    lines[n].1.push((routers, outcome.lost as f64 / outcome.entries as f64));
                }
            }
        }
    }
    // Options that Cargo passes to a benchmark are not file names.
    let Some(file) = std::env::args().skip(1).find(|a| !a.starts_with('-')) else { return };
    let area = SVGBackend::new(&file, (720, 360)).into_drawing_area();
    area.fill(&WHITE).expect("drawn");
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Entries that some router never receives at 1 % message loss (simulated)",
            ("sans-serif", 16),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..1_000.0, 0.0..1.05)
        .expect("drawn");
    chart.configure_mesh().x_desc("routers").y_desc("fraction of entries").draw().expect("drawn");
    for ((name, points), color) in lines.iter().zip([BLUE, RED]) {
        let points = points.iter().map(|(x, y)| (*x as f64, *y));
        let line = LineSeries::new(points, color.stroke_width(2));
        chart
            .draw_series(line)
            .expect("drawn")
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().border_style(BLACK).draw().expect("drawn");
    area.present().expect("drawn");
}
