//! The reactor on real loopback sockets. A test turns the reactor until its condition holds, at most
//! `MAX_TURNS` times.
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, Micros, Reactor, TimerId, Transport};
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use test_case::test_case;

const MAX_TURNS: usize = 2000;

#[derive(Default)]
struct Calls {
    address: Option<SocketAddr>,
    conns: Vec<ConnectionId>,
    bytes: usize,
    half_closed_count: usize,
    closed: Vec<(ConnectionId, Closed, u64)>,
    fired_timers: Vec<u64>,
    /// Total of the bytes read before each call of `timer_fired`.
    bytes_when_fired: Vec<usize>,
    connected: usize,
    flushed: usize,
}

type OnBytes = Box<dyn FnMut(&mut dyn Transport, ConnectionId, &[u8])>;
type OnStart = Box<dyn FnMut(&mut dyn Transport, Micros)>;

/// Listens and records its calls. `on_start` and `on_bytes` issue the commands of a test.
struct RecordingMachine {
    calls: Rc<RefCell<Calls>>,
    max_open: usize,
    on_start: OnStart,
    on_bytes: OnBytes,
}

impl Machine for RecordingMachine {
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        let (_, at) =
            transport.listen("127.0.0.1:0".parse().expect("an address"), self.max_open).expect("a port");
        self.calls.borrow_mut().address = Some(at);
        (self.on_start)(transport, now);
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, conn: ConnectionId, _: Listener) {
        self.calls.borrow_mut().conns.push(conn);
    }
    fn connected(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId) {
        self.calls.borrow_mut().connected += 1;
    }
    fn bytes(&mut self, _: Micros, transport: &mut dyn Transport, conn: ConnectionId, bytes: &[u8]) {
        self.calls.borrow_mut().bytes += bytes.len();
        (self.on_bytes)(transport, conn, bytes);
    }
    fn half_closed(&mut self, _: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        self.calls.borrow_mut().half_closed_count += 1;
        transport.finish(conn);
    }
    fn closed(&mut self, _: Micros, _: &mut dyn Transport, conn: ConnectionId, reason: Closed, sent: u64) {
        self.calls.borrow_mut().closed.push((conn, reason, sent));
    }
    fn flushed(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId) {
        self.calls.borrow_mut().flushed += 1;
    }
    fn timer_fired(&mut self, _: Micros, _: &mut dyn Transport, timer: TimerId) {
        let mut calls = self.calls.borrow_mut();
        let bytes = calls.bytes;
        calls.fired_timers.push(timer.0);
        calls.bytes_when_fired.push(bytes);
    }
}

fn start_reactor(
    max_open: usize,
    on_start: impl FnMut(&mut dyn Transport, Micros) + 'static,
    on_bytes: OnBytes,
) -> (Reactor, Rc<RefCell<Calls>>) {
    let mut reactor = Reactor::new().expect("epoll");
    let calls = Rc::new(RefCell::new(Calls::default()));
    reactor.add(Box::new(RecordingMachine {
        calls: calls.clone(),
        max_open,
        on_start: Box::new(on_start),
        on_bytes,
    }));
    (reactor, calls)
}

fn turn_until(reactor: &mut Reactor, mut done: impl FnMut() -> bool) {
    for _ in 0..MAX_TURNS {
        if done() {
            return;
        }
        reactor.turn(Duration::from_millis(5)).expect("a turn");
    }
    panic!("the condition did not hold after {MAX_TURNS} turns");
}

fn client(calls: &Rc<RefCell<Calls>>) -> TcpStream {
    TcpStream::connect(calls.borrow().address.expect("listening")).expect("a connection")
}

#[test]
fn echoes_and_answers_a_half_close() {
    let (mut reactor, calls) =
        start_reactor(8, |_, _| (), Box::new(|transport, conn, bytes| transport.write(conn, bytes)));
    let mut stream = client(&calls);
    stream.write_all(b"hello").expect("written");
    stream.shutdown(std::net::Shutdown::Write).expect("shut");
    turn_until(&mut reactor, || !calls.borrow().closed.is_empty());
    let mut back = String::new();
    stream.read_to_string(&mut back).expect("read");
    assert_eq!(back, "hello");
    let calls = calls.borrow();
    assert_eq!((calls.half_closed_count, calls.closed[0].1, calls.closed[0].2), (1, Closed::Ended, 5));
}

#[test]
fn timers_fire_in_order_and_a_refused_connect_is_reported() {
    // A port that has just been closed.
    let refused = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address");
    let (mut reactor, calls) = start_reactor(
        8,
        move |transport, now| {
            transport.connect(refused, 1_000_000);
            transport.set_timer_at(now + 20_000, TimerId(2));
            transport.set_timer_at(now + 1_000, TimerId(1));
            transport.set_timer_at(now, TimerId(0));
        },
        Box::new(|_, _, _| ()),
    );
    turn_until(&mut reactor, || calls.borrow().fired_timers.len() == 3 && calls.borrow().closed.len() == 1);
    assert_eq!(calls.borrow().fired_timers, [0, 1, 2]);
    assert_eq!((calls.borrow().closed[0].1, calls.borrow().closed[0].2), (Closed::NotEstablished, 0));
}

