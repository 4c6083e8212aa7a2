//! Entries under losses, restarts, cuts, forged messages and bounds; each safeguard has a case of its own.
mod common;
use applepond_gossip::{
    DEAD_ORIGIN_GRACE, DEAD_ORIGIN_RETENTION, ENTRY_OVERHEAD_BYTES, Gossip, Key, MAX_BYTES_PER_INTERVAL,
    MAX_MESSAGE_BYTES, MAX_NUMBER, MAX_ORIGIN_BYTES, MAX_ORIGINS, MAX_VALUE_BYTES, MessageError,
    PROTOCOL_MARKER, PublishError,
};
use applepond_membership::RouterId;
use common::{Link, MILLISECOND, PACE, RecordedActions, SECOND, SimulatedNetwork, id, lossy};
use std::collections::BTreeSet;
use test_case::test_case;

#[test_case(20, 0.0, 3; "twenty")]
#[test_case(20, 0.3, 8; "twenty, three messages in ten lost")]
#[test_case(300, 0.0, 5; "three hundred")]
fn all_routers_learn_an_entry(routers: usize, lost: f64, seconds: u64) {
    for seed in 1..=3 {
        let mut network = SimulatedNetwork::fleet(seed, routers, lossy(lost));
        network.run_for(5 * SECOND);
        network.publish(7, 1, b"9 ms");
        let by = network.now + seconds * SECOND;
        assert!(network.run_until(by, |p| p.has_converged()), "seed {seed}: not within {seconds} s");
        assert!((0..routers).all(|n| network.entries_at(n, 1).get(&7).is_some_and(|v| v == b"9 ms")));
    }
}

// Nothing known is not zero: who has said nothing is in no answer, and an empty word is not a word.
#[test]
fn silent_routers_appear_in_no_answer() {
    let mut network = SimulatedNetwork::fleet(1, 5, lossy(0.0));
    network.publish(0, 1, b"0");
    let now = network.now;
    network.processes[1].as_mut().expect("there").gossip.publish(now, PACE, Key(1), b"5").expect("room");
    network.run_for(5 * SECOND);
    assert_eq!(network.entries_at(4, 1).len(), 2, "two have spoken");
    let now = network.now;
    network.processes[1].as_mut().expect("there").gossip.withdraw(now, PACE, Key(1));
    network.run_for(5 * SECOND);
    assert_eq!(network.entries_at(4, 1).into_iter().collect::<Vec<_>>(), [(0, b"0".to_vec())]);
}

// Messages come twice, late and in any order; what holds is what the origin said last.
#[test_case(1)]
#[test_case(2)]
fn repeated_late_and_reordered_messages_converge(seed: u64) {
    let link: Link =
        Box::new(|_, _, _, rng| (rng.rand_float() >= 0.2).then(|| rng.rand_range(0..3 * SECOND)));
    let mut network = SimulatedNetwork::fleet(seed, 12, link);
    for n in 0..400u64 {
        let (who, key) = (network.rng.rand_range(0..12) as usize, network.rng.rand_range(0..5));
        network.publish(who, key, format!("{n}").as_bytes());
        network.run_for(50 * MILLISECOND);
    }
    let by = network.now + 30 * SECOND;
    assert!(network.run_until(by, |p| p.has_converged()));
    for who in 0..12 {
        for key in 0..5 {
            let own = network.entries_at(who, key).get(&who).cloned();
            assert!((0..12).all(|n| network.entries_at(n, key).get(&who).cloned() == own), "{who} on {key}");
        }
    }
}

// A process that is new says nothing of what the one before it said, even where its clock went back.
#[test_case(2; "a higher incarnation")]
#[test_case(0; "the clock went back")]
fn a_new_incarnation_voids_earlier_entries(incarnation: u64) {
    let mut network = SimulatedNetwork::fleet(3, 20, lossy(0.0));
    network.publish(5, 1, b"old");
    network.publish(5, 2, b"old too");
    network.run_for(5 * SECOND);
    network.kill(5);
    network.run_for(SECOND);
    network.start(5, incarnation);
    network.publish(5, 1, b"new");
    let by = network.now + 10 * SECOND;
    let new = |p: &SimulatedNetwork| {
        (0..20)
            .all(|n| p.entries_at(n, 1).get(&5).is_some_and(|v| v == b"new") && p.entries_at(n, 2).is_empty())
    };
    assert!(network.run_until(by, new), "what was said before is void everywhere");
}

