//! A router's durable storage: workflow records, the state of its consensus acceptor, and its snapshot.
//!
//! Each is kept in a separate `redb` file with atomic transactions. A truncated or overwritten file is
//! detected when it is opened or read.
//!
//! A step with an effect is recorded before it is sent, in one transaction with the known outcomes of earlier
//! steps. Outcomes are written together with the next such step, or shortly afterwards. A recorded step
//! without an outcome may therefore have run, and a step without a record has not. `docs/workflow.md`
//! discusses the alternatives.
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
pub use record::{
    StepOutcome, StepRecord, StoredResponse, WorkflowRecord, recorded_steps, steps_to_send_again,
};
pub use snapshot_file::SnapshotFile;
pub use store::{WorkflowKey, WorkflowStore};

/// The maximum number of recorded workflows. At the limit no workflow with an effect is started. At 2 kB per
/// record this is 400 MB.
pub const MAX_WORKFLOWS: u64 = 200_000;

/// A time in microseconds.
pub type Micros = u64;
