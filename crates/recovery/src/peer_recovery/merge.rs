//! Merges the facts of several peers by the median.
use crate::{Fact, FactKey};
use std::collections::{BTreeMap, BTreeSet};

/// Merges the responses: each fact gets the median value and the highest age among the peers that reported
/// it. Without `uses_median`, which only tests disable, it is the fact with the lowest value.
pub(super) fn merge(answers: &[Vec<Fact>], uses_median: bool) -> Vec<Fact> {
    let by_key = group_by_key(answers).into_iter();
    by_key.filter_map(|(key, facts)| merge_one(key, facts, answers.len(), uses_median)).collect()
}

/// Groups the facts of all responses by key, at most one per response and key.
fn group_by_key(answers: &[Vec<Fact>]) -> BTreeMap<FactKey, Vec<Fact>> {
    let mut by_key: BTreeMap<FactKey, Vec<Fact>> = BTreeMap::new();
    for facts in answers {
        let mut seen = BTreeSet::new();
        for fact in facts.iter().filter(|fact| seen.insert(fact.key)) {
            by_key.entry(fact.key).or_default().push(*fact);
        }
    }
    by_key
}

fn merge_one(key: FactKey, mut facts: Vec<Fact>, answers: usize, uses_median: bool) -> Option<Fact> {
    facts.sort_by(|left, right| left.value.total_cmp(&right.value));
    if !uses_median {
        return facts.first().copied();
    }
    // A single peer is not trusted: facts that a majority has not reported are dropped, and if only one peer
    // responded, its facts count as half expired.
    if facts.len() < answers / 2 + 1 {
        return None;
    }
    let value = facts[(facts.len() - 1) / 2].value;
    let mut age = facts.iter().map(|fact| fact.age).max()?;
    if answers == 1 {
        age = age.max(key.kind.lifetime().expiry / 2);
    }
    Some(Fact { key, value, age }).filter(|fact| fact.weight() > 0.0)
}
