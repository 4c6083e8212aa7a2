//! What chains came to, step by step, kept on disk over the end of the process; and the votes of a keeper
//! (`votes`).
//!
//! A step with an effect is written down before it is sent, in the same transaction as what is known of the
//! steps before it; ends are written with the next such step, or a moment later. So a step on record
//! without an end may have run, and one that is not on record has not. `docs/workflow.md` weighs the ways.
pub mod disk;
#[cfg(test)]
mod fails;
mod fault;
pub mod record;
mod snapshot;
pub mod votes;

pub use disk::DiskStore;
pub use fault::StorageError;
pub use snapshot::SnapshotFile;
pub use votes::AcceptorFile;

pub use record::{StepOutcome, StepRecord, StoredResponse, WorkflowRecord, recorded_steps};

/// Chains on record at most: beyond it no chain with an effect is begun. At 2 kB each it is 400 MB.
pub const MAX_WORKFLOWS: u64 = 200_000;

/// Whole microseconds.
pub type Micros = u64;

/// A chain's name: `source` and `id` of its event.
pub type WorkflowKey<'a> = (&'a str, &'a str);

/// Where records lie. An error names the file; nothing that it was asked to keep is kept
/// then, and nothing that stood there before is lost.
pub trait WorkflowStore {
    /// Keeps these chains as they stand now, durably, all or none of them.
    fn save(&mut self, chains: &[(WorkflowKey<'_>, &WorkflowRecord)]) -> Result<(), StorageError>;
    /// What is on record of a chain.
    fn load(&mut self, name: WorkflowKey<'_>) -> Result<Option<WorkflowRecord>, StorageError>;
    /// Names of the chains that had not come to their end when they were last kept.
    fn unfinished(&mut self) -> Result<Vec<(String, String)>, StorageError>;
    /// Drops what need not be known any more; how many chains.
    fn remove_expired(&mut self, now: Micros) -> Result<usize, StorageError>;
    /// Chains on record.
    fn count(&mut self) -> Result<u64, StorageError>;
}

/// Records of an instance that was told no file: kept as long as it lives.
#[derive(Default)]
pub struct MemoryStore(std::collections::BTreeMap<(String, String), WorkflowRecord>);

impl WorkflowStore for MemoryStore {
    fn save(&mut self, chains: &[(WorkflowKey<'_>, &WorkflowRecord)]) -> Result<(), StorageError> {
        for ((source, id), kept) in chains {
            let name = ((*source).to_owned(), (*id).to_owned());
            if self.0.len() as u64 >= MAX_WORKFLOWS && !self.0.contains_key(&name) {
                let file = std::path::PathBuf::from("(memory)");
                return Err(StorageError::Full { file, most: MAX_WORKFLOWS });
            }
            self.0.insert(name, (*kept).clone());
        }
        Ok(())
    }
    fn load(&mut self, (source, id): WorkflowKey<'_>) -> Result<Option<WorkflowRecord>, StorageError> {
        Ok(self.0.get(&(source.to_owned(), id.to_owned())).cloned())
    }
    fn unfinished(&mut self) -> Result<Vec<(String, String)>, StorageError> {
        Ok(self.0.iter().filter(|(_, kept)| !kept.closed).map(|(name, _)| name.clone()).collect())
    }
    fn remove_expired(&mut self, now: Micros) -> Result<usize, StorageError> {
        let before = self.0.len();
        self.0.retain(|_, kept| kept.expires_at > now);
        Ok(before - self.0.len())
    }
    fn count(&mut self) -> Result<u64, StorageError> {
        Ok(self.0.len() as u64)
    }
}
