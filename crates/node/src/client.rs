//! The state of one client connection, which handles one request at a time. Timeouts of all client
//! connections are tracked in `client_timeouts`.
use applepond::interface::{Micros, RequestId};
use applepond_http::decode::{Decoder, Side, Step};
use applepond_http::{Fault, encode};
use applepond_platform::call::{CallVisitor, MAX_BODY_BYTES, ParsedRequest, RequestKind};
use applepond_platform::config::NodeConfig;
use applepond_reactor::{ConnectionId, Transport};

/// Maximum size of a request head; a larger one is answered with status 431. Calls have a few hundred bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Time within which a new connection must send its first byte, a request must be complete after its first
/// byte, and a closing connection must be closed by the client. The platform requires that silent clients are
/// disconnected within 3 s.
pub(crate) const SILENCE_TIMEOUT: Micros = 2_000_000;
/// Maximum idle time between two requests. Most clients close their connections after 4 s, some never do.
const IDLE_TIMEOUT: Micros = 6_000_000;
/// Maximum number of buffered bytes of pipelined requests. Bytes beyond that are read and dropped, as a
/// hang-up behind unread bytes would not be detected, and the connection is closed with the response.
const MAX_PIPELINED_BYTES: usize = 32 * 1024;
/// Maximum number of dropped bytes before the connection is aborted. The platform's clients do not pipeline.
const MAX_DROPPED_BYTES: usize = 1024 * 1024;

/// The phase of a client connection.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Phase {
    Reading,
    /// A request has been read and its response is pending.
    AwaitingAnswer,
    /// Further bytes are ignored; the connection is closed once its response has been written.
    Closing,
}

/// The response to a request.
pub(crate) struct Reply {
    pub(crate) status: u16,
    /// Sent as `Back-Off-Ms`.
    pub(crate) retry_after: Option<Micros>,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    /// A response without a body.
    pub(crate) fn status_only(status: u16) -> Self {
        Reply { status, retry_after: None, body: Vec::new() }
    }
}

/// A complete request from a client.
pub(crate) struct ClientRequest {
    pub(crate) kind: RequestKind,
    pub(crate) body: Vec<u8>,
    /// When its first byte arrived, or earlier. The client's deadline counts from there.
    pub(crate) first_byte_at: Micros,
}

/// A client connection.
pub(crate) struct ClientConnection {
    decoder: Decoder,
    parsed: ParsedRequest,
    pub(crate) phase: Phase,
    /// The request whose response is pending, if it was passed to `Control`.
    pub(crate) request: Option<RequestId>,
    /// Whether a request has been answered and nothing of the next one has been received.
    pub(crate) is_idle: bool,
    /// Number of dropped bytes of pipelined requests.
    dropped_bytes: usize,
    /// Arrival of the first byte of the current request, and of the pipelined request behind it.
    first_byte_at: Option<Micros>,
    next_first_byte_at: Option<Micros>,
    /// Arrival of the last bytes.
    last_bytes_at: Micros,
    /// When the current phase times out.
    pub(crate) timeout_at: Micros,
}

impl ClientConnection {
    /// Creates the state of a connection accepted at `now`.
    pub(crate) fn new(now: Micros) -> Self {
        ClientConnection {
            decoder: Decoder::new(Side::Server, MAX_HEAD_BYTES, MAX_BODY_BYTES),
            parsed: ParsedRequest::default(),
            phase: Phase::Reading,
            request: None,
            is_idle: false,
            dropped_bytes: 0,
            first_byte_at: None,
            next_first_byte_at: None,
            last_bytes_at: now,
            timeout_at: now + SILENCE_TIMEOUT,
        }
    }

    /// Whether no byte of an incomplete request has been received.
    pub(crate) fn is_between_requests(&self) -> bool {
        self.decoder.idle()
    }

    /// Processes bytes that arrived at `arrived_at` or later. Returns false if the connection must be
    /// aborted.
    pub(crate) fn feed(&mut self, now: Micros, arrived_at: Micros, bytes: &[u8]) -> bool {
        if self.phase == Phase::Closing {
            return true;
        }
        let first_byte_at = match self.phase {
            Phase::Reading => &mut self.first_byte_at,
            _ => &mut self.next_first_byte_at,
        };
        first_byte_at.get_or_insert(arrived_at);
        self.last_bytes_at = arrived_at;
        if self.phase == Phase::Reading && self.decoder.idle() {
            self.timeout_at = now + SILENCE_TIMEOUT;
            self.is_idle = false;
        }
        let is_full =
            self.phase == Phase::AwaitingAnswer && self.decoder.buffered_bytes() > MAX_PIPELINED_BYTES;
        if self.dropped_bytes > 0 || is_full {
            self.dropped_bytes += bytes.len();
        } else {
            self.decoder.feed(bytes);
        }
        self.dropped_bytes <= MAX_DROPPED_BYTES
    }

    /// Returns the next complete request once the previous one has been answered, or an error if the request
    /// is invalid.
    pub(crate) fn next_request(
        &mut self,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        config: &NodeConfig,
    ) -> Option<Result<ClientRequest, Fault>> {
        if self.phase != Phase::Reading {
            return None;
        }
        let NodeConfig { names, startup, deadlines, .. } = config;
        let mut visitor = CallVisitor { names, startup, deadlines, parsed: &mut self.parsed };
        match self.decoder.step(&mut visitor) {
            Ok(Step::Done) => {
                self.phase = Phase::AwaitingAnswer;
                if self.decoder.buffered_bytes() > 0 {
                    self.next_first_byte_at.get_or_insert(self.last_bytes_at);
                }
                let kind = self
                    .parsed
                    .kind
                    .take()
                    .expect("the decoder reports the head before the end of a request");
                let first_byte_at = self.first_byte_at.unwrap_or(self.last_bytes_at);
                let body = std::mem::take(&mut self.parsed.body);
                Some(Ok(ClientRequest { kind, body, first_byte_at }))
            }
            Ok(Step::More) => {
                if std::mem::take(&mut self.parsed.awaits_continue) {
                    transport.write(conn, encode::CONTINUE);
                }
                None
            }
            Err(fault) => Some(Err(fault)),
        }
    }

    /// Answers the current request. If `last` is set, the connection is closed after the response.
    pub(crate) fn answer(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        reply: &Reply,
        last: bool,
    ) {
        if self.phase != Phase::AwaitingAnswer {
            return;
        }
        let keep_alive = self.parsed.keep_alive && !last && self.dropped_bytes == 0;
        let mut head = encode::response(reply.status);
        if let Some(wait) = reply.retry_after {
            head = head.number("Back-Off-Ms", wait.div_ceil(1000));
        }
        if !keep_alive {
            head = head.field("Connection", "close");
        }
        transport.write(conn, &head.body(&reply.body));
        self.request = None;
        if keep_alive {
            self.phase = Phase::Reading;
            self.first_byte_at = self.next_first_byte_at.take();
            self.timeout_at = now + IDLE_TIMEOUT;
            self.is_idle = self.decoder.idle();
        } else {
            self.close(now, transport, conn);
        }
    }

    /// Answers an invalid request with an error and closes the connection, as the start of the next request
    /// is unknown.
    pub(crate) fn refuse(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        fault: &Fault,
    ) {
        transport.write(conn, &encode::problem_response(fault, None, None, false));
        self.close(now, transport, conn);
    }

    /// Stops reading; the connection is closed once everything written has been sent.
    pub(crate) fn close(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        self.phase = Phase::Closing;
        self.is_idle = false;
        self.timeout_at = now + SILENCE_TIMEOUT;
        transport.finish(conn);
    }
}
