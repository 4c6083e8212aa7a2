//! One chain while it runs: told how its steps ended, it says what comes next.
//!
//! A chain that was cut off in the middle runs again from its beginning with what is on record: a step
//! whose end is known is not begun again, it ends at once as it ended then.
use crate::plan::{Branch, Function, Go, Plan, Step, StepId};
use applepond::interface::{Micros, RetrySafety};
use std::collections::BTreeMap;
use std::sync::Arc;

/// µs that the chain's answer takes on its way back to the client; a step that ends later is in vain.
const WAY_BACK: Micros = 5_000;
/// How much more a chain is worth when all of its time is spent than when it begins: three steps paid for are
/// lost with the fourth, and a fresh chain can still be pushed back at no cost.
const PAID: f64 = 3.0;
/// µs after which a step that was pushed back is begun again at the least, and where no time was told.
const AGAIN_LEAST: Micros = 30_000;
const AGAIN: Micros = 100_000;
/// Part of the time to spare that is waited at most: what was told is for clients, who have not paid for
/// steps before.
const AGAIN_PART: u64 = 4;

/// How a step ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum How {
    Finished,
    /// Pushed back: it has had no effect.
    NeverRan,
    /// Killed: it may have had one.
    MayHaveRun,
}

/// Why a chain did not finish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// What is left of it cannot be done in the time left.
    NoTime,
    /// A step's function is named by a result that does not name it.
    NoFunction,
    /// A step failed, and the plan has no other way.
    StepFailed,
    /// A step could not be written down, and so was not sent.
    NotWritten,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// This step's result is the answer.
    Finished(StepId),
    /// Nothing of it can have had an effect that lasts: another try does no harm.
    PushedBack(StepId, Why),
    /// Something may have; what has an undo is taken back.
    Failed(StepId, Why),
}

/// What to do next, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// Begin the step; its request's time is up at `until`.
    Begin {
        step: StepId,
        function: String,
        until: Micros,
    },
    /// The step was pushed back and there is time: `again` is to be told at this time.
    Wait {
        step: StepId,
        until: Micros,
    },
    Cancel(StepId),
    End(Ended),
    /// After the end: run this undo until it has finished.
    Undo {
        step: StepId,
        function: String,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Unbegun,
    Out,
    /// Pushed back, and to be begun again.
    Waiting,
    Ended(How),
    /// Left out, as time ran short.
    Skipped,
}

struct Fork {
    arms: Vec<StepId>,
    join: Option<StepId>,
    first: bool,
}

/// µs that a step needs: which one, its function, and µs for which a load could begin before it does.
pub type Needs<'a> = &'a dyn Fn(&Step, &str, Micros) -> Micros;

/// What is on record of a step: how it ended, and the fields of its result that the plan asks for.
pub type Recorded = BTreeMap<StepId, (How, BTreeMap<String, String>)>;

pub struct Run {
    plan: Arc<Plan>,
    /// The function that the event names.
    named: Option<String>,
    begun: Micros,
    deadline: Micros,
    states: Vec<State>,
    /// Steps in the order in which they began.
    order: Vec<StepId>,
    results: BTreeMap<(StepId, String), String>,
    forks: Vec<Fork>,
    /// The step that finished last.
    last: Option<StepId>,
    recorded: Recorded,
    ended: Option<Ended>,
}

impl Run {
    /// A chain that has until `deadline`; `named` is the function that its event names.
    pub fn new(
        now: Micros,
        plan: Arc<Plan>,
        named: Option<String>,
        deadline: Micros,
        recorded: Recorded,
    ) -> Self {
        Run {
            states: vec![State::Unbegun; plan.steps.len()],
            plan,
            named,
            begun: now,
            deadline,
            order: Vec::new(),
            results: BTreeMap::new(),
            forks: Vec::new(),
            last: None,
            recorded,
            ended: None,
        }
    }

    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    pub fn deadline(&self) -> Micros {
        self.deadline
    }

    pub fn has_ended(&self) -> Option<Ended> {
        self.ended
    }

