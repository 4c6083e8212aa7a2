//! One chain while it runs: given how its steps ended, it says what comes next.
//!
//! A chain that was interrupted runs again from its beginning with what is on record: a step whose end is
//! known is not begun again, it ends at once as it ended then.
use crate::plan::{Branch, Function, Plan, Step, StepId, Target};
use applepond::interface::{Micros, RetrySafety};
use std::collections::BTreeMap;
use std::sync::Arc;

/// µs that the chain's answer takes on its way back to the client; a step that ends later is in vain.
const RESPONSE_TIME: Micros = 5_000;
/// How much priority a chain gains until all of its time is spent: three finished steps are lost with the
/// fourth, and a new chain can still be rejected at no cost.
const PRIORITY_GAIN: f64 = 3.0;
/// µs after which a rejected step is retried at the earliest.
const MIN_RETRY_DELAY: Micros = 30_000;
/// µs after which a rejected step is retried where no time was named.
const DEFAULT_RETRY_DELAY: Micros = 100_000;
/// At most one part in so many of the spare time is waited: a time that was named is meant for clients, which
/// have no finished steps to lose.
const RETRY_DELAY_DIVISOR: u64 = 4;

/// How a step ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepStatus {
    /// It has a result.
    Finished,
    /// Rejected: it has had no effect.
    NeverRan,
    /// Failed: it may have had an effect.
    MayHaveRun,
}

/// Why a chain did not finish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// What is left of it cannot be done in the time left.
    NoTime,
    /// A step's function is named by a result that does not name it.
    NoFunction,
    /// A step failed, and the plan has no other way.
    StepFailed,
    /// A step could not be written to the record, and so was not sent.
    NotWritten,
}

/// How a chain ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// This step's result is the answer.
    Finished(StepId),
    /// Rejected: nothing of it can have had an effect that lasts, so that a retry does no harm.
    Rejected(StepId, FailureReason),
    /// Something may have had one; what has an undo is undone.
    Failed(StepId, FailureReason),
}

/// What to do next, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Begin the step; its request's time is up at `until`.
    Begin {
        /// The step.
        step: StepId,
        /// Name of its function.
        function: String,
        /// Deadline of its request.
        until: Micros,
    },
    /// The step was rejected and there is time for a retry: `retry_step` is to be called at this time.
    Wait {
        /// The step.
        step: StepId,
        /// When to call `retry_step`.
        until: Micros,
    },
    /// Cancel the step's request.
    Cancel(StepId),
    /// Answer the client.
    End(RunOutcome),
    /// After the end: run this undo until it has finished.
    Undo {
        /// The step that undoes another one.
        step: StepId,
        /// Name of its function.
        function: String,
    },
}

/// State of one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    NotBegun,
    /// Its request is in flight.
    InFlight,
    /// Rejected, and to be retried.
    AwaitingRetry,
    RunOutcome(StepStatus),
    /// Optional and left out, as time ran short, or not needed any more.
    Skipped,
}

/// A fork that has been entered and not joined yet.
struct Fork {
    arms: Vec<StepId>,
    join: Option<StepId>,
    /// The first arm that finishes is enough.
    first: bool,
}

/// What the calls of one event share.
#[derive(Clone, Copy)]
struct Context<'a> {
    now: Micros,
    needs: StepTimes<'a>,
}

/// µs that a step needs, given the step, its function's name, and µs by which a load could begin before it
/// does.
pub type StepTimes<'a> = &'a dyn Fn(&Step, &str, Micros) -> Micros;

/// The end of a step.
struct Close<'a> {
    how: StepStatus,
    /// Reads a field of its result.
    field: &'a dyn Fn(&str) -> Option<String>,
    /// Why the chain fails, if it does because of this end.
    why: FailureReason,
}

impl Close<'_> {
    /// The end of a step that was not begun.
    fn never_ran(why: FailureReason) -> Self {
        Close { how: StepStatus::NeverRan, field: &|_| None, why }
    }
}

/// What is on record of a step: how it ended, and the fields of its result that the plan asks for.
pub type RecordedSteps = BTreeMap<StepId, (StepStatus, BTreeMap<String, String>)>;

/// One chain under way.
pub struct Run {
    plan: Arc<Plan>,
    /// The function that the event names.
    event_function: Option<String>,
    begun: Micros,
    deadline: Micros,
    /// State of each step, by its id.
    states: Vec<State>,
    /// Steps in the order in which they began.
    order: Vec<StepId>,
    /// Fields of results that the plan asks for, by step and name.
    results: BTreeMap<(StepId, String), String>,
    forks: Vec<Fork>,
    /// The step that finished last.
    last_finished: Option<StepId>,
    /// What is on record of steps that have not begun in this run.
    recorded: RecordedSteps,
    ended: Option<RunOutcome>,
}

