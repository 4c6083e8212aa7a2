//! The `check` command, and loading of the settings file for `serve`.
use crate::errors::USAGE_ERROR;
use applepond_gateway::errors::ReloadError;
use applepond_gateway::{ConfigSource, Deployment};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Reads a settings file. On failure, the errors have been printed and `Err` holds the exit status.
pub(crate) fn read(file: &Path) -> Result<Deployment, u8> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        eprintln!("{}: {error}", file.display());
        USAGE_ERROR
    })?;
    applepond_settings::deployment(&text).map_err(|faults| {
        for fault in &faults {
            eprintln!("{}:{fault}", file.display());
        }
        eprintln!("{}: {} fault(s)", file.display(), faults.len());
        USAGE_ERROR
    })
}

/// Checks a settings file and prints a summary of it.
pub(crate) fn check(file: &Path) -> ExitCode {
    let deployment = match read(file) {
        Ok(deployment) => deployment,
        Err(status) => return ExitCode::from(status),
    };
    let (workloads, workers) = (deployment.workloads.len(), deployment.workers.len());
    let workflows = deployment.workflows.len();
    let endpoint_list = deployment.endpoint_list;
    let list = endpoint_list.map_or("no host list".to_owned(), |at| format!("the host list at {at}"));
    let file = file.display();
    println!("{file}: good; {workloads} workload(s), {workflows} chain(s), {workers} worker(s), {list}");
    ExitCode::SUCCESS
}

/// Returns a source of new settings that rereads the file after each SIGHUP. Errors in the file are printed,
/// and the current settings stay in force.
pub(crate) fn reload_on_hangup(file: &Path, listen: Option<SocketAddr>) -> std::io::Result<ConfigSource> {
    let requested = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGHUP, requested.clone())?;
    let file = file.to_owned();
    Ok(Box::new(move || {
        if !requested.swap(false, Ordering::Relaxed) {
            return None;
        }
        let read = read(&file).map_err(|_| ReloadError::InvalidFile);
        Some(read.map(|new| Deployment { listen: listen.unwrap_or(new.listen), ..new }))
    }))
}
