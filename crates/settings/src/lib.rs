//! Settings of one instance, in HCL.
//!
//! [`deployment()`] parses a settings file and reports every fault with its line and column, what was found
//! and what is expected.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod deployment;
mod fleet;
mod section;
mod workflow;
mod workload;

pub use deployment::deployment;
pub use section::Fault;
