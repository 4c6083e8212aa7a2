//! The clients' side: reads exchanges, one at a time a connection, and writes what each is answered.
use crate::deadline::RequestedDeadline;
use crate::idempotency::Ending;
use applepond::interface::{Micros, RequestId};
use applepond_http::cloudevent::{self, EventSink, Reader};
use applepond_http::decode::{Decoder, Fields, Side, Step, Visitor};
use applepond_http::encode::Lines;
use applepond_http::{Fault, encode};
use applepond_reactor::{Conn, Transport};
use std::rc::Rc;

/// Bytes of a head at most (431 beyond): four times what event headers take.
const HEAD_MOST: usize = 16 * 1024;
/// µs in which a request must be whole from its first byte on, or 408: a client that sends a byte a second
/// holds no connection for long.
const READ_LIMIT: Micros = 10_000_000;
/// µs that a connection may lie idle between two exchanges.
const IDLE_LIMIT: Micros = 60_000_000;
/// µs in which a client must take its answer: one that never reads holds no buffer for long.
const WRITE_LIMIT: Micros = 10_000_000;
/// Bytes of later requests that may wait behind one that is being answered; then reading pauses.
const PIPELINE_MOST: usize = 64 * 1024;

/// What the event of one exchange says, as its attributes come in; a decoded field goes where it is needed.
#[derive(Default)]
pub struct Draft {
    pub id: String,
    pub source: String,
    pub kind: String,
    pub asked: RequestedDeadline,
    pub retry: bool,
    /// All attributes as the header lines that go on to the worker: one buffer, not a pair of texts for each.
    pub lines: Lines,
    /// Values of the attributes that name function and customer, in the order of `names`.
    picked: Vec<Option<String>>,
    names: Rc<[String]>,
    pub media: Option<String>,
    pub data: Vec<u8>,
    bad: Option<Fault>,
}

impl Draft {
    fn new(names: &Rc<[String]>) -> Self {
        Draft { names: names.clone(), picked: vec![None; names.len()], ..Draft::default() }
    }

    /// The value of an attribute that the deployment names.
    pub fn picked(&self, name: &str) -> Option<&str> {
        self.names.iter().zip(&self.picked).find(|(n, _)| *n == name).and_then(|(_, v)| v.as_deref())
    }
}

impl EventSink for Draft {
    fn attribute(&mut self, name: &str, value: &str) {
        match name {
            "id" => self.id = value.to_owned(),
            "source" => self.source = value.to_owned(),
            "type" => self.kind = value.to_owned(),
            "retry" => self.retry = value == "true",
            _ => {}
        }
        if let Err(why) = self.asked.read_attribute(name, value) {
            self.bad = Some(why);
        }
        if let Some(n) = self.names.iter().position(|n| n == name) {
            self.picked[n] = Some(value.to_owned());
        }
        cloudevent::attribute(&mut self.lines, name, value);
    }

    fn data(&mut self, media: Option<&str>, bytes: Vec<u8>) {
        self.media = media.map(str::to_owned);
        self.data = bytes;
    }
}

/// One request while it comes in.
struct Incoming {
    names: Rc<[String]>,
    draft: Draft,
    reader: Option<Reader>,
    body: Vec<u8>,
    state_page: bool,
    go_on: bool,
    keep: bool,
}

impl Incoming {
    fn new(names: Rc<[String]>) -> Self {
        Incoming {
            draft: Draft::new(&names),
            names,
            reader: None,
            body: Vec::new(),
            state_page: false,
            go_on: false,
            keep: false,
        }
    }
}

