//! Holders and a divider on the paper network: what each guard is for, how the whole is used, and what new
//! settings and deaths do.
mod common;
use applepond_quota::*;
use common::*;
use test_case::test_case;

const ROUTERS: usize = 20;

/// What goes wrong while demand moves.
#[derive(Clone, Copy, PartialEq)]
enum Trouble {
    Nothing,
    /// Messages are lost, late and repeated; holders stand still.
    Holders,
    /// The same, dividers stand still too, and views are wrong.
    Dividers,
}

/// What was broken first, if anything.
fn play(seed: u64, guards: Guards, trouble: Trouble) -> Option<String> {
    let mut world = World::new(seed, ROUTERS).without(guards);
    (world.moves, world.deluded) = (true, trouble == Trouble::Dividers);
    world.lost = if trouble == Trouble::Nothing { 0.0 } else { 0.1 };
    for turn in 0..30 {
        world.pass(3 * S);
        let dividers = world.dividers();
        let stops = if trouble == Trouble::Nothing { 0 } else { 4 };
        for _ in 0..stops {
            let n = world.rng.rand_range(0..ROUTERS as u64) as usize;
            if !dividers.contains(&n) {
                world.stop(n, S + world.now % (9 * S));
            }
        }
        if trouble == Trouble::Dividers && turn % 3 == 0 {
            dividers.into_iter().for_each(|n| world.stop(n, 8 * S));
        }
    }
    world.broken
}

#[test_case(Trouble::Nothing)]
#[test_case(Trouble::Holders)]
#[test_case(Trouble::Dividers)]
fn all_guards(trouble: Trouble) {
    assert!((0..5).all(|seed| play(seed, Guards::ALL, trouble).is_none()));
}

// Each guard taken out is found by the same faults.
#[test_case(Guards { shrinks_first: false, ..Guards::ALL }, Trouble::Nothing; "raise before shrink")]
#[test_case(Guards { from_the_ask: false, ..Guards::ALL }, Trouble::Holders; "lease from the receipt")]
#[test_case(Guards { looks_when_spent: false, ..Guards::ALL }, Trouble::Holders; "spends after the lease")]
#[test_case(Guards { mints_nothing: false, ..Guards::ALL }, Trouble::Nothing; "mints at a move")]
#[test_case(Guards { one_divides: false, ..Guards::ALL }, Trouble::Dividers; "two divide")]
fn a_guard_taken_out(guards: Guards, trouble: Trouble) {
    let first = (0..10).find_map(|seed| play(seed, guards, trouble));
    println!("{first:?}");
    assert!(first.is_some());
}

// Demand above the whole, one with ten times the mean: nearly all is used 5 s after it has moved to another.
#[test]
fn all_of_it_is_used() {
    let mut world = World::new(1, ROUTERS);
    let demand = |hot: usize| (0..ROUTERS).map(|n| if n == hot { 760.0 } else { 40.0 }).collect();
    for hot in [7, 3, 11] {
        world.wants = demand(hot);
        world.pass(if hot == 7 { 20 } else { 4 } * S);
        let before = world.spent;
        world.pass(S);
        let used = (world.spent - before) as f64 / (WHOLE / UNIT) as f64;
        assert!(used >= 0.95, "{used}");
    }
}

// One that asks for everything all the time gets no more than an equal part of what the others leave.
#[test]
fn one_that_exaggerates() {
    let mut world = World::new(1, ROUTERS);
    world.wants = (0..ROUTERS).map(|n| if n == 7 { 1e5 } else { 60.0 }).collect();
    world.pass(20 * S);
    let part = |n: usize| world.all[n].office.holder.part(world.clock(n), 0);
    assert!(part(7) <= WHOLE / ROUTERS as u64 + UNIT, "{}", part(7) / UNIT);
    assert!((0..ROUTERS).all(|n| part(n) >= WHOLE / ROUTERS as u64 * 95 / 100));
}

// Ten of twenty killed at once, the divider not among them: the rest has the whole within 10 s, and the ten
// come back to their floors and more.
#[test]
fn ten_killed_at_once() {
    let mut world = World::new(2, ROUTERS);
    world.until(95, 20 * S).expect("divided");
    (10..ROUTERS).for_each(|n| world.kill(n));
    let floors = WHOLE / 5 / 2;
    let took = world.until(94 - floors * 100 / WHOLE, 10 * S);
    assert!(took.is_some(), "the floors of the dead are nobody's: {}", world.sum() / UNIT);
    (10..ROUTERS).for_each(|n| world.start(n));
    assert!(world.until(95, 10 * S).is_some());
}

// A whole that is halved shrinks where a router is told, then everywhere, and is used as a half.
#[test]
fn a_whole_that_shrinks() {
    let mut world = World::new(4, ROUTERS);
    world.until(95, 20 * S).expect("divided");
    let half = Row { whole: WHOLE / 2, ..row(ROUTERS) };
    let switch = |world: &mut World, n: usize| {
        let now = world.clock(n);
        world.all[n].office.switch(now, &[half], ROUTERS as u64);
    };
    switch(&mut world, 5);
    world.pass(5 * S);
    // Who has other settings has its floor, and is named; a divider by them finds no votes.
    let part = world.all[5].office.holder.part(world.clock(5), 0);
    assert_eq!(part, half.floor);
    let divider = world.dividers()[0];
    assert_eq!(world.all[divider].office.differs(world.clock(divider)), Some(name(5)));
    (0..KEEPERS - 1).for_each(|n| switch(&mut world, n));
    world.pass(10 * S);
    assert!(world.sum() <= half.whole, "most keepers have the half, the others their floors");
    (0..ROUTERS).for_each(|n| switch(&mut world, n));
    world.pass(15 * S);
    let sum = world.sum();
    assert!(sum <= half.whole && sum >= half.whole * 95 / 100, "{}", sum / UNIT);
}

// The divider alone is told of a whole twice as large: it gives nothing by that, as no keeper votes for it.
#[test]
fn a_whole_that_only_the_divider_knows() {
    let mut world = World::new(4, ROUTERS);
    world.until(95, 20 * S).expect("divided");
    let (n, double) = (world.dividers()[0], Row { whole: 2 * WHOLE, ..row(ROUTERS) });
    let now = world.clock(n);
    world.all[n].office.switch(now, &[double], ROUTERS as u64);
    world.pass(10 * S);
}

proptest::proptest! {
    // Never above the total; all of it where more is needed; who gets less than it needs gets as much as any.
    #[test]
    fn fair_parts(total in 0u64..1_000_000, needs in proptest::collection::vec(0u64..100_000, 1..40)) {
        let parts = fair(total, &needs);
        let sum: u64 = parts.iter().sum();
        let most = parts.iter().max().copied().unwrap_or(0);
        assert_eq!(sum, total.min(needs.iter().sum()));
        for (part, need) in parts.iter().zip(&needs) {
            assert!(part == need || part + 1 >= most, "{parts:?} of {needs:?}");
            assert!(part <= need);
        }
    }
}
