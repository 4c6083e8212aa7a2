//! The `serve` command, which runs one router.
use crate::errors::{USAGE_ERROR, print_error};
use crate::fleet::{self, FaultInjection, FleetParts};
use crate::settings;
use applepond::interface::RetrySafety;
use applepond_gateway::{Deployment, Gateway};
use applepond_membership::MemberStatus;
use applepond_reactor::{Machine, Reactor};
use applepond_scenarios::seeded_bugs::{BuggyMachine, SEEDED_BUGS};
use applepond_storage::DiskStore;
use clap::ValueEnum;
use std::cell::Cell;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Maximum time that one turn of the reactor waits for events.
const MAX_TURN: Duration = Duration::from_secs(1);

/// Format of the log.
#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum LogFormat {
    /// One line of text per event.
    Text,
    /// One JSON object per line.
    Json,
}

/// Command-line options of `serve`.
pub(crate) struct ServeOptions {
    /// The settings file.
    pub(crate) settings: PathBuf,
    /// Overrides the listen address of the settings.
    pub(crate) listen: Option<SocketAddr>,
    pub(crate) log: LogFormat,
    /// Name of a seeded bug to enable in the gateway, for fault-injection scenarios.
    pub(crate) seeded_bug: Option<String>,
    /// Faults to inject into the fleet runtime, for fault-injection scenarios.
    pub(crate) faults: FaultInjection,
}

/// Makes the kernel kill this process when its parent ends, which also covers a parent that is killed and
/// cannot clean up.
pub(crate) fn end_with_parent() {
    let signal = rustix::process::Signal::KILL;
    if let Err(error) = rustix::process::set_parent_process_death_signal(Some(signal)) {
        eprintln!("cannot set the parent-death signal: {error}");
    }
}

/// Serves until the process is asked to shut down.
pub(crate) fn serve(options: &ServeOptions) -> ExitCode {
    run(options).unwrap_or_else(|status| status)
}

/// Sets up the parts of a router in the order of their dependencies, which makes the function long. The error
/// is an exit status as well; its cause has already been printed or logged.
fn run(options: &ServeOptions) -> Result<ExitCode, ExitCode> {
    let mut deployment = settings::read(&options.settings).map_err(ExitCode::from)?;
    deployment.listen = options.listen.unwrap_or(deployment.listen);
    init_log(options.log);
    let mut reactor = Reactor::new().map_err(|error| {
        tracing::error!(%error, "cannot create the epoll instance");
        ExitCode::FAILURE
    })?;
    let store = open_workflow_store(&deployment)?;
    let reload = settings::reload_on_hangup(&options.settings, options.listen).map_err(|error| {
        tracing::error!(%error, "cannot install the SIGHUP handler");
        ExitCode::FAILURE
    })?;
    let fleet = deployment.fleet.as_ref();
    let fleet = fleet.map(|config| fleet::start(config, reactor.now(), &options.faults)).transpose();
    let fleet = fleet.map_err(|error| {
        print_error("", &error);
        ExitCode::from(USAGE_ERROR)
    })?;
    let config_source = match &fleet {
        Some(fleet) => fleet::with_live_count(fleet.view.clone(), deployment.clone(), reload),
        None => reload,
    };
    let is_listening = Rc::new(Cell::new(false));
    let mut gateway = Gateway::new(reactor.now(), deployment, announce(is_listening.clone()))
        .with_config_source(config_source);
    if let Some(fleet) = &fleet {
        gateway = fleet.attach(gateway, &options.faults);
    }
    if let Some(store) = store {
        gateway = gateway.with_workflow_store(store);
    }
    reactor.add(with_seeded_bug(Box::new(gateway), options.seeded_bug.as_deref())?);
    let has_left = match fleet {
        Some(fleet) => leave_on_signal(&mut reactor, fleet)?,
        None => Box::new(|| false),
    };
    if !is_listening.get() {
        return Err(ExitCode::FAILURE);
    }
    turn_until(&mut reactor, &has_left)
}

fn init_log(format: LogFormat) {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match format {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().flatten_event(true).init(),
    }
}

/// Opens the workflow store, if the settings name one.
fn open_workflow_store(deployment: &Deployment) -> Result<Option<Box<DiskStore>>, ExitCode> {
    let Some(file) = &deployment.workflow_store else {
        let mut steps = deployment.workflows.iter().flat_map(|workflow| &workflow.plan.steps);
        if steps.any(|step| step.effect != RetrySafety::Idempotent) {
            tracing::warn!(
                reason = "no-record",
                "workflows with side effects are not recorded; a crash loses them"
            );
        }
        return Ok(None);
    };
    match DiskStore::open(file) {
        Ok(store) => Ok(Some(Box::new(store))),
        Err(error) => {
            print_error("the workflow store cannot be used: ", &error);
            Err(ExitCode::from(USAGE_ERROR))
        }
    }
}

/// Prints the gateway's address once it listens, for the process that started this one.
fn announce(is_listening: Rc<Cell<bool>>) -> Box<dyn FnMut(SocketAddr)> {
    Box::new(move |at| {
        is_listening.set(true);
        println!("listening {at}");
        let _ = std::io::stdout().flush();
    })
}

fn with_seeded_bug(gateway: Box<Gateway>, bug: Option<&str>) -> Result<Box<dyn Machine>, ExitCode> {
    let Some(name) = bug else { return Ok(gateway) };
    match SEEDED_BUGS.iter().find(|(known, _, _)| *known == name) {
        Some((_, bug, _)) => Ok(Box::new(BuggyMachine::new(gateway, *bug))),
        None => {
            eprintln!("--plant {name}: no such seeded bug");
            Err(ExitCode::from(USAGE_ERROR))
        }
    }
}

/// Makes the router leave its fleet on SIGTERM and SIGINT, which would otherwise end the process at once.
/// Returns a function that tells whether it has left.
fn leave_on_signal(reactor: &mut Reactor, fleet: FleetParts) -> Result<Box<dyn Fn() -> bool>, ExitCode> {
    let requested = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        if let Err(error) = signal_hook::flag::register(signal, requested.clone()) {
            tracing::error!(%error, "cannot install the shutdown signal handler");
            return Err(ExitCode::FAILURE);
        }
    }
    let is_shutting_down = Box::new(move || requested.load(Ordering::Relaxed));
    reactor.add(Box::new(fleet.machine.with_shutdown(is_shutting_down)));
    let view = fleet.view;
    Ok(Box::new(move || view.borrow().members.local_record().status == MemberStatus::Left))
}

fn turn_until(reactor: &mut Reactor, has_ended: &dyn Fn() -> bool) -> Result<ExitCode, ExitCode> {
    loop {
        if let Err(error) = reactor.turn(MAX_TURN) {
            tracing::error!(%error, "epoll");
            return Err(ExitCode::FAILURE);
        }
        if has_ended() {
            return Ok(ExitCode::SUCCESS);
        }
    }
}
