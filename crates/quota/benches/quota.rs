//! Compares leases with a static even split on the simulated network: utilization of the total over time, the
//! time until shares are granted again after a failure, and the costs in messages and CPU time. Also measures
//! the cost of one `spend`. An argument that ends in `.svg` is the output file for the chart:
//! `cargo bench -p applepond-quota --bench quota -- docs/x.svg`.
#[path = "../tests/common/mod.rs"]
mod common;
use applepond_quota::{Lessee, UNIT};
use common::*;
use plotters::prelude::*;
use std::hint::black_box;
use std::time::Instant;

/// The simulated time, in seconds.
const DURATION_S: u64 = 40;
/// When the hot traffic moves to another router, in seconds.
const DEMAND_MOVES_AT_S: u64 = 15;
/// When the allocator is killed, in seconds.
const ALLOCATOR_KILLED_AT_S: u64 = 25;

/// A demand in which one router has ten times the mean and the others are equal. The sum is 1.5 times the
/// total.
fn skewed(routers: usize, hot: usize) -> Vec<f64> {
    let mean = 1_500.0 / routers as f64;
    let rest = (1_500.0 - 10.0 * mean) / (routers - 1) as f64;
    (0..routers).map(|n| if n == hot { 10.0 * mean } else { rest }).collect()
}

/// The fraction of the total used in each second with leases.
fn leases(routers: usize) -> Vec<f64> {
    let mut world = World::new(1, routers);
    let mut used = Vec::new();
    for second in 0..DURATION_S {
        world.demand = skewed(routers, if second < DEMAND_MOVES_AT_S { routers - 1 } else { routers - 2 });
        if second == ALLOCATOR_KILLED_AT_S {
            world.allocators().into_iter().for_each(|n| world.kill(n));
        }
        let before = world.spent;
        world.advance(S);
        used.push((world.spent - before) as f64 * UNIT as f64 / TOTAL as f64);
    }
    used
}

/// The fraction of the total used in each second with a static even split, for the same demand.
fn even(routers: usize) -> Vec<f64> {
    let share = TOTAL as f64 / UNIT as f64 / routers as f64;
    let second = |at: u64| {
        let demand = skewed(routers, if at < DEMAND_MOVES_AT_S { routers - 1 } else { routers - 2 });
        demand.iter().map(|w| w.min(share)).sum::<f64>() / (TOTAL / UNIT) as f64
    };
    (0..DURATION_S).map(second).collect()
}

fn main() {
    println!(
        "| routers | used: second 14, 5 s after the move; even split | recovery, ms | messages/s, CPU ms/s |"
    );
    println!("| --- | --- | --- | --- |");
    let mut runs = Vec::new();
    for routers in [20, 300] {
        let (used, even_split) = (leases(routers), even(routers));
        let mut world = World::new(1, routers);
        world.time_until_shared(95, 20 * S);
        world.advance(5 * S);
        let (messages, started) = (world.messages, Instant::now());
        world.advance(10 * S);
        let cpu = started.elapsed().as_secs_f64() * 1e3 / 10.0 / routers as f64;
        let messages = (world.messages - messages) as f64 / 10.0 / routers as f64;
        world.allocators().into_iter().for_each(|n| world.kill(n));
        world.advance(4 * S);
        let recovery_ms = world.time_until_shared(90, 60 * S).map(|time| (4 * S + time) / MS);
        println!(
            "| {routers} | {:.3}, {:.3}; {:.3} | {recovery_ms:?} | {messages:.1}, {cpu:.3} |",
            used[13],
            used[DEMAND_MOVES_AT_S as usize + 5],
            even_split[5]
        );
        let each: Vec<String> = used.iter().map(|u| format!("{u:.2}")).collect();
        println!("| {routers} | used each second: {} | | |", each.join(" "));
        runs.push((routers, used, even_split));
    }
    let mut lessee = Lessee::new(0, &[budget(20)]);
    let started = Instant::now();
    let many = 10_000_000u64;
    let spent = (0..many).filter(|n| lessee.spend(black_box(n * 100), 0, UNIT)).count();
    println!("a spend: {:.1} ns ({spent} of {many})", started.elapsed().as_nanos() as f64 / many as f64);
    if let Some(file) = std::env::args().find(|w| w.ends_with(".svg")) {
        chart(&runs, &file).expect("a chart");
    }
}

fn chart(runs: &[(usize, Vec<f64>, Vec<f64>)], file: &str) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, (960, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let title = "Fraction of the total used, one router with ten times the mean (simulated network)";
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..DURATION_S as f64, 0.0..1.1)?;
    chart.configure_mesh().light_line_style(WHITE).x_desc("s").draw()?;
    for at in [DEMAND_MOVES_AT_S, ALLOCATOR_KILLED_AT_S] {
        let line = [(at as f64, 0.0), (at as f64, 1.1)];
        chart.draw_series(LineSeries::new(line, BLACK.mix(0.4)))?;
    }
    let colours =
        [RGBColor(20, 90, 160), RGBColor(220, 120, 30), RGBColor(20, 140, 90), RGBColor(140, 140, 140)];
    let lines = runs.iter().flat_map(|(routers, used, even_split)| {
        [(format!("{routers}, leases"), used), (format!("{routers}, even"), even_split)]
    });
    for ((name, line), colour) in lines.zip(colours) {
        let points = line.iter().enumerate().map(|(at, used)| (at as f64 + 0.5, *used));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    Ok(area.present()?)
}
