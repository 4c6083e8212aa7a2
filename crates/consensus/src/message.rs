//! The register's wire messages: a protocol tag, a message kind, then the sender and the contents in
//! postcard encoding.
//!
//! A message is decoded completely before it takes effect. The order of its parts is the wire format, which
//! routers of different versions share.
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

/// The first byte of each register message. Membership messages start with a small number instead.
pub const PROTOCOL_TAG: u8 = 0xb2;

const PREPARE: u8 = 1;
const ACCEPT: u8 = 2;
const PROMISED: u8 = 3;
const ACCEPTED: u8 = 4;
const REJECTED: u8 = 5;
const ABSTAINED: u8 = 6;
const STATE_REQUEST: u8 = 7;
const STATE_RESPONSE: u8 = 8;

/// The exclusive upper bound of valid versions.
const MAX_VERSION: u64 = 1 << 62;

/// The error for a message that cannot be decoded or is invalid. The message has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("malformed message: truncated, followed by trailing bytes, or with invalid contents")]
#[diagnostic(
    code(accord::unreadable),
    help(
        "a router runs another version, or the network path corrupts messages: compare the versions of the \
         routers"
    )
)]
pub struct MalformedMessage;

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
        // Encoding cannot fail for these types; the caller bounds the message length.
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

/// Decodes the sender and the contents, and rejects trailing bytes.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(RouterId, T), MalformedMessage> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        _ => Err(MalformedMessage),
    }
}

/// Whether a message is for the receiver's acceptor rather than its register.
pub fn is_acceptor_request(message: &[u8]) -> bool {
    matches!(message, [PROTOCOL_TAG, PREPARE | ACCEPT, ..])
}

/// Decodes a request and passes it to a replica, which responds through `actions`.
///
/// # Errors
/// The message is malformed; nothing has changed.
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

/// Decodes a message and passes it to a register, which responds through `actions`. For `remembered` see
/// [`Register::on_promised`].
///
/// # Errors
/// The message is malformed; nothing has changed.
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

/// Rejects states that cannot have been committed: no replicas, too many, or a version out of range.
fn validate<V>(state: &RegisterState<V>) -> Result<(), MalformedMessage> {
    let is_bounded = |replicas: &[ReplicaId]| replicas.len() <= MAX_REPLICAS;
    let are_replicas_valid =
        is_bounded(&state.replicas) && is_bounded(&state.previous_replicas) && !state.replicas.is_empty();
    if are_replicas_valid && state.version < MAX_VERSION { Ok(()) } else { Err(MalformedMessage) }
}
