//! Compares the queue's indexes with a plain ordered map.
use applepond_wait_queue::{Key, QueuedRequest, WaitQueue};
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::BTreeMap;

type Plain = BTreeMap<Key<u8>, QueuedRequest<u8, u8>>;

fn keys(plain: &Plain, wanted: impl Fn(&Key<u8>, &QueuedRequest<u8, u8>) -> bool) -> Vec<Key<u8>> {
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
        let mut queue = WaitQueue::default();
        let mut plain = Plain::new();
        for (add, priority, arrival, request, function, workload, deadline, (unsent, late)) in steps {
            let key = (Reverse(priority), arrival, request);
            if add {
                let queued = QueuedRequest { function, workload, deadline, unsent, late };
                queue.insert(key, queued);
                plain.insert(key, queued);
            } else {
                prop_assert_eq!(queue.remove(&key), plain.remove(&key));
            }
        }
        prop_assert_eq!((queue.len(), queue.is_empty()), (plain.len(), plain.is_empty()));
        let mut candidates = keys(&plain, |_, queued| !queued.unsent);
        for f in 0..4 {
            let unsent = keys(&plain, |_, queued| queued.unsent && queued.function == f);
            prop_assert_eq!(queue.highest_unsent_priority(f), unsent.first().map(|k| k.0.0));
            candidates.extend(unsent.first());
            for pair in unsent.windows(2) {
                prop_assert_eq!(queue.next_unsent(f, &pair[0]), Some(pair[1]));
            }
            prop_assert_eq!(unsent.last().and_then(|last| queue.next_unsent(f, last)), None);
        }
        candidates.sort();
        prop_assert_eq!(queue.dispatch_candidates().into_iter().collect::<Vec<_>>(), candidates);
        for w in 0..2 {
            let due = keys(&plain, |_, queued| queued.workload == w && queued.deadline <= at);
            prop_assert_eq!(sorted(queue.with_deadline_until(w, at)), due);
            let on_time = keys(&plain, |k, queued| queued.workload == w && !queued.late && k.1 < at);
            prop_assert_eq!(sorted(queue.on_time_before(w, at)), on_time);
        }
        let late = keys(&plain, |k, queued| queued.late && queued.function < 2 && k.1 <= at);
        prop_assert_eq!(sorted(queue.late_until(at, |f| f < 2)), late);
    }
}