    /// Fields of a step's result that the plan asks for, by tests, functions and undos.
    pub fn asked(&self, step: StepId) -> Vec<&str> {
        let of = &self.plan.steps[step.0];
        let tests = of.next.iter().chain(&of.or_else).filter_map(|b| b.test.as_ref());
        let functions = self.plan.steps.iter().filter_map(|s| match &s.function {
            Function::From(id, field) if *id == step => Some(field.as_str()),
            _ => None,
        });
        tests.map(|t| t.field.as_str()).chain(functions).collect()
    }

    fn function(&self, step: StepId) -> Option<String> {
        match &self.plan.step(step).function {
            Function::Named(name) => Some(name.clone()),
            Function::OfEvent => self.named.clone(),
            Function::From(id, field) => self.results.get(&(*id, field.clone())).cloned(),
        }
    }

    /// µs that a step needs; what its plan says where its function is not known yet.
    fn need(&self, id: StepId, needs: Needs<'_>, ahead: Micros) -> Micros {
        let step = self.plan.step(id);
        self.function(id).map_or(step.at_least, |function| needs(step, &function, ahead))
    }

    /// µs that the shortest way from this step's end to the chain's takes, loads begun `ahead` of it.
    fn rest(&self, step: StepId, needs: Needs<'_>, ahead: Micros) -> Micros {
        let time = |id: StepId| self.need(id, needs, ahead);
        self.plan.shortest_after(step, &time)
    }

    /// How much more the chain is worth than a fresh one, by what of its time is spent: 1 at its beginning.
    pub fn paid(&self, now: Micros, needs: Needs<'_>) -> f64 {
        let Some(at) = self.order.last() else { return 1.0 };
        let own = self.need(*at, needs, 0);
        let spent = now.saturating_sub(self.begun) as f64;
        1.0 + PAID * spent / (spent + (own + self.rest(*at, needs, own)) as f64).max(1.0)
    }

    /// Begins the chain.
    pub fn begin(&mut self, now: Micros, needs: Needs<'_>) -> Vec<Do> {
        let mut todo = Vec::new();
        self.enter(now, StepId(0), needs, &mut todo);
        todo
    }

    /// A step has ended; `field` reads its result, `told` is the time that a pushback named.
    pub fn ended(
        &mut self,
        now: Micros,
        step: StepId,
        how: How,
        told: Option<Micros>,
        field: &dyn Fn(&str) -> Option<String>,
        needs: Needs<'_>,
    ) -> Vec<Do> {
        let mut todo = Vec::new();
        if self.states[step.0] != State::Out {
            return todo;
        }
        if how == How::NeverRan
            && let Some(until) = self.again_at(now, step, told, needs)
        {
            self.states[step.0] = State::Waiting;
            return vec![Do::Wait { step, until }];
        }
        self.close(now, step, how, field, Why::StepFailed, needs, &mut todo);
        todo
    }

    /// A step that was to begin could not be written down: it is not tried again, a full disk stays full.
    pub fn not_written(&mut self, now: Micros, step: StepId, needs: Needs<'_>) -> Vec<Do> {
        let mut todo = Vec::new();
        if self.states[step.0] == State::Out {
            self.close(now, step, How::NeverRan, &|_| None, Why::NotWritten, needs, &mut todo);
        }
        todo
    }

    /// When a step that was pushed back is worth another try: where the plan has no other way, and time to
    /// spare.
    fn again_at(&self, now: Micros, step: StepId, told: Option<Micros>, needs: Needs<'_>) -> Option<Micros> {
        let row = self.plan.step(step);
        // A chain that has done nothing yet is pushed back as a whole: its client knows when to come.
        let paid = self.order.iter().any(|s| self.states[s.0] == State::Ended(How::Finished));
        if row.optional || !row.or_else.is_empty() || !paid {
            return None;
        }
        let own = self.need(step, needs, 0);
        let until = self.deadline.saturating_sub(WAY_BACK + self.rest(step, needs, own));
        let spare = until.checked_sub(now + own)?;
        let most = (spare / AGAIN_PART).max(AGAIN_LEAST);
        let wait = told.unwrap_or(AGAIN).clamp(AGAIN_LEAST, most);
        (wait <= spare).then_some(now + wait)
    }

