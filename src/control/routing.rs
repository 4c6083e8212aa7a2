//! Routing: selects the worker for a request's next attempt.
//!
//! A function's requests go to its home worker, the first in a hash order that all routers share, so that
//! few workers have to load the function. Requests that find no capacity there overflow to the next workers
//! in the order. Overflow starts a load only if this router is not already waiting for another load of the
//! function. `docs/design.md` gives the reasons.

use super::Control;
use super::concurrency_limit::bounded_load;
use super::workloads::Workload;
use crate::hashing::{HashOrder, hash_pair, unit_interval};
use crate::interface::{FunctionId, Micros, RequestId, WorkerId};
use crate::state::function::Function;
use crate::state::request::Request;
use crate::state::worker::{FunctionAtWorker, Worker};
use applepond_rendezvous::{HashScheme, Prefix, Ranked};
use std::vec::IntoIter;

/// Share of a worker's throughput that one function may use, over all routers, before requests are
/// diverted.
const FUNCTION_SHARE: f64 = 0.8;
/// Number of requests from other routers within the cache lifetime at which a function is assumed to stay
/// loaded.
const KEEP_ALIVE_REQUESTS: f64 = 2.0;
/// Fraction of the mean number of requests per worker up to which a worker is idle enough for overflow.
const IDLE_SHARE: f64 = 0.5;
/// Factor on a worker's limit for a function that has no request there.
const SMALL_FUNCTION_ALLOWANCE: f64 = 1.5;
/// Estimated number of other routers' requests for a function below which it counts as having none at a
/// worker.
const NEGLIGIBLE_REQUESTS: f64 = 1.0;
/// Fraction of the latency objective that overflow waits before starting a load at another worker.
const OVERFLOW_WAIT_SHARE: f64 = 0.25;
/// Remaining workers in the hash order, per worker that may have the function loaded, above which the
/// loaded workers are ranked directly: one hash and look-up costs about as much as this many steps.
const LONG_ORDER_FACTOR: usize = 8;
/// Maximum number of workers examined for overflow that starts a load; if none of these accepts it, the
/// fleet is full.
const MAX_EXAMINED: usize = 256;

/// The selected worker.
struct Choice {
    worker: WorkerId,
    /// The worker is the home and is only presumed to have the function loaded.
    is_presumed_loaded: bool,
}

/// A worker under consideration.
struct Candidate<'a> {
    id: WorkerId,
    worker: &'a Worker,
    /// What is known about the function at the worker.
    known: Option<&'a FunctionAtWorker>,
    /// Whether the function is known or presumed to be loaded.
    is_loaded: bool,
    /// Whether the function is presumed, but not known, to be loaded because other routers' requests keep
    /// it so.
    is_presumed_loaded: bool,
}

/// Estimated load of a candidate.
struct CandidateLoad {
    /// This router's requests for the function at the worker.
    own: u32,
    /// Other routers' requests for the function at the worker.
    others_of_function: f64,
    /// Other routers' requests for all functions at the worker.
    others: f64,
    /// Share of the other routers' requests that this request takes into account, drawn from 0.5..=1.
    /// Reports are stale and identical for all routers, so a hard bound would close the worker to every
    /// router at once and for a long time.
    visible_share: f64,
    /// Limit on the requests of all routers: the lower of the worker's concurrency limit and its bounded
    /// load.
    limit: f64,
}

impl CandidateLoad {
    /// Whether the function has no request at the worker. Under overload the busiest functions are
    /// diverted; a small one stays, which saves a load.
    fn is_small(&self) -> bool {
        self.own == 0 && self.others_of_function < NEGLIGIBLE_REQUESTS
    }
}

/// State of the home worker.
struct Home {
    id: WorkerId,
    is_loaded: bool,
    has_capacity: bool,
    /// The overload is not expected to clear within a moment.
    overload_persists: bool,
}

/// Progress of a selection.
#[derive(Default)]
struct Progress {
    home: Option<Home>,
    /// The home is only presumed to have the function loaded.
    home_is_presumed_loaded: bool,
    /// First worker with capacity that has the function loaded.
    loaded: Option<WorkerId>,
    /// First worker with capacity at which overflow may start a load.
    overflow: Option<WorkerId>,
    /// Other routers' requests per microsecond not covered by the workers skipped so far.
    remaining_rate: f64,
    /// Next position in the hash order.
    position: usize,
    /// Number of workers examined.
    examined: usize,
    /// Remaining workers that have the function loaded, in hash order; set once only those can change the
    /// result.
    loaded_only: Option<IntoIter<Ranked<WorkerId>>>,
}

