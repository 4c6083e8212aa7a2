//! Routing, and the mechanisms that protect it.
mod common;
use applepond::interface::*;
use common::*;
use test_case::test_case;

#[test]
fn home_is_shared_and_stable() {
    let homes = |worker_count: u64, seed: u64| -> Vec<WorkerId> {
        let mut router = TestRouter::new(
            StartupConfig { seed, router_index: seed, ..config(RetrySafety::Idempotent) },
            worker_count,
        );
        for n in 0..40 {
            router.request_arrives(n, &format!("hut-{n}"), 5000 * MS);
            router.attempt_ends(n, 0, &attempt_result(Outcome::Finished));
        }
        (0..40).map(|n| router.sent_to(n)[0]).collect()
    };
    assert_eq!(homes(8, 1), homes(8, 2));
    let moved = homes(8, 1).into_iter().zip(homes(9, 1)).filter(|(a, b)| a != b).collect::<Vec<_>>();
    assert!(moved.len() < 12 && moved.iter().all(|(_, new)| *new == worker(8)));
}

#[test]
fn overflow_moves_to_the_next_and_waits_for_its_load() {
    let mut router = TestRouter::new(config(RetrySafety::Idempotent), 8);
    let home = router.load_at_home("hut");
    (1..6).for_each(|n| router.request_arrives(n, "hut", 5000 * MS));
    assert!((1..3).all(|n| router.sent_to(n) == [home]), "the concurrency of the home is used first");
    assert!((3..6).all(|n| router.sent_to(n).is_empty()), "the overload may clear within a moment");
    router.advance(200 * MS);
    let next = router.sent_to(3)[0];
    assert_ne!(next, home);
    assert!(router.sent_to(4).is_empty() && router.sent_to(5).is_empty(), "one load is pending there");
    router.attempt_ends(
        3,
        0,
        &AttemptResult { load_state: LoadState::LoadStarted, ..attempt_result(Outcome::Finished) },
    );
    assert_eq!((router.sent_to(4)[0], router.sent_to(5)[0]), (next, next));
}

#[test_case(RetrySafety::Idempotent, true, 2; "a hedged attempt follows")]
#[test_case(RetrySafety::AtMostOnce, true, 1; "never for an at-most-once request")]
#[test_case(RetrySafety::Idempotent, false, 1; "not if hedging is forbidden")]
fn hedging(retry_safety: RetrySafety, hedging_allowed: bool, sent_to: usize) {
    let mut config = config(retry_safety);
    config.attempt_policy.hedging_allowed = hedging_allowed;
    let mut router = TestRouter::new(config, 8);
    router.load_at_home("hut");
    router.request_arrives(1, "hut", 9000 * MS);
    router.advance(2400 * MS);
    assert_eq!(router.sent_to(1).len(), 1, "not before two load times and the latency objective");
    router.advance(200 * MS);
    assert_eq!(router.sent_to(1).len(), sent_to);
    router.advance(3000 * MS);
    assert_eq!(router.sent_to(1).len(), sent_to, "at most two attempts in flight");
    router.attempt_ends(1, 0, &attempt_result(Outcome::Finished));
    let cancelled = router.recorder.actions.contains(&Action::Cancel(request(1), 1));
    assert_eq!(cancelled, sent_to == 2, "the slower attempt is cancelled");
}

// Requests wait while a load is pending, but not indefinitely: the loading worker may be dead.
#[test_case(4900, 1; "the load is waited for")]
#[test_case(5200, 2; "the wait has ended")]
fn waiting_for_a_load_times_out(wait_ms: Micros, sent_to: usize) {
    let mut router = TestRouter::new(config(RetrySafety::Idempotent), 8);
    router.request_arrives(1, "hut", 9000 * MS);
    router.advance(wait_ms * MS);
    assert_eq!(router.sent_to(1).len(), sent_to);
}

// A failing worker is ejected for a while, whatever the kind of failure.
#[test_case(Outcome::ConnectFailed, 1; "one connection refused")]
#[test_case(Outcome::Error, 2; "two errors close together")]
fn failing_worker_is_ejected(outcome: Outcome, times: u8) {
    let mut router = TestRouter::new(config(RetrySafety::Idempotent), 8);
    let home = router.load_at_home("hut");
    for n in 1..=times {
        router.request_arrives(n, "hut", 5000 * MS);
        assert_eq!(router.sent_to(n)[0], home);
        router.attempt_ends(n, 0, &attempt_result(outcome));
    }
    router.request_arrives(9, "hut", 5000 * MS);
    assert_ne!(router.sent_to(9).first(), Some(&home));
}

