//! A simulated transport for tests of state machines without sockets. It records what a machine writes, opens
//! and closes; the test advances time.
use applepond_reactor::{ConnectionId, Listener, Micros, TimerId, Transport};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Records the commands of a machine and simulates the kernel's side of its sockets.
#[derive(Default)]
pub struct SimulatedTransport {
    next: u64,
    /// Connections opened by the machine, in order.
    pub connections: Vec<(ConnectionId, SocketAddr)>,
    /// Connect timeouts of these connections.
    pub connect_timeouts: Vec<Micros>,
    /// Bytes written, by connection.
    pub written: BTreeMap<ConnectionId, Vec<u8>>,
    /// Sequence number of the last write, by connection.
    pub last_write: BTreeMap<ConnectionId, u64>,
    /// Number of written bytes that the kernel has accepted, by connection.
    pub sent: BTreeMap<ConnectionId, u64>,
    /// Connections on which the kernel accepts no bytes.
    pub blocked: BTreeSet<ConnectionId>,
    /// Maximum number of bytes that one call of `try_write` accepts, by connection.
    pub accept_limit: BTreeMap<ConnectionId, usize>,
    /// Connections that the machine closed with `abort`, without waiting for unsent bytes.
    pub cut: BTreeSet<ConnectionId>,
    /// Connections that the machine closed with `finish`, to end once all bytes are sent.
    pub finished: BTreeSet<ConnectionId>,
    /// Connections on which reading is paused.
    pub paused: BTreeSet<ConnectionId>,
    /// Listeners that have stopped accepting.
    pub not_accepting: BTreeSet<Listener>,
    /// Sequence numbers of the writes to which a test has responded.
    pub answered_writes: BTreeSet<u64>,
    /// Datagrams sent: socket, receiver and content.
    pub datagrams: Vec<(ConnectionId, SocketAddr, Vec<u8>)>,
    /// Number of further datagram sockets that the kernel will refuse to open.
    pub failing_datagram_opens: usize,
    peers: BTreeMap<ConnectionId, SocketAddr>,
    timers: BTreeSet<(Micros, u64, TimerId)>,
}

impl Transport for SimulatedTransport {
    fn connect(&mut self, to: SocketAddr, timeout: Micros) -> ConnectionId {
        self.next += 1;
        self.connect_timeouts.push(timeout);
        self.connections.push((ConnectionId(self.next), to));
        ConnectionId(self.next)
    }
    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) {
        self.written.entry(conn).or_default().extend_from_slice(bytes);
        self.next += 1;
        self.last_write.insert(conn, self.next);
        if !self.blocked.contains(&conn) {
            *self.sent.entry(conn).or_default() += bytes.len() as u64;
        }
    }
    fn try_write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize {
        let room = if self.blocked.contains(&conn) { 0 } else { bytes.len() };
        let room = room.min(self.accept_limit.get(&conn).copied().unwrap_or(room));
        self.write(conn, &bytes[..room]);
        room
    }
    fn connect_datagrams(&mut self, to: SocketAddr) -> Option<ConnectionId> {
        if let Some(left) = self.failing_datagram_opens.checked_sub(1) {
            self.failing_datagram_opens = left;
            return None;
        }
        let conn = self.new_conn();
        self.peers.insert(conn, to);
        Some(conn)
    }
    fn send_datagram(&mut self, conn: ConnectionId, bytes: &[u8]) {
        self.datagrams.push((conn, self.peers[&conn], bytes.to_vec()));
    }
    fn bind_datagrams(&mut self, at: SocketAddr) -> std::io::Result<(ConnectionId, SocketAddr)> {
        match self.failing_datagram_opens.checked_sub(1) {
            Some(left) => {
                self.failing_datagram_opens = left;
                Err(std::io::Error::other("no descriptor is left"))
            }
            None => Ok((self.new_conn(), at)),
        }
    }
    fn send_datagram_to(&mut self, conn: ConnectionId, to: SocketAddr, bytes: &[u8]) -> bool {
        let accepted = !self.blocked.contains(&conn);
        if accepted {
            self.datagrams.push((conn, to, bytes.to_vec()));
        }
        accepted
    }
    fn unsent(&self, conn: ConnectionId) -> usize {
        let written = self.written.get(&conn).map_or(0, Vec::len);
        written - self.sent(conn) as usize
    }
    fn sent(&self, conn: ConnectionId) -> u64 {
        self.sent.get(&conn).copied().unwrap_or(0)
    }
    fn set_reading(&mut self, conn: ConnectionId, on: bool) {
        if on {
            self.paused.remove(&conn)
        } else {
            self.paused.insert(conn)
        };
    }
    fn finish(&mut self, conn: ConnectionId) {
        self.finished.insert(conn);
    }
    fn abort(&mut self, conn: ConnectionId) {
        self.cut.insert(conn);
    }
    fn listen(&mut self, at: SocketAddr, _: usize) -> std::io::Result<(Listener, SocketAddr)> {
        Ok((Listener(0), at))
    }
    fn stop_accepting(&mut self, listener: Listener, _: bool) {
        self.not_accepting.insert(listener);
    }
    fn resume_accepting(&mut self, listener: Listener) {
        self.not_accepting.remove(&listener);
    }
    fn set_timer_at(&mut self, at: Micros, timer: TimerId) {
        self.next += 1;
        self.timers.insert((at, self.next, timer));
    }
}

impl SimulatedTransport {
    /// Allocates a connection for the test to open.
    pub fn new_conn(&mut self) -> ConnectionId {
        self.next += 1;
        ConnectionId(self.next)
    }

    /// Removes and returns the first timer that is due by `until`.
    pub fn pop_due(&mut self, until: Micros) -> Option<(Micros, TimerId)> {
        let (at, _, timer) = *self.timers.first().filter(|(at, _, _)| *at <= until)?;
        self.timers.pop_first();
        Some((at, timer))
    }

    /// Number of pending timers.
    pub fn pending_timers(&self) -> usize {
        self.timers.len()
    }

    /// Everything written on a connection, as text.
    pub fn written_text(&self, conn: ConnectionId) -> String {
        self.written.get(&conn).map_or(String::new(), |bytes| String::from_utf8_lossy(bytes).into_owned())
    }

    /// Statuses of all HTTP responses written on a connection.
    pub fn statuses(&self, conn: ConnectionId) -> Vec<u16> {
        let text = self.written_text(conn);
        text.split("HTTP/1.1 ").skip(1).filter_map(|response| response[..3].parse().ok()).collect()
    }
}
