//! All decisions of one router.
//!
//! The owner creates a [`Control`] from its configuration. For each event it calls [`Control::advance_to`]
//! and then the method of that event:
//!
//! | event | method |
//! | --- | --- |
//! | the endpoint list or changes of it arrive | [`Control::endpoints_updated`] |
//! | a request arrives | [`Control::request_arrived`] |
//! | an attempt ends | [`Control::attempt_finished`] |
//! | the first byte of a response is forwarded | [`Control::response_started`] |
//! | the client of a request disconnects | [`Control::client_disconnected`] |
//! | a timer fires | [`Control::timer_fired`] |
//! | the configuration changes | [`Control::reconfigure`] |
//! | the process shuts down | [`Control::finish_all`] |
//!
//! Five invariants always hold: a request gets one final response, before its deadline, and nothing after
//! it (rule 1); it is not executed twice unless that is safe (rule 2); no new request goes to a draining or
//! removed worker (rule 3); a worker that is warming up receives a bounded amount of work (rule 4); the
//! number of concurrent loads is bounded (rule 5).
//!
//! Decisions are issued as calls of [`Actions`]. This module does no I/O, reads no clock, and draws random
//! numbers only from the configured seed. `docs/design.md` describes the design; each mechanism has its own
//! module:
//!
//! - [`routing`]: home worker, hash order, overflow;
//! - [`hedging`] and [`retry`]: second attempts, and whether a request may be repeated (rules 1 and 2);
//! - [`endpoints`]: the set of workers (rule 3);
//! - [`slow_start`]: limits for workers that are warming up (rule 4);
//! - [`load_limiter`]: limit on concurrent loads (rule 5);
//! - [`outlier_ejection`]: errors, unresponsive workers, recovery;
//! - [`concurrency_limit`]: queueing delay and overload;
//! - [`quota`] and [`shedding`]: customers' quotas; queue priority and rejection;
//! - [`feedback`]: estimates updated from results.

mod capacity;
pub mod concurrency_limit;
mod dispatch;
mod endpoints;
mod feedback;
mod hedging;
pub mod load_limiter;
pub mod outlier_ejection;
pub mod quota;
pub mod retry;
mod routing;
mod shedding;
pub mod slow_start;
mod timers;
mod traffic;
mod workloads;

use crate::averages::{MICROS_PER_SECOND, TICK_INTERVAL};
use crate::hashing::HashOrder;
use crate::interface::{
    Actions, AttemptResult, CustomerId, FunctionId, Micros, RequestArrival, RequestId, StartupConfig,
    TimerToken, WorkerHistory, WorkerId, WorkloadId,
};
use crate::state::function::Functions;
use crate::state::request::{AttemptId, AttemptState, Request};
use crate::state::worker_table::Workers;
use applepond_rendezvous::PrefixCache;
use applepond_wait_queue::{Key, WaitQueue};
use capacity::FleetCapacity;
use load_limiter::{DEFAULT_LOAD_TIME, LoadLimiter};
use oorandom::Rand64;
use quota::CustomerQuotas;
use retry::AttemptBudget;
use shedding::GIVE_UP_MARGIN;
use std::collections::BTreeMap;
use std::num::NonZeroUsize;
use timers::{Timer, Timers};
use traffic::Traffic;
use workloads::Workloads;

/// Time after which a function that is neither called nor possibly loaded anywhere is forgotten.
const FUNCTION_IDLE_TIME: Micros = 60 * MICROS_PER_SECOND;
/// Number of known functions above which idle ones are evicted, least recently called first. Several times
/// the number of functions seen within [`FUNCTION_IDLE_TIME`].
const MAX_FUNCTIONS: usize = 8_192;
/// Fraction (1/n) of the function table that is evicted at once when it is full.
const EVICTION_DIVISOR: usize = 8;
/// Number of functions whose first workers in hash order are cached. It covers several minutes of traffic:
/// computing an order costs as much as a hundred requests.
const MAX_CACHED_ORDERS: NonZeroUsize = NonZeroUsize::new(8_192).expect("above zero");
/// Multiple of a function's load time after which an unanswered load is no longer waited for.
const LOAD_WAIT_FACTOR: u64 = 5;
/// Units of request priority per unit of priority weight.
const PRIORITY_SCALE: f64 = 1000.0;

/// Key of a request in the wait queue.
type QueueKey = Key<RequestId>;

