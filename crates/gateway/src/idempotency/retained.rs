//! What is kept of events whose requests have ended, bounded by age, number and total size.
//!
//! Two periods follow the end of a request. While its answer is retained, it is replayed to the same event.
//! While workers recognise the key of a keyed request, they would answer another event with its key with the
//! first one's result, so the key is kept from other events. The second period may be the longer one; then
//! the key alone remains of the entry. Where the limits are exceeded, such keys are dropped first: a retry
//! needs the other entries, so that it is not executed twice.
use super::IdempotencyKey;
use crate::deployment::AnswerRetention;
use crate::event_identity::EventContent;
use applepond::interface::Micros;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// What the same event finds when it is sent again.
pub(super) enum Retained<A> {
    /// The answer, which is replayed.
    Answer(Rc<A>),
    /// An earlier attempt may have been executed, and no answer is there to be replayed. The event may be
    /// sent again until this time.
    MayHaveRun { resend_until: Micros },
    /// Nothing: the event starts a new request.
    KeyOnly,
}

/// An ended event to be retained.
pub(super) struct NewEntry<A> {
    pub(super) key: IdempotencyKey,
    pub(super) content: EventContent,
    pub(super) retained: Retained<A>,
    /// Size of the answer in `retained`, in bytes.
    pub(super) answer_bytes: usize,
    /// When the retry of the event no longer needs the entry.
    pub(super) expires_at: Micros,
    /// When workers no longer recognise the key; 0 if they do not look at it.
    pub(super) reserved_until: Micros,
}

/// What is kept of one ended event.
struct Entry<A> {
    content: EventContent,
    retained: Retained<A>,
    expires_at: Micros,
    reserved_until: Micros,
    /// Distinguishes entries that expire at the same time.
    sequence: u64,
    /// Size of the answer, the key and the digest of the event.
    bytes: usize,
}

/// Expiry, sequence number and key of an entry.
type Expiry = (Micros, u64, IdempotencyKey);

/// The retained events with answers of type `A`, by their key.
pub(super) struct RetainedEvents<A> {
    entries: HashMap<IdempotencyKey, Entry<A>>,
    /// The entries that a retry needs, in the order of expiry.
    needed_by_retries: BTreeSet<Expiry>,
    /// The entries of which the key alone is left, in the order of expiry.
    key_only: BTreeSet<Expiry>,
    last_sequence: u64,
    /// Total size of the entries.
    bytes: usize,
    limits: AnswerRetention,
}

impl<A> RetainedEvents<A> {
    pub(super) fn new(limits: AnswerRetention) -> Self {
        RetainedEvents {
            entries: HashMap::new(),
            needed_by_retries: BTreeSet::new(),
            key_only: BTreeSet::new(),
            last_sequence: 0,
            bytes: 0,
            limits,
        }
    }

    /// The number of entries.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Total size of the entries in bytes.
    #[cfg(test)]
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the content of the event that ended with this key, and what is retained of it.
    pub(super) fn get(&self, key: &IdempotencyKey) -> Option<(&EventContent, &Retained<A>)> {
        self.entries.get(key).map(|entry| (&entry.content, &entry.retained))
    }

    /// Until when workers recognise this key, as far as an entry has it.
    pub(super) fn reserved_until(&self, key: &IdempotencyKey) -> Option<Micros> {
        self.entries.get(key).map(|entry| entry.reserved_until)
    }

    /// Adds an entry in place of an earlier one with its key, and drops what the limits then do not allow.
    pub(super) fn insert(&mut self, now: Micros, new: NewEntry<A>) {
        let NewEntry { key, content, retained, answer_bytes, expires_at, reserved_until } = new;
        let bytes = answer_bytes + key.len() + EventContent::SIZE_BYTES;
        self.add(key, Entry { content, retained, expires_at, reserved_until, sequence: 0, bytes });
        self.drop_expired(now);
    }

    /// Drops what has expired, and then the entries that expire first until the limits are met.
    pub(super) fn drop_expired(&mut self, now: Micros) {
        while let Some(key) = pop_expired(&mut self.needed_by_retries, now) {
            self.reduce_to_key(now, key);
        }
        while let Some(key) = pop_expired(&mut self.key_only, now) {
            self.forget(&key);
        }
        while self.exceeds_limits() {
            let first = self.key_only.pop_first().or_else(|| self.needed_by_retries.pop_first());
            let Some((_, _, key)) = first else { return };
            self.forget(&key);
        }
    }

    fn exceeds_limits(&self) -> bool {
        self.entries.len() > self.limits.max_answers || self.bytes > self.limits.max_bytes
    }

    /// Keeps the key alone of an expired entry, as long as workers recognise it.
    fn reduce_to_key(&mut self, now: Micros, key: IdempotencyKey) {
        let Some(entry) = self.forget(&key).filter(|entry| entry.reserved_until > now) else { return };
        let bytes = key.len() + EventContent::SIZE_BYTES;
        let expires_at = entry.reserved_until;
        self.add(key, Entry { retained: Retained::KeyOnly, expires_at, bytes, ..entry });
    }

    /// Adds an entry with the next sequence number, in place of an earlier one with its key.
    fn add(&mut self, key: IdempotencyKey, entry: Entry<A>) {
        self.last_sequence += 1;
        let entry = Entry { sequence: self.last_sequence, ..entry };
        self.bytes += entry.bytes;
        let expiry = (entry.expires_at, entry.sequence, key.clone());
        self.expiries_of(&entry.retained).insert(expiry);
        if let Some(old) = self.entries.insert(key.clone(), entry) {
            self.bytes -= old.bytes;
            self.expiries_of(&old.retained).remove(&(old.expires_at, old.sequence, key));
        }
    }

    /// Removes an entry that is in no index any more.
    fn forget(&mut self, key: &IdempotencyKey) -> Option<Entry<A>> {
        let entry = self.entries.remove(key)?;
        self.bytes -= entry.bytes;
        Some(entry)
    }

    /// The index that has the entries with such a remainder.
    fn expiries_of(&mut self, retained: &Retained<A>) -> &mut BTreeSet<Expiry> {
        match retained {
            Retained::Answer(_) | Retained::MayHaveRun { .. } => &mut self.needed_by_retries,
            Retained::KeyOnly => &mut self.key_only,
        }
    }
}

/// Removes and returns the key of the entry that expired first, if any has expired.
fn pop_expired(expiries: &mut BTreeSet<Expiry>, now: Micros) -> Option<IdempotencyKey> {
    expiries.first().filter(|(expires_at, _, _)| *expires_at <= now)?;
    expiries.pop_first().map(|(_, _, key)| key)
}
