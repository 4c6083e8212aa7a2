//! Bugs seeded between a router and its sockets, to prove the audit: the router itself stays as it is, what
//! it reads and writes is changed.
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, Micros, TimerId, Transport};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Every so many answers one is changed.
const ANSWERS_PER_BUG: u64 = 40;
/// Copies of each request that are sent to a cold worker.
const COPIES_TO_COLD_WORKER: usize = 8;
/// Every so many last steps of workflows one is delayed.
const STEPS_PER_DELAY: u64 = 10;
/// µs of that delay: past any workflow's deadline.
const STEP_DELAY: Micros = 6_000_000;
/// µs within which an additional connection has to be established.
const CONNECT_TIMEOUT: Micros = 1_000_000;

/// A bug.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    /// Some answers are not sent.
    LostAnswer,
    /// Some answers are sent twice.
    DoubleAnswer,
    /// Requests that run at most once are sent twice.
    EffectTwice,
    /// Draining workers are taken for ready.
    SendToDrained,
    /// Cold workers get each request several times.
    PushColdOver,
    /// The last step of some workflows is sent late.
    LateStep,
    /// Steps of workflows are sent twice.
    ChainTwice,
}

/// The bugs by their names on the command line, each with the rule that it breaks.
pub const SEEDED_BUGS: [(&str, SeededBug, u8); 7] = [
    ("lost-answer", SeededBug::LostAnswer, 1),
    ("double-answer", SeededBug::DoubleAnswer, 1),
    ("effect-twice", SeededBug::EffectTwice, 2),
    ("send-to-drained", SeededBug::SendToDrained, 3),
    ("push-cold-over", SeededBug::PushColdOver, 4),
    ("late-step", SeededBug::LateStep, 6),
    ("chain-twice", SeededBug::ChainTwice, 2),
];

/// A request that is sent later.
struct Delayed {
    until: Micros,
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// What a bug knows of the router's connections.
#[derive(Default)]
struct State {
    /// Connections of clients.
    clients: BTreeSet<ConnectionId>,
    /// Connections that the router opened.
    opened: BTreeMap<ConnectionId, SocketAddr>,
    /// Workers that have just started.
    cold: BTreeSet<SocketAddr>,
    /// Connections that the bug opened, with what they are to send.
    own: BTreeMap<ConnectionId, Vec<u8>>,
    /// Answers so far.
    answers: u64,
    /// Last steps of workflows so far.
    last_steps: u64,
    delayed: Vec<Delayed>,
}

/// A machine with a bug.
pub struct BuggyMachine {
    inner: Box<dyn Machine>,
    bug: SeededBug,
    state: State,
}

impl BuggyMachine {
    /// Gives the machine this bug.
    pub fn new(inner: Box<dyn Machine>, bug: SeededBug) -> Self {
        BuggyMachine { inner, bug, state: State::default() }
    }

    /// Calls the machine with a transport that has the bug.
    fn call(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        call: impl FnOnce(&mut dyn Machine, &mut dyn Transport),
    ) {
        let due = self.state.delayed.iter().position(|delayed| delayed.until <= now);
        if let Some(delayed) = due.map(|index| self.state.delayed.remove(index)) {
            let own = transport.connect(delayed.to, CONNECT_TIMEOUT);
            self.state.own.insert(own, delayed.bytes);
        }
        let mut transport = BuggyTransport { now, transport, bug: self.bug, state: &mut self.state };
        call(self.inner.as_mut(), &mut transport);
    }
}

/// Commands of the machine on their way to the host.
struct BuggyTransport<'a> {
    now: Micros,
    transport: &'a mut dyn Transport,
    bug: SeededBug,
    state: &'a mut State,
}

fn contains(bytes: &[u8], text: &str) -> bool {
    bytes.windows(text.len()).any(|window| window == text.as_bytes())
}

