//! Recovery of restarted routers: one, most or all of a fleet, with lost, damaged or rolled-back snapshots.
#[path = "fault_points/simulation.rs"]
mod simulation;
use applepond_recovery::{
    Actions, BootId, FACTS_PER_PAGE, Fact, FactKey, FactKind, Facts, Guards, MAX_FACTS, MAX_REQUESTS,
    MAX_SNAPSHOT_BYTES, MalformedMessage, PeerRecovery, RECOVERY_WINDOW, SEND_BURST_BYTES,
    SEND_BYTES_PER_SECOND, SnapshotError, Stage, decode_snapshot, encode_snapshot, message,
};
use simulation::*;
use test_case::test_case;

/// Kills these routers at once and restarts them 1 s later, with or without their disks.
fn restart(network: &mut SimulatedNetwork, who: std::ops::Range<usize>, disks: bool) {
    for n in who.clone() {
        network.kill(n);
        if !disks {
            network.disks[n] = None;
        }
    }
    network.advance(S);
    who.for_each(|n| network.start(n));
}

#[test]
fn one_router_recovers_from_its_peers() {
    for seed in 1..=20 {
        let mut network = SimulatedNetwork::settled(seed, 20);
        restart(&mut network, 3..4, false);
        let back = |p: &SimulatedNetwork| p.at(3).peers.stage() == Stage::Recovered(3);
        assert!(network.run_until(2 * S, back), "seed {seed}: {:?}", network.at(3).peers.stage());
        assert_eq!(network.value_of(3, FactKind::ConcurrencyLimit, 9), Some(13.0));
        assert_eq!(
            (network.value_of(3, FactKind::Draining, 0), network.value_of(3, FactKind::Ejected, 1)),
            (Some(1.0), Some(1.0))
        );
        assert_eq!(network.check(), Ok(()));
    }
}

// One of three peers reports wrong values, which the median discards.
#[test]
fn one_wrong_peer_of_three_is_outvoted() {
    let mut wrong = 0;
    for seed in 1..=20 {
        let mut network = SimulatedNetwork::settled(seed, 4);
        network.faulty_peer = Some(1);
        network.advance(3 * S);
        restart(&mut network, 3..4, false);
        assert!(network.run_until(5 * S, |p| p.at(3).peers.stage() != Stage::Requesting));
        wrong +=
            usize::from(network.value_of(3, FactKind::ConcurrencyLimit, 9).is_some_and(|limit| limit < 1.0));
    }
    assert_eq!(wrong, 0);
}

// A single survivor among restarted routers is not overloaded with requests, and its facts are used, since
// empty peers do not count as responses.
#[test_case(0.0)]
#[test_case(0.1; "a tenth is lost")]
fn a_lone_survivor_is_not_overloaded_and_its_facts_are_used(lost: f64) {
    for seed in 1..=10 {
        let mut network = SimulatedNetwork::settled(seed, 20);
        network.link = lossy(lost);
        restart(&mut network, 1..20, false);
        let all =
            |p: &SimulatedNetwork| (1..20).all(|n| matches!(p.at(n).peers.stage(), Stage::Recovered(_)));
        assert!(network.run_until(RECOVERY_WINDOW + S, all), "seed {seed}");
        assert!((1..20).all(|n| network.value_of(n, FactKind::Draining, 0) == Some(1.0)), "seed {seed}");
        let most = |of: &std::collections::BTreeMap<(usize, u64), u64>| {
            of.iter().filter(|((n, _), _)| *n == 0).map(|(_, k)| *k).max().unwrap_or(0)
        };
        let (asks, bytes) = (most(&network.requests_received), most(&network.bytes_sent));
        // One request and four further pages from each router.
        assert!(asks <= 5 * 19, "seed {seed}: {asks} requests in a tenth of a second");
        assert!(
            bytes <= SEND_BURST_BYTES + SEND_BYTES_PER_SECOND / 10 + 2_000,
            "seed {seed}: {bytes} bytes in a tenth of a second"
        );
        assert_eq!(network.check(), Ok(()));
    }
}

