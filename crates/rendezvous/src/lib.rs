//! Weighted rendezvous (highest random weight) hashing over many members.
//!
//! [`Members`] stores the members once. For each key, a caller holds a [`Prefix`]: the first members of the
//! key's order, identical to the result of sorting all members, and only as long as the part that is
//! walked. Its memory use depends on its length, not on the number of members. It follows joins, leaves and
//! changes of weight through a bounded change log, and is rebuilt by a scan if it has fallen behind that
//! log. [`PrefixCache`] holds the prefixes of a bounded number of keys.
//!
//! The caller supplies hash and score through an implementation of [`HashScheme`].
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod cache;
mod change_log;
mod members;
mod prefix;

pub use cache::PrefixCache;
pub use members::Members;
pub use prefix::{INITIAL_PREFIX_LEN, Prefix, Ranked};

use std::hash::Hash;

/// Hash and score functions for pairs of key and member. The order of a key is by ascending
/// [`HashScheme::score`], then by member.
///
/// The score must not increase with the hash or with the weight.
pub trait HashScheme {
    /// What an order is computed for.
    type Key: Copy;
    /// What is ordered.
    type Member: Copy + Ord + Hash;

    /// The part of a pair's hash that depends only on the member; computed once per member.
    fn digest(member: Self::Member) -> u64;

    /// Uniformly distributed hash of a key and a member's digest.
    fn hash(key: Self::Key, digest: u64) -> u64;

    /// Score of a pair, from its hash and the member's weight (greater than zero); lowest comes first.
    fn score(hash: u64, weight: f64) -> f64;

    /// A hash below which no member of at most this weight has a score of `cutoff` or less. It may be too
    /// low, in which case a scan computes more scores than necessary. An infinite cutoff must exclude no
    /// hash.
    fn min_hash(cutoff: f64, weight: f64) -> u64;
}
