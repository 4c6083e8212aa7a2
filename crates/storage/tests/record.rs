//! Which recorded steps of a resumed workflow must not be sent again.
use applepond::interface::{IdempotencyScope, RetrySafety};
use applepond_storage::{Micros, StepRecord, WorkflowRecord, recorded_steps};
use applepond_workflow::{Function, Plan, Step, StepId, StepStatus};
use std::collections::BTreeMap;
use test_case::test_case;

const S: Micros = 1_000_000;
const EVERYWHERE: RetrySafety = RetrySafety::Keyed { scope: IdempotencyScope::Everywhere, window: 3 * S };
const RACK: RetrySafety = RetrySafety::Keyed { scope: IdempotencyScope::Rack, window: 3 * S };

#[test_case(RetrySafety::Idempotent, 9, None; "idempotent: sent again")]
#[test_case(EVERYWHERE, 2, None; "keyed everywhere, within the window: sent again")]
#[test_case(EVERYWHERE, 3, Some(StepStatus::MayHaveRun); "after the window")]
#[test_case(RACK, 2, Some(StepStatus::MayHaveRun); "keyed by rack: the rack is unknown")]
#[test_case(RetrySafety::AtMostOnce, 0, Some(StepStatus::MayHaveRun); "at-most-once")]
fn a_step_without_an_outcome_is_sent_again_only_where_safe(
    effect: RetrySafety,
    later_s: u64,
    expected: Option<StepStatus>,
) {
    let step = Step {
        name: "a".into(),
        workload: 0,
        effect,
        function: Function::OfEvent,
        at_least: 1,
        optional: false,
        undo: None,
        next: Vec::new(),
        or_else: Vec::new(),
    };
    let plan = Plan { name: "p".into(), limit: S, steps: vec![step] };
    let sent = StepRecord { sent_at: 100 * S, outcome: None };
    let record = WorkflowRecord { steps: BTreeMap::from([(0, sent)]), ..WorkflowRecord::default() };
    let got = recorded_steps(&record, &plan, (100 + later_s) * S);
    assert_eq!(got.get(&StepId(0)).map(|(status, _)| *status), expected);
}
