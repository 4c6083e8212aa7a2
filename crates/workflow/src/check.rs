//! Validation of a plan as a whole, before any chain is run by it.
use crate::plan::{Branch, Function, MAX_ARMS, MAX_STEPS, Plan, PlanFault, Step, StepId, StepPart, Target};
use applepond::interface::RetrySafety;
use std::collections::BTreeSet;

impl Plan {
    /// All faults of the plan, each with its step and part; none where chains may be run by it.
    pub fn check(&self) -> Vec<PlanFault> {
        let mut check = Check { plan: self, faults: Vec::new() };
        if self.steps.is_empty() {
            check.report(None, StepPart::Step, "no step".into(), "at least one step \"NAME\" { ... }");
        } else if self.steps.len() > MAX_STEPS {
            let found = format!("{} steps", self.steps.len());
            check.report(None, StepPart::Step, found, "32 steps at most: a chain is bounded");
        } else if let Some(step) = self.step_of_a_cycle() {
            let found = format!("step \"{}\" leads back to one before it", self.step(step).name);
            check.report(Some(step), StepPart::Next, found, "a plan without loops");
        } else {
            check.check_steps();
            check.check_time();
        }
        check.faults.sort();
        check.faults.dedup();
        check.faults
    }

    /// Where a step can lead, undos aside.
    fn successors(&self, id: StepId) -> BTreeSet<StepId> {
        let mut successors: BTreeSet<StepId> =
            self.step(id).branches().flat_map(|branch| branch.target.steps()).collect();
        // What leads from an arm on is its fork's join.
        successors.extend(self.joins_of(id));
        successors
    }

    /// The steps that chains can come to.
    fn reachable(&self) -> BTreeSet<StepId> {
        let mut reached = BTreeSet::from([StepId(0)]);
        let mut ahead = vec![StepId(0)];
        while let Some(step) = ahead.pop() {
            ahead.extend(self.successors(step).into_iter().filter(|to| reached.insert(*to)));
        }
        reached
    }

    /// A step that leads back to one before it, by depth-first search.
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

    /// For each step, the steps on every way to it from the beginning: their results are there for certain. A
    /// failed one has no result, so that only ways through `next` count.
    fn always_before(&self) -> Vec<BTreeSet<StepId>> {
        let all: BTreeSet<StepId> = (0..self.steps.len()).map(StepId).collect();
        let mut before = vec![all; self.steps.len()];
        before[0] = BTreeSet::new();
        let edges = self.edges();
        // Sets only shrink, so that this comes to an end.
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

/// One way from a step to another.
struct Edge {
    from: StepId,
    to: StepId,
    /// The steps that have certainly finished once it is taken, besides those before `from`.
    finished: BTreeSet<StepId>,
}

/// A check under way.
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
                let found = format!("step \"{}\" that nothing leads to", step.name);
                self.report(Some(id), StepPart::Step, found, "a way to each step");
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

    /// A step that takes back another one.
    fn check_undo(&mut self, id: StepId, step: &Step, reachable: bool) {
        if reachable {
            let found = format!("step \"{}\" both on the way and as an undo", step.name);
            self.report(Some(id), StepPart::Step, found, "an undo of its own");
        }
        if step.effect == RetrySafety::AtMostOnce {
            let found = format!("undo \"{}\" in a run-once workload", step.name);
            self.report(Some(id), StepPart::Step, found, "one that may be repeated until it is done");
        }
        if !(step.next.is_empty() && step.or_else.is_empty() && step.undo.is_none()) {
            let found = format!("undo \"{}\" that leads on", step.name);
            self.report(Some(id), StepPart::Next, found, "an undo without next, else or undo");
        }
    }

    /// The undo that a step names; `before` are the steps that have finished before it.
    fn check_its_undo(&mut self, id: StepId, step: &Step, before: &BTreeSet<StepId>) {
        let Some(undo) = step.undo else { return };
        if step.effect == RetrySafety::Idempotent {
            let found = format!("an undo of the idempotent \"{}\"", step.name);
            self.report(Some(id), StepPart::Undo, found, "an undo of a step whose effect lasts");
        }
        if let Function::From(source, _) = &self.plan.step(undo).function
            && *source != id
            && !before.contains(source)
        {
            let found = format!("undo of \"{}\" named by a result that may not be there", step.name);
            self.report(Some(id), StepPart::Undo, found, "a result of this step or of one always before it");
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

    /// An at-most-once step that failed may have run: whoever goes on by running it again assumes a repeat.
    fn check_repeats(&mut self, id: StepId, step: &Step) {
        if step.effect != RetrySafety::AtMostOnce {
            return;
        }
        for to in step.or_else.iter().flat_map(|branch| branch.target.steps()) {
            let other = self.plan.step(to);
            if other.workload == step.workload && other.function == step.function {
                let found = format!("\"{}\" repeats the run-once \"{}\"", other.name, step.name);
                self.report(Some(id), StepPart::OrElse, found, "no repeat of what may have run");
            }
        }
    }

    fn check_branches(&mut self, id: StepId, part: StepPart, branches: &[Branch]) {
        if let Some(index) = branches.iter().position(|branch| branch.test.is_none())
            && index + 1 < branches.len()
        {
            let found = format!("{} branch(es) after one without a test", branches.len() - index - 1);
            self.report(Some(id), part, found, "the one without a test last");
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
                let found = format!("arm \"{}\" that leads on by itself", arm.name);
                self.report(Some(id), part, found, "arms without next or else: the fork has a join");
            }
        }
        let mut arm_steps = arms.iter().map(|arm| plan.step(*arm));
        if matches!(target, Target::First(..))
            && let Some(arm) = arm_steps.find(|arm| arm.effect == RetrySafety::AtMostOnce)
        {
            let found = format!("run-once \"{}\" among the first of several", arm.name);
            self.report(Some(id), part, found, "arms that may run in vain");
        }
    }

    fn check_time(&mut self) {
        let plan = self.plan;
        let least = plan.shortest(StepId(0), &|id| plan.step(id).at_least);
        if least > plan.limit {
            let found = format!("{} ms at the least, {} ms in all", least / 1000, plan.limit / 1000);
            self.report(Some(StepId(0)), StepPart::AtLeast, found, "a plan that fits its deadline");
        }
    }
}
