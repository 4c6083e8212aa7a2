//! Decides which worker runs a request, for functions that workers load on demand.
//!
//! Each router runs its own [`control::Control`]; routers share no state. [`interface`] has the
//! types that a `Control` exchanges with its owner.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod averages;
pub mod control;
mod hashing;
pub mod interface;
mod state;
