//! Hashes that every router must compute identically: digests of names and the hash order of workers for a
//! function.
//!
//! The values are part of the protocol between routers: versions that disagree on them would choose
//! different home workers. `tests/golden.rs` pins them.

use crate::interface::{FunctionId, WorkerId};
use applepond_rendezvous::HashScheme;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Number of distinct values of a hash's upper 53 bits, all of which are exactly representable as `f64`.
const UNIT_STEPS: f64 = (1u64 << 53) as f64;

/// 64-bit FNV-1a digest of a name.
pub(crate) fn digest(name: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    name.bytes().fold(FNV_OFFSET_BASIS, step)
}

/// The part of a pair's hash that depends only on the second id.
pub(crate) fn digest_of_second(second: u64) -> u64 {
    second.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Hash of a pair of ids.
pub(crate) fn hash_pair(first: u64, second: u64) -> u64 {
    hash_with_digest(first, digest_of_second(second))
}

/// Hash of a pair whose second id is given by its [`digest_of_second`].
#[inline]
pub(crate) fn hash_with_digest(first: u64, digest: u64) -> u64 {
    let mut hash = first ^ digest;
    for _ in 0..2 {
        hash = (hash ^ (hash >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb);
    }
    hash ^ (hash >> 32)
}

/// Maps uniformly distributed bits to `0.0..1.0`.
pub(crate) fn unit_interval(bits: u64) -> f64 {
    (bits >> 11) as f64 / UNIT_STEPS
}

/// Weighted rendezvous hashing (highest random weight) of workers for a function. All routers compute the
/// same order.
pub(crate) struct HashOrder;

impl HashScheme for HashOrder {
    type Key = FunctionId;
    type Member = WorkerId;

    fn digest(worker: WorkerId) -> u64 {
        digest_of_second(worker.0)
    }

    fn hash(function: FunctionId, digest: u64) -> u64 {
        hash_with_digest(function.0, digest)
    }

    fn score(hash: u64, weight: f64) -> f64 {
        let draw = ((hash >> 11) as f64 + 0.5) / UNIT_STEPS;
        -draw.ln() / weight
    }

    fn min_hash(cutoff: f64, weight: f64) -> u64 {
        // Rounded down slightly so that floating-point error excludes no worker.
        let draw = (-cutoff * weight).exp() * (1.0 - 1e-9);
        ((draw * UNIT_STEPS) as u64).saturating_sub(1) << 11
    }
}
