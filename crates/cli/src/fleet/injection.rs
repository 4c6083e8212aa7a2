//! Faults and seeded bugs that a fault-injection scenario injects into the fleet runtime.
use applepond_fleet::PrefixGuards;
use applepond_fleet::disk::DiskFault;
use applepond_membership::Safeguards;
use applepond_recovery::Guards;
use clap::error::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// Faults and seeded bugs of the fleet runtime.
pub(crate) struct FaultInjection {
    /// Proxy that receives all datagrams in place of the other routers.
    pub(crate) proxy: Option<SocketAddr>,
    pub(crate) disk: DiskFault,
    /// Safeguards of the membership protocol that are enabled.
    pub(crate) safeguards: Safeguards,
    /// Guards of the recovery that are enabled.
    pub(crate) recovery: RecoveryGuards,
    /// Guards of the prefix counts that are enabled.
    pub(crate) prefixes: PrefixGuards,
    has_seeded_bug: bool,
}

impl FaultInjection {
    /// Creates the faults given on the command line. A seeded bug of the fleet disables guards; one of the
    /// gateway changes nothing here.
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

    /// Returns whether the seeded bug belongs to the fleet runtime.
    pub(crate) fn has_seeded_bug(&self) -> bool {
        self.has_seeded_bug
    }
}

/// Guards of the recovery that are enabled.
#[derive(Clone, Copy)]
pub(crate) struct RecoveryGuards {
    pub(crate) peers: Guards,
    /// Disables recovery from peers.
    pub(crate) without_peers: bool,
    /// Whether a drain announced before the restart still applies.
    pub(crate) keeps_drains: bool,
}

impl RecoveryGuards {
    /// All guards enabled.
    pub(crate) const ALL: RecoveryGuards =
        RecoveryGuards { peers: Guards::ALL, without_peers: false, keeps_drains: true };

    /// Returns the guards that remain enabled with this seeded bug, or `None` if it is not a bug of the
    /// recovery.
    fn without(seeded_bug: &str) -> Option<RecoveryGuards> {
        let all = RecoveryGuards::ALL;
        match seeded_bug {
            "no-peers" => Some(RecoveryGuards { without_peers: true, ..all }),
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

/// Parses the disk fault given on the command line.
pub(crate) fn disk_fault(value: &str) -> Result<DiskFault, clap::Error> {
    let late = |ms: &str| ms.parse().ok().map(|ms| DiskFault::Late(Duration::from_millis(ms)));
    match value {
        "lies" => Ok(DiskFault::Lies),
        "full" => Ok(DiskFault::Full),
        _ => value
            .strip_prefix("late-")
            .and_then(late)
            .ok_or_else(|| clap::Error::raw(ErrorKind::InvalidValue, "expected late-MS, lies or full\n")),
    }
}