// A peer that never reads must not use up memory: the connection is closed when its queue exceeds the limit,
// and other connections are still served.
#[test]
fn a_peer_that_never_reads_is_closed_at_the_limit() {
    let big = vec![b'x'; 1024 * 1024];
    let (mut reactor, calls) =
        start_reactor(8, |_, _| (), Box::new(move |transport, conn, _| transport.write(conn, &big)));
    let mut stalled = client(&calls);
    let mut other = client(&calls);
    for _ in 0..30 {
        if stalled.write_all(b"more").is_err() {
            break;
        }
        reactor.turn(Duration::from_millis(5)).expect("a turn");
    }
    turn_until(&mut reactor, || calls.borrow().closed.iter().any(|c| c.1 == Closed::Overflow));
    let bytes = calls.borrow().bytes;
    other.write_all(b"hi").expect("written");
    turn_until(&mut reactor, || calls.borrow().bytes > bytes);
}

#[test]
fn accepts_up_to_its_limit_and_again_after_a_close() {
    let (mut reactor, calls) = start_reactor(2, |_, _| (), Box::new(|_, _, _| ()));
    let mut clients: Vec<TcpStream> = (0..3).map(|_| client(&calls)).collect();
    turn_until(&mut reactor, || calls.borrow().conns.len() == 2);
    for _ in 0..5 {
        reactor.turn(Duration::from_millis(1)).expect("a turn");
    }
    assert_eq!(calls.borrow().conns.len(), 2, "the third must wait in the accept queue");
    drop(clients.remove(0));
    turn_until(&mut reactor, || calls.borrow().conns.len() == 3);
}

#[test]
fn paused_reading_exerts_backpressure() {
    let (mut reactor, calls) =
        start_reactor(2, |_, _| (), Box::new(|transport, conn, _| transport.set_reading(conn, false)));
    let mut stream = client(&calls);
    stream.set_nonblocking(true).expect("set");
    let piece = vec![0u8; 64 * 1024];
    let mut refused = 0;
    for _ in 0..400 {
        refused += usize::from(stream.write(&piece).is_err());
        reactor.turn(Duration::from_millis(0)).expect("a turn");
    }
    assert!(refused > 0 && calls.borrow().bytes <= 64 * 1024, "only the first read may happen");
}

/// The time `delay` µs from now, on the system clock.
fn time_after(delay: Micros) -> Micros {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_micros();
    now as Micros + delay
}

// Guards against timers that fire before unread bytes are read, if the process was suspended while it handled
// an event. The timer is either long overdue when the process resumes, or has only just become due.
#[test_case(10, 120; "long overdue")]
#[test_case(58, 70; "just due")]
fn unread_bytes_are_read_before_timers_fire(due_ms: Micros, suspended_ms: u64) {
    let other: Rc<RefCell<Option<TcpStream>>> = Rc::default();
    let second = other.clone();
    let on_bytes = Box::new(move |transport: &mut dyn Transport, _: ConnectionId, _: &[u8]| {
        if let Some(mut other) = second.take() {
            transport.set_timer_at(time_after(due_ms * 1_000), TimerId(1));
            other.write_all(b"meanwhile").expect("written");
            std::thread::sleep(Duration::from_millis(suspended_ms));
        }
    });
    let (mut reactor, calls) = start_reactor(4, |_, _| {}, on_bytes);
    let mut first = client(&calls);
    *other.borrow_mut() = Some(client(&calls));
    turn_until(&mut reactor, || calls.borrow().conns.len() == 2);
    first.write_all(b"go").expect("written");
    turn_until(&mut reactor, || !calls.borrow().fired_timers.is_empty());
    assert_eq!(calls.borrow().bytes_when_fired, [b"go".len() + b"meanwhile".len()]);
}

// The same for a process that was suspended before it polled, with more unread bytes than one read takes.
#[test]
fn all_unread_bytes_are_read_before_overdue_timers_fire() {
    let (mut reactor, calls) = start_reactor(
        4,
        |_, _| {},
        Box::new(|transport, _, _| transport.set_timer_at(time_after(10_000), TimerId(1))),
    );
    let mut stream = client(&calls);
    turn_until(&mut reactor, || calls.borrow().conns.len() == 1);
    stream.write_all(b"go").expect("written");
    turn_until(&mut reactor, || calls.borrow().bytes == 2);
    stream.write_all(&[b'x'; 100_000]).expect("the socket buffers hold it");
    std::thread::sleep(Duration::from_millis(100));
    turn_until(&mut reactor, || !calls.borrow().fired_timers.is_empty());
    assert_eq!(calls.borrow().bytes_when_fired[0], 100_002);
}
