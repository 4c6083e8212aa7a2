//! Compares prefixes with a plain sort of all members.
use applepond_rendezvous::{HashScheme, INITIAL_PREFIX_LEN, Members, Prefix};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Exponentially distributed scores, as in weighted rendezvous hashing.
struct Exponential;

impl HashScheme for Exponential {
    type Key = u64;
    type Member = u64;

    fn digest(member: u64) -> u64 {
        member.wrapping_mul(0xd6e8_feb8_6659_fd93)
    }

    fn hash(key: u64, digest: u64) -> u64 {
        let mut bits = key.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ digest;
        bits = (bits ^ (bits >> 32)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 32)
    }

    fn score(hash: u64, weight: f64) -> f64 {
        -(((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64).ln() / weight
    }

    fn min_hash(cutoff: f64, weight: f64) -> u64 {
        (((-cutoff * weight).exp() * (1.0 - 1e-9) * (1u64 << 53) as f64) as u64).saturating_sub(1) << 11
    }
}

/// Equal scores for all pairs, so that only the order of the members counts.
struct ConstantScore;

impl HashScheme for ConstantScore {
    type Key = u64;
    type Member = u64;

    fn digest(_: u64) -> u64 {
        0
    }

    fn hash(_: u64, _: u64) -> u64 {
        u64::MAX
    }

    fn score(_: u64, _: f64) -> f64 {
        0.25
    }

    fn min_hash(_: f64, _: f64) -> u64 {
        0
    }
}

fn sorted<D: HashScheme<Key = u64, Member = u64>>(reference: &BTreeMap<u64, f64>, key: u64) -> Vec<u64> {
    let scored = reference
        .iter()
        .map(|(member, weight)| (D::score(D::hash(key, D::digest(*member)), *weight), *member));
    let mut scored: Vec<(f64, u64)> = scored.collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, member)| member).collect()
}

fn walk<D: HashScheme<Key = u64, Member = u64>>(
    members: &Members<D>,
    prefix: &mut Prefix<u64>,
    key: u64,
    count: usize,
) -> Vec<u64> {
    prefix.refresh(members, key);
    (0..count).map_while(|position| prefix.get(members, key, position)).map(|ranked| ranked.member).collect()
}

