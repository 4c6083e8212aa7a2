//! Faults on a paper network, each guarded against by name.
mod common;
use applepond_membership::*;
use common::*;
use test_case::test_case;

const FLEET: usize = 20;

#[test]
fn a_kill_is_known_to_all() {
    for seed in 0..5 {
        let mut paper = SimulatedNetwork::fleet(seed, FLEET, lossy(0.02));
        paper.kill(7);
        assert!(paper.until(6 * S, |p| p.one_view(FLEET - 1)), "seed {seed}");
        assert!((0..FLEET).filter(|n| *n != 7).all(|n| paper.shown(n, ObservedStatus::Dead) == ["r7"]));
    }
}

// Losses and standing still together: nobody alive is removed.
#[test_case(0.3, false; "a third lost each way")]
#[test_case(0.2, true; "a fifth lost and pauses of 0.2 to 2 s")]
fn nobody_alive_is_removed(loss: f64, pauses: bool) {
    let mut paper = SimulatedNetwork::fleet(1, FLEET, lossy(loss));
    let mut rng = oorandom::Rand64::new(5);
    for _ in 0..600 {
        if pauses {
            let n = rng.rand_range(0..FLEET as u64) as usize;
            if paper.all[n].as_ref().is_some_and(|p| p.stopped.is_none()) {
                paper.stop(n, 200 * MS + rng.rand_range(0..1_800) * MS);
            }
        }
        paper.pass(S);
    }
    assert_eq!(paper.removals(), 0);
}

// A process that stood still accuses nobody on waking; one that was removed meanwhile comes back by itself
// under a new incarnation.
#[test_case(1, false)]
#[test_case(5, true)]
#[test_case(20, true)]
fn stopped(seconds: u64, removed: bool) {
    let mut paper = SimulatedNetwork::fleet(3, FLEET, lossy(0.02));
    let before = paper.members(4).local_record().incarnation;
    paper.stop(4, seconds * S);
    paper.pass(seconds * S - S / 10);
    let count: Vec<usize> = (0..FLEET).filter(|n| *n != 4).map(|n| paper.live(n)).collect();
    assert_eq!(count, vec![FLEET - usize::from(removed); FLEET - 1]);
    assert!(paper.until(5 * S, |p| p.one_view(FLEET)));
    paper.pass(10 * S);
    let accused = |c: &&(u64, Change)| {
        matches!(
            &c.1,
            Change::StatusChanged {
                current: ObservedStatus::Suspected | ObservedStatus::Unreachable | ObservedStatus::Dead,
                ..
            }
        )
    };
    assert_eq!(paper.changes(4).filter(accused).count(), 0, "it accuses nobody");
    let returned = paper.changes(4).any(|(_, c)| matches!(c, Change::Rejoined(i) if *i > before));
    assert_eq!(returned, removed);
}

// What was sent to it meanwhile is lost, so that it has heard nobody for long when it wakes.
#[test]
fn stopped_with_nothing_in_its_socket() {
    let mut paper = SimulatedNetwork::fleet(3, FLEET, lossy(0.0));
    paper.link = Box::new(|_, _, b, _| (b != 4).then_some(300));
    paper.stop(4, 5 * S);
    paper.pass(5 * S - S / 10);
    paper.link = lossy(0.0);
    paper.pass(S / 2);
    let accused =
        |c: &&(u64, Change)| matches!(&c.1, Change::StatusChanged { current: ObservedStatus::Suspected, .. });
    assert_eq!(paper.changes(4).filter(accused).count(), 0, "it accuses nobody");
    assert!(paper.changes(4).any(|(_, c)| matches!(c, Change::ProcessStalled(time) if *time > 4 * S)));
    assert!(paper.until(5 * S, |p| p.one_view(FLEET)));
}

// Messages that a router wrote before it raised its incarnation do not keep it alive after its death.
#[test]
fn old_messages_prove_nothing() {
    let mut paper = SimulatedNetwork::fleet(16, 6, lossy(0.0));
    let kept = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
    let keep = kept.clone();
    paper.bend = Some(Box::new(move |from, message| {
        // A beat's first byte is 0.
        if from == 2 && message[0] == 0 {
            keep.borrow_mut().push(message.to_vec());
        }
        vec![message.to_vec()]
    }));
    paper.pass(S);
    paper.bend = None;
    let lie = lie(paper.members(1).local_record(), paper.members(2).local_record(), 1);
    paper.tell(2, &lie);
    paper.pass(S);
    assert!(paper.members(2).local_record().incarnation > 3 && paper.one_view(6));
    paper.kill(2);
    let old = kept.borrow().first().expect("it beats").clone();
    for _ in 0..30 {
        (0..6).filter(|n| *n != 2).for_each(|n| paper.tell(n, &old));
        paper.pass(200 * MS);
    }
    assert!(paper.one_view(5));
}

