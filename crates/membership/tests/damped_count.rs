//! The damped count of live routers, and the count by which shared limits are divided.
use applepond::interface::Micros;
use applepond_membership::DampedCount;
use test_case::test_case;

const SECOND: Micros = 1_000_000;

#[test_case(25, 25; "more")]
#[test_case(6, 20; "most routers lost for a minute")]
fn share_count_never_falls(live: usize, expected: usize) {
    let mut count = DampedCount::new(20);
    let shares: Vec<usize> = (0..60).map(|second| count.share_count(second * SECOND, live, 20)).collect();
    assert!(shares.iter().all(|share| *share == expected), "{shares:?}");
}

// Each observation: time in seconds, live routers, expected count.
#[test_case(&[(0, 21, 21), (1, 25, 25)]; "a rise applies at once")]
#[test_case(&[(0, 18, 20), (1, 18, 20), (2, 18, 18)]; "a fall applies after a delay")]
#[test_case(&[(0, 18, 20), (1, 20, 20), (2, 18, 20), (3, 18, 20), (4, 18, 18)]; "the delay restarts")]
#[test_case(&[(0, 9, 20), (29, 9, 20), (30, 9, 9)]; "most lost at once is distrusted")]
#[test_case(&[(0, 10, 20), (2, 10, 10)]; "a fall to exactly half is trusted")]
#[test_case(&[(0, 9, 20), (5, 12, 12)]; "some lost routers are back")]
#[test_case(&[(0, 0, 20), (40, 0, 1)]; "never below one")]
fn rises_count_at_once_and_falls_late(observations: &[(Micros, usize, usize)]) {
    let mut count = DampedCount::new(20);
    for (at, live, expected) in observations {
        assert_eq!(count.observe(at * SECOND, *live), *expected, "at {at} s");
    }
}
