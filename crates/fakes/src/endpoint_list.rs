//! The endpoint list: knows when workers run, drain and are gone, and sends it late to whoever watches.
use crate::http_peer::HttpPeer;
use crate::ledger::{Ledger, Observation};
use applepond_http::decode::Side;
use applepond_http::encode;
use applepond_reactor::{Closed, Conn, Listener, Machine, Micros, Transport, Wake};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The timer at which it stops answering.
const SILENT: Wake = Wake(u64::MAX);

/// One worker as the list names it.
#[derive(Clone)]
pub struct Endpoint {
    /// Name of the worker.
    pub name: Rc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its status: ready, draining or gone.
    pub status: &'static str,
    /// ms since the Unix epoch; 0 for one that ran before the day began.
    pub started_ms: u64,
    /// Its zone.
    pub zone: String,
    /// Its rack.
    pub rack: i64,
    /// Its weight.
    pub weight: f64,
}

impl Endpoint {
    fn json(&self) -> Value {
        json!({"name": &*self.name, "address": self.address.to_string(), "standing": self.status,
            "started": self.started_ms, "zone": self.zone, "rack": self.rack, "weight": self.weight})
    }
}

/// The list.
pub struct EndpointList {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The rows at present.
    pub rows: Vec<Endpoint>,
    /// Changes, with when the list has them.
    pub changes: Vec<(Micros, Endpoint)>,
    /// From when to when it answers nobody; whoever asks afterwards gets the whole list.
    pub silence: (Micros, Micros),
    /// Whoever asks from the one moment to the other gets this row in place of the true one, as from a
    /// replica that is behind.
    pub stale: Option<(Micros, Micros, Endpoint)>,
    /// Where observations go.
    pub ledger: Ledger,
    /// Connections, each with the router that watches on it.
    peers: BTreeMap<Conn, (HttpPeer, Option<u64>)>,
}

impl EndpointList {
    /// A list that answers always.
    pub fn new(
        listen: SocketAddr,
        rows: Vec<Endpoint>,
        changes: Vec<(Micros, Endpoint)>,
        ledger: Ledger,
    ) -> Self {
        EndpointList { listen, rows, changes, silence: (0, 0), stale: None, ledger, peers: BTreeMap::new() }
    }

    /// Sends rows to a router.
    fn send_rows(
        &self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: Conn,
        router: u64,
        kind: &str,
        rows: &[&Endpoint],
    ) {
        let workers: Vec<Value> = rows.iter().map(|row| row.json()).collect();
        let line = format!("{}\n", json!({"kind": kind, "workers": workers}));
        transport.write(conn, &encode::chunk(line.as_bytes()));
        for row in rows {
            let (worker, ready) = (row.name.clone(), row.status == "ready");
            self.ledger
                .record(now, Observation::EndpointSent { router, worker, ready, started_ms: row.started_ms });
        }
    }
}

impl Machine for EndpointList {
    fn start(&mut self, _: Micros, transport: &mut dyn Transport) {
        transport.listen(self.listen, 10_000).expect("the host list's port is free");
        transport.wake_at(self.silence.0, SILENT);
        for (index, (at, _)) in self.changes.iter().enumerate() {
            transport.wake_at(*at, Wake(index as u64));
        }
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, conn: Conn, _: Listener) {
        self.peers.insert(conn, (HttpPeer::new(Side::Server), None));
    }
    fn connected(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {}
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        let Some((peer, watches)) = self.peers.get_mut(&conn) else { return };
        let Some(asked) = peer.receive(bytes).and_then(|mut messages| messages.pop()) else { return };
        if let Some((name, standing)) =
            asked.target.strip_prefix("/-/standing?").and_then(|rest| rest.split_once('='))
        {
            let known = self.rows.iter().find(|row| *row.name == *name).cloned();
            let standing = ["ready", "draining", "gone"].into_iter().find(|known| *known == standing);
            let status = if known.is_some() && standing.is_some() { 200 } else { 404 };
            transport.write(conn, &encode::response(status).body(b""));
            if let (Some(row), Some(standing)) = (known, standing) {
                self.changes.push((now, Endpoint { status: standing, ..row }));
                transport.wake_at(now, Wake(self.changes.len() as u64 - 1));
            }
            return;
        }
        if (self.silence.0..self.silence.1).contains(&now) {
            self.peers.remove(&conn);
            return transport.cut(conn);
        }
        let router = asked.target.rsplit("router=").next().and_then(|index| index.parse().ok()).unwrap_or(0);
        *watches = Some(router);
        transport.write(conn, &encode::response(200).field("Content-Type", "application/jsonl").chunked());
        let stale = self.stale.as_ref().filter(|(from, until, _)| (*from..*until).contains(&now));
        let mut rows: Vec<&Endpoint> = self.rows.iter().collect();
        if let Some((_, _, old)) = stale {
            rows.iter_mut().filter(|row| row.name == old.name).for_each(|row| *row = old);
        }
        self.send_rows(now, transport, conn, router, "full", &rows);
    }
    fn half_closed(&mut self, _: Micros, transport: &mut dyn Transport, conn: Conn) {
        self.peers.remove(&conn);
        transport.cut(conn);
    }
    fn closed(&mut self, _: Micros, _: &mut dyn Transport, conn: Conn, _: Closed, _: u64) {
        self.peers.remove(&conn);
    }
    fn flushed(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {}
    fn woken(&mut self, now: Micros, transport: &mut dyn Transport, wake: Wake) {
        if wake == SILENT {
            // Whoever watched finds out by the end of its connection, and asks again.
            std::mem::take(&mut self.peers).keys().for_each(|conn| transport.cut(*conn));
            return;
        }
        let row = self.changes[wake.0 as usize].1.clone();
        match self.rows.iter_mut().find(|known| known.name == row.name) {
            Some(known) => *known = row.clone(),
            None => self.rows.push(row.clone()),
        }
        let watching =
            self.peers.iter().filter_map(|(conn, (_, router))| router.map(|router| (*conn, router)));
        for (conn, router) in watching.collect::<Vec<_>>() {
            self.send_rows(now, transport, conn, router, "changes", &[&row]);
        }
        self.rows.retain(|row| row.status != "gone");
    }
}