// If all routers restart without disks, there are no facts, and they report that they are empty.
#[test]
fn all_at_once_without_disks_make_nothing_up() {
    let mut network = SimulatedNetwork::settled(3, 20);
    restart(&mut network, 0..20, false);
    network.advance(RECOVERY_WINDOW + S);
    for n in 0..20 {
        assert_eq!((network.at(n).peers.stage(), network.at(n).facts.len()), (Stage::Exhausted, 0));
        assert!(network.at(n).peers.requests_sent() <= MAX_REQUESTS);
    }
    assert!(!network.at(0).peers.can_serve(network.now - 2 * S), "it reports itself empty");
    network.advance(4 * S);
    assert_eq!(network.value_of(7, FactKind::ConcurrencyLimit, 9), Some(13.0), "its own observation");
}

// If all routers restart with their disks, each has its facts at their actual ages.
#[test]
fn all_at_once_with_disks_have_what_they_knew() {
    let mut network = SimulatedNetwork::settled(4, 20);
    restart(&mut network, 0..20, true);
    for n in 0..20 {
        assert_eq!(
            network.value_of(n, FactKind::Draining, 0),
            Some(1.0),
            "restored before any peer is asked"
        );
        let limit =
            network.at(n).facts.get(network.now, &key_of(FactKind::ConcurrencyLimit, 9)).expect("kept");
        assert!((S..4 * S).contains(&limit.age), "{limit:?}");
    }
    network.advance(2 * S);
    assert_eq!(network.check(), Ok(()));
}

/// A snapshot with this kind of damage.
fn damaged_snapshot(kind: &str, whole: &[u8]) -> Vec<u8> {
    match kind {
        "truncated" => whole[..whole.len() - 9].to_vec(),
        "flipped bit" => {
            let mut bytes = whole.to_vec();
            bytes[whole.len() / 2] ^= 4;
            bytes
        }
        "empty" => Vec::new(),
        "text" => b"certainly no snapshot".repeat(50),
        "format" => {
            let mut bytes = whole[..whole.len() - 16].to_vec();
            bytes[4] = 9;
            let sum = blake3::hash(&bytes);
            bytes.extend_from_slice(&sum.as_bytes()[..16]);
            bytes
        }
        "too large" => vec![0; MAX_SNAPSHOT_BYTES + 1],
        _ => encode_snapshot(99, Some(BootId(7)), 0, 0, &Facts::default()),
    }
}

#[test_case("truncated", SnapshotError::Corrupt)]
#[test_case("flipped bit", SnapshotError::Corrupt)]
#[test_case("empty", SnapshotError::Corrupt)]
#[test_case("text", SnapshotError::Corrupt)]
#[test_case("format", SnapshotError::UnsupportedFormat(9))]
#[test_case("too large", SnapshotError::TooLarge(MAX_SNAPSHOT_BYTES + 1))]
#[test_case("another router", SnapshotError::WrongRouter)]
fn an_unusable_snapshot_is_named_and_replaced(kind: &str, why: SnapshotError) {
    let mut network = SimulatedNetwork::settled(5, 6);
    network.kill(2);
    let whole = network.disks[2].clone().expect("written");
    network.disks[2] = Some(damaged_snapshot(kind, &whole));
    network.start(2);
    assert_eq!((network.at(2).unusable, network.at(2).facts.len()), (Some(why), 0));
    assert!(
        network.run_until(2 * S, |p| matches!(p.at(2).peers.stage(), Stage::Recovered(_))),
        "from its peers"
    );
    assert_eq!(network.value_of(2, FactKind::ConcurrencyLimit, 9), Some(13.0));
    network.advance(3 * S);
    network.kill(2);
    network.start(2);
    assert_eq!(network.at(2).unusable, None, "the snapshot was rewritten");
}

