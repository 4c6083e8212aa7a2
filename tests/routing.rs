//! Routing, and the mechanisms that protect it.
mod common;
use applepond::interface::*;
use common::*;
use test_case::test_case;

#[test]
fn home_is_shared_and_stable() {
    let homes = |servers: u64, seed: u64| -> Vec<WorkerId> {
        let mut router = TestRouter::new(
            StartupConfig { seed, router_index: seed, ..rows(RetrySafety::Idempotent) },
            servers,
        );
        for n in 0..40 {
            router.request_arrives(n, &format!("hut-{n}"), 5000 * MS);
            router.attempt_ends(n, 0, &answer(Outcome::Finished));
        }
        (0..40).map(|n| router.sent_to(n)[0]).collect()
    };
    assert_eq!(homes(8, 1), homes(8, 2));
    let moved = homes(8, 1).into_iter().zip(homes(9, 1)).filter(|(a, b)| a != b).collect::<Vec<_>>();
    assert!(moved.len() < 12 && moved.iter().all(|(_, new)| *new == worker(8)));
}

#[test]
fn overflow_moves_to_the_next_and_waits_for_its_load() {
    let mut router = TestRouter::new(rows(RetrySafety::Idempotent), 8);
    let home = router.warm("hut");
    (1..6).for_each(|n| router.request_arrives(n, "hut", 5000 * MS));
    assert!((1..3).all(|n| router.sent_to(n) == [home]), "lanes of the home first");
    assert!((3..6).all(|n| router.sent_to(n).is_empty()), "a crowd may be gone in a moment");
    router.advance(200 * MS);
    let next = router.sent_to(3)[0];
    assert_ne!(next, home);
    assert!(router.sent_to(4).is_empty() && router.sent_to(5).is_empty(), "one answer is awaited there");
    router.attempt_ends(
        3,
        0,
        &AttemptResult { load_state: LoadState::LoadStarted, ..answer(Outcome::Finished) },
    );
    assert_eq!((router.sent_to(4)[0], router.sent_to(5)[0]), (next, next));
}

#[test_case(RetrySafety::Idempotent, true, 2; "a copy follows")]
#[test_case(RetrySafety::AtMostOnce, true, 1; "never of an at-most-once job")]
#[test_case(RetrySafety::Idempotent, false, 1; "nor where second copies are not allowed")]
fn hedge(effect: RetrySafety, second_copies: bool, sent_to: usize) {
    let mut rows = rows(effect);
    rows.attempt_policy.hedging_allowed = second_copies;
    let mut router = TestRouter::new(rows, 8);
    router.warm("hut");
    router.request_arrives(1, "hut", 9000 * MS);
    router.advance(2400 * MS);
    assert_eq!(router.sent_to(1).len(), 1, "not before twice the load and the start target");
    router.advance(200 * MS);
    assert_eq!(router.sent_to(1).len(), sent_to);
    router.advance(3000 * MS);
    assert_eq!(router.sent_to(1).len(), sent_to, "at most two copies live");
    router.attempt_ends(1, 0, &answer(Outcome::Finished));
    let cancelled = router.record.did.contains(&Action::Cancel(request(1), 1));
    assert_eq!(cancelled, sent_to == 2, "the loser is cancelled");
}

// Requests wait while a load is pending, but not indefinitely: the loading worker may be dead.
#[test_case(4900, 1; "the answer is awaited")]
#[test_case(5200, 2; "no longer")]
fn hold_ends(ms: Micros, sent_to: usize) {
    let mut router = TestRouter::new(rows(RetrySafety::Idempotent), 8);
    router.request_arrives(1, "hut", 9000 * MS);
    router.advance(ms * MS);
    assert_eq!(router.sent_to(1).len(), sent_to);
}

// A failing worker is ejected for a while, whatever the kind of failure.
#[test_case(Outcome::ConnectFailed, 1; "one connection refused")]
#[test_case(Outcome::Error, 2; "two errors close together")]
fn set_aside(outcome: Outcome, times: u8) {
    let mut router = TestRouter::new(rows(RetrySafety::Idempotent), 8);
    let home = router.warm("hut");
    for n in 1..=times {
        router.request_arrives(n, "hut", 5000 * MS);
        assert_eq!(router.sent_to(n)[0], home);
        router.attempt_ends(n, 0, &answer(outcome));
    }
    router.request_arrives(9, "hut", 5000 * MS);
    assert_ne!(router.sent_to(9).first(), Some(&home));
}

