//! `drill`: plays a day, prints what came of it, and exits 0 only if all rules held and no request went
//! unanswered.
use applepond_scenarios::audit::Verdict;
use applepond_scenarios::chains::{self, PLAN};
use applepond_scenarios::comeback;
use applepond_scenarios::members;
use applepond_scenarios::openings;
use applepond_scenarios::process::Plan;
use applepond_scenarios::run::{Report, bad_day};
use applepond_scenarios::saboteur::PLANTS;
use applepond_scenarios::storm::{self, Cut, Order, retry_storm};
use clap::Subcommand;
use serde_json::json;
use std::process::ExitCode;

/// What each rule asks, in a few words.
const RULES: [&str; 5] = [
    "one final answer for each job, in time, nothing after",
    "no effect twice",
    "nothing new to a draining or gone worker past the grace",
    "no cold worker pushed over",
    "orders to load rationed (the routers give none)",
];

#[derive(Subcommand)]
pub enum Which {
    /// One bad day: a jump, a late list, a drained wave, a lost hall, a store stop, bad workers, a killed
    /// router.
    BadDay {
        #[arg(long, default_value_t = 7)]
        seed: u64,
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=40))]
        routers: u64,
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(4..=100))]
        workers: u64,
        /// Routers that are killed and started again.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(0..=20))]
        die: u64,
        /// The routers know of each other and count those that are there.
        #[arg(long)]
        fleet: bool,
        /// Breaks a rule on purpose: lost-answer, double-answer, effect-twice, send-to-drained,
        /// push-cold-over.
        #[arg(long)]
        plant: Option<String>,
        /// Prints the result as one JSON object.
        #[arg(long)]
        json: bool,
        /// Keeps settings and logs of the routers in this folder.
        #[arg(long)]
        keep: Option<std::path::PathBuf>,
    },
    /// Chains on one clock, beside desks that call the same steps one by one with fixed limits.
    Chains {
        #[arg(long, default_value_t = 7)]
        seed: u64,
        /// Times what the fleet can do; several may be given.
        #[arg(long, default_value = "2")]
        load: Vec<f64>,
        /// `chain` blocks to play instead of the drill's own; desks ask for type `book`.
        #[arg(long)]
        plan: Option<std::path::PathBuf>,
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
    },
    /// Routers that know of each other: kills, losses, pauses, cuts, stops, each judged from outside.
    Members {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=100))]
        routers: u64,
        /// Plays these faults alone; several may be given.
        #[arg(long, value_parser = members::SCENES)]
        fault: Vec<String>,
        /// Takes a guard out in every router, to prove the drill.
        #[arg(long, value_parser = members::PLANTS.map(|(name, _)| name))]
        plant: Option<String>,
        /// Prints the result as one JSON object.
        #[arg(long)]
        json: bool,
        /// Keeps settings and logs of the routers in this folder.
        #[arg(long)]
        keep: Option<std::path::PathBuf>,
    },
    /// Most routers die and come back with requests under way; judged from sockets.
    Comeback {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=40))]
        routers: u64,
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(6..=40))]
        workers: u64,
        /// Who dies and what is left of their disks.
        #[arg(long, value_parser = comeback::FAULTS, default_value = "kill")]
        fault: String,
        /// What a router may start from; `all` plays each.
        #[arg(long, default_value = "both")]
        way: String,
        /// Takes a guard out in every router, to prove the drill; it is played in the fault that shows it.
        #[arg(long, value_parser = comeback::PLANTS.map(|(name, ..)| name))]
        plant: Option<String>,
        /// Prints each play as one JSON object.
        #[arg(long)]
        json: bool,
        /// Keeps settings and logs of the routers in this folder.
        #[arg(long)]
        keep: Option<std::path::PathBuf>,
    },
    /// Jobs that begin alike: what pinned openings save, and who can have one pinned; judged at the workers.
    Openings {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=40))]
        routers: u64,
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(6..=40))]
        workers: u64,
        /// What happens in the middle of it.
        #[arg(long, value_parser = openings::FAULTS, default_value = "none")]
        fault: String,
        /// `lru` pins nothing; `both` plays one after the other.
        #[arg(long, value_parser = ["lru", "merged", "both"], default_value = "both")]
        way: String,
        /// Takes a guard out in every router, to prove the drill.
        #[arg(long, value_parser = openings::PLANTS.map(|(name, _)| name))]
        plant: Option<String>,
        /// Prints each play as one JSON object.
        #[arg(long)]
        json: bool,
        /// Keeps settings and logs of the routers in this folder.
        #[arg(long)]
        keep: Option<std::path::PathBuf>,
    },
    /// One hall of three is cut, its clients keep asking, it comes back.
    RetryStorm {
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
        chart: Option<std::path::PathBuf>,
    },
}

