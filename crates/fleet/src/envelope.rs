//! The envelope of a datagram: version, keyed hash, sender, receiver, sequence number.
//!
//! A datagram is one byte of version, 16 bytes of hash (BLAKE3 under the fleet's key, over all that follows),
//! the sender's instance id, the receiver (0: whoever it reaches) and the sender's sequence number, each as
//! eight bytes in little-endian order, then a message. What does not open is counted by reason and dropped;
//! nothing is answered. An envelope proves that a holder of the key wrote the message, and its place in the
//! order of one sender; it hides nothing.
use std::collections::BTreeMap;

/// Limit of bytes in a datagram: every path carries so many without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Bytes that an envelope adds to a message.
pub const OVERHEAD_BYTES: usize = 1 + HASH_BYTES + 3 * 8;
/// The version that is written and read.
const VERSION: u8 = 1;
/// Bytes of the hash in a datagram: 128 bits cannot be guessed within the life of a key.
const HASH_BYTES: usize = 16;
/// Sequence numbers below a sender's highest that are told apart: as many as it sends within a second or two.
const REPLAY_WINDOW: u64 = 64;
/// Limit of senders whose sequence numbers are remembered: twice the routers of the largest fleet measured,
/// and some. The one that has been silent for longest is evicted; its old datagrams could be replayed from
/// then on.
const MAX_SENDERS: usize = 8_192;

/// Bytes of a secret at the least.
const MIN_SECRET_BYTES: usize = 16;

/// A secret that all routers of a fleet share.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
    /// Derives a key from a secret of any length, as a file holds it; white space at both ends does not
    /// count. None where fewer than 16 bytes are left: such a secret can be guessed.
    pub fn from_secret(secret: &[u8]) -> Option<FleetKey> {
        let secret = secret.trim_ascii();
        (secret.len() >= MIN_SECRET_BYTES)
            .then(|| FleetKey(blake3::derive_key("applepond fleet datagrams 1", secret)))
    }

    fn hash(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, bytes)
    }

    /// Whether the first bytes of the hash are these; compared in constant time, as the library compares
    /// whole hashes.
    fn matches(&self, bytes: &[u8], hash: &[u8]) -> bool {
        let wanted = self.hash(bytes);
        let mut found = *wanted.as_bytes();
        found[..HASH_BYTES].copy_from_slice(hash);
        wanted == blake3::Hash::from_bytes(found)
    }
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Key(secret)")
    }
}

/// The receiver of a message that is for one process of a router alone: a process that is started later under
/// the same name does not accept it.
pub fn process(router: u64, instance_id: u64) -> u64 {
    let mut mixed = router ^ instance_id.rotate_left(29).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 32)) | 1
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// Shorter than an envelope, or longer than any datagram.
    Malformed,
    /// Of a version that this program does not read.
    UnknownVersion,
    /// No key of this router made its hash: forged, damaged, or another fleet's.
    NotAuthentic,
    /// For another receiver.
    WrongReceiver,
    /// A datagram of this sequence number has come from this sender before, or it is too old to tell.
    Replayed,
}

impl DropReason {
    /// The reason's name on the state page.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::Malformed => "torn",
            DropReason::UnknownVersion => "version",
            DropReason::NotAuthentic => "foreign",
            DropReason::WrongReceiver => "misled",
            DropReason::Replayed => "replayed",
        }
    }
}

/// The sequence numbers that have come from one sender.
struct Sender {
    highest: u64,
    /// Which of the numbers below the highest have come, the next lower one in the lowest bit.
    below: u64,
    /// Order of its last datagram among all, to find the sender that has been silent for longest.
    last_order: u64,
}

impl Sender {
    /// Takes a sequence number down; false where it has come before or is too old to tell.
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            // The highest until now becomes one of those below.
            self.below = if shift > REPLAY_WINDOW {
                0
            } else if shift == REPLAY_WINDOW {
                1 << (REPLAY_WINDOW - 1)
            } else {
                self.below << shift | 1 << (shift - 1)
            };
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind == 0 || behind > REPLAY_WINDOW || self.below & 1 << (behind - 1) != 0 {
            return false;
        }
        self.below |= 1 << (behind - 1);
        true
    }
}

/// Seals and opens datagrams for one process of a router.
pub struct Envelopes {
    /// Instance id of this process.
    instance_id: u64,
    /// This router.
    router: u64,
    /// The datagram opened last was for this process alone.
    last_was_for_process: bool,
    /// The first one seals; each opens.
    keys: Vec<FleetKey>,
    /// Sequence number of the datagram sealed last.
    sequence: u64,
    /// Datagrams opened so far.
    opened: u64,
    /// Senders by their instance id.
    senders: BTreeMap<u64, Sender>,
    dropped: BTreeMap<DropReason, u64>,
}

