//! Sketches beside exact counts, panes that arrive twice, late or from a router that lies, and stable lists
//! of pins.
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

/// Ranks by 1 / rank to the power `s`.
struct Zipf(Vec<f64>);

impl Zipf {
    fn new(many: usize, s: f64) -> Self {
        let mut sum = 0.0;
        let all = (1..=many).map(|r| {
            sum += (r as f64).powf(-s);
            sum
        });
        Zipf(all.collect())
    }
    fn draw(&self, rng: &mut Rand64) -> u64 {
        let at = rng.rand_float() * self.0.last().expect("some");
        self.0.partition_point(|sum| *sum < at) as u64
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]
    // However it is split over routers and merged in whatever order: never too high, too low by the stated
    // error at most, and that is the total by one more than the counters at most.
    #[test]
    fn the_error_of_a_sketch_is_bounded(seed: u64, s in 0.8f64..1.4, routers in 1usize..30, crowd: bool) {
        let (mut rng, zipf) = (Rand64::new(u128::from(seed)), Zipf::new(2_000, s));
        let mut parts = vec![Sketch::default(); routers];
        let mut exact: BTreeMap<PrefixId, u64> = BTreeMap::new();
        for n in 0..6_000u64 {
            // A crowd comes for other openings each thousand uses.
            let shift = if crowd { n / 1_000 * 500 } else { 0 };
            let id = PrefixId((zipf.draw(&mut rng) + shift) % 2_000);
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
        if let Ok(told) = PaneCounter::read(1, &bytes) {
            prop_assert!(told.sketch.is_consistent());
        }
    }
}

#[test]
fn the_largest_sketch_fits_into_a_published_value() {
    let mut panes = PaneCounter::new(0);
    (0..SKETCH_COUNTERS as u64 * 2)
        .for_each(|n| (0..1 + n % 9).for_each(|_| panes.record_use(PrefixId(u64::MAX - n))));
    let told = panes.take_finished(PANE_DURATION).expect("over");
    let bytes = PaneCounter::write(&told);
    assert!(bytes.len() <= 900, "{} bytes", bytes.len());
    assert_eq!(PaneCounter::read(1, &bytes), Ok(told));
    (0..bytes.len()).for_each(|at| assert!(PaneCounter::read(1, &bytes[..at]).is_err(), "cut at {at}"));
}

fn pane(origin: u64, number: u64, uses: &[(u64, u64)]) -> (RouterId, PaneCounts) {
    let mut sketch = Sketch::default();
    uses.iter().for_each(|(id, n)| sketch.add(PrefixId(*id), *n));
    (RouterId(origin), PaneCounts { pane: number, sketch })
}

fn per_s(counted: &[PrefixUsage], id: u64) -> f64 {
    counted.iter().find(|c| c.id == PrefixId(id)).map_or(0.0, |c| c.per_s)
}

// Each origin's pane counts once, in whatever order and however often it was told.
#[test]
fn each_pane_counts_once() {
    let all =
        [pane(1, 1, &[(7, 50)]), pane(2, 1, &[(7, 50)]), pane(3, 4, &[(7, 50)]), pane(4, 2, &[(7, 50)])];
    let once = PaneCounter::fleet_usage(all.clone());
    let again = PaneCounter::fleet_usage(all.iter().rev().cloned().chain(all.iter().cloned()));
    assert_eq!(once, again);
    assert!((per_s(&once, 7) - 40.0).abs() < 1e-9, "{once:?}");
    // The fuller of two panes weighs no more for having come three times.
    let (full, bare) = (pane(1, 1, &[(7, 100)]), pane(1, 2, &[(8, 1)]));
    let rest = [2, 3, 4].map(|r| pane(r, 1, &[(7, 200)]));
    let of = |mine: &[(RouterId, PaneCounts)]| PaneCounter::fleet_usage(mine.iter().chain(&rest).cloned());
    assert_eq!(of(&[full.clone(), bare.clone()]), of(&[full.clone(), full.clone(), full, bare]));
    // Two panes of one origin are twice the time, not twice the rate.
    let more = PaneCounter::fleet_usage(all.into_iter().chain([pane(1, 2, &[(7, 50)])]));
    assert!((per_s(&more, 7) - 40.0).abs() < 1e-9);
}

// One router speaks for a quarter at most, whatever it says; alone it says nothing.
#[test_case(&[(1, 1_000_000)], 0.0; "alone")]
#[test_case(&[(1, 1_000_000), (2, 15), (3, 15)], 8.0; "beside two")]
#[test_case(&[(1, 1_000), (2, 2), (3, 3)], 0.0; "beside few")]
#[test_case(&[(1, 50), (2, 50), (3, 50), (4, 50)], 40.0; "four alike")]
fn the_part_of_one_router_is_bounded(uses: &[(u64, u64)], want: f64) {
    let counted = PaneCounter::fleet_usage(uses.iter().map(|(origin, n)| pane(*origin, 1, &[(7, *n)])));
    assert!((per_s(&counted, 7) - want).abs() < 1e-9, "{counted:?}");
}

#[test_case(&[(7, u64::MAX), (8, u64::MAX)]; "counts without end")]
fn sums_do_not_overflow(uses: &[(u64, u64)]) {
    let (_, told) = pane(1, 1, uses);
    let two = PaneCounter::fleet_usage([(RouterId(1), told.clone()), (RouterId(2), told)]);
    assert!(two.iter().all(|c| c.per_s.is_finite()));
}

#[test]
fn an_impossible_sketch_is_rejected() {
    // More counted than came in all: total 1, one counter of 5.
    let made_up = postcard::to_stdvec(&(BTreeMap::from([(PrefixId(7), 5u64)]), 1u64, 0u64)).expect("written");
    assert_eq!(PaneCounter::read(1, &made_up), Err(DecodeError::InvalidCounts));
    let error = postcard::to_stdvec(&(BTreeMap::from([(PrefixId(7), 5u64)]), 5u64, 5u64)).expect("written");
    assert_eq!(PaneCounter::read(1, &error), Err(DecodeError::InvalidCounts));
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

// The line in is where saving pays for the memory: here 10 uses a second; below half of it a pin goes, and
// not before its time.
#[test]
fn the_threshold_to_stay_is_lower_than_the_one_to_become_pinned() {
    let size = |_| Some(10);
    let mut pins = PinPlanner::new(0, COST_MODEL);
    let line = (1..400).map(|n| n as f64 / 10.0).find(|n| pins.value(*n, 10) > 0.0).expect("a line");
    let at = |uses: f64| counts(&[(7, uses)]);
    assert_eq!(pins.next_list(CHANGE_INTERVAL, &PinList::default(), &at(line * 0.9), size), None);
    let list = pins.next_list(CHANGE_INTERVAL, &PinList::default(), &at(line * 1.1), size).expect("worth it");
    assert_eq!(ids(&list), [7]);
    // It wanders about the line: nothing changes for a minute.
    for n in 1..12 {
        let uses = line * if n % 2 == 0 { 0.6 } else { 1.2 };
        assert_eq!(pins.next_list((n + 1) * CHANGE_INTERVAL, &list, &at(uses), size), None, "{n}");
    }
    assert_eq!(pins.next_list(14 * CHANGE_INTERVAL, &list, &at(line * 0.3), size), Some(PinList::default()));
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
        "it has just come"
    );
    let empty = pins.next_list(CHANGE_INTERVAL + 2 * MIN_TIME_PINNED, &list, &none, size).expect("it goes");
    assert_eq!(
        pins.next_list(2 * CHANGE_INTERVAL + 2 * MIN_TIME_PINNED, &empty, &much, size),
        None,
        "it has just gone"
    );
    assert!(
        pins.next_list(2 * CHANGE_INTERVAL + 2 * MIN_TIME_PINNED + MIN_TIME_UNPINNED, &empty, &much, size)
            .is_some()
    );
    // Who proposes anew takes all for just changed.
    let mut new = PinPlanner::new(100 * SECOND, COST_MODEL);
    assert_eq!(new.next_list(100 * SECOND + CHANGE_INTERVAL, &list, &none, size), None);
    assert!(new.next_list(101 * SECOND + CHANGE_INTERVAL + MIN_TIME_PINNED, &list, &none, size).is_some());
}

// At most so much memory, so many changes at a time, ties in one order; what has no size is never pinned.
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
    assert_eq!(ids(&list), (0..10).collect::<Vec<_>>(), "ten of 10 MB are 100 MB");
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

// What goes and what comes are two lists: no memory is promised twice while the first is still held
// somewhere.
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
    let mut shrunk = 0;
    for _ in 0..24 {
        at += CHANGE_INTERVAL;
        let Some(next) = pins.next_list(at, &list, &new, size) else { continue };
        let (was, is) = (ids(&list), ids(&next));
        let grows = is.iter().any(|id| !was.contains(id));
        let shrinks = was.iter().any(|id| !is.contains(id));
        assert!(!(grows && shrinks), "{was:?} to {is:?}");
        shrunk = if shrinks { at } else { shrunk };
        assert!(
            !grows || at >= shrunk + RELEASE_DELAY - CHANGE_INTERVAL,
            "leases on what went may still run"
        );
        list = next;
    }
    assert!(ids(&list).iter().all(|id| *id >= 20));
}

