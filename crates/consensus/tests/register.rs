//! Registers of several routers on a paper network: clocks that drift, disks that lie, keepers that are lost.
#[path = "points/paper.rs"]
mod paper;
use applepond_consensus::*;
use applepond_membership::InstanceId;
use paper::*;
use test_case::test_case;

/// A fleet that has agreed on a text; three of its routers keep it.
fn agreed(seed: u64, routers: usize) -> SimulatedNetwork {
    let mut paper = SimulatedNetwork::new(seed, routers, 3);
    assert!(paper.until(12 * S, |p| p.all_hold("")), "founded: {:?}", paper.standstill(0));
    assert!(settle(&mut paper, "a"), "written and copied");
    paper
}

/// Wishes for it until all hold it: who convenes may change, and a wish is lost with it.
fn settle(paper: &mut SimulatedNetwork, text: &str) -> bool {
    (0..8).any(|_| {
        paper.wish(text);
        paper.until(3 * S, |p| p.all_hold(text))
    })
}

fn sound(paper: &SimulatedNetwork) {
    assert_eq!(paper.broken, None);
}

#[test_case(5)]
#[test_case(20)]
fn founded_and_copied(routers: usize) {
    for seed in 1..=10 {
        let mut paper = agreed(seed, routers);
        paper.pass(10 * S);
        assert!(paper.all_hold("a"));
        sound(&paper);
    }
}

#[test_case(lossy(0.2); "a fifth is lost")]
#[test_case(Box::new(|_, _, _, rng| Some(200 + rng.rand_range(0..120 * MS))); "slow links")]
#[test_case(Box::new(|at, a, _, _| (a != 0 || at / S % 7 > 2).then_some(300)); "one unheard at times")]
fn goes_on(link: Link) {
    let mut paper = agreed(4, 8);
    paper.link = link;
    for n in 0..20 {
        paper.wish(&format!("{n}"));
        paper.pass(3 * S);
    }
    paper.link = lossy(0.0);
    assert!(settle(&mut paper, "last"));
    sound(&paper);
}

// Who convenes dies: another does, and nothing that was written is lost.
#[test]
fn another_convenes() {
    for seed in 1..=20 {
        let mut paper = agreed(seed, 8);
        let first = paper.convener().expect("one of them");
        paper.kill(first);
        let begun = paper.now;
        assert!(paper.until(12 * S, |p| p.convener().is_some() && p.all_hold("a")), "seed {seed}");
        assert!(paper.now - begun < 5 * S, "seed {seed}: after {} ms", (paper.now - begun) / MS);
        sound(&paper);
    }
}

// A holder that stood still acts on nothing that is over, and one that is stopped convening is no convener.
#[test]
fn stood_still() {
    for seed in 1..=10 {
        let mut paper = agreed(seed, 8);
        let first = paper.convener().expect("one of them");
        paper.stop(first, 20 * S);
        paper.stop(7, 20 * S);
        paper.pass(6 * S);
        assert!(paper.wish("b"));
        paper.pass(4 * S);
        assert!(paper.held(7).is_none(), "it stands still, and its copy is over");
        assert!(paper.until(20 * S, |p| p.all_hold("b")));
        sound(&paper);
    }
}

// A keeper whose disk is lost is taken in as another one, and its old word counts for nothing.
#[test]
fn a_lost_disk_is_another_keeper() {
    let mut paper = agreed(2, 5);
    let other = (0..3).find(|n| Some(*n) != paper.convener()).expect("one of three");
    paper.kill(other);
    paper.lose(other);
    paper.pass(S);
    paper.start(other);
    let new = paper.disks[other].id;
    let taken_in = |p: &SimulatedNetwork| {
        p.held(4).is_some_and(|a| a.previous_replicas.is_empty() && a.replicas.iter().any(|s| s.disk == new))
    };
    assert!(paper.until(8 * S, taken_in));
    assert!(paper.all_hold("a"));
    sound(&paper);
}

// Most keepers lose their disks: nothing is agreed on, an old or empty past least of all, and it is named.
#[test_case(false; "one of them has its own")]
#[test_case(true; "all of them are lost")]
fn most_have_lost_their_disks(all: bool) {
    let mut paper = agreed(3, 6);
    let lost = if all { 3 } else { 2 };
    (0..3).for_each(|n| paper.kill(n));
    (0..lost).for_each(|n| paper.lose(n));
    paper.pass(S);
    (0..3).for_each(|n| paper.start(n));
    paper.pass(20 * S);
    assert!((0..6).all(|n| paper.held(n).is_none()), "at their floors");
    let named: Vec<Unavailable> = (0..3).filter_map(|n| paper.standstill(n)).collect();
    let wanted =
        if all { Unavailable::StateForgotten } else { Unavailable::MajorityLost { empty: 2, of: 3 } };
    assert!(named.contains(&wanted), "{named:?}");
    sound(&paper);
    // What the help says: all keepers stopped, their files removed, the founding raised.
    (0..6).for_each(|n| paper.kill(n));
    (0..3).for_each(|n| paper.lose(n));
    paper.fleet += 1;
    (0..6).for_each(|n| paper.start(n));
    assert!(paper.until(12 * S, |p| p.all_hold("")));
}

