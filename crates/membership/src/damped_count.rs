//! Damped count of live routers, from which shares are derived.
//!
//! More routers mean smaller shares of what all of them divide, so a rise counts at once. Fewer routers
//! mean larger shares, so a fall counts only after a while.
use applepond::interface::Micros;

/// Time in µs for which the view must have shown fewer routers before the lower count is taken.
const DECREASE_DELAY: Micros = 2_000_000;

/// Fraction of the routers below which a remaining count is distrusted: this router may be the one that is
/// cut off.
const MIN_TRUSTED_FRACTION: f64 = 0.5;

/// Time in µs for which a view that lost more than that is distrusted: a partition has healed or is known
/// to somebody by then.
const DISTRUST_DURATION: Micros = 30_000_000;

/// Number of live routers, damped against a view that shows too few of them.
pub struct DampedCount {
    /// The count that holds at present, never below one.
    reported: usize,
    /// Since when the view has shown fewer routers without interruption.
    fewer_since: Option<Micros>,
    distrusted: bool,
}

impl DampedCount {
    /// Starts with the count that the settings name.
    pub fn new(configured: usize) -> Self {
        DampedCount { reported: configured.max(1), fewer_since: None, distrusted: false }
    }

    /// Whether the view is taken for wrong at present.
    pub fn distrusts_view(&self) -> bool {
        self.distrusted
    }

    /// Number of routers among which shared limits are divided here: never less than `configured_max`, the
    /// most that the settings name.
    ///
    /// This guards against shares that are computed from a wrong view: only agreement could give the shares
    /// of lost routers to those that are left.
    pub fn share_count(&mut self, now: Micros, live: usize, configured_max: usize) -> usize {
        self.observe(now, live).max(configured_max)
    }

    /// Takes notice of the number of live routers in the view and returns the count that holds from now on,
    /// which is never below one.
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
