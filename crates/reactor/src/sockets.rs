//! The tables of sockets and timers, with the bookkeeping between the kernel and the machines.
use crate::connection::{Acceptance, Connection, DatagramSocket, ListenSocket, PollRound};
use crate::wheel::Wheel;
use crate::{Closed, Conn, Listener, Micros, Wake};
use rustc_hash::FxHashMap;
use rustix::event::epoll;
use rustix::io::Errno;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType, ipproto, sockopt};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Bytes read at a time: a few packets of loopback, one page walk.
pub(crate) const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Bytes that may wait to be written on one connection; a machine that sees them piling up stops reading
/// first.
const MAX_UNSENT_BYTES: usize = 4 * 1024 * 1024;
/// Length of the kernel's queue of connections not accepted yet; the kernel caps it by its own setting.
const ACCEPT_QUEUE_LENGTH: i32 = 4096;
/// µs that a peer has to end its side once this one has ended: then the connection is dropped.
const LINGER_TIMEOUT: Micros = 1_000_000;

/// What a timer does when it fires.
pub(crate) enum Timer {
    /// Wakes a machine.
    Machine { machine: usize, wake: Wake },
    /// Drops the connection if it is not established.
    ConnectTimeout(Conn),
    /// Drops a connection whose peer has not ended its side.
    LingerTimeout(Conn),
    /// Accepts again after the process ran out of descriptors.
    RetryAccept(Listener),
}

/// What a machine is notified of once its present call has returned.
pub(crate) enum Notification {
    Accepted { machine: usize, conn: Conn, listener: Listener },
    Closed { machine: usize, conn: Conn, why: Closed, sent: u64 },
    Flushed { machine: usize, conn: Conn },
}

/// All sockets and timers of one reactor, for all of its machines.
pub(crate) struct Sockets {
    /// The epoll instance.
    pub(crate) epoll: OwnedFd,
    // Keys are numbers that this process chose itself, so that a quick hash is no weakness.
    /// Connections by the number of their `Conn`.
    pub(crate) connections: FxHashMap<u64, Connection>,
    /// Listening sockets by the number of their `Listener`.
    pub(crate) listeners: FxHashMap<u64, ListenSocket>,
    /// Datagram sockets by the number of their `Conn`.
    pub(crate) datagram_sockets: FxHashMap<u64, DatagramSocket>,
    pub(crate) timers: Wheel<Timer>,
    /// The last number given to a socket.
    last_number: u64,
    /// Connections to flush before the next event.
    pub(crate) dirty: Vec<Conn>,
    /// Notifications that the machines have not had yet, the oldest first.
    pub(crate) notifications: VecDeque<Notification>,
    /// Start of the reactor on the monotonic clock.
    started: Instant,
    /// The same moment in microseconds since the Unix epoch.
    started_at: Micros,
    /// Polls of the sockets so far.
    pub(crate) poll_round: PollRound,
    /// The earliest moment at which what the last poll found may have arrived.
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

    /// The moment at which the reactor was created.
    pub(crate) fn started_at(&self) -> Micros {
        self.started_at
    }

    /// The wall-clock time at the start plus the monotonic time since then.
    pub(crate) fn now(&self) -> Micros {
        self.started_at + self.started.elapsed().as_micros() as Micros
    }

    /// A number that no other socket of this reactor has had.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Has the connection flushed and its events adjusted once the present call has returned.
    pub(crate) fn mark_dirty(&mut self, conn: Conn) {
        if let Some(connection) = self.connections.get_mut(&conn.0)
            && !connection.dirty
        {
            connection.dirty = true;
            self.dirty.push(conn);
        }
    }

