//! The program: `applepond serve`, `check`, `standin`, `drill`.
mod drill;
mod fleet;
mod node;
mod serve;
mod standin;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Routes requests to workers that load functions on demand.
#[derive(Parser)]
#[command(name = "applepond", version)]
struct Line {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Runs one router instance.
    Serve {
        /// The instance's settings, HCL.
        #[arg(long)]
        settings: PathBuf,
        /// Listens here instead of where the settings say.
        #[arg(long)]
        listen: Option<std::net::SocketAddr>,
        /// Form of the log on standard error.
        #[arg(long, value_enum, default_value_t = serve::LogForm::Text)]
        log: serve::LogForm,
        /// Breaks a rule on purpose, to prove the auditor of a drill.
        #[arg(long, hide = true)]
        plant: Option<String>,
        /// Sends the datagrams of its fleet through a rig that stands between the routers.
        #[arg(long, hide = true)]
        fleet_through: Option<std::net::SocketAddr>,
        /// What its disks do: late-MS, lies or full.
        #[arg(long, hide = true, value_parser = fleet::disk_fault)]
        disk: Option<applepond_fleet::disk::DiskFault>,
        /// Ends with the process that started it: a drill that is broken off leaves no router behind.
        #[arg(long, hide = true)]
        with_parent: bool,
    },
    /// Runs one real router of the operators' platform, as its environment says.
    Node {
        /// The configuration, JSON.
        #[arg(long, env = "PROXY_CONFIG")]
        config: PathBuf,
    },
    /// Asks a running router of its fleet.
    Fleet {
        #[command(subcommand)]
        what: fleet::What,
    },
    /// Reads settings and reports every fault by line and column.
    Check { file: PathBuf },
    /// Runs a stand-in of an outside system, for trying things out by hand.
    Standin {
        #[command(subcommand)]
        which: standin::Which,
    },
    /// Plays a scripted day against a fleet on loopback and judges it.
    Drill {
        #[command(subcommand)]
        which: drill::Which,
    },
}

/// An error as an operator reads it: what happened, and what to do about it.
fn told(what: &str, error: &dyn miette::Diagnostic) {
    eprintln!("{what}{error}");
    if let Some(help) = error.help() {
        let code = error.code().map_or(String::new(), |c| format!(" ({c})"));
        eprintln!("  what to do{code}: {help}");
    }
}

fn main() -> ExitCode {
    match Line::parse().what {
        What::Serve { settings, listen, log, plant, fleet_through, disk, with_parent } => {
            if with_parent {
                serve::end_with_parent();
            }
            let guard = plant.as_deref().and_then(applepond_membership::Safeguards::without);
            let guards = guard.unwrap_or(applepond_membership::Safeguards::ALL);
            let comeback = fleet::Return::without(plant.as_deref());
            let lone = plant.as_deref() == Some("lone-voter-pins");
            let openings = applepond_fleet::PrefixGuards { several: !lone };
            let taken = guard.is_some() || comeback.is_some() || lone;
            let comeback = comeback.unwrap_or(fleet::Return::ALL);
            let rig = fleet::Rig {
                through: fleet_through,
                guards,
                disk: disk.unwrap_or_default(),
                comeback,
                openings,
            };
            serve::serve(&settings, listen, log, plant.as_deref().filter(|_| !taken), &rig)
        }
        What::Node { config } => node::node(config),
        What::Fleet { what } => fleet::run(what),
        What::Check { file } => serve::check(&file),
        What::Standin { which } => standin::run(which),
        What::Drill { which } => drill::run(which),
    }
}
