//! The shell on real sockets: one thread, epoll, no runtime.
use crate::wheel::Wheel;
use crate::{Closed, Conn, Listener, Machine, Micros, Transport, Wake};
use rustc_hash::FxHashMap;
use rustix::event::{Timespec, epoll};
use rustix::io::Errno;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType, ipproto, sockopt};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Bytes read at a time: a few packets of loopback, one page walk.
const READ: usize = 64 * 1024;
/// Bytes that may wait to be written on one connection; a machine that sees them piling up stops reading
/// first.
const OUT_MOST: usize = 4 * 1024 * 1024;
/// Events taken from the kernel at a time: one for each descriptor of a large limit, as the order within a
/// batch has to hold for all that waits.
const EVENTS: usize = 4096;
/// µs that timers may be late, and that the last look at sockets may be old, before sockets are looked at
/// once more ahead of all else: far above a busy turn.
const LATE: Micros = 50_000;
/// Datagrams read in one go, so that a process that stood still sees what waits before its timers fire, and a
/// flood of them does not starve connections.
const POSTS: usize = 256;
/// Connections accepted in one go, so that a flood of them does not starve those that are open.
const ACCEPTS: usize = 64;
/// Length of the kernel's queue of connections not accepted yet; it caps this by its own setting.
const BACKLOG: i32 = 4096;
/// µs without accepting after the process ran out of descriptors: some are free again after a few answers.
const NO_DESCRIPTORS: Micros = 100_000;
/// µs that a peer has to end its side once this one has: then it is dropped.
const LINGER: Micros = 1_000_000;

/// What a descriptor stands for; `Link` also when the machine is no longer told of it.
struct Link {
    machine: usize,
    fd: OwnedFd,
    via: Option<Listener>,
    open: bool,
    reading: bool,
    out: VecDeque<u8>,
    sent: u64,
    /// This side has ended, or will once `out` is empty.
    finishing: bool,
    peer_ended: bool,
    /// The peer's end is told ahead of all else, once.
    hangup_first: bool,
    hangup_told: bool,
    /// All is written and this side has ended: the peer's end is awaited for `LINGER`.
    lingering: bool,
    /// The machine is to be told when `out` is empty.
    tell_flushed: bool,
    /// An `offer` was not taken whole: the machine is to be told when there is room.
    wants_room: bool,
    interest: epoll::EventFlags,
    dirty: bool,
    /// The look at which it was accepted, and since when it may have waited for that.
    accepted: Option<(Look, Micros)>,
}

/// The number of a look at all sockets.
type Look = u64;

/// A socket for datagrams.
struct Post {
    machine: usize,
    fd: OwnedFd,
}

struct Ear {
    machine: usize,
    fd: OwnedFd,
    most: usize,
    open: usize,
    /// Told not to accept by its machine.
    deaf: bool,
    /// Registered with the kernel at present.
    armed: bool,
}

enum Timer {
    Machine(usize, Wake),
    ConnectOver(Conn),
    LingerOver(Conn),
    Accept(Listener),
}

/// What is to be told to a machine once its present call has returned.
enum Tell {
    Accepted(usize, Conn, Listener),
    Closed(usize, Conn, Closed, u64),
    Flushed(usize, Conn),
}

struct Core {
    poll: OwnedFd,
    /// By numbers that this shell gave itself, so that a quick hash is no weakness.
    links: FxHashMap<u64, Link>,
    ears: FxHashMap<u64, Ear>,
    posts: FxHashMap<u64, Post>,
    wheel: Wheel<Timer>,
    next: u64,
    dirty: Vec<Conn>,
    tell: VecDeque<Tell>,
    origin: Instant,
    epoch: Micros,
    /// Looks at sockets so far, and since when what the last one found may have been there.
    look: Look,
    arrived: Micros,
}

