//! The end of a workflow: the only place where its answer is sent to the waiting clients, stored in the
//! idempotency table, and logged.
use super::ActiveWorkflow;
use crate::client::Answer;
use crate::gateway::Gateway;
use crate::gateway::completion::EndedRequest;
use crate::gateway::nothing_ran::NothingRan;
use crate::idempotency::FinalOutcome;
use applepond::interface::{Micros, RequestId, RetrySafety};
use applepond_http::Fault;
use applepond_reactor::Transport;
use applepond_workflow::{FailureReason, RunOutcome, StepId};
use std::rc::Rc;

/// `Retry-After` of a workflow with too little time left: by then, a function that was not loaded may be
/// loaded.
const TOO_LITTLE_TIME_RETRY_AFTER: Micros = 1_000_000;

impl ActiveWorkflow {
    /// Returns the answer of a workflow that finished with this step.
    fn finished_answer(&self, step: StepId) -> Rc<Answer> {
        match self.answer_of(step) {
            Some((mut fields, body)) => {
                fields.field("applepond-steps", &self.sent_steps.to_string());
                Rc::new(Answer::finished(fields, body))
            }
            None => {
                let detail = "it finished; its answer was too long to be kept over a kill";
                let fault = Fault::new(502, "answer-lost", detail);
                Answer::problem(FinalOutcome::Failed, &fault, Some(&self.key.id), None)
            }
        }
    }

    /// Returns the answer of a rejected workflow: no step of it can have had a lasting effect.
    fn rejected_answer(
        &self,
        step: StepId,
        cause: FailureReason,
        retry_after_allowed: bool,
        _: &NothingRan,
    ) -> Rc<Answer> {
        let (reason, detail) = self.failure(step, cause);
        let wait = self.retry_after.or(Some(TOO_LITTLE_TIME_RETRY_AFTER));
        let fault = Fault::new(503, reason, format!("{detail}; a retry does no harm"));
        let id = Some(&*self.key.id);
        Answer::problem(FinalOutcome::Rejected, &fault, id, wait.filter(|_| retry_after_allowed))
    }

    /// Returns the answer of a failed workflow: some step of it may have had a lasting effect.
    fn failed_answer(&self, step: StepId, cause: FailureReason) -> Rc<Answer> {
        let (reason, detail) = self.failure(step, cause);
        let status = if cause == FailureReason::NoTime { 504 } else { 502 };
        let fault = Fault::new(status, reason, format!("{detail}; steps before it may have run"));
        Answer::problem(FinalOutcome::Failed, &fault, Some(&self.key.id), None)
    }

    /// Returns the reason code and the detail for the answer of a workflow that did not finish.
    fn failure(&self, step: StepId, cause: FailureReason) -> (&'static str, String) {
        let name = &self.run.plan().step(step).name;
        match cause {
            FailureReason::NoTime => ("no-time", format!("step '{name}' cannot finish in the time left")),
            FailureReason::NoFunction => {
                ("no-function", format!("no result names the function of step '{name}'"))
            }
            FailureReason::NotWritten => ("no-record", format!("step '{name}' could not be written down")),
            FailureReason::StepFailed => ("step-failed", format!("step '{name}' did not finish")),
        }
    }

    /// Logs the end of the workflow.
    fn log_end(&self, now: Micros, last_step: StepId, answer: &Answer) {
        tracing::info!(
            id = %self.key.id,
            source = %self.key.source,
            workflow = %self.run.plan().name,
            reason = answer.reason,
            status = answer.status,
            step = %self.run.plan().step(last_step).name,
            steps = self.sent_steps,
            exchanges = self.clients.len(),
            duration_us = now - self.arrived_at,
            time_left_us = self.run.deadline().saturating_sub(now),
            "workflow ended"
        );
    }
}

impl Gateway {
    /// Ends a workflow with its answer. Undos of its steps may still follow.
    pub(super) fn end_workflow(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        outcome: RunOutcome,
    ) {
        let retention = self.undo_retention(request);
        let Some(workflow) = self.workflows.active.get_mut(&request) else { return };
        let nothing_ran = NothingRan::for_workflow(Some(&workflow.stored), workflow.run.plan());
        let outcome = match outcome {
            RunOutcome::Rejected(step, cause) if nothing_ran.is_none() => RunOutcome::Failed(step, cause),
            outcome => outcome,
        };
        let (last_step, answer) = match (outcome, nothing_ran) {
            (RunOutcome::Finished(step), _) => (step, workflow.finished_answer(step)),
            (RunOutcome::Rejected(step, cause), Some(nothing_ran)) => {
                // A retry starts again from the first step.
                workflow.stored.steps.clear();
                let retry_after_allowed = self.deployment.startup.attempt_policy.retry_after_allowed;
                (step, workflow.rejected_answer(step, cause, retry_after_allowed, &nothing_ran))
            }
            (RunOutcome::Rejected(step, cause), None) | (RunOutcome::Failed(step, cause), _) => {
                workflow.stored.failed = true;
                // Its record must outlast its undos.
                workflow.stored.expires_at = now + retention;
                (step, workflow.failed_answer(step, cause))
            }
        };
        self.workflows.counters.count_end(outcome);
        let is_finished = matches!(outcome, RunOutcome::Finished(_));
        let did_work = workflow.last_finished.is_some() || workflow.is_stored;
        self.workflows.run_limiter.run_ended(now, is_finished, did_work && !is_finished);
        workflow.log_end(now, last_step, &answer);
        workflow.is_answered = true;
        let clients = std::mem::take(&mut workflow.clients);
        let ended = EndedRequest {
            request,
            key: workflow.key.clone(),
            // Regardless of the failed step's retry safety: earlier steps may have run, so the answer of a
            // failed workflow is replayed instead of running it again.
            retry_safety: RetrySafety::AtMostOnce,
            resend_until: None,
        };
        self.record_end(now, &ended, &answer);
        self.answer_clients(now, transport, clients, &answer);
    }
}
