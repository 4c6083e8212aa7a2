//! `drill`: plays a fault-injection scenario, prints what came of it, and exits 0 only if all rules held and
//! no request went unanswered.
mod bad_day;
mod membership;
mod prefixes;
mod recovery;
mod report;
mod retry_storm;
mod workflows;

use crate::errors::{USAGE_ERROR, print_error};
use applepond_scenarios::errors::ScenarioError;
use applepond_scenarios::process::Setup;
use applepond_scenarios::seeded_bugs::SEEDED_BUGS;
use clap::Subcommand;
use std::path::Path;
use std::process::ExitCode;

/// The scenarios; their words on the command line are those of `name`.
#[derive(Subcommand)]
pub(crate) enum Scenario {
    /// One bad day: a jump, a late list, a drained wave, a lost hall, a store stop, bad workers, a killed
    /// router.
    BadDay(bad_day::BadDayArgs),
    /// Chains on one clock, beside desks that call the same steps one by one with fixed limits.
    #[command(name = "chains")]
    Workflows(workflows::WorkflowArgs),
    /// Routers that know of each other: kills, losses, pauses, cuts, stops, each judged from outside.
    #[command(name = "members")]
    Membership(membership::MembershipArgs),
    /// Most routers die and come back with requests under way; judged from sockets.
    #[command(name = "comeback")]
    Recovery(recovery::RecoveryArgs),
    /// Jobs that begin alike: what pinned openings save, and who can have one pinned; judged at the workers.
    #[command(name = "openings")]
    Prefixes(prefixes::PrefixArgs),
    /// One hall of three is cut, its clients keep asking, it comes back.
    RetryStorm(retry_storm::RetryStormArgs),
}

/// Plays the scenario.
pub(crate) fn run(scenario: Scenario) -> ExitCode {
    let played = match scenario {
        Scenario::BadDay(args) => bad_day::run(args),
        Scenario::Workflows(args) => workflows::run(&args),
        Scenario::Membership(args) => membership::run(args),
        Scenario::Recovery(args) => recovery::run(args),
        Scenario::Prefixes(args) => prefixes::run(args),
        Scenario::RetryStorm(args) => retry_storm::run(&args),
    };
    match played {
        Ok(Outcome::RulesHeld) => ExitCode::SUCCESS,
        Ok(Outcome::RuleBroken) => ExitCode::FAILURE,
        // What is wrong has been printed.
        Err(NotPlayed) => ExitCode::from(USAGE_ERROR),
    }
}

/// What came of a scenario.
enum Outcome {
    RulesHeld,
    RuleBroken,
}

impl Outcome {
    fn of(is_broken: bool) -> Self {
        if is_broken { Outcome::RuleBroken } else { Outcome::RulesHeld }
    }
}

/// A scenario could not be played; why has been printed.
struct NotPlayed;

/// The routers of a scenario: processes of this program.
fn setup(seed: u64, routers: u64, workers: u64, seeded_bug: Option<String>) -> std::io::Result<Setup> {
    Ok(Setup {
        program: std::env::current_exe()?,
        seed,
        routers: routers as usize,
        workers: workers as usize,
        seeded_bug,
        proxy: None,
        dying_routers: 1,
        fleet: false,
    })
}

/// Whether the gateway has a seeded bug of this name.
fn is_known_bug(name: &str) -> bool {
    SEEDED_BUGS.iter().any(|(known, _, _)| *known == name)
}

/// Plays in the folder that is to be kept, or in one that is removed afterwards.
fn play<R>(
    keep: Option<&Path>,
    play: impl FnOnce(&Path) -> Result<R, ScenarioError>,
) -> Result<R, NotPlayed> {
    let own = std::env::temp_dir().join(format!("applepond-drill-{}", std::process::id()));
    let played = play(keep.unwrap_or(&own));
    if keep.is_none() {
        let _ = std::fs::remove_dir_all(&own);
    }
    played.map_err(|error| {
        print_error("the drill could not be played: ", &error);
        NotPlayed
    })
}

/// Prints a line of progress, unless the result is to be the only output.
fn print_progress(json: bool, line: &str) {
    if !json {
        eprintln!("{line}");
    }
}
