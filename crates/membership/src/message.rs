//! Messages between routers: a head, what the kind needs, then news until the end. Integers and texts as
//! postcard writes them. A message is read whole before any of it counts.
use crate::{InstanceId, Record, RouterId};
use applepond::interface::Micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes of a message at most: with its envelope it stays under 1,200, which every path carries whole.
pub const MAX_MESSAGE_BYTES: usize = 1_140;
/// Parts of the view that are compared by themselves.
pub const DIGEST_BUCKETS: usize = 32;

/// Who writes; a copy of what it says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    pub from: RouterId,
    pub instance_id: InstanceId,
    pub incarnation: u64,
    pub address: SocketAddr,
}

/// What a voter says of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Opinion {
    /// The voter hears it again.
    Withdrawn,
    /// Neither the voter nor those it asked hear it.
    Suspected,
    /// The voter has concluded from several votes that it is gone.
    Dead,
}

/// One router's word on another's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    pub subject: RouterId,
    pub instance_id: InstanceId,
    pub incarnation: u64,
    pub voter: RouterId,
    /// Later words of a voter carry higher ones.
    pub sequence: u64,
    pub says: Opinion,
}

/// Why a message is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// It ends early, goes on after its end, or holds what no message holds.
    Malformed,
    /// A name or a zone is empty, too long or of other characters than are printed.
    Name,
}

/// What a message says, call by call, after it was found to be whole.
pub trait MessageHandler {
    /// `heard`: µs since the writer last heard the reader, where it has; `view`: its view as one number.
    fn heartbeat(&mut self, head: &Header, heard: Option<Micros>, view: u64);
    /// Does the reader hear this one?
    fn ping_request(&mut self, head: &Header, whom: RouterId);
    fn ping(&mut self, head: &Header, asker: RouterId);
    fn ack(&mut self, head: &Header, asker: RouterId);
    fn indirect_ack(&mut self, head: &Header, whom: RouterId, instance_id: InstanceId);
    /// The writer's view by parts: those that differ are wanted.
    fn sync_request(&mut self, head: &Header, view: &[u32; DIGEST_BUCKETS]);
    /// The reader's name is another's.
    fn name_conflict(&mut self, head: &Header, instance_id: InstanceId, holder: SocketAddr);
    /// Somebody else wanted the reader's name.
    fn name_contested(&mut self, head: &Header, by: SocketAddr);
    fn record(&mut self, head: &Header, record: Record);
    fn suspicion(&mut self, head: &Header, word: Suspicion);
}

const KIND_HEARTBEAT: u8 = 0;
const KIND_PING_REQUEST: u8 = 1;
const KIND_PING: u8 = 2;
const KIND_ACK: u8 = 3;
const KIND_INDIRECT_ACK: u8 = 4;
const KIND_SYNC_REQUEST: u8 = 5;
const KIND_UPDATES: u8 = 6;
const KIND_NAME_CONFLICT: u8 = 7;
const KIND_NAME_CONTESTED: u8 = 8;
/// Tags of what follows the kind's own part.
const TAG_RECORD: u8 = 20;
const TAG_SUSPICION: u8 = 21;

/// A message as it grows.
pub struct Message(Vec<u8>);

impl Message {
    fn begin(kind: u8, head: &Header, of: &impl Serialize) -> Self {
        let mut message = Message(Vec::with_capacity(256));
        let fits = message.put(kind, &(head, of));
        debug_assert!(fits, "no kind's own part fills a message");
        message
    }
    pub fn heartbeat(head: &Header, heard: Option<Micros>, view: u64) -> Self {
        Self::begin(KIND_HEARTBEAT, head, &(heard, view))
    }
    pub fn ping_request(head: &Header, whom: RouterId) -> Self {
        Self::begin(KIND_PING_REQUEST, head, &whom)
    }
    pub fn ping(head: &Header, asker: RouterId) -> Self {
        Self::begin(KIND_PING, head, &asker)
    }
    pub fn ack(head: &Header, asker: RouterId) -> Self {
        Self::begin(KIND_ACK, head, &asker)
    }
    pub fn indirect_ack(head: &Header, whom: RouterId, instance_id: InstanceId) -> Self {
        Self::begin(KIND_INDIRECT_ACK, head, &(whom, instance_id))
    }
    pub fn sync_request(head: &Header, view: &[u32; DIGEST_BUCKETS]) -> Self {
        Self::begin(KIND_SYNC_REQUEST, head, view)
    }
    pub fn updates(head: &Header) -> Self {
        Self::begin(KIND_UPDATES, head, &())
    }
    pub fn name_conflict(head: &Header, instance_id: InstanceId, holder: SocketAddr) -> Self {
        Self::begin(KIND_NAME_CONFLICT, head, &(instance_id, holder))
    }
    pub fn name_contested(head: &Header, by: SocketAddr) -> Self {
        Self::begin(KIND_NAME_CONTESTED, head, &by)
    }

