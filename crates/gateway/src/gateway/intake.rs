//! Events of clients: each one joins a request in progress, gets a cached answer, is refused, or starts a
//! request or a workflow. An `Err` of these methods is an answer to be sent to the client at once.
use super::Gateway;
use super::extensions::ScheduledRetry;
use super::nothing_ran::NothingRan;
use super::request::{NewRequest, PromptPrefix, RequestContent};
use crate::client::{Answer, ReceivedEvent};
use crate::deadline;
use crate::deployment::FunctionSource;
use crate::event_identity::EventIdentity;
use crate::idempotency::{FinalOutcome, Lookup};
use applepond::interface::{CustomerId, Micros};
use applepond_admission::{Arrival, Decision};
use applepond_http::Fault;
use applepond_reactor::ConnectionId;
use std::rc::Rc;

/// Maximum length of a prompt prefix's name; a longer one is ignored.
const MAX_PREFIX_NAME_BYTES: usize = 200;
/// Maximum number of open requests and workflows; beyond it the gateway rejects events without involving
/// `Control`, at the cost of one response each.
const MAX_OPEN_REQUESTS: usize = 20_000;
/// Maximum number of open requests and workflows with which a workflow is resumed of which a step may have
/// run. It must not be rejected, so it is admitted beyond the limit for others.
const MAX_OPEN_WITH_RESUMED: usize = 2 * MAX_OPEN_REQUESTS;
/// `Retry-After` of those rejections.
const TOO_MANY_RETRY_AFTER: Micros = 1_000_000;
/// Length to which an unknown event type is truncated in the error response.
const MAX_SHOWN_TYPE_CHARS: usize = 80;

/// What admission determined about an event that it admitted.
pub(super) struct Admitted {
    /// Digest of the event's `source`.
    pub(super) client_digest: u64,
    /// Digest of the event's identity.
    pub(super) digest: u64,
    /// The event is a retry, as marked by its client or detected by admission.
    pub(super) is_retry: bool,
}

impl Admitted {
    fn new(arrival: &Arrival, is_retry: bool) -> Self {
        Admitted { client_digest: arrival.client, digest: arrival.request_id, is_retry }
    }
}

/// What the event of a single request names.
struct RequestTarget {
    /// Index into the deployment's workloads.
    workload: usize,
    function: String,
    customer: Option<CustomerId>,
    prefix: Option<PromptPrefix>,
}

impl RequestTarget {
    /// The content of the request, as sent to workers.
    fn content(self, identity: &EventIdentity, admitted: &Admitted, event: ReceivedEvent) -> RequestContent {
        RequestContent {
            key: identity.key.clone(),
            client_digest: admitted.client_digest,
            digest: admitted.digest,
            workload: self.workload,
            function: self.function,
            fields: event.fields,
            media_type: event.media_type,
            data: Rc::new(event.data),
            prefix: self.prefix,
        }
    }
}

/// What the idempotency table knows of an event that has arrived.
pub(super) enum Known {
    /// It has joined a request, or is answered at once.
    Handled(Result<(), Rc<Answer>>),
    /// An earlier request of it may have run, and has no answer that could be replayed.
    MayHaveRun,
    /// It starts a request or a workflow. If an earlier request of it may have run: until when it may be sent
    /// again.
    New { resend_until: Option<Micros> },
}

/// Logs that an event is refused, and returns its answer.
pub(super) fn refuse(id: &str, fault: &Fault) -> Rc<Answer> {
    tracing::info!(id, reason = fault.reason, status = fault.status, "event refused");
    Answer::problem(FinalOutcome::Rejected, fault, Some(id), None)
}

impl Gateway {
    /// Processes one event: it starts or joins a workflow or a request. An `Err` is an answer to be sent at
    /// once.
    pub(super) fn accept_event(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        event: ReceivedEvent,
    ) -> Result<(), Rc<Answer>> {
        let mut workflows = self.deployment.workflows.iter();
        match workflows.position(|workflow| workflow.types.contains(&event.event_type)) {
            Some(index) => self.accept_workflow(now, conn, index, event),
            None => self.accept_request(now, conn, event),
        }
    }

    /// Processes the event of a single request. The order of the checks is part of the interface: it
    /// determines which error is returned for an event that fails several of them.
    fn accept_request(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        event: ReceivedEvent,
    ) -> Result<(), Rc<Answer>> {
        let target = self.target_of(&event)?;
        let identity = EventIdentity::of(&event);
        let limit = self.deployment.workloads[target.workload].deadline;
        let resend_until = match self.join_or_replay(now, conn, &identity, limit, &event) {
            Known::Handled(result) => return result,
            Known::MayHaveRun => return Err(self.refuse_repeat(&event)),
            Known::New { resend_until } => resend_until,
        };
        self.check_not_stored(now, &identity, &event)?;
        self.check_is_no_step(now, &identity, target.workload, &event)?;
        let time_left = self.time_left_of(now, limit, &event)?;
        let arrival = self.arrival(&identity, &event, target.workload, time_left);
        let admitted = match NothingRan::for_request(resend_until) {
            Some(nothing_ran) => self.admit(now, &event.id, &arrival, &nothing_ran)?,
            None => self.admit_resumed(&event.id, &arrival)?,
        };
        self.counters.accepted += 1;
        if let (Some(tracker), Some(prefix)) = (&mut self.prefix_tracker, &target.prefix) {
            tracker.record_use(&prefix.name, prefix.size);
        }
        let new = NewRequest {
            customer: target.customer,
            time_left,
            is_retry: admitted.is_retry,
            priority_factor: 1.0,
            clients: vec![conn],
            on_end: None,
            resend_until,
            content: target.content(&identity, &admitted, event),
        };
        self.start_client_request(now, conn, identity, new);
        Ok(())
    }

