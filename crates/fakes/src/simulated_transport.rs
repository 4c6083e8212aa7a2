//! A simulated transport for tests of machines without sockets: what they wrote, opened and cut, with time
//! moved by hand.
use applepond_reactor::{ConnectionId, Listener, Micros, TimerId, Transport};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What a machine has commanded.
#[derive(Default)]
pub struct SimulatedTransport {
    next: u64,
    /// Connections opened, in their order.
    pub connects: Vec<(ConnectionId, SocketAddr)>,
    /// Bytes written.
    pub written: BTreeMap<ConnectionId, Vec<u8>>,
    /// Number of each connection's last write.
    pub wrote: BTreeMap<ConnectionId, u64>,
    /// How many of them the kernel has taken.
    pub sent: BTreeMap<ConnectionId, u64>,
    /// Connections whose peer takes nothing.
    pub stuck: BTreeSet<ConnectionId>,
    /// Limit of bytes that one offer takes, where there is one.
    pub room: BTreeMap<ConnectionId, usize>,
    /// Connections cut.
    pub cut: BTreeSet<ConnectionId>,
    /// Connections finished.
    pub finished: BTreeSet<ConnectionId>,
    /// Connections on which reading is paused.
    pub paused: BTreeSet<ConnectionId>,
    /// Listeners that have stopped accepting.
    pub deaf: BTreeSet<Listener>,
    /// Writes that a test has had a worker answer.
    pub answered: BTreeSet<u64>,
    /// Datagrams sent, by their socket.
    pub datagrams: Vec<(ConnectionId, SocketAddr, Vec<u8>)>,
    /// Sockets for datagrams that the kernel still refuses to open.
    pub no_posts: usize,
    asked: BTreeMap<ConnectionId, SocketAddr>,
    timers: BTreeSet<(Micros, u64, TimerId)>,
}

impl Transport for SimulatedTransport {
    fn connect(&mut self, to: SocketAddr, _: Micros) -> ConnectionId {
        self.next += 1;
        self.connects.push((ConnectionId(self.next), to));
        ConnectionId(self.next)
    }
    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) {
        self.written.entry(conn).or_default().extend_from_slice(bytes);
        self.next += 1;
        self.wrote.insert(conn, self.next);
        if !self.stuck.contains(&conn) {
            *self.sent.entry(conn).or_default() += bytes.len() as u64;
        }
    }
    fn try_write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize {
        let room = if self.stuck.contains(&conn) { 0 } else { bytes.len() };
        let room = room.min(self.room.get(&conn).copied().unwrap_or(room));
        self.write(conn, &bytes[..room]);
        room
    }
    fn connect_datagrams(&mut self, to: SocketAddr) -> Option<ConnectionId> {
        if let Some(left) = self.no_posts.checked_sub(1) {
            self.no_posts = left;
            return None;
        }
        let conn = self.number();
        self.asked.insert(conn, to);
        Some(conn)
    }
    fn send_datagram(&mut self, conn: ConnectionId, bytes: &[u8]) {
        self.datagrams.push((conn, self.asked[&conn], bytes.to_vec()));
    }
    fn bind_datagrams(&mut self, at: SocketAddr) -> std::io::Result<(ConnectionId, SocketAddr)> {
        match self.no_posts.checked_sub(1) {
            Some(left) => {
                self.no_posts = left;
                Err(std::io::Error::other("no descriptor is left"))
            }
            None => Ok((self.number(), at)),
        }
    }
    fn send_datagram_to(&mut self, conn: ConnectionId, to: SocketAddr, bytes: &[u8]) -> bool {
        let taken = !self.stuck.contains(&conn);
        if taken {
            self.datagrams.push((conn, to, bytes.to_vec()));
        }
        taken
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
        self.deaf.insert(listener);
    }
    fn resume_accepting(&mut self, listener: Listener) {
        self.deaf.remove(&listener);
    }
    fn set_timer_at(&mut self, at: Micros, timer: TimerId) {
        self.next += 1;
        self.timers.insert((at, self.next, timer));
    }
}

impl SimulatedTransport {
    /// A number for a connection that a test opens.
    pub fn number(&mut self) -> ConnectionId {
        self.next += 1;
        ConnectionId(self.next)
    }

    /// The first timer that is due by then, each once.
    pub fn due(&mut self, until: Micros) -> Option<(Micros, TimerId)> {
        let (at, _, timer) = *self.timers.first().filter(|(at, _, _)| *at <= until)?;
        self.timers.pop_first();
        Some((at, timer))
    }

    /// Timers that wait.
    pub fn timers(&self) -> usize {
        self.timers.len()
    }

    /// All that was written on a connection, as text.
    pub fn told(&self, conn: ConnectionId) -> String {
        self.written.get(&conn).map_or(String::new(), |bytes| String::from_utf8_lossy(bytes).into_owned())
    }

    /// Statuses of all answers on a client's connection.
    pub fn statuses(&self, conn: ConnectionId) -> Vec<u16> {
        let text = self.told(conn);
        text.split("HTTP/1.1 ").skip(1).filter_map(|answer| answer[..3].parse().ok()).collect()
    }
}
