//! Compares the timer wheel with a sorted map.
use applepond_reactor::wheel::Wheel;
use proptest::prelude::*;
use std::collections::BTreeMap;

const TICK: u64 = 256;

proptest! {
    // For any sequence of insertions, cancellations and waits, timers fire in order of time, none early and
    // none more than a tick late.
    #[test]
    fn wheel_behaves_as_a_sorted_map(
        start in 0u64..u64::from(u32::MAX) * 1000,
        steps in prop::collection::vec((0u8..4, 0u64..400_000_000, any::<bool>()), 1..200),
    ) {
        let mut wheel = Wheel::new(start);
        let mut map = BTreeMap::new();
        let mut keys = Vec::new();
        let mut now = start;
        for (n, (operation, span, short)) in steps.into_iter().enumerate() {
            let span = if short { span % 5_000 } else { span };
            match operation {
                0 | 1 => {
                    keys.push((wheel.insert(now + span, n), (now + span, n)));
                    map.insert((now + span, n), n);
                }
                2 if !keys.is_empty() => {
                    let (key, at) = keys.swap_remove(span as usize % keys.len());
                    prop_assert_eq!(wheel.remove(key), map.remove(&at));
                }
                _ => {
                    now += span;
                    let due = wheel.due(now);
                    let overdue = map.range(..(now.saturating_sub(TICK), 0)).count();
                    let allowed: Vec<usize> = map.range(..=(now, usize::MAX)).map(|(_, n)| *n).collect();
                    prop_assert!(due.len() >= overdue && due == allowed[..due.len()]);
                    map.retain(|_, n| !due.contains(n));
                }
            }
            prop_assert_eq!(wheel.len(), map.len());
            let next = wheel.next();
            prop_assert_eq!(next.is_some(), !map.is_empty());
            if let (Some(next), Some(((at, _), _))) = (next, map.first_key_value()) {
                prop_assert!(next <= at.div_ceil(TICK).max(now / TICK + 1) * TICK, "next() is too late");
            }
        }
    }
}
