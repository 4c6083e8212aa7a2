//! Types exchanged between [`Control`](crate::control::Control) and its owner: ids, the startup
//! configuration, the endpoint list, requests, results of attempts, and the [`Actions`] callbacks.
//!
//! Plain data: this module makes no decisions and does no I/O.

use crate::hashing::digest;

/// Microseconds: an instant on the process's monotonic clock, or a duration.
pub type Micros = u64;

// ---- Ids -------------------------------------------------------------------------------

/// A worker (model server), identified by the digest of its name; the same value at every router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);

impl WorkerId {
    /// The id of the worker of this name.
    pub fn named(name: &str) -> Self {
        WorkerId(digest(name))
    }
}

/// A function, identified by the digest of its name; the same value at every router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FunctionId(pub u64);

impl FunctionId {
    /// The id of the function of this name.
    pub fn named(name: &str) -> Self {
        FunctionId(digest(name))
    }
}

/// A request, identified by the id given to it in [`RequestArrival::request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub [u8; 36]);

/// A timer set through [`Actions::set_timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerToken(pub u64);

/// A workload, identified by its index in [`StartupConfig::workloads`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkloadId(pub usize);

/// A customer, identified by its index in [`StartupConfig::customers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CustomerId(pub usize);

/// An availability zone, identified by its index in the deployment's list of zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub usize);

/// A small group of workers that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RackId(pub i64);

impl RackId {
    /// The rack of a worker without a configured one: it shares idempotency keys with no other worker.
    pub fn unshared(worker: WorkerId) -> Self {
        RackId(!((worker.0 >> 1) as i64))
    }
}

// ---- Startup configuration -------------------------------------------------------------

/// The set of workers that recognize each other's idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All workers.
    Everywhere,
    /// The workers in the zone of the first attempt.
    Zone,
    /// The workers in the rack of the first attempt.
    Rack,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Repeated execution is harmless.
    Idempotent,
    /// The request carries an idempotency key: workers in `scope` drop a duplicate that arrives within
    /// `window` of sending the first attempt.
    Keyed {
        /// Which workers recognize a duplicate.
        scope: IdempotencyScope,
        /// How long a duplicate is recognized.
        window: Micros,
    },
    /// The request must never be executed a second time.
    AtMostOnce,
}

/// The configuration of a workload (class of requests).
#[derive(Clone, Debug)]
pub struct WorkloadConfig {
    /// Whether requests may be executed more than once.
    pub retry_safety: RetrySafety,
    /// Time from arrival within which a response has its full value.
    pub latency_objective: Micros,
    /// Relative value of a request.
    pub priority_weight: f64,
    /// Factor on the priority weight once the latency objective has been missed, in 0..=1.
    pub late_priority_factor: f64,
}

/// The configuration of a customer (tenant).
#[derive(Clone, Debug)]
pub struct CustomerConfig {
    /// Quota across all routers.
    pub requests_per_second: f64,
}

/// Deployment-wide policy for attempts and rejections.
#[derive(Clone, Debug)]
pub struct AttemptPolicy {
    /// Maximum attempts per request, including the first.
    pub max_attempts: usize,
    /// Whether attempts in flight may be cancelled.
    pub cancel_allowed: bool,
    /// Whether a second attempt may run concurrently with the first.
    pub hedging_allowed: bool,
    /// Whether rejections may carry a `Retry-After` time.
    pub retry_after_allowed: bool,
    /// Exclusive upper bound of `Retry-After`; if it is below 200 ms, every rejection names 200 ms.
    pub max_retry_after: Micros,
}

/// Load limits for a worker that has recently started.
#[derive(Clone, Debug)]
pub struct SlowStartRules {
    /// Share of its full capacity that a worker has when it starts, in 0..=1.
    pub initial_capacity: f64,
    /// Time from its start until a worker reaches full capacity.
    pub warmup_time: Micros,
    /// Multiple of its current capacity, received within [`Self::overload_window`], at which a worker
    /// collapses.
    pub overload_factor: f64,
    /// Period over which the work sent to a worker is summed.
    pub overload_window: Micros,
}

/// Configuration of an instance at startup.
#[derive(Clone, Debug)]
pub struct StartupConfig {
    /// Seed of the instance's random number generator.
    pub seed: u64,
    /// Index of this router among the [`Self::router_count`] routers.
    pub router_index: u64,
    /// Number of routers that share workers and quotas; at least 1.
    pub router_count: u64,
    /// Workloads, indexed by [`WorkloadId`].
    pub workloads: Vec<WorkloadConfig>,
    /// Customers, indexed by [`CustomerId`].
    pub customers: Vec<CustomerConfig>,
    /// Policy for attempts and rejections.
    pub attempt_policy: AttemptPolicy,
    /// Load limits for workers that have recently started.
    pub slow_start: SlowStartRules,
    /// Factor on the priority weight of requests that exceed their customer's quota.
    pub over_quota_factor: f64,
    /// Minimum time for which a worker keeps an idle function loaded.
    pub cache_lifetime: Micros,
    /// Whether responses report how many requests of the same function the worker had in flight.
    pub reports_same_function: bool,
    /// Whether the weights in the endpoint list are identical for every router and independent of load.
    pub weights_shared: bool,
    /// Whether clients give every first try of a workload the same timeout, so that a shorter remaining
    /// time means that the difference was spent elsewhere.
    pub timeouts_shared: bool,
    /// Whether the endpoint list is only delivered after [`Actions::watch_endpoints`].
    pub watches_endpoints: bool,
}

