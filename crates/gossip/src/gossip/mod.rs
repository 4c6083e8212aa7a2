//! The gossip state machine: what this router publishes, what it knows of others, and when it compares that
//! with whom. The exchange itself is in [`anti_entropy`], what is stored of one origin in [`origin`].
mod anti_entropy;
mod origin;

use crate::config::{
    DEAD_ORIGIN_GRACE, DEAD_ORIGIN_RETENTION, DEFAULT_LIFETIME, DIGEST_BUCKETS, ENTRY_OVERHEAD_BYTES,
    MAX_BYTES_PER_INTERVAL, MAX_NUMBER, MAX_ORIGIN_BYTES, MAX_VALUE_BYTES, SYNC_INTERVAL,
};
use crate::error::{MessageError, PublishError};
use crate::message::{Key, Kind, Message, OriginVersion};
use applepond::interface::Micros;
use applepond_membership::RouterId;
use oorandom::Rand64;
use origin::{Entry, Origin, digest_bucket};
use std::collections::{BTreeMap, BTreeSet};

/// Lifetime of the entries of one kind.
#[derive(Clone, Copy, Debug)]
pub struct KindLifetime {
    /// The kind.
    pub kind: Kind,
    /// Time in µs for which an entry counts after its origin has published it.
    pub lifetime: Micros,
}

/// Effects that the gossip machine asks its caller for.
pub trait Actions {
    /// Sends a message to a neighbour; it may be lost, delayed or repeated.
    fn send(&mut self, to: RouterId, message: Vec<u8>);
}

/// An entry of one origin, as it is known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishedEntry<'a> {
    /// The router that has published it.
    pub origin: RouterId,
    /// Its key among those of its origin and kind.
    pub key: Key,
    /// Time in µs since it was published, at least: time in transit is unknown.
    pub age: Micros,
    /// The published value.
    pub value: &'a [u8],
}

/// What one router publishes and knows of others, and the protocol that reconciles it with its neighbours.
///
/// The caller passes in the time (monotonic, in µs) with each event, and calls
/// [`handle_timeout`](Gossip::handle_timeout) when [`next_deadline`](Gossip::next_deadline) has passed.
pub struct Gossip {
    local_id: RouterId,
    /// Lifetimes in µs of kinds that have one of their own.
    lifetimes: BTreeMap<Kind, Micros>,
    /// Everything known by origin, the local router included.
    origins: BTreeMap<RouterId, Origin>,
    /// Bytes that all origins count for.
    bytes: usize,
    /// Digests of the versions that are known, by buckets of origins.
    digests: [u64; DIGEST_BUCKETS],
    next_sync: Micros,
    /// Bytes that may still be sent before the next comparison.
    send_budget: usize,
    /// When the local incarnation was last raised.
    last_raise: Option<Micros>,
    /// The live routers by the membership; `None` as long as no view is known, which does not say that
    /// nobody is live.
    live_members: Option<BTreeSet<RouterId>>,
    rejected_messages: BTreeMap<MessageError, u64>,
    rng: Rand64,
}

impl Gossip {
    /// Starts without any entry.
    ///
    /// `incarnation` is to be higher than that of any earlier process under the name, as far as is known;
    /// it is raised where others know a higher one. `random_seed` seeds the generator of random numbers.
    pub fn new(
        now: Micros,
        local_id: RouterId,
        incarnation: u64,
        lifetimes: &[KindLifetime],
        random_seed: u64,
    ) -> Self {
        let mut rng = Rand64::new(u128::from(random_seed));
        // Routers that start together need not compare together.
        let next_sync = now + rng.rand_range(0..SYNC_INTERVAL);
        let mut gossip = Gossip {
            local_id,
            lifetimes: lifetimes.iter().map(|row| (row.kind, row.lifetime)).collect(),
            origins: BTreeMap::new(),
            bytes: 0,
            digests: [0; DIGEST_BUCKETS],
            next_sync,
            send_budget: MAX_BYTES_PER_INTERVAL,
            last_raise: None,
            live_members: None,
            rejected_messages: BTreeMap::new(),
            rng,
        };
        gossip.insert_origin(local_id, Origin::new(incarnation.min(MAX_NUMBER - 1)));
        gossip
    }

