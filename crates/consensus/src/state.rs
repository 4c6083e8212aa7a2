//! The replicated state: a value, and the replicas that hold it.
use applepond_membership::{InstanceId, RouterId};
use serde::{Deserialize, Serialize};

/// A replica: a router and the disk that holds its acceptor's state. Replacing the disk makes a new replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The router.
    pub router: RouterId,
    /// The random id that was drawn when the acceptor's file was created.
    pub disk: InstanceId,
}

/// The replicated state. The order of the fields is part of the message and acceptor file formats.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterState<V> {
    /// Assigned when the register is bootstrapped. Versions of different registers cannot be compared.
    pub register_id: InstanceId,
    /// Incremented with each change of the value or of the replicas, and once after the bootstrap.
    pub version: u64,
    /// The replicas that hold the value.
    pub replicas: Vec<ReplicaId>,
    /// The replicas before a reconfiguration in progress (joint consensus); empty if there is none.
    pub previous_replicas: Vec<ReplicaId>,
    /// The value itself.
    pub value: V,
}

impl<V> RegisterState<V> {
    /// The sets of replicas. A quorum is a majority of each of them.
    pub(crate) fn quorum_sets(&self) -> impl Iterator<Item = &Vec<ReplicaId>> {
        [&self.replicas, &self.previous_replicas].into_iter().filter(|set| !set.is_empty())
    }
}
