//! Messages between neighbours: a mark, a kind, then what it says, as postcard writes it. A message is read
//! whole before any of it counts.
use crate::fault::MessageError;
use crate::*;
use applepond_membership::RouterId;
use serde::de::DeserializeOwned;

/// First byte of each message here; those of `members` begin with a small number.
pub const PROTOCOL_MARKER: u8 = 0xb1;

const COMPARES: u8 = 1;
const HOLDS: u8 = 2;
const WANTS: u8 = 3;
const TELLS: u8 = 4;

/// How much of an origin's words is held: all of this incarnation up to this version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Held {
    pub origin: RouterId,
    pub incarnation: u64,
    pub upto: u64,
}

/// All that the writer holds of a part, from one origin to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holds {
    pub part: u8,
    pub first: RouterId,
    pub last: RouterId,
    pub held: Vec<Held>,
}

/// One entry on its way; an empty value was withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    pub kind: Kind,
    pub key: Key,
    pub version: u64,
    /// µs since its origin wrote it, as far as is known.
    pub age: Micros,
    pub value: Vec<u8>,
}

/// All that one origin has to say after `from` up to `upto`; what it wrote over is left out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tells {
    pub origin: RouterId,
    pub incarnation: u64,
    pub from: u64,
    pub upto: u64,
    pub lines: Vec<Line>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    Compares(Vec<u64>),
    Holds(Holds),
    Wants(Vec<Held>),
    Tells(Tells),
}

fn put(kind: u8, what: &impl Serialize) -> Vec<u8> {
    // Numbers and bytes always can be written.
    postcard::to_extend(what, vec![PROTOCOL_MARKER, kind]).unwrap_or_default()
}

fn whole<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    match postcard::take_from_bytes(bytes) {
        Ok((read, [])) => Ok(read),
        _ => Err(MessageError::Malformed),
    }
}

impl Message {
    pub fn write(&self) -> Vec<u8> {
        match self {
            Message::Compares(parts) => put(COMPARES, parts),
            Message::Holds(holds) => put(HOLDS, holds),
            Message::Wants(held) => put(WANTS, held),
            Message::Tells(tells) => put(TELLS, tells),
        }
    }

    pub fn read(bytes: &[u8]) -> Result<Message, MessageError> {
        let [PROTOCOL_MARKER, kind, rest @ ..] = bytes else { return Err(MessageError::Malformed) };
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::Malformed);
        }
        let message = match *kind {
            COMPARES => Message::Compares(whole(rest)?),
            HOLDS => Message::Holds(whole(rest)?),
            WANTS => Message::Wants(whole(rest)?),
            TELLS => Message::Tells(whole(rest)?),
            _ => return Err(MessageError::Malformed),
        };
        message.sound()?;
        Ok(message)
    }

    /// What no honest router writes is not taken, so that nothing behind it has to ask.
    fn sound(&self) -> Result<(), MessageError> {
        let low = |held: &[Held]| held.iter().all(|h| h.incarnation.max(h.upto) < MAX_NUMBER);
        let (formed, low) = match self {
            Message::Compares(parts) => (parts.len() == DIGEST_BUCKETS, true),
            Message::Holds(holds) => {
                let within = |h: &Held| (holds.first..=holds.last).contains(&h.origin);
                ((holds.part as usize) < DIGEST_BUCKETS && holds.held.iter().all(within), low(&holds.held))
            }
            Message::Wants(held) => (true, low(held)),
            Message::Tells(tells) => {
                let mut last = tells.from;
                let mut rising = |l: &Line| {
                    let rises =
                        l.version > last && l.version <= tells.upto && l.value.len() <= MAX_VALUE_BYTES;
                    last = l.version;
                    rises
                };
                let formed = tells.from <= tells.upto && tells.lines.iter().all(&mut rising);
                (formed, tells.incarnation.max(tells.upto) < MAX_NUMBER)
            }
        };
        match (formed, low) {
            (false, _) => Err(MessageError::Malformed),
            (_, false) => Err(MessageError::NumberOutOfRange),
            _ => Ok(()),
        }
    }
}