#[test]
fn every_damaged_or_truncated_snapshot_is_refused() {
    let network = SimulatedNetwork::settled(6, 2);
    let whole = network.disks[1].clone().expect("written");
    for at in 0..whole.len() {
        assert!(decode_snapshot(1, Some(BootId(7)), network.now, &whole[..at]).is_err(), "cut at {at}");
        for bit in 0..8 {
            let mut altered = whole.clone();
            altered[at] ^= 1 << bit;
            assert!(
                decode_snapshot(1, Some(BootId(7)), network.now, &altered).is_err(),
                "bit {bit} of byte {at}"
            );
        }
    }
}

// After a reboot, without a boot id, or if the boot clock went backwards, the age of a fact is unknown and it
// is treated as old as it can be.
#[test_case(Some(BootId(7)), Some(BootId(8)), 0; "another boot")]
#[test_case(None, Some(BootId(7)), 0; "written without one")]
#[test_case(Some(BootId(7)), None, 0; "read without one")]
#[test_case(Some(BootId(7)), Some(BootId(7)), S; "the clock went back")]
fn a_fact_of_unknown_age_counts_as_the_oldest(then: Option<BootId>, now: Option<BootId>, back: u64) {
    let mut facts = Facts::default();
    (0..2).flat_map(expected_facts).for_each(|f| facts.insert(5 * S, f));
    let bytes = encode_snapshot(1, then, 5 * S, 5 * S, &facts);
    let read = decode_snapshot(1, now, 5 * S - back, &bytes).expect("whole");
    let weight =
        |kind: FactKind, key| read.iter().find(|f| f.key == key_of(kind, key)).map_or(0.0, Fact::weight);
    assert!(weight(FactKind::ConcurrencyLimit, 0) < 1e-6 && weight(FactKind::Ejected, 1) < 1e-6);
    assert_eq!(weight(FactKind::Draining, 0), 1.0, "a drain is kept");
    let mut facts = Facts::default();
    read.iter().for_each(|f| facts.insert(S, *f));
    assert_eq!(
        facts.iter(30 * S).filter(|f| f.key.kind == FactKind::Draining).count(),
        1,
        "kept for a while"
    );
}

#[test]
fn an_older_snapshot_counts_by_its_age() {
    let mut network = SimulatedNetwork::settled(7, 4);
    let old = network.disks[1].clone();
    network.advance(40 * S);
    network.kill(1);
    network.disks[1] = old;
    network.start(1);
    assert_eq!(network.value_of(1, FactKind::ConcurrencyLimit, 9), None, "expired");
    assert_eq!(network.value_of(1, FactKind::Draining, 0), Some(1.0));
    assert!(network.value_of(1, FactKind::Ejected, 1).is_some(), "still has weight");
}

// The number of facts is bounded, and facts expire with age and with the incarnation of their worker.
#[test]
fn facts_age_end_and_make_room() {
    let mut facts = Facts::default();
    let fact = |key, incarnation, age| Fact {
        key: FactKey { kind: FactKind::ConcurrencyLimit, subject: key, incarnation },
        value: 1.0,
        age,
    };
    facts.insert(0, fact(1, 5, 0));
    facts.insert(0, fact(1, 4, 0));
    assert_eq!(
        facts.iter(0).map(|f| f.key.incarnation).collect::<Vec<_>>(),
        [5],
        "an earlier incarnation is ignored"
    );
    facts.insert(0, fact(1, 6, 0));
    assert_eq!(
        facts.iter(0).map(|f| f.key.incarnation).collect::<Vec<_>>(),
        [6],
        "a later incarnation replaces the fact"
    );
    facts.insert(S, fact(1, 6, 3 * S));
    assert_eq!(facts.iter(S).map(|f| f.age).collect::<Vec<_>>(), [S], "the more recent fact is kept");
    let half = fact(1, 6, (5 * S + 30 * S) / 2).weight();
    assert!((half - 0.5).abs() < 1e-6, "{half}");
    facts.insert(S, Fact { value: f32::NAN, ..fact(7, 1, 0) });
    facts.insert(S, fact(8, 1, 30 * S));
    assert_eq!(facts.len(), 1, "non-finite values and expired facts are ignored");
    for key in 0..MAX_FACTS as u64 + 10 {
        facts.insert(2 * S, fact(key, 7, 100 - key.min(100)));
    }
    assert_eq!(facts.len(), MAX_FACTS);
    facts.remove_expired(60 * S);
    assert!(facts.is_empty());
}