/// Since when what a look at sockets finds may have been there. `before`: when the look before it ended;
/// `entered`: when this one began; `due`: when it was to end at the latest; `ended`: when it did.
fn earliest_arrival(before: Micros, entered: Micros, due: Micros, ended: Micros) -> Micros {
    if entered > before.saturating_add(LATE) {
        before
    } else if ended > due.saturating_add(LATE) {
        entered
    } else {
        ended
    }
}

/// Hosts machines on one thread. Each sees its own connections and timers only.
pub struct Reactor {
    machines: Vec<Option<Box<dyn Machine>>>,
    core: Core,
    events: Vec<epoll::Event>,
    buffer: Vec<u8>,
    /// When the kernel was last asked what waits.
    looked: Micros,
}

struct Port<'a> {
    core: &'a mut Core,
    machine: usize,
}

fn refused(error: Errno) -> io::Error {
    io::Error::from(error)
}

impl Core {
    fn now(&self) -> Micros {
        self.epoch + self.origin.elapsed().as_micros() as Micros
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn touch(&mut self, conn: Conn) {
        if let Some(link) = self.links.get_mut(&conn.0)
            && !link.dirty
        {
            link.dirty = true;
            self.dirty.push(conn);
        }
    }

    /// Writes what the kernel takes and asks it for the right events.
    fn flush(&mut self, conn: Conn) {
        let Some(link) = self.links.get_mut(&conn.0) else { return };
        link.dirty = false;
        if !link.open {
            return;
        }
        while !link.out.is_empty() {
            let (front, _) = link.out.as_slices();
            match net::send(&link.fd, front, net::SendFlags::NOSIGNAL) {
                Ok(n) => {
                    link.sent += n as u64;
                    link.out.drain(..n);
                }
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => break,
                Err(_) => return self.drop_link(conn, Some(Closed::Reset)),
            }
        }
        if link.out.len() > OUT_MOST {
            return self.drop_link(conn, Some(Closed::Overflow));
        }
        if link.out.is_empty() {
            if link.out.capacity() > READ {
                link.out = VecDeque::new();
            }
            if std::mem::take(&mut link.tell_flushed) {
                self.tell.push_back(Tell::Flushed(link.machine, conn));
            }
            if link.finishing && !link.peer_ended {
                let _ = net::shutdown(&link.fd, net::Shutdown::Write);
                if !std::mem::replace(&mut link.lingering, true) {
                    let at = self.now() + LINGER;
                    self.wheel.insert(at, Timer::LingerOver(conn));
                }
            } else if link.finishing {
                return self.drop_link(conn, Some(Closed::Ended));
            }
        } else {
            link.tell_flushed = !link.finishing;
        }
        self.arm(conn);
    }

    fn arm(&mut self, conn: Conn) {
        let Some(link) = self.links.get_mut(&conn.0) else { return };
        let mut wanted = epoll::EventFlags::empty();
        if !link.open || !link.out.is_empty() || link.wants_room {
            wanted |= epoll::EventFlags::OUT;
        }
        if link.open && !link.peer_ended && (link.reading || link.finishing) {
            wanted |= epoll::EventFlags::IN;
        }
        if link.open && link.hangup_first && !link.peer_ended && !link.finishing {
            wanted |= epoll::EventFlags::RDHUP;
        }
        if wanted != link.interest {
            link.interest = wanted;
            let _ = epoll::modify(&self.poll, &link.fd, epoll::EventData::new_u64(conn.0), wanted);
        }
    }

    /// Whether this event is the end of a peer whose end comes first.
    fn hangs_up(&self, data: u64, flags: epoll::EventFlags) -> bool {
        let ends = epoll::EventFlags::RDHUP | epoll::EventFlags::HUP | epoll::EventFlags::ERR;
        let first = |link: &Link| link.open && link.hangup_first && !link.finishing;
        flags.intersects(ends) && self.links.get(&data).is_some_and(first)
    }

    fn drop_link(&mut self, conn: Conn, tell: Option<Closed>) {
        let Some(link) = self.links.remove(&conn.0) else { return };
        if let Some(why) = tell {
            self.tell.push_back(Tell::Closed(link.machine, conn, why, link.sent));
        }
        if let Some(listener) = link.via
            && let Some(ear) = self.ears.get_mut(&listener.0)
        {
            ear.open -= 1;
            self.arm_ear(listener);
        }
    }

    fn arm_ear(&mut self, listener: Listener) {
        let Some(ear) = self.ears.get_mut(&listener.0) else { return };
        let wanted = !ear.deaf && ear.open < ear.most;
        if wanted != ear.armed {
            ear.armed = wanted;
            let flags = if wanted { epoll::EventFlags::IN } else { epoll::EventFlags::empty() };
            let _ = epoll::modify(&self.poll, &ear.fd, epoll::EventData::new_u64(listener.0), flags);
        }
    }

    fn add(&mut self, machine: usize, fd: OwnedFd, open: bool, via: Option<Listener>) -> Option<Conn> {
        let conn = Conn(self.number());
        let interest = if open { epoll::EventFlags::IN } else { epoll::EventFlags::OUT };
        epoll::add(&self.poll, &fd, epoll::EventData::new_u64(conn.0), interest).ok()?;
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        let link = Link {
            machine,
            fd,
            via,
            open,
            reading: true,
            out: VecDeque::new(),
            sent: 0,
            finishing: false,
            peer_ended: false,
            hangup_first: false,
            hangup_told: false,
            lingering: false,
            tell_flushed: false,
            wants_room: false,
            interest,
            dirty: false,
            accepted: via.map(|_| (self.look, self.arrived)),
        };
        self.links.insert(conn.0, link);
        Some(conn)
    }
}

fn socket(to: &SocketAddr) -> Result<OwnedFd, Errno> {
    let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    net::socket_with(family, SocketType::STREAM, flags, Some(ipproto::TCP))
}

fn datagram_socket(with: &SocketAddr) -> Result<OwnedFd, Errno> {
    let family = if with.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    net::socket_with(family, SocketType::DGRAM, flags, Some(ipproto::UDP))
}

impl Transport for Port<'_> {
    fn connect(&mut self, to: SocketAddr, patience: Micros) -> Conn {
        let begun = socket(&to).ok().and_then(|fd| match net::connect(&fd, &to) {
            Ok(()) | Err(Errno::INPROGRESS) => self.core.add(self.machine, fd, false, None),
            Err(_) => None,
        });
        match begun {
            Some(conn) => {
                let at = self.core.now() + patience;
                self.core.wheel.insert(at, Timer::ConnectOver(conn));
                conn
            }
            None => {
                let conn = Conn(self.core.number());
                self.core.tell.push_back(Tell::Closed(self.machine, conn, Closed::Never, 0));
                conn
            }
        }
    }