/// An attempt without a result yet; it may outlive its request.
struct InFlightAttempt {
    worker: WorkerId,
    function: FunctionId,
    workload: WorkloadId,
    customer: Option<CustomerId>,
    sent_at: Micros,
    /// Whether the function was believed to be loaded at the worker when the attempt was sent.
    was_loaded: bool,
}

/// The decision logic of one router and its state.
pub struct Control {
    /// Time of the current event.
    now: Micros,
    rng: Rand64,
    config: StartupConfig,
    workloads: Workloads,
    quotas: CustomerQuotas,
    workers: Workers,
    functions: Functions,
    /// Cached prefixes of the functions' hash orders.
    hash_orders: PrefixCache<HashOrder>,
    /// Requests without a final response.
    requests: BTreeMap<RequestId, Request>,
    /// The requests that wait for a worker.
    queue: WaitQueue<RequestId, FunctionId, WorkloadId>,
    in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    timers: Timers,
    loads: LoadLimiter,
    attempt_budget: AttemptBudget,
    traffic: Traffic,
    fleet: FleetCapacity,
    /// Whether an endpoint list has been received.
    endpoints_known: bool,
}

impl Control {
    /// Creates an instance that starts at `now`.
    pub fn new(now: Micros, config: StartupConfig, actions: &mut dyn Actions) -> Self {
        let mut control = Control {
            now,
            rng: Rand64::new(u128::from(config.seed)),
            workloads: Workloads::new(&config),
            quotas: CustomerQuotas::new(now, &config.customers),
            config,
            workers: Workers::default(),
            functions: Functions::default(),
            hash_orders: PrefixCache::with_capacity(MAX_CACHED_ORDERS),
            requests: BTreeMap::new(),
            queue: WaitQueue::default(),
            in_flight: BTreeMap::new(),
            timers: Timers::default(),
            loads: LoadLimiter::new(now),
            attempt_budget: AttemptBudget::default(),
            traffic: Traffic::starting_at(now),
            fleet: FleetCapacity::default(),
            endpoints_known: false,
        };
        if control.config.watches_endpoints {
            actions.watch_endpoints();
        }
        control.timers.set(actions, TICK_INTERVAL, Timer::Tick);
        control
    }

    // ---- Events ----------------------------------------------------------------------------

    /// Sets the time of the events that follow. Time must not go backwards between calls; this is not
    /// checked.
    pub fn advance_to(&mut self, now: Micros) {
        self.now = now;
    }

    /// Applies a changed configuration. Existing workloads and customers must keep their indexes; new ones
    /// may be appended. Requests in progress keep their retry safety. If hedging is no longer allowed,
    /// second attempts in flight are cancelled.
    pub fn reconfigure(&mut self, actions: &mut dyn Actions, config: StartupConfig) {
        self.workloads.reconfigure(&config);
        self.quotas.reconfigure(self.now, &config.customers);
        self.config = config;
        self.cancel_forbidden_hedges(actions);
        self.refresh_capacity();
        self.dispatch(actions);
    }

    /// Accepts a request: sends it at once if a worker has capacity, otherwise queues it.
    pub fn request_arrived(&mut self, actions: &mut dyn Actions, arrival: &RequestArrival) {
        self.attempt_budget.earn(arrival.retry);
        self.traffic.record_arrival(self.now);
        self.record_call(arrival);
        let request = self.new_request(arrival);
        let must_queue = self
            .queue
            .highest_unsent_priority(request.function)
            .is_some_and(|priority| priority >= request.priority);
        let id = arrival.request;
        self.forget_request(id);
        self.requests.insert(id, request);
        self.enqueue(id);
        let worker = if must_queue { None } else { self.select_worker(id) };
        if let Some(worker) = worker {
            self.queue.remove(&self.queue_key(id));
            self.send_and_schedule_hedge(actions, id, worker);
        } else if arrival.time_left <= GIVE_UP_MARGIN + TICK_INTERVAL {
            // The next tick may come too late to end the request before its deadline.
            self.give_up(actions, id);
        }
    }

    /// Processes the result of an attempt. A second result of the same attempt is ignored.
    pub fn attempt_finished(
        &mut self,
        actions: &mut dyn Actions,
        request: RequestId,
        attempt: usize,
        result: &AttemptResult,
    ) {
        let id = AttemptId { request, number: attempt };
        let Some(in_flight) = self.in_flight.remove(&id) else { return };
        self.record_result(actions, &in_flight, result);
        self.end_attempt(actions, id, result);
        self.dispatch(actions);
    }

