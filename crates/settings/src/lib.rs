//! Settings of one instance, in HCL.
//!
//! [`deployment`] reads a file and reports every fault by line and column: what was found, what is wanted.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod deployment;
mod fleet;
mod section;
mod workflow;
mod workload;

pub use deployment::deployment;
pub use section::Fault;
