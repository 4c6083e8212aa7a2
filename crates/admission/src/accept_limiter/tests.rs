//! The limiter of accepted connections by itself.
use super::{AcceptLimiter, BURST, RATE};
use crate::Micros;

const SECOND: Micros = 1_000_000;

// 4,096 stand at the door at once, as many as the kernel holds: all are in within two seconds, and no
// stretch of 100 ms takes more than its part and a burst.
#[test]
fn a_full_backlog_is_accepted_at_the_rate_within_two_seconds() {
    let (mut limiter, mut now, mut taken) = (AcceptLimiter::new(SECOND), SECOND, Vec::new());
    for _ in 0..4_096 {
        taken.push(now);
        now += limiter.connection_accepted(now).unwrap_or(10);
    }
    assert!(now < SECOND + 2 * SECOND, "the last waited {} us", now - SECOND);
    assert!(now > SECOND + 3 * SECOND / 2, "it was no pace: {} us", now - SECOND);
    let most =
        taken.iter().map(|t| taken.iter().filter(|o| (*t..t + SECOND / 10).contains(*o)).count()).max();
    assert!(most <= Some((BURST + RATE / 10.0) as usize + 1), "{most:?} in 100 ms");
    assert!(limiter.pauses() > 50);
}

#[test]
fn an_ordinary_load_is_never_paused() {
    let mut limiter = AcceptLimiter::new(0);
    assert!((0..10_000u64).all(|n| limiter.connection_accepted(n * 1_000).is_none()));
}
