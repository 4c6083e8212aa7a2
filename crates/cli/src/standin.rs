//! `standin`: one stand-in by hand.
use applepond_fakes::hosts::{Hosts, Row};
use applepond_fakes::ledger::Ledger;
use applepond_fakes::store::Store;
use applepond_fakes::worker::{Build, Mood, Turn, Worker};
use applepond_reactor::{Machine, Micros, Reactor};
use clap::Subcommand;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

#[derive(Subcommand)]
pub enum Which {
    /// A worker that loads functions on demand and answers with a price.
    Worker {
        #[arg(long)]
        listen: SocketAddr,
        #[arg(long, default_value = "worker")]
        name: String,
        #[arg(long, default_value_t = 2)]
        cores: usize,
        #[arg(long, default_value_t = 8000)]
        memory_mb: u64,
        /// ms that a load takes beside its fetch.
        #[arg(long, default_value_t = 200)]
        load_ms: u64,
        /// The model store to fetch from; without it a load takes no fetch.
        #[arg(long)]
        store: Option<SocketAddr>,
        /// Misbehaves from the start: fail-fast, hang, stall, cut-answers, garbage, no-handshakes,
        /// refuse-all, two-answers. While it runs, `POST /-/mood?NAME` changes it; `well` mends it.
        #[arg(long)]
        mood: Option<String>,
    },
    /// A model store. `POST /-/stop?MS` stops it for so many ms.
    Store {
        #[arg(long)]
        listen: SocketAddr,
        #[arg(long, default_value_t = 150)]
        fetch_ms: u64,
        /// Fetches at a time; more are turned away.
        #[arg(long, default_value_t = 16)]
        most: usize,
    },
    /// A host list that names the given workers ready. `POST /-/standing?NAME=draining` changes one.
    Hosts {
        #[arg(long)]
        listen: SocketAddr,
        /// NAME=ADDRESS, once for each worker.
        #[arg(long = "worker")]
        workers: Vec<String>,
    },
}

pub fn run(which: Which) -> ExitCode {
    let machine = match machine(which) {
        Ok(machine) => machine,
        Err(why) => {
            eprintln!("{why}");
            return ExitCode::from(crate::serve::WRONG);
        }
    };
    let Ok(mut reactor) = Reactor::new() else { return ExitCode::FAILURE };
    reactor.add(machine);
    while reactor.turn(Duration::from_secs(1)).is_ok() {}
    ExitCode::FAILURE
}

fn wrong(what: String) -> clap::Error {
    clap::Error::raw(clap::error::ErrorKind::InvalidValue, what + "\n")
}

fn machine(which: Which) -> Result<Box<dyn Machine>, clap::Error> {
    const MS: Micros = 1000;
    let ledger = Ledger::default();
    Ok(match which {
        Which::Worker { listen, name, cores, memory_mb, load_ms, store, mood: named } => {
            let build = Build {
                name: Rc::from(name),
                listen,
                rack: 0,
                cores,
                memory_mb,
                queue: 64,
                store,
                load: load_ms * MS,
                keep: 10_000 * MS,
                cold_share: 1.0,
                warm_within: 0,
                fall_multiple: f64::INFINITY,
                fall_span: 1000 * MS,
                window: 3000 * MS,
                seed: 1,
                openings: 400,
                prepare: 1_000,
            };
            let script = match named {
                None => Vec::new(),
                Some(n) => {
                    let mood = Mood::named(&n).ok_or_else(|| wrong(format!("--mood {n}: no such mood")))?;
                    vec![(0, Turn::Mood(mood))]
                }
            };
            Box::new(Worker::new(build, script, ledger, Rc::default()))
        }
        Which::Store { listen, fetch_ms, most } => Box::new(Store::new(listen, fetch_ms * MS, most, ledger)),
        Which::Hosts { listen, workers } => {
            let row = |text: &String| {
                let (name, address) = text.split_once('=')?;
                Some(Row {
                    name: Rc::from(name),
                    address: address.parse().ok()?,
                    standing: "ready",
                    started: 0,
                    zone: String::new(),
                    rack: 0,
                    weight: 1.0,
                })
            };
            let rows = workers
                .iter()
                .map(|w| row(w).ok_or_else(|| wrong(format!("--worker {w}: NAME=ADDRESS is wanted"))));
            Box::new(Hosts::new(listen, rows.collect::<Result<_, _>>()?, Vec::new(), ledger))
        }
    })
}
