//! Faults at numbered points of coming back: whatever an instance does with its disk and its socket is a
//! point; a run counts them, then is played again for each of them with each kind of fault there.
mod paper;
use applepond_recovery::{FactKind, RECOVERY_WINDOW, Stage};
use paper::*;

const SEED: u64 = 5;

/// Three of four die, one of them without its disk, and come back.
fn life(paper: &mut SimulatedNetwork) -> Result<(), String> {
    paper.pass(12 * S);
    (1..4).for_each(|n| paper.kill(n));
    paper.disks[3] = None;
    paper.pass(S);
    (1..4).for_each(|n| {
        if paper.all[n].is_none() {
            paper.start(n);
        }
    });
    // A fault may have killed one meanwhile: it has its span from its own start.
    let back = |p: &SimulatedNetwork| {
        (0..4).all(|n| {
            p.all[n].is_some() && p.at(n).peers.stage() != Stage::Requesting && p.age(n) > RECOVERY_WINDOW / 2
        })
    };
    for _ in 0..24 {
        paper.pass(500 * MS);
        paper.sound()?;
        if back(paper) {
            break;
        }
    }
    if !back(paper) {
        return Err("somebody is still asking after 12 s".to_owned());
    }
    match (1..4).find(|n| paper.holds(*n, FactKind::Draining, 0).is_none()) {
        Some(n) => Err(format!("r{n} has forgotten a drain: {:?}", paper.at(n).peers.stage())),
        None => Ok(()),
    }
}

fn play(at: Option<(u64, Fault)>) -> (SimulatedNetwork, Result<(), String>) {
    let mut paper = SimulatedNetwork::new(SEED, 4);
    paper.points.at = at;
    let done = life(&mut paper);
    (paper, done)
}

#[test]
fn each_point_in_turn() {
    // One alone: POINT=17 KIND=Late cargo test -p applepond-recovery --test points
    let (one, kind) = (std::env::var("POINT").ok(), std::env::var("KIND").ok());
    let (paper, done) = play(None);
    assert_eq!(done, Ok(()), "without a fault");
    let points = paper.points.count;
    let wanted: Vec<(u64, Fault)> = (1..=points)
        .filter(|p| one.as_ref().is_none_or(|one| *one == p.to_string()))
        .flat_map(|p| FAULTS.map(|f| (p, f)))
        .filter(|(_, f)| kind.as_ref().is_none_or(|k| *k == format!("{f:?}")))
        .collect();
    let plays = wanted.len();
    let chunk = plays.div_ceil(std::thread::available_parallelism().map_or(4, usize::from)).max(1);
    let turn = |(point, fault): &(u64, Fault)| {
        let (paper, done) = play(Some((*point, *fault)));
        let what = paper.points.hit.unwrap_or_default();
        done.err().map(|why| format!("POINT={point} KIND={fault:?} (seed {SEED}, {what}): {why}"))
    };
    let failed: Vec<String> = std::thread::scope(|threads| {
        let part =
            |these| threads.spawn(move || Vec::from_iter(Iterator::filter_map(<[_]>::iter(these), turn)));
        let all: Vec<_> = wanted.chunks(chunk).map(part).collect();
        all.into_iter().flat_map(|t| t.join().expect("played")).collect()
    });
    println!("{points} points, {plays} plays, {} failed", failed.len());
    failed.iter().take(20).for_each(|f| println!("{f} cargo test -p applepond-recovery --test points"));
    assert!(failed.is_empty());
    assert!(one.is_some() || points > 100, "{points}");
}
