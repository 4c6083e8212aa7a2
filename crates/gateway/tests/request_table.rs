//! When an attempt of a request may have been executed for the first time.
use applepond::interface::{Micros, Outcome, RequestId, WorkerId};
use applepond_gateway::request_table::{AttemptStart, Dispatch, RequestTable, attempt_result};
use test_case::test_case;

const REQUEST: RequestId = RequestId([1; 36]);
const ARRIVAL: Micros = 100;

/// Starts attempts at these times, and closes those with an outcome in the given order. Returns the time of
/// the first one that may have been executed.
fn first_possible_run(attempts: &[(Micros, Option<Outcome>)]) -> Option<Micros> {
    let mut table = RequestTable::default();
    table.insert(REQUEST, ARRIVAL, 10_000, ());
    let mut started = Vec::new();
    for (at, outcome) in attempts {
        let dispatch =
            Dispatch { request: REQUEST, worker: WorkerId(1), timeout: 1_000, start_deadline: Micros::MAX };
        let start = table.start_attempt(*at, &dispatch, attempts.len());
        let Some(AttemptStart::InFlight(id)) = start else { panic!("{start:?}") };
        started.push((id, *outcome));
    }
    for (id, outcome) in started {
        if let Some(outcome) = outcome {
            table.close_attempt(5_000, id, attempt_result(outcome));
        }
    }
    table.get(REQUEST).expect("it has not ended").first_possible_run()
}

// An attempt that is not closed may have been executed, as may one that was cancelled or broke off.
#[test_case(&[], None; "no attempt")]
#[test_case(&[(200, None)], Some(200); "in flight")]
#[test_case(&[(200, Some(Outcome::Overloaded))], None; "rejected by the worker")]
#[test_case(&[(200, Some(Outcome::Cancelled))], Some(200); "cancelled")]
#[test_case(&[(200, Some(Outcome::ConnectFailed)), (300, None)], Some(300); "the second is in flight")]
#[test_case(&[(200, Some(Outcome::TimedOut)), (300, Some(Outcome::ConnectionLost))], Some(200); "both may")]
#[test_case(&[(200, None), (300, Some(Outcome::ConnectionLost))], Some(200); "the first is in flight")]
#[test_case(&[(200, Some(Outcome::Superseded)), (300, Some(Outcome::Error))], Some(300); "the second failed")]
fn the_first_attempt_that_may_have_run(attempts: &[(Micros, Option<Outcome>)], first: Option<Micros>) {
    assert_eq!(first_possible_run(attempts), first);
}
