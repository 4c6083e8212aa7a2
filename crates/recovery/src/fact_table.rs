//! The facts that a router knows, by key.
use crate::{Fact, FactKey, MAX_FACTS, Micros};
use std::collections::BTreeMap;

#[derive(Clone, Copy)]
struct Entry {
    value: f32,
    /// The age of the fact when it was inserted.
    age_at_insertion: Micros,
    inserted_at: Micros,
}

impl Entry {
    fn age(&self, now: Micros) -> Micros {
        self.age_at_insertion.saturating_add(now.saturating_sub(self.inserted_at))
    }

    fn as_fact(&self, now: Micros, key: FactKey) -> Fact {
        Fact { key, value: self.value, age: self.age(now) }
    }
}

/// A bounded table of facts with at most [`MAX_FACTS`] entries.
#[derive(Clone, Default)]
pub struct Facts(BTreeMap<FactKey, Entry>);

impl Facts {
    /// Inserts a fact, replacing an older one with the same key. Facts without weight, and facts of an
    /// earlier incarnation than a known one, are ignored. If the table is full, the oldest fact is evicted.
    pub fn insert(&mut self, now: Micros, fact: Fact) {
        let is_outdated = self.0.get(&fact.key).is_some_and(|entry| entry.age(now) <= fact.age);
        if fact.weight() == 0.0 || !fact.value.is_finite() || is_outdated {
            return;
        }
        if self.0.len() >= MAX_FACTS && !self.0.contains_key(&fact.key) {
            self.evict_oldest(now);
        }
        let others = self.other_incarnations(&fact.key);
        if others.iter().any(|other| other.incarnation > fact.key.incarnation) {
            return;
        }
        // Facts about the process of a worker before its restart are obsolete.
        for other in others {
            self.0.remove(&other);
        }
        let entry = Entry { value: fact.value, age_at_insertion: fact.age, inserted_at: now };
        self.0.insert(fact.key, entry);
    }

    /// Removes the facts without weight, or the oldest fact if there are none.
    fn evict_oldest(&mut self, now: Micros) {
        self.remove_expired(now);
        if self.0.len() < MAX_FACTS {
            return;
        }
        let oldest = self.0.iter().max_by_key(|(_, entry)| entry.age(now)).map(|(key, _)| *key);
        if let Some(oldest) = oldest {
            self.0.remove(&oldest);
        }
    }

    fn other_incarnations(&self, key: &FactKey) -> Vec<FactKey> {
        let first = FactKey { incarnation: 0, ..*key };
        let last = FactKey { incarnation: u64::MAX, ..*key };
        let known = self.0.range(first..=last).map(|(known, _)| *known);
        known.filter(|known| known.incarnation != key.incarnation).collect()
    }

    /// Removes a fact.
    pub fn remove(&mut self, key: &FactKey) {
        self.0.remove(key);
    }

    /// All facts with weight, at their current age.
    pub fn iter(&self, now: Micros) -> impl Iterator<Item = Fact> + '_ {
        let facts = self.0.iter().map(move |(key, entry)| entry.as_fact(now, *key));
        facts.filter(|fact| fact.weight() > 0.0)
    }

    /// The fact with this key at its current age, if it has weight.
    pub fn get(&self, now: Micros, key: &FactKey) -> Option<Fact> {
        let entry = self.0.get(key)?;
        Some(entry.as_fact(now, *key)).filter(|fact| fact.weight() > 0.0)
    }

    /// Removes the facts without weight.
    pub fn remove_expired(&mut self, now: Micros) {
        self.0.retain(|key, entry| entry.as_fact(now, *key).weight() > 0.0);
    }

    /// The number of facts, including those without weight that were not removed yet.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the table has no facts.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
