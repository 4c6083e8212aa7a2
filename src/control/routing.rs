//! Routing: which worker a request's next attempt goes to.
//!
//! A function's requests go to its home worker, the first in a hash order that all routers share, so that
//! few workers have to load it. What finds no capacity there overflows to the next workers of the order; a
//! load is started for overflow only while this router waits for no other load of the function.
//! `docs/design.md` has the reasons.

use super::Control;
use super::concurrency_limit::bounded_load;
use super::workloads::Workload;
use crate::hashing::{HashOrder, hash_pair, unit_interval};
use crate::interface::{FunctionId, Micros, RequestId, WorkerId};
use crate::state::function::Function;
use crate::state::request::Request;
use crate::state::worker::{FunctionAtWorker, Worker};
use applepond_rendezvous::{Draw, Prefix, Ranked};
use std::vec::IntoIter;

/// Part of a worker's throughput that one function's requests of all routers may take before they move on.
const FUNCTION_SHARE: f64 = 0.8;
/// Requests of the other routers within the cache lifetime from which on a function is taken to be kept
/// loaded.
const KEEP_ALIVE_REQUESTS: f64 = 2.0;
/// Part of the mean of requests a worker up to which one is idle enough for overflow.
const IDLE_SHARE: f64 = 0.5;
/// Factor on the limit of a worker for a function without a request there.
const SMALL_FUNCTION_ALLOWANCE: f64 = 1.5;
/// Requests of other routers for a function below which it has none at a worker.
const NO_REQUESTS: f64 = 1.0;
/// Part of the latency objective that overflow waits before it starts a load at the next worker.
const OVERFLOW_WAIT_SHARE: f64 = 0.25;
/// Workers left in an order for each that may have the function loaded from which on those are sought by
/// themselves: a draw and a look-up cost about so many steps.
const LONG_ORDER_FACTOR: usize = 8;
/// Workers examined for one that may start a load: if none of so many takes it, the fleet is full.
const MAX_EXAMINED: usize = 256;

/// The worker that a selection ends with.
struct Choice {
    worker: WorkerId,
    /// It is the home, which is only presumed to have the function loaded.
    is_presumed_loaded: bool,
}

/// A worker that a selection considers.
struct Candidate<'a> {
    id: WorkerId,
    worker: &'a Worker,
    /// What is known of the function there.
    known: Option<&'a FunctionAtWorker>,
    /// The function is loaded there, as known or as presumed.
    is_loaded: bool,
    /// It is not known to be loaded; the requests of other routers are taken to keep it so.
    is_presumed_loaded: bool,
}

/// How busy a candidate is, as far as this router can know.
struct CandidateLoad {
    /// This router's requests of the function there.
    own: u32,
    /// Other routers' requests of the function there.
    others_of_function: f64,
    /// Other routers' requests of all functions there.
    others: f64,
    /// The request's own part of what the others have there, from a half to 1. Reports are old and seen
    /// alike by all routers: a hard bound would close the worker to all of them at once and for long.
    visible_share: f64,
    /// The bound on requests of all routers: the worker's concurrency limit and that of bounded loads.
    limit: f64,
}

impl CandidateLoad {
    /// Whether the function has no request there. Under overload the functions with most requests move on; a
    /// small one stays and saves a load.
    fn is_small(&self) -> bool {
        self.own == 0 && self.others_of_function < NO_REQUESTS
    }
}

/// The home worker, as it was found.
struct Home {
    id: WorkerId,
    is_loaded: bool,
    has_capacity: bool,
    /// What fills it will not be gone in a moment.
    overload_persists: bool,
}

/// What a selection has found so far.
#[derive(Default)]
struct Probe {
    home: Option<Home>,
    /// The home is only presumed to have the function loaded.
    home_is_presumed_loaded: bool,
    /// The first worker with capacity that has the function loaded.
    loaded: Option<WorkerId>,
    /// The first worker with capacity at which overflow may start a load.
    overflow: Option<WorkerId>,
    /// Requests a microsecond of the other routers that the workers passed so far do not take.
    remaining_rate: f64,
    /// The next position in the hash order.
    position: usize,
    /// Workers examined.
    examined: usize,
    /// Once only workers that have the function loaded matter: those left, in the hash order.
    loaded_only: Option<IntoIter<Ranked<WorkerId>>>,
}

