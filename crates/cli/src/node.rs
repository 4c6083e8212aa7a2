//! `node`: one real router of the operators' platform.
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

/// Longest wait of one turn: the machine's own tick ends it earlier.
const MAX_TURN: Duration = Duration::from_secs(1);

/// Reads the configuration.
fn read(file: &Path) -> Result<NodeConfig, InputError> {
    let unread = |error: std::io::Error| InputError::FileUnreadable {
        file: file.to_owned(),
        reason: error.to_string(),
    };
    let text = std::fs::read(file).map_err(unread)?;
    config::start(&text).map_err(|why| why.in_context(file.display()))
}

/// Asked by the machine for what the process has been told by signals since.
fn signals(file: PathBuf) -> std::io::Result<Box<dyn FnMut() -> Option<ProcessEvent>>> {
    let (again, leave) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    signal_hook::flag::register(SIGHUP, again.clone())?;
    signal_hook::flag::register(SIGTERM, leave.clone())?;
    signal_hook::flag::register(SIGINT, leave.clone())?;
    Ok(Box::new(move || {
        if again.swap(false, Ordering::Relaxed) {
            return Some(ProcessEvent::ConfigReplaced(read(&file).map(Box::new)));
        }
        leave.swap(false, Ordering::Relaxed).then_some(ProcessEvent::ShutDown)
    }))
}

/// Runs a router by this configuration until it is told to end.
pub(crate) fn node(file: PathBuf) -> ExitCode {
    let start = match read(&file) {
        Ok(start) => start,
        Err(why) => {
            print_error("", &why);
            return ExitCode::from(USAGE_ERROR);
        }
    };
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(std::io::stderr).init();
    let (mut reactor, news) = match Reactor::new().and_then(|reactor| Ok((reactor, signals(file)?))) {
        Ok(both) => both,
        Err(error) => {
            tracing::error!(%error, "cannot begin");
            return ExitCode::FAILURE;
        }
    };
    let over = Rc::new(Cell::new(None));
    let ends = over.clone();
    reactor.add(Box::new(Node::new(reactor.now(), start, news, Box::new(move |end| ends.set(Some(end))))));
    while over.get().is_none() {
        if let Err(error) = reactor.turn(MAX_TURN) {
            tracing::error!(%error, "epoll");
            return ExitCode::FAILURE;
        }
    }
    match over.get() {
        Some(ExitReason::AddressUnavailable) => ExitCode::FAILURE,
        _ => ExitCode::SUCCESS,
    }
}
