//! `drill chains`: plays each load twice, with chains run by the routers, and step by step by their clients.
use super::report::{broken_as_json, ends_as_json, ends_in_words, print_rule, print_rules};
use super::{NotPlayed, Outcome, is_known_bug, play, print_progress, setup};
use applepond_scenarios::workflows::{self, DEFAULT_WORKFLOWS, Options, Report};
use clap::Args;
use serde_json::json;
use std::path::PathBuf;

/// What rule 6 asks.
const ON_TIME: &str = "no step begun or running past its chain's time";

#[derive(Args)]
pub(crate) struct WorkflowArgs {
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Times what the fleet can do; several may be given.
    #[arg(long, default_value = "2")]
    load: Vec<f64>,
    /// `chain` blocks to play instead of the drill's own; desks ask for type `book`.
    #[arg(long)]
    plan: Option<PathBuf>,
    /// Importance of quote, hold and confirm: alike, as one chain pays for all of them, unless told.
    #[arg(long, value_delimiter = ',', num_args = 3, default_values_t = [1, 1, 1])]
    importance: Vec<u64>,
    /// Kills a router this often, at moments of chance, and starts it again; plays no step-by-step desks.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=2000))]
    kills: u64,
    /// Breaks a rule on purpose: late-step, chain-twice, or one of the bad day's.
    #[arg(long)]
    plant: Option<String>,
    /// Prints each play as one JSON object.
    #[arg(long)]
    json: bool,
}

pub(super) fn run(args: &WorkflowArgs) -> Result<Outcome, NotPlayed> {
    if let Some(load) = args.load.iter().find(|load| !(0.05..=20.0).contains(*load)) {
        eprintln!("--load {load}: a number from 0.05 to 20 is wanted");
        return Err(NotPlayed);
    }
    if let Some(name) = args.plant.as_deref().filter(|name| !is_known_bug(name)) {
        eprintln!("--plant {name}: no such fault");
        return Err(NotPlayed);
    }
    let blocks = chain_blocks(args)?;
    let setup = setup(args.seed, 2, 6, args.plant.clone()).map_err(|_| NotPlayed)?;
    let importance = [args.importance[0], args.importance[1], args.importance[2]];
    // Faults are for the routers: they play no step-by-step clients.
    let plays_both = args.plant.is_none() && args.kills == 0;
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
        let by_routers = play_one(args, &options, "by routers")?;
        is_broken |= breaks_a_rule(&by_routers);
        if !plays_both {
            continue;
        }
        options.step_by_step = true;
        let step_by_step = play_one(args, &options, "step by step")?;
        is_broken |= breaks_a_rule(&step_by_step);
        if !args.json {
            let times = by_routers.finished as f64 / step_by_step.finished.max(1) as f64;
            println!("load {load}: {times:.2} times as many whole chains by routers as step by step");
        }
    }
    Ok(Outcome::of(is_broken))
}

/// The `chain` blocks of the settings.
fn chain_blocks(args: &WorkflowArgs) -> Result<String, NotPlayed> {
    let Some(file) = &args.plan else { return Ok(DEFAULT_WORKFLOWS.to_owned()) };
    std::fs::read_to_string(file).map_err(|error| {
        eprintln!("{}: {error}", file.display());
        NotPlayed
    })
}

fn breaks_a_rule(report: &Report) -> bool {
    !report.verdict.broken.is_empty() || report.unanswered_on_record < report.unanswered
}

/// Plays once and prints the result.
fn play_one(args: &WorkflowArgs, options: &Options<'_>, name: &str) -> Result<Report, NotPlayed> {
    let load = options.load;
    let mut progress = |line: &str| print_progress(args.json, &format!("load {load}, {name}: {line}"));
    let report = play(None, |folder| workflows::run(options, folder, &mut progress))?;
    if args.json {
        print_json(args, load, name, &report);
    } else {
        print_table(args, load, name, &report);
    }
    Ok(report)
}

fn print_json(args: &WorkflowArgs, load: f64, name: &str, report: &Report) {
    let (unanswered, on_record) = (report.unanswered, report.unanswered_on_record);
    let all = json!({"seed": args.seed, "load": load, "play": name, "chains": report.workflows,
        "finished": report.finished, "steps": report.steps, "got": ends_as_json(&report.outcomes),
        "broken": broken_as_json(&report.verdict),
        "unanswered": {"begun": unanswered, "on-record": on_record}});
    println!("{all}");
}

fn print_table(args: &WorkflowArgs, load: f64, name: &str, report: &Report) {
    println!("chains, seed {}, load {load}, {name}", args.seed);
    println!(
        "  {} of {} chains finished in time; {} steps begun at workers",
        report.finished, report.workflows, report.steps
    );
    println!("  ends as the desks saw them: {}", ends_in_words(&report.outcomes));
    print_rules(&report.verdict);
    print_rule(&report.verdict, 6, ON_TIME);
    if args.kills > 0 {
        let (unanswered, on_record) = (report.unanswered, report.unanswered_on_record);
        println!("  {unanswered} chains without an answer with a step begun, {on_record} of them on record");
    }
}
