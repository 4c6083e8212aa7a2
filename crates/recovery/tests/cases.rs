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
        let back = |p: &SimulatedNetwork| p.at(3).peers.stage() == Stage::Told(3);
        assert!(paper.until(2 * S, back), "seed {seed}: {:?}", paper.at(3).peers.stage());
        assert_eq!(paper.holds(3, What::Room, 9), Some(13.0));
        assert_eq!((paper.holds(3, What::Drain, 0), paper.holds(3, What::Aside, 1)), (Some(1.0), Some(1.0)));
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
        assert!(paper.until(5 * S, |p| p.at(3).peers.stage() != Stage::Asking));
        wrong += usize::from(paper.holds(3, What::Room, 9).is_some_and(|room| room < 1.0));
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
        let all = |p: &SimulatedNetwork| (1..20).all(|n| matches!(p.at(n).peers.stage(), Stage::Told(_)));
        assert!(paper.until(SPAN + S, all), "seed {seed}");
        assert!((1..20).all(|n| paper.holds(n, What::Drain, 0) == Some(1.0)), "seed {seed}");
        let most = |of: &std::collections::BTreeMap<(usize, u64), u64>| {
            of.iter().filter(|((n, _), _)| *n == 0).map(|(_, k)| *k).max().unwrap_or(0)
        };
        let (asks, bytes) = (most(&paper.asked), most(&paper.gave));
        // A page each and four that follow.
        assert!(asks <= 5 * 19, "seed {seed}: {asks} asks in a tenth of a second");
        assert!(
            bytes <= GIVE_AT_ONCE + GIVE / 10 + 2_000,
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
    paper.pass(SPAN + S);
    for n in 0..20 {
        assert_eq!((paper.at(n).peers.stage(), paper.at(n).facts.len()), (Stage::Untold, 0));
        assert!(paper.at(n).peers.asks() <= ASKS_MOST);
    }
    assert!(!paper.at(0).peers.is_ripe(paper.now - 2 * S), "and it says so to others");
    paper.pass(4 * S);
    assert_eq!(paper.holds(7, What::Room, 9), Some(13.0), "what it sees itself");
}

// All at once with their disks: each has what it knew, as old as it is.
#[test]
fn all_at_once_with_disks() {
    let mut paper = SimulatedNetwork::settled(4, 20);
    restart(&mut paper, 0..20, true);
    for n in 0..20 {
        assert_eq!(paper.holds(n, What::Drain, 0), Some(1.0), "before anybody is asked");
        let room = paper.at(n).facts.get(paper.now, &about(What::Room, 9)).expect("kept");
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
        "long" => vec![0; SNAPSHOT_MOST + 1],
        _ => write(99, Some(Boot(7)), 0, 0, &Facts::default()),
    }
}

#[test_case("cut", Unusable::Spoilt)]
#[test_case("a bit", Unusable::Spoilt)]
#[test_case("empty", Unusable::Spoilt)]
#[test_case("text", Unusable::Spoilt)]
#[test_case("form", Unusable::OtherForm(9))]
#[test_case("long", Unusable::Long(SNAPSHOT_MOST + 1))]
#[test_case("somebody else's", Unusable::Foreign)]
fn a_disk_that_lies(kind: &str, why: Unusable) {
    let mut paper = SimulatedNetwork::settled(5, 6);
    paper.kill(2);
    let whole = paper.disks[2].clone().expect("written");
    paper.disks[2] = Some(disk(kind, &whole));
    paper.start(2);
    assert_eq!((paper.at(2).unusable, paper.at(2).facts.len()), (Some(why), 0));
    assert!(paper.until(2 * S, |p| matches!(p.at(2).peers.stage(), Stage::Told(_))), "from its peers");
    assert_eq!(paper.holds(2, What::Room, 9), Some(13.0));
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
        assert!(read(1, Some(Boot(7)), paper.now, &whole[..at]).is_err(), "cut at {at}");
        for bit in 0..8 {
            let mut bent = whole.clone();
            bent[at] ^= 1 << bit;
            assert!(read(1, Some(Boot(7)), paper.now, &bent).is_err(), "bit {bit} of byte {at}");
        }
    }
}

