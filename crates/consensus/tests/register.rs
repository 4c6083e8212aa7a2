//! Registers of several routers on a simulated network, with drifting clocks, faulty disks and lost replicas.
#[path = "fault_points/simulation.rs"]
mod simulation;
use applepond_consensus::{
    Ballot, CLOCK_DRIFT_DIVISOR, LEASE_DURATION, MAX_REPLICAS, Promise, Register, RegisterActions,
    RegisterState, Replica, ReplicaId, ReplicaRequests, Unavailable, message,
};
use applepond_membership::InstanceId;
use simulation::*;
use test_case::test_case;

/// A fleet with three replicas that has committed the value "a".
fn agreed(seed: u64, routers: usize) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::new(seed, routers, 3);
    assert!(
        network.run_until(12 * S, |p| p.all_hold("")),
        "bootstrapped: {:?}",
        network.unavailable_reason(0)
    );
    assert!(agree_on(&mut network, "a"), "committed and received by all");
    network
}

/// Proposes a value until all routers hold it. Proposals are lost if the leader changes.
fn agree_on(network: &mut SimulatedNetwork, text: &str) -> bool {
    (0..8).any(|_| {
        network.propose(text);
        network.run_until(3 * S, |p| p.all_hold(text))
    })
}

fn assert_safe(network: &SimulatedNetwork) {
    assert_eq!(network.violation, None);
}

#[test_case(5)]
#[test_case(20)]
fn bootstrap_reaches_all_routers(routers: usize) {
    for seed in 1..=10 {
        let mut network = agreed(seed, routers);
        network.advance(10 * S);
        assert!(network.all_hold("a"));
        assert_safe(&network);
    }
}

#[test_case(lossy(0.2); "a fifth is lost")]
#[test_case(Box::new(|_, _, _, rng| Some(200 + rng.rand_range(0..120 * MS))); "slow links")]
#[test_case(Box::new(|at, a, _, _| (a != 0 || at / S % 7 > 2).then_some(300)); "one unheard at times")]
fn survives_lossy_and_slow_links(link: Link) {
    let mut network = agreed(4, 8);
    network.link = link;
    for n in 0..20 {
        network.propose(&format!("{n}"));
        network.advance(3 * S);
    }
    network.link = lossy(0.0);
    assert!(agree_on(&mut network, "last"));
    assert_safe(&network);
}

// When the leader dies, another replica takes over and no committed value is lost.
#[test]
fn another_replica_takes_over_from_a_dead_leader() {
    for seed in 1..=20 {
        let mut network = agreed(seed, 8);
        let first = network.leader().expect("one of them");
        network.kill(first);
        let started = network.now;
        assert!(network.run_until(12 * S, |p| p.leader().is_some() && p.all_hold("a")), "seed {seed}");
        assert!(network.now - started < 5 * S, "seed {seed}: after {} ms", (network.now - started) / MS);
        assert_safe(&network);
    }
}

// A process that was paused does not use its expired lease, and a paused leader loses its leadership.
#[test]
fn a_paused_process_uses_no_expired_lease() {
    for seed in 1..=10 {
        let mut network = agreed(seed, 8);
        let first = network.leader().expect("one of them");
        network.pause(first, 20 * S);
        network.pause(7, 20 * S);
        network.advance(6 * S);
        assert!(network.propose("b"));
        network.advance(4 * S);
        assert!(network.state_of(7).is_none(), "the paused router's lease has expired");
        assert!(network.run_until(20 * S, |p| p.all_hold("b")));
        assert_safe(&network);
    }
}

// A router with a new disk is admitted as a new replica; the promises of the lost disk do not count.
#[test]
fn a_new_disk_is_another_replica() {
    let mut network = agreed(2, 5);
    let other = (0..3).find(|n| Some(*n) != network.leader()).expect("one of three");
    network.kill(other);
    network.replace_disk(other);
    network.advance(S);
    network.start(other);
    let new = network.disks[other].id;
    let is_admitted = |p: &SimulatedNetwork| {
        p.state_of(4)
            .is_some_and(|a| a.previous_replicas.is_empty() && a.replicas.iter().any(|s| s.disk == new))
    };
    assert!(network.run_until(8 * S, is_admitted));
    assert!(network.all_hold("a"));
    assert_safe(&network);
}

