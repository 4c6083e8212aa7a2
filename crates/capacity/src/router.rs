//! One hollow router: the decisions alone, driven through simulated time.
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
/// How long a worker keeps an idle copy of a function.
const KEEP: Micros = 60 * SECOND;
/// How long a call runs at a warm worker, and how much longer where the copy is loaded first.
const SERVICE: Micros = 50 * MS;
const LOAD: Micros = 400 * MS;
/// Calls that workers can do, as a multiple of those that come.
const CAPACITY: f64 = 1.4;

/// What a fleet is made of, and what one of its routers meets.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Workers in the list.
    pub workers: usize,
    /// Routers of the fleet, this one included.
    pub routers: u64,
    /// Functions that are called.
    pub functions: usize,
    /// Calls a second at this router.
    pub calls_per_s: f64,
    /// Changes of the list a second: a worker drains, goes or comes.
    pub list_changes_per_s: f64,
}

/// The fleet that decides the design (`docs/CAPACITY.md`), seen by one router.
pub const AHEAD: Size = Size {
    workers: 30_000,
    routers: 7_000,
    functions: 290_000,
    calls_per_s: 124.0,
    list_changes_per_s: 10.0,
};

/// Real time of the calls of one kind of event.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    took: Vec<Duration>,
    bytes: u64,
}

impl Cost {
    /// How many events there were.
    pub fn events(&self) -> usize {
        self.took.len()
    }

    /// Bytes allocated by an event in the mean, whether freed or not: a measure of work that is the same on
    /// every machine.
    pub fn mean_bytes(&self) -> f64 {
        self.bytes as f64 / self.took.len().max(1) as f64
    }

    /// The sum over all events.
    pub fn total(&self) -> Duration {
        self.took.iter().sum()
    }

    /// The mean in µs; 0 without events.
    pub fn mean_us(&self) -> f64 {
        self.total().as_secs_f64() * 1e6 / self.took.len().max(1) as f64
    }

    /// The time that this part of the events did not exceed, in µs.
    pub fn quantile_us(&self, part: f64) -> f64 {
        let mut sorted = self.took.clone();
        sorted.sort_unstable();
        let place = ((sorted.len() as f64 * part) as usize).min(sorted.len().saturating_sub(1));
        sorted.get(place).map_or(0.0, |took| took.as_secs_f64() * 1e6)
    }
}

/// What a counting allocator tells of the whole process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allocated {
    /// Bytes allocated so far.
    pub total: u64,
    /// Those of them that have not been freed.
    pub live: u64,
}

/// Watches one router's memory: what its events allocate, and what of that they do not free.
struct Meter {
    allocated: fn() -> Allocated,
    state: i64,
}

impl Meter {
    /// Runs one event, with its time and what it leaves allocated.
    fn run<T>(&mut self, cost: &mut Cost, event: impl FnOnce() -> T) -> T {
        let before = (self.allocated)();
        let begun = Instant::now();
        let result = event();
        let took = begun.elapsed();
        let after = (self.allocated)();
        self.state += after.live as i64 - before.live as i64;
        cost.bytes += after.total - before.total;
        cost.took.push(took);
        result
    }
}

/// What a stretch of simulated time cost, by kind of event.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    /// Requests that came.
    pub requests: Cost,
    /// Answers of workers.
    pub answers: Cost,
    /// Timers, the regular look among them.
    pub timers: Cost,
    /// Changes of the list.
    pub lists: Cost,
    /// Simulated time.
    pub span: Duration,
}

impl Costs {
    /// µs for a call in the mean: its request and its answers.
    pub fn call_us(&self) -> f64 {
        let both = self.requests.total() + self.answers.total();
        both.as_secs_f64() * 1e6 / self.requests.events().max(1) as f64
    }

    /// The part of a core that all events take.
    pub fn core(&self) -> f64 {
        let all = [&self.requests, &self.answers, &self.timers, &self.lists];
        all.iter().map(|cost| cost.total()).sum::<Duration>().as_secs_f64() / self.span.as_secs_f64()
    }
}

/// What the router ordered, carried out in simulated time.
#[derive(Default)]
struct World {
    now: Micros,
    timers: BTreeSet<(Micros, TimerToken)>,
    sent: Vec<(RequestId, WorkerId)>,
    cancelled: Vec<(RequestId, usize)>,
    ended: Vec<RequestId>,
}