#[test]
fn entries_of_departed_routers_expire() {
    let mut network = SimulatedNetwork::fleet(4, 20, lossy(0.0));
    network.publish(5, 1, b"x");
    network.run_for(4 * SECOND);
    network.kill(5);
    let gone = |network: &mut SimulatedNetwork| {
        let (now, live) = (network.now, (0..20).filter(|n| *n != 5).map(id).collect::<BTreeSet<_>>());
        network.processes.iter_mut().flatten().for_each(|p| p.gossip.set_live_members(now, live.clone()));
    };
    gone(&mut network);
    network.run_for(DEAD_ORIGIN_GRACE - SECOND);
    assert_eq!(network.entries_at(9, 1).len(), 1, "a restart would be back by now");
    network.run_for(2 * SECOND);
    assert!((0..20).filter(|n| *n != 5).all(|n| network.entries_at(n, 1).is_empty()));
    // One who starts now hears nothing of what it said.
    network.start(6, 2);
    network.run_for(5 * SECOND);
    assert!(network.entries_at(6, 1).is_empty());
    gone(&mut network);
    network.run_for(DEAD_ORIGIN_RETENTION + SECOND);
    assert!((0..20).filter(|n| *n != 5).all(|n| network.gossip_of(n).size().0 == 19), "forgotten in the end");
    assert!(network.has_converged());
}

// What is not written again ends by its own age, which travels with it: nobody makes it young again.
#[test]
fn entries_expire_by_their_age() {
    let mut network = SimulatedNetwork::fleet(5, 20, lossy(0.0));
    network.publish(5, 1, b"x");
    network.run_for(50 * SECOND);
    network.start(6, 2);
    network.run_for(5 * SECOND);
    assert_eq!(network.entries_at(6, 1).len(), 1);
    network.run_for(6 * SECOND);
    assert!((0..20).all(|n| network.entries_at(n, 1).is_empty()), "61 s after it was written");
}

// Two halves that do not hear each other hold both words afterwards.
#[test]
fn halves_reconcile_after_a_cut() {
    let mut network = SimulatedNetwork::fleet(6, 20, lossy(0.0));
    network.run_for(3 * SECOND);
    network.link = Box::new(|_, a, b, _| ((a < 10) == (b < 10)).then_some(400));
    network.publish(1, 1, b"one half");
    network.publish(11, 1, b"the other");
    network.run_for(5 * SECOND);
    assert_eq!((network.entries_at(2, 1).len(), network.entries_at(12, 1).len()), (1, 1));
    network.link = lossy(0.0);
    let by = network.now + 5 * SECOND;
    assert!(network.run_until(by, |p| p.has_converged()) && network.entries_at(2, 1).len() == 2);
}

// One-way cut: the one who is not heard learns all the same, and says nothing to anybody.
#[test]
fn an_unheard_router_still_learns() {
    let mut network = SimulatedNetwork::fleet(7, 20, lossy(0.0));
    network.run_for(3 * SECOND);
    network.link = Box::new(|_, a, _, _| (a != 3).then_some(400));
    network.publish(3, 1, b"unheard");
    network.publish(4, 1, b"heard");
    network.run_for(10 * SECOND);
    assert!((0..20).filter(|n| *n != 3).all(|n| network.entries_at(n, 1).len() == 1));
}

/// What `to` takes of a message made up by a neighbour, and whether it took it.
fn handle(to: &mut Gossip, message: &[u8]) -> Result<(), MessageError> {
    to.handle_message(2_000 * SECOND, id(1), message, &mut RecordedActions::default())
}

// Cut anywhere, lengthened or bent, a message is refused or says what it may: it never panics and counts.
#[test]
fn truncated_or_mutated_messages_do_not_panic() {
    let mut one = Gossip::new(SECOND, id(0), 1, &[], 1);
    one.publish(SECOND, PACE, Key(1), b"some value").expect("room");
    let mut out = RecordedActions::default();
    let mut other = Gossip::new(SECOND, id(1), 1, &[], 2);
    one.handle_timeout(2 * SECOND, &[id(1)], &mut out);
    let first = out.0[0].1.clone();
    other.handle_message(2 * SECOND, id(0), &first, &mut out).expect("a good message");
    let mut messages: Vec<Vec<u8>> = out.0.iter().map(|(_, l)| l.clone()).collect();
    for message in messages.clone() {
        let mut out = RecordedActions::default();
        let _ = one.handle_message(2 * SECOND, id(1), &message, &mut out);
        messages.extend(out.0.into_iter().map(|(_, l)| l));
    }
    assert!(messages.len() > 3, "{}", messages.len());
    let mut refused = 0;
    for message in &messages {
        for at in 0..message.len() {
            assert!(handle(&mut other, &message[..at]).is_err(), "cut at {at}");
            let mut bent = message.clone();
            bent[at] ^= 0x55;
            refused += u64::from(handle(&mut other, &bent).is_err());
        }
        assert_eq!(handle(&mut other, &[&message[..], &[0]].concat()), Err(MessageError::Malformed));
    }
    assert!(refused > 0);
    assert!(other.rejected_messages()[&MessageError::Malformed] > 0);
}

