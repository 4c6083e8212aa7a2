//! Messages between routers and their encoding.
//!
//! A message consists of a kind byte, the sender's [`Header`], a body that depends on the kind, and any
//! number of tagged updates. All parts are encoded with postcard, so the order of fields and variants is part
//! of the wire format. A message is decoded completely before any part of it takes effect.
use crate::config::MAX_NAME_BYTES;
use crate::record::{InstanceId, Record, RouterId};
use applepond::interface::Micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Maximum size of a message in bytes: with its envelope it stays below 1,200 bytes, which pass every network
/// path unfragmented.
pub const MAX_MESSAGE_BYTES: usize = 1_140;

/// Number of buckets, each with its own digest, into which members are divided to compare views.
pub const DIGEST_BUCKETS: usize = 32;

/// Identity of a message's sender, copied from its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Id of the sender.
    pub from: RouterId,
    /// Id of the sender's process.
    pub instance_id: InstanceId,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Address at which the sender receives messages.
    pub address: SocketAddr,
}

/// A voter's opinion about a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Opinion {
    /// The voter hears the router again and withdraws its vote.
    Withdrawn,
    /// Neither the voter nor the routers it asked to probe hear the router.
    Suspected,
    /// The voter has concluded from a quorum of votes that the router is dead.
    Dead,
}

/// One router's vote on one incarnation of another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The router that the vote is about.
    pub subject: RouterId,
    /// Id of the subject's process.
    pub instance_id: InstanceId,
    /// The subject's incarnation.
    pub incarnation: u64,
    /// The router that casts the vote.
    pub voter: RouterId,
    /// Sequence number; later votes of the same voter have higher numbers.
    pub sequence: u64,
    /// The voter's opinion about the subject.
    pub opinion: Opinion,
}

/// Why a message is rejected. A rejected message has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// The message is truncated, has trailing bytes or has invalid contents. The sender runs another version
    /// or the network path corrupts messages: compare the versions of the routers.
    Malformed,
    /// The name of a router or a zone in it is empty, too long or not printable ASCII.
    InvalidName,
}

impl fmt::Display for MessageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            MessageError::Malformed => "the message is malformed: compare the versions of the routers",
            MessageError::InvalidName => "the message contains an invalid name of a router or a zone",
        })
    }
}

impl std::error::Error for MessageError {}

/// Receives the contents of a message after it has been decoded completely: first the updates, then the body.
pub trait MessageHandler {
    /// A heartbeat. `since_last_receipt` is the time in µs since the sender last heard the receiver, if it
    /// ever did; `view` is the digest of the sender's view.
    fn heartbeat(&mut self, header: &Header, since_last_receipt: Option<Micros>, view: u64);
    /// The sender asks the receiver to probe `target` on its behalf.
    fn ping_request(&mut self, header: &Header, target: RouterId);
    /// The sender asks for an acknowledgement, on behalf of `requester`.
    fn ping(&mut self, header: &Header, requester: RouterId);
    /// The sender answers a ping that was sent on behalf of `requester`.
    fn ack(&mut self, header: &Header, requester: RouterId);
    /// The sender has received an acknowledgement from the process `instance_id` of `target`.
    fn indirect_ack(&mut self, header: &Header, target: RouterId, instance_id: InstanceId);
    /// The sender asks for the records of all buckets whose digest differs from its own in `view`.
    fn sync_request(&mut self, header: &Header, view: &[u32; DIGEST_BUCKETS]);
    /// The name of the receiver's process `instance_id` is held by another process, at `holder`.
    fn name_conflict(&mut self, header: &Header, instance_id: InstanceId, holder: SocketAddr);
    /// The process at `claimant` asked for the receiver's name.
    fn name_contested(&mut self, header: &Header, claimant: SocketAddr);
    /// A record of a router.
    fn record(&mut self, header: &Header, record: Record);
    /// A vote of one router on another.
    fn suspicion(&mut self, header: &Header, suspicion: Suspicion);
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
/// Tags of the updates that follow the body.
const TAG_RECORD: u8 = 20;
const TAG_SUSPICION: u8 = 21;

/// A message under construction.
pub struct Message(Vec<u8>);

impl Message {
    fn begin(kind: u8, header: &Header, body: &impl Serialize) -> Self {
        let mut message = Message(Vec::with_capacity(256));
        let fits = message.push(kind, &(header, body));
        debug_assert!(fits, "header and body must fit into an empty message");
        message
    }

