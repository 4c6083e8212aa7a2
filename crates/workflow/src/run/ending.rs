//! The end of a run: its outcome, the steps that it cancels, and the undos of those that may have run.
use super::{Command, FailureReason, Run, RunOutcome, StepState, StepStatus};
use crate::plan::StepId;
use applepond::interface::RetrySafety;

impl Run {
    /// Finishes the run with the result of the step that finished last. The step that led here may be an
    /// optional one that was skipped or failed.
    pub(super) fn finish(&mut self, step: StepId, commands: &mut Vec<Command>) {
        let Some(step) = self.last_finished else {
            return self.fail(step, FailureReason::StepFailed, commands);
        };
        if self.outcome.is_none() {
            self.cancel_open_steps(commands);
            self.outcome = Some(RunOutcome::Finished(step));
            commands.push(Command::End(RunOutcome::Finished(step)));
            self.count_earlier_attempts();
            commands.extend(self.undos(|step| self.was_left(step)));
        }
    }

    /// Whether the run did not go on from the result of a step: another arm of its fork was enough, or it
    /// failed and the plan went another way. Of an optional step both are the plan's way.
    fn was_left(&self, step: StepId) -> bool {
        self.superseded.contains(&step) || !self.has_finished(step) && !self.plan.step(step).optional
    }

    /// Cancels the steps in flight. They may have run.
    fn cancel_open_steps(&mut self, commands: &mut Vec<Command>) {
        for (index, state) in self.states.iter_mut().enumerate() {
            match state {
                StepState::InFlight => {
                    commands.push(Command::Cancel(StepId(index)));
                    *state = StepState::Ended(StepStatus::MayHaveRun);
                }
                StepState::AwaitingRetry => *state = StepState::Ended(StepStatus::NeverRan),
                _ => {}
            }
        }
    }

    /// Ends the run at a step: rejected if no step can have had a lasting effect, and otherwise failed.
    pub(super) fn fail(&mut self, step: StepId, reason: FailureReason, commands: &mut Vec<Command>) {
        if self.outcome.is_some() {
            return;
        }
        self.cancel_open_steps(commands);
        self.replay_unreached_steps();
        let has_lasting_effect = |step: &StepId| {
            self.may_have_run(*step) && self.plan.step(*step).effect != RetrySafety::Idempotent
        };
        let outcome = if self.started.iter().any(has_lasting_effect) {
            RunOutcome::Failed(step, reason)
        } else {
            RunOutcome::Rejected(step, reason)
        };
        self.outcome = Some(outcome);
        commands.push(Command::End(outcome));
        commands.extend(self.undos(|_| true));
    }

    /// Takes over the steps of an interrupted run that this one has not reached again, so that their effects
    /// count and are undone.
    fn replay_unreached_steps(&mut self) {
        let recorded: Vec<StepId> = self.recorded.keys().copied().collect();
        for step in recorded {
            self.take_over_recorded(step);
        }
        self.count_earlier_attempts();
    }

    /// Counts the steps as started that were not started again, though an earlier attempt of them may have
    /// run.
    fn count_earlier_attempts(&mut self) {
        for step in &self.may_have_run_before {
            if !self.started.contains(step) {
                self.started.push(*step);
            }
        }
    }

    /// Takes over the recorded end of a step that is not started again. Returns whether it is on record.
    pub(super) fn take_over_recorded(&mut self, step: StepId) -> bool {
        let Some((status, fields)) = self.recorded.remove(&step) else { return false };
        self.states[step.0] = StepState::Ended(status);
        self.started.push(step);
        self.results.extend(fields.into_iter().map(|(name, value)| ((step, name), value)));
        true
    }

    /// Whether a step may have had an effect.
    fn may_have_run(&self, step: StepId) -> bool {
        self.may_have_run_before.contains(&step)
            || matches!(self.states[step.0], StepState::Ended(StepStatus::Finished | StepStatus::MayHaveRun))
    }

    /// Undos of those of these steps that may have run, last step first. An undo without a known function
    /// cannot be run.
    fn undos(&self, is_undone: impl Fn(StepId) -> bool) -> Vec<Command> {
        let undo = |step: &StepId| {
            let step = self.plan.step(*step).undo?;
            self.function(step).map(|function| Command::Undo { step, function })
        };
        let steps = self.started.iter().rev();
        steps.filter(|step| self.may_have_run(**step) && is_undone(**step)).filter_map(undo).collect()
    }
}
