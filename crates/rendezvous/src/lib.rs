//! Weighted rendezvous (highest random weight) hashing over many members.
//!
//! [`Members`] holds the members once. For each key a caller holds a [`Prefix`]: the first members of the
//! key's order, exactly as sorting all of them would give, and no more of it than has been walked. A prefix
//! costs memory by its length and not by the number of members. It follows joins, leaves and changes of
//! weight through a bounded log of changes, and is scanned anew where it has fallen behind that log.
//! [`PrefixCache`] holds the prefixes of a bounded number of keys.
//!
//! The caller decides which member comes first: it gives the hash and the score as a [`Draw`].
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod cache;
mod change_log;
mod members;
mod prefix;

pub use cache::PrefixCache;
pub use members::Members;
pub use prefix::{PREFIX_FIRST, Prefix, Ranked};

use std::hash::Hash;

/// How members are drawn for a key. The order of a key is by ascending [`Draw::score`], then by member.
///
/// A score must not rise with the hash, nor with the weight.
pub trait Draw {
    /// What an order belongs to.
    type Key: Copy;
    /// What is put in order.
    type Member: Copy + Ord + Hash;

    /// The part of a pair's hash that depends on the member alone; computed once for each member.
    fn digest(member: Self::Member) -> u64;

    /// Evenly spread bits of the pair of a key and a member's digest.
    fn hash(key: Self::Key, digest: u64) -> u64;

    /// The pair's score from its hash and the member's weight (above zero); lowest comes first.
    fn score(hash: u64, weight: f64) -> f64;

    /// A hash below which no member of at most this weight has a score of `cutoff` or less. It may err on the
    /// low side, by which a scan looks at more members than it keeps. An infinite cutoff excludes no hash.
    fn least_hash(cutoff: f64, weight: f64) -> u64;
}
