//! What all routers share, divided among them: each has a floor that is always its own, and a part above it
//! as a lease. The sum of all parts in force is never above the whole, whatever is lost, late, stopped or
//! killed: the holder counts its lease from before it asked, the giver from after it gave, and a part is
//! looked at where it is spent. Only monotonic clocks count, and that two of them drift apart by `DRIFT` at
//! most. Who is there and what it needs decides how the whole is divided, never whether the sum holds. See
//! docs/quota.md.
mod divider;
mod holder;
pub mod message;
mod office;

pub use divider::{Divider, fair};
pub use holder::Holder;
pub use office::{Actions, Office, Place, Term};

use applepond::interface::Micros;

// ---- Constants: unit, and why this size ------------------------------------------------

/// µs of a lease: a few renewals may be lost, and a dead router's part is back soon.
pub const LEASE: Micros = 2_000_000;
/// µs between two asks of a holder.
pub const RENEW: Micros = 400_000;
/// µs for which a divider may give after it began to have its term confirmed.
pub const AUTHORITY: Micros = 2_000_000;
/// µs between two confirmations of a term: three may fail within its authority.
pub const CONFIRM: Micros = 500_000;
/// µs for which nobody who divides is heard of before a keeper's router takes over, and more by chance.
pub const TAKE_OVER: Micros = 1_500_000;
/// Part by which a µs of one machine may be longer than that of another: ten times what quartz does.
pub const DRIFT: f64 = 0.001;
/// Asks of which a holder remembers when it sent them: more than can be under way within a lease.
pub const ASKS_MOST: usize = 16;
/// Leases that a divider remembers of one holder; beyond it nothing is given until some have run out.
pub const GIVEN_MOST: usize = 32;
/// Holders that a divider knows at most; a further one keeps to its floor.
pub const HOLDERS_MOST: usize = 8_192;
/// A need is told above what was asked for by one part in so many: what is spare is lost to others.
pub const SPARE: u64 = 32;
/// µs of its part that a bucket may hold, and millionths of a unit that it may hold at least: with one unit a
/// small part would lose what comes between two requests. The burst of all is so much of the whole and two
/// units a router.
pub const BURST: Micros = 100_000;
pub const LEAST: u64 = 2 * UNIT;
pub const UNIT: u64 = 1_000_000;

/// A time as another machine may count it, at the longest.
pub fn at_most(time: Micros) -> Micros {
    time + (time as f64 * DRIFT).ceil() as Micros
}

/// Units a second, in millionths.
pub type Amount = u64;

/// One budget: what all share, and what is always each router's own. Both follow the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    pub whole: Amount,
    pub floor: Amount,
}

impl Row {
    /// What is left to divide once each router that could ever be there has its floor.
    pub fn above(&self, routers: u64) -> Amount {
        self.whole.saturating_sub(self.floor.saturating_mul(routers))
    }
}

/// What keeps the sum below the whole. Each can be taken out, to prove the tests and drills that would find
/// it missing; in service all are in place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A part rises only by what others have let go of, or whose leases have run out.
    pub shrinks_first: bool,
    /// A lease counts from when it was asked for.
    pub from_the_ask: bool,
    /// A lease is looked at where it is spent.
    pub looks_when_spent: bool,
    /// A part that moves brings no tokens along.
    pub mints_nothing: bool,
    /// A divider gives only while its term was confirmed lately; a new one waits for the leases before it.
    pub one_divides: bool,
}

impl Guards {
    pub const ALL: Guards = Guards {
        shrinks_first: true,
        from_the_ask: true,
        looks_when_spent: true,
        mints_nothing: true,
        one_divides: true,
    };
}