// Another boot, no word of a boot, or a clock that went back: each fact is as old as it may be.
#[test_case(Some(Boot(7)), Some(Boot(8)), 0; "another boot")]
#[test_case(None, Some(Boot(7)), 0; "written without one")]
#[test_case(Some(Boot(7)), None, 0; "read without one")]
#[test_case(Some(Boot(7)), Some(Boot(7)), S; "the clock went back")]
fn an_age_that_nobody_knows(then: Option<Boot>, now: Option<Boot>, back: u64) {
    let mut facts = Facts::default();
    (0..2).flat_map(truth).for_each(|f| facts.note(5 * S, f));
    let bytes = write(1, then, 5 * S, 5 * S, &facts);
    let read = read(1, now, 5 * S - back, &bytes).expect("whole");
    let weight =
        |what: What, key| read.iter().find(|f| f.about == about(what, key)).map_or(0.0, Fact::weight);
    assert!(weight(What::Room, 0) < 1e-6 && weight(What::Aside, 1) < 1e-6);
    assert_eq!(weight(What::Drain, 0), 1.0, "a drain is kept");
    let mut facts = Facts::default();
    read.iter().for_each(|f| facts.note(S, *f));
    assert_eq!(facts.all(30 * S).filter(|f| f.about.what == What::Drain).count(), 1, "for a while");
}

#[test]
fn an_older_file_in_place() {
    let mut paper = SimulatedNetwork::settled(7, 4);
    let old = paper.disks[1].clone();
    paper.pass(40 * S);
    paper.kill(1);
    paper.disks[1] = old;
    paper.start(1);
    assert_eq!(paper.holds(1, What::Room, 9), None, "older than it counts");
    assert_eq!(paper.holds(1, What::Drain, 0), Some(1.0));
    assert!(paper.holds(1, What::Aside, 1).is_some(), "counts less");
}

// What is known has a bound, ages, and ends with the life of what it is about.
#[test]
fn facts_age_end_and_make_room() {
    let mut facts = Facts::default();
    let fact = |key, life, age| Fact { about: About { what: What::Room, key, life }, value: 1.0, age };
    facts.note(0, fact(1, 5, 0));
    facts.note(0, fact(1, 4, 0));
    assert_eq!(facts.all(0).map(|f| f.about.life).collect::<Vec<_>>(), [5], "not of a life before");
    facts.note(0, fact(1, 6, 0));
    assert_eq!(facts.all(0).map(|f| f.about.life).collect::<Vec<_>>(), [6], "the next one has nothing of it");
    facts.note(S, fact(1, 6, 3 * S));
    assert_eq!(facts.all(S).map(|f| f.age).collect::<Vec<_>>(), [S], "the younger word holds");
    let half = fact(1, 6, (5 * S + 30 * S) / 2).weight();
    assert!((half - 0.5).abs() < 1e-6, "{half}");
    facts.note(S, Fact { value: f32::NAN, ..fact(7, 1, 0) });
    facts.note(S, fact(8, 1, 30 * S));
    assert_eq!(facts.len(), 1, "no number, and nothing that is over");
    for key in 0..FACTS_MOST as u64 + 10 {
        facts.note(2 * S, fact(key, 7, 100 - key.min(100)));
    }
    assert_eq!(facts.len(), FACTS_MOST);
    facts.clear(60 * S);
    assert!(facts.is_empty());
}

// Cut anywhere a message is refused, and what nobody asked for changes nothing.
#[test]
fn messages_cut_and_unasked() {
    let mut paper = SimulatedNetwork::settled(8, 3);
    let some: Vec<Fact> = truth(3);
    let messages = [
        message::ask(router(1), 5, 0),
        message::give(router(1), 5, 0, true, &some),
        message::later(router(1), 5, 100),
        message::empty(router(1), 5),
    ];
    for message in &messages {
        assert_eq!(message::read(message, &mut Number(0)), Ok(()));
        (0..message.len()).for_each(|at| {
            assert_eq!(message::read(&message[..at], &mut Number(0)), Err(Unread), "cut at {at}");
        });
    }
    let own = Fact { about: about(What::Usual, 0), value: 1.0, age: 0 };
    let nan = Fact { value: f32::INFINITY, ..some[0] };
    for facts in [vec![own], vec![nan], vec![some[0]; PAGE + 1]] {
        let message = message::give(router(1), 5, 0, true, &facts);
        assert_eq!(message::read(&message, &mut Number(0)), Err(Unread));
    }
    paper.kill(2);
    paper.disks[2] = None;
    paper.start(2);
    let now = paper.now;
    let p = paper.all[2].as_mut().expect("there");
    p.peers.given(now, router(1), 5, 0, true, some, &mut Messages::default());
    assert_eq!(p.peers.stage(), Stage::Asking);
    assert!(p.peers.wake(now + SPAN, &[], &mut Messages::default()).is_empty(), "nobody asked it");
    assert_eq!(p.peers.stage(), Stage::Untold);
}

