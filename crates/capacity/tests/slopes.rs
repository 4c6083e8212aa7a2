//! Memory and work of one router, counted at small sizes. They must grow as docs/CAPACITY.md states, and a
//! fit to the smaller sizes must predict the largest within 20 %. The tests fail if a change makes a cost
//! grow with the product of workers and functions.
use applepond_capacity::fit::{Fit, Form};
use applepond_capacity::router::{AllocatedBytes, Costs, FleetSize, SimulatedRouter};
use applepond_capacity::traffic::Popularity;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use test_case::test_case;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The allocator counts the whole process, so only one test may run at a time.
static ALLOCATOR_LOCK: Mutex<()> = Mutex::new(());

/// Limit of the relative error of a fit to the smaller sizes at the largest size.
const MAX_EXTRAPOLATION_ERROR: f64 = 0.2;
/// Simulated time before the measurement, and measured.
const WARM_UP_TIME: Duration = Duration::from_secs(20);
const MEASURED_TIME: Duration = Duration::from_secs(20);
const REAL_TIME: Duration = Duration::from_secs(60);

/// Limit of the growth of an event's allocations, in bytes per worker. Copying a list with one byte per
/// worker would exceed it twentyfold.
const MAX_BYTES_PER_WORKER: f64 = 0.05;

const SMALL: FleetSize =
    FleetSize { workers: 400, routers: 100, functions: 400, requests_per_s: 100.0, list_changes_per_s: 2.0 };

fn lock_allocator() -> MutexGuard<'static, ()> {
    ALLOCATOR_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

fn allocated() -> AllocatedBytes {
    let stats = ALLOCATOR.stats();
    let live = (stats.bytes_allocated - stats.bytes_deallocated) as u64;
    AllocatedBytes { total: stats.bytes_allocated as u64, live }
}

/// Simulates a router and returns the bytes of its state at the end and the costs of the measured time. All
/// functions have the same request rate, so that the router has state for all of them.
fn simulated(size: FleetSize) -> (f64, Costs) {
    let mut router =
        SimulatedRouter::start(size, Popularity::log_normal(size.functions, 0.0, 1), 7, allocated);
    router.simulate(WARM_UP_TIME, REAL_TIME);
    let costs = router.simulate(MEASURED_TIME, REAL_TIME);
    assert_eq!(costs.span.as_secs(), MEASURED_TIME.as_secs(), "the simulation ran out of real time");
    (router.state_bytes() as f64, costs)
}

fn state(size: FleetSize) -> f64 {
    simulated(size).0
}

fn assert_extrapolates(form: Form, points: &[(f64, f64)]) -> Fit {
    let (fit, error) = Fit::extrapolate(form, points);
    assert!(error <= MAX_EXTRAPOLATION_ERROR, "{fit:?} is off by {error:.2} at the largest of {points:?}");
    fit
}

#[test]
fn state_grows_with_workers() {
    let _guard = lock_allocator();
    let sizes = [400, 800, 1_600, 3_200, 6_400];
    let points = sizes.map(|workers| (workers as f64, state(FleetSize { workers, ..SMALL })));
    let fit = assert_extrapolates(Form::Linear, &points);
    assert!(fit.slope <= 800.0, "{:.0} bytes per worker", fit.slope);
}

#[test]
fn state_grows_with_functions_in_use() {
    let _guard = lock_allocator();
    let sizes = [250, 500, 1_000, 2_000];
    let points = sizes.map(|functions| (functions as f64, state(FleetSize { functions, ..SMALL })));
    let fit = assert_extrapolates(Form::Linear, &points);
    assert!(fit.slope <= 2_500.0, "{:.0} bytes per function", fit.slope);
}

// The state with many workers and many functions is little more than the sum of both growths: nothing is
// stored per pair of worker and function.
#[test]
fn state_has_no_product_of_workers_and_functions() {
    let _guard = lock_allocator();
    let state_of = |workers, functions| state(FleetSize { workers, functions, ..SMALL });
    let (small, both) = (state_of(400, 250), state_of(6_400, 2_000));
    let separate = state_of(6_400, 250) + state_of(400, 2_000) - small;
    assert!(both <= 1.25 * separate, "{both:.0} bytes for both, {separate:.0} expected from each on its own");
}

