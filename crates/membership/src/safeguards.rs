//! Safeguards of the view against errors. Tests and fault-injection scenarios disable them one by one.

/// What keeps a view from being wrong.
///
/// Each safeguard can be disabled, to measure what it is worth and to prove that the fault-injection
/// scenarios find its absence. In service all of them are enabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// A router that is suspected refutes the suspicion.
    pub refutation: bool,
    /// Most of the observers of a router have to suspect it, and at least two of them.
    pub vote_quorum: bool,
    /// Signs that this process or the other one is slow lengthen timeouts.
    pub local_health: bool,
    /// A process that stood still counts the silence of others from the moment it resumed.
    pub pause_detection: bool,
    /// A refutation carries a higher incarnation, also that of a router that was declared dead and has
    /// heard so from one router only.
    pub incarnation_bump: bool,
}

impl Safeguards {
    /// All safeguards, as in service.
    pub const ALL: Safeguards = Safeguards {
        refutation: true,
        vote_quorum: true,
        local_health: true,
        pause_detection: true,
        incarnation_bump: true,
    };

    /// All safeguards except the one whose absence is injected under the name of this fault; `None` if
    /// there is no such fault.
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
