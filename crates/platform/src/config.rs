//! A router's configuration file, read at its start and again when the file is replaced.
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

/// Limit of model servers in one list: beyond it the file is taken for broken rather than for a fleet.
const MAX_LISTED_WORKERS: usize = 20_000;

/// A model server of an endpoint list.
#[derive(Clone, Debug)]
pub struct ListedWorker {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What the list says of it.
    pub endpoint: Endpoint,
}

/// How connections to model servers are to be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionConfig {
    /// Attempts that one connection carries at a time; 1 at the least.
    pub max_concurrent_attempts: usize,
    /// µs within which a connection has to be established.
    pub connect_timeout: Micros,
    /// µs after which model servers close an idle connection.
    pub server_idle_timeout: Micros,
}

/// All that one router starts with.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Name of the router.
    pub name: String,
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// Address of the name service.
    pub name_service: SocketAddr,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Bytes of memory that the process may hold.
    pub memory: usize,
    /// Start-up configuration of the decisions.
    pub startup: StartupConfig,
    /// The names that its indices stand for.
    pub names: ConfigNames,
    /// How connections to model servers are to be used.
    pub connection_config: ConnectionConfig,
    /// µs that clients of each workload wait at most.
    pub deadlines: Vec<Micros>,
    /// Number of the last event of the endpoint list.
    pub list_index: u64,
    /// The events of the endpoint list up to now, the oldest first.
    pub list_events: Vec<(EndpointListKind, Vec<ListedWorker>)>,
}

/// Reads a configuration.
///
/// # Errors
/// The text is not JSON, or a field is absent or not valid.
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
            .map(|row| time(row, "deadline"))
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
    u64::from_str_radix(text(from, name)?, 16).or_else(|_| invalid_field(name, "16 hex digits are wanted"))
}

fn address(from: &Value, name: &str) -> InputResult<SocketAddr> {
    text(from, name)?.parse().or_else(|_| invalid_field(name, "an address with a port is wanted"))
}

/// One event of the endpoint list.
fn list_event(event: &Value, names: &ConfigNames) -> InputResult<(EndpointListKind, Vec<ListedWorker>)> {
    let list = object(event, "endpoints")?;
    let kind = if flag(list, "complete")? { EndpointListKind::Full } else { EndpointListKind::Changes };
    let workers = array(list, "members")?;
    if workers.len() > MAX_LISTED_WORKERS {
        return invalid_field("members", "fewer are wanted");
    }
    Ok((kind, workers.iter().map(|entry| listed_worker(entry, names)).collect::<InputResult<_>>()?))
}

fn listed_worker(entry: &Value, names: &ConfigNames) -> InputResult<ListedWorker> {
    let name = owned_text(entry, "id")?;
    // As in answers of the name service, a zone that the settings do not name is none, and does not prevent a
    // start.
    let zone = optional(entry, "locality").and_then(Value::as_str);
    let zone = zone.and_then(|zone| names.zones.iter().position(|known| known == zone));
    let worker = WorkerId::named(&name);
    let endpoint = Endpoint {
        worker,
        status: match text(entry, "phase")? {
            "in_service" => WorkerStatus::Ready,
            "terminating" => WorkerStatus::Draining,
            "terminated" => WorkerStatus::Gone,
            other => return Err(InputError::field("phase", format!("'{other}' is not known"))),
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
        // Nothing connects to one that has gone.
        None if endpoint.status == WorkerStatus::Gone => SocketAddr::from(([0, 0, 0, 0], 0)),
        _ => address(entry, "host_port")?,
    };
    Ok(ListedWorker { name, address, endpoint })
}
