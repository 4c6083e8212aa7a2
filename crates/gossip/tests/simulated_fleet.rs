//! Convergence and expiry of entries under message loss, restarts, partitions and forged messages, and the
//! limits of the protocol. Each safeguard has its own test.
mod common;
use applepond_gossip::{
    DEAD_ORIGIN_GRACE, DEAD_ORIGIN_RETENTION, ENTRY_OVERHEAD_BYTES, Gossip, Key, MAX_BYTES_PER_INTERVAL,
    MAX_MESSAGE_BYTES, MAX_NUMBER, MAX_ORIGIN_BYTES, MAX_ORIGINS, MAX_VALUE_BYTES, MessageError,
    PROTOCOL_MARKER, PublishError,
};
use applepond_membership::RouterId;
use common::{KIND, Link, MILLISECOND, RecordedActions, SECOND, SimulatedNetwork, id, lossy_link};
use std::collections::BTreeSet;
use test_case::test_case;

#[test_case(20, 0.0, 3; "twenty")]
#[test_case(20, 0.3, 8; "twenty, three messages in ten lost")]
#[test_case(300, 0.0, 5; "three hundred")]
fn all_routers_learn_an_entry(routers: usize, loss: f64, seconds: u64) {
    for seed in 1..=3 {
        let mut network = SimulatedNetwork::fleet(seed, routers, lossy_link(loss));
        network.run_for(5 * SECOND);
        network.publish(7, 1, b"9 ms");
        let by = network.now + seconds * SECOND;
        assert!(
            network.run_until(by, |p| p.has_converged()),
            "seed {seed}: no convergence within {seconds} s"
        );
        assert!((0..routers).all(|n| network.entries_at(n, 1).get(&7).is_some_and(|v| v == b"9 ms")));
    }
}

// Guards against a router without an entry that is taken for one with the value zero: routers that have not
// published, or have withdrawn their entry, must not appear in an answer.
#[test]
fn silent_routers_appear_in_no_answer() {
    let mut network = SimulatedNetwork::fleet(1, 5, lossy_link(0.0));
    network.publish(0, 1, b"0");
    let now = network.now;
    network.processes[1]
        .as_mut()
        .expect("the router runs")
        .gossip
        .publish(now, KIND, Key(1), b"5")
        .expect("within the limits");
    network.run_for(5 * SECOND);
    assert_eq!(network.entries_at(4, 1).len(), 2, "two routers have published");
    let now = network.now;
    network.processes[1].as_mut().expect("the router runs").gossip.withdraw(now, KIND, Key(1));
    network.run_for(5 * SECOND);
    assert_eq!(network.entries_at(4, 1).into_iter().collect::<Vec<_>>(), [(0, b"0".to_vec())]);
}

// Guards against outdated entries that replace newer ones when messages are late, repeated or reordered.
#[test_case(1)]
#[test_case(2)]
fn repeated_late_and_reordered_messages_converge(seed: u64) {
    let link: Link =
        Box::new(|_, _, _, rng| (rng.rand_float() >= 0.2).then(|| rng.rand_range(0..3 * SECOND)));
    let mut network = SimulatedNetwork::fleet(seed, 12, link);
    for n in 0..400u64 {
        let (origin, key) = (network.rng.rand_range(0..12) as usize, network.rng.rand_range(0..5));
        network.publish(origin, key, format!("{n}").as_bytes());
        network.run_for(50 * MILLISECOND);
    }
    let by = network.now + 30 * SECOND;
    assert!(network.run_until(by, |p| p.has_converged()));
    for origin in 0..12 {
        for key in 0..5 {
            let own = network.entries_at(origin, key).get(&origin).cloned();
            assert!(
                (0..12).all(|n| network.entries_at(n, key).get(&origin).cloned() == own),
                "origin {origin}, key {key}"
            );
        }
    }
}

