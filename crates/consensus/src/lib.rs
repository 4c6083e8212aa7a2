//! One value that a fleet agrees on, replaced whole: a register kept by three or five keepers, without a log
//! (CASPaxos, Rystsov 2018). A proposer asks most keepers for their promise and so reads the value, then has
//! most of them accept the next one, made from what it read. What was written is in every later value's past,
//! whatever is lost, late, repeated or killed; nothing here rests on a clock. Time is for trying again alone.
//!
//! A try whose end is not heard may have been written or may yet be: who writes again reads first, and makes
//! the next value so that it does not matter. See docs/consensus.md.
mod convener;
mod keeper;
pub mod message;
mod proposer;
mod register;
mod voter;

pub use convener::{Guards, ReconfigurableProposer, RegisterState, ReplicaId, ReplicaRequests, RoundOutcome};
pub use keeper::{Acceptor, AcceptorError, AcceptorState, AcceptorStorage};
pub use proposer::{ProposalOutcome, Proposer, ProposerActions};
pub use register::{Register, RegisterActions, RegisterLease, Unavailable};
pub use voter::Replica;

use applepond::interface::Micros;
use applepond_membership::InstanceId;
use serde::{Deserialize, Serialize};

// ---- Constants: unit, and why this size ------------------------------------------------

/// µs for which answers to one question are waited for: a keeper writes to its disk before it answers, and
/// slow ones take 150 ms for that.
pub const RESPONSE_TIMEOUT: Micros = 500_000;
/// µs before a proposer that was overtaken tries again, at least, and how often the range doubles: two that
/// try at once would overtake each other for ever.
pub const RETRY_BACKOFF: Micros = 10_000;
pub const RETRY_BACKOFF_MAX_DOUBLINGS: u32 = 6;
/// Keepers at most; an even number bears no more losses than one fewer.
pub const MAX_REPLICAS: usize = 5;

/// Disks whose words a convener keeps at most: keepers, and those that were lost lately.
pub const MAX_KNOWN_PROMISES: usize = 64;
/// µs for which what was confirmed counts, from before the try that confirmed it.
pub const LEASE_DURATION: Micros = 3_000_000;
/// µs between two confirmations by who convenes: two may be lost before anything ends.
pub const LEASE_RENEWAL_INTERVAL: Micros = 700_000;
/// µs without news of what is agreed on before another convenes, and the range drawn on top of it.
pub const LEADER_TIMEOUT: Micros = 1_200_000;
/// µs between two asks for a copy.
pub const LEASE_REQUEST_INTERVAL: Micros = 700_000;
/// One part in so many is what two clocks may drift apart.
pub const CLOCK_DRIFT_DIVISOR: u64 = 1_000;
/// µs from a start until an empty past may be believed: others that remember have been heard by then.
pub const BOOTSTRAP_DELAY: Micros = 2_000_000;
/// µs from a founding until it counts: whatever counted in a life before has ended, by the slowest clock.
pub const BOOTSTRAP_LEASE_WAIT: Micros = LEASE_DURATION + 2 * LEASE_DURATION / CLOCK_DRIFT_DIVISOR + 100_000;
/// A keeper by its place in the settings that all routers share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaIndex(pub u8);

/// One try of one process. `by` is drawn at the process' start and `round` only rises while it runs, so no
/// ballot is used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub by: u64,
}

impl Ballot {
    pub fn first(instance_id: InstanceId) -> Self {
        Ballot { round: 0, by: instance_id.0 }
    }
}
