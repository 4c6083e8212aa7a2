//! One router in simulated time: drives the decision code and measures the cost of its events.
use crate::traffic::Popularity;
use applepond::control::Control;
use applepond::interface::{
    Actions, AttemptPolicy, AttemptResult, CustomerConfig, CustomerId, Endpoint, EndpointListKind,
    FunctionId, LoadState, Micros, Outcome, RackId, RequestArrival, RequestId, RetrySafety, SlowStartRules,
    StartupConfig, TimerToken, WorkerId, WorkerStatus, WorkloadConfig, WorkloadId, ZoneId,
};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// How long a worker keeps an idle function loaded.
const CACHE_LIFETIME: Micros = 60 * SECOND;
/// How long a request runs on a worker that has the function loaded.
const SERVICE_TIME: Micros = 50 * MS;
/// How much longer it takes if the function has to be loaded first.
const LOAD_TIME: Micros = 400 * MS;
/// Request rate that the customer's quota allows, as a multiple of the actual rate.
const QUOTA_FACTOR: f64 = 1.4;

/// The size of a fleet and the load of one of its routers.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Workers in the endpoint list.
    pub workers: usize,
    /// Routers in the fleet, including this one.
    pub routers: u64,
    /// Functions that are called.
    pub functions: usize,
    /// Requests per second at this router.
    pub requests_per_s: f64,
    /// Changes of the endpoint list per second, in each of which one worker is removed or added.
    pub list_changes_per_s: f64,
}

/// The fleet that the design has to support (`docs/CAPACITY.md`), seen from one router.
pub const TARGET_FLEET: FleetSize = FleetSize {
    workers: 30_000,
    routers: 7_000,
    functions: 290_000,
    requests_per_s: 124.0,
    list_changes_per_s: 10.0,
};

/// Real time and memory used by the events of one kind.
#[derive(Clone, Debug, Default)]
pub struct EventCost {
    durations: Vec<Duration>,
    allocated_bytes: u64,
}

impl EventCost {
    /// Number of events.
    pub fn events(&self) -> usize {
        self.durations.len()
    }

    /// Mean number of bytes allocated per event, including those freed again. It is a measure of work that
    /// does not depend on the machine.
    pub fn mean_bytes(&self) -> f64 {
        self.allocated_bytes as f64 / self.durations.len().max(1) as f64
    }

    /// Total duration of all events.
    pub fn total(&self) -> Duration {
        self.durations.iter().sum()
    }

    /// Mean duration in µs; 0 if there are no events.
    pub fn mean_us(&self) -> f64 {
        self.total().as_secs_f64() * 1e6 / self.durations.len().max(1) as f64
    }

    /// Quantile of the durations in µs; 0 if there are no events.
    pub fn quantile_us(&self, quantile: f64) -> f64 {
        let mut sorted = self.durations.clone();
        sorted.sort_unstable();
        let index = ((sorted.len() as f64 * quantile) as usize).min(sorted.len().saturating_sub(1));
        sorted.get(index).map_or(0.0, |duration| duration.as_secs_f64() * 1e6)
    }
}

/// Counters of the allocator, for the whole process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllocatedBytes {
    /// Bytes allocated since the process started.
    pub total: u64,
    /// Bytes allocated and not freed.
    pub live: u64,
}

/// Measures the memory of one router: the bytes that its events allocate, and those that they leave
/// allocated.
struct AllocationMeter {
    allocated: fn() -> AllocatedBytes,
    live_bytes: i64,
}

impl AllocationMeter {
    /// Runs one event and records its duration and allocations.
    fn run<T>(&mut self, cost: &mut EventCost, event: impl FnOnce() -> T) -> T {
        let before = (self.allocated)();
        let started = Instant::now();
        let result = event();
        let duration = started.elapsed();
        let after = (self.allocated)();
        self.live_bytes += after.live as i64 - before.live as i64;
        cost.allocated_bytes += after.total - before.total;
        cost.durations.push(duration);
        result
    }
}

/// The cost of a span of simulated time, by kind of event.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    /// Requests that arrived.
    pub requests: EventCost,
    /// Responses of workers.
    pub responses: EventCost,
    /// Timers, including the periodic one.
    pub timers: EventCost,
    /// Updates of the endpoint list.
    pub list_updates: EventCost,
    /// Simulated time.
    pub span: Duration,
}

