//! Adaptive limit on admissions: how much may be admitted while more is wanted than there is capacity for.
//!
//! The limit rises by steps while next to nothing of what was admitted is rejected downstream, and falls
//! while much of it is.
use crate::Micros;

/// Interval between two steps in µs: about the time until a rejection downstream is known.
const STEP_INTERVAL: Micros = 500_000;

/// Factor of a step up.
const STEP_UP: f64 = 1.2;

/// Factor of a step down.
const STEP_DOWN: f64 = 0.85;

/// Rejections, as a fraction of completions, up to which the limit may rise.
const LOW_REJECTION_RATIO: f64 = 0.05;

/// Rejections, as a fraction of completions, from which on the limit falls.
const HIGH_REJECTION_RATIO: f64 = 0.15;

/// The limit at most, as a multiple of the completion rate: it would grow without end where nobody uses it.
const MAX_OVER_COMPLETIONS: f64 = 2.0;

/// Steps after which the last limit is obsolete.
const MAX_AGE_STEPS: Micros = 6;

/// Results of admitted work since the last step.
#[derive(Clone, Copy, Default)]
struct Results {
    completed: f64,
    rejected: f64,
}

/// The adaptive limit.
#[derive(Default)]
pub struct AdaptiveLimit {
    /// Admissions a second.
    limit: f64,
    stepped_at: Micros,
    /// Somebody was not admitted since the last step up.
    is_saturated: bool,
    results: Results,
}

impl AdaptiveLimit {
    /// Whether the limit was used lately.
    pub fn in_use(&self, now: Micros) -> bool {
        self.stepped_at + MAX_AGE_STEPS * STEP_INTERVAL >= now
    }

    /// Admissions a second as of the last call of [`allowed`](Room::allowed).
    pub fn current(&self) -> f64 {
        self.limit
    }

    /// Admissions a second that are allowed now, where `completions` a second complete. The limit begins at
    /// `begin` times that and never falls below `least` times that.
    pub fn allowed(&mut self, now: Micros, completions: f64, begin: f64, least: f64) -> f64 {
        if !self.in_use(now) {
            self.limit = completions * begin;
            self.stepped_at = now;
            self.results = Results::default();
        }
        if self.stepped_at + STEP_INTERVAL <= now {
            self.stepped_at = now;
            self.step();
            self.limit = self.limit.min(MAX_OVER_COMPLETIONS * completions);
        }
        self.limit = self.limit.max(completions * least);
        self.limit
    }

    fn step(&mut self) {
        let Results { completed, rejected } = std::mem::take(&mut self.results);
        if rejected > HIGH_REJECTION_RATIO * completed {
            self.limit *= STEP_DOWN;
        } else if rejected <= LOW_REJECTION_RATIO * completed && std::mem::take(&mut self.is_saturated) {
            self.limit *= STEP_UP;
        }
    }

    /// Somebody was not admitted.
    pub fn record_unmet_demand(&mut self) {
        self.is_saturated = true;
    }

    /// Something that was admitted has ended: it completed, or was rejected downstream.
    pub fn record_result(&mut self, completed: bool, rejected: bool) {
        self.results.completed += f64::from(u8::from(completed));
        self.results.rejected += f64::from(u8::from(rejected));
    }
}
