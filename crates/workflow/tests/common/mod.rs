//! Plans in a few words, and a run with its clock.
#![allow(dead_code)] // each table of cases uses its own part
use applepond::interface::{IdempotencyScope, Micros, RetrySafety};
use applepond_workflow::run::RecordedSteps;
use applepond_workflow::{
    Branch, Command, Function, Plan, Run, RunOutcome, Step, StepId, StepStatus, Target, Test,
};
use std::collections::BTreeMap;
use std::sync::Arc;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const MARKED: RetrySafety = RetrySafety::Keyed { scope: IdempotencyScope::Rack, window: 3 * S };

/// A step of 100 ms at the least that leads nowhere.
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

pub fn free(step: &str) -> Step {
    self::step(step, RetrySafety::Idempotent)
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

/// Short ways to change a step.
pub trait With {
    fn next(self, branches: &[Branch]) -> Self;
    fn or_else(self, branches: &[Branch]) -> Self;
    fn undone_by(self, n: usize) -> Self;
    fn optional(self) -> Self;
    fn function_from(self, n: usize, field: &str) -> Self;
}

impl With for Step {
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

/// A chain of 4 s that began at 100 s; functions take what the plan says unless `needs` says otherwise.
pub struct Bench {
    pub run: Run,
    pub now: Micros,
    pub needs: BTreeMap<&'static str, Micros>,
    /// The time that rejections name.
    pub retry_after: Option<Micros>,
}

impl Bench {
    pub fn new(steps: Vec<Step>) -> Self {
        Self::resumed(steps, BTreeMap::new())
    }

    pub fn resumed(steps: Vec<Step>, recorded: RecordedSteps) -> Self {
        let (plan, now) = (plan(steps), 100 * S);
        assert_eq!(plan.check(), Vec::new(), "a sound plan");
        let run = Run::new(now, Arc::new(plan), Some("of-event".into()), now + 4 * S, recorded);
        Bench { run, now, needs: BTreeMap::new(), retry_after: None }
    }

    pub fn begin(&mut self) -> Vec<String> {
        let needs = self.needs.clone();
        let todo = self.run.begin(self.now, &|step, f, _| needs.get(f).copied().unwrap_or(step.at_least));
        self.words(&todo)
    }

    /// After `ms` more a step ends, with fields of its result; what is to be done, in words.
    pub fn ends(&mut self, ms: Micros, n: usize, how: StepStatus, fields: &[(&str, &str)]) -> Vec<String> {
        self.now += ms * MS;
        let needs = self.needs.clone();
        let field = |name: &str| fields.iter().find(|(n, _)| *n == name).map(|(_, v)| (*v).to_owned());
        let needs = |step: &Step, f: &str, _: Micros| needs.get(f).copied().unwrap_or(step.at_least);
        let todo = self.run.step_ended(self.now, id(n), how, self.retry_after, &field, &needs);
        self.words(&todo)
    }

    /// After `ms` more a step that waited is looked at again.
    pub fn again(&mut self, ms: Micros, n: usize) -> Vec<String> {
        self.now += ms * MS;
        let needs = self.needs.clone();
        let needs = |step: &Step, f: &str, _: Micros| needs.get(f).copied().unwrap_or(step.at_least);
        let todo = self.run.retry_step(self.now, id(n), &needs);
        self.words(&todo)
    }

    pub fn finishes(&mut self, ms: Micros, n: usize) -> Vec<String> {
        self.ends(ms, n, StepStatus::Finished, &[])
    }

    fn words(&self, todo: &[Command]) -> Vec<String> {
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
            Command::End(RunOutcome::Rejected(step, why)) => {
                format!("pushed back at {}: {why:?}", name(step))
            }
            Command::End(RunOutcome::Failed(step, why)) => format!("failed at {}: {why:?}", name(step)),
        };
        todo.iter().map(word).collect()
    }
}
