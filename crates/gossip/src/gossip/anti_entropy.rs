//! Anti-entropy: the exchange of messages by which two neighbours reconcile their entries.
//!
//! For each bucket whose digest differs, the receiver of a digest answers with its known versions. The
//! sender of the digest then sends deltas for origins of which it knows more, and requests deltas for those
//! of which it knows less.
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

/// Maximum encoded size of one origin's version, in bytes.
const VERSION_BYTES: usize = 33;
/// Maximum encoded size of a summary without its versions, in bytes.
const SUMMARY_BYTES: usize = 40;
/// Number of versions that fit into one summary.
const VERSIONS_PER_SUMMARY: usize = (MAX_MESSAGE_BYTES - SUMMARY_BYTES) / VERSION_BYTES;
/// Maximum encoded size of a delta without its entries, in bytes.
const DELTA_BYTES: usize = 60;
/// Maximum encoded size of an entry without its value, in bytes.
const DELTA_ENTRY_BYTES: usize = 35;

/// Effect of a received delta on the stored origin.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DeltaEffect {
    /// It extends the known version.
    Extends,
    /// It starts an incarnation that is not yet known, and replaces all earlier entries.
    Replaces,
    /// It is obsolete, would leave a gap, or its unknown origin is not a live router.
    Ignored,
}

impl Gossip {
    /// Answers a neighbour's digests with the known versions of each bucket whose digest differs.
    pub(super) fn answer_digest(&mut self, from: RouterId, digests: &[u64], actions: &mut dyn Actions) {
        // Starts at a random bucket, so that no bucket is always cut off when the send budget runs out.
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

    /// The versions of all origins of a bucket, split into as many summaries as needed. The ranges of the
    /// summaries together cover all ids.
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

    /// Answers a neighbour's versions: sends entries that it lacks, and requests entries missing here.
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
        // Fits into one message: it has at most as many versions as a summary has room for, and less
        // overhead.
        if !wanted.is_empty() {
            self.send(from, &Message::Request(wanted), actions);
        }
    }

    /// Known origins in the bucket and range of a summary that the summary does not list.
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

    /// Raises the local incarnation if another router holds a higher version of this router's entries than
    /// it has published: entries of an earlier process, or forged ones. The new incarnation voids them.
    fn refute(&mut self, now: Micros, theirs: Version) {
        let raised_lately = self.last_raise.is_some_and(|at| now < at + INCARNATION_RAISE_INTERVAL);
        if theirs <= self.local_origin().version || raised_lately {
            return;
        }
        self.last_raise = Some(now);
        let incarnation = (theirs.incarnation + 1).min(MAX_NUMBER - 1);
        self.update_origin(self.local_id, |origin| origin.restart(incarnation));
    }

    /// Sends the entries of an origin that are newer than the version known to the receiver.
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
            // Fills one message; the next one continues at its last sequence number.
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
            let up_to = if is_last { ours.sequence } else { last_sequence };
            let delta = Delta { origin: theirs.origin, incarnation: ours.incarnation, from, up_to, entries };
            from = up_to;
            if !self.send(to, &Message::Delta(delta), actions) || up_to == ours.sequence {
                return;
            }
        }
    }

    /// The unexpired entries of an origin after a sequence number, in order of publication.
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

    /// Applies a received delta. Any router may pass on the entries of any origin.
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
            // A new incarnation voids all entries of the previous one, and the router no longer counts as
            // departed.
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
            // A departed origin that is already forgotten here is not accepted again from routers that still
            // know it; otherwise it would circulate forever.
            let is_live = self.live_members.as_ref().is_none_or(|live| live.contains(&delta.origin));
            return if delta.from == 0 && is_live { DeltaEffect::Replaces } else { DeltaEffect::Ignored };
        };
        // Deltas of an earlier incarnation are ignored, and so are those that would leave a gap, since the
        // entries in the gap would be missing.
        let known = origin.version;
        if delta.incarnation > known.incarnation && delta.from == 0 {
            return DeltaEffect::Replaces;
        }
        if delta.incarnation == known.incarnation && (delta.from..delta.up_to).contains(&known.sequence) {
            return DeltaEffect::Extends;
        }
        DeltaEffect::Ignored
    }

    /// Rejects a delta that would exceed a limit, so that an origin that publishes without bound cannot
    /// exhaust memory. Its stored entries stay, and other origins are not affected.
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