    fn write(&mut self, conn: Conn, bytes: &[u8]) {
        if let Some(link) = self.core.links.get_mut(&conn.0).filter(|l| !l.finishing) {
            link.out.extend(bytes);
            self.core.touch(conn);
        }
    }

    fn offer(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let link = self.core.links.get_mut(&conn.0);
        let Some(link) = link.filter(|l| l.open && !l.finishing && l.out.is_empty()) else { return 0 };
        let mut taken = 0;
        while taken < bytes.len() {
            match net::send(&link.fd, &bytes[taken..], net::SendFlags::NOSIGNAL) {
                Ok(n) => taken += n,
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => {
                    link.wants_room = true;
                    break;
                }
                // The peer is gone, which the kernel reports by itself, after what the peer had sent before.
                Err(_) => break,
            }
        }
        link.sent += taken as u64;
        if link.wants_room {
            self.core.touch(conn);
        }
        taken
    }

    fn datagrams(&mut self, to: SocketAddr) -> Option<Conn> {
        let fd = datagram_socket(&to).ok()?;
        net::connect(&fd, &to).ok()?;
        let conn = Conn(self.core.number());
        let data = epoll::EventData::new_u64(conn.0);
        epoll::add(&self.core.poll, &fd, data, epoll::EventFlags::IN).ok()?;
        self.core.posts.insert(conn.0, Post { machine: self.machine, fd });
        Some(conn)
    }

