//! Undos: requests that take back the effect of a step when its workflow has failed. An undo is an effect
//! like that of any other step, so a keyed one that may have run is repeated only while its workers recognise
//! the repeat. One that can no longer be repeated is given up, which the log and the state page tell.
use super::{ActiveWorkflow, OnStepEnd, StepEnd, StepPurpose, UnsentStep, step_outcome};
use crate::gateway::Gateway;
use crate::gateway::request::NewRequest;
use crate::idempotency::FinalOutcome;
use crate::resend_window::resend_until;
use applepond::interface::{IdempotencyScope, Micros, RequestId, RetrySafety};
use applepond_reactor::Transport;
use applepond_storage::record::{may_send_again, outcome_code};
use applepond_workflow::{StepId, StepStatus};

/// Minimum delay before a failed undo is retried.
const UNDO_RETRY_DELAY: Micros = 1_000_000;
/// Time during which an undo is retried; longer than a rollout takes.
const UNDO_PERIOD: Micros = 300_000_000;

/// The undo of one step.
#[derive(Clone)]
pub(super) struct Undo {
    /// The workflow.
    request: RequestId,
    /// The step of the plan that performs the undo.
    step: StepId,
    function: String,
    /// When it is no longer retried.
    give_up_at: Micros,
}

impl Undo {
    /// The undo that a step is needed for, until `give_up_at`.
    pub(super) fn new(step: UnsentStep, give_up_at: Micros) -> Self {
        Undo { request: step.request, step: step.step, function: step.function, give_up_at }
    }
}

/// What the record of a workflow says of an undo.
enum RecordedUndo {
    /// It has not been sent, or has not run.
    MayBeSent,
    /// It finished, or was given up.
    Ended,
    /// It may have run, and its workers do not recognise a repeat.
    MayNotBeRepeated,
}

impl ActiveWorkflow {
    fn recorded_undo(&self, now: Micros, step: StepId) -> RecordedUndo {
        let Some(recorded) = self.stored.steps.get(&(step.0 as u32)) else { return RecordedUndo::MayBeSent };
        let effect = self.run.plan().step(step).effect;
        let is = |status| recorded.outcome.as_ref().is_some_and(|end| end.code == outcome_code(status));
        if is(StepStatus::Finished) || is(StepStatus::MayHaveRun) && effect != RetrySafety::Idempotent {
            RecordedUndo::Ended
        } else if recorded.outcome.is_some() || may_send_again(effect, recorded.sent_at, now) {
            RecordedUndo::MayBeSent
        } else {
            RecordedUndo::MayNotBeRepeated
        }
    }

    /// Whether an undo whose request has ended without success may be sent again at this time. `resend_until`
    /// is until when its workers recognise a repeat, if it may have run and is keyed. Only a key that all
    /// workers recognise helps: a new request may go to another zone or rack.
    fn may_repeat_undo(&self, step: StepId, at: Micros, resend_until: Option<Micros>) -> bool {
        match (self.run.plan().step(step).effect, resend_until) {
            (RetrySafety::Idempotent, _) | (RetrySafety::Keyed { .. }, None) => true,
            (RetrySafety::Keyed { scope: IdempotencyScope::Everywhere, .. }, Some(until)) => at < until,
            (RetrySafety::Keyed { .. } | RetrySafety::AtMostOnce, _) => false,
        }
    }
}

impl Gateway {
    /// How long the record of a workflow is kept whose steps are now undone. It must outlast the undos.
    pub(super) fn undo_retention(&self, request: RequestId) -> Micros {
        let workflow = self.workflows.active.get(&request);
        UNDO_PERIOD + workflow.map_or(0, |workflow| self.record_retention(workflow.run.plan()))
    }

    /// Starts to undo a step, unless its record shows that the undo has ended already.
    pub(super) fn begin_undo(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        step: StepId,
        function: String,
    ) {
        let Some(workflow) = self.workflows.active.get_mut(&request) else { return };
        match workflow.recorded_undo(now, step) {
            RecordedUndo::MayBeSent => {
                workflow.pending_undos += 1;
                self.try_undo(now, Undo { request, step, function, give_up_at: now + UNDO_PERIOD });
            }
            RecordedUndo::Ended => {}
            RecordedUndo::MayNotBeRepeated => {
                self.record_given_up(now, transport, request, step, StepStatus::MayHaveRun);
            }
        }
    }