// If a majority of the disks is lost, the register becomes unavailable with the matching reason, instead of
// continuing with an old or empty state.
#[test_case(false; "one replica keeps its disk")]
#[test_case(true; "all of them are lost")]
fn a_lost_majority_of_disks_is_named(all: bool) {
    let mut network = agreed(3, 6);
    let lost = if all { 3 } else { 2 };
    (0..3).for_each(|n| network.kill(n));
    (0..lost).for_each(|n| network.replace_disk(n));
    network.advance(S);
    (0..3).for_each(|n| network.start(n));
    network.advance(20 * S);
    assert!((0..6).all(|n| network.state_of(n).is_none()), "no router has a lease");
    let reasons: Vec<Unavailable> = (0..3).filter_map(|n| network.unavailable_reason(n)).collect();
    let wanted =
        if all { Unavailable::StateForgotten } else { Unavailable::MajorityLost { lost: 2, total: 3 } };
    assert!(reasons.contains(&wanted), "{reasons:?}");
    assert_safe(&network);
    // The help text's instructions: stop all replicas, remove their files, increase `founding`.
    (0..6).for_each(|n| network.kill(n));
    (0..3).for_each(|n| network.replace_disk(n));
    network.fleet += 1;
    (0..6).for_each(|n| network.start(n));
    assert!(network.run_until(12 * S, |p| p.all_hold("")));
}

// After a bootstrap no lease is granted before those on an earlier register have expired.
#[test]
fn a_bootstrap_waits_for_earlier_leases() {
    let mut network = SimulatedNetwork::new(5, 5, 3);
    assert!(network.run_until(9 * S, |p| p.unavailable_reason(0) == Some(Unavailable::BootstrapPending)
        || p.unavailable_reason(1) == Some(Unavailable::BootstrapPending)
        || p.unavailable_reason(2) == Some(Unavailable::BootstrapPending)));
    let pending_since = network.now;
    assert!(network.run_until(9 * S, |p| (0..5).any(|n| p.state_of(n).is_some())));
    assert!(network.now - pending_since >= LEASE_DURATION, "{} ms", (network.now - pending_since) / MS);
}

// If an old copy of a replica's file is restored, requests carry a later promise and the replica abstains.
#[test]
fn a_rolled_back_file_is_noticed() {
    let mut network = agreed(6, 5);
    let other = (0..3).find(|n| Some(*n) != network.leader()).expect("one of three");
    let old = network.disks[other].clone();
    assert!(agree_on(&mut network, "b"));
    network.kill(other);
    network.disks[other] = old;
    network.start(other);
    let reason = Unavailable::AcceptorFailed("older");
    assert!(network.run_until(4 * S, |p| p.unavailable_reason(other) == Some(reason.clone())));
    assert!(network.run_until(4 * S, |p| p.all_hold("b")));
    assert_safe(&network);
}

// A majority of the disks is restored from before the last bootstrap. Routers that have seen the current
// register must not use the earlier one.
#[test]
fn disks_of_an_earlier_register_are_refused() {
    let mut network = agreed(7, 6);
    let old: Vec<SimulatedDisk> = network.disks.clone();
    (0..6).for_each(|n| network.kill(n));
    (0..3).for_each(|n| network.replace_disk(n));
    network.advance(S);
    // No router that has seen the register is left, so a new one is bootstrapped under another id.
    network.register_ids.clear();
    (0..6).for_each(|n| network.start(n));
    assert!(network.run_until(12 * S, |p| p.all_hold("")));
    let register_id = network.state_of(5).expect("agreed").register_id;
    let leader = network.leader().expect("one of them");
    for n in (0..3).filter(|n| *n != leader) {
        network.kill(n);
        network.disks[n] = old[n].clone();
        network.start(n);
    }
    network.advance(20 * S);
    assert!((0..6).all(|n| network.state_of(n).is_none_or(|a| a.register_id == register_id)));
    assert!((0..3).any(|n| network.unavailable_reason(n) == Some(Unavailable::StateRolledBack)));
    assert_safe(&network);
}