// Guards against entries of an earlier process that survive a restart, also if the clock went back and the
// new process starts under a lower incarnation.
#[test_case(2; "a higher incarnation")]
#[test_case(0; "the clock went back")]
fn a_new_incarnation_voids_earlier_entries(incarnation: u64) {
    let mut network = SimulatedNetwork::fleet(3, 20, lossy_link(0.0));
    network.publish(5, 1, b"old");
    network.publish(5, 2, b"old too");
    network.run_for(5 * SECOND);
    network.kill(5);
    network.run_for(SECOND);
    network.start(5, incarnation);
    network.publish(5, 1, b"new");
    let by = network.now + 10 * SECOND;
    let only_new_entries = |p: &SimulatedNetwork| {
        (0..20)
            .all(|n| p.entries_at(n, 1).get(&5).is_some_and(|v| v == b"new") && p.entries_at(n, 2).is_empty())
    };
    assert!(network.run_until(by, only_new_entries), "the earlier entries are void everywhere");
}

#[test]
fn entries_of_departed_routers_expire() {
    let mut network = SimulatedNetwork::fleet(4, 20, lossy_link(0.0));
    network.publish(5, 1, b"x");
    network.run_for(4 * SECOND);
    network.kill(5);
    let report_departure = |network: &mut SimulatedNetwork| {
        let (now, live) = (network.now, (0..20).filter(|n| *n != 5).map(id).collect::<BTreeSet<_>>());
        network.processes.iter_mut().flatten().for_each(|p| p.gossip.set_live_members(now, live.clone()));
    };
    report_departure(&mut network);
    network.run_for(DEAD_ORIGIN_GRACE - SECOND);
    assert_eq!(network.entries_at(9, 1).len(), 1, "a restarted router would be back by now");
    network.run_for(2 * SECOND);
    assert!((0..20).filter(|n| *n != 5).all(|n| network.entries_at(n, 1).is_empty()));
    // A router that starts now does not receive the entries of the departed one.
    network.start(6, 2);
    network.run_for(5 * SECOND);
    assert!(network.entries_at(6, 1).is_empty());
    report_departure(&mut network);
    network.run_for(DEAD_ORIGIN_RETENTION + SECOND);
    assert!((0..20).filter(|n| *n != 5).all(|n| network.gossip_of(n).size().0 == 19), "forgotten in the end");
    assert!(network.has_converged());
}

// Guards against an entry whose age is reset when it is passed on, so that it never expires. The age is part
// of the entry.
#[test]
fn entries_expire_by_their_age() {
    let mut network = SimulatedNetwork::fleet(5, 20, lossy_link(0.0));
    network.publish(5, 1, b"x");
    network.run_for(50 * SECOND);
    network.start(6, 2);
    network.run_for(5 * SECOND);
    assert_eq!(network.entries_at(6, 1).len(), 1);
    network.run_for(6 * SECOND);
    assert!((0..20).all(|n| network.entries_at(n, 1).is_empty()), "expired 61 s after publication");
}

// Guards against entries that are lost to one side of a partition after it has healed.
#[test]
fn halves_reconcile_after_a_cut() {
    let mut network = SimulatedNetwork::fleet(6, 20, lossy_link(0.0));
    network.run_for(3 * SECOND);
    network.link = Box::new(|_, a, b, _| ((a < 10) == (b < 10)).then_some(400));
    network.publish(1, 1, b"one half");
    network.publish(11, 1, b"the other");
    network.run_for(5 * SECOND);
    assert_eq!((network.entries_at(2, 1).len(), network.entries_at(12, 1).len()), (1, 1));
    network.link = lossy_link(0.0);
    let by = network.now + 5 * SECOND;
    assert!(network.run_until(by, |p| p.has_converged()) && network.entries_at(2, 1).len() == 2);
}

// A router whose messages are all lost still receives the entries of others, and its own reach nobody.
#[test]
fn an_unheard_router_still_learns() {
    let mut network = SimulatedNetwork::fleet(7, 20, lossy_link(0.0));
    network.run_for(3 * SECOND);
    network.link = Box::new(|_, a, _, _| (a != 3).then_some(400));
    network.publish(3, 1, b"unheard");
    network.publish(4, 1, b"heard");
    network.run_for(10 * SECOND);
    assert!((0..20).filter(|n| *n != 3).all(|n| network.entries_at(n, 1).len() == 1));
}

