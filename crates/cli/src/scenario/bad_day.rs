//! The `drill bad-day` scenario: a sequence of faults.
use super::report::{broken_as_json, outcomes_as_json, outcomes_as_text, print_rules};
use super::{NotRun, Outcome, is_known_bug, print_progress, run_in_directory, setup};
use applepond_scenarios::bad_day::{self, Report};
use applepond_scenarios::process::Setup;
use applepond_scenarios::seeded_bugs::SEEDED_BUGS;
use clap::Args;
use serde_json::json;
use std::path::PathBuf;

/// Length in µs of a window in the printed table.
const WINDOW: u64 = 2_000_000;

#[derive(Args)]
pub(crate) struct BadDayArgs {
    #[arg(long, default_value_t = 7)]
    seed: u64,
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=40))]
    routers: u64,
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(4..=100))]
    workers: u64,
    /// Number of routers that are killed and restarted.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(0..=20))]
    die: u64,
    /// Runs the routers as a fleet, which counts its live members.
    #[arg(long)]
    fleet: bool,
    /// Seeded bug to enable: lost-answer, double-answer, effect-twice, send-to-drained or push-cold-over.
    #[arg(long)]
    plant: Option<String>,
    /// Prints the result as one JSON object.
    #[arg(long)]
    json: bool,
    /// Directory in which to keep the settings and logs of the routers.
    #[arg(long)]
    keep: Option<PathBuf>,
}

pub(super) fn run(args: BadDayArgs) -> Result<Outcome, NotRun> {
    let BadDayArgs { seed, routers, workers, die, fleet, plant, json, keep } = args;
    if let Some(name) = plant.as_deref().filter(|name| !is_known_bug(name)) {
        let known: Vec<&str> = SEEDED_BUGS.iter().map(|(known, _, _)| *known).collect();
        eprintln!("--plant {name}: one of {} is expected", known.join(", "));
        return Err(NotRun);
    }
    let setup = setup(seed, routers, workers, plant).map_err(|error| {
        eprintln!("cannot locate the executable of this program: {error}");
        NotRun
    })?;
    let setup = Setup { dying_routers: die as usize, fleet, ..setup };
    let mut progress = |line: &str| print_progress(json, line);
    let report = run_in_directory(keep.as_deref(), |folder| bad_day::run(&setup, folder, &mut progress))?;
    if json {
        print_json(&report, seed);
    } else {
        print_table(&report, seed);
    }
    Ok(Outcome::from_breach(!report.passed()))
}

fn print_table(report: &Report, seed: u64) {
    println!("\nbad day, seed {seed}");
    println!("  {:>7}  {:>5}  {:>7}  events", "from s", "jobs", "in time");
    for (index, (requests, in_time)) in report.windows.iter().enumerate() {
        if *requests == 0 {
            continue;
        }
        let from = index as u64 * WINDOW;
        let in_window = report.timeline.iter().filter(|(at, _)| (from..from + WINDOW).contains(at));
        let events: Vec<&str> = in_window.map(|(_, event)| event.as_str()).collect();
        let percent = 100.0 * *in_time as f64 / *requests as f64;
        println!("  {:>7}  {requests:>5}  {percent:>6.1}%  {}", index * 2, events.join("; "));
    }
    println!("  outcomes seen by clients: {}", outcomes_as_text(&report.outcomes));
    let verdict = &report.verdict;
    println!(
        "  {} exchanges, {} attempts started, {} duplicates dropped by racks, {} fetches; median {} ms, \
         p99 {} ms",
        verdict.exchanges,
        verdict.attempts,
        verdict.dropped_duplicates,
        verdict.fetches,
        report.latency.0 / 1000,
        report.latency.1 / 1000
    );
    print_rules(verdict);
}

fn print_json(report: &Report, seed: u64) {
    let verdict = &report.verdict;
    let result = json!({"seed": seed, "holds": report.passed(), "got": outcomes_as_json(&report.outcomes),
        "broken": broken_as_json(verdict), "exchanges": verdict.exchanges, "executions": verdict.attempts,
        "fetches": verdict.fetches, "median_us": report.latency.0, "p99_us": report.latency.1,
        "windows": report.windows});
    println!("{result}");
}
