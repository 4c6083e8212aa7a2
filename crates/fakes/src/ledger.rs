//! Record of what the test doubles observed on their sockets, in chronological order.
use applepond_reactor::Micros;
use std::cell::RefCell;
use std::rc::Rc;

/// Identity of an event: its `source` and `id`, separated by a space.
pub type Event = Rc<str>;

/// One observation of a test double.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The endpoint list sent a worker's entry to a router.
    EndpointSent {
        /// Index of the router.
        router: u64,
        /// Name of the worker.
        worker: Rc<str>,
        /// Whether the worker is listed as ready.
        ready: bool,
        /// Start time of the worker in ms since the Unix epoch; 0 if it started before the scenario.
        started_ms: u64,
    },
    /// A worker received a complete request.
    RequestReceived {
        /// Name of the worker.
        worker: Rc<str>,
        /// Rack of the worker.
        rack: i64,
        /// Index of the router that sent the request.
        router: u64,
        /// The event of the request.
        event: Event,
    },
    /// A worker rejected the request without running it.
    RequestRejected {
        /// Name of the worker.
        worker: Rc<str>,
        /// The event of the request.
        event: Event,
    },
    /// A worker started to run the request. From here on its effect may have happened.
    RequestStarted {
        /// Name of the worker.
        worker: Rc<str>,
        /// The event of the request.
        event: Event,
    },
    /// A worker received a request with a lease that pins the request's prefix.
    PrefixPinned {
        /// Name of the worker.
        worker: Rc<str>,
        /// Index of the router.
        router: u64,
        /// Name of the prefix.
        prefix: Rc<str>,
    },
    /// A worker prepared a prefix.
    PrefixPrepared {
        /// Name of the worker.
        worker: Rc<str>,
        /// Name of the prefix.
        prefix: Rc<str>,
        /// Core time spent, in µs.
        duration: Micros,
    },
    /// A worker finished the request. A cancelled request never finishes.
    RequestFinished {
        /// Name of the worker.
        worker: Rc<str>,
        /// The event of the request.
        event: Event,
    },
    /// A worker dropped a request that had already finished in its rack.
    DuplicateDropped {
        /// Name of the worker.
        worker: Rc<str>,
        /// The event of the request.
        event: Event,
    },
    /// The process of a worker started.
    WorkerStarted {
        /// Name of the worker.
        worker: Rc<str>,
    },
    /// A cold worker was overloaded and crashed.
    WorkerOverloaded {
        /// Name of the worker.
        worker: Rc<str>,
        /// The sending router of each request received within the overload window.
        routers: Vec<u64>,
    },
    /// The model store received a fetch.
    ModelFetch {
        /// Whether the store accepted it.
        accepted: bool,
    },
    /// A client sent a request to a router.
    RequestSent {
        /// Number of the exchange.
        exchange: u64,
        /// Index of the router.
        router: u64,
        /// The event of the request.
        event: Event,
        /// When the client stops waiting.
        deadline: Micros,
    },
    /// A client received the response of an exchange that was still open.
    ResponseReceived {
        /// Number of the exchange.
        exchange: u64,
        /// Status of the response.
        status: u16,
    },
    /// A client received bytes that belong to no open exchange.
    UnexpectedBytes {
        /// Number of the last exchange on the connection.
        exchange: u64,
    },
    /// The connection ended before the response.
    ConnectionLost {
        /// Number of the exchange.
        exchange: u64,
    },
    /// The client disconnected before the response, as planned.
    ClientLeft {
        /// Number of the exchange.
        exchange: u64,
    },
    /// The client stopped waiting for the response.
    ClientTimedOut {
        /// Number of the exchange.
        exchange: u64,
    },
}

/// The observations of all test doubles. Clones share one record.
#[derive(Clone, Default)]
pub struct Ledger(Rc<RefCell<Vec<(Micros, Observation)>>>);

impl Ledger {
    /// Adds an observation.
    pub fn record(&self, now: Micros, observation: Observation) {
        self.0.borrow_mut().push((now, observation));
    }

    /// Calls `call` with all observations so far, each with its time.
    pub fn read<T>(&self, call: impl FnOnce(&[(Micros, Observation)]) -> T) -> T {
        call(&self.0.borrow())
    }
}
