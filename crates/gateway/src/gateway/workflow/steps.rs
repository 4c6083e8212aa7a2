//! Execution of workflow steps: carries out a run's commands, starts the request of each step and reports its
//! end to the run.
use super::step_key::step_key;
use super::{ActiveWorkflow, FinishedStep, OnStepEnd, StepEnd, StepPurpose, UnansweredWorkflow, UnsentStep};
use super::{result_field, step_outcome};
use crate::gateway::Gateway;
use crate::gateway::request::{NewRequest, RequestContent};
use crate::idempotency::FinalOutcome;
use crate::request_table::AttemptId;
use crate::resend_window::{RESEND_MARGIN, resend_until};
use applepond::interface::{FunctionId, Micros, Outcome, RequestId, RetrySafety};
use applepond_http::encode::HeaderLines;
use applepond_reactor::Transport;
use applepond_workflow::{Command, RunOutcome, StepId, StepStatus};

/// A step whose request has been started.
#[derive(Clone, Copy)]
struct StartedStep {
    /// The workflow.
    request: RequestId,
    step: StepId,
    function: FunctionId,
}

impl StartedStep {
    /// How the step ended. `resend_until` is until when it may be sent again if an attempt may have run.
    /// After that time it counts as one that may have run, even if its last request was rejected.
    fn status(now: Micros, outcome: FinalOutcome, resend_until: Option<Micros>) -> StepStatus {
        match step_outcome(outcome) {
            StepStatus::NeverRan if resend_until.is_some_and(|until| now + RESEND_MARGIN >= until) => {
                StepStatus::MayHaveRun
            }
            status => status,
        }
    }
}

impl Gateway {
    /// Executes the commands of a workflow's run in order. Then, if the workflow is done, marks its record as
    /// closed if it is stored, and otherwise drops the workflow.
    pub(in crate::gateway) fn run_commands(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        commands: Vec<Command>,
    ) {
        let has_undos = commands.iter().any(|command| matches!(command, Command::Undo { .. }));
        for command in commands {
            match command {
                Command::Begin { step, function, until } => {
                    self.begin_or_queue_step(now, request, step, function, until);
                }
                Command::Wait { step, until } => self.wait_for_step(now, transport, request, step, until),
                Command::Cancel(step) => self.cancel_step(now, transport, request, step),
                Command::End(outcome) => {
                    self.end_or_queue_workflow(now, transport, request, outcome, has_undos);
                }
                Command::Undo { step, function } => {
                    self.begin_undo(now, transport, request, step, function);
                }
            }
        }
        let workflow = self.workflows.active.get_mut(&request);
        if let Some(workflow) = workflow.filter(|workflow| workflow.is_done()) {
            workflow.stored.closed = true;
            if workflow.is_stored {
                // It stays active until the closed record is written.
                return self.mark_unwritten(now, transport, request);
            }
            self.workflows.active.remove(&request);
        }
    }

    /// Sends a step at once if it is idempotent, otherwise after it has been stored.
    fn begin_or_queue_step(
        &mut self,
        now: Micros,
        request: RequestId,
        step: StepId,
        function: String,
        deadline: Micros,
    ) {
        let workflow = self.workflows.active.get(&request);
        let purpose = StepPurpose::Run { deadline };
        let unsent = UnsentStep { request, step, function, purpose, first_sent_at: None };
        match workflow.map(|workflow| workflow.run.plan().step(step).effect) {
            Some(RetrySafety::Idempotent) | None => self.begin_step(now, unsent, deadline),
            _ => self.workflows.unsent.push(unsent),
        }
    }

    /// Has the run decide on a step again at `until`.
    fn wait_for_step(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        step: StepId,
        until: Micros,
    ) {
        let retry = move |gateway: &mut Gateway, now, transport: &mut dyn Transport| {
            let commands =
                gateway.with_run(now, request, |run, step_times| run.retry_step(now, step, step_times));
            gateway.run_commands(now, transport, request, commands);
        };
        self.schedule(now, transport, until.saturating_sub(now), Box::new(retry));
    }

    fn cancel_step(&mut self, now: Micros, transport: &mut dyn Transport, request: RequestId, step: StepId) {
        // It may still be queued for the next write.
        self.workflows.unsent.retain(|unsent| (unsent.request, unsent.step) != (request, step));
        let workflow = self.workflows.active.get_mut(&request);
        if let Some(step_request) = workflow.and_then(|workflow| workflow.in_flight.remove(&step)) {
            self.abandon_step(now, transport, step_request);
        }
    }

