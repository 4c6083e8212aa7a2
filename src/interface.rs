//! Types that [`Control`](crate::control::Control) and its owner exchange: ids, the startup configuration,
//! the
//! endpoint list, requests, results of attempts, and the [`Actions`] that the decisions ask for.
//!
//! Nothing here decides, and nothing here does any input or output.

use crate::hashing::digest;

/// A number of whole microseconds: a moment on the instance's monotonic clock, or a duration.
pub type Micros = u64;

// ---- Ids -------------------------------------------------------------------------------

/// A worker (model server), by the digest of its name; the same at every router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);

impl WorkerId {
    /// The id of the worker of this name.
    pub fn named(name: &str) -> Self {
        WorkerId(digest(name))
    }
}

/// A function, by the digest of its name; the same at every router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FunctionId(pub u64);

impl FunctionId {
    /// The id of the function of this name.
    pub fn named(name: &str) -> Self {
        FunctionId(digest(name))
    }
}

/// A request, by the id that its client side gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub [u8; 36]);

/// A timer that was set by [`Actions::set_timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerToken(pub u64);

/// A workload, by its position in [`StartupConfig::workloads`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkloadId(pub usize);

/// A customer, by its position in [`StartupConfig::customers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CustomerId(pub usize);

/// An availability zone, by its position in the deployment's list of zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub usize);

/// A small group of workers that recognize each other's idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RackId(pub i64);

impl RackId {
    /// The rack of a worker for which none is configured: it shares idempotency keys with no other worker.
    pub fn unshared(worker: WorkerId) -> Self {
        RackId(!((worker.0 >> 1) as i64))
    }
}

// ---- Startup configuration -------------------------------------------------------------

/// The set of workers within which a repeated idempotency key is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All workers.
    Everywhere,
    /// The workers of the first attempt's zone.
    Zone,
    /// The workers of the first attempt's rack.
    Rack,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// A repetition does no harm.
    Idempotent,
    /// The request carries an idempotency key: workers in `scope` drop a repetition for `window` after the
    /// first
    /// attempt was sent.
    Keyed {
        /// Where a repetition is recognized.
        scope: IdempotencyScope,
        /// How long a repetition is recognized.
        window: Micros,
    },
    /// A second execution is never allowed.
    AtMostOnce,
}

/// The configuration of a workload (class of requests).
#[derive(Clone, Debug)]
pub struct WorkloadConfig {
    /// Whether its requests may be repeated.
    pub retry_safety: RetrySafety,
    /// Time from arrival within which a response has its full value.
    pub latency_objective: Micros,
    /// Relative value of a request.
    pub priority_weight: f64,
    /// Factor on the priority weight once the latency objective has been missed, from 0 to 1.
    pub late_priority_factor: f64,
}

/// The configuration of a customer (tenant).
#[derive(Clone, Debug)]
pub struct CustomerConfig {
    /// Quota over all routers.
    pub requests_per_second: f64,
}

/// What the deployment allows for attempts and rejections.
#[derive(Clone, Debug)]
pub struct AttemptPolicy {
    /// Attempts of a request at most, the first included.
    pub max_attempts: usize,
    /// Attempts in flight may be cancelled.
    pub cancel_allowed: bool,
    /// A second attempt may run beside the first.
    pub hedging_allowed: bool,
    /// Rejections may carry a time after which to retry.
    pub retry_after_allowed: bool,
    /// Bound of such times, exclusive; below 200 ms every rejection names 200 ms.
    pub max_retry_after: Micros,
}

/// How fast a worker that has just started may be loaded.
#[derive(Clone, Debug)]
pub struct SlowStartRules {
    /// Share of its full capacity that a worker has when it starts, from 0 to 1.
    pub initial_capacity: f64,
    /// Time from its start after which a worker has its full capacity.
    pub warmup_time: Micros,
    /// Multiple of its current capacity within [`Self::overload_window`] at which a worker collapses.
    pub overload_factor: f64,
    /// Span of time over which the work sent to a worker is counted.
    pub overload_window: Micros,
}

/// Everything that an instance is configured with when it starts.
#[derive(Clone, Debug)]
pub struct StartupConfig {
    /// Seed of all random draws of the instance.
    pub seed: u64,
    /// Position of this router among [`Self::router_count`].
    pub router_index: u64,
    /// Number of routers that share workers and quotas; at least 1.
    pub router_count: u64,
    /// Workloads; [`WorkloadId`] is the position here.
    pub workloads: Vec<WorkloadConfig>,
    /// Customers; [`CustomerId`] is the position here.
    pub customers: Vec<CustomerConfig>,
    /// What is allowed for attempts and rejections.
    pub attempt_policy: AttemptPolicy,
    /// How fast a new worker may be loaded.
    pub slow_start: SlowStartRules,
    /// Factor on the priority weight of requests beyond their customer's quota.
    pub over_quota_factor: f64,
    /// Time for which a worker keeps an idle function loaded at least.
    pub cache_lifetime: Micros,
    /// Responses report how many requests of the same function the worker had in flight.
    pub reports_same_function: bool,
    /// The weights in the endpoint list are the same for every router and do not follow the load.
    pub weights_shared: bool,
    /// Clients give every first try of a workload the same timeout; less time left was spent elsewhere.
    pub timeouts_shared: bool,
    /// The endpoint list is delivered only after [`Actions::watch_endpoints`].
    pub watches_endpoints: bool,
}

