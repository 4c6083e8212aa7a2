//! Unit tests of the retry schedule.
use super::{MIN_WAIT_US, RetryAfterSchedule};
use crate::Micros;
use oorandom::Rand64;
use test_case::test_case;

const SECOND: Micros = 1_000_000;

// 5,000 requests are rejected at the same time: their retries match the rate and form no second wave.
#[test_case(500.0, 1; "one router")]
#[test_case(500.0, 4; "four uncoordinated routers, a quarter of the rate each")]
fn retries_arrive_at_the_given_rate(rate: f64, routers: usize) {
    let mut returns = vec![0usize; 400];
    for router in 0..routers {
        let (mut schedule, mut rng) = (RetryAfterSchedule::default(), Rand64::new(router as u128));
        for _ in 0..5_000 / routers {
            let wait = schedule.next_wait(SECOND, rate / routers as f64, 60 * SECOND, 0, rng.rand_float());
            returns[(wait.expect("there is time") / 100_000) as usize] += 1;
        }
    }
    let most = returns.iter().max().copied().unwrap_or(0) as f64 * 10.0;
    assert!(most <= 1.5 * rate, "{most} a second at the peak");
    assert_eq!(returns.iter().sum::<usize>(), 5_000);
}

#[test_case(250_000, None; "no time for a retry")]
#[test_case(2 * SECOND, Some(2 * SECOND); "within the deadline")]
fn a_wait_fits_into_the_remaining_time(left: Micros, most: Option<Micros>) {
    let mut schedule = RetryAfterSchedule::default();
    for n in 0..1_000 {
        let wait = schedule.next_wait(SECOND, 10.0, left, 0, f64::from(n) / 1_000.0);
        assert_eq!(wait.is_some(), most.is_some());
        assert!(wait.is_none_or(|w| w >= MIN_WAIT_US && Some(w) < most));
    }
}

// The queue is longer than the longest wait: clients at its end retry within 20 s, spread over that time.
#[test]
fn a_long_backlog_gives_capped_spread_out_waits() {
    let (mut schedule, mut rng) = (RetryAfterSchedule::default(), Rand64::new(7));
    let mut returns = [0usize; 21];
    for _ in 0..3_000 {
        let wait = schedule.next_wait(SECOND, 35.0, 90 * SECOND, 0, rng.rand_float()).expect("there is time");
        returns[(wait / SECOND) as usize] += 1;
    }
    assert_eq!(returns.iter().sum::<usize>(), 3_000);
    assert!(returns.iter().all(|n| *n < 450), "{returns:?}");
}

// A client that retries early waits longer each time, and does not delay the slots of others.
#[test]
fn early_retries_delay_only_their_own_client() {
    let mut schedule = RetryAfterSchedule::default();
    let first = schedule.next_wait(SECOND, 10.0, 60 * SECOND, 0, 0.0).expect("time");
    (0..100).for_each(|_| assert!(schedule.next_wait(SECOND, 10.0, 60 * SECOND, 3, 0.0).is_some()));
    let again = schedule.next_wait(SECOND, 10.0, 60 * SECOND, 1, 0.0).expect("time");
    let next = schedule.next_wait(SECOND, 10.0, 60 * SECOND, 0, 0.0).expect("time");
    assert!(next <= first + 200_000 && again >= 2 * first.min(next) - 100_000, "{first} {again} {next}");
}