    /// Ends a workflow, at once or after the next write. A stored workflow that has finished is first written
    /// as closed: once its client knows that it finished, it must not be undone, even after a restart. If
    /// undos of steps that it left follow, it is closed after them; the ends of its steps, which are written
    /// now, have it finish again after a restart.
    fn end_or_queue_workflow(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        outcome: RunOutcome,
        has_undos: bool,
    ) {
        let retention = self.undo_retention(request);
        match self.workflows.active.get_mut(&request) {
            Some(workflow) if workflow.is_stored && matches!(outcome, RunOutcome::Finished(_)) => {
                if has_undos {
                    workflow.stored.expires_at = now + retention;
                }
                workflow.stored.closed = !has_undos;
                self.workflows.unanswered.push(UnansweredWorkflow { request, outcome });
            }
            _ => self.end_workflow(now, transport, request, outcome),
        }
    }

    /// Returns the request of a step, with its own key and the workflow's header fields and data.
    pub(super) fn step_request(
        &self,
        workflow: &ActiveWorkflow,
        step: StepId,
        function: String,
        time_left: Micros,
        on_end: OnStepEnd,
    ) -> NewRequest {
        let planned = workflow.run.plan().step(step);
        let events = &self.deployment.workloads[planned.workload];
        let key = step_key(&workflow.key, planned);
        let mut fields = HeaderLines::default();
        fields.field("ce-id", &key.id);
        fields.field("ce-type", &events.step_type);
        fields.append(&workflow.fields);
        let content = RequestContent {
            key,
            client_digest: workflow.client_digest,
            digest: workflow.digest,
            workload: planned.workload,
            function,
            fields,
            media_type: workflow.media_type.clone(),
            data: workflow.data.clone(),
            prefix: None,
        };
        NewRequest {
            content,
            customer: workflow.customer,
            time_left,
            is_retry: workflow.is_retry,
            priority_factor: 1.0,
            clients: Vec::new(),
            on_end: Some(on_end),
            resend_until: None,
        }
    }

    /// Starts the request of a step. The request of a step that is sent again after a restart ends before the
    /// workers may have forgotten its key.
    pub(super) fn begin_step(&mut self, now: Micros, unsent: UnsentStep, deadline: Micros) {
        let UnsentStep { request, step, function, first_sent_at, .. } = unsent;
        let priority_factor =
            self.with_run(now, request, |run, step_times| run.priority_factor(now, step_times));
        let Some(workflow) = self.workflows.active.get(&request) else { return };
        let effect = workflow.run.plan().step(step).effect;
        let resend_until = first_sent_at.and_then(|sent_at| resend_until(effect, sent_at));
        let started = StartedStep { request, step, function: FunctionId::named(&function) };
        let on_end: OnStepEnd = Box::new(move |gateway, now, transport, end| {
            gateway.step_ended(now, transport, started, &end);
        });
        let time_left = deadline.saturating_sub(now);
        let new = self.step_request(workflow, step, function, time_left, on_end);
        self.workflows.counters.steps += 1;
        let step_request = self.start_request(now, NewRequest { priority_factor, resend_until, ..new });
        if let Some(workflow) = self.workflows.active.get_mut(&request) {
            workflow.sent_steps += 1;
            workflow.in_flight.insert(step, step_request);
        }
    }

    /// Handles the end of a step's request: the run decides what to do next.
    fn step_ended(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        started: StartedStep,
        end: &StepEnd,
    ) {
        let StartedStep { request, step, function, .. } = started;
        let is_finished = end.answer.outcome == FinalOutcome::Finished;
        if is_finished {
            self.workflows.times.record(now, function, end.duration, end.was_loaded);
        }
        let Some(workflow) = self.workflows.active.get_mut(&request) else { return };
        workflow.in_flight.remove(&step);
        let outcome = StartedStep::status(now, end.answer.outcome, end.resend_until);
        if outcome == StepStatus::NeverRan && end.resend_until.is_some() {
            workflow.run.step_may_have_run(step);
        }
        workflow.retry_after = end.answer.retry_after;
        if is_finished {
            workflow.last_finished = Some(FinishedStep { step, answer: end.answer.clone() });
        }
        // The record of a step that may have run before still says so.
        if outcome != StepStatus::NeverRan || end.resend_until.is_none() {
            self.record_step_end(now, transport, request, step, outcome, &end.answer);
        }
        let retry_after = end.answer.retry_after;
        let answer = end.answer.clone();
        let read_field = move |name: &str| result_field(&answer.body, name);
        let commands = self.with_run(now, request, |run, step_times| {
            run.step_ended(now, step, outcome, retry_after, &read_field, step_times)
        });
        self.run_commands(now, transport, request, commands);
    }

    /// Cancels the request of a step whose result is no longer needed.
    fn abandon_step(&mut self, now: Micros, transport: &mut dyn Transport, request: RequestId) {
        let Some(state) = self.requests.get_mut(request) else { return };
        state.ended = true;
        state.data.on_end = None;
        let attempts = state.attempts.len();
        if state.in_flight() == 0 {
            self.requests.remove_if_done(request);
            self.control.advance_to(now);
            self.control.client_disconnected(&mut self.actions, request);
            return;
        }
        for index in 0..attempts {
            self.end_attempt(now, transport, AttemptId { request, index }, Outcome::Cancelled);
        }
    }
}
