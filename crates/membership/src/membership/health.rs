//! Health penalties in the sense of Lifeguard: signs that a process is slow lengthen timeouts for a while.
use crate::config::{HEALTH_PENALTY_DURATION, HEALTH_PENALTY_FACTOR, MAX_HEALTH_PENALTIES};
use applepond::interface::Micros;

/// Recent signs that one process is slow.
#[derive(Clone, Copy, Default)]
pub(super) struct HealthPenalties {
    /// Signs in a row, each within [`HEALTH_PENALTY_DURATION`] of the one before.
    count: u32,
    last_at: Micros,
}

impl HealthPenalties {
    /// Takes notice of a further sign.
    pub(super) fn record(&mut self, now: Micros) {
        self.count = (self.current(now) + 1).min(MAX_HEALTH_PENALTIES);
        self.last_at = now;
    }

    /// Factor by which the signs lengthen a timeout.
    pub(super) fn timeout_factor(&self, now: Micros) -> f64 {
        1.0 + HEALTH_PENALTY_FACTOR * f64::from(self.current(now))
    }

    fn current(&self, now: Micros) -> u32 {
        if now < self.last_at + HEALTH_PENALTY_DURATION { self.count } else { 0 }
    }
}
