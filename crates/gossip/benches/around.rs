//! How long until all routers know what one has published, and what it costs, on a simulated network;
//! beside the plain way, in which an origin sends each entry to everybody once. Prints a table; with a
//! file's name it draws a chart.
#[path = "../tests/common/mod.rs"]
mod common;
use common::{MILLISECOND, SECOND, SimulatedNetwork, lossy};
use oorandom::Rand64;
use plotters::prelude::*;

const SIZES: [usize; 3] = [20, 300, 1_000];
const SEEDS: u64 = 3;
/// A word a router each so many µs, of so many bytes: a pane of a sketch, as the openings tell it.
const ALL: u64 = 5 * SECOND;
const BYTES: usize = 200;

struct Outcome {
    /// Until all hold it, at the median and the latest of the words, and words that somebody never got.
    ms: (u64, u64),
    lost: usize,
    words: usize,
    /// Bytes a second an instance.
    rate: u64,
}

/// One word at a time, looked at until all hold it.
fn compared(routers: usize, lost: f64) -> Outcome {
    let (mut took, mut rate) = (Vec::new(), 0);
    let mut never = 0;
    for seed in 0..SEEDS {
        let mut network = SimulatedNetwork::fleet(seed, routers, lossy(lost));
        network.run_for(5 * SECOND);
        for n in 0..5 {
            let begun = network.now;
            network.publish(n, 1, &[n as u8; BYTES]);
            if network.run_until(begun + 20 * SECOND, |p| p.has_converged()) {
                took.push((network.now - begun) / MILLISECOND);
            } else {
                never += 1;
            }
        }
        // All of them speak: what that costs.
        let (before, begun) = (network.processes.iter().flatten().map(|p| p.bytes).sum::<u64>(), network.now);
        let mut at: Vec<(u64, usize)> =
            (0..routers).map(|n| (begun + network.rng.rand_range(0..ALL), n)).collect();
        at.sort_unstable();
        for (at, n) in at {
            network.run_until(at, |_| false);
            network.publish(n, 1, &[n as u8; BYTES]);
        }
        network.run_until(begun + 2 * ALL, |_| false);
        let after = network.processes.iter().flatten().map(|p| p.bytes).sum::<u64>();
        rate += (after - before) / routers as u64 / (ALL / SECOND) / SEEDS;
    }
    took.sort_unstable();
    let words = took.len() + never;
    let at = |k: usize| took.get(k).copied().unwrap_or(0);
    Outcome { ms: (at(took.len() / 2), at(took.len().max(1) - 1)), lost: never, words, rate }
}

/// To everybody once: a message that is lost is never sent again.
fn once(routers: usize, lost: f64) -> Outcome {
    let mut rng = Rand64::new(1);
    let words = 5 * SEEDS as usize;
    let never = (0..words).filter(|_| (1..routers).any(|_| rng.rand_float() < lost)).count();
    let rate = (routers as u64 - 1) * (BYTES as u64 + 30 + 48) / (ALL / SECOND);
    Outcome { ms: (1, 1), lost: never, words, rate }
}

fn main() {
    println!("| routers | messages lost | way | all hold it, median and latest | never by somebody | kB/s |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut lines: Vec<(&str, Vec<(usize, f64)>)> = vec![("compared", Vec::new()), ("once", Vec::new())];
    for routers in SIZES {
        for lost in [0.0, 0.01, 0.1] {
            for (n, (way, row)) in
                [("compared by parts", compared(routers, lost)), ("to everybody once", once(routers, lost))]
                    .into_iter()
                    .enumerate()
            {
                println!(
                    "| {routers} | {lost} | {way} | {} ms, {} ms | {} of {} | {:.1} |",
                    row.ms.0,
                    row.ms.1,
                    row.lost,
                    row.words,
                    row.rate as f64 / 1e3
                );
                if lost == 0.01 {
                    lines[n].1.push((routers, row.lost as f64 / row.words as f64));
                }
            }
        }
    }
    // Cargo's own words to a bench are no file.
    let Some(file) = std::env::args().skip(1).find(|a| !a.starts_with('-')) else { return };
    let area = SVGBackend::new(&file, (720, 360)).into_drawing_area();
    area.fill(&WHITE).expect("drawn");
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Words that somebody never gets, one message in a hundred lost (on paper)",
            ("sans-serif", 16),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..1_000.0, 0.0..1.05)
        .expect("drawn");
    chart.configure_mesh().x_desc("routers").y_desc("share of words").draw().expect("drawn");
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
