//! The event loop on real sockets: single-threaded, on epoll, without an asynchronous runtime.
use crate::sockets::{Notification, READ_BUFFER_BYTES, Sockets, Timer, accept};
use crate::transport::MachineTransport;
use crate::{Closed, ConnectionId, Listener, Machine, Micros, Transport};
use rustix::event::{Timespec, epoll};
use rustix::io::Errno;
use rustix::net::{self, sockopt};
use std::io;
use std::time::Duration;

/// Maximum number of events taken from the kernel by one poll. It is as large as a high limit on descriptors,
/// because events are ordered by priority only within one poll.
const MAX_EVENTS_PER_POLL: usize = 4096;
/// Age of the last poll, and lateness of a timer, in µs above which the sockets are polled again before
/// anything else is handled. A busy turn takes far less.
const STALE_POLL: Micros = 50_000;
/// Datagrams read per event. Enough for a process that was suspended to read what has arrived before its
/// timers fire; limited so that a flood of datagrams does not starve the connections.
const MAX_DATAGRAMS_PER_EVENT: usize = 256;
/// Connections accepted per event, limited so that a flood of them does not starve the open ones.
const MAX_ACCEPTS_PER_EVENT: usize = 64;
/// Pause in µs before accepting again after the process ran out of descriptors. Some are freed as requests
/// end.
const ACCEPT_RETRY_DELAY: Micros = 100_000;

/// Runs machines on one thread. A machine can reach only its own sockets and timers.
pub struct Reactor {
    /// Machines by index; `None` while a machine is being called and after its removal.
    machines: Vec<Option<Box<dyn Machine>>>,
    sockets: Sockets,
    /// Buffer for the events of one poll.
    events: Vec<epoll::Event>,
    /// Buffer for one read.
    read_buffer: Vec<u8>,
    /// When the last poll ended.
    last_poll: Micros,
}

/// The times of one poll.
struct PollTimes {
    /// When the previous poll ended.
    previous: Micros,
    entered: Micros,
    /// When its wait was to time out.
    due: Micros,
    ended: Micros,
    /// Whether a signal ended the wait. The kernel does that to a process that is stopped and continued.
    interrupted: bool,
}

impl PollTimes {
    /// The earliest time at which the events of the poll may have occurred. If the process was late to enter
    /// the poll, or late to return from it, that is the time before the delay. If the wait was interrupted,
    /// the process may have been stopped at any time of it.
    fn earliest_arrival(&self) -> Micros {
        if self.entered > self.previous.saturating_add(STALE_POLL) {
            self.previous
        } else if self.interrupted || self.ended > self.due.saturating_add(STALE_POLL) {
            self.entered
        } else {
            self.ended
        }
    }
}

impl Reactor {
    /// Creates a reactor without machines.
    ///
    /// # Errors
    /// The kernel's error if no epoll instance can be created.
    pub fn new() -> io::Result<Self> {
        let sockets = Sockets::new()?;
        let last_poll = sockets.started_at();
        let (events, read_buffer) = (Vec::with_capacity(MAX_EVENTS_PER_POLL), vec![0; READ_BUFFER_BYTES]);
        Ok(Reactor { machines: Vec::new(), sockets, events, read_buffer, last_poll })
    }

    /// The reactor's clock.
    pub fn now(&self) -> Micros {
        self.sockets.now()
    }

    /// Number of open connections of all machines.
    pub fn connections(&self) -> usize {
        self.sockets.connections.len()
    }

    /// Adds a machine and starts it. Returns its index for `remove`.
    pub fn add(&mut self, machine: Box<dyn Machine>) -> usize {
        self.machines.push(Some(machine));
        let index = self.machines.len() - 1;
        self.call(index, |machine, now, transport| machine.start(now, transport));
        self.process_pending();
        index
    }

    /// Removes a machine and closes its sockets at once, as if its process had been killed.
    ///
    /// # Panics
    /// If `add` never returned this index.
    pub fn remove(&mut self, index: usize) {
        self.machines[index] = None;
        self.sockets.remove_machine(index);
    }

