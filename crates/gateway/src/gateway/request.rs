//! The gateway's data of a request beside its state machine, and how a request is started.
use super::Gateway;
use super::workflow::OnStepEnd;
use crate::deployment::FunctionConfig;
use crate::idempotency::IdempotencyKey;
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
}

impl Gateway {
    /// Starts a request and passes it to `Control`.
    pub(super) fn start_request(&mut self, now: Micros, new: NewRequest) -> RequestId {
        let NewRequest { content, customer, time_left, is_retry, priority_factor, clients, on_end } = new;
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
        let data = RequestData { content, function_config, retry_safety, clients, was_loaded: false, on_end };
        self.requests.insert(request, now, now + time_left, data);
        self.control.advance_to(now);
        self.control.request_arrived(&mut self.actions, &arrival);
        request
    }
}