// Connections also break without a worker failure: losses at the same moment count as one error, and a
// further loss shortly afterwards as a second one.
#[test_case(0, false; "three at one moment")]
#[test_case(5, true; "three one after the other")]
fn broken(gap: Micros, aside: bool) {
    let mut router = TestRouter::new(rows(RetrySafety::Idempotent), 8);
    let home = router.warm("hut");
    for n in 1..=3 {
        router.request_arrives(n, "hut", 5000 * MS);
    }
    router.advance(50 * MS);
    for n in 1..=3 {
        router.attempt_ends(n, 0, &answer(Outcome::ConnectionLost));
        router.advance(gap * MS);
    }
    router.request_arrives(9, "hut", 5000 * MS);
    assert_eq!(router.sent_to(9).first() != Some(&home), aside);
}

// A worker with several overdue responses is ejected; a single slow request is not enough.
#[test_case(1, false; "one slow job")]
#[test_case(2, true; "two answers owed")]
fn silence(requests: u8, aside: bool) {
    let mut rows = rows(RetrySafety::AtMostOnce);
    rows.workloads[0].latency_objective = 1000 * MS;
    let mut router = TestRouter::new(rows, 8);
    let home = router.warm("hut");
    (1..=requests).for_each(|n| router.request_arrives(n, "hut", 9000 * MS));
    router.advance(3100 * MS);
    router.request_arrives(9, "hut", 5000 * MS);
    assert_eq!(router.sent_to(9).first() != Some(&home), aside);
}

// A request that can no longer meet its objective waits behind those that can, and is rejected early.
#[test]
fn late_jobs_go_last_and_are_pushed_back() {
    let mut router = TestRouter::new(rows(RetrySafety::Idempotent), 1);
    router.warm("hut");
    (1..3).for_each(|n| router.request_arrives(n, "hut", 5000 * MS));
    router.request_arrives(3, "hut", 5000 * MS);
    router.advance(440 * MS);
    router.request_arrives(4, "hut", 5000 * MS);
    router.attempt_ends(1, 0, &answer(Outcome::Finished));
    assert!(router.sent_to(3).is_empty() && router.sent_to(4).len() == 1);
    router.advance(80 * MS);
    assert_eq!(router.final_responses(3), vec![Action::Reject(request(3))]);
}

// After a rejection, requests of the same function avoid the worker for a moment. A slow rejection concerns
// only one customer: requests of other customers still go there.
#[test_case(5, 100, 0, false; "still resting")]
#[test_case(5, 400, 0, true; "tried again")]
#[test_case(60, 400, 0, false; "a customer shut out stays away for longer")]
#[test_case(60, 400, 1, true; "not so the other customer")]
#[test_case(60, 9000, 0, true; "nor for ever")]
fn full_rests(elapsed_ms: Micros, wait_ms: Micros, customer: usize, again: bool) {
    let mut rows = rows(RetrySafety::Idempotent);
    rows.customers =
        vec![CustomerConfig { requests_per_second: 500.0 }, CustomerConfig { requests_per_second: 500.0 }];
    let mut router = TestRouter::new(rows, 8);
    let home = router.warm("hut");
    router.request_arrives(1, "hut", 9000 * MS);
    router.attempt_ends(1, 0, &AttemptResult { elapsed: elapsed_ms * MS, ..answer(Outcome::Overloaded) });
    router.advance(wait_ms * MS);
    router.customer = Some(customer);
    router.request_arrives(2, "hut", 5000 * MS);
    assert_eq!(router.sent_to(2) == [home], again);
}

// By the time a client retries, the latency objective is lost: the retry waits behind a later first try.
#[test_case(false, 3; "oldest first")]
#[test_case(true, 4; "a second try last")]
fn second_tries(retry: bool, first: u8) {
    let mut router = TestRouter::new(rows(RetrySafety::Idempotent), 1);
    router.warm("hut");
    (1..3).for_each(|n| router.request_arrives(n, "hut", 5000 * MS));
    router.retry = retry;
    router.request_arrives(3, "hut", 5000 * MS);
    router.retry = false;
    router.request_arrives(4, "hut", 5000 * MS);
    router.attempt_ends(1, 0, &answer(Outcome::Finished));
    assert_eq!((router.sent_to(3).len(), router.sent_to(4).len()), if first == 3 { (1, 0) } else { (0, 1) });
}

