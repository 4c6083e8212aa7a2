//! The watch on the endpoint list: the connections to the list's server, and how the entries received on them
//! are passed to `Control`. While the server is unreachable, the last list stays in force.
//!
//! The list arrives on one connection. If that falls silent, the list is requested again on a second one,
//! which takes the place of the first with its first line. The server may take any time to answer: the first
//! connection stays open meanwhile, and is used if it is heard first.
//!
//! State: the connections, their backoff, and the schedule of refreshes. Entry points: events of these
//! connections, the maintenance, and the static workers of the settings after a start or a reload.
use super::Gateway;
use super::watch_refresh::WatchRefresh;
use super::watch_stream::WatchStream;
use crate::deployment::{Deployment, StaticWorker};
use crate::endpoint_list::{EndpointEntry, EndpointUpdate, NamedEndpoint};
use applepond::interface::{Endpoint, EndpointListKind, Micros, WorkerId, WorkerStatus, ZoneId};
use applepond_http::encode;
use applepond_reactor::{ConnectionId, Transport};

/// Backoff before the first reconnection to the endpoint list; it doubles with each further one.
const MIN_BACKOFF: Micros = 100_000;
/// Limit of that backoff.
const MAX_BACKOFF: Micros = 3_000_000;

/// The connections to the endpoint list's server.
pub(super) struct EndpointWatch {
    /// `None` during the backoff before a reconnection, and without an endpoint list.
    stream: Option<WatchStream>,
    /// The connection on which a silent list was requested again.
    second: Option<WatchStream>,
    refresh: WatchRefresh,
    /// Delay of the reconnection after the next loss of the connection.
    backoff: Micros,
}

impl EndpointWatch {
    /// Creates a watch without a connection.
    pub(super) fn new(now: Micros, deployment: &Deployment) -> Self {
        let seed = deployment.startup.seed ^ deployment.startup.router_index;
        EndpointWatch {
            stream: None,
            second: None,
            refresh: WatchRefresh::new(now, seed),
            backoff: MIN_BACKOFF,
        }
    }

    /// Whether `conn` is a connection of this watch.
    pub(super) fn uses(&self, conn: ConnectionId) -> bool {
        [&self.stream, &self.second].into_iter().flatten().any(|stream| stream.conn == conn)
    }

    /// Whether a connection is established or being established.
    pub(super) fn is_open(&self) -> bool {
        self.stream.is_some()
    }

    /// Time since the list's server was last heard.
    pub(super) fn silence(&self, now: Micros) -> Micros {
        self.refresh.silence(now)
    }

    fn is_second(&self, conn: ConnectionId) -> bool {
        self.second.as_ref().is_some_and(|second| second.conn == conn)
    }

    /// Closes the second connection, if there is one.
    fn abort_second(&mut self, transport: &mut dyn Transport) {
        if let Some(second) = self.second.take() {
            transport.abort(second.conn);
        }
    }

    /// Replaces the first connection by the second.
    fn promote_second(&mut self, transport: &mut dyn Transport) {
        if let Some(silent) = std::mem::replace(&mut self.stream, self.second.take()) {
            transport.abort(silent.conn);
        }
    }
}

impl Gateway {
    /// Opens a connection to the endpoint list's server, if one is configured. The connect timeout grows with
    /// the backoff, so that a slow server is reached in the end.
    fn open_watch_stream(&self, transport: &mut dyn Transport) -> Option<WatchStream> {
        let address = self.deployment.endpoint_list?;
        let timeout = self.deployment.connect_timeout.max(2 * self.endpoint_watch.backoff);
        Some(WatchStream::new(transport.connect(address, timeout)))
    }

    /// Connects to the endpoint list's server, if one is configured.
    pub(super) fn connect_endpoint_watch(&mut self, transport: &mut dyn Transport) {
        self.endpoint_watch.stream = self.open_watch_stream(transport);
    }

    /// Requests the list on an established connection.
    pub(super) fn request_endpoint_list(&self, transport: &mut dyn Transport, conn: ConnectionId) {
        let host = self.deployment.endpoint_list.map(|address| address.to_string()).unwrap_or_default();
        let path = format!("/watch?router={}", self.deployment.startup.router_index);
        transport.write(conn, &encode::request("GET", &path, &host).empty());
    }

    /// Requests the list again if its connection has been silent for too long.
    pub(super) fn refresh_silent_list(&mut self, now: Micros, transport: &mut dyn Transport) {
        if !self.endpoint_watch.is_open() || !self.endpoint_watch.refresh.is_due(now) {
            return;
        }
        self.endpoint_watch.abort_second(transport);
        let silent_us = self.endpoint_watch.silence(now);
        tracing::info!(silent_us, "endpoint list silent; requesting it again");
        self.endpoint_watch.second = self.open_watch_stream(transport);
        self.endpoint_watch.refresh.begun(now);
    }

    /// Handles the loss of a connection. After the loss of the only one, schedules a reconnection after the
    /// backoff.
    pub(super) fn endpoint_watch_lost(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
    ) {
        if self.endpoint_watch.is_second(conn) {
            self.endpoint_watch.second = None;
            self.endpoint_watch.refresh.failed(now);
            return;
        }
        self.endpoint_watch.stream = self.endpoint_watch.second.take();
        if self.endpoint_watch.is_open() {
            return;
        }
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
        let watch = &mut self.endpoint_watch;
        let is_second = watch.is_second(conn);
        let stream = if is_second { watch.second.as_mut() } else { watch.stream.as_mut() };
        let Some(stream) = stream else { return };
        let goes_on = stream.feed(bytes);
        let lines = stream.take_lines();
        if !is_second {
            // The first connection is not silent any more.
            watch.abort_second(transport);
            watch.refresh.received(now);
        }
        for line in lines {
            self.apply_list_line(now, transport, conn, &line);
        }
        if !goes_on {
            transport.abort(conn);
            self.endpoint_watch_lost(now, transport, conn);
        }
    }

    /// Applies a line of the list. A valid one on the second connection shows that it works, and the first is
    /// closed.
    fn apply_list_line(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        line: &[u8],
    ) {
        let update = match self.workers.endpoints.read_line(line, &self.deployment.zones) {
            Ok(update) => update,
            Err(error) => {
                tracing::warn!(%error, "invalid line in the endpoint list; keeping the last valid list");
                return;
            }
        };
        let watch = &mut self.endpoint_watch;
        watch.backoff = MIN_BACKOFF;
        if watch.is_second(conn) {
            watch.promote_second(transport);
            watch.refresh.received(now);
        }
        if update.kind == EndpointListKind::Full {
            watch.refresh.full_list_received(now, line.len());
        }
        self.apply_endpoint_update(now, transport, update);
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
