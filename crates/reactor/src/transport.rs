//! The [`Transport`] of one machine on real sockets.
use crate::sockets::{Notification, Sockets, Timer, accept, datagram_socket, stream_socket};
use crate::{Closed, ConnectionId, Listener, Micros, TimerId, Transport};
use rustix::io::Errno;
use rustix::net;
use std::io;
use std::net::SocketAddr;

/// The transport that a machine is given for one call.
pub(crate) struct MachineTransport<'a> {
    pub(crate) sockets: &'a mut Sockets,
    /// Index of the machine. It owns the sockets that it opens.
    pub(crate) machine: usize,
}

impl Transport for MachineTransport<'_> {
    fn connect(&mut self, to: SocketAddr, timeout: Micros) -> ConnectionId {
        let connecting = stream_socket(&to).ok().and_then(|fd| match net::connect(&fd, &to) {
            Ok(()) | Err(Errno::INPROGRESS) => self.sockets.add_connecting(self.machine, fd),
            Err(_) => None,
        });
        match connecting {
            Some(conn) => {
                let at = self.sockets.now() + timeout;
                self.sockets.timers.insert(at, Timer::ConnectTimeout(conn));
                conn
            }
            None => {
                let conn = ConnectionId(self.sockets.next_number());
                let (machine, reason, sent) = (self.machine, Closed::NotEstablished, 0);
                self.sockets.notifications.push_back(Notification::Closed { machine, conn, reason, sent });
                conn
            }
        }
    }

    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let connection = self.sockets.connections.get_mut(&conn.0);
        if let Some(connection) = connection.filter(|connection| !connection.finishing) {
            connection.unsent.extend(bytes);
            self.sockets.mark_dirty(conn);
        }
    }

    fn try_write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize {
        let Some(connection) = self.sockets.connections.get_mut(&conn.0) else { return 0 };
        if !connection.established || connection.finishing || !connection.unsent.is_empty() {
            return 0;
        }
        let mut taken = 0;
        while taken < bytes.len() {
            match net::send(&connection.fd, &bytes[taken..], net::SendFlags::NOSIGNAL) {
                Ok(count) => taken += count,
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => {
                    connection.notify_writable = true;
                    break;
                }
                // The connection has failed. epoll reports that after the bytes that the peer sent before.
                Err(_) => break,
            }
        }
        connection.sent += taken as u64;
        if connection.notify_writable {
            self.sockets.mark_dirty(conn);
        }
        taken
    }

    fn connect_datagrams(&mut self, to: SocketAddr) -> Option<ConnectionId> {
        let fd = datagram_socket(&to).ok()?;
        net::connect(&fd, &to).ok()?;
        self.sockets.add_datagram_socket(self.machine, fd).ok()
    }

    fn send_datagram(&mut self, conn: ConnectionId, bytes: &[u8]) {
        if let Some(socket) = self.sockets.datagram_sockets.get(&conn.0) {
            let _ = net::send(&socket.fd, bytes, net::SendFlags::NOSIGNAL);
        }
    }

    fn bind_datagrams(&mut self, at: SocketAddr) -> io::Result<(ConnectionId, SocketAddr)> {
        let fd = datagram_socket(&at)?;
        net::bind(&fd, &at)?;
        let bound = SocketAddr::try_from(net::getsockname(&fd)?)?;
        let conn = self.sockets.add_datagram_socket(self.machine, fd)?;
        Ok((conn, bound))
    }

    fn send_datagram_to(&mut self, conn: ConnectionId, to: SocketAddr, bytes: &[u8]) -> bool {
        let socket = self.sockets.datagram_sockets.get(&conn.0);
        socket.is_some_and(|socket| net::sendto(&socket.fd, bytes, net::SendFlags::NOSIGNAL, &to).is_ok())
    }

    fn unsent(&self, conn: ConnectionId) -> usize {
        self.sockets.connections.get(&conn.0).map_or(0, |connection| connection.unsent.len())
    }

    fn sent(&self, conn: ConnectionId) -> u64 {
        self.sockets.connections.get(&conn.0).map_or(0, |connection| connection.sent)
    }

    fn set_reading(&mut self, conn: ConnectionId, on: bool) {
        if let Some(connection) = self.sockets.connections.get_mut(&conn.0) {
            connection.reading = on;
            self.sockets.mark_dirty(conn);
        }
    }

    fn earliest_arrival(&self, conn: ConnectionId, now: Micros) -> Micros {
        let connection = self.sockets.connections.get(&conn.0);
        let accepted = connection.and_then(|connection| connection.accepted);
        // Bytes found by the first poll after the connection was accepted may have arrived together with it.
        let with_connection = accepted
            .filter(|accepted| self.sockets.poll_round <= accepted.round + 1)
            .map(|accepted| accepted.earliest);
        now.min(self.sockets.earliest_arrival).min(with_connection.unwrap_or(Micros::MAX))
    }

    fn hangup_first(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.sockets.connections.get_mut(&conn.0) {
            connection.hangup_first = true;
            self.sockets.mark_dirty(conn);
        }
    }

    fn finish(&mut self, conn: ConnectionId) {
        let connection = self.sockets.connections.get_mut(&conn.0);
        if let Some(connection) = connection.filter(|connection| !connection.finishing) {
            connection.finishing = true;
            self.sockets.mark_dirty(conn);
        }
    }

    fn abort(&mut self, conn: ConnectionId) {
        self.sockets.datagram_sockets.remove(&conn.0);
        self.sockets.drop_connection(conn, None);
    }

    fn listen(&mut self, at: SocketAddr, max_open: usize) -> io::Result<(Listener, SocketAddr)> {
        self.sockets.listen(self.machine, at, max_open)
    }

    fn stop_accepting(&mut self, listener: Listener, close: bool) {
        if close {
            // Accepts the connections that are still in the accept queue, which the kernel would reset on
            // close.
            while let Some(socket) = self.sockets.listeners.get(&listener.0)
                && let Ok(fd) = accept(&socket.fd)
            {
                if let Some(conn) = self.sockets.add_accepted(self.machine, fd, None) {
                    let machine = self.machine;
                    let accepted = Notification::Accepted { machine, conn, listener };
                    self.sockets.notifications.push_back(accepted);
                }
            }
            self.sockets.listeners.remove(&listener.0);
        } else if let Some(socket) = self.sockets.listeners.get_mut(&listener.0) {
            socket.stopped = true;
            self.sockets.update_listener_interest(listener);
        }
    }

    fn resume_accepting(&mut self, listener: Listener) {
        if let Some(socket) = self.sockets.listeners.get_mut(&listener.0) {
            socket.stopped = false;
            self.sockets.update_listener_interest(listener);
        }
    }

    fn set_timer_at(&mut self, at: Micros, timer: TimerId) {
        self.sockets.timers.insert(at, Timer::Machine { machine: self.machine, timer });
    }
}
