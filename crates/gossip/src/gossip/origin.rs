//! The stored entries and version of one origin.
use crate::config::ENTRY_OVERHEAD_BYTES;
use crate::message::{Delta, Key, Kind, OriginVersion, Version};
use applepond::interface::Micros;
use applepond_membership::RouterId;
use std::collections::BTreeMap;

/// One stored entry. An empty value means that the entry was withdrawn.
pub(super) struct Entry {
    pub(super) sequence: u64,
    /// Age of the entry in µs when it arrived here.
    pub(super) age_on_arrival: Micros,
    pub(super) arrived_at: Micros,
    pub(super) value: Vec<u8>,
}

impl Entry {
    /// Lower bound of the time in µs since the origin published the entry: time in transit is unknown.
    pub(super) fn age(&self, now: Micros) -> Micros {
        self.age_on_arrival.saturating_add(now.saturating_sub(self.arrived_at))
    }

    /// Bytes by which the entry counts towards the limits.
    pub(super) fn bytes(&self) -> usize {
        ENTRY_OVERHEAD_BYTES + self.value.len()
    }
}

/// All entries that one origin has published in one incarnation up to the version, without gaps.
pub(super) struct Origin {
    pub(super) version: Version,
    pub(super) entries: BTreeMap<(Kind, Key), Entry>,
    /// Bytes by which the origin and its entries count towards the limits.
    pub(super) bytes: usize,
    /// Since when the router has not been among the live members.
    pub(super) departed_since: Option<Micros>,
}

impl Origin {
    pub(super) fn new(incarnation: u64) -> Self {
        let version = Version { incarnation, sequence: 0 };
        Origin { version, entries: BTreeMap::new(), bytes: ENTRY_OVERHEAD_BYTES, departed_since: None }
    }

    /// Whether the router departed at least `duration` µs ago.
    pub(super) fn departed_for(&self, now: Micros, duration: Micros) -> bool {
        self.departed_since.is_some_and(|since| now >= since + duration)
    }

    /// Bytes by which the entry under this key counts; zero if there is none.
    pub(super) fn entry_bytes(&self, kind: Kind, key: Key) -> usize {
        self.entries.get(&(kind, key)).map_or(0, Entry::bytes)
    }

    /// Stores an entry, replacing any entry under the same key.
    pub(super) fn insert(&mut self, kind: Kind, key: Key, entry: Entry) {
        self.bytes += entry.bytes();
        if let Some(replaced) = self.entries.insert((kind, key), entry) {
            self.bytes -= replaced.bytes();
        }
    }

    /// Drops expired entries; `lifetime` returns the lifetime of a kind in µs.
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

    /// Applies a delta that extends the stored version.
    pub(super) fn apply(&mut self, now: Micros, delta: Delta) {
        self.version.sequence = delta.up_to;
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

    /// Moves all entries to a higher incarnation and renumbers them from 1 in the same order.
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
    /// Digest of one origin's version. The digest of a bucket is the exclusive or of its origins' digests.
    pub(super) fn digest(&self) -> u64 {
        let Version { incarnation, sequence } = self.version;
        let mut hash = self.origin.0 ^ incarnation.rotate_left(21) ^ sequence.rotate_left(42);
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        hash ^ (hash >> 31)
    }
}

/// The bucket of an origin in the comparison of digests.
pub(super) fn digest_bucket(origin: RouterId) -> usize {
    (origin.0 >> 32) as usize % crate::config::DIGEST_BUCKETS
}
