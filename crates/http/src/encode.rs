//! Encodes messages and problem details (RFC 9457).
use crate::Fault;
use serde_json::json;
use std::io::Write;

/// Initial capacity in bytes of the buffer of a head, which is enough for most heads.
const HEAD_CAPACITY_BYTES: usize = 768;

/// A message under construction. `body`, `chunked` or `empty` ends its head and returns its bytes.
pub struct Message(HeaderLines);

/// Encoded header fields that do not belong to a message yet.
#[derive(Clone, Default)]
pub struct HeaderLines(Vec<u8>);

/// One encoded header field.
#[derive(Clone, Copy)]
pub struct HeaderLine<'a> {
    bytes: &'a [u8],
    name: &'a [u8],
}

impl<'a> HeaderLine<'a> {
    fn new(bytes: &'a [u8]) -> Self {
        let end = bytes.iter().position(|byte| *byte == b':').unwrap_or(bytes.len());
        HeaderLine { bytes, name: &bytes[..end] }
    }

    /// The field's name, in the case in which it was written.
    pub fn name(&self) -> &'a [u8] {
        self.name
    }

    /// The encoded line with its line end.
    pub fn bytes(&self) -> &'a [u8] {
        self.bytes
    }
}

impl HeaderLines {
    /// Adds a header field. Control characters in the value are replaced by spaces, so that a value cannot
    /// add another field.
    pub fn field(&mut self, name: &str, value: &str) {
        self.0.reserve(name.len() + value.len() + 4);
        self.0.extend_from_slice(name.as_bytes());
        self.0.extend_from_slice(b": ");
        self.0.extend(value.bytes().map(|byte| if byte < b' ' || byte == 0x7f { b' ' } else { byte }));
        self.0.extend_from_slice(b"\r\n");
    }

    /// A copy without the named fields. Names are compared in the case in which they were written.
    pub fn without(&self, names: &[&str]) -> HeaderLines {
        let is_named = |line: &HeaderLine<'_>| names.iter().any(|name| name.as_bytes() == line.name());
        let kept = self.lines().filter(|line| !is_named(line));
        HeaderLines(kept.flat_map(|line| line.bytes()).copied().collect())
    }

    /// The encoded fields, in the order in which they were added.
    pub fn lines(&self) -> impl Iterator<Item = HeaderLine<'_>> {
        self.0.split_inclusive(|byte| *byte == b'\n').map(HeaderLine::new)
    }

    /// The encoded lines.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Creates them from encoded lines, as returned by `bytes`.
    pub fn from_bytes(bytes: Vec<u8>) -> HeaderLines {
        HeaderLines(bytes)
    }

    /// Adds encoded lines.
    pub fn append(&mut self, more: &HeaderLines) {
        self.0.extend_from_slice(&more.0);
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no lines.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The reason phrase of a status. Clients should ignore it (RFC 9112, section 4).
fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        417 => "Expectation Failed",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Other",
    }
}

/// The interim response that tells a client to send its body (RFC 9110, section 10.1.1).
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Begins a request.
pub fn request(method: &str, target: &str, host: &str) -> Message {
    let mut head = Vec::with_capacity(HEAD_CAPACITY_BYTES);
    let _ = write!(head, "{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    Message(HeaderLines(head))
}

/// Begins a response.
pub fn response(status: u16) -> Message {
    let mut head = Vec::with_capacity(HEAD_CAPACITY_BYTES);
    let _ = write!(head, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    Message(HeaderLines(head))
}

impl Message {
    /// Adds a field. Control characters in the value are replaced by spaces.
    pub fn field(mut self, name: &str, value: &str) -> Self {
        self.0.field(name, value);
        self
    }

    /// Adds a field with an integer value.
    pub fn number(mut self, name: &str, value: u64) -> Self {
        let _ = write!(self.0.0, "{name}: {value}\r\n");
        self
    }

    /// Adds encoded header lines.
    pub fn lines(mut self, lines: &HeaderLines) -> Self {
        self.0.0.extend_from_slice(&lines.0);
        self
    }

    /// Ends the message with this body and its `Content-Length`.
    pub fn body(mut self, bytes: &[u8]) -> Vec<u8> {
        self = self.number("Content-Length", bytes.len() as u64);
        self.0.0.extend_from_slice(b"\r\n");
        self.0.0.extend_from_slice(bytes);
        self.0.0
    }

    /// Ends the head of a message whose body follows in chunks.
    pub fn chunked(mut self) -> Vec<u8> {
        self.0.field("Transfer-Encoding", "chunked");
        self.0.0.extend_from_slice(b"\r\n");
        self.0.0
    }

    /// Ends a message without a body.
    pub fn empty(mut self) -> Vec<u8> {
        self.0.0.extend_from_slice(b"\r\n");
        self.0.0
    }
}

/// Encodes one chunk of a chunked body. An empty chunk ends the body.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
    out
}

/// The problem details of an error (RFC 9457): `type`, `title`, `status` and `detail`. As extensions it has
/// `reason`, the code in the log; `id`, the request's id, if known; and `retry-after-ms`, if the client may
/// retry.
pub fn problem(fault: &Fault, id: Option<&str>, retry_after_ms: Option<u64>) -> Vec<u8> {
    let mut body = json!({
        "type": format!("urn:applepond:problem:{}", fault.reason),
        "title": reason_phrase(fault.status),
        "status": fault.status,
        "detail": fault.detail,
        "reason": fault.reason,
    });
    if let Some(id) = id {
        body["id"] = json!(id);
    }
    if let Some(ms) = retry_after_ms {
        body["retry-after-ms"] = json!(ms);
    }
    body.to_string().into_bytes()
}

/// A complete response with problem details. `Retry-After` is in seconds (RFC 9110, section 10.2.3), rounded
/// up.
pub fn problem_response(
    fault: &Fault,
    id: Option<&str>,
    retry_after_ms: Option<u64>,
    keep_alive: bool,
) -> Vec<u8> {
    let mut head = response(fault.status).field("Content-Type", "application/problem+json");
    if let Some(ms) = retry_after_ms {
        head = head.field("Retry-After", &ms.div_ceil(1000).max(1).to_string());
    }
    if !keep_alive {
        head = head.field("Connection", "close");
    }
    head.body(&problem(fault, id, retry_after_ms))
}
