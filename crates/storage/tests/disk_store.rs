//! Workflow records on disk: restarts and damaged files.
use applepond_storage::{DiskStore, Micros, StepOutcome, StepRecord, WorkflowRecord, WorkflowStore};
use std::collections::BTreeMap;

fn record(expires_at: Micros, steps: u32) -> WorkflowRecord {
    let end =
        StepOutcome { code: 0, fields: BTreeMap::from([("hut".into(), "x".repeat(100))]), response: None };
    let step = |n| (n, StepRecord { sent_at: u64::from(n), outcome: Some(end.clone()) });
    WorkflowRecord { expires_at, steps: (0..steps).map(step).collect(), ..WorkflowRecord::default() }
}

#[test]
fn records_are_saved_loaded_and_removed() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("record");
    let mut store = DiskStore::open(&file).expect("a new file");
    store.save(&[(("/a", "1"), &record(100, 1)), (("/a", "2"), &record(200, 1))]).expect("kept");
    store.save(&[(("/a", "1"), &WorkflowRecord { closed: true, ..record(300, 2) })]).expect("kept again");
    drop(store);
    let mut store = DiskStore::open(&file).expect("opened again");
    assert_eq!(store.load(("/a", "1")).expect("read").map(|k| k.steps.len()), Some(2));
    assert_eq!(store.load(("/a", "3")), Ok(None));
    assert_eq!(store.unfinished(), Ok(vec![("/a".into(), "2".into())]), "the other one is closed");
    assert_eq!(
        (store.remove_expired(250), store.count()),
        (Ok(1), Ok(1)),
        "the expiry of one record was extended"
    );
    assert_eq!((store.remove_expired(300), store.count()), (Ok(1), Ok(0)));
}

#[test]
fn a_file_of_something_else_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("record");
    std::fs::write(&file, "certainly no record ".repeat(1_000)).expect("written");
    let why = DiskStore::open(&file).err().expect("an error");
    assert!(why.to_string().contains("record: "), "{why}");
    let nowhere = DiskStore::open(&folder.path().join("no/such/folder")).err().expect("an error");
    assert!(nowhere.to_string().contains("no/such/folder"), "{nowhere}");
}

// A truncated file is either rejected or has all records. A silently lost record would let a step be sent
// twice.
#[test]
fn a_truncated_file_loses_nothing_in_silence() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("record");
    let mut store = DiskStore::open(&file).expect("a new file");
    for n in 0..40 {
        store.save(&[(("/a", n.to_string().as_str()), &record(100, 8))]).expect("kept");
    }
    drop(store);
    let whole = std::fs::read(&file).expect("read");
    let (mut refused, cut) = (0, folder.path().join("cut"));
    for at in (1..whole.len()).step_by(4_096) {
        std::fs::write(&cut, &whole[..at]).expect("written");
        let read = DiskStore::open(&cut).and_then(|mut store| {
            (0..40).map(|n| store.load(("/a", &n.to_string()))).collect::<Result<Vec<_>, _>>()
        });
        match read {
            Ok(all) => assert!(all.iter().all(Option::is_some), "silently lost, cut at {at}"),
            Err(_) => refused += 1,
        }
    }
    assert!(refused > 10, "{refused} of {} cuts refused", whole.len() / 4_096);
}