// Connections also break without a worker failure: losses at the same moment count as one error, and a
// further loss shortly afterwards as a second one.
#[test_case(0, false; "three at the same moment")]
#[test_case(5, true; "three in succession")]
fn simultaneous_connection_losses_count_once(gap: Micros, ejected: bool) {
    let mut router = TestRouter::new(config(RetrySafety::Idempotent), 8);
    let home = router.load_at_home("hut");
    for n in 1..=3 {
        router.request_arrives(n, "hut", 5000 * MS);
    }
    router.advance(50 * MS);
    for n in 1..=3 {
        router.attempt_ends(n, 0, &attempt_result(Outcome::ConnectionLost));
        router.advance(gap * MS);
    }
    router.request_arrives(9, "hut", 5000 * MS);
    assert_eq!(router.sent_to(9).first() != Some(&home), ejected);
}

// A worker with several overdue responses is ejected; a single slow request is not enough.
#[test_case(1, false; "one slow request")]
#[test_case(2, true; "two overdue responses")]
fn silent_worker_is_ejected(requests: u8, ejected: bool) {
    let mut config = config(RetrySafety::AtMostOnce);
    config.workloads[0].latency_objective = 1000 * MS;
    let mut router = TestRouter::new(config, 8);
    let home = router.load_at_home("hut");
    (1..=requests).for_each(|n| router.request_arrives(n, "hut", 9000 * MS));
    router.advance(3100 * MS);
    router.request_arrives(9, "hut", 5000 * MS);
    assert_eq!(router.sent_to(9).first() != Some(&home), ejected);
}

// A request that can no longer meet its objective waits behind those that can, and is rejected early.
#[test]
fn late_requests_go_last_and_are_rejected() {
    let mut router = TestRouter::new(config(RetrySafety::Idempotent), 1);
    router.load_at_home("hut");
    (1..3).for_each(|n| router.request_arrives(n, "hut", 5000 * MS));
    router.request_arrives(3, "hut", 5000 * MS);
    router.advance(440 * MS);
    router.request_arrives(4, "hut", 5000 * MS);
    router.attempt_ends(1, 0, &attempt_result(Outcome::Finished));
    assert!(router.sent_to(3).is_empty() && router.sent_to(4).len() == 1);
    router.advance(80 * MS);
    assert_eq!(router.final_responses(3), vec![Action::Reject(request(3))]);
}

// After a rejection, requests of the same function avoid the worker for a moment. A slow rejection concerns
// only one customer: requests of other customers still go there.
#[test_case(5, 100, 0, false; "within the backoff")]
#[test_case(5, 400, 0, true; "after the backoff")]
#[test_case(60, 400, 0, false; "a rejected customer backs off longer")]
#[test_case(60, 400, 1, true; "another customer does not")]
#[test_case(60, 9000, 0, true; "the customer returns eventually")]
fn overloaded_worker_is_avoided(elapsed_ms: Micros, wait_ms: Micros, customer: usize, sent_there: bool) {
    let mut config = config(RetrySafety::Idempotent);
    config.customers =
        vec![CustomerConfig { requests_per_second: 500.0 }, CustomerConfig { requests_per_second: 500.0 }];
    let mut router = TestRouter::new(config, 8);
    let home = router.load_at_home("hut");
    router.request_arrives(1, "hut", 9000 * MS);
    router.attempt_ends(
        1,
        0,
        &AttemptResult { elapsed: elapsed_ms * MS, ..attempt_result(Outcome::Overloaded) },
    );
    router.advance(wait_ms * MS);
    router.customer = Some(customer);
    router.request_arrives(2, "hut", 5000 * MS);
    assert_eq!(router.sent_to(2) == [home], sent_there);
}

// By the time a client retries, the latency objective is lost: the retry waits behind a later first try.
#[test_case(false, 3; "oldest first")]
#[test_case(true, 4; "a retry last")]
fn client_retries_go_last(retry: bool, first: u8) {
    let mut router = TestRouter::new(config(RetrySafety::Idempotent), 1);
    router.load_at_home("hut");
    (1..3).for_each(|n| router.request_arrives(n, "hut", 5000 * MS));
    router.retry = retry;
    router.request_arrives(3, "hut", 5000 * MS);
    router.retry = false;
    router.request_arrives(4, "hut", 5000 * MS);
    router.attempt_ends(1, 0, &attempt_result(Outcome::Finished));
    assert_eq!((router.sent_to(3).len(), router.sent_to(4).len()), if first == 3 { (1, 0) } else { (0, 1) });
}

