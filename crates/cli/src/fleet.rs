//! `fleet`: what a running router says of its fleet, and that part of `serve`.
use applepond_fleet::envelope::Key;
use applepond_fleet::{Fleet, View, ask, page};
use applepond_gateway::deployment::FleetRow;
use applepond_gateway::switch::merge;
use applepond_gateway::{Deployment, News, Page};
use applepond_members::{Count, Guards};
use applepond_reactor::Micros;
use clap::Subcommand;
use serde_json::Value;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;

#[derive(Subcommand)]
pub enum What {
    /// The routers that it knows, and what it takes them for.
    Members {
        /// Where the router listens for events.
        #[arg(long)]
        at: SocketAddr,
        /// Prints its view as one JSON object.
        #[arg(long)]
        json: bool,
    },
}

pub fn run(what: What) -> ExitCode {
    let What::Members { at, json } = what;
    let fleet = match ask(at) {
        Ok(fleet) => fleet,
        Err(why) => {
            eprintln!("{why}");
            return ExitCode::FAILURE;
        }
    };
    if json {
        println!("{fleet}");
        return ExitCode::SUCCESS;
    }
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
    ExitCode::SUCCESS
}

fn keys(row: &FleetRow) -> Result<Vec<Key>, String> {
    let key = |file: &std::path::PathBuf| {
        let secret = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
        let short = || format!("{}: a key of 16 bytes at least is wanted", file.display());
        Key::from_secret(&secret).ok_or_else(short)
    };
    row.key_files.iter().map(key).collect()
}

/// What a rig does to the fleet's part of a process: its datagrams go there, a guard is taken out.
pub struct Rig {
    pub through: Option<SocketAddr>,
    pub guards: Guards,
}

/// The machine of a `fleet` block and what others of the process look at; an error names the file at fault.
pub fn of(row: &FleetRow, now: Micros, rig: &Rig) -> Result<(Fleet, Rc<RefCell<View>>), String> {
    let seed = getrandom::u64().map_err(|e| format!("no random numbers: {e}"))?;
    let who = (row.name.clone(), row.zone.clone(), row.listen);
    Ok(Fleet::new(now, who, row.seeds.clone(), keys(row)?, seed, (rig.through, rig.guards)))
}

/// The view as a part of the state page.
pub fn shown(view: Rc<RefCell<View>>) -> Page {
    Box::new(move |now| page(&view.borrow(), now))
}

/// The live count as new settings, by the same way as those of the file. With those of a file come its seeds
/// and keys; where a key cannot be read, or another part needs a restart, nothing of the file is taken.
pub fn counted(view: Rc<RefCell<View>>, mut held: Deployment, mut news: News) -> News {
    let begun = Instant::now();
    let mut count = Count::new(held.rows.routers as usize);
    Box::new(move || {
        let mut told = false;
        match news() {
            None => {}
            Some(Err(why)) => return Some(Err(why)),
            // What cannot be merged is refused by the gateway in its own words.
            Some(Ok(new)) => match merge(&held, new.clone()) {
                Err(_) => return Some(Ok(new)),
                Ok(merged) => {
                    if let Some(row) = &merged.fleet {
                        match keys(row) {
                            Ok(keys) => view.borrow_mut().renew(row.seeds.clone(), keys),
                            Err(why) => return Some(Err(why)),
                        }
                    }
                    held = merged;
                    told = true;
                }
            },
        }
        let was = held.rows.routers;
        let live = view.borrow().members.live();
        held.rows.routers = count.look(begun.elapsed().as_micros() as Micros, live) as u64;
        (told || was != held.rows.routers).then(|| Ok(held.clone()))
    })
}