// Disks that fail or lose writes, one at a time, at each replica.
#[test_case(DiskBehavior::Fails)]
#[test_case(DiskBehavior::Lies)]
fn a_failing_or_lying_disk_loses_nothing(behavior: DiskBehavior) {
    for seed in 1..=10 {
        let mut network = agreed(seed, 5);
        let bad = seed as usize % 3;
        network.disks[bad].behavior = behavior;
        for n in 0..6 {
            network.propose(&format!("{n}"));
            network.advance(3 * S);
        }
        if behavior == DiskBehavior::Fails {
            assert_eq!(
                network.unavailable_reason(bad),
                Some(Unavailable::AcceptorFailed("not-written")),
                "seed {seed}"
            );
        }
        // The process crashes, which loses the writes that the disk only pretended to store.
        network.kill(bad);
        network.start(bad);
        network.advance(8 * S);
        assert!(agree_on(&mut network, "last"), "seed {seed}");
        assert_safe(&network);
    }
}

// A change of the settings moves the replicas to other routers one at a time, while the register is in use.
#[test]
fn replicas_move_one_by_one() {
    let mut network = agreed(8, 8);
    for step in 1..=3 {
        network.configured = (step..step + 3).map(router).collect();
        for n in 0..8 {
            // A rolling change of the settings: each router restarts with them.
            network.kill(n);
            network.start(n);
            network.advance(1500 * MS);
        }
        network.advance(10 * S);
        let configured = network.configured.clone();
        let moved = |p: &SimulatedNetwork| {
            p.state_of(7).is_some_and(|a| {
                a.previous_replicas.is_empty()
                    && a.replicas.len() == 3
                    && a.replicas.iter().all(|s| configured.contains(&s.router))
            })
        };
        assert!(network.run_until(20 * S, moved), "step {step}: {:?}", network.state_of(7));
        assert!(network.all_hold("a"));
        assert_safe(&network);
    }
}

#[test_case(20)]
fn long_runs_with_random_faults(seeds: u64) {
    for seed in 0..seeds {
        let mut network = agreed(seed, 7);
        network.link = lossy(0.05);
        for _ in 0..40 {
            let (what, n) = (network.rng.rand_range(0..6), network.rng.rand_range(0..7) as usize);
            match what {
                0 => network.kill(n),
                1 => network.pause(n, 5 * S),
                2 if network.all[n].is_none() => network.start(n),
                3 => {
                    network.link = Box::new(move |_, a, b, rng| {
                        let cut = (a == n) != (b == n) && rng.rand_float() < 0.8;
                        (!cut).then(|| 200 + rng.rand_range(0..300 * MS))
                    });
                }
                4 => network.link = lossy(0.05),
                _ => {
                    let text = format!("{}", network.rng.rand_range(0..1000));
                    network.propose(&text);
                }
            }
            network.advance(2 * S);
        }
        assert_safe(&network);
        network.link = lossy(0.0);
        (0..7).for_each(|n| {
            if network.all[n].is_none() {
                network.start(n);
            }
        });
        assert!(
            network.run_until(20 * S, |p| p.leader().is_some()),
            "seed {seed}: {:?}",
            network.unavailable_reason(1)
        );
        assert!(agree_on(&mut network, "last"), "seed {seed}");
        assert_safe(&network);
    }
}

