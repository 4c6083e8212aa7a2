//! Messages between one that comes back and its peers: a mark, a kind, then what it says, as postcard
//! writes it.
use crate::{FACTS_PER_PAGE, Fact, MalformedMessage, Micros};
use applepond_membership::RouterId;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// First byte of each message here; those of `members` begin with a small number.
pub const PROTOCOL_TAG: u8 = 0xb3;

const ASK: u8 = 1;
const GIVE: u8 = 2;
const LATER: u8 = 3;
const EMPTY: u8 = 4;

/// What a message says, call by call.
pub trait MessageVisitor {
    /// What do you know, from this page on?
    fn on_request(&mut self, from: RouterId, number: u64, page: u16);
    /// A page of facts; `last`: there are no more.
    fn on_page(&mut self, from: RouterId, number: u64, page: u16, last: bool, facts: Vec<Fact>);
    /// Come again after so many µs.
    fn on_retry_later(&mut self, from: RouterId, number: u64, wait: Micros);
    /// The writer has itself just come back: it says nothing, which does not say that there is nothing.
    fn on_empty(&mut self, from: RouterId, number: u64);
}

fn put(kind: u8, parts: &impl Serialize) -> Vec<u8> {
    // Numbers always can be written.
    postcard::to_extend(parts, vec![PROTOCOL_TAG, kind]).unwrap_or_default()
}

pub fn encode_request(me: RouterId, number: u64, page: u16) -> Vec<u8> {
    put(ASK, &(me, number, page))
}

pub fn encode_page(me: RouterId, number: u64, page: u16, last: bool, facts: &[Fact]) -> Vec<u8> {
    put(GIVE, &(me, number, page, last, facts))
}

pub fn encode_retry_later(me: RouterId, number: u64, wait: Micros) -> Vec<u8> {
    put(LATER, &(me, number, wait))
}

pub fn encode_empty(me: RouterId, number: u64) -> Vec<u8> {
    put(EMPTY, &(me, number))
}

fn whole<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MalformedMessage> {
    match postcard::take_from_bytes(bytes) {
        Ok((read, [])) => Ok(read),
        _ => Err(MalformedMessage),
    }
}

/// Reads a message whole before any of it counts.
pub fn decode(message: &[u8], visitor: &mut dyn MessageVisitor) -> Result<(), MalformedMessage> {
    let [PROTOCOL_TAG, kind, rest @ ..] = message else { return Err(MalformedMessage) };
    match *kind {
        ASK => {
            let (from, number, page) = whole(rest)?;
            visitor.on_request(from, number, page);
        }
        GIVE => {
            let (from, number, page, last, facts): (_, _, _, _, Vec<Fact>) = whole(rest)?;
            if facts.len() > FACTS_PER_PAGE
                || facts.iter().any(|f| !f.value.is_finite() || !f.key.kind.is_shared())
            {
                return Err(MalformedMessage);
            }
            visitor.on_page(from, number, page, last, facts);
        }
        LATER => {
            let (from, number, wait) = whole(rest)?;
            visitor.on_retry_later(from, number, wait);
        }
        EMPTY => {
            let (from, number) = whole(rest)?;
            visitor.on_empty(from, number);
        }
        _ => return Err(MalformedMessage),
    }
    Ok(())
}
