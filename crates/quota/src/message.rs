//! Messages of the quota service: a tag, a kind, then the sender and the contents in postcard's format.
//!
//! A message is decoded as a whole before any of it counts. The order of the parts of each message is its
//! format between versions of the router.
use crate::{Amount, QuotaActions, QuotaService, Term};
use applepond::interface::Micros;
use applepond_consensus::{AcceptorStorage, Ballot, Promise};
use applepond_membership::{InstanceId, RouterId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt::{Display, Formatter};

/// The first byte of each message here. Those of membership begin with a small number.
pub const PROTOCOL_TAG: u8 = 0xb0;
/// The most budgets: what is said of all of them has to fit into one message.
pub const MAX_BUDGETS: usize = 64;

const PREPARE: u8 = 1;
const ACCEPT: u8 = 2;
const PROMISED: u8 = 3;
const ACCEPTED: u8 = 4;
const REJECTED: u8 = 5;
const LEASE_REQUEST: u8 = 6;
const LEASE_GRANT: u8 = 7;
const REDIRECT: u8 = 8;

/// A lessee's request for the next leases. The order of the fields is the format of the message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The process that asks.
    pub lessee: InstanceId,
    /// Its settings, as [`ServiceConfig::digest`](crate::ServiceConfig::digest) has them.
    pub settings_digest: u64,
    /// The number of the request, which only rises.
    pub number: u64,
    /// The number of the request whose answer is in force.
    pub in_force: u64,
    /// The need of each budget.
    pub need: Vec<Amount>,
}

/// The answer to a request for leases. The order of the fields is the format of the message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The process that asked.
    pub lessee: InstanceId,
    /// The number of its request.
    pub number: u64,
    /// Its share of each budget, above its floor.
    pub extra: Vec<Amount>,
}

/// A message that is not used. It changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedMessage;

impl Display for MalformedMessage {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("a message that ends early, goes on after its end or holds what no message holds")
    }
}

impl std::error::Error for MalformedMessage {}

/// Actions as messages of this router.
pub struct MessageWriter {
    sender: RouterId,
    /// The messages so far, each with its receiver.
    pub messages: Vec<(RouterId, Vec<u8>)>,
}

impl MessageWriter {
    /// A writer without messages.
    pub fn new(sender: RouterId) -> Self {
        MessageWriter { sender, messages: Vec::new() }
    }

    fn write(&mut self, to: RouterId, kind: u8, contents: &impl Serialize) {
        // Numbers and ids can always be written.
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

/// Decodes the sender and the contents, with nothing after them.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(RouterId, T), MalformedMessage> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        _ => Err(MalformedMessage),
    }
}

/// Hands a message to the service, which answers by `actions`. The message has to be known to be of its
/// fleet.
///
/// # Errors
/// The message cannot be decoded; nothing has changed.
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