    fn datagram(&mut self, conn: Conn, bytes: &[u8]) {
        if let Some(post) = self.core.posts.get(&conn.0) {
            let _ = net::send(&post.fd, bytes, net::SendFlags::NOSIGNAL);
        }
    }

    fn post(&mut self, at: SocketAddr) -> io::Result<(Conn, SocketAddr)> {
        let fd = datagram_socket(&at).map_err(refused)?;
        net::bind(&fd, &at).map_err(refused)?;
        let bound = SocketAddr::try_from(net::getsockname(&fd).map_err(refused)?).map_err(refused)?;
        let conn = Conn(self.core.number());
        let data = epoll::EventData::new_u64(conn.0);
        epoll::add(&self.core.poll, &fd, data, epoll::EventFlags::IN).map_err(refused)?;
        self.core.posts.insert(conn.0, Post { machine: self.machine, fd });
        Ok((conn, bound))
    }

    fn datagram_to(&mut self, conn: Conn, to: SocketAddr, bytes: &[u8]) -> bool {
        let post = self.core.posts.get(&conn.0);
        post.is_some_and(|post| net::sendto(&post.fd, bytes, net::SendFlags::NOSIGNAL, &to).is_ok())
    }

    fn unsent(&self, conn: Conn) -> usize {
        self.core.links.get(&conn.0).map_or(0, |l| l.out.len())
    }

    fn sent(&self, conn: Conn) -> u64 {
        self.core.links.get(&conn.0).map_or(0, |l| l.sent)
    }

    fn reading(&mut self, conn: Conn, on: bool) {
        if let Some(link) = self.core.links.get_mut(&conn.0) {
            link.reading = on;
            self.core.touch(conn);
        }
    }

    fn arrived(&self, conn: Conn, now: Micros) -> Micros {
        let accepted = self.core.links.get(&conn.0).and_then(|link| link.accepted);
        // What the first look after its acceptance finds may have come with the connection.
        let with_it = accepted.filter(|(look, _)| self.core.look <= look + 1).map(|(_, since)| since);
        now.min(self.core.arrived).min(with_it.unwrap_or(Micros::MAX))
    }

    fn hangup_first(&mut self, conn: Conn) {
        if let Some(link) = self.core.links.get_mut(&conn.0) {
            link.hangup_first = true;
            self.core.touch(conn);
        }
    }

    fn finish(&mut self, conn: Conn) {
        if let Some(link) = self.core.links.get_mut(&conn.0).filter(|l| !l.finishing) {
            link.finishing = true;
            self.core.touch(conn);
        }
    }

    fn cut(&mut self, conn: Conn) {
        self.core.posts.remove(&conn.0);
        self.core.drop_link(conn, None);
    }

    fn listen(&mut self, at: SocketAddr, most: usize) -> io::Result<(Listener, SocketAddr)> {
        let fd = socket(&at).map_err(refused)?;
        sockopt::set_socket_reuseaddr(&fd, true).map_err(refused)?;
        net::bind(&fd, &at).map_err(refused)?;
        net::listen(&fd, BACKLOG).map_err(refused)?;
        let bound = net::getsockname(&fd).map_err(refused)?;
        let bound = SocketAddr::try_from(bound).map_err(refused)?;
        let listener = Listener(self.core.number());
        let data = epoll::EventData::new_u64(listener.0);
        epoll::add(&self.core.poll, &fd, data, epoll::EventFlags::IN).map_err(refused)?;
        let ear = Ear { machine: self.machine, fd, most, open: 0, deaf: false, armed: true };
        self.core.ears.insert(listener.0, ear);
        Ok((listener, bound))
    }

