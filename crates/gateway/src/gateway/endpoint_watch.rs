//! The watch on the endpoint list: the connection to the list's server, the lines received on it, and how
//! their entries are passed to `Control`. While the server is unreachable, the last list stays in force.
//!
//! State: the watch's connection and its backoff. Entry points: events of that connection, and the static
//! workers of the settings after a start or a reload.
use super::Gateway;
use crate::deployment::StaticWorker;
use crate::endpoint_list::{EndpointEntry, EndpointUpdate, NamedEndpoint};
use applepond::interface::{Endpoint, EndpointListKind, Micros, WorkerId, WorkerStatus, ZoneId};
use applepond_http::Fault;
use applepond_http::decode::{Decoder, Fields, Side, Step, Visitor};
use applepond_http::encode;
use applepond_reactor::{ConnectionId, Transport};
use std::collections::VecDeque;

/// Backoff before the first reconnection to the endpoint list; it doubles with each further one.
const MIN_BACKOFF: Micros = 100_000;
/// Limit of that backoff.
const MAX_BACKOFF: Micros = 3_000_000;
/// Maximum size of the response head, and of one line of the list.
const MAX_LINE_BYTES: usize = 8 * 1024 * 1024;

/// The connection to the endpoint list's server.
pub(super) struct EndpointWatch {
    /// `None` during the backoff before a reconnection, and without an endpoint list.
    conn: Option<ConnectionId>,
    decoder: Option<Decoder>,
    lines: ListLines,
    /// Delay of the reconnection after the next loss of the connection.
    backoff: Micros,
}

impl Default for EndpointWatch {
    fn default() -> Self {
        EndpointWatch { conn: None, decoder: None, lines: ListLines::default(), backoff: MIN_BACKOFF }
    }
}

impl EndpointWatch {
    /// Whether `conn` is the connection of this watch.
    pub(super) fn uses(&self, conn: ConnectionId) -> bool {
        self.conn == Some(conn)
    }

    /// Whether a connection is established or being established.
    pub(super) fn is_open(&self) -> bool {
        self.conn.is_some()
    }
}

/// Splits the body of the list's response into lines.
#[derive(Default)]
struct ListLines {
    /// The line that has not been received completely.
    partial: Vec<u8>,
    complete: VecDeque<Vec<u8>>,
}

impl Visitor for ListLines {
    fn request(&mut self, _: &str, _: &str, _: &Fields<'_>) -> Result<(), Fault> {
        Err(Fault::new(400, "bad-head", "expected a response, got a request"))
    }

    fn response(&mut self, status: u16, _: &Fields<'_>) -> Result<(), Fault> {
        if status == 200 {
            Ok(())
        } else {
            Err(Fault::new(status, "no-list", "the endpoint list was not sent"))
        }
    }

    fn body(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        for byte in bytes {
            if *byte == b'\n' {
                self.complete.push_back(std::mem::take(&mut self.partial));
            } else if self.partial.len() < MAX_LINE_BYTES {
                self.partial.push(*byte);
            } else {
                return Err(Fault::new(413, "long-line", "a line of the endpoint list is too long"));
            }
        }
        Ok(())
    }

    fn end(&mut self, _: bool) -> Result<(), Fault> {
        Ok(())
    }
}

impl Gateway {
    /// Connects to the endpoint list's server, if one is configured.
    pub(super) fn connect_endpoint_watch(&mut self, transport: &mut dyn Transport) {
        let Some(address) = self.deployment.endpoint_list else { return };
        let conn = transport.connect(address, self.deployment.connect_timeout);
        self.endpoint_watch.conn = Some(conn);
        self.endpoint_watch.decoder = Some(Decoder::new(Side::Client, MAX_LINE_BYTES, u64::MAX));
        self.endpoint_watch.lines = ListLines::default();
    }

    /// Requests the list on an established connection.
    pub(super) fn request_endpoint_list(&self, transport: &mut dyn Transport, conn: ConnectionId) {
        let host = self.deployment.endpoint_list.map(|address| address.to_string()).unwrap_or_default();
        let path = format!("/watch?router={}", self.deployment.startup.router_index);
        transport.write(conn, &encode::request("GET", &path, &host).empty());
    }

