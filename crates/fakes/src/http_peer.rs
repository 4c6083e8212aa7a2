//! A test double's side of an HTTP connection: decodes received bytes into complete messages.
use applepond_http::Fault;
use applepond_http::decode::{Decoder, Fields, Side, Step, Visitor};
use std::collections::BTreeMap;

/// Maximum size of a message head. Test doubles accept more than routers do, so that a router's own limits
/// apply first.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum size of a message body.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// A complete HTTP message as received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Status of a response; 0 for a request.
    pub status: u16,
    /// Target of a request; empty for a response.
    pub target: String,
    /// Header fields by lower-case name.
    pub fields: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection may be reused after this message.
    pub keep_alive: bool,
}

impl Message {
    /// Returns a header field, or an empty string if it is absent.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns a header field as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name).parse().ok()
    }
}

/// Collects messages as they are decoded.
#[derive(Default)]
struct Collector {
    current: Message,
    complete: Vec<Message>,
}

impl Collector {
    fn fields(&mut self, fields: &Fields<'_>) {
        let text = |(name, value): (&str, &[u8])| {
            (name.to_ascii_lowercase(), String::from_utf8_lossy(value).into_owned())
        };
        self.current = Message { fields: fields.iter().map(text).collect(), ..Message::default() };
    }
}

impl Visitor for Collector {
    fn request(&mut self, _: &str, target: &str, fields: &Fields<'_>) -> Result<(), Fault> {
        self.fields(fields);
        self.current.target = target.to_owned();
        Ok(())
    }
    fn response(&mut self, status: u16, fields: &Fields<'_>) -> Result<(), Fault> {
        self.fields(fields);
        self.current.status = status;
        Ok(())
    }
    fn body(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        self.current.body.extend_from_slice(bytes);
        Ok(())
    }
    fn end(&mut self, keep_alive: bool) -> Result<(), Fault> {
        self.current.keep_alive = keep_alive;
        self.complete.push(std::mem::take(&mut self.current));
        Ok(())
    }
}

/// Decoder state of a test double's connection.
pub struct HttpPeer {
    decoder: Decoder,
    collector: Collector,
}

impl HttpPeer {
    /// Creates the state of a new connection; `side` is the test double's.
    pub fn new(side: Side) -> Self {
        HttpPeer {
            decoder: Decoder::new(side, MAX_HEAD_BYTES, MAX_BODY_BYTES),
            collector: Collector::default(),
        }
    }

    /// Decodes bytes and returns the messages that are now complete, or `None` if they are not valid HTTP.
    pub fn receive(&mut self, bytes: &[u8]) -> Option<Vec<Message>> {
        self.decoder.feed(bytes);
        loop {
            match self.decoder.step(&mut self.collector) {
                Ok(Step::Done) => {}
                Ok(Step::More) => return Some(std::mem::take(&mut self.collector.complete)),
                Err(_) => return None,
            }
        }
    }
}
