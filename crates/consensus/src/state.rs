//! The replicated state: a value, and the replicas that hold it.
use applepond_membership::{InstanceId, RouterId};
use serde::{Deserialize, Serialize};

/// A replica: a router, and the disk that holds the state of its acceptor. A new disk is another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The router.
    pub router: RouterId,
    /// The number that was drawn when the file of the acceptor was made.
    pub disk: InstanceId,
}

/// What is agreed on. The order of the fields is part of the messages and of the files of acceptors.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterState<V> {
    /// Drawn when the register was bootstrapped. Versions of different registers cannot be compared.
    pub register_id: InstanceId,
    /// Rises by one with each value that is written.
    pub version: u64,
    /// The replicas that hold the value.
    pub replicas: Vec<ReplicaId>,
    /// The replicas before a change that is under way (joint consensus), else none.
    pub previous_replicas: Vec<ReplicaId>,
    /// The value itself.
    pub value: V,
}

impl<V> RegisterState<V> {
    /// The sets of replicas of which a majority each has to answer while this is the latest state.
    pub(crate) fn quorum_sets(&self) -> impl Iterator<Item = &Vec<ReplicaId>> {
        [&self.replicas, &self.previous_replicas].into_iter().filter(|set| !set.is_empty())
    }
}
