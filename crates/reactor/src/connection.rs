//! State of the reactor's sockets: connections, listening sockets and datagram sockets.
use crate::{Listener, Micros};
use rustix::event::epoll;
use std::collections::VecDeque;
use std::os::fd::OwnedFd;

/// Number of a poll of the sockets, counted from the reactor's start.
pub(crate) type PollRound = u64;

/// When a connection was accepted.
#[derive(Clone, Copy)]
pub(crate) struct Acceptance {
    /// The poll that reported it.
    pub(crate) round: PollRound,
    /// The earliest time at which it may have entered the kernel's accept queue.
    pub(crate) earliest: Micros,
}

/// A TCP connection. It is kept after the machine has finished with it, until both sides have shut down.
pub(crate) struct Connection {
    /// Index of the machine that owns it.
    pub(crate) machine: usize,
    pub(crate) fd: OwnedFd,
    /// The listener against whose limit of open connections it counts, if any.
    pub(crate) listener: Option<Listener>,
    /// The TCP handshake is complete.
    pub(crate) established: bool,
    /// Reading is not paused.
    pub(crate) reading: bool,
    /// Queued bytes that the kernel has not accepted yet.
    pub(crate) unsent: VecDeque<u8>,
    /// Number of bytes that the kernel has accepted.
    pub(crate) sent: u64,
    /// This side has shut down, or will when `unsent` is empty.
    pub(crate) finishing: bool,
    /// The peer has shut down its direction, and all that it sent has been read.
    pub(crate) peer_ended: bool,
    /// The peer's shutdown is to be reported ahead of all other events. Cleared by the report.
    pub(crate) hangup_first: bool,
    /// The peer's shutdown has been reported ahead of other events.
    pub(crate) hangup_reported: bool,
    /// This side has shut down, and the timer that limits the wait for the peer's shutdown is set.
    pub(crate) lingering: bool,
    /// Notify the machine when `unsent` is empty.
    pub(crate) notify_flushed: bool,
    /// The kernel did not accept all bytes of a `try_write`: notify the machine when the socket is writable.
    pub(crate) notify_writable: bool,
    /// Events that epoll is currently asked to report.
    pub(crate) interest: epoll::EventFlags,
    /// In the list of connections to be flushed.
    pub(crate) dirty: bool,
    /// When it was accepted; `None` for one that this side opened, or that was accepted while its listener
    /// closed.
    pub(crate) accepted: Option<Acceptance>,
}

impl Connection {
    /// The events that epoll has to report in the current state.
    pub(crate) fn wanted_events(&self) -> epoll::EventFlags {
        let mut wanted = epoll::EventFlags::empty();
        if !self.established || !self.unsent.is_empty() || self.notify_writable {
            wanted |= epoll::EventFlags::OUT;
        }
        if self.established && !self.peer_ended && (self.reading || self.finishing) {
            wanted |= epoll::EventFlags::IN;
        }
        if self.reports_hangup_first() && !self.peer_ended {
            wanted |= epoll::EventFlags::RDHUP;
        }
        wanted
    }

    /// Whether the peer's shutdown is to be reported ahead of all other events.
    pub(crate) fn reports_hangup_first(&self) -> bool {
        self.established && self.hangup_first && !self.finishing
    }
}

/// A UDP socket.
pub(crate) struct DatagramSocket {
    /// Index of the machine that owns it.
    pub(crate) machine: usize,
    pub(crate) fd: OwnedFd,
}

/// A listening TCP socket.
pub(crate) struct ListenSocket {
    /// Index of the machine that owns it.
    pub(crate) machine: usize,
    pub(crate) fd: OwnedFd,
    /// Limit of accepted connections open at a time.
    pub(crate) max_open: usize,
    /// Number of accepted connections that are open.
    pub(crate) open: usize,
    /// The machine has stopped accepting.
    pub(crate) stopped: bool,
    /// epoll is currently asked to report new connections.
    pub(crate) armed: bool,
}
