//! Status of members as the local router observes them, and the interface that reports changes to the
//! caller.
use crate::record::Record;
use applepond::interface::Micros;
use std::net::SocketAddr;

/// Status of a member as this router observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObservedStatus {
    /// Not yet heard by a majority of its neighbours.
    Joining,
    /// Live and not suspected.
    Alive,
    /// Suspected by a vote of this router or by several votes.
    Suspected,
    /// Silent towards this router, but heard by others.
    Unreachable,
    /// Left by its own announcement.
    Left,
    /// Declared dead by a quorum of votes.
    Dead,
}

impl ObservedStatus {
    /// The status as printed in the log and on the state page.
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

/// Direction in which the link to a neighbour loses all messages.
///
/// The log and the state page print the names of the variants.
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
    /// The known record of the member.
    pub record: Record,
    /// The member's status as this router observes it.
    pub observed: ObservedStatus,
    /// Time in µs since which the member has had that status.
    pub since: Micros,
    /// Names of the routers whose votes declared the member dead; empty if it is not dead.
    pub accusers: Vec<String>,
    /// Known fault of the link to the member.
    pub link_fault: Option<LinkFault>,
}

/// A change of the view, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The observed status of a member changed.
    StatusChanged {
        /// Name of the member.
        name: String,
        /// The previous status; `None` for a new member.
        previous: Option<ObservedStatus>,
        /// The new status.
        current: ObservedStatus,
        /// Names of the routers whose votes led to the status; empty if it is this router's own observation.
        accusers: Vec<String>,
    },
    /// The diagnosed fault of the link to a neighbour changed.
    LinkFaultChanged {
        /// Name of the neighbour.
        name: String,
        /// The previous fault.
        previous: Option<LinkFault>,
        /// The new fault.
        current: Option<LinkFault>,
    },
    /// This process was stalled for this many µs.
    ProcessStalled(Micros),
    /// Whether this router considers itself isolated: all neighbours are silent at once, so it is probably
    /// this router that is cut off.
    Isolated(bool),
    /// This router was declared dead and rejoins under this incarnation. Leases and shares granted to it
    /// before are no longer valid.
    Rejoined(u64),
    /// Another process holds this router's name; this process no longer takes part in the protocol.
    NameLost {
        /// Address of the process that holds the name.
        holder: SocketAddr,
    },
    /// Another process asked to join under the name of a live router.
    NameContested {
        /// The name.
        name: String,
        /// Address of the process that asked for the name.
        claimant: SocketAddr,
    },
    /// A router was not added because the limit on known routers is reached.
    TableFull {
        /// Name of the router that was not added.
        name: String,
    },
}

/// Side effects that the state machine requests from its caller.
pub trait Actions {
    /// Sends one message of at most [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES) bytes; it may be lost.
    fn send(&mut self, to: SocketAddr, message: &[u8]);
    /// Logs a change of the view.
    fn changed(&mut self, change: Change);
}