// A lease starts with its request, lasts no longer than the maximum, and never replaces a newer state.
#[test_case(1, 0, 7, 2 * S, false; "response to an earlier request")]
#[test_case(0, 0, 7, LEASE_DURATION + 1, false; "more than a lease")]
#[test_case(0, 1, 7, 2 * S, false; "another register")]
#[test_case(0, 0, 4, 2 * S, false; "an earlier version than seen")]
#[test_case(0, 0, 6, 2 * S, true; "newer")]
fn a_lease_counts_from_its_request(
    request_offset: u64,
    register_offset: u64,
    number: u64,
    remaining: u64,
    is_applied: bool,
) {
    let configured: Vec<_> = (0..3).map(router).collect();
    let mut register: Register<Text> = Register::new(0, (router(9), InstanceId(1)), &configured, false, 1);
    let mut requested = 0;
    let mut request = |register: &mut Register<Text>, now: u64| {
        let mut out = message::MessageWriter::new(router(9));
        register.wake(now, &|_| true, &mut out);
        requested += out.messages.len() as u64;
        requested
    };
    let agreed = |register_id, number| RegisterState {
        register_id: InstanceId(register_id),
        version: number,
        replicas: vec![ReplicaId { router: router(0), disk: InstanceId(5) }],
        previous_replicas: Vec::new(),
        value: "x".to_owned(),
    };
    let first = request(&mut register, 2 * S);
    register.on_state_response(2 * S, router(0), first, agreed(3, 5), 2 * S);
    assert_eq!(register.lease(2 * S).map(|h| h.expires_at), Some(4 * S - 2 * S / CLOCK_DRIFT_DIVISOR));
    let second = request(&mut register, 3 * S);
    register.on_state_response(
        3 * S,
        router(0),
        second - request_offset,
        agreed(3 + register_offset, number),
        remaining,
    );
    let version = register.lease(3 * S).map(|h| h.state.version);
    assert_eq!(version == Some(number), is_applied, "{version:?}");
    assert!(register.lease(6 * S).is_none(), "the lease expires");
}

#[test]
fn malformed_messages_are_refused() {
    let mut network = agreed(9, 4);
    let agreed = network.state_of(3).expect("agreed");
    let mut out = message::MessageWriter::new(router(1));
    let ballot = Ballot { round: 1 << 40, proposer: 5 };
    ReplicaRequests::<Text>::prepare(&mut out, router(0), ballot, None);
    out.accept(router(0), ballot, &agreed, None);
    let promise = Promise { ballot, previous: ballot, accepted: Some((ballot, agreed.clone())) };
    out.promised(router(0), agreed.register_id, &promise);
    out.send_state(router(0), 3, &agreed, 500);
    let many = RegisterState { replicas: vec![agreed.replicas[0]; MAX_REPLICAS + 1], ..agreed.clone() };
    out.send_state(router(0), 3, &many, 500);
    let far = RegisterState { version: u64::MAX, ..agreed };
    out.send_state(router(0), 3, &far, 500);
    let m = network.all[3].as_mut().expect("there");
    let mut disk =
        SimulatedDisk { id: InstanceId(1), state: None, torn: false, behavior: DiskBehavior::Works };
    let mut replica: Replica<Text> = Replica::new(FLEET, InstanceId(1), Ok(None));
    let mut sent = message::MessageWriter::new(router(3));
    let mut refused = 0;
    for (_, bytes) in &out.messages {
        let mut read = |bytes: &[u8]| match message::is_acceptor_request(bytes) {
            true => message::handle_acceptor_request(bytes, &mut replica, &mut disk, &mut sent),
            false => message::handle_register_message(bytes, &mut m.register, 0, &[], &mut sent),
        };
        (0..bytes.len()).for_each(|at| assert!(read(&bytes[..at]).is_err(), "cut at {at}"));
        refused += u64::from(read(bytes).is_err());
    }
    assert_eq!(refused, 2, "too many replicas, and a version out of range");
}

#[test]
fn each_error_says_what_to_do() {
    use miette::Diagnostic;
    let each = Unavailable::each();
    assert!(each.iter().all(|e| e.code().is_some() && e.help().is_some()));
    assert!(message::MalformedMessage.help().is_some());
}
