//! What is kept of a chain, and what that means for one that goes on after a kill.
use crate::Micros;
use applepond::interface::{IdempotencyScope, RetrySafety};
use applepond_workflow::run::Recorded;
use applepond_workflow::{How, Plan, StepId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bytes of one step's answer, and of an event's data, at most that are kept; the answer of a chain whose
/// last step said more cannot be told again after a kill.
pub const MAX_STORED_RESPONSE_BYTES: usize = 64 * 1024;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkflowRecord {
    /// Which chain, and a digest of its plan: after a change of the plan nothing goes on by it.
    pub workflow: String,
    pub plan_digest: u64,
    /// The function that the event named, its customer, and what its steps take over from it.
    pub function: Option<String>,
    pub customer: Option<String>,
    pub header_lines: Vec<u8>,
    pub content_type: Option<String>,
    pub data: Vec<u8>,
    pub deadline: Micros,
    /// When the record may be dropped.
    pub expires_at: Micros,
    /// It failed, with steps before that are taken back: it is not to go on, whoever asks.
    pub failed: bool,
    /// It has come to its end, undos and all.
    pub closed: bool,
    /// By the step's place in the plan.
    pub steps: BTreeMap<u32, StepRecord>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepRecord {
    /// When it was sent, or was about to be.
    pub sent_at: Micros,
    pub outcome: Option<StepOutcome>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepOutcome {
    pub code: u8,
    /// Fields of its result that the plan asks for.
    pub fields: BTreeMap<String, String>,
    pub response: Option<StoredResponse>,
}

/// Header lines and body of a step's answer, as the client would get them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredResponse {
    pub header_lines: Vec<u8>,
    pub body: Vec<u8>,
}

/// As a number on disk: these never change their meaning.
pub fn outcome_code(outcome: How) -> u8 {
    match outcome {
        How::Finished => 0,
        How::NeverRan => 1,
        How::MayHaveRun => 2,
    }
}

fn outcome_from_code(code: u8) -> How {
    match code {
        0 => How::Finished,
        1 => How::NeverRan,
        // Also what a later version wrote: the careful reading.
        _ => How::MayHaveRun,
    }
}

/// Whether a step that was sent, and whose end is not known, may be sent once more. An idempotency key helps
/// only where the repeat is known by whoever gets it: after a kill nobody here knows which rack or zone got
/// the first.
fn again(effect: RetrySafety, sent: Micros, now: Micros) -> bool {
    match effect {
        RetrySafety::Idempotent => true,
        RetrySafety::Keyed { scope: IdempotencyScope::Everywhere, window } => now < sent + window,
        RetrySafety::Keyed { .. } | RetrySafety::AtMostOnce => false,
    }
}

/// What a chain that goes on is to know of its steps: those that ended, and those that may have run.
pub fn recorded_steps(kept: &WorkflowRecord, plan: &Plan, now: Micros) -> Recorded {
    let mut recorded = Recorded::new();
    for (n, step) in &kept.steps {
        let Some(row) = plan.steps.get(*n as usize) else { continue };
        let known = match &step.outcome {
            // Another try is welcome to run it, unless what was before it has been taken back.
            Some(end) if outcome_from_code(end.code) == How::NeverRan && !kept.failed => continue,
            Some(end) => (outcome_from_code(end.code), end.fields.clone()),
            None if again(row.effect, step.sent_at, now) => continue,
            None => (How::MayHaveRun, BTreeMap::new()),
        };
        recorded.insert(StepId(*n as usize), known);
    }
    recorded
}

#[cfg(test)]
mod tests {
    use super::*;
    use applepond_workflow::{Function, Step};
    use test_case::test_case;

    const S: Micros = 1_000_000;
    const EVERYWHERE: RetrySafety = RetrySafety::Keyed { scope: IdempotencyScope::Everywhere, window: 3 * S };
    const RACK: RetrySafety = RetrySafety::Keyed { scope: IdempotencyScope::Rack, window: 3 * S };

    #[test_case(RetrySafety::Idempotent, 9, None; "idempotent: begun again")]
    #[test_case(EVERYWHERE, 2, None; "keyed everywhere, in its window: begun again")]
    #[test_case(EVERYWHERE, 3, Some(How::MayHaveRun); "past its window")]
    #[test_case(RACK, 2, Some(How::MayHaveRun); "keyed by rack: which one is not known")]
    #[test_case(RetrySafety::AtMostOnce, 0, Some(How::MayHaveRun); "at-most-once")]
    fn sent_without_an_end(effect: RetrySafety, later_s: u64, want: Option<How>) {
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
        let kept = WorkflowRecord { steps: BTreeMap::from([(0, sent)]), ..WorkflowRecord::default() };
        let got = recorded_steps(&kept, &plan, (100 + later_s) * S);
        assert_eq!(got.get(&StepId(0)).map(|(how, _)| *how), want);
    }

    #[test]
    fn ends_are_read_as_they_were_written() {
        for want in [How::Finished, How::NeverRan, How::MayHaveRun] {
            assert_eq!(outcome_from_code(outcome_code(want)), want);
        }
        assert_eq!(outcome_from_code(77), How::MayHaveRun);
    }
}
