//! Faults and seeded bugs that a fault-injection scenario gives the fleet's part of a router.
use applepond_fleet::PrefixGuards;
use applepond_fleet::disk::DiskFault;
use applepond_membership::Safeguards;
use applepond_recovery::Guards;
use clap::error::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// What a scenario does to the fleet's part of a router.
pub(crate) struct FaultInjection {
    /// Where all datagrams go, instead of to the other routers.
    pub(crate) proxy: Option<SocketAddr>,
    pub(crate) disk: DiskFault,
    /// Safeguards of the membership that are enabled.
    pub(crate) safeguards: Safeguards,
    /// How it recovers after a restart.
    pub(crate) recovery: RecoveryGuards,
    /// Guards of the prefix counts that are enabled.
    pub(crate) prefixes: PrefixGuards,
    has_seeded_bug: bool,
}

impl FaultInjection {
    /// The faults of the command line; a seeded bug takes a guard out, unless it is none of the fleet's.
    pub(crate) fn new(seeded_bug: Option<&str>, proxy: Option<SocketAddr>, disk: DiskFault) -> Self {
        let safeguards = seeded_bug.and_then(Safeguards::without);
        let recovery = seeded_bug.and_then(RecoveryGuards::without);
        let one_router_pins = seeded_bug == Some("lone-voter-pins");
        FaultInjection {
            proxy,
            disk,
            has_seeded_bug: safeguards.is_some() || recovery.is_some() || one_router_pins,
            safeguards: safeguards.unwrap_or(Safeguards::ALL),
            recovery: recovery.unwrap_or(RecoveryGuards::ALL),
            prefixes: PrefixGuards { bounds_router_fraction: !one_router_pins },
        }
    }

    /// Whether the bug that was named is one of the fleet's.
    pub(crate) fn has_seeded_bug(&self) -> bool {
        self.has_seeded_bug
    }
}

/// Guards of the recovery that are enabled.
#[derive(Clone, Copy)]
pub(crate) struct RecoveryGuards {
    pub(crate) peers: Guards,
    /// No peer is asked.
    pub(crate) alone: bool,
    /// A drain that was announced before the restart still holds.
    pub(crate) keeps_drains: bool,
}

impl RecoveryGuards {
    /// All enabled.
    pub(crate) const ALL: RecoveryGuards =
        RecoveryGuards { peers: Guards::ALL, alone: false, keeps_drains: true };

    /// Without the guard that the seeded bug of this name takes out; none for another bug.
    fn without(seeded_bug: &str) -> Option<RecoveryGuards> {
        let all = RecoveryGuards::ALL;
        match seeded_bug {
            "no-peers" => Some(RecoveryGuards { alone: true, ..all }),
            "forgets-drains" => Some(RecoveryGuards { keeps_drains: false, ..all }),
            "empty-is-zero" => {
                Some(RecoveryGuards { peers: Guards { reports_empty: false, ..Guards::ALL }, ..all })
            }
            "all-ask-one" => {
                let peers = Guards { random_peers: false, spreads_retries: false, ..Guards::ALL };
                Some(RecoveryGuards { peers, ..all })
            }
            _ => None,
        }
    }
}

/// Reads a disk's fault from the command line.
pub(crate) fn disk_fault(word: &str) -> Result<DiskFault, clap::Error> {
    let late = |ms: &str| ms.parse().ok().map(|ms| DiskFault::Late(Duration::from_millis(ms)));
    match word {
        "lies" => Ok(DiskFault::Lies),
        "full" => Ok(DiskFault::Full),
        _ => word
            .strip_prefix("late-")
            .and_then(late)
            .ok_or_else(|| clap::Error::raw(ErrorKind::InvalidValue, "late-MS, lies or full\n")),
    }
}
