//! One peer's side of an HTTP connection: whole messages in, kept as plain names and texts.
use applepond_http::Fault;
use applepond_http::decode::{Decoder, Fields, Side, Step, Visitor};
use std::collections::BTreeMap;

/// Bytes of a head and of a body at most: stand-ins are given more room than routers allow.
const HEAD_MOST: usize = 64 * 1024;
const BODY_MOST: u64 = 16 * 1024 * 1024;

/// One whole message as it was seen.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub status: u16,
    pub target: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
    pub keep: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name).parse().ok()
    }
}

#[derive(Default)]
struct Taking {
    now: Message,
    whole: Vec<Message>,
}

impl Taking {
    fn fields(&mut self, fields: &Fields<'_>) {
        let text = |(n, v): (&str, &[u8])| (n.to_ascii_lowercase(), String::from_utf8_lossy(v).into_owned());
        self.now = Message { fields: fields.iter().map(text).collect(), ..Message::default() };
    }
}

impl Visitor for Taking {
    fn request(&mut self, _: &str, target: &str, fields: &Fields<'_>) -> Result<(), Fault> {
        self.fields(fields);
        self.now.target = target.to_owned();
        Ok(())
    }
    fn response(&mut self, status: u16, fields: &Fields<'_>) -> Result<(), Fault> {
        self.fields(fields);
        self.now.status = status;
        Ok(())
    }
    fn body(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        self.now.body.extend_from_slice(bytes);
        Ok(())
    }
    fn end(&mut self, keep: bool) -> Result<(), Fault> {
        self.now.keep = keep;
        self.whole.push(std::mem::take(&mut self.now));
        Ok(())
    }
}

pub struct Talk {
    decoder: Decoder,
    taking: Taking,
}

impl Talk {
    pub fn new(side: Side) -> Self {
        Talk { decoder: Decoder::new(side, HEAD_MOST, BODY_MOST), taking: Taking::default() }
    }

    /// The messages that are whole by now; none at all where the peer talks nonsense.
    pub fn hear(&mut self, bytes: &[u8]) -> Option<Vec<Message>> {
        self.decoder.feed(bytes);
        loop {
            match self.decoder.step(&mut self.taking) {
                Ok(Step::Done) => {}
                Ok(Step::More) => return Some(std::mem::take(&mut self.taking.whole)),
                Err(_) => return None,
            }
        }
    }
}
