//! The condition for a rejection. A rejection tells the client that a retry is harmless, at any router, so it
//! may only be given while no attempt of the event can have had an effect.
use applepond::interface::Micros;
use applepond_storage::WorkflowRecord;
use applepond_workflow::Plan;

/// Shows that no attempt of an event can have had an effect, as far as this instance and its store know.
/// Functions that reject an event require it, and only the functions here create it.
pub(super) struct NothingRan(());

impl NothingRan {
    /// For an event that starts a single request, and for which this instance has neither a request in
    /// progress nor a cached answer: `None` if an earlier request of it may have run, so that it may be sent
    /// again until `resend_until`. Requests are not stored, so nothing more can be known.
    pub(super) fn for_request(resend_until: Option<Micros>) -> Option<Self> {
        resend_until.is_none().then_some(NothingRan(()))
    }

    /// For a workflow's event: `None` if a step on its record may have run and is not idempotent. `record` is
    /// `None` if the store has been read and has no record.
    pub(super) fn for_workflow(record: Option<&WorkflowRecord>, plan: &Plan) -> Option<Self> {
        let may_have_run = record.is_some_and(|record| record.may_have_had_effect(plan));
        (!may_have_run).then_some(NothingRan(()))
    }
}
