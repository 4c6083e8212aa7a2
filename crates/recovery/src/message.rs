//! Messages between a recovering router and its peers: a protocol tag, a message kind, then the contents in
//! postcard encoding. The order of the parts is the wire format, which routers of different versions share.
use crate::{FACTS_PER_PAGE, Fact, MalformedMessage, Micros};
use applepond_membership::RouterId;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The first byte of each recovery message. Membership messages start with a small number instead.
pub const PROTOCOL_TAG: u8 = 0xb3;

const REQUEST: u8 = 1;
const PAGE: u8 = 2;
const RETRY_LATER: u8 = 3;
const EMPTY: u8 = 4;

/// Receives a decoded message as one call. `number` identifies the request; each response repeats it.
pub trait MessageVisitor {
    /// A peer requests a page of facts.
    fn on_request(&mut self, from: RouterId, number: u64, page: u16);
    /// A page of facts. `last` marks the final page.
    fn on_page(&mut self, from: RouterId, number: u64, page: u16, last: bool, facts: Vec<Fact>);
    /// The request should be repeated after `wait` µs.
    fn on_retry_later(&mut self, from: RouterId, number: u64, wait: Micros);
    /// The peer is itself recovering. This does not mean that there are no facts.
    fn on_empty(&mut self, from: RouterId, number: u64);
}

fn encode(kind: u8, contents: &impl Serialize) -> Vec<u8> {
    // Encoding cannot fail for these types.
    postcard::to_extend(contents, vec![PROTOCOL_TAG, kind]).unwrap_or_default()
}

/// Encodes a request for a page of facts.
pub fn encode_request(sender: RouterId, number: u64, page: u16) -> Vec<u8> {
    encode(REQUEST, &(sender, number, page))
}

/// Encodes a page of facts. `last` marks the final page.
pub fn encode_page(sender: RouterId, number: u64, page: u16, last: bool, facts: &[Fact]) -> Vec<u8> {
    encode(PAGE, &(sender, number, page, last, facts))
}

/// Encodes a response that the request should be repeated after `wait` µs.
pub fn encode_retry_later(sender: RouterId, number: u64, wait: Micros) -> Vec<u8> {
    encode(RETRY_LATER, &(sender, number, wait))
}

/// Encodes a response that this router is itself recovering.
pub fn encode_empty(sender: RouterId, number: u64) -> Vec<u8> {
    encode(EMPTY, &(sender, number))
}

/// Decodes the contents, and rejects trailing bytes.
fn decode_contents<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MalformedMessage> {
    match postcard::take_from_bytes(bytes) {
        Ok((contents, [])) => Ok(contents),
        _ => Err(MalformedMessage),
    }
}

/// Decodes a message completely, then calls the visitor.
///
/// # Errors
/// The message is malformed; the visitor was not called.
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
