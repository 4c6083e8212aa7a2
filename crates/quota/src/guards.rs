//! Safety checks that tests can disable.

/// The checks that keep the sum of shares within the total. Tests disable them one at a time, to show that a
/// missing check is detected. Production code enables all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A share grows only by amounts that others have released or whose leases have expired.
    pub shrinks_before_raise: bool,
    /// A lease starts when it was requested, not when it was received.
    pub lease_from_request: bool,
    /// Expiry of the lease is checked whenever the share is spent.
    pub checks_at_spend: bool,
    /// A newly granted share brings no tokens: they only accrue over time.
    pub moves_no_tokens: bool,
    /// An allocator grants only within the authority of a confirmed term, and a new one first waits until
    /// the leases of its predecessor have expired.
    pub single_allocator: bool,
}

impl Guards {
    /// All checks enabled.
    pub const ALL: Guards = Guards {
        shrinks_before_raise: true,
        lease_from_request: true,
        checks_at_spend: true,
        moves_no_tokens: true,
        single_allocator: true,
    };
}
