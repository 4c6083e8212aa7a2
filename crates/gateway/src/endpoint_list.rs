//! The endpoint list: one record per worker, and how messages of the list change it.
//!
//! A message is one line of JSON: `{"kind":"full","workers":[{"name":"w1","address":"127.0.0.1:9000",
//! "standing":"ready","started":1764600000000,"zone":"hall-a","rack":0,"weight":4}]}`. `kind` is `full` or
//! `changes`; `standing` is `ready`, `draining` or `gone`; `started` is in ms since the Unix epoch, and 0 or
//! absent if unknown.
//!
//! State: the workers' records with their idle connections. Messages of the list are processed by
//! [`EndpointList::read_line`], static workers of the settings by [`EndpointList::apply`].
use crate::errors::EndpointListError;
use applepond::interface::{Endpoint, EndpointListKind, Micros, RackId, WorkerId, WorkerStatus, ZoneId};
use applepond_reactor::ConnectionId;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Maximum number of workers in one list; a longer one is considered corrupt. Twice the 30,000 workers of the
/// fleet that the design is sized for (docs/CAPACITY.md).
pub const MAX_WORKERS: usize = 60_000;

/// An established connection without an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleConnection {
    /// The connection.
    pub conn: ConnectionId,
    /// When it became idle.
    pub since: Micros,
}

/// The record of a worker.
pub struct WorkerRecord {
    /// Its name.
    pub name: String,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Whether it accepts new requests.
    pub status: WorkerStatus,
    /// When its process started, according to the list; 0 if unknown. Identifies its incarnation.
    pub up_since: Micros,
    /// Its idle connections, in the order in which they became idle.
    pub idle: Vec<IdleConnection>,
    /// Attempts in flight.
    pub in_flight: usize,
    /// Whether its current incarnation has responded to this router.
    pub has_answered: bool,
    /// Whether its process has sent bytes that belong to no request. Its connections are not reused then.
    pub sends_extra_responses: bool,
}

impl WorkerRecord {
    fn new(named: &NamedEndpoint) -> Self {
        WorkerRecord {
            name: named.name.clone(),
            address: named.address,
            status: named.entry.status,
            up_since: named.entry.up_since,
            idle: Vec::new(),
            in_flight: 0,
            has_answered: false,
            sends_extra_responses: false,
        }
    }

    /// Applies a new entry. Returns the idle connections to abort: all of them if the process was replaced,
    /// has moved to another address, or is no longer ready.
    fn update(&mut self, address: SocketAddr, entry: &EndpointEntry) -> Vec<IdleConnection> {
        let is_other_process = self.address != address || self.up_since != entry.up_since;
        let obsolete = if is_other_process || entry.status != WorkerStatus::Ready {
            std::mem::take(&mut self.idle)
        } else {
            Vec::new()
        };
        self.sends_extra_responses &= !is_other_process;
        self.address = address;
        self.status = entry.status;
        if entry.status == WorkerStatus::Ready {
            self.has_answered &= self.up_since == entry.up_since;
            self.up_since = entry.up_since;
        }
        obsolete
    }
}

/// All workers named by the list or the settings.
#[derive(Default)]
pub struct EndpointList {
    workers: BTreeMap<WorkerId, WorkerRecord>,
    /// Workers that are gone but had attempts in flight at the last check.
    gone: BTreeSet<WorkerId>,
}

/// The effects of a message, to be carried out by the caller.
#[derive(Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Whether the message is a full list or names changes only.
    pub kind: EndpointListKind,
    /// The entries for `Control`.
    pub entries: Vec<EndpointEntry>,
    /// Connections to abort.
    pub disconnect: Vec<ConnectionId>,
}

/// An entry for `Control`. It is converted to [`Endpoint`], which does not implement `PartialEq`.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The worker's id, a digest of its name.
    pub worker: WorkerId,
    /// Whether it accepts new requests.
    pub status: WorkerStatus,
    /// When its process started; 0 if unknown.
    pub up_since: Micros,
    /// Its zone, if the zone is in the settings.
    pub zone: Option<ZoneId>,
    /// Its rack; a unique one if the list names none.
    pub rack: RackId,
    /// Relative capacity.
    pub weight: f64,
}

impl From<&EndpointEntry> for Endpoint {
    fn from(entry: &EndpointEntry) -> Self {
        Endpoint {
            worker: entry.worker,
            status: entry.status,
            up_since: entry.up_since,
            zone: entry.zone,
            rack: entry.rack,
            weight: entry.weight,
        }
    }
}

/// A worker with its name and address, as in a message.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedEndpoint {
    /// Its name.
    pub name: String,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Its entry for `Control`.
    pub entry: EndpointEntry,
}

impl EndpointList {
    /// Returns the record of a worker.
    pub fn get(&self, worker: WorkerId) -> Option<&WorkerRecord> {
        self.workers.get(&worker)
    }

    /// Returns the record of a worker.
    pub fn get_mut(&mut self, worker: WorkerId) -> Option<&mut WorkerRecord> {
        self.workers.get_mut(&worker)
    }

