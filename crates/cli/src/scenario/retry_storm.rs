//! The `drill retry-storm` scenario: retries of clients during and after the outage of a zone.
use super::report::{broken_as_json, outcomes_as_json, outcomes_as_text, print_rules};
use super::{NotRun, Outcome, print_progress, run_in_directory, setup};
use applepond_scenarios::chart;
use applepond_scenarios::retry_storm::{self, Cut, Options, Report};
use clap::Args;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

#[derive(Args)]
pub(crate) struct RetryStormArgs {
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Total number of clients; each uses the router of its zone only.
    #[arg(long, default_value_t = 5000, value_parser = clap::value_parser!(u64).range(10..=100_000))]
    clients: u64,
    /// How the zone fails: its processes hang, or are killed so that connections are refused.
    #[arg(long, value_parser = ["hang", "refuse"], default_value = "refuse")]
    cut: String,
    /// Duration of the outage in s.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=80))]
    seconds: u64,
    /// Fraction of the clients that ignore Retry-After and retry ten times a second.
    #[arg(long, default_value_t = 0.5)]
    ignore: f64,
    /// Whether the routers damp retries; `both` runs the scenario with damping and then without it.
    #[arg(long, value_parser = ["on", "off", "both"], default_value = "on")]
    damping: String,
    /// Observation time after the outage in s.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(10..=600))]
    after: u64,
    /// Restarts a router of another zone in the middle of the retry storm.
    #[arg(long)]
    restart: bool,
    /// Prints one row per second.
    #[arg(long)]
    rows: bool,
    /// Prints the result of each run as one JSON object.
    #[arg(long)]
    json: bool,
    /// SVG file to which to draw service and arrivals over time.
    #[arg(long)]
    chart: Option<PathBuf>,
}

pub(super) fn run(args: &RetryStormArgs) -> Result<Outcome, NotRun> {
    if !(0.0..=1.0).contains(&args.ignore) {
        eprintln!("--ignore {}: a fraction from 0 to 1 is expected", args.ignore);
        return Err(NotRun);
    }
    let setup = setup(args.seed, 3, 12, None).map_err(|_| NotRun)?;
    let runs: &[(&str, bool)] = match args.damping.as_str() {
        "on" => &[("damping on", true)],
        "off" => &[("damping off", false)],
        _ => &[("damping on", true), ("damping off", false)],
    };
    let mut reports = Vec::new();
    for (name, damping) in runs {
        let options = Options {
            setup: &setup,
            cut: if args.cut == "hang" { Cut::Hang } else { Cut::Refuse },
            cut_seconds: args.seconds,
            clients: args.clients,
            ignoring_share: args.ignore,
            damping: *damping,
            observed_seconds: args.after,
            restarts_router: args.restart,
        };
        let mut progress = |line: &str| print_progress(args.json, &format!("{name}: {line}"));
        let report = run_in_directory(None, |folder| retry_storm::run(&options, folder, &mut progress))?;
        if args.json {
            println!("{}", as_json(name, args.seed, &report));
        } else {
            println!("retry storm, seed {}, {name}", args.seed);
            print_table(&report, args.rows);
        }
        reports.push((*name, report));
    }
    if let Some(file) = &args.chart {
        write_chart(file, &reports)?;
    }
    Ok(Outcome::from_breach(reports.iter().any(|(_, report)| !report.verdict.broken.is_empty())))
}

fn write_chart(file: &Path, reports: &[(&str, Report)]) -> Result<(), NotRun> {
    let runs: Vec<(&str, &Report)> = reports.iter().map(|(name, report)| (*name, report)).collect();
    let written = chart::draw(&runs).and_then(|svg| Ok(std::fs::write(file, svg)?));
    written.map_err(|error| {
        eprintln!("{}: {error}", file.display());
        NotRun
    })
}

fn as_json(name: &str, seed: u64, report: &Report) -> Value {
    json!({"seed": seed, "play": name, "before": report.baseline, "recovery_s": report.recovery_seconds,
        "peak": report.peak_exchanges, "pushed_back": report.rejected, "fetches": report.fetches,
        "functions": report.functions,
        "executions_each": {"before": report.attempts.0, "after": report.attempts.1},
        "got": outcomes_as_json(&report.outcomes), "broken": broken_as_json(&report.verdict),
        "cut": [report.cut.0, report.cut.1], "seconds": report.seconds})
}

fn print_table(report: &Report, rows: bool) {
    if rows {
        print_seconds(report);
    }
    let recovery =
        report.recovery_seconds.map_or("not observed".to_owned(), |seconds| format!("{seconds} s"));
    println!("  service before the outage {:.1} %; recovery after {recovery}", 100.0 * report.baseline);
    println!(
        "  peak {} exchanges/s; {} rejections; {} fetches after the outage for {} functions in use",
        report.peak_exchanges, report.rejected, report.fetches, report.functions
    );
    println!(
        "  attempts per request answered in time: {:.2} before the outage, {:.2} in the 10 s after it",
        report.attempts.0, report.attempts.1
    );
    println!("  outcomes seen by clients: {}", outcomes_as_text(&report.outcomes));
    print_rules(&report.verdict);
}

fn print_seconds(report: &Report) {
    for (second, (requests, in_time, exchanges)) in report.seconds.iter().enumerate() {
        let event = match second {
            _ if second == report.cut.0 => "cut",
            _ if second == report.cut.1 => "back",
            _ => "",
        };
        println!(
            "  {second:>4} s {requests:>5} requests {in_time:>5} in time {exchanges:>6} exchanges  {event}"
        );
    }
}
