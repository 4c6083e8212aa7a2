//! Tests with a failing backend, which needs access to private constructors.
use super::DiskStore;
use crate::failing_backend::FailingBackend;
use crate::{Micros, StepOutcome, StepRecord, WorkflowRecord, WorkflowStore};
use redb::Database;
use redb::backends::InMemoryBackend;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

fn record(expires_at: Micros, steps: u32) -> WorkflowRecord {
    let end =
        StepOutcome { code: 0, fields: BTreeMap::from([("hut".into(), "x".repeat(100))]), response: None };
    let step = |n| (n, StepRecord { sent_at: u64::from(n), outcome: Some(end.clone()) });
    WorkflowRecord { expires_at, steps: (0..steps).map(step).collect(), ..WorkflowRecord::default() }
}

// Whichever write fails, acknowledged records are there after reopening, and the others completely or not at
// all.
#[test]
fn whichever_write_fails_saved_records_stay() {
    let (mut failed, mut n) = (0, 0);
    loop {
        let inner = Arc::new(InMemoryBackend::new());
        let writes_left = Arc::new(AtomicU64::new(u64::MAX));
        let on = |left: &Arc<AtomicU64>| {
            let backend = FailingBackend { inner: inner.clone(), writes_left: left.clone() };
            let database = Database::builder().create_with_backend(backend);
            database
                .map_err(|e| e.to_string())
                .and_then(|d| DiskStore::with_database(Path::new("memory"), d).map_err(|e| e.to_string()))
        };
        let mut store = on(&writes_left).expect("a new one");
        store.save(&[(("/a", "1"), &record(100, 4))]).expect("kept");
        writes_left.store(n, Ordering::Relaxed);
        let acknowledged: Vec<bool> = (2..6u32)
            .map(|n| store.save(&[(("/a", n.to_string().as_str()), &record(100, 4))]).is_ok())
            .collect();
        // Like a killed process, the old store writes nothing more.
        writes_left.store(0, Ordering::Relaxed);
        drop(store);
        let mut reopened = on(&Arc::new(AtomicU64::new(u64::MAX))).expect("opened again");
        assert!(reopened.load(("/a", "1")).expect("read").is_some());
        for (workflow, acknowledged) in (2..6).zip(&acknowledged) {
            let found = reopened.load(("/a", &workflow.to_string())).expect("read");
            assert!(
                found.is_some() || !acknowledged,
                "write {n}: workflow {workflow} was acknowledged and lost"
            );
            assert!(
                found.is_none_or(|k| k == record(100, 4)),
                "write {n}: workflow {workflow} is incomplete"
            );
        }
        failed += usize::from(acknowledged.contains(&false));
        if acknowledged.iter().all(|s| *s) {
            break;
        }
        n += 1;
    }
    assert!(failed > 4, "{failed} writes failed");
}
