//! Estimates of the execution and load times of functions.
use applepond::interface::{FunctionId, Micros};
use applepond_workflow::TimeEstimates;
use test_case::test_case;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

fn function(n: u64) -> FunctionId {
    FunctionId(n)
}

#[test_case(3, 40 * MS; "too few samples")]
#[test_case(100, 85 * MS; "a quantile of 80 %")]
#[test_case(5_000, 85 * MS; "several generations")]
fn the_usual_time_is_a_quantile_of_samples(samples: u64, want: Micros) {
    let mut times = TimeEstimates::new(10 * S);
    (0..samples).for_each(|n| times.record(n, function(1), (n * 7 % 100 + 1) * MS, true));
    let got = times.execution_time(function(1), 40 * MS);
    assert!(got.abs_diff(want) <= want / 8, "{got}");
}

#[test]
fn a_slower_function_is_noticed_within_two_generations() {
    let mut times = TimeEstimates::new(10 * S);
    (0..2_000).for_each(|n| times.record(n, function(1), 10 * MS, true));
    (0..1_100).for_each(|n| times.record(n, function(1), 200 * MS, true));
    assert!(times.execution_time(function(1), 0) > 150 * MS);
}

#[test_case(0, 0, 2 * S; "unknown: the declared time")]
#[test_case(5, 0, 0; "recently used")]
#[test_case(5, 11 * S, 2 * S; "idle for longer than the cache lifetime")]
fn a_load_is_expected_where_no_copy_is_loaded(served: u64, later: Micros, want: Micros) {
    let mut times = TimeEstimates::new(10 * S);
    (0..served).for_each(|n| times.record(S + n, function(1), 10 * MS, true));
    assert_eq!(times.load_time(S + 5 + later, function(1), Some(2 * S)), want);
}

#[test]
fn a_function_that_is_always_evicted_counts_as_not_loaded_and_its_load_time_is_learned() {
    let mut times = TimeEstimates::new(10 * S);
    (0..20).for_each(|n| times.record(n, function(1), 10 * MS, true));
    (0..20).for_each(|n| times.record(100 + n, function(1), 910 * MS, false));
    let load = times.load_time(200, function(1), Some(2 * S));
    assert!(load.abs_diff(900 * MS) < 20 * MS, "{load}");
}
