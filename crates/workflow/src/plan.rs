//! What a chain may do, and the look at it as a whole before it is taken.
use applepond::interface::{Micros, RetrySafety};
use std::collections::BTreeSet;

/// Steps of one plan at most: a chain that grows without end is refused with its plan.
pub const STEPS_MOST: usize = 32;
/// Arms of one fork at most: each is a request at the same time.
pub const ARMS_MOST: usize = 8;

/// A step's place in its plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepId(pub usize);

/// Where the name of a step's function comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Function {
    Named(String),
    /// The attribute of the event that asks for the chain, as the workload has it.
    OfEvent,
    /// A field of an earlier step's result.
    From(StepId, String),
}

/// Where one result leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Go {
    /// The chain is finished; this step's result is its answer.
    End,
    One(StepId),
    /// All of them at once; when all have finished, `join`, or the end with the last one's result.
    All(Vec<StepId>, Option<StepId>),
    /// All of them at once; the first that finishes leads on to `join`, the others are cancelled.
    First(Vec<StepId>, Option<StepId>),
}

impl Go {
    /// All steps that it names.
    pub fn steps(&self) -> Vec<StepId> {
        match self {
            Go::End => Vec::new(),
            Go::One(to) => vec![*to],
            Go::All(arms, join) | Go::First(arms, join) => arms.iter().chain(join).copied().collect(),
        }
    }
}

/// What a result must be for its branch to be taken: a field of it, as text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Test {
    pub field: String,
    pub is: String,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch {
    /// None: taken whatever the result.
    pub test: Option<Test>,
    pub go: Go,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub name: String,
    /// Row of the workload that its requests belong to.
    pub workload: usize,
    pub effect: RetrySafety,
    pub function: Function,
    /// µs that it takes at the least, as long as nothing has been learned.
    pub at_least: Micros,
    /// May be left out when time runs short, and may fail.
    pub optional: bool,
    /// What takes it back when the chain fails after it.
    pub undo: Option<StepId>,
    /// The first that holds is taken; where none does, the chain is finished.
    pub next: Vec<Branch>,
    /// The same after a failure; where none holds, the chain has failed.
    pub or_else: Vec<Branch>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub name: String,
    /// µs a chain has at most.
    pub limit: Micros,
    /// The first is where a chain begins.
    pub steps: Vec<Step>,
}

/// What part of a step a fault lies in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    Step,
    Function,
    Undo,
    Next,
    OrElse,
    AtLeast,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// None: the plan as a whole.
    pub step: Option<StepId>,
    pub part: Part,
    pub found: String,
    pub wanted: &'static str,
}

impl Plan {
    pub fn step(&self, id: StepId) -> &Step {
        &self.steps[id.0]
    }

    /// Where a step can lead, undos aside.
    fn leads(&self, id: StepId) -> BTreeSet<StepId> {
        let step = self.step(id);
        let mut to: BTreeSet<StepId> =
            step.next.iter().chain(&step.or_else).flat_map(|b| b.go.steps()).collect();
        // What leads from an arm on is its fork's join.
        to.extend(self.joins_of(id));
        to
    }

    /// Joins of the forks that this step is an arm of.
    fn joins_of(&self, id: StepId) -> Vec<StepId> {
        let branches = self.steps.iter().flat_map(|s| s.next.iter().chain(&s.or_else));
        let join = |b: &Branch| match &b.go {
            Go::All(arms, Some(join)) | Go::First(arms, Some(join)) if arms.contains(&id) => Some(*join),
            _ => None,
        };
        branches.filter_map(join).collect()
    }

    /// Whether a step is an arm of a fork: what it leads to is the fork's join alone.
    fn is_arm(&self, id: StepId) -> bool {
        self.steps
            .iter()
            .flat_map(|s| s.next.iter().chain(&s.or_else))
            .any(|b| matches!(&b.go, Go::All(arms, _) | Go::First(arms, _) if arms.contains(&id)))
    }