// The only two that could confirm cannot reach each other: nobody is removed by one voice, until they can.
#[test]
fn killed_and_stopped_while_those_who_could_confirm_are_cut() {
    let mut paper = SimulatedNetwork::fleet(2, 4, lossy(0.0));
    paper.kill(0);
    paper.stop(1, 8 * S);
    let cut = |a: usize, b: usize| [a, b].contains(&2) && [a, b].contains(&3);
    paper.link = Box::new(move |_, a, b, _| (!cut(a, b)).then_some(300));
    paper.pass(7 * S);
    assert_eq!(paper.removals(), 0);
    paper.link = lossy(0.0);
    assert!(paper.until(10 * S, |p| p.one_view(3)));
}

// Nobody answers at the seeds, or they name nobody else: it says so by its standing and goes on asking.
#[test]
fn joins_alone() {
    let mut paper = SimulatedNetwork::new(1, lossy(0.0));
    paper.start(5, "r5", address(5), &[0, 1]);
    paper.start(6, "r6", address(6), &[6]);
    paper.pass(20 * S);
    assert_eq!(paper.members(5).local_record().status, MemberStatus::Joining, "every seed is dead");
    assert_eq!(paper.members(6).local_record().status, MemberStatus::Alive, "its seeds name only itself");
    paper.start(0, "r0", address(0), &[0, 1]);
    assert!(paper.until(5 * S, |p| p.members(5).live_count() == 2 && p.members(0).live_count() == 2));
}

// Two under one name: the later one is refused, and both are told.
#[test]
fn two_under_one_name() {
    let mut paper = SimulatedNetwork::fleet(4, 6, lossy(0.02));
    paper.start(9, "r3", address(9), &[0, 1]);
    paper.pass(10 * S);
    assert!(paper.members(9).has_lost_name() && !paper.members(3).has_lost_name());
    let told = |n: usize, what: fn(&Change) -> bool| paper.changes(n).any(|(_, c)| what(c));
    assert!(told(9, |c| matches!(c, Change::NameLost { .. })));
    assert!(told(3, |c| matches!(c, Change::NameContested { .. })));
    assert!((0..6).all(|n| paper.live(n) == 6));
}

// Restarted after the system's clock went back: the others know a higher incarnation and say so, and the new
// process takes its place under one above it. While a process runs only the monotonic clock counts.
#[test]
fn restart_after_the_clock_went_back() {
    let mut paper = SimulatedNetwork::fleet(5, 8, lossy(0.02));
    let before = paper.members(2).local_record().incarnation;
    paper.kill(2);
    paper.clock_back = 90;
    paper.start(2, "r2", address(2), &[0, 1]);
    assert!(paper.members(2).local_record().incarnation < before);
    assert!(paper.until(10 * S, |p| p.one_view(8)));
    assert!(paper.members(2).local_record().incarnation > before);
}

// Restarted at once under its name and address; the old process' messages come after it.
#[test]
fn restart_within_a_second() {
    let mut paper = SimulatedNetwork::fleet(5, 8, lossy(0.02));
    let late = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
    let kept = late.clone();
    paper.bend = Some(Box::new(move |from, message| {
        if from == 2 && kept.borrow().len() < 50 {
            kept.borrow_mut().push(message.to_vec());
        }
        vec![message.to_vec()]
    }));
    paper.pass(S);
    paper.bend = None;
    paper.kill(2);
    paper.pass(300 * MS);
    paper.start(2, "r2", address(2), &[0, 1]);
    assert!(paper.until(5 * S, |p| p.one_view(8)));
    let instance_id = paper.members(2).local_record().instance_id;
    let changes = |p: &SimulatedNetwork| (0..8).map(|n| p.changes(n).count()).sum::<usize>();
    let before = changes(&paper);
    for message in late.borrow().iter() {
        (0..8).filter(|n| *n != 2).for_each(|n| paper.tell(n, message));
    }
    paper.pass(5 * S);
    assert!(paper.one_view(8) && changes(&paper) == before);
    assert!(paper.members(0).members().any(|s| s.record.instance_id == instance_id));
}

// The process that was replaced while it stood still gives way when it wakes.
#[test]
fn the_replaced_gives_way() {
    let mut paper = SimulatedNetwork::fleet(6, 8, lossy(0.0));
    paper.stop(2, 30 * S);
    paper.pass(S);
    paper.start(12, "r2", address(12), &[0, 1]);
    paper.pass(20 * S);
    assert_eq!(paper.members(12).local_record().status, MemberStatus::Alive);
    paper.pass(15 * S);
    assert!(paper.members(2).has_lost_name());
    assert!((0..8).filter(|n| *n != 2).all(|n| paper.live(n) == 8));
}