// Only first tries earn attempt tokens, so that a retry storm leaves fewer hedged attempts and retries.
#[test_case(false, true; "first tries")]
#[test_case(true, false; "client retries")]
fn only_first_tries_earn_attempt_tokens(retry: bool, earned: bool) {
    let mut router = TestRouter::new(config(RetrySafety::Idempotent), 200);
    let is_retried = |router: &mut TestRouter, n: u8| {
        router.request_arrives(n, &format!("hut-{n}"), 5000 * MS);
        router.attempt_ends(n, 0, &attempt_result(Outcome::Error));
        router.final_responses(n).is_empty()
    };
    let retried = (1..=14).filter(|n| is_retried(&mut router, *n)).count();
    assert!((5..14).contains(&retried), "{retried} retried until the budget was spent");
    router.retry = retry;
    for n in 100..160 {
        router.request_arrives(n, &format!("hut-{n}"), 5000 * MS);
        router.attempt_ends(n, 0, &attempt_result(Outcome::Finished));
    }
    assert_eq!(is_retried(&mut router, 200), earned);
}

// Only the requests beyond a customer's quota go last; those within it keep their place.
#[test_case(1000.0, 3; "all within the quota: oldest first")]
#[test_case(1.0, 4; "the third request exceeds the quota")]
fn requests_over_quota_go_last(requests_per_second: f64, first: u8) {
    let mut config = config(RetrySafety::Idempotent);
    config.customers =
        vec![CustomerConfig { requests_per_second }, CustomerConfig { requests_per_second: 1000.0 }];
    let mut router = TestRouter::new(config, 1);
    router.customer = Some(1);
    router.load_at_home("hut");
    (1..3).for_each(|n| router.request_arrives(n, "hut", 5000 * MS));
    router.customer = Some(0);
    (5..7).for_each(|n| router.request_arrives(n, "other", 5000 * MS));
    router.request_arrives(3, "hut", 5000 * MS);
    router.customer = Some(1);
    router.request_arrives(4, "hut", 5000 * MS);
    router.attempt_ends(1, 0, &attempt_result(Outcome::Finished));
    assert_eq!((router.sent_to(3).len(), router.sent_to(4).len()), if first == 3 { (1, 0) } else { (0, 1) });
}

/// One worker with a concurrency limit of 10 (a quota of 40 requests per second over half the latency
/// objective). Loads twenty functions there, lets some attempts time out, and then sends one request per
/// function. Returns how many requests are sent.
fn count_sent_of_twenty(routers: u64, timeouts: u8, elapsed_ms: Micros, later_answered: bool) -> usize {
    let mut config = StartupConfig { router_count: routers, ..config(RetrySafety::Idempotent) };
    config.customers = vec![CustomerConfig { requests_per_second: 40.0 }];
    config.attempt_policy.max_attempts = 1;
    let mut router = TestRouter::new(config, 1);
    for n in 1..21 {
        router.request_arrives(n, &format!("hut-{n}"), 5000 * MS);
        router.attempt_ends(n, 0, &AttemptResult { elapsed: 70 * MS, ..attempt_result(Outcome::Finished) });
    }
    for n in 21..21 + timeouts {
        router.request_arrives(n, "hut-1", 5000 * MS);
        router.advance(510 * MS);
        if later_answered {
            router.request_arrives(n + 100, "hut-1", 5000 * MS);
            router.attempt_ends(n + 100, 0, &attempt_result(Outcome::Finished));
        }
        router.attempt_ends(
            n,
            0,
            &AttemptResult { elapsed: elapsed_ms * MS, ..attempt_result(Outcome::TimedOut) },
        );
    }
    (41..61).for_each(|n| router.request_arrives(n, &format!("hut-{}", n - 40), 5000 * MS));
    router.advance(100 * MS);
    (41..61).filter(|n| !router.sent_to(*n).is_empty()).count()
}

