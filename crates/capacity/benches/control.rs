//! What one router's decisions cost at several sizes of the fleet.
//! `cargo bench -p applepond-capacity --bench control`
//!
//! Simulated time, real processor time of one thread; bytes are those allocated and not freed.
use applepond_capacity::router::{AHEAD, Allocated, HollowRouter, Size};
use applepond_capacity::traffic::{Popularity, SIGMA};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Simulated time before counting begins, and counted.
const WARM_UP: Duration = Duration::from_secs(400);
const COUNTED: Duration = Duration::from_secs(60);
/// Real time that either may take at most, for texts that are slow.
const REAL_TIME: Duration = Duration::from_secs(20);

fn allocated() -> Allocated {
    let stats = ALLOCATOR.stats();
    let live = (stats.bytes_allocated - stats.bytes_deallocated) as u64;
    Allocated { total: stats.bytes_allocated as u64, live }
}

fn main() {
    let sizes = [
        Size { workers: 120, routers: 40, functions: 1_200, list_changes_per_s: 0.0, ..AHEAD },
        Size { workers: 1_000, routers: 1, functions: 10_000, list_changes_per_s: 0.0, ..AHEAD },
        Size { workers: 1_000, routers: 233, functions: 9_700, list_changes_per_s: 0.33, ..AHEAD },
        Size { workers: 3_000, routers: 700, functions: 29_000, list_changes_per_s: 1.0, ..AHEAD },
        Size { workers: 10_000, routers: 2_333, functions: 96_700, list_changes_per_s: 3.3, ..AHEAD },
        AHEAD,
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
        let popularity = Popularity::draw(size.functions, SIGMA, 1);
        let rare = popularity.rarer_than(1.0 / 60.0, size.calls_per_s * size.routers as f64);
        let mut router = HollowRouter::start(size, popularity, 7, allocated);
        router.play(WARM_UP, REAL_TIME);
        let ends = router.ends;
        let costs = router.play(COUNTED, REAL_TIME);
        let given_up = router.ends.given_up - ends.given_up;
        println!(
            "{:>8} {:>8} {:>9} {:>5.0}% {:>8.1} {:>8.1} {:>8.1} {:>9.1} {:>8.1} {:>7.2} {:>9.1} {:>6} \
             {:>7.1} {:>9}",
            size.workers,
            size.routers,
            size.functions,
            rare * 100.0,
            costs.call_us(),
            costs.requests.quantile_us(0.99),
            costs.answers.quantile_us(0.99),
            costs.timers.mean_us(),
            costs.lists.mean_us(),
            costs.core() * 100.0,
            router.state_bytes() as f64 / 1e6,
            router.functions(),
            costs.span.as_secs_f64(),
            given_up,
        );
    }
}
