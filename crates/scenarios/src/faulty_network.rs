//! A network with faults between processes: datagrams go through one proxy socket, connections through a
//! listener each. Faults are by sender and receiver; random ones are drawn from one seed.
use applepond_fleet::envelope::OVERHEAD_BYTES;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Longest wait before what is due is looked at again.
const MAX_WAIT: Duration = Duration::from_millis(1);
/// Limit of datagrams in transit; beyond it the network loses one.
const MAX_IN_TRANSIT: usize = 100_000;

/// The faults at present.
#[derive(Default)]
pub struct NetworkFaults {
    /// Sender and receiver between which nothing gets through. What is sent on a connection waits.
    pub cut: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Part of the datagrams that are lost.
    pub lost: f64,
    /// Part of the datagrams that come twice.
    pub twice: f64,
    /// Time that each way takes.
    pub delay: Duration,
    /// Additional time at random up to this, so that datagrams may overtake each other.
    pub jitter: Duration,
    /// Additional time for all that this sender sends.
    pub slow: BTreeMap<SocketAddr, Duration>,
    /// Counts of messages, where they are wanted.
    pub counts: Option<MessageCounts>,
}

/// How many messages of one kind went to whom.
pub struct MessageCounts {
    /// The first bytes of the messages.
    pub prefix: Vec<u8>,
    /// By receiver and tenth of a second since the network began.
    pub counts: BTreeMap<(SocketAddr, u64), u64>,
}

impl NetworkFaults {
    /// Cuts both ways between the two sides.
    pub fn partition(&mut self, one: &[SocketAddr], other: &[SocketAddr]) {
        let pairs = one.iter().flat_map(|near| other.iter().map(move |far| (*near, *far)));
        self.cut.extend(pairs.flat_map(|(near, far)| [(near, far), (far, near)]));
    }

    /// Counts a datagram, where those of its kind are counted.
    fn count(&mut self, to: SocketAddr, datagram: &[u8], start: Instant) {
        if let Some(counted) = &mut self.counts
            && datagram.get(OVERHEAD_BYTES..).is_some_and(|message| message.starts_with(&counted.prefix))
        {
            let tenth = start.elapsed().as_millis() as u64 / 100;
            *counted.counts.entry((to, tenth)).or_default() += 1;
        }
    }

    /// The time that a message of this sender takes.
    fn transit_time(&self, from: SocketAddr, rng: &mut Rand64) -> Duration {
        let slow = self.slow.get(&from).copied().unwrap_or_default();
        self.delay + slow + self.jitter.mul_f64(rng.rand_float())
    }
}

/// A running network.
pub struct FaultyNetwork {
    /// The proxy for datagrams, which have the receiver's address and a line's end in front.
    pub proxy: SocketAddr,
    faults: Arc<Mutex<NetworkFaults>>,
    seed: u64,
    begun: Instant,
}

impl FaultyNetwork {
    /// Starts a network without faults.
    ///
    /// # Errors
    /// The kernel has no socket.
    pub fn new(seed: u64) -> std::io::Result<FaultyNetwork> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(MAX_WAIT))?;
        let (proxy, faults) = (socket.local_addr()?, Arc::new(Mutex::new(NetworkFaults::default())));
        let shared = faults.clone();
        let begun = Instant::now();
        std::thread::spawn(move || forward_datagrams(&socket, &shared, begun, Rand64::new(u128::from(seed))));
        Ok(FaultyNetwork { proxy, faults, seed, begun })
    }

    /// The faults, to change them.
    ///
    /// # Panics
    /// If a thread has panicked with them.
    pub fn faults(&self) -> MutexGuard<'_, NetworkFaults> {
        self.faults.lock().expect("nobody panics with it")
    }

    /// The present tenth of a second since the network began.
    pub fn tenth(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64 / 100
    }

    /// An address at which `from` reaches `to` under the faults of the pair.
    ///
    /// # Errors
    /// The kernel has no port.
    pub fn connection(&self, from: SocketAddr, to: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (at, faults, seed) = (listener.local_addr()?, self.faults.clone(), self.seed);
        std::thread::spawn(move || {
            while let Ok((near, _)) = listener.accept() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                for (source, sink, pair) in [(&near, &far, (from, to)), (&far, &near, (to, from))] {
                    let (Ok(source), Ok(sink)) = (source.try_clone(), sink.try_clone()) else { break };
                    let faults = faults.clone();
                    let rng = Rand64::new(u128::from(seed));
                    std::thread::spawn(move || carry(source, sink, pair, &faults, rng));
                }
            }
        });
        Ok(at)
    }
}

/// Datagrams in transit, by when they arrive and in their order.
type InTransit = BTreeMap<(Instant, u64), (SocketAddr, Vec<u8>)>;

/// Forwards datagrams for ever.
fn forward_datagrams(socket: &UdpSocket, faults: &Mutex<NetworkFaults>, start: Instant, mut rng: Rand64) {
    let mut in_transit = InTransit::new();
    let (mut buffer, mut count) = ([0; 2_000], 0);
    loop {
        if let Ok((length, from)) = socket.recv_from(&mut buffer) {
            let mut faults = faults.lock().expect("nobody panics with it");
            let Some((to, message)) = split_receiver(&buffer[..length]) else { continue };
            if faults.cut.contains(&(from, to)) {
                continue;
            }
            faults.count(to, message, start);
            let copies = 1 + usize::from(rng.rand_float() < faults.twice);
            for _ in 0..copies * usize::from(rng.rand_float() >= faults.lost) {
                count += 1;
                let due = Instant::now() + faults.transit_time(from, &mut rng);
                if in_transit.len() < MAX_IN_TRANSIT {
                    in_transit.insert((due, count), (to, message.to_vec()));
                }
            }
        }
        deliver_due(socket, &mut in_transit);
    }
}

/// The receiver's address in front of a datagram, and the rest.
fn split_receiver(datagram: &[u8]) -> Option<(SocketAddr, &[u8])> {
    let line = datagram.split(|byte| *byte == b'\n').next()?;
    let address = std::str::from_utf8(line).ok()?.parse().ok()?;
    Some((address, datagram.get(line.len() + 1..)?))
}

fn deliver_due(socket: &UdpSocket, in_transit: &mut InTransit) {
    while let Some(first) = in_transit.first_entry().filter(|entry| entry.key().0 <= Instant::now()) {
        let (to, bytes) = first.remove();
        // Where nobody listens it is lost, as it would be.
        let _ = socket.send_to(&bytes, to);
    }
}

/// One way of a connection, until either end is over.
fn carry(
    mut source: TcpStream,
    mut sink: TcpStream,
    pair: (SocketAddr, SocketAddr),
    faults: &Mutex<NetworkFaults>,
    mut rng: Rand64,
) {
    let mut buffer = [0; 16_384];
    loop {
        let read = source.read(&mut buffer).unwrap_or(0);
        let transit_time = faults.lock().expect("nobody panics with it").transit_time(pair.0, &mut rng);
        std::thread::sleep(transit_time);
        while faults.lock().expect("nobody panics with it").cut.contains(&pair) {
            std::thread::sleep(MAX_WAIT);
        }
        if read == 0 || sink.write_all(&buffer[..read]).is_err() {
            let _ = sink.shutdown(std::net::Shutdown::Write);
            return;
        }
    }
}
