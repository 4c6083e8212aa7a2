//! Workflows in progress. Each step is a request of its own that no client waits for; its end is handed to
//! the workflow, whose [`Run`] decides what comes next and gives it as commands ([`Do`]).
//!
//! A workflow with steps that are not idempotent is stored before such a step is sent and before it is
//! answered as finished, so that a restart neither repeats nor forgets what may have run.
//!
//! Owned here: the active workflows, what waits to be stored, and the estimates that admit new ones. Where to
//! look, by event:
//! - an event starts a workflow: `intake`; the instance starts: `recovery`;
//! - a step or an undo ends: `steps`;
//! - a turn ends with something to store, or the store's timer fires: `store`;
//! - the run says how the workflow ended: `completion`.
use super::Gateway;
use crate::client::Answer;
use crate::idempotency::{FinalOutcome, IdempotencyKey};
use applepond::interface::{CustomerId, FunctionId, Micros, RequestId};
use applepond_http::encode::HeaderLines;
use applepond_reactor::{Conn, Transport};
use applepond_storage::{MemoryStore, WorkflowRecord, WorkflowStore};
use applepond_workflow::run::Needs;
use applepond_workflow::{Do, Ended, How, Pace, Run, Step, StepId, Times, Why};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

mod completion;
mod intake;
mod plan_digest;
mod recovery;
mod steps;
mod store;

/// How the request of a step ended.
pub(super) struct StepEnd {
    pub(super) answer: Rc<Answer>,
    /// Time from its start to its end.
    pub(super) duration: Micros,
    /// The copy that answered was loaded when the request came to it.
    pub(super) was_loaded: bool,
}

/// What to do when the request of a step has ended.
pub(super) type OnStepEnd = Box<dyn FnOnce(&mut Gateway, Micros, &mut dyn Transport, StepEnd)>;

/// A step whose request has ended, until its workflow takes it up.
pub(super) struct EndedStep {
    pub(super) on_end: OnStepEnd,
    pub(super) end: StepEnd,
}

/// A workflow that was accepted in this turn, with its first commands.
pub(super) struct StartedWorkflow {
    pub(super) request: RequestId,
    pub(super) commands: Vec<Do>,
}

/// The step that finished last, with what it answered.
struct FinishedStep {
    step: StepId,
    answer: Rc<Answer>,
}

/// One workflow, until its last step and its last undo have ended.
pub(super) struct ActiveWorkflow {
    key: IdempotencyKey,
    /// Digest of the client that sent it first; 0 where nobody waits since a restart.
    client_digest: u64,
    /// Digest of its key; 0 where nobody waits since a restart.
    digest: u64,
    customer: Option<CustomerId>,
    arrived_at: Micros,
    /// The client has tried before.
    is_retry: bool,
    /// The state machine of its plan.
    run: Run,
    /// Clients that wait for its answer.
    pub(super) clients: Vec<Conn>,
    /// Requests of the steps in flight.
    in_flight: BTreeMap<StepId, RequestId>,
    /// What other steps answered is in `stored`.
    last_finished: Option<FinishedStep>,
    /// The wait that the last rejected step was told.
    retry_after: Option<Micros>,
    /// Header fields, media type and data that each step's event takes over.
    fields: HeaderLines,
    media_type: Option<String>,
    data: Rc<Vec<u8>>,
    /// Undos that have not finished.
    pending_undos: usize,
    /// Steps sent since the workflow was started here.
    sent_steps: u64,
    /// What the store has of it, or will have after the next write.
    stored: WorkflowRecord,
    /// A step with an effect was sent: from then on it is in the store.
    is_stored: bool,
    is_answered: bool,
}

impl ActiveWorkflow {
    /// What a step that finished answered: as it came, or as it is stored.
    fn answer_of(&self, step: StepId) -> Option<(HeaderLines, Vec<u8>)> {
        if let Some(finished) = self.last_finished.as_ref().filter(|finished| finished.step == step) {
            return Some((finished.answer.fields.clone(), finished.answer.body.clone()));
        }
        let end = self.stored.steps.get(&(step.0 as u32))?.outcome.as_ref()?;
        end.response
            .as_ref()
            .map(|answer| (HeaderLines::from_bytes(answer.header_lines.clone()), answer.body.clone()))
    }

    /// Its run has ended, nothing of it is in flight, and nothing is left to undo.
    fn is_done(&self) -> bool {
        self.run.has_ended().is_some() && self.pending_undos == 0 && self.in_flight.is_empty()
    }
}

/// A step with an effect that waits to be stored before it is sent.
struct UnsentStep {
    request: RequestId,
    step: StepId,
    function: String,
    /// When its request's answer is due.
    deadline: Micros,
}

/// A workflow that has finished and waits to be stored before it is answered.
struct UnansweredWorkflow {
    request: RequestId,
    ended: Ended,
}

