//! What is recorded of a workflow, and what that means for one that is resumed after its router was killed.
//!
//! The order of the fields of each type is the format of the files.
use crate::Micros;
use applepond::interface::{IdempotencyScope, RetrySafety};
use applepond_workflow::run::RecordedSteps;
use applepond_workflow::{Plan, StepId, StepStatus};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most bytes of a step's response, and of an event's data, that are recorded. A workflow whose last step
/// answered with more cannot repeat its answer after the router was killed.
pub const MAX_STORED_RESPONSE_BYTES: usize = 64 * 1024;

/// What is recorded of a workflow.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkflowRecord {
    /// The name of its plan.
    pub workflow: String,
    /// A digest of the plan: after a change of the plan nothing is resumed by it.
    pub plan_digest: u64,
    /// The function that the event named, if any.
    pub function: Option<String>,
    /// The customer of the event, if any.
    pub customer: Option<String>,
    /// The header lines of the event that its steps take over.
    pub header_lines: Vec<u8>,
    /// The media type of the data, if any.
    pub content_type: Option<String>,
    /// The data of the event.
    pub data: Vec<u8>,
    /// When the workflow has to have ended.
    pub deadline: Micros,
    /// When the record may be removed.
    pub expires_at: Micros,
    /// The workflow failed, and the steps before are compensated: it must not be resumed, whoever asks.
    pub failed: bool,
    /// The workflow has ended, with all compensations.
    pub closed: bool,
    /// The steps that were sent, by their place in the plan.
    pub steps: BTreeMap<u32, StepRecord>,
}

/// What is recorded of one step.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepRecord {
    /// When it was sent, or was about to be.
    pub sent_at: Micros,
    /// How it ended, if that is known.
    pub outcome: Option<StepOutcome>,
}

/// How a step ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepOutcome {
    /// The outcome as [`outcome_code`] has it.
    pub code: u8,
    /// The fields of its result that the plan asks for.
    pub fields: BTreeMap<String, String>,
    /// Its response, if that may be the response of the workflow.
    pub response: Option<StoredResponse>,
}

/// A step's response, as the client would get it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The header lines.
    pub header_lines: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
}

/// The number of an outcome in the files. These never change their meaning.
pub fn outcome_code(outcome: StepStatus) -> u8 {
    match outcome {
        StepStatus::Finished => 0,
        StepStatus::NeverRan => 1,
        StepStatus::MayHaveRun => 2,
    }
}

fn outcome_from_code(code: u8) -> StepStatus {
    match code {
        0 => StepStatus::Finished,
        1 => StepStatus::NeverRan,
        // Also what a later version wrote: the cautious reading.
        _ => StepStatus::MayHaveRun,
    }
}

/// Whether a step that was sent, and whose outcome is not known, may be sent once more. An idempotency key
/// helps only where the repetition is recognized by whoever gets it: after a crash nobody here knows which
/// rack or zone got the first.
fn may_send_again(safety: RetrySafety, sent_at: Micros, now: Micros) -> bool {
    match safety {
        RetrySafety::Idempotent => true,
        RetrySafety::Keyed { scope: IdempotencyScope::Everywhere, window } => now < sent_at + window,
        RetrySafety::Keyed { .. } | RetrySafety::AtMostOnce => false,
    }
}

/// What a workflow that is resumed has to know of its steps: those that ended, and those that may have run.
pub fn recorded_steps(record: &WorkflowRecord, plan: &Plan, now: Micros) -> RecordedSteps {
    let mut recorded = RecordedSteps::new();
    for (place, step) in &record.steps {
        let Some(planned) = plan.steps.get(*place as usize) else { continue };
        let known = match &step.outcome {
            // Another attempt is welcome to run it, unless the steps before it have been compensated.
            Some(end) if outcome_from_code(end.code) == StepStatus::NeverRan && !record.failed => continue,
            Some(end) => (outcome_from_code(end.code), end.fields.clone()),
            None if may_send_again(planned.effect, step.sent_at, now) => continue,
            None => (StepStatus::MayHaveRun, BTreeMap::new()),
        };
        recorded.insert(StepId(*place as usize), known);
    }
    recorded
}

#[cfg(test)]
mod tests;
