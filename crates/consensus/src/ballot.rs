//! Ballots, which order the rounds of all proposers.
use applepond_membership::InstanceId;
use serde::{Deserialize, Serialize};

/// An acceptor of a fixed set, by its place in the settings that all routers share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaIndex(pub u8);

/// The number of one round of one proposer.
///
/// `proposer` is drawn at the start of the process and `round` only rises while it runs, so that no ballot is
/// used twice. Ballots are ordered by round first. The order of the fields is part of the messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Rises with each round of a proposer, above every round that it has heard of.
    pub round: u64,
    /// The instance id of the proposing process.
    pub proposer: u64,
}

impl Ballot {
    /// The ballot before the first round of this process.
    pub fn first(instance_id: InstanceId) -> Self {
        Ballot { round: 0, proposer: instance_id.0 }
    }
}

/// A promise that a proposer knows to be on a disk. A disk that has promised less was put back from a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KnownPromise {
    /// The disk that holds the promise.
    pub disk: InstanceId,
    /// The highest ballot that is known to be promised there.
    pub ballot: Ballot,
}
