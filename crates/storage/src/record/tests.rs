//! The numbers of outcomes, whose reading is private.
use super::{StepStatus, outcome_code, outcome_from_code};

#[test]
fn outcomes_are_read_as_they_were_written() {
    for want in [StepStatus::Finished, StepStatus::NeverRan, StepStatus::MayHaveRun] {
        assert_eq!(outcome_from_code(outcome_code(want)), want);
    }
    assert_eq!(outcome_from_code(77), StepStatus::MayHaveRun);
}
