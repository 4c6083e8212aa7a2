//! One peer's side of an HTTP connection: complete messages, as plain names and texts.
use applepond_http::Fault;
use applepond_http::decode::{Decoder, Fields, Side, Step, Visitor};
use std::collections::BTreeMap;

/// Limit of bytes in a head: test doubles accept more than routers do.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Limit of bytes in a body.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// One complete message as it was received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Status of a response; 0 for a request.
    pub status: u16,
    /// Target of a request; empty for a response.
    pub target: String,
    /// Header fields, by names in lower case.
    pub fields: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// The sender lets the connection persist.
    pub keep: bool,
}

impl Message {
    /// A header field; empty where there is none.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// A header field as a number.
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
        self.current.keep = keep_alive;
        self.complete.push(std::mem::take(&mut self.current));
        Ok(())
    }
}

/// A connection of a test double.
pub struct HttpPeer {
    decoder: Decoder,
    collector: Collector,
}

impl HttpPeer {
    /// A new connection; `side` is that of the test double.
    pub fn new(side: Side) -> Self {
        HttpPeer {
            decoder: Decoder::new(side, MAX_HEAD_BYTES, MAX_BODY_BYTES),
            collector: Collector::default(),
        }
    }

    /// The messages that are complete by now; none at all where the peer does not speak HTTP.
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