    /// Steps on every way from the beginning to each step: their results are there for certain. A failed one
    /// has no result, so that only ways through `next` count for what it tells.
    fn always_before(&self) -> Vec<BTreeSet<StepId>> {
        let all: BTreeSet<StepId> = (0..self.steps.len()).map(StepId).collect();
        let mut before = vec![all; self.steps.len()];
        before[0] = BTreeSet::new();
        // Each way into a step: what is certain after it was taken.
        let mut ways: Vec<(StepId, StepId, Vec<StepId>)> = Vec::new();
        for (n, step) in self.steps.iter().enumerate() {
            let from = StepId(n);
            let branches = step.next.iter().map(|b| (b, true)).chain(step.or_else.iter().map(|b| (b, false)));
            for (branch, finished) in branches {
                let mut sure = if finished && !step.optional { vec![from] } else { Vec::new() };
                match &branch.go {
                    Go::End => {}
                    Go::One(to) => ways.push((from, *to, sure)),
                    Go::All(arms, join) | Go::First(arms, join) => {
                        arms.iter().for_each(|arm| ways.push((from, *arm, sure.clone())));
                        if matches!(branch.go, Go::All(..)) {
                            sure.extend(arms.iter().filter(|a| !self.step(**a).optional));
                        }
                        join.iter().for_each(|join| ways.push((from, *join, sure.clone())));
                    }
                }
            }
        }
        // Sets only shrink, so that this comes to an end.
        let mut changed = true;
        while changed {
            changed = false;
            for (n, old) in before.clone().into_iter().enumerate().skip(1) {
                let into = ways.iter().filter(|(_, to, _)| to.0 == n);
                let sets = into.map(|(from, _, sure)| &before[from.0] | &sure.iter().copied().collect());
                let Some(set) = sets.reduce(|a: BTreeSet<StepId>, b| &a & &b) else { continue };
                if set != old {
                    before[n] = set;
                    changed = true;
                }
            }
        }
        before
    }

    fn loops(&self) -> Option<StepId> {
        // 0 unseen, 1 on the way here, 2 done.
        fn walk(plan: &Plan, at: StepId, seen: &mut [u8]) -> Option<StepId> {
            seen[at.0] = 1;
            for to in plan.leads(at) {
                if seen[to.0] == 1 {
                    return Some(at);
                }
                if seen[to.0] == 0
                    && let Some(found) = walk(plan, to, seen)
                {
                    return Some(found);
                }
            }
            seen[at.0] = 2;
            None
        }
        walk(self, StepId(0), &mut vec![0; self.steps.len()])
    }

    /// µs from a step's beginning to the end of the chain on the shortest way, each step taking `time`;
    /// optional steps take none. The plan has no loops.
    pub fn shortest(&self, from: StepId, time: &dyn Fn(StepId) -> Micros) -> Micros {
        let own = |id: StepId| if self.step(id).optional { 0 } else { time(id) };
        own(from) + self.shortest_after(from, time)
    }

    /// The same from a step's end on.
    pub fn shortest_after(&self, from: StepId, time: &dyn Fn(StepId) -> Micros) -> Micros {
        let step = self.step(from);
        let own = |id: &StepId| if self.step(*id).optional { 0 } else { time(*id) };
        if self.is_arm(from) {
            let joins = self.joins_of(from);
            return joins.iter().map(|join| self.shortest(*join, time)).min().unwrap_or(0);
        }
        let way = |go: &Go| match go {
            Go::End => 0,
            Go::One(to) => self.shortest(*to, time),
            Go::All(arms, join) => {
                arms.iter().map(own).max().unwrap_or(0) + join.map_or(0, |j| self.shortest(j, time))
            }
            Go::First(arms, join) => {
                arms.iter().map(own).min().unwrap_or(0) + join.map_or(0, |j| self.shortest(j, time))
            }
        };
        let ends = step.next.iter().all(|b| b.test.is_some());
        let ways = step.next.iter().map(|b| way(&b.go));
        ways.chain(ends.then_some(0)).min().unwrap_or(0)
    }

