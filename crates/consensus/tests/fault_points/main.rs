//! Fault injection at every I/O operation: each disk or network operation of a router is a numbered fault
//! point. A fault-free run counts them; then the run is repeated with each kind of fault at each point. A
//! failure prints the command that reproduces it.
mod simulation;
use applepond_consensus::Unavailable;
use simulation::*;

const SEED: u64 = 11;

/// The number of operator interventions: repaired replicas, and bootstraps of the whole register.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Done {
    repaired: usize,
    bootstrapped: usize,
}

/// Whether all routers come to hold this value.
fn converges_on(network: &mut SimulatedNetwork, text: &str) -> bool {
    (0..12).any(|_| {
        network.propose(text);
        network.run_until(2 * S, |p| p.all_hold(text))
    })
}

/// Follows the help text of each replica that abstains. Returns how many there were.
fn follow_help(network: &mut SimulatedNetwork) -> usize {
    let failure_of = |p: &SimulatedNetwork, n: usize| match p.unavailable_reason(n) {
        Some(Unavailable::AcceptorFailed(why)) => Some(why),
        _ => None,
    };
    let failures: Vec<_> = (0..3).filter_map(|n| Some((n, failure_of(network, n)?))).collect();
    for (n, why) in &failures {
        network.kill(*n);
        if *why != "not-written" {
            network.replace_disk(*n);
        }
        network.start(*n);
    }
    failures.len()
}

/// Commits a value, with the operator interventions that are necessary, which are counted.
fn reach_agreement(network: &mut SimulatedNetwork, text: &str, done: &mut Done) -> Result<(), String> {
    let mut agreed = converges_on(network, text);
    if !agreed {
        let many = follow_help(network);
        done.repaired += many;
        agreed = many > 0 && converges_on(network, text);
    }
    let reasons = (0..3).filter_map(|n| network.unavailable_reason(n)).collect::<Vec<_>>();
    let lost = |s: &Unavailable| matches!(s, Unavailable::MajorityLost { .. });
    if !agreed && reasons.iter().any(lost) {
        (0..5).for_each(|n| network.kill(n));
        (0..3).for_each(|n| network.replace_disk(n));
        network.fleet += 1;
        (0..5).for_each(|n| network.start(n));
        done.bootstrapped += 1;
        agreed = converges_on(network, text);
    }
    match (&network.violation, agreed) {
        (Some(why), _) => Err(why.clone()),
        (None, false) => Err(format!("{text:?} is not agreed on; {reasons:?}")),
        _ => Ok(()),
    }
}

/// The life cycle of a register: bootstrap, changes, a killed leader, a lost disk, another change. If the
/// register is unavailable, the operator does exactly what the router's help text says.
fn run_lifecycle(network: &mut SimulatedNetwork) -> Result<Done, String> {
    let mut done = Done::default();
    reach_agreement(network, "a", &mut done)?;
    reach_agreement(network, "b", &mut done)?;
    if let Some(n) = network.leader() {
        network.kill(n);
        network.advance(2 * S);
        network.start(n);
    }
    reach_agreement(network, "c", &mut done)?;
    // The process crashes with its disk. If a fault has destroyed another disk, a majority is lost.
    let lost = (0..3).find(|n| Some(*n) != network.leader()).unwrap_or(0);
    network.kill(lost);
    network.replace_disk(lost);
    network.start(lost);
    reach_agreement(network, "d", &mut done)?;
    Ok(done)
}

fn run(at: Option<(u64, Fault)>) -> (SimulatedNetwork, Result<Done, String>) {
    let mut network = SimulatedNetwork::new(SEED, 5, 3);
    network.points.at = at;
    let done = run_lifecycle(&mut network);
    (network, done)
}

// Some kinds of faults have no effect at some points: a write, for example, cannot be duplicated.
#[test]
fn a_fault_at_each_point_loses_nothing() {
    // To run a single fault: POINT=17 KIND=Late cargo test -p applepond-consensus --test fault_points
    let (one, kind) = (std::env::var("POINT").ok(), std::env::var("KIND").ok());
    let (network, done) = run(None);
    assert_eq!(done, Ok(Done::default()), "without a fault no intervention is necessary");
    let points = network.points.count;
    let (mut runs, mut repaired, mut bootstrapped, mut failed) = (0, 0, 0, Vec::new());
    for point in (1..=points).filter(|p| one.as_ref().is_none_or(|one| *one == p.to_string())) {
        for fault in FAULTS.into_iter().filter(|f| kind.as_ref().is_none_or(|k| *k == format!("{f:?}"))) {
            let (network, done) = run(Some((point, fault)));
            runs += 1;
            let what = network.points.hit.unwrap_or_default();
            let line = format!("POINT={point} KIND={fault:?} (seed {SEED}, {what})");
            match done {
                Ok(done) => {
                    repaired += usize::from(done.repaired > 0);
                    bootstrapped += usize::from(done.bootstrapped > 0);
                    // Only faults of a replica's disk may require an operator.
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
        "{points} points, {runs} runs, {repaired} repaired, {bootstrapped} bootstrapped again, {bad} failed"
    );
    failed
        .iter()
        .take(20)
        .for_each(|f| println!("{f} cargo test -p applepond-consensus --test fault_points"));
    assert!(failed.is_empty());
    assert!(one.is_some() || points > 300, "{points}");
}
