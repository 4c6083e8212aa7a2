//! Reaction of the membership to faults on a simulated network.
mod common;
use applepond_membership::{
    Change, InstanceId, LinkFault, MemberStatus, MemberView, ObservedStatus, Record, Safeguards,
};
use common::{
    Link, MILLISECOND, SECOND, SimulatedNetwork, address, lossy_link, name, record_message, report_of_death,
};
use test_case::test_case;

const FLEET: usize = 20;

#[test]
fn all_learn_of_a_kill() {
    for seed in 0..5 {
        let mut network = SimulatedNetwork::fleet(seed, FLEET, lossy_link(0.02));
        network.kill(7);
        assert!(network.run_until(6 * SECOND, |p| p.has_converged(FLEET - 1)), "seed {seed}");
        assert!(
            (0..FLEET)
                .filter(|n| *n != 7)
                .all(|n| network.members_observed_as(n, ObservedStatus::Dead) == ["r7"])
        );
    }
}

// Guards against live routers that are declared dead because of message loss, alone or together with pauses.
#[test_case(0.3, false; "30 % loss")]
#[test_case(0.2, true; "20 % loss and pauses of 0.2 to 2 s")]
fn nobody_alive_is_removed(loss: f64, pauses: bool) {
    let mut network = SimulatedNetwork::fleet(1, FLEET, lossy_link(loss));
    let mut rng = oorandom::Rand64::new(5);
    for _ in 0..600 {
        if pauses {
            let n = rng.rand_range(0..FLEET as u64) as usize;
            if network.processes[n].as_ref().is_some_and(|p| p.paused_until.is_none()) {
                network.pause(n, 200 * MILLISECOND + rng.rand_range(0..1_800) * MILLISECOND);
            }
        }
        network.run_for(SECOND);
    }
    assert_eq!(network.removals(), 0);
}

// Guards against a resumed process that takes its own pause for the silence of others. A process that was
// declared dead during its pause rejoins under a higher incarnation.
#[test_case(1, false)]
#[test_case(5, true)]
#[test_case(20, true)]
fn a_process_that_resumes_suspects_nobody_and_rejoins(seconds: u64, removed: bool) {
    let mut network = SimulatedNetwork::fleet(3, FLEET, lossy_link(0.02));
    let before = network.members(4).local_record().incarnation;
    network.pause(4, seconds * SECOND);
    network.run_for(seconds * SECOND - SECOND / 10);
    let live_counts: Vec<usize> = (0..FLEET).filter(|n| *n != 4).map(|n| network.live_count(n)).collect();
    assert_eq!(live_counts, vec![FLEET - usize::from(removed); FLEET - 1]);
    assert!(network.run_until(5 * SECOND, |p| p.has_converged(FLEET)));
    network.run_for(10 * SECOND);
    let is_suspicion = |c: &&(u64, Change)| {
        matches!(
            &c.1,
            Change::StatusChanged {
                current: ObservedStatus::Suspected | ObservedStatus::Unreachable | ObservedStatus::Dead,
                ..
            }
        )
    };
    assert_eq!(network.changes(4).filter(is_suspicion).count(), 0, "the resumed process suspects nobody");
    let rejoined = network.changes(4).any(|(_, c)| matches!(c, Change::Rejoined(i) if *i > before));
    assert_eq!(rejoined, removed);
}

// As above, but messages sent to the process during its pause are lost, so that all others seem silent when
// it resumes.
#[test]
fn a_process_that_missed_all_messages_suspects_nobody() {
    let mut network = SimulatedNetwork::fleet(3, FLEET, lossy_link(0.0));
    network.link = Box::new(|_, _, b, _| (b != 4).then_some(300));
    network.pause(4, 5 * SECOND);
    network.run_for(5 * SECOND - SECOND / 10);
    network.link = lossy_link(0.0);
    network.run_for(SECOND / 2);
    let is_suspicion =
        |c: &&(u64, Change)| matches!(&c.1, Change::StatusChanged { current: ObservedStatus::Suspected, .. });
    assert_eq!(network.changes(4).filter(is_suspicion).count(), 0, "the resumed process suspects nobody");
    assert!(network.changes(4).any(|(_, c)| matches!(c, Change::ProcessStalled(time) if *time > 4 * SECOND)));
    assert!(network.run_until(5 * SECOND, |p| p.has_converged(FLEET)));
}

