//! Sketches compared with exact counts, duplicate panes and panes of a lying router, and stability of the
//! list of pins.
use applepond_membership::RouterId;
use applepond_prefix_cache::{
    CHANGE_INTERVAL, CostModel, DecodeError, LEASE_DURATION, MAX_CHANGES, MAX_PINS, MIN_TIME_PINNED,
    MIN_TIME_UNPINNED, PANE_DURATION, PaneCounter, PaneCounts, Pin, PinList, PinPlanner, PrefixId,
    PrefixUsage, RELEASE_DELAY, SKETCH_COUNTERS, Sketch,
};
use oorandom::Rand64;
use proptest::prelude::*;
use std::collections::BTreeMap;
use test_case::test_case;

const SECOND: u64 = 1_000_000;

/// Samples ranks from a Zipf distribution with exponent `s`, by cumulative weights.
struct ZipfSampler(Vec<f64>);

impl ZipfSampler {
    fn new(count: usize, s: f64) -> Self {
        let mut sum = 0.0;
        let sums = (1..=count).map(|rank| {
            sum += (rank as f64).powf(-s);
            sum
        });
        ZipfSampler(sums.collect())
    }
    fn sample(&self, rng: &mut Rand64) -> u64 {
        let weight = rng.rand_float() * self.0.last().expect("at least one rank");
        self.0.partition_point(|sum| *sum < weight) as u64
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]
    // However the uses are split over routers, and in whatever order the sketches are merged, no count is too
    // high, none is too low by more than the stated error, and the error is at most the total divided by one
    // more than the number of counters.
    #[test]
    fn the_error_of_a_sketch_is_bounded(seed: u64, s in 0.8f64..1.4, routers in 1usize..30, shifting: bool) {
        let (mut rng, zipf) = (Rand64::new(u128::from(seed)), ZipfSampler::new(2_000, s));
        let mut parts = vec![Sketch::default(); routers];
        let mut exact: BTreeMap<PrefixId, u64> = BTreeMap::new();
        for n in 0..6_000u64 {
            // With `shifting`, the popular prefixes change after every 1,000 uses.
            let shift = if shifting { n / 1_000 * 500 } else { 0 };
            let id = PrefixId((zipf.sample(&mut rng) + shift) % 2_000);
            *exact.entry(id).or_default() += 1;
            parts[rng.rand_range(0..routers as u64) as usize].add(id, 1);
        }
        let mut merged = Sketch::default();
        while !parts.is_empty() {
            let n = rng.rand_range(0..parts.len() as u64) as usize;
            merged.merge(&parts.swap_remove(n));
        }
        prop_assert!(merged.is_consistent());
        prop_assert_eq!(merged.total(), 6_000);
        prop_assert!(merged.error() <= 6_000 / (SKETCH_COUNTERS as u64 + 1));
        for (id, count) in exact {
            prop_assert!(merged.count(id) <= count && merged.count(id) + merged.error() >= count);
        }
    }

    #[test]
    fn published_counts_are_checked(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(finished) = PaneCounter::read(1, &bytes) {
            prop_assert!(finished.sketch.is_consistent());
        }
    }
}

#[test]
fn the_largest_sketch_fits_into_a_published_value() {
    let mut panes = PaneCounter::new(0);
    (0..SKETCH_COUNTERS as u64 * 2)
        .for_each(|n| (0..1 + n % 9).for_each(|_| panes.record_use(PrefixId(u64::MAX - n))));
    let finished = panes.take_finished(PANE_DURATION).expect("the pane has ended");
    let bytes = PaneCounter::write(&finished);
    assert!(bytes.len() <= 900, "{} bytes", bytes.len());
    assert_eq!(PaneCounter::read(1, &bytes), Ok(finished));
    (0..bytes.len()).for_each(|at| assert!(PaneCounter::read(1, &bytes[..at]).is_err(), "truncated at {at}"));
}

fn pane(origin: u64, number: u64, uses: &[(u64, u64)]) -> (RouterId, PaneCounts) {
    let mut sketch = Sketch::default();
    uses.iter().for_each(|(id, n)| sketch.add(PrefixId(*id), *n));
    (RouterId(origin), PaneCounts { pane: number, sketch })
}

