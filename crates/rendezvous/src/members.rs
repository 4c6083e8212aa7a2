//! The members and their weights, laid out for scans.
use crate::Draw;
use crate::change_log::{Change, ChangeLog};
use crate::prefix::Ranked;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// Members whose weights have the same binary exponent, so that one bound on the hash serves all in a scan.
struct WeightClass<M> {
    /// Bits of the weights' common exponent.
    exponent: u64,
    // One entry a member, at the same index.
    members: Vec<M>,
    digests: Vec<u64>,
    weights: Vec<f64>,
}

impl<M> WeightClass<M> {
    /// An upper bound of the weights in the class.
    fn max_weight(&self) -> f64 {
        f64::from_bits((self.exponent + 1) << f64::MANTISSA_DIGITS.saturating_sub(1))
    }
}

impl<M: Copy> WeightClass<M> {
    /// Adds a member that a scan has found, if its score is within the cutoff. Few get here, so it stays out
    /// of the loop.
    #[cold]
    fn add_if_within<D: Draw<Member = M>>(
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

/// The members that orders are drawn from. Memory: about 50 bytes a member.
pub struct Members<D: Draw> {
    classes: Vec<WeightClass<D::Member>>,
    /// Where each member is stored.
    slots: FxHashMap<D::Member, Slot>,
    /// How many members have each weight (the bits of positive numbers order as the numbers do), for exact
    /// sums without drift.
    count_by_weight: BTreeMap<u64, usize>,
    total_weight: f64,
    log: ChangeLog<D::Member>,
}

impl<D: Draw> Default for Members<D> {
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

/// Bits of the weight's binary exponent.
fn exponent(weight: f64) -> u64 {
    weight.to_bits() >> (f64::MANTISSA_DIGITS - 1)
}

impl<D: Draw> Members<D> {
    /// The number of members.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// The sum of all weights.
    pub fn total_weight(&self) -> f64 {
        self.total_weight
    }

    /// The smallest weight; `None` without members.
    pub fn least_weight(&self) -> Option<f64> {
        self.count_by_weight.keys().next().map(|bits| f64::from_bits(*bits))
    }

    /// Sets the weight of a member, or removes it where there is none. Costs nothing where nothing changes.
    ///
    /// # Panics
    /// If the weight is not a positive finite number.
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

    /// Counts a member of this weight that joins or leaves.
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
            let least_hash = D::least_hash(cutoff, class.max_weight());
            for (index, digest) in class.digests.iter().enumerate() {
                let hash = D::hash(key, *digest);
                if hash >= least_hash {
                    class.add_if_within::<D>(&mut found, index, hash, cutoff);
                }
            }
        }
        found.sort_unstable_by(Ranked::order);
        found
    }
}
