//! Connects the simulator to the routers: translates its batches of events into calls of
//! [`applepond::control::Control`], and the actions of `Control` into replies.
//!
//! The crate decodes and encodes messages. All decisions are made in `Control`.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod host;

pub use host::Host;
