//! How many routers the module is told of: what the view says, but slower where it says fewer. More routers
//! make smaller parts of what all share, so they count at once; fewer make larger ones.
use applepond::interface::Micros;

/// µs for which the view must have said fewer before they count.
const FEWER: Micros = 2_000_000;
/// Part of the routers that may be lost within a moment before the view is distrusted: is it they or I?
const MOST_LOST: f64 = 0.5;
/// µs for which a view that lost more is distrusted: cuts are mended or known to somebody by then.
const DISTRUST: Micros = 30_000_000;

pub struct Count {
    told: usize,
    /// Since when the view has said fewer, without a look that said otherwise.
    fewer: Option<Micros>,
    distrusted: bool,
}

impl Count {
    /// `told` routers are what the settings say.
    pub fn new(told: usize) -> Self {
        Count { told: told.max(1), fewer: None, distrusted: false }
    }

    /// Whether the view is held to be wrong at present.
    pub fn distrusts(&self) -> bool {
        self.distrusted
    }

    /// Among how many what all share is divided here: never among fewer than the settings name as the most.
    /// Guards against parts by a view that may be wrong; only agreement could give the rest to those left.
    pub fn parts(&mut self, now: Micros, live: usize, most: usize) -> usize {
        self.look(now, live).max(most)
    }

    /// Takes notice of the view; the count that holds from now on, never below one.
    pub fn look(&mut self, now: Micros, live: usize) -> usize {
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

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const S: Micros = 1_000_000;

    #[test_case(25, 25; "more")]
    #[test_case(6, 20; "most are gone, for a minute")]
    fn parts(live: usize, want: usize) {
        let mut count = Count::new(20);
        let all: Vec<usize> = (0..60).map(|s| count.parts(s * S, live, 20)).collect();
        assert!(all.iter().all(|parts| *parts == want), "{all:?}");
    }

    // Each look: second, live routers, count that holds.
    #[test_case(&[(0, 21, 21), (1, 25, 25)]; "more at once")]
    #[test_case(&[(0, 18, 20), (1, 18, 20), (2, 18, 18)]; "fewer after a while")]
    #[test_case(&[(0, 18, 20), (1, 20, 20), (2, 18, 20), (3, 18, 20), (4, 18, 18)]; "without a break")]
    #[test_case(&[(0, 9, 20), (29, 9, 20), (30, 9, 9)]; "most lost at once is distrusted")]
    #[test_case(&[(0, 10, 20), (2, 10, 10)]; "half is not most")]
    #[test_case(&[(0, 9, 20), (5, 12, 12)]; "some of them are back")]
    #[test_case(&[(0, 0, 20), (40, 0, 1)]; "never below one")]
    fn counts(looks: &[(Micros, usize, usize)]) {
        let mut count = Count::new(20);
        for (at, live, told) in looks {
            assert_eq!(count.look(at * S, *live), *told, "at {at} s");
        }
    }
}
