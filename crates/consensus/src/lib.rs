//! One value that a fleet of routers agrees on, replaced as a whole.
//!
//! The value is a register without a log, as in CASPaxos (Rystsov, 2018), replicated on one, three or five
//! replicas. A [`Proposer`] asks a majority of the acceptors to promise its ballot and so reads the latest
//! value, then asks a majority to accept the next one, which it has computed from what it read. Whatever was
//! committed is in the history of every later value, however many messages are lost, delayed or repeated and
//! whichever processes crash. Safety does not depend on clocks; time only decides when to try again.
//!
//! A round whose end is unknown may have been committed, or may yet be. Whoever writes again reads first, and
//! computes the next value so that the difference does not matter.
//!
//! All types are state machines without I/O: the caller passes in the time and messages, and carries out the
//! actions. `docs/consensus.md` explains the protocol and how it is tested.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]
mod acceptor;
mod ballot;
pub mod message;
mod proposer;
mod reconfigurable_proposer;
mod register;
mod replica;
mod state;
mod unavailable;

pub use acceptor::{Acceptor, AcceptorError, AcceptorState, AcceptorStorage, Promise, Rejection};
pub use ballot::{Ballot, KnownPromise, ReplicaIndex};
pub use proposer::{ProposalOutcome, Proposer, ProposerActions};
pub use reconfigurable_proposer::{Guards, ReconfigurableProposer, ReplicaRequests, RoundOutcome};
pub use register::{Register, RegisterActions, RegisterLease};
pub use replica::Replica;
pub use state::{RegisterState, ReplicaId};
pub use unavailable::Unavailable;

use applepond::interface::Micros;

/// How long a proposer waits for the answers to one request, in µs. An acceptor writes to its disk before it
/// answers, which takes a slow disk 150 ms.
pub const RESPONSE_TIMEOUT: Micros = 500_000;
/// The least time before a proposer that was overtaken or not answered tries again, in µs. Without a random
/// backoff two proposers that start at once would overtake each other for ever.
pub const RETRY_BACKOFF: Micros = 10_000;
/// How often the random range on top of [`RETRY_BACKOFF`] doubles at most.
pub const RETRY_BACKOFF_MAX_DOUBLINGS: u32 = 6;
/// The most replicas of one register. An even number tolerates no more failures than one fewer.
pub const MAX_REPLICAS: usize = 5;
/// The most disks whose promises a proposer remembers: the replicas, and disks that were lost lately.
pub const MAX_KNOWN_PROMISES: usize = 64;
/// How long a committed value may be used, in µs from the start of the round that committed it.
pub const LEASE_DURATION: Micros = 3_000_000;
/// Time between two renewals by the leader, in µs. Two may be lost before a lease ends.
pub const LEASE_RENEWAL_INTERVAL: Micros = 700_000;
/// How long a replica hears nothing of the leader before it tries to lead, in µs, and the size of the random
/// range on top of it.
pub const LEADER_TIMEOUT: Micros = 1_200_000;
/// Time between two requests for the current state, in µs.
pub const LEASE_REQUEST_INTERVAL: Micros = 700_000;
/// Two clocks drift apart by at most one part in this number.
pub const CLOCK_DRIFT_DIVISOR: u64 = 1_000;
/// Time from the start of a process until it may believe that nothing was ever agreed on, in µs. Routers that
/// remember otherwise have been heard from by then.
pub const BOOTSTRAP_DELAY: Micros = 2_000_000;
/// Time from the bootstrap of a register until its value is used, in µs: every lease of an earlier register
/// has ended by then, by the slowest clock.
pub const BOOTSTRAP_LEASE_WAIT: Micros = LEASE_DURATION + 2 * LEASE_DURATION / CLOCK_DRIFT_DIVISOR + 100_000;