/// Delivers a forged message from a neighbour.
fn handle(receiver: &mut Gossip, message: &[u8]) -> Result<(), MessageError> {
    receiver.handle_message(2_000 * SECOND, id(1), message, &mut RecordedActions::default())
}

// Guards against panics on invalid input: truncated, extended and mutated messages are either rejected and
// counted, or valid.
#[test]
fn truncated_or_mutated_messages_do_not_panic() {
    let mut one = Gossip::new(SECOND, id(0), 1, &[], 1);
    one.publish(SECOND, KIND, Key(1), b"some value").expect("within the limits");
    let mut out = RecordedActions::default();
    let mut other = Gossip::new(SECOND, id(1), 1, &[], 2);
    one.handle_timeout(2 * SECOND, &[id(1)], &mut out);
    let first = out.0[0].1.clone();
    other.handle_message(2 * SECOND, id(0), &first, &mut out).expect("a valid message");
    let mut messages: Vec<Vec<u8>> = out.0.iter().map(|(_, l)| l.clone()).collect();
    for message in messages.clone() {
        let mut out = RecordedActions::default();
        let _ = one.handle_message(2 * SECOND, id(1), &message, &mut out);
        messages.extend(out.0.into_iter().map(|(_, l)| l));
    }
    assert!(messages.len() > 3, "{}", messages.len());
    let mut rejected = 0;
    for message in &messages {
        for at in 0..message.len() {
            assert!(handle(&mut other, &message[..at]).is_err(), "cut at {at}");
            let mut mutated = message.clone();
            mutated[at] ^= 0x55;
            rejected += u64::from(handle(&mut other, &mutated).is_err());
        }
        assert_eq!(handle(&mut other, &[&message[..], &[0]].concat()), Err(MessageError::Malformed));
    }
    assert!(rejected > 0);
    assert!(other.rejected_messages()[&MessageError::Malformed] > 0);
}

/// Messages as a malicious holder of the fleet's key could forge them.
mod forged {
    use super::*;
    use serde::Serialize;

    pub fn delta(
        origin: RouterId,
        incarnation: u64,
        from: u64,
        up_to: u64,
        entries: &[(u64, u64, &[u8])],
    ) -> Vec<u8> {
        #[derive(Serialize)]
        struct Entry<'a>(u8, u64, u64, u64, &'a [u8]);
        let entries: Vec<Entry<'_>> =
            entries.iter().map(|(key, v, value)| Entry(1, *key, *v, 0, value)).collect();
        postcard::to_extend(&(origin, incarnation, from, up_to, entries), vec![PROTOCOL_MARKER, 4])
            .expect("encoding succeeds")
    }
}

#[test_case(
    forged::delta(id(1), MAX_NUMBER, 0, 1, &[]),
    MessageError::NumberOutOfRange; "incarnation out of range"
)]
#[test_case(
    forged::delta(id(1), 1, 0, MAX_NUMBER, &[]),
    MessageError::NumberOutOfRange; "sequence number out of range"
)]
#[test_case(forged::delta(id(1), 1, 5, 4, &[]), MessageError::Malformed; "start after the end")]
#[test_case(forged::delta(id(1), 1, 0, 4, &[(1, 5, b"x")]), MessageError::Malformed; "an entry past the end")]
#[test_case(
    forged::delta(id(1), 1, 0, 4, &[(1, 2, b"x"), (2, 2, b"y")]),
    MessageError::Malformed; "a repeated sequence number"
)]
#[test_case(
    forged::delta(id(1), 1, 0, 1, &[(1, 1, &[7; MAX_VALUE_BYTES + 1])]),
    MessageError::Malformed; "a value that is too long"
)]
fn invalid_messages_are_rejected(message: Vec<u8>, expected: MessageError) {
    let mut one = Gossip::new(SECOND, id(0), 1, &[], 1);
    let before = one.view_digest();
    assert_eq!(handle(&mut one, &message), Err(expected));
    assert_eq!((one.view_digest(), one.rejected_messages()[&expected]), (before, 1));
}

