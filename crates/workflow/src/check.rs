//! Validation of a plan before it is run.
use crate::plan::{Branch, Function, MAX_ARMS, MAX_STEPS, Plan, PlanFault, Step, StepId, StepPart, Target};
use applepond::interface::RetrySafety;
use std::collections::BTreeSet;

impl Plan {
    /// All faults of the plan, each with its step and part. A plan without faults may be run.
    pub fn check(&self) -> Vec<PlanFault> {
        let mut check = Check { plan: self, faults: Vec::new() };
        if self.steps.is_empty() {
            check.report(None, StepPart::Step, "no step".into(), "at least one step \"NAME\" { ... }");
        } else if self.steps.len() > MAX_STEPS {
            let found = format!("{} steps", self.steps.len());
            check.report(None, StepPart::Step, found, "at most 32 steps");
        } else if let Some(step) = self.step_of_a_cycle() {
            let found = format!("step \"{}\" leads back to an earlier step", self.step(step).name);
            check.report(Some(step), StepPart::Next, found, "a plan without cycles");
        } else {
            check.check_steps();
            check.check_time();
        }
        check.faults.sort();
        check.faults.dedup();
        check.faults
    }

    /// Steps that can follow a step, undos excluded.
    fn successors(&self, id: StepId) -> BTreeSet<StepId> {
        let mut successors: BTreeSet<StepId> =
            self.step(id).branches().flat_map(|branch| branch.target.steps()).collect();
        // An arm has no branches of its own: it is followed by the join of its fork.
        successors.extend(self.joins_of(id));
        successors
    }

    /// Steps that can be reached from the first one.
    fn reachable(&self) -> BTreeSet<StepId> {
        let mut reached = BTreeSet::from([StepId(0)]);
        let mut pending = vec![StepId(0)];
        while let Some(step) = pending.pop() {
            pending.extend(self.successors(step).into_iter().filter(|to| reached.insert(*to)));
        }
        reached
    }

    /// Finds a step that leads back to an earlier one, by depth-first search.
    fn step_of_a_cycle(&self) -> Option<StepId> {
        self.search_cycle(StepId(0), &mut vec![Visit::Unseen; self.steps.len()])
    }

    fn search_cycle(&self, step: StepId, visits: &mut [Visit]) -> Option<StepId> {
        visits[step.0] = Visit::OnPath;
        for to in self.successors(step) {
            if visits[to.0] == Visit::OnPath {
                return Some(step);
            }
            if visits[to.0] == Visit::Unseen
                && let Some(found) = self.search_cycle(to, visits)
            {
                return Some(found);
            }
        }
        visits[step.0] = Visit::Done;
        None
    }

    /// For each step, the steps that have finished on every path to it, so that their results are available.
    /// A failed step has no result, so it is counted on paths through `next` only. The algorithm is the
    /// iterative one for dominators.
    fn always_before(&self) -> Vec<BTreeSet<StepId>> {
        let all: BTreeSet<StepId> = (0..self.steps.len()).map(StepId).collect();
        let mut before = vec![all; self.steps.len()];
        before[0] = BTreeSet::new();
        let edges = self.edges();
        // Terminates, as the sets only shrink.
        let mut changed = true;
        while changed {
            changed = false;
            for (index, old) in before.clone().into_iter().enumerate().skip(1) {
                let into = edges.iter().filter(|edge| edge.to.0 == index);
                let sets = into.map(|edge| &before[edge.from.0] | &edge.finished);
                let Some(set) = sets.reduce(|one, other| &one & &other) else { continue };
                if set != old {
                    before[index] = set;
                    changed = true;
                }
            }
        }
        before
    }

    fn edges(&self) -> Vec<Edge> {
        let mut edges = Vec::new();
        for (index, step) in self.steps.iter().enumerate() {
            let from = StepId(index);
            for branch in &step.next {
                let finished = if step.optional { BTreeSet::new() } else { BTreeSet::from([from]) };
                self.add_edges(from, &branch.target, finished, &mut edges);
            }
            for branch in &step.or_else {
                self.add_edges(from, &branch.target, BTreeSet::new(), &mut edges);
            }
        }
        edges
    }

    fn add_edges(&self, from: StepId, target: &Target, finished: BTreeSet<StepId>, edges: &mut Vec<Edge>) {
        match target {
            Target::End => {}
            Target::One(to) => edges.push(Edge { from, to: *to, finished }),
            Target::All(arms, join) | Target::First(arms, join) => {
                edges.extend(arms.iter().map(|arm| Edge { from, to: *arm, finished: finished.clone() }));
                let Some(join) = join else { return };
                let mut finished = finished;
                if matches!(target, Target::All(..)) {
                    finished.extend(arms.iter().filter(|arm| !self.step(**arm).optional));
                }
                edges.push(Edge { from, to: *join, finished });
            }
        }
    }
}

/// State of a step in the search for cycles.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Visit {
    Unseen,
    OnPath,
    Done,
}

/// A transition from one step to another.
struct Edge {
    from: StepId,
    to: StepId,
    /// Steps that have certainly finished when the transition is taken, besides those that finished before
    /// `from`.
    finished: BTreeSet<StepId>,
}

/// State of the validation.
struct Check<'a> {
    plan: &'a Plan,
    faults: Vec<PlanFault>,
}

