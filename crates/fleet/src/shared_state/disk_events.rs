//! Handling of disk events: replies of the acceptor, the snapshot of the previous run, and errors.
use super::{Messages, SharedState};
use crate::disk::DiskEvent;
use applepond_reactor::Micros;
use applepond_recovery as recovery;
use applepond_storage::StorageError;

impl SharedState {
    pub(super) fn handle_disk_events(&mut self, now: Micros, messages: &mut Messages) {
        while let Some(event) = self.disks.next_event() {
            match event {
                DiskEvent::Messages(replies) => messages.0.extend(replies),
                DiskEvent::AcceptorError(error) => {
                    if let Some(register) = &mut self.register {
                        register.set_acceptor_error(error);
                    }
                }
                DiskEvent::SnapshotRead { snapshot, error } => self.load_snapshot(now, snapshot, error),
                DiskEvent::SnapshotWritten(None) => self.snapshots_written += 1,
                DiskEvent::SnapshotWritten(Some(error)) => self.snapshot_failed(&error),
            }
        }
    }

    /// Imports the facts of the snapshot that was found at start-up.
    fn load_snapshot(&mut self, now: Micros, snapshot: Option<Vec<u8>>, error: Option<StorageError>) {
        let (boot, at) = self.disks.boot();
        let decoded =
            snapshot.map(|bytes| recovery::decode_snapshot(self.router.0, boot, at, &bytes)).transpose();
        let why = match (&decoded, &error) {
            (Err(why), _) => Some(why.to_string()),
            (_, Some(error)) => Some(error.to_string()),
            _ => None,
        };
        if let Some(why) = &why {
            tracing::warn!(
                reason = "snapshot-unusable",
                why,
                "recovery: the snapshot is unusable; facts can only come from peers"
            );
        }
        self.snapshot_error = why;
        if let Ok(Some(facts)) = decoded
            && !facts.is_empty()
        {
            tracing::info!(reason = "snapshot", facts = facts.len(), "recovery: snapshot loaded");
            self.observations.borrow_mut().import(now, &facts);
            self.recovery.snapshot_loaded(now);
        }
    }

    fn snapshot_failed(&mut self, error: &StorageError) {
        let why = error.to_string();
        if self.snapshot_error.as_ref() != Some(&why) {
            tracing::warn!(
                reason = "snapshot-not-written",
                why,
                "recovery: the snapshot could not be written; routing is not affected"
            );
        }
        self.snapshot_error = Some(why);
    }
}
