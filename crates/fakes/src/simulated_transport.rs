//! A simulated transport for tests of state machines without sockets. It records what a machine writes, opens
//! and closes; the test advances time.
use applepond_reactor::{Conn, Listener, Micros, Transport, Wake};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Records the commands of a machine and simulates the kernel's side of its sockets.
#[derive(Default)]
pub struct SimulatedTransport {
    next: u64,
    /// Connections opened by the machine, in order.
    pub connections: Vec<(Conn, SocketAddr)>,
    /// Bytes written, by connection.
    pub written: BTreeMap<Conn, Vec<u8>>,
    /// Sequence number of the last write, by connection.
    pub last_write: BTreeMap<Conn, u64>,
    /// Number of written bytes that the kernel has accepted, by connection.
    pub sent: BTreeMap<Conn, u64>,
    /// Connections on which the kernel accepts no bytes.
    pub blocked: BTreeSet<Conn>,
    /// Maximum number of bytes that one call of `try_write` accepts, by connection.
    pub accept_limit: BTreeMap<Conn, usize>,
    /// Connections that the machine closed with `abort`, without waiting for unsent bytes.
    pub cut: BTreeSet<Conn>,
    /// Connections that the machine closed with `finish`, to end once all bytes are sent.
    pub finished: BTreeSet<Conn>,
    /// Connections on which reading is paused.
    pub paused: BTreeSet<Conn>,
    /// Listeners that have stopped accepting.
    pub not_accepting: BTreeSet<Listener>,
    /// Sequence numbers of the writes to which a test has responded.
    pub answered_writes: BTreeSet<u64>,
    /// Datagrams sent: socket, receiver and content.
    pub datagrams: Vec<(Conn, SocketAddr, Vec<u8>)>,
    /// Number of further datagram sockets that the kernel will refuse to open.
    pub failing_datagram_opens: usize,
    peers: BTreeMap<Conn, SocketAddr>,
    timers: BTreeSet<(Micros, u64, Wake)>,
}

impl Transport for SimulatedTransport {
    fn connect(&mut self, to: SocketAddr, _: Micros) -> Conn {
        self.next += 1;
        self.connections.push((Conn(self.next), to));
        Conn(self.next)
    }
    fn write(&mut self, conn: Conn, bytes: &[u8]) {
        self.written.entry(conn).or_default().extend_from_slice(bytes);
        self.next += 1;
        self.last_write.insert(conn, self.next);
        if !self.blocked.contains(&conn) {
            *self.sent.entry(conn).or_default() += bytes.len() as u64;
        }
    }
    fn try_write(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let room = if self.blocked.contains(&conn) { 0 } else { bytes.len() };
        let room = room.min(self.accept_limit.get(&conn).copied().unwrap_or(room));
        self.write(conn, &bytes[..room]);
        room
    }
    fn connect_datagrams(&mut self, to: SocketAddr) -> Option<Conn> {
        if let Some(left) = self.failing_datagram_opens.checked_sub(1) {
            self.failing_datagram_opens = left;
            return None;
        }
        let conn = self.new_conn();
        self.peers.insert(conn, to);
        Some(conn)
    }
    fn send_datagram(&mut self, conn: Conn, bytes: &[u8]) {
        self.datagrams.push((conn, self.peers[&conn], bytes.to_vec()));
    }
    fn bind_datagrams(&mut self, at: SocketAddr) -> std::io::Result<(Conn, SocketAddr)> {
        match self.failing_datagram_opens.checked_sub(1) {
            Some(left) => {
                self.failing_datagram_opens = left;
                Err(std::io::Error::other("no descriptor is left"))
            }
            None => Ok((self.new_conn(), at)),
        }
    }
    fn send_datagram_to(&mut self, conn: Conn, to: SocketAddr, bytes: &[u8]) -> bool {
        let accepted = !self.blocked.contains(&conn);
        if accepted {
            self.datagrams.push((conn, to, bytes.to_vec()));
        }
        accepted
    }
    fn unsent(&self, conn: Conn) -> usize {
        let written = self.written.get(&conn).map_or(0, Vec::len);
        written - self.sent(conn) as usize
    }
    fn sent(&self, conn: Conn) -> u64 {
        self.sent.get(&conn).copied().unwrap_or(0)
    }
    fn set_reading(&mut self, conn: Conn, on: bool) {
        if on {
            self.paused.remove(&conn)
        } else {
            self.paused.insert(conn)
        };
    }
    fn finish(&mut self, conn: Conn) {
        self.finished.insert(conn);
    }
    fn abort(&mut self, conn: Conn) {
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
    fn wake_at(&mut self, at: Micros, wake: Wake) {
        self.next += 1;
        self.timers.insert((at, self.next, wake));
    }
}

impl SimulatedTransport {
    /// Allocates a connection for the test to open.
    pub fn new_conn(&mut self) -> Conn {
        self.next += 1;
        Conn(self.next)
    }

    /// Removes and returns the first timer that is due by `until`.
    pub fn pop_due(&mut self, until: Micros) -> Option<(Micros, Wake)> {
        let (at, _, wake) = *self.timers.first().filter(|(at, _, _)| *at <= until)?;
        self.timers.pop_first();
        Some((at, wake))
    }

    /// Number of pending timers.
    pub fn pending_timers(&self) -> usize {
        self.timers.len()
    }

    /// Everything written on a connection, as text.
    pub fn written_text(&self, conn: Conn) -> String {
        self.written.get(&conn).map_or(String::new(), |bytes| String::from_utf8_lossy(bytes).into_owned())
    }

    /// Statuses of all HTTP responses written on a connection.
    pub fn statuses(&self, conn: Conn) -> Vec<u16> {
        let text = self.written_text(conn);
        text.split("HTTP/1.1 ").skip(1).filter_map(|response| response[..3].parse().ok()).collect()
    }
}