// Only first tries earn attempt tokens, so that a retry storm leaves fewer hedged attempts and retries.
#[test_case(false, true; "first tries")]
#[test_case(true, false; "second tries")]
fn further_attempts_are_earned(retry: bool, earned: bool) {
    let mut router = TestRouter::new(rows(RetrySafety::Idempotent), 200);
    let fails = |router: &mut TestRouter, n: u8| {
        router.request_arrives(n, &format!("hut-{n}"), 5000 * MS);
        router.attempt_ends(n, 0, &answer(Outcome::Error));
        router.final_responses(n).is_empty()
    };
    let goes_on = (1..=14).filter(|n| fails(&mut router, *n)).count();
    assert!((5..14).contains(&goes_on), "{goes_on} went on until the budget was spent");
    router.retry = retry;
    for n in 100..160 {
        router.request_arrives(n, &format!("hut-{n}"), 5000 * MS);
        router.attempt_ends(n, 0, &answer(Outcome::Finished));
    }
    assert_eq!(fails(&mut router, 200), earned);
}

#[test_case(1000.0, 3; "all within the share: oldest first")]
#[test_case(1.0, 4; "the third job is beyond the share")]
fn shares(jobs_per_s: f64, first: u8) {
    let mut rows = rows(RetrySafety::Idempotent);
    rows.customers = vec![
        CustomerConfig { requests_per_second: jobs_per_s },
        CustomerConfig { requests_per_second: 1000.0 },
    ];
    let mut router = TestRouter::new(rows, 1);
    router.customer = Some(1);
    router.warm("hut");
    (1..3).for_each(|n| router.request_arrives(n, "hut", 5000 * MS));
    router.customer = Some(0);
    (5..7).for_each(|n| router.request_arrives(n, "other", 5000 * MS));
    router.request_arrives(3, "hut", 5000 * MS);
    router.customer = Some(1);
    router.request_arrives(4, "hut", 5000 * MS);
    router.attempt_ends(1, 0, &answer(Outcome::Finished));
    assert_eq!((router.sent_to(3).len(), router.sent_to(4).len()), if first == 3 { (1, 0) } else { (0, 1) });
}

/// One worker with a concurrency limit of 10 (a quota of 40 requests per second over half the latency
/// objective). Loads twenty functions there, lets some attempts time out, and then sends one request per
/// function. Returns how many requests are sent.
fn sent_of_twenty(routers: u64, time_outs: u8, timed_out_ms: Micros, overtaken: bool) -> usize {
    let mut rows = StartupConfig { router_count: routers, ..rows(RetrySafety::Idempotent) };
    rows.customers = vec![CustomerConfig { requests_per_second: 40.0 }];
    rows.attempt_policy.max_attempts = 1;
    let mut router = TestRouter::new(rows, 1);
    for n in 1..21 {
        router.request_arrives(n, &format!("hut-{n}"), 5000 * MS);
        router.attempt_ends(n, 0, &AttemptResult { elapsed: 70 * MS, ..answer(Outcome::Finished) });
    }
    for n in 21..21 + time_outs {
        router.request_arrives(n, "hut-1", 5000 * MS);
        router.advance(510 * MS);
        if overtaken {
            router.request_arrives(n + 100, "hut-1", 5000 * MS);
            router.attempt_ends(n + 100, 0, &answer(Outcome::Finished));
        }
        router.attempt_ends(n, 0, &AttemptResult { elapsed: timed_out_ms * MS, ..answer(Outcome::TimedOut) });
    }
    (41..61).for_each(|n| router.request_arrives(n, &format!("hut-{}", n - 40), 5000 * MS));
    router.advance(100 * MS);
    (41..61).filter(|n| !router.sent_to(*n).is_empty()).count()
}

