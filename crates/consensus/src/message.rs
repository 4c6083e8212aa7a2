//! Messages of the register: a tag, a kind, then the sender and the contents in postcard's format.
//!
//! A message is decoded as a whole before any of it counts. The order of the parts of each message is its
//! format between versions of the router.
use crate::{
    AcceptorError, AcceptorStorage, Ballot, KnownPromise, MAX_REPLICAS, Promise, Register, RegisterActions,
    RegisterState, Replica, ReplicaId, ReplicaRequests,
};
use applepond::interface::Micros;
use applepond_membership::{InstanceId, RouterId};
use miette::Diagnostic;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The first byte of each message here. Those of membership begin with a small number.
pub const PROTOCOL_TAG: u8 = 0xb2;

const PREPARE: u8 = 1;
const ACCEPT: u8 = 2;
const PROMISED: u8 = 3;
const ACCEPTED: u8 = 4;
const REJECTED: u8 = 5;
const ABSTAINED: u8 = 6;
const STATE_REQUEST: u8 = 7;
const STATE_RESPONSE: u8 = 8;

/// No version is higher: nobody gives it out.
const MAX_VERSION: u64 = 1 << 62;

/// A message that is not used. It changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("a message that ends early, goes on after its end or holds what no message holds")]
#[diagnostic(
    code(accord::unreadable),
    help("a router of another version, or a broken path: compare the versions of the routers")
)]
pub struct MalformedMessage;

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
        // Numbers and ids can always be written; the caller bounds the length of a message.
        if let Ok(bytes) = postcard::to_extend(&(self.sender, contents), vec![PROTOCOL_TAG, kind]) {
            self.messages.push((to, bytes));
        }
    }
}

impl<V: Serialize> ReplicaRequests<V> for MessageWriter {
    fn prepare(&mut self, to: RouterId, ballot: Ballot, known: Option<KnownPromise>) {
        self.write(to, PREPARE, &(ballot, known));
    }
    fn accept(
        &mut self,
        to: RouterId,
        ballot: Ballot,
        state: &RegisterState<V>,
        known: Option<KnownPromise>,
    ) {
        self.write(to, ACCEPT, &(ballot, state, known));
    }
}

impl<V: Serialize> RegisterActions<V> for MessageWriter {
    fn promised(&mut self, to: RouterId, disk: InstanceId, promise: &Promise<RegisterState<V>>) {
        let Promise { ballot, previous, accepted } = promise;
        self.write(to, PROMISED, &((ballot, previous), disk, accepted));
    }
    fn accepted(&mut self, to: RouterId, ballot: Ballot, disk: InstanceId) {
        self.write(to, ACCEPTED, &(ballot, disk));
    }
    fn rejected(&mut self, to: RouterId, ballot: Ballot, promised: Ballot) {
        self.write(to, REJECTED, &(ballot, promised));
    }
    fn abstained(&mut self, to: RouterId, ballot: Ballot, error: AcceptorError) {
        self.write(to, ABSTAINED, &(ballot, error as u8));
    }
    fn request_state(&mut self, to: RouterId, number: u64) {
        self.write(to, STATE_REQUEST, &number);
    }
    fn send_state(&mut self, to: RouterId, number: u64, state: &RegisterState<V>, remaining: Micros) {
        self.write(to, STATE_RESPONSE, &(number, state, remaining));
    }
}

/// Decodes the sender and the contents, with nothing after them.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(RouterId, T), MalformedMessage> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        _ => Err(MalformedMessage),
    }
}

/// Whether a message is for the acceptor of its receiver, and not for its register.
pub fn is_acceptor_request(message: &[u8]) -> bool {
    matches!(message, [PROTOCOL_TAG, PREPARE | ACCEPT, ..])
}

/// Hands a request to a replica, which answers by `actions`.
///
/// # Errors
/// The message cannot be decoded; nothing has changed.
pub fn handle_acceptor_request<V: Clone + Serialize + DeserializeOwned>(
    message: &[u8],
    replica: &mut Replica<V>,
    storage: &mut dyn AcceptorStorage<RegisterState<V>>,
    actions: &mut MessageWriter,
) -> Result<(), MalformedMessage> {
    let [PROTOCOL_TAG, kind, contents @ ..] = message else { return Err(MalformedMessage) };
    match *kind {
        PREPARE => {
            let (from, (ballot, known)) = decode(contents)?;
            replica.prepare(from, ballot, known, storage, actions);
        }
        ACCEPT => {
            let (from, (ballot, state, known)): (_, (_, RegisterState<V>, _)) = decode(contents)?;
            validate(&state)?;
            replica.accept(from, (ballot, state), known, storage, actions);
        }
        _ => return Err(MalformedMessage),
    }
    Ok(())
}

/// Hands a message to a register, which answers by `actions`. `remembered` is as in
/// [`Register::on_promised`].
///
/// # Errors
/// The message cannot be decoded; nothing has changed.
pub fn handle_register_message<V: Clone + Default + Serialize + DeserializeOwned>(
    message: &[u8],
    register: &mut Register<V>,
    now: Micros,
    remembered: &[(InstanceId, u64)],
    actions: &mut MessageWriter,
) -> Result<(), MalformedMessage> {
    let [PROTOCOL_TAG, kind, contents @ ..] = message else { return Err(MalformedMessage) };
    match *kind {
        PROMISED => {
            let (replica, promise) = decode_promise(contents)?;
            register.on_promised(now, replica, promise, remembered, actions);
        }
        ACCEPTED => {
            let (router, (ballot, disk)) = decode(contents)?;
            register.on_accepted(now, ReplicaId { router, disk }, ballot);
        }
        REJECTED => {
            let (_, (ballot, promised)) = decode(contents)?;
            register.on_rejected(now, ballot, promised);
        }
        ABSTAINED => {
            let (from, (ballot, _)): (_, (_, u8)) = decode(contents)?;
            register.on_abstained(from, ballot);
        }
        STATE_REQUEST => {
            let (from, number) = decode(contents)?;
            register.on_state_request(now, from, number, actions);
        }
        STATE_RESPONSE => {
            let (from, (number, state, remaining)) = decode(contents)?;
            validate(&state)?;
            register.on_state_response(now, from, number, state, remaining);
        }
        _ => return Err(MalformedMessage),
    }
    Ok(())
}

fn decode_promise<V: DeserializeOwned>(
    contents: &[u8],
) -> Result<(ReplicaId, Promise<RegisterState<V>>), MalformedMessage> {
    type Contents<V> = ((Ballot, Ballot), InstanceId, Option<(Ballot, RegisterState<V>)>);
    let (router, ((ballot, previous), disk, accepted)): (_, Contents<V>) = decode(contents)?;
    if let Some((_, state)) = &accepted {
        validate(state)?;
    }
    Ok((ReplicaId { router, disk }, Promise { ballot, previous, accepted }))
}

/// More replicas than there may be, or a version that nobody gives out, was never agreed on.
fn validate<V>(state: &RegisterState<V>) -> Result<(), MalformedMessage> {
    let is_bounded = |replicas: &[ReplicaId]| replicas.len() <= MAX_REPLICAS;
    let are_replicas_valid =
        is_bounded(&state.replicas) && is_bounded(&state.previous_replicas) && !state.replicas.is_empty();
    if are_replicas_valid && state.version < MAX_VERSION { Ok(()) } else { Err(MalformedMessage) }
}
