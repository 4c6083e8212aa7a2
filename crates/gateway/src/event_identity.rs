//! Which events are the same: those with the same `source`, `id` and content.
//!
//! CloudEvents asks producers to give each event a `source` and `id` of its own, and lets consumers take two
//! events with the same pair for duplicates. Clients make mistakes, so the content is compared as well: an
//! event with other content is another event, and must not get the answer of the first one.
//!
//! The content is the type, all other attributes and the data, except for the attributes that a client may
//! change when it sends its event again ([`CHANGED_BY_RETRIES`]).
use crate::client::ReceivedEvent;
use crate::idempotency::IdempotencyKey;
use applepond::interface::FunctionId;
use applepond_http::encode::HeaderLines;
use applepond_storage::WorkflowRecord;
use blake3::{Hash, Hasher};

/// Attributes that may differ between an event and a retry of it: the mark of a retry, the time left, when
/// the event was sent, and its trace.
const CHANGED_BY_RETRIES: [&str; 6] =
    ["ce-retry", "ce-timelimit", "ce-expirytime", "ce-time", "ce-traceparent", "ce-tracestate"];
/// Attributes that are compared by themselves.
const COMPARED_APART: [&str; 2] = ["ce-id", "ce-type"];

/// A digest of the content of an event.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventContent {
    /// Digest of the type, one of those in the settings; `None` for a workflow of several types whose record
    /// does not have it.
    event_type: Option<FunctionId>,
    /// Digest of the attributes and the data. It is a cryptographic hash, so that a client cannot find other
    /// ones with the digest of given ones.
    rest: Hash,
}

impl EventContent {
    /// Memory that a digest takes, in bytes.
    pub(crate) const SIZE_BYTES: usize = size_of::<EventContent>();

    /// The digest of the content with this type, these attributes (as header fields, in any order), media
    /// type and data.
    pub(crate) fn new(
        event_type: Option<&str>,
        attributes: &HeaderLines,
        media_type: Option<&str>,
        data: &[u8],
    ) -> Self {
        EventContent {
            event_type: event_type.map(FunctionId::named),
            rest: digest_without_type(attributes, media_type, data),
        }
    }

    /// The content of the event that started a stored workflow, which takes events of these types.
    pub(crate) fn of_record(record: &WorkflowRecord, types: &[String]) -> Self {
        let only_type = if let [only_type] = types { Some(only_type.as_str()) } else { None };
        let event_type = record.event_type.as_deref().or(only_type);
        let attributes = HeaderLines::from_bytes(record.header_lines.clone());
        EventContent::new(event_type, &attributes, record.content_type.as_deref(), &record.data)
    }

    /// A short form of the digest, for estimates only.
    fn short_digest(&self) -> u64 {
        let (word, _) = self.rest.as_bytes().split_first_chunk().expect("a digest has 32 bytes");
        self.event_type.map_or(0, |event_type| event_type.0).rotate_left(1) ^ u64::from_le_bytes(*word)
    }

    /// Whether two events have the same content. A type that is not known is not compared.
    pub(crate) fn is_same(&self, other: &EventContent) -> bool {
        let has_same_type = match (self.event_type, other.event_type) {
            (Some(event_type), Some(other_type)) => event_type == other_type,
            _ => true,
        };
        has_same_type && self.rest == other.rest
    }
}

/// Hashes the attributes in the order of their names, an empty line and the data. As in an HTTP message, no
/// attribute can be taken for a part of the data.
fn digest_without_type(attributes: &HeaderLines, media_type: Option<&str>, data: &[u8]) -> Hash {
    let mut lines: Vec<_> = attributes.lines().filter(|line| is_content(line.name())).collect();
    // The sort is stable: the order of two lines with the same name counts.
    lines.sort_by_key(|line| line.name());
    let mut hasher = Hasher::new();
    for line in lines {
        hasher.update(line.bytes());
    }
    if let Some(media_type) = media_type {
        hasher.update(b"content-type: ").update(media_type.as_bytes()).update(b"\r\n");
    }
    hasher.update(b"\r\n").update(data).finalize()
}

/// Whether the attribute of a header field belongs to the digested content.
fn is_content(field_name: &[u8]) -> bool {
    let is_named = |names: &[&str]| names.iter().any(|name| name.as_bytes() == field_name);
    !is_named(&CHANGED_BY_RETRIES) && !is_named(&COMPARED_APART)
}

/// What distinguishes an event from all others.
#[derive(Clone, Debug)]
pub(crate) struct EventIdentity {
    pub(crate) key: IdempotencyKey,
    pub(crate) content: EventContent,
}

impl EventIdentity {
    /// The identity of an event of a client.
    pub(crate) fn of(event: &ReceivedEvent) -> Self {
        let media_type = event.media_type.as_deref();
        EventIdentity {
            key: IdempotencyKey::new(&event.source, &event.id),
            content: EventContent::new(Some(&event.event_type), &event.fields, media_type, &event.data),
        }
    }

    /// A digest of the `source`, for estimates only.
    pub(crate) fn client_digest(&self) -> u64 {
        FunctionId::named(&self.key.source).0
    }

    /// A digest of the whole identity, for estimates only: two events may have the same.
    pub(crate) fn digest(&self) -> u64 {
        let id = FunctionId::named(&self.key.id).0;
        id ^ self.client_digest().rotate_left(1) ^ self.content.short_digest()
    }
}

#[cfg(test)]
mod tests;
