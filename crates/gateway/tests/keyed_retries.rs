//! Keyed requests that were rejected although they may have run: what may have run is sent again only as long
//! as workers recognise it, and nobody is told otherwise.
mod common;
use applepond::interface::{IdempotencyScope, Micros};
use applepond_gateway::Deployment;
use applepond_reactor::{Closed, ConnectionId};
use common::events::*;
use common::*;

/// A deployment whose workload `hold` is recognised by all workers for `window`.
fn deployment_with_window(window: Micros) -> Deployment {
    let mut deployment = deployment_with_keyed_hold(IdempotencyScope::Everywhere, window);
    deployment.startup.attempt_policy.max_attempts = 100;
    deployment
}

/// Advances the clock while the worker accepts no connection.
fn advance_unreachable(sim: &mut SimulatedGateway, time: Micros) {
    let until = sim.now + time;
    while sim.now < until {
        sim.advance((50 * MS).min(until - sim.now));
        let pending =
            sim.transport.connections.iter().map(|(conn, _)| *conn).filter(|conn| {
                !sim.transport.written.contains_key(conn) && !sim.transport.cut.contains(conn)
            });
        for conn in pending.collect::<Vec<_>>() {
            sim.disconnect(conn, Closed::NotEstablished);
        }
    }
}

/// Sends the keyed event with 2 s of time. Its first attempt breaks off, and then no worker is reachable.
fn send_and_break_off(sim: &mut SimulatedGateway) -> ConnectionId {
    let client = send(sim, &changed("hold", LESS_TIME));
    let conn = sim.newest_connection();
    sim.disconnect(conn, Closed::Reset);
    assert_eq!(sim.requests(), 1);
    client
}

// Regression: the retry of a rejected keyed request was sent as a new one, with a window of its own, when
// workers had forgotten the first attempt.
#[test]
fn a_request_that_may_have_run_is_not_sent_again_after_its_window() {
    let mut sim = SimulatedGateway::new(deployment_with_window(4 * S));
    let client = send_and_break_off(&mut sim);
    advance_unreachable(&mut sim, 2 * S);
    assert_eq!(sim.statuses(client), [503], "{}", sim.output(client));
    sim.advance(2 * S);
    let retry = send(&mut sim, &changed("hold", MARKED));
    sim.advance(100 * MS);
    sim.newest_connection();
    assert_eq!(sim.requests(), 1, "the repeat would run");
    assert_eq!(sim.statuses(retry), [502], "{}", sim.output(retry));
    assert!(!sim.output(retry).contains("no harm"), "{}", sim.output(retry));
    sim.advance(10 * S);
    let other = send(&mut sim, &changed("hold", OTHER_DATA));
    assert_refused(&sim, other);
}

// Regression: the same of a retry that came inside the window, while its connection was established after it.
#[test]
fn a_retry_that_waits_is_not_sent_after_the_window() {
    let mut sim = SimulatedGateway::new(deployment_with_window(4 * S));
    let begin = sim.now;
    let client = send_and_break_off(&mut sim);
    advance_unreachable(&mut sim, 2 * S);
    assert_eq!(sim.statuses(client), [503], "{}", sim.output(client));
    sim.advance(begin + 3_850 * MS - sim.now);
    let opened = sim.transport.connections.len();
    let retry = send(&mut sim, &changed("hold", MARKED));
    assert_eq!(sim.transport.connections.len(), opened + 1, "a connection for the retry");
    sim.advance(150 * MS);
    sim.newest_connection();
    sim.advance(S);
    assert_eq!(sim.requests(), 1, "the repeat would run");
    let answer = sim.output(retry);
    assert!(!sim.statuses(retry).is_empty() && !answer.contains("no harm"), "{answer}");
}

// Inside its window the retry is sent, and it is not shed in a retry storm: its first attempt may have run.
#[test]
fn a_retry_inside_the_window_is_sent_in_a_retry_storm() {
    let mut sim = SimulatedGateway::new(deployment_with_window(30 * S));
    let client = send_and_break_off(&mut sim);
    advance_unreachable(&mut sim, 2 * S);
    assert_eq!(sim.statuses(client), [503], "{}", sim.output(client));
    let mut shed = 0;
    for n in 0..400 {
        let marked = event("quote", &format!("storm-{n}")).replacen("ce-id", "ce-retry: true\r\nce-id", 1);
        let client = send(&mut sim, &marked);
        shed += sim.output(client).matches("many ask again at once").count();
        advance_unreachable(&mut sim, 10 * MS);
    }
    assert!(shed > 0, "retries are shed");
    let retry = send(&mut sim, &changed("hold", MARKED));
    for _ in 0..20 {
        sim.advance(50 * MS);
        sim.newest_connection();
    }
    let sent = sim.transport.connections.iter().filter(|(conn, _)| {
        let output = sim.output(*conn);
        output.contains("ce-type: hold") && output.contains("ce-retry: true")
    });
    assert_eq!(sent.count(), 1, "{}", sim.output(retry));
}

// Regression: a request that may have run was rejected with a time to come back at which workers would no
// longer recognise it.
#[test]
fn no_client_is_told_to_come_back_after_the_window() {
    let mut sim = SimulatedGateway::new(deployment_with_window(S));
    let client = send_and_break_off(&mut sim);
    advance_unreachable(&mut sim, 2 * S);
    let answer = sim.output(client);
    assert_eq!(sim.statuses(client), [502], "{answer}");
    assert!(!answer.contains("Retry-After") && !answer.contains("no harm"), "{answer}");
    let retry = send(&mut sim, &changed("hold", MARKED));
    assert_eq!((sim.statuses(retry), sim.requests()), (vec![502], 1));
}
