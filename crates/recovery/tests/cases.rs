//! Routers that come back: one, most, all at once; with disks that were lost, bent or put back.
#[path = "points/paper.rs"]
mod world;
use applepond_recovery::*;
use test_case::test_case;
use world::*;

/// Kills these at once and starts them 1 s later; their disks kept or lost.
fn restart(paper: &mut SimulatedNetwork, who: std::ops::Range<usize>, disks: bool) {
    for n in who.clone() {
        paper.kill(n);
        if !disks {
            paper.disks[n] = None;
        }
    }
    paper.pass(S);
    who.for_each(|n| paper.start(n));
}

#[test]
fn one_comes_back_from_its_peers() {
    for seed in 1..=20 {
        let mut paper = SimulatedNetwork::settled(seed, 20);
        restart(&mut paper, 3..4, false);
        let back = |p: &SimulatedNetwork| p.at(3).peers.stage() == Stage::Recovered(3);
        assert!(paper.until(2 * S, back), "seed {seed}: {:?}", paper.at(3).peers.stage());
        assert_eq!(paper.holds(3, FactKind::ConcurrencyLimit, 9), Some(13.0));
        assert_eq!(
            (paper.holds(3, FactKind::Draining, 0), paper.holds(3, FactKind::Ejected, 1)),
            (Some(1.0), Some(1.0))
        );
        assert_eq!(paper.sound(), Ok(()));
    }
}

// One of three says other than it sees: the middle one holds.
#[test]
fn not_ones_word() {
    let mut wrong = 0;
    for seed in 1..=20 {
        let mut paper = SimulatedNetwork::settled(seed, 4);
        paper.liar = Some(1);
        paper.pass(3 * S);
        restart(&mut paper, 3..4, false);
        assert!(paper.until(5 * S, |p| p.at(3).peers.stage() != Stage::Requesting));
        wrong += usize::from(paper.holds(3, FactKind::ConcurrencyLimit, 9).is_some_and(|room| room < 1.0));
    }
    assert_eq!(wrong, 0);
}

// A lone survivor is not taken for all of them, is not overrun, and nobody believes the others' emptiness.
#[test_case(0.0)]
#[test_case(0.1; "a tenth is lost")]
fn nineteen_at_once(lost: f64) {
    for seed in 1..=10 {
        let mut paper = SimulatedNetwork::settled(seed, 20);
        paper.link = lossy(lost);
        restart(&mut paper, 1..20, false);
        let all =
            |p: &SimulatedNetwork| (1..20).all(|n| matches!(p.at(n).peers.stage(), Stage::Recovered(_)));
        assert!(paper.until(RECOVERY_WINDOW + S, all), "seed {seed}");
        assert!((1..20).all(|n| paper.holds(n, FactKind::Draining, 0) == Some(1.0)), "seed {seed}");
        let most = |of: &std::collections::BTreeMap<(usize, u64), u64>| {
            of.iter().filter(|((n, _), _)| *n == 0).map(|(_, k)| *k).max().unwrap_or(0)
        };
        let (asks, bytes) = (most(&paper.asked), most(&paper.gave));
        // A page each and four that follow.
        assert!(asks <= 5 * 19, "seed {seed}: {asks} asks in a tenth of a second");
        assert!(
            bytes <= SEND_BURST_BYTES + SEND_BYTES_PER_SECOND / 10 + 2_000,
            "seed {seed}: {bytes} bytes in a tenth of a second"
        );
        assert_eq!(paper.sound(), Ok(()));
    }
}

// All at once and nobody knows anything: nothing is made up, and it is known that nothing is known.
#[test]
fn all_at_once_without_disks() {
    let mut paper = SimulatedNetwork::settled(3, 20);
    restart(&mut paper, 0..20, false);
    paper.pass(RECOVERY_WINDOW + S);
    for n in 0..20 {
        assert_eq!((paper.at(n).peers.stage(), paper.at(n).facts.len()), (Stage::Exhausted, 0));
        assert!(paper.at(n).peers.requests_sent() <= MAX_REQUESTS);
    }
    assert!(!paper.at(0).peers.can_serve(paper.now - 2 * S), "and it says so to others");
    paper.pass(4 * S);
    assert_eq!(paper.holds(7, FactKind::ConcurrencyLimit, 9), Some(13.0), "what it sees itself");
}

