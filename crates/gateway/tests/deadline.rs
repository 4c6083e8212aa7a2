//! Deadlines: limits of the workload and of the event.
use applepond::interface::Micros;
use applepond_gateway::deadline::{RESPONSE_MARGIN, RequestedDeadline, time_left};
use test_case::test_case;

const S: Micros = 1_000_000;

#[test_case(None, None, Some(5 * S - RESPONSE_MARGIN); "the workload's limit")]
#[test_case(Some(2000), None, Some(2 * S - RESPONSE_MARGIN); "earlier time limit")]
#[test_case(Some(9000), None, Some(5 * S - RESPONSE_MARGIN); "later time limit does not extend")]
#[test_case(None, Some(103), Some(3 * S - RESPONSE_MARGIN); "expiry")]
#[test_case(Some(2000), Some(103), Some(2 * S - RESPONSE_MARGIN); "time limit before expiry")]
#[test_case(Some(4000), Some(103), Some(3 * S - RESPONSE_MARGIN); "expiry before time limit")]
#[test_case(None, Some(99), None; "expired")]
#[test_case(Some(10), None, None; "only the response margin left")]
fn the_earliest_limit_applies(time_limit_ms: Option<u64>, expires_s: Option<u64>, expected: Option<Micros>) {
    let requested = RequestedDeadline {
        time_limit: time_limit_ms.map(|ms| ms * 1000),
        expires_at: expires_s.map(|s| s * S),
    };
    assert_eq!(time_left(100 * S, 5 * S, requested), expected);
}

#[test_case("expirytime", "1970-01-01T00:00:02.5Z", Some(2_500_000); "in UTC")]
#[test_case("expirytime", "1970-01-01T01:00:02+01:00", Some(2_000_000); "with an offset")]
#[test_case("expirytime", "tomorrow", None; "not a time")]
#[test_case("timelimit", "250", Some(250_000); "relative")]
#[test_case("timelimit", "-1", None; "negative")]
#[test_case("timelimit", "1e3", None; "not a whole number")]
fn deadline_attributes_are_parsed_or_refused(name: &str, value: &str, expected: Option<Micros>) {
    let mut requested = RequestedDeadline::default();
    let result = requested.read_attribute(name, value);
    assert_eq!(result.ok().and(requested.expires_at.or(requested.time_limit)), expected);
}
