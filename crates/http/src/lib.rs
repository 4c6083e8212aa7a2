//! HTTP/1.1 (RFC 9112) and the CloudEvents 1.0.2 HTTP binding without I/O.
//!
//! Bytes go in, and what they say comes out as calls of a visitor. Nothing here reads a socket or a clock,
//! and nothing decides.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

pub mod cloudevent;
pub mod decode;
pub mod encode;
mod framing;

/// Why a message cannot be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Status to answer with (RFC 9110).
    pub status: u16,
    /// Short code that logs carry too.
    pub reason: &'static str,
    /// A sentence for people.
    pub detail: String,
}

impl Fault {
    /// A fault of this status, code and sentence.
    pub fn new(status: u16, reason: &'static str, detail: impl Into<String>) -> Self {
        Fault { status, reason, detail: detail.into() }
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} {}: {}", self.status, self.reason, self.detail)
    }
}
