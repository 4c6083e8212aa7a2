//! What a router publishes of itself: its name, address, instance, incarnation and status.
use applepond::interface::WorkerId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identifies a router by its name: a fixed digest of the name, equal on every router.
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

/// Identifies one process under a router's name. It is drawn at random when the process starts and is never
/// used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(
    /// The random number.
    pub u64,
);

/// Status of a router: published by itself or concluded by others.
///
/// The order of the variants is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberStatus {
    /// Most of its neighbours have not confirmed yet that they hear it; it does not count as live.
    Joining,
    /// It is a live member.
    Alive,
    /// It has left by its own announcement.
    Left,
    /// It was declared dead by the votes of others.
    Dead,
}

impl MemberStatus {
    /// Whether the router takes part in the protocol: it has neighbours and is one.
    pub fn is_active(self) -> bool {
        matches!(self, MemberStatus::Joining | MemberStatus::Alive)
    }
}

/// What a router publishes of itself. The order of the fields is part of the wire format.
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
    /// Raised by the router itself alone. A higher incarnation overrules everything that was said about a
    /// lower one.
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
    /// This process.
    pub instance_id: InstanceId,
    /// The first incarnation: higher than that of any earlier process under the name, as far as is known.
    pub incarnation: u64,
}
