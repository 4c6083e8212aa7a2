//! Faults at numbered points of a recovery: whatever an instance does with its disk and its socket is a
//! point; a run counts them, then is played again for each of them with each kind of fault there.
mod simulation;
use applepond_recovery::{FactKind, RECOVERY_WINDOW, Stage};
use simulation::*;

const SEED: u64 = 5;

/// Three of four die, one of them without its disk, and come back.
fn life(network: &mut SimulatedNetwork) -> Result<(), String> {
    network.pass(12 * S);
    (1..4).for_each(|n| network.kill(n));
    network.disks[3] = None;
    network.pass(S);
    (1..4).for_each(|n| {
        if network.all[n].is_none() {
            network.start(n);
        }
    });
    // A fault may have killed one meanwhile: it has its window from its own start.
    let back = |p: &SimulatedNetwork| {
        (0..4).all(|n| {
            p.all[n].is_some() && p.at(n).peers.stage() != Stage::Requesting && p.age(n) > RECOVERY_WINDOW / 2
        })
    };
    for _ in 0..24 {
        network.pass(500 * MS);
        network.check()?;
        if back(network) {
            break;
        }
    }
    if !back(network) {
        return Err("somebody is still asking after 12 s".to_owned());
    }
    match (1..4).find(|n| network.value_of(*n, FactKind::Draining, 0).is_none()) {
        Some(n) => Err(format!("r{n} has forgotten a drain: {:?}", network.at(n).peers.stage())),
        None => Ok(()),
    }
}

fn play(at: Option<(u64, Fault)>) -> (SimulatedNetwork, Result<(), String>) {
    let mut network = SimulatedNetwork::new(SEED, 4);
    network.points.at = at;
    let done = life(&mut network);
    (network, done)
}

#[test]
fn a_fault_at_each_point_loses_nothing() {
    // One alone: POINT=17 KIND=Late cargo test -p applepond-recovery --test fault_points
    let (one, kind) = (std::env::var("POINT").ok(), std::env::var("KIND").ok());
    let (network, done) = play(None);
    assert_eq!(done, Ok(()), "without a fault");
    let points = network.points.count;
    let wanted: Vec<(u64, Fault)> = (1..=points)
        .filter(|p| one.as_ref().is_none_or(|one| *one == p.to_string()))
        .flat_map(|p| FAULTS.map(|f| (p, f)))
        .filter(|(_, f)| kind.as_ref().is_none_or(|k| *k == format!("{f:?}")))
        .collect();
    let plays = wanted.len();
    let chunk = plays.div_ceil(std::thread::available_parallelism().map_or(4, usize::from)).max(1);
    let turn = |(point, fault): &(u64, Fault)| {
        let (network, done) = play(Some((*point, *fault)));
        let what = network.points.hit.unwrap_or_default();
        done.err().map(|why| format!("POINT={point} KIND={fault:?} (seed {SEED}, {what}): {why}"))
    };
    let failed: Vec<String> = std::thread::scope(|threads| {
        let part =
            |these| threads.spawn(move || Vec::from_iter(Iterator::filter_map(<[_]>::iter(these), turn)));
        let all: Vec<_> = wanted.chunks(chunk).map(part).collect();
        all.into_iter().flat_map(|t| t.join().expect("played")).collect()
    });
    println!("{points} points, {plays} plays, {} failed", failed.len());
    failed.iter().take(20).for_each(|f| println!("{f} cargo test -p applepond-recovery --test fault_points"));
    assert!(failed.is_empty());
    assert!(one.is_some() || points > 100, "{points}");
}
