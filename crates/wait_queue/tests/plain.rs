//! Compares the queue's indexes with a plain ordered map.
use applepond_wait_queue::{Key, Row, Waiting};
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::BTreeMap;

type Plain = BTreeMap<Key<u8>, Row<u8, u8>>;

fn keys(plain: &Plain, wanted: impl Fn(&Key<u8>, &Row<u8, u8>) -> bool) -> Vec<Key<u8>> {
    plain.iter().filter(|(k, r)| wanted(k, r)).map(|(k, _)| *k).collect()
}

fn sorted(found: impl Iterator<Item = Key<u8>>) -> Vec<Key<u8>> {
    let mut found: Vec<_> = found.collect();
    found.sort();
    found
}

proptest! {
    #[test]
    fn indexes_agree_with_a_plain_list(
        steps in prop::collection::vec(
            (any::<bool>(), 0u64..4, 0u64..20, 0u8..40, 0u8..4, 0u8..2, 0u64..30, any::<(bool, bool)>()),
            1..150,
        ),
        at in 0u64..30,
    ) {
        let mut waiting = Waiting::default();
        let mut plain = Plain::new();
        for (add, value, came, request, function, workload, deadline, (bare, late)) in steps {
            let key = (Reverse(value), came, request);
            if add {
                let row = Row { function, workload, deadline, bare, late };
                waiting.insert(key, row);
                plain.insert(key, row);
            } else {
                prop_assert_eq!(waiting.remove(&key), plain.remove(&key));
            }
        }
        prop_assert_eq!((waiting.len(), waiting.is_empty()), (plain.len(), plain.is_empty()));
        let mut heads = keys(&plain, |_, row| !row.bare);
        for f in 0..4 {
            let bare = keys(&plain, |_, row| row.bare && row.function == f);
            prop_assert_eq!(waiting.highest(f), bare.first().map(|k| k.0.0));
            heads.extend(bare.first());
            for pair in bare.windows(2) {
                prop_assert_eq!(waiting.after(f, &pair[0]), Some(pair[1]));
            }
            prop_assert_eq!(bare.last().and_then(|last| waiting.after(f, last)), None);
        }
        heads.sort();
        prop_assert_eq!(waiting.heads().into_iter().collect::<Vec<_>>(), heads);
        for w in 0..2 {
            let leaving = keys(&plain, |_, row| row.workload == w && row.deadline <= at);
            prop_assert_eq!(sorted(waiting.leaving(w, at)), leaving);
            let fresh = keys(&plain, |k, row| row.workload == w && !row.late && k.1 < at);
            prop_assert_eq!(sorted(waiting.fresh_before(w, at)), fresh);
        }
        let late = keys(&plain, |k, row| row.late && row.function < 2 && k.1 <= at);
        prop_assert_eq!(sorted(waiting.late_until(at, |f| f < 2)), late);
    }
}
