//! The quota service's wire messages: a protocol tag, a message kind, then the sender and the contents in
//! postcard encoding.
//!
//! A message is decoded completely before it takes effect. The order of its parts is the wire format, which
//! routers of different versions share.
use crate::{Amount, QuotaActions, QuotaService, Term};
use applepond::interface::Micros;
use applepond_consensus::{AcceptorStorage, Ballot, Promise};
use applepond_membership::{InstanceId, RouterId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt::{Display, Formatter};

/// The first byte of each quota message. Membership messages start with a small number instead.
pub const PROTOCOL_TAG: u8 = 0xb0;
/// The maximum number of budgets. The amounts of all of them have to fit into one message.
pub const MAX_BUDGETS: usize = 64;

const PREPARE: u8 = 1;
const ACCEPT: u8 = 2;
const PROMISED: u8 = 3;
const ACCEPTED: u8 = 4;
const REJECTED: u8 = 5;
const LEASE_REQUEST: u8 = 6;
const LEASE_GRANT: u8 = 7;
const REDIRECT: u8 = 8;

/// A lessee's request for new leases. The order of the fields is the message format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The requesting process.
    pub lessee: InstanceId,
    /// The digest of its settings, see [`ServiceConfig::digest`](crate::ServiceConfig::digest).
    pub settings_digest: u64,
    /// The number of the request. Numbers only increase.
    pub number: u64,
    /// The number of the request whose grant is in force.
    pub in_force: u64,
    /// The need of each budget.
    pub need: Vec<Amount>,
}

/// The response to a lease request. The order of the fields is the message format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The requesting process.
    pub lessee: InstanceId,
    /// The number of its request.
    pub number: u64,
    /// Its share of each budget, above its floor.
    pub extra: Vec<Amount>,
}

/// The error for a message that cannot be decoded. The message has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedMessage;

impl Display for MalformedMessage {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter
            .write_str("malformed message: truncated, followed by trailing bytes, or with invalid contents")
    }
}

impl std::error::Error for MalformedMessage {}

/// Encodes actions as messages of this router.
pub struct MessageWriter {
    sender: RouterId,
    /// The encoded messages, each with its receiver.
    pub messages: Vec<(RouterId, Vec<u8>)>,
}

impl MessageWriter {
    /// Creates a writer without messages.
    pub fn new(sender: RouterId) -> Self {
        MessageWriter { sender, messages: Vec::new() }
    }

    fn write(&mut self, to: RouterId, kind: u8, contents: &impl Serialize) {
        // Encoding cannot fail for these types.
        if let Ok(bytes) = postcard::to_extend(&(self.sender, contents), vec![PROTOCOL_TAG, kind]) {
            self.messages.push((to, bytes));
        }
    }
}

impl QuotaActions for MessageWriter {
    fn prepare(&mut self, to: RouterId, ballot: Ballot) {
        self.write(to, PREPARE, &ballot);
    }
    fn accept(&mut self, to: RouterId, ballot: Ballot, term: &Term) {
        self.write(to, ACCEPT, &(ballot, term));
    }
    fn promised(&mut self, to: RouterId, promise: &Promise<Term>) {
        let Promise { ballot, previous, accepted } = promise;
        self.write(to, PROMISED, &(ballot, previous, accepted));
    }
    fn accepted(&mut self, to: RouterId, ballot: Ballot) {
        self.write(to, ACCEPTED, &ballot);
    }
    fn rejected(&mut self, to: RouterId, ballot: Ballot, promised: Ballot) {
        self.write(to, REJECTED, &(ballot, promised));
    }
    fn request_leases(&mut self, to: RouterId, request: &LeaseRequest) {
        self.write(to, LEASE_REQUEST, request);
    }
    fn grant_leases(&mut self, to: RouterId, grant: &LeaseGrant) {
        self.write(to, LEASE_GRANT, grant);
    }
    fn redirect(&mut self, to: RouterId, allocator: RouterId) {
        self.write(to, REDIRECT, &allocator);
    }
}

/// Decodes the sender and the contents, and rejects trailing bytes.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(RouterId, T), MalformedMessage> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        _ => Err(MalformedMessage),
    }
}

/// Decodes a message and passes it to the service, which responds through `actions`. The caller has verified
/// that the message is from the same fleet.
///
/// # Errors
/// The message is malformed; nothing has changed.
pub fn handle_message(
    message: &[u8],
    now: Micros,
    service: &mut QuotaService,
    storage: &mut dyn AcceptorStorage<Term>,
    is_alive: &dyn Fn(RouterId) -> bool,
    actions: &mut dyn QuotaActions,
) -> Result<(), MalformedMessage> {
    let [PROTOCOL_TAG, kind, contents @ ..] = message else { return Err(MalformedMessage) };
    match *kind {
        PREPARE => {
            let (from, ballot) = decode(contents)?;
            service.on_prepare(from, ballot, storage, actions);
        }
        ACCEPT => {
            let (from, proposal): (_, (Ballot, Term)) = decode(contents)?;
            service.on_accept(now, from, proposal, storage, actions);
        }
        PROMISED => {
            let (from, (ballot, previous, accepted)) = decode(contents)?;
            let promise = Promise { ballot, previous, accepted };
            service.on_promised(now, from, promise, is_alive, actions);
        }
        ACCEPTED => {
            let (from, ballot) = decode(contents)?;
            service.on_accepted(now, from, ballot);
        }
        REJECTED => {
            let (_, (ballot, promised)) = decode(contents)?;
            service.on_rejected(now, ballot, promised);
        }
        _ => handle_lease_message(*kind, contents, now, service, is_alive, actions)?,
    }
    Ok(())
}

fn handle_lease_message(
    kind: u8,
    contents: &[u8],
    now: Micros,
    service: &mut QuotaService,
    is_alive: &dyn Fn(RouterId) -> bool,
    actions: &mut dyn QuotaActions,
) -> Result<(), MalformedMessage> {
    match kind {
        LEASE_REQUEST => {
            let (from, request) = decode(contents)?;
            service.on_lease_request(now, from, &request, actions);
        }
        LEASE_GRANT => {
            let (from, grant) = decode(contents)?;
            service.on_grant(now, from, &grant);
        }
        REDIRECT => {
            let (_, allocator) = decode(contents)?;
            service.on_redirect(now, allocator, is_alive);
        }
        _ => return Err(MalformedMessage),
    }
    Ok(())
}
