//! What is shared.

/// Units a second, in millionths.
pub type Amount = u64;

/// A unit, in millionths.
pub const UNIT: u64 = 1_000_000;

/// One budget. Both amounts follow the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// What all routers share.
    pub total: Amount,
    /// What is always each router's own.
    pub floor: Amount,
}

impl Budget {
    /// What is left to divide once each router that could ever be there has its floor.
    pub(crate) fn above_floors(&self, routers: u64) -> Amount {
        self.total.saturating_sub(self.floor.saturating_mul(routers))
    }
}
