//! The envelope of a datagram: version, keyed hash, who sends, for whom, which of its datagrams.
//!
//! A datagram is one byte of version, 16 bytes of hash (BLAKE3 under the fleet's key, over all that
//! follows), the sender's birth, the receiver (0: whoever it reaches) and the sender's count, each as eight
//! bytes in little-endian order, then a message. What does not open is counted by kind and dropped; nothing
//! is answered. It proves that a holder of the key wrote it, and when, in the order of one sender; it hides
//! nothing.
use std::collections::BTreeMap;

/// Bytes of a datagram at most: every path carries so many whole.
pub const DATAGRAM_MOST: usize = 1_200;
/// Bytes around a message.
pub const AROUND: usize = 1 + HASH + 3 * 8;
/// The version that is written and read.
const VERSION: u8 = 1;
/// Bytes of the hash that travel: 128 bits cannot be guessed within the life of a key.
const HASH: usize = 16;
/// Counts behind a sender's highest that are told apart: as many as it sends within a second or two.
const WINDOW: u64 = 64;
/// Senders whose counts are kept at most: twice the routers of the largest fleet measured, and some. The one
/// longest not heard makes room; its old datagrams could be repeated from then on.
const SENDERS_MOST: usize = 8_192;

/// A secret that all routers of a fleet hold.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 32]);

impl Key {
    /// From a passage of any length, as a file holds it; white space at both ends does not count.
    /// None where fewer than 16 bytes are left: such a secret can be guessed.
    pub fn from_secret(secret: &[u8]) -> Option<Key> {
        let secret = secret.trim_ascii();
        (secret.len() >= 16).then(|| Key(blake3::derive_key("applepond fleet datagrams 1", secret)))
    }

    fn hash(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, bytes)
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(secret)")
    }
}