/// Inputs of a selection that are the same for all candidates.
struct Selection<'a> {
    control: &'a Control,
    request: &'a Request,
    function: &'a Function,
    workload: &'a Workload,
    /// Requests per microsecond of the function that a worker of weight 1 may receive.
    rate_per_weight: f64,
    /// Whether this router waits for a load of the function at a ready worker.
    load_in_progress: bool,
    /// Whether the load limiter allows another load.
    may_start_load: bool,
    /// Whether loads are congested fleet-wide. Another load would then delay the others and serve no
    /// request in time.
    loads_congested: bool,
}

impl Control {
    /// Selects the worker for a request's next attempt; `None` if the request has to wait.
    pub(super) fn select_worker(&mut self, id: RequestId) -> Option<WorkerId> {
        let function = self.requests[&id].function;
        if self.has_to_wait_for_load(function) {
            return None;
        }
        let mut order = self.hash_orders.take(self.workers.ready(), function);
        let choice = Selection::new(self, id).choose(&mut order);
        self.hash_orders.put(function, order);
        let choice = choice?;
        if choice.is_presumed_loaded {
            self.presume_loaded(choice.worker, function);
        }
        Some(choice.worker)
    }

    /// Whether the function has to wait because no further load may start, no worker may have it loaded,
    /// and other routers do not keep it loaded either.
    fn has_to_wait_for_load(&self, function: FunctionId) -> bool {
        !self.loads.allows_another()
            && self.functions[&function].workers.is_empty()
            && self.other_routers_rate(function) * (self.config.cache_lifetime as f64) < KEEP_ALIVE_REQUESTS
    }

    /// Presumes that a function is loaded at a worker for one load time, or until a response reports its
    /// state.
    fn presume_loaded(&mut self, id: WorkerId, function: FunctionId) {
        let loaded_until = self.now + self.load_time(function);
        let worker = self.workers.get_mut(&id).expect("selected among known workers");
        worker.functions.entry(function).or_default().loaded_until = loaded_until;
        self.workers.schedule_expiry(id);
    }

    /// The workers that have the function loaded, in its hash order, starting from `first`.
    fn loaded_from(&self, function: FunctionId, first: &Ranked<WorkerId>) -> Vec<Ranked<WorkerId>> {
        let is_loaded = |id: &&WorkerId| {
            self.workers.get(id).is_some_and(|worker| worker.ready && worker.has_loaded(self.now, function))
        };
        let rank = |id: &WorkerId| {
            let weight = self.workers[id].weight;
            let score = HashOrder::score(hash_pair(function.0, id.0), weight);
            Ranked { score, weight, member: *id }
        };
        let loaded = self.functions[&function].workers.iter().filter(is_loaded).map(rank);
        let mut loaded: Vec<Ranked<WorkerId>> =
            loaded.filter(|ranked| ranked.compare(first).is_ge()).collect();
        loaded.sort_by(Ranked::compare);
        loaded
    }
}

impl<'a> Selection<'a> {
    fn new(control: &'a Control, id: RequestId) -> Self {
        let request = &control.requests[&id];
        let is_ready = |worker: WorkerId| control.workers.get(&worker).is_some_and(|worker| worker.ready);
        Selection {
            control,
            request,
            function: &control.functions[&request.function],
            workload: &control.workloads[request.workload],
            rate_per_weight: control.throughput_per_weight() * FUNCTION_SHARE,
            load_in_progress: control.loads.workers_loading(request.function).any(is_ready),
            may_start_load: control.loads.allows_another(),
            loads_congested: control.loads.is_congested(),
        }
    }

    /// Walks the hash order and decides from the result.
    fn choose(&self, order: &mut Prefix<WorkerId>) -> Option<Choice> {
        let remaining_rate = self.control.other_routers_rate(self.request.function);
        let mut progress = Progress { remaining_rate, ..Progress::default() };
        while progress.loaded.is_none() {
            let loaded_only = self.needs_only_loaded(&progress);
            let Some((position, ranked)) = self.next_ranked(&mut progress, order, loaded_only) else { break };
            if let Some(candidate) = self.candidate(&mut progress, position, &ranked, loaded_only) {
                self.consider(&mut progress, &candidate);
            }
        }
        self.decide(&progress)
    }

