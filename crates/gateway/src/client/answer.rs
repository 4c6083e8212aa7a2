//! The final answer of a request, which all clients that wait for the request receive.
use crate::idempotency::FinalOutcome;
use applepond::interface::Micros;
use applepond_http::Fault;
use applepond_http::encode::{self, HeaderLines};
use std::rc::Rc;

const MICROS_PER_SECOND: Micros = 1_000_000;

/// The final answer of a request: sent to each waiting client and, if it is cached, replayed to later
/// duplicates.
pub(crate) struct Answer {
    pub(crate) outcome: FinalOutcome,
    pub(crate) status: u16,
    /// Reason code, also logged.
    pub(crate) reason: &'static str,
    /// Header fields in addition to the generated ones.
    pub(crate) fields: HeaderLines,
    pub(crate) body: Vec<u8>,
    /// Sent as `Retry-After`, rounded up to seconds.
    pub(crate) retry_after: Option<Micros>,
}

/// The value of `Retry-After` for this delay, in whole seconds.
fn retry_after_seconds(delay: Micros) -> u64 {
    delay.div_ceil(MICROS_PER_SECOND).max(1)
}

impl Answer {
    /// When a client comes back that follows `Retry-After` to the second; at once if there is none.
    pub(crate) fn return_time(now: Micros, retry_after: Option<Micros>) -> Micros {
        now + retry_after.map_or(0, |delay| retry_after_seconds(delay) * MICROS_PER_SECOND)
    }

    /// Creates the answer of a request that finished.
    pub(crate) fn finished(fields: HeaderLines, body: Vec<u8>) -> Self {
        let outcome = FinalOutcome::Finished;
        Answer { outcome, status: 200, reason: "finished", fields, body, retry_after: None }
    }

    /// Creates an answer with problem details (RFC 9457); `id` is the event's.
    pub(crate) fn problem(
        outcome: FinalOutcome,
        fault: &Fault,
        id: Option<&str>,
        retry_after: Option<Micros>,
    ) -> Rc<Self> {
        let body = encode::problem(fault, id, retry_after.map(|us| us / 1000));
        let mut fields = HeaderLines::default();
        fields.field("Content-Type", "application/problem+json");
        Rc::new(Answer { outcome, status: fault.status, reason: fault.reason, fields, body, retry_after })
    }

    /// Creates the answer with the state page.
    pub(crate) fn state_page(page: &serde_json::Value) -> Rc<Self> {
        let mut fields = HeaderLines::default();
        fields.field("Content-Type", "application/json");
        let body = format!("{page}\n").into_bytes();
        let outcome = FinalOutcome::Finished;
        Rc::new(Answer { outcome, status: 200, reason: "state", fields, body, retry_after: None })
    }

    /// Returns the size of the header fields and the body in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.body.len() + self.fields.len()
    }

    /// Encodes the HTTP response; `keep_alive` is whether the connection stays open.
    pub(super) fn encode(&self, keep_alive: bool) -> Vec<u8> {
        let mut head = encode::response(self.status);
        head = head.lines(&self.fields);
        if let Some(wait) = self.retry_after {
            head = head.field("Retry-After", &retry_after_seconds(wait).to_string());
        }
        if !keep_alive {
            head = head.field("Connection", "close");
        }
        head.body(&self.body)
    }
}
