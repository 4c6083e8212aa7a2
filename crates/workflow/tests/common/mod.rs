//! Helpers that build plans, and a test harness with a run and its clock.
#![allow(dead_code)] // not every test file uses all helpers
use applepond::interface::{IdempotencyScope, Micros, RetrySafety};
use applepond_workflow::run::RecordedSteps;
use applepond_workflow::{
    Branch, Command, Function, Plan, Run, RunOutcome, Step, StepId, StepStatus, Target, Test,
};
use std::collections::BTreeMap;
use std::sync::Arc;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const KEYED: RetrySafety = RetrySafety::Keyed { scope: IdempotencyScope::Rack, window: 3 * S };

/// A step of 100 ms without branches.
pub fn step(name: &str, effect: RetrySafety) -> Step {
    let workload = match effect {
        RetrySafety::Idempotent => 0,
        RetrySafety::Keyed { .. } => 1,
        RetrySafety::AtMostOnce => 2,
    };
    Step {
        name: name.to_owned(),
        workload,
        effect,
        function: Function::Named(name.to_owned()),
        at_least: 100 * MS,
        optional: false,
        undo: None,
        next: Vec::new(),
        or_else: Vec::new(),
    }
}

pub fn idempotent(name: &str) -> Step {
    step(name, RetrySafety::Idempotent)
}

pub fn id(n: usize) -> StepId {
    StepId(n)
}

pub fn to(n: usize) -> Branch {
    Branch { test: None, target: Target::One(id(n)) }
}

pub fn when(field: &str, is: &str, n: usize) -> Branch {
    Branch { test: Some(Test { field: field.into(), is: is.into() }), target: Target::One(id(n)) }
}

pub fn all(arms: &[usize], join: Option<usize>) -> Branch {
    Branch { test: None, target: Target::All(arms.iter().map(|n| id(*n)).collect(), join.map(id)) }
}

pub fn first(arms: &[usize], join: Option<usize>) -> Branch {
    Branch { test: None, target: Target::First(arms.iter().map(|n| id(*n)).collect(), join.map(id)) }
}

/// Builder methods for steps.
pub trait StepExt {
    fn next(self, branches: &[Branch]) -> Self;
    fn or_else(self, branches: &[Branch]) -> Self;
    fn undone_by(self, n: usize) -> Self;
    fn optional(self) -> Self;
    fn function_from(self, n: usize, field: &str) -> Self;
}

impl StepExt for Step {
    fn next(self, branches: &[Branch]) -> Self {
        Step { next: branches.to_vec(), ..self }
    }
    fn or_else(self, branches: &[Branch]) -> Self {
        Step { or_else: branches.to_vec(), ..self }
    }
    fn undone_by(self, n: usize) -> Self {
        Step { undo: Some(id(n)), ..self }
    }
    fn optional(self) -> Self {
        Step { optional: true, ..self }
    }
    fn function_from(self, n: usize, field: &str) -> Self {
        Step { function: Function::From(id(n), field.into()), ..self }
    }
}

pub fn plan(steps: Vec<Step>) -> Plan {
    Plan { name: "book".into(), limit: 4 * S, steps }
}

/// A run with a time limit of 4 s that starts at 100 s. Functions take the time of the plan unless
/// `step_times` has another one.
pub struct Harness {
    pub run: Run,
    pub now: Micros,
    pub step_times: BTreeMap<&'static str, Micros>,
    /// Delay given by rejections.
    pub retry_after: Option<Micros>,
}

impl Harness {
    pub fn new(steps: Vec<Step>) -> Self {
        Self::resumed(steps, BTreeMap::new())
    }

    pub fn resumed(steps: Vec<Step>, recorded: RecordedSteps) -> Self {
        let (plan, now) = (plan(steps), 100 * S);
        assert_eq!(plan.check(), Vec::new(), "the plan is valid");
        let run = Run::new(now, Arc::new(plan), Some("of-event".into()), now + 4 * S, recorded);
        Harness { run, now, step_times: BTreeMap::new(), retry_after: None }
    }

    pub fn begin(&mut self) -> Vec<String> {
        let step_times = self.step_times.clone();
        let commands =
            self.run.begin(self.now, &|step, f, _| step_times.get(f).copied().unwrap_or(step.at_least));
        self.describe(&commands)
    }

    /// A step ends `ms` later with these fields of its result; returns the commands as texts.
    pub fn end_step(
        &mut self,
        ms: Micros,
        n: usize,
        status: StepStatus,
        fields: &[(&str, &str)],
    ) -> Vec<String> {
        self.now += ms * MS;
        let step_times = self.step_times.clone();
        let field = |name: &str| fields.iter().find(|(n, _)| *n == name).map(|(_, v)| (*v).to_owned());
        let step_times =
            |step: &Step, f: &str, _: Micros| step_times.get(f).copied().unwrap_or(step.at_least);
        let commands = self.run.step_ended(self.now, id(n), status, self.retry_after, &field, &step_times);
        self.describe(&commands)
    }

    /// Retries a step `ms` later.
    pub fn retry_step(&mut self, ms: Micros, n: usize) -> Vec<String> {
        self.now += ms * MS;
        let step_times = self.step_times.clone();
        let step_times =
            |step: &Step, f: &str, _: Micros| step_times.get(f).copied().unwrap_or(step.at_least);
        let commands = self.run.retry_step(self.now, id(n), &step_times);
        self.describe(&commands)
    }

    pub fn finish_step(&mut self, ms: Micros, n: usize) -> Vec<String> {
        self.end_step(ms, n, StepStatus::Finished, &[])
    }

    fn describe(&self, commands: &[Command]) -> Vec<String> {
        let name = |s: &StepId| self.run.plan().step(*s).name.clone();
        let word = |what: &Command| match what {
            Command::Begin { step, function, .. } if *function == name(step) => format!("begin {function}"),
            Command::Begin { step, function, .. } => format!("begin {} of {function}", name(step)),
            Command::Wait { step, until } => {
                format!("wait {} ms for {}", (until - self.now) / MS, name(step))
            }
            Command::Cancel(step) => format!("cancel {}", name(step)),
            Command::Undo { step, .. } => format!("undo by {}", name(step)),
            Command::End(RunOutcome::Finished(step)) => format!("finished by {}", name(step)),
            Command::End(RunOutcome::Rejected(step, reason)) => {
                format!("rejected at {}: {reason:?}", name(step))
            }
            Command::End(RunOutcome::Failed(step, reason)) => format!("failed at {}: {reason:?}", name(step)),
        };
        commands.iter().map(word).collect()
    }
}
