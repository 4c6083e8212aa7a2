//! Tables of sockets and timers, and the state kept for them between the kernel and the machines.
use crate::connection::{Acceptance, Connection, DatagramSocket, ListenSocket, PollRound};
use crate::wheel::Wheel;
use crate::{Closed, ConnectionId, Listener, Micros, TimerId};
use rustc_hash::FxHashMap;
use rustix::event::epoll;
use rustix::io::Errno;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType, ipproto, sockopt};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Size of the buffer for one read: a few packets of the loopback interface.
pub(crate) const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Limit of the bytes queued for writing on one connection. A machine is expected to stop reading before its
/// queue gets that long.
const MAX_UNSENT_BYTES: usize = 4 * 1024 * 1024;
/// Length of the kernel's accept queue. The kernel limits it further by `net.core.somaxconn`.
const ACCEPT_QUEUE_LENGTH: i32 = 4096;
/// Time in µs that a peer has to shut down its direction after this side; then the connection is closed.
const LINGER_TIMEOUT: Micros = 1_000_000;

/// What a timer does when it fires.
pub(crate) enum Timer {
    /// Calls `timer_fired` of a machine.
    Machine { machine: usize, timer: TimerId },
    /// Closes the connection if it is not established yet.
    ConnectTimeout(ConnectionId),
    /// Closes a connection whose peer has not shut down its direction.
    LingerTimeout(ConnectionId),
    /// Resumes accepting after the process ran out of descriptors.
    RetryAccept(Listener),
}

/// A call to a machine that is made after the current call has returned.
pub(crate) enum Notification {
    Accepted { machine: usize, conn: ConnectionId, listener: Listener },
    Closed { machine: usize, conn: ConnectionId, reason: Closed, sent: u64 },
    Flushed { machine: usize, conn: ConnectionId },
}

/// All sockets and timers of one reactor, for all of its machines.
pub(crate) struct Sockets {
    /// The epoll instance.
    pub(crate) epoll: OwnedFd,
    // The keys are numbers that this process assigns, so a hash that is not collision-resistant is safe.
    /// Connections by the number of their `ConnectionId`.
    pub(crate) connections: FxHashMap<u64, Connection>,
    /// Listening sockets by the number of their `Listener`.
    pub(crate) listeners: FxHashMap<u64, ListenSocket>,
    /// Datagram sockets by the number of their `ConnectionId`.
    pub(crate) datagram_sockets: FxHashMap<u64, DatagramSocket>,
    pub(crate) timers: Wheel<Timer>,
    /// The last number assigned to a socket.
    last_number: u64,
    /// Connections to flush before the next event.
    pub(crate) dirty: Vec<ConnectionId>,
    /// Notifications not delivered yet, oldest first.
    pub(crate) notifications: VecDeque<Notification>,
    /// When the reactor was created, on the monotonic clock.
    started: Instant,
    /// The same time in µs since the Unix epoch.
    started_at: Micros,
    /// Number of polls so far.
    pub(crate) poll_round: PollRound,
    /// The earliest time at which the events of the last poll may have occurred.
    pub(crate) earliest_arrival: Micros,
}