impl Run {
    /// A chain with this deadline; `event_function` is the function that its event names, `recorded` what an
    /// interrupted run of it left.
    pub fn new(
        now: Micros,
        plan: Arc<Plan>,
        event_function: Option<String>,
        deadline: Micros,
        recorded: RecordedSteps,
    ) -> Self {
        Run {
            states: vec![State::NotBegun; plan.steps.len()],
            plan,
            event_function,
            begun: now,
            deadline,
            order: Vec::new(),
            results: BTreeMap::new(),
            forks: Vec::new(),
            last_finished: None,
            recorded,
            ended: None,
        }
    }

    /// The plan that it runs by.
    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    /// The moment at which its time is up.
    pub fn deadline(&self) -> Micros {
        self.deadline
    }

    /// How it ended, once it has.
    pub fn outcome(&self) -> Option<RunOutcome> {
        self.ended
    }

    /// Fields of a step's result that the plan asks for, by tests, functions and undos.
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

    /// µs that a step needs; what its plan says where its function is not known yet.
    fn needed_time(&self, id: StepId, needs: StepTimes<'_>, ahead: Micros) -> Micros {
        let step = self.plan.step(id);
        self.function(id).map_or(step.at_least, |function| needs(step, &function, ahead))
    }

    /// µs of the shortest way from this step's end to the chain's, with loads begun `ahead` of it.
    fn remaining_time(&self, step: StepId, needs: StepTimes<'_>, ahead: Micros) -> Micros {
        let time = |id: StepId| self.needed_time(id, needs, ahead);
        self.plan.shortest_after(step, &time)
    }

    /// Factor of the chain's priority beside that of a new one, by the part of its time that is spent: 1 at
    /// its beginning.
    pub fn priority_factor(&self, now: Micros, needs: StepTimes<'_>) -> f64 {
        let Some(step) = self.order.last() else { return 1.0 };
        let own = self.needed_time(*step, needs, 0);
        let spent = now.saturating_sub(self.begun) as f64;
        1.0 + PRIORITY_GAIN * spent / (spent + (own + self.remaining_time(*step, needs, own)) as f64).max(1.0)
    }

    /// Begins the chain.
    pub fn begin(&mut self, now: Micros, needs: StepTimes<'_>) -> Vec<Command> {
        let mut actions = Vec::new();
        self.enter(Context { now, needs }, StepId(0), &mut actions);
        actions
    }

    /// A step has ended; `field` reads its result, `retry_after` is the time in µs that a rejection named.
    pub fn step_ended(
        &mut self,
        now: Micros,
        step: StepId,
        how: StepStatus,
        retry_after: Option<Micros>,
        field: &dyn Fn(&str) -> Option<String>,
        needs: StepTimes<'_>,
    ) -> Vec<Command> {
        let mut actions = Vec::new();
        if self.states[step.0] != State::InFlight {
            return actions;
        }
        let context = Context { now, needs };
        if how == StepStatus::NeverRan
            && let Some(until) = self.retry_at(context, step, retry_after)
        {
            self.states[step.0] = State::AwaitingRetry;
            return vec![Command::Wait { step, until }];
        }
        self.close(context, step, Close { how, field, why: FailureReason::StepFailed }, &mut actions);
        actions
    }

    /// A step that was to begin could not be written to the record: it is not retried, as a full disk stays
    /// full.
    pub fn store_failed(&mut self, now: Micros, step: StepId, needs: StepTimes<'_>) -> Vec<Command> {
        let mut actions = Vec::new();
        if self.states[step.0] == State::InFlight {
            self.close(
                Context { now, needs },
                step,
                Close::never_ran(FailureReason::NotWritten),
                &mut actions,
            );
        }
        actions
    }

    /// When a rejected step is worth a retry: where the plan has no other way, and time to spare.
    fn retry_at(&self, context: Context<'_>, step: StepId, retry_after: Option<Micros>) -> Option<Micros> {
        let Context { now, needs } = context;
        let planned = self.plan.step(step);
        // A chain that has done nothing yet is rejected as a whole: its client knows when to retry.
        let any_finished = self.order.iter().any(|step| self.has_finished(*step));
        if planned.optional || !planned.or_else.is_empty() || !any_finished {
            return None;
        }
        let own = self.needed_time(step, needs, 0);
        let until = self.deadline.saturating_sub(RESPONSE_TIME + self.remaining_time(step, needs, own));
        let spare = until.checked_sub(now + own)?;
        let longest = (spare / RETRY_DELAY_DIVISOR).max(MIN_RETRY_DELAY);
        let wait = retry_after.unwrap_or(DEFAULT_RETRY_DELAY).clamp(MIN_RETRY_DELAY, longest);
        (wait <= spare).then_some(now + wait)
    }

