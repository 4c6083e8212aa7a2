//! Sockets and timers for state machines that do no I/O themselves.
//!
//! A [`Machine`] is called with an event and the current time, and issues commands through a [`Transport`].
//! [`Reactor`] runs machines on epoll and real sockets. Tests run the same machines in simulated time.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod connection;
mod reactor;
mod sockets;
mod transport;
pub mod wheel;

pub use reactor::Reactor;
use std::io;
use std::net::SocketAddr;

/// Whole microseconds since the Unix epoch, on a clock that never goes backwards.
pub type Micros = u64;

/// Identifies a connection or a datagram socket. A host never reuses a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A listening socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Listener(pub u64);

/// Identifies a timer; the machine chooses the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(pub u64);

/// Why a connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// It was not established: refused, unreachable or timed out.
    NotEstablished,
    /// The peer reset it.
    Reset,
    /// Both sides shut down their direction, or this side did and the peer did not follow in time.
    Ended,
    /// The bytes queued to be written exceeded the limit.
    Overflow,
}

/// The commands that a machine may issue. Those that return a result take effect at once, the others at the
/// latest when the machine's call has returned.
pub trait Transport {
    /// Opens a connection. `connected` is called once it is established, or `closed` if that fails or takes
    /// longer than `timeout`.
    fn connect(&mut self, to: SocketAddr, timeout: Micros) -> ConnectionId;
    /// Queues bytes for writing.
    fn write(&mut self, conn: ConnectionId, bytes: &[u8]);
    /// Writes as many bytes as the kernel accepts at once and returns their number. The caller keeps the
    /// rest; `flushed` is called when the socket is writable again.
    fn try_write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize;
    /// Opens a UDP socket that is connected to one address, on a port that the kernel picks; `None` if it
    /// cannot be opened. `abort` closes it.
    fn connect_datagrams(&mut self, to: SocketAddr) -> Option<ConnectionId>;
    /// Sends one datagram on such a socket. It is lost if the kernel does not accept it.
    fn send_datagram(&mut self, conn: ConnectionId, bytes: &[u8]);
    /// Opens a UDP socket for datagrams to and from any address. Returns the socket and the address that it
    /// is bound to. `datagram_received` is called for each datagram that arrives.
    ///
    /// # Errors
    /// The kernel's error, or `Unsupported` if this transport has no such sockets.
    fn bind_datagrams(&mut self, _at: SocketAddr) -> io::Result<(ConnectionId, SocketAddr)> {
        Err(io::ErrorKind::Unsupported.into())
    }
    /// Sends one datagram from such a socket. Returns false, and the datagram is lost, if the kernel does not
    /// accept it.
    fn send_datagram_to(&mut self, _conn: ConnectionId, _to: SocketAddr, _bytes: &[u8]) -> bool {
        false
    }
    /// Queued bytes that the kernel has not accepted yet.
    fn unsent(&self, conn: ConnectionId) -> usize;
    /// Bytes that the kernel has accepted so far. The peer may have received any of them, and nothing beyond
    /// them.
    fn sent(&self, conn: ConnectionId) -> u64;
    /// Pauses or resumes reading. A paused connection exerts backpressure on its peer.
    fn set_reading(&mut self, conn: ConnectionId, on: bool);
    /// From now on, calls `half_closed` as soon as the kernel reports that the peer has shut down its
    /// direction: even while reading is paused, and ahead of unread bytes and of all other events. For
    /// protocols in which that means that the peer no longer wants an answer.
    fn hangup_first(&mut self, _conn: ConnectionId) {}
    /// The earliest time at which the bytes now passed to the machine may have arrived in the kernel. It is
    /// before `now` if the process was busy or suspended since the last poll.
    fn earliest_arrival(&self, _conn: ConnectionId, now: Micros) -> Micros {
        now
    }
    /// Shuts down this side once all queued bytes are written. Only `closed` is called afterwards.
    fn finish(&mut self, conn: ConnectionId);
    /// Closes the connection or datagram socket at once. No further calls are made for it.
    fn abort(&mut self, conn: ConnectionId);
    /// Listens, with at most `max_open` accepted connections open at a time; further ones wait in the
    /// kernel's accept queue. Returns the listener and the address that it is bound to.
    ///
    /// # Errors
    /// The kernel's error, for example that the address is in use.
    fn listen(&mut self, at: SocketAddr, max_open: usize) -> io::Result<(Listener, SocketAddr)>;
    /// Stops accepting connections. With `close` the port is released; without it, clients wait in the
    /// kernel's accept queue.
    fn stop_accepting(&mut self, listener: Listener, close: bool);
    /// Resumes accepting after `stop_accepting` without `close`.
    fn resume_accepting(&mut self, listener: Listener);
    /// Sets a timer: `timer_fired` is called at this time or shortly after it.
    fn set_timer_at(&mut self, at: Micros, timer: TimerId);
}

/// A state machine that is called with the events of its connections and timers and answers with commands. It
/// reads neither a clock nor a socket.
pub trait Machine {
    /// The first call, when the machine has been added to its host.
    fn start(&mut self, now: Micros, transport: &mut dyn Transport);
    /// A listener has accepted a connection.
    fn accepted(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        listener: Listener,
    );
    /// A connection that the machine opened is established.
    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId);
    /// Bytes have been read.
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, bytes: &[u8]);
    /// The peer has shut down its direction. It may still read.
    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId);
    /// The connection is closed. `sent` is the number of written bytes that the kernel had accepted.
    fn closed(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        reason: Closed,
        sent: u64,
    );
    /// A datagram has arrived on a datagram socket.
    fn datagram_received(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId, _: &[u8]) {}
    /// The kernel has accepted all queued bytes, after an earlier call had left some of them queued; or the
    /// socket is writable again after `try_write`.
    fn flushed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId);
    /// A timer set by `set_timer_at` has fired.
    fn timer_fired(&mut self, now: Micros, transport: &mut dyn Transport, timer: TimerId);
}
