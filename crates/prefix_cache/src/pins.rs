//! Planning of the next list of pins: the value of a pin by its uses, a threshold to become pinned and a
//! lower one to stay, minimum times, and bounds on memory and on changes.
use crate::PrefixId;
use crate::config::{
    CHANGE_INTERVAL, MAX_CHANGES, MAX_PINS, MIN_TIME_PINNED, MIN_TIME_UNPINNED, RELEASE_DELAY, STAY_FRACTION,
};
use crate::list::{Pin, PinList};
use crate::panes::PrefixUsage;
use applepond::interface::Micros;
use std::collections::BTreeMap;

/// Costs and savings of a pin.
#[derive(Clone, Copy, Debug)]
pub struct CostModel {
    /// Time in µs that a worker takes to prepare one unit of a prefix's size.
    pub prepare_time: f64,
    /// Memory in bytes that one unit of a prefix's size takes at a worker.
    pub bytes_per_unit: f64,
    /// Number of workers that keep a pinned prefix.
    pub workers: f64,
    /// Preparation in µs a second that one byte at all workers has to save.
    pub price_per_byte: f64,
    /// Memory in bytes that pins may take at a worker at most.
    pub memory_limit: f64,
    /// Time in µs for which a worker keeps a prefix by itself after its last use: what it keeps anyway is
    /// no saving.
    pub retention: f64,
}

/// Since when a prefix has been pinned or unpinned.
#[derive(Clone, Copy)]
struct PinState {
    is_pinned: bool,
    since: Micros,
}

/// A pin that was removed; leases on it may still run.
#[derive(Clone, Copy)]
struct ReleasedPin {
    size: u32,
    released_at: Micros,
}

/// Sizes of prefixes.
type Sizes = BTreeMap<PrefixId, u32>;
/// Uses a second of prefixes.
type Rates = BTreeMap<PrefixId, f64>;

/// Plans the next list.
///
/// It remembers since when each prefix has been pinned or unpinned, by its own clock. A new planner takes
/// all of them for just changed, which costs time but never leads to a wrong list.
pub struct PinPlanner {
    cost_model: CostModel,
    changed_at: Micros,
    states: BTreeMap<PrefixId, PinState>,
    released: BTreeMap<PrefixId, ReleasedPin>,
    /// The agreed list when it was last looked at.
    last_agreed: Sizes,
}

impl PinPlanner {
    /// Starts without any knowledge.
    pub fn new(now: Micros, cost_model: CostModel) -> Self {
        PinPlanner {
            cost_model,
            changed_at: now,
            states: BTreeMap::new(),
            released: BTreeMap::new(),
            last_agreed: BTreeMap::new(),
        }
    }

    /// Costs and savings as they are now: the number of workers changes.
    pub fn cost_model_mut(&mut self) -> &mut CostModel {
        &mut self.cost_model
    }

    /// Value of a pin: preparation in µs a second that it saves over all workers, less the worth of its
    /// memory. What a worker keeps by itself from one use to the next is no saving.
    pub fn value(&self, per_s: f64, size: u32) -> f64 {
        let model = &self.cost_model;
        let size = f64::from(size);
        // Each worker sees its part of the uses. Without a pin it prepares the prefix anew if none came
        // while it kept it.
        let per_s_at_worker = per_s / model.workers.max(1.0);
        let misses = per_s * (-per_s_at_worker * model.retention / 1e6).exp();
        misses * size * model.prepare_time
            - size * model.bytes_per_unit * model.workers * model.price_per_byte
    }

    /// The next list in place of the agreed one; `None` if nothing is to change now. `size`: the size of a
    /// prefix that has been seen; a prefix of unknown size is never pinned.
    pub fn next_list(
        &mut self,
        now: Micros,
        agreed: &PinList,
        usage: &[PrefixUsage],
        size: impl Fn(PrefixId) -> Option<u32>,
    ) -> Option<PinList> {
        let rates: Rates = usage.iter().map(|usage| (usage.id, usage.per_s)).collect();
        let pinned: Sizes = agreed.pins.iter().map(|pin| (pin.id, pin.size)).collect();
        self.observe(now, &pinned, &rates);
        if now < self.changed_at + CHANGE_INTERVAL {
            return None;
        }
        let removed = self.pins_to_remove(now, &pinned, &rates);
        let mut next = pinned.clone();
        next.retain(|id, _| !removed.contains(id));
        // Guards against a list that grows before it has shrunk: removals and additions are two lists, and
        // the memory of the second counts from the first on.
        if removed.is_empty() {
            let candidates = self.pins_to_add(now, &pinned, &rates, size);
            self.add_pins(&mut next, candidates);
        }
        if next == pinned {
            return None;
        }
        self.changed_at = now;
        Some(PinList { pins: next.into_iter().map(|(id, size)| Pin { id, size }).collect() })
    }

