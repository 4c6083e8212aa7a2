//! Connects the simulator to the decisions: its batches of events become calls of
//! [`applepond::control::Control`], and the actions of the decisions become its replies.
//!
//! Every field is decoded where it is used; nothing is decided here.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod host;

pub use host::Host;