// Estimated requests of other routers count towards a worker's limit. A timeout counts as a slow response;
// otherwise a worker that becomes slow would never appear full.
#[test_case(1, 0, 0, false, 15..16; "one router fills the room by itself")]
#[test_case(100, 0, 0, false, 3..12; "one of a hundred leaves room for the others")]
#[test_case(1, 6, 300, false, 15..16; "attempts that their clients gave up early say nothing")]
#[test_case(1, 6, 900, false, 1..8; "attempts past the start target say that it is slow")]
#[test_case(1, 6, 900, true, 15..16; "unless it has answered later ones: those answers were lost")]
fn room(routers: u64, time_outs: u8, late_ms: Micros, overtaken: bool, sent_to: std::ops::Range<usize>) {
    let sent = sent_of_twenty(routers, time_outs, late_ms, overtaken);
    assert!(sent_to.contains(&sent), "{sent}");
}

// A function called often at this router is assumed to be called as often at the others: its requests
// spread over several workers before any is full. With a single router they stay at the home.
#[test_case(1, 1; "alone")]
#[test_case(100, 2; "one of a hundred")]
fn many_routers_spread_a_hot_function(routers: u64, least: usize) {
    let mut router =
        TestRouter::new(StartupConfig { router_count: routers, ..rows(RetrySafety::Idempotent) }, 8);
    let mut used = std::collections::BTreeSet::new();
    for n in 0..100 {
        router.request_arrives(n, "hut", 5000 * MS);
        used.extend(router.sent_to(n));
        router.attempt_ends(n, 0, &answer(Outcome::Finished));
        router.advance(50 * MS);
    }
    assert!(if least == 1 { used.len() == 1 } else { used.len() >= least });
}

// While workers report congested loads, overflow starts no further load and requests wait for their home.
#[test_case(0.5, true; "calm")]
#[test_case(9.0, false; "jammed")]
fn jam(loads: f64, spreads: bool) {
    let mut router = TestRouter::new(rows(RetrySafety::Idempotent), 8);
    router.warm("hut");
    for n in 100..140 {
        router.request_arrives(n, "other", 5000 * MS);
        router.attempt_ends(
            n,
            0,
            &AttemptResult { reported_loads: Some(loads), ..answer(Outcome::Finished) },
        );
    }
    (1..4).for_each(|n| router.request_arrives(n, "hut", 5000 * MS));
    router.advance(200 * MS);
    assert_eq!(router.sent_to(3).len() == 1, spreads);
}

// An at-most-once request neither probes a worker returning from ejection nor waits for it while loads are
// congested. It skips the worker until a repeatable request has succeeded there.
#[test_case(false, false; "on trial")]
#[test_case(true, true; "proved by another job")]
fn at_most_once_passes_over(proved: bool, home_takes: bool) {
    let mut rows = rows(RetrySafety::Idempotent);
    rows.workloads
        .push(WorkloadConfig { retry_safety: RetrySafety::AtMostOnce, ..rows.workloads[0].clone() });
    rows.attempt_policy.max_attempts = 1;
    let mut router = TestRouter::new(rows, 8);
    let home = router.warm("hut");
    for n in 100..140 {
        router.request_arrives(n, "other", 5000 * MS);
        router.attempt_ends(n, 0, &AttemptResult { reported_loads: Some(9.0), ..answer(Outcome::Finished) });
    }
    router.request_arrives(1, "hut", 5000 * MS);
    router.attempt_ends(1, 0, &answer(Outcome::ConnectFailed));
    router.advance(600 * MS);
    if proved {
        router.request_arrives(2, "hut", 5000 * MS);
        assert_eq!(router.sent_to(2), [home]);
        router.attempt_ends(2, 0, &answer(Outcome::Finished));
    }
    router.workload = 1;
    router.request_arrives(3, "hut", 5000 * MS);
    assert_eq!(router.sent_to(3).len(), 1, "it goes out at once");
    assert_eq!(router.sent_to(3) == [home], home_takes);
}

#[test]
fn same_events_same_actions() {
    let run = || {
        let mut router = TestRouter::new(rows(RetrySafety::Idempotent), 5);
        for n in 0..60 {
            router.request_arrives(n, &format!("hut-{}", n % 7), 3000 * MS);
            router.advance(30 * MS);
            router.attempt_ends(
                n / 2,
                0,
                &answer(if n % 5 == 0 { Outcome::Error } else { Outcome::Finished }),
            );
        }
        router.advance(9000 * MS);
        router.record.did
    };
    assert_eq!(run(), run());
}

