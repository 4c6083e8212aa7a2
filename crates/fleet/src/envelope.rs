//! The envelope of a datagram: version, keyed hash, sender, receiver and sequence number.
//!
//! A datagram consists of one version byte, a 16-byte hash (BLAKE3 keyed with the fleet's key, over
//! everything that follows), the sender's instance id, the receiver (0: any router) and the sender's sequence
//! number, each a little-endian `u64`, and the message. A datagram that fails a check is dropped without a
//! reply and counted by reason. An envelope proves that a holder of the key sent the message and where it
//! stands in that sender's sequence; it does not encrypt the message.
use std::collections::BTreeMap;

/// Maximum size of a datagram in bytes, small enough to avoid IP fragmentation on any path.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Bytes that an envelope adds to a message.
pub const OVERHEAD_BYTES: usize = 1 + HASH_BYTES + 3 * 8;
/// The envelope version that this program writes and accepts.
const VERSION: u8 = 1;
/// Length of the truncated hash in bytes: 128 bits cannot be guessed within the lifetime of a key.
const HASH_BYTES: usize = 16;
/// Number of sequence numbers below a sender's highest that the replay filter tracks: about as many as one
/// router sends in one to two seconds.
const REPLAY_WINDOW: u64 = 64;
/// Maximum number of senders tracked by the replay filter, more than twice the size of the largest fleet
/// measured. Beyond it, the sender that has been silent for longest is evicted, after which its old datagrams
/// could be replayed.
const MAX_SENDERS: usize = 8_192;

/// Minimum length of a secret in bytes; a shorter one can be guessed.
const MIN_SECRET_BYTES: usize = 16;

/// A hash key that all routers of a fleet share.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
    /// Derives a key from the contents of a key file, ignoring leading and trailing white space. Returns
    /// `None` if fewer than 16 bytes remain.
    pub fn from_secret(secret: &[u8]) -> Option<FleetKey> {
        let secret = secret.trim_ascii();
        (secret.len() >= MIN_SECRET_BYTES)
            .then(|| FleetKey(blake3::derive_key("applepond fleet datagrams 1", secret)))
    }

    fn hash(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, bytes)
    }

    /// Returns whether `hash` is the truncated hash of `bytes`. The comparison takes constant time, because
    /// `blake3::Hash` compares full hashes that way.
    fn matches(&self, bytes: &[u8], hash: &[u8]) -> bool {
        let expected = self.hash(bytes);
        let mut actual = *expected.as_bytes();
        actual[..HASH_BYTES].copy_from_slice(hash);
        expected == blake3::Hash::from_bytes(actual)
    }
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Key(secret)")
    }
}

/// Receiver id of one process of a router. A message sealed for it is rejected by a process that starts later
/// under the same router name.
pub fn process_receiver(router: u64, instance_id: u64) -> u64 {
    let mut mixed = router ^ instance_id.rotate_left(29).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 32)) | 1
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// Shorter than an envelope, or longer than [`MAX_DATAGRAM_BYTES`].
    Malformed,
    /// The envelope version is not supported.
    UnknownVersion,
    /// The hash matches none of this router's keys: forged, corrupted, or from another fleet.
    NotAuthentic,
    /// Addressed to another receiver.
    WrongReceiver,
    /// The sequence number was already received from this sender, or is below the replay window.
    Replayed,
}

impl DropReason {
    /// Returns the reason's name on the state page.
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

/// Replay filter for one sender.
struct Sender {
    highest: u64,
    /// Bitmap of the sequence numbers received below `highest`; bit 0 is `highest - 1`.
    below: u64,
    /// Value of `Envelopes::opened` at its last datagram, to find the sender that has been silent for
    /// longest.
    last_order: u64,
}

impl Sender {
    /// Records a sequence number. Returns false if it was already received or is below the replay window.
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            // The previous highest number moves into the bitmap.
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

/// Seals and opens the datagrams of one router process.
pub struct Envelopes {
    /// Instance id of this process.
    instance_id: u64,
    /// This router.
    router: u64,
    /// Whether the datagram opened last was addressed to this process, rather than to this router or to any
    /// router.
    last_was_for_process: bool,
    /// The first key seals; any of them opens.
    keys: Vec<FleetKey>,
    /// Sequence number of the last datagram sealed.
    sequence: u64,
    /// Number of authentic datagrams for this router that other processes have sent.
    opened: u64,
    /// Replay filters by the sender's instance id.
    senders: BTreeMap<u64, Sender>,
    dropped: BTreeMap<DropReason, u64>,
}

impl Envelopes {
    /// Creates the envelopes of one process of `router`. The first key seals and any key opens; two keys are
    /// configured during a key rotation.
    ///
    /// # Panics
    /// If `keys` is empty.
    pub fn new(instance_id: u64, router: u64, keys: Vec<FleetKey>) -> Self {
        assert!(!keys.is_empty(), "a fleet needs at least one key");
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

    /// Replaces the keys; an empty list is ignored.
    pub fn set_keys(&mut self, keys: Vec<FleetKey>) {
        if !keys.is_empty() {
            self.keys = keys;
        }
    }

    /// Wraps a message into a datagram for `receiver` (0: any router). Returns `None` if the message is too
    /// long.
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

    /// Checks a datagram and returns its sender's instance id and its message.
    ///
    /// # Errors
    /// Returns the reason for which the datagram is dropped.
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
        let for_process = receiver == process_receiver(self.router, self.instance_id);
        if receiver != 0 && receiver != self.router && !for_process {
            return Err(DropReason::WrongReceiver);
        }
        self.check_replay(instance_id, sequence)?;
        self.last_was_for_process = for_process;
        Ok((instance_id, message))
    }

    /// Rejects a datagram that was recorded and is sent again.
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

    /// Returns whether the datagram opened last was addressed to this process, rather than to this router or
    /// to any router.
    pub fn last_was_for_process(&self) -> bool {
        self.last_was_for_process
    }

    /// Number of datagrams dropped, by reason.
    pub fn dropped(&self) -> &BTreeMap<DropReason, u64> {
        &self.dropped
    }
}

/// Splits off the first `u64`. The caller has checked that `bytes` is long enough.
fn split_number(bytes: &[u8]) -> (u64, &[u8]) {
    let (number, rest) = bytes.split_first_chunk::<8>().expect("the datagram's length was checked");
    (u64::from_le_bytes(*number), rest)
}
