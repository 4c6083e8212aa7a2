//! A router as a process of its own, as every scenario starts it.
use crate::errors::ScenarioError;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// The routers of a scenario.
#[derive(Clone)]
pub struct Setup {
    /// The program that serves; it takes `serve --settings FILE`.
    pub program: PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
    /// How many routers run.
    pub routers: usize,
    /// How many workers run.
    pub workers: usize,
    /// Name of a bug that each router is to have.
    pub seeded_bug: Option<String>,
    /// Where the routers of a fleet send their datagrams, instead of to each other.
    pub proxy: Option<SocketAddr>,
    /// Routers of the bad day that die and are restarted.
    pub dying_routers: usize,
    /// Whether the routers of the bad day are a fleet, so that the others learn of it.
    pub fleet: bool,
}

/// A router's process, which is killed when this is dropped.
pub struct Router {
    /// The process.
    pub child: Child,
    /// Its settings file.
    pub settings: PathBuf,
    /// Where it listens for clients.
    pub at: SocketAddr,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a router and waits until it listens.
///
/// # Errors
/// Its program, its log or its port cannot be had.
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
    let at = line.trim().strip_prefix("listening ").and_then(|address| address.parse().ok());
    let router = |at| Router { child, settings: settings.clone(), at };
    match at {
        Some(at) => Ok(router(at)),
        None => {
            drop(router(SocketAddr::from(([127, 0, 0, 1], 0))));
            Err(ScenarioError::NotStarted(format!("{}: {read:?}", settings.display())))
        }
    }
}