// Estimated requests of other routers count towards a worker's limit. A timeout counts as a slow response;
// otherwise a worker that becomes slow would never appear full.
#[test_case(1, 0, 0, false, 15..16; "a single router uses the whole limit")]
#[test_case(100, 0, 0, false, 3..12; "one of a hundred leaves capacity for the others")]
#[test_case(1, 6, 300, false, 15..16; "early timeouts say nothing about the worker")]
#[test_case(1, 6, 900, false, 1..8; "timeouts past the latency objective lower the limit")]
#[test_case(1, 6, 900, true, 15..16; "not if later attempts were answered")]
fn estimated_load_limits_sends(
    routers: u64,
    timeouts: u8,
    elapsed_ms: Micros,
    later_answered: bool,
    sent_to: std::ops::Range<usize>,
) {
    let sent = count_sent_of_twenty(routers, timeouts, elapsed_ms, later_answered);
    assert!(sent_to.contains(&sent), "{sent}");
}

// A function called often at this router is assumed to be called as often at the others: its requests
// spread over several workers before any is full. With a single router they stay at the home.
#[test_case(1, 1; "alone")]
#[test_case(100, 2; "one of a hundred")]
fn many_routers_spread_a_hot_function(routers: u64, min_workers: usize) {
    let mut router =
        TestRouter::new(StartupConfig { router_count: routers, ..config(RetrySafety::Idempotent) }, 8);
    let mut used = std::collections::BTreeSet::new();
    for n in 0..100 {
        router.request_arrives(n, "hut", 5000 * MS);
        used.extend(router.sent_to(n));
        router.attempt_ends(n, 0, &attempt_result(Outcome::Finished));
        router.advance(50 * MS);
    }
    assert!(if min_workers == 1 { used.len() == 1 } else { used.len() >= min_workers });
}

// While workers report congested loads, overflow starts no further load and requests wait for their home.
#[test_case(0.5, true; "not congested")]
#[test_case(9.0, false; "congested")]
fn congested_loads_stop_overflow(loads: f64, spreads: bool) {
    let mut router = TestRouter::new(config(RetrySafety::Idempotent), 8);
    router.load_at_home("hut");
    for n in 100..140 {
        router.request_arrives(n, "other", 5000 * MS);
        router.attempt_ends(
            n,
            0,
            &AttemptResult { reported_loads: Some(loads), ..attempt_result(Outcome::Finished) },
        );
    }
    (1..4).for_each(|n| router.request_arrives(n, "hut", 5000 * MS));
    router.advance(200 * MS);
    assert_eq!(router.sent_to(3).len() == 1, spreads);
}

// An at-most-once request neither probes a worker returning from ejection nor waits for it while loads are
// congested. It skips the worker until a repeatable request has succeeded there.
#[test_case(false, false; "not yet probed")]
#[test_case(true, true; "probed by another request")]
fn at_most_once_skips_unprobed_worker(probed: bool, sent_to_home: bool) {
    let mut config = config(RetrySafety::Idempotent);
    config
        .workloads
        .push(WorkloadConfig { retry_safety: RetrySafety::AtMostOnce, ..config.workloads[0].clone() });
    config.attempt_policy.max_attempts = 1;
    let mut router = TestRouter::new(config, 8);
    let home = router.load_at_home("hut");
    for n in 100..140 {
        router.request_arrives(n, "other", 5000 * MS);
        router.attempt_ends(
            n,
            0,
            &AttemptResult { reported_loads: Some(9.0), ..attempt_result(Outcome::Finished) },
        );
    }
    router.request_arrives(1, "hut", 5000 * MS);
    router.attempt_ends(1, 0, &attempt_result(Outcome::ConnectFailed));
    router.advance(600 * MS);
    if probed {
        router.request_arrives(2, "hut", 5000 * MS);
        assert_eq!(router.sent_to(2), [home]);
        router.attempt_ends(2, 0, &attempt_result(Outcome::Finished));
    }
    router.workload = 1;
    router.request_arrives(3, "hut", 5000 * MS);
    assert_eq!(router.sent_to(3).len(), 1, "it is sent at once");
    assert_eq!(router.sent_to(3) == [home], sent_to_home);
}

#[test]
fn same_events_same_actions() {
    let run = || {
        let mut router = TestRouter::new(config(RetrySafety::Idempotent), 5);
        for n in 0..60 {
            router.request_arrives(n, &format!("hut-{}", n % 7), 3000 * MS);
            router.advance(30 * MS);
            router.attempt_ends(
                n / 2,
                0,
                &attempt_result(if n % 5 == 0 { Outcome::Error } else { Outcome::Finished }),
            );
        }
        router.advance(9000 * MS);
        router.recorder.actions
    };
    assert_eq!(run(), run());
}