// A message truncated at any byte is rejected, and a response without a request has no effect.
#[test]
fn malformed_and_unrequested_messages_change_nothing() {
    let mut network = SimulatedNetwork::settled(8, 3);
    let some: Vec<Fact> = expected_facts(3);
    let messages = [
        message::encode_request(router(1), 5, 0),
        message::encode_page(router(1), 5, 0, true, &some),
        message::encode_retry_later(router(1), 5, 100),
        message::encode_empty(router(1), 5),
    ];
    for message in &messages {
        assert_eq!(message::decode(message, &mut Number(0)), Ok(()));
        (0..message.len()).for_each(|at| {
            assert_eq!(message::decode(&message[..at], &mut Number(0)), Err(MalformedMessage), "cut at {at}");
        });
    }
    let own = Fact { key: key_of(FactKind::TrafficBaseline, 0), value: 1.0, age: 0 };
    let nan = Fact { value: f32::INFINITY, ..some[0] };
    for facts in [vec![own], vec![nan], vec![some[0]; FACTS_PER_PAGE + 1]] {
        let message = message::encode_page(router(1), 5, 0, true, &facts);
        assert_eq!(message::decode(&message, &mut Number(0)), Err(MalformedMessage));
    }
    network.kill(2);
    network.disks[2] = None;
    network.start(2);
    let now = network.now;
    let p = network.all[2].as_mut().expect("there");
    p.peers.on_page(now, router(1), 5, 0, true, some, &mut Messages::default());
    assert_eq!(p.peers.stage(), Stage::Requesting);
    assert!(
        p.peers.wake(now + RECOVERY_WINDOW, &[], &mut Messages::default()).is_empty(),
        "it was not asked"
    );
    assert_eq!(p.peers.stage(), Stage::Exhausted);
}

// The facts of a single responding peer count as half expired. A fact that only one of three peers reports is
// dropped.
#[test]
fn the_facts_of_one_peer_count_half() {
    let mut network = SimulatedNetwork::settled(10, 2);
    restart(&mut network, 1..2, false);
    assert!(network.run_until(RECOVERY_WINDOW + S, |p| p.at(1).peers.stage() == Stage::Recovered(1)));
    let limit = network.at(1).facts.get(network.now, &key_of(FactKind::ConcurrencyLimit, 9)).expect("merged");
    assert!(limit.age >= FactKind::ConcurrencyLimit.lifetime().expiry / 2, "{limit:?}");
    let mut network = SimulatedNetwork::settled(11, 4);
    let (now, alone) = (network.now, Fact { key: key_of(FactKind::Ejected, 50), value: 1.0, age: 0 });
    network.all[1].as_mut().expect("there").facts.insert(now, alone);
    restart(&mut network, 3..4, false);
    assert!(network.run_until(RECOVERY_WINDOW + S, |p| p.at(3).peers.stage() == Stage::Recovered(3)));
    assert_eq!(network.value_of(3, FactKind::Ejected, 50), None);
}

#[derive(Default)]
struct Messages(Vec<Vec<u8>>);

impl Actions for Messages {
    fn send(&mut self, _: applepond_membership::RouterId, message: Vec<u8>) {
        self.0.push(message);
    }
}

/// Captures the number of a request.
struct Number(u64);

