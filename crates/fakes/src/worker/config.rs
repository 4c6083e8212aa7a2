//! What a worker is, and how it behaves.
use applepond_reactor::Micros;
use std::net::SocketAddr;
use std::rc::Rc;

/// The properties of a worker.
#[derive(Clone)]
pub struct WorkerConfig {
    /// Its name.
    pub name: Rc<str>,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its rack.
    pub rack: i64,
    /// Requests that it runs at a time.
    pub cores: usize,
    /// MB for loaded functions.
    pub memory_mb: u64,
    /// Requests that may wait here; further ones are rejected.
    pub max_waiting: usize,
    /// The store to fetch from; without one a load takes no fetch.
    pub store: Option<SocketAddr>,
    /// µs of a load after its fetch.
    pub load_time: Micros,
    /// µs after which an idle copy may be unloaded by itself.
    pub idle_unload_time: Micros,
    /// Part of its pace with which it starts.
    pub cold_share: f64,
    /// µs until it is warm; 0 for one that is warm at once.
    pub warmup_time: Micros,
    /// While cold, it dies when it is sent more than so many times what it can do.
    pub overload_factor: f64,
    /// µs over which that is measured.
    pub overload_window: Micros,
    /// µs for which repeats of keyed requests are dropped.
    pub dedup_window: Micros,
    /// Seed of its random draws.
    pub seed: u64,
    /// Units of prompt prefixes that it keeps prepared.
    pub prefix_units: u64,
    /// µs that it takes to prepare one unit.
    pub prepare_time_per_unit: Micros,
}

/// How a worker behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// As it should.
    Well,
    /// This share of the requests fails at once.
    FailFast(f64),
    /// Accepts requests and answers none, those that run included.
    Hang,
    /// Stands still: accepts requests, and ends none before it is over.
    Stall,
    /// Answers only the first half of an answer, then ends the connection.
    CutAnswers,
    /// Answers with bytes that are no HTTP, or HTTP that is no event.
    Garbage,
    /// Accepts no connection; those that are established go on.
    NoHandshakes,
    /// Rejects everything.
    RefuseAll,
    /// Rejects one customer's requests, by the sum of the bytes of its name.
    RefuseCustomer(u8),
    /// Sends each answer twice.
    TwoAnswers,
}

impl Behaviour {
    /// The behaviour of this name, as on command lines and in `POST /-/mood?NAME`.
    pub fn from_name(name: &str) -> Option<Behaviour> {
        Some(match name {
            "well" => Behaviour::Well,
            "fail-fast" => Behaviour::FailFast(1.0),
            "hang" => Behaviour::Hang,
            "stall" => Behaviour::Stall,
            "cut-answers" => Behaviour::CutAnswers,
            "garbage" => Behaviour::Garbage,
            "no-handshakes" => Behaviour::NoHandshakes,
            "refuse-all" => Behaviour::RefuseAll,
            "two-answers" => Behaviour::TwoAnswers,
            _ => return None,
        })
    }
}

/// An event of a worker's script.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ScriptEvent {
    /// It behaves like this from now on.
    SetBehaviour(Behaviour),
    /// The process ends: all connections break, the port closes.
    Stop,
    /// It starts again, empty and cold.
    Start,
}
