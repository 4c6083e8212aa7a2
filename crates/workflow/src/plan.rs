//! Plans: the steps of a workflow and the transitions between them, as defined in the settings.
use applepond::interface::{Micros, RetrySafety};

/// Maximum number of steps in a plan.
pub(crate) const MAX_STEPS: usize = 32;
/// Maximum number of arms of a fork: each is a concurrent request.
pub(crate) const MAX_ARMS: usize = 8;

/// Index of a step in its plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepId(pub usize);

/// Where the name of a step's function comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Function {
    /// A fixed name.
    Named(String),
    /// An attribute of the event that started the workflow, as configured for the workflow.
    OfEvent,
    /// A field of an earlier step's result.
    From(StepId, String),
}

/// Where the workflow continues after a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// The workflow is finished; the result of this step is its response.
    End,
    /// One step.
    One(StepId),
    /// All arms concurrently. When all have finished, the step `join`; without one the workflow is finished
    /// with the result of the arm that finished last.
    All(Vec<StepId>, Option<StepId>),
    /// All arms concurrently. When the first has finished, the others are cancelled and the workflow
    /// continues with `join`.
    First(Vec<StepId>, Option<StepId>),
}

impl Target {
    /// All steps named by the target, including the join.
    pub fn steps(&self) -> Vec<StepId> {
        match self {
            Target::End => Vec::new(),
            Target::One(to) => vec![*to],
            Target::All(arms, join) | Target::First(arms, join) => arms.iter().chain(join).copied().collect(),
        }
    }
}

/// Condition of a branch: a field of the result has a given value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Test {
    /// Name of the field of the result.
    pub field: String,
    /// The required value.
    pub is: String,
}

/// A possible transition from a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch {
    /// `None` for an unconditional branch.
    pub test: Option<Test>,
    /// Where the workflow continues.
    pub target: Target,
}

/// One request of a workflow.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Name of the step in the settings.
    pub name: String,
    /// Index of the workload of its requests.
    pub workload: usize,
    /// Whether it may run more than once.
    pub effect: RetrySafety,
    /// The function that the step calls.
    pub function: Function,
    /// Estimated execution time in µs, used until the function's time has been learned.
    pub at_least: Micros,
    /// Whether the step may fail, and may be skipped when time is short.
    pub optional: bool,
    /// The step that undoes this one if the workflow fails later.
    pub undo: Option<StepId>,
    /// Branches after success: the first whose condition holds is taken. If none does, the workflow is
    /// finished.
    pub next: Vec<Branch>,
    /// Branches after a failure: the first whose condition holds is taken. If none does, the workflow has
    /// failed.
    pub or_else: Vec<Branch>,
}

/// A workflow: its steps and the transitions between them.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Name of the workflow in the settings.
    pub name: String,
    /// Maximum duration of a run, in µs.
    pub limit: Micros,
    /// The steps; a run begins with the first.
    pub steps: Vec<Step>,
}

/// The part of a step that a fault lies in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepPart {
    /// The step as a whole, or the plan.
    Step,
    /// The function of the step.
    Function,
    /// The undo of the step.
    Undo,
    /// Branches after success.
    Next,
    /// Branches after a failure.
    OrElse,
    /// The estimated execution time.
    AtLeast,
}

/// A fault that makes a plan invalid.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanFault {
    /// The step with the fault; `None` for the plan as a whole.
    pub step: Option<StepId>,
    /// The part of the step with the fault.
    pub part: StepPart,
    /// What the plan contains.
    pub found: String,
    /// What it has to contain.
    pub wanted: &'static str,
}

impl Step {
    /// All branches, after success and after a failure.
    pub(crate) fn branches(&self) -> impl Iterator<Item = &Branch> {
        self.next.iter().chain(&self.or_else)
    }
}

impl Plan {
    /// The step with this id.
    ///
    /// # Panics
    /// If the plan has no step with this id.
    pub fn step(&self, id: StepId) -> &Step {
        &self.steps[id.0]
    }

    /// Joins of the forks of which this step is an arm.
    pub(crate) fn joins_of(&self, id: StepId) -> Vec<StepId> {
        let branches = self.steps.iter().flat_map(Step::branches);
        let join = |branch: &Branch| match &branch.target {
            Target::All(arms, Some(join)) | Target::First(arms, Some(join)) if arms.contains(&id) => {
                Some(*join)
            }
            _ => None,
        };
        branches.filter_map(join).collect()
    }

    /// Whether a step is an arm of a fork, after which the workflow continues with the join of the fork
    /// only.
    fn is_arm(&self, id: StepId) -> bool {
        self.steps.iter().flat_map(Step::branches).any(|branch| {
            matches!(&branch.target, Target::All(arms, _) | Target::First(arms, _) if arms.contains(&id))
        })
    }

    /// Time in µs on the shortest path from the start of a step to the end of the workflow, if each step
    /// takes `time` and optional steps are skipped. The plan must have no cycles.
    pub fn shortest_time(&self, from: StepId, time: &dyn Fn(StepId) -> Micros) -> Micros {
        self.required_time(from, time) + self.shortest_time_after(from, time)
    }

    /// The same from the end of a step.
    pub fn shortest_time_after(&self, from: StepId, time: &dyn Fn(StepId) -> Micros) -> Micros {
        if self.is_arm(from) {
            let joins = self.joins_of(from);
            return joins.iter().map(|join| self.shortest_time(*join, time)).min().unwrap_or(0);
        }
        let next = &self.step(from).next;
        let may_end = next.iter().all(|branch| branch.test.is_some());
        let times = next.iter().map(|branch| self.shortest_time_of_target(&branch.target, time));
        times.chain(may_end.then_some(0)).min().unwrap_or(0)
    }

    /// Time in µs on the shortest path through a target.
    fn shortest_time_of_target(&self, target: &Target, time: &dyn Fn(StepId) -> Micros) -> Micros {
        let join_time = |join: &Option<StepId>| join.map_or(0, |join| self.shortest_time(join, time));
        match target {
            Target::End => 0,
            Target::One(to) => self.shortest_time(*to, time),
            Target::All(arms, join) => {
                arms.iter().map(|arm| self.required_time(*arm, time)).max().unwrap_or(0) + join_time(join)
            }
            Target::First(arms, join) => {
                arms.iter().map(|arm| self.required_time(*arm, time)).min().unwrap_or(0) + join_time(join)
            }
        }
    }

    /// Time in µs of a step itself; none if it is optional and may be skipped.
    fn required_time(&self, id: StepId, time: &dyn Fn(StepId) -> Micros) -> Micros {
        if self.step(id).optional { 0 } else { time(id) }
    }
}
