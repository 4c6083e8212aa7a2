//! The clients' side: one request at a time a connection, and its answer.
use applepond::interface::{Micros, RequestId};
use applepond_http::decode::{Decoder, Side, Step};
use applepond_http::{Fault, encode};
use applepond_platform::call::{Ask, BODY_MOST, Incoming, Part};
use applepond_platform::config::Start;
use applepond_reactor::{Conn, Transport};
use std::collections::BTreeSet;

/// Bytes of a head at most (431 beyond): calls have a few hundred.
const HEAD_MOST: usize = 8 * 1024;
/// µs in which a new connection must have brought a whole request, and an answer must have been taken: the
/// platform wants to see silent clients off within three seconds.
const SILENT_LIMIT: Micros = 2_000_000;
/// µs that a connection may lie idle between two requests: clients close theirs after four seconds, some
/// never do.
const IDLE_LIMIT: Micros = 6_000_000;
/// µs after which a new connection that has brought nothing may make room for others: a call follows its
/// connection at once, give or take the way.
const NEW_LIMIT: Micros = 200_000;
/// Bytes of later requests that may wait behind one that is being answered. What comes beyond is read and
/// dropped, as the client's end could not be seen behind it, and the connection goes with the answer.
const AHEAD_MOST: usize = 32 * 1024;
/// Bytes dropped at most before the connection is cut: a platform's client sends one request at a time.
const DROPPED_MOST: usize = 1024 * 1024;

#[derive(Clone, Copy, PartialEq)]
pub enum Doing {
    Reading,
    /// A request is whole; its answer is awaited.
    Waiting,
    /// Nothing more is read; the connection goes once its answer is out.
    Leaving,
}

/// What a client is told in the end.
pub struct Reply {
    pub status: u16,
    pub come_back: Option<Micros>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn bare(status: u16) -> Self {
        Reply { status, come_back: None, body: Vec::new() }
    }
}

/// A whole request of a client.
pub struct Request {
    /// What is asked.
    pub ask: Ask,
    /// Its body.
    pub body: Vec<u8>,
    /// When its first byte came, or earlier: the client's time runs from there.
    pub begun: Micros,
}

/// One client connection.
pub struct Caller {
    decoder: Decoder,
    part: Part,
    pub doing: Doing,
    pub request: Option<RequestId>,
    /// It has been answered before, and nothing of its next request is here.
    idle: bool,
    /// Bytes of later requests that were dropped.
    dropped: usize,
    /// When the first byte came of the request that is read or waits, and of the one behind it: a client's
    /// time runs from there.
    first_byte: Option<Micros>,
    next_first_byte: Option<Micros>,
    /// When the last bytes came.
    last_bytes: Micros,
    /// When patience with what is done now ends.
    pub until: Micros,
}

impl Caller {
    pub fn new(now: Micros) -> Self {
        Caller {
            decoder: Decoder::new(Side::Server, HEAD_MOST, BODY_MOST),
            part: Part::default(),
            doing: Doing::Reading,
            request: None,
            idle: false,
            dropped: 0,
            first_byte: None,
            next_first_byte: None,
            last_bytes: now,
            until: now + SILENT_LIMIT,
        }
    }

    /// Takes what came, at `arrived` or after; false where the connection is to be cut.
    pub fn feed(&mut self, now: Micros, arrived: Micros, bytes: &[u8]) -> bool {
        if self.doing == Doing::Leaving {
            return true;
        }
        let first_byte = match self.doing {
            Doing::Reading => &mut self.first_byte,
            _ => &mut self.next_first_byte,
        };
        first_byte.get_or_insert(arrived);
        self.last_bytes = arrived;
        if self.doing == Doing::Reading && self.decoder.idle() {
            self.until = now + SILENT_LIMIT;
            self.idle = false;
        }
        if self.dropped > 0 || self.doing == Doing::Waiting && self.decoder.waiting() > AHEAD_MOST {
            self.dropped += bytes.len();
        } else {
            self.decoder.feed(bytes);
        }
        self.dropped <= DROPPED_MOST
    }