    fn deafen(&mut self, listener: Listener, close: bool) {
        if close {
            // Guards whoever has connected but was not accepted yet: the kernel would reset them.
            while let Some(ear) = self.core.ears.get(&listener.0)
                && let Ok(fd) = net::accept_with(&ear.fd, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC)
            {
                if let Some(conn) = self.core.add(self.machine, fd, true, None) {
                    self.core.tell.push_back(Tell::Accepted(self.machine, conn, listener));
                }
            }
            self.core.ears.remove(&listener.0);
        } else if let Some(ear) = self.core.ears.get_mut(&listener.0) {
            ear.deaf = true;
            self.core.arm_ear(listener);
        }
    }

    fn hear(&mut self, listener: Listener) {
        if let Some(ear) = self.core.ears.get_mut(&listener.0) {
            ear.deaf = false;
            self.core.arm_ear(listener);
        }
    }

    fn wake_at(&mut self, at: Micros, wake: Wake) {
        self.core.wheel.insert(at, Timer::Machine(self.machine, wake));
    }
}

impl Reactor {
    /// An error is the kernel's, when it gives no epoll instance.
    pub fn new() -> io::Result<Self> {
        let poll = epoll::create(epoll::CreateFlags::CLOEXEC).map_err(refused)?;
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        let core = Core {
            poll,
            links: FxHashMap::default(),
            ears: FxHashMap::default(),
            posts: FxHashMap::default(),
            wheel: Wheel::new(epoch),
            next: 0,
            dirty: Vec::new(),
            tell: VecDeque::new(),
            origin: Instant::now(),
            epoch,
            look: 0,
            arrived: epoch,
        };
        let (events, buffer) = (Vec::with_capacity(EVENTS), vec![0; READ]);
        Ok(Reactor { machines: Vec::new(), core, events, buffer, looked: epoch })
    }

    pub fn now(&self) -> Micros {
        self.core.now()
    }

    /// Open connections of all machines.
    pub fn connections(&self) -> usize {
        self.core.links.len()
    }

    /// Takes a machine in and starts it; its number is for `remove`.
    pub fn add(&mut self, machine: Box<dyn Machine>) -> usize {
        self.machines.push(Some(machine));
        let index = self.machines.len() - 1;
        self.with(index, |m, now, transport| m.start(now, transport));
        self.settle();
        index
    }

    /// Ends a machine as a kill would: its sockets go at once.
    pub fn remove(&mut self, index: usize) {
        self.machines[index] = None;
        self.core.links.retain(|_, l| l.machine != index);
        self.core.ears.retain(|_, e| e.machine != index);
        self.core.posts.retain(|_, p| p.machine != index);
    }

    fn with(&mut self, index: usize, call: impl FnOnce(&mut dyn Machine, Micros, &mut dyn Transport)) {
        if let Some(mut machine) = self.machines.get_mut(index).and_then(Option::take) {
            let now = self.core.now();
            call(machine.as_mut(), now, &mut Port { core: &mut self.core, machine: index });
            self.machines[index] = Some(machine);
        }
    }

    /// Carries out what the last calls ordered, and tells what came of it, until nothing is left.
    fn settle(&mut self) {
        loop {
            while let Some(conn) = self.core.dirty.pop() {
                self.core.flush(conn);
            }
            match self.core.tell.pop_front() {
                Some(Tell::Closed(m, conn, why, sent)) => {
                    self.with(m, |m, now, transport| m.closed(now, transport, conn, why, sent));
                }
                Some(Tell::Accepted(m, conn, listener)) => {
                    self.with(m, |m, now, transport| m.accepted(now, transport, conn, listener));
                }
                Some(Tell::Flushed(m, conn)) => {
                    self.with(m, |m, now, transport| m.flushed(now, transport, conn))
                }
                None if self.core.dirty.is_empty() => return,
                None => {}
            }
        }
    }