impl Visitor for Incoming {
    fn request(&mut self, method: &str, target: &str, fields: &Fields<'_>) -> Result<(), Fault> {
        *self = Incoming::new(self.names.clone());
        let path = target.split('?').next().unwrap_or(target);
        match (method, path) {
            ("GET", "/-/state") => self.state_page = true,
            ("POST", "/" | "/events") => self.reader = Some(Reader::head(fields, &mut self.draft)?),
            (_, "/" | "/events" | "/-/state") => {
                let detail = "events are taken by POST, the state is read by GET";
                return Err(Fault::new(405, "bad-method", detail));
            }
            _ => return Err(Fault::new(404, "no-such-path", "events are taken at /events")),
        }
        match fields.get("expect") {
            None => {}
            Some(what) if what.eq_ignore_ascii_case("100-continue") => self.go_on = true,
            Some(_) => return Err(Fault::new(417, "bad-expectation", "100-continue is the one known")),
        }
        Ok(())
    }

    fn response(&mut self, _: u16, _: &Fields<'_>) -> Result<(), Fault> {
        Err(Fault::new(400, "bad-head", "a request is wanted"))
    }

    fn body(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        self.go_on = false;
        self.body.extend_from_slice(bytes);
        Ok(())
    }

    fn end(&mut self, keep: bool) -> Result<(), Fault> {
        self.go_on = false;
        self.keep = keep;
        let body = std::mem::take(&mut self.body);
        if let Some(reader) = self.reader.take() {
            reader.body(body, &mut self.draft)?;
        }
        match self.draft.bad.take() {
            Some(fault) => Err(fault),
            None => Ok(()),
        }
    }
}

/// A request's one answer, told to each exchange that waits for it and, where remembered, later ones.
pub struct Told {
    pub ending: Ending,
    pub status: u16,
    /// Reason code, in the log too.
    pub reason: &'static str,
    pub lines: Lines,
    pub body: Vec<u8>,
    pub come_back: Option<Micros>,
}

impl Told {
    /// The answer of a request that finished.
    pub fn finished(lines: Lines, body: Vec<u8>) -> Self {
        Told { ending: Ending::Finished, status: 200, reason: "finished", lines, body, come_back: None }
    }

    pub fn bytes(&self) -> usize {
        self.body.len() + self.lines.len()
    }

    fn encode(&self, keep: bool) -> Vec<u8> {
        let mut head = encode::response(self.status);
        head = head.lines(&self.lines);
        if let Some(wait) = self.come_back {
            head = head.field("Retry-After", &wait.div_ceil(1_000_000).max(1).to_string());
        }
        if !keep {
            head = head.field("Connection", "close");
        }
        head.body(&self.body)
    }
}

/// What an exchange asks for.
pub enum Ask {
    Event(Box<Draft>),
    StatePage,
}

#[derive(Clone, Copy, PartialEq)]
enum Doing {
    Reading,
    /// A request is whole; its answer is awaited.
    Waiting,
    /// Nothing more is read; the connection goes once its answer is out.
    Leaving,
}

/// One client connection.
pub struct Caller {
    decoder: Decoder,
    incoming: Incoming,
    doing: Doing,
    pub request: Option<RequestId>,
    keep: bool,
    peer_ended: bool,
    /// When patience with what is done now ends.
    until: Micros,
}

/// What a look at the clock says of a connection.
#[derive(Debug, PartialEq)]
pub enum Patience {
    /// Look again then.
    Until(Micros),
    Over,
}

impl Caller {
    /// `names` are the attributes by which the deployment names functions and customers.
    pub fn new(now: Micros, body_most: u64, names: Rc<[String]>) -> Self {
        Caller {
            decoder: Decoder::new(Side::Server, HEAD_MOST, body_most),
            incoming: Incoming::new(names),
            doing: Doing::Reading,
            request: None,
            keep: true,
            peer_ended: false,
            until: now + READ_LIMIT,
        }
    }

    /// Other names from the next request on; one that is half read keeps those that it began with.
    pub fn rename(&mut self, names: &Rc<[String]>) {
        self.incoming.names = names.clone();
        if self.doing == Doing::Waiting || self.decoder.idle() {
            self.incoming = Incoming::new(names.clone());
        }
    }

