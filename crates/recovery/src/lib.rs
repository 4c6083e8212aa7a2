//! Recovery of a router after a restart: it restores learned facts from its own snapshot and from its peers.
//!
//! **A fact is never a permission.** It can only make a router more cautious: a lower concurrency limit, a
//! worker that is probed with a single request first, a drain that stays in effect. Quota is never restored
//! but leased anew. A fact of unknown age is treated as old as it can be.
//!
//! All types are state machines without I/O: the caller passes in the time, messages and bytes of files.
//! `docs/recovery.md` explains the choices.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]
mod error;
mod fact;
mod fact_table;
pub mod message;
mod observation_store;
mod peer_recovery;
mod snapshot;

pub use error::{MalformedMessage, SnapshotError};
pub use fact::{Fact, FactKey, FactKind, Lifetime};
pub use fact_table::Facts;
pub use observation_store::{ObservationStore, RouterHistory, TrafficBaseline, WorkerIncarnation};
pub use peer_recovery::{Actions, Guards, PeerRecovery, Stage};
pub use snapshot::{BootId, decode_snapshot, encode_snapshot};

use applepond::interface::Micros;

/// The maximum number of facts: four each for five hundred workers, and the load times of two thousand
/// functions.
pub const MAX_FACTS: usize = 4_096;
/// The maximum size of a snapshot, enough for [`MAX_FACTS`] facts and the header.
pub const MAX_SNAPSHOT_BYTES: usize = 256 * 1024;
/// The minimum interval between snapshots, in µs. It leaves a slow disk seconds for each.
pub const SNAPSHOT_INTERVAL: Micros = 2_000_000;
/// The number of peers asked in parallel. The median of three tolerates one with wrong values.
pub const PARALLEL_PEERS: usize = 3;
/// How long to wait for a response before another peer is asked, in µs.
pub const RESPONSE_TIMEOUT: Micros = 400_000;
/// The time before a peer that reported itself empty is asked again, in µs. It may have recovered by then.
pub const EMPTY_PEER_BACKOFF: Micros = 1_000_000;
/// The time from the start after which peers are no longer asked, in µs: by then the router's own
/// observations are better.
pub const RECOVERY_WINDOW: Micros = 4_000_000;
/// The maximum number of requests that a router sends. If nearly all routers restart at the same time, most
/// responses are empty, and retries must not go on without bound.
pub const MAX_REQUESTS: u32 = 200;
/// The maximum rate at which a router sends facts to its peers, so that routing takes precedence.
pub const SEND_BYTES_PER_SECOND: u64 = 128 * 1024;
/// The maximum burst of facts that a router sends to its peers.
pub const SEND_BURST_BYTES: u64 = 32 * 1024;
/// The minimum retry delay that a deferred peer is given, in µs.
pub const MIN_RETRY_DELAY: Micros = 100_000;
/// The maximum retry delay that a deferred peer is given, in µs.
pub const MAX_RETRY_DELAY: Micros = 1_000_000;
/// The maximum number of facts in one message. Each fact takes up to 32 bytes, and the message has other
/// parts besides.
pub const FACTS_PER_PAGE: usize = 32;
