//! Lessees and an allocator on a simulated network: what each guard is for, how the total is used, and what
//! new settings and deaths do.
mod common;
use applepond_quota::{Budget, Guards, UNIT, max_min_fair_shares};
use common::*;
use test_case::test_case;

const ROUTERS: usize = 20;

/// What goes wrong while demand moves.
#[derive(Clone, Copy, PartialEq)]
enum Faults {
    None,
    /// Messages are lost, late and repeated; lessees are paused.
    PausedLessees,
    /// The same, allocators are paused too, and views are wrong.
    PausedAllocators,
}

/// What was broken first, if anything.
fn play(seed: u64, guards: Guards, faults: Faults) -> Option<String> {
    let mut world = World::new(seed, ROUTERS).without(guards);
    (world.moves, world.deluded) = (true, faults == Faults::PausedAllocators);
    world.lost = if faults == Faults::None { 0.0 } else { 0.1 };
    for turn in 0..30 {
        world.pass(3 * S);
        let allocators = world.allocators();
        let stops = if faults == Faults::None { 0 } else { 4 };
        for _ in 0..stops {
            let n = world.rng.rand_range(0..ROUTERS as u64) as usize;
            if !allocators.contains(&n) {
                world.stop(n, S + world.now % (9 * S));
            }
        }
        if faults == Faults::PausedAllocators && turn % 3 == 0 {
            allocators.into_iter().for_each(|n| world.stop(n, 8 * S));
        }
    }
    world.broken
}

#[test_case(Faults::None)]
#[test_case(Faults::PausedLessees)]
#[test_case(Faults::PausedAllocators)]
fn with_all_guards_the_sum_holds(faults: Faults) {
    assert!((0..5).all(|seed| play(seed, Guards::ALL, faults).is_none()));
}

// Each guard taken out is found by the same faults.
#[test_case(Guards { shrinks_before_raise: false, ..Guards::ALL }, Faults::None; "raise before shrink")]
#[test_case(Guards { lease_from_request: false, ..Guards::ALL }, Faults::PausedLessees; "lease from receipt")]
#[test_case(Guards { checks_at_spend: false, ..Guards::ALL }, Faults::PausedLessees; "spends after lease")]
#[test_case(Guards { moves_no_tokens: false, ..Guards::ALL }, Faults::None; "tokens made at a move")]
#[test_case(Guards { single_allocator: false, ..Guards::ALL }, Faults::PausedAllocators; "two allocate")]
fn each_missing_guard_is_found(guards: Guards, faults: Faults) {
    let first = (0..10).find_map(|seed| play(seed, guards, faults));
    println!("{first:?}");
    assert!(first.is_some());
}

// Demand above the total, one with ten times the mean: nearly all is used 5 s after it has moved to another.
#[test]
fn nearly_all_of_the_total_is_used() {
    let mut world = World::new(1, ROUTERS);
    let demand = |hot: usize| (0..ROUTERS).map(|n| if n == hot { 760.0 } else { 40.0 }).collect();
    for hot in [7, 3, 11] {
        world.wants = demand(hot);
        world.pass(if hot == 7 { 20 } else { 4 } * S);
        let before = world.spent;
        world.pass(S);
        let used = (world.spent - before) as f64 / (TOTAL / UNIT) as f64;
        assert!(used >= 0.95, "{used}");
    }
}

// One that asks for everything all the time gets no more than an equal part of what the others leave.
#[test]
fn a_router_that_exaggerates_gets_an_even_share() {
    let mut world = World::new(1, ROUTERS);
    world.wants = (0..ROUTERS).map(|n| if n == 7 { 1e5 } else { 60.0 }).collect();
    world.pass(20 * S);
    let share = |n: usize| world.all[n].service.lessee.share(world.clock(n), 0);
    assert!(share(7) <= TOTAL / ROUTERS as u64 + UNIT, "{}", share(7) / UNIT);
    assert!((0..ROUTERS).all(|n| share(n) >= TOTAL / ROUTERS as u64 * 95 / 100));
}

// Ten of twenty killed at once, the allocator not among them: the rest has the total within 10 s, and the ten
// come back to their floors and more.
#[test]
fn the_shares_of_killed_routers_are_divided_again() {
    let mut world = World::new(2, ROUTERS);
    world.until(95, 20 * S).expect("divided");
    (10..ROUTERS).for_each(|n| world.kill(n));
    let floors = TOTAL / 5 / 2;
    let took = world.until(94 - floors * 100 / TOTAL, 10 * S);
    assert!(took.is_some(), "the floors of the dead are nobody's: {}", world.sum() / UNIT);
    (10..ROUTERS).for_each(|n| world.start(n));
    assert!(world.until(95, 10 * S).is_some());
}

// A total that is halved shrinks where a router is told, then everywhere, and is used as a half.
#[test]
fn a_shrinking_total_shrinks_everywhere() {
    let mut world = World::new(4, ROUTERS);
    world.until(95, 20 * S).expect("divided");
    let half = Budget { total: TOTAL / 2, ..budget(ROUTERS) };
    let reconfigure = |world: &mut World, n: usize| {
        let now = world.clock(n);
        world.all[n].service.reconfigure(now, &[half], ROUTERS as u64);
    };
    reconfigure(&mut world, 5);
    world.pass(5 * S);
    // Who has other settings has its floor, and is named; an allocator by them finds no votes.
    let share = world.all[5].service.lessee.share(world.clock(5), 0);
    assert_eq!(share, half.floor);
    let allocator = world.allocators()[0];
    assert_eq!(world.all[allocator].service.mismatched_router(world.clock(allocator)), Some(name(5)));
    (0..REPLICAS - 1).for_each(|n| reconfigure(&mut world, n));
    world.pass(10 * S);
    assert!(world.sum() <= half.total, "most replicas have the half, the others their floors");
    (0..ROUTERS).for_each(|n| reconfigure(&mut world, n));
    world.pass(15 * S);
    let sum = world.sum();
    assert!(sum <= half.total && sum >= half.total * 95 / 100, "{}", sum / UNIT);
}

// The allocator alone is told of a total twice as large: it gives nothing by that, as no replica votes for
// it.
#[test]
fn a_total_known_to_the_allocator_alone_grants_nothing() {
    let mut world = World::new(4, ROUTERS);
    world.until(95, 20 * S).expect("divided");
    let (n, double) = (world.allocators()[0], Budget { total: 2 * TOTAL, ..budget(ROUTERS) });
    let now = world.clock(n);
    world.all[n].service.reconfigure(now, &[double], ROUTERS as u64);
    world.pass(10 * S);
}

proptest::proptest! {
    // Never above the total; all of it where more is needed; who gets less than it needs gets as much as any.
    #[test]
    fn shares_are_max_min_fair(
        total in 0u64..1_000_000,
        needs in proptest::collection::vec(0u64..100_000, 1..40),
    ) {
        let shares = max_min_fair_shares(total, &needs);
        let sum: u64 = shares.iter().sum();
        let most = shares.iter().max().copied().unwrap_or(0);
        assert_eq!(sum, total.min(needs.iter().sum()));
        for (share, need) in shares.iter().zip(&needs) {
            assert!(share == need || share + 1 >= most, "{shares:?} of {needs:?}");
            assert!(share <= need);
        }
    }
}
