//! What the gateway keeps of a request beside its state machine, and how a request is started.
use super::Gateway;
use super::workflow::OnStepEnd;
use crate::deployment::FunctionConfig;
use crate::idempotency::IdempotencyKey;
use applepond::interface::{
    CustomerId, FunctionId, Micros, RequestArrival, RequestId, RetrySafety, WorkloadId,
};
use applepond_http::encode::HeaderLines;
use applepond_reactor::Conn;
use std::rc::Rc;

/// The prompt prefix that a request starts with; a worker that has it cached answers sooner.
#[derive(Clone)]
pub(super) struct PromptPrefix {
    pub(super) name: String,
    /// In the workload's units; 0 where the event does not say.
    pub(super) size: u32,
}

/// What a request consists of.
pub(super) struct RequestContent {
    pub(super) key: IdempotencyKey,
    /// Digest of the client that sent it first.
    pub(super) client_digest: u64,
    /// Digest of its key.
    pub(super) digest: u64,
    /// Index into the deployment's workloads.
    pub(super) workload: usize,
    pub(super) function: String,
    /// Header fields that every attempt sends after its own.
    pub(super) fields: HeaderLines,
    pub(super) media_type: Option<String>,
    pub(super) data: Rc<Vec<u8>>,
    pub(super) prefix: Option<PromptPrefix>,
}

/// A request as it is started, by a client or by a workflow.
pub(super) struct NewRequest {
    pub(super) content: RequestContent,
    pub(super) customer: Option<CustomerId>,
    /// Time until its answer is due.
    pub(super) time_left: Micros,
    /// The client has tried before.
    pub(super) is_retry: bool,
    /// Multiplies the workload's priority weight: 1 but for steps of a workflow.
    pub(super) priority_factor: f64,
    /// Clients that wait for it.
    pub(super) clients: Vec<Conn>,
    /// Set for a step of a workflow: no client waits for it.
    pub(super) on_end: Option<OnStepEnd>,
}

/// What the request table keeps of a request for the gateway.
pub(super) struct RequestData {
    pub(super) content: RequestContent,
    pub(super) function_config: FunctionConfig,
    /// By the configuration under which the request was accepted.
    pub(super) retry_safety: RetrySafety,
    /// Clients that wait for its answer.
    pub(super) clients: Vec<Conn>,
    /// The copy that answered was loaded when the request came to it.
    pub(super) was_loaded: bool,
    /// What to do with its end, where it is a step of a workflow.
    pub(super) on_end: Option<OnStepEnd>,
}

impl Gateway {
    /// Starts a request and hands it to `Control`.
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
