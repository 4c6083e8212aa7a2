//! Adaptive limit on the rate of admissions while demand exceeds capacity.
//!
//! The limit is raised in steps while hardly any admitted work is rejected downstream, and lowered while
//! much of it is.
use crate::Micros;

/// Interval between two steps, in µs: about the time until a downstream rejection is known.
const STEP_INTERVAL_US: Micros = 500_000;

const INCREASE_FACTOR: f64 = 1.2;

const DECREASE_FACTOR: f64 = 0.85;

/// Rejections, as a fraction of completions, up to which the limit may be raised.
const LOW_REJECTION_RATIO: f64 = 0.05;

/// Rejections, as a fraction of completions, above which the limit is lowered.
const HIGH_REJECTION_RATIO: f64 = 0.15;

/// Upper bound of the limit as a multiple of the completion rate: an unused limit would grow without bound.
const MAX_OVER_COMPLETIONS: f64 = 2.0;

/// Number of step intervals after which an unused limit is obsolete.
const MAX_AGE_STEPS: Micros = 6;

/// Results of admitted work since the last step.
#[derive(Clone, Copy, Default)]
struct Results {
    completed: f64,
    rejected: f64,
}

/// Adaptive limit on admissions per second.
#[derive(Default)]
pub struct AdaptiveLimit {
    /// Admissions per second.
    limit: f64,
    stepped_at: Micros,
    /// Whether demand has exceeded the limit since it was last raised.
    is_saturated: bool,
    results: Results,
}

impl AdaptiveLimit {
    /// Whether the limit was used recently.
    pub fn in_use(&self, now: Micros) -> bool {
        self.stepped_at + MAX_AGE_STEPS * STEP_INTERVAL_US >= now
    }

    /// Admissions per second as of the last call of [`allowed`](AdaptiveLimit::allowed).
    pub fn current(&self) -> f64 {
        self.limit
    }

    /// Admissions per second that are allowed now, given the completions per second. The limit starts at
    /// `initial` times the completions and never falls below `min` times the completions.
    pub fn allowed(&mut self, now: Micros, completions: f64, initial: f64, min: f64) -> f64 {
        if !self.in_use(now) {
            self.limit = completions * initial;
            self.stepped_at = now;
            self.results = Results::default();
        }
        if self.stepped_at + STEP_INTERVAL_US <= now {
            self.stepped_at = now;
            self.step();
            self.limit = self.limit.min(MAX_OVER_COMPLETIONS * completions);
        }
        self.limit = self.limit.max(completions * min);
        self.limit
    }

    fn step(&mut self) {
        let Results { completed, rejected } = std::mem::take(&mut self.results);
        if rejected > HIGH_REJECTION_RATIO * completed {
            self.limit *= DECREASE_FACTOR;
        } else if rejected <= LOW_REJECTION_RATIO * completed && std::mem::take(&mut self.is_saturated) {
            self.limit *= INCREASE_FACTOR;
        }
    }

    /// Records that something was not admitted.
    pub fn record_unmet_demand(&mut self) {
        self.is_saturated = true;
    }

    /// Records the end of admitted work: it completed, or was rejected downstream.
    pub fn record_result(&mut self, completed: bool, rejected: bool) {
        self.results.completed += f64::from(u8::from(completed));
        self.results.rejected += f64::from(u8::from(rejected));
    }
}
