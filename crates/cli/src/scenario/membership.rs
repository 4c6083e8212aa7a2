//! `drill members`.
use super::report::print_breaches;
use super::{NotPlayed, Outcome, play, print_progress, setup};
use applepond_scenarios::membership::{self, Report, SCENES, SEEDED_BUGS};
use clap::Args;
use serde_json::{Value, json};
use std::path::PathBuf;

#[derive(Args)]
pub(crate) struct MembershipArgs {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=100))]
    routers: u64,
    /// Plays these faults alone; several may be given.
    #[arg(long, value_parser = SCENES)]
    fault: Vec<String>,
    /// Takes a guard out in every router, to prove the drill.
    #[arg(long, value_parser = SEEDED_BUGS.map(|(name, _)| name))]
    plant: Option<String>,
    /// Prints the result as one JSON object.
    #[arg(long)]
    json: bool,
    /// Keeps settings and logs of the routers in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
}

pub(super) fn run(args: MembershipArgs) -> Result<Outcome, NotPlayed> {
    let MembershipArgs { seed, routers, fault, plant, json, keep } = args;
    let is_wanted = |scene: &&&str| fault.is_empty() || fault.iter().any(|wanted| wanted == **scene);
    let scenes: Vec<&'static str> = SCENES.iter().filter(is_wanted).copied().collect();
    let setup = setup(seed, routers, 0, plant).map_err(|_| NotPlayed)?;
    let mut progress = |scene: &str| print_progress(json, scene);
    let report = play(keep.as_deref(), |folder| membership::run(&setup, &scenes, folder, &mut progress))?;
    // A seeded bug is recognized by the rule that it breaks.
    let looks_like = SEEDED_BUGS.iter().filter(|(_, rule)| report.broken.contains_key(rule));
    let looks_like: Vec<&str> = looks_like.map(|(name, _)| *name).collect();
    if json {
        print_json(&report, seed, routers, &looks_like);
    } else {
        println!("members, seed {seed}, {routers} routers, {}", scenes.join(", "));
        print_table(&report, &looks_like);
    }
    if report.skipped.len() == scenes.len() {
        return Err(NotPlayed);
    }
    Ok(Outcome::of(!report.broken.is_empty()))
}

/// ms in which this part, in percent, of the kills were known.
fn known_within(report: &Report, percent: usize) -> Option<u64> {
    report.detection_ms.get(report.detection_ms.len().saturating_sub(1) * percent / 100).copied()
}

fn print_json(report: &Report, seed: u64, routers: u64, looks_like: &[&str]) {
    let healed: Vec<Value> =
        report.convergence_ms.iter().map(|(scene, ms)| json!({"scene": scene, "ms": ms})).collect();
    println!(
        "{}",
        json!({"seed": seed, "routers": routers, "broken": report.broken,
            "looks-like": looks_like, "unplayed": report.skipped,
            "known-ms": {"median": known_within(report, 50), "99": known_within(report, 99)},
            "one-view": healed})
    );
}

fn print_table(report: &Report, looks_like: &[&str]) {
    if let (Some(median), Some(most)) = (known_within(report, 50), known_within(report, 99)) {
        println!("  a kill is known after {median} ms (median), {most} ms (99 %)");
    }
    for (scene, ms) in &report.convergence_ms {
        println!("  one view {ms} ms after {scene}");
    }
    report.skipped.iter().for_each(|scene| println!("  not played, more routers are wanted: {scene}"));
    print_breaches(&report.broken, looks_like);
}
