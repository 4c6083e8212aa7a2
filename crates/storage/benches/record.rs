//! The cost of durable workflow records, with one and with ten records per transaction:
//! `cargo bench -p applepond-storage`.
use applepond_storage::{
    DiskStore, MemoryStore, StepOutcome, StepRecord, StoredResponse, WorkflowRecord, WorkflowStore,
};
use criterion::{Criterion, criterion_group, criterion_main};
use std::collections::BTreeMap;

/// The record of a workflow with three steps as in the scenarios, about 600 bytes.
fn record() -> WorkflowRecord {
    let answer = StoredResponse { header_lines: vec![b'x'; 100], body: vec![b'y'; 100] };
    let fields = BTreeMap::from([("hut".to_owned(), "hold-hut-7".to_owned())]);
    let end = StepOutcome { code: 0, fields, response: Some(answer) };
    let step = |n| (n, StepRecord { sent_at: 1, outcome: Some(end.clone()) });
    WorkflowRecord {
        workflow: "book".into(),
        expires_at: u64::MAX,
        steps: (0..3).map(step).collect(),
        ..WorkflowRecord::default()
    }
}

fn benches(c: &mut Criterion) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store_on_disk = DiskStore::open(&folder.path().join("record")).expect("a new file");
    let (example, mut n) = (record(), 0u64);
    let mut save = |store: &mut dyn WorkflowStore, workflows: u64| {
        let names: Vec<String> = (0..workflows).map(|i| ((n + i) % 10_000).to_string()).collect();
        n += workflows;
        let rows: Vec<_> = names.iter().map(|id| (("/desk", id.as_str()), &example)).collect();
        store.save(&rows).expect("kept");
    };
    let mut group = c.benchmark_group("keep");
    group.sample_size(30);
    group.bench_function("disk/1", |b| b.iter(|| save(&mut store_on_disk, 1)));
    group.bench_function("disk/10", |b| b.iter(|| save(&mut store_on_disk, 10)));
    let mut store_in_memory = MemoryStore::default();
    group.bench_function("memory/1", |b| b.iter(|| save(&mut store_in_memory, 1)));
    group.finish();
    c.bench_function("read/none", |b| b.iter(|| store_on_disk.load(("/desk", "none")).expect("read")));
}

criterion_group!(all, benches);
criterion_main!(all);
