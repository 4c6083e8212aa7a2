//! Faults planted between a router and its sockets, to prove the auditor: the router itself stays as it is,
//! what it reads and writes is bent.
use applepond_reactor::{Closed, Conn, Listener, Machine, Micros, Transport, Wake};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Every so many answers one is bent.
const EVERY: u64 = 40;
/// Copies of each request that are sent to a cold worker.
const FLOOD: usize = 8;
/// Every so many last steps of chains one is held back, and for so many µs: past any chain's time.
const LATE_EVERY: u64 = 10;
const LATE_BY: Micros = 6_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    LostAnswer,
    DoubleAnswer,
    EffectTwice,
    SendToDrained,
    PushColdOver,
    LateStep,
    ChainTwice,
}

pub const PLANTS: [(&str, Plant, u8); 7] = [
    ("lost-answer", Plant::LostAnswer, 1),
    ("double-answer", Plant::DoubleAnswer, 1),
    ("effect-twice", Plant::EffectTwice, 2),
    ("send-to-drained", Plant::SendToDrained, 3),
    ("push-cold-over", Plant::PushColdOver, 4),
    ("late-step", Plant::LateStep, 6),
    ("chain-twice", Plant::ChainTwice, 2),
];

#[derive(Default)]
struct State {
    callers: BTreeSet<Conn>,
    links: BTreeMap<Conn, SocketAddr>,
    cold: BTreeSet<SocketAddr>,
    /// Connections of the saboteur's own, with what they are to send.
    own: BTreeMap<Conn, Vec<u8>>,
    answers: u64,
    last_steps: u64,
    /// Requests held back, until when and for whom.
    held: Vec<(Micros, SocketAddr, Vec<u8>)>,
}

pub struct Saboteur {
    inside: Box<dyn Machine>,
    plant: Plant,
    state: State,
}

impl Saboteur {
    pub fn new(inside: Box<dyn Machine>, plant: Plant) -> Self {
        Saboteur { inside, plant, state: State::default() }
    }

    fn with(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        call: impl FnOnce(&mut dyn Machine, &mut dyn Transport),
    ) {
        let due = self.state.held.iter().position(|(at, _, _)| *at <= now);
        if let Some((_, to, bytes)) = due.map(|n| self.state.held.remove(n)) {
            let own = transport.connect(to, 1_000_000);
            self.state.own.insert(own, bytes);
        }
        let mut bent = Bent { now, transport, plant: self.plant, state: &mut self.state };
        call(self.inside.as_mut(), &mut bent);
    }
}

struct Bent<'a> {
    now: Micros,
    transport: &'a mut dyn Transport,
    plant: Plant,
    state: &'a mut State,
}

fn holds(bytes: &[u8], text: &str) -> bool {
    bytes.windows(text.len()).any(|w| w == text.as_bytes())
}

/// Puts `new` for each `old` of the same length, so that the lengths of chunks stay right.
fn swap(bytes: &mut [u8], old: &str, new: &str) {
    for at in 0..bytes.len().saturating_sub(old.len() - 1) {
        if &bytes[at..at + old.len()] == old.as_bytes() {
            bytes[at..at + old.len()].copy_from_slice(new.as_bytes());
        }
    }
}

