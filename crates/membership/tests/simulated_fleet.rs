//! Faults on a simulated network, and what the membership makes of each of them.
mod common;
use applepond_membership::{
    Change, InstanceId, LinkFault, MemberStatus, MemberView, ObservedStatus, Record, Safeguards,
};
use common::{Link, MILLISECOND, SECOND, SimulatedNetwork, address, lossy, name, news, report_of_death};
use test_case::test_case;

const FLEET: usize = 20;

#[test]
fn all_learn_of_a_kill() {
    for seed in 0..5 {
        let mut network = SimulatedNetwork::fleet(seed, FLEET, lossy(0.02));
        network.kill(7);
        assert!(network.run_until(6 * SECOND, |p| p.has_converged(FLEET - 1)), "seed {seed}");
        assert!(
            (0..FLEET)
                .filter(|n| *n != 7)
                .all(|n| network.members_observed_as(n, ObservedStatus::Dead) == ["r7"])
        );
    }
}

// Losses and standing still together: nobody alive is removed.
#[test_case(0.3, false; "a third lost each way")]
#[test_case(0.2, true; "a fifth lost and pauses of 0.2 to 2 s")]
fn nobody_alive_is_removed(loss: f64, pauses: bool) {
    let mut network = SimulatedNetwork::fleet(1, FLEET, lossy(loss));
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

// A process that stood still accuses nobody on waking; one that was removed meanwhile comes back by itself
// under a new incarnation.
#[test_case(1, false)]
#[test_case(5, true)]
#[test_case(20, true)]
fn a_process_that_resumes_suspects_nobody_and_rejoins(seconds: u64, removed: bool) {
    let mut network = SimulatedNetwork::fleet(3, FLEET, lossy(0.02));
    let before = network.members(4).local_record().incarnation;
    network.pause(4, seconds * SECOND);
    network.run_for(seconds * SECOND - SECOND / 10);
    let count: Vec<usize> = (0..FLEET).filter(|n| *n != 4).map(|n| network.live_count(n)).collect();
    assert_eq!(count, vec![FLEET - usize::from(removed); FLEET - 1]);
    assert!(network.run_until(5 * SECOND, |p| p.has_converged(FLEET)));
    network.run_for(10 * SECOND);
    let accused = |c: &&(u64, Change)| {
        matches!(
            &c.1,
            Change::StatusChanged {
                current: ObservedStatus::Suspected | ObservedStatus::Unreachable | ObservedStatus::Dead,
                ..
            }
        )
    };
    assert_eq!(network.changes(4).filter(accused).count(), 0, "it accuses nobody");
    let returned = network.changes(4).any(|(_, c)| matches!(c, Change::Rejoined(i) if *i > before));
    assert_eq!(returned, removed);
}

// What was sent to it meanwhile is lost, so that it has heard nobody for long when it wakes.
#[test]
fn a_process_that_missed_all_messages_suspects_nobody() {
    let mut network = SimulatedNetwork::fleet(3, FLEET, lossy(0.0));
    network.link = Box::new(|_, _, b, _| (b != 4).then_some(300));
    network.pause(4, 5 * SECOND);
    network.run_for(5 * SECOND - SECOND / 10);
    network.link = lossy(0.0);
    network.run_for(SECOND / 2);
    let accused =
        |c: &&(u64, Change)| matches!(&c.1, Change::StatusChanged { current: ObservedStatus::Suspected, .. });
    assert_eq!(network.changes(4).filter(accused).count(), 0, "it accuses nobody");
    assert!(network.changes(4).any(|(_, c)| matches!(c, Change::ProcessStalled(time) if *time > 4 * SECOND)));
    assert!(network.run_until(5 * SECOND, |p| p.has_converged(FLEET)));
}

// Messages that a router wrote before it raised its incarnation do not keep it alive after its death.
#[test]
fn replayed_messages_do_not_keep_a_dead_router_alive() {
    let mut network = SimulatedNetwork::fleet(16, 6, lossy(0.0));
    let kept = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
    let keep = kept.clone();
    network.filter = Some(Box::new(move |from, message| {
        // A heartbeat's first byte is 0.
        if from == 2 && message[0] == 0 {
            keep.borrow_mut().push(message.to_vec());
        }
        vec![message.to_vec()]
    }));
    network.run_for(SECOND);
    network.filter = None;
    let lie = report_of_death(network.members(1).local_record(), network.members(2).local_record(), 1);
    network.deliver(2, &lie);
    network.run_for(SECOND);
    assert!(network.members(2).local_record().incarnation > 3 && network.has_converged(6));
    network.kill(2);
    let old = kept.borrow().first().expect("it sends heartbeats").clone();
    for _ in 0..30 {
        (0..6).filter(|n| *n != 2).for_each(|n| network.deliver(n, &old));
        network.run_for(200 * MILLISECOND);
    }
    assert!(network.has_converged(5));
}

// The only two that could confirm cannot reach each other: nobody is removed by one voice, until they can.
#[test]
fn nobody_is_removed_while_those_who_could_confirm_are_cut() {
    let mut network = SimulatedNetwork::fleet(2, 4, lossy(0.0));
    network.kill(0);
    network.pause(1, 8 * SECOND);
    let cut = |a: usize, b: usize| [a, b].contains(&2) && [a, b].contains(&3);
    network.link = Box::new(move |_, a, b, _| (!cut(a, b)).then_some(300));
    network.run_for(7 * SECOND);
    assert_eq!(network.removals(), 0);
    network.link = lossy(0.0);
    assert!(network.run_until(10 * SECOND, |p| p.has_converged(3)));
}

// Nobody answers at the seeds, or they name nobody else: it says so by its standing and goes on asking.
#[test]
fn an_unanswered_router_stays_joining() {
    let mut network = SimulatedNetwork::new(1, lossy(0.0));
    network.start(5, "r5", address(5), &[0, 1]);
    network.start(6, "r6", address(6), &[6]);
    network.run_for(20 * SECOND);
    assert_eq!(network.members(5).local_record().status, MemberStatus::Joining, "every seed is dead");
    assert_eq!(network.members(6).local_record().status, MemberStatus::Alive, "its seeds name only itself");
    network.start(0, "r0", address(0), &[0, 1]);
    assert!(
        network.run_until(5 * SECOND, |p| p.members(5).live_count() == 2 && p.members(0).live_count() == 2)
    );
}

// Two under one name: the later one is refused, and both are told.
#[test]
fn a_second_process_under_a_name_is_refused() {
    let mut network = SimulatedNetwork::fleet(4, 6, lossy(0.02));
    network.start(9, "r3", address(9), &[0, 1]);
    network.run_for(10 * SECOND);
    assert!(network.members(9).has_lost_name() && !network.members(3).has_lost_name());
    let told = |n: usize, what: fn(&Change) -> bool| network.changes(n).any(|(_, c)| what(c));
    assert!(told(9, |c| matches!(c, Change::NameLost { .. })));
    assert!(told(3, |c| matches!(c, Change::NameContested { .. })));
    assert!((0..6).all(|n| network.live_count(n) == 6));
}

// Restarted after the system's clock went back: the others know a higher incarnation and say so, and the new
// process takes its place under one above it. While a process runs only the monotonic clock counts.
#[test]
fn a_restart_after_the_clock_went_back_raises_the_incarnation() {
    let mut network = SimulatedNetwork::fleet(5, 8, lossy(0.02));
    let before = network.members(2).local_record().incarnation;
    network.kill(2);
    network.clock_back = 90;
    network.start(2, "r2", address(2), &[0, 1]);
    assert!(network.members(2).local_record().incarnation < before);
    assert!(network.run_until(10 * SECOND, |p| p.has_converged(8)));
    assert!(network.members(2).local_record().incarnation > before);
}

// Restarted at once under its name and address; the old process' messages come after it.
#[test]
fn a_restart_within_a_second_replaces_the_process() {
    let mut network = SimulatedNetwork::fleet(5, 8, lossy(0.02));
    let late = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
    let kept = late.clone();
    network.filter = Some(Box::new(move |from, message| {
        if from == 2 && kept.borrow().len() < 50 {
            kept.borrow_mut().push(message.to_vec());
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
    for message in late.borrow().iter() {
        (0..8).filter(|n| *n != 2).for_each(|n| network.deliver(n, message));
    }
    network.run_for(5 * SECOND);
    assert!(network.has_converged(8) && changes(&network) == before);
    assert!(network.members(0).members().any(|s| s.record.instance_id == instance_id));
}

// The process that was replaced while it stood still gives way when it wakes.
#[test]
fn a_replaced_process_gives_up_its_name() {
    let mut network = SimulatedNetwork::fleet(6, 8, lossy(0.0));
    network.pause(2, 30 * SECOND);
    network.run_for(SECOND);
    network.start(12, "r2", address(12), &[0, 1]);
    network.run_for(20 * SECOND);
    assert_eq!(network.members(12).local_record().status, MemberStatus::Alive);
    network.run_for(15 * SECOND);
    assert!(network.members(2).has_lost_name());
    assert!((0..8).filter(|n| *n != 2).all(|n| network.live_count(n) == 8));
}

// Replies that take 400 ms and more each way: suspected at times, not removed.
#[test]
fn slow_replies_remove_nobody() {
    let slow: Link = Box::new(|_, _, _, rng| Some(400 * MILLISECOND + rng.rand_range(0..400) * MILLISECOND));
    let mut network = SimulatedNetwork::fleet(7, FLEET, slow);
    network.run_for(120 * SECOND);
    assert_eq!(network.removals(), 0);
    assert!((0..FLEET).all(|n| network.live_count(n) == FLEET));
}

/// Which way a message cannot go.
type Cut = fn(usize, usize) -> bool;

// One-sided cuts, told apart from death: nobody is removed, and the view says which way is lame.
#[test_case(|a, b| a == 0 && b == 1, FLEET; "one does not hear another")]
#[test_case(|_, b| b == 4, FLEET; "one hears nobody and is heard by all")]
#[test_case(|a, _| a == 4, FLEET - 1; "one hears all and is heard by nobody: to the others it is gone")]
#[test_case(|a, b| a == 4 && b > 6, FLEET; "one is heard by some only")]
fn one_way_cuts_remove_nobody_who_is_heard(cut: Cut, live: usize) {
    let mut network =
        SimulatedNetwork::fleet(8, FLEET, Box::new(move |_, a, b, _| (!cut(a, b)).then_some(300)));
    network.run_for(10 * SECOND);
    let count =
        |p: &SimulatedNetwork| (0..FLEET).filter(|n| *n != 4).map(|n| p.live_count(n)).collect::<Vec<_>>();
    assert_eq!(count(&network), vec![live; FLEET - 1]);
    let accused =
        |c: &&(u64, Change)| matches!(&c.1, Change::StatusChanged { current: ObservedStatus::Suspected, .. });
    assert_eq!(network.changes(4).filter(accused).count(), 0, "who hears nobody accuses nobody");
    let changes: usize = (0..FLEET).map(|n| network.changes(n).count()).sum();
    network.run_for(60 * SECOND);
    assert_eq!(count(&network), vec![live; FLEET - 1]);
    let later: usize = (0..FLEET).map(|n| network.changes(n).count()).sum();
    assert!(later - changes <= 2 * FLEET, "it does not flap: {} changes in a minute", later - changes);
    network.link = lossy(0.0);
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

// Each half goes on by itself; after the cut there is one view again within five seconds.
#[test_case(10, 10; "ten and ten")]
#[test_case(6, 6; "six and fourteen")]
#[test_case(1, FLEET; "one alone removes nobody")]
fn halves_go_on_alone_and_merge(at: usize, few: usize) {
    let mut network =
        SimulatedNetwork::fleet(9, FLEET, Box::new(move |_, a, b, _| ((a < at) == (b < at)).then_some(300)));
    network.run_for(60 * SECOND);
    assert!(
        (0..at).all(|n| network.live_count(n) == few)
            && (at..FLEET).all(|n| network.live_count(n) == FLEET - at)
    );
    network.link = lossy(0.02);
    assert!(
        network.run_until(5 * SECOND, |p| p.has_converged(FLEET)),
        "{:?}",
        (0..FLEET).map(|n| network.live_count(n)).collect::<Vec<_>>()
    );
}

// A deluded peer that hears nobody and one that lies remove nobody.
#[test]
fn a_liar_removes_nobody() {
    let mut network = SimulatedNetwork::fleet(10, FLEET, lossy(0.1));
    // It says of everybody else that they are gone, as often as it says anything.
    let views: Vec<MemberView> = network.members(3).members().collect();
    let me = network.members(3).local_record().clone();
    let mut lies: Vec<Vec<u8>> =
        views.iter().map(|s| report_of_death(&me, &s.record, u64::MAX / 2)).collect();
    let gone = |s: &MemberView| {
        let incarnation = s.record.incarnation + 5;
        news(&me, &Record { status: MemberStatus::Dead, incarnation, ..s.record.clone() })
    };
    lies.extend(views.iter().skip(1).map(gone));
    network.filter = Some(Box::new(move |from, message| {
        let mut all = vec![message.to_vec()];
        all.extend(if from == 3 { lies.clone() } else { Vec::new() });
        all
    }));
    network.run_for(20 * SECOND);
    assert_eq!(network.removals(), 0);
    assert!((0..FLEET).all(|n| network.live_count(n) == FLEET));
}

// Told by one voice that it is silent, or gone, a router says that it is there under a higher incarnation;
// with that guard taken out it has nothing higher to say, however few voices it has heard.
#[test_case(None, 1; "as in service")]
#[test_case(Some("old-incarnation"), 0; "with the guard taken out")]
fn a_single_report_of_death_is_refuted(without: Option<&str>, raised: u64) {
    let guards = without.and_then(Safeguards::without).unwrap_or(Safeguards::ALL);
    let mut network = SimulatedNetwork::fleet_with(18, 5, lossy(0.0), guards);
    let (one, two) = (network.members(1).local_record().clone(), network.members(2).local_record().clone());
    network.run_for(SECOND);
    network.deliver(2, &report_of_death(&one, &two, 7));
    network.deliver(2, &news(&one, &Record { status: MemberStatus::Dead, ..two.clone() }));
    assert_eq!(network.members(2).local_record().incarnation, two.incarnation + raised);
}

// The highest numbers there are, from a peer that holds the key: no panic.
#[test]
fn highest_numbers_do_not_panic() {
    let mut network = SimulatedNetwork::fleet(17, 5, lossy(0.0));
    let (one, two) = (network.members(1).local_record().clone(), network.members(2).local_record().clone());
    let messages = [
        report_of_death(&one, &two, u64::MAX),
        report_of_death(&two, &one, u64::MAX),
        news(&one, &Record { incarnation: u64::MAX, ..two.clone() }),
        news(&one, &Record { incarnation: u64::MAX, instance_id: InstanceId(u64::MAX), ..two }),
    ];
    for message in &messages {
        (0..5).for_each(|n| network.deliver(n, message));
        network.run_for(SECOND);
    }
    network.kill(3);
    network.run_for(10 * SECOND);
    assert!(network.live_count(0) >= 2);
}

// A link that is there for a second and away for a second, ten minutes long: no change at all.
#[test]
fn a_flapping_link_changes_nothing() {
    let flaps: Link = Box::new(|now, a, b, _| {
        (!(a.min(b) == 0 && a.max(b) == 1 && (now / SECOND).is_multiple_of(2))).then_some(300)
    });
    let mut network = SimulatedNetwork::fleet(11, FLEET, flaps);
    let changes = |p: &SimulatedNetwork| (0..FLEET).map(|n| p.changes(n).count()).sum::<usize>();
    let before = changes(&network);
    network.run_for(600 * SECOND);
    assert!(changes(&network) - before <= 4, "{}", changes(&network) - before);
}

#[test]
fn three_hundred_starts_at_once_converge() {
    let mut network = SimulatedNetwork::new(12, lossy(0.02));
    (0..300).for_each(|n| network.start(n, &name(n), address(n), &[0, 1, 2]));
    assert!(network.run_until(20 * SECOND, |p| p.has_converged(300)));
}

#[test]
fn leaving_needs_no_votes() {
    let mut network = SimulatedNetwork::fleet(13, FLEET, lossy(0.1));
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

// Half of the fleet at once, and back at once: those that watch each other are not needed to tell.
#[test]
fn half_of_the_fleet_killed_at_once_is_noticed() {
    let mut network = SimulatedNetwork::fleet(14, FLEET, lossy(0.02));
    (0..10).for_each(|n| network.kill(n));
    assert!(network.run_until(6 * SECOND, |p| p.has_converged(10)));
    (0..10).for_each(|n| network.start(n, &name(n), address(n), &[11, 12]));
    assert!(network.run_until(6 * SECOND, |p| p.has_converged(FLEET)));
}

// What was said of a router before it was gone does not bring it back.
#[test]
fn old_records_bring_nobody_back() {
    let mut network = SimulatedNetwork::fleet(15, 6, lossy(0.0));
    let record = network.members(2).local_record().clone();
    network.kill(2);
    assert!(network.run_until(6 * SECOND, |p| p.has_converged(5)));
    let old = news(network.members(1).local_record(), &record);
    network.deliver(0, &old);
    network.run_for(2 * SECOND);
    assert!(network.has_converged(5));
}

// One seed, one run: the same changes at the same microsecond.
#[test]
fn equal_seeds_give_equal_runs() {
    let run = |seed: u64| {
        let mut network = SimulatedNetwork::fleet(seed, FLEET, lossy(0.2));
        network.kill(1);
        network.pause(2, 5 * SECOND);
        network.run_for(20 * SECOND);
        (0..FLEET).map(|n| format!("{:?}", network.changes(n).collect::<Vec<_>>())).collect::<String>()
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}
