//! An endpoint list whose connection falls silent, or whose server answers late. The list arrives on
//! connections that the gateway opens; silence says nothing about the workers.
mod common;
use applepond_reactor::{Closed, ConnectionId, Micros};
use common::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use test_case::test_case;

/// Time within which a silent list of a few workers is requested again.
const REQUESTED_AGAIN_WITHIN: Micros = 7 * S;

fn list_server() -> SocketAddr {
    "127.0.0.1:8999".parse().expect("an address")
}

/// A chunk with a full list of the worker `w` and as many others as asked for.
fn full_list(standing: &str, others: usize) -> String {
    let mut workers =
        vec![format!("{{\"name\":\"w\",\"address\":\"127.0.0.1:9\",\"standing\":\"{standing}\"}}")];
    workers.extend((0..others).map(|n| {
        format!("{{\"name\":\"other-{n}\",\"address\":\"127.0.0.1:10\",\"standing\":\"draining\"}}")
    }));
    let line = format!("{{\"kind\":\"full\",\"workers\":[{}]}}\n", workers.join(","));
    format!("{:x}\r\n{line}\r\n", line.len())
}

/// The beginning of the response with this list.
fn response(list: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{list}")
}

/// A gateway that watches a list.
struct Rig {
    sim: SimulatedGateway,
}

impl Rig {
    /// Creates a gateway that has received a list on its first connection.
    fn with_list(list: &str) -> Self {
        let mut deployment = deployment(0);
        deployment.endpoint_list = Some(list_server());
        let mut rig = Rig { sim: SimulatedGateway::new(deployment) };
        let first = rig.watches()[0];
        rig.sim.receive(first, response(list).as_bytes());
        rig
    }

    /// All connections opened to the list's server so far. Establishes those that are still connecting.
    fn watches(&mut self) -> Vec<ConnectionId> {
        self.sim.worker_connections();
        let opened = self.sim.transport.connections.iter();
        opened.filter(|(_, at)| *at == list_server()).map(|(conn, _)| *conn).collect()
    }

    fn open_watches(&mut self) -> Vec<ConnectionId> {
        let mut watches = self.watches();
        watches.retain(|conn| !self.sim.transport.cut.contains(conn));
        watches
    }

    /// Advances until the list is requested on another connection. Returns that connection.
    fn wait_for_request(&mut self) -> ConnectionId {
        let before = self.watches().len();
        let limit = self.sim.now + REQUESTED_AGAIN_WITHIN;
        while self.watches().len() == before {
            assert!(self.sim.now < limit, "the list is requested again in time");
            self.sim.advance(100 * MS);
        }
        let conn = *self.watches().last().expect("a connection");
        assert!(self.sim.output(conn).starts_with("GET /watch?router=0"), "{}", self.sim.output(conn));
        conn
    }

    /// Whether the state page shows one draining worker.
    fn knows_drain(&mut self) -> bool {
        self.state_page().contains("\"draining\":1")
    }