impl StartupConfig {
    /// The mean latency objective of all workloads in microseconds; 0 without workloads.
    pub fn mean_latency_objective(&self) -> f64 {
        let objectives = self.workloads.iter().map(|workload| workload.latency_objective as f64);
        objectives.sum::<f64>() / self.workloads.len().max(1) as f64
    }
}

// ---- Endpoints -------------------------------------------------------------------------

/// What a router has measured of one incarnation of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerHistory {
    /// Requests of all routers that it could hold; 0 where that is unknown.
    pub concurrency_limit: f64,
    /// Response times as a multiple of the latency objective, as a moving average.
    pub queueing_delay: f64,
    /// Share of errors and lost connections among its results, as a moving average; an ejection resets it to
    /// 0.
    pub error_rate: f64,
    /// It was ejected, or in its recovery ramp afterwards.
    pub ejected: bool,
}

/// How complete a delivered endpoint list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only the endpoints that changed.
    Changes,
    /// All endpoints.
    Full,
    /// All endpoints as of an earlier time, from a store of the platform.
    Saved,
    /// The list could not be fetched; it holds no entries.
    Failed,
}

/// The state of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is no longer there.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Whether it takes requests.
    pub status: WorkerStatus,
    /// When it started; identifies the incarnation. 0: before anything that matters here.
    pub up_since: Micros,
    /// Its zone, where known.
    pub zone: Option<ZoneId>,
    /// Its rack.
    pub rack: RackId,
    /// Its capacity relative to other workers.
    pub weight: f64,
}

// ---- Requests and attempts -------------------------------------------------------------

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct RequestArrival {
    /// Its id, unique among the requests in progress and those that still have an attempt in flight.
    pub request: RequestId,
    /// The function that it calls.
    pub function: FunctionId,
    /// Its workload.
    pub workload: WorkloadId,
    /// Its customer, where known.
    pub customer: Option<CustomerId>,
    /// Time until its deadline.
    pub time_left: Micros,
    /// Requests of the function that a worker is expected to run at once.
    pub concurrency: u32,
    /// The client says that it has tried before.
    pub retry: bool,
    /// How long a worker takes to load the function, where known.
    pub load_time: Option<Micros>,
    /// Factor on the workload's priority weight: 1, or more where earlier steps of a workflow have been
    /// paid for.
    pub priority_factor: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker executed the request and returned its result.
    Finished,
    /// The worker does not have the function; nothing was executed.
    NotLoaded,
    /// The worker reported an error; the request may have been executed.
    Error,
    /// The worker had no capacity; nothing was executed.
    Overloaded,
    /// No response in time.
    TimedOut,
    /// No connection could be established; nothing was executed.
    ConnectFailed,
    /// The connection was lost before the response.
    ConnectionLost,
    /// The router cancelled the attempt.
    Cancelled,
    /// The attempt was dropped before anything of it was executed, because another one took its place.
    Superseded,
}

/// What a response reports about the function at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadState {
    /// Nothing is reported.
    Unreported,
    /// The function was loaded already.
    Loaded,
    /// The attempt started the load.
    LoadStarted,
    /// The attempt waited for a load in progress.
    LoadPending,
    /// The load failed.
    LoadFailed,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The request has its final response, by this result or an earlier one.
    pub request_ended: bool,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// What is reported about the function.
    pub load_state: LoadState,
    /// Requests of the function that the worker had when the attempt arrived; 0 where not reported.
    pub same_function_in_flight: u32,
    /// Requests of all functions that the worker has, where reported.
    pub reported_in_flight: Option<f64>,
    /// Loads in progress or queued at the worker, where reported.
    pub reported_loads: Option<f64>,
}

/// What the decisions ask their owner to do. Each call takes effect at the time of the call.
///
/// Each attempt that was sent needs one
/// [`Control::attempt_finished`](crate::control::Control::attempt_finished), also after a cancel or after the
/// end of its request: until then it counts as in flight at its worker.
pub trait Actions {
    /// Sends the next attempt of a request. It may take `timeout`; nothing of it may leave from `not_after`
    /// on, as a
    /// repetition would not be recognized any more.
    fn send(&mut self, request: RequestId, worker: WorkerId, timeout: Micros, not_after: Micros);
    /// Cancels an attempt, by its number from 0.
    fn cancel(&mut self, request: RequestId, attempt: usize);
    /// Ends a request with a rejection, after which a retry does no harm; `retry_after` names a time for it.
    fn reject(&mut self, request: RequestId, retry_after: Option<Micros>);
    /// Ends a request with a failure: it may have been executed.
    fn fail(&mut self, request: RequestId);
    /// Has [`Control::timer_fired`](crate::control::Control::timer_fired) called after `delay`.
    fn set_timer(&mut self, delay: Micros, token: TimerToken);
    /// Writes a line to the log.
    fn log(&mut self, text: &str);
    /// Asks for the endpoint list and its changes.
    fn watch_endpoints(&mut self);
}
