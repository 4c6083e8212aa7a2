//! A connection to a worker, and the reading of responses on it.
//!
//! A connection carries one attempt at a time. Closing it cancels the attempt: HTTP/1.1 has no other signal
//! on the same connection, and the close reaches a worker that is still reading the request as well as one
//! that is running it.
//!
//! HTTP/1.1 does not tie a response to its request, and a worker may send a response twice. Result events
//! have an identity, the CloudEvents attributes `source` and `id`. A response with the identity and the body
//! of an earlier one is a second copy of it and is discarded. After a response without an identity, a second
//! copy of it could be taken for the response to the next request, so the connection is not reused.
//!
//! State: the attempt of a connection, the part of its response received so far, and digests of the last
//! responses.
use crate::request_table::AttemptId;
use applepond::interface::{LoadState, WorkerId};
use applepond_http::Fault;
use applepond_http::cloudevent::{EventSink, Reader};
use applepond_http::decode::{Decoder, Fields, Side, Step, Visitor};
use applepond_http::encode::HeaderLines;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum size of a response's head; a larger response is invalid.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a response's body; a larger response is invalid.
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

/// Maximum number of requests on one connection. It bounds how long a connection can be one response behind
/// after a worker has sent a response that belongs to no request.
const MAX_REQUESTS: u32 = 100;
/// Number of the last responses on a connection of which a second copy is recognised.
const MAX_RECENT_RESPONSES: usize = 32;

/// Prefix of the header fields in which a worker reports on the request or on itself.
const WORKER_FIELD_PREFIX: &str = "applepond-";
/// Prefix of the header fields that are attributes of the result event.
const EVENT_FIELD_PREFIX: &str = "ce-";

/// A response as far as it has been received.
pub(crate) struct WorkerResponse {
    pub(crate) status: u16,
    /// The outcome that the worker reports, `full` or `missing`; either proves that the request has not run.
    pub(crate) reported_outcome: Option<String>,
    /// Whether the function was loaded at the worker when the request arrived.
    pub(crate) load_state: LoadState,
    /// Requests for the same function that the worker had when this one arrived; 0 if not reported.
    pub(crate) same_function_in_flight: u32,
    /// Requests for all functions that the worker has in flight, if reported.
    pub(crate) reported_in_flight: Option<f64>,
    /// Loads in progress or queued at the worker, if reported.
    pub(crate) reported_loads: Option<f64>,
    /// Header fields for the client: the result event's attributes and its media type.
    pub(crate) fields: HeaderLines,
    pub(crate) body: Vec<u8>,
    /// The response is a CloudEvent.
    pub(crate) is_event: bool,
    /// The identity of the event, if the header has it.
    identity: ResponseIdentity,
    /// Whether the connection may carry another request; set once the response is complete.
    pub(crate) keep_alive: Option<bool>,
}

impl Default for WorkerResponse {
    fn default() -> Self {
        WorkerResponse {
            status: 0,
            reported_outcome: None,
            load_state: LoadState::Unreported,
            same_function_in_flight: 0,
            reported_in_flight: None,
            reported_loads: None,
            fields: HeaderLines::default(),
            body: Vec::new(),
            is_event: false,
            identity: ResponseIdentity::default(),
            keep_alive: None,
        }
    }
}

impl WorkerResponse {
    /// Reads a header field with [`WORKER_FIELD_PREFIX`], given by its name without the prefix.
    fn read_worker_field(&mut self, name: &str, value: &str) {
        let number = || value.parse::<f64>().ok().filter(|number| number.is_finite());
        match name.to_ascii_lowercase().as_str() {
            "outcome" => self.reported_outcome = Some(value.to_owned()),
            "copy" => {
                self.load_state = match value {
                    "stood" => LoadState::Loaded,
                    "begun" => LoadState::LoadStarted,
                    "awaited" => LoadState::LoadPending,
                    "load-failed" => LoadState::LoadFailed,
                    _ => LoadState::Unreported,
                }
            }
            "company" => self.same_function_in_flight = value.parse().unwrap_or(0),
            "held" => self.reported_in_flight = number(),
            "loads" => self.reported_loads = number(),
            _ => {}
        }
    }

    /// Returns the digest of a complete response, or `None` if it has no identity.
    fn digest(&self) -> Option<ResponseDigest> {
        if self.identity.is_incomplete() {
            return None;
        }
        let mut hasher = DefaultHasher::new();
        self.identity.hash(&mut hasher);
        self.body.hash(&mut hasher);
        Some(hasher.finish())
    }

    /// Whether the function was already loaded when the request arrived.
    pub(crate) fn was_loaded(&self) -> bool {
        self.load_state != LoadState::LoadStarted && self.load_state != LoadState::LoadPending
    }
}

/// A digest of a response's identity and body.
type ResponseDigest = u64;

/// The attributes that identify an event: no two events have the same source and id.
#[derive(Default, Hash)]
struct ResponseIdentity {
    source: String,
    id: String,
}