    /// Waits for events, `most` at the longest, and tells the machines.
    pub fn turn(&mut self, most: Duration) -> io::Result<()> {
        let next = self.core.wheel.next().unwrap_or(Micros::MAX);
        self.poll(Duration::from_micros(next.saturating_sub(self.core.now())).min(most))?;
        // Guards against a process that stood still, before its sockets were read or while they were: its
        // timers would take for silence what waits to be read.
        let due = self.core.wheel.next().unwrap_or(Micros::MAX);
        if self.core.now() > due.saturating_add(LATE) {
            self.poll(Duration::ZERO)?;
        }
        for timer in self.core.wheel.due(self.core.now()) {
            // The same where it stood still since that look, and the timer has become due only then.
            if self.old() {
                self.poll(Duration::ZERO)?;
            }
            match timer {
                Timer::Machine(m, wake) => self.with(m, |m, now, transport| m.woken(now, transport, wake)),
                Timer::ConnectOver(conn) => {
                    if self.core.links.get(&conn.0).is_some_and(|l| !l.open) {
                        self.core.drop_link(conn, Some(Closed::Never));
                    }
                }
                Timer::LingerOver(conn) => self.core.drop_link(conn, Some(Closed::Ended)),
                Timer::Accept(listener) => self.core.arm_ear(listener),
            }
            self.settle();
        }
        Ok(())
    }

    /// Whether the last look at sockets is too old to act on.
    fn old(&self) -> bool {
        self.core.now() > self.looked + LATE
    }

