//! Workflows in progress. Each step is a separate request without a waiting client. Its end is passed to the
//! workflow's [`Run`], which decides what to do next and returns it as commands ([`Command`]).
//!
//! A workflow with a step that is not idempotent is stored before that step is sent, and again before the
//! workflow is answered as finished, so that a restart neither repeats nor forgets steps that may have run.
//!
//! State: the active workflows, those waiting to be written to the store, and the estimates used to admit new
//! ones. Modules by event:
//! - an event starts a workflow: `intake`; the instance starts: `recovery`;
//! - a step ends: `steps`; an undo ends: `undos`; the keys of their events: `step_key`;
//! - a turn of the event loop ends with unwritten changes, or the store's timer fires: `store`;
//! - the run ends: `completion`.
use super::Gateway;
use crate::client::Answer;
use crate::idempotency::{FinalOutcome, IdempotencyKey};
use applepond::interface::{CustomerId, FunctionId, Micros, RequestId};
use applepond_http::encode::HeaderLines;
use applepond_reactor::{ConnectionId, Transport};
use applepond_storage::{MemoryStore, WorkflowRecord, WorkflowStore};
use applepond_workflow::run::StepTimes;
use applepond_workflow::{
    Command, FailureReason, Run, RunLimiter, RunOutcome, Step, StepId, StepStatus, TimeEstimates,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

mod completion;
mod intake;
mod plan_digest;
mod recovery;
mod step_key;
mod steps;
mod store;
mod undos;

/// How the request of a step ended.
pub(super) struct StepEnd {
    pub(super) answer: Rc<Answer>,
    /// Time from its start to its end.
    pub(super) duration: Micros,
    /// The function was already loaded when the request arrived at the worker that answered.
    pub(super) was_loaded: bool,
    /// If an attempt of the step may have been executed and it is keyed: until when it may be sent again.
    pub(super) resend_until: Option<Micros>,
}

/// Called when the request of a step has ended.
pub(super) type OnStepEnd = Box<dyn FnOnce(&mut Gateway, Micros, &mut dyn Transport, StepEnd)>;

/// A step whose request has ended and whose workflow has not processed that yet.
pub(super) struct EndedStep {
    pub(super) on_end: OnStepEnd,
    pub(super) end: StepEnd,
}

/// A workflow started in this turn of the event loop, with its first commands.
pub(super) struct StartedWorkflow {
    pub(super) request: RequestId,
    pub(super) commands: Vec<Command>,
}

/// The step that finished last, with its answer.
struct FinishedStep {
    step: StepId,
    answer: Rc<Answer>,
}

/// A workflow whose steps and undos have not all ended.
pub(super) struct ActiveWorkflow {
    key: IdempotencyKey,
    /// Digest of the `source` of its event; 0 if it was resumed without a client.
    client_digest: u64,
    /// Digest of its event's identity; 0 if it was resumed without a client.
    digest: u64,
    customer: Option<CustomerId>,
    arrived_at: Micros,
    /// The event is a retry by its client.
    is_retry: bool,
    /// The state machine that executes its plan.
    run: Run,
    /// Clients that wait for its answer.
    pub(super) clients: Vec<ConnectionId>,
    /// Requests of the steps in flight.
    in_flight: BTreeMap<StepId, RequestId>,
    /// The answers of earlier steps are in `stored`.
    last_finished: Option<FinishedStep>,
    /// `Retry-After` of the step that ended last, if it has one.
    retry_after: Option<Micros>,
    /// Header fields, media type and data of its event, copied to the event of each step.
    fields: HeaderLines,
    media_type: Option<String>,
    data: Rc<Vec<u8>>,
    /// Undos that have not finished.
    pending_undos: usize,
    /// Steps sent by this instance.
    sent_steps: u64,
    /// Its stored form, as of the next write.
    stored: WorkflowRecord,
    /// It is in the store, which it enters before its first step that is not idempotent.
    is_stored: bool,
    is_answered: bool,
}

impl ActiveWorkflow {
    /// When its answer is due.
    pub(super) fn deadline(&self) -> Micros {
        self.run.deadline()
    }

    /// The id of its event.
    pub(super) fn event_id(&self) -> Rc<str> {
        self.key.id.clone()
    }

    /// Returns the answer of a finished step, from memory or from its stored form.
    fn answer_of(&self, step: StepId) -> Option<(HeaderLines, Vec<u8>)> {
        if let Some(finished) = self.last_finished.as_ref().filter(|finished| finished.step == step) {
            return Some((finished.answer.fields.clone(), finished.answer.body.clone()));
        }
        let end = self.stored.steps.get(&(step.0 as u32))?.outcome.as_ref()?;
        end.response
            .as_ref()
            .map(|answer| (HeaderLines::from_bytes(answer.header_lines.clone()), answer.body.clone()))
    }

    /// Whether its run has ended, no step is in flight, and no undo is pending.
    fn is_done(&self) -> bool {
        self.run.outcome().is_some() && self.pending_undos == 0 && self.in_flight.is_empty()
    }
}

/// What a step that must be stored before it is sent is needed for.
enum StepPurpose {
    /// The run goes on from its result. The answer of its request is due at this time.
    Run { deadline: Micros },
    /// It undoes another step, and is tried again until this time.
    Undo { give_up_at: Micros },
}

/// A step that is not idempotent and must be stored before it is sent.
struct UnsentStep {
    request: RequestId,
    step: StepId,
    function: String,
    purpose: StepPurpose,
    /// When it was first sent, if it may have run. It is sent again as long as the workers recognise a
    /// duplicate.
    first_sent_at: Option<Micros>,
}

/// A finished workflow that must be stored before it is answered.
struct UnansweredWorkflow {
    request: RequestId,
    outcome: RunOutcome,
}

/// Counters since the start of the instance.
#[derive(Default)]
struct Counters {
    accepted: u64,
    finished: u64,
    rejected: u64,
    failed: u64,
    /// Rejected because their steps cannot finish in the time left.
    rejected_for_time: u64,
    /// Rejected because workflows were started faster than they end.
    rejected_for_rate: u64,
    steps: u64,
    undos: u64,
    /// Undos that were not seen to finish, and are not tried again.
    undos_given_up: u64,
    /// Resumed from the store with steps that may have run.
    recorded_steps: u64,
    writes: u64,
    failed_writes: u64,
}

impl Counters {
    fn count_end(&mut self, outcome: RunOutcome) {
        match outcome {
            RunOutcome::Finished(_) => self.finished += 1,
            RunOutcome::Rejected(_, cause) => {
                self.rejected += 1;
                self.rejected_for_time += u64::from(cause == FailureReason::NoTime);
            }
            RunOutcome::Failed(..) => self.failed += 1,
        }
    }
}

/// All workflows of a gateway.
pub(super) struct Workflows {
    /// By workflow id, which is drawn from the same sequence as request ids.
    pub(super) active: BTreeMap<RequestId, ActiveWorkflow>,
    /// Ended steps to be processed one at a time, without recursion.
    pub(super) ended_steps: VecDeque<EndedStep>,
    /// Workflows started in this turn of the event loop.
    pub(super) started: VecDeque<StartedWorkflow>,
    /// Estimated durations of functions, to decide whether a step can finish in time.
    times: TimeEstimates,
    /// Limits the rate of new workflows.
    run_limiter: RunLimiter,
    counters: Counters,
    pub(super) store: Box<dyn WorkflowStore>,
    /// Steps to be sent after the next write.
    unsent: Vec<UnsentStep>,
    /// Workflows to be answered after the next write.
    unanswered: Vec<UnansweredWorkflow>,
    /// Workflows with changes that are not in the store.
    unwritten: BTreeSet<RequestId>,
    /// A timer is set that writes them.
    write_scheduled: bool,
}

impl Workflows {
    /// Creates an empty set. `cache_lifetime` is how long a worker keeps an idle function loaded.
    pub(super) fn new(cache_lifetime: Micros) -> Self {
        Workflows {
            active: BTreeMap::new(),
            ended_steps: VecDeque::new(),
            started: VecDeque::new(),
            times: TimeEstimates::new(cache_lifetime),
            run_limiter: RunLimiter::default(),
            counters: Counters::default(),
            store: Box::new(MemoryStore::default()),
            unsent: Vec::new(),
            unanswered: Vec::new(),
            unwritten: BTreeSet::new(),
            write_scheduled: false,
        }
    }

    /// Drops those of the given workflows that are answered and closed.
    fn drop_closed(&mut self, requests: &BTreeSet<RequestId>) {
        for request in requests {
            let workflow = self.active.get(request);
            if workflow.is_some_and(|workflow| workflow.stored.closed && workflow.is_answered) {
                self.active.remove(request);
            }
        }
    }

    /// Returns the state page's section on workflows.
    pub(super) fn state(&self) -> serde_json::Value {
        let counters = &self.counters;
        serde_json::json!({"open": self.active.len(), "taken": counters.accepted,
            "finished": counters.finished, "pushed-back": counters.rejected, "failed": counters.failed,
            "refused-for-time": counters.rejected_for_time, "held-back": counters.rejected_for_rate,
            "allowed-per-s": self.run_limiter.allowed(), "steps": counters.steps, "undos": counters.undos,
            "undos-given-up": counters.undos_given_up,
            "functions-known": self.times.function_count(),
            "record": {"resumed": counters.recorded_steps, "writes": counters.writes,
                "not-written": counters.failed_writes}})
    }
}

/// Maps the final outcome of a step's request to the step's outcome in its run.
fn step_outcome(outcome: FinalOutcome) -> StepStatus {
    match outcome {
        FinalOutcome::Finished => StepStatus::Finished,
        FinalOutcome::Rejected => StepStatus::NeverRan,
        FinalOutcome::Failed => StepStatus::MayHaveRun,
    }
}

/// Returns a field of a step's result as text, if the result is a JSON object in which the field is a string,
/// a number or a boolean.
fn result_field(body: &[u8], name: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    match value.get(name)? {
        serde_json::Value::String(text) => Some(text.clone()),
        serde_json::Value::Number(number) => Some(number.to_string()),
        serde_json::Value::Bool(flag) => Some(flag.to_string()),
        _ => None,
    }
}

impl Gateway {
    /// Calls `decide` with a workflow's run and the current estimate of the time that a step needs. Returns
    /// the default value if the workflow is no longer active.
    fn with_run<T: Default>(
        &mut self,
        now: Micros,
        request: RequestId,
        decide: impl FnOnce(&mut Run, StepTimes<'_>) -> T,
    ) -> T {
        let Some(workflow) = self.workflows.active.get_mut(&request) else { return T::default() };
        let times = &self.workflows.times;
        let functions = &self.deployment.functions;
        let workloads = &self.deployment.workloads;
        let needed_time = |step: &Step, function: &str, _ahead: Micros| {
            let defaults = &workloads[step.workload].default_function;
            let config = functions.get(function).unwrap_or(defaults);
            let id = FunctionId::named(function);
            times.execution_time(id, step.at_least) + times.load_time(now, id, config.load_time)
        };
        decide(&mut workflow.run, &needed_time)
    }
}
