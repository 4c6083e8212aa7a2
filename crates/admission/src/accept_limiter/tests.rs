//! Unit tests of the limiter of accepted connections.
use super::{AcceptLimiter, BURST, RATE_PER_S};
use crate::Micros;

const SECOND: Micros = 1_000_000;

// 4,096 connections arrive at once, a full listen backlog: all are accepted within two seconds, and no
// period of 100 ms accepts more than the rate and one burst.
#[test]
fn a_full_backlog_is_accepted_at_the_rate_within_two_seconds() {
    let (mut limiter, mut now, mut accepted_at) = (AcceptLimiter::new(SECOND), SECOND, Vec::new());
    for _ in 0..4_096 {
        accepted_at.push(now);
        now += limiter.connection_accepted(now).unwrap_or(10);
    }
    assert!(now < SECOND + 2 * SECOND, "the last connection waited {} us", now - SECOND);
    assert!(now > SECOND + 3 * SECOND / 2, "accepted faster than the rate: {} us", now - SECOND);
    let most = accepted_at
        .iter()
        .map(|t| accepted_at.iter().filter(|o| (*t..t + SECOND / 10).contains(*o)).count())
        .max();
    assert!(most <= Some((BURST + RATE_PER_S / 10.0) as usize + 1), "{most:?} in 100 ms");
    assert!(limiter.pauses() > 50);
}

#[test]
fn an_ordinary_load_is_never_paused() {
    let mut limiter = AcceptLimiter::new(0);
    assert!((0..10_000u64).all(|n| limiter.connection_accepted(n * 1_000).is_none()));
}
