//! Hollow routers: the decision machines as they are, many in one process, without sockets, one run a seed.
//!
//! [`router`] drives one [`applepond::control::Control`] through traffic of a stated skew and a changing
//! list of workers and counts what each kind of event costs; [`traffic`] draws that traffic; [`fit`] turns
//! costs at several sizes into slopes and foretells a larger size from smaller ones.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

pub mod fit;
pub mod router;
pub mod traffic;