impl Actions for World {
    fn send(&mut self, request: RequestId, server: WorkerId, _: Micros, _: Micros) {
        self.sent.push((request, server));
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

/// A request under way and its attempts so far.
struct Request {
    function: usize,
    attempts: usize,
}

/// How requests ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    /// A worker served them.
    pub served: u64,
    /// The router refused them or gave them up.
    pub given_up: u64,
}

/// One router with its workers and clients.
pub struct HollowRouter {
    control: Control,
    meter: Meter,
    world: World,
    size: Size,
    popularity: Popularity,
    rng: Rand64,
    workers: Vec<WorkerId>,
    next_worker: u64,
    next_request: u64,
    requests: HashMap<[u8; 36], Request>,
    answers: BTreeMap<(Micros, RequestId, usize), WorkerId>,
    /// Until when a worker keeps a copy that this router's calls brought there.
    copies: HashMap<(u64, usize), Micros>,
    /// What taking in the whole list at the start cost.
    pub start: Cost,
    /// How requests ended so far.
    pub ends: Ends,
}

fn startup(size: &Size) -> StartupConfig {
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
            requests_per_second: size.calls_per_s * size.routers as f64 * CAPACITY,
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
        cache_lifetime: KEEP,
        reports_same_function: true,
        weights_shared: true,
        timeouts_shared: false,
        watches_endpoints: false,
    }
}

fn listed(server: WorkerId, standing: WorkerStatus, up_since: Micros) -> Endpoint {
    let rack = RackId((server.0 % 1000) as i64);
    Endpoint {
        worker: server,
        status: standing,
        up_since,
        zone: Some(ZoneId((server.0 % 12) as usize)),
        rack,
        weight: 1.0,
    }
}

fn request_id(number: u64) -> RequestId {
    let mut id = [b'0'; 36];
    id[..8].copy_from_slice(&number.to_be_bytes());
    RequestId(id)
}

impl HollowRouter {
    /// A router that has just started and been told the whole list. `allocated` tells what the process has
    /// allocated.
    pub fn start(size: Size, popularity: Popularity, seed: u64, allocated: fn() -> Allocated) -> Self {
        let mut world = World { now: 1_000 * SECOND, ..World::default() };
        let before = allocated().live as i64;
        let mut control = Control::new(world.now, startup(&size), &mut world);
        let mut meter = Meter { allocated, state: allocated().live as i64 - before };
        let workers: Vec<WorkerId> =
            (0..size.workers).map(|n| WorkerId::named(&format!("worker-{n}"))).collect();
        let list: Vec<Endpoint> = workers.iter().map(|id| listed(*id, WorkerStatus::Ready, 0)).collect();
        let mut start = Cost::default();
        meter.run(&mut start, || control.endpoints_updated(&mut world, EndpointListKind::Full, &list));
        HollowRouter {
            control,
            meter,
            world,
            size,
            popularity,
            rng: Rand64::new(u128::from(seed)),
            next_worker: workers.len() as u64,
            workers,
            next_request: 0,
            requests: HashMap::new(),
            answers: BTreeMap::new(),
            copies: HashMap::new(),
            start,
            ends: Ends::default(),
        }
    }

    /// Bytes that the router's decisions hold at present.
    pub fn state_bytes(&self) -> u64 {
        self.meter.state.max(0) as u64
    }

    /// Functions that the router knows at present.
    pub fn functions(&self) -> usize {
        self.control.known_functions()
    }

    /// So many workers go in one message of the list, as with a rack or a zone. What that costs.
    pub fn lose_workers(&mut self, number: usize) -> Costs {
        let mut costs = Costs::default();
        let keep = self.workers.len().saturating_sub(number);
        let gone = self.workers.split_off(keep);
        let entries: Vec<Endpoint> = gone.into_iter().map(|id| listed(id, WorkerStatus::Gone, 0)).collect();
        self.meter.run(&mut costs.lists, || {
            self.control.endpoints_updated(&mut self.world, EndpointListKind::Changes, &entries)
        });
        self.carry_out();
        costs
    }

    /// As many workers come in one message as there are too few, all of them cold. What that costs.
    pub fn regain_workers(&mut self) -> Costs {
        let mut costs = Costs::default();
        let mut entries = Vec::new();
        while self.workers.len() < self.size.workers {
            let id = WorkerId::named(&format!("worker-{}", self.next_worker));
            self.next_worker += 1;
            self.workers.push(id);
            entries.push(listed(id, WorkerStatus::Ready, self.world.now));
        }
        self.meter.run(&mut costs.lists, || {
            self.control.endpoints_updated(&mut self.world, EndpointListKind::Changes, &entries)
        });
        self.carry_out();
        costs
    }

    /// Plays so much simulated time, or until so much real time has gone by.
    ///
    /// # Panics
    /// Panics if the popularity has no function.
    pub fn play(&mut self, span: Duration, real_time: Duration) -> Costs {
        let mut costs = Costs::default();
        let (begun, from) = (Instant::now(), self.world.now);
        let until = from + span.as_micros() as Micros;
        let mut next_call = from;
        let mut next_change = from;
        while self.world.now < until && begun.elapsed() < real_time {
            let due = [
                next_call,
                next_change,
                self.world.timers.first().map_or(Micros::MAX, |(at, _)| *at),
                self.answers.first_key_value().map_or(Micros::MAX, |((at, _, _), _)| *at),
            ];
            let now = due.into_iter().min().unwrap_or(until).max(self.world.now);
            self.world.now = now;
            self.control.advance_to(now);
            if due[3] <= now {
                self.answer(&mut costs);
            } else if due[2] <= now {
                self.meter.run(&mut costs.timers, || {
                    let (_, token) = self.world.timers.pop_first().expect("it is due");
                    self.control.timer_fired(&mut self.world, token);
                });
            } else if due[1] <= now {
                next_change = now + self.wait(self.size.list_changes_per_s);
                self.change_list(&mut costs);
            } else {
                next_call = now + self.wait(self.size.calls_per_s);
                self.call(&mut costs);
            }
            self.carry_out();
        }
        costs.span = Duration::from_micros(self.world.now - from);
        costs
    }

