//! The final answer of a request, as all its exchanges get it.
use crate::idempotency::FinalOutcome;
use applepond::interface::Micros;
use applepond_http::Fault;
use applepond_http::encode::{self, HeaderLines};
use std::rc::Rc;

/// A request's one answer: sent to each exchange that waits for it and, where it is kept, to later ones.
pub(crate) struct Answer {
    pub(crate) outcome: FinalOutcome,
    pub(crate) status: u16,
    /// Reason code, also of the request's line in the log.
    pub(crate) reason: &'static str,
    /// Header fields beside the generated ones.
    pub(crate) fields: HeaderLines,
    pub(crate) body: Vec<u8>,
    /// Sent as `Retry-After`, rounded up to seconds.
    pub(crate) retry_after: Option<Micros>,
}

impl Answer {
    /// The answer of a request that finished.
    pub(crate) fn finished(fields: HeaderLines, body: Vec<u8>) -> Self {
        let outcome = FinalOutcome::Finished;
        Answer { outcome, status: 200, reason: "finished", fields, body, retry_after: None }
    }

    /// An answer that carries a problem (RFC 9457); `id` is the event's.
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

    /// The state page.
    pub(crate) fn state_page(page: &serde_json::Value) -> Rc<Self> {
        let mut fields = HeaderLines::default();
        fields.field("Content-Type", "application/json");
        let body = format!("{page}\n").into_bytes();
        let outcome = FinalOutcome::Finished;
        Rc::new(Answer { outcome, status: 200, reason: "state", fields, body, retry_after: None })
    }

    /// Bytes of header fields and body.
    pub(crate) fn bytes(&self) -> usize {
        self.body.len() + self.fields.len()
    }

    /// The answer as it is written; `keep_alive` where the connection carries further exchanges.
    pub(super) fn encode(&self, keep_alive: bool) -> Vec<u8> {
        let mut head = encode::response(self.status);
        head = head.lines(&self.fields);
        if let Some(wait) = self.retry_after {
            head = head.field("Retry-After", &wait.div_ceil(1_000_000).max(1).to_string());
        }
        if !keep_alive {
            head = head.field("Connection", "close");
        }
        head.body(&self.body)
    }
}