/// Counts since the start.
#[derive(Default)]
struct Counters {
    accepted: u64,
    finished: u64,
    rejected: u64,
    failed: u64,
    /// Rejected as their steps cannot finish in the time left.
    rejected_for_time: u64,
    /// Rejected as more were accepted than come to their end.
    rejected_for_pace: u64,
    steps: u64,
    undos: u64,
    /// Taken up from the store with steps that may have run.
    recorded_steps: u64,
    writes: u64,
    failed_writes: u64,
}

impl Counters {
    fn count_end(&mut self, ended: Ended) {
        match ended {
            Ended::Finished(_) => self.finished += 1,
            Ended::PushedBack(_, why) => {
                self.rejected += 1;
                self.rejected_for_time += u64::from(why == Why::NoTime);
            }
            Ended::Failed(..) => self.failed += 1,
        }
    }
}

/// All workflows of a gateway.
pub(super) struct Workflows {
    /// By the id that stands for a workflow where a request's id does.
    pub(super) active: BTreeMap<RequestId, ActiveWorkflow>,
    /// Steps that have ended; taken up one after the other, not from within each other.
    pub(super) ended_steps: VecDeque<EndedStep>,
    /// Workflows that were accepted in this turn.
    pub(super) started: VecDeque<StartedWorkflow>,
    /// How long functions take, for deciding whether a step can finish in time.
    times: Times,
    /// How many new workflows may start.
    pace: Pace,
    counters: Counters,
    pub(super) store: Box<dyn WorkflowStore>,
    /// Steps that are sent after the next write.
    unsent: Vec<UnsentStep>,
    /// Workflows that are answered after the next write.
    unanswered: Vec<UnansweredWorkflow>,
    /// Workflows whose stored form is out of date; a timer is set for them.
    unwritten: BTreeSet<RequestId>,
    /// That timer is set.
    write_scheduled: bool,
}

impl Workflows {
    /// No workflows yet. `cache_lifetime` is how long a worker keeps an idle function loaded.
    pub(super) fn new(cache_lifetime: Micros) -> Self {
        Workflows {
            active: BTreeMap::new(),
            ended_steps: VecDeque::new(),
            started: VecDeque::new(),
            times: Times::new(cache_lifetime),
            pace: Pace::default(),
            counters: Counters::default(),
            store: Box::new(MemoryStore::default()),
            unsent: Vec::new(),
            unanswered: Vec::new(),
            unwritten: BTreeSet::new(),
            write_scheduled: false,
        }
    }

    /// Drops those of the workflows that are answered and whose stored form is closed.
    fn drop_closed(&mut self, requests: &BTreeSet<RequestId>) {
        for request in requests {
            let workflow = self.active.get(request);
            if workflow.is_some_and(|workflow| workflow.stored.closed && workflow.is_answered) {
                self.active.remove(request);
            }
        }
    }

    /// The part of the state page about workflows.
    pub(super) fn state(&self) -> serde_json::Value {
        let counters = &self.counters;
        serde_json::json!({"open": self.active.len(), "taken": counters.accepted,
            "finished": counters.finished, "pushed-back": counters.rejected, "failed": counters.failed,
            "refused-for-time": counters.rejected_for_time, "held-back": counters.rejected_for_pace,
            "allowed-per-s": self.pace.allowed(), "steps": counters.steps, "undos": counters.undos,
            "functions-known": self.times.known(),
            "record": {"resumed": counters.recorded_steps, "writes": counters.writes,
                "not-written": counters.failed_writes}})
    }
}

/// What the end of a step's request means for its workflow.
fn step_outcome(outcome: FinalOutcome) -> How {
    match outcome {
        FinalOutcome::Finished => How::Finished,
        FinalOutcome::Rejected => How::NeverRan,
        FinalOutcome::Failed => How::MayHaveRun,
    }
}

/// A field of a step's result as text, if the result is a JSON object that has it as a string, a number or a
/// boolean.
fn result_field(body: &[u8], name: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    match value.get(name)? {
        serde_json::Value::String(text) => Some(text.clone()),
        serde_json::Value::Number(number) => Some(number.to_string()),
        serde_json::Value::Bool(mark) => Some(mark.to_string()),
        _ => None,
    }
}

impl Gateway {
    /// Lets a workflow's run decide, with the time that its steps need as it is estimated now. Gives the
    /// default where the workflow is not active any more.
    fn with_run<T: Default>(
        &mut self,
        now: Micros,
        request: RequestId,
        decide: impl FnOnce(&mut Run, Needs<'_>) -> T,
    ) -> T {
        let Some(workflow) = self.workflows.active.get_mut(&request) else { return T::default() };
        let times = &self.workflows.times;
        let functions = &self.deployment.functions;
        let workloads = &self.deployment.workloads;
        let needed_time = |step: &Step, function: &str, _ahead: Micros| {
            let defaults = &workloads[step.workload].default_function;
            let config = functions.get(function).unwrap_or(defaults);
            let id = FunctionId::named(function);
            times.usual(id, step.at_least) + times.load(now, id, config.load_time)
        };
        decide(&mut workflow.run, &needed_time)
    }
}