    /// Whether only workers that have the function loaded can still change the decision: the home is known,
    /// and an overflow worker is either known or not wanted.
    fn needs_only_loaded(&self, progress: &Progress) -> bool {
        if progress.home.is_none() {
            return false;
        }
        let none_diverted = progress.remaining_rate <= self.rate_per_weight * self.control.fleet.min_weight;
        progress.examined >= MAX_EXAMINED
            || none_diverted && (progress.overflow.is_some() || !self.overflow_may_start_load())
    }

    fn overflow_may_start_load(&self) -> bool {
        !self.loads_congested && !self.load_in_progress && self.may_start_load
    }

    /// The next worker in hash order, with its position. If a long order remains and only workers that have
    /// the function loaded matter, those are ranked directly and returned with position 0.
    fn next_ranked(
        &self,
        progress: &mut Progress,
        order: &mut Prefix<WorkerId>,
        loaded_only: bool,
    ) -> Option<(usize, Ranked<WorkerId>)> {
        let control = self.control;
        let (ready, function) = (control.workers.ready(), self.request.function);
        let left = ready.len().saturating_sub(progress.position);
        let is_long = left > LONG_ORDER_FACTOR * (1 + self.function.workers.len());
        if loaded_only
            && is_long
            && progress.loaded_only.is_none()
            && let Some(first) = order.get(ready, function, progress.position)
        {
            progress.loaded_only = Some(control.loaded_from(function, &first).into_iter());
        }
        let found = match &mut progress.loaded_only {
            Some(loaded) => (0, loaded.next()?),
            None => (progress.position, order.get(ready, function, progress.position)?),
        };
        progress.position += 1;
        Some(found)
    }

