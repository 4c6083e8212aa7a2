//! The interface of a store of workflow records.
use crate::{Micros, StorageError, WorkflowRecord};

/// The name of a workflow: `source` and `id` of its event.
pub type WorkflowKey<'a> = (&'a str, &'a str);

/// A store of workflow records.
///
/// After an error nothing of the request is stored, and nothing that was stored before is lost.
pub trait WorkflowStore {
    /// Stores these records in place of earlier ones of the same workflows, durably, all or none of them.
    ///
    /// # Errors
    /// The store cannot be written, or has as many workflows as may be.
    fn save(&mut self, records: &[(WorkflowKey<'_>, &WorkflowRecord)]) -> Result<(), StorageError>;

    /// The record of a workflow, if there is one.
    ///
    /// # Errors
    /// The store cannot be read.
    fn load(&mut self, key: WorkflowKey<'_>) -> Result<Option<WorkflowRecord>, StorageError>;

    /// The names of the workflows that had not ended when they were last stored.
    ///
    /// # Errors
    /// The store cannot be read.
    fn unfinished(&mut self) -> Result<Vec<(String, String)>, StorageError>;

    /// Removes records whose time is over, perhaps not all at once. Returns how many.
    ///
    /// # Errors
    /// The store cannot be written.
    fn remove_expired(&mut self, now: Micros) -> Result<usize, StorageError>;

    /// How many workflows are recorded.
    ///
    /// # Errors
    /// The store cannot be read.
    fn count(&mut self) -> Result<u64, StorageError>;
}
