//! Safeguards against a wrong view, which tests and fault-injection scenarios can disable one by one.

/// Safeguards that keep a view from being wrong.
///
/// Each safeguard can be disabled, to measure its effect and to prove that the fault-injection scenarios
/// detect its absence. In production all of them are enabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// A router that is suspected refutes the suspicion.
    pub refutation: bool,
    /// A router is declared dead only by a majority of its observers, and by no fewer than two.
    pub vote_quorum: bool,
    /// Health penalties, signs that this process or the peer is slow, lengthen timeouts.
    pub local_health: bool,
    /// After a stall, a process counts the silence of others only from the time it resumed.
    pub pause_detection: bool,
    /// A refutation carries a higher incarnation, even if only one router has reported the death.
    pub incarnation_bump: bool,
}

impl Safeguards {
    /// All safeguards enabled, as in production.
    pub const ALL: Safeguards = Safeguards {
        refutation: true,
        vote_quorum: true,
        local_health: true,
        pause_detection: true,
        incarnation_bump: true,
    };

    /// All safeguards except the one that the named fault disables; `None` if there is no such fault.
    pub fn without(fault: &str) -> Option<Safeguards> {
        let mut safeguards = Safeguards::ALL;
        let disabled = match fault {
            "no-refute" => &mut safeguards.refutation,
            "lone-accuser" => &mut safeguards.vote_quorum,
            "no-health" => &mut safeguards.local_health,
            "timer-after-pause" => &mut safeguards.pause_detection,
            "old-incarnation" => &mut safeguards.incarnation_bump,
            _ => return None,
        };
        *disabled = false;
        Some(safeguards)
    }
}
