//! A network between processes with injected faults. Datagrams pass through one proxy socket, TCP connections
//! through a listener per pair. Faults apply by sender and receiver; random ones come from one seed.
use applepond_fleet::envelope::OVERHEAD_BYTES;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Interval at which due datagrams and the end of cuts are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Limit of datagrams in transit; further ones are lost.
const MAX_IN_TRANSIT: usize = 100_000;

/// The current faults.
#[derive(Default)]
pub struct NetworkFaults {
    /// Pairs of sender and receiver between which nothing is delivered. Datagrams are lost; bytes on a TCP
    /// connection are delayed until the cut ends.
    pub cut: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Share of datagrams that are lost.
    pub loss_rate: f64,
    /// Share of datagrams that are delivered twice.
    pub duplicate_rate: f64,
    /// Delay in each direction.
    pub delay: Duration,
    /// Upper bound of an additional random delay, which lets datagrams overtake each other.
    pub jitter: Duration,
    /// Additional delay by sender.
    pub sender_delay: BTreeMap<SocketAddr, Duration>,
    /// Counts messages, if set.
    pub counts: Option<MessageCounts>,
}

/// Counts of messages of one kind.
pub struct MessageCounts {
    /// The first bytes of the messages.
    pub prefix: Vec<u8>,
    /// Counts by receiver and by tenth of a second since the start of the network.
    pub counts: BTreeMap<(SocketAddr, u64), u64>,
}

impl NetworkFaults {
    /// Cuts both directions between the two sides.
    pub fn partition(&mut self, one: &[SocketAddr], other: &[SocketAddr]) {
        let pairs = one.iter().flat_map(|near| other.iter().map(move |far| (*near, *far)));
        self.cut.extend(pairs.flat_map(|(near, far)| [(near, far), (far, near)]));
    }

    /// Counts a datagram if its kind is counted.
    fn count(&mut self, to: SocketAddr, datagram: &[u8], start: Instant) {
        if let Some(counted) = &mut self.counts
            && datagram.get(OVERHEAD_BYTES..).is_some_and(|message| message.starts_with(&counted.prefix))
        {
            let tenth = start.elapsed().as_millis() as u64 / 100;
            *counted.counts.entry((to, tenth)).or_default() += 1;
        }
    }

    /// Returns the delay of a message of this sender.
    fn transit_time(&self, from: SocketAddr, rng: &mut Rand64) -> Duration {
        let slow = self.sender_delay.get(&from).copied().unwrap_or_default();
        self.delay + slow + self.jitter.mul_f64(rng.rand_float())
    }
}

/// A running network.
pub struct FaultyNetwork {
    /// Address of the datagram proxy. A datagram to it starts with the receiver's address and a newline.
    pub proxy: SocketAddr,
    faults: Arc<Mutex<NetworkFaults>>,
    seed: u64,
    started: Instant,
}

impl FaultyNetwork {
    /// Starts a network without faults.
    ///
    /// # Errors
    /// Returns an error if no socket can be opened.
    pub fn new(seed: u64) -> std::io::Result<FaultyNetwork> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(POLL_INTERVAL))?;
        let (proxy, faults) = (socket.local_addr()?, Arc::new(Mutex::new(NetworkFaults::default())));
        let shared = faults.clone();
        let started = Instant::now();
        std::thread::spawn(move || {
            forward_datagrams(&socket, &shared, started, Rand64::new(u128::from(seed)))
        });
        Ok(FaultyNetwork { proxy, faults, seed, started })
    }

    /// Returns the current faults for inspection or change.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    pub fn faults(&self) -> MutexGuard<'_, NetworkFaults> {
        self.faults.lock().expect("no thread panics while it holds the lock")
    }

    /// Number of whole tenths of a second since the start of the network.
    pub fn tenth(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 / 100
    }

    /// Opens an address through which `from` can reach `to` over TCP, subject to the faults of the pair.
    ///
    /// # Errors
    /// Returns an error if no port is free.
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
                    std::thread::spawn(move || forward_stream(source, sink, pair, &faults, rng));
                }
            }
        });
        Ok(at)
    }
}

/// Datagrams in transit, by arrival time and sequence number.
type InTransit = BTreeMap<(Instant, u64), (SocketAddr, Vec<u8>)>;

/// Forwards datagrams until the process ends.
fn forward_datagrams(socket: &UdpSocket, faults: &Mutex<NetworkFaults>, start: Instant, mut rng: Rand64) {
    let mut in_transit = InTransit::new();
    let (mut buffer, mut count) = ([0; 2_000], 0);
    loop {
        if let Ok((length, from)) = socket.recv_from(&mut buffer) {
            let mut faults = faults.lock().expect("no thread panics while it holds the lock");
            let Some((to, message)) = split_receiver(&buffer[..length]) else { continue };
            if faults.cut.contains(&(from, to)) {
                continue;
            }
            faults.count(to, message, start);
            let copies = 1 + usize::from(rng.rand_float() < faults.duplicate_rate);
            for _ in 0..copies * usize::from(rng.rand_float() >= faults.loss_rate) {
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

/// Splits a datagram into the receiver's address and the message.
fn split_receiver(datagram: &[u8]) -> Option<(SocketAddr, &[u8])> {
    let line = datagram.split(|byte| *byte == b'\n').next()?;
    let address = std::str::from_utf8(line).ok()?.parse().ok()?;
    Some((address, datagram.get(line.len() + 1..)?))
}

fn deliver_due(socket: &UdpSocket, in_transit: &mut InTransit) {
    while let Some(first) = in_transit.first_entry().filter(|entry| entry.key().0 <= Instant::now()) {
        let (to, bytes) = first.remove();
        // Errors are ignored: a datagram to a closed port is lost, as on a real network.
        let _ = socket.send_to(&bytes, to);
    }
}

/// Forwards one direction of a connection until either end closes.
fn forward_stream(
    mut source: TcpStream,
    mut sink: TcpStream,
    pair: (SocketAddr, SocketAddr),
    faults: &Mutex<NetworkFaults>,
    mut rng: Rand64,
) {
    let mut buffer = [0; 16_384];
    loop {
        let read = source.read(&mut buffer).unwrap_or(0);
        let transit_time =
            faults.lock().expect("no thread panics while it holds the lock").transit_time(pair.0, &mut rng);
        std::thread::sleep(transit_time);
        while faults.lock().expect("no thread panics while it holds the lock").cut.contains(&pair) {
            std::thread::sleep(POLL_INTERVAL);
        }
        if read == 0 || sink.write_all(&buffer[..read]).is_err() {
            let _ = sink.shutdown(std::net::Shutdown::Write);
            return;
        }
    }
}
