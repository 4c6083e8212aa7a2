//! Time constants and moving averages shared by several mechanisms.
//!
//! All averages decay exponentially with [`AVERAGING_WINDOW_MICROS`] as time constant.

use crate::interface::Micros;

pub(crate) const MICROS_PER_SECOND: Micros = 1_000_000;
/// Interval at which waiting requests and workers are checked: far below any latency objective, and far
/// above the time needed to handle one batch of events.
pub(crate) const TICK_INTERVAL: Micros = 20_000;
/// Time constant of rates and of reported values, in microseconds.
pub(crate) const AVERAGING_WINDOW_MICROS: f64 = 15_000_000.0;
/// Minimum weight of a new sample in a moving average, so that roughly the last ten samples count.
pub(crate) const MIN_SAMPLE_WEIGHT: f64 = 0.15;
/// Factor on a [`DecayingAmount`] per tick.
pub(crate) const DECAY_PER_TICK: f64 = 1.0 - TICK_INTERVAL as f64 / AVERAGING_WINDOW_MICROS;

/// Remaining weight of an observation after `elapsed`, from 1 down to 0.
pub(crate) fn remaining_weight(elapsed: Micros) -> f64 {
    (-(elapsed as f64) / AVERAGING_WINDOW_MICROS).exp()
}

/// Weight of a new sample taken `elapsed` after the previous one. It grows with the interval, because the
/// previous sample is then more out of date.
pub(crate) fn sample_weight(elapsed: Micros) -> f64 {
    let age = 1.0 - remaining_weight(elapsed);
    age.max(MIN_SAMPLE_WEIGHT)
}

/// An exponentially decaying count of events, as of the last event.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingCounter {
    count: f64,
    last_event_at: Micros,
}

impl DecayingCounter {
    /// An empty counter that starts at `now`.
    pub(crate) fn starting_at(now: Micros) -> Self {
        DecayingCounter { count: 0.0, last_event_at: now }
    }

    /// Records one event.
    pub(crate) fn record(&mut self, now: Micros) {
        self.count = self.count * remaining_weight(now - self.last_event_at) + 1.0;
        self.last_event_at = now;
    }

    /// The count as of the last event.
    pub(crate) fn count(&self) -> f64 {
        self.count
    }

    /// Time of the last event.
    pub(crate) fn last_event_at(&self) -> Micros {
        self.last_event_at
    }
}

/// An amount that decays with every tick. The decay is computed on access, so idle counts cost nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingAmount {
    amount: f64,
    tick: u64,
}

impl DecayingAmount {
    /// The amount at `tick`, which must not precede the tick of the last change.
    pub(crate) fn at(self, tick: u64) -> f64 {
        if self.amount == 0.0 { 0.0 } else { self.amount * DECAY_PER_TICK.powi((tick - self.tick) as i32) }
    }

    /// The amount at `tick`, for modification.
    pub(crate) fn at_mut(&mut self, tick: u64) -> &mut f64 {
        *self = DecayingAmount { amount: self.at(tick), tick };
        &mut self.amount
    }
}