    /// Returns what the event of a single request names, or an error answer if something is missing or
    /// unknown.
    fn target_of(&self, event: &ReceivedEvent) -> Result<RequestTarget, Rc<Answer>> {
        let workload = self.workload_of(event)?;
        let function = self.function_of(workload, event)?;
        let customer = self.customer_of(event)?;
        Ok(RequestTarget { workload, function, customer, prefix: self.prefix_of(workload, event) })
    }

    /// Starts a request on behalf of a client that waits for its answer.
    fn start_client_request(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        identity: EventIdentity,
        new: NewRequest,
    ) {
        let request = self.start_request(now, new);
        self.idempotency.start(identity, request);
        if let Some(client) = self.clients.get_mut(&conn) {
            client.request = Some(request);
        }
    }

    /// Returns the index of the workload that the event's type belongs to.
    fn workload_of(&self, event: &ReceivedEvent) -> Result<usize, Rc<Answer>> {
        let mut workloads = self.deployment.workloads.iter();
        workloads.position(|workload| workload.types.contains(&event.event_type)).ok_or_else(|| {
            let shown: String = event.event_type.escape_default().take(MAX_SHOWN_TYPE_CHARS).collect();
            let detail = format!("no workload takes events of type '{shown}'");
            refuse(&event.id, &Fault::new(422, "unknown-workload", detail))
        })
    }

    /// Returns the name of the function that the event calls.
    fn function_of(&self, workload: usize, event: &ReceivedEvent) -> Result<String, Rc<Answer>> {
        let source = &self.deployment.workloads[workload].function_source;
        let function = match source {
            FunctionSource::Named(name) => Some(name.as_str()),
            FunctionSource::Attribute(name) => event.attribute(name).filter(|value| !value.is_empty()),
        };
        function.map(str::to_owned).ok_or_else(|| {
            let detail = format!("the event does not name its function: {source:?}");
            refuse(&event.id, &Fault::new(422, "no-function", detail))
        })
    }

    /// Returns the prompt prefix that the event names. One of unknown size is prepared like any other, but
    /// never pinned.
    fn prefix_of(&self, workload: usize, event: &ReceivedEvent) -> Option<PromptPrefix> {
        let attributes = self.deployment.workloads[workload].prefix_attributes.as_ref()?;
        let name = event.attribute(&attributes.name)?;
        if !(1..=MAX_PREFIX_NAME_BYTES).contains(&name.len()) {
            return None;
        }
        let size = event.attribute(&attributes.size).and_then(|size| size.parse().ok()).unwrap_or(0);
        Some(PromptPrefix { name: name.to_owned(), size })
    }

    /// Returns the customer that the event names, if any.
    pub(super) fn customer_of(&self, event: &ReceivedEvent) -> Result<Option<CustomerId>, Rc<Answer>> {
        let Some(name) = event.attribute(&self.deployment.customer_attribute) else { return Ok(None) };
        let configs = &self.deployment.startup.customers;
        let index = self.deployment.customers.iter().position(|known| known == name);
        // A customer that a reload removed keeps its name and index, with a quota of zero.
        match index.filter(|index| configs[*index].requests_per_second > 0.0) {
            Some(index) => Ok(Some(CustomerId(index))),
            None => {
                let fault = Fault::new(422, "unknown-customer", "no such customer has a share here");
                Err(refuse(&event.id, &fault))
            }
        }
    }

    /// Returns the time until the event's answer is due, or a 504 answer if its deadline has passed.
    pub(super) fn time_left_of(
        &self,
        now: Micros,
        limit: Micros,
        event: &ReceivedEvent,
    ) -> Result<Micros, Rc<Answer>> {
        deadline::time_left(now, limit, event.deadline).ok_or_else(|| {
            refuse(&event.id, &Fault::new(504, "expired", "the event's time was up when it came"))
        })
    }

    /// Attaches a client to the request or workflow in progress of the same event, or returns the cached
    /// answer, or a refusal if the key belongs to another event. `limit` is the time limit of the event's
    /// type.
    pub(super) fn join_or_replay(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        identity: &EventIdentity,
        limit: Micros,
        event: &ReceivedEvent,
    ) -> Known {
        match self.idempotency.look_up(now, identity) {
            Lookup::InProgress(request) => {
                let time_left = match self.time_left_of(now, limit, event) {
                    Ok(time_left) => time_left,
                    Err(expired) => return Known::Handled(Err(expired)),
                };
                self.counters.joined += 1;
                self.join(now, conn, request, time_left);
                Known::Handled(Ok(()))
            }
            Lookup::Completed(answer) => {
                self.counters.replayed += 1;
                Known::Handled(Err(answer))
            }
            Lookup::OtherEvent => Known::Handled(Err(self.refuse_other_event(event))),
            Lookup::MayHaveRun => Known::MayHaveRun,
            Lookup::MayBeSentAgain { until } => Known::New { resend_until: Some(until) },
            Lookup::New => Known::New { resend_until: None },
        }
    }