// All at once with their disks: each has what it knew, as old as it is.
#[test]
fn all_at_once_with_disks() {
    let mut paper = SimulatedNetwork::settled(4, 20);
    restart(&mut paper, 0..20, true);
    for n in 0..20 {
        assert_eq!(paper.holds(n, FactKind::Draining, 0), Some(1.0), "before anybody is asked");
        let room = paper.at(n).facts.get(paper.now, &about(FactKind::ConcurrencyLimit, 9)).expect("kept");
        assert!((S..4 * S).contains(&room.age), "{room:?}");
    }
    paper.pass(2 * S);
    assert_eq!(paper.sound(), Ok(()));
}

/// A file as it may be found.
fn disk(kind: &str, whole: &[u8]) -> Vec<u8> {
    match kind {
        "cut" => whole[..whole.len() - 9].to_vec(),
        "a bit" => {
            let mut bytes = whole.to_vec();
            bytes[whole.len() / 2] ^= 4;
            bytes
        }
        "empty" => Vec::new(),
        "text" => b"certainly no snapshot".repeat(50),
        "form" => {
            let mut bytes = whole[..whole.len() - 16].to_vec();
            bytes[4] = 9;
            let sum = blake3::hash(&bytes);
            bytes.extend_from_slice(&sum.as_bytes()[..16]);
            bytes
        }
        "long" => vec![0; MAX_SNAPSHOT_BYTES + 1],
        _ => encode_snapshot(99, Some(BootId(7)), 0, 0, &Facts::default()),
    }
}

#[test_case("cut", SnapshotError::Corrupt)]
#[test_case("a bit", SnapshotError::Corrupt)]
#[test_case("empty", SnapshotError::Corrupt)]
#[test_case("text", SnapshotError::Corrupt)]
#[test_case("form", SnapshotError::UnsupportedFormat(9))]
#[test_case("long", SnapshotError::TooLarge(MAX_SNAPSHOT_BYTES + 1))]
#[test_case("somebody else's", SnapshotError::WrongRouter)]
fn a_disk_that_lies(kind: &str, why: SnapshotError) {
    let mut paper = SimulatedNetwork::settled(5, 6);
    paper.kill(2);
    let whole = paper.disks[2].clone().expect("written");
    paper.disks[2] = Some(disk(kind, &whole));
    paper.start(2);
    assert_eq!((paper.at(2).unusable, paper.at(2).facts.len()), (Some(why), 0));
    assert!(paper.until(2 * S, |p| matches!(p.at(2).peers.stage(), Stage::Recovered(_))), "from its peers");
    assert_eq!(paper.holds(2, FactKind::ConcurrencyLimit, 9), Some(13.0));
    paper.pass(3 * S);
    paper.kill(2);
    paper.start(2);
    assert_eq!(paper.at(2).unusable, None, "written anew");
}

#[test]
fn every_bit_and_every_length() {
    let paper = SimulatedNetwork::settled(6, 2);
    let whole = paper.disks[1].clone().expect("written");
    for at in 0..whole.len() {
        assert!(decode_snapshot(1, Some(BootId(7)), paper.now, &whole[..at]).is_err(), "cut at {at}");
        for bit in 0..8 {
            let mut bent = whole.clone();
            bent[at] ^= 1 << bit;
            assert!(decode_snapshot(1, Some(BootId(7)), paper.now, &bent).is_err(), "bit {bit} of byte {at}");
        }
    }
}

// Another boot, no word of a boot, or a clock that went back: each fact is as old as it may be.
#[test_case(Some(BootId(7)), Some(BootId(8)), 0; "another boot")]
#[test_case(None, Some(BootId(7)), 0; "written without one")]
#[test_case(Some(BootId(7)), None, 0; "read without one")]
#[test_case(Some(BootId(7)), Some(BootId(7)), S; "the clock went back")]
fn an_age_that_nobody_knows(then: Option<BootId>, now: Option<BootId>, back: u64) {
    let mut facts = Facts::default();
    (0..2).flat_map(truth).for_each(|f| facts.insert(5 * S, f));
    let bytes = encode_snapshot(1, then, 5 * S, 5 * S, &facts);
    let read = decode_snapshot(1, now, 5 * S - back, &bytes).expect("whole");
    let weight =
        |what: FactKind, key| read.iter().find(|f| f.key == about(what, key)).map_or(0.0, Fact::weight);
    assert!(weight(FactKind::ConcurrencyLimit, 0) < 1e-6 && weight(FactKind::Ejected, 1) < 1e-6);
    assert_eq!(weight(FactKind::Draining, 0), 1.0, "a drain is kept");
    let mut facts = Facts::default();
    read.iter().for_each(|f| facts.insert(S, *f));
    assert_eq!(facts.iter(30 * S).filter(|f| f.key.kind == FactKind::Draining).count(), 1, "for a while");
}