/// Replaces each `old` by `new`, which has the same length, so that the lengths of chunks stay right.
fn replace(bytes: &mut [u8], old: &str, new: &str) {
    for at in 0..bytes.len().saturating_sub(old.len() - 1) {
        if &bytes[at..at + old.len()] == old.as_bytes() {
            bytes[at..at + old.len()].copy_from_slice(new.as_bytes());
        }
    }
}

impl BuggyTransport<'_> {
    /// Sends additional copies of a request, each on a connection of its own.
    fn send_copies(&mut self, to: Option<SocketAddr>, bytes: &[u8]) {
        let Some(to) = to.filter(|_| bytes.starts_with(b"POST")) else { return };
        let copies = match self.bug {
            SeededBug::EffectTwice if contains(bytes, "ce-type: confirm") => 1,
            SeededBug::ChainTwice if contains(bytes, "/price\r\n") || contains(bytes, "/confirm\r\n") => 1,
            SeededBug::PushColdOver if self.state.cold.contains(&to) => COPIES_TO_COLD_WORKER,
            _ => 0,
        };
        for _ in 0..copies {
            let own = self.transport.connect(to, CONNECT_TIMEOUT);
            self.state.own.insert(own, bytes.to_vec());
        }
    }

    /// Whether the last step of a workflow is sent later instead.
    fn delays(&mut self, to: Option<SocketAddr>, bytes: &[u8]) -> bool {
        let Some(to) = to.filter(|_| self.bug == SeededBug::LateStep && contains(bytes, "/confirm\r\n"))
        else {
            return false;
        };
        self.state.last_steps += 1;
        let is_delayed = self.state.last_steps.is_multiple_of(STEPS_PER_DELAY);
        if is_delayed {
            let delayed = Delayed { until: self.now + STEP_DELAY, to, bytes: bytes.to_vec() };
            self.state.delayed.push(delayed);
        }
        is_delayed
    }
}

/// Takes workers that have just started for warm ones, in a row each of a piece of the endpoint list: the
/// addresses of those are returned.
fn hide_starts(bytes: &mut [u8]) -> BTreeSet<SocketAddr> {
    let mut cold = BTreeSet::new();
    // One row a change: its address, and that it has just started, are in the same piece.
    let text = String::from_utf8_lossy(bytes).into_owned();
    for row in text.split('{').filter(|row| row.contains("\"ready\"") && !row.contains("\"started\":0")) {
        let address = row.split("\"address\":\"").nth(1).and_then(|rest| rest.split('"').next());
        cold.extend(address.and_then(|address| address.parse::<SocketAddr>().ok()));
    }
    let is_start = |window: &[u8]| window.starts_with(b"\"started\":") && window[10] != b'0';
    while let Some(at) = bytes.windows(11).position(is_start) {
        let digits = bytes[at + 10..].iter().take_while(|byte| byte.is_ascii_digit()).count();
        bytes[at + 10..at + 10 + digits].fill(b' ');
        bytes[at + 10] = b'0';
    }
    cold
}

