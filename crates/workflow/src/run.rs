//! State machine of one workflow run: it is told how steps ended and returns the next commands.
//!
//! An interrupted run is replayed from its first step with the recorded steps: a step whose end is on
//! record is not sent again, but ends at once with the recorded status.
use crate::plan::{Branch, Function, Plan, Step, StepId, Target};
use applepond::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

mod ending;

/// Time that the response takes to the client, in µs; a step that ends later is of no use.
const RESPONSE_TIME_US: Micros = 5_000;
/// Increase of a run's priority factor over its whole duration. A run that is rejected at its fourth step
/// loses three finished ones, while a new run can be rejected at no cost.
const PRIORITY_GAIN: f64 = 3.0;
/// Minimum delay of the retry of a rejected step, in µs.
const MIN_RETRY_DELAY_US: Micros = 30_000;
/// Delay of the retry of a rejected step, in µs, where the rejection gave none.
const DEFAULT_RETRY_DELAY_US: Micros = 100_000;
/// The delay is at most the spare time divided by this: the delay given in a rejection is meant for
/// clients, which have no finished steps to lose.
const RETRY_DELAY_DIVISOR: u64 = 4;

/// How a step ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepStatus {
    /// It succeeded and has a result.
    Finished,
    /// It was rejected and had no effect, unless an earlier attempt had, see [`Run::step_may_have_run`].
    NeverRan,
    /// It failed and may have had an effect.
    MayHaveRun,
}

/// Why a workflow run did not finish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The remaining steps cannot finish before the deadline.
    NoTime,
    /// The result that should name a step's function does not contain it.
    NoFunction,
    /// A step failed, and the plan has no branch for that.
    StepFailed,
    /// A step could not be recorded, and was not sent for that reason.
    NotWritten,
}

/// How a workflow run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The result of this step is the response. Steps that have an undo and from whose results the run did
    /// not go on are undone if they may have run.
    Finished(StepId),
    /// Rejected at this step: no step can have had a lasting effect, so a retry is safe.
    Rejected(StepId, FailureReason),
    /// Failed at this step: a step may have had a lasting effect. Steps that have an undo are undone.
    Failed(StepId, FailureReason),
}

/// A command to the caller. Commands are to be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send the request of a step.
    Begin {
        /// The step.
        step: StepId,
        /// Name of its function.
        function: String,
        /// Deadline of its request.
        until: Micros,
    },
    /// The step was rejected and there is time for a retry: call `retry_step` at this time.
    Wait {
        /// The step.
        step: StepId,
        /// Time at which to call `retry_step`.
        until: Micros,
    },
    /// Cancel the step's request.
    Cancel(StepId),
    /// The run has ended: respond to the client.
    End(RunOutcome),
    /// After the end, also of a run that finished: run this undo, with retries, until it has finished.
    Undo {
        /// The step that undoes another one.
        step: StepId,
        /// Name of its function.
        function: String,
    },
}

/// State of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StepState {
    NotBegun,
    /// The request has been sent.
    InFlight,
    /// Rejected, with a retry scheduled.
    AwaitingRetry,
    Ended(StepStatus),
    /// Optional and skipped because time was short, or no longer needed.
    Skipped,
}

/// A fork whose join has not been reached yet.
struct Fork {
    arms: Vec<StepId>,
    join: Option<StepId>,
    /// Whether the first arm that finishes is enough.
    first: bool,
}

/// What is passed on between the functions that handle one event.
#[derive(Clone, Copy)]
struct Context<'a> {
    now: Micros,
    step_times: StepTimes<'a>,
}

/// Estimates the time of a step in µs, given the step, the name of its function, and the time in µs before
/// the step during which a load could already proceed.
pub type StepTimes<'a> = &'a dyn Fn(&Step, &str, Micros) -> Micros;

/// The end of a step.
struct StepEnd<'a> {
    status: StepStatus,
    /// Reads a field of the result.
    read_field: &'a dyn Fn(&str) -> Option<String>,
    /// Why the run fails, if it fails because of this step.
    reason: FailureReason,
}

impl StepEnd<'_> {
    /// The end of a step that was not sent.
    fn never_ran(reason: FailureReason) -> Self {
        StepEnd { status: StepStatus::NeverRan, read_field: &|_| None, reason }
    }
}

/// Recorded steps: how each ended, and the fields of its result that the plan uses.
pub type RecordedSteps = BTreeMap<StepId, (StepStatus, BTreeMap<String, String>)>;

