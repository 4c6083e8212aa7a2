//! Counts and marks of bounded size, whatever number of clients there is: a count-min sketch with
//! conservative update (Cormode and Muthukrishnan, 2005; Estan and Varghese, 2002) that fades, and a Bloom
//! filter in two generations.
use crate::{Micros, mix};

/// Rows of a sketch: the chance that all of them overstate falls with each.
const ROWS: usize = 4;
/// Counters a row: with 100,000 clients of about one try each an estimate is over by one or two at most.
const WIDTH: usize = 16 * 1024;
/// Bits of one generation of marks: 1 % wrong at 200,000 marks.
const BITS: usize = 1 << 21;
/// Bits set for a mark.
const MARKS: u64 = 4;

/// Faded counts by id. Never understates what was added and has not faded.
pub struct Counts {
    cells: Vec<f32>,
    half_life: Micros,
    halved: Micros,
}

impl Counts {
    /// All counts halve once every `half_life` µs.
    pub fn new(now: Micros, half_life: Micros) -> Self {
        Counts { cells: vec![0.0; ROWS * WIDTH], half_life, halved: now }
    }

    fn cell(row: usize, id: u64) -> usize {
        row * WIDTH + mix(row as u64 + 1, id) as usize % WIDTH
    }

    fn fade(&mut self, now: Micros) {
        let halvings = now.saturating_sub(self.halved) / self.half_life;
        if halvings > 0 {
            let factor = 0.5f32.powi(halvings.min(40) as i32);
            self.cells.iter_mut().for_each(|c| *c *= factor);
            self.halved += halvings * self.half_life;
        }
    }

    pub fn of(&mut self, now: Micros, id: u64) -> f32 {
        self.fade(now);
        (0..ROWS).map(|row| self.cells[Self::cell(row, id)]).fold(f32::MAX, f32::min)
    }

    /// Adds one; the new count. Only cells below it are raised, so that others' counts are overstated less.
    pub fn add(&mut self, now: Micros, id: u64) -> f32 {
        let count = self.of(now, id) + 1.0;
        for row in 0..ROWS {
            let cell = &mut self.cells[Self::cell(row, id)];
            *cell = cell.max(count);
        }
        count
    }
}

/// Ids seen within the last one to two spans.
pub struct Marks {
    young: Vec<u64>,
    old: Vec<u64>,
    span: Micros,
    turned: Micros,
}

impl Marks {
    pub fn new(now: Micros, span: Micros) -> Self {
        Marks { young: vec![0; BITS / 64], old: vec![0; BITS / 64], span, turned: now }
    }

    /// Marks an id; whether it was marked before.
    pub fn mark(&mut self, now: Micros, id: u64) -> bool {
        let spans = now.saturating_sub(self.turned) / self.span;
        if spans > 0 {
            std::mem::swap(&mut self.young, &mut self.old);
            self.young.fill(0);
            if spans > 1 {
                self.old.fill(0);
            }
            self.turned += spans * self.span;
        }
        let (mut young, mut old) = (true, true);
        for n in 0..MARKS {
            let bit = mix(n + 11, id) as usize % BITS;
            let (word, bit) = (bit / 64, 1u64 << (bit % 64));
            young &= self.young[word] & bit != 0;
            old &= self.old[word] & bit != 0;
            self.young[word] |= bit;
        }
        young || old
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    const S: Micros = 1_000_000;

    proptest! {
        // Beside a plain map: never under, and over by little.
        #[test]
        fn counts_as_a_map(ids in prop::collection::vec(0u64..500, 1..2_000)) {
            let mut counts = Counts::new(0, 10 * S);
            let mut plain: BTreeMap<u64, f32> = BTreeMap::new();
            for id in &ids {
                counts.add(5, *id);
                *plain.entry(*id).or_default() += 1.0;
            }
            for (id, count) in plain {
                let got = counts.of(6, id);
                prop_assert!(got >= count && got <= count + 2.0);
            }
        }
    }

    #[test]
    fn a_hundred_thousand_clients_in_bounded_room() {
        let mut counts = Counts::new(0, 10 * S);
        (0..100_000u64).for_each(|id| _ = counts.add(1, id));
        (0..50).for_each(|_| _ = counts.add(1, 7));
        assert!(counts.of(2, 7) >= 51.0);
        let over = (100..1_100).filter(|id| counts.of(2, *id) > 6.0).count();
        assert!(over < 200, "{over} of 1000 quiet clients look busy");
        assert!(counts.of(10 * S, 7) <= 60.0 / 2.0, "it fades");
    }

    #[test]
    fn marks_are_kept_for_a_span_and_forgotten_after_two() {
        let mut marks = Marks::new(0, 10 * S);
        assert!(!marks.mark(0, 1) && marks.mark(1, 1));
        assert!(marks.mark(11 * S, 1), "a span later");
        assert!(!marks.mark(40 * S, 1), "long after");
        let wrong = (1_000..101_000).filter(|id| marks.mark(40 * S, *id)).count();
        assert!(wrong < 1_000, "{wrong} of 100000 new ones taken for known");
    }
}
