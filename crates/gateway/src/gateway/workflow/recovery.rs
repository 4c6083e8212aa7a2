//! Recovery of workflows interrupted by a restart. Until its deadline, a stored workflow is resumed only by a
//! retry of its client; after the deadline it is resumed without a client, which undoes the steps that must
//! not last.
use super::plan_digest::plan_digest;
use crate::event_identity::{EventContent, EventIdentity};
use crate::gateway::Gateway;
use crate::idempotency::{IdempotencyKey, Lookup};
use applepond::interface::{CustomerId, Micros};
use applepond_reactor::Transport;
use applepond_storage::WorkflowRecord;

/// Interval between removals of expired workflows from the store.
const CLEAR_INTERVAL: Micros = 5_000_000;

impl Gateway {
    /// Schedules the resumption of the stored workflows that have not ended.
    pub(in crate::gateway) fn resume_workflows(&mut self, now: Micros, transport: &mut dyn Transport) {
        let open = match self.workflows.store.unfinished() {
            Ok(open) => open,
            Err(error) => {
                return tracing::error!(%error, reason = "no-record", "cannot read the workflow store");
            }
        };
        for (source, id) in open {
            let key = IdempotencyKey::new(&source, &id);
            let stored = self.workflows.store.load((&key.source, &key.id));
            let Ok(Some(stored)) = stored else { continue };
            let wait = stored.deadline.saturating_sub(now);
            tracing::info!(%id, %source, reason = "open-chain", wait_us = wait, "workflow interrupted");
            let resume = move |gateway: &mut Gateway, now, _: &mut dyn Transport| {
                gateway.resume_without_client(now, key);
            };
            self.schedule(now, transport, wait, Box::new(resume));
        }
        self.clear_store_periodically(now, transport);
    }

    fn clear_store_periodically(&mut self, now: Micros, transport: &mut dyn Transport) {
        if let Err(error) = self.workflows.store.remove_expired(now) {
            tracing::error!(%error, reason = "no-record", "cannot remove expired workflows from the store");
        }
        let clear = |gateway: &mut Gateway, now, transport: &mut dyn Transport| {
            gateway.clear_store_periodically(now, transport);
        };
        self.schedule(now, transport, CLEAR_INTERVAL, Box::new(clear));
    }

    /// Resumes a workflow that no client has retried. One whose plan has changed stays in the store instead.
    fn resume_without_client(&mut self, now: Micros, key: IdempotencyKey) {
        let Ok(Some(stored)) = self.workflows.store.load((&key.source, &key.id)) else { return };
        let workloads = &self.deployment.workloads;
        let config = self.deployment.workflows.iter().find(|workflow| {
            let plan = &workflow.plan;
            (&plan.name, plan_digest(plan, workloads)) == (&stored.workflow, stored.plan_digest)
        });
        let Some(config) = config.filter(|_| !stored.closed) else { return };
        let plan = config.plan.clone();
        let content = EventContent::of_record(&stored, &config.types);
        let identity = EventIdentity { key: key.clone(), content };
        match self.idempotency.look_up(now, &identity) {
            Lookup::InProgress(_) | Lookup::Completed(_) => return,
            // Another event may have taken the key while the store could not be read.
            Lookup::New | Lookup::MayBeSentAgain { .. } | Lookup::MayHaveRun | Lookup::OtherEvent => {}
        }
        let customers = &self.deployment.customers;
        let customer = stored.customer.as_ref();
        let customer = customer.and_then(|name| customers.iter().position(|known| known == name));
        let request = self.next_request_id();
        let stored = WorkflowRecord { expires_at: now + self.record_retention(&plan), ..stored };
        let workflow = self.workflow_from_record(now, key, plan, stored, customer.map(CustomerId));
        self.idempotency.start(identity, request);
        self.start_workflow(now, request, workflow);
    }
}
