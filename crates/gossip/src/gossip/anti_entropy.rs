//! Anti-entropy: what neighbours tell each other until both hold the same.
//!
//! A digest that differs is answered with the versions that are known; whoever knows more sends a delta,
//! whoever knows less requests one.
use super::origin::{Origin, digest_bucket};
use super::{Actions, Gossip};
use crate::config::{
    DIGEST_BUCKETS, ENTRY_OVERHEAD_BYTES, INCARNATION_RAISE_INTERVAL, MAX_MESSAGE_BYTES, MAX_NUMBER,
    MAX_ORIGIN_BYTES, MAX_ORIGINS, MAX_TOTAL_BYTES,
};
use crate::error::MessageError;
use crate::message::{Delta, DeltaEntry, Message, OriginVersion, Summary, Version};
use applepond::interface::Micros;
use applepond_membership::RouterId;

/// Encoded size of one origin's version at most, in bytes.
const VERSION_BYTES: usize = 33;
/// Encoded size of a summary without its versions at most, in bytes.
const SUMMARY_BYTES: usize = 40;
/// Versions that one summary has room for.
const VERSIONS_PER_SUMMARY: usize = (MAX_MESSAGE_BYTES - SUMMARY_BYTES) / VERSION_BYTES;
/// Encoded size of a delta without its entries at most, in bytes.
const DELTA_BYTES: usize = 60;
/// Encoded size of an entry without its value at most, in bytes.
const DELTA_ENTRY_BYTES: usize = 35;

/// How a delta relates to what is known of its origin.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DeltaEffect {
    /// It continues what is known.
    Extends,
    /// It begins an incarnation that is not known yet.
    Replaces,
    /// It is obsolete, leaves a gap, or its origin is not a live router.
    Ignored,
}

impl Gossip {
    /// Answers a neighbour's digests: of each bucket that differs it is told which versions are known here.
    pub(super) fn answer_digest(&mut self, from: RouterId, digests: &[u64], actions: &mut dyn Actions) {
        // Starts with another bucket each time: where the bound on bytes ends the answer, none is always
        // left out.
        let first = self.rng.rand_range(0..DIGEST_BUCKETS as u64) as usize;
        for bucket in (0..DIGEST_BUCKETS).map(|offset| (first + offset) % DIGEST_BUCKETS) {
            if self.digests[bucket] == digests[bucket] {
                continue;
            }
            for summary in self.summaries(bucket) {
                if !self.send(from, &Message::Summary(summary), actions) {
                    return;
                }
            }
        }
    }

    /// The versions of all origins of a bucket, in as many summaries as they need. Their ranges cover all
    /// ids.
    fn summaries(&self, bucket: usize) -> Vec<Summary> {
        let origins = self.origins.iter().filter(|(id, _)| digest_bucket(**id) == bucket);
        let known: Vec<OriginVersion> =
            origins.map(|(id, origin)| OriginVersion { origin: *id, version: origin.version }).collect();
        let (bucket, end) = (bucket as u8, RouterId(u64::MAX));
        let mut first = RouterId(0);
        let mut summaries = Vec::new();
        for versions in known.chunks(VERSIONS_PER_SUMMARY) {
            let last = versions.last().map_or(end, |known| known.origin);
            summaries.push(Summary { bucket, first, last, versions: versions.to_vec() });
            first = RouterId(last.0.saturating_add(1));
        }
        match summaries.last_mut() {
            Some(summary) => summary.last = end,
            None => summaries.push(Summary { bucket, first, last: end, versions: Vec::new() }),
        }
        summaries
    }

    /// Answers the versions that a neighbour knows: sends what it lacks, and requests what is lacking here.
    pub(super) fn answer_summary(
        &mut self,
        now: Micros,
        from: RouterId,
        summary: &Summary,
        actions: &mut dyn Actions,
    ) {
        let mut wanted = Vec::new();
        for theirs in &summary.versions {
            let origin = theirs.origin;
            if origin == self.local_id {
                self.refute(now, theirs.version);
            }
            let ours = self.origins.get(&origin).map(|known| known.version);
            if ours.is_some_and(|ours| ours > theirs.version) {
                self.send_delta(now, from, *theirs, actions);
            } else if origin != self.local_id && ours != Some(theirs.version) {
                wanted.push(OriginVersion { origin, version: ours.unwrap_or(Version::NONE) });
            }
        }
        for origin in self.missing_in(summary) {
            self.send_delta(now, from, OriginVersion { origin, version: Version::NONE }, actions);
        }
        // There are no more of them than the summary had room for, and a request is a little smaller.
        if !wanted.is_empty() {
            self.send(from, &Message::Request(wanted), actions);
        }
    }

    /// Origins in the range of a summary that are known here and do not appear in it.
    fn missing_in(&self, summary: &Summary) -> Vec<RouterId> {
        let is_listed = |id: RouterId| summary.versions.iter().any(|known| known.origin == id);
        let in_range = self.origins.range(summary.first..=summary.last).map(|(id, _)| *id);
        in_range.filter(|id| digest_bucket(*id) == summary.bucket as usize && !is_listed(*id)).collect()
    }

    /// Answers a request for deltas.
    pub(super) fn answer_request(
        &mut self,
        now: Micros,
        from: RouterId,
        versions: &[OriginVersion],
        actions: &mut dyn Actions,
    ) {
        for theirs in versions {
            self.send_delta(now, from, *theirs, actions);
        }
    }