/// The selection of a worker for a request: what is the same at all candidates.
struct Selection<'a> {
    control: &'a Control,
    request: &'a Request,
    function: &'a Function,
    workload: &'a Workload,
    /// Requests a microsecond of the function that a worker of weight 1 may get.
    rate_per_weight: f64,
    /// This router waits for a load of the function at a ready worker.
    load_in_progress: bool,
    /// The load limiter allows another load.
    may_start_load: bool,
    /// Loads are congested everywhere: each further one makes the others late, and serves no request in time.
    loads_congested: bool,
}

impl Control {
    /// The worker for a request's next attempt; none where it has to wait.
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

    /// Whether a function that no worker may have loaded, and that other routers keep loaded nowhere, has to
    /// wait because no further load may start.
    fn has_to_wait_for_load(&self, function: FunctionId) -> bool {
        !self.loads.allows_another()
            && self.functions[&function].workers.is_empty()
            && self.rate_elsewhere(function) * (self.config.cache_lifetime as f64) < KEEP_ALIVE_REQUESTS
    }

    /// Takes the function to be loaded at a worker for one load time, or until a response says how it is.
    fn presume_loaded(&mut self, id: WorkerId, function: FunctionId) {
        let loaded_until = self.now + self.load_time(function);
        let worker = self.workers.get_mut(&id).expect("selected among known workers");
        worker.functions.entry(function).or_default().loaded_until = loaded_until;
        self.workers.schedule_expiry(id);
    }

    /// The workers that have the function loaded, in its hash order, from `first` on.
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
        let mut loaded: Vec<Ranked<WorkerId>> = loaded.filter(|ranked| ranked.order(first).is_ge()).collect();
        loaded.sort_by(Ranked::order);
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

    /// Walks the hash order, and decides by what was found.
    fn choose(&self, order: &mut Prefix<WorkerId>) -> Option<Choice> {
        let remaining_rate = self.control.rate_elsewhere(self.request.function);
        let mut probe = Probe { remaining_rate, ..Probe::default() };
        while probe.loaded.is_none() {
            let loaded_only = self.needs_only_loaded(&probe);
            let Some((position, ranked)) = self.next_ranked(&mut probe, order, loaded_only) else { break };
            if let Some(candidate) = self.candidate(&mut probe, position, &ranked, loaded_only) {
                self.consider(&mut probe, &candidate);
            }
        }
        self.decide(&probe)
    }

    /// Whether only workers that have the function loaded can still change the decision: the home is known,
    /// and an overflow worker is known or not wanted.
    fn needs_only_loaded(&self, probe: &Probe) -> bool {
        if probe.home.is_none() {
            return false;
        }
        let none_moves_on = probe.remaining_rate <= self.rate_per_weight * self.control.fleet.least_weight;
        probe.examined >= MAX_EXAMINED
            || none_moves_on && (probe.overflow.is_some() || !self.overflow_may_start_load())
    }

    /// Whether overflow may start a load at all.
    fn overflow_may_start_load(&self) -> bool {
        !self.loads_congested && !self.load_in_progress && self.may_start_load
    }

    /// The next worker of the order with its position. Where a long order is left of which only workers
    /// matter that have the function loaded, those are sought by themselves, all at position 0.
    fn next_ranked(
        &self,
        probe: &mut Probe,
        order: &mut Prefix<WorkerId>,
        loaded_only: bool,
    ) -> Option<(usize, Ranked<WorkerId>)> {
        let control = self.control;
        let (ready, function) = (control.workers.ready(), self.request.function);
        let left = ready.len().saturating_sub(probe.position);
        let is_long = left > LONG_ORDER_FACTOR * (1 + self.function.workers.len());
        if loaded_only
            && is_long
            && probe.loaded_only.is_none()
            && let Some(first) = order.get(ready, function, probe.position)
        {
            probe.loaded_only = Some(control.loaded_from(function, &first).into_iter());
        }
        let found = match &mut probe.loaded_only {
            Some(loaded) => (0, loaded.next()?),
            None => (probe.position, order.get(ready, function, probe.position)?),
        };
        probe.position += 1;
        Some(found)
    }

