//! Ballots, which order the rounds of all proposers.
use applepond_membership::InstanceId;
use serde::{Deserialize, Serialize};

/// An acceptor of a fixed set, by its index in the settings that all routers share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaIndex(pub u8);

/// The unique number of one proposer's round.
///
/// `proposer` is drawn at random when the process starts and `round` only increases while it runs, so no
/// ballot is used twice. Ballots are ordered by round first. The order of the fields is part of the message
/// format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Increases with each round, and above every round the proposer has heard of.
    pub round: u64,
    /// The instance id of the proposing process.
    pub proposer: u64,
}

impl Ballot {
    /// The initial ballot of a process, below that of its first round.
    pub fn first(instance_id: InstanceId) -> Self {
        Ballot { round: 0, proposer: instance_id.0 }
    }
}

/// A promise that a proposer knows to be durable on a disk. If the disk holds a lower one, it was rolled
/// back to an old copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KnownPromise {
    /// The disk that holds the promise.
    pub disk: InstanceId,
    /// The highest ballot known to be promised there.
    pub ballot: Ballot,
}
