//! What a router's decisions hold and do, by counts, at small sizes: each grows as docs/CAPACITY.md states,
//! and a fit on the smaller sizes foretells the largest within a fifth. A change that makes something grow
//! with workers x functions turns these red.
use applepond_capacity::fit::{Fit, Form};
use applepond_capacity::router::{Allocated, Costs, HollowRouter, Size};
use applepond_capacity::traffic::Popularity;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use test_case::test_case;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The allocator counts the whole process, so one case plays at a time.
static ALONE: Mutex<()> = Mutex::new(());

/// How far a fit may be from the largest size, as a part of it.
const FORETOLD_WITHIN: f64 = 0.2;
/// Simulated time before counting begins, and counted.
const WARM_UP: Duration = Duration::from_secs(20);
const COUNTED: Duration = Duration::from_secs(20);
const REAL_TIME: Duration = Duration::from_secs(60);

/// What an event may allocate more for each worker more: a list of one byte a worker would be a whole one.
const BYTES_A_WORKER_MOST: f64 = 0.05;

const SMALL: Size =
    Size { workers: 400, routers: 100, functions: 400, calls_per_s: 100.0, list_changes_per_s: 2.0 };

fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn allocated() -> Allocated {
    let stats = ALLOCATOR.stats();
    let live = (stats.bytes_allocated - stats.bytes_deallocated) as u64;
    Allocated { total: stats.bytes_allocated as u64, live }
}

/// Functions are called alike, so that a router comes to know all of them. The state at the end, in bytes,
/// and what the counted time cost.
fn played(size: Size) -> (f64, Costs) {
    let mut router = HollowRouter::start(size, Popularity::draw(size.functions, 0.0, 1), 7, allocated);
    router.play(WARM_UP, REAL_TIME);
    let costs = router.play(COUNTED, REAL_TIME);
    assert_eq!(costs.span.as_secs(), COUNTED.as_secs(), "played to the end");
    (router.state_bytes() as f64, costs)
}

fn state(size: Size) -> f64 {
    played(size).0
}

fn assert_foretold(form: Form, points: &[(f64, f64)]) -> Fit {
    let (fit, miss) = Fit::foretold(form, points);
    assert!(miss <= FORETOLD_WITHIN, "{fit:?} misses the largest of {points:?} by {miss:.2}");
    fit
}

#[test]
fn state_grows_with_workers() {
    let _alone = alone();
    let sizes = [400, 800, 1_600, 3_200, 6_400];
    let points = sizes.map(|workers| (workers as f64, state(Size { workers, ..SMALL })));
    let fit = assert_foretold(Form::Linear, &points);
    assert!(fit.slope <= 800.0, "{:.0} bytes a worker", fit.slope);
}

#[test]
fn state_grows_with_functions_in_use() {
    let _alone = alone();
    let sizes = [250, 500, 1_000, 2_000];
    let points = sizes.map(|functions| (functions as f64, state(Size { functions, ..SMALL })));
    let fit = assert_foretold(Form::Linear, &points);
    assert!(fit.slope <= 2_500.0, "{:.0} bytes a function", fit.slope);
}

// What both together take beyond what each takes alone stays small: nothing is kept for each pair.
#[test]
fn state_has_no_product_of_workers_and_functions() {
    let _alone = alone();
    let of = |workers, functions| state(Size { workers, functions, ..SMALL });
    let (small, both) = (of(400, 250), of(6_400, 2_000));
    let alone = of(6_400, 250) + of(400, 2_000) - small;
    assert!(both <= 1.25 * alone, "{both:.0} bytes together, {alone:.0} by each alone");
}

// Beyond a bound functions are forgotten, and nothing grows with names that clients make up.
#[test]
fn functions_are_bounded() {
    let _alone = alone();
    let many = Size { functions: 1_000_000, calls_per_s: 600.0, ..SMALL };
    let mut router = HollowRouter::start(many, Popularity::draw(many.functions, 0.0, 1), 7, allocated);
    // Both tables are full then: functions by calls, prefixes by those of them that were walked.
    router.play(Duration::from_secs(60), REAL_TIME);
    assert!(router.functions() <= 8_192, "{} functions known", router.functions());
    let before = router.state_bytes();
    router.play(Duration::from_secs(15), REAL_TIME);
    assert!(router.functions() <= 8_192, "{} functions known", router.functions());
    let after = router.state_bytes();
    assert!(after as f64 <= 1.25 * before as f64, "{before} bytes, then {after}");
}

#[derive(Clone, Copy)]
enum Of {
    Request,
    AttemptResult,
    ListChange,
    Timer,
}

// Work of one event, in bytes that it allocates, does not grow with the list.
#[test_case(Of::Request, 3_000.0; "a request")]
#[test_case(Of::AttemptResult, 1_000.0; "an answer")]
#[test_case(Of::ListChange, 1_500.0; "a change of the list")]
#[test_case(Of::Timer, 1_000.0; "a timer")]
fn an_event_does_not_grow_with_workers(of: Of, most: f64) {
    let _alone = alone();
    let sizes = [400, 800, 1_600, 3_200, 6_400];
    let points = sizes.map(|workers| {
        let costs = played(Size { workers, functions: 1_000, ..SMALL }).1;
        let cost = match of {
            Of::Request => &costs.requests,
            Of::AttemptResult => &costs.answers,
            Of::ListChange => &costs.lists,
            Of::Timer => &costs.timers,
        };
        (workers as f64, cost.mean_bytes())
    });
    let fit = Fit::of(Form::Linear, &points);
    assert!(fit.slope <= BYTES_A_WORKER_MOST, "{fit:?} of {points:?}");
    assert!(points.iter().all(|(_, bytes)| *bytes <= most), "{points:?}");
}

// The judge itself: a form that is wrong does not foretell the largest size.
#[test_case(Form::Constant, |n| n; "constant, though it grows")]
#[test_case(Form::Linear, |n| n * n; "linear, though it is a product")]
#[test_case(Form::Logarithm, |n| n; "logarithm, though it is linear")]
fn a_wrong_form_is_refuted(form: Form, cost: fn(f64) -> f64) {
    let points = [100.0, 300.0, 1_000.0, 3_000.0].map(|n| (n, cost(n)));
    let (fit, miss) = Fit::foretold(form, &points);
    assert!(miss > FORETOLD_WITHIN, "{fit:?} misses by {miss:.2}");
}

#[test_case(Form::Constant, |_| 7.0; "constant")]
#[test_case(Form::Linear, |n| 5.0 + 3.0 * n; "linear")]
#[test_case(Form::Logarithm, |n| 5.0 + 3.0 * n.ln(); "logarithm")]
fn a_right_form_foretells(form: Form, cost: fn(f64) -> f64) {
    let points = [100.0, 300.0, 1_000.0, 3_000.0].map(|n| (n, cost(n)));
    let (fit, miss) = Fit::foretold(form, &points);
    assert!(miss < 1e-9 && fit.residual < 1e-9, "{fit:?} misses by {miss:.2}");
}
