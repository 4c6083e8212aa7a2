//! All decisions of one router.
//!
//! How it is called: an instance's owner makes one `Control` from the start-up rows and calls, for each
//! event, `clock` and one of `list`, `request`, `answered`, `streaming`, `left`, `wake`, `switch` (other
//! rows). Interface: `src/interface.rs` (ids, time, rows, `AttemptResult`, `Actions`). No wire, no input or
//! output here.
//!
//! The design (docs/design.md): a function's requests go to its home, the first worker in a hash order that
//! all routers share; lanes filled by own requests move on to the next worker; one copy after the hedge
//! delay; what would begin a second load waits while this router's request at a worker not yet serving is
//! unanswered.
//!
//! Mechanisms beside the design, six at most:
//! 1. Set aside: a worker that errs, breaks or falls silent gets nothing, then a trickle that doubles.
//! 2. Fresh workers: an even part, by chance, of a budget of work while a worker is cold.
//! 3. Room: a bound on the requests of all routers at a worker, moved by how late its answers are.
//! 4. Further attempts, within one budget shared with copies.
//! 5. Pushback: what waits here goes out by value and is pushed back once its start target is lost.
//! 6. Loads: a bound on own loads under way.

use crate::functions::Functions;
use crate::hashing::{HashOrder, hash_pair, unit_interval};
use crate::interface::*;
use crate::requests::{Fate, Job, Tried};
use crate::servers::{Holding, Server, Servers};
use applepond_rendezvous::{Draw, Prefix, PrefixCache, Ranked};
use applepond_wait_queue::{Row, Waiting};
use oorandom::Rand64;
use std::cell::LazyCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroUsize;

// ---- Constants: unit, and why this size ------------------------------------------------

/// µs between two looks at what waits: far below any start target, far above a batch.
const BEAT: Micros = 20_000;
/// µs assumed for a load where none was told or seen: the design's two seconds stand for twice this.
const LOAD_UNTOLD: Micros = 1_000_000;
/// Copies and further attempts earned by one first try: they must not double the load.
const BUDGET_PER_JOB: f64 = 0.05;
/// Copies and further attempts saved up at most: a short trouble's worth.
const BUDGET_MOST: f64 = 20.0;
/// Part of the start target whose work at a full pace is a worker's room to begin with.
const ROOM_PART: f64 = 0.5;
/// Jobs of all routers at a worker at least, as a multiple of those that fill its cores: none may starve.
const ROOM_LEAST: f64 = 0.5;
/// Jobs at a worker, and own loads under way, at most: beyond what either ever needs.
const ROOM_MOST: f64 = 64.0;
/// Jobs of all routers at a worker that are never a crowd: below this chance decides, not load.
const CROWD_FREE: f64 = 5.0;
/// Times the mean of requests a worker, by size, that make a crowd: the usual bound of bounded-load hashing.
const CROWD: f64 = 1.5;
/// Part of the start target under which answers let room grow.
const LAG_LOW: f64 = 0.2;
/// Part of the start target that answers may take before room shrinks: half is left for chance.
const LAG_HIGH: f64 = 0.33;
/// µs for which a request, and its function, avoid a worker that has just turned it away: a few requests'
/// work.
const REST: Micros = 300_000;
/// Part of the start target within which a worker without room says so: turning away takes no work.
const FULL_QUICK: f64 = 0.06;
/// µs for which a customer's requests keep away from a worker that turns it away alone.
const SHUT_REST: Micros = 8_000_000;
/// Weight of a new answer in the running figures at least: the last ten or so count.
const FRESH: f64 = 0.15;
/// µs over which rates are taken, and after which what was heard of a worker has lost most of its weight.
const SPAN: f64 = 15_000_000.0;
/// Weight of a new sample of what stands at a worker: a sample is nearly the whole truth, but noisy.
const CROWD_FRESH: f64 = 0.5;
/// Weight of a new answer in a workload's usual time: slow, so that a short queue does not change it.
const SERVICE_FRESH: f64 = 0.05;
/// Part of the start target that a request is taken to need before any has finished.
const SERVICE_START: f64 = 0.2;
/// Factor on room at each shrinking: two steps halve it.
const ROOM_CUT: f64 = 0.75;
/// Share of errors at which a worker is set aside: two errors close together, never one.
const ERRORS_HIGH: f64 = 0.25;
/// µs set aside the first time; doubles with each relapse.
const ASIDE: Micros = 500_000;
/// µs set aside at most: a worker that comes back is found within this.
const ASIDE_MOST: Micros = 8_000_000;
/// Overdue answers that make a worker silent: one can be a single slow request.
const SILENT_JOBS: u32 = 2;
/// Jobs at once at which the doubling trickle ends: more than a worker usually has from one router.
const TRICKLE_END: u32 = 16;
/// Part of the allowed work that a cold worker is sent: figures for its capacity are guesses.
const COLD_CARE: f64 = 0.5;
/// Times its even part of the requests for which a cold worker is expected to be wanted: hot functions,
/// others full.
const COLD_WANTED: f64 = 2.0;
/// Workers still to pass in an order for each one that may hold the function, from which on those are sought
/// by themselves: a draw and a look-up cost about so many steps.
const WALK_LONG: usize = 8;
/// Own loads under way at once to begin with.
const LOADS_START: f64 = 12.0;
/// Factor on them when loads turn slow or fail: three steps leave a third.
const LOADS_CUT: f64 = 0.7;
/// Own loads under way at least.
const LOADS_LEAST: f64 = 3.0;
/// Times the usual load time at which a load counts as slow.
const LOAD_SLOW: f64 = 2.5;
/// Part of a worker's pace that one function's requests of all routers may take before they move on.
const FUNCTION_PART: f64 = 0.8;
/// Jobs of the other routers within the time that an idle copy is kept from which on it is taken to stand.
const KEPT_JOBS: f64 = 2.0;
/// Part of the mean of requests a worker up to which one is idle enough to spread to.
const SPREAD_IDLE: f64 = 0.5;
/// Loads under way or waiting a worker, on average, from which on the store and the workers choke on them.
const LOADS_CALM: f64 = 1.5;
/// Times the room of a worker that a function without a request there may use.
const SMALL_EXTRA: f64 = 1.5;
/// Part of that span's weight that a router which has just started is taken to have seen at least.
const RATE_KNOWN: f64 = 0.07;
/// Usual load times after which an answer is no longer waited for before the next load: past twice the delay.
const HOLD_LOADS: u64 = 5;
/// Part of the start target that overflow waits before it begins a load at the next worker.
const SPREAD_PART: f64 = 0.25;
/// µs of a customer's share saved up at most.
const SHARE_SPAN: f64 = 2_000_000.0;
/// µs after which a function that nobody asks for, and that no worker may hold, is forgotten.
const FORGET: Micros = 60_000_000;
/// Functions known at most, several times those met within `FORGET`; those called longest ago go first.
const FUNCTIONS_MOST: usize = 8_192;
/// Functions of which the first workers are kept: those of some minutes, as a search costs a hundred calls.
const PREFIXES_MOST: NonZeroUsize = NonZeroUsize::new(8_192).expect("above zero");
/// Workers looked at for one that may begin a load: if none of so many takes it, the fleet is full.
const WALK_MOST: usize = 256;
/// Factor on what was heard of the others' requests at each beat.
pub(crate) const FADE: f64 = 1.0 - BEAT as f64 / SPAN;
/// µs before the client's time is up at which a held request is ended: more than one beat.
const LAST_CALL: Micros = 30_000;
/// µs named at least as a time to come back.
const COME_BACK: Micros = 200_000;