    /// The time of `Do::Wait` has come.
    pub fn retry_step(&mut self, now: Micros, step: StepId, needs: StepTimes<'_>) -> Vec<Command> {
        let mut actions = Vec::new();
        if self.states[step.0] == State::AwaitingRetry {
            self.states[step.0] = State::NotBegun;
            self.enter(Context { now, needs }, step, &mut actions);
        }
        actions
    }

    /// The chain's time is up, whatever is in flight.
    pub fn expire(&mut self) -> Vec<Command> {
        let mut actions = Vec::new();
        let step = self.order.last().copied().unwrap_or(StepId(0));
        self.fail(step, FailureReason::NoTime, &mut actions);
        actions
    }

    /// Begins a step, unless its end is on record, its function is not known, or time is too short.
    fn enter(&mut self, context: Context<'_>, step: StepId, actions: &mut Vec<Command>) {
        if self.ended.is_some() || self.states[step.0] != State::NotBegun {
            return;
        }
        if let Some((how, fields)) = self.recorded.remove(&step) {
            self.order.push(step);
            let field = |name: &str| fields.get(name).cloned();
            return self.close(
                context,
                step,
                Close { how, field: &field, why: FailureReason::StepFailed },
                actions,
            );
        }
        let Some(function) = self.function(step) else {
            return self.close(context, step, Close::never_ran(FailureReason::NoFunction), actions);
        };
        let own = self.needed_time(step, context.needs, 0);
        let remaining = self.remaining_time(step, context.needs, own);
        let until = self.deadline.saturating_sub(RESPONSE_TIME + remaining);
        if context.now + own > until {
            if self.plan.step(step).optional {
                self.states[step.0] = State::Skipped;
                return self.follow(context, step, actions);
            }
            return self.close(context, step, Close::never_ran(FailureReason::NoTime), actions);
        }
        self.states[step.0] = State::InFlight;
        if !self.order.contains(&step) {
            self.order.push(step);
        }
        actions.push(Command::Begin { step, function, until });
    }

    /// Takes a step's end down and goes on from it.
    fn close(&mut self, context: Context<'_>, step: StepId, close: Close<'_>, actions: &mut Vec<Command>) {
        self.states[step.0] = State::RunOutcome(close.how);
        if close.how == StepStatus::Finished {
            self.last_finished = Some(step);
            let asked: Vec<String> = self.requested_fields(step).into_iter().map(str::to_owned).collect();
            for name in asked {
                if let Some(value) = (close.field)(&name) {
                    self.results.insert((step, name), value);
                }
            }
        }
        if close.how == StepStatus::Finished || self.plan.step(step).optional {
            return self.follow(context, step, actions);
        }
        if let Some(fork) = self.fork_of(step) {
            return self.arm_failed(fork, step, close.why, actions);
        }
        let plan = self.plan.clone();
        match self.branch_taken(step, &plan.step(step).or_else) {
            Some(target) => self.target(context, step, target, actions),
            None => self.fail(step, close.why, actions),
        }
    }

