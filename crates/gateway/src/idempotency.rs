//! The idempotency table: deduplicates events of clients, and caches final answers for replay.
//!
//! The key of an event is its `source` and `id`. An event that is the same as the one of a request in
//! progress (`event_identity`) joins that request. After its end, the answer is replayed if running the
//! request again could do harm or would only repeat work. The cache of answers is bounded by age, number and
//! total size. While a key is in progress or its answer cached, another event with the same key is refused:
//! workers that recognise duplicates by the key would give it the answer of the first one.
//!
//! State: the keys in progress and the cached answers. Updated by the gateway when a request or a workflow
//! starts or ends, or is dropped because its last client disconnected before anything was sent.
use crate::deployment::AnswerRetention;
use crate::event_identity::{EventContent, EventIdentity};
use applepond::interface::{Micros, RequestId, RetrySafety};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

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
    /// An attempt may have been executed, whatever the outcome is.
    pub(crate) may_have_run: bool,
}

/// A request or workflow in progress.
struct InProgress {
    request: RequestId,
    content: EventContent,
}

/// What is kept of a request that has ended, until it expires.
struct CachedAnswer<A> {
    content: EventContent,
    expires_at: Micros,
    /// Sequence number of the completion; distinguishes answers that expire at the same time.
    sequence: u64,
    /// Size of the answer, its key and the digest of its event.
    bytes: usize,
    /// The answer that is replayed; `None` if only other events are kept from the key.
    answer: Option<Rc<A>>,
}

/// Keys in progress and cached answers of type `A`.
pub(crate) struct IdempotencyTable<A> {
    in_progress: HashMap<IdempotencyKey, InProgress>,
    cached: HashMap<IdempotencyKey, CachedAnswer<A>>,
    /// Expiry, sequence number and key of each cached answer, in the order of expiry.
    by_expiry: BTreeSet<(Micros, u64, IdempotencyKey)>,
    last_sequence: u64,
    /// Total size of the cached answers and their keys.
    cached_bytes: usize,
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

/// How long workers know the key of a request that was rejected although it may have run, which is told only
/// where a retry does no harm. Until then they would answer another event with its key with its result.
fn reserved_time<A>(completion: &Completion<A>) -> Option<Micros> {
    match (completion.outcome, completion.retry_safety) {
        (FinalOutcome::Rejected, RetrySafety::Keyed { window, .. }) if completion.may_have_run => {
            Some(window)
        }
        _ => None,
    }
}

impl<A> IdempotencyTable<A> {
    /// Creates an empty table.
    pub(crate) fn new(retention: AnswerRetention) -> Self {
        IdempotencyTable {
            in_progress: HashMap::new(),
            cached: HashMap::new(),
            by_expiry: BTreeSet::new(),
            last_sequence: 0,
            cached_bytes: 0,
            retention,
        }
    }

    /// Returns the number of cached answers.
    pub(crate) fn cached_answers(&self) -> usize {
        self.cached.len()
    }

    /// Looks up an event, after dropping expired answers.
    pub(crate) fn look_up(&mut self, now: Micros, event: &EventIdentity) -> Lookup<A> {
        self.drop_expired(now);
        let EventIdentity { key, content } = event;
        match (self.in_progress.get(key), self.cached.get(key)) {
            (None, None) => Lookup::New,
            (Some(entry), _) if entry.content.is_same(content) => Lookup::InProgress(entry.request),
            (None, Some(cached)) if cached.content.is_same(content) => {
                cached.answer.clone().map_or(Lookup::New, Lookup::Completed)
            }
            _ => Lookup::OtherEvent,
        }
    }

    /// Whether a request with this key is in progress, or its answer cached.
    pub(crate) fn is_in_use(&mut self, now: Micros, key: &IdempotencyKey) -> bool {
        self.drop_expired(now);
        self.in_progress.contains_key(key) || self.cached.contains_key(key)
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

    /// Removes the key of a request that is dropped before it was sent, as no client waits for it.
    pub(crate) fn abandon(&mut self, key: &IdempotencyKey) {
        self.in_progress.remove(key);
    }

    /// Records the end of a request, and caches its answer if it is to be replayed, or reserves its key if
    /// workers know it. Has no effect if the key is in progress for another request.
    pub(crate) fn complete(
        &mut self,
        now: Micros,
        key: &IdempotencyKey,
        request: RequestId,
        completion: Completion<A>,
    ) {
        let Some(content) = self.take_in_progress(key, request) else { return };
        if is_replayed(completion.outcome, completion.retry_safety) {
            let Completion { answer, bytes, .. } = completion;
            self.cache(now + self.retention.time, key, content, bytes, Some(answer));
        } else if let Some(time) = reserved_time(&completion) {
            self.cache(now + time, key, content, 0, None);
        }
        self.drop_expired(now);
    }

    /// Keeps an answer of this size, or the key alone, until `expires_at`. An answer that exceeds the limit
    /// by itself is not kept.
    fn cache(
        &mut self,
        expires_at: Micros,
        key: &IdempotencyKey,
        content: EventContent,
        answer_bytes: usize,
        answer: Option<Rc<A>>,
    ) {
        if answer_bytes > self.retention.max_bytes {
            return;
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let bytes = answer_bytes + key.len() + EventContent::SIZE_BYTES;
        let cached = CachedAnswer { content, expires_at, sequence, bytes, answer };
        if let Some(old) = self.cached.insert(key.clone(), cached) {
            self.by_expiry.remove(&(old.expires_at, old.sequence, key.clone()));
            self.cached_bytes -= old.bytes;
        }
        self.by_expiry.insert((expires_at, sequence, key.clone()));
        self.cached_bytes += bytes;
    }

    /// Removes the key of this request, and returns the content of its event.
    fn take_in_progress(&mut self, key: &IdempotencyKey, request: RequestId) -> Option<EventContent> {
        self.in_progress.get(key).filter(|entry| entry.request == request)?;
        self.in_progress.remove(key).map(|entry| entry.content)
    }

    /// Drops expired answers, and then the oldest ones until the limits are met.
    fn drop_expired(&mut self, now: Micros) {
        while let Some((expires_at, _, _)) = self.by_expiry.first()
            && (*expires_at <= now
                || self.cached.len() > self.retention.max_answers
                || self.cached_bytes > self.retention.max_bytes)
        {
            let Some((_, _, key)) = self.by_expiry.pop_first() else { return };
            self.cached_bytes -= self.cached.remove(&key).map_or(0, |cached| cached.bytes);
        }
    }
}

#[cfg(test)]
mod tests;