impl StartupConfig {
    /// Mean latency objective over all workloads in microseconds; 0 without workloads.
    pub fn mean_latency_objective(&self) -> f64 {
        let objectives = self.workloads.iter().map(|workload| workload.latency_objective as f64);
        objectives.sum::<f64>() / self.workloads.len().max(1) as f64
    }
}

// ---- Endpoints -------------------------------------------------------------------------

/// Measurements of one incarnation of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerHistory {
    /// Estimated number of concurrent requests, over all routers, that the worker can take; 0 if unknown.
    pub concurrency_limit: f64,
    /// Moving average of response times, as a multiple of the latency objective.
    pub queueing_delay: f64,
    /// Moving average of the share of errors and lost connections among results; reset to 0 by an ejection.
    pub error_rate: f64,
    /// Whether the worker is ejected or in the recovery ramp that follows.
    pub ejected: bool,
}

/// How complete a delivered endpoint list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only the endpoints that changed.
    Changes,
    /// All endpoints.
    Full,
    /// All endpoints as of an earlier time, read from platform storage.
    Saved,
    /// The list could not be fetched; it has no entries.
    Failed,
}

/// The state of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    /// Accepts requests.
    Ready,
    /// Finishes the requests it has and accepts no new ones.
    Draining,
    /// No longer exists.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Whether it accepts requests.
    pub status: WorkerStatus,
    /// Start time, which identifies the incarnation; 0 if the worker started long enough ago not to matter.
    pub up_since: Micros,
    /// Its zone, if known.
    pub zone: Option<ZoneId>,
    /// Its rack.
    pub rack: RackId,
    /// Its capacity relative to other workers.
    pub weight: f64,
}

// ---- Requests and attempts -------------------------------------------------------------

/// A newly arrived request.
#[derive(Clone, Debug)]
pub struct RequestArrival {
    /// Id, unique among requests in progress and requests that still have an attempt in flight.
    pub request: RequestId,
    /// The function to call.
    pub function: FunctionId,
    /// Its workload.
    pub workload: WorkloadId,
    /// Its customer, if known.
    pub customer: Option<CustomerId>,
    /// Time until its deadline.
    pub time_left: Micros,
    /// Number of requests of the function that a worker is expected to run concurrently.
    pub concurrency: u32,
    /// Whether the client marked this request as a retry.
    pub retry: bool,
    /// Time a worker takes to load the function, if known.
    pub load_time: Option<Micros>,
    /// Factor on the workload's priority weight: 1, or more if earlier steps of a workflow have already
    /// been paid for.
    pub priority_factor: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker executed the request and returned its result.
    Finished,
    /// The worker has not loaded the function; nothing was executed.
    NotLoaded,
    /// The worker reported an error; the request may have been executed.
    Error,
    /// The worker had no capacity; nothing was executed.
    Overloaded,
    /// No response within the timeout.
    TimedOut,
    /// No connection could be established; nothing was executed.
    ConnectFailed,
    /// The connection was lost before a response arrived.
    ConnectionLost,
    /// The router cancelled the attempt.
    Cancelled,
    /// The attempt was dropped before any of it was executed, because another attempt replaced it.
    Superseded,
}

impl Outcome {
    /// Whether the attempt may have been executed.
    pub fn may_have_run(self) -> bool {
        match self {
            Outcome::NotLoaded | Outcome::Overloaded | Outcome::ConnectFailed | Outcome::Superseded => false,
            Outcome::Finished
            | Outcome::Error
            | Outcome::TimedOut
            | Outcome::ConnectionLost
            | Outcome::Cancelled => true,
        }
    }
}

/// State of the function at the worker, as reported by a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadState {
    /// Not reported.
    Unreported,
    /// The function was already loaded.
    Loaded,
    /// This attempt triggered the load.
    LoadStarted,
    /// This attempt waited for a load already in progress.
    LoadPending,
    /// Loading the function failed.
    LoadFailed,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the request has received its final response, from this result or an earlier one.
    pub request_ended: bool,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// Reported state of the function.
    pub load_state: LoadState,
    /// Requests of the function that the worker had when the attempt arrived; 0 if not reported.
    pub same_function_in_flight: u32,
    /// Requests of all functions at the worker, if reported.
    pub reported_in_flight: Option<f64>,
    /// Loads in progress or queued at the worker, if reported.
    pub reported_loads: Option<f64>,
}

/// Callbacks through which [`Control`](crate::control::Control) acts. Each takes effect when it is called.
///
/// Every attempt sent must be followed by exactly one call of
/// [`Control::attempt_finished`](crate::control::Control::attempt_finished), even after it is cancelled or
/// its request has ended: until then it counts as in flight at its worker.
pub trait Actions {
    /// Sends the next attempt of a request. The attempt may take at most `timeout`, and no part of it may
    /// be sent at or after `not_after`, when workers may no longer recognize a duplicate.
    fn send(&mut self, request: RequestId, worker: WorkerId, timeout: Micros, not_after: Micros);
    /// Cancels an attempt, given by its zero-based number.
    fn cancel(&mut self, request: RequestId, attempt: usize);
    /// Ends a request with a rejection, after which a retry is safe; `retry_after` suggests when to retry.
    fn reject(&mut self, request: RequestId, retry_after: Option<Micros>);
    /// Ends a request with a failure: it may have been executed.
    fn fail(&mut self, request: RequestId);
    /// Schedules a call of [`Control::timer_fired`](crate::control::Control::timer_fired) after `delay`.
    fn set_timer(&mut self, delay: Micros, token: TimerToken);
    /// Writes a line to the log.
    fn log(&mut self, text: &str);
    /// Subscribes to the endpoint list and its changes.
    fn watch_endpoints(&mut self);
}
