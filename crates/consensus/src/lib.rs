//! A replicated register: one value shared by a fleet of routers and replaced as a whole.
//!
//! The register keeps no log, as in CASPaxos (Rystsov, 2018), and runs on one, three or five replicas. A
//! [`Proposer`] asks a majority of the acceptors to promise its ballot, which yields the latest value, and
//! then asks a majority to accept a value computed from it. A committed value is in the history of every
//! later one, even if messages are lost, delayed or duplicated and processes crash. Safety does not depend on
//! clocks; they only decide when to retry.
//!
//! A round with an unknown outcome may already be committed, or may still be. A proposer therefore reads
//! before every write, and computes the next value so that either outcome is correct.
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

/// How long a proposer waits for the responses to one request, in µs. An acceptor writes to its disk before
/// it responds, which takes 150 ms on a slow disk.
pub const RESPONSE_TIMEOUT: Micros = 500_000;
/// The minimum backoff of a proposer that was superseded or got no quorum, in µs. A random part is added,
/// since two proposers that start at the same time would otherwise supersede each other forever.
pub const RETRY_BACKOFF: Micros = 10_000;
/// The maximum number of times the random range on top of [`RETRY_BACKOFF`] doubles.
pub const RETRY_BACKOFF_MAX_DOUBLINGS: u32 = 6;
/// The maximum number of replicas. An even number tolerates no more failures than one fewer.
pub const MAX_REPLICAS: usize = 5;
/// The maximum number of disks whose promises a proposer remembers: the replicas and recently lost disks.
pub const MAX_KNOWN_PROMISES: usize = 64;
/// How long a committed value may be used, in µs from the start of the round that committed it.
pub const LEASE_DURATION: Micros = 3_000_000;
/// The interval between lease renewals by the leader, in µs. Two may fail before a lease expires.
pub const LEASE_RENEWAL_INTERVAL: Micros = 700_000;
/// How long a replica goes without news of the leader before it tries to lead, in µs; also the size of the
/// random range that is added.
pub const LEADER_TIMEOUT: Micros = 1_200_000;
/// The interval between requests for the current state, in µs.
pub const LEASE_REQUEST_INTERVAL: Micros = 700_000;
/// The maximum relative drift between two clocks: one part in this number.
pub const CLOCK_DRIFT_DIVISOR: u64 = 1_000;
/// The time from process start until a register may be bootstrapped, in µs. Routers that have seen an
/// earlier register have been heard from by then.
pub const BOOTSTRAP_DELAY: Micros = 2_000_000;
/// The time from the bootstrap of a register until its value is used, in µs. Every lease on an earlier
/// register has expired by then, even by the slowest clock.
pub const BOOTSTRAP_LEASE_WAIT: Micros = LEASE_DURATION + 2 * LEASE_DURATION / CLOCK_DRIFT_DIVISOR + 100_000;