impl Costs {
    /// Mean time in µs per request, including its responses.
    pub fn us_per_request(&self) -> f64 {
        let both = self.requests.total() + self.responses.total();
        both.as_secs_f64() * 1e6 / self.requests.events().max(1) as f64
    }

    /// Share of a processor core that all events use.
    pub fn core_share(&self) -> f64 {
        let all = [&self.requests, &self.responses, &self.timers, &self.list_updates];
        all.iter().map(|cost| cost.total()).sum::<Duration>().as_secs_f64() / self.span.as_secs_f64()
    }
}

/// Records the actions of the router, which are carried out in simulated time.
#[derive(Default)]
struct RecordedActions {
    now: Micros,
    timers: BTreeSet<(Micros, TimerToken)>,
    sent: Vec<(RequestId, WorkerId)>,
    cancelled: Vec<(RequestId, usize)>,
    ended: Vec<RequestId>,
}

impl Actions for RecordedActions {
    fn send(&mut self, request: RequestId, worker: WorkerId, _: Micros, _: Micros) {
        self.sent.push((request, worker));
    }
    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.cancelled.push((request, attempt));
    }
    fn reject(&mut self, request: RequestId, _: Option<Micros>) {
        self.ended.push(request);
    }
    fn fail(&mut self, request: RequestId) {
        self.ended.push(request);
    }
    fn set_timer(&mut self, delay: Micros, token: TimerToken) {
        self.timers.insert((self.now + delay, token));
    }
    fn log(&mut self, _: &str) {}
    fn watch_endpoints(&mut self) {}
}

/// A request in progress and the number of its attempts so far.
struct PendingRequest {
    function: usize,
    attempts: usize,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestOutcomes {
    /// Requests answered by a worker.
    pub served: u64,
    /// Requests that the router rejected or failed.
    pub unserved: u64,
}

/// One router with its simulated workers and clients.
pub struct SimulatedRouter {
    control: Control,
    meter: AllocationMeter,
    actions: RecordedActions,
    size: FleetSize,
    popularity: Popularity,
    rng: Rand64,
    workers: Vec<WorkerId>,
    next_worker: u64,
    next_request: u64,
    requests: HashMap<[u8; 36], PendingRequest>,
    responses: BTreeMap<(Micros, RequestId, usize), WorkerId>,
    /// Until when a worker keeps a function loaded because of requests of this router, by worker and
    /// function.
    loaded_until: HashMap<(u64, usize), Micros>,
    /// Cost of reading the full endpoint list at the start.
    pub startup: EventCost,
    /// Outcomes of the requests so far.
    pub outcomes: RequestOutcomes,
}

fn startup_config(size: &FleetSize) -> StartupConfig {
    StartupConfig {
        seed: 1,
        router_index: 0,
        router_count: size.routers,
        workloads: vec![WorkloadConfig {
            retry_safety: RetrySafety::Idempotent,
            latency_objective: SECOND,
            priority_weight: 1.0,
            late_priority_factor: 0.2,
        }],
        customers: vec![CustomerConfig {
            requests_per_second: size.requests_per_s * size.routers as f64 * QUOTA_FACTOR,
        }],
        attempt_policy: AttemptPolicy {
            max_attempts: 4,
            cancel_allowed: true,
            hedging_allowed: true,
            retry_after_allowed: true,
            max_retry_after: SECOND,
        },
        slow_start: SlowStartRules {
            initial_capacity: 0.2,
            warmup_time: 10 * SECOND,
            overload_factor: 2.0,
            overload_window: SECOND,
        },
        over_quota_factor: 0.1,
        cache_lifetime: CACHE_LIFETIME,
        reports_same_function: true,
        weights_shared: true,
        timeouts_shared: false,
        watches_endpoints: false,
    }
}

fn endpoint(worker: WorkerId, status: WorkerStatus, up_since: Micros) -> Endpoint {
    let rack = RackId((worker.0 % 1000) as i64);
    Endpoint { worker, status, up_since, zone: Some(ZoneId((worker.0 % 12) as usize)), rack, weight: 1.0 }
}

fn request_id(number: u64) -> RequestId {
    let mut id = [b'0'; 36];
    id[..8].copy_from_slice(&number.to_be_bytes());
    RequestId(id)
}

impl SimulatedRouter {
    /// Starts a router and passes it the full endpoint list. `allocated` returns the allocator's counters.
    pub fn start(
        size: FleetSize,
        popularity: Popularity,
        seed: u64,
        allocated: fn() -> AllocatedBytes,
    ) -> Self {
        let mut actions = RecordedActions { now: 1_000 * SECOND, ..RecordedActions::default() };
        let before = allocated().live as i64;
        let mut control = Control::new(actions.now, startup_config(&size), &mut actions);
        let mut meter = AllocationMeter { allocated, live_bytes: allocated().live as i64 - before };
        let workers: Vec<WorkerId> =
            (0..size.workers).map(|n| WorkerId::named(&format!("worker-{n}"))).collect();
        let list: Vec<Endpoint> = workers.iter().map(|id| endpoint(*id, WorkerStatus::Ready, 0)).collect();
        let mut startup = EventCost::default();
        meter.run(&mut startup, || control.endpoints_updated(&mut actions, EndpointListKind::Full, &list));
        SimulatedRouter {
            control,
            meter,
            actions,
            size,
            popularity,
            rng: Rand64::new(u128::from(seed)),
            next_worker: workers.len() as u64,
            workers,
            next_request: 0,
            requests: HashMap::new(),
            responses: BTreeMap::new(),
            loaded_until: HashMap::new(),
            startup,
            outcomes: RequestOutcomes::default(),
        }
    }