    /// Takes notice of the agreed list. When a pin changed is measured by this planner's own clock.
    fn observe(&mut self, now: Micros, pinned: &Sizes, rates: &Rates) {
        self.states.retain(|id, _| pinned.contains_key(id) || rates.contains_key(id));
        for id in pinned.keys() {
            let state = self.states.entry(*id).or_insert(PinState { is_pinned: true, since: now });
            if !state.is_pinned {
                *state = PinState { is_pinned: true, since: now };
            }
        }
        for (id, state) in &mut self.states {
            if state.is_pinned && !pinned.contains_key(id) {
                *state = PinState { is_pinned: false, since: now };
            }
        }
        for (id, size) in std::mem::replace(&mut self.last_agreed, pinned.clone()) {
            if !pinned.contains_key(&id) {
                self.released.insert(id, ReleasedPin { size, released_at: now });
            }
        }
        let is_in_use = |pin: &ReleasedPin| now < pin.released_at + RELEASE_DELAY;
        self.released.retain(|id, pin| !pinned.contains_key(id) && is_in_use(pin));
    }

    /// Whether a prefix has been pinned or unpinned for at least this long, in µs.
    fn is_unchanged_for(&self, now: Micros, id: PrefixId, duration: Micros) -> bool {
        self.states.get(&id).is_none_or(|state| now >= state.since + duration)
    }

    /// Whether a pin is still worth its memory. The threshold to stay is lower than the one to become
    /// pinned.
    fn stays(&self, per_s: f64, size: u32) -> bool {
        self.value(per_s, size).max(self.value(per_s / STAY_FRACTION, size)) > 0.0
    }

    /// Pins that are no longer worth their memory: the least valuable, ties by id, as many as one change
    /// may have.
    fn pins_to_remove(&self, now: Micros, pinned: &Sizes, rates: &Rates) -> Vec<PrefixId> {
        let mut removals: Vec<(f64, PrefixId)> = Vec::new();
        for (id, size) in pinned {
            let per_s = rates.get(id).copied().unwrap_or(0.0);
            if !self.stays(per_s, *size) && self.is_unchanged_for(now, *id, MIN_TIME_PINNED) {
                removals.push((self.value(per_s, *size), *id));
            }
        }
        removals.sort_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
        removals.truncate(MAX_CHANGES);
        removals.into_iter().map(|(_, id)| id).collect()
    }

    /// Prefixes that are worth a pin, the most valuable first; ties by id, so that any two routers that
    /// decide by the same counts decide alike.
    fn pins_to_add(
        &self,
        now: Micros,
        pinned: &Sizes,
        rates: &Rates,
        size: impl Fn(PrefixId) -> Option<u32>,
    ) -> Vec<Pin> {
        let mut additions: Vec<(f64, Pin)> = Vec::new();
        for (id, per_s) in rates {
            if pinned.contains_key(id) || !self.is_unchanged_for(now, *id, MIN_TIME_UNPINNED) {
                continue;
            }
            let Some(size) = size(*id) else { continue };
            let value = self.value(*per_s, size);
            if value > 0.0 {
                additions.push((value, Pin { id: *id, size }));
            }
        }
        additions.sort_by(|one, other| other.0.total_cmp(&one.0).then(one.1.id.cmp(&other.1.id)));
        additions.into_iter().map(|(_, pin)| pin).collect()
    }

    /// Adds pins as far as memory and the bounds on pins and changes allow.
    fn add_pins(&self, next: &mut Sizes, candidates: Vec<Pin>) {
        let mut changes = 0;
        for pin in candidates {
            if changes >= MAX_CHANGES || next.len() >= MAX_PINS {
                break;
            }
            let bytes = self.memory(next) + f64::from(pin.size) * self.cost_model.bytes_per_unit;
            if bytes <= self.cost_model.memory_limit {
                next.insert(pin.id, pin.size);
                changes += 1;
            }
        }
    }

    /// Memory in bytes that these pins take at a worker, with the released ones that may still be in use.
    fn memory(&self, pins: &Sizes) -> f64 {
        let released = self.released.iter().filter(|(id, _)| !pins.contains_key(id));
        let sizes = pins.values().copied().chain(released.map(|(_, pin)| pin.size));
        sizes.map(|size| f64::from(size) * self.cost_model.bytes_per_unit).sum::<f64>()
    }
}
