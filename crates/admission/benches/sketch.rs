//! Compares counting in the count-min sketch with counting in a hash map, for 100,000 clients.
use applepond_admission::sketch::DecayingCounts;
use criterion::{Criterion, criterion_group, criterion_main};
use std::collections::HashMap;
use std::hint::black_box;

const CLIENTS: u64 = 100_000;

fn benches(c: &mut Criterion) {
    let mut group = c.benchmark_group("clients/100000");
    let mut sketch = DecayingCounts::new(0, u64::MAX / 2);
    let mut n = 0u64;
    group.bench_function("count-min", |b| {
        b.iter(|| {
            n += 7919;
            black_box(sketch.add(1, n % CLIENTS))
        });
    });
    let mut map: HashMap<u64, f32> = HashMap::new();
    group.bench_function("map", |b| {
        b.iter(|| {
            n += 7919;
            let count = map.entry(n % CLIENTS).or_default();
            *count += 1.0;
            black_box(*count)
        });
    });
    group.finish();
}

criterion_group!(all, benches);
criterion_main!(all);