pub fn run(which: Which) -> ExitCode {
    let (seed, routers, workers, die, fleet, plant, json, keep) = match which {
        Which::BadDay { seed, routers, workers, die, fleet, plant, json, keep } => {
            (seed, routers, workers, die, fleet, plant, json, keep)
        }
        Which::RetryStorm { .. } => return storm_drill(which),
        Which::Chains { .. } => return chains_drill(which),
        Which::Members { .. } => return members_drill(which),
        Which::Comeback { .. } => return comeback_drill(which),
        Which::Openings { .. } => return openings_drill(which),
    };
    if let Some(name) = plant.as_deref().filter(|p| PLANTS.iter().all(|(known, _, _)| known != p)) {
        let known: Vec<&str> = PLANTS.iter().map(|(known, _, _)| *known).collect();
        eprintln!("--plant {name}: one of {} is wanted", known.join(", "));
        return ExitCode::from(crate::serve::WRONG);
    }
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => {
            eprintln!("this program's own file: {error}");
            return ExitCode::from(crate::serve::WRONG);
        }
    };
    let (routers, workers) = (routers as usize, workers as usize);
    let die = die as usize;
    let plan = Plan { program, seed, routers, workers, plant, through: None, die, fleet };
    let own = std::env::temp_dir().join(format!("applepond-scenarios-{}", std::process::id()));
    let folder = keep.clone().unwrap_or(own.clone());
    let mut progress = |line: &str| {
        if !json {
            eprintln!("{line}");
        }
    };
    let played = bad_day(&plan, &folder, &mut progress);
    if keep.is_none() {
        let _ = std::fs::remove_dir_all(&own);
    }
    let report = match played {
        Ok(report) => report,
        Err(why) => {
            crate::told("the drill could not be played: ", &why);
            return ExitCode::from(crate::serve::WRONG);
        }
    };
    if json {
        print_json(&report, seed)
    } else {
        print_table(&report, seed)
    }
    ExitCode::from(u8::from(!report.holds()))
}

/// Plays each load twice: chains run by the routers, and step by step by the desks.
fn chains_drill(which: Which) -> ExitCode {
    let wrong = ExitCode::from(crate::serve::WRONG);
    let Which::Chains { seed, load: loads, plan: file, importance, kills, plant, json } = which else {
        return wrong;
    };
    let (file, importance) = (file.as_deref(), [importance[0], importance[1], importance[2]]);
    if let Some(load) = loads.iter().find(|l| !(0.05..=20.0).contains(*l)) {
        eprintln!("--load {load}: a number from 0.05 to 20 is wanted");
        return wrong;
    }
    if let Some(name) = plant.as_deref().filter(|p| PLANTS.iter().all(|(known, _, _)| known != p)) {
        eprintln!("--plant {name}: no such fault");
        return wrong;
    }
    let text = match file.map(std::fs::read_to_string) {
        None => PLAN.to_owned(),
        Some(Ok(text)) => text,
        Some(Err(error)) => {
            eprintln!("{}: {error}", file.map(|f| f.display().to_string()).unwrap_or_default());
            return wrong;
        }
    };
    let Ok(program) = std::env::current_exe() else { return wrong };
    let plan = Plan { program, seed, routers: 2, workers: 6, plant, through: None, die: 1, fleet: false };
    let folder = std::env::temp_dir().join(format!("applepond-scenarios-{}", std::process::id()));
    let mut broken = false;
    for load in &loads {
        let mut finished = [0usize; 2];
        for (n, name) in ["by routers", "step by step"].into_iter().enumerate() {
            let (load, plain, chains) = (*load, n == 1, text.as_str());
            let kills = kills as usize;
            let order = chains::Order { plan: &plan, load, chains, plain, kills, importance };
            let mut progress = |line: &str| {
                if !json {
                    eprintln!("load {load}, {name}: {line}");
                }
            };
            let played = chains::chains(&order, &folder, &mut progress);
            let _ = std::fs::remove_dir_all(&folder);
            let report = match played {
                Ok(report) => report,
                Err(why) => {
                    crate::told("the drill could not be played: ", &why);
                    return wrong;
                }
            };
            finished[n] = report.finished;
            let got: serde_json::Map<String, serde_json::Value> =
                report.got.iter().map(|(got, n)| (format!("{got:?}"), json!(n))).collect();
            let v = &report.verdict;
            let (open, on_record) = report.unanswered;
            broken |= !v.broken.is_empty() || on_record < open;
            if json {
                let faults = faults(v);
                let all = json!({"seed": seed, "load": load, "play": name, "chains": report.chains,
                    "finished": report.finished, "steps": report.steps, "got": got, "broken": faults,
                    "unanswered": {"begun": open, "on-record": on_record}});
                println!("{all}");
                if plan.plant.is_some() || kills > 0 {
                    break;
                }
                continue;
            }
            println!("chains, seed {seed}, load {load}, {name}");
            println!(
                "  {} of {} chains finished in time; {} steps begun at workers",
                report.finished, report.chains, report.steps
            );
            let got: Vec<String> = report.got.iter().map(|(got, n)| format!("{n} {got:?}")).collect();
            println!("  ends as the desks saw them: {}", got.join(", "));
            print_rules(v);
            if let Some((times, faults)) = v.broken.get(&6) {
                println!("  rule 6: BROKEN {times} time(s): no step begun or running past its chain's time");
                faults.iter().for_each(|f| println!("    {f}"));
            } else {
                println!("  rule 6: held: no step begun or running past its chain's time");
            }
            if kills > 0 {
                println!(
                    "  {open} chains without an answer with a step begun, {on_record} of them on record"
                );
            }
            if plan.plant.is_some() || kills > 0 {
                break;
            }
        }
        if !json && plan.plant.is_none() && kills == 0 {
            let times = finished[0] as f64 / finished[1].max(1) as f64;
            println!("load {load}: {times:.2} times as many whole chains by routers as step by step");
        }
    }
    ExitCode::from(u8::from(broken))
}

