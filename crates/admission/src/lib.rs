//! Admission control of one router against retry storms, without I/O.
//!
//! [`watch`] tells a storm of retries from a real increase of work, from the loop of one client and from a
//! slow day. [`controller`] decides which requests are admitted while a storm lasts, and when those that are
//! rejected should come back, so that their retries spread out instead of arriving in waves.
//!
//! Time and events are passed in, and random numbers come from a seeded generator. Routers share nothing;
//! each of them relies on what its own clients and responses show. `docs/admission.md` weighs the options.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod accept_limiter;
pub mod controller;
mod retry_after;
pub mod room;
mod scheduled_retry;
pub mod sketch;
pub mod watch;

pub use accept_limiter::AcceptLimiter;
pub use controller::{AdmissionController, Arrival, Decision};

/// Time, in whole microseconds.
pub type Micros = u64;

/// Maps an id to evenly distributed bits (the finalizer of SplitMix64).
pub(crate) fn mix(seed: u64, id: u64) -> u64 {
    let mut hash = id.wrapping_add(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
