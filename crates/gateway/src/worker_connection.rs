//! The workers' side: what one connection to a worker carries, and how its answer is read.
//!
//! A connection carries one attempt at a time. Ending it is the cancel: HTTP/1.1 has no other word for it
//! that the worker sees on the same connection, and it reaches a worker that still reads the request as well
//! as one that runs it.
use crate::request_table::AttemptId;
use applepond::interface::{LoadState, WorkerId};
use applepond_http::Fault;
use applepond_http::cloudevent::{EventSink, Reader};
use applepond_http::decode::{Decoder, Fields, Side, Visitor};
use applepond_http::encode::Lines;

/// Bytes of an answer's head and body at most: an answer beyond it counts as broken.
const HEAD_MOST: usize = 16 * 1024;
const BODY_MOST: u64 = 8 * 1024 * 1024;

/// An answer while it comes in.
pub struct Answering {
    pub status: u16,
    /// What the worker says of the request by itself: `full`, `missing`.
    pub mark: Option<String>,
    pub copy: LoadState,
    pub company: u32,
    pub held: Option<f64>,
    pub loads: Option<f64>,
    /// Fields that go on to the client: the result event's attributes and its media type.
    pub lines: Lines,
    pub body: Vec<u8>,
    pub event: bool,
    /// Set once the answer is whole: whether the connection stands for another one.
    pub whole: Option<bool>,
}

impl Default for Answering {
    fn default() -> Self {
        Answering {
            status: 0,
            mark: None,
            copy: LoadState::Unreported,
            company: 0,
            held: None,
            loads: None,
            lines: Lines::default(),
            body: Vec::new(),
            event: false,
            whole: None,
        }
    }
}

impl Answering {
    /// One of the worker's own words about a request: a field `applepond-NAME`.
    fn word(&mut self, name: &str, value: &str) {
        let number = || value.parse::<f64>().ok().filter(|v| v.is_finite());
        match name.to_ascii_lowercase().as_str() {
            "outcome" => self.mark = Some(value.to_owned()),
            "copy" => {
                self.copy = match value {
                    "stood" => LoadState::Loaded,
                    "begun" => LoadState::LoadStarted,
                    "awaited" => LoadState::LoadPending,
                    "load-failed" => LoadState::LoadFailed,
                    _ => LoadState::Unreported,
                }
            }
            "company" => self.company = value.parse().unwrap_or(0),
            "held" => self.held = number(),
            "loads" => self.loads = number(),
            _ => {}
        }
    }
}

impl EventSink for Answering {
    fn attribute(&mut self, _: &str, _: &str) {}
    fn data(&mut self, _: Option<&str>, _: Vec<u8>) {}
}

impl Visitor for Answering {
    fn request(&mut self, _: &str, _: &str, _: &Fields<'_>) -> Result<(), Fault> {
        Err(Fault::new(400, "bad-head", "an answer is wanted"))
    }

    fn response(&mut self, status: u16, fields: &Fields<'_>) -> Result<(), Fault> {
        self.status = status;
        // One walk over the fields: an answer has a dozen, and looking each name up would be a dozen walks.
        for (name, value) in fields.iter() {
            let Ok(value) = std::str::from_utf8(value) else { continue };
            let own = name.get(..10).is_some_and(|p| p.eq_ignore_ascii_case("applepond-"));
            if own {
                self.word(&name[10..], value);
            } else if name.get(..3).is_some_and(|p| p.eq_ignore_ascii_case("ce-"))
                || name.eq_ignore_ascii_case("content-type")
            {
                self.lines.field(name, value);
            }
        }
        let mut seen = Answering::default();
        self.event = Reader::head(fields, &mut seen).is_ok();
        Ok(())
    }

    fn body(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        self.body.extend_from_slice(bytes);
        Ok(())
    }

    fn end(&mut self, keep: bool) -> Result<(), Fault> {
        self.whole = Some(keep);
        Ok(())
    }
}

/// One connection to a worker.
pub struct Link {
    pub server: WorkerId,
    pub open: bool,
    /// It carried an answer before.
    pub kept: bool,
    pub carries: Option<AttemptId>,
    /// Bytes that the kernel had taken before this attempt's request.
    pub sent_before: u64,
    pub decoder: Decoder,
    pub answering: Answering,
}

impl Link {
    pub fn new(server: WorkerId, carries: AttemptId) -> Self {
        Link {
            server,
            open: false,
            kept: false,
            carries: Some(carries),
            sent_before: 0,
            decoder: Decoder::new(Side::Client, HEAD_MOST, BODY_MOST),
            answering: Answering::default(),
        }
    }
}
