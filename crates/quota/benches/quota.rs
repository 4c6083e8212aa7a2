//! Leases beside the even division on the simulated network: how much of the total is used over time, how
//! long a new division takes, what it costs; and what one spend costs. A word that ends in `.svg` is a file
//! for the chart. `cargo bench -p applepond-quota --bench quota -- docs/x.svg`.
#[path = "../tests/common/mod.rs"]
mod common;
use applepond_quota::{Lessee, UNIT};
use common::*;
use plotters::prelude::*;
use std::hint::black_box;
use std::time::Instant;

/// s of the play; traffic moves to another router at the second, and the allocator dies at the third.
const PLAY: u64 = 40;
const MOVES: u64 = 15;
const DIES: u64 = 25;

/// One with ten times the mean, the rest alike, together half above the total.
fn skewed(routers: usize, hot: usize) -> Vec<f64> {
    let mean = 1_500.0 / routers as f64;
    let rest = (1_500.0 - 10.0 * mean) / (routers - 1) as f64;
    (0..routers).map(|n| if n == hot { 10.0 * mean } else { rest }).collect()
}

/// Parts of the total used in each second.
fn leases(routers: usize) -> Vec<f64> {
    let mut world = World::new(1, routers);
    let mut used = Vec::new();
    for second in 0..PLAY {
        world.wants = skewed(routers, if second < MOVES { routers - 1 } else { routers - 2 });
        if second == DIES {
            world.allocators().into_iter().for_each(|n| world.kill(n));
        }
        let before = world.spent;
        world.pass(S);
        used.push((world.spent - before) as f64 * UNIT as f64 / TOTAL as f64);
    }
    used
}

/// The same demand, each with the total divided by their number.
fn even(routers: usize) -> Vec<f64> {
    let share = TOTAL as f64 / UNIT as f64 / routers as f64;
    let second = |at: u64| {
        let wants = skewed(routers, if at < MOVES { routers - 1 } else { routers - 2 });
        wants.iter().map(|w| w.min(share)).sum::<f64>() / (TOTAL / UNIT) as f64
    };
    (0..PLAY).map(second).collect()
}

fn main() {
    println!("| routers | used: second 14, 5 s after the move; even | anew, ms | messages/s, CPU ms/s |");
    println!("| --- | --- | --- | --- |");
    let mut plays = Vec::new();
    for routers in [20, 300] {
        let (used, plain) = (leases(routers), even(routers));
        let mut world = World::new(1, routers);
        world.until(95, 20 * S);
        world.pass(5 * S);
        let (messages, begun) = (world.messages, Instant::now());
        world.pass(10 * S);
        let cpu = begun.elapsed().as_secs_f64() * 1e3 / 10.0 / routers as f64;
        let messages = (world.messages - messages) as f64 / 10.0 / routers as f64;
        world.allocators().into_iter().for_each(|n| world.kill(n));
        world.pass(4 * S);
        let anew = world.until(90, 60 * S).map(|time| (4 * S + time) / MS);
        println!(
            "| {routers} | {:.3}, {:.3}; {:.3} | {anew:?} | {messages:.1}, {cpu:.3} |",
            used[13],
            used[MOVES as usize + 5],
            plain[5]
        );
        let each: Vec<String> = used.iter().map(|u| format!("{u:.2}")).collect();
        println!("| {routers} | used each second: {} | | |", each.join(" "));
        plays.push((routers, used, plain));
    }
    let mut lessee = Lessee::new(0, &[budget(20)]);
    let begun = Instant::now();
    let many = 10_000_000u64;
    let spent = (0..many).filter(|n| lessee.spend(black_box(n * 100), 0, UNIT)).count();
    println!("a spend: {:.1} ns ({spent} of {many})", begun.elapsed().as_nanos() as f64 / many as f64);
    if let Some(file) = std::env::args().find(|w| w.ends_with(".svg")) {
        chart(&plays, &file).expect("a chart");
    }
}

fn chart(plays: &[(usize, Vec<f64>, Vec<f64>)], file: &str) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, (960, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let title = "Part of the whole used, one router with ten times the mean (paper network)";
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..PLAY as f64, 0.0..1.1)?;
    chart.configure_mesh().light_line_style(WHITE).x_desc("s").draw()?;
    for at in [MOVES, DIES] {
        let line = [(at as f64, 0.0), (at as f64, 1.1)];
        chart.draw_series(LineSeries::new(line, BLACK.mix(0.4)))?;
    }
    let colours =
        [RGBColor(20, 90, 160), RGBColor(220, 120, 30), RGBColor(20, 140, 90), RGBColor(140, 140, 140)];
    let lines = plays.iter().flat_map(|(routers, used, plain)| {
        [(format!("{routers}, leases"), used), (format!("{routers}, even"), plain)]
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
