//! One client connection: exchanges are read one after the other, each is answered before the next is read,
//! and a client that is too slow at either is let go.
use super::answer::Answer;
use super::event::{EventDraft, ExchangeReader};
use applepond::interface::{Micros, RequestId};
use applepond_http::decode::{Decoder, Side, Step};
use applepond_http::{Fault, encode};
use applepond_reactor::{Conn, Transport};
use std::rc::Rc;

/// Bytes of a head at most (431 beyond): four times what event headers take.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Time in which a request must be complete from its first byte on, or 408: a client that sends a byte a
/// second holds no connection for long.
const READ_TIMEOUT: Micros = 10_000_000;
/// Time that a connection may be idle between two exchanges.
const IDLE_TIMEOUT: Micros = 60_000_000;
/// Time in which a client must take its answer: one that never reads holds no buffer for long.
const WRITE_TIMEOUT: Micros = 10_000_000;
/// Bytes of later requests that may wait behind one that is being answered; then reading pauses.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// What an exchange asks for.
pub(crate) enum ClientRequest {
    /// An event: a request for a function or a workflow.
    Event(Box<EventDraft>),
    /// The state page.
    StatePage,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Reading,
    /// A request is complete; its answer is awaited.
    AwaitingAnswer,
    /// Nothing more is read; the connection is closed once its answer is out.
    Closing,
}

/// What a timeout check says of a connection.
#[derive(Debug, PartialEq)]
pub(crate) enum TimeoutCheck {
    /// It is to be checked again then.
    CheckAt(Micros),
    /// It has timed out and was cut.
    Closed,
}

/// One client connection.
pub(crate) struct ClientConnection {
    decoder: Decoder,
    reader: ExchangeReader,
    phase: Phase,
    /// The request or workflow whose answer is awaited, where it is not answered at once.
    pub(crate) request: Option<RequestId>,
    /// The exchange that is being answered allows a further one.
    keep_alive: bool,
    /// The client has closed its sending side.
    peer_half_closed: bool,
    /// When the timeout of the current phase is over.
    timeout_at: Micros,
}

impl ClientConnection {
    /// A connection that was accepted now. `attribute_names` are the event attributes that the deployment
    /// reads by name.
    pub(crate) fn new(now: Micros, max_event_bytes: u64, attribute_names: Rc<[String]>) -> Self {
        ClientConnection {
            decoder: Decoder::new(Side::Server, MAX_HEAD_BYTES, max_event_bytes),
            reader: ExchangeReader::new(attribute_names),
            phase: Phase::Reading,
            request: None,
            keep_alive: true,
            peer_half_closed: false,
            timeout_at: now + READ_TIMEOUT,
        }
    }

    /// Other attributes are read by name from the next exchange on; one that is half read keeps those that it
    /// started with.
    pub(crate) fn set_attribute_names(&mut self, attribute_names: &Rc<[String]>) {
        self.reader.set_attribute_names(attribute_names.clone());
        if self.phase == Phase::AwaitingAnswer || self.decoder.idle() {
            self.reader = ExchangeReader::new(attribute_names.clone());
        }
    }

    /// Takes bytes that have arrived.
    pub(crate) fn feed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
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

    /// The next complete request, if the one before has been answered; a fault where it cannot be read.
    pub(crate) fn next_request(
        &mut self,
        transport: &mut dyn Transport,
        conn: Conn,
    ) -> Option<Result<ClientRequest, Fault>> {
        if self.phase != Phase::Reading {
            return None;
        }
        match self.decoder.step(&mut self.reader) {
            Ok(Step::Done) => {
                self.phase = Phase::AwaitingAnswer;
                self.keep_alive = self.reader.keep_alive;
                let exchange = self.reader.take();
                if exchange.is_state_page {
                    return Some(Ok(ClientRequest::StatePage));
                }
                Some(Ok(ClientRequest::Event(Box::new(exchange.draft))))
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

    /// Answers the exchange that awaits it; what comes after it is read next.
    pub(crate) fn answer(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, answer: &Answer) {
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

    /// Answers what cannot be read, and closes the connection: where the next request starts is not known.
    pub(crate) fn refuse(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, fault: &Fault) {
        transport.write(conn, &encode::problem_response(fault, None, None, false));
        self.close(now, transport, conn);
    }

    fn close(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        self.phase = Phase::Closing;
        self.timeout_at = now + WRITE_TIMEOUT;
        transport.finish(conn);
    }

    /// The client closed its sending side: it may still read, so what it asked before is answered first.
    pub(crate) fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
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

    /// All that was written has left.
    pub(crate) fn flushed(&mut self, now: Micros) {
        if self.phase == Phase::Reading {
            self.timeout_at = now + IDLE_TIMEOUT;
        }
    }

    /// Checks the timeouts: 408 for a request that does not become complete, a plain close for an idle
    /// connection, a cut for a client that does not take its answer.
    pub(crate) fn check_timeout(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: Conn,
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