    /// Somebody holds entries in this router's name that it has not published: those of an earlier process,
    /// or forged ones. A higher incarnation voids all of them.
    fn refute(&mut self, now: Micros, theirs: Version) {
        let raised_lately = self.last_raise.is_some_and(|at| now < at + INCARNATION_RAISE_INTERVAL);
        if theirs <= self.local_origin().version || raised_lately {
            return;
        }
        self.last_raise = Some(now);
        let incarnation = (theirs.incarnation + 1).min(MAX_NUMBER - 1);
        self.update_origin(self.local_id, |origin| origin.restart(incarnation));
    }

    /// Sends what is known of an origin beyond the version that the receiver knows.
    fn send_delta(&mut self, now: Micros, to: RouterId, theirs: OriginVersion, actions: &mut dyn Actions) {
        let Some(origin) = self.origins.get(&theirs.origin) else { return };
        let ours = origin.version;
        if ours <= theirs.version {
            return;
        }
        let known = if ours.incarnation == theirs.version.incarnation { theirs.version.sequence } else { 0 };
        let mut remaining = self.entries_after(now, origin, known).into_iter().peekable();
        let mut from = known;
        loop {
            // Fills one message; the next continues where it ends.
            let mut bytes = DELTA_BYTES;
            let mut entries: Vec<DeltaEntry> = Vec::new();
            let fits = |bytes: usize, entry: &DeltaEntry| {
                bytes + DELTA_ENTRY_BYTES + entry.value.len() <= MAX_MESSAGE_BYTES
            };
            while let Some(entry) = remaining.next_if(|entry| fits(bytes, entry)) {
                bytes += DELTA_ENTRY_BYTES + entry.value.len();
                entries.push(entry);
            }
            let is_last = remaining.peek().is_none();
            let last_sequence = entries.last().map_or(ours.sequence, |entry| entry.sequence);
            let upto = if is_last { ours.sequence } else { last_sequence };
            let delta = Delta { origin: theirs.origin, incarnation: ours.incarnation, from, upto, entries };
            from = upto;
            if !self.send(to, &Message::Delta(delta), actions) || upto == ours.sequence {
                return;
            }
        }
    }

    /// The live entries of an origin after a sequence number, in the order in which they were published.
    fn entries_after(&self, now: Micros, origin: &Origin, sequence: u64) -> Vec<DeltaEntry> {
        let mut entries: Vec<DeltaEntry> = origin
            .entries
            .iter()
            .filter(|((kind, _), entry)| entry.sequence > sequence && entry.age(now) < self.lifetime(*kind))
            .map(|((kind, key), entry)| DeltaEntry {
                kind: *kind,
                key: *key,
                sequence: entry.sequence,
                age: entry.age(now),
                value: entry.value.clone(),
            })
            .collect();
        entries.sort_by_key(|entry| entry.sequence);
        entries
    }

    /// Applies entries of an origin, whoever passed them on.
    pub(super) fn apply_delta(&mut self, now: Micros, delta: Delta) -> Result<(), MessageError> {
        let id = delta.origin;
        if id == self.local_id {
            self.refute(now, delta.version());
            return Ok(());
        }
        let effect = self.delta_effect(&delta);
        if effect == DeltaEffect::Ignored {
            return Ok(());
        }
        self.check_bounds(&delta, effect)?;
        if effect == DeltaEffect::Replaces {
            // A new incarnation voids everything of the one before; a router that is back has not departed.
            let origin = Origin::new(delta.incarnation);
            if self.origins.contains_key(&id) {
                self.update_origin(id, |known| *known = origin);
            } else {
                self.insert_origin(id, origin);
            }
        }
        self.update_origin(id, |origin| origin.apply(now, delta));
        Ok(())
    }

    fn delta_effect(&self, delta: &Delta) -> DeltaEffect {
        let Some(origin) = self.origins.get(&delta.origin) else {
            // Guards against departed origins that circulate for ever, forgotten here and sent again by
            // others.
            let is_live = self.live_members.as_ref().is_none_or(|live| live.contains(&delta.origin));
            return if delta.from == 0 && is_live { DeltaEffect::Replaces } else { DeltaEffect::Ignored };
        };
        // Guards against entries of an earlier incarnation, and against gaps: what lies between is unknown.
        let known = origin.version;
        if delta.incarnation > known.incarnation && delta.from == 0 {
            return DeltaEffect::Replaces;
        }
        if delta.incarnation == known.incarnation && (delta.from..delta.upto).contains(&known.sequence) {
            return DeltaEffect::Extends;
        }
        DeltaEffect::Ignored
    }

    /// Guards against an origin that publishes without end: it stays as it was, and the others are not
    /// harmed.
    fn check_bounds(&self, delta: &Delta, effect: DeltaEffect) -> Result<(), MessageError> {
        let known = self.origins.get(&delta.origin);
        let extended = known.filter(|_| effect == DeltaEffect::Extends);
        let added: usize = delta.entries.iter().map(|entry| ENTRY_OVERHEAD_BYTES + entry.value.len()).sum();
        let replaced: usize = extended.map_or(0, |origin| {
            delta.entries.iter().map(|entry| origin.entry_bytes(entry.kind, entry.key)).sum()
        });
        let bytes_before = extended.map_or(ENTRY_OVERHEAD_BYTES, |origin| origin.bytes);
        let origin_bytes = (bytes_before + added).saturating_sub(replaced);
        let total_bytes = self.bytes + added;
        let origins = self.origins.len() + usize::from(known.is_none());
        if origin_bytes > MAX_ORIGIN_BYTES || total_bytes > MAX_TOTAL_BYTES || origins > MAX_ORIGINS {
            return Err(MessageError::LimitExceeded);
        }
        Ok(())
    }
}
