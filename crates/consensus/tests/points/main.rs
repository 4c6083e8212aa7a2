//! Faults at numbered points: whatever an instance does with its disk and its socket is a point; a run counts
//! them, then is played again for each of them with each kind of fault there. One that fails prints the line
//! that plays it again.
mod paper;
use applepond_consensus::Unavailable;
use paper::*;

const SEED: u64 = 11;

/// What an operator had to do: keepers in doubt, and all of it founded anew.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Done {
    mended: usize,
    founded: usize,
}

/// Whether all come to hold this.
fn settles(paper: &mut SimulatedNetwork, text: &str) -> bool {
    (0..12).any(|_| {
        paper.wish(text);
        paper.until(2 * S, |p| p.all_hold(text))
    })
}

/// What the help of a keeper in doubt says.
fn mend(paper: &mut SimulatedNetwork) -> usize {
    let doubt = |p: &SimulatedNetwork, n: usize| match p.standstill(n) {
        Some(Unavailable::AcceptorFailed(why)) => Some(why),
        _ => None,
    };
    let doubts: Vec<_> = (0..3).filter_map(|n| Some((n, doubt(paper, n)?))).collect();
    for (n, why) in &doubts {
        paper.kill(*n);
        if *why != "not-written" {
            paper.lose(*n);
        }
        paper.start(*n);
    }
    doubts.len()
}

/// A register's life: founded, changed, its convener killed, a disk lost, changed again. Where nothing is
/// agreed on, an operator does what the router's own words say, and nothing else.
fn life(paper: &mut SimulatedNetwork) -> Result<Done, String> {
    let mut done = Done::default();
    let mut step = |paper: &mut SimulatedNetwork, text: &str| {
        let mut agreed = settles(paper, text);
        if !agreed {
            let many = mend(paper);
            done.mended += many;
            agreed = many > 0 && settles(paper, text);
        }
        let named = (0..3).filter_map(|n| paper.standstill(n)).collect::<Vec<_>>();
        let lost = |s: &Unavailable| matches!(s, Unavailable::MajorityLost { .. });
        if !agreed && named.iter().any(lost) {
            (0..5).for_each(|n| paper.kill(n));
            (0..3).for_each(|n| paper.lose(n));
            paper.fleet += 1;
            (0..5).for_each(|n| paper.start(n));
            done.founded += 1;
            agreed = settles(paper, text);
        }
        match (&paper.broken, agreed) {
            (Some(why), _) => Err(why.clone()),
            (None, false) => Err(format!("{text:?} is not agreed on; {named:?}")),
            _ => Ok(()),
        }
    };
    step(paper, "a")?;
    step(paper, "b")?;
    if let Some(n) = paper.convener() {
        paper.kill(n);
        paper.pass(2 * S);
        paper.start(n);
    }
    step(paper, "c")?;
    // The process of a lost disk dies with it. Where a fault has taken another one, most are lost.
    let lost = (0..3).find(|n| Some(*n) != paper.convener()).unwrap_or(0);
    paper.kill(lost);
    paper.lose(lost);
    paper.start(lost);
    step(paper, "d")?;
    Ok(done)
}

fn play(at: Option<(u64, Fault)>) -> (SimulatedNetwork, Result<Done, String>) {
    let mut paper = SimulatedNetwork::new(SEED, 5, 3);
    paper.points.at = at;
    let done = life(&mut paper);
    (paper, done)
}

/// Which of a point's kinds can fall there at all: a write does not come twice.
#[test]
fn each_point_in_turn() {
    // One alone: POINT=17 KIND=Late cargo test -p applepond-consensus --test points
    let (one, kind) = (std::env::var("POINT").ok(), std::env::var("KIND").ok());
    let (paper, done) = play(None);
    assert_eq!(done, Ok(Done::default()), "without a fault nobody has to do anything");
    let points = paper.points.count;
    let (mut plays, mut mended, mut founded, mut failed) = (0, 0, 0, Vec::new());
    for point in (1..=points).filter(|p| one.as_ref().is_none_or(|one| *one == p.to_string())) {
        for fault in FAULTS.into_iter().filter(|f| kind.as_ref().is_none_or(|k| *k == format!("{f:?}"))) {
            let (paper, done) = play(Some((point, fault)));
            plays += 1;
            let what = paper.points.hit.unwrap_or_default();
            let line = format!("POINT={point} KIND={fault:?} (seed {SEED}, {what})");
            match done {
                Ok(done) => {
                    mended += usize::from(done.mended > 0);
                    founded += usize::from(done.founded > 0);
                    // Only what a keeper's disk did ever wants an operator.
                    if done != Done::default() && !what.contains("writes its vote") {
                        failed.push(format!("{line}: {done:?}"));
                    }
                }
                Err(why) => failed.push(format!("{line}: {why}")),
            }
        }
    }
    let bad = failed.len();
    println!("{points} points, {plays} plays, {mended} mended, {founded} founded anew, {bad} failed");
    failed.iter().take(20).for_each(|f| println!("{f} cargo test -p applepond-consensus --test points"));
    assert!(failed.is_empty());
    assert!(one.is_some() || points > 300, "{points}");
}
