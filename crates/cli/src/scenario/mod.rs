//! The `drill` command. It runs a fault-injection scenario, prints the result, and exits with status 0 only
//! if all rules held and every request was answered.
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

/// The available scenarios. Those with a `name` attribute keep an older name on the command line.
#[derive(Subcommand)]
pub(crate) enum Scenario {
    /// A sequence of faults: a load spike, a delayed endpoint list, a drain of a quarter of the workers, the
    /// loss of a zone's workers, an outage of the model store, faulty workers and a killed router.
    BadDay(bad_day::BadDayArgs),
    /// Workflows with one deadline, compared with clients that call the same steps one by one with fixed
    /// timeouts.
    #[command(name = "chains")]
    Workflows(workflows::WorkflowArgs),
    /// Fleet membership under kills, packet loss, pauses, one-way and slow links, stops and partitions. The
    /// routers' views are checked against the faults injected.
    #[command(name = "members")]
    Membership(membership::MembershipArgs),
    /// Recovery after most routers are killed and restarted while requests are in flight, checked from what
    /// workers, clients and the network observe.
    #[command(name = "comeback")]
    Recovery(recovery::RecoveryArgs),
    /// Requests with common prompt prefixes: what pinning saves, and whether one router alone can cause a
    /// pin, checked from what workers observe.
    #[command(name = "openings")]
    Prefixes(prefixes::PrefixArgs),
    /// One zone of three fails with its routers and workers, while its clients keep retrying, and then comes
    /// back.
    RetryStorm(retry_storm::RetryStormArgs),
}

/// Runs the scenario.
pub(crate) fn run(scenario: Scenario) -> ExitCode {
    let result = match scenario {
        Scenario::BadDay(args) => bad_day::run(args),
        Scenario::Workflows(args) => workflows::run(&args),
        Scenario::Membership(args) => membership::run(args),
        Scenario::Recovery(args) => recovery::run(args),
        Scenario::Prefixes(args) => prefixes::run(args),
        Scenario::RetryStorm(args) => retry_storm::run(&args),
    };
    match result {
        Ok(Outcome::RulesHeld) => ExitCode::SUCCESS,
        Ok(Outcome::RuleBroken) => ExitCode::FAILURE,
        // The cause has already been printed.
        Err(NotRun) => ExitCode::from(USAGE_ERROR),
    }
}

/// Outcome of a scenario that ran to its end.
enum Outcome {
    RulesHeld,
    RuleBroken,
}

impl Outcome {
    fn from_breach(is_broken: bool) -> Self {
        if is_broken { Outcome::RuleBroken } else { Outcome::RulesHeld }
    }
}

/// The scenario could not be run; the cause has been printed.
struct NotRun;

/// Returns the set-up of a scenario, whose routers are processes of this program.
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

/// Returns whether the gateway has a seeded bug of this name.
fn is_known_bug(name: &str) -> bool {
    SEEDED_BUGS.iter().any(|(known, _, _)| *known == name)
}

/// Runs a scenario in the directory to keep, or in a temporary one that is removed afterwards.
fn run_in_directory<R>(
    keep: Option<&Path>,
    run: impl FnOnce(&Path) -> Result<R, ScenarioError>,
) -> Result<R, NotRun> {
    let temporary = std::env::temp_dir().join(format!("applepond-drill-{}", std::process::id()));
    let result = run(keep.unwrap_or(&temporary));
    if keep.is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    result.map_err(|error| {
        print_error("the scenario could not be run: ", &error);
        NotRun
    })
}

/// Prints a line of progress to standard error, unless the result is printed as JSON.
fn print_progress(json: bool, line: &str) {
    if !json {
        eprintln!("{line}");
    }
}