fn per_s(counted: &[PrefixUsage], id: u64) -> f64 {
    counted.iter().find(|c| c.id == PrefixId(id)).map_or(0.0, |c| c.per_s)
}

// Guards against a pane that is counted twice because it was received several times or out of order.
#[test]
fn each_pane_counts_once() {
    let all =
        [pane(1, 1, &[(7, 50)]), pane(2, 1, &[(7, 50)]), pane(3, 4, &[(7, 50)]), pane(4, 2, &[(7, 50)])];
    let usage = PaneCounter::fleet_usage(all.clone());
    let usage_of_duplicates = PaneCounter::fleet_usage(all.iter().rev().cloned().chain(all.iter().cloned()));
    assert_eq!(usage, usage_of_duplicates);
    assert!((per_s(&usage, 7) - 40.0).abs() < 1e-9, "{usage:?}");
    // Receiving the fuller of two panes three times does not increase its weight.
    let (full, sparse) = (pane(1, 1, &[(7, 100)]), pane(1, 2, &[(8, 1)]));
    let others = [2, 3, 4].map(|r| pane(r, 1, &[(7, 200)]));
    let usage_with =
        |mine: &[(RouterId, PaneCounts)]| PaneCounter::fleet_usage(mine.iter().chain(&others).cloned());
    assert_eq!(
        usage_with(&[full.clone(), sparse.clone()]),
        usage_with(&[full.clone(), full.clone(), full, sparse])
    );
    // Two panes of one origin cover twice the time, which does not double the rate.
    let with_second_pane = PaneCounter::fleet_usage(all.into_iter().chain([pane(1, 2, &[(7, 50)])]));
    assert!((per_s(&with_second_pane, 7) - 40.0).abs() < 1e-9);
}

// Guards against a lying router: it contributes at most a quarter of the total, and nothing without enough
// uses at other routers.
#[test_case(&[(1, 1_000_000)], 0.0; "one router alone")]
#[test_case(&[(1, 1_000_000), (2, 15), (3, 15)], 8.0; "one high rate and two normal ones")]
#[test_case(&[(1, 1_000), (2, 2), (3, 3)], 0.0; "too few uses at other routers")]
#[test_case(&[(1, 50), (2, 50), (3, 50), (4, 50)], 40.0; "four equal rates")]
fn the_part_of_one_router_is_bounded(uses: &[(u64, u64)], expected: f64) {
    let counted = PaneCounter::fleet_usage(uses.iter().map(|(origin, n)| pane(*origin, 1, &[(7, *n)])));
    assert!((per_s(&counted, 7) - expected).abs() < 1e-9, "{counted:?}");
}

#[test_case(&[(7, u64::MAX), (8, u64::MAX)]; "maximum counts")]
fn sums_do_not_overflow(uses: &[(u64, u64)]) {
    let (_, finished) = pane(1, 1, uses);
    let usage = PaneCounter::fleet_usage([(RouterId(1), finished.clone()), (RouterId(2), finished)]);
    assert!(usage.iter().all(|c| c.per_s.is_finite()));
}

#[test]
fn an_impossible_sketch_is_rejected() {
    // The counters exceed the total: total 1, one counter of 5.
    let inconsistent =
        postcard::to_stdvec(&(BTreeMap::from([(PrefixId(7), 5u64)]), 1u64, 0u64)).expect("encoding succeeds");
    assert_eq!(PaneCounter::read(1, &inconsistent), Err(DecodeError::InvalidCounts));
    // The error exceeds its bound.
    let excessive_error =
        postcard::to_stdvec(&(BTreeMap::from([(PrefixId(7), 5u64)]), 5u64, 5u64)).expect("encoding succeeds");
    assert_eq!(PaneCounter::read(1, &excessive_error), Err(DecodeError::InvalidCounts));
}

const COST_MODEL: CostModel = CostModel {
    prepare_time: 1_000.0,
    bytes_per_unit: 1e6,
    workers: 10.0,
    price_per_byte: 0.0002,
    memory_limit: 100e6,
    retention: 1e5,
};

