//! Cost of one event, with the queue's indexes and with a plain ordered map: insert a request, find the
//! first request of each function, remove the request.
use applepond_wait_queue::{Key, QueuedRequest, WaitQueue};
use criterion::{Criterion, criterion_group, criterion_main};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;

const FUNCTIONS: u64 = 8;

fn key(n: u64) -> Key<u64> {
    (Reverse(n % 3), n, n)
}

fn entry(n: u64) -> QueuedRequest<u64, u64> {
    QueuedRequest { function: n % FUNCTIONS, workload: 0, deadline: n + 1_000_000, unsent: true, late: false }
}

fn benches(c: &mut Criterion) {
    for requests in [10u64, 1_000, 10_000] {
        let mut group = c.benchmark_group(format!("waiting/{requests}"));
        let mut queue = WaitQueue::default();
        (0..requests).for_each(|n| queue.insert(key(n), entry(n)));
        group.bench_function("indexes", |b| {
            b.iter(|| {
                queue.insert(key(requests), entry(requests));
                black_box(queue.highest_unsent_priority(1));
                black_box(queue.dispatch_candidates());
                queue.remove(&key(requests));
            });
        });
        let mut plain: BTreeMap<Key<u64>, QueuedRequest<u64, u64>> =
            (0..requests).map(|n| (key(n), entry(n))).collect();
        group.bench_function("plain", |b| {
            b.iter(|| {
                plain.insert(key(requests), entry(requests));
                black_box(plain.iter().any(|(_, entry)| entry.function == FUNCTIONS));
                let mut seen = BTreeSet::new();
                black_box(plain.iter().filter(|(_, entry)| seen.insert(entry.function)).count());
                plain.remove(&key(requests));
            });
        });
        group.finish();
    }
}

criterion_group!(all, benches);
criterion_main!(all);