/// One run of a workflow.
pub struct Run {
    plan: Arc<Plan>,
    /// The function named by the event.
    event_function: Option<String>,
    started_at: Micros,
    deadline: Micros,
    /// States of the steps, by id.
    states: Vec<StepState>,
    /// Steps in the order in which they were started.
    started: Vec<StepId>,
    /// Steps of which an earlier attempt may have had an effect, though the last one had none.
    may_have_run_before: BTreeSet<StepId>,
    /// Arms of forks of which another arm was enough. The run does not go on from their results.
    superseded: BTreeSet<StepId>,
    /// Fields of results that the plan uses, by step and name.
    results: BTreeMap<(StepId, String), String>,
    forks: Vec<Fork>,
    /// The step that finished last.
    last_finished: Option<StepId>,
    /// Recorded steps that have not been replayed yet.
    recorded: RecordedSteps,
    outcome: Option<RunOutcome>,
}

impl Run {
    /// A run that has not been started. `event_function` is the function named by the event; `recorded` are
    /// the steps of an interrupted run that is resumed.
    pub fn new(
        now: Micros,
        plan: Arc<Plan>,
        event_function: Option<String>,
        deadline: Micros,
        recorded: RecordedSteps,
    ) -> Self {
        Run {
            states: vec![StepState::NotBegun; plan.steps.len()],
            plan,
            event_function,
            started_at: now,
            deadline,
            started: Vec::new(),
            may_have_run_before: BTreeSet::new(),
            superseded: BTreeSet::new(),
            results: BTreeMap::new(),
            forks: Vec::new(),
            last_finished: None,
            recorded,
            outcome: None,
        }
    }

    /// The plan of the run.
    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    /// The deadline of the run.
    pub fn deadline(&self) -> Micros {
        self.deadline
    }

    /// How the run ended; `None` while it is active.
    pub fn outcome(&self) -> Option<RunOutcome> {
        self.outcome
    }

    /// Fields of a step's result that the plan uses: in conditions and for the functions of other steps.
    pub fn requested_fields(&self, step: StepId) -> Vec<&str> {
        let tests = self.plan.step(step).branches().filter_map(|branch| branch.test.as_ref());
        let functions = self.plan.steps.iter().filter_map(|step_of_plan| match &step_of_plan.function {
            Function::From(id, field) if *id == step => Some(field.as_str()),
            _ => None,
        });
        tests.map(|test| test.field.as_str()).chain(functions).collect()
    }

    /// The name of a step's function, once it is known.
    fn function(&self, step: StepId) -> Option<String> {
        match &self.plan.step(step).function {
            Function::Named(name) => Some(name.clone()),
            Function::OfEvent => self.event_function.clone(),
            Function::From(id, field) => self.results.get(&(*id, field.clone())).cloned(),
        }
    }

    /// Estimated time of a step in µs; the plan's estimate while its function is not known yet.
    fn step_time(&self, id: StepId, step_times: StepTimes<'_>, ahead: Micros) -> Micros {
        let step = self.plan.step(id);
        self.function(id).map_or(step.at_least, |function| step_times(step, &function, ahead))
    }

    /// Estimated time in µs on the shortest path from the end of this step to the end of the run, if loads
    /// may begin `ahead` µs before that.
    fn remaining_time(&self, step: StepId, step_times: StepTimes<'_>, ahead: Micros) -> Micros {
        let time = |id: StepId| self.step_time(id, step_times, ahead);
        self.plan.shortest_time_after(step, &time)
    }

    /// Priority relative to a new run: 1 at first, growing with the fraction of the run's total time spent.
    pub fn priority_factor(&self, now: Micros, step_times: StepTimes<'_>) -> f64 {
        let Some(step) = self.started.last() else { return 1.0 };
        let own = self.step_time(*step, step_times, 0);
        let spent = now.saturating_sub(self.started_at) as f64;
        1.0 + PRIORITY_GAIN * spent
            / (spent + (own + self.remaining_time(*step, step_times, own)) as f64).max(1.0)
    }

    /// Starts the run.
    pub fn begin(&mut self, now: Micros, step_times: StepTimes<'_>) -> Vec<Command> {
        let mut commands = Vec::new();
        self.start_step(Context { now, step_times }, StepId(0), &mut commands);
        commands
    }