// If all clients give first tries the same timeout, a shorter one means that time was spent elsewhere: the
// request goes after those that can still meet their objective, and is given up early without capacity.
#[test_case(false, [2, 1], 0; "clients name their own limits")]
#[test_case(true, [1, 2], 1; "limits are shared")]
fn less_time_left(limits_shared: bool, order: [u8; 2], given_up: usize) {
    let begin = || {
        let mut router = TestRouter::new(
            StartupConfig { timeouts_shared: limits_shared, ..rows(RetrySafety::Idempotent) },
            0,
        );
        router.request_arrives(9, "hut", 5000 * MS);
        router.request_arrives(2, "hut", 4000 * MS);
        router.advance(5 * MS);
        router
    };
    let mut router = begin();
    router.request_arrives(1, "hut", 5000 * MS);
    router.control.client_disconnected(&mut router.record, request(9));
    router.list(&[endpoint(0, WorkerStatus::Ready, 0)]);
    let sent =
        router.record.did.iter().filter_map(|d| if let Action::Send(j, _) = d { Some(j.0[0]) } else { None });
    assert_eq!(sent.collect::<Vec<_>>(), order);
    let mut router = begin();
    router.advance(60 * MS);
    assert_eq!(router.final_responses(2).len(), given_up);
}

// When a client disconnects, its request's attempts in flight are cancelled.
#[test]
fn a_client_that_leaves() {
    let mut router = TestRouter::new(rows(RetrySafety::Idempotent), 8);
    router.request_arrives(1, "hut", 5000 * MS);
    router.control.client_disconnected(&mut router.record, request(1));
    assert_eq!(router.record.did.last(), Some(&Action::Cancel(request(1), 0)));
}

// Functions that other routers are presumed to keep loaded at their homes do not count towards the load
// limit.
#[test_case(1, 12; "alone, the bound on loads holds")]
#[test_case(20, 14; "one of twenty")]
fn homes_that_others_keep(routers: u64, sent: usize) {
    let mut router =
        TestRouter::new(StartupConfig { router_count: routers, ..rows(RetrySafety::Idempotent) }, 8);
    let names: Vec<String> = (0..14).map(|n| format!("hut-{n}")).collect();
    for name in &names {
        router.request_arrives(250, name, 5000 * MS);
        router.attempt_ends(250, 0, &answer(Outcome::Finished));
    }
    router.advance(11_000 * MS);
    names.iter().zip(1..).for_each(|(name, n)| router.request_arrives(n, name, 5000 * MS));
    assert_eq!((1..15).filter(|n| !router.sent_to(*n).is_empty()).count(), sent);
}

// Without quotas, the fleet's throughput is estimated from completions; demand beyond them adds no
// capacity.
#[test_case(0, 8; "what is asked in vain")]
#[test_case(200, 20; "what is finished")]
fn pace_without_shares(finished: u8, most: usize) {
    let mut router = TestRouter::new(StartupConfig { customers: vec![], ..rows(RetrySafety::Idempotent) }, 1);
    router.customer = None;
    for n in 0..200 {
        router.request_arrives(n, "hut", 5000 * MS);
        if n < finished {
            router.attempt_ends(n, 0, &answer(Outcome::Finished));
        } else if router.sent_to(n).is_empty() {
            router.control.client_disconnected(&mut router.record, request(n));
        }
        router.advance(5 * MS);
    }
    router.record.did.clear();
    (201..221).for_each(|n| router.request_arrives(n, &format!("hut-{n}"), 5000 * MS));
    let sent = (201..221).filter(|n| !router.sent_to(*n).is_empty()).count();
    assert!(if most == 20 { sent > 8 } else { sent <= most }, "{sent}");
}

// Functions called only once are forgotten; those with a request in progress are kept.
#[test]
fn functions_are_forgotten() {
    let mut router = TestRouter::new(rows(RetrySafety::Idempotent), 8);
    for n in 0..200u8 {
        router.request_arrives(n, &format!("hut-{n}"), 500_000 * MS);
        if n > 0 {
            router.attempt_ends(n, 0, &answer(Outcome::Finished));
        }
    }
    let known = router.control.known_functions();
    router.advance(100_000 * MS);
    assert_eq!((known, router.control.known_functions()), (200, 1), "the one that is out stays");
}
