//! Reasons why the register is unavailable, with instructions for operators.
use miette::Diagnostic;
use thiserror::Error;

/// Why the register is unavailable. Shared limits fall back to their floors meanwhile.
///
/// The diagnostic codes are stable: operators match on them.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum Unavailable {
    /// Fewer than a majority of the replicas respond.
    #[error("no quorum: {responding} of {total} replicas respond, a majority is required")]
    #[diagnostic(
        code(accord::too_few),
        help(
            "start the routers named in 'keepers', or restore the network to them; nothing is lost meanwhile"
        )
    )]
    NoQuorum {
        /// The number of replicas that responded.
        responding: usize,
        /// The number of replicas.
        total: usize,
    },
    /// At least half of the replicas no longer have the disks to which the state was written.
    #[error("{lost} of {total} replicas have lost their state")]
    #[diagnostic(
        code(accord::majority_lost),
        help(
            "restore the disks of the routers named in 'keepers' that lost theirs; if they are lost for \
             good, stop all routers named in 'keepers', remove their 'votes' files, raise 'founding' in the \
             fleet block of all routers and start them again"
        )
    )]
    MajorityLost {
        /// The number of replicas that have lost their disks.
        lost: usize,
        /// The number of replicas.
        total: usize,
    },
    /// All replicas are empty, but other routers have seen a committed state.
    #[error("all replicas are empty, but other routers have seen a committed state")]
    #[diagnostic(
        code(accord::remembered),
        help(
            "restore the 'votes' files of the routers named in 'keepers'; if they are lost for good, raise \
             'founding' in the fleet block of all routers"
        )
    )]
    StateForgotten,
    /// The replicas hold an older state than other routers have seen, or another register.
    #[error("the replicas hold an older state than other routers have seen, or another register")]
    #[diagnostic(
        code(accord::past),
        help(
            "the 'votes' files were restored from old copies: stop all routers named in 'keepers', remove \
             their 'votes' files, raise 'founding' in the fleet block of all routers and start them again"
        )
    )]
    StateRolledBack,
    /// This router's acceptor abstains. The field is the label of its
    /// [`AcceptorError`](crate::AcceptorError).
    #[error("the acceptor of this router has failed ({0}) and abstains")]
    #[diagnostic(
        code(accord::keeper_in_doubt),
        help(
            "not-written: free space on the disk or repair it, and restart this router. Other reasons: stop \
             this router, remove its 'votes' file and start it again; the other routers named in 'keepers' \
             admit it as a new replica"
        )
    )]
    AcceptorFailed(&'static str),
    /// The register was just bootstrapped, and leases on an earlier one may not have expired yet.
    #[error("the register was just bootstrapped; waiting for leases on an earlier one to expire")]
    #[diagnostic(code(accord::ripens), help("nothing: the leases expire within seconds"))]
    BootstrapPending,
}

impl Unavailable {
    /// One value of each variant, for the table of diagnostic codes.
    pub fn each() -> Vec<Unavailable> {
        vec![
            Unavailable::NoQuorum { responding: 0, total: 0 },
            Unavailable::MajorityLost { lost: 0, total: 0 },
            Unavailable::StateForgotten,
            Unavailable::StateRolledBack,
            Unavailable::AcceptorFailed(""),
            Unavailable::BootstrapPending,
        ]
    }
}
