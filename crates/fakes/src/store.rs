//! A fake model store, `GET /model/NAME`. Fetches slow down as more of them run at once, fetches past a limit
//! are rejected, and the store can have outages.
use crate::http_peer::HttpPeer;
use crate::ledger::{Ledger, Observation};
use applepond_http::decode::Side;
use applepond_http::encode;
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, Micros, TimerId, Transport};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Size of a model in bytes. It is sent in two halves, so an outage can begin in the middle of a transfer.
const MODEL_BYTES: usize = 8 * 1024;

/// A fake model store.
pub struct Store {
    /// Address on which it listens.
    pub listen: SocketAddr,
    /// Base duration of a fetch in µs. A fetch that is the `n`th of those running takes
    /// `1 + n / max_fetches` times as long.
    pub fetch_time: Micros,
    /// Limit of concurrent fetches.
    pub max_fetches: usize,
    /// Start and end of each outage. Fetches in progress break off half way. The connection of a new fetch is
    /// closed without a response.
    pub outages: Vec<(Micros, Micros)>,
    /// Receives the observations.
    pub ledger: Ledger,
    /// Connections, each with whether a fetch is in progress.
    peers: BTreeMap<ConnectionId, (HttpPeer, bool)>,
}

impl Store {
    /// Creates a store without outages.
    pub fn new(listen: SocketAddr, fetch_time: Micros, max_fetches: usize, ledger: Ledger) -> Self {
        Store { listen, fetch_time, max_fetches, outages: Vec::new(), ledger, peers: BTreeMap::new() }
    }

    fn is_down(&self, now: Micros) -> bool {
        self.outages.iter().any(|(from, until)| (*from..*until).contains(&now))
    }
}

impl Machine for Store {
    fn start(&mut self, _: Micros, transport: &mut dyn Transport) {
        transport.listen(self.listen, 10_000).expect("the store's port is free");
        for (index, (from, _)) in self.outages.iter().enumerate() {
            transport.set_timer_at(*from, TimerId(u64::MAX - index as u64));
        }
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, conn: ConnectionId, _: Listener) {
        self.peers.insert(conn, (HttpPeer::new(Side::Server), false));
    }
    fn connected(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId) {}
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, bytes: &[u8]) {
        let fetching = self.peers.values().filter(|(_, is_fetching)| *is_fetching).count();
        let is_down = self.is_down(now);
        let Some((peer, is_fetching)) = self.peers.get_mut(&conn) else { return };
        let Some(request) = peer.receive(bytes).and_then(|mut requests| requests.pop()) else { return };
        if let Some(ms) = request.target.strip_prefix("/-/stop?").and_then(|ms| ms.parse::<Micros>().ok()) {
            self.outages.push((now, now + ms * 1000));
            transport.write(conn, &encode::response(200).body(b""));
            return transport.set_timer_at(now, TimerId(u64::MAX));
        }
        let accepted = fetching < self.max_fetches && !is_down;
        self.ledger.record(now, Observation::ModelFetch { accepted });
        if is_down {
            transport.finish(conn);
        } else if !accepted {
            transport.write(conn, &encode::response(503).body(b""));
        } else {
            *is_fetching = true;
            transport.write(conn, &encode::response(200).body(&[0; MODEL_BYTES])[..MODEL_BYTES / 2]);
            let extra = (fetching as u64 + 1) * self.fetch_time / self.max_fetches.max(1) as u64;
            transport.set_timer_at(now + self.fetch_time + extra, TimerId(conn.0));
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
        if self.is_down(now) {
            // Each running fetch has sent the first half of its model and ends here.
            let fetching: Vec<ConnectionId> =
                self.peers.iter().filter(|(_, peer)| peer.1).map(|(conn, _)| *conn).collect();
            for conn in fetching {
                self.peers.remove(&conn);
                transport.finish(conn);
            }
        } else if let Some((_, is_fetching)) = self.peers.get_mut(&ConnectionId(timer.0)) {
            *is_fetching = false;
            transport.write(
                ConnectionId(timer.0),
                &encode::response(200).body(&[0; MODEL_BYTES])[MODEL_BYTES / 2..],
            );
        }
    }
}
