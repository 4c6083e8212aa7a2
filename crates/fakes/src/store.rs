//! The model store: GET /model/NAME. Slower the more fetch at once, turns fetches away past a limit, can
//! stop.
use crate::ledger::{Ledger, Saw};
use crate::wording::Talk;
use applepond_http::decode::Side;
use applepond_http::encode;
use applepond_reactor::{Closed, Conn, Listener, Machine, Micros, Transport, Wake};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bytes of a stand-in model: enough that a stop can fall into the middle of it.
const MODEL: usize = 8 * 1024;

pub struct Store {
    pub listen: SocketAddr,
    /// µs of a fetch alone; each further one at a time adds its part of that.
    pub fetch: Micros,
    pub most: usize,
    /// Stops from `.0` to `.1`: fetches under way break off half way, new ones hang up.
    pub stops: Vec<(Micros, Micros)>,
    pub ledger: Ledger,
    talks: BTreeMap<Conn, (Talk, bool)>,
}

impl Store {
    pub fn new(listen: SocketAddr, fetch: Micros, most: usize, ledger: Ledger) -> Self {
        Store { listen, fetch, most, stops: Vec::new(), ledger, talks: BTreeMap::new() }
    }

    fn stopped(&self, now: Micros) -> bool {
        self.stops.iter().any(|(from, until)| (*from..*until).contains(&now))
    }
}

impl Machine for Store {
    fn start(&mut self, _: Micros, transport: &mut dyn Transport) {
        transport.listen(self.listen, 10_000).expect("the store's port is free");
        for (n, (from, _)) in self.stops.iter().enumerate() {
            transport.wake_at(*from, Wake(u64::MAX - n as u64));
        }
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, conn: Conn, _: Listener) {
        self.talks.insert(conn, (Talk::new(Side::Server), false));
    }
    fn connected(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {}
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        let fetching = self.talks.values().filter(|(_, f)| *f).count();
        let stopped = self.stopped(now);
        let Some((talk, fetches)) = self.talks.get_mut(&conn) else { return };
        let Some(asked) = talk.hear(bytes).and_then(|mut asked| asked.pop()) else { return };
        if let Some(ms) = asked.target.strip_prefix("/-/stop?").and_then(|ms| ms.parse::<Micros>().ok()) {
            self.stops.push((now, now + ms * 1000));
            transport.write(conn, &encode::response(200).body(b""));
            return transport.wake_at(now, Wake(u64::MAX));
        }
        let taken = fetching < self.most && !stopped;
        self.ledger.write(now, Saw::Fetch { taken });
        if stopped {
            transport.finish(conn);
        } else if !taken {
            transport.write(conn, &encode::response(503).body(b""));
        } else {
            *fetches = true;
            transport.write(conn, &encode::response(200).body(&[0; MODEL])[..MODEL / 2]);
            let crowd = (fetching as u64 + 1) * self.fetch / self.most.max(1) as u64;
            transport.wake_at(now + self.fetch + crowd, Wake(conn.0));
        }
    }
    fn half_closed(&mut self, _: Micros, transport: &mut dyn Transport, conn: Conn) {
        self.talks.remove(&conn);
        transport.cut(conn);
    }
    fn closed(&mut self, _: Micros, _: &mut dyn Transport, conn: Conn, _: Closed, _: u64) {
        self.talks.remove(&conn);
    }
    fn flushed(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {}
    fn woken(&mut self, now: Micros, transport: &mut dyn Transport, wake: Wake) {
        if self.stopped(now) {
            // Half of each model is out, and there it ends.
            let fetching: Vec<Conn> = self.talks.iter().filter(|(_, t)| t.1).map(|(c, _)| *c).collect();
            for conn in fetching {
                self.talks.remove(&conn);
                transport.finish(conn);
            }
        } else if let Some((_, fetches)) = self.talks.get_mut(&Conn(wake.0)) {
            *fetches = false;
            transport.write(Conn(wake.0), &encode::response(200).body(&[0; MODEL])[MODEL / 2..]);
        }
    }
}
