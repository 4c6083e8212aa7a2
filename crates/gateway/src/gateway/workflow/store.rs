//! Writes to the workflow store. Records that must be on disk before a step is sent or a workflow is answered
//! are written at the end of a turn of the event loop, in one transaction for all workflows; the ends of
//! steps are written after a short delay.
use super::undos::Undo;
use super::{StepPurpose, UnsentStep, result_field};
use crate::client::Answer;
use crate::gateway::Gateway;
use applepond::interface::{Micros, RequestId};
use applepond_reactor::Transport;
use applepond_storage::record::{MAX_STORED_RESPONSE_BYTES, outcome_code};
use applepond_storage::{StepOutcome, StepRecord, StoredResponse};
use applepond_workflow::{StepId, StepStatus};
use std::collections::{BTreeMap, BTreeSet};

/// Delay of the write of ended steps; an earlier write includes them.
const WRITE_DELAY: Micros = 20_000;
/// Delay before a failed write is retried; disk faults seldom clear up faster.
const WRITE_RETRY_DELAY: Micros = 1_000_000;

impl Gateway {
    /// Writes the pending records, then sends the steps and answers the workflows that depend on them. If the
    /// write fails, the steps are not sent and end as never run. Returns whether anything was pending.
    pub(in crate::gateway) fn write_pending(&mut self, now: Micros, transport: &mut dyn Transport) -> bool {
        let mut unsent = std::mem::take(&mut self.workflows.unsent);
        let unanswered = std::mem::take(&mut self.workflows.unanswered);
        if unsent.is_empty() && unanswered.is_empty() {
            return false;
        }
        for pending in &mut unsent {
            if let Some(workflow) = self.workflows.active.get_mut(&pending.request) {
                workflow.is_stored = true;
                let index = pending.step.0 as u32;
                let earlier = workflow.stored.steps.get(&index).filter(|step| step.outcome.is_none());
                pending.first_sent_at = earlier.map(|step| step.sent_at);
                let sent_at = pending.first_sent_at.unwrap_or(now);
                workflow.stored.steps.insert(index, StepRecord { sent_at, outcome: None });
            }
        }
        let requests = unsent.iter().map(|pending| pending.request);
        let requests = requests.chain(unanswered.iter().map(|pending| pending.request)).collect();
        let is_written = self.write_workflows(now, transport, requests);
        // These have finished, so they are answered as finished even if the write failed.
        for pending in unanswered {
            let request = pending.request;
            self.end_workflow(now, transport, request, pending.outcome);
            if is_written {
                self.workflows.drop_closed(&BTreeSet::from([request]));
            }
            // If the write failed, the workflow stays active until a later one succeeds.
            self.run_commands(now, transport, request, Vec::new());
        }
        for pending in unsent {
            let (request, step) = (pending.request, pending.step);
            if is_written {
                self.send_written(now, pending);
                continue;
            }
            // A step that was sent before a restart stays on record.
            let workflow = self.workflows.active.get_mut(&request);
            if let Some(workflow) = workflow.filter(|_| pending.first_sent_at.is_none()) {
                workflow.stored.steps.remove(&(step.0 as u32));
            }
            if let StepPurpose::Undo { give_up_at } = pending.purpose {
                let undo = Undo::new(pending, give_up_at);
                self.undo_not_stored(now, transport, undo, WRITE_RETRY_DELAY);
                continue;
            }
            let commands =
                self.with_run(now, request, |run, step_times| run.store_failed(now, step, step_times));
            self.run_commands(now, transport, request, commands);
        }
        true
    }

    /// Sends a step that has been written to the store.
    fn send_written(&mut self, now: Micros, step: UnsentStep) {
        match step.purpose {
            StepPurpose::Run { deadline } => self.begin_step(now, step, deadline),
            StepPurpose::Undo { give_up_at } => {
                let first_sent_at = step.first_sent_at;
                self.send_undo(now, Undo::new(step, give_up_at), first_sent_at);
            }
        }
    }

    /// Writes the given workflows and all others with unwritten changes. Returns whether the write succeeded.
    fn write_workflows(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        mut requests: BTreeSet<RequestId>,
    ) -> bool {
        requests.append(&mut self.workflows.unwritten);
        let workflows = requests.iter().filter_map(|request| self.workflows.active.get(request));
        let rows = workflows.map(|workflow| ((&*workflow.key.source, &*workflow.key.id), &workflow.stored));
        let rows: Vec<_> = rows.collect();
        self.workflows.counters.writes += 1;
        let written = self.workflows.store.save(&rows);
        if let Err(error) = &written {
            self.workflows.counters.failed_writes += 1;
            tracing::error!(%error, reason = "no-record", "cannot write workflows to the store");
            self.workflows.unwritten.extend(requests);
            self.schedule_write(now, transport, WRITE_RETRY_DELAY);
        } else {
            self.workflows.drop_closed(&requests);
        }
        written.is_ok()
    }

    /// Adds the end of a step to its workflow's record and schedules a write. A result too long to be stored
    /// is omitted.
    pub(super) fn record_step_end(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        step: StepId,
        outcome: StepStatus,
        answer: &Answer,
    ) {
        let Some(workflow) = self.workflows.active.get(&request) else { return };
        let fields = workflow.run.requested_fields(step).into_iter();
        let fields = fields.filter_map(|name| Some((name.to_owned(), result_field(&answer.body, name)?)));
        let fits = outcome == StepStatus::Finished && answer.body.len() <= MAX_STORED_RESPONSE_BYTES;
        let response = fits.then(|| StoredResponse {
            header_lines: answer.fields.bytes().to_vec(),
            body: answer.body.clone(),
        });
        let end = StepOutcome { code: outcome_code(outcome), fields: fields.collect(), response };
        self.record_outcome(now, transport, request, step, end);
    }

    /// Adds the end of a step without a result to its workflow's record and schedules a write.
    pub(super) fn record_step_status(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        step: StepId,
        status: StepStatus,
    ) {
        let end = StepOutcome { code: outcome_code(status), fields: BTreeMap::new(), response: None };
        self.record_outcome(now, transport, request, step, end);
    }

    fn record_outcome(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        step: StepId,
        end: StepOutcome,
    ) {
        let Some(workflow) = self.workflows.active.get_mut(&request) else { return };
        workflow.stored.steps.entry(step.0 as u32).or_default().outcome = Some(end);
        self.mark_unwritten(now, transport, request);
    }

    /// Marks the record of a workflow as changed and schedules a write; has no effect for a workflow that is
    /// not stored.
    pub(super) fn mark_unwritten(&mut self, now: Micros, transport: &mut dyn Transport, request: RequestId) {
        if self.workflows.active.get(&request).is_none_or(|workflow| !workflow.is_stored) {
            return;
        }
        self.workflows.unwritten.insert(request);
        self.schedule_write(now, transport, WRITE_DELAY);
    }

    /// Schedules a write of all changed records, unless one is scheduled already.
    fn schedule_write(&mut self, now: Micros, transport: &mut dyn Transport, delay: Micros) {
        if std::mem::replace(&mut self.workflows.write_scheduled, true) {
            return;
        }
        let write = |gateway: &mut Gateway, now, transport: &mut dyn Transport| {
            gateway.workflows.write_scheduled = false;
            if !gateway.workflows.unwritten.is_empty() {
                gateway.write_workflows(now, transport, BTreeSet::new());
            }
        };
        self.schedule(now, transport, delay, Box::new(write));
    }
}
