//! Load limiter: bounds the number of function loads that this router has in progress.
//!
//! Guards against starting more loads than the model store and the workers can sustain, where each further
//! load delays the others. The limit follows additive increase and multiplicative decrease.

use crate::averages::MICROS_PER_SECOND;
use crate::interface::{FunctionId, Micros, WorkerId};
use std::collections::BTreeSet;

/// Load time assumed if none is configured or measured: half of the design's two-second hedge delay.
pub(super) const DEFAULT_LOAD_TIME: Micros = MICROS_PER_SECOND;
/// Initial limit on concurrent loads.
const INITIAL_LIMIT: f64 = 12.0;
/// Minimum limit on concurrent loads.
const MIN_LIMIT: f64 = 3.0;
/// Maximum limit on concurrent loads: more than a router ever needs.
const MAX_LIMIT: f64 = 64.0;
/// Increase of the limit per load that finishes in time.
const INCREASE: f64 = 0.5;
/// Factor on the limit when loads become slow or fail; three decreases leave a third.
const DECREASE_FACTOR: f64 = 0.7;
/// Minimum time between two decreases, so that loads that fail together count once.
const DECREASE_INTERVAL: Micros = DEFAULT_LOAD_TIME / 2;
/// Multiple of the usual load time above which a load is slow.
const SLOW_LOAD_FACTOR: f64 = 2.5;
/// Mean number of loads in progress or queued per worker above which the store and the workers are
/// congested.
const CONGESTED_LOADS: f64 = 1.5;
/// Weight of a new report in the mean number of loads per worker.
const REPORT_WEIGHT: f64 = 0.05;

/// The loads this router has in progress, and the limit on their number.
pub struct LoadLimiter {
    in_progress: BTreeSet<(FunctionId, WorkerId)>,
    limit: f64,
    next_decrease_at: Micros,
    /// Moving average of the loads in progress or queued per worker, as reported by responses.
    reported_loads: f64,
}

impl LoadLimiter {
    /// A limiter with no load in progress.
    pub fn new(now: Micros) -> Self {
        LoadLimiter {
            in_progress: BTreeSet::new(),
            limit: INITIAL_LIMIT,
            next_decrease_at: now,
            reported_loads: 0.0,
        }
    }

    /// Whether another load may start.
    pub fn allows_another(&self) -> bool {
        (self.in_progress.len() as f64) < self.limit
    }

    /// Whether recent reports show that loads are congested.
    pub fn is_congested(&self) -> bool {
        self.reported_loads > CONGESTED_LOADS
    }

    /// Records that a load has started.
    pub fn begin(&mut self, function: FunctionId, worker: WorkerId) {
        self.in_progress.insert((function, worker));
    }

    /// Records that a load has ended or is no longer waited for.
    pub fn end(&mut self, function: FunctionId, worker: WorkerId) {
        self.in_progress.remove(&(function, worker));
    }

    /// Records that no load at this worker is waited for any longer.
    pub fn end_all_at(&mut self, worker: WorkerId) {
        self.in_progress.retain(|(_, at)| *at != worker);
    }

    /// Whether a load of the function is in progress at the worker.
    pub fn is_loading(&self, function: FunctionId, worker: WorkerId) -> bool {
        self.in_progress.contains(&(function, worker))
    }

    /// The workers at which the function is being loaded.
    pub fn workers_loading(&self, function: FunctionId) -> impl Iterator<Item = WorkerId> + '_ {
        let all_workers = (function, WorkerId(0))..=(function, WorkerId(u64::MAX));
        self.in_progress.range(all_workers).map(|(_, worker)| *worker)
    }

    /// All loads in progress.
    pub fn in_progress(&self) -> impl Iterator<Item = (FunctionId, WorkerId)> + '_ {
        self.in_progress.iter().copied()
    }

    /// Records a worker's report of its loads. A result without a report, including a timeout, counts as
    /// zero loads.
    pub fn record_report(&mut self, loads: Option<f64>) {
        self.reported_loads += REPORT_WEIGHT * (loads.unwrap_or(0.0) - self.reported_loads);
    }

    /// Records the duration of a load against the function's usual one. Returns whether it was in time.
    pub fn record_finished(&mut self, now: Micros, took: Micros, usual: Micros) -> bool {
        if took as f64 > usual as f64 * SLOW_LOAD_FACTOR {
            self.record_slow(now);
            return false;
        }
        self.limit = (self.limit + INCREASE).min(MAX_LIMIT);
        true
    }

    /// Records a slow or failed load.
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
