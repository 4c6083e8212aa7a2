//! The gateway's data of a request beside its state machine, and how a request is started.
use super::Gateway;
use super::workflow::OnStepEnd;
use crate::deployment::FunctionConfig;
use crate::idempotency::IdempotencyKey;
use crate::request_table::RequestState;
use crate::resend_window::resend_until;
use applepond::interface::{
    CustomerId, FunctionId, Micros, RequestArrival, RequestId, RetrySafety, WorkloadId,
};
use applepond_http::encode::HeaderLines;
use applepond_reactor::ConnectionId;
use std::rc::Rc;

/// The prompt prefix that a request starts with; a worker that has it cached responds sooner.
#[derive(Clone)]
pub(super) struct PromptPrefix {
    pub(super) name: String,
    /// In the workload's units; 0 if the event does not specify it.
    pub(super) size: u32,
}

/// The content of a request, as sent to workers.
pub(super) struct RequestContent {
    pub(super) key: IdempotencyKey,
    /// Digest of the `source` of the event that started it.
    pub(super) client_digest: u64,
    /// Digest of the identity of that event.
    pub(super) digest: u64,
    /// Index into the deployment's workloads.
    pub(super) workload: usize,
    pub(super) function: String,
    /// Header fields of the event, sent with every attempt.
    pub(super) fields: HeaderLines,
    pub(super) media_type: Option<String>,
    pub(super) data: Rc<Vec<u8>>,
    pub(super) prefix: Option<PromptPrefix>,
}

/// Parameters of a request to be started, for a client or for a workflow.
pub(super) struct NewRequest {
    pub(super) content: RequestContent,
    pub(super) customer: Option<CustomerId>,
    /// Time until its answer is due.
    pub(super) time_left: Micros,
    /// The event is a retry by its client.
    pub(super) is_retry: bool,
    /// Multiplies the workload's priority weight; 1 except for steps of a workflow.
    pub(super) priority_factor: f64,
    /// Clients that wait for its answer.
    pub(super) clients: Vec<ConnectionId>,
    /// Called at its end if it is a step of a workflow, for which no client waits.
    pub(super) on_end: Option<OnStepEnd>,
    /// If an earlier request of the same event or step may have run: until when it may be sent again. The
    /// request ends then at the latest.
    pub(super) resend_until: Option<Micros>,
}

/// The gateway's data of a request in the request table.
pub(super) struct RequestData {
    pub(super) content: RequestContent,
    pub(super) function_config: FunctionConfig,
    /// As configured when the request was accepted; a reload does not change it.
    pub(super) retry_safety: RetrySafety,
    /// Clients that wait for its answer.
    pub(super) clients: Vec<ConnectionId>,
    /// The function was already loaded when the request arrived at the worker that answered.
    pub(super) was_loaded: bool,
    /// Called at its end if it is a step of a workflow.
    pub(super) on_end: Option<OnStepEnd>,
    /// If an earlier request of the same event or step may have run: until when it may be sent again.
    resend_until: Option<Micros>,
}

/// Until when the event or the step of a request may be sent again after it; `None` if it is not keyed, or no
/// attempt of it or of an earlier request may have run.
pub(super) fn resend_until_after(state: &RequestState<RequestData>) -> Option<Micros> {
    let first_sent_at = state.first_possible_run();
    let own = first_sent_at.and_then(|sent_at| resend_until(state.data.retry_safety, sent_at));
    own.into_iter().chain(state.data.resend_until).min()
}

impl Gateway {
    /// Starts a request and passes it to `Control`.
    pub(super) fn start_request(&mut self, now: Micros, new: NewRequest) -> RequestId {
        let NewRequest {
            content, customer, is_retry, priority_factor, clients, on_end, resend_until, ..
        } = new;
        let time_left =
            new.time_left.min(resend_until.map_or(Micros::MAX, |until| until.saturating_sub(now)));
        let defaults = &self.deployment.workloads[content.workload].default_function;
        let function_config = self.deployment.functions.get(&content.function).unwrap_or(defaults).clone();
        let request = self.next_request_id();
        let function = FunctionId::named(&content.function);
        let known_load_time = || self.history.as_ref()?.load_time(now, function);
        let arrival = RequestArrival {
            request,
            function,
            workload: WorkloadId(content.workload),
            customer,
            time_left,
            concurrency: function_config.concurrency,
            retry: is_retry,
            load_time: function_config.load_time.or_else(known_load_time),
            priority_factor,
        };
        let retry_safety = self.deployment.startup.workloads[content.workload].retry_safety;
        let data = RequestData {
            content,
            function_config,
            retry_safety,
            clients,
            was_loaded: false,
            on_end,
            resend_until,
        };
        self.requests.insert(request, now, now + time_left, data);
        self.control.advance_to(now);
        self.control.request_arrived(&mut self.actions, &arrival);
        request
    }
}