    /// Iterates over all records.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkerId, &WorkerRecord)> {
        self.workers.iter()
    }

    /// Iterates over all records.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&WorkerId, &mut WorkerRecord)> {
        self.workers.iter_mut()
    }

    /// Returns the number of workers with this status.
    pub(crate) fn count(&self, status: WorkerStatus) -> usize {
        self.workers.values().filter(|worker| worker.status == status).count()
    }

    /// Parses and applies one line of the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is invalid; the current list is then unchanged.
    pub fn read_line(&mut self, line: &[u8], zones: &[String]) -> Result<EndpointUpdate, EndpointListError> {
        let message: Value =
            serde_json::from_slice(line).map_err(|error| EndpointListError::NotJson(error.to_string()))?;
        let kind = match message["kind"].as_str() {
            Some("full") => EndpointListKind::Full,
            Some("changes") => EndpointListKind::Changes,
            other => {
                let problem = format!("expected \"full\" or \"changes\", found {other:?}");
                return Err(EndpointListError::field("kind", problem));
            }
        };
        let not_an_array = || EndpointListError::field("workers", "not an array");
        let workers = message["workers"].as_array().ok_or_else(not_an_array)?;
        if workers.len() > MAX_WORKERS {
            return Err(EndpointListError::TooMany { found: workers.len(), max: MAX_WORKERS });
        }
        let read = |(index, worker)| {
            read_worker(worker, zones)
                .map_err(|error| EndpointListError::field(format!("workers[{index}]"), error.to_string()))
        };
        let named: Result<Vec<_>, EndpointListError> = workers.iter().enumerate().map(read).collect();
        Ok(self.apply(kind, named?))
    }

    /// Applies a list that has been parsed.
    pub fn apply(&mut self, kind: EndpointListKind, named: Vec<NamedEndpoint>) -> EndpointUpdate {
        let mut obsolete = Vec::new();
        if kind == EndpointListKind::Full {
            obsolete = self.mark_unnamed_gone(&named);
        }
        let mut entries = Vec::new();
        for endpoint in named {
            let id = endpoint.entry.worker;
            let worker = self.workers.entry(id).or_insert_with(|| WorkerRecord::new(&endpoint));
            obsolete.extend(worker.update(endpoint.address, &endpoint.entry));
            if endpoint.entry.status == WorkerStatus::Gone {
                self.gone.insert(id);
            }
            entries.push(endpoint.entry);
        }
        self.drop_gone();
        let disconnect = obsolete.into_iter().map(|idle| idle.conn).collect();
        EndpointUpdate { kind, entries, disconnect }
    }

    /// Marks the workers missing from a full list as gone, and returns their idle connections.
    fn mark_unnamed_gone(&mut self, named: &[NamedEndpoint]) -> Vec<IdleConnection> {
        let mut obsolete = Vec::new();
        let named: BTreeSet<WorkerId> = named.iter().map(|endpoint| endpoint.entry.worker).collect();
        for (id, worker) in self.workers.iter_mut().filter(|(id, _)| !named.contains(id)) {
            worker.status = WorkerStatus::Gone;
            obsolete.append(&mut worker.idle);
            self.gone.insert(*id);
        }
        obsolete
    }

    /// Drops the workers that are gone and have nothing in flight. Checks only the workers in `gone` and not
    /// the whole list.
    fn drop_gone(&mut self) {
        self.gone.retain(|id| {
            let Some(worker) = self.workers.get(id) else { return false };
            if worker.status == WorkerStatus::Gone && worker.in_flight == 0 {
                self.workers.remove(id);
                return false;
            }
            worker.status == WorkerStatus::Gone
        });
    }
}

/// Parses one element of `workers`.
fn read_worker(worker: &Value, zones: &[String]) -> Result<NamedEndpoint, EndpointListError> {
    let name = worker["name"].as_str().filter(|name| !name.is_empty());
    let name = name.ok_or_else(|| EndpointListError::field("name", "expected a non-empty string"))?;
    let address = worker["address"].as_str().and_then(|address| address.parse().ok());
    let no_address =
        || EndpointListError::field("address", format!("worker {name} has no IP address with a port"));
    let address = address.ok_or_else(no_address)?;
    let status = match worker["standing"].as_str() {
        Some("ready") => WorkerStatus::Ready,
        Some("draining") => WorkerStatus::Draining,
        Some("gone") => WorkerStatus::Gone,
        other => {
            let expected = "expected \"ready\", \"draining\" or \"gone\"";
            let problem = format!("worker {name}: {expected}, found {other:?}");
            return Err(EndpointListError::field("standing", problem));
        }
    };
    let zone = worker["zone"].as_str().and_then(|zone| zones.iter().position(|known| known == zone));
    let id = WorkerId::named(name);
    let entry = EndpointEntry {
        worker: id,
        status,
        up_since: worker["started"].as_u64().unwrap_or(0).saturating_mul(1000),
        zone: zone.map(ZoneId),
        rack: worker["rack"].as_i64().map_or_else(|| RackId::unshared(id), RackId),
        weight: worker["weight"].as_f64().unwrap_or(1.0),
    };
    Ok(NamedEndpoint { name: name.to_owned(), address, entry })
}