fn counts(uses: &[(u64, f64)]) -> Vec<PrefixUsage> {
    uses.iter()
        .map(|(id, per_s)| PrefixUsage { id: PrefixId(*id), per_s: *per_s, max_error: 0.0, routers: 4 })
        .collect()
}

fn ids(list: &PinList) -> Vec<u64> {
    list.pins.iter().map(|p| p.id.0).collect()
}

// Guards against pins that flap: a prefix is pinned from the rate at which its savings exceed the price of
// its memory, and unpinned only below half of that rate.
#[test]
fn the_threshold_to_stay_is_lower_than_the_one_to_become_pinned() {
    let size = |_| Some(10);
    let mut pins = PinPlanner::new(0, COST_MODEL);
    let threshold =
        (1..400).map(|n| n as f64 / 10.0).find(|n| pins.value(*n, 10) > 0.0).expect("a threshold");
    let at = |uses: f64| counts(&[(7, uses)]);
    assert_eq!(pins.next_list(CHANGE_INTERVAL, &PinList::default(), &at(threshold * 0.9), size), None);
    let list =
        pins.next_list(CHANGE_INTERVAL, &PinList::default(), &at(threshold * 1.1), size).expect("worth it");
    assert_eq!(ids(&list), [7]);
    // The rate varies around the threshold: nothing changes for a minute.
    for n in 1..12 {
        let uses = threshold * if n % 2 == 0 { 0.6 } else { 1.2 };
        assert_eq!(pins.next_list((n + 1) * CHANGE_INTERVAL, &list, &at(uses), size), None, "{n}");
    }
    assert_eq!(
        pins.next_list(14 * CHANGE_INTERVAL, &list, &at(threshold * 0.3), size),
        Some(PinList::default())
    );
}

#[test]
fn pins_stay_and_stay_away_for_a_minimum_time() {
    let size = |_| Some(10);
    let mut pins = PinPlanner::new(0, COST_MODEL);
    let (much, none) = (counts(&[(7, 100.0)]), counts(&[(7, 0.0)]));
    let list = pins.next_list(CHANGE_INTERVAL, &PinList::default(), &much, size).expect("worth it");
    assert_eq!(
        pins.next_list(CHANGE_INTERVAL + MIN_TIME_PINNED / 2, &list, &none, size),
        None,
        "it was just pinned"
    );
    let empty = pins
        .next_list(CHANGE_INTERVAL + 2 * MIN_TIME_PINNED, &list, &none, size)
        .expect("the pin is removed");
    assert_eq!(
        pins.next_list(2 * CHANGE_INTERVAL + 2 * MIN_TIME_PINNED, &empty, &much, size),
        None,
        "it was just unpinned"
    );
    assert!(
        pins.next_list(2 * CHANGE_INTERVAL + 2 * MIN_TIME_PINNED + MIN_TIME_UNPINNED, &empty, &much, size)
            .is_some()
    );
    // A new planner treats all prefixes as just changed.
    let mut new = PinPlanner::new(100 * SECOND, COST_MODEL);
    assert_eq!(new.next_list(100 * SECOND + CHANGE_INTERVAL, &list, &none, size), None);
    assert!(new.next_list(101 * SECOND + CHANGE_INTERVAL + MIN_TIME_PINNED, &list, &none, size).is_some());
}

