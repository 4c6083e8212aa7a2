//! Twenty quota services with three replicas among them on a simulated network: who allocates is agreed on
//! while links are cut, processes are paused, die and come back. One seed gives one run.
mod common;
use applepond_membership::InstanceId;
use applepond_quota::message::{MessageWriter, handle_message};
use applepond_quota::{LeaseGrant, LeaseRequest, QuotaActions, Term, UNIT};
use common::*;
use test_case::test_case;

const ROUTERS: usize = 20;

// From the start one allocates, and after its death another, within the time of leases and of taking notice.
#[test]
fn an_allocator_takes_over_after_another() {
    let mut world = World::new(1, ROUTERS);
    let first = world.until(95, 15 * S).expect("the total is divided");
    let allocators = world.allocators();
    assert_eq!(allocators.len(), 1, "{allocators:?}");
    world.kill(allocators[0]);
    world.pass(3 * S);
    assert!(world.sum() <= TOTAL / 5, "all have fallen to their floors");
    let again = world.until(90, 15 * S).expect("another one divides");
    println!("divided after {first} us, anew after {} us", 3 * S + again);
    world.start(allocators[0]);
    world.pass(10 * S);
    assert_eq!(world.allocators().len(), 1);
}

// A minority of the replicas, or none: floors only, and all of it again once one is back with its disk.
#[test]
fn without_a_majority_all_have_their_floors() {
    let mut world = World::new(2, ROUTERS);
    world.until(95, 15 * S).expect("the total is divided");
    world.kill(0);
    world.kill(1);
    world.pass(6 * S);
    assert!(world.sum() <= TOTAL / 5, "{}", world.sum() / UNIT);
    world.start(1);
    assert!(world.until(90, 20 * S).is_some());
}

// Replicas cut from each other one way, each way round: one allocates, where two still hear each other.
#[test_case(&[(0, 1), (0, 2)], 1; "one is heard by no replica")]
#[test_case(&[(1, 0), (2, 0)], 1; "one hears no replica")]
#[test_case(&[(0, 1), (1, 2), (2, 0)], 0; "in a ring")]
#[test_case(&[(0, 1), (1, 0), (0, 2), (2, 0)], 1; "one is cut off")]
fn cut_replicas_elect_one_allocator_or_none(cuts: &[(usize, usize)], divide: usize) {
    for seed in 0..5 {
        let mut world = World::new(seed, ROUTERS);
        world.cut.extend(cuts);
        assert_eq!(world.until(90, 60 * S).is_some(), divide == 1, "seed {seed}");
        assert_eq!(world.allocators().len(), divide);
        world.cut.clear();
        world.pass(20 * S);
        assert!(world.sum() >= TOTAL * 95 / 100, "seed {seed}");
    }
}

// The allocator is paused again and again while others take over, and wakes with its messages waiting; it
// may get the term back, and then waits as anybody else.
#[test_case(false; "views are right")]
#[test_case(true; "all take all others for gone")]
fn a_paused_allocator_grants_nothing_on_waking(deluded: bool) {
    for seed in 0..10 {
        let mut world = World::new(seed, ROUTERS);
        (world.moves, world.deluded) = (true, deluded);
        for _ in 0..12 {
            world.pass(S + world.now % (5 * S));
            for n in world.allocators() {
                world.stop(n, 4 * S + world.now % (8 * S));
            }
            world.pass(6 * S);
        }
        (world.moves, world.deluded) = (false, false);
        world.pass(15 * S);
        assert!(world.sum() >= TOTAL * 95 / 100, "seed {seed}: {}", world.sum() / UNIT);
    }
}

// A replica does not hear the allocator, takes it for gone and takes over while the other's leases are
// in force.
#[test]
fn an_early_takeover_grants_no_more_than_the_total() {
    for seed in 0..10 {
        let mut world = World::new(seed, ROUTERS);
        (world.moves, world.deluded) = (true, true);
        for _ in 0..12 {
            world.pass(6 * S + world.now % S);
            for n in world.allocators() {
                world
                    .cut
                    .extend((0..REPLICAS).map(|other| (n, other)).filter(|(n, other)| n != other).take(1));
            }
            world.pass(3 * S);
            world.cut.clear();
        }
    }
}

// All at once: messages lost, late by up to a minute and repeated, views that are wrong, processes that stop,
// die and come back. The sum is judged at each step.
#[test]
fn never_more_than_the_total() {
    let mut divided = 0;
    for seed in 0..20 {
        let mut world = World::new(seed, ROUTERS);
        (world.lost, world.moves) = (0.15, true);
        for _ in 0..120 {
            world.pass(S);
            let n = world.rng.rand_range(0..2 * REPLICAS as u64) as usize;
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
            divided += usize::from(world.sum() > TOTAL / 5);
        }
    }
    assert!(divided > 20 * 120 / 4, "and it is divided for a good part of the time: {divided}");
}

// Messages cut at every byte, with every bit of their first bytes turned, or with more after their end: no
// panic, and what cannot be read changes nothing.
#[test]
fn malformed_messages_change_nothing() {
    let mut out = MessageWriter::new(name(1));
    out.grant_leases(name(0), &LeaseGrant { lessee: InstanceId(1), number: 1, extra: vec![5, 6] });
    let request =
        LeaseRequest { lessee: InstanceId(2), settings_digest: 3, number: 1, in_force: 0, need: vec![7] };
    out.request_leases(name(0), &request);
    out.accept(
        name(0),
        applepond_consensus::Ballot { round: 1, proposer: 2 },
        &Term { number: 1, router: name(1), instance_id: InstanceId(2), settings_digest: 3 },
    );
    let (mut service, mut disk) = (service(0, (0, ROUTERS), 1, None), Disk::default());
    let mut handle = |bytes: &[u8]| {
        let mut answers = MessageWriter::new(name(0));
        let share = service.lessee.share(0, 0);
        let handled = handle_message(bytes, 0, &mut service, &mut disk, &|_| true, &mut answers);
        if handled.is_err() {
            assert!(answers.messages.is_empty() && service.lessee.share(0, 0) == share);
        }
        handled
    };
    for (_, message) in out.messages {
        assert!((0..message.len()).all(|at| handle(&message[..at]).is_err()));
        assert!(handle(&[&message[..], &[0]].concat()).is_err(), "and nothing after its end");
        for bit in 0..16 {
            let mut bent = message.clone();
            bent[bit / 8] ^= 1 << (bit % 8);
            let _ = handle(&bent);
        }
        assert!(handle(&message).is_ok());
    }
}

// A replica does not vote for a term by other settings, and names who wants it.
#[test]
fn a_replica_with_other_settings_does_not_vote() {
    let (mut replica, mut disk) = (service(0, (0, ROUTERS), 1, None), Disk::default());
    let (mut out, ballot) =
        (MessageWriter::new(name(0)), applepond_consensus::Ballot { round: 1, proposer: 2 });
    let term = Term { number: 1, router: name(1), instance_id: InstanceId(2), settings_digest: 3 };
    replica.on_accept(5, name(1), (ballot, term), &mut disk, &mut out);
    assert!(out.messages.is_empty() && disk.0.is_none());
    assert_eq!(replica.mismatched_router(5), Some(name(1)));
}