    /// A heartbeat, see [`MessageHandler::heartbeat`].
    pub fn heartbeat(header: &Header, since_last_receipt: Option<Micros>, view: u64) -> Self {
        Self::begin(KIND_HEARTBEAT, header, &(since_last_receipt, view))
    }

    /// A request to probe `target`.
    pub fn ping_request(header: &Header, target: RouterId) -> Self {
        Self::begin(KIND_PING_REQUEST, header, &target)
    }

    /// A ping on behalf of `requester`.
    pub fn ping(header: &Header, requester: RouterId) -> Self {
        Self::begin(KIND_PING, header, &requester)
    }

    /// The answer to a ping.
    pub fn ack(header: &Header, requester: RouterId) -> Self {
        Self::begin(KIND_ACK, header, &requester)
    }

    /// Confirms to a requester that the process `instance_id` of `target` has answered.
    pub fn indirect_ack(header: &Header, target: RouterId, instance_id: InstanceId) -> Self {
        Self::begin(KIND_INDIRECT_ACK, header, &(target, instance_id))
    }

    /// Asks for the records of all buckets whose digest differs from that in `view`.
    pub fn sync_request(header: &Header, view: &[u32; DIGEST_BUCKETS]) -> Self {
        Self::begin(KIND_SYNC_REQUEST, header, view)
    }

    /// A message that carries only updates.
    pub fn updates(header: &Header) -> Self {
        Self::begin(KIND_UPDATES, header, &())
    }

    /// Tells a process that its name is held by the process at `holder`.
    pub fn name_conflict(header: &Header, instance_id: InstanceId, holder: SocketAddr) -> Self {
        Self::begin(KIND_NAME_CONFLICT, header, &(instance_id, holder))
    }

    /// Tells the holder of a name that the process at `claimant` asked for it.
    pub fn name_contested(header: &Header, claimant: SocketAddr) -> Self {
        Self::begin(KIND_NAME_CONTESTED, header, &claimant)
    }

    /// Appends a tagged part. Returns false, and appends nothing, if it does not fit.
    fn push(&mut self, tag: u8, part: &impl Serialize) -> bool {
        let Ok(bytes) = postcard::to_allocvec(part) else { return false };
        let fits = self.0.len() + 1 + bytes.len() <= MAX_MESSAGE_BYTES;
        if fits {
            self.0.push(tag);
            self.0.extend_from_slice(&bytes);
        }
        fits
    }

    /// Appends a record. Returns false, and appends nothing, if it does not fit.
    pub fn record(&mut self, record: &Record) -> bool {
        self.push(TAG_RECORD, record)
    }

    /// Appends a vote. Returns false, and appends nothing, if it does not fit.
    pub fn suspicion(&mut self, suspicion: &Suspicion) -> bool {
        self.push(TAG_SUSPICION, suspicion)
    }

    /// Appends encoded updates of another message. Returns false, and appends nothing, if they do not fit.
    pub fn append(&mut self, updates: &[u8]) -> bool {
        let fits = self.0.len() + updates.len() <= MAX_MESSAGE_BYTES;
        if fits {
            self.0.extend_from_slice(updates);
        }
        fits
    }