    /// Handles the loss of the connection: schedules a reconnection after the backoff.
    pub(super) fn endpoint_watch_lost(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.endpoint_watch.conn = None;
        let backoff = self.endpoint_watch.backoff;
        self.endpoint_watch.backoff = (backoff * 2).min(MAX_BACKOFF);
        tracing::warn!(retry_in_us = backoff, "endpoint list unreachable; keeping the last one");
        let connect = |gateway: &mut Gateway, _, transport: &mut dyn Transport| {
            gateway.connect_endpoint_watch(transport);
        };
        self.schedule(now, transport, backoff, Box::new(connect));
    }

    /// Processes bytes received from the endpoint list's server.
    pub(super) fn endpoint_watch_bytes(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        bytes: &[u8],
    ) {
        let Some(decoder) = self.endpoint_watch.decoder.as_mut() else { return };
        decoder.feed(bytes);
        let step = decoder.step(&mut self.endpoint_watch.lines);
        while let Some(line) = self.endpoint_watch.lines.complete.pop_front() {
            match self.workers.endpoints.read_line(&line, &self.deployment.zones) {
                Ok(update) => {
                    self.endpoint_watch.backoff = MIN_BACKOFF;
                    self.apply_endpoint_update(now, transport, update);
                }
                Err(error) => {
                    tracing::warn!(%error, "invalid line in the endpoint list; keeping the last valid list");
                }
            }
        }
        if !matches!(step, Ok(Step::More)) {
            transport.abort(conn);
            self.endpoint_watch_lost(now, transport);
        }
    }

    /// Applies the static workers of the settings as a full list.
    pub(super) fn apply_static_workers(&mut self, now: Micros, transport: &mut dyn Transport) {
        let named = self.deployment.workers.iter().map(static_endpoint).collect();
        let update = self.workers.endpoints.apply(EndpointListKind::Full, named);
        self.apply_endpoint_update(now, transport, update);
    }

    /// Aborts idle connections to workers that were removed, replaced or moved or are draining, and passes
    /// the new entries to `Control`. History may override the status in the list.
    fn apply_endpoint_update(&mut self, now: Micros, transport: &mut dyn Transport, update: EndpointUpdate) {
        for conn in &update.disconnect {
            self.workers.abort(transport, *conn);
        }
        let mut entries = update.entries;
        if update.kind != EndpointListKind::Changes {
            // A worker missing from a full list is gone, so earlier entries of it no longer apply.
            self.listed_ready.clear();
            let named: Vec<_> = entries.iter().map(|entry| (entry.worker, entry.up_since)).collect();
            if let Some(history) = &mut self.history {
                history.full_list_received(&named);
            }
        }
        for entry in &mut entries {
            self.apply_known_status(now, entry);
        }
        let entries: Vec<Endpoint> = entries.iter().map(Endpoint::from).collect();
        self.control.advance_to(now);
        self.control.endpoints_updated(&mut self.actions, update.kind, &entries);
    }

    /// Replaces the status of an entry by the one in history. Otherwise an outdated list would mark a worker
    /// ready whose drain was known before a restart.
    fn apply_known_status(&mut self, now: Micros, entry: &mut EndpointEntry) {
        let Some(history) = &mut self.history else { return };
        let status = history.effective_status(now, entry.worker, entry.up_since, entry.status);
        self.listed_ready.remove(&entry.worker);
        if entry.status == WorkerStatus::Ready {
            self.listed_ready.insert(entry.worker, entry.clone());
        }
        if status != entry.status {
            entry.status = status;
            if let Some(record) = self.workers.endpoints.get_mut(entry.worker) {
                record.status = status;
            }
        }
    }
}

/// Converts a worker of the settings to an entry of a list.
fn static_endpoint(worker: &StaticWorker) -> NamedEndpoint {
    let entry = EndpointEntry {
        worker: WorkerId::named(&worker.name),
        status: WorkerStatus::Ready,
        up_since: 0,
        zone: worker.zone.map(ZoneId),
        rack: worker.rack,
        weight: worker.weight,
    };
    NamedEndpoint { name: worker.name.clone(), address: worker.address, entry }
}
