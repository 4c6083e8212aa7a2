//! Unit tests of the table of scheduled retries.
use super::{RetryTiming, SLOTS, ScheduledRetries};
use crate::Micros;
use test_case::test_case;

const SECOND: Micros = 1_000_000;

#[test_case(2 * SECOND, RetryTiming::Early; "well before")]
#[test_case(3 * SECOND - 9_000, RetryTiming::OnTime; "early by less than the rounding of waits")]
#[test_case(3 * SECOND, RetryTiming::OnTime; "on time")]
#[test_case(8 * SECOND, RetryTiming::OnTime; "a little late")]
#[test_case(8 * SECOND + 1, RetryTiming::Unscheduled; "long after")]
fn a_retry_is_judged_by_its_scheduled_time(now: Micros, want: RetryTiming) {
    let mut scheduled = ScheduledRetries::default();
    scheduled.schedule(7, 3 * SECOND);
    assert_eq!(scheduled.observe(now, 8), RetryTiming::Unscheduled, "another request");
    assert_eq!(scheduled.observe(now, 7), want);
}

#[test]
fn a_followed_schedule_is_removed_and_an_ignored_one_stays() {
    let mut scheduled = ScheduledRetries::default();
    scheduled.schedule(7, 3 * SECOND);
    assert_eq!(scheduled.observe(SECOND, 7), RetryTiming::Early);
    assert_eq!(scheduled.observe(2 * SECOND, 7), RetryTiming::Early);
    assert_eq!(scheduled.observe(3 * SECOND, 7), RetryTiming::OnTime);
    assert_eq!(scheduled.observe(3 * SECOND, 7), RetryTiming::Unscheduled);
}

// However many requests there are, none without a schedule is regarded as early.
#[test]
fn a_full_table_errs_in_favour_of_clients() {
    let mut scheduled = ScheduledRetries::default();
    (1..=200_000).for_each(|id| scheduled.schedule(id, 9 * SECOND));
    assert!((200_001..=400_000).all(|id| scheduled.observe(SECOND, id) == RetryTiming::Unscheduled));
    let known = (1..=200_000).filter(|id| scheduled.observe(SECOND, *id) == RetryTiming::Early).count();
    assert!((1..=SLOTS).contains(&known), "{known}");
}
