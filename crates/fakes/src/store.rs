//! The model store: GET /model/NAME. It is slower the more fetches run at once, rejects fetches past a limit,
//! and can stop.
use crate::http_peer::HttpPeer;
use crate::ledger::{Ledger, Observation};
use applepond_http::decode::Side;
use applepond_http::encode;
use applepond_reactor::{Closed, Conn, Listener, Machine, Micros, Transport, Wake};
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
    peers: BTreeMap<Conn, (HttpPeer, bool)>,
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
            transport.wake_at(*from, Wake(u64::MAX - index as u64));
        }
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, conn: Conn, _: Listener) {
        self.peers.insert(conn, (HttpPeer::new(Side::Server), false));
    }
    fn connected(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {}
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        let fetching = self.peers.values().filter(|(_, fetches)| *fetches).count();
        let stopped = self.stopped(now);
        let Some((peer, fetches)) = self.peers.get_mut(&conn) else { return };
        let Some(asked) = peer.receive(bytes).and_then(|mut asked| asked.pop()) else { return };
        if let Some(ms) = asked.target.strip_prefix("/-/stop?").and_then(|ms| ms.parse::<Micros>().ok()) {
            self.stops.push((now, now + ms * 1000));
            transport.write(conn, &encode::response(200).body(b""));
            return transport.wake_at(now, Wake(u64::MAX));
        }
        let accepted = fetching < self.most && !stopped;
        self.ledger.record(now, Observation::ModelFetch { accepted });
        if stopped {
            transport.finish(conn);
        } else if !accepted {
            transport.write(conn, &encode::response(503).body(b""));
        } else {
            *fetches = true;
            transport.write(conn, &encode::response(200).body(&[0; MODEL_BYTES])[..MODEL_BYTES / 2]);
            let extra = (fetching as u64 + 1) * self.fetch / self.most.max(1) as u64;
            transport.wake_at(now + self.fetch + extra, Wake(conn.0));
        }
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
        if self.stopped(now) {
            // Half of each model is out, and there it ends.
            let fetching: Vec<Conn> =
                self.peers.iter().filter(|(_, peer)| peer.1).map(|(conn, _)| *conn).collect();
            for conn in fetching {
                self.peers.remove(&conn);
                transport.finish(conn);
            }
        } else if let Some((_, fetches)) = self.peers.get_mut(&Conn(wake.0)) {
            *fetches = false;
            transport.write(Conn(wake.0), &encode::response(200).body(&[0; MODEL_BYTES])[MODEL_BYTES / 2..]);
        }
    }
}
