//! The model store: GET /model/NAME. It is slower the more fetches run at once, rejects fetches past a limit,
//! and can stop.
use crate::http_peer::HttpPeer;
use crate::ledger::{Ledger, Saw};
use applepond_http::decode::Side;
use applepond_http::encode;
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, Micros, TimerId, Transport};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bytes of a model: enough that a stop can fall into the middle of it.
const MODEL_BYTES: usize = 8 * 1024;

/// The store.
pub struct Store {
    /// Where it listens.
    pub listen: SocketAddr,
    /// µs of a fetch alone; each further one at a time adds its part of that.
    pub fetch: Micros,
    /// Fetches that it does at a time.
    pub most: usize,
    /// From when to when it stops: fetches in flight break off half way, new connections are closed.
    pub stops: Vec<(Micros, Micros)>,
    /// Where observations go.
    pub ledger: Ledger,
    /// Connections, and whether a fetch runs on each.
    peers: BTreeMap<ConnectionId, (HttpPeer, bool)>,
}

impl Store {
    /// A store that does not stop.
    pub fn new(listen: SocketAddr, fetch: Micros, most: usize, ledger: Ledger) -> Self {
        Store { listen, fetch, most, stops: Vec::new(), ledger, peers: BTreeMap::new() }
    }

    fn stopped(&self, now: Micros) -> bool {
        self.stops.iter().any(|(from, until)| (*from..*until).contains(&now))
    }
}

impl Machine for Store {
    fn start(&mut self, _: Micros, transport: &mut dyn Transport) {
        transport.listen(self.listen, 10_000).expect("the store's port is free");
        for (index, (from, _)) in self.stops.iter().enumerate() {
            transport.set_timer_at(*from, TimerId(u64::MAX - index as u64));
        }
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, conn: ConnectionId, _: Listener) {
        self.peers.insert(conn, (HttpPeer::new(Side::Server), false));
    }
    fn connected(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId) {}
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, bytes: &[u8]) {
        let fetching = self.peers.values().filter(|(_, fetches)| *fetches).count();
        let stopped = self.stopped(now);
        let Some((peer, fetches)) = self.peers.get_mut(&conn) else { return };
        let Some(asked) = peer.receive(bytes).and_then(|mut asked| asked.pop()) else { return };
        if let Some(ms) = asked.target.strip_prefix("/-/stop?").and_then(|ms| ms.parse::<Micros>().ok()) {
            self.stops.push((now, now + ms * 1000));
            transport.write(conn, &encode::response(200).body(b""));
            return transport.set_timer_at(now, TimerId(u64::MAX));
        }
        let taken = fetching < self.most && !stopped;
        self.ledger.write(now, Saw::Fetch { taken });
        if stopped {
            transport.finish(conn);
        } else if !taken {
            transport.write(conn, &encode::response(503).body(b""));
        } else {
            *fetches = true;
            transport.write(conn, &encode::response(200).body(&[0; MODEL_BYTES])[..MODEL_BYTES / 2]);
            let extra = (fetching as u64 + 1) * self.fetch / self.most.max(1) as u64;
            transport.set_timer_at(now + self.fetch + extra, TimerId(conn.0));
        }
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
        if self.stopped(now) {
            // Half of each model is out, and there it ends.
            let fetching: Vec<ConnectionId> =
                self.peers.iter().filter(|(_, peer)| peer.1).map(|(conn, _)| *conn).collect();
            for conn in fetching {
                self.peers.remove(&conn);
                transport.finish(conn);
            }
        } else if let Some((_, fetches)) = self.peers.get_mut(&ConnectionId(timer.0)) {
            *fetches = false;
            transport.write(
                ConnectionId(timer.0),
                &encode::response(200).body(&[0; MODEL_BYTES])[MODEL_BYTES / 2..],
            );
        }
    }
}