// Nothing counts before leases of a life before have ended, however it was founded.
#[test]
fn a_founding_ripens() {
    let mut paper = SimulatedNetwork::new(5, 5, 3);
    assert!(paper.until(9 * S, |p| p.standstill(0) == Some(Unavailable::BootstrapPending)
        || p.standstill(1) == Some(Unavailable::BootstrapPending)
        || p.standstill(2) == Some(Unavailable::BootstrapPending)));
    let ripens = paper.now;
    assert!(paper.until(9 * S, |p| (0..5).any(|n| p.held(n).is_some())));
    assert!(paper.now - ripens >= LEASE_DURATION, "{} ms", (paper.now - ripens) / MS);
}

// An older file is put back in place: whoever heard the keeper's word tells it, and it stops voting.
#[test]
fn an_older_file() {
    let mut paper = agreed(6, 5);
    let other = (0..3).find(|n| Some(*n) != paper.convener()).expect("one of three");
    let old = paper.disks[other].clone();
    assert!(settle(&mut paper, "b"));
    paper.kill(other);
    paper.disks[other] = old;
    paper.start(other);
    let doubt = Unavailable::AcceptorFailed("older");
    assert!(paper.until(4 * S, |p| p.standstill(other) == Some(doubt.clone())));
    assert!(paper.until(4 * S, |p| p.all_hold("b")));
    sound(&paper);
}

// All disks are of a life before the last founding, and agree with each other: nobody who knows goes by them.
#[test]
fn disks_of_an_earlier_line() {
    let mut paper = agreed(7, 6);
    let old: Vec<PaperDisk> = paper.disks.clone();
    (0..6).for_each(|n| paper.kill(n));
    (0..3).for_each(|n| paper.lose(n));
    paper.pass(S);
    // Nobody who remembers is left: it is founded anew, under another line.
    paper.lines.clear();
    (0..6).for_each(|n| paper.start(n));
    assert!(paper.until(12 * S, |p| p.all_hold("")));
    let line = paper.held(5).expect("agreed").register_id;
    let convener = paper.convener().expect("one of them");
    for n in (0..3).filter(|n| *n != convener) {
        paper.kill(n);
        paper.disks[n] = old[n].clone();
        paper.start(n);
    }
    paper.pass(20 * S);
    assert!((0..6).all(|n| paper.held(n).is_none_or(|a| a.register_id == line)));
    assert!((0..3).any(|n| paper.standstill(n) == Some(Unavailable::StateRolledBack)));
    sound(&paper);
}

// Disks that fail or lie, one at a time and at any keeper.
#[test_case(Does::Fails)]
#[test_case(Does::Lies)]
fn a_bad_disk(does: Does) {
    for seed in 1..=10 {
        let mut paper = agreed(seed, 5);
        let bad = seed as usize % 3;
        paper.disks[bad].does = does;
        for n in 0..6 {
            paper.wish(&format!("{n}"));
            paper.pass(3 * S);
        }
        if does == Does::Fails {
            assert_eq!(
                paper.standstill(bad),
                Some(Unavailable::AcceptorFailed("not-written")),
                "seed {seed}"
            );
        }
        // The process dies: what the disk only said it had is gone.
        paper.kill(bad);
        paper.start(bad);
        paper.pass(8 * S);
        assert!(settle(&mut paper, "last"), "seed {seed}");
        sound(&paper);
    }
}

// Keepers move to other routers by the settings of all, one after the other, while it is used.
#[test]
fn keepers_move() {
    let mut paper = agreed(8, 8);
    for step in 1..=3 {
        paper.named = (step..step + 3).map(router).collect();
        for n in 0..8 {
            // A rolling change of the settings: each router restarts with them.
            paper.kill(n);
            paper.start(n);
            paper.pass(1500 * MS);
        }
        paper.pass(10 * S);
        let named = paper.named.clone();
        let moved = |p: &SimulatedNetwork| {
            p.held(7).is_some_and(|a| {
                a.previous_replicas.is_empty()
                    && a.replicas.len() == 3
                    && a.replicas.iter().all(|s| named.contains(&s.router))
            })
        };
        assert!(paper.until(20 * S, moved), "step {step}: {:?}", paper.held(7));
        assert!(paper.all_hold("a"));
        sound(&paper);
    }
}