    // ---- Publishing and reading ----------------------------------------------------------------

    fn local_origin(&self) -> &Origin {
        // Inserted by `new`, and neither `set_live_members` nor `expire` touches it.
        &self.origins[&self.local_id]
    }

    /// Publishes an entry of this router in place of the one under its key. An entry that is to stay has to
    /// be published again before the lifetime of its kind is over.
    ///
    /// # Errors
    ///
    /// If the value or all entries of this router together are too large; what was published before stays.
    pub fn publish(&mut self, now: Micros, kind: Kind, key: Key, value: &[u8]) -> Result<(), PublishError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(PublishError::ValueTooLong(value.len()));
        }
        let local = self.local_origin();
        let bytes = local.bytes - local.entry_bytes(kind, key) + ENTRY_OVERHEAD_BYTES + value.len();
        if bytes > MAX_ORIGIN_BYTES {
            return Err(PublishError::OriginFull(local.bytes));
        }
        let sequence = local.version.sequence + 1;
        let entry = Entry { sequence, age_on_arrival: 0, arrived_at: now, value: value.to_vec() };
        self.update_origin(self.local_id, |local| {
            local.insert(kind, key, entry);
            local.version.sequence = sequence;
        });
        Ok(())
    }

    /// Withdraws the entry that this router has published under a key.
    pub fn withdraw(&mut self, now: Micros, kind: Kind, key: Key) {
        let entry = self.local_origin().entries.get(&(kind, key));
        if entry.is_some_and(|entry| !entry.value.is_empty()) {
            // Does not fail: an empty value is smaller than the one that it replaces.
            let _ = self.publish(now, kind, key, &[]);
        }
    }

    /// Lifetime in µs of entries of a kind.
    fn lifetime(&self, kind: Kind) -> Micros {
        self.lifetimes.get(&kind).copied().unwrap_or(DEFAULT_LIFETIME)
    }

    /// All live entries of a kind, by origin, those of this router included. An origin that does not appear
    /// has published nothing.
    pub fn entries(&self, now: Micros, kind: Kind) -> impl Iterator<Item = PublishedEntry<'_>> {
        let lifetime = self.lifetime(kind);
        let origins =
            self.origins.iter().filter(move |(_, origin)| !origin.departed_for(now, DEAD_ORIGIN_GRACE));
        origins.flat_map(move |(id, origin)| {
            let of_kind = origin.entries.range((kind, Key(0))..=(kind, Key(u64::MAX)));
            let live = of_kind.filter(move |(_, entry)| !entry.value.is_empty() && entry.age(now) < lifetime);
            live.map(move |((_, key), entry)| PublishedEntry {
                origin: *id,
                key: *key,
                age: entry.age(now),
                value: &entry.value,
            })
        })
    }

    /// All live entries of a kind under one key, by origin.
    pub fn entries_for_key(
        &self,
        now: Micros,
        kind: Kind,
        key: Key,
    ) -> impl Iterator<Item = PublishedEntry<'_>> {
        self.entries(now, kind).filter(move |entry| entry.key == key)
    }

    /// Digest of everything that is known: two routers with the same digest know the same entries.
    pub fn view_digest(&self) -> u64 {
        self.digests.iter().fold(0, |view, digest| view.rotate_left(1) ^ digest)
    }

    /// Incarnation under which this router publishes.
    pub fn incarnation(&self) -> u64 {
        self.local_origin().version.incarnation
    }

    /// Number of known origins, and the bytes that all of them count for.
    pub fn size(&self) -> (usize, usize) {
        (self.origins.len(), self.bytes)
    }

    /// How many messages were rejected, by reason.
    pub fn rejected_messages(&self) -> &BTreeMap<MessageError, u64> {
        &self.rejected_messages
    }

    // ---- Events ------------------------------------------------------------------------------

    /// Takes the live routers from the membership, as a hint. Entries of other routers expire, and nothing
    /// new is accepted from those that have been forgotten here. All routers count as live before the first
    /// call.
    pub fn set_live_members(&mut self, now: Micros, live: BTreeSet<RouterId>) {
        for (id, origin) in self.origins.iter_mut().filter(|(id, _)| **id != self.local_id) {
            origin.departed_since =
                if live.contains(id) { None } else { origin.departed_since.or(Some(now)) };
        }
        self.live_members = Some(live);
    }

    /// When [`handle_timeout`](Gossip::handle_timeout) has to be called at the latest.
    pub fn next_deadline(&self) -> Micros {
        self.next_sync
    }

    /// Begins a comparison with one of the neighbours, if it is due.
    pub fn handle_timeout(&mut self, now: Micros, neighbours: &[RouterId], actions: &mut dyn Actions) {
        if now < self.next_sync {
            return;
        }
        self.next_sync = now + SYNC_INTERVAL;
        self.send_budget = MAX_BYTES_PER_INTERVAL;
        self.expire(now);
        if !neighbours.is_empty() {
            let index = self.rng.rand_range(0..neighbours.len() as u64) as usize;
            self.send(neighbours[index], &Message::Digest(self.digests.to_vec()), actions);
        }
    }

    /// Handles a message of a neighbour.
    ///
    /// # Errors
    ///
    /// If the message is malformed or would exceed a bound; it has no effect then, but is counted.
    pub fn handle_message(
        &mut self,
        now: Micros,
        from: RouterId,
        bytes: &[u8],
        actions: &mut dyn Actions,
    ) -> Result<(), MessageError> {
        let result = Message::read(bytes).and_then(|message| self.dispatch(now, from, message, actions));
        if let Err(error) = result {
            *self.rejected_messages.entry(error).or_default() += 1;
        }
        result
    }

    fn dispatch(
        &mut self,
        now: Micros,
        from: RouterId,
        message: Message,
        actions: &mut dyn Actions,
    ) -> Result<(), MessageError> {
        match message {
            Message::Digest(digests) => self.answer_digest(from, &digests, actions),
            Message::Summary(summary) => self.answer_summary(now, from, &summary, actions),
            Message::Request(versions) => self.answer_request(now, from, &versions, actions),
            Message::Delta(delta) => return self.apply_delta(now, delta),
        }
        Ok(())
    }

    /// Sends a message, unless it exceeds the bytes that may be sent before the next comparison. Returns
    /// whether it was sent.
    fn send(&mut self, to: RouterId, message: &Message, actions: &mut dyn Actions) -> bool {
        let bytes = message.write();
        if bytes.len() > self.send_budget {
            return false;
        }
        self.send_budget -= bytes.len();
        actions.send(to, bytes);
        true
    }

    // ---- The table of origins ------------------------------------------------------------------

    fn insert_origin(&mut self, id: RouterId, origin: Origin) {
        self.bytes += origin.bytes;
        self.digests[digest_bucket(id)] ^= OriginVersion { origin: id, version: origin.version }.digest();
        self.origins.insert(id, origin);
    }

    /// Changes an origin; the digests and the sum of bytes follow.
    fn update_origin(&mut self, id: RouterId, change: impl FnOnce(&mut Origin)) {
        let Some(origin) = self.origins.get_mut(&id) else { return };
        let digest = &mut self.digests[digest_bucket(id)];
        *digest ^= OriginVersion { origin: id, version: origin.version }.digest();
        self.bytes -= origin.bytes;
        change(origin);
        self.bytes += origin.bytes;
        *digest ^= OriginVersion { origin: id, version: origin.version }.digest();
    }

    /// Drops expired entries of other routers, the entries of departed ones and, later, the memory of them.
    fn expire(&mut self, now: Micros) {
        let lifetimes = &self.lifetimes;
        let lifetime = |kind| lifetimes.get(&kind).copied().unwrap_or(DEFAULT_LIFETIME);
        for (_, origin) in self.origins.iter_mut().filter(|(id, _)| **id != self.local_id) {
            self.bytes -= origin.bytes;
            if origin.departed_for(now, DEAD_ORIGIN_GRACE) {
                origin.drop_all_entries();
            } else {
                origin.drop_expired(now, lifetime);
            }
            self.bytes += origin.bytes;
        }
        let forgotten =
            self.origins.extract_if(.., |_, origin| origin.departed_for(now, DEAD_ORIGIN_RETENTION));
        for (id, origin) in forgotten {
            self.digests[digest_bucket(id)] ^= OriginVersion { origin: id, version: origin.version }.digest();
            self.bytes -= origin.bytes;
        }
    }
}
