//! Guards that tests take out.

/// What keeps the sum below the total. Each guard can be taken out, to prove that the tests would find it
/// missing. In service all are in place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A share rises only by what others have let go of, or whose leases have expired.
    pub shrinks_before_raise: bool,
    /// A lease counts from when it was asked for.
    pub lease_from_request: bool,
    /// A lease is checked where it is spent.
    pub checks_at_spend: bool,
    /// A share that moves brings no tokens along.
    pub moves_no_tokens: bool,
    /// An allocator grants only while its term was confirmed lately; a new one waits for the leases before
    /// it.
    pub single_allocator: bool,
}

impl Guards {
    /// All guards are in place.
    pub const ALL: Guards = Guards {
        shrinks_before_raise: true,
        lease_from_request: true,
        checks_at_spend: true,
        moves_no_tokens: true,
        single_allocator: true,
    };
}
