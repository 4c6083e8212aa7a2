//! Capacity measurements of routers in simulated time: the real decision code, without sockets. A run is
//! determined by its seed.
//!
//! [`router`] drives one [`applepond::control::Control`] with skewed traffic and a changing endpoint list,
//! and measures the cost of each kind of event. [`traffic`] generates that traffic. [`fit`] fits costs at
//! several sizes to a model and extrapolates to larger sizes.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

pub mod fit;
pub mod router;
pub mod traffic;