    /// A step that was pushed back has waited.
    pub fn again(&mut self, now: Micros, step: StepId, needs: Needs<'_>) -> Vec<Do> {
        let mut todo = Vec::new();
        if self.states[step.0] == State::Waiting {
            self.states[step.0] = State::Unbegun;
            self.enter(now, step, needs, &mut todo);
        }
        todo
    }

    /// The chain's time is up, whatever is out.
    pub fn time_up(&mut self) -> Vec<Do> {
        let mut todo = Vec::new();
        let at = self.order.last().copied().unwrap_or(StepId(0));
        self.fail(at, Why::NoTime, &mut todo);
        todo
    }

    fn enter(&mut self, now: Micros, step: StepId, needs: Needs<'_>, todo: &mut Vec<Do>) {
        if self.ended.is_some() || self.states[step.0] != State::Unbegun {
            return;
        }
        if let Some((how, fields)) = self.recorded.remove(&step) {
            self.order.push(step);
            return self.close(now, step, how, &|n| fields.get(n).cloned(), Why::StepFailed, needs, todo);
        }
        let optional = self.plan.step(step).optional;
        let Some(function) = self.function(step) else {
            return self.close(now, step, How::NeverRan, &|_| None, Why::NoFunction, needs, todo);
        };
        let own = self.need(step, needs, 0);
        let rest = self.rest(step, needs, own);
        let until = self.deadline.saturating_sub(WAY_BACK + rest);
        if now + own > until {
            if optional {
                self.states[step.0] = State::Skipped;
                return self.follow(now, step, needs, todo);
            }
            return self.close(now, step, How::NeverRan, &|_| None, Why::NoTime, needs, todo);
        }
        self.states[step.0] = State::Out;
        if !self.order.contains(&step) {
            self.order.push(step);
        }
        todo.push(Do::Begin { step, function, until });
    }

    #[allow(clippy::too_many_arguments)] // a step's end is told once, here
    fn close(
        &mut self,
        now: Micros,
        step: StepId,
        how: How,
        field: &dyn Fn(&str) -> Option<String>,
        why: Why,
        needs: Needs<'_>,
        todo: &mut Vec<Do>,
    ) {
        self.states[step.0] = State::Ended(how);
        if how == How::Finished {
            self.last = Some(step);
            let asked: Vec<String> = self.asked(step).into_iter().map(str::to_owned).collect();
            for name in asked {
                if let Some(value) = field(&name) {
                    self.results.insert((step, name), value);
                }
            }
        }
        if how == How::Finished || self.plan.step(step).optional {
            return self.follow(now, step, needs, todo);
        }
        if self.forks.iter().any(|f| f.arms.contains(&step)) {
            return self.arm_failed(step, why, todo);
        }
        let plan = self.plan.clone();
        match self.branch(step, &plan.step(step).or_else) {
            Some(go) => self.go(now, step, go, needs, todo),
            None => self.fail(step, why, todo),
        }
    }

