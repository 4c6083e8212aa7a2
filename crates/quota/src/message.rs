//! Messages between offices: a kind, then what it says, as postcard writes it. A message is read whole before
//! any of it counts.
use crate::office::{Actions, Term};
use crate::*;
use applepond_consensus::Ballot;
use applepond_membership::{InstanceId, RouterId};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// First byte of each message here; those of `members` begin with a small number.
pub const MARK: u8 = 0xb0;
/// Budgets at most: what is told of all of them has to fit into one message.
pub const BUDGETS_MOST: usize = 64;

const PROMISE: u8 = 1;
const ACCEPT: u8 = 2;
const PROMISED: u8 = 3;
const ACCEPTED: u8 = 4;
const REFUSED: u8 = 5;
const ASK: u8 = 6;
const GIVEN: u8 = 7;
const ELSEWHERE: u8 = 8;

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
        // Numbers and ids always can be written.
        if let Ok(bytes) = postcard::to_extend(&(self.me, parts), vec![MARK, kind]) {
            self.messages.push((to, bytes));
        }
    }
}

impl Actions for Written {
    fn promise(&mut self, to: RouterId, ballot: Ballot) {
        self.put(to, PROMISE, &ballot);
    }
    fn accept(&mut self, to: RouterId, ballot: Ballot, term: &Term) {
        self.put(to, ACCEPT, &(ballot, term));
    }
    fn promised(&mut self, to: RouterId, ballot: Ballot, before: Ballot, accepted: Option<(Ballot, Term)>) {
        self.put(to, PROMISED, &(ballot, before, accepted));
    }
    fn accepted(&mut self, to: RouterId, ballot: Ballot) {
        self.put(to, ACCEPTED, &ballot);
    }
    fn refused(&mut self, to: RouterId, ballot: Ballot, promised: Ballot) {
        self.put(to, REFUSED, &(ballot, promised));
    }
    fn ask(
        &mut self,
        to: RouterId,
        instance_id: InstanceId,
        settings: u64,
        numbers: (u64, u64),
        need: &[Amount],
    ) {
        self.put(to, ASK, &(instance_id, settings, numbers, need));
    }
    fn given(&mut self, to: RouterId, instance_id: InstanceId, number: u64, extra: &[Amount]) {
        self.put(to, GIVEN, &(instance_id, number, extra));
    }
    fn elsewhere(&mut self, to: RouterId, divides: RouterId) {
        self.put(to, ELSEWHERE, &divides);
    }
}

/// All of a message, and nothing after it.
fn whole<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(part, _)| part)
}

/// Reads a message to an office, found to be of its fleet. None: it cannot be read, and nothing has happened.
pub fn read(
    bytes: &[u8],
    now: Micros,
    office: &mut Office,
    disk: &mut dyn applepond_consensus::AcceptorStorage<Term>,
    live: &dyn Fn(RouterId) -> bool,
    orders: &mut dyn Actions,
) -> Option<()> {
    let [MARK, kind, rest @ ..] = bytes else { return None };
    let (from, rest) = postcard::take_from_bytes::<RouterId>(rest).ok()?;
    match *kind {
        PROMISE => office.promise(from, whole(rest)?, disk, orders),
        ACCEPT => {
            let (ballot, term) = whole(rest)?;
            office.accept(from, ballot, term, now, disk, orders);
        }
        PROMISED => {
            let (ballot, before, accepted) = whole(rest)?;
            office.promised(now, from, (ballot, before), accepted, live, orders);
        }
        ACCEPTED => office.accepted(now, from, whole(rest)?),
        REFUSED => {
            let (ballot, promised) = whole(rest)?;
            office.refused(now, ballot, promised);
        }
        ASK => {
            let (instance_id, settings, numbers, need) =
                whole::<(InstanceId, u64, (u64, u64), Vec<Amount>)>(rest)?;
            office.asked(now, from, (instance_id, settings), numbers, &need, orders);
        }
        GIVEN => {
            let (instance_id, number, extra) = whole::<(InstanceId, u64, Vec<Amount>)>(rest)?;
            office.given(now, from, instance_id, number, &extra);
        }
        ELSEWHERE => office.elsewhere(now, whole(rest)?, live),
        _ => return None,
    }
    Some(())
}