// ---- What is kept ----------------------------------------------------------------------

/// What to do with the result of a step: an attempt's answer, or nothing but the time.
type Step = Box<dyn FnOnce(&mut Control, &mut dyn Actions, Option<&AttemptResult>)>;

/// One attempt that is out, also when its request has ended.
struct Out {
    server: WorkerId,
    function: FunctionId,
    workload: WorkloadId,
    customer: Option<CustomerId>,
    sent: Micros,
    serving: bool,
    then: Step,
}

impl Server {
    fn new(now: Micros, entry: &Endpoint, rows: &StartupConfig) -> Self {
        Server {
            open: entry.status == WorkerStatus::Ready,
            up_since: entry.up_since,
            zone: entry.zone,
            rack: entry.rack,
            weight: Some(entry.weight)
                .filter(|w| rows.weights_shared && *w > 0.0 && w.is_finite())
                .unwrap_or(1.0),
            cut_at: now,
            heard: now,
            backoff: ASIDE,
            ..Server::default()
        }
    }

    /// With many routers the own ones say little, so what is heard of the others' ones counts too.
    fn busy(&self, beat: u64) -> f64 {
        self.running() + self.others.at(beat)
    }

    fn aside(&self, now: Micros) -> bool {
        self.aside.is_some_and(|until| until > now)
    }

    fn serving(&self, now: Micros, function: FunctionId) -> bool {
        self.holds.get(&function).is_some_and(|h| h.serving_until > now)
    }
}

/// The table of workloads: a row each, only what is read.
struct Workload {
    effect: RetrySafety,
    start_target: Micros,
    importance: f64,
    late_part: f64,
    service: f64,
    /// The longest time left that a request came with: what clients give a first try.
    longest: Micros,
}

impl Workload {
    fn new(row: &WorkloadConfig) -> Self {
        Workload {
            effect: row.retry_safety,
            start_target: row.latency_objective.max(1),
            importance: row.priority_weight,
            late_part: row.late_priority_factor,
            service: row.latency_objective as f64 * SERVICE_START,
            longest: 0,
        }
    }
}

struct Customer {
    jobs_per_s: f64,
    tokens: f64,
    at: Micros,
}

impl Customer {
    fn new(now: Micros, row: &CustomerConfig) -> Self {
        Customer { jobs_per_s: row.requests_per_second, tokens: f64::MAX, at: now }
    }
}

pub struct Control {
    now: Micros,
    rng: Rand64,
    rows: StartupConfig,
    workloads: Vec<Workload>,
    customers: Vec<Customer>,
    servers: Servers,
    functions: Functions,
    /// The first workers of functions' hash orders, as far as they are walked.
    prefixes: PrefixCache<HashOrder>,
    requests: BTreeMap<RequestId, Job>,
    /// Jobs that wait here: most valuable first, then oldest.
    held: Waiting<RequestId, FunctionId, WorkloadId>,
    /// Where own loads are under way.
    loading: BTreeSet<(FunctionId, WorkerId)>,
    out: BTreeMap<(RequestId, usize), Out>,
    steps: BTreeMap<TimerToken, Step>,
    next_token: u64,
    /// A list has come.
    listed: bool,
    budget: f64,
    loads: f64,
    loads_cut: Micros,
    /// Loads under way at a worker, as told by answers of all of them.
    under_way: f64,
    /// Faded count of own requests until `job_at`, and of own answers until `done_at`.
    rate: f64,
    job_at: Micros,
    done: f64,
    done_at: Micros,
    /// Sum of the ready workers' weights now and at the most, and requests there a weight.
    weight: f64,
    weight_least: f64,
    weight_most: f64,
    busy_per_weight: f64,
    /// Jobs a µs that a weight of workers does, and the mean usual time, as last weighed.
    pace: (f64, f64),
    mean_service: f64,
    mean_target: f64,
    born: Micros,
}

impl Control {
    pub fn new(now: Micros, rows: StartupConfig, orders: &mut dyn Actions) -> Self {
        let workloads = rows.workloads.iter().map(Workload::new);
        let customers = rows.customers.iter().map(|row| Customer::new(now, row));
        let mut control = Control {
            now,
            rng: Rand64::new(u128::from(rows.seed)),
            workloads: workloads.collect(),
            customers: customers.collect(),
            mean_service: rows.mean_latency_objective() * SERVICE_START,
            mean_target: rows.mean_latency_objective(),
            rows,
            servers: Servers::default(),
            functions: Functions::default(),
            prefixes: PrefixCache::with_most(PREFIXES_MOST),
            requests: BTreeMap::new(),
            held: Waiting::default(),
            loading: BTreeSet::new(),
            out: BTreeMap::new(),
            steps: BTreeMap::new(),
            next_token: 0,
            listed: false,
            budget: BUDGET_MOST / 2.0,
            loads: LOADS_START,
            loads_cut: now,
            under_way: 0.0,
            rate: 0.0,
            job_at: now,
            done: 0.0,
            done_at: now,
            weight: 1e-9,
            weight_least: 0.0,
            weight_most: 0.0,
            busy_per_weight: 0.0,
            pace: (0.0, 0.0),
            born: now,
        };
        if control.rows.watches_endpoints {
            orders.watch_endpoints();
        }
        control.wake_then(orders, BEAT, Box::new(|c, o, _| c.beat(o)));
        control
    }

    // ---- Events ----------------------------------------------------------------------------

    /// Functions that are known at present.
    pub fn known_functions(&self) -> usize {
        self.functions.len()
    }

    pub fn advance_to(&mut self, now: Micros) {
        self.now = now;
    }

    /// Other rows from now on, of the same workloads and customers in the same places, new ones after them.
    /// Jobs keep their effect; where no second copy may run any more, those that do are taken back.
    pub fn reconfigure(&mut self, orders: &mut dyn Actions, rows: StartupConfig) {
        for (n, row) in rows.workloads.iter().enumerate() {
            let mut new = Workload::new(row);
            if let Some(old) = self.workloads.get(n) {
                new.service = old.service;
                self.workloads[n] = new;
            } else {
                self.workloads.push(new);
            }
        }
        for (n, row) in rows.customers.iter().enumerate() {
            match self.customers.get_mut(n) {
                Some(old) => old.jobs_per_s = row.requests_per_second,
                None => self.customers.push(Customer::new(self.now, row)),
            }
        }
        (self.mean_target, self.rows) = (rows.mean_latency_objective(), rows);
        if !self.rows.attempt_policy.hedging_allowed && self.rows.attempt_policy.cancel_allowed {
            let out = |j: &Job| j.tried.iter().filter(|t| t.fate == Fate::Out).count();
            let double = self.requests.iter().filter(|(_, j)| !j.streaming && out(j) > 1);
            double.for_each(|(id, j)| orders.cancel(*id, j.tried.len() - 1));
        }
        self.weigh();
        self.dispatch(orders);
    }