fn members_drill(which: Which) -> ExitCode {
    let wrong = ExitCode::from(crate::serve::WRONG);
    let Which::Members { seed, routers, fault, plant, json, keep } = which else { return wrong };
    let Ok(program) = std::env::current_exe() else { return wrong };
    let asked = |scene: &&&str| fault.is_empty() || fault.iter().any(|f| f == **scene);
    let scenes: Vec<&'static str> = members::SCENES.iter().filter(asked).copied().collect();
    let plan = Plan {
        program,
        seed,
        routers: routers as usize,
        workers: 0,
        plant,
        through: None,
        die: 1,
        fleet: false,
    };
    let own = std::env::temp_dir().join(format!("applepond-scenarios-{}", std::process::id()));
    let folder = keep.clone().unwrap_or(own.clone());
    let mut progress = |scene: &str| {
        if !json {
            eprintln!("{scene}");
        }
    };
    let played = members::members(&plan, &scenes, &folder, &mut progress);
    if keep.is_none() {
        let _ = std::fs::remove_dir_all(&own);
    }
    let report = match played {
        Ok(report) => report,
        Err(why) => {
            crate::told("the drill could not be played: ", &why);
            return wrong;
        }
    };
    let at = |part: usize| report.known.get(report.known.len().saturating_sub(1) * part / 100).copied();
    // A fault that was planted is told by the rule that it breaks.
    let planted = members::PLANTS.iter().filter(|(_, rule)| report.broken.contains_key(rule));
    let planted: Vec<&str> = planted.map(|(name, _)| *name).collect();
    if json {
        let healed: Vec<_> = report.healed.iter().map(|(s, ms)| json!({"scene": s, "ms": ms})).collect();
        println!(
            "{}",
            json!({"seed": seed, "routers": routers, "broken": report.broken,
                "looks-like": planted, "unplayed": report.unplayed,
                "known-ms": {"median": at(50), "99": at(99)}, "one-view": healed})
        );
    } else {
        println!("members, seed {seed}, {routers} routers, {}", scenes.join(", "));
        if let (Some(median), Some(most)) = (at(50), at(99)) {
            println!("  a kill is known after {median} ms (median), {most} ms (99 %)");
        }
        for (scene, ms) in &report.healed {
            println!("  one view {ms} ms after {scene}");
        }
        report.unplayed.iter().for_each(|scene| println!("  not played, more routers are wanted: {scene}"));
        for (rule, faults) in &report.broken {
            println!("  BROKEN {} time(s): {rule}", faults.len());
            faults.iter().take(5).for_each(|f| println!("    {f}"));
        }
        if !planted.is_empty() {
            println!("  as with: {}", planted.join(", "));
        }
    }
    if report.unplayed.len() == scenes.len() {
        return wrong;
    }
    ExitCode::from(u8::from(!report.broken.is_empty()))
}

