//! Messages between a router that recovers and its peers: a tag, a kind, then the contents in postcard's
//! format. The order of the parts of each message is its format between versions of the router.
use crate::{FACTS_PER_PAGE, Fact, MalformedMessage, Micros};
use applepond_membership::RouterId;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The first byte of each message here. Those of membership begin with a small number.
pub const PROTOCOL_TAG: u8 = 0xb3;

const REQUEST: u8 = 1;
const PAGE: u8 = 2;
const RETRY_LATER: u8 = 3;
const EMPTY: u8 = 4;

/// What a message says, as one call. `number` is of the request, and comes back with each answer to it.
pub trait MessageVisitor {
    /// A peer asks for a page of facts.
    fn on_request(&mut self, from: RouterId, number: u64, page: u16);
    /// A page of facts; `last`: there are no more.
    fn on_page(&mut self, from: RouterId, number: u64, page: u16, last: bool, facts: Vec<Fact>);
    /// The request is to be repeated after so many µs.
    fn on_retry_later(&mut self, from: RouterId, number: u64, wait: Micros);
    /// The peer is itself recovering. It says nothing, which does not say that there is nothing.
    fn on_empty(&mut self, from: RouterId, number: u64);
}

fn encode(kind: u8, contents: &impl Serialize) -> Vec<u8> {
    // Numbers can always be written.
    postcard::to_extend(contents, vec![PROTOCOL_TAG, kind]).unwrap_or_default()
}

/// A request for a page of facts.
pub fn encode_request(sender: RouterId, number: u64, page: u16) -> Vec<u8> {
    encode(REQUEST, &(sender, number, page))
}

/// A page of facts; `last`: there are no more.
pub fn encode_page(sender: RouterId, number: u64, page: u16, last: bool, facts: &[Fact]) -> Vec<u8> {
    encode(PAGE, &(sender, number, page, last, facts))
}

/// An answer that the request is to be repeated after so many µs.
pub fn encode_retry_later(sender: RouterId, number: u64, wait: Micros) -> Vec<u8> {
    encode(RETRY_LATER, &(sender, number, wait))
}

/// An answer that this router is itself recovering.
pub fn encode_empty(sender: RouterId, number: u64) -> Vec<u8> {
    encode(EMPTY, &(sender, number))
}

/// Decodes the contents, with nothing after them.
fn decode_contents<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MalformedMessage> {
    match postcard::take_from_bytes(bytes) {
        Ok((contents, [])) => Ok(contents),
        _ => Err(MalformedMessage),
    }
}

/// Decodes a message as a whole before the visitor is called.
///
/// # Errors
/// The message cannot be decoded; the visitor was not called.
pub fn decode(message: &[u8], visitor: &mut dyn MessageVisitor) -> Result<(), MalformedMessage> {
    let [PROTOCOL_TAG, kind, contents @ ..] = message else { return Err(MalformedMessage) };
    match *kind {
        REQUEST => {
            let (from, number, page) = decode_contents(contents)?;
            visitor.on_request(from, number, page);
        }
        PAGE => {
            let (from, number, page, last, facts): (_, _, _, _, Vec<Fact>) = decode_contents(contents)?;
            if facts.len() > FACTS_PER_PAGE || !facts.iter().all(may_be_shared) {
                return Err(MalformedMessage);
            }
            visitor.on_page(from, number, page, last, facts);
        }
        RETRY_LATER => {
            let (from, number, wait) = decode_contents(contents)?;
            visitor.on_retry_later(from, number, wait);
        }
        EMPTY => {
            let (from, number) = decode_contents(contents)?;
            visitor.on_empty(from, number);
        }
        _ => return Err(MalformedMessage),
    }
    Ok(())
}

fn may_be_shared(fact: &Fact) -> bool {
    fact.value.is_finite() && fact.key.kind.is_shared()
}
