//! HTTP/1.1 (RFC 9112) and the CloudEvents 1.0.2 HTTP binding without I/O: bytes go in, what they say comes
//! out as calls on a sink. Nothing here reads a socket or a clock, and nothing decides.
pub mod cloudevent;
pub mod decode;
pub mod encode;

/// Why a message cannot be taken: the status to answer with (RFC 9110), a short reason code that logs carry
/// too, and a sentence for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub status: u16,
    pub reason: &'static str,
    pub detail: String,
}

impl Fault {
    pub fn new(status: u16, reason: &'static str, detail: impl Into<String>) -> Self {
        Fault { status, reason, detail: detail.into() }
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}: {}", self.status, self.reason, self.detail)
    }
}
