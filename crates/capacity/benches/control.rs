//! Cost of one router's decisions at several sizes of the fleet.
//! `cargo bench -p applepond-capacity --bench control`
//!
//! Time is simulated. Costs are real time on one thread; memory is bytes allocated and not freed.
use applepond_capacity::router::{AllocatedBytes, FleetSize, SimulatedRouter, TARGET_FLEET};
use applepond_capacity::traffic::{Popularity, SIGMA};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Simulated time before the measurement, and measured.
const WARM_UP_TIME: Duration = Duration::from_secs(400);
const MEASURED_TIME: Duration = Duration::from_secs(60);
/// Limit of the real time for each of the two, in case the code under test is slow.
const REAL_TIME: Duration = Duration::from_secs(20);

fn allocated() -> AllocatedBytes {
    let stats = ALLOCATOR.stats();
    let live = (stats.bytes_allocated - stats.bytes_deallocated) as u64;
    AllocatedBytes { total: stats.bytes_allocated as u64, live }
}

fn main() {
    let sizes = [
        FleetSize { workers: 120, routers: 40, functions: 1_200, list_changes_per_s: 0.0, ..TARGET_FLEET },
        FleetSize { workers: 1_000, routers: 1, functions: 10_000, list_changes_per_s: 0.0, ..TARGET_FLEET },
        FleetSize {
            workers: 1_000,
            routers: 233,
            functions: 9_700,
            list_changes_per_s: 0.33,
            ..TARGET_FLEET
        },
        FleetSize {
            workers: 3_000,
            routers: 700,
            functions: 29_000,
            list_changes_per_s: 1.0,
            ..TARGET_FLEET
        },
        FleetSize {
            workers: 10_000,
            routers: 2_333,
            functions: 96_700,
            list_changes_per_s: 3.3,
            ..TARGET_FLEET
        },
        TARGET_FLEET,
    ];
    println!(
        "{:>8} {:>8} {:>9} {:>6} {:>8} {:>8} {:>8} {:>9} {:>8} {:>7} {:>9} {:>6} {:>7} {:>9}",
        "workers",
        "routers",
        "functions",
        "rare",
        "call us",
        "p99 req",
        "p99 ans",
        "timer us",
        "list us",
        "core %",
        "state MB",
        "known",
        "span s",
        "given up"
    );
    for size in sizes {
        let popularity = Popularity::log_normal(size.functions, SIGMA, 1);
        let rare = popularity.share_called_less_than(1.0 / 60.0, size.requests_per_s * size.routers as f64);
        let mut router = SimulatedRouter::start(size, popularity, 7, allocated);
        router.simulate(WARM_UP_TIME, REAL_TIME);
        let outcomes = router.outcomes;
        let costs = router.simulate(MEASURED_TIME, REAL_TIME);
        let unserved = router.outcomes.unserved - outcomes.unserved;
        println!(
            "{:>8} {:>8} {:>9} {:>5.0}% {:>8.1} {:>8.1} {:>8.1} {:>9.1} {:>8.1} {:>7.2} {:>9.1} {:>6} \
             {:>7.1} {:>9}",
            size.workers,
            size.routers,
            size.functions,
            rare * 100.0,
            costs.us_per_request(),
            costs.requests.quantile_us(0.99),
            costs.responses.quantile_us(0.99),
            costs.timers.mean_us(),
            costs.list_updates.mean_us(),
            costs.core_share() * 100.0,
            router.state_bytes() as f64 / 1e6,
            router.known_functions(),
            costs.span.as_secs_f64(),
            unserved,
        );
    }
}
