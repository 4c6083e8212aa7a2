//! The `drill members` scenario: fleet membership under faults.
use super::report::print_breaches;
use super::{NotRun, Outcome, print_progress, run_in_directory, setup};
use applepond_scenarios::membership::{self, FAULTS, Report, SEEDED_BUGS};
use clap::Args;
use serde_json::{Value, json};
use std::path::PathBuf;

#[derive(Args)]
pub(crate) struct MembershipArgs {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=100))]
    routers: u64,
    /// Fault to inject; may be repeated. All are injected by default.
    #[arg(long, value_parser = FAULTS)]
    fault: Vec<String>,
    /// Seeded bug: disables this guard in every router, to verify that the scenario detects it.
    #[arg(long, value_parser = SEEDED_BUGS.map(|(name, _)| name))]
    plant: Option<String>,
    /// Prints the result as one JSON object.
    #[arg(long)]
    json: bool,
    /// Directory in which to keep the settings and logs of the routers.
    #[arg(long)]
    keep: Option<PathBuf>,
}

pub(super) fn run(args: MembershipArgs) -> Result<Outcome, NotRun> {
    let MembershipArgs { seed, routers, fault, plant, json, keep } = args;
    let is_selected = |known: &&&str| fault.is_empty() || fault.iter().any(|name| name == **known);
    let faults: Vec<&'static str> = FAULTS.iter().filter(is_selected).copied().collect();
    let setup = setup(seed, routers, 0, plant).map_err(|_| NotRun)?;
    let mut progress = |fault: &str| print_progress(json, fault);
    let report =
        run_in_directory(keep.as_deref(), |folder| membership::run(&setup, &faults, folder, &mut progress))?;
    // A seeded bug is identified by the rule that it breaks.
    let looks_like = SEEDED_BUGS.iter().filter(|(_, rule)| report.broken.contains_key(rule));
    let looks_like: Vec<&str> = looks_like.map(|(name, _)| *name).collect();
    if json {
        print_json(&report, seed, routers, &looks_like);
    } else {
        println!("members, seed {seed}, {routers} routers, {}", faults.join(", "));
        print_table(&report, &looks_like);
    }
    if report.skipped.len() == faults.len() {
        return Err(NotRun);
    }
    Ok(Outcome::from_breach(!report.broken.is_empty()))
}

/// Returns a percentile of the times in ms until another router knew of a kill, or `None` without kills.
fn known_within(report: &Report, percent: usize) -> Option<u64> {
    report.detection_ms.get(report.detection_ms.len().saturating_sub(1) * percent / 100).copied()
}

fn print_json(report: &Report, seed: u64, routers: u64, looks_like: &[&str]) {
    let healed: Vec<Value> =
        report.convergence_ms.iter().map(|(phase, ms)| json!({"scene": phase, "ms": ms})).collect();
    println!(
        "{}",
        json!({"seed": seed, "routers": routers, "broken": report.broken,
            "looks-like": looks_like, "unplayed": report.skipped,
            "known-ms": {"median": known_within(report, 50), "99": known_within(report, 99)},
            "one-view": healed})
    );
}

fn print_table(report: &Report, looks_like: &[&str]) {
    if let (Some(median), Some(p99)) = (known_within(report, 50), known_within(report, 99)) {
        println!("  a kill is detected after {median} ms (median), {p99} ms (99 %)");
    }
    for (phase, ms) in &report.convergence_ms {
        println!("  views converged {ms} ms after {phase}");
    }
    report.skipped.iter().for_each(|fault| println!("  not run, needs more routers: {fault}"));
    print_breaches(&report.broken, looks_like);
}