impl Transport for BuggyTransport<'_> {
    fn connect(&mut self, to: SocketAddr, timeout: Micros) -> ConnectionId {
        let conn = self.transport.connect(to, timeout);
        self.state.opened.insert(conn, to);
        conn
    }
    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let is_answer = self.state.clients.contains(&conn) && bytes.starts_with(b"HTTP/1.1 200");
        self.state.answers += u64::from(is_answer);
        let is_changed = is_answer && self.state.answers.is_multiple_of(ANSWERS_PER_BUG);
        let to = self.state.opened.get(&conn).copied();
        self.send_copies(to, bytes);
        if self.delays(to, bytes) {
            return;
        }
        match self.bug {
            SeededBug::LostAnswer if is_changed => {}
            SeededBug::DoubleAnswer if is_changed => self.transport.write(conn, &[bytes, bytes].concat()),
            _ => self.transport.write(conn, bytes),
        }
    }
    fn try_write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize {
        self.transport.try_write(conn, bytes)
    }
    fn connect_datagrams(&mut self, to: SocketAddr) -> Option<ConnectionId> {
        self.transport.connect_datagrams(to)
    }
    fn send_datagram(&mut self, conn: ConnectionId, bytes: &[u8]) {
        self.transport.send_datagram(conn, bytes);
    }
    fn unsent(&self, conn: ConnectionId) -> usize {
        self.transport.unsent(conn)
    }
    fn sent(&self, conn: ConnectionId) -> u64 {
        self.transport.sent(conn)
    }
    fn set_reading(&mut self, conn: ConnectionId, on: bool) {
        self.transport.set_reading(conn, on);
    }
    fn earliest_arrival(&self, conn: ConnectionId, now: Micros) -> Micros {
        self.transport.earliest_arrival(conn, now)
    }
    fn hangup_first(&mut self, conn: ConnectionId) {
        self.transport.hangup_first(conn);
    }
    fn finish(&mut self, conn: ConnectionId) {
        self.transport.finish(conn);
    }
    fn abort(&mut self, conn: ConnectionId) {
        self.transport.abort(conn);
    }
    fn listen(&mut self, at: SocketAddr, max_open: usize) -> std::io::Result<(Listener, SocketAddr)> {
        self.transport.listen(at, max_open)
    }
    fn stop_accepting(&mut self, listener: Listener, close: bool) {
        self.transport.stop_accepting(listener, close);
    }
    fn resume_accepting(&mut self, listener: Listener) {
        self.transport.resume_accepting(listener);
    }
    fn set_timer_at(&mut self, at: Micros, timer: TimerId) {
        self.transport.set_timer_at(at, timer);
    }
}

impl Machine for BuggyMachine {
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.call(now, transport, |machine, transport| machine.start(now, transport));
    }
    fn accepted(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        listener: Listener,
    ) {
        self.state.clients.insert(conn);
        self.call(now, transport, |machine, transport| machine.accepted(now, transport, conn, listener));
    }
    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        match self.state.own.get(&conn) {
            Some(bytes) => transport.write(conn, bytes),
            None => self.call(now, transport, |machine, transport| machine.connected(now, transport, conn)),
        }
    }
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, bytes: &[u8]) {
        if self.state.own.contains_key(&conn) {
            return;
        }
        let mut bytes = bytes.to_vec();
        if contains(&bytes, "\"standing\"") {
            match self.bug {
                SeededBug::SendToDrained => replace(&mut bytes, "\"draining\"", "\"ready\"   "),
                SeededBug::PushColdOver => self.state.cold.extend(hide_starts(&mut bytes)),
                _ => {}
            }
        }
        self.call(now, transport, |machine, transport| machine.bytes(now, transport, conn, &bytes));
    }
    fn datagram_received(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        bytes: &[u8],
    ) {
        self.call(now, transport, |machine, transport| {
            machine.datagram_received(now, transport, conn, bytes)
        });
    }
    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        match self.state.own.remove(&conn) {
            Some(_) => transport.abort(conn),
            None => self.call(now, transport, |machine, transport| machine.half_closed(now, transport, conn)),
        }
    }
    fn closed(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        why: Closed,
        sent: u64,
    ) {
        self.state.clients.remove(&conn);
        self.state.opened.remove(&conn);
        if self.state.own.remove(&conn).is_none() {
            self.call(now, transport, |machine, transport| machine.closed(now, transport, conn, why, sent));
        }
    }
    fn flushed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        if !self.state.own.contains_key(&conn) {
            self.call(now, transport, |machine, transport| machine.flushed(now, transport, conn));
        }
    }
    fn timer_fired(&mut self, now: Micros, transport: &mut dyn Transport, timer: TimerId) {
        self.call(now, transport, |machine, transport| machine.timer_fired(now, transport, timer));
    }
}