// A lone survivor's word is half gone already; what one of three says alone is left out.
#[test]
fn a_lone_word() {
    let mut paper = SimulatedNetwork::settled(10, 2);
    restart(&mut paper, 1..2, false);
    assert!(paper.until(SPAN + S, |p| p.at(1).peers.stage() == Stage::Told(1)));
    let room = paper.at(1).facts.get(paper.now, &about(What::Room, 9)).expect("told");
    assert!(room.age >= What::Room.ages().1 / 2, "{room:?}");
    let mut paper = SimulatedNetwork::settled(11, 4);
    let (now, alone) = (paper.now, Fact { about: about(What::Aside, 50), value: 1.0, age: 0 });
    paper.all[1].as_mut().expect("there").facts.note(now, alone);
    restart(&mut paper, 3..4, false);
    assert!(paper.until(SPAN + S, |p| p.at(3).peers.stage() == Stage::Told(3)));
    assert_eq!(paper.holds(3, What::Aside, 50), None);
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

impl message::Words for Number {
    fn asked(&mut self, _: applepond_membership::RouterId, number: u64, _: u16) {
        self.0 = number;
    }
    fn given(&mut self, _: applepond_membership::RouterId, _: u64, _: u16, _: bool, _: Vec<Fact>) {}
    fn later(&mut self, _: applepond_membership::RouterId, _: u64, _: u64) {}
    fn empty(&mut self, _: applepond_membership::RouterId, _: u64) {}
}

// An answer to another ask, or another page, is none.
#[test_case(0, 0, 2; "its own")]
#[test_case(1, 0, 0; "another ask")]
#[test_case(0, 1, 0; "another page")]
fn an_answer_to_its_ask(other: u64, page: u16, taken: usize) {
    let (mut peers, mut out, mut number) = (Peers::new(0, router(0), 1), Messages::default(), Number(0));
    peers.wake(S, &[router(1)], &mut out);
    message::read(&out.0[0], &mut number).expect("an ask");
    peers.given(S, router(1), number.0 ^ other, page, true, truth(3), &mut out);
    assert_eq!(peers.wake(SPAN, &[router(1)], &mut out).len(), taken);
}

// Each guard taken out is seen from outside.
#[test]
fn guards_taken_out() {
    let emptiness = |guards: Guards| {
        let mut paper = SimulatedNetwork::settled(9, 20);
        paper.guards = guards;
        restart(&mut paper, 1..20, false);
        paper.pass(SPAN + S);
        (1..20).filter(|n| paper.holds(*n, What::Drain, 0).is_none()).count()
    };
    assert_eq!(emptiness(Guards::ALL), 0);
    assert!(emptiness(Guards { empty_is_said: false, ..Guards::ALL }) > 5, "emptiness was believed");
    let rush = |guards: Guards| {
        let mut paper = SimulatedNetwork::new(9, 120);
        paper.guards = guards;
        paper.pass(12 * S);
        paper.kill(0);
        paper.start(0);
        paper.pass(10 * S);
        paper.gave.clear();
        restart(&mut paper, 1..120, false);
        paper.pass(SPAN);
        let of_one = paper.gave.iter().filter(|((n, _), _)| *n == 0).map(|(_, bytes)| *bytes);
        of_one.max().unwrap_or(0)
    };
    let (with, without) = (rush(Guards::ALL), rush(Guards { spreads: false, ..Guards::ALL }));
    assert!(with < without && with <= GIVE_AT_ONCE + GIVE / 10 + 2_000, "{with} and {without} bytes");
    let lie = |guards: Guards| {
        (1..=20)
            .filter(|seed| {
                let mut paper = SimulatedNetwork::settled(*seed, 4);
                paper.liar = Some(1);
                paper.guards = guards;
                paper.pass(3 * S);
                restart(&mut paper, 3..4, false);
                paper.pass(SPAN + S);
                paper.holds(3, What::Room, 9).is_some_and(|room| room < 1.0)
            })
            .count()
    };
    assert_eq!(lie(Guards::ALL), 0);
    assert!(lie(Guards { median: false, ..Guards::ALL }) > 10);
}

#[test]
fn errors_say_what_to_do() {
    use miette::Diagnostic;
    assert!(Unusable::EACH.iter().all(|e| e.code().is_some() && e.help().is_some()));
    assert!(Unread.help().is_some());
}
