//! Load limiter: a bound on the loads of functions that this router has in progress.
//!
//! Guards against a fleet that orders more loads than the model store and the workers bear: each further one
//! makes the others late. The bound moves by additive increase and multiplicative decrease.

use crate::averages::MICROS_PER_SECOND;
use crate::interface::{FunctionId, Micros, WorkerId};
use std::collections::BTreeSet;

/// Time assumed for a load where none is configured or measured: the design's hedge delay of two seconds is
/// twice this.
pub(super) const DEFAULT_LOAD_TIME: Micros = MICROS_PER_SECOND;
/// Loads in progress at once to begin with.
const INITIAL_LIMIT: f64 = 12.0;
/// Loads in progress at once at least.
const MIN_LIMIT: f64 = 3.0;
/// Loads in progress at once at most: beyond what a router ever needs.
const MAX_LIMIT: f64 = 64.0;
/// What a load that finishes in time adds to the limit.
const INCREASE: f64 = 0.5;
/// Factor on the limit when loads turn slow or fail: three steps leave a third.
const DECREASE_FACTOR: f64 = 0.7;
/// Time between two decreases at least, so that loads that fail together count once.
const DECREASE_INTERVAL: Micros = DEFAULT_LOAD_TIME / 2;
/// Multiple of the usual load time from which on a load is slow.
const SLOW_LOAD_FACTOR: f64 = 2.5;
/// Loads in progress or queued a worker, on average, from which on the store and the workers are congested.
const CONGESTED_LOADS: f64 = 1.5;
/// Weight of a new report in the average of loads a worker.
const REPORT_WEIGHT: f64 = 0.05;

/// The loads that this router has in progress, and how many it may have.
pub struct LoadLimiter {
    in_progress: BTreeSet<(FunctionId, WorkerId)>,
    limit: f64,
    next_decrease_at: Micros,
    /// Average of the loads in progress or queued a worker, as responses report them.
    reported_loads: f64,
}

impl LoadLimiter {
    /// A limiter without loads.
    pub fn new(now: Micros) -> Self {
        LoadLimiter {
            in_progress: BTreeSet::new(),
            limit: INITIAL_LIMIT,
            next_decrease_at: now,
            reported_loads: 0.0,
        }
    }

    /// Whether one more load may begin.
    pub fn allows_another(&self) -> bool {
        (self.in_progress.len() as f64) < self.limit
    }

    /// Whether the average over recent results says that loads are congested.
    pub fn is_congested(&self) -> bool {
        self.reported_loads > CONGESTED_LOADS
    }

    /// Notes that this router waits for a load.
    pub fn begin(&mut self, function: FunctionId, worker: WorkerId) {
        self.in_progress.insert((function, worker));
    }

    /// Notes that a load has ended or is no longer waited for.
    pub fn end(&mut self, function: FunctionId, worker: WorkerId) {
        self.in_progress.remove(&(function, worker));
    }

    /// Notes that no load at this worker is waited for any more.
    pub fn end_all_at(&mut self, worker: WorkerId) {
        self.in_progress.retain(|(_, at)| *at != worker);
    }

    /// Whether a load of the function at the worker is in progress.
    pub fn is_loading(&self, function: FunctionId, worker: WorkerId) -> bool {
        self.in_progress.contains(&(function, worker))
    }

    /// The workers at which loads of the function are in progress.
    pub fn workers_loading(&self, function: FunctionId) -> impl Iterator<Item = WorkerId> + '_ {
        let all_workers = (function, WorkerId(0))..=(function, WorkerId(u64::MAX));
        self.in_progress.range(all_workers).map(|(_, worker)| *worker)
    }

    /// All loads in progress.
    pub fn in_progress(&self) -> impl Iterator<Item = (FunctionId, WorkerId)> + '_ {
        self.in_progress.iter().copied()
    }

    /// Takes over a worker's report of its loads; a result without a report, timeouts included, counts as no
    /// load.
    pub fn record_report(&mut self, loads: Option<f64>) {
        self.reported_loads += REPORT_WEIGHT * (loads.unwrap_or(0.0) - self.reported_loads);
    }

    /// Takes over how long a load took, beside what is usual for the function. Returns whether it was in
    /// time.
    pub fn record_finished(&mut self, now: Micros, took: Micros, usual: Micros) -> bool {
        if took as f64 > usual as f64 * SLOW_LOAD_FACTOR {
            self.record_slow(now);
            return false;
        }
        self.limit = (self.limit + INCREASE).min(MAX_LIMIT);
        true
    }

    /// Takes over that a load was slow or failed.
    pub fn record_slow(&mut self, now: Micros) {
        if now >= self.next_decrease_at {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
            self.next_decrease_at = now + DECREASE_INTERVAL;
        }
    }

    /// The current limit.
    pub fn limit(&self) -> f64 {
        self.limit
    }
}