// Replies that take 400 ms and more each way: suspected at times, not removed.
#[test]
fn slow_replies() {
    let slow: Link = Box::new(|_, _, _, rng| Some(400 * MS + rng.rand_range(0..400) * MS));
    let mut paper = SimulatedNetwork::fleet(7, FLEET, slow);
    paper.pass(120 * S);
    assert_eq!(paper.removals(), 0);
    assert!((0..FLEET).all(|n| paper.live(n) == FLEET));
}

/// Which way a message cannot go.
type Cut = fn(usize, usize) -> bool;

// One-sided cuts, told apart from death: nobody is removed, and the view says which way is lame.
#[test_case(|a, b| a == 0 && b == 1, FLEET; "one does not hear another")]
#[test_case(|_, b| b == 4, FLEET; "one hears nobody and is heard by all")]
#[test_case(|a, _| a == 4, FLEET - 1; "one hears all and is heard by nobody: to the others it is gone")]
#[test_case(|a, b| a == 4 && b > 6, FLEET; "one is heard by some only")]
fn one_sided(cut: Cut, live: usize) {
    let mut paper =
        SimulatedNetwork::fleet(8, FLEET, Box::new(move |_, a, b, _| (!cut(a, b)).then_some(300)));
    paper.pass(10 * S);
    let count = |p: &SimulatedNetwork| (0..FLEET).filter(|n| *n != 4).map(|n| p.live(n)).collect::<Vec<_>>();
    assert_eq!(count(&paper), vec![live; FLEET - 1]);
    let accused =
        |c: &&(u64, Change)| matches!(&c.1, Change::StatusChanged { current: ObservedStatus::Suspected, .. });
    assert_eq!(paper.changes(4).filter(accused).count(), 0, "who hears nobody accuses nobody");
    let changes: usize = (0..FLEET).map(|n| paper.changes(n).count()).sum();
    paper.pass(60 * S);
    assert_eq!(count(&paper), vec![live; FLEET - 1]);
    let later: usize = (0..FLEET).map(|n| paper.changes(n).count()).sum();
    assert!(later - changes <= 2 * FLEET, "it does not flap: {} changes in a minute", later - changes);
    paper.link = lossy(0.0);
    assert!(paper.until(40 * S, |p| p.one_view(FLEET)));
}

#[test]
fn a_lame_link_is_named() {
    let mut paper =
        SimulatedNetwork::fleet(8, 6, Box::new(|_, a, b, _| (!(a == 0 && b == 1)).then_some(300)));
    paper.pass(10 * S);
    let link_fault = |n: usize, of: &str| {
        paper.members(n).members().find(|s| s.record.name == of).and_then(|s| s.link_fault)
    };
    assert_eq!((link_fault(0, "r1"), link_fault(1, "r0")), (Some(LinkFault::Out), Some(LinkFault::In)));
    assert_eq!(paper.shown(1, ObservedStatus::Unreachable), ["r0"]);
}

// Each half goes on by itself; after the cut there is one view again within five seconds.
#[test_case(10, 10; "ten and ten")]
#[test_case(6, 6; "six and fourteen")]
#[test_case(1, FLEET; "one alone removes nobody")]
fn halves(at: usize, few: usize) {
    let mut paper =
        SimulatedNetwork::fleet(9, FLEET, Box::new(move |_, a, b, _| ((a < at) == (b < at)).then_some(300)));
    paper.pass(60 * S);
    assert!((0..at).all(|n| paper.live(n) == few) && (at..FLEET).all(|n| paper.live(n) == FLEET - at));
    paper.link = lossy(0.02);
    assert!(
        paper.until(5 * S, |p| p.one_view(FLEET)),
        "{:?}",
        (0..FLEET).map(|n| paper.live(n)).collect::<Vec<_>>()
    );
}

// A deluded peer that hears nobody and one that lies remove nobody.
#[test]
fn a_liar_removes_nobody() {
    let mut paper = SimulatedNetwork::fleet(10, FLEET, lossy(0.1));
    // It says of everybody else that they are gone, as often as it says anything.
    let views: Vec<MemberView> = paper.members(3).members().collect();
    let me = paper.members(3).local_record().clone();
    let mut lies: Vec<Vec<u8>> = views.iter().map(|s| lie(&me, &s.record, u64::MAX / 2)).collect();
    let gone = |s: &MemberView| {
        let incarnation = s.record.incarnation + 5;
        news(&me, &Record { status: MemberStatus::Dead, incarnation, ..s.record.clone() })
    };
    lies.extend(views.iter().skip(1).map(gone));
    paper.bend = Some(Box::new(move |from, message| {
        let mut all = vec![message.to_vec()];
        all.extend(if from == 3 { lies.clone() } else { Vec::new() });
        all
    }));
    paper.pass(20 * S);
    assert_eq!(paper.removals(), 0);
    assert!((0..FLEET).all(|n| paper.live(n) == FLEET));
}