    /// The encoded message.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Whether a text is a valid name of a router or a zone: 1 to [`MAX_NAME_BYTES`] printable ASCII characters
/// other than spaces.
pub fn is_valid_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// The decoded body of a message.
enum Body {
    Heartbeat { since_last_receipt: Option<Micros>, view: u64 },
    PingRequest(RouterId),
    Ping(RouterId),
    Ack(RouterId),
    IndirectAck { target: RouterId, instance_id: InstanceId },
    SyncRequest([u32; DIGEST_BUCKETS]),
    Updates,
    NameConflict { instance_id: InstanceId, holder: SocketAddr },
    NameContested { claimant: SocketAddr },
}

/// One decoded update. The updates of a message follow its body.
enum Update {
    Record(Record),
    Suspicion(Suspicion),
}

/// Decodes a message and passes its contents to the handler.
///
/// # Errors
///
/// If any part of the message is malformed or contains an invalid name. The handler is not called then.
pub fn read(bytes: &[u8], handler: &mut dyn MessageHandler) -> Result<(), MessageError> {
    let mut remaining = bytes;
    let kind: u8 = take(&mut remaining)?;
    let header: Header = take(&mut remaining)?;
    let body = decode_body(kind, &mut remaining)?;
    let mut updates = Vec::new();
    while !remaining.is_empty() {
        updates.push(decode_update(&mut remaining)?);
    }
    // Updates first, because the effects of the body depend on them.
    for update in updates {
        match update {
            Update::Record(record) => handler.record(&header, record),
            Update::Suspicion(suspicion) => handler.suspicion(&header, suspicion),
        }
    }
    deliver(&header, &body, handler);
    Ok(())
}

/// Decodes one part from the front of the remaining bytes.
fn take<T: DeserializeOwned>(bytes: &mut &[u8]) -> Result<T, MessageError> {
    let (part, remaining) = postcard::take_from_bytes(bytes).map_err(|_| MessageError::Malformed)?;
    *bytes = remaining;
    Ok(part)
}

fn decode_body(kind: u8, remaining: &mut &[u8]) -> Result<Body, MessageError> {
    Ok(match kind {
        KIND_HEARTBEAT => Body::Heartbeat { since_last_receipt: take(remaining)?, view: take(remaining)? },
        KIND_PING_REQUEST => Body::PingRequest(take(remaining)?),
        KIND_PING => Body::Ping(take(remaining)?),
        KIND_ACK => Body::Ack(take(remaining)?),
        KIND_INDIRECT_ACK => Body::IndirectAck { target: take(remaining)?, instance_id: take(remaining)? },
        KIND_SYNC_REQUEST => Body::SyncRequest(take(remaining)?),
        KIND_UPDATES => Body::Updates,
        KIND_NAME_CONFLICT => Body::NameConflict { instance_id: take(remaining)?, holder: take(remaining)? },
        KIND_NAME_CONTESTED => Body::NameContested { claimant: take(remaining)? },
        _ => return Err(MessageError::Malformed),
    })
}

fn decode_update(remaining: &mut &[u8]) -> Result<Update, MessageError> {
    match take::<u8>(remaining)? {
        TAG_RECORD => {
            let record: Record = take(remaining)?;
            if !is_valid_name(&record.name) || !is_valid_name(&record.zone) {
                return Err(MessageError::InvalidName);
            }
            Ok(Update::Record(record))
        }
        TAG_SUSPICION => Ok(Update::Suspicion(take(remaining)?)),
        _ => Err(MessageError::Malformed),
    }
}

fn deliver(header: &Header, body: &Body, handler: &mut dyn MessageHandler) {
    match body {
        Body::Heartbeat { since_last_receipt, view } => handler.heartbeat(header, *since_last_receipt, *view),
        Body::PingRequest(target) => handler.ping_request(header, *target),
        Body::Ping(requester) => handler.ping(header, *requester),
        Body::Ack(requester) => handler.ack(header, *requester),
        Body::IndirectAck { target, instance_id } => handler.indirect_ack(header, *target, *instance_id),
        Body::SyncRequest(view) => handler.sync_request(header, view),
        Body::Updates => {}
        Body::NameConflict { instance_id, holder } => handler.name_conflict(header, *instance_id, *holder),
        Body::NameContested { claimant } => handler.name_contested(header, *claimant),
    }
}
