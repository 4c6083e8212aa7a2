//! The limit on new chains beside a simple fleet.
use applepond::interface::Micros;
use applepond_workflow::RunLimiter;
use std::collections::BTreeMap;
use test_case::test_case;

const S: Micros = 1_000_000;

/// Chains of three steps ask so many a second for 30 s of a fleet that does 90 steps a second, the oldest
/// chain first, and have 2 s: whole ones a second in the last 20 s, and the part of the work that was
/// wasted.
fn against(asked: u64, paced: bool) -> (f64, f64) {
    let mut limiter = RunLimiter::default();
    // By when it came: steps done.
    let mut open: BTreeMap<Micros, u32> = BTreeMap::new();
    let (mut whole, mut spent, mut lost) = (0, 0, 0);
    let (mut now, mut next) = (S, S);
    while now < 31 * S {
        now += S / 90;
        while next <= now {
            if !paced || limiter.admit(next) {
                open.insert(next, 0);
            }
            next += S / asked;
        }
        while let Some((came, steps)) =
            open.first_key_value().map(|(c, s)| (*c, *s)).filter(|(c, _)| c + 2 * S < now)
        {
            open.remove(&came);
            lost += steps;
            limiter.run_ended(now, false, steps > 0);
        }
        // The step that waits longest for a worker is not the one whose chain is oldest: any may be.
        let turn = open.len().checked_sub(1).map(|last| (now / 7 % 1_000_003) as usize % (last + 1));
        let Some((came, steps)) = turn.and_then(|n| open.iter_mut().nth(n)) else { continue };
        (*steps, spent) = (*steps + 1, spent + 1);
        if *steps == 3 {
            let came = *came;
            open.remove(&came);
            whole += u32::from(now > 11 * S);
            limiter.run_ended(now, true, false);
        }
    }
    (f64::from(whole) / 20.0, f64::from(lost) / f64::from(spent))
}

#[test_case(15, 14.0; "half of what it can do")]
#[test_case(60, 22.0; "twice")]
#[test_case(90, 22.0; "three times")]
fn whole_chains_are_finished(asked: u64, least: f64) {
    let (whole, wasted) = against(asked, true);
    assert!(whole >= least && wasted < 0.25, "{whole} a second, {wasted:.2} wasted");
}

// Without a pace more chains are begun than finished, and the work goes into first steps.
#[test]
fn without_a_pace_goodput_falls() {
    let (whole, wasted) = against(90, false);
    assert!(whole < 16.0 && wasted > 0.4, "{whole} a second, {wasted:.2} wasted");
}

#[test]
fn nobody_is_turned_away_while_chains_finish() {
    let mut limiter = RunLimiter::default();
    for n in 0..5_000u64 {
        let now = S + n * 2_000;
        assert!(limiter.admit(now));
        limiter.run_ended(now, true, n % 50 == 0);
    }
    assert_eq!(limiter.allowed(), None);
}
