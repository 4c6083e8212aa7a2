//! The endpoint list: knows when workers run, drain and are gone, and sends it late to whoever watches.
use crate::http_peer::HttpPeer;
use crate::ledger::{Ledger, Saw};
use applepond_http::decode::Side;
use applepond_http::encode;
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, Micros, TimerId, Transport};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The timer at which it stops answering.
const SILENT: TimerId = TimerId(u64::MAX);

/// One worker as the list names it.
#[derive(Clone)]
pub struct Row {
    /// Name of the worker.
    pub name: Rc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its status: ready, draining or gone.
    pub standing: &'static str,
    /// ms since the Unix epoch; 0 for one that ran before the day began.
    pub started: u64,
    /// Its zone.
    pub zone: String,
    /// Its rack.
    pub rack: i64,
    /// Its weight.
    pub weight: f64,
}

impl Row {
    fn json(&self) -> Value {
        json!({"name": &*self.name, "address": self.address.to_string(), "standing": self.standing,
            "started": self.started, "zone": self.zone, "rack": self.rack, "weight": self.weight})
    }
}

/// The list.
pub struct Hosts {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The rows at present.
    pub rows: Vec<Row>,
    /// Changes, with when the list has them.
    pub changes: Vec<(Micros, Row)>,
    /// From when to when it answers nobody; whoever asks afterwards gets the whole list.
    pub silence: (Micros, Micros),
    /// Whoever asks from the one moment to the other gets this row in place of the true one, as from a
    /// replica that is behind.
    pub stale: Option<(Micros, Micros, Row)>,
    /// Where observations go.
    pub ledger: Ledger,
    /// Connections, each with the router that watches on it.
    peers: BTreeMap<ConnectionId, (HttpPeer, Option<u64>)>,
}

impl Hosts {
    /// A list that answers always.
    pub fn new(listen: SocketAddr, rows: Vec<Row>, changes: Vec<(Micros, Row)>, ledger: Ledger) -> Self {
        Hosts { listen, rows, changes, silence: (0, 0), stale: None, ledger, peers: BTreeMap::new() }
    }

    /// Sends rows to a router.
    fn send_rows(
        &self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        router: u64,
        kind: &str,
        rows: &[&Row],
    ) {
        let workers: Vec<Value> = rows.iter().map(|row| row.json()).collect();
        let line = format!("{}\n", json!({"kind": kind, "workers": workers}));
        transport.write(conn, &encode::chunk(line.as_bytes()));
        for row in rows {
            let (worker, ready) = (row.name.clone(), row.standing == "ready");
            self.ledger.write(now, Saw::Told { router, worker, ready, started: row.started });
        }
    }
}

impl Machine for Hosts {
    fn start(&mut self, _: Micros, transport: &mut dyn Transport) {
        transport.listen(self.listen, 10_000).expect("the host list's port is free");
        transport.set_timer_at(self.silence.0, SILENT);
        for (index, (at, _)) in self.changes.iter().enumerate() {
            transport.set_timer_at(*at, TimerId(index as u64));
        }
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, conn: ConnectionId, _: Listener) {
        self.peers.insert(conn, (HttpPeer::new(Side::Server), None));
    }
    fn connected(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId) {}
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, bytes: &[u8]) {
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
                self.changes.push((now, Row { standing, ..row }));
                transport.set_timer_at(now, TimerId(self.changes.len() as u64 - 1));
            }
            return;
        }
        if (self.silence.0..self.silence.1).contains(&now) {
            self.peers.remove(&conn);
            return transport.abort(conn);
        }
        let router = asked.target.rsplit("router=").next().and_then(|index| index.parse().ok()).unwrap_or(0);
        *watches = Some(router);
        transport.write(conn, &encode::response(200).field("Content-Type", "application/jsonl").chunked());
        let stale = self.stale.as_ref().filter(|(from, until, _)| (*from..*until).contains(&now));
        let mut rows: Vec<&Row> = self.rows.iter().collect();
        if let Some((_, _, old)) = stale {
            rows.iter_mut().filter(|row| row.name == old.name).for_each(|row| *row = old);
        }
        self.send_rows(now, transport, conn, router, "full", &rows);
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
        if timer == SILENT {
            // Whoever watched finds out by the end of its connection, and asks again.
            std::mem::take(&mut self.peers).keys().for_each(|conn| transport.abort(*conn));
            return;
        }
        let row = self.changes[timer.0 as usize].1.clone();
        match self.rows.iter_mut().find(|known| known.name == row.name) {
            Some(known) => *known = row.clone(),
            None => self.rows.push(row.clone()),
        }
        let watching =
            self.peers.iter().filter_map(|(conn, (_, router))| router.map(|router| (*conn, router)));
        for (conn, router) in watching.collect::<Vec<_>>() {
            self.send_rows(now, transport, conn, router, "changes", &[&row]);
        }
        self.rows.retain(|row| row.standing != "gone");
    }
}