// Guards against gaps: if a delta that leaves one were applied, the entries in between would be missing
// permanently.
#[test]
fn a_delta_that_leaves_a_gap_is_ignored() {
    let mut one = Gossip::new(SECOND, id(0), 1, &[], 1);
    handle(&mut one, &forged::delta(id(1), 1, 3, 4, &[(1, 4, b"x")])).expect("a valid message");
    assert_eq!(one.size().0, 1, "the origin is not added by a delta without its beginning");
    handle(&mut one, &forged::delta(id(1), 1, 0, 2, &[(1, 2, b"x")])).expect("a valid message");
    handle(&mut one, &forged::delta(id(1), 1, 3, 4, &[(1, 4, b"y")])).expect("a valid message");
    let published: Vec<Vec<u8>> = one.entries(SECOND, KIND).map(|t| t.value.to_vec()).collect();
    assert_eq!(published, [b"x"]);
}

// Guards against forged entries in a router's name: the router raises its incarnation above the forged one,
// which voids the forged entries everywhere.
#[test]
fn a_forged_entry_is_refuted() {
    let mut network = SimulatedNetwork::fleet(8, 20, lossy_link(0.0));
    network.publish(5, 1, b"true");
    network.run_for(4 * SECOND);
    let forged_delta = forged::delta(id(5), 40, 0, 9, &[(1, 9, b"false")]);
    let now = network.now;
    let deceived = network.processes[9].as_mut().expect("the router runs");
    deceived
        .gossip
        .handle_message(now, id(8), &forged_delta, &mut RecordedActions::default())
        .expect("a valid message");
    assert_eq!(network.entries_at(9, 1)[&5], b"false");
    let by = network.now + 10 * SECOND;
    let is_refuted =
        |p: &SimulatedNetwork| (0..20).all(|n| p.entries_at(n, 1).get(&5).is_some_and(|v| v == b"true"));
    assert!(network.run_until(by, |p| is_refuted(p) && p.has_converged()));
    // With ten further forged messages per second, the origin raises its incarnation only once per second.
    let before = network.gossip_of(5).incarnation();
    for _ in 0..100 {
        let next = network.gossip_of(5).incarnation() + 1;
        let now = network.now;
        let forged_delta = forged::delta(id(5), next, 0, 9, &[(1, 9, b"false")]);
        let origin = network.processes[5].as_mut().expect("the router runs");
        origin
            .gossip
            .handle_message(now, id(8), &forged_delta, &mut RecordedActions::default())
            .expect("a valid message");
        network.run_for(100 * MILLISECOND);
    }
    let raised = network.gossip_of(5).incarnation() - before;
    assert!(raised <= 2 * 11, "raised by {raised} within 10 s");
}

// An entry that would exceed the limit of this router's own entries is rejected; earlier entries stay.
#[test]
fn an_entry_beyond_the_own_bound_is_refused() {
    let mut one = Gossip::new(SECOND, id(0), 1, &[], 1);
    let published = (0..).take_while(|n| one.publish(SECOND, KIND, Key(*n), &[1; 400]).is_ok()).count();
    assert_eq!(published, (MAX_ORIGIN_BYTES - ENTRY_OVERHEAD_BYTES) / (400 + ENTRY_OVERHEAD_BYTES));
    assert!(matches!(one.publish(SECOND, KIND, Key(999), &[1; 400]), Err(PublishError::OriginFull(_))));
    assert_eq!(one.publish(SECOND, KIND, Key(0), &[2; 400]), Ok(()), "an entry can still be replaced");
    assert_eq!(
        one.publish(SECOND, KIND, Key(0), &[0; MAX_VALUE_BYTES + 1]),
        Err(PublishError::ValueTooLong(MAX_VALUE_BYTES + 1))
    );
    assert_eq!(one.entries(SECOND, KIND).count(), published);
}

