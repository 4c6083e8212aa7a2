//! Which other routers there are: a machine without I/O. In come the time, messages and the word to leave;
//! out go messages to send and changes of the view.
//!
//! Every router exchanges beats with a few neighbours, the same for all who share a view. Who is silent for
//! longer than patience allows, directly and through others, is accused by each neighbour by itself. Only
//! the votes of several independent ones make a router gone, after a while in which it may refute. A view
//! says who seems to be there: nothing that has to be safe may rest on it. See docs/membership.md.
mod count;
mod machine;
pub mod message;
mod rings;

pub use count::DampedCount;
pub use machine::{LocalIdentity, MemberView, Membership};
pub use message::{MAX_MESSAGE_BYTES, MessageError};
pub use rings::Rings;

use applepond::interface::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

// ---- Constants: unit, and why this size ------------------------------------------------

/// µs between two beats to each neighbour: eight or more within patience, so that losses of a third leave
/// one in a thousand silences to chance.
pub const HEARTBEAT_INTERVAL: Micros = 250_000;
/// µs of silence after which a neighbour is accused: with `HOLD` above the two seconds that a process may
/// stand still without being lost.
pub const HEARTBEAT_TIMEOUT: Micros = 2_000_000;
/// µs from enough votes to the end: a process that has just woken is heard, and its word gets around.
pub const SUSPICION_TIMEOUT: Micros = 600_000;
/// µs after which a vote counts no more unless it is cast anew.
pub const VOTE_LIFETIME: Micros = 4_000_000;
/// µs after which a standing accusation is cast anew.
pub const VOTE_RENEWAL_INTERVAL: Micros = 1_000_000;
/// µs that a timer may be late before this process counts as having stood still: far above a busy turn.
pub const STALL_THRESHOLD: Micros = 150_000;
/// µs for which patience is longer after this process stood still or accused somebody wrongly.
pub const HEALTH_PENALTY_DURATION: Micros = 10_000_000;
/// Part by which each such sign lengthens patience, and how many count at most: twice the patience.
pub const HEALTH_PENALTY_FACTOR: f64 = 0.25;
pub const MAX_HEALTH_PENALTIES: u32 = 4;
/// Neighbours that a process has at least when it suspects itself, where all of them are silent at once: one
/// that hears nobody accuses nobody.
pub const MIN_NEIGHBOURS_TO_DETECT_ISOLATION: usize = 3;
/// µs that a router waits for a second word that it is gone before it answers the first.
pub const REMOVAL_CONFIRMATION_WAIT: Micros = 100_000;
/// Rings of neighbours: two neighbours a ring; ten observers give a majority of six where all differ.
pub const RING_COUNT: usize = 5;
/// Others that are asked at once whether they hear a silent neighbour.
pub const INDIRECT_PROBES: usize = 3;
/// µs between two messages with nothing but news: news crosses the fleet in some tenths of a second.
pub const FLUSH_INTERVAL: Micros = 50_000;
/// Times that news goes to all neighbours: with ten of them, losses of a third stop none.
pub const RETRANSMIT_ROUNDS: u8 = 4;
/// News that wait at most; beyond it the least sent of the rest waits for the comparison of views.
pub const MAX_QUEUED_UPDATES: usize = 2_048;
/// µs between two comparisons of views with a neighbour whose view differs.
pub const SYNC_INTERVAL: Micros = 500_000;
/// Messages of records that one comparison is answered with at most, and all of one beat.
pub const MAX_MESSAGES_PER_SYNC: usize = 16;
pub const MAX_REPLIES_PER_HEARTBEAT: usize = 64;
/// µs between two calls to seeds and to routers that are gone: they may be back.
pub const CONTACT_INTERVAL: Micros = 500_000;
/// µs for which those that are gone are remembered: older gossip cannot bring them back meanwhile.
pub const DEPARTED_RETENTION: Micros = 600_000_000;
/// Routers known at most, those that are gone included; a further one is refused.
pub const MAX_ROUTERS: usize = 8_192;
/// Votes kept of one router at most: more than it has observers.
pub const MAX_VOTES_PER_MEMBER: usize = 32;
/// Newcomers under a name that is taken, looked into at a time.
pub const MAX_PENDING_TAKEOVERS: usize = 64;
/// µs in which the one that holds a name may answer before a newcomer takes it: sixteen questions.
pub const TAKEOVER_TIMEOUT: Micros = 4_000_000;
/// µs between two words of a router that was removed and cannot be heard, at most.
pub const MAX_REJOIN_BACKOFF: Micros = 30_000_000;
/// Bytes of a name, and of a zone, at most.
pub const MAX_NAME_BYTES: usize = 48;