fn comeback_drill(which: Which) -> ExitCode {
    let wrong = ExitCode::from(crate::serve::WRONG);
    let Which::Comeback { seed, routers, workers, fault, way, plant, json, keep } = which else {
        return wrong;
    };
    let Ok(program) = std::env::current_exe() else { return wrong };
    let mut ways: Vec<&str> = comeback::WAYS.iter().copied().filter(|w| way == "all" || way == **w).collect();
    if ways.is_empty() {
        eprintln!("--way {way}: one of {} or all is wanted", comeback::WAYS.join(", "));
        return wrong;
    }
    let mut fault = fault.as_str();
    if let Some((_, _, shows, by)) =
        comeback::PLANTS.iter().find(|(name, ..)| Some(*name) == plant.as_deref())
    {
        (fault, ways) = (shows, vec![*by]);
    }
    let (routers, workers) = (routers as usize, workers as usize);
    let plan = Plan { program, seed, routers, workers, plant, through: None, die: 1, fleet: true };
    let mut broken = false;
    for way in ways {
        let own = std::env::temp_dir().join(format!("applepond-scenarios-{}", std::process::id()));
        let folder = keep.clone().unwrap_or(own.clone());
        let mut progress = |line: &str| {
            if !json {
                eprintln!("{line}");
            }
        };
        let order = comeback::Order { plan: &plan, fault, way };
        let played = comeback::comeback(&order, &folder, &mut progress);
        if keep.is_none() {
            let _ = std::fs::remove_dir_all(&own);
        }
        let r = match played {
            Ok(report) => report,
            Err(why) => {
                crate::told("the drill could not be played: ", &why);
                return wrong;
            }
        };
        broken |= !r.broken.is_empty();
        let planted = comeback::PLANTS.iter().filter(|(_, rule, ..)| r.broken.contains_key(rule));
        let planted: Vec<&str> = planted.map(|(name, ..)| *name).collect();
        let [before, dead, after] = r.service;
        if json {
            println!(
                "{}",
                json!({"seed": seed, "routers": routers, "fault": fault, "way": way, "jobs": r.requests,
                    "before": before, "dead": dead, "after-2s": after, "whole-ms": r.whole,
                    "loads": {"before": r.loads.0, "after": r.loads.1}, "fell": r.fell,
                    "strays": {"all": r.strays.0, "after-grace": r.strays.1},
                    "asks": {"most": r.asks.0, "all": r.asks.1, "part": r.asks_part},
                    "broken": r.broken, "looks-like": planted})
            );
            continue;
        }
        println!("comeback, seed {seed}, {routers} routers, {fault}, from {way}: {} jobs", r.requests);
        println!(
            "  in time: {:.1} % before, {:.1} % while they are dead, {:.1} % in the 2 s after the last start",
            100.0 * before,
            100.0 * dead,
            100.0 * after
        );
        let whole = r.whole.map_or("not within the drill".to_owned(), |ms| format!("after {ms} ms"));
        println!(
            "  service whole again {whole}; {} cold workers fell; {} jobs to a drain, {} after the grace",
            r.fell, r.strays.0, r.strays.1
        );
        println!(
            "  fetches in a tenth of a second at most {} before, {} after; asks to one router {}, in all {}",
            r.loads.0, r.loads.1, r.asks.0, r.asks.1
        );
        for (rule, faults) in &r.broken {
            println!("  BROKEN {} time(s): {rule}", faults.len());
            faults.iter().take(5).for_each(|f| println!("    {f}"));
        }
        if !planted.is_empty() {
            println!("  as with: {}", planted.join(", "));
        }
    }
    ExitCode::from(u8::from(broken))
}