// Guards against replayed messages that keep a dead router alive: messages sent before it raised its
// incarnation must not count as signs of life.
#[test]
fn replayed_messages_do_not_keep_a_dead_router_alive() {
    let mut network = SimulatedNetwork::fleet(16, 6, lossy_link(0.0));
    let heartbeats = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
    let recorder = heartbeats.clone();
    network.filter = Some(Box::new(move |from, message| {
        // The kind byte of a heartbeat is 0.
        if from == 2 && message[0] == 0 {
            recorder.borrow_mut().push(message.to_vec());
        }
        vec![message.to_vec()]
    }));
    network.run_for(SECOND);
    network.filter = None;
    let false_report =
        report_of_death(network.members(1).local_record(), network.members(2).local_record(), 1);
    network.deliver(2, &false_report);
    network.run_for(SECOND);
    assert!(network.members(2).local_record().incarnation > 3 && network.has_converged(6));
    network.kill(2);
    let old = heartbeats.borrow().first().expect("a recorded heartbeat").clone();
    for _ in 0..30 {
        (0..6).filter(|n| *n != 2).for_each(|n| network.deliver(n, &old));
        network.run_for(200 * MILLISECOND);
    }
    assert!(network.has_converged(5));
}

// Guards against a router that is declared dead by a single vote: the two routers that could confirm the
// death cannot reach each other at first.
#[test]
fn nobody_is_removed_while_those_who_could_confirm_are_cut() {
    let mut network = SimulatedNetwork::fleet(2, 4, lossy_link(0.0));
    network.kill(0);
    network.pause(1, 8 * SECOND);
    let is_cut = |a: usize, b: usize| [a, b].contains(&2) && [a, b].contains(&3);
    network.link = Box::new(move |_, a, b, _| (!is_cut(a, b)).then_some(300));
    network.run_for(7 * SECOND);
    assert_eq!(network.removals(), 0);
    network.link = lossy_link(0.0);
    assert!(network.run_until(10 * SECOND, |p| p.has_converged(3)));
}

// A router whose seeds do not answer stays joining and keeps contacting them; a router that is its own only
// seed forms a fleet of its own.
#[test]
fn an_unanswered_router_stays_joining() {
    let mut network = SimulatedNetwork::new(1, lossy_link(0.0));
    network.start(5, "r5", address(5), &[0, 1]);
    network.start(6, "r6", address(6), &[6]);
    network.run_for(20 * SECOND);
    assert_eq!(network.members(5).local_record().status, MemberStatus::Joining, "no seed answers");
    assert_eq!(network.members(6).local_record().status, MemberStatus::Alive, "it is its own only seed");
    network.start(0, "r0", address(0), &[0, 1]);
    assert!(
        network.run_until(5 * SECOND, |p| p.members(5).live_count() == 2 && p.members(0).live_count() == 2)
    );
}

// Guards against two live processes under one name: the later one is refused, and both are informed.
#[test]
fn a_second_process_under_a_name_is_refused() {
    let mut network = SimulatedNetwork::fleet(4, 6, lossy_link(0.02));
    network.start(9, "r3", address(9), &[0, 1]);
    network.run_for(10 * SECOND);
    assert!(network.members(9).has_lost_name() && !network.members(3).has_lost_name());
    let reported =
        |n: usize, is_expected: fn(&Change) -> bool| network.changes(n).any(|(_, c)| is_expected(c));
    assert!(reported(9, |c| matches!(c, Change::NameLost { .. })));
    assert!(reported(3, |c| matches!(c, Change::NameContested { .. })));
    assert!((0..6).all(|n| network.live_count(n) == 6));
}

// Guards against a restarted router that is ignored because the system clock went back and its initial
// incarnation is too low. It learns of the higher incarnation from the others and raises its own above it.
// While a process runs, only the monotonic clock is used.
#[test]
fn a_restart_after_the_clock_went_back_raises_the_incarnation() {
    let mut network = SimulatedNetwork::fleet(5, 8, lossy_link(0.02));
    let before = network.members(2).local_record().incarnation;
    network.kill(2);
    network.clock_setback = 90;
    network.start(2, "r2", address(2), &[0, 1]);
    assert!(network.members(2).local_record().incarnation < before);
    assert!(network.run_until(10 * SECOND, |p| p.has_converged(8)));
    assert!(network.members(2).local_record().incarnation > before);
}