#[test]
fn an_older_file_in_place() {
    let mut paper = SimulatedNetwork::settled(7, 4);
    let old = paper.disks[1].clone();
    paper.pass(40 * S);
    paper.kill(1);
    paper.disks[1] = old;
    paper.start(1);
    assert_eq!(paper.holds(1, FactKind::ConcurrencyLimit, 9), None, "older than it counts");
    assert_eq!(paper.holds(1, FactKind::Draining, 0), Some(1.0));
    assert!(paper.holds(1, FactKind::Ejected, 1).is_some(), "counts less");
}

// What is known has a bound, ages, and ends with the life of what it is about.
#[test]
fn facts_age_end_and_make_room() {
    let mut facts = Facts::default();
    let fact = |key, life, age| Fact {
        key: FactKey { kind: FactKind::ConcurrencyLimit, subject: key, incarnation: life },
        value: 1.0,
        age,
    };
    facts.insert(0, fact(1, 5, 0));
    facts.insert(0, fact(1, 4, 0));
    assert_eq!(facts.iter(0).map(|f| f.key.incarnation).collect::<Vec<_>>(), [5], "not of a life before");
    facts.insert(0, fact(1, 6, 0));
    assert_eq!(
        facts.iter(0).map(|f| f.key.incarnation).collect::<Vec<_>>(),
        [6],
        "the next one has nothing of it"
    );
    facts.insert(S, fact(1, 6, 3 * S));
    assert_eq!(facts.iter(S).map(|f| f.age).collect::<Vec<_>>(), [S], "the younger word holds");
    let half = fact(1, 6, (5 * S + 30 * S) / 2).weight();
    assert!((half - 0.5).abs() < 1e-6, "{half}");
    facts.insert(S, Fact { value: f32::NAN, ..fact(7, 1, 0) });
    facts.insert(S, fact(8, 1, 30 * S));
    assert_eq!(facts.len(), 1, "no number, and nothing that is over");
    for key in 0..MAX_FACTS as u64 + 10 {
        facts.insert(2 * S, fact(key, 7, 100 - key.min(100)));
    }
    assert_eq!(facts.len(), MAX_FACTS);
    facts.remove_expired(60 * S);
    assert!(facts.is_empty());
}

// Cut anywhere a message is refused, and what nobody asked for changes nothing.
#[test]
fn messages_cut_and_unasked() {
    let mut paper = SimulatedNetwork::settled(8, 3);
    let some: Vec<Fact> = truth(3);
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
    let own = Fact { key: about(FactKind::TrafficBaseline, 0), value: 1.0, age: 0 };
    let nan = Fact { value: f32::INFINITY, ..some[0] };
    for facts in [vec![own], vec![nan], vec![some[0]; FACTS_PER_PAGE + 1]] {
        let message = message::encode_page(router(1), 5, 0, true, &facts);
        assert_eq!(message::decode(&message, &mut Number(0)), Err(MalformedMessage));
    }
    paper.kill(2);
    paper.disks[2] = None;
    paper.start(2);
    let now = paper.now;
    let p = paper.all[2].as_mut().expect("there");
    p.peers.on_page(now, router(1), 5, 0, true, some, &mut Messages::default());
    assert_eq!(p.peers.stage(), Stage::Requesting);
    assert!(p.peers.wake(now + RECOVERY_WINDOW, &[], &mut Messages::default()).is_empty(), "nobody asked it");
    assert_eq!(p.peers.stage(), Stage::Exhausted);
}

// A lone survivor's word is half gone already; what one of three says alone is left out.
#[test]
fn a_lone_word() {
    let mut paper = SimulatedNetwork::settled(10, 2);
    restart(&mut paper, 1..2, false);
    assert!(paper.until(RECOVERY_WINDOW + S, |p| p.at(1).peers.stage() == Stage::Recovered(1)));
    let room = paper.at(1).facts.get(paper.now, &about(FactKind::ConcurrencyLimit, 9)).expect("told");
    assert!(room.age >= FactKind::ConcurrencyLimit.lifetimes().1 / 2, "{room:?}");
    let mut paper = SimulatedNetwork::settled(11, 4);
    let (now, alone) = (paper.now, Fact { key: about(FactKind::Ejected, 50), value: 1.0, age: 0 });
    paper.all[1].as_mut().expect("there").facts.insert(now, alone);
    restart(&mut paper, 3..4, false);
    assert!(paper.until(RECOVERY_WINDOW + S, |p| p.at(3).peers.stage() == Stage::Recovered(3)));
    assert_eq!(paper.holds(3, FactKind::Ejected, 50), None);
}