    /// A worker of the order as a candidate; none where it is passed over.
    fn candidate(
        &self,
        probe: &mut Probe,
        position: usize,
        ranked: &Ranked<WorkerId>,
        loaded_only: bool,
    ) -> Option<Candidate<'a>> {
        let control = self.control;
        let id = ranked.member;
        let rate = self.rate_per_weight * ranked.weight;
        let moves_on = self.moves_on(probe.remaining_rate, rate, position);
        if control.workers.is_suspect(&id) && control.passes_over(&control.workers[&id], self.request) {
            return None;
        }
        if moves_on {
            probe.remaining_rate -= rate;
            return None;
        }
        probe.examined += 1;
        let worker = &control.workers[&id];
        let known = worker.functions.get(&self.request.function).map(Box::as_ref);
        let is_known_loaded = known.is_some_and(|known| known.loaded_until > control.now);
        // What the other routers are taken to keep loaded at the home is loaded for this one too.
        let is_presumed_loaded = !is_known_loaded
            && probe.home.is_none()
            && self.others_keep_loaded(probe.remaining_rate.min(rate))
            && control.capacity_share(worker) >= 1.0;
        let is_loaded = is_known_loaded || is_presumed_loaded;
        if !is_loaded && (loaded_only || probe.overflow.is_some()) {
            return None;
        }
        Some(Candidate { id, worker, known, is_loaded, is_presumed_loaded })
    }

    /// Whether the request leaves a worker out because the function has more requests than its share of the
    /// worker: so many of all routers' requests move on, by chance, that the rest fits.
    fn moves_on(&self, remaining_rate: f64, rate: f64, position: usize) -> bool {
        remaining_rate > rate
            && unit_interval(hash_pair(self.request.random_bits, position as u64)) >= rate / remaining_rate
    }

    /// Whether so many requests a microsecond keep a function loaded.
    fn others_keep_loaded(&self, rate: f64) -> bool {
        rate * self.control.config.cache_lifetime as f64 >= KEEP_ALIVE_REQUESTS
    }

    /// Takes a candidate into what the selection has found.
    fn consider(&self, probe: &mut Probe, candidate: &Candidate<'_>) {
        let load = self.load_of(candidate);
        let has_capacity = !self.is_filled_by_function(&load)
            && !self.is_overloaded(candidate, &load)
            && self.accepts(candidate);
        if probe.home.is_none() {
            probe.home_is_presumed_loaded = candidate.is_presumed_loaded;
            probe.home = Some(Home {
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
            probe.loaded = Some(candidate.id);
        } else if probe.overflow.is_none()
            && (self.is_idle(candidate) || probe.home.as_ref().is_none_or(|home| !home.is_loaded))
        {
            probe.overflow = Some(candidate.id);
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

    /// Requests of the function that a worker is expected to run at once.
    fn concurrency(&self) -> f64 {
        f64::from(self.function.concurrency)
    }

    /// Whether the function's requests take up all that a worker is expected to run of it at once.
    fn is_filled_by_function(&self, load: &CandidateLoad) -> bool {
        f64::from(load.own) + load.visible_share * load.others_of_function >= self.concurrency()
    }

    /// Whether the requests of all functions reach the worker's limit.
    fn is_overloaded(&self, candidate: &Candidate<'_>, load: &CandidateLoad) -> bool {
        let allowance = if load.is_small() { SMALL_FUNCTION_ALLOWANCE } else { 1.0 };
        let limit = load.limit * allowance * self.control.capacity_share(candidate.worker);
        candidate.worker.running() + load.visible_share * load.others >= limit
    }

    /// Whether rules, rejections, recovery and slow start let the worker have the request.
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

    /// Whether a worker's overload is more than this router's own requests, which may be gone in a moment.
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

    /// The decision by what was found.
    fn decide(&self, probe: &Probe) -> Option<Choice> {
        let home = probe.home.as_ref()?;
        if let Some(worker) = probe.loaded
            && worker == home.id
        {
            return Some(Choice { worker, is_presumed_loaded: probe.home_is_presumed_loaded });
        }
        let chosen = |worker| Choice { worker, is_presumed_loaded: false };
        let joins_load =
            probe.loaded.is_none() && self.control.loads.is_loading(self.request.function, home.id);
        let may_load_at_home = joins_load || !self.load_in_progress && self.may_start_load;
        if !home.is_loaded && home.has_capacity && may_load_at_home {
            return Some(chosen(home.id));
        }
        if probe.loaded.is_some() {
            return probe.loaded.map(chosen);
        }
        if !self.overflow_may_start_load() || home.is_loaded && self.waits_for_home(home) {
            return None;
        }
        probe.overflow.map(chosen)
    }

    /// Whether overflow waits a moment for a loaded home that may soon have capacity again.
    fn waits_for_home(&self, home: &Home) -> bool {
        let objective = self.workload.latency_objective as f64;
        let waits_until = self.request.arrived_at + (objective * OVERFLOW_WAIT_SHARE) as Micros;
        !home.overload_persists && self.control.now < waits_until
    }
}