// Guards against late messages of the old process after a quick restart under the same name and address.
#[test]
fn a_restart_within_a_second_replaces_the_process() {
    let mut network = SimulatedNetwork::fleet(5, 8, lossy_link(0.02));
    let late_messages = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
    let recorder = late_messages.clone();
    network.filter = Some(Box::new(move |from, message| {
        if from == 2 && recorder.borrow().len() < 50 {
            recorder.borrow_mut().push(message.to_vec());
        }
        vec![message.to_vec()]
    }));
    network.run_for(SECOND);
    network.filter = None;
    network.kill(2);
    network.run_for(300 * MILLISECOND);
    network.start(2, "r2", address(2), &[0, 1]);
    assert!(network.run_until(5 * SECOND, |p| p.has_converged(8)));
    let instance_id = network.members(2).local_record().instance_id;
    let changes = |p: &SimulatedNetwork| (0..8).map(|n| p.changes(n).count()).sum::<usize>();
    let before = changes(&network);
    for message in late_messages.borrow().iter() {
        (0..8).filter(|n| *n != 2).for_each(|n| network.deliver(n, message));
    }
    network.run_for(5 * SECOND);
    assert!(network.has_converged(8) && changes(&network) == before);
    assert!(network.members(0).members().any(|s| s.record.instance_id == instance_id));
}

// A process that was replaced while it was paused gives up its name when it resumes.
#[test]
fn a_replaced_process_gives_up_its_name() {
    let mut network = SimulatedNetwork::fleet(6, 8, lossy_link(0.0));
    network.pause(2, 30 * SECOND);
    network.run_for(SECOND);
    network.start(12, "r2", address(12), &[0, 1]);
    network.run_for(20 * SECOND);
    assert_eq!(network.members(12).local_record().status, MemberStatus::Alive);
    network.run_for(15 * SECOND);
    assert!(network.members(2).has_lost_name());
    assert!((0..8).filter(|n| *n != 2).all(|n| network.live_count(n) == 8));
}

// Guards against routers that are declared dead because of latencies of 400 to 800 ms in each direction.
#[test]
fn slow_replies_remove_nobody() {
    let slow: Link = Box::new(|_, _, _, rng| Some(400 * MILLISECOND + rng.rand_range(0..400) * MILLISECOND));
    let mut network = SimulatedNetwork::fleet(7, FLEET, slow);
    network.run_for(120 * SECOND);
    assert_eq!(network.removals(), 0);
    assert!((0..FLEET).all(|n| network.live_count(n) == FLEET));
}

/// Whether messages from the first router to the second are lost.
type Cut = fn(usize, usize) -> bool;

// Guards against one-way link faults that are mistaken for the death of a router that others still hear, and
// against a router that suspects others because it hears nobody.
#[test_case(|a, b| a == 0 && b == 1, FLEET; "one router does not hear another")]
#[test_case(|_, b| b == 4, FLEET; "one router hears nobody and is heard by all")]
#[test_case(|a, _| a == 4, FLEET - 1; "one router hears all and is heard by nobody, so it is declared dead")]
#[test_case(|a, b| a == 4 && b > 6, FLEET; "one router is heard by some only")]
fn one_way_cuts_remove_nobody_who_is_heard(cut: Cut, live: usize) {
    let mut network =
        SimulatedNetwork::fleet(8, FLEET, Box::new(move |_, a, b, _| (!cut(a, b)).then_some(300)));
    network.run_for(10 * SECOND);
    let live_counts =
        |p: &SimulatedNetwork| (0..FLEET).filter(|n| *n != 4).map(|n| p.live_count(n)).collect::<Vec<_>>();
    assert_eq!(live_counts(&network), vec![live; FLEET - 1]);
    let is_suspicion =
        |c: &&(u64, Change)| matches!(&c.1, Change::StatusChanged { current: ObservedStatus::Suspected, .. });
    assert_eq!(
        network.changes(4).filter(is_suspicion).count(),
        0,
        "a router that hears nobody suspects nobody"
    );
    let changes: usize = (0..FLEET).map(|n| network.changes(n).count()).sum();
    network.run_for(60 * SECOND);
    assert_eq!(live_counts(&network), vec![live; FLEET - 1]);
    let later: usize = (0..FLEET).map(|n| network.changes(n).count()).sum();
    assert!(later - changes <= 2 * FLEET, "the view flaps: {} changes in a minute", later - changes);
    network.link = lossy_link(0.0);
    assert!(network.run_until(40 * SECOND, |p| p.has_converged(FLEET)));
}

