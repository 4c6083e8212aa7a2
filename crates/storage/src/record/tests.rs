//! Tests of the private decoding of outcome codes.
use super::{StepStatus, outcome_code, outcome_from_code};

#[test]
fn outcomes_are_read_as_they_were_written() {
    for outcome in [StepStatus::Finished, StepStatus::NeverRan, StepStatus::MayHaveRun] {
        assert_eq!(outcome_from_code(outcome_code(outcome)), outcome);
    }
    assert_eq!(outcome_from_code(77), StepStatus::MayHaveRun);
}
