//! Planning of the next list of pins: the value of a pin by its usage, hysteresis between pinning and
//! unpinning, minimum times in each state, and limits on memory and on the number of changes.
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
    /// Preparation time in µs per second that one byte of memory at one worker has to save to be worth its
    /// use.
    pub price_per_byte: f64,
    /// Maximum memory in bytes that pins may take at a worker.
    pub memory_limit: f64,
    /// Time in µs for which a worker keeps an unpinned prefix after its last use. A prefix that is used
    /// again within it gains nothing from a pin.
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
/// Uses per second of prefixes.
type Rates = BTreeMap<PrefixId, f64>;

/// Plans the next list.
///
/// It remembers, by its own clock, since when each prefix has been pinned or unpinned. A new planner treats
/// all prefixes as just changed, which delays changes but never leads to a wrong list.
pub struct PinPlanner {
    cost_model: CostModel,
    changed_at: Micros,
    states: BTreeMap<PrefixId, PinState>,
    released: BTreeMap<PrefixId, ReleasedPin>,
    /// The agreed list at the last call.
    last_agreed: Sizes,
}

impl PinPlanner {
    /// Starts without any history.
    pub fn new(now: Micros, cost_model: CostModel) -> Self {
        PinPlanner {
            cost_model,
            changed_at: now,
            states: BTreeMap::new(),
            released: BTreeMap::new(),
            last_agreed: BTreeMap::new(),
        }
    }

    /// The cost model, to update it when the number of workers changes.
    pub fn cost_model_mut(&mut self) -> &mut CostModel {
        &mut self.cost_model
    }

    /// Value of a pin: the preparation time in µs per second that it saves over all workers, less the price
    /// of its memory. Uses that find the prefix still cached without a pin save nothing.
    pub fn value(&self, per_s: f64, size: u32) -> f64 {
        let model = &self.cost_model;
        let size = f64::from(size);
        // Uses are spread evenly over the workers. Without a pin, a worker prepares the prefix again if no
        // use arrived within the retention time; arrivals are taken as a Poisson process.
        let per_s_at_worker = per_s / model.workers.max(1.0);
        let misses = per_s * (-per_s_at_worker * model.retention / 1e6).exp();
        misses * size * model.prepare_time
            - size * model.bytes_per_unit * model.workers * model.price_per_byte
    }

    /// Returns the list to propose in place of the agreed one, or `None` if nothing is to change now.
    ///
    /// `size` returns the size of a prefix, if known; a prefix of unknown size is never pinned.
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
        // Removals and additions go into separate lists, so that memory is not promised to new pins before
        // the removal of old ones is agreed on.
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

    /// Updates the history from the agreed list. Changes are dated by this planner's own clock.
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

    /// Whether a prefix has been in its current state, pinned or unpinned, for at least `duration` µs.
    fn is_unchanged_for(&self, now: Micros, id: PrefixId, duration: Micros) -> bool {
        self.states.get(&id).is_none_or(|state| now >= state.since + duration)
    }

    /// Whether an existing pin is still worth its memory. The threshold is lower than the one for new pins.
    fn is_worth_keeping(&self, per_s: f64, size: u32) -> bool {
        self.value(per_s, size).max(self.value(per_s / STAY_FRACTION, size)) > 0.0
    }

    /// Pins that are no longer worth their memory, the least valuable first, ties by id; no more than
    /// [`MAX_CHANGES`].
    fn pins_to_remove(&self, now: Micros, pinned: &Sizes, rates: &Rates) -> Vec<PrefixId> {
        let mut removals: Vec<(f64, PrefixId)> = Vec::new();
        for (id, size) in pinned {
            let per_s = rates.get(id).copied().unwrap_or(0.0);
            if !self.is_worth_keeping(per_s, *size) && self.is_unchanged_for(now, *id, MIN_TIME_PINNED) {
                removals.push((self.value(per_s, *size), *id));
            }
        }
        removals.sort_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
        removals.truncate(MAX_CHANGES);
        removals.into_iter().map(|(_, id)| id).collect()
    }

    /// Unpinned prefixes that are worth a pin, the most valuable first. Ties are broken by id, so that
    /// routers with the same counts make the same decision.
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

    /// Adds pins within the limits on memory, pins and changes.
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

    /// Memory in bytes that these pins take at a worker, including released pins that may still be in use.
    fn memory(&self, pins: &Sizes) -> f64 {
        let released = self.released.iter().filter(|(id, _)| !pins.contains_key(id));
        let sizes = pins.values().copied().chain(released.map(|(_, pin)| pin.size));
        sizes.map(|size| f64::from(size) * self.cost_model.bytes_per_unit).sum::<f64>()
    }
}
