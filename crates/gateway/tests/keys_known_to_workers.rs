//! Keyed requests after their end: as long as workers recognise a key, no other event is sent under it.
mod common;
use applepond::interface::{IdempotencyScope, Micros};
use applepond_gateway::Deployment;
use applepond_reactor::Closed;
use common::events::*;
use common::*;
use test_case::test_case;

/// A deployment whose workload `hold` is recognised for `window`, with one attempt a request. Answers are
/// kept for 60 s.
fn deployment_with_window(window: Micros) -> Deployment {
    let mut deployment = deployment_with_keyed_hold(IdempotencyScope::Rack, window);
    deployment.startup.attempt_policy.max_attempts = 1;
    deployment
}

// Regression: once the answer to a keyed request had expired, another event with its key was sent, and
// workers that still recognised the key would answer it with the first one's result.
#[test_case(true, 200; "it finished")]
#[test_case(false, 502; "it failed")]
fn the_key_of_an_expired_answer_is_not_free_while_workers_know_it(finishes: bool, status: u16) {
    let mut sim = SimulatedGateway::new(deployment_with_window(90 * S));
    let client = send(&mut sim, &first_event("hold"));
    let conn = sim.newest_connection();
    if finishes {
        sim.receive(conn, result("{\"for\":1}").as_bytes());
    } else {
        sim.disconnect(conn, Closed::Reset);
    }
    assert_eq!(sim.statuses(client), [status]);
    sim.advance(61 * S);
    let other = send(&mut sim, &changed("hold", OTHER_DATA));
    assert_refused(&sim, other);
    assert_eq!(sim.requests(), 1, "nothing was sent for it");
    sim.advance(30 * S);
    let other = send(&mut sim, &changed("hold", OTHER_DATA));
    sim.newest_connection();
    assert_eq!((sim.requests(), sim.statuses(other).len()), (2, 0), "the key is free again");
}

// Its own event is sent again when its answer has expired: workers recognise it.
#[test]
fn a_retry_after_its_answer_has_expired_is_sent() {
    let mut sim = SimulatedGateway::new(deployment_with_window(90 * S));
    send(&mut sim, &first_event("hold"));
    let conn = sim.newest_connection();
    sim.receive(conn, result("{\"for\":1}").as_bytes());
    sim.advance(61 * S);
    let retry = send(&mut sim, &changed("hold", MARKED));
    let conn = sim.newest_connection();
    assert_eq!(sim.requests(), 2);
    sim.receive(conn, result("{\"for\":1}").as_bytes());
    assert_eq!(sim.statuses(retry), [200]);
}

// Regression: the key of a request whose answer was larger than all that may be kept was free at once, for
// other events and for its own retry.
#[test_case("hold"; "keyed")]
#[test_case("confirm"; "at most once")]
fn the_key_of_an_answer_that_is_too_large_to_keep_is_not_free(kind: &str) {
    let mut deployment = deployment_with_window(3 * S);
    deployment.answer_retention.max_bytes = 500;
    let mut sim = SimulatedGateway::new(deployment);
    let client = send(&mut sim, &first_event(kind));
    let conn = sim.newest_connection();
    sim.receive(conn, result(&format!("\"{}\"", "a".repeat(600))).as_bytes());
    assert_eq!(sim.statuses(client), [200]);
    let other = send(&mut sim, &changed(kind, OTHER_DATA));
    assert_refused(&sim, other);
    let retry = send(&mut sim, &changed(kind, MARKED));
    assert_eq!(sim.statuses(retry), [502], "it has run: {}", sim.output(retry));
    assert_eq!(sim.requests(), 1, "nothing was sent again");
}
