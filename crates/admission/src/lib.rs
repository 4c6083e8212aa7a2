//! Admission control of one router against retry storms, without I/O.
//!
//! [`traffic_monitor`] distinguishes a retry storm from a genuine increase of work, from one client that
//! retries in a loop, and from slow service. [`controller`] decides which requests are admitted during a
//! storm, and assigns each rejected request a time for its retry, so that retries are spread out instead of
//! arriving in waves.
//!
//! The current time and all events are passed in, and random numbers come from a seeded generator. Routers
//! exchange no admission state; each decides by its own clients and responses. `docs/admission.md` compares
//! the alternatives.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod accept_limiter;
pub mod adaptive_limit;
pub mod controller;
mod retry_after;
mod scheduled_retry;
pub mod sketch;
pub mod traffic_monitor;

pub use accept_limiter::AcceptLimiter;
pub use controller::{AdmissionController, Arrival, Decision};

/// Time, in whole microseconds.
pub type Micros = u64;

/// Hashes an id to uniformly distributed bits (the finalizer of SplitMix64).
pub(crate) fn mix(seed: u64, id: u64) -> u64 {
    let mut hash = id.wrapping_add(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