// What is asked for so often that each worker keeps it by itself is worth no pin, and neither is what is
// hardly asked.
#[test]
fn neither_rare_nor_constant_use_is_worth_a_pin() {
    let pins = PinPlanner::new(0, COST_MODEL);
    let worth: Vec<bool> = [0.1, 10.0, 100.0, 2_000.0].iter().map(|n| pins.value(*n, 10) > 0.0).collect();
    assert_eq!(worth, [false, true, true, false]);
}

// A pin rides on a request only while the list counts.
#[test_case(7, 5 * SECOND, 8 * SECOND, Some(LEASE_DURATION); "while the list counts")]
#[test_case(7, 8 * SECOND, 8 * SECOND, None; "the list is over")]
#[test_case(9, 5 * SECOND, 8 * SECOND, None; "it is not in it")]
fn a_lease_is_granted_while_the_list_is_valid(id: u64, now: u64, end: u64, want: Option<u64>) {
    let list = PinList { pins: vec![Pin { id: PrefixId(7), size: 1 }] };
    assert_eq!(list.lease_duration(now, end, PrefixId(id)), want);
}

#[test]
fn an_invalid_list_is_rejected() {
    let long = PinList { pins: vec![Pin { id: PrefixId(1), size: 1 }; MAX_PINS + 1] };
    assert_eq!(PinList::read(&long.write()), Err(DecodeError::InvalidList));
    assert_eq!(PinList::read(&[1, 2]), Err(DecodeError::InvalidList));
    assert_eq!(PinList::read(&[]), Ok(PinList::default()));
}
