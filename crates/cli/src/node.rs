//! The `node` command, which runs one router of the operators' platform.
use crate::errors::{USAGE_ERROR, print_error};
use applepond_node::{ExitReason, Node, ProcessEvent};
use applepond_platform::config::{self, NodeConfig};
use applepond_platform::errors::InputError;
use applepond_reactor::Reactor;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Maximum time that one turn of the reactor waits for events; the machine's own timer ends it earlier.
const MAX_TURN: Duration = Duration::from_secs(1);

/// Reads the configuration file.
fn read(file: &Path) -> Result<NodeConfig, InputError> {
    let unread = |error: std::io::Error| InputError::FileUnreadable {
        file: file.to_owned(),
        reason: error.to_string(),
    };
    let text = std::fs::read(file).map_err(unread)?;
    config::start(&text).map_err(|why| why.in_context(file.display()))
}

/// Installs signal handlers. Returns a function that yields the next event signalled since its last call.
fn install_signal_handlers(file: PathBuf) -> std::io::Result<Box<dyn FnMut() -> Option<ProcessEvent>>> {
    let (reload, shut_down) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    signal_hook::flag::register(SIGHUP, reload.clone())?;
    signal_hook::flag::register(SIGTERM, shut_down.clone())?;
    signal_hook::flag::register(SIGINT, shut_down.clone())?;
    Ok(Box::new(move || {
        if reload.swap(false, Ordering::Relaxed) {
            return Some(ProcessEvent::ConfigReplaced(read(&file).map(Box::new)));
        }
        shut_down.swap(false, Ordering::Relaxed).then_some(ProcessEvent::ShutDown)
    }))
}

/// Runs a router with this configuration until it exits.
pub(crate) fn node(file: PathBuf) -> ExitCode {
    let config = match read(&file) {
        Ok(config) => config,
        Err(why) => {
            print_error("", &why);
            return ExitCode::from(USAGE_ERROR);
        }
    };
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(std::io::stderr).init();
    let (mut reactor, process_events) =
        match Reactor::new().and_then(|reactor| Ok((reactor, install_signal_handlers(file)?))) {
            Ok(started) => started,
            Err(error) => {
                tracing::error!(%error, "startup failed");
                return ExitCode::FAILURE;
            }
        };
    let exit_reason = Rc::new(Cell::new(None));
    let reported_reason = exit_reason.clone();
    reactor.add(Box::new(Node::new(
        reactor.now(),
        config,
        process_events,
        Box::new(move |reason| reported_reason.set(Some(reason))),
    )));
    while exit_reason.get().is_none() {
        if let Err(error) = reactor.turn(MAX_TURN) {
            tracing::error!(%error, "epoll");
            return ExitCode::FAILURE;
        }
    }
    match exit_reason.get() {
        Some(ExitReason::AddressUnavailable) => ExitCode::FAILURE,
        _ => ExitCode::SUCCESS,
    }
}
