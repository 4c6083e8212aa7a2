//! Faults between processes: datagrams go through one socket of the rig, connections through a listener each,
//! both by the pair of who sends and who is to hear. One seed, one plan; when a process sends is its own.
use applepond_fleet::envelope::OVERHEAD_BYTES;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Longest wait before what is due is looked at again.
const TURN: Duration = Duration::from_millis(1);
/// Datagrams under way at most; beyond them the network loses one.
const UNDER_WAY_MOST: usize = 100_000;

/// What the rig does at present.
#[derive(Default)]
pub struct Faults {
    /// From, to: nothing gets through. What is sent on a connection waits.
    pub cut: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Parts of the datagrams that are lost, and that come twice.
    pub lost: f64,
    pub twice: f64,
    /// Each way takes so long, and up to so much longer: what comes later may overtake.
    pub delay: Duration,
    pub jitter: Duration,
    /// All that this one sends takes so much longer.
    pub slow: BTreeMap<SocketAddr, Duration>,
    /// Where messages of this beginning are counted: to whom, in which tenth of a second since the rig began.
    pub counts: Option<Counts>,
}

/// The beginning of the messages, and how many of them went to whom in which tenth of a second.
pub type Counts = (Vec<u8>, BTreeMap<(SocketAddr, u64), u64>);

impl Faults {
    /// Cuts each way between the two sides.
    pub fn part(&mut self, one: &[SocketAddr], other: &[SocketAddr]) {
        let pairs = one.iter().flat_map(|a| other.iter().map(move |b| (*a, *b)));
        self.cut.extend(pairs.flat_map(|(a, b)| [(a, b), (b, a)]));
    }

    fn takes(&self, from: SocketAddr, rng: &mut Rand64) -> Duration {
        let slow = self.slow.get(&from).copied().unwrap_or_default();
        self.delay + slow + self.jitter.mul_f64(rng.rand_float())
    }
}

pub struct Links {
    /// Where datagrams go, with the receiver's address and a line's end in front.
    pub at: SocketAddr,
    faults: Arc<Mutex<Faults>>,
    seed: u64,
    begun: Instant,
}

impl Links {
    pub fn new(seed: u64) -> std::io::Result<Links> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(TURN))?;
        let (at, faults) = (socket.local_addr()?, Arc::new(Mutex::new(Faults::default())));
        let held = faults.clone();
        let begun = Instant::now();
        std::thread::spawn(move || datagrams(&socket, &held, begun, Rand64::new(u128::from(seed))));
        Ok(Links { at, faults, seed, begun })
    }

    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().expect("nobody panics with it")
    }

    /// The tenth of a second that it is.
    pub fn tenth(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64 / 100
    }

    /// An address at which `from` reaches `to` under the faults of the pair.
    pub fn connection(&self, from: SocketAddr, to: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (at, faults, seed) = (listener.local_addr()?, self.faults.clone(), self.seed);
        std::thread::spawn(move || {
            while let Ok((near, _)) = listener.accept() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                for (a, b, pair) in [(&near, &far, (from, to)), (&far, &near, (to, from))] {
                    let (Ok(a), Ok(b), faults) = (a.try_clone(), b.try_clone(), faults.clone()) else {
                        break;
                    };
                    std::thread::spawn(move || carry(a, b, pair, &faults, Rand64::new(u128::from(seed))));
                }
            }
        });
        Ok(at)
    }
}

fn datagrams(socket: &UdpSocket, faults: &Mutex<Faults>, start: Instant, mut rng: Rand64) {
    let mut under_way: BTreeMap<(Instant, u64), (SocketAddr, Vec<u8>)> = BTreeMap::new();
    let (mut buffer, mut count) = ([0; 2_000], 0);
    loop {
        if let Ok((n, from)) = socket.recv_from(&mut buffer) {
            let mut faults = faults.lock().expect("nobody panics with it");
            let line = buffer[..n].split(|b| *b == b'\n').next().and_then(|l| std::str::from_utf8(l).ok());
            let to = line.and_then(|l| Some((l.parse::<SocketAddr>().ok()?, l.len() + 1)));
            let Some((to, begin)) = to.filter(|(to, _)| !faults.cut.contains(&(from, *to))) else { continue };
            if let Some((mark, counts)) = &mut faults.counts
                && buffer[begin..n].get(OVERHEAD_BYTES..).is_some_and(|message| message.starts_with(mark))
            {
                *counts.entry((to, start.elapsed().as_millis() as u64 / 100)).or_default() += 1;
            }
            let times = 1 + usize::from(rng.rand_float() < faults.twice);
            for _ in 0..times * usize::from(rng.rand_float() >= faults.lost) {
                count += 1;
                let due = Instant::now() + faults.takes(from, &mut rng);
                if under_way.len() < UNDER_WAY_MOST {
                    under_way.insert((due, count), (to, buffer[begin..n].to_vec()));
                }
            }
        }
        while let Some(first) = under_way.first_entry().filter(|e| e.key().0 <= Instant::now()) {
            let (to, bytes) = first.remove();
            // Nobody there: it is lost, as it would be.
            let _ = socket.send_to(&bytes, to);
        }
    }
}

/// One way of a connection, until either end is over.
fn carry(
    mut a: TcpStream,
    mut b: TcpStream,
    pair: (SocketAddr, SocketAddr),
    faults: &Mutex<Faults>,
    mut rng: Rand64,
) {
    let mut buffer = [0; 16_384];
    loop {
        let read = a.read(&mut buffer).unwrap_or(0);
        let takes = faults.lock().expect("nobody panics with it").takes(pair.0, &mut rng);
        std::thread::sleep(takes);
        while faults.lock().expect("nobody panics with it").cut.contains(&pair) {
            std::thread::sleep(TURN);
        }
        if read == 0 || b.write_all(&buffer[..read]).is_err() {
            let _ = b.shutdown(std::net::Shutdown::Write);
            return;
        }
    }
}
