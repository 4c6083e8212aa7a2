//! Retry storms, as one router sees them: told from a real jump in work, from one client's loop and from a
//! slow day; damped before the module; answered with a time to come back that spreads the return.
//!
//! Decisions without I/O: what happens and when is handed in, chance comes from a seed. Nothing is shared
//! between routers; each keeps to what its own clients and its own answers show. `docs/admission.md` weighs
//! the ways.
pub mod advice;
pub mod doors;
pub mod gate;
pub mod promise;
pub mod room;
pub mod sketch;
pub mod watch;

pub use gate::{Arrival, Gate, Passage};

/// Whole microseconds.
pub type Micros = u64;

/// Mixes an id into evenly spread bits (the finaliser of SplitMix64).
pub(crate) fn mix(seed: u64, id: u64) -> u64 {
    let mut x = id.wrapping_add(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