#[test]
fn a_one_way_link_fault_is_diagnosed() {
    let mut network =
        SimulatedNetwork::fleet(8, 6, Box::new(|_, a, b, _| (!(a == 0 && b == 1)).then_some(300)));
    network.run_for(10 * SECOND);
    let link_fault = |n: usize, of: &str| {
        network.members(n).members().find(|s| s.record.name == of).and_then(|s| s.link_fault)
    };
    assert_eq!((link_fault(0, "r1"), link_fault(1, "r0")), (Some(LinkFault::Out), Some(LinkFault::In)));
    assert_eq!(network.members_observed_as(1, ObservedStatus::Unreachable), ["r0"]);
}

// During a partition each side has a view of its own, and within 5 s of its end all routers have the same
// view. A single isolated router declares nobody dead.
#[test_case(10, 10; "10 and 10")]
#[test_case(6, 6; "6 and 14")]
#[test_case(1, FLEET; "1 and 19")]
fn halves_go_on_alone_and_merge(split: usize, live_before_split: usize) {
    let mut network = SimulatedNetwork::fleet(
        9,
        FLEET,
        Box::new(move |_, a, b, _| ((a < split) == (b < split)).then_some(300)),
    );
    network.run_for(60 * SECOND);
    assert!(
        (0..split).all(|n| network.live_count(n) == live_before_split)
            && (split..FLEET).all(|n| network.live_count(n) == FLEET - split)
    );
    network.link = lossy_link(0.02);
    assert!(
        network.run_until(5 * SECOND, |p| p.has_converged(FLEET)),
        "{:?}",
        (0..FLEET).map(|n| network.live_count(n)).collect::<Vec<_>>()
    );
}

// Guards against a single lying router that could have others declared dead.
#[test]
fn a_liar_removes_nobody() {
    let mut network = SimulatedNetwork::fleet(10, FLEET, lossy_link(0.1));
    // Router 3 adds false reports of the death of all others to each message that it sends.
    let views: Vec<MemberView> = network.members(3).members().collect();
    let liar = network.members(3).local_record().clone();
    let mut false_reports: Vec<Vec<u8>> =
        views.iter().map(|s| report_of_death(&liar, &s.record, u64::MAX / 2)).collect();
    let dead_record = |s: &MemberView| {
        let incarnation = s.record.incarnation + 5;
        record_message(&liar, &Record { status: MemberStatus::Dead, incarnation, ..s.record.clone() })
    };
    false_reports.extend(views.iter().skip(1).map(dead_record));
    network.filter = Some(Box::new(move |from, message| {
        let mut all = vec![message.to_vec()];
        all.extend(if from == 3 { false_reports.clone() } else { Vec::new() });
        all
    }));
    network.run_for(20 * SECOND);
    assert_eq!(network.removals(), 0);
    assert!((0..FLEET).all(|n| network.live_count(n) == FLEET));
}

// A router that a single other one reports dead refutes this by raising its incarnation by one. With the
// safeguard disabled it keeps its incarnation.
#[test_case(None, 1; "all safeguards")]
#[test_case(Some("old-incarnation"), 0; "safeguard disabled")]
fn a_single_report_of_death_is_refuted(fault: Option<&str>, raised: u64) {
    let safeguards = fault.and_then(Safeguards::without).unwrap_or(Safeguards::ALL);
    let mut network = SimulatedNetwork::fleet_with(18, 5, lossy_link(0.0), safeguards);
    let (one, two) = (network.members(1).local_record().clone(), network.members(2).local_record().clone());
    network.run_for(SECOND);
    network.deliver(2, &report_of_death(&one, &two, 7));
    network.deliver(2, &record_message(&one, &Record { status: MemberStatus::Dead, ..two.clone() }));
    assert_eq!(network.members(2).local_record().incarnation, two.incarnation + raised);
}