    /// What was learned of each worker's life, and how long functions take to load.
    pub fn worker_histories(&self) -> impl Iterator<Item = (WorkerId, Micros, WorkerHistory)> + '_ {
        let of = |s: &Server| WorkerHistory {
            concurrency_limit: s.room,
            queueing_delay: s.lag,
            error_rate: s.errors,
            ejected: s.trickle.is_some(),
        };
        self.servers.iter().map(move |(id, s)| (*id, s.up_since, of(s)))
    }

    pub fn load_times(&self) -> impl Iterator<Item = (FunctionId, Micros)> + '_ {
        self.functions.iter().filter_map(|(id, f)| Some((*id, f.load_time?)))
    }

    /// Takes up what was learned before a restart, or by others; false where it cannot be yet. A hint: it
    /// gives no more room than a newcomer has, and a worker in doubt is tried by one request.
    pub fn restore_worker_history(&mut self, id: WorkerId, up_since: Micros, told: &WorkerHistory) -> bool {
        let same = |s: &&mut Server| s.up_since == up_since && s.room > 0.0;
        let Some(s) = self.servers.get_mut(&id).filter(same) else { return false };
        s.room = s.room.min(told.concurrency_limit.max(Self::room_least(self.pace, s.weight)));
        (s.lag, s.errors) = (s.lag.max(told.queueing_delay), s.errors.max(told.error_rate));
        s.trickle = s.trickle.or(told.ejected.then_some(1));
        self.servers.doubt(id);
        true
    }

    pub fn endpoints_updated(
        &mut self,
        orders: &mut dyn Actions,
        kind: EndpointListKind,
        entries: &[Endpoint],
    ) {
        if kind == EndpointListKind::Failed {
            orders.watch_endpoints();
            return;
        }
        if !std::mem::replace(&mut self.listed, true) {
            // Who drains as this router starts is part of what the customers' shares are meant for.
            let there = entries.iter().filter(|e| e.status != WorkerStatus::Gone);
            self.weight_most = there.map(|e| Server::new(self.now, e, &self.rows).weight).sum();
        }
        if kind != EndpointListKind::Changes {
            let named: BTreeSet<WorkerId> = entries.iter().map(|e| e.worker).collect();
            let unnamed = self.servers.iter().filter(|(id, s)| s.open && !named.contains(id));
            let unnamed: Vec<WorkerId> = unnamed.map(|(id, _)| *id).collect();
            unnamed.into_iter().for_each(|id| self.servers.change(id, |s| s.open = false));
        }
        for entry in entries {
            let told = Server::new(self.now, entry, &self.rows);
            let id = entry.worker;
            match self.servers.get(&id) {
                Some(s) if s.up_since == entry.up_since || entry.status != WorkerStatus::Ready => {
                    self.servers.change(id, |s| {
                        (s.open, s.zone, s.rack, s.weight) = (told.open, told.zone, told.rack, told.weight);
                    });
                }
                Some(_) => {
                    self.loading.retain(|(_, at)| *at != id);
                    let lost = self.servers.change(id, |s| s.succeed(told));
                    self.functions.lost(id, &lost);
                }
                None if entry.status == WorkerStatus::Ready => self.servers.insert(id, told),
                None => {}
            }
        }
        for (id, gone) in self.servers.take_gone() {
            self.loading.retain(|(_, at)| *at != id);
            self.functions.lost(id, &gone.holds);
        }
        self.weigh();
        self.dispatch(orders);
    }

    fn weigh(&mut self) {
        self.weight = self.servers.open().total_weight().max(1e-9);
        self.weight_least = self.servers.open().least_weight().unwrap_or(f64::MAX);
        self.weight_most = self.weight_most.max(self.weight);
        self.busy_per_weight = self.servers.busy() / self.weight;
        let pace = (self.capacity_per_weight(), self.mean_service);
        self.pace = pace;
        if pace.0 > 0.0 {
            let target = self.mean_target;
            let most = |s: &Server| pace.0 * s.weight * target * ROOM_PART;
            self.servers.give_room(|s| most(s).clamp(Self::room_least(pace, s.weight), ROOM_MOST));
        }
    }

    /// Jobs of all routers at a worker of this weight at least.
    fn room_least((pace, service): (f64, f64), weight: f64) -> f64 {
        (pace * weight * service * ROOM_LEAST).clamp(1.0, ROOM_MOST)
    }

    /// A faded count of requests as a rate; a router that has just started has not seen a whole span yet.
    fn per_us(&self, count: f64) -> f64 {
        let seen = 1.0 - (-((self.now - self.born) as f64) / SPAN).exp();
        count / SPAN / seen.max(RATE_KNOWN)
    }

    /// Jobs a µs that a weight of warm workers can do, erring low: the customers' shares, else what is seen.
    fn capacity_per_weight(&self) -> f64 {
        let shares = self.customers.iter().map(|c| c.jobs_per_s).sum::<f64>() / 1e6;
        // What is asked beyond what comes to an end is no pace.
        let taken = self.rate.min(self.done + (self.out.len() + self.held.len()) as f64);
        let seen = self.per_us(taken) * self.rows.router_count as f64;
        let all = if shares > 0.0 { shares } else { seen };
        all / self.weight_most.max(1e-9)
    }

    pub fn request_arrived(&mut self, orders: &mut dyn Actions, arrival: &RequestArrival) {
        let now = self.now;
        // Second tries earn nothing: in a storm of them copies and further attempts would grow with it.
        let earned = if arrival.retry { 0.0 } else { BUDGET_PER_JOB };
        self.budget = (self.budget + earned).min(BUDGET_MOST);
        self.rate = self.rate * (-((now - self.job_at) as f64) / SPAN).exp() + 1.0;
        self.job_at = now;
        if self.functions.len() >= FUNCTIONS_MOST && self.functions.get(arrival.function).is_none() {
            self.evict();
        }
        let function = self.functions.called(arrival.function);
        function.lanes = arrival.concurrency.max(1);
        function.load_time = arrival.load_time.or(function.load_time);
        function.rate = function.rate * (-((now - function.last) as f64) / SPAN).exp() + 1.0;
        function.last = now;
        let over = arrival.customer.is_some_and(|customer| self.over_share(customer));
        // Where all clients give a first try the same time, one with less left has spent the rest elsewhere:
        // on another try that nobody marks, or before this router while it stood still.
        let row = &mut self.workloads[arrival.workload.0];
        row.longest = row.longest.max(arrival.time_left);
        let waited = if self.rows.timeouts_shared { row.longest - arrival.time_left } else { 0 };
        // A client's second try has lost its start target with the first one.
        let late = arrival.retry || waited as f64 + row.service > row.start_target as f64;
        let share =
            if over { self.rows.over_quota_factor } else { 1.0 } * if late { row.late_part } else { 1.0 };
        let request = Job {
            function: arrival.function,
            workload: arrival.workload,
            effect: row.effect,
            customer: arrival.customer,
            came: now.saturating_sub(waited),
            deadline: now + arrival.time_left,
            value: (self.workloads[arrival.workload.0].importance * share * arrival.priority_factor * 1000.0)
                as u64,
            chance: self.rng.rand_u64(),
            tried: Vec::new(),
            streaming: false,
            late,
        };
        let came = request.came;
        let waits = self.held.highest(request.function).is_some_and(|value| value >= request.value);
        self.forget(arrival.request);
        self.requests.insert(arrival.request, request);
        self.hold(arrival.request);
        let place = if waits { None } else { self.place(arrival.request) };
        if let Some(server) = place {
            self.held.remove(&(Reverse(self.requests[&arrival.request].value), came, arrival.request));
            self.send(orders, arrival.request, server, false);
        } else if arrival.time_left <= LAST_CALL + BEAT {
            // A client about to leave: no beat would come in time to end the request.
            self.give_up(orders, arrival.request);
        }
    }

    pub fn attempt_finished(
        &mut self,
        orders: &mut dyn Actions,
        request: RequestId,
        attempt: usize,
        answer: &AttemptResult,
    ) {
        let Some(out) = self.out.remove(&(request, attempt)) else { return };
        self.learn(orders, &out, answer);
        (out.then)(self, orders, Some(answer));
        self.dispatch(orders);
    }

    pub fn response_started(&mut self, request: RequestId) {
        self.requests.entry(request).and_modify(|j| j.streaming = true);
    }

    pub fn client_disconnected(&mut self, orders: &mut dyn Actions, request: RequestId) {
        // Clients that lose patience come again: what still waits for them at workers is only in the way.
        if self.requests.contains_key(&request) {
            self.cancel_rest(orders, request);
        }
        self.forget(request);
    }

    pub fn timer_fired(&mut self, orders: &mut dyn Actions, token: TimerToken) {
        self.steps.remove(&token).into_iter().for_each(|step| step(self, orders, None));
    }

    // ---- The ordinary path: home, next, hold, copy -----------------------------------------

    /// Sends what waits here, most valuable and oldest first, as far as there is room.
    fn dispatch(&mut self, orders: &mut dyn Actions) {
        let mut heads = self.held.heads();
        while let Some(key) = heads.pop_first() {
            // Where the first request of a function finds no place, the others of it need not look.
            let Some(server) = self.place(key.2) else { continue };
            if let Some(row) = self.held.remove(&key).filter(|row| row.bare) {
                heads.extend(self.held.after(row.function, &key));
            }
            self.send(orders, key.2, server, false);
        }
    }

    /// Lets a request wait here.
    fn hold(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        let (bare, late) = (request.tried.is_empty(), request.late);
        let row = Row {
            function: request.function,
            workload: request.workload,
            deadline: request.deadline,
            bare,
            late,
        };
        self.held.insert((Reverse(request.value), request.came, id), row);
    }

    /// Jobs a µs that the others are taken to have of this function: as many as this one had before its last.
    fn elsewhere(&self, function: FunctionId) -> f64 {
        let before = (self.functions[&function].rate - 1.0).max(0.0);
        self.per_us(before) * (self.rows.router_count - 1) as f64
    }

    /// The worker for a request's next attempt, or None where it has to wait here.
    fn place(&mut self, id: RequestId) -> Option<WorkerId> {
        let function = self.requests[&id].function;
        // What no worker may hold, and the others keep nowhere, waits while no further load may begin.
        let kept = || self.elsewhere(function) * self.rows.cache_lifetime as f64 >= KEPT_JOBS;
        if self.loading.len() as f64 >= self.loads && self.functions[&function].at.is_empty() && !kept() {
            return None;
        }
        let mut order = self.prefixes.take(self.servers.open(), function);
        let place = self.walk(id, function, &mut order);
        self.prefixes.put(function, order);
        place
    }

    /// Walks the function's order for a request.
    fn walk(
        &mut self,
        id: RequestId,
        function: FunctionId,
        order: &mut Prefix<WorkerId>,
    ) -> Option<WorkerId> {
        let (now, beat) = (self.now, self.servers.beat());
        let request = &self.requests[&id];
        let row = &self.workloads[request.workload.0];
        let risky = request.effect == RetrySafety::AtMostOnce
            && self.workloads.iter().any(|w| w.effect != request.effect);
        let (mut home, mut warm, mut next, mut presumed) = (None, None, None, false);
        let mut beyond = self.elsewhere(function);
        let takes = self.capacity_per_weight() * FUNCTION_PART;
        // What overflow may do is the same at all workers.
        let own = (function, WorkerId(0))..=(function, WorkerId(u64::MAX));
        let pending = LazyCell::new(|| self.loading.range(own).any(|(_, id)| self.servers[id].open));
        let gate = (self.loading.len() as f64) < self.loads;
        // Nor while loads jam everywhere: each further one makes the others late, and moves no request in
        // time.
        let jam = self.under_way > LOADS_CALM;
        let (open, holders) = (self.servers.open(), self.functions[&function].at.len());
        let (mut next_place, mut looked) = (0, 0);
        let mut tail: Option<std::vec::IntoIter<Ranked<WorkerId>>> = None;
        loop {
            // With the home known, and a next one or none wanted, only those that serve matter, sought alone.
            let settled = home.is_some()
                && (looked >= WALK_MOST
                    || beyond <= takes * self.weight_least && (next.is_some() || jam || *pending || !gate));
            let long = open.len().saturating_sub(next_place) > WALK_LONG * (1 + holders);
            let seek = settled && long && tail.is_none();
            if seek && let Some(from) = order.get(open, function, next_place) {
                tail = Some(self.serving_from(function, &from).into_iter());
            }
            let (place, found) = match &mut tail {
                Some(tail) => (0, tail.next()),
                None => (next_place, order.get(open, function, next_place)),
            };
            let Some(Ranked { weight, member: id, .. }) = &found else { break };
            next_place += 1;
            // The lane bound where own requests say little: what all routers are taken to bring beyond a
            // worker's part moves on, by chance, so that their shares come out even.
            let part = takes * weight;
            let moves_on =
                beyond > part && unit_interval(hash_pair(request.chance, place as u64)) >= part / beyond;
            // A request that cannot be repeated passes a worker over until another has found out how it is.
            let passed = |s: &Server| s.aside(now) || s.trickle == Some(1) && risky;
            if self.servers.doubtful(id) && passed(&self.servers[id]) {
                continue;
            }
            if moves_on {
                beyond -= part;
                continue;
            }
            let server = &self.servers[id];
            looked += 1;
            let (hold, elsewhere) = (server.holds.get(&function), server.others.at(beat));
            // What the other routers are taken to keep loaded at the home stands there for this one too.
            let kept = home.is_none() && beyond.min(part) * self.rows.cache_lifetime as f64 >= KEPT_JOBS;
            let known = hold.is_some_and(|h| h.serving_until > now);
            let serving = known || kept && self.warmth(server) >= 1.0;
            if !serving && (settled || next.is_some()) {
                continue;
            }
            let (own, others, full) = hold.map_or((0, 0.0, 0), |h| (h.out, h.others.at(beat), h.full_until));
            let fresh = self.warmth(server);
            let crowd = CROWD_FREE + CROWD * self.busy_per_weight * server.weight;
            // In a crowd the functions with most requests there move on; a small one stays and spares a load.
            let small = if own == 0 && others < 1.0 { SMALL_EXTRA } else { 1.0 };
            // What is heard of the others is old and seen alike by all: a hard bound would shut the worker
            // for all of them at once and for long, so each request meets its own part of their crowd.
            let met = 1.0 - unit_interval(hash_pair(request.chance, id.0)) / 2.0;
            let crowded = server.running() + met * elsewhere >= server.room.min(crowd) * small * fresh;
            let lanes = f64::from(self.functions[&function].lanes);
            let filled = f64::from(own) + met * others >= lanes;
            let shut = request.customer.and_then(|c| server.shut.get(&c)).is_some_and(|until| now < *until);
            let open =
                || !shut && now >= full && self.may_send(request, *id) && self.usable(server, request, *id);
            let room = !filled && !crowded && open();
            // What the other routers alone fill is no crowd that is gone in a moment.
            let lasting =
                || small == 1.0 && elsewhere >= server.room.min(crowd) || others >= lanes || !open();
            presumed |= home.is_none() && serving && !known;
            home = home.or_else(|| Some((*id, serving, room, lasting())));
            if serving && room {
                warm = Some(*id);
                break;
            }
            let idle = server.busy(beat) <= SPREAD_IDLE * self.busy_per_weight * server.weight;
            if !serving && room && next.is_none() && (idle || home.is_none_or(|h| !h.1)) {
                next = Some(*id);
            }
        }
        let (home, home_serves, home_room, lasting) = home?;
        if warm == Some(home) {
            if presumed {
                let until = now + self.load_time(function);
                let hold = self.servers.get_mut(&home).expect("listed").holds.entry(function).or_default();
                hold.serving_until = until;
                self.servers.schedule(home);
            }
            return warm;
        }
        let joins = warm.is_none() && self.loading.contains(&(function, home));
        if !home_serves && home_room && (joins || !*pending && gate) {
            return Some(home);
        }
        if warm.is_some() {
            return warm;
        }
        // Overflow: it begins a load at the next worker only when no answer is awaited from a cold one,
        // and not for a crowd that is gone in a moment.
        let patient = !lasting && now < request.came + (row.start_target as f64 * SPREAD_PART) as Micros;
        if *pending || !gate || jam || (home_serves && patient) { None } else { next }
    }

    /// Workers that serve the function, in its order, from this one on.
    fn serving_from(&self, function: FunctionId, from: &Ranked<WorkerId>) -> Vec<Ranked<WorkerId>> {
        let ranked = |id: &WorkerId| {
            let weight = self.servers[id].weight;
            Ranked { score: HashOrder::score(hash_pair(function.0, id.0), weight), weight, member: *id }
        };
        let serves =
            |id: &&WorkerId| self.servers.get(id).is_some_and(|s| s.open && s.serving(self.now, function));
        let serving = self.functions[&function].at.iter().filter(serves).map(ranked);
        let mut serving: Vec<_> = serving.filter(|at| at.order(from).is_ge()).collect();
        serving.sort_by(Ranked::order);
        serving
    }

    fn send(&mut self, orders: &mut dyn Actions, id: RequestId, server: WorkerId, copy: bool) {
        let now = self.now;
        let request = self.requests.get_mut(&id).expect("only jobs that are held here are sent");
        let (function, workload, customer, n) =
            (request.function, request.workload, request.customer, request.tried.len());
        let (effect, begin) = (request.effect, Self::repeat_until(request));
        let row = &self.workloads[workload.0];
        let before = self.servers.jobs_at(server);
        let s = self.servers.get_mut(&server).expect("place names known workers");
        request.tried.push(Tried {
            server,
            rack: s.rack,
            zone: s.zone,
            sent: now,
            closed: now,
            fate: Fate::Out,
        });
        let serving = s.serving(now, function);
        let hold = s.holds.entry(function).or_default();
        hold.out += 1;
        if !serving && hold.loading.is_none() {
            hold.loading = Some(now);
            self.loading.insert((function, server));
        }
        self.functions.get_mut(function).expect("placed before").at.insert(server);
        s.out += 1;
        s.waiting += u32::from(!serving);
        if now < s.up_since + self.rows.slow_start.warmup_time && s.up_since > 0 {
            s.cold_sent
                .push((now + self.rows.slow_start.overload_window, row.service / self.mean_service.max(1.0)));
        }
        orders.send(id, server, request.deadline - now, begin);
        self.servers.account(server, before);
        let then: Step = Box::new(move |c, o, answer| c.closed(o, id, n, answer.expect("what it ends with")));
        self.out.insert((id, n), Out { server, function, workload, customer, sent: now, serving, then });
        if !copy && self.rows.attempt_policy.hedging_allowed && effect != RetrySafety::AtMostOnce {
            // The design's delay: twice the load time and the start target.
            let delay = 2 * self.load_time(function) + row.start_target;
            self.wake_then(orders, delay, Box::new(move |c, o, _| c.hedge(o, id, n)));
        }
    }

    /// The one copy that follows an attempt that has not finished within the hedge delay, or whose worker
    /// has been set aside.
    fn hedge(&mut self, orders: &mut dyn Actions, id: RequestId, n: usize) {
        let Some(request) = self.requests.get(&id) else { return };
        let alone = request.tried.len() == n + 1 && request.tried[n].fate == Fate::Out;
        if !alone
            || request.streaming
            || !self.repeat_allowed(request)
            || request.deadline <= self.now + LAST_CALL
        {
            return;
        }
        if self.budget >= 1.0
            && let Some(server) = self.place(id)
        {
            if self.rows.attempt_policy.hedging_allowed {
                self.budget -= 1.0;
                self.send(orders, id, server, true);
            } else if self.rows.attempt_policy.cancel_allowed {
                self.budget -= 1.0;
                // Stand-in where no copy may run beside it: `closed` sends the request on once this one is
                // off.
                orders.cancel(id, n);
            }
            return;
        }
        self.wake_then(orders, 2 * BEAT, Box::new(move |c, o, _| c.hedge(o, id, n)));
    }

    /// An attempt has closed: what its request does next.
    fn closed(&mut self, orders: &mut dyn Actions, id: RequestId, n: usize, answer: &AttemptResult) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.tried[n].closed = self.now;
        request.tried[n].fate = match answer.outcome {
            Outcome::NotLoaded | Outcome::Overloaded | Outcome::ConnectFailed | Outcome::Superseded => {
                Fate::NeverRan
            }
            _ => Fate::MayHaveRun,
        };
        if answer.request_ended {
            self.cancel_rest(orders, id);
            self.forget(id);
            return;
        }
        if request.streaming || request.tried.iter().any(|t| t.fate == Fate::Out) {
            return;
        }
        // A cancel was paid for when it was ordered, or many at once would end requests that nothing is left
        // for.
        let costs = request.tried[n].fate == Fate::MayHaveRun && answer.outcome != Outcome::Cancelled;
        let request = &self.requests[&id];
        if request.deadline <= self.now + LAST_CALL
            || !self.repeat_allowed(request)
            || (costs && self.budget < 1.0)
        {
            self.give_up(orders, id);
            return;
        }
        self.budget -= f64::from(u8::from(costs));
        self.hold(id);
    }

    // ---- Rules 1 and 2: one final answer, no effect twice ----------------------------------

    /// Until when another attempt of the request may begin.
    fn repeat_until(request: &Job) -> Micros {
        let risky = request.tried.iter().filter(|t| t.fate != Fate::NeverRan).map(|t| t.sent).min();
        match (risky, request.effect) {
            (None, _) | (_, RetrySafety::Idempotent) => Micros::MAX,
            (Some(first), RetrySafety::Keyed { window, .. }) => (first + window).saturating_sub(BEAT),
            (Some(_), RetrySafety::AtMostOnce) => 0,
        }
    }

    /// Whether the request may have another attempt at all; `may_send` tells where.
    fn repeat_allowed(&self, request: &Job) -> bool {
        self.now < Self::repeat_until(request) && request.tried.len() < self.rows.attempt_policy.max_attempts
    }

    /// Every send passes here: the list, repeats and their group, and workers this request has just left.
    fn may_send(&self, request: &Job, id: WorkerId) -> bool {
        let Some(s) = self.servers.get(&id).filter(|s| s.open) else { return false };
        let rested = |t: &Tried| t.server != id || (t.fate != Fate::Out && t.closed + REST <= self.now);
        if !request.tried.iter().all(rested) || !self.repeat_allowed(request) {
            return false;
        }
        match request.effect {
            RetrySafety::Keyed { scope: within, .. } => {
                request.tried.iter().filter(|t| t.fate != Fate::NeverRan).all(|t| match within {
                    IdempotencyScope::Everywhere => true,
                    IdempotencyScope::Zone => t.zone.is_some() && t.zone == s.zone,
                    IdempotencyScope::Rack => t.rack == s.rack,
                })
            }
            _ => true,
        }
    }

    /// The one end of a request that this router decides: pushed back where the rules allow it, else killed.
    fn give_up(&mut self, orders: &mut dyn Actions, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|j| !j.streaming) else { return };
        let may_have_run = request.tried.iter().any(|t| t.fate != Fate::NeverRan);
        let harmless = match request.effect {
            RetrySafety::Idempotent => true,
            RetrySafety::Keyed { scope: IdempotencyScope::Everywhere, .. }
                if self.repeat_allowed(request) =>
            {
                true
            }
            _ => !may_have_run,
        };
        if harmless {
            let most = self.rows.attempt_policy.max_retry_after.max(COME_BACK);
            let wait = COME_BACK + self.rng.rand_range(0..(most - COME_BACK).max(1));
            orders.reject(id, self.rows.attempt_policy.retry_after_allowed.then_some(wait));
        } else {
            orders.fail(id);
        }
        self.cancel_rest(orders, id);
        self.forget(id);
    }

    /// Ends all requests, each with its one answer, for a process that has to go.
    pub fn finish_all(&mut self, orders: &mut dyn Actions) {
        self.requests.keys().copied().collect::<Vec<_>>().into_iter().for_each(|id| self.give_up(orders, id));
    }

    fn cancel_rest(&self, orders: &mut dyn Actions, id: RequestId) {
        if self.rows.attempt_policy.cancel_allowed {
            let live = self.requests[&id].tried.iter().enumerate().filter(|(_, t)| t.fate == Fate::Out);
            live.for_each(|(n, _)| orders.cancel(id, n));
        }
    }

    fn forget(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.held.remove(&(Reverse(request.value), request.came, id));
            self.functions.over(request.function);
        }
    }

    // ---- What answers teach ----------------------------------------------------------------

    fn learn(&mut self, orders: &mut dyn Actions, out: &Out, answer: &AttemptResult) {
        let before = self.servers.jobs_at(out.server);
        self.learn_from(orders, out, answer);
        self.servers.account(out.server, before);
    }

    fn learn_from(&mut self, orders: &mut dyn Actions, out: &Out, answer: &AttemptResult) {
        let (now, beat) = (self.now, self.servers.beat());
        let usual = self.load_time(out.function) as f64;
        let others = (self.rows.router_count - 1) as f64;
        let pace = self.pace;
        let Some(s) = self.servers.get_mut(&out.server) else { return };
        let row = &mut self.workloads[out.workload.0];
        let mut function = self.functions.get_mut(out.function);
        function.iter_mut().for_each(|f| _ = f.at.insert(out.server));
        let hold = s.holds.entry(out.function).or_default();
        // Rare answers weigh more each: with many routers the one before is long past.
        let age = 1.0 - (-((now - s.heard) as f64) / SPAN).exp();
        s.out = s.out.saturating_sub(1);
        hold.out = hold.out.saturating_sub(1);
        if !out.serving {
            s.waiting = s.waiting.saturating_sub(1);
            hold.loading = None;
            self.loading.remove(&(out.function, out.server));
        }
        if matches!(
            answer.outcome,
            Outcome::Finished | Outcome::NotLoaded | Outcome::Overloaded | Outcome::Error
        ) {
            s.heard = now;
            s.proved = s.proved.max(out.sent);
        }
        if self.rows.reports_same_function
            && matches!(answer.outcome, Outcome::Finished | Outcome::Overloaded)
        {
            let told = f64::from(answer.same_function_in_flight) * others / (others + 1.0);
            let known = hold.others.at_mut(beat);
            *known += CROWD_FRESH * (told - *known);
        }
        if let Some(held) = answer.reported_in_flight {
            let known = s.others.at_mut(beat);
            *known += CROWD_FRESH * (held * others / (others + 1.0) - *known);
        }
        self.under_way += SERVICE_FRESH * (answer.reported_loads.unwrap_or(0.0) - self.under_way);
        let stood = answer.load_state == LoadState::Loaded
            || (answer.load_state == LoadState::Unreported && out.serving);
        match answer.outcome {
            Outcome::Finished => {
                (hold.loading, hold.serving_until) = (None, now + self.rows.cache_lifetime);
                self.loading.remove(&(out.function, out.server));
                self.done = self.done * (-((now - self.done_at) as f64) / SPAN).exp() + 1.0;
                self.done_at = now;
                s.errors *= 1.0 - age.max(FRESH);
                if stood {
                    let part = answer.elapsed as f64 / row.start_target as f64;
                    // Where answers lag they tell of the queue, and a longer usual time would lengthen it.
                    if s.lag <= LAG_HIGH {
                        row.service += SERVICE_FRESH * (answer.elapsed as f64 - row.service);
                        self.mean_service += SERVICE_FRESH * (row.service - self.mean_service);
                    }
                    // Each other router is taken to have as many there, on average, as this one.
                    let mean = others * answer.elapsed as f64 / SPAN;
                    *hold.others.at_mut(beat) += if self.rows.reports_same_function { 0.0 } else { mean };
                    *s.others.at_mut(beat) += if answer.reported_in_flight.is_some() { 0.0 } else { mean };
                    s.lag += age.max(FRESH) * (part - s.lag);
                    if s.lag > LAG_HIGH {
                        Self::cut_room(s, now, row.start_target, (pace, beat));
                    } else if s.lag < LAG_LOW && s.busy(beat) + 2.0 >= s.room {
                        s.room = (s.room + 1.0 / s.room).min(ROOM_MOST);
                    }
                }
                s.aside = s.aside.map(|until| until.min(now));
                if let Some(n) = s.trickle {
                    s.trickle = (n * 2 < TRICKLE_END).then_some(n * 2);
                    s.backoff = if s.trickle.is_some() { s.backoff } else { ASIDE };
                }
                if answer.load_state == LoadState::LoadStarted {
                    if answer.elapsed as f64 > usual * LOAD_SLOW {
                        self.loads_slow();
                    } else {
                        self.loads = (self.loads + 0.5).min(ROOM_MOST);
                        let took = answer.elapsed.saturating_sub(row.service as Micros);
                        function.into_iter().for_each(|f| f.load_time = f.load_time.or(Some(took)));
                    }
                }
            }
            Outcome::NotLoaded | Outcome::Error if answer.load_state == LoadState::LoadFailed => {
                hold.serving_until = 0;
                self.loads_slow();
            }
            Outcome::NotLoaded => hold.serving_until = 0,
            Outcome::Overloaded => {
                hold.full_until = now + REST;
                match out.customer {
                    // A full worker says so at once. One that takes its time turns away this customer alone.
                    Some(customer) if answer.elapsed as f64 > row.start_target as f64 * FULL_QUICK => {
                        s.shut.insert(customer, now + SHUT_REST);
                    }
                    _ => {
                        let known = s.others.at_mut(beat);
                        *known = known.max(s.room * others / (others + 1.0));
                        Self::cut_room(s, now, row.start_target / 4, (pace, beat));
                    }
                }
            }
            Outcome::ConnectFailed => {
                hold.serving_until = 0;
                self.set_aside(orders, out.server);
            }
            // Connections break by themselves too. All that breaks at one moment is one sign, and a worker
            // that is gone refuses the next connection.
            Outcome::Error | Outcome::ConnectionLost
                if answer.outcome == Outcome::Error || s.broken < now =>
            {
                s.broken = if answer.outcome == Outcome::ConnectionLost { now } else { s.broken };
                s.errors += age.max(FRESH) * (1.0 - s.errors);
                if s.errors > ERRORS_HIGH || s.trickle.is_some() {
                    self.set_aside(orders, out.server);
                }
            }
            // No answer is one too: the worker took at least this long, and nothing faster says otherwise.
            // Where later ones were answered meanwhile, the answer was lost or the request was long by
            // itself.
            Outcome::TimedOut | Outcome::Cancelled
                if answer.elapsed > row.start_target && s.proved <= out.sent =>
            {
                s.lag += age.max(FRESH) * (answer.elapsed as f64 / row.start_target as f64 - s.lag);
                *s.others.at_mut(beat) += if answer.reported_in_flight.is_some() {
                    0.0
                } else {
                    others * answer.elapsed as f64 / SPAN
                };
                Self::cut_room(s, now, row.start_target, (pace, beat));
            }
            Outcome::Error
            | Outcome::ConnectionLost
            | Outcome::TimedOut
            | Outcome::Cancelled
            | Outcome::Superseded => {}
        }
    }

    fn cut_room(s: &mut Server, now: Micros, rest: Micros, (pace, beat): ((f64, f64), u64)) {
        if now >= s.cut_at {
            s.room = (s.room.min(s.busy(beat) + 1.0) * ROOM_CUT).max(Self::room_least(pace, s.weight));
            s.cut_at = now + rest;
            s.lag = s.lag.min(LAG_LOW);
        }
    }

    // ---- Mechanism 1: set aside ------------------------------------------------------------

    /// Guards against a worker that errs, breaks or is silent: nothing new goes there, what waits gets
    /// its copy.
    fn set_aside(&mut self, orders: &mut dyn Actions, id: WorkerId) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&id).filter(|s| !s.aside(now)) else { return };
        s.aside = Some(now + s.backoff);
        s.backoff = (s.backoff * 2).min(ASIDE_MOST);
        s.trickle = Some(1);
        s.errors = 0.0;
        s.holds.values_mut().for_each(|h| h.loading = None);
        self.loading.retain(|(_, at)| *at != id);
        self.servers.doubt(id);
        self.servers.schedule(id);
        let stuck: Vec<(RequestId, usize)> =
            self.out.iter().filter(|(_, o)| o.server == id).map(|(k, _)| *k).collect();
        for (request, n) in stuck {
            self.hedge(orders, request, n);
        }
    }

    fn usable(&self, s: &Server, request: &Job, id: WorkerId) -> bool {
        s.trickle.is_none_or(|n| s.out < n) && self.cold_budget(s, request, id)
    }

    // ---- Mechanism 2: fresh workers (rule 4) -----------------------------------------------

    /// The part of its full pace that a worker has for certain: it rises about evenly from the cold share.
    fn warmth(&self, s: &Server) -> f64 {
        let rules = &self.rows.slow_start;
        if s.up_since == 0 || self.now >= s.up_since + rules.warmup_time {
            return 1.0;
        }
        let warm = self.now.saturating_sub(s.up_since) as f64 / rules.warmup_time as f64;
        rules.initial_capacity + (1.0 - rules.initial_capacity) * warm
    }

    /// Whether a cold worker may be sent this request now. Each router keeps to its even part of the budget
    /// of a span. Where that is less than a request, chance decides, by how many requests this router is
    /// expected to have for the worker in a span, those that wait here too, or what has piled up would fall
    /// on it at once. One request draws once for a worker however often it asks.
    fn cold_budget(&self, s: &Server, request: &Job, id: WorkerId) -> bool {
        let rules = &self.rows.slow_start;
        let warmth = self.warmth(s);
        if warmth >= 1.0 {
            return true;
        }
        let span = rules.overload_window as f64;
        // The list's weights are rough, and may count the cores of a slow kind: none counts above the mean.
        let open = self.servers.open().len().max(1) as f64;
        let pace = self.capacity_per_weight() * s.weight.min(self.weight / open);
        let part = rules.overload_factor * warmth * pace * span * COLD_CARE / self.rows.router_count as f64;
        let spent: f64 = s.cold_sent.iter().map(|(_, work)| work).sum();
        let work = self.workloads[request.workload.0].service / self.mean_service.max(1.0);
        if spent + work <= part {
            return true;
        }
        let even = COLD_WANTED * self.rate * s.weight / self.weight;
        let new = self.per_us(even.max(self.functions[&request.function].rate)) * span;
        let wanted = (new + self.held.len().saturating_sub(1) as f64) * work;
        spent == 0.0 && unit_interval(hash_pair(request.chance, id.0)) < part / wanted.max(part)
    }

    // ---- Mechanism 6: loads ----------------------------------------------------------------

    fn load_time(&self, function: FunctionId) -> Micros {
        self.functions.get(function).and_then(|f| f.load_time).unwrap_or(LOAD_UNTOLD)
    }

    fn loads_slow(&mut self) {
        if self.now >= self.loads_cut {
            self.loads = (self.loads * LOADS_CUT).max(LOADS_LEAST);
            self.loads_cut = self.now + LOAD_UNTOLD / 2;
        }
    }

    // ---- Mechanism 5: shares, and the regular look at what waits ---------------------------

    /// Whether a request is beyond this router's part of its customer's share. Only such requests wait last.
    fn over_share(&mut self, customer: CustomerId) -> bool {
        let row = &mut self.customers[customer.0];
        let per_us = row.jobs_per_s / 1e6 / self.rows.router_count.max(1) as f64;
        row.tokens = (row.tokens + (self.now - row.at) as f64 * per_us).min((per_us * SHARE_SPAN).max(1.0));
        row.at = self.now;
        let over = row.tokens < 1.0;
        row.tokens -= f64::from(u8::from(!over));
        over
    }

    fn beat(&mut self, orders: &mut dyn Actions) {
        let now = self.now;
        self.wake_then(orders, BEAT, Box::new(|c, o, _| c.beat(o)));
        self.servers.next_beat();
        self.end_loads();
        while let Some(id) = self.servers.next_due(now) {
            self.end_holds(id);
        }
        // Guards against a table that grows with every name that any client ever makes up.
        self.functions.forget_unused(now, FORGET);
        self.servers.trust(|s| !s.aside(now) && s.trickle.is_none());
        self.weigh();
        self.silent_workers(orders);
        if !self.held.is_empty() {
            self.look_at_held(orders);
            self.dispatch(orders);
        }
    }

    /// The design's hold ends here, or a worker that died while loading would block the function.
    fn end_loads(&mut self) {
        for (function, id) in self.loading.clone() {
            let ends = HOLD_LOADS * self.load_time(function);
            let hold = self.servers.get_mut(&id).and_then(|s| s.holds.get_mut(&function));
            if let Some(hold) = hold.filter(|h| h.loading.is_some_and(|since| self.now >= since + ends)) {
                hold.loading = None;
                self.loading.remove(&(function, id));
                self.servers.schedule(id);
            }
        }
    }

    /// Drops what has ended by itself at a worker.
    fn end_holds(&mut self, id: WorkerId) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.cold_sent.retain(|(until, _)| *until > now);
        let ended =
            |h: &Holding| h.out == 0 && h.loading.is_none() && h.full_until.max(h.serving_until) <= now;
        let lost = s.holds.extract_if(.., |_, h| ended(h)).collect();
        self.functions.lost(id, &lost);
        self.servers.schedule(id);
    }

    /// Makes room in a full table: an eighth of it, and what workers hold of those.
    fn evict(&mut self) {
        for (function, gone) in self.functions.evict(FUNCTIONS_MOST / 8) {
            for id in &gone.at {
                let Some(s) = self.servers.get_mut(id) else { continue };
                s.holds.extract_if(function..=function, |_, h| h.out == 0).for_each(drop);
            }
        }
    }

    /// Jobs that have lost their start target wait behind those that can keep it, or are pushed back.
    fn look_at_held(&mut self, orders: &mut dyn Actions) {
        let now = self.now;
        let loading: BTreeSet<FunctionId> = self.loading.iter().map(|(f, _)| *f).collect();
        // Only those for which something may have changed are looked at, in the order of all.
        let overdue = self.held.late_until(now.saturating_sub(2 * BEAT), |f| !loading.contains(&f));
        let mut due: BTreeSet<_> = overdue.collect();
        for (n, row) in self.workloads.iter().enumerate() {
            let done = now + row.service as Micros;
            due.extend(self.held.leaving(WorkloadId(n), done.max(now + LAST_CALL)));
            due.extend(self.held.fresh_before(WorkloadId(n), done.saturating_sub(row.start_target)));
        }
        for key in due {
            let request = self.requests.get_mut(&key.2).expect("held jobs are kept");
            let row = &self.workloads[request.workload.0];
            let done = now + row.service as Micros;
            if request.late && now >= key.1 + 2 * BEAT && !loading.contains(&request.function)
                || done.max(now + LAST_CALL) >= request.deadline
            {
                self.give_up(orders, key.2);
            } else if !request.late && done > key.1 + row.start_target {
                request.value = (request.value as f64 * row.late_part) as u64;
                request.late = true;
                self.held.remove(&key);
                self.hold(key.2);
            }
        }
    }

    /// A worker that owes two answers for longer than the hedge delay and has said nothing since is silent.
    fn silent_workers(&mut self, orders: &mut dyn Actions) {
        let mut owed: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for out in self.out.values() {
            let row = &self.workloads[out.workload.0];
            let loads = if out.serving { 2 } else { 4 };
            let due = || out.sent + row.start_target + loads * self.load_time(out.function);
            if self.now > out.sent + row.start_target
                && self.now > due()
                && self.servers.get(&out.server).is_some_and(|s| s.heard <= out.sent)
            {
                *owed.entry(out.server).or_default() += 1;
            }
        }
        let silent = owed.into_iter().filter(|(_, n)| *n >= SILENT_JOBS);
        silent.for_each(|(server, _)| self.set_aside(orders, server));
    }

    fn wake_then(&mut self, orders: &mut dyn Actions, delay: Micros, step: Step) {
        let token = TimerToken(self.next_token);
        self.next_token += 1;
        self.steps.insert(token, step);
        orders.set_timer(delay, token);
    }
}