// Guards against an origin that publishes without bound: it is stored only up to its limit, and other origins
// are not affected.
#[test]
fn an_origin_beyond_its_bound_is_rejected() {
    let mut one = Gossip::new(SECOND, id(0), 1, &[], 1);
    let mut rejected = 0;
    for n in 0..60u64 {
        let value = [7; 800];
        let message = forged::delta(id(1), 1, n, n + 1, &[(n, n + 1, &value)]);
        rejected += u64::from(handle(&mut one, &message) == Err(MessageError::LimitExceeded));
    }
    // Only once: later deltas would leave a gap and are ignored.
    assert_eq!(rejected, 1);
    assert!(one.size().1 <= MAX_ORIGIN_BYTES + 2 * ENTRY_OVERHEAD_BYTES);
    assert!(one.entries(2_000 * SECOND, KIND).count() > 30, "earlier entries stay");
    handle(&mut one, &forged::delta(id(2), 1, 0, 1, &[(1, 1, b"x")]))
        .expect("other origins are not affected");
    let rejected_origins = (0..2 * MAX_ORIGINS as u64).filter(|n| {
        handle(&mut one, &forged::delta(RouterId(n << 40 | 5), 1, 0, 1, &[]))
            == Err(MessageError::LimitExceeded)
    });
    assert_eq!(rejected_origins.count(), MAX_ORIGINS + 3);
}

// Guards against a late message of an earlier incarnation that replaces entries of the current one.
#[test]
fn an_entry_of_an_earlier_incarnation_is_ignored() {
    let mut one = Gossip::new(SECOND, id(0), 1, &[], 1);
    handle(&mut one, &forged::delta(id(1), 7, 0, 1, &[(1, 1, b"now")])).expect("a valid message");
    handle(&mut one, &forged::delta(id(1), 6, 0, 9, &[(1, 9, b"then")])).expect("a valid message");
    let published: Vec<Vec<u8>> = one.entries(SECOND, KIND).map(|t| t.value.to_vec()).collect();
    assert_eq!(published, [b"now"]);
}

// Guards against a neighbour that requests deltas without bound: the bytes sent between two exchanges are
// limited.
#[test]
fn bytes_sent_between_comparisons_are_bounded() {
    let mut one = Gossip::new(SECOND, id(0), 1, &[], 1);
    (0..60).for_each(|key| one.publish(SECOND, KIND, Key(key), &[1; 400]).expect("within the limits"));
    let request =
        postcard::to_extend(&vec![(id(0), 0u64, 0u64)], vec![PROTOCOL_MARKER, 3]).expect("encoding succeeds");
    let mut out = RecordedActions::default();
    let sent = |out: &RecordedActions| out.0.iter().map(|(_, l)| l.len()).sum::<usize>();
    (0..40).for_each(|_| one.handle_message(SECOND, id(1), &request, &mut out).expect("a valid message"));
    assert!(
        (MAX_BYTES_PER_INTERVAL - MAX_MESSAGE_BYTES..=MAX_BYTES_PER_INTERVAL).contains(&sent(&out)),
        "{}",
        sent(&out)
    );
    one.handle_timeout(2 * SECOND, &[], &mut out);
    one.handle_message(2 * SECOND, id(1), &request, &mut out).expect("a valid message");
    assert!(sent(&out) > MAX_BYTES_PER_INTERVAL, "sending continues in the next interval");
}

#[test]
fn errors_have_codes_and_help() {
    use miette::Diagnostic;
    let all: Vec<Box<dyn Diagnostic>> = PublishError::ALL
        .map(|e| Box::new(e) as Box<dyn Diagnostic>)
        .into_iter()
        .chain(MessageError::ALL.map(|e| Box::new(e) as Box<dyn Diagnostic>))
        .collect();
    assert!(all.iter().all(|e| e.code().is_some() && e.help().is_some()));
}
