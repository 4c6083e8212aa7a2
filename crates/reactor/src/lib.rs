//! Sockets and timers for state machines that do no I/O themselves.
//!
//! A [`Machine`] is called with what happened and the time, and issues commands through a [`Transport`].
//! [`Reactor`] hosts machines on epoll and real sockets; a test may host the same machines in simulated time.
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

/// Whole microseconds since the Unix epoch on the host's clock, which never steps back.
pub type Micros = u64;

/// A connection or a datagram socket; its number is never used again by the same host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// A listening socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Listener(pub u64);

/// A timer's number, chosen by the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Wake(pub u64);

/// How a connection came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// It was never established: refused, unreachable, or no answer in time.
    Never,
    /// The peer reset it.
    Reset,
    /// Both sides had ended, or this side ended and the peer took too long to.
    Ended,
    /// More waited to be written than the bound allows.
    Overflow,
}

/// The commands that a machine may issue. They take effect when its call returns, in their order.
pub trait Transport {
    /// Opens a connection; `connected` or `closed` follows, the latter after `timeout` µs at most.
    fn connect(&mut self, to: SocketAddr, timeout: Micros) -> Conn;
    /// Queues bytes to be written.
    fn write(&mut self, conn: Conn, bytes: &[u8]);
    /// Hands the kernel what it takes at once and returns how many bytes that were; the rest stays with the
    /// caller, who is notified by `flushed` when the socket is writable again.
    fn offer(&mut self, conn: Conn, bytes: &[u8]) -> usize;
    /// A socket for datagrams to and from one address, from a port that the kernel picks; none where there is
    /// no descriptor. Closed by `cut`.
    fn datagrams(&mut self, to: SocketAddr) -> Option<Conn>;
    /// Sends one datagram, or loses it.
    fn datagram(&mut self, conn: Conn, bytes: &[u8]);
    /// A socket for datagrams to and from any address, and the address that it is bound to; what comes is
    /// `datagram_received`.
    ///
    /// # Errors
    /// The kernel's error, or that this transport has no such sockets.
    fn bind_datagrams(&mut self, _at: SocketAddr) -> io::Result<(Conn, SocketAddr)> {
        Err(io::ErrorKind::Unsupported.into())
    }
    /// Sends one datagram from such a socket, or loses it: false where the kernel would not take it.
    fn datagram_to(&mut self, _conn: Conn, _to: SocketAddr, _bytes: &[u8]) -> bool {
        false
    }
    /// Bytes waiting to be taken by the kernel.
    fn unsent(&self, conn: Conn) -> usize;
    /// Bytes that the kernel has taken: a peer may have seen all of them, and nothing more.
    fn sent(&self, conn: Conn) -> u64;
    /// Whether to read on; a paused connection exerts backpressure on its peer.
    fn reading(&mut self, conn: Conn, on: bool);
    /// From now on `half_closed` is called as soon as the kernel knows of the peer's end: also while reading
    /// is paused, ahead of bytes not read yet and of all else that waits. For peers that mean by it that they
    /// want nothing any more.
    fn hangup_first(&mut self, _conn: Conn) {}
    /// The earliest moment at which the bytes that are handed over now may have lain in the kernel, as far as
    /// the host knows: before `now` where the process was busy, or stood still, since its last poll.
    fn arrived(&self, _conn: Conn, now: Micros) -> Micros {
        now
    }
    /// Ends this side once all is written; only `closed` is called afterwards.
    fn finish(&mut self, conn: Conn);
    /// Drops the connection at once; nothing is called for it afterwards.
    fn cut(&mut self, conn: Conn);
    /// Listens, with at most `max_open` accepted connections open at a time; more wait in the kernel's queue.
    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    /// The kernel's error, such as that the address is in use.
    fn listen(&mut self, at: SocketAddr, max_open: usize) -> io::Result<(Listener, SocketAddr)>;
    /// Accepts no more; `close` gives the port back, otherwise clients wait in the kernel's queue.
    fn stop_accepting(&mut self, listener: Listener, close: bool);
    /// Accepts again after `stop_accepting` without `close`.
    fn resume_accepting(&mut self, listener: Listener);
    /// Has `woken` called at this time, or soon after it.
    fn wake_at(&mut self, at: Micros, wake: Wake);
}

/// A state machine that is called with the events of its connections and timers and issues commands in
/// return; it reads no clock and no socket.
pub trait Machine {
    /// The host has taken the machine in: the first call.
    fn start(&mut self, now: Micros, transport: &mut dyn Transport);
    /// A listener has accepted a connection.
    fn accepted(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, listener: Listener);
    /// A connection that the machine opened is established.
    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn);
    /// Bytes have been read.
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]);
    /// The peer ended its side; it may still read.
    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn);
    /// The connection is gone. `sent` is the number of bytes that the kernel had taken of all that was
    /// written.
    fn closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, why: Closed, sent: u64);
    /// A datagram has come on a datagram socket.
    fn datagram_received(&mut self, _: Micros, _: &mut dyn Transport, _: Conn, _: &[u8]) {}
    /// All that waited to be written is with the kernel, after a call that left something waiting.
    fn flushed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn);
    /// A timer set by `wake_at` has fired.
    fn woken(&mut self, now: Micros, transport: &mut dyn Transport, wake: Wake);
}