    /// Where the first branch whose test holds leads.
    fn branch_taken<'a>(&self, step: StepId, branches: &'a [Branch]) -> Option<&'a Target> {
        let holds = |branch: &&Branch| {
            let test = branch.test.as_ref();
            test.is_none_or(|test| self.results.get(&(step, test.field.clone())) == Some(&test.is))
        };
        branches.iter().find(holds).map(|branch| &branch.target)
    }

    /// Goes on after a step that has finished, or need not.
    fn follow(&mut self, context: Context<'_>, step: StepId, actions: &mut Vec<Command>) {
        if self.ended.is_some() {
            return;
        }
        if let Some(fork) = self.fork_of(step) {
            return self.arm_ended(context, fork, step, actions);
        }
        let plan = self.plan.clone();
        match self.branch_taken(step, &plan.step(step).next) {
            Some(target) => self.target(context, step, target, actions),
            None => self.finish(step, actions),
        }
    }

    fn target(&mut self, context: Context<'_>, from: StepId, target: &Target, actions: &mut Vec<Command>) {
        match target {
            Target::End => self.finish(from, actions),
            Target::One(to) => self.enter(context, *to, actions),
            Target::All(arms, join) | Target::First(arms, join) => {
                let first = matches!(target, Target::First(..));
                self.forks.push(Fork { arms: arms.clone(), join: *join, first });
                for arm in arms {
                    self.enter(context, *arm, actions);
                }
            }
        }
    }

    /// Index of the fork that a step is an arm of.
    fn fork_of(&self, step: StepId) -> Option<usize> {
        self.forks.iter().position(|fork| fork.arms.contains(&step))
    }

    fn has_finished(&self, step: StepId) -> bool {
        self.states[step.0] == State::RunOutcome(StepStatus::Finished)
    }

    /// Whether a step's end is still to come.
    fn is_open(&self, step: StepId) -> bool {
        matches!(self.states[step.0], State::InFlight | State::NotBegun | State::AwaitingRetry)
    }

    /// An arm has finished or was left out.
    fn arm_ended(&mut self, context: Context<'_>, index: usize, step: StepId, actions: &mut Vec<Command>) {
        let fork = &self.forks[index];
        let open: Vec<StepId> = fork.arms.iter().filter(|arm| self.is_open(**arm)).copied().collect();
        // One that was left out, or failed and may, is not the first that finishes, unless it is the last.
        if !(open.is_empty() || fork.first && self.has_finished(step)) {
            return;
        }
        if fork.first && !fork.arms.iter().any(|arm| self.has_finished(*arm)) {
            return self.fail(step, FailureReason::StepFailed, actions);
        }
        let join = fork.join;
        self.forks.remove(index);
        for arm in open {
            let in_flight = self.states[arm.0] == State::InFlight;
            if in_flight {
                actions.push(Command::Cancel(arm));
            }
            self.states[arm.0] =
                if in_flight { State::RunOutcome(StepStatus::MayHaveRun) } else { State::Skipped };
        }
        match join {
            Some(join) => self.enter(context, join, actions),
            None => self.finish(step, actions),
        }
    }

    /// An arm that is needed has failed: all of several need it, the first of several has others.
    fn arm_failed(&mut self, index: usize, step: StepId, why: FailureReason, actions: &mut Vec<Command>) {
        let fork = &self.forks[index];
        if fork.first && fork.arms.iter().any(|arm| self.is_open(*arm)) {
            return;
        }
        self.fail(step, why, actions);
    }

    /// The chain is finished by the step that finished last: the one that led here may have been left out, or
    /// have failed where it need not succeed.
    fn finish(&mut self, step: StepId, actions: &mut Vec<Command>) {
        let Some(step) = self.last_finished else {
            return self.fail(step, FailureReason::StepFailed, actions);
        };
        if self.ended.is_none() {
            self.cancel_open_steps(actions);
            self.ended = Some(RunOutcome::Finished(step));
            actions.push(Command::End(RunOutcome::Finished(step)));
        }
    }

    fn cancel_open_steps(&mut self, actions: &mut Vec<Command>) {
        for (index, state) in self.states.iter_mut().enumerate() {
            match state {
                State::InFlight => {
                    actions.push(Command::Cancel(StepId(index)));
                    *state = State::RunOutcome(StepStatus::MayHaveRun);
                }
                State::AwaitingRetry => *state = State::RunOutcome(StepStatus::NeverRan),
                _ => {}
            }
        }
    }

    fn fail(&mut self, step: StepId, why: FailureReason, actions: &mut Vec<Command>) {
        if self.ended.is_some() {
            return;
        }
        self.cancel_open_steps(actions);
        let has_lasting_effect = |step: &StepId| {
            self.may_have_run(*step) && self.plan.step(*step).effect != RetrySafety::Idempotent
        };
        let ended = if self.order.iter().any(has_lasting_effect) {
            RunOutcome::Failed(step, why)
        } else {
            RunOutcome::Rejected(step, why)
        };
        self.ended = Some(ended);
        actions.push(Command::End(ended));
        actions.extend(self.undos());
    }

    fn may_have_run(&self, step: StepId) -> bool {
        matches!(self.states[step.0], State::RunOutcome(StepStatus::Finished | StepStatus::MayHaveRun))
    }

    /// What is to be undone, the last step first. An undo whose function is not known cannot be run.
    fn undos(&self) -> Vec<Command> {
        let undo = |step: &StepId| {
            let step = self.plan.step(*step).undo?;
            self.function(step).map(|function| Command::Undo { step, function })
        };
        self.order.iter().rev().filter(|step| self.may_have_run(**step)).filter_map(undo).collect()
    }
}
