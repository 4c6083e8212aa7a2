//! Budgets that all routers share, divided among them by need.
//!
//! Each router has a floor of each budget that is always its own, and a share above it as a lease. The sum of
//! all shares in force is never above the total, however many messages are lost or delayed and whichever
//! processes are paused or killed: the lessee counts its lease from before it asked, the allocator from after
//! it granted, and a share is checked where it is spent. Only monotonic clocks count, and two of them drift
//! apart by [`CLOCK_DRIFT`] at most. Which routers are alive and what they need decides how the total is
//! divided, never whether the sum holds.
//!
//! All types are state machines without I/O. `docs/quota.md` explains why the sum holds.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]
mod allocator;
mod budget;
mod guards;
mod lessee;
pub mod message;
mod service;

pub use allocator::{Allocator, max_min_fair_shares};
pub use budget::{Amount, Budget, UNIT};
pub use guards::Guards;
pub use lessee::Lessee;
pub use message::{LeaseGrant, LeaseRequest};
pub use service::{QuotaActions, QuotaService, ServiceConfig, Term};

use applepond::interface::Micros;

/// How long a lease lasts, in µs: some renewals may be lost, and a dead router's share is back soon.
pub const LEASE_DURATION: Micros = 2_000_000;
/// Time between two requests of a lessee, in µs.
pub const LEASE_RENEWAL_INTERVAL: Micros = 400_000;
/// How long an allocator may grant after it began to have its term confirmed, in µs.
pub const TERM_AUTHORITY: Micros = 2_000_000;
/// Time between two confirmations of a term, in µs: three may fail within its authority.
pub const TERM_CONFIRMATION_INTERVAL: Micros = 500_000;
/// How long nothing is heard of an allocator before a replica takes over, in µs, and the size of the random
/// range on top of it.
pub const ALLOCATOR_TIMEOUT: Micros = 1_500_000;
/// The part by which a µs of one machine may be longer than that of another: ten times what quartz does.
pub const CLOCK_DRIFT: f64 = 0.001;
/// The most requests of which a lessee remembers when it sent them: more than can be under way in a lease.
pub const MAX_REMEMBERED_REQUESTS: usize = 16;
/// The most leases of one lessee that an allocator remembers. Beyond it nothing is granted until some expire.
pub const MAX_LEASES_PER_LESSEE: usize = 32;
/// The most lessees that an allocator knows. A further one keeps to its floor.
pub const MAX_LESSEES: usize = 8_192;
/// A need is stated above the demand by one part in this number: what is spare is lost to others.
pub const NEED_MARGIN_DIVISOR: u64 = 32;
/// How much of its share a token bucket may hold, in µs. The burst of all routers is so much of the total,
/// and [`MIN_BURST`] a router.
pub const BURST_DURATION: Micros = 100_000;
/// What a token bucket may hold at least, in millionths of a unit: with one unit a small share would lose
/// what comes between two requests.
pub const MIN_BURST: u64 = 2 * UNIT;

/// A time as another machine may count it, at the longest, in µs.
pub fn with_clock_drift(time: Micros) -> Micros {
    time + (time as f64 * CLOCK_DRIFT).ceil() as Micros
}