/// Whom a message is for that is for one process of a router alone: one that was kept from before its start
/// is not for it.
pub fn process(name: u64, instance_id: u64) -> u64 {
    let mut x = name ^ instance_id.rotate_left(29).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (x ^ (x >> 32)) | 1
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dropped {
    /// Shorter than an envelope, or longer than any datagram.
    Torn,
    /// Of a version that this program does not read.
    Version,
    /// No key that holds here made its hash: forged, bent, or another fleet's.
    Foreign,
    /// For another router.
    Misled,
    /// A datagram of this count has come from this sender before, or it is too old to tell.
    Replayed,
}

/// What has come from one sender.
struct Heard {
    highest: u64,
    /// Which of the counts below the highest have come, the next lower one in the lowest bit.
    below: u64,
    /// Order of the last datagram, to find the one longest not heard.
    at: u64,
}

/// Seals and opens for one router.
pub struct Envelopes {
    instance_id: u64,
    me: u64,
    /// The last one that opened was for this process alone.
    mine: bool,
    /// The first one seals; each opens.
    keys: Vec<Key>,
    count: u64,
    opened: u64,
    heard: BTreeMap<u64, Heard>,
    dropped: BTreeMap<Dropped, u64>,
}

impl Envelopes {
    /// `birth` is this process' own, `me` its router's id. The first key seals, every key opens: during a
    /// change of keys there are two.
    ///
    /// # Panics
    /// Where there is no key.
    pub fn new(instance_id: u64, me: u64, keys: Vec<Key>) -> Self {
        assert!(!keys.is_empty(), "a fleet has a key");
        let (heard, dropped) = (BTreeMap::new(), BTreeMap::new());
        Envelopes { instance_id, me, mine: false, keys, count: 0, opened: 0, heard, dropped }
    }

    /// Other keys from now on.
    pub fn rekey(&mut self, keys: Vec<Key>) {
        if !keys.is_empty() {
            self.keys = keys;
        }
    }

    /// A message as a datagram for a router, or for whoever it reaches (0). None where it is too long.
    pub fn seal(&mut self, to: u64, message: &[u8]) -> Option<Vec<u8>> {
        if AROUND + message.len() > DATAGRAM_MOST {
            return None;
        }
        self.count += 1;
        let mut bytes = vec![VERSION];
        bytes.extend_from_slice(&[0; HASH]);
        for number in [self.instance_id, to, self.count] {
            bytes.extend_from_slice(&number.to_le_bytes());
        }
        bytes.extend_from_slice(message);
        let hash = self.keys[0].hash(&bytes[1 + HASH..]);
        bytes[1..1 + HASH].copy_from_slice(&hash.as_bytes()[..HASH]);
        Some(bytes)
    }

    /// The message of a datagram and its sender's birth.
    pub fn open<'a>(&mut self, bytes: &'a [u8]) -> Result<(u64, &'a [u8]), Dropped> {
        let opened = self.look(bytes);
        if let Err(why) = opened {
            *self.dropped.entry(why).or_default() += 1;
        }
        opened
    }

    fn look<'a>(&mut self, bytes: &'a [u8]) -> Result<(u64, &'a [u8]), Dropped> {
        if bytes.len() < AROUND || bytes.len() > DATAGRAM_MOST {
            return Err(Dropped::Torn);
        }
        if bytes[0] != VERSION {
            return Err(Dropped::Version);
        }
        let (hash, sealed) = bytes[1..].split_at(HASH);
        // Compared in constant time, as the library compares whole hashes.
        let matches = |key: &Key| {
            let mut whole = *key.hash(sealed).as_bytes();
            let wanted = blake3::Hash::from_bytes(whole);
            whole[..HASH].copy_from_slice(hash);
            wanted == blake3::Hash::from_bytes(whole)
        };
        if !self.keys.iter().any(matches) {
            return Err(Dropped::Foreign);
        }
        let number = |n: usize| u64::from_le_bytes(sealed[8 * n..8 * n + 8].try_into().expect("eight bytes"));
        let (instance_id, to, count) = (number(0), number(1), number(2));
        let mine = to == process(self.me, self.instance_id);
        if to != 0 && to != self.me && !mine {
            return Err(Dropped::Misled);
        }
        self.fresh(instance_id, count)?;
        self.mine = mine;
        Ok((instance_id, &sealed[3 * 8..]))
    }

    /// Guards against a datagram that was kept and comes again.
    fn fresh(&mut self, instance_id: u64, count: u64) -> Result<(), Dropped> {
        if instance_id == self.instance_id {
            return Err(Dropped::Replayed);
        }
        self.opened += 1;
        let at = self.opened;
        if let Some(heard) = self.heard.get_mut(&instance_id) {
            heard.at = at;
            if count > heard.highest {
                let by = count - heard.highest;
                // The highest until now becomes one of those below.
                heard.below = if by > WINDOW {
                    0
                } else if by == WINDOW {
                    1 << (WINDOW - 1)
                } else {
                    heard.below << by | 1 << (by - 1)
                };
                heard.highest = count;
                return Ok(());
            }
            let behind = heard.highest - count;
            if behind == 0 || behind > WINDOW || heard.below & 1 << (behind - 1) != 0 {
                return Err(Dropped::Replayed);
            }
            heard.below |= 1 << (behind - 1);
            return Ok(());
        }
        if self.heard.len() >= SENDERS_MOST {
            let oldest = self.heard.iter().min_by_key(|(_, h)| h.at).map(|(instance_id, _)| *instance_id);
            oldest.map(|instance_id| self.heard.remove(&instance_id));
        }
        self.heard.insert(instance_id, Heard { highest: count, below: 0, at });
        Ok(())
    }

    /// Whether the datagram opened last was for this process alone, and not for whoever it reaches.
    pub fn was_for_me(&self) -> bool {
        self.mine
    }

    /// How many were dropped, by reason.
    pub fn dropped(&self) -> &BTreeMap<Dropped, u64> {
        &self.dropped
    }
}
