//! The `drill comeback` scenario: recovery after mass restarts.
use super::report::print_breaches;
use super::{NotRun, Outcome, print_progress, run_in_directory, setup};
use applepond_scenarios::process::Setup;
use applepond_scenarios::recovery::{self, FAULTS, Options, Report, SEEDED_BUGS, START_STATES};
use clap::Args;
use serde_json::json;
use std::path::PathBuf;

#[derive(Args)]
pub(crate) struct RecoveryArgs {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=40))]
    routers: u64,
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(6..=40))]
    workers: u64,
    /// Which routers are killed, and what remains of their disks.
    #[arg(long, value_parser = FAULTS, default_value = "kill")]
    fault: String,
    /// What a router recovers from after its restart; `all` runs each.
    #[arg(long, default_value = "both")]
    way: String,
    /// Seeded bug: disables this guard in every router, and selects the fault that exposes it.
    #[arg(long, value_parser = SEEDED_BUGS.map(|(name, ..)| name))]
    plant: Option<String>,
    /// Prints the result of each run as one JSON object.
    #[arg(long)]
    json: bool,
    /// Directory in which to keep the settings and logs of the routers.
    #[arg(long)]
    keep: Option<PathBuf>,
}

pub(super) fn run(args: RecoveryArgs) -> Result<Outcome, NotRun> {
    let mut ways: Vec<&str> =
        START_STATES.iter().copied().filter(|way| args.way == "all" || args.way == **way).collect();
    if ways.is_empty() {
        eprintln!("--way {}: one of {} or all is expected", args.way, START_STATES.join(", "));
        return Err(NotRun);
    }
    let mut fault = args.fault.as_str();
    // A seeded bug determines the fault and the recovery source that expose it.
    let bug = SEEDED_BUGS.iter().find(|(name, ..)| Some(*name) == args.plant.as_deref());
    if let Some((_, _, shown_in, way)) = bug {
        (fault, ways) = (shown_in, vec![*way]);
    }
    let setup = setup(args.seed, args.routers, args.workers, args.plant.clone()).map_err(|_| NotRun)?;
    let setup = Setup { fleet: true, ..setup };
    let mut is_broken = false;
    for way in ways {
        let options = Options { setup: &setup, fault, start_state: way };
        let mut progress = |line: &str| print_progress(args.json, line);
        let report =
            run_in_directory(args.keep.as_deref(), |folder| recovery::run(&options, folder, &mut progress))?;
        is_broken |= !report.broken.is_empty();
        let looks_like = SEEDED_BUGS.iter().filter(|(_, rule, ..)| report.broken.contains_key(rule));
        let looks_like: Vec<&str> = looks_like.map(|(name, ..)| *name).collect();
        if args.json {
            print_json(&args, &options, &report, &looks_like);
        } else {
            print_table(&args, &options, &report);
            print_breaches(&report.broken, &looks_like);
        }
    }
    Ok(Outcome::from_breach(is_broken))
}

fn print_json(args: &RecoveryArgs, options: &Options<'_>, report: &Report, looks_like: &[&str]) {
    let [before, dead, after] = report.service;
    println!(
        "{}",
        json!({"seed": args.seed, "routers": args.routers, "fault": options.fault, "way": options.start_state,
            "jobs": report.requests, "before": before, "dead": dead, "after-2s": after,
            "whole-ms": report.recovery_ms,
            "loads": {"before": report.fetches_before, "after": report.fetches_after},
            "fell": report.overloaded_cold,
            "strays": {"all": report.strays, "after-grace": report.strays_after_grace},
            "asks": {"most": report.peak_recovery_requests, "all": report.recovery_requests,
                "part": report.max_request_share},
            "broken": report.broken, "looks-like": looks_like})
    );
}

fn print_table(args: &RecoveryArgs, options: &Options<'_>, report: &Report) {
    let [before, dead, after] = report.service;
    println!(
        "comeback, seed {}, {} routers, {}, from {}: {} jobs",
        args.seed, args.routers, options.fault, options.start_state, report.requests
    );
    println!(
        "  in time: {:.1} % before, {:.1} % while routers are down, {:.1} % in the 2 s after the last start",
        100.0 * before,
        100.0 * dead,
        100.0 * after
    );
    let recovered =
        report.recovery_ms.map_or("not within the scenario".to_owned(), |ms| format!("after {ms} ms"));
    println!(
        "  service recovered {recovered}; {} cold workers overloaded; {} requests to a draining worker, {} \
         of them after the grace period",
        report.overloaded_cold, report.strays, report.strays_after_grace
    );
    println!(
        "  fetches per 100 ms: at most {} before, {} after; recovery requests: at most {} per 100 ms to \
         one router, {} in all",
        report.fetches_before, report.fetches_after, report.peak_recovery_requests, report.recovery_requests
    );
}
