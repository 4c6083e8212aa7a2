//! Twenty offices with three keepers among them on a paper network: who divides is agreed on while links are
//! cut, processes stand still, die and come back. One seed, one run.
mod common;
use applepond_membership::InstanceId;
use applepond_quota::message::{Written, read};
use applepond_quota::*;
use common::*;
use test_case::test_case;

const ROUTERS: usize = 20;

// From the start one divides, and after its death another, within the time of leases and of taking notice.
#[test]
fn one_divides_after_another() {
    let mut world = World::new(1, ROUTERS);
    let first = world.until(95, 15 * S).expect("the whole is divided");
    let dividers = world.dividers();
    assert_eq!(dividers.len(), 1, "{dividers:?}");
    world.kill(dividers[0]);
    world.pass(3 * S);
    assert!(world.sum() <= WHOLE / 5, "all have fallen to their floors");
    let again = world.until(90, 15 * S).expect("another one divides");
    println!("divided after {first} us, anew after {} us", 3 * S + again);
    world.start(dividers[0]);
    world.pass(10 * S);
    assert_eq!(world.dividers().len(), 1);
}

// A minority of the keepers, or none: floors only, and all of it again once one is back with its disk.
#[test]
fn most_keepers_killed() {
    let mut world = World::new(2, ROUTERS);
    world.until(95, 15 * S).expect("the whole is divided");
    world.kill(0);
    world.kill(1);
    world.pass(6 * S);
    assert!(world.sum() <= WHOLE / 5, "{}", world.sum() / UNIT);
    world.start(1);
    assert!(world.until(90, 20 * S).is_some());
}

// Keepers cut from each other one way, each way round: one divides, where two still hear each other.
#[test_case(&[(0, 1), (0, 2)], 1; "one is heard by no keeper")]
#[test_case(&[(1, 0), (2, 0)], 1; "one hears no keeper")]
#[test_case(&[(0, 1), (1, 2), (2, 0)], 0; "in a ring")]
#[test_case(&[(0, 1), (1, 0), (0, 2), (2, 0)], 1; "one is cut off")]
fn keepers_cut(cuts: &[(usize, usize)], divide: usize) {
    for seed in 0..5 {
        let mut world = World::new(seed, ROUTERS);
        world.cut.extend(cuts);
        assert_eq!(world.until(90, 60 * S).is_some(), divide == 1, "seed {seed}");
        assert_eq!(world.dividers().len(), divide);
        world.cut.clear();
        world.pass(20 * S);
        assert!(world.sum() >= WHOLE * 95 / 100, "seed {seed}");
    }
}

// The divider stands still again and again while others take over, and wakes with its messages waiting; it
// may get the term back, and then waits as anybody else.
#[test_case(false; "views are right")]
#[test_case(true; "all take all others for gone")]
fn the_divider_stands_still(deluded: bool) {
    for seed in 0..10 {
        let mut world = World::new(seed, ROUTERS);
        (world.moves, world.deluded) = (true, deluded);
        for _ in 0..12 {
            world.pass(S + world.now % (5 * S));
            for n in world.dividers() {
                world.stop(n, 4 * S + world.now % (8 * S));
            }
            world.pass(6 * S);
        }
        (world.moves, world.deluded) = (false, false);
        world.pass(15 * S);
        assert!(world.sum() >= WHOLE * 95 / 100, "seed {seed}: {}", world.sum() / UNIT);
    }
}

// A keeper does not hear the one that divides, takes it for gone and takes over while the other's leases are
// in force.
#[test]
fn taken_over_too_early() {
    for seed in 0..10 {
        let mut world = World::new(seed, ROUTERS);
        (world.moves, world.deluded) = (true, true);
        for _ in 0..12 {
            world.pass(6 * S + world.now % S);
            for n in world.dividers() {
                world
                    .cut
                    .extend((0..KEEPERS).map(|other| (n, other)).filter(|(n, other)| n != other).take(1));
            }
            world.pass(3 * S);
            world.cut.clear();
        }
    }
}

// All at once: messages lost, late by up to a minute and repeated, views that are wrong, processes that stop,
// die and come back. The sum is judged at each step.
#[test]
fn never_more_than_the_whole() {
    let mut divided = 0;
    for seed in 0..20 {
        let mut world = World::new(seed, ROUTERS);
        (world.lost, world.moves) = (0.15, true);
        for _ in 0..120 {
            world.pass(S);
            let n = world.rng.rand_range(0..2 * KEEPERS as u64) as usize;
            match world.rng.rand_range(0..10) {
                0 => world.kill(n),
                1..=2 => world.stop(n, world.now % (20 * S)),
                3..=5 if !world.all[n].runs => world.start(n),
                6 => {
                    let other = world.rng.rand_range(0..ROUTERS as u64) as usize;
                    world.cut.insert((n, other));
                }
                7 => world.cut.clear(),
                _ => {}
            }
            divided += usize::from(world.sum() > WHOLE / 5);
        }
    }
    assert!(divided > 20 * 120 / 4, "and it is divided for a good part of the time: {divided}");
}

// Messages cut at every byte, with every bit of their first bytes turned, or with more after their end: no
// panic, and what cannot be read changes nothing.
#[test]
fn bent_messages() {
    let mut out = Written::by(name(1));
    out.given(name(0), InstanceId(1), 1, &[5, 6]);
    out.ask(name(0), InstanceId(2), 3, (1, 0), &[7]);
    out.accept(
        name(0),
        applepond_consensus::Ballot { round: 1, proposer: 2 },
        &Term { number: 1, name: name(1), by: InstanceId(2), settings: 3 },
    );
    let (mut office, mut disk) = (office(0, (0, ROUTERS), 1, None), Disk::default());
    let mut read = |bytes: &[u8]| {
        let mut answers = Written::by(name(0));
        let part = office.holder.part(0, 0);
        let read = read(bytes, 0, &mut office, &mut disk, &|_| true, &mut answers);
        if read.is_none() {
            assert!(answers.messages.is_empty() && office.holder.part(0, 0) == part);
        }
        read
    };
    for (_, message) in out.messages {
        assert!((0..message.len()).all(|at| read(&message[..at]).is_none()));
        assert!(read(&[&message[..], &[0]].concat()).is_none(), "and nothing after its end");
        for bit in 0..16 {
            let mut bent = message.clone();
            bent[bit / 8] ^= 1 << (bit % 8);
            let _ = read(&bent);
        }
        assert!(read(&message).is_some());
    }
}

// A keeper does not vote for a term by other settings, and names who wants it.
#[test]
fn a_keeper_with_other_settings() {
    let (mut keeper, mut disk) = (office(0, (0, ROUTERS), 1, None), Disk::default());
    let (mut out, ballot) = (Written::by(name(0)), applepond_consensus::Ballot { round: 1, proposer: 2 });
    let term = Term { number: 1, name: name(1), by: InstanceId(2), settings: 3 };
    keeper.accept(name(1), ballot, term, 5, &mut disk, &mut out);
    assert!(out.messages.is_empty() && disk.0.is_none());
    assert_eq!(keeper.differs(5), Some(name(1)));
}