fn openings_drill(which: Which) -> ExitCode {
    let wrong = ExitCode::from(crate::serve::WRONG);
    let Which::Openings { seed, routers, workers, fault, way, plant, json, keep } = which else {
        return wrong;
    };
    let Ok(program) = std::env::current_exe() else { return wrong };
    let (routers, workers) = (routers as usize, workers as usize);
    let plan = Plan { program, seed, routers, workers, plant, through: None, die: 1, fleet: true };
    let mut broken = false;
    for way in openings::WAYS.iter().copied().filter(|w| way == "both" || way == *w) {
        let own = std::env::temp_dir().join(format!("applepond-scenarios-{}", std::process::id()));
        let folder = keep.clone().unwrap_or(own.clone());
        let mut progress = |line: &str| {
            if !json {
                eprintln!("{line}");
            }
        };
        let played =
            openings::openings(&openings::Order { plan: &plan, fault: &fault, way }, &folder, &mut progress);
        if keep.is_none() {
            let _ = std::fs::remove_dir_all(&own);
        }
        let r = match played {
            Ok(report) => report,
            Err(why) => {
                crate::told("the drill could not be played: ", &why);
                return wrong;
            }
        };
        broken |= !r.broken.is_empty();
        let planted = openings::PLANTS.iter().filter(|(_, rule)| r.broken.contains_key(rule));
        let planted: Vec<&str> = planted.map(|(name, _)| *name).collect();
        if json {
            println!(
                "{}",
                json!({"seed": seed, "routers": routers, "fault": fault, "way": way, "jobs": r.requests,
                    "in-time": r.in_time, "preparing-s": r.preparing, "prepared": r.prepared,
                    "pinned": r.pinned, "most-at-one": r.most, "broken": r.broken, "looks-like": planted})
            );
            continue;
        }
        println!("openings, seed {seed}, {routers} routers, {fault}, {way}: {} jobs", r.requests);
        println!(
            "  last 20 s: {:.1} % in time, {:.1} s of preparing for {} openings; {} came with a lease, {} at \
             one worker at most",
            100.0 * r.in_time,
            r.preparing,
            r.prepared,
            r.pinned,
            r.most
        );
        for (rule, faults) in &r.broken {
            println!("  BROKEN {} time(s): {rule}", faults.len());
            faults.iter().take(5).for_each(|f| println!("    {f}"));
        }
        if !planted.is_empty() {
            println!("  as with: {}", planted.join(", "));
        }
    }
    ExitCode::from(u8::from(broken))
}

fn storm_drill(which: Which) -> ExitCode {
    let wrong = ExitCode::from(crate::serve::WRONG);
    let Which::RetryStorm {
        seed,
        clients,
        cut,
        seconds,
        ignore,
        damping,
        after: watched,
        restart,
        rows,
        json,
        chart,
    } = which
    else {
        return wrong;
    };
    if !(0.0..=1.0).contains(&ignore) {
        eprintln!("--ignore {ignore}: a share from 0 to 1 is wanted");
        return wrong;
    }
    let Ok(program) = std::env::current_exe() else { return wrong };
    let plan =
        Plan { program, seed, routers: 3, workers: 12, plant: None, through: None, die: 1, fleet: false };
    let folder = std::env::temp_dir().join(format!("applepond-scenarios-{}", std::process::id()));
    let cut = if cut == "hang" { Cut::Hang } else { Cut::Refuse };
    let plays: &[(&str, bool)] = match damping.as_str() {
        "on" => &[("damping on", true)],
        "off" => &[("damping off", false)],
        _ => &[("damping on", true), ("damping off", false)],
    };
    let mut reports = Vec::new();
    for (name, damping) in plays {
        let damping = *damping;
        let order = Order { plan: &plan, cut, seconds, clients, ignore, damping, after: watched, restart };
        let mut progress = |line: &str| {
            if !json {
                eprintln!("{name}: {line}");
            }
        };
        let played = retry_storm(&order, &folder, &mut progress);
        let _ = std::fs::remove_dir_all(&folder);
        match played {
            Ok(report) if json => {
                println!("{}", storm_json(name, seed, &report));
                reports.push(report);
            }
            Ok(report) => {
                println!("retry storm, seed {seed}, {name}");
                print_storm(&report, rows);
                reports.push(report);
            }
            Err(why) => {
                crate::told("the drill could not be played: ", &why);
                return wrong;
            }
        }
    }
    if let Some(file) = chart {
        let named: Vec<_> = plays.iter().map(|(name, _)| *name).zip(&reports).collect();
        let drawn = applepond_scenarios::chart::draw(&named);
        let written = drawn.and_then(|svg| Ok(std::fs::write(&file, svg)?));
        if let Err(why) = written {
            eprintln!("{}: {why}", file.display());
            return wrong;
        }
    }
    ExitCode::from(u8::from(reports.iter().any(|r| !r.verdict.broken.is_empty())))
}

