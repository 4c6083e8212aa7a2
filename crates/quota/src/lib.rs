//! Fleet-wide budgets, divided among the routers according to their needs.
//!
//! Each router may always use a floor of each budget, and leases a share above it. The sum of all shares in
//! force never exceeds the total, even if messages are lost or delayed and processes are paused or killed:
//! the lessee measures its lease from before it sent the request, the allocator from after it granted, and
//! the lease is checked whenever the share is spent. Only monotonic clocks are used, which drift apart by
//! [`CLOCK_DRIFT`] at most. Liveness and need decide how the total is divided, but never affect whether the
//! limit holds.
//!
//! All types are state machines without I/O. `docs/quota.md` explains why the limit holds.
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

/// The duration of a lease, in µs. It tolerates some lost renewals, yet frees a dead router's share soon.
pub const LEASE_DURATION: Micros = 2_000_000;
/// The interval between a lessee's requests, in µs.
pub const LEASE_RENEWAL_INTERVAL: Micros = 400_000;
/// How long an allocator may grant leases, in µs from the start of the round that confirmed its term.
pub const TERM_AUTHORITY: Micros = 2_000_000;
/// The interval between confirmations of a term, in µs. Three may fail before its authority ends.
pub const TERM_CONFIRMATION_INTERVAL: Micros = 500_000;
/// How long an allocator may be silent before a replica takes over, in µs; also the size of the random range
/// that is added.
pub const ALLOCATOR_TIMEOUT: Micros = 1_500_000;
/// The maximum relative drift between the clocks of two machines, ten times that of a quartz clock.
pub const CLOCK_DRIFT: f64 = 0.001;
/// The maximum number of requests whose send times a lessee remembers: more than it sends in the duration of
/// one lease.
pub const MAX_REMEMBERED_REQUESTS: usize = 16;
/// The maximum number of unexpired leases per lessee. At the limit nothing is granted until some expire.
pub const MAX_LEASES_PER_LESSEE: usize = 32;
/// The maximum number of lessees of an allocator. Further routers are limited to their floors.
pub const MAX_LESSEES: usize = 8_192;
/// The stated need exceeds the demand by one part in this number. The margin is small because the other
/// lessees cannot use it.
pub const NEED_MARGIN_DIVISOR: u64 = 32;
/// The capacity of a token bucket, as the time in µs in which the share fills it. The burst of all routers
/// together is this much of the total, plus [`MIN_BURST`] for each router.
pub const BURST_DURATION: Micros = 100_000;
/// The minimum capacity of a token bucket, in millionths of a unit. With a single unit, a small share would
/// lose the tokens that accrue between two requests.
pub const MIN_BURST: u64 = 2 * UNIT;

/// The longest that a duration measured on another machine may take by this machine's clock, in µs.
pub fn with_clock_drift(time: Micros) -> Micros {
    time + (time as f64 * CLOCK_DRIFT).ceil() as Micros
}
