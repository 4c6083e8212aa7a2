//! How many routers the module is told of: what the view says, but slower where it says fewer. More routers
//! make smaller parts of what all share, so they count at once; fewer make larger ones.
use applepond::interface::Micros;

/// µs for which the view must have said fewer before they count.
const FEWER: Micros = 2_000_000;
/// Part of the routers that may be lost within a moment before the view is distrusted: is it they or I?
const MOST_LOST: f64 = 0.5;
/// µs for which a view that lost more is distrusted: cuts are mended or known to somebody by then.
const DISTRUST: Micros = 30_000_000;

pub struct DampedCount {
    told: usize,
    /// Since when the view has said fewer, without a look that said otherwise.
    fewer: Option<Micros>,
    distrusted: bool,
}

impl DampedCount {
    /// `told` routers are what the settings say.
    pub fn new(told: usize) -> Self {
        DampedCount { told: told.max(1), fewer: None, distrusted: false }
    }

    /// Whether the view is held to be wrong at present.
    pub fn distrusts_view(&self) -> bool {
        self.distrusted
    }

    /// Among how many what all share is divided here: never among fewer than the settings name as the most.
    /// Guards against parts by a view that may be wrong; only agreement could give the rest to those left.
    pub fn share_count(&mut self, now: Micros, live: usize, most: usize) -> usize {
        self.observe(now, live).max(most)
    }

    /// Takes notice of the view; the count that holds from now on, never below one.
    pub fn observe(&mut self, now: Micros, live: usize) -> usize {
        let live = live.max(1);
        if live >= self.told {
            (self.told, self.fewer, self.distrusted) = (live, None, false);
            return live;
        }
        let since = *self.fewer.get_or_insert(now);
        self.distrusted = (live as f64) < self.told as f64 * MOST_LOST;
        if now >= since + if self.distrusted { DISTRUST } else { FEWER } {
            (self.told, self.fewer, self.distrusted) = (live, None, false);
        }
        self.told
    }
}