    /// Handles the end of a step. `read_field` reads a field of its result; `retry_after` is the delay in
    /// µs given by a rejection.
    pub fn step_ended(
        &mut self,
        now: Micros,
        step: StepId,
        status: StepStatus,
        retry_after: Option<Micros>,
        read_field: &dyn Fn(&str) -> Option<String>,
        step_times: StepTimes<'_>,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.states[step.0] != StepState::InFlight {
            return commands;
        }
        let context = Context { now, step_times };
        if status == StepStatus::NeverRan
            && let Some(until) = self.retry_at(context, step, retry_after)
        {
            self.states[step.0] = StepState::AwaitingRetry;
            return vec![Command::Wait { step, until }];
        }
        self.end_step(
            context,
            step,
            StepEnd { status, read_field, reason: FailureReason::StepFailed },
            &mut commands,
        );
        commands
    }

    /// Notes that a step may have had an effect, whatever becomes of its later attempts: if the run fails, it
    /// is undone. To be called before the end of an attempt is reported that had none, and for steps of an
    /// interrupted run that may have run and may be sent again.
    pub fn step_may_have_run(&mut self, step: StepId) {
        self.may_have_run_before.insert(step);
    }

    /// Handles a step that could not be recorded before it was sent. It is not retried, as a full disk is
    /// not expected to recover in time.
    pub fn store_failed(&mut self, now: Micros, step: StepId, step_times: StepTimes<'_>) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.states[step.0] == StepState::InFlight {
            self.end_step(
                Context { now, step_times },
                step,
                StepEnd::never_ran(FailureReason::NotWritten),
                &mut commands,
            );
        }
        commands
    }

    /// Time at which to retry a rejected step; `None` if the plan has another branch or time is too short.
    fn retry_at(&self, context: Context<'_>, step: StepId, retry_after: Option<Micros>) -> Option<Micros> {
        let Context { now, step_times } = context;
        let planned = self.plan.step(step);
        // A run without a finished step is rejected as a whole, as its client knows best when to retry.
        let any_finished = self.started.iter().any(|step| self.has_finished(*step));
        if planned.optional || !planned.or_else.is_empty() || !any_finished {
            return None;
        }
        let own = self.step_time(step, step_times, 0);
        let until =
            self.deadline.saturating_sub(RESPONSE_TIME_US + self.remaining_time(step, step_times, own));
        let spare = until.checked_sub(now + own)?;
        let longest = (spare / RETRY_DELAY_DIVISOR).max(MIN_RETRY_DELAY_US);
        let wait = retry_after.unwrap_or(DEFAULT_RETRY_DELAY_US).clamp(MIN_RETRY_DELAY_US, longest);
        (wait <= spare).then_some(now + wait)
    }

    /// Handles the time given in `Command::Wait`.
    pub fn retry_step(&mut self, now: Micros, step: StepId, step_times: StepTimes<'_>) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.states[step.0] == StepState::AwaitingRetry {
            self.states[step.0] = StepState::NotBegun;
            self.start_step(Context { now, step_times }, step, &mut commands);
        }
        commands
    }

    /// Fails the run because its deadline has passed; requests in flight are cancelled.
    pub fn expire(&mut self) -> Vec<Command> {
        let mut commands = Vec::new();
        let step = self.started.last().copied().unwrap_or(StepId(0));
        self.fail(step, FailureReason::NoTime, &mut commands);
        commands
    }

    /// Starts a step, unless its end is on record, its function is not known, or there is not enough time.
    fn start_step(&mut self, context: Context<'_>, step: StepId, commands: &mut Vec<Command>) {
        if self.outcome.is_some() || self.states[step.0] != StepState::NotBegun {
            return;
        }
        if let Some((status, fields)) = self.recorded.remove(&step) {
            self.started.push(step);
            let field = |name: &str| fields.get(name).cloned();
            return self.end_step(
                context,
                step,
                StepEnd { status, read_field: &field, reason: FailureReason::StepFailed },
                commands,
            );
        }
        let Some(function) = self.function(step) else {
            return self.end_step(context, step, StepEnd::never_ran(FailureReason::NoFunction), commands);
        };
        let own = self.step_time(step, context.step_times, 0);
        let remaining = self.remaining_time(step, context.step_times, own);
        let until = self.deadline.saturating_sub(RESPONSE_TIME_US + remaining);
        if context.now + own > until {
            if self.plan.step(step).optional {
                self.states[step.0] = StepState::Skipped;
                return self.continue_after(context, step, commands);
            }
            return self.end_step(context, step, StepEnd::never_ran(FailureReason::NoTime), commands);
        }
        self.states[step.0] = StepState::InFlight;
        if !self.started.contains(&step) {
            self.started.push(step);
        }
        commands.push(Command::Begin { step, function, until });
    }

    /// Records the end of a step and continues from it.
    fn end_step(
        &mut self,
        context: Context<'_>,
        step: StepId,
        end: StepEnd<'_>,
        commands: &mut Vec<Command>,
    ) {
        self.states[step.0] = StepState::Ended(end.status);
        if end.status == StepStatus::Finished {
            self.last_finished = Some(step);
            let names: Vec<String> = self.requested_fields(step).into_iter().map(str::to_owned).collect();
            for name in names {
                if let Some(value) = (end.read_field)(&name) {
                    self.results.insert((step, name), value);
                }
            }
        }
        if end.status == StepStatus::Finished || self.plan.step(step).optional {
            return self.continue_after(context, step, commands);
        }
        if let Some(fork) = self.fork_of(step) {
            return self.arm_failed(fork, step, end.reason, commands);
        }
        let plan = self.plan.clone();
        match self.matching_target(step, &plan.step(step).or_else) {
            Some(target) => self.go_to(context, step, target, commands),
            None => self.fail(step, end.reason, commands),
        }
    }

    /// Target of the first branch whose condition holds.
    fn matching_target<'a>(&self, step: StepId, branches: &'a [Branch]) -> Option<&'a Target> {
        let holds = |branch: &&Branch| {
            let test = branch.test.as_ref();
            test.is_none_or(|test| self.results.get(&(step, test.field.clone())) == Some(&test.is))
        };
        branches.iter().find(holds).map(|branch| &branch.target)
    }

    /// Continues after a step that has finished, or that is optional.
    fn continue_after(&mut self, context: Context<'_>, step: StepId, commands: &mut Vec<Command>) {
        if self.outcome.is_some() {
            return;
        }
        if let Some(fork) = self.fork_of(step) {
            return self.arm_ended(context, fork, step, commands);
        }
        let plan = self.plan.clone();
        match self.matching_target(step, &plan.step(step).next) {
            Some(target) => self.go_to(context, step, target, commands),
            None => self.finish(step, commands),
        }
    }

    /// Continues with a target.
    fn go_to(&mut self, context: Context<'_>, from: StepId, target: &Target, commands: &mut Vec<Command>) {
        match target {
            Target::End => self.finish(from, commands),
            Target::One(to) => self.start_step(context, *to, commands),
            Target::All(arms, join) | Target::First(arms, join) => {
                let first = matches!(target, Target::First(..));
                self.forks.push(Fork { arms: arms.clone(), join: *join, first });
                for arm in arms {
                    self.start_step(context, *arm, commands);
                }
            }
        }
    }

    /// Index of the active fork of which a step is an arm.
    fn fork_of(&self, step: StepId) -> Option<usize> {
        self.forks.iter().position(|fork| fork.arms.contains(&step))
    }

    fn has_finished(&self, step: StepId) -> bool {
        self.states[step.0] == StepState::Ended(StepStatus::Finished)
    }

    /// Whether a step may still end.
    fn is_open(&self, step: StepId) -> bool {
        matches!(self.states[step.0], StepState::InFlight | StepState::NotBegun | StepState::AwaitingRetry)
    }

    /// Handles an arm that has finished, was skipped, or failed although optional.
    fn arm_ended(&mut self, context: Context<'_>, index: usize, step: StepId, commands: &mut Vec<Command>) {
        let fork = &self.forks[index];
        let open: Vec<StepId> = fork.arms.iter().filter(|arm| self.is_open(**arm)).copied().collect();
        // A `First` fork is not won by an arm that was skipped or failed: it waits for the remaining arms.
        if !(open.is_empty() || fork.first && self.has_finished(step)) {
            return;
        }
        if fork.first && !fork.arms.iter().any(|arm| self.has_finished(*arm)) {
            return self.fail(step, FailureReason::StepFailed, commands);
        }
        let (join, arms) = (fork.join, fork.arms.clone());
        if fork.first {
            self.superseded.extend(arms.into_iter().filter(|arm| *arm != step));
        }
        self.forks.remove(index);
        for arm in open {
            self.leave_arm(arm, commands);
        }
        match join {
            Some(join) => self.start_step(context, join, commands),
            None => self.finish(step, commands),
        }
    }

    /// Ends an arm that is no longer needed. It may have run if it is in flight or on record.
    fn leave_arm(&mut self, arm: StepId, commands: &mut Vec<Command>) {
        if self.states[arm.0] == StepState::InFlight {
            commands.push(Command::Cancel(arm));
            self.states[arm.0] = StepState::Ended(StepStatus::MayHaveRun);
        } else if !self.take_over_recorded(arm) {
            self.states[arm.0] = StepState::Skipped;
        }
    }

    /// Handles the failure of a required arm: an `All` fork fails, a `First` fork only with its last arm.
    fn arm_failed(&mut self, index: usize, step: StepId, reason: FailureReason, commands: &mut Vec<Command>) {
        let fork = &self.forks[index];
        if fork.first && fork.arms.iter().any(|arm| self.is_open(*arm)) {
            return;
        }
        self.fail(step, reason, commands);
    }
}
