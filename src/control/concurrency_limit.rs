//! Adaptive concurrency limit: a bound on the requests of all routers at a worker, moved by its queueing
//! delay.
//!
//! Guards against queues at workers, in which requests grow late while other workers are idle. Additive
//! increase and multiplicative decrease, as in Envoy's adaptive concurrency; beside it the bound of
//! consistent hashing with bounded loads, so that no worker gets far more than the mean.

use crate::interface::Micros;

pub use crate::state::worker::ConcurrencyLimit;

/// Share of the latency objective whose work at full throughput is the initial limit.
const INITIAL_LIMIT_SHARE: f64 = 0.5;
/// The limit at least, as a multiple of the requests that keep a worker's cores busy: none may starve.
const MIN_BUSY_FACTOR: f64 = 0.5;
/// The limit at least, however little a worker does.
const MIN_LIMIT: f64 = 1.0;
/// The limit at most: beyond what a worker ever needs.
const MAX_LIMIT: f64 = 64.0;
/// Queueing delay, as a share of the latency objective, below which the limit may grow.
const LOW_DELAY: f64 = 0.2;
/// Queueing delay, as a share of the latency objective, above which the limit shrinks: half is left for
/// chance.
const HIGH_DELAY: f64 = 0.33;
/// Factor on the limit at each decrease: two steps halve it.
const DECREASE_FACTOR: f64 = 0.75;
/// Requests below the limit within which a worker has to be for the limit to grow.
const GROWTH_HEADROOM: f64 = 2.0;
/// Requests of all routers at a worker that are never an overload: below this chance decides, not load.
const FREE_REQUESTS: f64 = 5.0;
/// Multiple of the mean of requests a worker, by weight, that makes an overload: the usual factor of bounded
/// loads.
const BOUNDED_LOAD_FACTOR: f64 = 1.5;

/// What workers were able to do when it was last computed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Throughput {
    /// Requests a microsecond that workers of weight 1 complete; 0 until known.
    pub per_weight: f64,
    /// Mean service time of a request in microseconds.
    pub mean_service_time: f64,
}

impl Throughput {
    /// The least limit of a worker of this weight.
    pub fn min_limit(&self, weight: f64) -> f64 {
        let busy = self.per_weight * weight * self.mean_service_time;
        (busy * MIN_BUSY_FACTOR).clamp(MIN_LIMIT, MAX_LIMIT)
    }

    /// The limit of a worker of this weight to begin with; `latency_objective` in microseconds.
    pub fn initial_limit(&self, weight: f64, latency_objective: f64) -> f64 {
        let limit = self.per_weight * weight * latency_objective * INITIAL_LIMIT_SHARE;
        limit.clamp(self.min_limit(weight), MAX_LIMIT)
    }
}

/// The bound of consistent hashing with bounded loads on the requests of all routers at a worker of this
/// weight.
pub fn bounded_load(mean_per_weight: f64, weight: f64) -> f64 {
    FREE_REQUESTS + BOUNDED_LOAD_FACTOR * mean_per_weight * weight
}

impl ConcurrencyLimit {
    /// A limit that is not known yet.
    pub fn new(now: Micros) -> Self {
        ConcurrencyLimit { next_decrease_at: now, ..ConcurrencyLimit::default() }
    }

    /// Whether response times show the queue rather than the work itself.
    pub fn is_delayed(&self) -> bool {
        self.queueing_delay > HIGH_DELAY
    }

    /// Takes a response time into the moving average, as a multiple of the latency objective.
    pub fn record_delay(&mut self, sample_weight: f64, delay: f64) {
        self.queueing_delay += sample_weight * (delay - self.queueing_delay);
    }

    /// Moves the limit after a response of a loaded function: `in_flight` requests of all routers are at the
    /// worker;
    /// `min_limit` as from [`Throughput::min_limit`].
    pub fn adapt(&mut self, now: Micros, latency_objective: Micros, in_flight: f64, min_limit: f64) {
        if self.is_delayed() {
            self.decrease(now, latency_objective, in_flight, min_limit);
        } else if self.queueing_delay < LOW_DELAY && in_flight + GROWTH_HEADROOM >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }

    /// Decreases the limit, and not again before `interval` has passed.
    pub fn decrease(&mut self, now: Micros, interval: Micros, in_flight: f64, min_limit: f64) {
        if now < self.next_decrease_at {
            return;
        }
        self.limit = (self.limit.min(in_flight + 1.0) * DECREASE_FACTOR).max(min_limit);
        self.next_decrease_at = now + interval;
        self.queueing_delay = self.queueing_delay.min(LOW_DELAY);
    }

    /// Takes over a limit that was known before a restart: never more than a new worker has.
    pub fn restore(&mut self, limit: f64, queueing_delay: f64, min_limit: f64) {
        self.limit = self.limit.min(limit.max(min_limit));
        self.queueing_delay = self.queueing_delay.max(queueing_delay);
    }
}
