//! Budgets and their unit.

/// A rate in millionths of a unit per second.
pub type Amount = u64;

/// One unit, in millionths.
pub const UNIT: u64 = 1_000_000;

/// One budget, as set in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The limit for all routers together.
    pub total: Amount,
    /// The part that each router may always use.
    pub floor: Amount,
}

impl Budget {
    /// The amount left to divide after the floors of the maximum number of routers.
    pub(crate) fn above_floors(&self, routers: u64) -> Amount {
        self.total.saturating_sub(self.floor.saturating_mul(routers))
    }
}
