//! A connection to a worker, and the reading of responses on it.
//!
//! A connection carries one attempt at a time. Closing it cancels the attempt: HTTP/1.1 has no other signal
//! on the same connection, and the close reaches a worker that is still reading the request as well as one
//! that is running it.
//!
//! State: the attempt of a connection and the part of its response received so far.
use crate::request_table::AttemptId;
use applepond::interface::{LoadState, WorkerId};
use applepond_http::Fault;
use applepond_http::cloudevent::{EventSink, Reader};
use applepond_http::decode::{Decoder, Fields, Side, Visitor};
use applepond_http::encode::HeaderLines;

/// Maximum size of a response's head; a larger response is invalid.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a response's body; a larger response is invalid.
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

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

    /// Whether the function was already loaded when the request arrived.
    pub(crate) fn was_loaded(&self) -> bool {
        self.load_state != LoadState::LoadStarted && self.load_state != LoadState::LoadPending
    }
}

impl EventSink for WorkerResponse {
    fn attribute(&mut self, _: &str, _: &str) {}
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
        let mut discarded = WorkerResponse::default();
        self.is_event = Reader::head(fields, &mut discarded).is_ok();
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
    /// A complete response has been received on it before.
    pub(crate) reused: bool,
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
            reused: false,
            attempt: Some(attempt),
            sent_before: 0,
            decoder: Decoder::new(Side::Client, MAX_HEAD_BYTES, MAX_BODY_BYTES),
            response: WorkerResponse::default(),
        }
    }
}
