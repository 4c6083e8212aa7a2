//! The `applepond` program: runs routers, checks settings, and runs test doubles and fault-injection
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
    /// Runs one router.
    Serve {
        /// Settings file, in HCL.
        #[arg(long)]
        settings: PathBuf,
        /// Overrides the listen address of the settings.
        #[arg(long)]
        listen: Option<SocketAddr>,
        /// Format of the log on standard error.
        #[arg(long, value_enum, default_value_t = LogFormat::Text)]
        log: LogFormat,
        /// Enables a seeded bug, to verify that a scenario detects it.
        #[arg(long, hide = true)]
        plant: Option<String>,
        /// Sends all fleet datagrams to this proxy, which forwards them and injects network faults.
        #[arg(long, hide = true)]
        fleet_through: Option<SocketAddr>,
        /// Disk fault to inject: late-MS, lies or full.
        #[arg(long, hide = true, value_parser = fleet::disk_fault)]
        disk: Option<DiskFault>,
        /// Ends with its parent process, so that an interrupted scenario leaves no router running.
        #[arg(long, hide = true)]
        with_parent: bool,
    },
    /// Runs one router of the operators' platform, configured through its environment.
    Node {
        /// Configuration file, in JSON.
        #[arg(long, env = "PROXY_CONFIG")]
        config: PathBuf,
    },
    /// Shows the fleet as a running router sees it.
    Fleet {
        #[command(subcommand)]
        command: fleet::FleetCommand,
    },
    /// Checks a settings file and reports every error by line and column.
    Check { file: PathBuf },
    /// Runs a test double of an external system, for manual testing.
    Standin {
        #[command(subcommand)]
        fake: fakes::Fake,
    },
    /// Runs a fault-injection scenario against a fleet on loopback and checks its rules.
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
            // The name belongs to either the fleet or the gateway.
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
