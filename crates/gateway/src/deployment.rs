//! The configuration of one gateway instance: the startup configuration of `Control`, and names, addresses
//! and limits. A [`Deployment`] is plain data that `applepond-settings` creates from the settings file;
//! `reload` decides which parts of it may change while the instance runs.
use applepond::interface::{Micros, RackId, StartupConfig};
use applepond_workflow::Plan;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Source of the name of a request's function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FunctionSource {
    /// An attribute of the event: `subject` or an extension attribute.
    Attribute(String),
    /// One function for all events of the workload.
    Named(String),
}

/// Configured properties of one function.
#[derive(Clone, Debug, PartialEq)]
pub struct FunctionConfig {
    /// Maximum number of requests that one loaded copy runs concurrently.
    pub concurrency: u32,
    /// Memory of one loaded copy, in MB.
    pub memory_mb: u32,
    /// The usual duration of a load, if the settings specify it.
    pub load_time: Option<Micros>,
}

/// The event attributes that describe the prompt prefix of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixAttributes {
    /// The attribute with the prefix's name.
    pub name: String,
    /// The attribute with the prefix's size, in a unit chosen by the workload.
    pub size: String,
}

/// How events are mapped to one workload, and the defaults of its requests. Its retry safety, latency
/// objective and priority are in the entry with the same index in [`StartupConfig::workloads`].
#[derive(Clone, Debug)]
pub struct WorkloadEvents {
    /// The workload's name in the settings.
    pub name: String,
    /// Values of the event attribute `type` that belong to this workload. Empty for a workload removed by a
    /// reload: it accepts no new requests.
    pub types: Vec<String>,
    /// Type of the events of workflow steps that this workload runs: the first of its types. A workload
    /// removed by a reload keeps it, as workflows in progress go on by the plan with which they began.
    pub step_type: String,
    /// Source of the function's name.
    pub function_source: FunctionSource,
    /// The attributes of the prompt prefix, if the workload's requests have one.
    pub prefix_attributes: Option<PrefixAttributes>,
    /// Maximum time from the arrival of a request to its final answer.
    pub deadline: Micros,
    /// Defaults for functions without an entry in [`Deployment::functions`].
    pub default_function: FunctionConfig,
}

/// A workflow: the events that start it, and its plan.
#[derive(Clone, Debug)]
pub struct WorkflowConfig {
    /// Values of the event attribute `type` that start this workflow.
    pub types: Vec<String>,
    /// The event attribute that names the function of steps without one of their own.
    pub function_attribute: String,
    /// The plan, validated by `Plan::check`.
    pub plan: Arc<Plan>,
}

/// A worker configured in the settings, for deployments without an endpoint list.
#[derive(Clone, Debug)]
pub struct StaticWorker {
    /// The worker's name; its id is a digest of the name.
    pub name: String,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Index into [`Deployment::zones`].
    pub zone: Option<usize>,
    /// The rack; a workload's idempotency keys may be shared within it.
    pub rack: RackId,
    /// Relative capacity.
    pub weight: f64,
}

/// Costs and limits of pinning prompt prefixes at workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixCacheConfig {
    /// Time to prepare one unit of a prefix.
    pub prepare_time: Micros,
    /// Maximum number of units of pinned prefixes at one worker.
    pub pinned_units: u64,
    /// Preparation time that one unit pinned at a worker must save to be worth its memory, in µs per second.
    pub price: f64,
    /// How long a worker caches an unpinned prefix after its last use.
    pub retention: Micros,
}

/// This router's membership in a fleet of routers.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// This router's name, unique in the fleet.
    pub name: String,
    /// The zone in which it runs.
    pub zone: String,
    /// The address at which it receives datagrams from other routers.
    pub listen: SocketAddr,
    /// Addresses of routers through which it joins the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Files with the fleet's secret keys: datagrams are sealed with the first key and opened with any of
    /// them.
    pub key_files: Vec<PathBuf>,
    /// Names of the routers that vote in consensus; empty if the fleet runs without consensus.
    pub voters: Vec<String>,
    /// The file of this router's votes, if it is a voter.
    pub votes_file: Option<PathBuf>,
    /// Number of the bootstrap of the agreed state; raised only by an operator.
    pub bootstrap_epoch: u64,
    /// The file of this router's snapshot; without one it starts from the state of its peers.
    pub snapshot_file: Option<PathBuf>,
    /// Costs of pinning prefixes; if `None`, no prefix is pinned.
    pub prefix_cache: Option<PrefixCacheConfig>,
}

/// The parts of a [`FleetConfig`] that identify this process to other routers; a reload cannot change them.
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
    /// Returns the parts that only a restart can change.
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

/// Limits of the cache of final answers, which are replayed to duplicates of a request after its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerRetention {
    /// How long an answer is cached.
    pub time: Micros,
    /// Maximum number of cached answers.
    pub max_answers: usize,
    /// Maximum total size of cached answers and their keys.
    pub max_bytes: usize,
}

/// The configuration of one gateway instance.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The startup configuration of `Control`.
    pub startup: StartupConfig,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The workloads, in the order of `startup.workloads`.
    pub workloads: Vec<WorkloadEvents>,
    /// The workflows, named `chain` in the settings.
    pub workflows: Vec<WorkflowConfig>,
    /// The file in which workflows are stored; without one they are lost when the instance ends.
    pub workflow_store: Option<PathBuf>,
    /// Customers' names, in the order of `startup.customers`.
    pub customers: Vec<String>,
    /// The event attribute that names the customer.
    pub customer_attribute: String,
    /// The zones' names; `ZoneId` is an index into them.
    pub zones: Vec<String>,
    /// Functions with their own configuration, by name.
    pub functions: BTreeMap<String, FunctionConfig>,
    /// Workers configured in the settings.
    pub workers: Vec<StaticWorker>,
    /// The server of the endpoint list, which names workers in addition to or instead of `workers`.
    pub endpoint_list: Option<SocketAddr>,
    /// Timeout of connecting to a worker or to the endpoint list's server.
    pub connect_timeout: Micros,
    /// This router's fleet; without one no datagram is sent and `startup.router_count` is fixed.
    pub fleet: Option<FleetConfig>,
    /// Whether requests are shed ahead of `Control` during a retry storm. Retry storms are detected and
    /// reported in either case.
    pub storm_shedding: bool,
    /// Maximum number of concurrent client connections.
    pub max_clients: usize,
    /// Maximum size of one event's body.
    pub max_event_bytes: u64,
    /// Limits of the cache of final answers.
    pub answer_retention: AnswerRetention,
}