fn storm_json(name: &str, seed: u64, r: &storm::Report) -> serde_json::Value {
    let got: serde_json::Map<String, serde_json::Value> =
        r.got.iter().map(|(got, n)| (format!("{got:?}"), json!(n))).collect();
    let broken: Vec<_> = r
        .verdict
        .broken
        .iter()
        .map(|(rule, (n, f))| json!({"rule": rule, "times": n, "faults": f}))
        .collect();
    json!({"seed": seed, "play": name, "before": r.before, "recovery_s": r.recovery, "peak": r.peak,
        "pushed_back": r.pushed_back, "fetches": r.fetches, "functions": r.functions,
        "executions_each": {"before": r.attempts.0, "after": r.attempts.1},
        "got": got, "broken": broken, "cut": [r.cut.0, r.cut.1], "seconds": r.seconds})
}

fn print_storm(report: &storm::Report, rows: bool) {
    for (n, (requests, ok, asked)) in report.seconds.iter().enumerate().filter(|_| rows) {
        let at = if n == report.cut.0 {
            "cut"
        } else if n == report.cut.1 {
            "back"
        } else {
            ""
        };
        println!("  {n:>4} s {requests:>5} requests {ok:>5} in time {asked:>6} asked  {at}");
    }
    let recovery = report.recovery.map_or("not seen".to_owned(), |s| format!("{s} s"));
    println!("  service before the cut {:.1} %; recovery after {recovery}", 100.0 * report.before);
    println!(
        "  peak {} asked a second; {} pushed back; {} fetches after the cut for {} functions in use",
        report.peak, report.pushed_back, report.fetches, report.functions
    );
    println!(
        "  attempts begun for each job answered in time: {:.2} before the cut, {:.2} in the 10 s after it",
        report.attempts.0, report.attempts.1
    );
    let got: Vec<String> = report.got.iter().map(|(got, n)| format!("{n} {got:?}")).collect();
    println!("  ends of jobs as clients saw them: {}", got.join(", "));
    print_rules(&report.verdict);
}

fn print_table(report: &Report, seed: u64) {
    println!("\nbad day, seed {seed}");
    println!("  {:>7}  {:>5}  {:>7}  what happened", "from s", "jobs", "in time");
    for (n, (requests, served)) in
        report.windows.iter().enumerate().filter(|(_, (requests, _))| *requests > 0)
    {
        let from = n as u64 * 2_000_000;
        let within = report.story.iter().filter(|(at, _)| (from..from + 2_000_000).contains(at));
        let story: Vec<&str> = within.map(|(_, what)| what.as_str()).collect();
        let part = 100.0 * *served as f64 / *requests as f64;
        println!("  {:>7}  {requests:>5}  {part:>6.1}%  {}", n * 2, story.join("; "));
    }
    let got: Vec<String> = report.got.iter().map(|(got, n)| format!("{n} {got:?}")).collect();
    println!("  ends of jobs as clients saw them: {}", got.join(", "));
    let v = &report.verdict;
    println!(
        "  {} exchanges, {} attempts begun, {} repeats dropped by racks, {} fetches; median {} ms, \
         p99 {} ms",
        v.exchanges,
        v.attempts,
        v.dropped_repeats,
        v.fetches,
        report.took.0 / 1000,
        report.took.1 / 1000
    );
    print_rules(v);
}

/// What was broken, as JSON.
fn faults(v: &Verdict) -> Vec<serde_json::Value> {
    let row = |(rule, (n, f)): (&u8, &(usize, Vec<String>))| json!({"rule": rule, "times": n, "faults": f});
    v.broken.iter().map(row).collect()
}

fn print_rules(v: &Verdict) {
    for (n, rule) in RULES.iter().enumerate() {
        let number = n as u8 + 1;
        match v.broken.get(&number) {
            None => println!("  rule {number}: held: {rule}"),
            Some((times, faults)) => {
                println!("  rule {number}: BROKEN {times} time(s): {rule}");
                faults.iter().for_each(|f| println!("    {f}"));
            }
        }
    }
}

fn print_json(report: &Report, seed: u64) {
    let got: serde_json::Map<String, serde_json::Value> =
        report.got.iter().map(|(got, n)| (format!("{got:?}"), json!(n))).collect();
    let v = &report.verdict;
    let broken = faults(v);
    let all = json!({"seed": seed, "holds": report.holds(), "got": got, "broken": broken,
        "exchanges": v.exchanges, "executions": v.attempts, "fetches": v.fetches,
        "median_us": report.took.0, "p99_us": report.took.1, "windows": report.windows});
    println!("{all}");
}
