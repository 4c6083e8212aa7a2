//! Adaptive concurrency limit: bounds the requests of all routers at a worker, controlled by its queueing
//! delay.
//!
//! Guards against queues at some workers while others are idle. Uses additive increase and multiplicative
//! decrease, like Envoy's adaptive concurrency, in addition to the bound of consistent hashing with bounded
//! loads, which keeps any worker from getting far more than the mean.

use crate::interface::Micros;

pub use crate::state::worker::ConcurrencyLimit;

/// The initial limit is the work completed at full throughput within this share of the latency objective.
const INITIAL_LIMIT_SHARE: f64 = 0.5;
/// Minimum limit as a multiple of the requests that keep a worker's cores busy, so that none starves.
const MIN_BUSY_FACTOR: f64 = 0.5;
/// Absolute minimum limit.
const MIN_LIMIT: f64 = 1.0;
/// Maximum limit: more than a worker ever needs.
const MAX_LIMIT: f64 = 64.0;
/// Queueing delay, as a share of the latency objective, below which the limit may grow.
const LOW_DELAY: f64 = 0.2;
/// Queueing delay, as a share of the latency objective, above which the limit shrinks; the rest of the
/// objective absorbs random variation.
const HIGH_DELAY: f64 = 0.33;
/// Factor on the limit per decrease; two decreases roughly halve it.
const DECREASE_FACTOR: f64 = 0.75;
/// The limit only grows if the requests in flight are within this distance of it.
const GROWTH_HEADROOM: f64 = 2.0;
/// Number of requests at a worker, over all routers, that never counts as overload: so few are dominated by
/// chance.
const MIN_BOUNDED_LOAD: f64 = 5.0;
/// Multiple of the mean load per unit of weight that counts as overload, as is usual for bounded loads.
const BOUNDED_LOAD_FACTOR: f64 = 1.5;

/// Throughput of the workers when last computed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Throughput {
    /// Requests per microsecond completed by a worker of weight 1; 0 until known.
    pub per_weight: f64,
    /// Mean service time of a request, in microseconds.
    pub mean_service_time: f64,
}

impl Throughput {
    /// Minimum limit of a worker of this weight.
    pub fn min_limit(&self, weight: f64) -> f64 {
        let busy = self.per_weight * weight * self.mean_service_time;
        (busy * MIN_BUSY_FACTOR).clamp(MIN_LIMIT, MAX_LIMIT)
    }

    /// Initial limit of a worker of this weight; `latency_objective` is in microseconds.
    pub fn initial_limit(&self, weight: f64, latency_objective: f64) -> f64 {
        let limit = self.per_weight * weight * latency_objective * INITIAL_LIMIT_SHARE;
        limit.clamp(self.min_limit(weight), MAX_LIMIT)
    }
}

/// Bound of consistent hashing with bounded loads: the maximum number of requests of all routers at a
/// worker of this weight.
pub fn bounded_load(mean_per_weight: f64, weight: f64) -> f64 {
    MIN_BOUNDED_LOAD + BOUNDED_LOAD_FACTOR * mean_per_weight * weight
}

impl ConcurrencyLimit {
    /// A limit that is not yet initialized.
    pub fn new(now: Micros) -> Self {
        ConcurrencyLimit { next_decrease_at: now, ..ConcurrencyLimit::default() }
    }

    /// Whether response times are dominated by queueing.
    pub fn is_delayed(&self) -> bool {
        self.queueing_delay > HIGH_DELAY
    }

    /// Adds a response time, as a multiple of the latency objective, to the moving average.
    pub fn record_delay(&mut self, sample_weight: f64, delay: f64) {
        self.queueing_delay += sample_weight * (delay - self.queueing_delay);
    }

    /// Adjusts the limit after the response of a loaded function. `in_flight` counts the requests of all
    /// routers at the worker; `min_limit` comes from [`Throughput::min_limit`].
    pub fn adapt(&mut self, now: Micros, latency_objective: Micros, in_flight: f64, min_limit: f64) {
        if self.is_delayed() {
            self.decrease(now, latency_objective, in_flight, min_limit);
        } else if self.queueing_delay < LOW_DELAY && in_flight + GROWTH_HEADROOM >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }

    /// Decreases the limit, at most once per `interval`.
    pub fn decrease(&mut self, now: Micros, interval: Micros, in_flight: f64, min_limit: f64) {
        if now < self.next_decrease_at {
            return;
        }
        self.limit = (self.limit.min(in_flight + 1.0) * DECREASE_FACTOR).max(min_limit);
        self.next_decrease_at = now + interval;
        self.queueing_delay = self.queueing_delay.min(LOW_DELAY);
    }

    /// Restores a limit from before a restart, but never above that of a new worker.
    pub fn restore(&mut self, limit: f64, queueing_delay: f64, min_limit: f64) {
        self.limit = self.limit.min(limit.max(min_limit));
        self.queueing_delay = self.queueing_delay.max(queueing_delay);
    }
}
