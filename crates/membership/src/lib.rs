//! Membership of the fleet of routers, as a state machine without I/O.
//!
//! The caller feeds in the time, received messages and the request to leave; the machine answers through
//! [`Actions`] with messages to send and changes of its view to log. The protocol follows SWIM (heartbeats,
//! indirect probes, suspicion, incarnations, dissemination by piggybacked updates) with the local health
//! awareness of Lifeguard and the fixed observers in rings of Rapid:
//!
//! - Every router exchanges heartbeats with a few neighbours ([`Rings`]), which are the same for all
//!   routers that share a view.
//! - A neighbour that is silent for longer than the heartbeat timeout, directly and through others, is
//!   suspected by each of its neighbours independently. Only votes of several independent neighbours, held
//!   for the suspicion timeout, declare a router dead. Meanwhile it may refute under a higher incarnation.
//! - The view is a hint: it tells who seems to be there. Nothing that has to be safe may rest on it.
//!
//! See `docs/membership.md` for the design and the options that were weighed.
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
