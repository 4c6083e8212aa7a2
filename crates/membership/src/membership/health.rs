//! Health penalties as in Lifeguard: recent signs that a process is slow lengthen timeouts.
use crate::config::{HEALTH_PENALTY_DURATION, HEALTH_PENALTY_FACTOR, MAX_HEALTH_PENALTIES};
use applepond::interface::Micros;

/// Counts recent signs that one process is slow.
#[derive(Clone, Copy, Default)]
pub(super) struct HealthPenalties {
    /// Number of consecutive signs, each within [`HEALTH_PENALTY_DURATION`] of the previous one.
    count: u32,
    last_at: Micros,
}

impl HealthPenalties {
    /// Records another sign.
    pub(super) fn record(&mut self, now: Micros) {
        self.count = (self.current(now) + 1).min(MAX_HEALTH_PENALTIES);
        self.last_at = now;
    }

    /// Factor by which the penalties lengthen a timeout.
    pub(super) fn timeout_factor(&self, now: Micros) -> f64 {
        1.0 + HEALTH_PENALTY_FACTOR * f64::from(self.current(now))
    }

    fn current(&self, now: Micros) -> u32 {
        if now < self.last_at + HEALTH_PENALTY_DURATION { self.count } else { 0 }
    }
}
