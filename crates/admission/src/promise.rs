//! Times to come back that were told, by the request they were told for, and whether they are kept.
//!
//! A table of bounded size, one place an id: two ids that share a place drop the older promise, and whoever
//! comes without one is taken to keep it. An error is thus in a client's favour.
use crate::{Micros, mix};

/// Places: at 5,000 promises open at a time one in seven is dropped, none is told wrong.
const PLACES: usize = 1 << 15;
/// µs that a client may come early: times travel in whole ms.
const EARLY: Micros = 10_000;
/// µs past the promised time for which coming back still counts as following it; later, it is only a request
/// seen before.
const LATE: Micros = 5_000_000;

/// How a request that is seen again stands to what it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// Nothing is known to have been told.
    Untold,
    /// It came when it was told to.
    Followed,
    /// It came before its time.
    Early,
}

#[derive(Clone, Copy, Default)]
struct Place {
    id: u64,
    until: Micros,
}

pub struct Promises(Vec<Place>);

impl Default for Promises {
    fn default() -> Self {
        Promises(vec![Place::default(); PLACES])
    }
}

impl Promises {
    fn place(id: u64) -> usize {
        mix(29, id) as usize % PLACES
    }

    /// The request `id` was told to come back at `until`.
    pub fn told(&mut self, id: u64, until: Micros) {
        self.0[Self::place(id)] = Place { id, until };
    }

    /// The request is here again. A promise that was kept is done with; one that was not stands until the
    /// next.
    pub fn came(&mut self, now: Micros, id: u64) -> Kept {
        let place = &mut self.0[Self::place(id)];
        if place.id != id || place.until == 0 {
            return Kept::Untold;
        }
        if now + EARLY < place.until {
            return Kept::Early;
        }
        let followed = now <= place.until + LATE;
        *place = Place::default();
        if followed { Kept::Followed } else { Kept::Untold }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const S: Micros = 1_000_000;

    #[test_case(2 * S, Kept::Early; "well before")]
    #[test_case(3 * S - 9_000, Kept::Followed; "early by what rounding takes")]
    #[test_case(3 * S, Kept::Followed; "on time")]
    #[test_case(8 * S, Kept::Followed; "a little late")]
    #[test_case(8 * S + 1, Kept::Untold; "long after")]
    fn told_to_come_at_three(now: Micros, want: Kept) {
        let mut promises = Promises::default();
        promises.told(7, 3 * S);
        assert_eq!(promises.came(now, 8), Kept::Untold, "another job");
        assert_eq!(promises.came(now, 7), want);
    }

    #[test]
    fn a_kept_promise_is_done_with_and_a_broken_one_is_not() {
        let mut promises = Promises::default();
        promises.told(7, 3 * S);
        assert_eq!(promises.came(S, 7), Kept::Early);
        assert_eq!(promises.came(2 * S, 7), Kept::Early);
        assert_eq!(promises.came(3 * S, 7), Kept::Followed);
        assert_eq!(promises.came(3 * S, 7), Kept::Untold);
    }

    // Whatever number of requests there is: nobody is called early who was not told.
    #[test]
    fn a_full_table_errs_in_the_clients_favour() {
        let mut promises = Promises::default();
        (1..=200_000).for_each(|id| promises.told(id, 9 * S));
        assert!((200_001..=400_000).all(|id| promises.came(S, id) == Kept::Untold));
        let known = (1..=200_000).filter(|id| promises.came(S, *id) == Kept::Early).count();
        assert!((1..=PLACES).contains(&known), "{known}");
    }
}
