//! The store of workflows: what must be on disk before a step is sent or a workflow is answered is written at
//! the end of a turn, in one transaction for all workflows; ends of steps are written soon after.
use super::result_field;
use crate::client::Answer;
use crate::gateway::Gateway;
use applepond::interface::{Micros, RequestId};
use applepond_reactor::Transport;
use applepond_storage::record::{MAX_STORED_RESPONSE_BYTES, outcome_code};
use applepond_storage::{StepOutcome, StepRecord, StoredResponse};
use applepond_workflow::{StepId, StepStatus};
use std::collections::BTreeSet;

/// Time after which ends of steps are written that no other write took along.
const WRITE_DELAY: Micros = 20_000;
/// Time after which a write that failed is tried again: a disk is not repaired within a moment.
const WRITE_RETRY_DELAY: Micros = 1_000_000;

impl Gateway {
    /// Writes what waits for it; then sends the steps and answers the workflows that waited. Where the write
    /// fails nothing is sent: those steps end as ones that never ran. Says whether there was anything to do.
    pub(in crate::gateway) fn write_pending(&mut self, now: Micros, transport: &mut dyn Transport) -> bool {
        let unsent = std::mem::take(&mut self.workflows.unsent);
        let unanswered = std::mem::take(&mut self.workflows.unanswered);
        if unsent.is_empty() && unanswered.is_empty() {
            return false;
        }
        for waiting in &unsent {
            if let Some(workflow) = self.workflows.active.get_mut(&waiting.request) {
                workflow.is_stored = true;
                let step = StepRecord { sent_at: now, outcome: None };
                workflow.stored.steps.insert(waiting.step.0 as u32, step);
            }
        }
        let requests = unsent.iter().map(|waiting| waiting.request);
        let requests = requests.chain(unanswered.iter().map(|waiting| waiting.request)).collect();
        let is_written = self.write_workflows(now, transport, requests);
        // Their work is done, whether that could be written or not.
        for waiting in unanswered {
            let request = waiting.request;
            self.end_workflow(now, transport, request, waiting.ended);
            if is_written {
                self.workflows.drop_closed(&BTreeSet::from([request]));
            }
            // Where it was not, the workflow stays until a later write succeeds.
            self.run_commands(now, transport, request, Vec::new());
        }
        for waiting in unsent {
            let (request, step) = (waiting.request, waiting.step);
            if is_written {
                self.begin_step(now, request, step, waiting.function, waiting.deadline);
                continue;
            }
            if let Some(workflow) = self.workflows.active.get_mut(&request) {
                workflow.stored.steps.remove(&(step.0 as u32));
            }
            let commands = self.with_run(now, request, |run, needs| run.store_failed(now, step, needs));
            self.run_commands(now, transport, request, commands);
        }
        true
    }

    /// Writes these workflows and all whose stored form is out of date.
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
            tracing::error!(%error, reason = "no-record", "chains were not written down");
            self.workflows.unwritten.extend(requests);
            self.schedule_write(now, transport, WRITE_RETRY_DELAY);
        } else {
            self.workflows.drop_closed(&requests);
        }
        written.is_ok()
    }

    /// Puts the end of a step into the stored form, which is written soon. A result that is too long to be
    /// stored is left out.
    pub(super) fn record_step_end(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        step: StepId,
        how: StepStatus,
        answer: &Answer,
    ) {
        let Some(workflow) = self.workflows.active.get_mut(&request) else { return };
        let fields = workflow.run.requested_fields(step).into_iter();
        let fields = fields.filter_map(|name| Some((name.to_owned(), result_field(&answer.body, name)?)));
        let fits = how == StepStatus::Finished && answer.body.len() <= MAX_STORED_RESPONSE_BYTES;
        let kept = fits.then(|| StoredResponse {
            header_lines: answer.fields.bytes().to_vec(),
            body: answer.body.clone(),
        });
        let end = StepOutcome { code: outcome_code(how), fields: fields.collect(), response: kept };
        workflow.stored.steps.entry(step.0 as u32).or_default().outcome = Some(end);
        self.mark_unwritten(now, transport, request);
    }

    /// The stored form of a workflow is out of date; it is written soon. One that is not stored needs no
    /// write.
    pub(super) fn mark_unwritten(&mut self, now: Micros, transport: &mut dyn Transport, request: RequestId) {
        if self.workflows.active.get(&request).is_none_or(|workflow| !workflow.is_stored) {
            return;
        }
        self.workflows.unwritten.insert(request);
        self.schedule_write(now, transport, WRITE_DELAY);
    }

    /// Has what is out of date written after a while, unless that is scheduled already.
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
