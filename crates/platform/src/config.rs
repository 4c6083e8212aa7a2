//! The configuration file of a router, read at start-up and again when it is replaced.
use crate::errors::InputError;
use crate::fields::{
    InputResult, array, flag, invalid_field, number, number_or, object, optional, text, time, time_or_zero,
    unsigned,
};
use crate::startup::{ConfigNames, startup_config};
use applepond::interface::{
    Endpoint, EndpointListKind, Micros, RackId, StartupConfig, WorkerId, WorkerStatus, ZoneId,
};
use serde_json::Value;
use std::net::SocketAddr;

/// Maximum number of model servers in one list. A longer list is treated as a corrupt file.
const MAX_LISTED_WORKERS: usize = 20_000;

/// A model server in an endpoint list.
#[derive(Clone, Debug)]
pub struct ListedWorker {
    /// Name of the model server, from which its id is derived.
    pub name: String,
    /// Address on which it accepts connections.
    pub address: SocketAddr,
    /// The endpoint as reported to `Control`.
    pub endpoint: Endpoint,
}

/// Limits for connections to model servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionConfig {
    /// Maximum number of concurrent attempts on one connection; at least 1.
    pub max_concurrent_attempts: usize,
    /// Time within which a connection must be established.
    pub connect_timeout: Micros,
    /// Time after which model servers close an idle connection.
    pub server_idle_timeout: Micros,
}

/// The configuration of one router.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Name of the router.
    pub name: String,
    /// Address on which it listens for clients.
    pub listen: SocketAddr,
    /// Address of the name service.
    pub name_service: SocketAddr,
    /// Maximum number of file descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Memory limit of the process in bytes.
    pub memory: usize,
    /// Start-up configuration of `Control`.
    pub startup: StartupConfig,
    /// The names behind the indices of `startup`.
    pub names: ConfigNames,
    /// Limits for connections to model servers.
    pub connection_config: ConnectionConfig,
    /// Longest deadline of each workload's clients.
    pub deadlines: Vec<Micros>,
    /// Index of the last event in `list_events`.
    pub list_index: u64,
    /// The endpoint list events so far, oldest first.
    pub list_events: Vec<(EndpointListKind, Vec<ListedWorker>)>,
}

/// Parses a configuration file.
///
/// # Errors
/// The text is not JSON, or a field is absent or invalid.
pub fn start(text: &[u8]) -> InputResult<NodeConfig> {
    let file: Value =
        serde_json::from_slice(text).map_err(|error| InputError::InvalidJson(error.to_string()))?;
    let settings = object(&file, "settings")?;
    let allowed = object(settings, "allowed")?;
    let limits = object(&file, "limits")?;
    let seed = hex_number(&file, "seed")?;
    let names = ConfigNames::read(settings)?;
    let known = object(&file, "known")?;
    let mut events = Vec::new();
    for event in array(known, "updates")? {
        events.push(list_event(event, &names)?);
    }
    Ok(NodeConfig {
        name: owned_text(&file, "name")?,
        listen: address(&file, "listen")?,
        name_service: address(&file, "names")?,
        max_descriptors: unsigned(limits, "sockets")? as usize,
        memory: (number(limits, "memory_mb")? * 1024.0 * 1024.0) as usize,
        startup: startup_config(settings, seed)?,
        connection_config: ConnectionConfig {
            max_concurrent_attempts: (number_or(allowed, "multiplex", 1.0)? as usize).max(1),
            connect_timeout: time(allowed, "connect-timeout")?,
            server_idle_timeout: time(allowed, "idle-close")?,
        },
        deadlines: array(settings, "lanes")?
            .iter()
            .map(|lane| time(lane, "deadline"))
            .collect::<InputResult<_>>()?,
        list_index: unsigned(known, "index")?,
        names,
        list_events: events,
    })
}

fn owned_text(from: &Value, name: &str) -> InputResult<String> {
    text(from, name).map(str::to_owned)
}

fn hex_number(from: &Value, name: &str) -> InputResult<u64> {
    u64::from_str_radix(text(from, name)?, 16).or_else(|_| invalid_field(name, "expected 16 hex digits"))
}

fn address(from: &Value, name: &str) -> InputResult<SocketAddr> {
    text(from, name)?.parse().or_else(|_| invalid_field(name, "expected an address with a port"))
}

/// Reads one endpoint list event.
fn list_event(event: &Value, names: &ConfigNames) -> InputResult<(EndpointListKind, Vec<ListedWorker>)> {
    let list = object(event, "endpoints")?;
    let kind = if flag(list, "complete")? { EndpointListKind::Full } else { EndpointListKind::Changes };
    let workers = array(list, "members")?;
    if workers.len() > MAX_LISTED_WORKERS {
        return invalid_field("members", "too many entries");
    }
    Ok((kind, workers.iter().map(|entry| listed_worker(entry, names)).collect::<InputResult<_>>()?))
}

fn listed_worker(entry: &Value, names: &ConfigNames) -> InputResult<ListedWorker> {
    let name = owned_text(entry, "id")?;
    // An unknown zone counts as no zone, as in answers of the name service, and does not prevent a start.
    let zone = optional(entry, "locality").and_then(Value::as_str);
    let zone = zone.and_then(|zone| names.zones.iter().position(|known| known == zone));
    let worker = WorkerId::named(&name);
    let endpoint = Endpoint {
        worker,
        status: match text(entry, "phase")? {
            "in_service" => WorkerStatus::Ready,
            "terminating" => WorkerStatus::Draining,
            "terminated" => WorkerStatus::Gone,
            other => return Err(InputError::field("phase", format!("unknown value '{other}'"))),
        },
        up_since: time_or_zero(entry, "up_since_ms")?,
        zone: zone.map(ZoneId),
        rack: match optional(entry, "cell") {
            Some(_) => RackId(number(entry, "cell")? as i64),
            None => RackId::unshared(worker),
        },
        weight: number_or(entry, "size", 1.0)?,
    };
    let address = match optional(entry, "host_port") {
        // A server that is gone needs no address: nothing connects to it.
        None if endpoint.status == WorkerStatus::Gone => SocketAddr::from(([0, 0, 0, 0], 0)),
        _ => address(entry, "host_port")?,
    };
    Ok(ListedWorker { name, address, endpoint })
}
