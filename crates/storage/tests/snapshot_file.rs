//! Snapshots on disk: restarts and damaged files.
use applepond_storage::{SnapshotFile, StorageError};

#[test]
fn the_last_snapshot_is_there_after_a_restart() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("snapshot");
    let (mut opened, fault) = SnapshotFile::open(&file).expect("a new file");
    assert!(fault.is_none() && opened.read().expect("read").is_none());
    opened.write(b"one").expect("room");
    opened.write(b"two").expect("room");
    drop(opened);
    let (opened, _) = SnapshotFile::open(&file).expect("opened again");
    assert_eq!(opened.read().expect("read").as_deref(), Some(&b"two"[..]));
}

// A truncated or overwritten file either has the last snapshot, or is renamed and replaced by a new file. It
// never yields an older snapshot.
#[test]
fn a_damaged_file_is_put_aside() {
    let folder = tempfile::tempdir().expect("a folder");
    let (file, damaged) = (folder.path().join("snapshot"), folder.path().join("damaged"));
    let (mut opened, _) = SnapshotFile::open(&file).expect("a new file");
    (0..20u8).for_each(|n| opened.write(&[n; 3_000]).expect("room"));
    drop(opened);
    let whole = std::fs::read(&file).expect("read");
    let mut recreated = 0;
    for at in (0..whole.len()).step_by(4_096) {
        std::fs::write(&damaged, &whole[..at]).expect("written");
        let (opened, fault) = SnapshotFile::open(&damaged).expect("opened or recreated");
        let read = opened.read().expect("read");
        assert!(read.is_none() || read.as_deref() == Some(&[19; 3_000][..]), "cut at {at}");
        recreated += usize::from(fault.is_some());
    }
    assert!(recreated > 3, "{recreated}");
    std::fs::write(&damaged, "no store at all ".repeat(2_000)).expect("written");
    let (mut opened, fault) = SnapshotFile::open(&damaged).expect("recreated");
    assert!(matches!(fault, Some(StorageError::OpenFailed { .. })));
    opened.write(b"new").expect("room");
    assert!(folder.path().join("damaged.spoilt").exists());
    let nowhere = folder.path().join("no/such/folder");
    assert!(SnapshotFile::open(&nowhere).is_err());
}
