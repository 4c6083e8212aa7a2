//! Lessees and an allocator on a simulated network: the safety checks, the utilization of the total, new
//! settings and killed routers.
mod common;
use applepond_quota::{Budget, Guards, UNIT, max_min_fair_shares};
use common::*;
use test_case::test_case;

const ROUTERS: usize = 20;

/// The faults that are injected while demand moves.
#[derive(Clone, Copy, PartialEq)]
enum Faults {
    None,
    /// Messages are lost, delayed and duplicated, and lessees are paused.
    PausedLessees,
    /// In addition, allocators are paused and all routers consider each other dead.
    PausedAllocators,
}

/// Runs the simulation. Returns the first violation, if there is one.
fn run(seed: u64, guards: Guards, faults: Faults) -> Option<String> {
    let mut world = World::new(seed, ROUTERS).with_guards(guards);
    (world.demand_moves, world.all_suspected) = (true, faults == Faults::PausedAllocators);
    world.loss = if faults == Faults::None { 0.0 } else { 0.1 };
    for turn in 0..30 {
        world.advance(3 * S);
        let allocators = world.allocators();
        let stops = if faults == Faults::None { 0 } else { 4 };
        for _ in 0..stops {
            let n = world.rng.rand_range(0..ROUTERS as u64) as usize;
            if !allocators.contains(&n) {
                world.pause(n, S + world.now % (9 * S));
            }
        }
        if faults == Faults::PausedAllocators && turn % 3 == 0 {
            allocators.into_iter().for_each(|n| world.pause(n, 8 * S));
        }
    }
    world.violation
}

#[test_case(Faults::None)]
#[test_case(Faults::PausedLessees)]
#[test_case(Faults::PausedAllocators)]
fn with_all_guards_the_sum_holds(faults: Faults) {
    assert!((0..5).all(|seed| run(seed, Guards::ALL, faults).is_none()));
}

// With any one of the checks disabled, these faults cause a violation.
#[test_case(Guards { shrinks_before_raise: false, ..Guards::ALL }, Faults::None; "raise before shrink")]
#[test_case(Guards { lease_from_request: false, ..Guards::ALL }, Faults::PausedLessees; "lease from receipt")]
#[test_case(Guards { checks_at_spend: false, ..Guards::ALL }, Faults::PausedLessees; "spends after lease")]
#[test_case(Guards { moves_no_tokens: false, ..Guards::ALL }, Faults::None; "tokens made at a move")]
#[test_case(Guards { single_allocator: false, ..Guards::ALL }, Faults::PausedAllocators; "two allocate")]
fn each_missing_guard_is_found(guards: Guards, faults: Faults) {
    let first = (0..10).find_map(|seed| run(seed, guards, faults));
    println!("{first:?}");
    assert!(first.is_some());
}

// Demand exceeds the total and one router has ten times the mean. Within 5 s after that demand has moved to
// another router, nearly all of the total is used.
#[test]
fn nearly_all_of_the_total_is_used() {
    let mut world = World::new(1, ROUTERS);
    let demand = |hot: usize| (0..ROUTERS).map(|n| if n == hot { 760.0 } else { 40.0 }).collect();
    for hot in [7, 3, 11] {
        world.demand = demand(hot);
        world.advance(if hot == 7 { 20 } else { 4 } * S);
        let before = world.spent;
        world.advance(S);
        let used = (world.spent - before) as f64 / (TOTAL / UNIT) as f64;
        assert!(used >= 0.95, "{used}");
    }
}

// A router that always states an excessive need gets no more than an equal share.
#[test]
fn a_router_that_exaggerates_gets_an_even_share() {
    let mut world = World::new(1, ROUTERS);
    world.demand = (0..ROUTERS).map(|n| if n == 7 { 1e5 } else { 60.0 }).collect();
    world.advance(20 * S);
    let share = |n: usize| world.all[n].service.lessee.share(world.clock(n), 0);
    assert!(share(7) <= TOTAL / ROUTERS as u64 + UNIT, "{}", share(7) / UNIT);
    assert!((0..ROUTERS).all(|n| share(n) >= TOTAL / ROUTERS as u64 * 95 / 100));
}

// Ten of twenty routers are killed at once, though not the allocator. The others get their leased shares
// within 10 s, and so do the ten after their restart.
#[test]
fn the_shares_of_killed_routers_are_divided_again() {
    let mut world = World::new(2, ROUTERS);
    world.time_until_shared(95, 20 * S).expect("the total is shared");
    (10..ROUTERS).for_each(|n| world.kill(n));
    let floors = TOTAL / 5 / 2;
    let took = world.time_until_shared(94 - floors * 100 / TOTAL, 10 * S);
    assert!(took.is_some(), "all but the floors of the killed routers is shared: {}", world.sum() / UNIT);
    (10..ROUTERS).for_each(|n| world.start(n));
    assert!(world.time_until_shared(95, 10 * S).is_some());
}

// A halved total takes effect on each router that has the new settings, then on all, and is fully used.
#[test]
fn a_shrinking_total_shrinks_everywhere() {
    let mut world = World::new(4, ROUTERS);
    world.time_until_shared(95, 20 * S).expect("the total is shared");
    let half = Budget { total: TOTAL / 2, ..budget(ROUTERS) };
    let reconfigure = |world: &mut World, n: usize| {
        let now = world.clock(n);
        world.all[n].service.reconfigure(now, &[half], ROUTERS as u64);
    };
    reconfigure(&mut world, 5);
    world.advance(5 * S);
    // A router with other settings gets only its floor, and the allocator reports it.
    let share = world.all[5].service.lessee.share(world.clock(5), 0);
    assert_eq!(share, half.floor);
    let allocator = world.allocators()[0];
    assert_eq!(world.all[allocator].service.mismatched_router(world.clock(allocator)), Some(router(5)));
    (0..REPLICAS - 1).for_each(|n| reconfigure(&mut world, n));
    world.advance(10 * S);
    assert!(
        world.sum() <= half.total,
        "a majority of the replicas has the new total, the other routers have floors only"
    );
    (0..ROUTERS).for_each(|n| reconfigure(&mut world, n));
    world.advance(15 * S);
    let sum = world.sum();
    assert!(sum <= half.total && sum >= half.total * 95 / 100, "{}", sum / UNIT);
}

// If only the allocator has settings with twice the total, it grants nothing, since no replica votes for it.
#[test]
fn a_total_known_to_the_allocator_alone_grants_nothing() {
    let mut world = World::new(4, ROUTERS);
    world.time_until_shared(95, 20 * S).expect("the total is shared");
    let (n, double) = (world.allocators()[0], Budget { total: 2 * TOTAL, ..budget(ROUTERS) });
    let now = world.clock(n);
    world.all[n].service.reconfigure(now, &[double], ROUTERS as u64);
    world.advance(10 * S);
}

proptest::proptest! {
    // The sum is the smaller of total and needs, and a share below its need is as large as any other share.
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