    /// Writes what the kernel takes and asks it for the right events.
    pub(crate) fn flush(&mut self, conn: Conn) {
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

    /// The kernel has taken everything: notifies the machine, and ends this side where that was asked for.
    fn all_sent(&mut self, conn: Conn) {
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

    /// Asks epoll for the events that the connection's state needs.
    fn update_interest(&mut self, conn: Conn) {
        let Some(connection) = self.connections.get_mut(&conn.0) else { return };
        let wanted = connection.wanted_events();
        if wanted != connection.interest {
            connection.interest = wanted;
            let data = epoll::EventData::new_u64(conn.0);
            let _ = epoll::modify(&self.epoll, &connection.fd, data, wanted);
        }
    }

    /// Whether this event is the end of a peer whose end is reported ahead of all else.
    pub(crate) fn is_priority_hangup(&self, data: u64, flags: epoll::EventFlags) -> bool {
        let ends = epoll::EventFlags::RDHUP | epoll::EventFlags::HUP | epoll::EventFlags::ERR;
        flags.intersects(ends) && self.connections.get(&data).is_some_and(Connection::reports_hangup_first)
    }

    /// Closes the connection at once; the machine is notified where a reason is given.
    pub(crate) fn drop_connection(&mut self, conn: Conn, reason: Option<Closed>) {
        let Some(connection) = self.connections.remove(&conn.0) else { return };
        if let Some(why) = reason {
            let (machine, sent) = (connection.machine, connection.sent);
            self.notifications.push_back(Notification::Closed { machine, conn, why, sent });
        }
        if let Some(listener) = connection.listener
            && let Some(socket) = self.listeners.get_mut(&listener.0)
        {
            socket.open -= 1;
            self.update_listener_interest(listener);
        }
    }

    /// Asks epoll for incoming connections exactly where one may be accepted.
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

    /// Asks epoll for no events of a listener, until its interest is next updated.
    pub(crate) fn disarm_listener(&mut self, listener: Listener) {
        if let Some(socket) = self.listeners.get_mut(&listener.0) {
            socket.armed = false;
            let data = epoll::EventData::new_u64(listener.0);
            let _ = epoll::modify(&self.epoll, &socket.fd, data, epoll::EventFlags::empty());
        }
    }

    /// Takes over an accepted connection; none where epoll does not take it.
    pub(crate) fn add_accepted(
        &mut self,
        machine: usize,
        fd: OwnedFd,
        listener: Option<Listener>,
    ) -> Option<Conn> {
        let accepted =
            listener.map(|_| Acceptance { round: self.poll_round, earliest: self.earliest_arrival });
        self.add_connection(machine, fd, true, listener, accepted)
    }

    /// Takes over a connection whose handshake has begun; none where epoll does not take it.
    pub(crate) fn add_connecting(&mut self, machine: usize, fd: OwnedFd) -> Option<Conn> {
        self.add_connection(machine, fd, false, None, None)
    }

    fn add_connection(
        &mut self,
        machine: usize,
        fd: OwnedFd,
        established: bool,
        listener: Option<Listener>,
        accepted: Option<Acceptance>,
    ) -> Option<Conn> {
        let conn = Conn(self.next_number());
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

    /// Takes over a datagram socket.
    pub(crate) fn add_datagram_socket(&mut self, machine: usize, fd: OwnedFd) -> Result<Conn, Errno> {
        let conn = Conn(self.next_number());
        epoll::add(&self.epoll, &fd, epoll::EventData::new_u64(conn.0), epoll::EventFlags::IN)?;
        self.datagram_sockets.insert(conn.0, DatagramSocket { machine, fd });
        Ok(conn)
    }

    /// Opens a listening socket; returns the address that it is bound to.
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

/// A TCP socket for the family of this address.
pub(crate) fn stream_socket(address: &SocketAddr) -> Result<OwnedFd, Errno> {
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    net::socket_with(family(address), SocketType::STREAM, flags, Some(ipproto::TCP))
}

/// A UDP socket for the family of this address.
pub(crate) fn datagram_socket(address: &SocketAddr) -> Result<OwnedFd, Errno> {
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    net::socket_with(family(address), SocketType::DGRAM, flags, Some(ipproto::UDP))
}

/// Accepts one connection; an error where none waits or the process may not open another descriptor.
pub(crate) fn accept(listener: &OwnedFd) -> Result<OwnedFd, Errno> {
    net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC)
}

fn family(address: &SocketAddr) -> AddressFamily {
    if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 }
}
