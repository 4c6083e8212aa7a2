//! What an instance is given at its start: the module's rows, and the names and addresses around them.
use applepond::interface::{Micros, RackId, StartupConfig};
use applepond_workflow::Plan;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Where the name of a request's function comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FunctionBy {
    /// An attribute of the event: `subject` or an extension.
    Attribute(String),
    /// One function for the whole workload.
    Named(String),
}

/// What is told of a function or, where nothing is, of a workload's functions.
#[derive(Clone, Debug, PartialEq)]
pub struct FunctionRow {
    /// Jobs that one loaded copy runs at a time.
    pub lanes: u32,
    /// MB of one loaded copy.
    pub memory_mb: u32,
    /// The usual time of a load, where known.
    pub load_time: Option<Micros>,
}

/// Beside the module's row of a workload: how its events are known and what holds where they say nothing.
#[derive(Clone, Debug)]
pub struct WorkloadNames {
    pub name: String,
    /// Values of the event attribute `type`.
    pub types: Vec<String>,
    pub function_by: FunctionBy,
    /// Attributes that name a request's opening and its size, where its requests have one.
    pub opening_by: Option<(String, String)>,
    pub deadline: Micros,
    pub function: FunctionRow,
}

/// A chain of functions: which events ask for it, and its plan.
#[derive(Clone, Debug)]
pub struct ChainRow {
    /// Values of the event attribute `type`.
    pub types: Vec<String>,
    /// The attribute that names the function of steps that name none themselves.
    pub function_by: String,
    /// Looked at as a whole: it has no faults.
    pub plan: Arc<Plan>,
}

/// One worker as the settings name it.
#[derive(Clone, Debug)]
pub struct NamedWorker {
    pub name: String,
    pub address: SocketAddr,
    pub zone: Option<usize>,
    pub rack: RackId,
    pub weight: f64,
}

/// What openings cost at a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpeningsRow {
    /// µs to prepare a unit of an opening's size.
    pub prepare: Micros,
    /// Units that pins may take at a worker.
    pub memory: u64,
    /// µs of preparing a second that a unit kept at a worker has to save.
    pub price: f64,
    /// µs for which a worker keeps an opening by itself after its last use.
    pub keeps: Micros,
}

/// Where this router stands among the others of its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetRow {
    pub name: String,
    pub zone: String,
    /// Where datagrams come in; others reach it there.
    pub listen: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// Files that hold the fleet's secret; the first one seals, all open.
    pub key_files: Vec<PathBuf>,
    /// Routers that keep what is agreed on; none: nothing is.
    pub keepers: Vec<String>,
    /// Where this router's vote lies, if it is one of them.
    pub votes: Option<PathBuf>,
    /// Which founding of what is agreed on this is; raised by an operator alone.
    pub founding: u64,
    /// Where this router's snapshot lies; without one it starts from its peers.
    pub snapshot: Option<PathBuf>,
    /// What openings cost; without it none is pinned.
    pub openings: Option<OpeningsRow>,
}

impl FleetRow {
    /// What only a restart can change: the others know this process by it.
    #[allow(clippy::type_complexity)] // compared, and nothing else
    pub fn place(
        &self,
    ) -> (&str, &str, SocketAddr, &Option<PathBuf>, u64, &Option<PathBuf>, Option<OpeningsRow>) {
        (&self.name, &self.zone, self.listen, &self.votes, self.founding, &self.snapshot, self.openings)
    }
}

/// All that one instance starts with.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub rows: StartupConfig,
    pub listen: SocketAddr,
    /// In the order of `rows.workloads`.
    pub workloads: Vec<WorkloadNames>,
    pub chains: Vec<ChainRow>,
    /// The file in which chains are recorded; without one they are known as long as the instance lives.
    pub record: Option<PathBuf>,
    /// In the order of `rows.customers`.
    pub customers: Vec<String>,
    /// The attribute that names the customer.
    pub customer_by: String,
    pub zones: Vec<String>,
    /// Functions with rows of their own.
    pub functions: BTreeMap<String, FunctionRow>,
    pub workers: Vec<NamedWorker>,
    /// Who tells of workers and their changes, beside or instead of `workers`.
    pub hosts: Option<SocketAddr>,
    /// A connection that does not stand within this time was none.
    pub connect_limit: Micros,
    /// Its fleet; without it nothing is opened and `routers` of the settings holds.
    pub fleet: Option<FleetRow>,
    /// Whether retry storms are damped before the module; told and shown they are in any case.
    pub damping: bool,
    /// Client connections at a time.
    pub callers_most: usize,
    /// Bytes of one event at most.
    pub body_most: u64,
    /// Answers are remembered this long,
    pub remember_for: Micros,
    /// this many of them,
    pub remember_most: usize,
    /// and this many bytes of them, at most.
    pub remember_bytes: usize,
}