impl Envelopes {
    /// For the process with this instance id of this router. The first key seals, every key opens: during a
    /// change of keys there are two.
    ///
    /// # Panics
    /// If there is no key.
    pub fn new(instance_id: u64, router: u64, keys: Vec<FleetKey>) -> Self {
        assert!(!keys.is_empty(), "a fleet has a key");
        Envelopes {
            instance_id,
            router,
            last_was_for_process: false,
            keys,
            sequence: 0,
            opened: 0,
            senders: BTreeMap::new(),
            dropped: BTreeMap::new(),
        }
    }

    /// Replaces the keys, unless there is none.
    pub fn set_keys(&mut self, keys: Vec<FleetKey>) {
        if !keys.is_empty() {
            self.keys = keys;
        }
    }

    /// A message as a datagram for a receiver, or for whoever it reaches (0). None where it is too long.
    pub fn seal(&mut self, receiver: u64, message: &[u8]) -> Option<Vec<u8>> {
        if OVERHEAD_BYTES + message.len() > MAX_DATAGRAM_BYTES {
            return None;
        }
        self.sequence += 1;
        let mut bytes = vec![VERSION];
        bytes.extend_from_slice(&[0; HASH_BYTES]);
        for number in [self.instance_id, receiver, self.sequence] {
            bytes.extend_from_slice(&number.to_le_bytes());
        }
        bytes.extend_from_slice(message);
        let hash = self.keys[0].hash(&bytes[1 + HASH_BYTES..]);
        bytes[1..1 + HASH_BYTES].copy_from_slice(&hash.as_bytes()[..HASH_BYTES]);
        Some(bytes)
    }

    /// The message of a datagram, after its sender's instance id.
    ///
    /// # Errors
    /// Why the datagram is dropped.
    pub fn open<'a>(&mut self, bytes: &'a [u8]) -> Result<(u64, &'a [u8]), DropReason> {
        let opened = self.check(bytes);
        if let Err(reason) = opened {
            *self.dropped.entry(reason).or_default() += 1;
        }
        opened
    }

    fn check<'a>(&mut self, bytes: &'a [u8]) -> Result<(u64, &'a [u8]), DropReason> {
        if bytes.len() < OVERHEAD_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::Malformed);
        }
        if bytes[0] != VERSION {
            return Err(DropReason::UnknownVersion);
        }
        let (hash, sealed) = bytes[1..].split_at(HASH_BYTES);
        if !self.keys.iter().any(|key| key.matches(sealed, hash)) {
            return Err(DropReason::NotAuthentic);
        }
        let (instance_id, rest) = split_number(sealed);
        let (receiver, rest) = split_number(rest);
        let (sequence, message) = split_number(rest);
        let for_process = receiver == process(self.router, self.instance_id);
        if receiver != 0 && receiver != self.router && !for_process {
            return Err(DropReason::WrongReceiver);
        }
        self.check_replay(instance_id, sequence)?;
        self.last_was_for_process = for_process;
        Ok((instance_id, message))
    }

    /// Guards against a datagram that was recorded and is sent again.
    fn check_replay(&mut self, instance_id: u64, sequence: u64) -> Result<(), DropReason> {
        if instance_id == self.instance_id {
            return Err(DropReason::Replayed);
        }
        self.opened += 1;
        if let Some(sender) = self.senders.get_mut(&instance_id) {
            sender.last_order = self.opened;
            return if sender.accept(sequence) { Ok(()) } else { Err(DropReason::Replayed) };
        }
        if self.senders.len() >= MAX_SENDERS {
            let oldest = self.senders.iter().min_by_key(|(_, sender)| sender.last_order);
            let oldest = oldest.map(|(instance_id, _)| *instance_id);
            oldest.map(|instance_id| self.senders.remove(&instance_id));
        }
        let sender = Sender { highest: sequence, below: 0, last_order: self.opened };
        self.senders.insert(instance_id, sender);
        Ok(())
    }

    /// Whether the datagram opened last was for this process alone, and not for whoever it reaches.
    pub fn was_for_me(&self) -> bool {
        self.last_was_for_process
    }

    /// How many were dropped, by reason.
    pub fn dropped(&self) -> &BTreeMap<DropReason, u64> {
        &self.dropped
    }
}

/// The number at the beginning of a sealed part, which holds three of them, and what follows it.
fn split_number(bytes: &[u8]) -> (u64, &[u8]) {
    let (number, rest) = bytes.split_first_chunk::<8>().expect("the length of a datagram is checked first");
    (u64::from_le_bytes(*number), rest)
}
