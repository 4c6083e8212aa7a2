//! The `fleet` command, which shows the fleet as a running router sees it.
use crate::errors::print_error;
use applepond_fleet::query;
use clap::Subcommand;
use serde_json::Value;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Queries to a running router.
#[derive(Subcommand)]
pub(crate) enum FleetCommand {
    /// Lists the routers that it knows, with their status.
    Members {
        /// Address on which the router listens for events.
        #[arg(long)]
        at: SocketAddr,
        /// Prints the view as one JSON object.
        #[arg(long)]
        json: bool,
    },
}

/// Queries the router and prints its view.
pub(crate) fn run(command: &FleetCommand) -> ExitCode {
    let FleetCommand::Members { at, json } = command;
    match query(*at) {
        Ok(fleet) if *json => println!("{fleet}"),
        Ok(fleet) => print_members(&fleet),
        Err(error) => {
            print_error("", &error);
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn print_members(fleet: &Value) {
    println!("{:<24} {:<12} {:<22} {:<22} {:>8}  lame  by", "name", "zone", "address", "standing", "for s");
    for row in fleet["members"].as_array().into_iter().flatten() {
        let text = |key: &str| row[key].as_str().unwrap_or("").to_owned();
        let by: Vec<&str> = row["by"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
        let seconds = row["for-us"].as_u64().unwrap_or(0) / 1_000_000;
        println!(
            "{:<24} {:<12} {:<22} {:<22} {seconds:>8}  {:<4}  {}",
            text("name"),
            text("zone"),
            text("address"),
            text("standing"),
            text("lame"),
            by.join(",")
        );
    }
    println!("{} live, view {:x}", fleet["live"], fleet["view"].as_u64().unwrap_or(0));
}
