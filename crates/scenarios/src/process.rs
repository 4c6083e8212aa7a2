//! A router as a process of its own, as every drill starts it.
use crate::fault::Unplayed;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

#[derive(Clone)]
pub struct Plan {
    /// The program that serves; it takes `serve --settings FILE`.
    pub program: PathBuf,
    pub seed: u64,
    pub routers: usize,
    pub workers: usize,
    /// Name of a fault that each router is to plant.
    pub plant: Option<String>,
    /// Where the routers of a fleet send their datagrams, instead of to each other.
    pub through: Option<SocketAddr>,
    /// Routers of the bad day that die and come back, and whether the others learn of it.
    pub die: usize,
    pub fleet: bool,
}

/// A router's process; ended when dropped.
pub struct Router {
    pub child: Child,
    pub settings: PathBuf,
    pub at: SocketAddr,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn start(plan: &Plan, settings: PathBuf) -> Result<Router, Unplayed> {
    let mut command = Command::new(&plan.program);
    command.arg("serve").arg("--settings").arg(&settings).args(["--log", "json", "--with-parent"]);
    if let Some(plant) = &plan.plant {
        command.arg("--plant").arg(plant);
    }
    if let Some(rig) = plan.through {
        command.arg("--fleet-through").arg(rig.to_string());
    }
    let log = std::fs::OpenOptions::new().append(true).create(true).open(settings.with_extension("log"));
    let log = log.map_err(|e| Unplayed::machine(settings.display(), e))?;
    let child = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log).spawn();
    let mut child = child.map_err(|e| Unplayed::machine(plan.program.display(), e))?;
    let mut line = String::new();
    let read = child.stdout.take().map(|out| BufReader::new(out).read_line(&mut line));
    let at = line.trim().strip_prefix("listening ").and_then(|a| a.parse().ok());
    let router = |at| Router { child, settings: settings.clone(), at };
    match at {
        Some(at) => Ok(router(at)),
        None => {
            drop(router(SocketAddr::from(([127, 0, 0, 1], 0))));
            Err(Unplayed::NotStarted(format!("{}: {read:?}", settings.display())))
        }
    }
}