// Told by one voice that it is silent, or gone, a router says that it is there under a higher incarnation;
// with that guard taken out it has nothing higher to say, however few voices it has heard.
#[test_case(None, 1; "as in service")]
#[test_case(Some("old-incarnation"), 0; "with the guard taken out")]
fn a_lone_voice_is_refuted(without: Option<&str>, raised: u64) {
    let guards = without.and_then(Safeguards::without).unwrap_or(Safeguards::ALL);
    let mut paper = SimulatedNetwork::fleet_with(18, 5, lossy(0.0), guards);
    let (one, two) = (paper.members(1).local_record().clone(), paper.members(2).local_record().clone());
    paper.pass(S);
    paper.tell(2, &lie(&one, &two, 7));
    paper.tell(2, &news(&one, &Record { status: MemberStatus::Dead, ..two.clone() }));
    assert_eq!(paper.members(2).local_record().incarnation, two.incarnation + raised);
}

// The highest numbers there are, from a peer that holds the key: no panic.
#[test]
fn highest_numbers() {
    let mut paper = SimulatedNetwork::fleet(17, 5, lossy(0.0));
    let (one, two) = (paper.members(1).local_record().clone(), paper.members(2).local_record().clone());
    let messages = [
        lie(&one, &two, u64::MAX),
        lie(&two, &one, u64::MAX),
        news(&one, &Record { incarnation: u64::MAX, ..two.clone() }),
        news(&one, &Record { incarnation: u64::MAX, instance_id: InstanceId(u64::MAX), ..two }),
    ];
    for message in &messages {
        (0..5).for_each(|n| paper.tell(n, message));
        paper.pass(S);
    }
    paper.kill(3);
    paper.pass(10 * S);
    assert!(paper.live(0) >= 2);
}

// A link that is there for a second and away for a second, ten minutes long: no change at all.
#[test]
fn a_flapping_link() {
    let flaps: Link = Box::new(|now, a, b, _| {
        (!(a.min(b) == 0 && a.max(b) == 1 && (now / S).is_multiple_of(2))).then_some(300)
    });
    let mut paper = SimulatedNetwork::fleet(11, FLEET, flaps);
    let changes = |p: &SimulatedNetwork| (0..FLEET).map(|n| p.changes(n).count()).sum::<usize>();
    let before = changes(&paper);
    paper.pass(600 * S);
    assert!(changes(&paper) - before <= 4, "{}", changes(&paper) - before);
}

#[test]
fn three_hundred_at_once() {
    let mut paper = SimulatedNetwork::new(12, lossy(0.02));
    (0..300).for_each(|n| paper.start(n, &name(n), address(n), &[0, 1, 2]));
    assert!(paper.until(20 * S, |p| p.one_view(300)));
}

#[test]
fn a_word_of_leave_needs_no_votes() {
    let mut paper = SimulatedNetwork::fleet(13, FLEET, lossy(0.1));
    paper.leave(5);
    paper.pass(100 * MS);
    paper.kill(5);
    assert!(paper.until(S, |p| p.one_view(FLEET - 1)));
    assert!((0..FLEET).filter(|n| *n != 5).all(|n| paper.shown(n, ObservedStatus::Left) == ["r5"]));
}

// Half of the fleet at once, and back at once: those that watch each other are not needed to tell.
#[test]
fn half_killed_at_once() {
    let mut paper = SimulatedNetwork::fleet(14, FLEET, lossy(0.02));
    (0..10).for_each(|n| paper.kill(n));
    assert!(paper.until(6 * S, |p| p.one_view(10)));
    (0..10).for_each(|n| paper.start(n, &name(n), address(n), &[11, 12]));
    assert!(paper.until(6 * S, |p| p.one_view(FLEET)));
}

// What was said of a router before it was gone does not bring it back.
#[test]
fn old_gossip_brings_nobody_back() {
    let mut paper = SimulatedNetwork::fleet(15, 6, lossy(0.0));
    let record = paper.members(2).local_record().clone();
    paper.kill(2);
    assert!(paper.until(6 * S, |p| p.one_view(5)));
    let old = news(paper.members(1).local_record(), &record);
    paper.tell(0, &old);
    paper.pass(2 * S);
    assert!(paper.one_view(5));
}

// One seed, one run: the same changes at the same microsecond.
#[test]
fn one_seed_one_run() {
    let run = |seed: u64| {
        let mut paper = SimulatedNetwork::fleet(seed, FLEET, lossy(0.2));
        paper.kill(1);
        paper.stop(2, 5 * S);
        paper.pass(20 * S);
        (0..FLEET).map(|n| format!("{:?}", paper.changes(n).collect::<Vec<_>>())).collect::<String>()
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}
