//! Seeded bugs, which prove that the audit detects breaches. The router itself is unchanged; a wrapper alters
//! what it reads and writes.
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, Micros, TimerId, Transport};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// One in this many responses is altered.
const RESPONSES_PER_BUG: u64 = 40;
/// Number of additional copies of each request that are sent to a cold worker.
const COPIES_TO_COLD_WORKER: usize = 8;
/// One in this many last steps of workflows is delayed.
const STEPS_PER_DELAY: u64 = 10;
/// That delay in µs; it exceeds every workflow's deadline.
const STEP_DELAY: Micros = 6_000_000;
/// Time limit in µs for an additional connection.
const CONNECT_TIMEOUT: Micros = 1_000_000;

/// A seeded bug.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    /// Some responses are not sent.
    LostResponse,
    /// Some responses are sent twice.
    DuplicateResponse,
    /// At-most-once requests are sent twice.
    EffectTwice,
    /// Draining workers are treated as ready.
    SendToDrained,
    /// Cold workers receive several copies of each request.
    OverloadColdWorker,
    /// The last step of some workflows is sent late.
    LateStep,
    /// Steps of workflows are sent twice.
    DuplicateStep,
}

/// Bugs by their names on the command line, each with the number of the rule that it breaks.
pub const SEEDED_BUGS: [(&str, SeededBug, u8); 7] = [
    ("lost-answer", SeededBug::LostResponse, 1),
    ("double-answer", SeededBug::DuplicateResponse, 1),
    ("effect-twice", SeededBug::EffectTwice, 2),
    ("send-to-drained", SeededBug::SendToDrained, 3),
    ("push-cold-over", SeededBug::OverloadColdWorker, 4),
    ("late-step", SeededBug::LateStep, 6),
    ("chain-twice", SeededBug::DuplicateStep, 2),
];

/// A request that is held back.
struct Delayed {
    until: Micros,
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// State of a bug.
#[derive(Default)]
struct State {
    /// Connections of clients.
    clients: BTreeSet<ConnectionId>,
    /// Connections that the router opened, with their destinations.
    opened: BTreeMap<ConnectionId, SocketAddr>,
    /// Workers that started recently.
    cold: BTreeSet<SocketAddr>,
    /// Connections that the bug opened, with the bytes to send.
    own: BTreeMap<ConnectionId, Vec<u8>>,
    /// Number of responses so far.
    responses: u64,
    /// Number of last steps of workflows so far.
    last_steps: u64,
    delayed: Vec<Delayed>,
}

/// A state machine with a seeded bug.
pub struct BuggyMachine {
    inner: Box<dyn Machine>,
    bug: SeededBug,
    state: State,
}

impl BuggyMachine {
    /// Wraps a machine with a bug.
    pub fn new(inner: Box<dyn Machine>, bug: SeededBug) -> Self {
        BuggyMachine { inner, bug, state: State::default() }
    }

    /// Calls the machine with a transport that applies the bug. Before that, sends one delayed request if any
    /// is due.
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

/// A transport that alters the commands of the machine.
struct BuggyTransport<'a> {
    now: Micros,
    transport: &'a mut dyn Transport,
    bug: SeededBug,
    state: &'a mut State,
}

fn contains(bytes: &[u8], text: &str) -> bool {
    bytes.windows(text.len()).any(|window| window == text.as_bytes())
}

/// Replaces each `old` by `new`. Both must have the same length, so that chunk lengths stay valid.
fn replace(bytes: &mut [u8], old: &str, new: &str) {
    for at in 0..bytes.len().saturating_sub(old.len() - 1) {
        if &bytes[at..at + old.len()] == old.as_bytes() {
            bytes[at..at + old.len()].copy_from_slice(new.as_bytes());
        }
    }
}

impl BuggyTransport<'_> {
    /// Sends additional copies of a request, each on a separate connection.
    fn send_copies(&mut self, to: Option<SocketAddr>, bytes: &[u8]) {
        let Some(to) = to.filter(|_| bytes.starts_with(b"POST")) else { return };
        let copies = match self.bug {
            SeededBug::EffectTwice if contains(bytes, "ce-type: confirm") => 1,
            SeededBug::DuplicateStep if contains(bytes, "/price\r\n") || contains(bytes, "/confirm\r\n") => 1,
            SeededBug::OverloadColdWorker if self.state.cold.contains(&to) => COPIES_TO_COLD_WORKER,
            _ => 0,
        };
        for _ in 0..copies {
            let own = self.transport.connect(to, CONNECT_TIMEOUT);
            self.state.own.insert(own, bytes.to_vec());
        }
    }

    /// Holds a request back if it is the last step of a workflow and due for a delay. Returns whether it did.
    fn hold_back(&mut self, to: Option<SocketAddr>, bytes: &[u8]) -> bool {
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

/// Overwrites the start times in a part of the endpoint list, so that recently started workers look warm.
/// Returns their addresses.
fn hide_start_times(bytes: &mut [u8]) -> BTreeSet<SocketAddr> {
    let mut cold = BTreeSet::new();
    // Each change is one line, so a worker's address and start time arrive in the same part.
    let text = String::from_utf8_lossy(bytes).into_owned();
    for entry in
        text.split('{').filter(|entry| entry.contains("\"ready\"") && !entry.contains("\"started\":0"))
    {
        let address = entry.split("\"address\":\"").nth(1).and_then(|rest| rest.split('"').next());
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
        let is_response = self.state.clients.contains(&conn) && bytes.starts_with(b"HTTP/1.1 200");
        self.state.responses += u64::from(is_response);
        let is_changed = is_response && self.state.responses.is_multiple_of(RESPONSES_PER_BUG);
        let to = self.state.opened.get(&conn).copied();
        self.send_copies(to, bytes);
        if self.hold_back(to, bytes) {
            return;
        }
        match self.bug {
            SeededBug::LostResponse if is_changed => {}
            SeededBug::DuplicateResponse if is_changed => {
                self.transport.write(conn, &[bytes, bytes].concat())
            }
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
                SeededBug::OverloadColdWorker => self.state.cold.extend(hide_start_times(&mut bytes)),
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
