//! Reads an instance's settings, in HCL, and names every fault by line and column: what was found, what is
//! wanted.
mod chains;
pub mod instance;
pub mod sheet;

pub use instance::deployment;
pub use sheet::Fault;
