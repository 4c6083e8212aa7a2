//! What the local router observes of others, and how it reports that to its caller.
use crate::record::Record;
use applepond::interface::Micros;
use std::net::SocketAddr;

/// Status of a member as this router observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObservedStatus {
    /// Not yet heard by most of its neighbours.
    Joining,
    /// Live, and nothing speaks against it.
    Alive,
    /// At least one vote that it is dead stands.
    Suspected,
    /// Silent towards this router, but heard by others.
    Unreachable,
    /// It has left by its own announcement.
    Left,
    /// It was declared dead by votes.
    Dead,
}

impl ObservedStatus {
    /// The status as the log and the state page print it.
    pub fn as_str(self) -> &'static str {
        match self {
            ObservedStatus::Joining => "joining",
            ObservedStatus::Alive => "alive",
            ObservedStatus::Suspected => "suspected",
            ObservedStatus::Unreachable => "unreachable from here",
            ObservedStatus::Left => "left",
            ObservedStatus::Dead => "gone",
        }
    }
}

/// The direction in which the link to a neighbour does not carry messages.
///
/// The log and the state page print the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkFault {
    /// The neighbour does not hear this router.
    Out,
    /// This router does not hear the neighbour, but others do.
    In,
}

/// One member of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The member's record as it is known here.
    pub record: Record,
    /// The member's status as this router observes it.
    pub observed: ObservedStatus,
    /// Time in µs at which that status began.
    pub since: Micros,
    /// Names of the routers whose votes declared the member dead; empty otherwise.
    pub accusers: Vec<String>,
    /// Fault of the link to the member, if one is known.
    pub link_fault: Option<LinkFault>,
}

/// A change of the view, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The observed status of a member has changed.
    StatusChanged {
        /// Name of the member.
        name: String,
        /// The status before; `None` for a member that has just become known.
        previous: Option<ObservedStatus>,
        /// The status from now on.
        current: ObservedStatus,
        /// Names of the routers whose votes led to it; empty where it is this router's own observation.
        accusers: Vec<String>,
    },
    /// The diagnosis of the link to a neighbour has changed.
    LinkFaultChanged {
        /// Name of the neighbour.
        name: String,
        /// The fault before.
        previous: Option<LinkFault>,
        /// The fault from now on.
        current: Option<LinkFault>,
    },
    /// This process stood still for so many µs.
    ProcessStalled(Micros),
    /// Whether all neighbours are silent at once, so that this router is probably the one that is cut off.
    Isolated(bool),
    /// This router had been declared dead and rejoins under this incarnation: no lease or share that was
    /// granted to it before is valid.
    Rejoined(u64),
    /// Another process holds this router's name; this process takes part no longer.
    NameLost {
        /// Address of the process that holds the name.
        holder: SocketAddr,
    },
    /// Another process asked to join under the name of a router that is there.
    NameContested {
        /// The name.
        name: String,
        /// Address of the process that asked for it.
        claimant: SocketAddr,
    },
    /// The bound on known routers is reached; this router is not taken in.
    TableFull {
        /// Name of the router.
        name: String,
    },
}

/// Effects that the membership machine asks its caller for.
pub trait Actions {
    /// Sends one message of at most [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES) bytes; it may be lost.
    fn send(&mut self, to: SocketAddr, message: &[u8]);
    /// Logs a change of the view.
    fn changed(&mut self, change: Change);
}
