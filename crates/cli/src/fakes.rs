//! The `standin` command, which runs a test double of an external system for manual testing.
use crate::errors::USAGE_ERROR;
use applepond_fakes::endpoint_list::{Endpoint, EndpointList};
use applepond_fakes::ledger::Ledger;
use applepond_fakes::store::Store;
use applepond_fakes::worker::{Behaviour, ScriptEvent, Worker, WorkerConfig};
use applepond_reactor::{Machine, Micros, Reactor};
use clap::Subcommand;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

const MS: Micros = 1_000;

/// The available test doubles.
#[derive(Subcommand)]
pub(crate) enum Fake {
    /// A worker that loads functions on demand and responds with a price.
    Worker {
        #[arg(long)]
        listen: SocketAddr,
        #[arg(long, default_value = "worker")]
        name: String,
        #[arg(long, default_value_t = 2)]
        cores: usize,
        #[arg(long, default_value_t = 8000)]
        memory_mb: u64,
        /// Time in ms that loading a function takes in addition to fetching it.
        #[arg(long, default_value_t = 200)]
        load_ms: u64,
        /// Address of the model store; without it, functions load without a fetch.
        #[arg(long)]
        store: Option<SocketAddr>,
        /// Initial misbehaviour: fail-fast, hang, stall, cut-answers, garbage, no-handshakes, refuse-all or
        /// two-answers. `POST /-/mood?NAME` changes it at run time; `well` restores normal operation.
        #[arg(long)]
        mood: Option<String>,
    },
    /// A model store. `POST /-/stop?MS` stops it for that many ms.
    Store {
        #[arg(long)]
        listen: SocketAddr,
        #[arg(long, default_value_t = 150)]
        fetch_ms: u64,
        /// Maximum number of concurrent fetches; further ones are rejected.
        #[arg(long, default_value_t = 16)]
        most: usize,
    },
    /// An endpoint list that reports the given workers as ready. `POST /-/standing?NAME=draining` changes the
    /// status of one.
    Hosts {
        #[arg(long)]
        listen: SocketAddr,
        /// NAME=ADDRESS of a worker; may be repeated.
        #[arg(long = "worker")]
        workers: Vec<String>,
    },
}

/// Runs a test double until the process is killed.
pub(crate) fn run(fake: Fake) -> ExitCode {
    let machine = match machine(fake) {
        Ok(machine) => machine,
        Err(why) => {
            eprintln!("{why}");
            return ExitCode::from(USAGE_ERROR);
        }
    };
    let Ok(mut reactor) = Reactor::new() else { return ExitCode::FAILURE };
    reactor.add(machine);
    while reactor.turn(Duration::from_secs(1)).is_ok() {}
    ExitCode::FAILURE
}

fn invalid_value(message: String) -> clap::Error {
    clap::Error::raw(clap::error::ErrorKind::InvalidValue, message + "\n")
}

fn machine(fake: Fake) -> Result<Box<dyn Machine>, clap::Error> {
    let ledger = Ledger::default();
    Ok(match fake {
        Fake::Worker { listen, name, cores, memory_mb, load_ms, store, mood } => {
            let mut config = worker_config(name, listen, store);
            (config.cores, config.memory_mb, config.load_time) = (cores, memory_mb, load_ms * MS);
            let script = mood.map(|name| initial_behaviour(&name)).transpose()?;
            Box::new(Worker::new(config, script.into_iter().collect(), ledger, Rc::default()))
        }
        Fake::Store { listen, fetch_ms, most } => Box::new(Store::new(listen, fetch_ms * MS, most, ledger)),
        Fake::Hosts { listen, workers } => {
            let rows: Result<Vec<Endpoint>, clap::Error> =
                workers.iter().map(|text| host_row(text)).collect();
            Box::new(EndpointList::new(listen, rows?, Vec::new(), ledger))
        }
    })
}

/// Returns the build of a worker that is warm at once and never overloaded, with the command-line defaults.
fn worker_config(name: String, listen: SocketAddr, store: Option<SocketAddr>) -> WorkerConfig {
    WorkerConfig {
        name: Rc::from(name),
        listen,
        rack: 0,
        cores: 2,
        memory_mb: 8_000,
        max_waiting: 64,
        store,
        load_time: 200 * MS,
        idle_unload_time: 10_000 * MS,
        cold_share: 1.0,
        warmup_time: 0,
        overload_factor: f64::INFINITY,
        overload_window: 1000 * MS,
        dedup_window: 3000 * MS,
        seed: 1,
        prefix_units: 400,
        prepare_time_per_unit: 1_000,
    }
}

fn initial_behaviour(name: &str) -> Result<(Micros, ScriptEvent), clap::Error> {
    let behaviour =
        Behaviour::from_name(name).ok_or_else(|| invalid_value(format!("--mood {name}: no such mood")))?;
    Ok((0, ScriptEvent::SetBehaviour(behaviour)))
}

/// Parses NAME=ADDRESS into a row of the endpoint list.
fn host_row(text: &str) -> Result<Endpoint, clap::Error> {
    let invalid = || invalid_value(format!("--worker {text}: expected NAME=ADDRESS"));
    let (name, address) = text.split_once('=').ok_or_else(invalid)?;
    Ok(Endpoint {
        name: Rc::from(name),
        address: address.parse().map_err(|_| invalid())?,
        status: "ready",
        started_ms: 0,
        zone: String::new(),
        rack: 0,
        weight: 1.0,
    })
}