    /// Waits for sockets so long at most, and reads what is there.
    fn poll(&mut self, wait: Duration) -> io::Result<()> {
        let (before, entered) = (self.looked, self.core.now());
        let due = entered.saturating_add(wait.as_micros() as Micros);
        let wait = Timespec { tv_sec: wait.as_secs() as i64, tv_nsec: i64::from(wait.subsec_nanos()) };
        self.events.clear();
        match epoll::wait(&self.core.poll, rustix::buffer::spare_capacity(&mut self.events), Some(&wait)) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(error) => return Err(refused(error)),
        }
        self.looked = self.core.now();
        self.core.look += 1;
        self.core.arrived = earliest_arrival(before, entered, due, self.looked);
        let mut events = std::mem::take(&mut self.events);
        // Guards against a request that is sent on though its client has left in the meantime, and against a
        // newcomer that takes the place of a connection on which something lies unread.
        events.sort_by_key(|event| match event.data.u64() {
            data if self.core.hangs_up(data, event.flags) => 0,
            data if self.core.ears.contains_key(&data) => 2,
            _ => 1,
        });
        for event in &events {
            // Guards against a process that stood still amid a batch: a client whose request lies in it may
            // have left since. What is left of it comes up again, in the order that holds then.
            if self.old() {
                break;
            }
            self.event(event.data.u64(), event.flags);
        }
        self.events = events;
        Ok(())
    }

    fn event(&mut self, data: u64, flags: epoll::EventFlags) {
        if self.core.ears.contains_key(&data) {
            self.accept(Listener(data));
            return;
        }
        let conn = Conn(data);
        if let Some(post) = self.core.posts.get(&data) {
            let machine = post.machine;
            let mut buffer = std::mem::take(&mut self.buffer);
            for _ in 0..POSTS {
                // An error here is a refused earlier datagram, or that nothing waits any more.
                let Some(post) = self.core.posts.get(&data) else { break };
                let Ok((n, _)) = net::recv(&post.fd, &mut buffer[..], net::RecvFlags::empty()) else { break };
                self.with(machine, |m, now, transport| m.told(now, transport, conn, &buffer[..n]));
                self.settle();
            }
            self.buffer = buffer;
            return;
        }
        let Some(link) = self.core.links.get_mut(&data) else { return };
        let machine = link.machine;
        if !link.open {
            if sockopt::socket_error(&link.fd).is_ok_and(|e| e.is_ok())
                && !flags.contains(epoll::EventFlags::HUP)
            {
                link.open = true;
                self.with(machine, |m, now, transport| m.connected(now, transport, conn));
                self.core.touch(conn);
            } else {
                self.core.drop_link(conn, Some(Closed::Never));
            }
            self.settle();
            return;
        }
        if self.core.hangs_up(data, flags) {
            if let Some(link) = self.core.links.get_mut(&data) {
                link.hangup_first = false;
                link.hangup_told = true;
            }
            self.core.touch(conn);
            self.with(machine, |m, now, transport| m.half_closed(now, transport, conn));
            self.settle();
            return;
        }
        let hurt = flags.intersects(epoll::EventFlags::ERR | epoll::EventFlags::HUP);
        if flags.contains(epoll::EventFlags::IN) || hurt {
            self.read(machine, conn, hurt);
        }
        if flags.contains(epoll::EventFlags::OUT) {
            if let Some(link) = self.core.links.get_mut(&data)
                && std::mem::take(&mut link.wants_room)
            {
                self.core.tell.push_back(Tell::Flushed(machine, conn));
            }
            self.core.touch(conn);
        }
        self.settle();
    }

    fn read(&mut self, machine: usize, conn: Conn, hurt: bool) {
        let Some(link) = self.core.links.get_mut(&conn.0) else { return };
        if !link.reading && !link.finishing && !hurt {
            return;
        }
        if link.peer_ended && hurt {
            // Nothing more can come: the kernel would report this for ever.
            return self.core.drop_link(conn, Some(Closed::Reset));
        }
        let mut buffer = std::mem::take(&mut self.buffer);
        match net::recv(&link.fd, &mut buffer[..], net::RecvFlags::empty()) {
            Ok((0, _)) => {
                link.peer_ended = true;
                if link.finishing && link.out.is_empty() {
                    self.core.drop_link(conn, Some(Closed::Ended));
                } else {
                    let tell = !link.finishing && !link.hangup_told;
                    self.core.touch(conn);
                    if tell {
                        self.with(machine, |m, now, transport| m.half_closed(now, transport, conn));
                    }
                }
            }
            Ok((n, _)) => {
                if !link.finishing {
                    self.with(machine, |m, now, transport| m.bytes(now, transport, conn, &buffer[..n]));
                }
            }
            Err(Errno::AGAIN | Errno::INTR) => {}
            Err(_) => self.core.drop_link(conn, Some(Closed::Reset)),
        }
        self.buffer = buffer;
    }

    fn accept(&mut self, listener: Listener) {
        for _ in 0..ACCEPTS {
            let Some(ear) = self.core.ears.get(&listener.0).filter(|e| e.armed) else { return };
            let machine = ear.machine;
            match net::accept_with(&ear.fd, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
                Ok(fd) => {
                    let Some(conn) = self.core.add(machine, fd, true, Some(listener)) else { continue };
                    if let Some(ear) = self.core.ears.get_mut(&listener.0) {
                        ear.open += 1;
                    }
                    self.core.arm_ear(listener);
                    self.with(machine, |m, now, transport| m.accepted(now, transport, conn, listener));
                    self.settle();
                }
                Err(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => {
                    // Level-triggered, it would come up again at once and eat the thread.
                    let at = self.core.now() + NO_DESCRIPTORS;
                    if let Some(ear) = self.core.ears.get_mut(&listener.0) {
                        ear.armed = false;
                        let data = epoll::EventData::new_u64(listener.0);
                        let _ = epoll::modify(&self.core.poll, &ear.fd, data, epoll::EventFlags::empty());
                    }
                    self.core.wheel.insert(at, Timer::Accept(listener));
                    return;
                }
                Err(_) => return,
            }
        }
    }
}