// ---- Ids and records -------------------------------------------------------------------

/// A router by its name: a fixed digest, the same everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouterId(pub u64);

impl RouterId {
    pub fn named(name: &str) -> Self {
        RouterId(applepond::interface::WorkerId::named(name).0)
    }
}

/// One process under a name: drawn at its start, never twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub u64);

/// What a router says of itself or what was concluded of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It has not been heard by most of its neighbours yet: it does not count.
    Joining,
    Alive,
    /// By its own word.
    Left,
    /// By the votes of others.
    Dead,
}

impl MemberStatus {
    /// It takes part: it has neighbours and is one.
    pub fn is_active(self) -> bool {
        matches!(self, MemberStatus::Joining | MemberStatus::Alive)
    }
}

/// What a router is taken for here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObservedStatus {
    Joining,
    Alive,
    /// At least one vote stands against it.
    Suspected,
    /// Silent towards this router, heard by others.
    Unreachable,
    Left,
    Dead,
}

impl ObservedStatus {
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

/// What a router says of itself, as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
    pub instance_id: InstanceId,
    /// Raised by its own process alone: a higher one overrules all that was said of a lower one.
    pub incarnation: u64,
    pub status: MemberStatus,
}

/// What keeps a view from being wrong. Each can be taken out, to measure what it is worth and to prove the
/// drill that would find it missing; in service all are in place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// Whoever is accused says that it is there.
    pub refutation: bool,
    /// Most of those that watch a router have to accuse it, two at the least.
    pub vote_quorum: bool,
    /// Signs that this process or the other is slow lengthen patience.
    pub local_health: bool,
    /// A process that stood still counts silence from its waking.
    pub pause_detection: bool,
    /// Whoever refutes does so under a higher incarnation, also one that was removed and has heard of it from
    /// one voice only.
    pub incarnation_bump: bool,
}

impl Safeguards {
    pub const ALL: Safeguards = Safeguards {
        refutation: true,
        vote_quorum: true,
        local_health: true,
        pause_detection: true,
        incarnation_bump: true,
    };

    /// All but the one whose lack is planted under this name; None where there is no such fault.
    pub fn without(fault: &str) -> Option<Safeguards> {
        let mut guards = Safeguards::ALL;
        let guard = match fault {
            "no-refute" => &mut guards.refutation,
            "lone-accuser" => &mut guards.vote_quorum,
            "no-health" => &mut guards.local_health,
            "timer-after-pause" => &mut guards.pause_detection,
            "old-incarnation" => &mut guards.incarnation_bump,
            _ => return None,
        };
        *guard = false;
        Some(guards)
    }
}

/// Which way of a link does not carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkFault {
    /// They do not hear this router.
    Out,
    /// This router does not hear them, others do.
    In,
}

/// A change of the view, for a line of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A router is taken for something else; `by`: on whose word, empty where it is this router's own.
    StatusChanged {
        name: String,
        previous: Option<ObservedStatus>,
        current: ObservedStatus,
        accusers: Vec<String>,
    },
    LinkFaultChanged {
        name: String,
        previous: Option<LinkFault>,
        current: Option<LinkFault>,
    },
    /// This process stood still for so many µs.
    ProcessStalled(Micros),
    /// All neighbours are silent at once: is it they or I?
    Isolated(bool),
    /// This router had been removed and comes back under this incarnation: nothing given to it before holds.
    Rejoined(u64),
    /// Another process holds this name; this one takes no part any more.
    NameLost {
        holder: SocketAddr,
    },
    /// Somebody asked to join under the name of a router that is there.
    NameContested {
        name: String,
        claimant: SocketAddr,
    },
    /// The bound on routers is reached; this one is not taken in.
    TableFull {
        name: String,
    },
}

/// What the machine orders.
pub trait Actions {
    /// One message of at most `MESSAGE_MOST` bytes; it may be lost.
    fn send(&mut self, to: SocketAddr, message: &[u8]);
    fn changed(&mut self, change: Change);
}
