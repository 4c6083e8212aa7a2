//! `serve` and `check`.
use crate::fleet;
use applepond::interface::RetrySafety;
use applepond_gateway::errors::ReloadError;
use applepond_gateway::{ConfigSource, Deployment, Gateway};
use applepond_membership::MemberStatus;
use applepond_reactor::{Machine, Reactor};
use applepond_scenarios::saboteur::{PLANTS, Saboteur};
use applepond_storage::DiskStore;
use clap::ValueEnum;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Longest wait of one turn: nothing but events ends it earlier.
const TURN: Duration = Duration::from_secs(1);
/// Exit status for settings or words of the command line that are wrong.
pub const WRONG: u8 = 2;

#[derive(Clone, Copy, ValueEnum)]
pub enum LogForm {
    /// A line of text an event.
    Text,
    /// A JSON object a line.
    Json,
}

fn read(file: &Path) -> Result<Deployment, u8> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        eprintln!("{}: {error}", file.display());
        WRONG
    })?;
    applepond_settings::deployment(&text).map_err(|faults| {
        for fault in &faults {
            eprintln!("{}:{fault}", file.display());
        }
        eprintln!("{}: {} fault(s)", file.display(), faults.len());
        WRONG
    })
}

/// Has the kernel end this process when its parent ends. A parent that is killed outright cannot do it.
pub fn end_with_parent() {
    let signal = rustix::process::Signal::KILL;
    if let Err(error) = rustix::process::set_parent_process_death_signal(Some(signal)) {
        eprintln!("cannot be tied to the parent process: {error}");
    }
}

pub fn check(file: &Path) -> ExitCode {
    match read(file) {
        Ok(d) => {
            let (workloads, workers) = (d.workloads.len(), d.workers.len());
            let chains = d.workflows.len();
            let hosts =
                d.endpoint_list.map_or("no host list".to_owned(), |at| format!("the host list at {at}"));
            let file = file.display();
            println!(
                "{file}: good; {workloads} workload(s), {chains} chain(s), {workers} worker(s), {hosts}"
            );
            ExitCode::SUCCESS
        }
        Err(status) => ExitCode::from(status),
    }
}

/// Reads the settings file again after a SIGHUP; a file with faults is told and changes nothing.
fn asked_for_news(file: &Path, listen: Option<SocketAddr>) -> std::io::Result<ConfigSource> {
    let asked = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGHUP, asked.clone())?;
    let file = file.to_owned();
    Ok(Box::new(move || {
        if !asked.swap(false, Ordering::Relaxed) {
            return None;
        }
        let new = read(&file).map_err(|_| ReloadError::InvalidFile);
        Some(new.map(|new| Deployment { listen: listen.unwrap_or(new.listen), ..new }))
    }))
}

pub fn serve(
    file: &Path,
    listen: Option<SocketAddr>,
    log: LogForm,
    plant: Option<&str>,
    rig: &fleet::Rig,
) -> ExitCode {
    let mut deployment = match read(file) {
        Ok(deployment) => deployment,
        Err(status) => return ExitCode::from(status),
    };
    deployment.listen = listen.unwrap_or(deployment.listen);
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match log {
        LogForm::Text => lines.init(),
        LogForm::Json => lines.json().flatten_event(true).init(),
    }
    let mut reactor = match Reactor::new() {
        Ok(reactor) => reactor,
        Err(error) => {
            tracing::error!(%error, "no epoll instance");
            return ExitCode::FAILURE;
        }
    };
    let heard = std::rc::Rc::new(std::cell::Cell::new(false));
    let listening = heard.clone();
    let told = Box::new(move |at: SocketAddr| {
        listening.set(true);
        println!("listening {at}");
        let _ = std::io::stdout().flush();
    });
    let lasts = |d: &Deployment| {
        d.workflows.iter().flat_map(|c| &c.plan.steps).any(|s| s.effect != RetrySafety::Idempotent)
    };
    let record = match &deployment.workflow_store {
        Some(file) => match DiskStore::open(file) {
            Ok(disk) => Some(Box::new(disk)),
            Err(why) => {
                crate::told("the record of chains cannot be used: ", &why);
                return ExitCode::from(WRONG);
            }
        },
        None if lasts(&deployment) => {
            tracing::warn!(reason = "no-record", "chains with effects are not recorded: a kill forgets them");
            None
        }
        None => None,
    };
    let news = match asked_for_news(file, listen) {
        Ok(news) => news,
        Err(error) => {
            tracing::error!(%error, "SIGHUP cannot be waited for");
            return ExitCode::FAILURE;
        }
    };
    let fleet = match deployment.fleet.as_ref().map(|row| fleet::of(row, reactor.now(), rig)) {
        Some(Ok(fleet)) => Some(fleet),
        Some(Err(why)) => {
            crate::told("", &why);
            return ExitCode::from(WRONG);
        }
        None => None,
    };
    let news = match &fleet {
        Some((_, view, _)) => fleet::counted(view.clone(), deployment.clone(), news),
        None => news,
    };
    let gateway = Gateway::new(reactor.now(), deployment, told).with_config_source(news);
    let gateway = match &fleet {
        Some((_, view, memory)) => gateway
            .with_status_section("fleet", fleet::shown(view.clone()))
            .with_history(Box::new(fleet::Shelf(memory.clone(), rig.comeback)))
            .with_prefix_tracker(Box::new(fleet::Counter(view.clone()))),
        None => gateway,
    };
    let gateway = match record {
        Some(record) => Box::new(gateway.with_workflow_store(record)),
        None => Box::new(gateway),
    };
    let machine: Box<dyn Machine> = match plant {
        None => gateway,
        Some(name) => match PLANTS.iter().find(|(known, _, _)| *known == name) {
            Some((_, plant, _)) => Box::new(Saboteur::new(gateway, *plant)),
            None => {
                eprintln!("--plant {name}: no such fault");
                return ExitCode::from(WRONG);
            }
        },
    };
    reactor.add(machine);
    // A word to the others before the end, where there are any; else a signal ends the process by itself.
    let mut left: Box<dyn Fn() -> bool> = Box::new(|| false);
    if let Some((fleet, view, _)) = fleet {
        let asked = Arc::new(AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
            if let Err(error) = signal_hook::flag::register(signal, asked.clone()) {
                tracing::error!(%error, "SIGTERM cannot be waited for");
                return ExitCode::FAILURE;
            }
        }
        reactor.add(Box::new(fleet.with_end(Box::new(move || asked.load(Ordering::Relaxed)))));
        left = Box::new(move || view.borrow().members.local_record().status == MemberStatus::Left);
    }
    if !heard.get() {
        return ExitCode::FAILURE;
    }
    loop {
        if let Err(error) = reactor.turn(TURN) {
            tracing::error!(%error, "epoll");
            return ExitCode::FAILURE;
        }
        if left() {
            return ExitCode::SUCCESS;
        }
    }
}
