//! What the process around a gateway may provide to it: new configurations, history that outlasts the process
//! or comes from other routers, the fleet's prompt prefixes, and further sections of the state page.
use crate::deployment::Deployment;
use crate::errors::ReloadError;
use applepond::interface::{FunctionId, Micros, WorkerHistory, WorkerId, WorkerStatus};

/// Polled once a second for a new configuration. An error says why one that there is cannot be used.
pub type ConfigSource = Box<dyn FnMut() -> Option<Result<Deployment, ReloadError>>>;

/// A section of the state page, made when the page is asked for.
pub type StatusSection = Box<dyn Fn(Micros) -> serde_json::Value>;

/// What traffic is usual for this router; the retry-storm detector starts from it after a restart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficBaseline {
    /// First attempts of clients a second.
    pub first_attempts_per_second: f64,
    /// Connections that clients open a second.
    pub connections_per_second: f64,
    /// Requests that finish a second.
    pub pace: f64,
}

/// A retry that was promised to a client before the restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromisedRetry {
    /// Digest of the request.
    pub request: u64,
    /// Time from now after which the client may retry.
    pub wait: Micros,
}

/// What this router knew before its restart, apart from workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestoredTraffic {
    /// The usual traffic, where it was known.
    pub baseline: Option<TrafficBaseline>,
    /// Retries that clients were promised and that are still to come.
    pub promised_retries: Vec<PromisedRetry>,
}

/// What is known of one process of a worker from before the restart, or from other routers.
#[derive(Clone, Copy, Debug)]
pub struct RestoredWorker {
    /// The worker.
    pub worker: WorkerId,
    /// When its process started; another value is another process.
    pub up_since: Micros,
    /// What is known of it.
    pub history: WorkerHistory,
}

/// History that outlasts this process or comes from other routers. What it holds makes a gateway more
/// careful, and never permits anything: a router without it works, and learns again.
pub trait HistoryStore {
    /// Stores what this router has measured of a worker that has answered it.
    fn record_worker(&mut self, now: Micros, worker: WorkerId, up_since: Micros, history: &WorkerHistory);
    /// Stores how long a load of a function took here.
    fn record_load_time(&mut self, now: Micros, function: FunctionId, load_time: Micros);
    /// Stores what traffic is usual here.
    fn record_baseline(&mut self, now: Micros, baseline: TrafficBaseline);
    /// Stores that a client was told to retry a request after a wait.
    fn record_promised_retry(&mut self, now: Micros, retry: PromisedRetry);
    /// What was known before the restart; given once.
    fn take_restored_traffic(&mut self, now: Micros) -> Option<RestoredTraffic>;
    /// Workers' history that `Control` has not taken up yet.
    fn pending_workers(&mut self, now: Micros) -> Vec<RestoredWorker>;
    /// `Control` has taken up the history of this process of a worker.
    fn worker_restored(&mut self, worker: WorkerId, up_since: Micros);
    /// The status that counts for a worker which the endpoint list gives with status `listed`: one that is
    /// known to drain stays out, also where the list is late.
    fn effective_status(
        &mut self,
        now: Micros,
        worker: WorkerId,
        up_since: Micros,
        listed: WorkerStatus,
    ) -> WorkerStatus;
    /// A full list names these processes of workers, and no others.
    fn full_list_received(&mut self, named: &[(WorkerId, Micros)]);
    /// How long a function takes to load, where the settings do not say.
    fn load_time(&self, now: Micros, function: FunctionId) -> Option<Micros>;
}

/// The prompt prefixes that the fleet counts together and pins at workers.
pub trait PrefixTracker {
    /// A request with this prefix was accepted; `size` is in the workload's units.
    fn record_use(&mut self, name: &str, size: u32);
    /// For how long the worker of a request that is sent now may keep this prefix pinned; none where it is
    /// not pinned.
    fn pin_lease(&self, now: Micros, name: &str) -> Option<Micros>;
    /// How many workers are ready.
    fn set_ready_workers(&mut self, ready: usize);
}
