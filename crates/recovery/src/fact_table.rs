//! The facts that a router knows, by what they are about.
use crate::{Fact, FactKey, MAX_FACTS, Micros};
use std::collections::BTreeMap;

#[derive(Clone, Copy)]
struct Entry {
    value: f32,
    /// How old the fact was when it was inserted.
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

/// The facts that a router knows, at most [`MAX_FACTS`].
#[derive(Clone, Default)]
pub struct Facts(BTreeMap<FactKey, Entry>);

impl Facts {
    /// Takes a fact in place of an older one. A fact that does not count, or is of an earlier incarnation
    /// than one that is known, is left out. Where there are as many as may be, the oldest makes room.
    pub fn insert(&mut self, now: Micros, fact: Fact) {
        let is_known = self.0.get(&fact.key).is_some_and(|entry| entry.age(now) <= fact.age);
        if fact.weight() == 0.0 || !fact.value.is_finite() || is_known {
            return;
        }
        if self.0.len() >= MAX_FACTS && !self.0.contains_key(&fact.key) {
            self.evict_oldest(now);
        }
        let others = self.other_incarnations(&fact.key);
        if others.iter().any(|other| other.incarnation > fact.key.incarnation) {
            return;
        }
        // A worker that has restarted leaves nothing of its life before.
        for other in others {
            self.0.remove(&other);
        }
        let entry = Entry { value: fact.value, age_at_insertion: fact.age, inserted_at: now };
        self.0.insert(fact.key, entry);
    }

    /// Removes what does not count any more, or else the oldest fact.
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

    /// Removes a fact that does not hold any more.
    pub fn remove(&mut self, key: &FactKey) {
        self.0.remove(key);
    }

    /// All facts that still count, as old as they are now.
    pub fn iter(&self, now: Micros) -> impl Iterator<Item = Fact> + '_ {
        let facts = self.0.iter().map(move |(key, entry)| entry.as_fact(now, *key));
        facts.filter(|fact| fact.weight() > 0.0)
    }

    /// A fact that still counts, as old as it is now.
    pub fn get(&self, now: Micros, key: &FactKey) -> Option<Fact> {
        let entry = self.0.get(key)?;
        Some(entry.as_fact(now, *key)).filter(|fact| fact.weight() > 0.0)
    }

    /// Removes what does not count any more.
    pub fn remove_expired(&mut self, now: Micros) {
        self.0.retain(|key, entry| entry.as_fact(now, *key).weight() > 0.0);
    }

    /// How many facts are known, also those that do not count any more.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Nothing is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