    /// Calls a machine with the current time and its transport, unless it has been removed.
    fn call(&mut self, index: usize, call: impl FnOnce(&mut dyn Machine, Micros, &mut dyn Transport)) {
        if let Some(mut machine) = self.machines.get_mut(index).and_then(Option::take) {
            let now = self.sockets.now();
            let mut transport = MachineTransport { sockets: &mut self.sockets, machine: index };
            call(machine.as_mut(), now, &mut transport);
            self.machines[index] = Some(machine);
        }
    }

    /// Carries out pending commands and delivers the resulting notifications until none are left.
    fn process_pending(&mut self) {
        loop {
            while let Some(conn) = self.sockets.dirty.pop() {
                self.sockets.flush(conn);
            }
            match self.sockets.notifications.pop_front() {
                Some(notification) => self.notify(notification),
                None if self.sockets.dirty.is_empty() => return,
                None => {}
            }
        }
    }

    fn notify(&mut self, notification: Notification) {
        match notification {
            Notification::Closed { machine, conn, reason, sent } => {
                self.call(machine, |machine, now, transport| {
                    machine.closed(now, transport, conn, reason, sent)
                });
            }
            Notification::Accepted { machine, conn, listener } => {
                self.call(machine, |machine, now, transport| {
                    machine.accepted(now, transport, conn, listener);
                });
            }
            Notification::Flushed { machine, conn } => {
                self.call(machine, |machine, now, transport| machine.flushed(now, transport, conn));
            }
        }
    }

    /// Waits for events, at most `max_wait`, then calls the machines for these events and for timers that are
    /// due.
    ///
    /// # Errors
    /// The kernel's error if waiting on epoll fails.
    pub fn turn(&mut self, max_wait: Duration) -> io::Result<()> {
        let next_timer = self.sockets.timers.next().unwrap_or(Micros::MAX);
        let until_timer = Duration::from_micros(next_timer.saturating_sub(self.sockets.now()));
        self.poll(until_timer.min(max_wait))?;
        // If the process was suspended before or while it read its sockets, unread bytes may be waiting.
        // Timers that fire first would mistake that for a peer's silence.
        let next_timer = self.sockets.timers.next().unwrap_or(Micros::MAX);
        if self.sockets.now() > next_timer.saturating_add(STALE_POLL) {
            self.poll(Duration::ZERO)?;
        }
        for timer in self.sockets.timers.due(self.sockets.now()) {
            // The process may also have been suspended since that poll, with timers that became due
            // meanwhile.
            if self.poll_is_stale() {
                self.poll(Duration::ZERO)?;
            }
            self.handle_timer(timer);
            self.process_pending();
        }
        Ok(())
    }

    fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Machine { machine, timer } => {
                self.call(machine, |machine, now, transport| machine.timer_fired(now, transport, timer));
            }
            Timer::ConnectTimeout(conn) => {
                let connection = self.sockets.connections.get(&conn.0);
                if connection.is_some_and(|connection| !connection.established) {
                    self.sockets.drop_connection(conn, Some(Closed::NotEstablished));
                }
            }
            Timer::LingerTimeout(conn) => self.sockets.drop_connection(conn, Some(Closed::Ended)),
            Timer::RetryAccept(listener) => self.sockets.update_listener_interest(listener),
        }
    }

    /// Whether the last poll is so old that its events may be out of date.
    fn poll_is_stale(&self) -> bool {
        self.sockets.now() > self.last_poll + STALE_POLL
    }

    /// Waits for socket events, at most `wait`, and handles them.
    fn poll(&mut self, wait: Duration) -> io::Result<()> {
        self.wait_for_events(wait)?;
        let mut events = std::mem::take(&mut self.events);
        // Hang-ups come first: a request must not be forwarded after its client has left. New connections
        // come last, so that none of them takes the place of a connection with unread bytes.
        events.sort_by_key(|event| match event.data.u64() {
            data if self.sockets.is_priority_hangup(data, event.flags) => 0,
            data if self.sockets.listeners.contains_key(&data) => 2,
            _ => 1,
        });
        for event in &events {
            // If the process was suspended within a batch, a client with a request in it may have left since.
            // epoll reports the remaining events again, to be sorted by their new state.
            if self.poll_is_stale() {
                break;
            }
            self.handle_event(event.data.u64(), event.flags);
        }
        self.events = events;
        Ok(())
    }

    /// Fills `events` and records the earliest time at which they may have occurred.
    fn wait_for_events(&mut self, wait: Duration) -> io::Result<()> {
        let (previous, entered) = (self.last_poll, self.sockets.now());
        let due = entered.saturating_add(wait.as_micros() as Micros);
        let interrupted = !self.take_events(wait)?;
        if interrupted {
            // An interrupted wait reports no events, whatever came during a stop. Without a wait, a poll is
            // not interrupted.
            self.take_events(Duration::ZERO)?;
        }
        let ended = self.sockets.now();
        self.last_poll = ended;
        self.sockets.poll_round += 1;
        let times = PollTimes { previous, entered, due, ended, interrupted };
        self.sockets.earliest_arrival = times.earliest_arrival();
        Ok(())
    }

    /// Waits for events, at most `wait`, and fills `events` with them. Returns false if a signal interrupted
    /// the wait.
    fn take_events(&mut self, wait: Duration) -> io::Result<bool> {
        let wait = Timespec { tv_sec: wait.as_secs() as i64, tv_nsec: i64::from(wait.subsec_nanos()) };
        self.events.clear();
        let spare = rustix::buffer::spare_capacity(&mut self.events);
        match epoll::wait(&self.sockets.epoll, spare, Some(&wait)) {
            Ok(_) => Ok(true),
            Err(Errno::INTR) => Ok(false),
            Err(error) => Err(error.into()),
        }
    }

    fn handle_event(&mut self, data: u64, flags: epoll::EventFlags) {
        if self.sockets.listeners.contains_key(&data) {
            return self.accept(Listener(data));
        }
        let conn = ConnectionId(data);
        if let Some(socket) = self.sockets.datagram_sockets.get(&data) {
            return self.read_datagrams(socket.machine, conn);
        }
        let Some(connection) = self.sockets.connections.get(&data) else { return };
        let machine = connection.machine;
        if !connection.established {
            self.complete_connect(machine, conn, flags);
        } else if self.sockets.is_priority_hangup(data, flags) {
            self.report_hangup(machine, conn);
        } else {
            self.transfer(machine, conn, flags);
        }
        self.process_pending();
    }

    fn read_datagrams(&mut self, machine: usize, conn: ConnectionId) {
        let mut buffer = std::mem::take(&mut self.read_buffer);
        for _ in 0..MAX_DATAGRAMS_PER_EVENT {
            let Some(socket) = self.sockets.datagram_sockets.get(&conn.0) else { break };
            // The error is either that no datagram is left or that an earlier one was refused by its
            // receiver.
            let Ok((count, _)) = net::recv(&socket.fd, &mut buffer[..], net::RecvFlags::empty()) else {
                break;
            };
            let bytes = &buffer[..count];
            self.call(machine, |machine, now, transport| {
                machine.datagram_received(now, transport, conn, bytes);
            });
            self.process_pending();
        }
        self.read_buffer = buffer;
    }

    /// Handles the outcome, success or failure, of a connection attempt of this side.
    fn complete_connect(&mut self, machine: usize, conn: ConnectionId, flags: epoll::EventFlags) {
        let Some(connection) = self.sockets.connections.get_mut(&conn.0) else { return };
        let succeeded = sockopt::socket_error(&connection.fd).is_ok_and(|error| error.is_ok());
        if succeeded && !flags.contains(epoll::EventFlags::HUP) {
            connection.established = true;
            self.call(machine, |machine, now, transport| machine.connected(now, transport, conn));
            self.sockets.mark_dirty(conn);
        } else {
            self.sockets.drop_connection(conn, Some(Closed::NotEstablished));
        }
    }

    /// Reports the peer's shutdown ahead of bytes that have not been read yet.
    fn report_hangup(&mut self, machine: usize, conn: ConnectionId) {
        if let Some(connection) = self.sockets.connections.get_mut(&conn.0) {
            connection.hangup_first = false;
            connection.hangup_reported = true;
        }
        self.sockets.mark_dirty(conn);
        self.call(machine, |machine, now, transport| machine.half_closed(now, transport, conn));
    }

    /// Reads from and writes to an established connection as far as epoll reports it ready.
    fn transfer(&mut self, machine: usize, conn: ConnectionId, flags: epoll::EventFlags) {
        let failed = flags.intersects(epoll::EventFlags::ERR | epoll::EventFlags::HUP);
        if flags.contains(epoll::EventFlags::IN) || failed {
            self.read(machine, conn, failed);
        }
        if flags.contains(epoll::EventFlags::OUT) {
            if let Some(connection) = self.sockets.connections.get_mut(&conn.0)
                && std::mem::take(&mut connection.notify_writable)
            {
                self.sockets.notifications.push_back(Notification::Flushed { machine, conn });
            }
            self.sockets.mark_dirty(conn);
        }
    }

    /// Reads once. `failed` is whether epoll has reported an error or hang-up of the connection.
    fn read(&mut self, machine: usize, conn: ConnectionId, failed: bool) {
        let Some(connection) = self.sockets.connections.get_mut(&conn.0) else { return };
        if !connection.reading && !connection.finishing && !failed {
            return;
        }
        if connection.peer_ended && failed {
            // Nothing more can be read, and epoll would report the event again and again.
            return self.sockets.drop_connection(conn, Some(Closed::Reset));
        }
        let mut buffer = std::mem::take(&mut self.read_buffer);
        match net::recv(&connection.fd, &mut buffer[..], net::RecvFlags::empty()) {
            Ok((0, _)) => self.peer_ended(machine, conn),
            Ok((count, _)) => {
                if !connection.finishing {
                    let bytes = &buffer[..count];
                    self.call(machine, |machine, now, transport| {
                        machine.bytes(now, transport, conn, bytes);
                    });
                }
            }
            Err(Errno::AGAIN | Errno::INTR) => {}
            Err(_) => self.sockets.drop_connection(conn, Some(Closed::Reset)),
        }
        self.read_buffer = buffer;
    }

    /// Handles the peer's shutdown after all that it sent has been read.
    fn peer_ended(&mut self, machine: usize, conn: ConnectionId) {
        let Some(connection) = self.sockets.connections.get_mut(&conn.0) else { return };
        connection.peer_ended = true;
        if connection.finishing && connection.unsent.is_empty() {
            return self.sockets.drop_connection(conn, Some(Closed::Ended));
        }
        let notify = !connection.finishing && !connection.hangup_reported;
        self.sockets.mark_dirty(conn);
        if notify {
            self.call(machine, |machine, now, transport| machine.half_closed(now, transport, conn));
        }
    }

    fn accept(&mut self, listener: Listener) {
        for _ in 0..MAX_ACCEPTS_PER_EVENT {
            let socket = self.sockets.listeners.get(&listener.0);
            let Some(socket) = socket.filter(|socket| socket.armed) else { return };
            let machine = socket.machine;
            match accept(&socket.fd) {
                Ok(fd) => {
                    let added = self.sockets.add_accepted(machine, fd, Some(listener));
                    let Some(conn) = added else { continue };
                    if let Some(socket) = self.sockets.listeners.get_mut(&listener.0) {
                        socket.open += 1;
                    }
                    self.sockets.update_listener_interest(listener);
                    self.call(machine, |machine, now, transport| {
                        machine.accepted(now, transport, conn, listener);
                    });
                    self.process_pending();
                }
                Err(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => {
                    // epoll is level-triggered: without the pause it would report the listener again at once,
                    // in a busy loop.
                    let at = self.sockets.now() + ACCEPT_RETRY_DELAY;
                    self.sockets.disarm_listener(listener);
                    self.sockets.timers.insert(at, Timer::RetryAccept(listener));
                    return;
                }
                Err(_) => return,
            }
        }
    }
}