    pub fn feed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        if self.doing == Doing::Leaving {
            return;
        }
        if self.doing == Doing::Reading && self.decoder.idle() {
            self.until = now + READ_LIMIT;
        }
        self.decoder.feed(bytes);
        if self.doing == Doing::Waiting && self.decoder.waiting() > PIPELINE_MOST {
            transport.reading(conn, false);
        }
    }

    /// The next whole request, if the one before has been answered.
    pub fn next(&mut self, transport: &mut dyn Transport, conn: Conn) -> Option<Result<Ask, Fault>> {
        if self.doing != Doing::Reading {
            return None;
        }
        match self.decoder.step(&mut self.incoming) {
            Ok(Step::Done) => {
                self.doing = Doing::Waiting;
                self.keep = self.incoming.keep;
                let fresh = Incoming::new(self.incoming.names.clone());
                let incoming = std::mem::replace(&mut self.incoming, fresh);
                let page = incoming.state_page;
                Some(Ok(if page { Ask::StatePage } else { Ask::Event(Box::new(incoming.draft)) }))
            }
            Ok(Step::More) => {
                if std::mem::take(&mut self.incoming.go_on) {
                    transport.write(conn, encode::CONTINUE);
                }
                None
            }
            Err(fault) => Some(Err(fault)),
        }
    }

    /// Answers the exchange that waits; whatever comes after it is read on.
    pub fn answer(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, told: &Told) {
        if self.doing != Doing::Waiting {
            return;
        }
        let keep = self.keep && !(self.peer_ended && self.decoder.idle());
        transport.write(conn, &told.encode(keep));
        self.request = None;
        if keep {
            self.doing = Doing::Reading;
            self.until = now + WRITE_LIMIT;
            transport.reading(conn, !self.peer_ended);
        } else {
            self.leave(now, transport, conn);
        }
    }

    /// Answers what cannot be read, and ends the connection: where the next request begins is not known.
    pub fn refuse(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, fault: &Fault) {
        transport.write(conn, &encode::problem_answer(fault, None, None, false));
        self.leave(now, transport, conn);
    }

    fn leave(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        self.doing = Doing::Leaving;
        self.until = now + WRITE_LIMIT;
        transport.finish(conn);
    }

    /// The peer ended its side: it may still read, so what it asked before is answered first.
    pub fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        self.peer_ended = true;
        if self.doing == Doing::Reading {
            match self.decoder.finish(&mut self.incoming) {
                Err(fault) if self.decoder.in_body() || self.decoder.waiting() > 0 => {
                    self.refuse(now, transport, conn, &fault);
                }
                _ => self.leave(now, transport, conn),
            }
        }
    }

    /// The answer has left.
    pub fn flushed(&mut self, now: Micros) {
        if self.doing == Doing::Reading {
            self.until = now + IDLE_LIMIT;
        }
    }

    /// A look at the clock: 408 for a request that does not come to its end, silence for an idle connection,
    /// the end for a client that does not take its answer.
    pub fn patience(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) -> Patience {
        if self.doing == Doing::Waiting {
            return Patience::Until(now + READ_LIMIT);
        }
        if now < self.until {
            return Patience::Until(self.until);
        }
        let unsent = transport.unsent(conn) > 0;
        if self.doing == Doing::Leaving || unsent {
            transport.cut(conn);
            return Patience::Over;
        }
        if self.decoder.idle() && now < self.until + IDLE_LIMIT - WRITE_LIMIT {
            return Patience::Until(self.until + IDLE_LIMIT - WRITE_LIMIT);
        }
        if self.decoder.idle() {
            self.leave(now, transport, conn);
        } else {
            let detail = "the request did not come to its end in time";
            self.refuse(now, transport, conn, &Fault::new(408, "slow-request", detail));
        }
        Patience::Until(self.until)
    }
}

/// An answer that carries a problem (RFC 9457).
pub fn problem(ending: Ending, fault: &Fault, id: Option<&str>, come_back: Option<Micros>) -> Rc<Told> {
    let body = encode::problem(fault, id, come_back.map(|us| us / 1000));
    let mut lines = Lines::default();
    lines.field("Content-Type", "application/problem+json");
    Rc::new(Told { ending, status: fault.status, reason: fault.reason, lines, body, come_back })
}
