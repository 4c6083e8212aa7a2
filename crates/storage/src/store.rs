//! The interface of workflow record stores.
use crate::{Micros, StorageError, WorkflowRecord};

/// The key of a workflow: the `source` and `id` of its event.
pub type WorkflowKey<'a> = (&'a str, &'a str);

/// A store of workflow records.
///
/// Operations are atomic: after an error none of their changes are stored, and earlier data is intact.
pub trait WorkflowStore {
    /// Durably stores all of these records or none, replacing earlier ones of the same workflows.
    ///
    /// # Errors
    /// The store cannot be written, or the maximum number of workflows is recorded.
    fn save(&mut self, records: &[(WorkflowKey<'_>, &WorkflowRecord)]) -> Result<(), StorageError>;

    /// The record of a workflow, if there is one.
    ///
    /// # Errors
    /// The store cannot be read.
    fn load(&mut self, key: WorkflowKey<'_>) -> Result<Option<WorkflowRecord>, StorageError>;

    /// The keys of the workflows that had not ended when they were last stored.
    ///
    /// # Errors
    /// The store cannot be read.
    fn unfinished(&mut self) -> Result<Vec<(String, String)>, StorageError>;

    /// Removes expired records, possibly only some of them per call. Returns the number removed.
    ///
    /// # Errors
    /// The store cannot be written.
    fn remove_expired(&mut self, now: Micros) -> Result<usize, StorageError>;

    /// The number of recorded workflows.
    ///
    /// # Errors
    /// The store cannot be read.
    fn count(&mut self) -> Result<u64, StorageError>;
}
