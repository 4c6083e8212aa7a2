//! Election of the allocator among twenty simulated routers with three replicas, while links are cut and
//! processes are paused, killed and restarted. A run is determined by its seed.
mod common;
use applepond_membership::InstanceId;
use applepond_quota::message::{MessageWriter, handle_message};
use applepond_quota::{LeaseGrant, LeaseRequest, QuotaActions, Term, UNIT};
use common::*;
use test_case::test_case;

const ROUTERS: usize = 20;

// There is exactly one allocator. When it is killed, another takes over after the leases have expired.
#[test]
fn an_allocator_takes_over_after_another() {
    let mut world = World::new(1, ROUTERS);
    let first = world.time_until_shared(95, 15 * S).expect("the total is shared");
    let allocators = world.allocators();
    assert_eq!(allocators.len(), 1, "{allocators:?}");
    world.kill(allocators[0]);
    world.advance(3 * S);
    assert!(world.sum() <= TOTAL / 5, "all routers are back to their floors");
    let again = world.time_until_shared(90, 15 * S).expect("another allocator grants leases");
    println!("shared after {first} us, again after {} us", 3 * S + again);
    world.start(allocators[0]);
    world.advance(10 * S);
    assert_eq!(world.allocators().len(), 1);
}

// Without a majority of the replicas there are only floors. Shares return once a replica restarts with its
// disk.
#[test]
fn without_a_majority_all_have_their_floors() {
    let mut world = World::new(2, ROUTERS);
    world.time_until_shared(95, 15 * S).expect("the total is shared");
    world.kill(0);
    world.kill(1);
    world.advance(6 * S);
    assert!(world.sum() <= TOTAL / 5, "{}", world.sum() / UNIT);
    world.start(1);
    assert!(world.time_until_shared(90, 20 * S).is_some());
}

// Links between replicas are cut in one or both directions. There is an allocator if and only if two replicas
// can still reach each other in both directions.
#[test_case(&[(0, 1), (0, 2)], 1; "one replica is heard by no other")]
#[test_case(&[(1, 0), (2, 0)], 1; "one replica hears no other")]
#[test_case(&[(0, 1), (1, 2), (2, 0)], 0; "in a ring")]
#[test_case(&[(0, 1), (1, 0), (0, 2), (2, 0)], 1; "one is cut off")]
fn cut_replicas_elect_one_allocator_or_none(cuts: &[(usize, usize)], divide: usize) {
    for seed in 0..5 {
        let mut world = World::new(seed, ROUTERS);
        world.cut_links.extend(cuts);
        assert_eq!(world.time_until_shared(90, 60 * S).is_some(), divide == 1, "seed {seed}");
        assert_eq!(world.allocators().len(), divide);
        world.cut_links.clear();
        world.advance(20 * S);
        assert!(world.sum() >= TOTAL * 95 / 100, "seed {seed}");
    }
}

// The allocator is paused repeatedly while others take over, and resumes with a full inbox. It may be
// elected again, and must then wait for earlier leases like any new allocator.
#[test_case(false; "correct liveness")]
#[test_case(true; "all others suspected")]
fn a_paused_allocator_grants_nothing_on_waking(all_suspected: bool) {
    for seed in 0..10 {
        let mut world = World::new(seed, ROUTERS);
        (world.demand_moves, world.all_suspected) = (true, all_suspected);
        for _ in 0..12 {
            world.advance(S + world.now % (5 * S));
            for n in world.allocators() {
                world.pause(n, 4 * S + world.now % (8 * S));
            }
            world.advance(6 * S);
        }
        (world.demand_moves, world.all_suspected) = (false, false);
        world.advance(15 * S);
        assert!(world.sum() >= TOTAL * 95 / 100, "seed {seed}: {}", world.sum() / UNIT);
    }
}