    /// Adds a tagged part; false, and nothing added, where there is no room left.
    fn put(&mut self, tag: u8, part: &impl Serialize) -> bool {
        let Ok(bytes) = postcard::to_allocvec(part) else { return false };
        let fits = self.0.len() + 1 + bytes.len() <= MAX_MESSAGE_BYTES;
        if fits {
            self.0.push(tag);
            self.0.extend_from_slice(&bytes);
        }
        fits
    }
    pub fn record(&mut self, record: &Record) -> bool {
        self.put(TAG_RECORD, record)
    }
    pub fn suspicion(&mut self, word: &Suspicion) -> bool {
        self.put(TAG_SUSPICION, word)
    }
    /// Adds what another message holds after its own part.
    pub fn append(&mut self, tail: &[u8]) -> bool {
        let fits = self.0.len() + tail.len() <= MAX_MESSAGE_BYTES;
        if fits {
            self.0.extend_from_slice(tail);
        }
        fits
    }
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Takes one part off the front.
fn take<T: DeserializeOwned>(bytes: &mut &[u8]) -> Result<T, MessageError> {
    let (part, rest) = postcard::take_from_bytes(bytes).map_err(|_| MessageError::Malformed)?;
    *bytes = rest;
    Ok(part)
}

/// What a name or a zone looks like.
pub fn is_valid_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= crate::MAX_NAME_BYTES && text.bytes().all(|b| b.is_ascii_graphic())
}

/// Reads a message to its end; nothing is said unless all of it can be read.
pub fn read(bytes: &[u8], words: &mut dyn MessageHandler) -> Result<(), MessageError> {
    let mut rest = bytes;
    let kind: u8 = take(&mut rest)?;
    let head: Header = take(&mut rest)?;
    let own = rest;
    pass(kind, &head, own, None)?;
    pass(kind, &head, own, Some(words))
}

fn pass(
    kind: u8,
    head: &Header,
    own: &[u8],
    mut words: Option<&mut dyn MessageHandler>,
) -> Result<(), MessageError> {
    let mut rest = own;
    macro_rules! say {
        ($word:ident, $($part:expr),+) => {
            if let Some(words) = words.as_mut() {
                words.$word(head, $($part),+);
            }
        };
    }
    // News first: what the kind's own part leads to rests on them.
    let mut after = own;
    match kind {
        KIND_HEARTBEAT => _ = take::<(Option<Micros>, u64)>(&mut after)?,
        KIND_PING_REQUEST | KIND_PING | KIND_ACK => _ = take::<RouterId>(&mut after)?,
        KIND_INDIRECT_ACK => _ = take::<(RouterId, InstanceId)>(&mut after)?,
        KIND_SYNC_REQUEST => _ = take::<[u32; DIGEST_BUCKETS]>(&mut after)?,
        KIND_UPDATES => {}
        KIND_NAME_CONFLICT => _ = take::<(InstanceId, SocketAddr)>(&mut after)?,
        KIND_NAME_CONTESTED => _ = take::<SocketAddr>(&mut after)?,
        _ => return Err(MessageError::Malformed),
    }
    while !after.is_empty() {
        match take::<u8>(&mut after)? {
            TAG_RECORD => {
                let record: Record = take(&mut after)?;
                if !is_valid_name(&record.name) || !is_valid_name(&record.zone) {
                    return Err(MessageError::Name);
                }
                say!(record, record);
            }
            TAG_SUSPICION => {
                let word: Suspicion = take(&mut after)?;
                say!(suspicion, word);
            }
            _ => return Err(MessageError::Malformed),
        }
    }
    match kind {
        KIND_HEARTBEAT => {
            let (heard, view) = take(&mut rest)?;
            say!(heartbeat, heard, view);
        }
        KIND_PING_REQUEST => say!(ping_request, take(&mut rest)?),
        KIND_PING => say!(ping, take(&mut rest)?),
        KIND_ACK => say!(ack, take(&mut rest)?),
        KIND_INDIRECT_ACK => {
            let (whom, instance_id) = take(&mut rest)?;
            say!(indirect_ack, whom, instance_id);
        }
        KIND_SYNC_REQUEST => say!(sync_request, &take(&mut rest)?),
        KIND_NAME_CONFLICT => {
            let (instance_id, holder) = take(&mut rest)?;
            say!(name_conflict, instance_id, holder);
        }
        KIND_NAME_CONTESTED => say!(name_contested, take(&mut rest)?),
        _ => {}
    }
    Ok(())
}
