//! The bound on the number of functions.
use super::{MAX_FUNCTIONS, TimeEstimates};
use applepond::interface::{FunctionId, Micros};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

#[test]
fn the_number_of_functions_is_bounded() {
    let mut times = TimeEstimates::new(10 * S);
    (0..3 * MAX_FUNCTIONS as u64).for_each(|n| times.record(n, FunctionId(n), MS, true));
    assert_eq!((times.function_count(), times.by_age.len()), (MAX_FUNCTIONS, MAX_FUNCTIONS));
    (0..100).for_each(|_| times.record(99 * S, FunctionId(9 << 20), MS, true));
    assert_eq!(
        times.execution_time(FunctionId(9 << 20), 0) / MS,
        1,
        "the most recently used function is kept"
    );
}
