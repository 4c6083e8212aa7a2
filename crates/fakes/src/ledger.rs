//! What the test doubles saw on their sockets, in order of time.
use applepond_reactor::Micros;
use std::cell::RefCell;
use std::rc::Rc;

/// An event's `source` and `id`, as one text.
pub type Event = Rc<str>;

/// One observation.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The endpoint list wrote this to a router.
    EndpointSent {
        /// Index of the router.
        router: u64,
        /// Name of the worker.
        worker: Rc<str>,
        /// Whether it is listed as ready.
        ready: bool,
        /// When it started, in ms; 0 before the scenario.
        started_ms: u64,
    },
    /// A worker received a complete request.
    RequestReceived {
        /// Name of the worker.
        worker: Rc<str>,
        /// Its rack.
        rack: i64,
        /// Index of the router.
        router: u64,
        /// The event of the request.
        event: Event,
    },
    /// It rejected the request without running it.
    RequestRejected {
        /// Name of the worker.
        worker: Rc<str>,
        /// The event of the request.
        event: Event,
    },
    /// The request began to run: its effect counts from here.
    RequestStarted {
        /// Name of the worker.
        worker: Rc<str>,
        /// The event of the request.
        event: Event,
    },
    /// A request came with a lease that pins its prefix.
    PrefixPinned {
        /// Name of the worker.
        worker: Rc<str>,
        /// Index of the router.
        router: u64,
        /// Name of the prefix.
        opening: Rc<str>,
    },
    /// It prepared a prefix, which took so many µs of a core.
    PrefixPrepared {
        /// Name of the worker.
        worker: Rc<str>,
        /// Name of the prefix.
        opening: Rc<str>,
        /// µs of a core.
        took: Micros,
    },
    /// The request finished; one that was cancelled does not.
    RequestFinished {
        /// Name of the worker.
        worker: Rc<str>,
        /// The event of the request.
        event: Event,
    },
    /// A repeat that the worker's rack dropped.
    DuplicateDropped {
        /// Name of the worker.
        worker: Rc<str>,
        /// The event of the request.
        event: Event,
    },
    /// Its process started.
    WorkerStarted {
        /// Name of the worker.
        worker: Rc<str>,
    },
    /// A cold worker was overloaded and died; the router of each request that it had lately.
    WorkerOverloaded {
        /// Name of the worker.
        worker: Rc<str>,
        /// A router for each of these requests.
        by: Vec<u64>,
    },
    /// The store accepted or rejected a fetch.
    ModelFetch {
        /// Whether it was accepted.
        taken: bool,
    },
    /// The client wrote an exchange's request to a router.
    RequestSent {
        /// Number of the exchange.
        exchange: u64,
        /// Index of the router.
        router: u64,
        /// The event of the request.
        event: Event,
        /// The client's deadline.
        limit: Micros,
    },
    /// An answer came: its status, and whether the exchange was still open.
    ResponseReceived {
        /// Number of the exchange.
        exchange: u64,
        /// The status of the answer.
        status: u16,
    },
    /// Bytes came that belong to no exchange that is open.
    UnexpectedBytes {
        /// Number of the exchange.
        exchange: u64,
    },
    /// The connection ended without an answer.
    ConnectionLost {
        /// Number of the exchange.
        exchange: u64,
    },
    /// The client left before its answer, on purpose.
    ClientLeft {
        /// Number of the exchange.
        exchange: u64,
    },
    /// The client's time was up.
    ClientTimedOut {
        /// Number of the exchange.
        exchange: u64,
    },
}

/// The observations of all test doubles; clones share them.
#[derive(Clone, Default)]
pub struct Ledger(Rc<RefCell<Vec<(Micros, Observation)>>>);

impl Ledger {
    /// Adds an observation.
    pub fn record(&self, now: Micros, observation: Observation) {
        self.0.borrow_mut().push((now, observation));
    }

    /// Calls with all observations so far, each with its time.
    pub fn read<T>(&self, call: impl FnOnce(&[(Micros, Observation)]) -> T) -> T {
        call(&self.0.borrow())
    }
}
