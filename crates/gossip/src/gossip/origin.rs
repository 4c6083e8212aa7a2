//! What is stored of one origin.
use crate::config::ENTRY_OVERHEAD_BYTES;
use crate::message::{Delta, Key, Kind, OriginVersion, Version};
use applepond::interface::Micros;
use applepond_membership::RouterId;
use std::collections::BTreeMap;

/// One stored entry. An empty value says that it was withdrawn.
pub(super) struct Entry {
    pub(super) sequence: u64,
    /// Its age in µs when it arrived.
    pub(super) age_on_arrival: Micros,
    pub(super) arrived_at: Micros,
    pub(super) value: Vec<u8>,
}

impl Entry {
    /// Time in µs since its origin published it, at least: time in transit is unknown.
    pub(super) fn age(&self, now: Micros) -> Micros {
        self.age_on_arrival.saturating_add(now.saturating_sub(self.arrived_at))
    }

    /// Bytes that the entry counts for.
    pub(super) fn bytes(&self) -> usize {
        ENTRY_OVERHEAD_BYTES + self.value.len()
    }
}

/// Everything that one origin has published in one incarnation up to its version, without gaps.
pub(super) struct Origin {
    pub(super) version: Version,
    pub(super) entries: BTreeMap<(Kind, Key), Entry>,
    /// Bytes that the origin and its entries count for.
    pub(super) bytes: usize,
    /// Since when the membership takes the router for departed.
    pub(super) departed_since: Option<Micros>,
}

impl Origin {
    pub(super) fn new(incarnation: u64) -> Self {
        let version = Version { incarnation, sequence: 0 };
        Origin { version, entries: BTreeMap::new(), bytes: ENTRY_OVERHEAD_BYTES, departed_since: None }
    }

    /// Whether the router departed at least this long ago, in µs.
    pub(super) fn departed_for(&self, now: Micros, duration: Micros) -> bool {
        self.departed_since.is_some_and(|since| now >= since + duration)
    }

    /// Bytes that the entry under this key counts for; zero if there is none.
    pub(super) fn entry_bytes(&self, kind: Kind, key: Key) -> usize {
        self.entries.get(&(kind, key)).map_or(0, Entry::bytes)
    }

    /// Stores an entry in place of the one under its key.
    pub(super) fn insert(&mut self, kind: Kind, key: Key, entry: Entry) {
        self.bytes += entry.bytes();
        if let Some(replaced) = self.entries.insert((kind, key), entry) {
            self.bytes -= replaced.bytes();
        }
    }

    /// Drops the entries that have expired; `lifetime`: of entries of a kind, in µs.
    pub(super) fn drop_expired(&mut self, now: Micros, lifetime: impl Fn(Kind) -> Micros) {
        let bytes = &mut self.bytes;
        self.entries.retain(|(kind, _), entry| {
            let is_live = entry.age(now) < lifetime(*kind);
            if !is_live {
                *bytes -= entry.bytes();
            }
            is_live
        });
    }

    pub(super) fn drop_all_entries(&mut self) {
        self.entries.clear();
        self.bytes = ENTRY_OVERHEAD_BYTES;
    }

    /// Applies a delta that continues what is stored.
    pub(super) fn apply(&mut self, now: Micros, delta: Delta) {
        self.version.sequence = delta.upto;
        for entry in delta.entries {
            let stored = Entry {
                sequence: entry.sequence,
                age_on_arrival: entry.age,
                arrived_at: now,
                value: entry.value,
            };
            self.insert(entry.kind, entry.key, stored);
        }
    }

    /// Restarts under a higher incarnation: the entries stay, in the same order.
    pub(super) fn restart(&mut self, incarnation: u64) {
        let mut entries: Vec<&mut Entry> = self.entries.values_mut().collect();
        entries.sort_by_key(|entry| entry.sequence);
        let count = entries.len() as u64;
        for (entry, sequence) in entries.into_iter().zip(1..) {
            entry.sequence = sequence;
        }
        self.version = Version { incarnation, sequence: count };
    }
}

impl OriginVersion {
    /// Digest of the version of one origin; the digest of a bucket combines them by exclusive or.
    pub(super) fn digest(&self) -> u64 {
        let Version { incarnation, sequence } = self.version;
        let mut hash = self.origin.0 ^ incarnation.rotate_left(21) ^ sequence.rotate_left(42);
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        hash ^ (hash >> 31)
    }
}

/// The bucket that an origin belongs to when digests are compared.
pub(super) fn digest_bucket(origin: RouterId) -> usize {
    (origin.0 >> 32) as usize % crate::config::DIGEST_BUCKETS
}
