//! Messages between one that comes back and its peers: a mark, a kind, then what it says, as postcard
//! writes it.
use crate::{Fact, Micros, PAGE, Unread};
use applepond_membership::RouterId;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// First byte of each message here; those of `members` begin with a small number.
pub const MARK: u8 = 0xb3;

const ASK: u8 = 1;
const GIVE: u8 = 2;
const LATER: u8 = 3;
const EMPTY: u8 = 4;

/// What a message says, call by call.
pub trait Words {
    /// What do you know, from this page on?
    fn asked(&mut self, from: RouterId, number: u64, page: u16);
    /// A page of facts; `last`: there are no more.
    fn given(&mut self, from: RouterId, number: u64, page: u16, last: bool, facts: Vec<Fact>);
    /// Come again after so many µs.
    fn later(&mut self, from: RouterId, number: u64, wait: Micros);
    /// The writer has itself just come back: it says nothing, which does not say that there is nothing.
    fn empty(&mut self, from: RouterId, number: u64);
}

fn put(kind: u8, parts: &impl Serialize) -> Vec<u8> {
    // Numbers always can be written.
    postcard::to_extend(parts, vec![MARK, kind]).unwrap_or_default()
}

pub fn ask(me: RouterId, number: u64, page: u16) -> Vec<u8> {
    put(ASK, &(me, number, page))
}

pub fn give(me: RouterId, number: u64, page: u16, last: bool, facts: &[Fact]) -> Vec<u8> {
    put(GIVE, &(me, number, page, last, facts))
}

pub fn later(me: RouterId, number: u64, wait: Micros) -> Vec<u8> {
    put(LATER, &(me, number, wait))
}

pub fn empty(me: RouterId, number: u64) -> Vec<u8> {
    put(EMPTY, &(me, number))
}

fn whole<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Unread> {
    match postcard::take_from_bytes(bytes) {
        Ok((read, [])) => Ok(read),
        _ => Err(Unread),
    }
}

/// Reads a message whole before any of it counts.
pub fn read(message: &[u8], words: &mut dyn Words) -> Result<(), Unread> {
    let [MARK, kind, rest @ ..] = message else { return Err(Unread) };
    match *kind {
        ASK => {
            let (from, number, page) = whole(rest)?;
            words.asked(from, number, page);
        }
        GIVE => {
            let (from, number, page, last, facts): (_, _, _, _, Vec<Fact>) = whole(rest)?;
            if facts.len() > PAGE || facts.iter().any(|f| !f.value.is_finite() || !f.about.what.shared()) {
                return Err(Unread);
            }
            words.given(from, number, page, last, facts);
        }
        LATER => {
            let (from, number, wait) = whole(rest)?;
            words.later(from, number, wait);
        }
        EMPTY => {
            let (from, number) = whole(rest)?;
            words.empty(from, number);
        }
        _ => return Err(Unread),
    }
    Ok(())
}
