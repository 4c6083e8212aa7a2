//! The program `applepond`: runs a router, checks settings, and runs test doubles and fault-injection
//! scenarios.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod errors;
mod fakes;
mod fleet;
mod node;
mod scenario;
mod serve;
mod settings;

use applepond_fleet::disk::DiskFault;
use clap::{Parser, Subcommand};
use fleet::FaultInjection;
use serve::{LogFormat, ServeOptions};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Routes requests to workers that load functions on demand.
#[derive(Parser)]
#[command(name = "applepond", version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one router instance.
    Serve {
        /// The instance's settings, HCL.
        #[arg(long)]
        settings: PathBuf,
        /// Listens here instead of where the settings say.
        #[arg(long)]
        listen: Option<SocketAddr>,
        /// Form of the log on standard error.
        #[arg(long, value_enum, default_value_t = LogFormat::Text)]
        log: LogFormat,
        /// Breaks a rule on purpose, to prove the auditor of a drill.
        #[arg(long, hide = true)]
        plant: Option<String>,
        /// Sends the datagrams of its fleet through a rig that stands between the routers.
        #[arg(long, hide = true)]
        fleet_through: Option<SocketAddr>,
        /// What its disks do: late-MS, lies or full.
        #[arg(long, hide = true, value_parser = fleet::disk_fault)]
        disk: Option<DiskFault>,
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
        command: fleet::FleetCommand,
    },
    /// Reads settings and reports every fault by line and column.
    Check { file: PathBuf },
    /// Runs a stand-in of an outside system, for trying things out by hand.
    Standin {
        #[command(subcommand)]
        fake: fakes::Fake,
    },
    /// Plays a scripted day against a fleet on loopback and judges it.
    Drill {
        #[command(subcommand)]
        scenario: scenario::Scenario,
    },
}

fn main() -> ExitCode {
    match CommandLine::parse().command {
        Command::Serve { settings, listen, log, plant, fleet_through, disk, with_parent } => {
            if with_parent {
                serve::end_with_parent();
            }
            let faults = FaultInjection::new(plant.as_deref(), fleet_through, disk.unwrap_or_default());
            // A seeded bug of the fleet is not one of the gateway as well.
            let seeded_bug = plant.filter(|_| !faults.has_seeded_bug());
            serve::serve(&ServeOptions { settings, listen, log, seeded_bug, faults })
        }
        Command::Node { config } => node::node(config),
        Command::Fleet { command } => fleet::run(&command),
        Command::Check { file } => settings::check(&file),
        Command::Standin { fake } => fakes::run(fake),
        Command::Drill { scenario } => scenario::run(scenario),
    }
}
