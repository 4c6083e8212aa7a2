//! `drill bad-day`.
use super::report::{broken_as_json, ends_as_json, ends_in_words, print_rules};
use super::{NotPlayed, Outcome, is_known_bug, play, print_progress, setup};
use applepond_scenarios::bad_day::{self, Report};
use applepond_scenarios::process::Setup;
use applepond_scenarios::seeded_bugs::SEEDED_BUGS;
use clap::Args;
use serde_json::json;
use std::path::PathBuf;

/// µs of a window of the table.
const WINDOW: u64 = 2_000_000;

#[derive(Args)]
pub(crate) struct BadDayArgs {
    #[arg(long, default_value_t = 7)]
    seed: u64,
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=40))]
    routers: u64,
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(4..=100))]
    workers: u64,
    /// Routers that are killed and started again.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(0..=20))]
    die: u64,
    /// The routers know of each other and count those that are there.
    #[arg(long)]
    fleet: bool,
    /// Breaks a rule on purpose: lost-answer, double-answer, effect-twice, send-to-drained,
    /// push-cold-over.
    #[arg(long)]
    plant: Option<String>,
    /// Prints the result as one JSON object.
    #[arg(long)]
    json: bool,
    /// Keeps settings and logs of the routers in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
}

pub(super) fn run(args: BadDayArgs) -> Result<Outcome, NotPlayed> {
    let BadDayArgs { seed, routers, workers, die, fleet, plant, json, keep } = args;
    if let Some(name) = plant.as_deref().filter(|name| !is_known_bug(name)) {
        let known: Vec<&str> = SEEDED_BUGS.iter().map(|(known, _, _)| *known).collect();
        eprintln!("--plant {name}: one of {} is wanted", known.join(", "));
        return Err(NotPlayed);
    }
    let setup = setup(seed, routers, workers, plant).map_err(|error| {
        eprintln!("this program's own file: {error}");
        NotPlayed
    })?;
    let setup = Setup { dying_routers: die as usize, fleet, ..setup };
    let mut progress = |line: &str| print_progress(json, line);
    let report = play(keep.as_deref(), |folder| bad_day::run(&setup, folder, &mut progress))?;
    if json {
        print_json(&report, seed);
    } else {
        print_table(&report, seed);
    }
    Ok(Outcome::of(!report.passed()))
}

fn print_table(report: &Report, seed: u64) {
    println!("\nbad day, seed {seed}");
    println!("  {:>7}  {:>5}  {:>7}  what happened", "from s", "jobs", "in time");
    for (index, (requests, in_time)) in report.windows.iter().enumerate() {
        if *requests == 0 {
            continue;
        }
        let from = index as u64 * WINDOW;
        let within = report.timeline.iter().filter(|(at, _)| (from..from + WINDOW).contains(at));
        let story: Vec<&str> = within.map(|(_, what)| what.as_str()).collect();
        let part = 100.0 * *in_time as f64 / *requests as f64;
        println!("  {:>7}  {requests:>5}  {part:>6.1}%  {}", index * 2, story.join("; "));
    }
    println!("  ends of jobs as clients saw them: {}", ends_in_words(&report.outcomes));
    let verdict = &report.verdict;
    println!(
        "  {} exchanges, {} attempts begun, {} repeats dropped by racks, {} fetches; median {} ms, \
         p99 {} ms",
        verdict.exchanges,
        verdict.attempts,
        verdict.dropped_repeats,
        verdict.fetches,
        report.latency.0 / 1000,
        report.latency.1 / 1000
    );
    print_rules(verdict);
}

fn print_json(report: &Report, seed: u64) {
    let verdict = &report.verdict;
    let all = json!({"seed": seed, "holds": report.passed(), "got": ends_as_json(&report.outcomes),
        "broken": broken_as_json(verdict), "exchanges": verdict.exchanges, "executions": verdict.attempts,
        "fetches": verdict.fetches, "median_us": report.latency.0, "p99_us": report.latency.1,
        "windows": report.windows});
    println!("{all}");
}
