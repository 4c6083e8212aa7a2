//! Membership of the fleet of routers, as a state machine without I/O.
//!
//! The caller passes in the time, received messages and the request to leave; the state machine emits
//! messages to send and changes of its view to log through [`Actions`]. The protocol follows SWIM
//! (heartbeats, indirect probes, suspicion, incarnations, dissemination by piggybacked updates), with the
//! local health awareness of Lifeguard and the fixed observers on rings of Rapid:
//!
//! - Every router exchanges heartbeats with a few neighbours ([`Rings`]). All routers that share a view agree
//!   on which routers are neighbours.
//! - A router that is silent for longer than the heartbeat timeout, both directly and through others, is
//!   suspected by each of its neighbours independently. It is declared dead only if a quorum of votes, at
//!   least two, stands for the suspicion timeout. Until then it may refute the suspicion under a higher
//!   incarnation.
//! - The view is a hint about which routers are live. Safety must never depend on it.
//!
//! See `docs/membership.md` for the design and its alternatives.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod config;
mod damped_count;
mod membership;
pub mod message;
mod observation;
mod record;
mod rings;
mod safeguards;

pub use config::{DEPARTED_RETENTION, HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, MAX_NAME_BYTES, MAX_ROUTERS};
pub use damped_count::DampedCount;
pub use membership::Membership;
pub use message::{MAX_MESSAGE_BYTES, MessageError};
pub use observation::{Actions, Change, LinkFault, MemberView, ObservedStatus};
pub use record::{InstanceId, LocalIdentity, MemberStatus, Record, RouterId};
pub use rings::Rings;
pub use safeguards::Safeguards;