    /// All faults of the plan, each with its step and part.
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut fault = |step: Option<usize>, part, found: String, wanted| {
            faults.push(Fault { step: step.map(StepId), part, found, wanted });
        };
        if self.steps.is_empty() {
            fault(None, Part::Step, "no step".into(), "at least one step \"NAME\" { ... }");
            return faults;
        }
        if self.steps.len() > STEPS_MOST {
            let found = format!("{} steps", self.steps.len());
            fault(None, Part::Step, found, "32 steps at most: a chain is bounded");
            return faults;
        }
        let undos: BTreeSet<StepId> = self.steps.iter().filter_map(|s| s.undo).collect();
        if let Some(at) = self.loops() {
            let found = format!("step \"{}\" leads back to one before it", self.step(at).name);
            fault(Some(at.0), Part::Next, found, "a plan without loops");
            return faults;
        }
        let mut reached = BTreeSet::from([StepId(0)]);
        let mut ahead = vec![StepId(0)];
        while let Some(at) = ahead.pop() {
            ahead.extend(self.leads(at).into_iter().filter(|to| reached.insert(*to)));
        }
        let before = self.always_before();
        for (n, step) in self.steps.iter().enumerate() {
            let id = StepId(n);
            let is_undo = undos.contains(&id);
            if !reached.contains(&id) && !is_undo {
                let found = format!("step \"{}\" that nothing leads to", step.name);
                fault(Some(n), Part::Step, found, "a way to each step");
            }
            if is_undo && reached.contains(&id) {
                let found = format!("step \"{}\" both on the way and as an undo", step.name);
                fault(Some(n), Part::Step, found, "an undo of its own");
            }
            if is_undo && step.effect == RetrySafety::AtMostOnce {
                let found = format!("undo \"{}\" in a run-once workload", step.name);
                fault(Some(n), Part::Step, found, "one that may be repeated until it is done");
            }
            if is_undo && !(step.next.is_empty() && step.or_else.is_empty() && step.undo.is_none()) {
                let found = format!("undo \"{}\" that leads on", step.name);
                fault(Some(n), Part::Next, found, "an undo without next, else or undo");
            }
            if step.undo.is_some() && step.effect == RetrySafety::Idempotent {
                let found = format!("an undo of the idempotent \"{}\"", step.name);
                fault(Some(n), Part::Undo, found, "an undo of a step whose effect lasts");
            }
            let known = |of: StepId| of == id || before[n].contains(&of);
            if let Some(Function::From(of, _)) = step.undo.map(|undo| &self.step(undo).function)
                && !known(*of)
            {
                let found = format!("undo of \"{}\" named by a result that may not be there", step.name);
                fault(Some(n), Part::Undo, found, "a result of this step or of one always before it");
            }
            if let Function::From(of, field) = &step.function
                && !is_undo
                && !before[n].contains(of)
            {
                let found = format!("function from \"{}.{field}\"", self.step(*of).name);
                fault(Some(n), Part::Function, found, "a step that always finishes before this one");
            }
            // An at-most-once step that failed may have run: whoever goes on by running it again assumes a
            // repeat.
            for to in step.or_else.iter().flat_map(|b| b.go.steps()) {
                let other = self.step(to);
                if step.effect == RetrySafety::AtMostOnce
                    && (other.workload, &other.function) == (step.workload, &step.function)
                {
                    let found = format!("\"{}\" repeats the run-once \"{}\"", other.name, step.name);
                    fault(Some(n), Part::OrElse, found, "no repeat of what may have run");
                }
            }
            for (part, branches) in [(Part::Next, &step.next), (Part::OrElse, &step.or_else)] {
                if let Some(at) = branches.iter().position(|b| b.test.is_none())
                    && at + 1 < branches.len()
                {
                    let found = format!("{} branch(es) after one without a test", branches.len() - at - 1);
                    fault(Some(n), part, found, "the one without a test last");
                }
                for branch in branches {
                    if let Go::All(arms, _) | Go::First(arms, _) = &branch.go {
                        if !(2..=ARMS_MOST).contains(&arms.len())
                            || arms.iter().collect::<BTreeSet<_>>().len() != arms.len()
                        {
                            let found = format!("a fork of {} arm(s)", arms.len());
                            fault(Some(n), part, found, "2 to 8 different steps");
                        }
                        for arm in arms.iter().map(|a| self.step(*a)) {
                            if !(arm.next.is_empty() && arm.or_else.is_empty()) {
                                let found = format!("arm \"{}\" that leads on by itself", arm.name);
                                fault(Some(n), part, found, "arms without next or else: the fork has a join");
                            }
                        }
                        if matches!(branch.go, Go::First(..))
                            && let Some(arm) =
                                arms.iter().find(|a| self.step(**a).effect == RetrySafety::AtMostOnce)
                        {
                            let found =
                                format!("run-once \"{}\" among the first of several", self.step(*arm).name);
                            fault(Some(n), part, found, "arms that may run in vain");
                        }
                    }
                }
            }
        }
        let least = self.shortest(StepId(0), &|id| self.step(id).at_least);
        if least > self.limit {
            let found = format!("{} ms at the least, {} ms in all", least / 1000, self.limit / 1000);
            fault(Some(0), Part::AtLeast, found, "a plan that fits its deadline");
        }
        faults.sort();
        faults.dedup();
        faults
    }
}