    /// The first branch whose test holds.
    fn branch<'a>(&self, step: StepId, branches: &'a [Branch]) -> Option<&'a Go> {
        let holds = |b: &&Branch| {
            b.test.as_ref().is_none_or(|t| self.results.get(&(step, t.field.clone())) == Some(&t.is))
        };
        branches.iter().find(holds).map(|b| &b.go)
    }

    fn follow(&mut self, now: Micros, step: StepId, needs: Needs<'_>, todo: &mut Vec<Do>) {
        if self.ended.is_some() {
            return;
        }
        if let Some(n) = self.forks.iter().position(|f| f.arms.contains(&step)) {
            return self.arm_ended(now, step, n, needs, todo);
        }
        let plan = self.plan.clone();
        match self.branch(step, &plan.step(step).next) {
            Some(go) => self.go(now, step, go, needs, todo),
            None => self.finish(step, todo),
        }
    }

    fn go(&mut self, now: Micros, from: StepId, go: &Go, needs: Needs<'_>, todo: &mut Vec<Do>) {
        match go {
            Go::End => self.finish(from, todo),
            Go::One(to) => self.enter(now, *to, needs, todo),
            Go::All(arms, join) | Go::First(arms, join) => {
                let first = matches!(go, Go::First(..));
                self.forks.push(Fork { arms: arms.clone(), join: *join, first });
                for arm in arms {
                    self.enter(now, *arm, needs, todo);
                }
            }
        }
    }

    /// An arm has finished or was left out.
    fn arm_ended(&mut self, now: Micros, step: StepId, n: usize, needs: Needs<'_>, todo: &mut Vec<Do>) {
        let fork = &self.forks[n];
        let open = |s: &&StepId| matches!(self.states[s.0], State::Out | State::Unbegun | State::Waiting);
        let left: Vec<StepId> = fork.arms.iter().filter(open).copied().collect();
        // One that was left out, or failed and may, is not the first that finishes, unless it is the last.
        let won = self.states[step.0] == State::Ended(How::Finished);
        if !(left.is_empty() || fork.first && won) {
            return;
        }
        let finished = |s: &StepId| self.states[s.0] == State::Ended(How::Finished);
        if fork.first && !fork.arms.iter().any(finished) {
            return self.fail(step, Why::StepFailed, todo);
        }
        let join = fork.join;
        self.forks.remove(n);
        for arm in left {
            let out = self.states[arm.0] == State::Out;
            if out {
                todo.push(Do::Cancel(arm));
            }
            self.states[arm.0] = if out { State::Ended(How::MayHaveRun) } else { State::Skipped };
        }
        match join {
            Some(join) => self.enter(now, join, needs, todo),
            None => self.finish(step, todo),
        }
    }

    /// An arm that is needed has failed: all of several need it, the first of several has others.
    fn arm_failed(&mut self, step: StepId, why: Why, todo: &mut Vec<Do>) {
        let n = self.forks.iter().position(|f| f.arms.contains(&step)).expect("looked at by the caller");
        let open = |s: &StepId| matches!(self.states[s.0], State::Out | State::Unbegun | State::Waiting);
        if self.forks[n].first && self.forks[n].arms.iter().any(open) {
            return;
        }
        self.fail(step, why, todo);
    }

    /// The chain is finished by the step that finished last: the one that led here may have been left out, or
    /// have failed and been free to.
    fn finish(&mut self, step: StepId, todo: &mut Vec<Do>) {
        let Some(step) = self.last else { return self.fail(step, Why::StepFailed, todo) };
        if self.ended.is_none() {
            self.cancel_rest(todo);
            self.ended = Some(Ended::Finished(step));
            todo.push(Do::End(Ended::Finished(step)));
        }
    }

    fn cancel_rest(&mut self, todo: &mut Vec<Do>) {
        for (n, state) in self.states.iter_mut().enumerate() {
            match state {
                State::Out => {
                    todo.push(Do::Cancel(StepId(n)));
                    *state = State::Ended(How::MayHaveRun);
                }
                State::Waiting => *state = State::Ended(How::NeverRan),
                _ => {}
            }
        }
    }

    fn fail(&mut self, step: StepId, why: Why, todo: &mut Vec<Do>) {
        if self.ended.is_some() {
            return;
        }
        self.cancel_rest(todo);
        let lasts = |s: &&StepId| {
            matches!(self.states[s.0], State::Ended(How::Finished | How::MayHaveRun))
                && self.plan.step(**s).effect != RetrySafety::Idempotent
        };
        let ended = match self.order.iter().any(|s| lasts(&s)) {
            true => Ended::Failed(step, why),
            false => Ended::PushedBack(step, why),
        };
        self.ended = Some(ended);
        todo.push(Do::End(ended));
        todo.extend(self.undos());
    }

    /// What is to be taken back, the last step first. An undo whose function is not known cannot be.
    fn undos(&self) -> Vec<Do> {
        let began = |s: &&StepId| matches!(self.states[s.0], State::Ended(How::Finished | How::MayHaveRun));
        let undo = |s: &StepId| {
            let step = self.plan.step(*s).undo?;
            self.function(step).map(|function| Do::Undo { step, function })
        };
        self.order.iter().rev().filter(began).filter_map(undo).collect()
    }
}