#[derive(Clone, Debug)]
enum Step {
    /// Sets a member's weight; `None` removes the member.
    Set {
        member: u64,
        weight: Option<f64>,
    },
    /// Sets many consecutive members, as when a rack or zone joins or leaves.
    SetMany {
        first: u64,
        number: u64,
        weight: Option<f64>,
    },
    Walk {
        key: u64,
        count: usize,
    },
    /// Drops the key's prefix.
    Evict {
        key: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let weight = || {
        prop_oneof![
            2 => Just(None),
            6 => prop::sample::select(vec![1.0, 2.0, 4.0, 8.0]).prop_map(Some),
            2 => (0.001f64..1000.0).prop_map(Some),
        ]
    };
    let set = (0u64..400, weight()).prop_map(|(member, weight)| Step::Set { member, weight });
    let set_many = (0u64..400, 1u64..200, weight()).prop_map(|(first, number, weight)| Step::SetMany {
        first,
        number,
        weight,
    });
    let walk = (0u64..4, prop_oneof![8 => 0usize..12, 2 => 0usize..450])
        .prop_map(|(key, count)| Step::Walk { key, count });
    let evict = (0u64..4).prop_map(|key| Step::Evict { key });
    prop::collection::vec(prop_oneof![4 => set, 1 => set_many, 6 => walk, 1 => evict], 1..120)
}

proptest! {
    #[test]
    fn prefixes_agree_with_a_plain_sort(steps in steps()) {
        let mut members = Members::<Exponential>::default();
        let mut reference = BTreeMap::new();
        let mut prefixes: BTreeMap<u64, Prefix<u64>> = BTreeMap::new();
        for step in steps {
            let (first, number, weight) = match step {
                Step::Set { member, weight } => (member, 1, weight),
                Step::SetMany { first, number, weight } => (first, number, weight),
                Step::Walk { key, count } => {
                    let prefix = prefixes.entry(key).or_default();
                    let mut expected = sorted::<Exponential>(&reference, key);
                    expected.truncate(count);
                    prop_assert_eq!(walk(&members, prefix, key, count), expected);
                    continue;
                }
                Step::Evict { key } => {
                    prefixes.remove(&key);
                    continue;
                }
            };
            for member in first..first + number {
                members.set(member, weight);
                match weight {
                    Some(weight) => _ = reference.insert(member, weight),
                    None => _ = reference.remove(&member),
                }
            }
            prop_assert_eq!(members.len(), reference.len());
            let total: f64 = reference.values().sum();
            prop_assert!((members.total_weight() - total).abs() <= 1e-9 * total.max(1.0));
            let least = reference.values().copied().fold(f64::INFINITY, f64::min);
            prop_assert_eq!(members.min_weight().unwrap_or(f64::INFINITY), least);
        }
    }
}

/// The prefix misses more changes than the log holds.
#[test]
fn a_prefix_that_fell_behind_the_log_is_scanned_anew() {
    let mut members = Members::<Exponential>::default();
    let mut reference = BTreeMap::new();
    let mut prefix = Prefix::default();
    for round in 0..4u64 {
        for member in 0..3_000 {
            let weight = 1.0 + ((member + round) % 3) as f64;
            members.set(member * 7 + round, Some(weight));
            reference.insert(member * 7 + round, weight);
        }
        let expected: Vec<u64> = sorted::<Exponential>(&reference, 9).into_iter().take(40).collect();
        assert_eq!(walk(&members, &mut prefix, 9, 40), expected);
    }
}

#[test]
fn equal_scores_go_by_member() {
    let mut members = Members::<ConstantScore>::default();
    let mut prefix = Prefix::default();
    for member in (0..50).rev() {
        members.set(member, Some(1.0));
    }
    assert_eq!(walk(&members, &mut prefix, 0, 50), (0..50).collect::<Vec<_>>());
    members.set(10, None);
    members.set(60, Some(1.0));
    let expected: Vec<u64> = (0..61).filter(|m| *m != 10 && (*m < 50 || *m == 60)).collect();
    assert_eq!(walk(&members, &mut prefix, 0, 60), expected);
}

#[test]
fn a_prefix_is_as_long_as_what_is_walked() {
    let mut members = Members::<Exponential>::default();
    (0..30_000).for_each(|member| members.set(member, Some(1.0)));
    let mut longest = 0;
    for key in 0..50 {
        let mut prefix = Prefix::default();
        walk(&members, &mut prefix, key, 2);
        longest = longest.max(prefix.len());
    }
    assert!(longest <= 4 * INITIAL_PREFIX_LEN, "{longest} entries after walking two members");
    let mut prefix = Prefix::default();
    walk(&members, &mut prefix, 3, 3_000);
    assert!(prefix.len() >= 3_000);
    for _ in 0..200 {
        walk(&members, &mut prefix, 3, 2);
    }
    assert!(
        prefix.len() <= 8 * INITIAL_PREFIX_LEN,
        "{} entries, though only two members were walked lately",
        prefix.len()
    );
}

#[test]
fn without_members_there_is_no_order() {
    let mut members = Members::<Exponential>::default();
    let mut prefix = Prefix::default();
    assert_eq!(walk(&members, &mut prefix, 1, 3), Vec::<u64>::new());
    members.set(5, Some(1.0));
    assert_eq!(walk(&members, &mut prefix, 1, 3), vec![5]);
    members.set(5, None);
    assert_eq!(walk(&members, &mut prefix, 1, 3), Vec::<u64>::new());
    assert!(members.is_empty() && prefix.is_empty());
}

#[test]
#[should_panic(expected = "positive")]
fn a_weight_that_is_not_positive_panics() {
    Members::<Exponential>::default().set(1, Some(0.0));
}
