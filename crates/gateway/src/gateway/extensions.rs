//! Extension points that the host process may implement: a source of new configurations, a store of history
//! that survives restarts or comes from other routers, fleet-wide prompt prefixes, and further sections of
//! the state page.
use crate::deployment::Deployment;
use crate::errors::ReloadError;
use applepond::interface::{FunctionId, Micros, WorkerHistory, WorkerId, WorkerStatus};

/// Polled once a second; returns a new configuration if there is one, or why it cannot be used.
pub type ConfigSource = Box<dyn FnMut() -> Option<Result<Deployment, ReloadError>>>;

/// Renders a section of the state page; called for each request of the page.
pub type StatusSection = Box<dyn Fn(Micros) -> serde_json::Value>;

/// The usual traffic of this router, from which the retry-storm detector starts after a restart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficBaseline {
    /// Requests per second that are first attempts of clients.
    pub first_attempts_per_second: f64,
    /// New client connections per second.
    pub connections_per_second: f64,
    /// Best recent rate at which the fleet finished requests, per second, as observed by this router.
    pub best_completion_rate: f64,
}

/// The retry of a rejected request, whose client was told when to send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledRetry {
    /// Digest of the request.
    pub request: u64,
    /// Time until the client may retry.
    pub wait: Micros,
}

/// State of this router from before a restart, apart from that of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestoredTraffic {
    /// The usual traffic, if it was known.
    pub baseline: Option<TrafficBaseline>,
    /// Scheduled retries that are still due.
    pub scheduled_retries: Vec<ScheduledRetry>,
}

/// Known history of one incarnation of a worker, from before a restart or from other routers.
#[derive(Clone, Copy, Debug)]
pub struct RestoredWorker {
    /// The worker.
    pub worker: WorkerId,
    /// When its process started; identifies the incarnation.
    pub up_since: Micros,
    /// Its history.
    pub history: WorkerHistory,
}

/// History that survives restarts or comes from other routers. It only ever makes a gateway more cautious and
/// never permits anything; a router without it works and measures anew.
pub trait HistoryStore {
    /// Stores this router's measurements of a worker that has responded to it.
    fn record_worker(&mut self, now: Micros, worker: WorkerId, up_since: Micros, history: &WorkerHistory);
    /// Stores the load time of a function as measured by this router.
    fn record_load_time(&mut self, now: Micros, function: FunctionId, load_time: Micros);
    /// Stores the usual traffic of this router.
    fn record_baseline(&mut self, now: Micros, baseline: TrafficBaseline);
    /// Stores that a client was told to retry a request after a delay.
    fn record_scheduled_retry(&mut self, now: Micros, retry: ScheduledRetry);
    /// Returns the state from before the restart, on the first call only.
    fn take_restored_traffic(&mut self, now: Micros) -> Option<RestoredTraffic>;
    /// Returns the history of workers that `Control` has not restored yet.
    fn pending_workers(&mut self, now: Micros) -> Vec<RestoredWorker>;
    /// Notes that `Control` has restored the history of this incarnation of a worker.
    fn worker_restored(&mut self, worker: WorkerId, up_since: Micros);
    /// Returns the status to use for a worker that the endpoint list reports as `listed`. A worker known to
    /// drain remains excluded even if the list is outdated.
    fn effective_status(
        &mut self,
        now: Micros,
        worker: WorkerId,
        up_since: Micros,
        listed: WorkerStatus,
    ) -> WorkerStatus;
    /// Notes that a full list was received, with exactly these workers and start times.
    fn full_list_received(&mut self, named: &[(WorkerId, Micros)]);
    /// Returns the known load time of a function, for functions whose settings have none.
    fn load_time(&self, now: Micros, function: FunctionId) -> Option<Micros>;
}

/// Tracks the use of prompt prefixes fleet-wide, and which of them are pinned at workers.
pub trait PrefixTracker {
    /// Records that a request with this prefix was accepted; `size` is in the workload's units.
    fn record_use(&mut self, name: &str, size: u32);
    /// Returns how long the worker of a request sent now may keep this prefix pinned; `None` if the prefix is
    /// not pinned.
    fn pin_lease(&self, now: Micros, name: &str) -> Option<Micros>;
    /// Sets the number of ready workers.
    fn set_ready_workers(&mut self, ready: usize);
}