#[derive(Default)]
struct Messages(Vec<Vec<u8>>);

impl Actions for Messages {
    fn send(&mut self, _: applepond_membership::RouterId, message: Vec<u8>) {
        self.0.push(message);
    }
}

/// The number of an ask.
struct Number(u64);

impl message::MessageVisitor for Number {
    fn on_request(&mut self, _: applepond_membership::RouterId, number: u64, _: u16) {
        self.0 = number;
    }
    fn on_page(&mut self, _: applepond_membership::RouterId, _: u64, _: u16, _: bool, _: Vec<Fact>) {}
    fn on_retry_later(&mut self, _: applepond_membership::RouterId, _: u64, _: u64) {}
    fn on_empty(&mut self, _: applepond_membership::RouterId, _: u64) {}
}

// An answer to another ask, or another page, is none.
#[test_case(0, 0, 2; "its own")]
#[test_case(1, 0, 0; "another ask")]
#[test_case(0, 1, 0; "another page")]
fn an_answer_to_its_ask(other: u64, page: u16, taken: usize) {
    let (mut peers, mut out, mut number) =
        (PeerRecovery::new(0, router(0), 1), Messages::default(), Number(0));
    peers.wake(S, &[router(1)], &mut out);
    message::decode(&out.0[0], &mut number).expect("an ask");
    peers.on_page(S, router(1), number.0 ^ other, page, true, truth(3), &mut out);
    assert_eq!(peers.wake(RECOVERY_WINDOW, &[router(1)], &mut out).len(), taken);
}

// Each guard taken out is seen from outside.
#[test]
fn guards_taken_out() {
    let emptiness = |guards: Guards| {
        let mut paper = SimulatedNetwork::settled(9, 20);
        paper.guards = guards;
        restart(&mut paper, 1..20, false);
        paper.pass(RECOVERY_WINDOW + S);
        (1..20).filter(|n| paper.holds(*n, FactKind::Draining, 0).is_none()).count()
    };
    assert_eq!(emptiness(Guards::ALL), 0);
    assert!(emptiness(Guards { reports_empty: false, ..Guards::ALL }) > 5, "emptiness was believed");
    let rush = |guards: Guards| {
        let mut paper = SimulatedNetwork::new(9, 120);
        paper.guards = guards;
        paper.pass(12 * S);
        paper.kill(0);
        paper.start(0);
        paper.pass(10 * S);
        paper.gave.clear();
        restart(&mut paper, 1..120, false);
        paper.pass(RECOVERY_WINDOW);
        let of_one = paper.gave.iter().filter(|((n, _), _)| *n == 0).map(|(_, bytes)| *bytes);
        of_one.max().unwrap_or(0)
    };
    let (with, without) = (rush(Guards::ALL), rush(Guards { spreads_retries: false, ..Guards::ALL }));
    assert!(
        with < without && with <= SEND_BURST_BYTES + SEND_BYTES_PER_SECOND / 10 + 2_000,
        "{with} and {without} bytes"
    );
    let lie = |guards: Guards| {
        (1..=20)
            .filter(|seed| {
                let mut paper = SimulatedNetwork::settled(*seed, 4);
                paper.liar = Some(1);
                paper.guards = guards;
                paper.pass(3 * S);
                restart(&mut paper, 3..4, false);
                paper.pass(RECOVERY_WINDOW + S);
                paper.holds(3, FactKind::ConcurrencyLimit, 9).is_some_and(|room| room < 1.0)
            })
            .count()
    };
    assert_eq!(lie(Guards::ALL), 0);
    assert!(lie(Guards { median: false, ..Guards::ALL }) > 10);
}

#[test]
fn errors_say_what_to_do() {
    use miette::Diagnostic;
    assert!(SnapshotError::EACH.iter().all(|e| e.code().is_some() && e.help().is_some()));
    assert!(MalformedMessage.help().is_some());
}