impl Transport for Bent<'_> {
    fn connect(&mut self, to: SocketAddr, patience: Micros) -> Conn {
        let conn = self.transport.connect(to, patience);
        self.state.links.insert(conn, to);
        conn
    }
    fn write(&mut self, conn: Conn, bytes: &[u8]) {
        let answer = self.state.callers.contains(&conn) && bytes.starts_with(b"HTTP/1.1 200");
        self.state.answers += u64::from(answer);
        let turn = answer && self.state.answers.is_multiple_of(EVERY);
        let to = self.state.links.get(&conn).copied();
        let times = match self.plant {
            Plant::EffectTwice if holds(bytes, "ce-type: confirm") => 1,
            Plant::ChainTwice if holds(bytes, "/price\r\n") || holds(bytes, "/confirm\r\n") => 1,
            Plant::PushColdOver if to.is_some_and(|to| self.state.cold.contains(&to)) => FLOOD,
            _ => 0,
        };
        if let Some(to) = to.filter(|_| bytes.starts_with(b"POST")) {
            for _ in 0..times {
                let own = self.transport.connect(to, 1_000_000);
                self.state.own.insert(own, bytes.to_vec());
            }
        }
        if self.plant == Plant::LateStep && holds(bytes, "/confirm\r\n") && to.is_some() {
            self.state.last_steps += 1;
            if let Some(to) = to.filter(|_| self.state.last_steps.is_multiple_of(LATE_EVERY)) {
                return self.state.held.push((self.now + LATE_BY, to, bytes.to_vec()));
            }
        }
        match self.plant {
            Plant::LostAnswer if turn => {}
            Plant::DoubleAnswer if turn => self.transport.write(conn, &[bytes, bytes].concat()),
            _ => self.transport.write(conn, bytes),
        }
    }
    fn offer(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        self.transport.offer(conn, bytes)
    }
    fn datagrams(&mut self, to: SocketAddr) -> Option<Conn> {
        self.transport.datagrams(to)
    }
    fn datagram(&mut self, conn: Conn, bytes: &[u8]) {
        self.transport.datagram(conn, bytes);
    }
    fn unsent(&self, conn: Conn) -> usize {
        self.transport.unsent(conn)
    }
    fn sent(&self, conn: Conn) -> u64 {
        self.transport.sent(conn)
    }
    fn reading(&mut self, conn: Conn, on: bool) {
        self.transport.reading(conn, on);
    }
    fn arrived(&self, conn: Conn, now: Micros) -> Micros {
        self.transport.arrived(conn, now)
    }
    fn hangup_first(&mut self, conn: Conn) {
        self.transport.hangup_first(conn);
    }
    fn finish(&mut self, conn: Conn) {
        self.transport.finish(conn);
    }
    fn cut(&mut self, conn: Conn) {
        self.transport.cut(conn);
    }
    fn listen(&mut self, at: SocketAddr, most: usize) -> std::io::Result<(Listener, SocketAddr)> {
        self.transport.listen(at, most)
    }
    fn stop_accepting(&mut self, listener: Listener, close: bool) {
        self.transport.stop_accepting(listener, close);
    }
    fn resume_accepting(&mut self, listener: Listener) {
        self.transport.resume_accepting(listener);
    }
    fn wake_at(&mut self, at: Micros, wake: Wake) {
        self.transport.wake_at(at, wake);
    }
}

impl Machine for Saboteur {
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.with(now, transport, |m, w| m.start(now, w));
    }
    fn accepted(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, listener: Listener) {
        self.state.callers.insert(conn);
        self.with(now, transport, |m, w| m.accepted(now, w, conn, listener));
    }
    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        match self.state.own.get(&conn) {
            Some(bytes) => transport.write(conn, bytes),
            None => self.with(now, transport, |m, w| m.connected(now, w, conn)),
        }
    }
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        if self.state.own.contains_key(&conn) {
            return;
        }
        let mut bytes = bytes.to_vec();
        let list = holds(&bytes, "\"standing\"");
        if list && self.plant == Plant::SendToDrained {
            swap(&mut bytes, "\"draining\"", "\"ready\"   ");
        }
        if list && self.plant == Plant::PushColdOver {
            // One row a change: its address, and that it has just started, are in the same piece.
            let text = String::from_utf8_lossy(&bytes).into_owned();
            for row in text.split('{').filter(|r| r.contains("\"ready\"") && !r.contains("\"started\":0")) {
                let address = row.split("\"address\":\"").nth(1).and_then(|r| r.split('"').next());
                self.state.cold.extend(address.and_then(|a| a.parse::<SocketAddr>().ok()));
            }
            while let Some(at) =
                bytes.windows(11).position(|w| w.starts_with(b"\"started\":") && w[10] != b'0')
            {
                let digits = bytes[at + 10..].iter().take_while(|b| b.is_ascii_digit()).count();
                bytes[at + 10..at + 10 + digits].fill(b' ');
                bytes[at + 10] = b'0';
            }
        }
        self.with(now, transport, |m, w| m.bytes(now, w, conn, &bytes));
    }
    fn datagram_received(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        self.with(now, transport, |m, w| m.datagram_received(now, w, conn, bytes));
    }
    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        match self.state.own.remove(&conn) {
            Some(_) => transport.cut(conn),
            None => self.with(now, transport, |m, w| m.half_closed(now, w, conn)),
        }
    }
    fn closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, why: Closed, sent: u64) {
        self.state.callers.remove(&conn);
        self.state.links.remove(&conn);
        if self.state.own.remove(&conn).is_none() {
            self.with(now, transport, |m, w| m.closed(now, w, conn, why, sent));
        }
    }
    fn flushed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        if !self.state.own.contains_key(&conn) {
            self.with(now, transport, |m, w| m.flushed(now, w, conn));
        }
    }
    fn woken(&mut self, now: Micros, transport: &mut dyn Transport, wake: Wake) {
        self.with(now, transport, |m, w| m.woken(now, w, wake));
    }
}
