//! What the peers saw on their sockets, in order of time.
use applepond_reactor::Micros;
use std::cell::RefCell;
use std::rc::Rc;

/// An event's `source` and `id`, as one text.
pub type Event = Rc<str>;

#[derive(Clone, Debug, PartialEq)]
pub enum Saw {
    /// The host list wrote this to a router.
    Told { router: u64, worker: Rc<str>, ready: bool, started: u64 },
    /// A worker read a whole request.
    Came { worker: Rc<str>, rack: i64, router: u64, event: Event },
    /// It turned it away unseen, by its mark.
    TurnedAway { worker: Rc<str>, event: Event },
    /// Its work began: the effect counts from here.
    Began { worker: Rc<str>, event: Event },
    /// A request came whose lease has an opening kept.
    Pinned { worker: Rc<str>, router: u64, opening: Rc<str> },
    /// It prepared an opening, which took so many µs of a core.
    Prepared { worker: Rc<str>, opening: Rc<str>, took: Micros },
    /// Its work ended by itself: one that was cancelled does not.
    Done { worker: Rc<str>, event: Event },
    /// A repeat that the worker's rack dropped.
    Dropped { worker: Rc<str>, event: Event },
    /// Its process started.
    Rose { worker: Rc<str> },
    /// A cold worker was sent more than it bears, and fell over; the routers' own parts of that work.
    Fell { worker: Rc<str>, by: Vec<u64> },
    /// The store took or turned away a fetch.
    Fetch { taken: bool },
    /// The client wrote an exchange's request to a router.
    Asked { exchange: u64, router: u64, event: Event, limit: Micros },
    /// An answer came: its status, and whether the exchange was still open.
    Answered { exchange: u64, status: u16 },
    /// Bytes came that belong to no exchange that is open.
    Stray { exchange: u64 },
    /// The connection ended without an answer.
    Cut { exchange: u64 },
    /// The client left before its answer, on purpose.
    Left { exchange: u64 },
    /// The client's time was up.
    GaveUp { exchange: u64 },
}

#[derive(Clone, Default)]
pub struct Ledger(Rc<RefCell<Vec<(Micros, Saw)>>>);

impl Ledger {
    pub fn write(&self, now: Micros, saw: Saw) {
        self.0.borrow_mut().push((now, saw));
    }

    pub fn read<T>(&self, look: impl FnOnce(&[(Micros, Saw)]) -> T) -> T {
        look(&self.0.borrow())
    }
}
