//! The reactor on real loopback sockets. Each test turns until what it waits for has come, bounded by
//! `TURNS`.
use applepond_reactor::{Closed, Conn, Listener, Machine, Micros, Reactor, Transport, Wake};
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use test_case::test_case;

const TURNS: usize = 2000;

#[derive(Default)]
struct Seen {
    at: Option<SocketAddr>,
    conns: Vec<Conn>,
    bytes: usize,
    half: usize,
    closed: Vec<(Conn, Closed, u64)>,
    woken: Vec<u64>,
    /// Bytes that had been read at each waking.
    read: Vec<usize>,
    connected: usize,
    flushed: usize,
}

type Act = Box<dyn FnMut(&mut dyn Transport, Conn, &[u8])>;
type Start = Box<dyn FnMut(&mut dyn Transport, Micros)>;

/// Listens and writes down; `act` answers bytes.
struct Probe {
    seen: Rc<RefCell<Seen>>,
    most: usize,
    start: Start,
    act: Act,
}

impl Machine for Probe {
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        let (_, at) =
            transport.listen("127.0.0.1:0".parse().expect("an address"), self.most).expect("a port");
        self.seen.borrow_mut().at = Some(at);
        (self.start)(transport, now);
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, conn: Conn, _: Listener) {
        self.seen.borrow_mut().conns.push(conn);
    }
    fn connected(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {
        self.seen.borrow_mut().connected += 1;
    }
    fn bytes(&mut self, _: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        self.seen.borrow_mut().bytes += bytes.len();
        (self.act)(transport, conn, bytes);
    }
    fn half_closed(&mut self, _: Micros, transport: &mut dyn Transport, conn: Conn) {
        self.seen.borrow_mut().half += 1;
        transport.finish(conn);
    }
    fn closed(&mut self, _: Micros, _: &mut dyn Transport, conn: Conn, reason: Closed, sent: u64) {
        self.seen.borrow_mut().closed.push((conn, reason, sent));
    }
    fn flushed(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {
        self.seen.borrow_mut().flushed += 1;
    }
    fn woken(&mut self, _: Micros, _: &mut dyn Transport, wake: Wake) {
        let mut seen = self.seen.borrow_mut();
        let read = seen.bytes;
        seen.woken.push(wake.0);
        seen.read.push(read);
    }
}

fn probe(
    most: usize,
    start: impl FnMut(&mut dyn Transport, Micros) + 'static,
    act: Act,
) -> (Reactor, Rc<RefCell<Seen>>) {
    let mut reactor = Reactor::new().expect("epoll");
    let seen = Rc::new(RefCell::new(Seen::default()));
    reactor.add(Box::new(Probe { seen: seen.clone(), most, start: Box::new(start), act }));
    (reactor, seen)
}

fn until(reactor: &mut Reactor, mut done: impl FnMut() -> bool) {
    for _ in 0..TURNS {
        if done() {
            return;
        }
        reactor.turn(Duration::from_millis(5)).expect("a turn");
    }
    panic!("what the test waits for did not come");
}

fn client(seen: &Rc<RefCell<Seen>>) -> TcpStream {
    TcpStream::connect(seen.borrow().at.expect("listening")).expect("a connection")
}

#[test]
fn echoes_and_answers_a_half_close() {
    let (mut reactor, seen) =
        probe(8, |_, _| (), Box::new(|transport, conn, bytes| transport.write(conn, bytes)));
    let mut stream = client(&seen);
    stream.write_all(b"hello").expect("written");
    stream.shutdown(std::net::Shutdown::Write).expect("shut");
    until(&mut reactor, || !seen.borrow().closed.is_empty());
    let mut back = String::new();
    stream.read_to_string(&mut back).expect("read");
    assert_eq!(back, "hello");
    let seen = seen.borrow();
    assert_eq!((seen.half, seen.closed[0].1, seen.closed[0].2), (1, Closed::Ended, 5));
}

#[test]
fn timers_in_order_and_connects_that_fail_or_hang() {
    // A port that was open a moment ago, and one whose queue of connections is full.
    let gone = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address");
    let (mut reactor, seen) = probe(
        8,
        move |transport, now| {
            transport.connect(gone, 1_000_000);
            transport.wake_at(now + 20_000, Wake(2));
            transport.wake_at(now + 1_000, Wake(1));
            transport.wake_at(now, Wake(0));
        },
        Box::new(|_, _, _| ()),
    );
    until(&mut reactor, || seen.borrow().woken.len() == 3 && seen.borrow().closed.len() == 1);
    assert_eq!(seen.borrow().woken, [0, 1, 2]);
    assert_eq!((seen.borrow().closed[0].1, seen.borrow().closed[0].2), (Closed::Never, 0));
}

// A peer that never reads: what waits for it stays bounded, then it is dropped; others are served meanwhile.
#[test]
fn a_peer_that_never_reads_is_dropped_at_the_bound() {
    let big = vec![b'x'; 1024 * 1024];
    let (mut reactor, seen) =
        probe(8, |_, _| (), Box::new(move |transport, conn, _| transport.write(conn, &big)));
    let mut deaf = client(&seen);
    let mut other = client(&seen);
    for _ in 0..30 {
        if deaf.write_all(b"more").is_err() {
            break;
        }
        reactor.turn(Duration::from_millis(5)).expect("a turn");
    }
    until(&mut reactor, || seen.borrow().closed.iter().any(|c| c.1 == Closed::Overflow));
    let bytes = seen.borrow().bytes;
    other.write_all(b"hi").expect("written");
    until(&mut reactor, || seen.borrow().bytes > bytes);
}

#[test]
fn accepts_up_to_its_limit_and_again_when_one_has_gone() {
    let (mut reactor, seen) = probe(2, |_, _| (), Box::new(|_, _, _| ()));
    let mut clients: Vec<TcpStream> = (0..3).map(|_| client(&seen)).collect();
    until(&mut reactor, || seen.borrow().conns.len() == 2);
    for _ in 0..5 {
        reactor.turn(Duration::from_millis(1)).expect("a turn");
    }
    assert_eq!(seen.borrow().conns.len(), 2, "the third waits in the kernel's queue");
    drop(clients.remove(0));
    until(&mut reactor, || seen.borrow().conns.len() == 3);
}

#[test]
fn paused_reading_exerts_backpressure() {
    let (mut reactor, seen) =
        probe(2, |_, _| (), Box::new(|transport, conn, _| transport.reading(conn, false)));
    let mut stream = client(&seen);
    stream.set_nonblocking(true).expect("set");
    let piece = vec![0u8; 64 * 1024];
    let mut refused = 0;
    for _ in 0..400 {
        refused += usize::from(stream.write(&piece).is_err());
        reactor.turn(Duration::from_millis(0)).expect("a turn");
    }
    assert!(refused > 0 && seen.borrow().bytes <= 64 * 1024, "only the first piece was read");
}

/// µs from now on, on the shell's clock.
fn after(time: Micros) -> Micros {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_micros();
    now as Micros + time
}

// Guards against timers that fire before what waits in sockets is read, where the process stood still between
// two lines: it is long past the timer's time, or past it by a moment only.
#[test_case(10, 120; "late")]
#[test_case(58, 70; "just due")]
fn what_waits_is_read_before_timers(due: Micros, stands_still: u64) {
    let other: Rc<RefCell<Option<TcpStream>>> = Rc::default();
    let second = other.clone();
    let act = Box::new(move |transport: &mut dyn Transport, _: Conn, _: &[u8]| {
        if let Some(mut other) = second.take() {
            transport.wake_at(after(due * 1_000), Wake(1));
            other.write_all(b"meanwhile").expect("it reads");
            std::thread::sleep(Duration::from_millis(stands_still));
        }
    });
    let (mut reactor, seen) = probe(4, |_, _| {}, act);
    let mut first = client(&seen);
    *other.borrow_mut() = Some(client(&seen));
    until(&mut reactor, || seen.borrow().conns.len() == 2);
    first.write_all(b"go").expect("it reads");
    until(&mut reactor, || !seen.borrow().woken.is_empty());
    assert_eq!(seen.borrow().read, [b"go".len() + b"meanwhile".len()]);
}

// The same where it stood still before it looked, and one look does not take all that waits.
#[test]
fn all_that_waits_is_read_before_late_timers() {
    let (mut reactor, seen) =
        probe(4, |_, _| {}, Box::new(|transport, _, _| transport.wake_at(after(10_000), Wake(1))));
    let mut stream = client(&seen);
    until(&mut reactor, || seen.borrow().conns.len() == 1);
    stream.write_all(b"go").expect("it reads");
    until(&mut reactor, || seen.borrow().bytes == 2);
    stream.write_all(&[b'x'; 100_000]).expect("the kernels keep it");
    std::thread::sleep(Duration::from_millis(100));
    until(&mut reactor, || !seen.borrow().woken.is_empty());
    assert_eq!(seen.borrow().read[0], 100_002);
}
