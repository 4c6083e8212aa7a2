//! Damped count of live routers, from which each router's share of a fleet-wide limit is computed.
//!
//! A higher count makes shares smaller and is applied at once. A lower count makes shares larger and is
//! applied only after a delay.
use applepond::interface::Micros;

/// Time in µs for which the view must show fewer routers before the lower count is applied.
const DECREASE_DELAY: Micros = 2_000_000;

/// Fraction of the reported count below which a new count is distrusted: this router may be the one that is
/// cut off.
const MIN_TRUSTED_FRACTION: f64 = 0.5;

/// Time in µs for which such a count is distrusted. By then a partition has healed or an operator knows of
/// it.
const DISTRUST_DURATION: Micros = 30_000_000;

/// Number of live routers, damped against a view that shows too few of them.
pub struct DampedCount {
    /// The count in effect, at least one.
    reported: usize,
    /// Since when the view has continuously shown fewer routers.
    fewer_since: Option<Micros>,
    distrusted: bool,
}

impl DampedCount {
    /// Starts with the number of routers in the settings.
    pub fn new(configured: usize) -> Self {
        DampedCount { reported: configured.max(1), fewer_since: None, distrusted: false }
    }

    /// Whether the view is currently considered wrong.
    pub fn distrusts_view(&self) -> bool {
        self.distrusted
    }

    /// Number of routers among which shared limits are divided. It is never less than `configured_max`, the
    /// highest number of routers that the settings allow for.
    ///
    /// Guards against shares computed from a wrong view: without agreement, the shares of lost routers cannot
    /// safely be given to the remaining ones.
    pub fn share_count(&mut self, now: Micros, live: usize, configured_max: usize) -> usize {
        self.observe(now, live).max(configured_max)
    }

    /// Updates the count from the number of live routers in the view and returns the count in effect, which
    /// is at least one.
    pub fn observe(&mut self, now: Micros, live: usize) -> usize {
        let live = live.max(1);
        if live >= self.reported {
            return self.accept(live);
        }
        let since = *self.fewer_since.get_or_insert(now);
        self.distrusted = (live as f64) < self.reported as f64 * MIN_TRUSTED_FRACTION;
        let delay = if self.distrusted { DISTRUST_DURATION } else { DECREASE_DELAY };
        if now >= since + delay {
            return self.accept(live);
        }
        self.reported
    }

    fn accept(&mut self, live: usize) -> usize {
        self.reported = live;
        self.fewer_since = None;
        self.distrusted = false;
        live
    }
}
