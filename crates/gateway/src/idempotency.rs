//! The idempotency table: deduplicates events of clients, and caches final answers for replay.
//!
//! The key of an event is its `source` and `id`. An event that is the same as the one of a request in
//! progress (`event_identity`) joins that request. After its end, the answer is replayed if running the
//! request again could do harm or would only repeat work. While a key is in progress, its answer cached, or
//! the key known to workers, another event with the same key is refused: workers that recognise duplicates by
//! the key would give it the answer of the first one.
//!
//! State: the keys in progress, and what is retained of ended requests (`retained`). Updated by the gateway
//! when a request or a workflow starts or ends, or is dropped because its last client disconnected before
//! anything was sent.
use crate::deployment::AnswerRetention;
use crate::event_identity::{EventContent, EventIdentity};
use applepond::interface::{Micros, RequestId, RetrySafety};
use retained::{NewEntry, Retained, RetainedEvents};
use std::collections::HashMap;
use std::rc::Rc;

mod retained;

/// `source` and `id` of an event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct IdempotencyKey {
    pub(crate) source: Rc<str>,
    pub(crate) id: Rc<str>,
}

impl IdempotencyKey {
    pub(crate) fn new(source: &str, id: &str) -> Self {
        IdempotencyKey { source: Rc::from(source), id: Rc::from(id) }
    }

    /// Size of the key in bytes.
    fn len(&self) -> usize {
        self.source.len() + self.id.len()
    }
}

/// How a request ended, as reported to its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinalOutcome {
    /// A worker ran it and responded.
    Finished,
    /// It never ran; it is safe to retry.
    Rejected,
    /// It did not finish, but may have run.
    Failed,
}

/// Result of looking up an event.
#[derive(Debug, PartialEq)]
pub(crate) enum Lookup<A> {
    /// The key is unknown: the event starts a new request.
    New,
    /// A request of the same event is in progress; the event joins it.
    InProgress(RequestId),
    /// A request of the same event has ended; its answer is replayed.
    Completed(Rc<A>),
    /// A request of the same event may have run, and has no answer that could be replayed. Until this time
    /// workers recognise a repeat.
    MayBeSentAgain { until: Micros },
    /// The same when workers no longer recognise a repeat: the event must not be sent.
    MayHaveRun,
    /// The key belongs to an event with other content; this one is refused.
    OtherEvent,
}

/// The end of a request.
pub(crate) struct Completion<A> {
    pub(crate) outcome: FinalOutcome,
    /// Retry safety as configured when the request was accepted.
    pub(crate) retry_safety: RetrySafety,
    pub(crate) answer: Rc<A>,
    /// Size of the answer.
    pub(crate) bytes: usize,
    /// If an attempt may have been executed, whatever the outcome is, and the request is keyed: until when
    /// its event may be sent again.
    pub(crate) resend_until: Option<Micros>,
}

/// A request or workflow in progress.
struct InProgress {
    request: RequestId,
    content: EventContent,
}

/// Keys in progress and cached answers of type `A`.
pub(crate) struct IdempotencyTable<A> {
    in_progress: HashMap<IdempotencyKey, InProgress>,
    ended: RetainedEvents<A>,
    retention: AnswerRetention,
}

/// Whether a request's answer is replayed after its end. A rejection invites a retry, which must start a new
/// request. After a failure the request may have run, so only an idempotent one may run again.
fn is_replayed(outcome: FinalOutcome, retry_safety: RetrySafety) -> bool {
    match outcome {
        FinalOutcome::Finished => true,
        FinalOutcome::Rejected => false,
        FinalOutcome::Failed => retry_safety != RetrySafety::Idempotent,
    }
}

/// What a retry of the event finds after this end; `None` if it starts a new request and workers know no key.
fn retained_after<A>(completion: &Completion<A>, max_bytes: usize) -> Option<Retained<A>> {
    let Completion { outcome, retry_safety, answer, bytes, resend_until } = completion;
    if !is_replayed(*outcome, *retry_safety) {
        return resend_until.map(|resend_until| Retained::MayHaveRun { resend_until });
    }
    if *bytes <= max_bytes {
        return Some(Retained::Answer(answer.clone()));
    }
    (*retry_safety != RetrySafety::Idempotent).then_some(Retained::MayHaveRun { resend_until: 0 })
}