#[test_case(20)]
fn long_troubles(seeds: u64) {
    for seed in 0..seeds {
        let mut paper = agreed(seed, 7);
        paper.link = lossy(0.05);
        for _ in 0..40 {
            let (what, n) = (paper.rng.rand_range(0..6), paper.rng.rand_range(0..7) as usize);
            match what {
                0 => paper.kill(n),
                1 => paper.stop(n, 5 * S),
                2 if paper.all[n].is_none() => paper.start(n),
                3 => {
                    paper.link = Box::new(move |_, a, b, rng| {
                        let cut = (a == n) != (b == n) && rng.rand_float() < 0.8;
                        (!cut).then(|| 200 + rng.rand_range(0..300 * MS))
                    });
                }
                4 => paper.link = lossy(0.05),
                _ => {
                    let text = format!("{}", paper.rng.rand_range(0..1000));
                    paper.wish(&text);
                }
            }
            paper.pass(2 * S);
        }
        sound(&paper);
        paper.link = lossy(0.0);
        (0..7).for_each(|n| {
            if paper.all[n].is_none() {
                paper.start(n);
            }
        });
        assert!(paper.until(20 * S, |p| p.convener().is_some()), "seed {seed}: {:?}", paper.standstill(1));
        assert!(settle(&mut paper, "last"), "seed {seed}");
        sound(&paper);
    }
}

// A copy counts from its ask, for no longer than a lease, and never in place of what is newer.
#[test_case(1, 0, 7, 2 * S, false; "an answer to an ask before")]
#[test_case(0, 0, 7, LEASE_DURATION + 1, false; "more than a lease")]
#[test_case(0, 1, 7, 2 * S, false; "another line")]
#[test_case(0, 0, 4, 2 * S, false; "less than was seen")]
#[test_case(0, 0, 6, 2 * S, true; "newer")]
fn copies(ask_back: u64, line: u64, number: u64, left: u64, taken: bool) {
    let named: Vec<_> = (0..3).map(router).collect();
    let mut one: Register<Text> = Register::new(0, (router(9), InstanceId(1)), &named, false, 1);
    let mut asked = 0;
    let mut ask = |one: &mut Register<Text>, now: u64| {
        let mut out = message::MessageWriter::new(router(9));
        one.wake(now, &|_| true, &mut out);
        asked += out.messages.len() as u64;
        asked
    };
    let agreed = |line, number| RegisterState {
        register_id: InstanceId(line),
        version: number,
        replicas: vec![ReplicaId { router: router(0), disk: InstanceId(5) }],
        previous_replicas: Vec::new(),
        value: "x".to_owned(),
    };
    let first = ask(&mut one, 2 * S);
    one.on_state_response(2 * S, router(0), first, agreed(3, 5), 2 * S);
    assert_eq!(one.lease(2 * S).map(|h| h.expires_at), Some(4 * S - 2 * S / CLOCK_DRIFT_DIVISOR));
    let second = ask(&mut one, 3 * S);
    one.on_state_response(3 * S, router(0), second - ask_back, agreed(3 + line, number), left);
    let held = one.lease(3 * S).map(|h| h.state.version);
    assert_eq!(held == Some(number), taken, "{held:?}");
    assert!(one.lease(6 * S).is_none(), "and ends");
}

#[test]
fn messages_that_are_cut_or_made_up() {
    let mut paper = agreed(9, 4);
    let agreed = paper.held(3).expect("agreed");
    let mut out = message::MessageWriter::new(router(1));
    let ballot = Ballot { round: 1 << 40, by: 5 };
    ReplicaRequests::<Text>::prepare(&mut out, router(0), ballot, None);
    out.accept(router(0), ballot, &agreed, None);
    out.promised(router(0), (ballot, ballot), agreed.register_id, Some(&(ballot, agreed.clone())));
    out.send_state(router(0), 3, &agreed, 500);
    let many = RegisterState { replicas: vec![agreed.replicas[0]; MAX_REPLICAS + 1], ..agreed.clone() };
    out.send_state(router(0), 3, &many, 500);
    let far = RegisterState { version: u64::MAX, ..agreed };
    out.send_state(router(0), 3, &far, 500);
    let m = paper.all[3].as_mut().expect("there");
    let mut disk = PaperDisk { id: InstanceId(1), vote: None, torn: false, does: Does::Keeps };
    let mut voter: Replica<Text> = Replica::new(FLEET, InstanceId(1), Ok(None));
    let mut sent = message::MessageWriter::new(router(3));
    let mut refused = 0;
    for (_, bytes) in &out.messages {
        let mut read = |bytes: &[u8]| match message::is_acceptor_request(bytes) {
            true => message::handle_acceptor_request(bytes, &mut voter, &mut disk, &mut sent),
            false => message::handle_register_message(bytes, &mut m.register, 0, &[], &mut sent),
        };
        (0..bytes.len()).for_each(|at| assert!(read(&bytes[..at]).is_err(), "cut at {at}"));
        refused += u64::from(read(bytes).is_err());
    }
    assert_eq!(refused, 2, "too many keepers, and a number that nobody gives out");
}

#[test]
fn errors_say_what_to_do() {
    use miette::Diagnostic;
    let each = Unavailable::each();
    assert!(each.iter().all(|e| e.code().is_some() && e.help().is_some()));
    assert!(message::MalformedMessage.help().is_some());
}
