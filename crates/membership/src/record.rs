//! The record that a router publishes about itself, and the types it consists of.
use applepond::interface::WorkerId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identifies a router by a digest of its name, which is the same on every router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouterId(
    /// The digest.
    pub u64,
);

impl RouterId {
    /// The id of the router with this name.
    pub fn named(name: &str) -> Self {
        RouterId(WorkerId::named(name).0)
    }
}

/// Identifies one process that runs under a router's name. It is chosen at random when the process starts
/// and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(
    /// The random number.
    pub u64,
);

/// Status of a router, published by the router itself or, for `Dead`, concluded by others.
///
/// The order of variants is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberStatus {
    /// A majority of its neighbours has not yet confirmed that they hear it; it does not count as live.
    Joining,
    /// Live member.
    Alive,
    /// Left by its own announcement.
    Left,
    /// Declared dead by votes of other routers.
    Dead,
}

impl MemberStatus {
    /// Whether the router takes part in the protocol and has a place on the rings.
    pub fn is_active(self) -> bool {
        matches!(self, MemberStatus::Joining | MemberStatus::Alive)
    }
}

/// The record that a router publishes about itself.
///
/// The order of fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the router.
    pub name: String,
    /// Zone in which the router runs.
    pub zone: String,
    /// Address at which other routers reach it.
    pub address: SocketAddr,
    /// The process that runs under the name.
    pub instance_id: InstanceId,
    /// Incarnation number, which only the router itself raises. Statements about a lower incarnation are
    /// obsolete.
    pub incarnation: u64,
    /// The router's status in this incarnation.
    pub status: MemberStatus,
}

/// Identity of the local router when it starts.
#[derive(Clone, Debug)]
pub struct LocalIdentity {
    /// Name of the router.
    pub name: String,
    /// Zone in which the router runs.
    pub zone: String,
    /// Address at which other routers reach it.
    pub address: SocketAddr,
    /// Id of this process.
    pub instance_id: InstanceId,
    /// Initial incarnation, which should be higher than that of any earlier process of this router.
    pub incarnation: u64,
}
