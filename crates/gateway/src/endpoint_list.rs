//! The host list: one record a worker, and what each message of the list does to it.
//!
//! A message is one line of JSON: `{"kind":"full","workers":[{"name":"w1","address":"127.0.0.1:9000",
//! "standing":"ready","started":1764600000000,"zone":"hall-a","rack":0,"weight":4}]}`. `kind` is `full` or
//! `changes`;
//! `standing` is `ready`, `draining` or `gone`; `started` is ms since the Unix epoch, 0 or absent where
//! unknown.
use crate::errors::EndpointListError;
use applepond::interface::{Endpoint, EndpointListKind, Micros, RackId, WorkerId, WorkerStatus, ZoneId};
use applepond_reactor::Conn;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Workers that one list may name: beyond this it is taken for broken rather than for a fleet. Twice the
/// 30,000 of the fleet that decides the design (docs/CAPACITY.md).
pub const MAX_WORKERS: usize = 60_000;

/// The one record of a worker.
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    pub standing: WorkerStatus,
    pub up_since: Micros,
    /// Connections that stand and carry nothing, each with when it fell idle; the latest last.
    pub idle: Vec<(Conn, Micros)>,
    /// Attempts out there.
    pub out: usize,
    /// This process of it has answered here.
    pub answered: bool,
}

#[derive(Default)]
pub struct EndpointList {
    workers: BTreeMap<WorkerId, Worker>,
    /// Those that are gone and still have attempts out, or had when that was looked at last.
    gone: BTreeSet<WorkerId>,
}

/// What a message leaves to do: the entries for the module, and connections that are of no more use.
#[derive(Debug, PartialEq)]
pub struct Taken {
    pub kind: EndpointListKind,
    pub entries: Vec<Entry>,
    pub cut: Vec<Conn>,
}

/// An entry for the module; `Endpoint` has no comparison of its own.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    pub server: WorkerId,
    pub standing: WorkerStatus,
    pub up_since: Micros,
    pub zone: Option<ZoneId>,
    pub rack: RackId,
    pub weight: f64,
}

impl From<&Entry> for Endpoint {
    fn from(e: &Entry) -> Self {
        Endpoint {
            worker: e.server,
            status: e.standing,
            up_since: e.up_since,
            zone: e.zone,
            rack: e.rack,
            weight: e.weight,
        }
    }
}

impl EndpointList {
    pub fn get(&self, server: WorkerId) -> Option<&Worker> {
        self.workers.get(&server)
    }

    pub fn get_mut(&mut self, server: WorkerId) -> Option<&mut Worker> {
        self.workers.get_mut(&server)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers.iter()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&WorkerId, &mut Worker)> {
        self.workers.iter_mut()
    }

    /// Takes one line of the list. A line that cannot be read changes nothing: the list known so far holds.
    pub fn line(&mut self, line: &[u8], zones: &[String]) -> Result<Taken, EndpointListError> {
        let message: Value =
            serde_json::from_slice(line).map_err(|e| EndpointListError::NotJson(e.to_string()))?;
        let kind = match message["kind"].as_str() {
            Some("full") => EndpointListKind::Full,
            Some("changes") => EndpointListKind::Changes,
            other => {
                return Err(EndpointListError::field(
                    "kind",
                    format!("{other:?}; \"full\" or \"changes\" is wanted"),
                ));
            }
        };
        let workers =
            message["workers"].as_array().ok_or_else(|| EndpointListError::field("workers", "no array"))?;
        if workers.len() > MAX_WORKERS {
            return Err(EndpointListError::TooMany { found: workers.len(), max: MAX_WORKERS });
        }
        let read = |(n, worker)| {
            entry(worker, zones)
                .map_err(|why| EndpointListError::field(format!("workers[{n}]"), why.to_string()))
        };
        let read: Result<Vec<_>, EndpointListError> = workers.iter().enumerate().map(read).collect();
        Ok(self.take(kind, read?))
    }

    pub fn take(&mut self, kind: EndpointListKind, read: Vec<(String, SocketAddr, Entry)>) -> Taken {
        let mut cut = Vec::new();
        if kind == EndpointListKind::Full {
            let named: BTreeSet<WorkerId> = read.iter().map(|(_, _, entry)| entry.server).collect();
            for (id, worker) in self.workers.iter_mut().filter(|(id, _)| !named.contains(id)) {
                worker.standing = WorkerStatus::Gone;
                cut.extend(worker.idle.drain(..).map(|(conn, _)| conn));
                self.gone.insert(*id);
            }
        }
        let mut entries = Vec::new();
        for (name, address, entry) in read {
            let worker = self.workers.entry(entry.server).or_insert_with(|| Worker {
                name,
                address,
                standing: entry.standing,
                up_since: entry.up_since,
                idle: Vec::new(),
                out: 0,
                answered: false,
            });
            // A process that was replaced, moved or is to stop: its idle connections lead nowhere.
            if worker.address != address
                || worker.up_since != entry.up_since
                || entry.standing != WorkerStatus::Ready
            {
                cut.extend(worker.idle.drain(..).map(|(conn, _)| conn));
            }
            worker.address = address;
            worker.standing = entry.standing;
            if entry.standing == WorkerStatus::Ready {
                worker.answered &= worker.up_since == entry.up_since;
                worker.up_since = entry.up_since;
            }
            if entry.standing == WorkerStatus::Gone {
                self.gone.insert(entry.server);
            }
            entries.push(entry);
        }
        self.forget_gone();
        Taken { kind, entries, cut }
    }

    /// Forgets those that are gone and have nothing out. Only those are looked at, not the whole list.
    fn forget_gone(&mut self) {
        self.gone.retain(|id| {
            let Some(worker) = self.workers.get(id) else { return false };
            if worker.standing == WorkerStatus::Gone && worker.out == 0 {
                self.workers.remove(id);
                return false;
            }
            worker.standing == WorkerStatus::Gone
        });
    }
}

fn entry(worker: &Value, zones: &[String]) -> Result<(String, SocketAddr, Entry), EndpointListError> {
    let name = worker["name"]
        .as_str()
        .filter(|n| !n.is_empty())
        .ok_or_else(|| EndpointListError::field("name", "no text"))?;
    let address = worker["address"].as_str().and_then(|a| a.parse().ok());
    let address = address
        .ok_or_else(|| EndpointListError::field("address", format!("{name} has no address with a port")))?;
    let standing = match worker["standing"].as_str() {
        Some("ready") => WorkerStatus::Ready,
        Some("draining") => WorkerStatus::Draining,
        Some("gone") => WorkerStatus::Gone,
        other => return Err(EndpointListError::field("standing", format!("{name} is {other:?}"))),
    };
    let zone = worker["zone"].as_str().and_then(|z| zones.iter().position(|known| known == z)).map(ZoneId);
    let server = WorkerId::named(name);
    let entry = Entry {
        server,
        standing,
        up_since: worker["started"].as_u64().unwrap_or(0).saturating_mul(1000),
        zone,
        rack: worker["rack"].as_i64().map_or_else(|| RackId::unshared(server), RackId),
        weight: worker["weight"].as_f64().unwrap_or(1.0),
    };
    Ok((name.to_owned(), address, entry))
}
