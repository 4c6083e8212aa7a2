//! Keys of the events of steps. Workers recognise duplicates of keyed requests by `source` and `id`. The key
//! of a step is made of the key of its workflow and the step's name, so an event of a client can have the
//! same one: it is refused while the workflow has it, and the workflow is refused while the event has it.
//! Steps and requests that are not keyed need no such care, as workers do not look at their keys; neither do
//! the keys of workflows themselves, as workers do not see them.
use crate::client::{Answer, ReceivedEvent};
use crate::event_identity::EventIdentity;
use crate::gateway::Gateway;
use crate::idempotency::IdempotencyKey;
use applepond::interface::{Micros, RetrySafety};
use applepond_workflow::{Plan, Step};
use std::rc::Rc;

/// Separates the id of a workflow from the name of a step.
const SEPARATOR: char = '/';

/// Returns the key of a step's event.
pub(super) fn step_key(workflow: &IdempotencyKey, step: &Step) -> IdempotencyKey {
    let id = format!("{}{SEPARATOR}{}", workflow.id, step.name);
    IdempotencyKey { source: workflow.source.clone(), id: Rc::from(id) }
}

/// Returns the key of the workflow of which an event with this key would be the step.
fn workflow_key(event: &IdempotencyKey, step: &Step) -> Option<IdempotencyKey> {
    let id = event.id.strip_suffix(step.name.as_str())?.strip_suffix(SEPARATOR)?;
    Some(IdempotencyKey { source: event.source.clone(), id: Rc::from(id) })
}

/// Whether workers recognise the key of such a request or step.
fn is_keyed(retry_safety: RetrySafety) -> bool {
    matches!(retry_safety, RetrySafety::Keyed { .. })
}

/// The steps whose keys workers recognise.
fn keyed_steps(plan: &Plan) -> impl Iterator<Item = &Step> {
    plan.steps.iter().filter(|step| is_keyed(step.effect))
}

/// How long workers know the key of a step after it was sent, at most.
fn longest_window(plan: &Plan) -> Micros {
    let windows = plan.steps.iter().map(|step| match step.effect {
        RetrySafety::Keyed { window, .. } => window,
        RetrySafety::Idempotent | RetrySafety::AtMostOnce => 0,
    });
    windows.max().unwrap_or(0)
}

impl Gateway {
    /// How long the record of a workflow is kept after the last of its steps may have been sent: while its
    /// answer is replayed, and while workers know the keys of its steps.
    pub(super) fn record_retention(&self, plan: &Plan) -> Micros {
        self.deployment.answer_retention.time.max(longest_window(plan))
    }

    /// Refuses the event of a keyed request if it has the key of a step of a workflow in progress or on
    /// record.
    pub(in crate::gateway) fn check_is_no_step(
        &mut self,
        now: Micros,
        identity: &EventIdentity,
        workload: usize,
        event: &ReceivedEvent,
    ) -> Result<(), Rc<Answer>> {
        let retry_safety = self.deployment.startup.workloads[workload].retry_safety;
        if !event.id.contains(SEPARATOR) || !is_keyed(retry_safety) {
            return Ok(());
        }
        let plans = self.deployment.workflows.iter().map(|workflow| &workflow.plan);
        let steps = plans.flat_map(|plan| keyed_steps(plan));
        let workflows: Vec<_> = steps.filter_map(|step| workflow_key(&identity.key, step)).collect();
        let is_step = workflows.iter().any(|key| self.is_workflow_known(now, key));
        if is_step { Err(self.refuse_other_event(event)) } else { Ok(()) }
    }

    /// Refuses the event of a workflow if workers may know the key of one of its steps from a request.
    pub(super) fn check_steps_are_free(
        &mut self,
        now: Micros,
        identity: &EventIdentity,
        plan: &Plan,
        event: &ReceivedEvent,
    ) -> Result<(), Rc<Answer>> {
        let mut keys = keyed_steps(plan).map(|step| step_key(&identity.key, step));
        let is_known = keys.any(|key| self.is_key_of_request(now, &key));
        if is_known { Err(self.refuse_other_event(event)) } else { Ok(()) }
    }

    /// Whether workers may know this key from a request of a client, in progress or ended.
    fn is_key_of_request(&self, now: Micros, key: &IdempotencyKey) -> bool {
        let request = self.idempotency.request_in_progress(key);
        let state = request.and_then(|request| self.requests.get(request));
        let is_open = state.is_some_and(|state| is_keyed(state.data.retry_safety));
        is_open || self.idempotency.is_known_to_workers(now, key)
    }

    /// Whether a workflow with this key is in progress or on record.
    fn is_workflow_known(&mut self, now: Micros, key: &IdempotencyKey) -> bool {
        let request = self.idempotency.request_in_progress(key);
        let is_active = request.is_some_and(|request| self.workflows.active.contains_key(&request));
        is_active || matches!(self.workflows.stored(now, key), Ok(Some(_)))
    }
}
