//! The `drill chains` scenario. It runs each load twice: with workflows executed by the routers, and with
//! clients that call their steps one by one.
use super::report::{broken_as_json, outcomes_as_json, outcomes_as_text, print_rule, print_rules};
use super::{NotRun, Outcome, is_known_bug, print_progress, run_in_directory, setup};
use applepond_scenarios::workflows::{self, DEFAULT_WORKFLOWS, Options, Report};
use clap::Args;
use serde_json::json;
use std::path::PathBuf;

/// Summary of rule 6.
const DEADLINE_RULE: &str = "no step started or running past the deadline of its workflow";

#[derive(Args)]
pub(crate) struct WorkflowArgs {
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Load as a multiple of the fleet's capacity; may be repeated.
    #[arg(long, default_value = "2")]
    load: Vec<f64>,
    /// Settings file with the `chain` blocks to use instead of the default ones; clients request type `book`.
    #[arg(long)]
    plan: Option<PathBuf>,
    /// Importance of the steps quote, hold and confirm. Equal by default, as one workflow pays for all of
    /// them.
    #[arg(long, value_delimiter = ',', num_args = 3, default_values_t = [1, 1, 1])]
    importance: Vec<u64>,
    /// Number of kills. Each kills a random router at a random time and restarts it. Disables the
    /// step-by-step run.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=2000))]
    kills: u64,
    /// Seeded bug to enable: late-step, chain-twice, or one of the bad-day scenario.
    #[arg(long)]
    plant: Option<String>,
    /// Prints the result of each run as one JSON object.
    #[arg(long)]
    json: bool,
}

pub(super) fn run(args: &WorkflowArgs) -> Result<Outcome, NotRun> {
    if let Some(load) = args.load.iter().find(|load| !(0.05..=20.0).contains(*load)) {
        eprintln!("--load {load}: a number from 0.05 to 20 is expected");
        return Err(NotRun);
    }
    if let Some(name) = args.plant.as_deref().filter(|name| !is_known_bug(name)) {
        eprintln!("--plant {name}: no such seeded bug");
        return Err(NotRun);
    }
    let blocks = chain_blocks(args)?;
    let setup = setup(args.seed, 2, 6, args.plant.clone()).map_err(|_| NotRun)?;
    let importance = [args.importance[0], args.importance[1], args.importance[2]];
    // Kills and seeded bugs are for workflows that the routers execute, not for step-by-step clients.
    let runs_step_by_step = args.plant.is_none() && args.kills == 0;
    let mut is_broken = false;
    for load in args.load.iter().copied() {
        let mut options = Options {
            setup: &setup,
            load,
            workflows: &blocks,
            step_by_step: false,
            kills: args.kills as usize,
            importance,
        };
        let by_routers = run_once(args, &options, "by routers")?;
        is_broken |= breaks_a_rule(&by_routers);
        if !runs_step_by_step {
            continue;
        }
        options.step_by_step = true;
        let step_by_step = run_once(args, &options, "step by step")?;
        is_broken |= breaks_a_rule(&step_by_step);
        if !args.json {
            let ratio = by_routers.finished as f64 / step_by_step.finished.max(1) as f64;
            println!("load {load}: {ratio:.2} times as many workflows finished by routers as step by step");
        }
    }
    Ok(Outcome::from_breach(is_broken))
}

/// Returns the `chain` blocks to use in the settings.
fn chain_blocks(args: &WorkflowArgs) -> Result<String, NotRun> {
    let Some(file) = &args.plan else { return Ok(DEFAULT_WORKFLOWS.to_owned()) };
    std::fs::read_to_string(file).map_err(|error| {
        eprintln!("{}: {error}", file.display());
        NotRun
    })
}

fn breaks_a_rule(report: &Report) -> bool {
    !report.verdict.broken.is_empty() || report.unanswered_on_record < report.unanswered
}

/// Runs the scenario once and prints the result.
fn run_once(args: &WorkflowArgs, options: &Options<'_>, name: &str) -> Result<Report, NotRun> {
    let load = options.load;
    let mut progress = |line: &str| print_progress(args.json, &format!("load {load}, {name}: {line}"));
    let report = run_in_directory(None, |folder| workflows::run(options, folder, &mut progress))?;
    if args.json {
        print_json(args, load, name, &report);
    } else {
        print_table(args, load, name, &report);
    }
    Ok(report)
}

fn print_json(args: &WorkflowArgs, load: f64, name: &str, report: &Report) {
    let (unanswered, on_record) = (report.unanswered, report.unanswered_on_record);
    let result = json!({"seed": args.seed, "load": load, "play": name, "chains": report.workflows,
        "finished": report.finished, "steps": report.steps, "got": outcomes_as_json(&report.outcomes),
        "broken": broken_as_json(&report.verdict),
        "unanswered": {"begun": unanswered, "on-record": on_record}});
    println!("{result}");
}

fn print_table(args: &WorkflowArgs, load: f64, name: &str, report: &Report) {
    println!("chains, seed {}, load {load}, {name}", args.seed);
    println!(
        "  {} of {} workflows finished in time; {} steps started at workers",
        report.finished, report.workflows, report.steps
    );
    println!("  outcomes seen by clients: {}", outcomes_as_text(&report.outcomes));
    print_rules(&report.verdict);
    print_rule(&report.verdict, 6, DEADLINE_RULE);
    if args.kills > 0 {
        let (unanswered, on_record) = (report.unanswered, report.unanswered_on_record);
        println!("  {unanswered} workflows unanswered with a step started, {on_record} of them on record");
    }
}
