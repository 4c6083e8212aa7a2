//! HTTP/1.1 (RFC 9112) and the CloudEvents 1.0.2 HTTP binding, without I/O.
//!
//! The decoder is fed bytes and calls a visitor with the messages in them. The crate reads neither a socket
//! nor a clock and holds no policy.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

pub mod cloudevent;
pub mod decode;
pub mod encode;
mod framing;

/// Why a message is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Status of the response (RFC 9110).
    pub status: u16,
    /// Short code, also written to the log.
    pub reason: &'static str,
    /// Explanation for a human reader.
    pub detail: String,
}

impl Fault {
    /// Creates a fault with this status, code and explanation.
    pub fn new(status: u16, reason: &'static str, detail: impl Into<String>) -> Self {
        Fault { status, reason, detail: detail.into() }
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} {}: {}", self.status, self.reason, self.detail)
    }
}
