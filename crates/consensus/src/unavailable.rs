//! Why nothing is agreed on at present, in words for an operator.
use miette::Diagnostic;
use thiserror::Error;

/// Why nothing is agreed on at present. Shared limits go on at their floors meanwhile.
///
/// Operators know these by their codes, which never change.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum Unavailable {
    /// Less than a majority of the replicas answers.
    #[error("{responding} of {total} keepers answer; more than half have to")]
    #[diagnostic(
        code(accord::too_few),
        help("start the routers named in 'keepers' or mend the way to them; nothing is lost meanwhile")
    )]
    NoQuorum {
        /// Replicas that have answered.
        responding: usize,
        /// All replicas.
        total: usize,
    },
    /// Half of the replicas or more have other disks than those that the state was written to.
    #[error("{lost} of {total} keepers have lost what they had agreed on")]
    #[diagnostic(
        code(accord::majority_lost),
        help(
            "bring back the disks of those keepers; if they are lost for good, stop all keepers, remove \
             their 'votes' files, raise 'founding' in the fleet block of all routers and start them again"
        )
    )]
    MajorityLost {
        /// Replicas that have lost their disks.
        lost: usize,
        /// All replicas.
        total: usize,
    },
    /// All replicas are empty, and other routers have seen something agreed on.
    #[error("all keepers are empty, and others remember that something was agreed on")]
    #[diagnostic(
        code(accord::remembered),
        help(
            "bring back the keepers' 'votes' files; if they are lost for good, raise 'founding' in the \
             fleet block of all routers"
        )
    )]
    StateForgotten,
    /// The replicas agree on an older state than others have seen, or on another register.
    #[error("the keepers' disks agree on less than others have seen, or on something of another life")]
    #[diagnostic(
        code(accord::past),
        help(
            "somebody has put back copies of the keepers' disks: stop all keepers, remove their 'votes' \
             files, raise 'founding' in the fleet block of all routers and start them again"
        )
    )]
    StateRolledBack,
    /// The acceptor of this router takes no part: the label of its [`AcceptorError`](crate::AcceptorError).
    #[error("this router's vote cannot be relied on ({0}), so it does not vote")]
    #[diagnostic(
        code(accord::keeper_in_doubt),
        help(
            "not-written: make room or mend the disk and start this router again. Others: stop it, remove \
             its 'votes' file and start it again; the others take it in as a new keeper"
        )
    )]
    AcceptorFailed(&'static str),
    /// The register was bootstrapped a moment ago: leases of an earlier one have to end first.
    #[error("what is agreed on was founded a moment ago; leases of a life before have to end first")]
    #[diagnostic(code(accord::ripens), help("nothing: it passes within seconds"))]
    BootstrapPending,
}

impl Unavailable {
    /// One of each, for the table of codes.
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
