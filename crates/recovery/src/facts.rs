//! Facts that took time to learn: how old each is, and how much it still says.
use crate::{MAX_FACTS, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// µs for which a drain is kept whose age nobody knows: lists that come late are there by then.
const UNKNOWN_AGE_DRAIN_RETENTION: Micros = 40_000_000;

/// What a fact is about. On disk and on the wire by its number, which never changes its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FactKind {
    /// Jobs that a worker had room for.
    ConcurrencyLimit,
    /// How much of a start target its answers took.
    QueueingDelay,
    /// Part of its answers that were errors.
    ErrorRate,
    /// It was set aside, or on trial after that.
    Ejected,
    /// It was told to drain. There is no fact of the contrary.
    Draining,
    /// µs that a function takes to load.
    LoadTime,
    /// What is usual at this router, by key: first tries and connections opened a second, and its pace. Its
    /// own, nobody else's.
    TrafficBaseline,
    /// A request was told to come back after so many ms, by its digest. Its own too.
    ScheduledRetry,
}

impl FactKind {
    pub const EACH: [FactKind; 8] = [
        FactKind::ConcurrencyLimit,
        FactKind::QueueingDelay,
        FactKind::ErrorRate,
        FactKind::Ejected,
        FactKind::Draining,
        FactKind::LoadTime,
        FactKind::TrafficBaseline,
        FactKind::ScheduledRetry,
    ];

    /// µs from which on it counts less, and from which on it counts nothing.
    pub fn lifetimes(self) -> (Micros, Micros) {
        const S: Micros = 1_000_000;
        match self {
            // What a worker can do follows its load of the moment.
            FactKind::ConcurrencyLimit | FactKind::QueueingDelay => (5 * S, 30 * S),
            FactKind::ErrorRate | FactKind::Ejected => (10 * S, 60 * S),
            // Kept whole: whoever is told it by the list says it anew, and lists that come late are there by
            // then.
            FactKind::Draining => (60 * S, 60 * S),
            FactKind::LoadTime => (600 * S, 3_600 * S),
            FactKind::TrafficBaseline => (60 * S, 600 * S),
            // Longer than any time to come back.
            FactKind::ScheduledRetry => (30 * S, 30 * S),
        }
    }

    /// What others may say of it too.
    pub fn is_shared(self) -> bool {
        !matches!(self, FactKind::TrafficBaseline | FactKind::ScheduledRetry)
    }
}

/// Whose fact it is: a worker or a function, and which of its lives (when it began).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FactKey {
    pub kind: FactKind,
    pub subject: u64,
    pub incarnation: u64,
}

/// One fact, as old as it is when it is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    pub key: FactKey,
    pub value: f32,
    pub age: Micros,
}

impl Fact {
    /// 1 while it counts in full, then evenly less, 0 when it says nothing any more.
    pub fn weight(&self) -> f64 {
        let (less, nothing) = self.key.kind.lifetimes();
        if self.age >= nothing {
            return 0.0;
        }
        if self.age <= less {
            return 1.0;
        }
        1.0 - (self.age - less) as f64 / (nothing - less) as f64
    }

    /// As old as it may be and yet be a fact: its age cannot be known. A drain stays for as long as it takes
    /// to hear of it again.
    pub fn with_unknown_age(mut self) -> Self {
        let rest = if self.key.kind == FactKind::Draining { UNKNOWN_AGE_DRAIN_RETENTION } else { 1 };
        self.age = self.age.max(self.key.kind.lifetimes().1 - rest);
        self
    }
}

#[derive(Clone, Copy)]
struct Kept {
    value: f32,
    /// How old it was when it came, and when it did.
    age: Micros,
    came: Micros,
}

/// What this router holds for true, by what it is about.
#[derive(Clone, Default)]
pub struct Facts(BTreeMap<FactKey, Kept>);

impl Facts {
    /// Takes a fact, in place of what was known: the younger one holds. At the bound the oldest makes room.
    pub fn insert(&mut self, now: Micros, fact: Fact) {
        let younger = |k: &Kept| k.age.saturating_add(now.saturating_sub(k.came)) <= fact.age;
        if fact.weight() == 0.0 || !fact.value.is_finite() || self.0.get(&fact.key).is_some_and(younger) {
            return;
        }
        if self.0.len() >= MAX_FACTS && !self.0.contains_key(&fact.key) {
            self.remove_expired(now);
            let age = |k: &Kept| k.age.saturating_add(now.saturating_sub(k.came));
            let oldest = self.0.iter().max_by_key(|(_, k)| age(k)).map(|(about, _)| *about);
            if let Some(oldest) = oldest.filter(|_| self.0.len() >= MAX_FACTS) {
                self.0.remove(&oldest);
            }
        }
        let of_its_life = FactKey { incarnation: u64::MAX, ..fact.key };
        // A worker that has begun anew leaves nothing of its life before.
        let first = FactKey { incarnation: 0, ..fact.key };
        let other: Vec<FactKey> = self
            .0
            .range(first..=of_its_life)
            .map(|(a, _)| *a)
            .filter(|a| a.incarnation != fact.key.incarnation)
            .collect();
        if other.iter().any(|a| a.incarnation > fact.key.incarnation) {
            return;
        }
        other.iter().for_each(|a| _ = self.0.remove(a));
        self.0.insert(fact.key, Kept { value: fact.value, age: fact.age, came: now });
    }

    /// It does not hold any more.
    pub fn remove(&mut self, about: &FactKey) {
        self.0.remove(about);
    }

    /// All that still count, as old as they are now.
    pub fn iter(&self, now: Micros) -> impl Iterator<Item = Fact> + '_ {
        self.0.iter().filter_map(move |(about, k)| {
            let age = k.age.saturating_add(now.saturating_sub(k.came));
            let fact = Fact { key: *about, value: k.value, age };
            (fact.weight() > 0.0).then_some(fact)
        })
    }

    pub fn get(&self, now: Micros, about: &FactKey) -> Option<Fact> {
        let k = self.0.get(about)?;
        let age = k.age.saturating_add(now.saturating_sub(k.came));
        Some(Fact { key: *about, value: k.value, age }).filter(|f| f.weight() > 0.0)
    }

    /// Forgets what says nothing any more.
    pub fn remove_expired(&mut self, now: Micros) {
        self.0.retain(|about, k| {
            let age = k.age.saturating_add(now.saturating_sub(k.came));
            Fact { key: *about, value: k.value, age }.weight() > 0.0
        });
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