    /// Answers an event of which an earlier request may have run, and which must not be sent again.
    fn refuse_repeat(&mut self, event: &ReceivedEvent) -> Rc<Answer> {
        self.counters.replayed += 1;
        let detail = "the job may have run; its answer is not known, and workers may not recognise a repeat";
        let fault = Fault::new(502, "killed", detail);
        tracing::info!(id = event.id, source = event.source, reason = fault.reason, "event not sent again");
        Answer::problem(FinalOutcome::Failed, &fault, Some(&event.id), None)
    }

    /// Refuses an event whose key belongs to another event. It is no rejection: this instance does not know
    /// whether an earlier attempt of the refused event has run, here or elsewhere.
    pub(super) fn refuse_other_event(&mut self, event: &ReceivedEvent) -> Rc<Answer> {
        self.counters.id_conflicts += 1;
        let detail = "another event has this source and id; whether this one has run before is not known";
        let fault = Fault::new(409, "id-conflict", detail);
        let ReceivedEvent { id, source, event_type, .. } = event;
        tracing::warn!(id, source, event_type, reason = fault.reason, status = fault.status, "event refused");
        Answer::problem(FinalOutcome::Failed, &fault, Some(id), None)
    }

    /// Admits or rejects an event of which nothing has run: by the number of open requests, and by admission
    /// control, which sheds load during a retry storm.
    pub(super) fn admit(
        &mut self,
        now: Micros,
        id: &str,
        arrival: &Arrival,
        _: &NothingRan,
    ) -> Result<Admitted, Rc<Answer>> {
        if self.open_count() >= MAX_OPEN_REQUESTS {
            let fault = Fault::new(503, "too-many-jobs", "this router holds as many jobs as it may");
            let retry_after = Some(TOO_MANY_RETRY_AFTER);
            return Err(Answer::problem(FinalOutcome::Rejected, &fault, Some(id), retry_after));
        }
        let decision = self.admission.decide(now, arrival);
        self.log_traffic_change(now);
        match decision {
            Decision::Admitted { is_retry } => Ok(Admitted::new(arrival, is_retry)),
            Decision::Rejected { .. } if !self.deployment.storm_shedding => {
                Ok(Admitted::new(arrival, arrival.is_retry))
            }
            Decision::Rejected { retry_after, reason } => {
                Err(self.shed(now, id, arrival.request_id, retry_after, reason))
            }
        }
    }

    /// Admits the event of a workflow that is resumed and of which a step may have run, or of a request that
    /// is sent again and may have run. It is never rejected: the client would take that for a promise that a
    /// retry elsewhere is harmless. Admission control is not asked, as it would reserve a time for the retry
    /// of an event that it rejects. At the limit of open requests the event fails.
    pub(super) fn admit_resumed(&self, id: &str, arrival: &Arrival) -> Result<Admitted, Rc<Answer>> {
        if self.open_count() >= MAX_OPEN_WITH_RESUMED {
            let fault = Fault::new(502, "too-many-jobs", "this router holds as many jobs as it may");
            return Err(Answer::problem(FinalOutcome::Failed, &fault, Some(id), None));
        }
        Ok(Admitted::new(arrival, arrival.is_retry))
    }

    /// Number of open requests and workflows.
    fn open_count(&self) -> usize {
        self.requests.len() + self.workflows.active.len()
    }

    /// Describes an event to admission control.
    pub(super) fn arrival(
        &self,
        identity: &EventIdentity,
        event: &ReceivedEvent,
        workload: usize,
        time_left: Micros,
    ) -> Arrival {
        Arrival {
            client: identity.client_digest(),
            request_id: identity.digest(),
            is_retry: event.is_retry,
            importance: self.deployment.startup.workloads[workload].priority_weight,
            remaining: time_left,
        }
    }

    /// Rejects an event during a retry storm, before it reaches `Control`.
    fn shed(
        &mut self,
        now: Micros,
        id: &str,
        digest: u64,
        retry_after: Option<Micros>,
        reason: &'static str,
    ) -> Rc<Answer> {
        self.counters.shed += 1;
        if let (Some(history), Some(wait)) = (&mut self.history, retry_after) {
            history.record_scheduled_retry(now, ScheduledRetry { request: digest, wait });
        }
        tracing::debug!(id, reason, "load shed");
        let status = if reason == "retry-budget" { 429 } else { 503 };
        let detail = "many ask again at once; a retry does no harm at the time told";
        Answer::problem(FinalOutcome::Rejected, &Fault::new(status, reason, detail), Some(id), retry_after)
    }
}
