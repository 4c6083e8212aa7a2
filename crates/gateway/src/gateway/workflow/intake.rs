//! Events that start a workflow or resume a stored one.
use super::plan_digest::plan_digest;
use super::{ActiveWorkflow, StartedWorkflow, Workflows};
use crate::client::{Answer, ReceivedEvent};
use crate::deployment::WorkflowConfig;
use crate::event_identity::{EventContent, EventIdentity};
use crate::gateway::Gateway;
use crate::gateway::intake::{Admitted, Known, refuse};
use crate::gateway::nothing_ran::NothingRan;
use crate::idempotency::{FinalOutcome, IdempotencyKey};
use applepond::interface::{CustomerId, Micros, RequestId, RetrySafety};
use applepond_admission::Arrival;
use applepond_http::Fault;
use applepond_http::encode::HeaderLines;
use applepond_reactor::ConnectionId;
use applepond_storage::record::MAX_STORED_RESPONSE_BYTES;
use applepond_storage::{StorageError, WorkflowRecord, recorded_steps, steps_to_send_again};
use applepond_workflow::{Plan, Run};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Header fields of a workflow's event that are not copied to the events of its steps.
const UNCOPIED_FIELDS: [&str; 4] = ["ce-id", "ce-type", "ce-timelimit", "ce-expirytime"];

/// Refuses the retry of a workflow that cannot be resumed, as its plan has changed since it began.
fn refuse_changed_plan(id: &str) -> Rc<Answer> {
    let detail = "it began by another plan; steps of it may have run";
    refuse(id, &Fault::new(502, "plan-changed", detail))
}

impl Workflows {
    /// Returns the record with this key, unless it has expired or its workflow was rejected: then a retry
    /// begins anew, and the key is free.
    pub(super) fn stored(
        &mut self,
        now: Micros,
        key: &IdempotencyKey,
    ) -> Result<Option<WorkflowRecord>, StorageError> {
        let stored = self.store.load((&key.source, &key.id))?;
        Ok(stored.filter(|stored| stored.expires_at > now && !stored.was_rejected()))
    }
}

impl Gateway {
    /// Processes an event that starts the workflow with this index. An `Err` is an answer to be sent at once.
    pub(in crate::gateway) fn accept_workflow(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        index: usize,
        event: ReceivedEvent,
    ) -> Result<(), Rc<Answer>> {
        let customer = self.customer_of(&event)?;
        let identity = EventIdentity::of(&event);
        let limit = self.deployment.workflows[index].plan.limit;
        match self.join_or_replay(now, conn, &identity, limit, &event) {
            Known::Handled(result) => return result,
            // What may have run is on record.
            Known::MayHaveRun | Known::New { .. } => {}
        }
        let config = &self.deployment.workflows[index];
        let plan = config.plan.clone();
        let time_left = self.time_left_of(now, limit, &event)?;
        let named_function = event.attribute(&config.function_attribute).filter(|name| !name.is_empty());
        let named_function = named_function.map(str::to_owned);
        let digest = plan_digest(&plan, &self.deployment.workloads);
        self.check_steps_are_free(now, &identity, &plan, &event)?;
        let resumed = self.load_stored(now, &identity, index, digest, &event)?;
        let arrival = self.arrival(&identity, &event, plan.steps[0].workload, time_left);
        let admitted = self.admit_workflow(now, &event.id, &arrival, &plan, resumed.as_ref())?;
        self.counters.accepted += 1;
        self.workflows.counters.accepted += 1;
        let request = self.next_request_id();
        let is_stored = resumed.is_some();
        let stored =
            resumed.unwrap_or_else(|| self.new_record(&plan, digest, named_function, customer, event));
        let deadline = now + time_left;
        let expires_at = deadline + self.record_retention(&plan);
        let stored = WorkflowRecord { deadline, expires_at, closed: false, ..stored };
        let workflow = ActiveWorkflow {
            clients: vec![conn],
            is_retry: admitted.is_retry,
            client_digest: admitted.client_digest,
            digest: admitted.digest,
            is_stored,
            ..self.workflow_from_record(now, identity.key.clone(), plan, stored, customer)
        };
        self.idempotency.start(identity, request);
        if let Some(client) = self.clients.get_mut(&conn) {
            client.request = Some(request);
        }
        self.start_workflow(now, request, workflow);
        Ok(())
    }

    /// Admits or rejects a workflow's event. It is not rejected if a step on its record may have run.
    fn admit_workflow(
        &mut self,
        now: Micros,
        id: &str,
        arrival: &Arrival,
        plan: &Plan,
        stored: Option<&WorkflowRecord>,
    ) -> Result<Admitted, Rc<Answer>> {
        let Some(nothing_ran) = NothingRan::for_workflow(stored, plan) else {
            return self.admit_resumed(id, arrival);
        };
        let admitted = self.admit(now, id, arrival, &nothing_ran)?;
        if stored.is_none_or(|stored| stored.steps.is_empty()) {
            self.check_start_rate(now, id, arrival, &nothing_ran)?;
        }
        Ok(admitted)
    }