    /// Records that the response is being streamed to the client; the router no longer ends the request
    /// itself.
    pub fn response_started(&mut self, request: RequestId) {
        if let Some(request) = self.requests.get_mut(&request) {
            request.response_started = true;
        }
    }

    /// Ends a request whose client has disconnected. Its attempts in flight are cancelled, because clients
    /// that give up tend to retry and the abandoned work would add to the load.
    pub fn client_disconnected(&mut self, actions: &mut dyn Actions, request: RequestId) {
        if self.requests.contains_key(&request) {
            self.cancel_attempts(actions, request);
        }
        self.forget_request(request);
    }

    /// Handles a timer. Unknown tokens are ignored.
    pub fn timer_fired(&mut self, actions: &mut dyn Actions, token: TimerToken) {
        match self.timers.take(token) {
            Some(Timer::Tick) => self.tick(actions),
            Some(Timer::Hedge(attempt)) => self.hedge(actions, attempt),
            None => {}
        }
    }

    /// Gives every request whose response has not started its final response, for a shutdown. The owner
    /// finishes the others.
    pub fn finish_all(&mut self, actions: &mut dyn Actions) {
        let all: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in all {
            self.give_up(actions, id);
        }
    }

    // ---- Queries ---------------------------------------------------------------------------

    /// Number of functions currently known.
    pub fn known_functions(&self) -> usize {
        self.functions.len()
    }