impl Sockets {
    pub(crate) fn new() -> io::Result<Self> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let started_at = since_epoch.map_or(0, |time| time.as_micros() as Micros);
        Ok(Sockets {
            epoll,
            connections: FxHashMap::default(),
            listeners: FxHashMap::default(),
            datagram_sockets: FxHashMap::default(),
            timers: Wheel::new(started_at),
            last_number: 0,
            dirty: Vec::new(),
            notifications: VecDeque::new(),
            started: Instant::now(),
            started_at,
            poll_round: 0,
            earliest_arrival: started_at,
        })
    }

    /// When the reactor was created.
    pub(crate) fn started_at(&self) -> Micros {
        self.started_at
    }

    /// The wall-clock time at the start plus the monotonic time since then.
    pub(crate) fn now(&self) -> Micros {
        self.started_at + self.started.elapsed().as_micros() as Micros
    }

    /// Assigns a number that no other socket of this reactor has had.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Schedules the connection to be flushed, and its epoll events updated, after the current call has
    /// returned.
    pub(crate) fn mark_dirty(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&conn.0)
            && !connection.dirty
        {
            connection.dirty = true;
            self.dirty.push(conn);
        }
    }

    /// Writes as many queued bytes as the kernel accepts and updates the events that epoll reports.
    pub(crate) fn flush(&mut self, conn: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&conn.0) else { return };
        connection.dirty = false;
        if !connection.established {
            return;
        }
        while !connection.unsent.is_empty() {
            let (front, _) = connection.unsent.as_slices();
            match net::send(&connection.fd, front, net::SendFlags::NOSIGNAL) {
                Ok(count) => {
                    connection.sent += count as u64;
                    connection.unsent.drain(..count);
                }
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => break,
                Err(_) => return self.drop_connection(conn, Some(Closed::Reset)),
            }
        }
        if connection.unsent.len() > MAX_UNSENT_BYTES {
            return self.drop_connection(conn, Some(Closed::Overflow));
        }
        if connection.unsent.is_empty() {
            self.all_sent(conn);
        } else {
            connection.notify_flushed = !connection.finishing;
            self.update_interest(conn);
        }
    }

    /// Called when no queued bytes are left: notifies the machine, and shuts down this side if that was
    /// requested.
    fn all_sent(&mut self, conn: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&conn.0) else { return };
        if connection.unsent.capacity() > READ_BUFFER_BYTES {
            connection.unsent = VecDeque::new();
        }
        if std::mem::take(&mut connection.notify_flushed) {
            let machine = connection.machine;
            self.notifications.push_back(Notification::Flushed { machine, conn });
        }
        if connection.finishing && !connection.peer_ended {
            let _ = net::shutdown(&connection.fd, net::Shutdown::Write);
            if !std::mem::replace(&mut connection.lingering, true) {
                let at = self.now() + LINGER_TIMEOUT;
                self.timers.insert(at, Timer::LingerTimeout(conn));
            }
        } else if connection.finishing {
            return self.drop_connection(conn, Some(Closed::Ended));
        }
        self.update_interest(conn);
    }

    /// Updates the events that epoll reports to those that the connection's state needs.
    fn update_interest(&mut self, conn: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&conn.0) else { return };
        let wanted = connection.wanted_events();
        if wanted != connection.interest {
            connection.interest = wanted;
            let data = epoll::EventData::new_u64(conn.0);
            let _ = epoll::modify(&self.epoll, &connection.fd, data, wanted);
        }
    }

    /// Whether this event is a peer's shutdown that has to be reported ahead of all other events.
    pub(crate) fn is_priority_hangup(&self, data: u64, flags: epoll::EventFlags) -> bool {
        let ends = epoll::EventFlags::RDHUP | epoll::EventFlags::HUP | epoll::EventFlags::ERR;
        flags.intersects(ends) && self.connections.get(&data).is_some_and(Connection::reports_hangup_first)
    }

    /// Closes the connection at once. The machine is notified if a reason is given.
    pub(crate) fn drop_connection(&mut self, conn: ConnectionId, reason: Option<Closed>) {
        let Some(connection) = self.connections.remove(&conn.0) else { return };
        if let Some(reason) = reason {
            let (machine, sent) = (connection.machine, connection.sent);
            self.notifications.push_back(Notification::Closed { machine, conn, reason, sent });
        }
        if let Some(listener) = connection.listener
            && let Some(socket) = self.listeners.get_mut(&listener.0)
        {
            socket.open -= 1;
            self.update_listener_interest(listener);
        }
    }

    /// Has epoll report incoming connections if and only if the listener may accept one.
    pub(crate) fn update_listener_interest(&mut self, listener: Listener) {
        let Some(socket) = self.listeners.get_mut(&listener.0) else { return };
        let wanted = !socket.stopped && socket.open < socket.max_open;
        if wanted != socket.armed {
            socket.armed = wanted;
            let flags = if wanted { epoll::EventFlags::IN } else { epoll::EventFlags::empty() };
            let data = epoll::EventData::new_u64(listener.0);
            let _ = epoll::modify(&self.epoll, &socket.fd, data, flags);
        }
    }

    /// Has epoll report no events of the listener until its interest is next updated.
    pub(crate) fn disarm_listener(&mut self, listener: Listener) {
        if let Some(socket) = self.listeners.get_mut(&listener.0) {
            socket.armed = false;
            let data = epoll::EventData::new_u64(listener.0);
            let _ = epoll::modify(&self.epoll, &socket.fd, data, epoll::EventFlags::empty());
        }
    }

    /// Adds an accepted connection; `None` if it cannot be registered with epoll.
    pub(crate) fn add_accepted(
        &mut self,
        machine: usize,
        fd: OwnedFd,
        listener: Option<Listener>,
    ) -> Option<ConnectionId> {
        let accepted =
            listener.map(|_| Acceptance { round: self.poll_round, earliest: self.earliest_arrival });
        self.add_connection(machine, fd, true, listener, accepted)
    }

    /// Adds a connection whose handshake has begun; `None` if it cannot be registered with epoll.
    pub(crate) fn add_connecting(&mut self, machine: usize, fd: OwnedFd) -> Option<ConnectionId> {
        self.add_connection(machine, fd, false, None, None)
    }

    fn add_connection(
        &mut self,
        machine: usize,
        fd: OwnedFd,
        established: bool,
        listener: Option<Listener>,
        accepted: Option<Acceptance>,
    ) -> Option<ConnectionId> {
        let conn = ConnectionId(self.next_number());
        let interest = if established { epoll::EventFlags::IN } else { epoll::EventFlags::OUT };
        epoll::add(&self.epoll, &fd, epoll::EventData::new_u64(conn.0), interest).ok()?;
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        let connection = Connection {
            machine,
            fd,
            listener,
            established,
            reading: true,
            unsent: VecDeque::new(),
            sent: 0,
            finishing: false,
            peer_ended: false,
            hangup_first: false,
            hangup_reported: false,
            lingering: false,
            notify_flushed: false,
            notify_writable: false,
            interest,
            dirty: false,
            accepted,
        };
        self.connections.insert(conn.0, connection);
        Some(conn)
    }

    /// Adds a datagram socket.
    pub(crate) fn add_datagram_socket(&mut self, machine: usize, fd: OwnedFd) -> Result<ConnectionId, Errno> {
        let conn = ConnectionId(self.next_number());
        epoll::add(&self.epoll, &fd, epoll::EventData::new_u64(conn.0), epoll::EventFlags::IN)?;
        self.datagram_sockets.insert(conn.0, DatagramSocket { machine, fd });
        Ok(conn)
    }

    /// Opens a listening socket. Returns the listener and the address that it is bound to.
    pub(crate) fn listen(
        &mut self,
        machine: usize,
        at: SocketAddr,
        max_open: usize,
    ) -> io::Result<(Listener, SocketAddr)> {
        let fd = stream_socket(&at)?;
        sockopt::set_socket_reuseaddr(&fd, true)?;
        net::bind(&fd, &at)?;
        net::listen(&fd, ACCEPT_QUEUE_LENGTH)?;
        let bound = SocketAddr::try_from(net::getsockname(&fd)?)?;
        let listener = Listener(self.next_number());
        epoll::add(&self.epoll, &fd, epoll::EventData::new_u64(listener.0), epoll::EventFlags::IN)?;
        let socket = ListenSocket { machine, fd, max_open, open: 0, stopped: false, armed: true };
        self.listeners.insert(listener.0, socket);
        Ok((listener, bound))
    }

    /// Closes all sockets of a machine at once.
    pub(crate) fn remove_machine(&mut self, machine: usize) {
        self.connections.retain(|_, connection| connection.machine != machine);
        self.listeners.retain(|_, socket| socket.machine != machine);
        self.datagram_sockets.retain(|_, socket| socket.machine != machine);
    }
}

/// Opens a TCP socket for the family of this address.
pub(crate) fn stream_socket(address: &SocketAddr) -> Result<OwnedFd, Errno> {
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    net::socket_with(family(address), SocketType::STREAM, flags, Some(ipproto::TCP))
}

/// Opens a UDP socket for the family of this address.
pub(crate) fn datagram_socket(address: &SocketAddr) -> Result<OwnedFd, Errno> {
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    net::socket_with(family(address), SocketType::DGRAM, flags, Some(ipproto::UDP))
}

/// Accepts one connection. It is an error if none is waiting or the process is out of descriptors.
pub(crate) fn accept(listener: &OwnedFd) -> Result<OwnedFd, Errno> {
    net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC)
}

fn family(address: &SocketAddr) -> AddressFamily {
    if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 }
}
