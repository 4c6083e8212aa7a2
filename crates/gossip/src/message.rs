//! Messages between neighbours: a marker byte, a kind byte and the body encoded with postcard.
//!
//! The order of fields is part of the wire format. A message is decoded and validated completely before any
//! part of it takes effect.
use crate::config::{DIGEST_BUCKETS, MAX_MESSAGE_BYTES, MAX_NUMBER, MAX_VALUE_BYTES};
use crate::error::MessageError;
use applepond::interface::Micros;
use applepond_membership::RouterId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// First byte of each gossip message. It differs from all message kinds of the membership protocol, which
/// are small numbers.
pub const PROTOCOL_MARKER: u8 = 0xb1;

const KIND_DIGEST: u8 = 1;
const KIND_SUMMARY: u8 = 2;
const KIND_REQUEST: u8 = 3;
const KIND_DELTA: u8 = 4;

/// Kind of an entry. The caller assigns the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Kind(
    /// Number of the kind.
    pub u8,
);

/// Key of an entry among those of its origin and kind, such as the id of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(
    /// Number of the key.
    pub u64,
);

/// Version of an origin's entries: all entries of this incarnation up to this sequence number are included,
/// without gaps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Version {
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
}

impl Version {
    /// Version of an unknown origin.
    pub(crate) const NONE: Version = Version { incarnation: 0, sequence: 0 };

    fn is_in_range(self) -> bool {
        self.incarnation.max(self.sequence) < MAX_NUMBER
    }
}

/// The known version of one origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OriginVersion {
    pub(crate) origin: RouterId,
    pub(crate) version: Version,
}

/// The versions of all origins that the sender knows in one bucket and one range of ids.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Summary {
    pub(crate) bucket: u8,
    /// First id of the range.
    pub(crate) first: RouterId,
    /// Last id of the range, inclusive.
    pub(crate) last: RouterId,
    pub(crate) versions: Vec<OriginVersion>,
}

/// One entry in a delta. An empty value means that the entry was withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DeltaEntry {
    pub(crate) kind: Kind,
    pub(crate) key: Key,
    pub(crate) sequence: u64,
    /// Time in µs since the origin published the entry, not counting time in transit.
    pub(crate) age: Micros,
    pub(crate) value: Vec<u8>,
}

/// The entries that one origin published after the sequence number `from`, up to and including `up_to`.
/// Entries that have been replaced since are left out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Delta {
    pub(crate) origin: RouterId,
    pub(crate) incarnation: u64,
    pub(crate) from: u64,
    pub(crate) up_to: u64,
    pub(crate) entries: Vec<DeltaEntry>,
}

impl Delta {
    /// Version of the origin after the delta has been applied.
    pub(crate) fn version(&self) -> Version {
        Version { incarnation: self.incarnation, sequence: self.up_to }
    }
}

/// A message between neighbours.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Message {
    /// Digests of all buckets of the sender; starts an exchange.
    Digest(Vec<u64>),
    /// Versions of origins in a bucket whose digest differs.
    Summary(Summary),
    /// Asks for the entries of these origins after these versions.
    Request(Vec<OriginVersion>),
    /// Entries that the receiver lacks.
    Delta(Delta),
}

fn encode(kind: u8, body: &impl Serialize) -> Vec<u8> {
    // Encoding integers and bytes into a `Vec` cannot fail.
    postcard::to_extend(body, vec![PROTOCOL_MARKER, kind]).unwrap_or_default()
}

/// Decodes a body; trailing bytes are an error.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    match postcard::take_from_bytes(bytes) {
        Ok((body, [])) => Ok(body),
        _ => Err(MessageError::Malformed),
    }
}

impl Message {
    pub(crate) fn write(&self) -> Vec<u8> {
        match self {
            Message::Digest(digests) => encode(KIND_DIGEST, digests),
            Message::Summary(summary) => encode(KIND_SUMMARY, summary),
            Message::Request(versions) => encode(KIND_REQUEST, versions),
            Message::Delta(delta) => encode(KIND_DELTA, delta),
        }
    }

    pub(crate) fn read(bytes: &[u8]) -> Result<Message, MessageError> {
        let [PROTOCOL_MARKER, kind, body @ ..] = bytes else { return Err(MessageError::Malformed) };
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::Malformed);
        }
        let message = match *kind {
            KIND_DIGEST => Message::Digest(decode(body)?),
            KIND_SUMMARY => Message::Summary(decode(body)?),
            KIND_REQUEST => Message::Request(decode(body)?),
            KIND_DELTA => Message::Delta(decode(body)?),
            _ => return Err(MessageError::Malformed),
        };
        message.validate()?;
        Ok(message)
    }

    /// Rejects messages that a correct router never sends, so that later code can rely on their contents.
    fn validate(&self) -> Result<(), MessageError> {
        if !self.is_well_formed() {
            return Err(MessageError::Malformed);
        }
        if !self.is_in_range() {
            return Err(MessageError::NumberOutOfRange);
        }
        Ok(())
    }

    fn is_well_formed(&self) -> bool {
        match self {
            Message::Digest(digests) => digests.len() == DIGEST_BUCKETS,
            Message::Summary(summary) => {
                let range = summary.first..=summary.last;
                let is_within = |known: &OriginVersion| range.contains(&known.origin);
                (summary.bucket as usize) < DIGEST_BUCKETS && summary.versions.iter().all(is_within)
            }
            Message::Request(_) => true,
            Message::Delta(delta) => delta.from <= delta.up_to && has_ascending_entries(delta),
        }
    }

    fn is_in_range(&self) -> bool {
        let all_in_range =
            |versions: &[OriginVersion]| versions.iter().all(|known| known.version.is_in_range());
        match self {
            Message::Digest(_) => true,
            Message::Summary(summary) => all_in_range(&summary.versions),
            Message::Request(versions) => all_in_range(versions),
            Message::Delta(delta) => delta.version().is_in_range(),
        }
    }
}

/// Whether the sequence numbers of a delta's entries ascend strictly within its bounds, and no value is too
/// long.
fn has_ascending_entries(delta: &Delta) -> bool {
    let mut previous = delta.from;
    delta.entries.iter().all(|entry| {
        let is_ascending = entry.sequence > previous && entry.sequence <= delta.up_to;
        previous = entry.sequence;
        is_ascending && entry.value.len() <= MAX_VALUE_BYTES
    })
}