/// Messages by hand: what a holder of the key could write.
mod forged {
    use super::*;
    use serde::Serialize;

    pub fn tells(origin: RouterId, inc: u64, from: u64, upto: u64, lines: &[(u64, u64, &[u8])]) -> Vec<u8> {
        #[derive(Serialize)]
        struct Line<'a>(u8, u64, u64, u64, &'a [u8]);
        let lines: Vec<Line<'_>> = lines.iter().map(|(key, v, value)| Line(1, *key, *v, 0, value)).collect();
        postcard::to_extend(&(origin, inc, from, upto, lines), vec![PROTOCOL_MARKER, 4]).expect("written")
    }
}

#[test_case(
    forged::tells(id(1), MAX_NUMBER, 0, 1, &[]),
    MessageError::NumberOutOfRange; "an incarnation of nobody"
)]
#[test_case(
    forged::tells(id(1), 1, 0, MAX_NUMBER, &[]),
    MessageError::NumberOutOfRange; "a version of nobody"
)]
#[test_case(forged::tells(id(1), 1, 5, 4, &[]), MessageError::Malformed; "from behind its end")]
#[test_case(forged::tells(id(1), 1, 0, 4, &[(1, 5, b"x")]), MessageError::Malformed; "a line past the end")]
#[test_case(
    forged::tells(id(1), 1, 0, 4, &[(1, 2, b"x"), (2, 2, b"y")]),
    MessageError::Malformed; "one number twice"
)]
#[test_case(
    forged::tells(id(1), 1, 0, 1, &[(1, 1, &[7; MAX_VALUE_BYTES + 1])]),
    MessageError::Malformed; "a long value"
)]
fn invalid_messages_are_rejected(message: Vec<u8>, why: MessageError) {
    let mut one = Gossip::new(SECOND, id(0), 1, &[], 1);
    let before = one.view_digest();
    assert_eq!(handle(&mut one, &message), Err(why));
    assert_eq!((one.view_digest(), one.rejected_messages()[&why]), (before, 1));
}

// A gap is not taken: what lies between would be missing for ever.
#[test]
fn a_delta_that_leaves_a_gap_is_ignored() {
    let mut one = Gossip::new(SECOND, id(0), 1, &[], 1);
    handle(&mut one, &forged::tells(id(1), 1, 3, 4, &[(1, 4, b"x")])).expect("well formed");
    assert_eq!(one.size().0, 1, "nothing is known of its beginning");
    handle(&mut one, &forged::tells(id(1), 1, 0, 2, &[(1, 2, b"x")])).expect("well formed");
    handle(&mut one, &forged::tells(id(1), 1, 3, 4, &[(1, 4, b"y")])).expect("well formed");
    let told: Vec<Vec<u8>> = one.entries(SECOND, PACE).map(|t| t.value.to_vec()).collect();
    assert_eq!(told, [b"x"]);
}

// Who is lied about says so again under an incarnation above the lie; the lie is void everywhere then.
#[test]
fn a_forged_entry_is_refuted() {
    let mut network = SimulatedNetwork::fleet(8, 20, lossy(0.0));
    network.publish(5, 1, b"true");
    network.run_for(4 * SECOND);
    let lie = forged::tells(id(5), 40, 0, 9, &[(1, 9, b"false")]);
    let now = network.now;
    let liar = network.processes[9].as_mut().expect("there");
    liar.gossip.handle_message(now, id(8), &lie, &mut RecordedActions::default()).expect("well formed");
    assert_eq!(network.entries_at(9, 1)[&5], b"false");
    let by = network.now + 10 * SECOND;
    let right =
        |p: &SimulatedNetwork| (0..20).all(|n| p.entries_at(n, 1).get(&5).is_some_and(|v| v == b"true"));
    assert!(network.run_until(by, |p| right(p) && p.has_converged()));
    // It goes on lying ten times a second: the origin answers once a second, and no more.
    let before = network.gossip_of(5).incarnation();
    for _ in 0..100 {
        let next = network.gossip_of(5).incarnation() + 1;
        let now = network.now;
        let lie = forged::tells(id(5), next, 0, 9, &[(1, 9, b"false")]);
        let honest = network.processes[5].as_mut().expect("there");
        honest.gossip.handle_message(now, id(8), &lie, &mut RecordedActions::default()).expect("well formed");
        network.run_for(100 * MILLISECOND);
    }
    let raised = network.gossip_of(5).incarnation() - before;
    assert!(raised <= 2 * 11, "{raised} in ten seconds");
}