    /// The time to the next of events that come by chance at this rate.
    fn wait(&mut self, per_s: f64) -> Micros {
        if per_s == 0.0 {
            return 1_000_000 * SECOND;
        }
        (-self.rng.rand_float().max(1e-12).ln() / per_s * 1e6) as Micros
    }

    fn call(&mut self, costs: &mut Costs) {
        let function = self.popularity.next(&mut self.rng);
        let id = request_id(self.next_request);
        self.next_request += 1;
        self.requests.insert(id.0, Request { function, attempts: 0 });
        let arrival = RequestArrival {
            request: id,
            function: FunctionId::named(&format!("function-{function}")),
            workload: WorkloadId(0),
            customer: Some(CustomerId(0)),
            time_left: 5 * SECOND,
            concurrency: 8,
            retry: false,
            load_time: Some(LOAD),
            priority_factor: 1.0,
        };
        self.meter.run(&mut costs.requests, || self.control.request_arrived(&mut self.world, &arrival));
    }

    /// A worker drains and goes, or a new one comes, in turn: the size of the list stays.
    fn change_list(&mut self, costs: &mut Costs) {
        let place = self.rng.rand_range(0..self.workers.len() as u64) as usize;
        let entry = if self.workers.len() >= self.size.workers {
            listed(self.workers.swap_remove(place), WorkerStatus::Gone, 0)
        } else {
            let id = WorkerId::named(&format!("worker-{}", self.next_worker));
            self.next_worker += 1;
            self.workers.push(id);
            listed(id, WorkerStatus::Ready, self.world.now)
        };
        self.meter.run(&mut costs.lists, || {
            self.control.endpoints_updated(&mut self.world, EndpointListKind::Changes, &[entry])
        });
    }

    fn answer(&mut self, costs: &mut Costs) {
        let ((_, request, attempt), server) = self.answers.pop_first().expect("it is due");
        let Some(called) = self.requests.get(&request.0) else { return };
        let function = called.function;
        let fleet_per_s = self.popularity.part(function) * self.size.calls_per_s * self.size.routers as f64;
        let copy = (server.0, function);
        let stood = self.copies.get(&copy).is_some_and(|until| *until > self.world.now);
        self.copies.insert(copy, self.world.now + KEEP);
        let answer = AttemptResult {
            outcome: Outcome::Finished,
            request_ended: true,
            elapsed: if stood { SERVICE } else { SERVICE + LOAD },
            load_state: if stood { LoadState::Loaded } else { LoadState::LoadStarted },
            same_function_in_flight: (fleet_per_s * SERVICE as f64 / 1e6).min(4.0) as u32,
            reported_in_flight: Some(2.0),
            reported_loads: Some(0.1),
        };
        self.meter.run(&mut costs.answers, || {
            self.control.attempt_finished(&mut self.world, request, attempt, &answer)
        });
        self.requests.remove(&request.0);
        self.ends.served += 1;
    }

    /// Whether the worker holds a copy: this router brought it there, or the others keep it loaded.
    fn stands(&self, server: WorkerId, function: usize) -> bool {
        let own = self.copies.get(&(server.0, function)).is_some_and(|until| *until > self.world.now);
        let fleet_per_s = self.popularity.part(function) * self.size.calls_per_s * self.size.routers as f64;
        own || fleet_per_s * (KEEP as f64 / 1e6) > 3.0
    }

    fn carry_out(&mut self) {
        // Buffers stay, or what they hold would count as the router's.
        let mut sent = std::mem::take(&mut self.world.sent);
        for (request, server) in sent.drain(..) {
            let Some(called) = self.requests.get_mut(&request.0) else { continue };
            let attempt = called.attempts;
            called.attempts += 1;
            let function = called.function;
            let stands = self.stands(server, function);
            if stands {
                self.copies.insert((server.0, function), self.world.now + KEEP);
            }
            let took = if stands { SERVICE } else { SERVICE + LOAD };
            self.answers.insert((self.world.now + took, request, attempt), server);
        }
        self.world.sent = sent;
        self.world.cancelled.clear();
        for request in self.world.ended.drain(..) {
            self.requests.remove(&request.0);
            self.ends.given_up += 1;
        }
    }
}