    /// Bytes currently allocated by the router's state.
    pub fn state_bytes(&self) -> u64 {
        self.meter.live_bytes.max(0) as u64
    }

    /// Number of functions that the router currently has state for.
    pub fn known_functions(&self) -> usize {
        self.control.known_functions()
    }

    /// Removes workers in one update of the endpoint list, as when a rack or a zone is lost. Returns the
    /// cost.
    pub fn remove_workers(&mut self, number: usize) -> Costs {
        let mut costs = Costs::default();
        let keep = self.workers.len().saturating_sub(number);
        let gone = self.workers.split_off(keep);
        let entries: Vec<Endpoint> = gone.into_iter().map(|id| endpoint(id, WorkerStatus::Gone, 0)).collect();
        self.meter.run(&mut costs.list_updates, || {
            self.control.endpoints_updated(&mut self.actions, EndpointListKind::Changes, &entries)
        });
        self.apply_actions();
        costs
    }

    /// Replaces all missing workers by new ones, with no function loaded, in one update of the endpoint list.
    /// Returns the cost.
    pub fn restore_workers(&mut self) -> Costs {
        let mut costs = Costs::default();
        let mut entries = Vec::new();
        while self.workers.len() < self.size.workers {
            let id = WorkerId::named(&format!("worker-{}", self.next_worker));
            self.next_worker += 1;
            self.workers.push(id);
            entries.push(endpoint(id, WorkerStatus::Ready, self.actions.now));
        }
        self.meter.run(&mut costs.list_updates, || {
            self.control.endpoints_updated(&mut self.actions, EndpointListKind::Changes, &entries)
        });
        self.apply_actions();
        costs
    }

    /// Simulates this span of time, or less if `real_time` has passed before its end.
    ///
    /// # Panics
    /// If the popularity has no function.
    pub fn simulate(&mut self, span: Duration, real_time: Duration) -> Costs {
        let mut costs = Costs::default();
        let (started, from) = (Instant::now(), self.actions.now);
        let until = from + span.as_micros() as Micros;
        let mut next_request = from;
        let mut next_change = from;
        while self.actions.now < until && started.elapsed() < real_time {
            let due = [
                next_request,
                next_change,
                self.actions.timers.first().map_or(Micros::MAX, |(at, _)| *at),
                self.responses.first_key_value().map_or(Micros::MAX, |((at, _, _), _)| *at),
            ];
            let now = due.into_iter().min().unwrap_or(until).max(self.actions.now);
            self.actions.now = now;
            self.control.advance_to(now);
            if due[3] <= now {
                self.deliver_response(&mut costs);
            } else if due[2] <= now {
                self.meter.run(&mut costs.timers, || {
                    let (_, token) = self.actions.timers.pop_first().expect("it is due");
                    self.control.timer_fired(&mut self.actions, token);
                });
            } else if due[1] <= now {
                next_change = now + self.delay_to_next(self.size.list_changes_per_s);
                self.update_list(&mut costs);
            } else {
                next_request = now + self.delay_to_next(self.size.requests_per_s);
                self.send_request(&mut costs);
            }
            self.apply_actions();
        }
        costs.span = Duration::from_micros(self.actions.now - from);
        costs
    }

