//! An in-memory store for routers without a record file. Its records are lost when the process ends.
use crate::{MAX_WORKFLOWS, Micros, StorageError, WorkflowKey, WorkflowRecord, WorkflowStore};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// An in-memory store of workflow records.
#[derive(Default)]
pub struct MemoryStore(BTreeMap<(String, String), WorkflowRecord>);

impl WorkflowStore for MemoryStore {
    fn save(&mut self, records: &[(WorkflowKey<'_>, &WorkflowRecord)]) -> Result<(), StorageError> {
        for ((source, id), record) in records {
            let key = ((*source).to_owned(), (*id).to_owned());
            if self.0.len() as u64 >= MAX_WORKFLOWS && !self.0.contains_key(&key) {
                return Err(StorageError::Full { file: PathBuf::from("(memory)"), most: MAX_WORKFLOWS });
            }
            self.0.insert(key, (*record).clone());
        }
        Ok(())
    }

    fn load(&mut self, (source, id): WorkflowKey<'_>) -> Result<Option<WorkflowRecord>, StorageError> {
        Ok(self.0.get(&(source.to_owned(), id.to_owned())).cloned())
    }

    fn unfinished(&mut self) -> Result<Vec<(String, String)>, StorageError> {
        Ok(self.0.iter().filter(|(_, record)| !record.closed).map(|(key, _)| key.clone()).collect())
    }

    fn remove_expired(&mut self, now: Micros) -> Result<usize, StorageError> {
        let before = self.0.len();
        self.0.retain(|_, record| record.expires_at > now);
        Ok(before - self.0.len())
    }

    fn count(&mut self) -> Result<u64, StorageError> {
        Ok(self.0.len() as u64)
    }
}