impl ResponseIdentity {
    /// Whether an attribute is missing, as in the header of a structured event.
    fn is_incomplete(&self) -> bool {
        self.source.is_empty() || self.id.is_empty()
    }
}

impl EventSink for ResponseIdentity {
    fn attribute(&mut self, name: &str, value: &str) {
        match name {
            "source" => value.clone_into(&mut self.source),
            "id" => value.clone_into(&mut self.id),
            _ => {}
        }
    }

    fn data(&mut self, _: Option<&str>, _: Vec<u8>) {}
}

/// Whether a header field's name starts with a prefix, ignoring ASCII case.
fn has_prefix(name: &str, prefix: &str) -> bool {
    name.get(..prefix.len()).is_some_and(|start| start.eq_ignore_ascii_case(prefix))
}

impl Visitor for WorkerResponse {
    fn request(&mut self, _: &str, _: &str, _: &Fields<'_>) -> Result<(), Fault> {
        Err(Fault::new(400, "bad-head", "expected a response, got a request"))
    }

    fn response(&mut self, status: u16, fields: &Fields<'_>) -> Result<(), Fault> {
        self.status = status;
        // A single pass: a response has about a dozen fields, and each lookup by name would be a pass.
        for (name, value) in fields.iter() {
            let Ok(value) = std::str::from_utf8(value) else { continue };
            if has_prefix(name, WORKER_FIELD_PREFIX) {
                self.read_worker_field(&name[WORKER_FIELD_PREFIX.len()..], value);
            } else if has_prefix(name, EVENT_FIELD_PREFIX) || name.eq_ignore_ascii_case("content-type") {
                self.fields.field(name, value);
            }
        }
        let mut identity = ResponseIdentity::default();
        self.is_event = Reader::head(fields, &mut identity).is_ok();
        self.identity = identity;
        Ok(())
    }

    fn body(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        self.body.extend_from_slice(bytes);
        Ok(())
    }

    fn end(&mut self, keep_alive: bool) -> Result<(), Fault> {
        self.keep_alive = Some(keep_alive);
        Ok(())
    }
}

/// One connection to a worker.
pub(crate) struct WorkerConnection {
    pub(crate) worker: WorkerId,
    /// The connection is established.
    pub(crate) connected: bool,
    /// Number of complete responses received on it.
    responses: u32,
    /// Digests of the last responses, oldest first.
    recent_responses: VecDeque<ResponseDigest>,
    /// A second copy of an earlier response has been received.
    pub(crate) received_copy: bool,
    /// Its attempt; `None` while it is idle.
    pub(crate) attempt: Option<AttemptId>,
    /// Bytes that the kernel had accepted for sending before the current attempt.
    pub(crate) sent_before: u64,
    pub(crate) decoder: Decoder,
    pub(crate) response: WorkerResponse,
}

impl WorkerConnection {
    /// Creates the state of a connection that is being established for an attempt.
    pub(crate) fn new(worker: WorkerId, attempt: AttemptId) -> Self {
        WorkerConnection {
            worker,
            connected: false,
            responses: 0,
            recent_responses: VecDeque::new(),
            received_copy: false,
            attempt: Some(attempt),
            sent_before: 0,
            decoder: Decoder::new(Side::Client, MAX_HEAD_BYTES, MAX_BODY_BYTES),
            response: WorkerResponse::default(),
        }
    }

    /// Whether a complete response has been received on it before.
    pub(crate) fn is_reused(&self) -> bool {
        self.responses > 0
    }

    /// Whether the response is a second copy of an earlier one on this connection.
    pub(crate) fn is_copy(&self) -> bool {
        self.response.digest().is_some_and(|digest| self.recent_responses.contains(&digest))
    }

    /// Decodes received bytes. Returns whether the response to the attempt is complete. Second copies of
    /// earlier responses are discarded.
    ///
    /// # Errors
    /// The bytes are no valid response.
    pub(crate) fn receive(&mut self, bytes: &[u8]) -> Result<bool, Fault> {
        self.decoder.feed(bytes);
        while self.decoder.step(&mut self.response)? == Step::Done {
            if !self.is_copy() {
                return Ok(true);
            }
            self.received_copy = true;
            if self.response.keep_alive != Some(true) {
                return Err(Fault::new(502, "second-copy", "the connection ends with a second copy"));
            }
            self.response = WorkerResponse::default();
        }
        Ok(false)
    }

    /// Takes the complete response, and returns whether the connection may carry another request.
    pub(crate) fn take_response(&mut self) -> (WorkerResponse, bool) {
        let response = std::mem::take(&mut self.response);
        self.responses += 1;
        // Bytes after the response belong to no request.
        let is_intact = response.keep_alive == Some(true) && self.decoder.idle();
        let may_reuse = is_intact && self.responses < MAX_REQUESTS;
        let Some(digest) = response.digest().filter(|_| may_reuse) else {
            return (response, false);
        };
        if self.recent_responses.len() == MAX_RECENT_RESPONSES {
            self.recent_responses.pop_front();
        }
        self.recent_responses.push_back(digest);
        (response, true)
    }
}
