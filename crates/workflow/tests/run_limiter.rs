//! The limiter of new runs with a simple model of a fleet.
use applepond::interface::Micros;
use applepond_workflow::RunLimiter;
use std::collections::BTreeMap;
use test_case::test_case;

const S: Micros = 1_000_000;

/// Runs of three steps with a deadline of 2 s arrive at `rate` per second for 30 s at a fleet that executes
/// 90 steps per second. Returns the runs finished per second in the last 20 s, and the fraction of steps
/// that was wasted.
fn simulate(rate: u64, is_limited: bool) -> (f64, f64) {
    let mut limiter = RunLimiter::default();
    // Finished steps of the active runs, by time of arrival.
    let mut active: BTreeMap<Micros, u32> = BTreeMap::new();
    let (mut finished, mut executed, mut wasted) = (0, 0, 0);
    let (mut now, mut next) = (S, S);
    while now < 31 * S {
        now += S / 90;
        while next <= now {
            if !is_limited || limiter.admit(next) {
                active.insert(next, 0);
            }
            next += S / rate;
        }
        while let Some((arrival, steps)) =
            active.first_key_value().map(|(c, s)| (*c, *s)).filter(|(c, _)| c + 2 * S < now)
        {
            active.remove(&arrival);
            wasted += steps;
            limiter.run_ended(now, false, steps > 0);
        }
        // Any active run may be next: the step that waits longest at a worker need not be of the oldest
        // run.
        let turn = active.len().checked_sub(1).map(|last| (now / 7 % 1_000_003) as usize % (last + 1));
        let Some((arrival, steps)) = turn.and_then(|n| active.iter_mut().nth(n)) else { continue };
        (*steps, executed) = (*steps + 1, executed + 1);
        if *steps == 3 {
            let arrival = *arrival;
            active.remove(&arrival);
            finished += u32::from(now > 11 * S);
            limiter.run_ended(now, true, false);
        }
    }
    (f64::from(finished) / 20.0, f64::from(wasted) / f64::from(executed))
}

#[test_case(15, 14.0; "half the capacity")]
#[test_case(60, 22.0; "twice the capacity")]
#[test_case(90, 22.0; "three times the capacity")]
fn runs_finish_under_overload(rate: u64, least: f64) {
    let (finished, wasted) = simulate(rate, true);
    assert!(finished >= least && wasted < 0.25, "{finished} per second, {wasted:.2} wasted");
}

// Without the limit more runs are started than finish, and the work is spent on their first steps.
#[test]
fn without_the_limit_goodput_falls() {
    let (finished, wasted) = simulate(90, false);
    assert!(finished < 16.0 && wasted > 0.4, "{finished} per second, {wasted:.2} wasted");
}

#[test]
fn no_run_is_rejected_while_runs_finish() {
    let mut limiter = RunLimiter::default();
    for n in 0..5_000u64 {
        let now = S + n * 2_000;
        assert!(limiter.admit(now));
        limiter.run_ended(now, true, n % 50 == 0);
    }
    assert_eq!(limiter.allowed(), None);
}
