//! One client connection: requests are read and answered one at a time. Clients that send a request or read
//! its answer too slowly are disconnected.
use super::answer::Answer;
use super::event::{ReceivedEvent, RequestReader};
use applepond::interface::{Micros, RequestId};
use applepond_http::decode::{Decoder, Side, Step};
use applepond_http::{Fault, encode};
use applepond_reactor::{ConnectionId, Transport};
use std::rc::Rc;

/// Maximum size of a request's head (431 if exceeded): four times the size of typical event headers.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Time from the first byte of a request until it must be complete (408 if exceeded), so that a client that
/// trickles bytes cannot occupy a connection.
const READ_TIMEOUT: Micros = 10_000_000;
/// Maximum idle time of a connection between two requests.
const IDLE_TIMEOUT: Micros = 60_000_000;
/// Time in which a client must read its answer, so that one that never reads cannot occupy a buffer.
const WRITE_TIMEOUT: Micros = 10_000_000;
/// Size of the pipelined requests buffered behind one in progress; beyond it, reading pauses.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// A complete request of a client.
pub(crate) enum ClientRequest {
    /// An event: a request for a function or a workflow.
    Event(Box<ReceivedEvent>),
    /// The state page.
    StatePage,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Reading,
    /// A request is complete and has not been answered.
    AwaitingAnswer,
    /// Nothing more is read; the connection is closed once its answer has been sent.
    Closing,
}

/// Result of a timeout check.
#[derive(Debug, PartialEq)]
pub(crate) enum TimeoutCheck {
    /// The next check is due at this time.
    CheckAt(Micros),
    /// The connection had timed out and was aborted.
    Closed,
}

/// One client connection.
pub(crate) struct ClientConnection {
    decoder: Decoder,
    reader: RequestReader,
    phase: Phase,
    /// The request or workflow that the client waits for, if its event was not answered at once.
    pub(crate) request: Option<RequestId>,
    /// The current request allows further ones on the connection.
    keep_alive: bool,
    /// The client has closed its sending side.
    peer_half_closed: bool,
    /// When the current phase times out.
    timeout_at: Micros,
}

impl ClientConnection {
    /// Creates the state of a connection accepted now. `attribute_names` are the event attributes that the
    /// deployment reads by name.
    pub(crate) fn new(now: Micros, max_event_bytes: u64, attribute_names: Rc<[String]>) -> Self {
        ClientConnection {
            decoder: Decoder::new(Side::Server, MAX_HEAD_BYTES, max_event_bytes),
            reader: RequestReader::new(attribute_names),
            phase: Phase::Reading,
            request: None,
            keep_alive: true,
            peer_half_closed: false,
            timeout_at: now + READ_TIMEOUT,
        }
    }

    /// Sets the attributes read by name from the next request on; one that has been read in part keeps the
    /// old ones.
    pub(crate) fn set_attribute_names(&mut self, attribute_names: &Rc<[String]>) {
        self.reader.set_attribute_names(attribute_names.clone());
        if self.phase == Phase::AwaitingAnswer || self.decoder.idle() {
            self.reader = RequestReader::new(attribute_names.clone());
        }
    }

    /// Processes received bytes.
    pub(crate) fn feed(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        bytes: &[u8],
    ) {
        if self.phase == Phase::Closing {
            return;
        }
        if self.phase == Phase::Reading && self.decoder.idle() {
            self.timeout_at = now + READ_TIMEOUT;
        }
        self.decoder.feed(bytes);
        if self.phase == Phase::AwaitingAnswer && self.decoder.buffered_bytes() > MAX_PIPELINED_BYTES {
            transport.set_reading(conn, false);
        }
    }

    /// Returns the next complete request, if the one before has been answered, or a fault if it is malformed.
    pub(crate) fn next_request(
        &mut self,
        transport: &mut dyn Transport,
        conn: ConnectionId,
    ) -> Option<Result<ClientRequest, Fault>> {
        if self.phase != Phase::Reading {
            return None;
        }
        match self.decoder.step(&mut self.reader) {
            Ok(Step::Done) => {
                self.phase = Phase::AwaitingAnswer;
                self.keep_alive = self.reader.keep_alive;
                let request = self.reader.take();
                if request.is_state_page {
                    return Some(Ok(ClientRequest::StatePage));
                }
                Some(Ok(ClientRequest::Event(Box::new(request.event))))
            }
            Ok(Step::More) => {
                if std::mem::take(&mut self.reader.expects_continue) {
                    transport.write(conn, encode::CONTINUE);
                }
                None
            }
            Err(fault) => Some(Err(fault)),
        }
    }

    /// Sends the answer to the current request; the next one is read after it.
    pub(crate) fn answer(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        answer: &Answer,
    ) {
        if self.phase != Phase::AwaitingAnswer {
            return;
        }
        let keep_alive = self.keep_alive && !(self.peer_half_closed && self.decoder.idle());
        transport.write(conn, &answer.encode(keep_alive));
        self.request = None;
        if keep_alive {
            self.phase = Phase::Reading;
            self.timeout_at = now + WRITE_TIMEOUT;
            transport.set_reading(conn, !self.peer_half_closed);
        } else {
            self.close(now, transport, conn);
        }
    }

    /// Answers a malformed request and closes the connection, as the start of the next request is unknown.
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

    fn close(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        self.phase = Phase::Closing;
        self.timeout_at = now + WRITE_TIMEOUT;
        transport.finish(conn);
    }

    /// Handles a half-close by the client. It may still read, so a complete request is answered first.
    pub(crate) fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        self.peer_half_closed = true;
        if self.phase == Phase::Reading {
            match self.decoder.finish(&mut self.reader) {
                Err(fault) if self.decoder.in_body() || self.decoder.buffered_bytes() > 0 => {
                    self.refuse(now, transport, conn, &fault);
                }
                _ => self.close(now, transport, conn),
            }
        }
    }

    /// Handles the end of a write: the idle timeout starts.
    pub(crate) fn flushed(&mut self, now: Micros) {
        if self.phase == Phase::Reading {
            self.timeout_at = now + IDLE_TIMEOUT;
        }
    }

    /// Checks the timeouts: answers an incomplete request with 408, closes an idle connection, and aborts the
    /// connection of a client that does not read its answer.
    pub(crate) fn check_timeout(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
    ) -> TimeoutCheck {
        if self.phase == Phase::AwaitingAnswer {
            return TimeoutCheck::CheckAt(now + READ_TIMEOUT);
        }
        if now < self.timeout_at {
            return TimeoutCheck::CheckAt(self.timeout_at);
        }
        let has_unsent = transport.unsent(conn) > 0;
        if self.phase == Phase::Closing || has_unsent {
            transport.abort(conn);
            return TimeoutCheck::Closed;
        }
        if self.decoder.idle() && now < self.timeout_at + IDLE_TIMEOUT - WRITE_TIMEOUT {
            return TimeoutCheck::CheckAt(self.timeout_at + IDLE_TIMEOUT - WRITE_TIMEOUT);
        }
        if self.decoder.idle() {
            self.close(now, transport, conn);
        } else {
            let detail = "the request did not come to its end in time";
            self.refuse(now, transport, conn, &Fault::new(408, "slow-request", detail));
        }
        TimeoutCheck::CheckAt(self.timeout_at)
    }
}
