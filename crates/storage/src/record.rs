//! Workflow records, and how a workflow is resumed from its record after its router was killed.
//!
//! The order of the fields of each type is the file format. The type of the event, which earlier versions did
//! not store, follows the other fields of a record, so that either version reads the records of the other.
use crate::Micros;
use applepond::interface::{IdempotencyScope, RetrySafety};
use applepond_workflow::run::RecordedSteps;
use applepond_workflow::{Plan, StepId, StepStatus};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The maximum size of a recorded step response, and of recorded event data, in bytes. A workflow whose last
/// step responded with more cannot repeat its response after the router was killed.
pub const MAX_STORED_RESPONSE_BYTES: usize = 64 * 1024;

/// The record of a workflow.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkflowRecord {
    /// The name of the plan.
    pub workflow: String,
    /// The digest of the plan. Workflows recorded under another version of their plan are not resumed.
    pub plan_digest: u64,
    /// The function named by the event, if any.
    pub function: Option<String>,
    /// The customer of the event, if any.
    pub customer: Option<String>,
    /// The header lines of the event that are passed on to its steps.
    pub header_lines: Vec<u8>,
    /// The media type of the data, if any.
    pub content_type: Option<String>,
    /// The data of the event.
    pub data: Vec<u8>,
    /// The deadline of the workflow.
    pub deadline: Micros,
    /// When the record may be removed.
    pub expires_at: Micros,
    /// Whether the workflow failed, so that its earlier steps are compensated. It must never be resumed.
    pub failed: bool,
    /// Whether the workflow has ended, including all compensations.
    pub closed: bool,
    /// The steps that were sent, by their index in the plan.
    pub steps: BTreeMap<u32, StepRecord>,
    /// The type of the event; `None` in records of versions that did not store it.
    #[serde(skip)]
    pub event_type: Option<String>,
}

/// The record of one step.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepRecord {
    /// When the step was sent, or was about to be sent.
    pub sent_at: Micros,
    /// The outcome, if it is known.
    pub outcome: Option<StepOutcome>,
}

/// The outcome of a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepOutcome {
    /// The code of the outcome, see [`outcome_code`].
    pub code: u8,
    /// The fields of the step's result that the plan uses.
    pub fields: BTreeMap<String, String>,
    /// The step's response, if it may become the response of the workflow.
    pub response: Option<StoredResponse>,
}

/// A step's response, as it would be sent to the client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The header lines.
    pub header_lines: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
}

/// The code of an outcome in the file format. Codes must not be reassigned.
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
        // Unknown codes, written by a later version, are treated conservatively.
        _ => StepStatus::MayHaveRun,
    }
}

impl WorkflowRecord {
    /// The record in the file format.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = postcard::to_stdvec(self)?;
        match &self.event_type {
            Some(event_type) => postcard::to_extend(event_type, bytes),
            None => Ok(bytes),
        }
    }

    /// Reads a record in the file format. Bytes behind the known fields belong to a later version.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (record, rest): (WorkflowRecord, &[u8]) = postcard::take_from_bytes(bytes)?;
        let event_type = if rest.is_empty() { None } else { Some(postcard::from_bytes(rest)?) };
        Ok(WorkflowRecord { event_type, ..record })
    }

    /// Whether the workflow was rejected: it has ended, and no step of it can have run.
    pub fn was_rejected(&self) -> bool {
        self.closed && !self.failed && self.steps.is_empty()
    }

    /// Whether a step on record may have run and is not idempotent. A step that the plan does not have counts
    /// as one.
    pub fn may_have_had_effect(&self, plan: &Plan) -> bool {
        self.steps.iter().any(|(index, step)| {
            let outcome = step.outcome.as_ref().map(|outcome| outcome_from_code(outcome.code));
            let effect = plan.steps.get(*index as usize).map(|planned| planned.effect);
            outcome != Some(StepStatus::NeverRan) && effect != Some(RetrySafety::Idempotent)
        })
    }
}

/// Whether a step or an undo that was sent, and whose outcome is unknown, may be sent again. An idempotency
/// key with a narrower scope than everywhere does not help: after a crash it is unknown which rack or zone
/// received the first attempt.
pub fn may_send_again(safety: RetrySafety, sent_at: Micros, now: Micros) -> bool {
    match safety {
        RetrySafety::Idempotent => true,
        RetrySafety::Keyed { scope: IdempotencyScope::Everywhere, window } => now < sent_at + window,
        RetrySafety::Keyed { .. } | RetrySafety::AtMostOnce => false,
    }
}

/// The steps that a resumed workflow must not send again: those that ended, and those that may have run.
pub fn recorded_steps(record: &WorkflowRecord, plan: &Plan, now: Micros) -> RecordedSteps {
    let mut recorded = RecordedSteps::new();
    for (index, step) in &record.steps {
        let Some(planned) = plan.steps.get(*index as usize) else { continue };
        let outcome = match &step.outcome {
            // A step that never ran may be sent again, unless the steps before it are compensated.
            Some(outcome) if outcome_from_code(outcome.code) == StepStatus::NeverRan && !record.failed => {
                continue;
            }
            Some(outcome) => (outcome_from_code(outcome.code), outcome.fields.clone()),
            None if may_send_again(planned.effect, step.sent_at, now) => continue,
            None => (StepStatus::MayHaveRun, BTreeMap::new()),
        };
        recorded.insert(StepId(*index as usize), outcome);
    }
    recorded
}

/// The steps that a resumed workflow may send again although they may have run.
pub fn steps_to_send_again<'a>(
    record: &'a WorkflowRecord,
    plan: &'a Plan,
    now: Micros,
) -> impl Iterator<Item = StepId> + 'a {
    record.steps.iter().filter_map(move |(index, step)| {
        let planned = plan.steps.get(*index as usize)?;
        let may_be_sent = step.outcome.is_none() && may_send_again(planned.effect, step.sent_at, now);
        may_be_sent.then_some(StepId(*index as usize))
    })
}

#[cfg(test)]
mod tests;