    /// The next whole request with its body, if the one before has been answered.
    pub fn next(
        &mut self,
        transport: &mut dyn Transport,
        conn: Conn,
        start: &Start,
    ) -> Option<Result<Request, Fault>> {
        if self.doing != Doing::Reading {
            return None;
        }
        let Start { words, rows, deadlines, .. } = start;
        let mut incoming = Incoming { words, rows, deadlines, part: &mut self.part };
        match self.decoder.step(&mut incoming) {
            Ok(Step::Done) => {
                self.doing = Doing::Waiting;
                if self.decoder.waiting() > 0 {
                    self.next_first_byte.get_or_insert(self.last_bytes);
                }
                let ask = self.part.ask.take().expect("a head comes before its end");
                let begun = self.first_byte.unwrap_or(self.last_bytes);
                Some(Ok(Request { ask, body: std::mem::take(&mut self.part.body), begun }))
            }
            Ok(Step::More) => {
                if std::mem::take(&mut self.part.go_on) {
                    transport.write(conn, encode::CONTINUE);
                }
                None
            }
            Err(fault) => Some(Err(fault)),
        }
    }

    /// Answers the request that waits; whatever comes after it is read on. `last`: nothing more is taken
    /// here.
    pub fn answer(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: Conn,
        reply: &Reply,
        last: bool,
    ) {
        if self.doing != Doing::Waiting {
            return;
        }
        let keep = self.part.keep && !last && self.dropped == 0;
        let mut head = encode::response(reply.status);
        if let Some(wait) = reply.come_back {
            head = head.number("Back-Off-Ms", wait.div_ceil(1000));
        }
        if !keep {
            head = head.field("Connection", "close");
        }
        transport.write(conn, &head.body(&reply.body));
        self.request = None;
        if keep {
            self.doing = Doing::Reading;
            self.first_byte = self.next_first_byte.take();
            self.until = now + IDLE_LIMIT;
            self.idle = self.decoder.idle();
        } else {
            self.leave(now, transport, conn);
        }
    }

    /// Answers what is no call, and ends the connection: where the next request begins is not known.
    pub fn refuse(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, fault: &Fault) {
        transport.write(conn, &encode::problem_answer(fault, None, None, false));
        self.leave(now, transport, conn);
    }

    /// Nothing more is taken; the connection goes once all that is owed on it is out.
    pub fn leave(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        self.doing = Doing::Leaving;
        self.idle = false;
        self.until = now + SILENT_LIMIT;
        transport.finish(conn);
    }
}

/// Connections that wait for no request, by when patience with them ends: those that have brought nothing
/// yet, those that lie idle between two requests, and those amid a request or on their way out.
#[derive(Default)]
pub struct Patience {
    silent: BTreeSet<(Micros, Conn)>,
    idle: BTreeSet<(Micros, Conn)>,
    begun: BTreeSet<(Micros, Conn)>,
}

impl Patience {
    pub fn insert(&mut self, conn: Conn, caller: &Caller) {
        let set = match caller.doing {
            Doing::Reading if caller.idle => &mut self.idle,
            Doing::Reading if caller.decoder.idle() => &mut self.silent,
            _ => &mut self.begun,
        };
        set.insert((caller.until, conn));
    }

    pub fn remove(&mut self, conn: Conn, caller: &Caller) {
        let key = (caller.until, conn);
        for set in [&mut self.silent, &mut self.idle, &mut self.begun] {
            set.remove(&key);
        }
    }

    /// One with which patience is over.
    pub fn over(&self, now: Micros) -> Option<Conn> {
        let first = |set: &BTreeSet<(Micros, Conn)>| set.first().filter(|(until, _)| *until <= now).copied();
        let [silent, idle, begun] = [&self.silent, &self.idle, &self.begun].map(first);
        silent.or(begun).or(idle).map(|(_, conn)| conn)
    }

    /// Those that lie idle between two requests.
    pub fn idle(&self) -> Vec<Conn> {
        self.idle.iter().map(|(_, conn)| *conn).collect()
    }

    /// The one to make room for another: the longest silent, the longest idle, then the longest amid a
    /// request. One that has just come is the last, or a flood of idle ones would shut out whoever still has
    /// to ask. One that `owes` part of an answer goes only when its time is over.
    pub fn least(&self, now: Micros, owes: impl Fn(Conn) -> bool) -> Option<Conn> {
        let first = |set: &BTreeSet<(Micros, Conn)>| set.iter().find(|(_, conn)| !owes(*conn)).copied();
        let old = |set| first(set).filter(|(until, _)| now + SILENT_LIMIT >= until + NEW_LIMIT);
        let found = old(&self.silent).or_else(|| first(&self.idle)).or_else(|| old(&self.begun));
        found.or_else(|| first(&self.silent)).map(|(_, conn)| conn)
    }
}
