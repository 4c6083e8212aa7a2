//! The client side: one request at a time on a connection, and its answer.
//!
//! Each [`ClientConnection`] owns the state of one connection. When it times out is kept beside it, in
//! `client_timeouts`.
use applepond::interface::{Micros, RequestId};
use applepond_http::decode::{Decoder, Side, Step};
use applepond_http::{Fault, encode};
use applepond_platform::call::{CallVisitor, MAX_BODY_BYTES, ParsedRequest, RequestKind};
use applepond_platform::config::NodeConfig;
use applepond_reactor::{Conn, Transport};

/// Bytes of a head at most (431 beyond): calls have a few hundred.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Time in which a new connection must have brought a complete request, and an answer must have been taken:
/// the platform wants to see silent clients off within three seconds.
pub(crate) const SILENCE_TIMEOUT: Micros = 2_000_000;
/// Time that a connection may be idle between two requests: clients close theirs after four seconds, some
/// never do.
const IDLE_TIMEOUT: Micros = 6_000_000;
/// Bytes of later requests that may wait behind one that is being answered. What comes beyond is read and
/// dropped, as the client's end could not be seen behind it, and the connection is closed with the answer.
const MAX_PIPELINED_BYTES: usize = 32 * 1024;
/// Bytes dropped at most before the connection is cut: a platform's client sends one request at a time.
const MAX_DROPPED_BYTES: usize = 1024 * 1024;

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Phase {
    Reading,
    /// A request is complete; its answer is awaited.
    AwaitingAnswer,
    /// Nothing more is read; the connection is closed once its answer is out.
    Closing,
}

/// The answer to a request.
pub(crate) struct Reply {
    pub(crate) status: u16,
    /// Sent as `Back-Off-Ms`.
    pub(crate) retry_after: Option<Micros>,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    /// An answer without a body.
    pub(crate) fn status_only(status: u16) -> Self {
        Reply { status, retry_after: None, body: Vec::new() }
    }
}

/// A complete request of a client.
pub(crate) struct ClientRequest {
    /// What is asked.
    pub(crate) kind: RequestKind,
    pub(crate) body: Vec<u8>,
    /// When its first byte arrived, or earlier: the client's time runs from there.
    pub(crate) first_byte_at: Micros,
}

/// One client connection.
pub(crate) struct ClientConnection {
    decoder: Decoder,
    parsed: ParsedRequest,
    pub(crate) phase: Phase,
    /// The request whose answer is awaited, if it has gone to `Control`.
    pub(crate) request: Option<RequestId>,
    /// It has been answered before, and nothing of its next request is here.
    pub(crate) is_idle: bool,
    /// Bytes of later requests that were dropped.
    dropped_bytes: usize,
    /// When the first byte arrived of the request that is read or awaits its answer, and of the one behind
    /// it.
    first_byte_at: Option<Micros>,
    next_first_byte_at: Option<Micros>,
    /// When the last bytes arrived.
    last_bytes_at: Micros,
    /// When the timeout of the current phase is over.
    pub(crate) timeout_at: Micros,
}

impl ClientConnection {
    /// A connection that was accepted now.
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

    /// Whether nothing of a request has arrived since the last one was complete.
    pub(crate) fn is_between_requests(&self) -> bool {
        self.decoder.idle()
    }

    /// Takes bytes that arrived at `arrived_at` or later; false where the connection is to be cut.
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
        let is_full = self.phase == Phase::AwaitingAnswer && self.decoder.waiting() > MAX_PIPELINED_BYTES;
        if self.dropped_bytes > 0 || is_full {
            self.dropped_bytes += bytes.len();
        } else {
            self.decoder.feed(bytes);
        }
        self.dropped_bytes <= MAX_DROPPED_BYTES
    }

    /// The next complete request, if the one before has been answered; a fault where it cannot be read.
    pub(crate) fn next_request(
        &mut self,
        transport: &mut dyn Transport,
        conn: Conn,
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
                if self.decoder.waiting() > 0 {
                    self.next_first_byte_at.get_or_insert(self.last_bytes_at);
                }
                let kind =
                    self.parsed.kind.take().expect("the decoder gives a head before its request's end");
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

    /// Answers the request that awaits it; what comes after it is read next, unless this is the `last` answer
    /// that the process gives here.
    pub(crate) fn answer(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: Conn,
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

    /// Answers what is no call, and closes the connection: where the next request starts is not known.
    pub(crate) fn refuse(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, fault: &Fault) {
        transport.write(conn, &encode::problem_answer(fault, None, None, false));
        self.close(now, transport, conn);
    }

    /// Nothing more is read; the connection is closed once all that was written is out.
    pub(crate) fn close(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        self.phase = Phase::Closing;
        self.is_idle = false;
        self.timeout_at = now + SILENCE_TIMEOUT;
        transport.finish(conn);
    }
}