// The number of functions with state is limited, so that function names invented by clients cannot use up
// memory.
#[test]
fn functions_are_bounded() {
    let _guard = lock_allocator();
    let many = FleetSize { functions: 1_000_000, requests_per_s: 600.0, ..SMALL };
    let mut router =
        SimulatedRouter::start(many, Popularity::log_normal(many.functions, 0.0, 1), 7, allocated);
    // Long enough to fill both tables: functions with every request, prefixes with those requests for which
    // the hash order was walked.
    router.simulate(Duration::from_secs(60), REAL_TIME);
    assert!(router.known_functions() <= 8_192, "{} functions known", router.known_functions());
    let before = router.state_bytes();
    router.simulate(Duration::from_secs(15), REAL_TIME);
    assert!(router.known_functions() <= 8_192, "{} functions known", router.known_functions());
    let after = router.state_bytes();
    assert!(after as f64 <= 1.25 * before as f64, "{before} bytes, then {after}");
}

#[derive(Clone, Copy)]
enum EventKind {
    Request,
    AttemptResult,
    ListChange,
    Timer,
}

// The work of one event, measured by the bytes that it allocates, does not grow with the number of workers.
#[test_case(EventKind::Request, 3_000.0; "a request")]
#[test_case(EventKind::AttemptResult, 1_000.0; "a response")]
#[test_case(EventKind::ListChange, 1_500.0; "a list update")]
#[test_case(EventKind::Timer, 1_000.0; "a timer")]
fn an_event_does_not_grow_with_workers(kind: EventKind, max_bytes: f64) {
    let _guard = lock_allocator();
    let sizes = [400, 800, 1_600, 3_200, 6_400];
    let points = sizes.map(|workers| {
        let costs = simulated(FleetSize { workers, functions: 1_000, ..SMALL }).1;
        let cost = match kind {
            EventKind::Request => &costs.requests,
            EventKind::AttemptResult => &costs.responses,
            EventKind::ListChange => &costs.list_updates,
            EventKind::Timer => &costs.timers,
        };
        (workers as f64, cost.mean_bytes())
    });
    let fit = Fit::least_squares(Form::Linear, &points);
    assert!(fit.slope <= MAX_BYTES_PER_WORKER, "{fit:?} of {points:?}");
    assert!(points.iter().all(|(_, bytes)| *bytes <= max_bytes), "{points:?}");
}

// Tests the check itself: a fit of the wrong form does not predict the cost at the largest size.
#[test_case(Form::Constant, |n| n; "constant for a linear cost")]
#[test_case(Form::Linear, |n| n * n; "linear for a quadratic cost")]
#[test_case(Form::Logarithm, |n| n; "logarithm for a linear cost")]
fn a_fit_of_the_wrong_form_fails_to_extrapolate(form: Form, cost: fn(f64) -> f64) {
    let points = [100.0, 300.0, 1_000.0, 3_000.0].map(|n| (n, cost(n)));
    let (fit, error) = Fit::extrapolate(form, &points);
    assert!(error > MAX_EXTRAPOLATION_ERROR, "{fit:?} is off by {error:.2}");
}

#[test_case(Form::Constant, |_| 7.0; "constant")]
#[test_case(Form::Linear, |n| 5.0 + 3.0 * n; "linear")]
#[test_case(Form::Logarithm, |n| 5.0 + 3.0 * n.ln(); "logarithm")]
fn a_fit_of_the_right_form_extrapolates(form: Form, cost: fn(f64) -> f64) {
    let points = [100.0, 300.0, 1_000.0, 3_000.0].map(|n| (n, cost(n)));
    let (fit, error) = Fit::extrapolate(form, &points);
    assert!(error < 1e-9 && fit.residual < 1e-9, "{fit:?} is off by {error:.2}");
}
