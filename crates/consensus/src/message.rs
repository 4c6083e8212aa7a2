//! Messages of registers: a mark, a kind, then what it says, as postcard writes it. A message is read whole
//! before any of it counts.
use crate::*;
use applepond_membership::RouterId;
use miette::Diagnostic;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// First byte of each message here; those of `members` begin with a small number.
pub const MARK: u8 = 0xb2;

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
pub struct Unread;

/// Actions as messages of this router, each with whom it is for.
pub struct Written {
    pub me: RouterId,
    pub messages: Vec<(RouterId, Vec<u8>)>,
}

impl Written {
    pub fn by(me: RouterId) -> Self {
        Written { me, messages: Vec::new() }
    }

    fn put(&mut self, to: RouterId, kind: u8, parts: &impl Serialize) {
        // Numbers and ids always can be written; what is longer than a message is the caller's to bound.
        if let Ok(bytes) = postcard::to_extend(&(self.me, parts), vec![MARK, kind]) {
            self.messages.push((to, bytes));
        }
    }
}

impl<V: Serialize> Questions<V> for Written {
    fn promise(&mut self, to: RouterId, ballot: Ballot, word: Option<(InstanceId, Ballot)>) {
        self.put(to, PROMISE, &(ballot, word));
    }
    fn accept(
        &mut self,
        to: RouterId,
        ballot: Ballot,
        agreed: &Agreed<V>,
        word: Option<(InstanceId, Ballot)>,
    ) {
        self.put(to, ACCEPT, &(ballot, agreed, word));
    }
}

impl<V: Serialize> Actions<V> for Written {
    fn promised(
        &mut self,
        to: RouterId,
        ballots: (Ballot, Ballot),
        disk: InstanceId,
        accepted: Option<&(Ballot, Agreed<V>)>,
    ) {
        self.put(to, PROMISED, &(ballots, disk, accepted));
    }
    fn accepted(&mut self, to: RouterId, ballot: Ballot, disk: InstanceId) {
        self.put(to, ACCEPTED, &(ballot, disk));
    }
    fn refused(&mut self, to: RouterId, ballot: Ballot, promised: Ballot) {
        self.put(to, REFUSED, &(ballot, promised));
    }
    fn doubts(&mut self, to: RouterId, ballot: Ballot, trouble: Trouble) {
        self.put(to, DOUBTS, &(ballot, trouble as u8));
    }
    fn ask(&mut self, to: RouterId, number: u64) {
        self.put(to, ASK, &number);
    }
    fn copy(&mut self, to: RouterId, number: u64, agreed: &Agreed<V>, left: Micros) {
        self.put(to, COPY, &(number, agreed, left));
    }
}

fn whole<T: DeserializeOwned>(bytes: &[u8]) -> Result<(RouterId, T), Unread> {
    match postcard::take_from_bytes(bytes) {
        Ok((read, [])) => Ok(read),
        _ => Err(Unread),
    }
}

/// Whether a message is for the keeper of its receiver, and not for its register.
pub fn is_question(message: &[u8]) -> bool {
    matches!(message, [MARK, PROMISE | ACCEPT, ..])
}

/// Hands a question to a keeper; one that cannot be read changes nothing.
pub fn vote<V: Clone + Serialize + DeserializeOwned>(
    message: &[u8],
    voter: &mut Voter<V>,
    votes: &mut dyn Votes<Agreed<V>>,
    orders: &mut Written,
) -> Result<(), Unread> {
    let [MARK, kind, rest @ ..] = message else { return Err(Unread) };
    match *kind {
        PROMISE => {
            let (from, (ballot, word)) = whole(rest)?;
            voter.promise(from, ballot, word, votes, orders);
        }
        ACCEPT => {
            let (from, (ballot, agreed, word)): (_, (_, Agreed<V>, _)) = whole(rest)?;
            sound(&agreed)?;
            voter.accept(from, (ballot, agreed), word, votes, orders);
        }
        _ => return Err(Unread),
    }
    Ok(())
}

/// Hands a message to a register; one that cannot be read changes nothing. `remembered` as in
/// `Register::promised`.
pub fn read<V: Clone + Default + Serialize + DeserializeOwned>(
    message: &[u8],
    register: &mut Register<V>,
    now: Micros,
    remembered: &[(InstanceId, u64)],
    orders: &mut Written,
) -> Result<(), Unread> {
    let [MARK, kind, rest @ ..] = message else { return Err(Unread) };
    match *kind {
        PROMISED => {
            type Parts<V> = ((Ballot, Ballot), InstanceId, Option<(Ballot, Agreed<V>)>);
            let (name, (ballots, disk, accepted)): (_, Parts<V>) = whole(rest)?;
            accepted.iter().try_for_each(|(_, agreed)| sound(agreed))?;
            register.promised(now, Seat { name, disk }, ballots, accepted, remembered, orders);
        }
        ACCEPTED => {
            let (name, (ballot, disk)) = whole(rest)?;
            register.accepted(now, Seat { name, disk }, ballot);
        }
        REFUSED => {
            let (_, (ballot, promised)) = whole(rest)?;
            register.refused(now, ballot, promised);
        }
        DOUBTS => {
            let (from, (ballot, _)): (_, (_, u8)) = whole(rest)?;
            register.doubted(from, ballot);
        }
        ASK => {
            let (from, number) = whole(rest)?;
            register.asked(now, from, number, orders);
        }
        COPY => {
            let (from, (number, agreed, left)) = whole(rest)?;
            sound(&agreed)?;
            register.copied(now, from, number, agreed, left);
        }
        _ => return Err(Unread),
    }
    Ok(())
}

/// More keepers than there may be, or a number that nobody gives out, is nothing that was agreed on.
fn sound<V>(agreed: &Agreed<V>) -> Result<(), Unread> {
    let few = |seats: &[Seat]| seats.len() <= KEEPERS_MOST;
    let good = few(&agreed.keepers) && few(&agreed.before) && !agreed.keepers.is_empty();
    (good && agreed.number < 1 << 62).then_some(()).ok_or(Unread)
}
