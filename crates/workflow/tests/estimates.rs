//! Estimates of how long functions take.
use applepond::interface::{FunctionId, Micros};
use applepond_workflow::TimeEstimates;
use test_case::test_case;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

fn function(n: u64) -> FunctionId {
    FunctionId(n)
}

#[test_case(3, 40 * MS; "too few are not believed")]
#[test_case(100, 85 * MS; "four of five within it")]
#[test_case(5_000, 85 * MS; "over generations")]
fn the_usual_time_is_a_quantile_of_samples(samples: u64, want: Micros) {
    let mut times = TimeEstimates::new(10 * S);
    (0..samples).for_each(|n| times.record(n, function(1), (n * 7 % 100 + 1) * MS, true));
    let got = times.execution_time(function(1), 40 * MS);
    assert!(got.abs_diff(want) <= want / 8, "{got}");
}

#[test]
fn what_became_slow_is_known_after_a_generation_or_two() {
    let mut times = TimeEstimates::new(10 * S);
    (0..2_000).for_each(|n| times.record(n, function(1), 10 * MS, true));
    (0..1_100).for_each(|n| times.record(n, function(1), 200 * MS, true));
    assert!(times.execution_time(function(1), 0) > 150 * MS);
}

#[test_case(0, 0, 2 * S; "never seen: what is declared")]
#[test_case(5, 0, 0; "just served")]
#[test_case(5, 11 * S, 2 * S; "idle for longer than copies are kept")]
fn a_load_is_expected_where_no_copy_is_loaded(served: u64, later: Micros, want: Micros) {
    let mut times = TimeEstimates::new(10 * S);
    (0..served).for_each(|n| times.record(S + n, function(1), 10 * MS, true));
    assert_eq!(times.load_time(S + 5 + later, function(1), Some(2 * S)), want);
}

#[test]
fn a_function_evicted_all_the_time_counts_as_not_loaded_and_its_load_is_learned() {
    let mut times = TimeEstimates::new(10 * S);
    (0..20).for_each(|n| times.record(n, function(1), 10 * MS, true));
    (0..20).for_each(|n| times.record(100 + n, function(1), 910 * MS, false));
    let load = times.load_time(200, function(1), Some(2 * S));
    assert!(load.abs_diff(900 * MS) < 20 * MS, "{load}");
}
