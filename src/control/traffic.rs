//! Request rates observed by this router.

use crate::averages::{AVERAGING_WINDOW_MICROS, DecayingCounter, remaining_weight};
use crate::interface::Micros;

/// Minimum share of the averaging window that counts as observed. Without it, a few requests right after
/// the start would look like a high rate.
const MIN_OBSERVED_WEIGHT: f64 = 0.07;

/// Decaying counts of this router's arrivals and completions.
pub(super) struct Traffic {
    started_at: Micros,
    arrivals: DecayingCounter,
    completions: DecayingCounter,
}

impl Traffic {
    pub(super) fn starting_at(now: Micros) -> Self {
        let counter = DecayingCounter::starting_at(now);
        Traffic { started_at: now, arrivals: counter, completions: counter }
    }

    pub(super) fn record_arrival(&mut self, now: Micros) {
        self.arrivals.record(now);
    }

    pub(super) fn record_completion(&mut self, now: Micros) {
        self.completions.record(now);
    }

    /// Decayed count of arrivals.
    pub(super) fn arrivals(&self) -> f64 {
        self.arrivals.count()
    }

    /// Decayed count of finished attempts.
    pub(super) fn completions(&self) -> f64 {
        self.completions.count()
    }

    /// Converts a decayed count to events per microsecond, correcting for a router that has not yet
    /// observed a whole averaging window.
    pub(super) fn rate(&self, now: Micros, decayed_count: f64) -> f64 {
        let observed = 1.0 - remaining_weight(now - self.started_at);
        decayed_count / AVERAGING_WINDOW_MICROS / observed.max(MIN_OBSERVED_WEIGHT)
    }
}
