//! Fault injection at every I/O operation of a recovery: each disk or network operation of a router is a
//! numbered fault point. A fault-free run counts them; then the run is repeated with each kind of fault at
//! each point.
mod simulation;
use applepond_recovery::{FactKind, RECOVERY_WINDOW, Stage};
use simulation::*;

const SEED: u64 = 5;

/// Three of four routers are killed and restarted, one of them without its disk.
fn run_lifecycle(network: &mut SimulatedNetwork) -> Result<(), String> {
    network.advance(12 * S);
    (1..4).for_each(|n| network.kill(n));
    network.disks[3] = None;
    network.advance(S);
    (1..4).for_each(|n| {
        if network.all[n].is_none() {
            network.start(n);
        }
    });
    // A router that a fault has killed meanwhile has its recovery window from its own restart.
    let back = |p: &SimulatedNetwork| {
        (0..4).all(|n| {
            p.all[n].is_some() && p.at(n).peers.stage() != Stage::Requesting && p.age(n) > RECOVERY_WINDOW / 2
        })
    };
    for _ in 0..24 {
        network.advance(500 * MS);
        network.check()?;
        if back(network) {
            break;
        }
    }
    if !back(network) {
        return Err("a router is still requesting facts after 12 s".to_owned());
    }
    match (1..4).find(|n| network.value_of(*n, FactKind::Draining, 0).is_none()) {
        Some(n) => Err(format!("r{n} has lost a drain: {:?}", network.at(n).peers.stage())),
        None => Ok(()),
    }
}

fn run(at: Option<(u64, Fault)>) -> (SimulatedNetwork, Result<(), String>) {
    let mut network = SimulatedNetwork::new(SEED, 4);
    network.points.at = at;
    let done = run_lifecycle(&mut network);
    (network, done)
}

#[test]
fn a_fault_at_each_point_loses_nothing() {
    // To run a single fault: POINT=17 KIND=Late cargo test -p applepond-recovery --test fault_points
    let (one, kind) = (std::env::var("POINT").ok(), std::env::var("KIND").ok());
    let (network, done) = run(None);
    assert_eq!(done, Ok(()), "without a fault");
    let points = network.points.count;
    let wanted: Vec<(u64, Fault)> = (1..=points)
        .filter(|p| one.as_ref().is_none_or(|one| *one == p.to_string()))
        .flat_map(|p| FAULTS.map(|f| (p, f)))
        .filter(|(_, f)| kind.as_ref().is_none_or(|k| *k == format!("{f:?}")))
        .collect();
    let runs = wanted.len();
    let chunk = runs.div_ceil(std::thread::available_parallelism().map_or(4, usize::from)).max(1);
    let turn = |(point, fault): &(u64, Fault)| {
        let (network, done) = run(Some((*point, *fault)));
        let what = network.points.hit.unwrap_or_default();
        done.err().map(|why| format!("POINT={point} KIND={fault:?} (seed {SEED}, {what}): {why}"))
    };
    let failed: Vec<String> = std::thread::scope(|threads| {
        let part =
            |these| threads.spawn(move || Vec::from_iter(Iterator::filter_map(<[_]>::iter(these), turn)));
        let all: Vec<_> = wanted.chunks(chunk).map(part).collect();
        all.into_iter().flat_map(|t| t.join().expect("played")).collect()
    });
    println!("{points} points, {runs} runs, {} failed", failed.len());
    failed.iter().take(20).for_each(|f| println!("{f} cargo test -p applepond-recovery --test fault_points"));
    assert!(failed.is_empty());
    assert!(one.is_some() || points > 100, "{points}");
}
