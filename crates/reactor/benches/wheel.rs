//! Compares the timer wheel with a `BTreeMap` at several numbers of pending timers of up to five seconds.
//! Each round adds one timer, cancels an earlier one in nine of ten rounds, and fires those that are due.
use applepond_reactor::wheel::Wheel;
use criterion::{Criterion, criterion_group, criterion_main};
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::hint::black_box;

/// Simulated time of a round in µs.
const ROUND_US: u64 = 100;
const MAX_TIMEOUT_US: u64 = 5_000_000;

fn benches(c: &mut Criterion) {
    for waiting in [100u64, 10_000, 100_000] {
        let mut group = c.benchmark_group(format!("timers/{waiting}"));
        group.bench_function("wheel", |b| {
            let (mut rng, mut now) = (Rand64::new(1), 1_000_000_000u64);
            let mut wheel = Wheel::new(now);
            let mut keys: std::collections::VecDeque<_> =
                (0..waiting).map(|n| wheel.insert(now + rng.rand_range(0..MAX_TIMEOUT_US), n)).collect();
            b.iter(|| {
                now += ROUND_US;
                keys.push_back(wheel.insert(now + rng.rand_range(0..MAX_TIMEOUT_US), now));
                let key = keys.pop_front().expect("one key per pending timer");
                if now % 1000 != 0 {
                    black_box(wheel.remove(key));
                }
                black_box(wheel.due(now));
            });
        });
        group.bench_function("btree", |b| {
            let (mut rng, mut now, mut order) = (Rand64::new(1), 1_000_000_000u64, 0u64);
            let mut map = BTreeMap::new();
            let mut keys = std::collections::VecDeque::new();
            for n in 0..waiting {
                order += 1;
                let key = (now + rng.rand_range(0..MAX_TIMEOUT_US), order);
                map.insert(key, n);
                keys.push_back(key);
            }
            b.iter(|| {
                now += ROUND_US;
                order += 1;
                let key = (now + rng.rand_range(0..MAX_TIMEOUT_US), order);
                map.insert(key, now);
                keys.push_back(key);
                let key = keys.pop_front().expect("one key per pending timer");
                if now % 1000 != 0 {
                    black_box(map.remove(&key));
                }
                while map.first_key_value().is_some_and(|((at, _), _)| *at <= now) {
                    black_box(map.pop_first());
                }
            });
        });
        group.finish();
    }
}

criterion_group!(all, benches);
criterion_main!(all);