// If all clients give first tries the same timeout, a shorter one means that time was spent elsewhere: the
// request goes after those that can still meet their objective, and is given up early without capacity.
#[test_case(false, [2, 1], 0; "clients choose their own timeouts")]
#[test_case(true, [1, 2], 1; "timeouts are shared")]
fn shorter_timeout_counts_as_time_spent(timeouts_shared: bool, order: [u8; 2], given_up: usize) {
    let start = || {
        let mut router =
            TestRouter::new(StartupConfig { timeouts_shared, ..config(RetrySafety::Idempotent) }, 0);
        router.request_arrives(9, "hut", 5000 * MS);
        router.request_arrives(2, "hut", 4000 * MS);
        router.advance(5 * MS);
        router
    };
    let mut router = start();
    router.request_arrives(1, "hut", 5000 * MS);
    router.control.client_disconnected(&mut router.recorder, request(9));
    router.update_endpoints(&[endpoint(0, WorkerStatus::Ready, 0)]);
    let sent = router
        .recorder
        .actions
        .iter()
        .filter_map(|action| if let Action::Send(id, _) = action { Some(id.0[0]) } else { None });
    assert_eq!(sent.collect::<Vec<_>>(), order);
    let mut router = start();
    router.advance(60 * MS);
    assert_eq!(router.final_responses(2).len(), given_up);
}

// When a client disconnects, its request's attempts in flight are cancelled.
#[test]
fn client_disconnect_cancels_attempts() {
    let mut router = TestRouter::new(config(RetrySafety::Idempotent), 8);
    router.request_arrives(1, "hut", 5000 * MS);
    router.control.client_disconnected(&mut router.recorder, request(1));
    assert_eq!(router.recorder.actions.last(), Some(&Action::Cancel(request(1), 0)));
}

// Functions that other routers are presumed to keep loaded at their homes do not count towards the load
// limit.
#[test_case(1, 12; "a single router is bounded by the load limit")]
#[test_case(20, 14; "one of twenty")]
fn homes_kept_loaded_by_others_are_not_loads(routers: u64, sent: usize) {
    let mut router =
        TestRouter::new(StartupConfig { router_count: routers, ..config(RetrySafety::Idempotent) }, 8);
    let names: Vec<String> = (0..14).map(|n| format!("hut-{n}")).collect();
    for name in &names {
        router.request_arrives(250, name, 5000 * MS);
        router.attempt_ends(250, 0, &attempt_result(Outcome::Finished));
    }
    router.advance(11_000 * MS);
    names.iter().zip(1..).for_each(|(name, n)| router.request_arrives(n, name, 5000 * MS));
    assert_eq!((1..15).filter(|n| !router.sent_to(*n).is_empty()).count(), sent);
}

// Without quotas, the fleet's throughput is estimated from completions; demand beyond them adds no
// capacity.
#[test_case(0, 8; "unserved demand")]
#[test_case(200, 20; "completed requests")]
fn throughput_without_quotas(finished: u8, max_sent: usize) {
    let mut router =
        TestRouter::new(StartupConfig { customers: vec![], ..config(RetrySafety::Idempotent) }, 1);
    router.customer = None;
    for n in 0..200 {
        router.request_arrives(n, "hut", 5000 * MS);
        if n < finished {
            router.attempt_ends(n, 0, &attempt_result(Outcome::Finished));
        } else if router.sent_to(n).is_empty() {
            router.control.client_disconnected(&mut router.recorder, request(n));
        }
        router.advance(5 * MS);
    }
    router.recorder.actions.clear();
    (201..221).for_each(|n| router.request_arrives(n, &format!("hut-{n}"), 5000 * MS));
    let sent = (201..221).filter(|n| !router.sent_to(*n).is_empty()).count();
    assert!(if max_sent == 20 { sent > 8 } else { sent <= max_sent }, "{sent}");
}

// Functions called only once are forgotten; those with a request in progress are kept.
#[test]
fn idle_functions_are_forgotten() {
    let mut router = TestRouter::new(config(RetrySafety::Idempotent), 8);
    for n in 0..200u8 {
        router.request_arrives(n, &format!("hut-{n}"), 500_000 * MS);
        if n > 0 {
            router.attempt_ends(n, 0, &attempt_result(Outcome::Finished));
        }
    }
    let known = router.control.known_functions();
    router.advance(100_000 * MS);
    assert_eq!((known, router.control.known_functions()), (200, 1), "the one in progress stays");
}
