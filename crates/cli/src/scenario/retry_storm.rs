//! `drill retry-storm`.
use super::report::{broken_as_json, ends_as_json, ends_in_words, print_rules};
use super::{NotPlayed, Outcome, play, print_progress, setup};
use applepond_scenarios::chart;
use applepond_scenarios::retry_storm::{self, Cut, Options, Report};
use clap::Args;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

#[derive(Args)]
pub(crate) struct RetryStormArgs {
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Clients in all; each keeps to the router of its hall.
    #[arg(long, default_value_t = 5000, value_parser = clap::value_parser!(u64).range(10..=100_000))]
    clients: u64,
    /// Whether connections to the cut hall hang or are refused.
    #[arg(long, value_parser = ["hang", "refuse"], default_value = "refuse")]
    cut: String,
    /// s of the cut.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=80))]
    seconds: u64,
    /// Share of the clients that follow no advice and ask ten times a second.
    #[arg(long, default_value_t = 0.5)]
    ignore: f64,
    /// `both` plays the same storm with damping and then without it.
    #[arg(long, value_parser = ["on", "off", "both"], default_value = "on")]
    damping: String,
    /// s watched after the cut.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(10..=600))]
    after: u64,
    /// Restarts one more router, in another hall, in the middle of the storm.
    #[arg(long)]
    restart: bool,
    /// Prints a row a second.
    #[arg(long)]
    rows: bool,
    /// Prints each play as one JSON object.
    #[arg(long)]
    json: bool,
    /// Draws service and arrivals over time into this SVG file.
    #[arg(long)]
    chart: Option<PathBuf>,
}

pub(super) fn run(args: &RetryStormArgs) -> Result<Outcome, NotPlayed> {
    if !(0.0..=1.0).contains(&args.ignore) {
        eprintln!("--ignore {}: a share from 0 to 1 is wanted", args.ignore);
        return Err(NotPlayed);
    }
    let setup = setup(args.seed, 3, 12, None).map_err(|_| NotPlayed)?;
    let plays: &[(&str, bool)] = match args.damping.as_str() {
        "on" => &[("damping on", true)],
        "off" => &[("damping off", false)],
        _ => &[("damping on", true), ("damping off", false)],
    };
    let mut reports = Vec::new();
    for (name, damping) in plays {
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
        let report = play(None, |folder| retry_storm::run(&options, folder, &mut progress))?;
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
    Ok(Outcome::of(reports.iter().any(|(_, report)| !report.verdict.broken.is_empty())))
}

fn write_chart(file: &Path, reports: &[(&str, Report)]) -> Result<(), NotPlayed> {
    let plays: Vec<(&str, &Report)> = reports.iter().map(|(name, report)| (*name, report)).collect();
    let written = chart::draw(&plays).and_then(|svg| Ok(std::fs::write(file, svg)?));
    written.map_err(|error| {
        eprintln!("{}: {error}", file.display());
        NotPlayed
    })
}

fn as_json(name: &str, seed: u64, report: &Report) -> Value {
    json!({"seed": seed, "play": name, "before": report.baseline, "recovery_s": report.recovery_seconds,
        "peak": report.peak_exchanges, "pushed_back": report.rejected, "fetches": report.fetches,
        "functions": report.functions,
        "executions_each": {"before": report.attempts.0, "after": report.attempts.1},
        "got": ends_as_json(&report.outcomes), "broken": broken_as_json(&report.verdict),
        "cut": [report.cut.0, report.cut.1], "seconds": report.seconds})
}

fn print_table(report: &Report, rows: bool) {
    if rows {
        print_seconds(report);
    }
    let recovery = report.recovery_seconds.map_or("not seen".to_owned(), |seconds| format!("{seconds} s"));
    println!("  service before the cut {:.1} %; recovery after {recovery}", 100.0 * report.baseline);
    println!(
        "  peak {} asked a second; {} pushed back; {} fetches after the cut for {} functions in use",
        report.peak_exchanges, report.rejected, report.fetches, report.functions
    );
    println!(
        "  attempts begun for each job answered in time: {:.2} before the cut, {:.2} in the 10 s after it",
        report.attempts.0, report.attempts.1
    );
    println!("  ends of jobs as clients saw them: {}", ends_in_words(&report.outcomes));
    print_rules(&report.verdict);
}

fn print_seconds(report: &Report) {
    for (second, (requests, in_time, asked)) in report.seconds.iter().enumerate() {
        let event = match second {
            _ if second == report.cut.0 => "cut",
            _ if second == report.cut.1 => "back",
            _ => "",
        };
        println!("  {second:>4} s {requests:>5} jobs {in_time:>5} in time {asked:>6} asked  {event}");
    }
}
