//! The gossip state machine: publishing and reading entries, and scheduling of exchanges with neighbours.
//!
//! The messages of an exchange are handled in [`anti_entropy`], the entries of one origin are stored in
//! [`origin`].
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
    /// Time in µs from publication until an entry expires.
    pub lifetime: Micros,
}

/// Side effects that the state machine requests from its caller.
pub trait Actions {
    /// Sends a message to a neighbour; it may be lost, delayed or duplicated.
    fn send(&mut self, to: RouterId, message: Vec<u8>);
}

/// A known entry of one origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishedEntry<'a> {
    /// The router that published the entry.
    pub origin: RouterId,
    /// Key of the entry, unique among those of its origin and kind.
    pub key: Key,
    /// Lower bound of the time in µs since publication: time in transit is unknown.
    pub age: Micros,
    /// The published value.
    pub value: &'a [u8],
}

/// Entries published by this router and known from others, with the protocol that reconciles them with those
/// of its neighbours.
///
/// The caller passes in the monotonic time in µs with each event, and calls
/// [`handle_timeout`](Gossip::handle_timeout) when [`next_deadline`](Gossip::next_deadline) has passed.
pub struct Gossip {
    local_id: RouterId,
    /// Configured lifetimes of kinds in µs.
    lifetimes: BTreeMap<Kind, Micros>,
    /// All known origins, including the local router.
    origins: BTreeMap<RouterId, Origin>,
    /// Bytes by which all origins count towards the limits.
    bytes: usize,
    /// Digests of the known versions, by bucket.
    digests: [u64; DIGEST_BUCKETS],
    next_sync: Micros,
    /// Bytes that may still be sent before the next exchange that this router starts.
    send_budget: usize,
    /// When the local incarnation was last raised.
    last_raise: Option<Micros>,
    /// Live routers according to the membership; `None`, unlike an empty set, means that no view is known
    /// yet and all routers count as live.
    live_members: Option<BTreeSet<RouterId>>,
    rejected_messages: BTreeMap<MessageError, u64>,
    rng: Rand64,
}

impl Gossip {
    /// Starts without any entries.
    ///
    /// `incarnation` should be higher than that of any earlier process of this router. It is raised if other
    /// routers turn out to know a higher one. `random_seed` seeds the random number generator.
    pub fn new(
        now: Micros,
        local_id: RouterId,
        incarnation: u64,
        lifetimes: &[KindLifetime],
        random_seed: u64,
    ) -> Self {
        let mut rng = Rand64::new(u128::from(random_seed));
        // Random phase, so that routers that start together do not start their exchanges together.
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
        // Always present: inserted by `new`. `expire` drops only departed origins, and `set_live_members`
        // never marks the local one as departed.
        &self.origins[&self.local_id]
    }

    /// Publishes an entry of this router, replacing any entry under the same key. To keep an entry alive,
    /// publish it again before the lifetime of its kind ends.
    ///
    /// # Errors
    ///
    /// If the value, or all entries of this router together, would be too large. Entries published before
    /// are not affected.
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

    /// Withdraws this router's entry under a key, if there is one.
    pub fn withdraw(&mut self, now: Micros, kind: Kind, key: Key) {
        let entry = self.local_origin().entries.get(&(kind, key));
        if entry.is_some_and(|entry| !entry.value.is_empty()) {
            // Cannot fail: the empty value is smaller than the one that it replaces.
            let _ = self.publish(now, kind, key, &[]);
        }
    }

    /// Lifetime in µs of entries of a kind.
    fn lifetime(&self, kind: Kind) -> Micros {
        self.lifetimes.get(&kind).copied().unwrap_or(DEFAULT_LIFETIME)
    }

    /// All unexpired entries of a kind, ordered by origin and including those of this router. An origin that
    /// does not appear has no known entry; this does not mean a value of zero.
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

    /// All unexpired entries of a kind under one key, ordered by origin.
    pub fn entries_for_key(
        &self,
        now: Micros,
        kind: Kind,
        key: Key,
    ) -> impl Iterator<Item = PublishedEntry<'_>> {
        self.entries(now, kind).filter(move |entry| entry.key == key)
    }

    /// Digest of all known versions: two routers with equal digests know the same entries.
    pub fn view_digest(&self) -> u64 {
        self.digests.iter().fold(0, |view, digest| view.rotate_left(1) ^ digest)
    }

    /// Incarnation of this router's entries.
    pub fn incarnation(&self) -> u64 {
        self.local_origin().version.incarnation
    }

    /// Number of known origins, and the bytes by which they count towards the limits.
    pub fn size(&self) -> (usize, usize) {
        (self.origins.len(), self.bytes)
    }

    /// Number of rejected messages by reason.
    pub fn rejected_messages(&self) -> &BTreeMap<MessageError, u64> {
        &self.rejected_messages
    }

    // ---- Events ------------------------------------------------------------------------------

    /// Sets the live routers according to the membership, as a hint. Entries of all other routers expire, and
    /// once such a router is forgotten here, its entries are not accepted again. Before the first call all
    /// routers count as live.
    pub fn set_live_members(&mut self, now: Micros, live: BTreeSet<RouterId>) {
        for (id, origin) in self.origins.iter_mut().filter(|(id, _)| **id != self.local_id) {
            origin.departed_since =
                if live.contains(id) { None } else { origin.departed_since.or(Some(now)) };
        }
        self.live_members = Some(live);
    }

    /// Time by which [`handle_timeout`](Gossip::handle_timeout) has to be called.
    pub fn next_deadline(&self) -> Micros {
        self.next_sync
    }

    /// Starts an exchange with a random neighbour, if one is due.
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

    /// Handles a message from a neighbour.
    ///
    /// # Errors
    ///
    /// If the message is malformed or would exceed a limit. It then has no effect except that the rejection
    /// is counted.
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

    /// Sends a message if it is within the send budget, and returns whether it was sent.
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

    /// Changes an origin and keeps digests and byte counts up to date.
    fn update_origin(&mut self, id: RouterId, change: impl FnOnce(&mut Origin)) {
        let Some(origin) = self.origins.get_mut(&id) else { return };
        let digest = &mut self.digests[digest_bucket(id)];
        *digest ^= OriginVersion { origin: id, version: origin.version }.digest();
        self.bytes -= origin.bytes;
        change(origin);
        self.bytes += origin.bytes;
        *digest ^= OriginVersion { origin: id, version: origin.version }.digest();
    }

    /// Drops expired entries of other routers, all entries of departed routers after a grace period, and
    /// finally the departed routers themselves.
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
