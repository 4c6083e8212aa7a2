//! Configuration, behaviours and script of a fake worker.
use applepond_reactor::Micros;
use std::net::SocketAddr;
use std::rc::Rc;

/// Configuration of a worker.
#[derive(Clone)]
pub struct WorkerConfig {
    /// Name of the worker.
    pub name: Rc<str>,
    /// Address on which it listens.
    pub listen: SocketAddr,
    /// Rack of the worker. Duplicates are dropped per rack.
    pub rack: i64,
    /// Number of requests it can run at once.
    pub cores: usize,
    /// Memory for loaded functions, in MB.
    pub memory_mb: u64,
    /// Limit of queued requests; further ones are rejected.
    pub max_waiting: usize,
    /// Address of the model store. Without one, functions load without a fetch.
    pub store: Option<SocketAddr>,
    /// Time of a load after its fetch, in µs.
    pub load_time: Micros,
    /// Idle time in µs after which a copy may be unloaded even if memory is free.
    pub idle_unload_time: Micros,
    /// Share of its full speed at which it starts.
    pub cold_share: f64,
    /// Time from the start to full speed, in µs; 0 if it is warm at once.
    pub warmup_time: Micros,
    /// A cold worker crashes when it receives more than this multiple of the work that it can do.
    pub overload_factor: f64,
    /// Time over which `overload_factor` is measured, in µs.
    pub overload_window: Micros,
    /// Time for which duplicates of finished requests with an idempotency key are dropped, in µs.
    pub dedup_window: Micros,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Capacity for prepared prompt prefixes, in units of prefix size.
    pub prefix_units: u64,
    /// Time to prepare one unit of a prefix, in µs.
    pub prepare_time_per_unit: Micros,
}

/// How a worker behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Behaves correctly.
    Well,
    /// Fails this share of the requests immediately.
    FailFast(f64),
    /// Accepts requests but never responds; running requests do not finish either.
    Hang,
    /// Pauses: accepts requests, but finishes none until the behaviour changes.
    Stall,
    /// Sends only the first half of each response, then closes the connection.
    CutAnswers,
    /// Responds with bytes that are not HTTP, or with HTTP that carries no event.
    Garbage,
    /// Accepts no new connections; established ones continue.
    NoHandshakes,
    /// Rejects all requests.
    RefuseAll,
    /// Rejects the requests of one customer, identified by the sum of the bytes of its name, modulo 256.
    RefuseCustomer(u8),
    /// Sends each response twice.
    TwoAnswers,
}

impl Behaviour {
    /// Parses the name used on the command line and in `POST /-/mood?NAME`.
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
    /// Changes the behaviour.
    SetBehaviour(Behaviour),
    /// Ends the process: all connections break and the port closes.
    Stop,
    /// Starts the process, empty and cold.
    Start,
}