    /// Returns the stored record of this workflow, if there is one, or an error answer if it cannot be
    /// resumed or is of another event. A store that cannot be read is an error only for workflows with a step
    /// that is not idempotent.
    fn load_stored(
        &mut self,
        now: Micros,
        identity: &EventIdentity,
        index: usize,
        plan_digest: u64,
        event: &ReceivedEvent,
    ) -> Result<Option<WorkflowRecord>, Rc<Answer>> {
        let WorkflowConfig { plan, types, .. } = &self.deployment.workflows[index];
        let refused = |status, reason, detail| Err(refuse(&event.id, &Fault::new(status, reason, detail)));
        let needs_store = plan.steps.iter().any(|step| step.effect != RetrySafety::Idempotent);
        if needs_store && event.data.len() > MAX_STORED_RESPONSE_BYTES {
            return refused(413, "large-chain", "the data of a chain with effects must fit its record");
        }
        let stored = match self.workflows.stored(now, &identity.key) {
            Ok(stored) => stored,
            Err(error) if needs_store => {
                tracing::error!(%error, reason = "no-record", "cannot read the workflow store");
                // No rejection: a step may have run.
                return refused(502, "no-record", "what ran before cannot be known here");
            }
            Err(_) => None,
        };
        let Some(stored) = stored else { return Ok(None) };
        if !EventContent::of_record(&stored, types).is_same(&identity.content) {
            return Err(self.refuse_other_event(event));
        }
        if (&stored.workflow, stored.plan_digest) != (&plan.name, plan_digest) {
            return Err(refuse_changed_plan(&event.id));
        }
        Ok(Some(stored))
    }

    /// Refuses the event of a request if its key belongs to a workflow on record: one that was interrupted by
    /// a restart, or whose retry is answered from its record.
    pub(in crate::gateway) fn check_not_stored(
        &mut self,
        now: Micros,
        identity: &EventIdentity,
        event: &ReceivedEvent,
    ) -> Result<(), Rc<Answer>> {
        // A reload may have removed the workflows whose records are there.
        if self.deployment.workflows.is_empty() && self.deployment.workflow_store.is_none() {
            return Ok(());
        }
        // If the store cannot be read, only the retries of workflows are refused.
        let Ok(Some(stored)) = self.workflows.stored(now, &identity.key) else { return Ok(()) };
        if EventContent::of_record(&stored, &[]).is_same(&identity.content) {
            // Its type started a workflow before the settings were changed.
            return Err(refuse_changed_plan(&event.id));
        }
        Err(self.refuse_other_event(event))
    }

    /// Rejects a new workflow while workflows are started faster than they end.
    fn check_start_rate(
        &mut self,
        now: Micros,
        id: &str,
        arrival: &Arrival,
        _: &NothingRan,
    ) -> Result<(), Rc<Answer>> {
        if self.workflows.run_limiter.admit(now) {
            return Ok(());
        }
        self.workflows.counters.rejected_for_rate += 1;
        let wait = self.admission.schedule_retry(now, arrival.client, arrival.request_id, arrival.remaining);
        let wait = wait.filter(|_| self.deployment.startup.attempt_policy.retry_after_allowed);
        let detail = "as many chains run as come to their end; a retry does no harm";
        let fault = Fault::new(503, "chains-full", detail);
        Err(Answer::problem(FinalOutcome::Rejected, &fault, Some(id), wait))
    }

    /// Creates the record of a workflow that is not in the store.
    fn new_record(
        &self,
        plan: &Plan,
        plan_digest: u64,
        named_function: Option<String>,
        customer: Option<CustomerId>,
        event: ReceivedEvent,
    ) -> WorkflowRecord {
        WorkflowRecord {
            workflow: plan.name.clone(),
            plan_digest,
            function: named_function,
            customer: customer.map(|customer| self.deployment.customers[customer.0].clone()),
            header_lines: event.fields.without(&UNCOPIED_FIELDS).bytes().to_vec(),
            content_type: event.media_type,
            data: event.data,
            event_type: Some(event.event_type),
            ..WorkflowRecord::default()
        }
    }

    /// Creates a workflow from its record, without waiting clients.
    pub(super) fn workflow_from_record(
        &mut self,
        now: Micros,
        key: IdempotencyKey,
        plan: Arc<Plan>,
        stored: WorkflowRecord,
        customer: Option<CustomerId>,
    ) -> ActiveWorkflow {
        let known_steps = recorded_steps(&stored, &plan, now);
        let mut run = Run::new(now, plan.clone(), stored.function.clone(), stored.deadline, known_steps);
        steps_to_send_again(&stored, &plan, now).for_each(|step| run.step_may_have_run(step));
        self.workflows.counters.recorded_steps += u64::from(!stored.steps.is_empty());
        ActiveWorkflow {
            key,
            client_digest: 0,
            digest: 0,
            customer,
            arrived_at: now,
            is_retry: false,
            last_finished: None,
            retry_after: None,
            run,
            clients: Vec::new(),
            in_flight: BTreeMap::new(),
            fields: HeaderLines::from_bytes(stored.header_lines.clone()),
            media_type: stored.content_type.clone(),
            data: Rc::new(stored.data.clone()),
            pending_undos: 0,
            sent_steps: 0,
            is_stored: true,
            is_answered: false,
            stored,
        }
    }

    /// Starts the run. Its first commands are executed at the end of this turn of the event loop, so that a
    /// workflow rejected at once is answered like any other.
    pub(super) fn start_workflow(&mut self, now: Micros, request: RequestId, workflow: ActiveWorkflow) {
        self.workflows.active.insert(request, workflow);
        let commands = self.with_run(now, request, |run, step_times| run.begin(now, step_times));
        self.workflows.started.push_back(StartedWorkflow { request, commands });
    }
}
