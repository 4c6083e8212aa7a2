//! Sockets and timers for machines that do no I/O themselves.
//!
//! A `Machine` is told what happened, with the time, and orders through a `Wire`. `Reactor` is the shell that
//! does it on epoll and real sockets; another shell may do the same in simulated time.
pub mod reactor;
pub mod wheel;

pub use reactor::Reactor;
use std::net::SocketAddr;

/// Whole microseconds since the Unix epoch on the shell's clock, which never steps back.
pub type Micros = u64;

/// A connection; its number is never used again by the same shell.
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
    /// It was never open: refused, unreachable, or no answer in time.
    Never,
    /// The peer reset it.
    Reset,
    /// Both sides had ended, or this side ended and the peer took too long to.
    Ended,
    /// More waited to be written than the bound allows.
    Overflow,
}

/// What a machine may order. Actions take effect when its call returns, in their order.
pub trait Transport {
    /// Opens a connection; `connected` or `closed` follows, the latter after `patience` at most.
    fn connect(&mut self, to: SocketAddr, patience: Micros) -> Conn;
    fn write(&mut self, conn: Conn, bytes: &[u8]);
    /// Hands the kernel what it takes at once and tells how many bytes that were; the rest stays with the
    /// caller, who is told `flushed` when there is room again.
    fn offer(&mut self, conn: Conn, bytes: &[u8]) -> usize;
    /// A socket for datagrams to and from one address, from a port that the kernel picks; none where there is
    /// no descriptor. Ended by `cut`.
    fn datagrams(&mut self, to: SocketAddr) -> Option<Conn>;
    /// Sends one datagram, or loses it.
    fn datagram(&mut self, conn: Conn, bytes: &[u8]);
    /// A socket for datagrams to and from anybody, and where it is; what comes is `told`. An error is the
    /// kernel's, or that this wire has none.
    fn post(&mut self, _at: SocketAddr) -> std::io::Result<(Conn, SocketAddr)> {
        Err(std::io::ErrorKind::Unsupported.into())
    }
    /// Sends one datagram from such a socket, or loses it: false where the kernel would not take it.
    fn datagram_to(&mut self, _conn: Conn, _to: SocketAddr, _bytes: &[u8]) -> bool {
        false
    }
    /// Bytes waiting to be taken by the kernel.
    fn unsent(&self, conn: Conn) -> usize;
    /// Bytes that the kernel has taken: a peer may have seen all of them, and nothing more.
    fn sent(&self, conn: Conn) -> u64;
    /// Whether to read on; a paused connection pushes back on its peer.
    fn reading(&mut self, conn: Conn, on: bool);
    /// From now on `half_closed` is told as soon as the kernel knows of the peer's end: also while reading is
    /// paused, ahead of bytes not read yet and of all else that waits. For peers that mean by it that they
    /// want nothing any more.
    fn hangup_first(&mut self, _conn: Conn) {}
    /// The earliest moment at which the bytes that are told now may have lain in the kernel, as far as the
    /// shell knows: before `now` where the process was busy, or stood still, since it last looked.
    fn arrived(&self, _conn: Conn, now: Micros) -> Micros {
        now
    }
    /// Ends this side once all is written; nothing more is told but `closed`.
    fn finish(&mut self, conn: Conn);
    /// Drops the connection at once; nothing more is told of it.
    fn cut(&mut self, conn: Conn);
    /// Listens, with at most `most` accepted connections open at a time; more wait in the kernel's queue.
    fn listen(&mut self, at: SocketAddr, most: usize) -> std::io::Result<(Listener, SocketAddr)>;
    /// Accepts no more; `close` gives the port back, otherwise callers wait unanswered.
    fn deafen(&mut self, listener: Listener, close: bool);
    /// Accepts again after `deafen` without `close`.
    fn hear(&mut self, listener: Listener);
    fn wake_at(&mut self, at: Micros, wake: Wake);
}

/// Something that is told of its connections and timers and orders in return; it reads no clock and no
/// socket.
pub trait Machine {
    fn start(&mut self, now: Micros, transport: &mut dyn Transport);
    fn accepted(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, listener: Listener);
    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn);
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]);
    /// The peer ended its side; it may still read.
    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn);
    /// The connection is gone. `sent` is what the kernel had taken of all that was written.
    fn closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, why: Closed, sent: u64);
    /// A datagram, from the one address that its socket takes them from or to a `post`.
    fn told(&mut self, _: Micros, _: &mut dyn Transport, _: Conn, _: &[u8]) {}
    /// All that waited to be written is with the kernel, after a call that left something waiting.
    fn flushed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn);
    fn woken(&mut self, now: Micros, transport: &mut dyn Transport, wake: Wake);
}