// Limits on memory, on changes at a time and on pins hold, ties are broken by id, and a prefix of unknown
// size is never pinned.
#[test]
fn memory_changes_and_pins_are_bounded() {
    let many = counts(&(0..60).map(|id| (id, 100.0)).collect::<Vec<_>>());
    let mut pins = PinPlanner::new(0, COST_MODEL);
    let list = pins.next_list(CHANGE_INTERVAL, &PinList::default(), &many, |_| Some(10)).expect("worth it");
    assert_eq!(ids(&list), (0..MAX_CHANGES as u64).collect::<Vec<_>>());
    let mut list = list;
    for n in 2..20 {
        list = pins.next_list(n * CHANGE_INTERVAL, &list, &many, |_| Some(10)).unwrap_or(list);
    }
    assert_eq!(ids(&list), (0..10).collect::<Vec<_>>(), "ten pins of 10 MB use all of 100 MB");
    let mut pins = PinPlanner::new(0, COST_MODEL);
    assert_eq!(pins.next_list(CHANGE_INTERVAL, &PinList::default(), &many, |_| None), None);
    let mut pins = PinPlanner::new(0, CostModel { memory_limit: 1e12, ..COST_MODEL });
    let mut list = PinList::default();
    for n in 1..40 {
        list = pins.next_list(n * CHANGE_INTERVAL, &list, &many, |_| Some(10)).unwrap_or(list);
    }
    assert_eq!(list.pins.len(), MAX_PINS);
    assert!(list.write().len() <= 700, "{} bytes", list.write().len());
    assert_eq!(PinList::read(&list.write()), Ok(list));
}

// Guards against memory that is promised twice: removals and additions are separate lists, and the memory of
// a removed pin counts as used until leases on it have expired.
#[test]
fn memory_of_removed_pins_counts_until_their_leases_end() {
    let size = |_| Some(10);
    let mut pins = PinPlanner::new(0, COST_MODEL);
    let old = counts(&(0..10).map(|id| (id, 100.0)).collect::<Vec<_>>());
    let mut list = PinList::default();
    for n in 1..4 {
        list = pins.next_list(n * CHANGE_INTERVAL, &list, &old, size).unwrap_or(list);
    }
    let new = counts(&(20..30).map(|id| (id, 100.0)).collect::<Vec<_>>());
    let mut at = 4 * CHANGE_INTERVAL + MIN_TIME_PINNED;
    let mut last_removal = 0;
    for _ in 0..24 {
        at += CHANGE_INTERVAL;
        let Some(next) = pins.next_list(at, &list, &new, size) else { continue };
        let (before, after) = (ids(&list), ids(&next));
        let grows = after.iter().any(|id| !before.contains(id));
        let shrinks = before.iter().any(|id| !after.contains(id));
        assert!(!(grows && shrinks), "{before:?} to {after:?}");
        last_removal = if shrinks { at } else { last_removal };
        assert!(
            !grows || at >= last_removal + RELEASE_DELAY - CHANGE_INTERVAL,
            "leases on removed pins may still be valid"
        );
        list = next;
    }
    assert!(ids(&list).iter().all(|id| *id >= 20));
}

// A prefix that is used so often that workers keep it anyway is not worth a pin, nor is one that is rarely
// used.
#[test]
fn neither_rare_nor_constant_use_is_worth_a_pin() {
    let pins = PinPlanner::new(0, COST_MODEL);
    let worth: Vec<bool> = [0.1, 10.0, 100.0, 2_000.0].iter().map(|n| pins.value(*n, 10) > 0.0).collect();
    assert_eq!(worth, [false, true, true, false]);
}

// Guards against leases granted by a list that has expired.
#[test_case(7, 5 * SECOND, 8 * SECOND, Some(LEASE_DURATION); "the list is valid")]
#[test_case(7, 8 * SECOND, 8 * SECOND, None; "the list has expired")]
#[test_case(9, 5 * SECOND, 8 * SECOND, None; "the prefix is not in the list")]
fn a_lease_is_granted_while_the_list_is_valid(id: u64, now: u64, valid_until: u64, expected: Option<u64>) {
    let list = PinList { pins: vec![Pin { id: PrefixId(7), size: 1 }] };
    assert_eq!(list.lease_duration(now, valid_until, PrefixId(id)), expected);
}

#[test]
fn an_invalid_list_is_rejected() {
    let long = PinList { pins: vec![Pin { id: PrefixId(1), size: 1 }; MAX_PINS + 1] };
    assert_eq!(PinList::read(&long.write()), Err(DecodeError::InvalidList));
    assert_eq!(PinList::read(&[1, 2]), Err(DecodeError::InvalidList));
    assert_eq!(PinList::read(&[]), Ok(PinList::default()));
}
