//! Messages of registers: a mark, a kind, then what it says, as postcard writes it. A message is read whole
//! before any of it counts.
use crate::*;
use applepond_membership::RouterId;
use miette::Diagnostic;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// First byte of each message here; those of `members` begin with a small number.
pub const PROTOCOL_TAG: u8 = 0xb2;

const PROMISE: u8 = 1;
const ACCEPT: u8 = 2;
const PROMISED: u8 = 3;
const ACCEPTED: u8 = 4;
const REFUSED: u8 = 5;
const DOUBTS: u8 = 6;
const ASK: u8 = 7;
const COPY: u8 = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("a message that ends early, goes on after its end or holds what no message holds")]
#[diagnostic(
    code(accord::unreadable),
    help("a router of another version, or a broken path: compare the versions of the routers")
)]
pub struct MalformedMessage;

/// RegisterActions as messages of this router, each with whom it is for.
pub struct MessageWriter {
    pub sender: RouterId,
    pub messages: Vec<(RouterId, Vec<u8>)>,
}

impl MessageWriter {
    pub fn new(sender: RouterId) -> Self {
        MessageWriter { sender, messages: Vec::new() }
    }

    fn put(&mut self, to: RouterId, kind: u8, parts: &impl Serialize) {
        // Numbers and ids always can be written; what is longer than a message is the caller's to bound.
        if let Ok(bytes) = postcard::to_extend(&(self.sender, parts), vec![PROTOCOL_TAG, kind]) {
            self.messages.push((to, bytes));
        }
    }
}

impl<V: Serialize> ReplicaRequests<V> for MessageWriter {
    fn prepare(&mut self, to: RouterId, ballot: Ballot, word: Option<(InstanceId, Ballot)>) {
        self.put(to, PROMISE, &(ballot, word));
    }
    fn accept(
        &mut self,
        to: RouterId,
        ballot: Ballot,
        agreed: &RegisterState<V>,
        word: Option<(InstanceId, Ballot)>,
    ) {
        self.put(to, ACCEPT, &(ballot, agreed, word));
    }
}

impl<V: Serialize> RegisterActions<V> for MessageWriter {
    fn promised(
        &mut self,
        to: RouterId,
        ballots: (Ballot, Ballot),
        disk: InstanceId,
        accepted: Option<&(Ballot, RegisterState<V>)>,
    ) {
        self.put(to, PROMISED, &(ballots, disk, accepted));
    }
    fn accepted(&mut self, to: RouterId, ballot: Ballot, disk: InstanceId) {
        self.put(to, ACCEPTED, &(ballot, disk));
    }
    fn rejected(&mut self, to: RouterId, ballot: Ballot, promised: Ballot) {
        self.put(to, REFUSED, &(ballot, promised));
    }
    fn abstained(&mut self, to: RouterId, ballot: Ballot, trouble: AcceptorError) {
        self.put(to, DOUBTS, &(ballot, trouble as u8));
    }
    fn request_state(&mut self, to: RouterId, number: u64) {
        self.put(to, ASK, &number);
    }
    fn send_state(&mut self, to: RouterId, number: u64, agreed: &RegisterState<V>, left: Micros) {
        self.put(to, COPY, &(number, agreed, left));
    }
}

fn whole<T: DeserializeOwned>(bytes: &[u8]) -> Result<(RouterId, T), MalformedMessage> {
    match postcard::take_from_bytes(bytes) {
        Ok((read, [])) => Ok(read),
        _ => Err(MalformedMessage),
    }
}

/// Whether a message is for the keeper of its receiver, and not for its register.
pub fn is_acceptor_request(message: &[u8]) -> bool {
    matches!(message, [PROTOCOL_TAG, PROMISE | ACCEPT, ..])
}

/// Hands a question to a keeper; one that cannot be read changes nothing.
pub fn handle_acceptor_request<V: Clone + Serialize + DeserializeOwned>(
    message: &[u8],
    voter: &mut Replica<V>,
    votes: &mut dyn AcceptorStorage<RegisterState<V>>,
    orders: &mut MessageWriter,
) -> Result<(), MalformedMessage> {
    let [PROTOCOL_TAG, kind, rest @ ..] = message else { return Err(MalformedMessage) };
    match *kind {
        PROMISE => {
            let (from, (ballot, word)) = whole(rest)?;
            voter.prepare(from, ballot, word, votes, orders);
        }
        ACCEPT => {
            let (from, (ballot, agreed, word)): (_, (_, RegisterState<V>, _)) = whole(rest)?;
            sound(&agreed)?;
            voter.accept(from, (ballot, agreed), word, votes, orders);
        }
        _ => return Err(MalformedMessage),
    }
    Ok(())
}

/// Hands a message to a register; one that cannot be read changes nothing. `remembered` as in
/// `Register::promised`.
pub fn handle_register_message<V: Clone + Default + Serialize + DeserializeOwned>(
    message: &[u8],
    register: &mut Register<V>,
    now: Micros,
    remembered: &[(InstanceId, u64)],
    orders: &mut MessageWriter,
) -> Result<(), MalformedMessage> {
    let [PROTOCOL_TAG, kind, rest @ ..] = message else { return Err(MalformedMessage) };
    match *kind {
        PROMISED => {
            type Parts<V> = ((Ballot, Ballot), InstanceId, Option<(Ballot, RegisterState<V>)>);
            let (name, (ballots, disk, accepted)): (_, Parts<V>) = whole(rest)?;
            accepted.iter().try_for_each(|(_, agreed)| sound(agreed))?;
            register.on_promised(
                now,
                ReplicaId { router: name, disk },
                ballots,
                accepted,
                remembered,
                orders,
            );
        }
        ACCEPTED => {
            let (name, (ballot, disk)) = whole(rest)?;
            register.on_accepted(now, ReplicaId { router: name, disk }, ballot);
        }
        REFUSED => {
            let (_, (ballot, promised)) = whole(rest)?;
            register.on_rejected(now, ballot, promised);
        }
        DOUBTS => {
            let (from, (ballot, _)): (_, (_, u8)) = whole(rest)?;
            register.on_abstained(from, ballot);
        }
        ASK => {
            let (from, number) = whole(rest)?;
            register.on_state_request(now, from, number, orders);
        }
        COPY => {
            let (from, (number, agreed, left)) = whole(rest)?;
            sound(&agreed)?;
            register.on_state_response(now, from, number, agreed, left);
        }
        _ => return Err(MalformedMessage),
    }
    Ok(())
}

/// More keepers than there may be, or a number that nobody gives out, is nothing that was agreed on.
fn sound<V>(agreed: &RegisterState<V>) -> Result<(), MalformedMessage> {
    let few = |seats: &[ReplicaId]| seats.len() <= MAX_REPLICAS;
    let good = few(&agreed.replicas) && few(&agreed.previous_replicas) && !agreed.replicas.is_empty();
    (good && agreed.version < 1 << 62).then_some(()).ok_or(MalformedMessage)
}