// Guards against overflows when a holder of the fleet's key sends the highest possible numbers.
#[test]
fn highest_numbers_do_not_panic() {
    let mut network = SimulatedNetwork::fleet(17, 5, lossy_link(0.0));
    let (one, two) = (network.members(1).local_record().clone(), network.members(2).local_record().clone());
    let messages = [
        report_of_death(&one, &two, u64::MAX),
        report_of_death(&two, &one, u64::MAX),
        record_message(&one, &Record { incarnation: u64::MAX, ..two.clone() }),
        record_message(&one, &Record { incarnation: u64::MAX, instance_id: InstanceId(u64::MAX), ..two }),
    ];
    for message in &messages {
        (0..5).for_each(|n| network.deliver(n, message));
        network.run_for(SECOND);
    }
    network.kill(3);
    network.run_for(10 * SECOND);
    assert!(network.live_count(0) >= 2);
}

// Guards against a view that flaps with a single link that alternately works and fails every second for ten
// minutes.
#[test]
fn a_flapping_link_changes_nothing() {
    let flapping_link: Link = Box::new(|now, a, b, _| {
        (!(a.min(b) == 0 && a.max(b) == 1 && (now / SECOND).is_multiple_of(2))).then_some(300)
    });
    let mut network = SimulatedNetwork::fleet(11, FLEET, flapping_link);
    let changes = |p: &SimulatedNetwork| (0..FLEET).map(|n| p.changes(n).count()).sum::<usize>();
    let before = changes(&network);
    network.run_for(600 * SECOND);
    assert!(changes(&network) - before <= 4, "{}", changes(&network) - before);
}

#[test]
fn three_hundred_starts_at_once_converge() {
    let mut network = SimulatedNetwork::new(12, lossy_link(0.02));
    (0..300).for_each(|n| network.start(n, &name(n), address(n), &[0, 1, 2]));
    assert!(network.run_until(20 * SECOND, |p| p.has_converged(300)));
}

#[test]
fn leaving_needs_no_votes() {
    let mut network = SimulatedNetwork::fleet(13, FLEET, lossy_link(0.1));
    network.leave(5);
    network.run_for(100 * MILLISECOND);
    network.kill(5);
    assert!(network.run_until(SECOND, |p| p.has_converged(FLEET - 1)));
    assert!(
        (0..FLEET)
            .filter(|n| *n != 5)
            .all(|n| network.members_observed_as(n, ObservedStatus::Left) == ["r5"])
    );
}

// Guards against a quorum that cannot be reached when many observers die at the same time: half of the fleet
// is killed at once and restarted at once.
#[test]
fn half_of_the_fleet_killed_at_once_is_noticed() {
    let mut network = SimulatedNetwork::fleet(14, FLEET, lossy_link(0.02));
    (0..10).for_each(|n| network.kill(n));
    assert!(network.run_until(6 * SECOND, |p| p.has_converged(10)));
    (0..10).for_each(|n| network.start(n, &name(n), address(n), &[11, 12]));
    assert!(network.run_until(6 * SECOND, |p| p.has_converged(FLEET)));
}

// Guards against an outdated record that brings a dead router back.
#[test]
fn old_records_bring_nobody_back() {
    let mut network = SimulatedNetwork::fleet(15, 6, lossy_link(0.0));
    let record = network.members(2).local_record().clone();
    network.kill(2);
    assert!(network.run_until(6 * SECOND, |p| p.has_converged(5)));
    let old = record_message(network.members(1).local_record(), &record);
    network.deliver(0, &old);
    network.run_for(2 * SECOND);
    assert!(network.has_converged(5));
}

// Equal seeds give the same changes at the same simulated times, so that failures can be reproduced.
#[test]
fn equal_seeds_give_equal_runs() {
    let run = |seed: u64| {
        let mut network = SimulatedNetwork::fleet(seed, FLEET, lossy_link(0.2));
        network.kill(1);
        network.pause(2, 5 * SECOND);
        network.run_for(20 * SECOND);
        (0..FLEET).map(|n| format!("{:?}", network.changes(n).collect::<Vec<_>>())).collect::<String>()
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}