impl message::MessageVisitor for Number {
    fn on_request(&mut self, _: applepond_membership::RouterId, number: u64, _: u16) {
        self.0 = number;
    }
    fn on_page(&mut self, _: applepond_membership::RouterId, _: u64, _: u16, _: bool, _: Vec<Fact>) {}
    fn on_retry_later(&mut self, _: applepond_membership::RouterId, _: u64, _: u64) {}
    fn on_empty(&mut self, _: applepond_membership::RouterId, _: u64) {}
}

// A response to another request or for another page is ignored.
#[test_case(0, 0, 2; "its own")]
#[test_case(1, 0, 0; "another request")]
#[test_case(0, 1, 0; "another page")]
fn only_the_answer_to_the_latest_request_counts(other: u64, page: u16, applied: usize) {
    let (mut peers, mut out, mut number) =
        (PeerRecovery::new(0, router(0), 1), Messages::default(), Number(0));
    peers.wake(S, &[router(1)], &mut out);
    message::decode(&out.0[0], &mut number).expect("a request");
    peers.on_page(S, router(1), number.0 ^ other, page, true, expected_facts(3), &mut out);
    assert_eq!(peers.wake(RECOVERY_WINDOW, &[router(1)], &mut out).len(), applied);
}

/// How many of 19 routers that restart at once have lost a drain.
fn forgotten_drains(guards: Guards) -> usize {
    let mut network = SimulatedNetwork::settled(9, 20);
    network.guards = guards;
    restart(&mut network, 1..20, false);
    network.advance(RECOVERY_WINDOW + S);
    (1..20).filter(|n| network.value_of(*n, FactKind::Draining, 0).is_none()).count()
}

/// The maximum number of bytes that one router sends in a tenth of a second to 119 that restart at once.
fn burst_bytes(guards: Guards) -> u64 {
    let mut network = SimulatedNetwork::new(9, 120);
    network.guards = guards;
    network.advance(12 * S);
    network.kill(0);
    network.start(0);
    network.advance(10 * S);
    network.bytes_sent.clear();
    restart(&mut network, 1..120, false);
    network.advance(RECOVERY_WINDOW);
    let of_one = network.bytes_sent.iter().filter(|((n, _), _)| *n == 0).map(|(_, bytes)| *bytes);
    of_one.max().unwrap_or(0)
}

/// In how many of 20 fleets a router uses the values of one faulty peer among three.
fn believed_lies(guards: Guards) -> usize {
    (1..=20)
        .filter(|seed| {
            let mut network = SimulatedNetwork::settled(*seed, 4);
            network.faulty_peer = Some(1);
            network.guards = guards;
            network.advance(3 * S);
            restart(&mut network, 3..4, false);
            network.advance(RECOVERY_WINDOW + S);
            network.value_of(3, FactKind::ConcurrencyLimit, 9).is_some_and(|limit| limit < 1.0)
        })
        .count()
}

// Disabling any one of the checks has an observable effect.
#[test]
fn each_missing_guard_is_seen() {
    assert_eq!(forgotten_drains(Guards::ALL), 0);
    assert!(
        forgotten_drains(Guards { reports_empty: false, ..Guards::ALL }) > 5,
        "empty responses were used"
    );
    let (with, without) =
        (burst_bytes(Guards::ALL), burst_bytes(Guards { spreads_retries: false, ..Guards::ALL }));
    assert!(
        with < without && with <= SEND_BURST_BYTES + SEND_BYTES_PER_SECOND / 10 + 2_000,
        "{with} and {without} bytes"
    );
    assert_eq!(believed_lies(Guards::ALL), 0);
    assert!(believed_lies(Guards { median: false, ..Guards::ALL }) > 10);
}

#[test]
fn each_error_says_what_to_do() {
    use miette::Diagnostic;
    assert!(SnapshotError::EACH.iter().all(|e| e.code().is_some() && e.help().is_some()));
    assert!(MalformedMessage.help().is_some());
}