    /// Draws the time to the next event of a Poisson process with this rate.
    fn delay_to_next(&mut self, per_s: f64) -> Micros {
        if per_s == 0.0 {
            return 1_000_000 * SECOND;
        }
        (-self.rng.rand_float().max(1e-12).ln() / per_s * 1e6) as Micros
    }

    fn send_request(&mut self, costs: &mut Costs) {
        let function = self.popularity.sample(&mut self.rng);
        let id = request_id(self.next_request);
        self.next_request += 1;
        self.requests.insert(id.0, PendingRequest { function, attempts: 0 });
        let arrival = RequestArrival {
            request: id,
            function: FunctionId::named(&format!("function-{function}")),
            workload: WorkloadId(0),
            customer: Some(CustomerId(0)),
            time_left: 5 * SECOND,
            concurrency: 8,
            retry: false,
            load_time: Some(LOAD_TIME),
            priority_factor: 1.0,
        };
        self.meter.run(&mut costs.requests, || self.control.request_arrived(&mut self.actions, &arrival));
    }

    /// Alternately removes a worker and adds a new one, so that the size of the endpoint list stays the same.
    fn update_list(&mut self, costs: &mut Costs) {
        let index = self.rng.rand_range(0..self.workers.len() as u64) as usize;
        let entry = if self.workers.len() >= self.size.workers {
            endpoint(self.workers.swap_remove(index), WorkerStatus::Gone, 0)
        } else {
            let id = WorkerId::named(&format!("worker-{}", self.next_worker));
            self.next_worker += 1;
            self.workers.push(id);
            endpoint(id, WorkerStatus::Ready, self.actions.now)
        };
        self.meter.run(&mut costs.list_updates, || {
            self.control.endpoints_updated(&mut self.actions, EndpointListKind::Changes, &[entry])
        });
    }

    fn deliver_response(&mut self, costs: &mut Costs) {
        let ((_, request, attempt), worker) = self.responses.pop_first().expect("it is due");
        let Some(pending) = self.requests.get(&request.0) else { return };
        let function = pending.function;
        let fleet_per_s =
            self.popularity.share(function) * self.size.requests_per_s * self.size.routers as f64;
        let key = (worker.0, function);
        let was_loaded = self.loaded_until.get(&key).is_some_and(|until| *until > self.actions.now);
        self.loaded_until.insert(key, self.actions.now + CACHE_LIFETIME);
        let response = AttemptResult {
            outcome: Outcome::Finished,
            request_ended: true,
            elapsed: if was_loaded { SERVICE_TIME } else { SERVICE_TIME + LOAD_TIME },
            load_state: if was_loaded { LoadState::Loaded } else { LoadState::LoadStarted },
            same_function_in_flight: (fleet_per_s * SERVICE_TIME as f64 / 1e6).min(4.0) as u32,
            reported_in_flight: Some(2.0),
            reported_loads: Some(0.1),
        };
        self.meter.run(&mut costs.responses, || {
            self.control.attempt_finished(&mut self.actions, request, attempt, &response)
        });
        self.requests.remove(&request.0);
        self.outcomes.served += 1;
    }

    /// Whether the worker has the function loaded, by requests of this router or of the others.
    fn is_loaded(&self, worker: WorkerId, function: usize) -> bool {
        let own = self.loaded_until.get(&(worker.0, function)).is_some_and(|until| *until > self.actions.now);
        let fleet_per_s =
            self.popularity.share(function) * self.size.requests_per_s * self.size.routers as f64;
        own || fleet_per_s * (CACHE_LIFETIME as f64 / 1e6) > 3.0
    }

    fn apply_actions(&mut self) {
        // The buffers are reused: memory that the router's calls allocate in them would count as the
        // router's.
        let mut sent = std::mem::take(&mut self.actions.sent);
        for (request, worker) in sent.drain(..) {
            let Some(pending) = self.requests.get_mut(&request.0) else { continue };
            let attempt = pending.attempts;
            pending.attempts += 1;
            let function = pending.function;
            let is_loaded = self.is_loaded(worker, function);
            if is_loaded {
                self.loaded_until.insert((worker.0, function), self.actions.now + CACHE_LIFETIME);
            }
            let duration = if is_loaded { SERVICE_TIME } else { SERVICE_TIME + LOAD_TIME };
            self.responses.insert((self.actions.now + duration, request, attempt), worker);
        }
        self.actions.sent = sent;
        self.actions.cancelled.clear();
        for request in self.actions.ended.drain(..) {
            self.requests.remove(&request.0);
            self.outcomes.unserved += 1;
        }
    }
}