// A replica that cannot hear the allocator takes over while leases of the old one are still in force. The
// limit is checked at each step.
#[test]
fn an_early_takeover_grants_no_more_than_the_total() {
    for seed in 0..10 {
        let mut world = World::new(seed, ROUTERS);
        (world.demand_moves, world.all_suspected) = (true, true);
        for _ in 0..12 {
            world.advance(6 * S + world.now % S);
            for n in world.allocators() {
                world
                    .cut_links
                    .extend((0..REPLICAS).map(|other| (n, other)).filter(|(n, other)| n != other).take(1));
            }
            world.advance(3 * S);
            world.cut_links.clear();
        }
    }
}

// All faults combined: messages are lost, delayed by up to a minute and duplicated, liveness is misjudged,
// and processes are paused, killed and restarted. The limit is checked at each step.
#[test]
fn never_more_than_the_total() {
    let mut divided = 0;
    for seed in 0..20 {
        let mut world = World::new(seed, ROUTERS);
        (world.loss, world.demand_moves) = (0.15, true);
        for _ in 0..120 {
            world.advance(S);
            let n = world.rng.rand_range(0..2 * REPLICAS as u64) as usize;
            match world.rng.rand_range(0..10) {
                0 => world.kill(n),
                1..=2 => world.pause(n, world.now % (20 * S)),
                3..=5 if !world.all[n].is_running => world.start(n),
                6 => {
                    let other = world.rng.rand_range(0..ROUTERS as u64) as usize;
                    world.cut_links.insert((n, other));
                }
                7 => world.cut_links.clear(),
                _ => {}
            }
            divided += usize::from(world.sum() > TOTAL / 5);
        }
    }
    assert!(divided > 20 * 120 / 4, "leases are granted for a good part of the time: {divided}");
}

// Messages truncated at every byte, with flipped bits in the first two bytes, or with trailing bytes: nothing
// panics, and malformed messages have no effect.
#[test]
fn malformed_messages_change_nothing() {
    let mut out = MessageWriter::new(router(1));
    out.grant_leases(router(0), &LeaseGrant { lessee: InstanceId(1), number: 1, extra: vec![5, 6] });
    let request =
        LeaseRequest { lessee: InstanceId(2), settings_digest: 3, number: 1, in_force: 0, need: vec![7] };
    out.request_leases(router(0), &request);
    out.accept(
        router(0),
        applepond_consensus::Ballot { round: 1, proposer: 2 },
        &Term { number: 1, router: router(1), instance_id: InstanceId(2), settings_digest: 3 },
    );
    let (mut service, mut disk) = (service(0, (0, ROUTERS), 1, None), Disk::default());
    let mut handle = |bytes: &[u8]| {
        let mut answers = MessageWriter::new(router(0));
        let share = service.lessee.share(0, 0);
        let handled = handle_message(bytes, 0, &mut service, &mut disk, &|_| true, &mut answers);
        if handled.is_err() {
            assert!(answers.messages.is_empty() && service.lessee.share(0, 0) == share);
        }
        handled
    };
    for (_, message) in out.messages {
        assert!((0..message.len()).all(|at| handle(&message[..at]).is_err()));
        assert!(handle(&[&message[..], &[0]].concat()).is_err(), "trailing bytes are rejected");
        for bit in 0..16 {
            let mut altered = message.clone();
            altered[bit / 8] ^= 1 << (bit % 8);
            let _ = handle(&altered);
        }
        assert!(handle(&message).is_ok());
    }
}

// A replica does not vote for a term with other settings, and reports the proposing router.
#[test]
fn a_replica_with_other_settings_does_not_vote() {
    let (mut replica, mut disk) = (service(0, (0, ROUTERS), 1, None), Disk::default());
    let (mut out, ballot) =
        (MessageWriter::new(router(0)), applepond_consensus::Ballot { round: 1, proposer: 2 });
    let term = Term { number: 1, router: router(1), instance_id: InstanceId(2), settings_digest: 3 };
    replica.on_accept(5, router(1), (ballot, term), &mut disk, &mut out);
    assert!(out.messages.is_empty() && disk.0.is_none());
    assert_eq!(replica.mismatched_router(5), Some(router(1)));
}