impl Check<'_> {
    fn report(&mut self, step: Option<StepId>, part: StepPart, found: String, wanted: &'static str) {
        self.faults.push(PlanFault { step, part, found, wanted });
    }

    fn check_steps(&mut self) {
        let plan = self.plan;
        let undos: BTreeSet<StepId> = plan.steps.iter().filter_map(|step| step.undo).collect();
        let reachable = plan.reachable();
        let before = plan.always_before();
        for (index, step) in plan.steps.iter().enumerate() {
            let id = StepId(index);
            let is_undo = undos.contains(&id);
            if is_undo {
                self.check_undo(id, step, reachable.contains(&id));
            } else if !reachable.contains(&id) {
                let found = format!("unreachable step \"{}\"", step.name);
                self.report(Some(id), StepPart::Step, found, "a path from the first step to each other step");
            }
            self.check_its_undo(id, step, &before[index]);
            if !is_undo {
                self.check_function(id, step, &before[index]);
            }
            self.check_repeats(id, step);
            self.check_branches(id, StepPart::Next, &step.next);
            self.check_branches(id, StepPart::OrElse, &step.or_else);
        }
    }

    /// Checks a step that is the undo of another one.
    fn check_undo(&mut self, id: StepId, step: &Step, reachable: bool) {
        if reachable {
            let found = format!("step \"{}\" both as an undo and as an ordinary step", step.name);
            self.report(Some(id), StepPart::Step, found, "a separate step for the undo");
        }
        if step.effect == RetrySafety::AtMostOnce {
            let found = format!("undo \"{}\" in a run-once workload", step.name);
            self.report(Some(id), StepPart::Step, found, "an undo that may be repeated until it succeeds");
        }
        if !(step.next.is_empty() && step.or_else.is_empty() && step.undo.is_none()) {
            let found = format!("undo \"{}\" with next, else or undo", step.name);
            self.report(Some(id), StepPart::Next, found, "an undo without next, else or undo");
        }
    }

    /// Checks the undo that a step names; `before` are the steps that have finished before the step.
    fn check_its_undo(&mut self, id: StepId, step: &Step, before: &BTreeSet<StepId>) {
        let Some(undo) = step.undo else { return };
        if step.effect == RetrySafety::Idempotent {
            let found = format!("undo of the idempotent step \"{}\"", step.name);
            self.report(Some(id), StepPart::Undo, found, "undos only for steps with a lasting effect");
        }
        if let Function::From(source, _) = &self.plan.step(undo).function
            && *source != id
            && !before.contains(source)
        {
            let found =
                format!("undo of \"{}\" with a function from a result that may be missing", step.name);
            self.report(
                Some(id),
                StepPart::Undo,
                found,
                "a result of this step or of one that always finishes before it",
            );
        }
    }

    fn check_function(&mut self, id: StepId, step: &Step, before: &BTreeSet<StepId>) {
        if let Function::From(source, field) = &step.function
            && !before.contains(source)
        {
            let found = format!("function from \"{}.{field}\"", self.plan.step(*source).name);
            self.report(Some(id), StepPart::Function, found, "a step that always finishes before this one");
        }
    }

    /// An at-most-once step that failed may have run, so its `else` branches must not repeat the same
    /// request.
    fn check_repeats(&mut self, id: StepId, step: &Step) {
        if step.effect != RetrySafety::AtMostOnce {
            return;
        }
        for to in step.or_else.iter().flat_map(|branch| branch.target.steps()) {
            let other = self.plan.step(to);
            if other.workload == step.workload && other.function == step.function {
                let found =
                    format!("step \"{}\" that repeats the run-once step \"{}\"", other.name, step.name);
                self.report(Some(id), StepPart::OrElse, found, "no repetition of a step that may have run");
            }
        }
    }

    fn check_branches(&mut self, id: StepId, part: StepPart, branches: &[Branch]) {
        if let Some(index) = branches.iter().position(|branch| branch.test.is_none())
            && index + 1 < branches.len()
        {
            let found = format!("{} branch(es) after an unconditional one", branches.len() - index - 1);
            self.report(Some(id), part, found, "the unconditional branch last");
        }
        for branch in branches {
            self.check_fork(id, part, &branch.target);
        }
    }

    fn check_fork(&mut self, id: StepId, part: StepPart, target: &Target) {
        let plan = self.plan;
        let (Target::All(arms, _) | Target::First(arms, _)) = target else { return };
        let distinct: BTreeSet<&StepId> = arms.iter().collect();
        if !(2..=MAX_ARMS).contains(&arms.len()) || distinct.len() != arms.len() {
            let found = format!("a fork of {} arm(s)", arms.len());
            self.report(Some(id), part, found, "2 to 8 different steps");
        }
        for arm in arms.iter().map(|arm| plan.step(*arm)) {
            if !(arm.next.is_empty() && arm.or_else.is_empty()) {
                let found = format!("arm \"{}\" with next or else", arm.name);
                self.report(Some(id), part, found, "arms without next or else: a fork continues at its join");
            }
        }
        let mut arm_steps = arms.iter().map(|arm| plan.step(*arm));
        if matches!(target, Target::First(..))
            && let Some(arm) = arm_steps.find(|arm| arm.effect == RetrySafety::AtMostOnce)
        {
            let found = format!("run-once step \"{}\" as an arm of a first fork", arm.name);
            self.report(Some(id), part, found, "arms that may be cancelled after they have started");
        }
    }

    fn check_time(&mut self) {
        let plan = self.plan;
        let least = plan.shortest_time(StepId(0), &|id| plan.step(id).at_least);
        if least > plan.limit {
            let found = format!("at least {} ms for a time limit of {} ms", least / 1000, plan.limit / 1000);
            self.report(Some(StepId(0)), StepPart::AtLeast, found, "a plan that fits its time limit");
        }
    }
}
