//! A fake endpoint list: holds the status of all workers and streams changes to the routers that watch it.
//! Scenarios schedule each change later than it happens at the worker.
use crate::http_peer::HttpPeer;
use crate::ledger::{Ledger, Observation};
use applepond_http::decode::Side;
use applepond_http::encode;
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, Micros, TimerId, Transport};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The timer at which the outage begins.
const OUTAGE: TimerId = TimerId(u64::MAX);

/// A worker's entry in the list.
#[derive(Clone)]
pub struct Endpoint {
    /// Name of the worker.
    pub name: Rc<str>,
    /// Address on which the worker listens.
    pub address: SocketAddr,
    /// Status of the worker: `ready`, `draining` or `gone`.
    pub status: &'static str,
    /// Start time of the worker in ms since the Unix epoch; 0 if it started before the scenario.
    pub started_ms: u64,
    /// Zone of the worker.
    pub zone: String,
    /// Rack of the worker.
    pub rack: i64,
    /// Relative capacity of the worker.
    pub weight: f64,
}

impl Endpoint {
    fn json(&self) -> Value {
        json!({"name": &*self.name, "address": self.address.to_string(), "standing": self.status,
            "started": self.started_ms, "zone": self.zone, "rack": self.rack, "weight": self.weight})
    }
}

/// A fake endpoint list.
pub struct EndpointList {
    /// Address on which it listens.
    pub listen: SocketAddr,
    /// The current entries.
    pub endpoints: Vec<Endpoint>,
    /// Changes, each with the time at which the list learns of it.
    pub changes: Vec<(Micros, Endpoint)>,
    /// Start and end of an outage, in which all connections are closed. A router that reconnects afterwards
    /// receives the full list.
    pub outage: (Micros, Micros),
    /// Start and end of a time in which new watchers receive this entry in place of the current one, as from
    /// a replica that lags behind.
    pub stale: Option<(Micros, Micros, Endpoint)>,
    /// Receives the observations.
    pub ledger: Ledger,
    /// Connections, each with the index of the router that watches on it.
    peers: BTreeMap<ConnectionId, (HttpPeer, Option<u64>)>,
}

impl EndpointList {
    /// Creates a list without outages.
    pub fn new(
        listen: SocketAddr,
        endpoints: Vec<Endpoint>,
        changes: Vec<(Micros, Endpoint)>,
        ledger: Ledger,
    ) -> Self {
        EndpointList {
            listen,
            endpoints,
            changes,
            outage: (0, 0),
            stale: None,
            ledger,
            peers: BTreeMap::new(),
        }
    }

    /// Sends entries to a router as one line.
    fn send_endpoints(
        &self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        router: u64,
        kind: &str,
        endpoints: &[&Endpoint],
    ) {
        let workers: Vec<Value> = endpoints.iter().map(|endpoint| endpoint.json()).collect();
        let line = format!("{}\n", json!({"kind": kind, "workers": workers}));
        transport.write(conn, &encode::chunk(line.as_bytes()));
        for endpoint in endpoints {
            let (worker, ready) = (endpoint.name.clone(), endpoint.status == "ready");
            self.ledger.record(
                now,
                Observation::EndpointSent { router, worker, ready, started_ms: endpoint.started_ms },
            );
        }
    }
}

impl Machine for EndpointList {
    fn start(&mut self, _: Micros, transport: &mut dyn Transport) {
        transport.listen(self.listen, 10_000).expect("the endpoint list's port is free");
        transport.set_timer_at(self.outage.0, OUTAGE);
        for (index, (at, _)) in self.changes.iter().enumerate() {
            transport.set_timer_at(*at, TimerId(index as u64));
        }
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, conn: ConnectionId, _: Listener) {
        self.peers.insert(conn, (HttpPeer::new(Side::Server), None));
    }
    fn connected(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId) {}
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, bytes: &[u8]) {
        let Some((peer, watcher)) = self.peers.get_mut(&conn) else { return };
        let Some(request) = peer.receive(bytes).and_then(|mut requests| requests.pop()) else { return };
        if let Some((name, status)) =
            request.target.strip_prefix("/-/standing?").and_then(|rest| rest.split_once('='))
        {
            let known = self.endpoints.iter().find(|endpoint| *endpoint.name == *name).cloned();
            let status = ["ready", "draining", "gone"].into_iter().find(|known| *known == status);
            let code = if known.is_some() && status.is_some() { 200 } else { 404 };
            transport.write(conn, &encode::response(code).body(b""));
            if let (Some(endpoint), Some(status)) = (known, status) {
                self.changes.push((now, Endpoint { status, ..endpoint }));
                transport.set_timer_at(now, TimerId(self.changes.len() as u64 - 1));
            }
            return;
        }
        if (self.outage.0..self.outage.1).contains(&now) {
            self.peers.remove(&conn);
            return transport.abort(conn);
        }
        let router =
            request.target.rsplit("router=").next().and_then(|index| index.parse().ok()).unwrap_or(0);
        *watcher = Some(router);
        transport.write(conn, &encode::response(200).field("Content-Type", "application/jsonl").chunked());
        let stale = self.stale.as_ref().filter(|(from, until, _)| (*from..*until).contains(&now));
        let mut endpoints: Vec<&Endpoint> = self.endpoints.iter().collect();
        if let Some((_, _, old)) = stale {
            endpoints
                .iter_mut()
                .filter(|endpoint| endpoint.name == old.name)
                .for_each(|endpoint| *endpoint = old);
        }
        self.send_endpoints(now, transport, conn, router, "full", &endpoints);
    }
    fn half_closed(&mut self, _: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        self.peers.remove(&conn);
        transport.abort(conn);
    }
    fn closed(&mut self, _: Micros, _: &mut dyn Transport, conn: ConnectionId, _: Closed, _: u64) {
        self.peers.remove(&conn);
    }
    fn flushed(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId) {}
    fn timer_fired(&mut self, now: Micros, transport: &mut dyn Transport, timer: TimerId) {
        if timer == OUTAGE {
            // Watching routers notice the end of their connections and reconnect.
            std::mem::take(&mut self.peers).keys().for_each(|conn| transport.abort(*conn));
            return;
        }
        let endpoint = self.changes[timer.0 as usize].1.clone();
        match self.endpoints.iter_mut().find(|known| known.name == endpoint.name) {
            Some(known) => *known = endpoint.clone(),
            None => self.endpoints.push(endpoint.clone()),
        }
        let watching =
            self.peers.iter().filter_map(|(conn, (_, router))| router.map(|router| (*conn, router)));
        for (conn, router) in watching.collect::<Vec<_>>() {
            self.send_endpoints(now, transport, conn, router, "changes", &[&endpoint]);
        }
        self.endpoints.retain(|endpoint| endpoint.status != "gone");
    }
}