    /// Sends an undo at once if it is idempotent, otherwise after it has been stored.
    fn try_undo(&mut self, now: Micros, undo: Undo) {
        let Some(workflow) = self.workflows.active.get(&undo.request) else { return };
        if workflow.run.plan().step(undo.step).effect == RetrySafety::Idempotent {
            return self.send_undo(now, undo, None);
        }
        let Undo { request, step, function, give_up_at } = undo;
        let purpose = StepPurpose::Undo { give_up_at };
        self.workflows.unsent.push(UnsentStep { request, step, function, purpose, first_sent_at: None });
    }

    /// Starts the request of an undo. `first_sent_at` is when it was first sent, if it may have run.
    pub(super) fn send_undo(&mut self, now: Micros, undo: Undo, first_sent_at: Option<Micros>) {
        let Some(workflow) = self.workflows.active.get(&undo.request) else { return };
        let planned = workflow.run.plan().step(undo.step);
        let time_left = self.deployment.workloads[planned.workload].deadline;
        let resend_until = first_sent_at.and_then(|sent_at| resend_until(planned.effect, sent_at));
        let (step, function) = (undo.step, undo.function.clone());
        let on_end: OnStepEnd = Box::new(move |gateway, now, transport, end| {
            gateway.undo_ended(now, transport, undo, &end);
        });
        self.workflows.counters.undos += 1;
        let new = self.step_request(workflow, step, function, time_left, on_end);
        self.start_request(now, NewRequest { resend_until, ..new });
    }

    /// Handles the end of an undo's request; an undo that did not finish is retried until it is given up.
    fn undo_ended(&mut self, now: Micros, transport: &mut dyn Transport, undo: Undo, end: &StepEnd) {
        let Undo { request, step, give_up_at, .. } = undo;
        let Some(workflow) = self.workflows.active.get_mut(&request) else { return };
        if end.answer.outcome == FinalOutcome::Finished {
            workflow.pending_undos -= 1;
            self.record_step_end(now, transport, request, step, StepStatus::Finished, &end.answer);
            return self.run_commands(now, transport, request, Vec::new());
        }
        let may_have_run = end.resend_until.is_some();
        let delay = end.answer.retry_after.unwrap_or(UNDO_RETRY_DELAY).max(UNDO_RETRY_DELAY);
        if now < give_up_at && workflow.may_repeat_undo(step, now + delay, end.resend_until) {
            let is_stored = workflow.run.plan().step(step).effect != RetrySafety::Idempotent;
            if is_stored && !may_have_run {
                // The window of its next attempt begins anew, as this one has not run.
                self.record_step_status(now, transport, request, step, StepStatus::NeverRan);
            }
            return self.retry_undo_later(now, transport, undo, delay);
        }
        let status = if may_have_run { StepStatus::MayHaveRun } else { step_outcome(end.answer.outcome) };
        self.give_up_undo(now, transport, request, step, status);
    }

    /// Handles an undo that could not be stored: it is tried again, unless it is given up.
    pub(super) fn undo_not_stored(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        undo: Undo,
        delay: Micros,
    ) {
        if now < undo.give_up_at {
            return self.retry_undo_later(now, transport, undo, delay);
        }
        self.give_up_undo(now, transport, undo.request, undo.step, StepStatus::NeverRan);
    }

    /// Tries an undo again after this delay.
    fn retry_undo_later(&mut self, now: Micros, transport: &mut dyn Transport, undo: Undo, delay: Micros) {
        let retry = move |gateway: &mut Gateway, now, _: &mut dyn Transport| gateway.try_undo(now, undo);
        self.schedule(now, transport, delay, Box::new(retry));
    }

    /// Ends a pending undo that did not finish.
    fn give_up_undo(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        step: StepId,
        status: StepStatus,
    ) {
        if let Some(workflow) = self.workflows.active.get_mut(&request) {
            workflow.pending_undos -= 1;
        }
        self.record_given_up(now, transport, request, step, status);
        self.run_commands(now, transport, request, Vec::new());
    }

    /// Records, counts and logs an undo that was not seen to finish and is not tried again.
    fn record_given_up(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        step: StepId,
        status: StepStatus,
    ) {
        self.record_step_status(now, transport, request, step, status);
        self.workflows.counters.undos_given_up += 1;
        let Some(workflow) = self.workflows.active.get(&request) else { return };
        let (id, source) = (&workflow.key.id, &workflow.key.source);
        let name = &workflow.run.plan().step(step).name;
        tracing::error!(%id, %source, step = %name, reason = "undo-given-up", "undo of a step given up");
    }
}
