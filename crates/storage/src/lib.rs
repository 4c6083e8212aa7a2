//! Durable storage of a router: workflow records, the state of its consensus acceptor, and its snapshot.
//!
//! Each has a `redb` file of its own, in which a transaction is there as a whole or not at all; a file that
//! was truncated or overwritten is noticed when it is opened or read.
//!
//! A step with an effect is recorded before it is sent, in the same transaction as what is known of the steps
//! before it; outcomes are recorded with the next such step, or a moment later. So a recorded step without an
//! outcome may have run, and a step without a record has not. `docs/workflow.md` weighs the alternatives.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]
mod acceptor_file;
mod disk_store;
mod error;
#[cfg(test)]
mod failing_backend;
mod memory_store;
pub mod record;
mod snapshot_file;
mod store;

pub use acceptor_file::{AcceptorFile, OpenedAcceptor};
pub use disk_store::DiskStore;
pub use error::StorageError;
pub use memory_store::MemoryStore;
pub use record::{StepOutcome, StepRecord, StoredResponse, WorkflowRecord, recorded_steps};
pub use snapshot_file::SnapshotFile;
pub use store::{WorkflowKey, WorkflowStore};

/// The most workflows that are recorded. Beyond it no workflow with an effect is begun. At 2 kB each it is
/// 400 MB.
pub const MAX_WORKFLOWS: u64 = 200_000;

/// Whole microseconds.
pub type Micros = u64;
