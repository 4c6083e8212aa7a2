//! Faults at numbered points: whatever an instance does with its disk and its socket is a point; a run counts
//! them, then is played again for each of them with each kind of fault there. One that fails prints the line
//! that plays it again.
mod simulation;
use applepond_consensus::Unavailable;
use simulation::*;

const SEED: u64 = 11;

/// What an operator had to do: replicas in doubt, and all of it bootstrapped again.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Done {
    mended: usize,
    bootstrapped: usize,
}

/// Whether all come to hold this.
fn settles(network: &mut SimulatedNetwork, text: &str) -> bool {
    (0..12).any(|_| {
        network.propose(text);
        network.until(2 * S, |p| p.all_hold(text))
    })
}

/// What the help of a replica in doubt says.
fn mend(network: &mut SimulatedNetwork) -> usize {
    let doubt = |p: &SimulatedNetwork, n: usize| match p.unavailable_reason(n) {
        Some(Unavailable::AcceptorFailed(why)) => Some(why),
        _ => None,
    };
    let doubts: Vec<_> = (0..3).filter_map(|n| Some((n, doubt(network, n)?))).collect();
    for (n, why) in &doubts {
        network.kill(*n);
        if *why != "not-written" {
            network.lose(*n);
        }
        network.start(*n);
    }
    doubts.len()
}

/// Has a text agreed on, with what an operator has to do for it, which is noted.
fn reach(network: &mut SimulatedNetwork, text: &str, done: &mut Done) -> Result<(), String> {
    let mut agreed = settles(network, text);
    if !agreed {
        let many = mend(network);
        done.mended += many;
        agreed = many > 0 && settles(network, text);
    }
    let reasons = (0..3).filter_map(|n| network.unavailable_reason(n)).collect::<Vec<_>>();
    let lost = |s: &Unavailable| matches!(s, Unavailable::MajorityLost { .. });
    if !agreed && reasons.iter().any(lost) {
        (0..5).for_each(|n| network.kill(n));
        (0..3).for_each(|n| network.lose(n));
        network.fleet += 1;
        (0..5).for_each(|n| network.start(n));
        done.bootstrapped += 1;
        agreed = settles(network, text);
    }
    match (&network.broken, agreed) {
        (Some(why), _) => Err(why.clone()),
        (None, false) => Err(format!("{text:?} is not agreed on; {reasons:?}")),
        _ => Ok(()),
    }
}

/// A register's life: bootstrapped, changed, its leader killed, a disk lost, changed again. Where nothing is
/// agreed on, an operator does what the router's own words say, and nothing else.
fn life(network: &mut SimulatedNetwork) -> Result<Done, String> {
    let mut done = Done::default();
    reach(network, "a", &mut done)?;
    reach(network, "b", &mut done)?;
    if let Some(n) = network.leader() {
        network.kill(n);
        network.pass(2 * S);
        network.start(n);
    }
    reach(network, "c", &mut done)?;
    // The process of a lost disk dies with it. Where a fault has taken another one, most are lost.
    let lost = (0..3).find(|n| Some(*n) != network.leader()).unwrap_or(0);
    network.kill(lost);
    network.lose(lost);
    network.start(lost);
    reach(network, "d", &mut done)?;
    Ok(done)
}

fn play(at: Option<(u64, Fault)>) -> (SimulatedNetwork, Result<Done, String>) {
    let mut network = SimulatedNetwork::new(SEED, 5, 3);
    network.points.at = at;
    let done = life(&mut network);
    (network, done)
}

/// Which of a point's kinds can fall there at all: a write does not come twice.
#[test]
fn a_fault_at_each_point_loses_nothing() {
    // One alone: POINT=17 KIND=Late cargo test -p applepond-consensus --test fault_points
    let (one, kind) = (std::env::var("POINT").ok(), std::env::var("KIND").ok());
    let (network, done) = play(None);
    assert_eq!(done, Ok(Done::default()), "without a fault nobody has to do anything");
    let points = network.points.count;
    let (mut plays, mut mended, mut bootstrapped, mut failed) = (0, 0, 0, Vec::new());
    for point in (1..=points).filter(|p| one.as_ref().is_none_or(|one| *one == p.to_string())) {
        for fault in FAULTS.into_iter().filter(|f| kind.as_ref().is_none_or(|k| *k == format!("{f:?}"))) {
            let (network, done) = play(Some((point, fault)));
            plays += 1;
            let what = network.points.hit.unwrap_or_default();
            let line = format!("POINT={point} KIND={fault:?} (seed {SEED}, {what})");
            match done {
                Ok(done) => {
                    mended += usize::from(done.mended > 0);
                    bootstrapped += usize::from(done.bootstrapped > 0);
                    // Only what a replica's disk did ever wants an operator.
                    if done != Done::default() && !what.contains("writes its state") {
                        failed.push(format!("{line}: {done:?}"));
                    }
                }
                Err(why) => failed.push(format!("{line}: {why}")),
            }
        }
    }
    let bad = failed.len();
    println!(
        "{points} points, {plays} plays, {mended} mended, {bootstrapped} bootstrapped anew, {bad} failed"
    );
    failed
        .iter()
        .take(20)
        .for_each(|f| println!("{f} cargo test -p applepond-consensus --test fault_points"));
    assert!(failed.is_empty());
    assert!(one.is_some() || points > 300, "{points}");
}
