//! State of the sockets that the reactor owns: connections, listening sockets and datagram sockets.
use crate::{Listener, Micros};
use rustix::event::epoll;
use std::collections::VecDeque;
use std::os::fd::OwnedFd;

/// How many polls of the sockets have ended; identifies one of them.
pub(crate) type PollRound = u64;

/// When a connection was accepted.
#[derive(Clone, Copy)]
pub(crate) struct Acceptance {
    /// The poll that found it in the accept queue.
    pub(crate) round: PollRound,
    /// The earliest moment at which it may have entered that queue.
    pub(crate) earliest: Micros,
}

/// A TCP connection. It may outlive its machine's interest, until both sides have ended.
pub(crate) struct Connection {
    /// Index of the machine that owns it.
    pub(crate) machine: usize,
    pub(crate) fd: OwnedFd,
    /// The listener whose limit it counts against, for an accepted connection.
    pub(crate) listener: Option<Listener>,
    /// The TCP handshake is complete.
    pub(crate) established: bool,
    /// The machine wants to read.
    pub(crate) reading: bool,
    /// Bytes that the kernel has not taken yet.
    pub(crate) unsent: VecDeque<u8>,
    /// Bytes that the kernel has taken.
    pub(crate) sent: u64,
    /// This side has ended, or will once `unsent` is empty.
    pub(crate) finishing: bool,
    /// The peer has ended its side.
    pub(crate) peer_ended: bool,
    /// The peer's end is to be reported ahead of all other events, once.
    pub(crate) hangup_first: bool,
    /// The peer's end has been reported ahead of other events.
    pub(crate) hangup_reported: bool,
    /// All is written and this side has ended: the peer's end is awaited for a bounded time.
    pub(crate) lingering: bool,
    /// The machine is to be notified when `unsent` is empty.
    pub(crate) notify_flushed: bool,
    /// The kernel did not take all of an `offer`: the machine is to be notified when the socket is writable.
    pub(crate) notify_writable: bool,
    /// Events that epoll is asked for at present.
    pub(crate) interest: epoll::EventFlags,
    /// In the list of connections to flush.
    pub(crate) dirty: bool,
    /// When it was accepted; none for one that this side opened.
    pub(crate) accepted: Option<Acceptance>,
}

impl Connection {
    /// The events that epoll has to report in the present state.
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

    /// Whether the peer's end is to be reported ahead of everything else.
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
    /// Limit of accepted connections that are open at a time.
    pub(crate) max_open: usize,
    /// Accepted connections that are open.
    pub(crate) open: usize,
    /// The machine has stopped accepting.
    pub(crate) stopped: bool,
    /// epoll is asked for its events at present.
    pub(crate) armed: bool,
}