    /// Measurements of every worker, with the start time of its incarnation.
    pub fn worker_histories(&self) -> impl Iterator<Item = (WorkerId, Micros, WorkerHistory)> + '_ {
        self.workers.iter().map(|(id, worker)| {
            let history = WorkerHistory {
                concurrency_limit: worker.concurrency.limit,
                queueing_delay: worker.concurrency.queueing_delay,
                error_rate: worker.outlier.error_rate,
                ejected: worker.outlier.is_recovering(),
            };
            (*id, worker.up_since, history)
        })
    }

    /// The known load times.
    pub fn load_times(&self) -> impl Iterator<Item = (FunctionId, Micros)> + '_ {
        self.functions.iter().filter_map(|(id, function)| Some((*id, function.load_time?)))
    }

    /// Applies measurements taken before a restart or by another router. Returns false if the worker is
    /// unknown, is a different incarnation, or has no concurrency limit yet. The history can only make the
    /// router more careful: a worker never gets more than a new one would, and an ejected worker is probed
    /// with a single request.
    pub fn restore_worker_history(
        &mut self,
        id: WorkerId,
        up_since: Micros,
        history: &WorkerHistory,
    ) -> bool {
        let throughput = self.fleet.throughput;
        let is_same = |worker: &&mut crate::state::worker::Worker| {
            worker.up_since == up_since && worker.concurrency.limit > 0.0
        };
        let Some(worker) = self.workers.get_mut(&id).filter(is_same) else { return false };
        let min_limit = throughput.min_limit(worker.weight);
        worker.concurrency.restore(history.concurrency_limit, history.queueing_delay, min_limit);
        worker.outlier.restore(history.error_rate, history.ejected);
        self.workers.mark_suspect(id);
        true
    }

    // ---- Event handling --------------------------------------------------------------------

    /// Cancels the second of two attempts in flight if hedging is no longer allowed.
    fn cancel_forbidden_hedges(&self, actions: &mut dyn Actions) {
        let policy = &self.config.attempt_policy;
        if policy.hedging_allowed || !policy.cancel_allowed {
            return;
        }
        let hedged =
            self.requests.iter().filter(|(_, request)| !request.response_started && request.in_flight() > 1);
        for (id, request) in hedged {
            actions.cancel(*id, request.attempts.len() - 1);
        }
    }

    /// Records a call of a function.
    fn record_call(&mut self, arrival: &RequestArrival) {
        if self.functions.len() >= MAX_FUNCTIONS && self.functions.get(arrival.function).is_none() {
            self.evict_functions();
        }
        let function = self.functions.begin_request(arrival.function);
        function.concurrency = arrival.concurrency.max(1);
        function.load_time = arrival.load_time.or(function.load_time);
        function.calls.record(self.now);
    }

    /// Builds the state of a new request, including its priority.
    fn new_request(&mut self, arrival: &RequestArrival) -> Request {
        let now = self.now;
        let router_count = self.config.router_count;
        let customer = arrival.customer;
        let over_quota = customer.is_some_and(|customer| !self.quotas.try_take(now, customer, router_count));
        let workload = self.workloads.get_mut(arrival.workload);
        let spent = workload.record_time_left(arrival.time_left);
        let spent_before = if self.config.timeouts_shared { spent } else { 0 };
        // By the time a client retries, the first try has used up the latency objective.
        let late = arrival.retry
            || spent_before as f64 + workload.service_time() > workload.latency_objective as f64;
        let quota_factor = if over_quota { self.config.over_quota_factor } else { 1.0 };
        let late_factor = if late { workload.late_priority_factor } else { 1.0 };
        let factor = quota_factor * late_factor;
        let priority = workload.priority_weight * factor * arrival.priority_factor * PRIORITY_SCALE;
        Request {
            function: arrival.function,
            workload: arrival.workload,
            retry_safety: workload.retry_safety,
            customer,
            arrived_at: now.saturating_sub(spent_before),
            deadline: now + arrival.time_left,
            priority: priority as u64,
            random_bits: self.rng.rand_u64(),
            attempts: Vec::new(),
            response_started: false,
            late,
        }
    }

    /// Periodic check of workers and waiting requests.
    fn tick(&mut self, actions: &mut dyn Actions) {
        let now = self.now;
        self.timers.set(actions, TICK_INTERVAL, Timer::Tick);
        self.workers.advance_tick();
        self.end_overdue_loads();
        while let Some(id) = self.workers.take_expired(now) {
            self.drop_expired(id);
        }
        // Bounds the table's growth when clients send arbitrary function names.
        self.functions.forget_idle(now, FUNCTION_IDLE_TIME);
        self.clear_recovered_workers();
        self.refresh_capacity();
        self.eject_silent_workers(actions);
        if !self.queue.is_empty() {
            self.check_waiting(actions);
            self.dispatch(actions);
        }
    }

    /// Stops waiting for loads that take far too long; otherwise a worker that died while loading would
    /// block the function.
    fn end_overdue_loads(&mut self) {
        let in_progress: Vec<(FunctionId, WorkerId)> = self.loads.in_progress().collect();
        for (function, id) in in_progress {
            let longest = LOAD_WAIT_FACTOR * self.load_time(function);
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            let Some(known) = worker.functions.get_mut(&function) else { continue };
            if known.loading_since.is_some_and(|since| self.now >= since + longest) {
                known.loading_since = None;
                self.loads.end(function, id);
                self.workers.schedule_expiry(id);
            }
        }
    }

    /// Drops expired entries of a worker.
    fn drop_expired(&mut self, id: WorkerId) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.warmup_work.retain(|work| work.expires_at > now);
        let lost = worker
            .functions
            .extract_if(.., |_, known| known.is_idle() && known.expires_at() <= now)
            .collect();
        self.functions.remove_worker(id, &lost);
        self.workers.schedule_expiry(id);
    }

    /// Evicts functions from a full table, and removes their entries at workers without an attempt of them in
    /// flight.
    fn evict_functions(&mut self) {
        for (id, evicted) in self.functions.evict(MAX_FUNCTIONS / EVICTION_DIVISOR) {
            for worker in &evicted.workers {
                let Some(worker) = self.workers.get_mut(worker) else { continue };
                if worker.functions.get(&id).is_some_and(|known| known.in_flight == 0) {
                    worker.functions.remove(&id);
                }
            }
        }
    }

    /// Load time of a function, or the default if it is unknown.
    fn load_time(&self, function: FunctionId) -> Micros {
        self.functions.get(function).and_then(|known| known.load_time).unwrap_or(DEFAULT_LOAD_TIME)
    }

    /// Cancels all attempts of a request that are in flight, if cancelling is allowed.
    fn cancel_attempts(&self, actions: &mut dyn Actions, id: RequestId) {
        if !self.config.attempt_policy.cancel_allowed {
            return;
        }
        for (number, attempt) in self.requests[&id].attempts.iter().enumerate() {
            if attempt.state == AttemptState::InFlight {
                actions.cancel(id, number);
            }
        }
    }

    /// Removes a request that has its final response or whose client has disconnected.
    fn forget_request(&mut self, id: RequestId) {
        if !self.requests.contains_key(&id) {
            return;
        }
        let key = self.queue_key(id);
        self.queue.remove(&key);
        if let Some(request) = self.requests.remove(&id) {
            self.functions.end_request(request.function);
        }
    }
}