    /// Turns a worker in the order into a candidate; `None` if it is skipped.
    fn candidate(
        &self,
        progress: &mut Progress,
        position: usize,
        ranked: &Ranked<WorkerId>,
        loaded_only: bool,
    ) -> Option<Candidate<'a>> {
        let control = self.control;
        let id = ranked.member;
        let rate = self.rate_per_weight * ranked.weight;
        let is_diverted = self.is_diverted(progress.remaining_rate, rate, position);
        if control.workers.is_suspect(&id) && control.skips_worker(&control.workers[&id], self.request) {
            return None;
        }
        if is_diverted {
            progress.remaining_rate -= rate;
            return None;
        }
        progress.examined += 1;
        let worker = &control.workers[&id];
        let known = worker.functions.get(&self.request.function).map(Box::as_ref);
        let is_known_loaded = known.is_some_and(|known| known.loaded_until > control.now);
        // If other routers are presumed to keep the function loaded at its home, this router benefits from
        // that too.
        let is_presumed_loaded = !is_known_loaded
            && progress.home.is_none()
            && self.other_routers_keep_loaded(progress.remaining_rate.min(rate))
            && control.capacity_share(worker) >= 1.0;
        let is_loaded = is_known_loaded || is_presumed_loaded;
        if !is_loaded && (loaded_only || progress.overflow.is_some()) {
            return None;
        }
        Some(Candidate { id, worker, known, is_loaded, is_presumed_loaded })
    }

    /// Whether the request skips this worker because the function's rate exceeds its share of the worker.
    /// Requests of all routers are diverted at random in such proportion that the remainder fits.
    fn is_diverted(&self, remaining_rate: f64, rate: f64, position: usize) -> bool {
        remaining_rate > rate
            && unit_interval(hash_pair(self.request.random_bits, position as u64)) >= rate / remaining_rate
    }

    /// Whether this many requests per microsecond keep a function loaded.
    fn other_routers_keep_loaded(&self, rate: f64) -> bool {
        rate * self.control.config.cache_lifetime as f64 >= KEEP_ALIVE_REQUESTS
    }

    /// Records what a candidate changes in the progress of the selection.
    fn consider(&self, progress: &mut Progress, candidate: &Candidate<'_>) {
        let load = self.load_of(candidate);
        let has_capacity = !self.is_full_for_function(&load)
            && !self.is_overloaded(candidate, &load)
            && self.accepts(candidate);
        if progress.home.is_none() {
            progress.home_is_presumed_loaded = candidate.is_presumed_loaded;
            progress.home = Some(Home {
                id: candidate.id,
                is_loaded: candidate.is_loaded,
                has_capacity,
                overload_persists: self.overload_persists(candidate, &load),
            });
        }
        if !has_capacity {
            return;
        }
        if candidate.is_loaded {
            progress.loaded = Some(candidate.id);
        } else if progress.overflow.is_none()
            && (self.is_idle(candidate) || progress.home.as_ref().is_none_or(|home| !home.is_loaded))
        {
            progress.overflow = Some(candidate.id);
        }
    }

    fn load_of(&self, candidate: &Candidate<'_>) -> CandidateLoad {
        let tick = self.control.workers.tick();
        let worker = candidate.worker;
        let bounded_load = bounded_load(self.control.fleet.in_flight_per_weight, worker.weight);
        let draw = unit_interval(hash_pair(self.request.random_bits, candidate.id.0));
        CandidateLoad {
            own: candidate.known.map_or(0, |known| known.in_flight),
            others_of_function: candidate.known.map_or(0.0, |known| known.others_in_flight.at(tick)),
            others: worker.others_in_flight.at(tick),
            visible_share: 1.0 - draw / 2.0,
            limit: worker.concurrency.limit.min(bounded_load),
        }
    }

    /// Requests of the function that a worker is expected to run concurrently.
    fn concurrency(&self) -> f64 {
        f64::from(self.function.concurrency)
    }

    /// Whether the function's own requests use all of its expected concurrency at the worker.
    fn is_full_for_function(&self, load: &CandidateLoad) -> bool {
        f64::from(load.own) + load.visible_share * load.others_of_function >= self.concurrency()
    }

    /// Whether the requests of all functions reach the worker's limit.
    fn is_overloaded(&self, candidate: &Candidate<'_>, load: &CandidateLoad) -> bool {
        let allowance = if load.is_small() { SMALL_FUNCTION_ALLOWANCE } else { 1.0 };
        let limit = load.limit * allowance * self.control.capacity_share(candidate.worker);
        candidate.worker.running() + load.visible_share * load.others >= limit
    }

    /// Whether retry rules, recent rejections, recovery and slow start allow the request at this worker.
    fn accepts(&self, candidate: &Candidate<'_>) -> bool {
        let (control, worker) = (self.control, candidate.worker);
        let now = control.now;
        let rejects_customer = self.request.customer.is_some_and(|customer| {
            worker.rejects_customer_until.get(&customer).is_some_and(|until| now < *until)
        });
        !rejects_customer
            && candidate.known.is_none_or(|known| now >= known.overloaded_until)
            && control.may_send(self.request, candidate.id)
            && worker.outlier.allows_another(worker.in_flight)
            && control.warmup_budget_allows(candidate.id, worker, self.request)
    }

    /// Whether the overload is caused by more than this router's own requests, which may finish within a
    /// moment.
    fn overload_persists(&self, candidate: &Candidate<'_>, load: &CandidateLoad) -> bool {
        !load.is_small() && load.others >= load.limit
            || load.others_of_function >= self.concurrency()
            || !self.accepts(candidate)
    }

    fn is_idle(&self, candidate: &Candidate<'_>) -> bool {
        let worker = candidate.worker;
        let in_flight = worker.total_in_flight(self.control.workers.tick());
        in_flight <= IDLE_SHARE * self.control.fleet.in_flight_per_weight * worker.weight
    }

    /// Chooses a worker once the hash order has been examined.
    fn decide(&self, progress: &Progress) -> Option<Choice> {
        let home = progress.home.as_ref()?;
        if let Some(worker) = progress.loaded
            && worker == home.id
        {
            return Some(Choice { worker, is_presumed_loaded: progress.home_is_presumed_loaded });
        }
        let chosen = |worker| Choice { worker, is_presumed_loaded: false };
        let joins_load =
            progress.loaded.is_none() && self.control.loads.is_loading(self.request.function, home.id);
        let may_load_at_home = joins_load || !self.load_in_progress && self.may_start_load;
        if !home.is_loaded && home.has_capacity && may_load_at_home {
            return Some(chosen(home.id));
        }
        if progress.loaded.is_some() {
            return progress.loaded.map(chosen);
        }
        if !self.overflow_may_start_load() || home.is_loaded && self.waits_for_home(home) {
            return None;
        }
        progress.overflow.map(chosen)
    }

    /// Whether overflow should briefly wait for a home that has the function loaded and may soon have
    /// capacity.
    fn waits_for_home(&self, home: &Home) -> bool {
        let objective = self.workload.latency_objective as f64;
        let waits_until = self.request.arrived_at + (objective * OVERFLOW_WAIT_SHARE) as Micros;
        !home.overload_persists && self.control.now < waits_until
    }
}
