//! `fleet`: what a running router says of its fleet, and that part of `serve`.
use applepond_fleet::envelope::Key;
use applepond_fleet::{Fleet, View, page};
use applepond_gateway::deployment::FleetRow;
use applepond_gateway::{Deployment, News, Page};
use applepond_members::Count;
use applepond_reactor::Micros;
use clap::Subcommand;
use serde_json::Value;
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a router that is asked may take to answer.
const PATIENCE: Duration = Duration::from_secs(5);

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

/// The `fleet` part of a router's state page.
fn ask(at: SocketAddr) -> Result<Value, String> {
    let told = |e: std::io::Error| format!("{at}: {e}");
    let mut conn = TcpStream::connect_timeout(&at, PATIENCE).map_err(told)?;
    conn.set_read_timeout(Some(PATIENCE)).map_err(told)?;
    let request = format!("GET /-/state HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
    conn.write_all(request.as_bytes()).map_err(told)?;
    let mut answer = String::new();
    conn.read_to_string(&mut answer).map_err(told)?;
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let page: Value = serde_json::from_str(body).map_err(|e| format!("{at}: no state page: {e}"))?;
    match &page["fleet"] {
        Value::Null => Err(format!("{at}: this router's settings have no fleet block")),
        fleet => Ok(fleet.clone()),
    }
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

/// The machine of a `fleet` block and what others of the process look at; an error names the file at fault.
pub fn of(
    row: &FleetRow,
    now: Micros,
    through: Option<SocketAddr>,
) -> Result<(Fleet, Rc<RefCell<View>>), String> {
    let key = |file: &std::path::PathBuf| {
        let secret = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
        let short = || format!("{}: a key of 16 bytes at least is wanted", file.display());
        Key::from_secret(&secret).ok_or_else(short)
    };
    let keys = row.key_files.iter().map(key).collect::<Result<Vec<_>, _>>()?;
    let seed = getrandom::u64().map_err(|e| format!("no random numbers: {e}"))?;
    let who = (row.name.clone(), row.zone.clone(), row.listen);
    Ok(Fleet::new(now, who, row.seeds.clone(), keys, seed, through))
}

/// The view as a part of the state page.
pub fn shown(view: Rc<RefCell<View>>) -> Page {
    Box::new(move |now| page(&view.borrow(), now))
}

/// The live count as new settings, by the same way as those of the file.
pub fn counted(view: Rc<RefCell<View>>, mut held: Deployment, mut news: News) -> News {
    let begun = Instant::now();
    let mut count = Count::new(held.rows.routers as usize);
    Box::new(move || {
        let file = news();
        let told = match &file {
            Some(Ok(new)) => {
                held = new.clone();
                true
            }
            Some(Err(_)) => return file,
            None => false,
        };
        let was = held.rows.routers;
        let live = view.borrow().members.live();
        held.rows.routers = count.look(begun.elapsed().as_micros() as Micros, live) as u64;
        (told || was != held.rows.routers).then(|| Ok(held.clone()))
    })
}
