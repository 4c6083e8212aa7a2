//! The snapshot thread. It reads the file at start-up and then replaces it with each snapshot it receives.
use super::{DiskEvent, DiskFault};
use applepond_storage::{SnapshotFile, StorageError};
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender};

/// An opened snapshot file and the error found in it, or the error that kept it from being opened.
type OpenedFile = Result<(SnapshotFile, Option<StorageError>), StorageError>;

/// Runs until the router drops its end of either channel.
pub(super) fn run(
    file: &Path,
    fault: DiskFault,
    snapshots: &Receiver<Vec<u8>>,
    events: &SyncSender<DiskEvent>,
) {
    let mut opened = SnapshotFile::open(file);
    if events.send(read(&opened)).is_err() {
        return;
    }
    while let Ok(bytes) = snapshots.recv() {
        // A missing directory may have been created since the last attempt.
        if opened.is_err() {
            opened = SnapshotFile::open(file);
        }
        let written = write(&mut opened, file, fault, &bytes);
        if events.send(DiskEvent::SnapshotWritten(written.err())).is_err() {
            return;
        }
    }
}

/// Reads the snapshot found at start-up.
fn read(opened: &OpenedFile) -> DiskEvent {
    let (snapshot, error) = match opened {
        Ok((file, error)) => match file.read() {
            Ok(snapshot) => (snapshot, error.clone()),
            Err(error) => (None, Some(error)),
        },
        Err(error) => (None, Some(error.clone())),
    };
    DiskEvent::SnapshotRead { snapshot, error }
}

fn write(opened: &mut OpenedFile, file: &Path, fault: DiskFault, bytes: &[u8]) -> Result<(), StorageError> {
    match fault {
        DiskFault::Full => {
            return Err(StorageError::WriteFailed { file: file.to_owned(), why: "no space left".to_owned() });
        }
        DiskFault::Lies => return Ok(()),
        DiskFault::None | DiskFault::Late(_) => {}
    }
    let (file, _) = opened.as_mut().map_err(|error| error.clone())?;
    if let DiskFault::Late(time) = fault {
        std::thread::sleep(time);
    }
    file.write(bytes)
}