    fn state_page(&mut self) -> String {
        let page = self.sim.connect_client();
        self.sim.receive(page, b"GET /-/state HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        let text = self.sim.output(page);
        self.sim.disconnect(page, Closed::Ended);
        text
    }

    /// Whether a new request is sent to the worker `w`.
    fn sends_requests(&mut self, id: &str) -> bool {
        let before = self.sim.requests();
        self.sim.send_event("quote", id);
        self.sim.worker_connections();
        self.sim.requests() > before
    }
}

// Regression: an open watch that fell silent was never requested again. A draining worker received requests
// for as long as the connection stayed open.
#[test]
fn a_list_that_falls_silent_is_requested_again() {
    let mut rig = Rig::with_list(&full_list("ready", 0));
    let first = rig.watches()[0];
    assert!(rig.sends_requests("1"));
    let second = rig.wait_for_request();
    rig.sim.receive(second, response(&full_list("draining", 0)).as_bytes());
    assert!(!rig.sends_requests("2"), "the drain is known");
    assert_eq!(rig.open_watches(), [second], "the silent connection is closed");
    assert!(rig.sim.transport.cut.contains(&first));
    rig.sim.receive(second, full_list("ready", 0).as_bytes());
    assert!(rig.sends_requests("3"), "the watch goes on at the second connection");
}

// The server takes long for its answer to the second request. Both connections stay open until one is heard.
#[test_case(3 * S)]
#[test_case(10 * S)]
#[test_case(50 * S)]
fn a_late_answer_to_the_second_request_is_used(delay: Micros) {
    let mut rig = Rig::with_list(&full_list("ready", 0));
    let limit = rig.sim.now + 3 * delay + 20 * S;
    let mut requested_at = BTreeMap::new();
    while !rig.knows_drain() {
        assert!(rig.sim.now < limit, "the drain is known in time");
        rig.sim.advance(500 * MS);
        let open = rig.open_watches();
        assert!(open.len() <= 2, "two connections at most");
        for conn in open.into_iter().skip(1) {
            let requested_at = *requested_at.entry(conn).or_insert(rig.sim.now);
            if rig.sim.now >= requested_at + delay {
                rig.sim.receive(conn, response(&full_list("draining", 0)).as_bytes());
            }
        }
    }
}

// The first connection is heard again before the second: the second is closed, as its list may be older.
#[test]
fn a_connection_that_is_heard_again_stays() {
    let mut rig = Rig::with_list(&full_list("ready", 0));
    let first = rig.watches()[0];
    let second = rig.wait_for_request();
    rig.sim.receive(first, full_list("draining", 0).as_bytes());
    assert_eq!(rig.open_watches(), [first]);
    assert!(rig.sim.transport.cut.contains(&second));
    assert!(rig.knows_drain());
}

// The second connection is lost, or answers something else than a list. The first stays open.
#[test_case(|sim, conn| sim.disconnect(conn, Closed::Reset); "reset")]
#[test_case(|sim, conn| sim.disconnect(conn, Closed::NotEstablished); "not established")]
#[test_case(|sim, conn| sim.receive(conn, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"); "refused")]
fn the_first_connection_outlasts_a_failed_second(fail: fn(&mut SimulatedGateway, ConnectionId)) {
    let mut rig = Rig::with_list(&full_list("ready", 0));
    let first = rig.watches()[0];
    let second = rig.wait_for_request();
    fail(&mut rig.sim, second);
    assert!(!rig.sim.transport.cut.contains(&first));
    assert!(rig.sends_requests("1"));
    let third = rig.wait_for_request();
    rig.sim.receive(third, response(&full_list("draining", 0)).as_bytes());
    assert!(rig.knows_drain());
}

// The first connection is lost while the second waits for its answer, which is then used.
#[test]
fn the_second_connection_outlasts_the_first() {
    let mut rig = Rig::with_list(&full_list("ready", 0));
    let first = rig.watches()[0];
    let second = rig.wait_for_request();
    rig.sim.disconnect(first, Closed::Reset);
    rig.sim.receive(second, response(&full_list("draining", 0)).as_bytes());
    rig.sim.advance(3 * S);
    assert_eq!(rig.watches(), [first, second], "no further connection");
    assert!(rig.knows_drain());
}

// A list without changes is fetched at a rate that its size decides: 4 kB/s on average, every 4 s at most.
#[test_case(0; "few workers")]
#[test_case(3_000; "3,000 workers")]
fn a_quiet_list_is_fetched_at_a_bounded_rate(others: usize) {
    let mut rig = Rig::with_list(&full_list("ready", others));
    let mut answered = rig.watches();
    for _ in 0..600 {
        rig.sim.advance(S);
        for conn in rig.open_watches() {
            if !answered.contains(&conn) {
                answered.push(conn);
                rig.sim.receive(conn, response(&full_list("ready", others)).as_bytes());
            }
        }
    }
    let fetched = rig.watches().len() - 1;
    let most = (600 / 4).min(600 * 4_000 / full_list("ready", others).len() + 1);
    assert!((most / 2..=most).contains(&fetched), "{fetched} times in ten minutes, {most} at most");
    assert_eq!(rig.open_watches().len(), 1);
}

// Regression: each connection to a list server that takes longer than the connect timeout was given up, so
// that it was never reached.
#[test]
fn the_connect_timeout_of_the_list_grows_with_its_backoff() {
    let mut deployment = deployment(0);
    deployment.endpoint_list = Some(list_server());
    let mut sim = SimulatedGateway::new(deployment);
    for _ in 0..8 {
        let conn = sim.transport.connections.last().expect("a connection").0;
        sim.disconnect(conn, Closed::NotEstablished);
        while sim.transport.connections.last().is_some_and(|(last, _)| *last == conn) {
            sim.advance(100 * MS);
        }
    }
    let timeouts = &sim.transport.connect_timeouts;
    assert_eq!(timeouts[0], 250 * MS);
    assert!(timeouts.is_sorted() && timeouts.last() == Some(&(6 * S)), "{timeouts:?}");
}

// The state page shows for how long nothing has arrived from the list.
#[test]
fn the_state_page_shows_the_silence_of_the_list() {
    let mut rig = Rig::with_list(&full_list("ready", 0));
    rig.sim.advance(2 * S);
    let state = rig.state_page();
    assert!(state.contains("\"list\":{\"silent_us\":2000000}"), "{state}");
}
