//! The endpoint list: one record a worker, and what each message of the list does to it.
//!
//! A message is one line of JSON: `{"kind":"full","workers":[{"name":"w1","address":"127.0.0.1:9000",
//! "standing":"ready","started":1764600000000,"zone":"hall-a","rack":0,"weight":4}]}`. `kind` is `full` or
//! `changes`; `standing` is `ready`, `draining` or `gone`; `started` is ms since the Unix epoch, 0 or absent
//! where unknown.
//!
//! Owned here: the workers' records with their idle connections. Messages of the list enter through
//! [`EndpointList::read_line`], workers of the settings through [`EndpointList::apply`].
use crate::errors::EndpointListError;
use applepond::interface::{Endpoint, EndpointListKind, Micros, RackId, WorkerId, WorkerStatus, ZoneId};
use applepond_reactor::Conn;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Workers that one list may name: beyond this it is taken for broken rather than for a fleet. Twice the
/// 30,000 of the fleet that decides the design (docs/CAPACITY.md).
pub const MAX_WORKERS: usize = 60_000;

/// A connection that is established and carries nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleConnection {
    /// The connection.
    pub conn: Conn,
    /// When it became idle.
    pub since: Micros,
}

/// The one record of a worker.
pub struct WorkerRecord {
    /// Its name.
    pub name: String,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Whether it takes new requests.
    pub status: WorkerStatus,
    /// When its process started, as the list says; 0 where unknown. Another value is another process.
    pub up_since: Micros,
    /// Its idle connections; the one that became idle last is last.
    pub idle: Vec<IdleConnection>,
    /// Attempts in flight.
    pub in_flight: usize,
    /// This process of it has answered this router.
    pub has_answered: bool,
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
        }
    }

    /// Takes a new entry. Gives the idle connections that are of no more use: those to a process that was
    /// replaced, moved, or is to stop.
    fn update(&mut self, address: SocketAddr, entry: &EndpointEntry) -> Vec<IdleConnection> {
        let is_other_process = self.address != address || self.up_since != entry.up_since;
        let useless = if is_other_process || entry.status != WorkerStatus::Ready {
            std::mem::take(&mut self.idle)
        } else {
            Vec::new()
        };
        self.address = address;
        self.status = entry.status;
        if entry.status == WorkerStatus::Ready {
            self.has_answered &= self.up_since == entry.up_since;
            self.up_since = entry.up_since;
        }
        useless
    }
}

/// All workers that the list or the settings name.
#[derive(Default)]
pub struct EndpointList {
    workers: BTreeMap<WorkerId, WorkerRecord>,
    /// Workers that are gone and had attempts in flight when that was last looked at.
    gone: BTreeSet<WorkerId>,
}

/// What a message leaves to do.
#[derive(Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Whether the message names all workers.
    pub kind: EndpointListKind,
    /// The entries for `Control`.
    pub entries: Vec<EndpointEntry>,
    /// Connections to cut.
    pub disconnect: Vec<Conn>,
}

/// An entry for `Control`. [`Endpoint`], which it is turned into, has no comparison of its own.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The worker: the digest of its name.
    pub worker: WorkerId,
    /// Whether it takes new requests.
    pub status: WorkerStatus,
    /// When its process started; 0 where unknown.
    pub up_since: Micros,
    /// Its zone, where the settings know it.
    pub zone: Option<ZoneId>,
    /// Its rack; one of its own where the list names none.
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

/// A worker as a message names it.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedEndpoint {
    /// Its name.
    pub name: String,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// What `Control` is told of it.
    pub entry: EndpointEntry,
}

impl EndpointList {
    /// The record of a worker.
    pub fn get(&self, worker: WorkerId) -> Option<&WorkerRecord> {
        self.workers.get(&worker)
    }

    /// The record of a worker.
    pub fn get_mut(&mut self, worker: WorkerId) -> Option<&mut WorkerRecord> {
        self.workers.get_mut(&worker)
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkerId, &WorkerRecord)> {
        self.workers.iter()
    }

    /// All records.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&WorkerId, &mut WorkerRecord)> {
        self.workers.iter_mut()
    }

    /// How many workers have this status.
    pub(crate) fn count(&self, status: WorkerStatus) -> usize {
        self.workers.values().filter(|worker| worker.status == status).count()
    }

    /// Takes one line of the list.
    ///
    /// # Errors
    ///
    /// The line cannot be read; it changes nothing, and the list known so far holds.
    pub fn read_line(&mut self, line: &[u8], zones: &[String]) -> Result<EndpointUpdate, EndpointListError> {
        let message: Value =
            serde_json::from_slice(line).map_err(|error| EndpointListError::NotJson(error.to_string()))?;
        let kind = match message["kind"].as_str() {
            Some("full") => EndpointListKind::Full,
            Some("changes") => EndpointListKind::Changes,
            other => {
                let expected = format!("{other:?}; \"full\" or \"changes\" is wanted");
                return Err(EndpointListError::field("kind", expected));
            }
        };
        let no_array = || EndpointListError::field("workers", "no array");
        let workers = message["workers"].as_array().ok_or_else(no_array)?;
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

    /// Takes a list that has been read.
    pub fn apply(&mut self, kind: EndpointListKind, named: Vec<NamedEndpoint>) -> EndpointUpdate {
        let mut useless = Vec::new();
        if kind == EndpointListKind::Full {
            useless = self.remove_unnamed(&named);
        }
        let mut entries = Vec::new();
        for endpoint in named {
            let id = endpoint.entry.worker;
            let worker = self.workers.entry(id).or_insert_with(|| WorkerRecord::new(&endpoint));
            useless.extend(worker.update(endpoint.address, &endpoint.entry));
            if endpoint.entry.status == WorkerStatus::Gone {
                self.gone.insert(id);
            }
            entries.push(endpoint.entry);
        }
        self.forget_gone();
        let disconnect = useless.into_iter().map(|idle| idle.conn).collect();
        EndpointUpdate { kind, entries, disconnect }
    }

    /// Marks the workers that a full list does not name as gone; gives their idle connections.
    fn remove_unnamed(&mut self, named: &[NamedEndpoint]) -> Vec<IdleConnection> {
        let mut useless = Vec::new();
        let named: BTreeSet<WorkerId> = named.iter().map(|endpoint| endpoint.entry.worker).collect();
        for (id, worker) in self.workers.iter_mut().filter(|(id, _)| !named.contains(id)) {
            worker.status = WorkerStatus::Gone;
            useless.append(&mut worker.idle);
            self.gone.insert(*id);
        }
        useless
    }

    /// Forgets the workers that are gone and have nothing in flight. Only those that are gone are looked at,
    /// not the whole list.
    fn forget_gone(&mut self) {
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

/// Reads one element of `workers`.
fn read_worker(worker: &Value, zones: &[String]) -> Result<NamedEndpoint, EndpointListError> {
    let name = worker["name"].as_str().filter(|name| !name.is_empty());
    let name = name.ok_or_else(|| EndpointListError::field("name", "no text"))?;
    let address = worker["address"].as_str().and_then(|address| address.parse().ok());
    let no_address = || EndpointListError::field("address", format!("{name} has no address with a port"));
    let address = address.ok_or_else(no_address)?;
    let status = match worker["standing"].as_str() {
        Some("ready") => WorkerStatus::Ready,
        Some("draining") => WorkerStatus::Draining,
        Some("gone") => WorkerStatus::Gone,
        other => return Err(EndpointListError::field("standing", format!("{name} is {other:?}"))),
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
