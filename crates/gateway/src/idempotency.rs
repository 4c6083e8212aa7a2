//! The idempotency table: which exchanges share a request, and which get a cached answer after its end.
//!
//! CloudEvents makes two events with the same `source` and `id` the same event, so this pair is the key. An
//! exchange whose key belongs to a request in progress joins it. After the end, the answer is replayed where
//! running the request again could do harm, or would only repeat work. Answers are cached for a time, up to a
//! number and a sum of bytes.
//!
//! Owned here: the keys in progress and the cached answers. Written by the gateway when a request or a
//! workflow starts, ends, or is dropped because its last client left before anything was sent.
use crate::deployment::AnswerRetention;
use applepond::interface::{Micros, RequestId, RetrySafety};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// `source` and `id` of an event: two events with the same key are the same request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct IdempotencyKey {
    pub(crate) source: Rc<str>,
    pub(crate) id: Rc<str>,
}

impl IdempotencyKey {
    pub(crate) fn new(source: &str, id: &str) -> Self {
        IdempotencyKey { source: Rc::from(source), id: Rc::from(id) }
    }

    /// Bytes that the key itself takes.
    fn len(&self) -> usize {
        self.source.len() + self.id.len()
    }
}

/// How a request ended for its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinalOutcome {
    /// A worker ran it and answered.
    Finished,
    /// It never ran; a retry does no harm.
    Rejected,
    /// It did not finish; it may have run.
    Failed,
}

/// What to do with an exchange that carries a key.
#[derive(Debug, PartialEq)]
pub(crate) enum Lookup<A> {
    /// The key is unknown: the exchange starts a request of its own.
    New,
    /// A request with this key is in progress; the exchange waits for its answer.
    InProgress(RequestId),
    /// A request with this key has ended; the exchange gets its answer.
    Completed(Rc<A>),
}

/// The end of a request, as the table needs to know it.
pub(crate) struct Completion<A> {
    pub(crate) outcome: FinalOutcome,
    /// Whether the request may run again, by the configuration under which it was accepted.
    pub(crate) retry_safety: RetrySafety,
    pub(crate) answer: Rc<A>,
    /// Size of the answer.
    pub(crate) bytes: usize,
}

/// An answer that is replayed until it expires.
struct CachedAnswer<A> {
    expires_at: Micros,
    /// Number of the completion: tells apart answers that expire at the same time.
    sequence: u64,
    /// Size of answer and key.
    bytes: usize,
    answer: Rc<A>,
}

/// Keys in progress and cached answers; `A` is the answer.
pub(crate) struct IdempotencyTable<A> {
    in_progress: HashMap<IdempotencyKey, RequestId>,
    cached: HashMap<IdempotencyKey, CachedAnswer<A>>,
    /// Expiry, sequence number and key of each cached answer; the first expires first.
    by_expiry: BTreeSet<(Micros, u64, IdempotencyKey)>,
    last_sequence: u64,
    /// Sum of the cached answers' bytes.
    cached_bytes: usize,
    retention: AnswerRetention,
}

/// Whether a request's answer is replayed after its end. A rejection invites a retry, so that must be a new
/// request. A failure says nothing of whether it ran, and what may have run must not run again unless it is
/// idempotent.
fn is_replayed(outcome: FinalOutcome, retry_safety: RetrySafety) -> bool {
    match outcome {
        FinalOutcome::Finished => true,
        FinalOutcome::Rejected => false,
        FinalOutcome::Failed => retry_safety != RetrySafety::Idempotent,
    }
}

impl<A> IdempotencyTable<A> {
    /// An empty table.
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

    /// Answers cached now.
    pub(crate) fn cached_answers(&self) -> usize {
        self.cached.len()
    }

    /// Says what an exchange with this key is.
    pub(crate) fn look_up(&mut self, now: Micros, key: &IdempotencyKey) -> Lookup<A> {
        self.drop_expired(now);
        if let Some(request) = self.in_progress.get(key) {
            return Lookup::InProgress(*request);
        }
        self.cached.get(key).map_or(Lookup::New, |cached| Lookup::Completed(cached.answer.clone()))
    }

    /// A request or workflow with this key has started.
    pub(crate) fn start(&mut self, key: IdempotencyKey, request: RequestId) {
        self.in_progress.insert(key, request);
    }

    /// A request that was never sent is dropped, as no exchange waits for it any more.
    pub(crate) fn abandon(&mut self, key: &IdempotencyKey) {
        self.in_progress.remove(key);
    }

    /// A request has ended; its answer is cached where it is to be replayed.
    pub(crate) fn complete(&mut self, now: Micros, key: &IdempotencyKey, completion: Completion<A>) {
        self.in_progress.remove(key);
        let replayed = is_replayed(completion.outcome, completion.retry_safety);
        if !replayed || completion.bytes > self.retention.max_bytes {
            return;
        }
        self.last_sequence += 1;
        let expires_at = now + self.retention.time;
        let bytes = completion.bytes + key.len();
        let cached =
            CachedAnswer { expires_at, sequence: self.last_sequence, bytes, answer: completion.answer };
        if let Some(old) = self.cached.insert(key.clone(), cached) {
            self.by_expiry.remove(&(old.expires_at, old.sequence, key.clone()));
            self.cached_bytes -= old.bytes;
        }
        self.by_expiry.insert((expires_at, self.last_sequence, key.clone()));
        self.cached_bytes += bytes;
        self.drop_expired(now);
    }

    /// Drops what has expired, and the oldest answers until the bounds are met.
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
