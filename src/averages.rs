//! Time constants and moving averages that several decisions share.
//!
//! All averages are exponential: a count loses its weight over [`AVERAGING_WINDOW`].

use crate::interface::Micros;

/// Microseconds in a second.
pub(crate) const MICROS_PER_SECOND: Micros = 1_000_000;
/// Time between two ticks, at which waiting requests and workers are checked: far below any latency
/// objective, far above the time of one batch of events.
pub(crate) const TICK_INTERVAL: Micros = 20_000;
/// Time in microseconds over which rates are measured, and after which a report has lost most of its weight.
pub(crate) const AVERAGING_WINDOW: f64 = 15_000_000.0;
/// Weight of a new sample in moving averages at least: about the last ten samples count.
pub(crate) const MIN_SAMPLE_WEIGHT: f64 = 0.15;
/// Factor on a [`FadingCount`] at each tick.
pub(crate) const FADE_PER_TICK: f64 = 1.0 - TICK_INTERVAL as f64 / AVERAGING_WINDOW;

/// What remains of the weight of an observation after `elapsed`, from 1 down to 0.
pub(crate) fn remaining_weight(elapsed: Micros) -> f64 {
    (-(elapsed as f64) / AVERAGING_WINDOW).exp()
}

/// The weight of a new sample `elapsed` after the one before it. Rare samples weigh more each, as the one
/// before is long past.
pub(crate) fn sample_weight(elapsed: Micros) -> f64 {
    let age = 1.0 - remaining_weight(elapsed);
    age.max(MIN_SAMPLE_WEIGHT)
}

/// A count of events that decays with time, as of its last event.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingCounter {
    count: f64,
    last_event_at: Micros,
}

impl DecayingCounter {
    /// A counter without events whose time begins at `now`.
    pub(crate) fn starting_at(now: Micros) -> Self {
        DecayingCounter { count: 0.0, last_event_at: now }
    }

    /// Counts an event.
    pub(crate) fn record(&mut self, now: Micros) {
        self.count = self.count * remaining_weight(now - self.last_event_at) + 1.0;
        self.last_event_at = now;
    }

    /// The count as of the last event.
    pub(crate) fn count(&self) -> f64 {
        self.count
    }

    /// When the last event was.
    pub(crate) fn last_event_at(&self) -> Micros {
        self.last_event_at
    }
}

/// A count that fades from tick to tick. The fading is computed on access, so that idle counts cost nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FadingCount {
    amount: f64,
    tick: u64,
}

impl FadingCount {
    /// The amount as of `tick`, which must not precede the tick of the last change.
    pub(crate) fn at(self, tick: u64) -> f64 {
        if self.amount == 0.0 { 0.0 } else { self.amount * FADE_PER_TICK.powi((tick - self.tick) as i32) }
    }

    /// The amount as of `tick`, to be changed.
    pub(crate) fn at_mut(&mut self, tick: u64) -> &mut f64 {
        *self = FadingCount { amount: self.at(tick), tick };
        &mut self.amount
    }
}
