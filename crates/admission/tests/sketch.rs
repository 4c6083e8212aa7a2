//! The sketches compared with exact collections.
use applepond_admission::Micros;
use applepond_admission::sketch::{DecayingCounts, SeenFilter};
use proptest::prelude::*;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;

proptest! {
    // Compared with an exact map: never too low, and at most 2 too high.
    #[test]
    fn estimates_are_close_to_exact_counts(ids in prop::collection::vec(0u64..500, 1..2_000)) {
        let mut counts = DecayingCounts::new(0, 10 * SECOND);
        let mut exact: BTreeMap<u64, f32> = BTreeMap::new();
        for id in &ids {
            counts.add(5, *id);
            *exact.entry(*id).or_default() += 1.0;
        }
        for (id, count) in exact {
            let got = counts.estimate(6, id);
            prop_assert!(got >= count && got <= count + 2.0);
        }
    }
}

#[test]
fn a_hundred_thousand_clients_are_distinguished() {
    let mut counts = DecayingCounts::new(0, 10 * SECOND);
    (0..100_000u64).for_each(|id| _ = counts.add(1, id));
    (0..50).for_each(|_| _ = counts.add(1, 7));
    assert!(counts.estimate(2, 7) >= 51.0);
    let over = (100..1_100).filter(|id| counts.estimate(2, *id) > 6.0).count();
    assert!(over < 200, "{over} of 1000 quiet clients look busy");
    assert!(counts.estimate(10 * SECOND, 7) <= 60.0 / 2.0, "it decays");
}

#[test]
fn ids_are_remembered_for_a_span_and_forgotten_after_two() {
    let mut seen = SeenFilter::new(0, 10 * SECOND);
    assert!(!seen.insert(0, 1) && seen.insert(1, 1));
    assert!(seen.insert(11 * SECOND, 1), "a span later");
    assert!(!seen.insert(40 * SECOND, 1), "long after");
    let false_positives = (1_000..101_000).filter(|id| seen.insert(40 * SECOND, *id)).count();
    assert!(false_positives < 1_000, "{false_positives} false positives of 100000");
}
