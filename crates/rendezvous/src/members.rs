//! Members and their weights, stored for fast scans.
use crate::HashScheme;
use crate::change_log::{Change, ChangeLog};
use crate::prefix::Ranked;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// Members whose weights share a binary exponent, so that a scan needs only one hash bound for all of them.
struct WeightClass<M> {
    /// The exponent bits of the weights.
    exponent: u64,
    // Parallel arrays with one entry per member.
    members: Vec<M>,
    digests: Vec<u64>,
    weights: Vec<f64>,
}

impl<M> WeightClass<M> {
    /// An upper bound of the weights in this class.
    fn max_weight(&self) -> f64 {
        f64::from_bits((self.exponent + 1) << f64::MANTISSA_DIGITS.saturating_sub(1))
    }
}

impl<M: Copy> WeightClass<M> {
    /// Adds a member found by a scan if its score is within the cutoff. Marked cold because few members get
    /// here, which keeps the code out of the scan loop.
    #[cold]
    fn add_if_within<D: HashScheme<Member = M>>(
        &self,
        found: &mut Vec<Ranked<M>>,
        index: usize,
        hash: u64,
        cutoff: f64,
    ) {
        let weight = self.weights[index];
        let score = D::score(hash, weight);
        if score <= cutoff {
            found.push(Ranked { score, weight, member: self.members[index] });
        }
    }
}

/// Where a member is stored.
#[derive(Clone, Copy)]
struct Slot {
    class: usize,
    index: usize,
}

/// The members to be ordered. Uses about 50 bytes of memory per member.
pub struct Members<D: HashScheme> {
    classes: Vec<WeightClass<D::Member>>,
    slots: FxHashMap<D::Member, Slot>,
    /// Number of members per weight, so that the total is computed exactly, without rounding drift. Keyed
    /// by the bits of the weight, which for positive floats sort like the numbers.
    count_by_weight: BTreeMap<u64, usize>,
    total_weight: f64,
    log: ChangeLog<D::Member>,
}

impl<D: HashScheme> Default for Members<D> {
    fn default() -> Self {
        Members {
            classes: Vec::new(),
            slots: FxHashMap::default(),
            count_by_weight: BTreeMap::new(),
            total_weight: 0.0,
            log: ChangeLog::default(),
        }
    }
}

/// Exponent bits of a weight.
fn exponent(weight: f64) -> u64 {
    weight.to_bits() >> (f64::MANTISSA_DIGITS - 1)
}

impl<D: HashScheme> Members<D> {
    /// Number of members.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Sum of all weights.
    pub fn total_weight(&self) -> f64 {
        self.total_weight
    }

    /// Smallest weight; `None` without members.
    pub fn min_weight(&self) -> Option<f64> {
        self.count_by_weight.keys().next().map(|bits| f64::from_bits(*bits))
    }

    /// Sets a member's weight, or removes the member if `weight` is `None`. Cheap if nothing changes.
    ///
    /// # Panics
    ///
    /// Panics if the weight is not positive and finite.
    pub fn set(&mut self, member: D::Member, weight: Option<f64>) {
        assert!(
            weight.is_none_or(|weight| weight > 0.0 && weight.is_finite()),
            "weights are positive and finite"
        );
        let before = self.slots.get(&member).map(|slot| self.classes[slot.class].weights[slot.index]);
        if before == weight {
            return;
        }
        if let Some(old) = before {
            self.remove(member);
            self.count(old, false);
        }
        if let Some(new) = weight {
            self.insert(member, new);
            self.count(new, true);
        }
        self.total_weight =
            self.count_by_weight.iter().map(|(bits, count)| f64::from_bits(*bits) * *count as f64).sum();
        self.log.push(Change { member, before, after: weight });
    }

    /// Updates the number of members of a weight.
    fn count(&mut self, weight: f64, joins: bool) {
        let number = self.count_by_weight.entry(weight.to_bits()).or_default();
        *number = if joins { *number + 1 } else { *number - 1 };
        if *number == 0 {
            self.count_by_weight.remove(&weight.to_bits());
        }
    }

    fn insert(&mut self, member: D::Member, weight: f64) {
        let exponent = exponent(weight);
        let found = self.classes.iter().position(|class| class.exponent == exponent);
        let class = found.unwrap_or_else(|| {
            self.classes.push(WeightClass {
                exponent,
                members: Vec::new(),
                digests: Vec::new(),
                weights: Vec::new(),
            });
            self.classes.len() - 1
        });
        let weight_class = &mut self.classes[class];
        self.slots.insert(member, Slot { class, index: weight_class.members.len() });
        weight_class.members.push(member);
        weight_class.digests.push(D::digest(member));
        weight_class.weights.push(weight);
    }

    fn remove(&mut self, member: D::Member) {
        let Some(slot) = self.slots.remove(&member) else { return };
        let class = &mut self.classes[slot.class];
        class.members.swap_remove(slot.index);
        class.digests.swap_remove(slot.index);
        class.weights.swap_remove(slot.index);
        if let Some(moved) = class.members.get(slot.index) {
            self.slots.insert(*moved, slot);
        }
    }

    pub(crate) fn log(&self) -> &ChangeLog<D::Member> {
        &self.log
    }

    /// All members with a score of at most `cutoff`, in the key's order.
    pub(crate) fn scan(&self, key: D::Key, cutoff: f64) -> Vec<Ranked<D::Member>> {
        let mut found = Vec::new();
        for class in &self.classes {
            let min_hash = D::min_hash(cutoff, class.max_weight());
            for (index, digest) in class.digests.iter().enumerate() {
                let hash = D::hash(key, *digest);
                if hash >= min_hash {
                    class.add_if_within::<D>(&mut found, index, hash, cutoff);
                }
            }
        }
        found.sort_unstable_by(Ranked::compare);
        found
    }
}