// At its bound an origin's own entry is refused by name; what it told stays.
#[test]
fn an_entry_beyond_the_own_bound_is_refused() {
    let mut one = Gossip::new(SECOND, id(0), 1, &[], 1);
    let told = (0..).take_while(|n| one.publish(SECOND, PACE, Key(*n), &[1; 400]).is_ok()).count();
    assert_eq!(told, (MAX_ORIGIN_BYTES - ENTRY_OVERHEAD_BYTES) / (400 + ENTRY_OVERHEAD_BYTES));
    assert!(matches!(one.publish(SECOND, PACE, Key(999), &[1; 400]), Err(PublishError::OriginFull(_))));
    assert_eq!(one.publish(SECOND, PACE, Key(0), &[2; 400]), Ok(()), "in place of another there is room");
    assert_eq!(
        one.publish(SECOND, PACE, Key(0), &[0; MAX_VALUE_BYTES + 1]),
        Err(PublishError::ValueTooLong(MAX_VALUE_BYTES + 1))
    );
    assert_eq!(one.entries(SECOND, PACE).count(), told);
}

// One that tells without end is not taken beyond its bound; all others are.
#[test]
fn an_origin_beyond_its_bound_is_rejected() {
    let mut one = Gossip::new(SECOND, id(0), 1, &[], 1);
    let mut refused = 0;
    for n in 0..60u64 {
        let value = [7; 800];
        let message = forged::tells(id(1), 1, n, n + 1, &[(n, n + 1, &value)]);
        refused += u64::from(handle(&mut one, &message) == Err(MessageError::LimitExceeded));
    }
    // Once, then what follows would leave a gap.
    assert_eq!(refused, 1);
    assert!(one.size().1 <= MAX_ORIGIN_BYTES + 2 * ENTRY_OVERHEAD_BYTES);
    assert!(one.entries(2_000 * SECOND, PACE).count() > 30, "what it told before stays");
    handle(&mut one, &forged::tells(id(2), 1, 0, 1, &[(1, 1, b"x")])).expect("the others are not harmed");
    let many = (0..2 * MAX_ORIGINS as u64).filter(|n| {
        handle(&mut one, &forged::tells(RouterId(n << 40 | 5), 1, 0, 1, &[]))
            == Err(MessageError::LimitExceeded)
    });
    assert_eq!(many.count(), MAX_ORIGINS + 3);
}

// What an earlier life said, come late, is not taken for this one's.
#[test]
fn an_entry_of_an_earlier_incarnation_is_ignored() {
    let mut one = Gossip::new(SECOND, id(0), 1, &[], 1);
    handle(&mut one, &forged::tells(id(1), 7, 0, 1, &[(1, 1, b"now")])).expect("well formed");
    handle(&mut one, &forged::tells(id(1), 6, 0, 9, &[(1, 9, b"then")])).expect("well formed");
    let told: Vec<Vec<u8>> = one.entries(SECOND, PACE).map(|t| t.value.to_vec()).collect();
    assert_eq!(told, [b"now"]);
}

// Whoever asks for however much: what goes out between two comparisons is bounded.
#[test]
fn bytes_sent_between_comparisons_are_bounded() {
    let mut one = Gossip::new(SECOND, id(0), 1, &[], 1);
    (0..60).for_each(|key| one.publish(SECOND, PACE, Key(key), &[1; 400]).expect("room"));
    let wants = postcard::to_extend(&vec![(id(0), 0u64, 0u64)], vec![PROTOCOL_MARKER, 3]).expect("written");
    let mut out = RecordedActions::default();
    let sent = |out: &RecordedActions| out.0.iter().map(|(_, l)| l.len()).sum::<usize>();
    (0..40).for_each(|_| one.handle_message(SECOND, id(1), &wants, &mut out).expect("well formed"));
    assert!(
        (MAX_BYTES_PER_INTERVAL - MAX_MESSAGE_BYTES..=MAX_BYTES_PER_INTERVAL).contains(&sent(&out)),
        "{}",
        sent(&out)
    );
    one.handle_timeout(2 * SECOND, &[], &mut out);
    one.handle_message(2 * SECOND, id(1), &wants, &mut out).expect("well formed");
    assert!(sent(&out) > MAX_BYTES_PER_INTERVAL, "and goes on after the next one");
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
