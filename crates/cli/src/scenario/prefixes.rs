//! The `drill openings` scenario: pinning of prompt prefixes.
use super::report::print_breaches;
use super::{NotRun, Outcome, print_progress, run_in_directory, setup};
use applepond_scenarios::prefixes::{self, FAULTS, Options, PINNING_MODES, Report, SEEDED_BUGS};
use applepond_scenarios::process::Setup;
use clap::Args;
use serde_json::json;
use std::path::PathBuf;

#[derive(Args)]
pub(crate) struct PrefixArgs {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=40))]
    routers: u64,
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(6..=40))]
    workers: u64,
    /// Fault to inject in the middle of the run.
    #[arg(long, value_parser = FAULTS, default_value = "none")]
    fault: String,
    /// Caching policy: `lru` pins nothing, `merged` pins by the merged counts of all routers, `both` runs one
    /// after the other.
    #[arg(long, value_parser = ["lru", "merged", "both"], default_value = "both")]
    way: String,
    /// Seeded bug: disables this guard in every router, to verify that the scenario detects it.
    #[arg(long, value_parser = SEEDED_BUGS.map(|(name, _)| name))]
    plant: Option<String>,
    /// Prints the result of each run as one JSON object.
    #[arg(long)]
    json: bool,
    /// Directory in which to keep the settings and logs of the routers.
    #[arg(long)]
    keep: Option<PathBuf>,
}

pub(super) fn run(args: PrefixArgs) -> Result<Outcome, NotRun> {
    let setup = setup(args.seed, args.routers, args.workers, args.plant.clone()).map_err(|_| NotRun)?;
    let setup = Setup { fleet: true, ..setup };
    let mut is_broken = false;
    for way in PINNING_MODES.iter().copied().filter(|way| args.way == "both" || args.way == *way) {
        let options = Options { setup: &setup, fault: &args.fault, pinning: way };
        let mut progress = |line: &str| print_progress(args.json, line);
        let report =
            run_in_directory(args.keep.as_deref(), |folder| prefixes::run(&options, folder, &mut progress))?;
        is_broken |= !report.broken.is_empty();
        let looks_like = SEEDED_BUGS.iter().filter(|(_, rule)| report.broken.contains_key(rule));
        let looks_like: Vec<&str> = looks_like.map(|(name, _)| *name).collect();
        if args.json {
            print_json(&args, way, &report, &looks_like);
        } else {
            print_table(&args, way, &report);
            print_breaches(&report.broken, &looks_like);
        }
    }
    Ok(Outcome::from_breach(is_broken))
}

fn print_json(args: &PrefixArgs, way: &str, report: &Report, looks_like: &[&str]) {
    println!(
        "{}",
        json!({"seed": args.seed, "routers": args.routers, "fault": args.fault, "way": way,
            "jobs": report.requests, "in-time": report.in_time, "preparing-s": report.preparing_seconds,
            "prepared": report.prepared, "pinned": report.pinned, "most-at-one": report.most_at_one_worker,
            "broken": report.broken, "looks-like": looks_like})
    );
}

fn print_table(args: &PrefixArgs, way: &str, report: &Report) {
    println!(
        "openings, seed {}, {} routers, {}, {way}: {} jobs",
        args.seed, args.routers, args.fault, report.requests
    );
    println!(
        "  last 20 s: {:.1} % in time, {:.1} s spent on {} prefix preparations; {} prefixes had a lease, at \
         most {} at one worker",
        100.0 * report.in_time,
        report.preparing_seconds,
        report.prepared,
        report.pinned,
        report.most_at_one_worker
    );
}
