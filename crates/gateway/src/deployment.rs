//! The configuration that one gateway instance runs with: what `Control` is started with, and the names,
//! addresses and limits around it. A [`Deployment`] is plain data, made by `applepond-settings` from the
//! settings file; `reload` decides which parts of it may change while the instance runs.
use applepond::interface::{Micros, RackId, StartupConfig};
use applepond_workflow::Plan;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Where the name of a request's function comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FunctionSource {
    /// An attribute of the event: `subject` or an extension attribute.
    Attribute(String),
    /// One function for all events of the workload.
    Named(String),
}

/// What is known of one function before any request for it has run.
#[derive(Clone, Debug, PartialEq)]
pub struct FunctionConfig {
    /// Requests that one loaded copy runs at the same time.
    pub concurrency: u32,
    /// Memory of one loaded copy, in MB.
    pub memory_mb: u32,
    /// The usual duration of a load, where the settings give one.
    pub load_time: Option<Micros>,
}

/// The event attributes that describe the prompt prefix of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixAttributes {
    /// The attribute with the prefix's name.
    pub name: String,
    /// The attribute with the prefix's size, in units of the workload's choice.
    pub size: String,
}

/// How the events of one workload are recognised, and the defaults of its requests. Its retry safety, latency
/// objective and priority are in the entry of the same index in [`StartupConfig::workloads`].
#[derive(Clone, Debug)]
pub struct WorkloadEvents {
    /// The workload's name in the settings.
    pub name: String,
    /// Values of the event attribute `type` that belong to this workload. Empty for a workload that a reload
    /// has left out: it takes no new requests.
    pub types: Vec<String>,
    /// Where the function's name comes from.
    pub function_source: FunctionSource,
    /// The attributes of the prompt prefix, where the workload's requests have one.
    pub prefix_attributes: Option<PrefixAttributes>,
    /// Time from the arrival of a request to its final answer.
    pub deadline: Micros,
    /// What holds for functions without an entry in [`Deployment::functions`].
    pub default_function: FunctionConfig,
}

/// A workflow: which events start it, and its plan.
#[derive(Clone, Debug)]
pub struct WorkflowConfig {
    /// Values of the event attribute `type` that start this workflow.
    pub types: Vec<String>,
    /// The event attribute with the function of steps that do not name their own.
    pub function_attribute: String,
    /// The validated plan: `Plan::check` finds no fault in it.
    pub plan: Arc<Plan>,
}

/// One worker that the settings name, for deployments without an endpoint list.
#[derive(Clone, Debug)]
pub struct StaticWorker {
    /// The worker's name; its id is the digest of it.
    pub name: String,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Index into [`Deployment::zones`].
    pub zone: Option<usize>,
    /// The rack, within which idempotency keys may be shared.
    pub rack: RackId,
    /// Relative capacity.
    pub weight: f64,
}

/// Costs and limits of pinning prompt prefixes at workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixCacheConfig {
    /// Time to prepare one unit of a prefix.
    pub prepare_time: Micros,
    /// Units that pinned prefixes may take at one worker.
    pub pinned_units: u64,
    /// µs of preparation a second that a unit pinned at a worker must save to be worth it.
    pub price: f64,
    /// For how long a worker caches a prefix by itself after its last use.
    pub retention: Micros,
}

/// This router's membership in a fleet of routers.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// This router's name, unique in the fleet.
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
    /// Where it receives datagrams; the other routers reach it there.
    pub listen: SocketAddr,
    /// Addresses of routers to join through.
    pub seeds: Vec<SocketAddr>,
    /// Files with the fleet's secret keys: the first one seals datagrams, all of them open them.
    pub key_files: Vec<PathBuf>,
    /// Names of the routers that vote in consensus; empty where the fleet runs without it.
    pub voters: Vec<String>,
    /// Where this router's votes are stored, if it is a voter.
    pub votes_file: Option<PathBuf>,
    /// Which bootstrap of the agreed state this is; only an operator raises it.
    pub bootstrap_epoch: u64,
    /// Where this router stores its snapshot; without one it starts from what its peers know.
    pub snapshot_file: Option<PathBuf>,
    /// Costs of pinning prefixes; without them none is pinned.
    pub prefix_cache: Option<PrefixCacheConfig>,
}

/// The parts of a [`FleetConfig`] by which the other routers know this process: a reload cannot change them.
#[derive(Debug, PartialEq)]
pub(crate) struct FleetIdentity<'a> {
    name: &'a str,
    zone: &'a str,
    listen: SocketAddr,
    votes_file: Option<&'a PathBuf>,
    bootstrap_epoch: u64,
    snapshot_file: Option<&'a PathBuf>,
    prefix_cache: Option<PrefixCacheConfig>,
}

impl FleetConfig {
    /// What only a restart can change.
    pub(crate) fn identity(&self) -> FleetIdentity<'_> {
        FleetIdentity {
            name: &self.name,
            zone: &self.zone,
            listen: self.listen,
            votes_file: self.votes_file.as_ref(),
            bootstrap_epoch: self.bootstrap_epoch,
            snapshot_file: self.snapshot_file.as_ref(),
            prefix_cache: self.prefix_cache,
        }
    }
}

/// How many final answers are kept for exchanges that repeat a request after its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerRetention {
    /// How long an answer is kept.
    pub time: Micros,
    /// Answers kept at most.
    pub max_answers: usize,
    /// Bytes of answers and keys kept at most.
    pub max_bytes: usize,
}

/// All that one instance runs with.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// What `Control` is started with.
    pub startup: StartupConfig,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// In the order of `startup.workloads`.
    pub workloads: Vec<WorkloadEvents>,
    /// The workflows; the settings call them chains.
    pub workflows: Vec<WorkflowConfig>,
    /// The file in which workflows are stored; without one they are known only as long as the instance lives.
    pub workflow_store: Option<PathBuf>,
    /// Customers' names, in the order of `startup.customers`.
    pub customers: Vec<String>,
    /// The event attribute that names the customer.
    pub customer_attribute: String,
    /// The zones' names; `ZoneId` is an index into them.
    pub zones: Vec<String>,
    /// Functions with settings of their own, by name.
    pub functions: BTreeMap<String, FunctionConfig>,
    /// Workers that the settings name.
    pub workers: Vec<StaticWorker>,
    /// The server of the endpoint list, which names workers beside or instead of `workers`.
    pub endpoint_list: Option<SocketAddr>,
    /// Timeout of a connection attempt to a worker or to the endpoint list.
    pub connect_timeout: Micros,
    /// This router's fleet; without one no datagram is sent and `startup.router_count` is fixed.
    pub fleet: Option<FleetConfig>,
    /// Whether requests are shed before `Control` during a retry storm. Storms are detected and shown either
    /// way.
    pub storm_shedding: bool,
    /// Client connections at the same time.
    pub max_clients: usize,
    /// Bytes of one event's body at most.
    pub max_event_bytes: u64,
    /// Which final answers are kept for repeated requests.
    pub answer_retention: AnswerRetention,
}
