//! The design's path, and the guards beside it.
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

// While a load is awaited copies wait, but not for ever: its worker may be dead.
#[test_case(4900, 1; "the answer is awaited")]
#[test_case(5200, 2; "no longer")]
fn hold_ends(ms: Micros, sent_to: usize) {
    let mut router = TestRouter::new(rows(RetrySafety::Idempotent), 8);
    router.request_arrives(1, "hut", 9000 * MS);
    router.advance(ms * MS);
    assert_eq!(router.sent_to(1).len(), sent_to);
}

// A worker that fails, whatever the sign, is left alone for a while and then gets a trickle.
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

// Connections break by themselves: what breaks at one moment is one sign, a second one soon after is two.
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

// A worker that owes answers and says nothing is set aside; one slow request is not silence.
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

// What cannot finish in time any more waits behind what can; what is given up is told so at once.
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

// A worker that was full for a function is left alone by its next requests for a moment.
// One that takes its time to say so turns away one customer alone: the other one's requests still go there.
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

// A client's second try has lost its start target: it waits behind a first try that came later.
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

// Only what a customer asks beyond its share waits last; what is within it keeps its place.
// In a storm of retries copies and further attempts shrink: only first tries earn them.
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

/// One worker whose room is 10 requests (a share of 40 requests a second for half the start target): twenty
/// functions are loaded there, then some attempts time out, then one request comes for each function. How
/// many go out?
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

// Routers together: what this one's own answers let expect of the others takes room at a worker, too. And a
// time-out tells that a worker is slow as an answer would, or a slowing worker would never seem full.
#[test_case(1, 0, 0, false, 15..16; "one router fills the room by itself")]
#[test_case(100, 0, 0, false, 3..12; "one of a hundred leaves room for the others")]
#[test_case(1, 6, 300, false, 15..16; "attempts that their clients gave up early say nothing")]
#[test_case(1, 6, 900, false, 1..8; "attempts past the start target say that it is slow")]
#[test_case(1, 6, 900, true, 15..16; "unless it has answered later ones: those answers were lost")]
fn room(routers: u64, time_outs: u8, late_ms: Micros, overtaken: bool, sent_to: std::ops::Range<usize>) {
    let sent = sent_of_twenty(routers, time_outs, late_ms, overtaken);
    assert!(sent_to.contains(&sent), "{sent}");
}

// A function that this router asked for often is asked for by the others as well: its requests spread over
// several workers before any is full. With one router they stay at home.
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

// While the workers tell of loads jammed everywhere no overflow begins another one; the request waits for
// its home.
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

// An at-most-once request does not try out a worker that was set aside, nor does it wait for it while loads
// are jammed: it passes it over until a request that can be repeated has found out.
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

// Where all clients give a first try the same time, one that comes with less has spent it elsewhere: it goes
// after those that can keep their start target, and is given up at once where there is no room.
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

// A client that leaves: what still waits at a worker for its request is taken back.
#[test]
fn a_client_that_leaves() {
    let mut router = TestRouter::new(rows(RetrySafety::Idempotent), 8);
    router.request_arrives(1, "hut", 5000 * MS);
    router.control.client_disconnected(&mut router.record, request(1));
    assert_eq!(router.record.did.last(), Some(&Action::Cancel(request(1), 0)));
}

// Homes that the other routers are taken to keep loaded are no loads: the bound on own ones is not met.
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

// Without shares the pace of the fleet is what it finishes: what is asked beyond that makes no room.
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

// Names that clients made up once do not stay; a function at work or waited for does.
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
