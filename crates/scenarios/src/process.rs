//! Starts routers as separate processes.
use crate::errors::ScenarioError;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// Parameters of a scenario: its routers, its workers and the seed.
#[derive(Clone)]
pub struct Setup {
    /// The router program; it is started with `serve --settings FILE`.
    pub program: PathBuf,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Number of routers.
    pub routers: usize,
    /// Number of workers.
    pub workers: usize,
    /// Name of the bug that is seeded into each router.
    pub seeded_bug: Option<String>,
    /// Proxy to which the routers of a fleet send their datagrams instead of directly to each other.
    pub proxy: Option<SocketAddr>,
    /// Number of routers that the bad day kills and restarts.
    pub dying_routers: usize,
    /// Whether the routers of the bad day form a fleet and so learn of each other's outages.
    pub fleet: bool,
}

/// A router process. Dropping this value kills it.
pub struct Router {
    /// The process.
    pub child: Child,
    /// Its settings file.
    pub settings: PathBuf,
    /// Address on which it listens for clients.
    pub address: SocketAddr,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a router and waits until it is listening.
///
/// # Errors
/// Returns an error if the program or the log file cannot be opened or the router does not start listening.
pub fn start(setup: &Setup, settings: PathBuf) -> Result<Router, ScenarioError> {
    let mut command = Command::new(&setup.program);
    command.arg("serve").arg("--settings").arg(&settings).args(["--log", "json", "--with-parent"]);
    if let Some(bug) = &setup.seeded_bug {
        command.arg("--plant").arg(bug);
    }
    if let Some(proxy) = setup.proxy {
        command.arg("--fleet-through").arg(proxy.to_string());
    }
    let log = std::fs::OpenOptions::new().append(true).create(true).open(settings.with_extension("log"));
    let log = log.map_err(|error| ScenarioError::machine(settings.display(), error))?;
    let child = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log).spawn();
    let mut child = child.map_err(|error| ScenarioError::machine(setup.program.display(), error))?;
    let mut line = String::new();
    let read = child.stdout.take().map(|out| BufReader::new(out).read_line(&mut line));
    let address = line.trim().strip_prefix("listening ").and_then(|address| address.parse().ok());
    let router = |address| Router { child, settings: settings.clone(), address };
    match address {
        Some(address) => Ok(router(address)),
        None => {
            drop(router(SocketAddr::from(([127, 0, 0, 1], 0))));
            Err(ScenarioError::NotStarted(format!("{}: {read:?}", settings.display())))
        }
    }
}