impl<A> IdempotencyTable<A> {
    /// Creates an empty table.
    pub(crate) fn new(retention: AnswerRetention) -> Self {
        IdempotencyTable { in_progress: HashMap::new(), ended: RetainedEvents::new(retention), retention }
    }

    /// Returns the number of ended events of which something is retained.
    pub(crate) fn retained(&self) -> usize {
        self.ended.len()
    }

    /// Looks up an event, after dropping what has expired.
    pub(crate) fn look_up(&mut self, now: Micros, event: &EventIdentity) -> Lookup<A> {
        self.ended.drop_expired(now);
        let EventIdentity { key, content } = event;
        if let Some(entry) = self.in_progress.get(key) {
            let is_same = entry.content.is_same(content);
            return if is_same { Lookup::InProgress(entry.request) } else { Lookup::OtherEvent };
        }
        match self.ended.get(key) {
            None => Lookup::New,
            Some((ended, _)) if !ended.is_same(content) => Lookup::OtherEvent,
            Some((_, Retained::Answer(answer))) => Lookup::Completed(answer.clone()),
            Some((_, Retained::MayHaveRun { resend_until })) if now < *resend_until => {
                Lookup::MayBeSentAgain { until: *resend_until }
            }
            Some((_, Retained::MayHaveRun { .. })) => Lookup::MayHaveRun,
            Some((_, Retained::KeyOnly)) => Lookup::New,
        }
    }

    /// Whether workers may know this key from a request that has ended.
    pub(crate) fn is_known_to_workers(&self, now: Micros, key: &IdempotencyKey) -> bool {
        self.ended.reserved_until(key).is_some_and(|until| now < until)
    }

    /// Returns the request or workflow in progress with this key.
    pub(crate) fn request_in_progress(&self, key: &IdempotencyKey) -> Option<RequestId> {
        self.in_progress.get(key).map(|entry| entry.request)
    }

    /// Records that a request or workflow of this event has started. A key in progress stays with the request
    /// that has it.
    pub(crate) fn start(&mut self, event: EventIdentity, request: RequestId) {
        let entry = self.in_progress.entry(event.key);
        entry.or_insert(InProgress { request, content: event.content });
    }

    /// Removes the key of a request that is dropped before it was sent, as no client waits for it. Has no
    /// effect if the key is in progress for another request.
    pub(crate) fn abandon(&mut self, key: &IdempotencyKey, request: RequestId) {
        self.take_in_progress(key, request);
    }

    /// Records the end of a request, and retains its answer if it is to be replayed, and its key if workers
    /// know it. Has no effect if the key is in progress for another request.
    pub(crate) fn complete(
        &mut self,
        now: Micros,
        key: &IdempotencyKey,
        request: RequestId,
        completion: Completion<A>,
    ) {
        let Some(content) = self.take_in_progress(key, request) else { return };
        let Some(retained) = retained_after(&completion, self.retention.max_bytes) else { return };
        let reserved_until = match completion.retry_safety {
            RetrySafety::Keyed { window, .. } => now + window,
            RetrySafety::Idempotent | RetrySafety::AtMostOnce => 0,
        };
        let (answer_bytes, expires_at) = match retained {
            Retained::Answer(_) => (completion.bytes, now + self.retention.time),
            Retained::MayHaveRun { resend_until } => (0, resend_until.max(now) + self.retention.time),
            Retained::KeyOnly => (0, reserved_until),
        };
        let key = key.clone();
        let entry = NewEntry { key, content, retained, answer_bytes, expires_at, reserved_until };
        self.ended.insert(now, entry);
    }

    /// Removes the key of this request, and returns the content of its event.
    fn take_in_progress(&mut self, key: &IdempotencyKey, request: RequestId) -> Option<EventContent> {
        self.in_progress.get(key).filter(|entry| entry.request == request)?;
        self.in_progress.remove(key).map(|entry| entry.content)
    }
}

#[cfg(test)]
mod tests;
