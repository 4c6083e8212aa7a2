//! Plans: what a chain of steps may do, as the settings say it.
use applepond::interface::{Micros, RetrySafety};

/// Limit of steps in one plan.
pub(crate) const MAX_STEPS: usize = 32;
/// Limit of arms in one fork: each is a request at the same time.
pub(crate) const MAX_ARMS: usize = 8;

/// A step's place in its plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepId(pub usize);

/// Where the name of a step's function comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Function {
    /// The name itself.
    Named(String),
    /// The attribute of the event that asked for the chain, as the workload names it.
    OfEvent,
    /// A field of an earlier step's result.
    From(StepId, String),
}

/// Where a branch leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// The chain is finished; this step's result is its answer.
    End,
    /// To one step.
    One(StepId),
    /// All of them at once; when all have finished, `join`, or the end with the last one's result.
    All(Vec<StepId>, Option<StepId>),
    /// All of them at once; the first that finishes leads on to `join`, the others are cancelled.
    First(Vec<StepId>, Option<StepId>),
}

impl Target {
    /// All steps that it names, joins included.
    pub fn steps(&self) -> Vec<StepId> {
        match self {
            Target::End => Vec::new(),
            Target::One(to) => vec![*to],
            Target::All(arms, join) | Target::First(arms, join) => arms.iter().chain(join).copied().collect(),
        }
    }
}

/// The condition of a branch: a field of the result has this text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Test {
    /// Name of the field.
    pub field: String,
    /// The text that it must have.
    pub is: String,
}

/// One way on from a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch {
    /// None: taken whatever the result is.
    pub test: Option<Test>,
    /// Where it leads.
    pub target: Target,
}

/// One request of a chain.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Its name in the settings.
    pub name: String,
    /// Index of the workload that its requests belong to.
    pub workload: usize,
    /// Whether it may run more than once.
    pub effect: RetrySafety,
    /// The function that it runs.
    pub function: Function,
    /// µs that it is taken to need as long as nothing has been learned.
    pub at_least: Micros,
    /// May be left out when time runs short, and may fail.
    pub optional: bool,
    /// The step that undoes it when the chain fails after it.
    pub undo: Option<StepId>,
    /// Ways on after it has finished: the first whose test holds is taken; where none does, the chain is
    /// finished.
    pub next: Vec<Branch>,
    /// Ways on after a failure; where no test holds, the chain has failed.
    pub or_else: Vec<Branch>,
}

/// A workflow: its steps and the ways between them.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Its name in the settings.
    pub name: String,
    /// µs that a chain has at most.
    pub limit: Micros,
    /// The steps; a chain begins with the first.
    pub steps: Vec<Step>,
}

/// The part of a step that a fault lies in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepPart {
    /// The step itself, or the plan.
    Step,
    /// The name of its function.
    Function,
    /// Its undo.
    Undo,
    /// Ways on after it has finished.
    Next,
    /// Ways on after it has failed.
    OrElse,
    /// The time that it needs.
    AtLeast,
}

/// Why a plan is not valid.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanFault {
    /// None: the plan as a whole.
    pub step: Option<StepId>,
    /// The part of the step.
    pub part: StepPart,
    /// What stands there.
    pub found: String,
    /// What has to stand there.
    pub wanted: &'static str,
}

impl Step {
    /// All ways on, after success and after failure.
    pub(crate) fn branches(&self) -> impl Iterator<Item = &Branch> {
        self.next.iter().chain(&self.or_else)
    }
}

impl Plan {
    /// The step of this id.
    ///
    /// # Panics
    /// If the id is of another plan.
    pub fn step(&self, id: StepId) -> &Step {
        &self.steps[id.0]
    }

    /// Joins of the forks that this step is an arm of.
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

    /// Whether a step is an arm of a fork: what it leads to is the fork's join alone.
    fn is_arm(&self, id: StepId) -> bool {
        self.steps.iter().flat_map(Step::branches).any(|branch| {
            matches!(&branch.target, Target::All(arms, _) | Target::First(arms, _) if arms.contains(&id))
        })
    }

    /// µs from a step's beginning to the end of the chain on the shortest way, each step taking `time`;
    /// optional steps take none. The plan has no loops.
    pub fn shortest(&self, from: StepId, time: &dyn Fn(StepId) -> Micros) -> Micros {
        self.own_time(from, time) + self.shortest_after(from, time)
    }

    /// The same from a step's end on.
    pub fn shortest_after(&self, from: StepId, time: &dyn Fn(StepId) -> Micros) -> Micros {
        if self.is_arm(from) {
            let joins = self.joins_of(from);
            return joins.iter().map(|join| self.shortest(*join, time)).min().unwrap_or(0);
        }
        let next = &self.step(from).next;
        let may_end = next.iter().all(|branch| branch.test.is_some());
        let ways = next.iter().map(|branch| self.shortest_way(&branch.target, time));
        ways.chain(may_end.then_some(0)).min().unwrap_or(0)
    }

    /// µs of the shortest way that a branch leads to.
    fn shortest_way(&self, target: &Target, time: &dyn Fn(StepId) -> Micros) -> Micros {
        let join_time = |join: &Option<StepId>| join.map_or(0, |join| self.shortest(join, time));
        match target {
            Target::End => 0,
            Target::One(to) => self.shortest(*to, time),
            Target::All(arms, join) => {
                arms.iter().map(|arm| self.own_time(*arm, time)).max().unwrap_or(0) + join_time(join)
            }
            Target::First(arms, join) => {
                arms.iter().map(|arm| self.own_time(*arm, time)).min().unwrap_or(0) + join_time(join)
            }
        }
    }

    /// µs of one step, which may be left out if it is optional.
    fn own_time(&self, id: StepId, time: &dyn Fn(StepId) -> Micros) -> Micros {
        if self.step(id).optional { 0 } else { time(id) }
    }
}
